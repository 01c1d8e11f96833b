//! Runs a fleet plan: one event queue under one virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

use lemoncleat_agreement::{Batch, Found};
use lemoncleat_commons::{Calls, Figures, FleetNode, Said, Settings, VoterRole};
use lemoncleat_fleet::{Member, MemberId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::changes::{change_number, Harm, Unusable, FIRST_HARMLESS_CHANGE};
use super::judge::{chunk_end, CheckResult, Checker};
use super::links::{Item, Links};
use super::plan::{Fault, FaultKind, Plan};
use super::versions::{VersionChecker, CONVERGENCE_LIMIT_US};
use super::Outcome;
use crate::Micros;

const SECOND: Micros = 1_000_000;
/// Longest time from the last fault until every node has recovered.
const RECOVERY_LIMIT_US: Micros = 120 * SECOND;
/// Time from the last fault until one more node is restarted, and until every node is given a final order.
const RESTART_DELAY_US: Micros = 10 * SECOND;
const FINAL_ORDERS_DELAY_US: Micros = 15 * SECOND;
/// Most steps of a run; a run that takes more is in a loop.
const MAX_STEPS: u64 = 50_000_000;
/// Range of a disk's write latency.
const DISK_LATENCY_US: (Micros, Micros) = (500, 20_000);
/// Number of the first final order.
const FIRST_FINAL_ORDER: u32 = 1_000_000;
/// Time beyond the watchdogs until all nodes are connected again after a fault: redials and an election.
const RECONNECT_TIME_US: Micros = 6 * SECOND;
/// Longest time that a driver takes to put a configuration text in force.
const MAX_APPLY_TIME_US: Micros = 5_000;
/// Connection numbers of operators that change the configuration, and of those that query it.
const CHANGE_CONN_BASE: u64 = 1 << 40;
const QUERY_CONN: u64 = 1 << 41;

/// An input to a process.
#[derive(Debug)]
enum Input {
    Turn,
    Linked(usize, bool),
    Heard { from: usize, sent_at: Micros, bytes: Vec<u8> },
    Stored(u64, Result<(), String>),
    Order(u32),
    Found(Result<Option<Vec<u8>>, String>),
    Configured(u64, Result<(), String>),
    Kept(Result<(), String>),
    Change { number: u32, parent: u64 },
    Question,
}

#[derive(Debug)]
enum Event {
    Wake {
        node: usize,
        generation: u32,
    },
    Stored {
        node: usize,
        generation: u32,
    },
    Arrive {
        conn: u64,
        side: usize,
    },
    WatchdogExpired {
        conn: u64,
        side: usize,
    },
    Dial {
        node: usize,
        generation: u32,
        to: usize,
    },
    FaultBegins(usize),
    FaultEnds(usize),
    /// The links of a flapping node change between cut and whole.
    Flap(usize),
    Order(usize),
    Change(usize),
    Configured {
        node: usize,
        generation: u32,
        number: u64,
        text: String,
        usable: bool,
    },
    Kept {
        node: usize,
        generation: u32,
    },
    FinalChange,
    Check,
    FaultsOver,
    RestartOne,
    FinalOrders,
}

/// A node's own clock: it showed local time `at.1` at global time `at.0` and has run since at `rate`
/// thousandths of the global clock's rate.
#[derive(Clone, Copy)]
struct Clock {
    at: (Micros, Micros),
    rate: Micros,
}

impl Clock {
    fn local(&self, now: Micros) -> Micros {
        self.at.1 + (now - self.at.0) * self.rate / 1_000
    }

    /// Returns the first global time at which the clock shows `local`.
    fn global(&self, local: Micros) -> Micros {
        let left = i128::from(local) - i128::from(self.at.1);
        let span = (left * 1_000 + i128::from(self.rate) - 1).div_euclid(i128::from(self.rate));
        self.at.0.saturating_add(Micros::try_from(span).unwrap_or(Micros::MAX / 2))
    }

    fn set(&mut self, now: Micros, rate: Micros, jump: Micros) {
        *self = Clock { at: (now, self.local(now) + jump), rate };
    }
}

struct Node {
    part: Option<Box<FleetNode>>,
    generation: u32,
    start_number: u32,
    disk: Option<Found>,
    pending_batch: Option<Batch>,
    clock: Clock,
    paused: u32,
    backlog: Vec<Input>,
    wanted_peers: BTreeSet<usize>,
    wake_at: Option<Micros>,
    /// The copy of the configuration on the node's disk, and the one that is being written.
    copy: Result<Option<Vec<u8>>, String>,
    pending_copy: Option<Vec<u8>>,
    calls: Traffic,
}

/// Calls of a node since its start.
#[derive(Clone, Copy)]
struct Traffic {
    updated_at: Micros,
    harm: Harm,
    /// All calls, refused calls and lost calls, in millionths of a call.
    calls: u64,
    refused: u64,
    lost: u64,
}

impl Traffic {
    fn new(now: Micros) -> Traffic {
        Traffic { updated_at: now, harm: Harm::None, calls: 0, refused: 0, lost: 0 }
    }

    /// Adds the calls since the last update at `rate` calls a second. One in a hundred is refused and one in
    /// a hundred is lost; a harmful configuration text causes half of the calls to be refused, or lost.
    fn advance(&mut self, now: Micros, rate: u64) -> Calls {
        let added = (now - self.updated_at) as u64 * rate;
        self.updated_at = now;
        self.calls += added;
        self.refused += added / if self.harm == Harm::Refused { 2 } else { 100 };
        self.lost += added / if self.harm == Harm::Lost { 2 } else { 100 };
        let whole = |millionths: u64| millionths / 1_000_000;
        Calls { calls: whole(self.calls), refused: whole(self.refused), lost: whole(self.lost) }
    }
}

pub(super) struct Run<'a> {
    plan: &'a Plan,
    trace: Option<&'a mut (dyn FnMut(&str) + 'a)>,
    now: Micros,
    steps: u64,
    digest: u64,
    event_seq: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    random: SmallRng,
    members: Vec<Member>,
    nodes: Vec<Node>,
    links: Links,
    /// Active faults, as indices into the plan; a flapping one is included only while its node is cut off.
    active: BTreeSet<usize>,
    checker: Checker,
    finding: Option<(u64, String)>,
    calm: Option<Micros>,
    /// Nodes whose final order is not yet answered; none before the final orders are given.
    final_orders: Option<BTreeSet<usize>>,
    healed: Option<Micros>,
    versions: Option<VersionChecker>,
    /// Number of active faults, and the time at which the last fault ended or a node was restarted.
    active_faults: usize,
    quiet_since: Micros,
    /// The node that was first asked to use a text, for texts that the first node asked cannot use.
    first_asked: BTreeMap<u32, usize>,
    /// The final change: its number and node. The number is 0 once the change is agreed.
    final_change: Option<(u32, usize)>,
    /// Time at which all nodes had the newest version, while that holds.
    converged_at: Option<Micros>,
    /// Whether the last query of the versions in force counted all nodes; none before the first.
    query_complete: Option<bool>,
}

impl<'a> Run<'a> {
    pub fn new(plan: &'a Plan, trace: Option<&'a mut (dyn FnMut(&str) + 'a)>) -> Run<'a> {
        let member = |place: usize| Member {
            name: Arc::from(format!("n{place}")),
            zone: Arc::from(["z1", "z2", "z3"][place % 3]),
        };
        let mut random = SmallRng::seed_from_u64(plan.seed);
        let node = |place: usize| Node {
            part: None,
            generation: 0,
            start_number: 1_000,
            disk: (place < plan.voters).then(|| Found::new(random.random())),
            pending_batch: None,
            clock: Clock { at: (0, random.random_range(0..1_000 * SECOND)), rate: 1_000 },
            paused: 0,
            backlog: Vec::new(),
            wanted_peers: BTreeSet::new(),
            wake_at: None,
            copy: Ok(None),
            pending_copy: None,
            calls: Traffic::new(0),
        };
        let nodes = (0..plan.nodes).map(node).collect();
        let members: Vec<Member> = (0..plan.nodes).map(member).collect();
        let names: Vec<&str> = members.iter().map(|member| &*member.name).collect();
        let versions = plan.changes.as_ref().map(|_| VersionChecker::new(&names, 3));
        Run {
            plan,
            trace,
            now: 0,
            steps: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            event_seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            members,
            nodes,
            links: Links::default(),
            active: BTreeSet::new(),
            checker: Checker::new(plan.nodes, plan.voters),
            finding: None,
            calm: None,
            final_orders: None,
            healed: None,
            versions,
            active_faults: 0,
            quiet_since: 0,
            first_asked: BTreeMap::new(),
            final_change: None,
            converged_at: None,
            query_complete: None,
            random,
        }
    }

    pub fn play(mut self) -> Outcome {
        for node in 0..self.nodes.len() {
            self.start(node, false);
        }
        for (place, fault) in self.plan.faults.iter().enumerate() {
            self.at(fault.from, Event::FaultBegins(place));
            self.at(fault.until, Event::FaultEnds(place));
        }
        for (place, order) in self.plan.orders.iter().enumerate() {
            self.at(order.at, Event::Order(place));
        }
        for (place, change) in self.plan.changes.iter().flat_map(|changes| &changes.changes).enumerate() {
            self.at(change.at, Event::Change(place));
        }
        // Queued after the faults that end at the same time.
        self.at(self.plan.calm + 1, Event::FaultsOver);
        self.at(SECOND, Event::Check);
        while self.finding.is_none() && self.healed.is_none() {
            let Some(Reverse((at, number))) = self.queue.pop() else { break };
            let Some(event) = self.events.remove(&number) else { continue };
            self.now = at;
            self.steps += 1;
            if self.steps > MAX_STEPS {
                self.fail("the clock stands".to_owned());
            }
            self.handle_event(event);
        }
        Outcome {
            finding: self.finding,
            steps: self.steps,
            time: self.now,
            digest: self.digest,
            healed: self.healed,
            counts: self.checker.counts,
            versions: self.versions.map(|versions| versions.counts).unwrap_or_default(),
        }
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.event_seq += 1;
        self.queue.push(Reverse((at.max(self.now), self.event_seq)));
        self.events.insert(self.event_seq, event);
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.at(self.now + span, event);
    }

    fn fail(&mut self, why: String) {
        let step = self.steps;
        self.finding.get_or_insert((step, why));
    }

    fn record(&mut self, result: CheckResult) {
        if let Err(why) = result {
            self.fail(why);
        }
    }

    /// Adds the time and `bytes` to the run's digest, an FNV-1a hash.
    fn digest(&mut self, bytes: &[u8]) {
        for byte in self.now.to_le_bytes().iter().chain(bytes) {
            self.digest = (self.digest ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn trace_line(&mut self, line: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace(&format!("{:>12.6} {}", self.now as f64 / 1e6, line()));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Wake { node, generation } => {
                let due =
                    self.nodes[node].generation == generation && self.nodes[node].wake_at == Some(self.now);
                if due {
                    self.nodes[node].wake_at = None;
                    self.deliver(node, Input::Turn);
                }
            }
            Event::Stored { node, generation } if self.nodes[node].generation == generation => {
                self.batch_stored(node)
            }
            Event::Stored { .. } => {}
            Event::Arrive { conn, side } => self.arrive(conn, side),
            Event::WatchdogExpired { conn, side } => self.watchdog_expired(conn, side),
            Event::Dial { node, generation, to } if self.nodes[node].generation == generation => {
                self.dial(node, to)
            }
            Event::Dial { .. } => {}
            Event::FaultBegins(place) => self.begin_fault(place),
            Event::FaultEnds(place) => self.end_fault(place),
            Event::Flap(place) => {
                let until = self.plan.faults[place].until;
                let after = self.random.random_range(200_000..2 * SECOND);
                if self.now < until {
                    if !self.active.remove(&place) {
                        self.active.insert(place);
                    }
                    self.links_changed();
                    self.after(after, Event::Flap(place));
                }
            }
            Event::Order(place) => {
                let order = &self.plan.orders[place];
                self.order(order.node, order.number);
            }
            Event::Change(place) => self.change(place),
            Event::Configured { node, generation, number, text, usable } => {
                if self.nodes[node].generation == generation {
                    self.configured(node, number, &text, usable);
                }
            }
            Event::Kept { node, generation } if self.nodes[node].generation == generation => {
                self.copy_stored(node)
            }
            Event::Kept { .. } => {}
            Event::FinalChange => self.order_final_change(),
            Event::Check => self.check(),
            Event::FaultsOver => self.faults_over(),
            Event::RestartOne => {
                let node = self.random.random_range(0..self.nodes.len());
                self.trace_line(|| format!("n{node} is restarted"));
                self.kill(node);
                self.start(node, false);
                self.quiet_since = self.now;
            }
            Event::FinalOrders => {
                self.final_orders = Some((0..self.nodes.len()).collect());
                for node in 0..self.nodes.len() {
                    self.order(node, FIRST_FINAL_ORDER + node as u32);
                }
            }
        }
    }

    // ---- Processes ----

    fn start(&mut self, place: usize, back: bool) {
        let seed = self.random.random();
        let node = &mut self.nodes[place];
        node.start_number = if back { node.start_number.saturating_sub(500) } else { node.start_number + 10 };
        node.generation += 1;
        let settings = Settings {
            own: self.members[place].name.clone(),
            members: self.members.clone(),
            voters: self.members[..self.plan.voters].iter().map(|member| member.name.clone()).collect(),
            round: self.plan.round,
            configuration: self.versions.is_some(),
        };
        let seat = node.disk.clone().map_or(VoterRole::Follower, VoterRole::Voter);
        match FleetNode::new(&settings, seat, node.start_number, seed) {
            Ok(part) => node.part = Some(Box::new(part)),
            Err(error) => return self.fail(format!("node {place} does not start: {error}")),
        }
        let trouble =
            node.part.as_ref().and_then(|part| Some(part.agreement()?["trouble"].as_str()?.to_owned()));
        if let Some(why) = trouble {
            self.fail(format!("node {place} can't use its store: {why}"));
        }
        self.checker.node_started(place, back);
        if let Some(versions) = &mut self.versions {
            versions.node_started(self.now, place);
            if self.nodes[place].paused > 0 {
                versions.mark_disturbed(place);
            }
            self.nodes[place].calls = Traffic::new(self.now);
            let copy = self.nodes[place].copy.clone();
            self.deliver(place, Input::Found(copy));
        }
        self.deliver(place, Input::Turn);
    }

    /// Kills a process. The batch that its disk was writing is stored or lost, at random.
    fn kill(&mut self, place: usize) {
        let survived: bool = self.random.random();
        let node = &mut self.nodes[place];
        node.part = None;
        node.generation += 1;
        node.wake_at = None;
        node.backlog.clear();
        node.wanted_peers.clear();
        if let (Some(batch), Some(disk)) = (node.pending_batch.take(), &mut node.disk) {
            self.checker.counts.unstored += u64::from(!survived);
            if survived {
                disk.apply(&batch);
            }
        }
        // A copy replaces the one before as a whole or not at all.
        if let Some(copy) = node.pending_copy.take() {
            if self.random.random() {
                node.copy = Ok(Some(copy));
            }
        }
        if let Some(versions) = &mut self.versions {
            versions.node_stopped(place);
        }
        for conn in self.links.of_node(place) {
            self.lose_link(conn, place);
        }
    }

    /// Delivers an input to a process, or holds it back while the process is paused.
    fn deliver(&mut self, place: usize, input: Input) {
        let node = &mut self.nodes[place];
        if node.paused > 0 {
            return node.backlog.push(input);
        }
        let Some(mut part) = node.part.take() else { return };
        let now = self.now;
        let local = node.clock.local(now);
        let mut outputs = Vec::new();
        let turn = catch_unwind(AssertUnwindSafe(|| {
            match &input {
                Input::Turn => {
                    if let Some(changes) = &self.plan.changes {
                        part.calls(node.calls.advance(now, changes.calls));
                    }
                    part.timeout(local, Figures { calls: now as u64, ..Figures::default() }, &mut outputs);
                }
                Input::Linked(to, linked) => part.linked(local, *to, *linked, &mut outputs),
                Input::Heard { from, bytes, .. } => part.heard(local, *from, bytes, &mut outputs),
                Input::Stored(batch, result) => part.stored(local, *batch, result.clone(), &mut outputs),
                Input::Order(number) => {
                    let (order, text) = order_text(*number);
                    part.mark(local, u64::from(*number), &order, &text, &mut outputs);
                }
                Input::Found(copy) => part.found(local, copy.clone(), &mut outputs),
                Input::Configured(number, result) => {
                    part.version_applied(local, *number, result.clone(), &mut outputs);
                }
                Input::Kept(result) => part.kept(local, result.clone(), &mut outputs),
                Input::Change { number, parent } => {
                    let (order, text) =
                        self.plan.changes.as_ref().map(|all| all.order_text(*number)).unwrap_or_default();
                    let conn = CHANGE_CONN_BASE + u64::from(*number);
                    part.configure(local, conn, &order, *parent, &text, &mut outputs);
                }
                Input::Question => {
                    part.configurations(local, QUERY_CONN, &mut outputs);
                }
            }
            part
        }));
        let Ok(part) = turn else { return self.fail(format!("node {place} panics at {input:?}")) };
        // A node that is not a voter learns of entries from messages only.
        let may_have_learned = place < self.plan.voters || matches!(input, Input::Heard { .. });
        let shown = may_have_learned.then(|| part.marks(self.checker.applied_index(place))).flatten();
        let status = self.versions.as_ref().and_then(|_| part.configuration(local));
        let wake = part.wake();
        self.nodes[place].part = Some(part);
        match &input {
            Input::Heard { from, sent_at, bytes } => {
                let (from, sent_at) = (*from, *sent_at);
                self.digest(bytes);
                self.checker.message_received(from, place, sent_at);
                let length = bytes.len();
                self.trace_line(|| {
                    format!("n{place} heard n{from}: {length} bytes of {:.6}", sent_at as f64 / 1e6)
                });
            }
            Input::Turn => self.digest(&[place as u8]),
            Input::Found(copy) => {
                let length = copy.clone().map(|copy| copy.map(|copy| copy.len()));
                self.trace_line(|| format!("n{place} has a copy of {length:?} bytes"));
            }
            other => self.trace_line(|| format!("n{place} {other:?}")),
        }
        if let Some(shown) = shown {
            let result = self.checker.check_marks(place, &shown);
            self.record(result);
        }
        if let (Some(status), Some(versions)) = (status, &mut self.versions) {
            let result = versions.check_status(now, place, &status);
            self.record(result);
        }
        self.schedule_wake(place, wake);
        for output in outputs {
            self.handle_output(place, output);
        }
    }

    fn schedule_wake(&mut self, place: usize, wake: Option<Micros>) {
        let Some(wake) = wake else { return };
        let node = &mut self.nodes[place];
        // A turn that changes nothing is repeated after one microsecond: repeated at the same time, it would
        // stop the clock.
        let at = node.clock.global(wake).max(self.now + 1);
        if node.wake_at.is_none_or(|wake_at| at < wake_at) {
            node.wake_at = Some(at);
            let generation = node.generation;
            self.at(at, Event::Wake { node: place, generation });
        }
    }

    fn handle_output(&mut self, place: usize, output: Said) {
        let generation = self.nodes[place].generation;
        match output {
            Said::Connect(to) => {
                if self.nodes[place].wanted_peers.insert(to) {
                    self.after(0, Event::Dial { node: place, generation, to });
                }
            }
            Said::Disconnect(to) => {
                self.nodes[place].wanted_peers.remove(&to);
                self.close_link(place, to);
            }
            Said::Send(to, bytes) => self.send_message(place, to, bytes),
            Said::Store(batch) => {
                let slow = self.fault_active(FaultKind::DiskSlow, place);
                let span = self.random.random_range(DISK_LATENCY_US.0..DISK_LATENCY_US.1);
                let span = span + if slow { self.random.random_range(0..3 * SECOND) } else { 0 };
                if self.nodes[place].pending_batch.replace(batch).is_some() {
                    self.fail(format!("node {place} stores two batches at once"));
                }
                self.after(span, Event::Stored { node: place, generation });
            }
            Said::ApplyConfiguration { number, text } => self.configure(place, number, text),
            Said::Persist(bytes) => {
                let slow = self.fault_active(FaultKind::DiskSlow, place);
                let span = self.random.random_range(DISK_LATENCY_US.0..DISK_LATENCY_US.1)
                    + if slow { SECOND } else { 0 };
                if self.nodes[place].pending_copy.replace(bytes).is_some() {
                    self.fail(format!("node {place} writes two configuration copies at once"));
                }
                self.after(span, Event::Kept { node: place, generation });
            }
            Said::Ready => {
                self.trace_line(|| format!("n{place} has decided at its start which version is in force"));
                let result = self.versions.as_mut().map_or(Ok(()), |versions| versions.check_settled(place));
                self.record(result);
            }
            Said::Answer(QUERY_CONN, answer) => self.query_answered(place, &answer),
            Said::Answer(conn, answer) if conn >= CHANGE_CONN_BASE => {
                self.change_answered(place, conn, &answer)
            }
            Said::Answer(number, answer) => {
                self.trace_line(|| format!("n{place} answers {answer}"));
                let result = self.checker.check_answer(place, &answer);
                self.record(result);
                let number = number as u32;
                match &mut self.final_orders {
                    Some(last) if number >= FIRST_FINAL_ORDER && answer["ok"] == true => {
                        last.remove(&place);
                    }
                    Some(_) if number >= FIRST_FINAL_ORDER => self.order(place, number),
                    _ => {}
                }
            }
            other => self.trace_line(|| format!("n{place} says {other:?}")),
        }
    }

    fn batch_stored(&mut self, place: usize) {
        let refuses = self.fault_active(FaultKind::DiskFull, place)
            || self.fault_active(FaultKind::DiskError, place) && self.random.random();
        let node = &mut self.nodes[place];
        let (Some(batch), Some(disk)) = (node.pending_batch.take(), &mut node.disk) else { return };
        let result = if refuses { Err("no space left".to_owned()) } else { Ok(()) };
        match result {
            Ok(()) => disk.apply(&batch),
            Err(_) => self.checker.counts.unstored += 1,
        }
        self.deliver(place, Input::Stored(batch.number, result));
    }

    // ---- The configuration ----

    /// Returns the time since when all nodes have been connected, if they are.
    fn all_connected_since(&self) -> Option<Micros> {
        let since = self.quiet_since + 2 * self.plan.watchdog + RECONNECT_TIME_US;
        (self.active_faults == 0 && since <= self.now).then_some(since)
    }

    fn configure(&mut self, place: usize, number: u64, text: String) {
        let generation = self.nodes[place].generation;
        self.trace_line(|| format!("n{place} is to use version {number}"));
        self.digest(&number.to_le_bytes());
        self.digest(text.as_bytes());
        let (Some(versions), Some(changes)) = (&mut self.versions, &self.plan.changes) else {
            return self.fail(format!("node {place} has a configuration that it was not given"));
        };
        if versions.text(number).is_none() {
            if let Some(since) = versions.submitted_at(&text).filter(|since| !self.checker.had_quorum(*since))
            {
                return self
                    .fail(format!("version {number}, asked for at {since}, was agreed without a quorum"));
            }
        }
        let usable = change_number(&text).is_none_or(|change| match changes.unusable(change) {
            Unusable::NoNode => true,
            Unusable::FirstAsked => *self.first_asked.entry(change).or_insert(place) != place,
            Unusable::HalfOfNodes => !changes.in_unusable_half(change, place),
            Unusable::AllNodes => false,
        });
        let quiet = self.all_connected_since();
        let Some(versions) = &mut self.versions else { return };
        let result = versions.check_trial(self.now, place, (number, &text), usable, quiet);
        self.record(result);
        let span = self.random.random_range(0..MAX_APPLY_TIME_US);
        self.after(span, Event::Configured { node: place, generation, number, text, usable });
    }

    fn configured(&mut self, place: usize, number: u64, text: &str, usable: bool) {
        let quiet = self.all_connected_since();
        let now = self.now;
        if let (true, Some(versions), Some(changes)) = (usable, &mut self.versions, &self.plan.changes) {
            let harm = change_number(text).map_or(Harm::None, |change| changes.harm(change));
            self.nodes[place].calls.advance(now, changes.calls);
            self.nodes[place].calls.harm = harm;
            if harm != Harm::None && changes.calls >= 200 && quiet.is_some() {
                versions.calls_harmed(now, number);
            }
        }
        let result = if usable { Ok(()) } else { Err(format!("line 1: not at n{place}")) };
        self.deliver(place, Input::Configured(number, result));
    }

    fn copy_stored(&mut self, place: usize) {
        let refuses = self.fault_active(FaultKind::DiskFull, place)
            || self.fault_active(FaultKind::DiskError, place) && self.random.random();
        let Some(copy) = self.nodes[place].pending_copy.take() else { return };
        let result = if refuses { Err("no space left".to_owned()) } else { Ok(()) };
        if !refuses {
            self.nodes[place].copy = Ok(Some(copy));
        } else if let Some(versions) = &mut self.versions {
            versions.counts.copies_lost += 1;
        }
        self.deliver(place, Input::Kept(result));
    }

    /// Damages a node's copy of the configuration: unreadable, missing, truncated or with one bit flipped.
    fn tear_copy(&mut self, place: usize) {
        let (Ok(Some(mut copy)), Some(versions)) = (self.nodes[place].copy.clone(), &mut self.versions)
        else {
            return;
        };
        versions.counts.copies_lost += 1;
        let at = self.random.random_range(0..copy.len().max(1));
        self.nodes[place].copy = match self.random.random_range(0..4) {
            0 => Err("input/output error".to_owned()),
            1 => Ok(None),
            2 => {
                copy.truncate(at);
                Ok(Some(copy))
            }
            _ => {
                copy.iter_mut().skip(at).take(1).for_each(|byte| *byte ^= 0x10);
                Ok(Some(copy))
            }
        };
    }

    fn change(&mut self, place: usize) {
        let Some(changes) = &self.plan.changes else { return };
        let change = changes.changes[place].clone();
        self.order_change(change.node, change.number, change.stale);
    }

    fn order_change(&mut self, place: usize, number: u32, stale: bool) {
        let local = self.nodes[place].clock.local(self.now);
        let node = &self.nodes[place];
        let (Some(part), 0, Some(changes)) = (&node.part, node.paused, &self.plan.changes) else { return };
        let status = part.configuration(local).unwrap_or_default();
        let in_force = status["in_force"].as_u64().unwrap_or(0);
        let back = if stale { 1 + u64::from(number % 3) } else { 0 };
        let (order, text) = changes.order_text(number);
        let Some(versions) = &mut self.versions else { return };
        let parent = versions.order_submitted(self.now, &order, in_force.saturating_sub(back), &text);
        self.deliver(place, Input::Change { number, parent });
    }

    fn change_answered(&mut self, place: usize, conn: u64, answer: &serde_json::Value) {
        self.trace_line(|| format!("n{place} answers {answer}"));
        let Some(versions) = &mut self.versions else { return };
        let result = versions.check_answer(place, answer);
        self.record(result);
        let number = (conn - CHANGE_CONN_BASE) as u32;
        match &mut self.final_change {
            Some((last, _)) if *last == number && answer["ok"] == true => *last = 0,
            Some((last, _)) if *last == number => {
                *last += 1;
                self.after(500_000, Event::FinalChange);
            }
            _ => {}
        }
    }

    fn order_final_change(&mut self) {
        let node = self.random.random_range(0..self.nodes.len());
        let (number, _) = self.final_change.unwrap_or((FIRST_HARMLESS_CHANGE, node));
        self.final_change = Some((number, node));
        self.order_change(node, number, false);
    }

    fn query_answered(&mut self, place: usize, answer: &serde_json::Value) {
        self.trace_line(|| format!("n{place} answers {answer}"));
        let versions = answer["versions"].as_object().into_iter().flatten();
        let sum: u64 = versions.filter_map(|(_, count)| count.as_u64()).sum();
        if Some(sum) != answer["answered"].as_u64() || sum > self.nodes.len() as u64 {
            self.fail(format!("node {place} reports version counts that do not add up: {answer}"));
        }
        self.query_complete = Some(sum == self.nodes.len() as u64);
    }

    /// Returns why the fleet has not converged: not every node has the newest version in force or reports
    /// that it cannot use it.
    fn not_converged(&self) -> Option<String> {
        let (versions, changes) = (self.versions.as_ref()?, self.plan.changes.as_ref()?);
        let (newest, trial) = versions.newest();
        if trial {
            return Some(format!("version {newest} is still under trial"));
        }
        let change = versions.text(newest).and_then(change_number);
        for (place, node) in self.nodes.iter().enumerate() {
            let Some(part) = &node.part else { return Some(format!("node {place} does not run")) };
            let status = part.configuration(node.clock.local(self.now)).unwrap_or_default();
            if status["in_force"] == newest && status["newest"] == newest {
                continue;
            }
            let unusable = change.is_some_and(|change| match changes.unusable(change) {
                Unusable::NoNode => false,
                Unusable::FirstAsked => self.first_asked.get(&change) == Some(&place),
                Unusable::HalfOfNodes => changes.in_unusable_half(change, place),
                Unusable::AllNodes => true,
            });
            if !(unusable && status["newest"] == newest && status["refused"].is_string()) {
                return Some(format!("node {place} is not at {newest}: {status}"));
            }
        }
        None
    }

    /// Checks that all nodes converge within the bound after the last fault.
    fn check_versions(&mut self) {
        let Some(versions) = &self.versions else { return };
        let result = versions.check_start_times(self.now);
        let (_, since) = versions.last_step;
        self.record(result);
        let Some(calm) = self.calm else { return };
        let from = (calm + RESTART_DELAY_US).max(calm + 2 * self.plan.watchdog) + RECONNECT_TIME_US;
        let left = self.not_converged();
        if left.is_none() {
            let from = from.max(since);
            if self.converged_at.is_none() && self.now > from {
                let took = self.now - from;
                if let Some(versions) = &mut self.versions {
                    versions.counts.slowest = versions.counts.slowest.max(took);
                }
            }
            self.converged_at.get_or_insert(self.now);
            return;
        }
        self.converged_at = None;
        if let Some(left) = left.filter(|_| self.now > from.max(since) + CONVERGENCE_LIMIT_US) {
            self.fail(format!(
                "not at one {} s after the last fault and step: {left}",
                CONVERGENCE_LIMIT_US / SECOND
            ));
        }
    }

    fn order(&mut self, place: usize, number: u32) {
        if self.nodes[place].part.is_none() || self.nodes[place].paused > 0 {
            return;
        }
        let (order, text) = order_text(number);
        self.checker.order_submitted(self.now, &order, &text);
        let voters = 0..self.plan.voters;
        let up = |voter: usize| self.nodes[voter].part.is_some() && self.nodes[voter].paused == 0;
        let reach = |a: usize, b: usize| up(b) && a != b && !self.cut(a, b) && !self.cut(b, a);
        let reaches =
            |a: usize| up(a) && voters.clone().filter(|b| reach(a, *b)).count() >= self.plan.voters / 2;
        let able = voters.clone().any(reaches);
        self.checker.counts.without_quorum += u64::from(!able);
        self.deliver(place, Input::Order(number));
    }

    // ---- Connections ----

    fn fault_active(&self, kind: FaultKind, node: usize) -> bool {
        self.active.iter().any(|place| {
            let fault = &self.plan.faults[*place];
            fault.kind == kind && fault.node == node
        })
    }

    /// Whether an active fault keeps the process stopped.
    fn held_down(&self, node: usize) -> bool {
        self.active.iter().any(|place| {
            let fault = &self.plan.faults[*place];
            match fault.kind {
                FaultKind::Kill | FaultKind::DiskLost | FaultKind::StartBack | FaultKind::CopyTorn => {
                    fault.node == node
                }
                FaultKind::ZoneKill => fault.node % 3 == node % 3,
                _ => false,
            }
        })
    }

    /// Whether messages from one node do not arrive at the other.
    fn cut(&self, from: usize, to: usize) -> bool {
        self.active.iter().any(|place| {
            let Fault { kind, node, .. } = self.plan.faults[*place];
            let either = |is: &dyn Fn(usize) -> bool| is(from) != is(to);
            match kind {
                FaultKind::CutOut => from == node,
                FaultKind::CutIn => to == node,
                FaultKind::CutOff | FaultKind::Flap => from == node || to == node,
                FaultKind::Zone => either(&|one| one % 3 == node % 3),
                FaultKind::Bridge => from != node && to != node && either(&|one| one % 2 == 0),
                FaultKind::Voters => from < self.plan.voters && to < self.plan.voters,
                _ => false,
            }
        })
    }

    fn delay(&mut self, from: usize, to: usize) -> Micros {
        let slow = self.fault_active(FaultKind::Slow, from) || self.fault_active(FaultKind::Slow, to);
        let (least, most) = self.plan.delay;
        self.random.random_range(least..most) + if slow { self.random.random_range(0..SECOND) } else { 0 }
    }

    fn dial(&mut self, place: usize, to: usize) {
        if !self.nodes[place].wanted_peers.contains(&to) || place == to {
            return;
        }
        let generation = self.nodes[place].generation;
        let running = |node: usize| self.nodes[node].part.is_some() && self.nodes[node].paused == 0;
        let free = self.links.between(place, to).is_none();
        if !free || !running(place) || !running(to) || self.cut(place, to) || self.cut(to, place) {
            let again = self.random.random_range(200_000..SECOND);
            return self.after(again, Event::Dial { node: place, generation, to });
        }
        let (out, back) = (self.delay(place, to), self.delay(to, place));
        let now = self.now;
        let (id, conn) = self.links.add(place, to);
        let first = conn.enqueue(0, now + out + back, Item::Open);
        let second = conn.enqueue(1, now + 2 * out + back, Item::Open);
        self.at(first, Event::Arrive { conn: id, side: 0 });
        self.at(second, Event::Arrive { conn: id, side: 1 });
    }

    fn send_message(&mut self, place: usize, to: usize, mut bytes: Vec<u8>) {
        if self.fault_active(FaultKind::WrongText, place) {
            if let (Some(end), Some(versions)) = (chunk_end(&bytes), &mut self.versions) {
                versions.counts.wrong_chunks += 1;
                bytes.iter_mut().skip(end).take(1).for_each(|byte| *byte ^= 1);
            }
        }
        self.checker.counts.words += 1;
        self.checker.counts.bytes += bytes.len() as u64;
        if let (Some(disk), true) = (&self.nodes[place].disk, to < self.plan.voters) {
            let number = |place: usize| u64::from(MemberId::of(&self.members[place].name).0) + 1;
            let result = self.checker.check_promise(place, number(to), number(place), &bytes, disk);
            self.record(result);
        }
        let delay = self.delay(place, to);
        let now = self.now;
        let Some(id) = self.links.between(place, to) else { return };
        let Some(conn) = self.links.conns.get_mut(&id) else { return };
        let side = conn.side(place);
        if !conn.linked[side] || conn.lost[side] {
            return;
        }
        let due = conn.enqueue(1 - side, now + delay, Item::Message { sent_at: now, bytes });
        self.at(due, Event::Arrive { conn: id, side: 1 - side });
    }

    fn arrive(&mut self, id: u64, side: usize) {
        loop {
            let Some(conn) = self.links.conns.get(&id) else { return };
            let (from, to) = (conn.ends[1 - side], conn.ends[side]);
            if conn.lost[side] || self.cut(from, to) {
                return;
            }
            let now = self.now;
            let Some(conn) = self.links.conns.get_mut(&id) else { return };
            if conn.queues[side].front().is_none_or(|(due, _)| *due > now) {
                return;
            }
            match conn.queues[side].pop_front() {
                Some((_, Item::Open)) => {
                    conn.linked[side] = true;
                    self.deliver(to, Input::Linked(from, true));
                }
                Some((_, Item::Message { sent_at, bytes })) => {
                    // A side that is not linked yet receives nothing; the other side may send before it knows
                    // that.
                    if conn.linked[side] {
                        self.deliver(to, Input::Heard { from, sent_at, bytes });
                    }
                }
                Some((_, Item::Close)) => {
                    conn.closing = true;
                    self.lose_link(id, to);
                }
                None => return,
            }
        }
    }

    /// Closes a connection that the node dialled, behind all messages sent on it.
    fn close_link(&mut self, place: usize, to: usize) {
        let delay = self.delay(place, to);
        let now = self.now;
        let Some(id) = self.links.between(place, to) else { return };
        let Some(conn) = self.links.conns.get_mut(&id) else { return };
        if conn.ends[0] != place || conn.closing {
            return;
        }
        conn.closing = true;
        let due = conn.enqueue(1, now + delay, Item::Close);
        self.at(due, Event::Arrive { conn: id, side: 1 });
    }

    /// Marks the connection lost at one side; the other side notices at once, or by its watchdog if the way
    /// is cut.
    fn lose_link(&mut self, id: u64, place: usize) {
        let Some(conn) = self.links.conns.get_mut(&id) else { return };
        let side = conn.side(place);
        let other = conn.ends[1 - side];
        if std::mem::replace(&mut conn.lost[side], true) {
            return;
        }
        let (linked, over) = (std::mem::take(&mut conn.linked[side]), conn.lost[1 - side]);
        if over {
            self.links.remove(id);
        }
        if linked {
            self.deliver(place, Input::Linked(other, false));
        }
        let generation = self.nodes[place].generation;
        if self.nodes[place].wanted_peers.contains(&other) {
            let again = self.random.random_range(100_000..SECOND);
            self.after(again, Event::Dial { node: place, generation, to: other });
        }
        if over {
            return;
        }
        if self.cut(place, other) {
            let watchdog_time = self.watchdog_time();
            self.after(watchdog_time, Event::WatchdogExpired { conn: id, side: 1 - side });
        } else {
            self.lose_link(id, other);
        }
    }

    fn watchdog_time(&mut self) -> Micros {
        self.random.random_range(self.plan.watchdog..2 * self.plan.watchdog)
    }

    /// A side's watchdog expires: the side loses the connection if the way is still cut or the peer is
    /// paused.
    fn watchdog_expired(&mut self, id: u64, side: usize) {
        let Some(conn) = self.links.conns.get(&id) else { return };
        let (from, to) = (conn.ends[1 - side], conn.ends[side]);
        if conn.lost[1 - side] || self.cut(from, to) || self.cut(to, from) || self.nodes[from].paused > 0 {
            self.lose_link(id, to);
        }
    }

    /// Rechecks all connections after ways were cut or restored, or a node was paused or resumed.
    fn links_changed(&mut self) {
        for id in self.links.conns.keys().copied().collect::<Vec<_>>() {
            let Some(conn) = self.links.conns.get(&id) else { continue };
            let [a, b] = conn.ends;
            for (side, from, to) in [(0, b, a), (1, a, b)] {
                if self.cut(from, to) || self.nodes[from].paused > 0 {
                    let watchdog_time = self.watchdog_time();
                    self.after(watchdog_time, Event::WatchdogExpired { conn: id, side });
                } else {
                    self.after(0, Event::Arrive { conn: id, side });
                }
            }
        }
    }

    // ---- Faults ----

    fn begin_fault(&mut self, place: usize) {
        let Fault { kind, node, .. } = self.plan.faults[place];
        self.trace_line(|| format!("{kind:?} of n{node} begins"));
        self.active.insert(place);
        self.active_faults += 1;
        if let Some(versions) = &mut self.versions {
            if matches!(kind, FaultKind::Pause | FaultKind::Rate | FaultKind::Jump) {
                versions.mark_disturbed(node);
            }
        }
        match kind {
            FaultKind::Reset => {
                for conn in self.links.of_node(node) {
                    self.lose_link(conn, node);
                }
            }
            FaultKind::Kill | FaultKind::DiskLost | FaultKind::StartBack | FaultKind::CopyTorn => {
                self.kill(node);
                if kind == FaultKind::DiskLost {
                    self.nodes[node].copy = Ok(None);
                    if node < self.plan.voters {
                        self.nodes[node].disk = Some(Found::new(self.random.random()));
                    }
                }
                if kind == FaultKind::CopyTorn {
                    self.tear_copy(node);
                }
            }
            FaultKind::ZoneKill => {
                for one in (0..self.nodes.len()).filter(|one| one % 3 == node % 3) {
                    self.kill(one);
                }
            }
            FaultKind::Pause => {
                self.nodes[node].paused += 1;
                self.links_changed();
            }
            FaultKind::Rate => {
                let rate = self.random.random_range(800..=1_250);
                let now = self.now;
                self.nodes[node].clock.set(now, rate, 0);
                self.reschedule_wake(node);
            }
            FaultKind::Jump => {
                let jump = self.random.random_range(SECOND..60 * SECOND);
                let (now, rate) = (self.now, self.nodes[node].clock.rate);
                self.nodes[node].clock.set(now, rate, jump);
                self.reschedule_wake(node);
            }
            FaultKind::Flap => self.after(0, Event::Flap(place)),
            _ => self.links_changed(),
        }
    }

    fn end_fault(&mut self, place: usize) {
        let Fault { kind, node, .. } = self.plan.faults[place];
        self.trace_line(|| format!("{kind:?} of n{node} ends"));
        self.active.remove(&place);
        self.active_faults -= 1;
        self.quiet_since = self.now;
        match kind {
            FaultKind::Kill | FaultKind::DiskLost | FaultKind::StartBack | FaultKind::CopyTorn => {
                if self.nodes[node].part.is_none() && !self.held_down(node) {
                    self.start(node, kind == FaultKind::StartBack);
                }
            }
            FaultKind::ZoneKill => {
                for one in (0..self.nodes.len()).filter(|one| one % 3 == node % 3) {
                    if self.nodes[one].part.is_none() && !self.held_down(one) {
                        self.start(one, false);
                    }
                }
            }
            FaultKind::Pause => {
                self.nodes[node].paused -= 1;
                if self.nodes[node].paused == 0 {
                    self.resume(node);
                }
            }
            FaultKind::Rate => {
                let now = self.now;
                self.nodes[node].clock.set(now, 1_000, 0);
                self.reschedule_wake(node);
            }
            FaultKind::Jump | FaultKind::Reset => {}
            _ => self.links_changed(),
        }
    }

    /// Resumes a paused process: held-back inputs are delivered in order within a connection and in any order
    /// across connections.
    fn resume(&mut self, node: usize) {
        let mut backlog = std::mem::take(&mut self.nodes[node].backlog);
        let salt: u64 = self.random.random();
        let key = |input: &Input| match input {
            Input::Linked(from, _) | Input::Heard { from, .. } => (*from as u64 + 1).wrapping_mul(salt | 1),
            Input::Found(_) => 0,
            _ => salt,
        };
        backlog.sort_by_key(key);
        for input in backlog {
            self.deliver(node, input);
        }
        self.reschedule_wake(node);
        self.links_changed();
    }

    fn reschedule_wake(&mut self, node: usize) {
        self.nodes[node].wake_at = None;
        let wake = self.nodes[node].part.as_ref().and_then(|part| part.wake());
        self.schedule_wake(node, wake);
    }

    // ---- After the last fault ----

    fn faults_over(&mut self) {
        self.trace_line(|| "no more faults".to_owned());
        self.calm = Some(self.now);
        self.after(RESTART_DELAY_US, Event::RestartOne);
        self.after(FINAL_ORDERS_DELAY_US, Event::FinalOrders);
        if self.versions.is_some() {
            let change = RESTART_DELAY_US.max(2 * self.plan.watchdog) + RECONNECT_TIME_US;
            self.after(change, Event::FinalChange);
        }
    }

    /// Checks the members shown by some nodes; after the final orders also whether every node has recovered.
    fn check(&mut self) {
        let count = self.nodes.len();
        let (every, views) = if count <= 16 { (200_000, 3) } else { (SECOND, 4) };
        self.after(every, Event::Check);
        let observed: Vec<usize> = (0..views).map(|_| self.random.random_range(0..count)).collect();
        for node in observed {
            let local = self.nodes[node].clock.local(self.now);
            if self.nodes[node].paused > 0 {
                continue;
            }
            let Some(shown) = self.nodes[node].part.as_ref().map(|part| part.members(local)) else {
                continue;
            };
            let calm = self.calm.map(|calm| calm + 2 * SECOND);
            let result = self.checker.check_members(self.now, (node, local), &shown, calm);
            self.record(result);
        }
        self.check_versions();
        let (Some(calm), Some(last)) = (self.calm, &self.final_orders) else { return };
        if !last.is_empty() && self.now <= calm + RECOVERY_LIMIT_US {
            return;
        }
        let mut left = Vec::new();
        if !last.is_empty() {
            left.push(format!("final orders of nodes {last:?} are not agreed"));
        }
        let highest = self.checker.highest_index();
        for node in 0..count {
            let local = self.nodes[node].clock.local(self.now);
            let Some(part) = &self.nodes[node].part else {
                left.push(format!("node {node} does not run"));
                continue;
            };
            if left.len() > 3 {
                break;
            }
            let shown = part.members(local);
            if shown["alive"] != count {
                left.push(format!("node {node} reports {} members alive", shown["alive"]));
            }
            if self.checker.applied_index(node) < highest {
                left.push(format!(
                    "node {node} has applied entries up to {} of {highest}",
                    self.checker.applied_index(node)
                ));
            }
        }
        if self.versions.is_some() {
            left.extend(self.not_converged());
            match self.final_change {
                None => left.push("the final change was not ordered".to_owned()),
                Some((0, _)) => {}
                Some((number, _)) => left.push(format!("change {number} is not agreed")),
            }
        }
        if left.is_empty() && self.versions.is_some() && self.query_complete != Some(true) {
            // All nodes have recovered: a query at any node must count all of them.
            left.push("no query of the versions in force counted all nodes".to_owned());
            if self.query_complete.is_none() || self.random.random_bool(0.2) {
                let node = self.random.random_range(0..count);
                self.deliver(node, Input::Question);
            }
        }
        if left.is_empty() {
            self.healed = Some(self.now - calm);
        } else if self.now > calm + RECOVERY_LIMIT_US {
            self.fail(format!(
                "not whole {} s after the last fault: {}",
                RECOVERY_LIMIT_US / SECOND,
                left.join("; ")
            ));
        }
    }
}

/// Returns the id and the text of the order with this number.
fn order_text(number: u32) -> (String, String) {
    (format!("order-{number}"), format!("text of {number}"))
}
