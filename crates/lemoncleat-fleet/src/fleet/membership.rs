//! The list of members changes while the node runs.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{links, Fleet, Notice, Output, Peer};
use crate::message::Body;
use crate::settings::{by_id, usual_links};
use crate::{Carrier, Member, MemberId, Micros, SettingsError};

/// Most comparisons with one member that are hurried in a row because its states differ, while they bring nothing and
/// the two may hold different lists of members.
pub(super) const MOST_FUTILE: u32 = 16;

impl Fleet {
    /// Whether [`Input::Members`](crate::Input::Members) would take this list.
    ///
    /// # Errors
    ///
    /// When it has more than 1,024 members, two of one digest, or lacks the node itself.
    pub fn check_members(&self, members: &[Member]) -> Result<(), SettingsError> {
        by_id(&self.member.name, members).map(drop)
    }

    pub(super) fn change_members(&mut self, now: Micros, members: Vec<Member>, out: &mut Vec<Output>) {
        let own: Arc<str> = self.member.name.clone();
        let Ok(mut by_id) = by_id(&own, &members) else {
            return self.notice(now, Notice::MembersRefused(members.len()), out);
        };
        // One of another name under the same digest is another member.
        let stays = |id: &MemberId, peer: &Peer| by_id.get(id).is_some_and(|it| it.name == peer.member.name);
        let went = self.peers.iter().filter(|(id, peer)| !stays(id, peer)).map(|(id, _)| *id);
        let went: BTreeSet<MemberId> = went.collect();
        for id in &went {
            self.forget(now, *id, out);
        }
        self.probes.retain(|_, probe| !went.contains(&probe.target));
        self.relays.retain(|_, relay| !relay.is_of(&went));
        self.suspicions.retain(|id, _| !went.contains(id));
        self.waiting.retain(|(_, to, _)| !went.contains(to));
        self.sync_with = self.sync_with.filter(|id| !went.contains(id));

        let (before, after) = (self.peers.len() + went.len() + 1, by_id.len());
        if self.links == usual_links(before) {
            self.links = usual_links(after);
        }
        self.rings = links::rings(by_id.keys().copied().collect(), self.links);
        self.order.clear();
        self.lists_differ = true;
        self.spread.resize(after);
        if let Some(member) = by_id.remove(&self.own) {
            self.member = member;
        }
        for (id, member) in by_id {
            match self.peers.get_mut(&id) {
                Some(peer) => (peer.member, peer.futile) = (member, 0),
                None => drop(self.peers.insert(id, Peer::unheard(member))),
            }
        }
    }

    /// One that is no member any more: a last word that the end of the connection is no bad sign, and nothing is held
    /// of it.
    fn forget(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        if self.carrier == Carrier::Connections && self.reaches(id) {
            self.tell(now, id, Body::Bye, out);
        }
        let peer = self.peers.remove(&id);
        if peer.is_some_and(|peer| peer.linked || peer.meeting.is_some()) {
            out.push(Output::Part(id));
        }
        self.spread.forget(id);
    }
}
