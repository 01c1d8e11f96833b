//! What is believed of the members and taken of their facts, and the comparison of all that with another member.

use std::collections::BTreeMap;

use lemoncleat_faults::point;
use rand::Rng;

use super::membership::MOST_FUTILE;
use super::spread::Newness;
use super::{Fleet, Kind, Notice, Output, MOST_FACT_BYTES, MOST_INCARNATION};
use crate::message::{append, Body, Key, Life, News, Version};
use crate::plant::{self, Plant};
use crate::{start_of, MemberId, Micros, State};

/// Most messages in answer to one comparison.
const MOST_FILLS: usize = 4;
/// Most bytes of a comparison, also where messages may be longer.
const MOST_DIGEST: usize = 1_024;

impl Fleet {
    /// A claim on another member's state. Of all claims the one with the highest incarnation stands, of those
    /// the worst: only the member itself can better it, by a higher incarnation.
    pub(super) fn claim(
        &mut self,
        now: Micros,
        id: MemberId,
        state: State,
        incarnation: u64,
        by: MemberId,
        out: &mut Vec<Output>,
    ) -> bool {
        let accuser_gone = self.peers.get(&by).is_some_and(|peer| peer.state == State::Gone);
        let Some(peer) = self.peers.get_mut(&id) else { return false };
        let held = (peer.incarnation, peer.state);
        if state == State::Suspect && accuser_gone {
            // It may be the one that can't hear.
            return false;
        }
        if (incarnation, state) == held && state == State::Suspect {
            self.accuse(id, by);
            return false;
        }
        if (incarnation, state) <= held {
            return false;
        }
        match state {
            State::Alive => point!(FLEET_ALIVE),
            State::Suspect => point!(FLEET_SUSPECT),
            State::Gone => point!(FLEET_GONE),
        }
        let restarted = start_of(incarnation) > start_of(peer.incarnation);
        (peer.incarnation, peer.state) = (incarnation, state);
        self.spread.set_state(id, state, incarnation, by);
        self.suspicions.remove(&id);
        if state == State::Suspect {
            self.suspect(now, id, by);
        }
        if restarted {
            self.spread.forget_before(id, start_of(incarnation));
        }
        out.push(Output::State { member: id, state, incarnation });
        if held.1 == State::Gone && state != State::Gone {
            // What it had set out counts again.
            let life = self.timing.life;
            let facts = self.spread.facts_of(now, id).into_iter().filter(|fact| fact.age <= life);
            out.extend(facts.map(Output::Fact));
        }
        true
    }

    /// A claim on this node itself. A suspicion is refuted; what is of a later start, or of one of the same second,
    /// is of an earlier process whose clock was ahead, and is jumped over.
    pub(super) fn claim_of_own(&mut self, now: Micros, state: State, held: u64, out: &mut Vec<Output>) {
        if held > self.incarnation {
            self.jump(now, held, out);
        } else if held == self.incarnation && state != State::Alive && !plant::is(Plant::Silent) {
            point!(FLEET_REFUTE);
            self.stats.refuted += 1;
            self.incarnation += 1;
            self.spread.set_state(self.own, State::Alive, self.incarnation, self.own);
            self.next_gossip = Some(now);
        }
    }

    fn jump(&mut self, now: Micros, over: u64, out: &mut Vec<Output>) {
        // Two processes of one name would jump over each other without end.
        let soon = self.jumped.is_some_and(|last| now - last < self.timing.round);
        if over > MOST_INCARNATION || soon {
            return;
        }
        self.jumped = Some(now);
        self.stats.jumps += 1;
        self.incarnation = (u64::from(start_of(over)) + 1) << 32 | 1;
        self.spread.reincarnate(self.own, self.incarnation, &mut self.number);
        self.spread.set_state(self.own, State::Alive, self.incarnation, self.own);
        self.next_gossip = Some(now);
        self.notice(now, Notice::Jumped, out);
    }

    /// A piece of news; whether it was one.
    pub(super) fn take(&mut self, now: Micros, news: News<'_>, out: &mut Vec<Output>) -> bool {
        match news {
            News::State { member, state, incarnation, by } => {
                let incarnation = u64::from(incarnation);
                if incarnation > MOST_INCARNATION {
                    self.stats.unreadable += 1;
                    false
                } else if member == self.own {
                    self.claim_of_own(now, state, incarnation, out);
                    false
                } else if self.peers.contains_key(&member) {
                    self.claim(now, member, state, incarnation, by, out)
                } else {
                    self.stranger(now, member, out);
                    false
                }
            }
            News::Fact { origin, kind, incarnation, number, age_ms, bytes } => {
                let version = (incarnation.into(), number);
                let born = now - Micros::from(age_ms) * 1_000;
                self.take_fact(now, origin, Kind(kind), version, born, bytes, out)
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of a fact")]
    fn take_fact(
        &mut self,
        now: Micros,
        origin: MemberId,
        kind: Kind,
        version: Version,
        born: Micros,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> bool {
        if origin == self.own {
            self.hear_of_own(now, kind, version, bytes, out);
            return false;
        }
        let Some(peer) = self.peers.get(&origin) else {
            self.stranger(now, origin, out);
            return false;
        };
        if start_of(version.0) < start_of(peer.incarnation) {
            self.stats.stale += 1;
            return false;
        }
        let too_old = now - born > self.timing.life;
        if too_old || !matches!(self.spread.weigh(origin, kind, version, born), Newness::Newer) {
            return false;
        }
        if bytes.len() > MOST_FACT_BYTES || !self.spread.has_room(origin, kind) {
            self.stats.facts_dropped += 1;
            self.notice(now, Notice::FactDropped(origin), out);
            return false;
        }
        let gone = peer.state == State::Gone;
        point!(FLEET_FACT);
        self.spread.set_fact(origin, kind, version, born, bytes.to_vec());
        if !gone {
            out.extend(self.spread.fact(now, origin, kind).map(Output::Fact));
        }
        true
    }

    /// A fact that bears this node's name and that it did not set out is of an earlier process.
    fn hear_of_own(
        &mut self,
        now: Micros,
        kind: Kind,
        version: Version,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        let (incarnation, number) = version;
        if start_of(incarnation) < start_of(self.incarnation) {
            return;
        }
        let newness = self.spread.weigh(self.own, kind, version, Micros::MAX);
        let others = match newness {
            Newness::Newer => (incarnation, number) > (self.incarnation, self.number),
            Newness::Same => self.spread.bytes_of(self.own, kind) != Some(bytes),
            Newness::Older => false,
        };
        if others {
            self.jump(now, incarnation.max(self.incarnation), out);
        }
    }

    /// Tells one member what is held in a part of all keys, so that both can mend what gossip missed.
    pub(super) fn compare(&mut self, now: Micros, out: &mut Vec<Output>) {
        let drawn = self.some_members(1).first().copied();
        let differs = self.sync_with.take().filter(|id| self.reaches(*id));
        let Some(to) = differs.or(drawn) else { return };
        // From a place that is drawn, round the end of all keys, and no further than to itself.
        let first = Key(MemberId(self.rng.random_range(1..=u32::MAX)), 0);
        let before = Key(MemberId(first.0 .0 - 1), u16::MAX);
        let mut size = self.header(to).len() + 40;
        let most = self.max_message.min(MOST_DIGEST);
        let mut held = Vec::<(Key, Life, u64)>::new();
        let mut last = before;
        for (key, (incarnation, number)) in self.spread.held(now, self.timing.life, (first, before)) {
            let entry = (key, Life::from(incarnation), number);
            let mut bytes = Vec::new();
            append(&mut bytes, &entry);
            size += bytes.len();
            if size > most {
                last = held.last().map_or(first, |(key, ..)| *key);
                break;
            }
            held.push(entry);
        }
        self.tell(now, to, Body::Digest(first, last, held, self.spread.states()), out);
    }

    pub(super) fn compared(
        &mut self,
        now: Micros,
        from: MemberId,
        (first, last): (Key, Key),
        held: &[(Key, Life, u64)],
        states: u32,
        out: &mut Vec<Output>,
    ) {
        let same = states == self.spread.states();
        let futile = self.peers.get_mut(&from).map(|peer| {
            peer.futile = if same { 0 } else { peer.futile.saturating_add(1) };
            peer.futile
        });
        let in_vain = self.lists_differ && futile.is_none_or(|futile| futile > MOST_FUTILE);
        if !same && !in_vain {
            // One of the two lacks something, perhaps in another part.
            self.next_sync = self.next_sync.min(now + 2 * self.timing.gossip);
            self.sync_with = Some(from);
        }
        let theirs: BTreeMap<Key, Version> =
            held.iter().map(|(key, incarnation, number)| (*key, ((*incarnation).into(), *number))).collect();
        let mine: BTreeMap<Key, Version> = self.spread.held(now, self.timing.life, (first, last)).collect();
        let newer = |(key, version): (&Key, &Version), than: &BTreeMap<Key, Version>| {
            than.get(key).is_none_or(|other| other < version)
        };
        let lacks: Vec<Key> = mine.iter().filter(|mine| newer(*mine, &theirs)).map(|(key, _)| *key).collect();
        self.fill(now, from, &lacks, out);
        let wants = theirs.iter().filter(|theirs| newer(*theirs, &mine)).map(|(key, _)| *key);
        // A member's own facts come from itself; nothing is kept of who is no member here; and keys are shorter than
        // what they were read from.
        let held_here =
            |key: &Key| if key.0 == self.own { key.1 == 0 } else { self.peers.contains_key(&key.0) };
        let wants: Vec<Key> = wants.filter(held_here).collect();
        if !wants.is_empty() {
            self.tell(now, from, Body::Want(wants), out);
        }
    }

    /// Sends what a member lacks, in a few messages at most.
    pub(super) fn fill(&mut self, now: Micros, to: MemberId, keys: &[Key], out: &mut Vec<Output>) {
        let mut rest = keys;
        for _ in 0..MOST_FILLS {
            if rest.is_empty() || !self.reaches(to) {
                return;
            }
            let mut bytes = self.header(to);
            append(&mut bytes, &Body::Filled);
            let added = self.spread.add_some(now, self.timing.life, &mut bytes, self.max_message, rest);
            rest = rest.get(added..).unwrap_or_default();
            self.give_out(to, bytes, out);
        }
    }
}
