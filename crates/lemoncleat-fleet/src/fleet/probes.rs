//! Probes, suspicions, and the selection of gossip targets.

use std::collections::BTreeSet;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::Rng;

use super::{Fleet, Output};
use crate::message::Body;
use crate::{MemberId, Micros, State, Transport};

/// How many members are asked to probe on behalf of this node.
const INDIRECT_PROBES: usize = 3;
/// How many members receive each gossip message.
const GOSSIP_FANOUT: usize = 3;
/// Maximum number of concurrent probes, separately for own ones and for those on behalf of others.
const MAX_PROBES: usize = 32;
/// Number of accusers from which on a suspicion is not shortened further.
const CONFIRMING_ACCUSERS: usize = 3;
/// How many times longer a suspicion by a single node lasts than one confirmed by several.
const SOLE_ACCUSER_FACTOR: Micros = 3;
/// Limit of the factor by which a node stretches its probes when it seems to be the cause of their failure
/// itself.
const MAX_LOCAL_HEALTH: u32 = 7;

pub(super) struct Probe {
    pub target: MemberId,
    pub due: Micros,
    /// Other members have been asked to probe.
    indirect: bool,
}

/// A probe on behalf of another member.
pub(super) struct Relay {
    asker: MemberId,
    /// The asker's sequence number for the probe.
    sequence: u32,
    target: MemberId,
    pub until: Micros,
}

impl Relay {
    /// Returns whether one of these members asked for the probe, or is its target.
    pub fn concerns(&self, members: &BTreeSet<MemberId>) -> bool {
        members.contains(&self.asker) || members.contains(&self.target)
    }
}

pub(super) struct Suspicion {
    started_at: Micros,
    pub due: Micros,
    accusers: Vec<MemberId>,
}

impl Fleet {
    fn timeout_factor(&self) -> Micros {
        Micros::from(1 + self.local_health)
    }

    /// Returns the members that messages can be sent to and that are not held to be gone.
    fn reachable_members(&self) -> Vec<MemberId> {
        let peers = self.peers.iter().filter(|(_, peer)| {
            peer.state != State::Gone && (self.carrier == Transport::Notes || peer.linked)
        });
        peers.map(|(id, _)| *id).collect()
    }

    /// Returns some of the reachable members, chosen at random.
    pub(super) fn random_members(&mut self, count: usize) -> Vec<MemberId> {
        let mut all = self.reachable_members();
        all.partial_shuffle(&mut self.rng, count).0.to_vec()
    }

    pub(super) fn send_gossip(&mut self, now: Micros, out: &mut Vec<Output>) {
        for to in self.random_members(GOSSIP_FANOUT) {
            if self.store.has_pending() {
                self.send(now, to, Body::Updates, out);
            }
        }
    }

    /// Probes the next member: all reachable ones in an order that is shuffled for each pass, so that each is
    /// probed once per pass. A member that this node itself accused is probed in addition, so that it learns
    /// of the suspicion and can refute it.
    pub(super) fn probe_next(&mut self, now: Micros, out: &mut Vec<Output>) {
        let accused = |(_, suspicion): &(&MemberId, &Suspicion)| suspicion.accusers.contains(&self.own);
        let suspects: Vec<MemberId> = self.suspicions.iter().filter(accused).map(|(id, _)| *id).collect();
        if let Some(suspect) = suspects.choose(&mut self.rng) {
            self.probe(now, *suspect, out);
        }
        for reshuffle in [false, true] {
            if reshuffle {
                self.probe_order = self.reachable_members();
                self.probe_order.shuffle(&mut self.rng);
            }
            while let Some(target) = self.probe_order.pop() {
                let fits = self.peers.get(&target).is_some_and(|peer| peer.state != State::Gone);
                if fits && self.can_reach(target) {
                    return self.probe(now, target, out);
                }
            }
        }
    }

    /// Probes a member directly, or through others if it is not reachable.
    pub(super) fn probe(&mut self, now: Micros, target: MemberId, out: &mut Vec<Output>) {
        let in_progress = self.probes.values().any(|probe| probe.target == target);
        if in_progress || self.probes.len() >= MAX_PROBES {
            return;
        }
        self.stats.probes += 1;
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        let direct = self.can_reach(target);
        let due = now + if direct { self.timing.answer * self.timeout_factor() } else { 0 };
        self.probes.insert(sequence, Probe { target, due, indirect: false });
        self.send(now, target, Body::Ping(sequence), out);
    }

    pub(super) fn expire_probes(&mut self, now: Micros, out: &mut Vec<Output>) {
        let due: Vec<u32> =
            self.probes.iter().filter(|(_, probe)| probe.due <= now).map(|(sequence, _)| *sequence).collect();
        for sequence in due {
            let remaining =
                (self.timing.round - self.timing.answer).max(self.timing.answer) * self.timeout_factor();
            let Some(probe) = self.probes.get_mut(&sequence) else { continue };
            let target = probe.target;
            if probe.indirect {
                self.probes.remove(&sequence);
                self.probe_failed(now, target, out);
                continue;
            }
            (probe.indirect, probe.due) = (true, now + remaining);
            let mut helpers = self.random_members(INDIRECT_PROBES + 1);
            helpers.retain(|helper| *helper != target);
            for helper in helpers.into_iter().take(INDIRECT_PROBES) {
                self.send(now, helper, Body::PingRequest(sequence, target), out);
            }
            // The first ping may just have been lost.
            self.send(now, target, Body::Ping(sequence), out);
        }
    }

    fn probe_failed(&mut self, now: Micros, target: MemberId, out: &mut Vec<Output>) {
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
        let Some(peer) = self.peers.get(&target) else { return };
        if peer.state == State::Gone {
            return;
        }
        let incarnation = peer.incarnation;
        self.stats.suspicions += 1;
        self.apply_claim(now, target, State::Suspect, incarnation, self.own, out);
    }

    pub(super) fn handle_ack(&mut self, now: Micros, from: MemberId, sequence: u32, out: &mut Vec<Output>) {
        if let Some(relay) = self.relays.get(&sequence).filter(|relay| relay.target == from) {
            let (asker, asker_sequence) = (relay.asker, relay.sequence);
            self.relays.remove(&sequence);
            self.send(now, asker, Body::RelayedAck(asker_sequence), out);
        } else if self.probes.get(&sequence).is_some_and(|probe| probe.target == from) {
            self.probe_succeeded(sequence);
        }
    }

    pub(super) fn probe_succeeded(&mut self, sequence: u32) {
        if self.probes.remove(&sequence).is_some() {
            self.local_health = self.local_health.saturating_sub(1);
        }
    }

    /// Handles a request to probe a member on behalf of another.
    pub(super) fn handle_ping_request(
        &mut self,
        now: Micros,
        asker: MemberId,
        sequence: u32,
        target: MemberId,
        out: &mut Vec<Output>,
    ) {
        if self.relays.len() >= MAX_PROBES || !self.peers.contains_key(&target) {
            return;
        }
        self.sequence = self.sequence.wrapping_add(1);
        let own = self.sequence;
        let until = now + self.timing.meet;
        self.relays.insert(own, Relay { asker, sequence, target, until });
        if self.can_reach(target) {
            self.send(now, target, Body::Ping(own), out);
        } else {
            self.connect_temporarily(now, target, out);
        }
    }

    /// Sends the probes on behalf of others that were waiting for a connection.
    pub(super) fn send_relayed_pings(&mut self, now: Micros, target: MemberId, out: &mut Vec<Output>) {
        let due: Vec<u32> = self
            .relays
            .iter()
            .filter(|(_, relay)| relay.target == target && relay.until > now)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in due {
            self.send(now, target, Body::Ping(sequence), out);
        }
    }

    /// Returns how long a suspicion by this many accusers lasts.
    fn suspicion_span(&self, accusers: usize) -> Micros {
        let members = self.peers.len() + 1;
        let size = (members as f64).log10().max(1.0);
        let min_span = (self.timing.suspicion_timeout as f64 * size) as Micros;
        let enough = CONFIRMING_ACCUSERS.min(members.saturating_sub(2));
        if accusers >= enough {
            return min_span;
        }
        let max_span = min_span * SOLE_ACCUSER_FACTOR;
        max_span
            - (max_span - min_span) * accusers.saturating_sub(1) as Micros
                / enough.saturating_sub(1).max(1) as Micros
    }

    pub(super) fn start_suspicion(&mut self, now: Micros, id: MemberId, accuser: MemberId) {
        let due = now + self.suspicion_span(1);
        self.suspicions.insert(id, Suspicion { started_at: now, due, accusers: vec![accuser] });
    }

    /// Adds an accuser: the suspicion is shortened, and sent on as an update.
    pub(super) fn add_accuser(&mut self, id: MemberId, accuser: MemberId) {
        let Some(suspicion) = self.suspicions.get_mut(&id) else { return };
        if suspicion.accusers.len() >= CONFIRMING_ACCUSERS || suspicion.accusers.contains(&accuser) {
            return;
        }
        suspicion.accusers.push(accuser);
        let (started_at, accusers) = (suspicion.started_at, suspicion.accusers.len());
        let due = started_at + self.suspicion_span(accusers);
        if let Some(suspicion) = self.suspicions.get_mut(&id) {
            suspicion.due = suspicion.due.min(due);
        }
        if let Some(peer) = self.peers.get(&id) {
            self.store.set_state(id, State::Suspect, peer.incarnation, accuser);
        }
    }

    pub(super) fn expire_suspicions(&mut self, now: Micros, out: &mut Vec<Output>) {
        let due: Vec<MemberId> =
            self.suspicions.iter().filter(|(_, suspicion)| suspicion.due <= now).map(|(id, _)| *id).collect();
        for id in due {
            self.suspicions.remove(&id);
            if let Some(peer) = self.peers.get(&id) {
                let incarnation = peer.incarnation;
                self.apply_claim(now, id, State::Gone, incarnation, self.own, out);
            }
        }
    }

    /// Tries to reach a member that is held to be gone. The fleet as a whole tries each at about the same
    /// rate, however many nodes it has: with one gone and 300 present, a node tries once in 300 intervals.
    pub(super) fn retry_gone(&mut self, now: Micros, out: &mut Vec<Output>) {
        let gone: Vec<MemberId> =
            self.peers.iter().filter(|(_, peer)| peer.state == State::Gone).map(|(id, _)| *id).collect();
        let present = self.peers.len() + 1 - gone.len();
        if present < gone.len() {
            self.next_retry = now + self.timing.round / 2;
        }
        let Some(target) = gone.choose(&mut self.rng).copied() else { return };
        if self.rng.random_range(0..present) > gone.len() {
            return;
        }
        if self.can_reach(target) {
            self.sequence = self.sequence.wrapping_add(1);
            let sequence = self.sequence;
            self.send(now, target, Body::Ping(sequence), out);
        } else {
            self.connect_temporarily(now, target, out);
        }
    }
}
