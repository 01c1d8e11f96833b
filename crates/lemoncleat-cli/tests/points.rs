//! Each numbered point of the agreement and of the fleet in turn, in real processes: armed at one of five nodes,
//! reached, the fault carried out there, and then the laws looked at: what was answered stands at every node at
//! its entry and once, nothing is agreed that nobody asked for, all agree anew, and all know all others alive.
//!
//! The cases come from the table. A point that is not reached fails its test.
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
/// The first three vote, one in each zone.
const VOTERS: usize = 3;
/// Nodes that are paused or killed to make the others act; no voters.
const SPARE: [usize; 2] = [3, 4];
/// Between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(10);

fn failed(what: String) -> io::Error {
    io::Error::other(what)
}

fn wait(what: &str, mut until: impl FnMut() -> bool) -> io::Result<()> {
    let began = Instant::now();
    while !until() {
        if began.elapsed() > LIMIT {
            return Err(failed(format!("{what}: not within {} s", LIMIT.as_secs())));
        }
        std::thread::sleep(LOOK);
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
struct Told {
    asked: BTreeSet<String>,
    answered: BTreeMap<String, u64>,
}

/// Operators at the control ports, and what they were answered.
struct Operators {
    ports: Mutex<Vec<SocketAddr>>,
    told: Mutex<Told>,
}

impl Operators {
    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connect(&self, node: usize) -> io::Result<Control> {
        let port = self.ports.lock().unwrap_or_else(PoisonError::into_inner)[node];
        Control::connect(port)
    }

    fn ask(&self, node: usize, op: &str) -> io::Result<Value> {
        self.connect(node)?.ask(&json!({"op": op}))
    }

    /// A new order, noted as asked for.
    fn order(&self) -> String {
        let mut told = self.told();
        let order = format!("order{}", told.asked.len());
        told.asked.insert(order.clone());
        order
    }

    /// Notes an answer; an order that was answered before must have the same entry.
    fn answer(&self, answer: &Value) -> io::Result<bool> {
        let (Some(order), Some(index)) = (answer["order"].as_str(), answer["index"].as_u64()) else {
            return Ok(false);
        };
        match self.told().answered.insert(order.to_owned(), index) {
            Some(before) if before != index => {
                Err(failed(format!("{order} was answered {before}, then {index}")))
            }
            _ => Ok(true),
        }
    }

    /// Has an order agreed, asked for at these nodes in turn, each of which must answer.
    fn agree(&self, nodes: &[usize]) -> io::Result<()> {
        let order = self.order();
        for node in nodes {
            let began = Instant::now();
            loop {
                let mark = json!({"op": "mark", "order": order, "text": "t"});
                let answer = self.connect(*node).and_then(|mut control| control.ask(&mark));
                if self.answer(answer.as_ref().unwrap_or(&Value::Null))? {
                    break;
                }
                if began.elapsed() > LIMIT {
                    return Err(failed(format!("{order} not agreed at n{}: {answer:?}", node + 1)));
                }
            }
        }
        Ok(())
    }

    /// Gives orders at a node, some at a time, until it is told to stop or the node is gone.
    fn keep_asking(&self, node: usize, some: usize, stop: &AtomicBool) -> io::Result<()> {
        let Ok(mut control) = self.connect(node) else { return Ok(()) };
        while !stop.load(Ordering::SeqCst) {
            for _ in 0..some {
                let order = self.order();
                if control.say(&json!({"op": "mark", "order": order, "text": "t"})).is_err() {
                    return Ok(());
                }
            }
            for _ in 0..some {
                let Ok(answer) = control.hear() else { return Ok(()) };
                self.answer(&answer)?;
            }
        }
        Ok(())
    }

    /// What a node holds of a member.
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

    /// Whether these nodes hold all for alive.
    fn all_alive(&self, nodes: &[usize]) -> bool {
        nodes.iter().all(|node| self.ask(*node, "members").is_ok_and(|answer| answer["alive"] == NODES))
    }

    /// Whether all voters vote.
    fn all_vote(&self) -> bool {
        (0..VOTERS).all(|voter| self.ask(voter, "agreement").is_ok_and(|answer| answer["seat"] == "voter"))
    }

    fn leader(&self) -> Option<usize> {
        let leader = |voter| Some(self.ask(voter, "agreement").ok()?["leader"].as_str()?.to_owned());
        let led: Vec<Option<String>> = (0..VOTERS).map(leader).collect();
        let first = led.first()?.clone()?;
        let same = led.iter().all(|leader| leader.as_ref() == Some(&first));
        (0..VOTERS).find(|voter| same && format!("n{}", voter + 1) == first)
    }

    /// The laws, at every node.
    fn judge(&self) -> io::Result<()> {
        let mut lists = Vec::new();
        for node in 0..NODES {
            let answer = self.ask(node, "marks")?;
            let marks = answer["marks"].as_array().cloned().unwrap_or_default();
            let mark = |mark: &Value| Some((mark["index"].as_u64()?, mark["order"].as_str()?.to_owned()));
            lists.push(marks.iter().filter_map(mark).collect::<Vec<(u64, String)>>());
        }
        let told = self.told();
        // The oldest of more than a thousand marks are forgotten.
        let first = lists.iter().filter_map(|list| Some(list.first()?.0)).max().unwrap_or(0);
        let last = lists.iter().filter_map(|list| Some(list.last()?.0)).min().unwrap_or(0);
        let common: Vec<Vec<&(u64, String)>> = lists
            .iter()
            .map(|list| list.iter().filter(|(index, _)| (first..=last).contains(index)).collect())
            .collect();
        for (node, list) in lists.iter().enumerate() {
            let by_order: BTreeMap<&str, u64> =
                list.iter().map(|(index, order)| (order.as_str(), *index)).collect();
            let of = format!("n{}", node + 1);
            if by_order.len() != list.len() {
                return Err(failed(format!("{of} holds an order twice")));
            }
            if let Some(stray) = by_order.keys().find(|order| !told.asked.contains(**order)) {
                return Err(failed(format!("{of} holds {stray}, which nobody asked for")));
            }
            let from = list.first().map_or(0, |(index, _)| *index);
            let mut answered = told.answered.iter().filter(|(_, index)| **index >= from);
            if let Some((order, index)) =
                answered.find(|(order, index)| by_order.get(order.as_str()) != Some(index))
            {
                return Err(failed(format!("{of} does not hold {order} at {index}")));
            }
            if common.first() != common.get(node) {
                return Err(failed(format!("{of} holds other orders than n1")));
            }
        }
        Ok(())
    }
}

struct Stand {
    links: Links,
    points: Points,
    fleet: Fleet,
    operators: Arc<Operators>,
}

impl Stand {
    fn new(name: &str) -> io::Result<Stand> {
        let (links, points) = (Links::new()?, Points::listen()?);
        let mut program = Program::node(env!("CARGO_BIN_EXE_lemoncleat").as_ref());
        program.environment.push(points.variable());
        let folder: PathBuf =
            std::env::temp_dir().join(format!("lemoncleat-points-{}-{name}", std::process::id()));
        let members = Member::spread(NODES, &["north", "middle", "south"]);
        let fleet = Fleet::start(&links, FleetPlan { program, members, folder }, settings)?;
        let operators = Arc::new(Operators { ports: Mutex::default(), told: Mutex::default() });
        let stand = Stand { links, points, fleet, operators };
        stand.note_ports();
        Ok(stand)
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

    /// Waits until the process reaches its point.
    fn reached(&self, node: usize) -> io::Result<()> {
        self.points.wait_reached(&self.fleet.processes[node]).map(drop)
    }

    /// Starts a node again, armed before it does anything.
    fn start_armed(&mut self, node: usize, case: &Case) -> io::Result<()> {
        self.points.hold_starts(true);
        self.fleet.processes[node].restart(Disk::Kept)?;
        let armed = self.arm(node, case);
        self.points.hold_starts(false);
        self.points.go(&self.fleet.processes[node])?;
        armed
    }

    /// Leads a node to its armed point, while the others do what it takes; they are well again when it is there.
    fn lead(&mut self, node: usize, leader: usize, case: &Case) -> io::Result<()> {
        match case.point.name {
            _ if case.at_start() => {
                self.start_armed(node, case)?;
                self.reached(node)
            }
            "AGREE_LEAD" => {
                self.arm(node, case)?;
                self.while_paused(&[leader], |stand| stand.reached(node))
            }
            "FLEET_SUSPECT" | "FLEET_GONE" => {
                self.arm(node, case)?;
                self.while_paused(&SPARE, |stand| stand.reached(node))
            }
            "FLEET_ALIVE" => {
                self.while_paused(&SPARE, |stand| {
                    SPARE.iter().try_for_each(|spare| stand.operators.wait_gone(&[node], *spare))?;
                    stand.arm(node, case)
                })?;
                self.reached(node)
            }
            "FLEET_FACT" => {
                self.arm(node, case)?;
                self.until_reached(node, |stand| SPARE.iter().try_for_each(|spare| stand.restart(*spare)))
            }
            "FLEET_REFUTE" => {
                self.arm(node, case)?;
                let others = others(node);
                self.until_reached(node, |stand| {
                    stand.while_paused(&[node], |stand| stand.operators.wait_gone(&others, node))
                })
            }
            _ => {
                self.arm(node, case)?;
                self.reached(node)
            }
        }
    }

    /// Provokes what leads a node to its point as often as it takes.
    fn until_reached(
        &mut self,
        node: usize,
        mut provoke: impl FnMut(&mut Stand) -> io::Result<()>,
    ) -> io::Result<()> {
        let began = Instant::now();
        let mut there = false;
        while !there {
            if began.elapsed() > LIMIT {
                return Err(failed(format!("the point is not reached within {} s", LIMIT.as_secs())));
            }
            provoke(self)?;
            // The node itself can't be asked: it may stand at its point.
            wait("a point, or all alive without it", || {
                there = self.points.reached(&self.fleet.processes[node]).is_some();
                there || self.operators.all_alive(&others(node))
            })?;
        }
        Ok(())
    }

    fn while_paused(
        &mut self,
        nodes: &[usize],
        then: impl FnOnce(&Stand) -> io::Result<()>,
    ) -> io::Result<()> {
        nodes.iter().try_for_each(|node| self.fleet.processes[*node].pause())?;
        let done = then(self);
        nodes.iter().try_for_each(|node| self.fleet.processes[*node].resume())?;
        done
    }

    /// Plays a case, and tells what it led to.
    fn play(&mut self, number: usize, case: &Case) -> io::Result<String> {
        let operators = self.operators.clone();
        operators.agree(&[number % NODES])?;
        let mut leader = None;
        wait("a leader that all voters know", || {
            leader = operators.leader();
            leader.is_some()
        })?;
        let leader = leader.unwrap_or_default();
        let node = case.node(number, leader);
        let others = others(node);
        // Another voter, which goes on without this one.
        let other = (node + 1) % VOTERS;
        let stop = Arc::new(AtomicBool::new(false));
        let asking = case.orders().map(|some| {
            let (operators, stop) = (operators.clone(), stop.clone());
            std::thread::spawn(move || operators.keep_asking(node, some, &stop))
        });
        let led = self.lead(node, leader, case);
        stop.store(true, Ordering::SeqCst);
        led?;
        let process = &mut self.fleet.processes[node];
        let meanwhile = || {
            operators.wait_gone(&others, node)?;
            operators.agree(&[other])
        };
        carry_out(process, case.fault, &self.points, &self.links, &[], meanwhile)?;
        let over = Instant::now();
        if case.fault == Fault::Kill {
            self.restart(node)?;
        } else if case.at_start() {
            self.fleet.greet(&self.links, node)?;
            self.note_ports();
        }
        if let Some(asking) = asking {
            asking.join().map_err(|_| failed("an operator panicked".to_owned()))??;
        }
        let all: Vec<usize> = (0..NODES).collect();
        wait("all alive", || operators.all_alive(&all))?;
        operators.agree(&all)?;
        let whole = over.elapsed().as_millis();
        operators.judge()?;
        let mut led_to = format!("whole again after {whole} ms");
        if case.point.name == "STORE_OPEN" && case.fault == Fault::Error {
            let seat = operators.ask(node, "agreement")?["trouble"].as_str().map(str::to_owned);
            let trouble = seat.ok_or_else(|| failed("a store that was not read is not told".to_owned()))?;
            led_to += &format!(", without its vote ({})", trouble.rsplit(": ").next().unwrap_or_default());
            self.restart(node)?;
            wait("all alive", || operators.all_alive(&all))?;
        } else if let Some(now) = operators.leader().filter(|now| *now != leader) {
            led_to += &format!(", n{} leads after n{}", now + 1, leader + 1);
        }
        wait("three voters that vote", || operators.all_vote())?;
        Ok(format!("n{}: {led_to}", node + 1))
    }
}

fn others(node: usize) -> Vec<usize> {
    (0..NODES).filter(|other| *other != node).collect()
}

struct Case {
    point: &'static Point,
    fault: Fault,
    skip: u32,
}

impl Case {
    /// Where it is played.
    fn node(&self, number: usize, leader: usize) -> usize {
        let pauses_spare = ["FLEET_SUSPECT", "FLEET_GONE", "FLEET_ALIVE", "FLEET_FACT"];
        match self.point.name {
            // The leader itself is who it is about.
            "AGREE_LEAD" => (leader + 1) % VOTERS,
            name if pauses_spare.contains(&name) => number % VOTERS,
            _ if self.point.package == "fleet" => number % NODES,
            _ if self.skip == 0 => leader,
            _ => (leader + 1) % VOTERS,
        }
    }

    /// Whether it comes at a start, perhaps before the process is ready.
    fn at_start(&self) -> bool {
        matches!(self.point.name, "STORE_OPEN" | "FLEET_PUBLISH")
    }

    /// How many orders are under way at the node all the time until it is at its point.
    fn orders(&self) -> Option<usize> {
        match self.point.name {
            "STORE_OPEN" => None,
            // Each after a thousand entries.
            "STORE_SNAPSHOT" | "STORE_TRIM" => Some(250),
            _ => (self.point.package == "agreement").then_some(1),
        }
    }
}

/// Plays the cases of a package on one fleet and prints what each led to.
fn play(package: &str) {
    let mut cases = Vec::new();
    for point in POINTS.iter().filter(|point| point.package == package) {
        // A store is opened once a start: there is no second pass.
        let skips = if point.name == "STORE_OPEN" { 0..=0 } else { 0..=1 };
        for skip in skips {
            cases.extend(point.faults.iter().map(|fault| Case { point, fault: *fault, skip }));
        }
    }
    assert!(!cases.is_empty());
    let mut stand = Stand::new(package).expect("a fleet starts");
    println!("{:<15} {:<8} {:<2} {:>6}  led to", "point", "fault", "k", "ms");
    for (number, case) in cases.iter().enumerate() {
        let began = Instant::now();
        let told = stand.play(number, case);
        let ms = began.elapsed().as_millis();
        let text = told.as_ref().map_or_else(|error| format!("FAILED: {error}"), String::clone);
        println!("{:<15} {:<8} {:<2} {ms:>6}  {text}", case.point.name, case.fault.name(), case.skip);
        if told.is_err() {
            panic!(
                "{} {} {}: {text}; logs in {}",
                case.point.name,
                case.fault.name(),
                case.skip,
                stand.fleet.keep().display()
            );
        }
    }
}

#[test]
fn each_point_of_the_agreement_fails_in_turn() {
    play("agreement");
}

#[test]
fn each_point_of_the_fleet_fails_in_turn() {
    play("fleet");
}
