//! Each numbered point of this package in turn, with each fault that fits it, in a whole scenario: first start,
//! commands, snapshots, a voter far behind, another leader. The disks are real files.
#![cfg(feature = "faults")]

mod net;

use std::collections::BTreeMap;

use lemoncleat_agreement::planted::{plant, Plant};
use lemoncleat_faults::{scene, Fault, Point, POINTS};
use net::{restless, wild, Disk, Net, ELECTION, MILLI, SECOND};

/// What a scenario came to.
struct Came {
    met: Vec<String>,
    passes: BTreeMap<u16, u64>,
    decided: usize,
    leaders: usize,
}

fn play(armed: Option<(&'static Point, u32, Fault, Option<usize>)>, real: bool, seed: u64) -> Came {
    let directory = tempfile::tempdir().unwrap();
    let disk = |voter: usize| Disk::Real(directory.path().join(voter.to_string()), None);
    scene::begin(armed);
    let mut net =
        if real { Net::with_disks(seed, 16, (0..3).map(disk).collect()) } else { Net::new(3, seed, 16) };
    net.sync = 10 * MILLI;
    net.run_till(10 * ELECTION, |net| net.leader().is_some());
    let what = format!("{:?}", armed.map(|(point, skip, fault, _)| (point.name, skip, fault)));
    let mut command = 0;
    let commands = |net: &mut Net, command: &mut u64, count: u64| {
        for _ in 0..count {
            *command += 1;
            let at = net.leader().unwrap_or(*command as usize % 3);
            net.propose(at, *command);
            net.run(7 * MILLI);
        }
    };
    commands(&mut net, &mut command, 20);
    // One is away while the log is trimmed, and the leader is cut off for a while.
    let away = (net.leader().unwrap_or(0) + 1) % 3;
    net.kill(away);
    commands(&mut net, &mut command, 30);
    net.start(away);
    net.run(SECOND);
    if let Some(leader) = net.leader() {
        net.cut_off(leader, true, true);
    }
    net.run(3 * ELECTION);
    commands(&mut net, &mut command, 10);
    net.run(ELECTION);
    assert_eq!(net.broken, None, "{what}");
    assert!(net.recovers(), "{what} does not recover: {:?}", net.broken);
    assert_eq!(net.broken, None, "{what}");
    let known = |error: &String| error.contains("a fault put here by a test");
    assert!(
        net.nodes.iter().all(|node| node.start_error.as_ref().is_none_or(known)),
        "{what}: a store is refused"
    );
    let passes = scene::end();
    Came { met: net.met, passes, decided: net.decided.len(), leaders: net.leaders.len() }
}

#[test]
fn each_point_with_each_fault_breaks_no_law() {
    let clean = play(None, true, 1);
    println!("point             fault    skip  led to");
    let points = POINTS.iter().copied().filter(|point| point.package == "agreement");
    let mut missed = Vec::new();
    for point in points {
        if !clean.passes.contains_key(&point.number) {
            missed.push(point.name);
        }
        for fault in point.faults.iter().copied() {
            for skip in 0..3 {
                // Points of the store on real files, the others on disks in memory, where runs are many.
                let real = point.name.starts_with("STORE");
                let voters: &[Option<usize>] =
                    if real { &[None] } else { &[None, Some(0), Some(1), Some(2)] };
                for whose in voters.iter().copied() {
                    let came = play(Some((point, skip, fault, whose)), real, 1 + u64::from(skip));
                    let met = if fault == Fault::Error {
                        format!("error of it, {:?}", came.met)
                    } else {
                        came.met.join("; ")
                    };
                    if came.met.is_empty() && whose.is_none() {
                        missed.push(point.name);
                    }
                    let (decided, leaders) = (came.decided, came.leaders);
                    println!(
                        "{:<17} {:<8} {skip:>4}  {met}: {decided} decided, {leaders} leaders",
                        point.name,
                        fault.name()
                    );
                }
            }
        }
    }
    assert!(missed.is_empty(), "no run reached {missed:?}");
}

/// The first wild or restless time in which a law is broken.
fn found(restless_ones: u64) -> Option<(u64, String)> {
    let mut wild = (0..20).map(|seed| wild(3, seed, 15 * SECOND));
    let broken = |seed, net: Net| net.broken.map(|why| (seed, why));
    (0..20)
        .find_map(|seed| broken(seed, wild.next()?))
        .or_else(|| (0..restless_ones).find_map(|seed| broken(seed, restless(seed, 30 * SECOND))))
}

#[test]
fn planted_faults_are_found() {
    assert_eq!(found(300), None);
    for fault in [Plant::SendsEarly, Plant::ForgetsVote, Plant::HandsOutTwice, Plant::IgnoresFailure] {
        plant(Some(fault));
        let found = found(300);
        plant(None);
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} is not found");
    }
}

/// A lost disk among kills: a decided command must outlive it.
#[test]
fn a_store_welcomed_twice_is_found() {
    let lose = |seed| {
        let mut net = Net::new(3, seed, 32);
        net.run_till(4 * ELECTION, |net| net.leader().is_some());
        let leader = net.leader().unwrap_or(0);
        let (second, third) = ((leader + 1) % 3, (leader + 2) % 3);
        // Two of three decide; one of them loses its disk, and the other is away.
        net.kill(third);
        net.propose(leader, 1);
        net.run(SECOND);
        net.kill(second);
        net.lose_disk(second);
        net.start(second);
        net.run(SECOND);
        net.kill(leader);
        net.start(third);
        net.run(10 * SECOND);
        if let Some(leader) = net.leader() {
            net.propose(leader, 2);
            net.run(SECOND);
        }
        net.broken
    };
    // To be welcomed, all others must be there at once for a moment.
    assert!((0..20).all(|seed| lose(seed).is_none()));
    plant(Some(Plant::WelcomesAll));
    let found = (0..20).find_map(lose);
    plant(None);
    println!("WelcomesAll: {found:?}");
    assert!(found.is_some());
}
