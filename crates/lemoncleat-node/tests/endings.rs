//! What is owed at the moment at which something ends: a client's connection, a transaction, the node itself.

mod common;

use common::{aar, entry, settings, str_of, Bench, Got, MS};
use lemoncleat::Availability;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, MessageBuilder};
use lemoncleat_node::{ConnId, Input, ListNews};

/// A server, a client, and a call of the client that stands.
fn one_standing() -> (Bench, ConnId, ConnId) {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    stands(&mut bench, client, server, "s;1");
    (bench, server, client)
}

/// A call comes to stand; its End-to-End Identifier.
fn stands(bench: &mut Bench, client: ConnId, server: ConnId, session: &str) -> u32 {
    let id = bench.call(client, session);
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    id
}

/// What an end got, watchdogs left out, as names and sessions.
fn got(bench: &mut Bench, conn: ConnId) -> Vec<(&'static str, String)> {
    let all = bench.answer_watchdogs(conn);
    all.iter().map(|got| (got.name(), got.session())).collect()
}

// ---- The end of the node ----

#[test]
fn a_client_lost_while_the_node_stops_has_its_calls_released_before_the_servers_are_left() {
    let (mut bench, server, client) = one_standing();
    stands(&mut bench, client, server, "s;2");
    bench.call(client, "s;3");
    bench.one(server, "AAR");
    bench.input(Input::Stop);
    assert!(bench.take(server).is_empty(), "calls are left");
    bench.input(Input::Closed(client));
    let mut all = got(&mut bench, server);
    let last = all.pop().map(|(name, _)| name);
    all.sort();
    let released = ["s;1", "s;2", "s;3"].map(|session| ("STR", session.to_owned()));
    assert_eq!((all, last), (released.to_vec(), Some("DPR")));
    let stats = bench.node.stats();
    assert_eq!((stats.standing, stats.setting_up), (0, 0));
}

#[test]
fn calls_of_a_client_that_is_away_when_the_node_stops_are_released() {
    let (mut bench, server, client) = one_standing();
    stands(&mut bench, client, server, "s;2");
    bench.input(Input::Closed(client));
    bench.pass(100 * MS);
    bench.input(Input::Stop);
    let mut all = got(&mut bench, server);
    assert_eq!(all.pop().map(|(name, _)| name), Some("DPR"));
    all.sort();
    assert_eq!(all, ["s;1", "s;2"].map(|session| ("STR", session.to_owned())));
}

#[test]
fn a_call_cut_at_the_end_of_the_drain_is_told_to_its_client_before_the_connection_is_ended() {
    let (mut bench, server, client) = one_standing();
    bench.input(Input::Stop);
    let mut at_client = Vec::new();
    for _ in 0..650 {
        bench.pass(100 * MS);
        bench.answer_watchdogs(server);
        at_client.extend(got(&mut bench, client).into_iter().map(|(name, _)| name));
    }
    assert_eq!(at_client, ["ASR", "DPR"]);
}

#[test]
fn a_call_that_its_server_aborts_while_the_node_stops_is_told_to_its_client() {
    let (mut bench, server, client) = one_standing();
    bench.input(Input::Stop);
    let request = common::session_request(d::CMD_ABORT_SESSION, "a.example", Some("node.example"), "s;1", 70);
    bench.bytes(server, &request);
    assert_eq!(bench.names(client), ["ASR", "DPR"]);
}

// ---- A DPR of the node ----

#[test]
fn requests_that_cross_the_nodes_dpr_are_answered() {
    let (mut bench, _server, client) = one_standing();
    let idle = bench.client("other.example");
    bench.input(Input::Stop);
    assert_eq!(bench.names(idle), ["DPR"]);
    // Written before the DPR was read.
    bench.bytes(idle, &aar("other.example", "s;late", 31, 31, false));
    bench.bytes(idle, &str_of("other.example", "s;unknown", 32));
    let answers = bench.take(idle);
    let answers: Vec<_> = answers.iter().map(|got| (got.name(), got.result())).collect();
    assert_eq!(answers, [("AAA", code::TOO_BUSY), ("STA", code::UNKNOWN_SESSION_ID)]);
    // And on a connection whose last call has just ended.
    bench.bytes(client, &str_of("front.example", "s;1", 33));
    bench.names(client);
    bench.call(client, "s;2");
    assert_eq!(bench.one(client, "AAA").result(), code::TOO_BUSY);
}

// ---- Repeats ----

#[test]
fn a_request_that_moves_to_another_peer_takes_its_call_along() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let (first, second) = (bench.client("front.example"), bench.client("other.example"));
    let id = bench.call(first, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.input(Input::Closed(first));
    // The request of an origin behind both peers comes again by the other one (RFC 6733 section 5.5.4).
    bench.bytes(second, &aar("front.example", "s;1", 90, id, true));
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(second, "AAA").result(), code::SUCCESS);
    let first = bench.client("front.example");
    bench.input(Input::Stop);
    assert_eq!(bench.names(first), ["DPR"], "nothing is held for it any more");
    assert!(bench.take(second).is_empty(), "its call stands");
}

#[test]
fn an_answer_fetched_by_another_peer_leaves_the_call_with_that_peer() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let (first, second) = (bench.client("front.example"), bench.client("other.example"));
    let id = stands(&mut bench, first, server, "s;1");
    bench.input(Input::Closed(first));
    bench.bytes(second, &aar("front.example", "s;1", 90, id, true));
    assert_eq!(bench.one(second, "AAA").result(), code::SUCCESS);
    let mut at_server = Vec::new();
    for _ in 0..80 {
        bench.pass(100 * MS);
        at_server.extend(got(&mut bench, server));
        bench.answer_watchdogs(second);
    }
    assert_eq!(at_server, [], "the call is not the lost peer's");
    assert_eq!(bench.node.stats().standing, 1);
    bench.input(Input::Stop);
    assert!(bench.take(second).is_empty(), "its call stands");
}

// ---- Answers forgotten ----

#[test]
fn a_repeat_whose_answer_was_forgotten_leaves_nothing_standing_behind_a_failure() {
    let mut small = settings();
    small.max_duplicates = 1;
    let mut bench = Bench::new(small);
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    let id = stands(&mut bench, client, server, "s;1");
    stands(&mut bench, client, server, "s;2");
    bench.bytes(client, &aar("front.example", "s;1", 90, id, true));
    let at_client = bench.take(client);
    let at_client: Vec<_> = at_client.iter().map(|got| (got.name(), got.session(), got.result())).collect();
    assert_eq!(at_client[0], ("AAA", "s;1".to_owned(), code::UNABLE_TO_COMPLY));
    assert_eq!(at_client[1].0, "ASR");
    assert_eq!(got(&mut bench, server), [("STR", "s;1".to_owned())]);
    assert_eq!(bench.node.stats().standing, 1);
}

// ---- A client that is away ----

#[test]
fn no_attempt_begins_while_the_client_is_away() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let other = bench.server("b.example");
    let client = bench.client("front.example");
    let id = bench.call(client, "s;1");
    let (at, request) = attempt(&mut bench, &[server, other]);
    bench.input(Input::Closed(client));
    bench.pass(200 * MS);
    bench.answer(at, &request, code::TOO_BUSY);
    let mut sent = Vec::new();
    for _ in 0..40 {
        bench.pass(50 * MS);
        for conn in [server, other] {
            sent.extend(got(&mut bench, conn));
        }
    }
    assert!(sent.iter().all(|(name, _)| *name != "AAR"), "{sent:?}");
    // Its repeat is the same transaction and has its answer; nothing runs a second time.
    let client = bench.client("front.example");
    bench.bytes(client, &aar("front.example", "s;1", 90, id, true));
    assert_ne!(bench.one(client, "AAA").result(), code::SUCCESS);
    assert!(bench.take(server).is_empty() && bench.take(other).is_empty());
    assert_eq!(bench.node.stats().setting_up, 0);
}

/// The one attempt that is out, and where.
fn attempt(bench: &mut Bench, servers: &[ConnId]) -> (ConnId, Got) {
    let mut all: Vec<(ConnId, Got)> = Vec::new();
    for conn in servers {
        all.extend(bench.take(*conn).into_iter().filter(|got| got.name() == "AAR").map(|got| (*conn, got)));
    }
    assert_eq!(all.len(), 1);
    all.remove(0)
}

// ---- Releases ----

#[test]
fn a_release_sent_again_does_not_end_a_later_attempt_of_the_same_call() {
    let (mut bench, server, client, attempt) = second_attempt();
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    let mut at_server = Vec::new();
    for _ in 0..60 {
        bench.pass(100 * MS);
        bench.answer_watchdogs(client);
        at_server.extend(got(&mut bench, server));
    }
    assert_eq!(at_server, [], "the release of the first attempt ends the one session that there is");
    assert_eq!(bench.node.stats().standing, 1);
}

#[test]
fn a_release_owed_over_a_lost_connection_does_not_end_a_later_attempt_of_the_same_call() {
    let (mut bench, server, client, attempt) = second_attempt();
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    bench.input(Input::Closed(server));
    bench.pass(300 * MS);
    let server = bench.dialled("a.example", 1);
    assert_eq!(got(&mut bench, server), []);
    assert_eq!(bench.node.stats().standing, 1);
}

/// A call whose first attempt was given up, with the release unanswered, and whose second one is out at the
/// same server, which answers watchdogs.
fn second_attempt() -> (Bench, ConnId, ConnId, Got) {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    let id = bench.id();
    let request = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, id, id)
        .add_str(d::SESSION_ID, "s;1")
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_str(d::ORIGIN_HOST, "front.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_str(d::DESTINATION_REALM, "example")
        .add_u32(d::AUTH_REQUEST_TYPE, 1)
        .add_str(d::CALLED_STATION_ID, "35101234")
        .add_u32(d::SETUP_PATIENCE, 9_000);
    bench.bytes(client, &request.build());
    let mut all = Vec::new();
    for _ in 0..800 {
        bench.pass(10 * MS);
        bench.answer_watchdogs(client);
        all.extend(bench.answer_watchdogs(server));
        let attempts = all.iter().filter(|got: &&Got| got.name() == "AAR").count();
        if attempts == 2 {
            break;
        }
    }
    let names: Vec<_> = all.iter().map(Got::name).collect();
    assert_eq!(names, ["AAR", "STR", "AAR"]);
    let attempt = all.pop().expect("three messages");
    (bench, server, client, attempt)
}

// ---- Answers that can't be read ----

#[test]
fn an_answer_that_breaks_off_is_not_passed_on_and_its_session_is_released() {
    let whole = |bench: &mut Bench, server| -> (Vec<u8>, u32) {
        let attempt = bench.one(server, "AAR");
        let head = attempt.message().header;
        let answer = MessageBuilder::answer(&attempt.message(), code::SUCCESS)
            .add_str(d::ORIGIN_HOST, "a.example")
            .add_str(d::ORIGIN_REALM, "example")
            .add_str(d::ERROR_MESSAGE, "a description")
            .build();
        (answer, head.hop_by_hop)
    };
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let (mut answer, _) = whole(&mut bench, server);
    // The last AVP claims to be longer than what is left of the message.
    let last = answer.len() - 24;
    answer[last + 7] = 200;
    bench.bytes(server, &answer);
    assert_eq!(bench.names(client), [""; 0], "nothing that breaks off is passed on");
    assert_eq!(got(&mut bench, server)[0], ("STR", "s;1".to_owned()));
    assert_eq!(bench.node.stats().standing, 0);
}

#[test]
fn answers_that_change_places_are_not_passed_on() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    bench.call(client, "s;2");
    let attempts = bench.take(server);
    let hops: Vec<u32> = attempts.iter().map(|got| got.message().header.hop_by_hop).collect();
    for (attempt, hop) in attempts.iter().zip(hops.iter().rev()) {
        let mut answer = common::answer_of(attempt, code::SUCCESS);
        answer[12..16].copy_from_slice(&hop.to_be_bytes());
        bench.bytes(server, &answer);
    }
    assert_eq!(bench.names(client), [""; 0], "neither has an answer of its own");
    let mut released = got(&mut bench, server);
    released.sort();
    released.dedup();
    assert_eq!(released, ["s;1", "s;2"].map(|session| ("STR", session.to_owned())));
    assert_eq!(bench.node.stats().standing, 0);
}

// ---- The list ----

#[test]
fn a_call_that_comes_to_stand_at_a_server_taken_away_is_cut_when_the_connection_ends() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.input(Input::List(ListNews::Complete(vec![entry("b.example", Availability::Ready)])));
    assert_eq!(bench.names(server), ["DPR"]);
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    bench.input(Input::Closed(server));
    assert_eq!(bench.one(client, "ASR").session(), "s;1", "the server does not come back");
    assert_eq!(bench.node.stats().standing, 0);
}
