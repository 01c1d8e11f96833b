//! A small world for the ramp of cold servers: nodes with their controllers before simulated servers, on a
//! clock of its own. No sockets; the same seed plays the same day.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use lemoncleat::{
    Action, Availability, Call, CallId, Class, Controller, Event, Member, MemberNews, Micros, Outcome,
    Reason, Report, ServerId, Settings,
};

/// A millisecond.
const MS: Micros = 1_000;
/// A second.
const S: Micros = 1_000_000;
/// Work of a repeat that waits at a processor, and of a refusal, in set-ups.
const REPEAT: f64 = 0.4;
const REFUSAL: f64 = 0.2;
/// Mean length of a call.
const LENGTH: Micros = 8 * S;
/// Way to a server and back.
const WAY: Micros = 4 * MS;

/// What happens on a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// One server of five starts cold.
    One,
    /// Three of five start cold in the same second.
    Several,
    /// The same, and a third of the nodes restart during the ramp.
    Third,
    /// The same with seven in ten of the nodes, at once.
    Seven,
    /// All nodes start before three cold servers and two warm ones.
    Fresh,
    /// All nodes start before cold servers alone.
    Bare,
}

/// One day.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    pub nodes: u32,
    pub trouble: Trouble,
    /// Whether servers tell of their lines.
    pub lines: bool,
    /// Set-ups a second of a warm server.
    pub rate: f64,
    /// Traffic as a share of what all warm servers take.
    pub load: f64,
    /// A tenth of the nodes, one at least, see 5 to 8 times the mean.
    pub skewed: bool,
    /// Time before the cold start.
    pub before: Micros,
    pub cold_from: f64,
    pub cold_span: Micros,
    pub fall_multiple: f64,
    pub fall_span: Micros,
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Verdict {
    /// Most that a cold server was sent in a window, against what chance may make of the budget.
    pub worst: f64,
    /// That most, and the budget N of its window.
    pub sent: f64,
    pub budget: f64,
    /// Set-ups in it, without repeats, and when it was after the start.
    pub plain: f64,
    pub age: Micros,
    /// Share of the worth of the ramp's calls that stood in time.
    pub served: f64,
}

/// SplitMix64.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Draw(seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ 0x5851_f42d_4c95_7f2d)
    }

    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// From 0 to 1.
    pub fn share(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.share()
    }

    fn gap(&mut self, a_second: f64) -> Micros {
        (-(1.0 - self.share()).ln() * 1e6 / a_second) as Micros + 1
    }

    pub fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[(self.bits() % from.len() as u64) as usize]
    }
}

impl Day {
    /// A day of this form with everything else drawn from the seed.
    pub fn draw(nodes: u32, trouble: Trouble, lines: bool, seed: u64) -> Day {
        let form = u64::from(nodes) << 8 | (trouble as u64) << 1 | u64::from(lines);
        let mut draw = Draw::new(seed << 32 | form);
        let (cold_from, cold_span, fall_span) =
            draw.pick(&[(0.3, 12 * S, S), (0.3, 12 * S, 2 * S), (0.15, 20 * S, 250 * MS)]);
        // Large servers are few, and in overload fewer still: budgets there are large, days long to play.
        let rate = draw.pick(&[5.0, 5.0, 5.0, 5.0, 5.0, 30.0, 30.0, 30.0, 30.0, 300.0]);
        let load = if draw.share() < 0.35 { 1.5_f64.min(1.1 + 12.0 / rate) } else { 0.7 };
        let long = draw.share() < 0.25;
        let before = if long { (10_000.0_f64 / (5.0 * rate * load)).clamp(10.0, 120.0) } else { 10.0 };
        Day {
            nodes,
            trouble,
            lines,
            rate,
            load,
            skewed: draw.share() < 0.5,
            before: (before * 1e6) as Micros,
            cold_from,
            cold_span,
            fall_multiple: draw.pick(&[3.0, 4.0]),
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
            length: LENGTH,
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

    /// Plays the day.
    pub fn play(&self) -> Verdict {
        World::new(self).play()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive { node: usize },
    Redial { node: usize, class: usize },
    Timer { node: usize, life: u32, token: u64 },
    Reach { call: u64, attempt: u32, server: usize },
    Answer { call: u64, attempt: u32, server: usize, how: u8, wait: Micros },
    TimeOut { call: u64, attempt: u32, server: usize },
    Hang { server: usize, start: Micros },
    Reports,
    Told { server: usize, busy: u32, wait: Micros },
    Gone { node: usize },
    Cold { node: usize },
    Start,
    Restart { node: usize },
}

struct Server {
    started: Option<Micros>,
    up: bool,
    free_at: Micros,
    busy: u32,
    lines: u32,
    /// Set-ups, and repeats with their share of work.
    sends: Vec<(Micros, f64)>,
}

struct Node {
    controller: Controller,
    life: u32,
    /// Told of the cold start.
    told: bool,
    weight: f64,
}

#[derive(Clone, Copy)]
struct Caller {
    node: usize,
    life: u32,
    class: usize,
    arrived: Micros,
    sent: Micros,
    attempts: u32,
    /// Where its attempt is out.
    out: Option<usize>,
    redialled: bool,
}

struct World<'a> {
    day: &'a Day,
    draw: Draw,
    now: Micros,
    start: Micros,
    end: Micros,
    cold: usize,
    servers: Vec<Server>,
    nodes: Vec<Node>,
    calls: BTreeMap<u64, Caller>,
    next: u64,
    turn: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, What)>>,
    offered: f64,
    served: f64,
}

const SERVERS: usize = 5;

impl<'a> World<'a> {
    fn new(day: &'a Day) -> Self {
        let mut draw = Draw::new(day.seed ^ 0xffff_0000);
        let fresh = matches!(day.trouble, Trouble::Fresh | Trouble::Bare);
        let start = 100 * S + if fresh { 0 } else { day.before };
        let cold = match day.trouble {
            Trouble::One => 1,
            Trouble::Bare => SERVERS,
            _ => 3,
        };
        let lines = (day.rate * LENGTH as f64 / 1e6 * 1.8).ceil() as u32;
        let server = |_| Server { started: None, up: true, free_at: 0, busy: 0, lines, sends: Vec::new() };
        let heavy = (day.nodes as usize).div_ceil(10);
        let light = day.nodes as usize - heavy;
        let mut weights: Vec<f64> = (0..day.nodes)
            .map(|node| match day.skewed {
                true if (node as usize) < heavy => draw.between(5.0, 8.0),
                _ => 1.0,
            })
            .collect();
        if day.skewed {
            // The heavy ones see that many times the mean, as far as there are others to be the mean of.
            let most: f64 = weights[..heavy].iter().sum();
            let rest = (day.nodes as f64 - most).max(0.1 * day.nodes as f64);
            weights[heavy..].iter_mut().for_each(|weight| *weight = rest / light.max(1) as f64);
        }
        let sum: f64 = weights.iter().sum();
        let nodes = (0..day.nodes)
            .map(|number| Node {
                controller: Controller::new(day.settings(number), draw.bits()).expect("usable settings"),
                life: 0,
                told: fresh,
                weight: weights[number as usize] / sum,
            })
            .collect();
        let mut world = World {
            day,
            draw,
            now: 0,
            start,
            end: start + day.cold_span,
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
        world.prepare(fresh);
        world
    }

    fn prepare(&mut self, fresh: bool) {
        let (start, span) = (self.start, self.day.cold_span);
        self.now = 100 * S;
        for node in 0..self.nodes.len() {
            let first = self.arrival(node);
            self.at(self.now + first, What::Arrive { node });
            if fresh {
                let late = (self.draw.between(0.0, 4.0) * 1e6) as Micros;
                self.at(start + late, What::Cold { node });
                continue;
            }
            let late = (self.draw.between(0.5, 4.0) * 1e6) as Micros;
            self.at(start - 2 * S, What::Gone { node });
            self.at(start + late, What::Cold { node });
            let share = match self.day.trouble {
                Trouble::Third => 1.0 / 3.0,
                Trouble::Seven => 0.7,
                _ => 0.0,
            };
            if self.draw.share() < share {
                let spread = if self.day.trouble == Trouble::Third { 0.5 * self.draw.share() } else { 0.0 };
                let late = ((0.35 + spread) * span as f64) as Micros + (self.draw.share() * 1e6) as Micros;
                self.at(start + late, What::Restart { node });
            }
        }
        self.at(start, What::Start);
        self.at(self.now, What::Reports);
        if !fresh {
            for node in 0..self.nodes.len() {
                self.list(node);
            }
        }
    }

    fn at(&mut self, at: Micros, what: What) {
        self.turn += 1;
        self.queue.push(Reverse((at, self.turn, what)));
    }

    fn arrival(&mut self, node: usize) -> Micros {
        let all = self.day.rate * SERVERS as f64 * self.day.load;
        let mine = all * self.nodes[node].weight;
        self.draw.gap(mine)
    }

    fn play(mut self) -> Verdict {
        while let Some(Reverse((at, _, what))) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            self.event(what);
        }
        self.judge()
    }

    fn warmth(&self, server: usize, at: Micros) -> f64 {
        let Some(started) = self.servers[server].started else { return 1.0 };
        let age = ((at - started).max(0) as f64 / self.day.cold_span as f64).min(1.0);
        self.day.cold_from + (1.0 - self.day.cold_from) * age
    }

    fn judge(&self) -> Verdict {
        let mut verdict = Verdict { served: self.served / self.offered.max(1.0), ..Verdict::default() };
        let span = self.day.fall_span;
        for server in 0..self.cold {
            let mut sends = self.servers[server].sends.clone();
            sends.sort_by_key(|&(at, _)| at);
            let (mut first, mut count, mut plain) = (0, 0.0, 0.0);
            for &(at, work) in &sends {
                let set_ups = |work: f64| if work < 1.0 { 0.0 } else { 1.0 };
                (count, plain) = (count + work, plain + set_ups(work));
                while sends[first].0 <= at - span {
                    (count, plain) = (count - sends[first].1, plain - set_ups(sends[first].1));
                    first += 1;
                }
                let capacity = self.day.rate * self.warmth(server, (at - span).max(self.start));
                let budget = self.day.fall_multiple * capacity * span as f64 / 1e6;
                let ratio = count / (budget + 2.0 * budget.sqrt() + 2.0);
                if ratio > verdict.worst {
                    verdict =
                        Verdict { worst: ratio, sent: count, plain, budget, age: at - self.start, ..verdict };
                }
            }
        }
        verdict
    }

    fn event(&mut self, what: What) {
        match what {
            What::Arrive { node } => {
                let gap = self.arrival(node);
                self.at(self.now + gap, What::Arrive { node });
                let class = usize::from(self.draw.share() < 0.2);
                self.call(node, class, false);
            }
            What::Redial { node, class } => self.call(node, class, true),
            What::Timer { node, life, token } => {
                if self.nodes[node].life == life {
                    self.tell(node, Event::Timer(token));
                }
            }
            What::Reach { call, attempt, server } => self.reach(call, attempt, server),
            What::Answer { call, attempt, server, how, wait } => {
                self.answer(call, attempt, server, how, wait)
            }
            What::TimeOut { call, attempt, server } => {
                self.over(call, attempt, server, Outcome::TimedOut, Reason::None);
            }
            What::Hang { server, start } => {
                let one = &mut self.servers[server];
                if one.started.unwrap_or(0) == start {
                    one.busy -= 1;
                }
            }
            What::Reports => {
                self.at(self.now + 500 * MS, What::Reports);
                for server in 0..SERVERS {
                    let one = &self.servers[server];
                    if one.up {
                        let told =
                            What::Told { server, busy: one.busy, wait: (one.free_at - self.now).max(0) };
                        self.at(self.now + 200 * MS, told);
                    }
                }
            }
            What::Told { server, busy, wait } => {
                let lines = f64::from(self.servers[server].lines);
                let mut report = Report { wait: Some(wait), ..Report::default() };
                if self.day.lines {
                    report.free = Some(lines - f64::from(busy));
                    report.lines = Some(lines);
                }
                for node in 0..self.nodes.len() {
                    // A server that a node has not been told of has no connection to it.
                    if server < self.cold && !self.nodes[node].told && self.now >= self.start - 2 * S {
                        continue;
                    }
                    let (server, outcome) = (ServerId(server as u32), Outcome::Ok);
                    self.tell(node, Event::Probed { server, outcome, lag: 0, report });
                }
            }
            What::Gone { node } => {
                let gone = (0..self.cold).map(|one| self.member(one, Availability::Gone)).collect();
                self.tell(node, Event::Members(MemberNews::Changes(gone)));
            }
            What::Start => {
                for server in 0..self.cold {
                    let one = &mut self.servers[server];
                    one.started = Some(self.now);
                    (one.up, one.free_at, one.busy) = (true, self.now, 0);
                    one.sends.clear();
                }
            }
            What::Cold { node } => {
                self.nodes[node].told = true;
                self.list(node);
            }
            What::Restart { node } => {
                let settings = self.day.settings(node as u32);
                let seed = self.draw.bits();
                let one = &mut self.nodes[node];
                one.controller = Controller::new(settings, seed).expect("usable settings");
                one.life += 1;
                one.told = true;
                self.list(node);
            }
        }
    }

    fn member(&self, server: usize, availability: Availability) -> Member {
        let started_at = self.servers[server].started;
        let place = server as i64;
        Member { server: ServerId(server as u32), availability, started_at, place, zone: 0, kind: 0 }
    }

    fn list(&mut self, node: usize) {
        let all = (0..SERVERS).map(|one| self.member(one, Availability::Ready)).collect();
        self.tell(node, Event::Members(MemberNews::Complete(all)));
    }

    fn call(&mut self, node: usize, class: usize, redialled: bool) {
        self.next += 1;
        let id = self.next;
        let life = self.nodes[node].life;
        let arrived = self.now;
        let fresh = Caller { node, life, class, arrived, sent: 0, attempts: 0, out: None, redialled };
        self.calls.insert(id, fresh);
        if arrived >= self.start && !redialled {
            self.offered += [1.0, 8.0][class];
        }
        let destination = (self.draw.bits() % SERVERS as u64) as i64;
        let call =
            Call { id: CallId(id), class, patience: 3 * S, width: 1.0, destination, ..Call::default() };
        self.tell(node, Event::Call(call));
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].controller.handle(self.now, event, &mut actions);
        let life = self.nodes[node].life;
        for action in actions {
            match action {
                Action::Send { call, server, timeout } => {
                    let server = server.0 as usize;
                    let Some(caller) = self.calls.get_mut(&call.0) else { continue };
                    caller.sent = self.now;
                    caller.attempts += 1;
                    caller.out = Some(server);
                    let attempt = caller.attempts - 1;
                    let left = caller.arrived + 3 * S - self.now;
                    let out = if timeout > 0 { timeout.min(left) } else { left };
                    self.at(self.now + WAY / 2, What::Reach { call: call.0, attempt, server });
                    self.at(self.now + out.max(1), What::TimeOut { call: call.0, attempt, server });
                }
                Action::Refuse { call, .. } | Action::Fail(call) => {
                    let Some(caller) = self.calls.remove(&call.0) else { continue };
                    let (class, again) = (caller.class, !caller.redialled);
                    if again && self.draw.share() < 0.5 {
                        let pause = (self.draw.between(0.5, 1.5) * 1e6) as Micros;
                        self.at(self.now + pause, What::Redial { node, class });
                    }
                }
                Action::Cancel { call, attempt } => {
                    let Some(server) = self.calls.get(&call.0).and_then(|caller| caller.out) else {
                        continue;
                    };
                    let what = What::Answer { call: call.0, attempt, server, how: 3, wait: 0 };
                    self.at(self.now + 1, what);
                }
                Action::Timer { token, delay } => {
                    self.at(self.now + delay, What::Timer { node, life, token });
                }
                _ => {}
            }
        }
    }

    fn reach(&mut self, call: u64, attempt: u32, server: usize) {
        let (warmth, now) = (self.warmth(server, self.now), self.now);
        let unit = 1e6 / (self.day.rate * warmth);
        let one = &mut self.servers[server];
        let wait = (one.free_at - now).max(0);
        if now >= self.start {
            one.sends.push((now, 1.0));
        }
        let (how, reply) = if one.busy >= one.lines {
            one.free_at = one.free_at.max(now) + (REFUSAL * unit) as Micros;
            (1, now + WAY / 2)
        } else if wait > 3 * S {
            one.free_at += (REFUSAL * unit) as Micros;
            (2, now + WAY / 2)
        } else {
            one.free_at = one.free_at.max(now) + unit as Micros;
            one.busy += 1;
            let (mut again, mut gap) = (now + 400 * MS, 400 * MS);
            let done = one.free_at;
            while again < done {
                // A set-up that waits is sent again, and each repeat is work.
                if now >= self.start {
                    one.sends.push((again, REPEAT));
                }
                one.free_at += (REPEAT * unit) as Micros;
                gap *= 2;
                again += gap;
            }
            let start = one.started.unwrap_or(0);
            let ends = done + self.draw.gap(1e6 / LENGTH as f64);
            self.at(ends, What::Hang { server, start });
            (0, done + WAY / 2)
        };
        self.at(reply, What::Answer { call, attempt, server, how, wait });
    }

    fn answer(&mut self, call: u64, attempt: u32, server: usize, how: u8, wait: Micros) {
        if how != 0 {
            let (outcome, reason) = match how {
                1 => (Outcome::Full, Reason::NoCircuit),
                2 => (Outcome::Full, Reason::ProcessorFull { wait }),
                _ => (Outcome::Cancelled, Reason::None),
            };
            return self.over(call, attempt, server, outcome, reason);
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
        self.tell(caller.node, Event::Started { call: CallId(call), attempt, server, lag });
    }

    fn over(&mut self, call: u64, attempt: u32, server: usize, outcome: Outcome, reason: Reason) {
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
        self.tell(caller.node, event);
    }

    /// The caller whose attempt ends with this, if it is out still and its node lives on.
    fn ended(&mut self, call: u64, attempt: u32) -> Option<Caller> {
        let caller = self.calls.get_mut(&call)?;
        let lives = self.nodes[caller.node].life == caller.life;
        if caller.attempts != attempt + 1 || caller.out.take().is_none() || !lives {
            return None;
        }
        Some(*caller)
    }
}
