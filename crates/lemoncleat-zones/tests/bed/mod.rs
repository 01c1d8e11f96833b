//! Simulates a fleet, its servers and the facts that its nodes exchange, in virtual time. Nodes choose
//! servers by a simple model.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};

use lemoncleat_zones::{Input, Micros, Outcome, Output, Phase, Server, Settings, Step, ZoneId, Zones};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const MS: Micros = 1000;
pub const S: Micros = 1_000_000;
const TICK_US: Micros = 25 * MS;
const TIMEOUT_US: Micros = S;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// All set-ups are lost.
    Silent,
    /// The zone's servers are down, and cold afterwards.
    Down,
    /// This share of set-ups is lost.
    Lossy(f64),
    /// The wait is longer by this factor.
    Slow(f64),
    /// Set-ups from the nodes of these zones are lost (one bit for each zone).
    Gray(u8),
    /// The zone alternates between failing and working, each for this long.
    Flapping(Micros),
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub nodes: u32,
    pub seed: u64,
    pub fleet: bool,
    pub log: bool,
    pub rate: f64,
    pub capacity: f64,
    pub servers: usize,
    pub zones: u16,
    pub loss: f64,
    pub until: Micros,
    pub failures: Vec<(Micros, Micros, u16, Failure)>,
    /// Zone, server, time of its stop, and time of its start.
    pub restarts: Vec<(u16, usize, Micros, Micros)>,
    /// Start, end and extent of interruptions of the exchange of facts.
    pub cuts: Vec<(Micros, Micros, Cut)>,
    /// Start, end, and factor applied to the call rate.
    pub surges: Vec<(Micros, Micros, f64)>,
    #[cfg(feature = "faults")]
    pub plant: lemoncleat_zones::Plant,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cut {
    Zone(u16),
    Node(u32),
    In(u32),
    Out(u32),
    /// Separates the nodes with lower ids from the others.
    Below(u32),
    All,
}

impl Scenario {
    pub fn new(nodes: u32, seed: u64) -> Scenario {
        Scenario {
            nodes,
            seed,
            fleet: true,
            log: true,
            rate: 270.0,
            capacity: 50.0,
            servers: 4,
            zones: 3,
            loss: 0.02,
            until: 20 * S,
            failures: Vec::new(),
            restarts: Vec::new(),
            cuts: Vec::new(),
            surges: Vec::new(),
            #[cfg(feature = "faults")]
            plant: Default::default(),
        }
    }

    pub fn failure(mut self, from: Micros, until: Micros, zone: u16, failure: Failure) -> Scenario {
        self.failures.push((from, until, zone, failure));
        self
    }
}

struct Host {
    capacity: f64,
    started: Micros,
    down_until: Micros,
    arrivals: VecDeque<Micros>,
}

#[derive(Clone, Default)]
struct Backoff {
    until: Micros,
    failures: u32,
}

pub struct Node {
    pub id: u32,
    pub home: u16,
    pub core: Option<Zones>,
    pub share: Vec<f64>,
    pub trials: Vec<u32>,
    backoff: Vec<Vec<Backoff>>,
    pub paused_until: Micros,
    pub cut: (bool, bool),
    pub cut_until: Micros,
    log_at: usize,
    pub steps: Vec<(Micros, Step)>,
    heard: BTreeMap<u32, Micros>,
}

enum Event {
    Fact { to: usize, origin: u32, made: Micros, bytes: Vec<u8> },
    Settle { node: usize, zone: u16, server: u16, outcome: Outcome, call: Call, retry: bool, sent: Micros },
}

#[derive(Clone, Copy)]
struct Call {
    worth: u32,
    fixed_zone: Option<u16>,
}

#[derive(Clone, Debug, Default)]
pub struct Result {
    /// Failed set-ups by zone.
    pub lost: Vec<u64>,
    pub offered: u64,
    pub served: u64,
    /// Worth of answered calls by second.
    pub by_second: Vec<u64>,
    /// Set-ups sent by zone and second.
    pub sent: Vec<Vec<u64>>,
    pub overload_crashes: u64,
    pub facts_sent: u64,
    pub fact_bytes: u64,
    pub trials: u64,
    pub max_trials: u64,
    pub steps: Vec<(Micros, Step)>,
    pub local_faults: u64,
    pub first_step_spread: Micros,
    /// Time since which the mean share of the nodes has been at least 0.95 again, by zone.
    pub full_since: BTreeMap<u16, Option<Micros>>,
    pub violations: Vec<String>,
}

pub struct Simulation {
    pub scenario: Scenario,
    pub now: Micros,
    rng: SmallRng,
    network_rng: SmallRng,
    call_rng: SmallRng,
    pub nodes: Vec<Node>,
    hosts: Vec<Vec<Host>>,
    events: BTreeMap<(Micros, u64), Event>,
    count: u64,
    log: Vec<(Micros, Step)>,
    pub result: Result,
    trials_by_step: BTreeMap<(usize, u64), u64>,
    listed: Vec<Vec<(bool, Micros)>>,
    return_started: BTreeMap<u16, Micros>,
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let hosts = (0..scenario.zones).map(|_| {
            let host = |_| Host {
                capacity: scenario.capacity,
                started: -100 * S,
                down_until: 0,
                arrivals: VecDeque::new(),
            };
            (0..scenario.servers).map(host).collect()
        });
        let hosts: Vec<Vec<Host>> = hosts.collect();
        let nodes = (0..scenario.nodes).map(|id| Node {
            id,
            home: (id % u32::from(scenario.zones.max(1))) as u16,
            core: None,
            share: vec![1.0; usize::from(scenario.zones)],
            trials: vec![0; usize::from(scenario.zones)],
            backoff: vec![vec![Backoff::default(); scenario.servers]; usize::from(scenario.zones)],
            paused_until: 0,
            cut: (false, false),
            cut_until: 0,
            log_at: 0,
            steps: Vec::new(),
            heard: BTreeMap::new(),
        });
        let zones = usize::from(scenario.zones);
        let mut sim = Simulation {
            now: 0,
            rng: SmallRng::seed_from_u64(scenario.seed),
            network_rng: SmallRng::seed_from_u64(scenario.seed ^ 0xf1ee7),
            call_rng: SmallRng::seed_from_u64(scenario.seed ^ 0xca115),
            nodes: nodes.collect(),
            hosts,
            events: BTreeMap::new(),
            count: 0,
            log: Vec::new(),
            result: Result { lost: vec![0; zones], sent: vec![Vec::new(); zones], ..Result::default() },
            trials_by_step: BTreeMap::new(),
            listed: Vec::new(),
            return_started: BTreeMap::new(),
            scenario,
        };
        for node in 0..sim.nodes.len() {
            sim.start(node);
        }
        sim
    }

    /// Starts or restarts a node's process.
    pub fn start(&mut self, node: usize) {
        if !self.scenario.fleet {
            return;
        }
        let zones = u32::from(self.scenario.zones.max(1));
        let members = (0..self.scenario.nodes).map(|id| (id, ZoneId((id % zones) as u16))).collect();
        let mut settings = Settings::new(self.nodes[node].id, members, self.scenario.zones);
        settings.log = self.scenario.log;
        #[cfg(feature = "faults")]
        {
            settings.plant = self.scenario.plant;
        }
        self.nodes[node].core = Some(Zones::new(settings));
        self.nodes[node].share.fill(1.0);
        self.nodes[node].trials.fill(0);
        self.nodes[node].log_at = 0;
        self.nodes[node].steps.clear();
        for zone in 0..self.scenario.zones {
            self.send_servers(node, zone);
        }
    }

    fn send_servers(&mut self, node: usize, zone: u16) {
        let hosts = &self.hosts[usize::from(zone)];
        let ready = hosts.iter().filter(|host| host.down_until <= self.now);
        let servers = ready.map(|host| Server { capacity: host.capacity, started: host.started }).collect();
        self.input(node, Input::Servers { zone: ZoneId(zone), servers });
    }

    fn schedule(&mut self, span: Micros, event: Event) {
        self.count += 1;
        self.events.insert((self.now + span, self.count), event);
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        let (out, into) = (&self.nodes[from], &self.nodes[to]);
        if out.cut.1 || into.cut.0 {
            return false;
        }
        !self.scenario.cuts.iter().any(|(start, end, cut)| {
            (*start..*end).contains(&self.now)
                && match cut {
                    Cut::Zone(zone) => (out.home == *zone) != (into.home == *zone),
                    Cut::Node(node) => out.id == *node || into.id == *node,
                    Cut::In(node) => into.id == *node,
                    Cut::Out(node) => out.id == *node,
                    Cut::Below(node) => (out.id < *node) != (into.id < *node),
                    Cut::All => true,
                }
        })
    }

    /// Whether the node and a majority of the nodes reach each other.
    fn reaches_majority(&self, node: usize) -> bool {
        let both =
            |other: usize| other == node || (self.connected(node, other) && self.connected(other, node));
        (0..self.nodes.len()).filter(|other| both(*other)).count() > self.nodes.len() / 2
    }

    fn input(&mut self, node: usize, input: Input) {
        if self.nodes[node].paused_until > self.now {
            return;
        }
        let Some(mut core) = self.nodes[node].core.take() else { return };
        let mut out = Vec::new();
        let now = self.now;
        #[cfg(feature = "faults")]
        let crashed = {
            use lemoncleat_faults::scene;
            scene::turn(node);
            let run = std::panic::AssertUnwindSafe(|| core.handle(now, input, &mut out));
            let crashed = std::panic::catch_unwind(run).is_err();
            if let Some((fault, _)) = scene::fired() {
                use lemoncleat_faults::Fault;
                self.nodes[node].cut_until = now + 8 * S;
                match fault {
                    Fault::Pause => self.nodes[node].paused_until = now + 8 * S,
                    Fault::Cut => self.nodes[node].cut = (true, true),
                    Fault::CutIn => self.nodes[node].cut.0 = true,
                    Fault::CutOut => self.nodes[node].cut.1 = true,
                    _ => {}
                }
            }
            crashed
        };
        #[cfg(not(feature = "faults"))]
        let crashed = {
            core.handle(now, input, &mut out);
            false
        };
        if crashed {
            // The node restarts three seconds later without any state.
            self.nodes[node].paused_until = now + 3 * S;
            return;
        }
        let step = core.step().clone();
        let known = self.nodes[node].steps.last().map_or(0, |(_, step)| step.number);
        if step.number < known {
            self.result
                .violations
                .push(format!("node {node} went back from step {known} to {}", step.number));
        }
        if step.number != known {
            if step.number > self.result.steps.last().map_or(0, |(_, step)| step.number) {
                self.result.steps.push((now, step.clone()));
            } else if let Some((first, same)) =
                self.result.steps.iter().find(|(_, s)| s.number == step.number)
            {
                if *same != step && self.scenario.log {
                    self.result.violations.push(format!("two steps {}", step.number));
                }
                if step.number == 1 {
                    self.result.first_step_spread = self.result.first_step_spread.max(now - first);
                }
            }
            self.nodes[node].steps.push((now, step));
        }
        self.nodes[node].core = Some(core);
        for output in out {
            self.output(node, output);
        }
    }

    fn output(&mut self, node: usize, output: Output) {
        match output {
            Output::Publish(bytes) => {
                assert!(bytes.len() <= lemoncleat_zones::MAX_FACT_BYTES);
                for to in 0..self.nodes.len() {
                    if to == node
                        || !self.connected(node, to)
                        || self.network_rng.random_bool(self.scenario.loss)
                    {
                        continue;
                    }
                    self.result.facts_sent += 1;
                    self.result.fact_bytes += bytes.len() as u64;
                    let span = self.network_rng.random_range(20 * MS..250 * MS);
                    let fact =
                        || Event::Fact { to, origin: node as u32, made: self.now, bytes: bytes.clone() };
                    let (fact, duplicate) = (fact(), self.network_rng.random_bool(0.02).then(fact));
                    self.schedule(span, fact);
                    if let Some(duplicate) = duplicate {
                        // Delivered a second time, late.
                        self.schedule(span + 2 * S, duplicate);
                    }
                }
            }
            Output::Propose(step) => {
                let since = self.now - 3 * S - TICK_US;
                let fresh = self.nodes[node].heard.values().filter(|at| **at >= since).count() + 1;
                if fresh <= self.nodes.len() / 2 {
                    self.result
                        .violations
                        .push(format!("node {node} proposed with facts of only {fresh} nodes"));
                }
                if self.reaches_majority(node) {
                    let due = self.now + self.network_rng.random_range(30 * MS..120 * MS);
                    let due = due.max(self.log.last().map_or(0, |(at, _)| *at));
                    self.log.push((due, step));
                }
            }
            Output::Share { zone, share, .. } => self.nodes[node].share[usize::from(zone.0)] = share,
            Output::Trial { zone, allowed } => self.nodes[node].trials[usize::from(zone.0)] = allowed,
            Output::Notice(lemoncleat_zones::Notice::LocalFault { .. }) => self.result.local_faults += 1,
            Output::Notice(_) => {}
        }
    }

    fn failure(&self, zone: u16, home: u16) -> (f64, f64) {
        let (mut lost, mut slow) = (0.0, 1.0);
        for (from, until, at, failure) in &self.scenario.failures {
            if *at != zone || !(*from..*until).contains(&self.now) {
                continue;
            }
            match failure {
                Failure::Silent | Failure::Down => lost = 1.0,
                Failure::Lossy(share) => lost = *share,
                Failure::Slow(times) => slow = *times,
                Failure::Gray(homes) => lost = f64::from(homes >> home & 1),
                Failure::Flapping(span) => lost = f64::from(((self.now - from) / span % 2 == 0) as u8),
            }
        }
        (lost, slow)
    }

    fn present_capacity(&self, host: &Host) -> f64 {
        let age = ((self.now - host.started) as f64 / 15e6).clamp(0.0, 1.0);
        host.capacity * (0.3 + 0.7 * age)
    }

    fn choose_server(&mut self, node: usize, call: Call, exclude: Option<u16>) -> Option<(u16, u16)> {
        // Chooses the zone by the known capacity of its servers, then applies its share, then falls back to
        // the other zones.
        let weights: Vec<f64> = (0..self.scenario.zones)
            .map(|zone| {
                let usable = |(server, host): &(usize, &Host)| {
                    host.down_until <= self.now - S
                        && self.nodes[node].backoff[usize::from(zone)][*server].until <= self.now
                };
                let hosts = self.hosts[usize::from(zone)].iter().enumerate();
                hosts.filter(usable).map(|(_, host)| self.present_capacity(host)).sum()
            })
            .collect();
        let mut excluded: Vec<bool> = (0..self.scenario.zones).map(|zone| exclude == Some(zone)).collect();
        let zone = loop {
            if let Some(zone) = call.fixed_zone {
                break zone;
            }
            let weight = |zone: usize| if excluded[zone] { 0.0 } else { weights[zone] };
            let total: f64 = (0..weights.len()).map(weight).sum();
            if total <= 0.0 {
                return None;
            }
            let mut at = self.rng.random_range(0.0..total);
            let mut zone = 0;
            for index in 0..weights.len() {
                if weight(index) > 0.0 {
                    zone = index;
                    if at < weight(index) {
                        break;
                    }
                    at -= weight(index);
                }
            }
            let share = self.nodes[node].share[zone];
            if share >= 1.0 || self.rng.random_bool(share) {
                break zone as u16;
            }
            excluded[zone] = true;
        };
        let servers = self.hosts[usize::from(zone)].iter().enumerate();
        let usable_servers: Vec<u16> = servers
            .filter(|(server, host)| {
                host.down_until <= self.now - S
                    && self.nodes[node].backoff[usize::from(zone)][*server].until <= self.now
            })
            .map(|(server, _)| server as u16)
            .collect();
        let all = self.scenario.servers as u16;
        let server = match usable_servers.len() {
            0 => self.rng.random_range(0..all),
            _ => usable_servers[self.rng.random_range(0..usable_servers.len())],
        };
        Some((zone, server))
    }

    fn call(&mut self, node: usize, call: Call, exclude: Option<u16>) {
        // The next call serves as a trial, at any of the zone's servers.
        let trial_zone = if exclude.is_none() && call.fixed_zone.is_none() {
            (0..usize::from(self.scenario.zones)).find(|zone| self.nodes[node].trials[*zone] > 0)
        } else {
            None
        };
        let target = if let Some(zone) = trial_zone {
            self.nodes[node].trials[zone] -= 1;
            self.result.trials += 1;
            let number =
                self.nodes[node].core.as_ref().and_then(|core| core.step().entry(ZoneId(zone as u16)));
            let number = number.map_or(0, |entry| entry.at);
            let count = self.trials_by_step.entry((zone, number)).or_default();
            *count += 1;
            self.result.max_trials = self.result.max_trials.max(*count);
            Some((zone as u16, self.rng.random_range(0..self.scenario.servers as u16)))
        } else {
            self.choose_server(node, call, exclude)
        };
        let Some((zone, server)) = target else { return };
        let retry = exclude.is_some();
        self.input(
            node,
            Input::Outcome {
                zone: ZoneId(zone),
                server,
                outcome: Outcome::Sent,
                waited: 0,
                worth: call.worth,
                cost: 1,
            },
        );
        let seconds = (self.now / S) as usize;
        let sent = &mut self.result.sent[usize::from(zone)];
        sent.resize(sent.len().max(seconds + 1), 0);
        sent[seconds] += 1;
        let (lost, slow) = self.failure(zone, self.nodes[node].home);
        let now = self.now;
        let settle = |sim: &mut Simulation, span: Micros, outcome: Outcome| {
            sim.schedule(span, Event::Settle { node, zone, server, outcome, call, retry, sent: now });
        };
        let host = &self.hosts[usize::from(zone)][usize::from(server)];
        let present_capacity = self.present_capacity(host);
        if host.down_until > now {
            return settle(self, 5 * MS, Outcome::Unreachable);
        }
        if lost >= 1.0 || (lost > 0.0 && self.rng.random_bool(lost)) {
            return settle(self, TIMEOUT_US, Outcome::TimedOut);
        }
        let host = &mut self.hosts[usize::from(zone)][usize::from(server)];
        host.arrivals.push_back(now);
        while host.arrivals.front().is_some_and(|at| *at <= now - S) {
            host.arrivals.pop_front();
        }
        let count = host.arrivals.len() as f64;
        let budget = 3.0 * present_capacity;
        if count > budget + 3.0 * budget.sqrt() + 3.0 {
            self.result.overload_crashes += 1;
            host.down_until = now + 5 * S;
            host.started = now + 5 * S;
            return settle(self, TIMEOUT_US, Outcome::TimedOut);
        }
        let load = count / present_capacity;
        if load > 1.3 {
            return settle(self, 10 * MS, Outcome::Refused);
        }
        let wait = (30.0 * slow / (1.0 - load.min(0.95))).min(900.0) * MS as f64;
        settle(self, wait as Micros, Outcome::Answered);
    }

    fn settle(&mut self, node: usize, zone: u16, server: u16, outcome: Outcome, call: Call, retry: bool) {
        let backoff = &mut self.nodes[node].backoff[usize::from(zone)][usize::from(server)];
        match outcome {
            Outcome::Answered => {
                backoff.failures = 0;
                self.result.served += u64::from(call.worth);
                let current_second = (self.now / S) as usize;
                let worth = &mut self.result.by_second;
                worth.resize(worth.len().max(current_second + 1), 0);
                worth[current_second] += u64::from(call.worth);
                return;
            }
            Outcome::Refused => {}
            _ => {
                self.result.lost[usize::from(zone)] += 1;
                if backoff.until <= self.now {
                    backoff.until = self.now + (S << backoff.failures.min(4));
                    backoff.failures += 1;
                }
            }
        }
        if !retry && call.fixed_zone.is_none() {
            self.call(node, call, Some(zone));
        }
    }

    /// Runs up to a time.
    pub fn run(&mut self, until: Micros) {
        while self.now < until {
            self.now += TICK_US;
            let now = self.now;
            self.update_servers();
            while self.events.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
                let Some((_, event)) = self.events.pop_first() else { break };
                match event {
                    Event::Fact { to, origin, made, bytes } => {
                        if self.nodes[to].paused_until <= now {
                            self.nodes[to]
                                .heard
                                .entry(origin)
                                .and_modify(|at| *at = made.max(*at))
                                .or_insert(made);
                        }
                        self.input(to, Input::FactReceived { origin, age: now - made, bytes });
                    }
                    Event::Settle { node, zone, server, outcome, call, retry, sent } => {
                        let input = Input::Outcome {
                            zone: ZoneId(zone),
                            server,
                            outcome,
                            waited: now - sent,
                            worth: 0,
                            cost: 0,
                        };
                        self.input(node, input);
                        self.settle(node, zone, server, outcome, call, retry);
                    }
                }
            }
            for node in 0..self.nodes.len() {
                if self.nodes[node].core.is_none()
                    && self.scenario.fleet
                    && self.nodes[node].paused_until <= now
                {
                    self.start(node);
                }
                if self.nodes[node].cut_until <= now {
                    self.nodes[node].cut = (false, false);
                }
                let poll_log = self.network_rng.random_bool(0.7);
                while poll_log && self.nodes[node].paused_until <= now {
                    let Some((due, step)) = self.log.get(self.nodes[node].log_at).cloned() else { break };
                    if due > now || !self.reaches_majority(node) {
                        break;
                    }
                    self.nodes[node].log_at += 1;
                    self.input(node, Input::Agreed(step));
                }
                if self.nodes[node].core.as_ref().and_then(Zones::next_timeout).is_some_and(|at| at <= now) {
                    self.input(node, Input::Timeout);
                }
            }
            self.generate_calls();
            if now % (S / 4) < TICK_US {
                self.check_return_load();
            }
        }
    }

    /// Checks the calls that a returning zone gets against the capacity of servers that have been cold since
    /// the return began.
    fn check_return_load(&mut self) {
        let now = self.now;
        let warm = self.scenario.capacity * self.scenario.servers as f64;
        for zone in 0..self.scenario.zones {
            let entry = self.result.steps.last().and_then(|(_, step)| step.entry(ZoneId(zone)).copied());
            let Some(entry) = entry.filter(|entry| matches!(entry.phase, Phase::Return | Phase::Restored))
            else {
                self.return_started.remove(&zone);
                continue;
            };
            let since = *self.return_started.entry(zone).or_insert(now);
            let capacity = warm * (0.3 + 0.7 * ((now - since) as f64 / 15e6).min(1.0));
            let shares = self.nodes.iter().map(|node| node.share[usize::from(zone)]);
            let share = shares.sum::<f64>() / self.nodes.len() as f64;
            // Nodes that have not yet received the step before the return send nothing.
            let rate = self.scenario.rate / f64::from(self.scenario.zones) * share;
            if rate > capacity * 1.15 + 2.0 {
                let number = self.result.steps.len();
                self.result.violations.push(format!(
                    "step {number}: {rate:.0} calls/s to a zone that can take {capacity:.0}, {entry:?}"
                ));
            }
            let full = self.result.full_since.entry(zone).or_default();
            if share < 0.95 {
                *full = None;
            } else if full.is_none() {
                *full = Some(now);
            }
        }
    }

    fn update_servers(&mut self) {
        let now = self.now;
        for (zone, server, stop, start) in self.scenario.restarts.clone() {
            if (stop..stop + TICK_US).contains(&now) {
                let host = &mut self.hosts[usize::from(zone)][server];
                host.down_until = start;
                host.started = start;
            }
        }
        for (_, until, zone, failure) in self.scenario.failures.clone() {
            if failure == Failure::Down && (until..until + TICK_US).contains(&now) {
                for host in &mut self.hosts[usize::from(zone)] {
                    host.started = now;
                }
            }
        }
        // The server lists report the change up to a second later.
        if now % S < TICK_US {
            let listed: Vec<Vec<(bool, Micros)>> = self
                .hosts
                .iter()
                .map(|hosts| hosts.iter().map(|host| (host.down_until <= now, host.started)).collect())
                .collect();
            if listed != self.listed {
                for node in 0..self.nodes.len() {
                    for zone in 0..self.scenario.zones {
                        self.send_servers(node, zone);
                    }
                }
                self.listed = listed;
            }
        }
    }

    fn generate_calls(&mut self) {
        let surge =
            self.scenario.surges.iter().filter(|(from, until, _)| (*from..*until).contains(&self.now));
        let rate = self.scenario.rate * surge.map(|(_, _, times)| times).product::<f64>();
        let mut due = rate * TICK_US as f64 / 1e6 * -(1.0 - self.call_rng.random::<f64>()).ln();
        due = due.floor() + f64::from(self.call_rng.random_bool(due.fract()) as u8);
        for _ in 0..due as u64 {
            let node = self.call_rng.random_range(0..self.nodes.len());
            let fixed_zone =
                self.call_rng.random_bool(0.02).then(|| self.call_rng.random_range(0..self.scenario.zones));
            let call = Call { worth: [5, 10, 20][self.call_rng.random_range(0..3)], fixed_zone };
            if self.nodes[node].paused_until > self.now {
                continue;
            }
            self.result.offered += u64::from(call.worth);
            self.call(node, call, None);
        }
    }

    /// Runs the whole scenario.
    pub fn run_all(scenario: Scenario) -> Simulation {
        let until = scenario.until;
        let mut sim = Simulation::new(scenario);
        sim.run(until);
        sim
    }

    /// Returns the first time after `after` at which a zone got all its calls again.
    pub fn restored_at(&self, zone: u16, after: Micros) -> Option<Micros> {
        let restored =
            |step: &Step| step.entry(ZoneId(zone)).is_none_or(|entry| entry.phase == Phase::Restored);
        self.result.steps.iter().find(|(at, step)| *at >= after && restored(step)).map(|(at, _)| *at)
    }

    /// Returns the violations of the invariants that hold in every run, whatever fails.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.result.violations.clone();
        if self.result.overload_crashes > 0 {
            violations.push(format!("{} servers crashed from overload", self.result.overload_crashes));
        }
        if self.result.max_trials > 10 {
            violations.push(format!("{} trials under one step", self.result.max_trials));
        }
        let warm = self.scenario.capacity * self.scenario.servers as f64;
        for (_, step) in &self.result.steps {
            let (mut moved, mut staying) = (0.0, f64::from(self.scenario.zones));
            for entry in step.entries.iter().filter(|entry| entry.phase != Phase::Restored) {
                moved += f64::from(entry.baseline_rate) * (1.0 - f64::from(entry.share) / 1000.0);
                staying -= 1.0;
            }
            let free = staying * (warm - self.scenario.rate / f64::from(self.scenario.zones));
            if moved > free * 1.05 {
                violations.push(format!("step {} moves {moved:.0} where {free:.0} are free", step.number));
            }
        }
        violations
    }

    /// Returns the time of the first step that left a zone, and the share left to it.
    pub fn left_at(&self, zone: u16) -> Option<(Micros, u16)> {
        let entry = |step: &Step| step.entry(ZoneId(zone)).map(|entry| entry.share);
        self.result.steps.iter().find_map(|(at, step)| entry(step).map(|share| (*at, share)))
    }
}
