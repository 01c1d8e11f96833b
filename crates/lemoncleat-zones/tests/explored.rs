//! Explores all orders of messages between three nodes in a small state machine, to a given depth.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use lemoncleat_zones::{Fact, Input, Micros, Outcome, Output, Server, Settings, Step, ZoneId, Zones};

const S: Micros = 1_000_000;

#[derive(Clone, Debug)]
struct Model {
    now: Micros,
    nodes: Vec<Zones>,
    facts: Vec<(Micros, Vec<u8>)>,
    log: Vec<Step>,
    log_position: Vec<usize>,
    received_at: BTreeMap<(usize, usize), Micros>,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    /// Half a second passes; zone 1 works or does not.
    Elapse(bool),
    Fact(usize, usize),
    /// The next log entry arrives.
    Log(usize),
    /// The oldest log entry arrives again.
    Repeat(usize),
    /// All outstanding messages arrive, except those to one node.
    AllExceptTo(usize),
}

impl Model {
    fn new() -> Model {
        let members: BTreeMap<u32, ZoneId> = (0..3).map(|id| (id, ZoneId((id % 2) as u16))).collect();
        let node =
            |me| Zones::new(Settings { min_settled: 4, clear: 0, ..Settings::new(me, members.clone(), 2) });
        let nodes = (0..3).map(node).collect();
        let facts = vec![(0, Vec::new()); 3];
        let mut model = Model {
            now: 0,
            nodes,
            facts,
            log: Vec::new(),
            log_position: vec![0; 3],
            received_at: BTreeMap::new(),
        };
        for node in 0..3 {
            for zone in 0..2 {
                let servers = vec![Server { capacity: 100.0, started: -100 * S }; 2];
                model.deliver(node, Input::Servers { zone: ZoneId(zone), servers }).unwrap();
            }
        }
        for _ in 0..10 {
            model.apply(Action::Elapse(true)).unwrap();
            model.deliver_all_facts();
        }
        model
    }

    fn deliver_all_facts(&mut self) {
        for from in 0..3 {
            for to in 0..3 {
                self.apply(Action::Fact(from, to)).unwrap();
            }
        }
    }

    fn deliver(&mut self, node: usize, input: Input) -> Result<(), String> {
        let mut out = Vec::new();
        let before = self.nodes[node].step().number;
        self.nodes[node].handle(self.now, input, &mut out);
        if self.nodes[node].step().number < before {
            return Err(format!("node {node} went back from {before}"));
        }
        for output in out {
            match output {
                Output::Publish(bytes) => self.facts[node] = (self.now, bytes),
                Output::Propose(step) => {
                    let received_recently = |other: usize| {
                        self.received_at.get(&(other, node)).is_some_and(|at| self.now - at <= 3 * S)
                    };
                    if (0..3).filter(|other| *other == node || received_recently(*other)).count() < 2 {
                        return Err(format!("node {node} alone proposed {step:?}"));
                    }
                    self.log.push(step);
                }
                Output::Trial { allowed, .. } if allowed > 10 => return Err(format!("{allowed} trials")),
                _ => {}
            }
        }
        let held: BTreeMap<u64, &Step> =
            self.nodes.iter().map(|node| (node.step().number, node.step())).collect();
        match self.nodes.iter().all(|node| held.get(&node.step().number) == Some(&node.step())) {
            true => Ok(()),
            false => Err("two different steps with the same number".into()),
        }
    }

    fn apply(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Elapse(healthy) => {
                self.now += S / 2;
                for node in 0..3 {
                    for zone in 0..2 {
                        for server in [0, 1, 0, 1] {
                            let outcome =
                                if healthy || zone == 0 { Outcome::Answered } else { Outcome::Reset };
                            for outcome in [Outcome::Sent, outcome] {
                                let zone = ZoneId(zone);
                                self.deliver(
                                    node,
                                    Input::Outcome { zone, server, outcome, waited: 0, worth: 10, cost: 1 },
                                )?;
                            }
                        }
                    }
                    self.deliver(node, Input::Timeout)?;
                }
            }
            Action::Fact(from, to) => {
                let (made, bytes) = self.facts[from].clone();
                if from != to && Fact::decode(&bytes).is_some() {
                    self.received_at.insert((from, to), made);
                    self.deliver(
                        to,
                        Input::FactReceived { origin: from as u32, age: self.now - made, bytes },
                    )?;
                }
            }
            Action::Log(node) => {
                if let Some(step) = self.log.get(self.log_position[node]).cloned() {
                    self.log_position[node] += 1;
                    self.deliver(node, Input::Agreed(step))?;
                }
            }
            Action::AllExceptTo(node) => {
                for to in (0..3).filter(|to| *to != node) {
                    for from in 0..3 {
                        self.apply(Action::Fact(from, to))?;
                    }
                    while self.log_position[to] < self.log.len() {
                        self.apply(Action::Log(to))?;
                    }
                }
            }
            Action::Repeat(node) => {
                if let Some(step) = self.log.first().cloned() {
                    self.deliver(node, Input::Agreed(step))?;
                }
            }
        }
        Ok(())
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Returns the number of distinct states and the highest step number reached.
fn explore(depth: usize) -> (usize, u64) {
    let mut actions = vec![Action::Elapse(false), Action::Elapse(true)];
    for node in 0..3 {
        actions.extend([
            Action::AllExceptTo(node),
            Action::Log(node),
            Action::Repeat(node),
            Action::Fact(node, (node + 1) % 3),
            Action::Fact(node, (node + 2) % 3),
        ]);
    }
    let (mut visited, mut states, mut max_steps) = (BTreeSet::new(), vec![Model::new()], 0);
    for _ in 0..depth {
        let mut next = Vec::new();
        for state in &states {
            for action in &actions {
                let mut state = state.clone();
                state
                    .apply(*action)
                    .unwrap_or_else(|violation| panic!("{violation} after {action:?}: {state:?}"));
                if visited.insert(state.digest()) {
                    max_steps =
                        max_steps.max(state.nodes.iter().map(|node| node.step().number).max().unwrap_or(0));
                    next.push(state);
                }
            }
        }
        states = next;
    }
    for mut state in states {
        // From any state, delivering the outstanding log entries brings all nodes to the same step.
        for node in 0..3 {
            while state.log_position[node] < state.log.len() {
                state.apply(Action::Log(node)).unwrap();
            }
        }
        assert!(state.nodes.windows(2).all(|pair| pair[0].step() == pair[1].step()));
    }
    (visited.len(), max_steps)
}

#[test]
fn keeps_invariants_in_every_message_order_at_depth_4() {
    let (states, steps) = explore(4);
    println!("{states} states at depth 4, {steps} steps");
    assert!(steps >= 1);
}

#[test]
#[ignore = "deeper, for a release build"]
fn keeps_invariants_in_every_message_order_at_depth_7() {
    let (states, steps) = explore(7);
    println!("{states} states at depth 7, {steps} steps");
}
