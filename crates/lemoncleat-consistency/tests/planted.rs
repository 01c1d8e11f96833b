//! Plants faults and checks that each is detected and attributed correctly, and that nothing is reported
//! where there is no fault.
#![cfg(feature = "faults")]

mod common;

use common::*;
use lemoncleat::Micros;
use lemoncleat_consistency::*;

fn reports_odd(which: u32) -> impl Fn(u32, &Notice) -> bool {
    move |_, notice| matches!(notice, Notice::Odd { node, .. } if *node == which)
}

fn all_correct(_: u32) -> Variant {
    Variant::Correct
}

#[test]
fn raises_no_alarm_without_faults() {
    let mut fleet = Fleet::new(FleetConfig::new(9, 1), &rules(1.0), all_correct);
    fleet.run(120 * SECOND);
    assert!(fleet.raises_no_alarm(), "{:?}", fleet.notices);
    assert!(fleet.windows >= 9 * 3, "{} windows", fleet.windows);
}

#[test]
fn fences_node_with_changed_constant() {
    let mut fleet = Fleet::new(FleetConfig::new(9, 2), &rules(1.0), |me| match me {
        4 => Variant::Patched,
        _ => Variant::Correct,
    });
    fleet.run(100 * SECOND);
    let blamed = |_, notice: &Notice| matches!(notice, Notice::Odd { node, .. } if *node != 4);
    assert!(
        fleet.first_notice(reports_odd(4)).is_some_and(|at| at < 10 * SECOND)
            && fleet.first_notice(blamed).is_none()
    );
    let differs = fleet.notices.iter().find_map(|(_, me, notice)| match notice {
        Notice::FirstDifference { case, step, ours, theirs, .. } if *me == 4 => {
            Some((*case, *step, ours, theirs))
        }
        _ => None,
    });
    let (case, step, ours, theirs) = differs.expect("the first difference");
    println!("case {case} step {step}:\n  {ours}\n  {theirs}");
    assert_ne!(ours, theirs);
    assert_eq!(fleet.fences.keys().collect::<Vec<_>>(), [&4]);
    // After a restart with the correct module the node agrees with the others again.
    fleet.restart(4, Variant::Correct);
    fleet.run(200 * SECOND);
    assert!(!fleet.nodes[4].fenced && fleet.first_notice(|_, notice| *notice == Notice::Agreed).is_some());
}

#[test]
fn alarms_but_fences_none_when_action_order_depends_on_hashing() {
    let mut fleet = Fleet::new(FleetConfig::new(5, 3), &rules(1.0), |me| Variant::HashOrdered(me.into()));
    fleet.run(30 * SECOND);
    assert!(fleet.first_notice(|_, notice| matches!(notice, Notice::Undecided { .. })).is_some());
    assert!(fleet.first_notice(|_, notice| matches!(notice, Notice::FirstDifference { .. })).is_some());
    assert!(fleet.fences.is_empty());
}

#[test]
fn alarms_but_fences_none_when_two_differ_from_two() {
    let patched = |me| if me < 2 { Variant::Patched } else { Variant::Correct };
    let mut fleet = Fleet::new(FleetConfig::new(4, 4), &rules(1.0), patched);
    fleet.run(120 * SECOND);
    assert!(fleet.first_notice(|_, notice| matches!(notice, Notice::Undecided { .. })).is_some());
    assert!(fleet.fences.is_empty(), "{:?}", fleet.notices);
}

#[test]
fn detects_flipped_bit_by_windows() {
    let mut fleet = Fleet::new(FleetConfig::new(9, 5), &rules(1.0), all_correct);
    fleet.nodes[3].bit_flips_from = Some(30 * SECOND);
    fleet.run(150 * SECOND);
    let own = |me, notice: &Notice| match notice {
        Notice::OwnWindow { difference, again, .. } => {
            assert_eq!((me, *again), (3, Ok(Played::Different(*difference))));
            true
        }
        _ => false,
    };
    assert!(fleet.first_notice(own).is_some(), "{:?}", fleet.notices);
    assert_eq!(fleet.fences.keys().collect::<Vec<_>>(), [&3]);
}

#[test]
fn detects_partial_reload() {
    let (old, new) = (rules(1.0), rules(1.5));
    let mut fleet = Fleet::new(FleetConfig::new(9, 6), &old, all_correct);
    fleet.run(40 * SECOND);
    (0..9).filter(|&me| me != 7).for_each(|me| fleet.reload(me, &new));
    fleet.reload_partially(7, &new);
    fleet.run(160 * SECOND);
    let reported = |me, notice: &Notice| {
        me == 7 && matches!(notice, Notice::OwnWindow { difference: Difference::Settings, .. })
    };
    assert!(fleet.first_notice(reported).is_some(), "{:?}", fleet.notices);
    assert_eq!(fleet.fences.keys().collect::<Vec<_>>(), [&7]);
    // A complete reload lifts the fence.
    fleet.reload(7, &new);
    fleet.run(200 * SECOND);
    assert!(!fleet.nodes[7].fenced);
}

#[test]
fn raises_no_alarm_when_versions_differ() {
    let (old, new) = (rules(1.0), rules(1.001));
    let mut fleet = Fleet::new(FleetConfig::new(9, 7), &old, all_correct);
    fleet.run(30 * SECOND);
    fleet.reload(2, &new);
    fleet.run(130 * SECOND);
    assert!(fleet.raises_no_alarm(), "{:?}", fleet.notices);
    fleet.reload(2, &old);
    fleet.run(200 * SECOND);
    let held = fleet.notices.iter().find_map(|(.., notice)| match notice {
        Notice::OneVersion { held } => Some(*held),
        _ => None,
    });
    assert!(fleet.raises_no_alarm() && held.is_some_and(|held: Micros| held >= 90 * SECOND), "{held:?}");
}

#[test]
fn raises_no_alarm_on_clock_jumps_late_facts_and_pauses() {
    let (old, new) = (rules(1.0), rules(1.5));
    let mut fleet = Fleet::new(FleetConfig::new(9, 8), &old, all_correct);
    fleet.run(25 * SECOND);
    // One clock jumps an hour ahead, another 20 s back.
    fleet.nodes[1].clock_offset = 3_600 * SECOND;
    fleet.nodes[2].clock_offset = -20 * SECOND;
    fleet.run(60 * SECOND);
    // A fact of the previous incarnation arrives after the restart, which is under other rules.
    fleet.deliver_late_fact(5, 20 * SECOND);
    fleet.restart(5, Variant::Correct);
    fleet.reload(5, &new);
    // One node is paused during the change.
    fleet.pause(6, 90 * SECOND);
    (0..9).filter(|&me| me != 5 && me != 6).for_each(|me| fleet.reload(me, &new));
    fleet.run(200 * SECOND);
    assert!(fleet.raises_no_alarm(), "{:?}", fleet.notices);
    fleet.reload(6, &new);
    fleet.run(260 * SECOND);
    assert!(fleet.raises_no_alarm(), "{:?}", fleet.notices);
}

/// Half of the fleet deviates from the other half. No more nodes than allowed may be fenced, so that the
/// service continues.
#[test]
fn fences_no_more_than_the_configured_share() {
    for seed in 0..2 {
        let mut config = FleetConfig::new(13, seed);
        config.limits.share = 16;
        let mut fleet = Fleet::new(config, &rules(1.0), |me| match me {
            0..6 => Variant::Patched,
            _ => Variant::Correct,
        });
        fleet.run(240 * SECOND);
        // The limit of two slots is checked after each step; which of the six nodes get them is random.
        assert!((1..=2).contains(&fleet.fences.len()), "seed {seed}: {:?}", fleet.fences);
        assert!(fleet.first_notice(|_, notice| *notice == Notice::FenceLimitReached).is_some());
    }
}

/// Measures the time to detect each planted fault at several sizes of the fleet, in virtual seconds.
#[test]
#[ignore = "a measurement; minutes in debug"]
fn time_to_detect() {
    for nodes in [9, 64, 300] {
        let mut config = FleetConfig::new(nodes, 11);
        config.call_interval = SECOND;
        let found = |fleet: &mut Fleet, from: Micros, matches_notice: &dyn Fn(u32, &Notice) -> bool| {
            let before = fleet.bytes;
            fleet.run_while(from + 120 * SECOND, |fleet| {
                !fleet
                    .notices
                    .last()
                    .is_some_and(|(at, me, notice)| *at >= from && matches_notice(*me, notice))
            });
            let seconds = (fleet.now - from) as f64 / 1e6;
            (seconds, (fleet.bytes - before) as f64 / seconds / f64::from(nodes))
        };
        let patched = |me| if me == 4 { Variant::Patched } else { Variant::Correct };
        let mut fleet = Fleet::new(config, &rules(1.0), patched);
        let constant = found(&mut fleet, 0, &|_, notice| matches!(notice, Notice::FirstDifference { .. }));
        let fenced = found(&mut fleet, 0, &|_, notice| *notice == Notice::Fenced);
        let mut fleet = Fleet::new(config, &rules(1.0), |me| Variant::HashOrdered((me % 9).into()));
        let hashed = found(&mut fleet, 0, &|_, notice| matches!(notice, Notice::FirstDifference { .. }));
        let mut fleet = Fleet::new(config, &rules(1.0), all_correct);
        fleet.run(30 * SECOND);
        let before = fleet.bytes;
        fleet.nodes[3].bit_flips_from = Some(30 * SECOND);
        let flip = found(&mut fleet, 30 * SECOND, &|_, notice| matches!(notice, Notice::OwnWindow { .. }));
        let rate = (fleet.bytes - before) as f64 / flip.0 / f64::from(nodes);
        let mut fleet = Fleet::new(config, &rules(1.0), all_correct);
        fleet.run(30 * SECOND);
        let new = rules(1.5);
        (0..nodes).filter(|&me| me != 7).for_each(|me| fleet.reload(me, &new));
        fleet.reload_partially(7, &new);
        let half = found(&mut fleet, 30 * SECOND, &|_, notice| matches!(notice, Notice::OwnWindow { .. }));
        println!(
            "{nodes} nodes: constant detected {:.1} s, fenced {:.1} s; hashing {:.1} s; bit {:.1} s; \
             partial reload {:.1} s; {rate:.0} B/s sent a node (published facts and windows)",
            constant.0, fenced.0, hashed.0, flip.0, half.0
        );
    }
}
