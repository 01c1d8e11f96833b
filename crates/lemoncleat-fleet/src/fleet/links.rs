//! Selects the few connections that a node requests, keeps and ends.

use super::{Fleet, Output};
use crate::message::Body;
use crate::{MemberId, Micros, State, Transport};

/// After a failed connect, a member is avoided for this many connect timeouts.
const AVOID_FACTOR: Micros = 4;

/// Returns several orders of all members. A node connects to the member after itself in each order; together
/// these connections form a graph in which any two nodes are a few hops apart.
pub(super) fn rings(members: Vec<MemberId>, count: usize) -> Vec<Vec<MemberId>> {
    let ring = |salt: usize| {
        let mut ring = members.clone();
        let sort_key = |id: &MemberId| {
            // The finalizer of SplitMix64.
            let mut z = (u64::from(id.0) << 32 | salt as u64).wrapping_add(0x9e37_79b9_7f4a_7c15);
            z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            (z ^ (z >> 31), *id)
        };
        ring.sort_by_key(sort_key);
        ring
    };
    (0..count.min(members.len().saturating_sub(1))).map(ring).collect()
}

impl Fleet {
    /// Returns the desired connections: in each order the next member that is not gone, or that was never
    /// heard from and has not been tried recently.
    fn desired_links(&self, now: Micros) -> Vec<MemberId> {
        let mut desired = Vec::new();
        for ring in &self.rings {
            let Some(at) = ring.iter().position(|id| *id == self.own) else { continue };
            let after = ring.iter().skip(at + 1).chain(ring.iter().take(at));
            let eligible = |id: &&MemberId| {
                self.peers.get(*id).is_some_and(|peer| {
                    let present = peer.state != State::Gone || peer.incarnation == 0;
                    present && (peer.linked || peer.avoid_until <= now) && !desired.contains(*id)
                })
            };
            if let Some(next) = after.clone().find(eligible) {
                desired.push(*next);
            }
        }
        desired
    }

    pub(super) fn maintain_links(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.carrier == Transport::Notes {
            return;
        }
        let mut failed = Vec::new();
        for (id, peer) in &mut self.peers {
            if peer.connect_deadline.is_some_and(|until| until <= now) {
                (peer.connect_deadline, peer.initiated) = (None, false);
                peer.avoid_until = now + self.timing.meet * AVOID_FACTOR;
                if peer.state == State::Alive {
                    failed.push(*id);
                }
            }
        }
        for id in failed {
            self.probe(now, id, out);
        }
        let desired = self.desired_links(now);
        for id in &desired {
            if !self.can_reach(*id) {
                self.connect(now, *id, out);
            }
        }
        let idle = self.peers.iter().filter(|(id, peer)| {
            peer.linked && peer.initiated && peer.keep_until <= now && !desired.contains(id)
        });
        for id in idle.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send(now, id, Body::Closing, out);
            if let Some(peer) = self.peers.get_mut(&id) {
                // Still linked until the transport reports the end: a connection that the member initiated
                // may stay.
                (peer.closing, peer.initiated) = (true, false);
            }
            out.push(Output::Disconnect(id));
        }
    }

    /// Requests a connection for a message, and keeps an existing one for some time.
    pub(super) fn connect_temporarily(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.keep_until = now + self.timing.meet;
            self.connect(now, id, out);
        }
    }

    fn connect(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if self.carrier == Transport::Notes || peer.linked || peer.connect_deadline.is_some() {
            return;
        }
        (peer.connect_deadline, peer.initiated) = (Some(now + self.timing.meet), true);
        self.stats.connects_requested += 1;
        out.push(Output::Connect(id));
    }

    pub(super) fn handle_linked(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        let Some(peer) = self.peers.get_mut(&id) else {
            self.stats.strangers += 1;
            return;
        };
        (peer.linked, peer.closing, peer.connect_deadline, peer.avoid_until) = (true, false, None, 0);
        // The first message, so that both sides know each other's incarnation.
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        self.send(now, id, Body::Ping(sequence), out);
        self.send_relayed_pings(now, id, out);
        let mut queued_direct = std::mem::take(&mut self.queued_direct);
        queued_direct.retain(|(_, to, bytes)| {
            if *to == id {
                self.send(now, id, Body::Direct(bytes), out);
            }
            *to != id
        });
        self.queued_direct = queued_direct;
    }

    /// A connection that ends without an announcement is a sign of failure: the member is probed at once.
    pub(super) fn handle_unlinked(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if !std::mem::replace(&mut peer.linked, false) {
            return;
        }
        let closing = std::mem::replace(&mut peer.closing, false);
        peer.initiated = false;
        if !closing && peer.state == State::Alive {
            self.probe(now, id, out);
        }
    }
}
