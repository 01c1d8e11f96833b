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

/// A connection closed for room may have borne a release at that moment: its server gets a new one, on which
/// it tells it again, though it goes on telling its state on another.
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
    // Calls to new servers take the room of what is missed least: of the last server's, then of the first
    // call's.
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

/// A release that comes while the only way to its server is in doubt goes out once that connection is heard
/// again.
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

/// A caller's release while its server has no connection and is removed from the list: it goes out on the
/// connection that comes up, and a server whose process is gone is forgotten all the same.
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

/// An answer in two pieces, cut behind each of its bytes, and one that comes byte by byte and slowly: it is
/// passed on whole, once.
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

/// An answer that breaks off behind any of its bytes, by a close: the attempt is over, what is passed on is
/// another server's answer or a refusal, never a part.
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

/// An answer that stops within any of its bytes while the connection stays open: the attempt does not wait
/// for the rest until its caller's time is over.
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

/// Absurd figures of a server harm nobody: they are passed over or bounded, and calls go on.
#[test]
fn absurd_figures_of_a_server_harm_nothing() {
    let figures = [
        "-1",
        "0",
        "NaN",
        "inf",
        "-inf",
        "1e308",
        "-1e308",
        "9223372036854775807",
        "1e400",
        "0x7f",
        "",
        "1e-320",
    ];
    let names = ["x0", "x1", "queue", "inflight", "util", "latency_ms", "qps", "eps", "spare", "strange"];
    for figure in figures {
        let mut world = World::new();
        let caller = world.caller();
        let report = names.map(|name| format!("{name}:{figure}")).join(";");
        for conn in [world.to(server_a()), world.to(server_b())].concat() {
            world.bytes(conn, &notify(&report));
            // Repeated without an end, up to a message's bound.
            world.bytes(conn, &notify(&"x0:1;".repeat(2_500)));
        }
        world.bytes(caller, &invite(ID, "voice", "dest:0;width:1;via:-1"));
        for (_, conn, asked) in world.invites() {
            let full = lemoncleat_sip::response(503, "No", &asked)
                .header("X-Diagnosis", "cpu_full")
                .header("X-Lag", figure)
                .header("X-Occupancy", &report)
                .finish(b"");
            world.bytes(conn, &full);
        }
        world.pass(2 * SECOND);
        assert_eq!(world.answers[ID].len(), 1, "{figure}");
        world.tell_lines();
        world.pass(20 * SECOND);
        world.tell_lines();
        let (caller, id) = (world.caller(), "00000000000000b1");
        world.bytes(caller, &invite(id, "dear", "dest:0;width:1;via:-1"));
        for _ in 0..14 {
            world.pass(100 * MS);
            for (_, conn, asked) in world.invites() {
                world.bytes(conn, &ok(&asked));
            }
        }
        assert_eq!(world.answers.get(id).map(Vec::as_slice), Some(&[200][..]), "{figure}");
    }
}

/// What else may come in front of, behind and instead of an answer: each case ends the attempt once and harms
/// no other.
#[test]
fn what_surrounds_an_answer_is_told_apart_from_it() {
    use lemoncleat_sip::{response, Method};
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", "dest:0;width:1;via:-1"));
    let (_, conn, asked) = world.invited();
    // Progress, however much, and an answer to somebody unknown in front of ours; then ours twice and the
    // release.
    let mut bytes = Vec::new();
    for _ in 0..200 {
        bytes.extend(response(183, "Session Progress", &asked).finish(b""));
    }
    let text = String::from_utf8(ok(&asked)).expect("text");
    bytes.extend(text.replace(ID, "00000000000000ff").into_bytes());
    bytes.extend(ok(&asked));
    bytes.extend(ok(&asked));
    bytes.extend(bye(ID, 16));
    bytes.extend(bye(ID, 16));
    world.bytes(conn, &bytes);
    let heard = world.read(caller);
    assert_eq!((codes(&heard), methods(&heard)), (vec![200], vec![Method::Bye]));
    let written = world.read(conn);
    assert_eq!(methods(&written), [Method::Ack], "one for the answer that was waited for");
    assert_eq!(codes(&written), [200, 200], "each release is confirmed");
    // A release in front of the answer ends the attempt; the answer behind it is released, never passed on.
    let id = "00000000000000c1";
    world.bytes(caller, &invite(id, "voice", "dest:0;width:1;via:-1"));
    let (_, conn, asked) = world.invited();
    world.bytes(conn, &[bye(id, 41), ok(&asked)].concat());
    assert!(codes(&world.read(caller)).iter().all(|code| *code != 200));
}

/// The second copy of a refusal comes when a further attempt is out at the same server: it does not end that
/// one.
#[test]
fn a_second_copy_of_a_refusal_does_not_end_the_next_attempt() {
    for code in [503, 500, 504] {
        let mut world = World::new();
        lists(&mut world, 2, "s-b", "127.0.1.2:5070", "removed");
        world.tell_lines();
        let caller = world.caller();
        world.bytes(caller, &invite_for(ID, "voice", "dest:0;width:1;via:-1", "9000"));
        let (_, first, asked) = world.invited();
        let refused = refusal(&asked, code, "all_trunks_busy");
        world.bytes(first, &refused);
        let again = (0..300).find_map(|_| {
            world.pass(10 * MS);
            world.tell_lines();
            world.invites().pop()
        });
        let (_, second, asked) = again.expect("a further attempt");
        world.bytes(first, &refused);
        world.bytes(second, &ok(&asked));
        assert_eq!(world.answers.get(ID).map(Vec::as_slice), Some(&[200][..]), "{code}");
    }
}

/// A release in front of the answer ends the attempt; an answer behind it is acknowledged and released.
#[test]
fn an_answer_behind_the_servers_release_is_released() {
    use lemoncleat_sip::Method;
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", "dest:0;width:1;via:-1"));
    let (_, conn, asked) = world.invited();
    world.bytes(conn, &[bye(ID, 41), ok(&asked)].concat());
    assert!(codes(&world.read(caller)).is_empty());
    let written = world.read(conn);
    assert_eq!((codes(&written), methods(&written)), (vec![200], vec![Method::Ack, Method::Bye]));
}

const MANY: u32 = 200;

fn place_of(number: u32) -> std::net::SocketAddr {
    address(&format!("127.3.0.{}:5070", number + 1))
}

/// A node with 256 descriptors, so 80 connections to servers, before 200 servers that are all down.
fn many_servers() -> World {
    let line = |number: u32| {
        format!(
            r#"{{"name":"s-{number:08x}","address":"{}","zone":"east","type":"std","group":{number},"status":"up"}}"#,
            place_of(number)
        )
    };
    let all: Vec<_> = (0..MANY).map(line).collect();
    World::down(|text| {
        let from = text.find("{\"name\":\"s-a\"").expect("the first server");
        let to = text.find("]}}]},").expect("the end of the list");
        let text = format!("{}{}{}", &text[..from], all.join(","), &text[to..]);
        text.replace("\"balancers\":2", "\"balancers\":300").replace("\"allowed_pools\":[[0,1],[0,1]],", "")
    })
}

/// The whole budget is dials that don't come up: a set-up whose server has none is not refused for that.
#[test]
fn dials_for_which_nobody_waits_make_room_for_a_set_up() {
    let mut world = many_servers();
    world.input(lemoncleat_access::Input::Timeout);
    assert_eq!(world.dials.iter().filter(|(_, to)| *to != journal()).count(), 80);
    let dialled: Vec<_> = world.dials.iter().map(|(_, to)| *to).collect();
    world.up = (0..MANY).map(place_of).filter(|to| !dialled.contains(to)).collect();
    let caller = world.caller();
    let mut met = 0;
    for number in 0..100_u64 {
        let id = format!("{number:016x}");
        world.bytes(caller, &invite(&id, "voice", &format!("dest:{};width:1;via:-1", 2 * number)));
        for (_, conn, asked) in world.invites() {
            world.bytes(conn, &ok(&asked));
            met += 1;
        }
        assert_ne!(world.answers.get(&id).map(Vec::as_slice), Some(&[503][..]), "no room");
    }
    assert!(met > 20, "{met} reached a server");
    assert!(world.dials.len() + world.conns.len() <= 81);
}

/// Calls stand at many more servers than there may be connections: each server gets one in its turn, so that
/// it can tell what ended there, and connections are not torn from one another at every look.
#[test]
fn servers_with_calls_that_outnumber_the_connections_take_turns() {
    let mut world = many_servers();
    world.up = (0..MANY).map(place_of).chain([journal()]).collect();
    world.pass(MS);
    let caller = world.caller();
    let mut held = Vec::new();
    for number in 0..180 {
        let id = format!("{number:016x}");
        world.bytes(caller, &invite(&id, "voice", &format!("dest:{number};width:1;via:-1")));
        let (server, conn, asked) = world.invited();
        world.bytes(conn, &ok(&asked));
        world.bytes(caller, &about(lemoncleat_sip::Method::Ack, &id));
        held.push((server, id));
        world.pass(2 * MS);
    }
    world.pass(2 * SECOND);
    let before = world.every.len();
    for _ in 0..40 {
        world.pass(100 * MS);
        for (_, conn) in world.conns.clone() {
            world.bytes(conn, &notify("x0:40;x1:40"));
        }
        world.bytes(caller, &about(lemoncleat_sip::Method::Options, "00000000000000f0"));
    }
    let opened = &world.every[before..];
    assert!(opened.len() < 2 * 180 + 80, "{} connections in 4 s", opened.len());
    for (server, _) in &held {
        let has = world.conns.iter().any(|(to, _)| to == server);
        assert!(has || opened.iter().any(|(to, _)| to == server), "no turn of {server} within 4 s");
    }
    // A call ends where there is no connection at this moment.
    let bare = held.iter().find(|(server, _)| !world.conns.iter().any(|(to, _)| to == server));
    let (server, id) = bare.expect("a server without a connection").clone();
    world.read(caller);
    let conn = (0..30).find_map(|_| {
        world.pass(100 * MS);
        world.to(server).first().copied()
    });
    world.bytes(conn.expect("its turn"), &bye(&id, 16));
    assert_eq!(methods(&world.read(caller)), [lemoncleat_sip::Method::Bye]);
}

/// A first attempt is answered after it was over here, while a second one is out at the same server: the call that
/// stands by it is released once the second one fails, and not before, for servers tell calls by their id alone.
#[test]
fn a_late_answer_beside_a_further_attempt_at_its_server_is_released_if_that_fails() {
    use lemoncleat_sip::Method;
    for how in ["refused", "answered", "withdrawn", "left", "its connection closed", "its time over"] {
        let mut world = World::new();
        lists(&mut world, 2, "s-b", "127.0.1.2:5070", "removed");
        world.tell_lines();
        let caller = world.caller();
        world.bytes(caller, &invite_for(ID, "voice", "dest:0;width:1;via:-1", "9000"));
        let (_, first, asked) = world.invited();
        // Its server's release ends it here, which its answer has crossed.
        world.bytes(first, &bye(ID, 41));
        let again = (0..800).find_map(|_| {
            world.pass(10 * MS);
            world.tell_lines();
            world.invites().pop()
        });
        let (_, second, again) = again.expect("a further attempt");
        assert!(first != second && !world.closed.contains(&first));
        world.raw(first);
        // Twice, as its server may say it.
        world.bytes(first, &ok(&asked));
        world.bytes(first, &ok(&asked));
        assert_eq!(methods(&world.read(first)), [Method::Ack, Method::Ack], "{how}");
        match how {
            "refused" => world.bytes(second, &refusal(&again, 503, "all_trunks_busy")),
            "answered" => world.bytes(second, &ok(&again)),
            "withdrawn" => world.bytes(caller, &about(Method::Cancel, ID)),
            "left" => world.close(caller),
            "its connection closed" => world.close(second),
            _ => (0..900).for_each(|_| {
                world.pass(10 * MS);
                world.tell_lines();
            }),
        }
        let written = world.read(first);
        let released = written.iter().filter(|message| message.method() == Some(&Method::Bye)).count();
        if how == "answered" {
            assert_eq!((released, &world.answers[ID][..]), (0, &[200][..]));
            world.bytes(caller, &about(Method::Ack, ID));
            world.raw(second);
            world.bytes(caller, &bye(ID, 16));
            assert_eq!(methods(&world.read(second)), [Method::Bye]);
        } else {
            // What a lost connection may have left at its server is released besides.
            let expected = if how == "its connection closed" { 2 } else { 1 };
            assert_eq!(released, expected, "{how}: {:?}", methods(&written));
            assert!(written.iter().all(|message| message.call_id() == Some(ID)), "{how}");
        }
    }
}
