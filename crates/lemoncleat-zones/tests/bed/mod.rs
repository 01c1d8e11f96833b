//! A fleet, its servers and the notes between its nodes, in virtual time. A model: nodes choose as simply as can be.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};

use lemoncleat_zones::{Input, Micros, Output, Phase, Server, Settings, Step, What, ZoneId, Zones};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const MS: Micros = 1000;
pub const S: Micros = 1_000_000;
const STEP: Micros = 25 * MS;
const TIME_OUT: Micros = S;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Set-ups vanish.
    Silent,
    /// Its servers are down, and cold afterwards.
    Down,
    /// This share of set-ups vanishes.
    Lossy(f64),
    /// The wait is longer by this.
    Slow(f64),
    /// Set-ups of the nodes of these zones vanish (a bit for each).
    Gray(u8),
    /// Down and up again every so long.
    Flapping(Micros),
}

#[derive(Clone, Debug)]
pub struct Plan {
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
    pub troubles: Vec<(Micros, Micros, u16, Trouble)>,
    /// Zone, server, when it stops, and when it starts again.
    pub restarts: Vec<(u16, usize, Micros, Micros)>,
    /// Nodes of a zone (or one node) cut off from the others' notes.
    pub cuts: Vec<(Micros, Micros, Cut)>,
    /// From, until, multiple of the rate.
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
    /// Nodes below this from the rest.
    Below(u32),
    All,
}

impl Plan {
    pub fn new(nodes: u32, seed: u64) -> Plan {
        Plan {
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
            troubles: Vec::new(),
            restarts: Vec::new(),
            cuts: Vec::new(),
            surges: Vec::new(),
            #[cfg(feature = "faults")]
            plant: Default::default(),
        }
    }

    pub fn trouble(mut self, from: Micros, until: Micros, zone: u16, trouble: Trouble) -> Plan {
        self.troubles.push((from, until, zone, trouble));
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
struct Avoided {
    until: Micros,
    times: u32,
}

pub struct Node {
    pub id: u32,
    pub home: u16,
    pub core: Option<Zones>,
    pub share: Vec<f64>,
    pub trials: Vec<u32>,
    avoided: Vec<Vec<Avoided>>,
    pub away_until: Micros,
    pub cut: (bool, bool),
    pub cut_until: Micros,
    log_at: usize,
    pub steps: Vec<(Micros, Step)>,
    heard: BTreeMap<u32, Micros>,
}

enum Event {
    Note { to: usize, origin: u32, made: Micros, bytes: Vec<u8> },
    Settle { node: usize, zone: u16, server: u16, what: What, call: Call, second: bool, sent: Micros },
}

#[derive(Clone, Copy)]
struct Call {
    worth: u32,
    bound: Option<u16>,
}

#[derive(Clone, Debug, Default)]
pub struct Result {
    /// Set-ups that failed, by zone.
    pub lost: Vec<u64>,
    pub offered: u64,
    pub served: u64,
    /// Worth served by second.
    pub by_second: Vec<u64>,
    /// Set-ups sent by zone and second.
    pub sent: Vec<Vec<u64>>,
    pub pushed_over: u64,
    pub notes: u64,
    pub note_bytes: u64,
    pub trials: u64,
    pub most_trials: u64,
    pub steps: Vec<(Micros, Step)>,
    pub alone: u64,
    pub spread: Micros,
    /// Since when the nodes' shares of a zone come to 0.95 or more again.
    pub full: BTreeMap<u16, Option<Micros>>,
    pub broken: Vec<String>,
}

pub struct Bed {
    pub plan: Plan,
    pub now: Micros,
    rng: SmallRng,
    notes: SmallRng,
    calls: SmallRng,
    pub nodes: Vec<Node>,
    hosts: Vec<Vec<Host>>,
    events: BTreeMap<(Micros, u64), Event>,
    count: u64,
    log: Vec<(Micros, Step)>,
    pub result: Result,
    trials_by_step: BTreeMap<(usize, u64), u64>,
    told: Vec<Vec<(bool, Micros)>>,
    returning: BTreeMap<u16, Micros>,
}

impl Bed {
    pub fn new(plan: Plan) -> Bed {
        let hosts = (0..plan.zones).map(|_| {
            let host = |_| Host {
                capacity: plan.capacity,
                started: -100 * S,
                down_until: 0,
                arrivals: VecDeque::new(),
            };
            (0..plan.servers).map(host).collect()
        });
        let hosts: Vec<Vec<Host>> = hosts.collect();
        let nodes = (0..plan.nodes).map(|id| Node {
            id,
            home: (id % u32::from(plan.zones.max(1))) as u16,
            core: None,
            share: vec![1.0; usize::from(plan.zones)],
            trials: vec![0; usize::from(plan.zones)],
            avoided: vec![vec![Avoided::default(); plan.servers]; usize::from(plan.zones)],
            away_until: 0,
            cut: (false, false),
            cut_until: 0,
            log_at: 0,
            steps: Vec::new(),
            heard: BTreeMap::new(),
        });
        let zones = usize::from(plan.zones);
        let mut bed = Bed {
            now: 0,
            rng: SmallRng::seed_from_u64(plan.seed),
            notes: SmallRng::seed_from_u64(plan.seed ^ 0xf1ee7),
            calls: SmallRng::seed_from_u64(plan.seed ^ 0xca115),
            nodes: nodes.collect(),
            hosts,
            events: BTreeMap::new(),
            count: 0,
            log: Vec::new(),
            result: Result { lost: vec![0; zones], sent: vec![Vec::new(); zones], ..Result::default() },
            trials_by_step: BTreeMap::new(),
            told: Vec::new(),
            returning: BTreeMap::new(),
            plan,
        };
        for node in 0..bed.nodes.len() {
            bed.start(node);
        }
        bed
    }

    /// A process begins, or begins again.
    pub fn start(&mut self, node: usize) {
        if !self.plan.fleet {
            return;
        }
        let zones = u32::from(self.plan.zones.max(1));
        let members = (0..self.plan.nodes).map(|id| (id, ZoneId((id % zones) as u16))).collect();
        let mut settings = Settings::new(self.nodes[node].id, members, self.plan.zones);
        settings.log = self.plan.log;
        #[cfg(feature = "faults")]
        {
            settings.plant = self.plan.plant;
        }
        self.nodes[node].core = Some(Zones::new(settings));
        self.nodes[node].share.fill(1.0);
        self.nodes[node].trials.fill(0);
        self.nodes[node].log_at = 0;
        self.nodes[node].steps.clear();
        for zone in 0..self.plan.zones {
            self.give_servers(node, zone);
        }
    }

    fn give_servers(&mut self, node: usize, zone: u16) {
        let hosts = &self.hosts[usize::from(zone)];
        let ready = hosts.iter().filter(|host| host.down_until <= self.now);
        let servers = ready.map(|host| Server { capacity: host.capacity, started: host.started }).collect();
        self.input(node, Input::Servers { zone: ZoneId(zone), servers });
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.count += 1;
        self.events.insert((self.now + span, self.count), event);
    }

    fn open(&self, from: usize, to: usize) -> bool {
        let (out, into) = (&self.nodes[from], &self.nodes[to]);
        if out.cut.1 || into.cut.0 {
            return false;
        }
        !self.plan.cuts.iter().any(|(start, end, cut)| {
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

    /// Whether the node and a majority reach each other.
    fn reaches_majority(&self, node: usize) -> bool {
        let both = |other: usize| other == node || (self.open(node, other) && self.open(other, node));
        (0..self.nodes.len()).filter(|other| both(*other)).count() > self.nodes.len() / 2
    }

    fn input(&mut self, node: usize, input: Input) {
        if self.nodes[node].away_until > self.now {
            return;
        }
        let Some(mut core) = self.nodes[node].core.take() else { return };
        let mut out = Vec::new();
        let now = self.now;
        #[cfg(feature = "faults")]
        let died = {
            use lemoncleat_faults::scene;
            scene::turn(node);
            let run = std::panic::AssertUnwindSafe(|| core.handle(now, input, &mut out));
            let died = std::panic::catch_unwind(run).is_err();
            if let Some((fault, _)) = scene::fired() {
                use lemoncleat_faults::Fault;
                self.nodes[node].cut_until = now + 8 * S;
                match fault {
                    Fault::Pause => self.nodes[node].away_until = now + 8 * S,
                    Fault::Cut => self.nodes[node].cut = (true, true),
                    Fault::CutIn => self.nodes[node].cut.0 = true,
                    Fault::CutOut => self.nodes[node].cut.1 = true,
                    _ => {}
                }
            }
            died
        };
        #[cfg(not(feature = "faults"))]
        let died = {
            core.handle(now, input, &mut out);
            false
        };
        if died {
            // Begun again three seconds later, with nothing kept.
            self.nodes[node].away_until = now + 3 * S;
            return;
        }
        let step = core.step().clone();
        let known = self.nodes[node].steps.last().map_or(0, |(_, step)| step.number);
        if step.number < known {
            self.result.broken.push(format!("node {node} went back from step {known} to {}", step.number));
        }
        if step.number != known {
            if step.number > self.result.steps.last().map_or(0, |(_, step)| step.number) {
                self.result.steps.push((now, step.clone()));
            } else if let Some((first, same)) =
                self.result.steps.iter().find(|(_, s)| s.number == step.number)
            {
                if *same != step && self.plan.log {
                    self.result.broken.push(format!("two steps {}", step.number));
                }
                if step.number == 1 {
                    self.result.spread = self.result.spread.max(now - first);
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
                assert!(bytes.len() <= lemoncleat_zones::FACT_BYTES);
                for to in 0..self.nodes.len() {
                    if to == node || !self.open(node, to) || self.notes.random_bool(self.plan.loss) {
                        continue;
                    }
                    self.result.notes += 1;
                    self.result.note_bytes += bytes.len() as u64;
                    let span = self.notes.random_range(20 * MS..250 * MS);
                    let note =
                        || Event::Note { to, origin: node as u32, made: self.now, bytes: bytes.clone() };
                    let (note, again) = (note(), self.notes.random_bool(0.02).then(note));
                    self.after(span, note);
                    if let Some(again) = again {
                        // Doubled, and late.
                        self.after(span + 2 * S, again);
                    }
                }
            }
            Output::Propose(step) => {
                let since = self.now - 3 * S - STEP;
                let fresh = self.nodes[node].heard.values().filter(|at| **at >= since).count() + 1;
                if fresh <= self.nodes.len() / 2 {
                    self.result.broken.push(format!("node {node} proposed with {fresh} heard"));
                }
                if self.reaches_majority(node) {
                    let due = self.now + self.notes.random_range(30 * MS..120 * MS);
                    let due = due.max(self.log.last().map_or(0, |(at, _)| *at));
                    self.log.push((due, step));
                }
            }
            Output::Share { zone, share, .. } => self.nodes[node].share[usize::from(zone.0)] = share,
            Output::Trial { zone, allowed } => self.nodes[node].trials[usize::from(zone.0)] = allowed,
            Output::Notice(lemoncleat_zones::Notice::Alone { .. }) => self.result.alone += 1,
            Output::Notice(_) => {}
        }
    }

    fn trouble(&self, zone: u16, home: u16) -> (f64, f64) {
        let (mut lost, mut slow) = (0.0, 1.0);
        for (from, until, at, trouble) in &self.plan.troubles {
            if *at != zone || !(*from..*until).contains(&self.now) {
                continue;
            }
            match trouble {
                Trouble::Silent | Trouble::Down => lost = 1.0,
                Trouble::Lossy(share) => lost = *share,
                Trouble::Slow(times) => slow = *times,
                Trouble::Gray(homes) => lost = f64::from(homes >> home & 1),
                Trouble::Flapping(span) => lost = f64::from(((self.now - from) / span % 2 == 0) as u8),
            }
        }
        (lost, slow)
    }

    fn present(&self, host: &Host) -> f64 {
        let age = ((self.now - host.started) as f64 / 15e6).clamp(0.0, 1.0);
        host.capacity * (0.3 + 0.7 * age)
    }

    fn pick(&mut self, node: usize, call: Call, not: Option<u16>) -> Option<(u16, u16)> {
        // The zone by what its servers take, as told; then its share; then the others.
        let weights: Vec<f64> = (0..self.plan.zones)
            .map(|zone| {
                let usable = |(server, host): &(usize, &Host)| {
                    host.down_until <= self.now - S
                        && self.nodes[node].avoided[usize::from(zone)][*server].until <= self.now
                };
                let hosts = self.hosts[usize::from(zone)].iter().enumerate();
                hosts.filter(usable).map(|(_, host)| self.present(host)).sum()
            })
            .collect();
        let mut barred: Vec<bool> = (0..self.plan.zones).map(|zone| not == Some(zone)).collect();
        let zone = loop {
            if let Some(zone) = call.bound {
                break zone;
            }
            let weight = |zone: usize| if barred[zone] { 0.0 } else { weights[zone] };
            let total: f64 = (0..weights.len()).map(weight).sum();
            if total <= 0.0 {
                return None;
            }
            let mut at = self.rng.random_range(0.0..total);
            let mut zone = 0;
            for place in 0..weights.len() {
                if weight(place) > 0.0 {
                    zone = place;
                    if at < weight(place) {
                        break;
                    }
                    at -= weight(place);
                }
            }
            let share = self.nodes[node].share[zone];
            if share >= 1.0 || self.rng.random_bool(share) {
                break zone as u16;
            }
            barred[zone] = true;
        };
        let servers = self.hosts[usize::from(zone)].iter().enumerate();
        let fit: Vec<u16> = servers
            .filter(|(server, host)| {
                host.down_until <= self.now - S
                    && self.nodes[node].avoided[usize::from(zone)][*server].until <= self.now
            })
            .map(|(server, _)| server as u16)
            .collect();
        let all = self.plan.servers as u16;
        let server = match fit.len() {
            0 => self.rng.random_range(0..all),
            _ => fit[self.rng.random_range(0..fit.len())],
        };
        Some((zone, server))
    }

    fn call(&mut self, node: usize, call: Call, not: Option<u16>) {
        // A trial goes out with the next call, to any of the zone's servers.
        let tried = if not.is_none() && call.bound.is_none() {
            (0..usize::from(self.plan.zones)).find(|zone| self.nodes[node].trials[*zone] > 0)
        } else {
            None
        };
        let place = if let Some(zone) = tried {
            self.nodes[node].trials[zone] -= 1;
            self.result.trials += 1;
            let number =
                self.nodes[node].core.as_ref().and_then(|core| core.step().entry(ZoneId(zone as u16)));
            let number = number.map_or(0, |entry| entry.at);
            let count = self.trials_by_step.entry((zone, number)).or_default();
            *count += 1;
            self.result.most_trials = self.result.most_trials.max(*count);
            Some((zone as u16, self.rng.random_range(0..self.plan.servers as u16)))
        } else {
            self.pick(node, call, not)
        };
        let Some((zone, server)) = place else { return };
        let second = not.is_some();
        self.input(
            node,
            Input::Outcome {
                zone: ZoneId(zone),
                server,
                what: What::Sent,
                waited: 0,
                worth: call.worth,
                cost: 1,
            },
        );
        let seconds = (self.now / S) as usize;
        let sent = &mut self.result.sent[usize::from(zone)];
        sent.resize(sent.len().max(seconds + 1), 0);
        sent[seconds] += 1;
        let (lost, slow) = self.trouble(zone, self.nodes[node].home);
        let now = self.now;
        let settle = |bed: &mut Bed, span: Micros, what: What| {
            bed.after(span, Event::Settle { node, zone, server, what, call, second, sent: now });
        };
        let host = &self.hosts[usize::from(zone)][usize::from(server)];
        let present = self.present(host);
        if host.down_until > now {
            return settle(self, 5 * MS, What::Unreachable);
        }
        if lost >= 1.0 || (lost > 0.0 && self.rng.random_bool(lost)) {
            return settle(self, TIME_OUT, What::Silent);
        }
        let host = &mut self.hosts[usize::from(zone)][usize::from(server)];
        host.arrivals.push_back(now);
        while host.arrivals.front().is_some_and(|at| *at <= now - S) {
            host.arrivals.pop_front();
        }
        let count = host.arrivals.len() as f64;
        let budget = 3.0 * present;
        if count > budget + 3.0 * budget.sqrt() + 3.0 {
            self.result.pushed_over += 1;
            host.down_until = now + 5 * S;
            host.started = now + 5 * S;
            return settle(self, TIME_OUT, What::Silent);
        }
        let load = count / present;
        if load > 1.3 {
            return settle(self, 10 * MS, What::Refused);
        }
        let wait = (30.0 * slow / (1.0 - load.min(0.95))).min(900.0) * MS as f64;
        settle(self, wait as Micros, What::Answered);
    }

    fn settle(&mut self, node: usize, zone: u16, server: u16, what: What, call: Call, second: bool) {
        let avoided = &mut self.nodes[node].avoided[usize::from(zone)][usize::from(server)];
        match what {
            What::Answered => {
                avoided.times = 0;
                self.result.served += u64::from(call.worth);
                let second = (self.now / S) as usize;
                let worth = &mut self.result.by_second;
                worth.resize(worth.len().max(second + 1), 0);
                worth[second] += u64::from(call.worth);
                return;
            }
            What::Refused => {}
            _ => {
                self.result.lost[usize::from(zone)] += 1;
                if avoided.until <= self.now {
                    avoided.until = self.now + (S << avoided.times.min(4));
                    avoided.times += 1;
                }
            }
        }
        if !second && call.bound.is_none() {
            self.call(node, call, Some(zone));
        }
    }

    /// Plays up to a moment.
    pub fn run(&mut self, until: Micros) {
        while self.now < until {
            self.now += STEP;
            let now = self.now;
            self.servers_change();
            while self.events.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
                let Some((_, event)) = self.events.pop_first() else { break };
                match event {
                    Event::Note { to, origin, made, bytes } => {
                        if self.nodes[to].away_until <= now {
                            self.nodes[to]
                                .heard
                                .entry(origin)
                                .and_modify(|at| *at = made.max(*at))
                                .or_insert(made);
                        }
                        self.input(to, Input::Heard { origin, age: now - made, bytes });
                    }
                    Event::Settle { node, zone, server, what, call, second, sent } => {
                        let outcome = Input::Outcome {
                            zone: ZoneId(zone),
                            server,
                            what,
                            waited: now - sent,
                            worth: 0,
                            cost: 0,
                        };
                        self.input(node, outcome);
                        self.settle(node, zone, server, what, call, second);
                    }
                }
            }
            for node in 0..self.nodes.len() {
                if self.nodes[node].core.is_none() && self.plan.fleet && self.nodes[node].away_until <= now {
                    self.start(node);
                }
                if self.nodes[node].cut_until <= now {
                    self.nodes[node].cut = (false, false);
                }
                let spare = self.notes.random_bool(0.7);
                while spare && self.nodes[node].away_until <= now {
                    let Some((due, step)) = self.log.get(self.nodes[node].log_at).cloned() else { break };
                    if due > now || !self.reaches_majority(node) {
                        break;
                    }
                    self.nodes[node].log_at += 1;
                    self.input(node, Input::Agreed(step));
                }
                if self.nodes[node].core.as_ref().and_then(Zones::wake).is_some_and(|at| at <= now) {
                    self.input(node, Input::Timeout);
                }
            }
            self.arrive();
            if now % (S / 4) < STEP {
                self.watch();
            }
        }
    }

    /// The nodes' shares together against what servers bear that are cold since the return began.
    fn watch(&mut self) {
        let now = self.now;
        let warm = self.plan.capacity * self.plan.servers as f64;
        for zone in 0..self.plan.zones {
            let entry = self.result.steps.last().and_then(|(_, step)| step.entry(ZoneId(zone)).copied());
            let Some(entry) = entry.filter(|entry| matches!(entry.phase, Phase::Return | Phase::Whole))
            else {
                self.returning.remove(&zone);
                continue;
            };
            let since = *self.returning.entry(zone).or_insert(now);
            let bears = warm * (0.3 + 0.7 * ((now - since) as f64 / 15e6).min(1.0));
            let shares = self.nodes.iter().map(|node| node.share[usize::from(zone)]);
            let share = shares.sum::<f64>() / self.nodes.len() as f64;
            // Some nodes may be late with the step before the return: they send nothing.
            let gets = self.plan.rate / f64::from(self.plan.zones) * share;
            if gets > bears * 1.15 + 2.0 {
                let number = self.result.steps.len();
                self.result
                    .broken
                    .push(format!("step {number}: {gets:.0} to a zone that bears {bears:.0}, {entry:?}"));
            }
            let full = self.result.full.entry(zone).or_default();
            if share < 0.95 {
                *full = None;
            } else if full.is_none() {
                *full = Some(now);
            }
        }
    }

    fn servers_change(&mut self) {
        let now = self.now;
        for (zone, server, stop, start) in self.plan.restarts.clone() {
            if (stop..stop + STEP).contains(&now) {
                let host = &mut self.hosts[usize::from(zone)][server];
                host.down_until = start;
                host.started = start;
            }
        }
        for (_, until, zone, trouble) in self.plan.troubles.clone() {
            if trouble == Trouble::Down && (until..until + STEP).contains(&now) {
                for host in &mut self.hosts[usize::from(zone)] {
                    host.started = now;
                }
            }
        }
        // The lists tell it a while later.
        if now % S < STEP {
            let told: Vec<Vec<(bool, Micros)>> = self
                .hosts
                .iter()
                .map(|hosts| hosts.iter().map(|host| (host.down_until <= now, host.started)).collect())
                .collect();
            if told != self.told {
                for node in 0..self.nodes.len() {
                    for zone in 0..self.plan.zones {
                        self.give_servers(node, zone);
                    }
                }
                self.told = told;
            }
        }
    }

    fn arrive(&mut self) {
        let surge = self.plan.surges.iter().filter(|(from, until, _)| (*from..*until).contains(&self.now));
        let rate = self.plan.rate * surge.map(|(_, _, times)| times).product::<f64>();
        let mut due = rate * STEP as f64 / 1e6 * -(1.0 - self.calls.random::<f64>()).ln();
        due = due.floor() + f64::from(self.calls.random_bool(due.fract()) as u8);
        for _ in 0..due as u64 {
            let node = self.calls.random_range(0..self.nodes.len());
            let bound = self.calls.random_bool(0.02).then(|| self.calls.random_range(0..self.plan.zones));
            let call = Call { worth: [5, 10, 20][self.calls.random_range(0..3)], bound };
            if self.nodes[node].away_until > self.now {
                continue;
            }
            self.result.offered += u64::from(call.worth);
            self.call(node, call, None);
        }
    }

    /// Plays the whole plan.
    pub fn play(plan: Plan) -> Bed {
        let until = plan.until;
        let mut bed = Bed::new(plan);
        bed.run(until);
        bed
    }

    /// When a zone first had all its calls again after a moment.
    pub fn whole_at(&self, zone: u16, after: Micros) -> Option<Micros> {
        let whole = |step: &Step| step.entry(ZoneId(zone)).is_none_or(|entry| entry.phase == Phase::Whole);
        self.result.steps.iter().find(|(at, step)| *at >= after && whole(step)).map(|(at, _)| *at)
    }

    /// What must hold of every run, whatever failed.
    pub fn laws(&self) -> Vec<String> {
        let mut broken = self.result.broken.clone();
        if self.result.pushed_over > 0 {
            broken.push(format!("{} servers pushed over", self.result.pushed_over));
        }
        if self.result.most_trials > 10 {
            broken.push(format!("{} trials under one step", self.result.most_trials));
        }
        let warm = self.plan.capacity * self.plan.servers as f64;
        for (_, step) in &self.result.steps {
            let (mut moved, mut staying) = (0.0, f64::from(self.plan.zones));
            for entry in step.entries.iter().filter(|entry| entry.phase != Phase::Whole) {
                moved += f64::from(entry.usual) * (1.0 - f64::from(entry.share) / 1000.0);
                staying -= 1.0;
            }
            let free = staying * (warm - self.plan.rate / f64::from(self.plan.zones));
            if moved > free * 1.05 {
                broken.push(format!("step {} moves {moved:.0} where {free:.0} are free", step.number));
            }
        }
        broken
    }

    /// The first step that left a zone, and the moment.
    pub fn left_at(&self, zone: u16) -> Option<(Micros, u16)> {
        let entry = |step: &Step| step.entry(ZoneId(zone)).map(|entry| entry.share);
        self.result.steps.iter().find_map(|(at, step)| entry(step).map(|share| (*at, share)))
    }
}
