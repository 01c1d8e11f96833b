//! The access node: its state, the dispatch of inputs, and the exchange with the decision module.

use std::collections::{BTreeMap, VecDeque};

use lemoncleat::{Action, CallId, Controller, Event, ServerListUpdate, SettingsError};
use lemoncleat_core::{Micros, Wheel};
use lemoncleat_platform::NodeConfig;

use crate::callers::Callers;
use crate::calls::{Call, StandingCall};
use crate::catch_up::CatchUp;
use crate::fleet::JoinedFleet;
use crate::interface::{ConnId, Input, Output, Stats};
use crate::journal::Journal;
use crate::notice::Notice;
use crate::peer_messages::PeerMessages;
use crate::releases::Releases;
use crate::servers::Servers;
use crate::timing::{MAINTENANCE_INTERVAL_US, MAX_RELEASES};

/// Timers of the node.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// Requested by the module.
    Module(u64),
    /// The time limit of an attempt.
    Attempt(CallId, u32),
    /// The deadline of an unanswered call.
    CallDeadline(CallId),
    /// The maintenance run.
    Maintenance,
    /// The end of the wait for news of the server list after a stall.
    CatchUpLimit,
}

/// The kind of peer at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnOwner {
    Caller,
    Server,
    Journal,
}

/// Share of the memory limit that incomplete messages from callers may take, as a divisor.
const INCOMPLETE_MEMORY_DIVISOR: usize = 8;
/// Share of the memory limit that unanswered set-ups may take, as a divisor.
const CALL_MEMORY_DIVISOR: usize = 6;

/// Maximum memory of an established call.
const MAX_STANDING_CALL_BYTES: usize = 512;

/// Memory accounted for a given-up attempt, so that all that are recorded take only a part of that share: one
/// takes some 200 bytes.
const ABANDONED_ATTEMPT_BYTES: usize = 512;

/// The protocol core of an access node.
pub struct AccessNode {
    pub(crate) name: String,
    pub(crate) now: Micros,
    /// Earliest time at which the bytes being processed may have arrived.
    pub(crate) received_at: Micros,
    /// Unix time in microseconds at time 0.
    pub(crate) epoch: Micros,
    pub(crate) classes: Vec<String>,
    /// Maximum number of unanswered set-ups.
    pub(crate) max_open_calls: usize,
    /// Memory accounted for the unanswered set-ups, and its limit.
    pub(crate) open_call_bytes: usize,
    pub(crate) max_open_call_bytes: usize,
    /// Maximum number of established calls beyond which calls that are only named by callers are not taken
    /// over.
    pub(crate) max_standing_calls: usize,
    pub(crate) max_deadline: Micros,
    /// The longest `Retry-After` that callers honour; `None` if they are given none.
    pub(crate) max_retry_hint: Option<Micros>,
    pub(crate) controller: Controller,
    pub(crate) wheel: Wheel<Timer>,
    pub(crate) callers: Callers,
    pub(crate) calls: BTreeMap<CallId, Call>,
    pub(crate) standing: BTreeMap<CallId, StandingCall>,
    pub(crate) releases: Releases,
    pub(crate) servers: Servers,
    pub(crate) journal: Journal,
    pub(crate) peer_messages: PeerMessages,
    /// The node's number within its tier.
    pub(crate) own_number: u32,
    pub(crate) seed: u64,
    pub(crate) fleet: Option<Box<JoinedFleet>>,
    /// Whether the steps of single calls are logged.
    pub(crate) tracing: bool,
    /// Ends of attempts that are reported to the module after the departure of their caller.
    pub(crate) deferred_events: Vec<Event>,
    /// Events that the module has not been given yet.
    pub(crate) events: VecDeque<Event>,
    pub(crate) catch_up: CatchUp,
    actions: Vec<Action>,
    pub(crate) out: Vec<Output>,
    pub(crate) stats: Stats,
    pub(crate) sizes_logged_at: Micros,
    /// When the shutdown was requested.
    pub(crate) stopping_since: Option<Micros>,
    pub(crate) stopped: bool,
}

impl AccessNode {
    /// Creates a node at time 0, which is `epoch` microseconds of Unix time.
    ///
    /// # Errors
    ///
    /// Returns an error if the module rejects the settings.
    pub fn new(config: NodeConfig, epoch: Micros) -> Result<Self, SettingsError> {
        let site = config.site;
        let max_deadline = site.module.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let peer_messages = PeerMessages::new(&site.module, config.peers, config.peers_all);
        let sockets = config.limits.sockets as usize;
        let (nodes, own_number, seed) = (site.module.balancers, site.module.own_number, config.seed);
        let servers = Servers::new(sockets, site.dial_timeout, &site.zones, nodes, seed);
        let all_memory = config.limits.memory_mb as usize * (1 << 20);
        let memory = all_memory / CALL_MEMORY_DIVISOR;
        let max_held = if site.most_held > 0 { site.most_held as usize } else { usize::MAX };
        let mut node = AccessNode {
            name: config.name,
            now: 0,
            received_at: 0,
            epoch,
            classes: site.classes,
            max_open_calls: max_held,
            open_call_bytes: 0,
            max_open_call_bytes: memory,
            max_standing_calls: memory / MAX_STANDING_CALL_BYTES,
            max_deadline,
            max_retry_hint: site.module.max_retry_hint,
            controller: Controller::new(site.module, config.seed)?,
            wheel: Wheel::new(),
            callers: Callers::new(sockets, all_memory / INCOMPLETE_MEMORY_DIVISOR),
            calls: BTreeMap::new(),
            standing: BTreeMap::new(),
            releases: Releases::new((memory / ABANDONED_ATTEMPT_BYTES).max(MAX_RELEASES)),
            servers,
            journal: Journal::new(config.journal, config.known_to),
            peer_messages,
            own_number,
            seed,
            fleet: None,
            tracing: false,
            deferred_events: Vec::new(),
            events: VecDeque::new(),
            catch_up: CatchUp::default(),
            actions: Vec::new(),
            out: Vec::new(),
            stats: Stats::default(),
            sizes_logged_at: 0,
            stopping_since: None,
            stopped: false,
        };
        for news in config.known {
            node.server_list_received(news);
        }
        node.dispatch_events();
        node.dial_journal();
        node.wheel.set(MAINTENANCE_INTERVAL_US, Timer::Maintenance);
        Ok(node)
    }

    /// Processes one input at time `now` and appends the resulting operations to `outputs`.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.received_at = self.now;
        self.detect_stall();
        match input {
            Input::Accepted(conn) => self.caller_accepted(conn),
            Input::CloseDeclined(conn) => self.keep_unread_caller(conn),
            Input::Dialled(dial, conn) => {
                if self.journal.is_dial(dial) {
                    self.journal_dialled(conn);
                } else {
                    self.server_dialled(dial, conn);
                }
            }
            Input::DialFailed { dial, refused } => {
                if self.journal.is_dial(dial) {
                    self.journal_not_dialled("the dial failed");
                } else {
                    self.server_dial_failed(dial, refused);
                }
            }
            Input::DialNotStarted(dial) => {
                if self.journal.is_dial(dial) {
                    self.journal_not_dialled("the dial could not be started");
                } else {
                    self.server_not_dialled(dial);
                }
            }
            Input::Bytes(conn, bytes) => self.bytes_received(conn, bytes),
            Input::DelayedBytes(conn, bytes, waited) => {
                self.received_at = self.now - waited.max(0);
                self.bytes_received(conn, bytes);
            }
            Input::PeerHalfClosed(conn) => self.caller_half_closed(conn),
            Input::Closed(conn) => match self.owner_of(conn) {
                Some(ConnOwner::Caller) => self.caller_closed(conn),
                Some(ConnOwner::Server) => self.server_closed(conn),
                Some(ConnOwner::Journal) => self.drop_journal_conn(conn, "the connection was closed"),
                None => {}
            },
            Input::Datagram(from, bytes) => self.peer_message(from, bytes),
            Input::Timeout => {
                self.complete_caller_closes();
                self.fire_timers();
            }
            Input::JournalMoved(address) => self.move_journal(address),
            Input::Terminate => self.terminate(),
        }
        self.dispatch_events();
        if matches!(input, Input::Timeout) {
            self.run_fleet();
        }
        outputs.append(&mut self.out);
    }

    /// Logs every step of every call from now on.
    pub fn trace_calls(&mut self) {
        self.tracing = true;
    }

    /// Returns when to call [`AccessNode::handle`] with [`Input::Timeout`] next.
    pub fn wake(&self) -> Option<Micros> {
        self.wheel.wake().into_iter().chain(self.fleet_wake()).min()
    }

    /// Returns the counters since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    fn bytes_received(&mut self, conn: ConnId, bytes: &[u8]) {
        match self.owner_of(conn) {
            Some(ConnOwner::Caller) => self.caller_bytes(conn, bytes),
            Some(ConnOwner::Server) => self.server_bytes(conn, bytes),
            Some(ConnOwner::Journal) => self.journal_bytes(conn, bytes),
            None => {}
        }
    }

    fn owner_of(&self, conn: ConnId) -> Option<ConnOwner> {
        if self.callers.holds(conn) {
            Some(ConnOwner::Caller)
        } else if self.servers.holds(conn) {
            Some(ConnOwner::Server)
        } else if self.journal.holds(conn) {
            Some(ConnOwner::Journal)
        } else {
            None
        }
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.wheel.pop(self.now) {
            match timer {
                Timer::Module(token) => self.queue_event(Event::Timer(token)),
                Timer::Attempt(call, attempt) => self.attempt_timed_out(call, attempt),
                Timer::CallDeadline(call) => self.fail_at_deadline(call),
                Timer::Maintenance => self.run_maintenance(),
                Timer::CatchUpLimit => self.end_catch_up_at_limit(),
            }
            self.dispatch_events();
        }
        self.catch_up.timers_served();
    }

    /// Queues an event for the module; it is delivered before the processing of the current input ends, or once
    /// the node has caught up after a stall.
    pub(crate) fn queue_event(&mut self, event: Event) {
        self.events.push_back(event);
    }

    pub(crate) fn queue_member_news(&mut self, news: ServerListUpdate) {
        self.queue_event(Event::Members(news));
    }

    /// Delivers all queued events to the module and carries out its actions, unless the node still catches up
    /// after a stall.
    fn dispatch_events(&mut self) {
        if self.catch_up.in_progress() {
            return;
        }
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
            self.actions = actions;
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { call, server, timeout } => self.start_attempt(call, server, timeout),
            Action::Refuse { call, retry_after } => self.refuse(call, retry_after),
            Action::Fail(call) => self.fail(call),
            Action::Cancel { call, attempt } => self.cancel(call, attempt),
            Action::Timer { token, delay } => {
                self.wheel.set(self.now + delay.max(0), Timer::Module(token));
            }
            Action::Probe(server) => self.probe(server),
            Action::Tell { to, bytes } => self.send_peer_message(to, bytes),
            Action::Log(text) => self.notice(Notice::Module(text)),
            // The journal service sends its events without being asked.
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
