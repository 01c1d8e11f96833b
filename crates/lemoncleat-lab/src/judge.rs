//! The judge: works the five rules and the service out of a capture. It shares nothing with the node but the
//! byte codec, so that one mistake can't hide in both.

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
    /// Never two attempts of a call out at once.
    OneAttempt,
    /// No new work to a draining or gone server after the grace.
    Drains,
    /// No cold server pushed over.
    ColdServers,
    /// The release time is awaited before a call is sent again.
    Release,
}

impl Rule {
    /// All of them, in order.
    pub const ALL: [Rule; 5] =
        [Rule::OneAnswer, Rule::OneAttempt, Rule::Drains, Rule::ColdServers, Rule::Release];

    /// Its number, from 1.
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

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// When, in microseconds of the capture's clock.
    pub at: Micros,
    /// Which call or server.
    pub what: String,
    /// How.
    pub how: String,
    /// The records that show it, as numbers in the capture.
    pub records: Vec<usize>,
    /// The same records in words.
    pub frames: Vec<String>,
}

/// One rule's verdict.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleVerdict {
    /// Which.
    pub rule: Rule,
    /// How often it could have been broken.
    pub cases: usize,
    /// How often it was.
    pub broken: usize,
    /// The first time.
    pub first: Option<Violation>,
}

/// What happened to the rules while a trouble lasted, and for five seconds after it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TroubleRow {
    /// What it was.
    pub text: String,
    /// From when, in seconds from the first call.
    pub from: f64,
    /// Until when.
    pub to: f64,
    /// Cases of each rule.
    pub cases: [usize; 5],
    /// Times that each was broken.
    pub broken: [usize; 5],
    /// Worth served over worth offered by callers whose first try came in that time.
    pub service: Option<f64>,
}

/// Handshakes with nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Handshakes {
    /// How many there were.
    pub handshakes: usize,
    /// Certificates that were seen in them, of all nodes together.
    pub certificates: usize,
    /// Handshakes in which a certificate was shown that was not valid then.
    pub not_valid: usize,
    /// Handshakes that came to nothing.
    pub refused: usize,
}

/// What a capture shows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// Name of the day.
    pub day: String,
    /// Each rule.
    pub rules: Vec<RuleVerdict>,
    /// Worth of calls that stood in time and were not cut, over the worth offered.
    pub service: f64,
    /// The same by class.
    pub classes: Vec<(String, f64)>,
    /// The same in each five seconds.
    pub windows: Vec<f64>,
    /// Callers.
    pub callers: usize,
    /// Requests of callers, tries all counted.
    pub tries: usize,
    /// Attempts at servers.
    pub attempts: usize,
    /// Tries that came to stand.
    pub stood: usize,
    /// Tries that were refused or failed.
    pub turned_away: usize,
    /// Standing calls that were cut.
    pub cut: usize,
    /// Callers that left before their answer, so that rule 1 owes them none.
    pub left: usize,
    /// Calls whose deadline fell into a stall that the script gave their node: not counted.
    pub excused: usize,
    /// Calls that came during one such stall and whose deadline, reckoned from its beginning, fell into another:
    /// not counted either when they have no answer. One that is late counts as any other.
    pub in_doubt: usize,
    /// Handshakes with nodes, where there was TLS.
    pub handshakes: Option<Handshakes>,
    /// Set-ups that succeeded after they were given up.
    pub late: usize,
    /// Servers that fell over.
    pub fallen: usize,
    /// Time in which the stand-ins' own loop got no turn, in microseconds; moments are that much less sure.
    pub behind: Micros,
    /// How often a circuit came to carry a call, and how often it carried one already.
    pub circuits: (usize, usize),
    /// The first time that it did.
    pub circuit_shared: Option<Violation>,
    /// Seizures that lost their circuit to the other end's.
    pub glares: usize,
    /// Each trouble.
    pub troubles: Vec<TroubleRow>,
}

impl Verdict {
    /// Whether no rule was broken.
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

/// One request of a caller, over all its transmissions.
struct Try {
    record: usize,
    chain: usize,
    deadline: Micros,
    /// The deadline as the node must reckon it, where the request came while the node had no turn by the script:
    /// it can't know when in the stall that was, and goes by its beginning. Of stalls that follow one another at once
    /// it may have had a turn in between or not: one for each beginning.
    reckoned: Vec<Micros>,
    /// When it was last asked for.
    asked: Micros,
    node: u16,
    end: End,
    /// Connection and hop-by-hop identifier of each transmission, and whether it was answered.
    sent: Vec<(u64, u32, bool)>,
    answer: Option<(Micros, u32)>,
    left: bool,
}

/// A caller, from its first try on.
struct Chain {
    class: usize,
    first: Micros,
    /// When the clock of its aim began: at the first try, or when it came again after a cut.
    clock: Micros,
    stood: Option<Micros>,
    cut: bool,
}

#[derive(Default)]
struct Session {
    /// The attempt that is out: server, connection, hop-by-hop identifier, record.
    out: Option<(u16, u64, u32, usize)>,
    /// An attempt ended without an answer, at this moment.
    unanswered: Option<(Micros, usize)>,
    stands: bool,
    /// A server said so, at this moment and on this connection, and the client has not heard of it.
    said: Option<(Micros, u64)>,
    /// What it said may have been lost with its connection.
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
    chains: Vec<Chain>,
    by_caller: HashMap<String, usize>,
    sessions: HashMap<String, Session>,
    conn_sessions: HashMap<u64, Vec<String>>,
    /// When a node was told that a server takes nothing new.
    told: HashMap<(u16, u16), Micros>,
    cold: HashMap<u16, Cold>,
    informed: HashMap<(u16, u16), Micros>,
    /// Which session each circuit carries, by node, server and circuit.
    carried: HashMap<(u16, u16, u32), String>,
    /// Seizures that wait for their answer, by connection, hop-by-hop identifier and whether they go to the node.
    seizures: HashMap<(u64, u32, bool), (u32, String)>,
    /// Resets of circuits: on which connection, by End-to-End Identifier.
    resets: HashSet<(u64, u32)>,
    circuit_cases: usize,
    circuit_shared: Vec<Violation>,
    glares: usize,
    stalls: Vec<(u16, Micros, Micros)>,
    handshakes: Handshakes,
    /// Certificates seen: of which node, from when to when.
    seen: BTreeSet<(u16, i64, i64)>,
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
            chains: Vec::new(),
            by_caller: HashMap::new(),
            sessions: HashMap::new(),
            conn_sessions: HashMap::new(),
            told: HashMap::new(),
            cold: HashMap::new(),
            informed: HashMap::new(),
            carried: HashMap::new(),
            seizures: HashMap::new(),
            resets: HashSet::new(),
            circuit_cases: 0,
            circuit_shared: Vec::new(),
            glares: 0,
            stalls: Vec::new(),
            handshakes: Handshakes::default(),
            seen: BTreeSet::new(),
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

    fn broken_so_far(&self) -> usize {
        self.tallies.iter().map(|tally| tally.broken.len()).sum::<usize>() + self.circuit_shared.len()
    }
}

/// A judge that is told each record as it comes, and says at which a rule is first broken.
pub struct LiveJudge {
    judge: Judge,
    number: usize,
    last: Micros,
}

impl LiveJudge {
    /// A judge of a day with these facts.
    pub fn new(facts: &Facts) -> LiveJudge {
        LiveJudge { judge: Judge::new(facts.clone()), number: 0, last: 0 }
    }

    /// Takes a record in; what it breaks.
    pub fn take(&mut self, record: &Record) -> Option<(Option<Rule>, Violation)> {
        let before = self.judge.broken_so_far();
        self.last = record.at().max(self.last);
        self.judge.record(self.number, record);
        self.number += 1;
        if self.judge.broken_so_far() == before {
            return None;
        }
        let newest = Rule::ALL.iter().filter_map(|rule| {
            let violation = self.judge.tallies[*rule as usize].broken.last()?;
            Some((Some(*rule), violation.clone()))
        });
        let shared = self.judge.circuit_shared.last().map(|violation| (None, violation.clone()));
        newest.chain(shared).max_by_key(|(_, violation)| violation.records.last().copied())
    }

    /// All that was seen, at the end.
    pub fn verdict(mut self) -> Verdict {
        if self.judge.end == Micros::MAX {
            self.judge.end = self.last;
        }
        self.judge.verdict()
    }
}

/// Judges a capture; `None` if it begins without its facts.
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
    fn case(&mut self, rule: Rule, at: Micros) {
        self.tallies[rule as usize].cases.push(at);
    }

    fn broken(&mut self, rule: Rule, at: Micros, what: &str, how: String, records: Vec<usize>) {
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
            Record::Closed { at, end, conn } => self.closed(number, *at, *end, *conn),
            Record::Listed { at, node, server, ready, started } => {
                if *started {
                    self.informed.entry((*node, *server)).or_insert(*at);
                }
                if *ready {
                    self.told.remove(&(*node, *server));
                } else if let std::collections::hash_map::Entry::Vacant(entry) =
                    self.told.entry((*node, *server))
                {
                    entry.insert(*at);
                    self.case(Rule::Drains, *at);
                }
            }
            Record::Started { at, server, capacity, from, span } => {
                self.case(Rule::ColdServers, *at);
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
                self.seen.insert((*node, validity.0, validity.1));
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
            (d::CMD_AA, true, true) => self.tried(number, at, end, node, conn, message),
            (d::CMD_AA, false, false) => self.answered(number, at, conn, message),
            (d::CMD_SESSION_TERMINATION, true, true) => {
                if let Some(id) = self.by_session.get(session) {
                    let this = &mut self.tries[*id];
                    // Whoever leaves after the deadline was owed an answer before it.
                    this.left |= this.answer.is_none() && at <= this.deadline;
                }
            }
            (d::CMD_ABORT_SESSION, true, false) => {
                if let Some(id) = self.by_session.get(session) {
                    let chain = self.tries[*id].chain;
                    self.cut += 1;
                    self.chains[chain].cut = true;
                }
            }
            _ => {}
        }
    }

    fn tried(&mut self, number: usize, at: Micros, end: End, node: u16, conn: u64, message: &MessageRef<'_>) {
        let origin = message.text(d::ORIGIN_HOST).unwrap_or_default().to_owned();
        let key = (origin, message.header.end_to_end);
        if let Some(id) = self.by_request.get(&key) {
            // The same request once more, as after a lost connection. One that comes at the very end is owed nothing
            // that could still be in time.
            let this = &mut self.tries[*id];
            this.sent.push((conn, message.header.hop_by_hop, false));
            this.asked = at;
            this.left &= at + self.facts.answer_grace >= this.deadline;
            return;
        }
        let called = message.text(d::CALLED_STATION_ID).unwrap_or_default();
        let class =
            self.facts.classes.iter().position(|class| called.starts_with(&class.prefix)).unwrap_or(0);
        let longest = self.facts.classes.get(class).map_or(0, |class| class.deadline);
        let told = message.number(d::SETUP_PATIENCE).map(|ms| Micros::from(ms) * 1_000);
        let patience = told.map_or(longest, |told| told.min(longest));
        let deadline = at + patience;
        let reckoned = self.stalls_began(node, at).into_iter().map(|from| from + patience).collect();
        let session = message.text(d::SESSION_ID).unwrap_or_default().to_owned();
        let caller = message.text(d::CALLING_STATION_ID).unwrap_or(&session).to_owned();
        let next = self.chains.len();
        let chain = *self.by_caller.entry(caller).or_insert(next);
        if chain == next {
            self.chains.push(Chain { class, first: at, clock: at, stood: None, cut: false });
        } else if message.number(d::CALL_MARKS).unwrap_or(0) & d::MARK_CUT != 0 && self.chains[chain].cut {
            let chain = &mut self.chains[chain];
            (chain.cut, chain.stood, chain.clock) = (false, None, at);
        }
        self.case(Rule::OneAnswer, at);
        let id = self.tries.len();
        self.by_request.insert(key, id);
        self.by_session.insert(session, id);
        let sent = vec![(conn, message.header.hop_by_hop, false)];
        self.tries.push(Try {
            record: number,
            chain,
            deadline,
            reckoned,
            asked: at,
            node,
            end,
            sent,
            answer: None,
            left: false,
        });
    }

    fn answered(&mut self, number: usize, at: Micros, conn: u64, message: &MessageRef<'_>) {
        let session = message.text(d::SESSION_ID).unwrap_or_default().to_owned();
        let hop = message.header.hop_by_hop;
        let found = self.by_session.get(&session).copied().filter(|id| {
            self.tries[*id].sent.iter().any(|(sent_on, sent_hop, _)| (*sent_on, *sent_hop) == (conn, hop))
        });
        let Some(id) = found else {
            let how = "an answer to no request of this connection".to_owned();
            return self.broken(Rule::OneAnswer, at, &session, how, vec![number]);
        };
        let result = message.result_code();
        if let Some(state) = self.sessions.get_mut(&session).filter(|_| result == result_code::SUCCESS) {
            state.said = None;
            if std::mem::take(&mut state.in_doubt) {
                // The node had read it after all.
                (state.stands, state.unanswered) = (true, None);
            }
        }
        let (request, deadline, earlier) =
            (self.tries[id].record, self.tries[id].deadline, self.tries[id].answer);
        let this = &mut self.tries[id];
        let mut again = false;
        for sent in &mut this.sent {
            if (sent.0, sent.1) == (conn, hop) {
                again |= std::mem::replace(&mut sent.2, true);
            }
        }
        this.answer.get_or_insert((at, result));
        let (chain, left) = (this.chain, this.left);
        if again {
            let how = format!("a second answer ({result}) to one request");
            return self.broken(Rule::OneAnswer, at, &session, how, vec![request, number]);
        }
        if let Some((_, first)) = earlier {
            if first != result {
                let how = format!("answers differ: {first}, then {result}");
                return self.broken(Rule::OneAnswer, at, &session, how, vec![request, number]);
            }
            return;
        }
        if at > deadline + self.facts.answer_grace && !left {
            if self.stalled(self.tries[id].node, deadline)
                || at - self.behind(deadline, at) <= deadline + self.facts.answer_grace
            {
                return;
            }
            let how =
                format!("answered with {result} {} ms after the caller's deadline", (at - deadline) / 1_000);
            self.broken(Rule::OneAnswer, at, &session, how, vec![request, number]);
        }
        if result == result_code::SUCCESS {
            self.stood += 1;
            if !left && at <= deadline + self.facts.answer_grace {
                self.chains[chain].stood.get_or_insert(at);
            }
        } else {
            self.turned_away += 1;
        }
    }

    /// Whether a node got no turn by the script at a moment, or had only just got one again.
    fn stalled(&self, node: u16, at: Micros) -> bool {
        let slack = self.facts.answer_grace + self.facts.skew;
        self.stalls
            .iter()
            .any(|(stalled, from, to)| *stalled == node && at + slack >= *from && at <= to + slack)
    }

    /// When the stall in which a node was at a moment began, and those before it that it followed at once.
    fn stalls_began(&self, node: u16, at: Micros) -> Vec<Micros> {
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

    /// How much of the time between two moments the stand-ins' own loop was behind: as much may a moment be
    /// later than what it tells of. One that was behind when the first was read counts whole.
    fn behind(&self, from: Micros, to: Micros) -> Micros {
        let within = self.behind.iter().rev().take_while(|(_, until)| *until + self.facts.skew >= from);
        within.filter(|(since, _)| *since <= to).map(|(since, until)| until - since).sum()
    }

    // ---- Between nodes and servers ----

    /// Which call each circuit carries, whoever seized it: from the answer that accepts a seizure to the release,
    /// abort or reset that is seen first.
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
                let before = self.carried.insert((node, server, circuit), session.clone());
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
                self.carried.retain(|(on, to, _), held| (*on, *to) != (node, server) || held != session);
                // A success that crosses the release carries nothing any more.
                self.seizures.retain(|(on, ..), (_, held)| *on != conn || held != session);
            }
            (d::CMD_CIRCUITS, true) if message.number(d::CIRCUIT_OPERATION) == Some(1) => {
                let first = message.number(d::CIRCUIT_ID).unwrap_or(0);
                let count = message.number(d::CIRCUIT_COUNT).unwrap_or(0);
                // The same reset said again must not end what began in between.
                if !self.resets.insert((conn, head.end_to_end)) {
                    return;
                }
                let within = |circuit: u32| circuit >= first && circuit - first < count;
                self.carried.retain(|(on, to, circuit), _| (*on, *to) != (node, server) || !within(*circuit));
                // Whichever end resets: an attempt that was out on such a circuit is over there.
                let over =
                    self.seizures.iter().filter(|((on, ..), (circuit, _))| *on == conn && within(*circuit));
                for ((_, hop, _), (_, session)) in over {
                    let Some(state) = self.sessions.get_mut(session) else { continue };
                    if state.out.is_some_and(|(_, out_on, out_hop, _)| (out_on, out_hop) == (conn, *hop)) {
                        state.out = None;
                        state.unanswered = Some((at, number));
                    }
                }
            }
            _ => {}
        }
    }

    /// A server seizes a circuit that it controls: a seizure of the node's that is out on it is disregarded there, and
    /// the call may be sent again at once.
    fn yielded(&mut self, server: u16, node: u16, conn: u64, message: &MessageRef<'_>) {
        let Some(circuit) = message.number(d::CIRCUIT_ID) else { return };
        if !controls(server, node, circuit) {
            return;
        }
        for ((on, hop, _), (seized, session)) in &self.seizures {
            if (*on, *seized) != (conn, circuit) {
                continue;
            }
            if let Some(state) = self.sessions.get_mut(session) {
                if state.out.is_some_and(|(_, out_on, out_hop, _)| (out_on, out_hop) == (conn, *hop)) {
                    state.out = None;
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
            (d::CMD_AA, true, false) => self.attempted(number, at, server, node, conn, message),
            (d::CMD_AA, true, true) => self.yielded(server, node, conn, message),
            (d::CMD_AA, false, true) => {
                let success = message.result_code() == result_code::SUCCESS;
                let Some(state) = self.sessions.get_mut(session) else { return };
                let hop = message.header.hop_by_hop;
                if state.out.is_some_and(|(_, out_on, out_hop, _)| (out_on, out_hop) == (conn, hop)) {
                    state.out = None;
                    state.stands = success;
                    state.said = success.then_some((at, conn));
                } else if success {
                    self.late += 1;
                }
            }
            (d::CMD_SESSION_TERMINATION, true, false) => {
                let Some(state) = self.sessions.get_mut(session) else { return };
                if state.out.is_some_and(|(out_at, ..)| out_at == server) {
                    state.out = None;
                    state.unanswered = Some((at, number));
                } else if state.out.is_none() {
                    state.stands = false;
                }
            }
            (d::CMD_ABORT_SESSION, true, true) => {
                if let Some(state) = self.sessions.get_mut(session) {
                    state.stands = false;
                }
            }
            (d::CMD_DISCONNECT, true, true) => {
                if let std::collections::hash_map::Entry::Vacant(entry) = self.told.entry((node, server)) {
                    entry.insert(at);
                    self.case(Rule::Drains, at);
                }
            }
            // It opened a connection anew after its DPR.
            (d::CMD_CAPABILITIES, false, true) if message.result_code() == result_code::SUCCESS => {
                self.told.remove(&(node, server));
            }
            _ => {}
        }
    }

    fn attempted(
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
        let (out, unanswered, stands) = (state.out, state.unanswered.take(), state.stands);
        state.out = Some((server, conn, message.header.hop_by_hop, number));
        (state.said, state.in_doubt) = (None, false);
        // As `yielded`, met the other way round: the server's seizure waits at a node that had no turn.
        let crosses = message.number(d::CIRCUIT_ID).is_some_and(|circuit| {
            let mut theirs = self.seizures.iter().filter(|((on, _, theirs), _)| *on == conn && *theirs);
            controls(server, node, circuit) && theirs.any(|(_, (seized, _))| *seized == circuit)
        });
        if crosses {
            state.out = None;
        }
        self.conn_sessions.entry(conn).or_default().push(session.clone());
        if out.is_some() || stands || unanswered.is_some() {
            self.case(Rule::OneAttempt, at);
        }
        if let Some((other, _, _, record)) = out {
            let how = format!("sent to server {server} while an attempt at server {other} is out");
            self.broken(Rule::OneAttempt, at, &session, how, vec![record, number]);
        } else if stands {
            let how = format!("sent to server {server} while the call stands");
            self.broken(Rule::OneAttempt, at, &session, how, vec![number]);
        }
        if let Some((ended, record)) = unanswered {
            self.case(Rule::Release, at);
            if at - ended + self.behind(ended, at) < self.facts.release - skew {
                let how =
                    format!("sent again {} ms after an attempt without an answer", (at - ended) / 1_000);
                self.broken(Rule::Release, at, &session, how, vec![record, number]);
            }
        }
        if let Some(told) = self.told.get(&(node, server)) {
            if at - self.behind(*told, at) > told + self.facts.drain_grace + skew {
                let late = (at - told) / 1_000;
                let how =
                    format!("node {node} sent to server {server} {late} ms after it was told of its drain");
                self.broken(Rule::Drains, at, &session, how, vec![number]);
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
        let informed = |node: &u16| self.informed.get(&(*node, server)).is_some_and(|told| *told <= at);
        let known = cold.arrivals.iter().filter(|(_, node)| informed(node)).count();
        if known * 3 >= count * 2 {
            cold.broken = true;
            let how = format!("{count} set-ups within the span, {budget:.1} allowed");
            self.broken(Rule::ColdServers, at, &format!("server {server}"), how, vec![number]);
        }
    }

    fn closed(&mut self, number: usize, at: Micros, end: End, conn: u64) {
        match end {
            End::Client(_) => {
                // Whoever lost its connection is owed nothing unless it asks again.
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
                    if state.out.is_some_and(|(_, out_on, ..)| out_on == conn) {
                        state.out = None;
                        state.unanswered = Some((at, number));
                    }
                    // Written right before its connection ended, an answer is lost with what a reset discards.
                    let lost = |(said, on): &(Micros, u64)| *on == conn && at - said <= self.facts.skew;
                    if state.stands && state.said.take_if(|said| lost(said)).is_some() {
                        (state.stands, state.in_doubt) = (false, true);
                        state.unanswered = Some((at, number));
                    }
                }
            }
        }
    }

    // ---- The verdict ----

    fn earned(&self, chain: &Chain, class: &ClassFacts) -> f64 {
        match chain.stood {
            Some(at) if !chain.cut && at <= chain.clock + class.aim => class.worth,
            Some(_) if !chain.cut => class.worth * class.late_worth,
            _ => 0.0,
        }
    }

    fn service<'c>(&self, chains: impl Iterator<Item = &'c Chain>) -> Option<f64> {
        let (mut earned, mut offered) = (0.0, 0.0);
        for chain in chains {
            if let Some(class) = self.facts.classes.get(chain.class) {
                offered += class.worth;
                // Calls that come late earn a part, but service counts only what stood in time.
                let got = self.earned(chain, class);
                earned += if got < class.worth { 0.0 } else { got };
            }
        }
        (offered > 0.0).then(|| earned / offered)
    }

    fn verdict(mut self) -> Verdict {
        let (mut excused, mut in_doubt) = (0, 0);
        let mut left = 0;
        let without =
            |this: &Try| this.answer.is_none() && this.deadline + self.facts.answer_grace < self.end;
        let unanswered: Vec<usize> = (0..self.tries.len()).filter(|id| without(&self.tries[*id])).collect();
        for id in unanswered {
            let Try { deadline, ref reckoned, asked, record, node, left: gone, .. } = self.tries[id];
            // Reckoned from a stall's beginning it ended in another one, or was over when it was last asked for.
            let doubtful = |deadline: Micros| {
                self.stalled(node, deadline) || asked + self.facts.answer_grace >= deadline
            };
            if gone {
                left += 1;
            } else if self.stalled(node, deadline) {
                excused += 1;
            } else if reckoned.iter().copied().any(doubtful) {
                in_doubt += 1;
            } else {
                let how = "no answer before the caller's deadline".to_owned();
                let session = self.by_session.iter().find(|(_, known)| **known == id);
                let what = session.map_or("a call".to_owned(), |(session, _)| session.clone());
                self.broken(Rule::OneAnswer, deadline, &what, how, vec![record]);
            }
        }
        let zero = self.chains.iter().map(|chain| chain.first).min().unwrap_or(0);
        let classes = self.facts.classes.iter().enumerate().map(|(index, class)| {
            let served = self.service(self.chains.iter().filter(|chain| chain.class == index));
            (class.name.clone(), served.unwrap_or(0.0))
        });
        let classes = classes.collect();
        let last = self.chains.iter().map(|chain| chain.first).max().unwrap_or(0);
        let windows = (0..=(last - zero) / 5_000_000).map(|window| {
            let within = |chain: &&Chain| (chain.first - zero) / 5_000_000 == window;
            self.service(self.chains.iter().filter(within)).unwrap_or(0.0)
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
                self.service(self.chains.iter().filter(|chain| (*from..=to).contains(&chain.first)));
            let seconds = |at: Micros| (at - zero) as f64 / 1e6;
            TroubleRow { text: text.clone(), from: seconds(*from), to: seconds(to), cases, broken, service }
        });
        let troubles = troubles.collect();
        let service = self.service(self.chains.iter()).unwrap_or(0.0);
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
            callers: self.chains.len(),
            tries: self.tries.len(),
            attempts: self.attempts,
            stood: self.stood,
            turned_away: self.turned_away,
            cut: self.cut,
            left,
            excused,
            in_doubt,
            handshakes: (self.handshakes.handshakes + self.handshakes.refused > 0)
                .then_some(Handshakes { certificates: self.seen.len(), ..self.handshakes }),
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

/// Whether a server controls a circuit toward a node: of two ends, the one whose name comes later controls the even
/// ones.
fn controls(server: u16, node: u16, circuit: u32) -> bool {
    let even = format!("server-{server}.lab") > format!("node-{node}.lab");
    circuit.is_multiple_of(2) == even
}
