//! A small fleet under a virtual clock, with a network that delays, loses, duplicates and reorders messages.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};

use lemoncleat::*;
use lemoncleat_consistency::*;
use lemoncleat_faults::{scene, Fault};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub mod patched {
    #![allow(clippy::all, missing_docs, dead_code, unused_imports)]
    include!(concat!(env!("OUT_DIR"), "/patched.rs"));
}

pub const SECOND: Micros = 1_000_000;

/// The variant of the decision module that a node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Variant {
    Correct,
    /// One constant of the module differs.
    Patched,
    /// The order of its actions depends on the hash seed of the process.
    HashOrdered(u64),
}

thread_local! {
    /// The variant of the process that is currently running.
    static VARIANT: Cell<Variant> = const { Cell::new(Variant::Correct) };
    static TREES: RefCell<BTreeMap<(Digest, Variant), Tree>> = const { RefCell::new(BTreeMap::new()) };
}

pub enum AnyController {
    Correct(Box<Controller>),
    Patched(Box<patched::decide::Controller>),
}

impl Serialize for AnyController {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        match self {
            AnyController::Correct(one) => one.serialize(to),
            AnyController::Patched(one) => one.serialize(to),
        }
    }
}

impl<'de> Deserialize<'de> for AnyController {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        Ok(match VARIANT.get() {
            Variant::Patched => AnyController::Patched(Deserialize::deserialize(from)?),
            _ => AnyController::Correct(Deserialize::deserialize(from)?),
        })
    }
}

impl Decider for AnyController {
    fn fresh(settings: &Settings, seed: u64) -> Option<Self> {
        Some(match VARIANT.get() {
            Variant::Patched => AnyController::Patched(Box::new(
                patched::decide::Controller::new(settings.clone(), seed).ok()?,
            )),
            _ => AnyController::Correct(Box::new(Controller::new(settings.clone(), seed).ok()?)),
        })
    }

    fn decide(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match self {
            AnyController::Correct(one) => one.handle(now, event, actions),
            AnyController::Patched(one) => one.handle(now, event, actions),
        }
        if let Variant::HashOrdered(salt) = VARIANT.get() {
            actions.sort_by_key(|action| {
                let mut hasher = DefaultHasher::new();
                (salt, format!("{action:?}")).hash(&mut hasher);
                hasher.finish()
            });
        }
    }
}

pub fn rules(worth: f64) -> Rules {
    let class = |aim, worth, effect| Class {
        aim,
        deadline: 4 * aim,
        worth,
        length: 60 * SECOND,
        effect,
        dedup_window: 10 * SECOND,
        ..Class::default()
    };
    let classes = vec![
        class(1_500_000, worth, Effect::Safe),
        class(800_000, 4.0, Effect::Fragile),
        Class { allowed: Some(vec![0, 1]), ..class(2_000_000, 2.0, Effect::Dedup) },
    ];
    let settings = Settings {
        classes,
        balancers: 9,
        repeat: 0,
        release: 300_000,
        max_attempts: 3,
        max_retry_hint: Some(5 * SECOND),
        may_cancel: true,
        cold_from: 0.2,
        cold_span: 30 * SECOND,
        fall_multiple: 3.0,
        fall_span: SECOND,
        ..Settings::default()
    };
    let plan =
        (0..3).map(|class| PlanEntry { prefix: format!("4{class}"), class, pool: class as i64 }).collect();
    Rules { settings, plan }
}

pub fn tree(rules: &Rules) -> Tree {
    let key = (rules.version(), VARIANT.get());
    let known = TREES.with_borrow(|trees| trees.get(&key).cloned());
    known.unwrap_or_else(|| {
        let tree = Cases::<AnyController>::tree(rules);
        TREES.with_borrow_mut(|trees| trees.insert(key, tree.clone()));
        tree
    })
}

pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % end.max(1)
    }

    pub fn span(&mut self, from: Micros, to: Micros) -> Micros {
        from + self.below((to - from) as u64) as Micros
    }
}

#[derive(Clone)]
enum Task {
    Check,
    Fact { from: u32, incarnation: u64, made_at: Micros, bytes: Vec<u8> },
    Direct { from: u32, bytes: Vec<u8> },
    SendTree(Rules, u64),
    Play { from: u32, id: u64, window: Vec<u8> },
    Work(Event),
    Call,
    Restart,
}

pub struct Node {
    pub checker: Checker<AnyController>,
    pub recorder: Recorder,
    pub controller: AnyController,
    pub variant: Variant,
    /// The rules that it claims to run.
    pub rules: Rules,
    pub incarnation: u64,
    pub up: bool,
    pub fenced: bool,
    fact: Option<(Micros, Vec<u8>)>,
    calls: u64,
    attempts: BTreeMap<CallId, u32>,
    window: Option<u32>,
    /// The node is not scheduled until then.
    paused: Micros,
    cut_in: Micros,
    cut_out: Micros,
    /// From this time on a bit of its state is flipped in every window.
    pub bit_flips_from: Option<Micros>,
    /// Offset of its own clock from virtual time.
    pub clock_offset: Micros,
    sent: u64,
}

/// The configuration of the fleet.
#[derive(Clone, Copy)]
pub struct FleetConfig {
    pub nodes: u32,
    pub limits: Limits,
    pub bounds: Bounds,
    /// Mean time between two calls at a node.
    pub call_interval: Micros,
    pub seed: u64,
}

impl FleetConfig {
    pub fn new(nodes: u32, seed: u64) -> FleetConfig {
        let limits = Limits { fences: true, share: 34, ..Limits::default() };
        let bounds = Bounds { interval: 20 * SECOND, max_span: 2 * SECOND, ..Bounds::default() };
        FleetConfig { nodes, limits, bounds, call_interval: SECOND / 3, seed }
    }
}

pub struct Fleet {
    pub now: Micros,
    pub nodes: Vec<Node>,
    config: FleetConfig,
    random: Random,
    queue: BTreeMap<(Micros, u64), (u32, Task)>,
    sequence: u64,
    pub notices: Vec<(Micros, u32, Notice)>,
    /// All nodes that were ever fenced, and the time of the first fence.
    pub fences: BTreeMap<u32, Micros>,
    pub bytes: u64,
    pub windows: u64,
}

const SERVERS: u32 = 3;

impl Fleet {
    pub fn new(config: FleetConfig, rules: &Rules, variant: impl Fn(u32) -> Variant) -> Fleet {
        let nodes = (0..config.nodes).map(|me| Self::node(me, 1, &config, rules, variant(me))).collect();
        let mut fleet = Fleet {
            now: 0,
            nodes,
            config,
            random: Random(config.seed),
            queue: BTreeMap::new(),
            sequence: 0,
            notices: Vec::new(),
            fences: BTreeMap::new(),
            bytes: 0,
            windows: 0,
        };
        (0..config.nodes).for_each(|me| fleet.start(me));
        fleet
    }

    fn node(me: u32, incarnation: u64, config: &FleetConfig, rules: &Rules, variant: Variant) -> Node {
        VARIANT.set(variant);
        let members = (0..config.nodes).collect();
        Node {
            checker: Checker::new(me, incarnation, members, config.limits),
            recorder: Recorder::new(me, config.bounds),
            controller: AnyController::fresh(&rules.settings, u64::from(me)).expect("settings"),
            variant,
            rules: rules.clone(),
            incarnation,
            up: true,
            fenced: false,
            fact: None,
            calls: 0,
            attempts: BTreeMap::new(),
            window: None,
            paused: 0,
            cut_in: 0,
            cut_out: 0,
            bit_flips_from: None,
            clock_offset: 0,
            sent: 0,
        }
    }

    fn start(&mut self, me: u32) {
        let member = |id| Member {
            server: ServerId(id),
            availability: Availability::Ready,
            started_at: None,
            place: i64::from(id % 2),
            zone: id % 3,
            kind: 0,
        };
        let list = Event::Members(ServerListUpdate::Complete((0..SERVERS).map(member).collect()));
        let offset = self.random.span(0, SECOND);
        for (after, task) in [(0, Task::Work(list)), (offset, Task::Check), (offset + 1, Task::Call)] {
            self.schedule(after, me, task);
        }
        let rules = self.nodes[me as usize].rules.clone();
        self.input(me, Input::Rules(rules));
    }

    fn schedule(&mut self, after: Micros, to: u32, task: Task) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), (to, task));
    }

    /// Reloads the rules of a node, including those of its controller.
    pub fn reload(&mut self, me: u32, rules: &Rules) {
        self.reload_partially(me, rules);
        let node = &mut self.nodes[me as usize];
        VARIANT.set(node.variant);
        node.controller = AnyController::fresh(&rules.settings, u64::from(me)).expect("settings");
        node.attempts.clear();
    }

    /// Reloads the rules of a node but not those of its controller.
    pub fn reload_partially(&mut self, me: u32, rules: &Rules) {
        let node = &mut self.nodes[me as usize];
        node.rules = rules.clone();
        node.recorder.discard();
        self.input(me, Input::Rules(rules.clone()));
    }

    /// Pauses a node.
    pub fn pause(&mut self, me: u32, span: Micros) {
        self.nodes[me as usize].paused = self.now + span;
    }

    pub fn fault(&mut self, fault: Fault, me: u32) {
        let (until, node) = (self.now + 40 * SECOND, &mut self.nodes[me as usize]);
        match fault {
            Fault::Kill => {
                node.up = false;
                self.schedule(5 * SECOND, me, Task::Restart);
            }
            Fault::Pause => node.paused = until,
            Fault::Cut => (node.cut_in, node.cut_out) = (until, until),
            Fault::CutOut => node.cut_out = until,
            Fault::CutIn => node.cut_in = until,
            Fault::Error => {}
        }
    }

    /// Delivers the node's current fact to all nodes after a delay.
    pub fn deliver_late_fact(&mut self, of: u32, after: Micros) {
        let node = &self.nodes[of as usize];
        let Some((made_at, bytes)) = node.fact.clone() else { return };
        let incarnation = node.incarnation;
        for to in 0..self.config.nodes {
            let fact = Task::Fact { from: of, incarnation, made_at, bytes: bytes.clone() };
            self.schedule(after, to, fact);
        }
    }

    pub fn restart(&mut self, me: u32, variant: Variant) {
        let (incarnation, rules) =
            (self.nodes[me as usize].incarnation + 1, self.nodes[me as usize].rules.clone());
        let bit_flips_from = self.nodes[me as usize].bit_flips_from;
        self.queue.retain(|_, (to, task)| *to != me || matches!(task, Task::Fact { .. }));
        self.nodes[me as usize] = Self::node(me, incarnation, &self.config, &rules, variant);
        self.nodes[me as usize].bit_flips_from = bit_flips_from;
        self.start(me);
    }

    /// Runs until this time.
    pub fn run(&mut self, until: Micros) {
        self.run_while(until, |_| true);
    }

    /// Runs until this time, or until `go` returns false.
    pub fn run_while(&mut self, until: Micros, go: impl Fn(&Fleet) -> bool) {
        while go(self) {
            let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until) else { break };
            let ((at, _), (to, task)) = entry.remove_entry();
            self.now = self.now.max(at);
            let node = &self.nodes[to as usize];
            if node.paused > self.now {
                let after = node.paused - self.now;
                self.schedule(after, to, task);
                continue;
            }
            self.run_task(to, task);
            self.check();
        }
    }

    /// Checks the invariant that holds after each step.
    fn check(&self) {
        let most = self.config.nodes * self.config.limits.share / 100;
        let fenced = self.nodes.iter().filter(|node| node.fenced && node.up).count();
        assert!(fenced as u32 <= most, "{fenced} nodes are fenced of {most} allowed");
    }

    fn run_task(&mut self, me: u32, task: Task) {
        let node = &mut self.nodes[me as usize];
        if !node.up && !matches!(task, Task::Restart) {
            return;
        }
        match task {
            Task::Restart => {
                let variant = node.variant;
                self.restart(me, variant);
            }
            Task::Check => {
                self.schedule(SECOND, me, Task::Check);
                let alive =
                    |(id, node): (usize, &Node)| (node.up && node.paused <= self.now).then_some(id as u32);
                let alive: BTreeSet<u32> = self.nodes.iter().enumerate().filter_map(alive).collect();
                self.input(me, Input::Alive(alive));
                self.open(me);
            }
            Task::Fact { from, incarnation, made_at, bytes } => {
                if node.cut_in <= self.now {
                    let age = self.now - made_at;
                    self.input(me, Input::FactReceived { from, incarnation, age, bytes });
                }
            }
            Task::Direct { from, bytes } => {
                if node.cut_in <= self.now {
                    self.input(me, Input::MessageReceived { from, bytes });
                }
            }
            Task::SendTree(rules, incarnation) => {
                if node.incarnation == incarnation && node.rules.version() == rules.version() {
                    VARIANT.set(node.variant);
                    let tree = tree(&rules);
                    self.input(me, Input::CasesPlayed(tree));
                }
            }
            Task::Play { from, id, window } => {
                VARIANT.set(node.variant);
                let result =
                    Window::from_bytes(&window).and_then(|window| window.play::<AnyController>(&node.rules));
                self.input(me, Input::Played { from, id, result });
            }
            Task::Call => {
                let after = self.random.span(1, 2 * self.config.call_interval);
                let node = &mut self.nodes[me as usize];
                node.calls += 1;
                let (id, class) = (CallId(node.calls), (node.calls % 3) as usize);
                let call = Call { id, class, patience: 3 * SECOND, width: 1.0, ..Call::default() };
                node.attempts.insert(id, 0);
                self.work(me, Event::Call(call));
                self.schedule(after, me, Task::Call);
            }
            Task::Work(event) => self.work(me, event),
        }
    }

    fn open(&mut self, me: u32) {
        let now = self.now;
        self.turn(me, |node| {
            let now = now + node.clock_offset;
            let (version, plan) = (node.rules.version(), node.rules.plan_digest());
            node.recorder.open(now, version, plan, &node.controller);
        });
    }

    fn work(&mut self, me: u32, event: Event) {
        let (now, mut actions, mut sealed) = (self.now, Vec::new(), None);
        let done = self.turn(me, |node| {
            let now = now + node.clock_offset;
            node.recorder.record_event(now, &event);
            node.controller.decide(now, event.clone(), &mut actions);
            if node.recorder.record_actions(now, &actions) {
                if node.bit_flips_from.is_some_and(|from| now >= from) {
                    flip_bit(&mut node.controller, &node.rules);
                }
                sealed = node.recorder.close(&node.controller);
            }
        });
        if !done {
            return;
        }
        if let Some(window) = sealed {
            self.windows += 1;
            self.input(me, Input::Sealed { number: window.number, window: window.to_bytes() });
        }
        for action in actions {
            match action {
                Action::Send { call, server, .. } => {
                    let lag = self.random.span(5_000, 60_000);
                    let node = &mut self.nodes[me as usize];
                    let attempt = node.attempts.get_mut(&call).map_or(0, |attempt| {
                        *attempt += 1;
                        *attempt - 1
                    });
                    let full = node.calls.is_multiple_of(9);
                    let (outcome, reason) = (Outcome::Full, Reason::ProcessorFull { wait: 300_000 });
                    let (closed, report) = (false, Report::default());
                    let event = match full {
                        false => Event::Started { call, attempt, server, lag },
                        true => Event::Ended { call, attempt, server, outcome, lag, closed, reason, report },
                    };
                    self.schedule(lag, me, Task::Work(event));
                }
                Action::Timer { token, delay } => self.schedule(delay, me, Task::Work(Event::Timer(token))),
                Action::Refuse { call, .. } | Action::Fail(call) => {
                    self.nodes[me as usize].attempts.remove(&call);
                }
                _ => {}
            }
        }
    }

    /// Runs a turn of a node's process. Returns `false` if the process ended in it.
    fn turn(&mut self, me: u32, turn: impl FnOnce(&mut Node)) -> bool {
        let node = &mut self.nodes[me as usize];
        VARIANT.set(node.variant);
        scene::turn(me as usize);
        let ended = catch_unwind(AssertUnwindSafe(|| turn(node)));
        if let Err(cause) = ended {
            if !cause.is::<scene::Killed>() {
                resume_unwind(cause);
            }
        }
        if let Some((fault, _)) = scene::fired() {
            self.fault(fault, me);
        }
        self.nodes[me as usize].up
    }

    fn input(&mut self, me: u32, input: Input) {
        let (now, mut out) = (self.now, Vec::new());
        if !self.turn(me, |node| node.checker.handle(now + node.clock_offset, input, &mut out)) {
            return;
        }
        for output in out {
            self.handle_output(me, output);
        }
    }

    fn handle_output(&mut self, me: u32, output: Output) {
        let others = (0..self.config.nodes).filter(|&to| to != me);
        let (cut, incarnation) =
            (self.nodes[me as usize].cut_out > self.now, self.nodes[me as usize].incarnation);
        match output {
            Output::Publish(bytes) => {
                assert!(bytes.len() <= 160, "a fact of {} bytes", bytes.len());
                self.nodes[me as usize].fact = Some((self.now, bytes.clone()));
                self.bytes += bytes.len() as u64;
                if cut {
                    return;
                }
                for to in others {
                    let after = self.random.span(100_000, 2 * SECOND);
                    let fact = Task::Fact { from: me, incarnation, made_at: self.now, bytes: bytes.clone() };
                    self.schedule(after, to, fact);
                }
            }
            Output::SendMessage { to, bytes } => {
                assert!(bytes.len() <= 16 << 10, "a message of {} bytes", bytes.len());
                self.bytes += bytes.len() as u64;
                // Messages may be lost, duplicated and reordered.
                let copies = [1, 1, 1, 1, 1, 1, 1, 1, 0, 2][self.random.below(10) as usize];
                for _ in 0..if cut { 0 } else { copies } {
                    let after = self.random.span(1_000, 50_000);
                    self.schedule(after, to, Task::Direct { from: me, bytes: bytes.clone() });
                }
            }
            Output::Cases => {
                let rules = self.nodes[me as usize].rules.clone();
                self.schedule(SECOND, me, Task::SendTree(rules, incarnation));
            }
            Output::PlayWindow { from, id, window } => {
                self.schedule(SECOND / 5, me, Task::Play { from, id, window });
            }
            Output::Fence(fence) => {
                self.nodes[me as usize].fenced = fence.is_some();
                if fence.is_some() {
                    let now = self.now;
                    self.fences.entry(me).or_insert(now);
                }
            }
            Output::Notice(notice) => self.notices.push((self.now, me, notice)),
        }
    }

    /// Returns the time of the first matching notice.
    pub fn first_notice(&self, of: impl Fn(u32, &Notice) -> bool) -> Option<Micros> {
        self.notices.iter().find(|(_, me, notice)| of(*me, notice)).map(|(at, ..)| *at)
    }

    /// Whether no notice reports a fault and no node was fenced.
    pub fn raises_no_alarm(&self) -> bool {
        self.fences.is_empty()
            && self.notices.iter().all(|(.., notice)| {
                matches!(notice, Notice::Version(_) | Notice::Versions { .. } | Notice::OneVersion { .. })
            })
    }
}

/// Flips a bit of what the controller knows of a server.
fn flip_bit(controller: &mut AnyController, rules: &Rules) {
    let mut bytes = postcard::to_stdvec(controller).expect("a state");
    let settings = postcard::to_stdvec(&rules.settings).expect("settings").len();
    // Flips the first bit after the settings that leaves a decodable state.
    for at in settings + 40..bytes.len() {
        bytes[at] ^= 1;
        if let Ok(changed) = postcard::from_bytes::<AnyController>(&bytes) {
            *controller = changed;
            return;
        }
        bytes[at] ^= 1;
    }
}
