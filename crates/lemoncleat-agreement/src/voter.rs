//! A voter: the engine, its log, and the outputs that wait for the disk.

use std::collections::{BTreeMap, VecDeque};

use lemoncleat_faults::point;
use raft::eraftpb::{Entry as RaftEntry, Message, MessageType};
use raft::{Config, RawNode, SnapshotStatus, StateRole};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::admission::{Admission, Outcome, VoterState};
use crate::log::{from_engine_entries, Log};
use crate::message::{EngineMessage, Envelope, Kind, Payload};
use crate::{
    Batch, Follower, Found, Input, Kept, Mark, Micros, Notice, Output, Promise, Settings, StartError, Stats,
    StoreOwner, MAX_SNAPSHOT,
};

/// Maximum number of proposals that are queued or whose outcome is unknown.
const MAX_PROPOSALS: usize = 1024;
/// Number of outputs waiting for the disk above which received messages are dropped.
const MAX_DEFERRED: usize = 8192;
/// Bytes of commands after which a message takes no further command: the transport accepts half a MiB.
const MAX_MESSAGE_COMMAND_BYTES: usize = 256 * 1024;
/// Bytes of commands at a leader that wait to be decided.
const MAX_UNCOMMITTED_BYTES: u64 = 16 * 1024 * 1024;
/// Bytes of commands in an answer to a follower.
const MAX_CATCH_UP_BYTES: usize = 256 * 1024;
/// Number of election times after which a proposal is given up.
const PROPOSAL_TIMEOUT_ELECTIONS: i64 = 5;
/// Maximum backoff between two attempts to write a failing store, in election times.
const MAX_BACKOFF_ELECTIONS: i64 = 64;

/// The pending attempt to write a failing store.
struct StoreRetry {
    retry_at: Micros,
    backoff: Micros,
}

/// A voter without I/O.
pub struct Voter {
    settings: Settings,
    store: u64,
    admission: Admission,
    node: RawNode<Log>,
    /// Learns in place of the engine if the store was lost.
    follower: Follower,
    rng: SmallRng,
    /// The randomized election timeout, and the state of the engine that it was chosen for.
    election_timeout: (usize, (u64, StateRole, u64)),
    /// Identifies the proposals made since this start.
    start: u64,
    /// The batch being stored, and the outputs that depend on it.
    in_flight: Option<(Batch, Vec<Output>)>,
    /// The outputs that depend on the next batch.
    deferred: Vec<Output>,
    store_retry: Option<StoreRetry>,
    queue: VecDeque<(u64, Vec<u8>)>,
    /// Proposals passed to the engine, with the time at which they are given up.
    outstanding: BTreeMap<u64, Micros>,
    /// The last index delivered or skipped.
    delivered_index: u64,
    requested_snapshot: Option<u64>,
    /// No snapshot is requested before this index.
    next_snapshot: u64,
    leader: Option<u64>,
    next_tick: Micros,
    next_request: Micros,
    stats: Stats,
}

impl Voter {
    /// Returns a voter with the contents of its store. `seed` determines its election timeouts and marks its
    /// proposals; it should differ at each start.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid, or if the store belongs to another voter or is
    /// inconsistent.
    pub fn new(settings: Settings, contents: Found, seed: u64) -> Result<Voter, StartError> {
        settings.check()?;
        contents.check().map_err(StartError::Inconsistent)?;
        let mut voters = settings.voters.clone();
        voters.sort_unstable();
        let is_new = contents.owner.is_none();
        let owner = contents.owner.clone().unwrap_or_else(|| StoreOwner {
            own: settings.own,
            voters: voters.clone(),
            ..StoreOwner::default()
        });
        if owner.own != settings.own || owner.voters != voters {
            return Err(StartError::ForeignStore(owner));
        }
        let store = contents.store;
        let mut log = Log::new(voters.clone(), contents);
        if is_new {
            log.set_owner(&owner);
        }
        let restored = log.snapshot.clone();
        let config = Config {
            id: settings.own,
            election_tick: settings.timing.election,
            heartbeat_tick: settings.timing.heartbeat,
            applied: restored.at.index,
            max_size_per_msg: MAX_MESSAGE_COMMAND_BYTES as u64,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            max_committed_size_per_ready: MAX_MESSAGE_COMMAND_BYTES as u64,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log, &logger)
            .map_err(|error| StartError::Inconsistent(error.to_string()))?;
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut deferred = Vec::new();
        if restored.at.index > 0 {
            deferred.push(Output::Restore { index: restored.at.index, bytes: restored.bytes });
        }
        Ok(Voter {
            follower: Follower::new(settings.own, &voters, settings.timing, seed),
            admission: Admission::new(owner, store),
            store,
            node,
            election_timeout: (0, (0, StateRole::Leader, 0)),
            start: rng.random(),
            rng,
            in_flight: None,
            deferred,
            store_retry: None,
            queue: VecDeque::new(),
            outstanding: BTreeMap::new(),
            delivered_index: restored.at.index,
            requested_snapshot: None,
            next_snapshot: restored.at.index + settings.snapshot_every,
            leader: None,
            next_tick: 0,
            next_request: 0,
            stats: Stats::default(),
            settings,
        })
    }

    /// Returns the leader, as far as this voter knows.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// Returns whether the voter takes part in decisions now.
    pub fn is_voting(&self) -> bool {
        self.admission.state == VoterState::Voting && self.store_retry.is_none()
    }

    /// Returns the counters since the start.
    pub fn stats(&self) -> Stats {
        let log = self.node.store();
        let term = self.node.raft.term;
        Stats { log: log.entries.len() as u64, term, index: self.delivered_index, ..self.stats }
    }

    /// Returns the time at which the voter needs [`Input::Timeout`].
    pub fn wake(&self) -> Option<Micros> {
        match &self.store_retry {
            Some(store_retry) => Some(store_retry.retry_at),
            None if self.admission.state == VoterState::StoreLost => self.follower.wake(),
            None => Some(self.next_tick),
        }
    }

    /// Handles an input at the given time.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Received { from, bytes } => self.handle_message(now, from, bytes),
            Input::Propose { token, command } => self.propose(token, command, out),
            Input::Stored(number) => self.handle_stored(number, out),
            Input::StoreFailed(number, _) if planted!(IgnoresFailure) => self.handle_stored(number, out),
            Input::StoreFailed(number, why) => self.handle_store_failure(now, number, why, out),
            Input::Snapshot { index, bytes } => self.handle_snapshot(index, bytes),
            Input::Timeout => self.handle_timeout(now, out),
        }
        self.process(now, out);
    }

    fn election_time(&self) -> Micros {
        let timing = self.settings.timing;
        timing.tick.saturating_mul(timing.election as Micros)
    }

    fn handle_message(&mut self, now: Micros, from: u64, bytes: &[u8]) {
        point!(AGREE_HEAR);
        if self.store_retry.is_some() || self.deferred.len() > MAX_DEFERRED {
            self.stats.shed += 1;
            return;
        }
        let Some(Envelope { store, payload }) = Envelope::decode(bytes) else {
            self.stats.unreadable += 1;
            return;
        };
        if let Payload::FetchDecided { after } = payload {
            return self.send_decided(from, after);
        }
        if from == self.settings.own || !self.settings.voters.contains(&from) {
            self.stats.refused += 1;
            return;
        }
        match payload {
            Payload::AdmissionRequest => {
                let Some((accepted, changed)) = self.admission.handle_request(from, store) else { return };
                if changed {
                    self.node.mut_store().set_owner(&self.admission.owner);
                }
                self.send(from, Payload::AdmissionResponse { requested: store, accepted });
            }
            Payload::AdmissionResponse { requested, accepted } => {
                match self.admission.handle_response(from, requested, accepted) {
                    Outcome::Unchanged => {}
                    Outcome::Admitted => {
                        self.node.mut_store().set_owner(&self.admission.owner);
                        self.deferred.push(Output::Notice(Notice::Admitted));
                    }
                    Outcome::StoreLost => self.deferred.push(Output::Notice(Notice::StoreLost { by: from })),
                }
            }
            Payload::Engine(engine_message) => {
                let voting = self.admission.state == VoterState::Voting;
                if !voting || !self.admission.accepts(from, store) || !self.is_valid(&engine_message) {
                    self.stats.refused += 1;
                    return;
                }
                let message = engine_message.into_engine(from, self.settings.own, &self.settings.voters);
                self.step(message);
            }
            payload if self.admission.state == VoterState::StoreLost => {
                self.follower.handle_payload(now, payload, &mut self.deferred)
            }
            _ => {}
        }
    }

    /// Returns whether a correct voter could have sent this message. The engine relies on this check: it
    /// panics on some messages that no correct voter sends.
    fn is_valid(&self, engine_message: &EngineMessage) -> bool {
        let raft = &self.node.raft;
        let log = &raft.raft_log;
        let entries = &engine_message.entries;
        if engine_message.term > u64::MAX / 2
            || (engine_message.term == 0) != (engine_message.kind == Kind::Propose)
        {
            return false;
        }
        if entries
            .iter()
            .any(|entry| entry.command.len() > self.settings.max_command || entry.origin.len() > 64)
        {
            return false;
        }
        match engine_message.kind {
            Kind::Propose => {
                let last = log.last_index() - self.node.store().snapshot.at.index;
                (1..=MAX_PROPOSALS).contains(&entries.len()) && last < 4 * self.settings.snapshot_every
            }
            Kind::Append => {
                let mut before = Mark { index: engine_message.index, term: engine_message.log_term };
                let in_order = entries.iter().all(|entry| {
                    let valid = before.index.checked_add(1) == Some(entry.at.index)
                        && (before.term..=engine_message.term).contains(&entry.at.term);
                    before = entry.at;
                    valid
                });
                // An entry that is decided here is in the log of every later leader.
                let decided = log.term(log.committed).unwrap_or(0);
                in_order && (engine_message.index < log.committed || engine_message.log_term >= decided)
            }
            Kind::Heartbeat => engine_message.commit <= log.last_index(),
            Kind::Snapshot => engine_message.snapshot.as_ref().is_some_and(|kept| {
                kept.at.index > 0 && kept.at.term <= engine_message.term && kept.bytes.len() <= MAX_SNAPSHOT
            }),
            Kind::AppendResponse => {
                engine_message.term != raft.term
                    || engine_message.reject
                    || engine_message.index <= log.last_index()
            }
            _ => true,
        }
    }

    fn step(&mut self, message: Message) {
        // An error means that the engine dropped a proposal, which is reported as lost after its timeout.
        let _ = self.node.step(message);
        self.set_election_timeout();
    }

    /// Sets the election timeout. The engine would choose it from the thread's random source; here it is
    /// derived from the seed, so that runs are reproducible.
    fn set_election_timeout(&mut self) {
        let raft = &mut self.node.raft;
        let state = (raft.term, raft.state, raft.leader_id);
        let election = self.settings.timing.election;
        if self.election_timeout.0 == 0 || self.election_timeout.1 != state {
            self.election_timeout = (self.rng.random_range(election..2 * election), state);
        }
        if raft.randomized_election_timeout() != self.election_timeout.0 {
            raft.set_randomized_election_timeout(self.election_timeout.0);
        }
    }

    /// Sends a follower the commands decided after an index.
    fn send_decided(&mut self, to: u64, after: u64) {
        let log = self.node.store();
        if self.admission.state != VoterState::Voting || after >= self.delivered_index {
            return;
        }
        if after < log.trimmed.index {
            let kept = log.snapshot.clone();
            return self.send(to, Payload::DecidedSnapshot(kept));
        }
        let mut commands = Vec::new();
        let mut size = 0;
        let mut upto = after;
        for entry in (after + 1..=self.delivered_index).map_while(|index| log.get(index)) {
            size += entry.command.len() + 8;
            if size > MAX_CATCH_UP_BYTES && !commands.is_empty() {
                break;
            }
            upto = entry.at.index;
            if !entry.command.is_empty() {
                commands.push((upto, entry.command.clone()));
            }
        }
        self.send(to, Payload::Decided { after, upto, commands });
    }

    fn send(&mut self, to: u64, payload: Payload) {
        if let Some(bytes) = Envelope::encode(self.store, payload) {
            self.deferred.push(Output::Send { to, bytes });
        }
    }

    fn propose(&mut self, token: u64, command: Vec<u8>, out: &mut Vec<Output>) {
        point!(AGREE_PROPOSE);
        let log = self.node.store();
        let log_full = log.last().index - log.snapshot.at.index >= 4 * self.settings.snapshot_every;
        let queue_full = self.queue.len() + self.outstanding.len() >= MAX_PROPOSALS;
        let invalid = command.is_empty() || command.len() > self.settings.max_command;
        if log_full || queue_full || invalid || self.leader.is_none() || !self.is_voting() {
            out.push(Output::Lost { token });
            return;
        }
        self.queue.push_back((token, command));
    }

    /// Passes queued proposals to the engine, several per message.
    fn submit_queued(&mut self, now: Micros) {
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
                if size >= MAX_MESSAGE_COMMAND_BYTES {
                    break;
                }
            }
            match self.node.step(message) {
                Ok(()) => {
                    let until = now.saturating_add(PROPOSAL_TIMEOUT_ELECTIONS * self.election_time());
                    self.outstanding.extend(tokens.into_iter().map(|token| (token, until)));
                }
                Err(_) => self.deferred.extend(tokens.into_iter().map(|token| Output::Lost { token })),
            }
        }
    }

    fn handle_snapshot(&mut self, index: u64, bytes: Vec<u8>) {
        if self.requested_snapshot != Some(index) {
            return;
        }
        self.requested_snapshot = None;
        if bytes.len() > MAX_SNAPSHOT {
            self.deferred.push(Output::Notice(Notice::SnapshotTooLong { bytes: bytes.len() }));
            return;
        }
        // Some entries are retained for voters that are slightly behind.
        let trim = index - (self.settings.snapshot_every / 4).min(index);
        let trim = trim.max(self.node.store().trimmed.index);
        self.node.mut_store().compact(index, bytes, trim);
    }

    fn handle_timeout(&mut self, now: Micros, out: &mut Vec<Output>) {
        if let Some(store_retry) = &mut self.store_retry {
            if now >= store_retry.retry_at {
                // No further attempt until the store answers.
                store_retry.retry_at = Micros::MAX;
                if let Some((batch, _)) = &self.in_flight {
                    out.push(Output::Store(batch.clone()));
                }
            }
            return;
        }
        if self.admission.state == VoterState::StoreLost {
            return self.follower.handle(now, Input::Timeout, &mut self.deferred);
        }
        if now < self.next_tick {
            return;
        }
        self.next_tick = now.saturating_add(self.settings.timing.tick);
        let timed_out: Vec<u64> =
            self.outstanding.iter().filter(|(_, until)| **until <= now).map(|(token, _)| *token).collect();
        for token in timed_out {
            self.outstanding.remove(&token);
            out.push(Output::Lost { token });
        }
        if self.deferred.len() > MAX_DEFERRED {
            return;
        }
        if self.admission.state == VoterState::Voting {
            self.node.tick();
            self.set_election_timeout();
        } else if now >= self.next_request {
            self.next_request = now.saturating_add(self.election_time());
            for voter in self.admission.unconfirmed() {
                self.send(voter, Payload::AdmissionRequest);
            }
        }
    }

    fn handle_stored(&mut self, number: u64, out: &mut Vec<Output>) {
        if self.in_flight.as_ref().is_none_or(|(batch, _)| batch.number != number) {
            return;
        }
        if let Some((_, dependents)) = self.in_flight.take() {
            self.stats.batches += 1;
            self.emit(dependents, out);
        }
        if self.store_retry.take().is_some() {
            out.push(Output::Notice(Notice::StoreRecovered));
        }
    }

    /// Handles a failed write. The voter stays silent, since everything it would send depends on the batch
    /// that can't be stored.
    fn handle_store_failure(&mut self, now: Micros, number: u64, why: String, out: &mut Vec<Output>) {
        if self.in_flight.as_ref().is_none_or(|(batch, _)| batch.number != number) {
            return;
        }
        let election = self.election_time();
        let backoff = self
            .store_retry
            .take()
            .map_or(election, |store_retry| (store_retry.backoff * 2).min(MAX_BACKOFF_ELECTIONS * election));
        let retry_at = now.saturating_add(backoff);
        self.store_retry = Some(StoreRetry { retry_at, backoff });
        out.push(Output::Notice(Notice::StoreFailed { why, again: backoff }));
        // Decided commands remain valid; messages would be outdated by the time the store works again.
        let outlives_failure = |output: &Output| !matches!(output, Output::Send { .. } | Output::Leader(_));
        self.deferred.retain(outlives_failure);
        if let Some((_, dependents)) = &mut self.in_flight {
            dependents.retain(outlives_failure);
        }
        let outstanding = std::mem::take(&mut self.outstanding).into_keys();
        let queued = std::mem::take(&mut self.queue).into_iter().map(|(token, _)| token);
        out.extend(outstanding.chain(queued).map(|token| Output::Lost { token }));
        if self.leader.take().is_some() {
            point!(AGREE_LEAD);
            out.push(Output::Leader(None));
        }
    }

    /// Processes what the engine has ready, and returns the outputs that depend on nothing unstored.
    fn process(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.store_retry.is_some() || self.admission.state == VoterState::StoreLost {
            // A voter that only learns has nothing to store; the waiting outputs depend on batches that are
            // stored.
            if self.store_retry.is_none() && self.in_flight.is_none() {
                let deferred = std::mem::take(&mut self.deferred);
                self.emit(deferred, out);
            }
            return;
        }
        if self.in_flight.is_none() {
            self.submit_queued(now);
        }
        while self.node.has_ready() {
            self.process_ready();
        }
        let leader = Some(self.node.raft.leader_id).filter(|leader| *leader != 0);
        if leader != self.leader {
            point!(AGREE_LEAD);
            self.leader = leader;
            self.deferred.push(Output::Leader(leader));
        }
        self.stats.max_deferred = self.stats.max_deferred.max(self.deferred.len() as u64);
        if self.in_flight.is_some() {
            return;
        }
        let deferred = std::mem::take(&mut self.deferred);
        match self.node.mut_store().take_batch() {
            Some(batch) => {
                out.push(Output::Store(batch.clone()));
                if planted!(SendsEarly) {
                    self.in_flight = Some((batch, Vec::new()));
                    self.emit(deferred, out);
                } else {
                    self.in_flight = Some((batch, deferred));
                }
            }
            None => self.emit(deferred, out),
        }
    }

    fn process_ready(&mut self) {
        let mut ready = self.node.ready();
        let mut messages = ready.take_messages();
        messages.extend(ready.take_persisted_messages());
        if *ready.snapshot() != raft::eraftpb::Snapshot::default() {
            let snapshot = ready.snapshot().clone();
            let at = Mark { index: snapshot.get_metadata().index, term: snapshot.get_metadata().term };
            let kept = Kept { at, bytes: snapshot.data.to_vec() };
            self.delivered_index = at.index;
            self.requested_snapshot = None;
            self.next_snapshot = at.index + self.settings.snapshot_every;
            self.deferred.push(Output::Restore { index: at.index, bytes: kept.bytes.clone() });
            self.node.mut_store().install(kept);
        }
        let entries = from_engine_entries(ready.take_entries());
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
            self.deliver(entry);
        }
        self.node.advance_apply();
        for message in messages {
            let to = message.to;
            if message.get_msg_type() == MessageType::MsgSnapshot {
                // The message may be lost. It is reported as delivered; if it was not, the engine notices at
                // the next heartbeat.
                self.node.report_snapshot(to, SnapshotStatus::Finish);
            }
            if let Some(engine_message) = EngineMessage::from_engine(message) {
                self.send(to, Payload::Engine(engine_message));
            }
        }
        self.set_election_timeout();
    }

    fn deliver(&mut self, entry: RaftEntry) {
        self.delivered_index = entry.index;
        if let Ok((voter, start, token)) = postcard::from_bytes::<(u64, u64, u64)>(&entry.context) {
            if (voter, start) == (self.settings.own, self.start) {
                self.outstanding.remove(&token);
            }
        }
        // The first entry of a leader is empty.
        if !entry.data.is_empty() {
            let decided = Output::Decided { index: entry.index, command: entry.data.to_vec() };
            if planted!(DeliversTwice) && entry.index.is_multiple_of(8) {
                self.deferred.push(decided.clone());
            }
            self.deferred.push(decided);
        }
        if self.requested_snapshot.is_none() && entry.index >= self.next_snapshot {
            self.requested_snapshot = Some(entry.index);
            self.next_snapshot = entry.index + self.settings.snapshot_every;
            self.deferred.push(Output::TakeSnapshot { index: entry.index });
        }
    }

    fn emit(&mut self, outputs: Vec<Output>, out: &mut Vec<Output>) {
        for output in outputs {
            match &output {
                Output::Send { .. } => point!(AGREE_SEND),
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
