//! Runs each fault point of this package with each of its faults.
#![cfg(feature = "faults")]

mod common;

use common::*;
use lemoncleat_consistency::*;
use lemoncleat_faults::{scene, Fault, Point, POINTS};

/// Seven nodes, one of which decides wrongly, go through a reload. Whatever fault occurs at the point, no
/// other node is fenced, and the wrong one is fenced in the end.
fn run_scenario(armed: Option<(&'static Point, u32, Fault, Option<usize>)>) -> (Fleet, bool, bool) {
    scene::begin(armed);
    let mut config = FleetConfig::new(7, 21);
    config.call_interval = SECOND;
    let variant = |me| if me == 2 { Variant::Patched } else { Variant::Correct };
    let mut fleet = Fleet::new(config, &rules(1.0), variant);
    fleet.run(60 * SECOND);
    (0..7).for_each(|me| fleet.reload(me, &rules(1.5)));
    fleet.run(240 * SECOND);
    let reached_now = scene::spent();
    let fenced = fleet.nodes[2].fenced;
    (fleet, reached_now, fenced)
}

#[test]
fn fences_only_the_faulty_node_with_each_fault_at_each_point() {
    let own: Vec<&'static Point> =
        POINTS.iter().copied().filter(|point| point.package == "consistency").collect();
    assert!(!own.is_empty());
    let (fleet, _, fenced) = run_scenario(None);
    let passes = scene::end();
    assert!(fenced, "{:?}", fleet.notices);
    for point in &own {
        assert!(
            passes.get(&point.number).is_some_and(|&passes| passes > 0),
            "{} was never reached",
            point.name
        );
    }
    println!("{:<16} {:<8} {:>4}  result", "point", "fault", "skip");
    for point in own {
        for &fault in point.faults {
            let mut reached = false;
            for skip in 0..3 {
                let (fleet, reached_now, fenced) = run_scenario(Some((point, skip, fault, None)));
                scene::end();
                reached |= reached_now;
                let first = fleet.fences.get(&2).map(|at| at / SECOND);
                println!(
                    "{:<16} {:<8} {skip:>4}  {}, fenced first at {first:?} s",
                    point.name,
                    fault.name(),
                    if reached_now { "reached" } else { "not reached" }
                );
                assert!(
                    fleet.fences.keys().all(|&me| me == 2),
                    "{point:?} {fault:?} {skip}: {:?}",
                    fleet.fences
                );
                assert!(fenced, "{point:?} {fault:?} {skip}: {:?}", fleet.notices);
                for (_, _, notice) in &fleet.notices {
                    if let Notice::Odd { node, .. } | Notice::Window { node, .. } = notice {
                        assert_eq!(*node, 2, "{point:?} {fault:?} {skip}");
                    }
                }
            }
            assert!(reached, "{} with {} was reached by no run", point.name, fault.name());
        }
    }
}
