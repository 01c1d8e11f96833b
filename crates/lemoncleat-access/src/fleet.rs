//! The fleet over the platform's notes: who of the tier is there, beside the calls and never before them.
//!
//! Members are the platform's `peers`, named by their numbers; where they stand is not known. A note of the fleet
//! begins with [`TAG`], in the place of its sender's digest, which the address that it came from tells better.

use std::collections::{BTreeMap, VecDeque};

use lemoncleat_core::Micros;
use lemoncleat_fleet::{Carrier, Fleet, Input, Member, MemberId, Notice as Word, Output, Settings, State};

use crate::interface;
use crate::node::AccessNode;
use crate::notes::LONGEST;
use crate::notice::Notice;

/// What a note of the fleet begins with. No note of the module does.
pub(crate) const TAG: u8 = 0xf1;
/// Notes that wait for the fleet's turn; a node is told a few dozen a second.
const MOST_WAITING: usize = 64;
/// Notes that are taken in at one turn.
const MOST_A_TURN: usize = 16;
/// Lines on members in each of these spans: a fleet that starts or breaks must not fill the log.
const LINES: (u32, Micros) = (20, 10_000_000);

/// The fleet's core and what a node needs beside it.
pub(crate) struct Joined {
    pub(crate) core: Fleet,
    /// The members by their numbers, and the other way round.
    ids: Vec<MemberId>,
    numbers: BTreeMap<MemberId, u32>,
    waiting: VecDeque<(MemberId, Vec<u8>)>,
    /// Notes for which there was no room.
    dropped: u64,
    /// Since when lines are counted, how many there were, and how many changes got none so far.
    since: Micros,
    lines: u32,
    untold: u64,
    told_end: bool,
}

impl Joined {
    fn name(&self, id: MemberId) -> String {
        self.numbers.get(&id).map_or_else(|| id.to_string(), u32::to_string)
    }

    /// Whether a change of a member gets a line.
    fn may_tell(&mut self, now: Micros) -> bool {
        if now - self.since >= LINES.1 {
            (self.since, self.lines) = (now, 0);
        }
        self.lines += 1;
        let may = self.lines <= LINES.0;
        self.untold += u64::from(!may);
        may
    }
}

/// A member's digest as every message of its core begins with it.
fn digest(id: MemberId) -> Vec<u8> {
    // It can't fail: there is memory for five bytes.
    postcard::to_allocvec(&id).unwrap_or_default()
}

impl AccessNode {
    /// Joins the fleet of the platform's `peers`, where the settings allow notes. Until then, and where that is not
    /// possible, which is told, the node is alone. To be called once, before the first input.
    pub fn join_fleet(&mut self) {
        match self.joined() {
            Ok(joined) => {
                let (number, count) = (self.own_number, joined.ids.len());
                self.fleet_line(format!("joined as {number} of {count} members"));
                self.fleet = Some(Box::new(joined));
            }
            Err(why) => self.fleet_line(format!("alone: {why}")),
        }
    }

    /// The node's view of the fleet, if it has joined one.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.fleet.as_ref().map(|joined| &joined.core)
    }

    fn joined(&self) -> Result<Joined, String> {
        if !self.notes.allowed() {
            return Err("the settings allow no notes".to_owned());
        }
        let names = (0..self.notes.peers()).map(|number| number.to_string());
        let members: Vec<_> = names.map(|name| Member { name: name.into(), zone: "".into() }).collect();
        let ids: Vec<_> = members.iter().map(|member| MemberId::of(&member.name)).collect();
        let settings = Settings::new(&self.own_number.to_string(), members, Carrier::Notes);
        // Seconds grow with each start; one within the same second hears of the last one and jumps above it.
        let start = u32::try_from(self.epoch / 1_000_000).unwrap_or(0);
        let mut core = Fleet::new(settings, start, self.seed).map_err(|error| error.to_string())?;
        // Its clocks start; there is nothing to tell yet.
        core.handle(self.now, Input::Timeout, &mut Vec::new());
        let numbers = ids.iter().copied().zip(0..).collect();
        let (waiting, dropped, since, lines, untold) = (VecDeque::new(), 0, self.now, 0, 0);
        Ok(Joined { core, ids, numbers, waiting, dropped, since, lines, untold, told_end: false })
    }

    /// A note of the fleet, from the node with this number: it waits for the fleet's turn.
    pub(crate) fn fleet_note(&mut self, from: u32, bytes: &[u8]) {
        let Some(joined) = &mut self.fleet else { return };
        let Some(&id) = joined.ids.get(from as usize) else { return };
        if joined.waiting.len() >= MOST_WAITING {
            joined.dropped += 1;
            return;
        }
        let mut message = digest(id);
        message.extend_from_slice(bytes.get(1..).unwrap_or_default());
        joined.waiting.push_back((id, message));
    }

    /// When the fleet wants a turn; the past while notes wait.
    pub(crate) fn fleet_wake(&self) -> Option<Micros> {
        let joined = self.fleet.as_ref().filter(|joined| !joined.told_end)?;
        if joined.waiting.is_empty() {
            joined.core.wake()
        } else {
            Some(self.now)
        }
    }

    /// The fleet's turn, after all that calls wanted of this one.
    pub(crate) fn fleet_turn(&mut self) {
        let due = self.fleet_wake().is_some_and(|due| due <= self.now);
        let Some(mut joined) = self.fleet.take_if(|joined| due || self.stopped && !joined.told_end) else {
            return;
        };
        let mut outputs = Vec::new();
        for _ in 0..MOST_A_TURN {
            let Some((from, bytes)) = joined.waiting.pop_front() else { break };
            joined.core.handle(self.now, Input::Heard { from, bytes: &bytes }, &mut outputs);
        }
        if joined.core.wake().is_some_and(|due| due <= self.now) {
            joined.core.handle(self.now, Input::Timeout, &mut outputs);
        }
        for output in outputs {
            self.fleet_output(&mut joined, output);
        }
        if self.stopped {
            joined.told_end = true;
            self.fleet_end(&joined);
        }
        self.fleet = Some(joined);
    }

    fn fleet_output(&mut self, joined: &mut Joined, output: Output) {
        match output {
            Output::Tell { to, bytes } => {
                let number = joined.numbers.get(&to).copied();
                let address = number.and_then(|number| self.notes.address(number));
                let rest = bytes.strip_prefix(digest(joined.core.own()).as_slice());
                if let (Some(address), Some(rest)) = (address, rest.filter(|rest| rest.len() < LONGEST)) {
                    let note = [&[TAG], rest].concat();
                    self.out.push(interface::Output::Tell(address, note));
                }
            }
            Output::State { member, state, .. } => {
                if joined.may_tell(self.now) {
                    let what = match state {
                        State::Alive => "alive",
                        State::Suspect => "suspect",
                        State::Gone => "gone",
                    };
                    self.fleet_line(format!(
                        "{} is {what}, {} alive",
                        joined.name(member),
                        joined.core.alive()
                    ));
                }
            }
            Output::Notice(word) => {
                let line = match word {
                    Word::Stranger(id) => format!("{} is not a member", joined.name(id)),
                    Word::Impostor(id) => format!("{} calls itself another", joined.name(id)),
                    Word::Unreadable(id) => format!("a note of {} can't be read", joined.name(id)),
                    Word::Jumped => {
                        "a later start of this node is remembered; it goes on above that".to_owned()
                    }
                    Word::Paused(span) => format!("no turn for {} ms", span / 1_000),
                    Word::DirectDropped(id) => format!("bytes for {} dropped", joined.name(id)),
                    Word::FactDropped(id) => format!("a fact of {} dropped", joined.name(id)),
                    Word::MembersRefused(count) => format!("a list of {count} members can't be used"),
                };
                self.fleet_line(line);
            }
            // Nobody here sets out facts or speaks to one member yet; notes need no connections.
            Output::Fact(_) | Output::Direct { .. } | Output::Meet(_) | Output::Part(_) => {}
        }
    }

    fn fleet_end(&mut self, joined: &Joined) {
        let stats = joined.core.stats();
        self.fleet_line(format!(
            "{} of {} alive; {} notes told, {} bytes, {} heard, {} without room, {} not readable, {} of earlier \
             starts; {} probes, {} suspicions, {} refuted; {} changes without a line",
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
            joined.untold
        ));
    }

    fn fleet_line(&mut self, line: String) {
        self.notice(Notice::Module(format!("fleet: {line}")));
    }
}
