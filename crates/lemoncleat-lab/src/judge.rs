//! The judge: checks the five rules and computes the service from a capture. It shares only the byte codec
//! with the node, so that the same mistake can't hide in both.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::fmt;

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code, MessageRef};
use serde::Serialize;

use crate::capture::{Capture, ClassFacts, End, Facts, Record};
use crate::Micros;

/// The five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Exactly one final answer before the caller's deadline, and nothing after it.
    OneAnswer,
    /// Never two attempts of a call outstanding at once.
    OneAttempt,
    /// No new work to a draining or gone server after the grace.
    Drains,
    /// No cold server overloaded until it fails.
    ColdServers,
    /// After an attempt without an answer the release time passes before the call is sent again.
    Release,
}

impl Rule {
    /// All rules, in order.
    pub const ALL: [Rule; 5] =
        [Rule::OneAnswer, Rule::OneAttempt, Rule::Drains, Rule::ColdServers, Rule::Release];

    /// Returns the number of the rule, from 1.
    pub fn number(self) -> usize {
        self as usize + 1
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Rule::OneAnswer => "one answer",
            Rule::OneAttempt => "one attempt",
            Rule::Drains => "drains",
            Rule::ColdServers => "cold servers",
            Rule::Release => "release",
        };
        write!(f, "{} {name}", self.number())
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Time of the violation, in microseconds of the capture's clock.
    pub at: Micros,
    /// Call or server concerned.
    pub what: String,
    /// How the rule was violated.
    pub how: String,
    /// Numbers of the records in the capture that show it.
    pub records: Vec<usize>,
    /// The same records as text.
    pub frames: Vec<String>,
}

/// Result of one rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleVerdict {
    /// The rule.
    pub rule: Rule,
    /// Number of cases in which it could have been violated.
    pub cases: usize,
    /// Number of violations.
    pub broken: usize,
    /// The first violation.
    pub first: Option<Violation>,
}

/// Cases and violations of the rules during a trouble and the five seconds after it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TroubleRow {
    /// Description of the trouble.
    pub text: String,
    /// Start, in seconds from the first call.
    pub from: f64,
    /// End, in seconds from the first call.
    pub to: f64,
    /// Cases of each rule.
    pub cases: [usize; 5],
    /// Violations of each rule.
    pub broken: [usize; 5],
    /// Worth served over worth offered by callers whose first try was made during the trouble.
    pub service: Option<f64>,
}

/// Counts of TLS handshakes with nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Handshakes {
    /// Number of completed handshakes.
    pub handshakes: usize,
    /// Number of distinct certificates presented, of all nodes together.
    pub certificates: usize,
    /// Handshakes in which the presented certificate was not valid at that time.
    pub not_valid: usize,
    /// Handshakes that failed.
    pub refused: usize,
}

/// Result of judging a capture.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// Name of the day.
    pub day: String,
    /// Result of each rule.
    pub rules: Vec<RuleVerdict>,
    /// Worth of calls that were established in time and not cut, over the worth offered.
    pub service: f64,
    /// The service by class.
    pub classes: Vec<(String, f64)>,
    /// The service in each window of five seconds.
    pub windows: Vec<f64>,
    /// Number of callers.
    pub callers: usize,
    /// Number of callers' requests, every try counted.
    pub tries: usize,
    /// Number of attempts at servers.
    pub attempts: usize,
    /// Tries that were established.
    pub stood: usize,
    /// Tries that were refused or failed.
    pub turned_away: usize,
    /// Standing calls that were cut.
    pub cut: usize,
    /// Callers that left before their answer; rule 1 requires no answer to them.
    pub left: usize,
    /// Calls whose deadline fell into a scripted stall of their node; not counted as violations.
    pub excused: usize,
    /// Calls that arrived during one such stall and whose deadline, counted from its start, fell into
    /// another. They are not counted as violations if they have no answer; a late answer counts as usual.
    pub in_doubt: usize,
    /// Handshakes with nodes, if TLS was used.
    pub handshakes: Option<Handshakes>,
    /// Set-ups that succeeded after the node had given them up.
    pub late: usize,
    /// Servers that failed from overload while cold.
    pub fallen: usize,
    /// Time in which the stand-ins' event loop was delayed, in microseconds; recorded times are uncertain by
    /// as much.
    pub behind: Micros,
    /// Number of times a circuit was given a call, and how many of those times it already carried another.
    pub circuits: (usize, usize),
    /// The first case of a circuit with two calls.
    pub circuit_shared: Option<Violation>,
    /// Seizures that lost their circuit to a seizure by the other end.
    pub glares: usize,
    /// Results of each trouble.
    pub troubles: Vec<TroubleRow>,
}

impl Verdict {
    /// Returns whether no rule was violated, no circuit was shared and every certificate was valid.
    pub fn kept(&self) -> bool {
        let shown = self.handshakes.is_none_or(|handshakes| handshakes.not_valid == 0);
        self.rules.iter().all(|rule| rule.broken == 0) && self.circuits.1 == 0 && shown
    }
}

#[derive(Default)]
struct Tally {
    cases: Vec<Micros>,
    broken: Vec<Violation>,
}

/// One request of a caller, with all its transmissions.
struct Try {
    record: usize,
    history: usize,
    deadline: Micros,
    /// Deadlines as the node may count them if the request arrived during a scripted stall: the node can't
    /// know when in the stall that was, and counts from the start of the stall. Between stalls that follow
    /// one another directly it may or may not have run, so there is one deadline for each start.
    stall_deadlines: Vec<Micros>,
    /// Time of the last transmission.
    last_sent: Micros,
    node: u16,
    end: End,
    /// Connection, hop-by-hop identifier and whether it was answered, for each transmission.
    sent: Vec<(u64, u32, bool)>,
    answer: Option<(Micros, u32)>,
    left: bool,
}

/// The tries of one caller.
struct CallerHistory {
    class: usize,
    first: Micros,
    /// Start of the time that counts toward the aim: the first try, or the first one after a cut.
    aim_start: Micros,
    stood: Option<Micros>,
    cut: bool,
}

#[derive(Default)]
struct Session {
    /// The outstanding attempt: server, connection, hop-by-hop identifier, record.
    outstanding: Option<(u16, u64, u32, usize)>,
    /// Time and record at which an attempt ended without an answer.
    unanswered: Option<(Micros, usize)>,
    stands: bool,
    /// Time and connection of a server's success answer that has not yet reached the client.
    confirmed: Option<(Micros, u64)>,
    /// The success answer may have been lost with its connection.
    in_doubt: bool,
}

struct Cold {
    at: Micros,
    capacity: f64,
    from: f64,
    span: Micros,
    arrivals: VecDeque<(Micros, u16)>,
    broken: bool,
}

struct Judge {
    facts: Facts,
    tallies: [Tally; 5],
    tries: Vec<Try>,
    by_request: HashMap<(String, u32), usize>,
    by_session: HashMap<String, usize>,
    histories: Vec<CallerHistory>,
    by_caller: HashMap<String, usize>,
    sessions: HashMap<String, Session>,
    conn_sessions: HashMap<u64, Vec<String>>,
    /// Time at which a node was told that a server takes no new calls, by node and server.
    drain_notices: HashMap<(u16, u16), Micros>,
    cold: HashMap<u16, Cold>,
    informed: HashMap<(u16, u16), Micros>,
    /// Session that each circuit carries, by node, server and circuit.
    circuit_sessions: HashMap<(u16, u16, u32), String>,
    /// Unanswered seizures, by connection, hop-by-hop identifier and whether they go to the node.
    seizures: HashMap<(u64, u32, bool), (u32, String)>,
    /// Resets of circuits, by connection and End-to-End Identifier.
    resets: HashSet<(u64, u32)>,
    circuit_cases: usize,
    circuit_shared: Vec<Violation>,
    glares: usize,
    stalls: Vec<(u16, Micros, Micros)>,
    handshakes: Handshakes,
    /// Certificates presented: node, start and end of validity.
    certificates_seen: BTreeSet<(u16, i64, i64)>,
    behind: Vec<(Micros, Micros)>,
    troubles: BTreeMap<u16, (String, Micros, Option<Micros>)>,
    attempts: usize,
    stood: usize,
    turned_away: usize,
    cut: usize,
    late: usize,
    fallen: usize,
    end: Micros,
}

impl Judge {
    fn new(facts: Facts) -> Judge {
        Judge {
            facts,
            tallies: Default::default(),
            tries: Vec::new(),
            by_request: HashMap::new(),
            by_session: HashMap::new(),
            histories: Vec::new(),
            by_caller: HashMap::new(),
            sessions: HashMap::new(),
            conn_sessions: HashMap::new(),
            drain_notices: HashMap::new(),
            cold: HashMap::new(),
            informed: HashMap::new(),
            circuit_sessions: HashMap::new(),
            seizures: HashMap::new(),
            resets: HashSet::new(),
            circuit_cases: 0,
            circuit_shared: Vec::new(),
            glares: 0,
            stalls: Vec::new(),
            handshakes: Handshakes::default(),
            certificates_seen: BTreeSet::new(),
            behind: Vec::new(),
            troubles: BTreeMap::new(),
            attempts: 0,
            stood: 0,
            turned_away: 0,
            cut: 0,
            late: 0,
            fallen: 0,
            end: Micros::MAX,
        }
    }

    fn violation_count(&self) -> usize {
        self.tallies.iter().map(|tally| tally.broken.len()).sum::<usize>() + self.circuit_shared.len()
    }
}

/// A judge that takes records as they are made and reports the record at which a rule is violated.
pub struct LiveJudge {
    judge: Judge,
    number: usize,
    last: Micros,
}

impl LiveJudge {
    /// Creates a judge for a day with these facts.
    pub fn new(facts: &Facts) -> LiveJudge {
        LiveJudge { judge: Judge::new(facts.clone()), number: 0, last: 0 }
    }

    /// Processes a record and returns the violation that it shows, if any.
    pub fn take(&mut self, record: &Record) -> Option<(Option<Rule>, Violation)> {
        let before = self.judge.violation_count();
        self.last = record.at().max(self.last);
        self.judge.record(self.number, record);
        self.number += 1;
        if self.judge.violation_count() == before {
            return None;
        }
        let newest = Rule::ALL.iter().filter_map(|rule| {
            let violation = self.judge.tallies[*rule as usize].broken.last()?;
            Some((Some(*rule), violation.clone()))
        });
        let shared = self.judge.circuit_shared.last().map(|violation| (None, violation.clone()));
        newest.chain(shared).max_by_key(|(_, violation)| violation.records.last().copied())
    }

    /// Returns the verdict on all records processed.
    pub fn verdict(mut self) -> Verdict {
        if self.judge.end == Micros::MAX {
            self.judge.end = self.last;
        }
        self.judge.verdict()
    }
}

/// Judges a capture. Returns `None` if its first record is not the facts.
pub fn judge(capture: &Capture) -> Option<Verdict> {
    let Some(Record::Facts(facts)) = capture.records.first() else { return None };
    let mut judge = Judge::new(facts.clone());
    let mut last = 0;
    for (number, record) in capture.records.iter().enumerate() {
        last = record.at().max(last);
        judge.record(number, record);
    }
    if judge.end == Micros::MAX {
        judge.end = last;
    }
    let mut verdict = judge.verdict();
    for first in verdict.rules.iter_mut().filter_map(|rule| rule.first.as_mut()) {
        let records = first.records.iter().filter_map(|number| capture.records.get(*number));
        first.frames = records.map(Record::text).collect();
    }
    Some(verdict)
}

impl Judge {
    fn add_case(&mut self, rule: Rule, at: Micros) {
        self.tallies[rule as usize].cases.push(at);
    }

    fn add_violation(&mut self, rule: Rule, at: Micros, what: &str, how: String, records: Vec<usize>) {
        let violation = Violation { at, what: what.to_owned(), how, records, frames: Vec::new() };
        self.tallies[rule as usize].broken.push(violation);
    }

    fn record(&mut self, number: usize, record: &Record) {
        match record {
            Record::Facts(_) => {}
            Record::Frame { at, end, node, conn, to_node, bytes } => {
                let Ok(message) = MessageRef::parse(bytes) else { return };
                match end {
                    End::Client(_) => self.client_frame(number, *at, *end, *node, *conn, *to_node, &message),
                    End::Server(server) => {
                        self.server_frame(number, *at, *server, *node, *conn, *to_node, &message)
                    }
                }
            }
            Record::Closed { at, end, conn } => self.on_closed(number, *at, *end, *conn),
            Record::Listed { at, node, server, ready, started } => {
                if *started {
                    self.informed.entry((*node, *server)).or_insert(*at);
                }
                if *ready {
                    self.drain_notices.remove(&(*node, *server));
                } else if let std::collections::hash_map::Entry::Vacant(entry) =
                    self.drain_notices.entry((*node, *server))
                {
                    entry.insert(*at);
                    self.add_case(Rule::Drains, *at);
                }
            }
            Record::Started { at, server, capacity, from, span } => {
                self.add_case(Rule::ColdServers, *at);
                let (arrivals, broken) = (VecDeque::new(), false);
                let cold = Cold { at: *at, capacity: *capacity, from: *from, span: *span, arrivals, broken };
                self.cold.insert(*server, cold);
                self.informed.retain(|(_, known), _| known != server);
            }
            Record::Fell { .. } => self.fallen += 1,
            Record::Trouble { at, number, text, begins } => {
                if *begins {
                    self.troubles.insert(*number, (text.clone(), *at, None));
                } else if let Some(trouble) = self.troubles.get_mut(number) {
                    trouble.2 = Some(*at);
                }
            }
            Record::Handshake { node, wall, validity, .. } => {
                self.handshakes.handshakes += 1;
                self.certificates_seen.insert((*node, validity.0, validity.1));
                if *wall < validity.0 || *wall > validity.1 {
                    self.handshakes.not_valid += 1;
                }
            }
            Record::NoHandshake { .. } => self.handshakes.refused += 1,
            Record::Stall { at, node, time } => self.stalls.push((*node, *at, *at + *time)),
            Record::Behind { from, at } => self.behind.push((*from, *at)),
            Record::End { at } => self.end = *at,
        }
    }

    // ---- Between nodes and callers ----

    #[allow(clippy::too_many_arguments)]
    fn client_frame(
        &mut self,
        number: usize,
        at: Micros,
        end: End,
        node: u16,
        conn: u64,
        to_node: bool,
        message: &MessageRef<'_>,
    ) {
        if at >= self.end {
            return;
        }
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        match (message.header.command, message.header.is_request(), to_node) {
            (d::CMD_AA, true, true) => self.on_set_up_request(number, at, end, node, conn, message),
            (d::CMD_AA, false, false) => self.on_set_up_answer(number, at, conn, message),
            (d::CMD_SESSION_TERMINATION, true, true) => {
                if let Some(id) = self.by_session.get(session) {
                    let this = &mut self.tries[*id];
                    // A caller that leaves after the deadline should have had an answer before it.
                    this.left |= this.answer.is_none() && at <= this.deadline;
                }
            }
            (d::CMD_ABORT_SESSION, true, false) => {
                if let Some(id) = self.by_session.get(session) {
                    let history = self.tries[*id].history;
                    self.cut += 1;
                    self.histories[history].cut = true;
                }
            }
            _ => {}
        }
    }

    fn on_set_up_request(
        &mut self,
        number: usize,
        at: Micros,
        end: End,
        node: u16,
        conn: u64,
        message: &MessageRef<'_>,
    ) {
        let origin = message.text(d::ORIGIN_HOST).unwrap_or_default().to_owned();
        let key = (origin, message.header.end_to_end);
        if let Some(id) = self.by_request.get(&key) {
            // A retransmission, as after a lost connection. If it arrives just before the deadline, no answer
            // could be in time, so none is required.
            let this = &mut self.tries[*id];
            this.sent.push((conn, message.header.hop_by_hop, false));
            this.last_sent = at;
            this.left &= at + self.facts.answer_grace >= this.deadline;
            return;
        }
        let called = message.text(d::CALLED_STATION_ID).unwrap_or_default();
        let class =
            self.facts.classes.iter().position(|class| called.starts_with(&class.prefix)).unwrap_or(0);
        let longest = self.facts.classes.get(class).map_or(0, |class| class.deadline);
        let requested = message.number(d::SETUP_PATIENCE).map(|ms| Micros::from(ms) * 1_000);
        let patience = requested.map_or(longest, |requested| requested.min(longest));
        let deadline = at + patience;
        let stall_deadlines = self.stall_starts(node, at).into_iter().map(|from| from + patience).collect();
        let session = message.text(d::SESSION_ID).unwrap_or_default().to_owned();
        let caller = message.text(d::CALLING_STATION_ID).unwrap_or(&session).to_owned();
        let next = self.histories.len();
        let history = *self.by_caller.entry(caller).or_insert(next);
        if history == next {
            self.histories.push(CallerHistory { class, first: at, aim_start: at, stood: None, cut: false });
        } else if message.number(d::CALL_MARKS).unwrap_or(0) & d::MARK_CUT != 0 && self.histories[history].cut
        {
            let history = &mut self.histories[history];
            (history.cut, history.stood, history.aim_start) = (false, None, at);
        }
        self.add_case(Rule::OneAnswer, at);
        let id = self.tries.len();
        self.by_request.insert(key, id);
        self.by_session.insert(session, id);
        let sent = vec![(conn, message.header.hop_by_hop, false)];
        self.tries.push(Try {
            record: number,
            history,
            deadline,
            stall_deadlines,
            last_sent: at,
            node,
            end,
            sent,
            answer: None,
            left: false,
        });
    }

    fn on_set_up_answer(&mut self, number: usize, at: Micros, conn: u64, message: &MessageRef<'_>) {
        let session = message.text(d::SESSION_ID).unwrap_or_default().to_owned();
        let hop = message.header.hop_by_hop;
        let found = self.by_session.get(&session).copied().filter(|id| {
            self.tries[*id].sent.iter().any(|(sent_on, sent_hop, _)| (*sent_on, *sent_hop) == (conn, hop))
        });
        let Some(id) = found else {
            let how = "an answer to no request of this connection".to_owned();
            return self.add_violation(Rule::OneAnswer, at, &session, how, vec![number]);
        };
        let result = message.result_code();
        if let Some(state) = self.sessions.get_mut(&session).filter(|_| result == result_code::SUCCESS) {
            state.confirmed = None;
            if std::mem::take(&mut state.in_doubt) {
                // The node did read the success answer.
                (state.stands, state.unanswered) = (true, None);
            }
        }
        let (request, deadline, earlier) =
            (self.tries[id].record, self.tries[id].deadline, self.tries[id].answer);
        let this = &mut self.tries[id];
        let mut repeated = false;
        for sent in &mut this.sent {
            if (sent.0, sent.1) == (conn, hop) {
                repeated |= std::mem::replace(&mut sent.2, true);
            }
        }
        this.answer.get_or_insert((at, result));
        let (history, left) = (this.history, this.left);
        if repeated {
            let how = format!("a second answer ({result}) to one request");
            return self.add_violation(Rule::OneAnswer, at, &session, how, vec![request, number]);
        }
        if let Some((_, first)) = earlier {
            if first != result {
                let how = format!("answers differ: {first}, then {result}");
                return self.add_violation(Rule::OneAnswer, at, &session, how, vec![request, number]);
            }
            return;
        }
        if at > deadline + self.facts.answer_grace && !left {
            if self.in_stall(self.tries[id].node, deadline)
                || at - self.loop_delay(deadline, at) <= deadline + self.facts.answer_grace
            {
                return;
            }
            let how =
                format!("answered with {result} {} ms after the caller's deadline", (at - deadline) / 1_000);
            self.add_violation(Rule::OneAnswer, at, &session, how, vec![request, number]);
        }
        if result == result_code::SUCCESS {
            self.stood += 1;
            if !left && at <= deadline + self.facts.answer_grace {
                self.histories[history].stood.get_or_insert(at);
            }
        } else {
            self.turned_away += 1;
        }
    }

    /// Returns whether a node was in a scripted stall at a time, or had just resumed from one.
    fn in_stall(&self, node: u16, at: Micros) -> bool {
        let slack = self.facts.answer_grace + self.facts.skew;
        self.stalls
            .iter()
            .any(|(stalled, from, to)| *stalled == node && at + slack >= *from && at <= to + slack)
    }

    /// Returns the start of the stall in which a node was at a time, and the starts of those that directly
    /// preceded it.
    fn stall_starts(&self, node: u16, at: Micros) -> Vec<Micros> {
        let slack = self.facts.answer_grace + self.facts.skew;
        let mut began = Vec::new();
        for (_, from, to) in self.stalls.iter().rev().filter(|(stalled, ..)| *stalled == node) {
            let reaches = began.last().copied().unwrap_or(at);
            if reaches >= *from && reaches <= to + slack {
                began.push(*from);
            }
        }
        began
    }

    /// Returns for how long the stand-ins' event loop was delayed between two times: a recorded time may be
    /// later than the event by as much. A delay during which the first time was recorded counts in full.
    fn loop_delay(&self, from: Micros, to: Micros) -> Micros {
        let within = self.behind.iter().rev().take_while(|(_, until)| *until + self.facts.skew >= from);
        within.filter(|(since, _)| *since <= to).map(|(since, until)| until - since).sum()
    }

    // ---- Between nodes and servers ----

    /// Tracks which call each circuit carries, whichever end seized it: from the answer that accepts a
    /// seizure to the first release, abort or reset.
    #[allow(clippy::too_many_arguments)]
    fn circuit_frame(
        &mut self,
        number: usize,
        at: Micros,
        server: u16,
        node: u16,
        conn: u64,
        to_node: bool,
        message: &MessageRef<'_>,
    ) {
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        let head = message.header;
        match (head.command, head.is_request()) {
            (d::CMD_AA, true) => {
                if let Some(circuit) = message.number(d::CIRCUIT_ID) {
                    self.seizures.insert((conn, head.hop_by_hop, to_node), (circuit, session.to_owned()));
                }
            }
            (d::CMD_AA, false) => {
                let seizure = self.seizures.remove(&(conn, head.hop_by_hop, !to_node));
                let Some((circuit, session)) = seizure else { return };
                self.glares += usize::from(message.number(d::SETUP_REASON) == Some(d::REASON_GLARE));
                if message.result_code() != result_code::SUCCESS {
                    return;
                }
                self.circuit_cases += 1;
                let before = self.circuit_sessions.insert((node, server, circuit), session.clone());
                if let Some(before) = before.filter(|before| *before != session) {
                    let how = format!(
                        "circuit {circuit} of node {node} and server {server} carries {before} already"
                    );
                    self.circuit_shared.push(Violation {
                        at,
                        what: session,
                        how,
                        records: vec![number],
                        frames: Vec::new(),
                    });
                }
            }
            (d::CMD_SESSION_TERMINATION | d::CMD_ABORT_SESSION, true) => {
                self.circuit_sessions
                    .retain(|(on, to, _), held| (*on, *to) != (node, server) || held != session);
                // A success answer that crosses the release no longer occupies the circuit.
                self.seizures.retain(|(on, ..), (_, held)| *on != conn || held != session);
            }
            (d::CMD_CIRCUITS, true) if message.number(d::CIRCUIT_OPERATION) == Some(1) => {
                let first = message.number(d::CIRCUIT_ID).unwrap_or(0);
                let count = message.number(d::CIRCUIT_COUNT).unwrap_or(0);
                // A retransmitted reset must not end a call that began after the first transmission.
                if !self.resets.insert((conn, head.end_to_end)) {
                    return;
                }
                let within = |circuit: u32| circuit >= first && circuit - first < count;
                self.circuit_sessions
                    .retain(|(on, to, circuit), _| (*on, *to) != (node, server) || !within(*circuit));
                // A reset by either end ends an outstanding attempt on such a circuit.
                let over =
                    self.seizures.iter().filter(|((on, ..), (circuit, _))| *on == conn && within(*circuit));
                for ((_, hop, _), (_, session)) in over {
                    let Some(state) = self.sessions.get_mut(session) else { continue };
                    if state
                        .outstanding
                        .is_some_and(|(_, out_on, out_hop, _)| (out_on, out_hop) == (conn, *hop))
                    {
                        state.outstanding = None;
                        state.unanswered = Some((at, number));
                    }
                }
            }
            _ => {}
        }
    }

    /// Handles a server's seizure of a circuit that it controls: the server disregards a seizure by the node
    /// that is outstanding on it, and the node may send that call again at once.
    fn on_server_seizure(&mut self, server: u16, node: u16, conn: u64, message: &MessageRef<'_>) {
        let Some(circuit) = message.number(d::CIRCUIT_ID) else { return };
        if !server_controls(server, node, circuit) {
            return;
        }
        for ((on, hop, _), (seized, session)) in &self.seizures {
            if (*on, *seized) != (conn, circuit) {
                continue;
            }
            if let Some(state) = self.sessions.get_mut(session) {
                if state.outstanding.is_some_and(|(_, out_on, out_hop, _)| (out_on, out_hop) == (conn, *hop))
                {
                    state.outstanding = None;
                }
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn server_frame(
        &mut self,
        number: usize,
        at: Micros,
        server: u16,
        node: u16,
        conn: u64,
        to_node: bool,
        message: &MessageRef<'_>,
    ) {
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        self.circuit_frame(number, at, server, node, conn, to_node, message);
        match (message.header.command, message.header.is_request(), to_node) {
            (d::CMD_AA, true, false) => self.on_attempt(number, at, server, node, conn, message),
            (d::CMD_AA, true, true) => self.on_server_seizure(server, node, conn, message),
            (d::CMD_AA, false, true) => {
                let success = message.result_code() == result_code::SUCCESS;
                let Some(state) = self.sessions.get_mut(session) else { return };
                let hop = message.header.hop_by_hop;
                if state.outstanding.is_some_and(|(_, out_on, out_hop, _)| (out_on, out_hop) == (conn, hop)) {
                    state.outstanding = None;
                    state.stands = success;
                    state.confirmed = success.then_some((at, conn));
                } else if success {
                    self.late += 1;
                }
            }
            (d::CMD_SESSION_TERMINATION, true, false) => {
                let Some(state) = self.sessions.get_mut(session) else { return };
                if state.outstanding.is_some_and(|(out_at, ..)| out_at == server) {
                    state.outstanding = None;
                    state.unanswered = Some((at, number));
                } else if state.outstanding.is_none() {
                    state.stands = false;
                }
            }
            (d::CMD_ABORT_SESSION, true, true) => {
                if let Some(state) = self.sessions.get_mut(session) {
                    state.stands = false;
                }
            }
            (d::CMD_DISCONNECT, true, true) => {
                if let std::collections::hash_map::Entry::Vacant(entry) =
                    self.drain_notices.entry((node, server))
                {
                    entry.insert(at);
                    self.add_case(Rule::Drains, at);
                }
            }
            // The server opened a new connection after its Disconnect-Peer-Request (DPR).
            (d::CMD_CAPABILITIES, false, true) if message.result_code() == result_code::SUCCESS => {
                self.drain_notices.remove(&(node, server));
            }
            _ => {}
        }
    }

    fn on_attempt(
        &mut self,
        number: usize,
        at: Micros,
        server: u16,
        node: u16,
        conn: u64,
        message: &MessageRef<'_>,
    ) {
        self.attempts += 1;
        let session = message.text(d::SESSION_ID).unwrap_or_default().to_owned();
        let skew = self.facts.skew;
        let state = self.sessions.entry(session.clone()).or_default();
        let (outstanding, unanswered, stands) = (state.outstanding, state.unanswered.take(), state.stands);
        state.outstanding = Some((server, conn, message.header.hop_by_hop, number));
        (state.confirmed, state.in_doubt) = (None, false);
        // As in `on_server_seizure`, with the messages in the opposite order: the server's seizure waits at a
        // node that has not yet processed it.
        let crosses = message.number(d::CIRCUIT_ID).is_some_and(|circuit| {
            let mut theirs = self.seizures.iter().filter(|((on, _, theirs), _)| *on == conn && *theirs);
            server_controls(server, node, circuit) && theirs.any(|(_, (seized, _))| *seized == circuit)
        });
        if crosses {
            state.outstanding = None;
        }
        self.conn_sessions.entry(conn).or_default().push(session.clone());
        if outstanding.is_some() || stands || unanswered.is_some() {
            self.add_case(Rule::OneAttempt, at);
        }
        if let Some((other, _, _, record)) = outstanding {
            let how = format!("sent to server {server} while an attempt at server {other} is out");
            self.add_violation(Rule::OneAttempt, at, &session, how, vec![record, number]);
        } else if stands {
            let how = format!("sent to server {server} while the call stands");
            self.add_violation(Rule::OneAttempt, at, &session, how, vec![number]);
        }
        if let Some((ended, record)) = unanswered {
            self.add_case(Rule::Release, at);
            if at - ended + self.loop_delay(ended, at) < self.facts.release - skew {
                let how =
                    format!("sent again {} ms after an attempt without an answer", (at - ended) / 1_000);
                self.add_violation(Rule::Release, at, &session, how, vec![record, number]);
            }
        }
        if let Some(notified) = self.drain_notices.get(&(node, server)) {
            if at - self.loop_delay(*notified, at) > notified + self.facts.drain_grace + skew {
                let late = (at - notified) / 1_000;
                let how =
                    format!("node {node} sent to server {server} {late} ms after it was told of its drain");
                self.add_violation(Rule::Drains, at, &session, how, vec![number]);
            }
        }
        self.cold_arrival(number, at, server, node);
    }

    fn cold_arrival(&mut self, number: usize, at: Micros, server: u16, node: u16) {
        let (multiple, span) = (self.facts.fall_multiple, self.facts.fall_span);
        let Some(cold) = self.cold.get_mut(&server) else { return };
        let age = (at - cold.at).max(0) as f64 / cold.span.max(1) as f64;
        if age >= 1.0 {
            self.cold.remove(&server);
            return;
        }
        cold.arrivals.push_back((at, node));
        while cold.arrivals.front().is_some_and(|(came, _)| at - came > span) {
            cold.arrivals.pop_front();
        }
        let capacity = cold.capacity * (cold.from + (1.0 - cold.from) * age);
        let budget = multiple * capacity * span as f64 / 1e6;
        let count = cold.arrivals.len();
        if cold.broken || count as f64 <= budget + 2.0 * budget.sqrt() + 1.0 {
            return;
        }
        let informed = |node: &u16| self.informed.get(&(*node, server)).is_some_and(|learned| *learned <= at);
        let known = cold.arrivals.iter().filter(|(_, node)| informed(node)).count();
        if known * 3 >= count * 2 {
            cold.broken = true;
            let how = format!("{count} set-ups within the span, {budget:.1} allowed");
            self.add_violation(Rule::ColdServers, at, &format!("server {server}"), how, vec![number]);
        }
    }

    fn on_closed(&mut self, number: usize, at: Micros, end: End, conn: u64) {
        match end {
            End::Client(_) => {
                // A caller that lost its connection requires no answer unless it sends its request again.
                for this in self
                    .tries
                    .iter_mut()
                    .filter(|this| this.answer.is_none() && this.end == end && at <= this.deadline)
                {
                    if this.sent.last().is_some_and(|(sent_on, ..)| *sent_on == conn) {
                        this.left = true;
                    }
                }
            }
            End::Server(_) => {
                for session in self.conn_sessions.remove(&conn).unwrap_or_default() {
                    let Some(state) = self.sessions.get_mut(&session) else { continue };
                    if state.outstanding.is_some_and(|(_, out_on, ..)| out_on == conn) {
                        state.outstanding = None;
                        state.unanswered = Some((at, number));
                    }
                    // An answer written right before its connection ended may be discarded by the TCP reset.
                    let lost =
                        |(confirmed, on): &(Micros, u64)| *on == conn && at - confirmed <= self.facts.skew;
                    if state.stands && state.confirmed.take_if(|confirmed| lost(confirmed)).is_some() {
                        (state.stands, state.in_doubt) = (false, true);
                        state.unanswered = Some((at, number));
                    }
                }
            }
        }
    }

    // ---- The verdict ----

    fn earned(&self, history: &CallerHistory, class: &ClassFacts) -> f64 {
        match history.stood {
            Some(at) if !history.cut && at <= history.aim_start + class.aim => class.worth,
            Some(_) if !history.cut => class.worth * class.late_worth,
            _ => 0.0,
        }
    }

    fn service<'c>(&self, histories: impl Iterator<Item = &'c CallerHistory>) -> Option<f64> {
        let (mut earned, mut offered) = (0.0, 0.0);
        for history in histories {
            if let Some(class) = self.facts.classes.get(history.class) {
                offered += class.worth;
                // Late calls earn a part of their worth, but service counts only those established in time.
                let got = self.earned(history, class);
                earned += if got < class.worth { 0.0 } else { got };
            }
        }
        (offered > 0.0).then(|| earned / offered)
    }

    fn verdict(mut self) -> Verdict {
        let (mut excused, mut in_doubt) = (0, 0);
        let mut left = 0;
        let is_unanswered =
            |this: &Try| this.answer.is_none() && this.deadline + self.facts.answer_grace < self.end;
        let unanswered: Vec<usize> =
            (0..self.tries.len()).filter(|id| is_unanswered(&self.tries[*id])).collect();
        for id in unanswered {
            let Try { deadline, ref stall_deadlines, last_sent, record, node, left: gone, .. } =
                self.tries[id];
            // Counted from the start of a stall, the deadline fell into another stall, or had passed by the
            // last transmission.
            let unverifiable = |deadline: Micros| {
                self.in_stall(node, deadline) || last_sent + self.facts.answer_grace >= deadline
            };
            if gone {
                left += 1;
            } else if self.in_stall(node, deadline) {
                excused += 1;
            } else if stall_deadlines.iter().copied().any(unverifiable) {
                in_doubt += 1;
            } else {
                let how = "no answer before the caller's deadline".to_owned();
                let session = self.by_session.iter().find(|(_, known)| **known == id);
                let what = session.map_or("a call".to_owned(), |(session, _)| session.clone());
                self.add_violation(Rule::OneAnswer, deadline, &what, how, vec![record]);
            }
        }
        let zero = self.histories.iter().map(|history| history.first).min().unwrap_or(0);
        let classes = self.facts.classes.iter().enumerate().map(|(index, class)| {
            let served = self.service(self.histories.iter().filter(|history| history.class == index));
            (class.name.clone(), served.unwrap_or(0.0))
        });
        let classes = classes.collect();
        let last = self.histories.iter().map(|history| history.first).max().unwrap_or(0);
        let windows = (0..=(last - zero) / 5_000_000).map(|window| {
            let within = |history: &&CallerHistory| (history.first - zero) / 5_000_000 == window;
            self.service(self.histories.iter().filter(within)).unwrap_or(0.0)
        });
        let windows = windows.collect();
        let troubles = self.troubles.values().map(|(text, from, to)| {
            let to = to.unwrap_or(self.end);
            let within = |at: Micros| (*from..=to + 5_000_000).contains(&at);
            let cases =
                std::array::from_fn(|rule| self.tallies[rule].cases.iter().filter(|at| within(**at)).count());
            let broken = std::array::from_fn(|rule| {
                self.tallies[rule].broken.iter().filter(|violation| within(violation.at)).count()
            });
            let service =
                self.service(self.histories.iter().filter(|history| (*from..=to).contains(&history.first)));
            let seconds = |at: Micros| (at - zero) as f64 / 1e6;
            TroubleRow { text: text.clone(), from: seconds(*from), to: seconds(to), cases, broken, service }
        });
        let troubles = troubles.collect();
        let service = self.service(self.histories.iter()).unwrap_or(0.0);
        let rules = Rule::ALL.iter().map(|rule| {
            let tally = &self.tallies[*rule as usize];
            let first = tally.broken.iter().min_by_key(|violation| violation.at).cloned();
            RuleVerdict { rule: *rule, cases: tally.cases.len(), broken: tally.broken.len(), first }
        });
        Verdict {
            day: self.facts.day.clone(),
            rules: rules.collect(),
            service,
            classes,
            windows,
            callers: self.histories.len(),
            tries: self.tries.len(),
            attempts: self.attempts,
            stood: self.stood,
            turned_away: self.turned_away,
            cut: self.cut,
            left,
            excused,
            in_doubt,
            handshakes: (self.handshakes.handshakes + self.handshakes.refused > 0)
                .then_some(Handshakes { certificates: self.certificates_seen.len(), ..self.handshakes }),
            late: self.late,
            circuits: (self.circuit_cases, self.circuit_shared.len()),
            circuit_shared: self.circuit_shared.first().cloned(),
            glares: self.glares,
            fallen: self.fallen,
            behind: self.behind.iter().map(|(from, to)| to - from).sum(),
            troubles,
        }
    }
}

/// Returns whether the server controls a circuit toward a node: the end whose name sorts later controls the
/// even circuits.
fn server_controls(server: u16, node: u16, circuit: u32) -> bool {
    let even = format!("server-{server}.lab") > format!("node-{node}.lab");
    circuit.is_multiple_of(2) == even
}
