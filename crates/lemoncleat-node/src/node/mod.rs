//! The node: its inputs and outputs, its timers, and the processing of events and actions.

mod answers;
mod calls;
mod configure;
mod fence;
mod gap;
mod members;
mod peers;
mod stopping;
mod trunks;

pub use members::MAX_WORD_BYTES;
pub use trunks::{CircuitOrder, CircuitStatus, GroupStatus};

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use foldhash::{HashMap, HashMapExt};
use lemoncleat::{
    Action, Availability, Call as NewCall, CallId, Controller, Event, Outcome, Reason, Report, ServerId,
    ServerListUpdate, SettingsError,
};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{
    check_member_request, check_request, refusal, result_code as code, ConnId, DisconnectCause, DownReason,
    Duplicates, EndToEnd, Fault, FrameError, FrameReader, HopByHop, Local, MessageBuilder, MessageRef, Peer,
    PeerInput, PeerOutput, PeerSettings, Seen, State, WatchdogState,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;

use crate::call::{Attempt, Call, Request};
use crate::list::ListNews;
use crate::notice::{CallStep, Notice};
use crate::servers::Servers;
use crate::settings::{MemberPeer, NodeSettings};
use crate::{translate, Micros, TimerKey, Wheel};
use lemoncleat_core::Deadline;

/// A peer's number within the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u32);

/// An event reported to a node by its driver.
#[derive(Debug)]
pub enum Input<'a> {
    /// An inbound connection was accepted.
    Accepted(ConnId),
    /// The connection that was just accepted is secured; its certificate contains these names.
    Secured(ConnId, Vec<String>),
    /// A dialled connection is established.
    Dialled(PeerId, ConnId),
    /// Dialling a peer failed.
    DialFailed(PeerId),
    /// Bytes were received.
    Bytes(ConnId, &'a [u8]),
    /// This many of the bytes passed for a connection have been written.
    Written(ConnId, usize),
    /// A connection was closed by the other end or the network.
    Closed(ConnId),
    /// An update of the server list.
    List(ListNews),
    /// Time has passed; sent at or after [`Node::wake`].
    Timeout,
    /// The event loop had no turn since this time, when it last checked its sockets. Anything delivered until
    /// [`Input::BacklogDelivered`] may have arrived at any time since.
    Away(Micros),
    /// Everything that arrived while the loop had no turn has been delivered.
    BacklogDelivered,
    /// Dial this member of the fleet, given by its place in the settings, and dial it again after a wait
    /// whenever its connection is lost. An existing connection is left unchanged.
    DialMember(usize),
    /// Stop dialling this member. A connection made by this node is closed with a DPR; one made by the member
    /// is for the member to close.
    StopDiallingMember(usize),
    /// Send a message to a member, of at most [`MAX_WORD_BYTES`] bytes. It is sent at once, or dropped and
    /// counted.
    SendToMember(usize, &'a [u8]),
    /// The complete list of fleet members from now on, in any order. A member that stays keeps its place and
    /// its connection; if its address changed, the connection is closed with a DPR and the new address is
    /// dialled if the member is to be dialled. A new member takes the next place that has never been used.
    /// The place of a removed member stays empty permanently, and its connection is closed with a DPR.
    Members(Vec<MemberPeer>),
    /// Refuse new calls of clients from now on, with this time after which to retry; or accept them again
    /// (`None`). Standing calls and set-ups in progress continue.
    Fence(Option<Micros>),
    /// Delay the answers to clients' capabilities from now on, because the configuration in force is not
    /// decided yet; or answer them. Existing connections are left unchanged.
    HoldClients(bool),
    /// Shut down gracefully.
    Stop,
}

/// An action requested from the driver.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Dial this address; report the result with [`Input::Dialled`] or [`Input::DialFailed`].
    Dial(PeerId, SocketAddr),
    /// Stop dialling. A connection that is established nevertheless is closed.
    StopDial(PeerId),
    /// Write bytes to a connection.
    Send(ConnId, Vec<u8>),
    /// Close a connection after everything passed for it before is written. It is not mentioned again.
    Close(ConnId),
    /// An event to be logged.
    Notice(Notice),
    /// A connection with this member, given by its place in the settings, is established: messages can be
    /// sent to it.
    MemberConnected(usize),
    /// Messages no longer reach this member: its connection is lost, is being closed, or left a watchdog
    /// request unanswered.
    MemberDisconnected(usize),
    /// A message received from a member. Sent only between [`Output::MemberConnected`] and
    /// [`Output::MemberDisconnected`], in the order in which the member sent them.
    MemberMessage(usize, Vec<u8>),
    /// The shutdown requested by [`Input::Stop`] is complete.
    Stopped,
}

/// Counters and current totals of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Calls accepted.
    pub calls: u64,
    /// Calls established.
    pub stood: u64,
    /// Calls that the module refused.
    pub refused: u64,
    /// Calls that the module failed.
    pub failed: u64,
    /// Calls whose caller released or disconnected before an answer.
    pub left: u64,
    /// Standing calls cut.
    pub cut: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Set-ups that succeeded after they had been given up.
    pub late: u64,
    /// Repeated requests that were recognised.
    pub repeats: u64,
    /// Requests refused as invalid, because of a limit, or by a fence.
    pub turned_away: u64,
    /// Calls failed by the node's deadline guard, the last safeguard.
    pub last_moment: u64,
    /// Answers withheld because their caller's deadline had passed, and requests read only after it.
    pub withheld: u64,
    /// Gaps between turns of the event loop.
    pub gaps: u64,
    /// Calls from servers that clients accepted.
    pub incoming: u64,
    /// Circuits lost to a dual seizure by the other end.
    pub yields: u64,
    /// Messages sent to members.
    pub words_sent: u64,
    /// Messages received from members.
    pub words_heard: u64,
    /// Messages that could not be sent: no connection, a full queue, or too long.
    pub words_dropped: u64,
    /// Diameter messages sent on connections with members, of any kind: fleet messages and their answers,
    /// capabilities exchange, watchdogs and disconnects.
    pub control_sent_messages: u64,
    /// Bytes of these messages, from the start of the Diameter header to the end of the padding, before TLS.
    pub control_sent_bytes: u64,
    /// Complete messages received on such connections.
    pub control_received_messages: u64,
    /// All bytes received on such connections, including those of incomplete messages.
    pub control_received_bytes: u64,
    /// Current number of standing calls.
    pub standing: usize,
    /// Current number of calls being set up.
    pub setting_up: usize,
    /// Current number of connections.
    pub connections: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Client,
    Server(ServerId),
    /// A member of the fleet, by its place in the settings.
    Member(usize),
}

struct PeerSlot {
    peer: Peer,
    host: Arc<str>,
    role: Role,
    requests: HopByHop<Request>,
    /// Incremented with each open connection, to recognise timers set for an earlier one.
    epoch: u32,
    state_id: Option<u32>,
    /// The time for which the peer's timer is set.
    armed: Option<Micros>,
    /// Sessions whose release could not be sent; they are released when the peer reconnects.
    pending_releases: Vec<Arc<str>>,
    /// Number of calls of a client, or standing at a server.
    calls: usize,
    /// Whether this is a client that the settings no longer name. Its connection is closed with its last
    /// call.
    leaving: bool,
    /// The trunk group toward a server.
    trunk: Option<trunks::Trunk>,
}

#[derive(Debug)]
struct Conn {
    reader: FrameReader,
    owner: Option<PeerId>,
    /// Bytes received before the owner of the connection was known.
    unattributed_bytes: usize,
    queued: usize,
    /// The names in its certificate, on a secured connection.
    names: Option<Vec<String>>,
}

#[derive(Clone, Copy, Debug)]
enum Timer {
    Module(u64),
    Attempt(u64, u32),
    Deadline(u64),
    Peer(PeerId),
    CapabilitiesTimeout(ConnId),
    ReturnTimeout(PeerId, u32),
    RequestTimeout(PeerId, u32, u32),
    Trunk(PeerId),
    RetrySeizure(u64, u32),
    DrainTimeout,
    IncomingDeadline(PeerId, u64),
    BacklogTimeout(u64),
    PruneClasses,
}

/// The core of an access node.
pub struct Node {
    settings: NodeSettings,
    local: Arc<Local>,
    controller: Controller,
    /// The names of the module's classes: those of the settings, then removed classes that still have pending
    /// calls.
    classes: Vec<Arc<str>>,
    wheel: Wheel<Timer>,
    conns: FxHashMap<ConnId, Conn>,
    peers: Vec<PeerSlot>,
    hosts: HashMap<Arc<str>, PeerId>,
    members: members::Members,
    servers: Servers,
    calls: FxHashMap<u64, Call>,
    sessions: HashMap<Arc<str>, u64>,
    /// Calls set up by servers: the server's peer and the call's reference there.
    incoming_sessions: HashMap<Arc<str>, (PeerId, u64)>,
    duplicates: Duplicates<(u64, Deadline)>,
    next_call: u64,
    events: VecDeque<Event>,
    /// The current gap, while its backlog is being read.
    gap: Option<gap::Gap>,
    /// The previous gap, while requests from its backlog are still deferred.
    finished_gap: Option<gap::Gap>,
    /// Requests deferred until after a gap.
    deferred: VecDeque<gap::Deferred>,
    actions: Vec<Action>,
    standing: usize,
    /// While set, new calls are refused; the value is the retry time that is sent to the caller.
    fence: Option<Micros>,
    /// While clients are held: the first message of each waiting connection.
    held: Option<BTreeMap<ConnId, Vec<u8>>>,
    stopping: bool,
    stopped: bool,
    stats: Stats,
    rng: SmallRng,
    now: Micros,
    out: Vec<Output>,
    outputs: Vec<PeerOutput>,
}

impl Node {
    /// Creates a node without connections. `state_id` is its Origin-State-Id, which must increase with each
    /// start; all random choices derive from the seed.
    ///
    /// # Errors
    ///
    /// If the module rejects the settings.
    pub fn new(settings: NodeSettings, state_id: u32, seed: u64) -> Result<Self, SettingsError> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let local = Arc::new(Local {
            host: settings.host.clone(),
            realm: settings.realm.clone(),
            product: "lemoncleat".into(),
            addresses: settings.addresses.clone(),
            applications: vec![d::APP_NAS],
            state_id,
            further: Vec::new(),
        });
        let controller = Controller::new(settings.module.clone(), rng.random())?;
        let duplicates = Duplicates::new(settings.timing.duplicates, settings.max_duplicates);
        let mut node = Node {
            local,
            controller,
            classes: settings.class_names.clone(),
            wheel: Wheel::new(),
            conns: FxHashMap::default(),
            peers: Vec::new(),
            hosts: HashMap::new(),
            members: members::Members::new(seed),
            servers: Servers::default(),
            calls: FxHashMap::default(),
            sessions: HashMap::new(),
            incoming_sessions: HashMap::new(),
            duplicates,
            next_call: 0,
            events: VecDeque::new(),
            gap: None,
            finished_gap: None,
            deferred: VecDeque::new(),
            actions: Vec::new(),
            standing: 0,
            fence: None,
            held: None,
            stopping: false,
            stopped: false,
            stats: Stats::default(),
            rng,
            now: 0,
            out: Vec::new(),
            outputs: Vec::new(),
            settings,
        };
        for client in node.settings.clients.clone() {
            node.add_peer(client, Role::Client);
        }
        node.add_members();
        Ok(node)
    }

    /// Returns the counters and current totals.
    pub fn stats(&self) -> Stats {
        Stats {
            standing: self.standing,
            setting_up: self.calls.len() - self.standing,
            connections: self.conns.len(),
            ..self.stats
        }
    }

    /// Returns the Origin-Host of a peer.
    pub fn peer_host(&self, peer: PeerId) -> Option<Arc<str>> {
        self.peers.get(peer.0 as usize).map(|slot| slot.host.clone())
    }

    /// Returns the latest time for a call with [`Input::Timeout`].
    pub fn wake(&self) -> Option<Micros> {
        if self.gap.is_none() && !self.deferred.is_empty() {
            return Some(self.now);
        }
        self.wheel.wake()
    }

    /// Processes an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Accepted(conn) => self.connection_accepted(conn),
            Input::Secured(conn, names) => {
                if let Some(conn) = self.conns.get_mut(&conn) {
                    conn.names = Some(names);
                }
            }
            Input::Dialled(peer, conn) => {
                self.conns.insert(conn, self.new_conn(Some(peer)));
                self.drive_peer(peer, PeerInput::Dialled(conn));
            }
            Input::DialFailed(peer) => {
                self.drive_peer(peer, PeerInput::DialFailed);
            }
            Input::Bytes(conn, bytes) => self.handle_bytes(conn, bytes),
            Input::Written(conn, count) => {
                if let Some(conn) = self.conns.get_mut(&conn) {
                    conn.queued = conn.queued.saturating_sub(count);
                }
            }
            Input::Closed(conn) => {
                if let Some(Conn { owner: Some(peer), .. }) = self.conns.remove(&conn) {
                    self.drive_peer(peer, PeerInput::Closed(conn));
                }
            }
            Input::List(news) => self.update_list(news),
            Input::Timeout => {}
            Input::Away(since) => self.begin_gap(since),
            Input::BacklogDelivered => self.backlog_read(),
            Input::DialMember(member) => self.dial_member(member),
            Input::StopDiallingMember(member) => self.stop_dialling_member(member),
            Input::SendToMember(member, bytes) => self.send_or_drop_word(member, bytes),
            Input::Members(members) => self.change_members(members),
            Input::Fence(come_back) => self.fence = come_back,
            Input::HoldClients(hold) => self.hold_clients(hold),
            Input::Stop => self.begin_stopping(),
        }
        self.process_events();
        self.run_due_timers();
        self.begin_deferred();
        out.append(&mut self.out);
    }

    /// Carries out an operator's command on circuits of the trunk group toward a server.
    ///
    /// # Errors
    ///
    /// If there is no such group or circuit.
    pub fn order(
        &mut self,
        now: Micros,
        server: &str,
        range: lemoncleat_circuits::Range,
        order: CircuitOrder,
        out: &mut Vec<Output>,
    ) -> Result<(), String> {
        self.now = self.now.max(now);
        let done = self.order_circuits(server, range, order);
        self.process_events();
        out.append(&mut self.out);
        done
    }

    fn notice(&mut self, notice: Notice) {
        self.out.push(Output::Notice(notice));
    }

    fn trace_step(&mut self, call: u64, step: impl FnOnce() -> CallStep) {
        if self.settings.trace_calls {
            if let Some(session) = self.calls.get(&call).map(|call| call.session.clone()) {
                self.out.push(Output::Notice(Notice::Call(call, session, step())));
            }
        }
    }

    // ---- Timers ----

    fn run_due_timers(&mut self) {
        while let Some(timer) = self.wheel.pop(self.now) {
            if !self.defer_timer(timer) {
                self.run_timer(timer);
                self.process_events();
            }
        }
    }

    fn run_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Module(token) => self.events.push_back(Event::Timer(token)),
            Timer::Attempt(call, number) => {
                let pending = self.calls.get(&call).and_then(|call| call.pending);
                if pending.is_some_and(|pending| pending.number == number) {
                    self.give_up_attempt(call, Outcome::TimedOut, false);
                }
            }
            Timer::Deadline(call) => self.deadline_guard(call),
            Timer::Peer(peer) => {
                if let Some(slot) = self.peers.get_mut(peer.0 as usize) {
                    slot.armed = None;
                    if slot.peer.due().is_some_and(|due| due <= self.now) {
                        self.drive_peer(peer, PeerInput::Timeout);
                    } else {
                        self.arm_peer(peer);
                    }
                }
            }
            Timer::CapabilitiesTimeout(conn) => {
                if self.is_held(conn) {
                    self.wheel.set(self.now + self.settings.timing.open, Timer::CapabilitiesTimeout(conn));
                } else if self.conns.get(&conn).is_some_and(|conn| conn.owner.is_none()) {
                    self.notice(Notice::NoCapabilities(conn));
                    self.close(conn);
                }
            }
            Timer::ReturnTimeout(peer, epoch) => self.return_timed_out(peer, epoch),
            Timer::RequestTimeout(peer, epoch, id) => {
                if self.peers.get(peer.0 as usize).is_some_and(|slot| slot.epoch == epoch) {
                    self.request_timed_out(peer, id);
                }
            }
            Timer::Trunk(peer) => self.trunk_timeout(peer),
            Timer::RetrySeizure(call, number) => self.retry_seizure(call, number),
            Timer::DrainTimeout => self.finish_stopping(true),
            Timer::IncomingDeadline(peer, call) => self.incoming_deadline_guard(peer, call),
            Timer::BacklogTimeout(number) => self.backlog_timed_out(number),
            Timer::PruneClasses => self.prune_classes(),
        }
    }

    // ---- The module ----

    /// Passes queued events to the module and carries out its actions until none is left.
    fn process_events(&mut self) {
        if self.events_are_held() {
            return;
        }
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
            Action::Send { call, server, timeout } => self.send_call(call.0, server, timeout),
            Action::Refuse { call, retry_after } => {
                self.stats.refused += 1;
                self.answer_failure(call.0, code::TOO_BUSY, "refused under the present load", retry_after);
            }
            Action::Fail(call) => {
                self.stats.failed += 1;
                self.answer_failure(call.0, code::UNABLE_TO_DELIVER, "the call could not be set up", 0);
            }
            Action::Cancel { call, attempt } => {
                let pending = self.calls.get(&call.0).and_then(|call| call.pending);
                if pending.is_some_and(|pending| pending.number == attempt) {
                    self.give_up_attempt(call.0, Outcome::Cancelled, false);
                }
            }
            Action::Timer { token, delay } => {
                self.wheel.set(self.now + delay, Timer::Module(token));
            }
            Action::Log(text) => self.notice(Notice::Module(text)),
            // The settings given to a node disable these actions, and the server list is delivered
            // unrequested.
            Action::Probe(_) | Action::Tell { .. } | Action::Watch(_) | Action::Fetch => {}
        }
    }
}
