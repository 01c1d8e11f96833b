//! Checks the invariants of the configuration, from what the parts send to their drivers and report to
//! operators.

use std::collections::{BTreeMap, BTreeSet};

use lemoncleat_fleet::MemberId;
use serde_json::Value;

use super::changes::change_number;
use super::judge::CheckResult;
use crate::Micros;

/// Longest time from a change's step, or from when all nodes are connected again, until the change is in
/// force everywhere or taken back.
pub(super) const CONVERGENCE_LIMIT_US: Micros = 10_000_000;
/// Longest time from a node's start until it has decided which version is in force.
const START_LIMIT_US: Micros = 10_000_000;

/// A version, as it was first seen.
struct VersionRecord {
    text: String,
    order: String,
    /// The version that this one was made on.
    parent: u64,
    canaries: BTreeSet<usize>,
    refused: BTreeSet<usize>,
    in_force: BTreeSet<usize>,
    /// When the version was first seen at a node that is not a canary.
    for_all: Option<Micros>,
    /// Since when a canary, connected to all nodes, has refused the version or lost calls by it.
    objection: Option<Micros>,
}

#[derive(Clone, Copy, Default)]
struct NodeRun {
    started_at: Option<Micros>,
    settled: bool,
    disturbed: bool,
    step: u64,
    in_force: u64,
    /// The step at which that version was put in force, and that of the last try.
    in_force_step: u64,
    last_try_step: u64,
}

/// The newest version and the phase at a step; the same at all nodes.
type StepMeaning = (u64, String);

/// How often the invariants of the configuration were put to the test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Changes that were agreed.
    pub agreed: u64,
    /// Changes that were refused with a reason.
    pub refused: u64,
    /// Versions that came in force at all nodes that could use them.
    pub for_all: u64,
    /// Versions that a canary objected to while connected to all nodes.
    pub objections: u64,
    /// Versions that were taken back.
    pub taken_back: u64,
    /// Starts that decided which version is in force.
    pub starts: u64,
    /// Copies that were torn or lost.
    pub copies_lost: u64,
    /// Chunks of texts that were corrupted on their way.
    pub wrong_chunks: u64,
    /// The longest time from a step until all nodes had its version, after the last fault, in microseconds.
    pub slowest: Micros,
}

impl VersionCounts {
    /// Adds the counts of another run.
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

/// Checks the configuration of a run.
pub(super) struct VersionChecker {
    /// Each node's member id in the fleet, and its zone.
    nodes: Vec<(u32, usize)>,
    pub counts: VersionCounts,
    /// When an order was first given, the version that it was made on, and its text.
    submitted: BTreeMap<String, (Micros, u64, String)>,
    answers: BTreeMap<String, Result<u64, String>>,
    known: BTreeMap<u64, VersionRecord>,
    steps: BTreeMap<u64, StepMeaning>,
    runs: Vec<NodeRun>,
    /// The last step, and when it was first seen.
    pub last_step: (u64, Micros),
}

impl VersionChecker {
    pub fn new(names: &[&str], zones: usize) -> VersionChecker {
        VersionChecker {
            nodes: names
                .iter()
                .enumerate()
                .map(|(place, name)| (MemberId::of(name).0, place % zones))
                .collect(),
            counts: VersionCounts::default(),
            submitted: BTreeMap::new(),
            answers: BTreeMap::new(),
            known: BTreeMap::new(),
            steps: BTreeMap::new(),
            runs: vec![NodeRun::default(); names.len()],
            last_step: (0, 0),
        }
    }

    /// Returns the canaries of a text: the first two nodes of each zone in the order of the digest of trial
    /// and member; at most half of all nodes.
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

    pub fn order_submitted(&mut self, now: Micros, order: &str, parent: u64, text: &str) -> u64 {
        self.submitted.entry(order.to_owned()).or_insert_with(|| (now, parent, text.to_owned())).1
    }

    /// Returns when the order with this text was first given.
    pub fn submitted_at(&self, text: &str) -> Option<Micros> {
        let order = format!("change-{}", change_number(text)?);
        self.submitted.get(&order).filter(|(.., submitted)| submitted == text).map(|(since, ..)| *since)
    }

    pub fn node_started(&mut self, now: Micros, node: usize) {
        self.runs[node] = NodeRun { started_at: Some(now), ..NodeRun::default() };
    }

    pub fn node_stopped(&mut self, node: usize) {
        self.runs[node] = NodeRun::default();
    }

    /// Excludes the node's start from the check of start times: it was paused or had another clock for a
    /// while.
    pub fn mark_disturbed(&mut self, node: usize) {
        self.runs[node].disturbed = true;
    }

    pub fn check_settled(&mut self, node: usize) -> CheckResult {
        self.counts.starts += 1;
        match std::mem::replace(&mut self.runs[node].settled, true) {
            true => Err(format!("node {node} decides twice at its start which version is in force")),
            false => Ok(()),
        }
    }

    /// Checks that nodes decide in time after their starts which version is in force.
    pub fn check_start_times(&self, now: Micros) -> CheckResult {
        let late = |run: &NodeRun| {
            !run.settled
                && !run.disturbed
                && run.started_at.is_some_and(|started_at| started_at + START_LIMIT_US < now)
        };
        match self.runs.iter().position(late) {
            Some(node) => {
                Err(format!("node {node} has not decided which version is in force 10 s after its start"))
            }
            None => Ok(()),
        }
    }

    /// Checks a request to a node to put a text in force; `usable` says whether it can. `quiet` is since when
    /// there has been no fault and all nodes have been connected.
    pub fn check_trial(
        &mut self,
        now: Micros,
        node: usize,
        (number, text): (u64, &str),
        usable: bool,
        quiet: Option<Micros>,
    ) -> CheckResult {
        if self.runs[node].started_at.is_none() {
            return Err(format!("node {node} puts version {number} in force and does not run"));
        }
        self.runs[node].last_try_step = self.runs[node].step;
        if number == 0 {
            return if text.is_empty() {
                Ok(())
            } else {
                Err(format!("node {node} has a text of version 0"))
            };
        }
        let order = change_number(text).map(|change| format!("change-{change}")).unwrap_or_default();
        let Some((_, parent, submitted)) = self.submitted.get(&order) else {
            return Err(format!("version {number} at node {node} was asked for by nobody"));
        };
        if submitted != text {
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
            // The version that a change was made on is for all nodes, even if no other node has been seen
            // with it yet.
            if parent != 0 {
                self.check_for_all(now, parent, quiet)
                    .map_err(|why| format!("{why}: {number} was made on it"))?;
            }
            self.counts.agreed += 1;
            let known = VersionRecord {
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
            return self
                .check_for_all(now, number, quiet)
                .map_err(|why| format!("{why}: it is at node {node}"));
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

    /// Checks a version that is seen at a node that is not a canary.
    fn check_for_all(&mut self, now: Micros, number: u64, quiet: Option<Micros>) -> CheckResult {
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
        let rival = |(other, rival): &(&u64, &VersionRecord)| {
            **other != number && rival.parent == parent && rival.for_all.is_some()
        };
        match self.known.iter().find(rival) {
            Some((rival, _)) => {
                Err(format!("versions {rival} and {number} were made on {parent}, and both are for all"))
            }
            None => Ok(()),
        }
    }

    /// Records that a version refuses or loses calls at enough canaries for the difference to be seen, before
    /// it is for all nodes.
    pub fn calls_harmed(&mut self, now: Micros, number: u64) {
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

    /// Checks a node's answer to an operator.
    pub fn check_answer(&mut self, node: usize, answer: &Value) -> CheckResult {
        let order = answer["order"].as_str().unwrap_or("");
        let told = match (answer["number"].as_u64(), answer["error"].as_str()) {
            (Some(number), _) if answer["ok"] == true => Ok(number),
            // Such a change may still be agreed.
            (_, Some(error)) if error.starts_with("not agreed in time") => return Ok(()),
            (_, error) => Err(error.unwrap_or("").to_owned()),
        };
        self.counts.refused += u64::from(told.is_err());
        if let Some(before) = self.answers.insert(order.to_owned(), told.clone()) {
            if before != told {
                return Err(format!("{order} was answered {before:?}, and {told:?} at node {node}"));
            }
        }
        let Some((.., text)) = self.submitted.get(order) else {
            return Err(format!("node {node} answers {order}, which was never given"));
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

    /// Checks the status that a node reports.
    pub fn check_status(&mut self, now: Micros, node: usize, status: &Value) -> CheckResult {
        let field_of = |field: &str| status[field].as_u64().unwrap_or(0);
        let (step, in_force, newest) = (field_of("step"), field_of("in_force"), field_of("newest"));
        let phase = status["phase"].as_str().unwrap_or("");
        let run = &mut self.runs[node];
        if step < run.step {
            return Err(format!("node {node} went back from step {} to {step}", run.step));
        }
        if in_force != run.in_force {
            if in_force < run.in_force && run.last_try_step <= run.in_force_step {
                let (before, since) = (run.in_force, run.in_force_step);
                return Err(format!(
                    "node {node} went back from version {before} to {in_force} at step {}, not above {since}",
                    run.last_try_step
                ));
            }
            run.in_force_step = run.last_try_step;
        }
        (run.step, run.in_force) = (step, in_force);
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
                // The bound counts from the beginning of a trial to the last node.
                let ends = self.steps.last_key_value().is_some_and(|(_, (_, phase))| phase == "trial");
                if step > self.last_step.0 {
                    self.last_step =
                        (step, if ends && meaning.1 != "trial" { self.last_step.1 } else { now });
                }
                self.steps.insert(step, meaning);
                Ok(())
            }
        }
    }

    /// Returns the newest version as of the last step, and whether it is under trial.
    pub fn newest(&self) -> (u64, bool) {
        self.steps.last_key_value().map_or((0, false), |(_, (newest, phase))| (*newest, phase == "trial"))
    }

    /// Returns the text of a version.
    pub fn text(&self, number: u64) -> Option<&str> {
        self.known.get(&number).map(|known| known.text.as_str())
    }
}
