//! One end of a trunk group: the states of its circuits and the requests that await replies.

use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;

use crate::audit::{self, Audits, Difference, Observation};
use crate::glare::Control;
use crate::message::{Blocks, Range, Refusal, Reply, ReportedState, Request, Token};
use crate::selection::{Order, Selector};
use crate::{CallRef, CircuitId, Micros};

/// Durations of the timers; the corresponding timers of Q.764 are given in parentheses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timers {
    /// Time after which a seizure without a reply is considered lost and its circuit is released (T7).
    pub seize: Micros,
    /// Interval at which a release without a reply is retransmitted (T1).
    pub release: Micros,
    /// Number of releases without a reply after which the circuit is reset (T5).
    pub releases: u32,
    /// Interval at which a reset, block or unblock without a reply is retransmitted at first (T16, T12, T14).
    pub again: Micros,
    /// Interval after five transmissions (T17, T13, T15).
    pub seldom: Micros,
}

impl Default for Timers {
    fn default() -> Self {
        Timers { seize: 25_000_000, release: 2_000_000, releases: 4, again: 2_000_000, seldom: 60_000_000 }
    }
}

/// Settings of one end of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupSettings {
    /// Number of circuits, at most 100,000.
    pub size: u32,
    /// Order in which idle circuits are seized.
    pub order: Order,
    /// The circuits that this end controls at a dual seizure.
    pub control: Control,
    /// Timer durations.
    pub timers: Timers,
    /// Audit settings; `None` disables audits.
    pub audits: Option<Audits>,
}

/// Maximum number of circuits in a group.
const MAX_CIRCUITS: u32 = 100_000;

/// The state of a circuit at one end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Not in use.
    Idle,
    /// Seized by this end, not accepted yet.
    Seizing(CallRef),
    /// Seized by the other end, not accepted yet.
    Arriving(CallRef),
    /// Busy with a call of this end.
    Outgoing(CallRef),
    /// Busy with a call of the other end.
    Incoming(CallRef),
    /// Released by this end, not confirmed by the other end yet.
    Releasing(CallRef),
    /// Reset by this end, not confirmed by the other end yet.
    Resetting,
}

impl State {
    /// Returns whether the state is a transition between two stable states.
    pub fn is_transient(self) -> bool {
        matches!(self, State::Seizing(_) | State::Arriving(_) | State::Releasing(_) | State::Resetting)
    }
}

/// An action for the caller to carry out, or a notification to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Send or retransmit a request.
    Send(Token, Request),
    /// Send a reply.
    Reply(Token, Reply),
    /// The other end seized a circuit for a call; the caller accepts or releases it.
    Offered(CircuitId, CallRef),
    /// The other end accepted a call of this end.
    Stands(CircuitId, CallRef),
    /// The other end refused a call of this end for a reason other than glare.
    Refused(CircuitId, CallRef, Refusal),
    /// A call of this end yielded its circuit at a dual seizure; it was not established at the other end.
    Yielded(CircuitId, CallRef),
    /// A seizure got no reply in time.
    Lost(CircuitId, CallRef),
    /// The other end released a call; the flag tells whether this end had set it up.
    Ended(CircuitId, CallRef, bool),
    /// A call was cleared because its circuit was reset, failed or was repaired by an audit; the flag tells
    /// whether this end had set it up.
    Cut(CircuitId, CallRef, bool),
    /// The two ends disagree about which of them controls a circuit.
    Dispute(CircuitId),
    /// An audit repaired a circuit.
    Mended(CircuitId, Difference),
}

/// Number of circuits by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// All circuits.
    pub size: u32,
    /// Circuits that are idle and not blocked.
    pub free: u32,
    /// Idle circuits, blocked or not.
    pub idle: u32,
    /// Circuits busy with calls of this end.
    pub outgoing: u32,
    /// Circuits busy with calls of the other end.
    pub incoming: u32,
    /// Circuits that are changing state.
    pub transient: u32,
    /// Circuits blocked at either end.
    pub blocked: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Circuit {
    state: State,
    generation: u32,
    local: Blocks,
    remote: Blocks,
    last_observation: Option<Observation>,
    /// Token of the own request whose reply the current state awaits.
    token: Token,
    /// Token of the other end's seizure; `seizure_reply` is the reply sent to it.
    seizure_token: Token,
    seizure_reply: Option<Reply>,
    /// Token of the last reset by the other end that was carried out.
    last_reset: Option<Token>,
    /// Whether the call being released was set up by this end.
    outgoing: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    request: Request,
    due_at: Micros,
    sent: u32,
    /// Whether this is a seizure whose call has given up its circuit before the reply.
    abandoned: bool,
}

/// One end of a trunk group.
#[derive(Clone, Debug)]
pub struct Group {
    settings: GroupSettings,
    circuits: Vec<Circuit>,
    selector: Selector,
    pending: FxHashMap<Token, Pending>,
    deadlines: BTreeSet<(Micros, Token)>,
    next_token: Token,
    audit_cursor: CircuitId,
    audit_at: Option<Micros>,
    /// The audit query awaiting its answer: token, range, and the generations of the circuits when it was
    /// sent.
    audit_query: Option<(Token, Range, Vec<u32>)>,
}

impl Group {
    /// Creates a group with all circuits idle. Tokens start at a number drawn from the seed, so that requests
    /// sent before a restart are not mistaken for new ones.
    pub fn new(settings: GroupSettings, now: Micros, seed: u64) -> Group {
        let settings = GroupSettings { size: settings.size.min(MAX_CIRCUITS), ..settings };
        let mut rng = SmallRng::seed_from_u64(seed);
        let idle = Circuit {
            state: State::Idle,
            generation: 0,
            local: Blocks::default(),
            remote: Blocks::default(),
            last_observation: None,
            token: 0,
            seizure_token: 0,
            seizure_reply: None,
            last_reset: None,
            outgoing: false,
        };
        let mut selector = Selector::new(settings.order, settings.size, Some(settings.control.parity()));
        (0..settings.size).for_each(|circuit| selector.insert(circuit));
        Group {
            circuits: vec![idle; settings.size as usize],
            selector,
            pending: FxHashMap::default(),
            deadlines: BTreeSet::new(),
            next_token: rng.random::<u32>() | 1,
            audit_cursor: 0,
            audit_at: settings.audits.map(|audits| now + audits.query_interval(settings.size)),
            audit_query: None,
            settings,
        }
    }

    /// Returns the settings of the group.
    pub fn settings(&self) -> &GroupSettings {
        &self.settings
    }

    /// Returns the state of a circuit; `None` if the group has no such circuit.
    pub fn state(&self, circuit: CircuitId) -> Option<State> {
        self.circuits.get(circuit as usize).map(|circuit| circuit.state)
    }

    /// Returns the blocks on a circuit, set by this end and by the other end.
    pub fn blocks(&self, circuit: CircuitId) -> Option<(Blocks, Blocks)> {
        self.circuits.get(circuit as usize).map(|circuit| (circuit.local, circuit.remote))
    }

    /// Returns the number of circuits that may be seized.
    pub fn free(&self) -> usize {
        self.selector.len()
    }

    /// Counts circuits by state, in time linear in the size of the group.
    pub fn counts(&self) -> Counts {
        let mut counts =
            Counts { size: self.settings.size, free: self.selector.len() as u32, ..Counts::default() };
        for circuit in &self.circuits {
            match circuit.state {
                State::Idle => counts.idle += 1,
                State::Outgoing(_) => counts.outgoing += 1,
                State::Incoming(_) => counts.incoming += 1,
                _ => counts.transient += 1,
            }
            counts.blocked += u32::from(circuit.local.any() || circuit.remote.any());
        }
        counts
    }

    /// Returns the number of requests that await a reply.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Returns the time at which to call [`Group::timeout`].
    pub fn due(&self) -> Option<Micros> {
        let first = self.deadlines.first().map(|(at, _)| *at);
        [first, self.audit_at].into_iter().flatten().min()
    }

    // ---- Requests and timers ----

    fn send(&mut self, now: Micros, request: Request, out: &mut Vec<Event>) -> Token {
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1);
        let timers = &self.settings.timers;
        let wait = match request {
            Request::Seize { .. } => timers.seize,
            Request::Release { .. } => timers.release,
            _ => timers.again,
        };
        self.deadlines.insert((now + wait, token));
        out.push(Event::Send(token, request.clone()));
        self.pending.insert(token, Pending { request, due_at: now + wait, sent: 1, abandoned: false });
        token
    }

    fn take_pending(&mut self, token: Token) -> Option<Pending> {
        let pending = self.pending.remove(&token)?;
        self.deadlines.remove(&(pending.due_at, token));
        Some(pending)
    }

    /// Returns the resets by this end that await a reply.
    fn pending_resets(&self) -> Vec<(Token, std::ops::Range<CircuitId>)> {
        let ranges = self.pending.iter().filter_map(|(token, pending)| match pending.request {
            Request::Reset(range) => Some((*token, range.within(self.settings.size))),
            _ => None,
        });
        ranges.collect()
    }

    /// Changes the state of a circuit.
    fn set_state(&mut self, circuit: CircuitId, state: State) {
        let Some(entry) = self.circuits.get_mut(circuit as usize) else { return };
        if entry.state != state {
            entry.generation = entry.generation.wrapping_add(1);
            entry.state = state;
            entry.last_observation = None;
        }
        self.update_selector(circuit);
    }

    /// Updates whether a circuit may be seized from its state and blocks.
    fn update_selector(&mut self, circuit: CircuitId) {
        let Some(entry) = self.circuits.get(circuit as usize) else { return };
        if entry.state == State::Idle && !entry.local.any() && !entry.remote.any() {
            self.selector.insert(circuit);
        } else {
            self.selector.remove(circuit);
        }
    }

    // ---- Operations of this end ----

    /// Seizes an idle circuit for a call. After repeated glare, `farthest` selects from the opposite end of
    /// the order.
    pub fn seize(
        &mut self,
        now: Micros,
        call: CallRef,
        farthest: bool,
        out: &mut Vec<Event>,
    ) -> Option<CircuitId> {
        let circuit = if farthest { self.selector.choose_farthest() } else { self.selector.choose() }?;
        self.seize_circuit(now, circuit, call, out).then_some(circuit)
    }

    /// Seizes the given circuit; returns false if it is not available.
    pub fn seize_circuit(
        &mut self,
        now: Micros,
        circuit: CircuitId,
        call: CallRef,
        out: &mut Vec<Event>,
    ) -> bool {
        if !self.selector.contains(circuit) {
            return false;
        }
        self.set_state(circuit, State::Seizing(call));
        let token = self.send(now, Request::Seize { circuit, call }, out);
        self.circuits[circuit as usize].token = token;
        true
    }

    /// Releases the call on a circuit from this end: ends an established call, abandons a seizure, or refuses
    /// an offered call of the other end.
    pub fn release(&mut self, now: Micros, circuit: CircuitId, out: &mut Vec<Event>) {
        let Some(entry) = self.circuits.get(circuit as usize) else { return };
        let (token, seizure_token) = (entry.token, entry.seizure_token);
        let (call, outgoing) = match entry.state {
            State::Seizing(call) => {
                // A reply that still arrives no longer establishes the call.
                if let Some(pending) = self.pending.get_mut(&token) {
                    pending.abandoned = true;
                }
                (call, true)
            }
            State::Outgoing(call) => (call, true),
            State::Incoming(call) => (call, false),
            State::Arriving(_) => {
                let reply = Reply::Refused(Refusal::Call);
                self.circuits[circuit as usize].seizure_reply = Some(reply.clone());
                out.push(Event::Reply(seizure_token, reply));
                return self.set_state(circuit, State::Idle);
            }
            State::Idle | State::Releasing(_) | State::Resetting => return,
        };
        self.begin_release(now, circuit, call, outgoing, out);
    }

    fn begin_release(
        &mut self,
        now: Micros,
        circuit: CircuitId,
        call: CallRef,
        outgoing: bool,
        out: &mut Vec<Event>,
    ) {
        self.set_state(circuit, State::Releasing(call));
        let token = self.send(now, Request::Release { circuit, call, outgoing }, out);
        let entry = &mut self.circuits[circuit as usize];
        (entry.token, entry.outgoing) = (token, outgoing);
    }

    /// Accepts the call for which the other end seized a circuit.
    pub fn accept(&mut self, circuit: CircuitId, out: &mut Vec<Event>) {
        let Some(entry) = self.circuits.get_mut(circuit as usize) else { return };
        if let State::Arriving(call) = entry.state {
            entry.seizure_reply = Some(Reply::Accepted);
            out.push(Event::Reply(entry.seizure_token, Reply::Accepted));
            self.set_state(circuit, State::Incoming(call));
        }
    }

    /// Blocks or unblocks circuits at this end. Calls continue under a block for maintenance and are cleared
    /// by a block for a hardware failure.
    pub fn block(&mut self, now: Micros, range: Range, hardware: bool, on: bool, out: &mut Vec<Event>) {
        for circuit in range.within(self.settings.size) {
            self.circuits[circuit as usize].local.set(hardware, on);
            if hardware && on {
                self.clear_call(circuit, out);
                self.set_state(circuit, State::Idle);
            }
            self.update_selector(circuit);
        }
        let request =
            if on { Request::Block { range, hardware } } else { Request::Unblock { range, hardware } };
        self.send(now, request, out);
    }

    /// Resets circuits, which clears any calls on them at both ends.
    pub fn reset(&mut self, now: Micros, range: Range, out: &mut Vec<Event>) {
        let circuits = range.within(self.settings.size);
        let (first, count) = (circuits.start, circuits.len() as u32);
        if count == 0 {
            return;
        }
        for circuit in circuits.clone() {
            self.clear_call(circuit, out);
            self.set_state(circuit, State::Resetting);
        }
        // An earlier reset within this range, retransmitted after this one, would clear calls set up in
        // between.
        let covered =
            |range: &std::ops::Range<CircuitId>| range.start >= circuits.start && range.end <= circuits.end;
        for (token, _) in self.pending_resets().into_iter().filter(|(_, range)| covered(range)) {
            self.take_pending(token);
        }
        let token = self.send(now, Request::Reset(Range { first, count }), out);
        for circuit in circuits {
            self.circuits[circuit as usize].token = token;
        }
    }

    /// Resets the whole group, as after a restart of this end. The other end repeats its blocks with its
    /// reply.
    pub fn restart(&mut self, now: Micros, out: &mut Vec<Event>) {
        self.reset(now, Range { first: 0, count: self.settings.size }, out);
    }

    /// Starts an audit of the whole group now.
    pub fn audit(&mut self, now: Micros) {
        self.audit_cursor = 0;
        if self.settings.audits.is_some() {
            self.audit_at = Some(now);
        }
    }

    /// Clears the call on a circuit without notifying the other end. A pending seizure is marked as
    /// abandoned, a pending release is dropped.
    fn clear_call(&mut self, circuit: CircuitId, out: &mut Vec<Event>) {
        let entry = &self.circuits[circuit as usize];
        let (state, token) = (entry.state, entry.token);
        match state {
            State::Seizing(call) | State::Outgoing(call) => out.push(Event::Cut(circuit, call, true)),
            State::Arriving(call) | State::Incoming(call) => out.push(Event::Cut(circuit, call, false)),
            State::Idle | State::Releasing(_) | State::Resetting => {}
        }
        match state {
            State::Seizing(_) => {
                if let Some(pending) = self.pending.get_mut(&token) {
                    pending.abandoned = true;
                }
            }
            State::Releasing(_) => {
                self.take_pending(token);
            }
            _ => {}
        }
    }

    // ---- Requests of the other end ----

    /// Handles a request of the other end.
    pub fn request(&mut self, now: Micros, token: Token, request: &Request, out: &mut Vec<Event>) {
        match *request {
            Request::Seize { circuit, call } => self.on_seize(token, circuit, call, out),
            Request::Release { circuit, call, outgoing } => {
                self.on_release(circuit, call, outgoing, out);
                out.push(Event::Reply(token, Reply::Done));
            }
            Request::Reset(range) => self.on_reset(now, token, range, out),
            Request::Block { range, hardware } => {
                for circuit in range.within(self.settings.size) {
                    if hardware {
                        self.clear_call(circuit, out);
                        if self.circuits[circuit as usize].state != State::Resetting {
                            self.set_state(circuit, State::Idle);
                        }
                    }
                    self.circuits[circuit as usize].remote.set(hardware, true);
                    self.update_selector(circuit);
                }
                out.push(Event::Reply(token, Reply::Done));
            }
            Request::Unblock { range, hardware } => {
                for circuit in range.within(self.settings.size) {
                    self.circuits[circuit as usize].remote.set(hardware, false);
                    self.update_selector(circuit);
                }
                out.push(Event::Reply(token, Reply::Done));
            }
            Request::Query(range) => {
                let last = range.first.saturating_add(range.count.min(MAX_CIRCUITS));
                let states = (range.first..last).map(|circuit| self.reported_state(circuit)).collect();
                out.push(Event::Reply(token, Reply::States(states)));
            }
        }
    }

    fn reported_state(&self, circuit: CircuitId) -> (ReportedState, Blocks) {
        let Some(entry) = self.circuits.get(circuit as usize) else {
            return (ReportedState::Unequipped, Blocks::default());
        };
        let state = match entry.state {
            State::Idle => ReportedState::Idle,
            State::Outgoing(_) => ReportedState::Outgoing,
            State::Incoming(_) => ReportedState::Incoming,
            _ => ReportedState::Transient,
        };
        (state, entry.local)
    }

    fn on_seize(&mut self, token: Token, circuit: CircuitId, call: CallRef, out: &mut Vec<Event>) {
        let Some(entry) = self.circuits.get(circuit as usize) else {
            return out.push(Event::Reply(token, Reply::Refused(Refusal::Unequipped)));
        };
        if entry.seizure_token == token {
            // A retransmission of the same seizure gets the same reply, if one has been sent.
            if let Some(reply) = entry.seizure_reply.clone() {
                out.push(Event::Reply(token, reply));
            }
            return;
        }
        let refuse = |refusal| Event::Reply(token, Reply::Refused(refusal));
        if entry.local.any() {
            return out.push(refuse(Refusal::Blocked));
        }
        match entry.state {
            State::Idle => {}
            State::Seizing(_) if self.settings.control.controls(circuit) => {
                return out.push(refuse(Refusal::Glare))
            }
            State::Seizing(own_call) => {
                // Dual seizure on a circuit that the other end controls: the call of this end yields.
                if let Some(pending) = self.pending.get_mut(&entry.token) {
                    pending.abandoned = true;
                }
                out.push(Event::Yielded(circuit, own_call));
            }
            // The other end regards the circuit as idle: its call has ended there, and the release was lost.
            State::Incoming(ended_call) | State::Arriving(ended_call) => {
                out.push(Event::Ended(circuit, ended_call, false))
            }
            State::Outgoing(_) => return out.push(refuse(Refusal::Busy)),
            // The other end may have seized the circuit before the release arrived, if it never received the
            // released seizure. It is refused and can seize the circuit once the release is complete.
            State::Releasing(_) => return out.push(refuse(Refusal::Busy)),
            State::Resetting => return out.push(refuse(Refusal::Resetting)),
        }
        let entry = &mut self.circuits[circuit as usize];
        // A seizure by the other end implies that its block for maintenance is lifted (Q.764 2.8.2.1).
        entry.remote.maintenance = false;
        (entry.seizure_token, entry.seizure_reply) = (token, None);
        entry.generation = entry.generation.wrapping_add(1);
        self.set_state(circuit, State::Arriving(call));
        out.push(Event::Offered(circuit, call));
    }

    fn on_release(&mut self, circuit: CircuitId, call: CallRef, outgoing: bool, out: &mut Vec<Event>) {
        let Some(entry) = self.circuits.get(circuit as usize) else { return };
        let (state, token) = (entry.state, entry.token);
        match state {
            State::Arriving(current_call) | State::Incoming(current_call)
                if outgoing && current_call == call =>
            {
                out.push(Event::Ended(circuit, call, false));
                self.set_state(circuit, State::Idle);
            }
            State::Outgoing(current_call) if !outgoing && current_call == call => {
                out.push(Event::Ended(circuit, call, true));
                self.set_state(circuit, State::Idle);
            }
            State::Seizing(current_call) if !outgoing && current_call == call => {
                // The other end accepted and then released the call; the acceptance was lost.
                self.take_pending(token);
                out.push(Event::Ended(circuit, call, true));
                self.set_state(circuit, State::Idle);
            }
            // The release concerns another call, or this end is releasing it too and awaits its own reply.
            _ => {}
        }
    }

    fn on_reset(&mut self, now: Micros, token: Token, range: Range, out: &mut Vec<Event>) {
        let circuits = range.within(self.settings.size);
        let mut blocked = Vec::new();
        for circuit in circuits {
            // A retransmitted reset must not clear a call that was set up after its first copy.
            if self.circuits[circuit as usize].last_reset == Some(token) {
                continue;
            }
            self.circuits[circuit as usize].last_reset = Some(token);
            self.clear_call(circuit, out);
            let entry = &mut self.circuits[circuit as usize];
            entry.remote = Blocks::default();
            if entry.local.any() {
                blocked.push((circuit, entry.local));
            }
            // The resets cross: the reset of this end still awaits its reply.
            if entry.state != State::Resetting {
                self.set_state(circuit, State::Idle);
            }
            self.update_selector(circuit);
        }
        out.push(Event::Reply(token, Reply::Done));
        // The other end has lost the blocks that this end had set: send them again (Q.764 2.9.3.1).
        for hardware in [false, true] {
            let is_blocked = |blocks: Blocks| if hardware { blocks.hardware } else { blocks.maintenance };
            let mut run: Option<Range> = None;
            for (circuit, _) in blocked.iter().filter(|(_, blocks)| is_blocked(*blocks)) {
                match &mut run {
                    Some(range) if range.first + range.count == *circuit => range.count += 1,
                    _ => {
                        if let Some(range) = run.replace(Range::one(*circuit)) {
                            self.send(now, Request::Block { range, hardware }, out);
                        }
                    }
                }
            }
            if let Some(range) = run {
                self.send(now, Request::Block { range, hardware }, out);
            }
        }
    }

    // ---- Replies ----

    /// Handles a reply. A reply that matches no pending request is ignored.
    pub fn reply(&mut self, now: Micros, token: Token, reply: &Reply, out: &mut Vec<Event>) {
        let Some(pending) = self.take_pending(token) else { return };
        match (pending.request, reply) {
            (Request::Seize { circuit, call }, reply) => {
                self.on_seizure_reply(now, (circuit, call), token, pending.abandoned, reply, out);
            }
            (Request::Release { circuit, .. }, _) => {
                let entry = &self.circuits[circuit as usize];
                if matches!(entry.state, State::Releasing(_)) && entry.token == token {
                    self.set_state(circuit, State::Idle);
                }
            }
            (Request::Reset(range), _) => {
                // Another pending reset that covers the circuit may be retransmitted: wait for its reply,
                // too.
                let others = self.pending_resets();
                for circuit in range.within(self.settings.size) {
                    let entry = &self.circuits[circuit as usize];
                    let is_pending = || others.iter().any(|(_, other)| other.contains(&circuit));
                    if entry.state == State::Resetting && !is_pending() {
                        self.set_state(circuit, State::Idle);
                    }
                }
            }
            (Request::Query(_), Reply::States(states)) => self.on_query_reply(now, token, states, out),
            (Request::Query(_) | Request::Block { .. } | Request::Unblock { .. }, _) => {}
        }
    }

    fn on_seizure_reply(
        &mut self,
        now: Micros,
        (circuit, call): (CircuitId, CallRef),
        token: Token,
        abandoned: bool,
        reply: &Reply,
        out: &mut Vec<Event>,
    ) {
        let entry = &self.circuits[circuit as usize];
        let current = entry.state == State::Seizing(call) && entry.token == token && !abandoned;
        match reply {
            Reply::Accepted if current => {
                self.set_state(circuit, State::Outgoing(call));
                out.push(Event::Stands(circuit, call));
            }
            Reply::Accepted => {
                // This end abandoned the seizure, the other end accepted it. A release under way already
                // resolves this. If this end had yielded, both ends have: neither claims control of the
                // circuit.
                let releasing = entry.state == State::Releasing(call) && entry.outgoing;
                if !releasing {
                    if matches!(entry.state, State::Arriving(_) | State::Incoming(_)) {
                        out.push(Event::Dispute(circuit));
                    }
                    self.send(now, Request::Release { circuit, call, outgoing: true }, out);
                }
            }
            Reply::Refused(refusal) if current => {
                match refusal {
                    Refusal::Glare => {
                        if self.settings.control.controls(circuit) {
                            out.push(Event::Dispute(circuit));
                        }
                        out.push(Event::Yielded(circuit, call));
                    }
                    other => out.push(Event::Refused(circuit, call, *other)),
                }
                match refusal {
                    // The other end's block applies until it reports otherwise.
                    Refusal::Unequipped => self.circuits[circuit as usize].remote.hardware = true,
                    Refusal::Blocked => self.circuits[circuit as usize].remote.maintenance = true,
                    _ => {}
                }
                self.set_state(circuit, State::Idle);
            }
            _ => {}
        }
    }

    // ---- Timers ----

    /// Handles expired timers. Called at the time returned by [`Group::due`].
    pub fn timeout(&mut self, now: Micros, out: &mut Vec<Event>) {
        while let Some((at, token)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, token));
            let Some(pending) = self.pending.get(&token) else { continue };
            match pending.request.clone() {
                Request::Seize { circuit, call } => {
                    let abandoned = pending.abandoned;
                    self.pending.remove(&token);
                    let entry = &self.circuits[circuit as usize];
                    if !abandoned && entry.state == State::Seizing(call) && entry.token == token {
                        out.push(Event::Lost(circuit, call));
                        self.begin_release(now, circuit, call, true, out);
                    } else if entry.state != State::Releasing(call) {
                        // The call yielded; the other end may have accepted it, and the reply was lost.
                        self.send(now, Request::Release { circuit, call, outgoing: true }, out);
                    }
                }
                Request::Release { circuit, call, .. } if pending.sent >= self.settings.timers.releases => {
                    self.pending.remove(&token);
                    let entry = &self.circuits[circuit as usize];
                    if entry.state == State::Releasing(call) && entry.token == token {
                        self.reset(now, Range::one(circuit), out);
                    }
                }
                Request::Query(_) => {
                    self.pending.remove(&token);
                    self.audit_query = None;
                }
                request => self.retransmit(now, token, request, out),
            }
        }
        self.send_audit_query(now, out);
    }

    fn retransmit(&mut self, now: Micros, token: Token, request: Request, out: &mut Vec<Event>) {
        let timers = self.settings.timers;
        let Some(pending) = self.pending.get_mut(&token) else { return };
        let wait = match request {
            Request::Release { .. } => timers.release,
            _ if pending.sent < 5 => timers.again,
            _ => timers.seldom,
        };
        pending.sent += 1;
        pending.due_at = now + wait;
        self.deadlines.insert((now + wait, token));
        out.push(Event::Send(token, request));
    }

    /// Retransmits pending requests, other than seizures and queries, at once after the link was
    /// re-established.
    pub fn reconnected(&mut self, now: Micros, out: &mut Vec<Event>) {
        let mut waiting: Vec<Token> = self.pending.keys().copied().collect();
        waiting.sort_unstable();
        for token in waiting {
            let Some(pending) = self.pending.get(&token) else { continue };
            if matches!(pending.request, Request::Seize { .. } | Request::Query(_)) {
                continue;
            }
            let (request, due_at) = (pending.request.clone(), pending.due_at);
            self.deadlines.remove(&(due_at, token));
            self.retransmit(now, token, request, out);
        }
    }

    // ---- Audits ----

    fn send_audit_query(&mut self, now: Micros, out: &mut Vec<Event>) {
        let Some(audits) = self.settings.audits else { return };
        if self.audit_at.is_none_or(|at| at > now) {
            return;
        }
        self.audit_at = Some(now + audits.query_interval(self.settings.size));
        if self.audit_query.is_some() || self.settings.size == 0 {
            return;
        }
        let first = if self.audit_cursor >= self.settings.size { 0 } else { self.audit_cursor };
        let count = audits.slice.clamp(1, self.settings.size - first);
        self.audit_cursor = first + count;
        let range = Range { first, count };
        let generations = range
            .within(self.settings.size)
            .map(|circuit| self.circuits[circuit as usize].generation)
            .collect();
        let token = self.send(now, Request::Query(range), out);
        self.audit_query = Some((token, range, generations));
    }

    fn on_query_reply(
        &mut self,
        now: Micros,
        token: Token,
        states: &[(ReportedState, Blocks)],
        out: &mut Vec<Event>,
    ) {
        let Some((query_token, range, generations)) = self.audit_query.take() else { return };
        if query_token != token {
            self.audit_query = Some((query_token, range, generations));
            return;
        }
        let answers = range.within(self.settings.size).zip(states).zip(generations);
        let mut repairs: Vec<(CircuitId, Difference)> = Vec::new();
        for ((circuit, (reported, blocks)), generation_at_query) in answers {
            let entry = &mut self.circuits[circuit as usize];
            if *reported == ReportedState::Unequipped && entry.state == State::Idle && entry.remote.hardware {
                continue; // Already known and out of service.
            }
            match audit::evaluate(
                generation_at_query,
                (entry.state, entry.generation),
                *reported,
                entry.last_observation,
            ) {
                audit::Verdict::Agree => entry.last_observation = None,
                audit::Verdict::Remember(observation) => entry.last_observation = Some(observation),
                audit::Verdict::Repair(difference) => {
                    entry.last_observation = None;
                    repairs.push((circuit, difference));
                }
            }
            // The answer includes the other end's blocks, in case a block or unblock was lost.
            if generation_at_query == entry.generation && *reported != ReportedState::Unequipped {
                entry.remote = *blocks;
            }
            self.update_selector(circuit);
        }
        let mut resets: Vec<Range> = Vec::new();
        for (circuit, difference) in repairs {
            out.push(Event::Mended(circuit, difference));
            if difference == Difference::Unequipped {
                self.clear_call(circuit, out);
                self.circuits[circuit as usize].remote.hardware = true;
                self.set_state(circuit, State::Idle);
                continue;
            }
            match resets.last_mut() {
                Some(range) if range.first + range.count == circuit => range.count += 1,
                _ => resets.push(Range::one(circuit)),
            }
        }
        for range in resets {
            self.reset(now, range, out);
        }
    }
}

#[cfg(test)]
mod exhaustive;
