//! Failure scenarios of the agreement, under a virtual clock.

mod net;

use lemoncleat_agreement::{Follower, Found, Input, Notice, Settings, StartError, Timing, Voter};
use net::{run_random_faults, Disk, Net, ELECTION, MILLI, SECOND};

/// Returns a network with a leader that has decided `commands`.
fn with_decided_commands(voters: u64, seed: u64, commands: u64) -> (Net, usize) {
    let mut net = Net::new(voters, seed, 32);
    assert!(net.run_until_holds(4 * ELECTION, |net| net.leader().is_some()));
    let leader = net.leader().unwrap();
    for command in 1..=commands {
        net.propose(leader, command);
        net.run(10 * MILLI);
    }
    assert!(net.run_until_holds(SECOND, |net| net.decided.len() as u64 == commands));
    net.assert_no_violation();
    (net, leader)
}

#[test]
fn keeps_invariants_and_recovers_under_random_faults() {
    let (mut decided, mut leaders) = (0, 0);
    for seed in 0..150 {
        let mut net = run_random_faults(if seed % 3 == 0 { 5 } else { 3 }, seed, 15 * SECOND);
        assert_eq!(net.violation, None, "seed {seed}");
        assert!(net.recovers(), "seed {seed} does not recover: {:?}", net.violation);
        decided += net.decided.len();
        leaders += net.leaders.len();
    }
    println!("150 seeds: {decided} commands decided under {leaders} leaders");
    assert!(decided > 5000 && leaders > 400);
}

#[test]
fn keeps_a_command_when_the_leader_is_killed_after_commit() {
    let mut ticks = Vec::new();
    for seed in 0..100 {
        let (mut net, leader) = with_decided_commands(3, seed, 5);
        net.propose(leader, 100);
        // The command is on the disks of the others, and the leader has not yet told them that it is decided.
        assert!(net
            .run_until_holds(SECOND, |net| net.nodes[leader].state.last().is_some_and(|last| last.1 == 100)));
        net.kill(leader);
        let killed = net.now;
        assert!(net.run_until_holds(5 * ELECTION, |net| net.leader().is_some()));
        ticks.push((net.now - killed) / Timing::default().tick);
        let others = |net: &Net| {
            let mut others = net.nodes.iter().filter(|node| node.voter.is_some());
            others.all(|node| node.state.last().is_some_and(|last| last.1 == 100))
        };
        assert!(net.run_until_holds(4 * ELECTION, others), "seed {seed}");
        assert!(net.recovers());
        net.assert_no_violation();
    }
    ticks.sort_unstable();
    println!("ticks to a new leader, min, median, max of 100: {} {} {}", ticks[0], ticks[50], ticks[99]);
}

#[test]
fn recovers_when_voters_reach_only_their_neighbours() {
    for voters in [3, 5] {
        for seed in 0..20 {
            let (mut net, leader) = with_decided_commands(voters, seed, 5);
            // A chain in which each voter reaches only its neighbours, with the leader at one end.
            let chain: Vec<u64> = (0..voters).map(|step| (leader as u64 + step) % voters + 1).collect();
            for (position, from) in chain.iter().enumerate() {
                for (other, to) in chain.iter().enumerate() {
                    if position.abs_diff(other) > 1 {
                        net.cut.insert((*from, *to));
                    }
                }
            }
            net.run(10 * SECOND);
            if voters == 3 {
                let terms = net.leaders.len();
                net.run(20 * SECOND);
                assert_eq!(
                    net.leaders.len(),
                    terms,
                    "the leader of a chain of three changes without a reason"
                );
            }
            assert!(net.recovers(), "seed {seed}");
            net.assert_no_violation();
        }
    }
}

#[test]
fn replaces_a_leader_with_one_way_links_and_survives_flapping() {
    for seed in 0..20 {
        let (mut net, leader) = with_decided_commands(3, seed, 5);
        net.cut_links(leader, true, false);
        assert!(
            net.run_until_holds(4 * ELECTION, |net| net.leader().is_some_and(|now| now != leader)),
            "outgoing links cut, seed {seed}"
        );
        net.cut.clear();
        net.run(ELECTION);
        let leader = net.leader().unwrap();
        net.cut_links(leader, false, true);
        assert!(
            net.run_until_holds(5 * ELECTION, |net| net.leader().is_some_and(|now| now != leader)),
            "incoming links cut, seed {seed}"
        );
        for _ in 0..20 {
            net.cut_links(leader, seed % 2 == 0, true);
            net.run(300 * MILLI);
            net.cut.clear();
            net.run(200 * MILLI);
        }
        assert!(net.recovers());
        net.assert_no_violation();
    }
}

#[test]
fn sends_a_snapshot_to_a_lagging_voter_and_all_commands_to_a_follower() {
    let (mut net, leader) = with_decided_commands(3, 1, 5);
    let stopped = (leader + 1) % 3;
    net.kill(stopped);
    for command in 100..400 {
        net.propose(leader, command);
        net.run(10 * MILLI);
    }
    net.follower = Some((50, Follower::new(50, &[1, 2, 3], Timing::default(), 1), Vec::new()));
    net.start(stopped);
    assert!(net.run_until_holds(SECOND, |net| net.decided.len() == 305));
    let all = 305;
    let learned = |net: &Net| {
        net.nodes[stopped].state.len() == all
            && net.follower.as_ref().is_some_and(|(.., state)| state.len() == all)
    };
    assert!(net.run_until_holds(2 * SECOND, learned));
    for node in &net.nodes {
        let Disk::Memory(found) = &node.disk else { continue };
        assert!(found.entries.len() <= 4 * 32, "the log is trimmed while the voter runs");
        assert!(found.snapshot.is_some());
    }
    assert!(net.recovers());
    net.assert_no_violation();
}

#[test]
fn voter_with_a_lost_disk_learns_but_never_votes() {
    for seed in 0..10 {
        let (mut net, leader) = with_decided_commands(3, seed, 40);
        let lost = (leader + 1) % 3;
        net.kill(lost);
        net.lose_disk(lost);
        net.start(lost);
        assert!(
            net.run_until_holds(5 * SECOND, |net| net.nodes[lost].state.len() == 40),
            "the voter learns what was decided"
        );
        assert!(net.nodes[lost].notices.iter().any(|notice| matches!(notice, Notice::StoreLost { .. })));
        let voting = |net: &Net| net.nodes[lost].voter.as_ref().unwrap().is_voting();
        assert!(!voting(&net));
        // With one of the other two voters down there is no quorum, whatever the third one knows.
        net.kill(leader);
        net.run(10 * SECOND);
        let other = 3 - leader - lost;
        assert!(!voting(&net) && net.nodes[other].voter.as_ref().unwrap().leader().is_none());
        // The voter must not vote after a restart either.
        net.kill_for(lost, SECOND);
        net.run(5 * SECOND);
        assert!(!voting(&net));
        net.start(leader);
        assert!(net.run_until_holds(4 * ELECTION, |net| net.leader().is_some()));
        net.assert_no_violation();
    }
}

#[test]
fn full_disk_makes_a_voter_step_down_and_two_stop_decisions() {
    for seed in 0..10 {
        let (mut net, leader) = with_decided_commands(3, seed, 5);
        net.nodes[leader].disk_full = true;
        net.propose(leader, 50);
        assert!(net.run_until_holds(4 * ELECTION, |net| net.leader().is_some_and(|now| now != leader)));
        let stepped_down = |net: &Net| {
            let voter = net.nodes[leader].voter.as_ref().unwrap();
            !voter.is_voting() && voter.leader().is_none()
        };
        assert!(stepped_down(&net));
        assert!(net.nodes[leader].notices.iter().any(|notice| matches!(notice, Notice::StoreFailed { .. })));
        let next = net.leader().unwrap();
        net.propose(next, 60);
        assert!(
            net.run_until_holds(SECOND, |net| net.decided.last().is_some_and(|last| last.1 == 60)),
            "the other voters go on deciding"
        );
        net.nodes[next].disk_full = true;
        net.propose(next, 70);
        net.run(10 * SECOND);
        assert!(net.leader().is_none(), "the disks of two of three voters are full");
        let decided = net.decided.len();
        for node in 0..3 {
            let lost = net.nodes[node].lost;
            net.propose(node, 80);
            assert_eq!(net.nodes[node].lost, lost + 1, "the proposal is rejected at once");
        }
        net.run(5 * SECOND);
        assert_eq!(net.decided.len(), decided);
        assert!(net.recovers(), "seed {seed}");
        assert!(net.nodes[leader].notices.contains(&Notice::StoreRecovered));
        net.assert_no_violation();
    }
}

#[test]
fn counts_and_survives_random_messages() {
    use rand::{Rng, SeedableRng};
    let mut random = rand::rngs::SmallRng::seed_from_u64(7);
    let (mut net, _) = with_decided_commands(3, 3, 20);
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..random.random_range(0..60)).map(|_| random.random_range(0..16)).collect();
        let (node, from) = (random.random_range(0..3), random.random_range(0..6));
        net.input(node, Input::Received { from, bytes: &bytes });
        if let Some(voter) = &net.nodes[node].voter {
            assert!(voter.stats().term < 100);
        }
    }
    assert!(net
        .nodes
        .iter()
        .all(|node| node.voter.as_ref().is_some_and(|voter| voter.stats().unreadable > 0)));
    assert!(net.recovers());
    net.assert_no_violation();
}

#[test]
fn rejects_a_store_of_another_voter() {
    let (net, _) = with_decided_commands(3, 3, 5);
    let Disk::Memory(found) = &net.nodes[0].disk else { return };
    let settings = |own, voters: &[u64]| Settings {
        own,
        voters: voters.to_vec(),
        timing: Timing::default(),
        max_command: 100,
        snapshot_every: 16,
    };
    let start_error = |settings, found: &Found| Voter::new(settings, found.clone(), 1).err();
    assert!(matches!(start_error(settings(2, &[1, 2, 3]), found), Some(StartError::ForeignStore(_))));
    assert!(matches!(start_error(settings(1, &[1, 2, 4]), found), Some(StartError::ForeignStore(_))));
    assert!(matches!(start_error(settings(1, &[1, 2, 3, 4]), found), Some(StartError::Settings(_))));
    let mut gap = found.clone();
    gap.entries.remove(1);
    assert!(matches!(start_error(settings(1, &[1, 2, 3]), &gap), Some(StartError::Inconsistent(_))));
}
