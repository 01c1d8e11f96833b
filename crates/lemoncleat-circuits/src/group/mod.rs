//! One end of a trunk group: the states of its circuits.

use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;

use crate::audit::{self, Audits, Difference, Look};
use crate::glare::Control;
use crate::message::{Blocks, FarState, Range, Refusal, Reply, Request, Token};
use crate::selection::{Order, Selector};
use crate::{CallRef, CircuitId, Micros};

/// Waits, in terms of Q.764's timers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timers {
    /// A seizure without a reply is lost after this (T7).
    pub seize: Micros,
    /// A release without a reply is sent again after this (T1).
    pub release: Micros,
    /// After so many releases the circuit is reset (T5).
    pub releases: u32,
    /// A reset, block or unblock without a reply is sent again after this (T16, T12, T14).
    pub again: Micros,
    /// After five of those, after this (T17, T13, T15).
    pub seldom: Micros,
}

impl Default for Timers {
    fn default() -> Self {
        Timers { seize: 25_000_000, release: 2_000_000, releases: 4, again: 2_000_000, seldom: 60_000_000 }
    }
}

/// What one end of a group is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupSettings {
    /// Its circuits, 100,000 at most.
    pub size: u32,
    /// Which idle circuit is seized next.
    pub order: Order,
    /// Which circuits this end controls.
    pub control: Control,
    /// Waits.
    pub timers: Timers,
    /// Audits; `None` for none.
    pub audits: Option<Audits>,
}

/// Most circuits of a group.
const MOST: u32 = 100_000;

/// A circuit's state at one end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Not in use.
    Idle,
    /// Seized from here, not accepted yet.
    Seizing(CallRef),
    /// Seized from there, not accepted yet.
    Arriving(CallRef),
    /// Busy with a call of this end.
    Outgoing(CallRef),
    /// Busy with a call of the other end.
    Incoming(CallRef),
    /// Released from here; the other end has not said so yet.
    Releasing(CallRef),
    /// Reset from here; the other end has not said so yet.
    Resetting,
}

impl State {
    /// Between two lasting states.
    pub fn is_transient(self) -> bool {
        matches!(self, State::Seizing(_) | State::Arriving(_) | State::Releasing(_) | State::Resetting)
    }
}

/// What an end asks for, or tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Send a request, or send it again.
    Send(Token, Request),
    /// Send a reply.
    Reply(Token, Reply),
    /// The other end seized a circuit for a call of its own: accept or refuse it.
    Offered(CircuitId, CallRef),
    /// The other end accepted a call of this end.
    Stands(CircuitId, CallRef),
    /// It refused one, for another reason than glare.
    Refused(CircuitId, CallRef, Refusal),
    /// A call of this end lost its circuit to the other end's; it never ran there.
    Yielded(CircuitId, CallRef),
    /// A seizure stayed without a reply.
    Lost(CircuitId, CallRef),
    /// The other end released a call; the flag tells whether this end had set it up.
    Ended(CircuitId, CallRef, bool),
    /// A call is over because its circuit was reset, failed or mended.
    Cut(CircuitId, CallRef, bool),
    /// The ends do not agree about who controls a circuit.
    Dispute(CircuitId),
    /// An audit mended a circuit.
    Mended(CircuitId, Difference),
}

/// How many circuits are in which state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// All.
    pub size: u32,
    /// Idle and not blocked.
    pub free: u32,
    /// Idle.
    pub idle: u32,
    /// With calls of this end.
    pub outgoing: u32,
    /// With calls of the other end.
    pub incoming: u32,
    /// Between two states.
    pub transient: u32,
    /// Blocked at either end.
    pub blocked: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Circuit {
    state: State,
    generation: u32,
    local: Blocks,
    remote: Blocks,
    look: Option<Look>,
    /// The token of the own request that its state waits for.
    token: Token,
    /// The token of the other end's seizure, and the reply that it got.
    theirs: Token,
    replied: Option<Reply>,
    /// The last reset that was carried out here.
    reset: Option<Token>,
    /// The call that is being released was set up here.
    own: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    request: Request,
    due: Micros,
    sent: u32,
    /// A seizure that lost its circuit meanwhile.
    dropped: bool,
}

/// One end of a trunk group.
#[derive(Clone, Debug)]
pub struct Group {
    settings: GroupSettings,
    circuits: Vec<Circuit>,
    selector: Selector,
    pending: FxHashMap<Token, Pending>,
    due: BTreeSet<(Micros, Token)>,
    next: Token,
    cursor: CircuitId,
    audit_at: Option<Micros>,
    /// The one question that is out, and the generations when it was sent.
    asked: Option<(Token, Range, Vec<u32>)>,
}

impl Group {
    /// A group with all circuits idle. Tokens begin at a number drawn from the seed, so that those of an
    /// earlier life are not taken for new ones.
    pub fn new(settings: GroupSettings, now: Micros, seed: u64) -> Group {
        let settings = GroupSettings { size: settings.size.min(MOST), ..settings };
        let mut rng = SmallRng::seed_from_u64(seed);
        let idle = Circuit {
            state: State::Idle,
            generation: 0,
            local: Blocks::default(),
            remote: Blocks::default(),
            look: None,
            token: 0,
            theirs: 0,
            replied: None,
            reset: None,
            own: false,
        };
        let mut selector = Selector::new(settings.order, settings.size, Some(settings.control.parity()));
        (0..settings.size).for_each(|circuit| selector.insert(circuit));
        Group {
            circuits: vec![idle; settings.size as usize],
            selector,
            pending: FxHashMap::default(),
            due: BTreeSet::new(),
            next: rng.random::<u32>() | 1,
            cursor: 0,
            audit_at: settings.audits.map(|audits| now + audits.pace(settings.size)),
            asked: None,
            settings,
        }
    }

    /// Its settings.
    pub fn settings(&self) -> &GroupSettings {
        &self.settings
    }

    /// A circuit's state; `None` beyond the group.
    pub fn state(&self, circuit: CircuitId) -> Option<State> {
        self.circuits.get(circuit as usize).map(|circuit| circuit.state)
    }

    /// A circuit's blocks, set here and there.
    pub fn blocks(&self, circuit: CircuitId) -> Option<(Blocks, Blocks)> {
        self.circuits.get(circuit as usize).map(|circuit| (circuit.local, circuit.remote))
    }

    /// Circuits that may be seized.
    pub fn free(&self) -> usize {
        self.selector.len()
    }

    /// How many circuits are in which state. It looks at each.
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

    /// Requests that wait for their reply.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// When to call [`Group::timeout`].
    pub fn due(&self) -> Option<Micros> {
        let first = self.due.first().map(|(at, _)| *at);
        [first, self.audit_at].into_iter().flatten().min()
    }

    // ---- Tokens and waits ----

    fn send(&mut self, now: Micros, request: Request, out: &mut Vec<Event>) -> Token {
        let token = self.next;
        self.next = self.next.wrapping_add(1);
        let timers = &self.settings.timers;
        let wait = match request {
            Request::Seize { .. } => timers.seize,
            Request::Release { .. } => timers.release,
            _ => timers.again,
        };
        self.due.insert((now + wait, token));
        out.push(Event::Send(token, request.clone()));
        self.pending.insert(token, Pending { request, due: now + wait, sent: 1, dropped: false });
        token
    }

    fn finish(&mut self, token: Token) -> Option<Pending> {
        let pending = self.pending.remove(&token)?;
        self.due.remove(&(pending.due, token));
        Some(pending)
    }

    /// Own resets that wait for their reply.
    fn resets(&self) -> Vec<(Token, std::ops::Range<CircuitId>)> {
        let ranges = self.pending.iter().filter_map(|(token, pending)| match pending.request {
            Request::Reset(range) => Some((*token, range.within(self.settings.size))),
            _ => None,
        });
        ranges.collect()
    }

    /// The state of a circuit changes.
    fn set(&mut self, circuit: CircuitId, state: State) {
        let Some(this) = self.circuits.get_mut(circuit as usize) else { return };
        if this.state != state {
            this.generation = this.generation.wrapping_add(1);
            this.state = state;
            this.look = None;
        }
        self.offer(circuit);
    }

    /// Whether a circuit may be seized follows from its state and blocks.
    fn offer(&mut self, circuit: CircuitId) {
        let Some(this) = self.circuits.get(circuit as usize) else { return };
        if this.state == State::Idle && !this.local.any() && !this.remote.any() {
            self.selector.insert(circuit);
        } else {
            self.selector.remove(circuit);
        }
    }

    // ---- Asked for by this end ----

    /// Seizes an idle circuit for a call; `away` from where the usual order would, after repeated glare.
    pub fn seize(
        &mut self,
        now: Micros,
        call: CallRef,
        away: bool,
        out: &mut Vec<Event>,
    ) -> Option<CircuitId> {
        let circuit = if away { self.selector.choose_away() } else { self.selector.choose() }?;
        self.seize_circuit(now, circuit, call, out).then_some(circuit)
    }

    /// Seizes one circuit in particular, if it is free.
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
        self.set(circuit, State::Seizing(call));
        let token = self.send(now, Request::Seize { circuit, call }, out);
        self.circuits[circuit as usize].token = token;
        true
    }

    /// Ends whatever call a circuit holds, from this end: a call that is over, a seizure that is given up, a
    /// call of the other end that is refused or ended.
    pub fn release(&mut self, now: Micros, circuit: CircuitId, out: &mut Vec<Event>) {
        let Some(this) = self.circuits.get(circuit as usize) else { return };
        let (token, theirs) = (this.token, this.theirs);
        let (call, own) = match this.state {
            State::Seizing(call) => {
                // Its reply, if one comes, is too late.
                if let Some(pending) = self.pending.get_mut(&token) {
                    pending.dropped = true;
                }
                (call, true)
            }
            State::Outgoing(call) => (call, true),
            State::Incoming(call) => (call, false),
            State::Arriving(_) => {
                let reply = Reply::Refused(Refusal::Call);
                self.circuits[circuit as usize].replied = Some(reply.clone());
                out.push(Event::Reply(theirs, reply));
                return self.set(circuit, State::Idle);
            }
            State::Idle | State::Releasing(_) | State::Resetting => return,
        };
        self.begin_release(now, circuit, call, own, out);
    }

    fn begin_release(
        &mut self,
        now: Micros,
        circuit: CircuitId,
        call: CallRef,
        own: bool,
        out: &mut Vec<Event>,
    ) {
        self.set(circuit, State::Releasing(call));
        let token = self.send(now, Request::Release { circuit, call, outgoing: own }, out);
        let this = &mut self.circuits[circuit as usize];
        (this.token, this.own) = (token, own);
    }

    /// Accepts the call that the other end seized a circuit for.
    pub fn accept(&mut self, circuit: CircuitId, out: &mut Vec<Event>) {
        let Some(this) = self.circuits.get_mut(circuit as usize) else { return };
        if let State::Arriving(call) = this.state {
            this.replied = Some(Reply::Accepted);
            out.push(Event::Reply(this.theirs, Reply::Accepted));
            self.set(circuit, State::Incoming(call));
        }
    }

    /// Blocks or unblocks circuits at this end. Calls go on under a block for maintenance and are cut by one for
    /// a hardware failure.
    pub fn block(&mut self, now: Micros, range: Range, hardware: bool, on: bool, out: &mut Vec<Event>) {
        for circuit in range.within(self.settings.size) {
            self.circuits[circuit as usize].local.set(hardware, on);
            if hardware && on {
                self.cut(circuit, out);
                self.set(circuit, State::Idle);
            }
            self.offer(circuit);
        }
        let request =
            if on { Request::Block { range, hardware } } else { Request::Unblock { range, hardware } };
        self.send(now, request, out);
    }

    /// Resets circuits: whatever they hold is over, at both ends.
    pub fn reset(&mut self, now: Micros, range: Range, out: &mut Vec<Event>) {
        let circuits = range.within(self.settings.size);
        let (first, count) = (circuits.start, circuits.len() as u32);
        if count == 0 {
            return;
        }
        for circuit in circuits.clone() {
            self.cut(circuit, out);
            self.set(circuit, State::Resetting);
        }
        // Said again behind this one, an earlier reset would end calls that began in between.
        let within =
            |range: &std::ops::Range<CircuitId>| range.start >= circuits.start && range.end <= circuits.end;
        for (token, _) in self.resets().into_iter().filter(|(_, range)| within(range)) {
            self.finish(token);
        }
        let token = self.send(now, Request::Reset(Range { first, count }), out);
        for circuit in circuits {
            self.circuits[circuit as usize].token = token;
        }
    }

    /// Resets the whole group, as after a restart of this end; blocks set here are told again with the replies.
    pub fn restart(&mut self, now: Micros, out: &mut Vec<Event>) {
        self.reset(now, Range { first: 0, count: self.settings.size }, out);
    }

    /// Begins an audit of the whole group now.
    pub fn audit(&mut self, now: Micros) {
        self.cursor = 0;
        if self.settings.audits.is_some() {
            self.audit_at = Some(now);
        }
    }

    /// The call of a circuit is over without a word to the other end; a request for it waits no longer.
    fn cut(&mut self, circuit: CircuitId, out: &mut Vec<Event>) {
        let this = &self.circuits[circuit as usize];
        let (state, token) = (this.state, this.token);
        match state {
            State::Seizing(call) | State::Outgoing(call) => out.push(Event::Cut(circuit, call, true)),
            State::Arriving(call) | State::Incoming(call) => out.push(Event::Cut(circuit, call, false)),
            State::Idle | State::Releasing(_) | State::Resetting => {}
        }
        match state {
            State::Seizing(_) => {
                if let Some(pending) = self.pending.get_mut(&token) {
                    pending.dropped = true;
                }
            }
            State::Releasing(_) => {
                self.finish(token);
            }
            _ => {}
        }
    }

    // ---- Asked for by the other end ----

    /// A request came.
    pub fn request(&mut self, now: Micros, token: Token, request: &Request, out: &mut Vec<Event>) {
        match *request {
            Request::Seize { circuit, call } => self.seized(token, circuit, call, out),
            Request::Release { circuit, call, outgoing } => {
                self.released(circuit, call, outgoing, out);
                out.push(Event::Reply(token, Reply::Done));
            }
            Request::Reset(range) => self.reset_by_them(now, token, range, out),
            Request::Block { range, hardware } => {
                for circuit in range.within(self.settings.size) {
                    if hardware {
                        self.cut(circuit, out);
                        if self.circuits[circuit as usize].state != State::Resetting {
                            self.set(circuit, State::Idle);
                        }
                    }
                    self.circuits[circuit as usize].remote.set(hardware, true);
                    self.offer(circuit);
                }
                out.push(Event::Reply(token, Reply::Done));
            }
            Request::Unblock { range, hardware } => {
                for circuit in range.within(self.settings.size) {
                    self.circuits[circuit as usize].remote.set(hardware, false);
                    self.offer(circuit);
                }
                out.push(Event::Reply(token, Reply::Done));
            }
            Request::Query(range) => {
                let last = range.first.saturating_add(range.count.min(MOST));
                let states = (range.first..last).map(|circuit| self.told(circuit)).collect();
                out.push(Event::Reply(token, Reply::States(states)));
            }
        }
    }

    fn told(&self, circuit: CircuitId) -> (FarState, Blocks) {
        let Some(this) = self.circuits.get(circuit as usize) else {
            return (FarState::Unequipped, Blocks::default());
        };
        let state = match this.state {
            State::Idle => FarState::Idle,
            State::Outgoing(_) => FarState::Outgoing,
            State::Incoming(_) => FarState::Incoming,
            _ => FarState::Transient,
        };
        (state, this.local)
    }

    fn seized(&mut self, token: Token, circuit: CircuitId, call: CallRef, out: &mut Vec<Event>) {
        let Some(this) = self.circuits.get(circuit as usize) else {
            return out.push(Event::Reply(token, Reply::Refused(Refusal::Unequipped)));
        };
        if this.theirs == token {
            // The same seizure once more: the same reply, if there is one already.
            if let Some(reply) = this.replied.clone() {
                out.push(Event::Reply(token, reply));
            }
            return;
        }
        let refuse = |refusal| Event::Reply(token, Reply::Refused(refusal));
        if this.local.any() {
            return out.push(refuse(Refusal::Blocked));
        }
        match this.state {
            State::Idle => {}
            State::Seizing(_) if self.settings.control.has(circuit) => {
                return out.push(refuse(Refusal::Glare))
            }
            State::Seizing(own) => {
                // Dual seizure, and the other end controls the circuit: the own call yields.
                if let Some(pending) = self.pending.get_mut(&this.token) {
                    pending.dropped = true;
                }
                out.push(Event::Yielded(circuit, own));
            }
            // The other end takes it for idle: its call is over there, and the release was lost.
            State::Incoming(old) | State::Arriving(old) => out.push(Event::Ended(circuit, old, false)),
            State::Outgoing(_) => return out.push(refuse(Refusal::Busy)),
            // It may have seized before our release reached it, for a seizure of ours that it never got.
            // Refused, it will find the circuit idle once the release is done.
            State::Releasing(_) => return out.push(refuse(Refusal::Busy)),
            State::Resetting => return out.push(refuse(Refusal::Resetting)),
        }
        let this = &mut self.circuits[circuit as usize];
        // A seizure from there shows that it is not blocked there for maintenance any more (Q.764 2.8.2.1).
        this.remote.maintenance = false;
        (this.theirs, this.replied) = (token, None);
        this.generation = this.generation.wrapping_add(1);
        self.set(circuit, State::Arriving(call));
        out.push(Event::Offered(circuit, call));
    }

    fn released(&mut self, circuit: CircuitId, call: CallRef, outgoing: bool, out: &mut Vec<Event>) {
        let Some(this) = self.circuits.get(circuit as usize) else { return };
        let (state, token) = (this.state, this.token);
        match state {
            State::Arriving(held) | State::Incoming(held) if outgoing && held == call => {
                out.push(Event::Ended(circuit, call, false));
                self.set(circuit, State::Idle);
            }
            State::Outgoing(held) if !outgoing && held == call => {
                out.push(Event::Ended(circuit, call, true));
                self.set(circuit, State::Idle);
            }
            State::Seizing(held) if !outgoing && held == call => {
                // Accepted and ended there, and the acceptance was lost.
                self.finish(token);
                out.push(Event::Ended(circuit, call, true));
                self.set(circuit, State::Idle);
            }
            // Another call's, or one that is being released from here too: that waits for its own reply.
            _ => {}
        }
    }

    fn reset_by_them(&mut self, now: Micros, token: Token, range: Range, out: &mut Vec<Event>) {
        let circuits = range.within(self.settings.size);
        let mut blocked = Vec::new();
        for circuit in circuits {
            // A reset that is said twice must not end a call that began in between.
            if self.circuits[circuit as usize].reset == Some(token) {
                continue;
            }
            self.circuits[circuit as usize].reset = Some(token);
            self.cut(circuit, out);
            let this = &mut self.circuits[circuit as usize];
            this.remote = Blocks::default();
            if this.local.any() {
                blocked.push((circuit, this.local));
            }
            // Resets that cross: the own one still waits for its reply.
            if this.state != State::Resetting {
                self.set(circuit, State::Idle);
            }
            self.offer(circuit);
        }
        out.push(Event::Reply(token, Reply::Done));
        // The other end has forgotten the blocks set here (Q.764 2.9.3.1).
        for hardware in [false, true] {
            let holds = |blocks: Blocks| if hardware { blocks.hardware } else { blocks.maintenance };
            let mut run: Option<Range> = None;
            for (circuit, _) in blocked.iter().filter(|(_, blocks)| holds(*blocks)) {
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

    /// A reply came. One to no request that waits is dropped.
    pub fn reply(&mut self, now: Micros, token: Token, reply: &Reply, out: &mut Vec<Event>) {
        let Some(pending) = self.finish(token) else { return };
        match (pending.request, reply) {
            (Request::Seize { circuit, call }, reply) => {
                self.seizure_answered(now, (circuit, call), token, pending.dropped, reply, out);
            }
            (Request::Release { circuit, .. }, _) => {
                let this = &self.circuits[circuit as usize];
                if matches!(this.state, State::Releasing(_)) && this.token == token {
                    self.set(circuit, State::Idle);
                }
            }
            (Request::Reset(range), _) => {
                // One of another range that waits may come there again: until it is answered, too.
                let others = self.resets();
                for circuit in range.within(self.settings.size) {
                    let this = &self.circuits[circuit as usize];
                    let waits = || others.iter().any(|(_, other)| other.contains(&circuit));
                    if this.state == State::Resetting && !waits() {
                        self.set(circuit, State::Idle);
                    }
                }
            }
            (Request::Query(_), Reply::States(states)) => self.audited(now, token, states, out),
            (Request::Query(_) | Request::Block { .. } | Request::Unblock { .. }, _) => {}
        }
    }

    fn seizure_answered(
        &mut self,
        now: Micros,
        (circuit, call): (CircuitId, CallRef),
        token: Token,
        dropped: bool,
        reply: &Reply,
        out: &mut Vec<Event>,
    ) {
        let this = &self.circuits[circuit as usize];
        let current = this.state == State::Seizing(call) && this.token == token && !dropped;
        match reply {
            Reply::Accepted if current => {
                self.set(circuit, State::Outgoing(call));
                out.push(Event::Stands(circuit, call));
            }
            Reply::Accepted => {
                // Given up here, accepted there. After a release that is under way it is as it should be; after
                // a yield, both ends yielded: neither takes the circuit for its own.
                let releasing = this.state == State::Releasing(call) && this.own;
                if !releasing {
                    if matches!(this.state, State::Arriving(_) | State::Incoming(_)) {
                        out.push(Event::Dispute(circuit));
                    }
                    self.send(now, Request::Release { circuit, call, outgoing: true }, out);
                }
            }
            Reply::Refused(refusal) if current => {
                match refusal {
                    Refusal::Glare => {
                        if self.settings.control.has(circuit) {
                            out.push(Event::Dispute(circuit));
                        }
                        out.push(Event::Yielded(circuit, call));
                    }
                    other => out.push(Event::Refused(circuit, call, *other)),
                }
                match refusal {
                    // What the other end says of the circuit holds until it says otherwise.
                    Refusal::Unequipped => self.circuits[circuit as usize].remote.hardware = true,
                    Refusal::Blocked => self.circuits[circuit as usize].remote.maintenance = true,
                    _ => {}
                }
                self.set(circuit, State::Idle);
            }
            _ => {}
        }
    }

    // ---- Time ----

    /// The time at [`Group::due`] has come.
    pub fn timeout(&mut self, now: Micros, out: &mut Vec<Event>) {
        while let Some((at, token)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, token));
            let Some(pending) = self.pending.get(&token) else { continue };
            match pending.request.clone() {
                Request::Seize { circuit, call } => {
                    let dropped = pending.dropped;
                    self.pending.remove(&token);
                    let this = &self.circuits[circuit as usize];
                    if !dropped && this.state == State::Seizing(call) && this.token == token {
                        out.push(Event::Lost(circuit, call));
                        self.begin_release(now, circuit, call, true, out);
                    } else if this.state != State::Releasing(call) {
                        // It yielded, and whether the other end took it all the same was never heard.
                        self.send(now, Request::Release { circuit, call, outgoing: true }, out);
                    }
                }
                Request::Release { circuit, call, .. } if pending.sent >= self.settings.timers.releases => {
                    self.pending.remove(&token);
                    let this = &self.circuits[circuit as usize];
                    if this.state == State::Releasing(call) && this.token == token {
                        self.reset(now, Range::one(circuit), out);
                    }
                }
                Request::Query(_) => {
                    self.pending.remove(&token);
                    self.asked = None;
                }
                request => self.again(now, token, request, out),
            }
        }
        self.ask(now, out);
    }

    fn again(&mut self, now: Micros, token: Token, request: Request, out: &mut Vec<Event>) {
        let timers = self.settings.timers;
        let Some(pending) = self.pending.get_mut(&token) else { return };
        let wait = match request {
            Request::Release { .. } => timers.release,
            _ if pending.sent < 5 => timers.again,
            _ => timers.seldom,
        };
        pending.sent += 1;
        pending.due = now + wait;
        self.due.insert((now + wait, token));
        out.push(Event::Send(token, request));
    }

    /// The link is open again after it was lost: what waits for a reply is sent at once.
    pub fn reconnected(&mut self, now: Micros, out: &mut Vec<Event>) {
        let mut waiting: Vec<Token> = self.pending.keys().copied().collect();
        waiting.sort_unstable();
        for token in waiting {
            let Some(pending) = self.pending.get(&token) else { continue };
            if matches!(pending.request, Request::Seize { .. } | Request::Query(_)) {
                continue;
            }
            let (request, due) = (pending.request.clone(), pending.due);
            self.due.remove(&(due, token));
            self.again(now, token, request, out);
        }
    }

    // ---- Audits ----

    fn ask(&mut self, now: Micros, out: &mut Vec<Event>) {
        let Some(audits) = self.settings.audits else { return };
        if self.audit_at.is_none_or(|at| at > now) {
            return;
        }
        self.audit_at = Some(now + audits.pace(self.settings.size));
        if self.asked.is_some() || self.settings.size == 0 {
            return;
        }
        let first = if self.cursor >= self.settings.size { 0 } else { self.cursor };
        let count = audits.slice.clamp(1, self.settings.size - first);
        self.cursor = first + count;
        let range = Range { first, count };
        let generations = range
            .within(self.settings.size)
            .map(|circuit| self.circuits[circuit as usize].generation)
            .collect();
        let token = self.send(now, Request::Query(range), out);
        self.asked = Some((token, range, generations));
    }

    fn audited(&mut self, now: Micros, token: Token, states: &[(FarState, Blocks)], out: &mut Vec<Event>) {
        let Some((asked, range, generations)) = self.asked.take() else { return };
        if asked != token {
            self.asked = Some((asked, range, generations));
            return;
        }
        let looks = range.within(self.settings.size).zip(states).zip(generations);
        let mut mend: Vec<(CircuitId, Difference)> = Vec::new();
        for ((circuit, (there, blocks)), asked) in looks {
            let this = &mut self.circuits[circuit as usize];
            if *there == FarState::Unequipped && this.state == State::Idle && this.remote.hardware {
                continue; // Known, and out of use already.
            }
            match audit::judge(asked, (this.state, this.generation), *there, this.look) {
                audit::Verdict::Agree => this.look = None,
                audit::Verdict::Remember(look) => this.look = Some(look),
                audit::Verdict::Mend(difference) => {
                    this.look = None;
                    mend.push((circuit, difference));
                }
            }
            // What the other end blocks it tells with its states, in case a block or its end was lost.
            if asked == this.generation && *there != FarState::Unequipped {
                this.remote = *blocks;
            }
            self.offer(circuit);
        }
        let mut resets: Vec<Range> = Vec::new();
        for (circuit, difference) in mend {
            out.push(Event::Mended(circuit, difference));
            if difference == Difference::Unequipped {
                self.cut(circuit, out);
                self.circuits[circuit as usize].remote.hardware = true;
                self.set(circuit, State::Idle);
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
mod model;
