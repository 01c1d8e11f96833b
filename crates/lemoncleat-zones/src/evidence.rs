//! The set-up outcomes that a node recently observed in each zone, and their sums.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Micros, Outcome, Step, ZoneId};

/// Maximum size of an encoded fact, in bytes.
pub const MAX_FACT_BYTES: usize = 160;

/// The outcomes that a node observed in a zone: within the last window, or since the step that last changed
/// the zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneCounts {
    /// The zone's index in the settings' list.
    pub zone: u16,
    /// Set-ups sent.
    pub sent: u16,
    /// Set-ups that were answered.
    pub answered: u16,
    /// Set-ups that were not answered before the time-out.
    pub timed_out: u16,
    /// Set-ups whose connection ended before an answer arrived.
    pub reset: u16,
    /// Set-ups for which no connection was available.
    pub unreachable: u16,
    /// Set-ups that the server refused because it was full.
    pub refused: u16,
    /// Mean wait of the answered set-ups, in milliseconds.
    pub wait: u16,
    /// Worth of the set-ups sent, summed over all classes.
    pub worth: u32,
    /// Cost of the set-ups sent.
    pub cost: u32,
    /// Bit mask of the servers at which any set-up failed: one bit for each server's index in the zone's
    /// list, modulo 16.
    pub failed_servers: u16,
}

impl ZoneCounts {
    /// Set-ups that failed in a way that indicates a zone failure: timed out, reset or unreachable.
    pub fn failures(&self) -> u32 {
        u32::from(self.timed_out) + u32::from(self.reset) + u32::from(self.unreachable)
    }

    /// Set-ups with a known outcome. A set-up refused because the server was full counts as one that a live
    /// server responded to.
    pub fn settled(&self) -> u32 {
        self.failures() + self.responded()
    }

    pub(crate) fn responded(&self) -> u32 {
        u32::from(self.answered) + u32::from(self.refused)
    }

    fn record(&mut self, server: u16, outcome: Outcome, waited: Micros, (worth, cost): (u32, u32)) {
        let increment = |count: &mut u16| *count = count.saturating_add(1);
        match outcome {
            Outcome::Sent => {
                increment(&mut self.sent);
                self.worth = self.worth.saturating_add(worth);
                self.cost = self.cost.saturating_add(cost);
            }
            Outcome::Answered => {
                let ms = waited.clamp(0, 60_000_000) / 1000;
                let total = i64::from(self.wait) * i64::from(self.answered) + ms;
                increment(&mut self.answered);
                self.wait = (total / i64::from(self.answered)).min(60_000) as u16;
            }
            Outcome::TimedOut => increment(&mut self.timed_out),
            Outcome::Reset => increment(&mut self.reset),
            Outcome::Unreachable => increment(&mut self.unreachable),
            Outcome::Refused => increment(&mut self.refused),
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Unreachable) {
            self.failed_servers |= 1 << (server % 16);
        }
    }

    fn add(&mut self, other: &ZoneCounts) {
        let answered = u32::from(self.answered) + u32::from(other.answered);
        if answered > 0 {
            let total = u64::from(self.wait) * u64::from(self.answered)
                + u64::from(other.wait) * u64::from(other.answered);
            self.wait = (total / u64::from(answered)) as u16;
        }
        self.sent = self.sent.saturating_add(other.sent);
        self.answered = self.answered.saturating_add(other.answered);
        self.timed_out = self.timed_out.saturating_add(other.timed_out);
        self.reset = self.reset.saturating_add(other.reset);
        self.unreachable = self.unreachable.saturating_add(other.unreachable);
        self.refused = self.refused.saturating_add(other.refused);
        self.worth = self.worth.saturating_add(other.worth);
        self.cost = self.cost.saturating_add(other.cost);
        self.failed_servers |= other.failed_servers;
    }
}

/// The fact that a node publishes to the other members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The step in force at the node. Steps spread with the facts.
    pub step: Step,
    /// Length of time that the counts cover, in milliseconds.
    pub span: u16,
    /// The counts of each zone in which any outcome was observed.
    pub counts: Vec<ZoneCounts>,
}

impl Fact {
    /// Encodes the fact in at most [`MAX_FACT_BYTES`] bytes. Zones that do not fit are left out, those with
    /// the fewest failures first: missing evidence can only keep the fleet in its present state.
    pub fn encode(mut self) -> Vec<u8> {
        self.counts.sort_by_key(|counts| {
            (std::cmp::Reverse(counts.failures()), std::cmp::Reverse(counts.sent), counts.zone)
        });
        loop {
            let bytes = postcard::to_allocvec(&self).unwrap_or_default();
            if bytes.len() <= MAX_FACT_BYTES || self.counts.pop().is_none() {
                return bytes;
            }
        }
    }

    /// Decodes a fact; `None` if the bytes are too long or malformed.
    pub fn decode(bytes: &[u8]) -> Option<Fact> {
        if bytes.len() > MAX_FACT_BYTES {
            return None;
        }
        postcard::from_bytes(bytes).ok()
    }

    pub(crate) fn for_zone(&self, zone: ZoneId) -> Option<&ZoneCounts> {
        self.counts.iter().find(|counts| counts.zone == zone.0)
    }
}

/// The outcomes that this node observed in one zone, in slices of one check interval.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentOutcomes {
    slices: VecDeque<(Micros, ZoneCounts)>,
}

impl RecentOutcomes {
    /// Records an outcome in the slice that began at `start`.
    pub(crate) fn record(
        &mut self,
        start: Micros,
        server: u16,
        outcome: Outcome,
        waited: Micros,
        worth_and_cost: (u32, u32),
    ) {
        match self.slices.back_mut() {
            Some((at, counts)) if *at >= start => counts.record(server, outcome, waited, worth_and_cost),
            _ => {
                let mut counts = ZoneCounts::default();
                counts.record(server, outcome, waited, worth_and_cost);
                self.slices.push_back((start, counts));
                // A zone that is being left or restored keeps all outcomes since its step: old slices are
                // merged, not dropped.
                if self.slices.len() > 64 {
                    if let (Some((_, first)), Some((_, second))) =
                        (self.slices.pop_front(), self.slices.front_mut())
                    {
                        second.add(&first);
                    }
                }
            }
        }
    }

    pub(crate) fn drop_before(&mut self, limit: Micros) {
        while self.slices.front().is_some_and(|(at, _)| *at < limit) {
            self.slices.pop_front();
        }
    }

    pub(crate) fn clear(&mut self) {
        self.slices.clear();
    }

    pub(crate) fn sum(&self, zone: u16) -> ZoneCounts {
        let mut sum = ZoneCounts { zone, ..ZoneCounts::default() };
        for (_, counts) in &self.slices {
            sum.add(counts);
        }
        sum
    }
}

/// The sum of what a set of nodes observed in a zone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EvidenceSum {
    pub sent: f64,
    pub responded: f64,
    pub failures: f64,
    pub refused: f64,
    pub answered: f64,
    pub wait: f64,
    pub worth: f64,
    pub cost: f64,
    pub failed_servers: u16,
    /// Nodes at which at least a quarter of the settled set-ups failed, and nodes that settled any set-up.
    pub failing_nodes: u32,
    pub reporting_nodes: u32,
}

impl EvidenceSum {
    pub(crate) fn add(&mut self, counts: &ZoneCounts) {
        self.sent += f64::from(counts.sent);
        self.responded += f64::from(counts.responded());
        self.failures += f64::from(counts.failures());
        self.refused += f64::from(counts.refused);
        self.answered += f64::from(counts.answered);
        self.wait += f64::from(counts.wait) * f64::from(counts.answered);
        self.worth += f64::from(counts.worth);
        self.cost += f64::from(counts.cost);
        self.failed_servers |= counts.failed_servers;
        self.failing_nodes += u32::from(4 * counts.failures() >= counts.settled().max(1));
        self.reporting_nodes += u32::from(counts.settled() > 0);
    }

    pub(crate) fn settled(&self) -> f64 {
        self.responded + self.failures
    }

    /// Share of the settled set-ups that a live server responded to; 1 if there are none.
    pub(crate) fn success_rate(&self) -> f64 {
        if self.settled() > 0.0 {
            self.responded / self.settled()
        } else {
            1.0
        }
    }

    /// Mean wait of the answered set-ups, in milliseconds.
    pub(crate) fn mean_wait(&self) -> f64 {
        if self.answered > 0.0 {
            self.wait / self.answered
        } else {
            0.0
        }
    }
}
