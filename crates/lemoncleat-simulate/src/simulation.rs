//! Runs a scenario: one event queue under one virtual clock.

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

use crate::fabric::{Command, LabWire, SimulatedNetwork};
use crate::node::{NodeEvent, NodeHandle, SimNode};
use crate::scenario::{LinkFaultKind, Scenario, Side};
use crate::Micros;

/// Longest time until all connections are open, before the day begins.
const CONNECT_LIMIT_US: Micros = 20_000_000;
/// Time after all callers have hung up until nothing may be left: releases are repeated for ten seconds, and
/// calls at a server that does not come back are given up after as long.
const SETTLE_TIME_US: Micros = 30_000_000;
/// Time that a node waits before it opens the feed again.
const FEED_RETRY_DELAY_US: Micros = 200_000;
/// Most steps of a run; a run that takes more is in a loop.
const MAX_STEPS: u64 = 20_000_000;
/// Longest message that is followed at a node's boundary.
const MAX_MESSAGE_LENGTH: usize = 1 << 20;
/// Number of records kept to show what led to a violation.
const TAIL_RECORDS: usize = 60;

/// A finding of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Finding {
    /// A rule was broken; without a rule, a circuit carried two calls.
    Broken(Option<Rule>, Violation),
    /// A call, session or circuit was left when everything should be over.
    Left(String),
    /// Connections did not open, or time did not advance.
    Stuck(String),
}

impl Finding {
    /// Returns the kind of the finding; a shrunk scenario must lead to the same kind.
    pub fn kind(&self) -> String {
        match self {
            Finding::Broken(Some(rule), _) => format!("rule {}", rule.number()),
            Finding::Broken(None, _) => "circuit shared".to_owned(),
            Finding::Left(what) => what.split(':').next().unwrap_or_default().to_owned(),
            Finding::Stuck(what) => what.split(':').next().unwrap_or_default().to_owned(),
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The first finding, and its step.
    pub finding: Option<(u64, Finding)>,
    /// Steps that were taken.
    pub steps: u64,
    /// Virtual time that passed, in microseconds.
    pub time: Micros,
    /// Digest of all records in order: equal runs have equal digests.
    pub digest: u64,
    /// Verdict on the whole run; `None` if the run stopped early.
    pub verdict: Option<Verdict>,
    /// The last records before the finding, as text.
    pub tail: Vec<String>,
}

/// Called with each record, for `--trace`.
pub type Trace<'a> = &'a mut dyn FnMut(&Record);

enum QueuedEvent {
    Lab(Event<lemoncleat_lab::LabMessage>),
    Node(usize, NodeEvent),
    /// Bytes of the server list's feed.
    Feed(usize, u64, Vec<u8>),
    FeedClosed(usize, u64),
    DialFeed(usize),
    Fault(usize, bool),
    /// A dial of the lab's `World` or of a node reaches its target.
    LabDial(usize, u64, u64),
    NodeDial(usize, PeerId, u64, SocketAddr),
}

struct Item {
    at: Micros,
    sequence: u64,
    event: QueuedEvent,
}

impl PartialEq for Item {
    fn eq(&self, other: &Item) -> bool {
        self.sequence == other.sequence
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A connection between the lab's `World` and a node.
struct Conn {
    node: usize,
    side: Side,
    /// The simulated server or client at the lab's end.
    end: Option<End>,
    /// Split the bytes that cross the node's boundary into frames: from the node, and toward it.
    readers: [FrameReader; 2],
    /// Time of the last arrival at the lab's end and at the node's end: nothing overtakes on a connection.
    last: [Micros; 2],
    /// Whether the lab's end and the node's end have closed it or know that it is closed.
    closed: [bool; 2],
}

const LAB_END: usize = 0;
const NODE_END: usize = 1;

struct Simulation {
    now: Micros,
    day_start: Micros,
    sequence: u64,
    steps: u64,
    queue: BinaryHeap<Reverse<Item>>,
    network: Rc<RefCell<SimulatedNetwork>>,
    world: World<LabWire>,
    nodes: Vec<SimNode>,
    stalls: Arc<Mutex<Vec<(usize, Micros)>>>,
    conns: BTreeMap<u64, Conn>,
    next_conn: u64,
    /// The current dial of each of the lab's tags, and of each node's peers; an older dial's completion is
    /// ignored.
    lab_dials: BTreeMap<u64, u64>,
    node_dials: BTreeMap<(usize, u32), u64>,
    scenario: Scenario,
    active_faults: Vec<bool>,
    rng: SmallRng,
    judge: Option<LiveJudge>,
    digest: DefaultHasher,
    tail: VecDeque<Record>,
    /// Records of what crossed the nodes' boundaries in this step.
    boundary_records: Vec<Record>,
}

/// Plays a scenario to its end, or to the step of the first finding.
///
/// # Errors
///
/// When the scenario has settings that a node does not accept.
pub fn simulate(scenario: &Scenario, trace: Option<Trace<'_>>) -> Result<Outcome, String> {
    let mut simulation = Simulation::new(scenario)?;
    let mut trace = trace;
    let finding = simulation.play(&mut trace);
    let Simulation { now, steps, digest, judge, tail, .. } = simulation;
    let verdict = match &finding {
        None => judge.map(LiveJudge::verdict),
        Some(_) => None,
    };
    // Calls without an answer show only in the verdict on the whole run.
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
        let network = Rc::new(RefCell::new(SimulatedNetwork::default()));
        let nodes: Rc<RefCell<Vec<SimNode>>> = Rc::default();
        let stalls: Arc<Mutex<Vec<(usize, Micros)>>> = Arc::default();
        let start = |text: &str| -> Result<Box<dyn NodeControl>, String> {
            let address = network.borrow_mut().next_address();
            let number = nodes.borrow().len();
            nodes.borrow_mut().push(SimNode::new(text, address)?);
            Ok(Box::new(NodeHandle { address, number, stalls: stalls.clone() }))
        };
        let world = World::build(scenario.day.clone(), LabWire(network.clone()), &start, &[]);
        let world = world.map_err(|error| error.to_string())?;
        let nodes = nodes.take();
        Ok(Simulation {
            now: 0,
            day_start: Micros::MAX,
            sequence: 0,
            steps: 0,
            queue: BinaryHeap::new(),
            network,
            world,
            nodes,
            stalls,
            conns: BTreeMap::new(),
            next_conn: 0,
            lab_dials: BTreeMap::new(),
            node_dials: BTreeMap::new(),
            active_faults: vec![false; scenario.links.len()],
            rng: SmallRng::seed_from_u64(scenario.seed ^ 0x11fe),
            scenario: scenario.clone(),
            judge: None,
            digest: DefaultHasher::new(),
            tail: VecDeque::new(),
            boundary_records: Vec::new(),
        })
    }

    fn push(&mut self, at: Micros, event: QueuedEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(Item { at: at.max(self.now), sequence: self.sequence, event }));
    }

    // ---- The course of a run ----

    fn play(&mut self, trace: &mut Option<Trace<'_>>) -> Option<Finding> {
        for node in 0..self.nodes.len() {
            self.push(0, QueuedEvent::DialFeed(node));
        }
        self.world.connect();
        while self.world.unconnected() != (0, 0) {
            if self.now > CONNECT_LIMIT_US {
                let (fronts, servers) = self.world.unconnected();
                return Some(Finding::Stuck(format!(
                    "not open: {fronts} front-ends and {servers} servers wait"
                )));
            }
            if let Err(finding) = self.step(trace) {
                return Some(finding);
            }
        }
        self.day_start = self.now;
        self.world.begin_day();
        for number in 0..self.scenario.links.len() {
            let fault = self.scenario.links[number];
            self.push(self.day_start + fault.from, QueuedEvent::Fault(number, true));
            self.push(self.day_start + fault.until, QueuedEvent::Fault(number, false));
        }
        loop {
            match self.step(trace) {
                Ok(true) => {}
                Ok(false) => break,
                Err(finding) => return Some(finding),
            }
        }
        // All callers hang up; after the settling time nothing may be left anywhere.
        let at = self.now;
        self.world.hang_up_all();
        while self.now < at + SETTLE_TIME_US {
            if let Err(finding) = self.step(trace) {
                return Some(finding);
            }
        }
        self.find_left_over()
    }

    fn find_left_over(&self) -> Option<Finding> {
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

    /// Processes the next event that is due; returns `false` once the lab's day is over.
    fn step(&mut self, trace: &mut Option<Trace<'_>>) -> Result<bool, Finding> {
        self.steps += 1;
        if self.steps > MAX_STEPS {
            return Err(Finding::Stuck(format!(
                "step limit exceeded: {} steps until {} us",
                self.steps, self.now
            )));
        }
        let queued = self.queue.peek().map(|Reverse(item)| item.at);
        let world = self.world.due();
        let nodes = self.nodes.iter().filter_map(SimNode::wake).min();
        let next = [queued, world, nodes].into_iter().flatten().min();
        let next = next.ok_or_else(|| Finding::Stuck("nothing is due: the clock stands".to_owned()))?;
        self.now = next.max(self.now);
        self.network.borrow_mut().now = self.now;
        let mut continues = true;
        if queued == Some(next) {
            if let Some(Reverse(item)) = self.queue.pop() {
                self.handle_event(item.event);
            }
        } else if world == Some(next) {
            continues = self.world.advance();
        } else {
            let due = |node: &SimNode| node.wake().is_some_and(|wake| wake <= next);
            if let Some(number) = self.nodes.iter().position(due) {
                self.nodes[number].turn(self.now, &mut self.rng);
            }
        }
        self.carry_out();
        self.check_records(trace)?;
        Ok(continues)
    }

    fn check_records(&mut self, trace: &mut Option<Trace<'_>>) -> Result<(), Finding> {
        // Links delay and hold messages back, which is no fault of a node. So frames and list news are
        // checked at the nodes' boundary, when a node receives or sends them; all other records come from the
        // lab's `World`.
        let at_boundary = |record: &Record| {
            matches!(record, Record::Frame { .. } | Record::Closed { .. } | Record::Listed { .. })
        };
        let mut records = std::mem::take(&mut self.boundary_records);
        records.extend(self.world.take_records().into_iter().filter(|record| !at_boundary(record)));
        for record in records {
            if let Record::Facts(facts) = &record {
                self.judge = Some(LiveJudge::new(facts));
            }
            digest(&record, &mut self.digest);
            if let Some(trace) = trace {
                trace(&record);
            }
            let found = self.judge.as_mut().and_then(|judge| judge.take(&record));
            if self.tail.len() == TAIL_RECORDS {
                self.tail.pop_front();
            }
            self.tail.push_back(record);
            if let Some((rule, violation)) = found {
                return Err(Finding::Broken(rule, violation));
            }
        }
        Ok(())
    }

    /// Carries out the commands and outputs of the last turn, and those that follow from them, until there
    /// are no more.
    fn carry_out(&mut self) {
        loop {
            let stalls = std::mem::take(&mut *self.stalls.lock().unwrap_or_else(PoisonError::into_inner));
            for (node, time) in stalls {
                self.nodes[node].stall(self.now, time);
            }
            let commands = std::mem::take(&mut self.network.borrow_mut().commands);
            let mut outputs = Vec::new();
            for (number, node) in self.nodes.iter_mut().enumerate() {
                outputs.extend(node.out.drain(..).map(|output| (number, output)));
            }
            if commands.is_empty() && outputs.is_empty() {
                return;
            }
            for command in commands {
                self.handle_command(command);
            }
            for (number, output) in outputs {
                self.handle_output(number, output);
            }
        }
    }

    // ---- The nodes' boundary ----

    /// Records the frames in bytes that cross a node's boundary.
    fn record_frames(&mut self, conn: u64, to_node: bool, bytes: &[u8]) {
        let now = self.now;
        let Some(state) = self.conns.get_mut(&conn) else { return };
        let (Some(end), node) = (state.end, state.node as u16) else { return };
        let reader = &mut state.readers[usize::from(to_node)];
        reader.push(bytes);
        while let Ok(Some(frame)) = reader.next_frame() {
            let bytes = frame.to_vec();
            self.boundary_records.push(Record::Frame { at: now, end, node, conn, to_node, bytes });
        }
    }

    /// Records that a node learns that a connection is closed, or closes it.
    fn record_closed(&mut self, conn: u64) {
        if let Some(end) = self.conns.get(&conn).and_then(|state| state.end) {
            self.boundary_records.push(Record::Closed { at: self.now, end, conn });
        }
    }

    /// Records that a node receives news of the server list.
    fn record_list_news(&mut self, node: usize, news: &ListNews) {
        let (ListNews::Complete(entries) | ListNews::Changes(entries)) = news;
        for entry in entries {
            let number = entry.host.strip_prefix("server-").and_then(|host| host.strip_suffix(".lab"));
            let Some(server) = number.and_then(|number| number.parse().ok()) else { continue };
            let (ready, started) = (entry.availability == Availability::Ready, entry.started_ago.is_some());
            self.boundary_records.push(Record::Listed {
                at: self.now,
                node: node as u16,
                server,
                ready,
                started,
            });
        }
    }

    // ---- Connections ----

    fn delay(&mut self) -> Micros {
        let (least, extra) = self.scenario.delay;
        least + self.rng.random_range(0..extra.max(1))
    }

    /// Returns the arrival time at one end of something that is sent now.
    fn arrival_time(&mut self, conn: u64, to: usize) -> Option<Micros> {
        let delay = self.delay();
        let (node, side) = {
            let state = self.conns.get(&conn)?;
            (state.node, state.side)
        };
        let mut at = self.now + delay;
        for (number, fault) in self.scenario.links.iter().enumerate() {
            if !self.active_faults[number] || usize::from(fault.node) != node || fault.side != side {
                continue;
            }
            let held = match fault.kind {
                LinkFaultKind::Held | LinkFaultKind::Lost => true,
                LinkFaultKind::HeldToNode => to == NODE_END,
                LinkFaultKind::HeldFromNode => to == LAB_END,
                LinkFaultKind::Reset => false,
                LinkFaultKind::Slow => {
                    at += self.rng.random_range(0..200_000);
                    false
                }
            };
            if held {
                at = at.max(self.day_start + fault.until + delay);
            }
        }
        let state = self.conns.get_mut(&conn)?;
        at = at.max(state.last[to]);
        state.last[to] = at;
        Some(at)
    }

    fn open(&mut self, node: usize, side: Side, end: Option<End>) -> u64 {
        self.next_conn += 1;
        let readers = [FrameReader::new(MAX_MESSAGE_LENGTH), FrameReader::new(MAX_MESSAGE_LENGTH)];
        let conn = Conn { node, side, end, readers, last: [self.now; 2], closed: [false; 2] };
        self.conns.insert(self.next_conn, conn);
        self.next_conn
    }

    /// Sends bytes, in up to three pieces.
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
        let Some(at) = self.arrival_time(conn, to) else { return };
        let bytes = bytes.to_vec();
        let what = match (to, feed) {
            (LAB_END, _) => QueuedEvent::Lab(Event::Bytes { conn, bytes }),
            (_, true) => QueuedEvent::Feed(node, conn, bytes),
            _ => QueuedEvent::Node(node, NodeEvent::Bytes(conn, bytes)),
        };
        self.push(at, what);
    }

    /// Closes one end: the other learns of it behind everything sent before, or without that wait if the
    /// process died.
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
        let at = if at_once { Some(self.now + self.delay()) } else { self.arrival_time(conn, 1 - by) };
        let what = match (by, feed) {
            (NODE_END, _) => QueuedEvent::Lab(Event::Closed { conn }),
            (_, true) => QueuedEvent::FeedClosed(node, conn),
            _ => QueuedEvent::Node(node, NodeEvent::Closed(conn)),
        };
        self.push(at.unwrap_or(self.now), what);
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Dial(address, tag) => {
                let dial = self.sequence;
                self.lab_dials.insert(tag, dial);
                let node = self.nodes.iter().position(|node| node.address == address);
                let at = self.now + self.delay();
                match node {
                    Some(node) => self.push(at, QueuedEvent::LabDial(node, tag, dial)),
                    None => self
                        .push(at, QueuedEvent::Lab(Event::DialFailed { tag, refused: true, local: false })),
                }
            }
            Command::StopDial(tag) => drop(self.lab_dials.remove(&tag)),
            Command::Send(conn, bytes) => self.send(conn, NODE_END, &bytes),
            Command::Close(conn) => self.close(conn, LAB_END, false),
            Command::Abort(conn) => self.close(conn, LAB_END, true),
        }
    }

    fn handle_output(&mut self, node: usize, output: Output) {
        match output {
            Output::Dial(peer, address) => {
                let dial = self.sequence;
                self.node_dials.insert((node, peer.0), dial);
                let at = self.now + self.delay();
                self.push(at, QueuedEvent::NodeDial(node, peer, dial, address));
            }
            Output::StopDial(peer) => drop(self.node_dials.remove(&(node, peer.0))),
            Output::Send(conn, bytes) => {
                self.record_frames(conn.0, false, &bytes);
                self.send(conn.0, LAB_END, &bytes);
                let wrote = lemoncleat_node::Input::Written(conn, bytes.len());
                let now = self.now;
                let node = &mut self.nodes[node];
                node.core.handle(now, wrote, &mut node.out);
            }
            Output::Close(conn) => {
                self.record_closed(conn.0);
                self.close(conn.0, NODE_END, false);
            }
            // The scenario has no fleet of nodes.
            Output::MemberConnected(_) | Output::MemberDisconnected(_) | Output::MemberMessage(..) => {}
            Output::Notice(_) | Output::Stopped => {}
        }
    }

    /// Handles an arrival or another queued event.
    fn handle_event(&mut self, event: QueuedEvent) {
        let now = self.now;
        match event {
            QueuedEvent::Lab(event) => {
                match &event {
                    Event::Bytes { conn, .. } if self.is_closed(*conn, LAB_END) => return,
                    Event::Closed { conn } => {
                        if self.is_closed(*conn, LAB_END) {
                            return;
                        }
                        self.conns.remove(conn);
                    }
                    _ => {}
                }
                self.world.event(event);
            }
            QueuedEvent::Node(node, event) => {
                match &event {
                    NodeEvent::Bytes(conn, bytes) => {
                        if self.is_closed(*conn, NODE_END) {
                            return;
                        }
                        self.record_frames(*conn, true, bytes);
                    }
                    NodeEvent::Closed(conn) => {
                        if self.is_closed(*conn, NODE_END) {
                            return;
                        }
                        self.record_closed(*conn);
                        self.conns.remove(conn);
                    }
                    _ => {}
                }
                self.nodes[node].event(now, event);
            }
            QueuedEvent::Feed(node, conn, bytes) => {
                if self.nodes[node].feed_conn == Some(conn) {
                    for news in self.nodes[node].feed_bytes(&bytes) {
                        self.record_list_news(node, &news);
                        self.nodes[node].event(now, NodeEvent::List(news));
                    }
                }
            }
            QueuedEvent::FeedClosed(node, conn) => {
                self.conns.remove(&conn);
                if self.nodes[node].feed_conn == Some(conn) {
                    self.nodes[node].feed_closed();
                    self.push(now + FEED_RETRY_DELAY_US, QueuedEvent::DialFeed(node));
                }
            }
            QueuedEvent::DialFeed(node) => {
                let Some(address) = self.nodes[node].feed else { return };
                let tag = self.network.borrow().listeners.get(&address).copied();
                if let Some(tag) = tag {
                    let conn = self.open(node, Side::Feed, None);
                    self.nodes[node].feed_conn = Some(conn);
                    self.world.event(Event::Accepted { tag, conn });
                }
            }
            QueuedEvent::Fault(number, begins) => self.switch_fault(number, begins),
            QueuedEvent::LabDial(node, tag, dial) => {
                if self.lab_dials.get(&tag) != Some(&dial) {
                    return;
                }
                self.lab_dials.remove(&tag);
                let end = self.world.front_of(tag).map(End::Client);
                let conn = self.open(node, Side::Fronts, end);
                // Bytes that are written at once must not overtake the report of the connection.
                self.conns.entry(conn).and_modify(|state| state.last[NODE_END] = now + 1);
                self.push(now, QueuedEvent::Node(node, NodeEvent::Accepted(conn)));
                self.world.event(Event::Dialled { tag, conn });
            }
            QueuedEvent::NodeDial(node, peer, dial, address) => {
                if self.node_dials.get(&(node, peer.0)) != Some(&dial) {
                    return;
                }
                self.node_dials.remove(&(node, peer.0));
                let tag = self.network.borrow().listeners.get(&address).copied();
                match tag {
                    Some(tag) => {
                        let end = u16::try_from(tag).ok().map(End::Server);
                        let conn = self.open(node, Side::Servers, end);
                        self.conns.entry(conn).and_modify(|state| state.last[NODE_END] = now + 1);
                        self.push(now, QueuedEvent::Node(node, NodeEvent::Dialled(peer, conn)));
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

    fn switch_fault(&mut self, number: usize, begins: bool) {
        self.active_faults[number] = begins;
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
            self.record_closed(conn);
            // Both ends learn of the reset; bytes on their way are lost.
            let closed = self.conns.get(&conn).map_or([true; 2], |state| state.closed);
            if !closed[LAB_END] {
                self.world.event(Event::Closed { conn });
            }
            self.conns.remove(&conn);
            if !closed[NODE_END] {
                let what = if feed {
                    QueuedEvent::FeedClosed(node, conn)
                } else {
                    QueuedEvent::Node(node, NodeEvent::Closed(conn))
                };
                // The connection is already removed, so the node is informed directly.
                match what {
                    QueuedEvent::Node(node, event) => self.nodes[node].event(self.now, event),
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
