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

/// The list tells of one server.
fn lists(world: &mut World, pos: u64, name: &str, address: &str, status: &str) {
    let line = format!(
        r#"{{"pos":{pos},"hosts":{{"endpoints":[{{"name":"{name}","address":"{address}","group":0,"status":"{status}"}}]}}}}"#
    );
    let watch = world.to(journal())[0];
    world.bytes(watch, format!("{line}\n").as_bytes());
}

/// A connection closed for room may have borne a release at that moment: its server gets a new one, on which it tells
/// it again, though it goes on telling its state on another.
#[test]
fn a_release_that_crossed_a_close_for_room_is_heard_on_a_new_connection() {
    // Room for three connections to servers.
    let mut world = World::with(|text| text.replace("\"sockets\":256", "\"sockets\":64"));
    let (server_c, server_d) = ("127.0.1.3:5070", "127.0.1.4:5070");
    world.up.extend([address(server_c), address(server_d)]);
    lists(&mut world, 2, "s-b", "127.0.1.2:5070", "draining");
    world.tell_lines();
    let caller = world.caller();
    // Two calls stand at the first server, each on a connection of its own.
    let set_up = |world: &mut World, number: u64, open: &mut Vec<(lemoncleat_access::ConnId, _)>| {
        world.bytes(caller, &invite(&format!("{number:016x}"), "voice", "dest:0;width:1;via:-1"));
        let (_, conn, asked) = world.invited();
        open.push((conn, asked));
    };
    let mut open = Vec::new();
    set_up(&mut world, 1, &mut open);
    set_up(&mut world, 2, &mut open);
    let (first, second) = (open[0].0, open[1].0);
    assert!(first != second && world.to(server_a()) == [first, second]);
    for (conn, asked) in open.drain(..) {
        world.bytes(conn, &ok(&asked));
        world.pass(MS);
    }
    // Calls to new servers take the room of what is missed least: of the last server's, then of the first call's.
    lists(&mut world, 3, "s-a", "127.0.1.1:5070", "draining");
    lists(&mut world, 4, "s-c", server_c, "up");
    set_up(&mut world, 3, &mut open);
    assert!(world.to(server_b()).is_empty() && world.to(server_a()) == [first, second]);
    lists(&mut world, 5, "s-c", server_c, "draining");
    lists(&mut world, 6, "s-d", server_d, "up");
    set_up(&mut world, 4, &mut open);
    assert_eq!(world.to(server_a()), [second], "closed for room");
    // The first call's release went there and was not read. All servers go on telling their state.
    for (conn, asked) in open {
        world.bytes(conn, &ok(&asked));
    }
    let fresh = (0..25).find_map(|_| {
        world.pass(100 * MS);
        for to in [server_a(), address(server_c), address(server_d)] {
            for conn in world.to(to) {
                world.bytes(conn, &notify("x0:40;x1:40"));
            }
        }
        world
            .every
            .iter()
            .rev()
            .find(|(to, _)| *to == server_a())
            .map(|(_, conn)| *conn)
            .filter(|c| *c > second)
    });
    let fresh = fresh.expect("a new connection within 2.5 s");
    world.read(caller);
    world.bytes(fresh, &bye("0000000000000001", 16));
    assert_eq!(methods(&world.read(caller)), [lemoncleat_sip::Method::Bye]);
}

/// A release that comes while the only way to its server is in doubt goes out once that connection is heard again.
#[test]
fn a_release_that_had_no_way_goes_out_once_its_connection_is_heard_again() {
    // One connection to each server.
    let mut world = World::with(|text| text.replace("\"balancers\":2", "\"balancers\":300"));
    lists(&mut world, 2, "s-b", "127.0.1.2:5070", "removed");
    world.tell_lines();
    let caller = world.caller();
    let (_, conn) = world.standing_call(caller, ID);
    // Two more are out; one of them is given up in silence, and the other keeps the connection open.
    let (one, other) = ("00000000000000a1", "00000000000000a2");
    world.bytes(caller, &invite_for(one, "voice", "dest:0;width:1;via:-1", "9000"));
    world.bytes(caller, &invite_for(other, "voice", "dest:0;width:1;via:-1", "9000"));
    assert_eq!(world.invites().len(), 2);
    world.pass(200 * MS);
    world.up.clear();
    world.bytes(caller, &about(lemoncleat_sip::Method::Cancel, one));
    world.raw(conn);
    world.bytes(caller, &bye(ID, 16));
    assert!(world.raw(conn).is_empty(), "in doubt");
    world.bytes(conn, &notify("x0:40;x1:40"));
    assert_eq!(methods(&world.read(conn)), [lemoncleat_sip::Method::Bye]);
}

/// A caller's release while its server has no connection and is removed from the list: it goes out on the connection
/// that comes up, and a server whose process is gone is forgotten all the same.
#[test]
fn a_release_owed_to_a_removed_server_is_written_before_it_is_forgotten() {
    for comes_back in [true, false] {
        let mut world = World::new();
        world.tell_lines();
        let caller = world.caller();
        let (server, _) = world.standing_call(caller, ID);
        let name = if server == server_a() { "s-a" } else { "s-b" };
        world.up.remove(&server);
        for conn in world.to(server) {
            world.close(conn);
        }
        world.pass(100 * MS);
        world.bytes(caller, &bye(ID, 16));
        lists(&mut world, 2, name, &server.to_string(), "removed");
        if comes_back {
            world.up.insert(server);
            world.pass(200 * MS);
            let conn = world.every.iter().rev().find(|(to, _)| *to == server).expect("it is dialled").1;
            assert_eq!(methods(&world.read(conn)), [lemoncleat_sip::Method::Bye]);
        } else {
            world.fail_dials(true);
        }
        let told = world.tables();
        assert!(matches!(told, lemoncleat_access::Notice::Tables { servers: 1, .. }), "{told}");
    }
}

/// An answer in two pieces, cut behind each of its bytes, and one that comes byte by byte and slowly: it is passed on
/// whole, once.
#[test]
fn an_answer_that_is_cut_at_any_byte_or_trickles_is_passed_on_whole() {
    for at in 0.. {
        // The module does not look for another way meanwhile.
        let mut world = World::with(|text| text.replace("\"cancelling\":true", "\"cancelling\":false"));
        let caller = world.caller();
        world.bytes(caller, &invite(ID, "voice", "dest:0;width:1;via:-1"));
        let (_, conn, asked) = world.invited();
        let answer = ok(&asked);
        if at < answer.len() {
            world.bytes(conn, &answer[..at]);
            world.pass(50 * MS);
            world.bytes(conn, &answer[at..]);
        } else {
            for byte in &answer {
                world.bytes(conn, std::slice::from_ref(byte));
                world.pass(3 * MS);
            }
        }
        let answers = world.read(caller);
        assert_eq!((codes(&answers), answers[0].body()), (vec![200], ANSWER), "cut at {at}");
        assert_eq!(methods(&world.read(conn)), [lemoncleat_sip::Method::Ack]);
        if at == answer.len() {
            break;
        }
    }
}

/// An answer that breaks off behind any of its bytes, by a close: the attempt is over, what is passed on is another
/// server's answer or a refusal, never a part.
#[test]
fn an_answer_that_breaks_off_at_any_byte_is_never_passed_on() {
    for at in 0.. {
        let mut world = World::new();
        let caller = world.caller();
        world.bytes(caller, &invite(ID, "voice", "dest:0;width:1;via:-1"));
        let (_, conn, asked) = world.invited();
        let answer = ok(&asked);
        if at == answer.len() {
            break;
        }
        world.bytes(conn, &answer[..at]);
        world.close(conn);
        world.pass(2 * SECOND);
        let answers = world.read(caller);
        assert_eq!(codes(&answers).len(), 1, "broken off at {at}");
        assert!(codes(&answers)[0] >= 300, "broken off at {at}");
    }
}

/// An answer that stops within any of its bytes while the connection stays open: the attempt does not wait for the
/// rest until its caller's time is over.
#[test]
fn an_answer_that_stops_at_any_byte_ends_its_attempt() {
    for at in 1.. {
        let mut world = World::new();
        let caller = world.caller();
        world.bytes(caller, &invite(ID, "voice", "dest:0;width:1;via:-1"));
        let (_, conn, asked) = world.invited();
        let answer = ok(&asked);
        if at == answer.len() {
            break;
        }
        world.bytes(conn, &answer[..at]);
        world.pass(600 * MS);
        assert!(world.closed.contains(&conn), "stopped at {at}");
    }
}
