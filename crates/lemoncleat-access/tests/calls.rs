//! Set-ups, answers, refusals and releases.

mod common;

use common::*;
use lemoncleat_access::{Input, Notice};
use lemoncleat_sip::{response, Message, Method};

const ID: &str = "9b1f03aa5c7e2d41";
const LEGS: &str = "dest:0;width:1;via:-1";

#[test]
fn sets_up_passes_on_and_releases_a_call() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "voice", LEGS));
    let (server, conn, forwarded) = harness.single_invite();
    assert_eq!(server, server_a(), "the preferred pool");
    assert_eq!((forwarded.call_id(), forwarded.user()), (Some(ID), Some("7f3a9c21e0b4d655")));
    assert_eq!((forwarded.header("X-Cos"), forwarded.body()), (Some("voice"), OFFER));
    let wait: i64 = forwarded.header("X-Timer-Ms").and_then(|wait| wait.parse().ok()).expect("a time");
    assert!((1..1500).contains(&wait), "less than the caller waits: {wait}");

    harness.bytes(conn, &response(180, "Ringing", &forwarded).finish(b""));
    assert!(harness.read(caller).is_empty(), "provisional responses are not passed on");
    harness.bytes(conn, &ok(&forwarded));
    assert_eq!(methods(&harness.read(conn)), [Method::Ack]);
    let answer = harness.read(caller);
    assert_eq!((codes(&answer), answer[0].body()), (vec![200], ANSWER));
    assert_eq!(answer[0].header("Via"), Some("SIP/2.0/TCP peer"));
    harness.bytes(caller, &request_about(Method::Ack, ID));

    harness.advance(8 * SECOND);
    harness.bytes(conn, &bye(ID, 16));
    assert_eq!(codes(&harness.read(conn)), [200]);
    let released = harness.read(caller);
    assert_eq!(methods(&released), [Method::Bye]);
    assert_eq!((released[0].call_id(), released[0].header("Reason")), (Some(ID), Some("Q.850;cause=16")));
    harness.bytes(caller, &response(200, "OK", &released[0]).finish(b""));
    let Notice::Tables { open, standing, releases, stats, .. } = harness.table_sizes() else {
        panic!("tables")
    };
    assert_eq!((open, standing, releases, stats.stood, stats.cut), (0, 0, 0, 1, 0));
}

#[test]
fn passes_on_release_from_any_connection_of_caller() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    let (_, conn) = harness.standing_call(caller, ID);
    harness.read(conn);
    let other = harness.connect_caller();
    harness.bytes(other, &bye(ID, 16));
    assert_eq!(codes(&harness.read(other)), [200]);
    let received = harness.read(conn);
    assert_eq!((methods(&received), received[0].call_id()), (vec![Method::Bye], Some(ID)));
    // The server's response to it has no further effect.
    harness.bytes(conn, &response(200, "OK", &received[0]).finish(b""));
    assert!(harness.read(caller).is_empty() && harness.read(other).is_empty());
}

/// Every final response of a server leads to one final answer. An attempt that certainly had no effect is
/// followed by another one at once.
#[test]
fn ends_attempt_according_to_refusal_code() {
    for (code, diagnosis, at_once) in [
        (503, "all_trunks_busy", true),
        (503, "cpu_full", true),
        (480, "", true),
        (486, "", true),
        (500, "", true),
        (404, "", true),
        (504, "", false),
    ] {
        let mut harness = Harness::new();
        let caller = harness.connect_caller();
        harness.bytes(caller, &invite(ID, "dear", LEGS));
        let (first, conn, forwarded) = harness.single_invite();
        harness.bytes(conn, &refusal(&forwarded, code, diagnosis));
        assert!(
            methods(&harness.read(conn)).contains(&Method::Ack) || !harness.conns_to(first).contains(&conn),
            "{code}"
        );
        let next = harness.invites();
        if at_once {
            assert_eq!(next.len(), 1, "{code}: no circuit is held, so the next attempt follows at once");
        } else {
            assert!(next.is_empty(), "{code}: the release time is awaited");
            harness.advance(299 * MS);
            assert!(harness.invites().is_empty(), "{code}");
            harness.advance(30 * MS);
        }
        harness.advance(2 * SECOND);
        let answers = harness.answers.get(ID).cloned().unwrap_or_default();
        assert_eq!(answers.len(), 1, "{code}: {answers:?}");
        assert!(matches!(answers[0], 503 | 500), "{code}: {answers:?}");
    }
}

#[test]
fn refuses_at_once_when_number_is_busy() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, forwarded) = harness.single_invite();
    harness.bytes(conn, &refusal(&forwarded, 486, "number_busy"));
    assert!(harness.invites().is_empty());
    assert_eq!(codes(&harness.read(caller)), [503]);
}

#[test]
fn sends_retry_after_when_settings_allow_it() {
    let allow = |text: String| {
        text.replace("\"retry_after\":false", "\"retry_after\":true,\"max_retry_after_us\":1500000")
    };
    let mut harness = Harness::with_config(allow);
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, forwarded) = harness.single_invite();
    harness.bytes(conn, &refusal(&forwarded, 486, "number_busy"));
    let answer = harness.read(caller);
    assert_eq!((codes(&answer), answer[0].header("Retry-After")), (vec![503], Some("2")));
}

#[test]
fn answers_cancel_and_cancels_at_server() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "voice", LEGS));
    let (server, conn, forwarded) = harness.single_invite();
    harness.bytes(caller, &request_about(Method::Cancel, ID));
    assert_eq!(codes(&harness.read(caller)), [200, 487]);
    assert_eq!(harness.answers[ID], [487], "one final answer");
    let received = harness.read(conn);
    assert_eq!(methods(&received), [Method::Cancel]);
    // The CANCEL crossed the server's answer: the call established there is released, and the caller is sent
    // nothing more.
    assert!(harness.conns_to(server).contains(&conn));
    harness.bytes(conn, &ok(&forwarded));
    assert_eq!(methods(&harness.read(conn)), [Method::Ack, Method::Bye]);
    assert!(harness.read(caller).is_empty());
    harness.advance(2 * SECOND);
    assert_eq!(harness.answers[ID], [487]);
}

#[test]
fn releases_both_sides_when_cancel_crosses_answer() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, forwarded) = harness.single_invite();
    harness.bytes(conn, &ok(&forwarded));
    assert_eq!(codes(&harness.read(caller)), [200]);
    harness.read(conn);
    harness.bytes(caller, &request_about(Method::Cancel, ID));
    assert_eq!(codes(&harness.read(caller)), [200]);
    assert_eq!(methods(&harness.read(conn)), [Method::Bye]);
    let Notice::Tables { open, standing, .. } = harness.table_sizes() else { panic!("tables") };
    assert_eq!((open, standing), (0, 0));
}

#[test]
fn gives_up_set_ups_but_keeps_calls_when_caller_closes() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    let (_, first_conn) = harness.standing_call(caller, ID);
    harness.bytes(caller, &invite("00000000000000a1", "voice", LEGS));
    let (_, conn, _) = harness.single_invite();
    harness.close(caller);
    assert_eq!(methods(&harness.read(conn)), [Method::Cancel]);
    // The established call ends later; its release reaches the caller on the next connection that sends
    // something useful.
    harness.bytes(first_conn, &bye(ID, 16));
    let next = harness.connect_caller();
    assert!(harness.read(next).is_empty(), "not before it has sent something");
    harness.bytes(next, &invite("00000000000000a2", "voice", LEGS));
    assert_eq!(methods(&harness.read(next)), [Method::Bye]);
}

#[test]
fn resends_unconfirmed_release_on_another_connection() {
    let mut harness = Harness::new();
    let (caller, other) = (harness.connect_caller(), harness.connect_caller());
    harness.bytes(other, &request_about(Method::Options, "00000000000000b0"));
    let (_, conn) = harness.standing_call(caller, ID);
    harness.read(other);
    harness.bytes(conn, &bye(ID, 41));
    assert_eq!(methods(&harness.read(caller)), [Method::Bye]);
    harness.advance(600 * MS);
    let again = harness.read(other);
    assert_eq!((methods(&again), again[0].header("Reason")), (vec![Method::Bye], Some("Q.850;cause=41")));
    harness.bytes(other, &response(200, "OK", &again[0]).finish(b""));
    harness.advance(3 * SECOND);
    assert!(harness.read(caller).is_empty() && harness.read(other).is_empty(), "the release was confirmed");
}

#[test]
fn refuses_unanswered_call_before_its_deadline() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "voice", LEGS));
    harness.advance(1_400 * MS);
    let before = harness.answers.get(ID).cloned().unwrap_or_default();
    harness.advance(99 * MS);
    assert_eq!(harness.answers[ID].len(), 1, "{before:?} then {:?}", harness.answers[ID]);
    assert!(matches!(harness.answers[ID][0], 503 | 500));
    let invites = harness.invites();
    harness.advance(5 * SECOND);
    assert!(harness.invites().is_empty(), "no attempt after the answer, {} before", invites.len());
    assert_eq!(harness.node.stats().overdue, 0, "the module answered, not the deadline timer");
}

#[test]
fn never_opens_two_attempts_of_a_call() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite_for(ID, "dear", LEGS, "5000"));
    let mut open_attempt: Option<lemoncleat_access::ConnId> = None;
    for _ in 0..600 {
        harness.advance(10 * MS);
        for (to, conn) in harness.all_conns.clone().into_iter().filter(|(to, _)| *to != journal()) {
            for message in harness.read(conn) {
                match message.method() {
                    Some(Method::Invite) => {
                        assert!(
                            open_attempt.is_none(),
                            "a second attempt, to {to}, before the first was given up"
                        );
                        open_attempt = Some(conn);
                    }
                    Some(Method::Cancel) => assert_eq!(open_attempt.take(), Some(conn), "the open attempt"),
                    _ => {}
                }
            }
        }
    }
    assert_eq!(harness.answers[ID].len(), 1);
}

#[test]
fn releases_answer_to_abandoned_attempt() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, forwarded) = harness.single_invite();
    // The server keeps the connection alive without answering the set-up.
    let mut given_up = false;
    for _ in 0..150 {
        harness.bytes(conn, &notify("x0:40;x1:40"));
        harness.advance(10 * MS);
        given_up |= methods(&harness.read(conn)).contains(&Method::Cancel);
    }
    assert!(given_up, "a silent attempt is given up");
    harness.bytes(conn, &ok(&forwarded));
    assert_eq!(methods(&harness.read(conn)), [Method::Ack, Method::Bye]);
    assert_eq!(harness.answers[ID].len(), 1);
    assert!(!harness.answers[ID].contains(&200));
}

#[test]
fn ignores_repeated_and_unknown_answers() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, forwarded) = harness.single_invite();
    let stranger =
        response(200, "OK", &messages(&invite("00000000000000ff", "voice", LEGS))[0]).finish(ANSWER);
    let both = [stranger, ok(&forwarded), ok(&forwarded)].concat();
    harness.bytes(conn, &both);
    let answers = harness.read(caller);
    assert_eq!((codes(&answers), answers[0].call_id()), (vec![200], Some(ID)));
    assert_eq!(methods(&harness.read(conn)), [Method::Ack], "other answers get no response");
    // The call stays established.
    harness.bytes(conn, &bye(ID, 16));
    assert_eq!(methods(&harness.read(caller)), [Method::Bye]);
}

/// The platform's servers put the same number into every CSeq: the answer to a second attempt is accepted
/// like that to a first one.
#[test]
fn accepts_answer_to_second_attempt_with_any_cseq_number() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "dear", LEGS));
    let (_, conn, forwarded) = harness.single_invite();
    harness.bytes(conn, &refusal(&forwarded, 500, ""));
    let (_, conn, again) = harness.single_invite();
    let answer = String::from_utf8(ok(&again)).expect("text").replace("CSeq: 2 INVITE", "CSeq: 1 INVITE");
    assert!(answer.contains("CSeq: 1 INVITE"));
    harness.bytes(conn, answer.as_bytes());
    assert_eq!(codes(&harness.read(caller)), [200]);
}

#[test]
fn treats_server_release_before_answer_as_reset() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite_for(ID, "dear", LEGS, "4000"));
    let (_, conn, _) = harness.single_invite();
    harness.bytes(conn, &bye(ID, 38));
    assert!(harness.invites().is_empty() && harness.read(caller).is_empty());
    harness.advance(290 * MS);
    assert!(harness.invites().is_empty(), "the release time is awaited");
    harness.advance(40 * MS);
    assert_eq!(harness.invites().len(), 1);
}

#[test]
fn takes_over_call_established_before_start() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "voice", "dest:0;width:1;via:-1;at:s-a"));
    assert!(harness.read(caller).is_empty() && harness.invites().is_empty());
    // Named again, as by a caller that is not sure: no effect.
    harness.bytes(caller, &invite(ID, "voice", "at:s-a"));
    let conn = harness.conns_to(server_a())[0];
    harness.bytes(conn, &bye(ID, 16));
    assert_eq!(methods(&harness.read(caller)), [Method::Bye]);
}

#[test]
fn keeps_release_that_arrives_before_its_call_is_known() {
    let mut harness = Harness::new();
    let conn = harness.conns_to(server_a())[0];
    harness.bytes(conn, &bye(ID, 41));
    assert_eq!(codes(&harness.read(conn)), [200]);
    harness.advance(2 * SECOND);
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "voice", "at:s-a"));
    let received = harness.read(caller);
    assert_eq!(
        (methods(&received), received[0].header("Reason")),
        (vec![Method::Bye], Some("Q.850;cause=41"))
    );
    // A call at an unknown server, whose end could never be reported, is released too.
    harness.bytes(caller, &invite("00000000000000c3", "voice", "at:s-unknown"));
    assert_eq!(methods(&harness.read(caller)), [Method::Bye]);
}

#[test]
fn fails_tests_but_serves_calls_during_shutdown() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &request_about(Method::Options, "00000000000000d0"));
    assert_eq!(codes(&harness.read(caller)), [200]);
    let (_, first_conn) = harness.standing_call(caller, ID);
    harness.input(Input::Terminate);
    harness.bytes(caller, &request_about(Method::Options, "00000000000000d1"));
    assert_eq!(codes(&harness.read(caller)), [503]);
    // Set-ups that still arrive are served.
    harness.advance(300 * MS);
    let late = harness.connect_caller();
    harness.bytes(late, &invite("00000000000000d2", "voice", LEGS));
    let (_, conn, forwarded) = harness.single_invite();
    harness.advance(20 * MS);
    harness.bytes(conn, &ok(&forwarded));
    assert_eq!(codes(&harness.read(late)), [200]);
    harness.advance(2 * SECOND);
    assert!(!harness.stopped, "two calls are established, and their releases must be passed on");
    harness.read(caller);
    for (conn, id) in [(first_conn, ID), (conn, "00000000000000d2")] {
        harness.bytes(conn, &bye(id, 16));
    }
    for conn in [caller, late] {
        for released in harness.read(conn).iter().filter(|message| message.method() == Some(&Method::Bye)) {
            harness.bytes(conn, &response(200, "OK", released).finish(b""));
        }
    }
    harness.advance(SECOND);
    assert!(harness.stopped);
    assert!(harness.closed.iter().all(|conn| *conn != caller));
}

#[test]
fn refuses_second_set_up_with_open_id() {
    let mut harness = Harness::new();
    let (caller, intruder) = (harness.connect_caller(), harness.connect_caller());
    harness.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, forwarded) = harness.single_invite();
    harness.bytes(intruder, &invite(ID, "dear", LEGS));
    assert_eq!(codes(&harness.read(intruder)), [482]);
    assert!(harness.invites().is_empty(), "no attempt is started");
    harness.bytes(conn, &ok(&forwarded));
    assert_eq!(codes(&harness.read(caller)), [200]);
    harness.bytes(intruder, &invite(ID, "dear", LEGS));
    assert_eq!(codes(&harness.read(intruder)), [482], "nor while the call is established");
    let codes: Vec<u16> = harness.read(caller).iter().filter_map(Message::code).collect();
    assert!(codes.is_empty());
}
