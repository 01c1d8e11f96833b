//! The news a node holds, and which of it is told next: what was told least often, of that the newest.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::{Fact, Kind, MOST_KINDS};
use crate::message::{append, Key, News, Version};
use crate::plant::{self, Plant};
use crate::{MemberId, Micros, State};

/// News that do not fit beside the rest before a message is taken for full.
const MOST_MISSES: usize = 4;

pub(super) enum Content {
    State {
        state: State,
        by: MemberId,
    },
    /// When the fact was set out, by this node's clock, at the latest.
    Fact {
        born: Micros,
        bytes: Vec<u8>,
    },
}

pub(super) struct Item {
    pub version: Version,
    pub content: Content,
    told: u32,
    stamp: u64,
}

pub(super) struct Spread {
    items: BTreeMap<Key, Item>,
    /// What is still to be told, in the order in which it is.
    hot: BTreeSet<(u32, Reverse<u64>, Key)>,
    /// How often one piece of news is told by each node.
    tellings: u32,
    stamp: u64,
    /// A digest of all states, in whatever order they came.
    states: u32,
}

/// Where a fact stands among what is held.
pub(super) enum Newness {
    /// There was none, or an older one.
    Newer,
    /// It is the one that is held.
    Same,
    Older,
}

impl Spread {
    /// Told as often as the logarithm of the members' number, and four times more, news misses a node once in
    /// some fifty times; the rest is the comparisons' work.
    pub fn new(members: usize) -> Spread {
        let tellings = tellings(members);
        Spread { items: BTreeMap::new(), hot: BTreeSet::new(), tellings, stamp: 0, states: 0 }
    }

    /// The number of members is another one.
    pub fn resize(&mut self, members: usize) {
        self.tellings = tellings(members);
    }

    /// Drops all that is held of a member.
    pub fn forget(&mut self, member: MemberId) {
        let state = Key(member, 0);
        if let Some(old) = self.items.get(&state) {
            self.states ^= digest(state, old.version);
        }
        self.remove(state);
        self.keys_of(member).collect::<Vec<_>>().into_iter().for_each(|key| self.remove(key));
    }

    pub fn is_hot(&self) -> bool {
        !self.hot.is_empty()
    }

    /// A digest of all states that are held.
    pub fn states(&self) -> u32 {
        self.states
    }

    fn set(&mut self, key: Key, version: Version, content: Content) {
        self.stamp += 1;
        if key.1 == 0 {
            let old = self.items.get(&key).map_or(0, |old| digest(key, old.version));
            self.states ^= old ^ digest(key, version);
        }
        let item = Item { version, content, told: 0, stamp: self.stamp };
        self.hot.insert((0, Reverse(item.stamp), key));
        if let Some(old) = self.items.insert(key, item) {
            self.hot.remove(&(old.told, Reverse(old.stamp), key));
        }
    }

    fn remove(&mut self, key: Key) {
        if let Some(old) = self.items.remove(&key) {
            self.hot.remove(&(old.told, Reverse(old.stamp), key));
        }
    }

    pub fn set_state(&mut self, member: MemberId, state: State, incarnation: u64, by: MemberId) {
        self.set(Key(member, 0), (incarnation, state as u64), Content::State { state, by });
    }

    pub fn set_fact(&mut self, origin: MemberId, kind: Kind, version: Version, born: Micros, bytes: Vec<u8>) {
        self.set(fact_key(origin, kind), version, Content::Fact { born, bytes });
    }

    /// Whether the origin has a fact of this kind, or may have one more.
    pub fn has_room(&self, origin: MemberId, kind: Kind) -> bool {
        self.items.contains_key(&fact_key(origin, kind)) || self.keys_of(origin).count() < MOST_KINDS
    }

    fn keys_of(&self, origin: MemberId) -> impl Iterator<Item = Key> + '_ {
        self.items.range(Key(origin, 1)..=Key(origin, u16::MAX)).map(|(key, _)| *key)
    }

    /// How a fact that was heard stands to the one that is held. An age only ever grows: of two reports of one
    /// fact the one by which it is older stands.
    pub fn weigh(&mut self, origin: MemberId, kind: Kind, version: Version, born: Micros) -> Newness {
        let Some(item) = self.items.get_mut(&fact_key(origin, kind)) else { return Newness::Newer };
        if version > item.version || plant::is(Plant::OlderFact) {
            return Newness::Newer;
        }
        if version < item.version {
            return Newness::Older;
        }
        if let Content::Fact { born: held, .. } = &mut item.content {
            *held = born.min(*held);
        }
        Newness::Same
    }

    /// The bytes of a fact that is held.
    pub fn bytes_of(&self, origin: MemberId, kind: Kind) -> Option<&[u8]> {
        match &self.items.get(&fact_key(origin, kind))?.content {
            Content::Fact { bytes, .. } => Some(bytes),
            Content::State { .. } => None,
        }
    }

    pub fn fact(&self, now: Micros, origin: MemberId, kind: Kind) -> Option<Fact> {
        let item = self.items.get(&fact_key(origin, kind))?;
        let Content::Fact { born, bytes } = &item.content else { return None };
        let (incarnation, number) = item.version;
        Some(Fact { origin, kind, incarnation, number, age: now - born, bytes: bytes.clone() })
    }

    pub fn facts_of(&self, now: Micros, origin: MemberId) -> Vec<Fact> {
        let kinds = self.keys_of(origin).map(|key| Kind((key.1 - 1) as u8));
        kinds.filter_map(|kind| self.fact(now, origin, kind)).collect()
    }

    /// Drops the facts of an origin from before this start of its.
    pub fn forget_before(&mut self, origin: MemberId, start: u32) {
        let old = |key: &Key| self.items.get(key).is_some_and(|item| crate::start_of(item.version.0) < start);
        let keys: Vec<Key> = self.keys_of(origin).filter(old).collect();
        keys.into_iter().for_each(|key| self.remove(key));
    }

    /// Gives the facts of an origin a new incarnation. They stay as old as they are.
    pub fn reincarnate(&mut self, origin: MemberId, incarnation: u64, number: &mut u64) {
        for key in self.keys_of(origin).collect::<Vec<_>>() {
            if let Some(Item { content, .. }) = self.items.get_mut(&key) {
                *number += 1;
                let content = std::mem::replace(content, Content::State { state: State::Alive, by: origin });
                self.set(key, (incarnation, *number), content);
            }
        }
    }

    /// Drops the facts that have long lived. One that has just lived is only hidden: a late report of it, by which
    /// it is younger, must find it known.
    pub fn bury(&mut self, now: Micros, life: Micros) {
        let dead = |item: &Item| matches!(item.content, Content::Fact { born, .. } if now - born > 2 * life);
        let keys: Vec<Key> = self.items.iter().filter(|(_, item)| dead(item)).map(|(key, _)| *key).collect();
        keys.into_iter().for_each(|key| self.remove(key));
    }

    /// Fills a message with what is to be told, and counts it as told.
    pub fn add_news(&mut self, now: Micros, life: Micros, bytes: &mut Vec<u8>, most: usize) {
        let (mut told, mut misses) = (Vec::new(), 0);
        for entry in &self.hot {
            let Some(item) = self.items.get(&entry.2) else { continue };
            if add(bytes, now, life, entry.2, item, most) {
                told.push(*entry);
            } else {
                misses += 1;
                if misses > MOST_MISSES {
                    break;
                }
            }
        }
        for entry in told {
            self.hot.remove(&entry);
            let (told, stamp, key) = (entry.0 + 1, entry.1, entry.2);
            if let Some(item) = self.items.get_mut(&key) {
                item.told = told;
            }
            if told < self.tellings {
                self.hot.insert((told, stamp, key));
            }
        }
    }

    /// Adds these to a message, until one doesn't fit; which were added.
    pub fn add_some(
        &self,
        now: Micros,
        life: Micros,
        bytes: &mut Vec<u8>,
        most: usize,
        keys: &[Key],
    ) -> usize {
        let fits =
            |key: &&Key| self.items.get(*key).is_none_or(|item| add(bytes, now, life, **key, item, most));
        keys.iter().take_while(fits).count()
    }

    /// What is held from the first key to the last, and round the end of all keys where the first is the greater;
    /// facts past their life left out.
    pub fn held(
        &self,
        now: Micros,
        life: Micros,
        (first, last): (Key, Key),
    ) -> impl Iterator<Item = (Key, Version)> + '_ {
        let lives =
            move |item: &Item| !matches!(item.content, Content::Fact { born, .. } if now - born > life);
        let (upper, lower) = if first <= last { (last, None) } else { (Key::LAST, Some(last)) };
        let lower = lower.map(|last| self.items.range(..=last)).into_iter().flatten();
        let range = self.items.range(first..=upper).chain(lower);
        range.filter(move |(_, item)| lives(item)).map(|(key, item)| (*key, item.version))
    }
}

fn tellings(members: usize) -> u32 {
    (members.max(2) as f64).ln().ceil() as u32 + 4
}

fn digest(key: Key, (incarnation, rank): Version) -> u32 {
    let words = [u64::from(key.0 .0), incarnation, rank];
    let mixed = words
        .iter()
        .fold(0u64, |mixed, word| (mixed.rotate_left(23) ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    (mixed >> 32) as u32
}

fn fact_key(origin: MemberId, kind: Kind) -> Key {
    Key(origin, u16::from(kind.0) + 1)
}

/// Adds a piece of news to a message, if it fits; one past its life counts as added.
fn add(bytes: &mut Vec<u8>, now: Micros, life: Micros, key: Key, item: &Item, most: usize) -> bool {
    let before = bytes.len();
    let (incarnation, number) = (item.version.0.into(), item.version.1);
    match &item.content {
        Content::State { state, by } => {
            append(bytes, &News::State { member: key.0, state: *state, incarnation, by: *by });
        }
        Content::Fact { born, .. } if now - born > life => return true,
        Content::Fact { born, bytes: fact } => {
            // Rounded up, so that it never grows younger on the way.
            let age = if plant::is(Plant::YoungAgain) { 0 } else { (now - born).max(0) };
            let age_ms = u32::try_from((age + 999) / 1_000).unwrap_or(u32::MAX);
            let (origin, kind) = (key.0, (key.1 - 1) as u8);
            append(bytes, &News::Fact { origin, kind, incarnation, number, age_ms, bytes: fact });
        }
    }
    let fits = bytes.len() <= most || plant::is(Plant::Overfull);
    if !fits {
        bytes.truncate(before);
    }
    fits
}
