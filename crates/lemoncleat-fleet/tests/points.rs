//! Each numbered point of the package in turn, with each fault that fits it.
#![cfg(feature = "faults")]

mod common;

use common::{Net, S};
use lemoncleat_faults::{scene, Fault, Point, POINTS};
use lemoncleat_fleet::*;

/// A small fleet through a start, a node cut off and back, one killed and restarted, and facts throughout.
fn play(carrier: Carrier, armed: (&'static Point, u32, Fault)) -> (bool, String) {
    let (point, skip, fault) = armed;
    scene::begin(Some((point, skip, fault, None)));
    let mut net = Net::new(5, carrier, u64::from(point.number));
    net.slack = 200 * S;
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
        net.run(3 * S);
        net.break_cut_links();
        net.run(9 * S);
    }
    // Whatever is cut stays so long enough to be noticed; then all is well again.
    net.run(30 * S);
    net.cut.clear();
    let killed: Vec<usize> = (0..5).filter(|at| net.nodes[*at].is_none()).collect();
    killed.iter().for_each(|at| net.start(*at, 200));
    net.run(15 * S);
    (0..5).for_each(|at| net.publish(at));
    let settled = net.settle(60 * S);
    assert!(settled.is_some(), "{} {} {skip} {carrier:?}: {} wrong", point.name, fault.name(), net.wrong());
    let met = scene::spent();
    scene::end();
    let count = |wanted| {
        let is = |it: &Output| matches!(it, Output::State { state, .. } if *state == wanted);
        net.log.iter().filter(|(_, _, it)| is(it)).count()
    };
    let (suspect, gone) = (count(State::Suspect), count(State::Gone));
    (met, format!("suspected {suspect:3}, gone {gone:3}, agreed after {:4} ms", settled.unwrap_or(0) / 1_000))
}

#[test]
fn each_point_in_turn_with_each_fault() {
    let mut unreached = Vec::new();
    for point in POINTS.iter().filter(|point| point.package == "fleet") {
        for (fault, carrier) in
            point.faults.iter().flat_map(|f| [(f, Carrier::Notes), (f, Carrier::Connections)])
        {
            for skip in 0..3 {
                let (met, led_to) = play(carrier, (point, skip, *fault));
                println!("{:14} {:7} {skip} {carrier:?}: {led_to}", point.name, fault.name());
                if !met {
                    unreached.push((point.name, fault.name(), skip));
                }
            }
        }
    }
    assert!(unreached.is_empty(), "not reached: {unreached:?}");
}
