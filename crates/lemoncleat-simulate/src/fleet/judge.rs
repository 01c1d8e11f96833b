//! Checks the fleet's invariants using only what crosses the boundary of the parts.

use std::collections::{BTreeMap, BTreeSet};

use lemoncleat_agreement::{Entry, Found, Kept};
use serde::Deserialize;
use serde_json::Value;

use crate::Micros;

/// Marks that a node keeps: an order may be marked again after as many others.
const MARKS_KEPT: usize = 1_000;
/// How much younger than its true age a fact may look once the faults are over: the time that messages take
/// through all members that relay the fact.
const MAX_RELAY_TIME_US: Micros = 1_000_000;

/// How often each invariant was put to the test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Marks that were reported to an operator as agreed.
    pub answered: u64,
    /// Marks not agreed within the time that an operator waits.
    pub late: u64,
    /// Entries that were agreed.
    pub agreed: u64,
    /// Entries that a node applied and another node had applied before.
    pub applied: u64,
    /// Orders given while no voter could reach a majority.
    pub without_quorum: u64,
    /// Promises of voters that were compared with the voters' disks.
    pub promises: u64,
    /// Facts that were checked.
    pub facts: u64,
    /// Batches that a disk lost or refused.
    pub unstored: u64,
    /// Messages that were sent.
    pub words: u64,
    /// Bytes of these messages.
    pub bytes: u64,
}

impl Counts {
    /// Adds the counts of another run.
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

/// Lifetime of a fact, and the resolution of the age that is reported for it.
const FACT_LIFETIME_US: Micros = 60_000_000;
const AGE_RESOLUTION_US: Micros = 10_000;

/// Result of a check; the error says which invariant is broken and how.
pub(super) type CheckResult = Result<(), String>;

pub(super) struct Checker {
    voters: usize,
    pub counts: Counts,
    /// When an order was first given, and its text.
    submitted: BTreeMap<String, (Micros, String)>,
    answered: BTreeMap<String, u64>,
    /// Agreed entries by index, as shown by the first node that applied them: order and text.
    log: BTreeMap<u64, (String, String)>,
    index_of: BTreeMap<String, u64>,
    /// The index up to which each node has applied entries since its start.
    applied: Vec<u64>,
    /// When the last message that the second voter received from the first was sent.
    last_heard: BTreeMap<(usize, usize), Micros>,
    /// The last fact of each origin that each node showed: its number and age, and the node's clock time
    /// then.
    facts: BTreeMap<(usize, usize), (u64, u64, Micros)>,
    /// Nodes whose start number went back: the order of their facts is not that of time.
    start_went_back: BTreeSet<usize>,
}

impl Checker {
    pub fn new(nodes: usize, voters: usize) -> Checker {
        Checker {
            voters,
            counts: Counts::default(),
            submitted: BTreeMap::new(),
            answered: BTreeMap::new(),
            log: BTreeMap::new(),
            index_of: BTreeMap::new(),
            applied: vec![0; nodes],
            last_heard: BTreeMap::new(),
            facts: BTreeMap::new(),
            start_went_back: BTreeSet::new(),
        }
    }

    pub fn order_submitted(&mut self, now: Micros, order: &str, text: &str) {
        self.submitted.entry(order.to_owned()).or_insert_with(|| (now, text.to_owned()));
    }

    pub fn node_started(&mut self, node: usize, back: bool) {
        self.applied[node] = 0;
        self.facts.retain(|(observer, _), _| *observer != node);
        if back {
            self.start_went_back.insert(node);
        }
    }

    /// Records that a voter received a message that another sent at `sent_at`.
    pub fn message_received(&mut self, from: usize, to: usize, sent_at: Micros) {
        if from < self.voters && to < self.voters {
            self.last_heard.insert((from, to), sent_at);
        }
    }

    /// Returns the index up to which the node has applied entries: later marks are to be read.
    pub fn applied_index(&self, node: usize) -> u64 {
        self.applied[node]
    }

    /// Returns the highest index that any node has applied.
    pub fn highest_index(&self) -> u64 {
        self.log.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Checks the marks that the node shows after its applied index.
    pub fn check_marks(&mut self, node: usize, shown: &Value) -> CheckResult {
        let upto = shown["index"].as_u64().unwrap_or(0);
        let after = self.applied[node];
        if upto == after {
            return Ok(());
        }
        if upto < after {
            return Err(format!("node {node} went back from entry {after} to {upto}"));
        }
        self.applied[node] = upto;
        let marks = shown["marks"].as_array().map(Vec::as_slice).unwrap_or_default();
        let mut first = after + 1;
        for mark in marks {
            let index = mark["index"].as_u64().unwrap_or(0);
            let text_of = |field: &str| mark[field].as_str().unwrap_or("").to_owned();
            let (order, text) = (text_of("order"), text_of("text"));
            if index < first || index > upto {
                return Err(format!("node {node} shows {order} at {index}, out of order"));
            }
            // Marks that the node has already dropped are not shown.
            let forgotten = marks.len() >= MARKS_KEPT && first == after + 1;
            if let (Some((missed, what)), false) = (self.log.range(first..index).next(), forgotten) {
                return Err(format!("node {node} lacks {what:?} at {missed}"));
            }
            first = index + 1;
            match self.log.get(&index) {
                Some(known) if *known == (order.clone(), text.clone()) => self.counts.applied += 1,
                Some(known) => return Err(format!("node {node} shows {order} at {index}, others {known:?}")),
                None => self.check_new_entry(node, index, order, text)?,
            }
        }
        match self.log.range(first..upto + 1).next() {
            Some((missed, what)) => Err(format!("node {node} lacks {what:?} at {missed}")),
            None => Ok(()),
        }
    }

    fn check_new_entry(&mut self, node: usize, index: u64, order: String, text: String) -> CheckResult {
        let Some((since, submitted)) = self.submitted.get(&order) else {
            return Err(format!("{order} at {index} of node {node} was asked for by nobody"));
        };
        if *submitted != text {
            return Err(format!("{order} at {index} of node {node} has another text: {text}"));
        }
        if index < self.highest_index() && self.log.range(index..).count() < MARKS_KEPT {
            return Err(format!("{order} at {index} of node {node}, others came past that without it"));
        }
        if let Some(before) = self.index_of.insert(order.clone(), index) {
            if self.log.range(before..).count() < MARKS_KEPT {
                return Err(format!("{order} stands at {before} and at {index}"));
            }
        }
        let since = *since;
        if !self.had_quorum(since) {
            return Err(format!("{order} was agreed at {index} of node {node} without a quorum"));
        }
        self.counts.agreed += 1;
        self.log.insert(index, (order, text));
        Ok(())
    }

    /// Whether an entry requested at `since` can have been agreed: since then one voter must have sent
    /// messages to a majority and received answers.
    pub fn had_quorum(&self, since: Micros) -> bool {
        let heard_since =
            |a: usize, b: usize| self.last_heard.get(&(a, b)).is_some_and(|sent_at| *sent_at >= since);
        let reaches = |voter: usize| {
            (0..self.voters).filter(|to| heard_since(voter, *to) && heard_since(*to, voter)).count()
        };
        (0..self.voters).any(|voter| reaches(voter) >= self.voters / 2)
    }

    /// Checks a node's answer to an operator; the node's marks are read before.
    pub fn check_answer(&mut self, node: usize, answer: &Value) -> CheckResult {
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
            Some(before) if before != index && self.log.range(before..).count() < MARKS_KEPT => {
                Err(format!("{order} was answered with {before} and with {index}"))
            }
            _ => Ok(()),
        }
    }

    /// Checks the members that a node shows. The figure `calls` of each fact is the time at which the fact
    /// was sent out. From `calm` on, messages take only as long as the links' delay.
    pub fn check_members(
        &mut self,
        now: Micros,
        (node, local): (usize, Micros),
        shown: &Value,
        calm: Option<Micros>,
    ) -> CheckResult {
        for (origin, member) in shown["members"].as_array().into_iter().flatten().enumerate() {
            let origin =
                member["host"].as_str().and_then(|host| host.get(1..)?.parse().ok()).unwrap_or(origin);
            let (Some(calls), Some(age)) = (member["calls"].as_u64(), member["age_ms"].as_u64()) else {
                continue;
            };
            self.counts.facts += 1;
            if let Some((known, known_age, then)) = self.facts.insert((node, origin), (calls, age, local)) {
                if calls < known && !self.start_went_back.contains(&origin) {
                    return Err(format!("node {node} had a fact of {origin} of {known}, now one of {calls}"));
                }
                // A clock that jumped or ran fast ends a fact's life early; the fact may be learned again,
                // and is younger then.
                let within_lifetime =
                    known_age as Micros * 1_000 + (local - then) + AGE_RESOLUTION_US < FACT_LIFETIME_US;
                if calls == known && age < known_age && within_lifetime {
                    return Err(format!(
                        "the fact of {origin} at node {node} got younger: {known_age}, {age} ms"
                    ));
                }
            }
            let (sent_out, age) = (calls as Micros, age as Micros * 1_000);
            if calm.is_some_and(|calm| sent_out > calm) && age + MAX_RELAY_TIME_US < now - sent_out {
                return Err(format!(
                    "node {node} shows a fact of {origin} as {age} us old: it is {} us",
                    now - sent_out
                ));
            }
        }
        Ok(())
    }

    /// Checks a voter's message: what it promises must already be on its disk. `to` and `own` are the voters'
    /// numbers in the log.
    pub fn check_promise(
        &mut self,
        node: usize,
        to: u64,
        own: u64,
        bytes: &[u8],
        disk: &Found,
    ) -> CheckResult {
        let Some(message) = parse_engine_message(bytes) else { return Ok(()) };
        self.counts.promises += 1;
        let promise = disk.promise;
        let last = disk.entries.last().map_or(disk.trimmed.index, |entry| entry.at.index);
        let wrong = |what: &str| {
            Err(format!("node {node} {what} in term {}, its disk has {promise:?}, last {last}", message.term))
        };
        let asks_first = matches!(
            message.kind,
            EngineMessageKind::RequestPreVote | EngineMessageKind::RequestPreVoteResponse
        );
        if message.term > promise.term && !asks_first {
            return wrong("speaks");
        }
        if message.term < promise.term || message.reject {
            return Ok(());
        }
        match message.kind {
            EngineMessageKind::RequestVoteResponse if promise.vote != to => wrong("grants a vote"),
            EngineMessageKind::RequestVote if promise.vote != own => wrong("requests votes"),
            EngineMessageKind::AppendResponse if message.index > last => {
                wrong(&format!("acknowledges entries up to {}", message.index))
            }
            _ => Ok(()),
        }
    }
}

// ---- The message format as far as it is read, decoded independently of the cores ----

#[derive(Deserialize)]
#[allow(dead_code)]
struct Header {
    from: u32,
    incarnation: (u32, u32),
    you: Option<(MemberState, (u32, u32))>,
}

#[derive(Deserialize)]
#[allow(dead_code)]
enum MemberState {
    Alive,
    Suspect,
    Gone,
}

#[derive(Deserialize)]
#[allow(dead_code)]
enum Envelope {
    Ask,
    Answer(u64, bool),
    Engine(EngineMessage),
}

#[derive(Deserialize)]
#[allow(dead_code)]
struct EngineMessage {
    kind: EngineMessageKind,
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
enum EngineMessageKind {
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

/// Number of the message body that carries another core's bytes, and of the payload kind that belongs to the
/// agreement.
const BODY_DIRECT: u32 = 9;
const KIND_AGREEMENT: u32 = 0;

/// Payload kind of the configuration, and the number of its message that carries a chunk of a text.
const KIND_CONFIGURATION: u32 = 4;
const CONFIGURATION_CHUNK: u32 = 4;

/// Returns the position of the last byte of a text's chunk in a message, if the message carries one.
pub(super) fn chunk_end(message: &[u8]) -> Option<usize> {
    let (_, rest) = postcard::take_from_bytes::<Header>(message).ok()?;
    let (body, rest) = postcard::take_from_bytes::<u32>(rest).ok()?;
    let (payload, after) = postcard::take_from_bytes::<&[u8]>(rest).ok().filter(|_| body == BODY_DIRECT)?;
    let (kind, rest) = postcard::take_from_bytes::<u32>(payload).ok()?;
    let bytes = postcard::from_bytes::<&[u8]>(rest).ok().filter(|_| kind == KIND_CONFIGURATION)?;
    let (message_kind, _) = postcard::take_from_bytes::<u32>(bytes).ok()?;
    (message_kind == CONFIGURATION_CHUNK).then(|| message.len() - after.len() - 1)
}

fn parse_engine_message(encoded: &[u8]) -> Option<EngineMessage> {
    let (_, rest) = postcard::take_from_bytes::<Header>(encoded).ok()?;
    let (body, rest) = postcard::take_from_bytes::<u32>(rest).ok()?;
    let (payload, _) = postcard::take_from_bytes::<&[u8]>(rest).ok().filter(|_| body == BODY_DIRECT)?;
    let (kind, rest) = postcard::take_from_bytes::<u32>(payload).ok()?;
    let bytes = postcard::from_bytes::<&[u8]>(rest).ok().filter(|_| kind == KIND_AGREEMENT)?;
    match postcard::from_bytes::<(u64, Envelope)>(bytes).ok()? {
        (_, Envelope::Engine(message)) => Some(message),
        _ => None,
    }
}
