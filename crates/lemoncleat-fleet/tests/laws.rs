//! What must hold of a fleet, on a network that fails.

mod common;

use common::{Net, S};
use lemoncleat_fleet::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CARRIERS: [Carrier; 2] = [Carrier::Notes, Carrier::Connections];

fn states(net: &Net, wanted: State) -> usize {
    net.log.iter().filter(|(_, _, it)| matches!(it, Output::State { state, .. } if *state == wanted)).count()
}

#[test]
fn a_fleet_that_starts_at_once_knows_itself_and_a_killed_node_and_one_whose_clock_went_back() {
    for (size, carrier) in CARRIERS.iter().flat_map(|carrier| [(3, *carrier), (9, *carrier), (64, *carrier)])
    {
        let mut net = Net::new(size, carrier, size as u64);
        net.slack = S / 10;
        net.settle(20 * S).expect("all know all");
        net.publish(1);
        net.settle(5 * S).expect("all have the fact");
        net.kill(1);
        net.settle(30 * S).expect("all know that it is gone");
        net.slack = 60 * S;
        net.start(1, 50);
        net.publish(1);
        net.settle(30 * S).expect("a start before the last one's is heard all the same");
        assert!(net.busiest <= 16, "a node has {} connections", net.busiest);
    }
}

#[test]
fn what_is_past_its_life_is_not_there_and_a_late_joiner_is_told_how_old_the_rest_is() {
    for carrier in CARRIERS {
        let mut net = Net::new(9, carrier, 1);
        net.slack = S;
        net.kill(8);
        net.run(10 * S);
        net.publish(0);
        net.run(40 * S);
        net.start(8, 101);
        net.settle(15 * S).expect("it learns the fact, and how old it is");
        net.run(25 * S);
        assert_eq!(net.nodes[8].as_ref().expect("there").facts(net.now, common::KIND).count(), 0);
    }
}

/// Everything at once, by seed; then nothing more, and all must agree.
fn chaos(size: usize, carrier: Carrier, seed: u64) {
    let mut net = Net::new(size, carrier, seed);
    let mut rng = SmallRng::seed_from_u64(seed ^ 77);
    (net.slack, net.lost, net.twice, net.held) = (100 * S, 0.05, 0.1, 0.05);
    let mut start = 100;
    for _ in 0..25 {
        let (one, other) = (rng.random_range(0..size), rng.random_range(0..size));
        let all: Vec<usize> = (0..size).collect();
        match rng.random_range(0..9) {
            0 => net.kill(one),
            1 | 2 if net.nodes[one].is_none() => {
                start += 1;
                net.start(one, if rng.random() { start } else { 60 });
            }
            3 => net.cut(&all[..one], &all[one..]),
            4 => net.cut(&[one], &[other]),
            5 => net.cut.clear(),
            6 => drop(net.paused.insert(one, net.now + rng.random_range(S..30 * S))),
            _ => net.publish(one),
        }
        net.run(rng.random_range(0..4 * S));
        if rng.random() {
            net.break_cut_links();
        }
    }
    net.cut.clear();
    (net.lost, net.twice, net.held) = (0.0, 0.0, 0.0);
    (0..size).filter(|at| net.nodes[*at].is_none()).collect::<Vec<_>>().into_iter().for_each(|at| {
        net.start(at, start + 1);
    });
    net.run(30 * S);
    (0..size).for_each(|at| net.publish(at));
    assert!(net.settle(40 * S).is_some(), "law: {carrier:?} {size} seed {seed}: {} wrong", net.wrong());
}

#[test]
fn whatever_happens_no_older_word_replaces_a_newer_one_and_in_the_end_all_agree() {
    for seed in 0..40 {
        chaos(3 + seed as usize % 8, CARRIERS[seed as usize / 20], seed);
    }
}

#[test]
fn two_halves_hold_each_other_gone_and_come_back_without_a_storm() {
    for carrier in CARRIERS {
        let mut net = Net::new(40, carrier, 5);
        let (one, other): (Vec<usize>, Vec<usize>) = ((0..20).collect(), (20..40).collect());
        net.run(20 * S);
        net.cut(&one, &other);
        net.cut(&other, &one);
        net.run(3 * S);
        net.break_cut_links();
        net.run(120 * S);
        assert_eq!(net.wrong(), 40 * 20, "{carrier:?}: each holds the other half gone, and nobody else");
        net.cut.clear();
        let before = net.told.0;
        let took = net.settle(20 * S).expect("all come back");
        let each = (net.told.0 - before) as f64 / 40.0 / (took.max(S) as f64 / S as f64);
        assert!(each < 120.0, "{carrier:?}: {each} messages a second of each node");
    }
}

#[test]
fn a_bridge_a_flapping_link_and_one_way_links_make_nobody_gone_whom_another_reaches() {
    for carrier in CARRIERS {
        let mut net = Net::new(9, carrier, 6);
        net.run(10 * S);
        for round in 0..30 {
            // Two halves that only node 4 hears, or a link that comes and goes, or one that works one way.
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
            net.run(S);
        }
        net.cut.clear();
        assert_eq!(states(&net, State::Gone), 0, "{carrier:?}");
        net.settle(10 * S).expect("all agree");
        // One that nobody hears is gone; it hears so, and is back once it is heard.
        let others: Vec<usize> = (1..9).collect();
        net.cut(&[0], &others);
        net.run(3 * S);
        net.break_cut_links();
        net.run(60 * S);
        assert!((1..9).all(|at| net.view(at, 0) == State::Gone), "{carrier:?}");
        net.cut.clear();
        net.settle(10 * S).expect("it is back");
    }
}

#[test]
fn a_paused_node_holds_nobodys_silence_against_them_and_refutes() {
    for carrier in CARRIERS {
        let mut net = Net::new(9, carrier, 7);
        net.run(10 * S);
        net.paused.insert(2, net.now + 60 * S);
        net.run(59 * S);
        assert!((0..9).all(|at| at == 2 || net.view(at, 2) == State::Gone));
        net.settle(10 * S).expect("it is back");
        let of_others = |it: &Output| matches!(it, Output::State { state: State::Suspect, .. });
        assert!(!net.log.iter().any(|(_, at, it)| *at == 2 && of_others(it)), "it suspects nobody");
        assert!(net.nodes[2].as_ref().expect("there").stats().refuted > 0);
    }
}

#[test]
fn strangers_impostors_nonsense_and_the_dead_are_counted_and_not_heard() {
    let mut net = Net::new(5, Carrier::Notes, 8);
    net.settle(20 * S).expect("all know all");
    let id = net.id(0);
    let mut old = Vec::new();
    let settings = Settings::new("n0", net.members.clone(), Carrier::Notes);
    let mut dead = Fleet::new(settings, 60, 1).expect("settings");
    dead.handle(0, Input::Heard { from: net.id(1), bytes: &[] }, &mut old);
    (1..9).for_each(|at| dead.handle(at * S, Input::Timeout, &mut old));
    let words: Vec<Vec<u8>> = old
        .into_iter()
        .filter_map(|it| if let Output::Tell { bytes, .. } = it { Some(bytes) } else { None })
        .collect();
    let before = net.log.len();
    for word in &words {
        net.turn(1, Input::Heard { from: MemberId(1), bytes: word });
        net.turn(1, Input::Heard { from: net.id(2), bytes: word });
        net.turn(1, Input::Heard { from: id, bytes: word });
        net.turn(1, Input::Heard { from: id, bytes: word.get(..word.len() - 1).expect("some") });
        net.turn(1, Input::Heard { from: id, bytes: &[0xff; 300] });
    }
    let (stats, count) = (net.nodes[1].as_ref().expect("there").stats(), words.len() as u64);
    assert!(count > 5);
    assert_eq!(
        (stats.strangers, stats.impostors, stats.unreadable, stats.stale),
        (count, count, 2 * count, count)
    );
    assert!(
        net.log[before..].iter().all(|(_, _, it)| matches!(it, Output::Notice(_))),
        "nothing else came of it"
    );
    assert_eq!(net.log.len() - before, 3, "one notice of each sort");
    net.run(5 * S);
    assert_eq!(net.wrong(), 0);
}

#[test]
fn words_for_one_member_reach_it_once_or_are_told_to_be_dropped() {
    for carrier in CARRIERS {
        let mut net = Net::new(12, carrier, 9);
        net.run(10 * S);
        for to in 1..12 {
            net.turn(0, Input::Direct { to: net.id(to), bytes: vec![to as u8; 100] });
        }
        net.run(S);
        let heard = |(_, at, it): &(Micros, usize, Output)| matches!(it, Output::Direct { bytes, .. } if bytes[0] as usize == *at);
        assert_eq!(net.log.iter().filter(|it| heard(it)).count(), 11);
        net.kill(3);
        net.run(S);
        net.turn(0, Input::Direct { to: net.id(3), bytes: vec![0; 5_000] });
        (0..200).for_each(|_| net.turn(0, Input::Direct { to: net.id(3), bytes: vec![0; 100] }));
        net.run(10 * S);
        let dropped = net.nodes[0].as_ref().expect("there").stats().direct_dropped;
        assert_eq!(dropped, if carrier == Carrier::Notes { 1 } else { 201 });
        net.run(60 * S);
        assert!(net.busiest <= 11);
    }
}

#[test]
fn settings_that_can_not_work_are_refused_with_a_line() {
    let member = |name: &str| Member { name: name.into(), zone: "z".into() };
    let twice = Settings::new("a", vec![member("a"), member("a")], Carrier::Notes);
    assert_eq!(
        Fleet::new(twice, 1, 1).err().map(|e| e.to_string()).as_deref(),
        Some("member a is named twice")
    );
    // Two names with one digest of 32 bits.
    let (one, other) = ("costarring", "liquid");
    assert_eq!(MemberId::of(one), MemberId::of(other));
    let same = Settings::new(one, vec![member(one), member(other)], Carrier::Notes);
    assert!(Fleet::new(same, 1, 1).err().is_some_and(|e| e.to_string().contains("have one digest")));
    assert!(Fleet::new(Settings::new("b", vec![member("a")], Carrier::Notes), 1, 1).is_err());
}

#[cfg(feature = "faults")]
#[test]
fn each_planted_mistake_is_found() {
    let overfull = || {
        let mut net = Net::new(30, Carrier::Notes, 3);
        net.run(20 * S);
        (0..30).for_each(|at| net.publish(at));
        net.run(5 * S);
    };
    let finds: [(Plant, &dyn Fn()); 5] = [
        (Plant::OlderFact, &whatever_happens_no_older_word_replaces_a_newer_one_and_in_the_end_all_agree),
        (
            Plant::YoungAgain,
            &what_is_past_its_life_is_not_there_and_a_late_joiner_is_told_how_old_the_rest_is,
        ),
        (Plant::Silent, &a_paused_node_holds_nobodys_silence_against_them_and_refutes),
        (Plant::Credulous, &strangers_impostors_nonsense_and_the_dead_are_counted_and_not_heard),
        (Plant::Overfull, &overfull),
    ];
    overfull();
    for (mistake, finds) in finds {
        plant(Some(mistake));
        let found = std::panic::catch_unwind(std::panic::AssertUnwindSafe(finds)).is_err();
        plant(None);
        assert!(found, "{mistake:?} is not found");
    }
}
