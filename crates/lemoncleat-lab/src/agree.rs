//! A rehearsal of what a fleet agrees on: real processes, links through the relay, faults that overlap with
//! operators' orders, and a judge that reads nothing but answers of control ports.
//!
//! Operators give marks, each under an order of its own, at any node, and again at another until they have an
//! answer. Whatever failed meanwhile, every answer must be true at every node in the end.

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

/// Operators that give orders at once, and how often each does.
const OPERATORS: usize = 4;
const EVERY: Duration = Duration::from_millis(100);
/// Between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(20);
/// Zones that the nodes stand in.
const ZONES: [&str; 3] = ["north", "middle", "south"];
/// Voters of the fleet, one in each zone.
const VOTERS: usize = 3;

/// What is rehearsed.
#[derive(Clone, Debug)]
pub struct AgreePlan {
    /// The binary of the product.
    pub binary: PathBuf,
    /// Nodes, 3 to 64.
    pub nodes: usize,
    /// Seed of faults and orders.
    pub seed: u64,
    /// How long faults come.
    pub length: Duration,
    /// A folder that is made for it.
    pub folder: PathBuf,
}

/// One thing that was looked at.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// What must hold.
    pub law: &'static str,
    /// How often it was put to the test.
    pub cases: u64,
    /// Where it did not hold.
    pub broken: Vec<String>,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct AgreeVerdict {
    /// The laws.
    pub checks: Vec<Check>,
    /// How often each fault was played.
    pub faults: BTreeMap<&'static str, u64>,
    /// From the end of each fault until an order was agreed again, in milliseconds, longest first.
    pub recovered_ms: Vec<u64>,
    /// Orders that were answered, and asked again before they were.
    pub answered: u64,
    /// Times an order was asked again.
    pub asked_again: u64,
}

impl AgreeVerdict {
    /// Whether everything held.
    pub fn kept(&self) -> bool {
        self.checks.iter().all(|check| check.broken.is_empty())
    }
}

/// An order that was answered.
#[derive(Clone, Debug)]
struct Answer {
    order: String,
    index: u64,
    node: usize,
}

#[derive(Default)]
struct Told {
    asked: BTreeSet<String>,
    answers: Vec<Answer>,
    again: u64,
}

#[derive(Default)]
struct Shared {
    told: Mutex<Told>,
    stop: AtomicBool,
    bell: Condvar,
}

impl Shared {
    fn told(&self) -> std::sync::MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks a node for a mark; none if it did not answer that it is agreed.
fn mark(control: &mut Control, order: &str) -> Option<u64> {
    let answer = control.ask(&json!({"op": "mark", "order": order, "text": "rehearsed"})).ok()?;
    answer["index"].as_u64().filter(|_| answer["ok"] == true)
}

fn operate(shared: &Shared, number: usize, nodes: &[std::net::SocketAddr], seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed ^ (number as u64 + 1));
    for turn in 0u64.. {
        if shared.stop.load(Ordering::SeqCst) {
            return;
        }
        let order = format!("operator{number}-{turn}");
        shared.told().asked.insert(order.clone());
        let mut first = true;
        // Some orders are given to two nodes though the first has answered.
        let mut wanted = if turn % 5 == 0 { 2 } else { 1 };
        while wanted > 0 && !shared.stop.load(Ordering::SeqCst) {
            if !std::mem::take(&mut first) {
                shared.told().again += 1;
            }
            let node = random.random_range(0..nodes.len());
            let index = Control::connect(nodes[node]).ok().and_then(|mut at| mark(&mut at, &order));
            let mut told = shared.told();
            if let Some(index) = index {
                told.answers.push(Answer { order: order.clone(), index, node });
                wanted -= 1;
            }
            // The pace of the load; the bell ends it early.
            drop(shared.bell.wait_timeout(told, EVERY));
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
        // Its own address is nobody's to dial.
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
    shared: Arc<Shared>,
    random: SmallRng,
}

impl Rehearsal {
    fn name(&self, node: usize) -> String {
        self.fleet.processes[node].name().to_owned()
    }

    /// Who leads, as the voters that answer say; a voter at random if nobody knows.
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

    /// Waits until an order given at a node is agreed, and notes how long that took.
    fn recover(&mut self, node: usize, told: &mut dyn FnMut(&str)) -> io::Result<()> {
        let began = Instant::now();
        self.probes += 1;
        let order = format!("probe{}", self.probes);
        self.shared.told().asked.insert(order.clone());
        while began.elapsed() < LIMIT {
            if let Some(index) = self.fleet.control(node).ok().and_then(|mut at| mark(&mut at, &order)) {
                self.shared.told().answers.push(Answer { order, index, node });
                let took = began.elapsed().as_millis() as u64;
                self.recovered.push(took);
                told(&format!("  agreed again after {took} ms"));
                return Ok(());
            }
            self.shared.told().again += 1;
        }
        let why = format!("{order} was not agreed within {} s of the end of a fault", LIMIT.as_secs());
        Err(io::Error::new(io::ErrorKind::TimedOut, why))
    }

    fn pass(&self, span: u64) {
        // How long the fault lasts is what the fault is.
        std::thread::sleep(Duration::from_millis(span));
    }

    /// Plays one fault and waits until orders are agreed again.
    fn fault(&mut self, number: u32, told: &mut dyn FnMut(&str)) -> io::Result<()> {
        let leader = self.leader();
        let others: Vec<usize> = self.voters.iter().copied().filter(|at| *at != leader).collect();
        let span = self.random.random_range(500..2_000);
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
        told(&format!("{what} ({name}, {span} ms)"));
        *self.faults.entry(what).or_default() += 1;
        match number {
            0 => {
                self.fleet.processes[leader].kill()?;
                self.pass(span);
                self.fleet.restart(&self.links, leader, Disk::Kept)?;
            }
            1 => {
                self.fleet.processes[leader].pause()?;
                self.pass(span);
                self.fleet.processes[leader].resume()?;
            }
            2..=4 => {
                let cut = if span % 2 == 0 { Cut::Late } else { Cut::Lost };
                let trouble = self.links.alone(&name, number != 4, number != 3, cut)?;
                self.pass(span);
                self.links.end(trouble)?;
            }
            5 => {
                let (a, b) = (self.name(leader), self.name(others[0]));
                let there = self.links.cut(&[&a], &[&b], Cut::Late)?;
                let back = self.links.cut(&[&b], &[&a], Cut::Late)?;
                self.pass(span);
                self.links.end(there)?;
                self.links.end(back)?;
            }
            6 => {
                for _ in 0..5 {
                    let trouble = self.links.alone(&name, true, true, Cut::Late)?;
                    self.pass(span / 5);
                    self.links.end(trouble)?;
                    self.pass(span / 5);
                }
            }
            7 => {
                for at in [leader, others[0]] {
                    self.fleet.processes[at].kill()?;
                }
                self.pass(span);
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
                self.pass(span);
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
                return self.recover(at, told);
            }
        }
        self.recover(leader, told)
    }

    /// A voter comes back without its disk: it is told so and never votes again, the others go on.
    fn lose_a_disk(&mut self, told: &mut dyn FnMut(&str)) -> io::Result<()> {
        let leader = self.leader();
        let at = self.voters.iter().copied().find(|at| *at != leader).unwrap_or(leader);
        let what = "a voter loses its disk";
        told(&format!("{what} ({})", self.name(at)));
        *self.faults.entry(what).or_default() += 1;
        self.fleet.processes[at].kill()?;
        let since = self.fleet.processes[at].log_lines();
        self.fleet.restart(&self.links, at, Disk::Lost)?;
        self.fleet.processes[at].wait_for_log(since, |line| line.contains("only learns from now on"))?;
        self.recover(at, told)
    }
}

/// Plays a rehearsal. `told` hears a line for each thing that happens.
///
/// # Errors
///
/// When a process or the relay can't be started or steered, or nothing is agreed for long after a fault.
pub fn rehearse_agree(plan: &AgreePlan, told: &mut dyn FnMut(&str)) -> io::Result<AgreeVerdict> {
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
    let shared = Arc::<Shared>::default();
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
    rehearsal.recover(plan.nodes - 1, told)?;
    let played = std::thread::scope(|scope| {
        for number in 0..OPERATORS {
            let (shared, ports) = (&*shared, &*ports);
            scope.spawn(move || operate(shared, number, ports, plan.seed));
        }
        let began = Instant::now();
        let mut play = || {
            // Each fault once, in an order of the seed, then any.
            let mut left: Vec<u32> = (0..11).collect();
            while began.elapsed() < plan.length {
                let number = match left.len() {
                    0 => rehearsal.random.random_range(0..11),
                    count => left.swap_remove(rehearsal.random.random_range(0..count)),
                };
                rehearsal.fault(number, told)?;
            }
            rehearsal.lose_a_disk(told)
        };
        let played = play();
        shared.stop.store(true, Ordering::SeqCst);
        shared.bell.notify_all();
        played
    });
    let lists = played
        .and_then(|()| (0..plan.nodes).try_for_each(|node| rehearsal.recover(node, told)))
        .and_then(|()| gather(&rehearsal));
    if lists.is_err() {
        told(&format!("logs of the nodes are kept in {}", rehearsal.fleet.keep().display()));
    }
    let lists = lists?;
    let told = shared.told();
    let mut recovered_ms = rehearsal.recovered.clone();
    recovered_ms.sort_unstable_by(|a, b| b.cmp(a));
    Ok(AgreeVerdict {
        checks: judge(&told, &lists),
        faults: rehearsal.faults.clone(),
        recovered_ms,
        answered: told.answers.len() as u64,
        asked_again: told.again,
    })
}

type List = Vec<(u64, String)>;

/// The marks of each node, once it has all that was answered.
fn gather(rehearsal: &Rehearsal) -> io::Result<Vec<List>> {
    let last = rehearsal.shared.told().answers.iter().map(|answer| answer.index).max().unwrap_or(0);
    let mut lists = Vec::new();
    for node in 0..rehearsal.fleet.processes.len() {
        let began = Instant::now();
        lists.push(loop {
            let answer = rehearsal.fleet.control(node)?.ask(&json!({"op": "marks"}))?;
            if answer["index"].as_u64().is_some_and(|index| index >= last) {
                break list(&answer);
            }
            if began.elapsed() > LIMIT {
                return Err(io::Error::other(format!("node {node} never came to know entry {last}")));
            }
            std::thread::sleep(LOOK);
        });
    }
    Ok(lists)
}

fn list(answer: &Value) -> List {
    let marks = answer["marks"].as_array().cloned().unwrap_or_default();
    let mark = |mark: &Value| Some((mark["index"].as_u64()?, mark["order"].as_str()?.to_owned()));
    marks.iter().filter_map(mark).collect()
}

fn judge(told: &Told, lists: &[List]) -> Vec<Check> {
    let check = |law| Check { law, cases: 0, broken: Vec::new() };
    let mut answers = check("an order that was answered stands at its entry, at every node");
    let mut once = check("an order stands once, however often it was asked for");
    let mut asked = check("nothing is agreed that nobody asked for");
    let mut same = check("all nodes hold the same, in the same order");
    let shortest = lists.iter().min_by_key(|list| list.len());
    for (node, list) in lists.iter().enumerate() {
        let by_order: BTreeMap<&str, u64> =
            list.iter().map(|(index, order)| (order.as_str(), *index)).collect();
        // Marks beyond the number that is kept are forgotten, the oldest first.
        let first = list.first().map_or(0, |(index, _)| *index);
        for answer in told.answers.iter().filter(|answer| answer.index >= first) {
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
            once.broken.push(format!("node {node} has an order twice"));
        }
        for (index, order) in list {
            asked.cases += 1;
            if !told.asked.contains(order) {
                asked.broken.push(format!("entry {index} of node {node}: {order}"));
            }
        }
        same.cases += 1;
        if shortest.is_some_and(|shortest| !list.starts_with(shortest)) {
            same.broken.push(format!("node {node} differs"));
        }
    }
    vec![answers, once, asked, same]
}

#[cfg(test)]
mod tests {
    use super::*;

    fn broken(lists: &[List]) -> Vec<usize> {
        let answer = |order: &str, index| Answer { order: order.to_owned(), index, node: 0 };
        let asked = ["a", "b", "c"].map(str::to_owned).into_iter().collect();
        let told = Told { asked, answers: vec![answer("a", 2), answer("b", 5)], again: 0 };
        judge(&told, lists).iter().map(|check| check.broken.len()).collect()
    }

    fn list(of: &[(u64, &str)]) -> List {
        of.iter().map(|(index, order)| (*index, (*order).to_owned())).collect()
    }

    #[test]
    fn each_law_is_found_broken_by_the_one_list_that_breaks_it() {
        let good = list(&[(2, "a"), (4, "c"), (5, "b")]);
        assert_eq!(broken(&[good.clone(), good.clone()]), [0, 0, 0, 0]);
        let lost = list(&[(2, "a"), (4, "c")]);
        assert_eq!(broken(&[lost]), [1, 0, 0, 0]);
        let twice = list(&[(2, "a"), (4, "c"), (5, "b"), (6, "c")]);
        assert_eq!(broken(&[twice]), [0, 1, 0, 0]);
        let stray = list(&[(2, "a"), (4, "x"), (5, "b")]);
        assert_eq!(broken(&[stray]), [0, 0, 1, 0]);
        let other = list(&[(2, "a"), (3, "c"), (5, "b")]);
        assert_eq!(broken(&[good, other]), [0, 0, 0, 1]);
    }
}
