//! Which few connections a node seeks, keeps and ends.

use super::{Fleet, Output};
use crate::message::Body;
use crate::{Carrier, MemberId, Micros, State};

/// How many times the wait for a connection a member is passed over that could not be connected to.
const PASSED_OVER: Micros = 4;

/// Several orders of all members. The next after a node in each are those that it seeks; together they make a
/// graph in which every two nodes are a few steps apart.
pub(super) fn rings(members: Vec<MemberId>, count: usize) -> Vec<Vec<MemberId>> {
    let ring = |salt: usize| {
        let mut ring = members.clone();
        let place = |id: &MemberId| {
            // The finalizer of SplitMix64.
            let mut z = (u64::from(id.0) << 32 | salt as u64).wrapping_add(0x9e37_79b9_7f4a_7c15);
            z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            (z ^ (z >> 31), *id)
        };
        ring.sort_by_key(place);
        ring
    };
    (0..count.min(members.len().saturating_sub(1))).map(ring).collect()
}

impl Fleet {
    /// The few: in each order the next member that is there, or that was never heard of and not tried lately.
    fn sought(&self, now: Micros) -> Vec<MemberId> {
        let mut sought = Vec::new();
        for ring in &self.rings {
            let Some(at) = ring.iter().position(|id| *id == self.own) else { continue };
            let after = ring.iter().skip(at + 1).chain(ring.iter().take(at));
            let hopeful = |id: &&MemberId| {
                self.peers.get(*id).is_some_and(|peer| {
                    let there = peer.state != State::Gone || peer.incarnation == 0;
                    there && (peer.linked || peer.avoid <= now) && !sought.contains(*id)
                })
            };
            if let Some(next) = after.clone().find(hopeful) {
                sought.push(*next);
            }
        }
        sought
    }

    pub(super) fn tend_links(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.carrier == Carrier::Notes {
            return;
        }
        let mut unreached = Vec::new();
        for (id, peer) in &mut self.peers {
            if peer.meeting.is_some_and(|until| until <= now) {
                (peer.meeting, peer.sought) = (None, false);
                peer.avoid = now + self.timing.meet * PASSED_OVER;
                if peer.state == State::Alive {
                    unreached.push(*id);
                }
            }
        }
        for id in unreached {
            self.probe(now, id, out);
        }
        let sought = self.sought(now);
        for id in &sought {
            if !self.reaches(*id) {
                self.connect(now, *id, out);
            }
        }
        let idle = self
            .peers
            .iter()
            .filter(|(id, peer)| peer.linked && peer.sought && peer.keep <= now && !sought.contains(id));
        for id in idle.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.tell(now, id, Body::Bye, out);
            if let Some(peer) = self.peers.get_mut(&id) {
                // Linked until it is said not to be: where the member has made the connection, it may stay.
                (peer.parting, peer.sought) = (true, false);
            }
            out.push(Output::Part(id));
        }
    }

    /// Seeks a connection for a word, and keeps one for some time.
    pub(super) fn meet(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.keep = now + self.timing.meet;
            self.connect(now, id, out);
        }
    }

    fn connect(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if self.carrier == Carrier::Notes || peer.linked || peer.meeting.is_some() {
            return;
        }
        (peer.meeting, peer.sought) = (Some(now + self.timing.meet), true);
        self.stats.meets += 1;
        out.push(Output::Meet(id));
    }

    pub(super) fn linked(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        let Some(peer) = self.peers.get_mut(&id) else {
            self.stats.strangers += 1;
            return;
        };
        (peer.linked, peer.parting, peer.meeting, peer.avoid) = (true, false, None, 0);
        // A first word, so that both know who is there.
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        self.tell(now, id, Body::Ping(sequence), out);
        self.relay_to(now, id, out);
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|(_, to, bytes)| {
            if *to == id {
                self.tell(now, id, Body::Direct(bytes), out);
            }
            *to != id
        });
        self.waiting = waiting;
    }

    /// A connection that ends without a word is a bad sign: others are asked at once.
    pub(super) fn unlinked(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if !std::mem::replace(&mut peer.linked, false) {
            return;
        }
        let parting = std::mem::replace(&mut peer.parting, false);
        peer.sought = false;
        if !parting && peer.state == State::Alive {
            self.probe(now, id, out);
        }
    }
}
