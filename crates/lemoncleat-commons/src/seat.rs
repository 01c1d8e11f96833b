//! The node's seat in the agreement: a voter with its store, or a follower; and the state that the log makes.

use std::cell::Cell;
use std::collections::BTreeMap;

use lemoncleat_agreement::{
    Batch, Follower, Found, Input, Notice, Output, Settings, Timing, Voter, MAX_COMMAND,
};
use lemoncleat_configuration::Ledger;
use lemoncleat_fleet::MemberId;
use serde_json::{json, Value};

use crate::part::{name, Names};
use crate::pieces::Errand;
use crate::state::{Command, State, LONGEST_ORDER, LONGEST_TEXT};
use crate::Micros;

/// How long an operator waits for what he asked to be agreed.
const PATIENCE: Micros = 10_000_000;
/// Most orders that wait to be agreed.
const MOST_WISHES: usize = 1_024;
/// Entries after which the log is cut.
const SNAPSHOT_EVERY: u64 = 1_000;
/// What a node's seat in the agreement rests on.
#[derive(Debug)]
pub enum Seat {
    /// A voter, with what its store held.
    Voter(Found),
    /// A voter whose store can't be used, and why: it follows, and calls go on.
    Broken(String),
    /// No voter.
    Follower,
}

enum Core {
    Voter(Box<Voter>),
    Follower(Follower),
}

/// What an operator asked for, until it is agreed.
struct Wish {
    order: String,
    command: Vec<u8>,
    conn: u64,
    until: Micros,
    again: Micros,
}

/// What the seat asks for.
pub(crate) enum Ask {
    /// Say this to a member.
    Say(MemberId, Errand),
    /// Store this, and tell [`Agreed::stored`].
    Store(Batch),
    /// Answer an operator.
    Answer(u64, Value),
    /// For the log: whether it is bad news, and what.
    Log(bool, String),
}

/// A node's part in the agreement.
pub(crate) struct Agreed {
    names: Names,
    core: Core,
    /// Why a voter of the settings only follows: its store can't be used.
    broken: Option<String>,
    voters: Vec<MemberId>,
    own: MemberId,
    state: State,
    wishes: BTreeMap<u64, Wish>,
    next: u64,
    /// The voter that a follower proposes to.
    asked: usize,
    retry: Micros,
    leader: Option<u64>,
    /// The ledger of the configuration changed since it was looked at.
    ledger_changed: bool,
    /// Marks were asked for since the last turn.
    marks_asked: Cell<bool>,
    on_demand: bool,
}

/// Voters' numbers are the members' and never 0.
fn number(id: MemberId) -> u64 {
    u64::from(id.0) + 1
}

fn member(number: u64) -> Option<MemberId> {
    Some(MemberId(u32::try_from(number.checked_sub(1)?).ok()?))
}

impl Agreed {
    /// Takes the seat.
    pub(crate) fn new(
        names: Names,
        own: MemberId,
        voters: Vec<MemberId>,
        seat: Seat,
        tick: Micros,
        seed: u64,
    ) -> Agreed {
        let timing = Timing { tick, ..Timing::default() };
        let numbers: Vec<u64> = voters.iter().copied().map(number).collect();
        let settings = Settings {
            own: number(own),
            voters: numbers.clone(),
            timing,
            max_command: MAX_COMMAND,
            snapshot_every: SNAPSHOT_EVERY,
        };
        let sat = match seat {
            Seat::Voter(found) => {
                Voter::new(settings, found, seed).map_err(|error| error.to_string()).map(Some)
            }
            Seat::Broken(why) => Err(why),
            Seat::Follower => Ok(None),
        };
        let follower = || Core::Follower(Follower::new(number(own), &numbers, timing, seed));
        let (core, broken) = match sat {
            Ok(Some(voter)) => (Core::Voter(Box::new(voter)), None),
            Ok(None) => (follower(), None),
            Err(why) => (follower(), Some(why)),
        };
        Agreed {
            names,
            core,
            broken,
            voters,
            own,
            state: State::default(),
            wishes: BTreeMap::new(),
            next: 0,
            asked: 0,
            retry: tick.saturating_mul(20),
            leader: None,
            ledger_changed: true,
            marks_asked: Cell::new(false),
            on_demand: false,
        }
    }

    /// The voters, the node itself among them where it is one.
    pub(crate) fn voters(&self) -> &[MemberId] {
        &self.voters
    }

    /// The members have these names from now on.
    pub(crate) fn rename(&mut self, names: Names) {
        self.names = names;
    }

    /// Why a voter of the settings only follows.
    pub(crate) fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    /// When it wants a turn at the latest.
    pub(crate) fn wake(&self) -> Option<Micros> {
        let seat = match &self.core {
            Core::Voter(voter) => voter.wake(),
            Core::Follower(follower) => follower.wake(),
        };
        let wishes = self.wishes.values().map(|wish| wish.again.min(wish.until));
        wishes.chain(seat).min()
    }

    /// An errand of another member.
    pub(crate) fn errand(&mut self, now: Micros, from: MemberId, errand: Errand, out: &mut Vec<Ask>) {
        match errand {
            Errand::Agreement(bytes) => {
                self.input(now, Input::Heard { from: number(from), bytes: &bytes }, out);
            }
            Errand::Propose(command) => {
                if matches!(self.core, Core::Voter(..)) {
                    self.input(now, Input::Propose { token: 0, command }, out);
                }
            }
            Errand::Piece { .. } | Errand::Rules(_) | Errand::Configuration(_) => {}
        }
    }

    /// A batch is stored, or could not be.
    pub(crate) fn stored(&mut self, now: Micros, batch: u64, result: Result<(), String>, out: &mut Vec<Ask>) {
        let input = match result {
            Ok(()) => Input::Stored(batch),
            Err(why) => Input::StoreFailed(batch, why),
        };
        self.input(now, input, out);
    }

    /// Time has passed.
    pub(crate) fn timeout(&mut self, now: Micros, out: &mut Vec<Ask>) {
        if self.marks_asked.take() {
            self.learn(now);
        }
        let due = match &self.core {
            Core::Voter(voter) => voter.wake(),
            Core::Follower(follower) => follower.wake(),
        };
        if due.is_some_and(|due| due <= now) {
            self.input(now, Input::Timeout, out);
        }
        let late: Vec<u64> =
            self.wishes.iter().filter(|(_, wish)| wish.until <= now).map(|(token, _)| *token).collect();
        for wish in late.into_iter().filter_map(|token| self.wishes.remove(&token)) {
            let error = "not agreed in time: it may be later; ask again with the same order";
            out.push(Ask::Answer(wish.conn, json!({"ok": false, "order": wish.order, "error": error})));
        }
        let again: Vec<u64> =
            self.wishes.iter().filter(|(_, wish)| wish.again <= now).map(|(token, _)| *token).collect();
        for token in again {
            self.propose(now, token, out);
        }
    }

    /// An operator's mark: agreed once however often and wherever it is asked for. The answer follows when it is.
    pub(crate) fn mark(&mut self, now: Micros, conn: u64, order: &str, text: &str, out: &mut Vec<Ask>) {
        let refused = if order.is_empty() || order.len() > LONGEST_ORDER || text.len() > LONGEST_TEXT {
            Some(format!(
                "expected an order of 1 to {LONGEST_ORDER} bytes and a text of {LONGEST_TEXT} at the most"
            ))
        } else if self.wishes.len() >= MOST_WISHES {
            Some("too many orders wait to be agreed".to_owned())
        } else {
            None
        };
        if let Some(error) = refused {
            return out.push(Ask::Answer(conn, json!({"ok": false, "error": error})));
        }
        if let Some(index) = self.state.place(order) {
            return out.push(Ask::Answer(conn, json!({"ok": true, "order": order, "index": index})));
        }
        self.learn(now);
        let command = Command::Mark { order: order.to_owned(), text: text.to_owned() }.to_bytes();
        self.next += 1;
        let wish = Wish { order: order.to_owned(), command, conn, until: now + PATIENCE, again: now };
        self.wishes.insert(self.next, wish);
        self.propose(now, self.next, out);
    }

    /// The operator's connection is gone: nobody waits for its answers.
    pub(crate) fn operator_left(&mut self, conn: u64) {
        self.wishes.retain(|_, wish| wish.conn != conn);
    }

    /// A follower of a fleet with a configuration learns only while an operator asks.
    pub(crate) fn learn_on_demand(&mut self) {
        if let Core::Follower(follower) = &mut self.core {
            follower.learn_until(0);
        }
        self.on_demand = true;
    }

    fn learn(&mut self, now: Micros) {
        if let (Core::Follower(follower), true) = (&mut self.core, self.on_demand) {
            follower.learn_until(now + PATIENCE);
        }
    }

    /// Proposes a command of the configuration; whoever wants it says it again while nothing comes of it.
    pub(crate) fn command(&mut self, now: Micros, command: Vec<u8>, out: &mut Vec<Ask>) {
        let command = Command::Configuration(command).to_bytes();
        self.hand_on(now, 0, command, out);
    }

    /// At a voter: the configuration's ledger if it changed, and whether this node leads.
    pub(crate) fn ledger(&mut self) -> (Option<&Ledger>, bool) {
        let voter = matches!(self.core, Core::Voter(..));
        let changed = voter && std::mem::take(&mut self.ledger_changed);
        (changed.then(|| self.state.ledger()), voter && self.leader == Some(number(self.own)))
    }

    fn propose(&mut self, now: Micros, token: u64, out: &mut Vec<Ask>) {
        let Some(wish) = self.wishes.get_mut(&token) else { return };
        wish.again = now + self.retry;
        let command = wish.command.clone();
        self.hand_on(now, token, command, out);
    }

    fn hand_on(&mut self, now: Micros, token: u64, command: Vec<u8>, out: &mut Vec<Ask>) {
        if matches!(&self.core, Core::Voter(voter) if voter.is_voting() && voter.leader().is_some()) {
            return self.input(now, Input::Propose { token, command }, out);
        }
        // Another voter each time: the one asked may be gone, or kept from voting as this one is.
        let others: Vec<MemberId> = self.voters.iter().copied().filter(|voter| *voter != self.own).collect();
        self.asked = (self.asked + 1) % others.len().max(1);
        out.extend(others.get(self.asked).map(|to| Ask::Say(*to, Errand::Propose(command))));
    }

    fn input(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Ask>) {
        let mut outputs = Vec::new();
        match &mut self.core {
            Core::Voter(voter) => voter.handle(now, input, &mut outputs),
            Core::Follower(follower) => follower.handle(now, input, &mut outputs),
        }
        // What follows from an output comes after all that came with it.
        let mut further = Vec::new();
        for output in outputs {
            further.extend(self.output(output, out));
        }
        for input in further {
            self.input(now, input, out);
        }
    }

    fn output(&mut self, output: Output, out: &mut Vec<Ask>) -> Option<Input<'static>> {
        match output {
            Output::Tell { to, bytes } => {
                out.extend(member(to).map(|to| Ask::Say(to, Errand::Agreement(bytes))));
            }
            Output::Store(batch) => out.push(Ask::Store(batch)),
            Output::Decided { index, command } => {
                let before = self.state.ledger().verdicts();
                self.state.apply(index, &command);
                let ledger = self.state.ledger();
                self.ledger_changed |= ledger.announcement().step == index || ledger.verdicts() != before;
                self.fulfil(out);
            }
            Output::Restore { index, bytes } => {
                self.ledger_changed = true;
                if !self.state.restore(&bytes) {
                    out.push(Ask::Log(true, format!("the agreed state up to {index} can't be read")));
                }
                self.fulfil(out);
            }
            Output::TakeSnapshot { index } => {
                return Some(Input::Snapshot { index, bytes: self.state.snapshot() });
            }
            Output::Leader(leader) => {
                self.leader = leader;
                let text = match leader.and_then(member) {
                    Some(leader) => format!("the agreement is led by {}", name(&self.names, leader)),
                    None => "the agreement has no leader: nothing is agreed".to_owned(),
                };
                out.push(Ask::Log(leader.is_none(), text));
            }
            // Proposed again in time.
            Output::Lost { .. } => {}
            Output::Notice(notice) => out.push(told(&self.names, &notice)),
        }
        None
    }

    /// Answers operators whose orders are agreed.
    fn fulfil(&mut self, out: &mut Vec<Ask>) {
        let state = &self.state;
        self.wishes.retain(|_, wish| match state.place(&wish.order) {
            Some(index) => {
                let answer = json!({"ok": true, "order": wish.order, "index": index});
                out.push(Ask::Answer(wish.conn, answer));
                false
            }
            None => true,
        });
    }

    /// What an operator is told of the agreement.
    pub(crate) fn status(&self) -> Value {
        let leader = self.leader.and_then(member).map(|leader| name(&self.names, leader));
        let mut status = json!({
            "ok": true, "leader": leader, "index": self.state.index(), "unread": self.state.unread(),
            "waiting": self.wishes.len(), "trouble": self.broken,
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

    /// The marks after an entry.
    pub(crate) fn marks(&self, after: u64) -> Value {
        self.marks_asked.set(true);
        let marks = self.state.marks(after);
        let marks: Vec<Value> =
            marks.map(|mark| json!({"index": mark.index, "order": mark.order, "text": mark.text})).collect();
        json!({"ok": true, "index": self.state.index(), "marks": marks})
    }
}

fn told(names: &Names, notice: &Notice) -> Ask {
    match notice {
        Notice::StoreFailed { why, again } => {
            let seconds = *again as f64 / 1e6;
            Ask::Log(
                true,
                format!(
                    "the agreement's store fails: {why}; no voting until it works, next try in {seconds} s"
                ),
            )
        }
        Notice::StoreWorks => Ask::Log(false, "the agreement's store works again".to_owned()),
        Notice::Admitted => Ask::Log(false, "admitted as a voter by all others".to_owned()),
        Notice::StoreLost { by } => {
            let by = member(*by).map_or_else(|| by.to_string(), |by| name(names, by));
            Ask::Log(
                true,
                format!("voter {by} knew this one under another store: this one only learns from now on"),
            )
        }
        Notice::SnapshotTooLong { bytes } => {
            Ask::Log(true, format!("the agreed state takes {bytes} bytes: the log can't be cut"))
        }
    }
}
