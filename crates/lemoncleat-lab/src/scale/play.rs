//! Phases of the scale rehearsal.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use lemoncleat_settings::{Rate, Span};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rustix::process::Signal;
use serde_json::{json, Value};

use super::figures::{Sample, Windows};
use super::host::{mark_of, Answer, Host, HostState, NodeView, Order, Traffic};
use super::layout::{region_name, Layout, Role};
use super::proc::{now_us, processor_of_threads, resident_bytes};
use super::report::{Budget, Distribution, PhaseReport, ScaleReport};
use super::{Check, ScalePlan};
use crate::day::{builtin, Day, ServerDay, Trouble, TroubleKind};
use crate::stage::{self, Control, Cut, Disk, Links, Process, Program};
use crate::world::{LabMessage, NodeControl};
use crate::{judge, rehearse_until, Micros, Rehearsal};

/// Interval between two checks of an awaited state.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two samples of resource use.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Calls per second that a stand-in server can carry.
const SERVER_CALLS_PER_S: f64 = 400.0;
// Limits set by the operators, per node: processor time in microseconds per second, memory in bytes, bytes
// sent per second, and the time until all nodes agree, in milliseconds, here until a configuration is in
// force at all of them.
const PROCESSOR_LIMIT_US_PER_S: f64 = 26_000.0;
const MEMORY_LIMIT_BYTES: f64 = 128.0 * 1024.0 * 1024.0;
const SENT_LIMIT_BYTES_PER_S: f64 = 4_096.0;
const IN_FORCE_LIMIT_MS: f64 = 10_000.0;
/// Maximum number of canaries, the nodes that try a configuration first: two in each of eight zones.
const MAX_CANARIES: usize = 16;
/// Wait after a change was taken back before the nodes are asked which of them had it in force.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Interval between the starts of two racks, in membership rounds.
const RACK_START_INTERVAL_ROUNDS: f64 = 0.25;

/// A node that runs in a process of its own.
#[derive(Clone)]
struct NodeHandle {
    at: usize,
    id: u32,
    control: Option<SocketAddr>,
    /// Differs between starts of the node.
    start: u64,
}

type NodeHandles = Arc<Mutex<Vec<NodeHandle>>>;

/// A real node started for the laboratory, which sends calls through it.
struct RealNode {
    process: Process,
    address: SocketAddr,
    control: Option<SocketAddr>,
}

impl NodeControl for RealNode {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn control(&self) -> Option<SocketAddr> {
        self.control
    }

    fn challenge(&self) -> Option<SocketAddr> {
        None
    }

    fn stall(&self, time: Duration) {
        if self.process.signal(Signal::STOP).is_ok() {
            std::thread::sleep(time);
            let _ = self.process.signal(Signal::CONT);
        }
    }

    fn stop(mut self: Box<Self>) {
        // The node's log tells how it ended.
        let _ = self.process.stop();
    }
}

fn scenario(plan: &ScalePlan) -> io::Result<Day> {
    let mut day = builtin("calm").ok_or_else(|| io::Error::other("the built-in day is gone"))?;
    day.name = "scale".to_owned();
    day.seed = plan.seed;
    day.nodes = plan.real as u16;
    day.rate = Rate(plan.rate);
    // The run is ended by `LabMessage::LastCall`, long before this.
    day.length = Span(24 * 3_600_000_000);
    day.servers = (0..4)
        .map(|_| ServerDay { capacity: Rate(SERVER_CALLS_PER_S), lines: 100_000, zone: String::new() })
        .collect();
    // These troubles give each rule cases. They end before the fleet's own troubles begin, or soon after.
    let trouble = |kind, at: i64, length: i64, server| Trouble {
        kind,
        at: Span(at),
        length: Span(length),
        size: 1.0,
        on: vec![server],
        node: 0,
        pause: Trouble::PAUSE,
    };
    day.troubles = vec![
        trouble(TroubleKind::Hang, 5_000_000, 3_000_000, 0),
        trouble(TroubleKind::Drain, 10_000_000, 4_000_000, 1),
        trouble(TroubleKind::Crash, 16_000_000, 4_000_000, 2),
    ];
    day.check().map_err(|error| io::Error::other(error.to_string()))?;
    Ok(day)
}

/// State of a running rehearsal.
struct ScaleRun<'a> {
    plan: &'a ScalePlan,
    links: &'a Links,
    layout: &'a Layout,
    hosts: Vec<Host>,
    voters: Vec<Process>,
    handles: NodeHandles,
    windows: BTreeMap<Role, Windows>,
    sampled: Instant,
    /// Acknowledged marks: order id and index of the entry.
    marks: Vec<(String, u64)>,
    invariants: [Check; 5],
    /// Number of configuration orders given so far.
    ordered: usize,
    memory: u64,
    random: SmallRng,
    progress: &'a mut dyn FnMut(&str),
    /// Region that is cut off.
    cut: Option<usize>,
    down: BTreeSet<usize>,
}

fn ask(control: Option<SocketAddr>, order: &Value) -> io::Result<Value> {
    let address = control.ok_or_else(|| io::Error::other("a node without a control port"))?;
    Control::connect(address)?.ask(order)
}

impl ScaleRun<'_> {
    fn check_stop(&self) -> io::Result<()> {
        if self.plan.stop.load(Ordering::SeqCst) {
            return Err(io::Error::new(io::ErrorKind::Interrupted, "stopped before its end"));
        }
        Ok(())
    }

    fn handles(&self) -> Vec<NodeHandle> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends an order to all running processes with hollow nodes, then reads their answers.
    fn ask_hosts(&mut self, order: &Order) -> io::Result<Vec<(usize, Answer)>> {
        let up: Vec<usize> =
            (0..self.hosts.len()).filter(|host| self.hosts[*host].state == HostState::Up).collect();
        for host in &up {
            self.hosts[*host].send(order)?;
        }
        let mut answers = Vec::new();
        for host in up {
            self.check_stop()?;
            answers.push((host, self.hosts[host].receive()?));
        }
        Ok(answers)
    }

    /// Samples all nodes, at most once per [`SAMPLE_INTERVAL`].
    fn sample(&mut self) -> io::Result<()> {
        if self.sampled.elapsed() < SAMPLE_INTERVAL {
            return Ok(());
        }
        self.sampled = Instant::now();
        let mut all = 0;
        for (host, answer) in self.ask_hosts(&Order::Figures)? {
            let nodes = &self.hosts[host].nodes;
            let share = |of: u64| of / nodes.len().max(1) as u64;
            all += answer.memory_bytes;
            let windows = self.windows.entry(Role::Hollow).or_default();
            for (at, figures) in nodes.iter().zip(&answer.figures) {
                let sample = Sample {
                    at: now_us(),
                    start: u64::from(figures.start),
                    processor_us: Some(figures.processor_us + share(answer.shared_us)),
                    traffic: figures.traffic,
                    memory_bytes: share(answer.memory_bytes),
                };
                windows.add(*at, sample);
            }
        }
        for handle in self.handles() {
            // A node that is down has no figures.
            let Ok(threads) = processor_of_threads(handle.id) else { continue };
            self.check_stop()?;
            let spent = ask(handle.control, &json!({"op": "spent"})).ok();
            let sample = Sample {
                at: now_us(),
                start: handle.start,
                processor_us: Some(threads.iter().map(|thread| thread.processor_us).sum()),
                traffic: spent.as_ref().and_then(Traffic::from_spent),
                memory_bytes: resident_bytes(handle.id).unwrap_or(0),
            };
            all += sample.memory_bytes;
            self.windows.entry(self.layout.places[handle.at].role).or_default().add(handle.at, sample);
        }
        self.memory = self.memory.max(all);
        Ok(())
    }

    /// Returns the members that a node in a region should consider alive: their number and the sum of their
    /// hashes.
    fn expected_alive(&self, region: usize) -> (u32, u64) {
        let apart = |of: usize| self.cut.is_some_and(|cut| (of == cut) != (region == cut));
        let there = (0..self.layout.places.len())
            .filter(|at| !self.down.contains(at) && !apart(self.layout.places[*at].region()));
        there.fold((0, 0), |(count, marks), at| {
            (count + 1, marks.wrapping_add(mark_of(&self.layout.places[at].host)))
        })
    }

    /// Returns the nodes whose membership view is wrong, and the time of the last view change among the
    /// others.
    fn wrong_views(&mut self) -> io::Result<(Vec<String>, Micros)> {
        let expected: Vec<(u32, u64)> = (0..3).map(|region| self.expected_alive(region)).collect();
        let (mut wrong, mut last) = (Vec::new(), 0);
        let layout = self.layout;
        let check_view = |at: usize, view: NodeView| {
            let place = &layout.places[at];
            let (count, marks) = expected[place.region()];
            // A node's view does not include the node itself.
            let own = (view.alive + 1, view.marks.wrapping_add(mark_of(&place.host)));
            if own == (count, marks) {
                Ok(view.changed)
            } else {
                Err(format!("{} holds {} for alive, {count} are", place.host, own.0))
            }
        };
        let mut record = |found: Result<Micros, String>| match found {
            Ok(changed) => last = last.max(changed),
            Err(why) => wrong.push(why),
        };
        for (host, answer) in self.ask_hosts(&Order::Views)? {
            for (at, view) in self.hosts[host].nodes.iter().zip(&answer.views) {
                record(check_view(*at, *view));
            }
        }
        if wrong.is_empty() {
            let mut found = Vec::new();
            for handle in self.handles().into_iter().filter(|handle| !self.down.contains(&handle.at)) {
                let answer = ask(handle.control, &json!({"op": "members"}))?;
                let own = &self.layout.places[handle.at].host;
                let mut view = NodeView::default();
                for member in answer["members"].as_array().into_iter().flatten() {
                    let host = member["host"].as_str().unwrap_or_default();
                    if member["state"] == "alive" && host != own {
                        view.alive += 1;
                        view.marks = view.marks.wrapping_add(mark_of(host));
                    }
                }
                found.push(check_view(handle.at, view));
            }
            // The control port does not report when these views last changed.
            wrong.extend(found.into_iter().filter_map(Result::err));
        }
        Ok((wrong, last))
    }

    /// Waits until all nodes consider exactly the running nodes alive. Returns the time from `since` to the
    /// last change of a view, in milliseconds.
    fn wait_for_convergence(&mut self, since: Micros, what: &str) -> io::Result<(String, Option<u64>)> {
        let began = Instant::now();
        loop {
            self.check_stop()?;
            self.sample()?;
            let (wrong, last) = self.wrong_views()?;
            if wrong.is_empty() {
                self.invariants[0].cases += 1;
                let took = (last.max(since) - since) as u64 / 1_000;
                (self.progress)(&format!("  {what}: all at one after {:.2} s", took as f64 / 1e3));
                return Ok((what.to_owned(), Some(took)));
            }
            if began.elapsed() > self.plan.patience {
                let message =
                    format!("{what}: {} nodes never were at one, first {}", wrong.len(), wrong[0].clone());
                (self.progress)(&format!("  {message}"));
                self.invariants[0].cases += 1;
                self.invariants[0].broken.push(message);
                return Ok((what.to_owned(), None));
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Lets the fleet run for a given time while sampling it.
    fn run_for(&mut self, span: Duration) -> io::Result<()> {
        let began = Instant::now();
        while began.elapsed() < span {
            self.check_stop()?;
            self.sample()?;
            std::thread::sleep(CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Orders a mark at a voter that is up and waits until it is agreed. Returns the time taken in
    /// milliseconds.
    fn agree_mark(&mut self) -> io::Result<u64> {
        let order = format!("scale{}", self.marks.len());
        let (asked, since) = (Instant::now(), now_us());
        while asked.elapsed() < self.plan.patience {
            self.check_stop()?;
            for handle in self.handles() {
                if self.layout.places[handle.at].role != Role::Voter || self.down.contains(&handle.at) {
                    continue;
                }
                let answer = ask(handle.control, &json!({"op": "mark", "order": &order, "text": "scale"}));
                if let Some(index) = answer
                    .ok()
                    .filter(|answer| answer["ok"] == true)
                    .and_then(|answer| answer["index"].as_u64())
                {
                    self.marks.push((order, index));
                    return Ok((now_us() - since) as u64 / 1_000);
                }
            }
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("{order} was never agreed")))
    }

    fn phase(
        &mut self,
        name: &str,
        body: impl FnOnce(&mut Self, &mut PhaseReport) -> io::Result<()>,
    ) -> io::Result<PhaseReport> {
        (self.progress)(name);
        let began = Instant::now();
        let mut phase = PhaseReport { name: name.to_owned(), ..PhaseReport::default() };
        body(self, &mut phase)?;
        phase.took_ms = began.elapsed().as_millis() as u64;
        let roles = self.windows.iter_mut().map(|(role, windows)| (role.name().to_owned(), windows.drain()));
        // A phase too short for a window of some figure reports nothing for that role, rather than a part.
        phase.roles = roles.filter(|(_, figures)| figures.is_complete()).collect();
        Ok(phase)
    }

    // ---- Phases ----

    fn start(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        let since = now_us();
        for host in 0..self.hosts.len() {
            self.check_stop()?;
            self.hosts[host].send(&Order::Start)?;
            self.hosts[host].receive()?;
            std::thread::sleep(
                Duration::from_micros(self.plan.round as u64).mul_f64(RACK_START_INTERVAL_ROUNDS),
            );
        }
        (self.progress)(&format!("  all hollow nodes run after {:.2} s", (now_us() - since) as f64 / 1e6));
        phase.at_one_ms.push(self.wait_for_convergence(since, "the whole fleet started")?);
        let took = self.agree_mark()?;
        phase.at_one_ms.push(("a mark agreed".to_owned(), Some(took)));
        Ok(())
    }

    fn restarts(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        for _ in 0..self.plan.restarts {
            let hollow: Vec<usize> = (0..self.hosts.len()).collect();
            let Some(host) = hollow.choose(&mut self.random).copied() else { return Ok(()) };
            let places: Vec<usize> = (0..self.hosts[host].nodes.len()).collect();
            let Some(node) = places.choose(&mut self.random).copied() else { return Ok(()) };
            let name = self.layout.places[self.hosts[host].nodes[node]].host.clone();
            let since = now_us();
            self.hosts[host].send(&Order::Restart { node })?;
            self.hosts[host].receive()?;
            phase.at_one_ms.push(self.wait_for_convergence(since, &format!("{name} restarted"))?);
        }
        Ok(())
    }

    fn host_down(&mut self, host: usize, state: HostState) -> io::Result<()> {
        let target = &mut self.hosts[host];
        match state {
            HostState::Paused => target.process.pause()?,
            _ => drop(target.process.kill()?),
        }
        target.state = state;
        self.down.extend(target.nodes.iter().copied());
        Ok(())
    }

    fn host_up(&mut self, host: usize) -> io::Result<()> {
        let target = &mut self.hosts[host];
        if target.state == HostState::Paused {
            target.process.resume()?;
        } else {
            target.process.restart(Disk::Kept)?;
            target.send_plan()?;
            target.send(&Order::Start)?;
            target.receive()?;
        }
        target.state = HostState::Up;
        for at in &target.nodes {
            self.down.remove(at);
        }
        Ok(())
    }

    fn rack(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        let hosts: Vec<usize> = (0..self.hosts.len()).collect();
        let Some(host) = hosts.choose(&mut self.random).copied() else { return Ok(()) };
        let (since, count) = (now_us(), self.hosts[host].nodes.len());
        self.host_down(host, HostState::Killed)?;
        phase.at_one_ms.push(self.wait_for_convergence(since, &format!("a rack of {count} killed"))?);
        let since = now_us();
        self.host_up(host)?;
        phase.at_one_ms.push(self.wait_for_convergence(since, "the rack back")?);
        Ok(())
    }

    fn zone(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        let zone = *(0..8).collect::<Vec<usize>>().choose(&mut self.random).unwrap_or(&0);
        let hosts: Vec<usize> = (0..self.hosts.len()).filter(|host| self.hosts[*host].zone == zone).collect();
        let (since, before) = (now_us(), self.down.len());
        for host in &hosts {
            self.host_down(*host, HostState::Paused)?;
        }
        let what = format!("the {} hollow nodes of a zone silent", self.down.len() - before);
        phase.at_one_ms.push(self.wait_for_convergence(since, &what)?);
        let since = now_us();
        for host in &hosts {
            self.host_up(*host)?;
        }
        phase.at_one_ms.push(self.wait_for_convergence(since, "the zone back")?);
        Ok(())
    }

    /// Cuts off the region with the fewest voters.
    fn cut_region(&mut self) -> io::Result<stage::Trouble> {
        let region = 2;
        let own = region_name(region);
        let rest: Vec<String> = (0..3).filter(|other| *other != region).map(region_name).collect();
        let of = |inside: bool| {
            let places = self.layout.places.iter().filter(move |place| (place.region() == region) == inside);
            places.map(|place| &*place.host)
        };
        let inside: Vec<&str> = of(true).chain([&*own]).collect();
        let outside: Vec<&str> = of(false).chain(rest.iter().map(|name| &**name)).collect();
        let trouble = self.links.partition(&[&inside, &outside], Cut::Lost)?;
        self.cut = Some(region);
        Ok(trouble)
    }

    fn region(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        let since = now_us();
        let trouble = self.cut_region()?;
        let count = self.layout.places.iter().filter(|place| Some(place.region()) == self.cut).count();
        phase.at_one_ms.push(
            self.wait_for_convergence(since, &format!("a region of {count} cut off, both sides at one"))?,
        );
        let since = now_us();
        self.links.end(trouble)?;
        self.cut = None;
        phase.at_one_ms.push(self.wait_for_convergence(since, "the region back")?);
        Ok(())
    }

    fn leader(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        let voters: Vec<NodeHandle> = self
            .handles()
            .into_iter()
            .filter(|handle| self.layout.places[handle.at].role == Role::Voter)
            .collect();
        let leader_seen_by = |handle: &NodeHandle| {
            let answer = ask(handle.control, &json!({"op": "agreement"})).ok()?;
            answer["leader"].as_str().map(str::to_owned)
        };
        let leader = voters.iter().find_map(leader_seen_by).unwrap_or_default();
        let first = self.layout.of_role(Role::Voter).next().unwrap_or(0);
        let at = voters.iter().map(|handle| handle.at).find(|at| self.layout.places[*at].host == leader);
        let at = at.unwrap_or(first);
        let since = now_us();
        self.voters[at - first].kill()?;
        self.down.insert(at);
        let took = self.agree_mark()?;
        phase.at_one_ms.push(("the voters' leader killed, a mark agreed again".to_owned(), Some(took)));
        phase.at_one_ms.push(self.wait_for_convergence(since, "without it")?);
        let since = now_us();
        self.voters[at - first].restart(Disk::Kept)?;
        let handle = await_ready(self.links, &self.voters[at - first], at, now_us() as u64)?;
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        handles.retain(|handle| handle.at != at);
        handles.push(handle);
        drop(handles);
        self.down.remove(&at);
        phase.at_one_ms.push(self.wait_for_convergence(since, "the voter back")?);
        Ok(())
    }

    /// Returns a random node with a process of its own outside the region that is cut off.
    fn reachable_node(&mut self) -> Option<NodeHandle> {
        let apart = |handle: &NodeHandle| self.cut == Some(self.layout.places[handle.at].region());
        let handles: Vec<NodeHandle> = self.handles().into_iter().filter(|handle| !apart(handle)).collect();
        handles.choose(&mut self.random).cloned()
    }

    /// Orders a configuration change, repeatedly until it is accepted. Returns the number of the new
    /// configuration.
    fn order_change(&mut self, parent: u64, text: &str, at: Option<(usize, usize)>) -> io::Result<u64> {
        let began = Instant::now();
        let mut why = String::new();
        while began.elapsed() < self.plan.patience {
            self.check_stop()?;
            self.ordered += 1;
            let order = format!("change{}", self.ordered);
            let order = json!({"op": "configure", "order": order, "parent": parent, "text": text});
            let answer = match at {
                None => match self.reachable_node() {
                    Some(handle) => ask(handle.control, &order),
                    None => Err(io::Error::other("no reachable node to ask")),
                },
                Some((host, node)) => {
                    self.hosts[host].send(&Order::Ask { node, order })?;
                    self.hosts[host].receive().map(|answer| answer.told)
                }
            };
            match answer {
                Ok(answer) if answer["ok"] == true => return Ok(answer["number"].as_u64().unwrap_or(0)),
                Ok(answer) => why = answer["error"].as_str().unwrap_or_default().to_owned(),
                Err(error) => why = error.to_string(),
            }
            self.run_for(CHECK_INTERVAL)?;
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("a change was never agreed: {why}")))
    }

    /// Waits until a version is in force at all nodes that are up and not cut off. Returns the time from
    /// `since` until it was in force, for each node that has it, in milliseconds.
    fn wait_in_force(&mut self, number: u64, since: Micros, what: &str) -> io::Result<Vec<f64>> {
        let began = Instant::now();
        let mut took: BTreeMap<usize, f64> = BTreeMap::new();
        let milliseconds = |at: Micros| (at - since).max(0) as f64 / 1e3;
        let late = loop {
            self.check_stop()?;
            self.sample()?;
            let cut = self.cut;
            let layout = self.layout;
            let reached = |at: usize| cut != Some(layout.places[at].region());
            let mut late = Vec::new();
            for (host, answer) in self.ask_hosts(&Order::Configurations)? {
                for (at, all) in self.hosts[host].nodes.iter().zip(&answer.configurations) {
                    let now = all.last().map_or(0, |last| last.0);
                    if now == number {
                        // Counts from its last activation: a version may come into force again after a later
                        // one was taken back.
                        let last = all.iter().rposition(|other| other.0 != number).map_or(0, |at| at + 1);
                        took.insert(*at, milliseconds(all[last].1));
                    } else if reached(*at) {
                        late.push(format!("{} has {now}", layout.places[*at].host));
                    }
                }
            }
            for handle in self.handles() {
                if took.contains_key(&handle.at) || self.down.contains(&handle.at) {
                    continue;
                }
                let answer = ask(handle.control, &json!({"op": "configuration"})).unwrap_or_default();
                if answer["in_force"] == number {
                    took.insert(handle.at, milliseconds(now_us()));
                } else if reached(handle.at) {
                    late.push(format!("{}: {answer}", layout.places[handle.at].host));
                }
            }
            if late.is_empty() || began.elapsed() > self.plan.patience {
                break late;
            }
            std::thread::sleep(CHECK_INTERVAL);
        };
        self.invariants[2].cases += 1;
        if let Some(first) = late.first() {
            let message = format!("{what}: {} nodes never had {number} in force, first {first}", late.len());
            (self.progress)(&format!("  {message}"));
            self.invariants[2].broken.push(message);
        }
        let took: Vec<f64> = took.into_values().collect();
        let most = took.iter().copied().fold(0.0, f64::max);
        (self.progress)(&format!("  {what}: version {number} in force at {} after {most:.0} ms", took.len()));
        Ok(took)
    }

    /// Changes the configuration several times: the second change with a rack paused, the third with a region
    /// cut off, and the last one with a configuration that half of the hollow nodes can't use.
    fn changes(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        let (mut spread, mut parent) = (Vec::new(), 0);
        let mut agreed = vec![0];
        for number in 0..self.plan.changes {
            let text = format!("(attempts {})\n", 3 + number % 2);
            if self.plan.changes > 1 && number + 1 == self.plan.changes {
                let bad = self.unusable_change(parent, phase)?;
                agreed.push(bad);
                continue;
            }
            let paused = (number == 1).then_some(self.hosts.len() / 2);
            if let Some(host) = paused {
                self.host_down(host, HostState::Paused)?;
            }
            let trouble = if number == 2 { Some(self.cut_region()?) } else { None };
            let asked = now_us();
            parent = self.order_change(parent, &text, None)?;
            let mut since = now_us();
            (self.progress)(&format!("  change {parent} agreed after {} ms", (since - asked) / 1_000));
            agreed.push(parent);
            let mut what = "a change".to_owned();
            if paused.is_some() || trouble.is_some() {
                let what = if paused.is_some() { "a rack silent" } else { "a region cut off" };
                let took = self.wait_in_force(parent, since, what)?;
                let most = took.iter().copied().fold(0.0, f64::max) as u64;
                phase.at_one_ms.push((format!("{parent} in force at those reached, {what}"), Some(most)));
                spread.extend(took);
                since = now_us();
                if let Some(host) = paused {
                    self.host_up(host)?;
                }
                if let Some(trouble) = trouble {
                    self.links.end(trouble)?;
                    self.cut = None;
                }
                let took = self.wait_in_force(parent, since, &format!("after {what}"))?;
                let most = took.iter().copied().fold(0.0, f64::max) as u64;
                phase.at_one_ms.push((format!("{parent} in force at all after {what}"), Some(most)));
                continue;
            }
            what.push_str(" with all up");
            spread.extend(self.wait_in_force(parent, since, &what)?);
        }
        for (host, answer) in self.ask_hosts(&Order::Configurations)? {
            for (at, all) in self.hosts[host].nodes.iter().zip(&answer.configurations) {
                self.invariants[3].cases += 1;
                if let Some((number, _)) = all.iter().find(|(number, _)| !agreed.contains(number)) {
                    let message = format!("{} had {number} in force", self.layout.places[*at].host);
                    self.invariants[3].broken.push(message);
                }
            }
        }
        phase.in_force_ms = Distribution::of(spread);
        Ok(())
    }

    /// Orders a change that only half of the hollow nodes can use, at one of these, and checks that it is
    /// taken back.
    fn unusable_change(&mut self, parent: u64, phase: &mut PhaseReport) -> io::Result<u64> {
        let layout = self.layout;
        let usable = |host: &Host| host.nodes.iter().position(|at| layout.has_half_class(*at));
        let at = (0..self.hosts.len()).find_map(|host| Some((host, usable(&self.hosts[host])?)));
        let text = "(attempts 5) (plan (prefix (digits 351) (class half) (place 0)))\n";
        let step = |handle: &NodeHandle| {
            let answer = ask(handle.control, &json!({"op": "configuration"})).unwrap_or_default();
            answer["step"].as_u64().unwrap_or(0)
        };
        let before = self.handles().iter().map(step).max().unwrap_or(0);
        let number = self.order_change(parent, text, at)?;
        let (since, began) = (now_us(), Instant::now());
        // The change is one step, and taking it back is another.
        let over = loop {
            self.check_stop()?;
            self.sample()?;
            let asked = self.handles();
            if asked.iter().all(|handle| step(handle) >= before + 2) {
                break true;
            }
            if began.elapsed() > self.plan.patience {
                break false;
            }
            std::thread::sleep(CHECK_INTERVAL);
        };
        let took = over.then_some((now_us() - since) as u64 / 1_000);
        // Gives canaries that are still trying the change time to finish.
        self.run_for(SETTLE_TIME)?;
        self.wait_in_force(parent, since, "a change that half can't use, taken back")?;
        let mut had = BTreeSet::new();
        for (host, answer) in self.ask_hosts(&Order::Configurations)? {
            for (at, all) in self.hosts[host].nodes.iter().zip(&answer.configurations) {
                if all.iter().any(|(other, _)| *other == number) {
                    had.insert(*at);
                }
            }
        }
        (self.progress)(&format!("  the bad change {number} was in force at {} nodes", had.len()));
        phase.at_one_ms.push((format!("{number}, unusable at half, taken back by itself"), took));
        self.invariants[4].cases += 1;
        if !over || had.len() > MAX_CANARIES {
            let message = format!("{number}: taken back: {over}; in force at {} nodes", had.len());
            self.invariants[4].broken.push(message);
        }
        Ok(number)
    }

    /// Checks that every voter holds every acknowledged mark at its index.
    fn check_marks(&mut self) -> io::Result<()> {
        let last = self.marks.iter().map(|(_, index)| *index).max().unwrap_or(0);
        for handle in self.handles() {
            let place = &self.layout.places[handle.at];
            if place.role != Role::Voter {
                continue;
            }
            let began = Instant::now();
            let answer = loop {
                self.check_stop()?;
                let answer = ask(handle.control, &json!({"op": "marks"}))?;
                if answer["index"].as_u64().is_some_and(|index| index >= last)
                    || began.elapsed() > self.plan.patience
                {
                    break answer;
                }
                std::thread::sleep(CHECK_INTERVAL);
            };
            let marks = answer["marks"].as_array().cloned().unwrap_or_default();
            for (order, index) in &self.marks {
                self.invariants[1].cases += 1;
                let same = |mark: &&Value| mark["order"] == **order && mark["index"] == *index;
                if marks.iter().find(same).is_none() {
                    self.invariants[1]
                        .broken
                        .push(format!("{} does not hold {order} at {index}", place.host));
                }
            }
        }
        Ok(())
    }

    fn run_phases(&mut self) -> io::Result<Vec<PhaseReport>> {
        let mut phases = vec![self.phase("start", ScaleRun::start)?];
        let rest = self.plan.rest;
        phases.push(self.phase("rest", |run, _| run.run_for(rest))?);
        if self.plan.changes > 0 {
            phases.push(self.phase("configuration", ScaleRun::changes)?);
        }
        phases.push(self.phase("restarts", ScaleRun::restarts)?);
        phases.push(self.phase("rack", ScaleRun::rack)?);
        phases.push(self.phase("zone", ScaleRun::zone)?);
        phases.push(self.phase("region", ScaleRun::region)?);
        phases.push(self.phase("leader", ScaleRun::leader)?);
        self.check_marks()?;
        Ok(phases)
    }
}

fn await_ready(links: &Links, process: &Process, at: usize, start: u64) -> io::Result<NodeHandle> {
    let ready = process.ready()?;
    if let Some(address) = ready.listening.first() {
        links.set_target(process.name(), *address)?;
    }
    Ok(NodeHandle { at, id: process.id().unwrap_or(0), control: ready.control, start })
}

/// Sends calls through the real nodes until [`LabMessage::LastCall`] arrives. `ready` receives the mailbox
/// for it.
fn run_calls(
    plan: &ScalePlan,
    links: &Links,
    layout: &Layout,
    tails: &[String],
    handles: &NodeHandles,
    ready: impl FnOnce(CallsMailbox),
) -> io::Result<Rehearsal> {
    let day = scenario(plan)?;
    let program = Program::node(&plan.binary);
    let first = layout.of_role(Role::Real).next().unwrap_or(0);
    let begun = std::cell::Cell::new(0);
    let begin = |text: &str| -> io::Result<Box<dyn NodeControl>> {
        let at = first + begun.replace(begun.get() + 1);
        let place = &layout.places[at];
        let folder = plan.folder.join(&place.host);
        let fleet = layout.fleet_settings(at, plan, Some(&folder));
        let text = format!("{text}(control 127.0.0.1:0)\n{fleet}{}", tails[place.region()]);
        let process = Process::start(&place.host, &program, &folder, &text)?;
        let handle = await_ready(links, &process, at, 1)?;
        let control = handle.control;
        handles.lock().unwrap_or_else(PoisonError::into_inner).push(handle);
        let address = process.ready()?.listening.first().copied();
        let address = address.ok_or_else(|| io::Error::other("a node without an address"))?;
        Ok(Box::new(RealNode { process, address, control }))
    };
    let start = |text: &str| begin(text).map_err(|error| error.to_string());
    rehearse_until(&day, &start, ready).map_err(|error| io::Error::other(error.to_string()))
}

/// Mailbox through which the calls are ended.
type CallsMailbox = lemoncleat_net::Mailbox<LabMessage>;

fn start_hosts(plan: &ScalePlan, layout: &Layout, tails: &[String]) -> io::Result<Vec<Host>> {
    let program =
        Program { path: plan.binary.clone(), arguments: vec!["hollow".to_owned()], ..Program::default() };
    let mut hosts = Vec::new();
    for (number, rack) in layout.racks().into_iter().enumerate().filter(|(_, rack)| !rack.is_empty()) {
        let place = &layout.places[rack[0]];
        let name = format!("rack{number}");
        let folder = plan.folder.join(&name);
        let process = Process::start_with_input(&name, &program, &folder, "")?;
        let hollow_plan = layout.hollow_plan(&rack, plan, &tails[place.region()], &folder);
        hosts.push(Host { process, zone: place.zone, nodes: rack, state: HostState::Up, plan: hollow_plan });
    }
    for host in &mut hosts {
        let plan = serde_json::to_string(&host.plan)?;
        host.process.write_line(&plan)?;
    }
    for host in &mut hosts {
        host.receive()?;
    }
    Ok(hosts)
}

fn start_voters(
    plan: &ScalePlan,
    links: &Links,
    layout: &Layout,
    tails: &[String],
    handles: &NodeHandles,
) -> io::Result<Vec<Process>> {
    let program = Program::node(&plan.binary);
    let mut voters = Vec::new();
    for at in layout.of_role(Role::Voter) {
        let place = &layout.places[at];
        let folder = plan.folder.join(&place.host);
        let text = layout.settings_head(at, plan, &folder) + &tails[place.region()];
        voters.push(Process::start(&place.host, &program, &folder, &text)?);
    }
    let first = layout.of_role(Role::Voter).next().unwrap_or(0);
    for (number, process) in voters.iter().enumerate() {
        let handle = await_ready(links, process, first + number, 1)?;
        handles.lock().unwrap_or_else(PoisonError::into_inner).push(handle);
    }
    Ok(voters)
}

fn budgets(phases: &[PhaseReport]) -> Vec<Budget> {
    let mut budgets = Vec::new();
    let mut add = |name: &str, phase: &PhaseReport, role: &str, limit: f64, measured: Option<f64>| {
        let margin = measured.filter(|measured| *measured > 0.0).map(|measured| limit / measured);
        let (name, phase, role) = (name.to_owned(), phase.name.clone(), role.to_owned());
        budgets.push(Budget { name, phase, role, limit, measured, margin });
    };
    for phase in phases {
        for (role, figures) in &phase.roles {
            let p99 = |spread: Option<Distribution>| spread.map(|spread| spread.p99);
            add("bytes sent/s", phase, role, SENT_LIMIT_BYTES_PER_S, p99(figures.bytes_sent));
            add("processor us/s", phase, role, PROCESSOR_LIMIT_US_PER_S, p99(figures.processor_us));
            add("memory bytes", phase, role, MEMORY_LIMIT_BYTES, p99(figures.memory_bytes));
        }
        if let Some(spread) = phase.in_force_ms {
            add("in force, ms", phase, "all", IN_FORCE_LIMIT_MS, Some(spread.most));
        }
    }
    budgets
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|load| load.parse().ok()).unwrap_or(0.0)
}

fn invariant(law: &'static str) -> Check {
    Check { law, cases: 0, broken: Vec::new() }
}

/// Removes the folder when dropped if the flag is set.
struct RunFolder(PathBuf, bool);

impl Drop for RunFolder {
    fn drop(&mut self) {
        if self.1 {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Runs a scale rehearsal. `progress` receives a line for each event. All processes have ended when the
/// function returns.
///
/// # Errors
///
/// Fails when the plan is invalid or needs more descriptors than the system allows, a process can't be
/// started or controlled, nothing is agreed any more, or the run is stopped through [`ScalePlan::stop`].
pub fn rehearse_scale(plan: &ScalePlan, progress: &mut dyn FnMut(&str)) -> io::Result<ScaleReport> {
    let load_before = load_average();
    // Dropped last: once all processes have ended, nothing writes to the folder.
    let mut folder = RunFolder(plan.folder.clone(), false);
    let links = Links::new()?;
    let layout = Layout::new(plan)?;
    layout.set_link_targets(&links)?;
    let tails =
        (0..3).map(|region| layout.settings_tail(&links, region)).collect::<io::Result<Vec<String>>>()?;
    let handles = NodeHandles::default();
    let voters = start_voters(plan, &links, &layout, &tails, &handles)?;
    let hosts = start_hosts(plan, &layout, &tails)?;
    let processes = voters.len() + hosts.len() + plan.real;
    progress(&format!(
        "{} nodes: {} hollow in {} processes, {} real, {} voters",
        plan.nodes,
        plan.nodes - plan.real - plan.voters,
        hosts.len(),
        plan.real,
        plan.voters
    ));
    let (sender, opened): (_, Receiver<CallsMailbox>) = channel();
    let (phases, laws, memory_bytes, calls) = std::thread::scope(|scope| {
        let calls = scope.spawn(|| {
            run_calls(plan, &links, &layout, &tails, &handles, move |mailbox| {
                let _ = sender.send(mailbox);
            })
        });
        // Receives the mailbox once calls run, or an error if they could not be started.
        let mailbox = opened.recv();
        let mut run = ScaleRun {
            plan,
            links: &links,
            layout: &layout,
            hosts,
            voters,
            handles: handles.clone(),
            windows: BTreeMap::new(),
            sampled: Instant::now(),
            marks: Vec::new(),
            invariants: [
                invariant("all nodes come to hold exactly the living for alive"),
                invariant("a mark that was answered stands at its entry, at every voter"),
                invariant("every node comes to have the agreed configuration in force"),
                invariant("no hollow node has a configuration in force that was not agreed"),
                invariant("a configuration that is not for all never gets past its canaries"),
            ],
            ordered: 0,
            memory: 0,
            random: SmallRng::seed_from_u64(plan.seed),
            progress,
            cut: None,
            down: BTreeSet::new(),
        };
        let phases = if mailbox.is_ok() { run.run_phases() } else { Ok(Vec::new()) };
        if let Ok(mailbox) = &mailbox {
            let _ = mailbox.send_blocking(LabMessage::LastCall);
        }
        let ended =
            calls.join().unwrap_or_else(|_| Err(io::Error::other("the laboratory's thread panicked")));
        (phases, run.invariants, run.memory, ended)
    });
    if phases.is_err() || calls.is_err() {
        progress(&format!("settings and logs are kept in {}", plan.folder.display()));
    }
    let (calls, phases) = (calls?, phases?);
    let verdict = judge(&calls.capture).ok_or_else(|| io::Error::other("the capture has no facts"))?;
    let mut laws = laws.to_vec();
    if plan.changes == 0 {
        laws.truncate(2);
    }
    let kept = verdict.kept() && laws.iter().all(|law| law.broken.is_empty());
    folder.1 = kept;
    let rules =
        verdict.rules.iter().zip(1..).map(|(rule, number)| (number, rule.cases, rule.broken)).collect();
    Ok(ScaleReport {
        schema: 1,
        seed: plan.seed,
        nodes: plan.nodes,
        hollow: plan.nodes - plan.real - plan.voters,
        real: plan.real,
        voters: plan.voters,
        processes,
        machine_cores: std::thread::available_parallelism().map_or(0, usize::from),
        load_before,
        round_ms: plan.round as u64 / 1_000,
        budgets: budgets(&phases),
        phases,
        laws,
        memory_bytes,
        callers: verdict.callers,
        rules,
        kept,
    })
}
