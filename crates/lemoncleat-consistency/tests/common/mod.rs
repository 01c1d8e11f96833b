//! A small fleet under a virtual clock, with a network that delays, loses, repeats and reorders.
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

/// What a node's process decides with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Flavour {
    Right,
    /// One constant of the module differs.
    Patched,
    /// Its actions come in an order that hangs on the process's hash seed.
    Hashed(u64),
}

thread_local! {
    /// Of the process that has the turn.
    static FLAVOUR: Cell<Flavour> = const { Cell::new(Flavour::Right) };
    static TREES: RefCell<BTreeMap<(Digest, Flavour), Tree>> = const { RefCell::new(BTreeMap::new()) };
}

pub enum Any {
    Right(Box<Controller>),
    Patched(Box<patched::decide::Controller>),
}

impl Serialize for Any {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        match self {
            Any::Right(one) => one.serialize(to),
            Any::Patched(one) => one.serialize(to),
        }
    }
}

impl<'de> Deserialize<'de> for Any {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        Ok(match FLAVOUR.get() {
            Flavour::Patched => Any::Patched(Deserialize::deserialize(from)?),
            _ => Any::Right(Deserialize::deserialize(from)?),
        })
    }
}

impl Decider for Any {
    fn fresh(settings: &Settings, seed: u64) -> Option<Self> {
        Some(match FLAVOUR.get() {
            Flavour::Patched => {
                Any::Patched(Box::new(patched::decide::Controller::new(settings.clone(), seed).ok()?))
            }
            _ => Any::Right(Box::new(Controller::new(settings.clone(), seed).ok()?)),
        })
    }

    fn decide(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match self {
            Any::Right(one) => one.handle(now, event, actions),
            Any::Patched(one) => one.handle(now, event, actions),
        }
        if let Flavour::Hashed(salt) = FLAVOUR.get() {
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
    let key = (rules.version(), FLAVOUR.get());
    let known = TREES.with_borrow(|trees| trees.get(&key).cloned());
    known.unwrap_or_else(|| {
        let tree = Cases::<Any>::tree(rules);
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
enum What {
    Look,
    Fact { from: u32, incarnation: u64, said: Micros, bytes: Vec<u8> },
    Direct { from: u32, bytes: Vec<u8> },
    Proved(Rules, u64),
    Play { from: u32, id: u64, window: Vec<u8> },
    Work(Event),
    Call,
    Restart,
}

pub struct Node {
    pub checker: Checker<Any>,
    pub recorder: Recorder,
    pub controller: Any,
    pub flavour: Flavour,
    /// The rules that it says it runs by.
    pub rules: Rules,
    pub incarnation: u64,
    pub up: bool,
    pub fenced: bool,
    fact: Option<(Micros, Vec<u8>)>,
    calls: u64,
    attempts: BTreeMap<CallId, u32>,
    window: Option<u32>,
    /// No turn until then.
    paused: Micros,
    cut_in: Micros,
    cut_out: Micros,
    /// Flip a bit of its state in every window from then on.
    pub flips: Option<Micros>,
    /// Its own clock against the world's.
    pub ahead: Micros,
    sent: u64,
}

/// How the fleet is made.
#[derive(Clone, Copy)]
pub struct Shape {
    pub nodes: u32,
    pub limits: Limits,
    pub bounds: Bounds,
    /// Between two calls at a node.
    pub gap: Micros,
    pub seed: u64,
}

impl Shape {
    pub fn new(nodes: u32, seed: u64) -> Shape {
        let limits = Limits { fences: true, share: 34, ..Limits::default() };
        let bounds = Bounds { every: 20 * SECOND, span: 2 * SECOND, ..Bounds::default() };
        Shape { nodes, limits, bounds, gap: SECOND / 3, seed }
    }
}

pub struct Fleet {
    pub now: Micros,
    pub nodes: Vec<Node>,
    shape: Shape,
    random: Random,
    agenda: BTreeMap<(Micros, u64), (u32, What)>,
    written: u64,
    pub notices: Vec<(Micros, u32, Notice)>,
    /// Whoever was ever fenced, and when first.
    pub fences: BTreeMap<u32, Micros>,
    pub bytes: u64,
    pub windows: u64,
}

const SERVERS: u32 = 3;

impl Fleet {
    pub fn new(shape: Shape, rules: &Rules, flavour: impl Fn(u32) -> Flavour) -> Fleet {
        let nodes = (0..shape.nodes).map(|me| Self::node(me, 1, &shape, rules, flavour(me))).collect();
        let mut fleet = Fleet {
            now: 0,
            nodes,
            shape,
            random: Random(shape.seed),
            agenda: BTreeMap::new(),
            written: 0,
            notices: Vec::new(),
            fences: BTreeMap::new(),
            bytes: 0,
            windows: 0,
        };
        (0..shape.nodes).for_each(|me| fleet.start(me));
        fleet
    }

    fn node(me: u32, incarnation: u64, shape: &Shape, rules: &Rules, flavour: Flavour) -> Node {
        FLAVOUR.set(flavour);
        let members = (0..shape.nodes).collect();
        Node {
            checker: Checker::new(me, incarnation, members, shape.limits),
            recorder: Recorder::new(me, shape.bounds),
            controller: Any::fresh(&rules.settings, u64::from(me)).expect("settings"),
            flavour,
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
            flips: None,
            ahead: 0,
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
        let list = Event::Members(MemberNews::Complete((0..SERVERS).map(member).collect()));
        let offset = self.random.span(0, SECOND);
        for (after, what) in [(0, What::Work(list)), (offset, What::Look), (offset + 1, What::Call)] {
            self.write(after, me, what);
        }
        let rules = self.nodes[me as usize].rules.clone();
        self.input(me, Input::Rules(rules));
    }

    fn write(&mut self, after: Micros, to: u32, what: What) {
        self.written += 1;
        self.agenda.insert((self.now + after, self.written), (to, what));
    }

    /// Other rules for a node, taken whole: also by its controller.
    pub fn reload(&mut self, me: u32, rules: &Rules) {
        self.reload_half(me, rules);
        let node = &mut self.nodes[me as usize];
        FLAVOUR.set(node.flavour);
        node.controller = Any::fresh(&rules.settings, u64::from(me)).expect("settings");
        node.attempts.clear();
    }

    /// Other rules that the controller doesn't learn of.
    pub fn reload_half(&mut self, me: u32, rules: &Rules) {
        let node = &mut self.nodes[me as usize];
        node.rules = rules.clone();
        node.recorder.give_up();
        self.input(me, Input::Rules(rules.clone()));
    }

    /// No turn for so long.
    pub fn pause(&mut self, me: u32, span: Micros) {
        self.nodes[me as usize].paused = self.now + span;
    }

    pub fn fault(&mut self, fault: Fault, me: u32) {
        let (until, node) = (self.now + 40 * SECOND, &mut self.nodes[me as usize]);
        match fault {
            Fault::Kill => {
                node.up = false;
                self.write(5 * SECOND, me, What::Restart);
            }
            Fault::Pause => node.paused = until,
            Fault::Cut => (node.cut_in, node.cut_out) = (until, until),
            Fault::CutOut => node.cut_out = until,
            Fault::CutIn => node.cut_in = until,
            Fault::Error => {}
        }
    }

    /// A word of this node's from a moment ago, that arrives after so long.
    pub fn late_word(&mut self, of: u32, after: Micros) {
        let node = &self.nodes[of as usize];
        let Some((said, bytes)) = node.fact.clone() else { return };
        let incarnation = node.incarnation;
        for to in 0..self.shape.nodes {
            let fact = What::Fact { from: of, incarnation, said, bytes: bytes.clone() };
            self.write(after, to, fact);
        }
    }

    pub fn restart(&mut self, me: u32, flavour: Flavour) {
        let (incarnation, rules) =
            (self.nodes[me as usize].incarnation + 1, self.nodes[me as usize].rules.clone());
        let flips = self.nodes[me as usize].flips;
        self.agenda.retain(|_, (to, what)| *to != me || matches!(what, What::Fact { .. }));
        self.nodes[me as usize] = Self::node(me, incarnation, &self.shape, &rules, flavour);
        self.nodes[me as usize].flips = flips;
        self.start(me);
    }

    /// Plays on until this moment.
    pub fn run(&mut self, until: Micros) {
        self.run_while(until, |_| true);
    }

    /// Plays on until this moment, or until `go` says no.
    pub fn run_while(&mut self, until: Micros, go: impl Fn(&Fleet) -> bool) {
        while go(self) {
            let Some(entry) = self.agenda.first_entry().filter(|entry| entry.key().0 <= until) else { break };
            let ((at, _), (to, what)) = entry.remove_entry();
            self.now = self.now.max(at);
            let node = &self.nodes[to as usize];
            if node.paused > self.now {
                let after = node.paused - self.now;
                self.write(after, to, what);
                continue;
            }
            self.happen(to, what);
            self.check();
        }
    }

    /// What holds after each step.
    fn check(&self) {
        let most = self.shape.nodes * self.shape.limits.share / 100;
        let fenced = self.nodes.iter().filter(|node| node.fenced && node.up).count();
        assert!(fenced as u32 <= most, "{fenced} nodes are fenced of {most} allowed");
    }

    fn happen(&mut self, me: u32, what: What) {
        let node = &mut self.nodes[me as usize];
        if !node.up && !matches!(what, What::Restart) {
            return;
        }
        match what {
            What::Restart => {
                let flavour = node.flavour;
                self.restart(me, flavour);
            }
            What::Look => {
                self.write(SECOND, me, What::Look);
                let alive =
                    |(id, node): (usize, &Node)| (node.up && node.paused <= self.now).then_some(id as u32);
                let alive: BTreeSet<u32> = self.nodes.iter().enumerate().filter_map(alive).collect();
                self.input(me, Input::Alive(alive));
                self.open(me);
            }
            What::Fact { from, incarnation, said, bytes } => {
                if node.cut_in <= self.now {
                    let age = self.now - said;
                    self.input(me, Input::Heard { from, incarnation, age, bytes });
                }
            }
            What::Direct { from, bytes } => {
                if node.cut_in <= self.now {
                    self.input(me, Input::Direct { from, bytes });
                }
            }
            What::Proved(rules, incarnation) => {
                if node.incarnation == incarnation && node.rules.version() == rules.version() {
                    FLAVOUR.set(node.flavour);
                    let tree = tree(&rules);
                    self.input(me, Input::Proved(tree));
                }
            }
            What::Play { from, id, window } => {
                FLAVOUR.set(node.flavour);
                let result = Window::from_bytes(&window).and_then(|window| window.play::<Any>(&node.rules));
                self.input(me, Input::Played { from, id, result });
            }
            What::Call => {
                let after = self.random.span(1, 2 * self.shape.gap);
                let node = &mut self.nodes[me as usize];
                node.calls += 1;
                let (id, class) = (CallId(node.calls), (node.calls % 3) as usize);
                let call = Call { id, class, patience: 3 * SECOND, width: 1.0, ..Call::default() };
                node.attempts.insert(id, 0);
                self.work(me, Event::Call(call));
                self.write(after, me, What::Call);
            }
            What::Work(event) => self.work(me, event),
        }
    }

    fn open(&mut self, me: u32) {
        let now = self.now;
        self.turn(me, |node| {
            let now = now + node.ahead;
            let (version, plan) = (node.rules.version(), node.rules.plan_digest());
            node.recorder.open(now, version, plan, &node.controller);
        });
    }

    fn work(&mut self, me: u32, event: Event) {
        let (now, mut actions, mut sealed) = (self.now, Vec::new(), None);
        let done = self.turn(me, |node| {
            let now = now + node.ahead;
            node.recorder.event(now, &event);
            node.controller.decide(now, event.clone(), &mut actions);
            if node.recorder.acted(now, &actions) {
                if node.flips.is_some_and(|from| now >= from) {
                    flip(&mut node.controller, &node.rules);
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
                    self.write(lag, me, What::Work(event));
                }
                Action::Timer { token, delay } => self.write(delay, me, What::Work(Event::Timer(token))),
                Action::Refuse { call, .. } | Action::Fail(call) => {
                    self.nodes[me as usize].attempts.remove(&call);
                }
                _ => {}
            }
        }
    }

    /// A turn of a node's process. `false` where it ended in it.
    fn turn(&mut self, me: u32, turn: impl FnOnce(&mut Node)) -> bool {
        let node = &mut self.nodes[me as usize];
        FLAVOUR.set(node.flavour);
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
        if !self.turn(me, |node| node.checker.handle(now + node.ahead, input, &mut out)) {
            return;
        }
        for output in out {
            self.carry(me, output);
        }
    }

    fn carry(&mut self, me: u32, output: Output) {
        let others = (0..self.shape.nodes).filter(|&to| to != me);
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
                    let fact = What::Fact { from: me, incarnation, said: self.now, bytes: bytes.clone() };
                    self.write(after, to, fact);
                }
            }
            Output::Direct { to, bytes } => {
                assert!(bytes.len() <= 16 << 10, "a message of {} bytes", bytes.len());
                self.bytes += bytes.len() as u64;
                // Some are lost, some come twice, and not in order.
                let copies = [1, 1, 1, 1, 1, 1, 1, 1, 0, 2][self.random.below(10) as usize];
                for _ in 0..if cut { 0 } else { copies } {
                    let after = self.random.span(1_000, 50_000);
                    self.write(after, to, What::Direct { from: me, bytes: bytes.clone() });
                }
            }
            Output::Cases => {
                let rules = self.nodes[me as usize].rules.clone();
                self.write(SECOND, me, What::Proved(rules, incarnation));
            }
            Output::Play { from, id, window } => {
                self.write(SECOND / 5, me, What::Play { from, id, window });
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

    /// When a notice of this kind first stood in a log.
    pub fn first(&self, of: impl Fn(u32, &Notice) -> bool) -> Option<Micros> {
        self.notices.iter().find(|(_, me, notice)| of(*me, notice)).map(|(at, ..)| *at)
    }

    /// Nothing that blames anybody.
    pub fn quiet(&self) -> bool {
        self.fences.is_empty()
            && self.notices.iter().all(|(.., notice)| {
                matches!(notice, Notice::Version(_) | Notice::Versions { .. } | Notice::OneVersion { .. })
            })
    }
}

/// A bit of what the controller knows of a server changes.
fn flip(controller: &mut Any, rules: &Rules) {
    let mut bytes = postcard::to_stdvec(controller).expect("a state");
    let settings = postcard::to_stdvec(&rules.settings).expect("settings").len();
    // An exponent's bit somewhere behind the settings; the first place that leaves a readable state.
    for at in settings + 40..bytes.len() {
        bytes[at] ^= 1;
        if let Ok(changed) = postcard::from_bytes::<Any>(&bytes) {
            *controller = changed;
            return;
        }
        bytes[at] ^= 1;
    }
}
