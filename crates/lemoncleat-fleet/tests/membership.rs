//! The list of members changes while a fleet runs.

mod common;

use std::collections::BTreeSet;

use common::{Net, S};
use lemoncleat_fleet::*;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const CARRIERS: [Carrier; 2] = [Carrier::Notes, Carrier::Connections];

/// Of whom it was said that they are suspect or gone.
fn accused(net: &Net) -> BTreeSet<MemberId> {
    let accused = net.log.iter().filter_map(|(_, _, it)| match it {
        Output::State { member, state, .. } if *state != State::Alive => Some(*member),
        _ => None,
    });
    accused.collect()
}

fn stats(net: &Net, at: usize) -> Stats {
    net.nodes[at].as_ref().expect("there").stats()
}

#[test]
fn a_machine_is_replaced_among_64_while_facts_go_round_and_nobody_else_is_accused() {
    for carrier in CARRIERS {
        let mut net = Net::with_spares(64, 1, carrier, 21);
        let mut rng = SmallRng::seed_from_u64(22);
        net.slack = 10 * S;
        net.settle(20 * S).expect("all know all");
        net.run(20 * S);
        let before = net.told.0;
        net.run(20 * S);
        let usual = (net.told.0 - before) / 64;
        net.log.clear();
        net.kill(7);
        net.listed.remove(&7);
        net.listed.insert(64);
        // Each node learns of it at a moment of its own within six seconds; the new machine is there first.
        net.start(64, 100);
        let mut order: Vec<usize> = (0..64).collect();
        order.shuffle(&mut rng);
        for at in order {
            net.run(S / 10);
            net.change(at);
            let one = rng.random_range(0..65);
            net.publish(one);
        }
        // A note compares a dozen entries, so that what gossip missed of the facts takes it some time.
        let most = if carrier == Carrier::Notes { 60 * S } else { 5 * S };
        net.settle(most).expect("all know all, and all facts");
        // The new machine never held anything of the old one; the others hold as little, and have nothing to compare.
        net.run(5 * S);
        let before = stats(&net, 64).told;
        net.run(20 * S);
        let told = stats(&net, 64).told - before;
        assert!(told <= usual * 5 / 4, "{carrier:?}: {told} messages instead of {usual}");
        assert!(accused(&net).iter().all(|id| *id == net.id(7)), "{carrier:?}");
        assert!(net.busiest <= 16, "{carrier:?}: a node has {} connections", net.busiest);
        let node = net.nodes[0].as_ref().expect("there");
        assert!(node.alive() == 64 && node.members().all(|(id, ..)| id != net.id(7)));
        assert_eq!(node.facts(net.now, common::KIND).filter(|fact| fact.origin == net.id(7)).count(), 0);
    }
}

#[test]
fn nodes_that_hold_different_lists_agree_on_members_that_both_have_and_do_not_talk_more() {
    for carrier in CARRIERS {
        let mut net = Net::with_spares(30, 3, carrier, 23);
        net.settle(20 * S).expect("all know all");
        let each = |net: &mut Net| {
            let before = net.told;
            net.run(60 * S);
            ((net.told.0 - before.0) / 60 / 30, (net.told.1 - before.1) / 60 / 30)
        };
        let usual = each(&mut net);
        // Half of the nodes have three members instead of another three, and never hear that the rest has not.
        net.listed = (3..33).collect();
        (0..3).for_each(|at| net.kill(at));
        (30..33).for_each(|at| net.start(at, 100));
        (3..18).for_each(|at| net.change(at));
        net.run(30 * S);
        let divided = each(&mut net);
        if carrier == Carrier::Connections {
            // Only the first seconds are hurried. (To notes of the three the half that does not know them gives no
            // answer, so that they accuse it, and it refutes.)
            assert!(
                divided.0 <= usual.0 * 3 / 2 && divided.1 <= usual.1 * 3 / 2,
                "{divided:?} messages and bytes a second instead of {usual:?}"
            );
        }
        net.log.clear();
        net.kill(20);
        net.run(30 * S);
        net.slack = 60 * S;
        (3..33).filter(|at| *at != 20).for_each(|at| net.publish(at));
        net.run(10 * S);
        for viewer in (3..30).filter(|at| *at != 20) {
            for of in 3..30 {
                let gone = net.view(viewer, of) == State::Gone;
                assert_eq!(gone, of == 20, "{carrier:?}: {of} as {viewer} has it");
            }
            let node = net.nodes[viewer].as_ref().expect("there");
            let facts =
                node.facts(net.now, common::KIND).filter(|fact| (3..30).any(|at| net.id(at) == fact.origin));
            assert_eq!(facts.count(), 26, "{carrier:?}: facts at {viewer}");
        }
        if carrier == Carrier::Connections {
            assert_eq!(accused(&net), BTreeSet::from([net.id(20)]));
        }
        net.change_all();
        net.settle(15 * S).expect("all hold one list, and agree");
    }
}

#[test]
fn a_member_that_went_is_a_stranger_and_one_that_comes_back_under_its_name_is_heard() {
    for carrier in CARRIERS {
        let mut net = Net::new(9, carrier, 24);
        net.slack = 60 * S;
        net.settle(20 * S).expect("all know all");
        net.publish(4);
        net.settle(5 * S).expect("all have its fact");
        net.listed.remove(&4);
        let before = stats(&net, 0).strangers;
        net.change_all();
        net.settle(5 * S).expect("nobody holds anything of it");
        // It goes on under the old list; who is told by it takes nothing from it.
        net.publish(4);
        net.run(20 * S);
        assert_eq!(net.wrong(), 0, "{carrier:?}");
        net.turn(0, Input::Heard { from: net.id(4), bytes: &[0; 10] });
        net.turn(0, Input::Linked(net.id(4)));
        net.turn(0, Input::Unlinked(net.id(4)));
        net.turn(0, Input::Direct { to: net.id(4), bytes: vec![1] });
        assert!(stats(&net, 0).strangers >= before + 2 && stats(&net, 0).direct_dropped == 1);
        // The same process comes back, of the same incarnation.
        net.listed.insert(4);
        net.change_all();
        net.publish(4);
        net.settle(20 * S).expect("it is back, with its facts");
        // And once more, as a process whose clock went back.
        net.listed.remove(&4);
        net.kill(4);
        net.change_all();
        net.run(5 * S);
        net.listed.insert(4);
        net.start(4, 50);
        net.change_all();
        net.publish(4);
        net.settle(20 * S).expect("it is back, as another process");
    }
}

#[test]
fn a_list_that_can_not_be_used_changes_nothing_and_is_told() {
    let mut net = Net::new(5, Carrier::Notes, 25);
    net.settle(20 * S).expect("all know all");
    let member = |name: &str| Member { name: name.into(), zone: "z".into() };
    let without = net.members[1..].to_vec();
    let twice = [net.members.clone(), vec![member("n3")]].concat();
    // Two names with one digest of 32 bits.
    let same = [net.members.clone(), vec![member("costarring"), member("liquid")]].concat();
    let many = (0..1_025).map(|at| member(&format!("n{at}"))).collect::<Vec<_>>();
    for (list, why) in [
        (without, "n0 is not among the members"),
        (twice, "member n3 is named twice"),
        (same, "have one digest"),
        (many, "1025 members; at most 1024"),
    ] {
        let node = net.nodes[0].as_ref().expect("there");
        let error = node.check_members(&list).expect_err("a list that can't be used").to_string();
        assert!(error.contains(why), "{error}");
        net.log.clear();
        net.run(61 * S);
        net.turn(0, Input::Members(list.clone()));
        let told = Output::Notice(Notice::MembersRefused(list.len()));
        assert!(net.log.iter().any(|(_, at, it)| *at == 0 && *it == told));
        assert!(net.wrong() == 0 && accused(&net).is_empty());
    }
    let node = net.nodes[0].as_ref().expect("there");
    assert_eq!(node.check_members(&net.members), Ok(()));
}

#[test]
fn a_list_that_changes_nothing_but_zones_tells_nobody_anything() {
    let mut net = Net::new(9, Carrier::Connections, 26);
    net.settle(20 * S).expect("all know all");
    let (log, told) = (net.log.len(), net.told);
    net.members.iter_mut().for_each(|member| member.zone = "elsewhere".into());
    net.change_all();
    assert_eq!((net.log.len(), net.told, net.wrong()), (log, told, 0));
    let mut members = net.nodes[3].as_ref().expect("there").members();
    assert!(members.all(|(_, member, ..)| &*member.zone == "elsewhere"));
}

#[test]
fn what_waits_for_a_member_that_goes_is_dropped_with_it() {
    let mut net = Net::new(12, Carrier::Connections, 27);
    net.settle(20 * S).expect("all know all");
    // Not heard any more, it is suspected, asked about, and waited for with words.
    net.kill(5);
    for at in [0, 1, 2] {
        net.turn(at, Input::Direct { to: net.id(5), bytes: vec![1; 50] });
    }
    net.run(S);
    net.listed.remove(&5);
    net.change_all();
    net.log.clear();
    net.run(60 * S);
    // But for what was on its way.
    let stray = Output::Notice(Notice::Stranger(net.id(5)));
    assert!(net.log.iter().all(|(at, _, it)| *it == stray && *at < net.now - 57 * S), "{:?}", net.log);
    assert_eq!(net.wrong(), 0);
}

/// Members come, go, are killed, cut off and started, and each node learns of it when it does; in the end all agree.
fn chaos(carrier: Carrier, seed: u64) {
    let mut net = Net::with_spares(7, 5, carrier, seed);
    let mut rng = SmallRng::seed_from_u64(seed ^ 99);
    (net.slack, net.lost, net.twice, net.held) = (100 * S, 0.05, 0.1, 0.05);
    let mut start = 100;
    for _ in 0..40 {
        let (one, other) = (rng.random_range(0..12), rng.random_range(0..12));
        match rng.random_range(0..8) {
            0 => net.kill(one),
            1 if net.nodes[one].is_none() && net.listed.contains(&one) => {
                start += 1;
                net.start(one, if rng.random() { start } else { 60 });
            }
            2 if net.listed.len() > 4 => drop(net.listed.remove(&one)),
            3 => drop(net.listed.insert(one)),
            4 => net.cut(&[one], &[other]),
            5 => net.cut.clear(),
            _ if net.nodes[one].is_some() => net.publish(one),
            _ => {}
        }
        (0..12)
            .filter(|_| rng.random_bool(0.3))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|at| net.change(at));
        net.run(rng.random_range(0..4 * S));
        if rng.random() {
            net.break_cut_links();
        }
    }
    net.cut.clear();
    (net.lost, net.twice, net.held) = (0.0, 0.0, 0.0);
    let absent: Vec<usize> = net.listed.iter().copied().filter(|at| net.nodes[*at].is_none()).collect();
    absent.into_iter().for_each(|at| net.start(at, start + 1));
    (0..12).filter(|at| !net.listed.contains(at)).collect::<Vec<_>>().into_iter().for_each(|at| net.kill(at));
    net.change_all();
    net.run(30 * S);
    net.listed.clone().into_iter().for_each(|at| net.publish(at));
    assert!(net.settle(40 * S).is_some(), "law: {carrier:?} seed {seed}: {} wrong", net.wrong());
}

#[test]
fn whatever_happens_while_members_change_in_the_end_all_agree() {
    for seed in 0..60 {
        chaos(CARRIERS[seed as usize / 30], seed);
    }
}
