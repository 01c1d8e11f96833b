//! The plays.

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
use crate::stage::{Control, Cut, Disk, Links, Process, Program};
use crate::world::{LabMessage, NodeControl};
use crate::{judge, rehearse_until, Micros, Rehearsal};

/// Between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(100);
/// Between two samples of figures.
const SAMPLE: Duration = Duration::from_secs(1);
/// Calls that a stand-in server can carry, a second.
const CAPACITY: f64 = 400.0;
/// The operators' limits, of a node: share of a core in microseconds a second, memory, bytes a second, and
/// how soon
/// all are at one, in milliseconds.
const PROCESSOR: f64 = 26_000.0;
const MEMORY: f64 = 128.0 * 1024.0 * 1024.0;
const BYTES: f64 = 4_096.0;
const AT_ONE: f64 = 10_000.0;

/// A process of a node of its own.
#[derive(Clone)]
struct Site {
    at: usize,
    id: u32,
    control: Option<SocketAddr>,
    /// Grows with each start.
    start: u64,
}

type Sites = Arc<Mutex<Vec<Site>>>;

/// A real node, started for the laboratory.
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
        // How it ended is in its log.
        let _ = self.process.stop();
    }
}

fn the_day(plan: &ScalePlan) -> io::Result<Day> {
    let mut day = builtin("calm").ok_or_else(|| io::Error::other("the built-in day is gone"))?;
    day.name = "scale".to_owned();
    day.seed = plan.seed;
    day.nodes = plan.real as u16;
    day.rate = Rate(plan.rate);
    // Its end is told.
    day.length = Span(24 * 3_600_000_000);
    day.servers =
        (0..4).map(|_| ServerDay { capacity: Rate(CAPACITY), lines: 100_000, zone: String::new() }).collect();
    // Enough trouble for each rule to have cases, over before the fleet's begins or soon after.
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

/// What there is while it lasts.
struct Stage<'a> {
    plan: &'a ScalePlan,
    links: &'a Links,
    layout: &'a Layout,
    hosts: Vec<Host>,
    voters: Vec<Process>,
    sites: Sites,
    windows: BTreeMap<Role, Windows>,
    sampled: Instant,
    /// Marks that were answered: order, index.
    marks: Vec<(String, u64)>,
    laws: [Check; 3],
    memory: u64,
    random: SmallRng,
    told: &'a mut dyn FnMut(&str),
    /// Regions that are cut off, each alone.
    cut: Option<usize>,
    down: BTreeSet<usize>,
}

fn ask(control: Option<SocketAddr>, order: &Value) -> io::Result<Value> {
    let address = control.ok_or_else(|| io::Error::other("a node without a control port"))?;
    Control::connect(address)?.ask(order)
}

impl Stage<'_> {
    fn heed(&self) -> io::Result<()> {
        if self.plan.stop.load(Ordering::SeqCst) {
            return Err(io::Error::new(io::ErrorKind::Interrupted, "stopped before its end"));
        }
        Ok(())
    }

    fn sites(&self) -> Vec<Site> {
        self.sites.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Gives all processes with hollow nodes that are up an order, and hears them.
    fn ask_hosts(&mut self, order: &Order) -> io::Result<Vec<(usize, Answer)>> {
        let up: Vec<usize> =
            (0..self.hosts.len()).filter(|host| self.hosts[*host].state == HostState::Up).collect();
        for host in &up {
            self.hosts[*host].say(order)?;
        }
        let mut answers = Vec::new();
        for host in up {
            self.heed()?;
            answers.push((host, self.hosts[host].hear()?));
        }
        Ok(answers)
    }

    /// Takes a sample of all nodes, once a second.
    fn sample(&mut self) -> io::Result<()> {
        if self.sampled.elapsed() < SAMPLE {
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
                // Where words are counted, the counting takes most of the time.
                let counted = figures.traffic.is_some();
                let sample = Sample {
                    at: now_us(),
                    start: u64::from(figures.start),
                    processor_us: (!counted).then_some(figures.processor_us + share(answer.shared_us)),
                    traffic: figures.traffic,
                    memory_bytes: share(answer.memory_bytes),
                };
                windows.take(*at, sample);
            }
        }
        for site in self.sites() {
            // One that is down has no figures.
            let Ok(threads) = processor_of_threads(site.id) else { continue };
            self.heed()?;
            let members = ask(site.control, &json!({"op": "members"})).ok();
            let sample = Sample {
                at: now_us(),
                start: site.start,
                processor_us: Some(threads.iter().map(|thread| thread.processor_us).sum()),
                traffic: members.as_ref().and_then(Traffic::of_members),
                memory_bytes: resident_bytes(site.id).unwrap_or(0),
            };
            all += sample.memory_bytes;
            self.windows.entry(self.layout.places[site.at].role).or_default().take(site.at, sample);
        }
        self.memory = self.memory.max(all);
        Ok(())
    }

    /// Members that a node in a region should hold for alive.
    fn living(&self, region: usize) -> (u32, u64) {
        let apart = |of: usize| self.cut.is_some_and(|cut| (of == cut) != (region == cut));
        let there = (0..self.layout.places.len())
            .filter(|at| !self.down.contains(at) && !apart(self.layout.places[*at].region()));
        there.fold((0, 0), |(count, marks), at| {
            (count + 1, marks.wrapping_add(mark_of(&self.layout.places[at].host)))
        })
    }

    /// Nodes that do not hold exactly the living for alive, and when the others last changed their minds.
    fn not_at_one(&mut self) -> io::Result<(Vec<String>, Micros)> {
        let living: Vec<(u32, u64)> = (0..3).map(|region| self.living(region)).collect();
        let (mut wrong, mut last) = (Vec::new(), 0);
        let layout = self.layout;
        let look = |at: usize, view: NodeView| {
            let place = &layout.places[at];
            let (count, marks) = living[place.region()];
            // A node does not count itself.
            let own = (view.alive + 1, view.marks.wrapping_add(mark_of(&place.host)));
            if own == (count, marks) {
                Ok(view.changed)
            } else {
                Err(format!("{} holds {} for alive, {count} are", place.host, own.0))
            }
        };
        let mut note = |found: Result<Micros, String>| match found {
            Ok(changed) => last = last.max(changed),
            Err(why) => wrong.push(why),
        };
        for (host, answer) in self.ask_hosts(&Order::Views)? {
            for (at, view) in self.hosts[host].nodes.iter().zip(&answer.views) {
                note(look(*at, *view));
            }
        }
        if wrong.is_empty() {
            let mut found = Vec::new();
            for site in self.sites().into_iter().filter(|site| !self.down.contains(&site.at)) {
                let answer = ask(site.control, &json!({"op": "members"}))?;
                let own = &self.layout.places[site.at].host;
                let mut view = NodeView::default();
                for member in answer["members"].as_array().into_iter().flatten() {
                    let host = member["host"].as_str().unwrap_or_default();
                    if member["state"] == "alive" && host != own {
                        view.alive += 1;
                        view.marks = view.marks.wrapping_add(mark_of(host));
                    }
                }
                found.push(look(site.at, view));
            }
            // Their moments are not known.
            wrong.extend(found.into_iter().filter_map(Result::err));
        }
        Ok((wrong, last))
    }

    /// Waits until all nodes hold exactly the living for alive; how long after a moment the last one did.
    fn at_one(&mut self, since: Micros, what: &str) -> io::Result<(String, Option<u64>)> {
        let began = Instant::now();
        loop {
            self.heed()?;
            self.sample()?;
            let (wrong, last) = self.not_at_one()?;
            if wrong.is_empty() {
                self.laws[0].cases += 1;
                let took = (last.max(since) - since) as u64 / 1_000;
                (self.told)(&format!("  {what}: all at one after {:.2} s", took as f64 / 1e3));
                return Ok((what.to_owned(), Some(took)));
            }
            if began.elapsed() > self.plan.patience {
                let told =
                    format!("{what}: {} nodes never were at one, first {}", wrong.len(), wrong[0].clone());
                (self.told)(&format!("  {told}"));
                self.laws[0].cases += 1;
                self.laws[0].broken.push(told);
                return Ok((what.to_owned(), None));
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Goes on for a span, which is what is played.
    fn pass(&mut self, span: Duration) -> io::Result<()> {
        let began = Instant::now();
        while began.elapsed() < span {
            self.heed()?;
            self.sample()?;
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Has a mark agreed, asked for at a voter that is up.
    fn mark(&mut self) -> io::Result<u64> {
        let order = format!("scale{}", self.marks.len());
        let (asked, since) = (Instant::now(), now_us());
        while asked.elapsed() < self.plan.patience {
            self.heed()?;
            for site in self.sites() {
                if self.layout.places[site.at].role != Role::Voter || self.down.contains(&site.at) {
                    continue;
                }
                let answer = ask(site.control, &json!({"op": "mark", "order": &order, "text": "scale"}));
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
        play: impl FnOnce(&mut Self, &mut PhaseReport) -> io::Result<()>,
    ) -> io::Result<PhaseReport> {
        (self.told)(name);
        let began = Instant::now();
        let mut phase = PhaseReport { name: name.to_owned(), ..PhaseReport::default() };
        play(self, &mut phase)?;
        phase.took_ms = began.elapsed().as_millis() as u64;
        phase.roles =
            self.windows.iter_mut().map(|(role, windows)| (role.name().to_owned(), windows.end())).collect();
        Ok(phase)
    }

    // ---- The plays ----

    fn start(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        let since = now_us();
        self.ask_hosts(&Order::Start)?;
        (self.told)(&format!("  all hollow nodes run after {:.2} s", (now_us() - since) as f64 / 1e6));
        phase.at_one_ms.push(self.at_one(since, "the whole fleet started")?);
        let took = self.mark()?;
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
            self.hosts[host].say(&Order::Restart { node })?;
            self.hosts[host].hear()?;
            phase.at_one_ms.push(self.at_one(since, &format!("{name} restarted"))?);
        }
        Ok(())
    }

    fn host_down(&mut self, host: usize, state: HostState) -> io::Result<()> {
        let held = &mut self.hosts[host];
        match state {
            HostState::Paused => held.process.pause()?,
            _ => drop(held.process.kill()?),
        }
        held.state = state;
        self.down.extend(held.nodes.iter().copied());
        Ok(())
    }

    fn host_up(&mut self, host: usize) -> io::Result<()> {
        let held = &mut self.hosts[host];
        if held.state == HostState::Paused {
            held.process.resume()?;
        } else {
            held.process.restart(Disk::Kept)?;
            held.give_plan()?;
            held.say(&Order::Start)?;
            held.hear()?;
        }
        held.state = HostState::Up;
        for at in &held.nodes {
            self.down.remove(at);
        }
        Ok(())
    }

    fn rack(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        let hosts: Vec<usize> = (0..self.hosts.len()).collect();
        let Some(host) = hosts.choose(&mut self.random).copied() else { return Ok(()) };
        let (since, count) = (now_us(), self.hosts[host].nodes.len());
        self.host_down(host, HostState::Killed)?;
        phase.at_one_ms.push(self.at_one(since, &format!("a rack of {count} killed"))?);
        let since = now_us();
        self.host_up(host)?;
        phase.at_one_ms.push(self.at_one(since, "the rack back")?);
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
        phase.at_one_ms.push(self.at_one(since, &what)?);
        let since = now_us();
        for host in &hosts {
            self.host_up(*host)?;
        }
        phase.at_one_ms.push(self.at_one(since, "the zone back")?);
        Ok(())
    }

    fn region(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        // The one with the fewest voters.
        let region = 2;
        let own = region_name(region);
        let rest: Vec<String> = (0..3).filter(|other| *other != region).map(region_name).collect();
        let of = |inside: bool| {
            let places = self.layout.places.iter().filter(move |place| (place.region() == region) == inside);
            places.map(|place| &*place.host)
        };
        let inside: Vec<&str> = of(true).chain([&*own]).collect();
        let outside: Vec<&str> = of(false).chain(rest.iter().map(|name| &**name)).collect();
        let count = inside.len() - 1;
        let since = now_us();
        let trouble = self.links.partition(&[&inside, &outside], Cut::Lost)?;
        self.cut = Some(region);
        phase.at_one_ms.push(self.at_one(since, &format!("a region of {count} cut off, both sides at one"))?);
        let since = now_us();
        self.links.end(trouble)?;
        self.cut = None;
        phase.at_one_ms.push(self.at_one(since, "the region back")?);
        Ok(())
    }

    fn leader(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        let voters: Vec<Site> =
            self.sites().into_iter().filter(|site| self.layout.places[site.at].role == Role::Voter).collect();
        let leads = |site: &Site| {
            let answer = ask(site.control, &json!({"op": "agreement"})).ok()?;
            answer["leader"].as_str().map(str::to_owned)
        };
        let leader = voters.iter().find_map(leads).unwrap_or_default();
        let first = self.layout.of_role(Role::Voter).next().unwrap_or(0);
        let at = voters.iter().map(|site| site.at).find(|at| self.layout.places[*at].host == leader);
        let at = at.unwrap_or(first);
        let since = now_us();
        self.voters[at - first].kill()?;
        self.down.insert(at);
        let took = self.mark()?;
        phase.at_one_ms.push(("the voters' leader killed, a mark agreed again".to_owned(), Some(took)));
        phase.at_one_ms.push(self.at_one(since, "without it")?);
        let since = now_us();
        self.voters[at - first].restart(Disk::Kept)?;
        let site = greet(self.links, &self.voters[at - first], at, now_us() as u64)?;
        let mut sites = self.sites.lock().unwrap_or_else(PoisonError::into_inner);
        sites.retain(|site| site.at != at);
        sites.push(site);
        drop(sites);
        self.down.remove(&at);
        phase.at_one_ms.push(self.at_one(since, "the voter back")?);
        Ok(())
    }

    /// Changes of configuration, one after another, the second with a rack paused and the third with a region
    /// cut.
    fn changes(&mut self, phase: &mut PhaseReport) -> io::Result<()> {
        let mut spread = Vec::new();
        let mut parent = 0;
        for number in 0..self.plan.changes {
            let paused = (number % 3 == 1).then_some(self.hosts.len() / 2);
            if let Some(host) = paused {
                self.host_down(host, HostState::Paused)?;
            }
            let text = format!("(attempts {})\n", 3 + number % 2);
            let order = format!("change{number}");
            let order = json!({"op": "configure", "order": order, "parent": parent, "text": text});
            let sites = self.sites();
            let site = sites.choose(&mut self.random).cloned();
            let answer = ask(site.and_then(|site| site.control), &order)?;
            let Some(agreed) = answer["number"].as_u64().filter(|_| answer["ok"] == true) else {
                self.laws[2].cases += 1;
                self.laws[2].broken.push(format!("change {number}: {answer}"));
                return Ok(());
            };
            parent = agreed;
            let (since, began) = (now_us(), Instant::now());
            if let Some(host) = paused {
                self.pass(Duration::from_secs(2))?;
                self.host_up(host)?;
            }
            let late = loop {
                self.heed()?;
                self.sample()?;
                let views: Vec<NodeView> =
                    self.ask_hosts(&Order::Views)?.into_iter().flat_map(|(_, answer)| answer.views).collect();
                let late = views.iter().filter(|view| view.configuration.0 != agreed).count();
                if late == 0 {
                    spread
                        .extend(views.iter().map(|view| (view.configuration.1 - since).max(0) as f64 / 1e3));
                    break late;
                }
                if began.elapsed() > self.plan.patience {
                    break late;
                }
                std::thread::sleep(LOOK);
            };
            self.laws[2].cases += 1;
            if late > 0 {
                self.laws[2]
                    .broken
                    .push(format!("change {number}: {late} nodes never had version {agreed} in force"));
            }
        }
        phase.in_force_ms = Distribution::of(spread);
        Ok(())
    }

    /// Every mark that was answered stands at every voter.
    fn marks_stand(&mut self) -> io::Result<()> {
        let last = self.marks.iter().map(|(_, index)| *index).max().unwrap_or(0);
        for site in self.sites() {
            let place = &self.layout.places[site.at];
            if place.role != Role::Voter {
                continue;
            }
            let began = Instant::now();
            let answer = loop {
                self.heed()?;
                let answer = ask(site.control, &json!({"op": "marks"}))?;
                if answer["index"].as_u64().is_some_and(|index| index >= last)
                    || began.elapsed() > self.plan.patience
                {
                    break answer;
                }
                std::thread::sleep(LOOK);
            };
            let marks = answer["marks"].as_array().cloned().unwrap_or_default();
            for (order, index) in &self.marks {
                self.laws[1].cases += 1;
                let same = |mark: &&Value| mark["order"] == **order && mark["index"] == *index;
                if marks.iter().find(same).is_none() {
                    self.laws[1].broken.push(format!("{} does not hold {order} at {index}", place.host));
                }
            }
        }
        Ok(())
    }

    fn play(&mut self) -> io::Result<Vec<PhaseReport>> {
        let mut phases = vec![self.phase("start", Stage::start)?];
        let rest = self.plan.rest;
        phases.push(self.phase("rest", |stage, _| stage.pass(rest))?);
        if self.plan.changes > 0 {
            phases.push(self.phase("configuration", Stage::changes)?);
        }
        phases.push(self.phase("restarts", Stage::restarts)?);
        phases.push(self.phase("rack", Stage::rack)?);
        phases.push(self.phase("zone", Stage::zone)?);
        phases.push(self.phase("region", Stage::region)?);
        phases.push(self.phase("leader", Stage::leader)?);
        self.marks_stand()?;
        Ok(phases)
    }
}

fn greet(links: &Links, process: &Process, at: usize, start: u64) -> io::Result<Site> {
    let ready = process.ready()?;
    if let Some(address) = ready.listening.first() {
        links.set_target(process.name(), *address)?;
    }
    Ok(Site { at, id: process.id().unwrap_or(0), control: ready.control, start })
}

/// Calls through the real nodes until the last call is told.
fn call(
    plan: &ScalePlan,
    links: &Links,
    layout: &Layout,
    tails: &[String],
    sites: &Sites,
    ready: impl FnOnce(Calls),
) -> io::Result<Rehearsal> {
    let day = the_day(plan)?;
    let program = Program::node(&plan.binary);
    let first = layout.of_role(Role::Real).next().unwrap_or(0);
    let begun = std::cell::Cell::new(0);
    let begin = |text: &str| -> io::Result<Box<dyn NodeControl>> {
        let at = first + begun.replace(begun.get() + 1);
        let place = &layout.places[at];
        let folder = plan.folder.join(&place.host);
        let fleet = layout.fleet(at, plan, Some(&folder));
        let text = format!("{text}(control 127.0.0.1:0)\n{fleet}{}", tails[place.region()]);
        let process = Process::start(&place.host, &program, &folder, &text)?;
        let site = greet(links, &process, at, 1)?;
        let control = site.control;
        sites.lock().unwrap_or_else(PoisonError::into_inner).push(site);
        let address = process.ready()?.listening.first().copied();
        let address = address.ok_or_else(|| io::Error::other("a node without an address"))?;
        Ok(Box::new(RealNode { process, address, control }))
    };
    let start = |text: &str| begin(text).map_err(|error| error.to_string());
    rehearse_until(&day, &start, ready).map_err(|error| io::Error::other(error.to_string()))
}

/// The way to end the calls.
type Calls = lemoncleat_net::Mailbox<LabMessage>;

fn begin_hosts(plan: &ScalePlan, layout: &Layout, tails: &[String]) -> io::Result<Vec<Host>> {
    let program =
        Program { path: plan.binary.clone(), arguments: vec!["hollow".to_owned()], ..Program::default() };
    let mut hosts = Vec::new();
    for (number, rack) in layout.racks().into_iter().enumerate().filter(|(_, rack)| !rack.is_empty()) {
        let place = &layout.places[rack[0]];
        let name = format!("rack{number}");
        let folder = plan.folder.join(&name);
        let process = Process::start_ordered(&name, &program, &folder, "")?;
        let told = layout.hollow_plan(&rack, plan, &tails[place.region()], &folder);
        hosts.push(Host { process, zone: place.zone, nodes: rack, state: HostState::Up, plan: told });
    }
    for host in &mut hosts {
        let plan = serde_json::to_string(&host.plan)?;
        host.process.say(&plan)?;
    }
    for host in &mut hosts {
        host.hear()?;
    }
    Ok(hosts)
}

fn begin_voters(
    plan: &ScalePlan,
    links: &Links,
    layout: &Layout,
    tails: &[String],
    sites: &Sites,
) -> io::Result<Vec<Process>> {
    let program = Program::node(&plan.binary);
    let mut voters = Vec::new();
    for at in layout.of_role(Role::Voter) {
        let place = &layout.places[at];
        let folder = plan.folder.join(&place.host);
        let text = layout.head(at, plan, &folder) + &tails[place.region()];
        voters.push(Process::start(&place.host, &program, &folder, &text)?);
    }
    let first = layout.of_role(Role::Voter).next().unwrap_or(0);
    for (number, process) in voters.iter().enumerate() {
        let site = greet(links, process, first + number, 1)?;
        sites.lock().unwrap_or_else(PoisonError::into_inner).push(site);
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
            add("bytes sent/s", phase, role, BYTES, p99(figures.bytes_sent));
            add("processor us/s", phase, role, PROCESSOR, p99(figures.processor_us));
            add("memory bytes", phase, role, MEMORY, p99(figures.memory_bytes));
        }
        if let Some(spread) = phase.in_force_ms {
            add("in force, ms", phase, "all", AT_ONE, Some(spread.most));
        }
    }
    budgets
}

fn load_now() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|load| load.parse().ok()).unwrap_or(0.0)
}

fn law(law: &'static str) -> Check {
    Check { law, cases: 0, broken: Vec::new() }
}

/// Keeps the folder unless all went well.
struct Folder(PathBuf, bool);

impl Drop for Folder {
    fn drop(&mut self) {
        if self.1 {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Plays a rehearsal. `told` hears a line for each thing that happens. All processes have ended when it
/// returns.
///
/// # Errors
///
/// When the plan makes no sense or the system has too few descriptors for it, a process can't be started or
/// steered,
/// nothing is agreed any more, or it is told to stop.
pub fn rehearse_scale(plan: &ScalePlan, told: &mut dyn FnMut(&str)) -> io::Result<ScaleReport> {
    let load_before = load_now();
    // Dropped last: with the processes gone nobody writes there.
    let mut folder = Folder(plan.folder.clone(), false);
    let links = Links::new()?;
    let layout = Layout::new(plan)?;
    layout.lead(&links)?;
    let tails = (0..3).map(|region| layout.tail(&links, region)).collect::<io::Result<Vec<String>>>()?;
    let sites = Sites::default();
    let voters = begin_voters(plan, &links, &layout, &tails, &sites)?;
    let hosts = begin_hosts(plan, &layout, &tails)?;
    let processes = voters.len() + hosts.len() + plan.real;
    told(&format!(
        "{} nodes: {} hollow in {} processes, {} real, {} voters",
        plan.nodes,
        plan.nodes - plan.real - plan.voters,
        hosts.len(),
        plan.real,
        plan.voters
    ));
    let (sender, opened): (_, Receiver<Calls>) = channel();
    let (phases, laws, memory_bytes, calls) = std::thread::scope(|scope| {
        let calls = scope.spawn(|| {
            call(plan, &links, &layout, &tails, &sites, move |mailbox| {
                let _ = sender.send(mailbox);
            })
        });
        // It ends with an error or with calls that can be ended.
        let mailbox = opened.recv();
        let mut stage = Stage {
            plan,
            links: &links,
            layout: &layout,
            hosts,
            voters,
            sites: sites.clone(),
            windows: BTreeMap::new(),
            sampled: Instant::now(),
            marks: Vec::new(),
            laws: [
                law("all nodes come to hold exactly the living for alive"),
                law("a mark that was answered stands at its entry, at every voter"),
                law("every node comes to have the agreed configuration in force"),
            ],
            memory: 0,
            random: SmallRng::seed_from_u64(plan.seed),
            told,
            cut: None,
            down: BTreeSet::new(),
        };
        let phases = if mailbox.is_ok() { stage.play() } else { Ok(Vec::new()) };
        if let Ok(mailbox) = &mailbox {
            let _ = mailbox.send_blocking(LabMessage::LastCall);
        }
        let ended =
            calls.join().unwrap_or_else(|_| Err(io::Error::other("the laboratory's thread panicked")));
        (phases, stage.laws, stage.memory, ended)
    });
    if phases.is_err() || calls.is_err() {
        told(&format!("settings and logs are kept in {}", plan.folder.display()));
    }
    let (calls, phases) = (calls?, phases?);
    let verdict = judge(&calls.capture).ok_or_else(|| io::Error::other("the capture has no facts"))?;
    let mut laws = laws.to_vec();
    if plan.changes == 0 {
        laws.pop();
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
