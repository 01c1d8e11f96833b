//! Runs each fault point of this package with each of its faults, and checks that planted faults are
//! detected.
#![cfg(feature = "faults")]

mod common;

use common::*;
use lemoncleat_credit::planted::{plant, Planted};
use lemoncleat_credit::*;
use lemoncleat_faults::{scene, POINTS};

/// Insufficient funds, a top-up sent by three nodes, retransmissions, and calls on all nodes throughout.
fn scenario(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, SimulationConfig::default());
    sim.fund(1, 400, 300);
    for call in 0..60 {
        let class = if call % 4 == 3 { CHEAP } else { VOICE };
        let node = call as usize % 3;
        sim.call(call as Micros * 400 * MS, call, node, class, 3 * SECOND + call as Micros * 50 * MS);
        sim.input(
            call as Micros * 400 * MS + 60 * MS,
            node,
            Input::SetUp { call, customer: CUSTOMER, class },
        );
    }
    for node in 0..3 {
        sim.input(12 * SECOND, node, Input::TopUp { order: 2, customer: CUSTOMER, units: 400 });
    }
    sim.run(45 * SECOND);
    if sim.violation.is_none() {
        sim.settle_all();
    }
    sim
}

#[test]
fn keeps_invariants_with_each_fault_at_each_point() {
    let mut unreached = Vec::new();
    for point in POINTS.iter().copied().filter(|point| point.package == "credit") {
        for fault in point.faults.iter().copied() {
            for skip in 0..3 {
                scene::begin(Some((point, skip, fault, None)));
                let sim = scenario(u64::from(skip));
                let reached = scene::spent();
                scene::end();
                println!(
                    "{:>3} {:<15} {:<8} skip {skip}: {}, {} admitted, {} refused, {} spent, \
                     {} granted, {} free",
                    point.number,
                    point.name,
                    fault.name(),
                    if reached { "reached" } else { "not reached" },
                    sim.admitted(),
                    sim.refused(RefusalReason::CreditLimitReached) + sim.refused(RefusalReason::WorthTooLow),
                    sim.ledger.account(CUSTOMER).map_or(0, |account| account.spent),
                    sim.ledger.account(CUSTOMER).map_or(0, |account| account.granted),
                    sim.ledger.account(CUSTOMER).map_or(0, |account| account.free),
                );
                assert_eq!(sim.violation, None, "{} {} {skip}", point.name, fault.name());
                if !reached {
                    unreached.push((point.name, fault.name(), skip));
                }
            }
        }
    }
    assert!(unreached.is_empty(), "{unreached:?}");
}

/// Returns the first seed in which the checks detect a planted fault, and the violation.
fn first_detection(fault: Planted) -> Option<(u64, String)> {
    plant(Some(fault));
    let found = (0..40).find_map(|seed| {
        let mut config = SimulationConfig { duplication: 0.3, ..SimulationConfig::default() };
        if fault == Planted::TickTwice {
            config.duplication = 1.0;
        }
        let mut sim;
        if matches!(fault, Planted::IgnoreStop | Planted::TickTwice | Planted::WriteOffEarly) {
            sim = cut_off_with_funds(seed, config, 0);
            for grant in (1..60).filter(|_| fault == Planted::WriteOffEarly) {
                let entry = encode(&[Command::WriteOff { grant, spent: 0 }]).unwrap();
                sim.at(3 * SECOND, Event::Commit(entry));
            }
            sim.run(40 * SECOND);
        } else {
            sim = random_run(seed, config, 30 * SECOND);
        }
        sim.violation.map(|violation| (seed, violation))
    });
    plant(None);
    found
}

#[test]
fn detects_planted_faults() {
    let mut missed = Vec::new();
    for fault in Planted::ALL {
        match first_detection(fault) {
            Some((seed, violation)) => println!("{fault:?}: seed {seed}: {violation}"),
            None => missed.push(fault),
        }
    }
    assert!(missed.is_empty(), "{missed:?}");
}
