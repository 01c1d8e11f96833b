//! Trunk groups toward servers: circuits seized for attempts, and calls that servers set up toward clients.
//!
//! Circuit states, glare and audits are implemented in lemoncleat-circuits; this module connects them to
//! Diameter and to calls. When a call yields to a dual seizure, the seizure is repeated *within* its attempt.
//! The controlling end disregards the yielding seizure, so the call provably never ran there: nothing of it
//! is pending when the next circuit is seized (rule 2), and it was not timed out, reset or cancelled (rule
//! 5). The repeats are bounded in number and by the attempt's time; after that the module is told that no
//! circuit was free and decides again.

use lemoncleat_circuits::glare::{after_yield, Control, Next, Repeats};
use lemoncleat_circuits::{
    wire, CallRef, CircuitId, Event as CircuitEvent, Group, GroupSettings, Range, Refusal, Reply,
    Request as CircuitRequest, Token,
};

use super::calls::{attempt_request, CAUSE_LOGOUT};
use super::*;
use crate::settings::CircuitSettings;

/// The trunk group toward one server.
pub(super) struct Trunk {
    pub group: Group,
    /// Sessions of calls of this end (true) and of the other end (false).
    sessions: FxHashMap<(bool, CallRef), Arc<str>>,
    /// Requests of the server that are not answered yet.
    unanswered_requests: FxHashMap<Token, (ConnId, Vec<u8>)>,
    /// Calls set up by the server.
    pub incoming: FxHashMap<CallRef, Incoming>,
    next_ref: CallRef,
    blocked: bool,
    armed: Option<Micros>,
    /// The number of free circuits last reported to the module.
    reported_free: usize,
}

/// A call that a server set up toward a client.
pub(super) struct Incoming {
    pub session: Arc<str>,
    pub circuit: CircuitId,
    pub client: Option<PeerId>,
    /// The token of its seizure, which needs an answer.
    token: Token,
    /// When its caller gives up, if its request says so.
    deadline: Option<Deadline>,
    deadline_timer: Option<TimerKey>,
}

impl Trunk {
    pub fn new(settings: &CircuitSettings, own: &str, other: &str, now: Micros, seed: u64) -> Trunk {
        let settings = GroupSettings {
            size: settings.size,
            order: settings.order,
            control: Control::by_identity(own, other),
            timers: settings.timers,
            audits: settings.audits,
        };
        Trunk {
            group: Group::new(settings, now, seed),
            sessions: FxHashMap::default(),
            unanswered_requests: FxHashMap::default(),
            incoming: FxHashMap::default(),
            next_ref: 1,
            blocked: false,
            armed: None,
            reported_free: usize::MAX,
        }
    }

    /// Returns the deadline of the set-up that arrived with this token.
    fn deadline(&self, token: Token) -> Option<Deadline> {
        self.incoming.values().find(|incoming| incoming.token == token).and_then(|incoming| incoming.deadline)
    }

    /// Adds the group's free and total circuits to a report for the module.
    pub fn report(&self, report: Option<Report>) -> Report {
        Report {
            free: Some(self.group.free() as f64),
            lines: Some(f64::from(self.group.settings().size)),
            ..report.unwrap_or_default()
        }
    }
}

/// An operator's command on circuits of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitOrder {
    /// Block the circuits at this end: at once for a hardware failure, otherwise without affecting calls.
    Block {
        /// Whether the block is for a hardware failure.
        hardware: bool,
    },
    /// Remove such a block.
    Unblock {
        /// Whether to remove the block for a hardware failure.
        hardware: bool,
    },
    /// Reset the circuits; calls on them end.
    Reset,
    /// Start an audit of the whole group now.
    Audit,
}

/// The status of a trunk group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupStatus {
    /// The server at the far end.
    pub server: Arc<str>,
    /// The number of circuits in each state.
    pub counts: lemoncleat_circuits::Counts,
    /// The number of circuit requests that await a reply.
    pub waiting: usize,
}

/// The status of a circuit.
#[derive(Clone, Debug, PartialEq)]
pub struct CircuitStatus {
    /// The circuit's number.
    pub circuit: CircuitId,
    /// The circuit's state.
    pub state: lemoncleat_circuits::State,
    /// Blocks at this end and at the other.
    pub blocked: (lemoncleat_circuits::Blocks, lemoncleat_circuits::Blocks),
}

impl Node {
    /// Returns the status of all trunk groups.
    pub fn groups(&self) -> Vec<GroupStatus> {
        let groups = self.peers.iter().filter_map(|slot| {
            let group = &slot.trunk.as_ref()?.group;
            Some(GroupStatus { server: slot.host.clone(), counts: group.counts(), waiting: group.waiting() })
        });
        groups.collect()
    }

    /// Returns the circuits of the group toward a server that are blocked or not idle.
    ///
    /// # Errors
    ///
    /// If there is no such group.
    pub fn circuits(&self, server: &str) -> Result<Vec<CircuitStatus>, String> {
        let group = &self.trunk(self.group_of(server)?).ok_or("no trunk group")?.group;
        let circuits = (0..group.settings().size).filter_map(|circuit| {
            let (state, blocked) = (group.state(circuit)?, group.blocks(circuit)?);
            let in_service =
                state == lemoncleat_circuits::State::Idle && !blocked.0.any() && !blocked.1.any();
            (!in_service).then_some(CircuitStatus { circuit, state, blocked })
        });
        Ok(circuits.collect())
    }

    fn group_of(&self, server: &str) -> Result<PeerId, String> {
        let peer = self.hosts.get(server).copied().filter(|peer| self.trunk(*peer).is_some());
        peer.ok_or_else(|| format!("there is no trunk group toward {server:?}"))
    }

    /// Carries out an operator's command.
    ///
    /// # Errors
    ///
    /// If there is no such group or circuit.
    pub(super) fn order_circuits(
        &mut self,
        server: &str,
        range: Range,
        order: CircuitOrder,
    ) -> Result<(), String> {
        let peer = self.group_of(server)?;
        let size = self.trunk(peer).map_or(0, |trunk| trunk.group.settings().size);
        if order != CircuitOrder::Audit
            && (range.count == 0 || range.within(size).len() != range.count as usize)
        {
            return Err(format!(
                "circuits {} to {} are not all of this group, which has {size}",
                range.first,
                u64::from(range.first) + u64::from(range.count)
            ));
        }
        self.with_group(peer, |group, now, out| match order {
            CircuitOrder::Block { hardware } => group.block(now, range, hardware, true, out),
            CircuitOrder::Unblock { hardware } => group.block(now, range, hardware, false, out),
            CircuitOrder::Reset => group.reset(now, range, out),
            CircuitOrder::Audit => {
                group.audit(now);
                group.timeout(now, out);
            }
        });
        Ok(())
    }

    pub(super) fn trunk(&self, peer: PeerId) -> Option<&Trunk> {
        self.peers.get(peer.0 as usize)?.trunk.as_ref()
    }

    /// Runs an action on a group and carries out the events that it produces.
    pub(super) fn with_group(
        &mut self,
        peer: PeerId,
        act: impl FnOnce(&mut Group, Micros, &mut Vec<CircuitEvent>),
    ) -> Vec<CircuitEvent> {
        let mut events = Vec::new();
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return events };
        let Some(trunk) = slot.trunk.as_mut() else { return events };
        act(&mut trunk.group, self.now, &mut events);
        for event in events.clone() {
            self.circuit_event(peer, event);
        }
        self.arm_trunk(peer);
        self.report_free_circuits(peer);
        events
    }

    /// Reports the number of free circuits to the module when it changes.
    fn report_free_circuits(&mut self, peer: PeerId) {
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        let (Some(trunk), Role::Server(server)) = (slot.trunk.as_mut(), slot.role) else { return };
        let free = trunk.group.free();
        if std::mem::replace(&mut trunk.reported_free, free) != free {
            let report = trunk.report(None);
            self.events.push_back(Event::Probed { server, outcome: Outcome::Ok, lag: 0, report });
        }
    }

    /// Drops sessions of calls that ended long ago. If a release still needs one of them, the circuit is
    /// eventually reset.
    fn prune_sessions(&mut self, peer: PeerId) {
        let calls = &self.calls;
        let Some(trunk) = self.peers.get_mut(peer.0 as usize).and_then(|slot| slot.trunk.as_mut()) else {
            return;
        };
        if trunk.sessions.len() > 4 * trunk.group.settings().size as usize + 1_000 {
            let incoming = &trunk.incoming;
            trunk.sessions.retain(|(own, call), _| match own {
                true => calls.contains_key(call),
                false => incoming.contains_key(call),
            });
        }
    }

    fn arm_trunk(&mut self, peer: PeerId) {
        let Some(trunk) = self.peers.get_mut(peer.0 as usize).and_then(|slot| slot.trunk.as_mut()) else {
            return;
        };
        let Some(due) = trunk.group.due() else { return };
        if trunk.armed.is_none_or(|armed| due < armed) {
            trunk.armed = Some(due);
            self.wheel.set(due, Timer::Trunk(peer));
        }
    }

    pub(super) fn trunk_timeout(&mut self, peer: PeerId) {
        let Some(trunk) = self.peers.get_mut(peer.0 as usize).and_then(|slot| slot.trunk.as_mut()) else {
            return;
        };
        trunk.armed = None;
        if trunk.group.due().is_some_and(|due| due <= self.now) {
            self.with_group(peer, |group, now, out| group.timeout(now, out));
        }
        self.arm_trunk(peer);
    }

    /// Handles an open connection with a server: the group starts with a reset after a restart of either end,
    /// and continues where it was otherwise. The two ends' parameters of the group are compared.
    pub(super) fn open_trunk(&mut self, peer: PeerId, capabilities: &[u8], restarted: bool) {
        let Some(settings) = self.settings.circuits.clone() else { return };
        let host = self.host(peer);
        if let Ok(message) = MessageRef::parse(capabilities) {
            let own = Control::by_identity(&self.local.host, &host);
            let control = message.number(d::CIRCUIT_CONTROL);
            let size = message.number(d::CIRCUIT_COUNT);
            if control.is_some_and(|control| control != own.opposite().parity()) {
                let text =
                    "it claims circuits that this node controls according to the two host names".to_owned();
                self.notice(Notice::CircuitsDiffer(host.clone(), text));
            }
            if let Some(size) = size.filter(|size| *size != settings.size) {
                let text = format!("it has {size} circuits, {} are set here", settings.size);
                self.notice(Notice::CircuitsDiffer(host.clone(), text));
            }
        }
        let seed = self.rng.random();
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        let fresh = slot.trunk.is_none();
        let own = &self.local.host;
        let now = self.now;
        slot.trunk.get_or_insert_with(|| Trunk::new(&settings, own, &host, now, seed));
        if fresh || restarted {
            self.with_group(peer, |group, now, out| group.restart(now, out));
        } else {
            self.with_group(peer, |group, now, out| group.reconnected(now, out));
        }
    }

    /// Blocks the group during a drain, so that neither end seizes circuits, and unblocks it afterwards.
    pub(super) fn block_for_drain(&mut self, peer: PeerId, on: bool) {
        let Some(trunk) = self.peers.get_mut(peer.0 as usize).and_then(|slot| slot.trunk.as_mut()) else {
            return;
        };
        if std::mem::replace(&mut trunk.blocked, on) != on {
            let range = Range { first: 0, count: trunk.group.settings().size };
            self.with_group(peer, |group, now, out| group.block(now, range, false, on, out));
        }
    }

    // ---- Attempts ----

    /// Seizes a circuit for the pending attempt; if none is free, the attempt ends and the module is told.
    pub(super) fn seize_for_attempt(&mut self, id: u64, away: bool) {
        let Some(pending) = self.calls.get(&id).and_then(|call| call.pending) else { return };
        let mut chosen = None;
        self.prune_sessions(pending.peer);
        self.with_group(pending.peer, |group, now, events| chosen = group.seize(now, id, away, events));
        if chosen.is_none() {
            self.attempt_ended(id, Outcome::Full, Reason::NoCircuit, None, false);
        }
    }

    fn transmit_seizure(&mut self, peer: PeerId, token: Token, circuit: CircuitId, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(pending) = call.pending.as_mut() else { return };
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        let (host, conn) = (slot.host.clone(), slot.peer.connection());
        let hop_by_hop = slot.requests.begin(Request::SetUp { call: id, token: Some(token) });
        if let Some(trunk) = slot.trunk.as_mut() {
            trunk.sessions.insert((true, id), call.session.clone());
        }
        (pending.hop_by_hop, pending.circuit) = (hop_by_hop, Some(circuit));
        let retransmitted = pending.number > 0 || pending.yields > 0;
        let client = &self.peers[call.client.0 as usize].host;
        let bytes = attempt_request(call, hop_by_hop, retransmitted, &host, client, Some(circuit));
        self.trace_step(id, || CallStep::Sent(host));
        if let (Some(conn), Some(bytes)) = (conn, bytes) {
            self.send(conn, bytes);
        }
    }

    fn seizure_yielded(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let time_left = call.deadline.answer_by() - self.now;
        let Some(pending) = call.pending.as_mut() else { return };
        pending.yields += 1;
        pending.circuit = None;
        let (yields, number) = (pending.yields, pending.number);
        self.stats.yields += 1;
        match after_yield(yields, time_left, Repeats::default(), &mut self.rng) {
            Next::Again => self.seize_for_attempt(id, false),
            Next::Away(wait) => {
                self.wheel.set(self.now + wait, Timer::RetrySeizure(id, number));
            }
            Next::GiveUp => self.attempt_ended(id, Outcome::Full, Reason::NoCircuit, None, false),
        }
    }

    pub(super) fn retry_seizure(&mut self, id: u64, number: u32) {
        let pending = self.calls.get(&id).and_then(|call| call.pending);
        if pending.is_some_and(|pending| pending.number == number && pending.circuit.is_none()) {
            self.seize_for_attempt(id, true);
        }
    }

    /// Passes the answer to a seizure to the group. Returns whether the call is established, or `Some(false)`
    /// if it was refused for a reason of the call itself.
    pub(super) fn seizure_answered(
        &mut self,
        peer: PeerId,
        token: Token,
        message: &MessageRef<'_>,
    ) -> Option<bool> {
        let reply = wire::seizure_reply(message);
        let events = self.with_group(peer, |group, now, out| group.reply(now, token, &reply, out));
        events.iter().find_map(|event| match event {
            CircuitEvent::Stands(..) => Some(true),
            CircuitEvent::Refused(_, _, Refusal::Call) => Some(false),
            _ => None,
        })
    }

    // ---- Events of a group ----

    fn circuit_event(&mut self, peer: PeerId, event: CircuitEvent) {
        match event {
            CircuitEvent::Send(token, CircuitRequest::Seize { circuit, call }) => {
                self.transmit_seizure(peer, token, circuit, call);
            }
            CircuitEvent::Send(token, request) => self.transmit_circuit_request(peer, token, &request),
            CircuitEvent::Reply(token, reply) => self.reply_to_circuit_request(peer, token, &reply),
            CircuitEvent::Offered(circuit, call) => self.offer_to_client(peer, circuit, call),
            CircuitEvent::Stands(..) | CircuitEvent::Refused(_, _, Refusal::Call) => {}
            CircuitEvent::Yielded(_, call) | CircuitEvent::Refused(_, call, _) => self.seizure_yielded(call),
            CircuitEvent::Lost(_, call) => {
                self.attempt_ended(call, Outcome::TimedOut, Reason::None, None, false)
            }
            CircuitEvent::Ended(_, call, true) | CircuitEvent::Cut(_, call, true) => {
                if self.calls.get(&call).is_some_and(|call| call.standing.is_some()) {
                    self.cut_call(call, "its circuit was released");
                } else {
                    self.attempt_ended(call, Outcome::Reset, Reason::None, None, false);
                }
            }
            CircuitEvent::Ended(_, call, false) | CircuitEvent::Cut(_, call, false) => {
                self.end_incoming_call(peer, call, true);
            }
            CircuitEvent::Dispute(circuit) => {
                let host = self.host(peer);
                let text = format!("who controls circuit {circuit} is not agreed");
                self.notice(Notice::CircuitsDiffer(host, text));
            }
            CircuitEvent::Mended(circuit, difference) => {
                let host = self.host(peer);
                self.notice(Notice::CircuitCorrected(host, circuit, format!("{difference:?}")));
            }
        }
    }

    /// Sends a release or a supervision request if the connection is open; otherwise the request waits in the
    /// group.
    fn transmit_circuit_request(&mut self, peer: PeerId, token: Token, request: &CircuitRequest) {
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        let Some(conn) = slot.peer.connection().filter(|_| slot.peer.is_open()) else { return };
        let hop_by_hop = slot.requests.begin(Request::Circuits { token });
        let message = match request {
            CircuitRequest::Release { circuit, call, outgoing } => {
                let session = slot.trunk.as_ref().and_then(|trunk| trunk.sessions.get(&(*outgoing, *call)));
                let Some(session) = session.cloned() else { return };
                let host = slot.host.clone();
                let message =
                    MessageBuilder::request(d::CMD_SESSION_TERMINATION, d::APP_NAS, true, hop_by_hop, token)
                        .add_str(d::SESSION_ID, &session);
                self.local
                    .sign(message)
                    .add_str(d::DESTINATION_REALM, &self.local.realm)
                    .add_str(d::DESTINATION_HOST, &host)
                    .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
                    .add_u32(d::TERMINATION_CAUSE, CAUSE_LOGOUT)
                    .add_u32(d::CIRCUIT_ID, *circuit)
            }
            other => match wire::supervision(other, hop_by_hop, token, false) {
                Some(message) => self.local.sign(message),
                None => return,
            },
        };
        self.send(conn, message.build());
    }

    fn reply_to_circuit_request(&mut self, peer: PeerId, token: Token, reply: &Reply) {
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        let Some(trunk) = slot.trunk.as_mut() else { return };
        let Some((conn, bytes)) = trunk.unanswered_requests.remove(&token) else { return };
        let Ok(request) = MessageRef::parse(&bytes) else { return };
        let answer = match (request.header.command, reply) {
            (d::CMD_CIRCUITS, reply) => wire::supervision_answer(&request, reply),
            (_, Reply::Refused(refusal)) => {
                let answer = MessageBuilder::answer(&request, code::TOO_BUSY);
                match wire::reason(*refusal) {
                    Some(reason) => answer.add_u32(d::SETUP_REASON, reason),
                    None => answer,
                }
            }
            _ => MessageBuilder::answer(&request, code::SUCCESS),
        };
        let answer = self.local.sign(answer).build();
        let deadline = match request.header.command {
            d::CMD_AA => trunk.deadline(token),
            _ => None,
        };
        self.send_final_answer(conn, deadline, answer);
    }

    // ---- Requests of a server ----

    /// Handles a circuit request of a server: a seizure for a call of its own, a release, or supervision.
    pub(super) fn handle_circuit_request(&mut self, peer: PeerId, conn: ConnId, message: &MessageRef<'_>) {
        let header = message.header;
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        let (arrived, margin) = (self.arrival_time(), self.settings.timing.answer_margin);
        let Some(trunk) = self.peers.get_mut(peer.0 as usize).and_then(|slot| slot.trunk.as_mut()) else {
            return;
        };
        let circuit = message.number(d::CIRCUIT_ID);
        let patience = message.number(d::SETUP_PATIENCE).map(|ms| Micros::from(ms) * 1_000);
        let deadline = patience.map(|time| Deadline::new(arrived, time, margin));
        let (token, request) = match (header.command, circuit) {
            (d::CMD_AA, Some(circuit)) => {
                let call = trunk.next_ref;
                trunk.next_ref += 1;
                let session: Arc<str> = session.into();
                let timer = Timer::IncomingDeadline(peer, call);
                let incoming = Incoming {
                    session: session.clone(),
                    circuit,
                    client: None,
                    token: header.hop_by_hop,
                    deadline,
                    deadline_timer: deadline.map(|deadline| self.wheel.set(deadline.fail_at(), timer)),
                };
                trunk.incoming.insert(call, incoming);
                self.incoming_sessions.insert(session, (peer, call));
                (header.hop_by_hop, Some(CircuitRequest::Seize { circuit, call }))
            }
            (d::CMD_SESSION_TERMINATION | d::CMD_ABORT_SESSION, circuit) => {
                let own = self.sessions.get(session).copied();
                let theirs = self.incoming_sessions.get(session).map(|(_, call)| *call);
                let own_circuit = own.and_then(|id| self.calls.get(&id)).and_then(|call| call.circuit);
                let circuit = circuit.or(own_circuit).unwrap_or(u32::MAX);
                let (call, outgoing) = match (own, theirs) {
                    (Some(call), _) => (call, false),
                    (None, Some(call)) => (call, true),
                    (None, None) => (u64::MAX, true),
                };
                (header.end_to_end, Some(CircuitRequest::Release { circuit, call, outgoing }))
            }
            (d::CMD_CIRCUITS, _) => (header.end_to_end, wire::read_supervision(message)),
            _ => (header.hop_by_hop, None),
        };
        let Some(request) = request else {
            let answer = MessageBuilder::answer(message, code::UNABLE_TO_COMPLY);
            let answer = self.local.sign(answer).build();
            self.send_final_answer(conn, deadline, answer);
            return;
        };
        // Tokens of seizures and of other requests are different kinds of identifiers that may have the same
        // value: a waiting seizure keeps its entry.
        let mut waiting = None;
        if let Some(trunk) = self.peers.get_mut(peer.0 as usize).and_then(|slot| slot.trunk.as_mut()) {
            waiting = trunk.unanswered_requests.insert(token, (conn, message.bytes.to_vec()));
        }
        let offered = matches!(request, CircuitRequest::Seize { .. });
        let events = self.with_group(peer, |group, now, out| group.request(now, token, &request, out));
        if let (Some(waiting), Some(trunk)) = (waiting, self.peers[peer.0 as usize].trunk.as_mut()) {
            trunk.unanswered_requests.entry(token).or_insert(waiting);
        }
        if let CircuitRequest::Seize { call, .. } = request {
            // Refused at once: its state is dropped.
            let refused =
                events.iter().any(|event| matches!(event, CircuitEvent::Reply(t, _) if *t == token));
            if offered && refused {
                self.end_incoming_call(peer, call, false);
            }
        }
    }

    /// Offers a call of a server to the client that it names, or to any connected client.
    fn offer_to_client(&mut self, peer: PeerId, circuit: CircuitId, call: CallRef) {
        let bytes = self.trunk(peer).and_then(|trunk| {
            let incoming = trunk.incoming.get(&call)?;
            let with = |bytes: &&(ConnId, Vec<u8>)| {
                MessageRef::parse(&bytes.1).is_ok_and(|m| m.text(d::SESSION_ID) == Some(&incoming.session))
            };
            trunk.unanswered_requests.values().find(with).map(|(_, bytes)| bytes.clone())
        });
        let Some(bytes) = bytes else { return };
        let Ok(request) = MessageRef::parse(&bytes) else { return };
        let named = request.text(d::DESTINATION_HOST).and_then(|host| self.hosts.get(host)).copied();
        let usable = |slot: &PeerSlot| slot.role == Role::Client && slot.peer.is_usable();
        let named = named.filter(|id| usable(&self.peers[id.0 as usize]));
        let any = || self.peers.iter().position(usable).map(|at| PeerId(at as u32));
        let Some(client) = named.or_else(any).filter(|_| !self.stopping) else {
            self.with_group(peer, |group, now, out| group.release(now, circuit, out));
            return self.end_incoming_call(peer, call, false);
        };
        let slot = &mut self.peers[client.0 as usize];
        let hop_by_hop = slot.requests.begin(Request::Incoming { server: peer, circuit, call });
        let header = request.header;
        let mut message =
            MessageBuilder::request(header.command, header.application, true, hop_by_hop, header.end_to_end);
        for avp in request.avps().map_while(Result::ok) {
            let for_the_node = avp.vendor == Some(d::VENDOR) && avp.code == d::CIRCUIT_ID.code;
            if !for_the_node && (avp.code != d::DESTINATION_HOST.code || avp.vendor.is_some()) {
                message = message.copy(&avp);
            }
        }
        let conn = slot.peer.connection();
        let message = message.add_str(d::DESTINATION_HOST, &slot.host.clone());
        let server = self.host(peer);
        if let Some(trunk) = self.peers[peer.0 as usize].trunk.as_mut() {
            if let Some(incoming) = trunk.incoming.get_mut(&call) {
                incoming.client = Some(client);
            }
        }
        if let Some(conn) = conn {
            self.send(conn, message.add_str(d::ROUTE_RECORD, &server).build());
        }
    }

    /// Handles a client's answer to the set-up of a server's call.
    pub(super) fn client_answered(&mut self, server: PeerId, circuit: CircuitId, call: CallRef, result: u32) {
        let known = self.trunk(server).is_some_and(|trunk| trunk.incoming.contains_key(&call));
        if !known {
            return;
        }
        let deadline =
            self.trunk(server).and_then(|t| t.incoming.get(&call)).and_then(|incoming| incoming.deadline);
        if result == code::SUCCESS && deadline.is_some_and(|deadline| !self.may_answer(deadline)) {
            // The caller at the server has given up: the client that accepted the call is told that it has
            // ended.
            self.stats.late += 1;
            self.with_group(server, |group, now, out| group.release(now, circuit, out));
            return self.end_incoming_call(server, call, true);
        }
        if result == code::SUCCESS {
            let mut timer = None;
            let session = self.peers[server.0 as usize].trunk.as_mut().and_then(|trunk| {
                let incoming = trunk.incoming.get_mut(&call)?;
                timer = incoming.deadline_timer.take();
                Some(incoming.session.clone())
            });
            if let Some(timer) = timer {
                self.wheel.cancel(timer);
            }
            if let (Some(session), Some(trunk)) = (session, self.peers[server.0 as usize].trunk.as_mut()) {
                trunk.sessions.insert((false, call), session);
            }
            self.stats.incoming += 1;
            self.with_group(server, |group, _, out| group.accept(circuit, out));
        } else {
            self.with_group(server, |group, now, out| group.release(now, circuit, out));
            self.end_incoming_call(server, call, false);
        }
    }

    /// Fails a call of a server whose client has not answered shortly before the deadline.
    pub(super) fn incoming_deadline_guard(&mut self, peer: PeerId, call: CallRef) {
        let Some(trunk) = self.peers.get_mut(peer.0 as usize).and_then(|slot| slot.trunk.as_mut()) else {
            return;
        };
        let Some(incoming) = trunk.incoming.get_mut(&call) else { return };
        incoming.deadline_timer = None;
        let circuit = incoming.circuit;
        self.with_group(peer, |group, now, out| group.release(now, circuit, out));
        self.end_incoming_call(peer, call, true);
    }

    /// Handles a client's release of a call that a server had set up.
    pub(super) fn release_incoming_call(&mut self, session: &str) -> bool {
        let Some((peer, call)) = self.incoming_sessions.get(session).copied() else { return false };
        let circuit =
            self.trunk(peer).and_then(|trunk| trunk.incoming.get(&call)).map(|incoming| incoming.circuit);
        self.end_incoming_call(peer, call, false);
        if let Some(circuit) = circuit {
            self.with_group(peer, |group, now, out| group.release(now, circuit, out));
        }
        true
    }

    /// Ends a call of a server and notifies its client if it does not know.
    fn end_incoming_call(&mut self, peer: PeerId, call: CallRef, notify: bool) {
        let Some(trunk) = self.peers.get_mut(peer.0 as usize).and_then(|slot| slot.trunk.as_mut()) else {
            return;
        };
        let Some(incoming) = trunk.incoming.remove(&call) else { return };
        let unanswered = trunk.unanswered_requests.remove(&incoming.token);
        if let Some(timer) = incoming.deadline_timer {
            self.wheel.cancel(timer);
        }
        if self.incoming_sessions.get(&incoming.session) == Some(&(peer, call)) {
            self.incoming_sessions.remove(&incoming.session);
        }
        if let Some((conn, bytes)) = unanswered {
            // It ended before it was accepted: its request still needs an answer.
            if let Ok(request) = MessageRef::parse(&bytes) {
                let answer = MessageBuilder::answer(&request, code::UNABLE_TO_COMPLY);
                let answer = self.local.sign(answer).build();
                self.send_final_answer(conn, incoming.deadline, answer);
            }
        }
        if let (true, Some(client)) = (notify, incoming.client) {
            let host = self.host(client);
            self.send_abort(client, &host, &incoming.session);
        }
    }

    /// Releases all calls of servers toward a client that is gone.
    pub(super) fn end_incoming_calls_of_client(&mut self, client: PeerId) {
        let mut sessions: Vec<Arc<str>> = Vec::new();
        for trunk in self.peers.iter().filter_map(|slot| slot.trunk.as_ref()) {
            let incoming = trunk.incoming.values().filter(|incoming| incoming.client == Some(client));
            sessions.extend(incoming.map(|incoming| incoming.session.clone()));
        }
        sessions.sort();
        for session in sessions {
            self.release_incoming_call(&session);
        }
    }
}
