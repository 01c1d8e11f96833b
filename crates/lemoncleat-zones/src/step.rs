//! The numbered step: a table of all zones that are not in their normal state.

use serde::{Deserialize, Serialize};

use crate::ZoneId;

/// Maximum number of zones in a step. Once it is full, no further zone is left.
pub const MAX_ENTRIES: usize = 6;

/// State of a zone between leaving and full return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The zone was left, entirely or as far as the other zones had capacity.
    Left,
    /// A few nodes send a few trial calls.
    Trial,
    /// The zone gets a share of its calls.
    Return,
    /// The zone gets all its calls again; only its relapses are still remembered.
    Restored,
}

/// The state of a zone that is not in its normal state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The zone.
    pub zone: ZoneId,
    /// The number of the step that last changed this entry.
    pub at: u64,
    /// The zone's phase.
    pub phase: Phase,
    /// Share of its normal calls that it gets, in thousandths.
    pub share: u16,
    /// Number of times it failed again after a share had returned.
    pub relapses: u8,
    /// Number of failed trials since it was left; during a return, 1 if the return was already reduced once.
    pub failed_tries: u8,
    /// Set-ups per second that it got before it was left.
    pub baseline_rate: u32,
    /// Their mean wait, in milliseconds.
    pub wait: u16,
}

/// The state that the fleet has agreed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Step number, one higher than that of the step it was derived from. The first is 1.
    pub number: u64,
    /// The node that proposed it.
    pub origin: u32,
    /// The zones that are not in their normal state, ordered by zone.
    pub entries: Vec<Entry>,
}

impl Step {
    /// Returns the entry of a zone; `None` if it is in its normal state.
    pub fn entry(&self, zone: ZoneId) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.zone == zone)
    }

    /// Whether this step replaces the other. Without a log, of two with the same number the one of the lower
    /// origin wins.
    pub(crate) fn supersedes(&self, other: &Step, log: bool) -> bool {
        self.number > other.number || (!log && self.number == other.number && self.origin < other.origin)
    }

    /// Whether this code could have produced the step under these settings.
    pub(crate) fn is_valid(&self, zones: u16) -> bool {
        self.entries.len() <= MAX_ENTRIES
            && self.entries.iter().all(|entry| entry.share <= 1000 && entry.zone.0 < zones)
            && self.entries.windows(2).all(|pair| pair[0].zone < pair[1].zone)
    }

    /// Returns a copy of the step with the zone's entry replaced by this one.
    pub(crate) fn with(&self, entry: Entry) -> Step {
        let mut step = self.without(entry.zone);
        step.entries.push(entry);
        step.entries.sort_by_key(|entry| entry.zone);
        step
    }

    /// Returns a copy of the step without an entry for the zone.
    pub(crate) fn without(&self, zone: ZoneId) -> Step {
        let entries = self.entries.iter().copied().filter(|entry| entry.zone != zone).collect();
        Step { entries, ..self.clone() }
    }

    /// Returns the members that make trial calls to a zone under this step, each with its number of set-ups.
    /// The result is the same at all nodes.
    pub(crate) fn trial_members(
        &self,
        zone: ZoneId,
        members: &std::collections::BTreeMap<u32, ZoneId>,
        trials: u32,
    ) -> Vec<(u32, u32)> {
        // A zone's own nodes may reach it when no other node does, so nodes of other zones make the trials,
        // if there are any.
        let number = self.entry(zone).map_or(self.number, |entry| entry.at);
        let mut order: Vec<(u64, u32, ZoneId)> = members
            .iter()
            .filter(|(_, home)| **home != zone)
            .map(|(member, home)| (mix(number, *member), *member, *home))
            .collect();
        if order.is_empty() {
            order = members.iter().map(|(member, home)| (mix(number, *member), *member, *home)).collect();
        }
        order.sort();
        // Takes the nodes in turn from each of their zones, so that the trials do not depend on the nodes of
        // a single zone.
        let mut taken: std::collections::BTreeMap<ZoneId, u32> = Default::default();
        let mut turns: Vec<(u32, usize, u32)> = Vec::new();
        for (index, (_, member, home)) in order.iter().enumerate() {
            let turn = taken.entry(*home).or_default();
            turns.push((*turn, index, *member));
            *turn += 1;
        }
        turns.sort();
        turns.truncate(trials as usize);
        let per_member = if turns.is_empty() { 0 } else { (trials / turns.len() as u32).max(1) };
        turns.into_iter().map(|(_, _, member)| (member, per_member)).collect()
    }
}

/// Hashes two numbers with the finalizer of SplitMix64: the same result at all nodes, and a different order
/// for each step.
pub(crate) fn mix(number: u64, member: u32) -> u64 {
    let mut x =
        number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(member).wrapping_mul(0xd1b5_4a32_d192_ed03);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
