//! What one node saw of each zone lately, and what all of it comes to.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Micros, Step, What, ZoneId};

/// No fact is longer.
pub const FACT_BYTES: usize = 160;

/// What a node saw of a zone: in the last window, or since the step that last changed the zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The zone's place in the settings' list.
    pub zone: u16,
    /// Set-ups sent.
    pub sent: u16,
    /// Answered.
    pub answered: u16,
    /// Not answered in time.
    pub silent: u16,
    /// Ended with their connection.
    pub reset: u16,
    /// Without a connection to go by.
    pub unreachable: u16,
    /// Turned away for want of room.
    pub refused: u16,
    /// Mean wait of those answered, in milliseconds.
    pub wait: u16,
    /// Worth of those sent, summed over all classes.
    pub worth: u32,
    /// Cost of those sent.
    pub cost: u32,
    /// The servers at which any failed: a bit for each by its place in the zone's list, folded at 16.
    pub failed: u16,
}

impl Seen {
    /// Set-ups that failed as they do when a zone fails.
    pub fn bad(&self) -> u32 {
        u32::from(self.silent) + u32::from(self.reset) + u32::from(self.unreachable)
    }

    /// Set-ups that got as far as a verdict. One refused for want of room shows a living server.
    pub fn settled(&self) -> u32 {
        self.bad() + self.alive()
    }

    pub(crate) fn alive(&self) -> u32 {
        u32::from(self.answered) + u32::from(self.refused)
    }

    fn count(&mut self, server: u16, what: What, waited: Micros, (worth, cost): (u32, u32)) {
        let more = |count: &mut u16| *count = count.saturating_add(1);
        match what {
            What::Sent => {
                more(&mut self.sent);
                self.worth = self.worth.saturating_add(worth);
                self.cost = self.cost.saturating_add(cost);
            }
            What::Answered => {
                let ms = waited.clamp(0, 60_000_000) / 1000;
                let total = i64::from(self.wait) * i64::from(self.answered) + ms;
                more(&mut self.answered);
                self.wait = (total / i64::from(self.answered)).min(60_000) as u16;
            }
            What::Silent => more(&mut self.silent),
            What::Reset => more(&mut self.reset),
            What::Unreachable => more(&mut self.unreachable),
            What::Refused => more(&mut self.refused),
        }
        if matches!(what, What::Silent | What::Reset | What::Unreachable) {
            self.failed |= 1 << (server % 16);
        }
    }

    fn add(&mut self, other: &Seen) {
        let answered = u32::from(self.answered) + u32::from(other.answered);
        if answered > 0 {
            let total = u64::from(self.wait) * u64::from(self.answered)
                + u64::from(other.wait) * u64::from(other.answered);
            self.wait = (total / u64::from(answered)) as u16;
        }
        self.sent = self.sent.saturating_add(other.sent);
        self.answered = self.answered.saturating_add(other.answered);
        self.silent = self.silent.saturating_add(other.silent);
        self.reset = self.reset.saturating_add(other.reset);
        self.unreachable = self.unreachable.saturating_add(other.unreachable);
        self.refused = self.refused.saturating_add(other.refused);
        self.worth = self.worth.saturating_add(other.worth);
        self.cost = self.cost.saturating_add(other.cost);
        self.failed |= other.failed;
    }
}

/// What a node publishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The step that holds at the node. It spreads with the facts.
    pub step: Step,
    /// How long the counts cover, in milliseconds.
    pub span: u16,
    /// What it saw, of each zone at which anything happened.
    pub seen: Vec<Seen>,
}

impl Fact {
    /// The fact as bytes, at most [`FACT_BYTES`] of them. Zones that don't fit are left out, those with least
    /// failures first: what is not said can only keep the fleet where it is.
    pub fn encode(mut self) -> Vec<u8> {
        self.seen
            .sort_by_key(|seen| (std::cmp::Reverse(seen.bad()), std::cmp::Reverse(seen.sent), seen.zone));
        loop {
            let bytes = postcard::to_allocvec(&self).unwrap_or_default();
            if bytes.len() <= FACT_BYTES || self.seen.pop().is_none() {
                return bytes;
            }
        }
    }

    /// The fact that bytes hold, if they hold one.
    pub fn decode(bytes: &[u8]) -> Option<Fact> {
        if bytes.len() > FACT_BYTES {
            return None;
        }
        postcard::from_bytes(bytes).ok()
    }

    pub(crate) fn of(&self, zone: ZoneId) -> Option<&Seen> {
        self.seen.iter().find(|seen| seen.zone == zone.0)
    }
}

/// What this node saw of one zone, in slices of a tick.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ring {
    slices: VecDeque<(Micros, Seen)>,
}

impl Ring {
    /// Counts an outcome in the slice that began at `start`.
    pub(crate) fn count(&mut self, start: Micros, server: u16, what: What, waited: Micros, pay: (u32, u32)) {
        match self.slices.back_mut() {
            Some((at, seen)) if *at >= start => seen.count(server, what, waited, pay),
            _ => {
                let mut seen = Seen::default();
                seen.count(server, what, waited, pay);
                self.slices.push_back((start, seen));
                // A zone under way keeps all since its step: old slices are joined, not dropped.
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

    pub(crate) fn forget_before(&mut self, moment: Micros) {
        while self.slices.front().is_some_and(|(at, _)| *at < moment) {
            self.slices.pop_front();
        }
    }

    pub(crate) fn clear(&mut self) {
        self.slices.clear();
    }

    pub(crate) fn sum(&self, zone: u16) -> Seen {
        let mut sum = Seen { zone, ..Seen::default() };
        for (_, seen) in &self.slices {
            sum.add(seen);
        }
        sum
    }
}

/// What a set of nodes saw of a zone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sum {
    pub sent: f64,
    pub alive: f64,
    pub bad: f64,
    pub refused: f64,
    pub answered: f64,
    pub wait: f64,
    pub worth: f64,
    pub cost: f64,
    pub failed: u16,
    /// Nodes at which any set-up failed, and nodes at which any got a verdict.
    pub witnesses: u32,
    pub judges: u32,
}

impl Sum {
    pub(crate) fn add(&mut self, seen: &Seen) {
        self.sent += f64::from(seen.sent);
        self.alive += f64::from(seen.alive());
        self.bad += f64::from(seen.bad());
        self.refused += f64::from(seen.refused);
        self.answered += f64::from(seen.answered);
        self.wait += f64::from(seen.wait) * f64::from(seen.answered);
        self.worth += f64::from(seen.worth);
        self.cost += f64::from(seen.cost);
        self.failed |= seen.failed;
        self.witnesses += u32::from(4 * seen.bad() >= seen.settled().max(1));
        self.judges += u32::from(seen.settled() > 0);
    }

    pub(crate) fn settled(&self) -> f64 {
        self.alive + self.bad
    }

    /// Share of the settled set-ups that found a living server; 1 where there is nothing to say.
    pub(crate) fn chance(&self) -> f64 {
        if self.settled() > 0.0 {
            self.alive / self.settled()
        } else {
            1.0
        }
    }

    /// Mean wait in milliseconds.
    pub(crate) fn mean_wait(&self) -> f64 {
        if self.answered > 0.0 {
            self.wait / self.answered
        } else {
            0.0
        }
    }
}
