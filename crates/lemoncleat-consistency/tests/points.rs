//! Each numbered point of this package in turn, with each fault that fits it.
#![cfg(feature = "faults")]

mod common;

use common::*;
use lemoncleat_consistency::*;
use lemoncleat_faults::{scene, Fault, Point, POINTS};

/// Nine nodes, of which one decides wrongly, live through a reload. Whatever happens at the point: nobody else is
/// fenced, and in the end it is.
fn play(armed: Option<(&'static Point, u32, Fault, Option<usize>)>) -> (Fleet, bool, bool) {
    scene::begin(armed);
    let mut shape = Shape::new(7, 21);
    shape.gap = SECOND;
    let flavour = |me| if me == 2 { Flavour::Patched } else { Flavour::Right };
    let mut fleet = Fleet::new(shape, &rules(1.0), flavour);
    fleet.run(60 * SECOND);
    (0..7).for_each(|me| fleet.reload(me, &rules(1.5)));
    fleet.run(240 * SECOND);
    let spent = scene::spent();
    let fenced = fleet.nodes[2].fenced;
    (fleet, spent, fenced)
}

#[test]
fn each_point_with_each_fault() {
    let own: Vec<&'static Point> =
        POINTS.iter().copied().filter(|point| point.package == "consistency").collect();
    assert!(!own.is_empty());
    let (fleet, _, fenced) = play(None);
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
            let mut met = false;
            for skip in 0..3 {
                let (fleet, spent, fenced) = play(Some((point, skip, fault, None)));
                scene::end();
                met |= spent;
                let first = fleet.fences.get(&2).map(|at| at / SECOND);
                println!(
                    "{:<16} {:<8} {skip:>4}  {}, fenced first at {first:?} s",
                    point.name,
                    fault.name(),
                    if spent { "met" } else { "not reached" }
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
            assert!(met, "{} with {} was reached by no run", point.name, fault.name());
        }
    }
}
