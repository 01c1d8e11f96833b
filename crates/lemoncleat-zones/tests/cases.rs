//! The reaction of the fleet to each kind of failure.

mod bed;

use bed::{Cut, Failure, Scenario, Simulation, S};
use lemoncleat_zones::{Phase, ZoneId};

fn print_steps(name: &str, sim: &Simulation) {
    println!(
        "{name}: lost {:?} overload crashes {} violations {:?}",
        sim.result.lost, sim.result.overload_crashes, sim.result.violations
    );
    for (at, step) in &sim.result.steps {
        let of =
            |e: &lemoncleat_zones::Entry| format!("z{} {:?} {} r{}", e.zone.0, e.phase, e.share, e.relapses);
        println!(
            "  {:.2} #{} {:?}",
            *at as f64 / 1e6,
            step.number,
            step.entries.iter().map(of).collect::<Vec<_>>()
        );
    }
}

fn assert_no_violations(sim: &Simulation) {
    assert!(sim.result.violations.is_empty(), "{:?}", sim.result.violations);
    assert_eq!(sim.result.overload_crashes, 0);
}

#[test]
fn leaves_dead_zone_quickly_and_returns_to_cold_servers() {
    let sim = Simulation::run_all(Scenario {
        until: 40 * S,
        ..Scenario::new(9, 1).failure(5 * S, 15 * S, 1, Failure::Down)
    });
    print_steps("dead", &sim);
    assert_no_violations(&sim);
    let (left, share) = sim.left_at(1).expect("left");
    assert!(left < 8 * S && share == 0);
    assert!(sim.restored_at(1, left).is_some_and(|restored| restored > 15 * S));
}

#[test]
fn leaves_zone_that_loses_a_third_or_answers_ten_times_slower() {
    for (seed, failure) in [(2, Failure::Lossy(0.34)), (3, Failure::Slow(10.0))] {
        let sim = Simulation::run_all(Scenario::new(9, seed).failure(5 * S, 15 * S, 1, failure));
        print_steps(&format!("{failure:?}"), &sim);
        assert_no_violations(&sim);
        assert!(sim.left_at(1).is_some());
    }
}

#[test]
fn moves_no_more_calls_than_third_zone_can_take_when_two_fail() {
    let scenario = Scenario::new(9, 4).failure(5 * S, 15 * S, 0, Failure::Lossy(0.5));
    let sim = Simulation::run_all(scenario.failure(5 * S, 15 * S, 1, Failure::Lossy(0.6)));
    print_steps("two", &sim);
    assert_no_violations(&sim);
    let shares: u32 =
        [0, 1].iter().map(|zone| sim.left_at(*zone).map_or(1000, |(_, share)| u32::from(share))).sum();
    assert!(sim.left_at(1).is_some() && shares > 1000, "{shares}");
}

#[test]
fn leaves_no_zone_when_all_fail() {
    let scenario = (0..3).fold(Scenario::new(9, 5), |scenario, zone| {
        scenario.failure(5 * S, 15 * S, zone, Failure::Lossy(0.6))
    });
    let sim = Simulation::run_all(scenario);
    print_steps("all", &sim);
    assert_no_violations(&sim);
    assert!(sim.result.steps.is_empty());
}

#[test]
fn reports_local_fault_when_only_nodes_of_one_zone_fail() {
    let sim = Simulation::run_all(Scenario::new(9, 6).failure(5 * S, 15 * S, 1, Failure::Gray(0b100)));
    print_steps("gray 1", &sim);
    assert_no_violations(&sim);
    assert!(sim.result.steps.is_empty() && sim.result.local_faults > 0);
    let sim = Simulation::run_all(Scenario::new(9, 7).failure(5 * S, 15 * S, 1, Failure::Gray(0b110)));
    print_steps("gray 2", &sim);
    assert_no_violations(&sim);
    assert!(sim.left_at(1).is_some());
}

#[test]
fn lengthens_rest_when_zone_flaps() {
    let scenario = Scenario::new(9, 8).failure(5 * S, 65 * S, 1, Failure::Flapping(4 * S));
    let sim = Simulation::run_all(Scenario { until: 70 * S, ..scenario });
    print_steps("flapping", &sim);
    assert_no_violations(&sim);
    assert!(sim.result.steps.iter().any(|(_, step)| step.entry(ZoneId(1)).is_some_and(|e| e.relapses >= 2)));
}

#[test]
fn does_nothing_with_a_single_zone() {
    let scenario = Scenario { zones: 1, ..Scenario::new(9, 9) }.failure(5 * S, 15 * S, 0, Failure::Silent);
    let sim = Simulation::run_all(scenario);
    assert_no_violations(&sim);
    assert!(sim.result.steps.is_empty() && sim.result.facts_sent == 0);
}

#[test]
fn leaves_zone_of_one_server() {
    let scenario = Scenario { servers: 1, capacity: 200.0, ..Scenario::new(9, 10) }.failure(
        5 * S,
        15 * S,
        1,
        Failure::Down,
    );
    let sim = Simulation::run_all(scenario);
    print_steps("one server", &sim);
    assert_no_violations(&sim);
    assert!(sim.left_at(1).is_some());
}

#[test]
fn leaves_only_failed_zone_when_its_nodes_are_cut_off() {
    let mut scenario = Scenario::new(9, 11).failure(5 * S, 20 * S, 1, Failure::Gray(0b101));
    // The zone's own nodes reach only their own zone.
    scenario = scenario.failure(5 * S, 20 * S, 0, Failure::Gray(0b010)).failure(
        5 * S,
        20 * S,
        2,
        Failure::Gray(0b010),
    );
    scenario.cuts.push((5 * S, 20 * S, Cut::Zone(1)));
    let sim = Simulation::run_all(Scenario { until: 45 * S, ..scenario });
    print_steps("cut off", &sim);
    assert_no_violations(&sim);
    assert!(sim.left_at(1).is_some() && sim.left_at(0).is_none() && sim.left_at(2).is_none());
    assert!(sim.nodes.iter().all(|node| node.core.as_ref().is_some_and(|core| core.step().number > 0)));
}

#[test]
fn proposes_nothing_without_quorum() {
    let mut scenario = Scenario::new(9, 12).failure(6 * S, 15 * S, 1, Failure::Silent);
    scenario.cuts.push((2 * S, 18 * S, Cut::All));
    let sim = Simulation::run_all(Scenario { until: 18 * S, ..scenario });
    assert_no_violations(&sim);
    assert!(sim.result.steps.is_empty());
}

#[test]
fn treats_servers_as_cold_when_they_restart_during_return() {
    let mut scenario = Scenario::new(9, 13).failure(5 * S, 12 * S, 1, Failure::Down);
    scenario.restarts.extend((0..4).map(|server| (1, server, 15 * S, 16 * S)));
    let sim = Simulation::run_all(Scenario { until: 45 * S, ..scenario });
    print_steps("restart in mid-return", &sim);
    assert_no_violations(&sim);
    assert!(sim.restored_at(1, 13 * S).is_some_and(|restored| restored > 18 * S));
    let last = sim.result.steps.last().and_then(|(_, step)| step.entry(ZoneId(1)).map(|entry| entry.phase));
    assert!(matches!(last, None | Some(Phase::Restored)));
}

#[test]
fn all_nodes_hold_highest_step_without_log() {
    let scenario = Scenario { log: false, ..Scenario::new(9, 14) }.failure(5 * S, 15 * S, 1, Failure::Down);
    let sim = Simulation::run_all(Scenario { until: 40 * S, ..scenario });
    print_steps("no log", &sim);
    assert!(sim.result.violations.is_empty() && sim.result.overload_crashes == 0);
    assert!(sim.left_at(1).is_some() && sim.restored_at(1, 16 * S).is_some());
    let steps: Vec<_> =
        sim.nodes.iter().filter_map(|node| node.core.as_ref()).map(|core| core.step()).collect();
    assert!(steps.windows(2).all(|pair| pair[0] == pair[1]));
}
