//! Smaller scenarios that show the same: troubles, faults of links, servers' trunk groups and calls are left out one
//! after another while the finding stays what it was.

use lemoncleat_settings::{Rate, Span};

use crate::scenario::Scenario;
use crate::simulation::simulate;

/// The smallest scenario found that comes to a finding of the same kind, and how many runs it took.
pub fn shrink(scenario: &Scenario, most: u32) -> (Scenario, u32) {
    let kind =
        |scenario: &Scenario| simulate(scenario, None).ok()?.finding.map(|(_, finding)| finding.kind());
    let (mut best, mut runs) = (scenario.clone(), 1);
    let Some(wanted) = kind(&best) else { return (best, runs) };
    loop {
        let before = runs;
        let mut smaller = false;
        for candidate in candidates(&best) {
            if runs >= most {
                return (best, runs);
            }
            runs += 1;
            if kind(&candidate).as_ref() == Some(&wanted) {
                best = candidate;
                smaller = true;
                break;
            }
        }
        if !smaller || runs == before {
            return (best, runs);
        }
    }
}

/// The scenario with one thing less, the larger steps first.
fn candidates(scenario: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    for index in 0..scenario.day.troubles.len() {
        let mut less = scenario.clone();
        less.day.troubles.remove(index);
        all.push(less);
    }
    for index in 0..scenario.links.len() {
        let mut less = scenario.clone();
        less.links.remove(index);
        all.push(less);
    }
    if scenario.day.circuits.is_some() {
        let mut less = scenario.clone();
        less.day.circuits = None;
        all.push(less);
    }
    let halves = |scenario: &Scenario| {
        let mut shorter = scenario.clone();
        shorter.day.length = Span(scenario.day.length.0 * 3 / 4);
        let mut fewer = scenario.clone();
        fewer.day.rate = Rate(scenario.day.rate.0 * 0.6);
        [shorter, fewer]
    };
    if scenario.day.length.0 > 1_000_000 && scenario.day.rate.0 > 1.0 {
        all.extend(halves(scenario));
    }
    all
}
