//! The numbered step: the table of all zones that are not as usual.

use serde::{Deserialize, Serialize};

use crate::ZoneId;

/// Zones that a step can hold. If more are in trouble, nothing further is left.
pub const MOST_ENTRIES: usize = 6;

/// How far a zone is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It was left, wholly or as far as the others had room.
    Left,
    /// Few nodes try few calls.
    Trial,
    /// It gets a share.
    Return,
    /// It gets all its calls again; only its relapses are remembered.
    Whole,
}

/// A zone that is not as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The zone.
    pub zone: ZoneId,
    /// The number of the step that last changed this entry.
    pub at: u64,
    /// How far it is.
    pub phase: Phase,
    /// Thousandths of its usual calls that it gets.
    pub share: u16,
    /// How often it failed again after a share had returned.
    pub relapses: u8,
    /// How often trials failed since it was left; in a return, whether that went back a step already.
    pub tries: u8,
    /// Set-ups a second that it got before it was left.
    pub usual: u32,
    /// Their mean wait, in milliseconds.
    pub wait: u16,
}

/// What the fleet does together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Each has a higher number than the one that it was made from, by one. The first is 1.
    pub number: u64,
    /// Who put it to the fleet.
    pub origin: u32,
    /// The zones that are not as usual, by zone.
    pub entries: Vec<Entry>,
}

impl Step {
    /// The entry of a zone, if it is not as usual.
    pub fn entry(&self, zone: ZoneId) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.zone == zone)
    }

    /// Whether this holds and the other does not, where there is no log.
    pub(crate) fn beats(&self, other: &Step, log: bool) -> bool {
        self.number > other.number || (!log && self.number == other.number && self.origin < other.origin)
    }

    /// Whether it can have been made by this code under these settings.
    pub(crate) fn sound(&self, zones: u16) -> bool {
        self.entries.len() <= MOST_ENTRIES
            && self.entries.iter().all(|entry| entry.share <= 1000 && entry.zone.0 < zones)
            && self.entries.windows(2).all(|pair| pair[0].zone < pair[1].zone)
    }

    /// The step after this one, with one entry set in place of the zone's last.
    pub(crate) fn with(&self, entry: Entry) -> Step {
        let mut step = self.without(entry.zone);
        step.entries.push(entry);
        step.entries.sort_by_key(|entry| entry.zone);
        step
    }

    /// The same with the zone as usual again.
    pub(crate) fn without(&self, zone: ZoneId) -> Step {
        let entries = self.entries.iter().copied().filter(|entry| entry.zone != zone).collect();
        Step { entries, ..self.clone() }
    }

    /// The members that try a zone under this step, each with how many set-ups. The same at all nodes.
    pub(crate) fn triers(
        &self,
        zone: ZoneId,
        members: &std::collections::BTreeMap<u32, ZoneId>,
        trials: u32,
    ) -> Vec<(u32, u32)> {
        // A zone's own nodes may be well with it while nobody else is: others try, if there are any.
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
        // In turn from each of their zones, so that no one zone's nodes are all.
        let mut taken: std::collections::BTreeMap<ZoneId, u32> = Default::default();
        let mut turns: Vec<(u32, usize, u32)> = Vec::new();
        for (place, (_, member, home)) in order.iter().enumerate() {
            let turn = taken.entry(*home).or_default();
            turns.push((*turn, place, *member));
            *turn += 1;
        }
        turns.sort();
        turns.truncate(trials as usize);
        let each = if turns.is_empty() { 0 } else { (trials / turns.len() as u32).max(1) };
        turns.into_iter().map(|(_, _, member)| (member, each)).collect()
    }
}

/// Scatters two numbers (the finisher of SplitMix64): the same everywhere, and no two steps choose alike.
pub(crate) fn mix(number: u64, member: u32) -> u64 {
    let mut x =
        number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(member).wrapping_mul(0xd1b5_4a32_d192_ed03);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
