//! The other nodes of the fleet as Diameter peers, which carry words of the fleet's cores. The node reads none of
//! them, and no call waits for one.
//!
//! What a flood of words can cost: it is read in the same slices as all else, each of which gives at most as many
//! words as it holds bytes for; a word read is an answer and an output and nothing more; a word written waits
//! behind no more than the queue's limit and [`MOST_OUT`] others.

use super::*;

/// The longest word, in bytes.
pub const WORD_MOST: usize = 32 * 1024;
/// Most bytes that a Fleet-Word takes beside its word: header, identities, heads of AVPs.
const AROUND: usize = 1024;
/// Most words that a member may leave unanswered before further ones are dropped.
const MOST_OUT: usize = 1024;
/// Most places, those of members that went among them. A fleet of 1,024 that replaces five members a day has as many
/// after eight years of one process.
const MOST_PLACES: usize = 16 * 1024;
/// Sets the members' random choices apart from all others.
const APART: u64 = 0x666c_6565_7477_6f72;

/// The members, by their place in the settings.
pub(super) struct Members {
    /// `None` for the node itself and for what can't be a member.
    slots: Vec<Option<Slot>>,
    /// The place of each host of the list in force.
    places: HashMap<Arc<str>, usize>,
    /// Their own, so that the rest of the node draws what it would draw without a fleet.
    rng: SmallRng,
}

struct Slot {
    peer: PeerId,
    linked: bool,
    /// It is to be dialled, and again when its connection is lost.
    wanted: bool,
}

impl Members {
    pub fn new(seed: u64) -> Self {
        Members { slots: Vec::new(), places: HashMap::new(), rng: SmallRng::seed_from_u64(seed ^ APART) }
    }

    /// How many there are in force.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn rng(&mut self) -> &mut SmallRng {
        &mut self.rng
    }

    fn slot(&self, member: usize) -> Option<&Slot> {
        self.slots.get(member)?.as_ref()
    }
}

impl Node {
    /// Makes the members known, to be waited for until [`Input::Meet`].
    pub(super) fn add_members(&mut self) {
        for (place, member) in self.settings.members.clone().into_iter().enumerate() {
            self.members.slots.push(None);
            self.members.places.entry(member.host.clone()).or_insert(place);
            self.fill_place(place, member.host);
        }
    }

    /// Makes a peer of who has this place, unless it is the node itself or can't be a member.
    fn fill_place(&mut self, place: usize, host: Arc<str>) {
        if self.hosts.contains_key(&host) {
            let text = "the settings name it twice, as a member of the fleet".to_owned();
            self.notice(Notice::PeerRefused(host, text));
        } else if host != self.local.host {
            let peer = self.add_peer(host, Role::Member(place));
            self.peers[peer.0 as usize].peer.rest();
            if let Some(slot) = self.members.slots.get_mut(place) {
                *slot = Some(Slot { peer, linked: false, wanted: false });
            }
        }
    }

    /// The list of members changes.
    pub(super) fn change_members(&mut self, members: Vec<MemberPeer>) {
        let mut listed = HashMap::<Arc<str>, SocketAddr>::new();
        let mut fresh = Vec::new();
        for member in members {
            if listed.contains_key(&member.host) {
                let text = "the list of members names it twice".to_owned();
                self.notice(Notice::PeerRefused(member.host, text));
                continue;
            }
            listed.insert(member.host.clone(), member.address);
            if !self.members.places.contains_key(&member.host) {
                fresh.push(member);
            }
        }
        // By place, so that the same list gives the same outputs.
        let mut held: Vec<(usize, Arc<str>)> =
            self.members.places.iter().map(|(host, place)| (*place, host.clone())).collect();
        held.sort_unstable();
        for (place, host) in held {
            match listed.get(&host) {
                None => self.empty_place(place, &host),
                Some(address) => self.keep_place(place, host, *address),
            }
        }
        for member in fresh {
            let place = self.members.slots.len();
            if place >= MOST_PLACES {
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

    /// One that went: its connection is ended in order, and it is not a peer any more.
    fn empty_place(&mut self, place: usize, host: &Arc<str>) {
        self.members.places.remove(host);
        let Some(peer) = self.members.slot(place).map(|slot| slot.peer) else { return };
        self.hosts.remove(host);
        self.end_member(peer, DisconnectCause::DoNotWantToTalkToYou);
        if let Some(slot) = self.members.slots.get_mut(place) {
            *slot = None;
        }
    }

    fn keep_place(&mut self, place: usize, host: Arc<str>, address: SocketAddr) {
        let Some(member) = self.settings.members.get_mut(place) else { return };
        let moved = std::mem::replace(&mut member.address, address) != address;
        let Some(&Slot { peer, wanted, .. }) = self.members.slot(place) else {
            // What kept it from being a member may be gone.
            return self.fill_place(place, host);
        };
        if moved {
            self.end_member(peer, DisconnectCause::Rebooting);
            if wanted && !self.stopping {
                self.tell_peer(peer, PeerInput::Start);
            }
        }
    }

    /// Ends whatever connection there is with a member, or is being made, whoever makes it.
    fn end_member(&mut self, peer: PeerId, cause: DisconnectCause) {
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        slot.peer.rest();
        if slot.peer.state() != State::Closed {
            self.member_linked(peer, false);
            self.tell_peer(peer, PeerInput::Disconnect(cause));
        }
    }

    // ---- What control costs ----

    pub(super) fn is_member(&self, peer: PeerId) -> bool {
        self.peers.get(peer.0 as usize).is_some_and(|slot| matches!(slot.role, Role::Member(_)))
    }

    pub(super) fn count_sent(&mut self, owner: Option<PeerId>, bytes: usize) {
        if owner.is_some_and(|peer| self.is_member(peer)) {
            self.stats.control_sent_messages += 1;
            self.stats.control_sent_bytes += bytes as u64;
        }
    }

    /// Bytes came. Those before the first message is read count when it tells whose they are.
    pub(super) fn count_received(&mut self, conn: ConnId, bytes: usize) {
        let Some(state) = self.conns.get_mut(&conn) else { return };
        let Some(owner) = state.owner else { return state.unowned += bytes };
        if self.is_member(owner) {
            self.stats.control_received_bytes += bytes as u64;
        }
    }

    pub(super) fn meet(&mut self, member: usize) {
        let slot = self.members.slots.get_mut(member).and_then(Option::as_mut).filter(|_| !self.stopping);
        if let Some(slot) = slot {
            slot.wanted = true;
            let peer = slot.peer;
            self.tell_peer(peer, PeerInput::Start);
        }
    }

    pub(super) fn part(&mut self, member: usize) {
        let Some(member) = self.members.slots.get_mut(member).and_then(Option::as_mut) else { return };
        member.wanted = false;
        let peer = member.peer;
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        slot.peer.rest();
        if !matches!(slot.peer.state(), State::Closed | State::ROpen) {
            self.member_linked(peer, false);
            self.tell_peer(peer, PeerInput::Disconnect(DisconnectCause::DoNotWantToTalkToYou));
        }
    }

    /// Words are never kept for later: what they tell is old by then, and the fleet's core says it again.
    pub(super) fn word(&mut self, member: usize, word: &[u8]) {
        if !self.send_word(member, word) {
            self.stats.words_dropped += 1;
        }
    }

    fn send_word(&mut self, member: usize, word: &[u8]) -> bool {
        let Some(&Slot { peer, linked, .. }) = self.members.slot(member) else { return false };
        if word.len() > WORD_MOST.min(self.settings.max_message.saturating_sub(AROUND)) {
            let host = self.host(peer);
            self.notice(Notice::WordTooLong(host, word.len()));
            return false;
        }
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return false };
        let Some(conn) = slot.peer.connection().filter(|_| linked) else { return false };
        let queued = self.conns.get(&conn).map_or(usize::MAX, |conn| conn.queued);
        if queued.saturating_add(word.len() + AROUND) > self.settings.max_queue
            || slot.requests.len() >= MOST_OUT
        {
            return false;
        }
        let id = slot.requests.begin(Request::Word);
        let request = MessageBuilder::request(d::CMD_FLEET, d::APP_NAS, false, id, id);
        let request = self.local.sign(request).add(d::FLEET_WORD, word);
        self.stats.words_sent += 1;
        self.send(conn, request.build());
        true
    }

    /// A member's word: answered at once, so that its end stays sound, and handed out.
    pub(super) fn heard(&mut self, member: usize, conn: ConnId, message: &MessageRef<'_>) {
        let answer = self.local.sign(MessageBuilder::answer(message, code::SUCCESS));
        self.send(conn, answer.build());
        // The answer may have been one too many for a member that does not read.
        if !self.members.slot(member).is_some_and(|slot| slot.linked) {
            return;
        }
        if let Some(word) = message.find(d::FLEET_WORD) {
            self.stats.words_heard += 1;
            self.out.push(Output::Heard(member, word.data.to_vec()));
        }
    }

    /// A connection stands, with no word out on it yet; whether the peer is a member. It is linked as soon as the
    /// peer machine trusts it, or else the member has spoken on it.
    pub(super) fn member_open(&mut self, peer: PeerId) -> bool {
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return false };
        let member = matches!(slot.role, Role::Member(_));
        if member {
            slot.requests = HopByHop::new(self.members.rng.random());
        }
        member
    }

    /// After a loss RFC 3539 trusts a peer with requests at its third answer, some Tw later. That spares calls; a
    /// word is no call, and one answer shows that the way is open there and back. A CER alone does not: while what
    /// this node sends is lost, the member would dial again and again, and seem linked each time.
    pub(super) fn member_spoke(&mut self, peer: PeerId) {
        let Some(slot) = self.peers.get(peer.0 as usize) else { return };
        if slot.peer.is_open() && slot.peer.watchdog() == WatchdogState::Reopen {
            self.member_linked(peer, true);
        }
    }

    /// Tells of a member's connection where that is news, whether the peer is a member.
    pub(super) fn member_linked(&mut self, peer: PeerId, linked: bool) -> bool {
        let Some(Role::Member(place)) = self.peers.get(peer.0 as usize).map(|slot| slot.role) else {
            return false;
        };
        if let Some(Some(member)) = self.members.slots.get_mut(place) {
            if member.linked != linked {
                member.linked = linked;
                self.out.push(if linked { Output::Linked(place) } else { Output::Unlinked(place) });
            }
        }
        true
    }

    /// Ends the members' connections in order and dials none any more.
    pub(super) fn end_members(&mut self) {
        for place in 0..self.members.slots.len() {
            let Some(peer) = self.members.slot(place).map(|slot| slot.peer) else { continue };
            let Some(slot) = self.peers.get_mut(peer.0 as usize) else { continue };
            slot.peer.rest();
            if slot.peer.is_open() {
                self.member_linked(peer, false);
                self.tell_peer(peer, PeerInput::Disconnect(DisconnectCause::Rebooting));
            }
        }
    }
}
