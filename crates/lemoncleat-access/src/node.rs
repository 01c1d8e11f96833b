//! The node: what it holds, where inputs go, and how the module is asked.

use std::collections::{BTreeMap, VecDeque};

use lemoncleat::{Action, CallId, Controller, Event, MemberNews, SettingsError};
use lemoncleat_core::{Micros, Wheel};
use lemoncleat_platform::NodeConfig;

use crate::callers::Callers;
use crate::calls::{Call, Standing};
use crate::fleet::Joined;
use crate::interface::{ConnId, Input, Output, Stats};
use crate::journal::Journal;
use crate::notes::Notes;
use crate::notice::Notice;
use crate::releases::Releases;
use crate::servers::Servers;
use crate::timing::{RELEASES, SWEEP};

/// What comes due.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// The module asked for it.
    Module(u64),
    /// An attempt's time is over.
    Attempt(CallId, u32),
    /// A call has no answer and its deadline is near.
    Guard(CallId),
    /// A look at connections.
    Sweep,
}

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Caller,
    Server,
    Journal,
}

/// Memory that set-ups without an answer may take, as a share of the limit.
const MEMORY_FOR_CALLS: usize = 6;
/// What one of them takes at most, with its description and its refusals.
const MEMORY_OF_CALL: usize = 4 * 1024;

/// What a call that stands takes at most.
const MEMORY_OF_STANDING: usize = 512;

/// What a given-up attempt is counted as, so that all that are remembered take a part of that share only: one takes
/// some 200 bytes.
const MEMORY_OF_ABANDONED: usize = 512;

/// An access node.
pub struct AccessNode {
    pub(crate) name: String,
    pub(crate) now: Micros,
    /// When the bytes that are being taken in came, at the earliest.
    pub(crate) came: Micros,
    /// Unix time, in microseconds, at the moment 0.
    pub(crate) epoch: Micros,
    pub(crate) classes: Vec<String>,
    /// Set-ups without an answer, at most.
    pub(crate) most_open: usize,
    /// Calls that stand, at most, before more are taken up that callers only name.
    pub(crate) most_standing: usize,
    pub(crate) longest_deadline: Micros,
    /// The time to come back that callers follow at most; `None` where they are told none.
    pub(crate) longest_return: Option<Micros>,
    pub(crate) controller: Controller,
    pub(crate) wheel: Wheel<Timer>,
    pub(crate) callers: Callers,
    pub(crate) calls: BTreeMap<CallId, Call>,
    pub(crate) standing: BTreeMap<CallId, Standing>,
    pub(crate) releases: Releases,
    pub(crate) servers: Servers,
    pub(crate) journal: Journal,
    pub(crate) notes: Notes,
    /// Its number among the nodes of the tier.
    pub(crate) own_number: u32,
    pub(crate) seed: u64,
    pub(crate) fleet: Option<Box<Joined>>,
    /// Whether single calls are told of.
    pub(crate) tracing: bool,
    /// Ends of attempts that the module hears of after their caller's leaving.
    pub(crate) closing: Vec<Event>,
    /// What the module has still to be told.
    events: VecDeque<Event>,
    actions: Vec<Action>,
    pub(crate) out: Vec<Output>,
    pub(crate) stats: Stats,
    pub(crate) told_at: Micros,
    /// When it was asked to end.
    pub(crate) stopping: Option<Micros>,
    pub(crate) stopped: bool,
}

impl AccessNode {
    /// A node at the moment 0, which is `epoch` microseconds of Unix time.
    ///
    /// # Errors
    ///
    /// When the module can't work with the settings.
    pub fn new(config: NodeConfig, epoch: Micros) -> Result<Self, SettingsError> {
        let site = config.site;
        let longest_deadline = site.module.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let notes = Notes::new(&site.module, config.peers, config.peers_all);
        let sockets = config.limits.sockets as usize;
        let (nodes, own_number, seed) = (site.module.balancers, site.module.own_number, config.seed);
        let servers = Servers::new(sockets, site.dial_timeout, &site.zones, nodes, seed);
        let memory = config.limits.memory_mb as usize * (1 << 20) / MEMORY_FOR_CALLS;
        let held = if site.most_held > 0 { site.most_held as usize } else { usize::MAX };
        let mut node = AccessNode {
            name: config.name,
            now: 0,
            came: 0,
            epoch,
            classes: site.classes,
            most_open: (memory / MEMORY_OF_CALL).min(held),
            most_standing: memory / MEMORY_OF_STANDING,
            longest_deadline,
            longest_return: site.module.max_retry_hint,
            controller: Controller::new(site.module, config.seed)?,
            wheel: Wheel::new(),
            callers: Callers::new(sockets),
            calls: BTreeMap::new(),
            standing: BTreeMap::new(),
            releases: Releases::new((memory / MEMORY_OF_ABANDONED).max(RELEASES)),
            servers,
            journal: Journal::new(config.journal, config.known_to),
            notes,
            own_number,
            seed,
            fleet: None,
            tracing: false,
            closing: Vec::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            out: Vec::new(),
            stats: Stats::default(),
            told_at: 0,
            stopping: None,
            stopped: false,
        };
        for news in config.known {
            node.listed(news);
        }
        node.settle();
        node.dial_journal();
        node.wheel.set(SWEEP, Timer::Sweep);
        Ok(node)
    }

    /// Takes one input in at the moment `now` and adds what is to be done to `outputs`.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.came = self.now;
        match input {
            Input::Accepted(conn) => self.caller_accepted(conn),
            Input::NotQuiet(conn) => self.caller_stays(conn),
            Input::Dialled(dial, conn) => {
                if self.journal.is_dial(dial) {
                    self.journal_dialled(conn);
                } else {
                    self.server_dialled(dial, conn);
                }
            }
            Input::DialFailed { dial, refused } => {
                if self.journal.is_dial(dial) {
                    self.journal_down("the connection does not come about");
                } else {
                    self.server_dial_failed(dial, refused);
                }
            }
            Input::NotDialled(dial) => {
                if self.journal.is_dial(dial) {
                    self.journal_down("it can't be dialled from here");
                } else {
                    self.server_not_dialled(dial);
                }
            }
            Input::Bytes(conn, bytes) => self.bytes(conn, bytes),
            Input::Waited(conn, bytes, waited) => {
                self.came = self.now - waited.max(0);
                self.bytes(conn, bytes);
            }
            Input::Leaving(conn) => self.caller_leaving(conn),
            Input::Closed(conn) => match self.end_of(conn) {
                Some(End::Caller) => self.caller_closed(conn),
                Some(End::Server) => self.server_closed(conn),
                Some(End::Journal) => self.journal_down("the connection was closed"),
                None => {}
            },
            Input::Datagram(from, bytes) => self.note(from, bytes),
            Input::Timeout => {
                self.callers_were_closed();
                self.due();
            }
            Input::JournalAt(address) => self.journal_at(address),
            Input::Terminate => self.terminate(),
        }
        self.settle();
        if matches!(input, Input::Timeout) {
            self.fleet_turn();
        }
        outputs.append(&mut self.out);
    }

    /// Tells of every step of every call from now on.
    pub fn trace_calls(&mut self) {
        self.tracing = true;
    }

    /// When to call with [`Input::Timeout`] next.
    pub fn wake(&self) -> Option<Micros> {
        self.wheel.wake().into_iter().chain(self.fleet_wake()).min()
    }

    /// What was done so far.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    fn bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        match self.end_of(conn) {
            Some(End::Caller) => self.caller_bytes(conn, bytes),
            Some(End::Server) => self.server_bytes(conn, bytes),
            Some(End::Journal) => self.journal_bytes(bytes),
            None => {}
        }
    }

    fn end_of(&self, conn: ConnId) -> Option<End> {
        if self.callers.holds(conn) {
            Some(End::Caller)
        } else if self.servers.holds(conn) {
            Some(End::Server)
        } else if self.journal.holds(conn) {
            Some(End::Journal)
        } else {
            None
        }
    }

    fn due(&mut self) {
        while let Some(timer) = self.wheel.pop(self.now) {
            match timer {
                Timer::Module(token) => self.tell(Event::Timer(token)),
                Timer::Attempt(call, attempt) => self.attempt_late(call, attempt),
                Timer::Guard(call) => self.guard(call),
                Timer::Sweep => self.sweep(),
            }
            self.settle();
        }
    }

    /// The module will be told this before the input is done with.
    pub(crate) fn tell(&mut self, event: Event) {
        self.events.push_back(event);
    }

    pub(crate) fn tell_members(&mut self, news: MemberNews) {
        self.tell(Event::Members(news));
    }

    /// Tells the module all there is to tell, and does what it asks for.
    fn settle(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            self.actions = actions;
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { call, server, timeout } => self.attempt(call, server, timeout),
            Action::Refuse { call, retry_after } => self.refuse(call, retry_after),
            Action::Fail(call) => self.fail(call),
            Action::Cancel { call, attempt } => self.cancel(call, attempt),
            Action::Timer { token, delay } => {
                self.wheel.set(self.now + delay.max(0), Timer::Module(token));
            }
            Action::Probe(server) => self.probe(server),
            Action::Tell { to, bytes } => self.send_note(to, bytes),
            Action::Log(text) => self.notice(Notice::Module(text)),
            // The journal service tells unasked.
            Action::Watch(_) | Action::Fetch => {}
        }
    }

    pub(crate) fn notice(&mut self, notice: Notice) {
        self.out.push(Output::Notice(notice));
    }

    pub(crate) fn send(&mut self, conn: ConnId, bytes: Vec<u8>) {
        self.out.push(Output::Send(conn, bytes));
    }
}
