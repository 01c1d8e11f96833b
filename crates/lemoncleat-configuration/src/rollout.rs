//! What the leader decides on a trial from the reports of canaries and controls.

use std::collections::{BTreeMap, BTreeSet};

use crate::distributor::Member;
use crate::ledger::{cut, Decision};
use crate::limits::{Timing, CANARIES, LEAST_CALLS, WORSE_BY, WORSE_ERRORS};
use crate::message::{Calls, Report};
use crate::packed::Digest;
use crate::plant::{self, Plant};
use crate::Micros;

/// The canaries and the controls of a trial, the same at all nodes: of each zone the first two in the order of the digest
/// of trial and member, and the next two. Canaries are at most half of the members.
pub fn roles(members: &[Member], trial: &Digest) -> (BTreeSet<u32>, BTreeSet<u32>) {
    let mut zones = BTreeMap::<&str, Vec<([u8; 32], u32)>>::new();
    for member in members {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&trial.0);
        hasher.update(&member.id.to_be_bytes());
        zones.entry(&member.zone).or_default().push((*hasher.finalize().as_bytes(), member.id));
    }
    zones.values_mut().for_each(|zone| zone.sort_unstable());
    let mut first: Vec<_> = zones.values().flat_map(|zone| zone.iter().take(CANARIES).copied()).collect();
    first.sort_unstable();
    first.truncate((members.len() / 2).max(1));
    let canaries: BTreeSet<u32> = first.into_iter().map(|(_, id)| id).collect();
    let next = |zone: &Vec<([u8; 32], u32)>| {
        let others = zone.iter().map(|(_, id)| *id).filter(|id| !canaries.contains(id));
        others.take(CANARIES).collect::<Vec<_>>()
    };
    let controls = zones.values().flat_map(next).collect();
    (canaries, controls)
}

/// The reports on a trial, and since when.
#[derive(Debug, Default)]
pub(crate) struct Rollout {
    step: u64,
    canaries: BTreeSet<u32>,
    controls: BTreeSet<u32>,
    reports: BTreeMap<u32, Report>,
    since: Micros,
    half: Option<Micros>,
    full: Option<Micros>,
    proposed: Option<Micros>,
}

impl Rollout {
    pub fn new(now: Micros, step: u64, members: &[Member], trial: &Digest) -> Rollout {
        let (canaries, controls) = roles(members, trial);
        Rollout { step, canaries, controls, since: now, ..Rollout::default() }
    }

    pub fn step(&self) -> u64 {
        self.step
    }

    /// This node leads from now on: it looks as long as a leader from the start on.
    pub fn lead(&mut self, now: Micros) {
        self.since = now;
        self.half = None;
        self.full = None;
        self.proposed = None;
        self.count(now);
    }

    pub fn hear(&mut self, now: Micros, from: u32, report: Report) {
        let known = self.canaries.contains(&from) || self.controls.contains(&from);
        if report.step == self.step && known {
            self.reports.insert(from, report);
            self.count(now);
        }
    }

    fn count(&mut self, now: Micros) {
        let stand = self.in_force();
        if stand * 2 >= self.canaries.len() {
            self.half.get_or_insert(now);
        }
        if stand == self.canaries.len() {
            self.full.get_or_insert(now);
        }
    }

    fn in_force(&self) -> usize {
        let stands = |id: &&u32| self.reports.get(id).is_some_and(|report| report.in_force);
        self.canaries.iter().filter(stands).count()
    }

    /// When it may decide at the earliest.
    pub fn wake(&self, timing: &Timing) -> Micros {
        let late = self.since + timing.late;
        let next = match (self.full, self.half) {
            (Some(full), _) => full + timing.window,
            (_, Some(half)) => late.max(half + timing.window),
            _ => late,
        };
        next.max(self.proposed.map_or(0, |at| at + timing.beat))
    }

    /// What is to be proposed now; again after a beat while nothing comes of it.
    pub fn decide(&mut self, now: Micros, timing: &Timing) -> Option<Decision> {
        if self.proposed.is_some_and(|at| now < at + timing.beat) {
            return None;
        }
        let decision = self.decision(now, timing)?;
        self.proposed = Some(now);
        Some(decision)
    }

    fn decision(&self, now: Micros, timing: &Timing) -> Option<Decision> {
        let refusal = |id: &u32| Some((*id, self.reports.get(id)?.refused.clone()?));
        if let Some((id, why)) = self.canaries.iter().find_map(refusal) {
            if !plant::is(Plant::DeafToRefusal) {
                return Some(Decision::TakeBack { why: cut(format!("member {id:08x}: {why}")) });
            }
        }
        let (tried, others) = (self.calls(&self.canaries), self.calls(&self.controls));
        if !plant::is(Plant::DeafToCalls) {
            if let Some(why) = worse(tried, others) {
                return Some(Decision::TakeBack { why });
            }
        }
        let late = now >= self.since + timing.late;
        let passed = |at: Option<Micros>| at.is_some_and(|at| now >= at + timing.window);
        if passed(self.full) || (late && passed(self.half)) {
            return Some(Decision::Everyone);
        }
        let (stand, of) = (self.in_force(), self.canaries.len());
        (late && self.half.is_none())
            .then(|| Decision::TakeBack { why: format!("in force at {stand} of {of} canaries only") })
    }

    fn calls(&self, ids: &BTreeSet<u32>) -> Calls {
        let mut sum = Calls::default();
        for Report { calls, .. } in ids.iter().filter_map(|id| self.reports.get(id)) {
            sum.calls = sum.calls.saturating_add(calls.calls);
            sum.refused = sum.refused.saturating_add(calls.refused);
            sum.lost = sum.lost.saturating_add(calls.lost);
        }
        sum
    }
}

/// Whether the canaries refuse or lose a greater share than the controls: two proportions, by their standard error.
fn worse(tried: Calls, others: Calls) -> Option<String> {
    if tried.calls < LEAST_CALLS || others.calls < LEAST_CALLS {
        return None;
    }
    let (n, m) = (tried.calls as f64, others.calls as f64);
    let greater = |bad: u64, of_others: u64| {
        let (share, usual) = ((bad as f64 / n).min(1.0), (of_others as f64 / m).min(1.0));
        let both = (share * n + usual * m) / (n + m);
        let error = (both * (1.0 - both) * (1.0 / n + 1.0 / m)).sqrt();
        (share - usual > WORSE_BY && share - usual > WORSE_ERRORS * error).then_some((share, usual))
    };
    let told = |what: &str, (share, usual): (f64, f64)| {
        format!("{:.1} % of calls {what} at the canaries, {:.1} % at others", share * 100.0, usual * 100.0)
    };
    let refused = greater(tried.refused, others.refused).map(|shares| told("refused", shares));
    refused.or_else(|| greater(tried.lost, others.lost).map(|shares| told("lost", shares)))
}
