//! Trunk groups of a node under a virtual clock; the test simulates the far end.

mod common;

use common::{session_request, settings, str_request, Frame, Harness, MS, SECOND};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, MessageBuilder};
use lemoncleat_node::circuits::audit::Audits;
use lemoncleat_node::circuits::{Order, Range, State, Timers};
use lemoncleat_node::{CircuitOrder, CircuitSettings, ConnId, Input, NodeSettings, Notice};

/// "node.example" sorts after "a.example", so the node controls the even circuits.
fn with_circuits(size: u32, order: Order) -> NodeSettings {
    let mut settings = settings();
    settings.timing.watchdog = 3_600 * SECOND;
    let audits = Some(Audits { round: 2 * SECOND, slice: 16, gap: 10_000 });
    settings.circuits = Some(CircuitSettings { size, order, timers: Timers::default(), audits });
    settings
}

/// Returns a node with one server whose trunk group is in service, and a client.
fn ready(size: u32, order: Order) -> (Harness, ConnId, ConnId) {
    let mut harness = Harness::new(with_circuits(size, order));
    let server = harness.connect_server("a.example");
    let reset = harness.expect_one(server, "CSR");
    assert_eq!(reset.message().number(d::CIRCUIT_OPERATION), Some(1), "a group begins with a reset");
    harness.answer(server, &reset, code::SUCCESS);
    let client = harness.connect_client("front.example");
    (harness, server, client)
}

fn circuit(got: &Frame) -> u32 {
    got.message().number(d::CIRCUIT_ID).expect("a Circuit-Id")
}

/// Refuses a seizure as the server, for a reason of the circuit.
fn refuse(harness: &mut Harness, server: ConnId, request: &Frame, reason: u32) {
    let answer = MessageBuilder::answer(&request.message(), code::TOO_BUSY)
        .add_str(d::ORIGIN_HOST, "a.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::SETUP_REASON, reason)
        .build();
    harness.bytes(server, &answer);
}

/// Seizes a circuit as the server, for a call of its own.
fn seize(harness: &mut Harness, server: ConnId, circuit: u32, session: &str) {
    let id = harness.new_id();
    let request = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, id, id)
        .add_str(d::SESSION_ID, session)
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_str(d::ORIGIN_HOST, "a.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_str(d::DESTINATION_REALM, "example")
        .add_str(d::DESTINATION_HOST, "front.example")
        .add_u32(d::AUTH_REQUEST_TYPE, 1)
        .add_u32(d::CIRCUIT_ID, circuit)
        .build();
    harness.bytes(server, &request);
}

fn states(harness: &Harness) -> Vec<(u32, State)> {
    let circuits = harness.node.circuits("a.example").expect("a group");
    circuits.into_iter().map(|circuit| (circuit.circuit, circuit.state)).collect()
}

#[test]
fn seizes_a_circuit_for_an_attempt_and_frees_it_on_release() {
    let (mut harness, server, client) = ready(4, Order::Lowest);
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    assert_eq!(circuit(&attempt), 0);
    harness.answer(server, &attempt, code::SUCCESS);
    assert!(matches!(states(&harness)[..], [(0, State::Outgoing(_))]));
    harness.expect_one(client, "AAA");
    harness.bytes(client, &str_request("front.example", "s;1", 9));
    let release = harness.expect_one(server, "STR");
    assert_eq!((circuit(&release), release.session()), (0, "s;1".to_owned()));
    assert!(
        matches!(states(&harness)[..], [(0, State::Releasing(_))]),
        "not free before the far end says so"
    );
    harness.answer(server, &release, code::SUCCESS);
    assert!(states(&harness).is_empty());
}

#[test]
fn sends_nothing_and_reports_when_no_circuit_is_free() {
    let (mut harness, server, client) = ready(1, Order::Lowest);
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    harness.take(client);
    harness.call(client, "s;2");
    harness.advance(3 * SECOND);
    assert!(harness.take(server).iter().all(|got| got.name() != "AAR"));
    assert_eq!(harness.take(client).iter().filter(|got| got.result() == code::TOO_BUSY).count(), 1);
}

#[test]
fn refuses_glare_on_a_circuit_controlled_by_the_node() {
    let (mut harness, server, client) = ready(4, Order::Lowest);
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    seize(&mut harness, server, 0, "far;1");
    let refused = harness.expect_one(server, "AAA");
    assert_eq!(refused.message().number(d::SETUP_REASON), Some(d::REASON_GLARE));
    assert!(harness.take(client).is_empty(), "the far call is not passed on");
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
}

#[test]
fn repeats_the_seizure_after_glare_on_a_circuit_of_the_server() {
    let (mut harness, server, client) = ready(4, Order::Highest);
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    assert_eq!(circuit(&attempt), 3, "odd: the server's");
    seize(&mut harness, server, 3, "far;1");
    let retry = harness.expect_one(server, "AAR");
    assert_eq!((circuit(&retry), retry.session()), (2, "s;1".to_owned()));
    // The server's call takes the circuit and is offered to a client.
    let offered = harness.expect_one(client, "AAR");
    assert_eq!(offered.session(), "far;1");
    harness.answer(client, &offered, code::SUCCESS);
    assert_eq!(harness.expect_one(server, "AAA").result(), code::SUCCESS);
    // The answer to the yielded seizure changes nothing.
    refuse(&mut harness, server, &attempt, d::REASON_GLARE);
    harness.answer(server, &retry, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    let stats = harness.node.stats();
    assert_eq!((stats.attempts, stats.yields, stats.incoming, stats.standing), (1, 1, 1, 1));
    assert!(matches!(states(&harness)[..], [(2, State::Outgoing(_)), (3, State::Incoming(_))]));
}

#[test]
fn bounds_repeats_when_every_seizure_meets_glare() {
    let (mut harness, server, client) = ready(12, Order::Highest);
    harness.call(client, "s;1");
    let mut seizures = 0;
    let mut answers = 0;
    for _ in 0..300 {
        for got in harness.take(server) {
            if got.name() == "AAR" {
                seizures += 1;
                refuse(&mut harness, server, &got, d::REASON_GLARE);
            } else if got.name() == "CSR" {
                harness.answer(server, &got, code::SUCCESS);
            }
        }
        answers += harness.take(client).iter().filter(|got| got.name() == "AAA").count();
        harness.advance(10 * MS);
    }
    // At most four attempts, each with at most four repeats.
    assert!((5..=20).contains(&seizures), "{seizures} seizures");
    assert_eq!(answers, 1);
    assert!(states(&harness).is_empty(), "no circuit is left");
}

#[test]
fn finds_the_only_circuit_without_glare() {
    let (mut harness, server, client) = ready(4, Order::Highest);
    harness.call(client, "s;1");
    let mut tried = Vec::new();
    for _ in 0..100 {
        for got in harness.take(server) {
            if got.name() != "AAR" {
                continue;
            }
            tried.push(circuit(&got));
            if circuit(&got) == 0 {
                harness.answer(server, &got, code::SUCCESS);
            } else {
                // The other end holds it: it seizes the circuit and refuses the node's seizure.
                seize(&mut harness, server, circuit(&got), &format!("far;{}", circuit(&got)));
                refuse(&mut harness, server, &got, d::REASON_GLARE);
            }
        }
        harness.advance(10 * MS);
    }
    assert!(tried.len() <= 10, "{tried:?}");
    let answers: Vec<Frame> = harness.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!((answers.len(), answers[0].result()), (1, code::SUCCESS), "{tried:?}");
}

#[test]
fn releases_an_abandoned_seizure_and_ignores_its_late_answer() {
    let (mut harness, server, client) = ready(2, Order::Lowest);
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.bytes(client, &str_request("front.example", "s;1", 3));
    let release = harness.expect_one(server, "STR");
    assert_eq!(circuit(&release), 0);
    harness.answer(server, &attempt, code::SUCCESS);
    harness.answer(server, &release, code::SUCCESS);
    assert!(states(&harness).is_empty());
    assert_eq!(harness.node.stats().late, 1);
    let names = harness.names(client);
    assert_eq!(names, ["AAA", "STA"], "one answer, and nothing for the late one");
}

#[test]
fn resets_the_group_and_cuts_its_calls_when_the_far_end_restarts() {
    let (mut harness, server, client) = ready(4, Order::Lowest);
    let other = harness.connect_server("b.example");
    let reset = harness.expect_one(other, "CSR");
    harness.answer(other, &reset, code::SUCCESS);
    for number in 0..2 {
        harness.call(client, &format!("s;{number}"));
        for conn in [server, other] {
            for got in harness.take(conn) {
                harness.answer(conn, &got, code::SUCCESS);
            }
        }
    }
    let at = |harness: &Harness, host| harness.node.circuits(host).expect("a group").len();
    assert_eq!(at(&harness, "a.example") + at(&harness, "b.example"), 2);
    let (kept, cut) = (at(&harness, "b.example"), at(&harness, "a.example"));
    harness.take(client);
    harness.input(Input::Closed(server));
    harness.advance(300 * MS);
    let server = harness.accept_dial("a.example", 2);
    assert_eq!(harness.names(client).iter().filter(|name| **name == "ASR").count(), cut);
    let reset = harness.expect_one(server, "CSR");
    assert_eq!(reset.message().number(d::CIRCUIT_COUNT), Some(4));
    assert_eq!(at(&harness, "b.example"), kept);
    harness.answer(server, &reset, code::SUCCESS);
    assert!(states(&harness).is_empty());
}

#[test]
fn blocks_the_group_during_a_drain() {
    let (mut harness, server, client) = ready(4, Order::Lowest);
    harness.list(&[("a.example", lemoncleat::Availability::Draining)]);
    let block = harness.expect_one(server, "CSR");
    assert_eq!(block.message().number(d::CIRCUIT_OPERATION), Some(2));
    harness.answer(server, &block, code::SUCCESS);
    seize(&mut harness, server, 1, "far;1");
    assert_eq!(harness.expect_one(server, "AAA").message().number(d::SETUP_REASON), Some(d::REASON_BLOCKED));
    harness.list(&[("a.example", lemoncleat::Availability::Ready)]);
    assert_eq!(harness.expect_one(server, "CSR").message().number(d::CIRCUIT_OPERATION), Some(3));
    harness.call(client, "s;1");
    assert!(harness.names(server).contains(&"AAR"));
}

#[test]
fn cuts_calls_for_a_hardware_block_but_not_for_maintenance() {
    let (mut harness, server, client) = ready(4, Order::Lowest);
    for number in 0..2 {
        harness.call(client, &format!("s;{number}"));
        let attempt = harness.expect_one(server, "AAR");
        harness.answer(server, &attempt, code::SUCCESS);
        harness.take(client);
    }
    let order = |harness: &mut Harness, first, order| {
        let mut out = Vec::new();
        let done = harness.node.order(harness.now, "a.example", Range { first, count: 1 }, order, &mut out);
        harness.input(Input::Timeout);
        (done, out.len())
    };
    let (done, _) = order(&mut harness, 0, CircuitOrder::Block { hardware: false });
    assert_eq!((done, harness.node.stats().standing), (Ok(()), 2));
    let (done, _) = order(&mut harness, 1, CircuitOrder::Block { hardware: true });
    assert_eq!((done, harness.node.stats().standing, harness.node.stats().cut), (Ok(()), 1, 1));
    let (refused, _) = order(&mut harness, 9, CircuitOrder::Reset);
    assert!(refused.expect_err("no such circuit").contains("which has 4"));
}

#[test]
fn resets_a_busy_circuit_after_two_audits_find_it_idle_at_the_far_end() {
    let (mut harness, server, client) = ready(2, Order::Lowest);
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    harness.take(client);
    // The far end has lost the call: it answers every query with all circuits idle.
    let (mut looks, mut resets) = (0, 0);
    for _ in 0..100 {
        harness.advance(100 * MS);
        for got in harness.take(server) {
            match got.message().number(d::CIRCUIT_OPERATION) {
                Some(4) => {
                    looks += 1;
                    let answer = MessageBuilder::answer(&got.message(), code::SUCCESS)
                        .add_str(d::ORIGIN_HOST, "a.example")
                        .add_str(d::ORIGIN_REALM, "example")
                        .add(d::CIRCUIT_STATES, &[0, 0])
                        .build();
                    harness.bytes(server, &answer);
                }
                Some(1) => {
                    resets += 1;
                    assert_eq!(looks, 2, "not before the second look");
                    harness.answer(server, &got, code::SUCCESS);
                }
                _ => {}
            }
        }
    }
    assert_eq!(resets, 1);
    assert!(states(&harness).is_empty());
    assert_eq!(harness.names(client).iter().filter(|name| **name == "ASR").count(), 1);
    assert!(harness.notices.iter().any(|notice| matches!(notice, Notice::CircuitCorrected(_, 0, _))));
}

#[test]
fn reports_differing_size_or_control_at_connection() {
    let mut harness = Harness::new(with_circuits(8, Order::Lowest));
    harness.list(&[("a.example", lemoncleat::Availability::Ready)]);
    let (peer, _) = harness.dials.remove(0);
    let conn = harness.new_conn();
    harness.input(Input::Dialled(peer, conn));
    let cer = harness.expect_one(conn, "CER");
    assert_eq!(cer.message().number(d::CIRCUIT_COUNT), Some(8));
    assert_eq!(cer.message().number(d::CIRCUIT_CONTROL), Some(0));
    let cea = MessageBuilder::answer(&cer.message(), 2001)
        .add_str(d::ORIGIN_HOST, "a.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::VENDOR_ID, 0)
        .add_str(d::PRODUCT_NAME, "by hand")
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_u32(d::CIRCUIT_COUNT, 6)
        .add_u32(d::CIRCUIT_CONTROL, 0)
        .build();
    harness.bytes(conn, &cea);
    let reported =
        harness.notices.iter().filter(|notice| matches!(notice, Notice::CircuitsDiffer(..))).count();
    assert_eq!(reported, 2, "{:?}", harness.notices);
}

#[test]
fn ends_a_servers_call_from_either_side() {
    let (mut harness, server, client) = ready(4, Order::Lowest);
    for (session, from_client) in [("far;1", true), ("far;2", false)] {
        seize(&mut harness, server, 1, session);
        let offered = harness.expect_one(client, "AAR");
        harness.answer(client, &offered, code::SUCCESS);
        assert_eq!(harness.expect_one(server, "AAA").result(), code::SUCCESS);
        if from_client {
            harness.bytes(client, &str_request("front.example", session, 5));
            assert_eq!(harness.expect_one(client, "STA").result(), code::SUCCESS);
            let release = harness.expect_one(server, "STR");
            assert_eq!(release.session(), session);
            harness.answer(server, &release, code::SUCCESS);
        } else {
            let mut release = session_request(d::CMD_SESSION_TERMINATION, "a.example", None, session, 6);
            let more = MessageBuilder::new(0, 0, 0, 0, 0).add_u32(d::CIRCUIT_ID, 1).build();
            release.extend_from_slice(&more[20..]);
            let length = (release.len() as u32).to_be_bytes();
            release[1..4].copy_from_slice(&length[1..]);
            harness.bytes(server, &release);
            assert_eq!(harness.expect_one(server, "STA").result(), code::SUCCESS);
            assert_eq!(harness.expect_one(client, "ASR").session(), session);
        }
        assert!(states(&harness).is_empty());
    }
}

#[test]
fn answers_a_servers_call_released_before_the_client_answers() {
    let (mut harness, server, client) = ready(4, Order::Lowest);
    seize(&mut harness, server, 1, "far;1");
    let offered = harness.expect_one(client, "AAR");
    let mut release = session_request(d::CMD_SESSION_TERMINATION, "a.example", None, "far;1", 6);
    let more = MessageBuilder::new(0, 0, 0, 0, 0).add_u32(d::CIRCUIT_ID, 1).build();
    release.extend_from_slice(&more[20..]);
    let length = (release.len() as u32).to_be_bytes();
    release[1..4].copy_from_slice(&length[1..]);
    harness.bytes(server, &release);
    let got = harness.take(server);
    assert_eq!(got.iter().map(Frame::name).collect::<Vec<_>>(), ["AAA", "STA"]);
    assert_eq!(got[0].result(), code::UNABLE_TO_COMPLY);
    assert_eq!(harness.expect_one(client, "ASR").session(), "far;1");
    // The client's answer arrives too late and changes nothing.
    harness.answer(client, &offered, code::SUCCESS);
    assert!(harness.take(server).is_empty() && states(&harness).is_empty());
}

#[test]
fn frees_the_circuit_when_a_success_arrives_after_the_deadline() {
    for gap_reported in [false, true] {
        let (mut harness, server, client) = ready(4, Order::Lowest);
        harness.call(client, "s;1");
        let attempt = harness.expect_one(server, "AAR");
        // With and without a reported gap; the deadline has passed in both cases.
        match gap_reported {
            true => harness.begin_gap(4 * SECOND),
            false => harness.now += 4 * SECOND,
        }
        harness.answer(server, &attempt, code::SUCCESS);
        harness.end_gap();
        assert!(harness.take(client).is_empty(), "nothing is sent for the call");
        let releases: Vec<Frame> =
            harness.take(server).into_iter().filter(|got| got.name() == "STR").collect();
        assert!(!releases.is_empty() && releases.iter().all(|got| circuit(got) == 0), "{releases:?}");
        for release in &releases {
            harness.answer(server, release, code::SUCCESS);
        }
        assert!(states(&harness).is_empty(), "no circuit is lost: {:?}", states(&harness));
        assert_eq!((harness.node.stats().setting_up, harness.node.stats().standing), (0, 0));
    }
}

/// Seizes a circuit as the server, for a call whose caller waits this many milliseconds.
fn seize_with_patience(harness: &mut Harness, server: ConnId, circuit: u32, session: &str, ms: u32) {
    let id = harness.new_id();
    let request = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, id, id)
        .add_str(d::SESSION_ID, session)
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_str(d::ORIGIN_HOST, "a.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_str(d::DESTINATION_REALM, "example")
        .add_str(d::DESTINATION_HOST, "front.example")
        .add_u32(d::AUTH_REQUEST_TYPE, 1)
        .add_u32(d::SETUP_PATIENCE, ms)
        .add_u32(d::CIRCUIT_ID, circuit)
        .build();
    harness.bytes(server, &request);
}

#[test]
fn ends_a_servers_call_that_the_client_accepts_too_late() {
    let (mut harness, server, client) = ready(4, Order::Lowest);
    seize_with_patience(&mut harness, server, 1, "far;1", 2_000);
    let offered = harness.expect_one(client, "AAR");
    harness.begin_gap(3 * SECOND);
    harness.answer(client, &offered, code::SUCCESS);
    harness.end_gap();
    let at_server: Vec<Frame> = harness.take(server);
    assert!(at_server.iter().all(|got| got.name() != "AAA"), "no answer past its deadline: {at_server:?}");
    let at_client: Vec<Frame> = harness.take(client);
    assert!(
        at_client.iter().any(|got| got.name() == "ASR"),
        "the client that accepted it is notified: {at_client:?}"
    );
    // The far end gives the call up at its deadline and releases the circuit.
    let release = session_request(d::CMD_SESSION_TERMINATION, "a.example", None, "far;1", 5_000);
    harness.bytes(server, &release);
    assert_eq!(harness.expect_one(server, "STA").result(), code::SUCCESS);
    assert!(states(&harness).is_empty(), "{:?}", states(&harness));
}

#[test]
fn fails_a_servers_call_in_time_when_the_client_is_silent() {
    let (mut harness, server, client) = ready(4, Order::Lowest);
    seize_with_patience(&mut harness, server, 1, "far;1", 2_000);
    let offered = harness.expect_one(client, "AAR");
    harness.advance(2 * SECOND - 8 * MS);
    let at_server: Vec<Frame> = harness.take(server);
    let answers: Vec<u32> =
        at_server.iter().filter(|got| got.name() == "AAA").map(|got| got.result()).collect();
    assert_eq!(answers.len(), 1, "one answer in time: {at_server:?}");
    assert_ne!(answers[0], code::SUCCESS);
    // The client answers late: nothing more is sent to the server.
    harness.answer(client, &offered, code::SUCCESS);
    assert!(harness.take(server).iter().all(|got| got.name() != "AAA"));
}
