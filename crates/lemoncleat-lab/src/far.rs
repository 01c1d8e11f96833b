//! The far end of a trunk group: a stand-in server's circuits toward one node, and the calls that it sets up
//! itself.

use std::collections::BTreeMap;

use lemoncleat_circuits::audit::Audits;
use lemoncleat_circuits::glare::{after_yield, Control, Next, Repeats};
use lemoncleat_circuits::{
    wire, CallRef, CircuitId, Event, Group, GroupSettings, Order, Refusal, Reply, Request, State, Timers,
    Token,
};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code, HopByHop, MessageBuilder, MessageRef};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Micros;

/// Actions that the far end requests from its server.
pub(crate) enum FarOutput {
    Send(Vec<u8>),
    /// A node's call is to be set up at this server: call reference and request.
    SetUp(CallRef, Vec<u8>),
    /// A call from the node has ended: its session.
    Ended(String),
    /// A call from this end was established; the environment hangs it up.
    Established(CallRef),
    /// A call from this end yielded and is to be retried after a wait.
    Retry(CallRef, Micros),
}

/// A request of this end that waits for an answer.
enum Outstanding {
    Token(Token),
}

pub(crate) struct FarTrunk {
    pub group: Group,
    node: u16,
    host: String,
    sent: HopByHop<Outstanding>,
    /// Requests from the node that are not yet answered.
    arriving: BTreeMap<Token, Vec<u8>>,
    /// Sessions of calls, from this end (true) and from the node.
    sessions: BTreeMap<(bool, CallRef), String>,
    refs: BTreeMap<String, CallRef>,
    circuits: BTreeMap<CallRef, CircuitId>,
    own_calls: BTreeMap<CallRef, (Option<CircuitId>, u32)>,
    next: CallRef,
    rng: SmallRng,
    /// Number of established calls from this end.
    pub stood: u64,
}

impl FarTrunk {
    pub fn new(host: &str, node: u16, size: u32, now: Micros, seed: u64) -> FarTrunk {
        let settings = GroupSettings {
            size,
            order: Order::OwnFirst,
            control: Control::by_identity(host, &format!("node-{node}.lab")),
            // Shorter than the defaults, which exceed the length of a day.
            timers: Timers { release: 500_000, again: 500_000, seldom: 5_000_000, ..Timers::default() },
            audits: Some(Audits { round: 4_000_000, ..Audits::default() }),
        };
        FarTrunk {
            group: Group::new(settings, now, seed),
            node,
            host: host.to_owned(),
            sent: HopByHop::new(seed as u32),
            arriving: BTreeMap::new(),
            sessions: BTreeMap::new(),
            refs: BTreeMap::new(),
            circuits: BTreeMap::new(),
            own_calls: BTreeMap::new(),
            next: 1,
            rng: SmallRng::seed_from_u64(seed),
            stood: 0,
        }
    }

    fn sign(&self, message: MessageBuilder) -> Vec<u8> {
        message.add_str(d::ORIGIN_HOST, &self.host).add_str(d::ORIGIN_REALM, "lab").build()
    }

    /// Sets up a call from this end. A given circuit produces a dual seizure with the node.
    pub fn call(&mut self, now: Micros, circuit: Option<CircuitId>, out: &mut Vec<FarOutput>) {
        let call = self.next;
        self.next += 1;
        let session = format!("{};{};{call}", self.host, self.node);
        self.sessions.insert((true, call), session);
        self.own_calls.insert(call, (None, 0));
        self.seize(now, call, circuit, false, out);
    }

    pub fn retry_seizure(&mut self, now: Micros, call: CallRef, out: &mut Vec<FarOutput>) {
        if self.own_calls.get(&call).is_some_and(|(circuit, _)| circuit.is_none()) {
            self.seize(now, call, None, true, out);
        }
    }

    fn seize(
        &mut self,
        now: Micros,
        call: CallRef,
        circuit: Option<CircuitId>,
        away: bool,
        out: &mut Vec<FarOutput>,
    ) {
        let mut events = Vec::new();
        let chosen = match circuit {
            Some(circuit) => self.group.seize_circuit(now, circuit, call, &mut events).then_some(circuit),
            None => self.group.seize(now, call, away, &mut events),
        };
        match chosen {
            Some(circuit) => {
                self.own_calls.entry(call).and_modify(|known| known.0 = Some(circuit)).or_insert((None, 0))
            }
            None => {
                self.own_calls.remove(&call);
                return;
            }
        };
        self.carry_out(now, events, out);
    }

    /// Ends a call from this end.
    pub fn hang_up(&mut self, now: Micros, call: CallRef, out: &mut Vec<FarOutput>) {
        let Some((Some(circuit), _)) = self.own_calls.remove(&call) else { return };
        let mut events = Vec::new();
        self.group.release(now, circuit, &mut events);
        self.carry_out(now, events, out);
    }

    /// Handles a message about circuits. Returns `false` if the message is about something else.
    pub fn message(&mut self, now: Micros, message: &MessageRef<'_>, out: &mut Vec<FarOutput>) -> bool {
        let head = message.header;
        let mut events = Vec::new();
        if !head.is_request() {
            let Some(Outstanding::Token(token)) = self.sent.finish(head.hop_by_hop) else { return false };
            let reply = match head.command {
                d::CMD_AA => wire::seizure_reply(message),
                _ => wire::read_supervision_answer(message),
            };
            self.group.reply(now, token, &reply, &mut events);
            self.carry_out(now, events, out);
            return true;
        }
        let session = message.text(d::SESSION_ID).unwrap_or_default().to_owned();
        let circuit = message.number(d::CIRCUIT_ID);
        let (token, request) = match (head.command, circuit) {
            (d::CMD_AA, Some(circuit)) => {
                let call = self.next;
                self.next += 1;
                self.refs.insert(session.clone(), call);
                self.sessions.insert((false, call), session);
                self.circuits.insert(call, circuit);
                (head.hop_by_hop, Request::Seize { circuit, call })
            }
            (d::CMD_SESSION_TERMINATION, Some(circuit)) => {
                let own_calls = self
                    .sessions
                    .iter()
                    .find(|((own_calls, _), name)| *own_calls && **name == session)
                    .map(|(k, _)| k.1);
                let (call, outgoing) = match own_calls {
                    Some(call) => (call, false),
                    None => (self.refs.get(&session).copied().unwrap_or(u64::MAX), true),
                };
                (head.end_to_end, Request::Release { circuit, call, outgoing })
            }
            (d::CMD_CIRCUITS, _) => match wire::read_supervision(message) {
                Some(request) => (head.end_to_end, request),
                None => return false,
            },
            _ => return false,
        };
        self.arriving.insert(token, message.bytes.to_vec());
        self.group.request(now, token, &request, &mut events);
        self.carry_out(now, events, out);
        true
    }

    /// A node's call is set up: its answer is the server's to write.
    pub fn accepted(&mut self, call: CallRef) -> bool {
        let Some(circuit) = self.circuits.get(&call).copied() else { return false };
        let mut events = Vec::new();
        self.group.accept(circuit, &mut events);
        events.iter().any(|event| matches!(event, Event::Reply(_, Reply::Accepted)))
    }

    /// Releases the circuit of a refused call from a node; the server sends the answer.
    pub fn refused(&mut self, now: Micros, call: CallRef) {
        if let Some(circuit) = self.circuits.remove(&call) {
            self.group.release(now, circuit, &mut Vec::new());
        }
    }

    /// Ends a call from the node.
    pub fn cut(&mut self, now: Micros, session: &str, out: &mut Vec<FarOutput>) {
        let Some(call) = self.refs.remove(session) else { return };
        if let Some(circuit) = self.circuits.remove(&call) {
            let mut events = Vec::new();
            self.group.release(now, circuit, &mut events);
            self.carry_out(now, events, out);
        }
    }

    pub fn timeout(&mut self, now: Micros, out: &mut Vec<FarOutput>) {
        if self.group.due().is_some_and(|due| due <= now) {
            let mut events = Vec::new();
            self.group.timeout(now, &mut events);
            self.carry_out(now, events, out);
        }
    }

    /// Handles a new connection. After a restart of either end the group is reset.
    pub fn open(&mut self, now: Micros, restarted: bool, out: &mut Vec<FarOutput>) {
        let mut events = Vec::new();
        if restarted {
            self.group.restart(now, &mut events);
        } else {
            self.group.reconnected(now, &mut events);
        }
        self.carry_out(now, events, out);
    }

    fn carry_out(&mut self, now: Micros, events: Vec<Event>, out: &mut Vec<FarOutput>) {
        for event in events {
            match event {
                Event::Send(token, request) => self.transmit(token, &request, out),
                Event::Reply(token, reply) => {
                    let Some(bytes) = self.arriving.remove(&token) else { continue };
                    let Ok(request) = MessageRef::parse(&bytes) else { continue };
                    let answer = match &reply {
                        Reply::Refused(refusal) => {
                            let answer = MessageBuilder::answer(&request, result_code::TOO_BUSY);
                            match wire::reason(*refusal) {
                                Some(reason) => answer.add_u32(d::SETUP_REASON, reason),
                                None => answer,
                            }
                        }
                        reply => wire::supervision_answer(&request, reply),
                    };
                    out.push(FarOutput::Send(self.sign(answer)));
                }
                Event::Offered(_, call) => {
                    let session = self.sessions.get(&(false, call));
                    let request = self.arriving.values().find(|bytes| {
                        MessageRef::parse(bytes)
                            .is_ok_and(|m| m.text(d::SESSION_ID) == session.map(String::as_str))
                    });
                    if let Some(request) = request {
                        out.push(FarOutput::SetUp(call, request.clone()));
                    }
                }
                Event::Stands(_, call) => {
                    self.stood += 1;
                    out.push(FarOutput::Established(call));
                }
                Event::Yielded(_, call) => self.retry_after_yield(now, call, out),
                Event::Refused(_, call, Refusal::Call) | Event::Lost(_, call) => {
                    self.own_calls.remove(&call);
                }
                Event::Refused(_, call, _) => self.retry_after_yield(now, call, out),
                Event::Ended(_, call, true) | Event::Cut(_, call, true) => {
                    self.own_calls.remove(&call);
                }
                Event::Ended(_, call, false) | Event::Cut(_, call, false) => {
                    self.circuits.remove(&call);
                    if let Some(session) = self.sessions.remove(&(false, call)) {
                        if self.refs.get(&session) == Some(&call) {
                            self.refs.remove(&session);
                        }
                        out.push(FarOutput::Ended(session));
                    }
                }
                Event::Dispute(_) | Event::Mended(..) => {}
            }
        }
    }

    fn retry_after_yield(&mut self, now: Micros, call: CallRef, out: &mut Vec<FarOutput>) {
        let Some(known) = self.own_calls.get_mut(&call) else { return };
        known.0 = None;
        known.1 += 1;
        match after_yield(known.1, 1_000_000, Repeats::default(), &mut self.rng) {
            Next::Again => self.seize(now, call, None, false, out),
            Next::Away(wait) => out.push(FarOutput::Retry(call, wait)),
            Next::GiveUp => {
                self.own_calls.remove(&call);
            }
        }
    }

    fn transmit(&mut self, token: Token, request: &Request, out: &mut Vec<FarOutput>) {
        let hop_by_hop = self.sent.begin(Outstanding::Token(token));
        let node = format!("node-{}.lab", self.node);
        let message = match request {
            Request::Seize { circuit, call } => {
                let Some(session) = self.sessions.get(&(true, *call)) else { return };
                let id = self.rng.random();
                MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, hop_by_hop, id)
                    .add_str(d::SESSION_ID, session)
                    .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
                    .add_str(d::DESTINATION_REALM, "lab")
                    .add_str(d::DESTINATION_HOST, &node)
                    .add_u32(d::AUTH_REQUEST_TYPE, 1)
                    .add_str(d::CALLED_STATION_ID, "front")
                    .add_u32(d::CIRCUIT_ID, *circuit)
            }
            Request::Release { circuit, call, outgoing } => {
                let Some(session) = self.sessions.get(&(*outgoing, *call)) else { return };
                MessageBuilder::request(d::CMD_SESSION_TERMINATION, d::APP_NAS, true, hop_by_hop, token)
                    .add_str(d::SESSION_ID, session)
                    .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
                    .add_str(d::DESTINATION_REALM, "lab")
                    .add_u32(d::TERMINATION_CAUSE, 1)
                    .add_u32(d::CIRCUIT_ID, *circuit)
            }
            other => match wire::supervision(other, hop_by_hop, token, false) {
                Some(message) => message,
                None => return,
            },
        };
        out.push(FarOutput::Send(self.sign(message)));
    }

    /// Ends all calls from this end.
    pub fn hang_up_all(&mut self, now: Micros, out: &mut Vec<FarOutput>) {
        let mut calls: Vec<CallRef> = self.own_calls.keys().copied().collect();
        calls.sort_unstable();
        for call in calls {
            self.hang_up(now, call, out);
        }
    }

    /// Returns the circuits that are not idle, with their states.
    pub fn busy(&self) -> Vec<(CircuitId, State)> {
        let all = (0..self.group.settings().size).filter_map(|at| Some((at, self.group.state(at)?)));
        all.filter(|(_, state)| *state != State::Idle).collect()
    }
}
