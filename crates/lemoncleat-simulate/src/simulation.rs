//! A run: everything in one queue of events under one clock.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

use lemoncleat_lab::{End, LiveJudge, NodeControl, Record, Rule, Verdict, Violation, World};
use lemoncleat_net::Event;
use lemoncleat_node::{Availability, FrameReader, ListNews, Output, PeerId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::fabric::{Command, Ends, Fabric};
use crate::node::{Handle, NodeEvent, SimNode};
use crate::scenario::{LinkFaultKind, Scenario, Side};
use crate::Micros;

/// How long connections may take to come about before the day begins.
const OPEN_WITHIN: Micros = 20_000_000;
/// How long everything may take to be over once everybody has hung up: releases are repeated for ten seconds, and
/// calls at a server that does not come back are given up after as long.
const SETTLE: Micros = 30_000_000;
/// How long a node waits before it asks for the feed again.
const FEED_AGAIN: Micros = 200_000;
/// Steps that a run may take; more are a loop.
const MOST_STEPS: u64 = 20_000_000;
/// Longest message that is followed at a node's boundary.
const LONGEST: usize = 1 << 20;
/// Records kept for telling what led to a violation.
const TAIL: usize = 60;

/// What a run found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Finding {
    /// A rule was broken; `None` is a circuit that came to carry two calls.
    Broken(Option<Rule>, Violation),
    /// Something was left when everything should be over.
    Left(String),
    /// Connections did not come about, or time did not pass.
    Stuck(String),
}

impl Finding {
    /// What kind of finding it is, for telling whether a smaller run finds the same.
    pub fn kind(&self) -> String {
        match self {
            Finding::Broken(Some(rule), _) => format!("rule {}", rule.number()),
            Finding::Broken(None, _) => "circuit shared".to_owned(),
            Finding::Left(what) => what.split(':').next().unwrap_or_default().to_owned(),
            Finding::Stuck(what) => what.split(':').next().unwrap_or_default().to_owned(),
        }
    }
}

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The first thing that was wrong, and at which step.
    pub finding: Option<(u64, Finding)>,
    /// Steps that were taken.
    pub steps: u64,
    /// Virtual time that passed, in microseconds.
    pub time: Micros,
    /// A digest of every record in its order: equal runs have equal ones.
    pub digest: u64,
    /// All that was seen; `None` if the run stopped early.
    pub verdict: Option<Verdict>,
    /// The last records before the finding, in words.
    pub tail: Vec<String>,
}

/// Told each record, for `--trace`.
pub type Trace<'a> = &'a mut dyn FnMut(&Record);

enum To {
    World(Event<lemoncleat_lab::LabMessage>),
    Node(usize, NodeEvent),
    /// Bytes of the feed.
    Feed(usize, u64, Vec<u8>),
    FeedClosed(usize, u64),
    DialFeed(usize),
    Fault(usize, bool),
    /// A dial of the world's or a node's reaches its end.
    WorldDial(usize, u64, u64),
    NodeDial(usize, PeerId, u64, SocketAddr),
}

struct Item {
    at: Micros,
    order: u64,
    to: To,
}

impl PartialEq for Item {
    fn eq(&self, other: &Item) -> bool {
        self.order == other.order
    }
}
impl Eq for Item {}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Item) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Item {
    fn cmp(&self, other: &Item) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// One connection between the world and a node.
struct Conn {
    node: usize,
    side: Side,
    /// The stand-in at its other end.
    end: Option<End>,
    /// Cut the bytes that cross the node's boundary into frames, toward the node and from it.
    readers: [FrameReader; 2],
    /// When the last thing arrives at the world, at the node: nothing overtakes on a connection.
    last: [Micros; 2],
    /// The world, the node has closed it or knows that it is closed.
    closed: [bool; 2],
}

const WORLD: usize = 0;
const NODE: usize = 1;

struct Simulation {
    now: Micros,
    zero: Micros,
    order: u64,
    steps: u64,
    queue: BinaryHeap<Reverse<Item>>,
    fabric: Rc<RefCell<Fabric>>,
    world: World<Ends>,
    nodes: Vec<SimNode>,
    stalls: Arc<Mutex<Vec<(usize, Micros)>>>,
    conns: BTreeMap<u64, Conn>,
    next_conn: u64,
    /// The dial that counts of the world's with a tag, of a node's to a peer.
    world_dials: BTreeMap<u64, u64>,
    node_dials: BTreeMap<(usize, u32), u64>,
    scenario: Scenario,
    active: Vec<bool>,
    rng: SmallRng,
    judge: Option<LiveJudge>,
    digest: DefaultHasher,
    tail: VecDeque<Record>,
    /// What crossed nodes' boundaries in this step.
    crossed: Vec<Record>,
}

/// Plays a scenario to its end, or to the step at which something is first wrong.
///
/// # Errors
///
/// When the scenario makes no fleet: settings that a node does not take.
pub fn simulate(scenario: &Scenario, trace: Option<Trace<'_>>) -> Result<Outcome, String> {
    let mut simulation = Simulation::new(scenario)?;
    let mut trace = trace;
    let finding = simulation.play(&mut trace);
    let Simulation { now, steps, digest, judge, tail, .. } = simulation;
    let verdict = match &finding {
        None => judge.map(LiveJudge::verdict),
        Some(_) => None,
    };
    // What only the whole of a run shows: calls without an answer.
    let finding = finding.or_else(|| {
        let rules = &verdict.as_ref()?.rules;
        let broken = rules.iter().find(|rule| rule.broken > 0)?;
        Some(Finding::Broken(Some(broken.rule), broken.first.clone()?))
    });
    Ok(Outcome {
        finding: finding.map(|finding| (steps, finding)),
        steps,
        time: now,
        digest: digest.finish(),
        verdict,
        tail: tail.iter().map(Record::text).collect(),
    })
}

impl Simulation {
    fn new(scenario: &Scenario) -> Result<Simulation, String> {
        let fabric = Rc::new(RefCell::new(Fabric::default()));
        let nodes: Rc<RefCell<Vec<SimNode>>> = Rc::default();
        let stalls: Arc<Mutex<Vec<(usize, Micros)>>> = Arc::default();
        let start = |text: &str| -> Result<Box<dyn NodeControl>, String> {
            let address = fabric.borrow_mut().address();
            let number = nodes.borrow().len();
            nodes.borrow_mut().push(SimNode::new(text, address)?);
            Ok(Box::new(Handle { address, number, stalls: stalls.clone() }))
        };
        let world = World::build(scenario.day.clone(), Ends(fabric.clone()), &start, &[]);
        let world = world.map_err(|error| error.to_string())?;
        let nodes = nodes.take();
        Ok(Simulation {
            now: 0,
            zero: Micros::MAX,
            order: 0,
            steps: 0,
            queue: BinaryHeap::new(),
            fabric,
            world,
            nodes,
            stalls,
            conns: BTreeMap::new(),
            next_conn: 0,
            world_dials: BTreeMap::new(),
            node_dials: BTreeMap::new(),
            active: vec![false; scenario.links.len()],
            rng: SmallRng::seed_from_u64(scenario.seed ^ 0x11fe),
            scenario: scenario.clone(),
            judge: None,
            digest: DefaultHasher::new(),
            tail: VecDeque::new(),
            crossed: Vec::new(),
        })
    }

    fn push(&mut self, at: Micros, to: To) {
        self.order += 1;
        self.queue.push(Reverse(Item { at: at.max(self.now), order: self.order, to }));
    }

    // ---- The course of a run ----

    fn play(&mut self, trace: &mut Option<Trace<'_>>) -> Option<Finding> {
        for node in 0..self.nodes.len() {
            self.push(0, To::DialFeed(node));
        }
        self.world.connect();
        while self.world.unconnected() != (0, 0) {
            if self.now > OPEN_WITHIN {
                let (fronts, servers) = self.world.unconnected();
                return Some(Finding::Stuck(format!(
                    "not open: {fronts} front-ends and {servers} servers wait"
                )));
            }
            if let Err(finding) = self.step(trace) {
                return Some(finding);
            }
        }
        self.zero = self.now;
        self.world.begin_day();
        for number in 0..self.scenario.links.len() {
            let fault = self.scenario.links[number];
            self.push(self.zero + fault.from, To::Fault(number, true));
            self.push(self.zero + fault.until, To::Fault(number, false));
        }
        loop {
            match self.step(trace) {
                Ok(true) => {}
                Ok(false) => break,
                Err(finding) => return Some(finding),
            }
        }
        // Everybody hangs up; then nothing may be left anywhere.
        let at = self.now;
        self.world.hang_up_all();
        while self.now < at + SETTLE {
            if let Err(finding) = self.step(trace) {
                return Some(finding);
            }
        }
        self.left()
    }

    fn left(&self) -> Option<Finding> {
        for (number, node) in self.nodes.iter().enumerate() {
            let stats = node.core.stats();
            if stats.setting_up + stats.standing > 0 {
                let what = format!(
                    "calls left: node {number} has {} being set up, {} standing",
                    stats.setting_up, stats.standing
                );
                return Some(Finding::Left(what));
            }
        }
        let standing = self.world.standing_calls();
        if let Some((server, session)) = standing.first() {
            let count = standing.len();
            return Some(Finding::Left(format!(
                "sessions left: {count} at servers, {session} at {server} first"
            )));
        }
        let circuits = self.world.circuits_in_use();
        let first = circuits.first()?;
        Some(Finding::Left(format!("circuits left: {} in use at servers, {first} first", circuits.len())))
    }

    /// The next thing that is due; `false` once the world's day is over.
    fn step(&mut self, trace: &mut Option<Trace<'_>>) -> Result<bool, Finding> {
        self.steps += 1;
        if self.steps > MOST_STEPS {
            return Err(Finding::Stuck(format!("no end: {} steps until {} us", self.steps, self.now)));
        }
        let queued = self.queue.peek().map(|Reverse(item)| item.at);
        let world = self.world.due();
        let nodes = self.nodes.iter().filter_map(SimNode::wake).min();
        let next = [queued, world, nodes].into_iter().flatten().min();
        let next = next.ok_or_else(|| Finding::Stuck("nothing is due: the clock stands".to_owned()))?;
        self.now = next.max(self.now);
        self.fabric.borrow_mut().now = self.now;
        let mut goes_on = true;
        if queued == Some(next) {
            if let Some(Reverse(item)) = self.queue.pop() {
                self.arrive(item.to);
            }
        } else if world == Some(next) {
            goes_on = self.world.advance();
        } else {
            let due = |node: &SimNode| node.wake().is_some_and(|wake| wake <= next);
            if let Some(number) = self.nodes.iter().position(due) {
                self.nodes[number].turn(self.now, &mut self.rng);
            }
        }
        self.carry_out();
        self.judge(trace)?;
        Ok(goes_on)
    }

    fn judge(&mut self, trace: &mut Option<Trace<'_>>) -> Result<(), Finding> {
        // Links delay and hold back, which is no node's doing: what crosses connections is judged at the nodes'
        // boundary, where they hear of it and where they say it. The world tells the rest.
        let crosses = |record: &Record| {
            matches!(record, Record::Frame { .. } | Record::Closed { .. } | Record::Listed { .. })
        };
        let mut records = std::mem::take(&mut self.crossed);
        records.extend(self.world.take_records().into_iter().filter(|record| !crosses(record)));
        for record in records {
            if let Record::Facts(facts) = &record {
                self.judge = Some(LiveJudge::new(facts));
            }
            digest(&record, &mut self.digest);
            if let Some(trace) = trace {
                trace(&record);
            }
            let found = self.judge.as_mut().and_then(|judge| judge.take(&record));
            if self.tail.len() == TAIL {
                self.tail.pop_front();
            }
            self.tail.push_back(record);
            if let Some((rule, violation)) = found {
                return Err(Finding::Broken(rule, violation));
            }
        }
        Ok(())
    }

    /// Does what the last turn asked for, until nobody asks for more.
    fn carry_out(&mut self) {
        loop {
            let stalls = std::mem::take(&mut *self.stalls.lock().unwrap_or_else(PoisonError::into_inner));
            for (node, time) in stalls {
                self.nodes[node].stall(self.now, time);
            }
            let commands = std::mem::take(&mut self.fabric.borrow_mut().commands);
            let mut outputs = Vec::new();
            for (number, node) in self.nodes.iter_mut().enumerate() {
                outputs.extend(node.out.drain(..).map(|output| (number, output)));
            }
            if commands.is_empty() && outputs.is_empty() {
                return;
            }
            for command in commands {
                self.command(command);
            }
            for (number, output) in outputs {
                self.output(number, output);
            }
        }
    }

    // ---- The nodes' boundary ----

    /// Bytes cross a node's boundary.
    fn crosses(&mut self, conn: u64, to_node: bool, bytes: &[u8]) {
        let now = self.now;
        let Some(state) = self.conns.get_mut(&conn) else { return };
        let (Some(end), node) = (state.end, state.node as u16) else { return };
        let reader = &mut state.readers[usize::from(to_node)];
        reader.push(bytes);
        while let Ok(Some(frame)) = reader.next_frame() {
            let bytes = frame.to_vec();
            self.crossed.push(Record::Frame { at: now, end, node, conn, to_node, bytes });
        }
    }

    /// A node hears that a connection is closed, or closes it.
    fn ends(&mut self, conn: u64) {
        if let Some(end) = self.conns.get(&conn).and_then(|state| state.end) {
            self.crossed.push(Record::Closed { at: self.now, end, conn });
        }
    }

    /// A node hears news of the list.
    fn listed(&mut self, node: usize, news: &ListNews) {
        let (ListNews::Complete(entries) | ListNews::Changes(entries)) = news;
        for entry in entries {
            let number = entry.host.strip_prefix("server-").and_then(|host| host.strip_suffix(".lab"));
            let Some(server) = number.and_then(|number| number.parse().ok()) else { continue };
            let (ready, started) = (entry.availability == Availability::Ready, entry.started_ago.is_some());
            self.crossed.push(Record::Listed { at: self.now, node: node as u16, server, ready, started });
        }
    }

    // ---- Connections ----

    fn delay(&mut self) -> Micros {
        let (usual, more) = self.scenario.delay;
        usual + self.rng.random_range(0..more.max(1))
    }

    /// When something that is sent now arrives at an end.
    fn arrival(&mut self, conn: u64, to: usize) -> Option<Micros> {
        let delay = self.delay();
        let (node, side) = {
            let state = self.conns.get(&conn)?;
            (state.node, state.side)
        };
        let mut at = self.now + delay;
        for (number, fault) in self.scenario.links.iter().enumerate() {
            if !self.active[number] || usize::from(fault.node) != node || fault.side != side {
                continue;
            }
            let held = match fault.kind {
                LinkFaultKind::Held | LinkFaultKind::Lost => true,
                LinkFaultKind::HeldToNode => to == NODE,
                LinkFaultKind::HeldFromNode => to == WORLD,
                LinkFaultKind::Reset => false,
                LinkFaultKind::Slow => {
                    at += self.rng.random_range(0..200_000);
                    false
                }
            };
            if held {
                at = at.max(self.zero + fault.until + delay);
            }
        }
        let state = self.conns.get_mut(&conn)?;
        at = at.max(state.last[to]);
        state.last[to] = at;
        Some(at)
    }

    fn open(&mut self, node: usize, side: Side, end: Option<End>) -> u64 {
        self.next_conn += 1;
        let readers = [FrameReader::new(LONGEST), FrameReader::new(LONGEST)];
        let conn = Conn { node, side, end, readers, last: [self.now; 2], closed: [false; 2] };
        self.conns.insert(self.next_conn, conn);
        self.next_conn
    }

    /// Bytes on their way, in up to three pieces.
    fn send(&mut self, conn: u64, to: usize, bytes: &[u8]) {
        let Some(state) = self.conns.get(&conn).filter(|state| !state.closed[1 - to]) else { return };
        let (node, feed) = (state.node, state.side == Side::Feed);
        let mut rest = bytes;
        for _ in 0..2 {
            if rest.len() > 1 && self.rng.random_bool(0.1) {
                let (piece, more) = rest.split_at(self.rng.random_range(1..rest.len()));
                self.send_piece(conn, to, node, feed, piece);
                rest = more;
            }
        }
        self.send_piece(conn, to, node, feed, rest);
    }

    fn send_piece(&mut self, conn: u64, to: usize, node: usize, feed: bool, bytes: &[u8]) {
        let Some(at) = self.arrival(conn, to) else { return };
        let bytes = bytes.to_vec();
        let what = match (to, feed) {
            (WORLD, _) => To::World(Event::Bytes { conn, bytes }),
            (_, true) => To::Feed(node, conn, bytes),
            _ => To::Node(node, NodeEvent::Bytes(conn, bytes)),
        };
        self.push(at, what);
    }

    /// One end closed: the other hears of it behind what was sent before, or at once if the process died.
    fn close(&mut self, conn: u64, by: usize, at_once: bool) {
        let Some(state) = self.conns.get_mut(&conn) else { return };
        if std::mem::replace(&mut state.closed[by], true) {
            return;
        }
        let (node, feed, known) = (state.node, state.side == Side::Feed, state.closed[1 - by]);
        if known {
            self.conns.remove(&conn);
            return;
        }
        let at = if at_once { Some(self.now + self.delay()) } else { self.arrival(conn, 1 - by) };
        let what = match (by, feed) {
            (NODE, _) => To::World(Event::Closed { conn }),
            (_, true) => To::FeedClosed(node, conn),
            _ => To::Node(node, NodeEvent::Closed(conn)),
        };
        self.push(at.unwrap_or(self.now), what);
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Dial(address, tag) => {
                let dial = self.order;
                self.world_dials.insert(tag, dial);
                let node = self.nodes.iter().position(|node| node.address == address);
                let at = self.now + self.delay();
                match node {
                    Some(node) => self.push(at, To::WorldDial(node, tag, dial)),
                    None => self.push(at, To::World(Event::DialFailed { tag, refused: true, local: false })),
                }
            }
            Command::StopDial(tag) => drop(self.world_dials.remove(&tag)),
            Command::Send(conn, bytes) => self.send(conn, NODE, &bytes),
            Command::Close(conn) => self.close(conn, WORLD, false),
            Command::Abort(conn) => self.close(conn, WORLD, true),
        }
    }

    fn output(&mut self, node: usize, output: Output) {
        match output {
            Output::Dial(peer, address) => {
                let dial = self.order;
                self.node_dials.insert((node, peer.0), dial);
                let at = self.now + self.delay();
                self.push(at, To::NodeDial(node, peer, dial, address));
            }
            Output::StopDial(peer) => drop(self.node_dials.remove(&(node, peer.0))),
            Output::Send(conn, bytes) => {
                self.crosses(conn.0, false, &bytes);
                self.send(conn.0, WORLD, &bytes);
                let wrote = lemoncleat_node::Input::Wrote(conn, bytes.len());
                let now = self.now;
                let node = &mut self.nodes[node];
                node.core.handle(now, wrote, &mut node.out);
            }
            Output::Close(conn) => {
                self.ends(conn.0);
                self.close(conn.0, NODE, false);
            }
            // No fleet is played here.
            Output::Linked(_) | Output::Unlinked(_) | Output::Heard(..) => {}
            Output::Notice(_) | Output::Stopped => {}
        }
    }

    /// Something arrives.
    fn arrive(&mut self, to: To) {
        let now = self.now;
        match to {
            To::World(event) => {
                match &event {
                    Event::Bytes { conn, .. } if self.is_closed(*conn, WORLD) => return,
                    Event::Closed { conn } => {
                        if self.is_closed(*conn, WORLD) {
                            return;
                        }
                        self.conns.remove(conn);
                    }
                    _ => {}
                }
                self.world.event(event);
            }
            To::Node(node, event) => {
                match &event {
                    NodeEvent::Bytes(conn, bytes) => {
                        if self.is_closed(*conn, NODE) {
                            return;
                        }
                        self.crosses(*conn, true, bytes);
                    }
                    NodeEvent::Closed(conn) => {
                        if self.is_closed(*conn, NODE) {
                            return;
                        }
                        self.ends(*conn);
                        self.conns.remove(conn);
                    }
                    _ => {}
                }
                self.nodes[node].event(now, event);
            }
            To::Feed(node, conn, bytes) => {
                if self.nodes[node].feed_conn == Some(conn) {
                    for news in self.nodes[node].feed_bytes(&bytes) {
                        self.listed(node, &news);
                        self.nodes[node].event(now, NodeEvent::List(news));
                    }
                }
            }
            To::FeedClosed(node, conn) => {
                self.conns.remove(&conn);
                if self.nodes[node].feed_conn == Some(conn) {
                    self.nodes[node].feed_closed();
                    self.push(now + FEED_AGAIN, To::DialFeed(node));
                }
            }
            To::DialFeed(node) => {
                let Some(address) = self.nodes[node].feed else { return };
                let tag = self.fabric.borrow().listeners.get(&address).copied();
                if let Some(tag) = tag {
                    let conn = self.open(node, Side::Feed, None);
                    self.nodes[node].feed_conn = Some(conn);
                    self.world.event(Event::Accepted { tag, conn });
                }
            }
            To::Fault(number, begins) => self.fault(number, begins),
            To::WorldDial(node, tag, dial) => {
                if self.world_dials.get(&tag) != Some(&dial) {
                    return;
                }
                self.world_dials.remove(&tag);
                let end = self.world.front_of(tag).map(End::Client);
                let conn = self.open(node, Side::Fronts, end);
                // What is written at once must not overtake the news of the connection.
                self.conns.entry(conn).and_modify(|state| state.last[NODE] = now + 1);
                self.push(now, To::Node(node, NodeEvent::Accepted(conn)));
                self.world.event(Event::Dialled { tag, conn });
            }
            To::NodeDial(node, peer, dial, address) => {
                if self.node_dials.get(&(node, peer.0)) != Some(&dial) {
                    return;
                }
                self.node_dials.remove(&(node, peer.0));
                let tag = self.fabric.borrow().listeners.get(&address).copied();
                match tag {
                    Some(tag) => {
                        let end = u16::try_from(tag).ok().map(End::Server);
                        let conn = self.open(node, Side::Servers, end);
                        self.conns.entry(conn).and_modify(|state| state.last[NODE] = now + 1);
                        self.push(now, To::Node(node, NodeEvent::Dialled(peer, conn)));
                        self.world.event(Event::Accepted { tag, conn });
                    }
                    None => self.nodes[node].event(now, NodeEvent::DialFailed(peer)),
                }
            }
        }
    }

    fn is_closed(&self, conn: u64, end: usize) -> bool {
        self.conns.get(&conn).is_none_or(|state| state.closed[end])
    }

    fn fault(&mut self, number: usize, begins: bool) {
        self.active[number] = begins;
        let fault = self.scenario.links[number];
        let resets = match fault.kind {
            LinkFaultKind::Reset => begins,
            LinkFaultKind::Lost => !begins,
            _ => false,
        };
        if !resets {
            return;
        }
        let of_link =
            |(_, conn): &(&u64, &Conn)| conn.node == usize::from(fault.node) && conn.side == fault.side;
        let conns: Vec<(u64, bool)> =
            self.conns.iter().filter(of_link).map(|(id, conn)| (*id, conn.side == Side::Feed)).collect();
        let node = usize::from(fault.node);
        for (conn, feed) in conns {
            self.ends(conn);
            // Both ends hear of it; nothing that is on its way arrives.
            let closed = self.conns.get(&conn).map_or([true; 2], |state| state.closed);
            if !closed[WORLD] {
                self.world.event(Event::Closed { conn });
            }
            self.conns.remove(&conn);
            if !closed[NODE] {
                let what =
                    if feed { To::FeedClosed(node, conn) } else { To::Node(node, NodeEvent::Closed(conn)) };
                // The connection is forgotten here: told directly.
                match what {
                    To::Node(node, event) => self.nodes[node].event(self.now, event),
                    other => self.push(self.now, other),
                }
            }
        }
    }
}

fn digest(record: &Record, hasher: &mut DefaultHasher) {
    match record {
        Record::Frame { at, end, node, conn, to_node, bytes } => {
            (at, end, node, conn, to_node, bytes).hash(hasher);
        }
        other => other.text().hash(hasher),
    }
}
