//! Gaps between a node's turns under a virtual clock, checked by what each end received: in whatever order
//! the backlog is read, no answer is sent after a caller's deadline, and no peer is blamed for the gap.

mod common;

use common::{aar, aar_builder, answer_of, entry, settings, str_request, Frame, Harness, MS, SECOND};
use lemoncleat::Availability;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::result_code as code;
use lemoncleat_node::{ConnId, Input, ListNews, Micros, Notice};
use proptest::prelude::*;

/// Drops watchdog messages.
fn without_watchdogs(got: Vec<Frame>) -> Vec<Frame> {
    got.into_iter().filter(|got| !got.name().starts_with("DW")).collect()
}

fn names(got: &[Frame]) -> Vec<&'static str> {
    got.iter().map(Frame::name).collect()
}

/// Returns a node with a server and a client, and a call whose attempt is unanswered.
fn with_pending_attempt() -> (Harness, ConnId, ConnId, u32, Frame) {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    let id = harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    (harness, server, client, id, attempt)
}

#[test]
fn releases_a_success_read_after_the_deadline() {
    let (mut harness, server, client, _, attempt) = with_pending_attempt();
    // The loop has no turn for five seconds, and the driver does not report it; the caller gave up after
    // three.
    harness.now += 5 * SECOND;
    harness.answer(server, &attempt, code::SUCCESS);
    assert!(without_watchdogs(harness.take(client)).is_empty(), "nothing more is sent for the call");
    assert_eq!(harness.expect_one(server, "STR").session(), "s;1");
    let stats = harness.node.stats();
    assert_eq!((stats.late, stats.withheld, stats.standing, stats.setting_up), (1, 1, 0, 0));
    let noticed = |notice: &Notice| matches!(notice, Notice::AnswerWithheld { result: code::SUCCESS, .. });
    assert_eq!(harness.notices.iter().filter(|notice| noticed(notice)).count(), 1);
}

#[test]
fn withholds_a_failure_after_the_deadline() {
    let (mut harness, server, client, id, _) = with_pending_attempt();
    harness.now += 5 * SECOND;
    harness.input(Input::Timeout);
    assert!(without_watchdogs(harness.take(client)).is_empty());
    assert_eq!(names(&without_watchdogs(harness.take(server))), ["STR"]);
    // A repeat gets nothing either.
    harness.bytes(client, &aar("front.example", "s;1", 77, id, true));
    assert!(without_watchdogs(harness.take(client)).is_empty());
    assert!(without_watchdogs(harness.take(server)).is_empty());
}

/// Reads a server's success, the caller's release and a repeat of its request from one backlog, in every
/// order, with the deadline before or after the end of the gap.
#[test]
fn answers_once_for_success_release_and_repeat_in_any_order() {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    for (order, span) in orders.into_iter().flat_map(|order| [(order, 2 * SECOND), (order, 5 * SECOND)]) {
        let (mut harness, server, client, id, attempt) = with_pending_attempt();
        let backlog = [
            (server, answer_of(&attempt, code::SUCCESS)),
            (client, str_request("front.example", "s;1", 5_001)),
            (client, aar("front.example", "s;1", 5_002, id, true)),
        ];
        harness.begin_gap(span);
        for index in order {
            harness.bytes(backlog[index].0, &backlog[index].1);
        }
        harness.end_gap();
        let context = format!("order {order:?} after {span}");
        let got = without_watchdogs(harness.take(client));
        let answers: Vec<&Frame> = got.iter().filter(|got| got.name() == "AAA").collect();
        if span > 3 * SECOND {
            assert!(answers.is_empty(), "{context}: past the deadline");
        } else {
            // The request and its repeat are two transmissions: each gets at most one answer.
            assert!((1..=2).contains(&answers.len()), "{context}: {got:?}");
            assert!(answers.iter().all(|answer| answer.result() == answers[0].result()), "{context}");
        }
        assert_eq!(got.iter().filter(|got| got.name() == "STA").count(), 1, "{context}");
        let at_server = without_watchdogs(harness.take(server));
        assert!(names(&at_server).contains(&"STR"), "{context}: the server's call is released");
        assert!(!names(&at_server).contains(&"AAR"), "{context}: no second attempt");
        assert_eq!((harness.node.stats().standing, harness.node.stats().setting_up), (0, 0), "{context}");
        harness.advance(10 * SECOND);
        assert!(without_watchdogs(harness.take(client)).is_empty(), "{context}");
    }
}

#[test]
fn forwards_backlog_answers_only_to_callers_that_still_wait() {
    // With such a long aim the module allows hundreds of pending attempts at a server that has not answered
    // yet.
    let mut settings = settings();
    settings.module.classes.iter_mut().for_each(|class| class.aim = 300 * SECOND);
    settings.module.repeat = 0;
    let mut harness = Harness::new(settings);
    let servers: Vec<ConnId> =
        (0..4).map(|number| harness.connect_server(&format!("s{number}.example"))).collect();
    let client = harness.connect_client("front.example");
    let mut attempts = Vec::new();
    for number in 0..600_u32 {
        // Half of the callers wait nine seconds, the others one and a half.
        let id = harness.new_id();
        let patience = if number % 2 == 0 { 9_000 } else { 1_500 };
        harness.bytes(client, &aar_with_patience(&format!("s;{number}"), id, patience));
        harness.advance(2 * MS);
        for server in &servers {
            attempts.extend(without_watchdogs(harness.take(*server)).into_iter().map(|got| (*server, got)));
        }
    }
    let early = without_watchdogs(harness.take(client)).len();
    let due = |even: u32| attempts.iter().filter(|(_, got)| number_of(got) % 2 == even).count();
    let (waiting, gone) = (due(0), due(1));
    assert!(waiting + gone >= 500 && gone > 200, "{waiting} and {gone} attempts are out");
    harness.begin_gap(2 * SECOND);
    for (server, attempt) in &attempts {
        harness.answer(*server, attempt, code::SUCCESS);
    }
    harness.end_gap();
    let answers: Vec<Frame> = without_watchdogs(harness.take(client));
    assert!(answers.iter().all(|got| got.name() == "AAA"));
    let (stood, failed): (Vec<&Frame>, Vec<&Frame>) =
        answers.iter().partition(|got| got.result() == code::SUCCESS);
    assert_eq!(stood.len(), waiting, "each caller that waits has its success");
    assert!(
        stood.iter().chain(&failed).all(|got| number_of(got).is_multiple_of(2)),
        "and no other caller gets an answer"
    );
    let strs = |harness: &mut Harness, conn| {
        without_watchdogs(harness.take(conn)).iter().filter(|g| g.name() == "STR").count()
    };
    let released: usize = servers.iter().map(|server| strs(&mut harness, *server)).sum();
    assert!(released >= gone, "late successes are released: {released} of {gone}");
    let stats = harness.node.stats();
    assert_eq!((stats.standing, stats.setting_up), (waiting, 0));
    assert_eq!(early + answers.len() + stats.withheld as usize, 600, "each call is accounted for");
}

fn aar_with_patience(session: &str, id: u32, ms: u32) -> Vec<u8> {
    use lemoncleat_diameter::MessageBuilder;
    MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, id, id)
        .add_str(d::SESSION_ID, session)
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_str(d::ORIGIN_HOST, "front.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_str(d::DESTINATION_REALM, "example")
        .add_u32(d::AUTH_REQUEST_TYPE, 1)
        .add_u32(d::SETUP_PATIENCE, ms)
        .add_str(d::CALLED_STATION_ID, "35101234")
        .build()
}

/// Makes calls that are established at once, so that the module learns the server's capacity.
fn warm_up(harness: &mut Harness, client: ConnId, server: ConnId) {
    for number in 0..400 {
        harness.call(client, &format!("w;{number}"));
        for got in harness.answer_watchdogs(server) {
            harness.answer(server, &got, code::SUCCESS);
        }
        harness.bytes(client, &str_request("front.example", &format!("w;{number}"), 90_000 + number));
        harness.advance(2 * MS);
        harness.answer_watchdogs(client);
    }
    harness.advance(20 * MS);
    harness.take(client);
    harness.take(server);
}

fn number_of(got: &Frame) -> u32 {
    got.session()[2..].parse().expect("s;number")
}

#[test]
fn accepts_an_answer_of_an_attempt_that_expired_in_the_gap() {
    // The call's deadline and its attempt's timeout fall into the gap, except for the margin that the module
    // reserved; the server has answered.
    let mut harness = Harness::new(settings());
    let a = harness.connect_server("a.example");
    let b = harness.connect_server("b.example");
    let client = harness.connect_client("front.example");
    let id = harness.new_id();
    let request =
        aar_builder("front.example", "s;1", id, id).add_str(d::CALLED_STATION_ID, "35101234").build();
    harness.bytes(client, &request);
    let (at_a, at_b) = (without_watchdogs(harness.take(a)), without_watchdogs(harness.take(b)));
    let (first, other, attempt) = match (at_a.first(), at_b.first()) {
        (Some(attempt), None) => (a, b, attempt.clone()),
        (None, Some(attempt)) => (b, a, attempt.clone()),
        got => panic!("one attempt is out: {got:?}"),
    };
    // The attempt ends at 2.97 s; a gap of 2.975 s covers it and any release wait.
    harness.begin_gap(2_975 * MS);
    harness.answer(first, &attempt, code::SUCCESS);
    harness.end_gap();
    let answers = without_watchdogs(harness.take(client));
    assert_eq!(names(&answers), ["AAA"]);
    assert_eq!(answers[0].result(), code::SUCCESS, "no timeout for the node's own gap");
    assert!(without_watchdogs(harness.take(other)).is_empty(), "and nothing is sent again");
    assert!(without_watchdogs(harness.take(first)).is_empty(), "nor released");
}

#[test]
fn reads_the_backlog_before_a_release_wait_ends() {
    let mut harness = Harness::new(settings());
    let a = harness.connect_server("a.example");
    let b = harness.connect_server("b.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let (at_a, at_b) = (without_watchdogs(harness.take(a)), without_watchdogs(harness.take(b)));
    let (first, other, other_host) = if at_a.is_empty() { (b, a, "a.example") } else { (a, b, "b.example") };
    assert_eq!(at_a.len() + at_b.len(), 1);
    harness.input(Input::Closed(first));
    harness.advance(100 * MS);
    // 200 ms of the release wait are left; meanwhile the list drains the other server.
    harness.begin_gap(SECOND);
    assert!(without_watchdogs(harness.take(other)).is_empty(), "nothing new before the news is read");
    harness.list(&[(other_host, Availability::Draining)]);
    harness.end_gap();
    harness.advance(SECOND);
    assert!(
        without_watchdogs(harness.take(other)).is_empty(),
        "the drain was in the backlog: nothing new goes there"
    );
    harness.advance(2 * SECOND);
    let answers = without_watchdogs(harness.take(client));
    assert_eq!(names(&answers), ["AAA"], "the call has its one answer in time");
    assert_ne!(answers[0].result(), code::SUCCESS);
}

#[test]
fn applies_a_drain_read_after_a_set_up() {
    // Both arrived during the gap, and the set-up is read first.
    let mut harness = Harness::new(settings());
    let a = harness.connect_server("a.example");
    let b = harness.connect_server("b.example");
    let client = harness.connect_client("front.example");
    harness.begin_gap(3 * SECOND);
    for number in 0..20 {
        let id = harness.new_id();
        harness.bytes(client, &aar_with_patience(&format!("s;{number}"), id, 9_000));
    }
    harness.list(&[("a.example", Availability::Draining)]);
    assert!(without_watchdogs(harness.take(a)).is_empty() && without_watchdogs(harness.take(b)).is_empty());
    harness.end_gap();
    harness.advance(SECOND);
    assert!(without_watchdogs(harness.take(a)).is_empty(), "nothing is sent to the draining server");
    assert!(!without_watchdogs(harness.take(b)).is_empty());
}

#[test]
fn dates_a_backlog_set_up_from_the_start_of_the_gap() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    let began = harness.now;
    harness.begin_gap(2 * SECOND);
    harness.bytes(client, &aar("front.example", "s;short", 1, 1, false));
    harness.end_gap();
    harness.advance(20 * MS);
    assert_eq!(without_watchdogs(harness.take(server)).len(), 1);
    // The server does not answer: the caller is answered within three seconds from the start of the gap.
    while harness.now < began + 3 * SECOND - 8 * MS {
        harness.advance(MS);
    }
    assert_eq!(names(&without_watchdogs(harness.take(client))), ["AAA"]);
}

#[test]
fn drops_an_expired_set_up_and_its_repeats() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.begin_gap(3_100 * MS);
    harness.bytes(client, &aar("front.example", "s;1", 1, 1, false));
    harness.bytes(client, &aar("front.example", "s;1", 2, 1, true));
    harness.end_gap();
    harness.bytes(client, &aar("front.example", "s;1", 3, 1, true));
    for _ in 0..50 {
        harness.advance(100 * MS);
        assert!(without_watchdogs(harness.answer_watchdogs(client)).is_empty());
        assert!(without_watchdogs(harness.answer_watchdogs(server)).is_empty());
    }
    let stats = harness.node.stats();
    assert_eq!((stats.calls, stats.withheld, stats.repeats), (0, 1, 2));
    assert!(harness.notices.iter().any(|n| matches!(n, Notice::LoopGap { set_ups: 2, withheld: 1, .. })));
    // The session can be used for another call.
    harness.bytes(client, &aar("front.example", "s;1", 4, 4, false));
    assert_eq!(names(&without_watchdogs(harness.take(server))), ["AAR"]);
}

#[test]
fn handles_a_release_read_with_its_set_up() {
    for release_first in [false, true] {
        let mut harness = Harness::new(settings());
        let server = harness.connect_server("a.example");
        let client = harness.connect_client("front.example");
        harness.begin_gap(SECOND);
        let mut backlog = [aar("front.example", "s;1", 1, 1, false), str_request("front.example", "s;1", 2)];
        if release_first {
            backlog.reverse();
        }
        for bytes in backlog {
            harness.bytes(client, &bytes);
        }
        harness.end_gap();
        let got = without_watchdogs(harness.take(client));
        if release_first {
            // Diameter keeps the order within a connection: this release found no session.
            assert_eq!(names(&got), ["STA"]);
            assert_eq!(got[0].result(), code::UNKNOWN_SESSION_ID);
            continue;
        }
        assert_eq!(names(&got), ["AAA", "STA"], "the set-up is answered, then the release confirmed");
        assert_eq!(got[1].result(), code::SUCCESS);
        assert_eq!(harness.node.stats().setting_up, 0);
        let at_server = without_watchdogs(harness.take(server));
        assert!(matches!(names(&at_server)[..], [] | ["AAR", "STR"]), "{at_server:?}");
    }
}

#[test]
fn counts_from_the_first_of_two_gaps_20_ms_apart() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;out");
    let attempt = harness.expect_one(server, "AAR");
    harness.begin_gap(1_800 * MS);
    harness.bytes(client, &aar("front.example", "s;new", 1, 1, false));
    // 20 ms of reading, then the next gap, before the whole backlog is read.
    harness.now += 20 * MS;
    harness.input(Input::Timeout);
    harness.begin_gap(1_300 * MS);
    harness.answer(server, &attempt, code::SUCCESS);
    harness.end_gap();
    assert!(without_watchdogs(harness.take(client)).is_empty(), "both callers have given up");
    let at_server = names(&without_watchdogs(harness.take(server)));
    assert!(!at_server.is_empty() && at_server.iter().all(|name| *name == "STR"), "released: {at_server:?}");
    assert_eq!((harness.node.stats().withheld, harness.node.stats().setting_up), (2, 0));
}

#[test]
fn keeps_calls_and_peers_over_a_gap_of_ten_seconds() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    for number in 0..1_000 {
        harness.call(client, &format!("s;{number}"));
        harness.advance(5 * MS);
        for got in without_watchdogs(harness.take(server)) {
            harness.answer(server, &got, code::SUCCESS);
        }
        harness.answer_watchdogs(client);
    }
    harness.advance(50 * MS);
    for got in harness.answer_watchdogs(server) {
        harness.answer(server, &got, code::SUCCESS);
    }
    harness.take(client);
    let standing = harness.node.stats().standing;
    assert!(standing > 900, "{standing} stand");
    // Tw is 1 s. Both peers get watchdog requests, and answer while the node has no turn.
    harness.advance(1_400 * MS);
    let asked: Vec<Frame> = harness.take(server).into_iter().filter(|got| got.name() == "DWR").collect();
    assert!(!asked.is_empty(), "the server was asked");
    harness.notices.clear();
    harness.begin_gap(10 * SECOND);
    for dwr in &asked {
        harness.answer(server, dwr, code::SUCCESS);
    }
    harness.answer_watchdogs(client);
    harness.end_gap();
    harness.advance(300 * MS);
    let blamed = |n: &Notice| matches!(n, Notice::PeerSuspect(_) | Notice::PeerDown(..));
    assert!(!harness.notices.iter().any(blamed), "{:?}", harness.notices);
    assert_eq!(harness.node.stats().standing, standing);
    assert!(without_watchdogs(harness.take(client)).is_empty() && harness.closed.is_empty());
}

#[test]
fn suspects_a_silent_peer_only_for_its_own_silence() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.advance(1_400 * MS);
    assert!(harness.names(server).contains(&"DWR"));
    harness.answer_watchdogs(client);
    harness.notices.clear();
    harness.begin_gap(10 * SECOND);
    harness.end_gap();
    let suspect = |harness: &Harness| harness.notices.iter().any(|n| matches!(n, Notice::PeerSuspect(_)));
    assert!(!suspect(&harness), "the gap does not count as silence");
    for _ in 0..20 {
        harness.advance(100 * MS);
        harness.answer_watchdogs(client);
    }
    assert!(suspect(&harness), "its own silence counts");
}

#[test]
fn keeps_deadlines_when_the_clock_is_read_once_per_backlog() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    let began = harness.now;
    // The clock is read once; 4,096 callers with a patience of 0.9 to 4.9 s arrived meanwhile.
    harness.begin_gap(2 * SECOND);
    for number in 0..4_096_u32 {
        harness.bytes(client, &aar_with_patience(&format!("s;{number}"), number + 1, 900 + number));
    }
    assert!(without_watchdogs(harness.take(server)).is_empty());
    harness.input(Input::BacklogDelivered);
    let mut answered = 0;
    while harness.now < began + 6 * SECOND {
        for got in without_watchdogs(harness.take(client)) {
            assert_eq!(got.name(), "AAA");
            let deadline = began + Micros::from(900 + number_of(&got)) * MS;
            assert!(harness.now <= deadline, "call {} answered past its deadline", number_of(&got));
            answered += 1;
        }
        without_watchdogs(harness.answer_watchdogs(server));
        harness.now += MS;
        harness.input(Input::Timeout);
    }
    let stats = harness.node.stats();
    assert_eq!(stats.setting_up, 0);
    assert_eq!(answered + stats.withheld as usize, 4_096, "each is answered in time or dropped, none twice");
    assert!(stats.withheld >= 1_100 && answered > 2_800, "{answered} answered, {} dropped", stats.withheld);
}

#[test]
fn answers_only_waiting_callers_when_stopping_in_a_gap() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    warm_up(&mut harness, client, server);
    harness.call(client, "s;over");
    let over = harness.expect_one(server, "AAR");
    let id = harness.new_id();
    harness.bytes(client, &aar_with_patience("s;waits", id, 9_000));
    let waits = harness.expect_one(server, "AAR");
    harness.begin_gap(4 * SECOND);
    harness.input(Input::Stop);
    harness.bytes(client, &aar_with_patience("s;new", 9, 9_000));
    harness.answer(server, &over, code::SUCCESS);
    harness.answer(server, &waits, code::SUCCESS);
    harness.end_gap();
    let got: Vec<(String, u32)> = without_watchdogs(harness.take(client))
        .iter()
        .filter(|got| got.name() == "AAA")
        .map(|got| (got.session(), got.result()))
        .collect();
    let expected = [("s;waits".to_owned(), code::SUCCESS), ("s;new".to_owned(), code::TOO_BUSY)];
    assert_eq!(got, expected);
    assert_eq!(harness.node.stats().standing, 1);
}

#[test]
fn resumes_without_a_caught_up_report() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.begin_gap(100 * MS);
    harness.bytes(client, &aar("front.example", "s;1", 1, 1, false));
    harness.advance(1_100 * MS);
    assert_eq!(names(&without_watchdogs(harness.take(server))), ["AAR"]);
}

/// Events that a backlog may contain.
#[derive(Clone, Copy, Debug)]
enum BacklogItem {
    /// The server answers a pending attempt with a success, or refuses it.
    Answer(usize, bool),
    /// The caller releases the call.
    Release(usize),
    /// The caller repeats its request.
    Repeat(usize),
    /// A new call.
    Call(u32),
    /// A list update drains a server.
    Drain(bool),
    /// A server's connection is lost.
    Lost(bool),
}

fn backlog_item() -> impl Strategy<Value = BacklogItem> {
    prop_oneof![
        4 => (0..6_usize, any::<bool>()).prop_map(|(call, stands)| BacklogItem::Answer(call, stands)),
        2 => (0..6_usize).prop_map(BacklogItem::Release),
        2 => (0..6_usize).prop_map(BacklogItem::Repeat),
        3 => (100..6_000_u32).prop_map(BacklogItem::Call),
        1 => any::<bool>().prop_map(BacklogItem::Drain),
        1 => any::<bool>().prop_map(BacklogItem::Lost),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Six attempts are pending when the gap begins. Whatever the backlog contains, in whatever order: each
    /// request gets one answer and none after the deadline, there is never a second pending attempt, a
    /// drained server gets nothing new, and no call is left over.
    #[test]
    fn rules_hold_for_any_backlog(
        span in 60_000..6_000_000_i64,
        before in 0..1_500_000_i64,
        items in prop::collection::vec(backlog_item(), 0..24),
    ) {
        let mut harness = Harness::new(settings());
        let servers = [harness.connect_server("a.example"), harness.connect_server("b.example")];
        let hosts = ["a.example", "b.example"];
        let client = harness.connect_client("front.example");
        let mut checker = RuleChecker::default();
        for number in 0..6 {
            let session = format!("s;{number}");
            checker.deadlines.insert(session.clone(), harness.now + 3 * SECOND);
            let id = 100 + number;
            harness.bytes(client, &aar("front.example", &session, id, id, false));
            checker.observe(&mut harness, client, servers);
        }
        let settled = harness.now + before;
        while harness.now < settled {
            harness.advance((settled - harness.now).min(5 * MS));
            checker.observe(&mut harness, client, servers);
        }
        let began = harness.now;
        harness.begin_gap(span);
        checker.observe(&mut harness, client, servers);
        let mut hop = 10_000;
        for item in items {
            hop += 1;
            match item {
                BacklogItem::Answer(call, stands) => {
                    if let Some((at, got)) = checker.out.remove(&format!("s;{call}")) {
                        if !harness.closed.contains(&servers[at]) && !checker.lost[at] {
                            harness.answer(
                                servers[at],
                                &got,
                                if stands { code::SUCCESS } else { code::TOO_BUSY },
                            );
                        }
                    }
                }
                BacklogItem::Release(call) => {
                    harness.bytes(client, &str_request("front.example", &format!("s;{call}"), hop))
                }
                BacklogItem::Repeat(call) => {
                    let id = 100 + call as u32;
                    harness.bytes(client, &aar("front.example", &format!("s;{call}"), hop, id, true));
                }
                BacklogItem::Call(patience) => {
                    let session = format!("n;{hop}");
                    checker.deadlines.insert(session.clone(), began + Micros::from(patience) * MS);
                    harness.bytes(client, &aar_with_patience(&session, hop, patience));
                }
                BacklogItem::Drain(which) => {
                    checker.drained[usize::from(which)] = true;
                    harness.list(&[(hosts[usize::from(which)], Availability::Draining)]);
                }
                BacklogItem::Lost(which) => {
                    if !std::mem::replace(&mut checker.lost[usize::from(which)], true) {
                        harness.input(Input::Closed(servers[usize::from(which)]));
                        checker.out.retain(|_, (at, _)| *at != usize::from(which));
                    }
                }
            }
            checker.observe(&mut harness, client, servers);
        }
        harness.end_gap();
        checker.observe(&mut harness, client, servers);
        let end = harness.now + 10 * SECOND;
        while harness.now < end {
            // Shorter than the part of the margin that is reserved for the answer's transmission.
            harness.advance(5 * MS);
            checker.observe(&mut harness, client, servers);
        }
        prop_assert_eq!(harness.node.stats().setting_up, 0);
        prop_assert_eq!(checker.violations, Vec::<String>::new());
    }
}

/// Checks the rules on what each end received.
#[derive(Default)]
struct RuleChecker {
    deadlines: std::collections::BTreeMap<String, Micros>,
    /// Result of each answered request, by session.
    answers: std::collections::BTreeMap<String, u32>,
    /// Pending attempts: the server and the request.
    out: std::collections::BTreeMap<String, (usize, Frame)>,
    drained: [bool; 2],
    lost: [bool; 2],
    violations: Vec<String>,
}

impl RuleChecker {
    fn observe(&mut self, harness: &mut Harness, client: ConnId, servers: [ConnId; 2]) {
        for (at, conn) in servers.into_iter().enumerate() {
            // Releases precede later requests, as on the wire.
            for got in harness.answer_watchdogs(conn) {
                match got.name() {
                    "STR" => {
                        let here = self.out.get(&got.session()).is_some_and(|(server, _)| *server == at);
                        if here {
                            self.out.remove(&got.session());
                        }
                    }
                    "AAR" => {
                        if self.drained[at] {
                            self.violations.push(format!("{} sent to a drained server", got.session()));
                        }
                        if let Some((other, _)) = self.out.get(&got.session()) {
                            self.violations.push(format!("{} out at {other} and {at}", got.session()));
                        }
                        self.out.insert(got.session(), (at, got));
                    }
                    _ => {}
                }
            }
        }
        for got in harness.answer_watchdogs(client) {
            if got.name() != "AAA" {
                continue;
            }
            let deadline = self.deadlines[&got.session()];
            if harness.now > deadline {
                self.violations.push(format!(
                    "{} answered {} us late",
                    got.session(),
                    harness.now - deadline
                ));
            }
            let first = *self.answers.entry(got.session()).or_insert(got.result());
            if first != got.result() {
                self.violations.push(format!("{} answered with {first} and {}", got.session(), got.result()));
            }
        }
    }
}

#[test]
fn applies_a_complete_list_in_the_backlog_first() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.begin_gap(SECOND);
    harness.bytes(client, &aar("front.example", "s;1", 1, 1, false));
    harness.input(Input::List(ListNews::Complete(vec![entry("b.example", Availability::Ready)])));
    harness.end_gap();
    harness.advance(500 * MS);
    assert!(
        without_watchdogs(harness.take(server)).iter().all(|got| got.name() != "AAR"),
        "it is not on the list"
    );
}
