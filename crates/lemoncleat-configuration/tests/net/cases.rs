//! The hard cases of docs/design/configuration.md: each whole, to be run with and without a planted mistake.
#![allow(dead_code)]

use lemoncleat_configuration::{pack, Answer, Input, Notice, Phase};
use rand::Rng;

use crate::net::{settled, text, twins, Net, MS, SECOND};

pub type Case = fn(u64) -> Result<(), String>;

fn check(holds: bool, told: &str) -> Result<(), String> {
    holds.then_some(()).ok_or_else(|| told.to_owned())
}

pub fn a_change_reaches_all(seed: u64) -> Result<(), String> {
    for count in [9, 30, 100] {
        let mut net = settled(count, seed)?;
        net.next(7, "second", &text("second", seed, 60_000));
        let from = net.now;
        check(net.run_till(10 * SECOND, |net| net.settled() == 2), "the second version did not settle")?;
        net.ends_well()?;
        check(net.now - from <= 5 * SECOND, "it took more than 5 s")?;
        check(net.answered("second") == Some(Ok(2)), "the order was not answered")?;
    }
    Ok(())
}

pub fn two_changes_on_one_parent(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    net.change(3, "one", 1, &text("one", 1, 300));
    net.change(8, "other", 1, &text("other", 2, 300));
    net.run(2 * SECOND);
    let (one, other) = (net.answered("one"), net.answered("other"));
    let refused = one.clone().and_then(Result::err).or(other.clone().and_then(Result::err));
    check(refused.is_some_and(|why| why.contains("1") && !why.contains('\n')), "none was refused")?;
    check([one, other].contains(&Some(Ok(2))), "none was taken")?;
    net.ends_well()?;
    net.change(8, "later", 1, &text("later", 2, 300));
    net.run(SECOND);
    let told = Some(Err("made on version 1, but 2 is in force".to_owned()));
    check(net.answered("later") == told, "the version in force was not named")?;
    net.change(8, "same", 2, &net.texts[&2].clone());
    net.run(SECOND);
    check(net.answered("same").is_some_and(|answer| answer.is_err()), "the same text was taken")?;
    net.ends_well()
}

pub fn the_leader_killed_between_commit_and_answer(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    net.next(9, "second", &text("second", seed, 3_000));
    check(net.run_till(2 * SECOND, |net| net.truth.announcement().trial.is_some()), "not agreed")?;
    let leader = net.leader.ok_or("no leader")?;
    net.kill(leader, true);
    check(net.run_till(10 * SECOND, |net| net.answered("second") == Some(Ok(2))), "not answered")?;
    check(net.log.iter().filter(|command| command.first() == Some(&0)).count() >= 2, "no change")?;
    net.start(leader);
    net.ends_well()?;
    check(net.settled() == 2 && net.texts.len() == 2, "agreed twice")
}

pub fn killed_between_fetching_and_force_or_while_storing(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    for round in 0..6u64 {
        net.next(1, &format!("order {round}"), &text("t", round, 9_000));
        net.run(SECOND);
        for node in 5..12 {
            let span = net.rng.random_range(0..700) * MS;
            net.run(span);
            net.kill(node, true);
            net.start(node);
        }
        net.ends_well()?;
    }
    net.run(SECOND);
    // All stand alone from now on: each has its copy.
    net.cut((0..12).collect());
    for node in 5..12 {
        net.kill(node, true);
        net.start(node);
    }
    net.run(3 * SECOND);
    let settled = net.settled();
    let kept =
        (5..12).all(|node| net.nodes[node].in_force == settled && net.nodes[node].settled_at.is_some());
    check(kept, "a copy was not used")?;
    net.broken.clone().map_or(Ok(()), Err)
}

pub fn a_torn_copy_is_told_and_not_used(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    net.kill(7, true);
    let disk = net.nodes[7].disk.as_mut().ok_or("nothing was kept")?;
    // The step's byte, after the format and the digest.
    disk[33] = 0x7f;
    net.start(7);
    let told = net.nodes[7].notices.iter().any(|notice| matches!(notice, Notice::CopyUnusable(_)));
    net.next(3, "second", &text("second", seed, 3_000));
    net.run_till(10 * SECOND, |net| net.settled() == 2);
    net.ends_well()?;
    check(told, "not told")
}

pub fn a_late_word_changes_nothing(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    net.record = true;
    net.run(SECOND);
    net.next(3, "second", &text("second", seed, 3_000));
    net.run_till(10 * SECOND, |net| net.settled() == 2);
    net.ends_well()?;
    net.record = false;
    // Announcements are the word 0.
    let late = std::mem::take(&mut net.recorded);
    for (from, to, bytes) in late.into_iter().filter(|(.., bytes)| bytes.first() == Some(&0)) {
        net.say(from, to, bytes);
    }
    net.run(SECOND);
    check(net.at_one(), "a late word was taken")?;
    net.ends_well()
}

pub fn a_rollback_that_crosses_a_change(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    let first = net.texts[&1].clone();
    net.next(3, "second", &text("second", seed, 3_000));
    net.run_till(10 * SECOND, |net| net.settled() == 2);
    net.ends_well()?;
    net.change(5, "rollback", 2, &first);
    net.change(9, "third", 2, &text("third", seed, 3_000));
    net.run(SECOND);
    let taken = ["rollback", "third"].map(|order| net.answered(order) == Some(Ok(3)));
    check(taken[0] != taken[1], "not one of the two")?;
    net.run_till(10 * SECOND, |net| net.settled() == 3);
    net.ends_well()?;
    check(net.settled() == 3, "it did not settle")
}

pub fn a_change_during_a_cut_from_both_sides(seed: u64) -> Result<(), String> {
    let mut net = settled(24, seed)?;
    net.cut((0..24).map(|node| u8::from(node >= 20)).collect());
    net.run(SECOND);
    net.change(8, "here", 1, &text("here", seed, 9_000));
    net.change(20, "there", 1, &text("there", seed, 9_000));
    net.run(15 * SECOND);
    check(net.answered("here") == Some(Ok(2)) && net.settled() == 2, "the voters' side did not agree")?;
    check(net.answered("there").is_some_and(|answer| answer.is_err()), "the other side agreed")?;
    check((20..24).all(|node| net.nodes[node].in_force == 1), "the cut side did not keep its version")?;
    let age = net.nodes[20].core.as_ref().and_then(|core| core.status(net.now).age);
    check(age.is_some_and(|age| age > 14 * SECOND), "the cut side's age is not told")?;
    net.heal();
    net.ends_well()
}

pub fn twenty_changes_within_a_minute(seed: u64) -> Result<(), String> {
    let mut net = settled(24, seed)?;
    let from = net.now;
    for at in 2..22u64 {
        net.next(at as usize, &format!("order {at}"), &text("t", seed * 100 + at, 2_000));
        check(net.run_till(10 * SECOND, |net| net.settled() == at), "a change did not settle")?;
    }
    check(net.now - from < 60 * SECOND, "they took more than a minute")?;
    net.ends_well()
}

pub fn a_text_that_half_can_not_use(seed: u64) -> Result<(), String> {
    for count in [9, 48] {
        let mut net = settled(count, seed)?;
        (0..count).for_each(|node| net.nodes[node].old = node % 2 == (node / 8) % 2);
        net.next(4, "new", &text("new", seed, 3_000));
        net.run_till(2 * SECOND, |net| net.truth.announcement().trial.is_some());
        let canaries = net.canaries();
        check(!canaries.is_empty(), "no trial")?;
        // By the digest's chance none of them may be of those that can't.
        let refusing = canaries.iter().any(|id| net.nodes[*id as usize].old);
        net.run_till(6 * SECOND, |net| net.truth.announcement().trial.is_none());
        net.ends_well()?;
        if refusing {
            check(net.settled() == 1, "it went to all")?;
            let why = net.truth.taken_back().map(|(number, why)| (number, why.to_owned()));
            check(why.is_some_and(|(number, why)| number == 2 && why.contains("unknown")), "no reason")?;
        } else {
            check(net.settled() == 2, "nobody refused it")?;
        }
        let number = net.settled() + 1;
        net.next(4, "next", &text("next", seed, 3_000));
        net.run_till(10 * SECOND, |net| net.truth.announcement().trial.is_none() && net.settled() >= number);
        net.ends_well()?;
        check(net.settled() == 3, "the next change did not settle as 3")?;
    }
    Ok(())
}

pub fn calls_refused_at_canaries_stop_it(seed: u64) -> Result<(), String> {
    let mut net = settled(48, seed)?;
    net.next(4, "lossy", &text("lossy", seed, 3_000));
    net.run(8 * SECOND);
    check(net.settled() == 1, "it went to all")?;
    check(net.truth.taken_back().is_some_and(|(_, why)| why.contains("lost")), "no reason")?;
    net.ends_well()
}

pub fn absent_canaries(seed: u64) -> Result<(), String> {
    for most in [false, true] {
        let mut net = settled(48, seed)?;
        net.next(4, "second", &text("second", seed, 3_000));
        net.run_till(SECOND, |net| net.truth.announcement().trial.is_some());
        let canaries: Vec<u32> = net.canaries().into_iter().filter(|id| *id > 4).collect();
        let gone = if most { canaries.len() } else { canaries.len() / 3 };
        canaries.iter().take(gone).for_each(|id| net.kill(*id as usize, true));
        net.run(8 * SECOND);
        check(net.settled() == if most { 1 } else { 2 }, "not by half of the canaries")?;
        canaries.iter().take(gone).for_each(|id| net.start(*id as usize));
        net.ends_well()?;
    }
    Ok(())
}

pub fn a_neighbour_that_serves_a_wrong_text(seed: u64) -> Result<(), String> {
    let mut told = 0;
    for first in 5..8 {
        let mut net = settled(24, seed)?;
        let (truth, lie) = twins(seed);
        check(pack(&truth).is_ok_and(|packed| packed != lie), "no lie")?;
        (first..24).step_by(3).for_each(|node| net.nodes[node].lies = Some(lie.clone()));
        net.next(4, "second", &truth);
        net.run_till(10 * SECOND, |net| net.settled() == 2);
        net.ends_well()?;
        for node in &net.nodes {
            for (at, notice) in node.notices.iter().enumerate() {
                let wrong = matches!(notice, Notice::WrongText(..));
                told += usize::from(wrong);
                check(!wrong || !node.notices[..at].contains(notice), "a liar was asked again")?;
            }
        }
    }
    check(told > 0, "no lie was told")
}

pub fn a_neighbour_that_never_answers(seed: u64) -> Result<(), String> {
    let mut net = settled(24, seed)?;
    (5..24).step_by(3).for_each(|node| net.nodes[node].silent = true);
    net.next(4, "second", &text("second", seed, 30_000));
    net.run_till(10 * SECOND, |net| net.settled() == 2);
    net.ends_well()
}

pub fn many_that_come_back_at_once(seed: u64) -> Result<(), String> {
    let mut net = settled(200, seed)?;
    (50..175).for_each(|node| net.kill(node, node % 2 == 0));
    net.run(SECOND);
    net.next(4, "second", &text("second", seed, 30_000));
    net.run_till(10 * SECOND, |net| net.settled() == 2);
    (50..175).for_each(|node| net.start(node));
    let from = net.now;
    net.ends_well()?;
    net.run(SECOND);
    let took = |node: usize| net.nodes[node].settled_at.map(|at| at - from);
    let late = (50..175).filter_map(took).max().unwrap_or(0);
    check((50..175).all(|node| took(node).is_some()) && late <= 2_100 * MS, "a start took too long")
}

pub fn a_start_waits_no_longer_than_it_must(seed: u64) -> Result<(), String> {
    // Nothing was ever agreed, and a neighbour says so.
    let mut net = Net::new(12, seed);
    net.run(20 * SECOND);
    net.kill(7, false);
    net.start(7);
    net.run(1_500 * MS);
    check(net.nodes[7].settled_at.is_some(), "it waits for nothing")?;
    // Alone: its file.
    net.cut((0..12).collect());
    net.kill(8, false);
    net.start(8);
    net.run(1_500 * MS);
    check(net.nodes[8].settled_at.is_none(), "it did not wait")?;
    net.run(SECOND);
    check(net.nodes[8].settled_at.is_some() && net.nodes[8].in_force == 0, "it did not start")?;
    net.broken.clone().map_or(Ok(()), Err)
}

pub fn who_has_what(seed: u64) -> Result<(), String> {
    let mut net = settled(100, seed)?;
    net.cut((0..100).map(|node| u8::from(node >= 90)).collect());
    net.next(4, "second", &text("second", seed, 3_000));
    net.run(8 * SECOND);
    net.kill(50, true);
    net.ask(30);
    net.ask(95);
    net.run(3 * SECOND);
    let counted: Vec<_> = net
        .answers
        .iter()
        .filter_map(|(node, _, answer)| match answer {
            Answer::Counted { newest, answered, of, sums } => {
                Some((*node, *newest, *answered, *of, sums.clone()))
            }
            _ => None,
        })
        .collect();
    check(counted.len() == 2, "not both were answered")?;
    for (node, newest, answered, of, sums) in counted {
        if node == 30 {
            let right = (newest, answered, of) == (2, 89, 100) && sums.versions.get(&2) == Some(&89);
            check(right && sums.others.is_empty(), "not counted right")?;
        } else {
            check(newest == 1 && (1..=10).contains(&answered), "the cut side is not counted right")?;
        }
    }
    net.heal();
    // A node that can't use what all have says so.
    net.start(50);
    net.ends_well()?;
    net.answers.clear();
    net.nodes[60].old = true;
    let mut seed = seed;
    let settled = net.settled();
    loop {
        seed += 1;
        let new = text("new", seed, 3_000);
        let digest = lemoncleat_configuration::Digest::of(new.as_bytes());
        if !lemoncleat_configuration::roles(&net.members, &digest).0.contains(&60) {
            net.next(4, "third", &new);
            break;
        }
    }
    net.run_till(10 * SECOND, |net| net.settled() > settled);
    net.ends_well()?;
    net.run(SECOND);
    net.ask(3);
    net.run(3 * SECOND);
    let told = net.answers.iter().any(|(_, _, answer)| match answer {
        Answer::Counted { sums, .. } => {
            sums.others.len() == 1 && sums.others[0].member == 60 && sums.others[0].why.contains("unknown")
        }
        _ => false,
    });
    check(told, "the node that can't use it is not named")
}

pub fn bad_words_change_nothing(seed: u64) -> Result<(), String> {
    let mut net = settled(12, seed)?;
    let before = net.nodes[3].core.as_ref().map(|core| (core.status(net.now).step, core.announcement()));
    let mut bad =
        vec![Vec::new(), vec![99], vec![0; 60_000], vec![4, 1, 0, 1, 7], vec![5, 9], vec![8, 1, b'x', 0, 1]];
    for _ in 0..500 {
        let length = net.rng.random_range(0..60);
        bad.push((0..length).map(|_| net.rng.random_range(7..=255u8)).collect());
    }
    for bytes in &bad {
        net.tell(3, Input::Heard { from: 4, bytes });
    }
    net.tell(3, Input::Heard { from: 4_000, bytes: &[2] });
    let core = net.nodes[3].core.as_ref().ok_or("gone")?;
    let stats = core.stats();
    check(stats.strangers == 1 && stats.unreadable > 100 && stats.out_of_order >= 3, "not counted")?;
    let after = Some((core.status(net.now).step, core.announcement()));
    check(before == after && core.status(net.now).phase == Phase::All, "something changed")?;
    let told = net.nodes[3].notices.iter().filter(|notice| matches!(notice, Notice::Unheard(_))).count();
    check(told == 1, "not one notice")?;
    net.ends_well()
}

/// Loss, cuts, kills with and without disk, changes at any node, some that half can't use or that lose calls.
pub fn wild_times(seed: u64) -> Result<(), String> {
    let mut net = Net::new([9, 12, 24, 40][seed as usize % 4], seed);
    let count = net.nodes.len();
    net.run(2 * SECOND);
    (0..count).filter(|node| node % 3 == 1).for_each(|node| net.nodes[node].old = true);
    for at in 0..30u64 {
        let node = net.rng.random_range(0..count);
        match net.rng.random_range(0..8) {
            0 | 1 => {
                let name = ["t", "t", "t", "new", "lossy"][net.rng.random_range(0..5)];
                net.next(node, &format!("order {at}"), &text(name, seed * 1_000 + at, 5_000));
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
                net.cut((0..count).map(|node| u8::from(node >= far)).collect());
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
    net.ends_well()
}
