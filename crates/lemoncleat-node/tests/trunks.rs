//! Trunk groups of a node under a virtual clock, the far end played by hand.

mod common;

use common::{session_request, settings, str_of, Bench, Got, MS, SECOND};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, MessageBuilder};
use lemoncleat_node::circuits::audit::Audits;
use lemoncleat_node::circuits::{Order, Range, State, Timers};
use lemoncleat_node::{CircuitOrder, CircuitSettings, ConnId, Input, NodeSettings, Notice};

/// "node.example" comes after "a.example": the node controls the even circuits.
fn with_circuits(size: u32, order: Order) -> NodeSettings {
    let mut settings = settings();
    settings.timing.watchdog = 3_600 * SECOND;
    let audits = Some(Audits { round: 2 * SECOND, slice: 16, gap: 10_000 });
    settings.circuits = Some(CircuitSettings { size, order, timers: Timers::default(), audits });
    settings
}

/// A node with one server whose group is in service, and a client.
fn ready(size: u32, order: Order) -> (Bench, ConnId, ConnId) {
    let mut bench = Bench::new(with_circuits(size, order));
    let server = bench.server("a.example");
    let reset = bench.one(server, "CSR");
    assert_eq!(reset.message().number(d::CIRCUIT_OPERATION), Some(1), "a group begins with a reset");
    bench.answer(server, &reset, code::SUCCESS);
    let client = bench.client("front.example");
    (bench, server, client)
}

fn circuit(got: &Got) -> u32 {
    got.message().number(d::CIRCUIT_ID).expect("a Circuit-Id")
}

/// The server refuses a seizure for a reason of the circuit's.
fn refuse(bench: &mut Bench, server: ConnId, request: &Got, reason: u32) {
    let answer = MessageBuilder::answer(&request.message(), code::TOO_BUSY)
        .add_str(d::ORIGIN_HOST, "a.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::SETUP_REASON, reason)
        .build();
    bench.bytes(server, &answer);
}

/// The server seizes a circuit for a call of its own.
fn seize(bench: &mut Bench, server: ConnId, circuit: u32, session: &str) {
    let id = bench.id();
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
    bench.bytes(server, &request);
}

fn states(bench: &Bench) -> Vec<(u32, State)> {
    let circuits = bench.node.circuits("a.example").expect("a group");
    circuits.into_iter().map(|circuit| (circuit.circuit, circuit.state)).collect()
}

#[test]
fn an_attempt_seizes_a_circuit_and_its_release_frees_it() {
    let (mut bench, server, client) = ready(4, Order::Lowest);
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    assert_eq!(circuit(&attempt), 0);
    bench.answer(server, &attempt, code::SUCCESS);
    assert!(matches!(states(&bench)[..], [(0, State::Outgoing(_))]));
    bench.one(client, "AAA");
    bench.bytes(client, &str_of("front.example", "s;1", 9));
    let release = bench.one(server, "STR");
    assert_eq!((circuit(&release), release.session()), (0, "s;1".to_owned()));
    assert!(matches!(states(&bench)[..], [(0, State::Releasing(_))]), "not free before the far end says so");
    bench.answer(server, &release, code::SUCCESS);
    assert!(states(&bench).is_empty());
}

#[test]
fn without_a_free_circuit_the_module_hears_so_and_nothing_is_sent() {
    let (mut bench, server, client) = ready(1, Order::Lowest);
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    bench.take(client);
    bench.call(client, "s;2");
    bench.pass(3 * SECOND);
    assert!(bench.take(server).iter().all(|got| got.name() != "AAR"));
    assert_eq!(bench.take(client).iter().filter(|got| got.result() == code::TOO_BUSY).count(), 1);
}

#[test]
fn glare_on_a_circuit_of_the_node_is_refused_and_its_own_call_goes_on() {
    let (mut bench, server, client) = ready(4, Order::Lowest);
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    seize(&mut bench, server, 0, "far;1");
    let refused = bench.one(server, "AAA");
    assert_eq!(refused.message().number(d::SETUP_REASON), Some(d::REASON_GLARE));
    assert!(bench.take(client).is_empty(), "the far call is not passed on");
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
}

#[test]
fn glare_on_a_circuit_of_the_server_moves_the_call_within_its_attempt() {
    let (mut bench, server, client) = ready(4, Order::Highest);
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    assert_eq!(circuit(&attempt), 3, "odd: the server's");
    seize(&mut bench, server, 3, "far;1");
    let again = bench.one(server, "AAR");
    assert_eq!((circuit(&again), again.session()), (2, "s;1".to_owned()));
    // The far call takes the circuit and goes to its client.
    let offered = bench.one(client, "AAR");
    assert_eq!(offered.session(), "far;1");
    bench.answer(client, &offered, code::SUCCESS);
    assert_eq!(bench.one(server, "AAA").result(), code::SUCCESS);
    // The answer to the seizure that yielded changes nothing.
    refuse(&mut bench, server, &attempt, d::REASON_GLARE);
    bench.answer(server, &again, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    let stats = bench.node.stats();
    assert_eq!((stats.attempts, stats.yields, stats.incoming, stats.standing), (1, 1, 1, 1));
    assert!(matches!(states(&bench)[..], [(2, State::Outgoing(_)), (3, State::Incoming(_))]));
}

#[test]
fn glare_at_every_repeat_ends_after_a_bounded_number_with_one_answer() {
    let (mut bench, server, client) = ready(12, Order::Highest);
    bench.call(client, "s;1");
    let mut seizures = 0;
    let mut answers = 0;
    for _ in 0..300 {
        for got in bench.take(server) {
            if got.name() == "AAR" {
                seizures += 1;
                refuse(&mut bench, server, &got, d::REASON_GLARE);
            } else if got.name() == "CSR" {
                bench.answer(server, &got, code::SUCCESS);
            }
        }
        answers += bench.take(client).iter().filter(|got| got.name() == "AAA").count();
        bench.pass(10 * MS);
    }
    // Four attempts at the most, each repeated four times at the most.
    assert!((5..=20).contains(&seizures), "{seizures} seizures");
    assert_eq!(answers, 1);
    assert!(states(&bench).is_empty(), "no circuit is left");
}

#[test]
fn glare_on_all_circuits_but_one_ends_on_that_one() {
    let (mut bench, server, client) = ready(4, Order::Highest);
    bench.call(client, "s;1");
    let mut tried = Vec::new();
    for _ in 0..100 {
        for got in bench.take(server) {
            if got.name() != "AAR" {
                continue;
            }
            tried.push(circuit(&got));
            if circuit(&got) == 0 {
                bench.answer(server, &got, code::SUCCESS);
            } else {
                // The other end has it: it seizes the circuit and refuses ours.
                seize(&mut bench, server, circuit(&got), &format!("far;{}", circuit(&got)));
                refuse(&mut bench, server, &got, d::REASON_GLARE);
            }
        }
        bench.pass(10 * MS);
    }
    assert!(tried.len() <= 10, "{tried:?}");
    let answers: Vec<Got> = bench.take(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!((answers.len(), answers[0].result()), (1, code::SUCCESS), "{tried:?}");
}

#[test]
fn a_seizure_given_up_is_released_and_a_late_answer_changes_nothing() {
    let (mut bench, server, client) = ready(2, Order::Lowest);
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.bytes(client, &str_of("front.example", "s;1", 3));
    let release = bench.one(server, "STR");
    assert_eq!(circuit(&release), 0);
    bench.answer(server, &attempt, code::SUCCESS);
    bench.answer(server, &release, code::SUCCESS);
    assert!(states(&bench).is_empty());
    assert_eq!(bench.node.stats().late, 1);
    let names = bench.names(client);
    assert_eq!(names, ["AAA", "STA"], "one answer, and nothing for the late one");
}

#[test]
fn a_restart_of_the_far_end_resets_its_group_and_cuts_only_its_calls() {
    let (mut bench, server, client) = ready(4, Order::Lowest);
    let other = bench.server("b.example");
    let reset = bench.one(other, "CSR");
    bench.answer(other, &reset, code::SUCCESS);
    for number in 0..2 {
        bench.call(client, &format!("s;{number}"));
        for conn in [server, other] {
            for got in bench.take(conn) {
                bench.answer(conn, &got, code::SUCCESS);
            }
        }
    }
    let at = |bench: &Bench, host| bench.node.circuits(host).expect("a group").len();
    assert_eq!(at(&bench, "a.example") + at(&bench, "b.example"), 2);
    let (kept, cut) = (at(&bench, "b.example"), at(&bench, "a.example"));
    bench.take(client);
    bench.input(Input::Closed(server));
    bench.pass(300 * MS);
    let server = bench.dialled("a.example", 2);
    assert_eq!(bench.names(client).iter().filter(|name| **name == "ASR").count(), cut);
    let reset = bench.one(server, "CSR");
    assert_eq!(reset.message().number(d::CIRCUIT_COUNT), Some(4));
    assert_eq!(at(&bench, "b.example"), kept);
    bench.answer(server, &reset, code::SUCCESS);
    assert!(states(&bench).is_empty());
}

#[test]
fn a_drain_blocks_the_group_at_both_ends_and_its_end_unblocks_it() {
    let (mut bench, server, client) = ready(4, Order::Lowest);
    bench.list(&[("a.example", lemoncleat::Availability::Draining)]);
    let block = bench.one(server, "CSR");
    assert_eq!(block.message().number(d::CIRCUIT_OPERATION), Some(2));
    bench.answer(server, &block, code::SUCCESS);
    seize(&mut bench, server, 1, "far;1");
    assert_eq!(bench.one(server, "AAA").message().number(d::SETUP_REASON), Some(d::REASON_BLOCKED));
    bench.list(&[("a.example", lemoncleat::Availability::Ready)]);
    assert_eq!(bench.one(server, "CSR").message().number(d::CIRCUIT_OPERATION), Some(3));
    bench.call(client, "s;1");
    assert!(bench.names(server).contains(&"AAR"));
}

#[test]
fn an_operators_block_for_a_hardware_failure_cuts_and_one_for_maintenance_does_not() {
    let (mut bench, server, client) = ready(4, Order::Lowest);
    for number in 0..2 {
        bench.call(client, &format!("s;{number}"));
        let attempt = bench.one(server, "AAR");
        bench.answer(server, &attempt, code::SUCCESS);
        bench.take(client);
    }
    let order = |bench: &mut Bench, first, order| {
        let mut out = Vec::new();
        let done = bench.node.order(bench.now, "a.example", Range { first, count: 1 }, order, &mut out);
        bench.input(Input::Timeout);
        (done, out.len())
    };
    let (done, _) = order(&mut bench, 0, CircuitOrder::Block { hardware: false });
    assert_eq!((done, bench.node.stats().standing), (Ok(()), 2));
    let (done, _) = order(&mut bench, 1, CircuitOrder::Block { hardware: true });
    assert_eq!((done, bench.node.stats().standing, bench.node.stats().cut), (Ok(()), 1, 1));
    let (refused, _) = order(&mut bench, 9, CircuitOrder::Reset);
    assert!(refused.expect_err("no such circuit").contains("which has 4"));
}

#[test]
fn circuits_left_busy_by_a_lost_answer_are_found_by_two_looks_and_reset() {
    let (mut bench, server, client) = ready(2, Order::Lowest);
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    bench.take(client);
    // The far end has forgotten the call: every query is told that all is idle.
    let (mut looks, mut resets) = (0, 0);
    for _ in 0..100 {
        bench.pass(100 * MS);
        for got in bench.take(server) {
            match got.message().number(d::CIRCUIT_OPERATION) {
                Some(4) => {
                    looks += 1;
                    let answer = MessageBuilder::answer(&got.message(), code::SUCCESS)
                        .add_str(d::ORIGIN_HOST, "a.example")
                        .add_str(d::ORIGIN_REALM, "example")
                        .add(d::CIRCUIT_STATES, &[0, 0])
                        .build();
                    bench.bytes(server, &answer);
                }
                Some(1) => {
                    resets += 1;
                    assert_eq!(looks, 2, "not before the second look");
                    bench.answer(server, &got, code::SUCCESS);
                }
                _ => {}
            }
        }
    }
    assert_eq!(resets, 1);
    assert!(states(&bench).is_empty());
    assert_eq!(bench.names(client).iter().filter(|name| **name == "ASR").count(), 1);
    assert!(bench.notices.iter().any(|notice| matches!(notice, Notice::CircuitCorrected(_, 0, _))));
}

#[test]
fn ends_that_differ_in_size_or_control_say_so_at_the_start() {
    let mut bench = Bench::new(with_circuits(8, Order::Lowest));
    bench.list(&[("a.example", lemoncleat::Availability::Ready)]);
    let (peer, _) = bench.dials.remove(0);
    let conn = bench.conn();
    bench.input(Input::Dialled(peer, conn));
    let cer = bench.one(conn, "CER");
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
    bench.bytes(conn, &cea);
    let told = bench.notices.iter().filter(|notice| matches!(notice, Notice::CircuitsDiffer(..))).count();
    assert_eq!(told, 2, "{:?}", bench.notices);
}

#[test]
fn a_call_of_the_server_ends_from_either_side() {
    let (mut bench, server, client) = ready(4, Order::Lowest);
    for (session, from_client) in [("far;1", true), ("far;2", false)] {
        seize(&mut bench, server, 1, session);
        let offered = bench.one(client, "AAR");
        bench.answer(client, &offered, code::SUCCESS);
        assert_eq!(bench.one(server, "AAA").result(), code::SUCCESS);
        if from_client {
            bench.bytes(client, &str_of("front.example", session, 5));
            assert_eq!(bench.one(client, "STA").result(), code::SUCCESS);
            let release = bench.one(server, "STR");
            assert_eq!(release.session(), session);
            bench.answer(server, &release, code::SUCCESS);
        } else {
            let mut release = session_request(d::CMD_SESSION_TERMINATION, "a.example", None, session, 6);
            let more = MessageBuilder::new(0, 0, 0, 0, 0).add_u32(d::CIRCUIT_ID, 1).build();
            release.extend_from_slice(&more[20..]);
            let length = (release.len() as u32).to_be_bytes();
            release[1..4].copy_from_slice(&length[1..]);
            bench.bytes(server, &release);
            assert_eq!(bench.one(server, "STA").result(), code::SUCCESS);
            assert_eq!(bench.one(client, "ASR").session(), session);
        }
        assert!(states(&bench).is_empty());
    }
}

#[test]
fn a_call_of_the_server_that_ends_before_its_client_answers_has_its_answer_too() {
    let (mut bench, server, client) = ready(4, Order::Lowest);
    seize(&mut bench, server, 1, "far;1");
    let offered = bench.one(client, "AAR");
    let mut release = session_request(d::CMD_SESSION_TERMINATION, "a.example", None, "far;1", 6);
    let more = MessageBuilder::new(0, 0, 0, 0, 0).add_u32(d::CIRCUIT_ID, 1).build();
    release.extend_from_slice(&more[20..]);
    let length = (release.len() as u32).to_be_bytes();
    release[1..4].copy_from_slice(&length[1..]);
    bench.bytes(server, &release);
    let got = bench.take(server);
    assert_eq!(got.iter().map(Got::name).collect::<Vec<_>>(), ["AAA", "STA"]);
    assert_eq!(got[0].result(), code::UNABLE_TO_COMPLY);
    assert_eq!(bench.one(client, "ASR").session(), "far;1");
    // The client's answer comes too late and changes nothing.
    bench.answer(client, &offered, code::SUCCESS);
    assert!(bench.take(server).is_empty() && states(&bench).is_empty());
}

#[test]
fn a_success_on_a_circuit_after_the_deadline_frees_the_circuit_and_is_not_passed_on() {
    for told in [false, true] {
        let (mut bench, server, client) = ready(4, Order::Lowest);
        bench.call(client, "s;1");
        let attempt = bench.one(server, "AAR");
        // With and without a word of the gap: past the deadline either way.
        match told {
            true => bench.away(4 * SECOND),
            false => bench.now += 4 * SECOND,
        }
        bench.answer(server, &attempt, code::SUCCESS);
        bench.caught_up();
        assert!(bench.take(client).is_empty(), "nothing goes out for the call");
        let releases: Vec<Got> = bench.take(server).into_iter().filter(|got| got.name() == "STR").collect();
        assert!(!releases.is_empty() && releases.iter().all(|got| circuit(got) == 0), "{releases:?}");
        for release in &releases {
            bench.answer(server, release, code::SUCCESS);
        }
        assert!(states(&bench).is_empty(), "no circuit is lost: {:?}", states(&bench));
        assert_eq!((bench.node.stats().setting_up, bench.node.stats().standing), (0, 0));
    }
}

/// The server seizes a circuit for a call whose caller waits for so many milliseconds.
fn seize_with_patience(bench: &mut Bench, server: ConnId, circuit: u32, session: &str, ms: u32) {
    let id = bench.id();
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
    bench.bytes(server, &request);
}

#[test]
fn a_call_of_the_server_that_its_client_takes_too_late_is_over_at_both_ends() {
    let (mut bench, server, client) = ready(4, Order::Lowest);
    seize_with_patience(&mut bench, server, 1, "far;1", 2_000);
    let offered = bench.one(client, "AAR");
    bench.away(3 * SECOND);
    bench.answer(client, &offered, code::SUCCESS);
    bench.caught_up();
    let at_server: Vec<Got> = bench.take(server);
    assert!(at_server.iter().all(|got| got.name() != "AAA"), "no answer past its deadline: {at_server:?}");
    let at_client: Vec<Got> = bench.take(client);
    assert!(
        at_client.iter().any(|got| got.name() == "ASR"),
        "the client that took it is told: {at_client:?}"
    );
    // The far end gave the call up at its deadline, and releases the circuit.
    let release = session_request(d::CMD_SESSION_TERMINATION, "a.example", None, "far;1", 5_000);
    bench.bytes(server, &release);
    assert_eq!(bench.one(server, "STA").result(), code::SUCCESS);
    assert!(states(&bench).is_empty(), "{:?}", states(&bench));
}

#[test]
fn a_call_of_the_server_whose_client_is_silent_fails_before_its_deadline() {
    let (mut bench, server, client) = ready(4, Order::Lowest);
    seize_with_patience(&mut bench, server, 1, "far;1", 2_000);
    let offered = bench.one(client, "AAR");
    bench.pass(2 * SECOND - 8 * MS);
    let at_server: Vec<Got> = bench.take(server);
    let answers: Vec<u32> =
        at_server.iter().filter(|got| got.name() == "AAA").map(|got| got.result()).collect();
    assert_eq!(answers.len(), 1, "one answer in time: {at_server:?}");
    assert_ne!(answers[0], code::SUCCESS);
    // The client answers after all: nothing more goes to the server for it.
    bench.answer(client, &offered, code::SUCCESS);
    assert!(bench.take(server).iter().all(|got| got.name() != "AAA"));
}
