//! A fleet on a small seeded network under a virtual clock, which checks the laws at each step.
#![allow(dead_code, reason = "each test uses a part")]

use std::cmp::Reverse;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use lemoncleat_fleet::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const S: Micros = 1_000_000;
pub const KIND: Kind = Kind(1);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize, u64),
    Message(usize, usize, Vec<u8>),
    Link(usize, usize),
    Unlink(usize, usize),
}

/// A fact's version, how long ago it was set out at least, and the test's own number of it.
type Report = ((u64, u64), Micros, u64);

pub struct Net {
    pub now: Micros,
    pub nodes: Vec<Option<Fleet>>,
    /// All that ever are members.
    pub members: Vec<Member>,
    /// Those that are now, for nodes that start and for what is right.
    pub listed: BTreeSet<usize>,
    /// Those that each node knows of.
    lists: Vec<BTreeSet<usize>>,
    pub carrier: Carrier,
    /// Share of messages lost, delivered twice, or held back for up to two seconds.
    pub lost: f64,
    pub twice: f64,
    pub held: f64,
    /// From whom to whom nothing gets through.
    pub cut: BTreeSet<(usize, usize)>,
    pub paused: BTreeMap<usize, Micros>,
    /// How much younger than it is a fact may be told to be.
    pub slack: Micros,
    pub log: Vec<(Micros, usize, Output)>,
    pub told: (u64, u64),
    pub busiest: usize,
    lives: Vec<u64>,
    /// Which ends are connected, and which of them dialled.
    links: BTreeMap<(usize, usize), usize>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
    serial: u64,
    seen: BTreeMap<(usize, u64, MemberId), Report>,
    states: BTreeMap<(usize, u64, MemberId), (u64, State)>,
    rng: SmallRng,
}

impl Net {
    pub fn new(size: usize, carrier: Carrier, seed: u64) -> Net {
        Net::with_spares(size, 0, carrier, seed)
    }

    /// So many nodes that start, and some that are no members yet.
    pub fn with_spares(first: usize, spares: usize, carrier: Carrier, seed: u64) -> Net {
        let size = first + spares;
        let name = |at: usize| Member { name: format!("n{at}").into(), zone: format!("z{}", at % 3).into() };
        let mut net = Net {
            now: 0,
            nodes: (0..size).map(|_| None).collect(),
            members: (0..size).map(name).collect(),
            listed: (0..first).collect(),
            lists: vec![BTreeSet::new(); size],
            carrier,
            lost: 0.0,
            twice: 0.0,
            held: 0.0,
            cut: BTreeSet::new(),
            paused: BTreeMap::new(),
            slack: S,
            log: Vec::new(),
            told: (0, 0),
            busiest: 0,
            lives: vec![0; size],
            links: BTreeMap::new(),
            queue: BinaryHeap::new(),
            count: 0,
            serial: 0,
            seen: BTreeMap::new(),
            states: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        (0..first).for_each(|at| net.start(at, 100));
        net
    }

    pub fn id(&self, at: usize) -> MemberId {
        MemberId::of(&self.members[at].name)
    }

    fn at(&self, id: MemberId) -> usize {
        (0..self.members.len()).find(|at| self.id(*at) == id).expect("a member")
    }

    pub fn start(&mut self, at: usize, start: u32) {
        let settings = Settings::new(&self.members[at].name, self.those(&self.listed), self.carrier);
        self.lists[at] = self.listed.clone();
        self.nodes[at] = Some(Fleet::new(settings, start, self.rng.random()).expect("settings"));
        self.lives[at] += 1;
        self.turn(at, Input::Timeout);
    }

    pub fn those(&self, list: &BTreeSet<usize>) -> Vec<Member> {
        list.iter().map(|at| self.members[*at].clone()).collect()
    }

    /// A node learns which members there are now. Its carrier ends the connections with those that went.
    pub fn change(&mut self, at: usize) {
        let list = self.listed.clone();
        if self.nodes[at].is_none() || !list.contains(&at) {
            return;
        }
        let went: Vec<usize> = self.lists[at].difference(&list).copied().collect();
        for one in &went {
            // What is heard of it later begins anew.
            let (life, id) = (self.lives[at], self.id(*one));
            self.seen.remove(&(at, life, id));
            self.states.remove(&(at, life, id));
        }
        self.turn(at, Input::Members(self.those(&list)));
        self.lists[at] = list;
        for one in went {
            if self.links.remove(&(at.min(one), at.max(one))).is_some() {
                self.push(0, Event::Unlink(at, one));
                self.push(20_000, Event::Unlink(one, at));
            }
        }
    }

    pub fn change_all(&mut self) {
        (0..self.nodes.len()).for_each(|at| self.change(at));
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at] = None;
        self.lives[at] += 1;
        self.paused.remove(&at);
        for (one, other) in self.links.keys().copied().collect::<Vec<_>>() {
            if one == at || other == at {
                self.links.remove(&(one, other));
                self.push(1_000, Event::Unlink(one + other - at, at));
            }
        }
    }

    /// Cuts links in the direction given; connections end some seconds later, as watchdogs end them.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        self.cut.extend(from.iter().flat_map(|from| to.iter().map(|to| (*from, *to))));
    }

    fn push(&mut self, after: Micros, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((self.now + after, self.count, event)));
    }

    pub fn publish(&mut self, at: usize) {
        self.serial += 1;
        let bytes = [self.serial, self.now as u64].iter().flat_map(|n| n.to_be_bytes()).collect();
        self.turn(at, Input::Publish { kind: KIND, bytes });
    }

    /// One turn of a node, with what becomes of it. Under armed points it may end there.
    pub fn turn(&mut self, at: usize, input: Input<'_>) {
        let Some(mut node) = self.nodes[at].take() else { return };
        let (now, mut out) = (self.now, Vec::new());
        #[cfg(feature = "faults")]
        {
            lemoncleat_faults::scene::turn(at);
            let turn = std::panic::AssertUnwindSafe(|| node.handle(now, input, &mut out));
            if let Err(cause) = std::panic::catch_unwind(turn) {
                if cause.downcast_ref::<lemoncleat_faults::scene::Killed>().is_none() {
                    std::panic::resume_unwind(cause);
                }
                return self.kill(at);
            }
        }
        #[cfg(not(feature = "faults"))]
        node.handle(now, input, &mut out);
        if let Some(wake) = node.wake() {
            let life = self.lives[at];
            self.push((wake - now).max(1), Event::Wake(at, life));
        }
        self.nodes[at] = Some(node);
        out.into_iter().for_each(|output| self.carry_out(at, output));
    }

    fn carry_out(&mut self, at: usize, output: Output) {
        let life = self.lives[at];
        match &output {
            Output::Tell { to, bytes } => {
                let most = if self.carrier == Carrier::Notes { 256 } else { 4_096 };
                assert!(bytes.len() <= most, "law: a message of {} bytes", bytes.len());
                let to = self.at(*to);
                assert!(self.lists[at].contains(&to), "law: a word for one that is no member");
                self.told = (self.told.0 + 1, self.told.1 + bytes.len() as u64);
                if !self.cut.contains(&(at, to)) && self.rng.random::<f64>() >= self.lost {
                    for _ in 0..1 + u32::from(self.rng.random::<f64>() < self.twice) {
                        let held = self.rng.random::<f64>() < self.held;
                        let delay = self.rng.random_range(500..if held { 2 * S } else { 5_000 });
                        self.push(delay, Event::Message(at, to, bytes.clone()));
                    }
                }
                return;
            }
            Output::Meet(to) => {
                let to = self.at(*to);
                assert!(self.lists[at].contains(&to), "law: a connection to one that is no member");
                return self.push(10_000, Event::Link(at, to));
            }
            Output::Part(to) => {
                let to = self.at(*to);
                // A connection that the other has dialled is its own to end, as the carrier has it.
                let pair = (at.min(to), at.max(to));
                if self.links.get(&pair) == Some(&at) {
                    self.links.remove(&pair);
                    self.push(0, Event::Unlink(at, to));
                    self.push(20_000, Event::Unlink(to, at));
                }
                return;
            }
            Output::Fact(fact) => {
                let word =
                    |at: usize| u64::from_be_bytes(fact.bytes[at * 8..][..8].try_into().expect("ours"));
                let (serial, real) = (word(0), self.now - word(1) as Micros);
                assert!(fact.age <= real + 20_000, "law: an age of {} that is {real}", fact.age);
                assert!(fact.age + self.slack >= real, "law: an age of {} that is {real}", fact.age);
                let (version, born) = ((fact.incarnation, fact.number), self.now - fact.age);
                let new = (version, -born, serial);
                let old = self.seen.insert((at, life, fact.origin), new);
                let newer = |old: Report| old <= new && old.2 <= serial;
                assert!(old.is_none_or(newer), "law: {new:?} after {old:?}");
            }
            Output::State { member, state, incarnation } => {
                let new = (*incarnation, *state);
                let old = self.states.insert((at, life, *member), new);
                assert!(old < Some(new), "law: {new:?} after {old:?}");
            }
            Output::Direct { .. } | Output::Notice(_) => {}
        }
        self.log.push((self.now, at, output));
    }

    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.queue.peek().is_some_and(|next| next.0 .0 <= until) {
            let Reverse((at, _, event)) = self.queue.pop().expect("peeked");
            self.now = at;
            self.step(event);
            #[cfg(feature = "faults")]
            if let Some((fault, Some(whose))) = lemoncleat_faults::scene::fired() {
                self.suffer(whose, fault);
            }
        }
        self.now = until;
    }

    #[cfg(feature = "faults")]
    fn suffer(&mut self, whose: usize, fault: lemoncleat_faults::Fault) {
        use lemoncleat_faults::Fault;
        let others: Vec<usize> = (0..self.nodes.len()).filter(|at| *at != whose).collect();
        if fault == Fault::Pause {
            self.paused.insert(whose, self.now + 40 * S);
        }
        if matches!(fault, Fault::Cut | Fault::CutOut) {
            self.cut(&[whose], &others);
        }
        if matches!(fault, Fault::Cut | Fault::CutIn) {
            self.cut(&others, &[whose]);
        }
    }

    fn step(&mut self, event: Event) {
        let (Event::Wake(at, _) | Event::Message(_, at, _) | Event::Link(at, _) | Event::Unlink(at, _)) =
            event;
        if let Some(until) = self.paused.get(&at).copied() {
            if until > self.now {
                return self.push(until - self.now, event);
            }
            self.paused.remove(&at);
        }
        match event {
            Event::Wake(_, life) => {
                let due = self.nodes[at].as_ref().and_then(Fleet::wake).is_some_and(|wake| wake <= self.now);
                if life == self.lives[at] && due {
                    self.turn(at, Input::Timeout);
                }
            }
            Event::Message(from, ..) if self.cut.contains(&(from, at)) => {}
            Event::Message(from, _, bytes) => {
                let from = self.id(from);
                self.turn(at, Input::Heard { from, bytes: &bytes });
            }
            Event::Link(_, to) => {
                let cut = self.cut.contains(&(at, to)) || self.cut.contains(&(to, at));
                let there = self.nodes[at].is_some() && self.nodes[to].is_some();
                let known = self.lists[at].contains(&to) && self.lists[to].contains(&at);
                if there && known && !cut && !self.paused.contains_key(&to) {
                    let pair = (at.min(to), at.max(to));
                    if let Entry::Vacant(link) = self.links.entry(pair) {
                        link.insert(at);
                        let degree =
                            |at| self.links.keys().filter(|link| link.0 == at || link.1 == at).count();
                        self.busiest = self.busiest.max(degree(at)).max(degree(to));
                    }
                    self.turn(at, Input::Linked(self.id(to)));
                    self.turn(to, Input::Linked(self.id(at)));
                }
            }
            Event::Unlink(_, from) => self.turn(at, Input::Unlinked(self.id(from))),
        }
    }

    /// The watchdogs' work: connections whose ends can't both be heard end.
    pub fn break_cut_links(&mut self) {
        for (one, other) in self.links.keys().copied().collect::<Vec<_>>() {
            if self.cut.contains(&(one, other)) || self.cut.contains(&(other, one)) {
                self.links.remove(&(one, other));
                self.push(1, Event::Unlink(one, other));
                self.push(1, Event::Unlink(other, one));
            }
        }
    }

    /// What `viewer` holds of `at`.
    pub fn view(&self, viewer: usize, at: usize) -> State {
        let mut members = self.nodes[viewer].as_ref().expect("there").members();
        members.find(|(id, ..)| *id == self.id(at)).expect("a member").2
    }

    /// How many pairs of nodes hold something wrong of each other, state or fact.
    pub fn wrong(&self) -> usize {
        let there: Vec<usize> = self.listed.iter().copied().filter(|at| self.nodes[*at].is_some()).collect();
        let ids: BTreeSet<MemberId> = there.iter().map(|at| self.id(*at)).collect();
        let newest = |node: &Fleet| -> Vec<_> {
            let mut facts: Vec<_> =
                node.facts(self.now, KIND).map(|fact| (fact.origin, fact.bytes)).collect();
            facts.sort();
            facts
        };
        let own = |at: &usize| newest(self.nodes[*at].as_ref().expect("there"));
        let mut all: Vec<_> =
            there.iter().flat_map(|at| own(at).into_iter().filter(|fact| fact.0 == self.id(*at))).collect();
        all.sort();
        let right = |node: &Fleet| {
            let states = node.members().filter(|(id, _, state, _)| {
                *state != if ids.contains(id) { State::Alive } else { State::Gone }
            });
            let lists = node.members().count() != self.listed.len();
            states.count() + usize::from(lists) + usize::from(newest(node) != all)
        };
        there.iter().map(|at| right(self.nodes[*at].as_ref().expect("there"))).sum()
    }

    /// Runs until nobody holds anything wrong; how long that took.
    pub fn settle(&mut self, most: Micros) -> Option<Micros> {
        let began = self.now;
        while self.wrong() > 0 {
            if self.now - began >= most {
                return None;
            }
            self.run(S / 10);
        }
        Some(self.now - began)
    }
}
