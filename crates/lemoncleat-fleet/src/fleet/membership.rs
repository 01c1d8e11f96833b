//! Changes of the list of members while the node runs.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{links, Fleet, Notice, Output, Peer};
use crate::message::Body;
use crate::settings::{by_id, default_links};
use crate::{Member, MemberId, Micros, SettingsError, Transport};

/// Maximum number of consecutive early comparisons with one member because its states differ, while they
/// repair nothing and the two nodes may hold different lists of members.
pub(super) const MAX_FUTILE_SYNCS: u32 = 16;

impl Fleet {
    /// Checks whether [`Input::Members`](crate::Input::Members) would accept this list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list has more than 1,024 members, has two with the same digest, or lacks the
    /// node itself.
    pub fn check_members(&self, members: &[Member]) -> Result<(), SettingsError> {
        by_id(&self.member.name, members).map(drop)
    }

    pub(super) fn change_members(&mut self, now: Micros, members: Vec<Member>, out: &mut Vec<Output>) {
        let own: Arc<str> = self.member.name.clone();
        let Ok(mut by_id) = by_id(&own, &members) else {
            return self.notice(now, Notice::MembersRefused(members.len()), out);
        };
        // A different name under the same digest is a different member.
        let stays = |id: &MemberId, peer: &Peer| by_id.get(id).is_some_and(|it| it.name == peer.member.name);
        let removed = self.peers.iter().filter(|(id, peer)| !stays(id, peer)).map(|(id, _)| *id);
        let removed: BTreeSet<MemberId> = removed.collect();
        for id in &removed {
            self.forget(now, *id, out);
        }
        self.probes.retain(|_, probe| !removed.contains(&probe.target));
        self.relays.retain(|_, relay| !relay.concerns(&removed));
        self.suspicions.retain(|id, _| !removed.contains(id));
        self.queued_direct.retain(|(_, to, _)| !removed.contains(to));
        self.next_sync_peer = self.next_sync_peer.filter(|id| !removed.contains(id));

        let (before, after) = (self.peers.len() + removed.len() + 1, by_id.len());
        if self.links == default_links(before) {
            self.links = default_links(after);
        }
        self.rings = links::rings(by_id.keys().copied().collect(), self.links);
        self.probe_order.clear();
        self.lists_differ = true;
        self.store.resize(after);
        if let Some(member) = by_id.remove(&self.own) {
            self.member = member;
        }
        for (id, member) in by_id {
            match self.peers.get_mut(&id) {
                Some(peer) => (peer.member, peer.futile_syncs) = (member, 0),
                None => drop(self.peers.insert(id, Peer::never_heard(member))),
            }
        }
    }

    /// Forgets a member that was removed from the list. It is told first that the connection ends, so that it
    /// does not take the end for a failure.
    fn forget(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        if self.carrier == Transport::Connections && self.can_reach(id) {
            self.send(now, id, Body::Closing, out);
        }
        let peer = self.peers.remove(&id);
        if peer.is_some_and(|peer| peer.linked || peer.connect_deadline.is_some()) {
            out.push(Output::Disconnect(id));
        }
        self.store.forget(id);
    }
}
