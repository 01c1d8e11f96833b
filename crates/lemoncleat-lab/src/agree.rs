//! A fault-injection test of the fleet's agreement: real processes connected through the relay, faults that
//! overlap with operators' orders, and a judge that reads only answers of control ports.
//!
//! Operators submit marks, each under its own order id, at any node, and retry at another node until one
//! answers. Whatever failed in between, every answer must hold at every node at the end.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use serde_json::{json, Value};

use crate::stage::{Control, Cut, Disk, Fleet, FleetPlan, Links, Member, Program, Site, LIMIT};

/// Number of concurrent operators, and the interval between two requests of each.
const OPERATOR_COUNT: usize = 4;
const ORDER_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two polls of a node's marks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Zones over which the nodes are spread.
const ZONES: [&str; 3] = ["north", "middle", "south"];
/// Voters of the fleet, one in each zone.
const VOTERS: usize = 3;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct AgreePlan {
    /// Path of the product's binary.
    pub binary: PathBuf,
    /// Number of nodes, 3 to 64.
    pub nodes: usize,
    /// Seed of the faults and orders.
    pub seed: u64,
    /// Time during which faults are injected.
    pub length: Duration,
    /// Folder that is created for the run.
    pub folder: PathBuf,
}

/// Result of one check.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// Property that must hold.
    pub law: &'static str,
    /// Number of cases that were checked.
    pub cases: u64,
    /// Descriptions of the cases that violated it.
    pub broken: Vec<String>,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct AgreeVerdict {
    /// Results of the checks.
    pub checks: Vec<Check>,
    /// Number of times each fault was injected.
    pub faults: BTreeMap<&'static str, u64>,
    /// Time from the end of each fault until an order was agreed, in milliseconds, longest first.
    pub recovered_ms: Vec<u64>,
    /// Number of answers to orders; an order that two nodes answered counts twice.
    pub answered: u64,
    /// Number of times an order was sent again.
    pub asked_again: u64,
}

impl AgreeVerdict {
    /// Returns whether every check passed.
    pub fn kept(&self) -> bool {
        self.checks.iter().all(|check| check.broken.is_empty())
    }
}

/// An answer to an order, with the index of its entry.
#[derive(Clone, Debug)]
struct Answer {
    order: String,
    index: u64,
    node: usize,
}

#[derive(Default)]
struct OrderLog {
    asked: BTreeSet<String>,
    answers: Vec<Answer>,
    repeats: u64,
}

#[derive(Default)]
struct LoadState {
    order_log: Mutex<OrderLog>,
    stop: AtomicBool,
    pace: Condvar,
}

impl LoadState {
    fn order_log(&self) -> std::sync::MutexGuard<'_, OrderLog> {
        self.order_log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Submits a mark at a node and returns its index, or `None` unless the node answers that it is agreed.
fn submit_mark(control: &mut Control, order: &str) -> Option<u64> {
    let answer = control.ask(&json!({"op": "mark", "order": order, "text": "rehearsed"})).ok()?;
    answer["index"].as_u64().filter(|_| answer["ok"] == true)
}

fn run_operator(shared: &LoadState, number: usize, nodes: &[std::net::SocketAddr], seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed ^ (number as u64 + 1));
    for turn in 0u64.. {
        if shared.stop.load(Ordering::SeqCst) {
            return;
        }
        let order = format!("operator{number}-{turn}");
        shared.order_log().asked.insert(order.clone());
        let mut first = true;
        // Every fifth order is sent until two requests are answered, to check that it is not agreed twice.
        let mut wanted = if turn % 5 == 0 { 2 } else { 1 };
        while wanted > 0 && !shared.stop.load(Ordering::SeqCst) {
            if !std::mem::take(&mut first) {
                shared.order_log().repeats += 1;
            }
            let node = random.random_range(0..nodes.len());
            let index = Control::connect(nodes[node]).ok().and_then(|mut at| submit_mark(&mut at, &order));
            let mut order_log = shared.order_log();
            if let Some(index) = index {
                order_log.answers.push(Answer { order: order.clone(), index, node });
                wanted -= 1;
            }
            // Paces the load; a notification at the end of the run cuts the wait short.
            drop(shared.pace.wait_timeout(order_log, ORDER_INTERVAL));
        }
    }
}

fn settings(site: &Site<'_>, voters: &BTreeSet<String>) -> io::Result<String> {
    let own = &site.member.name;
    let mut text = format!(
        "(plain yes) (host {own}) (realm lab) (listen 127.0.0.1:0) (control 127.0.0.1:0)
(servers (server (host s.lab) (address 127.0.0.1:9)))
(clients c.lab) (classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
(plan (prefix (digits 351) (class browse) (place 0)))
(log (filter info))
(fleet (round 100ms) (zone {}) ",
        site.member.zone
    );
    text += "(members";
    for member in site.members {
        // The node's own entry is listed too; no node dials it.
        let address = site.address(&member.name)?;
        text += &format!(" (member (host {}) (address \"{address}\") (zone {}))", member.name, member.zone);
    }
    text += ") (voters";
    for voter in voters {
        text += &format!(" {voter}");
    }
    text += ")";
    if voters.contains(own) {
        text += &format!(" (store {:?})", site.disk.display().to_string());
    }
    Ok(text + ")")
}

struct Rehearsal {
    links: Links,
    fleet: Fleet,
    voters: Vec<usize>,
    faults: BTreeMap<&'static str, u64>,
    recovered: Vec<u64>,
    probes: u64,
    shared: Arc<LoadState>,
    random: SmallRng,
}

impl Rehearsal {
    fn name(&self, node: usize) -> String {
        self.fleet.processes[node].name().to_owned()
    }

    /// Returns the leader that the first answering voter names, or a random voter if none names one.
    fn leader(&mut self) -> usize {
        for voter in self.voters.clone() {
            let answer = self.fleet.control(voter).and_then(|mut at| at.ask(&json!({"op": "agreement"})));
            let leader = answer.ok().and_then(|answer| answer["leader"].as_str().map(str::to_owned));
            let at = leader.and_then(|leader| self.voters.iter().find(|at| self.name(**at) == leader));
            if let Some(at) = at {
                return *at;
            }
        }
        self.voters.choose(&mut self.random).copied().unwrap_or(0)
    }

    /// Waits until an order submitted at a node is agreed, and records how long that took.
    fn recover(&mut self, node: usize, report: &mut dyn FnMut(&str)) -> io::Result<()> {
        let began = Instant::now();
        self.probes += 1;
        let order = format!("probe{}", self.probes);
        self.shared.order_log().asked.insert(order.clone());
        while began.elapsed() < LIMIT {
            if let Some(index) = self.fleet.control(node).ok().and_then(|mut at| submit_mark(&mut at, &order))
            {
                self.shared.order_log().answers.push(Answer { order, index, node });
                let took = began.elapsed().as_millis() as u64;
                self.recovered.push(took);
                report(&format!("  agreed again after {took} ms"));
                return Ok(());
            }
            self.shared.order_log().repeats += 1;
        }
        let why = format!("{order} was not agreed within {} s of the end of a fault", LIMIT.as_secs());
        Err(io::Error::new(io::ErrorKind::TimedOut, why))
    }

    fn hold_fault(&self, duration_ms: u64) {
        // The fault lasts for this time.
        std::thread::sleep(Duration::from_millis(duration_ms));
    }

    /// Injects one fault and waits until an order is agreed after it.
    fn fault(&mut self, number: u32, report: &mut dyn FnMut(&str)) -> io::Result<()> {
        let leader = self.leader();
        let others: Vec<usize> = self.voters.iter().copied().filter(|at| *at != leader).collect();
        let duration_ms = self.random.random_range(500..2_000);
        let name = self.name(leader);
        let names: Vec<String> = (0..self.fleet.processes.len()).map(|at| self.name(at)).collect();
        let rest: Vec<&str> = names.iter().map(String::as_str).filter(|other| *other != name).collect();
        let what = match number {
            0 => "the leader killed",
            1 => "the leader paused",
            2 => "the leader cut off",
            3 => "the leader not heard",
            4 => "the leader hears nothing",
            5 => "two voters cut from each other, a third sees both",
            6 => "the leader's links flap",
            7 => "two of three voters killed",
            8 => "a zone cut off",
            9 => "all connections of the leader reset",
            _ => "a node that follows starts anew without its disk",
        };
        report(&format!("{what} ({name}, {duration_ms} ms)"));
        *self.faults.entry(what).or_default() += 1;
        match number {
            0 => {
                self.fleet.processes[leader].kill()?;
                self.hold_fault(duration_ms);
                self.fleet.restart(&self.links, leader, Disk::Kept)?;
            }
            1 => {
                self.fleet.processes[leader].pause()?;
                self.hold_fault(duration_ms);
                self.fleet.processes[leader].resume()?;
            }
            2..=4 => {
                let cut = if duration_ms % 2 == 0 { Cut::Late } else { Cut::Lost };
                let trouble = self.links.alone(&name, number != 4, number != 3, cut)?;
                self.hold_fault(duration_ms);
                self.links.end(trouble)?;
            }
            5 => {
                let (a, b) = (self.name(leader), self.name(others[0]));
                let there = self.links.cut(&[&a], &[&b], Cut::Late)?;
                let back = self.links.cut(&[&b], &[&a], Cut::Late)?;
                self.hold_fault(duration_ms);
                self.links.end(there)?;
                self.links.end(back)?;
            }
            6 => {
                for _ in 0..5 {
                    let trouble = self.links.alone(&name, true, true, Cut::Late)?;
                    self.hold_fault(duration_ms / 5);
                    self.links.end(trouble)?;
                    self.hold_fault(duration_ms / 5);
                }
            }
            7 => {
                for at in [leader, others[0]] {
                    self.fleet.processes[at].kill()?;
                }
                self.hold_fault(duration_ms);
                for at in [leader, others[0]] {
                    self.fleet.restart(&self.links, at, Disk::Kept)?;
                }
            }
            8 => {
                let zone = self.fleet.members()[leader].zone.clone();
                let inside: Vec<String> = self.fleet.of_zone(&zone).into_iter().map(str::to_owned).collect();
                let inside: Vec<&str> = inside.iter().map(String::as_str).collect();
                let outside: Vec<&str> =
                    names.iter().map(String::as_str).filter(|name| !inside.contains(name)).collect();
                let trouble = self.links.partition(&[&inside, &outside], Cut::Late)?;
                self.hold_fault(duration_ms);
                self.links.end(trouble)?;
            }
            9 => {
                self.links.reset(&[&name], &rest)?;
            }
            _ => {
                let followers = (0..names.len()).filter(|at| !self.voters.contains(at));
                let followers: Vec<usize> = followers.collect();
                let Some(at) = followers.choose(&mut self.random).copied() else { return Ok(()) };
                self.fleet.processes[at].kill()?;
                self.fleet.restart(&self.links, at, Disk::Lost)?;
                return self.recover(at, report);
            }
        }
        self.recover(leader, report)
    }

    /// Restarts a voter without its disk: it must report that it only learns, and the others must go on.
    fn lose_voter_disk(&mut self, report: &mut dyn FnMut(&str)) -> io::Result<()> {
        let leader = self.leader();
        let at = self.voters.iter().copied().find(|at| *at != leader).unwrap_or(leader);
        let what = "a voter loses its disk";
        report(&format!("{what} ({})", self.name(at)));
        *self.faults.entry(what).or_default() += 1;
        self.fleet.processes[at].kill()?;
        let since = self.fleet.processes[at].log_lines();
        self.fleet.restart(&self.links, at, Disk::Lost)?;
        self.fleet.processes[at].wait_for_log(since, |line| line.contains("only learns from now on"))?;
        self.recover(at, report)
    }
}

/// Runs the test. `report` receives a line for each event.
///
/// # Errors
///
/// Fails if a process or the relay can't be started or controlled, or if no order is agreed within
/// [`LIMIT`] after a fault.
pub fn rehearse_agree(plan: &AgreePlan, report: &mut dyn FnMut(&str)) -> io::Result<AgreeVerdict> {
    if !(VOTERS..=64).contains(&plan.nodes) {
        return Err(io::Error::other(format!("{} nodes, expected {VOTERS} to 64", plan.nodes)));
    }
    let links = Links::new()?;
    let members = Member::spread(plan.nodes, &ZONES);
    let voters: BTreeSet<String> = members.iter().take(VOTERS).map(|member| member.name.clone()).collect();
    let folder = plan.folder.clone();
    let fleet_plan = FleetPlan { program: Program::node(&plan.binary), members, folder };
    let fleet = Fleet::start(&links, fleet_plan, |site| settings(site, &voters))?;
    let ports = (0..plan.nodes)
        .map(|at| fleet.ready(at).and_then(|ready| ready.control))
        .collect::<Option<Vec<_>>>()
        .ok_or_else(|| io::Error::other("a node without a control port"))?;
    let shared = Arc::<LoadState>::default();
    let mut rehearsal = Rehearsal {
        links,
        fleet,
        voters: (0..VOTERS).collect(),
        faults: BTreeMap::new(),
        recovered: Vec::new(),
        probes: 0,
        shared: shared.clone(),
        random: SmallRng::seed_from_u64(plan.seed),
    };
    rehearsal.recover(plan.nodes - 1, report)?;
    let played = std::thread::scope(|scope| {
        for number in 0..OPERATOR_COUNT {
            let (shared, ports) = (&*shared, &*ports);
            scope.spawn(move || run_operator(shared, number, ports, plan.seed));
        }
        let began = Instant::now();
        let mut play = || {
            // Each fault once, in an order drawn from the seed, then faults at random.
            let mut left: Vec<u32> = (0..11).collect();
            while began.elapsed() < plan.length {
                let number = match left.len() {
                    0 => rehearsal.random.random_range(0..11),
                    count => left.swap_remove(rehearsal.random.random_range(0..count)),
                };
                rehearsal.fault(number, report)?;
            }
            rehearsal.lose_voter_disk(report)
        };
        let played = play();
        shared.stop.store(true, Ordering::SeqCst);
        shared.pace.notify_all();
        played
    });
    let lists = played
        .and_then(|()| (0..plan.nodes).try_for_each(|node| rehearsal.recover(node, report)))
        .and_then(|()| collect_marks(&rehearsal));
    if lists.is_err() {
        report(&format!("logs of the nodes are kept in {}", rehearsal.fleet.keep().display()));
    }
    let lists = lists?;
    let order_log = shared.order_log();
    let mut recovered_ms = rehearsal.recovered.clone();
    recovered_ms.sort_unstable_by(|a, b| b.cmp(a));
    Ok(AgreeVerdict {
        checks: judge(&order_log, &lists),
        faults: rehearsal.faults.clone(),
        recovered_ms,
        answered: order_log.answers.len() as u64,
        asked_again: order_log.repeats,
    })
}

type MarkList = Vec<(u64, String)>;

/// Reads the marks of each node, once it has caught up with the last answered entry.
fn collect_marks(rehearsal: &Rehearsal) -> io::Result<Vec<MarkList>> {
    let last = rehearsal.shared.order_log().answers.iter().map(|answer| answer.index).max().unwrap_or(0);
    let mut lists = Vec::new();
    for node in 0..rehearsal.fleet.processes.len() {
        let began = Instant::now();
        lists.push(loop {
            let answer = rehearsal.fleet.control(node)?.ask(&json!({"op": "marks"}))?;
            if answer["index"].as_u64().is_some_and(|index| index >= last) {
                break parse_marks(&answer);
            }
            if began.elapsed() > LIMIT {
                return Err(io::Error::other(format!("node {node} did not learn entry {last} in time")));
            }
            std::thread::sleep(POLL_INTERVAL);
        });
    }
    Ok(lists)
}

fn parse_marks(answer: &Value) -> MarkList {
    let marks = answer["marks"].as_array().cloned().unwrap_or_default();
    let mark = |mark: &Value| Some((mark["index"].as_u64()?, mark["order"].as_str()?.to_owned()));
    marks.iter().filter_map(mark).collect()
}

fn judge(order_log: &OrderLog, lists: &[MarkList]) -> Vec<Check> {
    let check = |law| Check { law, cases: 0, broken: Vec::new() };
    let mut answers = check("an order that was answered stands at its entry, at every node");
    let mut once = check("an order stands once, however often it was asked for");
    let mut asked = check("nothing is agreed that nobody asked for");
    let mut same = check("all nodes hold the same, in the same order");
    let shortest = lists.iter().min_by_key(|list| list.len());
    for (node, list) in lists.iter().enumerate() {
        let by_order: BTreeMap<&str, u64> =
            list.iter().map(|(index, order)| (order.as_str(), *index)).collect();
        // A node keeps a limited number of marks and drops the oldest first, so earlier answers can't be
        // checked.
        let first = list.first().map_or(0, |(index, _)| *index);
        for answer in order_log.answers.iter().filter(|answer| answer.index >= first) {
            answers.cases += 1;
            if by_order.get(answer.order.as_str()) != Some(&answer.index) {
                let text = format!(
                    "{} was answered {} by node {}, node {node} has {:?}",
                    answer.order,
                    answer.index,
                    answer.node,
                    by_order.get(answer.order.as_str())
                );
                answers.broken.push(text);
            }
        }
        once.cases += list.len() as u64;
        if by_order.len() != list.len() {
            once.broken.push(format!("node {node} has an order at more than one entry"));
        }
        for (index, order) in list {
            asked.cases += 1;
            if !order_log.asked.contains(order) {
                asked.broken.push(format!("entry {index} of node {node}: {order}"));
            }
        }
        same.cases += 1;
        if shortest.is_some_and(|shortest| !list.starts_with(shortest)) {
            same.broken.push(format!("the marks of node {node} differ from those of the others"));
        }
    }
    vec![answers, once, asked, same]
}

#[cfg(test)]
mod tests {
    use super::*;

    fn broken(lists: &[MarkList]) -> Vec<usize> {
        let answer = |order: &str, index| Answer { order: order.to_owned(), index, node: 0 };
        let asked = ["a", "b", "c"].map(str::to_owned).into_iter().collect();
        let order_log = OrderLog { asked, answers: vec![answer("a", 2), answer("b", 5)], repeats: 0 };
        judge(&order_log, lists).iter().map(|check| check.broken.len()).collect()
    }

    fn list(of: &[(u64, &str)]) -> MarkList {
        of.iter().map(|(index, order)| (*index, (*order).to_owned())).collect()
    }

    #[test]
    fn judge_reports_exactly_the_violated_check() {
        let good = list(&[(2, "a"), (4, "c"), (5, "b")]);
        assert_eq!(broken(&[good.clone(), good.clone()]), [0, 0, 0, 0]);
        let lost = list(&[(2, "a"), (4, "c")]);
        assert_eq!(broken(&[lost]), [1, 0, 0, 0]);
        let twice = list(&[(2, "a"), (4, "c"), (5, "b"), (6, "c")]);
        assert_eq!(broken(&[twice]), [0, 1, 0, 0]);
        let unrequested = list(&[(2, "a"), (4, "x"), (5, "b")]);
        assert_eq!(broken(&[unrequested]), [0, 0, 1, 0]);
        let other = list(&[(2, "a"), (3, "c"), (5, "b")]);
        assert_eq!(broken(&[good, other]), [0, 0, 0, 1]);
    }
}
