//! The other nodes of the fleet as Diameter peers, which carry messages between the fleet components. The
//! node does not interpret these messages, and no call waits for one.
//!
//! The cost of a flood of messages is bounded. They are read in the same slices as all other input, and a
//! slice contains no more messages than fit into its bytes. A message read costs one answer and one output. A
//! message written waits behind at most the queue limit and [`MAX_UNANSWERED_WORDS`] others.

use super::*;

/// The longest message to a member, in bytes.
pub const MAX_WORD_BYTES: usize = 32 * 1024;
/// The maximum number of bytes that a fleet request takes in addition to its message: Diameter header,
/// identities and AVP headers.
const WORD_OVERHEAD_BYTES: usize = 1024;
/// The maximum number of messages that a member may leave unanswered before further ones are dropped.
const MAX_UNANSWERED_WORDS: usize = 1024;
/// The maximum number of places, including those of removed members. A fleet of 1,024 nodes that replaces
/// five members a day reaches it after eight years of one process.
const MAX_PLACES: usize = 16 * 1024;
/// Separates the members' random choices from all others.
const MEMBER_SEED_SALT: u64 = 0x666c_6565_7477_6f72;

/// The members, by their place in the settings.
pub(super) struct Members {
    /// `None` for the node itself and for hosts that can't be members.
    slots: Vec<Option<MemberSlot>>,
    /// The place of each host of the current list.
    places: HashMap<Arc<str>, usize>,
    /// A separate generator, so that the rest of the node makes the same random choices with and without a
    /// fleet.
    rng: SmallRng,
}

struct MemberSlot {
    peer: PeerId,
    linked: bool,
    /// Whether the member is to be dialled, and dialled again when its connection is lost.
    dial_wanted: bool,
}

impl Members {
    pub fn new(seed: u64) -> Self {
        Members {
            slots: Vec::new(),
            places: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed ^ MEMBER_SEED_SALT),
        }
    }

    /// The number of members in force.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn rng(&mut self) -> &mut SmallRng {
        &mut self.rng
    }

    fn slot(&self, member: usize) -> Option<&MemberSlot> {
        self.slots.get(member)?.as_ref()
    }
}

impl Node {
    /// Registers the members; they are not dialled until [`Input::DialMember`].
    pub(super) fn add_members(&mut self) {
        for (place, member) in self.settings.members.clone().into_iter().enumerate() {
            self.members.slots.push(None);
            self.members.places.entry(member.host.clone()).or_insert(place);
            self.fill_place(place, member.host);
        }
    }

    /// Registers the host with this place as a peer, unless it is the node itself or can't be a member.
    fn fill_place(&mut self, place: usize, host: Arc<str>) {
        if self.hosts.contains_key(&host) {
            let text = "the settings name it twice, as a member of the fleet".to_owned();
            self.notice(Notice::PeerRefused(host, text));
        } else if host != self.local.host {
            let peer = self.add_peer(host, Role::Member(place));
            self.peers[peer.0 as usize].peer.rest();
            if let Some(slot) = self.members.slots.get_mut(place) {
                *slot = Some(MemberSlot { peer, linked: false, dial_wanted: false });
            }
        }
    }

    /// Applies a new list of members.
    pub(super) fn change_members(&mut self, members: Vec<MemberPeer>) {
        let mut listed = HashMap::<Arc<str>, SocketAddr>::new();
        let mut new_members = Vec::new();
        for member in members {
            if listed.contains_key(&member.host) {
                let text = "the list of members names it twice".to_owned();
                self.notice(Notice::PeerRefused(member.host, text));
                continue;
            }
            listed.insert(member.host.clone(), member.address);
            if !self.members.places.contains_key(&member.host) {
                new_members.push(member);
            }
        }
        // Ordered by place, so that the same list gives the same outputs.
        let mut current: Vec<(usize, Arc<str>)> =
            self.members.places.iter().map(|(host, place)| (*place, host.clone())).collect();
        current.sort_unstable();
        for (place, host) in current {
            match listed.get(&host) {
                None => self.vacate_place(place, &host),
                Some(address) => self.update_place(place, host, *address),
            }
        }
        for member in new_members {
            let place = self.members.slots.len();
            if place >= MAX_PLACES {
                let text = "no place is left for a further member until this node starts anew".to_owned();
                self.notice(Notice::PeerRefused(member.host, text));
                continue;
            }
            self.members.slots.push(None);
            self.members.places.insert(member.host.clone(), place);
            self.settings.members.push(member.clone());
            self.fill_place(place, member.host);
        }
    }

    /// Removes a member: its connection is closed with a DPR, and it is no longer a peer.
    fn vacate_place(&mut self, place: usize, host: &Arc<str>) {
        self.members.places.remove(host);
        let Some(peer) = self.members.slot(place).map(|slot| slot.peer) else { return };
        self.hosts.remove(host);
        self.disconnect_member(peer, DisconnectCause::DoNotWantToTalkToYou);
        if let Some(slot) = self.members.slots.get_mut(place) {
            *slot = None;
        }
    }

    fn update_place(&mut self, place: usize, host: Arc<str>, address: SocketAddr) {
        let Some(member) = self.settings.members.get_mut(place) else { return };
        let address_changed = std::mem::replace(&mut member.address, address) != address;
        let Some(&MemberSlot { peer, dial_wanted, .. }) = self.members.slot(place) else {
            // The reason for which it could not be a member may no longer apply.
            return self.fill_place(place, host);
        };
        if address_changed {
            self.disconnect_member(peer, DisconnectCause::Rebooting);
            if dial_wanted && !self.stopping {
                self.drive_peer(peer, PeerInput::Start);
            }
        }
    }

    /// Closes an existing or pending connection with a member, whichever end made it.
    fn disconnect_member(&mut self, peer: PeerId, cause: DisconnectCause) {
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        slot.peer.rest();
        if slot.peer.state() != State::Closed {
            self.set_member_linked(peer, false);
            self.drive_peer(peer, PeerInput::Disconnect(cause));
        }
    }

    // ---- Control traffic counters ----

    pub(super) fn is_member(&self, peer: PeerId) -> bool {
        self.peers.get(peer.0 as usize).is_some_and(|slot| matches!(slot.role, Role::Member(_)))
    }

    pub(super) fn count_control_sent(&mut self, owner: Option<PeerId>, bytes: usize) {
        if owner.is_some_and(|peer| self.is_member(peer)) {
            self.stats.control_sent_messages += 1;
            self.stats.control_sent_bytes += bytes as u64;
        }
    }

    /// Counts received bytes. Those received before the first message are counted once that message
    /// identifies the owner.
    pub(super) fn count_control_received(&mut self, conn: ConnId, bytes: usize) {
        let Some(state) = self.conns.get_mut(&conn) else { return };
        let Some(owner) = state.owner else { return state.unattributed_bytes += bytes };
        if self.is_member(owner) {
            self.stats.control_received_bytes += bytes as u64;
        }
    }

    pub(super) fn dial_member(&mut self, member: usize) {
        let slot = self.members.slots.get_mut(member).and_then(Option::as_mut).filter(|_| !self.stopping);
        if let Some(slot) = slot {
            slot.dial_wanted = true;
            let peer = slot.peer;
            self.drive_peer(peer, PeerInput::Start);
        }
    }

    pub(super) fn stop_dialling_member(&mut self, member: usize) {
        let Some(member) = self.members.slots.get_mut(member).and_then(Option::as_mut) else { return };
        member.dial_wanted = false;
        let peer = member.peer;
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        slot.peer.rest();
        if !matches!(slot.peer.state(), State::Closed | State::ROpen) {
            self.set_member_linked(peer, false);
            self.drive_peer(peer, PeerInput::Disconnect(DisconnectCause::DoNotWantToTalkToYou));
        }
    }

    /// Sends a message to a member or drops it. Messages are never queued for later: their content would be
    /// outdated by then, and the fleet component sends it again.
    pub(super) fn send_or_drop_word(&mut self, member: usize, word: &[u8]) {
        if !self.try_send_word(member, word) {
            self.stats.words_dropped += 1;
        }
    }

    fn try_send_word(&mut self, member: usize, word: &[u8]) -> bool {
        let Some(&MemberSlot { peer, linked, .. }) = self.members.slot(member) else { return false };
        if word.len() > MAX_WORD_BYTES.min(self.settings.max_message.saturating_sub(WORD_OVERHEAD_BYTES)) {
            let host = self.host(peer);
            self.notice(Notice::WordTooLong(host, word.len()));
            return false;
        }
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return false };
        let Some(conn) = slot.peer.connection().filter(|_| linked) else { return false };
        let queued = self.conns.get(&conn).map_or(usize::MAX, |conn| conn.queued);
        if queued.saturating_add(word.len() + WORD_OVERHEAD_BYTES) > self.settings.max_queue
            || slot.requests.len() >= MAX_UNANSWERED_WORDS
        {
            return false;
        }
        let id = slot.requests.begin(Request::FleetWord);
        let request = MessageBuilder::request(d::CMD_FLEET, d::APP_NAS, false, id, id);
        let request = self.local.sign(request).add(d::FLEET_WORD, word);
        self.stats.words_sent += 1;
        self.send(conn, request.build());
        true
    }

    /// Handles a message from a member: answers it at once, which keeps the sender's number of unanswered
    /// requests low, and passes it on.
    pub(super) fn word_received(&mut self, member: usize, conn: ConnId, message: &MessageRef<'_>) {
        let answer = self.local.sign(MessageBuilder::answer(message, code::SUCCESS));
        self.send(conn, answer.build());
        // Sending the answer may have closed the connection of a member that does not read.
        if !self.members.slot(member).is_some_and(|slot| slot.linked) {
            return;
        }
        if let Some(word) = message.find(d::FLEET_WORD) {
            self.stats.words_heard += 1;
            self.out.push(Output::MemberMessage(member, word.data.to_vec()));
        }
    }

    /// Handles an open connection, on which no message is unanswered yet; returns whether the peer is a
    /// member. The member is reported as linked when the peer state machine trusts the connection, or else
    /// when the member has sent something on it.
    pub(super) fn reset_member_requests(&mut self, peer: PeerId) -> bool {
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return false };
        let member = matches!(slot.role, Role::Member(_));
        if member {
            slot.requests = HopByHop::new(self.members.rng.random());
        }
        member
    }

    /// Reports a member as linked as soon as it has sent a message after its connection was reopened. RFC
    /// 3539 trusts a lost peer with requests only after its third watchdog answer, some Tw later, which
    /// protects calls. A fleet message is no call, and one answer shows that the connection works in both
    /// directions. A CER alone does not: while everything that this node sends is lost, the member would dial
    /// again and again, and seem linked each time.
    pub(super) fn link_after_message(&mut self, peer: PeerId) {
        let Some(slot) = self.peers.get(peer.0 as usize) else { return };
        if slot.peer.is_open() && slot.peer.watchdog() == WatchdogState::Reopen {
            self.set_member_linked(peer, true);
        }
    }

    /// Reports a change of a member's link; returns whether the peer is a member.
    pub(super) fn set_member_linked(&mut self, peer: PeerId, linked: bool) -> bool {
        let Some(Role::Member(place)) = self.peers.get(peer.0 as usize).map(|slot| slot.role) else {
            return false;
        };
        if let Some(Some(member)) = self.members.slots.get_mut(place) {
            if member.linked != linked {
                member.linked = linked;
                self.out.push(if linked {
                    Output::MemberConnected(place)
                } else {
                    Output::MemberDisconnected(place)
                });
            }
        }
        true
    }

    /// Closes the members' connections with a DPR and stops dialling.
    pub(super) fn disconnect_members(&mut self) {
        for place in 0..self.members.slots.len() {
            let Some(peer) = self.members.slot(place).map(|slot| slot.peer) else { continue };
            let Some(slot) = self.peers.get_mut(peer.0 as usize) else { continue };
            slot.peer.rest();
            if slot.peer.is_open() {
                self.set_member_linked(peer, false);
                self.drive_peer(peer, PeerInput::Disconnect(DisconnectCause::Rebooting));
            }
        }
    }
}
