//! A simulation of the ramp of cold servers: controllers of access nodes before simulated servers, on a
//! virtual clock and without sockets. The same seed gives the same run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use lemoncleat::{
    Action, Availability, Call, CallId, Class, Controller, Event, Member, Micros, Outcome, Reason, Report,
    ServerId, ServerListUpdate, Settings,
};

/// A millisecond.
const MS: Micros = 1_000;
/// A second.
const S: Micros = 1_000_000;
/// Processor work of a repeated set-up, and of a refusal, in set-ups.
const REPEAT_WORK: f64 = 0.4;
const REFUSAL_WORK: f64 = 0.2;
/// Mean length of a call.
const CALL_LENGTH: Micros = 8 * S;
/// Round trip to a server.
const ROUND_TRIP: Micros = 4 * MS;

/// Which servers start cold, and which nodes restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdStart {
    /// One server of five starts cold.
    One,
    /// Three of five start cold in the same second.
    Several,
    /// Three of five start cold, and a third of the nodes restart during the ramp.
    Third,
    /// Three of five start cold, and seven in ten of the nodes restart together.
    Seven,
    /// All nodes start together with three cold servers, before two warm ones.
    Fresh,
    /// All nodes start together with five cold servers.
    Bare,
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub nodes: u32,
    pub cold_start: ColdStart,
    /// Whether servers report their lines.
    pub lines: bool,
    /// Set-ups per second that a warm server handles.
    pub rate: f64,
    /// Traffic as a share of the capacity of all servers when warm.
    pub load: f64,
    /// Whether a tenth of the nodes, but at least one, get 5 to 8 times the mean traffic.
    pub skewed: bool,
    /// Simulated time before the cold start.
    pub warm_up: Micros,
    pub cold_from: f64,
    pub cold_span: Micros,
    pub fall_multiple: f64,
    pub fall_span: Micros,
    pub seed: u64,
}

/// The result of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RampResult {
    /// The highest ratio of the work sent to a cold server in a window to the limit, which is the budget plus
    /// the excess that random variation explains.
    pub worst_ratio: f64,
    /// The work sent in that window, and its budget N.
    pub sent: f64,
    pub budget: f64,
    /// The number of set-ups in it, without repeats, and its time after the cold start.
    pub set_ups: f64,
    pub age: Micros,
    /// Share of the worth offered during the ramp that was established in time.
    pub served: f64,
}

/// A SplitMix64 generator.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ 0x5851_f42d_4c95_7f2d)
    }

    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// Returns a number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.share()
    }

    fn interval(&mut self, a_second: f64) -> Micros {
        (-(1.0 - self.share()).ln() * 1e6 / a_second) as Micros + 1
    }

    pub fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[(self.bits() % from.len() as u64) as usize]
    }
}

impl Scenario {
    /// A scenario with these properties and all others drawn at random from the seed.
    pub fn random(nodes: u32, cold_start: ColdStart, lines: bool, seed: u64) -> Scenario {
        let form = u64::from(nodes) << 8 | (cold_start as u64) << 1 | u64::from(lines);
        let mut random = Random::new(seed << 32 | form);
        let (cold_from, cold_span, fall_span) =
            random.pick(&[(0.3, 12 * S, S), (0.3, 12 * S, 2 * S), (0.15, 20 * S, 250 * MS)]);
        // Large servers are rare, in overload even more so: their budgets are large and their runs take long.
        let rate = random.pick(&[5.0, 5.0, 5.0, 5.0, 5.0, 30.0, 30.0, 30.0, 30.0, 300.0]);
        let load = if random.share() < 0.35 { 1.5_f64.min(1.1 + 12.0 / rate) } else { 0.7 };
        let long = random.share() < 0.25;
        let warm_up = if long { (10_000.0_f64 / (5.0 * rate * load)).clamp(10.0, 120.0) } else { 10.0 };
        Scenario {
            nodes,
            cold_start,
            lines,
            rate,
            load,
            skewed: random.share() < 0.5,
            warm_up: (warm_up * 1e6) as Micros,
            cold_from,
            cold_span,
            fall_multiple: random.pick(&[3.0, 4.0]),
            fall_span,
            seed,
        }
    }

    fn settings(&self, own_number: u32) -> Settings {
        let class = |aim, worth| Class {
            aim,
            deadline: 9 * S,
            worth,
            late_worth: 0.2,
            length: CALL_LENGTH,
            ..Class::default()
        };
        Settings {
            classes: vec![class(1_500 * MS, 1.0), class(S, 8.0)],
            balancers: self.nodes,
            own_number,
            repeat: 400 * MS,
            release: 300 * MS,
            tells_wait: true,
            max_attempts: 4,
            may_cancel: true,
            cold_from: self.cold_from,
            cold_span: self.cold_span,
            fall_multiple: self.fall_multiple,
            fall_span: self.fall_span,
            ..Settings::default()
        }
    }

    /// Runs the scenario.
    pub fn run(&self) -> RampResult {
        Simulation::new(self).run()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    NewCall { node: usize },
    Redial { node: usize, class: usize },
    Timer { node: usize, incarnation: u32, token: u64 },
    Arrival { call: u64, attempt: u32, server: usize },
    Answer { call: u64, attempt: u32, server: usize, how: u8, wait: Micros },
    Timeout { call: u64, attempt: u32, server: usize },
    HangUp { server: usize, start: Micros },
    Reports,
    Report { server: usize, busy: u32, wait: Micros },
    Removed { node: usize },
    Listed { node: usize },
    Start,
    Restart { node: usize },
}

struct Server {
    started: Option<Micros>,
    up: bool,
    free_at: Micros,
    busy: u32,
    lines: u32,
    /// Time and work of each set-up and repeat.
    sends: Vec<(Micros, f64)>,
}

struct Node {
    controller: Controller,
    incarnation: u32,
    /// Whether the node has been informed of the cold start.
    informed: bool,
    weight: f64,
}

#[derive(Clone, Copy)]
struct Caller {
    node: usize,
    incarnation: u32,
    class: usize,
    arrived: Micros,
    sent: Micros,
    attempts: u32,
    /// The server of its current attempt.
    current_server: Option<usize>,
    redialled: bool,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    random: Random,
    now: Micros,
    start: Micros,
    end: Micros,
    cold: usize,
    servers: Vec<Server>,
    nodes: Vec<Node>,
    calls: BTreeMap<u64, Caller>,
    next: u64,
    turn: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    offered: f64,
    served: f64,
}

const SERVERS: usize = 5;

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut random = Random::new(scenario.seed ^ 0xffff_0000);
        let fresh = matches!(scenario.cold_start, ColdStart::Fresh | ColdStart::Bare);
        let start = 100 * S + if fresh { 0 } else { scenario.warm_up };
        let cold = match scenario.cold_start {
            ColdStart::One => 1,
            ColdStart::Bare => SERVERS,
            _ => 3,
        };
        let lines = (scenario.rate * CALL_LENGTH as f64 / 1e6 * 1.8).ceil() as u32;
        let server = |_| Server { started: None, up: true, free_at: 0, busy: 0, lines, sends: Vec::new() };
        let heavy = (scenario.nodes as usize).div_ceil(10);
        let light = scenario.nodes as usize - heavy;
        let mut weights: Vec<f64> = (0..scenario.nodes)
            .map(|node| match scenario.skewed {
                true if (node as usize) < heavy => random.between(5.0, 8.0),
                _ => 1.0,
            })
            .collect();
        if scenario.skewed {
            // The heavy nodes get that multiple of the mean, as far as the other nodes leave enough traffic.
            let most: f64 = weights[..heavy].iter().sum();
            let rest = (scenario.nodes as f64 - most).max(0.1 * scenario.nodes as f64);
            weights[heavy..].iter_mut().for_each(|weight| *weight = rest / light.max(1) as f64);
        }
        let sum: f64 = weights.iter().sum();
        let nodes = (0..scenario.nodes)
            .map(|number| Node {
                controller: Controller::new(scenario.settings(number), random.bits())
                    .expect("usable settings"),
                incarnation: 0,
                informed: fresh,
                weight: weights[number as usize] / sum,
            })
            .collect();
        let mut simulation = Simulation {
            scenario,
            random,
            now: 0,
            start,
            end: start + scenario.cold_span,
            cold,
            servers: (0..SERVERS).map(server).collect(),
            nodes,
            calls: BTreeMap::new(),
            next: 0,
            turn: 0,
            queue: BinaryHeap::new(),
            offered: 0.0,
            served: 0.0,
        };
        simulation.prepare(fresh);
        simulation
    }

    fn prepare(&mut self, fresh: bool) {
        let (start, span) = (self.start, self.scenario.cold_span);
        self.now = 100 * S;
        for node in 0..self.nodes.len() {
            let first = self.arrival(node);
            self.at(self.now + first, SimEvent::NewCall { node });
            if fresh {
                let late = (self.random.between(0.0, 4.0) * 1e6) as Micros;
                self.at(start + late, SimEvent::Listed { node });
                continue;
            }
            let late = (self.random.between(0.5, 4.0) * 1e6) as Micros;
            self.at(start - 2 * S, SimEvent::Removed { node });
            self.at(start + late, SimEvent::Listed { node });
            let share = match self.scenario.cold_start {
                ColdStart::Third => 1.0 / 3.0,
                ColdStart::Seven => 0.7,
                _ => 0.0,
            };
            if self.random.share() < share {
                let spread = if self.scenario.cold_start == ColdStart::Third {
                    0.5 * self.random.share()
                } else {
                    0.0
                };
                let late = ((0.35 + spread) * span as f64) as Micros + (self.random.share() * 1e6) as Micros;
                self.at(start + late, SimEvent::Restart { node });
            }
        }
        self.at(start, SimEvent::Start);
        self.at(self.now, SimEvent::Reports);
        if !fresh {
            for node in 0..self.nodes.len() {
                self.send_list(node);
            }
        }
    }

    fn at(&mut self, at: Micros, event: SimEvent) {
        self.turn += 1;
        self.queue.push(Reverse((at, self.turn, event)));
    }

    fn arrival(&mut self, node: usize) -> Micros {
        let all = self.scenario.rate * SERVERS as f64 * self.scenario.load;
        let mine = all * self.nodes[node].weight;
        self.random.interval(mine)
    }

    fn run(mut self) -> RampResult {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            self.event(event);
        }
        self.evaluate()
    }

    fn warmth(&self, server: usize, at: Micros) -> f64 {
        let Some(started) = self.servers[server].started else { return 1.0 };
        let age = ((at - started).max(0) as f64 / self.scenario.cold_span as f64).min(1.0);
        self.scenario.cold_from + (1.0 - self.scenario.cold_from) * age
    }

    fn evaluate(&self) -> RampResult {
        let mut result = RampResult { served: self.served / self.offered.max(1.0), ..RampResult::default() };
        let span = self.scenario.fall_span;
        for server in 0..self.cold {
            let mut sends = self.servers[server].sends.clone();
            sends.sort_by_key(|&(at, _)| at);
            let (mut first, mut count, mut set_ups) = (0, 0.0, 0.0);
            for &(at, work) in &sends {
                let whole_set_up = |work: f64| if work < 1.0 { 0.0 } else { 1.0 };
                (count, set_ups) = (count + work, set_ups + whole_set_up(work));
                while sends[first].0 <= at - span {
                    (count, set_ups) = (count - sends[first].1, set_ups - whole_set_up(sends[first].1));
                    first += 1;
                }
                let capacity = self.scenario.rate * self.warmth(server, (at - span).max(self.start));
                let budget = self.scenario.fall_multiple * capacity * span as f64 / 1e6;
                let ratio = count / (budget + 2.0 * budget.sqrt() + 2.0);
                if ratio > result.worst_ratio {
                    result = RampResult {
                        worst_ratio: ratio,
                        sent: count,
                        set_ups,
                        budget,
                        age: at - self.start,
                        ..result
                    };
                }
            }
        }
        result
    }

    fn event(&mut self, event: SimEvent) {
        match event {
            SimEvent::NewCall { node } => {
                let interval = self.arrival(node);
                self.at(self.now + interval, SimEvent::NewCall { node });
                let class = usize::from(self.random.share() < 0.2);
                self.call(node, class, false);
            }
            SimEvent::Redial { node, class } => self.call(node, class, true),
            SimEvent::Timer { node, incarnation, token } => {
                if self.nodes[node].incarnation == incarnation {
                    self.deliver(node, Event::Timer(token));
                }
            }
            SimEvent::Arrival { call, attempt, server } => self.set_up_arrives(call, attempt, server),
            SimEvent::Answer { call, attempt, server, how, wait } => {
                self.answer(call, attempt, server, how, wait)
            }
            SimEvent::Timeout { call, attempt, server } => {
                self.attempt_failed(call, attempt, server, Outcome::TimedOut, Reason::None);
            }
            SimEvent::HangUp { server, start } => {
                let one = &mut self.servers[server];
                if one.started.unwrap_or(0) == start {
                    one.busy -= 1;
                }
            }
            SimEvent::Reports => {
                self.at(self.now + 500 * MS, SimEvent::Reports);
                for server in 0..SERVERS {
                    let one = &self.servers[server];
                    if one.up {
                        let event = SimEvent::Report {
                            server,
                            busy: one.busy,
                            wait: (one.free_at - self.now).max(0),
                        };
                        self.at(self.now + 200 * MS, event);
                    }
                }
            }
            SimEvent::Report { server, busy, wait } => {
                let lines = f64::from(self.servers[server].lines);
                let mut report = Report { wait: Some(wait), ..Report::default() };
                if self.scenario.lines {
                    report.free = Some(lines - f64::from(busy));
                    report.lines = Some(lines);
                }
                for node in 0..self.nodes.len() {
                    // A server has no connection to a node that does not know it yet.
                    if server < self.cold && !self.nodes[node].informed && self.now >= self.start - 2 * S {
                        continue;
                    }
                    let (server, outcome) = (ServerId(server as u32), Outcome::Ok);
                    self.deliver(node, Event::Probed { server, outcome, lag: 0, report });
                }
            }
            SimEvent::Removed { node } => {
                let gone = (0..self.cold).map(|one| self.member(one, Availability::Gone)).collect();
                self.deliver(node, Event::Members(ServerListUpdate::Changes(gone)));
            }
            SimEvent::Start => {
                for server in 0..self.cold {
                    let one = &mut self.servers[server];
                    one.started = Some(self.now);
                    (one.up, one.free_at, one.busy) = (true, self.now, 0);
                    one.sends.clear();
                }
            }
            SimEvent::Listed { node } => {
                self.nodes[node].informed = true;
                self.send_list(node);
            }
            SimEvent::Restart { node } => {
                let settings = self.scenario.settings(node as u32);
                let seed = self.random.bits();
                let one = &mut self.nodes[node];
                one.controller = Controller::new(settings, seed).expect("usable settings");
                one.incarnation += 1;
                one.informed = true;
                self.send_list(node);
            }
        }
    }

    fn member(&self, server: usize, availability: Availability) -> Member {
        let started_at = self.servers[server].started;
        let place = server as i64;
        Member { server: ServerId(server as u32), availability, started_at, place, zone: 0, kind: 0 }
    }

    fn send_list(&mut self, node: usize) {
        let all = (0..SERVERS).map(|one| self.member(one, Availability::Ready)).collect();
        self.deliver(node, Event::Members(ServerListUpdate::Complete(all)));
    }

    fn call(&mut self, node: usize, class: usize, redialled: bool) {
        self.next += 1;
        let id = self.next;
        let incarnation = self.nodes[node].incarnation;
        let arrived = self.now;
        let caller = Caller {
            node,
            incarnation,
            class,
            arrived,
            sent: 0,
            attempts: 0,
            current_server: None,
            redialled,
        };
        self.calls.insert(id, caller);
        if arrived >= self.start && !redialled {
            self.offered += [1.0, 8.0][class];
        }
        let destination = (self.random.bits() % SERVERS as u64) as i64;
        let call =
            Call { id: CallId(id), class, patience: 3 * S, width: 1.0, destination, ..Call::default() };
        self.deliver(node, Event::Call(call));
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].controller.handle(self.now, event, &mut actions);
        let incarnation = self.nodes[node].incarnation;
        for action in actions {
            match action {
                Action::Send { call, server, timeout } => {
                    let server = server.0 as usize;
                    let Some(caller) = self.calls.get_mut(&call.0) else { continue };
                    caller.sent = self.now;
                    caller.attempts += 1;
                    caller.current_server = Some(server);
                    let attempt = caller.attempts - 1;
                    let left = caller.arrived + 3 * S - self.now;
                    let expires_after = if timeout > 0 { timeout.min(left) } else { left };
                    self.at(self.now + ROUND_TRIP / 2, SimEvent::Arrival { call: call.0, attempt, server });
                    self.at(
                        self.now + expires_after.max(1),
                        SimEvent::Timeout { call: call.0, attempt, server },
                    );
                }
                Action::Refuse { call, .. } | Action::Fail(call) => {
                    let Some(caller) = self.calls.remove(&call.0) else { continue };
                    let (class, again) = (caller.class, !caller.redialled);
                    if again && self.random.share() < 0.5 {
                        let pause = (self.random.between(0.5, 1.5) * 1e6) as Micros;
                        self.at(self.now + pause, SimEvent::Redial { node, class });
                    }
                }
                Action::Cancel { call, attempt } => {
                    let Some(server) = self.calls.get(&call.0).and_then(|caller| caller.current_server)
                    else {
                        continue;
                    };
                    let event = SimEvent::Answer { call: call.0, attempt, server, how: 3, wait: 0 };
                    self.at(self.now + 1, event);
                }
                Action::Timer { token, delay } => {
                    self.at(self.now + delay, SimEvent::Timer { node, incarnation, token });
                }
                _ => {}
            }
        }
    }

    fn set_up_arrives(&mut self, call: u64, attempt: u32, server: usize) {
        let (warmth, now) = (self.warmth(server, self.now), self.now);
        let unit = 1e6 / (self.scenario.rate * warmth);
        let one = &mut self.servers[server];
        let wait = (one.free_at - now).max(0);
        if now >= self.start {
            one.sends.push((now, 1.0));
        }
        let (how, reply) = if one.busy >= one.lines {
            one.free_at = one.free_at.max(now) + (REFUSAL_WORK * unit) as Micros;
            (1, now + ROUND_TRIP / 2)
        } else if wait > 3 * S {
            one.free_at += (REFUSAL_WORK * unit) as Micros;
            (2, now + ROUND_TRIP / 2)
        } else {
            one.free_at = one.free_at.max(now) + unit as Micros;
            one.busy += 1;
            let (mut again, mut interval) = (now + 400 * MS, 400 * MS);
            let done = one.free_at;
            while again < done {
                // A waiting set-up is sent again, and each repeat causes work.
                if now >= self.start {
                    one.sends.push((again, REPEAT_WORK));
                }
                one.free_at += (REPEAT_WORK * unit) as Micros;
                interval *= 2;
                again += interval;
            }
            let start = one.started.unwrap_or(0);
            let ends = done + self.random.interval(1e6 / CALL_LENGTH as f64);
            self.at(ends, SimEvent::HangUp { server, start });
            (0, done + ROUND_TRIP / 2)
        };
        self.at(reply, SimEvent::Answer { call, attempt, server, how, wait });
    }

    fn answer(&mut self, call: u64, attempt: u32, server: usize, how: u8, wait: Micros) {
        if how != 0 {
            let (outcome, reason) = match how {
                1 => (Outcome::Full, Reason::NoCircuit),
                2 => (Outcome::Full, Reason::ProcessorFull { wait }),
                _ => (Outcome::Cancelled, Reason::None),
            };
            return self.attempt_failed(call, attempt, server, outcome, reason);
        }
        let Some(caller) = self.ended(call, attempt) else { return };
        self.calls.remove(&call);
        let lag = self.now - caller.sent;
        if caller.arrived >= self.start && !caller.redialled {
            let aim = [1_500 * MS, S][caller.class];
            let worth = [1.0, 8.0][caller.class];
            self.served += if self.now - caller.arrived <= aim { worth } else { 0.0 };
        }
        let server = ServerId(server as u32);
        self.deliver(caller.node, Event::Started { call: CallId(call), attempt, server, lag });
    }

    fn attempt_failed(&mut self, call: u64, attempt: u32, server: usize, outcome: Outcome, reason: Reason) {
        let Some(caller) = self.ended(call, attempt) else { return };
        let event = Event::Ended {
            call: CallId(call),
            attempt,
            server: ServerId(server as u32),
            outcome,
            lag: self.now - caller.sent,
            closed: false,
            reason,
            report: Report::default(),
        };
        self.deliver(caller.node, event);
    }

    /// Returns the caller of this attempt, if the attempt is current and the node has not restarted.
    fn ended(&mut self, call: u64, attempt: u32) -> Option<Caller> {
        let caller = self.calls.get_mut(&call)?;
        let same_incarnation = self.nodes[caller.node].incarnation == caller.incarnation;
        if caller.attempts != attempt + 1 || caller.current_server.take().is_none() || !same_incarnation {
            return None;
        }
        Some(*caller)
    }
}
