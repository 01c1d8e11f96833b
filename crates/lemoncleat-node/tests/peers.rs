//! Connections that do not behave, under a virtual clock.

mod common;

use common::{aar_builder, capabilities, entry, settings, Bench, MS, SECOND};
use lemoncleat::Availability;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, GroupBuilder, MessageBuilder};
use lemoncleat_node::{Input, ListNews, Notice};

#[test]
fn an_unknown_client_is_told_so_and_closed() {
    let mut bench = Bench::new(settings());
    let conn = bench.conn();
    bench.input(Input::Accepted(conn));
    let cer = bench.cer("stranger.example", 1);
    bench.bytes(conn, &cer);
    assert_eq!(bench.one(conn, "CEA").result(), code::UNKNOWN_PEER);
    assert!(bench.closed.contains(&conn));
}

#[test]
fn a_client_without_a_common_application_is_told_so_and_closed() {
    let mut bench = Bench::new(settings());
    let conn = bench.conn();
    bench.input(Input::Accepted(conn));
    let cer = MessageBuilder::request(d::CMD_CAPABILITIES, 0, false, 1, 1)
        .add_str(d::ORIGIN_HOST, "front.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::VENDOR_ID, 0)
        .add_str(d::PRODUCT_NAME, "x")
        .add_u32(d::AUTH_APPLICATION_ID, 4)
        .build();
    bench.bytes(conn, &cer);
    assert_eq!(bench.one(conn, "CEA").result(), code::NO_COMMON_APPLICATION);
    assert!(bench.closed.contains(&conn));
}

#[test]
fn half_a_frame_and_then_silence_is_closed_in_time() {
    let mut bench = Bench::new(settings());
    let conn = bench.conn();
    bench.input(Input::Accepted(conn));
    let cer = bench.cer("front.example", 1);
    bench.bytes(conn, &cer[..cer.len() / 2]);
    bench.pass(3 * SECOND);
    assert!(bench.closed.contains(&conn));
    assert!(bench.notices.contains(&Notice::NoCapabilities(conn)));
    // On a connection that is open the watchdog finds it.
    let client = bench.client("front.example");
    bench.bytes(client, &cer[..10]);
    bench.pass(6 * SECOND);
    assert!(bench.closed.contains(&client));
}

#[test]
fn impossible_frame_lengths_close_the_one_connection_and_harm_no_other() {
    for head in [[1, 0xff, 0xff, 0xfc], [1, 0, 0, 3], [7, 0, 0, 20]] {
        let mut bench = Bench::new(settings());
        let server = bench.server("a.example");
        let good = bench.client("front.example");
        let bad = bench.client("other.example");
        bench.bytes(bad, &head);
        assert!(bench.closed.contains(&bad));
        assert!(bench
            .notices
            .iter()
            .any(|notice| matches!(notice, Notice::MalformedStream(conn, _) if *conn == bad)));
        bench.call(good, "s;1");
        let attempt = bench.one(server, "AAR");
        bench.answer(server, &attempt, code::SUCCESS);
        assert_eq!(bench.one(good, "AAA").result(), code::SUCCESS);
    }
}

#[test]
fn avps_past_the_end_and_groups_nested_a_hundred_deep_are_refused() {
    let mut bench = Bench::new(settings());
    bench.server("a.example");
    let client = bench.client("front.example");
    let mut past = aar_builder("front.example", "s;1", 1, 1).build();
    past[26] = 0xff;
    bench.bytes(client, &past);
    assert_eq!(bench.one(client, "AAA").result(), code::INVALID_AVP_LENGTH);
    let mut data = Vec::new();
    for _ in 0..100 {
        data = GroupBuilder::new().add(d::PROXY_INFO, &data).build();
    }
    bench.bytes(client, &aar_builder("front.example", "s;2", 2, 2).add(d::FAILED_AVP, &data).build());
    assert_eq!(bench.one(client, "AAA").result(), code::INVALID_AVP_VALUE);
    assert_eq!(bench.node.stats().calls, 0);
}

#[test]
fn a_server_with_another_name_is_not_used() {
    let mut bench = Bench::new(settings());
    bench.list(&[("a.example", Availability::Ready)]);
    let (peer, _) = bench.dials.remove(0);
    let conn = bench.conn();
    bench.input(Input::Dialled(peer, conn));
    let cer = bench.one(conn, "CER");
    let cea = capabilities(MessageBuilder::answer(&cer.message(), 2001), "b.example", 1);
    bench.bytes(conn, &cea);
    assert!(bench.closed.contains(&conn));
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    bench.pass(3 * SECOND);
    assert!(bench.take(conn).is_empty());
    assert_ne!(bench.one(client, "AAA").result(), code::SUCCESS);
}

#[test]
fn a_dial_that_fails_is_tried_again_with_growing_waits() {
    let mut bench = Bench::new(settings());
    bench.list(&[("a.example", Availability::Ready)]);
    let mut waits = Vec::new();
    let mut last = bench.now;
    for _ in 0..9 {
        let (peer, _) = bench.dials.remove(0);
        bench.input(Input::DialFailed(peer));
        while bench.dials.is_empty() {
            bench.pass(5 * MS);
        }
        waits.push(bench.now - last);
        last = bench.now;
    }
    assert!(waits[0] <= 110 * MS && waits[8] >= 4 * SECOND, "{waits:?}");
}

#[test]
fn a_server_that_dials_the_node_is_met_by_election() {
    let mut bench = Bench::new(settings());
    bench.list(&[("a.example", Availability::Ready)]);
    // "node.example" comes after "a.example": the node keeps the connection that the server made.
    let (peer, _) = bench.dials.remove(0);
    let own = bench.conn();
    bench.input(Input::Dialled(peer, own));
    bench.one(own, "CER");
    let theirs = bench.conn();
    bench.input(Input::Accepted(theirs));
    let cer = bench.cer("a.example", 1);
    bench.bytes(theirs, &cer);
    assert_eq!(bench.one(theirs, "CEA").result(), code::SUCCESS);
    assert!(bench.closed.contains(&own));
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    bench.one(theirs, "AAR");
}

#[test]
fn a_list_that_names_a_client_as_a_server_is_not_followed_there() {
    let mut bench = Bench::new(settings());
    bench.input(Input::List(ListNews::Complete(vec![entry("front.example", Availability::Ready)])));
    assert!(bench.dials.is_empty());
    assert!(bench.notices.iter().any(|notice| matches!(notice, Notice::PeerRefused(..))));
}

#[test]
fn any_bytes_on_any_connection_leave_the_node_in_service() {
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    let mut rng = SmallRng::seed_from_u64(9);
    let mut bench = Bench::new(settings());
    for round in 0..400u32 {
        let conn = bench.conn();
        bench.input(Input::Accepted(conn));
        if round % 2 == 0 {
            let cer = bench.cer("other.example", 1);
            bench.bytes(conn, &cer);
        }
        for _ in 0..4 {
            let mut bytes = aar_builder("other.example", &format!("x;{round}"), round, round)
                .add_str(d::CALLED_STATION_ID, "35101")
                .build();
            for _ in 0..rng.random_range(1..12) {
                let at = rng.random_range(0..bytes.len());
                bytes[at] = rng.random();
            }
            bench.bytes(conn, &bytes);
        }
        bench.pass(MS);
    }
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempts = bench.take(server);
    let attempt = attempts.iter().find(|got| got.session() == "s;1").expect("the call is sent").clone();
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
}

#[test]
fn a_server_that_is_listed_again_while_its_connection_is_being_ended_is_dialled_anew() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    // A late line says that it is gone; the next, that it is back, before the end of the connection is agreed.
    bench.list(&[("a.example", Availability::Gone)]);
    let dpr = bench.one(server, "DPR");
    bench.list(&[("a.example", Availability::Ready)]);
    bench.answer(server, &dpr, 2001);
    bench.pass(2 * SECOND);
    let again = bench.dialled("a.example", 1);
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    bench.pass(100 * MS);
    assert!(bench.names(again).contains(&"AAR"), "it gets calls again");
}
