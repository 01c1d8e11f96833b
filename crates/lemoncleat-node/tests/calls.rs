//! Calls through a node under a virtual clock: edge cases, checked by what each end received.

mod common;

use common::{aar, aar_builder, entry, session_request, settings, str_request, Frame, Harness, MS, SECOND};
use lemoncleat::Availability;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, DownReason, GroupBuilder, MessageBuilder};
use lemoncleat_node::{Input, ListNews, Notice};

#[test]
fn establishes_and_releases_a_call() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    let id = harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    let message = attempt.message();
    assert_eq!(message.text(d::DESTINATION_HOST), Some("a.example"));
    assert_eq!(message.text(d::ROUTE_RECORD), Some("front.example"));
    assert_eq!(message.header.end_to_end, id, "an agent keeps the End-to-End Identifier");
    assert_ne!(message.header.hop_by_hop, id, "and gives a Hop-by-Hop Identifier of its own");
    harness.answer(server, &attempt, code::SUCCESS);
    let answer = harness.expect_one(client, "AAA");
    assert_eq!((answer.result(), answer.message().header.hop_by_hop), (code::SUCCESS, id));
    assert_eq!(harness.node.stats().standing, 1);
    harness.bytes(client, &str_request("front.example", "s;1", 7));
    assert_eq!(harness.expect_one(client, "STA").result(), code::SUCCESS);
    assert_eq!(harness.expect_one(server, "STR").session(), "s;1");
    assert_eq!(harness.node.stats().standing, 0);
    // The call has ended: another release finds no session, and nothing more is sent.
    harness.bytes(client, &str_request("front.example", "s;1", 8));
    assert_eq!(harness.expect_one(client, "STA").result(), code::UNKNOWN_SESSION_ID);
    harness.advance(20 * SECOND);
    assert!(harness.names(client).iter().all(|name| *name == "DWR"));
}

#[test]
fn does_not_forward_load_and_overload_avps() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    let load = GroupBuilder::new().add_u32(d::LOAD_TYPE, 0).build();
    let answer = lemoncleat_diameter::MessageBuilder::answer(&attempt.message(), code::SUCCESS)
        .add_str(d::ORIGIN_HOST, "a.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::PROCESSOR_WAIT, 12)
        .add(d::LOAD, &load)
        .add_str(d::USER_NAME, "kept")
        .build();
    harness.bytes(server, &answer);
    let answer = harness.expect_one(client, "AAA");
    let message = answer.message();
    assert_eq!(message.text(d::USER_NAME), Some("kept"));
    assert!(message.find(d::PROCESSOR_WAIT).is_none() && message.find(d::LOAD).is_none());
}

/// Sends a call while two servers are connected. Returns the server that got the attempt, the other one, the
/// first one's host and the attempt.
fn first_attempt(
    harness: &mut Harness,
) -> (lemoncleat_node::ConnId, lemoncleat_node::ConnId, &'static str, Frame) {
    let a = harness.connect_server("a.example");
    let b = harness.connect_server("b.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let (at_a, at_b) = (harness.take(a), harness.take(b));
    match (at_a.as_slice(), at_b.as_slice()) {
        ([one], []) => (a, b, "a.example", one.clone()),
        ([], [one]) => (b, a, "b.example", one.clone()),
        other => panic!("exactly one attempt is out: {other:?}"),
    }
}

fn client_of(harness: &Harness) -> lemoncleat_node::ConnId {
    // Connections are numbered in order: two servers, then the client.
    let _ = harness;
    lemoncleat_node::ConnId(3)
}

#[test]
fn retries_at_the_other_server_when_one_is_full() {
    let mut harness = Harness::new(settings());
    let (first, second, _, attempt) = first_attempt(&mut harness);
    harness.answer(first, &attempt, code::TOO_BUSY);
    let retry = harness.expect_one(second, "AAR");
    assert!(retry.message().header.is_retransmitted(), "it may have been sent before");
    harness.answer(second, &retry, code::SUCCESS);
    let client = client_of(&harness);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    assert!(harness.take(first).is_empty(), "a server that answered needs no release");
}

#[test]
fn retries_after_the_release_time_when_a_watchdog_is_unanswered() {
    let mut harness = Harness::new(settings());
    let (silent, other, _, attempt) = first_attempt(&mut harness);
    let client = client_of(&harness);
    // The first server stops answering; the other one and the client answer their watchdogs.
    let mut given_up = None;
    let mut sent_again = None;
    for _ in 0..400 {
        harness.advance(10 * MS);
        for got in harness.take(silent) {
            if got.name() == "STR" {
                given_up.get_or_insert(harness.now);
            }
        }
        harness.answer_watchdogs(client);
        let rest = harness.answer_watchdogs(other);
        if let Some(retry) = rest.first() {
            assert_eq!(retry.name(), "AAR");
            sent_again = Some(harness.now);
            let retry = retry.clone();
            harness.answer(other, &retry, code::SUCCESS);
            break;
        }
    }
    let (given_up, sent_again) = (given_up.expect("it is released"), sent_again.expect("it is sent again"));
    assert!(sent_again - given_up >= 290 * MS, "the release time is awaited");
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    // The silent server answers late: the call is released there, and the answer is not passed on.
    harness.answer(silent, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(silent, "STR").session(), "s;1");
    assert!(harness.names(client).is_empty());
    assert_eq!(harness.node.stats().late, 1);
}

#[test]
fn sends_no_attempt_to_a_server_drained_during_the_release_time() {
    let mut harness = Harness::new(settings());
    let (lost, other, lost_host, _) = first_attempt(&mut harness);
    let other_host = if lost_host == "a.example" { "b.example" } else { "a.example" };
    harness.input(Input::Closed(lost));
    harness.advance(100 * MS);
    assert!(harness.take(other).is_empty(), "the release time runs");
    harness.list(&[(other_host, Availability::Draining)]);
    harness.advance(4 * SECOND);
    assert!(harness.take(other).iter().all(|got| got.name() == "DWR"), "nothing new to a draining server");
    let client = client_of(&harness);
    let answers: Vec<Frame> = harness.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(answers.len(), 1);
    assert_ne!(answers[0].result(), code::SUCCESS);
}

#[test]
fn accepts_answers_but_sends_nothing_new_after_a_servers_dpr() {
    let mut harness = Harness::new(settings());
    let (leaving, other, host, attempt) = first_attempt(&mut harness);
    let id = harness.new_id();
    let dpr = lemoncleat_diameter::MessageBuilder::request(d::CMD_DISCONNECT, 0, false, id, id)
        .add_str(d::ORIGIN_HOST, host)
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::DISCONNECT_CAUSE, 0)
        .build();
    harness.bytes(leaving, &dpr);
    assert_eq!(harness.expect_one(leaving, "DPA").result(), code::SUCCESS);
    let client = client_of(&harness);
    for number in 2..8 {
        harness.call(client, &format!("s;{number}"));
        harness.advance(20 * MS);
        for got in harness.take(other) {
            harness.answer(other, &got, code::SUCCESS);
        }
    }
    assert!(harness.take(leaving).iter().all(|got| got.name() == "DWR"), "nothing new after its DPR");
    harness.answer(leaving, &attempt, code::SUCCESS);
    let stood = harness.take(client).iter().filter(|got| got.name() == "AAA" && got.result() == 2001).count();
    assert_eq!(stood, 7, "the call at the leaving server stands too");
}

#[test]
fn answers_a_repeat_on_a_new_connection_without_a_new_attempt() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let old = harness.connect_client("front.example");
    let id = harness.call(old, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.input(Input::Closed(old));
    harness.advance(50 * MS);
    let new = harness.connect_client("front.example");
    harness.bytes(new, &aar("front.example", "s;1", 5555, id, true));
    assert!(harness.take(server).iter().all(|got| got.name() != "AAR"), "a repeat is no new call");
    harness.answer(server, &attempt, code::SUCCESS);
    let answer = harness.expect_one(new, "AAA");
    assert_eq!((answer.result(), answer.message().header.hop_by_hop), (code::SUCCESS, 5555));
    // A repeat after the answer gets the same answer again.
    harness.bytes(new, &aar("front.example", "s;1", 6666, id, true));
    let repeated = harness.expect_one(new, "AAA");
    assert_eq!((repeated.result(), repeated.message().header.hop_by_hop), (code::SUCCESS, 6666));
    assert!(harness.take(server).is_empty());
    assert_eq!((harness.node.stats().calls, harness.node.stats().repeats), (1, 2));
    // After the deadline nothing is sent for it.
    harness.advance(4 * SECOND);
    harness.take(new);
    harness.bytes(new, &aar("front.example", "s;1", 7777, id, true));
    assert!(harness.take(new).is_empty());
}

#[test]
fn replaces_a_clients_connection_when_it_connects_again() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let first = harness.connect_client("front.example");
    let id = harness.call(first, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    let second = harness.connect_client("front.example");
    assert!(harness.closed.contains(&first), "one connection for each client");
    assert!(harness.notices.contains(&Notice::PeerDown("front.example".into(), DownReason::Replaced)));
    harness.bytes(second, &aar("front.example", "s;1", 99, id, true));
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(second, "AAA").message().header.hop_by_hop, 99);
    assert!(harness.take(first).is_empty());
    assert!(harness.take(server).is_empty());
}

#[test]
fn keeps_the_answer_for_a_repeat_while_the_client_is_disconnected() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let old = harness.connect_client("front.example");
    let id = harness.call(old, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.input(Input::Closed(old));
    harness.answer(server, &attempt, code::SUCCESS);
    assert!(harness.take(old).is_empty());
    let new = harness.connect_client("front.example");
    harness.bytes(new, &aar("front.example", "s;1", 42, id, true));
    assert_eq!(harness.expect_one(new, "AAA").result(), code::SUCCESS);
    harness.advance(4 * SECOND);
    assert_eq!(harness.node.stats().standing, 1, "the call stays established");
}

#[test]
fn releases_a_call_whose_answer_could_not_be_delivered() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let old = harness.connect_client("front.example");
    harness.call(old, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.input(Input::Closed(old));
    harness.answer(server, &attempt, code::SUCCESS);
    let new = harness.connect_client("front.example");
    let mut released = Vec::new();
    for _ in 0..40 {
        harness.advance(100 * MS);
        harness.answer_watchdogs(new);
        released.extend(harness.answer_watchdogs(server));
    }
    assert!(released.iter().any(|got| got.name() == "STR" && got.session() == "s;1"));
    assert_eq!(harness.node.stats().standing, 0);
}

#[test]
fn answers_and_releases_when_the_caller_releases_before_the_answer() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.bytes(client, &str_request("front.example", "s;1", 3));
    let got = harness.take(client);
    assert_eq!(got.iter().map(Frame::name).collect::<Vec<_>>(), ["AAA", "STA"]);
    assert_eq!((got[0].result(), got[1].result()), (code::UNABLE_TO_COMPLY, code::SUCCESS));
    assert_eq!(harness.expect_one(server, "STR").session(), "s;1");
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(server, "STR").session(), "s;1", "a late success is released as well");
    harness.advance(5 * SECOND);
    assert!(harness.names(client).iter().all(|name| *name == "DWR"));
}

#[test]
fn releases_calls_of_a_client_that_does_not_reconnect() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    harness.take(client);
    harness.input(Input::Closed(client));
    let mut released = Vec::new();
    for _ in 0..70 {
        harness.advance(100 * MS);
        released.extend(harness.answer_watchdogs(server));
    }
    assert_eq!(released.iter().map(Frame::name).collect::<Vec<_>>()[0], "STR");
    assert_eq!(harness.node.stats().standing, 0);
}

#[test]
fn repeats_an_unanswered_release_a_limited_number_of_times() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    harness.bytes(client, &str_request("front.example", "s;1", 3));
    let mut releases = Vec::new();
    for _ in 0..300 {
        harness.advance(100 * MS);
        harness.answer_watchdogs(client);
        releases.extend(harness.answer_watchdogs(server));
    }
    assert!(releases.iter().all(|got| got.name() == "STR"));
    assert_eq!(releases.len(), 5);
    assert!(
        !releases[0].message().header.is_retransmitted() && releases[1].message().header.is_retransmitted()
    );
}

#[test]
fn drops_unknown_and_duplicate_answers() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    let mut stray = attempt.clone();
    stray.0[12..16].copy_from_slice(&0x00ab_cdefu32.to_be_bytes());
    harness.answer(server, &stray, code::SUCCESS);
    assert!(harness.take(client).is_empty());
    assert!(harness.notices.contains(&Notice::UnknownAnswer("a.example".into(), 0x00ab_cdef)));
    harness.answer(server, &attempt, code::SUCCESS);
    harness.answer(server, &attempt, code::SUCCESS);
    harness.answer(server, &attempt, code::TOO_BUSY);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    assert_eq!((harness.node.stats().standing, harness.node.stats().stood), (1, 1));
}

#[test]
fn answers_each_of_500_set_ups_once_when_a_server_disconnects() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    // A server that has answered fast and often is sent many calls.
    let mut number = 0;
    while harness.node.stats().setting_up < 500 {
        number += 1;
        harness.call(client, &format!("s;{number}"));
        if number % 4 == 0 {
            harness.advance(2 * MS);
        }
        assert!(number < 5_000, "the module holds back too much for this test");
        if number < 400 {
            for got in harness.answer_watchdogs(server) {
                if got.name() == "AAR" {
                    harness.answer(server, &got, code::SUCCESS);
                }
            }
        }
    }
    let out = harness.node.stats().setting_up;
    let before: Vec<Frame> = harness.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    harness.input(Input::Closed(server));
    for _ in 0..40 {
        harness.advance(100 * MS);
        // The client stays connected; only the answers matter here.
        harness.input(Input::Timeout);
    }
    let after: Vec<Frame> = harness.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(before.len() + after.len(), number, "every call has one answer");
    assert!(after.len() >= out);
    let mut sessions: Vec<String> = before.iter().chain(&after).map(Frame::session).collect();
    sessions.sort();
    sessions.dedup();
    assert_eq!(sessions.len(), number, "and no call has two");
    assert_eq!(harness.node.stats().setting_up, 0);
}

#[test]
fn keeps_the_last_list_while_no_update_arrives() {
    let mut without_watchdog_requests = settings();
    without_watchdog_requests.timing.watchdog = 6 * SECOND;
    let mut harness = Harness::new(without_watchdog_requests);
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    for number in 0..300 {
        harness.call(client, &format!("s;{number}"));
        for got in harness.answer_watchdogs(server) {
            harness.answer(server, &got, code::SUCCESS);
        }
        harness.answer_watchdogs(client);
        harness.advance(SECOND);
    }
    assert_eq!(harness.node.stats().stood, 300);
}

#[test]
fn uses_the_other_server_when_a_write_queue_is_full() {
    let mut small = settings();
    small.max_queue = 600;
    let mut harness = Harness::new(small);
    let (blocked, other, _, attempt) = first_attempt(&mut harness);
    harness.answer(blocked, &attempt, code::SUCCESS);
    let client = client_of(&harness);
    // Both servers answer, but bytes sent to one of them are never reported as written.
    harness.report_written = false;
    let (mut at_blocked, mut stood) = (0, 0);
    for number in 2..60 {
        harness.call(client, &format!("s;{number}"));
        for server in [blocked, other] {
            for got in harness.take(server) {
                if server == other {
                    harness.input(Input::Written(other, got.0.len()));
                }
                if got.name() == "AAR" {
                    at_blocked += usize::from(server == blocked);
                    harness.answer(server, &got, code::SUCCESS);
                }
            }
        }
        for got in harness.take(client) {
            harness.input(Input::Written(client, got.0.len()));
            stood += usize::from(got.name() == "AAA" && got.result() == code::SUCCESS);
        }
        harness.advance(20 * MS);
    }
    assert!((1..=4).contains(&at_blocked), "{at_blocked} set-ups of some 200 bytes fit into a queue of 600");
    assert!(stood > 50, "the calls stand elsewhere: {stood}");
    assert!(harness.notices.iter().any(|notice| matches!(notice, Notice::QueueFull(_))));
}

#[test]
fn closes_a_client_that_does_not_read() {
    let mut small = settings();
    small.max_queue = 2_000;
    let mut harness = Harness::new(small);
    let client = harness.connect_client("front.example");
    harness.report_written = false;
    for number in 0..200 {
        harness.bytes(client, &str_request("front.example", "none", number));
    }
    assert!(harness.closed.contains(&client));
    let sent: usize = harness.take(client).iter().map(|got| got.0.len()).sum();
    assert!(sent <= 3 * 2_000, "no more than the limit waits: {sent}");
}

#[test]
fn answers_rejected_requests_with_their_result_code() {
    let mut harness = Harness::new(settings());
    harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
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
        harness.bytes(client, &request);
        let got = harness.take(client);
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
    harness.bytes(client, &other_realm);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::REALM_NOT_SERVED);
    assert_eq!(harness.node.stats().calls, 0);
}

#[test]
fn refuses_a_second_call_with_a_session_in_use() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    harness.expect_one(server, "AAR");
    harness.call(client, "s;1");
    assert_eq!(harness.expect_one(client, "AAA").result(), code::UNABLE_TO_COMPLY);
    assert!(harness.take(server).is_empty());
}

#[test]
fn answers_every_call_in_time_without_a_server() {
    let mut harness = Harness::new(settings());
    let client = harness.connect_client("front.example");
    for number in 0..20 {
        harness.call(client, &format!("s;{number}"));
    }
    harness.advance(3 * SECOND - 10 * MS);
    let answers: Vec<Frame> = harness.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(answers.len(), 20);
    assert!(answers.iter().all(|answer| answer.result() == code::TOO_BUSY));
}

#[test]
fn answers_every_call_in_time_when_a_server_hangs() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    for number in 0..20 {
        harness.call(client, &format!("s;{number}"));
    }
    for _ in 0..299 {
        harness.advance(10 * MS);
        harness.answer_watchdogs(server);
    }
    let answers: Vec<Frame> = harness.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(answers.len(), 20);
    assert_eq!(harness.node.stats().last_moment, 0, "the module answered, not the last guard");
}

#[test]
fn notifies_the_client_when_a_server_aborts_a_call() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    harness.take(client);
    harness
        .bytes(server, &session_request(d::CMD_ABORT_SESSION, "a.example", Some("node.example"), "s;1", 4));
    let got: Vec<&str> = harness.names(server);
    assert_eq!(got, ["ASA", "STR"]);
    assert_eq!(harness.expect_one(client, "ASR").session(), "s;1");
    assert_eq!((harness.node.stats().standing, harness.node.stats().cut), (0, 1));
    harness
        .bytes(server, &session_request(d::CMD_ABORT_SESSION, "a.example", Some("node.example"), "s;1", 5));
    assert_eq!(harness.expect_one(server, "ASA").result(), code::UNKNOWN_SESSION_ID);
}

#[test]
fn keeps_calls_over_a_reconnection_but_cuts_them_after_a_restart() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    harness.take(client);
    harness.input(Input::Closed(server));
    harness.advance(300 * MS);
    let server = harness.accept_dial("a.example", 1);
    assert_eq!(harness.node.stats().standing, 1, "the same process is back");
    harness.input(Input::Closed(server));
    harness.advance(300 * MS);
    harness.accept_dial("a.example", 2);
    assert_eq!(harness.node.stats().standing, 0, "another process knows no calls");
    assert_eq!(harness.expect_one(client, "ASR").session(), "s;1");
}

#[test]
fn sends_queued_releases_when_the_server_reconnects() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    harness.input(Input::Closed(server));
    harness.bytes(client, &str_request("front.example", "s;1", 3));
    harness.advance(300 * MS);
    let server = harness.accept_dial("a.example", 1);
    let sessions: Vec<String> =
        harness.take(server).iter().filter(|got| got.name() == "STR").map(Frame::session).collect();
    assert_eq!(sessions, ["s;1"]);
}

#[test]
fn cuts_calls_and_stops_dialling_when_a_server_is_removed() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    harness.take(client);
    harness.input(Input::List(ListNews::Complete(vec![entry("b.example", Availability::Ready)])));
    assert_eq!(harness.expect_one(client, "ASR").session(), "s;1");
    assert_eq!(harness.names(server), ["STR", "DPR"]);
    harness.input(Input::Closed(server));
    harness.dials.clear();
    harness.advance(10 * SECOND);
    assert!(harness.dials.iter().all(|(_, to)| *to != common::address("a.example")));
}

#[test]
fn refuses_new_calls_and_keeps_standing_ones_while_stopping() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    let idle = harness.connect_client("other.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    harness.take(client);
    harness.input(Input::Stop);
    assert_eq!(harness.expect_one(idle, "DPR").message().number(d::DISCONNECT_CAUSE), Some(0));
    assert!(harness.take(client).is_empty(), "its call stands");
    harness.call(client, "s;2");
    assert_eq!(harness.expect_one(client, "AAA").result(), code::TOO_BUSY);
    harness.bytes(client, &str_request("front.example", "s;1", 9));
    assert_eq!(harness.names(client), ["DPR", "STA"]);
    for conn in [idle, client, server] {
        harness.input(Input::Closed(conn));
    }
    harness.advance(2 * SECOND);
    assert!(harness.stopped);
}

#[test]
fn cuts_standing_calls_when_the_drain_time_is_over() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    harness.take(client);
    harness.input(Input::Stop);
    for _ in 0..650 {
        harness.advance(100 * MS);
        harness.answer_watchdogs(server);
        if harness.answer_watchdogs(client).iter().any(|got| got.name() == "ASR") {
            break;
        }
    }
    assert_eq!(harness.node.stats().standing, 0, "cut at the end of its time");
    harness.advance(3 * SECOND);
    assert!(harness.stopped);
}

#[test]
fn enforces_and_reports_limits_on_calls_and_connections() {
    let mut small = settings();
    small.max_calls = 3;
    small.max_connections = 3;
    let mut harness = Harness::new(small);
    harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    for number in 0..5 {
        harness.call(client, &format!("s;{number}"));
    }
    let busy = harness.take(client).iter().filter(|got| got.result() == code::TOO_BUSY).count();
    assert_eq!(busy, 2);
    harness.connect_client("other.example");
    let more = harness.new_conn();
    harness.input(Input::Accepted(more));
    assert!(harness.closed.contains(&more));
    assert!(harness.notices.contains(&Notice::ConnectionLimitReached(more)));
}

#[test]
fn cuts_the_call_when_its_lost_answer_is_requested_too_late() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let old = harness.connect_client("front.example");
    let id = harness.call(old, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(old, "AAA").result(), code::SUCCESS);
    // The answer is lost with its connection, and the repeat comes at the very end of the caller's time.
    harness.input(Input::Closed(old));
    for _ in 0..28 {
        harness.advance(107 * MS);
        assert!(harness.answer_watchdogs(server).is_empty());
    }
    let new = harness.connect_client("front.example");
    harness.bytes(new, &aar("front.example", "s;1", 77, id, true));
    let got: Vec<&str> = harness.names(new).into_iter().filter(|name| *name != "DWR").collect();
    assert_eq!(got, ["ASR"], "no answer is sent, and the session is ended");
    assert!(harness.names(server).contains(&"STR"), "also at its server");
    assert_eq!(harness.node.stats().standing, 0);
}

/// Guards against an answer lost to timer granularity: timers fire up to one tick of the wheel late, so with
/// a patience of about one tick the deadline guard ran only after the last moment at which an answer may
/// leave.
#[test]
fn answers_in_time_with_minimal_patience_at_any_clock_phase() {
    for (patience, phase) in (1..=9).flat_map(|ms| (0..11).map(move |step| (ms, 100 * step))) {
        let mut harness = Harness::new(settings());
        let server = harness.connect_server("a.example");
        let client = harness.connect_client("front.example");
        harness.now += phase;
        let request = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, 7, 7)
            .add_str(d::SESSION_ID, "s;1")
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
            .add_str(d::ORIGIN_HOST, "front.example")
            .add_str(d::ORIGIN_REALM, "example")
            .add_str(d::DESTINATION_REALM, "example")
            .add_u32(d::AUTH_REQUEST_TYPE, 1)
            .add_str(d::CALLED_STATION_ID, "35101234")
            .add_u32(d::SETUP_PATIENCE, patience);
        harness.bytes(client, &request.build());
        harness.advance(i64::from(patience) * MS);
        let context = format!("patience {patience} ms, phase {phase} us");
        assert!(
            [code::UNABLE_TO_DELIVER, code::TOO_BUSY].contains(&harness.expect_one(client, "AAA").result()),
            "{context}"
        );
        let sent: Vec<&str> = harness.names(server).into_iter().filter(|name| *name != "DWR").collect();
        assert!(sent.is_empty() || sent == ["AAR", "STR"], "{context}: {sent:?}");
        assert!(patience > 1 || sent.is_empty(), "{context}: no time for an attempt");
    }
}
