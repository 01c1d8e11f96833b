//! Simulates distributors in a network with a virtual clock and a modelled log, and checks invariants at each
//! step.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use lemoncleat_configuration::{
    pack, roles, Answer, Calls, Command, Distributor, Input, Ledger, Member, Micros, Notice, Output, Settings,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub enum Event {
    Message {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Applied {
        node: usize,
        incarnation: u32,
        step: u64,
        number: u64,
        result: Result<(), String>,
    },
    Persisted {
        node: usize,
        incarnation: u32,
        bytes: Vec<u8>,
    },
    Commit {
        by: usize,
        command: Vec<u8>,
    },
    Link {
        one: usize,
        other: usize,
    },
    /// Voters apply committed commands, and a missing leader is elected.
    Round,
    Wake(usize),
}

pub struct Node {
    pub core: Option<Distributor>,
    pub incarnation: u32,
    pub disk: Option<Vec<u8>>,
    pub in_force: u64,
    /// The step of the node when that version came in force.
    pub in_force_step: u64,
    pub ready_at: Option<Micros>,
    pub started_at: Micros,
    /// Refuses texts that contain "new".
    pub rejects_new: bool,
    /// Bytes that this node serves in state of the text that it holds.
    pub false_chunk: Option<Vec<u8>>,
    /// Never answers fetches.
    pub ignores_fetches: bool,
    /// The call counters. A third of the calls is lost while a text that contains "lossy" is in force.
    pub calls: Calls,
    pub text: String,
    pub notices: Vec<Notice>,
    ledger: Ledger,
    applied: usize,
    step: u64,
    wake: Micros,
}

pub struct Net {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub members: Vec<Member>,
    pub voters: Vec<usize>,
    pub links: BTreeSet<(usize, usize)>,
    pub open_links: BTreeSet<(usize, usize)>,
    /// The partition of each node; all in the same one while there is no cut.
    pub partition: Vec<u8>,
    pub loss: f64,
    pub leader: Option<usize>,
    pub log: Vec<Vec<u8>>,
    /// The ledger that results from the log.
    pub reference: Ledger,
    pub texts: BTreeMap<u64, String>,
    pub promoted: BTreeSet<u64>,
    pub answers: Vec<(usize, u64, Answer)>,
    pub violation: Option<String>,
    /// Recorded messages, to be delivered again later.
    pub recorded: Vec<(usize, usize, Vec<u8>)>,
    pub record: bool,
    /// The source of all random choices.
    pub rng: SmallRng,
    events: BTreeMap<(Micros, u64), Event>,
    next: u64,
    conn: u64,
    calls_at: Micros,
}

impl Net {
    pub fn new(count: usize, seed: u64) -> Net {
        let mut rng = SmallRng::seed_from_u64(seed);
        let zones = (count / 6).clamp(1, 8);
        let member = |at: usize| Member { id: at as u32, zone: format!("z{}", at % zones).into() };
        let mut links = BTreeSet::new();
        for one in 0..count {
            for other in [(one + 1) % count, rng.random_range(0..count), rng.random_range(0..count)] {
                if one != other {
                    links.insert((one.min(other), one.max(other)));
                }
            }
        }
        let mut net = Net {
            now: 0,
            nodes: Vec::new(),
            members: (0..count).map(member).collect(),
            voters: if count >= 20 { vec![0, 1, 2, 3, 4] } else { vec![0, 1, 2] },
            links,
            open_links: BTreeSet::new(),
            partition: vec![0; count],
            loss: 0.0,
            leader: None,
            log: Vec::new(),
            reference: Ledger::default(),
            texts: BTreeMap::new(),
            promoted: BTreeSet::new(),
            answers: Vec::new(),
            violation: None,
            recorded: Vec::new(),
            record: false,
            rng,
            events: BTreeMap::new(),
            next: 0,
            conn: 0,
            calls_at: 0,
        };
        for _ in 0..count {
            net.nodes.push(Node {
                core: None,
                incarnation: 0,
                disk: None,
                in_force: 0,
                in_force_step: 0,
                ready_at: None,
                started_at: 0,
                rejects_new: false,
                false_chunk: None,
                ignores_fetches: false,
                calls: Calls::default(),
                text: String::new(),
                notices: Vec::new(),
                ledger: Ledger::default(),
                applied: 0,
                step: 0,
                wake: Micros::MAX,
            });
        }
        (0..count).for_each(|node| net.start(node));
        net.after(0, Event::Round);
        net
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.next += 1;
        self.events.insert((self.now + span, self.next), event);
    }

    fn check(&mut self, holds: bool, describe: impl FnOnce() -> String) {
        if !holds && self.violation.is_none() {
            self.violation = Some(format!("at {} ms: {}", self.now / MS, describe()));
        }
    }

    pub fn connected(&self, one: usize, other: usize) -> bool {
        let alive = |node: usize| self.nodes[node].core.is_some();
        self.partition[one] == self.partition[other] && alive(one) && alive(other)
    }

    fn majority(&self, voter: usize) -> bool {
        self.voters.iter().filter(|other| self.connected(voter, **other)).count() * 2 > self.voters.len()
    }

    // ---- Faults ----

    pub fn start(&mut self, node: usize) {
        let settings = Settings {
            own: node as u32,
            members: self.members.clone(),
            voters: self.voters.iter().map(|voter| *voter as u32).collect(),
            round: SECOND,
        };
        let seed = self.rng.random();
        let state = &mut self.nodes[node];
        state.core = Some(Distributor::new(settings, seed));
        (state.in_force, state.in_force_step, state.step) = (0, 0, 0);
        (state.ready_at, state.started_at, state.wake) = (None, self.now, Micros::MAX);
        state.text = String::new();
        let disk = state.disk.clone();
        self.input(node, Input::Loaded(Ok(disk)));
        if self.voters.contains(&node) {
            let ledger = self.nodes[node].ledger.clone();
            self.input(node, Input::Ledger(&ledger));
        }
        self.relink(node);
    }

    fn relink(&mut self, node: usize) {
        for (one, other) in self.links.clone() {
            if one == node || other == node {
                let span = self.rng.random_range(1..500) * MS;
                self.after(span, Event::Link { one, other });
            }
        }
    }

    pub fn kill(&mut self, node: usize, disk: bool) {
        let state = &mut self.nodes[node];
        state.core = None;
        state.incarnation += 1;
        state.in_force = 0;
        if !disk {
            state.disk = None;
            state.ledger = Ledger::default();
            state.applied = 0;
        }
        for (one, other) in self.open_links.clone() {
            if one == node || other == node {
                self.unlink(one, other);
            }
        }
    }

    fn unlink(&mut self, one: usize, other: usize) {
        if self.open_links.remove(&(one, other)) {
            self.input(one, Input::Disconnected(other as u32));
            self.input(other, Input::Disconnected(one as u32));
        }
    }

    pub fn cut_links(&mut self, partition: Vec<u8>) {
        self.partition = partition;
        for (one, other) in self.open_links.clone() {
            if self.partition[one] != self.partition[other] {
                self.unlink(one, other);
            }
        }
    }

    pub fn heal(&mut self) {
        self.partition = vec![0; self.nodes.len()];
        for (one, other) in self.links.clone() {
            let span = self.rng.random_range(1..2_000) * MS;
            self.after(span, Event::Link { one, other });
        }
    }

    // ---- Operators ----

    pub fn change(&mut self, node: usize, order: &str, parent: u64, text: &str) {
        self.conn += 1;
        let conn = self.conn;
        self.input(node, Input::Change { conn, order, parent, text });
    }

    /// Sends a change on the settled version through this node.
    pub fn change_settled(&mut self, node: usize, order: &str, text: &str) {
        let parent = self.settled();
        self.change(node, order, parent, text);
    }

    pub fn query(&mut self, node: usize) {
        self.conn += 1;
        let conn = self.conn;
        self.input(node, Input::Query { conn });
    }

    pub fn settled(&self) -> u64 {
        self.reference.announcement().settled.map_or(0, |version| version.number)
    }

    pub fn canaries(&self) -> BTreeSet<u32> {
        let trial = self.reference.announcement().trial;
        trial.map_or_else(BTreeSet::new, |trial| roles(&self.members, &trial.digest).0)
    }

    pub fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.after(MS, Event::Message { from, to, bytes });
    }

    // ---- Running ----

    pub fn input(&mut self, node: usize, input: Input<'_>) {
        let now = self.now;
        let state = &mut self.nodes[node];
        let Some(core) = &mut state.core else { return };
        let mut out = Vec::new();
        core.handle(now, input, &mut out);
        let step = core.announcement().step;
        let wake = core.wake().unwrap_or(Micros::MAX);
        let wakes_at_once = wake <= now;
        let wake = wake.max(now + 1);
        let before = std::mem::replace(&mut state.step, step);
        if wake < state.wake || state.wake <= now {
            state.wake = wake;
            self.after(wake - now, Event::Wake(node));
        }
        self.check(!wakes_at_once, || format!("node {node} asks to be woken at once again"));
        self.check(step >= before, || format!("node {node} went from step {before} to {step}"));
        for output in out {
            self.output(node, output);
        }
    }

    fn output(&mut self, node: usize, output: Output) {
        let incarnation = self.nodes[node].incarnation;
        match output {
            Output::Send { to, bytes } => {
                let to = to as usize;
                let linked = self.open_links.contains(&(node.min(to), node.max(to)));
                if self.record {
                    self.recorded.push((node, to, bytes.clone()));
                }
                let direct = self.voters.contains(&to) || self.voters.contains(&node);
                let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
                // `Chunk` and `Lacks`, the answers to `Fetch`, have the tags 4 and 5.
                let withheld = self.nodes[node].ignores_fetches && matches!(bytes.first(), Some(4 | 5));
                if (linked || direct) && !lost && !withheld {
                    let span = self.rng.random_range(1..30) * MS;
                    let bytes = self.tampered(node, bytes);
                    self.after(span, Event::Message { from: node, to, bytes });
                }
            }
            Output::Apply { number, text } => {
                let known = if number == 0 { Some("") } else { self.texts.get(&number).map(String::as_str) };
                let agreed = known == Some(text.as_str());
                self.check(agreed, || format!("node {node} applies {number}, a text that was not agreed"));
                let state = &self.nodes[node];
                let goes_back = number < state.in_force && state.step <= state.in_force_step;
                self.check(!goes_back, || format!("node {node} goes back to {number} without a higher step"));
                let digest = lemoncleat_configuration::Digest::of(text.as_bytes());
                let may_apply = number == 0
                    || self.promoted.contains(&number)
                    || roles(&self.members, &digest).0.contains(&(node as u32));
                self.check(may_apply, || format!("node {node} applies {number} but is not a canary"));
                let usable = !(self.nodes[node].rejects_new && text.contains("new"));
                let result = if usable { Ok(()) } else { Err("field new is unknown\nline 1".to_owned()) };
                let step = self.nodes[node].step;
                let span = self.rng.random_range(1..20) * MS;
                self.after(span, Event::Applied { node, incarnation, step, number, result });
            }
            Output::Persist(bytes) => {
                let span = self.rng.random_range(1..100) * MS;
                self.after(span, Event::Persisted { node, incarnation, bytes });
            }
            Output::Ready => {
                let twice = self.nodes[node].ready_at.is_some();
                self.check(!twice, || format!("node {node} reported ready twice"));
                self.nodes[node].ready_at = Some(self.now);
            }
            Output::Propose(command) => {
                let span = self.rng.random_range(5..40) * MS;
                self.after(span, Event::Commit { by: node, command });
            }
            Output::Answer { conn, answer } => self.answers.push((node, conn, answer)),
            Output::Notice(notice) => self.nodes[node].notices.push(notice),
        }
    }

    /// Replaces the first chunk of a text served by a node with `false_chunk`: tag 4, number below 128,
    /// offset 0, length, bytes.
    fn tampered(&self, node: usize, bytes: Vec<u8>) -> Vec<u8> {
        match (&self.nodes[node].false_chunk, bytes.as_slice()) {
            (Some(false_chunk), [4, number, 0, ..]) => {
                let mut message = vec![4, *number, 0];
                let length = false_chunk.len();
                assert!(length < 128 * 128, "the length is encoded in two bytes");
                if length < 128 {
                    message.push(length as u8);
                } else {
                    message.extend([(length % 128) as u8 | 128, (length / 128) as u8]);
                }
                message.extend(false_chunk);
                message
            }
            _ => bytes,
        }
    }

    fn commit(&mut self, by: usize, command: Vec<u8>) {
        let Some(leader) = self.leader else { return };
        if !self.connected(by, leader) || !self.majority(leader) {
            return;
        }
        let before = self.reference.announcement();
        self.log.push(command.clone());
        self.reference.apply(self.log.len() as u64, &command);
        let after = self.reference.announcement();
        let decoded: Command = postcard::from_bytes(&command).expect("a command of a node");
        if let (Command::Change { parent, packed, .. }, true) = (decoded, after != before) {
            let number = after.trial.expect("a change starts a trial").number;
            let held = before.settled.map_or(0, |version| version.number);
            let on_settled = parent == held && before.trial.is_none();
            self.check(on_settled, || {
                format!("version {number} was accepted on {parent} beside another one")
            });
            let text = lemoncleat_configuration::unpack(&packed).expect("packed by a node");
            let twice = self.texts.get(&number).is_some_and(|held| *held != text);
            self.check(!twice, || format!("two texts under number {number}"));
            self.texts.insert(number, text);
        }
        if after.settled != before.settled {
            let number = self.settled();
            let node = |id: &u32| &self.nodes[*id as usize];
            let text = self.texts[&number].clone();
            let (canaries, _) = roles(&self.members, &after.settled.expect("settled").digest);
            let refuses = |id: &u32| {
                self.connected(*id as usize, leader) && node(id).rejects_new && text.contains("new")
            };
            let refused = self.loss == 0.0 && canaries.iter().any(refuses);
            self.check(!refused, || format!("version {number} was promoted although a canary refused it"));
            self.promoted.insert(number);
        }
    }

    fn round(&mut self) {
        self.after(50 * MS, Event::Round);
        let has_majority = |net: &Net, voter: usize| net.nodes[voter].core.is_some() && net.majority(voter);
        let leader = self.leader.filter(|leader| has_majority(self, *leader));
        if leader.is_none() {
            let former = self.leader.take();
            if let Some(voter) = former {
                self.input(voter, Input::Leading(false));
            }
            // An election takes some rounds.
            let candidates: Vec<usize> =
                self.voters.iter().copied().filter(|voter| has_majority(self, *voter)).collect();
            if !candidates.is_empty() && self.rng.random_bool(0.1) {
                let leader = candidates[self.rng.random_range(0..candidates.len())];
                self.leader = Some(leader);
                self.apply(leader);
                self.input(leader, Input::Leading(true));
            }
        }
        for voter in self.voters.clone() {
            if has_majority(self, voter) && self.leader.is_some() {
                self.apply(voter);
            }
        }
        if self.calls_at <= self.now {
            self.calls_at = self.now + 250 * MS;
            for node in 0..self.nodes.len() {
                let state = &mut self.nodes[node];
                state.calls.calls += 12;
                state.calls.refused += 1;
                state.calls.lost += if state.text.contains("lossy") { 4 } else { 0 };
                let calls = state.calls;
                self.input(node, Input::Calls(calls));
            }
        }
    }

    fn apply(&mut self, voter: usize) {
        while self.nodes[voter].applied < self.log.len() {
            let state = &mut self.nodes[voter];
            let command = self.log[state.applied].clone();
            state.applied += 1;
            let index = state.applied as u64;
            state.ledger.apply(index, &command);
            let ledger = state.ledger.clone();
            self.input(voter, Input::Ledger(&ledger));
        }
    }

    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until || self.violation.is_some() {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.event(event);
        }
        self.now = until;
    }

    pub fn run_until(&mut self, span: Micros, reached: impl Fn(&Net) -> bool) -> bool {
        let until = self.now + span;
        while self.now < until && !reached(self) {
            self.run(10 * MS);
        }
        reached(self)
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Message { from, to, bytes } => {
                if self.connected(from, to) {
                    self.input(to, Input::Received { from: from as u32, bytes: &bytes });
                }
            }
            Event::Applied { node, incarnation, step, number, result } => {
                let state = &mut self.nodes[node];
                if state.incarnation != incarnation {
                    return;
                }
                if result.is_ok() {
                    state.in_force = number;
                    state.in_force_step = step;
                    state.text = self.texts.get(&number).cloned().unwrap_or_default();
                }
                self.input(node, Input::Applied { number, result });
            }
            Event::Persisted { node, incarnation, bytes } => {
                // After a kill during the write the file holds either the old or the new bytes, never a
                // mixture.
                let state = &mut self.nodes[node];
                if state.incarnation == incarnation || self.rng.random_bool(0.5) {
                    state.disk = Some(bytes);
                }
                if self.nodes[node].incarnation == incarnation {
                    self.input(node, Input::Persisted(Ok(())));
                }
            }
            Event::Commit { by, command } => self.commit(by, command),
            Event::Link { one, other } => {
                if self.connected(one, other) && self.open_links.insert((one, other)) {
                    self.input(one, Input::Connected(other as u32));
                    self.input(other, Input::Connected(one as u32));
                }
            }
            Event::Round => self.round(),
            Event::Wake(node) => {
                let due = self.nodes[node].wake <= self.now;
                if due {
                    self.nodes[node].wake = Micros::MAX;
                    self.input(node, Input::Timeout);
                }
            }
        }
    }

    // ---- Results ----

    /// Returns whether no version is under trial, and all running nodes that accept the settled version have
    /// it in force.
    pub fn converged(&self) -> bool {
        let settled = self.settled();
        let new = self.texts.get(&settled).is_some_and(|text| text.contains("new"));
        let at = |node: &Node| node.core.is_none() || node.in_force == settled || (node.rejects_new && new);
        self.reference.announcement().trial.is_none() && self.nodes.iter().all(at)
    }

    /// Checks that the nodes converge within 10 s and that no invariant was violated.
    pub fn check_converges(&mut self) -> Result<(), String> {
        let from = self.now;
        let converged = self.run_until(10 * SECOND, Net::converged);
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let held: Vec<_> = self.nodes.iter().map(|node| (node.in_force, node.step)).collect();
        let describe = || {
            let reference = self.reference.announcement();
            format!("not converged after {} ms: {reference:?}, {held:?}", from / MS)
        };
        converged.then_some(()).ok_or_else(describe)
    }

    pub fn answered(&self, order: &str) -> Option<Result<u64, String>> {
        self.answers.iter().find_map(|(_, _, answer)| match answer {
            Answer::Agreed { order: of, number } if of == order => Some(Ok(*number)),
            Answer::Refused { order: of, error } if of == order => Some(Err(error.clone())),
            _ => None,
        })
    }
}

/// Returns a text of at least this length that depends on name and seed.
pub fn text(name: &str, seed: u64, bytes: usize) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text = format!("(classes {name})\n");
    while text.len() < bytes {
        text.push_str(&format!("(server \"cs{:06x}\")\n", rng.random_range(0..0x100_0000)));
    }
    text
}

/// Returns a network in which version 1 is in force at all nodes.
pub fn settled(count: usize, seed: u64) -> Result<Net, String> {
    let mut net = Net::new(count, seed);
    net.run(3 * SECOND);
    net.change_settled(count - 1, "first", &text("first", seed, 2_000));
    net.run(100 * MS);
    net.run_until(10 * SECOND, |net| net.settled() == 1);
    net.check_converges()?;
    if net.settled() != 1 {
        return Err("the first version did not settle".to_owned());
    }
    net.run(SECOND);
    Ok(net)
}

/// Returns a text and the packed bytes of another text of the same packed length.
pub fn texts_of_equal_packed_length(seed: u64) -> (String, Vec<u8>) {
    let one = text("twin", seed, 400);
    let length = pack(&one).expect("a text").len();
    let others = (1..).map(|other| text("twin", seed + other, 400)).map(|text| pack(&text).expect("a text"));
    let false_chunk =
        others.take(10_000).find(|packed| packed.len() == length).expect("a text of that length");
    (one, false_chunk)
}
