//! Obligations when something ends: a client's connection, a transaction, the node itself.

mod common;

use common::{aar, entry, settings, str_request, Frame, Harness, MS};
use lemoncleat::Availability;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, MessageBuilder};
use lemoncleat_node::{ConnId, Input, ListNews};

/// Returns a server, a client, and a standing call of the client.
fn with_standing_call() -> (Harness, ConnId, ConnId) {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    establish_call(&mut harness, client, server, "s;1");
    (harness, server, client)
}

/// Establishes a call; returns its End-to-End Identifier.
fn establish_call(harness: &mut Harness, client: ConnId, server: ConnId, session: &str) -> u32 {
    let id = harness.call(client, session);
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    id
}

/// Returns what an end received, without watchdogs, as names and sessions.
fn got(harness: &mut Harness, conn: ConnId) -> Vec<(&'static str, String)> {
    let all = harness.answer_watchdogs(conn);
    all.iter().map(|got| (got.name(), got.session())).collect()
}

// ---- Shutdown of the node ----

#[test]
fn releases_calls_of_a_client_lost_while_stopping() {
    let (mut harness, server, client) = with_standing_call();
    establish_call(&mut harness, client, server, "s;2");
    harness.call(client, "s;3");
    harness.expect_one(server, "AAR");
    harness.input(Input::Stop);
    assert!(harness.take(server).is_empty(), "calls are left");
    harness.input(Input::Closed(client));
    let mut all = got(&mut harness, server);
    let last = all.pop().map(|(name, _)| name);
    all.sort();
    let released = ["s;1", "s;2", "s;3"].map(|session| ("STR", session.to_owned()));
    assert_eq!((all, last), (released.to_vec(), Some("DPR")));
    let stats = harness.node.stats();
    assert_eq!((stats.standing, stats.setting_up), (0, 0));
}

#[test]
fn releases_calls_of_a_disconnected_client_when_stopping() {
    let (mut harness, server, client) = with_standing_call();
    establish_call(&mut harness, client, server, "s;2");
    harness.input(Input::Closed(client));
    harness.advance(100 * MS);
    harness.input(Input::Stop);
    let mut all = got(&mut harness, server);
    assert_eq!(all.pop().map(|(name, _)| name), Some("DPR"));
    all.sort();
    assert_eq!(all, ["s;1", "s;2"].map(|session| ("STR", session.to_owned())));
}

#[test]
fn notifies_the_client_of_a_cut_before_its_connection_is_closed() {
    let (mut harness, server, client) = with_standing_call();
    harness.input(Input::Stop);
    let mut at_client = Vec::new();
    for _ in 0..650 {
        harness.advance(100 * MS);
        harness.answer_watchdogs(server);
        at_client.extend(got(&mut harness, client).into_iter().map(|(name, _)| name));
    }
    assert_eq!(at_client, ["ASR", "DPR"]);
}

#[test]
fn notifies_the_client_of_an_abort_while_stopping() {
    let (mut harness, server, client) = with_standing_call();
    harness.input(Input::Stop);
    let request = common::session_request(d::CMD_ABORT_SESSION, "a.example", Some("node.example"), "s;1", 70);
    harness.bytes(server, &request);
    assert_eq!(harness.names(client), ["ASR", "DPR"]);
}

// ---- A DPR of the node ----

#[test]
fn answers_requests_that_cross_the_nodes_dpr() {
    let (mut harness, _server, client) = with_standing_call();
    let idle = harness.connect_client("other.example");
    harness.input(Input::Stop);
    assert_eq!(harness.names(idle), ["DPR"]);
    // Sent before the DPR was read.
    harness.bytes(idle, &aar("other.example", "s;late", 31, 31, false));
    harness.bytes(idle, &str_request("other.example", "s;unknown", 32));
    let answers = harness.take(idle);
    let answers: Vec<_> = answers.iter().map(|got| (got.name(), got.result())).collect();
    assert_eq!(answers, [("AAA", code::TOO_BUSY), ("STA", code::UNKNOWN_SESSION_ID)]);
    // Also on a connection whose last call has just ended.
    harness.bytes(client, &str_request("front.example", "s;1", 33));
    harness.names(client);
    harness.call(client, "s;2");
    assert_eq!(harness.expect_one(client, "AAA").result(), code::TOO_BUSY);
}

// ---- Repeats ----

#[test]
fn moves_the_call_when_its_request_is_repeated_by_another_peer() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let (first, second) = (harness.connect_client("front.example"), harness.connect_client("other.example"));
    let id = harness.call(first, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.input(Input::Closed(first));
    // The request of an origin behind both peers is repeated through the other one (RFC 6733 section 5.5.4).
    harness.bytes(second, &aar("front.example", "s;1", 90, id, true));
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(second, "AAA").result(), code::SUCCESS);
    let first = harness.connect_client("front.example");
    harness.input(Input::Stop);
    assert_eq!(harness.names(first), ["DPR"], "nothing is held for it any more");
    assert!(harness.take(second).is_empty(), "its call stands");
}

#[test]
fn moves_the_call_when_another_peer_gets_its_answer() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let (first, second) = (harness.connect_client("front.example"), harness.connect_client("other.example"));
    let id = establish_call(&mut harness, first, server, "s;1");
    harness.input(Input::Closed(first));
    harness.bytes(second, &aar("front.example", "s;1", 90, id, true));
    assert_eq!(harness.expect_one(second, "AAA").result(), code::SUCCESS);
    let mut at_server = Vec::new();
    for _ in 0..80 {
        harness.advance(100 * MS);
        at_server.extend(got(&mut harness, server));
        harness.answer_watchdogs(second);
    }
    assert_eq!(at_server, [], "the call is not the lost peer's");
    assert_eq!(harness.node.stats().standing, 1);
    harness.input(Input::Stop);
    assert!(harness.take(second).is_empty(), "its call stands");
}

// ---- Answers no longer kept ----

#[test]
fn cuts_the_call_when_a_repeats_answer_is_no_longer_kept() {
    let mut small = settings();
    small.max_duplicates = 1;
    let mut harness = Harness::new(small);
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    let id = establish_call(&mut harness, client, server, "s;1");
    establish_call(&mut harness, client, server, "s;2");
    harness.bytes(client, &aar("front.example", "s;1", 90, id, true));
    let at_client = harness.take(client);
    let at_client: Vec<_> = at_client.iter().map(|got| (got.name(), got.session(), got.result())).collect();
    assert_eq!(at_client[0], ("AAA", "s;1".to_owned(), code::UNABLE_TO_COMPLY));
    assert_eq!(at_client[1].0, "ASR");
    assert_eq!(got(&mut harness, server), [("STR", "s;1".to_owned())]);
    assert_eq!(harness.node.stats().standing, 1);
}

// ---- A disconnected client ----

#[test]
fn starts_no_attempt_while_the_client_is_disconnected() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let other = harness.connect_server("b.example");
    let client = harness.connect_client("front.example");
    let id = harness.call(client, "s;1");
    let (at, request) = attempt(&mut harness, &[server, other]);
    harness.input(Input::Closed(client));
    harness.advance(200 * MS);
    harness.answer(at, &request, code::TOO_BUSY);
    let mut sent = Vec::new();
    for _ in 0..40 {
        harness.advance(50 * MS);
        for conn in [server, other] {
            sent.extend(got(&mut harness, conn));
        }
    }
    assert!(sent.iter().all(|(name, _)| *name != "AAR"), "{sent:?}");
    // Its repeat is the same transaction and gets its answer; nothing runs a second time.
    let client = harness.connect_client("front.example");
    harness.bytes(client, &aar("front.example", "s;1", 90, id, true));
    assert_ne!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    assert!(harness.take(server).is_empty() && harness.take(other).is_empty());
    assert_eq!(harness.node.stats().setting_up, 0);
}

/// Returns the only pending attempt and its server.
fn attempt(harness: &mut Harness, servers: &[ConnId]) -> (ConnId, Frame) {
    let mut all: Vec<(ConnId, Frame)> = Vec::new();
    for conn in servers {
        all.extend(harness.take(*conn).into_iter().filter(|got| got.name() == "AAR").map(|got| (*conn, got)));
    }
    assert_eq!(all.len(), 1);
    all.remove(0)
}

// ---- Releases ----

#[test]
fn repeated_release_does_not_end_a_later_attempt() {
    let (mut harness, server, client, attempt) = second_attempt();
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    let mut at_server = Vec::new();
    for _ in 0..60 {
        harness.advance(100 * MS);
        harness.answer_watchdogs(client);
        at_server.extend(got(&mut harness, server));
    }
    assert_eq!(at_server, [], "the release of the first attempt ends the one session that there is");
    assert_eq!(harness.node.stats().standing, 1);
}

#[test]
fn queued_release_does_not_end_a_later_attempt() {
    let (mut harness, server, client, attempt) = second_attempt();
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    harness.input(Input::Closed(server));
    harness.advance(300 * MS);
    let server = harness.accept_dial("a.example", 1);
    assert_eq!(got(&mut harness, server), []);
    assert_eq!(harness.node.stats().standing, 1);
}

/// Returns a call whose first attempt was given up, with the release unanswered, and whose second attempt is
/// pending at the same server, which answers watchdogs.
fn second_attempt() -> (Harness, ConnId, ConnId, Frame) {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    let id = harness.new_id();
    let request = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, id, id)
        .add_str(d::SESSION_ID, "s;1")
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_str(d::ORIGIN_HOST, "front.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_str(d::DESTINATION_REALM, "example")
        .add_u32(d::AUTH_REQUEST_TYPE, 1)
        .add_str(d::CALLED_STATION_ID, "35101234")
        .add_u32(d::SETUP_PATIENCE, 9_000);
    harness.bytes(client, &request.build());
    let mut all = Vec::new();
    for _ in 0..800 {
        harness.advance(10 * MS);
        harness.answer_watchdogs(client);
        all.extend(harness.answer_watchdogs(server));
        let attempts = all.iter().filter(|got: &&Frame| got.name() == "AAR").count();
        if attempts == 2 {
            break;
        }
    }
    let names: Vec<_> = all.iter().map(Frame::name).collect();
    assert_eq!(names, ["AAR", "STR", "AAR"]);
    let attempt = all.pop().expect("three messages");
    (harness, server, client, attempt)
}

// ---- Malformed answers ----

#[test]
fn drops_a_truncated_answer_and_releases_its_session() {
    let whole = |harness: &mut Harness, server| -> (Vec<u8>, u32) {
        let attempt = harness.expect_one(server, "AAR");
        let head = attempt.message().header;
        let answer = MessageBuilder::answer(&attempt.message(), code::SUCCESS)
            .add_str(d::ORIGIN_HOST, "a.example")
            .add_str(d::ORIGIN_REALM, "example")
            .add_str(d::ERROR_MESSAGE, "a description")
            .build();
        (answer, head.hop_by_hop)
    };
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let (mut answer, _) = whole(&mut harness, server);
    // The length of the last AVP exceeds the rest of the message.
    let last = answer.len() - 24;
    answer[last + 7] = 200;
    harness.bytes(server, &answer);
    assert_eq!(harness.names(client), [""; 0], "nothing that breaks off is passed on");
    assert_eq!(got(&mut harness, server)[0], ("STR", "s;1".to_owned()));
    assert_eq!(harness.node.stats().standing, 0);
}

#[test]
fn drops_swapped_answers() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    harness.call(client, "s;2");
    let attempts = harness.take(server);
    let hops: Vec<u32> = attempts.iter().map(|got| got.message().header.hop_by_hop).collect();
    for (attempt, hop) in attempts.iter().zip(hops.iter().rev()) {
        let mut answer = common::answer_of(attempt, code::SUCCESS);
        answer[12..16].copy_from_slice(&hop.to_be_bytes());
        harness.bytes(server, &answer);
    }
    assert_eq!(harness.names(client), [""; 0], "neither has an answer of its own");
    let mut released = got(&mut harness, server);
    released.sort();
    released.dedup();
    assert_eq!(released, ["s;1", "s;2"].map(|session| ("STR", session.to_owned())));
    assert_eq!(harness.node.stats().standing, 0);
}

// ---- The server list ----

#[test]
fn cuts_a_call_established_at_a_removed_server_on_disconnect() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.input(Input::List(ListNews::Complete(vec![entry("b.example", Availability::Ready)])));
    assert_eq!(harness.names(server), ["DPR"]);
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    harness.input(Input::Closed(server));
    assert_eq!(harness.expect_one(client, "ASR").session(), "s;1", "the server does not come back");
    assert_eq!(harness.node.stats().standing, 0);
}
