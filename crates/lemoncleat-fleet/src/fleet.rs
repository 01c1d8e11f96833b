//! One node's view of the fleet.

use std::collections::{BTreeMap, VecDeque};

use lemoncleat_faults::point;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::message::{append, read, Body, Header};
use crate::plant::{self, Plant};
use crate::{Member, MemberId, Micros, Settings, SettingsError, State, Timing, Transport};

mod links;
mod membership;
mod probes;
mod sync;
mod update_store;

use probes::{Probe, Relay, Suspicion};
use update_store::UpdateStore;

/// Maximum size of a fact in bytes, so that one fits into a note beside a header.
const MAX_FACT_BYTES: usize = 160;
/// Maximum number of kinds of facts per node.
const MAX_KINDS: usize = 16;
/// Maximum number of direct messages that wait for a connection.
const MAX_QUEUED_DIRECT: usize = 128;
/// Incarnations above this are rejected, so that there is always room to jump above an accepted one.
const MAX_INCARNATION: u64 = (u32::MAX as u64 - 0xffff) << 32;

/// The kind of a fact. Its meaning is defined by the user of this package.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind(pub u8);

/// A value that a node has published about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// The node that published it.
    pub origin: MemberId,
    /// What it is about.
    pub kind: Kind,
    /// The origin's incarnation when the fact was published.
    pub incarnation: u64,
    /// Increases with each fact of an incarnation.
    pub number: u64,
    /// Lower bound of the time since the fact was published: the time spent at members is added up, the time
    /// spent in transit is not.
    pub age: Micros,
    /// The value itself; at most 160 bytes.
    pub bytes: Vec<u8>,
}

/// Input of a fleet.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A message was received from this member, as identified by the transport.
    Received {
        /// The sender.
        from: MemberId,
        /// The message.
        bytes: &'a [u8],
    },
    /// A connection to this member is established, whichever side initiated it. Not used with
    /// [`Transport::Notes`].
    Linked(MemberId),
    /// The connection to this member has ended.
    Unlinked(MemberId),
    /// Publishes a fact of this node, which replaces the previous one of its kind.
    Publish {
        /// What the fact is about.
        kind: Kind,
        /// At most 160 bytes; a larger fact is dropped, with a notice.
        bytes: Vec<u8>,
    },
    /// Sends bytes of another core to one member, at most once. Over connections they wait until one is
    /// established.
    Direct {
        /// The receiver.
        to: MemberId,
        /// Bytes that do not fit into one message are dropped, with a notice.
        bytes: Vec<u8>,
    },
    /// Replaces the list of members, in any order. The state of members that stay is kept; new members are
    /// held to be gone until they are heard from; removed members are forgotten, and their messages count as
    /// a stranger's. A list that [`Fleet::check_members`] rejects changes nothing and causes a notice.
    Members(Vec<Member>),
    /// The time that [`Fleet::wake`] returned has been reached.
    Timeout,
}

/// Output of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this message.
    Send {
        /// The receiver.
        to: MemberId,
        /// At most [`Settings::max_message`] bytes.
        bytes: Vec<u8>,
    },
    /// Connect to this member. [`Input::Linked`] reports success; a failure is not reported.
    Connect(MemberId),
    /// End the connection to this member after all pending messages, if this node initiated it.
    /// [`Input::Unlinked`] reports that it has ended; a connection that the member initiated may stay, and
    /// remains in use.
    Disconnect(MemberId),
    /// A newer fact of another member, or a fact of a member that is back.
    Fact(Fact),
    /// The state in which a member is held has changed.
    State {
        /// The member.
        member: MemberId,
        /// Its state now.
        state: State,
        /// The incarnation that the state refers to.
        incarnation: u64,
    },
    /// Bytes from the core of another member.
    Direct {
        /// The sender.
        from: MemberId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// An event for the log, limited in rate per sort.
    Notice(Notice),
}

/// An event for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Notice {
    /// A message came from a process that is not a member.
    Stranger(MemberId),
    /// A message of this member names another sender.
    ForgedSender(MemberId),
    /// A message of this member can't be decoded.
    Unreadable(MemberId),
    /// The fleet remembers a later start of this node, or another process uses its name; the node goes on
    /// with a higher incarnation.
    IncarnationRaised,
    /// The node was not run for this many microseconds, and does not count the silence of others in that time
    /// as a failure.
    Paused(Micros),
    /// Bytes for this member were dropped: too many, too large, or not connected in time.
    DirectDropped(MemberId),
    /// A fact was dropped: the origin (this node or another) has too many kinds, or the fact is too large.
    FactDropped(MemberId),
    /// A list with this many members was rejected; the previous one stays in use.
    MembersRefused(usize),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Messages sent.
    pub told: u64,
    /// Bytes of the messages sent.
    pub told_bytes: u64,
    /// Messages received from members.
    pub heard: u64,
    /// Messages of, or about, processes that are not members.
    pub strangers: u64,
    /// Messages that name a sender other than the member they came from.
    pub impostors: u64,
    /// Messages that can't be decoded.
    pub unreadable: u64,
    /// Messages and facts of an earlier process of a member.
    pub stale: u64,
    /// Probes started.
    pub probes: u64,
    /// Suspicions raised by own probes.
    pub suspicions: u64,
    /// Suspicions of this node that it refuted.
    pub refuted: u64,
    /// Jumps above an incarnation that the fleet remembered.
    pub jumps: u64,
    /// Facts dropped because of a limit.
    pub facts_dropped: u64,
    /// Direct messages of other cores that were dropped.
    pub direct_dropped: u64,
    /// Connections requested.
    pub connects_requested: u64,
    /// Updates that a comparison found and gossip had not delivered.
    pub repaired: u64,
}

/// What this node holds of another member.
struct Peer {
    member: Member,
    state: State,
    /// 0 until the member has been heard from.
    incarnation: u64,
    linked: bool,
    /// This node requested the connection, and may end it.
    initiated: bool,
    /// The other side has announced that it ends the connection, so its end is not a sign of failure.
    closing: bool,
    /// A connection was requested; the request expires at this time.
    connect_deadline: Option<Micros>,
    /// The connection is kept until this time, even if it is not one of the desired ones.
    keep_until: Micros,
    /// A requested connection was not established; the member is not one of the desired ones until this time.
    avoid_until: Micros,
    /// Number of consecutive early comparisons with this member that repaired nothing. Nodes with different
    /// lists of members never hold the same states: without a limit they would compare several times a second
    /// for as long as the lists differ.
    futile_syncs: u32,
}

impl Peer {
    /// Returns a member that was never heard from.
    fn never_heard(member: Member) -> Peer {
        let (state, incarnation, connect_deadline) = (State::Gone, 0, None);
        let (linked, initiated, closing) = (false, false, false);
        let (keep_until, avoid_until, futile_syncs) = (0, 0, 0);
        Peer {
            member,
            state,
            incarnation,
            linked,
            initiated,
            closing,
            connect_deadline,
            keep_until,
            avoid_until,
            futile_syncs,
        }
    }
}

/// One node's view of the members and of the facts they have published.
pub struct Fleet {
    own: MemberId,
    member: Member,
    carrier: Transport,
    max_message: usize,
    timing: Timing,
    /// How many connections the node initiates.
    links: usize,
    incarnation: u64,
    number: u64,
    last_jump: Option<Micros>,
    last_heard: Option<Micros>,
    peers: BTreeMap<MemberId, Peer>,
    store: UpdateStore,
    /// The members in several orders that are the same on all nodes. A node connects to the one after itself
    /// in each.
    rings: Vec<Vec<MemberId>>,
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    suspicions: BTreeMap<MemberId, Suspicion>,
    /// The order in which members are probed; the next one is last.
    probe_order: Vec<MemberId>,
    sequence: u32,
    /// How many own probes failed in a row without an answer from any node (Lifeguard's local health).
    local_health: u32,
    queued_direct: VecDeque<(Micros, MemberId, Vec<u8>)>,
    next_round: Option<Micros>,
    next_gossip: Option<Micros>,
    next_sync: Micros,
    /// The peer of the next comparison: one whose states were found to differ.
    next_sync_peer: Option<MemberId>,
    next_retry: Micros,
    last_notices: BTreeMap<u8, Micros>,
    /// Other nodes hold, or held, a different list of members: they named a process that is not a member
    /// here, or the own list has changed.
    lists_differ: bool,
    rng: SmallRng,
    stats: Stats,
}

impl Fleet {
    /// Returns a node that starts. `start` is in seconds and grows with each start of the node, as
    /// Origin-State-Id does (RFC 6733 section 8.16); `seed` spreads the rounds of the nodes over time.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be used.
    pub fn new(settings: Settings, start: u32, seed: u64) -> Result<Fleet, SettingsError> {
        let by_id = settings.by_id()?;
        let own = MemberId::of(&settings.own);
        let rings = links::rings(by_id.keys().copied().collect(), settings.links);
        let mut fleet = Fleet {
            own,
            member: Member { name: settings.own, zone: "".into() },
            carrier: settings.carrier,
            max_message: settings.max_message,
            timing: settings.timing,
            links: settings.links,
            incarnation: (u64::from(start) << 32).min(MAX_INCARNATION) + 1,
            number: 0,
            last_jump: None,
            last_heard: None,
            store: UpdateStore::new(by_id.len()),
            peers: BTreeMap::new(),
            rings,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            probe_order: Vec::new(),
            sequence: 0,
            local_health: 0,
            queued_direct: VecDeque::new(),
            next_round: None,
            next_gossip: None,
            next_sync: 0,
            next_sync_peer: None,
            next_retry: 0,
            last_notices: BTreeMap::new(),
            lists_differ: false,
            rng: SmallRng::seed_from_u64(seed),
            stats: Stats::default(),
        };
        fleet.sequence = fleet.rng.random();
        for (id, member) in by_id {
            if id == own {
                fleet.member = member;
                continue;
            }
            fleet.peers.insert(id, Peer::never_heard(member));
        }
        fleet.store.set_state(own, State::Alive, fleet.incarnation, own);
        Ok(fleet)
    }

    /// Handles an input, and then everything that is due at `now`.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        self.adjust_timers(now, out);
        match input {
            Input::Received { from, bytes } => self.handle_message(now, from, bytes, out),
            Input::Linked(id) => self.handle_linked(now, id, out),
            Input::Unlinked(id) => self.handle_unlinked(now, id, out),
            Input::Publish { kind, bytes } => self.publish(now, kind, bytes, out),
            Input::Direct { to, bytes } => self.send_direct(now, to, bytes, out),
            // Due work is not run here: the transport may learn of the new members only after this call.
            Input::Members(members) => return self.change_members(now, members, out),
            Input::Timeout => {}
        }
        self.run_due(now, out);
    }

    /// Returns the time at which the fleet must be run next at the latest, or none before its first run.
    pub fn wake(&self) -> Option<Micros> {
        let mut wake = self.next_round?.min(self.next_sync).min(self.next_retry);
        if let (Some(gossip), true) = (self.next_gossip, self.store.has_pending()) {
            wake = wake.min(gossip);
        }
        let probes = self.probes.values().map(|probe| probe.due);
        let suspicions = self.suspicions.values().map(|suspicion| suspicion.due);
        Some(probes.chain(suspicions).fold(wake, Micros::min))
    }

    /// Returns the newest fact of this kind of each member that is not gone, including the node itself.
    pub fn facts(&self, now: Micros, kind: Kind) -> impl Iterator<Item = Fact> + '_ {
        let origins = self.peers.iter().filter(|(_, peer)| peer.state != State::Gone).map(|(id, _)| *id);
        let life = self.timing.life;
        std::iter::once(self.own)
            .chain(origins)
            .filter_map(move |origin| self.store.fact(now, origin, kind))
            .filter(move |fact| fact.age <= life)
    }

    /// Returns all members, the node itself first and the others by digest, with state and incarnation.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, &Member, State, u64)> + '_ {
        let own = (self.own, &self.member, State::Alive, self.incarnation);
        let others = self.peers.iter().map(|(id, peer)| (*id, &peer.member, peer.state, peer.incarnation));
        std::iter::once(own).chain(others)
    }

    /// Returns the number of members that are alive, including the node itself but no suspects.
    pub fn alive(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.state == State::Alive).count()
    }

    /// Returns the time since a message of any member was received, in microseconds; none if there never was
    /// one. After a few rounds of silence it is most likely this node that is cut off, long before it has
    /// probed all others and holds them to be gone.
    pub fn quiet(&self, now: Micros) -> Option<Micros> {
        self.last_heard.map(|last| now - last)
    }

    /// Returns the id of the node itself.
    pub fn own(&self) -> MemberId {
        self.own
    }

    /// Returns the counters since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Starts the timers at the first call, at random offsets. At a call that comes far too late, all
    /// deadlines are extended by the time that was missed, so that it is not counted as silence of other
    /// nodes.
    fn adjust_timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(due) = self.wake() else {
            self.next_round = Some(now + self.rng.random_range(0..self.timing.round));
            self.next_sync = now + self.rng.random_range(0..self.timing.sync);
            self.next_retry = now + self.rng.random_range(0..self.timing.retry);
            self.next_gossip = Some(now + self.rng.random_range(0..self.timing.gossip));
            return;
        };
        let late = now.saturating_sub(due);
        if late <= self.timing.round {
            return;
        }
        self.probes.values_mut().for_each(|probe| probe.due += late);
        self.suspicions.values_mut().for_each(|suspicion| suspicion.due += late);
        self.peers.values_mut().for_each(|peer| {
            peer.connect_deadline = peer.connect_deadline.map(|until| until + late);
            peer.keep_until += late;
        });
        self.next_round = Some(now + self.rng.random_range(0..self.timing.round));
        self.next_sync = now + self.rng.random_range(0..self.timing.sync);
        self.next_retry = now + self.rng.random_range(0..self.timing.retry);
        self.notice(now, Notice::Paused(late), out);
    }

    fn run_due(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.expire_probes(now, out);
        self.expire_suspicions(now, out);
        if self.next_round.is_some_and(|due| due <= now) {
            self.next_round = Some(now + self.timing.round);
            self.store.drop_expired(now, self.timing.life);
            self.relays.retain(|_, relay| relay.until > now);
            self.maintain_links(now, out);
            self.expire_queued(now, out);
            self.probe_next(now, out);
        }
        if self.next_retry <= now {
            self.next_retry = now + self.timing.retry;
            self.retry_gone(now, out);
        }
        if self.next_sync <= now {
            self.next_sync = now + self.timing.sync;
            self.start_sync(now, out);
        }
        if self.next_gossip.is_some_and(|due| due <= now) && self.store.has_pending() {
            self.next_gossip = Some(now + self.timing.gossip);
            self.send_gossip(now, out);
        }
    }

    fn handle_message(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Vec<Output>) {
        if !self.peers.contains_key(&from) {
            return self.report_stranger(now, from, out);
        }
        let message = (bytes.len() <= self.max_message).then(|| read(bytes)).flatten();
        let plausible = |header: &Header| u64::from(header.incarnation) <= MAX_INCARNATION;
        let Some((header, body, updates)) = message.filter(|(header, ..)| plausible(header)) else {
            self.stats.unreadable += 1;
            self.notice(now, Notice::Unreadable(from), out);
            return;
        };
        if header.from != from && !plant::active(Plant::AcceptsForgedSender) {
            self.stats.impostors += 1;
            self.notice(now, Notice::ForgedSender(from), out);
            return;
        }
        let from = header.from;
        point!(FLEET_HEAR);
        self.stats.heard += 1;
        self.last_heard = Some(now);
        let incarnation = u64::from(header.incarnation);
        if let Some(peer) = self.peers.get_mut(&from) {
            if crate::start_of(incarnation) < crate::start_of(peer.incarnation) {
                // An earlier process, or one started with a clock that went back: it is told the incarnation
                // that the fleet remembers.
                self.stats.stale += 1;
                self.send(now, from, Body::Updates, out);
                return;
            }
            peer.avoid_until = 0;
        }
        self.apply_claim(now, from, State::Alive, incarnation, from, out);
        let before = self.incarnation;
        if let Some((state, held)) = header.receiver {
            self.apply_own_claim(now, state, held.into(), out);
        }
        let is_repair = matches!(body, Body::Repair);
        let mut repaired = 0;
        for update in updates {
            repaired += u64::from(self.apply_update(now, update, out) && is_repair);
        }
        if repaired > 0 {
            // The same member probably has more updates that this node lacks.
            self.stats.repaired += repaired;
            if let Some(peer) = self.peers.get_mut(&from) {
                peer.futile_syncs = 0;
            }
            self.next_sync = self.next_sync.min(now + self.timing.gossip);
        }
        if self.incarnation != before {
            // The node that holds an outdated state of this one is the first to be told.
            self.send(now, from, Body::Updates, out);
        }
        match body {
            Body::Updates | Body::Repair => {}
            Body::Ping(sequence) => self.send(now, from, Body::Ack(sequence), out),
            Body::Ack(sequence) => self.handle_ack(now, from, sequence, out),
            Body::PingRequest(sequence, target) => self.handle_ping_request(now, from, sequence, target, out),
            Body::RelayedAck(sequence) => self.probe_succeeded(sequence),
            Body::Digest(first, last, held, states) => {
                self.handle_digest(now, from, (first, last), &held, states, out);
            }
            Body::Fetch(keys) => self.send_missing(now, from, &keys, out),
            Body::Closing => {
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.closing = true;
                }
            }
            Body::Direct(bytes) => out.push(Output::Direct { from, bytes: bytes.to_vec() }),
        }
    }

    fn publish(&mut self, now: Micros, kind: Kind, bytes: Vec<u8>, out: &mut Vec<Output>) {
        if bytes.len() > MAX_FACT_BYTES || !self.store.has_room(self.own, kind) {
            self.stats.facts_dropped += 1;
            self.notice(now, Notice::FactDropped(self.own), out);
            return;
        }
        point!(FLEET_PUBLISH);
        self.number += 1;
        self.store.set_fact(self.own, kind, (self.incarnation, self.number), now, bytes);
    }

    fn send_direct(&mut self, now: Micros, to: MemberId, bytes: Vec<u8>, out: &mut Vec<Output>) {
        let mut size = self.header(to);
        append(&mut size, &Body::Direct(&bytes));
        let full = self.queued_direct.len() >= MAX_QUEUED_DIRECT;
        if size.len() > self.max_message || !self.peers.contains_key(&to) {
            self.drop_direct(now, to, out);
        } else if self.can_reach(to) {
            if let Some(peer) = self.peers.get_mut(&to) {
                // A connection that is in use is kept.
                peer.keep_until = now + self.timing.meet;
            }
            self.send(now, to, Body::Direct(&bytes), out);
        } else if full {
            self.drop_direct(now, to, out);
        } else {
            self.queued_direct.push_back((now + self.timing.meet, to, bytes));
            self.connect_temporarily(now, to, out);
        }
    }

    fn drop_direct(&mut self, now: Micros, to: MemberId, out: &mut Vec<Output>) {
        self.stats.direct_dropped += 1;
        self.notice(now, Notice::DirectDropped(to), out);
    }

    fn expire_queued(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((_, to, _)) = self.queued_direct.front().filter(|(until, ..)| *until <= now) {
            let to = *to;
            self.queued_direct.pop_front();
            self.drop_direct(now, to, out);
        }
    }

    fn header(&self, to: MemberId) -> Vec<u8> {
        let peer = self.peers.get(&to).filter(|peer| peer.incarnation > 0);
        let receiver = peer.map(|peer| (peer.state, peer.incarnation.into()));
        let mut bytes = Vec::with_capacity(self.max_message.min(512));
        append(&mut bytes, &Header { from: self.own, incarnation: self.incarnation.into(), receiver });
        bytes
    }

    /// Returns whether a message can be sent to the member now.
    fn can_reach(&self, to: MemberId) -> bool {
        self.peers.get(&to).is_some_and(|peer| self.carrier == Transport::Notes || peer.linked)
    }

    /// Sends a message, filled up with as many pending updates as fit.
    fn send(&mut self, now: Micros, to: MemberId, body: Body<'_>, out: &mut Vec<Output>) {
        if !self.can_reach(to) {
            return;
        }
        let mut bytes = self.header(to);
        append(&mut bytes, &body);
        self.store.add_pending(now, self.timing.life, &mut bytes, self.max_message);
        self.emit(to, bytes, out);
    }

    fn emit(&mut self, to: MemberId, bytes: Vec<u8>, out: &mut Vec<Output>) {
        point!(FLEET_SEND);
        self.stats.told += 1;
        self.stats.told_bytes += bytes.len() as u64;
        out.push(Output::Send { to, bytes });
    }

    /// Records a message of, or about, a process that is not a member.
    fn report_stranger(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        self.lists_differ = true;
        self.stats.strangers += 1;
        self.notice(now, Notice::Stranger(id), out);
    }

    fn notice(&mut self, now: Micros, notice: Notice, out: &mut Vec<Output>) {
        let sort = match notice {
            Notice::Stranger(_) => 0,
            Notice::ForgedSender(_) => 1,
            Notice::Unreadable(_) => 2,
            Notice::IncarnationRaised => 3,
            Notice::Paused(_) => 4,
            Notice::DirectDropped(_) => 5,
            Notice::FactDropped(_) => 6,
            Notice::MembersRefused(_) => 7,
        };
        if self.last_notices.get(&sort).is_none_or(|last| now - last >= self.timing.notice) {
            self.last_notices.insert(sort, now);
            out.push(Output::Notice(notice));
        }
    }
}
