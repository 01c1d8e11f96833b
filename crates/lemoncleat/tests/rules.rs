//! Property tests: the five rules hold for arbitrary valid sequences of events.

mod common;

use std::collections::BTreeMap;

use common::{call, member, settings, MS, S};
use lemoncleat::{
    Action, Availability, Call, CallId, Class, Controller, Event, Micros, Outcome, Reason, Report, ServerId,
    ServerListUpdate, Settings,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SERVERS: u32 = 3;

/// A step of a random sequence. An index selects, modulo their number, one of the attempts or calls that
/// exist when the step is taken.
#[derive(Clone, Debug)]
enum Step {
    Pass(Micros),
    Call { class: usize, destination: i64, patience: Micros, bits: u8 },
    Start(usize),
    End(usize, Outcome, Reason),
    HangUp(usize),
    Change(u32, Availability, bool),
    Complete(u8),
    Free(u32, f64),
    Note(Vec<u8>),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just((Outcome::Full, Reason::NoCircuit)),
        Just((Outcome::Full, Reason::ProcessorFull { wait: 700 * MS })),
        Just((Outcome::Full, Reason::TurnedBack { far_processor: true })),
        Just((Outcome::Error, Reason::None)),
        Just((Outcome::Error, Reason::LinesBusy)),
        Just((Outcome::Unreachable, Reason::None)),
        Just((Outcome::Reset, Reason::None)),
        Just((Outcome::Moot, Reason::None)),
    ];
    let state =
        prop_oneof![Just(Availability::Ready), Just(Availability::Draining), Just(Availability::Gone)];
    prop_oneof![
        4 => (0..900 * MS).prop_map(Step::Pass),
        6 => (0usize..2, 0i64..4, 1..4 * S, 0u8..8)
            .prop_map(|(class, destination, patience, bits)|
                Step::Call { class, destination, patience, bits }),
        4 => any::<usize>().prop_map(Step::Start),
        4 => (any::<usize>(), outcome).prop_map(|(at, (outcome, reason))| Step::End(at, outcome, reason)),
        1 => any::<usize>().prop_map(Step::HangUp),
        2 => (0..SERVERS, state, any::<bool>())
            .prop_map(|(server, state, fresh)| Step::Change(server, state, fresh)),
        1 => any::<u8>().prop_map(Step::Complete),
        1 => (0..SERVERS, -1.0..9.0f64).prop_map(|(server, free)| Step::Free(server, free)),
        1 => proptest::collection::vec(any::<u8>(), 0..20).prop_map(Step::Note),
    ]
}

struct Attempt {
    call: u64,
    number: u32,
    server: u32,
    sent: Micros,
    patience_ends: Micros,
    cancelled: bool,
}

#[derive(Default)]
struct PendingCall {
    patience_ends: Micros,
    attempts: u32,
    /// The earliest time of the next attempt.
    not_before: Micros,
}

/// A host that checks the rules at every event and action.
struct Host {
    controller: Controller,
    settings: Settings,
    now: Micros,
    timers: Vec<(Micros, u64)>,
    pending: BTreeMap<u64, PendingCall>,
    active: Vec<Attempt>,
    standing: Vec<Attempt>,
    states: BTreeMap<u32, Availability>,
    cold_since: BTreeMap<u32, Micros>,
    cold_sends: BTreeMap<u32, Vec<Micros>>,
    next: u64,
}

impl Host {
    fn new(settings: Settings, seed: u64) -> Self {
        let controller = Controller::new(settings.clone(), seed).expect("usable settings");
        let states = (0..SERVERS).map(|server| (server, Availability::Ready)).collect();
        let mut host = Host {
            controller,
            settings,
            now: 50 * S,
            timers: Vec::new(),
            pending: BTreeMap::new(),
            active: Vec::new(),
            standing: Vec::new(),
            states,
            cold_since: BTreeMap::new(),
            cold_sends: BTreeMap::new(),
            next: 0,
        };
        let members = (0..SERVERS).map(|server| member(server, Availability::Ready, None)).collect();
        host.deliver(Event::Members(ServerListUpdate::Complete(members)));
        host
    }

    fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Send { call: CallId(call), server: ServerId(server), .. } => {
                assert!(self.active.iter().all(|active| active.call != call), "rule 2: two attempts out");
                let pending = self.pending.get_mut(&call).expect("rule 1: a send for an answered call");
                assert_eq!(self.states[&server], Availability::Ready, "rule 3: sent to {server}");
                assert!(self.now >= pending.not_before, "rule 5: sent before the release");
                assert!(pending.attempts < self.settings.max_attempts);
                let (number, sent, patience_ends) = (pending.attempts, self.now, pending.patience_ends);
                pending.attempts += 1;
                self.active.push(Attempt { call, number, server, sent, patience_ends, cancelled: false });
                self.check_cold_send(server);
            }
            Action::Refuse { call, .. } | Action::Fail(call) => {
                assert!(self.pending.remove(&call.0).is_some(), "rule 1: a second answer");
                assert!(
                    self.active.iter().all(|active| active.call != call.0),
                    "answered with an attempt out"
                );
            }
            Action::Cancel { call, attempt } => {
                let found =
                    self.active.iter_mut().find(|active| (active.call, active.number) == (call.0, attempt));
                if let Some(active) = found {
                    active.cancelled = true;
                }
            }
            Action::Timer { token, delay } => self.timers.push((self.now + delay.max(1), token)),
            Action::Tell { bytes, .. } => assert!(self.settings.may_tell && bytes.len() <= 256),
            Action::Probe(_) => assert!(self.settings.may_probe),
            Action::Log(_) | Action::Watch(_) | Action::Fetch => {}
        }
    }

    /// Checks rule 4 for one node: in any window, its sends to a cold server stay within its share of the
    /// limit. The limit is that of a server that handles 10 set-ups per second when warm, the lowest rate
    /// that the controller assumes.
    fn check_cold_send(&mut self, server: u32) {
        let Some(&since) = self.cold_since.get(&server) else { return };
        if self.now - since >= self.settings.cold_span {
            return;
        }
        let sends = self.cold_sends.entry(server).or_default();
        sends.push(self.now);
        let from = self.now - self.settings.fall_span;
        let window = sends.iter().filter(|&&sent| sent > from).count() as f64;
        let rate = 10.0 * self.settings.cold_from * self.settings.fall_multiple;
        let part = rate * self.settings.fall_span as f64 / 1e6 / f64::from(self.settings.balancers);
        assert!(window <= part.max(1.0) + 1.0, "rule 4: {window} sends of {part} in a window");
    }

    /// Advances the clock. Timers expire, and attempts end at the caller's deadline or after a cancel.
    fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let timer = self.timers.iter().map(|&(due, _)| due).min().unwrap_or(Micros::MAX);
            let over = self.active.iter().map(|active| active.patience_ends).min().unwrap_or(Micros::MAX);
            let cancelled = self.active.iter().any(|active| active.cancelled);
            let next = if cancelled { self.now + MS } else { timer.min(over) };
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if let Some(at) = self.active.iter().position(|active| active.cancelled) {
                self.end(at, Outcome::Cancelled, Reason::None);
            } else if let Some(at) = self.active.iter().position(|active| active.patience_ends <= self.now) {
                self.end(at, Outcome::TimedOut, Reason::None);
            } else if let Some(at) = self.timers.iter().position(|&(due, _)| due <= self.now) {
                let (_, token) = self.timers.remove(at);
                self.deliver(Event::Timer(token));
            }
            self.check_deadlines();
        }
        self.now = end;
        self.check_deadlines();
    }

    fn check_deadlines(&self) {
        let slack = 20 * MS;
        assert!(
            self.pending.values().all(|pending| self.now <= pending.patience_ends + slack),
            "rule 1: no answer in time"
        );
    }

    fn end(&mut self, at: usize, outcome: Outcome, reason: Reason) {
        let ended = self.active.remove(at);
        if let Some(pending) = self.pending.get_mut(&ended.call) {
            if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                pending.not_before = self.now + self.settings.release;
            }
        }
        let closed = !self.pending.contains_key(&ended.call);
        self.outcome(ended, outcome, reason, closed);
    }

    fn outcome(&mut self, ended: Attempt, outcome: Outcome, reason: Reason, closed: bool) {
        let (call, server) = (CallId(ended.call), ServerId(ended.server));
        let (attempt, lag, report) = (ended.number, self.now - ended.sent, Report::default());
        self.deliver(Event::Ended { call, attempt, server, outcome, lag, closed, reason, report });
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Pass(span) => self.advance(span),
            Step::Call { class, destination, patience, bits } => {
                self.next += 1;
                let id = self.next;
                self.pending
                    .insert(id, PendingCall { patience_ends: self.now + patience, ..PendingCall::default() });
                let (redialled, cut, in_transit) = (bits & 1 > 0, bits & 2 > 0, bits & 4 > 0);
                let in_transit = in_transit && self.settings.home.is_some();
                let base = call(id, class, destination);
                self.deliver(Event::Call(Call { patience, redialled, cut, in_transit, ..base }));
            }
            Step::Start(at) if !self.active.is_empty() => {
                let active = self.active.remove(at % self.active.len());
                let lag = self.now - active.sent;
                self.pending.remove(&active.call);
                let (call, server) = (CallId(active.call), ServerId(active.server));
                self.deliver(Event::Started { call, attempt: active.number, server, lag });
                self.standing.push(active);
            }
            Step::End(at, outcome, reason) => {
                if at % 2 == 0 && !self.standing.is_empty() {
                    let ended = self.standing.remove(at % self.standing.len());
                    self.outcome(ended, Outcome::Ok, Reason::None, true);
                } else if !self.active.is_empty() {
                    self.end(at % self.active.len(), outcome, reason);
                }
            }
            Step::HangUp(at) if !self.pending.is_empty() => {
                let id =
                    self.pending.keys().nth(at % self.pending.len()).copied().expect("an unanswered call");
                self.pending.remove(&id);
                self.deliver(Event::CallerGone(CallId(id)));
            }
            Step::Start(_) | Step::HangUp(_) => {}
            Step::Change(server, state, fresh) => {
                self.states.insert(server, state);
                let started = (fresh && state == Availability::Ready).then_some(self.now);
                if let Some(started) = started {
                    self.cold_since.insert(server, started);
                    self.cold_sends.remove(&server);
                }
                let started = self.cold_since.get(&server).copied();
                self.deliver(Event::Members(ServerListUpdate::Changes(vec![member(server, state, started)])));
            }
            Step::Complete(mask) => {
                let mut members = Vec::new();
                for server in 0..SERVERS {
                    let there = mask & (1 << server) != 0;
                    let state = if there { Availability::Ready } else { Availability::Gone };
                    self.states.insert(server, state);
                    if there {
                        members.push(member(server, state, self.cold_since.get(&server).copied()));
                    }
                }
                self.deliver(Event::Members(ServerListUpdate::Complete(members)));
            }
            Step::Free(server, free) => {
                let report = Report { free: (free >= 0.0).then_some(free), ..Report::default() };
                self.deliver(Event::Probed {
                    server: ServerId(server),
                    outcome: Outcome::Ok,
                    lag: 0,
                    report,
                });
            }
            Step::Note(bytes) => self.deliver(Event::Note { from: 1, bytes }),
        }
        self.check_deadlines();
    }
}

/// Runs random sequences of steps from a fixed seed, and checks that every call has been answered at the end.
fn check_rules(settings: &Settings) {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let sequences = (any::<u64>(), proptest::collection::vec(step(), 1..150));
    let outcome = runner.run(&sequences, |(seed, steps)| {
        let mut host = Host::new(settings.clone(), seed);
        for step in steps {
            host.step(step);
        }
        host.advance(10 * S);
        prop_assert!(host.pending.is_empty(), "rule 1: calls without an answer");
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

#[test]
fn keeps_rules_with_pools() {
    check_rules(&Settings { balancers: 4, may_tell: true, may_probe: true, ..settings() });
}

#[test]
fn keeps_rules_for_any_number_of_nodes() {
    for balancers in [1, 7, 265] {
        check_rules(&Settings { balancers, ..settings() });
    }
}

/// Returns the rate at which one node sends set-ups to a cold server, and the limit of rule 4 for all nodes.
/// The node first gets its even share of a warm server's traffic, and reports of all nodes' lines if
/// `lines_reported`. Then the server restarts, and the node gets more calls than it may send.
fn cold_send_rate(balancers: u32, own_number: u32, rate: f64, lines_reported: bool, seed: u64) -> (f64, f64) {
    let base = settings();
    let classes = base.classes.iter().map(|class| Class { length: 8 * S, ..class.clone() }).collect();
    let settings = Settings { classes, balancers, own_number, ..base };
    let mut controller = Controller::new(settings.clone(), seed).expect("usable settings");
    let (mut actions, mut now, mut id) = (Vec::new(), 50 * S, 0);
    let start = vec![member(0, Availability::Ready, None)];
    controller.handle(now, Event::Members(ServerListUpdate::Complete(start)), &mut actions);
    let own = rate / f64::from(balancers);
    let mut chance = seed;
    while now < 110 * S {
        // The node's calls arrive at random, with exponential intervals.
        chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let draw = ((chance >> 11) as f64 / (1u64 << 53) as f64).max(1e-9);
        now += (-draw.ln() / own * 1e6) as Micros;
        if lines_reported {
            let busy = rate * 8.0;
            let report = Report { free: Some(200.0), lines: Some(200.0 + busy), ..Report::default() };
            controller.handle(
                now,
                Event::Probed { server: ServerId(0), outcome: Outcome::Ok, lag: 0, report },
                &mut actions,
            );
        }
        id += 1;
        actions.clear();
        controller.handle(now, Event::Call(call(id, 1, 0)), &mut actions);
        if actions.iter().any(|action| matches!(action, Action::Send { .. })) {
            let (call, server, lag) = (CallId(id), ServerId(0), 20 * MS);
            controller.handle(now + lag, Event::Started { call, attempt: 0, server, lag }, &mut actions);
        }
    }
    let fresh = vec![member(0, Availability::Ready, Some(now))];
    controller.handle(now, Event::Members(ServerListUpdate::Changes(fresh)), &mut actions);
    let mut sends = 0;
    for step in 0..500 {
        id += 1;
        actions.clear();
        controller.handle(now + step * 10 * MS, Event::Call(call(id, 1, 0)), &mut actions);
        controller.handle(now + step * 10 * MS, Event::Timer(1), &mut actions);
        for action in &actions {
            if let Action::Send { call, server, .. } = *action {
                sends += 1;
                let (at, lag) = (now + step * 10 * MS, 10 * MS);
                controller.handle(at, Event::Started { call, attempt: 0, server, lag }, &mut Vec::new());
            }
        }
    }
    (f64::from(sends) / 5.0, rate * settings.cold_from * settings.fall_multiple)
}

#[test]
fn all_nodes_together_stay_within_the_limit_of_a_cold_server() {
    for (balancers, rate) in [(1, 40.0), (7, 40.0), (70, 40.0), (265, 40.0), (265, 90.0)] {
        for lines_reported in [true, false] {
            // The fleet's rate is the sum of its nodes' rates. At most 60 nodes are simulated and scaled up.
            let nodes = balancers.min(60);
            let one = |node| {
                let own_number = node * balancers / nodes;
                cold_send_rate(balancers, own_number, rate, lines_reported, u64::from(node) + 1)
            };
            let all: f64 = (0..nodes).map(|node| one(node).0).sum();
            let fleet = all * f64::from(balancers) / f64::from(nodes);
            let limit = one(0).1;
            assert!(
                fleet <= limit,
                "{fleet} set-ups per second by {balancers} nodes exceed {limit}, reports: {lines_reported}"
            );
            assert!(fleet > 0.0, "the cold server gets some traffic");
        }
    }
}

#[test]
fn keeps_rules_in_a_mesh() {
    check_rules(&Settings { balancers: 4, home: Some(3), ..settings() });
}

#[test]
fn keeps_rules_for_a_single_node_without_cancel() {
    check_rules(&Settings { may_cancel: false, repeat: 0, max_attempts: 6, ..settings() });
}

#[test]
fn gives_the_same_actions_for_the_same_events_and_seed() {
    let run = || {
        let mut controller = Controller::new(settings(), 5).expect("usable settings");
        let mut actions = Vec::new();
        let members = (0..SERVERS).map(|server| member(server, Availability::Ready, None)).collect();
        controller.handle(0, Event::Members(ServerListUpdate::Complete(members)), &mut actions);
        for id in 0..200 {
            let now = id as Micros * 7 * MS;
            controller.handle(now, Event::Call(call(id, (id % 2) as usize, (id % 3) as i64)), &mut actions);
            controller.handle(now, Event::Timer(1), &mut actions);
        }
        actions
    };
    let actions = run();
    assert!(actions.len() > 200);
    assert_eq!(actions, run());
}
