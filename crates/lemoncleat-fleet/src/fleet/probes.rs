//! Probes, suspicions, and whom news is passed on to.

use std::collections::BTreeSet;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::Rng;

use super::{Fleet, Output};
use crate::message::Body;
use crate::{Carrier, MemberId, Micros, State};

/// How many are asked to probe in this node's stead.
const HELPERS: usize = 3;
/// How many are told news at a time.
const FANOUT: usize = 3;
/// Most probes at a time, own ones and those for others.
const MOST_PROBES: usize = 32;
/// Accusers after whom a suspicion is not shortened further.
const ENOUGH_ACCUSERS: usize = 3;
/// How much longer a suspicion by one node alone stands than one by several.
const ALONE: Micros = 3;
/// Most that a node which seems to be the cause itself stretches its probes by.
const MOST_UNWELL: u32 = 7;

pub(super) struct Probe {
    pub target: MemberId,
    pub due: Micros,
    /// Others have been asked.
    asked: bool,
}

/// A probe for another.
pub(super) struct Relay {
    asker: MemberId,
    /// The asker's number for it.
    sequence: u32,
    target: MemberId,
    pub until: Micros,
}

impl Relay {
    /// Whether it is asked for by one of these, or about one.
    pub fn is_of(&self, members: &BTreeSet<MemberId>) -> bool {
        members.contains(&self.asker) || members.contains(&self.target)
    }
}

pub(super) struct Suspicion {
    began: Micros,
    pub due: Micros,
    accusers: Vec<MemberId>,
}

impl Fleet {
    fn patience(&self) -> Micros {
        Micros::from(1 + self.unwell)
    }

    /// Members that can be told something and are not held to be gone.
    fn in_reach(&self) -> Vec<MemberId> {
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.state != State::Gone && (self.carrier == Carrier::Notes || peer.linked));
        peers.map(|(id, _)| *id).collect()
    }

    /// Some of them, drawn.
    pub(super) fn some_members(&mut self, count: usize) -> Vec<MemberId> {
        let mut all = self.in_reach();
        all.partial_shuffle(&mut self.rng, count).0.to_vec()
    }

    pub(super) fn pass_on(&mut self, now: Micros, out: &mut Vec<Output>) {
        for to in self.some_members(FANOUT) {
            if self.spread.is_hot() {
                self.tell(now, to, Body::News, out);
            }
        }
    }

    /// Probes the next member: all in reach in an order drawn anew each time, so that each has its turn.
    /// One that this node itself accused is tried besides, so that it hears of that and can refute it.
    pub(super) fn probe_next(&mut self, now: Micros, out: &mut Vec<Output>) {
        let accused = |(_, suspicion): &(&MemberId, &Suspicion)| suspicion.accusers.contains(&self.own);
        let suspects: Vec<MemberId> = self.suspicions.iter().filter(accused).map(|(id, _)| *id).collect();
        if let Some(suspect) = suspects.choose(&mut self.rng) {
            self.probe(now, *suspect, out);
        }
        for fresh in [false, true] {
            if fresh {
                self.order = self.in_reach();
                self.order.shuffle(&mut self.rng);
            }
            while let Some(target) = self.order.pop() {
                let fits = self.peers.get(&target).is_some_and(|peer| peer.state != State::Gone);
                if fits && self.reaches(target) {
                    return self.probe(now, target, out);
                }
            }
        }
    }

    /// Probes a member directly, or through others where it is not in reach.
    pub(super) fn probe(&mut self, now: Micros, target: MemberId, out: &mut Vec<Output>) {
        let under_way = self.probes.values().any(|probe| probe.target == target);
        if under_way || self.probes.len() >= MOST_PROBES {
            return;
        }
        self.stats.probes += 1;
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        let direct = self.reaches(target);
        let due = now + if direct { self.timing.answer * self.patience() } else { 0 };
        self.probes.insert(sequence, Probe { target, due, asked: false });
        self.tell(now, target, Body::Ping(sequence), out);
    }

    pub(super) fn due_probes(&mut self, now: Micros, out: &mut Vec<Output>) {
        let due: Vec<u32> =
            self.probes.iter().filter(|(_, probe)| probe.due <= now).map(|(sequence, _)| *sequence).collect();
        for sequence in due {
            let rest = (self.timing.round - self.timing.answer).max(self.timing.answer) * self.patience();
            let Some(probe) = self.probes.get_mut(&sequence) else { continue };
            let target = probe.target;
            if probe.asked {
                self.probes.remove(&sequence);
                self.unanswered(now, target, out);
                continue;
            }
            (probe.asked, probe.due) = (true, now + rest);
            let mut helpers = self.some_members(HELPERS + 1);
            helpers.retain(|helper| *helper != target);
            for helper in helpers.into_iter().take(HELPERS) {
                self.tell(now, helper, Body::Ask(sequence, target), out);
            }
            // The first may only have been lost.
            self.tell(now, target, Body::Ping(sequence), out);
        }
    }

    fn unanswered(&mut self, now: Micros, target: MemberId, out: &mut Vec<Output>) {
        self.unwell = (self.unwell + 1).min(MOST_UNWELL);
        let Some(peer) = self.peers.get(&target) else { return };
        if peer.state == State::Gone {
            return;
        }
        let incarnation = peer.incarnation;
        self.stats.suspicions += 1;
        self.claim(now, target, State::Suspect, incarnation, self.own, out);
    }

    pub(super) fn acked(&mut self, now: Micros, from: MemberId, sequence: u32, out: &mut Vec<Output>) {
        if let Some(relay) = self.relays.get(&sequence).filter(|relay| relay.target == from) {
            let (asker, asked) = (relay.asker, relay.sequence);
            self.relays.remove(&sequence);
            self.tell(now, asker, Body::Relayed(asked), out);
        } else if self.probes.get(&sequence).is_some_and(|probe| probe.target == from) {
            self.relayed(sequence);
        }
    }

    pub(super) fn relayed(&mut self, sequence: u32) {
        if self.probes.remove(&sequence).is_some() {
            self.unwell = self.unwell.saturating_sub(1);
        }
    }

    /// Another asks for a probe in its stead.
    pub(super) fn asked(
        &mut self,
        now: Micros,
        asker: MemberId,
        sequence: u32,
        target: MemberId,
        out: &mut Vec<Output>,
    ) {
        if self.relays.len() >= MOST_PROBES || !self.peers.contains_key(&target) {
            return;
        }
        self.sequence = self.sequence.wrapping_add(1);
        let own = self.sequence;
        let until = now + self.timing.meet;
        self.relays.insert(own, Relay { asker, sequence, target, until });
        if self.reaches(target) {
            self.tell(now, target, Body::Ping(own), out);
        } else {
            self.meet(now, target, out);
        }
    }

    /// The probes for others that a connection was needed for.
    pub(super) fn relay_to(&mut self, now: Micros, target: MemberId, out: &mut Vec<Output>) {
        let due: Vec<u32> = self
            .relays
            .iter()
            .filter(|(_, relay)| relay.target == target && relay.until > now)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in due {
            self.tell(now, target, Body::Ping(sequence), out);
        }
    }

    /// How long a suspicion stands by so many accusers.
    fn stands(&self, accusers: usize) -> Micros {
        let members = self.peers.len() + 1;
        let size = (members as f64).log10().max(1.0);
        let least = (self.timing.suspect as f64 * size) as Micros;
        let enough = ENOUGH_ACCUSERS.min(members.saturating_sub(2));
        if accusers >= enough {
            return least;
        }
        let most = least * ALONE;
        most - (most - least) * accusers.saturating_sub(1) as Micros
            / enough.saturating_sub(1).max(1) as Micros
    }

    pub(super) fn suspect(&mut self, now: Micros, id: MemberId, by: MemberId) {
        let due = now + self.stands(1);
        self.suspicions.insert(id, Suspicion { began: now, due, accusers: vec![by] });
    }

    /// One more says so: the suspicion is shortened, and passed on as news.
    pub(super) fn accuse(&mut self, id: MemberId, by: MemberId) {
        let Some(suspicion) = self.suspicions.get_mut(&id) else { return };
        if suspicion.accusers.len() >= ENOUGH_ACCUSERS || suspicion.accusers.contains(&by) {
            return;
        }
        suspicion.accusers.push(by);
        let (began, accusers) = (suspicion.began, suspicion.accusers.len());
        let due = began + self.stands(accusers);
        if let Some(suspicion) = self.suspicions.get_mut(&id) {
            suspicion.due = suspicion.due.min(due);
        }
        if let Some(peer) = self.peers.get(&id) {
            self.spread.set_state(id, State::Suspect, peer.incarnation, by);
        }
    }

    pub(super) fn due_suspicions(&mut self, now: Micros, out: &mut Vec<Output>) {
        let due: Vec<MemberId> =
            self.suspicions.iter().filter(|(_, suspicion)| suspicion.due <= now).map(|(id, _)| *id).collect();
        for id in due {
            self.suspicions.remove(&id);
            if let Some(peer) = self.peers.get(&id) {
                let incarnation = peer.incarnation;
                self.claim(now, id, State::Gone, incarnation, self.own, out);
            }
        }
    }

    /// Tries to reach a member that is held to be gone. The fleet as a whole tries each about as often, however
    /// many nodes it has: with one gone and 300 there, a node tries once in 300 times.
    pub(super) fn try_gone(&mut self, now: Micros, out: &mut Vec<Output>) {
        let gone: Vec<MemberId> =
            self.peers.iter().filter(|(_, peer)| peer.state == State::Gone).map(|(id, _)| *id).collect();
        let there = self.peers.len() + 1 - gone.len();
        if there < gone.len() {
            self.next_retry = now + self.timing.round / 2;
        }
        let Some(target) = gone.choose(&mut self.rng).copied() else { return };
        if self.rng.random_range(0..there) > gone.len() {
            return;
        }
        if self.reaches(target) {
            self.sequence = self.sequence.wrapping_add(1);
            let sequence = self.sequence;
            self.tell(now, target, Body::Ping(sequence), out);
        } else {
            self.meet(now, target, out);
        }
    }
}
