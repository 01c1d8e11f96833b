//! A run: everything in one queue of events under one clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

use lemoncleat_agreement::{Batch, Found};
use lemoncleat_commons::{Figures, Part, Said, Seat, Settings};
use lemoncleat_fleet::{Member, MemberId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::judge::{Broken, Judge};
use super::links::{Item, Links};
use super::plan::{Fault, FaultKind, Plan};
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

/// What comes to a process.
#[derive(Debug)]
enum Input {
    Turn,
    Linked(usize, bool),
    Heard { from: usize, said: Micros, bytes: Vec<u8> },
    Stored(u64, Result<(), String>),
    Order(u32),
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
        };
        let nodes = (0..plan.nodes).map(node).collect();
        Run {
            plan,
            told,
            now: 0,
            steps: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            number: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            members: (0..plan.nodes).map(member).collect(),
            nodes,
            links: Links::default(),
            active: BTreeSet::new(),
            judge: Judge::new(plan.nodes, plan.voters),
            finding: None,
            calm: None,
            last: None,
            healed: None,
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
            Event::Look => self.look(),
            Event::Calm => self.be_calm(),
            Event::StartAnew => {
                let node = self.random.random_range(0..self.nodes.len());
                self.tell(|| format!("n{node} is started anew"));
                self.kill(node);
                self.start(node, false);
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
            configuration: false,
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
                    part.timeout(local, Figures { calls: now as u64, ..Figures::default() }, &mut said);
                }
                Input::Linked(to, linked) => part.linked(local, *to, *linked, &mut said),
                Input::Heard { from, bytes, .. } => part.heard(local, *from, bytes, &mut said),
                Input::Stored(batch, result) => part.stored(local, *batch, result.clone(), &mut said),
                Input::Order(number) => {
                    let (order, text) = words(*number);
                    part.mark(local, u64::from(*number), &order, &text, &mut said);
                }
            }
            part
        }));
        let Ok(part) = turn else { return self.breaks(format!("node {place} panics at {input:?}")) };
        // One that is no voter learns by words alone.
        let may_have_learned = place < self.plan.voters || matches!(input, Input::Heard { .. });
        let shown = may_have_learned.then(|| part.marks(self.judge.seen(place))).flatten();
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
            other => self.tell(|| format!("n{place} {other:?}")),
        }
        if let Some(shown) = shown {
            let law = self.judge.marks(place, &shown);
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

    fn word(&mut self, place: usize, to: usize, bytes: Vec<u8>) {
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
        match kind {
            FaultKind::Reset => {
                for conn in self.links.of(node) {
                    self.lose(conn, node);
                }
            }
            FaultKind::Kill | FaultKind::DiskLost | FaultKind::StartBack => {
                self.kill(node);
                if kind == FaultKind::DiskLost && node < self.plan.voters {
                    self.nodes[node].disk = Some(Found::new(self.random.random()));
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
        match kind {
            FaultKind::Kill | FaultKind::DiskLost | FaultKind::StartBack => {
                let killed = |kind| self.has(kind, node);
                let still =
                    killed(FaultKind::Kill) || killed(FaultKind::DiskLost) || killed(FaultKind::StartBack);
                if self.nodes[node].part.is_none() && !still {
                    self.start(node, kind == FaultKind::StartBack);
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
            Input::Turn | Input::Stored(..) | Input::Order(_) => salt,
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
