//! Simulates two ends of a trunk group under a virtual clock, both seizing, over a link that delays and loses
//! messages. It measures the cost of dual seizure by selection order and load, and whether every circuit
//! is recovered.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use lemoncleat_circuits::audit::Audits;
use lemoncleat_circuits::glare::{after_yield, Control, Next, Repeats};
use lemoncleat_circuits::{
    CallRef, CircuitId, Event, Group, GroupSettings, Order, Reply, Request, State, Timers, Token,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Micros;

/// Parameters of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct GlareRun {
    /// Number of circuits configured at each end.
    pub sizes: [u32; 2],
    /// Selection order of each end.
    pub orders: [Order; 2],
    /// Circuits that each end takes itself to control.
    pub controls: [Control; 2],
    /// Mean number of concurrent calls of each end (erlangs).
    pub load: f64,
    /// Mean length of a call.
    pub length: Micros,
    /// Time in which calls arrive.
    pub duration: Micros,
    /// One-way delay of a message.
    pub delay: Micros,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Both ends seize at the same times.
    pub in_step: bool,
    /// Times at which an end loses its state, as a process that restarts without notice.
    pub restarts: Vec<(Micros, usize)>,
    /// Whether a restarted end resets its circuits, as it should.
    pub resets_after_restart: bool,
    /// Audits of both ends.
    pub audits: Option<Audits>,
    /// Retries of calls that yielded.
    pub repeats: Repeats,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Default for GlareRun {
    fn default() -> Self {
        GlareRun {
            sizes: [30, 30],
            orders: [Order::OwnFirst; 2],
            controls: [Control::Even, Control::Odd],
            load: 10.0,
            length: 6_000_000,
            duration: 60_000_000,
            delay: 20_000,
            loss: 0.0,
            in_step: false,
            restarts: Vec::new(),
            resets_after_restart: true,
            audits: Some(Audits::default()),
            repeats: Repeats::default(),
            seed: 1,
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GlareResult {
    /// Calls of both ends.
    pub calls: u64,
    /// Calls that were established.
    pub stood: u64,
    /// Dual seizures in which a call yielded.
    pub yields: u64,
    /// Calls given up after they yielded too often.
    pub lost_to_glare: u64,
    /// Calls that found no idle circuit.
    pub full: u64,
    /// Calls lost for another reason: no reply, a reset, a refusal.
    pub lost_otherwise: u64,
    /// Times at which a circuit was used by two calls.
    pub shared: u64,
    /// Calls with more than one outcome, or with none at the end.
    pub miscounted: u64,
    /// Circuits on whose state the ends did not agree at the end.
    pub apart: u64,
    /// Circuits that an audit corrected.
    pub mended: u64,
    /// Number of times that the ends disagreed about control.
    pub disputes: u64,
    /// Queries sent by audits.
    pub questions: u64,
    /// Time from the last fault or call until both ends agreed.
    pub agreed_after: Micros,
}

impl GlareResult {
    /// Returns whether no circuit was lost or shared and every call was answered once.
    pub fn sound(&self) -> bool {
        self.shared + self.miscounted + self.apart == 0
    }
}

#[derive(Clone, Debug)]
enum Packet {
    Request(Token, Request),
    Reply(Token, Reply),
}

#[derive(Clone, Debug)]
enum SimEvent {
    Arrival(usize),
    Deliver(usize, u64),
    HangUp(usize, CallRef),
    Again(usize, CallRef, bool),
    Restart(usize),
    Timer(usize),
}

#[derive(Default)]
struct Call {
    yields: u32,
    ends: Micros,
    circuit: Option<CircuitId>,
    outcomes: u32,
    stands: bool,
}

struct Sim {
    run: GlareRun,
    now: Micros,
    sequence: u64,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    pending_events: BTreeMap<u64, SimEvent>,
    ends: [Group; 2],
    /// Messages in transit to each end. As on a connection, messages stay in order and losses are at its end.
    links: [VecDeque<(u64, Packet)>; 2],
    last_arrival: [Micros; 2],
    lossy: bool,
    calls: [BTreeMap<CallRef, Call>; 2],
    next_call: CallRef,
    restart_count: u64,
    rng: SmallRng,
    result: GlareResult,
}

fn group(run: &GlareRun, end: usize, now: Micros, seed: u64) -> Group {
    let settings = GroupSettings {
        size: run.sizes[end],
        order: run.orders[end],
        control: run.controls[end],
        timers: Timers { seize: 2_000_000, release: 500_000, releases: 3, again: 500_000, seldom: 2_000_000 },
        audits: run.audits,
    };
    Group::new(settings, now, seed)
}

/// Performs a run.
pub fn glare_run(run: &GlareRun) -> GlareResult {
    let mut sim = Sim {
        now: 0,
        sequence: 0,
        due: BinaryHeap::new(),
        pending_events: BTreeMap::new(),
        ends: [group(run, 0, 0, run.seed * 2), group(run, 1, 0, run.seed * 2 + 1)],
        links: [VecDeque::new(), VecDeque::new()],
        last_arrival: [0; 2],
        lossy: true,
        calls: [BTreeMap::new(), BTreeMap::new()],
        next_call: 1,
        restart_count: 0,
        rng: SmallRng::seed_from_u64(run.seed),
        result: GlareResult::default(),
        run: run.clone(),
    };
    sim.run_to_end();
    sim.result
}

impl Sim {
    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.sequence += 1;
        self.due.push(Reverse((at.max(self.now), self.sequence)));
        self.pending_events.insert(self.sequence, event);
    }

    fn run_to_end(&mut self) {
        self.schedule(0, SimEvent::Arrival(0));
        if !self.run.in_step {
            self.schedule(0, SimEvent::Arrival(1));
        }
        for (at, end) in self.run.restarts.clone() {
            self.schedule(at, SimEvent::Restart(end));
        }
        for end in 0..2 {
            self.schedule_timer(end);
        }
        let last = self.run.restarts.iter().map(|(at, _)| *at).max().unwrap_or(0).max(self.run.duration);
        self.run_until(last);
        // All calls are hung up and the link no longer loses messages: measure the time until both ends
        // agree.
        self.lossy = false;
        let standing: Vec<(usize, CallRef)> =
            (0..2).flat_map(|end| self.calls[end].keys().map(move |call| (end, *call))).collect();
        for (end, call) in standing {
            self.hang_up(end, call);
        }
        let from = self.now;
        let limit = from + 600_000_000;
        while self.now < limit && !self.agreed() {
            let next = self.now + 50_000;
            self.run_until(next);
        }
        self.result.agreed_after = self.now - from;
        let common = self.run.sizes[0].min(self.run.sizes[1]);
        for circuit in 0..common {
            let states = [self.ends[0].state(circuit), self.ends[1].state(circuit)];
            self.result.apart += u64::from(states != [Some(State::Idle); 2]);
        }
        let open = self.calls.iter().flat_map(BTreeMap::values).filter(|call| call.outcomes != 1).count();
        self.result.miscounted += open as u64;
    }

    fn agreed(&self) -> bool {
        let idle =
            |end: &Group| (0..end.settings().size).all(|circuit| end.state(circuit) == Some(State::Idle));
        self.ends.iter().all(idle) && self.links.iter().all(VecDeque::is_empty)
    }

    fn run_until(&mut self, end: Micros) {
        while let Some(Reverse((at, sequence))) =
            self.due.peek().copied().filter(|Reverse((at, _))| *at <= end)
        {
            self.due.pop();
            self.now = at;
            if let Some(event) = self.pending_events.remove(&sequence) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(end) => {
                if self.now >= self.run.duration {
                    return;
                }
                let ends: &[usize] = if self.run.in_step { &[0, 1] } else { &[end] };
                for end in ends {
                    self.new_call(*end);
                }
                let rate = self.run.load / self.run.length as f64;
                let gap = -self.rng.random::<f64>().max(1e-12).ln() / rate;
                self.schedule(self.now + gap as Micros, SimEvent::Arrival(end));
            }
            SimEvent::Deliver(to, id) => {
                let Some(place) = self.links[to].iter().position(|(known, _)| *known == id) else { return };
                let Some((_, packet)) = self.links[to].remove(place) else { return };
                let mut out = Vec::new();
                match packet {
                    Packet::Request(token, request) => {
                        self.ends[to].request(self.now, token, &request, &mut out)
                    }
                    Packet::Reply(token, reply) => self.ends[to].reply(self.now, token, &reply, &mut out),
                }
                self.perform(to, out);
            }
            SimEvent::HangUp(end, call) => self.hang_up(end, call),
            SimEvent::Again(end, call, away) => self.seize(end, call, away),
            SimEvent::Restart(end) => self.restart(end),
            SimEvent::Timer(end) => {
                if self.ends[end].due().is_some_and(|due| due <= self.now) {
                    let mut out = Vec::new();
                    self.ends[end].timeout(self.now, &mut out);
                    self.perform(end, out);
                }
            }
        }
    }

    fn schedule_timer(&mut self, end: usize) {
        if let Some(due) = self.ends[end].due() {
            self.schedule(due, SimEvent::Timer(end));
        }
    }

    fn new_call(&mut self, end: usize) {
        let call = self.next_call;
        self.next_call += 1;
        self.result.calls += 1;
        self.calls[end].insert(call, Call::default());
        self.seize(end, call, false);
    }

    fn seize(&mut self, end: usize, call: CallRef, away: bool) {
        if !self.calls[end].contains_key(&call) {
            return;
        }
        let mut out = Vec::new();
        match self.ends[end].seize(self.now, call, away, &mut out) {
            Some(circuit) => {
                if let Some(call) = self.calls[end].get_mut(&call) {
                    call.circuit = Some(circuit);
                }
            }
            None => {
                self.result.full += 1;
                self.outcome(end, call);
                self.calls[end].remove(&call);
            }
        }
        self.perform(end, out);
    }

    fn outcome(&mut self, end: usize, call: CallRef) {
        if let Some(call) = self.calls[end].get_mut(&call) {
            call.outcomes += 1;
            self.result.miscounted += u64::from(call.outcomes > 1);
        }
    }

    fn hang_up(&mut self, end: usize, call: CallRef) {
        let Some(known) = self.calls[end].get(&call) else { return };
        let (circuit, stands) = (known.circuit, known.stands);
        if !stands {
            self.outcome(end, call); // The call was given up during set-up.
            self.result.lost_otherwise += 1;
        }
        self.calls[end].remove(&call);
        let mut out = Vec::new();
        if let Some(circuit) = circuit {
            let holds = match self.ends[end].state(circuit) {
                Some(State::Outgoing(held) | State::Seizing(held)) => held == call,
                _ => false,
            };
            if holds {
                self.ends[end].release(self.now, circuit, &mut out);
            }
        }
        self.perform(end, out);
    }

    fn restart(&mut self, end: usize) {
        self.restart_count += 1;
        self.ends[end] = group(&self.run, end, self.now, self.run.seed ^ (self.restart_count << 32));
        // The end's own calls are lost; their callers try again elsewhere.
        self.calls[end].clear();
        let mut out = Vec::new();
        if self.run.resets_after_restart {
            self.ends[end].restart(self.now, &mut out);
        }
        self.perform(end, out);
    }

    fn transmit(&mut self, from: usize, packet: Packet) {
        if self.lossy && self.rng.random::<f64>() < self.run.loss {
            return;
        }
        let to = 1 - from;
        let jitter = self.rng.random_range(0..=self.run.delay / 4);
        let arrives = (self.now + self.run.delay + jitter).max(self.last_arrival[to]);
        self.last_arrival[to] = arrives;
        self.sequence += 1;
        let id = self.sequence;
        self.links[to].push_back((id, packet));
        self.schedule(arrives, SimEvent::Deliver(to, id));
    }

    fn perform(&mut self, end: usize, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Send(token, request) => {
                    self.result.questions += u64::from(matches!(request, Request::Query(_)));
                    self.transmit(end, Packet::Request(token, request));
                }
                Event::Reply(token, reply) => self.transmit(end, Packet::Reply(token, reply)),
                Event::Offered(circuit, _) => {
                    let mut out = Vec::new();
                    self.ends[end].accept(circuit, &mut out);
                    self.check_not_shared(circuit);
                    self.perform(end, out);
                }
                Event::Stands(circuit, call) => {
                    self.outcome(end, call);
                    self.result.stood += 1;
                    let length =
                        (-self.rng.random::<f64>().max(1e-12).ln() * self.run.length as f64) as Micros;
                    if let Some(known) = self.calls[end].get_mut(&call) {
                        (known.stands, known.ends) = (true, self.now + length);
                    }
                    self.check_not_shared(circuit);
                    self.schedule(self.now + length, SimEvent::HangUp(end, call));
                }
                Event::Yielded(_, call) => self.retry_after_yield(end, call),
                Event::Refused(_, call, _) => {
                    // Another circuit may accept the call. If every circuit refuses, none is left to select.
                    if let Some(known) = self.calls[end].get_mut(&call) {
                        known.circuit = None;
                    }
                    self.schedule(self.now + 1_000, SimEvent::Again(end, call, false));
                }
                Event::Lost(_, call) => self.count_lost(end, call),
                Event::Ended(_, call, true) | Event::Cut(_, call, true) => {
                    let stands = self.calls[end].get(&call).is_some_and(|known| known.stands);
                    if stands {
                        self.calls[end].remove(&call);
                    } else {
                        self.count_lost(end, call);
                    }
                }
                Event::Ended(..) | Event::Cut(..) => {}
                Event::Dispute(_) => self.result.disputes += 1,
                Event::Mended(..) => self.result.mended += 1,
            }
        }
        self.schedule_timer(end);
    }

    fn count_lost(&mut self, end: usize, call: CallRef) {
        if self.calls[end].contains_key(&call) {
            self.outcome(end, call);
            self.calls[end].remove(&call);
            self.result.lost_otherwise += 1;
        }
    }

    fn retry_after_yield(&mut self, end: usize, call: CallRef) {
        self.result.yields += 1;
        let Some(known) = self.calls[end].get_mut(&call) else { return };
        known.circuit = None;
        known.yields += 1;
        match after_yield(known.yields, 1_000_000, self.run.repeats, &mut self.rng) {
            Next::Again => self.schedule(self.now, SimEvent::Again(end, call, false)),
            Next::Away(wait) => self.schedule(self.now + wait, SimEvent::Again(end, call, true)),
            Next::GiveUp => {
                self.outcome(end, call);
                self.calls[end].remove(&call);
                self.result.lost_to_glare += 1;
            }
        }
    }

    /// Counts a circuit that carries two calls at once.
    fn check_not_shared(&mut self, circuit: CircuitId) {
        let states = [self.ends[0].state(circuit), self.ends[1].state(circuit)];
        let shared = match states {
            [Some(State::Outgoing(_)), Some(State::Outgoing(_))] => true,
            [Some(State::Outgoing(a)), Some(State::Incoming(b))]
            | [Some(State::Incoming(b)), Some(State::Outgoing(a))] => a != b,
            _ => false,
        };
        self.result.shared += u64::from(shared);
    }
}
