//! The leader's decision on a trial, based on the reports of canaries and controls.

use std::collections::{BTreeMap, BTreeSet};

use crate::distributor::Member;
use crate::ledger::{bounded_line, Decision};
use crate::limits::{Timing, CANARIES_PER_ZONE, MIN_CALLS, MIN_EXCESS_ERRORS, MIN_EXCESS_SHARE};
use crate::message::{Calls, Report};
use crate::packed::Digest;
use crate::plant::{self, Plant};
use crate::Micros;

/// Returns the canaries and the controls of a trial, the same at all nodes. The members of each zone are
/// ordered by the digest of trial and member: the first two are canaries, the next two controls. At most half
/// of the members are canaries.
pub fn roles(members: &[Member], trial: &Digest) -> (BTreeSet<u32>, BTreeSet<u32>) {
    let mut zones = BTreeMap::<&str, Vec<([u8; 32], u32)>>::new();
    for member in members {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&trial.0);
        hasher.update(&member.id.to_be_bytes());
        zones.entry(&member.zone).or_default().push((*hasher.finalize().as_bytes(), member.id));
    }
    zones.values_mut().for_each(|zone| zone.sort_unstable());
    let mut candidates: Vec<_> =
        zones.values().flat_map(|zone| zone.iter().take(CANARIES_PER_ZONE).copied()).collect();
    candidates.sort_unstable();
    candidates.truncate((members.len() / 2).max(1));
    let canaries: BTreeSet<u32> = candidates.into_iter().map(|(_, id)| id).collect();
    let next = |zone: &Vec<([u8; 32], u32)>| {
        let others = zone.iter().map(|(_, id)| *id).filter(|id| !canaries.contains(id));
        others.take(CANARIES_PER_ZONE).collect::<Vec<_>>()
    };
    let controls = zones.values().flat_map(next).collect();
    (canaries, controls)
}

/// The state of a trial at a voter.
#[derive(Debug, Default)]
pub(crate) struct Rollout {
    step: u64,
    canaries: BTreeSet<u32>,
    controls: BTreeSet<u32>,
    reports: BTreeMap<u32, Report>,
    started_at: Micros,
    half_at: Option<Micros>,
    full_at: Option<Micros>,
    proposed_at: Option<Micros>,
}

impl Rollout {
    pub fn new(now: Micros, step: u64, members: &[Member], trial: &Digest) -> Rollout {
        let (canaries, controls) = roles(members, trial);
        Rollout { step, canaries, controls, started_at: now, ..Rollout::default() }
    }

    pub fn step(&self) -> u64 {
        self.step
    }

    /// Restarts the watch window as this node becomes the leader.
    pub fn start_leading(&mut self, now: Micros) {
        self.started_at = now;
        self.half_at = None;
        self.full_at = None;
        self.proposed_at = None;
        self.update_thresholds(now);
    }

    pub fn record(&mut self, now: Micros, from: u32, report: Report) {
        let known = self.canaries.contains(&from) || self.controls.contains(&from);
        if report.step == self.step && known {
            self.reports.insert(from, report);
            self.update_thresholds(now);
        }
    }

    fn update_thresholds(&mut self, now: Micros) {
        let stand = self.in_force();
        if stand * 2 >= self.canaries.len() {
            self.half_at.get_or_insert(now);
        }
        if stand == self.canaries.len() {
            self.full_at.get_or_insert(now);
        }
    }

    fn in_force(&self) -> usize {
        let has_version = |id: &&u32| self.reports.get(id).is_some_and(|report| report.in_force);
        self.canaries.iter().filter(has_version).count()
    }

    /// Returns the earliest time of a decision.
    pub fn wake(&self, timing: &Timing) -> Micros {
        let canary_deadline = self.started_at + timing.canary_deadline;
        let next = match (self.full_at, self.half_at) {
            (Some(full_at), _) => full_at + timing.watch_window,
            (_, Some(half_at)) => canary_deadline.max(half_at + timing.watch_window),
            _ => canary_deadline,
        };
        next.max(self.proposed_at.map_or(0, |at| at + timing.beat))
    }

    /// Returns the decision to propose now, if any. It is proposed again after each beat until it is
    /// committed.
    pub fn decide(&mut self, now: Micros, timing: &Timing) -> Option<Decision> {
        if self.proposed_at.is_some_and(|at| now < at + timing.beat) {
            return None;
        }
        let decision = self.decision(now, timing)?;
        self.proposed_at = Some(now);
        Some(decision)
    }

    fn decision(&self, now: Micros, timing: &Timing) -> Option<Decision> {
        let refusal = |id: &u32| Some((*id, self.reports.get(id)?.refused.clone()?));
        if let Some((id, reason)) = self.canaries.iter().find_map(refusal) {
            if !plant::is_active(Plant::DeafToRefusal) {
                return Some(Decision::RollBack {
                    reason: bounded_line(format!("member {id:08x}: {reason}")),
                });
            }
        }
        let (at_canaries, at_controls) = (self.calls(&self.canaries), self.calls(&self.controls));
        if !plant::is_active(Plant::DeafToCalls) {
            if let Some(reason) = compare_shares(at_canaries, at_controls) {
                return Some(Decision::RollBack { reason });
            }
        }
        let past_deadline = now >= self.started_at + timing.canary_deadline;
        let passed = |at: Option<Micros>| at.is_some_and(|at| now >= at + timing.watch_window);
        if passed(self.full_at) || (past_deadline && passed(self.half_at)) {
            return Some(Decision::Promote);
        }
        let (stand, of) = (self.in_force(), self.canaries.len());
        (past_deadline && self.half_at.is_none())
            .then(|| Decision::RollBack { reason: format!("in force at {stand} of {of} canaries only") })
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

/// Compares the shares of refused and lost calls at canaries and controls, by a test of two proportions with
/// their standard error. Returns a reason if the canaries are worse.
fn compare_shares(at_canaries: Calls, at_controls: Calls) -> Option<String> {
    if at_canaries.calls < MIN_CALLS || at_controls.calls < MIN_CALLS {
        return None;
    }
    let (n, m) = (at_canaries.calls as f64, at_controls.calls as f64);
    let greater = |failed: u64, failed_at_controls: u64| {
        let (share, baseline) = ((failed as f64 / n).min(1.0), (failed_at_controls as f64 / m).min(1.0));
        let pooled = (share * n + baseline * m) / (n + m);
        let error = (pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m)).sqrt();
        (share - baseline > MIN_EXCESS_SHARE && share - baseline > MIN_EXCESS_ERRORS * error)
            .then_some((share, baseline))
    };
    let describe = |what: &str, (share, baseline): (f64, f64)| {
        format!("{:.1} % of calls {what} at the canaries, {:.1} % at others", share * 100.0, baseline * 100.0)
    };
    let refused = greater(at_canaries.refused, at_controls.refused).map(|shares| describe("refused", shares));
    refused.or_else(|| greater(at_canaries.lost, at_controls.lost).map(|shares| describe("lost", shares)))
}
