//! One voter: the engine, its log, and what waits for the disk.

use std::collections::{BTreeMap, VecDeque};

use lemoncleat_faults::point;
use raft::eraftpb::{Entry as RaftEntry, Message, MessageType};
use raft::{Config, RawNode, SnapshotStatus, StateRole};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::admission::{Admission, Standing, Verdict};
use crate::log::{entries_of, Log};
use crate::message::{Envelope, Kind, Said, Word};
use crate::{
    Batch, Follower, Found, Input, Kept, Mark, Micros, Notice, Output, Place, Promise, Refused, Settings,
    Stats, MAX_SNAPSHOT,
};

/// Proposals that wait or whose end is not known.
const MAX_PROPOSALS: usize = 1024;
/// Outputs that wait for the disk, before the voter hears nothing more.
const MAX_HELD: usize = 8192;
/// Bytes of commands in one message, but for the last of them: a carrier takes half a MiB.
const MAX_JOINED: usize = 256 * 1024;
/// Bytes of commands that wait to be agreed at a leader.
const MAX_UNCOMMITTED: u64 = 16 * 1024 * 1024;
/// Bytes of commands in an answer to a follower.
const MAX_LEARNED: usize = 256 * 1024;
/// After how many election times nothing more is hoped of a proposal.
const LOST_AFTER: i64 = 5;
/// The longest pause between two tries at a store that fails, in election times.
const MAX_PAUSE: i64 = 64;

/// The store fails.
struct Stall {
    again: Micros,
    pause: Micros,
}

/// A voter without I/O.
pub struct Voter {
    settings: Settings,
    store: u64,
    admission: Admission,
    node: RawNode<Log>,
    /// Learns in place of the engine when the store was lost.
    follower: Follower,
    random: SmallRng,
    /// The election time drawn, and for which state of the engine.
    drawn: (usize, (u64, StateRole, u64)),
    /// Marks the proposals of this start.
    start: u64,
    /// What rests on the batch that is being stored.
    flight: Option<(Batch, Vec<Output>)>,
    /// What rests on the batch after it.
    held: Vec<Output>,
    stall: Option<Stall>,
    queue: VecDeque<(u64, Vec<u8>)>,
    /// Proposals that went to the engine, and until when they are hoped for.
    hoped: BTreeMap<u64, Micros>,
    /// The last index handed out or skipped.
    given: u64,
    snapshot_asked: Option<u64>,
    /// No snapshot is asked for before this index.
    snapshot_from: u64,
    leader: Option<u64>,
    tick_at: Micros,
    ask_at: Micros,
    stats: Stats,
}

impl Voter {
    /// A voter with what its store held. `seed` decides its election times and marks its proposals; it should
    /// differ at each start.
    ///
    /// # Errors
    ///
    /// When settings are wrong, or the store is another's or contradicts itself.
    pub fn new(settings: Settings, found: Found, seed: u64) -> Result<Voter, Refused> {
        settings.check()?;
        found.check().map_err(Refused::Broken)?;
        let mut voters = settings.voters.clone();
        voters.sort_unstable();
        let is_new = found.place.is_none();
        let place = found.place.clone().unwrap_or_else(|| Place {
            own: settings.own,
            voters: voters.clone(),
            ..Place::default()
        });
        if place.own != settings.own || place.voters != voters {
            return Err(Refused::OtherPlace(place));
        }
        let store = found.store;
        let mut log = Log::new(voters.clone(), found);
        if is_new {
            log.set_place(&place);
        }
        let restored = log.snapshot.clone();
        let config = Config {
            id: settings.own,
            election_tick: settings.timing.election,
            heartbeat_tick: settings.timing.heartbeat,
            applied: restored.at.index,
            max_size_per_msg: MAX_JOINED as u64,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED,
            max_committed_size_per_ready: MAX_JOINED as u64,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log, &logger).map_err(|error| Refused::Broken(error.to_string()))?;
        let mut random = SmallRng::seed_from_u64(seed);
        let mut held = Vec::new();
        if restored.at.index > 0 {
            held.push(Output::Restore { index: restored.at.index, bytes: restored.bytes });
        }
        Ok(Voter {
            follower: Follower::new(settings.own, &voters, settings.timing, seed),
            admission: Admission::new(place, store),
            store,
            node,
            drawn: (0, (0, StateRole::Leader, 0)),
            start: random.random(),
            random,
            flight: None,
            held,
            stall: None,
            queue: VecDeque::new(),
            hoped: BTreeMap::new(),
            given: restored.at.index,
            snapshot_asked: None,
            snapshot_from: restored.at.index + settings.snapshot_every,
            leader: None,
            tick_at: 0,
            ask_at: 0,
            stats: Stats::default(),
            settings,
        })
    }

    /// Who leads, as far as this voter knows.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// Whether it takes part in decisions now.
    pub fn is_voting(&self) -> bool {
        self.admission.standing == Standing::Voting && self.stall.is_none()
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        let log = self.node.store();
        let term = self.node.raft.term;
        Stats { log: log.entries.len() as u64, term, index: self.given, ..self.stats }
    }

    /// When it wants [`Input::Timeout`].
    pub fn wake(&self) -> Option<Micros> {
        match &self.stall {
            Some(stall) => Some(stall.again),
            None if self.admission.standing == Standing::Lost => self.follower.wake(),
            None => Some(self.tick_at),
        }
    }

    /// Takes an input at a time.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Heard { from, bytes } => self.hear(now, from, bytes),
            Input::Propose { token, command } => self.propose(token, command, out),
            Input::Stored(number) => self.stored(number, out),
            Input::StoreFailed(number, _) if planted!(IgnoresFailure) => self.stored(number, out),
            Input::StoreFailed(number, why) => self.store_failed(now, number, why, out),
            Input::Snapshot { index, bytes } => self.snapshot(index, bytes),
            Input::Timeout => self.timeout(now, out),
        }
        self.settle(now, out);
    }

    fn election(&self) -> Micros {
        let timing = self.settings.timing;
        timing.tick.saturating_mul(timing.election as Micros)
    }

    fn hear(&mut self, now: Micros, from: u64, bytes: &[u8]) {
        point!(AGREE_HEAR);
        if self.stall.is_some() || self.held.len() > MAX_HELD {
            self.stats.shed += 1;
            return;
        }
        let Some(Envelope { store, word }) = Envelope::read(bytes) else {
            self.stats.unreadable += 1;
            return;
        };
        if let Word::Pull { after } = word {
            return self.teach(from, after);
        }
        if from == self.settings.own || !self.settings.voters.contains(&from) {
            self.stats.refused += 1;
            return;
        }
        match word {
            Word::Ask => {
                let Some((welcome, changed)) = self.admission.asked(from, store) else { return };
                if changed {
                    self.node.mut_store().set_place(&self.admission.place);
                }
                self.tell(from, Word::Answer { asked: store, welcome });
            }
            Word::Answer { asked, welcome } => match self.admission.answered(from, asked, welcome) {
                Verdict::Nothing => {}
                Verdict::Admitted => {
                    self.node.mut_store().set_place(&self.admission.place);
                    self.held.push(Output::Notice(Notice::Admitted));
                }
                Verdict::Lost => self.held.push(Output::Notice(Notice::StoreLost { by: from })),
            },
            Word::Engine(said) => {
                let voting = self.admission.standing == Standing::Voting;
                if !voting || !self.admission.knows(from, store) || !self.is_possible(&said) {
                    self.stats.refused += 1;
                    return;
                }
                let message = said.into_message(from, self.settings.own, &self.settings.voters);
                self.step(message);
            }
            word if self.admission.standing == Standing::Lost => {
                self.follower.hear(now, word, &mut self.held)
            }
            _ => {}
        }
    }

    /// Whether a message can come from a voter that keeps its promises. The engine relies on it: it panics at some
    /// that can't.
    fn is_possible(&self, said: &Said) -> bool {
        let raft = &self.node.raft;
        let log = &raft.raft_log;
        let entries = &said.entries;
        if said.term > u64::MAX / 2 || (said.term == 0) != (said.kind == Kind::Propose) {
            return false;
        }
        if entries
            .iter()
            .any(|entry| entry.command.len() > self.settings.max_command || entry.origin.len() > 64)
        {
            return false;
        }
        match said.kind {
            Kind::Propose => {
                let last = log.last_index() - self.node.store().snapshot.at.index;
                (1..=MAX_PROPOSALS).contains(&entries.len()) && last < 4 * self.settings.snapshot_every
            }
            Kind::Append => {
                let mut before = Mark { index: said.index, term: said.log_term };
                let in_order = entries.iter().all(|entry| {
                    let good = before.index.checked_add(1) == Some(entry.at.index)
                        && (before.term..=said.term).contains(&entry.at.term);
                    before = entry.at;
                    good
                });
                // What is decided here is in the log of every later leader.
                let decided = log.term(log.committed).unwrap_or(0);
                in_order && (said.index < log.committed || said.log_term >= decided)
            }
            Kind::Heartbeat => said.commit <= log.last_index(),
            Kind::Snapshot => said.snapshot.as_ref().is_some_and(|kept| {
                kept.at.index > 0 && kept.at.term <= said.term && kept.bytes.len() <= MAX_SNAPSHOT
            }),
            Kind::AppendResponse => said.term != raft.term || said.reject || said.index <= log.last_index(),
            _ => true,
        }
    }

    fn step(&mut self, message: Message) {
        // Errors are about proposals that the engine drops, which are counted as lost in time.
        let _ = self.node.step(message);
        self.pace();
    }

    /// The engine draws its election time from the thread's random source; ours is drawn from the seed.
    fn pace(&mut self) {
        let raft = &mut self.node.raft;
        let state = (raft.term, raft.state, raft.leader_id);
        let election = self.settings.timing.election;
        if self.drawn.0 == 0 || self.drawn.1 != state {
            self.drawn = (self.random.random_range(election..2 * election), state);
        }
        if raft.randomized_election_timeout() != self.drawn.0 {
            raft.set_randomized_election_timeout(self.drawn.0);
        }
    }

    /// Tells a follower what was decided after a place.
    fn teach(&mut self, to: u64, after: u64) {
        let log = self.node.store();
        if self.admission.standing != Standing::Voting || after >= self.given {
            return;
        }
        if after < log.trimmed.index {
            let kept = log.snapshot.clone();
            return self.tell(to, Word::LearnSnapshot(kept));
        }
        let mut commands = Vec::new();
        let mut size = 0;
        let mut upto = after;
        for entry in (after + 1..=self.given).map_while(|index| log.get(index)) {
            size += entry.command.len() + 8;
            if size > MAX_LEARNED && !commands.is_empty() {
                break;
            }
            upto = entry.at.index;
            if !entry.command.is_empty() {
                commands.push((upto, entry.command.clone()));
            }
        }
        self.tell(to, Word::Learn { after, upto, commands });
    }

    fn tell(&mut self, to: u64, word: Word) {
        if let Some(bytes) = Envelope::write(self.store, word) {
            self.held.push(Output::Tell { to, bytes });
        }
    }

    fn propose(&mut self, token: u64, command: Vec<u8>, out: &mut Vec<Output>) {
        point!(AGREE_PROPOSE);
        let log = self.node.store();
        let long = log.last().index - log.snapshot.at.index >= 4 * self.settings.snapshot_every;
        let full = self.queue.len() + self.hoped.len() >= MAX_PROPOSALS;
        let unfit = command.is_empty() || command.len() > self.settings.max_command;
        if long || full || unfit || self.leader.is_none() || !self.is_voting() {
            out.push(Output::Lost { token });
            return;
        }
        self.queue.push_back((token, command));
    }

    /// Gives what was proposed to the engine, joined.
    fn flush(&mut self, now: Micros) {
        while !self.queue.is_empty() {
            let mut message = Message::default();
            message.set_msg_type(MessageType::MsgPropose);
            message.from = self.settings.own;
            let (mut tokens, mut size) = (Vec::new(), 0);
            while let Some((token, command)) = self.queue.pop_front() {
                size += command.len();
                tokens.push(token);
                let origin = (self.settings.own, self.start, token);
                message.mut_entries().push(RaftEntry {
                    data: command.into(),
                    context: postcard::to_allocvec(&origin).unwrap_or_default().into(),
                    ..RaftEntry::default()
                });
                if size >= MAX_JOINED {
                    break;
                }
            }
            match self.node.step(message) {
                Ok(()) => {
                    let until = now.saturating_add(LOST_AFTER * self.election());
                    self.hoped.extend(tokens.into_iter().map(|token| (token, until)));
                }
                Err(_) => self.held.extend(tokens.into_iter().map(|token| Output::Lost { token })),
            }
        }
    }

    fn snapshot(&mut self, index: u64, bytes: Vec<u8>) {
        if self.snapshot_asked != Some(index) {
            return;
        }
        self.snapshot_asked = None;
        if bytes.len() > MAX_SNAPSHOT {
            self.held.push(Output::Notice(Notice::SnapshotTooLong { bytes: bytes.len() }));
            return;
        }
        // Some entries stay for voters that are a little behind.
        let trim = index - (self.settings.snapshot_every / 4).min(index);
        let trim = trim.max(self.node.store().trimmed.index);
        self.node.mut_store().shorten(index, bytes, trim);
    }

    fn timeout(&mut self, now: Micros, out: &mut Vec<Output>) {
        if let Some(stall) = &mut self.stall {
            if now >= stall.again {
                // Until the store answers; a driver that never does is asked no more.
                stall.again = Micros::MAX;
                if let Some((batch, _)) = &self.flight {
                    out.push(Output::Store(batch.clone()));
                }
            }
            return;
        }
        if self.admission.standing == Standing::Lost {
            return self.follower.handle(now, Input::Timeout, &mut self.held);
        }
        if now < self.tick_at {
            return;
        }
        self.tick_at = now.saturating_add(self.settings.timing.tick);
        let late: Vec<u64> =
            self.hoped.iter().filter(|(_, until)| **until <= now).map(|(token, _)| *token).collect();
        for token in late {
            self.hoped.remove(&token);
            out.push(Output::Lost { token });
        }
        if self.held.len() > MAX_HELD {
            return;
        }
        if self.admission.standing == Standing::Voting {
            self.node.tick();
            self.pace();
        } else if now >= self.ask_at {
            self.ask_at = now.saturating_add(self.election());
            for voter in self.admission.unanswered() {
                self.tell(voter, Word::Ask);
            }
        }
    }

    fn stored(&mut self, number: u64, out: &mut Vec<Output>) {
        if self.flight.as_ref().is_none_or(|(batch, _)| batch.number != number) {
            return;
        }
        if let Some((_, rested)) = self.flight.take() {
            self.stats.batches += 1;
            self.give_out(rested, out);
        }
        if self.stall.take().is_some() {
            out.push(Output::Notice(Notice::StoreWorks));
        }
    }

    /// The voter keeps still: what it would say rests on what it can't store.
    fn store_failed(&mut self, now: Micros, number: u64, why: String, out: &mut Vec<Output>) {
        if self.flight.as_ref().is_none_or(|(batch, _)| batch.number != number) {
            return;
        }
        let election = self.election();
        let pause = self.stall.take().map_or(election, |stall| (stall.pause * 2).min(MAX_PAUSE * election));
        let again = now.saturating_add(pause);
        self.stall = Some(Stall { again, pause });
        out.push(Output::Notice(Notice::StoreFailed { why, again: pause }));
        // What was decided stays so; what was to be said would be old by then.
        let stays = |output: &Output| !matches!(output, Output::Tell { .. } | Output::Leader(_));
        self.held.retain(stays);
        if let Some((_, rested)) = &mut self.flight {
            rested.retain(stays);
        }
        let hoped = std::mem::take(&mut self.hoped).into_keys();
        let queued = std::mem::take(&mut self.queue).into_iter().map(|(token, _)| token);
        out.extend(hoped.chain(queued).map(|token| Output::Lost { token }));
        if self.leader.take().is_some() {
            point!(AGREE_LEAD);
            out.push(Output::Leader(None));
        }
    }

    /// Takes what the engine wants, and gives out what may go.
    fn settle(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.stall.is_some() || self.admission.standing == Standing::Lost {
            // A voter that only learns has nothing to store; what is held was said before.
            if self.stall.is_none() && self.flight.is_none() {
                let held = std::mem::take(&mut self.held);
                self.give_out(held, out);
            }
            return;
        }
        if self.flight.is_none() {
            self.flush(now);
        }
        while self.node.has_ready() {
            self.take_ready();
        }
        let leader = Some(self.node.raft.leader_id).filter(|leader| *leader != 0);
        if leader != self.leader {
            point!(AGREE_LEAD);
            self.leader = leader;
            self.held.push(Output::Leader(leader));
        }
        self.stats.held = self.stats.held.max(self.held.len() as u64);
        if self.flight.is_some() {
            return;
        }
        let held = std::mem::take(&mut self.held);
        match self.node.mut_store().take_batch() {
            Some(batch) => {
                out.push(Output::Store(batch.clone()));
                if planted!(SendsEarly) {
                    self.flight = Some((batch, Vec::new()));
                    self.give_out(held, out);
                } else {
                    self.flight = Some((batch, held));
                }
            }
            None => self.give_out(held, out),
        }
    }

    fn take_ready(&mut self) {
        let mut ready = self.node.ready();
        let mut messages = ready.take_messages();
        messages.extend(ready.take_persisted_messages());
        if *ready.snapshot() != raft::eraftpb::Snapshot::default() {
            let snapshot = ready.snapshot().clone();
            let at = Mark { index: snapshot.get_metadata().index, term: snapshot.get_metadata().term };
            let kept = Kept { at, bytes: snapshot.data.to_vec() };
            self.given = at.index;
            self.snapshot_asked = None;
            self.snapshot_from = at.index + self.settings.snapshot_every;
            self.held.push(Output::Restore { index: at.index, bytes: kept.bytes.clone() });
            self.node.mut_store().install(kept);
        }
        let entries = entries_of(ready.take_entries());
        self.node.mut_store().append(entries);
        if let Some(hard) = ready.hs() {
            let promise = Promise { term: hard.term, vote: hard.vote, commit: hard.commit };
            self.node.mut_store().set_promise(promise);
        }
        let mut decided = ready.take_committed_entries();
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            let log = self.node.mut_store();
            let promise = Promise { commit, ..log.promise };
            log.set_promise(promise);
        }
        decided.extend(light.take_committed_entries());
        messages.extend(light.take_messages());
        for entry in decided {
            self.decide(entry);
        }
        self.node.advance_apply();
        for message in messages {
            let to = message.to;
            if message.get_msg_type() == MessageType::MsgSnapshot {
                // It may be lost. Taken for arrived, the engine finds out by the next heartbeat.
                self.node.report_snapshot(to, SnapshotStatus::Finish);
            }
            if let Some(said) = Said::of(message) {
                self.tell(to, Word::Engine(said));
            }
        }
        self.pace();
    }

    fn decide(&mut self, entry: RaftEntry) {
        self.given = entry.index;
        if let Ok((voter, start, token)) = postcard::from_bytes::<(u64, u64, u64)>(&entry.context) {
            if (voter, start) == (self.settings.own, self.start) {
                self.hoped.remove(&token);
            }
        }
        // The first entry of a leader is empty.
        if !entry.data.is_empty() {
            let decided = Output::Decided { index: entry.index, command: entry.data.to_vec() };
            if planted!(HandsOutTwice) && entry.index.is_multiple_of(8) {
                self.held.push(decided.clone());
            }
            self.held.push(decided);
        }
        if self.snapshot_asked.is_none() && entry.index >= self.snapshot_from {
            self.snapshot_asked = Some(entry.index);
            self.snapshot_from = entry.index + self.settings.snapshot_every;
            self.held.push(Output::TakeSnapshot { index: entry.index });
        }
    }

    fn give_out(&mut self, outputs: Vec<Output>, out: &mut Vec<Output>) {
        for output in outputs {
            match &output {
                Output::Tell { .. } => point!(AGREE_SEND),
                Output::Decided { .. } => {
                    point!(AGREE_DECIDED);
                    self.stats.decided += 1;
                }
                _ => {}
            }
            out.push(output);
        }
    }
}
