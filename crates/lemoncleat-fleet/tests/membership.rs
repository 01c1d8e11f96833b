//! Changes of the list of members while a fleet runs.

mod common;

use std::collections::BTreeSet;

use common::{Net, SECOND};
use lemoncleat_fleet::*;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const CARRIERS: [Transport; 2] = [Transport::Notes, Transport::Connections];

/// Returns the members that any node has held to be suspect or gone.
fn accused(net: &Net) -> BTreeSet<MemberId> {
    let accused = net.log.iter().filter_map(|(_, _, it)| match it {
        Output::State { member, state, .. } if *state != State::Alive => Some(*member),
        _ => None,
    });
    accused.collect()
}

fn stats(net: &Net, at: usize) -> Stats {
    net.nodes[at].as_ref().expect("running").stats()
}

#[test]
fn replaces_a_member_of_64_without_accusing_others() {
    for carrier in CARRIERS {
        let mut net = Net::with_spares(64, 1, carrier, 21);
        let mut rng = SmallRng::seed_from_u64(22);
        net.age_slack = 10 * SECOND;
        net.settle(20 * SECOND).expect("all nodes hold each other alive");
        net.run(20 * SECOND);
        let before = net.sent.0;
        net.run(20 * SECOND);
        let normal = (net.sent.0 - before) / 64;
        net.log.clear();
        net.kill(7);
        net.listed.remove(&7);
        net.listed.insert(64);
        // Each node is given the new list at a different time within about six seconds; the new member starts
        // first.
        net.start(64, 100);
        let mut nodes: Vec<usize> = (0..64).collect();
        nodes.shuffle(&mut rng);
        for at in nodes {
            net.run(SECOND / 10);
            net.update_members(at);
            let one = rng.random_range(0..65);
            net.publish(one);
        }
        // A note compares about a dozen entries, so repairing what gossip missed takes longer than over
        // connections.
        let limit = if carrier == Transport::Notes { 60 * SECOND } else { 5 * SECOND };
        net.settle(limit).expect("all nodes hold each other alive and have all facts");
        // The new member never held anything of the old one, and the others hold nothing either, so there is
        // nothing to repair.
        net.run(5 * SECOND);
        let before = stats(&net, 64).told;
        net.run(20 * SECOND);
        let told = stats(&net, 64).told - before;
        assert!(told <= normal * 5 / 4, "{carrier:?}: {told} messages, normally {normal}");
        assert!(accused(&net).iter().all(|id| *id == net.id(7)), "{carrier:?}");
        assert!(net.max_connections <= 16, "{carrier:?}: a node has {} connections", net.max_connections);
        let node = net.nodes[0].as_ref().expect("running");
        assert!(node.alive() == 64 && node.members().all(|(id, ..)| id != net.id(7)));
        assert_eq!(node.facts(net.now, common::KIND).filter(|fact| fact.origin == net.id(7)).count(), 0);
    }
}

#[test]
fn nodes_with_different_lists_agree_on_common_members_without_extra_traffic() {
    for carrier in CARRIERS {
        let mut net = Net::with_spares(30, 3, carrier, 23);
        net.settle(20 * SECOND).expect("all nodes hold each other alive");
        let rates = |net: &mut Net| {
            let before = net.sent;
            net.run(60 * SECOND);
            ((net.sent.0 - before.0) / 60 / 30, (net.sent.1 - before.1) / 60 / 30)
        };
        let normal = rates(&mut net);
        // Half of the nodes replace three members with another three; the other half never learns of the new
        // list.
        net.listed = (3..33).collect();
        (0..3).for_each(|at| net.kill(at));
        (30..33).for_each(|at| net.start(at, 100));
        (3..18).for_each(|at| net.update_members(at));
        net.run(30 * SECOND);
        let divided = rates(&mut net);
        if carrier == Transport::Connections {
            // Only the first seconds have early comparisons. (Over notes, the half that does not know the
            // three new members does not answer their messages, so that they accuse it and it refutes.)
            assert!(
                divided.0 <= normal.0 * 3 / 2 && divided.1 <= normal.1 * 3 / 2,
                "{divided:?} messages and bytes per second, normally {normal:?}"
            );
        }
        net.log.clear();
        net.kill(20);
        net.run(30 * SECOND);
        net.age_slack = 60 * SECOND;
        (3..33).filter(|at| *at != 20).for_each(|at| net.publish(at));
        net.run(10 * SECOND);
        for viewer in (3..30).filter(|at| *at != 20) {
            for member_at in 3..30 {
                let gone = net.state_of(viewer, member_at) == State::Gone;
                assert_eq!(gone, member_at == 20, "{carrier:?}: state of {member_at} at {viewer}");
            }
            let node = net.nodes[viewer].as_ref().expect("running");
            let facts =
                node.facts(net.now, common::KIND).filter(|fact| (3..30).any(|at| net.id(at) == fact.origin));
            assert_eq!(facts.count(), 26, "{carrier:?}: facts at {viewer}");
        }
        if carrier == Transport::Connections {
            assert_eq!(accused(&net), BTreeSet::from([net.id(20)]));
        }
        net.update_all_members();
        net.settle(15 * SECOND).expect("all nodes hold the same list, and agree");
    }
}

#[test]
fn removed_member_is_a_stranger_until_it_is_added_again() {
    for carrier in CARRIERS {
        let mut net = Net::new(9, carrier, 24);
        net.age_slack = 60 * SECOND;
        net.settle(20 * SECOND).expect("all nodes hold each other alive");
        net.publish(4);
        net.settle(5 * SECOND).expect("all nodes have its fact");
        net.listed.remove(&4);
        let before = stats(&net, 0).strangers;
        net.update_all_members();
        net.settle(5 * SECOND).expect("no node holds anything of the removed member");
        // The removed node goes on with the old list; the nodes that it sends to accept nothing from it.
        net.publish(4);
        net.run(20 * SECOND);
        assert_eq!(net.disagreements(), 0, "{carrier:?}");
        net.turn(0, Input::Received { from: net.id(4), bytes: &[0; 10] });
        net.turn(0, Input::Linked(net.id(4)));
        net.turn(0, Input::Unlinked(net.id(4)));
        net.turn(0, Input::Direct { to: net.id(4), bytes: vec![1] });
        assert!(stats(&net, 0).strangers >= before + 2 && stats(&net, 0).direct_dropped == 1);
        // The same process is added again, with the same incarnation.
        net.listed.insert(4);
        net.update_all_members();
        net.publish(4);
        net.settle(20 * SECOND).expect("the member is back with its facts");
        // It is removed once more, and added as a new process whose clock went back.
        net.listed.remove(&4);
        net.kill(4);
        net.update_all_members();
        net.run(5 * SECOND);
        net.listed.insert(4);
        net.start(4, 50);
        net.update_all_members();
        net.publish(4);
        net.settle(20 * SECOND).expect("the member is back as a new process");
    }
}

#[test]
fn rejects_an_invalid_list_with_a_notice() {
    let mut net = Net::new(5, Transport::Notes, 25);
    net.settle(20 * SECOND).expect("all nodes hold each other alive");
    let member = |name: &str| Member { name: name.into(), zone: "z".into() };
    let without = net.members[1..].to_vec();
    let duplicate = [net.members.clone(), vec![member("n3")]].concat();
    // Two names with the same 32-bit digest.
    let same_digest = [net.members.clone(), vec![member("costarring"), member("liquid")]].concat();
    let too_many = (0..1_025).map(|at| member(&format!("n{at}"))).collect::<Vec<_>>();
    for (list, reason) in [
        (without, "n0 is not among the members"),
        (duplicate, "member n3 is named twice"),
        (same_digest, "have one digest"),
        (too_many, "1025 members; at most 1024"),
    ] {
        let node = net.nodes[0].as_ref().expect("running");
        let error = node.check_members(&list).expect_err("an invalid list").to_string();
        assert!(error.contains(reason), "{error}");
        net.log.clear();
        net.run(61 * SECOND);
        net.turn(0, Input::Members(list.clone()));
        let told = Output::Notice(Notice::MembersRefused(list.len()));
        assert!(net.log.iter().any(|(_, at, it)| *at == 0 && *it == told));
        assert!(net.disagreements() == 0 && accused(&net).is_empty());
    }
    let node = net.nodes[0].as_ref().expect("running");
    assert_eq!(node.check_members(&net.members), Ok(()));
}

#[test]
fn change_of_zones_sends_no_messages() {
    let mut net = Net::new(9, Transport::Connections, 26);
    net.settle(20 * SECOND).expect("all nodes hold each other alive");
    let (log, told) = (net.log.len(), net.sent);
    net.members.iter_mut().for_each(|member| member.zone = "elsewhere".into());
    net.update_all_members();
    assert_eq!((net.log.len(), net.sent, net.disagreements()), (log, told, 0));
    let mut members = net.nodes[3].as_ref().expect("running").members();
    assert!(members.all(|(_, member, ..)| &*member.zone == "elsewhere"));
}

#[test]
fn drops_pending_work_for_a_removed_member() {
    let mut net = Net::new(12, Transport::Connections, 27);
    net.settle(20 * SECOND).expect("all nodes hold each other alive");
    // The killed node is suspected and probed, and messages to it wait for a connection.
    net.kill(5);
    for at in [0, 1, 2] {
        net.turn(at, Input::Direct { to: net.id(5), bytes: vec![1; 50] });
    }
    net.run(SECOND);
    net.listed.remove(&5);
    net.update_all_members();
    net.log.clear();
    net.run(60 * SECOND);
    // Except for messages that were in transit.
    let expected = Output::Notice(Notice::Stranger(net.id(5)));
    assert!(
        net.log.iter().all(|(at, _, it)| *it == expected && *at < net.now - 57 * SECOND),
        "{:?}",
        net.log
    );
    assert_eq!(net.disagreements(), 0);
}

/// Members are added, removed, killed, cut off and started at random, and each node is given the list at its
/// own time; afterwards all nodes must agree.
fn run_random_changes(carrier: Transport, seed: u64) {
    let mut net = Net::with_spares(7, 5, carrier, seed);
    let mut rng = SmallRng::seed_from_u64(seed ^ 99);
    (net.age_slack, net.lost, net.duplicated, net.delayed) = (100 * SECOND, 0.05, 0.1, 0.05);
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
            .for_each(|at| net.update_members(at));
        net.run(rng.random_range(0..4 * SECOND));
        if rng.random() {
            net.break_cut_links();
        }
    }
    net.cut.clear();
    (net.lost, net.duplicated, net.delayed) = (0.0, 0.0, 0.0);
    let absent: Vec<usize> = net.listed.iter().copied().filter(|at| net.nodes[*at].is_none()).collect();
    absent.into_iter().for_each(|at| net.start(at, start + 1));
    (0..12).filter(|at| !net.listed.contains(at)).collect::<Vec<_>>().into_iter().for_each(|at| net.kill(at));
    net.update_all_members();
    net.run(30 * SECOND);
    net.listed.clone().into_iter().for_each(|at| net.publish(at));
    assert!(
        net.settle(40 * SECOND).is_some(),
        "invariant violated: {carrier:?} seed {seed}: {} disagreements",
        net.disagreements()
    );
}

#[test]
fn converges_under_random_failures_while_members_change() {
    for seed in 0..60 {
        run_random_changes(CARRIERS[seed as usize / 30], seed);
    }
}
