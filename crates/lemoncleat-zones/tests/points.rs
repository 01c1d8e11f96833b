//! Each point of the table in turn with each fault that fits it, and planted faults.
#![cfg(feature = "faults")]

mod bed;

use bed::{Bed, Cut, Plan, Trouble, S};
use lemoncleat_faults::{scene, Fault, Point, POINTS};
use lemoncleat_zones::Plant;

/// A zone dies, returns, fails again in mid-return, and returns for good.
fn outage(seed: u64, log: bool) -> Plan {
    let plan = Plan { rate: 120.0, capacity: 23.0, until: 44 * S, log, ..Plan::new(9, seed) };
    plan.trouble(4 * S, 8 * S, 1, Trouble::Down).trouble(15 * S, 17 * S, 1, Trouble::Silent)
}

fn play(point: &'static Point, fault: Fault, skip: u32) -> String {
    scene::begin(Some((point, skip, fault, None)));
    let mut bed = Bed::new(outage(u64::from(point.number) * 10 + u64::from(skip), skip != 1));
    while bed.now < bed.plan.until {
        bed.run(bed.now + S / 2);
        // Without a log two nodes may hold two steps of one number until they hear of each other.
        assert!(bed.laws().is_empty(), "{} {} {skip}: {:?}", point.name, fault.name(), bed.laws());
    }
    assert!(scene::spent(), "no run reached {} after {skip}", point.name);
    scene::end();
    let steps: Vec<u64> =
        bed.nodes.iter().map(|node| node.core.as_ref().map_or(0, |c| c.step().number)).collect();
    assert!(
        steps.windows(2).all(|pair| pair[0] == pair[1]),
        "{} {} {skip}: {steps:?}",
        point.name,
        fault.name()
    );
    let whole = bed.whole_at(1, 17 * S).map_or("-".into(), |at| format!("{:.1} s", at as f64 / 1e6));
    format!("{} steps, {} lost, whole at {whole}", steps[0], bed.result.lost[1])
}

#[test]
fn each_point_with_each_fault() {
    let points: Vec<_> = POINTS.iter().filter(|point| point.package == "zones").collect();
    assert!(!points.is_empty());
    for point in points {
        for fault in point.faults {
            for skip in 0..3 {
                let led_to = play(point, *fault, skip);
                println!("{:2} {:14} {:8} {skip}  {led_to}", point.number, point.name, fault.name());
            }
        }
    }
}

/// Whether the checks find something wrong with a fault planted, in a scenario that is sound without.
fn finds(plan: impl Fn() -> Plan, plant: Plant, wrong: impl Fn(&Bed) -> bool) {
    let sound = Bed::play(plan());
    assert!(sound.laws().is_empty() && !wrong(&sound), "without {plant:?}: {:?}", sound.laws());
    let bed = Bed::play(Plan { plant, ..plan() });
    println!("{plant:?}: {:?} {}", bed.laws().first(), wrong(&bed));
    assert!(!bed.laws().is_empty() || wrong(&bed), "{plant:?} was not found");
}

#[test]
fn planted_faults_are_found() {
    let dead = |seed| Plan { until: 30 * S, ..Plan::new(9, seed) }.trouble(5 * S, 12 * S, 1, Trouble::Down);
    let never = |_: &Bed| false;
    let cut_off = || Plan { cuts: vec![(3 * S, 18 * S, Cut::Below(4))], until: 18 * S, ..Plan::new(9, 21) };
    let cut_off = || cut_off().trouble(6 * S, 17 * S, 1, Trouble::Silent);
    finds(cut_off, Plant::NoQuorum, never);
    let gray = || Plan::new(9, 22).trouble(5 * S, 15 * S, 1, Trouble::Gray(0b100));
    finds(gray, Plant::OneZone, |bed| !bed.result.steps.is_empty());
    let two = || Plan::new(9, 23).trouble(5 * S, 15 * S, 0, Trouble::Lossy(0.5));
    finds(|| two().trouble(5 * S, 15 * S, 1, Trouble::Lossy(0.6)), Plant::NoRoom, never);
    // What the last outage left behind keeps the zone away.
    finds(|| dead(13), Plant::OldEvidence, |bed| bed.whole_at(1, 12 * S).is_none());
    finds(|| dead(25), Plant::NoCold, never);
    finds(|| dead(26), Plant::AllTry, never);
    finds(|| dead(27), Plant::LateStep, never);
}
