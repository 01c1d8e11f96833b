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
    assert_eq!((stats.calls, stats.gone, stats.attempts), (1, 1, 1));
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
    assert_eq!((open, standing, stats.calls, stats.gone), (0, 0, 2, 1));
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
    // Where there is no other, it waits for the next, also while the one that is leaving still brings something.
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
