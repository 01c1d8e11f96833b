//! The fleet protocol over datagrams, and its independence from call processing.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::*;
use lemoncleat_access::{ConnId, Input, Micros, Notice};
use lemoncleat_fleet::{MemberId, State};
use lemoncleat_sip::Method;

const TAG: u8 = 0xf1;
const TRANSIT_TIME_US: Micros = 2 * MS;

fn peer(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 9, (number / 250) as u8, (number % 250 + 1) as u8], 7946))
}

/// Returns a change to the configuration that makes it that of one of `count` nodes.
fn config_of(number: usize, count: usize) -> impl Fn(String) -> String {
    move |text| {
        let peers: Vec<_> = (0..count).map(|at| format!("\"{}\"", peer(at))).collect();
        text.replace("\"127.0.9.1:7946\",\"127.0.9.2:7946\"", &peers.join(","))
            .replace("\"slot_no\":0", &format!("\"slot_no\":{number}"))
            .replace("8c1f30d27a5be964", &format!("{:x}", 77 + number))
            .replace("\"balancers\":2", &format!("\"balancers\":{count}"))
    }
}

fn node(number: usize, count: usize, joins: bool) -> Harness {
    let mut harness = Harness::with_nothing_reachable(config_of(number, count));
    if joins {
        harness.node.join_fleet();
    }
    harness.reachable = BTreeSet::from([server_a(), server_b(), journal()]);
    harness
}

fn lines(harness: &Harness) -> Vec<String> {
    let lines = harness.notices.iter().filter(|notice| is_fleet_line(notice));
    lines.map(ToString::to_string).collect()
}

fn is_fleet_line(notice: &Notice) -> bool {
    matches!(notice, Notice::Module(line) if line.starts_with("fleet: "))
}

/// Nodes with a simulated datagram network between them.
struct Tier {
    now: Micros,
    nodes: Vec<Option<Harness>>,
    in_transit: BTreeMap<(Micros, u64), (usize, usize, Vec<u8>)>,
    numbers: BTreeMap<SocketAddr, usize>,
    sent: (u64, u64),
    turns: u64,
    /// Processor time used by the nodes themselves.
    used: Duration,
}

impl Tier {
    fn new(count: usize, joins: bool) -> Tier {
        let mut nodes: Vec<_> = (0..count).map(|number| Some(node(number, count, joins))).collect();
        nodes.iter_mut().flatten().for_each(|harness| harness.input(Input::Timeout));
        let numbers = (0..count).map(|number| (peer(number), number)).collect();
        Tier {
            now: 0,
            nodes,
            in_transit: BTreeMap::new(),
            numbers,
            sent: (0, 0),
            turns: 0,
            used: Duration::ZERO,
        }
    }

    fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        loop {
            let wakes = self.nodes.iter().flatten().filter_map(|harness| harness.node.wake());
            let arrival = self.in_transit.keys().next().map(|(at, _)| *at);
            let Some(next) = wakes.chain(arrival).min().filter(|next| *next <= until) else { break };
            self.now = self.now.max(next);
            while let Some(message) =
                self.in_transit.first_entry().filter(|message| message.key().0 <= self.now)
            {
                let (from, to, bytes) = message.remove();
                self.turn(to, Some((peer(from), &bytes)));
            }
            for at in 0..self.nodes.len() {
                let wake = self.nodes[at].as_ref().and_then(|harness| harness.node.wake());
                if wake.is_some_and(|wake| wake <= self.now) {
                    self.turn(at, None);
                }
            }
        }
        self.now = until;
    }

    /// Runs one turn of a node as its driver does: the received message first, then the time.
    fn turn(&mut self, at: usize, message: Option<(SocketAddr, &[u8])>) {
        let Some(harness) = &mut self.nodes[at] else { return };
        self.turns += 1;
        harness.now = self.now;
        let began = Instant::now();
        if let Some((from, bytes)) = message {
            harness.input(Input::Datagram(from, bytes));
            assert!(harness.datagrams.is_empty(), "the fleet sends only in its own turn");
        }
        harness.input(Input::Timeout);
        self.used += began.elapsed();
        for (to, bytes) in std::mem::take(&mut harness.datagrams) {
            assert!(bytes.len() <= 256 && bytes[0] == TAG, "{} bytes", bytes.len());
            let to = self.numbers[&to];
            assert_ne!(to, at, "no node sends to itself");
            self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
            self.in_transit.insert((self.now + TRANSIT_TIME_US, self.sent.0), (at, to, bytes));
        }
    }

    fn state_at(&self, at: usize, of: usize) -> State {
        let fleet = self.nodes[at].as_ref().and_then(|harness| harness.node.fleet()).expect("a member");
        let id = MemberId::of(&of.to_string());
        fleet.members().find(|(member, ..)| *member == id).expect("a member").2
    }

    /// Returns whether each running node considers all running nodes alive and all others gone.
    fn converged(&self) -> bool {
        let running = |at: usize| self.nodes[at].is_some();
        let correct = |at, of| self.state_at(at, of) == if running(of) { State::Alive } else { State::Gone };
        (0..self.nodes.len())
            .filter(|at| running(*at))
            .all(|at| (0..self.nodes.len()).all(|of| correct(at, of)))
    }
}

#[test]
fn detects_silent_member_and_its_return() {
    let mut tier = Tier::new(3, true);
    tier.advance(5 * SECOND);
    assert!(tier.converged(), "all are alive");
    tier.nodes[2] = None;
    tier.advance(15 * SECOND);
    assert!(tier.converged(), "one is gone");
    let log_lines = lines(tier.nodes[0].as_ref().expect("a node"));
    let at = |what: &str| log_lines.iter().position(|line| line.starts_with(what));
    let (alive, suspect, gone) =
        (at("fleet: 2 is alive"), at("fleet: 2 is suspect"), at("fleet: 2 is gone, 2 alive"));
    assert!(alive.is_some() && alive < suspect && suspect < gone, "{log_lines:?}");

    // The node restarts within the second of its last start, by its clock: the other nodes remember that
    // start, and it continues above it.
    let mut again = node(2, 3, true);
    again.now = tier.now;
    tier.nodes[2] = Some(again);
    tier.advance(10 * SECOND);
    assert!(tier.converged(), "it has returned");
    for harness in tier.nodes.iter().flatten() {
        assert_eq!(harness.node.stats().peer_messages, 0, "no fleet message reaches the module");
        let stats = harness.node.fleet().expect("a member").stats();
        assert_eq!((stats.unreadable, stats.strangers, stats.impostors), (0, 0, 0));
    }
}

#[test]
fn drops_messages_of_unknown_senders_malformed_and_oversized_ones() {
    let mut tier = Tier::new(3, true);
    tier.advance(5 * SECOND);
    let harness = tier.nodes[0].as_mut().expect("a node");
    let stats = |harness: &Harness| harness.node.fleet().expect("a member").stats();
    let (before, long) = (stats(harness), [TAG; 257]);
    let cases: [(SocketAddr, &[u8], u64, u64); 8] = [
        (address("127.0.0.77:7946"), &[TAG, 1, 2], 0, 0),
        (address("127.9.0.2:7947"), &[TAG, 1, 2], 0, 0),
        (peer(1), &long, 0, 0),
        (peer(1), &[], 1, 0),
        (peer(1), &[7, TAG], 1, 0),
        (peer(1), &[TAG], 0, 1),
        (peer(1), &long[..256], 0, 1),
        (peer(1), &[TAG, 255, 255, 255, 255, 255, 255], 0, 1),
    ];
    for (from, bytes, module, unreadable) in cases {
        let (messages_before, unreadable_before) =
            (harness.node.stats().peer_messages, stats(harness).unreadable);
        harness.input(Input::Datagram(from, bytes));
        harness.input(Input::Timeout);
        let got = (
            harness.node.stats().peer_messages - messages_before,
            stats(harness).unreadable - unreadable_before,
        );
        assert_eq!(got, (module, unreadable), "{from} {bytes:?}");
    }
    assert_eq!(stats(harness).heard, before.heard);
    let log_lines = lines(harness).into_iter().filter(|line| line.contains("can't be read")).count();
    assert_eq!(log_lines, 1, "one log line a minute");

    // A flood before the next turn: only a limited number of messages is queued, and a turn processes only
    // some of them.
    let unreadable_before = stats(harness).unreadable;
    (0..1_000).for_each(|_| harness.input(Input::Datagram(peer(1), &[TAG])));
    assert_eq!(stats(harness).unreadable, unreadable_before, "the fleet has had no turn yet");
    harness.input(Input::Timeout);
    assert_eq!((stats(harness).unreadable - unreadable_before, harness.node.wake()), (16, Some(harness.now)));
    harness.advance(SECOND);
    assert_eq!(stats(harness).unreadable - unreadable_before, 64);
    assert!(harness.node.wake() > Some(harness.now));
    harness.datagrams.clear();
    tier.now += SECOND;
    tier.advance(5 * SECOND);
    assert!(tier.converged(), "the members' state is unaffected");
}

/// Runs calls against a node and returns a log of all it did: callers that come and leave, servers that
/// answer, refuse, fall silent and die, and the shutdown.
fn run_calls(mut harness: Harness, noise: bool) -> Vec<String> {
    let mut random_state = 88_172_645_463_325_252_u64;
    let mut random_below = move |of: u64| {
        random_state ^= random_state << 13;
        random_state ^= random_state >> 7;
        random_state ^= random_state << 17;
        random_state % of
    };
    let mut log = Vec::new();
    harness.advance(MS);
    harness.report_free_lines();
    let mut callers: Vec<ConnId> = (0..4).map(|_| harness.connect_caller()).collect();
    let mut established: Vec<(ConnId, String)> = Vec::new();
    for step in 0..600 {
        let at = random_below(4) as usize;
        if step % 10 == 0 {
            harness.report_free_lines();
        }
        if established.len() > 8 {
            let (conn, id) = established.remove(0);
            if !harness.closed.contains(&conn) {
                let cause = if random_below(4) == 0 { 41 } else { 16 };
                harness.bytes(conn, &bye(&id, cause));
            }
        }
        if harness.closed.contains(&callers[at]) {
            callers[at] = harness.connect_caller();
        }
        let (caller, id) = (callers[at], format!("{step:016x}"));
        match random_below(8) {
            0 => harness.bytes(caller, &request_about(Method::Cancel, &format!("{:016x}", step - 1))),
            1 if step % 50 == 1 => {
                let conn = harness.conns_to(server_a()).first().copied();
                conn.into_iter().for_each(|conn| harness.close(conn));
            }
            kind => {
                let class = if kind < 5 { "voice" } else { "dear" };
                harness.bytes(caller, &invite(&id, class, &format!("dest:{};width:1;via:-1", kind % 2)));
            }
        }
        if noise {
            harness.input(Input::Datagram(peer(1), &[TAG, step as u8, 1]));
            harness.input(Input::Datagram(address("127.0.0.77:7946"), &[TAG, 3]));
        }
        for (to, conn) in harness.all_conns.clone() {
            let bytes = harness.read_raw(conn);
            log.push(format!("{step} {to} {conn:?} {}", String::from_utf8_lossy(&bytes)));
            if to == journal() {
                continue;
            }
            for forwarded in messages(&bytes).iter().filter(|one| one.method() == Some(&Method::Invite)) {
                match random_below(6) {
                    0 => {}
                    1 => harness.bytes(conn, &refusal(forwarded, 503, "all_trunks_busy")),
                    2 => harness.bytes(conn, &refusal(forwarded, 486, "")),
                    _ if harness.closed.contains(&conn) => {}
                    _ => {
                        harness.bytes(conn, &ok(forwarded));
                        established.extend(forwarded.call_id().map(|id| (conn, id.to_owned())));
                    }
                }
            }
        }
        harness.advance(random_below(60) as Micros * MS);
        for conn in &callers {
            let bytes = harness.read_raw(*conn);
            log.push(format!("{step} {conn:?} {}", String::from_utf8_lossy(&bytes)));
        }
        log.push(format!("{step} {:?} {:?}", harness.closed, harness.dials));
    }
    harness.input(Input::Terminate);
    harness.advance(60 * SECOND);
    log.extend(harness.notices.iter().filter(|one| !is_fleet_line(one)).map(ToString::to_string));
    log.push(format!("{:?} {:?} {}", harness.answers, harness.node.stats(), harness.stopped));
    let stats = harness.node.stats();
    let all_outcomes = stats.stood > 50 && stats.refused > 5 && stats.cut > 5 && stats.given_up > 5;
    assert!(harness.stopped && all_outcomes, "{} {stats:?}", harness.stopped);
    log
}

#[test]
fn handles_calls_alike_whether_fleet_is_off_silent_or_disturbed() {
    let off = run_calls(node(0, 3, false), false);
    assert_eq!(off, run_calls(node(0, 3, false), false), "the same inputs give the same outputs");
    assert_eq!(off, run_calls(node(0, 3, true), false), "on, and all others silent");
    assert_eq!(off, run_calls(node(0, 3, true), true), "on, and others send malformed messages");
    assert_eq!(off, run_calls(node(0, 3, false), true), "off, and others have it on");
}

#[test]
fn sends_nothing_when_fleet_is_off_or_messages_not_allowed() {
    let lines_of_idle_node = |mut harness: Harness| {
        harness.advance(30 * SECOND);
        harness.input(Input::Datagram(peer(1), &[TAG, 1]));
        assert!(
            harness.datagrams.is_empty()
                && harness.node.fleet().is_none()
                && harness.node.stats().peer_messages == 0
        );
        lines(&harness)
    };
    assert!(lines_of_idle_node(node(0, 3, false)).is_empty());
    let alone = |change: &dyn Fn(String) -> String| {
        let mut harness = Harness::with_nothing_reachable(change);
        harness.node.join_fleet();
        lines_of_idle_node(harness)
    };
    let forbidden =
        alone(&|text| config_of(0, 3)(text).replace("\"peer_messages\":true", "\"peer_messages\":false"));
    assert_eq!(forbidden, ["fleet: alone: the settings allow no messages between nodes"]);
    assert_eq!(alone(&config_of(3, 3)), ["fleet: alone: 3 is not among the members"]);
    assert_eq!(alone(&config_of(0, 1_025)), ["fleet: alone: 1025 members; at most 1024"]);
}

#[test]
fn joins_largest_tier_and_limits_log_lines_at_start() {
    let harness = node(1_023, 1_024, true);
    assert_eq!(harness.node.fleet().expect("no two numbers have one digest").members().count(), 1_024);
    let mut tier = Tier::new(60, true);
    tier.advance(9 * SECOND);
    let log_lines = lines(tier.nodes[7].as_ref().expect("a node")).len();
    assert!((20..=22).contains(&log_lines), "{log_lines} lines");
}

#[test]
fn logs_summary_once_at_shutdown() {
    let mut tier = Tier::new(3, true);
    tier.advance(5 * SECOND);
    let harness = tier.nodes[1].as_mut().expect("a node");
    harness.input(Input::Terminate);
    tier.advance(5 * SECOND);
    let harness = tier.nodes[1].as_mut().expect("a node");
    assert!(harness.stopped);
    let log_lines = lines(harness);
    assert!(log_lines.last().is_some_and(|line| line.starts_with("fleet: 3 of 3 alive; ")), "{log_lines:?}");
    harness.advance(30 * SECOND);
    assert!(harness.datagrams.is_empty() && lines(harness) == log_lines);
    tier.advance(10 * SECOND);
    assert_eq!((tier.state_at(0, 1), tier.state_at(0, 2)), (State::Gone, State::Alive));
}

/// Measures the cost. `cargo test --release -p lemoncleat-access --test fleet -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn measure_cost() {
    for count in [9, 64, 300] {
        for joins in [false, true] {
            let mut tier = Tier::new(count, joins);
            let mut converged = None;
            for half in 1..=120 {
                tier.advance(SECOND / 2);
                if joins && converged.is_none() && tier.converged() {
                    converged = Some(half as f64 / 2.0);
                }
            }
            let (sent, bytes, turns, used) = (tier.sent.0, tier.sent.1, tier.turns, tier.used);
            tier.advance(20 * SECOND);
            let per = |figure: f64| figure / 20.0 / count as f64;
            let used = per((tier.used - used).as_secs_f64() * 1e6);
            println!(
                "{count}, fleet {joins}: {:.1} messages/s, {:.0} bytes/s, {:.1} turns/s, {:.0} us/s a node; all know all after {converged:?} s",
                per((tier.sent.0 - sent) as f64),
                per((tier.sent.1 - bytes) as f64),
                per((tier.turns - turns) as f64),
                used
            );
            if joins {
                tier.nodes[1] = None;
                let began = tier.now;
                while !tier.converged() && tier.now - began < 60 * SECOND {
                    tier.advance(SECOND / 2);
                }
                println!("{count}: killed, known by all after {:.1} s", (tier.now - began) as f64 / 1e6);
            }
        }
    }
}
