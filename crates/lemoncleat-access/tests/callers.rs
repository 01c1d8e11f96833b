//! Callers that send malformed or unusable messages, and connection floods.

mod common;

use common::*;
use lemoncleat_access::Input;
use lemoncleat_sip::{request, Message, Method};

const ID: &str = "9b1f03aa5c7e2d41";
const LEGS: &str = "dest:0;width:1;via:-1";

/// Returns the node's messages and whether it closed the connection, three seconds after a caller connected
/// and sent these bytes.
fn outcome(harness: &mut Harness, bytes: &[u8]) -> (Vec<Message>, bool) {
    let caller = harness.connect_caller();
    for piece in bytes.chunks(16 * 1024) {
        if !harness.closed.contains(&caller) {
            harness.bytes(caller, piece);
        }
    }
    harness.advance(3 * SECOND);
    (harness.read(caller), harness.closed.contains(&caller))
}

fn modified_set_up(change: impl Fn(String) -> String) -> Vec<u8> {
    change(String::from_utf8(invite(ID, "voice", LEGS)).expect("text")).into_bytes()
}

#[test]
fn refuses_invalid_set_ups_without_contacting_a_server() {
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
        let mut harness = Harness::new();
        let (answers, _) = outcome(&mut harness, &modified_set_up(change));
        assert_eq!(codes(&answers), [400], "{kind}");
        assert!(harness.invites().is_empty(), "{kind}");
    }
}

#[test]
fn answers_malformed_input_where_possible_and_closes() {
    let kinds: [(&str, Vec<u8>, Option<u16>); 9] = [
        ("noise", b"\x00\x01\x02\xff\xfe\r\n\r\n".to_vec(), Some(400)),
        ("another protocol", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(), Some(400)),
        (
            "a head without an end",
            modified_set_up(|text| text.replace("\r\n\r\n", &"\r\nX: y".repeat(4_000))),
            Some(413),
        ),
        (
            "a length below zero",
            modified_set_up(|text| text.replace("Content-Length: ", "Content-Length: -")),
            Some(400),
        ),
        (
            "two lengths",
            modified_set_up(|text| text.replace("Content-Length: ", "Content-Length: 9\r\nContent-Length: ")),
            Some(400),
        ),
        (
            "60 MB",
            modified_set_up(|text| text.replace("Content-Length: ", "Content-Length: 60000000")),
            Some(413),
        ),
        ("half a request", invite(ID, "voice", LEGS)[..60].to_vec(), None),
        (
            "a body that does not come",
            modified_set_up(|text| text.replace("Content-Length: ", "Content-Length: 9")),
            None,
        ),
        ("nothing", Vec::new(), None),
    ];
    for (kind, bytes, code) in kinds {
        let mut harness = Harness::new();
        let (answers, closed) = outcome(&mut harness, &bytes);
        assert_eq!(codes(&answers), Vec::from_iter(code), "{kind}");
        assert!(closed, "{kind}");
        assert!(harness.invites().is_empty(), "{kind}");
    }
}

#[test]
fn refuses_requests_about_unknown_calls() {
    let mut harness = Harness::new();
    for (method, code) in [
        (Method::Bye, 481),
        (Method::Cancel, 481),
        (Method::Notify, 489),
        (Method::Other("INFO".into()), 501),
    ] {
        let (answers, _) = outcome(&mut harness, &request_about(method.clone(), ID));
        assert_eq!(codes(&answers), [code], "{method:?}");
    }
    // A message that requires no response gets none, and the connection is closed as unused.
    let (answers, closed) = outcome(&mut harness, &request_about(Method::Ack, ID));
    assert!(answers.is_empty() && closed);
}

#[test]
fn closes_connection_that_sends_only_unusable_messages() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    for _ in 0..20 {
        if !harness.closed.contains(&caller) {
            harness.bytes(caller, &modified_set_up(|text| text.replace("voice", "gold")));
        }
    }
    assert!(harness.closed.contains(&caller));
    assert!(harness.read(caller).len() < 20);
}

#[test]
fn serves_callers_during_flood_of_silent_connections() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, forwarded) = harness.single_invite();
    let flood: Vec<_> = (0..1_000).map(|_| harness.connect_caller()).collect();
    let open = flood.iter().filter(|conn| !harness.closed.contains(conn)).count();
    assert!(open <= 140, "{open} of 256 descriptors");
    assert!(!harness.closed.contains(&caller), "it has a set-up open");
    // A caller that connects now and sends a request is served.
    let late = harness.connect_caller();
    harness.bytes(late, &invite("00000000000000a1", "voice", LEGS));
    let (_, other, wanted) = harness.single_invite();
    harness.bytes(other, &ok(&wanted));
    harness.bytes(conn, &ok(&forwarded));
    assert_eq!((codes(&harness.read(late)), codes(&harness.read(caller))), (vec![200], vec![200]));
    harness.advance(3 * SECOND);
    assert!(flood.iter().all(|conn| harness.closed.contains(conn)), "silent connections are closed");
}

/// A caller's bytes may be unread in the socket when a flood of connections is accepted after them.
#[test]
fn does_not_close_connection_with_unread_bytes_for_room() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    harness.unread.insert(caller);
    for _ in 0..1_000 {
        harness.connect_caller();
    }
    assert!(!harness.closed.contains(&caller));
    harness.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, forwarded) = harness.single_invite();
    harness.bytes(conn, &ok(&forwarded));
    assert_eq!(codes(&harness.read(caller)), [200]);
}

/// A caller whose connection is gone gets its release on a connection that is known to have had a call, not
/// on the one that a flood used last.
#[test]
fn prefers_verified_connections_for_releases() {
    let mut harness = Harness::new();
    let (caller, verified) = (harness.connect_caller(), harness.connect_caller());
    harness.standing_call(verified, "00000000000000a1");
    let (_, conn) = harness.standing_call(caller, ID);
    harness.close(caller);
    let flood: Vec<_> = (0..100)
        .map(|_| {
            let intruder = harness.connect_caller();
            harness.bytes(intruder, &request_about(Method::Options, "00000000000000a9"));
            harness.read(intruder);
            intruder
        })
        .collect();
    harness.bytes(conn, &bye(ID, 16));
    assert_eq!(methods(&harness.read(verified)), [Method::Bye]);
    harness.advance(SECOND);
    let resent = flood.iter().filter(|intruder| !harness.read(**intruder).is_empty()).count();
    assert!((1..6).contains(&resent), "an unconfirmed release is sent on other connections: {resent}");
}

#[test]
fn leaves_no_state_after_hundreds_of_withdrawals() {
    let mut harness = Harness::new();
    let caller = harness.connect_caller();
    let mut bytes = Vec::new();
    for call in 0..300 {
        let id = format!("{:016x}", 0xabc000 + call);
        bytes.extend(invite(&id, "voice", LEGS));
        bytes.extend(request_about(Method::Cancel, &id));
    }
    for piece in bytes.chunks(16 * 1024) {
        harness.bytes(caller, piece);
    }
    let answers = harness.answers.clone();
    assert_eq!(answers.len(), 300);
    assert!(answers.values().all(|codes| codes.len() == 1));
    let lemoncleat_access::Notice::Tables { open, standing, .. } = harness.table_sizes() else {
        panic!("tables")
    };
    assert_eq!((open, standing), (0, 0));
}

#[test]
fn closes_idle_connection_but_not_one_with_open_set_up() {
    let mut harness = Harness::new();
    let (idle, busy) = (harness.connect_caller(), harness.connect_caller());
    harness.bytes(
        idle,
        &request(Method::Options, "sip:ping@net")
            .header("Call-ID", "1")
            .header("CSeq", "1 OPTIONS")
            .finish(b""),
    );
    harness.bytes(busy, &invite_for(ID, "voice", LEGS, "30000"));
    for _ in 0..11 {
        harness.advance(SECOND);
        if harness.answers.contains_key(ID) {
            break;
        }
        assert!(!harness.closed.contains(&busy));
    }
    harness.advance(12 * SECOND);
    assert!(harness.closed.contains(&idle));
}

/// A caller's patience runs from the arrival of its set-up, even while that waits to be read.
#[test]
fn counts_deadline_from_arrival_when_read_late() {
    let mut harness = Harness::with_config(|text| text.replace("[[0,1],[0,1]]", "[[0],[0]]"));
    harness.advance(5 * SECOND);
    let (caller, started_at) = (harness.connect_caller(), harness.now);
    let modified_set_up = invite_for(ID, "dear", LEGS, "1500");
    harness.input(Input::DelayedBytes(caller, &modified_set_up, 600 * MS));
    assert_eq!(harness.invites().len(), 1, "there is time for an attempt");
    while harness.answers.is_empty() && harness.now < started_at + 2 * SECOND {
        harness.advance(5 * MS);
    }
    assert!(
        harness.now <= started_at + 900 * MS,
        "answered {} ms after it was read",
        (harness.now - started_at) / MS
    );
    // A set-up past its deadline is answered at once, and no server is contacted.
    let late = invite_for("00000000000000d1", "dear", LEGS, "1500");
    harness.input(Input::DelayedBytes(caller, &late, 1_600 * MS));
    harness.input(Input::Timeout);
    assert!(harness.invites().is_empty());
    assert_eq!(harness.answers["00000000000000d1"].len(), 1);
}

/// A node short of processor time considers a connection idle although its set-up has not been read yet.
#[test]
fn does_not_close_idle_connection_with_unread_bytes() {
    let mut harness = Harness::new();
    let (used, silent) = (harness.connect_caller(), harness.connect_caller());
    harness.bytes(used, &request_about(Method::Options, "00000000000000f1"));
    harness.unread = [used, silent].into();
    harness.advance(15 * SECOND);
    assert!(!harness.closed.contains(&used) && !harness.closed.contains(&silent));
    harness.bytes(used, &invite(ID, "voice", LEGS));
    let (_, conn, forwarded) = harness.single_invite();
    harness.bytes(conn, &ok(&forwarded));
    assert_eq!(harness.answers[ID], [200]);
    harness.unread.clear();
    harness.advance(15 * SECOND);
    assert!(harness.closed.contains(&used) && harness.closed.contains(&silent));
}
