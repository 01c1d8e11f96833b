//! Callers that send what can't be read or used, and floods.

mod common;

use common::*;
use lemoncleat_access::Input;
use lemoncleat_sip::{request, Message, Method};

const ID: &str = "9b1f03aa5c7e2d41";
const LEGS: &str = "dest:0;width:1;via:-1";

/// What the node said and whether it closed, three seconds after a caller that sends this connected.
fn outcome(world: &mut World, bytes: &[u8]) -> (Vec<Message>, bool) {
    let caller = world.caller();
    for piece in bytes.chunks(16 * 1024) {
        if !world.closed.contains(&caller) {
            world.bytes(caller, piece);
        }
    }
    world.pass(3 * SECOND);
    (world.read(caller), world.closed.contains(&caller))
}

fn set_up(change: impl Fn(String) -> String) -> Vec<u8> {
    change(String::from_utf8(invite(ID, "voice", LEGS)).expect("text")).into_bytes()
}

#[test]
fn every_kind_of_bad_set_up_is_refused_and_reaches_no_server() {
    type Change = fn(String) -> String;
    let kinds: [(&str, Change); 14] = [
        ("a class that does not exist", |text| text.replace("X-Cos: voice", "X-Cos: gold")),
        ("no class", |text| text.replace("X-Cos: voice\r\n", "")),
        ("two classes", |text| text.replace("X-Cos: voice", "X-Cos: voice\r\nX-Cos: dear")),
        ("a time below zero", |text| text.replace("Ms: 1500", "Ms: -1500")),
        ("no time", |text| text.replace("Ms: 1500", "Ms: 0")),
        ("a time that is no number", |text| text.replace("Ms: 1500", "Ms: soon")),
        ("a time beyond sense", |text| text.replace("Ms: 1500", "Ms: 1e300")),
        ("not a number", |text| text.replace("width:1", "width:NaN")),
        ("a width of nothing", |text| text.replace("width:1", "width:0")),
        ("a place out of range", |text| text.replace("dest:0", "dest:99999999999999999999")),
        ("no id", |text| text.replace("Call-ID: 9b1f03aa5c7e2d41\r\n", "")),
        ("an id that is none", |text| text.replace("9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4")),
        ("two ids", |text| text.replace("Call-ID: 9b1f03aa5c7e2d41", "Call-ID: 9b1f03aa5c7e2d41\r\ni: 00")),
        ("another method's number", |text| text.replace("1 INVITE", "1 BYE")),
    ];
    for (kind, change) in kinds {
        let mut world = World::new();
        let (answers, _) = outcome(&mut world, &set_up(change));
        assert_eq!(codes(&answers), [400], "{kind}");
        assert!(world.invites().is_empty(), "{kind}");
    }
}

#[test]
fn what_can_not_be_read_is_answered_as_far_as_can_be_and_closed() {
    let kinds: [(&str, Vec<u8>, Option<u16>); 9] = [
        ("noise", b"\x00\x01\x02\xff\xfe\r\n\r\n".to_vec(), Some(400)),
        ("another protocol", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(), Some(400)),
        (
            "a head without an end",
            set_up(|text| text.replace("\r\n\r\n", &"\r\nX: y".repeat(4_000))),
            Some(413),
        ),
        (
            "a length below zero",
            set_up(|text| text.replace("Content-Length: ", "Content-Length: -")),
            Some(400),
        ),
        (
            "two lengths",
            set_up(|text| text.replace("Content-Length: ", "Content-Length: 9\r\nContent-Length: ")),
            Some(400),
        ),
        ("60 MB", set_up(|text| text.replace("Content-Length: ", "Content-Length: 60000000")), Some(413)),
        ("half a request", invite(ID, "voice", LEGS)[..60].to_vec(), None),
        (
            "a body that does not come",
            set_up(|text| text.replace("Content-Length: ", "Content-Length: 9")),
            None,
        ),
        ("nothing", Vec::new(), None),
    ];
    for (kind, bytes, code) in kinds {
        let mut world = World::new();
        let (answers, closed) = outcome(&mut world, &bytes);
        assert_eq!(codes(&answers), Vec::from_iter(code), "{kind}");
        assert!(closed, "{kind}");
        assert!(world.invites().is_empty(), "{kind}");
    }
}

#[test]
fn requests_about_calls_that_are_not_known_are_refused() {
    let mut world = World::new();
    for (method, code) in [
        (Method::Bye, 481),
        (Method::Cancel, 481),
        (Method::Notify, 489),
        (Method::Other("INFO".into()), 501),
    ] {
        let (answers, _) = outcome(&mut world, &about(method.clone(), ID));
        assert_eq!(codes(&answers), [code], "{method:?}");
    }
    // What wants no answer leads to none, and the connection is closed for want of use.
    let (answers, closed) = outcome(&mut world, &about(Method::Ack, ID));
    assert!(answers.is_empty() && closed);
}

#[test]
fn a_connection_that_only_brings_what_is_no_use_is_closed() {
    let mut world = World::new();
    let caller = world.caller();
    for _ in 0..20 {
        if !world.closed.contains(&caller) {
            world.bytes(caller, &set_up(|text| text.replace("voice", "gold")));
        }
    }
    assert!(world.closed.contains(&caller));
    assert!(world.read(caller).len() < 20);
}

#[test]
fn a_flood_of_silent_connections_takes_no_room_from_callers() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    let flood: Vec<_> = (0..1_000).map(|_| world.caller()).collect();
    let open = flood.iter().filter(|conn| !world.closed.contains(conn)).count();
    assert!(open <= 140, "{open} of 256 descriptors");
    assert!(!world.closed.contains(&caller), "it has a set-up open");
    // Whoever comes now and says something is served.
    let late = world.caller();
    world.bytes(late, &invite("00000000000000a1", "voice", LEGS));
    let (_, other, wanted) = world.invited();
    world.bytes(other, &ok(&wanted));
    world.bytes(conn, &ok(&asked));
    assert_eq!((codes(&world.read(late)), codes(&world.read(caller))), (vec![200], vec![200]));
    world.pass(3 * SECOND);
    assert!(flood.iter().all(|conn| world.closed.contains(conn)), "silence is closed");
}

/// What a caller sent may lie in the socket when a flood behind it is accepted.
#[test]
fn a_connection_with_something_to_read_is_not_closed_for_room() {
    let mut world = World::new();
    let caller = world.caller();
    world.unread.insert(caller);
    for _ in 0..1_000 {
        world.caller();
    }
    assert!(!world.closed.contains(&caller));
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    world.bytes(conn, &ok(&asked));
    assert_eq!(codes(&world.read(caller)), [200]);
}

/// A caller whose connection is gone is told on one of somebody who is known to have a call, not on whatever a flood
/// brought last.
#[test]
fn releases_pass_over_connections_that_nobody_has_proven() {
    let mut world = World::new();
    let (caller, known) = (world.caller(), world.caller());
    world.standing_call(known, "00000000000000a1");
    let (_, conn) = world.standing_call(caller, ID);
    world.close(caller);
    let flood: Vec<_> = (0..100)
        .map(|_| {
            let rude = world.caller();
            world.bytes(rude, &about(Method::Options, "00000000000000a9"));
            world.read(rude);
            rude
        })
        .collect();
    world.bytes(conn, &bye(ID, 16));
    assert_eq!(methods(&world.read(known)), [Method::Bye]);
    world.pass(SECOND);
    let elsewhere = flood.iter().filter(|rude| !world.read(**rude).is_empty()).count();
    assert!((1..6).contains(&elsewhere), "not heard within its time, it is tried elsewhere: {elsewhere}");
}

#[test]
fn hundreds_of_set_ups_withdrawn_at_once_leave_nothing() {
    let mut world = World::new();
    let caller = world.caller();
    let mut bytes = Vec::new();
    for call in 0..300 {
        let id = format!("{:016x}", 0xabc000 + call);
        bytes.extend(invite(&id, "voice", LEGS));
        bytes.extend(about(Method::Cancel, &id));
    }
    for piece in bytes.chunks(16 * 1024) {
        world.bytes(caller, piece);
    }
    let answers = world.answers.clone();
    assert_eq!(answers.len(), 300);
    assert!(answers.values().all(|codes| codes.len() == 1));
    let lemoncleat_access::Notice::Tables { open, standing, .. } = world.tables() else { panic!("tables") };
    assert_eq!((open, standing), (0, 0));
}

#[test]
fn an_idle_connection_is_closed_and_one_with_a_set_up_is_not() {
    let mut world = World::new();
    let (idle, busy) = (world.caller(), world.caller());
    world.bytes(
        idle,
        &request(Method::Options, "sip:ping@net")
            .header("Call-ID", "1")
            .header("CSeq", "1 OPTIONS")
            .finish(b""),
    );
    world.bytes(busy, &invite_for(ID, "voice", LEGS, "30000"));
    for _ in 0..11 {
        world.pass(SECOND);
        if world.answers.contains_key(ID) {
            break;
        }
        assert!(!world.closed.contains(&busy));
    }
    world.pass(12 * SECOND);
    assert!(world.closed.contains(&idle));
}

/// A caller's time runs from the last byte of its set-up, also while that waits to be read.
#[test]
fn the_deadline_counts_from_when_a_set_up_came_though_it_was_read_later() {
    let mut world = World::with(|text| text.replace("[[0,1],[0,1]]", "[[0],[0]]"));
    world.pass(5 * SECOND);
    let (caller, begun) = (world.caller(), world.now);
    let set_up = invite_for(ID, "dear", LEGS, "1500");
    world.input(Input::Waited(caller, &set_up, 600 * MS));
    assert_eq!(world.invites().len(), 1, "it is still worth an attempt");
    while world.answers.is_empty() && world.now < begun + 2 * SECOND {
        world.pass(5 * MS);
    }
    assert!(world.now <= begun + 900 * MS, "answered {} ms after it was read", (world.now - begun) / MS);
    // One whose time is over is answered at once, and nobody is asked.
    let late = invite_for("00000000000000d1", "dear", LEGS, "1500");
    world.input(Input::Waited(caller, &late, 1_600 * MS));
    world.input(Input::Timeout);
    assert!(world.invites().is_empty());
    assert_eq!(world.answers["00000000000000d1"].len(), 1);
}

/// A node short of processor time finds a connection idle whose set-up it has not read yet.
#[test]
fn an_idle_connection_with_something_unread_is_not_closed() {
    let mut world = World::new();
    let (used, silent) = (world.caller(), world.caller());
    world.bytes(used, &about(Method::Options, "00000000000000f1"));
    world.unread = [used, silent].into();
    world.pass(15 * SECOND);
    assert!(!world.closed.contains(&used) && !world.closed.contains(&silent));
    world.bytes(used, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    world.bytes(conn, &ok(&asked));
    assert_eq!(world.answers[ID], [200]);
    world.unread.clear();
    world.pass(15 * SECOND);
    assert!(world.closed.contains(&used) && world.closed.contains(&silent));
}
