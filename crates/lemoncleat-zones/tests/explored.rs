//! All orders of words between three nodes in a small step machine, to a stated depth.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use lemoncleat_zones::{Fact, Input, Micros, Output, Server, Settings, Step, What, ZoneId, Zones};

const S: Micros = 1_000_000;

#[derive(Clone, Debug)]
struct World {
    now: Micros,
    nodes: Vec<Zones>,
    facts: Vec<(Micros, Vec<u8>)>,
    log: Vec<Step>,
    read: Vec<usize>,
    heard: BTreeMap<(usize, usize), Micros>,
}

#[derive(Clone, Copy, Debug)]
enum Act {
    /// Half a second passes; zone 1 works or does not.
    Pass(bool),
    Fact(usize, usize),
    /// A word of the log arrives.
    Log(usize),
    /// The oldest word of the log arrives again.
    Again(usize),
    /// All words arrive that are under way, but for those to one node.
    AllBut(usize),
}

impl World {
    fn new() -> World {
        let members: BTreeMap<u32, ZoneId> = (0..3).map(|id| (id, ZoneId((id % 2) as u16))).collect();
        let node = |me| Zones::new(Settings { enough: 4, clear: 0, ..Settings::new(me, members.clone(), 2) });
        let nodes = (0..3).map(node).collect();
        let facts = vec![(0, Vec::new()); 3];
        let mut world =
            World { now: 0, nodes, facts, log: Vec::new(), read: vec![0; 3], heard: BTreeMap::new() };
        for node in 0..3 {
            for zone in 0..2 {
                let servers = vec![Server { capacity: 100.0, started: -100 * S }; 2];
                world.give(node, Input::Servers { zone: ZoneId(zone), servers }).unwrap();
            }
        }
        for _ in 0..10 {
            world.act(Act::Pass(true)).unwrap();
            world.spread();
        }
        world
    }

    fn spread(&mut self) {
        for from in 0..3 {
            for to in 0..3 {
                self.act(Act::Fact(from, to)).unwrap();
            }
        }
    }

    fn give(&mut self, node: usize, input: Input) -> Result<(), String> {
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
                    let heard = |other: usize| {
                        self.heard.get(&(other, node)).is_some_and(|at| self.now - at <= 3 * S)
                    };
                    if (0..3).filter(|other| *other == node || heard(*other)).count() < 2 {
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
            false => Err("two steps of one number".into()),
        }
    }

    fn act(&mut self, act: Act) -> Result<(), String> {
        match act {
            Act::Pass(well) => {
                self.now += S / 2;
                for node in 0..3 {
                    for zone in 0..2 {
                        for server in [0, 1, 0, 1] {
                            let what = if well || zone == 0 { What::Answered } else { What::Reset };
                            for what in [What::Sent, what] {
                                let zone = ZoneId(zone);
                                self.give(
                                    node,
                                    Input::Outcome { zone, server, what, waited: 0, worth: 10, cost: 1 },
                                )?;
                            }
                        }
                    }
                    self.give(node, Input::Timeout)?;
                }
            }
            Act::Fact(from, to) => {
                let (made, bytes) = self.facts[from].clone();
                if from != to && Fact::decode(&bytes).is_some() {
                    self.heard.insert((from, to), made);
                    self.give(to, Input::Heard { origin: from as u32, age: self.now - made, bytes })?;
                }
            }
            Act::Log(node) => {
                if let Some(step) = self.log.get(self.read[node]).cloned() {
                    self.read[node] += 1;
                    self.give(node, Input::Agreed(step))?;
                }
            }
            Act::AllBut(node) => {
                for to in (0..3).filter(|to| *to != node) {
                    for from in 0..3 {
                        self.act(Act::Fact(from, to))?;
                    }
                    while self.read[to] < self.log.len() {
                        self.act(Act::Log(to))?;
                    }
                }
            }
            Act::Again(node) => {
                if let Some(step) = self.log.first().cloned() {
                    self.give(node, Input::Agreed(step))?;
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

/// States seen, and the most steps that any came to.
fn explore(depth: usize) -> (usize, u64) {
    let mut acts = vec![Act::Pass(false), Act::Pass(true)];
    for node in 0..3 {
        acts.extend([
            Act::AllBut(node),
            Act::Log(node),
            Act::Again(node),
            Act::Fact(node, (node + 1) % 3),
            Act::Fact(node, (node + 2) % 3),
        ]);
    }
    let (mut seen, mut states, mut most) = (BTreeSet::new(), vec![World::new()], 0);
    for _ in 0..depth {
        let mut next = Vec::new();
        for state in &states {
            for act in &acts {
                let mut state = state.clone();
                state.act(*act).unwrap_or_else(|law| panic!("{law} after {act:?}: {state:?}"));
                if seen.insert(state.digest()) {
                    most = most.max(state.nodes.iter().map(|node| node.step().number).max().unwrap_or(0));
                    next.push(state);
                }
            }
        }
        states = next;
    }
    for mut state in states {
        // From wherever it is, words that arrive bring all to one step.
        for node in 0..3 {
            while state.read[node] < state.log.len() {
                state.act(Act::Log(node)).unwrap();
            }
        }
        assert!(state.nodes.windows(2).all(|pair| pair[0].step() == pair[1].step()));
    }
    (seen.len(), most)
}

#[test]
fn every_order_of_words_keeps_the_laws() {
    let (states, steps) = explore(4);
    println!("{states} states at depth 4, {steps} steps");
    assert!(steps >= 1);
}

#[test]
#[ignore = "deeper, for a release build"]
fn every_order_of_words_keeps_the_laws_deeper() {
    let (states, steps) = explore(7);
    println!("{states} states at depth 7, {steps} steps");
}
