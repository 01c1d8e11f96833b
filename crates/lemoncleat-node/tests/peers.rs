//! Misbehaving connections, under a virtual clock.

mod common;

use common::{aar_builder, capabilities, entry, settings, Harness, MS, SECOND};
use lemoncleat::Availability;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, GroupBuilder, MessageBuilder};
use lemoncleat_node::{Input, ListNews, Notice};

#[test]
fn refuses_and_closes_an_unknown_client() {
    let mut harness = Harness::new(settings());
    let conn = harness.new_conn();
    harness.input(Input::Accepted(conn));
    let cer = harness.cer("stranger.example", 1);
    harness.bytes(conn, &cer);
    assert_eq!(harness.expect_one(conn, "CEA").result(), code::UNKNOWN_PEER);
    assert!(harness.closed.contains(&conn));
}

#[test]
fn refuses_and_closes_a_client_without_a_common_application() {
    let mut harness = Harness::new(settings());
    let conn = harness.new_conn();
    harness.input(Input::Accepted(conn));
    let cer = MessageBuilder::request(d::CMD_CAPABILITIES, 0, false, 1, 1)
        .add_str(d::ORIGIN_HOST, "front.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::VENDOR_ID, 0)
        .add_str(d::PRODUCT_NAME, "x")
        .add_u32(d::AUTH_APPLICATION_ID, 4)
        .build();
    harness.bytes(conn, &cer);
    assert_eq!(harness.expect_one(conn, "CEA").result(), code::NO_COMMON_APPLICATION);
    assert!(harness.closed.contains(&conn));
}

#[test]
fn closes_a_connection_that_stops_within_a_frame() {
    let mut harness = Harness::new(settings());
    let conn = harness.new_conn();
    harness.input(Input::Accepted(conn));
    let cer = harness.cer("front.example", 1);
    harness.bytes(conn, &cer[..cer.len() / 2]);
    harness.advance(3 * SECOND);
    assert!(harness.closed.contains(&conn));
    assert!(harness.notices.contains(&Notice::NoCapabilities(conn)));
    // On an open connection, the watchdog detects it.
    let client = harness.connect_client("front.example");
    harness.bytes(client, &cer[..10]);
    harness.advance(6 * SECOND);
    assert!(harness.closed.contains(&client));
}

#[test]
fn closes_only_the_connection_with_an_invalid_frame_length() {
    for head in [[1, 0xff, 0xff, 0xfc], [1, 0, 0, 3], [7, 0, 0, 20]] {
        let mut harness = Harness::new(settings());
        let server = harness.connect_server("a.example");
        let good = harness.connect_client("front.example");
        let bad = harness.connect_client("other.example");
        harness.bytes(bad, &head);
        assert!(harness.closed.contains(&bad));
        assert!(harness
            .notices
            .iter()
            .any(|notice| matches!(notice, Notice::MalformedStream(conn, _) if *conn == bad)));
        harness.call(good, "s;1");
        let attempt = harness.expect_one(server, "AAR");
        harness.answer(server, &attempt, code::SUCCESS);
        assert_eq!(harness.expect_one(good, "AAA").result(), code::SUCCESS);
    }
}

#[test]
fn refuses_overlong_avps_and_deeply_nested_groups() {
    let mut harness = Harness::new(settings());
    harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    let mut past = aar_builder("front.example", "s;1", 1, 1).build();
    past[26] = 0xff;
    harness.bytes(client, &past);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::INVALID_AVP_LENGTH);
    let mut data = Vec::new();
    for _ in 0..100 {
        data = GroupBuilder::new().add(d::PROXY_INFO, &data).build();
    }
    harness.bytes(client, &aar_builder("front.example", "s;2", 2, 2).add(d::FAILED_AVP, &data).build());
    assert_eq!(harness.expect_one(client, "AAA").result(), code::INVALID_AVP_VALUE);
    assert_eq!(harness.node.stats().calls, 0);
}

#[test]
fn does_not_use_a_server_with_another_origin_host() {
    let mut harness = Harness::new(settings());
    harness.list(&[("a.example", Availability::Ready)]);
    let (peer, _) = harness.dials.remove(0);
    let conn = harness.new_conn();
    harness.input(Input::Dialled(peer, conn));
    let cer = harness.expect_one(conn, "CER");
    let cea = capabilities(MessageBuilder::answer(&cer.message(), 2001), "b.example", 1);
    harness.bytes(conn, &cea);
    assert!(harness.closed.contains(&conn));
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    harness.advance(3 * SECOND);
    assert!(harness.take(conn).is_empty());
    assert_ne!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
}

#[test]
fn retries_failed_dials_with_increasing_waits() {
    let mut harness = Harness::new(settings());
    harness.list(&[("a.example", Availability::Ready)]);
    let mut waits = Vec::new();
    let mut last = harness.now;
    for _ in 0..9 {
        let (peer, _) = harness.dials.remove(0);
        harness.input(Input::DialFailed(peer));
        while harness.dials.is_empty() {
            harness.advance(5 * MS);
        }
        waits.push(harness.now - last);
        last = harness.now;
    }
    assert!(waits[0] <= 110 * MS && waits[8] >= 4 * SECOND, "{waits:?}");
}

#[test]
fn resolves_simultaneous_connections_by_election() {
    let mut harness = Harness::new(settings());
    harness.list(&[("a.example", Availability::Ready)]);
    // "node.example" sorts after "a.example": the node keeps the connection that the server made.
    let (peer, _) = harness.dials.remove(0);
    let own = harness.new_conn();
    harness.input(Input::Dialled(peer, own));
    harness.expect_one(own, "CER");
    let server_conn = harness.new_conn();
    harness.input(Input::Accepted(server_conn));
    let cer = harness.cer("a.example", 1);
    harness.bytes(server_conn, &cer);
    assert_eq!(harness.expect_one(server_conn, "CEA").result(), code::SUCCESS);
    assert!(harness.closed.contains(&own));
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    harness.expect_one(server_conn, "AAR");
}

#[test]
fn ignores_a_list_entry_that_names_a_client() {
    let mut harness = Harness::new(settings());
    harness.input(Input::List(ListNews::Complete(vec![entry("front.example", Availability::Ready)])));
    assert!(harness.dials.is_empty());
    assert!(harness.notices.iter().any(|notice| matches!(notice, Notice::PeerRefused(..))));
}

#[test]
fn stays_in_service_after_arbitrary_bytes() {
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    let mut rng = SmallRng::seed_from_u64(9);
    let mut harness = Harness::new(settings());
    for round in 0..400u32 {
        let conn = harness.new_conn();
        harness.input(Input::Accepted(conn));
        if round % 2 == 0 {
            let cer = harness.cer("other.example", 1);
            harness.bytes(conn, &cer);
        }
        for _ in 0..4 {
            let mut bytes = aar_builder("other.example", &format!("x;{round}"), round, round)
                .add_str(d::CALLED_STATION_ID, "35101")
                .build();
            for _ in 0..rng.random_range(1..12) {
                let at = rng.random_range(0..bytes.len());
                bytes[at] = rng.random();
            }
            harness.bytes(conn, &bytes);
        }
        harness.advance(MS);
    }
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempts = harness.take(server);
    let attempt = attempts.iter().find(|got| got.session() == "s;1").expect("the call is sent").clone();
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
}

#[test]
fn redials_a_server_listed_again_during_its_disconnect() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    // An outdated entry reports the server gone, and the next one reports it back before the disconnect is
    // answered.
    harness.list(&[("a.example", Availability::Gone)]);
    let dpr = harness.expect_one(server, "DPR");
    harness.list(&[("a.example", Availability::Ready)]);
    harness.answer(server, &dpr, 2001);
    harness.advance(2 * SECOND);
    let reconnected = harness.accept_dial("a.example", 1);
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    harness.advance(100 * MS);
    assert!(harness.names(reconnected).contains(&"AAR"), "it gets calls again");
}
