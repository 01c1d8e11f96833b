//! Tests each fault point of the agreement and of the fleet in real processes. The point is armed at one of
//! five nodes and reached, the fault is injected there, and then the invariants are checked: every answered
//! order is in the log of every node exactly once and at the answered index, no order is agreed that was not
//! requested, all nodes agree on new orders, and all nodes consider all others alive.
//!
//! The cases are taken from the table of fault points. The test fails if a point is not reached.
#![cfg(feature = "faults")]

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use lemoncleat_faults::{Fault, Point, POINTS};
use lemoncleat_lab::stage::{
    carry_out, Control, Disk, Fleet, FleetPlan, Links, Member, Points, Program, Site, LIMIT,
};
use serde_json::{json, Value};

const NODES: usize = 5;
/// Number of voters: the first nodes, one in each zone.
const VOTERS: usize = 3;
/// Non-voting nodes that are paused or killed to make the other nodes react.
const NON_VOTERS: [usize; 2] = [3, 4];
/// Interval between two checks of an awaited condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

fn failed(what: String) -> io::Error {
    io::Error::other(what)
}

fn wait(what: &str, mut until: impl FnMut() -> bool) -> io::Result<()> {
    let started = Instant::now();
    while !until() {
        if started.elapsed() > LIMIT {
            return Err(failed(format!("{what}: not within {} s", LIMIT.as_secs())));
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
    Ok(())
}

fn settings(site: &Site) -> io::Result<String> {
    let own = &site.member.name;
    let mut text = format!(
        "(plain yes) (host {own}) (realm lab) (listen 127.0.0.1:0) (control 127.0.0.1:0)
(servers (server (host s.lab) (address 127.0.0.1:9)))
(clients c.lab) (classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
(plan (prefix (digits 351) (class browse) (place 0)))
(log (filter info))
(fleet (round 100ms) (zone {}) (members",
        site.member.zone
    );
    for member in site.members {
        let address = site.address(&member.name)?;
        text += &format!(" (member (host {}) (address \"{address}\") (zone {}))", member.name, member.zone);
    }
    text += ") (voters n1 n2 n3)";
    if site.members.iter().take(VOTERS).any(|voter| voter.name == *own) {
        text += &format!(" (store {:?})", site.disk.display().to_string());
    }
    Ok(text + ")")
}

#[derive(Default)]
struct OrderRecord {
    requested: BTreeSet<String>,
    answered: BTreeMap<String, u64>,
}

/// Simulated operators at the control ports, and the orders and answers so far.
struct Operators {
    ports: Mutex<Vec<SocketAddr>>,
    orders: Mutex<OrderRecord>,
}

impl Operators {
    fn order_record(&self) -> MutexGuard<'_, OrderRecord> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connect(&self, node: usize) -> io::Result<Control> {
        let port = self.ports.lock().unwrap_or_else(PoisonError::into_inner)[node];
        Control::connect(port)
    }

    fn ask(&self, node: usize, op: &str) -> io::Result<Value> {
        self.connect(node)?.ask(&json!({"op": op}))
    }

    /// Returns a new order and records it as requested.
    fn order(&self) -> String {
        let mut record = self.order_record();
        let order = format!("order{}", record.requested.len());
        record.requested.insert(order.clone());
        order
    }

    /// Records an answer; an order that was answered before must have the same index.
    fn answer(&self, answer: &Value) -> io::Result<bool> {
        let (Some(order), Some(index)) = (answer["order"].as_str(), answer["index"].as_u64()) else {
            return Ok(false);
        };
        match self.order_record().answered.insert(order.to_owned(), index) {
            Some(before) if before != index => {
                Err(failed(format!("{order} was answered with index {before}, then with {index}")))
            }
            _ => Ok(true),
        }
    }

    /// Requests one order at each of these nodes in turn and waits for the answer of each.
    fn agree(&self, nodes: &[usize]) -> io::Result<()> {
        let order = self.order();
        for node in nodes {
            let started = Instant::now();
            loop {
                let mark = json!({"op": "mark", "order": order, "text": "t"});
                let answer = self.connect(*node).and_then(|mut control| control.ask(&mark));
                if self.answer(answer.as_ref().unwrap_or(&Value::Null))? {
                    break;
                }
                if started.elapsed() > LIMIT {
                    return Err(failed(format!("{order} was not agreed at n{}: {answer:?}", node + 1)));
                }
            }
        }
        Ok(())
    }

    /// Sends orders to a node in batches of `batch` until `stop` is set or the node does not answer.
    fn keep_asking(&self, node: usize, batch: usize, stop: &AtomicBool) -> io::Result<()> {
        let Ok(mut control) = self.connect(node) else { return Ok(()) };
        while !stop.load(Ordering::SeqCst) {
            for _ in 0..batch {
                let order = self.order();
                if control.say(&json!({"op": "mark", "order": order, "text": "t"})).is_err() {
                    return Ok(());
                }
            }
            for _ in 0..batch {
                let Ok(answer) = control.hear() else { return Ok(()) };
                self.answer(&answer)?;
            }
        }
        Ok(())
    }

    /// Returns the state of a member as seen by a node.
    fn state(&self, node: usize, member: usize) -> Option<String> {
        let answer = self.ask(node, "members").ok()?;
        let host = format!("n{}", member + 1);
        let found = answer["members"].as_array()?.iter().find(|one| one["host"] == host.as_str())?;
        Some(found["state"].as_str()?.to_owned())
    }

    fn wait_gone(&self, nodes: &[usize], member: usize) -> io::Result<()> {
        wait(&format!("n{} gone", member + 1), || {
            nodes.iter().all(|node| self.state(*node, member).as_deref() == Some("gone"))
        })
    }

    /// Returns whether these nodes consider all members alive.
    fn all_alive(&self, nodes: &[usize]) -> bool {
        nodes.iter().all(|node| self.ask(*node, "members").is_ok_and(|answer| answer["alive"] == NODES))
    }

    /// Returns whether all voters take part in the agreement.
    fn all_vote(&self) -> bool {
        (0..VOTERS).all(|voter| self.ask(voter, "agreement").is_ok_and(|answer| answer["seat"] == "voter"))
    }

    fn leader(&self) -> Option<usize> {
        let leader = |voter| Some(self.ask(voter, "agreement").ok()?["leader"].as_str()?.to_owned());
        let known_leaders: Vec<Option<String>> = (0..VOTERS).map(leader).collect();
        let first = known_leaders.first()?.clone()?;
        let same = known_leaders.iter().all(|leader| leader.as_ref() == Some(&first));
        (0..VOTERS).find(|voter| same && format!("n{}", voter + 1) == first)
    }

    /// Checks the invariants at every node.
    fn judge(&self) -> io::Result<()> {
        let mut lists = Vec::new();
        for node in 0..NODES {
            let answer = self.ask(node, "marks")?;
            let marks = answer["marks"].as_array().cloned().unwrap_or_default();
            let mark = |mark: &Value| Some((mark["index"].as_u64()?, mark["order"].as_str()?.to_owned()));
            lists.push(marks.iter().filter_map(mark).collect::<Vec<(u64, String)>>());
        }
        let record = self.order_record();
        // Nodes keep only the latest thousand marks, so only the common range is compared.
        let first = lists.iter().filter_map(|list| Some(list.first()?.0)).max().unwrap_or(0);
        let last = lists.iter().filter_map(|list| Some(list.last()?.0)).min().unwrap_or(0);
        let common: Vec<Vec<&(u64, String)>> = lists
            .iter()
            .map(|list| list.iter().filter(|(index, _)| (first..=last).contains(index)).collect())
            .collect();
        for (node, list) in lists.iter().enumerate() {
            let by_order: BTreeMap<&str, u64> =
                list.iter().map(|(index, order)| (order.as_str(), *index)).collect();
            let name = format!("n{}", node + 1);
            if by_order.len() != list.len() {
                return Err(failed(format!("{name} has an order twice")));
            }
            if let Some(unrequested) = by_order.keys().find(|order| !record.requested.contains(**order)) {
                return Err(failed(format!("{name} has {unrequested}, which was not requested")));
            }
            let from = list.first().map_or(0, |(index, _)| *index);
            let mut answered = record.answered.iter().filter(|(_, index)| **index >= from);
            if let Some((order, index)) =
                answered.find(|(order, index)| by_order.get(order.as_str()) != Some(index))
            {
                return Err(failed(format!("{name} does not have {order} at index {index}")));
            }
            if common.first() != common.get(node) {
                return Err(failed(format!("{name} has other orders than n1")));
            }
        }
        Ok(())
    }
}

struct TestFleet {
    links: Links,
    points: Points,
    fleet: Fleet,
    operators: Arc<Operators>,
}

impl TestFleet {
    fn new(name: &str) -> io::Result<TestFleet> {
        let (links, points) = (Links::new()?, Points::listen()?);
        let mut program = Program::node(env!("CARGO_BIN_EXE_lemoncleat").as_ref());
        program.environment.push(points.variable());
        let folder: PathBuf =
            std::env::temp_dir().join(format!("lemoncleat-points-{}-{name}", std::process::id()));
        let members = Member::spread(NODES, &["north", "middle", "south"]);
        let fleet = Fleet::start(&links, FleetPlan { program, members, folder }, settings)?;
        let operators = Arc::new(Operators { ports: Mutex::default(), orders: Mutex::default() });
        let test_fleet = TestFleet { links, points, fleet, operators };
        test_fleet.note_ports();
        Ok(test_fleet)
    }

    fn note_ports(&self) {
        let ports = (0..NODES).filter_map(|node| self.fleet.ready(node)?.control).collect();
        *self.operators.ports.lock().unwrap_or_else(PoisonError::into_inner) = ports;
    }

    fn restart(&mut self, node: usize) -> io::Result<()> {
        self.fleet.restart(&self.links, node, Disk::Kept)?;
        self.note_ports();
        Ok(())
    }

    fn arm(&self, node: usize, case: &Case) -> io::Result<()> {
        self.points.arm(&self.fleet.processes[node], case.point, case.skip, case.fault)
    }

    /// Waits until the process reaches its fault point.
    fn reached(&self, node: usize) -> io::Result<()> {
        self.points.wait_reached(&self.fleet.processes[node]).map(drop)
    }

    /// Restarts a node with the fault point armed before it runs.
    fn start_armed(&mut self, node: usize, case: &Case) -> io::Result<()> {
        self.points.hold_starts(true);
        self.fleet.processes[node].restart(Disk::Kept)?;
        let armed = self.arm(node, case);
        self.points.hold_starts(false);
        self.points.go(&self.fleet.processes[node])?;
        armed
    }

    /// Makes a node reach its armed fault point by acting on the other nodes, which are restored afterwards.
    fn drive_to_point(&mut self, node: usize, leader: usize, case: &Case) -> io::Result<()> {
        match case.point.name {
            _ if case.at_start() => {
                self.start_armed(node, case)?;
                self.reached(node)
            }
            "AGREE_LEAD" => {
                self.arm(node, case)?;
                self.while_paused(&[leader], |test_fleet| test_fleet.reached(node))
            }
            "FLEET_SUSPECT" | "FLEET_GONE" => {
                self.arm(node, case)?;
                self.while_paused(&NON_VOTERS, |test_fleet| test_fleet.reached(node))
            }
            "FLEET_ALIVE" => {
                self.while_paused(&NON_VOTERS, |test_fleet| {
                    NON_VOTERS
                        .iter()
                        .try_for_each(|non_voter| test_fleet.operators.wait_gone(&[node], *non_voter))?;
                    test_fleet.arm(node, case)
                })?;
                self.reached(node)
            }
            "FLEET_FACT" => {
                self.arm(node, case)?;
                self.until_reached(node, |test_fleet| {
                    NON_VOTERS.iter().try_for_each(|non_voter| test_fleet.restart(*non_voter))
                })
            }
            "FLEET_REFUTE" => {
                self.arm(node, case)?;
                let other_nodes = other_nodes(node);
                self.until_reached(node, |test_fleet| {
                    test_fleet.while_paused(&[node], |test_fleet| {
                        test_fleet.operators.wait_gone(&other_nodes, node)
                    })
                })
            }
            _ => {
                self.arm(node, case)?;
                self.reached(node)
            }
        }
    }

    /// Repeats `provoke` until the node reaches its fault point.
    fn until_reached(
        &mut self,
        node: usize,
        mut provoke: impl FnMut(&mut TestFleet) -> io::Result<()>,
    ) -> io::Result<()> {
        let started = Instant::now();
        let mut at_point = false;
        while !at_point {
            if started.elapsed() > LIMIT {
                return Err(failed(format!("the fault point was not reached within {} s", LIMIT.as_secs())));
            }
            provoke(self)?;
            // The node itself cannot be asked, because it may be blocked at its fault point.
            wait("the fault point reached, or all other nodes alive", || {
                at_point = self.points.reached(&self.fleet.processes[node]).is_some();
                at_point || self.operators.all_alive(&other_nodes(node))
            })?;
        }
        Ok(())
    }

    fn while_paused(
        &mut self,
        nodes: &[usize],
        then: impl FnOnce(&TestFleet) -> io::Result<()>,
    ) -> io::Result<()> {
        nodes.iter().try_for_each(|node| self.fleet.processes[*node].pause())?;
        let done = then(self);
        nodes.iter().try_for_each(|node| self.fleet.processes[*node].resume())?;
        done
    }

    /// Runs a case and returns a description of the result.
    fn play(&mut self, number: usize, case: &Case) -> io::Result<String> {
        let operators = self.operators.clone();
        operators.agree(&[number % NODES])?;
        let mut leader = None;
        wait("a leader known to all voters", || {
            leader = operators.leader();
            leader.is_some()
        })?;
        let leader = leader.unwrap_or_default();
        let node = case.node(number, leader);
        let other_nodes = other_nodes(node);
        // Another voter, which continues without this node.
        let other = (node + 1) % VOTERS;
        let stop = Arc::new(AtomicBool::new(false));
        let asking = case.orders().map(|batch| {
            let (operators, stop) = (operators.clone(), stop.clone());
            std::thread::spawn(move || operators.keep_asking(node, batch, &stop))
        });
        let reach_result = self.drive_to_point(node, leader, case);
        stop.store(true, Ordering::SeqCst);
        reach_result?;
        let process = &mut self.fleet.processes[node];
        let meanwhile = || {
            operators.wait_gone(&other_nodes, node)?;
            operators.agree(&[other])
        };
        carry_out(process, case.fault, &self.points, &self.links, &[], meanwhile)?;
        let fault_end = Instant::now();
        if case.fault == Fault::Kill {
            self.restart(node)?;
        } else if case.at_start() {
            self.fleet.greet(&self.links, node)?;
            self.note_ports();
        }
        if let Some(asking) = asking {
            asking.join().map_err(|_| failed("an operator thread panicked".to_owned()))??;
        }
        let all: Vec<usize> = (0..NODES).collect();
        wait("all members alive", || operators.all_alive(&all))?;
        operators.agree(&all)?;
        let recovery_ms = fault_end.elapsed().as_millis();
        operators.judge()?;
        let mut outcome = format!("recovered after {recovery_ms} ms");
        if case.point.name == "STORE_OPEN" && case.fault == Fault::Error {
            let seat = operators.ask(node, "agreement")?["trouble"].as_str().map(str::to_owned);
            let trouble =
                seat.ok_or_else(|| failed("the node does not report its unreadable store".to_owned()))?;
            outcome += &format!(", without its vote ({})", trouble.rsplit(": ").next().unwrap_or_default());
            self.restart(node)?;
            wait("all members alive", || operators.all_alive(&all))?;
        } else if let Some(now) = operators.leader().filter(|now| *now != leader) {
            outcome += &format!(", n{} leads after n{}", now + 1, leader + 1);
        }
        wait("all voters taking part", || operators.all_vote())?;
        Ok(format!("n{}: {outcome}", node + 1))
    }
}

fn other_nodes(node: usize) -> Vec<usize> {
    (0..NODES).filter(|other| *other != node).collect()
}

struct Case {
    point: &'static Point,
    fault: Fault,
    skip: u32,
}

impl Case {
    /// Returns the node at which the point is armed.
    fn node(&self, number: usize, leader: usize) -> usize {
        let pauses_non_voters = ["FLEET_SUSPECT", "FLEET_GONE", "FLEET_ALIVE", "FLEET_FACT"];
        match self.point.name {
            // The current leader is paused, so another voter must become leader.
            "AGREE_LEAD" => (leader + 1) % VOTERS,
            name if pauses_non_voters.contains(&name) => number % VOTERS,
            _ if self.point.package == "fleet" => number % NODES,
            _ if self.skip == 0 => leader,
            _ => (leader + 1) % VOTERS,
        }
    }

    /// Returns whether the point is reached during the start, possibly before the process is ready.
    fn at_start(&self) -> bool {
        matches!(self.point.name, "STORE_OPEN" | "FLEET_PUBLISH")
    }

    /// Returns the number of orders kept in progress at the node until it reaches the point.
    fn orders(&self) -> Option<usize> {
        match self.point.name {
            "STORE_OPEN" => None,
            // Reached only after each thousand entries.
            "STORE_SNAPSHOT" | "STORE_TRIM" => Some(250),
            _ => (self.point.package == "agreement").then_some(1),
        }
    }
}

/// Runs the cases of a package on one fleet and prints the result of each.
fn play(package: &str) {
    let mut cases = Vec::new();
    for point in POINTS.iter().filter(|point| point.package == package) {
        // A store is opened only once per start, so the point is not reached a second time.
        let skips = if point.name == "STORE_OPEN" { 0..=0 } else { 0..=1 };
        for skip in skips {
            cases.extend(point.faults.iter().map(|fault| Case { point, fault: *fault, skip }));
        }
    }
    assert!(!cases.is_empty());
    let mut test_fleet = TestFleet::new(package).expect("a started fleet");
    println!("{:<15} {:<8} {:<2} {:>6}  led to", "point", "fault", "k", "ms");
    for (number, case) in cases.iter().enumerate() {
        let started = Instant::now();
        let result = test_fleet.play(number, case);
        let ms = started.elapsed().as_millis();
        let text = result.as_ref().map_or_else(|error| format!("FAILED: {error}"), String::clone);
        println!("{:<15} {:<8} {:<2} {ms:>6}  {text}", case.point.name, case.fault.name(), case.skip);
        if result.is_err() {
            panic!(
                "{} {} {}: {text}; logs in {}",
                case.point.name,
                case.fault.name(),
                case.skip,
                test_fleet.fleet.keep().display()
            );
        }
    }
}

#[test]
fn each_agreement_fault_point_is_survived() {
    play("agreement");
}

#[test]
fn each_fleet_fault_point_is_survived() {
    play("fleet");
}
