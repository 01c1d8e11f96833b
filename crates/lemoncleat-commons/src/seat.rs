//! The node's role in the agreement, as a voter with a store or as a follower, and the replicated state.

use std::cell::Cell;
use std::collections::BTreeMap;

use lemoncleat_agreement::{
    Batch, Follower, Found, Input, Notice, Output, Settings, Timing, Voter, MAX_COMMAND,
};
use lemoncleat_configuration::Ledger;
use lemoncleat_fleet::MemberId;
use serde_json::{json, Value};

use crate::fragments::PeerMessage;
use crate::part::{name, Names};
use crate::state::{Command, State, LONGEST_ORDER, LONGEST_TEXT};
use crate::Micros;

/// Time within which an operator's order has to be agreed.
const ORDER_TIMEOUT_US: Micros = 10_000_000;
/// Maximum number of pending orders.
const MAX_PENDING_ORDERS: usize = 1_024;
/// Entries after which the log is replaced by a snapshot.
const SNAPSHOT_INTERVAL: u64 = 1_000;

/// The role of a node in the agreement.
#[derive(Debug)]
pub enum VoterRole {
    /// A voter, with the content of its store.
    Voter(Found),
    /// A voter whose store can't be used, with the reason. It only follows, and its calls go on.
    Broken(String),
    /// A member that is not a voter.
    Follower,
}

enum Core {
    Voter(Box<Voter>),
    Follower(Follower),
}

/// An operator's order that is not agreed yet.
struct PendingOrder {
    order: String,
    command: Vec<u8>,
    conn: u64,
    deadline: Micros,
    retry_at: Micros,
}

/// An action for the part.
pub(crate) enum Action {
    /// Send this message to a member.
    Send(MemberId, PeerMessage),
    /// Store this batch and call [`Agreement::stored`].
    Store(Batch),
    /// Answer an operator.
    Answer(u64, Value),
    /// Log this line; the flag marks a warning.
    Log(bool, String),
}

/// A node's state in the agreement.
pub(crate) struct Agreement {
    names: Names,
    core: Core,
    /// The reason why a configured voter only follows, if its store can't be used.
    store_error: Option<String>,
    voters: Vec<MemberId>,
    own: MemberId,
    state: State,
    pending_orders: BTreeMap<u64, PendingOrder>,
    last_token: u64,
    /// The index of the voter that the last command was sent to.
    last_voter: usize,
    retry_interval: Micros,
    leader: Option<u64>,
    /// Whether the configuration's ledger changed since [`Agreement::ledger`] was called.
    ledger_changed: bool,
    /// Whether marks were requested since the last timeout.
    marks_requested: Cell<bool>,
    on_demand: bool,
}

/// Returns the voter number of a member: its identifier plus one, as voter numbers must not be 0.
fn voter_number(id: MemberId) -> u64 {
    u64::from(id.0) + 1
}

fn member_of(number: u64) -> Option<MemberId> {
    Some(MemberId(u32::try_from(number.checked_sub(1)?).ok()?))
}

impl Agreement {
    /// Creates the state for a role.
    pub(crate) fn new(
        names: Names,
        own: MemberId,
        voters: Vec<MemberId>,
        seat: VoterRole,
        tick: Micros,
        seed: u64,
    ) -> Agreement {
        let timing = Timing { tick, ..Timing::default() };
        let numbers: Vec<u64> = voters.iter().copied().map(voter_number).collect();
        let settings = Settings {
            own: voter_number(own),
            voters: numbers.clone(),
            timing,
            max_command: MAX_COMMAND,
            snapshot_every: SNAPSHOT_INTERVAL,
        };
        let voter_or_error = match seat {
            VoterRole::Voter(found) => {
                Voter::new(settings, found, seed).map_err(|error| error.to_string()).map(Some)
            }
            VoterRole::Broken(why) => Err(why),
            VoterRole::Follower => Ok(None),
        };
        let follower = || Core::Follower(Follower::new(voter_number(own), &numbers, timing, seed));
        let (core, store_error) = match voter_or_error {
            Ok(Some(voter)) => (Core::Voter(Box::new(voter)), None),
            Ok(None) => (follower(), None),
            Err(why) => (follower(), Some(why)),
        };
        Agreement {
            names,
            core,
            store_error,
            voters,
            own,
            state: State::default(),
            pending_orders: BTreeMap::new(),
            last_token: 0,
            last_voter: 0,
            retry_interval: tick.saturating_mul(20),
            leader: None,
            ledger_changed: true,
            marks_requested: Cell::new(false),
            on_demand: false,
        }
    }

    /// Returns the voters, including this node if it is one.
    pub(crate) fn voters(&self) -> &[MemberId] {
        &self.voters
    }

    /// Replaces the names of the members.
    pub(crate) fn rename(&mut self, names: Names) {
        self.names = names;
    }

    /// Returns the reason why a configured voter only follows, if it does.
    pub(crate) fn store_error(&self) -> Option<&str> {
        self.store_error.as_deref()
    }

    /// Returns the latest time at which [`Agreement::timeout`] is due.
    pub(crate) fn wake(&self) -> Option<Micros> {
        let seat = match &self.core {
            Core::Voter(voter) => voter.wake(),
            Core::Follower(follower) => follower.wake(),
        };
        let pending_orders =
            self.pending_orders.values().map(|pending| pending.retry_at.min(pending.deadline));
        pending_orders.chain(seat).min()
    }

    /// Handles a message of another member.
    pub(crate) fn message_received(
        &mut self,
        now: Micros,
        from: MemberId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::Agreement(bytes) => {
                self.input(now, Input::Received { from: voter_number(from), bytes: &bytes }, out);
            }
            PeerMessage::Propose(command) => {
                if matches!(self.core, Core::Voter(..)) {
                    self.input(now, Input::Propose { token: 0, command }, out);
                }
            }
            PeerMessage::Fragment { .. } | PeerMessage::Rules(_) | PeerMessage::Configuration(_) => {}
        }
    }

    /// Handles the result of storing a batch.
    pub(crate) fn stored(
        &mut self,
        now: Micros,
        batch: u64,
        result: Result<(), String>,
        out: &mut Vec<Action>,
    ) {
        let input = match result {
            Ok(()) => Input::Stored(batch),
            Err(why) => Input::StoreFailed(batch, why),
        };
        self.input(now, input, out);
    }

    /// Handles a timeout.
    pub(crate) fn timeout(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.marks_requested.take() {
            self.follow_log(now);
        }
        let due = match &self.core {
            Core::Voter(voter) => voter.wake(),
            Core::Follower(follower) => follower.wake(),
        };
        if due.is_some_and(|due| due <= now) {
            self.input(now, Input::Timeout, out);
        }
        let expired: Vec<u64> = self
            .pending_orders
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(token, _)| *token)
            .collect();
        for pending in expired.into_iter().filter_map(|token| self.pending_orders.remove(&token)) {
            let error = "not agreed in time: it may be later; ask again with the same order";
            out.push(Action::Answer(
                pending.conn,
                json!({"ok": false, "order": pending.order, "error": error}),
            ));
        }
        let to_retry: Vec<u64> = self
            .pending_orders
            .iter()
            .filter(|(_, pending)| pending.retry_at <= now)
            .map(|(token, _)| *token)
            .collect();
        for token in to_retry {
            self.propose(now, token, out);
        }
    }

    /// Proposes an operator's mark. Its order is agreed only once, even if it is repeated or sent to several
    /// nodes. The answer follows when it is agreed.
    pub(crate) fn mark(&mut self, now: Micros, conn: u64, order: &str, text: &str, out: &mut Vec<Action>) {
        let refused = if order.is_empty() || order.len() > LONGEST_ORDER || text.len() > LONGEST_TEXT {
            Some(format!(
                "expected an order of 1 to {LONGEST_ORDER} bytes and a text of {LONGEST_TEXT} at the most"
            ))
        } else if self.pending_orders.len() >= MAX_PENDING_ORDERS {
            Some("too many orders wait to be agreed".to_owned())
        } else {
            None
        };
        if let Some(error) = refused {
            return out.push(Action::Answer(conn, json!({"ok": false, "error": error})));
        }
        if let Some(index) = self.state.index_of(order) {
            return out.push(Action::Answer(conn, json!({"ok": true, "order": order, "index": index})));
        }
        self.follow_log(now);
        let command = Command::Mark { order: order.to_owned(), text: text.to_owned() }.to_bytes();
        self.last_token += 1;
        let pending = PendingOrder {
            order: order.to_owned(),
            command,
            conn,
            deadline: now + ORDER_TIMEOUT_US,
            retry_at: now,
        };
        self.pending_orders.insert(self.last_token, pending);
        self.propose(now, self.last_token, out);
    }

    /// Drops the pending orders of an operator whose connection was closed.
    pub(crate) fn operator_left(&mut self, conn: u64) {
        self.pending_orders.retain(|_, pending| pending.conn != conn);
    }

    /// Makes a follower pull the log only after an operator's request, as in a fleet with a configuration.
    pub(crate) fn follow_on_demand(&mut self) {
        if let Core::Follower(follower) = &mut self.core {
            follower.poll_until(0);
        }
        self.on_demand = true;
    }

    fn follow_log(&mut self, now: Micros) {
        if let (Core::Follower(follower), true) = (&mut self.core, self.on_demand) {
            follower.poll_until(now + ORDER_TIMEOUT_US);
        }
    }

    /// Proposes a command of the configuration. It may be lost; the caller has to repeat it.
    pub(crate) fn propose_configuration(&mut self, now: Micros, command: Vec<u8>, out: &mut Vec<Action>) {
        let command = Command::Configuration(command).to_bytes();
        self.submit(now, 0, command, out);
    }

    /// At a voter: returns the configuration's ledger if it changed, and whether this node is the leader.
    pub(crate) fn ledger(&mut self) -> (Option<&Ledger>, bool) {
        let voter = matches!(self.core, Core::Voter(..));
        let changed = voter && std::mem::take(&mut self.ledger_changed);
        (changed.then(|| self.state.ledger()), voter && self.leader == Some(voter_number(self.own)))
    }

    fn propose(&mut self, now: Micros, token: u64, out: &mut Vec<Action>) {
        let Some(pending) = self.pending_orders.get_mut(&token) else { return };
        pending.retry_at = now + self.retry_interval;
        let command = pending.command.clone();
        self.submit(now, token, command, out);
    }

    fn submit(&mut self, now: Micros, token: u64, command: Vec<u8>, out: &mut Vec<Action>) {
        if matches!(&self.core, Core::Voter(voter) if voter.is_voting() && voter.leader().is_some()) {
            return self.input(now, Input::Propose { token, command }, out);
        }
        // Another voter each time: the last one may be gone, or not allowed to vote like this one.
        let others: Vec<MemberId> = self.voters.iter().copied().filter(|voter| *voter != self.own).collect();
        self.last_voter = (self.last_voter + 1) % others.len().max(1);
        out.extend(others.get(self.last_voter).map(|to| Action::Send(*to, PeerMessage::Propose(command))));
    }

    fn input(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Action>) {
        let mut outputs = Vec::new();
        match &mut self.core {
            Core::Voter(voter) => voter.handle(now, input, &mut outputs),
            Core::Follower(follower) => follower.handle(now, input, &mut outputs),
        }
        // Inputs that result from an output are handled after all outputs of the same step.
        let mut follow_ups = Vec::new();
        for output in outputs {
            follow_ups.extend(self.output(output, out));
        }
        for input in follow_ups {
            self.input(now, input, out);
        }
    }

    fn output(&mut self, output: Output, out: &mut Vec<Action>) -> Option<Input<'static>> {
        match output {
            Output::Send { to, bytes } => {
                out.extend(member_of(to).map(|to| Action::Send(to, PeerMessage::Agreement(bytes))));
            }
            Output::Store(batch) => out.push(Action::Store(batch)),
            Output::Decided { index, command } => {
                let before = self.state.ledger().verdicts();
                self.state.apply(index, &command);
                let ledger = self.state.ledger();
                self.ledger_changed |= ledger.announcement().step == index || ledger.verdicts() != before;
                self.answer_agreed(out);
            }
            Output::Restore { index, bytes } => {
                self.ledger_changed = true;
                if !self.state.restore(&bytes) {
                    out.push(Action::Log(true, format!("the agreed state up to {index} can't be read")));
                }
                self.answer_agreed(out);
            }
            Output::TakeSnapshot { index } => {
                return Some(Input::Snapshot { index, bytes: self.state.snapshot() });
            }
            Output::Leader(leader) => {
                self.leader = leader;
                let text = match leader.and_then(member_of) {
                    Some(leader) => format!("the agreement is led by {}", name(&self.names, leader)),
                    None => "the agreement has no leader: nothing is agreed".to_owned(),
                };
                out.push(Action::Log(leader.is_none(), text));
            }
            // The pending order is proposed again after the retry interval.
            Output::Lost { .. } => {}
            Output::Notice(notice) => out.push(describe(&self.names, &notice)),
        }
        None
    }

    /// Answers the operators whose orders are agreed.
    fn answer_agreed(&mut self, out: &mut Vec<Action>) {
        let state = &self.state;
        self.pending_orders.retain(|_, pending| match state.index_of(&pending.order) {
            Some(index) => {
                let answer = json!({"ok": true, "order": pending.order, "index": index});
                out.push(Action::Answer(pending.conn, answer));
                false
            }
            None => true,
        });
    }

    /// Returns the state of the agreement for an operator.
    pub(crate) fn status(&self) -> Value {
        let leader = self.leader.and_then(member_of).map(|leader| name(&self.names, leader));
        let mut status = json!({
            "ok": true, "leader": leader, "index": self.state.index(), "unread": self.state.undecodable(),
            "waiting": self.pending_orders.len(), "trouble": self.store_error,
        });
        match &self.core {
            Core::Voter(voter) => {
                let stats = voter.stats();
                status["seat"] = if voter.is_voting() { "voter" } else { "kept from voting" }.into();
                status["term"] = stats.term.into();
                status["log"] = stats.log.into();
                status["batches"] = stats.batches.into();
            }
            Core::Follower(_) => status["seat"] = "follower".into(),
        }
        status
    }

    /// Returns the marks after a log index.
    pub(crate) fn marks(&self, after: u64) -> Value {
        self.marks_requested.set(true);
        let marks = self.state.marks(after);
        let marks: Vec<Value> =
            marks.map(|mark| json!({"index": mark.index, "order": mark.order, "text": mark.text})).collect();
        json!({"ok": true, "index": self.state.index(), "marks": marks})
    }
}

fn describe(names: &Names, notice: &Notice) -> Action {
    match notice {
        Notice::StoreFailed { why, again } => {
            let seconds = *again as f64 / 1e6;
            Action::Log(
                true,
                format!(
                    "the agreement's store fails: {why}; no voting until it works, next try in {seconds} s"
                ),
            )
        }
        Notice::StoreRecovered => Action::Log(false, "the agreement's store works again".to_owned()),
        Notice::Admitted => Action::Log(false, "admitted as a voter by all others".to_owned()),
        Notice::StoreLost { by } => {
            let by = member_of(*by).map_or_else(|| by.to_string(), |by| name(names, by));
            Action::Log(
                true,
                format!("voter {by} knew this one under another store: this one only learns from now on"),
            )
        }
        Notice::SnapshotTooLong { bytes } => {
            Action::Log(true, format!("the agreed state takes {bytes} bytes: the log can't be compacted"))
        }
    }
}
