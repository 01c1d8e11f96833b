//! What each kind of failure gets.

mod bed;

use bed::{Bed, Cut, Plan, Trouble, S};
use lemoncleat_zones::{Phase, ZoneId};

fn show(name: &str, bed: &Bed) {
    println!(
        "{name}: lost {:?} pushed {} broken {:?}",
        bed.result.lost, bed.result.pushed_over, bed.result.broken
    );
    for (at, step) in &bed.result.steps {
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

fn sound(bed: &Bed) {
    assert!(bed.result.broken.is_empty(), "{:?}", bed.result.broken);
    assert_eq!(bed.result.pushed_over, 0);
}

#[test]
fn a_dead_zone_is_left_at_once_and_returns_cold() {
    let bed = Bed::play(Plan { until: 40 * S, ..Plan::new(9, 1).trouble(5 * S, 15 * S, 1, Trouble::Down) });
    show("dead", &bed);
    sound(&bed);
    let (left, share) = bed.left_at(1).expect("left");
    assert!(left < 8 * S && share == 0);
    assert!(bed.whole_at(1, left).is_some_and(|whole| whole > 15 * S));
}

#[test]
fn losing_a_third_or_waiting_ten_times_as_long_is_left() {
    for (seed, trouble) in [(2, Trouble::Lossy(0.34)), (3, Trouble::Slow(10.0))] {
        let bed = Bed::play(Plan::new(9, seed).trouble(5 * S, 15 * S, 1, trouble));
        show(&format!("{trouble:?}"), &bed);
        sound(&bed);
        assert!(bed.left_at(1).is_some());
    }
}

#[test]
fn two_zones_leave_only_as_much_as_the_third_bears() {
    let plan = Plan::new(9, 4).trouble(5 * S, 15 * S, 0, Trouble::Lossy(0.5));
    let bed = Bed::play(plan.trouble(5 * S, 15 * S, 1, Trouble::Lossy(0.6)));
    show("two", &bed);
    sound(&bed);
    let shares: u32 =
        [0, 1].iter().map(|zone| bed.left_at(*zone).map_or(1000, |(_, share)| u32::from(share))).sum();
    assert!(bed.left_at(1).is_some() && shares > 1000, "{shares}");
}

#[test]
fn all_failing_leaves_none() {
    let plan =
        (0..3).fold(Plan::new(9, 5), |plan, zone| plan.trouble(5 * S, 15 * S, zone, Trouble::Lossy(0.6)));
    let bed = Bed::play(plan);
    show("all", &bed);
    sound(&bed);
    assert!(bed.result.steps.is_empty());
}

#[test]
fn gray_for_nodes_of_one_zone_moves_nobody_and_they_find_that_they_are_alone() {
    let bed = Bed::play(Plan::new(9, 6).trouble(5 * S, 15 * S, 1, Trouble::Gray(0b100)));
    show("gray 1", &bed);
    sound(&bed);
    assert!(bed.result.steps.is_empty() && bed.result.alone > 0);
    let bed = Bed::play(Plan::new(9, 7).trouble(5 * S, 15 * S, 1, Trouble::Gray(0b110)));
    show("gray 2", &bed);
    sound(&bed);
    assert!(bed.left_at(1).is_some());
}

#[test]
fn a_flapping_zone_stays_away_longer_each_time() {
    let plan = Plan::new(9, 8).trouble(5 * S, 65 * S, 1, Trouble::Flapping(4 * S));
    let bed = Bed::play(Plan { until: 70 * S, ..plan });
    show("flapping", &bed);
    sound(&bed);
    assert!(bed.result.steps.iter().any(|(_, step)| step.entry(ZoneId(1)).is_some_and(|e| e.relapses >= 2)));
}

#[test]
fn without_zones_nothing_happens() {
    let plan = Plan { zones: 1, ..Plan::new(9, 9) }.trouble(5 * S, 15 * S, 0, Trouble::Silent);
    let bed = Bed::play(plan);
    sound(&bed);
    assert!(bed.result.steps.is_empty() && bed.result.notes == 0);
}

#[test]
fn a_zone_of_one_server_is_left() {
    let plan =
        Plan { servers: 1, capacity: 200.0, ..Plan::new(9, 10) }.trouble(5 * S, 15 * S, 1, Trouble::Down);
    let bed = Bed::play(plan);
    show("one server", &bed);
    sound(&bed);
    assert!(bed.left_at(1).is_some());
}

#[test]
fn nodes_cut_off_with_their_zone_are_no_quorum() {
    let mut plan = Plan::new(9, 11).trouble(5 * S, 20 * S, 1, Trouble::Gray(0b101));
    // Its own nodes reach only their own zone.
    plan =
        plan.trouble(5 * S, 20 * S, 0, Trouble::Gray(0b010)).trouble(5 * S, 20 * S, 2, Trouble::Gray(0b010));
    plan.cuts.push((5 * S, 20 * S, Cut::Zone(1)));
    let bed = Bed::play(Plan { until: 45 * S, ..plan });
    show("cut off", &bed);
    sound(&bed);
    assert!(bed.left_at(1).is_some() && bed.left_at(0).is_none() && bed.left_at(2).is_none());
    assert!(bed.nodes.iter().all(|node| node.core.as_ref().is_some_and(|core| core.step().number > 0)));
}

#[test]
fn without_a_quorum_nothing_moves() {
    let mut plan = Plan::new(9, 12).trouble(6 * S, 15 * S, 1, Trouble::Silent);
    plan.cuts.push((2 * S, 18 * S, Cut::All));
    let bed = Bed::play(Plan { until: 18 * S, ..plan });
    sound(&bed);
    assert!(bed.result.steps.is_empty());
}

#[test]
fn a_server_that_restarts_in_mid_return_is_cold_from_then() {
    let mut plan = Plan::new(9, 13).trouble(5 * S, 12 * S, 1, Trouble::Down);
    plan.restarts.extend((0..4).map(|server| (1, server, 15 * S, 16 * S)));
    let bed = Bed::play(Plan { until: 45 * S, ..plan });
    show("restart in mid-return", &bed);
    sound(&bed);
    assert!(bed.whole_at(1, 13 * S).is_some_and(|whole| whole > 18 * S));
    let last = bed.result.steps.last().and_then(|(_, step)| step.entry(ZoneId(1)).map(|entry| entry.phase));
    assert!(matches!(last, None | Some(Phase::Whole)));
}

#[test]
fn without_a_log_the_highest_step_holds() {
    let plan = Plan { log: false, ..Plan::new(9, 14) }.trouble(5 * S, 15 * S, 1, Trouble::Down);
    let bed = Bed::play(Plan { until: 40 * S, ..plan });
    show("no log", &bed);
    assert!(bed.result.broken.is_empty() && bed.result.pushed_over == 0);
    assert!(bed.left_at(1).is_some() && bed.whole_at(1, 16 * S).is_some());
    let steps: Vec<_> =
        bed.nodes.iter().filter_map(|node| node.core.as_ref()).map(|core| core.step()).collect();
    assert!(steps.windows(2).all(|pair| pair[0] == pair[1]));
}
