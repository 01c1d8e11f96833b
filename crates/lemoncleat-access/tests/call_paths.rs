//! Established calls whose own connection to their server is gone, while the server lives.

mod common;

use common::*;
use lemoncleat_access::{ConnId, Micros};
use lemoncleat_sip::Method;

const ID: &str = "9b1f03aa5c7e2d41";
const OTHER_ID: &str = "00000000000000b7";
const LOST_SET_UP_ID: &str = "00000000000000c8";
const LEGS: &str = "dest:0;width:1;via:-1";
/// Latest time after the end of a call at which its caller must be told, if no release could be sent.
const REPORT_LIMIT_US: Micros = 8 * SECOND;
const STEP_US: Micros = 100 * MS;

/// Two calls that stand at s-a over two connections.
struct TwoCalls {
    harness: Harness,
    caller: ConnId,
    /// The connections of `ID` and `OTHER_ID`.
    conns: [ConnId; 2],
}

impl TwoCalls {
    fn new() -> TwoCalls {
        let mut harness = Harness::new();
        // Only s-a takes calls.
        let watch = harness.conns_to(journal())[0];
        let draining = list_endpoint("s-b", "127.0.1.2:5070", 1, "draining", 0);
        harness.bytes(watch, list_event(2, false, &[draining]).as_bytes());
        harness.report_free_lines();
        let caller = harness.connect_caller();
        for id in [ID, OTHER_ID] {
            harness.bytes(caller, &invite(id, "voice", LEGS));
        }
        let invites = harness.invites();
        let conns = [invites[0].1, invites[1].1];
        assert_ne!(conns[0], conns[1]);
        for (_, conn, forwarded) in &invites {
            harness.bytes(*conn, &ok(forwarded));
        }
        for id in [ID, OTHER_ID] {
            harness.bytes(caller, &request_about(Method::Ack, id));
        }
        harness.read(caller);
        TwoCalls { harness, caller, conns }
    }

    /// Returns how many connections to s-a were ever established.
    fn conns_opened(&self) -> usize {
        self.harness.all_conns.iter().filter(|(to, _)| *to == server_a()).count()
    }

    /// Sends a set-up that gets no answer on the connection of `ID`: the node gives that connection up.
    fn lose_conn_of_first_call(&mut self) {
        let harness = &mut self.harness;
        // Of two free connections the one received on last is used.
        harness.advance(10 * MS);
        harness.bytes(self.conns[0], &notify("x0:40;x1:40"));
        harness.bytes(self.caller, &invite_for(LOST_SET_UP_ID, "voice", LEGS, "300"));
        let (_, conn, _) = harness.single_invite();
        assert_eq!(conn, self.conns[0]);
        self.advance(SECOND, &[self.conns[1]]);
        assert!(self.harness.closed.contains(&self.conns[0]));
    }

    /// Advances the time while these connections report the state of their server, and dials to addresses that
    /// are not reachable are refused. Returns the calls that were released to the caller, in order.
    fn advance(&mut self, span: Micros, reporting: &[ConnId]) -> Vec<String> {
        let harness = &mut self.harness;
        let until = harness.now + span;
        let mut released = Vec::new();
        loop {
            for message in harness.read(self.caller) {
                if message.method() == Some(&Method::Bye) {
                    let confirmed = lemoncleat_sip::response(200, "OK", &message).finish(b"");
                    harness.bytes(self.caller, &confirmed);
                    released.extend(message.call_id().map(str::to_owned));
                }
            }
            if harness.now >= until {
                return released;
            }
            harness.advance(STEP_US);
            harness.fail_dials(true);
            harness.bytes(self.caller, &request_about(Method::Options, "00000000000000f0"));
            for conn in reporting {
                harness.bytes(*conn, &notify("x0:39;x1:40"));
            }
        }
    }
}

/// Guards against calls that are never released because their connection was given up, their server takes no
/// new one, and its reports on another connection kept them.
#[test]
fn releases_calls_of_given_up_connection_when_server_takes_no_new_one() {
    let mut calls = TwoCalls::new();
    calls.harness.reachable.remove(&server_a());
    let lost_at = calls.harness.now;
    calls.lose_conn_of_first_call();
    // The server releases the call on the lost connection, which is open for it.
    let left = lost_at + REPORT_LIMIT_US - calls.harness.now;
    let other = calls.conns[1];
    assert_eq!(calls.advance(left, &[other]), [ID], "only the call of the lost connection");
    assert!(calls.advance(20 * SECOND, &[other]).is_empty(), "the other call stands");
    calls.harness.bytes(other, &bye(OTHER_ID, 16));
    assert_eq!(calls.advance(0, &[]), [OTHER_ID]);
}

/// As long as new connections come up, the server would have repeated the release of the call: it stands.
#[test]
fn keeps_calls_of_given_up_connection_while_new_ones_come_up() {
    let mut calls = TwoCalls::new();
    calls.lose_conn_of_first_call();
    let other = calls.conns[1];
    assert!(calls.advance(20 * SECOND, &[other]).is_empty());
    let opened = calls.conns_opened();
    assert!(calls.advance(3 * SECOND, &[other]).is_empty());
    assert!(calls.conns_opened() > opened, "a new one is opened, on which the release is repeated");
    let newest = *calls.harness.conns_to(server_a()).last().expect("a connection");
    calls.harness.bytes(newest, &bye(ID, 16));
    assert_eq!(calls.advance(0, &[]), [ID]);
}

/// A server that drains closes the connection of a call and takes no new ones: it tells the end on its other
/// connection, which reports its state, however long the drain takes.
#[test]
fn keeps_calls_of_connection_closed_by_server_while_its_others_report() {
    let mut calls = TwoCalls::new();
    calls.harness.reachable.remove(&server_a());
    calls.harness.close(calls.conns[0]);
    let other = calls.conns[1];
    assert!(calls.advance(20 * SECOND, &[other]).is_empty());
    calls.harness.bytes(other, &bye(ID, 16));
    assert_eq!(calls.advance(0, &[]), [ID]);
}

/// The connection of a call was reset, another one had died unnoticed while it was idle, and a new one reports.
/// The server may choose the dead one for the release, and repeats it only on the next that is opened.
#[test]
fn opens_new_connection_for_call_of_reset_connection_while_another_is_silent() {
    let mut calls = TwoCalls::new();
    let silent = calls.conns[0];
    calls.harness.bytes(silent, &bye(ID, 16));
    assert_eq!(calls.advance(0, &[]), [ID]);
    calls.harness.close(calls.conns[1]);
    let newest = *calls.harness.conns_to(server_a()).last().expect("a connection opened at once");
    assert_ne!(newest, silent);
    calls.advance(3 * SECOND, &[newest]);
    // The call ends, and its release goes the way of the dead connection.
    let opened = calls.conns_opened();
    assert!(calls.advance(3 * SECOND, &[newest]).is_empty());
    assert!(calls.conns_opened() > opened, "the server repeats the release on a further connection");
    let further = *calls.harness.conns_to(server_a()).last().expect("a connection");
    calls.harness.bytes(further, &bye(OTHER_ID, 16));
    assert_eq!(calls.advance(0, &[]), [OTHER_ID]);
}

/// The same, but no new connection comes up: nothing can tell of the call's end any more.
#[test]
fn releases_call_of_reset_connection_when_another_is_silent_and_no_new_one_comes_up() {
    let mut calls = TwoCalls::new();
    let silent = calls.conns[0];
    calls.harness.bytes(silent, &bye(ID, 16));
    assert_eq!(calls.advance(0, &[]), [ID]);
    calls.harness.reachable.remove(&server_a());
    calls.harness.close(calls.conns[1]);
    assert_eq!(calls.advance(REPORT_LIMIT_US, &[]), [OTHER_ID]);
}

/// A call that its caller named has no connection of its own: with one of the open ones dead without a sign, its
/// release is awaited on new ones, and no longer than the limit if none comes up.
#[test]
fn awaits_release_of_named_call_on_new_connections_while_one_is_silent() {
    const NAMED_ID: &str = "00000000000000d9";
    for reachable in [true, false] {
        let mut calls = TwoCalls::new();
        let [silent, reporting] = calls.conns;
        calls.harness.bytes(silent, &bye(ID, 16));
        calls.harness.bytes(reporting, &bye(OTHER_ID, 16));
        assert_eq!(calls.advance(0, &[]), [ID, OTHER_ID]);
        calls.harness.bytes(calls.caller, &invite(NAMED_ID, "voice", "at:s-a"));
        if !reachable {
            calls.harness.reachable.remove(&server_a());
        }
        let opened = calls.conns_opened();
        let released = calls.advance(REPORT_LIMIT_US, &[reporting]);
        if reachable {
            assert!(released.is_empty() && calls.conns_opened() > opened);
        } else {
            assert_eq!(released, [NAMED_ID]);
        }
    }
}

/// Guards against calls that are released too late because their connection died without a sign and stayed
/// open, while their server takes no new one and reports on another: as seen with servers that drain.
#[test]
fn releases_calls_of_open_silent_connection_when_server_takes_no_new_one() {
    let mut calls = TwoCalls::new();
    calls.harness.reachable.remove(&server_a());
    let other = calls.conns[1];
    assert_eq!(calls.advance(REPORT_LIMIT_US, &[other]), [ID], "only the call of the silent connection");
    assert!(!calls.harness.closed.contains(&calls.conns[0]));
    assert!(calls.advance(20 * SECOND, &[other]).is_empty(), "the other call stands");
}
