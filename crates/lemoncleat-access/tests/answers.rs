//! What call servers answer, and when a set-up may still reach them.

mod common;

use common::*;

const ID: &str = "9b1f03aa5c7e2d41";

/// The class `voice` is one whose repeats are discarded for as long as this.
fn with_window(window: i64) -> World {
    World::with(|text| {
        text.replacen(
            "\"effect\":\"retryable\"",
            &format!("\"effect\":\"dedup\",\"group\":\"all\",\"dedup_window_us\":{window}"),
            1,
        )
    })
}

/// A first attempt ends as one that may have run, and the only way to another is a dial.
fn repeat_that_waits(world: &mut World) -> std::net::SocketAddr {
    let caller = world.caller();
    world.tell_lines();
    world.bytes(caller, &invite(ID, "voice", "dest:0;width:1;via:-1"));
    let (server, conn, _) = world.invited();
    let other = if server == server_a() { server_b() } else { server_a() };
    world.up.clear();
    for open in [world.to(other), world.to(server)].concat() {
        if open != conn {
            world.close(open);
        }
    }
    world.close(conn);
    world.pass(400 * MS);
    assert!(world.invites().is_empty());
    server
}

/// The window ends 500 ms after the first attempt went out, the connection comes up after it.
#[test]
fn a_repeat_whose_dial_outlasts_the_window_is_not_sent() {
    let mut world = with_window(500 * MS);
    repeat_that_waits(&mut world);
    world.pass(120 * MS);
    world.up.extend([server_a(), server_b()]);
    world.pass(20 * MS);
    assert!(world.invites().is_empty(), "the window was over when the connection came up");
    world.pass(2 * SECOND);
    assert!(world.invites().is_empty());
    assert_eq!(world.answers[ID].len(), 1, "one final answer");
}

/// The same while the window lasts: the set-up goes out once the connection is up, on the module's new word.
#[test]
fn a_repeat_whose_dial_takes_long_goes_out_on_a_new_choice_within_the_window() {
    let mut world = with_window(9 * SECOND);
    repeat_that_waits(&mut world);
    world.pass(50 * MS);
    world.up.extend([server_a(), server_b()]);
    world.pass(20 * MS);
    let (_, conn, asked) = world.invited();
    world.bytes(conn, &ok(&asked));
    assert_eq!(world.answers[ID], [200]);
}

/// Repeats that waited for one dial share what came up: none of them spends its tries on further dials.
#[test]
fn repeats_that_waited_for_one_dial_go_out_on_the_connection_that_came_up() {
    let mut world = with_window(9 * SECOND);
    let caller = world.caller();
    world.up.remove(&server_b());
    for open in world.to(server_b()) {
        world.close(open);
    }
    world.tell_lines();
    let ids: Vec<_> = (0..4).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        world.bytes(caller, &invite(id, "voice", "dest:0;width:1;via:-1"));
    }
    let out = world.invites();
    assert!(out.len() > 1, "several are out");
    for (_, conn, asked) in out {
        world.bytes(conn, &refusal(&asked, 503, "all_trunks_busy"));
    }
    world.pass(100 * MS);
    assert!(world.invites().is_empty(), "the way to the other server is a dial");
    world.up.insert(server_b());
    for _ in 0..40 {
        world.pass(20 * MS);
        for (to, conn, asked) in world.invites() {
            let answer = if to == server_b() { ok(&asked) } else { refusal(&asked, 503, "all_trunks_busy") };
            world.bytes(conn, &answer);
        }
    }
    for id in &ids {
        assert_eq!(world.answers.get(id).map(Vec::as_slice), Some(&[200][..]), "{id}");
    }
}
