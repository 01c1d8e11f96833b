//! Membership of the node's tier, exchanged in datagrams between access nodes. It runs after the call traffic
//! of each turn and never delays it.
//!
//! The members are the platform's `peers`, named by their numbers; their zones are not known. A fleet message
//! begins with [`FLEET_TAG`], in place of its sender's digest, which follows more reliably from the
//! address that it came from.

use std::collections::{BTreeMap, VecDeque};

use lemoncleat_core::Micros;
use lemoncleat_fleet::{
    Fleet, Input, Member, MemberId, Notice as FleetNotice, Output, Settings, State, Transport,
};

use crate::interface;
use crate::node::AccessNode;
use crate::notice::Notice;
use crate::peer_messages::MAX_MESSAGE_BYTES;

/// First byte of a fleet message. No message of the module begins with it.
pub(crate) const FLEET_TAG: u8 = 0xf1;
/// Maximum number of messages waiting for the fleet's turn; a node receives a few dozen a second.
const MAX_WAITING_MESSAGES: usize = 64;
/// Maximum number of messages processed in one turn.
const MAX_MESSAGES_PER_TURN: usize = 16;
/// Maximum number of log lines on members within each of these intervals: a fleet that starts or breaks up
/// must not fill the log.
const MEMBER_LOG_LIMIT: (u32, Micros) = (20, 10_000_000);

/// The membership core and the state that the node keeps with it.
pub(crate) struct JoinedFleet {
    pub(crate) core: Fleet,
    /// The members' ids by number, and their numbers by id.
    ids: Vec<MemberId>,
    numbers: BTreeMap<MemberId, u32>,
    waiting: VecDeque<(MemberId, Vec<u8>)>,
    /// Number of messages dropped because the queue was full.
    dropped: u64,
    /// Start of the current logging interval, log lines within it, and the total number of changes that were
    /// not logged.
    log_interval_start: Micros,
    lines_logged: u32,
    changes_not_logged: u64,
    summary_logged: bool,
}

impl JoinedFleet {
    fn name(&self, id: MemberId) -> String {
        self.numbers.get(&id).map_or_else(|| id.to_string(), u32::to_string)
    }

    /// Returns whether a change of a member may be logged.
    fn may_log_change(&mut self, now: Micros) -> bool {
        if now - self.log_interval_start >= MEMBER_LOG_LIMIT.1 {
            (self.log_interval_start, self.lines_logged) = (now, 0);
        }
        self.lines_logged += 1;
        let allowed = self.lines_logged <= MEMBER_LOG_LIMIT.0;
        self.changes_not_logged += u64::from(!allowed);
        allowed
    }
}

/// Returns a member's digest in the form in which every message of its core begins with it.
fn digest(id: MemberId) -> Vec<u8> {
    // Cannot fail: the output is five bytes in a growable buffer.
    postcard::to_allocvec(&id).unwrap_or_default()
}

impl AccessNode {
    /// Joins the fleet of the platform's `peers`, if the settings allow messages between nodes. Until then,
    /// and if that is not possible, which is logged, the node acts alone. Must be called once, before the
    /// first input.
    pub fn join_fleet(&mut self) {
        match self.joined() {
            Ok(joined) => {
                let (number, count) = (self.own_number, joined.ids.len());
                self.log_fleet(format!("joined as {number} of {count} members"));
                self.fleet = Some(Box::new(joined));
            }
            Err(why) => self.log_fleet(format!("alone: {why}")),
        }
    }

    /// Returns the node's view of the fleet, if it has joined one.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.fleet.as_ref().map(|joined| &joined.core)
    }

    fn joined(&self) -> Result<JoinedFleet, String> {
        if !self.peer_messages.allowed() {
            return Err("the settings allow no messages between nodes".to_owned());
        }
        let names = (0..self.peer_messages.peers()).map(|number| number.to_string());
        let members: Vec<_> = names.map(|name| Member { name: name.into(), zone: "".into() }).collect();
        let ids: Vec<_> = members.iter().map(|member| MemberId::of(&member.name)).collect();
        let settings = Settings::new(&self.own_number.to_string(), members, Transport::Notes);
        // The seconds increase with each start. A node restarted within the same second learns of its
        // previous start from the others and continues above it.
        let start = u32::try_from(self.epoch / 1_000_000).unwrap_or(0);
        let mut core = Fleet::new(settings, start, self.seed).map_err(|error| error.to_string())?;
        // Starts the core's clocks; there is nothing to send yet.
        core.handle(self.now, Input::Timeout, &mut Vec::new());
        let numbers = ids.iter().copied().zip(0..).collect();
        let (waiting, dropped, log_interval_start, lines_logged, changes_not_logged) =
            (VecDeque::new(), 0, self.now, 0, 0);
        Ok(JoinedFleet {
            core,
            ids,
            numbers,
            waiting,
            dropped,
            log_interval_start,
            lines_logged,
            changes_not_logged,
            summary_logged: false,
        })
    }

    /// Queues a fleet message from the node with this number for the fleet's turn.
    pub(crate) fn fleet_message(&mut self, from: u32, bytes: &[u8]) {
        let Some(joined) = &mut self.fleet else { return };
        let Some(&id) = joined.ids.get(from as usize) else { return };
        if joined.waiting.len() >= MAX_WAITING_MESSAGES {
            joined.dropped += 1;
            return;
        }
        let mut message = digest(id);
        message.extend_from_slice(bytes.get(1..).unwrap_or_default());
        joined.waiting.push_back((id, message));
    }

    /// Returns when the fleet needs its next turn; the current time while messages wait.
    pub(crate) fn fleet_wake(&self) -> Option<Micros> {
        let joined = self.fleet.as_ref().filter(|joined| !joined.summary_logged)?;
        if joined.waiting.is_empty() {
            joined.core.wake()
        } else {
            Some(self.now)
        }
    }

    /// Runs the fleet's turn, after all call processing of this one.
    pub(crate) fn run_fleet(&mut self) {
        let due = self.fleet_wake().is_some_and(|due| due <= self.now);
        let Some(mut joined) = self.fleet.take_if(|joined| due || self.stopped && !joined.summary_logged)
        else {
            return;
        };
        let mut outputs = Vec::new();
        for _ in 0..MAX_MESSAGES_PER_TURN {
            let Some((from, bytes)) = joined.waiting.pop_front() else { break };
            joined.core.handle(self.now, Input::Received { from, bytes: &bytes }, &mut outputs);
        }
        if joined.core.wake().is_some_and(|due| due <= self.now) {
            joined.core.handle(self.now, Input::Timeout, &mut outputs);
        }
        for output in outputs {
            self.fleet_output(&mut joined, output);
        }
        if self.stopped {
            joined.summary_logged = true;
            self.log_fleet_summary(&joined);
        }
        self.fleet = Some(joined);
    }

    fn fleet_output(&mut self, joined: &mut JoinedFleet, output: Output) {
        match output {
            Output::Send { to, bytes } => {
                let number = joined.numbers.get(&to).copied();
                let address = number.and_then(|number| self.peer_messages.address(number));
                let rest = bytes.strip_prefix(digest(joined.core.own()).as_slice());
                if let (Some(address), Some(rest)) =
                    (address, rest.filter(|rest| rest.len() < MAX_MESSAGE_BYTES))
                {
                    let message = [&[FLEET_TAG], rest].concat();
                    self.out.push(interface::Output::SendDatagram(address, message));
                }
            }
            Output::State { member, state, .. } => {
                if joined.may_log_change(self.now) {
                    let what = match state {
                        State::Alive => "alive",
                        State::Suspect => "suspect",
                        State::Gone => "gone",
                    };
                    self.log_fleet(format!(
                        "{} is {what}, {} alive",
                        joined.name(member),
                        joined.core.alive()
                    ));
                }
            }
            Output::Notice(notice) => {
                let line = match notice {
                    FleetNotice::Stranger(id) => format!("{} is not a member", joined.name(id)),
                    FleetNotice::ForgedSender(id) => {
                        format!("{} claims another member's id", joined.name(id))
                    }
                    FleetNotice::Unreadable(id) => format!("a message of {} can't be read", joined.name(id)),
                    FleetNotice::IncarnationRaised => {
                        "the fleet knows a later start of this node; continuing above it".to_owned()
                    }
                    FleetNotice::Paused(span) => format!("no turn for {} ms", span / 1_000),
                    FleetNotice::DirectDropped(id) => {
                        format!("direct message for {} dropped", joined.name(id))
                    }
                    FleetNotice::FactDropped(id) => format!("a fact of {} dropped", joined.name(id)),
                    FleetNotice::MembersRefused(count) => format!("a list of {count} members can't be used"),
                };
                self.log_fleet(line);
            }
            // The access node publishes no facts and sends no direct messages yet; datagrams need no
            // connections.
            Output::Fact(_) | Output::Direct { .. } | Output::Connect(_) | Output::Disconnect(_) => {}
        }
    }

    fn log_fleet_summary(&mut self, joined: &JoinedFleet) {
        let stats = joined.core.stats();
        self.log_fleet(format!(
            "{} of {} alive; {} messages sent, {} bytes, {} received, {} dropped, {} not readable, {} of \
             earlier starts; {} probes, {} suspicions, {} refuted; {} changes not logged",
            joined.core.alive(),
            joined.ids.len(),
            stats.told,
            stats.told_bytes,
            stats.heard,
            joined.dropped,
            stats.unreadable,
            stats.stale,
            stats.probes,
            stats.suspicions,
            stats.refuted,
            joined.changes_not_logged
        ));
    }

    fn log_fleet(&mut self, line: String) {
        self.notice(Notice::Module(format!("fleet: {line}")));
    }
}
