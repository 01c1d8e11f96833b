//! Claims on the states of members, acceptance of their facts, and the comparison of both with another
//! member.

use std::collections::BTreeMap;

use lemoncleat_faults::point;
use rand::Rng;

use super::membership::MAX_FUTILE_SYNCS;
use super::update_store::VersionOrder;
use super::{Fleet, Kind, Notice, Output, MAX_FACT_BYTES, MAX_INCARNATION};
use crate::message::{append, Body, Key, Update, Version, WireIncarnation};
use crate::plant::{self, Plant};
use crate::{start_of, MemberId, Micros, State};

/// Maximum number of messages sent in answer to one comparison.
const MAX_REPAIR_MESSAGES: usize = 4;
/// Maximum size of a comparison in bytes, even where messages may be larger.
const MAX_DIGEST_BYTES: usize = 1_024;

impl Fleet {
    /// Applies a claim on the state of another member. The claim with the highest incarnation takes
    /// precedence, and of those the worst state: only the member itself can improve its state, with a higher
    /// incarnation.
    pub(super) fn apply_claim(
        &mut self,
        now: Micros,
        id: MemberId,
        state: State,
        incarnation: u64,
        source: MemberId,
        out: &mut Vec<Output>,
    ) -> bool {
        let accuser_gone = self.peers.get(&source).is_some_and(|peer| peer.state == State::Gone);
        let Some(peer) = self.peers.get_mut(&id) else { return false };
        let held = (peer.incarnation, peer.state);
        if state == State::Suspect && accuser_gone {
            // The accuser may be the one that can't receive.
            return false;
        }
        if (incarnation, state) == held && state == State::Suspect {
            self.add_accuser(id, source);
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
        let is_restart = start_of(incarnation) > start_of(peer.incarnation);
        (peer.incarnation, peer.state) = (incarnation, state);
        self.store.set_state(id, state, incarnation, source);
        self.suspicions.remove(&id);
        if state == State::Suspect {
            self.start_suspicion(now, id, source);
        }
        if is_restart {
            self.store.drop_facts_before(id, start_of(incarnation));
        }
        out.push(Output::State { member: id, state, incarnation });
        if held.1 == State::Gone && state != State::Gone {
            // The facts of a member that is back are valid again.
            let lifetime = self.timing.life;
            let facts = self.store.facts_of(now, id).into_iter().filter(|fact| fact.age <= lifetime);
            out.extend(facts.map(Output::Fact));
        }
        true
    }

    /// Applies a claim on this node itself. A suspicion is refuted. A claim with a higher incarnation, of a
    /// later start or of one in the same second, stems from an earlier process whose clock was ahead, and is
    /// jumped over.
    pub(super) fn apply_own_claim(&mut self, now: Micros, state: State, held: u64, out: &mut Vec<Output>) {
        if held > self.incarnation {
            self.jump_above(now, held, out);
        } else if held == self.incarnation && state != State::Alive && !plant::active(Plant::Silent) {
            point!(FLEET_REFUTE);
            self.stats.refuted += 1;
            self.incarnation += 1;
            self.store.set_state(self.own, State::Alive, self.incarnation, self.own);
            self.next_gossip = Some(now);
        }
    }

    fn jump_above(&mut self, now: Micros, above: u64, out: &mut Vec<Output>) {
        // Limited in rate: two processes with the same name would jump over each other without end.
        let soon = self.last_jump.is_some_and(|last| now - last < self.timing.round);
        if above > MAX_INCARNATION || soon {
            return;
        }
        self.last_jump = Some(now);
        self.stats.jumps += 1;
        self.incarnation = (u64::from(start_of(above)) + 1) << 32 | 1;
        self.store.set_incarnation(self.own, self.incarnation, &mut self.number);
        self.store.set_state(self.own, State::Alive, self.incarnation, self.own);
        self.next_gossip = Some(now);
        self.notice(now, Notice::IncarnationRaised, out);
    }

    /// Applies an update. Returns whether it changed anything.
    pub(super) fn apply_update(&mut self, now: Micros, update: Update<'_>, out: &mut Vec<Output>) -> bool {
        match update {
            Update::State { member, state, incarnation, source } => {
                let incarnation = u64::from(incarnation);
                if incarnation > MAX_INCARNATION {
                    self.stats.unreadable += 1;
                    false
                } else if member == self.own {
                    self.apply_own_claim(now, state, incarnation, out);
                    false
                } else if self.peers.contains_key(&member) {
                    self.apply_claim(now, member, state, incarnation, source, out)
                } else {
                    self.report_stranger(now, member, out);
                    false
                }
            }
            Update::Fact { origin, kind, incarnation, number, age_ms, bytes } => {
                let version = (incarnation.into(), number);
                let published_at = now - Micros::from(age_ms) * 1_000;
                self.apply_fact(now, origin, Kind(kind), version, published_at, bytes, out)
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of a fact")]
    fn apply_fact(
        &mut self,
        now: Micros,
        origin: MemberId,
        kind: Kind,
        version: Version,
        published_at: Micros,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> bool {
        if origin == self.own {
            self.check_own_fact(now, kind, version, bytes, out);
            return false;
        }
        let Some(peer) = self.peers.get(&origin) else {
            self.report_stranger(now, origin, out);
            return false;
        };
        if start_of(version.0) < start_of(peer.incarnation) {
            self.stats.stale += 1;
            return false;
        }
        let expired = now - published_at > self.timing.life;
        if expired
            || !matches!(self.store.compare_version(origin, kind, version, published_at), VersionOrder::Newer)
        {
            return false;
        }
        if bytes.len() > MAX_FACT_BYTES || !self.store.has_room(origin, kind) {
            self.stats.facts_dropped += 1;
            self.notice(now, Notice::FactDropped(origin), out);
            return false;
        }
        let gone = peer.state == State::Gone;
        point!(FLEET_FACT);
        self.store.set_fact(origin, kind, version, published_at, bytes.to_vec());
        if !gone {
            out.extend(self.store.fact(now, origin, kind).map(Output::Fact));
        }
        true
    }

    /// A fact under this node's name that it did not publish is of an earlier process.
    fn check_own_fact(
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
        let order = self.store.compare_version(self.own, kind, version, Micros::MAX);
        let foreign = match order {
            VersionOrder::Newer => (incarnation, number) > (self.incarnation, self.number),
            VersionOrder::Same => self.store.bytes_of(self.own, kind) != Some(bytes),
            VersionOrder::Older => false,
        };
        if foreign {
            self.jump_above(now, incarnation.max(self.incarnation), out);
        }
    }

    /// Sends one member a digest of a part of the key space, so that both sides can repair what gossip
    /// missed.
    pub(super) fn start_sync(&mut self, now: Micros, out: &mut Vec<Output>) {
        let random = self.random_members(1).first().copied();
        let flagged = self.next_sync_peer.take().filter(|id| self.can_reach(*id));
        let Some(to) = flagged.or(random) else { return };
        // Starts at a random key and wraps around the end of the key space, at most once around.
        let first = Key(MemberId(self.rng.random_range(1..=u32::MAX)), 0);
        let before = Key(MemberId(first.0 .0 - 1), u16::MAX);
        let mut size = self.header(to).len() + 40;
        let max_bytes = self.max_message.min(MAX_DIGEST_BYTES);
        let mut held = Vec::<(Key, WireIncarnation, u64)>::new();
        let mut last = before;
        for (key, (incarnation, number)) in self.store.entries(now, self.timing.life, (first, before)) {
            let entry = (key, WireIncarnation::from(incarnation), number);
            let mut bytes = Vec::new();
            append(&mut bytes, &entry);
            size += bytes.len();
            if size > max_bytes {
                last = held.last().map_or(first, |(key, ..)| *key);
                break;
            }
            held.push(entry);
        }
        self.send(now, to, Body::Digest(first, last, held, self.store.states()), out);
    }

    pub(super) fn handle_digest(
        &mut self,
        now: Micros,
        from: MemberId,
        (first, last): (Key, Key),
        held: &[(Key, WireIncarnation, u64)],
        states: u32,
        out: &mut Vec<Output>,
    ) {
        let same = states == self.store.states();
        let futile = self.peers.get_mut(&from).map(|peer| {
            peer.futile_syncs = if same { 0 } else { peer.futile_syncs.saturating_add(1) };
            peer.futile_syncs
        });
        let limit_reached = self.lists_differ && futile.is_none_or(|futile| futile > MAX_FUTILE_SYNCS);
        if !same && !limit_reached {
            // One side lacks something, perhaps in another part of the key space.
            self.next_sync = self.next_sync.min(now + 2 * self.timing.gossip);
            self.next_sync_peer = Some(from);
        }
        let theirs: BTreeMap<Key, Version> =
            held.iter().map(|(key, incarnation, number)| (*key, ((*incarnation).into(), *number))).collect();
        let mine: BTreeMap<Key, Version> = self.store.entries(now, self.timing.life, (first, last)).collect();
        let newer = |(key, version): (&Key, &Version), than: &BTreeMap<Key, Version>| {
            than.get(key).is_none_or(|other| other < version)
        };
        let missing_there: Vec<Key> =
            mine.iter().filter(|mine| newer(*mine, &theirs)).map(|(key, _)| *key).collect();
        self.send_missing(now, from, &missing_there, out);
        let missing_here = theirs.iter().filter(|theirs| newer(*theirs, &mine)).map(|(key, _)| *key);
        // A member's own facts come only from itself; nothing is kept of processes that are not members here.
        // The answer fits into a message, since keys are shorter than the digest entries they were taken
        // from.
        let accepted =
            |key: &Key| if key.0 == self.own { key.1 == 0 } else { self.peers.contains_key(&key.0) };
        let missing_here: Vec<Key> = missing_here.filter(accepted).collect();
        if !missing_here.is_empty() {
            self.send(now, from, Body::Fetch(missing_here), out);
        }
    }

    /// Sends the items that a member lacks, in a limited number of messages.
    pub(super) fn send_missing(&mut self, now: Micros, to: MemberId, keys: &[Key], out: &mut Vec<Output>) {
        let mut remaining = keys;
        for _ in 0..MAX_REPAIR_MESSAGES {
            if remaining.is_empty() || !self.can_reach(to) {
                return;
            }
            let mut bytes = self.header(to);
            append(&mut bytes, &Body::Repair);
            let added = self.store.add_items(now, self.timing.life, &mut bytes, self.max_message, remaining);
            remaining = remaining.get(added..).unwrap_or_default();
            self.emit(to, bytes, out);
        }
    }
}
