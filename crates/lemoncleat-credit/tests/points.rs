//! Each point of the table that belongs to this package, in turn, with each fault that fits it; and planted faults.
#![cfg(feature = "faults")]

mod common;

use common::*;
use lemoncleat_credit::planted::{plant, Planted};
use lemoncleat_credit::*;
use lemoncleat_faults::{scene, POINTS};

/// Funds that fall short, a top-up by three nodes, a repeat, and calls on all nodes all along.
fn scenario(seed: u64) -> World {
    let mut world = World::new(seed, Plan::default());
    world.fund(1, 400, 300);
    for call in 0..60 {
        let class = if call % 4 == 3 { CHEAP } else { VOICE };
        let node = call as usize % 3;
        world.call(call as Micros * 400 * MS, call, node, class, 3 * SECOND + call as Micros * 50 * MS);
        world.input(
            call as Micros * 400 * MS + 60 * MS,
            node,
            Input::SetUp { call, customer: CUSTOMER, class },
        );
    }
    for node in 0..3 {
        world.input(12 * SECOND, node, Input::TopUp { order: 2, customer: CUSTOMER, units: 400 });
    }
    world.run(45 * SECOND);
    if world.broken.is_none() {
        world.rest();
    }
    world
}

#[test]
fn the_laws_hold_with_each_fault_at_each_point() {
    let mut unreached = Vec::new();
    for point in POINTS.iter().copied().filter(|point| point.package == "credit") {
        for fault in point.faults.iter().copied() {
            for skip in 0..3 {
                scene::begin(Some((point, skip, fault, None)));
                let world = scenario(u64::from(skip));
                let met = scene::spent();
                scene::end();
                println!(
                    "{:>3} {:<15} {:<8} skip {skip}: {}, {} let in, {} refused, {} spent, {} granted, {} free",
                    point.number,
                    point.name,
                    fault.name(),
                    if met { "met" } else { "not met" },
                    world.admitted(),
                    world.refused(Why::CreditLimitReached) + world.refused(Why::NotWorthIt),
                    world.ledger.account(CUSTOMER).map_or(0, |account| account.spent),
                    world.ledger.account(CUSTOMER).map_or(0, |account| account.granted),
                    world.ledger.account(CUSTOMER).map_or(0, |account| account.free),
                );
                assert_eq!(world.broken, None, "{} {} {skip}", point.name, fault.name());
                if !met {
                    unreached.push((point.name, fault.name(), skip));
                }
            }
        }
    }
    assert!(unreached.is_empty(), "{unreached:?}");
}

/// What the checks find of a planted fault, if anything, in the first seeds.
fn finds(fault: Planted) -> Option<(u64, String)> {
    plant(Some(fault));
    let found = (0..40).find_map(|seed| {
        let mut plan = Plan { double: 0.3, ..Plan::default() };
        if fault == Planted::TickTwice {
            plan.double = 1.0;
        }
        let mut world;
        if matches!(fault, Planted::IgnoreStop | Planted::TickTwice | Planted::WriteOffEarly) {
            world = cut_with_money(seed, plan, 0);
            for grant in (1..60).filter(|_| fault == Planted::WriteOffEarly) {
                let entry = write(&[Command::WriteOff { grant, spent: 0 }]).unwrap();
                world.at(3 * SECOND, Event::Commit(entry));
            }
            world.run(40 * SECOND);
        } else {
            world = any(seed, plan, 30 * SECOND);
        }
        world.broken.map(|broken| (seed, broken))
    });
    plant(None);
    found
}

#[test]
fn planted_faults_are_found() {
    let mut missed = Vec::new();
    for fault in Planted::ALL {
        match finds(fault) {
            Some((seed, broken)) => println!("{fault:?}: seed {seed}: {broken}"),
            None => missed.push(fault),
        }
    }
    assert!(missed.is_empty(), "{missed:?}");
}
