//! What a node does after its event loop had no turn for some time.

mod common;

use std::net::SocketAddr;

use common::*;
use lemoncleat_access::{ConnId, Micros};
use lemoncleat_sip::Method;

const IDS: [&str; 2] = ["9b1f03aa5c7e2d41", "00000000000000b7"];
const OPEN_ID: &str = "00000000000000c8";
const LEGS: &str = "dest:0;width:1;via:-1";
const STALL_US: Micros = 1_800 * MS;
/// Latest time after a stall at which set-ups are offered to the module, if the journal service tells nothing.
const CATCH_UP_LIMIT_US: Micros = 50 * MS;
/// Time within which the module checks its queued calls again after a stall.
const QUEUE_CHECK_US: Micros = 20 * MS;

/// A node that stood still, before it reads what arrived meanwhile. A call may be open since before the stall.
fn stalled_node(call_is_open: bool) -> (Harness, ConnId) {
    let mut harness = Harness::new();
    harness.report_free_lines();
    harness.advance(SECOND);
    let caller = harness.connect_caller();
    if call_is_open {
        harness.bytes(caller, &invite_for(OPEN_ID, "voice", LEGS, "5000"));
        let (to, ..) = harness.single_invite();
        assert_eq!(to, server_a());
    }
    harness.now += STALL_US;
    (harness, caller)
}

fn read_set_ups(harness: &mut Harness, caller: ConnId) {
    for id in IDS {
        harness.bytes(caller, &invite_for(id, "voice", LEGS, "3000"));
        // Each input is processed at a time of its own.
        harness.now += MS;
    }
}

fn read_drain_of_a(harness: &mut Harness) {
    let conn = harness.conns_to(journal())[0];
    let draining = list_endpoint("s-a", "127.0.1.1:5070", 0, "draining", 0);
    harness.bytes(conn, list_event(2, false, &[draining]).as_bytes());
}

fn addresses_of_invites(harness: &mut Harness) -> Vec<SocketAddr> {
    harness.invites().into_iter().map(|(to, ..)| to).collect()
}

/// Guards against set-ups to a server that was reported as draining while the node stood still: the news waited
/// behind them, and without an open call the module did not know of the stall.
#[test]
fn sends_no_set_up_to_server_that_drained_during_stall() {
    for call_is_open in [false, true] {
        let (mut harness, caller) = stalled_node(call_is_open);
        read_set_ups(&mut harness, caller);
        assert!(addresses_of_invites(&mut harness).is_empty(), "the news may wait behind them");
        read_drain_of_a(&mut harness);
        harness.advance(QUEUE_CHECK_US);
        assert_eq!(addresses_of_invites(&mut harness), [server_b(); 2], "call open: {call_is_open}");
    }
}

#[test]
fn sends_set_ups_after_stall_without_news() {
    for tells_number in [true, false] {
        let (mut harness, caller) = stalled_node(false);
        read_set_ups(&mut harness, caller);
        if tells_number {
            let conn = harness.conns_to(journal())[0];
            harness.bytes(conn, b"1\n");
        } else {
            harness.advance(CATCH_UP_LIMIT_US);
        }
        assert_eq!(addresses_of_invites(&mut harness).len(), IDS.len(), "number told: {tells_number}");
    }
}

/// A caller that gives its set-up up while the node catches up gets one answer, and no attempt is made.
#[test]
fn starts_no_attempt_for_set_up_withdrawn_while_catching_up() {
    let (mut harness, caller) = stalled_node(false);
    read_set_ups(&mut harness, caller);
    for id in IDS {
        harness.bytes(caller, &request_about(Method::Cancel, id));
    }
    harness.advance(SECOND);
    assert!(addresses_of_invites(&mut harness).is_empty());
    for id in IDS {
        assert_eq!(harness.answers[id], [487]);
    }
}
