//! Gaps in a node's turns under a virtual clock, judged by what each end received: whatever order a woken node
//! meets its backlog in, nothing goes out past a caller's deadline, and nobody else is blamed for the gap.

mod common;

use common::{aar, aar_builder, answer_of, entry, settings, str_of, Bench, Got, MS, SECOND};
use lemoncleat::Availability;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::result_code as code;
use lemoncleat_node::{ConnId, Input, ListNews, Micros, Notice};
use proptest::prelude::*;

/// What is not a watchdog's.
fn calls_only(got: Vec<Got>) -> Vec<Got> {
    got.into_iter().filter(|got| !got.name().starts_with("DW")).collect()
}

fn names(got: &[Got]) -> Vec<&'static str> {
    got.iter().map(Got::name).collect()
}

/// A node with a server and a client, and a call whose attempt is out.
fn one_out() -> (Bench, ConnId, ConnId, u32, Got) {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    let id = bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    (bench, server, client, id, attempt)
}

#[test]
fn a_success_read_after_the_deadline_is_released_and_not_passed_on() {
    let (mut bench, server, client, _, attempt) = one_out();
    // No turn for five seconds, and no word of it from the driver; the caller gave up after three.
    bench.now += 5 * SECOND;
    bench.answer(server, &attempt, code::SUCCESS);
    assert!(calls_only(bench.take(client)).is_empty(), "nothing goes out for the call any more");
    assert_eq!(bench.one(server, "STR").session(), "s;1");
    let stats = bench.node.stats();
    assert_eq!((stats.late, stats.withheld, stats.standing, stats.setting_up), (1, 1, 0, 0));
    let noticed = |notice: &Notice| matches!(notice, Notice::AnswerWithheld { result: code::SUCCESS, .. });
    assert_eq!(bench.notices.iter().filter(|notice| noticed(notice)).count(), 1);
}

#[test]
fn a_failure_at_its_last_moment_is_dropped_when_the_deadline_is_over() {
    let (mut bench, server, client, id, _) = one_out();
    bench.now += 5 * SECOND;
    bench.input(Input::Timeout);
    assert!(calls_only(bench.take(client)).is_empty());
    assert_eq!(names(&calls_only(bench.take(server))), ["STR"]);
    // Nor is there anything for a repeat.
    bench.bytes(client, &aar("front.example", "s;1", 77, id, true));
    assert!(calls_only(bench.take(client)).is_empty());
    assert!(calls_only(bench.take(server)).is_empty());
}

/// A server's success, the caller's release and a repeat of its request, in one backlog and in every order, with
/// the deadline before or behind them.
#[test]
fn success_release_and_repeat_in_one_gap_leave_one_answer_in_every_order() {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    for (order, span) in orders.into_iter().flat_map(|order| [(order, 2 * SECOND), (order, 5 * SECOND)]) {
        let (mut bench, server, client, id, attempt) = one_out();
        let backlog = [
            (server, answer_of(&attempt, code::SUCCESS)),
            (client, str_of("front.example", "s;1", 5_001)),
            (client, aar("front.example", "s;1", 5_002, id, true)),
        ];
        bench.away(span);
        for index in order {
            bench.bytes(backlog[index].0, &backlog[index].1);
        }
        bench.caught_up();
        let told = format!("order {order:?} after {span}");
        let got = calls_only(bench.take(client));
        let answers: Vec<&Got> = got.iter().filter(|got| got.name() == "AAA").collect();
        if span > 3 * SECOND {
            assert!(answers.is_empty(), "{told}: past the deadline");
        } else {
            // The first and the repeat are two transmissions of one request: each has the one answer at most.
            assert!((1..=2).contains(&answers.len()), "{told}: {got:?}");
            assert!(answers.iter().all(|answer| answer.result() == answers[0].result()), "{told}");
        }
        assert_eq!(got.iter().filter(|got| got.name() == "STA").count(), 1, "{told}");
        let at_server = calls_only(bench.take(server));
        assert!(names(&at_server).contains(&"STR"), "{told}: the server's call is released");
        assert!(!names(&at_server).contains(&"AAR"), "{told}: no second attempt");
        assert_eq!((bench.node.stats().standing, bench.node.stats().setting_up), (0, 0), "{told}");
        bench.pass(10 * SECOND);
        assert!(calls_only(bench.take(client)).is_empty(), "{told}");
    }
}

#[test]
fn of_500_answers_in_a_backlog_those_of_callers_who_wait_are_passed_on() {
    // With an aim this long the module lets hundreds be out at a server that has not answered yet.
    let mut settings = settings();
    settings.module.classes.iter_mut().for_each(|class| class.aim = 300 * SECOND);
    settings.module.repeat = 0;
    let mut bench = Bench::new(settings);
    let servers: Vec<ConnId> = (0..4).map(|number| bench.server(&format!("s{number}.example"))).collect();
    let client = bench.client("front.example");
    let mut attempts = Vec::new();
    for number in 0..600_u32 {
        // Every other caller waits for nine seconds, the others for one and a half.
        let id = bench.id();
        let patience = if number % 2 == 0 { 9_000 } else { 1_500 };
        bench.bytes(client, &aar_with_patience(&format!("s;{number}"), id, patience));
        bench.pass(2 * MS);
        for server in &servers {
            attempts.extend(calls_only(bench.take(*server)).into_iter().map(|got| (*server, got)));
        }
    }
    let early = calls_only(bench.take(client)).len();
    let due = |even: u32| attempts.iter().filter(|(_, got)| number_of(got) % 2 == even).count();
    let (waiting, gone) = (due(0), due(1));
    assert!(waiting + gone >= 500 && gone > 200, "{waiting} and {gone} attempts are out");
    bench.away(2 * SECOND);
    for (server, attempt) in &attempts {
        bench.answer(*server, attempt, code::SUCCESS);
    }
    bench.caught_up();
    let answers: Vec<Got> = calls_only(bench.take(client));
    assert!(answers.iter().all(|got| got.name() == "AAA"));
    let (stood, failed): (Vec<&Got>, Vec<&Got>) =
        answers.iter().partition(|got| got.result() == code::SUCCESS);
    assert_eq!(stood.len(), waiting, "each caller that waits has its success");
    assert!(
        stood.iter().chain(&failed).all(|got| number_of(got).is_multiple_of(2)),
        "and nobody else anything"
    );
    let strs =
        |bench: &mut Bench, conn| calls_only(bench.take(conn)).iter().filter(|g| g.name() == "STR").count();
    let released: usize = servers.iter().map(|server| strs(&mut bench, *server)).sum();
    assert!(released >= gone, "late successes are released: {released} of {gone}");
    let stats = bench.node.stats();
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

/// Calls that stand at once, so that the module knows what the server takes.
fn warm_up(bench: &mut Bench, client: ConnId, server: ConnId) {
    for number in 0..400 {
        bench.call(client, &format!("w;{number}"));
        for got in bench.answer_watchdogs(server) {
            bench.answer(server, &got, code::SUCCESS);
        }
        bench.bytes(client, &str_of("front.example", &format!("w;{number}"), 90_000 + number));
        bench.pass(2 * MS);
        bench.answer_watchdogs(client);
    }
    bench.pass(20 * MS);
    bench.take(client);
    bench.take(server);
}

fn number_of(got: &Got) -> u32 {
    got.session()[2..].parse().expect("s;number")
}

#[test]
fn an_attempt_whose_time_ran_out_in_a_gap_is_answered_by_the_backlog() {
    // The call's time and its attempt's end in the gap but for what the module left of it; the server answered.
    let mut bench = Bench::new(settings());
    let a = bench.server("a.example");
    let b = bench.server("b.example");
    let client = bench.client("front.example");
    let id = bench.id();
    let request =
        aar_builder("front.example", "s;1", id, id).add_str(d::CALLED_STATION_ID, "35101234").build();
    bench.bytes(client, &request);
    let (at_a, at_b) = (calls_only(bench.take(a)), calls_only(bench.take(b)));
    let (first, other, attempt) = match (at_a.first(), at_b.first()) {
        (Some(attempt), None) => (a, b, attempt.clone()),
        (None, Some(attempt)) => (b, a, attempt.clone()),
        got => panic!("one attempt is out: {got:?}"),
    };
    // It ends with 2.97 s; a gap of 2.975 s covers that and any release wait within.
    bench.away(2_975 * MS);
    bench.answer(first, &attempt, code::SUCCESS);
    bench.caught_up();
    let answers = calls_only(bench.take(client));
    assert_eq!(names(&answers), ["AAA"]);
    assert_eq!(answers[0].result(), code::SUCCESS, "no time-out for silence that was the node's own");
    assert!(calls_only(bench.take(other)).is_empty(), "and nothing is sent again");
    assert!(calls_only(bench.take(first)).is_empty(), "nor released");
}

#[test]
fn a_release_wait_that_ends_in_a_gap_does_not_run_ahead_of_the_backlog() {
    let mut bench = Bench::new(settings());
    let a = bench.server("a.example");
    let b = bench.server("b.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let (at_a, at_b) = (calls_only(bench.take(a)), calls_only(bench.take(b)));
    let (first, other, other_host) = if at_a.is_empty() { (b, a, "a.example") } else { (a, b, "b.example") };
    assert_eq!(at_a.len() + at_b.len(), 1);
    bench.input(Input::Closed(first));
    bench.pass(100 * MS);
    // 200 ms of the release wait are left; meanwhile the other server is drained by the list.
    bench.away(SECOND);
    assert!(calls_only(bench.take(other)).is_empty(), "nothing new before the news is read");
    bench.list(&[(other_host, Availability::Draining)]);
    bench.caught_up();
    bench.pass(SECOND);
    assert!(calls_only(bench.take(other)).is_empty(), "the drain was in the backlog: nothing new goes there");
    bench.pass(2 * SECOND);
    let answers = calls_only(bench.take(client));
    assert_eq!(names(&answers), ["AAA"], "the call has its one answer in time");
    assert_ne!(answers[0].result(), code::SUCCESS);
}

#[test]
fn a_drain_read_behind_a_set_up_holds_for_it() {
    // Both came during the gap, and the set-up is met first.
    let mut bench = Bench::new(settings());
    let a = bench.server("a.example");
    let b = bench.server("b.example");
    let client = bench.client("front.example");
    bench.away(3 * SECOND);
    for number in 0..20 {
        let id = bench.id();
        bench.bytes(client, &aar_with_patience(&format!("s;{number}"), id, 9_000));
    }
    bench.list(&[("a.example", Availability::Draining)]);
    assert!(calls_only(bench.take(a)).is_empty() && calls_only(bench.take(b)).is_empty());
    bench.caught_up();
    bench.pass(SECOND);
    assert!(calls_only(bench.take(a)).is_empty(), "nothing to the draining server, told before or behind");
    assert!(!calls_only(bench.take(b)).is_empty());
}

#[test]
fn a_set_up_read_after_a_gap_counts_as_come_when_the_gap_began() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    let began = bench.now;
    bench.away(2 * SECOND);
    bench.bytes(client, &aar("front.example", "s;short", 1, 1, false));
    bench.caught_up();
    bench.pass(20 * MS);
    assert_eq!(calls_only(bench.take(server)).len(), 1);
    // The server is silent: the answer comes before three seconds from the gap's beginning.
    while bench.now < began + 3 * SECOND - 8 * MS {
        bench.pass(MS);
    }
    assert_eq!(names(&calls_only(bench.take(client))), ["AAA"]);
}

#[test]
fn a_set_up_whose_caller_gave_up_before_it_was_read_is_dropped_with_its_repeats() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.away(3_100 * MS);
    bench.bytes(client, &aar("front.example", "s;1", 1, 1, false));
    bench.bytes(client, &aar("front.example", "s;1", 2, 1, true));
    bench.caught_up();
    bench.bytes(client, &aar("front.example", "s;1", 3, 1, true));
    for _ in 0..50 {
        bench.pass(100 * MS);
        assert!(calls_only(bench.answer_watchdogs(client)).is_empty());
        assert!(calls_only(bench.answer_watchdogs(server)).is_empty());
    }
    let stats = bench.node.stats();
    assert_eq!((stats.calls, stats.withheld, stats.repeats), (0, 1, 2));
    assert!(bench.notices.iter().any(|n| matches!(n, Notice::LoopGap { set_ups: 2, withheld: 1, .. })));
    // The session is free for another call.
    bench.bytes(client, &aar("front.example", "s;1", 4, 4, false));
    assert_eq!(names(&calls_only(bench.take(server))), ["AAR"]);
}

#[test]
fn a_release_read_with_its_set_up_ends_the_call_in_either_order() {
    for release_first in [false, true] {
        let mut bench = Bench::new(settings());
        let server = bench.server("a.example");
        let client = bench.client("front.example");
        bench.away(SECOND);
        let mut backlog = [aar("front.example", "s;1", 1, 1, false), str_of("front.example", "s;1", 2)];
        if release_first {
            backlog.reverse();
        }
        for bytes in backlog {
            bench.bytes(client, &bytes);
        }
        bench.caught_up();
        let got = calls_only(bench.take(client));
        if release_first {
            // Diameter keeps the order of a connection: this release was for nothing that is known.
            assert_eq!(names(&got), ["STA"]);
            assert_eq!(got[0].result(), code::UNKNOWN_SESSION_ID);
            continue;
        }
        assert_eq!(names(&got), ["AAA", "STA"], "the set-up is answered, then the release confirmed");
        assert_eq!(got[1].result(), code::SUCCESS);
        assert_eq!(bench.node.stats().setting_up, 0);
        let at_server = calls_only(bench.take(server));
        assert!(matches!(names(&at_server)[..], [] | ["AAR", "STR"]), "{at_server:?}");
    }
}

#[test]
fn two_stalls_with_20_ms_between_count_from_the_first_for_what_the_first_held() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;out");
    let attempt = bench.one(server, "AAR");
    bench.away(1_800 * MS);
    bench.bytes(client, &aar("front.example", "s;new", 1, 1, false));
    // 20 ms of reading, then the next stall, before all was read.
    bench.now += 20 * MS;
    bench.input(Input::Timeout);
    bench.away(1_300 * MS);
    bench.answer(server, &attempt, code::SUCCESS);
    bench.caught_up();
    assert!(calls_only(bench.take(client)).is_empty(), "both callers have given up");
    let at_server = names(&calls_only(bench.take(server)));
    assert!(!at_server.is_empty() && at_server.iter().all(|name| *name == "STR"), "released: {at_server:?}");
    assert_eq!((bench.node.stats().withheld, bench.node.stats().setting_up), (2, 0));
}

#[test]
fn ten_seconds_away_leave_1000_standing_calls_and_every_peer_that_answered_up() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    for number in 0..1_000 {
        bench.call(client, &format!("s;{number}"));
        bench.pass(5 * MS);
        for got in calls_only(bench.take(server)) {
            bench.answer(server, &got, code::SUCCESS);
        }
        bench.answer_watchdogs(client);
    }
    bench.pass(50 * MS);
    for got in bench.answer_watchdogs(server) {
        bench.answer(server, &got, code::SUCCESS);
    }
    bench.take(client);
    let standing = bench.node.stats().standing;
    assert!(standing > 900, "{standing} stand");
    // The watchdog's Tw is 1 s. Both are asked, and answer while the node has no turn.
    bench.pass(1_400 * MS);
    let asked: Vec<Got> = bench.take(server).into_iter().filter(|got| got.name() == "DWR").collect();
    assert!(!asked.is_empty(), "the server was asked");
    bench.notices.clear();
    bench.away(10 * SECOND);
    for dwr in &asked {
        bench.answer(server, dwr, code::SUCCESS);
    }
    bench.answer_watchdogs(client);
    bench.caught_up();
    bench.pass(300 * MS);
    let blamed = |n: &Notice| matches!(n, Notice::PeerSuspect(_) | Notice::PeerDown(..));
    assert!(!bench.notices.iter().any(blamed), "{:?}", bench.notices);
    assert_eq!(bench.node.stats().standing, standing);
    assert!(calls_only(bench.take(client)).is_empty() && bench.closed.is_empty());
}

#[test]
fn a_peer_that_was_silent_before_a_gap_and_stays_so_is_suspect_after_its_own_time() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.pass(1_400 * MS);
    assert!(bench.names(server).contains(&"DWR"));
    bench.answer_watchdogs(client);
    bench.notices.clear();
    bench.away(10 * SECOND);
    bench.caught_up();
    let suspect = |bench: &Bench| bench.notices.iter().any(|n| matches!(n, Notice::PeerSuspect(_)));
    assert!(!suspect(&bench), "the gap counts for no silence");
    for _ in 0..20 {
        bench.pass(100 * MS);
        bench.answer_watchdogs(client);
    }
    assert!(suspect(&bench), "its own silence does");
}

#[test]
fn a_backlog_met_with_one_look_at_the_clock_keeps_every_deadline() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    let began = bench.now;
    // The clock is read once; 4,096 callers with 0.9 to 4.9 s of patience came meanwhile.
    bench.away(2 * SECOND);
    for number in 0..4_096_u32 {
        bench.bytes(client, &aar_with_patience(&format!("s;{number}"), number + 1, 900 + number));
    }
    assert!(calls_only(bench.take(server)).is_empty());
    bench.input(Input::CaughtUp);
    let mut answered = 0;
    while bench.now < began + 6 * SECOND {
        for got in calls_only(bench.take(client)) {
            assert_eq!(got.name(), "AAA");
            let deadline = began + Micros::from(900 + number_of(&got)) * MS;
            assert!(bench.now <= deadline, "call {} answered past its deadline", number_of(&got));
            answered += 1;
        }
        calls_only(bench.answer_watchdogs(server));
        bench.now += MS;
        bench.input(Input::Timeout);
    }
    let stats = bench.node.stats();
    assert_eq!(stats.setting_up, 0);
    assert_eq!(answered + stats.withheld as usize, 4_096, "each is answered in time or dropped, none twice");
    assert!(stats.withheld >= 1_100 && answered > 2_800, "{answered} answered, {} dropped", stats.withheld);
}

#[test]
fn stopping_in_a_gap_answers_those_who_wait_and_nobody_else() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    warm_up(&mut bench, client, server);
    bench.call(client, "s;over");
    let over = bench.one(server, "AAR");
    let id = bench.id();
    bench.bytes(client, &aar_with_patience("s;waits", id, 9_000));
    let waits = bench.one(server, "AAR");
    bench.away(4 * SECOND);
    bench.input(Input::Stop);
    bench.bytes(client, &aar_with_patience("s;new", 9, 9_000));
    bench.answer(server, &over, code::SUCCESS);
    bench.answer(server, &waits, code::SUCCESS);
    bench.caught_up();
    let got: Vec<(String, u32)> = calls_only(bench.take(client))
        .iter()
        .filter(|got| got.name() == "AAA")
        .map(|got| (got.session(), got.result()))
        .collect();
    let expected = [("s;waits".to_owned(), code::SUCCESS), ("s;new".to_owned(), code::TOO_BUSY)];
    assert_eq!(got, expected);
    assert_eq!(bench.node.stats().standing, 1);
}

#[test]
fn a_driver_that_never_says_that_it_caught_up_does_not_hold_calls_for_ever() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.away(100 * MS);
    bench.bytes(client, &aar("front.example", "s;1", 1, 1, false));
    bench.pass(1_100 * MS);
    assert_eq!(names(&calls_only(bench.take(server))), ["AAR"]);
}

/// What may fall into a gap.
#[derive(Clone, Copy, Debug)]
enum Item {
    /// The server answers an attempt that is out with a success, or turns it away.
    Answer(usize, bool),
    /// The caller releases.
    Release(usize),
    /// The caller repeats its request.
    Repeat(usize),
    /// A new call.
    Call(u32),
    /// The list drains a server.
    Drain(bool),
    /// A server's connection is lost.
    Lost(bool),
}

fn item() -> impl Strategy<Value = Item> {
    prop_oneof![
        4 => (0..6_usize, any::<bool>()).prop_map(|(call, stands)| Item::Answer(call, stands)),
        2 => (0..6_usize).prop_map(Item::Release),
        2 => (0..6_usize).prop_map(Item::Repeat),
        3 => (100..6_000_u32).prop_map(Item::Call),
        1 => any::<bool>().prop_map(Item::Drain),
        1 => any::<bool>().prop_map(Item::Lost),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Six calls are out when the gap begins. Whatever it held, in whatever order: one answer a request and none
    /// after the deadline, never a second attempt out, nothing new to a drained server, nothing left over.
    #[test]
    fn whatever_a_gap_held_the_rules_stand(
        span in 60_000..6_000_000_i64,
        before in 0..1_500_000_i64,
        items in prop::collection::vec(item(), 0..24),
    ) {
        let mut bench = Bench::new(settings());
        let servers = [bench.server("a.example"), bench.server("b.example")];
        let hosts = ["a.example", "b.example"];
        let client = bench.client("front.example");
        let mut watch = Watch::default();
        for number in 0..6 {
            let session = format!("s;{number}");
            watch.deadlines.insert(session.clone(), bench.now + 3 * SECOND);
            let id = 100 + number;
            bench.bytes(client, &aar("front.example", &session, id, id, false));
            watch.look(&mut bench, client, servers);
        }
        let settled = bench.now + before;
        while bench.now < settled {
            bench.pass((settled - bench.now).min(5 * MS));
            watch.look(&mut bench, client, servers);
        }
        let began = bench.now;
        bench.away(span);
        watch.look(&mut bench, client, servers);
        let mut hop = 10_000;
        for item in items {
            hop += 1;
            match item {
                Item::Answer(call, stands) => {
                    if let Some((at, got)) = watch.out.remove(&format!("s;{call}")) {
                        if !bench.closed.contains(&servers[at]) && !watch.lost[at] {
                            bench.answer(servers[at], &got, if stands { code::SUCCESS } else { code::TOO_BUSY });
                        }
                    }
                }
                Item::Release(call) => bench.bytes(client, &str_of("front.example", &format!("s;{call}"), hop)),
                Item::Repeat(call) => {
                    let id = 100 + call as u32;
                    bench.bytes(client, &aar("front.example", &format!("s;{call}"), hop, id, true));
                }
                Item::Call(patience) => {
                    let session = format!("n;{hop}");
                    watch.deadlines.insert(session.clone(), began + Micros::from(patience) * MS);
                    bench.bytes(client, &aar_with_patience(&session, hop, patience));
                }
                Item::Drain(which) => {
                    watch.drained[usize::from(which)] = true;
                    bench.list(&[(hosts[usize::from(which)], Availability::Draining)]);
                }
                Item::Lost(which) => {
                    if !std::mem::replace(&mut watch.lost[usize::from(which)], true) {
                        bench.input(Input::Closed(servers[usize::from(which)]));
                        watch.out.retain(|_, (at, _)| *at != usize::from(which));
                    }
                }
            }
            watch.look(&mut bench, client, servers);
        }
        bench.caught_up();
        watch.look(&mut bench, client, servers);
        let end = bench.now + 10 * SECOND;
        while bench.now < end {
            // Shorter than the part of the margin that an answer keeps for its way.
            bench.pass(5 * MS);
            watch.look(&mut bench, client, servers);
        }
        prop_assert_eq!(bench.node.stats().setting_up, 0);
        prop_assert_eq!(watch.broken, Vec::<String>::new());
    }
}

/// Works the rules out from what each end received.
#[derive(Default)]
struct Watch {
    deadlines: std::collections::BTreeMap<String, Micros>,
    /// Answers by session: the result that the request got.
    answers: std::collections::BTreeMap<String, u32>,
    /// Attempts out: at which server, and the request.
    out: std::collections::BTreeMap<String, (usize, Got)>,
    drained: [bool; 2],
    lost: [bool; 2],
    broken: Vec<String>,
}

impl Watch {
    fn look(&mut self, bench: &mut Bench, client: ConnId, servers: [ConnId; 2]) {
        for (at, conn) in servers.into_iter().enumerate() {
            // Releases come before what is sent next, as on a wire.
            for got in bench.answer_watchdogs(conn) {
                match got.name() {
                    "STR" => {
                        let here = self.out.get(&got.session()).is_some_and(|(server, _)| *server == at);
                        if here {
                            self.out.remove(&got.session());
                        }
                    }
                    "AAR" => {
                        if self.drained[at] {
                            self.broken.push(format!("{} sent to a drained server", got.session()));
                        }
                        if let Some((other, _)) = self.out.get(&got.session()) {
                            self.broken.push(format!("{} out at {other} and {at}", got.session()));
                        }
                        self.out.insert(got.session(), (at, got));
                    }
                    _ => {}
                }
            }
        }
        for got in bench.answer_watchdogs(client) {
            if got.name() != "AAA" {
                continue;
            }
            let deadline = self.deadlines[&got.session()];
            if bench.now > deadline {
                self.broken.push(format!("{} answered {} us late", got.session(), bench.now - deadline));
            }
            let first = *self.answers.entry(got.session()).or_insert(got.result());
            if first != got.result() {
                self.broken.push(format!("{} answered with {first} and {}", got.session(), got.result()));
            }
        }
    }
}

#[test]
fn a_complete_list_in_a_backlog_is_followed_before_anything_new_is_sent() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.away(SECOND);
    bench.bytes(client, &aar("front.example", "s;1", 1, 1, false));
    bench.input(Input::List(ListNews::Complete(vec![entry("b.example", Availability::Ready)])));
    bench.caught_up();
    bench.pass(500 * MS);
    assert!(calls_only(bench.take(server)).iter().all(|got| got.name() != "AAR"), "it is not on the list");
}
