//! Shrinks scenarios: leaves out troubles, link faults, circuits and calls one after another while the kind
//! of the finding stays the same.

use lemoncleat_settings::{Rate, Span};

use crate::scenario::Scenario;
use crate::simulation::simulate;

/// Returns the smallest scenario found whose finding is of the same kind, and the number of runs taken, at
/// most `max_runs`.
pub fn shrink(scenario: &Scenario, max_runs: u32) -> (Scenario, u32) {
    let kind =
        |scenario: &Scenario| simulate(scenario, None).ok()?.finding.map(|(_, finding)| finding.kind());
    let (mut best, mut runs) = (scenario.clone(), 1);
    let Some(wanted_kind) = kind(&best) else { return (best, runs) };
    loop {
        let before = runs;
        let mut shrunk = false;
        for candidate in candidates(&best) {
            if runs >= max_runs {
                return (best, runs);
            }
            runs += 1;
            if kind(&candidate).as_ref() == Some(&wanted_kind) {
                best = candidate;
                shrunk = true;
                break;
            }
        }
        if !shrunk || runs == before {
            return (best, runs);
        }
    }
}

/// Returns the scenarios with one thing less, the largest reductions first.
fn candidates(scenario: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    for index in 0..scenario.day.troubles.len() {
        let mut reduced = scenario.clone();
        reduced.day.troubles.remove(index);
        all.push(reduced);
    }
    for index in 0..scenario.links.len() {
        let mut reduced = scenario.clone();
        reduced.links.remove(index);
        all.push(reduced);
    }
    if scenario.day.circuits.is_some() {
        let mut reduced = scenario.clone();
        reduced.day.circuits = None;
        all.push(reduced);
    }
    let reductions = |scenario: &Scenario| {
        let mut shorter = scenario.clone();
        shorter.day.length = Span(scenario.day.length.0 * 3 / 4);
        let mut fewer = scenario.clone();
        fewer.day.rate = Rate(scenario.day.rate.0 * 0.6);
        [shorter, fewer]
    };
    if scenario.day.length.0 > 1_000_000 && scenario.day.rate.0 > 1.0 {
        all.extend(reductions(scenario));
    }
    all
}
