//! A run: everything in one queue of events under one clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

use lemoncleat_agreement::{Batch, Found};
use lemoncleat_commons::{Calls, Figures, Part, Said, Seat, Settings};
use lemoncleat_fleet::{Member, MemberId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::changes::{number_of, Harm, Unusable, GOOD};
use super::judge::{chunk_end, Broken, Judge};
use super::links::{Item, Links};
use super::plan::{Fault, FaultKind, Plan};
use super::versions::{Versions, BOUND};
use super::Outcome;
use crate::Micros;

const SECOND: Micros = 1_000_000;
/// How long everything may take to be whole after the last fault.
const WHOLE: Micros = 120 * SECOND;
/// When after the last fault one more node is started anew, and when every node is given a last order.
const START_ANEW: Micros = 10 * SECOND;
const LAST_ORDERS: Micros = 15 * SECOND;
/// Steps that a run may take; more are a loop.
const MOST_STEPS: u64 = 50_000_000;
/// How long a disk takes.
const DISK: (Micros, Micros) = (500, 20_000);
/// The number of the first of the last orders.
const LAST: u32 = 1_000_000;
/// After faults, what links and voters take beyond the watchdogs until all can talk: dialling anew, an election.
const TALK: Micros = 6 * SECOND;
/// How long a driver takes to put a text in force.
const APPLY: Micros = 5_000;
/// Connections of operators that change the configuration, and of those that ask for it.
const CHANGES: u64 = 1 << 40;
const QUESTIONS: u64 = 1 << 41;

/// What comes to a process.
#[derive(Debug)]
enum Input {
    Turn,
    Linked(usize, bool),
    Heard { from: usize, said: Micros, bytes: Vec<u8> },
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
        life: u32,
    },
    Stored {
        node: usize,
        life: u32,
    },
    Arrive {
        conn: u64,
        side: usize,
    },
    Watch {
        conn: u64,
        side: usize,
    },
    Dial {
        node: usize,
        life: u32,
        to: usize,
    },
    Begin(usize),
    End(usize),
    /// A flapping node's links change.
    Flap(usize),
    Order(usize),
    Change(usize),
    Configured {
        node: usize,
        life: u32,
        number: u64,
        text: String,
        usable: bool,
    },
    Kept {
        node: usize,
        life: u32,
    },
    LastChange,
    Look,
    Calm,
    StartAnew,
    LastOrders,
}

/// A clock of its own: local time is `at.1` at `at.0`, and runs on by so many thousandths.
#[derive(Clone, Copy)]
struct Clock {
    at: (Micros, Micros),
    rate: Micros,
}

impl Clock {
    fn local(&self, now: Micros) -> Micros {
        self.at.1 + (now - self.at.0) * self.rate / 1_000
    }

    /// The first moment at which it shows this.
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
    part: Option<Box<Part>>,
    life: u32,
    start: u32,
    disk: Option<Found>,
    storing: Option<Batch>,
    clock: Clock,
    paused: u32,
    backlog: Vec<Input>,
    wants: BTreeSet<usize>,
    armed: Option<Micros>,
    /// The copy of the configuration on its disk, and the one that is being written.
    copy: Result<Option<Vec<u8>>, String>,
    keeping: Option<Vec<u8>>,
    calls: Traffic,
}

/// A node's calls since its start.
#[derive(Clone, Copy)]
struct Traffic {
    upto: Micros,
    harm: Harm,
    /// Calls, those refused and those lost, in millionths.
    calls: u64,
    refused: u64,
    lost: u64,
}

impl Traffic {
    fn new(now: Micros) -> Traffic {
        Traffic { upto: now, harm: Harm::None, calls: 0, refused: 0, lost: 0 }
    }

    /// Of so many a second one in a hundred is refused and one lost; by a bad text half.
    fn run(&mut self, now: Micros, rate: u64) -> Calls {
        let more = (now - self.upto) as u64 * rate;
        self.upto = now;
        self.calls += more;
        self.refused += more / if self.harm == Harm::Refused { 2 } else { 100 };
        self.lost += more / if self.harm == Harm::Lost { 2 } else { 100 };
        let whole = |millionths: u64| millionths / 1_000_000;
        Calls { calls: whole(self.calls), refused: whole(self.refused), lost: whole(self.lost) }
    }
}

pub(super) struct Run<'a> {
    plan: &'a Plan,
    told: Option<&'a mut (dyn FnMut(&str) + 'a)>,
    now: Micros,
    steps: u64,
    digest: u64,
    number: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    random: SmallRng,
    members: Vec<Member>,
    nodes: Vec<Node>,
    links: Links,
    /// Faults under way, by their place in the plan; a flapping one is there while its node is cut off.
    active: BTreeSet<usize>,
    judge: Judge,
    finding: Option<(u64, String)>,
    calm: Option<Micros>,
    /// The last orders: those not yet answered.
    last: Option<BTreeSet<usize>>,
    healed: Option<Micros>,
    versions: Option<Versions>,
    /// Faults under way, and since when there are none.
    troubles: usize,
    quiet: Micros,
    /// Who was first asked to use a text that the first can't use.
    first: BTreeMap<u32, usize>,
    /// The last change: its number and node until it is agreed.
    last_change: Option<(u32, usize)>,
    /// When all had the newest version, while they have.
    at_one: Option<Micros>,
    /// The last question and its answer.
    question: Option<bool>,
}

impl<'a> Run<'a> {
    pub fn new(plan: &'a Plan, told: Option<&'a mut (dyn FnMut(&str) + 'a)>) -> Run<'a> {
        let member = |place: usize| Member {
            name: Arc::from(format!("n{place}")),
            zone: Arc::from(["z1", "z2", "z3"][place % 3]),
        };
        let mut random = SmallRng::seed_from_u64(plan.seed);
        let node = |place: usize| Node {
            part: None,
            life: 0,
            start: 1_000,
            disk: (place < plan.voters).then(|| Found::new(random.random())),
            storing: None,
            clock: Clock { at: (0, random.random_range(0..1_000 * SECOND)), rate: 1_000 },
            paused: 0,
            backlog: Vec::new(),
            wants: BTreeSet::new(),
            armed: None,
            copy: Ok(None),
            keeping: None,
            calls: Traffic::new(0),
        };
        let nodes = (0..plan.nodes).map(node).collect();
        let members: Vec<Member> = (0..plan.nodes).map(member).collect();
        let names: Vec<&str> = members.iter().map(|member| &*member.name).collect();
        let versions = plan.changes.as_ref().map(|_| Versions::new(&names, 3));
        Run {
            plan,
            told,
            now: 0,
            steps: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            number: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            members,
            nodes,
            links: Links::default(),
            active: BTreeSet::new(),
            judge: Judge::new(plan.nodes, plan.voters),
            finding: None,
            calm: None,
            last: None,
            healed: None,
            versions,
            troubles: 0,
            quiet: 0,
            first: BTreeMap::new(),
            last_change: None,
            at_one: None,
            question: None,
            random,
        }
    }

    pub fn play(mut self) -> Outcome {
        for node in 0..self.nodes.len() {
            self.start(node, false);
        }
        for (place, fault) in self.plan.faults.iter().enumerate() {
            self.at(fault.from, Event::Begin(place));
            self.at(fault.until, Event::End(place));
        }
        for (place, order) in self.plan.orders.iter().enumerate() {
            self.at(order.at, Event::Order(place));
        }
        for (place, change) in self.plan.changes.iter().flat_map(|changes| &changes.changes).enumerate() {
            self.at(change.at, Event::Change(place));
        }
        // After the faults that end at the same moment.
        self.at(self.plan.calm + 1, Event::Calm);
        self.at(SECOND, Event::Look);
        while self.finding.is_none() && self.healed.is_none() {
            let Some(Reverse((at, number))) = self.queue.pop() else { break };
            let Some(event) = self.events.remove(&number) else { continue };
            self.now = at;
            self.steps += 1;
            if self.steps > MOST_STEPS {
                self.breaks("the clock stands".to_owned());
            }
            self.event(event);
        }
        Outcome {
            finding: self.finding,
            steps: self.steps,
            time: self.now,
            digest: self.digest,
            healed: self.healed,
            counts: self.judge.counts,
            versions: self.versions.map(|versions| versions.counts).unwrap_or_default(),
        }
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at.max(self.now), self.number)));
        self.events.insert(self.number, event);
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.at(self.now + span, event);
    }

    fn breaks(&mut self, why: String) {
        let step = self.steps;
        self.finding.get_or_insert((step, why));
    }

    fn holds(&mut self, law: Broken) {
        if let Err(why) = law {
            self.breaks(why);
        }
    }

    /// FNV-1a over what happened.
    fn digest(&mut self, bytes: &[u8]) {
        for byte in self.now.to_le_bytes().iter().chain(bytes) {
            self.digest = (self.digest ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn tell(&mut self, line: impl FnOnce() -> String) {
        if let Some(told) = &mut self.told {
            told(&format!("{:>12.6} {}", self.now as f64 / 1e6, line()));
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Wake { node, life } => {
                let due = self.nodes[node].life == life && self.nodes[node].armed == Some(self.now);
                if due {
                    self.nodes[node].armed = None;
                    self.give(node, Input::Turn);
                }
            }
            Event::Stored { node, life } if self.nodes[node].life == life => self.stored(node),
            Event::Stored { .. } => {}
            Event::Arrive { conn, side } => self.arrive(conn, side),
            Event::Watch { conn, side } => self.watch(conn, side),
            Event::Dial { node, life, to } if self.nodes[node].life == life => self.dial(node, to),
            Event::Dial { .. } => {}
            Event::Begin(place) => self.begin(place),
            Event::End(place) => self.end(place),
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
            Event::Configured { node, life, number, text, usable } => {
                if self.nodes[node].life == life {
                    self.configured(node, number, &text, usable);
                }
            }
            Event::Kept { node, life } if self.nodes[node].life == life => self.kept(node),
            Event::Kept { .. } => {}
            Event::LastChange => self.order_last_change(),
            Event::Look => self.look(),
            Event::Calm => self.be_calm(),
            Event::StartAnew => {
                let node = self.random.random_range(0..self.nodes.len());
                self.tell(|| format!("n{node} is started anew"));
                self.kill(node);
                self.start(node, false);
                self.quiet = self.now;
            }
            Event::LastOrders => {
                self.last = Some((0..self.nodes.len()).collect());
                for node in 0..self.nodes.len() {
                    self.order(node, LAST + node as u32);
                }
            }
        }
    }

    // ---- Processes ----

    fn start(&mut self, place: usize, back: bool) {
        let seed = self.random.random();
        let node = &mut self.nodes[place];
        node.start = if back { node.start.saturating_sub(500) } else { node.start + 10 };
        node.life += 1;
        let settings = Settings {
            own: self.members[place].name.clone(),
            members: self.members.clone(),
            voters: self.members[..self.plan.voters].iter().map(|member| member.name.clone()).collect(),
            round: self.plan.round,
            configuration: self.versions.is_some(),
        };
        let seat = node.disk.clone().map_or(Seat::Follower, Seat::Voter);
        match Part::new(&settings, seat, node.start, seed) {
            Ok(part) => node.part = Some(Box::new(part)),
            Err(error) => return self.breaks(format!("node {place} does not start: {error}")),
        }
        let trouble =
            node.part.as_ref().and_then(|part| Some(part.agreement()?["trouble"].as_str()?.to_owned()));
        if let Some(why) = trouble {
            self.breaks(format!("node {place} can't use its store: {why}"));
        }
        self.judge.started(place, back);
        if let Some(versions) = &mut self.versions {
            versions.started(self.now, place);
            if self.nodes[place].paused > 0 {
                versions.disturbed(place);
            }
            self.nodes[place].calls = Traffic::new(self.now);
            let copy = self.nodes[place].copy.clone();
            self.give(place, Input::Found(copy));
        }
        self.give(place, Input::Turn);
    }

    /// Ends a process. What its disk was asked to store last is there or not.
    fn kill(&mut self, place: usize) {
        let there: bool = self.random.random();
        let node = &mut self.nodes[place];
        node.part = None;
        node.life += 1;
        node.armed = None;
        node.backlog.clear();
        node.wants.clear();
        if let (Some(batch), Some(disk)) = (node.storing.take(), &mut node.disk) {
            self.judge.counts.unstored += u64::from(!there);
            if there {
                disk.apply(&batch);
            }
        }
        // A copy takes the place of the one before whole, or not at all.
        if let Some(copy) = node.keeping.take() {
            if self.random.random() {
                node.copy = Ok(Some(copy));
            }
        }
        if let Some(versions) = &mut self.versions {
            versions.ended(place);
        }
        for conn in self.links.of(place) {
            self.lose(conn, place);
        }
    }

    /// Gives a process an input, or keeps it until it has a turn.
    fn give(&mut self, place: usize, input: Input) {
        let node = &mut self.nodes[place];
        if node.paused > 0 {
            return node.backlog.push(input);
        }
        let Some(mut part) = node.part.take() else { return };
        let now = self.now;
        let local = node.clock.local(now);
        let mut said = Vec::new();
        let turn = catch_unwind(AssertUnwindSafe(|| {
            match &input {
                Input::Turn => {
                    if let Some(changes) = &self.plan.changes {
                        part.calls(node.calls.run(now, changes.calls));
                    }
                    part.timeout(local, Figures { calls: now as u64, ..Figures::default() }, &mut said);
                }
                Input::Linked(to, linked) => part.linked(local, *to, *linked, &mut said),
                Input::Heard { from, bytes, .. } => part.heard(local, *from, bytes, &mut said),
                Input::Stored(batch, result) => part.stored(local, *batch, result.clone(), &mut said),
                Input::Order(number) => {
                    let (order, text) = words(*number);
                    part.mark(local, u64::from(*number), &order, &text, &mut said);
                }
                Input::Found(copy) => part.found(local, copy.clone(), &mut said),
                Input::Configured(number, result) => {
                    part.configured(local, *number, result.clone(), &mut said);
                }
                Input::Kept(result) => part.kept(local, result.clone(), &mut said),
                Input::Change { number, parent } => {
                    let (order, text) =
                        self.plan.changes.as_ref().map(|all| all.words(*number)).unwrap_or_default();
                    let conn = CHANGES + u64::from(*number);
                    part.configure(local, conn, &order, *parent, &text, &mut said);
                }
                Input::Question => {
                    part.configurations(local, QUESTIONS, &mut said);
                }
            }
            part
        }));
        let Ok(part) = turn else { return self.breaks(format!("node {place} panics at {input:?}")) };
        // One that is no voter learns by words alone.
        let may_have_learned = place < self.plan.voters || matches!(input, Input::Heard { .. });
        let shown = may_have_learned.then(|| part.marks(self.judge.seen(place))).flatten();
        let status = self.versions.as_ref().and_then(|_| part.configuration(local));
        let wake = part.wake();
        self.nodes[place].part = Some(part);
        match &input {
            Input::Heard { from, said, bytes } => {
                let (from, said) = (*from, *said);
                self.digest(bytes);
                self.judge.hears(from, place, said);
                let length = bytes.len();
                self.tell(|| format!("n{place} heard n{from}: {length} bytes of {:.6}", said as f64 / 1e6));
            }
            Input::Turn => self.digest(&[place as u8]),
            Input::Found(copy) => {
                let length = copy.clone().map(|copy| copy.map(|copy| copy.len()));
                self.tell(|| format!("n{place} has a copy of {length:?} bytes"));
            }
            other => self.tell(|| format!("n{place} {other:?}")),
        }
        if let Some(shown) = shown {
            let law = self.judge.marks(place, &shown);
            self.holds(law);
        }
        if let (Some(status), Some(versions)) = (status, &mut self.versions) {
            let law = versions.status(now, place, &status);
            self.holds(law);
        }
        self.arm(place, wake);
        for said in said {
            self.said(place, said);
        }
    }

    fn arm(&mut self, place: usize, wake: Option<Micros>) {
        let Some(wake) = wake else { return };
        let node = &mut self.nodes[place];
        // A turn that changes nothing comes again in a moment, not at the same one.
        let at = node.clock.global(wake).max(self.now + 1);
        if node.armed.is_none_or(|armed| at < armed) {
            node.armed = Some(at);
            let life = node.life;
            self.at(at, Event::Wake { node: place, life });
        }
    }

    fn said(&mut self, place: usize, said: Said) {
        let life = self.nodes[place].life;
        match said {
            Said::Meet(to) => {
                if self.nodes[place].wants.insert(to) {
                    self.after(0, Event::Dial { node: place, life, to });
                }
            }
            Said::Part(to) => {
                self.nodes[place].wants.remove(&to);
                self.part(place, to);
            }
            Said::Word(to, bytes) => self.word(place, to, bytes),
            Said::Store(batch) => {
                let slow = self.has(FaultKind::DiskSlow, place);
                let span = self.random.random_range(DISK.0..DISK.1);
                let span = span + if slow { self.random.random_range(0..3 * SECOND) } else { 0 };
                if self.nodes[place].storing.replace(batch).is_some() {
                    self.breaks(format!("node {place} stores two batches at once"));
                }
                self.after(span, Event::Stored { node: place, life });
            }
            Said::Configure { number, text } => self.configure(place, number, text),
            Said::Keep(bytes) => {
                let slow = self.has(FaultKind::DiskSlow, place);
                let span = self.random.random_range(DISK.0..DISK.1) + if slow { SECOND } else { 0 };
                if self.nodes[place].keeping.replace(bytes).is_some() {
                    self.breaks(format!("node {place} keeps two copies at once"));
                }
                self.after(span, Event::Kept { node: place, life });
            }
            Said::Settled => {
                self.tell(|| format!("n{place} has decided what is in force"));
                let law = self.versions.as_mut().map_or(Ok(()), |versions| versions.settled(place));
                self.holds(law);
            }
            Said::Answer(QUESTIONS, answer) => self.answered_question(place, &answer),
            Said::Answer(conn, answer) if conn >= CHANGES => self.answered_change(place, conn, &answer),
            Said::Answer(number, answer) => {
                self.tell(|| format!("n{place} answers {answer}"));
                let law = self.judge.answer(place, &answer);
                self.holds(law);
                let number = number as u32;
                match &mut self.last {
                    Some(last) if number >= LAST && answer["ok"] == true => {
                        last.remove(&place);
                    }
                    Some(_) if number >= LAST => self.order(place, number),
                    _ => {}
                }
            }
            other => self.tell(|| format!("n{place} says {other:?}")),
        }
    }

    fn stored(&mut self, place: usize) {
        let refuses = self.has(FaultKind::DiskFull, place)
            || self.has(FaultKind::DiskError, place) && self.random.random();
        let node = &mut self.nodes[place];
        let (Some(batch), Some(disk)) = (node.storing.take(), &mut node.disk) else { return };
        let result = if refuses { Err("no space left".to_owned()) } else { Ok(()) };
        match result {
            Ok(()) => disk.apply(&batch),
            Err(_) => self.judge.counts.unstored += 1,
        }
        self.give(place, Input::Stored(batch.number, result));
    }

    // ---- The configuration ----

    /// Since when all could talk, if they can.
    fn all_talk(&self) -> Option<Micros> {
        let since = self.quiet + 2 * self.plan.watchdog + TALK;
        (self.troubles == 0 && since <= self.now).then_some(since)
    }

    fn configure(&mut self, place: usize, number: u64, text: String) {
        let life = self.nodes[place].life;
        self.tell(|| format!("n{place} is to use version {number}"));
        self.digest(&number.to_le_bytes());
        self.digest(text.as_bytes());
        let (Some(versions), Some(changes)) = (&mut self.versions, &self.plan.changes) else {
            return self.breaks(format!("node {place} has a configuration that it was not given"));
        };
        if versions.text(number).is_none() {
            if let Some(since) = versions.asked_since(&text).filter(|since| !self.judge.quorum(*since)) {
                return self
                    .breaks(format!("version {number}, asked for at {since}, was agreed without a quorum"));
            }
        }
        let usable = number_of(&text).is_none_or(|change| match changes.unusable(change) {
            Unusable::Nobody => true,
            Unusable::First => *self.first.entry(change).or_insert(place) != place,
            Unusable::Half => !changes.of_half(change, place),
            Unusable::All => false,
        });
        let quiet = self.all_talk();
        let Some(versions) = &mut self.versions else { return };
        let law = versions.tried(self.now, place, (number, &text), usable, quiet);
        self.holds(law);
        let span = self.random.random_range(0..APPLY);
        self.after(span, Event::Configured { node: place, life, number, text, usable });
    }

    fn configured(&mut self, place: usize, number: u64, text: &str, usable: bool) {
        let quiet = self.all_talk();
        let now = self.now;
        if let (true, Some(versions), Some(changes)) = (usable, &mut self.versions, &self.plan.changes) {
            let harm = number_of(text).map_or(Harm::None, |change| changes.harm(change));
            self.nodes[place].calls.run(now, changes.calls);
            self.nodes[place].calls.harm = harm;
            if harm != Harm::None && changes.calls >= 200 && quiet.is_some() {
                versions.harms(now, number);
            }
        }
        let result = if usable { Ok(()) } else { Err(format!("line 1: not at n{place}")) };
        self.give(place, Input::Configured(number, result));
    }

    fn kept(&mut self, place: usize) {
        let refuses = self.has(FaultKind::DiskFull, place)
            || self.has(FaultKind::DiskError, place) && self.random.random();
        let Some(copy) = self.nodes[place].keeping.take() else { return };
        let result = if refuses { Err("no space left".to_owned()) } else { Ok(()) };
        if !refuses {
            self.nodes[place].copy = Ok(Some(copy));
        } else if let Some(versions) = &mut self.versions {
            versions.counts.copies_lost += 1;
        }
        self.give(place, Input::Kept(result));
    }

    /// What a node's copy is after its disk lost a part of it.
    fn tear(&mut self, place: usize) {
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
        let (order, text) = changes.words(number);
        let Some(versions) = &mut self.versions else { return };
        let parent = versions.asks(self.now, &order, in_force.saturating_sub(back), &text);
        self.give(place, Input::Change { number, parent });
    }

    fn answered_change(&mut self, place: usize, conn: u64, answer: &serde_json::Value) {
        self.tell(|| format!("n{place} answers {answer}"));
        let Some(versions) = &mut self.versions else { return };
        let law = versions.answer(place, answer);
        self.holds(law);
        let number = (conn - CHANGES) as u32;
        match &mut self.last_change {
            Some((last, _)) if *last == number && answer["ok"] == true => *last = 0,
            Some((last, _)) if *last == number => {
                *last += 1;
                self.after(500_000, Event::LastChange);
            }
            _ => {}
        }
    }

    fn order_last_change(&mut self) {
        let node = self.random.random_range(0..self.nodes.len());
        let (number, _) = self.last_change.unwrap_or((GOOD, node));
        self.last_change = Some((number, node));
        self.order_change(node, number, false);
    }

    fn answered_question(&mut self, place: usize, answer: &serde_json::Value) {
        self.tell(|| format!("n{place} answers {answer}"));
        let versions = answer["versions"].as_object().into_iter().flatten();
        let sum: u64 = versions.filter_map(|(_, count)| count.as_u64()).sum();
        if Some(sum) != answer["answered"].as_u64() || sum > self.nodes.len() as u64 {
            self.breaks(format!("node {place} counts what does not add up: {answer}"));
        }
        self.question = Some(sum == self.nodes.len() as u64);
    }

    /// What is left until all have the newest version, or can't use it and say so.
    fn not_at_one(&self) -> Option<String> {
        let (versions, changes) = (self.versions.as_ref()?, self.plan.changes.as_ref()?);
        let (newest, trial) = versions.newest();
        if trial {
            return Some(format!("version {newest} is still under trial"));
        }
        let change = versions.text(newest).and_then(number_of);
        for (place, node) in self.nodes.iter().enumerate() {
            let Some(part) = &node.part else { return Some(format!("node {place} does not run")) };
            let status = part.configuration(node.clock.local(self.now)).unwrap_or_default();
            if status["in_force"] == newest && status["newest"] == newest {
                continue;
            }
            let unusable = change.is_some_and(|change| match changes.unusable(change) {
                Unusable::Nobody => false,
                Unusable::First => self.first.get(&change) == Some(&place),
                Unusable::Half => changes.of_half(change, place),
                Unusable::All => true,
            });
            if !(unusable && status["newest"] == newest && status["refused"].is_string()) {
                return Some(format!("node {place} is not at {newest}: {status}"));
            }
        }
        None
    }

    /// All are at one within the bound after the last fault.
    fn look_at_versions(&mut self) {
        let Some(versions) = &self.versions else { return };
        let law = versions.starts(self.now);
        let (_, since) = versions.last;
        self.holds(law);
        let Some(calm) = self.calm else { return };
        let from = (calm + START_ANEW).max(calm + 2 * self.plan.watchdog) + TALK;
        let left = self.not_at_one();
        if left.is_none() {
            let from = from.max(since);
            if self.at_one.is_none() && self.now > from {
                let took = self.now - from;
                if let Some(versions) = &mut self.versions {
                    versions.counts.slowest = versions.counts.slowest.max(took);
                }
            }
            self.at_one.get_or_insert(self.now);
            return;
        }
        self.at_one = None;
        if let Some(left) = left.filter(|_| self.now > from.max(since) + BOUND) {
            self.breaks(format!("not at one {} s after the last fault and step: {left}", BOUND / SECOND));
        }
    }

    fn order(&mut self, place: usize, number: u32) {
        if self.nodes[place].part.is_none() || self.nodes[place].paused > 0 {
            return;
        }
        let (order, text) = words(number);
        self.judge.asks(self.now, &order, &text);
        let voters = 0..self.plan.voters;
        let up = |voter: usize| self.nodes[voter].part.is_some() && self.nodes[voter].paused == 0;
        let reach = |a: usize, b: usize| up(b) && a != b && !self.cut(a, b) && !self.cut(b, a);
        let reaches =
            |a: usize| up(a) && voters.clone().filter(|b| reach(a, *b)).count() >= self.plan.voters / 2;
        let able = voters.clone().any(reaches);
        self.judge.counts.without_quorum += u64::from(!able);
        self.give(place, Input::Order(number));
    }

    // ---- Connections ----

    fn has(&self, kind: FaultKind, node: usize) -> bool {
        self.active.iter().any(|place| {
            let fault = &self.plan.faults[*place];
            fault.kind == kind && fault.node == node
        })
    }

    /// Whether a fault holds the process down.
    fn down(&self, node: usize) -> bool {
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

    /// Whether what one says does not arrive at the other.
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
        let slow = self.has(FaultKind::Slow, from) || self.has(FaultKind::Slow, to);
        let (least, most) = self.plan.delay;
        self.random.random_range(least..most) + if slow { self.random.random_range(0..SECOND) } else { 0 }
    }

    fn dial(&mut self, place: usize, to: usize) {
        if !self.nodes[place].wants.contains(&to) || place == to {
            return;
        }
        let life = self.nodes[place].life;
        let there = |node: usize| self.nodes[node].part.is_some() && self.nodes[node].paused == 0;
        let free = self.links.between(place, to).is_none();
        if !free || !there(place) || !there(to) || self.cut(place, to) || self.cut(to, place) {
            let again = self.random.random_range(200_000..SECOND);
            return self.after(again, Event::Dial { node: place, life, to });
        }
        let (out, back) = (self.delay(place, to), self.delay(to, place));
        let now = self.now;
        let (id, conn) = self.links.add(place, to);
        let first = conn.put(0, now + out + back, Item::Open);
        let second = conn.put(1, now + 2 * out + back, Item::Open);
        self.at(first, Event::Arrive { conn: id, side: 0 });
        self.at(second, Event::Arrive { conn: id, side: 1 });
    }

    fn word(&mut self, place: usize, to: usize, mut bytes: Vec<u8>) {
        if self.has(FaultKind::WrongText, place) {
            if let (Some(end), Some(versions)) = (chunk_end(&bytes), &mut self.versions) {
                versions.counts.wrong_chunks += 1;
                bytes.iter_mut().skip(end).take(1).for_each(|byte| *byte ^= 1);
            }
        }
        self.judge.counts.words += 1;
        self.judge.counts.bytes += bytes.len() as u64;
        if let (Some(disk), true) = (&self.nodes[place].disk, to < self.plan.voters) {
            let number = |place: usize| u64::from(MemberId::of(&self.members[place].name).0) + 1;
            let law = self.judge.promise(place, number(to), number(place), &bytes, disk);
            self.holds(law);
        }
        let delay = self.delay(place, to);
        let now = self.now;
        let Some(id) = self.links.between(place, to) else { return };
        let Some(conn) = self.links.conns.get_mut(&id) else { return };
        let side = conn.side(place);
        if !conn.linked[side] || conn.lost[side] {
            return;
        }
        let due = conn.put(1 - side, now + delay, Item::Word { said: now, bytes });
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
            if conn.pipes[side].front().is_none_or(|(due, _)| *due > now) {
                return;
            }
            match conn.pipes[side].pop_front() {
                Some((_, Item::Open)) => {
                    conn.linked[side] = true;
                    self.give(to, Input::Linked(from, true));
                }
                Some((_, Item::Word { said, bytes })) => {
                    // One that is not linked yet hears nothing; the other has begun before it knows.
                    if conn.linked[side] {
                        self.give(to, Input::Heard { from, said, bytes });
                    }
                }
                Some((_, Item::Close)) => {
                    conn.closing = true;
                    self.lose(id, to);
                }
                None => return,
            }
        }
    }

    /// Ends a connection that the node made, after all that it said.
    fn part(&mut self, place: usize, to: usize) {
        let delay = self.delay(place, to);
        let now = self.now;
        let Some(id) = self.links.between(place, to) else { return };
        let Some(conn) = self.links.conns.get_mut(&id) else { return };
        if conn.ends[0] != place || conn.closing {
            return;
        }
        conn.closing = true;
        let due = conn.put(1, now + delay, Item::Close);
        self.at(due, Event::Arrive { conn: id, side: 1 });
    }

    /// A side finds the connection lost; the other does by that, or by its watchdog.
    fn lose(&mut self, id: u64, place: usize) {
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
            self.give(place, Input::Linked(other, false));
        }
        let life = self.nodes[place].life;
        if self.nodes[place].wants.contains(&other) {
            let again = self.random.random_range(100_000..SECOND);
            self.after(again, Event::Dial { node: place, life, to: other });
        }
        if over {
            return;
        }
        if self.cut(place, other) {
            let patience = self.patience();
            self.after(patience, Event::Watch { conn: id, side: 1 - side });
        } else {
            self.lose(id, other);
        }
    }

    fn patience(&mut self) -> Micros {
        self.random.random_range(self.plan.watchdog..2 * self.plan.watchdog)
    }

    /// A side has heard nothing for long, if that is still so.
    fn watch(&mut self, id: u64, side: usize) {
        let Some(conn) = self.links.conns.get(&id) else { return };
        let (from, to) = (conn.ends[1 - side], conn.ends[side]);
        if conn.lost[1 - side] || self.cut(from, to) || self.cut(to, from) || self.nodes[from].paused > 0 {
            self.lose(id, to);
        }
    }

    /// Ways were cut or are whole again.
    fn links_changed(&mut self) {
        for id in self.links.conns.keys().copied().collect::<Vec<_>>() {
            let Some(conn) = self.links.conns.get(&id) else { continue };
            let [a, b] = conn.ends;
            for (side, from, to) in [(0, b, a), (1, a, b)] {
                if self.cut(from, to) || self.nodes[from].paused > 0 {
                    let patience = self.patience();
                    self.after(patience, Event::Watch { conn: id, side });
                } else {
                    self.after(0, Event::Arrive { conn: id, side });
                }
            }
        }
    }

    // ---- Faults ----

    fn begin(&mut self, place: usize) {
        let Fault { kind, node, .. } = self.plan.faults[place];
        self.tell(|| format!("{kind:?} of n{node} begins"));
        self.active.insert(place);
        self.troubles += 1;
        if let Some(versions) = &mut self.versions {
            if matches!(kind, FaultKind::Pause | FaultKind::Rate | FaultKind::Jump) {
                versions.disturbed(node);
            }
        }
        match kind {
            FaultKind::Reset => {
                for conn in self.links.of(node) {
                    self.lose(conn, node);
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
                    self.tear(node);
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
                self.rearm(node);
            }
            FaultKind::Jump => {
                let jump = self.random.random_range(SECOND..60 * SECOND);
                let (now, rate) = (self.now, self.nodes[node].clock.rate);
                self.nodes[node].clock.set(now, rate, jump);
                self.rearm(node);
            }
            FaultKind::Flap => self.after(0, Event::Flap(place)),
            _ => self.links_changed(),
        }
    }

    fn end(&mut self, place: usize) {
        let Fault { kind, node, .. } = self.plan.faults[place];
        self.tell(|| format!("{kind:?} of n{node} ends"));
        self.active.remove(&place);
        self.troubles -= 1;
        self.quiet = self.now;
        match kind {
            FaultKind::Kill | FaultKind::DiskLost | FaultKind::StartBack | FaultKind::CopyTorn => {
                if self.nodes[node].part.is_none() && !self.down(node) {
                    self.start(node, kind == FaultKind::StartBack);
                }
            }
            FaultKind::ZoneKill => {
                for one in (0..self.nodes.len()).filter(|one| one % 3 == node % 3) {
                    if self.nodes[one].part.is_none() && !self.down(one) {
                        self.start(one, false);
                    }
                }
            }
            FaultKind::Pause => {
                self.nodes[node].paused -= 1;
                if self.nodes[node].paused == 0 {
                    self.wakes_up(node);
                }
            }
            FaultKind::Rate => {
                let now = self.now;
                self.nodes[node].clock.set(now, 1_000, 0);
                self.rearm(node);
            }
            FaultKind::Jump | FaultKind::Reset => {}
            _ => self.links_changed(),
        }
    }

    /// A process has turns again: what waited for it comes in order within a connection, in any order across.
    fn wakes_up(&mut self, node: usize) {
        let mut backlog = std::mem::take(&mut self.nodes[node].backlog);
        let salt: u64 = self.random.random();
        let key = |input: &Input| match input {
            Input::Linked(from, _) | Input::Heard { from, .. } => (*from as u64 + 1).wrapping_mul(salt | 1),
            Input::Found(_) => 0,
            _ => salt,
        };
        backlog.sort_by_key(key);
        for input in backlog {
            self.give(node, input);
        }
        self.rearm(node);
        self.links_changed();
    }

    fn rearm(&mut self, node: usize) {
        self.nodes[node].armed = None;
        let wake = self.nodes[node].part.as_ref().and_then(|part| part.wake());
        self.arm(node, wake);
    }

    // ---- The end ----

    fn be_calm(&mut self) {
        self.tell(|| "no more faults".to_owned());
        self.calm = Some(self.now);
        self.after(START_ANEW, Event::StartAnew);
        self.after(LAST_ORDERS, Event::LastOrders);
        if self.versions.is_some() {
            let change = START_ANEW.max(2 * self.plan.watchdog) + TALK;
            self.after(change, Event::LastChange);
        }
    }

    /// Looks at some views; at the end, whether all is whole.
    fn look(&mut self) {
        let count = self.nodes.len();
        let (every, views) = if count <= 16 { (200_000, 3) } else { (SECOND, 4) };
        self.after(every, Event::Look);
        let some: Vec<usize> = (0..views).map(|_| self.random.random_range(0..count)).collect();
        for node in some {
            let local = self.nodes[node].clock.local(self.now);
            if self.nodes[node].paused > 0 {
                continue;
            }
            let Some(shown) = self.nodes[node].part.as_ref().map(|part| part.members(local)) else {
                continue;
            };
            let calm = self.calm.map(|calm| calm + 2 * SECOND);
            let law = self.judge.members(self.now, (node, local), &shown, calm);
            self.holds(law);
        }
        self.look_at_versions();
        let (Some(calm), Some(last)) = (self.calm, &self.last) else { return };
        if !last.is_empty() && self.now <= calm + WHOLE {
            return;
        }
        let mut left = Vec::new();
        if !last.is_empty() {
            left.push(format!("no mark agreed at nodes {last:?}"));
        }
        let furthest = self.judge.furthest();
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
                left.push(format!("node {node} holds {} members for alive", shown["alive"]));
            }
            if self.judge.seen(node) < furthest {
                left.push(format!("node {node} has come to {} of {furthest}", self.judge.seen(node)));
            }
        }
        if self.versions.is_some() {
            left.extend(self.not_at_one());
            match self.last_change {
                None => left.push("no last change yet".to_owned()),
                Some((0, _)) => {}
                Some((number, _)) => left.push(format!("change {number} is not agreed")),
            }
        }
        if left.is_empty() && self.versions.is_some() && self.question != Some(true) {
            // All is whole: whoever is asked counts all.
            left.push("who has what in force was not told of all".to_owned());
            if self.question.is_none() || self.random.random_bool(0.2) {
                let node = self.random.random_range(0..count);
                self.give(node, Input::Question);
            }
        }
        if left.is_empty() {
            self.healed = Some(self.now - calm);
        } else if self.now > calm + WHOLE {
            self.breaks(format!("not whole {} s after the last fault: {}", WHOLE / SECOND, left.join("; ")));
        }
    }
}

/// The order of a number, and its text.
fn words(number: u32) -> (String, String) {
    (format!("order-{number}"), format!("text of {number}"))
}
