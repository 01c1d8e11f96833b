//! The node: its inputs and outputs, its timers, and the way between events and actions.

mod calls;
mod configure;
mod door;
mod gap;
mod guard;
mod members;
mod peers;
mod stopping;
mod trunks;

pub use members::WORD_MOST;
pub use trunks::{CircuitOrder, CircuitStatus, GroupStatus};

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use foldhash::{HashMap, HashMapExt};
use lemoncleat::{
    Action, Availability, Call as NewCall, CallId, Controller, Event, MemberNews, Outcome, Reason, Report,
    ServerId, SettingsError,
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

/// A peer, as numbered by the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u32);

/// What a node is told.
#[derive(Debug)]
pub enum Input<'a> {
    /// Somebody connected.
    Accepted(ConnId),
    /// The connection that was just accepted is secured, and its certificate holds these names.
    Secured(ConnId, Vec<String>),
    /// A connection that was dialled stands.
    Dialled(PeerId, ConnId),
    /// Dialling failed.
    DialFailed(PeerId),
    /// Bytes came.
    Bytes(ConnId, &'a [u8]),
    /// So many of the bytes given for a connection are written.
    Wrote(ConnId, usize),
    /// A connection was closed by the other side or the network.
    Closed(ConnId),
    /// News of the list of servers.
    List(ListNews),
    /// Time has passed: at or after [`Node::wake`].
    Timeout,
    /// The loop had no turn since this moment, when it last looked at its sockets. What comes until
    /// [`Input::CaughtUp`] may have come at any time since.
    Away(Micros),
    /// All that came while the loop had no turn has been handed over.
    CaughtUp,
    /// Dial this member of the fleet, by its place in the settings, and again after a wait whenever its
    /// connection is lost. One whose connection stands is left as it is.
    Meet(usize),
    /// Dial this member no more. A connection that this node made is ended in order; one that the member made is
    /// its own to end.
    Part(usize),
    /// Say something to a member, in at most [`WORD_MOST`] bytes: sent at once, or dropped and counted.
    Word(usize, &'a [u8]),
    /// All members of the fleet from now on, in any order. One that stays keeps its place and its connection, unless
    /// its address is another one: then the connection is ended in order, and the new address is dialled if the member
    /// is to be met. One that is new takes the next place that none ever had. One that went leaves its place empty for
    /// good, and its connection is ended in order.
    Members(Vec<MemberPeer>),
    /// Refuse new calls of clients from now on, with this time to come back; or take them again. Standing calls
    /// and set-ups under way live on.
    Fence(Option<Micros>),
    /// Leave clients waiting for the answer to their capabilities from now on, since what is in force is not decided
    /// yet; or answer them. Connections that stand are left as they are.
    HoldClients(bool),
    /// Stop in order.
    Stop,
}

/// What a node asks its driver for.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Dial; answer with [`Input::Dialled`] or [`Input::DialFailed`].
    Dial(PeerId, SocketAddr),
    /// Stop dialling; a connection that comes to stand all the same is closed.
    StopDial(PeerId),
    /// Write bytes.
    Send(ConnId, Vec<u8>),
    /// Close a connection, after what was given for it before is written. It is not heard of again.
    Close(ConnId),
    /// Something worth a log line.
    Notice(Notice),
    /// A connection with this member stands: it can be told words. By its place in the settings.
    Linked(usize),
    /// Words no longer reach this member: its connection is gone, being ended, or left a watchdog unanswered.
    Unlinked(usize),
    /// A member said something. Only between [`Output::Linked`] and [`Output::Unlinked`], and in the order in
    /// which it was said there.
    Heard(usize, Vec<u8>),
    /// All is ended after [`Input::Stop`].
    Stopped,
}

/// What a node has done so far, and holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Calls accepted.
    pub calls: u64,
    /// Calls that came to stand.
    pub stood: u64,
    /// Calls that the module refused.
    pub refused: u64,
    /// Calls that the module failed.
    pub failed: u64,
    /// Calls whose caller left before an answer.
    pub left: u64,
    /// Standing calls that were cut.
    pub cut: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Set-ups that succeeded after they had been given up.
    pub late: u64,
    /// Repeats of a request that were recognised.
    pub repeats: u64,
    /// Requests refused as faulty, beyond a limit, or by a fence.
    pub turned_away: u64,
    /// Calls that the node's own last guard had to fail.
    pub last_moment: u64,
    /// Answers that stayed here because their caller's deadline was over, and requests read only after it.
    pub withheld: u64,
    /// Gaps in the loop's turns.
    pub gaps: u64,
    /// Calls that servers set up toward clients.
    pub incoming: u64,
    /// Circuits lost to the other end's seizure.
    pub yields: u64,
    /// Words sent to members.
    pub words_sent: u64,
    /// Words heard from members.
    pub words_heard: u64,
    /// Words that could not be sent: no connection, too much waiting, or too long.
    pub words_dropped: u64,
    /// Messages given to connections with members, whoever made them: words and their answers, capabilities, watchdogs,
    /// and what ends a connection.
    pub control_sent_messages: u64,
    /// Their bytes, from the first of the Diameter header to the last of the padding, before TLS.
    pub control_sent_bytes: u64,
    /// Whole messages read from such connections.
    pub control_received_messages: u64,
    /// All bytes that came on them, also those of a message that is not whole yet.
    pub control_received_bytes: u64,
    /// Calls standing now.
    pub standing: usize,
    /// Calls being set up now.
    pub setting_up: usize,
    /// Connections now.
    pub connections: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Client,
    Server(ServerId),
    /// By its place in the settings.
    Member(usize),
}

struct PeerSlot {
    peer: Peer,
    host: Arc<str>,
    role: Role,
    requests: HopByHop<Request>,
    /// Grows with each open connection, so that timers of an earlier one can be told.
    epoch: u32,
    state_id: Option<u32>,
    /// When its timer is set for.
    armed: Option<Micros>,
    /// Releases that could not be sent, for when it is back.
    owed: Vec<Arc<str>>,
    /// Calls of a client, or standing at a server.
    calls: usize,
    /// A client that the settings name no more: it loses its connection with its last call.
    leaving: bool,
    /// The trunk group toward a server.
    trunk: Option<trunks::Trunk>,
}

#[derive(Debug)]
struct Conn {
    reader: FrameReader,
    owner: Option<PeerId>,
    /// Bytes that came before it was known whose it is.
    unowned: usize,
    queued: usize,
    /// Names that its certificate holds, on a secured connection.
    names: Option<Vec<String>>,
}

#[derive(Clone, Copy, Debug)]
enum Timer {
    Module(u64),
    Attempt(u64, u32),
    Deadline(u64),
    Peer(PeerId),
    Unidentified(ConnId),
    Return(PeerId, u32),
    Late(PeerId, u32, u32),
    Trunk(PeerId),
    SeizeAgain(u64, u32),
    Drained,
    IncomingDeadline(PeerId, u64),
    CaughtUp(u64),
    Classes,
}

/// The core of an access node.
pub struct Node {
    settings: NodeSettings,
    local: Arc<Local>,
    controller: Controller,
    /// The names of the classes that the module knows: those of the settings, then those that went while calls of
    /// them are pending.
    classes: Vec<Arc<str>>,
    wheel: Wheel<Timer>,
    conns: FxHashMap<ConnId, Conn>,
    peers: Vec<PeerSlot>,
    hosts: HashMap<Arc<str>, PeerId>,
    members: members::Members,
    servers: Servers,
    calls: FxHashMap<u64, Call>,
    sessions: HashMap<Arc<str>, u64>,
    /// Calls that servers set up: whose, and which of theirs.
    incoming_sessions: HashMap<Arc<str>, (PeerId, u64)>,
    duplicates: Duplicates<(u64, Deadline)>,
    next_call: u64,
    events: VecDeque<Event>,
    /// A gap whose backlog is being read.
    gap: Option<gap::Gap>,
    /// The gap before, while requests of it still wait.
    over: Option<gap::Gap>,
    /// Requests that wait for their turn after a gap.
    deferred: VecDeque<gap::Deferred>,
    actions: Vec<Action>,
    standing: usize,
    /// New calls are refused, with this time to come back.
    fence: Option<Micros>,
    /// The first messages of clients that wait, while they are held.
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
    /// A node without connections. `state_id` is its Origin-State-Id, which must grow at each start; all its
    /// random choices come from the seed.
    ///
    /// # Errors
    ///
    /// When the module can't work with its settings.
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
            over: None,
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

    /// What it has done so far, and holds.
    pub fn stats(&self) -> Stats {
        Stats {
            standing: self.standing,
            setting_up: self.calls.len() - self.standing,
            connections: self.conns.len(),
            ..self.stats
        }
    }

    /// The Origin-Host of a peer that is dialled.
    pub fn peer_host(&self, peer: PeerId) -> Option<Arc<str>> {
        self.peers.get(peer.0 as usize).map(|slot| slot.host.clone())
    }

    /// When to call with [`Input::Timeout`] at the latest.
    pub fn wake(&self) -> Option<Micros> {
        if self.gap.is_none() && !self.deferred.is_empty() {
            return Some(self.now);
        }
        self.wheel.wake()
    }

    /// Takes an input and adds what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Accepted(conn) => self.accepted(conn),
            Input::Secured(conn, names) => {
                if let Some(conn) = self.conns.get_mut(&conn) {
                    conn.names = Some(names);
                }
            }
            Input::Dialled(peer, conn) => {
                self.conns.insert(conn, self.new_conn(Some(peer)));
                self.tell_peer(peer, PeerInput::Dialled(conn));
            }
            Input::DialFailed(peer) => {
                self.tell_peer(peer, PeerInput::DialFailed);
            }
            Input::Bytes(conn, bytes) => self.bytes(conn, bytes),
            Input::Wrote(conn, count) => {
                if let Some(conn) = self.conns.get_mut(&conn) {
                    conn.queued = conn.queued.saturating_sub(count);
                }
            }
            Input::Closed(conn) => {
                if let Some(Conn { owner: Some(peer), .. }) = self.conns.remove(&conn) {
                    self.tell_peer(peer, PeerInput::Closed(conn));
                }
            }
            Input::List(news) => self.list(news),
            Input::Timeout => {}
            Input::Away(since) => self.away(since),
            Input::CaughtUp => self.caught_up(),
            Input::Meet(member) => self.meet(member),
            Input::Part(member) => self.part(member),
            Input::Word(member, bytes) => self.word(member, bytes),
            Input::Members(members) => self.change_members(members),
            Input::Fence(come_back) => self.fence = come_back,
            Input::HoldClients(hold) => self.hold_clients(hold),
            Input::Stop => self.stop(),
        }
        self.settle();
        self.timers();
        self.begin_deferred();
        out.append(&mut self.out);
    }

    /// Carries out what an operator asks of circuits of the group toward a server.
    ///
    /// # Errors
    ///
    /// When there is no such group or circuit.
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
        self.settle();
        out.append(&mut self.out);
        done
    }

    fn notice(&mut self, notice: Notice) {
        self.out.push(Output::Notice(notice));
    }

    fn step(&mut self, call: u64, step: impl FnOnce() -> CallStep) {
        if self.settings.trace_calls {
            if let Some(session) = self.calls.get(&call).map(|call| call.session.clone()) {
                self.out.push(Output::Notice(Notice::Call(call, session, step())));
            }
        }
    }

    // ---- Timers ----

    fn timers(&mut self) {
        while let Some(timer) = self.wheel.pop(self.now) {
            if !self.holds(timer) {
                self.run_timer(timer);
                self.settle();
            }
        }
    }

    fn run_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Module(token) => self.events.push_back(Event::Timer(token)),
            Timer::Attempt(call, number) => {
                let out = self.calls.get(&call).and_then(|call| call.out);
                if out.is_some_and(|out| out.number == number) {
                    self.give_up_attempt(call, Outcome::TimedOut, false);
                }
            }
            Timer::Deadline(call) => self.last_moment(call),
            Timer::Peer(peer) => {
                if let Some(slot) = self.peers.get_mut(peer.0 as usize) {
                    slot.armed = None;
                    if slot.peer.due().is_some_and(|due| due <= self.now) {
                        self.tell_peer(peer, PeerInput::Timeout);
                    } else {
                        self.arm(peer);
                    }
                }
            }
            Timer::Unidentified(conn) => {
                if self.is_held(conn) {
                    self.wheel.set(self.now + self.settings.timing.open, Timer::Unidentified(conn));
                } else if self.conns.get(&conn).is_some_and(|conn| conn.owner.is_none()) {
                    self.notice(Notice::NoCapabilities(conn));
                    self.close(conn);
                }
            }
            Timer::Return(peer, epoch) => self.did_not_return(peer, epoch),
            Timer::Late(peer, epoch, id) => {
                if self.peers.get(peer.0 as usize).is_some_and(|slot| slot.epoch == epoch) {
                    self.unanswered(peer, id);
                }
            }
            Timer::Trunk(peer) => self.trunk_timeout(peer),
            Timer::SeizeAgain(call, number) => self.seize_again(call, number),
            Timer::Drained => self.finish_stopping(true),
            Timer::IncomingDeadline(peer, call) => self.incoming_last_moment(peer, call),
            Timer::CaughtUp(number) => self.caught_up_late(number),
            Timer::Classes => self.forget_classes(),
        }
    }

    // ---- The module ----

    /// Gives the module its events and carries its actions out, until neither is left.
    fn settle(&mut self) {
        if self.holds_events() {
            return;
        }
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action) {
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
                let out = self.calls.get(&call.0).and_then(|call| call.out);
                if out.is_some_and(|out| out.number == attempt) {
                    self.give_up_attempt(call.0, Outcome::Cancelled, false);
                }
            }
            Action::Timer { token, delay } => {
                self.wheel.set(self.now + delay, Timer::Module(token));
            }
            Action::Log(text) => self.notice(Notice::Module(text)),
            // Neither is allowed by the settings that a node is given, and the list comes unasked.
            Action::Probe(_) | Action::Tell { .. } | Action::Watch(_) | Action::Fetch => {}
        }
    }
}
