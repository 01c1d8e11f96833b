//! Invariants of a fleet on a network with failures.

mod common;

use common::{Net, SECOND};
use lemoncleat_fleet::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CARRIERS: [Transport; 2] = [Transport::Notes, Transport::Connections];

fn states(net: &Net, wanted: State) -> usize {
    net.log.iter().filter(|(_, _, it)| matches!(it, Output::State { state, .. } if *state == wanted)).count()
}

#[test]
fn detects_start_kill_and_restart_with_earlier_clock() {
    for (size, carrier) in CARRIERS.iter().flat_map(|carrier| [(3, *carrier), (9, *carrier), (64, *carrier)])
    {
        let mut net = Net::new(size, carrier, size as u64);
        net.age_slack = SECOND / 10;
        net.settle(20 * SECOND).expect("all nodes hold each other alive");
        net.publish(1);
        net.settle(5 * SECOND).expect("all nodes have the fact");
        net.kill(1);
        net.settle(30 * SECOND).expect("all nodes hold it to be gone");
        net.age_slack = 60 * SECOND;
        net.start(1, 50);
        net.publish(1);
        net.settle(30 * SECOND).expect("a restart with an earlier start is accepted");
        assert!(net.max_connections <= 16, "a node has {} connections", net.max_connections);
    }
}

#[test]
fn expires_facts_by_the_age_that_a_late_joiner_learned() {
    for carrier in CARRIERS {
        let mut net = Net::new(9, carrier, 1);
        net.age_slack = SECOND;
        net.kill(8);
        net.run(10 * SECOND);
        net.publish(0);
        net.run(40 * SECOND);
        net.start(8, 101);
        net.settle(15 * SECOND).expect("the node learns the fact with its age");
        net.run(25 * SECOND);
        assert_eq!(net.nodes[8].as_ref().expect("running").facts(net.now, common::KIND).count(), 0);
    }
}

/// Applies random failures by seed, then ends them all; afterwards all nodes must agree.
fn run_random_failures(size: usize, carrier: Transport, seed: u64) {
    let mut net = Net::new(size, carrier, seed);
    let mut rng = SmallRng::seed_from_u64(seed ^ 77);
    (net.age_slack, net.lost, net.duplicated, net.delayed) = (100 * SECOND, 0.05, 0.1, 0.05);
    let mut start = 100;
    for _ in 0..25 {
        let (first, second) = (rng.random_range(0..size), rng.random_range(0..size));
        let all: Vec<usize> = (0..size).collect();
        match rng.random_range(0..9) {
            0 => net.kill(first),
            1 | 2 if net.nodes[first].is_none() => {
                start += 1;
                net.start(first, if rng.random() { start } else { 60 });
            }
            3 => net.cut(&all[..first], &all[first..]),
            4 => net.cut(&[first], &[second]),
            5 => net.cut.clear(),
            6 => drop(net.paused.insert(first, net.now + rng.random_range(SECOND..30 * SECOND))),
            _ => net.publish(first),
        }
        net.run(rng.random_range(0..4 * SECOND));
        if rng.random() {
            net.break_cut_links();
        }
    }
    net.cut.clear();
    (net.lost, net.duplicated, net.delayed) = (0.0, 0.0, 0.0);
    (0..size).filter(|at| net.nodes[*at].is_none()).collect::<Vec<_>>().into_iter().for_each(|at| {
        net.start(at, start + 1);
    });
    net.run(30 * SECOND);
    (0..size).for_each(|at| net.publish(at));
    assert!(
        net.settle(40 * SECOND).is_some(),
        "invariant violated: {carrier:?} {size} seed {seed}: {} disagreements",
        net.disagreements()
    );
}

#[test]
fn converges_without_accepting_older_data_under_random_failures() {
    for seed in 0..40 {
        run_random_failures(3 + seed as usize % 8, CARRIERS[seed as usize / 20], seed);
    }
}

#[test]
fn rejoins_after_a_partition_without_message_storm() {
    for carrier in CARRIERS {
        let mut net = Net::new(40, carrier, 5);
        let (first, second): (Vec<usize>, Vec<usize>) = ((0..20).collect(), (20..40).collect());
        net.run(20 * SECOND);
        net.cut(&first, &second);
        net.cut(&second, &first);
        net.run(3 * SECOND);
        net.break_cut_links();
        net.run(120 * SECOND);
        assert_eq!(
            net.disagreements(),
            40 * 20,
            "{carrier:?}: each node holds exactly the other half to be gone"
        );
        net.cut.clear();
        let before = net.sent.0;
        let duration = net.settle(20 * SECOND).expect("both halves rejoin");
        let rate = (net.sent.0 - before) as f64 / 40.0 / (duration.max(SECOND) as f64 / SECOND as f64);
        assert!(rate < 120.0, "{carrier:?}: {rate} messages per second and node");
    }
}

#[test]
fn keeps_a_member_alive_that_any_node_reaches() {
    for carrier in CARRIERS {
        let mut net = Net::new(9, carrier, 6);
        net.run(10 * SECOND);
        for round in 0..30 {
            // Two halves connected only through node 4, then a flapping link, then one-way links.
            net.cut.clear();
            if round < 10 {
                net.cut(&[0, 1, 2, 3], &[5, 6, 7, 8]);
                net.cut(&[5, 6, 7, 8], &[0, 1, 2, 3]);
            } else if round < 20 && round % 2 == 0 {
                net.cut(&[0], &[1, 2, 3, 4]);
            } else if round >= 20 {
                net.cut(&[0, 1], &[2, 3]);
            }
            net.break_cut_links();
            net.run(SECOND);
        }
        net.cut.clear();
        assert_eq!(states(&net, State::Gone), 0, "{carrier:?}");
        net.settle(10 * SECOND).expect("all nodes agree");
        // A node that no other hears is gone. It is told so, and is back once it is heard again.
        let others: Vec<usize> = (1..9).collect();
        net.cut(&[0], &others);
        net.run(3 * SECOND);
        net.break_cut_links();
        net.run(60 * SECOND);
        assert!((1..9).all(|at| net.state_of(at, 0) == State::Gone), "{carrier:?}");
        net.cut.clear();
        net.settle(10 * SECOND).expect("the node is back");
    }
}

#[test]
fn paused_node_suspects_no_other_and_refutes() {
    for carrier in CARRIERS {
        let mut net = Net::new(9, carrier, 7);
        net.run(10 * SECOND);
        net.paused.insert(2, net.now + 60 * SECOND);
        net.run(59 * SECOND);
        assert!((0..9).all(|at| at == 2 || net.state_of(at, 2) == State::Gone));
        net.settle(10 * SECOND).expect("the node is back");
        let of_others = |it: &Output| matches!(it, Output::State { state: State::Suspect, .. });
        assert!(
            !net.log.iter().any(|(_, at, it)| *at == 2 && of_others(it)),
            "the paused node suspects no other"
        );
        assert!(net.nodes[2].as_ref().expect("running").stats().refuted > 0);
    }
}

#[test]
fn counts_and_ignores_invalid_messages() {
    let mut net = Net::new(5, Transport::Notes, 8);
    net.settle(20 * SECOND).expect("all nodes hold each other alive");
    let id = net.id(0);
    let mut outputs = Vec::new();
    let settings = Settings::new("n0", net.members.clone(), Transport::Notes);
    let mut earlier = Fleet::new(settings, 60, 1).expect("settings");
    earlier.handle(0, Input::Received { from: net.id(1), bytes: &[] }, &mut outputs);
    (1..9).for_each(|at| earlier.handle(at * SECOND, Input::Timeout, &mut outputs));
    let messages: Vec<Vec<u8>> = outputs
        .into_iter()
        .filter_map(|it| if let Output::Send { bytes, .. } = it { Some(bytes) } else { None })
        .collect();
    let before = net.log.len();
    for message in &messages {
        net.turn(1, Input::Received { from: MemberId(1), bytes: message });
        net.turn(1, Input::Received { from: net.id(2), bytes: message });
        net.turn(1, Input::Received { from: id, bytes: message });
        net.turn(
            1,
            Input::Received { from: id, bytes: message.get(..message.len() - 1).expect("not empty") },
        );
        net.turn(1, Input::Received { from: id, bytes: &[0xff; 300] });
    }
    let (stats, count) = (net.nodes[1].as_ref().expect("running").stats(), messages.len() as u64);
    assert!(count > 5);
    assert_eq!(
        (stats.strangers, stats.impostors, stats.unreadable, stats.stale),
        (count, count, 2 * count, count)
    );
    assert!(
        net.log[before..].iter().all(|(_, _, it)| matches!(it, Output::Notice(_))),
        "nothing but notices results"
    );
    assert_eq!(net.log.len() - before, 3, "one notice of each sort");
    net.run(5 * SECOND);
    assert_eq!(net.disagreements(), 0);
}

#[test]
fn direct_messages_arrive_once_or_are_counted_as_dropped() {
    for carrier in CARRIERS {
        let mut net = Net::new(12, carrier, 9);
        net.run(10 * SECOND);
        for to in 1..12 {
            net.turn(0, Input::Direct { to: net.id(to), bytes: vec![to as u8; 100] });
        }
        net.run(SECOND);
        let received = |(_, at, it): &(Micros, usize, Output)| {
            matches!(
                it,
                Output::Direct { bytes, .. } if bytes[0] as usize == *at
            )
        };
        assert_eq!(net.log.iter().filter(|it| received(it)).count(), 11);
        net.kill(3);
        net.run(SECOND);
        net.turn(0, Input::Direct { to: net.id(3), bytes: vec![0; 5_000] });
        (0..200).for_each(|_| net.turn(0, Input::Direct { to: net.id(3), bytes: vec![0; 100] }));
        net.run(10 * SECOND);
        let dropped = net.nodes[0].as_ref().expect("running").stats().direct_dropped;
        assert_eq!(dropped, if carrier == Transport::Notes { 1 } else { 201 });
        net.run(60 * SECOND);
        assert!(net.max_connections <= 11);
    }
}

#[test]
fn rejects_invalid_settings() {
    let member = |name: &str| Member { name: name.into(), zone: "z".into() };
    let twice = Settings::new("a", vec![member("a"), member("a")], Transport::Notes);
    assert_eq!(
        Fleet::new(twice, 1, 1).err().map(|e| e.to_string()).as_deref(),
        Some("member a is named twice")
    );
    // Two names with the same 32-bit digest.
    let (first, second) = ("costarring", "liquid");
    assert_eq!(MemberId::of(first), MemberId::of(second));
    let same = Settings::new(first, vec![member(first), member(second)], Transport::Notes);
    assert!(Fleet::new(same, 1, 1).err().is_some_and(|e| e.to_string().contains("have one digest")));
    assert!(Fleet::new(Settings::new("b", vec![member("a")], Transport::Notes), 1, 1).is_err());
}

#[cfg(feature = "faults")]
#[test]
fn injected_faults_are_detected() {
    let check_message_limit = || {
        let mut net = Net::new(30, Transport::Notes, 3);
        net.run(20 * SECOND);
        (0..30).for_each(|at| net.publish(at));
        net.run(5 * SECOND);
    };
    let check: [(Plant, &dyn Fn()); 5] = [
        (Plant::OlderFact, &converges_without_accepting_older_data_under_random_failures),
        (Plant::YoungAgain, &expires_facts_by_the_age_that_a_late_joiner_learned),
        (Plant::Silent, &paused_node_suspects_no_other_and_refutes),
        (Plant::AcceptsForgedSender, &counts_and_ignores_invalid_messages),
        (Plant::IgnoresMessageLimit, &check_message_limit),
    ];
    check_message_limit();
    for (fault, check) in check {
        plant(Some(fault));
        let detected = std::panic::catch_unwind(std::panic::AssertUnwindSafe(check)).is_err();
        plant(None);
        assert!(detected, "{fault:?} is not detected");
    }
}
