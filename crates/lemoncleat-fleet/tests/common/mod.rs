//! Runs a fleet on a small seeded network under a virtual clock, and checks invariants at each step.
#![allow(dead_code, reason = "each test uses a part")]

use std::cmp::Reverse;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use lemoncleat_fleet::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const SECOND: Micros = 1_000_000;
pub const KIND: Kind = Kind(1);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize, u64),
    Message(usize, usize, Vec<u8>),
    Link(usize, usize),
    Unlink(usize, usize),
}

/// A fact's version, the negated latest time of its publication, and the serial number that the test gave it.
type Report = ((u64, u64), Micros, u64);

pub struct Net {
    pub now: Micros,
    pub nodes: Vec<Option<Fleet>>,
    /// All members, including those that are added later.
    pub members: Vec<Member>,
    /// Current members: the list for nodes that start, and the reference for checks.
    pub listed: BTreeSet<usize>,
    /// The list that each node has been given.
    given_lists: Vec<BTreeSet<usize>>,
    pub carrier: Transport,
    /// Shares of messages that are lost, duplicated, or delayed by up to two seconds.
    pub lost: f64,
    pub duplicated: f64,
    pub delayed: f64,
    /// Directed links, from sender to receiver, that drop all messages.
    pub cut: BTreeSet<(usize, usize)>,
    pub paused: BTreeMap<usize, Micros>,
    /// By how much the reported age of a fact may fall short of its real age.
    pub age_slack: Micros,
    pub log: Vec<(Micros, usize, Output)>,
    pub sent: (u64, u64),
    pub max_connections: usize,
    generations: Vec<u64>,
    /// Which nodes are connected, and which of them initiated the connection.
    links: BTreeMap<(usize, usize), usize>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    event_count: u64,
    serial: u64,
    seen: BTreeMap<(usize, u64, MemberId), Report>,
    states: BTreeMap<(usize, u64, MemberId), (u64, State)>,
    rng: SmallRng,
}

impl Net {
    pub fn new(size: usize, carrier: Transport, seed: u64) -> Net {
        Net::with_spares(size, 0, carrier, seed)
    }

    /// Creates a network in which the first nodes start, and the spares are not members yet.
    pub fn with_spares(first: usize, spares: usize, carrier: Transport, seed: u64) -> Net {
        let size = first + spares;
        let name = |at: usize| Member { name: format!("n{at}").into(), zone: format!("z{}", at % 3).into() };
        let mut net = Net {
            now: 0,
            nodes: (0..size).map(|_| None).collect(),
            members: (0..size).map(name).collect(),
            listed: (0..first).collect(),
            given_lists: vec![BTreeSet::new(); size],
            carrier,
            lost: 0.0,
            duplicated: 0.0,
            delayed: 0.0,
            cut: BTreeSet::new(),
            paused: BTreeMap::new(),
            age_slack: SECOND,
            log: Vec::new(),
            sent: (0, 0),
            max_connections: 0,
            generations: vec![0; size],
            links: BTreeMap::new(),
            queue: BinaryHeap::new(),
            event_count: 0,
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
        let settings = Settings::new(&self.members[at].name, self.member_list(&self.listed), self.carrier);
        self.given_lists[at] = self.listed.clone();
        self.nodes[at] = Some(Fleet::new(settings, start, self.rng.random()).expect("settings"));
        self.generations[at] += 1;
        self.turn(at, Input::Timeout);
    }

    pub fn member_list(&self, list: &BTreeSet<usize>) -> Vec<Member> {
        list.iter().map(|at| self.members[*at].clone()).collect()
    }

    /// Gives a node the current list of members. Its transport ends the connections with removed ones.
    pub fn update_members(&mut self, at: usize) {
        let list = self.listed.clone();
        if self.nodes[at].is_none() || !list.contains(&at) {
            return;
        }
        let removed: Vec<usize> = self.given_lists[at].difference(&list).copied().collect();
        for one in &removed {
            // What is received from it later is checked from the start again.
            let (generation, id) = (self.generations[at], self.id(*one));
            self.seen.remove(&(at, generation, id));
            self.states.remove(&(at, generation, id));
        }
        self.turn(at, Input::Members(self.member_list(&list)));
        self.given_lists[at] = list;
        for one in removed {
            if self.links.remove(&(at.min(one), at.max(one))).is_some() {
                self.push(0, Event::Unlink(at, one));
                self.push(20_000, Event::Unlink(one, at));
            }
        }
    }

    pub fn update_all_members(&mut self) {
        (0..self.nodes.len()).for_each(|at| self.update_members(at));
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at] = None;
        self.generations[at] += 1;
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
        self.event_count += 1;
        self.queue.push(Reverse((self.now + after, self.event_count, event)));
    }

    pub fn publish(&mut self, at: usize) {
        self.serial += 1;
        let bytes = [self.serial, self.now as u64].iter().flat_map(|n| n.to_be_bytes()).collect();
        self.turn(at, Input::Publish { kind: KIND, bytes });
    }

    /// Runs a node with an input and applies its outputs. An armed fault point may kill the node.
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
            let generation = self.generations[at];
            self.push((wake - now).max(1), Event::Wake(at, generation));
        }
        self.nodes[at] = Some(node);
        out.into_iter().for_each(|output| self.apply_output(at, output));
    }

    fn apply_output(&mut self, at: usize, output: Output) {
        let generation = self.generations[at];
        match &output {
            Output::Send { to, bytes } => {
                let limit = if self.carrier == Transport::Notes { 256 } else { 4_096 };
                assert!(bytes.len() <= limit, "invariant violated: a message of {} bytes", bytes.len());
                let to = self.at(*to);
                assert!(
                    self.given_lists[at].contains(&to),
                    "invariant violated: a message to a process that is not a member"
                );
                self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
                if !self.cut.contains(&(at, to)) && self.rng.random::<f64>() >= self.lost {
                    for _ in 0..1 + u32::from(self.rng.random::<f64>() < self.duplicated) {
                        let delayed = self.rng.random::<f64>() < self.delayed;
                        let delay = self.rng.random_range(500..if delayed { 2 * SECOND } else { 5_000 });
                        self.push(delay, Event::Message(at, to, bytes.clone()));
                    }
                }
                return;
            }
            Output::Connect(to) => {
                let to = self.at(*to);
                assert!(
                    self.given_lists[at].contains(&to),
                    "invariant violated: a connection to a process that is not a member"
                );
                return self.push(10_000, Event::Link(at, to));
            }
            Output::Disconnect(to) => {
                let to = self.at(*to);
                // A connection can only be ended by the node that initiated it, as in the real transport.
                let pair = (at.min(to), at.max(to));
                if self.links.get(&pair) == Some(&at) {
                    self.links.remove(&pair);
                    self.push(0, Event::Unlink(at, to));
                    self.push(20_000, Event::Unlink(to, at));
                }
                return;
            }
            Output::Fact(fact) => {
                let field =
                    |at: usize| u64::from_be_bytes(fact.bytes[at * 8..][..8].try_into().expect("8 bytes"));
                let (serial, real_age) = (field(0), self.now - field(1) as Micros);
                assert!(
                    fact.age <= real_age + 20_000,
                    "invariant violated: reported age {}, real age {real_age}",
                    fact.age
                );
                assert!(
                    fact.age + self.age_slack >= real_age,
                    "invariant violated: reported age {}, real age {real_age}",
                    fact.age
                );
                let (version, born) = ((fact.incarnation, fact.number), self.now - fact.age);
                let new = (version, -born, serial);
                let old = self.seen.insert((at, generation, fact.origin), new);
                let newer = |old: Report| old <= new && old.2 <= serial;
                assert!(old.is_none_or(newer), "invariant violated: {new:?} after {old:?}");
            }
            Output::State { member, state, incarnation } => {
                let new = (*incarnation, *state);
                let old = self.states.insert((at, generation, *member), new);
                assert!(old < Some(new), "invariant violated: {new:?} after {old:?}");
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
            self.handle_event(event);
            #[cfg(feature = "faults")]
            if let Some((fault, Some(node))) = lemoncleat_faults::scene::fired() {
                self.apply_fault(node, fault);
            }
        }
        self.now = until;
    }

    #[cfg(feature = "faults")]
    fn apply_fault(&mut self, node: usize, fault: lemoncleat_faults::Fault) {
        use lemoncleat_faults::Fault;
        let others: Vec<usize> = (0..self.nodes.len()).filter(|at| *at != node).collect();
        if fault == Fault::Pause {
            self.paused.insert(node, self.now + 40 * SECOND);
        }
        if matches!(fault, Fault::Cut | Fault::CutOut) {
            self.cut(&[node], &others);
        }
        if matches!(fault, Fault::Cut | Fault::CutIn) {
            self.cut(&others, &[node]);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let (Event::Wake(at, _) | Event::Message(_, at, _) | Event::Link(at, _) | Event::Unlink(at, _)) =
            event;
        if let Some(until) = self.paused.get(&at).copied() {
            if until > self.now {
                return self.push(until - self.now, event);
            }
            self.paused.remove(&at);
        }
        match event {
            Event::Wake(_, generation) => {
                let due = self.nodes[at].as_ref().and_then(Fleet::wake).is_some_and(|wake| wake <= self.now);
                if generation == self.generations[at] && due {
                    self.turn(at, Input::Timeout);
                }
            }
            Event::Message(from, ..) if self.cut.contains(&(from, at)) => {}
            Event::Message(from, _, bytes) => {
                let from = self.id(from);
                self.turn(at, Input::Received { from, bytes: &bytes });
            }
            Event::Link(_, to) => {
                let cut = self.cut.contains(&(at, to)) || self.cut.contains(&(to, at));
                let running = self.nodes[at].is_some() && self.nodes[to].is_some();
                let known = self.given_lists[at].contains(&to) && self.given_lists[to].contains(&at);
                if running && known && !cut && !self.paused.contains_key(&to) {
                    let pair = (at.min(to), at.max(to));
                    if let Entry::Vacant(link) = self.links.entry(pair) {
                        link.insert(at);
                        let degree =
                            |at| self.links.keys().filter(|link| link.0 == at || link.1 == at).count();
                        self.max_connections = self.max_connections.max(degree(at)).max(degree(to));
                    }
                    self.turn(at, Input::Linked(self.id(to)));
                    self.turn(to, Input::Linked(self.id(at)));
                }
            }
            Event::Unlink(_, from) => self.turn(at, Input::Unlinked(self.id(from))),
        }
    }

    /// Ends the connections over a cut link, as the watchdogs do.
    pub fn break_cut_links(&mut self) {
        for (one, other) in self.links.keys().copied().collect::<Vec<_>>() {
            if self.cut.contains(&(one, other)) || self.cut.contains(&(other, one)) {
                self.links.remove(&(one, other));
                self.push(1, Event::Unlink(one, other));
                self.push(1, Event::Unlink(other, one));
            }
        }
    }

    /// Returns the state in which `viewer` holds `at`.
    pub fn state_of(&self, viewer: usize, at: usize) -> State {
        let mut members = self.nodes[viewer].as_ref().expect("running").members();
        members.find(|(id, ..)| *id == self.id(at)).expect("a member").2
    }

    /// Counts the pairs of nodes that hold a wrong state or fact of each other.
    pub fn disagreements(&self) -> usize {
        let running: Vec<usize> =
            self.listed.iter().copied().filter(|at| self.nodes[*at].is_some()).collect();
        let ids: BTreeSet<MemberId> = running.iter().map(|at| self.id(*at)).collect();
        let newest = |node: &Fleet| -> Vec<_> {
            let mut facts: Vec<_> =
                node.facts(self.now, KIND).map(|fact| (fact.origin, fact.bytes)).collect();
            facts.sort();
            facts
        };
        let own = |at: &usize| newest(self.nodes[*at].as_ref().expect("running"));
        let mut all: Vec<_> =
            running.iter().flat_map(|at| own(at).into_iter().filter(|fact| fact.0 == self.id(*at))).collect();
        all.sort();
        let errors = |node: &Fleet| {
            let states = node.members().filter(|(id, _, state, _)| {
                *state != if ids.contains(id) { State::Alive } else { State::Gone }
            });
            let given_lists = node.members().count() != self.listed.len();
            states.count() + usize::from(given_lists) + usize::from(newest(node) != all)
        };
        running.iter().map(|at| errors(self.nodes[*at].as_ref().expect("running"))).sum()
    }

    /// Runs until no node holds a wrong state or fact. Returns how long that took.
    pub fn settle(&mut self, limit: Micros) -> Option<Micros> {
        let began = self.now;
        while self.disagreements() > 0 {
            if self.now - began >= limit {
                return None;
            }
            self.run(SECOND / 10);
        }
        Some(self.now - began)
    }
}
