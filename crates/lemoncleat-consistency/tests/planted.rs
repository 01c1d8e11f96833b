//! Planted faults: each is found and named rightly, or raises no alarm where nothing is wrong.
#![cfg(feature = "faults")]

mod common;

use common::*;
use lemoncleat::Micros;
use lemoncleat_consistency::*;

fn odd(which: u32) -> impl Fn(u32, &Notice) -> bool {
    move |_, notice| matches!(notice, Notice::Odd { node, .. } if *node == which)
}

fn right(_: u32) -> Flavour {
    Flavour::Right
}

#[test]
fn a_fleet_without_faults_is_quiet() {
    let mut fleet = Fleet::new(Shape::new(9, 1), &rules(1.0), right);
    fleet.run(120 * SECOND);
    assert!(fleet.quiet(), "{:?}", fleet.notices);
    assert!(fleet.windows >= 9 * 3, "{} windows", fleet.windows);
}

#[test]
fn a_changed_constant_is_named_and_fenced() {
    let mut fleet = Fleet::new(Shape::new(9, 2), &rules(1.0), |me| match me {
        4 => Flavour::Patched,
        _ => Flavour::Right,
    });
    fleet.run(100 * SECOND);
    let blamed = |_, notice: &Notice| matches!(notice, Notice::Odd { node, .. } if *node != 4);
    assert!(fleet.first(odd(4)).is_some_and(|at| at < 10 * SECOND) && fleet.first(blamed).is_none());
    let differs = fleet.notices.iter().find_map(|(_, me, notice)| match notice {
        Notice::Differs { case, step, ours, theirs, .. } if *me == 4 => Some((*case, *step, ours, theirs)),
        _ => None,
    });
    let (case, step, ours, theirs) = differs.expect("the first difference");
    println!("case {case} step {step}:\n  {ours}\n  {theirs}");
    assert_ne!(ours, theirs);
    assert_eq!(fleet.fences.keys().collect::<Vec<_>>(), [&4]);
    // A restart with the right module proves it again.
    fleet.restart(4, Flavour::Right);
    fleet.run(200 * SECOND);
    assert!(!fleet.nodes[4].fenced && fleet.first(|_, notice| *notice == Notice::Agreed).is_some());
}

#[test]
fn an_order_that_depends_on_hashing_alarms_and_fences_none() {
    let mut fleet = Fleet::new(Shape::new(5, 3), &rules(1.0), |me| Flavour::Hashed(me.into()));
    fleet.run(30 * SECOND);
    assert!(fleet.first(|_, notice| matches!(notice, Notice::Undecided { .. })).is_some());
    assert!(fleet.first(|_, notice| matches!(notice, Notice::Differs { .. })).is_some());
    assert!(fleet.fences.is_empty());
}

#[test]
fn two_against_two_alarms_and_fences_none() {
    let patched = |me| if me < 2 { Flavour::Patched } else { Flavour::Right };
    let mut fleet = Fleet::new(Shape::new(4, 4), &rules(1.0), patched);
    fleet.run(120 * SECOND);
    assert!(fleet.first(|_, notice| matches!(notice, Notice::Undecided { .. })).is_some());
    assert!(fleet.fences.is_empty(), "{:?}", fleet.notices);
}

#[test]
fn a_flipped_bit_is_found_by_windows() {
    let mut fleet = Fleet::new(Shape::new(9, 5), &rules(1.0), right);
    fleet.nodes[3].flips = Some(30 * SECOND);
    fleet.run(150 * SECOND);
    let own = |me, notice: &Notice| match notice {
        Notice::OwnWindow { difference, again, .. } => {
            assert_eq!((me, *again), (3, Ok(Played::Different(*difference))));
            true
        }
        _ => false,
    };
    assert!(fleet.first(own).is_some(), "{:?}", fleet.notices);
    assert_eq!(fleet.fences.keys().collect::<Vec<_>>(), [&3]);
}

#[test]
fn a_reload_by_half_is_named() {
    let (old, new) = (rules(1.0), rules(1.5));
    let mut fleet = Fleet::new(Shape::new(9, 6), &old, right);
    fleet.run(40 * SECOND);
    (0..9).filter(|&me| me != 7).for_each(|me| fleet.reload(me, &new));
    fleet.reload_half(7, &new);
    fleet.run(160 * SECOND);
    let named = |me, notice: &Notice| {
        me == 7 && matches!(notice, Notice::OwnWindow { difference: Difference::Settings, .. })
    };
    assert!(fleet.first(named).is_some(), "{:?}", fleet.notices);
    assert_eq!(fleet.fences.keys().collect::<Vec<_>>(), [&7]);
    // Another reload, whole this time, lifts the fence.
    fleet.reload(7, &new);
    fleet.run(200 * SECOND);
    assert!(!fleet.nodes[7].fenced);
}

#[test]
fn other_rules_are_another_version_and_no_alarm() {
    let (old, new) = (rules(1.0), rules(1.001));
    let mut fleet = Fleet::new(Shape::new(9, 7), &old, right);
    fleet.run(30 * SECOND);
    fleet.reload(2, &new);
    fleet.run(130 * SECOND);
    assert!(fleet.quiet(), "{:?}", fleet.notices);
    fleet.reload(2, &old);
    fleet.run(200 * SECOND);
    let held = fleet.notices.iter().find_map(|(.., notice)| match notice {
        Notice::OneVersion { held } => Some(*held),
        _ => None,
    });
    assert!(fleet.quiet() && held.is_some_and(|held: Micros| held >= 90 * SECOND), "{held:?}");
}

#[test]
fn clocks_late_words_and_pauses_are_no_alarm() {
    let (old, new) = (rules(1.0), rules(1.5));
    let mut fleet = Fleet::new(Shape::new(9, 8), &old, right);
    fleet.run(25 * SECOND);
    // A clock goes an hour ahead, another back.
    fleet.nodes[1].ahead = 3_600 * SECOND;
    fleet.nodes[2].ahead = -20 * SECOND;
    fleet.run(60 * SECOND);
    // A word of an earlier life comes after the restart, under other rules.
    fleet.late_word(5, 20 * SECOND);
    fleet.restart(5, Flavour::Right);
    fleet.reload(5, &new);
    // One sleeps through the change.
    fleet.pause(6, 90 * SECOND);
    (0..9).filter(|&me| me != 5 && me != 6).for_each(|me| fleet.reload(me, &new));
    fleet.run(200 * SECOND);
    assert!(fleet.quiet(), "{:?}", fleet.notices);
    fleet.reload(6, &new);
    fleet.run(260 * SECOND);
    assert!(fleet.quiet(), "{:?}", fleet.notices);
}

/// Half of the fleet believes the other half wrong, in every way there is: the service stays.
#[test]
fn no_more_than_the_share_is_fenced() {
    for seed in 0..2 {
        let mut shape = Shape::new(13, seed);
        shape.limits.share = 16;
        let mut fleet = Fleet::new(shape, &rules(1.0), |me| match me {
            0..6 => Flavour::Patched,
            _ => Flavour::Right,
        });
        fleet.run(240 * SECOND);
        // That there are two places is checked after each step; which of the six get them is chance.
        assert!((1..=2).contains(&fleet.fences.len()), "seed {seed}: {:?}", fleet.fences);
        assert!(fleet.first(|_, notice| *notice == Notice::NotFenced).is_some());
    }
}

/// The time to find each planted fault, at several sizes of the fleet. Virtual seconds; prints.
#[test]
#[ignore = "a measurement; minutes in debug"]
fn time_to_find() {
    for nodes in [9, 64, 300] {
        let mut shape = Shape::new(nodes, 11);
        shape.gap = SECOND;
        let found = |fleet: &mut Fleet, from: Micros, of: &dyn Fn(u32, &Notice) -> bool| {
            let before = fleet.bytes;
            fleet.run_while(from + 120 * SECOND, |fleet| {
                !fleet.notices.last().is_some_and(|(at, me, notice)| *at >= from && of(*me, notice))
            });
            let seconds = (fleet.now - from) as f64 / 1e6;
            (seconds, (fleet.bytes - before) as f64 / seconds / f64::from(nodes))
        };
        let patched = |me| if me == 4 { Flavour::Patched } else { Flavour::Right };
        let mut fleet = Fleet::new(shape, &rules(1.0), patched);
        let constant = found(&mut fleet, 0, &|_, notice| matches!(notice, Notice::Differs { .. }));
        let fenced = found(&mut fleet, 0, &|_, notice| *notice == Notice::Fenced);
        let mut fleet = Fleet::new(shape, &rules(1.0), |me| Flavour::Hashed((me % 9).into()));
        let hashed = found(&mut fleet, 0, &|_, notice| matches!(notice, Notice::Differs { .. }));
        let mut fleet = Fleet::new(shape, &rules(1.0), right);
        fleet.run(30 * SECOND);
        let before = fleet.bytes;
        fleet.nodes[3].flips = Some(30 * SECOND);
        let flip = found(&mut fleet, 30 * SECOND, &|_, notice| matches!(notice, Notice::OwnWindow { .. }));
        let rate = (fleet.bytes - before) as f64 / flip.0 / f64::from(nodes);
        let mut fleet = Fleet::new(shape, &rules(1.0), right);
        fleet.run(30 * SECOND);
        let new = rules(1.5);
        (0..nodes).filter(|&me| me != 7).for_each(|me| fleet.reload(me, &new));
        fleet.reload_half(7, &new);
        let half = found(&mut fleet, 30 * SECOND, &|_, notice| matches!(notice, Notice::OwnWindow { .. }));
        println!(
            "{nodes} nodes: constant named {:.1} s, fenced {:.1} s; hashing {:.1} s; bit {:.1} s; half a reload \
             {:.1} s; {rate:.0} B/s sent a node (facts to the carrier, windows)",
            constant.0, fenced.0, hashed.0, flip.0, half.0
        );
    }
}
