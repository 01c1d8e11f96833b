//! The hard cases of agreement, under a virtual clock.

mod net;

use lemoncleat_agreement::{Follower, Found, Input, Notice, Refused, Settings, Timing, Voter};
use net::{wild, Disk, Net, ELECTION, MILLI, SECOND};

/// A net whose leader is known and which decided `commands`.
fn settled(voters: u64, seed: u64, commands: u64) -> (Net, usize) {
    let mut net = Net::new(voters, seed, 32);
    assert!(net.run_till(4 * ELECTION, |net| net.leader().is_some()));
    let leader = net.leader().unwrap();
    for command in 1..=commands {
        net.propose(leader, command);
        net.run(10 * MILLI);
    }
    assert!(net.run_till(SECOND, |net| net.decided.len() as u64 == commands));
    net.law();
    (net, leader)
}

#[test]
fn wild_times_break_no_law_and_end_well() {
    let (mut decided, mut leaders) = (0, 0);
    for seed in 0..150 {
        let mut net = wild(if seed % 3 == 0 { 5 } else { 3 }, seed, 15 * SECOND);
        assert_eq!(net.broken, None, "seed {seed}");
        assert!(net.recovers(), "seed {seed} does not recover: {:?}", net.broken);
        decided += net.decided.len();
        leaders += net.leaders.len();
    }
    println!("150 seeds: {decided} commands decided under {leaders} leaders");
    assert!(decided > 5000 && leaders > 400);
}

#[test]
fn a_leader_killed_between_commit_and_answer_loses_nothing() {
    let mut ticks = Vec::new();
    for seed in 0..100 {
        let (mut net, leader) = settled(3, seed, 5);
        net.propose(leader, 100);
        // The others have it on disk, the leader has not told anyone that it is decided.
        assert!(net.run_till(SECOND, |net| net.nodes[leader].state.last().is_some_and(|last| last.1 == 100)));
        net.kill(leader);
        let killed = net.now;
        assert!(net.run_till(5 * ELECTION, |net| net.leader().is_some()));
        ticks.push((net.now - killed) / Timing::default().tick);
        let others = |net: &Net| {
            let mut others = net.nodes.iter().filter(|node| node.voter.is_some());
            others.all(|node| node.state.last().is_some_and(|last| last.1 == 100))
        };
        assert!(net.run_till(4 * ELECTION, others), "seed {seed}");
        assert!(net.recovers());
        net.law();
    }
    ticks.sort_unstable();
    println!("ticks to a new leader, least, median, most of 100: {} {} {}", ticks[0], ticks[50], ticks[99]);
}

#[test]
fn a_leader_that_reaches_one_voter_only_leads_on_or_gives_way_and_heals() {
    for voters in [3, 5] {
        for seed in 0..20 {
            let (mut net, leader) = settled(voters, seed, 5);
            // A chain: each reaches its neighbours only, the leader at its end.
            let chain: Vec<u64> = (0..voters).map(|step| (leader as u64 + step) % voters + 1).collect();
            for (place, from) in chain.iter().enumerate() {
                for (other, to) in chain.iter().enumerate() {
                    if place.abs_diff(other) > 1 {
                        net.cut.insert((*from, *to));
                    }
                }
            }
            net.run(10 * SECOND);
            if voters == 3 {
                let terms = net.leaders.len();
                net.run(20 * SECOND);
                assert_eq!(net.leaders.len(), terms, "the leader of a chain of three changes without need");
            }
            assert!(net.recovers(), "seed {seed}");
            net.law();
        }
    }
}

#[test]
fn one_way_and_flapping_links_leave_one_leader() {
    for seed in 0..20 {
        let (mut net, leader) = settled(3, seed, 5);
        net.cut_off(leader, true, false);
        assert!(
            net.run_till(4 * ELECTION, |net| net.leader().is_some_and(|now| now != leader)),
            "mute, {seed}"
        );
        net.cut.clear();
        net.run(ELECTION);
        let leader = net.leader().unwrap();
        net.cut_off(leader, false, true);
        assert!(
            net.run_till(5 * ELECTION, |net| net.leader().is_some_and(|now| now != leader)),
            "deaf, {seed}"
        );
        for _ in 0..20 {
            net.cut_off(leader, seed % 2 == 0, true);
            net.run(300 * MILLI);
            net.cut.clear();
            net.run(200 * MILLI);
        }
        assert!(net.recovers());
        net.law();
    }
}

#[test]
fn a_voter_far_behind_gets_a_snapshot_and_a_follower_learns_all() {
    let (mut net, leader) = settled(3, 1, 5);
    let away = (leader + 1) % 3;
    net.kill(away);
    for command in 100..400 {
        net.propose(leader, command);
        net.run(10 * MILLI);
    }
    net.follower = Some((50, Follower::new(50, &[1, 2, 3], Timing::default(), 1), Vec::new()));
    net.start(away);
    assert!(net.run_till(SECOND, |net| net.decided.len() == 305));
    let all = 305;
    let learned = |net: &Net| {
        net.nodes[away].state.len() == all
            && net.follower.as_ref().is_some_and(|(.., state)| state.len() == all)
    };
    assert!(net.run_till(2 * SECOND, learned));
    for node in &net.nodes {
        let Disk::Memory(found) = &node.disk else { continue };
        assert!(found.entries.len() <= 4 * 32, "the log is trimmed while it runs");
        assert!(found.snapshot.is_some());
    }
    assert!(net.recovers());
    net.law();
}

#[test]
fn a_voter_that_lost_its_disk_never_votes_and_learns() {
    for seed in 0..10 {
        let (mut net, leader) = settled(3, seed, 40);
        let lost = (leader + 1) % 3;
        net.kill(lost);
        net.lose_disk(lost);
        net.start(lost);
        assert!(net.run_till(5 * SECOND, |net| net.nodes[lost].state.len() == 40), "it learns");
        assert!(net.nodes[lost].notices.iter().any(|notice| matches!(notice, Notice::StoreLost { .. })));
        let voting = |net: &Net| net.nodes[lost].voter.as_ref().unwrap().is_voting();
        assert!(!voting(&net));
        // With one of the other two gone there is no quorum, whatever the third believes.
        net.kill(leader);
        net.run(10 * SECOND);
        let other = 3 - leader - lost;
        assert!(!voting(&net) && net.nodes[other].voter.as_ref().unwrap().leader().is_none());
        // A restart changes nothing.
        net.kill_for(lost, SECOND);
        net.run(5 * SECOND);
        assert!(!voting(&net));
        net.start(leader);
        assert!(net.run_till(4 * ELECTION, |net| net.leader().is_some()));
        net.law();
    }
}

#[test]
fn a_full_disk_makes_a_voter_step_back_and_two_stop_agreement() {
    for seed in 0..10 {
        let (mut net, leader) = settled(3, seed, 5);
        net.nodes[leader].disk_full = true;
        net.propose(leader, 50);
        assert!(net.run_till(4 * ELECTION, |net| net.leader().is_some_and(|now| now != leader)));
        let steps_back = |net: &Net| {
            let voter = net.nodes[leader].voter.as_ref().unwrap();
            !voter.is_voting() && voter.leader().is_none()
        };
        assert!(steps_back(&net));
        assert!(net.nodes[leader].notices.iter().any(|notice| matches!(notice, Notice::StoreFailed { .. })));
        let next = net.leader().unwrap();
        net.propose(next, 60);
        assert!(
            net.run_till(SECOND, |net| net.decided.last().is_some_and(|last| last.1 == 60)),
            "the others go on"
        );
        net.nodes[next].disk_full = true;
        net.propose(next, 70);
        net.run(10 * SECOND);
        assert!(net.leader().is_none(), "two of three are full");
        let decided = net.decided.len();
        for node in 0..3 {
            let lost = net.nodes[node].lost;
            net.propose(node, 80);
            assert_eq!(net.nodes[node].lost, lost + 1, "refused at once");
        }
        net.run(5 * SECOND);
        assert_eq!(net.decided.len(), decided);
        assert!(net.recovers(), "seed {seed}");
        assert!(net.nodes[leader].notices.contains(&Notice::StoreWorks));
        net.law();
    }
}

#[test]
fn what_no_voter_says_is_counted_and_harms_nothing() {
    use rand::{Rng, SeedableRng};
    let mut random = rand::rngs::SmallRng::seed_from_u64(7);
    let (mut net, _) = settled(3, 3, 20);
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..random.random_range(0..60)).map(|_| random.random_range(0..16)).collect();
        let (node, from) = (random.random_range(0..3), random.random_range(0..6));
        net.input(node, Input::Heard { from, bytes: &bytes });
        if let Some(voter) = &net.nodes[node].voter {
            assert!(voter.stats().term < 100);
        }
    }
    assert!(net
        .nodes
        .iter()
        .all(|node| node.voter.as_ref().is_some_and(|voter| voter.stats().unreadable > 0)));
    assert!(net.recovers());
    net.law();
}

#[test]
fn a_store_of_another_place_is_refused() {
    let (net, _) = settled(3, 3, 5);
    let Disk::Memory(found) = &net.nodes[0].disk else { return };
    let settings = |own, voters: &[u64]| Settings {
        own,
        voters: voters.to_vec(),
        timing: Timing::default(),
        max_command: 100,
        snapshot_every: 16,
    };
    let refused = |settings, found: &Found| Voter::new(settings, found.clone(), 1).err();
    assert!(matches!(refused(settings(2, &[1, 2, 3]), found), Some(Refused::OtherPlace(_))));
    assert!(matches!(refused(settings(1, &[1, 2, 4]), found), Some(Refused::OtherPlace(_))));
    assert!(matches!(refused(settings(1, &[1, 2, 3, 4]), found), Some(Refused::Settings(_))));
    let mut gap = found.clone();
    gap.entries.remove(1);
    assert!(matches!(refused(settings(1, &[1, 2, 3]), &gap), Some(Refused::Broken(_))));
}
