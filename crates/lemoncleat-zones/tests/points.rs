//! Runs each fault point of the table with each of its faults, and checks that planted faults are detected.
#![cfg(feature = "faults")]

mod bed;

use bed::{Cut, Failure, Scenario, Simulation, S};
use lemoncleat_faults::{scene, Fault, Point, POINTS};
use lemoncleat_zones::Plant;

/// A zone goes down, returns, fails again during the return, and returns for good.
fn outage(seed: u64, log: bool) -> Scenario {
    let scenario = Scenario { rate: 120.0, capacity: 23.0, until: 44 * S, log, ..Scenario::new(9, seed) };
    scenario.failure(4 * S, 8 * S, 1, Failure::Down).failure(15 * S, 17 * S, 1, Failure::Silent)
}

fn run_with_fault(point: &'static Point, fault: Fault, skip: u32) -> String {
    scene::begin(Some((point, skip, fault, None)));
    let mut sim = Simulation::new(outage(u64::from(point.number) * 10 + u64::from(skip), skip != 1));
    while sim.now < sim.scenario.until {
        sim.run(sim.now + S / 2);
        // Without a log two nodes may hold different steps with the same number until they receive each
        // other's facts.
        assert!(
            sim.violations().is_empty(),
            "{} {} {skip}: {:?}",
            point.name,
            fault.name(),
            sim.violations()
        );
    }
    assert!(scene::spent(), "no run reached {} after skipping {skip}", point.name);
    scene::end();
    let steps: Vec<u64> =
        sim.nodes.iter().map(|node| node.core.as_ref().map_or(0, |c| c.step().number)).collect();
    assert!(
        steps.windows(2).all(|pair| pair[0] == pair[1]),
        "{} {} {skip}: {steps:?}",
        point.name,
        fault.name()
    );
    let restored = sim.restored_at(1, 17 * S).map_or("-".into(), |at| format!("{:.1} s", at as f64 / 1e6));
    format!("{} steps, {} lost, restored at {restored}", steps[0], sim.result.lost[1])
}

#[test]
fn keeps_invariants_with_each_fault_at_each_point() {
    let points: Vec<_> = POINTS.iter().filter(|point| point.package == "zones").collect();
    assert!(!points.is_empty());
    for point in points {
        for fault in point.faults {
            for skip in 0..3 {
                let summary = run_with_fault(point, *fault, skip);
                println!("{:2} {:14} {:8} {skip}  {summary}", point.number, point.name, fault.name());
            }
        }
    }
}

/// Asserts that the checks detect a planted fault in a scenario that passes them without it.
fn assert_detected(scenario: impl Fn() -> Scenario, plant: Plant, misbehaves: impl Fn(&Simulation) -> bool) {
    let baseline = Simulation::run_all(scenario());
    assert!(
        baseline.violations().is_empty() && !misbehaves(&baseline),
        "without {plant:?}: {:?}",
        baseline.violations()
    );
    let sim = Simulation::run_all(Scenario { plant, ..scenario() });
    println!("{plant:?}: {:?} {}", sim.violations().first(), misbehaves(&sim));
    assert!(!sim.violations().is_empty() || misbehaves(&sim), "{plant:?} was not detected");
}

#[test]
fn detects_planted_faults() {
    let dead =
        |seed| Scenario { until: 30 * S, ..Scenario::new(9, seed) }.failure(5 * S, 12 * S, 1, Failure::Down);
    let never = |_: &Simulation| false;
    let cut_off =
        || Scenario { cuts: vec![(3 * S, 18 * S, Cut::Below(4))], until: 18 * S, ..Scenario::new(9, 21) };
    let cut_off = || cut_off().failure(6 * S, 17 * S, 1, Failure::Silent);
    assert_detected(cut_off, Plant::NoQuorum, never);
    let gray = || Scenario::new(9, 22).failure(5 * S, 15 * S, 1, Failure::Gray(0b100));
    assert_detected(gray, Plant::OneZone, |sim| !sim.result.steps.is_empty());
    let two = || Scenario::new(9, 23).failure(5 * S, 15 * S, 0, Failure::Lossy(0.5));
    assert_detected(|| two().failure(5 * S, 15 * S, 1, Failure::Lossy(0.6)), Plant::NoRoom, never);
    // Evidence from the previous outage keeps the zone from returning.
    assert_detected(|| dead(13), Plant::OldEvidence, |sim| sim.restored_at(1, 12 * S).is_none());
    assert_detected(|| dead(25), Plant::NoCold, never);
    assert_detected(|| dead(26), Plant::AllTry, never);
    assert_detected(|| dead(27), Plant::LateStep, never);
}
