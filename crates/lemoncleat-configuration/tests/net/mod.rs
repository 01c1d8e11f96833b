//! Distributors in a small network under a virtual clock, with a modelled log, and the laws that hold at each step.
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
    Word {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Configured {
        node: usize,
        life: u32,
        step: u64,
        number: u64,
        result: Result<(), String>,
    },
    Kept {
        node: usize,
        life: u32,
        bytes: Vec<u8>,
    },
    Decide {
        by: usize,
        command: Vec<u8>,
    },
    Link {
        one: usize,
        other: usize,
    },
    /// Voters apply what was decided; a leader is found.
    Round,
    Wake(usize),
}

pub struct Node {
    pub core: Option<Distributor>,
    pub life: u32,
    pub disk: Option<Vec<u8>>,
    pub in_force: u64,
    /// The step held when that came in force.
    pub since: u64,
    pub settled_at: Option<Micros>,
    pub started_at: Micros,
    /// Can't use texts with "new" in them.
    pub old: bool,
    /// Serves another text than it holds.
    pub lies: Option<Vec<u8>>,
    /// Never answers one who fetches.
    pub silent: bool,
    /// Of calls, this share in a hundred is lost while it has a text with "lossy" in it.
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
    pub up: BTreeSet<(usize, usize)>,
    /// Which side of a cut; all on one without.
    pub side: Vec<u8>,
    pub loss: f64,
    pub leader: Option<usize>,
    pub log: Vec<Vec<u8>>,
    /// What the log makes.
    pub truth: Ledger,
    pub texts: BTreeMap<u64, String>,
    pub everyone: BTreeSet<u64>,
    pub answers: Vec<(usize, u64, Answer)>,
    pub broken: Option<String>,
    /// Words on their way that are kept to be said again later.
    pub recorded: Vec<(usize, usize, Vec<u8>)>,
    pub record: bool,
    /// Commands decided by each voter's proposals are dropped by it before it answers.
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
            up: BTreeSet::new(),
            side: vec![0; count],
            loss: 0.0,
            leader: None,
            log: Vec::new(),
            truth: Ledger::default(),
            texts: BTreeMap::new(),
            everyone: BTreeSet::new(),
            answers: Vec::new(),
            broken: None,
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
                life: 0,
                disk: None,
                in_force: 0,
                since: 0,
                settled_at: None,
                started_at: 0,
                old: false,
                lies: None,
                silent: false,
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

    fn law(&mut self, holds: bool, told: impl FnOnce() -> String) {
        if !holds && self.broken.is_none() {
            self.broken = Some(format!("at {} ms: {}", self.now / MS, told()));
        }
    }

    pub fn reach(&self, one: usize, other: usize) -> bool {
        let alive = |node: usize| self.nodes[node].core.is_some();
        self.side[one] == self.side[other] && alive(one) && alive(other)
    }

    fn majority(&self, voter: usize) -> bool {
        self.voters.iter().filter(|other| self.reach(voter, **other)).count() * 2 > self.voters.len()
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
        let place = &mut self.nodes[node];
        place.core = Some(Distributor::new(settings, seed));
        (place.in_force, place.since, place.step) = (0, 0, 0);
        (place.settled_at, place.started_at, place.wake) = (None, self.now, Micros::MAX);
        place.text = String::new();
        let disk = place.disk.clone();
        self.tell(node, Input::Found(Ok(disk)));
        if self.voters.contains(&node) {
            let ledger = self.nodes[node].ledger.clone();
            self.tell(node, Input::Ledger(&ledger));
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
        let place = &mut self.nodes[node];
        place.core = None;
        place.life += 1;
        place.in_force = 0;
        if !disk {
            place.disk = None;
            place.ledger = Ledger::default();
            place.applied = 0;
        }
        for (one, other) in self.up.clone() {
            if one == node || other == node {
                self.unlink(one, other);
            }
        }
    }

    fn unlink(&mut self, one: usize, other: usize) {
        if self.up.remove(&(one, other)) {
            self.tell(one, Input::Unlinked(other as u32));
            self.tell(other, Input::Unlinked(one as u32));
        }
    }

    pub fn cut(&mut self, side: Vec<u8>) {
        self.side = side;
        for (one, other) in self.up.clone() {
            if self.side[one] != self.side[other] {
                self.unlink(one, other);
            }
        }
    }

    pub fn heal(&mut self) {
        self.side = vec![0; self.nodes.len()];
        for (one, other) in self.links.clone() {
            let span = self.rng.random_range(1..2_000) * MS;
            self.after(span, Event::Link { one, other });
        }
    }

    // ---- Operators ----

    pub fn change(&mut self, node: usize, order: &str, parent: u64, text: &str) {
        self.conn += 1;
        let conn = self.conn;
        self.tell(node, Input::Change { conn, order, parent, text });
    }

    /// A change on the version in force, at this node.
    pub fn next(&mut self, node: usize, order: &str, text: &str) {
        let parent = self.settled();
        self.change(node, order, parent, text);
    }

    pub fn ask(&mut self, node: usize) {
        self.conn += 1;
        let conn = self.conn;
        self.tell(node, Input::Query { conn });
    }

    pub fn settled(&self) -> u64 {
        self.truth.announcement().settled.map_or(0, |version| version.number)
    }

    pub fn canaries(&self) -> BTreeSet<u32> {
        let trial = self.truth.announcement().trial;
        trial.map_or_else(BTreeSet::new, |trial| roles(&self.members, &trial.digest).0)
    }

    pub fn say(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.after(MS, Event::Word { from, to, bytes });
    }

    // ---- Running ----

    pub fn tell(&mut self, node: usize, input: Input<'_>) {
        let now = self.now;
        let place = &mut self.nodes[node];
        let Some(core) = &mut place.core else { return };
        let mut out = Vec::new();
        core.handle(now, input, &mut out);
        let step = core.announcement().step;
        let wake = core.wake().unwrap_or(Micros::MAX);
        let spins = wake <= now;
        let wake = wake.max(now + 1);
        let before = std::mem::replace(&mut place.step, step);
        if wake < place.wake || place.wake <= now {
            place.wake = wake;
            self.after(wake - now, Event::Wake(node));
        }
        self.law(!spins, || format!("node {node} wants a turn again at once"));
        self.law(step >= before, || format!("node {node} went from step {before} to {step}"));
        for output in out {
            self.output(node, output);
        }
    }

    fn output(&mut self, node: usize, output: Output) {
        let life = self.nodes[node].life;
        match output {
            Output::Tell { to, bytes } => {
                let to = to as usize;
                let linked = self.up.contains(&(node.min(to), node.max(to)));
                if self.record {
                    self.recorded.push((node, to, bytes.clone()));
                }
                let direct = self.voters.contains(&to) || self.voters.contains(&node);
                let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
                // Fetch and chunk are the words 3 and 4.
                let mute = self.nodes[node].silent && matches!(bytes.first(), Some(4 | 5));
                if (linked || direct) && !lost && !mute {
                    let span = self.rng.random_range(1..30) * MS;
                    let bytes = self.falsified(node, bytes);
                    self.after(span, Event::Word { from: node, to, bytes });
                }
            }
            Output::Try { number, text } => {
                let known = if number == 0 { Some("") } else { self.texts.get(&number).map(String::as_str) };
                let agreed = known == Some(text.as_str());
                self.law(agreed, || format!("node {node} tries {number}, a text that was not agreed"));
                let place = &self.nodes[node];
                let back = number < place.in_force && place.step <= place.since;
                self.law(!back, || format!("node {node} goes back to {number} without a step"));
                let digest = lemoncleat_configuration::Digest::of(text.as_bytes());
                let first = number == 0
                    || self.everyone.contains(&number)
                    || roles(&self.members, &digest).0.contains(&(node as u32));
                self.law(first, || format!("node {node} tries {number} and is no canary"));
                let usable = !(self.nodes[node].old && text.contains("new"));
                let result = if usable { Ok(()) } else { Err("field new is unknown\nline 1".to_owned()) };
                let step = self.nodes[node].step;
                let span = self.rng.random_range(1..20) * MS;
                self.after(span, Event::Configured { node, life, step, number, result });
            }
            Output::Keep(bytes) => {
                let span = self.rng.random_range(1..100) * MS;
                self.after(span, Event::Kept { node, life, bytes });
            }
            Output::Settled => {
                let twice = self.nodes[node].settled_at.is_some();
                self.law(!twice, || format!("node {node} settled twice"));
                self.nodes[node].settled_at = Some(self.now);
            }
            Output::Propose(command) => {
                let span = self.rng.random_range(5..40) * MS;
                self.after(span, Event::Decide { by: node, command });
            }
            Output::Answer { conn, answer } => self.answers.push((node, conn, answer)),
            Output::Notice(notice) => self.nodes[node].notices.push(notice),
        }
    }

    /// What a liar says in place of a chunk: the word 4, a number below 128, where, how long, what.
    fn falsified(&self, node: usize, bytes: Vec<u8>) -> Vec<u8> {
        match (&self.nodes[node].lies, bytes.as_slice()) {
            (Some(lie), [4, number, 0, ..]) => {
                let mut word = vec![4, *number, 0];
                let length = lie.len();
                assert!(length < 128 * 128, "two bytes of length");
                if length < 128 {
                    word.push(length as u8);
                } else {
                    word.extend([(length % 128) as u8 | 128, (length / 128) as u8]);
                }
                word.extend(lie);
                word
            }
            _ => bytes,
        }
    }

    fn decide(&mut self, by: usize, command: Vec<u8>) {
        let Some(leader) = self.leader else { return };
        if !self.reach(by, leader) || !self.majority(leader) {
            return;
        }
        let before = self.truth.announcement();
        self.log.push(command.clone());
        self.truth.apply(self.log.len() as u64, &command);
        let after = self.truth.announcement();
        let decoded: Command = postcard::from_bytes(&command).expect("our own command");
        if let (Command::Change { parent, packed, .. }, true) = (decoded, after != before) {
            let number = after.trial.expect("a change begins a trial").number;
            let held = before.settled.map_or(0, |version| version.number);
            let alone = parent == held && before.trial.is_none();
            self.law(alone, || format!("version {number} was taken on {parent} beside another"));
            let text = lemoncleat_configuration::unpack(&packed).expect("packed by a node");
            let twice = self.texts.get(&number).is_some_and(|held| *held != text);
            self.law(!twice, || format!("two texts under number {number}"));
            self.texts.insert(number, text);
        }
        if after.settled != before.settled {
            let number = self.settled();
            let node = |id: &u32| &self.nodes[*id as usize];
            let text = self.texts[&number].clone();
            let (canaries, _) = roles(&self.members, &after.settled.expect("settled").digest);
            let refuses = |id: &u32| self.reach(*id as usize, leader) && node(id).old && text.contains("new");
            let refused = self.loss == 0.0 && canaries.iter().any(refuses);
            self.law(!refused, || format!("version {number} goes to all though a canary refused it"));
            self.everyone.insert(number);
        }
    }

    fn round(&mut self) {
        self.after(50 * MS, Event::Round);
        let stands = |net: &Net, voter: usize| net.nodes[voter].core.is_some() && net.majority(voter);
        let leads = self.leader.filter(|leader| stands(self, *leader));
        if leads.is_none() {
            let lost = self.leader.take();
            if let Some(voter) = lost {
                self.tell(voter, Input::Leading(false));
            }
            // An election takes a while.
            let able: Vec<usize> = self.voters.iter().copied().filter(|voter| stands(self, *voter)).collect();
            if !able.is_empty() && self.rng.random_bool(0.1) {
                let leader = able[self.rng.random_range(0..able.len())];
                self.leader = Some(leader);
                self.apply(leader);
                self.tell(leader, Input::Leading(true));
            }
        }
        for voter in self.voters.clone() {
            if stands(self, voter) && self.leader.is_some() {
                self.apply(voter);
            }
        }
        if self.calls_at <= self.now {
            self.calls_at = self.now + 250 * MS;
            for node in 0..self.nodes.len() {
                let place = &mut self.nodes[node];
                place.calls.calls += 12;
                place.calls.refused += 1;
                place.calls.lost += if place.text.contains("lossy") { 4 } else { 0 };
                let calls = place.calls;
                self.tell(node, Input::Calls(calls));
            }
        }
    }

    fn apply(&mut self, voter: usize) {
        while self.nodes[voter].applied < self.log.len() {
            let place = &mut self.nodes[voter];
            let command = self.log[place.applied].clone();
            place.applied += 1;
            let index = place.applied as u64;
            place.ledger.apply(index, &command);
            let ledger = place.ledger.clone();
            self.tell(voter, Input::Ledger(&ledger));
        }
    }

    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until || self.broken.is_some() {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.event(event);
        }
        self.now = until;
    }

    pub fn run_till(&mut self, span: Micros, reached: impl Fn(&Net) -> bool) -> bool {
        let until = self.now + span;
        while self.now < until && !reached(self) {
            self.run(10 * MS);
        }
        reached(self)
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Word { from, to, bytes } => {
                if self.reach(from, to) {
                    self.tell(to, Input::Heard { from: from as u32, bytes: &bytes });
                }
            }
            Event::Configured { node, life, step, number, result } => {
                let place = &mut self.nodes[node];
                if place.life != life {
                    return;
                }
                if result.is_ok() {
                    place.in_force = number;
                    place.since = step;
                    place.text = self.texts.get(&number).cloned().unwrap_or_default();
                }
                self.tell(node, Input::Configured { number, result });
            }
            Event::Kept { node, life, bytes } => {
                // Killed while it stored: the file is the old one or the new one, whole.
                let place = &mut self.nodes[node];
                if place.life == life || self.rng.random_bool(0.5) {
                    place.disk = Some(bytes);
                }
                if self.nodes[node].life == life {
                    self.tell(node, Input::Kept(Ok(())));
                }
            }
            Event::Decide { by, command } => self.decide(by, command),
            Event::Link { one, other } => {
                if self.reach(one, other) && self.up.insert((one, other)) {
                    self.tell(one, Input::Linked(other as u32));
                    self.tell(other, Input::Linked(one as u32));
                }
            }
            Event::Round => self.round(),
            Event::Wake(node) => {
                let due = self.nodes[node].wake <= self.now;
                if due {
                    self.nodes[node].wake = Micros::MAX;
                    self.tell(node, Input::Timeout);
                }
            }
        }
    }

    // ---- Ends ----

    /// Whether all that run and can use it have the settled version in force, and nothing is under trial.
    pub fn at_one(&self) -> bool {
        let settled = self.settled();
        let new = self.texts.get(&settled).is_some_and(|text| text.contains("new"));
        let at = |node: &Node| node.core.is_none() || node.in_force == settled || (node.old && new);
        self.truth.announcement().trial.is_none() && self.nodes.iter().all(at)
    }

    /// The laws, and that all are at one within 10 s from now.
    pub fn ends_well(&mut self) -> Result<(), String> {
        let from = self.now;
        let at_one = self.run_till(10 * SECOND, Net::at_one);
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
        }
        let held: Vec<_> = self.nodes.iter().map(|node| (node.in_force, node.step)).collect();
        let told = || {
            let truth = self.truth.announcement();
            format!("not at one from {} ms on: {truth:?}, {held:?}", from / MS)
        };
        at_one.then_some(()).ok_or_else(told)
    }

    pub fn answered(&self, order: &str) -> Option<Result<u64, String>> {
        self.answers.iter().find_map(|(_, _, answer)| match answer {
            Answer::Agreed { order: of, number } if of == order => Some(Ok(*number)),
            Answer::Refused { order: of, error } if of == order => Some(Err(error.clone())),
            _ => None,
        })
    }
}

/// A text of some length, and of its own.
pub fn text(name: &str, seed: u64, bytes: usize) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text = format!("(classes {name})\n");
    while text.len() < bytes {
        text.push_str(&format!("(server \"cs{:06x}\")\n", rng.random_range(0..0x100_0000)));
    }
    text
}

/// A net with version 1 in force at all.
pub fn settled(count: usize, seed: u64) -> Result<Net, String> {
    let mut net = Net::new(count, seed);
    net.run(3 * SECOND);
    net.next(count - 1, "first", &text("first", seed, 2_000));
    net.run(100 * MS);
    net.run_till(10 * SECOND, |net| net.settled() == 1);
    net.ends_well()?;
    if net.settled() != 1 {
        return Err("the first version did not settle".to_owned());
    }
    net.run(SECOND);
    Ok(net)
}

/// Two texts that differ and pack to the same length.
pub fn twins(seed: u64) -> (String, Vec<u8>) {
    let one = text("twin", seed, 400);
    let length = pack(&one).expect("a text").len();
    let others = (1..).map(|other| text("twin", seed + other, 400)).map(|text| pack(&text).expect("a text"));
    let lie = others.take(10_000).find(|packed| packed.len() == length).expect("one of that length");
    (one, lie)
}
