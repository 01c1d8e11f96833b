//! What is owed when a connection or the node itself ends.

mod common;

use common::*;
use lemoncleat_access::{Input, Notice};
use lemoncleat_sip::{response, Method};

const ID: &str = "9b1f03aa5c7e2d41";
const NEXT: &str = "00000000000000a1";
const LEGS: &str = "dest:0;width:1;via:-1";

/// A caller that half-closed may still read: what it asked for is refused, and nothing of it goes on.
#[test]
fn a_caller_that_is_leaving_has_its_set_ups_given_up_and_refused() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, _) = world.invited();
    world.input(Input::Leaving(caller));
    assert_eq!(methods(&world.read(conn)), [Method::Cancel]);
    assert_eq!(codes(&world.read(caller)), [480]);
    world.input(Input::Leaving(caller));
    world.close(caller);
    world.pass(2 * SECOND);
    assert!(world.invites().is_empty());
    assert_eq!(world.answers[ID], [480]);
    let stats = world.node.stats();
    assert_eq!((stats.calls, stats.given_up, stats.attempts), (1, 1, 1));
}

#[test]
fn no_set_up_is_begun_that_is_read_after_its_caller_began_to_leave() {
    let mut world = World::new();
    let caller = world.caller();
    let (_, held) = world.standing_call(caller, NEXT);
    world.read(held);
    let set_up = invite(ID, "voice", LEGS);
    world.bytes(caller, &set_up[..40]);
    world.input(Input::Leaving(caller));
    world.bytes(caller, &set_up[40..]);
    assert_eq!(codes(&world.read(caller)), [480]);
    // Whatever else it sent before is heard.
    world.bytes(caller, &bye(NEXT, 16));
    assert_eq!(methods(&world.read(held)), [Method::Bye]);
    world.close(caller);
    world.pass(2 * SECOND);
    assert!(world.invites().is_empty());
    let Notice::Tables { open, standing, stats, .. } = world.tables() else { panic!("tables") };
    assert_eq!((open, standing, stats.calls, stats.given_up), (0, 0, 2, 1));
}

#[test]
fn a_set_up_that_waits_is_not_sent_on_after_its_caller_began_to_leave() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "dear", LEGS));
    let (_, conn, asked) = world.invited();
    // The release time of 0.3 s is waited out.
    world.bytes(conn, &refusal(&asked, 504, ""));
    assert!(world.invites().is_empty());
    world.input(Input::Leaving(caller));
    world.pass(2 * SECOND);
    assert!(world.invites().is_empty());
    assert_eq!(world.answers[ID], [480]);
}

#[test]
fn a_release_passes_over_a_connection_that_is_leaving() {
    let mut world = World::new();
    let (caller, known) = (world.caller(), world.caller());
    world.standing_call(known, NEXT);
    let (_, conn) = world.standing_call(caller, ID);
    world.input(Input::Leaving(caller));
    world.bytes(conn, &bye(ID, 16));
    assert_eq!((methods(&world.read(known)), world.read(caller).len()), (vec![Method::Bye], 0));
    // Where there is no other, it waits for the next, also while the one that is leaving still brings
    // something.
    let mut world = World::new();
    let caller = world.caller();
    let (_, conn) = world.standing_call(caller, ID);
    world.input(Input::Leaving(caller));
    world.bytes(conn, &bye(ID, 16));
    world.bytes(caller, &about(Method::Options, NEXT));
    assert!(methods(&world.read(caller)).is_empty());
    world.close(caller);
    let next = world.caller();
    world.bytes(next, &about(Method::Options, NEXT));
    assert_eq!(methods(&world.read(next)), [Method::Bye]);
}

/// What was sent there and not heard goes out again elsewhere, as when the connection is closed.
#[test]
fn a_release_not_heard_before_its_caller_began_to_leave_is_sent_again() {
    let mut world = World::new();
    let caller = world.caller();
    let (_, conn) = world.standing_call(caller, ID);
    world.bytes(conn, &bye(ID, 16));
    let released = world.read(caller);
    assert_eq!(methods(&released), [Method::Bye]);
    world.input(Input::Leaving(caller));
    let next = world.caller();
    world.bytes(next, &about(Method::Options, NEXT));
    assert_eq!(methods(&world.read(next)), [Method::Bye]);
    // Heard on the old one all the same: that is enough.
    world.bytes(caller, &response(200, "OK", &released[0]).finish(b""));
    world.close(caller);
    world.pass(SECOND);
    assert!(methods(&world.read(next)).is_empty());
}

#[test]
fn a_node_that_is_done_takes_what_still_arrives_and_says_so_again() {
    let mut world = World::new();
    let caller = world.caller();
    world.input(Input::Terminate);
    world.pass(SECOND);
    assert!(std::mem::take(&mut world.stopped));
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    world.pass(300 * MS);
    assert!(!world.stopped, "it waits for the set-up");
    world.bytes(conn, &ok(&asked));
    assert_eq!(codes(&world.read(caller)), [200]);
    world.bytes(conn, &bye(ID, 16));
    let released = world.read(caller);
    world.bytes(caller, &response(200, "OK", &released[0]).finish(b""));
    // A second one changes nothing.
    world.input(Input::Terminate);
    world.pass(200 * MS);
    assert!(std::mem::take(&mut world.stopped));
    world.pass(200 * MS);
    assert!(world.stopped, "and again for as long as it is so");
}

/// A connection that was to be closed and stays is as it was: each offset at which the rest may be unread in
/// turn.
#[test]
fn a_set_up_half_read_when_its_connection_was_to_be_closed_is_read_whole() {
    let set_up = invite(ID, "voice", LEGS);
    for offset in 1..set_up.len() {
        let mut world = World::new();
        let caller = world.caller();
        world.bytes(caller, &set_up[..offset]);
        world.unread.insert(caller);
        world.pass(2_300 * MS);
        assert!(!world.closed.contains(&caller), "{offset}: the rest waits to be read");
        world.bytes(caller, &set_up[offset..]);
        let (_, conn, asked) = world.invited();
        world.bytes(conn, &ok(&asked));
        assert_eq!(codes(&world.read(caller)), [200], "{offset}");
    }
}

#[test]
fn a_message_that_comes_byte_by_byte_does_not_hold_its_connection() {
    let mut world = World::new();
    let caller = world.caller();
    world.unread.insert(caller);
    for byte in &invite(ID, "voice", LEGS)[..28] {
        if !world.closed.contains(&caller) {
            world.bytes(caller, &[*byte]);
        }
        world.pass(100 * MS);
    }
    assert!(world.closed.contains(&caller));
}

/// A connection is not closed under half a set-up for want of anything before it, nor for being idle till
/// then.
#[test]
fn a_connection_that_begins_a_set_up_after_a_long_silence_is_not_closed_under_it() {
    for (first, silence) in [(None, 1_950), (Some(about(Method::Options, NEXT)), 9_950)] {
        let mut world = World::new();
        let caller = world.caller();
        if let Some(first) = first {
            world.bytes(caller, &first);
            world.read(caller);
        }
        world.pass(silence * MS);
        let set_up = invite(ID, "voice", LEGS);
        world.bytes(caller, &set_up[..99]);
        world.pass(500 * MS);
        assert!(!world.closed.contains(&caller), "after {silence} ms");
        world.bytes(caller, &set_up[99..]);
        assert_eq!(world.invites().len(), 1);
    }
}

/// Those of which half a message was read make room only where there is nobody else.
#[test]
fn room_is_made_by_others_before_one_of_which_half_a_set_up_was_read() {
    let mut world = World::new();
    let caller = world.caller();
    let set_up = invite(ID, "voice", LEGS);
    world.bytes(caller, &set_up[..99]);
    // More than have room, and each has brought something.
    for _ in 0..200 {
        let other = world.caller();
        world.bytes(other, &about(Method::Options, NEXT));
    }
    assert!(!world.closed.contains(&caller));
    world.bytes(caller, &set_up[99..]);
    assert_eq!(world.invites().len(), 1);
    // Halves alone don't keep the next caller out.
    let mut world = World::new();
    let halves: Vec<_> = (0..200)
        .map(|_| {
            let half = world.caller();
            world.bytes(half, &set_up[..99]);
            half
        })
        .collect();
    assert!(world.closed.contains(&halves[0]) && !world.closed.contains(&halves[199]));
    let caller = world.caller();
    world.bytes(caller, &set_up);
    assert_eq!(world.invites().len(), 1);
}

/// One that stays does not stand for all: others make room, and the table shrinks to its size again.
#[test]
fn connections_that_stay_do_not_let_the_table_grow() {
    let mut world = World::new();
    let unread: Vec<_> = (0..40).map(|_| world.caller()).collect();
    world.unread.extend(&unread);
    let others: Vec<_> = (0..400).map(|_| world.caller()).collect();
    assert!(unread.iter().all(|conn| !world.closed.contains(conn)));
    let open = others.iter().filter(|conn| !world.closed.contains(conn)).count();
    assert!(open + unread.len() <= 121, "{open} and 40 in a table for 120");
}

#[test]
fn with_a_set_up_open_on_every_connection_nobody_is_closed_but_who_comes_then() {
    let mut world = World::new();
    let busy: Vec<_> = (0..120)
        .map(|call| {
            let caller = world.caller();
            world.bytes(caller, &invite_for(&format!("{call:016x}"), "dear", LEGS, "5000"));
            caller
        })
        .collect();
    let late = world.caller();
    assert!(world.closed.contains(&late));
    assert!(busy.iter().all(|conn| !world.closed.contains(conn)));
}

/// An answer that was just written is still to be read: its connection is not the one that was quiet longest.
#[test]
fn a_connection_that_was_just_answered_is_not_closed_for_room_or_as_idle() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite_for(ID, "dear", LEGS, "30000"));
    let (_, conn, asked) = world.invited();
    world.pass(100 * MS);
    for _ in 0..119 {
        let other = world.caller();
        world.bytes(other, &about(Method::Options, NEXT));
    }
    world.pass(100 * MS);
    world.bytes(conn, &ok(&asked));
    world.caller();
    assert!(!world.closed.contains(&caller));
    // A long wait for the answer is no idling.
    let mut world = World::with(|text| text.replace("6000000", "60000000"));
    let caller = world.caller();
    world.bytes(caller, &invite_for(ID, "dear", LEGS, "60000"));
    world.pass(15 * SECOND);
    world.bytes(caller, &about(Method::Cancel, ID));
    world.pass(5 * SECOND);
    assert!(!world.closed.contains(&caller));
    world.pass(6 * SECOND);
    assert!(world.closed.contains(&caller));
}

/// A connection that can't be trusted any more is closed whatever is open on it, and what is open is refused
/// first.
#[test]
fn set_ups_open_on_a_connection_that_is_hung_up_are_refused_there() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, _) = world.invited();
    world.bytes(caller, b"\x00\x01\x02\r\n\r\n");
    assert!(world.closed.contains(&caller));
    assert_eq!(methods(&world.read(conn)), [Method::Cancel]);
    assert_eq!(world.answers[ID], [480]);
    world.pass(2 * SECOND);
    assert!(world.invites().is_empty());
}

/// While a set-up is open nothing is closed under it because of half a message behind it.
#[test]
fn half_a_message_behind_an_open_set_up_does_not_end_it() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite_for(ID, "dear", LEGS, "5000"));
    let (_, conn, asked) = world.invited();
    world.bytes(caller, &invite(NEXT, "voice", LEGS)[..50]);
    for _ in 0..25 {
        world.pass(100 * MS);
        world.bytes(conn, &response(180, "Ringing", &asked).finish(b""));
    }
    assert!(!world.closed.contains(&caller) && !world.answers.contains_key(ID));
}

/// Withdrawals that come after the final answer are no use, but what comes between them is.
#[test]
fn a_connection_in_use_is_not_closed_for_withdrawals_that_cross_answers() {
    let mut world = World::new();
    let caller = world.caller();
    for call in 0..20 {
        let id = format!("{:016x}", 0xabc000 + call);
        world.bytes(caller, &invite(&id, "voice", LEGS));
        for _ in 0..2 {
            world.bytes(caller, &about(Method::Cancel, &id));
        }
        assert_eq!(codes(&world.read(caller)), [200, 487, 481]);
    }
    assert!(!world.closed.contains(&caller));
}

/// On the connection of the first a second final answer under its id could be taken for its own.
#[test]
fn a_set_up_sent_again_on_its_connection_is_absorbed() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    assert!(world.read(caller).is_empty() && world.invites().is_empty());
    world.bytes(conn, &ok(&asked));
    assert_eq!(codes(&world.read(caller)), [200]);
    world.pass(3 * SECOND);
    assert!(!world.closed.contains(&caller));
    assert_eq!(world.answers[ID], [200]);
}

/// Such a caller is refused by the end of its connection, within its time and after the first one's answer.
#[test]
fn another_set_up_under_an_id_of_its_own_connection_ends_that_once_the_first_is_answered() {
    let others = [invite(ID, "dear", LEGS), invite(ID, "gold", LEGS)];
    for other in &others {
        let mut world = World::new();
        let caller = world.caller();
        world.bytes(caller, &invite(ID, "voice", LEGS));
        let (_, conn, asked) = world.invited();
        world.bytes(caller, other);
        assert!(world.read(caller).is_empty() && world.invites().is_empty());
        world.pass(200 * MS);
        assert!(!world.closed.contains(&caller), "the first is not disturbed");
        world.bytes(conn, &ok(&asked));
        world.bytes(caller, &about(Method::Ack, ID));
        world.pass(200 * MS);
        assert!(world.closed.contains(&caller));
        assert_eq!(world.answers[ID], [200]);
        let Notice::Tables { standing, .. } = world.tables() else { panic!("tables") };
        assert_eq!(standing, 1, "a call that stands belongs to no connection");
    }
    // A first one that takes its time does not keep the connection beyond that.
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite_for(ID, "dear", LEGS, "5000"));
    let (_, conn, _) = world.invited();
    world.bytes(caller, &others[0]);
    world.pass(2_200 * MS);
    assert!(world.closed.contains(&caller));
    assert_eq!(world.answers[ID].len(), 1);
    assert_eq!(methods(&world.read(conn)), [Method::Cancel]);
    // Nor is there anything to be answered while the call stands.
    let mut world = World::new();
    let caller = world.caller();
    world.standing_call(caller, ID);
    world.bytes(caller, &others[0]);
    world.pass(200 * MS);
    assert!(world.closed.contains(&caller));
    assert_eq!(world.answers[ID], [200]);
}

/// A caller that names its call on another connection, before it reads of its end, does not make it stand
/// again.
#[test]
fn a_call_that_is_over_is_not_taken_up_again() {
    type End = fn(&mut World, lemoncleat_access::ConnId, lemoncleat_access::ConnId);
    let ends: [(&str, End, u16); 4] = [
        ("released by its server, not yet confirmed", |world, _, conn| world.bytes(conn, &bye(ID, 16)), 16),
        (
            "released by its server and confirmed",
            |world, caller, conn| {
                world.bytes(conn, &bye(ID, 41));
                let told = world.read(caller);
                world.bytes(caller, &response(200, "OK", &told[0]).finish(b""));
            },
            41,
        ),
        ("released by its caller", |world, caller, _| world.bytes(caller, &bye(ID, 16)), 16),
        (
            "released by its caller, whose connection is gone",
            |world, caller, _| {
                world.bytes(caller, &bye(ID, 16));
                world.close(caller);
            },
            16,
        ),
    ];
    for (how, end, cause) in ends {
        let mut world = World::new();
        let caller = world.caller();
        let (server, conn) = world.standing_call(caller, ID);
        let name = if server == server_a() { "s-a" } else { "s-b" };
        end(&mut world, caller, conn);
        for _ in 0..2 {
            let other = world.caller();
            world.bytes(other, &invite(ID, "voice", &format!("at:{name}")));
            let told = world.read(other);
            let last = told.last().expect(how);
            assert_eq!(last.method(), Some(&Method::Bye), "{how}");
            assert_eq!(last.header("Reason"), Some(format!("Q.850;cause={cause}").as_str()), "{how}");
            world.bytes(other, &response(200, "OK", last).finish(b""));
        }
        let Notice::Tables { standing, releases, .. } = world.tables() else { panic!("tables") };
        assert_eq!((standing, releases), (0, 0), "{how}");
    }
}

/// Named on two connections, a call stands once; its release goes to the last, or to another if that has
/// gone.
#[test]
fn a_call_named_on_two_connections_stands_once() {
    for gone in [false, true] {
        let mut world = World::new();
        let (first, last) = (world.caller(), world.caller());
        for conn in [first, last] {
            world.bytes(conn, &invite(ID, "voice", "at:s-a"));
        }
        if gone {
            world.close(last);
        }
        let conn = world.to(server_a())[0];
        world.bytes(conn, &bye(ID, 16));
        let (here, there) = if gone { (first, last) } else { (last, first) };
        assert_eq!(methods(&world.read(here)), [Method::Bye]);
        assert!(world.read(there).is_empty());
    }
}

/// Set-ups come for 0.6 s after SIGTERM, on open connections and new ones, and are read later still. Each is
/// served, a second SIGTERM does not put the end off, and whoever leaves meanwhile is given up as always.
#[test]
fn what_comes_while_the_node_ends_is_served_and_nothing_else_is_begun() {
    let mut world = World::new();
    let (open, leaver) = (world.caller(), world.caller());
    world.bytes(open, &about(Method::Options, NEXT));
    world.read(open);
    world.input(Input::Terminate);
    world.bytes(leaver, &invite("00000000000000f0", "dear", LEGS));
    let (_, withdrawn, _) = world.invited();
    world.input(Input::Leaving(leaver));
    assert_eq!(methods(&world.read(withdrawn)), [Method::Cancel]);
    world.close(leaver);
    for call in 0..7 {
        let caller = if call % 2 == 0 { open } else { world.caller() };
        let id = format!("{:016x}", 0xabc000 + call);
        world.input(Input::Waited(caller, &invite(&id, "voice", LEGS), 100 * MS));
        let (_, conn, asked) = world.invited();
        world.input(Input::Terminate);
        world.bytes(conn, &ok(&asked));
        world.bytes(caller, &about(Method::Ack, &id));
        assert_eq!(codes(&world.read(caller)), [200], "{call}");
        world.read(conn);
        world.bytes(caller, &bye(&id, 16));
        assert_eq!(methods(&world.read(conn)), [Method::Bye], "{call}");
        assert_eq!(codes(&world.read(caller)), [200], "{call}");
        world.pass(100 * MS);
        assert!(!world.stopped, "{call}: more may come");
    }
    world.pass(300 * MS);
    assert!(world.stopped, "counted from the first SIGTERM");
    assert_eq!(world.answers["00000000000000f0"], [480]);
    assert!(world.answers.values().all(|codes| codes.len() == 1));
    assert_eq!(world.node.stats().attempts, 8);
}

/// A release whose caller's connection has gone waits for the next one, also while the node ends.
#[test]
fn a_node_that_ends_waits_for_what_stands_and_for_releases_that_nobody_heard() {
    let mut world = World::new();
    let caller = world.caller();
    let (_, conn) = world.standing_call(caller, ID);
    world.input(Input::Terminate);
    world.close(caller);
    world.pass(2 * SECOND);
    assert!(!world.stopped, "a call stands, and is not cut for the end");
    assert!(world.to(server_a()).contains(&conn) || world.to(server_b()).contains(&conn));
    world.bytes(conn, &bye(ID, 16));
    world.pass(SECOND);
    assert!(!world.stopped, "its release is owed");
    let next = world.caller();
    world.bytes(next, &about(Method::Options, NEXT));
    let told = world.read(next);
    let released = told.iter().find(|message| message.method() == Some(&Method::Bye)).expect("a release");
    assert_eq!(codes(&told), [503], "tests fail");
    world.bytes(next, &response(200, "OK", released).finish(b""));
    world.pass(200 * MS);
    assert!(world.stopped);
}

/// Every set-up has a new id: one under the id of a call that is over is a copy, and its releases that are
/// still on their way would end the new one.
#[test]
fn a_copy_of_a_set_up_whose_call_is_over_is_not_begun() {
    for confirmed in [true, false] {
        let mut world = World::new();
        let caller = world.caller();
        let (_, conn) = world.standing_call(caller, ID);
        world.bytes(conn, &bye(ID, 16));
        let told = world.read(caller);
        if confirmed {
            world.bytes(caller, &response(200, "OK", &told[0]).finish(b""));
        }
        world.pass(100 * MS);
        let other = world.caller();
        world.bytes(other, &invite(ID, "voice", LEGS));
        assert_eq!(codes(&world.read(other)), [482]);
        assert!(world.invites().is_empty());
        assert_eq!(world.node.stats().attempts, 1);
    }
}

/// Callers that send releases of calls that never were leave room for those that call servers send.
#[test]
fn releases_of_call_servers_are_kept_whatever_callers_send() {
    let mut world = World::new();
    for call in 0..5_000 {
        let rude = world.caller();
        world.bytes(rude, &bye(&format!("{:016x}", 0xabc000 + call), 16));
    }
    let conn = world.to(server_a())[0];
    world.bytes(conn, &bye(ID, 41));
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", "at:s-a"));
    assert_eq!(methods(&world.read(caller)), [Method::Bye]);
}

/// Callers may name calls that never were: their number has a bound, and calls are set up all the same.
#[test]
fn calls_that_are_only_named_do_not_fill_the_memory() {
    let mut world = World::new();
    let rude = world.caller();
    for call in 0..20_000 {
        world.bytes(rude, &invite(&format!("{:016x}", 0xabc000 + call), "voice", "at:s-a"));
    }
    let caller = world.caller();
    world.standing_call(caller, ID);
    let Notice::Tables { standing, .. } = world.tables() else { panic!("tables") };
    // A sixth of 48 MB, 512 bytes for each.
    assert_eq!(standing, 16_384 + 1);
}

/// The release of a call that stands is owed: a node with little traffic may have no other connection for it.
#[test]
fn the_connection_of_a_call_that_stands_is_not_closed_as_idle() {
    for named in [false, true] {
        let mut world = World::new();
        let caller = world.caller();
        let conn = if named {
            world.bytes(caller, &invite(ID, "voice", "at:s-a"));
            world.to(server_a())[0]
        } else {
            world.standing_call(caller, ID).1
        };
        for _ in 0..15 {
            world.pass(SECOND);
            world.tell_lines();
        }
        world.bytes(conn, &bye(ID, 16));
        let released = world.read(caller);
        assert_eq!(methods(&released), [Method::Bye]);
        world.bytes(caller, &response(200, "OK", &released[0]).finish(b""));
        world.pass(11 * SECOND);
        assert!(world.closed.contains(&caller), "then it is idle");
    }
}

/// What finds no room is refused at once, with a time to come back where the settings allow one.
#[test]
fn a_set_up_beyond_the_calls_that_may_be_held_is_told_when_to_come_back() {
    for (allowed, told) in [("true", Some("2")), ("false", None)] {
        let allow = format!("\"retry_after\":{allowed},\"max_retry_after_us\":1500000");
        let mut world = World::with(|text| {
            text.replace("\"retry_after\":false", &allow).replace("\"most_held\":20000", "\"most_held\":1")
        });
        let caller = world.caller();
        world.bytes(caller, &invite(ID, "voice", LEGS));
        world.bytes(caller, &invite(NEXT, "voice", LEGS));
        let answers = world.read(caller);
        assert_eq!((codes(&answers), answers[0].header("Retry-After")), (vec![503], told));
        assert_eq!(answers[0].call_id(), Some(NEXT));
    }
}

/// A call whose release had no way to its server yet goes on there: the node stays for it.
#[test]
fn a_node_that_ends_waits_for_releases_that_are_owed_to_call_servers() {
    let mut world = World::new();
    let caller = world.caller();
    let (server, _) = world.standing_call(caller, ID);
    world.up.remove(&server);
    for conn in world.to(server) {
        world.close(conn);
    }
    world.pass(100 * MS);
    world.input(Input::Terminate);
    world.bytes(caller, &bye(ID, 16));
    world.pass(2 * SECOND);
    assert!(!world.stopped, "its server has not heard of its end");
    world.up.insert(server);
    world.pass(2 * SECOND);
    let conn = world.every.iter().rev().find(|(to, _)| *to == server).expect("it is dialled").1;
    assert_eq!(methods(&world.read(conn)), [Method::Bye]);
    assert!(world.stopped);
}

/// A node that has no descriptor left can dial nobody. That says nothing of the servers: their calls stand, and a set-up
/// that waited for a connection has not run.
#[test]
fn dials_that_fail_for_want_of_descriptors_end_no_call_that_stands() {
    let mut world = World::new();
    let caller = world.caller();
    let (server, _) = world.standing_call(caller, ID);
    world.read(caller);
    for server in [server_a(), server_b()] {
        world.up.remove(&server);
        for conn in world.to(server) {
            world.close(conn);
        }
    }
    world.bytes(caller, &invite(NEXT, "voice", LEGS));
    for _ in 0..75 {
        world.pass(100 * MS);
        world.bytes(caller, &about(Method::Options, "00000000000000f0"));
        world.lack_dials();
    }
    let told = world.read(caller);
    assert!(!methods(&told).contains(&Method::Bye), "the call stands");
    assert_eq!(
        codes(&told).iter().filter(|code| **code != 200).collect::<Vec<_>>(),
        [&503],
        "refused, as never begun"
    );
    world.up.insert(server);
    world.pass(2 * SECOND);
    let conn = world.every.iter().rev().find(|(to, _)| *to == server).expect("it is dialled").1;
    world.bytes(conn, &bye(ID, 16));
    assert!(methods(&world.read(caller)).contains(&Method::Bye), "its release is heard");
}
