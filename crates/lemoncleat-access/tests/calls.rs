//! Set-ups, answers, refusals and releases.

mod common;

use common::*;
use lemoncleat_access::{Input, Notice};
use lemoncleat_sip::{response, Message, Method};

const ID: &str = "9b1f03aa5c7e2d41";
const LEGS: &str = "dest:0;width:1;via:-1";

#[test]
fn a_call_is_set_up_passed_on_unchanged_and_released() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (server, conn, asked) = world.invited();
    assert_eq!(server, server_a(), "the pool of first choice");
    assert_eq!((asked.call_id(), asked.user()), (Some(ID), Some("7f3a9c21e0b4d655")));
    assert_eq!((asked.header("X-Cos"), asked.body()), (Some("voice"), OFFER));
    let wait: i64 = asked.header("X-Timer-Ms").and_then(|wait| wait.parse().ok()).expect("a time");
    assert!((1..1500).contains(&wait), "less than the caller waits: {wait}");

    world.bytes(conn, &response(180, "Ringing", &asked).finish(b""));
    assert!(world.read(caller).is_empty(), "progress means nothing");
    world.bytes(conn, &ok(&asked));
    assert_eq!(methods(&world.read(conn)), [Method::Ack]);
    let answer = world.read(caller);
    assert_eq!((codes(&answer), answer[0].body()), (vec![200], ANSWER));
    assert_eq!(answer[0].header("Via"), Some("SIP/2.0/TCP peer"));
    world.bytes(caller, &about(Method::Ack, ID));

    world.pass(8 * SECOND);
    world.bytes(conn, &bye(ID, 16));
    assert_eq!(codes(&world.read(conn)), [200]);
    let released = world.read(caller);
    assert_eq!(methods(&released), [Method::Bye]);
    assert_eq!((released[0].call_id(), released[0].header("Reason")), (Some(ID), Some("Q.850;cause=16")));
    world.bytes(caller, &response(200, "OK", &released[0]).finish(b""));
    let Notice::Tables { open, standing, releases, stats, .. } = world.tables() else { panic!("tables") };
    assert_eq!((open, standing, releases, stats.stood, stats.cut), (0, 0, 0, 1, 0));
}

#[test]
fn a_caller_releases_on_any_connection_and_the_server_hears_of_it() {
    let mut world = World::new();
    let caller = world.caller();
    let (_, conn) = world.standing_call(caller, ID);
    world.read(conn);
    let other = world.caller();
    world.bytes(other, &bye(ID, 16));
    assert_eq!(codes(&world.read(other)), [200]);
    let told = world.read(conn);
    assert_eq!((methods(&told), told[0].call_id()), (vec![Method::Bye], Some(ID)));
    // The server's answer to it says nothing more to anybody.
    world.bytes(conn, &response(200, "OK", &told[0]).finish(b""));
    assert!(world.read(caller).is_empty() && world.read(other).is_empty());
}

/// Every final code of a server leads to one final answer, and what never ran goes elsewhere at once.
#[test]
fn every_refusal_ends_the_attempt_for_what_it_proves() {
    for (code, diagnosis, at_once) in [
        (503, "all_trunks_busy", true),
        (503, "cpu_full", true),
        (480, "", true),
        (486, "", true),
        (500, "", true),
        (404, "", true),
        (504, "", false),
    ] {
        let mut world = World::new();
        let caller = world.caller();
        world.bytes(caller, &invite(ID, "dear", LEGS));
        let (first, conn, asked) = world.invited();
        world.bytes(conn, &refusal(&asked, code, diagnosis));
        assert!(
            methods(&world.read(conn)).contains(&Method::Ack) || !world.to(first).contains(&conn),
            "{code}"
        );
        let next = world.invites();
        if at_once {
            assert_eq!(next.len(), 1, "{code}: nothing holds a circuit");
        } else {
            assert!(next.is_empty(), "{code}: the release time is awaited");
            world.pass(299 * MS);
            assert!(world.invites().is_empty(), "{code}");
            world.pass(30 * MS);
        }
        world.pass(2 * SECOND);
        let answers = world.answers.get(ID).cloned().unwrap_or_default();
        assert_eq!(answers.len(), 1, "{code}: {answers:?}");
        assert!(matches!(answers[0], 503 | 500), "{code}: {answers:?}");
    }
}

#[test]
fn a_busy_number_is_told_at_once() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    world.bytes(conn, &refusal(&asked, 486, "number_busy"));
    assert!(world.invites().is_empty());
    assert_eq!(codes(&world.read(caller)), [503]);
}

#[test]
fn a_time_to_come_back_is_named_where_settings_allow_it() {
    let allow = |text: String| {
        text.replace("\"retry_after\":false", "\"retry_after\":true,\"max_retry_after_us\":1500000")
    };
    let mut world = World::with(allow);
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    world.bytes(conn, &refusal(&asked, 486, "number_busy"));
    let answer = world.read(caller);
    assert_eq!((codes(&answer), answer[0].header("Retry-After")), (vec![503], Some("2")));
}

#[test]
fn a_caller_that_gives_up_is_told_so_and_the_server_too() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (server, conn, asked) = world.invited();
    world.bytes(caller, &about(Method::Cancel, ID));
    assert_eq!(codes(&world.read(caller)), [200, 487]);
    assert_eq!(world.answers[ID], [487], "one final answer");
    let told = world.read(conn);
    assert_eq!(methods(&told), [Method::Cancel]);
    // It crossed the server's answer: the call that stands there is released, and nobody hears of it.
    assert!(world.to(server).contains(&conn));
    world.bytes(conn, &ok(&asked));
    assert_eq!(methods(&world.read(conn)), [Method::Ack, Method::Bye]);
    assert!(world.read(caller).is_empty());
    world.pass(2 * SECOND);
    assert_eq!(world.answers[ID], [487]);
}

#[test]
fn a_withdrawal_that_crossed_the_answer_releases_both_sides() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    world.bytes(conn, &ok(&asked));
    assert_eq!(codes(&world.read(caller)), [200]);
    world.read(conn);
    world.bytes(caller, &about(Method::Cancel, ID));
    assert_eq!(codes(&world.read(caller)), [200]);
    assert_eq!(methods(&world.read(conn)), [Method::Bye]);
    let Notice::Tables { open, standing, .. } = world.tables() else { panic!("tables") };
    assert_eq!((open, standing), (0, 0));
}

#[test]
fn a_caller_that_closes_gives_its_set_ups_up_and_keeps_its_calls() {
    let mut world = World::new();
    let caller = world.caller();
    let (_, held) = world.standing_call(caller, ID);
    world.bytes(caller, &invite("00000000000000a1", "voice", LEGS));
    let (_, conn, _) = world.invited();
    world.close(caller);
    assert_eq!(methods(&world.read(conn)), [Method::Cancel]);
    // The call that stands ends later; its release reaches the caller on the next connection that is of use.
    world.bytes(held, &bye(ID, 16));
    let next = world.caller();
    assert!(world.read(next).is_empty(), "not before it has brought something");
    world.bytes(next, &invite("00000000000000a2", "voice", LEGS));
    assert_eq!(methods(&world.read(next)), [Method::Bye]);
}

#[test]
fn a_release_that_is_not_confirmed_goes_out_on_another_connection() {
    let mut world = World::new();
    let (caller, other) = (world.caller(), world.caller());
    world.bytes(other, &about(Method::Options, "00000000000000b0"));
    let (_, conn) = world.standing_call(caller, ID);
    world.read(other);
    world.bytes(conn, &bye(ID, 41));
    assert_eq!(methods(&world.read(caller)), [Method::Bye]);
    world.pass(600 * MS);
    let again = world.read(other);
    assert_eq!((methods(&again), again[0].header("Reason")), (vec![Method::Bye], Some("Q.850;cause=41")));
    world.bytes(other, &response(200, "OK", &again[0]).finish(b""));
    world.pass(3 * SECOND);
    assert!(world.read(caller).is_empty() && world.read(other).is_empty(), "it was heard");
}

#[test]
fn a_call_without_an_answer_is_refused_before_its_caller_stops_waiting() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    world.pass(1_400 * MS);
    let before = world.answers.get(ID).cloned().unwrap_or_default();
    world.pass(99 * MS);
    assert_eq!(world.answers[ID].len(), 1, "{before:?} then {:?}", world.answers[ID]);
    assert!(matches!(world.answers[ID][0], 503 | 500));
    let invites = world.invites();
    world.pass(5 * SECOND);
    assert!(world.invites().is_empty(), "nothing goes out after the answer, {} before", invites.len());
    assert_eq!(world.node.stats().overdue, 0, "the module answered, not the guard");
}

#[test]
fn never_two_attempts_of_a_call_at_once() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite_for(ID, "dear", LEGS, "5000"));
    let mut out: Option<lemoncleat_access::ConnId> = None;
    for _ in 0..600 {
        world.pass(10 * MS);
        for (to, conn) in world.every.clone().into_iter().filter(|(to, _)| *to != journal()) {
            for message in world.read(conn) {
                match message.method() {
                    Some(Method::Invite) => {
                        assert!(out.is_none(), "a second attempt, to {to}, before the first was given up");
                        out = Some(conn);
                    }
                    Some(Method::Cancel) => assert_eq!(out.take(), Some(conn), "the attempt that is out"),
                    _ => {}
                }
            }
        }
    }
    assert_eq!(world.answers[ID].len(), 1);
}

#[test]
fn an_answer_after_the_attempt_was_given_up_is_released_and_never_passed_on() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    // Another set-up on the connection keeps it open, and is answered.
    let mut given_up = false;
    for _ in 0..150 {
        world.bytes(conn, &notify("x0:40;x1:40"));
        world.pass(10 * MS);
        given_up |= methods(&world.read(conn)).contains(&Method::Cancel);
    }
    assert!(given_up, "silence is not waited out for ever");
    world.bytes(conn, &ok(&asked));
    assert_eq!(methods(&world.read(conn)), [Method::Ack, Method::Bye]);
    assert_eq!(world.answers[ID].len(), 1);
    assert!(!world.answers[ID].contains(&200));
}

#[test]
fn second_copies_and_unknown_answers_are_passed_over() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    let stranger =
        response(200, "OK", &messages(&invite("00000000000000ff", "voice", LEGS))[0]).finish(ANSWER);
    let both = [stranger, ok(&asked), ok(&asked)].concat();
    world.bytes(conn, &both);
    let answers = world.read(caller);
    assert_eq!((codes(&answers), answers[0].call_id()), (vec![200], Some(ID)));
    assert_eq!(methods(&world.read(conn)), [Method::Ack], "nothing is said to the others");
    // The call goes on standing.
    world.bytes(conn, &bye(ID, 16));
    assert_eq!(methods(&world.read(caller)), [Method::Bye]);
}

/// The platform's servers put the same number into every CSeq: a second attempt is answered like a first one.
#[test]
fn a_second_attempt_is_answered_whatever_its_number_says() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "dear", LEGS));
    let (_, conn, asked) = world.invited();
    world.bytes(conn, &refusal(&asked, 500, ""));
    let (_, conn, again) = world.invited();
    let answer = String::from_utf8(ok(&again)).expect("text").replace("CSeq: 2 INVITE", "CSeq: 1 INVITE");
    assert!(answer.contains("CSeq: 1 INVITE"));
    world.bytes(conn, answer.as_bytes());
    assert_eq!(codes(&world.read(caller)), [200]);
}

#[test]
fn a_cut_before_the_answer_is_a_reset() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite_for(ID, "dear", LEGS, "4000"));
    let (_, conn, _) = world.invited();
    world.bytes(conn, &bye(ID, 38));
    assert!(world.invites().is_empty() && world.read(caller).is_empty());
    world.pass(290 * MS);
    assert!(world.invites().is_empty(), "the release time is awaited");
    world.pass(40 * MS);
    assert_eq!(world.invites().len(), 1);
}

#[test]
fn what_stands_since_before_the_start_is_taken_up_without_a_word() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", "dest:0;width:1;via:-1;at:s-a"));
    assert!(world.read(caller).is_empty() && world.invites().is_empty());
    // Named again, as when the caller is not sure: nothing new.
    world.bytes(caller, &invite(ID, "voice", "at:s-a"));
    let conn = world.to(server_a())[0];
    world.bytes(conn, &bye(ID, 16));
    assert_eq!(methods(&world.read(caller)), [Method::Bye]);
}

#[test]
fn a_release_that_came_before_its_call_was_known_is_not_lost() {
    let mut world = World::new();
    let conn = world.to(server_a())[0];
    world.bytes(conn, &bye(ID, 41));
    assert_eq!(codes(&world.read(conn)), [200]);
    world.pass(2 * SECOND);
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", "at:s-a"));
    let told = world.read(caller);
    assert_eq!((methods(&told), told[0].header("Reason")), (vec![Method::Bye], Some("Q.850;cause=41")));
    // One that nobody could ever tell the end of is over too.
    world.bytes(caller, &invite("00000000000000c3", "voice", "at:s-unheard-of"));
    assert_eq!(methods(&world.read(caller)), [Method::Bye]);
}

#[test]
fn tests_pass_until_the_node_is_to_end_and_what_was_taken_is_answered() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &about(Method::Options, "00000000000000d0"));
    assert_eq!(codes(&world.read(caller)), [200]);
    let (_, held) = world.standing_call(caller, ID);
    world.input(Input::Terminate);
    world.bytes(caller, &about(Method::Options, "00000000000000d1"));
    assert_eq!(codes(&world.read(caller)), [503]);
    // What still arrives is served.
    world.pass(300 * MS);
    let late = world.caller();
    world.bytes(late, &invite("00000000000000d2", "voice", LEGS));
    let (_, conn, asked) = world.invited();
    world.pass(20 * MS);
    world.bytes(conn, &ok(&asked));
    assert_eq!(codes(&world.read(late)), [200]);
    world.pass(2 * SECOND);
    assert!(!world.stopped, "two calls stand, and their releases are to be passed on");
    world.read(caller);
    for (conn, id) in [(held, ID), (conn, "00000000000000d2")] {
        world.bytes(conn, &bye(id, 16));
    }
    for conn in [caller, late] {
        for released in world.read(conn).iter().filter(|message| message.method() == Some(&Method::Bye)) {
            world.bytes(conn, &response(200, "OK", released).finish(b""));
        }
    }
    world.pass(SECOND);
    assert!(world.stopped);
    assert!(world.closed.iter().all(|conn| *conn != caller));
}

#[test]
fn an_id_that_is_open_keeps_its_call() {
    let mut world = World::new();
    let (caller, rude) = (world.caller(), world.caller());
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    world.bytes(rude, &invite(ID, "dear", LEGS));
    assert_eq!(codes(&world.read(rude)), [482]);
    assert!(world.invites().is_empty(), "nothing goes out for it");
    world.bytes(conn, &ok(&asked));
    assert_eq!(codes(&world.read(caller)), [200]);
    world.bytes(rude, &invite(ID, "dear", LEGS));
    assert_eq!(codes(&world.read(rude)), [482], "nor while the call stands");
    let codes: Vec<u16> = world.read(caller).iter().filter_map(Message::code).collect();
    assert!(codes.is_empty());
}
