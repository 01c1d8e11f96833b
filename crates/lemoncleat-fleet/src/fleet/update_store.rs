//! The items a node holds, and the order in which they are sent on: least often sent first, and of those the
//! newest.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::{Fact, Kind, MAX_KINDS};
use crate::message::{append, Key, Update, Version};
use crate::plant::{self, Plant};
use crate::{MemberId, Micros, State};

/// Number of updates that may be skipped because they do not fit, before a message is considered full.
const MAX_SKIPPED_UPDATES: usize = 4;

pub(super) enum Content {
    State {
        state: State,
        source: MemberId,
    },
    /// `published_at` is the latest possible time of publication, by the clock of this node.
    Fact {
        published_at: Micros,
        bytes: Vec<u8>,
    },
}

pub(super) struct Item {
    pub version: Version,
    pub content: Content,
    transmissions: u32,
    stamp: u64,
}

pub(super) struct UpdateStore {
    items: BTreeMap<Key, Item>,
    /// Items still to be sent, in sending order: by the number of transmissions, then newest first.
    pending: BTreeSet<(u32, Reverse<u64>, Key)>,
    /// How often each node sends an update.
    transmit_limit: u32,
    stamp: u64,
    /// A digest of all states, independent of the order in which they arrived.
    states: u32,
}

/// How the version of a received fact relates to the held one.
pub(super) enum VersionOrder {
    /// No fact or an older one is held.
    Newer,
    /// This version is held.
    Same,
    Older,
}

impl UpdateStore {
    /// Each update is sent ln(members) + 4 times. At that number an update misses about one node in fifty;
    /// comparisons repair the rest.
    pub fn new(members: usize) -> UpdateStore {
        let transmit_limit = transmit_limit(members);
        UpdateStore { items: BTreeMap::new(), pending: BTreeSet::new(), transmit_limit, stamp: 0, states: 0 }
    }

    /// Adapts to a changed number of members.
    pub fn resize(&mut self, members: usize) {
        self.transmit_limit = transmit_limit(members);
    }

    /// Drops everything that is held of a member.
    pub fn forget(&mut self, member: MemberId) {
        let state = Key(member, 0);
        if let Some(old) = self.items.get(&state) {
            self.states ^= digest(state, old.version);
        }
        self.remove(state);
        self.keys_of(member).collect::<Vec<_>>().into_iter().for_each(|key| self.remove(key));
    }

    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns a digest of all states that are held.
    pub fn states(&self) -> u32 {
        self.states
    }

    fn set(&mut self, key: Key, version: Version, content: Content) {
        self.stamp += 1;
        if key.1 == 0 {
            let old = self.items.get(&key).map_or(0, |old| digest(key, old.version));
            self.states ^= old ^ digest(key, version);
        }
        let item = Item { version, content, transmissions: 0, stamp: self.stamp };
        self.pending.insert((0, Reverse(item.stamp), key));
        if let Some(old) = self.items.insert(key, item) {
            self.pending.remove(&(old.transmissions, Reverse(old.stamp), key));
        }
    }

    fn remove(&mut self, key: Key) {
        if let Some(old) = self.items.remove(&key) {
            self.pending.remove(&(old.transmissions, Reverse(old.stamp), key));
        }
    }

    pub fn set_state(&mut self, member: MemberId, state: State, incarnation: u64, source: MemberId) {
        self.set(Key(member, 0), (incarnation, state as u64), Content::State { state, source });
    }

    pub fn set_fact(
        &mut self,
        origin: MemberId,
        kind: Kind,
        version: Version,
        published_at: Micros,
        bytes: Vec<u8>,
    ) {
        self.set(fact_key(origin, kind), version, Content::Fact { published_at, bytes });
    }

    /// Returns whether the origin has a fact of this kind, or may have one more.
    pub fn has_room(&self, origin: MemberId, kind: Kind) -> bool {
        self.items.contains_key(&fact_key(origin, kind)) || self.keys_of(origin).count() < MAX_KINDS
    }

    fn keys_of(&self, origin: MemberId) -> impl Iterator<Item = Key> + '_ {
        self.items.range(Key(origin, 1)..=Key(origin, u16::MAX)).map(|(key, _)| *key)
    }

    /// Compares a received fact with the held one. An age only ever grows: of two reports of one version, the
    /// one with the greater age is kept.
    pub fn compare_version(
        &mut self,
        origin: MemberId,
        kind: Kind,
        version: Version,
        published_at: Micros,
    ) -> VersionOrder {
        let Some(item) = self.items.get_mut(&fact_key(origin, kind)) else { return VersionOrder::Newer };
        if version > item.version || plant::active(Plant::OlderFact) {
            return VersionOrder::Newer;
        }
        if version < item.version {
            return VersionOrder::Older;
        }
        if let Content::Fact { published_at: held, .. } = &mut item.content {
            *held = published_at.min(*held);
        }
        VersionOrder::Same
    }

    /// Returns the bytes of a held fact.
    pub fn bytes_of(&self, origin: MemberId, kind: Kind) -> Option<&[u8]> {
        match &self.items.get(&fact_key(origin, kind))?.content {
            Content::Fact { bytes, .. } => Some(bytes),
            Content::State { .. } => None,
        }
    }

    pub fn fact(&self, now: Micros, origin: MemberId, kind: Kind) -> Option<Fact> {
        let item = self.items.get(&fact_key(origin, kind))?;
        let Content::Fact { published_at, bytes } = &item.content else { return None };
        let (incarnation, number) = item.version;
        Some(Fact { origin, kind, incarnation, number, age: now - published_at, bytes: bytes.clone() })
    }

    pub fn facts_of(&self, now: Micros, origin: MemberId) -> Vec<Fact> {
        let kinds = self.keys_of(origin).map(|key| Kind((key.1 - 1) as u8));
        kinds.filter_map(|kind| self.fact(now, origin, kind)).collect()
    }

    /// Drops the facts that an origin published before this start.
    pub fn drop_facts_before(&mut self, origin: MemberId, start: u32) {
        let old = |key: &Key| self.items.get(key).is_some_and(|item| crate::start_of(item.version.0) < start);
        let keys: Vec<Key> = self.keys_of(origin).filter(old).collect();
        keys.into_iter().for_each(|key| self.remove(key));
    }

    /// Gives the facts of an origin a new incarnation. Their ages are unchanged.
    pub fn set_incarnation(&mut self, origin: MemberId, incarnation: u64, number: &mut u64) {
        for key in self.keys_of(origin).collect::<Vec<_>>() {
            if let Some(Item { content, .. }) = self.items.get_mut(&key) {
                *number += 1;
                let content =
                    std::mem::replace(content, Content::State { state: State::Alive, source: origin });
                self.set(key, (incarnation, *number), content);
            }
        }
    }

    /// Drops facts that expired more than one lifetime ago. Facts that expired later are kept but hidden: a
    /// late report of such a fact, by which it seems younger, must find the version known.
    pub fn drop_expired(&mut self, now: Micros, lifetime: Micros) {
        let long_expired = |item: &Item| {
            matches!(
                item.content,
                Content::Fact { published_at, .. } if now - published_at > 2 * lifetime
            )
        };
        let keys: Vec<Key> =
            self.items.iter().filter(|(_, item)| long_expired(item)).map(|(key, _)| *key).collect();
        keys.into_iter().for_each(|key| self.remove(key));
    }

    /// Fills a message with pending updates, and counts each as sent.
    pub fn add_pending(&mut self, now: Micros, lifetime: Micros, bytes: &mut Vec<u8>, max_bytes: usize) {
        let (mut sent, mut skipped) = (Vec::new(), 0);
        for entry in &self.pending {
            let Some(item) = self.items.get(&entry.2) else { continue };
            if add(bytes, now, lifetime, entry.2, item, max_bytes) {
                sent.push(*entry);
            } else {
                skipped += 1;
                if skipped > MAX_SKIPPED_UPDATES {
                    break;
                }
            }
        }
        for entry in sent {
            self.pending.remove(&entry);
            let (transmissions, stamp, key) = (entry.0 + 1, entry.1, entry.2);
            if let Some(item) = self.items.get_mut(&key) {
                item.transmissions = transmissions;
            }
            if transmissions < self.transmit_limit {
                self.pending.insert((transmissions, stamp, key));
            }
        }
    }

    /// Adds these items to a message until one does not fit. Returns how many were added.
    pub fn add_items(
        &self,
        now: Micros,
        lifetime: Micros,
        bytes: &mut Vec<u8>,
        max_bytes: usize,
        keys: &[Key],
    ) -> usize {
        let fits = |key: &&Key| {
            self.items.get(*key).is_none_or(|item| add(bytes, now, lifetime, **key, item, max_bytes))
        };
        keys.iter().take_while(fits).count()
    }

    /// Returns the items from the first key to the last, wrapping around the end of the key space if the
    /// first is the greater; expired facts are left out.
    pub fn entries(
        &self,
        now: Micros,
        lifetime: Micros,
        (first, last): (Key, Key),
    ) -> impl Iterator<Item = (Key, Version)> + '_ {
        let is_valid = move |item: &Item| {
            !matches!(
                item.content,
                Content::Fact { published_at, .. } if now - published_at > lifetime
            )
        };
        let (upper, lower) = if first <= last { (last, None) } else { (Key::LAST, Some(last)) };
        let lower = lower.map(|last| self.items.range(..=last)).into_iter().flatten();
        let range = self.items.range(first..=upper).chain(lower);
        range.filter(move |(_, item)| is_valid(item)).map(|(key, item)| (*key, item.version))
    }
}

fn transmit_limit(members: usize) -> u32 {
    (members.max(2) as f64).ln().ceil() as u32 + 4
}

fn digest(key: Key, (incarnation, rank): Version) -> u32 {
    let fields = [u64::from(key.0 .0), incarnation, rank];
    let mixed = fields
        .iter()
        .fold(0u64, |mixed, field| (mixed.rotate_left(23) ^ field).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    (mixed >> 32) as u32
}

fn fact_key(origin: MemberId, kind: Kind) -> Key {
    Key(origin, u16::from(kind.0) + 1)
}

/// Adds an item to a message if it fits; an expired fact counts as added.
fn add(bytes: &mut Vec<u8>, now: Micros, lifetime: Micros, key: Key, item: &Item, max_bytes: usize) -> bool {
    let before = bytes.len();
    let (incarnation, number) = (item.version.0.into(), item.version.1);
    match &item.content {
        Content::State { state, source } => {
            append(bytes, &Update::State { member: key.0, state: *state, incarnation, source: *source });
        }
        Content::Fact { published_at, .. } if now - published_at > lifetime => return true,
        Content::Fact { published_at, bytes: fact } => {
            // Rounded up, so that the age never shrinks on the way.
            let age = if plant::active(Plant::YoungAgain) { 0 } else { (now - published_at).max(0) };
            let age_ms = u32::try_from((age + 999) / 1_000).unwrap_or(u32::MAX);
            let (origin, kind) = (key.0, (key.1 - 1) as u8);
            append(bytes, &Update::Fact { origin, kind, incarnation, number, age_ms, bytes: fact });
        }
    }
    let fits = bytes.len() <= max_bytes || plant::active(Plant::IgnoresMessageLimit);
    if !fits {
        bytes.truncate(before);
    }
    fits
}
