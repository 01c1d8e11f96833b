//! The laws of the configuration, judged from what the parts say to their drivers and tell operators.

use std::collections::{BTreeMap, BTreeSet};

use lemoncleat_fleet::MemberId;
use serde_json::Value;

use super::changes::number_of;
use super::judge::Broken;
use crate::Micros;

/// From a change's step, or from when all can talk again, until it is in force at all or taken back.
pub(super) const BOUND: Micros = 10_000_000;
/// Until a node that starts has decided what is in force.
const START: Micros = 10_000_000;

/// A version, as it was first seen.
struct Known {
    text: String,
    order: String,
    /// The one that it was made on.
    parent: u64,
    canaries: BTreeSet<usize>,
    refused: BTreeSet<usize>,
    in_force: BTreeSet<usize>,
    /// When it was first seen at a node that is no canary.
    for_all: Option<Micros>,
    /// Since when a canary that all could hear has refused it or lost calls by it.
    objection: Option<Micros>,
}

#[derive(Clone, Copy, Default)]
struct Life {
    begun: Option<Micros>,
    settled: bool,
    disturbed: bool,
    step: u64,
    in_force: u64,
    /// The step at which it was put in force, and that of the last try.
    since: u64,
    tried: u64,
}

/// What a step means to all.
type Meaning = (u64, String);

/// How often the laws of the configuration were tempted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Changes that were agreed.
    pub agreed: u64,
    /// Changes that were refused, and why is told.
    pub refused: u64,
    /// Versions that came in force at all that could use them.
    pub for_all: u64,
    /// Versions that a canary objected to while all could hear it.
    pub objections: u64,
    /// Versions that were taken back.
    pub taken_back: u64,
    /// Starts that decided on what is in force.
    pub starts: u64,
    /// Copies that were torn or lost.
    pub copies_lost: u64,
    /// Chunks of texts that were made wrong on their way.
    pub wrong_chunks: u64,
    /// The longest time from a step until all had its version, after the last fault, in microseconds.
    pub slowest: Micros,
}

impl VersionCounts {
    /// Adds those of another run.
    pub fn add(&mut self, other: &VersionCounts) {
        self.agreed += other.agreed;
        self.refused += other.refused;
        self.for_all += other.for_all;
        self.objections += other.objections;
        self.taken_back += other.taken_back;
        self.starts += other.starts;
        self.copies_lost += other.copies_lost;
        self.wrong_chunks += other.wrong_chunks;
        self.slowest = self.slowest.max(other.slowest);
    }
}

/// Judges the configuration of a run.
pub(super) struct Versions {
    /// Each node's number in the fleet, and its zone.
    nodes: Vec<(u32, usize)>,
    pub counts: VersionCounts,
    /// When an order was first given, the version that it was made on, and its text.
    asked: BTreeMap<String, (Micros, u64, String)>,
    answers: BTreeMap<String, Result<u64, String>>,
    known: BTreeMap<u64, Known>,
    steps: BTreeMap<u64, Meaning>,
    lives: Vec<Life>,
    /// The last step, and when it was first seen.
    pub last: (u64, Micros),
}

impl Versions {
    pub fn new(names: &[&str], zones: usize) -> Versions {
        Versions {
            nodes: names
                .iter()
                .enumerate()
                .map(|(place, name)| (MemberId::of(name).0, place % zones))
                .collect(),
            counts: VersionCounts::default(),
            asked: BTreeMap::new(),
            answers: BTreeMap::new(),
            known: BTreeMap::new(),
            steps: BTreeMap::new(),
            lives: vec![Life::default(); names.len()],
            last: (0, 0),
        }
    }

    /// The first two of each zone in the order of the digest of trial and member; at most half of all.
    fn canaries(&self, text: &str) -> BTreeSet<usize> {
        let digest = blake3::hash(text.as_bytes());
        let mut ordered: Vec<([u8; 32], usize)> = self
            .nodes
            .iter()
            .enumerate()
            .map(|(place, (id, _))| {
                let mut key = digest.as_bytes().to_vec();
                key.extend(id.to_be_bytes());
                (*blake3::hash(&key).as_bytes(), place)
            })
            .collect();
        ordered.sort_unstable();
        let mut of_zone = BTreeMap::<usize, usize>::new();
        ordered.retain(|(_, place)| {
            let taken = of_zone.entry(self.nodes[*place].1).or_default();
            *taken += 1;
            *taken <= 2
        });
        ordered.truncate((self.nodes.len() / 2).max(1));
        ordered.into_iter().map(|(_, place)| place).collect()
    }

    pub fn asks(&mut self, now: Micros, order: &str, parent: u64, text: &str) -> u64 {
        self.asked.entry(order.to_owned()).or_insert_with(|| (now, parent, text.to_owned())).1
    }

    /// Since when a text has been asked for.
    pub fn asked_since(&self, text: &str) -> Option<Micros> {
        let order = format!("change-{}", number_of(text)?);
        self.asked.get(&order).filter(|(.., asked)| asked == text).map(|(since, ..)| *since)
    }

    pub fn started(&mut self, now: Micros, node: usize) {
        self.lives[node] = Life { begun: Some(now), ..Life::default() };
    }

    pub fn ended(&mut self, node: usize) {
        self.lives[node] = Life::default();
    }

    /// The node had no turn or another clock for a while: how long its start takes is not judged.
    pub fn disturbed(&mut self, node: usize) {
        self.lives[node].disturbed = true;
    }

    pub fn settled(&mut self, node: usize) -> Broken {
        self.counts.starts += 1;
        match std::mem::replace(&mut self.lives[node].settled, true) {
            true => Err(format!("node {node} decides twice on what is in force at its start")),
            false => Ok(()),
        }
    }

    /// Whether starts take no longer than they may.
    pub fn starts(&self, now: Micros) -> Broken {
        let late = |life: &Life| {
            !life.settled && !life.disturbed && life.begun.is_some_and(|begun| begun + START < now)
        };
        match self.lives.iter().position(late) {
            Some(node) => {
                Err(format!("node {node} has not decided on what is in force 10 s after its start"))
            }
            None => Ok(()),
        }
    }

    /// A node is asked to put a text in force; it can, or can't. `quiet`: since when
    /// nothing was wrong anywhere, and all could talk.
    pub fn tried(
        &mut self,
        now: Micros,
        node: usize,
        (number, text): (u64, &str),
        usable: bool,
        quiet: Option<Micros>,
    ) -> Broken {
        if self.lives[node].begun.is_none() {
            return Err(format!("node {node} puts version {number} in force and does not run"));
        }
        self.lives[node].tried = self.lives[node].step;
        if number == 0 {
            return if text.is_empty() {
                Ok(())
            } else {
                Err(format!("node {node} has a text of version 0"))
            };
        }
        let order = number_of(text).map(|change| format!("change-{change}")).unwrap_or_default();
        let Some((_, parent, asked)) = self.asked.get(&order) else {
            return Err(format!("version {number} at node {node} was asked for by nobody"));
        };
        if asked != text {
            return Err(format!("version {number} at node {node} is not what {order} says"));
        }
        if let Some(Err(why)) = self.answers.get(&order) {
            return Err(format!("version {number} at node {node} is {order}, which was refused: {why}"));
        }
        if !self.known.contains_key(&number) {
            let canaries = self.canaries(text);
            let parent = *parent;
            if let Some((before, _)) = self.known.iter().find(|(_, known)| known.order == order) {
                return Err(format!("{order} is version {before} and version {number}"));
            }
            // Whatever a change was made on is for all, though no other node may have come to it yet.
            if parent != 0 {
                self.for_all(now, parent, quiet).map_err(|why| format!("{why}: {number} was made on it"))?;
            }
            self.counts.agreed += 1;
            let known = Known {
                text: text.to_owned(),
                order,
                parent,
                canaries,
                refused: BTreeSet::new(),
                in_force: BTreeSet::new(),
                for_all: None,
                objection: None,
            };
            self.known.insert(number, known);
        }
        let Some(known) = self.known.get_mut(&number) else { return Ok(()) };
        if known.text != text {
            return Err(format!("two texts under number {number}: another at node {node}"));
        }
        if !known.canaries.contains(&node) {
            return self.for_all(now, number, quiet).map_err(|why| format!("{why}: it is at node {node}"));
        }
        if usable {
            known.in_force.insert(node);
        } else {
            known.refused.insert(node);
            if quiet.is_some() && known.for_all.is_none() && known.objection.is_none() {
                known.objection = Some(now);
                self.counts.objections += 1;
            }
        }
        Ok(())
    }

    /// A version is seen past its canaries.
    fn for_all(&mut self, now: Micros, number: u64, quiet: Option<Micros>) -> Broken {
        let Some(known) = self.known.get_mut(&number) else {
            return Err(format!("version {number} is for all, and no canary has tried it"));
        };
        if known.for_all.is_some() {
            return Ok(());
        }
        known.for_all = Some(now);
        self.counts.for_all += 1;
        let (stood, of) = (known.in_force.len(), known.canaries.len());
        if stood * 2 < of {
            return Err(format!(
                "version {number} is for all, past {stood} of {of} canaries that have it in force"
            ));
        }
        if known.refused.len() * 2 > of {
            return Err(format!("version {number} is for all, past the refusals of most canaries"));
        }
        if let Some(since) = known.objection.filter(|since| quiet.is_some_and(|quiet| quiet <= *since)) {
            let after = (now - since) as f64 / 1e6;
            return Err(format!("version {number} is past its canaries {after:.1} s after an objection"));
        }
        let parent = known.parent;
        let rival = |(other, rival): &(&u64, &Known)| {
            **other != number && rival.parent == parent && rival.for_all.is_some()
        };
        match self.known.iter().find(rival) {
            Some((rival, _)) => {
                Err(format!("versions {rival} and {number} were made on {parent}, and both are for all"))
            }
            None => Ok(()),
        }
    }

    /// Calls are refused or lost by this version at enough canaries for the difference to be seen, before it is for all.
    pub fn harms(&mut self, now: Micros, number: u64) {
        if let Some(known) = self.known.get_mut(&number) {
            if known.for_all.is_none()
                && known.objection.is_none()
                && known.in_force.len() == known.canaries.len()
            {
                known.objection = Some(now);
                self.counts.objections += 1;
            }
        }
    }

    /// An operator is answered.
    pub fn answer(&mut self, node: usize, answer: &Value) -> Broken {
        let order = answer["order"].as_str().unwrap_or("");
        let told = match (answer["number"].as_u64(), answer["error"].as_str()) {
            (Some(number), _) if answer["ok"] == true => Ok(number),
            // That may still be agreed.
            (_, Some(error)) if error.starts_with("not agreed in time") => return Ok(()),
            (_, error) => Err(error.unwrap_or("").to_owned()),
        };
        self.counts.refused += u64::from(told.is_err());
        if let Some(before) = self.answers.insert(order.to_owned(), told.clone()) {
            if before != told {
                return Err(format!("{order} was answered {before:?}, and {told:?} at node {node}"));
            }
        }
        let Some((.., text)) = self.asked.get(order) else {
            return Err(format!("node {node} answers {order}, which nobody gave"));
        };
        match told {
            Ok(number) => match self.known.get(&number) {
                Some(known) if known.text != *text => {
                    Err(format!("{order} was answered with {number}, which is {}", known.order))
                }
                _ => Ok(()),
            },
            Err(_) => match self.known.iter().find(|(_, known)| known.order == order) {
                Some((number, _)) => Err(format!("{order} was refused, and is version {number}")),
                None => Ok(()),
            },
        }
    }

    /// What a node tells of itself.
    pub fn status(&mut self, now: Micros, node: usize, status: &Value) -> Broken {
        let of = |field: &str| status[field].as_u64().unwrap_or(0);
        let (step, in_force, newest) = (of("step"), of("in_force"), of("newest"));
        let phase = status["phase"].as_str().unwrap_or("");
        let life = &mut self.lives[node];
        if step < life.step {
            return Err(format!("node {node} went back from step {} to {step}", life.step));
        }
        if in_force != life.in_force {
            if in_force < life.in_force && life.tried <= life.since {
                let (before, since) = (life.in_force, life.since);
                return Err(format!(
                    "node {node} went back from version {before} to {in_force} at step {}, not above {since}",
                    life.tried
                ));
            }
            life.since = life.tried;
        }
        (life.step, life.in_force) = (step, in_force);
        if step == 0 {
            return Ok(());
        }
        let meaning = (newest, phase.to_owned());
        match self.steps.get(&step) {
            Some(known) if *known != meaning => {
                Err(format!("step {step} is {meaning:?} at node {node}, {known:?} elsewhere"))
            }
            Some(_) => Ok(()),
            None => {
                if let Some((before, what)) = self.steps.range(..step).next_back() {
                    let back = what.1 == "trial" && newest < what.0;
                    self.counts.taken_back += u64::from(back);
                    let next = self.steps.range(step + 1..).next().is_none();
                    if next && newest < what.0 && !back {
                        return Err(format!(
                            "step {step} has {newest} for all, step {before} had {}",
                            what.0
                        ));
                    }
                }
                // The bound counts from a trial's begin to the last node.
                let ends = self.steps.last_key_value().is_some_and(|(_, (_, phase))| phase == "trial");
                if step > self.last.0 {
                    self.last = (step, if ends && meaning.1 != "trial" { self.last.1 } else { now });
                }
                self.steps.insert(step, meaning);
                Ok(())
            }
        }
    }

    /// What is for all by the last step, and whether a trial is under way.
    pub fn newest(&self) -> (u64, bool) {
        self.steps.last_key_value().map_or((0, false), |(_, (newest, phase))| (*newest, phase == "trial"))
    }

    /// The text of a version.
    pub fn text(&self, number: u64) -> Option<&str> {
        self.known.get(&number).map(|known| known.text.as_str())
    }
}
