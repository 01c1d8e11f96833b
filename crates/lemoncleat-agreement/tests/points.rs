//! Runs every fault point of this package with each fault that applies to it, in a whole scenario: first
//! start, commands, snapshots, a lagging voter, a change of leader. The disks are real files.
#![cfg(feature = "faults")]

mod net;

use std::collections::BTreeMap;

use lemoncleat_agreement::planted::{plant, Plant};
use lemoncleat_faults::{scene, Fault, Point, POINTS};
use net::{run_constant_elections, run_random_faults, Disk, Net, ELECTION, MILLI, SECOND};

/// The result of a scenario.
struct ScenarioResult {
    fault_effects: Vec<String>,
    passes: BTreeMap<u16, u64>,
    decided: usize,
    leaders: usize,
}

fn run_scenario(
    armed: Option<(&'static Point, u32, Fault, Option<usize>)>,
    real_files: bool,
    seed: u64,
) -> ScenarioResult {
    let directory = tempfile::tempdir().unwrap();
    let disk = |voter: usize| Disk::Real(directory.path().join(voter.to_string()), None);
    scene::begin(armed);
    let mut net = if real_files {
        Net::with_disks(seed, 16, (0..3).map(disk).collect())
    } else {
        Net::new(3, seed, 16)
    };
    net.sync_time = 10 * MILLI;
    net.run_until_holds(10 * ELECTION, |net| net.leader().is_some());
    let scenario = format!("{:?}", armed.map(|(point, skip, fault, _)| (point.name, skip, fault)));
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
    // One voter is down while the log is trimmed, and the leader is cut off for a while.
    let stopped = (net.leader().unwrap_or(0) + 1) % 3;
    net.kill(stopped);
    commands(&mut net, &mut command, 30);
    net.start(stopped);
    net.run(SECOND);
    if let Some(leader) = net.leader() {
        net.cut_links(leader, true, true);
    }
    net.run(3 * ELECTION);
    commands(&mut net, &mut command, 10);
    net.run(ELECTION);
    assert_eq!(net.violation, None, "{scenario}");
    assert!(net.recovers(), "{scenario} does not recover: {:?}", net.violation);
    assert_eq!(net.violation, None, "{scenario}");
    let injected = |error: &String| error.contains("a fault put here by a test");
    assert!(
        net.nodes.iter().all(|node| node.start_error.as_ref().is_none_or(injected)),
        "{scenario}: a store is rejected"
    );
    let passes = scene::end();
    ScenarioResult {
        fault_effects: net.fault_effects,
        passes,
        decided: net.decided.len(),
        leaders: net.leaders.len(),
    }
}

#[test]
fn keeps_invariants_with_each_fault_at_each_point() {
    let without_faults = run_scenario(None, true, 1);
    println!("point             fault    skip  led to");
    let points = POINTS.iter().copied().filter(|point| point.package == "agreement");
    let mut unreached = Vec::new();
    for point in points {
        if !without_faults.passes.contains_key(&point.number) {
            unreached.push(point.name);
        }
        for fault in point.faults.iter().copied() {
            for skip in 0..3 {
                // Points of the store run on real files; the others, which have many runs, on simulated
                // disks.
                let real_files = point.name.starts_with("STORE");
                let voters: &[Option<usize>] =
                    if real_files { &[None] } else { &[None, Some(0), Some(1), Some(2)] };
                for voter in voters.iter().copied() {
                    let result =
                        run_scenario(Some((point, skip, fault, voter)), real_files, 1 + u64::from(skip));
                    let fault_effects = if fault == Fault::Error {
                        format!("error of it, {:?}", result.fault_effects)
                    } else {
                        result.fault_effects.join("; ")
                    };
                    if result.fault_effects.is_empty() && voter.is_none() {
                        unreached.push(point.name);
                    }
                    let (decided, leaders) = (result.decided, result.leaders);
                    println!(
                        "{:<17} {:<8} {skip:>4}  {fault_effects}: {decided} decided, {leaders} leaders",
                        point.name,
                        fault.name()
                    );
                }
            }
        }
    }
    assert!(unreached.is_empty(), "no run reached {unreached:?}");
}

/// Returns the first seed with random faults or constant elections that violates an invariant.
fn first_violation(election_seeds: u64) -> Option<(u64, String)> {
    let mut random_runs = (0..20).map(|seed| run_random_faults(3, seed, 15 * SECOND));
    let violation = |seed, net: Net| net.violation.map(|why| (seed, why));
    (0..20).find_map(|seed| violation(seed, random_runs.next()?)).or_else(|| {
        (0..election_seeds).find_map(|seed| violation(seed, run_constant_elections(seed, 30 * SECOND)))
    })
}

#[test]
fn injected_faults_are_detected() {
    assert_eq!(first_violation(300), None);
    for fault in [Plant::SendsEarly, Plant::ForgetsVote, Plant::DeliversTwice, Plant::IgnoresFailure] {
        plant(Some(fault));
        let first_violation = first_violation(300);
        plant(None);
        println!("{fault:?}: {first_violation:?}");
        assert!(first_violation.is_some(), "{fault:?} is not detected");
    }
}

/// Kills voters around the loss of a disk: a decided command must survive it.
#[test]
fn admission_of_a_second_store_is_detected() {
    let lose_disk_and_decide = |seed| {
        let mut net = Net::new(3, seed, 32);
        net.run_until_holds(4 * ELECTION, |net| net.leader().is_some());
        let leader = net.leader().unwrap_or(0);
        let (disk_lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
        // Two of three voters decide a command; then one of them loses its disk while the third is down.
        net.kill(other);
        net.propose(leader, 1);
        net.run(SECOND);
        net.kill(disk_lost);
        net.lose_disk(disk_lost);
        net.start(disk_lost);
        net.run(SECOND);
        net.kill(leader);
        net.start(other);
        net.run(10 * SECOND);
        if let Some(leader) = net.leader() {
            net.propose(leader, 2);
            net.run(SECOND);
        }
        net.violation
    };
    // A new store is admitted only after all other voters were up at the same time for a moment.
    assert!((0..20).all(|seed| lose_disk_and_decide(seed).is_none()));
    plant(Some(Plant::AdmitsAnyStore));
    let first_violation = (0..20).find_map(lose_disk_and_decide);
    plant(None);
    println!("AdmitsAnyStore: {first_violation:?}");
    assert!(first_violation.is_some());
}
