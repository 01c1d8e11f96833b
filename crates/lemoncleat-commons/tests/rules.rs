//! Runs the rules check in a small network on a virtual clock: versions are reported, deviating nodes are
//! reported and fenced.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lemoncleat::{Action, Class, Controller, Event, Settings as Module};
use lemoncleat_commons::{Figures, FleetNode, Micros, RulesCheck, Said, Settings, VoterRole};
use lemoncleat_consistency::{Decider, Limits, PlanEntry, Rules};
use lemoncleat_fleet::Member;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

thread_local! {
    /// Whether the node that is running uses a longer time-out than its rules specify.
    static FAULTY: Cell<bool> = const { Cell::new(false) };
}

/// The call controller, with a wrong time-out at faulty nodes.
#[derive(Serialize, Deserialize)]
struct TestDecider(Controller);

impl Decider for TestDecider {
    fn fresh(settings: &Module, seed: u64) -> Option<Self> {
        Controller::new(settings.clone(), seed).ok().map(TestDecider)
    }

    fn decide(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.0.handle(now, event, actions);
        for action in actions.iter_mut().filter(|_| FAULTY.get()) {
            if let Action::Send { timeout, .. } = action {
                *timeout += 1;
            }
        }
    }
}

fn rules(worth: f64) -> Rules {
    let class = Class { aim: 1_500 * MS, deadline: 9 * SECOND, worth, length: SECOND, ..Class::default() };
    let settings = Module { classes: vec![class], max_attempts: 3, ..Module::default() };
    Rules { settings, plan: vec![PlanEntry { prefix: "351".into(), class: 0, pool: 0 }] }
}

/// A delivery: receiver, sender, and a message or whether the connection was established.
type Delivery = (usize, usize, Result<Vec<u8>, bool>);

struct Net {
    parts: Vec<Option<FleetNode>>,
    faulty: BTreeSet<usize>,
    worth: Vec<f64>,
    fences: bool,
    rng: SmallRng,
    now: Micros,
    /// Deliveries by arrival time and sequence number.
    in_flight: BTreeMap<(Micros, u64), Delivery>,
    /// The node that is paused, and the deliveries held back for it.
    paused: Option<(usize, Vec<Delivery>)>,
    sequence: u64,
    links: BTreeSet<(usize, usize)>,
    last_arrival: BTreeMap<(usize, usize), Micros>,
    log: Vec<(Micros, usize, String)>,
    fenced: BTreeMap<usize, Option<Micros>>,
}

impl Net {
    fn new(count: usize, seed: u64, fences: bool, faulty: &[usize], worth: impl Fn(usize) -> f64) -> Net {
        let mut net = Net {
            parts: (0..count).map(|_| None).collect(),
            faulty: faulty.iter().copied().collect(),
            worth: (0..count).map(worth).collect(),
            fences,
            rng: SmallRng::seed_from_u64(seed),
            now: SECOND,
            in_flight: BTreeMap::new(),
            paused: None,
            sequence: 0,
            links: BTreeSet::new(),
            last_arrival: BTreeMap::new(),
            log: Vec::new(),
            fenced: BTreeMap::new(),
        };
        (0..count).for_each(|at| net.start(at, 1));
        net
    }

    fn start(&mut self, at: usize, start: u32) {
        let name = |at: usize| -> Arc<str> { format!("n{at}").into() };
        let count = self.parts.len();
        let members = (0..count).map(|at| Member { name: name(at), zone: "z".into() }).collect();
        let settings =
            Settings { own: name(at), members, voters: Vec::new(), round: 200 * MS, configuration: false };
        let seed = self.rng.random();
        let mut part = FleetNode::new(&settings, VoterRole::Follower, start, seed).expect("good settings");
        let limits = Limits { fences: self.fences, share: 20, ..Limits::default() };
        let check = RulesCheck { rules: rules(self.worth[at]), limits, processor: 100 };
        let mut actions = Vec::new();
        part.watch::<TestDecider>(self.now, check, &mut actions);
        self.parts[at] = Some(part);
        self.carry_out(at, actions);
    }

    /// Ends a process and its connections.
    fn kill(&mut self, at: usize) {
        self.parts[at] = None;
        for other in 0..self.parts.len() {
            if self.links.remove(&(at.min(other), at.max(other))) {
                self.schedule(other, at, Err(false));
            }
        }
    }

    fn schedule(&mut self, to: usize, from: usize, what: Result<Vec<u8>, bool>) {
        let at = self.now + self.rng.random_range(MS..40 * MS);
        // A connection preserves the order of messages.
        let last_arrival = self.last_arrival.entry((to, from)).or_insert(0);
        *last_arrival = at.max(*last_arrival);
        self.sequence += 1;
        self.in_flight.insert((*last_arrival, self.sequence), (to, from, what));
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Said>) {
        for action in actions {
            match action {
                Said::Connect(other) => {
                    let running = self.parts[other].is_some();
                    if running && self.links.insert((at.min(other), at.max(other))) {
                        self.schedule(at, other, Err(true));
                        self.schedule(other, at, Err(true));
                    }
                }
                Said::Send(other, message) if self.links.contains(&(at.min(other), at.max(other))) => {
                    self.schedule(other, at, Ok(message));
                }
                Said::Fence(retry_after) => {
                    self.fenced.insert(at, retry_after);
                }
                Said::Log(_, text) => self.log.push((self.now, at, text)),
                Said::Disconnect(_) | Said::Send(..) | Said::Store(_) | Said::Answer(..) => {}
                Said::ApplyConfiguration { .. } | Said::Persist(_) | Said::Ready => {
                    panic!("without a configuration")
                }
            }
        }
    }

    fn with_part(&mut self, at: usize, call: impl FnOnce(&mut FleetNode, Micros, &mut Vec<Said>)) {
        FAULTY.set(self.faulty.contains(&at));
        let mut actions = Vec::new();
        if let Some(part) = &mut self.parts[at] {
            call(part, self.now, &mut actions);
        }
        self.carry_out(at, actions);
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            // Each step is a millisecond. A node runs one case when its share of the processor time allows.
            self.now += MS;
            while let Some(first) = self.in_flight.first_entry().filter(|first| first.key().0 <= self.now) {
                let in_flight = first.remove();
                match &mut self.paused {
                    Some((at, held_back)) if *at == in_flight.0 => held_back.push(in_flight),
                    _ => self.arrive(in_flight),
                }
            }
            let paused = self.paused.as_ref().map(|(at, _)| *at);
            for at in (0..self.parts.len()).filter(|at| Some(*at) != paused) {
                let Some(part) = &self.parts[at] else { continue };
                let (wake, work) = (part.wake(), part.work_at());
                if wake.is_none_or(|wake| wake <= self.now) {
                    self.with_part(at, |part, now, actions| part.timeout(now, Figures::default(), actions));
                }
                if work.is_some_and(|work| work <= self.now) {
                    self.with_part(at, |part, now, actions| {
                        part.work(now, actions);
                        part.worked(now, 2 * MS);
                        assert!(
                            part.work_at().is_none_or(|next| next >= now + 20 * MS),
                            "work takes a tenth of the time at most"
                        );
                    });
                }
            }
        }
    }

    fn arrive(&mut self, (to, from, what): Delivery) {
        self.with_part(to, |part, now, actions| match what {
            Ok(message) => part.heard(now, from, &message, actions),
            Err(linked) => part.linked(now, from, linked, actions),
        });
    }

    /// Restarts a process with this worth of its class.
    fn restart(&mut self, at: usize, start: u32, worth: f64) {
        self.kill(at);
        self.worth[at] = worth;
        self.run(SECOND);
        self.start(at, start);
    }

    fn logged(&self, what: &str) -> Vec<(Micros, usize, &str)> {
        let matching = self.log.iter().filter(|(_, _, text)| text.contains(what));
        matching.map(|(when, at, text)| (*when, *at, &**text)).collect()
    }

    fn alarms(&self) -> usize {
        self.logged("otherwise").len() + self.logged("decide in").len()
    }
}

#[test]
fn two_versions_are_logged_with_their_duration_without_alarm() {
    let mut net = Net::new(5, 1, true, &[], |at| if at == 4 { 2.0 } else { 1.0 });
    net.run(60 * SECOND);
    let logged = net.logged("holds 2 versions");
    let who: BTreeSet<usize> = logged.iter().map(|(_, at, _)| *at).collect();
    assert_eq!(who.len(), 5, "{logged:?}");
    let logged = logged.len();
    let members = net.parts[0].as_ref().expect("node 0 is running").members(net.now);
    let versions: BTreeMap<&str, &str> = members["members"]
        .as_array()
        .expect("members")
        .iter()
        .filter_map(|member| Some((member["host"].as_str()?, member["rules"].as_str()?)))
        .collect();
    let (right, other) = (rules(1.0).version().to_string(), rules(2.0).version().to_string());
    assert_eq!(versions.len(), 5);
    assert!(versions.iter().all(|(host, version)| **version == *if *host == "n4" { &other } else { &right }));
    // The deviating node restarts with the common rules.
    net.restart(4, 2, 1.0);
    net.run(40 * SECOND);
    let reunited = net.logged("one version of the rules again, after 6");
    assert_eq!(reunited.len(), 4, "{:?}", net.logged("version"));
    net.run(60 * SECOND);
    assert_eq!((net.alarms(), net.logged("versions").len()), (0, logged));
}

#[test]
fn deviating_node_is_reported_and_fenced_if_configured() {
    for fences in [false, true] {
        let mut net = Net::new(5, 2, fences, &[3], |_| 1.0);
        net.run(120 * SECOND);
        let odd = net.logged("n3 decides otherwise than 4 nodes");
        assert_eq!(odd.iter().map(|(_, at, _)| *at).collect::<BTreeSet<_>>().len(), 5, "{odd:?}");
        assert_eq!(net.logged("decides otherwise than 4").len(), odd.len(), "no other node is reported");
        let first = net.logged("first difference to");
        assert!(first
            .iter()
            .any(|(_, at, text)| *at == 3 && text.contains("case ") && text.contains("Send")));
        println!(
            "reported after {} ms, {}",
            (odd[0].0 - SECOND) / MS,
            first[0].2.chars().take(60).collect::<String>()
        );
        if !fences {
            assert!(net.fenced.is_empty());
            continue;
        }
        assert_eq!(net.fenced, [(3, Some(30 * SECOND))].into(), "{:?}", net.logged("calls"));
        // After a restart with the correct decider it accepts calls and is no longer reported.
        net.faulty.clear();
        net.fenced.clear();
        let alarms = net.alarms();
        net.restart(3, 2, 1.0);
        net.run(60 * SECOND);
        assert_eq!((net.alarms(), net.fenced.len()), (alarms, 0));
        assert_eq!(net.logged("decide alike again").len(), 4);
    }
}

#[test]
fn nobody_is_fenced_without_a_majority() {
    for seed in 0..2 {
        let mut net = Net::new(4, seed, true, &[1, 2], |_| 1.0);
        net.run(90 * SECOND);
        let logged = net.logged("no majority in one: nobody is fenced");
        assert_eq!(logged.iter().map(|(_, at, _)| *at).collect::<BTreeSet<_>>().len(), 4, "{logged:?}");
        assert!(net.fenced.is_empty());
    }
}

#[test]
fn equal_decisions_raise_no_alarm() {
    let mut net = Net::new(5, 3, true, &[], |_| 1.0);
    net.run(60 * SECOND);
    assert_eq!((net.alarms(), net.logged("version").len(), net.fenced.len()), (0, 0, 0), "{:?}", net.log);
    assert!(net.parts.iter().flatten().all(|part| part.work_at().is_none()), "all cases have been run");
}

#[test]
fn pause_during_a_rolling_restart_raises_no_alarm() {
    let mut net = Net::new(5, 4, true, &[], |_| 1.0);
    net.run(20 * SECOND);
    net.paused = Some((0, Vec::new()));
    for at in 1..5 {
        net.restart(at, 2, 2.0);
        net.run(15 * SECOND);
    }
    // All messages held back meanwhile arrive at once, including those of processes that have ended.
    let held_back = net.paused.take().map(|(_, held_back)| held_back).unwrap_or_default();
    assert!(held_back.len() > 10, "{} messages", held_back.len());
    held_back.into_iter().for_each(|in_flight| net.arrive(in_flight));
    net.run(30 * SECOND);
    assert!(net.logged("holds 2 versions").iter().any(|(_, at, _)| *at == 0));
    net.restart(0, 2, 2.0);
    net.run(60 * SECOND);
    let reunited: BTreeSet<usize> =
        net.logged("one version of the rules again").iter().map(|logged| logged.1).collect();
    assert!([1, 2, 3, 4].iter().all(|at| reunited.contains(at)), "{reunited:?}");
    assert_eq!((net.alarms(), net.fenced.len()), (0, 0), "{:?}", net.log);
}

/// Measures the time of a piece of work: `cargo test --release -p lemoncleat-commons --test rules --
/// --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn measure_cost_of_work() {
    let members = (0..5).map(|at| Member { name: format!("n{at}").into(), zone: "z".into() }).collect();
    let settings =
        Settings { own: "n0".into(), members, voters: Vec::new(), round: 200 * MS, configuration: false };
    let mut part = FleetNode::new(&settings, VoterRole::Follower, 1, 1).expect("good settings");
    let check = RulesCheck { rules: rules(1.0), limits: Limits::default(), processor: 10 };
    let mut actions = Vec::new();
    part.watch::<Controller>(0, check, &mut actions);
    let (mut now, mut spans) = (0, Vec::new());
    while let Some(at) = part.work_at() {
        now = now.max(at);
        let begun = std::time::Instant::now();
        part.work(now, &mut actions);
        let spent = begun.elapsed().as_micros() as Micros;
        now += spent;
        part.worked(now, spent);
        spans.push(spent);
    }
    let (sum, longest) = (spans.iter().sum::<Micros>(), spans.iter().max().copied().unwrap_or(0));
    println!(
        "{} pieces, {sum} us in all, {longest} us the longest; done {:.1} s after the start at 1 %",
        spans.len(),
        now as f64 / 1e6
    );
}
