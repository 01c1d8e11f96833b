//! The test cases of docs/design/configuration.md, each to be run with and without an injected fault.
#![allow(dead_code)]

use lemoncleat_configuration::{pack, Answer, Input, Notice, Phase};
use rand::Rng;

use crate::net::{settled, text, texts_of_equal_packed_length, Net, MS, SECOND};

pub type Case = fn(u64) -> Result<(), String>;

fn check(holds: bool, failure: &str) -> Result<(), String> {
    holds.then_some(()).ok_or_else(|| failure.to_owned())
}

pub fn change_reaches_all_members_within_5_s(seed: u64) -> Result<(), String> {
    for count in [9, 30, 100] {
        let mut net = settled(count, seed)?;
        net.change_settled(7, "second", &text("second", seed, 60_000));
        let from = net.now;
        check(net.run_until(10 * SECOND, |net| net.settled() == 2), "the second version did not settle")?;
        net.check_converges()?;
        check(net.now - from <= 5 * SECOND, "the change took more than 5 s")?;
        check(net.answered("second") == Some(Ok(2)), "the order was not answered")?;
    }
    Ok(())
}

pub fn one_of_two_changes_on_the_same_parent_is_accepted(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    net.change(3, "one", 1, &text("one", 1, 300));
    net.change(8, "other", 1, &text("other", 2, 300));
    net.run(2 * SECOND);
    let (one, other) = (net.answered("one"), net.answered("other"));
    let refused = one.clone().and_then(Result::err).or(other.clone().and_then(Result::err));
    check(
        refused.is_some_and(|reason| reason.contains("1") && !reason.contains('\n')),
        "neither change was refused",
    )?;
    check([one, other].contains(&Some(Ok(2))), "neither change was accepted")?;
    net.check_converges()?;
    net.change(8, "later", 1, &text("later", 2, 300));
    net.run(SECOND);
    let reported = Some(Err("made on version 1, but 2 is in force".to_owned()));
    check(net.answered("later") == reported, "the refusal does not name the version in force")?;
    net.change(8, "same", 2, &net.texts[&2].clone());
    net.run(SECOND);
    check(net.answered("same").is_some_and(|answer| answer.is_err()), "the same text was accepted")?;
    net.check_converges()
}

pub fn order_is_answered_once_when_leader_dies_after_commit(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    net.change_settled(9, "second", &text("second", seed, 3_000));
    check(
        net.run_until(2 * SECOND, |net| net.reference.announcement().trial.is_some()),
        "the order was not agreed",
    )?;
    let leader = net.leader.ok_or("no leader")?;
    net.kill(leader, true);
    check(
        net.run_until(10 * SECOND, |net| net.answered("second") == Some(Ok(2))),
        "the order was not answered",
    )?;
    check(
        net.log.iter().filter(|command| command.first() == Some(&0)).count() >= 2,
        "the change was not proposed again",
    )?;
    net.start(leader);
    net.check_converges()?;
    check(net.settled() == 2 && net.texts.len() == 2, "the order was agreed twice")
}

pub fn saved_copy_survives_kills_while_fetching_applying_or_persisting(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    for round in 0..6u64 {
        net.change_settled(1, &format!("order {round}"), &text("t", round, 9_000));
        net.run(SECOND);
        for node in 5..12 {
            let span = net.rng.random_range(0..700) * MS;
            net.run(span);
            net.kill(node, true);
            net.start(node);
        }
        net.check_converges()?;
    }
    net.run(SECOND);
    // All nodes are isolated from here on, and start from their saved copies.
    net.cut_links((0..12).collect());
    for node in 5..12 {
        net.kill(node, true);
        net.start(node);
    }
    net.run(3 * SECOND);
    let settled = net.settled();
    let used = (5..12).all(|node| net.nodes[node].in_force == settled && net.nodes[node].ready_at.is_some());
    check(used, "a saved copy was not used")?;
    net.violation.clone().map_or(Ok(()), Err)
}

pub fn corrupt_copy_is_reported_and_not_used(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    net.kill(7, true);
    let disk = net.nodes[7].disk.as_mut().ok_or("no copy was saved")?;
    // The byte of the step follows the format byte and the digest.
    disk[33] = 0x7f;
    net.start(7);
    let reported = net.nodes[7].notices.iter().any(|notice| matches!(notice, Notice::CopyUnusable(_)));
    net.change_settled(3, "second", &text("second", seed, 3_000));
    net.run_until(10 * SECOND, |net| net.settled() == 2);
    net.check_converges()?;
    check(reported, "the corrupt copy was not reported")
}

pub fn late_announcement_is_ignored(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    net.record = true;
    net.run(SECOND);
    net.change_settled(3, "second", &text("second", seed, 3_000));
    net.run_until(10 * SECOND, |net| net.settled() == 2);
    net.check_converges()?;
    net.record = false;
    // Announcements have the tag 0.
    let late = std::mem::take(&mut net.recorded);
    for (from, to, bytes) in late.into_iter().filter(|(.., bytes)| bytes.first() == Some(&0)) {
        net.deliver(from, to, bytes);
    }
    net.run(SECOND);
    check(net.converged(), "a late announcement was accepted")?;
    net.check_converges()
}

pub fn one_of_rollback_and_concurrent_change_is_accepted(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    let first = net.texts[&1].clone();
    net.change_settled(3, "second", &text("second", seed, 3_000));
    net.run_until(10 * SECOND, |net| net.settled() == 2);
    net.check_converges()?;
    net.change(5, "rollback", 2, &first);
    net.change(9, "third", 2, &text("third", seed, 3_000));
    net.run(SECOND);
    let accepted = ["rollback", "third"].map(|order| net.answered(order) == Some(Ok(3)));
    check(accepted[0] != accepted[1], "not exactly one of the two was accepted")?;
    net.run_until(10 * SECOND, |net| net.settled() == 3);
    net.check_converges()?;
    check(net.settled() == 3, "version 3 did not settle")
}

pub fn only_the_majority_side_agrees_on_a_change_during_a_partition(seed: u64) -> Result<(), String> {
    let mut net = settled(24, seed)?;
    net.cut_links((0..24).map(|node| u8::from(node >= 20)).collect());
    net.run(SECOND);
    net.change(8, "here", 1, &text("here", seed, 9_000));
    net.change(20, "there", 1, &text("there", seed, 9_000));
    net.run(15 * SECOND);
    check(net.answered("here") == Some(Ok(2)) && net.settled() == 2, "the majority side did not agree")?;
    check(net.answered("there").is_some_and(|answer| answer.is_err()), "the minority side agreed")?;
    check((20..24).all(|node| net.nodes[node].in_force == 1), "the minority side did not keep its version")?;
    let age = net.nodes[20].core.as_ref().and_then(|core| core.status(net.now).age);
    check(age.is_some_and(|age| age > 14 * SECOND), "the minority side does not report its age")?;
    net.heal();
    net.check_converges()
}

pub fn twenty_changes_settle_within_a_minute(seed: u64) -> Result<(), String> {
    let mut net = settled(24, seed)?;
    let from = net.now;
    for at in 2..22u64 {
        net.change_settled(at as usize, &format!("order {at}"), &text("t", seed * 100 + at, 2_000));
        check(net.run_until(10 * SECOND, |net| net.settled() == at), "a change did not settle")?;
    }
    check(net.now - from < 60 * SECOND, "the changes took more than a minute")?;
    net.check_converges()
}

pub fn version_is_rolled_back_when_a_canary_refuses_it(seed: u64) -> Result<(), String> {
    for count in [9, 48] {
        let mut net = settled(count, seed)?;
        (0..count).for_each(|node| net.nodes[node].rejects_new = node % 2 == (node / 8) % 2);
        net.change_settled(4, "new", &text("new", seed, 3_000));
        net.run_until(2 * SECOND, |net| net.reference.announcement().trial.is_some());
        let canaries = net.canaries();
        check(!canaries.is_empty(), "no trial started")?;
        // The digest selects the canaries, so it may be that none of them refuses the text.
        let refusing = canaries.iter().any(|id| net.nodes[*id as usize].rejects_new);
        net.run_until(6 * SECOND, |net| net.reference.announcement().trial.is_none());
        net.check_converges()?;
        if refusing {
            check(net.settled() == 1, "the version was promoted")?;
            let reason = net.reference.rolled_back().map(|(number, reason)| (number, reason.to_owned()));
            check(
                reason.is_some_and(|(number, reason)| number == 2 && reason.contains("unknown")),
                "the reason of the rollback is missing",
            )?;
        } else {
            check(net.settled() == 2, "the version was not promoted although no canary refused it")?;
        }
        let number = net.settled() + 1;
        net.change_settled(4, "next", &text("next", seed, 3_000));
        net.run_until(10 * SECOND, |net| {
            net.reference.announcement().trial.is_none() && net.settled() >= number
        });
        net.check_converges()?;
        check(net.settled() == 3, "the next change did not settle as 3")?;
    }
    Ok(())
}

pub fn version_is_rolled_back_when_canaries_lose_calls(seed: u64) -> Result<(), String> {
    let mut net = settled(48, seed)?;
    net.change_settled(4, "lossy", &text("lossy", seed, 3_000));
    net.run(8 * SECOND);
    check(net.settled() == 1, "the version was promoted")?;
    check(
        net.reference.rolled_back().is_some_and(|(_, reason)| reason.contains("lost")),
        "the reason of the rollback is missing",
    )?;
    net.check_converges()
}

pub fn trial_passes_with_half_of_the_canaries_and_fails_without_any(seed: u64) -> Result<(), String> {
    for all in [false, true] {
        let mut net = settled(48, seed)?;
        net.change_settled(4, "second", &text("second", seed, 3_000));
        net.run_until(SECOND, |net| net.reference.announcement().trial.is_some());
        let canaries: Vec<u32> = net.canaries().into_iter().filter(|id| *id > 4).collect();
        let gone = if all { canaries.len() } else { canaries.len() / 3 };
        canaries.iter().take(gone).for_each(|id| net.kill(*id as usize, true));
        net.run(8 * SECOND);
        check(
            net.settled() == if all { 1 } else { 2 },
            "the decision does not follow from half of the canaries",
        )?;
        canaries.iter().take(gone).for_each(|id| net.start(*id as usize));
        net.check_converges()?;
    }
    Ok(())
}

pub fn wrong_text_is_reported_and_fetched_elsewhere(seed: u64) -> Result<(), String> {
    let mut reported = 0;
    for first in 5..8 {
        let mut net = settled(24, seed)?;
        let (right_text, false_chunk) = texts_of_equal_packed_length(seed);
        check(
            pack(&right_text).is_ok_and(|packed| packed != false_chunk),
            "the false chunk is the right one",
        )?;
        (first..24).step_by(3).for_each(|node| net.nodes[node].false_chunk = Some(false_chunk.clone()));
        net.change_settled(4, "second", &right_text);
        net.run_until(10 * SECOND, |net| net.settled() == 2);
        net.check_converges()?;
        for node in &net.nodes {
            for (at, notice) in node.notices.iter().enumerate() {
                let wrong = matches!(notice, Notice::WrongText(..));
                reported += usize::from(wrong);
                check(
                    !wrong || !node.notices[..at].contains(notice),
                    "a neighbour was asked again after a wrong text",
                )?;
            }
        }
    }
    check(reported > 0, "no wrong text was reported")
}

pub fn text_is_fetched_elsewhere_when_a_neighbour_does_not_answer(seed: u64) -> Result<(), String> {
    let mut net = settled(24, seed)?;
    (5..24).step_by(3).for_each(|node| net.nodes[node].ignores_fetches = true);
    net.change_settled(4, "second", &text("second", seed, 30_000));
    net.run_until(10 * SECOND, |net| net.settled() == 2);
    net.check_converges()
}

pub fn many_nodes_restarted_at_once_start_in_time(seed: u64) -> Result<(), String> {
    let mut net = settled(200, seed)?;
    (50..175).for_each(|node| net.kill(node, node % 2 == 0));
    net.run(SECOND);
    net.change_settled(4, "second", &text("second", seed, 30_000));
    net.run_until(10 * SECOND, |net| net.settled() == 2);
    (50..175).for_each(|node| net.start(node));
    let from = net.now;
    net.check_converges()?;
    net.run(SECOND);
    let took = |node: usize| net.nodes[node].ready_at.map(|at| at - from);
    let late = (50..175).filter_map(took).max().unwrap_or(0);
    check((50..175).all(|node| took(node).is_some()) && late <= 2_100 * MS, "a start took too long")
}

pub fn start_waits_only_for_a_missing_announcement(seed: u64) -> Result<(), String> {
    // Nothing was ever agreed, and a neighbour announces that.
    let mut net = Net::new(12, seed);
    net.run(20 * SECOND);
    net.kill(7, false);
    net.start(7);
    net.run(1_500 * MS);
    check(net.nodes[7].ready_at.is_some(), "the start waits although a neighbour answered")?;
    // An isolated node starts with its file after the wait.
    net.cut_links((0..12).collect());
    net.kill(8, false);
    net.start(8);
    net.run(1_500 * MS);
    check(net.nodes[8].ready_at.is_none(), "the start did not wait for a neighbour")?;
    net.run(SECOND);
    check(
        net.nodes[8].ready_at.is_some() && net.nodes[8].in_force == 0,
        "the node did not start after the wait",
    )?;
    net.violation.clone().map_or(Ok(()), Err)
}

pub fn query_counts_versions_in_force(seed: u64) -> Result<(), String> {
    let mut net = settled(100, seed)?;
    net.cut_links((0..100).map(|node| u8::from(node >= 90)).collect());
    net.change_settled(4, "second", &text("second", seed, 3_000));
    net.run(8 * SECOND);
    net.kill(50, true);
    net.query(30);
    net.query(95);
    net.run(3 * SECOND);
    let counted: Vec<_> = net
        .answers
        .iter()
        .filter_map(|(node, _, answer)| match answer {
            Answer::Counted { newest, answered, of, counts } => {
                Some((*node, *newest, *answered, *of, counts.clone()))
            }
            _ => None,
        })
        .collect();
    check(counted.len() == 2, "not both queries were answered")?;
    for (node, newest, answered, of, counts) in counted {
        if node == 30 {
            let right = (newest, answered, of) == (2, 89, 100) && counts.versions.get(&2) == Some(&89);
            check(right && counts.others.is_empty(), "the counts of the majority side are wrong")?;
        } else {
            check(newest == 1 && (1..=10).contains(&answered), "the counts of the minority side are wrong")?;
        }
    }
    net.heal();
    // A node that refuses the settled version is listed with its reason.
    net.start(50);
    net.check_converges()?;
    net.answers.clear();
    net.nodes[60].rejects_new = true;
    let mut seed = seed;
    let settled = net.settled();
    loop {
        seed += 1;
        let new = text("new", seed, 3_000);
        let digest = lemoncleat_configuration::Digest::of(new.as_bytes());
        if !lemoncleat_configuration::roles(&net.members, &digest).0.contains(&60) {
            net.change_settled(4, "third", &new);
            break;
        }
    }
    net.run_until(10 * SECOND, |net| net.settled() > settled);
    net.check_converges()?;
    net.run(SECOND);
    net.query(3);
    net.run(3 * SECOND);
    let reported = net.answers.iter().any(|(_, _, answer)| match answer {
        Answer::Counted { counts, .. } => {
            counts.others.len() == 1
                && counts.others[0].member == 60
                && counts.others[0].reason.contains("unknown")
        }
        _ => false,
    });
    check(reported, "the node that refuses the version is not listed")
}

pub fn malformed_messages_are_counted_and_ignored(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    let before = net.nodes[3].core.as_ref().map(|core| (core.status(net.now).step, core.announcement()));
    let mut bad =
        vec![Vec::new(), vec![99], vec![0; 60_000], vec![4, 1, 0, 1, 7], vec![5, 9], vec![8, 1, b'x', 0, 1]];
    for _ in 0..500 {
        let length = net.rng.random_range(0..60);
        bad.push((0..length).map(|_| net.rng.random_range(7..=255u8)).collect());
    }
    for bytes in &bad {
        net.input(3, Input::Received { from: 4, bytes });
    }
    net.input(3, Input::Received { from: 4_000, bytes: &[2] });
    let core = net.nodes[3].core.as_ref().ok_or("node 3 is not running")?;
    let stats = core.stats();
    check(
        stats.unknown_senders == 1 && stats.unreadable > 100 && stats.unexpected >= 3,
        "the messages were not counted",
    )?;
    let after = Some((core.status(net.now).step, core.announcement()));
    check(before == after && core.status(net.now).phase == Phase::All, "the state changed")?;
    let reported =
        net.nodes[3].notices.iter().filter(|notice| matches!(notice, Notice::MessageDiscarded(_))).count();
    check(reported == 1, "not exactly one notice was given")?;
    net.check_converges()
}

/// Random loss, partitions, kills with and without the disk, and changes at any node, among them some that a
/// third of the nodes refuse or that lose calls.
pub fn random_faults_and_changes_converge(seed: u64) -> Result<(), String> {
    let mut net = Net::new([9, 12, 24, 40][seed as usize % 4], seed);
    let count = net.nodes.len();
    net.run(2 * SECOND);
    (0..count).filter(|node| node % 3 == 1).for_each(|node| net.nodes[node].rejects_new = true);
    for at in 0..30u64 {
        let node = net.rng.random_range(0..count);
        match net.rng.random_range(0..8) {
            0 | 1 => {
                let name = ["t", "t", "t", "new", "lossy"][net.rng.random_range(0..5)];
                net.change_settled(node, &format!("order {at}"), &text(name, seed * 1_000 + at, 5_000));
            }
            2 => {
                let parent = net.rng.random_range(0..4);
                net.change(node, &format!("order {at}"), parent, &text("t", seed * 1_000 + at, 500));
            }
            3 => {
                let disk = net.rng.random_bool(0.7) || net.voters.contains(&node);
                net.kill(node, disk);
            }
            4 => {
                let far = net.rng.random_range(0..count);
                net.cut_links((0..count).map(|node| u8::from(node >= far)).collect());
            }
            5 => net.heal(),
            6 => net.loss = net.rng.random_range(0.0..0.1),
            _ => {
                for node in 0..count {
                    if net.nodes[node].core.is_none() {
                        net.start(node);
                    }
                }
            }
        }
        let span = net.rng.random_range(50..1_500) * MS;
        net.run(span);
    }
    net.loss = 0.0;
    net.heal();
    for node in 0..count {
        if net.nodes[node].core.is_none() {
            net.start(node);
        }
    }
    net.check_converges()
}
