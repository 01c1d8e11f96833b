//! Runs every fault point of the package with each fault that applies to it.
#![cfg(feature = "faults")]

mod common;

use common::{Net, SECOND};
use lemoncleat_faults::{scene, Fault, Point, POINTS};
use lemoncleat_fleet::*;

/// Runs a small fleet through a start, a node cut off and reconnected, a node killed and restarted, and facts
/// throughout.
fn run_with_fault(carrier: Transport, armed: (&'static Point, u32, Fault)) -> (bool, String) {
    let (point, skip, fault) = armed;
    scene::begin(Some((point, skip, fault, None)));
    let mut net = Net::new(5, carrier, u64::from(point.number));
    net.age_slack = 200 * SECOND;
    for step in 0..6 {
        (0..5).for_each(|at| net.publish(at));
        match step {
            1 => {
                net.cut(&[4], &[0, 1, 2, 3]);
                net.cut(&[0, 1, 2, 3], &[4]);
            }
            3 => net.cut.clear(),
            4 => net.kill(3),
            _ => {}
        }
        net.run(3 * SECOND);
        net.break_cut_links();
        net.run(9 * SECOND);
    }
    // A cut caused by the fault lasts long enough to be noticed; then all faults end.
    net.run(30 * SECOND);
    net.cut.clear();
    let killed: Vec<usize> = (0..5).filter(|at| net.nodes[*at].is_none()).collect();
    killed.iter().for_each(|at| net.start(*at, 200));
    net.run(15 * SECOND);
    (0..5).for_each(|at| net.publish(at));
    let settled = net.settle(60 * SECOND);
    assert!(
        settled.is_some(),
        "{} {} {skip} {carrier:?}: {} disagreements",
        point.name,
        fault.name(),
        net.disagreements()
    );
    let reached = scene::spent();
    scene::end();
    let count = |wanted| {
        let is = |it: &Output| matches!(it, Output::State { state, .. } if *state == wanted);
        net.log.iter().filter(|(_, _, it)| is(it)).count()
    };
    let (suspect, gone) = (count(State::Suspect), count(State::Gone));
    (
        reached,
        format!("suspected {suspect:3}, gone {gone:3}, agreed after {:4} ms", settled.unwrap_or(0) / 1_000),
    )
}

#[test]
fn recovers_from_each_fault_at_each_point() {
    let mut unreached = Vec::new();
    for point in POINTS.iter().filter(|point| point.package == "fleet") {
        for (fault, carrier) in
            point.faults.iter().flat_map(|f| [(f, Transport::Notes), (f, Transport::Connections)])
        {
            for skip in 0..3 {
                let (reached, outcome) = run_with_fault(carrier, (point, skip, *fault));
                println!("{:14} {:7} {skip} {carrier:?}: {outcome}", point.name, fault.name());
                if !reached {
                    unreached.push((point.name, fault.name(), skip));
                }
            }
        }
    }
    assert!(unreached.is_empty(), "not reached: {unreached:?}");
}
