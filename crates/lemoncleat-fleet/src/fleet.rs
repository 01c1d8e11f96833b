//! One node's view of the fleet.

use std::collections::{BTreeMap, VecDeque};

use lemoncleat_faults::point;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::message::{append, read, Body, Header};
use crate::plant::{self, Plant};
use crate::{Carrier, Member, MemberId, Micros, Settings, SettingsError, State, Timing};

mod links;
mod membership;
mod probes;
mod spread;
mod views;

use probes::{Probe, Relay, Suspicion};
use spread::Spread;

/// Most bytes of a fact, so that one fits into a note beside a header.
const MOST_FACT_BYTES: usize = 160;
/// Most kinds of facts of a node.
const MOST_KINDS: usize = 16;
/// Most words that wait for a connection.
const MOST_WAITING: usize = 128;
/// Incarnations above this are not believed: there must be room to jump above each.
const MOST_INCARNATION: u64 = (u32::MAX as u64 - 0xffff) << 32;

/// What a fact is about. Its meaning is others' business.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind(pub u8);

/// What a node has set out about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Who set it out.
    pub origin: MemberId,
    /// What it is about.
    pub kind: Kind,
    /// The origin's incarnation when it was set out.
    pub incarnation: u64,
    /// Grows with each fact of an incarnation.
    pub number: u64,
    /// How long ago it was set out, at least: spans spent at members are summed, those spent on the way are not.
    pub age: Micros,
    /// The fact itself; at most 160 bytes.
    pub bytes: Vec<u8>,
}

/// What a fleet is told.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A message has come from this member, as its carrier knows it.
    Heard {
        /// Who sent it.
        from: MemberId,
        /// The message.
        bytes: &'a [u8],
    },
    /// There is a connection to this member, whoever sought it. Not under [`Carrier::Notes`].
    Linked(MemberId),
    /// The connection to this member has ended.
    Unlinked(MemberId),
    /// An own fact is to be set out, in place of the one of its kind.
    Publish {
        /// What it is about.
        kind: Kind,
        /// At most 160 bytes; with more it is dropped, with a notice.
        bytes: Vec<u8>,
    },
    /// Bytes of another core are to reach one member, once at most. Over connections they wait for one.
    Direct {
        /// Who is to have them.
        to: MemberId,
        /// What does not fit into one message is dropped, with a notice.
        bytes: Vec<u8>,
    },
    /// All members from now on, in any order. What is held of those that stay is kept, those that are new are gone
    /// until they are heard of, and those that went are forgotten: their words are a stranger's. A list that can't be
    /// used, as [`Fleet::check_members`] tells, changes nothing and is told by a notice.
    Members(Vec<Member>),
    /// [`Fleet::wake`] is due.
    Timeout,
}

/// What a fleet asks for or tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this message.
    Tell {
        /// To this member.
        to: MemberId,
        /// At most [`Settings::max_message`] bytes.
        bytes: Vec<u8>,
    },
    /// Connect to this member; [`Input::Linked`] tells that it worked, nothing that it did not.
    Meet(MemberId),
    /// End the connection to this member, after all that it was told, if this node made it. [`Input::Unlinked`] tells
    /// that it has ended; one that the member made may stay, and goes on being used.
    Part(MemberId),
    /// A newer fact of another member, or one of a member that is back.
    Fact(Fact),
    /// What is held of a member has changed.
    State {
        /// The member.
        member: MemberId,
        /// What is held of it now.
        state: State,
        /// The incarnation that it is held of.
        incarnation: u64,
    },
    /// Bytes from the core of another member.
    Direct {
        /// Who sent them.
        from: MemberId,
        /// What was sent.
        bytes: Vec<u8>,
    },
    /// Something for the log; of each sort one now and then.
    Notice(Notice),
}

/// Something for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Notice {
    /// A message came from a process that is not a member.
    Stranger(MemberId),
    /// A message of this member calls itself another.
    Impostor(MemberId),
    /// A message of this member can't be read.
    Unreadable(MemberId),
    /// The fleet remembers a later start of this node, or another process has its name; it goes on above that.
    Jumped,
    /// The node had no turn for some time, in microseconds, and holds nobody's silence in it against them.
    Paused(Micros),
    /// Bytes for this member were dropped: too many, too large, or not connected in time.
    DirectDropped(MemberId),
    /// A fact was dropped: of an own or another's too many kinds, or too large.
    FactDropped(MemberId),
    /// A list of so many members can't be used; the one before stays.
    MembersRefused(usize),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Messages told.
    pub told: u64,
    /// Their bytes.
    pub told_bytes: u64,
    /// Messages heard of members.
    pub heard: u64,
    /// Words of processes that are not members.
    pub strangers: u64,
    /// Messages that call themselves another's.
    pub impostors: u64,
    /// Messages that can't be read.
    pub unreadable: u64,
    /// Messages and facts of an earlier process of a member.
    pub stale: u64,
    /// Probes begun.
    pub probes: u64,
    /// Suspicions from own probes.
    pub suspicions: u64,
    /// Suspicions of this node that it refuted.
    pub refuted: u64,
    /// Jumps above an incarnation that the fleet remembered.
    pub jumps: u64,
    /// Facts beyond a limit.
    pub facts_dropped: u64,
    /// Bytes of other cores that were dropped.
    pub direct_dropped: u64,
    /// Connections asked for.
    pub meets: u64,
    /// News that a comparison found and gossip had not brought.
    pub mended: u64,
}

/// What is held of another member.
struct Peer {
    member: Member,
    state: State,
    /// 0 until it was heard of.
    incarnation: u64,
    linked: bool,
    /// This node asked for the connection, and may end it.
    sought: bool,
    /// The other side has said that it ends the connection, so its end is no bad sign.
    parting: bool,
    /// A connection was asked for, and is waited for until then.
    meeting: Option<Micros>,
    /// A connection is of use until then, whether or not it is one of the few that the node keeps.
    keep: Micros,
    /// No connection came; it is not one of the few until then.
    avoid: Micros,
    /// Comparisons with it that were hurried in vain, one after another. Nodes that hold different lists of members
    /// never hold the same states: without an end they would compare several times a second for as long as that lasts.
    futile: u32,
}

impl Peer {
    /// A member that was never heard of.
    fn unheard(member: Member) -> Peer {
        let (state, incarnation, meeting) = (State::Gone, 0, None);
        let (linked, sought, parting) = (false, false, false);
        let (keep, avoid, futile) = (0, 0, 0);
        Peer { member, state, incarnation, linked, sought, parting, meeting, keep, avoid, futile }
    }
}

/// One node's view of who is there and of what the others have set out.
pub struct Fleet {
    own: MemberId,
    member: Member,
    carrier: Carrier,
    max_message: usize,
    timing: Timing,
    /// How many connections the node seeks.
    links: usize,
    incarnation: u64,
    number: u64,
    jumped: Option<Micros>,
    last_heard: Option<Micros>,
    peers: BTreeMap<MemberId, Peer>,
    spread: Spread,
    /// The members in several orders that all nodes know; the next after itself is one that a node seeks.
    rings: Vec<Vec<MemberId>>,
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    suspicions: BTreeMap<MemberId, Suspicion>,
    /// In which order members are probed, the next one last.
    order: Vec<MemberId>,
    sequence: u32,
    /// How often in a row the node's own probes failed without a word of anybody (Lifeguard's local health).
    unwell: u32,
    waiting: VecDeque<(Micros, MemberId, Vec<u8>)>,
    next_round: Option<Micros>,
    next_gossip: Option<Micros>,
    next_sync: Micros,
    /// Whom the next comparison is with: one whose states were found to differ.
    sync_with: Option<MemberId>,
    next_retry: Micros,
    noticed: BTreeMap<u8, Micros>,
    /// Others hold another list of members, or did: they named somebody who is none here, or the own list changed.
    lists_differ: bool,
    rng: SmallRng,
    stats: Stats,
}

impl Fleet {
    /// A node that starts. `start` is in seconds and grows with each start of the node, as Origin-State-Id does
    /// (RFC 6733 section 8.16); `seed` spreads the nodes' rounds.
    ///
    /// # Errors
    ///
    /// When the settings can't be used.
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
            incarnation: (u64::from(start) << 32).min(MOST_INCARNATION) + 1,
            number: 0,
            jumped: None,
            last_heard: None,
            spread: Spread::new(by_id.len()),
            peers: BTreeMap::new(),
            rings,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            order: Vec::new(),
            sequence: 0,
            unwell: 0,
            waiting: VecDeque::new(),
            next_round: None,
            next_gossip: None,
            next_sync: 0,
            sync_with: None,
            next_retry: 0,
            noticed: BTreeMap::new(),
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
            fleet.peers.insert(id, Peer::unheard(member));
        }
        fleet.spread.set_state(own, State::Alive, fleet.incarnation, own);
        Ok(fleet)
    }

    /// The fleet is told something, or that it is time.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        self.start_clocks(now, out);
        match input {
            Input::Heard { from, bytes } => self.heard(now, from, bytes, out),
            Input::Linked(id) => self.linked(now, id, out),
            Input::Unlinked(id) => self.unlinked(now, id, out),
            Input::Publish { kind, bytes } => self.publish(now, kind, bytes, out),
            Input::Direct { to, bytes } => self.direct(now, to, bytes, out),
            // Nothing that is due is done at once: whoever carries the words may learn of the new members later.
            Input::Members(members) => return self.change_members(now, members, out),
            Input::Timeout => {}
        }
        self.due(now, out);
    }

    /// When the fleet needs a turn at the latest; none before its first.
    pub fn wake(&self) -> Option<Micros> {
        let mut wake = self.next_round?.min(self.next_sync).min(self.next_retry);
        if let (Some(gossip), true) = (self.next_gossip, self.spread.is_hot()) {
            wake = wake.min(gossip);
        }
        let probes = self.probes.values().map(|probe| probe.due);
        let suspicions = self.suspicions.values().map(|suspicion| suspicion.due);
        Some(probes.chain(suspicions).fold(wake, Micros::min))
    }

    /// The newest fact of this kind of each member that is not gone, the node itself among them.
    pub fn facts(&self, now: Micros, kind: Kind) -> impl Iterator<Item = Fact> + '_ {
        let origins = self.peers.iter().filter(|(_, peer)| peer.state != State::Gone).map(|(id, _)| *id);
        let life = self.timing.life;
        std::iter::once(self.own)
            .chain(origins)
            .filter_map(move |origin| self.spread.fact(now, origin, kind))
            .filter(move |fact| fact.age <= life)
    }

    /// All members by digest, the node itself first, with what is held of them and of which incarnation.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, &Member, State, u64)> + '_ {
        let own = (self.own, &self.member, State::Alive, self.incarnation);
        let others = self.peers.iter().map(|(id, peer)| (*id, &peer.member, peer.state, peer.incarnation));
        std::iter::once(own).chain(others)
    }

    /// How many members are alive, the node itself among them; suspects are not.
    pub fn alive(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.state == State::Alive).count()
    }

    /// How long no member at all has been heard, in microseconds; none if never. After a few rounds of silence it
    /// is most likely this node that is cut off, long before it has probed all others and holds them for gone.
    pub fn quiet(&self, now: Micros) -> Option<Micros> {
        self.last_heard.map(|last| now - last)
    }

    /// The node itself.
    pub fn own(&self) -> MemberId {
        self.own
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// At the first turn rounds begin, at a moment drawn for this node. At a turn that comes far too late, the
    /// time that was missed is nobody's silence.
    fn start_clocks(&mut self, now: Micros, out: &mut Vec<Output>) {
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
            peer.meeting = peer.meeting.map(|until| until + late);
            peer.keep += late;
        });
        self.next_round = Some(now + self.rng.random_range(0..self.timing.round));
        self.next_sync = now + self.rng.random_range(0..self.timing.sync);
        self.next_retry = now + self.rng.random_range(0..self.timing.retry);
        self.notice(now, Notice::Paused(late), out);
    }

    fn due(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.due_probes(now, out);
        self.due_suspicions(now, out);
        if self.next_round.is_some_and(|due| due <= now) {
            self.next_round = Some(now + self.timing.round);
            self.spread.bury(now, self.timing.life);
            self.relays.retain(|_, relay| relay.until > now);
            self.tend_links(now, out);
            self.age_waiting(now, out);
            self.probe_next(now, out);
        }
        if self.next_retry <= now {
            self.next_retry = now + self.timing.retry;
            self.try_gone(now, out);
        }
        if self.next_sync <= now {
            self.next_sync = now + self.timing.sync;
            self.compare(now, out);
        }
        if self.next_gossip.is_some_and(|due| due <= now) && self.spread.is_hot() {
            self.next_gossip = Some(now + self.timing.gossip);
            self.pass_on(now, out);
        }
    }

    fn heard(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Vec<Output>) {
        if !self.peers.contains_key(&from) {
            return self.stranger(now, from, out);
        }
        let message = (bytes.len() <= self.max_message).then(|| read(bytes)).flatten();
        let believed = |header: &Header| u64::from(header.incarnation) <= MOST_INCARNATION;
        let Some((header, body, news)) = message.filter(|(header, ..)| believed(header)) else {
            self.stats.unreadable += 1;
            self.notice(now, Notice::Unreadable(from), out);
            return;
        };
        if header.from != from && !plant::is(Plant::Credulous) {
            self.stats.impostors += 1;
            self.notice(now, Notice::Impostor(from), out);
            return;
        }
        let from = header.from;
        point!(FLEET_HEAR);
        self.stats.heard += 1;
        self.last_heard = Some(now);
        let incarnation = u64::from(header.incarnation);
        if let Some(peer) = self.peers.get_mut(&from) {
            if crate::start_of(incarnation) < crate::start_of(peer.incarnation) {
                // An earlier process, or a start whose clock went back: it is told what the fleet remembers.
                self.stats.stale += 1;
                self.tell(now, from, Body::News, out);
                return;
            }
            peer.avoid = 0;
        }
        self.claim(now, from, State::Alive, incarnation, from, out);
        let before = self.incarnation;
        if let Some((state, held)) = header.you {
            self.claim_of_own(now, state, held.into(), out);
        }
        let filled = matches!(body, Body::Filled);
        let mut mended = 0;
        for one in news {
            mended += u64::from(self.take(now, one, out) && filled);
        }
        if mended > 0 {
            // There is probably more where that came from.
            self.stats.mended += mended;
            if let Some(peer) = self.peers.get_mut(&from) {
                peer.futile = 0;
            }
            self.next_sync = self.next_sync.min(now + self.timing.gossip);
        }
        if self.incarnation != before {
            // Who holds something wrong of this node hears so first.
            self.tell(now, from, Body::News, out);
        }
        match body {
            Body::News | Body::Filled => {}
            Body::Ping(sequence) => self.tell(now, from, Body::Ack(sequence), out),
            Body::Ack(sequence) => self.acked(now, from, sequence, out),
            Body::Ask(sequence, target) => self.asked(now, from, sequence, target, out),
            Body::Relayed(sequence) => self.relayed(sequence),
            Body::Digest(first, last, held, states) => {
                self.compared(now, from, (first, last), &held, states, out);
            }
            Body::Want(keys) => self.fill(now, from, &keys, out),
            Body::Bye => {
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.parting = true;
                }
            }
            Body::Direct(bytes) => out.push(Output::Direct { from, bytes: bytes.to_vec() }),
        }
    }

    fn publish(&mut self, now: Micros, kind: Kind, bytes: Vec<u8>, out: &mut Vec<Output>) {
        if bytes.len() > MOST_FACT_BYTES || !self.spread.has_room(self.own, kind) {
            self.stats.facts_dropped += 1;
            self.notice(now, Notice::FactDropped(self.own), out);
            return;
        }
        point!(FLEET_PUBLISH);
        self.number += 1;
        self.spread.set_fact(self.own, kind, (self.incarnation, self.number), now, bytes);
    }

    fn direct(&mut self, now: Micros, to: MemberId, bytes: Vec<u8>, out: &mut Vec<Output>) {
        let mut size = self.header(to);
        append(&mut size, &Body::Direct(&bytes));
        let full = self.waiting.len() >= MOST_WAITING;
        if size.len() > self.max_message || !self.peers.contains_key(&to) {
            self.drop_direct(now, to, out);
        } else if self.reaches(to) {
            if let Some(peer) = self.peers.get_mut(&to) {
                // One that is of use is kept.
                peer.keep = now + self.timing.meet;
            }
            self.tell(now, to, Body::Direct(&bytes), out);
        } else if full {
            self.drop_direct(now, to, out);
        } else {
            self.waiting.push_back((now + self.timing.meet, to, bytes));
            self.meet(now, to, out);
        }
    }

    fn drop_direct(&mut self, now: Micros, to: MemberId, out: &mut Vec<Output>) {
        self.stats.direct_dropped += 1;
        self.notice(now, Notice::DirectDropped(to), out);
    }

    fn age_waiting(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((_, to, _)) = self.waiting.front().filter(|(until, ..)| *until <= now) {
            let to = *to;
            self.waiting.pop_front();
            self.drop_direct(now, to, out);
        }
    }

    fn header(&self, to: MemberId) -> Vec<u8> {
        let peer = self.peers.get(&to).filter(|peer| peer.incarnation > 0);
        let you = peer.map(|peer| (peer.state, peer.incarnation.into()));
        let mut bytes = Vec::with_capacity(self.max_message.min(512));
        append(&mut bytes, &Header { from: self.own, incarnation: self.incarnation.into(), you });
        bytes
    }

    /// Whether the member can be told something now.
    fn reaches(&self, to: MemberId) -> bool {
        self.peers.get(&to).is_some_and(|peer| self.carrier == Carrier::Notes || peer.linked)
    }

    /// A message, with as much news as fits beside what it is for.
    fn tell(&mut self, now: Micros, to: MemberId, body: Body<'_>, out: &mut Vec<Output>) {
        if !self.reaches(to) {
            return;
        }
        let mut bytes = self.header(to);
        append(&mut bytes, &body);
        self.spread.add_news(now, self.timing.life, &mut bytes, self.max_message);
        self.give_out(to, bytes, out);
    }

    fn give_out(&mut self, to: MemberId, bytes: Vec<u8>, out: &mut Vec<Output>) {
        point!(FLEET_SEND);
        self.stats.told += 1;
        self.stats.told_bytes += bytes.len() as u64;
        out.push(Output::Tell { to, bytes });
    }

    /// A word of somebody who is no member, or about him.
    fn stranger(&mut self, now: Micros, id: MemberId, out: &mut Vec<Output>) {
        self.lists_differ = true;
        self.stats.strangers += 1;
        self.notice(now, Notice::Stranger(id), out);
    }

    fn notice(&mut self, now: Micros, notice: Notice, out: &mut Vec<Output>) {
        let sort = match notice {
            Notice::Stranger(_) => 0,
            Notice::Impostor(_) => 1,
            Notice::Unreadable(_) => 2,
            Notice::Jumped => 3,
            Notice::Paused(_) => 4,
            Notice::DirectDropped(_) => 5,
            Notice::FactDropped(_) => 6,
            Notice::MembersRefused(_) => 7,
        };
        if self.noticed.get(&sort).is_none_or(|last| now - last >= self.timing.notice) {
            self.noticed.insert(sort, now);
            out.push(Output::Notice(notice));
        }
    }
}
