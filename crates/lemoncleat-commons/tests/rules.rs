//! Parts in a small network under a virtual clock: versions told and timed, an odd one named and fenced.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lemoncleat::{Action, Class, Controller, Event, Settings as Module};
use lemoncleat_commons::{Figures, Micros, Part, RulesCheck, Said, Seat, Settings};
use lemoncleat_consistency::{Decider, Limits, PlanEntry, Rules};
use lemoncleat_fleet::Member;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

thread_local! {
    /// Whether the node that has the turn waits longer than its rules say.
    static WRONG: Cell<bool> = const { Cell::new(false) };
}

/// The module, or one with another constant.
#[derive(Serialize, Deserialize)]
struct Decides(Controller);

impl Decider for Decides {
    fn fresh(settings: &Module, seed: u64) -> Option<Self> {
        Controller::new(settings.clone(), seed).ok().map(Decides)
    }

    fn decide(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.0.handle(now, event, actions);
        for action in actions.iter_mut().filter(|_| WRONG.get()) {
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

/// To whom, from whom, and a word or whether linked.
type Coming = (usize, usize, Result<Vec<u8>, bool>);

struct Net {
    parts: Vec<Option<Part>>,
    wrong: BTreeSet<usize>,
    worth: Vec<f64>,
    fences: bool,
    rng: SmallRng,
    now: Micros,
    /// On their way, by moment and order.
    coming: BTreeMap<(Micros, u64), Coming>,
    /// Has no turn, and what came for it.
    paused: Option<(usize, Vec<Coming>)>,
    made: u64,
    links: BTreeSet<(usize, usize)>,
    last: BTreeMap<(usize, usize), Micros>,
    log: Vec<(Micros, usize, String)>,
    fenced: BTreeMap<usize, Option<Micros>>,
}

impl Net {
    fn new(count: usize, seed: u64, fences: bool, wrong: &[usize], worth: impl Fn(usize) -> f64) -> Net {
        let mut net = Net {
            parts: (0..count).map(|_| None).collect(),
            wrong: wrong.iter().copied().collect(),
            worth: (0..count).map(worth).collect(),
            fences,
            rng: SmallRng::seed_from_u64(seed),
            now: SECOND,
            coming: BTreeMap::new(),
            paused: None,
            made: 0,
            links: BTreeSet::new(),
            last: BTreeMap::new(),
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
        let mut part = Part::new(&settings, Seat::Follower, start, seed).expect("good settings");
        let limits = Limits { fences: self.fences, share: 20, ..Limits::default() };
        let check = RulesCheck { rules: rules(self.worth[at]), limits, processor: 100 };
        let mut said = Vec::new();
        part.watch::<Decides>(self.now, check, &mut said);
        self.parts[at] = Some(part);
        self.carry_out(at, said);
    }

    /// The process ends, and with it its connections.
    fn kill(&mut self, at: usize) {
        self.parts[at] = None;
        for other in 0..self.parts.len() {
            if self.links.remove(&(at.min(other), at.max(other))) {
                self.later(other, at, Err(false));
            }
        }
    }

    fn later(&mut self, to: usize, from: usize, what: Result<Vec<u8>, bool>) {
        let at = self.now + self.rng.random_range(MS..40 * MS);
        // A connection keeps the order.
        let last = self.last.entry((to, from)).or_insert(0);
        *last = at.max(*last);
        self.made += 1;
        self.coming.insert((*last, self.made), (to, from, what));
    }

    fn carry_out(&mut self, at: usize, said: Vec<Said>) {
        for said in said {
            match said {
                Said::Meet(other) => {
                    let there = self.parts[other].is_some();
                    if there && self.links.insert((at.min(other), at.max(other))) {
                        self.later(at, other, Err(true));
                        self.later(other, at, Err(true));
                    }
                }
                Said::Word(other, word) if self.links.contains(&(at.min(other), at.max(other))) => {
                    self.later(other, at, Ok(word));
                }
                Said::Fence(come_back) => {
                    self.fenced.insert(at, come_back);
                }
                Said::Log(_, text) => self.log.push((self.now, at, text)),
                Said::Part(_) | Said::Word(..) | Said::Store(_) | Said::Answer(..) => {}
                Said::Configure { .. } | Said::Keep(_) | Said::Settled => panic!("without a configuration"),
            }
        }
    }

    fn turn(&mut self, at: usize, turn: impl FnOnce(&mut Part, Micros, &mut Vec<Said>)) {
        WRONG.set(self.wrong.contains(&at));
        let mut said = Vec::new();
        if let Some(part) = &mut self.parts[at] {
            turn(part, self.now, &mut said);
        }
        self.carry_out(at, said);
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            // Every millisecond of the network, a case each and then one in the share of time that it took.
            self.now += MS;
            while let Some(first) = self.coming.first_entry().filter(|first| first.key().0 <= self.now) {
                let coming = first.remove();
                match &mut self.paused {
                    Some((at, held)) if *at == coming.0 => held.push(coming),
                    _ => self.arrive(coming),
                }
            }
            let paused = self.paused.as_ref().map(|(at, _)| *at);
            for at in (0..self.parts.len()).filter(|at| Some(*at) != paused) {
                let Some(part) = &self.parts[at] else { continue };
                let (wake, work) = (part.wake(), part.work_at());
                if wake.is_none_or(|wake| wake <= self.now) {
                    self.turn(at, |part, now, said| part.timeout(now, Figures::default(), said));
                }
                if work.is_some_and(|work| work <= self.now) {
                    self.turn(at, |part, now, said| {
                        part.work(now, said);
                        part.worked(now, 2 * MS);
                        assert!(
                            part.work_at().is_none_or(|next| next >= now + 20 * MS),
                            "a tenth of the time"
                        );
                    });
                }
            }
        }
    }

    fn arrive(&mut self, (to, from, what): Coming) {
        self.turn(to, |part, now, said| match what {
            Ok(word) => part.heard(now, from, &word, said),
            Err(linked) => part.linked(now, from, linked, said),
        });
    }

    /// A process ends and starts again with this worth.
    fn restart(&mut self, at: usize, start: u32, worth: f64) {
        self.kill(at);
        self.worth[at] = worth;
        self.run(SECOND);
        self.start(at, start);
    }

    fn told(&self, what: &str) -> Vec<(Micros, usize, &str)> {
        let fits = self.log.iter().filter(|(_, _, text)| text.contains(what));
        fits.map(|(when, at, text)| (*when, *at, &**text)).collect()
    }

    fn alarms(&self) -> usize {
        self.told("otherwise").len() + self.told("decide in").len()
    }
}

#[test]
fn two_versions_are_told_and_timed_until_there_is_one_and_raise_no_alarm() {
    let mut net = Net::new(5, 1, true, &[], |at| if at == 4 { 2.0 } else { 1.0 });
    net.run(60 * SECOND);
    let told = net.told("holds 2 versions");
    let who: BTreeSet<usize> = told.iter().map(|(_, at, _)| *at).collect();
    assert_eq!(who.len(), 5, "{told:?}");
    let told = told.len();
    let members = net.parts[0].as_ref().expect("it runs").members(net.now);
    let versions: BTreeMap<&str, &str> = members["members"]
        .as_array()
        .expect("members")
        .iter()
        .filter_map(|member| Some((member["host"].as_str()?, member["rules"].as_str()?)))
        .collect();
    let (right, other) = (rules(1.0).version().to_string(), rules(2.0).version().to_string());
    assert_eq!(versions.len(), 5);
    assert!(versions.iter().all(|(host, version)| **version == *if *host == "n4" { &other } else { &right }));
    // Put right and started again.
    net.restart(4, 2, 1.0);
    net.run(40 * SECOND);
    let again = net.told("one version of the rules again, after 6");
    assert_eq!(again.len(), 4, "{:?}", net.told("version"));
    net.run(60 * SECOND);
    assert_eq!((net.alarms(), net.told("versions").len()), (0, told));
}

#[test]
fn a_node_that_decides_otherwise_is_named_by_the_others_and_fenced_where_settings_say_so() {
    for fences in [false, true] {
        let mut net = Net::new(5, 2, fences, &[3], |_| 1.0);
        net.run(120 * SECOND);
        let odd = net.told("n3 decides otherwise than 4 nodes");
        assert_eq!(odd.iter().map(|(_, at, _)| *at).collect::<BTreeSet<_>>().len(), 5, "{odd:?}");
        assert_eq!(net.told("decides otherwise than 4").len(), odd.len(), "nobody else is named");
        let first = net.told("first difference to");
        assert!(first
            .iter()
            .any(|(_, at, text)| *at == 3 && text.contains("case ") && text.contains("Send")));
        println!(
            "named after {} ms, {}",
            (odd[0].0 - SECOND) / MS,
            first[0].2.chars().take(60).collect::<String>()
        );
        if !fences {
            assert!(net.fenced.is_empty());
            continue;
        }
        assert_eq!(net.fenced, [(3, Some(30 * SECOND))].into(), "{:?}", net.told("calls"));
        // Started again with the right module it takes calls and is blamed no more.
        net.wrong.clear();
        net.fenced.clear();
        let alarms = net.alarms();
        net.restart(3, 2, 1.0);
        net.run(60 * SECOND);
        assert_eq!((net.alarms(), net.fenced.len()), (alarms, 0));
        assert_eq!(net.told("decide alike again").len(), 4);
    }
}

#[test]
fn two_against_two_is_told_and_nobody_is_fenced() {
    for seed in 0..2 {
        let mut net = Net::new(4, seed, true, &[1, 2], |_| 1.0);
        net.run(90 * SECOND);
        let told = net.told("no majority in one: nobody is fenced");
        assert_eq!(told.iter().map(|(_, at, _)| *at).collect::<BTreeSet<_>>().len(), 4, "{told:?}");
        assert!(net.fenced.is_empty());
    }
}

#[test]
fn nodes_of_one_version_that_decide_alike_are_quiet() {
    let mut net = Net::new(5, 3, true, &[], |_| 1.0);
    net.run(60 * SECOND);
    assert_eq!((net.alarms(), net.told("version").len(), net.fenced.len()), (0, 0, 0), "{:?}", net.log);
    assert!(net.parts.iter().flatten().all(|part| part.work_at().is_none()), "all cases are played");
}

#[test]
fn a_pause_through_a_rolling_restart_to_other_rules_is_no_alarm() {
    let mut net = Net::new(5, 4, true, &[], |_| 1.0);
    net.run(20 * SECOND);
    net.paused = Some((0, Vec::new()));
    for at in 1..5 {
        net.restart(at, 2, 2.0);
        net.run(15 * SECOND);
    }
    // What was said to it meanwhile, of lives that are over too, comes at once.
    let held = net.paused.take().map(|(_, held)| held).unwrap_or_default();
    assert!(held.len() > 10, "{} words", held.len());
    held.into_iter().for_each(|coming| net.arrive(coming));
    net.run(30 * SECOND);
    assert!(net.told("holds 2 versions").iter().any(|(_, at, _)| *at == 0));
    net.restart(0, 2, 2.0);
    net.run(60 * SECOND);
    let again: BTreeSet<usize> =
        net.told("one version of the rules again").iter().map(|told| told.1).collect();
    assert!([1, 2, 3, 4].iter().all(|at| again.contains(at)), "{again:?}");
    assert_eq!((net.alarms(), net.fenced.len()), (0, 0), "{:?}", net.log);
}

/// What a piece of work takes: `cargo test --release -p lemoncleat-commons --test rules -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn cost() {
    let members = (0..5).map(|at| Member { name: format!("n{at}").into(), zone: "z".into() }).collect();
    let settings =
        Settings { own: "n0".into(), members, voters: Vec::new(), round: 200 * MS, configuration: false };
    let mut part = Part::new(&settings, Seat::Follower, 1, 1).expect("good settings");
    let check = RulesCheck { rules: rules(1.0), limits: Limits::default(), processor: 10 };
    let mut said = Vec::new();
    part.watch::<Controller>(0, check, &mut said);
    let (mut now, mut spans) = (0, Vec::new());
    while let Some(at) = part.work_at() {
        now = now.max(at);
        let begun = std::time::Instant::now();
        part.work(now, &mut said);
        let spent = begun.elapsed().as_micros() as Micros;
        now += spent;
        part.worked(now, spent);
        spans.push(spent);
    }
    let (sum, most) = (spans.iter().sum::<Micros>(), spans.iter().max().copied().unwrap_or(0));
    println!(
        "{} pieces, {sum} us in all, {most} us the longest; done {:.1} s after the start at 1 %",
        spans.len(),
        now as f64 / 1e6
    );
}
