//! The state machine of one node: spreads announcements, fetches texts, applies versions and persists a copy.

mod fetch;
mod operators;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::ledger::{bounded_line, Announcement, Command, Ledger};
use crate::limits::{Timing, NOTICE_INTERVAL_US, PERSIST_RETRY_US, START_LEADER_AGE_US, START_WAIT_US};
use crate::message::{Calls, Message, Report};
use crate::packed::Version;
use crate::plant::{self, Plant};
use crate::query::{Queries, Query, VersionCounts};
use crate::rollout::{roles, Rollout};
use crate::saved_copy::SavedCopy;
use crate::Micros;
use fetch::Fetch;
use operators::PendingChange;

/// A member of the fleet and its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's number, the same at all nodes.
    pub id: u32,
    /// The member's zone.
    pub zone: Arc<str>,
}

/// The settings of a distributor.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's own number.
    pub own: u32,
    /// All members, in any order.
    pub members: Vec<Member>,
    /// The members that replicate the log.
    pub voters: Vec<u32>,
    /// The length of the fleet's round. Beats and watch windows scale with it, clamped to 0.2 to 1 s.
    pub round: Micros,
}

/// An event for [`Distributor::handle`].
#[derive(Debug)]
pub enum Input<'a> {
    /// The copy read from disk at the start, or the error that prevented it. Sent once, before all other
    /// input.
    Loaded(Result<Option<Vec<u8>>, String>),
    /// The time returned by [`Distributor::wake`] was reached.
    Timeout,
    /// A connection with this member was established.
    Connected(u32),
    /// The connection with this member was closed.
    Disconnected(u32),
    /// A message of a member arrived.
    Received {
        /// The sender.
        from: u32,
        /// The encoded message.
        bytes: &'a [u8],
    },
    /// At a voter: the ledger, at the start and after each applied command.
    Ledger(&'a Ledger),
    /// At a voter: whether this node is the leader.
    Leading(bool),
    /// The result of [`Output::Apply`].
    Applied {
        /// The number of the version.
        number: u64,
        /// `Ok` if it is in force, else the reason of the failure.
        result: Result<(), String>,
    },
    /// The result of [`Output::Persist`].
    Persisted(Result<(), String>),
    /// The node's call counters since its start.
    Calls(Calls),
    /// A change by an operator. The driver has validated the text.
    Change {
        /// The operator's connection, for the answer.
        conn: u64,
        /// The operator's identifier of the order.
        order: &'a str,
        /// The number of the version that the change is based on.
        parent: u64,
        /// The text of the new version.
        text: &'a str,
    },
    /// An operator asks which members have which version in force.
    Query {
        /// The operator's connection, for the answer.
        conn: u64,
    },
    /// The member list changed.
    Members(Vec<Member>),
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this message to a member. It may be lost.
    Send {
        /// The receiver: a neighbour or a voter.
        to: u32,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Put this version in force atomically and report [`Input::Applied`]. Number 0 with an empty text stands
    /// for the settings of the node's file.
    Apply {
        /// The number of the version.
        number: u64,
        /// The text of the version.
        text: String,
    },
    /// Durably replace the saved copy by these bytes and report [`Input::Persisted`].
    Persist(Vec<u8>),
    /// The version in force at the start is decided. Sent once.
    Ready,
    /// At a voter: propose this command to the log.
    Propose(Vec<u8>),
    /// Answer the operator on this connection.
    Answer {
        /// The connection.
        conn: u64,
        /// The answer.
        answer: Answer,
    },
    /// An event to be logged.
    Notice(Notice),
}

/// An answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The order is agreed as the version of this number, and the canaries start its trial.
    Agreed {
        /// The operator's identifier of the order.
        order: String,
        /// The version's number.
        number: u64,
    },
    /// The order was refused.
    Refused {
        /// The operator's identifier of the order.
        order: String,
        /// The reason, on one line.
        error: String,
    },
    /// The number of members for each version in force.
    Counted {
        /// The settled version's number.
        newest: u64,
        /// The number of members that answered.
        answered: u32,
        /// The number of all members.
        of: u32,
        /// The counts by version.
        counts: VersionCounts,
    },
}

/// An event that an operator should see in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This version is in force at this node; 0 stands for the node's file.
    InForce(u64),
    /// This version can't be used at this node; with the reason.
    Refused(u64, String),
    /// A trial started or ended at this step.
    Step(Announcement),
    /// The saved copy is not used; with the reason.
    CopyUnusable(String),
    /// The copy can't be saved; with the reason.
    PersistFailed(String),
    /// This member served a text that does not match this version's digest.
    WrongText(u32, u64),
    /// A message of this sender was discarded: it is unreadable or too long, or the sender is not a member.
    MessageDiscarded(u32),
}

/// The progress of the newest change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No version was ever agreed.
    None,
    /// A version is under trial.
    Trial,
    /// The newest version is settled for all members.
    All,
}

/// The configuration state of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The number of the version in force; 0 for the node's file.
    pub in_force: u64,
    /// The version in force.
    pub version: Option<Version>,
    /// The newest version number that the node knows of.
    pub newest: u64,
    /// The step of the held announcement.
    pub step: u64,
    /// The progress of the newest version.
    pub phase: Phase,
    /// Whether this node is a canary.
    pub canary: bool,
    /// The time since the leader last confirmed the announcement, in microseconds; none if it never did.
    pub age: Option<Micros>,
    /// The reason why the wanted version is not in force, if it was refused.
    pub refused: Option<String>,
    /// Whether a neighbour or the log confirmed the state since the start; otherwise it comes from the saved
    /// copy.
    pub confirmed: bool,
}

/// Message counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of the messages sent.
    pub sent_bytes: u64,
    /// Bytes of text chunks sent.
    pub served_bytes: u64,
    /// Received messages that could not be decoded or were too long.
    pub unreadable: u64,
    /// Received messages whose sender is not a member.
    pub unknown_senders: u64,
    /// Received messages that answer no pending request.
    pub unexpected: u64,
}

#[derive(Default)]
struct Peer {
    /// The step of the last announcement or beat of this neighbour.
    step: Option<u64>,
    /// The numbers of the texts that the neighbour holds.
    holds: [u64; 2],
}

/// The configuration state machine of one node.
pub struct Distributor {
    own: u32,
    members: Vec<Member>,
    ids: BTreeSet<u32>,
    voters: Vec<u32>,
    timing: Timing,
    peers: BTreeMap<u32, Peer>,
    held: Announcement,
    /// The time at which the leader last confirmed the announcement.
    leader_confirmed_at: Option<Micros>,
    texts: BTreeMap<u64, (Version, Vec<u8>)>,
    in_force: Option<Version>,
    applying: Option<Option<Version>>,
    /// The step and number of the refused version, and the reason.
    refused: Option<(u64, u64, String)>,
    canary: bool,
    control: bool,
    calls: Calls,
    calls_before: Calls,
    report_at: Option<Micros>,
    beat_at: Micros,
    last_beat_peer: u32,
    fetch: Option<Fetch>,
    /// For a neighbour and a version's number, the time until which the text is preferably fetched elsewhere.
    avoid_until: BTreeMap<(u32, u64), Micros>,
    /// The end of the wait at the start; none before the first input.
    start_deadline: Option<Micros>,
    confirmed: bool,
    started: bool,
    /// The version of the saved copy, unless that proved unusable.
    saved_copy: Option<Version>,
    persisting: Option<Version>,
    persist_after: Micros,
    ledger: Option<Ledger>,
    leading: bool,
    rollout: Option<Rollout>,
    pending_changes: Vec<PendingChange>,
    /// At a voter: orders of other nodes that are not agreed yet, and when they expire.
    forwarded_orders: BTreeMap<(String, u32), Micros>,
    next_voter: usize,
    queries: Queries,
    last_query: u64,
    discard_notice_at: Option<Micros>,
    stats: Stats,
}

impl Distributor {
    /// Creates a distributor without any version. The `seed` selects the first neighbour of the beat and the
    /// first query number, so that these differ between nodes and between restarts.
    pub fn new(settings: Settings, seed: u64) -> Distributor {
        let timing = Timing::new(settings.round);
        Distributor {
            own: settings.own,
            ids: settings.members.iter().map(|member| member.id).collect(),
            members: settings.members,
            voters: settings.voters,
            timing,
            peers: BTreeMap::new(),
            held: Announcement::default(),
            leader_confirmed_at: None,
            texts: BTreeMap::new(),
            in_force: None,
            applying: None,
            refused: None,
            canary: false,
            control: false,
            calls: Calls::default(),
            calls_before: Calls::default(),
            report_at: None,
            beat_at: 0,
            last_beat_peer: (seed >> 32) as u32,
            fetch: None,
            avoid_until: BTreeMap::new(),
            start_deadline: None,
            confirmed: false,
            started: false,
            saved_copy: None,
            persisting: None,
            persist_after: 0,
            ledger: None,
            leading: false,
            rollout: None,
            pending_changes: Vec::new(),
            forwarded_orders: BTreeMap::new(),
            next_voter: seed as usize % 5,
            queries: Queries::default(),
            last_query: seed,
            discard_notice_at: None,
            stats: Stats::default(),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        self.start_deadline.get_or_insert(now + START_WAIT_US);
        match input {
            Input::Loaded(loaded) => self.copy_loaded(now, loaded, out),
            Input::Timeout => {}
            Input::Connected(peer) => {
                if self.ids.contains(&peer) && peer != self.own {
                    self.peers.insert(peer, Peer::default());
                    self.announce(now, peer, out);
                }
            }
            Input::Disconnected(peer) => {
                self.peers.remove(&peer);
                self.queries.disconnected(peer);
            }
            Input::Received { from, bytes } => self.message_received(now, from, bytes, out),
            Input::Ledger(ledger) => {
                self.ledger = Some(ledger.clone());
                self.ledger_changed(now, out);
            }
            Input::Leading(leading) => {
                if leading && !self.leading {
                    if let Some(rollout) = &mut self.rollout {
                        rollout.start_leading(now);
                    }
                }
                self.leading = leading;
            }
            Input::Applied { number, result } => self.version_applied(now, number, result, out),
            Input::Persisted(result) => {
                if let (Some(version), Err(reason)) = (self.persisting.take(), &result) {
                    if self.saved_copy == Some(version) {
                        self.saved_copy = None;
                    }
                    self.persist_after = now + PERSIST_RETRY_US;
                    out.push(Output::Notice(Notice::PersistFailed(bounded_line(reason.clone()))));
                }
            }
            Input::Calls(calls) => self.calls = calls,
            Input::Change { conn, order, parent, text } => self.change(now, conn, order, parent, text, out),
            Input::Query { conn } => self.query_members(now, conn, out),
            Input::Members(members) => {
                self.ids = members.iter().map(|member| member.id).collect();
                self.members = members;
                let ids = &self.ids;
                self.peers.retain(|peer, _| ids.contains(peer));
            }
        }
        self.run_due_work(now, out);
    }

    /// Drops the pending changes of an operator whose connection was closed.
    pub fn operator_left(&mut self, conn: u64) {
        self.pending_changes.retain(|change| change.conn != conn);
    }

    /// Returns the latest time at which [`Input::Timeout`] is due.
    pub fn wake(&self) -> Option<Micros> {
        // While the driver applies a version, the start waits for its result instead of the timeout.
        let start = self.start_deadline.filter(|_| !self.started && self.applying.is_none());
        let rollout =
            self.rollout.as_ref().filter(|_| self.leading).map(|rollout| rollout.wake(&self.timing));
        let fetch = self.fetch.as_ref().map(|fetch| fetch.deadline);
        let pending_changes =
            self.pending_changes.iter().map(|change| change.retry_at.min(change.deadline)).min();
        let others = [start, rollout, fetch, pending_changes, self.report_at, self.queries.wake()];
        others.into_iter().flatten().chain([self.beat_at]).min()
    }

    /// Returns the configuration state of this node.
    pub fn status(&self, now: Micros) -> Status {
        let newest = self.held.trial.or(self.held.settled);
        Status {
            in_force: number(self.in_force),
            version: self.in_force,
            newest: number(newest),
            step: self.held.step,
            phase: match self.held {
                Announcement { trial: Some(_), .. } => Phase::Trial,
                Announcement { settled: Some(_), .. } => Phase::All,
                _ => Phase::None,
            },
            canary: self.canary,
            age: self.age(now),
            refused: self.refused.as_ref().map(|(.., reason)| reason.clone()),
            confirmed: self.confirmed,
        }
    }

    /// Returns the held announcement.
    pub fn announcement(&self) -> Announcement {
        self.held
    }

    /// Returns the message counters since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    fn run_due_work(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.leading && self.ledger.as_ref().is_some_and(|own| own.announcement().step == self.held.step) {
            self.leader_confirmed_at = Some(now);
        }
        self.fetch_missing(now, out);
        self.apply_wanted(now, out);
        self.persist_settled(now, out);
        self.report(now, out);
        self.propose_decision(now, out);
        self.propose_pending(now, out);
        self.answer_queries(now, out);
        if self.beat_at <= now {
            self.beat_at = now + self.timing.beat;
            self.beat(now, out);
        }
    }

    // ---- Sending ----

    fn send(&mut self, to: u32, message: &Message, out: &mut Vec<Output>) {
        let bytes = message.to_bytes();
        self.stats.sent += 1;
        self.stats.sent_bytes += bytes.len() as u64;
        out.push(Output::Send { to, bytes });
    }

    fn age(&self, now: Micros) -> Option<Micros> {
        self.leader_confirmed_at.map(|at| (now - at).max(0))
    }

    fn age_ms(&self, now: Micros) -> Option<u32> {
        self.age(now).map(|age| u32::try_from(age / 1_000).unwrap_or(u32::MAX))
    }

    fn holds(&self) -> [u64; 2] {
        let held = |version: Option<Version>| version.filter(|version| self.packed(version).is_some());
        [number(held(self.held.settled)), number(held(self.held.trial))]
    }

    fn packed(&self, version: &Version) -> Option<&[u8]> {
        let (held, packed) = self.texts.get(&version.number)?;
        (held == version).then_some(packed.as_slice())
    }

    fn announce(&mut self, now: Micros, to: u32, out: &mut Vec<Output>) {
        let (announcement, age_ms, holds) = (self.held, self.age_ms(now), self.holds());
        self.send(to, &Message::Announce { announcement, age_ms, holds }, out);
    }

    fn send_beat(&mut self, now: Micros, to: u32, out: &mut Vec<Output>) {
        let message = Message::Beat { step: self.held.step, age_ms: self.age_ms(now), holds: self.holds() };
        self.send(to, &message, out);
    }

    /// Sends the step and its age to the next neighbour, in round-robin order.
    fn beat(&mut self, now: Micros, out: &mut Vec<Output>) {
        let after = self.peers.range(self.last_beat_peer.saturating_add(1)..).next();
        let Some(to) = after.or(self.peers.iter().next()).map(|(peer, _)| *peer) else { return };
        self.last_beat_peer = to;
        if !plant::is_active(Plant::Mute) {
            self.send_beat(now, to, out);
        }
    }

    // ---- Receiving ----

    fn report_discarded(&mut self, now: Micros, from: u32, out: &mut Vec<Output>) {
        if self.discard_notice_at.is_none_or(|at| at + NOTICE_INTERVAL_US <= now) {
            self.discard_notice_at = Some(now);
            out.push(Output::Notice(Notice::MessageDiscarded(from)));
        }
    }

    fn message_received(&mut self, now: Micros, from: u32, bytes: &[u8], out: &mut Vec<Output>) {
        if !self.ids.contains(&from) || from == self.own {
            self.stats.unknown_senders += 1;
            return self.report_discarded(now, from, out);
        }
        let Some(message) = Message::read(bytes) else {
            self.stats.unreadable += 1;
            return self.report_discarded(now, from, out);
        };
        let expected = match message {
            Message::Announce { announcement, age_ms, holds } => {
                self.peer(from, announcement.step, holds);
                self.adopt(now, announcement, Some(from), age_ms, out);
                self.confirm(now, announcement.step, age_ms);
                if announcement.step < self.held.step {
                    self.announce(now, from, out);
                }
                true
            }
            Message::Beat { step, age_ms, holds } => {
                self.peer(from, step, holds);
                if step > self.held.step {
                    self.send(from, &Message::Ask, out);
                } else if step < self.held.step {
                    self.announce(now, from, out);
                } else {
                    self.confirm(now, step, age_ms);
                }
                true
            }
            Message::Ask => {
                self.announce(now, from, out);
                true
            }
            Message::Fetch { number, at } => {
                self.serve_chunk(from, number, at, out);
                true
            }
            Message::Chunk { number, at, bytes } => self.chunk_received(now, from, number, at, bytes, out),
            Message::Lacks { number } => self.text_lacking(now, from, number),
            Message::Report(report) => {
                if let Some(rollout) = &mut self.rollout {
                    rollout.record(now, from, report);
                }
                true
            }
            Message::Order { order, parent, packed } => {
                self.order_received(now, from, order, parent, packed, out)
            }
            Message::Verdict { order, verdict } => self.verdict_received(&order, &verdict, out),
            Message::Query { asker, query, depth, newest } => {
                let query = Query { key: (asker, query), depth, newest, parent: Some(from), conn: None };
                self.query_received(now, from, query, out);
                true
            }
            Message::Counts { asker, query, counts } => self.queries.receive((asker, query), from, counts),
        };
        if !expected {
            self.stats.unexpected += 1;
        }
    }

    fn peer(&mut self, from: u32, step: u64, holds: [u64; 2]) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.step = Some(step);
            peer.holds = holds;
        }
    }

    /// Takes over a reported time since the leader confirmed this step, if it is more recent.
    fn confirm(&mut self, now: Micros, step: u64, age_ms: Option<u32>) {
        let Some(age) = age_ms.filter(|_| step == self.held.step).map(|ms| Micros::from(ms) * 1_000) else {
            return;
        };
        self.leader_confirmed_at = Some(self.leader_confirmed_at.map_or(now - age, |at| at.max(now - age)));
        self.confirmed |= age <= START_LEADER_AGE_US;
    }

    /// At a voter: takes over texts, trial and announcement of the changed ledger.
    fn ledger_changed(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(ledger) = &self.ledger else { return };
        let announcement = ledger.announcement();
        for version in [announcement.settled, announcement.trial].into_iter().flatten() {
            let held = self.texts.get(&version.number).is_some_and(|(held, _)| *held == version);
            if let Some(packed) = ledger.packed(version.number).filter(|_| !held) {
                self.texts.insert(version.number, (version, packed.to_vec()));
            }
        }
        match (announcement.trial, &self.rollout) {
            (None, _) => self.rollout = None,
            (Some(_), Some(rollout)) if rollout.step() == announcement.step => {}
            (Some(trial), _) => {
                self.rollout = Some(Rollout::new(now, announcement.step, &self.members, &trial.digest));
            }
        }
        // A running voter applies commands as the leader commits them, so the announcement's age is 0.
        self.adopt(now, announcement, None, (self.leading || self.started).then_some(0), out);
        self.confirmed |= self.leading;
        self.answer_orders(out);
    }

    /// Replaces the held announcement by one of a higher step and forwards it to the neighbours.
    fn adopt(
        &mut self,
        now: Micros,
        announcement: Announcement,
        from: Option<u32>,
        age_ms: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        let accept_lower = plant::is_active(Plant::LowerStep) && announcement.step < self.held.step;
        if announcement.step <= self.held.step && !accept_lower {
            return;
        }
        self.held = announcement;
        self.leader_confirmed_at = age_ms.map(|ms| now - Micros::from(ms) * 1_000);
        self.refused = None;
        let named = [announcement.settled, announcement.trial];
        let saved_copy = self.saved_copy.filter(|_| !self.started);
        self.texts.retain(|_, (version, _)| named.contains(&Some(*version)) || saved_copy == Some(*version));
        self.avoid_until
            .retain(|(_, number), _| named.iter().flatten().any(|version| version.number == *number));
        let (canaries, controls) = match announcement.trial {
            Some(trial) => roles(&self.members, &trial.digest),
            None => Default::default(),
        };
        self.canary = canaries.contains(&self.own)
            || (plant::is_active(Plant::AllCanaries) && announcement.trial.is_some());
        self.control = controls.contains(&self.own) && !self.canary;
        self.calls_before = self.calls;
        self.report_at = (self.canary || self.control).then_some(now);
        out.push(Output::Notice(Notice::Step(announcement)));
        let behind = |peer: &Peer| peer.step.is_none_or(|step| step < announcement.step);
        let peers = self.peers.iter().filter(|(id, peer)| Some(**id) != from && behind(peer));
        for to in peers.map(|(id, _)| *id).collect::<Vec<_>>() {
            if !plant::is_active(Plant::Mute) {
                self.announce(now, to, out);
            }
        }
    }

    // ---- Version in force ----

    fn copy_loaded(&mut self, now: Micros, loaded: Result<Option<Vec<u8>>, String>, out: &mut Vec<Output>) {
        let saved = match loaded {
            Ok(None) => return,
            Ok(Some(bytes)) => SavedCopy::read(&bytes).map_err(str::to_owned),
            Err(reason) => Err(bounded_line(reason)),
        };
        match saved {
            Ok(SavedCopy { step, version, packed }) => {
                self.saved_copy = Some(version);
                self.texts.insert(version.number, (version, packed));
                self.adopt(now, Announcement { step, settled: Some(version), trial: None }, None, None, out);
            }
            Err(reason) => out.push(Output::Notice(Notice::CopyUnusable(reason))),
        }
    }

    fn wanted(&self) -> Option<Version> {
        if self.canary {
            self.held.trial
        } else {
            self.held.settled
        }
    }

    /// Applies the wanted version once the wait at the start is over and the text is available.
    fn apply_wanted(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.applying.is_some() {
            return;
        }
        let wait_over = self.start_deadline.is_some_and(|deadline| deadline <= now);
        if !self.started && !self.confirmed && !wait_over {
            return;
        }
        let wanted = self.wanted();
        let refused = |version: &Version| matches!(&self.refused, Some((step, number, _)) if (*step, *number) == (self.held.step, version.number));
        let mut ready = wanted == self.in_force;
        if let (Some(version), false) = (wanted, ready) {
            ready = refused(&version);
            if !ready && self.packed(&version).is_some() {
                return self.apply(version, out);
            }
        } else if !ready {
            self.applying = Some(None);
            return out.push(Output::Apply { number: 0, text: String::new() });
        }
        if self.started || !(ready || wait_over) {
            return;
        }
        // After the wait the saved copy is preferred to the node's file. The newest version follows when its
        // text arrives.
        let copy = self.saved_copy.filter(|copy| !ready && self.in_force.is_none() && !refused(copy));
        if let Some(copy) = copy.filter(|copy| self.packed(copy).is_some()) {
            return self.apply(copy, out);
        }
        self.started = true;
        out.push(Output::Ready);
    }

    fn apply(&mut self, version: Version, out: &mut Vec<Output>) {
        match self.packed(&version).map(|packed| version.text(packed)) {
            Some(Ok(text)) => {
                self.applying = Some(Some(version));
                out.push(Output::Apply { number: version.number, text });
            }
            // The text passed its check on arrival but fails now: it is fetched again.
            _ => drop(self.texts.remove(&version.number)),
        }
    }

    fn version_applied(
        &mut self,
        now: Micros,
        applied: u64,
        result: Result<(), String>,
        out: &mut Vec<Output>,
    ) {
        let Some(applying) = self.applying.filter(|new| number(*new) == applied) else { return };
        self.applying = None;
        match result {
            Ok(()) => {
                self.in_force = applying;
                self.refused = None;
                self.calls_before = self.calls;
                out.push(Output::Notice(Notice::InForce(applied)));
            }
            Err(reason) => {
                let reason = bounded_line(reason);
                out.push(Output::Notice(Notice::Refused(applied, reason.clone())));
                self.refused = Some((self.held.step, applied, reason));
                if self.saved_copy.is_some_and(|copy| copy.number == applied) {
                    self.saved_copy = None;
                }
            }
        }
        self.report_at = self.report_at.map(|_| now);
    }

    fn persist_settled(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(version) = self.held.settled.filter(|version| self.in_force == Some(*version)) else {
            return;
        };
        if self.persisting.is_some() || self.saved_copy == Some(version) || now < self.persist_after {
            return;
        }
        let Some(packed) = self.packed(&version).map(<[u8]>::to_vec) else { return };
        // During a trial the step is stored less 1: a node that starts from the copy must still accept the
        // announcement of the trial.
        let step = self.held.step.saturating_sub(u64::from(self.held.trial.is_some()));
        let saved = SavedCopy { step, version, packed };
        self.saved_copy = Some(version);
        self.persisting = Some(version);
        out.push(Output::Persist(saved.to_bytes()));
    }

    // ---- The trial ----

    fn report(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(trial) = self.held.trial.filter(|_| self.report_at.is_some_and(|at| at <= now)) else {
            return;
        };
        self.report_at = Some(now + self.timing.report);
        let in_force = self.in_force == Some(trial);
        let refused = self.refused.as_ref().filter(|(_, number, _)| *number == trial.number);
        let report = Report {
            step: self.held.step,
            in_force,
            refused: refused.map(|(.., reason)| reason.clone()),
            calls: if in_force || self.control {
                self.calls.since(self.calls_before)
            } else {
                Calls::default()
            },
        };
        for voter in self.voters.clone() {
            if voter != self.own {
                self.send(voter, &Message::Report(report.clone()), out);
            } else if let Some(rollout) = &mut self.rollout {
                rollout.record(now, voter, report.clone());
            }
        }
    }

    /// At the leader: proposes the decision on the trial when one is due.
    fn propose_decision(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (Some(rollout), Some(ledger)) = (self.rollout.as_mut().filter(|_| self.leading), &self.ledger)
        else {
            return;
        };
        let Some(trial) = ledger.announcement().trial else { return };
        if let Some(decision) = rollout.decide(now, &self.timing) {
            out.push(Output::Propose(Command::Step { number: trial.number, decision }.to_bytes()));
        }
    }
}

pub(crate) fn number(version: Option<Version>) -> u64 {
    version.map_or(0, |version| version.number)
}
