//! The laws, judged from what crosses the boundary of the parts alone.

use std::collections::{BTreeMap, BTreeSet};

use lemoncleat_agreement::{Entry, Found, Kept};
use serde::Deserialize;
use serde_json::Value;

use crate::Micros;

/// Marks that a node keeps: an order may be marked anew after as many others.
const KEPT: usize = 1_000;
/// How much younger a fact may look in calm: what its words were under way at all members it came through.
const UNDER_WAY: Micros = 1_000_000;

/// How often each law was tempted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Marks that an operator was told of as agreed.
    pub answered: u64,
    /// Marks not agreed in the time that an operator waits.
    pub late: u64,
    /// Entries that were agreed.
    pub agreed: u64,
    /// Entries that a node applied and another had before.
    pub applied: u64,
    /// Orders given while no voter could talk to a majority.
    pub without_quorum: u64,
    /// Promises of voters that were compared with their disks.
    pub promises: u64,
    /// Facts that were looked at again.
    pub facts: u64,
    /// Batches that were lost or refused.
    pub unstored: u64,
    /// Words that were said.
    pub words: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Counts {
    /// Adds those of another run.
    pub fn add(&mut self, other: &Counts) {
        self.answered += other.answered;
        self.late += other.late;
        self.agreed += other.agreed;
        self.applied += other.applied;
        self.without_quorum += other.without_quorum;
        self.promises += other.promises;
        self.facts += other.facts;
        self.unstored += other.unstored;
        self.words += other.words;
        self.bytes += other.bytes;
    }
}

/// How long a fact lives, and how exactly its age is told.
const LIFE: Micros = 60_000_000;
const AGE_TOLD: Micros = 10_000;

/// A law is broken, and how.
pub(super) type Broken = Result<(), String>;

pub(super) struct Judge {
    voters: usize,
    pub counts: Counts,
    /// When an order was first given, and its text.
    asked: BTreeMap<String, (Micros, String)>,
    answered: BTreeMap<String, u64>,
    /// What was agreed, by whoever came there first.
    log: BTreeMap<u64, (String, String)>,
    places: BTreeMap<String, u64>,
    /// How far each node has come since its start.
    seen: Vec<u64>,
    /// When the last word of the first voter that the second has heard was said.
    heard: BTreeMap<(usize, usize), Micros>,
    /// What each node showed last of each other's fact: its number and age, and when by its own clock.
    facts: BTreeMap<(usize, usize), (u64, u64, Micros)>,
    /// Whose starts went back: their facts' order isn't that of time.
    went_back: BTreeSet<usize>,
}

impl Judge {
    pub fn new(nodes: usize, voters: usize) -> Judge {
        Judge {
            voters,
            counts: Counts::default(),
            asked: BTreeMap::new(),
            answered: BTreeMap::new(),
            log: BTreeMap::new(),
            places: BTreeMap::new(),
            seen: vec![0; nodes],
            heard: BTreeMap::new(),
            facts: BTreeMap::new(),
            went_back: BTreeSet::new(),
        }
    }

    pub fn asks(&mut self, now: Micros, order: &str, text: &str) {
        self.asked.entry(order.to_owned()).or_insert_with(|| (now, text.to_owned()));
    }

    pub fn started(&mut self, node: usize, back: bool) {
        self.seen[node] = 0;
        self.facts.retain(|(observer, _), _| *observer != node);
        if back {
            self.went_back.insert(node);
        }
    }

    /// A voter heard what another said at a time.
    pub fn hears(&mut self, from: usize, to: usize, said: Micros) {
        if from < self.voters && to < self.voters {
            self.heard.insert((from, to), said);
        }
    }

    /// How far the node has come: marks after this are to be read.
    pub fn seen(&self, node: usize) -> u64 {
        self.seen[node]
    }

    /// The furthest that any node has come.
    pub fn furthest(&self) -> u64 {
        self.log.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// What the node shows after that.
    pub fn marks(&mut self, node: usize, shown: &Value) -> Broken {
        let upto = shown["index"].as_u64().unwrap_or(0);
        let after = self.seen[node];
        if upto == after {
            return Ok(());
        }
        if upto < after {
            return Err(format!("node {node} went back from entry {after} to {upto}"));
        }
        self.seen[node] = upto;
        let marks = shown["marks"].as_array().map(Vec::as_slice).unwrap_or_default();
        let mut first = after + 1;
        for mark in marks {
            let index = mark["index"].as_u64().unwrap_or(0);
            let told = |field: &str| mark[field].as_str().unwrap_or("").to_owned();
            let (order, text) = (told("order"), told("text"));
            if index < first || index > upto {
                return Err(format!("node {node} shows {order} at {index}, out of order"));
            }
            // Those that a node has already forgotten are not shown.
            let forgotten = marks.len() >= KEPT && first == after + 1;
            if let (Some((missed, what)), false) = (self.log.range(first..index).next(), forgotten) {
                return Err(format!("node {node} lacks {what:?} at {missed}"));
            }
            first = index + 1;
            match self.log.get(&index) {
                Some(known) if *known == (order.clone(), text.clone()) => self.counts.applied += 1,
                Some(known) => return Err(format!("node {node} shows {order} at {index}, others {known:?}")),
                None => self.agreed(node, index, order, text)?,
            }
        }
        match self.log.range(first..upto + 1).next() {
            Some((missed, what)) => Err(format!("node {node} lacks {what:?} at {missed}")),
            None => Ok(()),
        }
    }

    fn agreed(&mut self, node: usize, index: u64, order: String, text: String) -> Broken {
        let Some((since, asked)) = self.asked.get(&order) else {
            return Err(format!("{order} at {index} of node {node} was asked for by nobody"));
        };
        if *asked != text {
            return Err(format!("{order} at {index} of node {node} has another text: {text}"));
        }
        if index < self.furthest() && self.log.range(index..).count() < KEPT {
            return Err(format!("{order} at {index} of node {node}, others came past that without it"));
        }
        if let Some(before) = self.places.insert(order.clone(), index) {
            if self.log.range(before..).count() < KEPT {
                return Err(format!("{order} stands at {before} and at {index}"));
            }
        }
        let since = *since;
        if !self.quorum(since) {
            return Err(format!("{order} was agreed at {index} of node {node} without a quorum"));
        }
        self.counts.agreed += 1;
        self.log.insert(index, (order, text));
        Ok(())
    }

    /// To be agreed, it was said by one voter to a majority, and they answered, since it was asked for.
    pub fn quorum(&self, since: Micros) -> bool {
        let talked = |a: usize, b: usize| self.heard.get(&(a, b)).is_some_and(|said| *said >= since);
        let reaches =
            |voter: usize| (0..self.voters).filter(|to| talked(voter, *to) && talked(*to, voter)).count();
        (0..self.voters).any(|voter| reaches(voter) >= self.voters / 2)
    }

    /// A node answered an operator; its marks were read before.
    pub fn answer(&mut self, node: usize, answer: &Value) -> Broken {
        let order = answer["order"].as_str().unwrap_or("");
        let Some(index) = answer["index"].as_u64().filter(|_| answer["ok"] == true) else {
            self.counts.late += 1;
            return Ok(());
        };
        self.counts.answered += 1;
        if self.log.get(&index).is_none_or(|(known, _)| known != order) {
            return Err(format!("node {node} answers that {order} stands at {index}: it does not"));
        }
        match self.answered.insert(order.to_owned(), index) {
            Some(before) if before != index && self.log.range(before..).count() < KEPT => {
                Err(format!("{order} was answered with {before} and with {index}"))
            }
            _ => Ok(()),
        }
    }

    /// What a node shows of the members. The figure `calls` of each is the time at which it was set out; since when
    /// words are only as long under way as the links are long, if they are.
    pub fn members(
        &mut self,
        now: Micros,
        (node, local): (usize, Micros),
        shown: &Value,
        calm: Option<Micros>,
    ) -> Broken {
        for (origin, member) in shown["members"].as_array().into_iter().flatten().enumerate() {
            let origin =
                member["host"].as_str().and_then(|host| host.get(1..)?.parse().ok()).unwrap_or(origin);
            let (Some(calls), Some(age)) = (member["calls"].as_u64(), member["age_ms"].as_u64()) else {
                continue;
            };
            self.counts.facts += 1;
            if let Some((known, known_age, then)) = self.facts.insert((node, origin), (calls, age, local)) {
                if calls < known && !self.went_back.contains(&origin) {
                    return Err(format!("node {node} had a fact of {origin} of {known}, now one of {calls}"));
                }
                // A clock that jumped or ran fast ends a fact's life early; it may be learned again, and is younger.
                let lived = known_age as Micros * 1_000 + (local - then) + AGE_TOLD < LIFE;
                if calls == known && age < known_age && lived {
                    return Err(format!(
                        "the fact of {origin} at node {node} got younger: {known_age}, {age} ms"
                    ));
                }
            }
            let (out, age) = (calls as Micros, age as Micros * 1_000);
            if calm.is_some_and(|calm| out > calm) && age + UNDER_WAY < now - out {
                return Err(format!(
                    "node {node} shows a fact of {origin} as {age} us old: it is {} us",
                    now - out
                ));
            }
        }
        Ok(())
    }

    /// A word of a voter: what it promises must be on its disk by now. `number` gives each place's number in the log.
    pub fn promise(&mut self, node: usize, to: u64, own: u64, word: &[u8], disk: &Found) -> Broken {
        let Some(said) = engine_word(word) else { return Ok(()) };
        self.counts.promises += 1;
        let promise = disk.promise;
        let last = disk.entries.last().map_or(disk.trimmed.index, |entry| entry.at.index);
        let wrong = |what: &str| {
            Err(format!("node {node} {what} in term {}, its disk has {promise:?}, last {last}", said.term))
        };
        let asks_first = matches!(said.kind, Kind::RequestPreVote | Kind::RequestPreVoteResponse);
        if said.term > promise.term && !asks_first {
            return wrong("speaks");
        }
        if said.term < promise.term || said.reject {
            return Ok(());
        }
        match said.kind {
            Kind::RequestVoteResponse if promise.vote != to => wrong("gives a vote"),
            Kind::RequestVote if promise.vote != own => wrong("seeks votes"),
            Kind::AppendResponse if said.index > last => wrong(&format!("has entries to {}", said.index)),
            _ => Ok(()),
        }
    }
}

// ---- Words, as far as they are read: the judge's own account of their form ----

#[derive(Deserialize)]
#[allow(dead_code)]
struct Header {
    from: u32,
    incarnation: (u32, u32),
    you: Option<(Held, (u32, u32))>,
}

#[derive(Deserialize)]
#[allow(dead_code)]
enum Held {
    Alive,
    Suspect,
    Gone,
}

#[derive(Deserialize)]
#[allow(dead_code)]
enum Envelope {
    Ask,
    Answer(u64, bool),
    Engine(Said),
}

#[derive(Deserialize)]
#[allow(dead_code)]
struct Said {
    kind: Kind,
    term: u64,
    log_term: u64,
    index: u64,
    commit: u64,
    commit_term: u64,
    entries: Vec<Entry>,
    snapshot: Option<Kept>,
    reject: bool,
    reject_hint: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[allow(dead_code)]
enum Kind {
    Propose,
    Append,
    AppendResponse,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    Heartbeat,
    HeartbeatResponse,
    RequestPreVote,
    RequestPreVoteResponse,
}

/// The number of the body that carries another core's bytes, and of the errand that is the agreement's.
const DIRECT: u32 = 9;
const AGREEMENT: u32 = 0;

/// The errand that is the configuration's, and of its words the one that carries a part of a text.
const CONFIGURATION: u32 = 4;
const CHUNK: u32 = 4;

/// Where in a word the last byte of a text's part is, if it carries one.
pub(super) fn chunk_end(word: &[u8]) -> Option<usize> {
    let (_, rest) = postcard::take_from_bytes::<Header>(word).ok()?;
    let (body, rest) = postcard::take_from_bytes::<u32>(rest).ok()?;
    let (errand, after) = postcard::take_from_bytes::<&[u8]>(rest).ok().filter(|_| body == DIRECT)?;
    let (kind, rest) = postcard::take_from_bytes::<u32>(errand).ok()?;
    let bytes = postcard::from_bytes::<&[u8]>(rest).ok().filter(|_| kind == CONFIGURATION)?;
    let (said, _) = postcard::take_from_bytes::<u32>(bytes).ok()?;
    (said == CHUNK).then(|| word.len() - after.len() - 1)
}

fn engine_word(word: &[u8]) -> Option<Said> {
    let (_, rest) = postcard::take_from_bytes::<Header>(word).ok()?;
    let (body, rest) = postcard::take_from_bytes::<u32>(rest).ok()?;
    let (errand, _) = postcard::take_from_bytes::<&[u8]>(rest).ok().filter(|_| body == DIRECT)?;
    let (kind, rest) = postcard::take_from_bytes::<u32>(errand).ok()?;
    let bytes = postcard::from_bytes::<&[u8]>(rest).ok().filter(|_| kind == AGREEMENT)?;
    match postcard::from_bytes::<(u64, Envelope)>(bytes).ok()? {
        (_, Envelope::Engine(said)) => Some(said),
        _ => None,
    }
}
