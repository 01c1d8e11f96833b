//! Calls through a node under a virtual clock: the hard cases, judged by what each end received.

mod common;

use common::{aar, aar_builder, entry, session_request, settings, str_of, Bench, Got, MS, SECOND};
use lemoncleat::Availability;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, DownReason, GroupBuilder, MessageBuilder};
use lemoncleat_node::{Input, ListNews, Notice};

#[test]
fn a_call_stands_and_ends() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    let id = bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    let message = attempt.message();
    assert_eq!(message.text(d::DESTINATION_HOST), Some("a.example"));
    assert_eq!(message.text(d::ROUTE_RECORD), Some("front.example"));
    assert_eq!(message.header.end_to_end, id, "an agent keeps the End-to-End Identifier");
    assert_ne!(message.header.hop_by_hop, id, "and gives a Hop-by-Hop Identifier of its own");
    bench.answer(server, &attempt, code::SUCCESS);
    let answer = bench.one(client, "AAA");
    assert_eq!((answer.result(), answer.message().header.hop_by_hop), (code::SUCCESS, id));
    assert_eq!(bench.node.stats().standing, 1);
    bench.bytes(client, &str_of("front.example", "s;1", 7));
    assert_eq!(bench.one(client, "STA").result(), code::SUCCESS);
    assert_eq!(bench.one(server, "STR").session(), "s;1");
    assert_eq!(bench.node.stats().standing, 0);
    // It is over: another release finds nothing, and nothing more is sent.
    bench.bytes(client, &str_of("front.example", "s;1", 8));
    assert_eq!(bench.one(client, "STA").result(), code::UNKNOWN_SESSION_ID);
    bench.pass(20 * SECOND);
    assert!(bench.names(client).iter().all(|name| *name == "DWR"));
}

#[test]
fn load_and_overload_avps_are_for_the_node_alone() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    let load = GroupBuilder::new().add_u32(d::LOAD_TYPE, 0).build();
    let answer = lemoncleat_diameter::MessageBuilder::answer(&attempt.message(), code::SUCCESS)
        .add_str(d::ORIGIN_HOST, "a.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::PROCESSOR_WAIT, 12)
        .add(d::LOAD, &load)
        .add_str(d::USER_NAME, "kept")
        .build();
    bench.bytes(server, &answer);
    let answer = bench.one(client, "AAA");
    let message = answer.message();
    assert_eq!(message.text(d::USER_NAME), Some("kept"));
    assert!(message.find(d::PROCESSOR_WAIT).is_none() && message.find(d::LOAD).is_none());
}

/// Two servers; the call goes to one of them, and both ends and their names are told in that order.
fn first_attempt(bench: &mut Bench) -> (lemoncleat_node::ConnId, lemoncleat_node::ConnId, &'static str, Got) {
    let a = bench.server("a.example");
    let b = bench.server("b.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let (at_a, at_b) = (bench.take(a), bench.take(b));
    match (at_a.as_slice(), at_b.as_slice()) {
        ([one], []) => (a, b, "a.example", one.clone()),
        ([], [one]) => (b, a, "b.example", one.clone()),
        other => panic!("exactly one attempt is out: {other:?}"),
    }
}

fn client_of(bench: &Bench) -> lemoncleat_node::ConnId {
    // Conns are numbered in order: two servers, then the client.
    let _ = bench;
    lemoncleat_node::ConnId(3)
}

#[test]
fn a_full_server_is_left_at_once_and_the_call_stands_at_the_other() {
    let mut bench = Bench::new(settings());
    let (first, second, _, attempt) = first_attempt(&mut bench);
    bench.answer(first, &attempt, code::TOO_BUSY);
    let again = bench.one(second, "AAR");
    assert!(again.message().header.is_retransmitted(), "it may have been sent before");
    bench.answer(second, &again, code::SUCCESS);
    let client = client_of(&bench);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    assert!(bench.take(first).is_empty(), "a server that answered needs no release");
}

#[test]
fn a_watchdog_silent_with_a_call_outstanding_moves_the_call_after_the_release_time() {
    let mut bench = Bench::new(settings());
    let (silent, other, _, attempt) = first_attempt(&mut bench);
    let client = client_of(&bench);
    // The one server falls silent; the other and the client answer their watchdogs.
    let mut given_up = None;
    let mut sent_again = None;
    for _ in 0..400 {
        bench.pass(10 * MS);
        for got in bench.take(silent) {
            if got.name() == "STR" {
                given_up.get_or_insert(bench.now);
            }
        }
        bench.answer_watchdogs(client);
        let rest = bench.answer_watchdogs(other);
        if let Some(again) = rest.first() {
            assert_eq!(again.name(), "AAR");
            sent_again = Some(bench.now);
            let again = again.clone();
            bench.answer(other, &again, code::SUCCESS);
            break;
        }
    }
    let (given_up, sent_again) = (given_up.expect("it is released"), sent_again.expect("it is sent again"));
    assert!(sent_again - given_up >= 290 * MS, "the release time is awaited");
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    // The silent one answers after all: released there, and not passed on.
    bench.answer(silent, &attempt, code::SUCCESS);
    assert_eq!(bench.one(silent, "STR").session(), "s;1");
    assert!(bench.names(client).is_empty());
    assert_eq!(bench.node.stats().late, 1);
}

#[test]
fn a_server_announced_as_draining_during_the_release_time_gets_no_new_attempt() {
    let mut bench = Bench::new(settings());
    let (lost, other, lost_host, _) = first_attempt(&mut bench);
    let other_host = if lost_host == "a.example" { "b.example" } else { "a.example" };
    bench.input(Input::Closed(lost));
    bench.pass(100 * MS);
    assert!(bench.take(other).is_empty(), "the release time runs");
    bench.list(&[(other_host, Availability::Draining)]);
    bench.pass(4 * SECOND);
    assert!(bench.take(other).iter().all(|got| got.name() == "DWR"), "nothing new to a draining server");
    let client = client_of(&bench);
    let answers: Vec<Got> = bench.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(answers.len(), 1);
    assert_ne!(answers[0].result(), code::SUCCESS);
}

#[test]
fn a_server_that_sends_dpr_gets_nothing_new_and_its_answer_still_counts() {
    let mut bench = Bench::new(settings());
    let (leaving, other, host, attempt) = first_attempt(&mut bench);
    let id = bench.id();
    let dpr = lemoncleat_diameter::MessageBuilder::request(d::CMD_DISCONNECT, 0, false, id, id)
        .add_str(d::ORIGIN_HOST, host)
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::DISCONNECT_CAUSE, 0)
        .build();
    bench.bytes(leaving, &dpr);
    assert_eq!(bench.one(leaving, "DPA").result(), code::SUCCESS);
    let client = client_of(&bench);
    for number in 2..8 {
        bench.call(client, &format!("s;{number}"));
        bench.pass(20 * MS);
        for got in bench.take(other) {
            bench.answer(other, &got, code::SUCCESS);
        }
    }
    assert!(bench.take(leaving).iter().all(|got| got.name() == "DWR"), "nothing new after its DPR");
    bench.answer(leaving, &attempt, code::SUCCESS);
    let stood = bench.take(client).iter().filter(|got| got.name() == "AAA" && got.result() == 2001).count();
    assert_eq!(stood, 7, "the call at the leaving server stands too");
}

#[test]
fn a_repeat_over_a_new_connection_gets_the_one_answer_and_makes_no_attempt() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let old = bench.client("front.example");
    let id = bench.call(old, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.input(Input::Closed(old));
    bench.pass(50 * MS);
    let new = bench.client("front.example");
    bench.bytes(new, &aar("front.example", "s;1", 5555, id, true));
    assert!(bench.take(server).iter().all(|got| got.name() != "AAR"), "a repeat is no new call");
    bench.answer(server, &attempt, code::SUCCESS);
    let answer = bench.one(new, "AAA");
    assert_eq!((answer.result(), answer.message().header.hop_by_hop), (code::SUCCESS, 5555));
    // And once more after its answer: the same answer again.
    bench.bytes(new, &aar("front.example", "s;1", 6666, id, true));
    let again = bench.one(new, "AAA");
    assert_eq!((again.result(), again.message().header.hop_by_hop), (code::SUCCESS, 6666));
    assert!(bench.take(server).is_empty());
    assert_eq!((bench.node.stats().calls, bench.node.stats().repeats), (1, 2));
    // After the deadline nothing goes out for it any more.
    bench.pass(4 * SECOND);
    bench.take(new);
    bench.bytes(new, &aar("front.example", "s;1", 7777, id, true));
    assert!(bench.take(new).is_empty());
}

#[test]
fn the_same_request_from_another_connection_at_once_replaces_the_first() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let first = bench.client("front.example");
    let id = bench.call(first, "s;1");
    let attempt = bench.one(server, "AAR");
    let second = bench.client("front.example");
    assert!(bench.closed.contains(&first), "one connection for each client");
    assert!(bench.notices.contains(&Notice::PeerDown("front.example".into(), DownReason::Replaced)));
    bench.bytes(second, &aar("front.example", "s;1", 99, id, true));
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(second, "AAA").message().header.hop_by_hop, 99);
    assert!(bench.take(first).is_empty());
    assert!(bench.take(server).is_empty());
}

#[test]
fn an_answer_given_while_the_client_was_away_waits_for_its_repeat() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let old = bench.client("front.example");
    let id = bench.call(old, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.input(Input::Closed(old));
    bench.answer(server, &attempt, code::SUCCESS);
    assert!(bench.take(old).is_empty());
    let new = bench.client("front.example");
    bench.bytes(new, &aar("front.example", "s;1", 42, id, true));
    assert_eq!(bench.one(new, "AAA").result(), code::SUCCESS);
    bench.pass(4 * SECOND);
    assert_eq!(bench.node.stats().standing, 1, "the call was heard of and stands");
}

#[test]
fn a_call_whose_answer_is_never_fetched_is_released() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let old = bench.client("front.example");
    bench.call(old, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.input(Input::Closed(old));
    bench.answer(server, &attempt, code::SUCCESS);
    let new = bench.client("front.example");
    let mut released = Vec::new();
    for _ in 0..40 {
        bench.pass(100 * MS);
        bench.answer_watchdogs(new);
        released.extend(bench.answer_watchdogs(server));
    }
    assert!(released.iter().any(|got| got.name() == "STR" && got.session() == "s;1"));
    assert_eq!(bench.node.stats().standing, 0);
}

#[test]
fn a_caller_that_leaves_before_the_answer_is_answered_and_its_attempt_released() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.bytes(client, &str_of("front.example", "s;1", 3));
    let got = bench.take(client);
    assert_eq!(got.iter().map(Got::name).collect::<Vec<_>>(), ["AAA", "STA"]);
    assert_eq!((got[0].result(), got[1].result()), (code::UNABLE_TO_COMPLY, code::SUCCESS));
    assert_eq!(bench.one(server, "STR").session(), "s;1");
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(server, "STR").session(), "s;1", "a late success is released as well");
    bench.pass(5 * SECOND);
    assert!(bench.names(client).iter().all(|name| *name == "DWR"));
}

#[test]
fn a_client_that_does_not_come_back_has_its_calls_released() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    bench.take(client);
    bench.input(Input::Closed(client));
    let mut released = Vec::new();
    for _ in 0..70 {
        bench.pass(100 * MS);
        released.extend(bench.answer_watchdogs(server));
    }
    assert_eq!(released.iter().map(Got::name).collect::<Vec<_>>()[0], "STR");
    assert_eq!(bench.node.stats().standing, 0);
}

#[test]
fn a_release_that_stays_unanswered_is_sent_again_and_again_but_not_for_ever() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    bench.bytes(client, &str_of("front.example", "s;1", 3));
    let mut releases = Vec::new();
    for _ in 0..300 {
        bench.pass(100 * MS);
        bench.answer_watchdogs(client);
        releases.extend(bench.answer_watchdogs(server));
    }
    assert!(releases.iter().all(|got| got.name() == "STR"));
    assert_eq!(releases.len(), 5);
    assert!(
        !releases[0].message().header.is_retransmitted() && releases[1].message().header.is_retransmitted()
    );
}

#[test]
fn answers_to_nothing_and_answers_given_twice_are_dropped() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    let mut stray = attempt.clone();
    stray.0[12..16].copy_from_slice(&0x00ab_cdefu32.to_be_bytes());
    bench.answer(server, &stray, code::SUCCESS);
    assert!(bench.take(client).is_empty());
    assert!(bench.notices.contains(&Notice::UnknownAnswer("a.example".into(), 0x00ab_cdef)));
    bench.answer(server, &attempt, code::SUCCESS);
    bench.answer(server, &attempt, code::SUCCESS);
    bench.answer(server, &attempt, code::TOO_BUSY);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    assert_eq!((bench.node.stats().standing, bench.node.stats().stood), (1, 1));
}

#[test]
fn a_server_that_closes_on_500_set_ups_leaves_each_with_one_answer_in_time() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    // A server that answers fast and often is sent many calls.
    let mut number = 0;
    while bench.node.stats().setting_up < 500 {
        number += 1;
        bench.call(client, &format!("s;{number}"));
        if number % 4 == 0 {
            bench.pass(2 * MS);
        }
        assert!(number < 5_000, "the module holds back too much for this test");
        if number < 400 {
            for got in bench.answer_watchdogs(server) {
                if got.name() == "AAR" {
                    bench.answer(server, &got, code::SUCCESS);
                }
            }
        }
    }
    let out = bench.node.stats().setting_up;
    let before: Vec<Got> = bench.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    bench.input(Input::Closed(server));
    for _ in 0..40 {
        bench.pass(100 * MS);
        // The client lives; only its callers' answers matter here.
        bench.input(Input::Timeout);
    }
    let after: Vec<Got> = bench.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(before.len() + after.len(), number, "every call has one answer");
    assert!(after.len() >= out);
    let mut sessions: Vec<String> = before.iter().chain(&after).map(Got::session).collect();
    sessions.sort();
    sessions.dedup();
    assert_eq!(sessions.len(), number, "and no call has two");
    assert_eq!(bench.node.stats().setting_up, 0);
}

#[test]
fn the_last_list_serves_while_the_list_is_gone_for_minutes() {
    let mut calm = settings();
    calm.timing.watchdog = 6 * SECOND;
    let mut bench = Bench::new(calm);
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    for number in 0..300 {
        bench.call(client, &format!("s;{number}"));
        for got in bench.answer_watchdogs(server) {
            bench.answer(server, &got, code::SUCCESS);
        }
        bench.answer_watchdogs(client);
        bench.pass(SECOND);
    }
    assert_eq!(bench.node.stats().stood, 300);
}

#[test]
fn a_full_queue_toward_a_server_sends_the_call_elsewhere() {
    let mut small = settings();
    small.max_queue = 600;
    let mut bench = Bench::new(small);
    let (stuck, other, _, attempt) = first_attempt(&mut bench);
    bench.answer(stuck, &attempt, code::SUCCESS);
    let client = client_of(&bench);
    // Both servers answer, but toward the one nothing counts as written any more.
    bench.writes = false;
    let (mut at_stuck, mut stood) = (0, 0);
    for number in 2..60 {
        bench.call(client, &format!("s;{number}"));
        for server in [stuck, other] {
            for got in bench.take(server) {
                if server == other {
                    bench.input(Input::Wrote(other, got.0.len()));
                }
                if got.name() == "AAR" {
                    at_stuck += usize::from(server == stuck);
                    bench.answer(server, &got, code::SUCCESS);
                }
            }
        }
        for got in bench.take(client) {
            bench.input(Input::Wrote(client, got.0.len()));
            stood += usize::from(got.name() == "AAA" && got.result() == code::SUCCESS);
        }
        bench.pass(20 * MS);
    }
    assert!((1..=4).contains(&at_stuck), "{at_stuck} set-ups of some 200 bytes fit into a queue of 600");
    assert!(stood > 50, "the calls stand elsewhere: {stood}");
    assert!(bench.notices.iter().any(|notice| matches!(notice, Notice::QueueFull(_))));
}

#[test]
fn a_client_that_does_not_read_is_closed() {
    let mut small = settings();
    small.max_queue = 2_000;
    let mut bench = Bench::new(small);
    let client = bench.client("front.example");
    bench.writes = false;
    for number in 0..200 {
        bench.bytes(client, &str_of("front.example", "none", number));
    }
    assert!(bench.closed.contains(&client));
    let sent: usize = bench.take(client).iter().map(|got| got.0.len()).sum();
    assert!(sent <= 3 * 2_000, "no more than the limit waits: {sent}");
}

#[test]
fn requests_that_can_not_be_taken_get_their_result_code() {
    let mut bench = Bench::new(settings());
    bench.server("a.example");
    let client = bench.client("front.example");
    let with = |session: &str| aar_builder("front.example", session, 1, session.len() as u32);
    let cases = [
        (with("s").add_str(d::CALLED_STATION_ID, "99").build(), code::UNABLE_TO_DELIVER),
        (with("ss").build(), code::MISSING_AVP),
        (with("sss").add_str(d::ROUTE_RECORD, "node.example").build(), code::LOOP_DETECTED),
        (with("ssss").add_str(d::DESTINATION_HOST, "else.example").build(), code::UNABLE_TO_DELIVER),
        (
            session_request(d::CMD_ABORT_SESSION, "front.example", Some("node.example"), "s", 5),
            code::COMMAND_UNSUPPORTED,
        ),
    ];
    for (request, expected) in cases {
        bench.bytes(client, &request);
        let got = bench.take(client);
        assert_eq!(got.len(), 1);
        assert_eq!(got[0].result(), expected);
        assert_eq!(got[0].message().header.flags & 0x20 != 0, expected < 4000, "the E bit goes with 3xxx");
    }
    let other_realm = lemoncleat_diameter::MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, 1, 77)
        .add_str(d::SESSION_ID, "s")
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_str(d::ORIGIN_HOST, "front.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_str(d::DESTINATION_REALM, "elsewhere")
        .add_u32(d::AUTH_REQUEST_TYPE, 1)
        .build();
    bench.bytes(client, &other_realm);
    assert_eq!(bench.one(client, "AAA").result(), code::REALM_NOT_SERVED);
    assert_eq!(bench.node.stats().calls, 0);
}

#[test]
fn a_second_call_under_a_session_that_is_under_way_is_refused() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    bench.one(server, "AAR");
    bench.call(client, "s;1");
    assert_eq!(bench.one(client, "AAA").result(), code::UNABLE_TO_COMPLY);
    assert!(bench.take(server).is_empty());
}

#[test]
fn without_a_server_every_call_is_answered_before_its_deadline() {
    let mut bench = Bench::new(settings());
    let client = bench.client("front.example");
    for number in 0..20 {
        bench.call(client, &format!("s;{number}"));
    }
    bench.pass(3 * SECOND - 10 * MS);
    let answers: Vec<Got> = bench.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(answers.len(), 20);
    assert!(answers.iter().all(|answer| answer.result() == code::TOO_BUSY));
}

#[test]
fn a_hung_server_leaves_every_call_with_an_answer_before_its_deadline() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    for number in 0..20 {
        bench.call(client, &format!("s;{number}"));
    }
    for _ in 0..299 {
        bench.pass(10 * MS);
        bench.answer_watchdogs(server);
    }
    let answers: Vec<Got> = bench.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(answers.len(), 20);
    assert_eq!(bench.node.stats().last_moment, 0, "the module answered, not the last guard");
}

#[test]
fn a_call_that_its_server_aborts_is_cut_toward_the_client() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    bench.take(client);
    bench.bytes(server, &session_request(d::CMD_ABORT_SESSION, "a.example", Some("node.example"), "s;1", 4));
    let got: Vec<&str> = bench.names(server);
    assert_eq!(got, ["ASA", "STR"]);
    assert_eq!(bench.one(client, "ASR").session(), "s;1");
    assert_eq!((bench.node.stats().standing, bench.node.stats().cut), (0, 1));
    bench.bytes(server, &session_request(d::CMD_ABORT_SESSION, "a.example", Some("node.example"), "s;1", 5));
    assert_eq!(bench.one(server, "ASA").result(), code::UNKNOWN_SESSION_ID);
}

#[test]
fn calls_survive_a_lost_connection_and_not_a_new_process() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    bench.take(client);
    bench.input(Input::Closed(server));
    bench.pass(300 * MS);
    let server = bench.dialled("a.example", 1);
    assert_eq!(bench.node.stats().standing, 1, "the same process is back");
    bench.input(Input::Closed(server));
    bench.pass(300 * MS);
    bench.dialled("a.example", 2);
    assert_eq!(bench.node.stats().standing, 0, "another process knows no calls");
    assert_eq!(bench.one(client, "ASR").session(), "s;1");
}

#[test]
fn releases_that_could_not_be_sent_are_sent_when_the_server_is_back() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    bench.input(Input::Closed(server));
    bench.bytes(client, &str_of("front.example", "s;1", 3));
    bench.pass(300 * MS);
    let server = bench.dialled("a.example", 1);
    let sessions: Vec<String> =
        bench.take(server).iter().filter(|got| got.name() == "STR").map(Got::session).collect();
    assert_eq!(sessions, ["s;1"]);
}

#[test]
fn a_server_taken_off_the_list_has_its_calls_cut_and_is_not_dialled_again() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    bench.take(client);
    bench.input(Input::List(ListNews::Complete(vec![entry("b.example", Availability::Ready)])));
    assert_eq!(bench.one(client, "ASR").session(), "s;1");
    assert_eq!(bench.names(server), ["STR", "DPR"]);
    bench.input(Input::Closed(server));
    bench.dials.clear();
    bench.pass(10 * SECOND);
    assert!(bench.dials.iter().all(|(_, to)| *to != common::address("a.example")));
}

#[test]
fn stopping_lets_standing_calls_end_and_takes_nothing_new() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    let idle = bench.client("other.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    bench.take(client);
    bench.input(Input::Stop);
    assert_eq!(bench.one(idle, "DPR").message().number(d::DISCONNECT_CAUSE), Some(0));
    assert!(bench.take(client).is_empty(), "its call stands");
    bench.call(client, "s;2");
    assert_eq!(bench.one(client, "AAA").result(), code::TOO_BUSY);
    bench.bytes(client, &str_of("front.example", "s;1", 9));
    assert_eq!(bench.names(client), ["DPR", "STA"]);
    for conn in [idle, client, server] {
        bench.input(Input::Closed(conn));
    }
    bench.pass(2 * SECOND);
    assert!(bench.stopped);
}

#[test]
fn stopping_ends_after_its_time_whatever_still_stands() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    bench.take(client);
    bench.input(Input::Stop);
    for _ in 0..650 {
        bench.pass(100 * MS);
        bench.answer_watchdogs(server);
        if bench.answer_watchdogs(client).iter().any(|got| got.name() == "ASR") {
            break;
        }
    }
    assert_eq!(bench.node.stats().standing, 0, "cut at the end of its time");
    bench.pass(3 * SECOND);
    assert!(bench.stopped);
}

#[test]
fn limits_on_calls_and_connections_hold_and_are_told() {
    let mut small = settings();
    small.max_calls = 3;
    small.max_connections = 3;
    let mut bench = Bench::new(small);
    bench.server("a.example");
    let client = bench.client("front.example");
    for number in 0..5 {
        bench.call(client, &format!("s;{number}"));
    }
    let busy = bench.take(client).iter().filter(|got| got.result() == code::TOO_BUSY).count();
    assert_eq!(busy, 2);
    bench.client("other.example");
    let more = bench.conn();
    bench.input(Input::Accepted(more));
    assert!(bench.closed.contains(&more));
    assert!(bench.notices.contains(&Notice::ConnectionLimitReached(more)));
}

#[test]
fn an_answer_lost_with_its_connection_and_asked_for_too_late_leaves_no_call_standing() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let old = bench.client("front.example");
    let id = bench.call(old, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(old, "AAA").result(), code::SUCCESS);
    // The answer never arrived: the connection is lost, and the repeat comes at the very end of the caller's time.
    bench.input(Input::Closed(old));
    for _ in 0..28 {
        bench.pass(107 * MS);
        assert!(bench.answer_watchdogs(server).is_empty());
    }
    let new = bench.client("front.example");
    bench.bytes(new, &aar("front.example", "s;1", 77, id, true));
    let got: Vec<&str> = bench.names(new).into_iter().filter(|name| *name != "DWR").collect();
    assert_eq!(got, ["ASR"], "no answer any more, and the session is over");
    assert!(bench.names(server).contains(&"STR"), "also at its server");
    assert_eq!(bench.node.stats().standing, 0);
}

/// Timers are up to a tick of the wheel late: with next to no patience the last guard came after the door was shut.
#[test]
fn a_caller_with_next_to_no_patience_is_answered_in_time_whatever_the_phase_of_the_clock() {
    for (patience, phase) in (1..=9).flat_map(|ms| (0..11).map(move |step| (ms, 100 * step))) {
        let mut bench = Bench::new(settings());
        let server = bench.server("a.example");
        let client = bench.client("front.example");
        bench.now += phase;
        let request = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, 7, 7)
            .add_str(d::SESSION_ID, "s;1")
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
            .add_str(d::ORIGIN_HOST, "front.example")
            .add_str(d::ORIGIN_REALM, "example")
            .add_str(d::DESTINATION_REALM, "example")
            .add_u32(d::AUTH_REQUEST_TYPE, 1)
            .add_str(d::CALLED_STATION_ID, "35101234")
            .add_u32(d::SETUP_PATIENCE, patience);
        bench.bytes(client, &request.build());
        bench.pass(i64::from(patience) * MS);
        let told = format!("patience {patience} ms, phase {phase} us");
        assert!(
            [code::UNABLE_TO_DELIVER, code::TOO_BUSY].contains(&bench.one(client, "AAA").result()),
            "{told}"
        );
        let sent: Vec<&str> = bench.names(server).into_iter().filter(|name| *name != "DWR").collect();
        assert!(sent.is_empty() || sent == ["AAR", "STR"], "{told}: {sent:?}");
        assert!(patience > 1 || sent.is_empty(), "{told}: no time for an attempt");
    }
}
