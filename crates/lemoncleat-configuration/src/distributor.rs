//! A node's side: what it holds, tells, fetches, puts in force and keeps.

mod fetch;
mod operators;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::kept::Kept;
use crate::ledger::{cut, Announcement, Command, Ledger};
use crate::limits::{Timing, KEEP_AGAIN, NOTICE, START_FRESH, START_WAIT};
use crate::message::{Calls, Report, Word};
use crate::packed::Version;
use crate::plant::{self, Plant};
use crate::query::{Queries, Query, Sums};
use crate::rollout::{roles, Rollout};
use crate::Micros;
use fetch::Fetch;
use operators::Wish;

/// A member and the zone that it stands in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its number, the same at all nodes.
    pub id: u32,
    /// Its zone.
    pub zone: Arc<str>,
}

/// What a distributor has to know.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's own number.
    pub own: u32,
    /// All members, in any order.
    pub members: Vec<Member>,
    /// Those that keep the log.
    pub voters: Vec<u32>,
    /// The length of the fleet's round; beats and windows follow it between 0.2 and 1 s.
    pub round: Micros,
}

/// What happened.
#[derive(Debug)]
pub enum Input<'a> {
    /// What the disk held at the start, or why it can't be read. Once, first.
    Found(Result<Option<Vec<u8>>, String>),
    /// [`Distributor::wake`] has come.
    Timeout,
    /// A connection with this member stands.
    Linked(u32),
    /// It stands no more.
    Unlinked(u32),
    /// A member said this.
    Heard {
        /// Who.
        from: u32,
        /// What.
        bytes: &'a [u8],
    },
    /// At a voter: the ledger at the start, and after each of its commands.
    Ledger(&'a Ledger),
    /// At a voter: whether it leads.
    Leading(bool),
    /// What became of [`Output::Try`].
    Configured {
        /// Its number.
        number: u64,
        /// In force, or why not.
        result: Result<(), String>,
    },
    /// What became of [`Output::Keep`].
    Kept(Result<(), String>),
    /// The node's calls so far.
    Calls(Calls),
    /// An operator's change, its text checked.
    Change {
        /// Whom to answer.
        conn: u64,
        /// His name for it.
        order: &'a str,
        /// The version that it was made on.
        parent: u64,
        /// The text.
        text: &'a str,
    },
    /// An operator asks who has what in force.
    Query {
        /// Whom to answer.
        conn: u64,
    },
    /// The members from now on.
    Members(Vec<Member>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Say this to a member; it may be lost.
    Tell {
        /// To whom: a neighbour or a voter.
        to: u32,
        /// What.
        bytes: Vec<u8>,
    },
    /// Put this in force, whole or not at all, and say [`Input::Configured`]. Number 0 and no text: as in the node's file.
    Try {
        /// Its number.
        number: u64,
        /// Its text.
        text: String,
    },
    /// Keep these bytes in place of those before, durably, and say [`Input::Kept`].
    Keep(Vec<u8>),
    /// What is in force at the start is decided. Once.
    Settled,
    /// At a voter: propose this to the log.
    Propose(Vec<u8>),
    /// Answer the operator on this connection.
    Answer {
        /// The connection.
        conn: u64,
        /// The answer.
        answer: Answer,
    },
    /// For the log.
    Notice(Notice),
}

/// An operator's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The order is agreed, under this number; the first nodes begin.
    Agreed {
        /// The order.
        order: String,
        /// The version's number.
        number: u64,
    },
    /// The order is not, and why.
    Refused {
        /// The order.
        order: String,
        /// Why, in a line.
        error: String,
    },
    /// Who has what in force.
    Counted {
        /// The settled version's number.
        newest: u64,
        /// How many of how many answered.
        answered: u32,
        /// All members.
        of: u32,
        /// Their numbers.
        sums: Sums,
    },
}

/// What an operator should read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This version is in force here; 0 for the file's.
    InForce(u64),
    /// This version can't be used here, and why.
    Refused(u64, String),
    /// A trial began, or ended, at this step.
    Step(Announcement),
    /// The kept copy is not used, and why.
    CopyUnusable(String),
    /// The copy can't be kept, and why.
    NotKept(String),
    /// This member served a wrong text of this version.
    WrongText(u32, u64),
    /// A word of this member was not heard: unreadable, too long, out of order or no member's.
    Unheard(u32),
}

/// How far the newest change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing was ever agreed.
    None,
    /// A version is under trial.
    Trial,
    /// One version is for all.
    All,
}

/// A node's own state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The number in force; 0 for the file.
    pub in_force: u64,
    /// The version in force.
    pub version: Option<Version>,
    /// The newest number that it has heard of.
    pub newest: u64,
    /// The step of that.
    pub step: u64,
    /// How far that is.
    pub phase: Phase,
    /// Whether this node is among the first.
    pub canary: bool,
    /// How long ago the leader said so, in microseconds; none if never heard.
    pub age: Option<Micros>,
    /// Why it has not what it should have.
    pub refused: Option<String>,
    /// Whether a neighbour or the log confirmed it since the start; else it is from the kept copy.
    pub confirmed: bool,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Words told, and their bytes.
    pub told: u64,
    /// Bytes of them.
    pub told_bytes: u64,
    /// Bytes of chunks among them.
    pub served_bytes: u64,
    /// Words that could not be read, or were too long.
    pub unreadable: u64,
    /// Words of no members.
    pub strangers: u64,
    /// Words that nobody waited for.
    pub out_of_order: u64,
}

#[derive(Default)]
struct Peer {
    /// The step that it is known to be at.
    step: Option<u64>,
    holds: [u64; 2],
}

/// The node's side of the configuration.
pub struct Distributor {
    own: u32,
    members: Vec<Member>,
    ids: BTreeSet<u32>,
    voters: Vec<u32>,
    timing: Timing,
    peers: BTreeMap<u32, Peer>,
    held: Announcement,
    /// The moment at which the leader said so.
    said_at: Option<Micros>,
    texts: BTreeMap<u64, (Version, Vec<u8>)>,
    in_force: Option<Version>,
    trying: Option<Option<Version>>,
    /// The step and number refused, and why.
    refused: Option<(u64, u64, String)>,
    canary: bool,
    control: bool,
    calls: Calls,
    before: Calls,
    report_at: Option<Micros>,
    beat_at: Micros,
    turn: u32,
    fetch: Option<Fetch>,
    /// Neighbours that are not asked for a text before this.
    avoid: BTreeMap<(u32, u64), Micros>,
    /// The end of the wait at the start; none before the first turn.
    start_until: Option<Micros>,
    informed: bool,
    started: bool,
    /// The version of the kept copy, while it is of use.
    copy: Option<Version>,
    keeping: Option<Version>,
    keep_at: Micros,
    ledger: Option<Ledger>,
    leading: bool,
    rollout: Option<Rollout>,
    wishes: Vec<Wish>,
    /// At a voter: others' orders, and how long they wait.
    orders: BTreeMap<(String, u32), Micros>,
    asked: usize,
    queries: Queries,
    query: u64,
    unheard_at: Option<Micros>,
    stats: Stats,
}

impl Distributor {
    /// One that holds nothing. `seed` sets its first beat and its queries' numbers apart from those of others and of its
    /// earlier starts.
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
            said_at: None,
            texts: BTreeMap::new(),
            in_force: None,
            trying: None,
            refused: None,
            canary: false,
            control: false,
            calls: Calls::default(),
            before: Calls::default(),
            report_at: None,
            beat_at: 0,
            turn: (seed >> 32) as u32,
            fetch: None,
            avoid: BTreeMap::new(),
            start_until: None,
            informed: false,
            started: false,
            copy: None,
            keeping: None,
            keep_at: 0,
            ledger: None,
            leading: false,
            rollout: None,
            wishes: Vec::new(),
            orders: BTreeMap::new(),
            asked: seed as usize % 5,
            queries: Queries::default(),
            query: seed,
            unheard_at: None,
            stats: Stats::default(),
        }
    }

    /// Something happened.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        self.start_until.get_or_insert(now + START_WAIT);
        match input {
            Input::Found(found) => self.found(now, found, out),
            Input::Timeout => {}
            Input::Linked(peer) => {
                if self.ids.contains(&peer) && peer != self.own {
                    self.peers.insert(peer, Peer::default());
                    self.announce(now, peer, out);
                }
            }
            Input::Unlinked(peer) => {
                self.peers.remove(&peer);
                self.queries.unlinked(peer);
            }
            Input::Heard { from, bytes } => self.heard(now, from, bytes, out),
            Input::Ledger(ledger) => {
                self.ledger = Some(ledger.clone());
                self.learned(now, out);
            }
            Input::Leading(leading) => {
                if leading && !self.leading {
                    if let Some(rollout) = &mut self.rollout {
                        rollout.lead(now);
                    }
                }
                self.leading = leading;
            }
            Input::Configured { number, result } => self.configured(now, number, result, out),
            Input::Kept(result) => {
                if let (Some(version), Err(why)) = (self.keeping.take(), &result) {
                    if self.copy == Some(version) {
                        self.copy = None;
                    }
                    self.keep_at = now + KEEP_AGAIN;
                    out.push(Output::Notice(Notice::NotKept(cut(why.clone()))));
                }
            }
            Input::Calls(calls) => self.calls = calls,
            Input::Change { conn, order, parent, text } => self.change(now, conn, order, parent, text, out),
            Input::Query { conn } => self.ask_all(now, conn, out),
            Input::Members(members) => {
                self.ids = members.iter().map(|member| member.id).collect();
                self.members = members;
                let ids = &self.ids;
                self.peers.retain(|peer, _| ids.contains(peer));
            }
        }
        self.turn(now, out);
    }

    /// The operator's connection is gone: nobody waits for its answers.
    pub fn operator_left(&mut self, conn: u64) {
        self.wishes.retain(|wish| wish.conn != conn);
    }

    /// When it wants [`Input::Timeout`] at the latest.
    pub fn wake(&self) -> Option<Micros> {
        // While the driver puts a version in force, its word is waited for.
        let start = self.start_until.filter(|_| !self.started && self.trying.is_none());
        let rollout =
            self.rollout.as_ref().filter(|_| self.leading).map(|rollout| rollout.wake(&self.timing));
        let fetch = self.fetch.as_ref().map(|fetch| fetch.until);
        let wishes = self.wishes.iter().map(|wish| wish.again.min(wish.until)).min();
        let others = [start, rollout, fetch, wishes, self.report_at, self.queries.wake()];
        others.into_iter().flatten().chain([self.beat_at]).min()
    }

    /// The node's own state.
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
            refused: self.refused.as_ref().map(|(.., why)| why.clone()),
            confirmed: self.informed,
        }
    }

    /// What it holds of the newest.
    pub fn announcement(&self) -> Announcement {
        self.held
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    fn turn(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.leading && self.ledger.as_ref().is_some_and(|own| own.announcement().step == self.held.step) {
            self.said_at = Some(now);
        }
        self.pursue(now, out);
        self.enforce(now, out);
        self.keep(now, out);
        self.report(now, out);
        self.judge(now, out);
        self.wish(now, out);
        self.answer_queries(now, out);
        if self.beat_at <= now {
            self.beat_at = now + self.timing.beat;
            self.beat(now, out);
        }
    }

    // ---- What is told ----

    fn tell(&mut self, to: u32, word: &Word, out: &mut Vec<Output>) {
        let bytes = word.to_bytes();
        self.stats.told += 1;
        self.stats.told_bytes += bytes.len() as u64;
        out.push(Output::Tell { to, bytes });
    }

    fn age(&self, now: Micros) -> Option<Micros> {
        self.said_at.map(|at| (now - at).max(0))
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
        self.tell(to, &Word::Announce { announcement, age_ms, holds }, out);
    }

    fn say_beat(&mut self, now: Micros, to: u32, out: &mut Vec<Output>) {
        let word = Word::Beat { step: self.held.step, age_ms: self.age_ms(now), holds: self.holds() };
        self.tell(to, &word, out);
    }

    /// One neighbour after another hears the step and the age.
    fn beat(&mut self, now: Micros, out: &mut Vec<Output>) {
        let after = self.peers.range(self.turn.saturating_add(1)..).next();
        let Some(to) = after.or(self.peers.iter().next()).map(|(peer, _)| *peer) else { return };
        self.turn = to;
        if !plant::is(Plant::Mute) {
            self.say_beat(now, to, out);
        }
    }

    // ---- What is heard ----

    fn unheard(&mut self, now: Micros, from: u32, out: &mut Vec<Output>) {
        if self.unheard_at.is_none_or(|at| at + NOTICE <= now) {
            self.unheard_at = Some(now);
            out.push(Output::Notice(Notice::Unheard(from)));
        }
    }

    fn heard(&mut self, now: Micros, from: u32, bytes: &[u8], out: &mut Vec<Output>) {
        if !self.ids.contains(&from) || from == self.own {
            self.stats.strangers += 1;
            return self.unheard(now, from, out);
        }
        let Some(word) = Word::read(bytes) else {
            self.stats.unreadable += 1;
            return self.unheard(now, from, out);
        };
        let expected = match word {
            Word::Announce { announcement, age_ms, holds } => {
                self.peer(from, announcement.step, holds);
                self.take(now, announcement, Some(from), age_ms, out);
                self.confirm(now, announcement.step, age_ms);
                if announcement.step < self.held.step {
                    self.announce(now, from, out);
                }
                true
            }
            Word::Beat { step, age_ms, holds } => {
                self.peer(from, step, holds);
                if step > self.held.step {
                    self.tell(from, &Word::Ask, out);
                } else if step < self.held.step {
                    self.announce(now, from, out);
                } else {
                    self.confirm(now, step, age_ms);
                }
                true
            }
            Word::Ask => {
                self.announce(now, from, out);
                true
            }
            Word::Fetch { number, at } => {
                self.serve(from, number, at, out);
                true
            }
            Word::Chunk { number, at, bytes } => self.chunk(now, from, number, at, bytes, out),
            Word::Lacks { number } => self.lacks(now, from, number),
            Word::Report(report) => {
                if let Some(rollout) = &mut self.rollout {
                    rollout.hear(now, from, report);
                }
                true
            }
            Word::Order { order, parent, packed } => self.ordered(now, from, order, parent, packed, out),
            Word::Verdict { order, verdict } => self.verdict(&order, &verdict, out),
            Word::Query { asker, query, depth, newest } => {
                let query = Query { key: (asker, query), depth, newest, parent: Some(from), conn: None };
                self.queried(now, from, query, out);
                true
            }
            Word::Sums { asker, query, sums } => self.queries.sums((asker, query), from, sums),
        };
        if !expected {
            self.stats.out_of_order += 1;
        }
    }

    fn peer(&mut self, from: u32, step: u64, holds: [u64; 2]) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.step = Some(step);
            peer.holds = holds;
        }
    }

    /// Somebody says how long ago the leader stood at this step.
    fn confirm(&mut self, now: Micros, step: u64, age_ms: Option<u32>) {
        let Some(age) = age_ms.filter(|_| step == self.held.step).map(|ms| Micros::from(ms) * 1_000) else {
            return;
        };
        self.said_at = Some(self.said_at.map_or(now - age, |at| at.max(now - age)));
        self.informed |= age <= START_FRESH;
    }

    /// At a voter, the ledger changed.
    fn learned(&mut self, now: Micros, out: &mut Vec<Output>) {
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
        // A voter that runs learns it from the leader's word of now.
        self.take(now, announcement, None, (self.leading || self.started).then_some(0), out);
        self.informed |= self.leading;
        self.answer_orders(out);
    }

    /// Takes an announcement of a higher step in place of the held one, and tells the neighbours.
    fn take(
        &mut self,
        now: Micros,
        announcement: Announcement,
        from: Option<u32>,
        age_ms: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        let lower = plant::is(Plant::LowerStep) && announcement.step < self.held.step;
        if announcement.step <= self.held.step && !lower {
            return;
        }
        self.held = announcement;
        self.said_at = age_ms.map(|ms| now - Micros::from(ms) * 1_000);
        self.refused = None;
        let named = [announcement.settled, announcement.trial];
        let copy = self.copy.filter(|_| !self.started);
        self.texts.retain(|_, (version, _)| named.contains(&Some(*version)) || copy == Some(*version));
        self.avoid.retain(|(_, number), _| named.iter().flatten().any(|version| version.number == *number));
        let (canaries, controls) = match announcement.trial {
            Some(trial) => roles(&self.members, &trial.digest),
            None => Default::default(),
        };
        self.canary =
            canaries.contains(&self.own) || (plant::is(Plant::AllCanaries) && announcement.trial.is_some());
        self.control = controls.contains(&self.own) && !self.canary;
        self.before = self.calls;
        self.report_at = (self.canary || self.control).then_some(now);
        out.push(Output::Notice(Notice::Step(announcement)));
        let behind = |peer: &Peer| peer.step.is_none_or(|step| step < announcement.step);
        let peers = self.peers.iter().filter(|(id, peer)| Some(**id) != from && behind(peer));
        for to in peers.map(|(id, _)| *id).collect::<Vec<_>>() {
            if !plant::is(Plant::Mute) {
                self.announce(now, to, out);
            }
        }
    }

    // ---- What is in force ----

    fn found(&mut self, now: Micros, found: Result<Option<Vec<u8>>, String>, out: &mut Vec<Output>) {
        let kept = match found {
            Ok(None) => return,
            Ok(Some(bytes)) => Kept::read(&bytes).map_err(str::to_owned),
            Err(why) => Err(cut(why)),
        };
        match kept {
            Ok(Kept { step, version, packed }) => {
                self.copy = Some(version);
                self.texts.insert(version.number, (version, packed));
                self.take(now, Announcement { step, settled: Some(version), trial: None }, None, None, out);
            }
            Err(why) => out.push(Output::Notice(Notice::CopyUnusable(why))),
        }
    }

    fn wanted(&self) -> Option<Version> {
        if self.canary {
            self.held.trial
        } else {
            self.held.settled
        }
    }

    /// Puts in force what should be, once the start's wait is over and the text is there.
    fn enforce(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.trying.is_some() {
            return;
        }
        let over = self.start_until.is_some_and(|until| until <= now);
        if !self.started && !self.informed && !over {
            return;
        }
        let wanted = self.wanted();
        let refused = |version: &Version| matches!(&self.refused, Some((step, number, _)) if (*step, *number) == (self.held.step, version.number));
        let mut ready = wanted == self.in_force;
        if let (Some(version), false) = (wanted, ready) {
            ready = refused(&version);
            if !ready && self.packed(&version).is_some() {
                return self.attempt(version, out);
            }
        } else if !ready {
            self.trying = Some(None);
            return out.push(Output::Try { number: 0, text: String::new() });
        }
        if self.started || !(ready || over) {
            return;
        }
        // At the end of the wait the kept copy is better than the file; the newest follows when its text is there.
        let copy = self.copy.filter(|copy| !ready && self.in_force.is_none() && !refused(copy));
        if let Some(copy) = copy.filter(|copy| self.packed(copy).is_some()) {
            return self.attempt(copy, out);
        }
        self.started = true;
        out.push(Output::Settled);
    }

    fn attempt(&mut self, version: Version, out: &mut Vec<Output>) {
        match self.packed(&version).map(|packed| version.text(packed)) {
            Some(Ok(text)) => {
                self.trying = Some(Some(version));
                out.push(Output::Try { number: version.number, text });
            }
            // What was checked when it came is fetched again.
            _ => drop(self.texts.remove(&version.number)),
        }
    }

    fn configured(&mut self, now: Micros, tried: u64, result: Result<(), String>, out: &mut Vec<Output>) {
        let Some(trying) = self.trying.filter(|trying| number(*trying) == tried) else { return };
        self.trying = None;
        match result {
            Ok(()) => {
                self.in_force = trying;
                self.refused = None;
                self.before = self.calls;
                out.push(Output::Notice(Notice::InForce(tried)));
            }
            Err(why) => {
                let why = cut(why);
                out.push(Output::Notice(Notice::Refused(tried, why.clone())));
                self.refused = Some((self.held.step, tried, why));
                if self.copy.is_some_and(|copy| copy.number == tried) {
                    self.copy = None;
                }
            }
        }
        self.report_at = self.report_at.map(|_| now);
    }

    fn keep(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(version) = self.held.settled.filter(|version| self.in_force == Some(*version)) else {
            return;
        };
        if self.keeping.is_some() || self.copy == Some(version) || now < self.keep_at {
            return;
        }
        let Some(packed) = self.packed(&version).map(<[u8]>::to_vec) else { return };
        // The step of a trial is not the settled version's: a node that starts with the copy has to hear of the trial.
        let step = self.held.step.saturating_sub(u64::from(self.held.trial.is_some()));
        let kept = Kept { step, version, packed };
        self.copy = Some(version);
        self.keeping = Some(version);
        out.push(Output::Keep(kept.to_bytes()));
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
            refused: refused.map(|(.., why)| why.clone()),
            calls: if in_force || self.control { self.calls.since(self.before) } else { Calls::default() },
        };
        for voter in self.voters.clone() {
            if voter != self.own {
                self.tell(voter, &Word::Report(report.clone()), out);
            } else if let Some(rollout) = &mut self.rollout {
                rollout.hear(now, voter, report.clone());
            }
        }
    }

    /// The leader decides.
    fn judge(&mut self, now: Micros, out: &mut Vec<Output>) {
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
