//! The watch on the journal service, through everything that may happen to it.

mod common;

use std::net::SocketAddr;

use common::*;
use lemoncleat_access::{ConnId, Input, Micros, Notice};

/// How long a dial to the journal service may take at most; the driver keeps the time.
const DIAL: Micros = SECOND;

fn hosts(pos: u64, snapshot: bool, endpoints: &str) -> String {
    format!(
        "{{\"pos\":{pos},\"hosts\":{{\"index\":{pos},\"snapshot\":{snapshot},\"endpoints\":[{endpoints}]}}}}\n"
    )
}

fn endpoint(name: &str, address: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"east","type":"std","group":0,"status":"{status}","weight":1,"since_ms":0}}"#
    )
}

fn drains(pos: u64) -> String {
    hosts(pos, false, &endpoint("s-a", "127.0.1.1:5070", "draining"))
}

/// Where the next call goes, or that it is refused.
fn goes_to(world: &mut World, id: u64) -> Option<SocketAddr> {
    let caller = world.caller();
    world.bytes(caller, &invite(&format!("{id:016x}"), "voice", "dest:0;width:1;via:-1"));
    let invites = world.invites();
    assert!(invites.len() < 2);
    for (_, conn, asked) in &invites {
        world.bytes(*conn, &ok(asked));
    }
    invites.first().map(|(to, ..)| *to)
}

fn watch(world: &World) -> ConnId {
    let open = world.to(journal());
    assert_eq!(open.len(), 1, "one watch is up");
    open[0]
}

/// Lets time pass before a journal service that takes no connection up; gives when each dial began and ended.
/// A dial fails at once (`refused`), or at its time.
fn dials_in_vain(world: &mut World, span: Micros, refused: bool) -> Vec<(Micros, Micros)> {
    dials_in_vain_to(world, journal(), span, refused)
}

fn dials_in_vain_to(world: &mut World, to: SocketAddr, span: Micros, refused: bool) -> Vec<(Micros, Micros)> {
    let until = world.now + span;
    let mut all = Vec::new();
    let mut under_way = None;
    while world.now < until {
        let dial = world.dials.iter().find(|(_, held)| *held == to).map(|(dial, _)| *dial);
        if let Some(dial) = dial {
            let (held, since) = *under_way.get_or_insert((dial, world.now));
            assert_eq!(held, dial, "one dial at a time");
            if refused || world.now - since >= DIAL {
                all.push((since, world.now));
                under_way = None;
                world.dials.retain(|(held, _)| *held != dial);
                world.input(Input::DialFailed { dial, refused });
            }
        }
        world.pass(10 * MS);
    }
    all
}

/// An event that breaks off behind each of its bytes, and comes whole on the next connection, twice.
#[test]
fn an_event_that_breaks_off_at_any_byte_is_asked_for_again_and_taken_once() {
    let line = drains(2);
    for at in 0..line.len() {
        let mut world = World::new();
        let first = watch(&world);
        assert_eq!(world.raw(first), b"tail 1\n");
        world.bytes(first, &line.as_bytes()[..at]);
        world.close(first);
        world.pass(200 * MS);
        let second = watch(&world);
        assert_eq!(world.raw(second), b"tail 1\n", "broken off at {at}");
        // In two pieces, cut at the same place.
        world.bytes(second, &line.as_bytes()[..at]);
        world.bytes(second, &line.as_bytes()[at..]);
        world.bytes(second, line.as_bytes());
        world.bytes(second, b"2\n");
        assert_eq!(watch(&world), second, "an event that comes twice harms nothing");
        assert_eq!(goes_to(&mut world, 1), Some(server_b()));
    }
}

/// Numbers that go back are of what was told before.
#[test]
fn numbers_that_go_back_change_nothing() {
    let mut world = World::new();
    let conn = watch(&world);
    world.bytes(conn, drains(2).as_bytes());
    world.bytes(conn, hosts(1, true, &endpoint("s-a", "127.0.1.1:5070", "up")).as_bytes());
    world.bytes(conn, b"0\n1\n2\n");
    assert_eq!(watch(&world), conn);
    assert_eq!(goes_to(&mut world, 1), Some(server_b()));
}

/// A service that takes no connection up for 8 s: the next dial begins soon after the last one's end, so that
/// the list is there again within 2 s of the service's return, however late in a dial that was.
#[test]
fn behind_a_dial_that_took_its_time_there_is_no_further_pause() {
    let mut world = World::new();
    world.up.remove(&journal());
    let first = watch(&world);
    world.close(first);
    let dials = dials_in_vain(&mut world, 8 * SECOND, false);
    assert!(dials.len() > 6, "{dials:?}");
    for pair in dials.windows(2) {
        assert!(pair[1].0 - pair[0].1 <= 200 * MS, "{dials:?}");
    }
}

/// A service that refuses connections for 8 s is asked ever more seldom, at least once a second, and not by
/// all nodes in step.
#[test]
fn a_service_that_refuses_is_asked_seldom_and_by_each_node_in_its_own_step() {
    let begun = |seed: &str| {
        let mut world = World::with(|text| text.replace("8c1f30d27a5be964", seed));
        world.up.remove(&journal());
        let first = watch(&world);
        world.close(first);
        dials_in_vain(&mut world, 8 * SECOND, true)
    };
    let (one, other) = (begun("8c1f30d27a5be900"), begun("8c1f30d27a5be9ff"));
    for dials in [&one, &other] {
        assert!((8..16).contains(&dials.len()), "{dials:?}");
        assert!(dials.windows(2).all(|pair| pair[1].0 - pair[0].0 <= 1_200 * MS), "{dials:?}");
    }
    assert!((one[6].0 - other[6].0).abs() >= 200 * MS, "{one:?} {other:?}");
}

/// A line that can't be read, each time behind one that can: the service is not asked over and over without a
/// pause, and calls are served meanwhile.
#[test]
fn a_line_that_is_spoilt_each_time_does_not_make_a_tight_loop() {
    let mut world = World::new();
    let mut asked = 0;
    let mut seen = Vec::new();
    for turn in 0..800 {
        if let Some(conn) = world.to(journal()).first().copied().filter(|conn| !seen.contains(conn)) {
            seen.push(conn);
            asked += 1;
            world.bytes(conn, b"1\n{\"pos\":2,\"hosts\":{\"en\n");
            assert!(world.closed.contains(&conn));
        }
        world.pass(10 * MS);
        if turn % 100 == 0 {
            world.tell_lines();
            assert!(goes_to(&mut world, turn).is_some(), "calls are served");
        }
    }
    assert!((8..16).contains(&asked), "asked {asked} times in 8 s");
    // It gets well.
    let conn = (0..200).find_map(|_| {
        world.pass(10 * MS);
        world.to(journal()).first().copied()
    });
    world.bytes(conn.expect("it is asked again"), drains(2).as_bytes());
    assert_eq!(goes_to(&mut world, 9_999), Some(server_b()));
}

/// The whole list holds what the events before it told: one that comes with a number further on is taken.
#[test]
fn a_complete_list_is_taken_whatever_its_number_left_out() {
    let mut world = World::new();
    let conn = watch(&world);
    let both = [endpoint("s-a", "127.0.1.1:5070", "draining"), endpoint("s-b", "127.0.1.2:5070", "up")];
    world.bytes(conn, hosts(7, true, &both.join(",")).as_bytes());
    assert_eq!(watch(&world), conn);
    assert_eq!(goes_to(&mut world, 1), Some(server_b()));
    world.bytes(conn, b"7\n");
    world.close(conn);
    world.pass(200 * MS);
    let next = watch(&world);
    assert_eq!(world.raw(next), b"tail 7\n");
    // A change whose number left something out is not.
    world.bytes(next, drains(9).as_bytes());
    assert!(world.closed.contains(&next));
}

/// The configuration moves the service while a dial to the old place is under way: that dial is given up, and
/// a connection of it that comes up all the same is closed without a word on it.
#[test]
fn a_move_in_mid_connect_leaves_the_old_dial_behind() {
    let mut world = World::down(|text| text);
    world.input(Input::Timeout);
    let (old, _) = *world.dials.iter().find(|(_, to)| *to == journal()).expect("a dial");
    let moved = address("127.0.0.8:7070");
    world.input(Input::JournalAt(moved));
    assert!(
        world.dials.iter().all(|(dial, to)| *dial != old && *to != journal()),
        "the old dial is given up"
    );
    assert_eq!(world.dials.iter().filter(|(_, to)| *to == moved).count(), 1);
    // It crossed that.
    let late = ConnId(9_000);
    world.input(Input::Dialled(old, late));
    assert!(world.closed.contains(&late) && world.raw(late).is_empty());
    world.input(Input::DialFailed { dial: old, refused: true });
    // The same address once more begins nothing anew.
    world.input(Input::JournalAt(moved));
    assert_eq!(world.dials.iter().filter(|(_, to)| *to == moved).count(), 1);
    world.up.insert(moved);
    world.pass(MS);
    let new = world.to(moved)[0];
    assert_eq!(world.raw(new), b"tail 1\n");
}

/// Bytes without the end of a line are not news: a service that trickles, and one that only accepts, are
/// given up like one that is silent.
#[test]
fn a_trickle_without_the_end_of_a_line_counts_as_silence() {
    for trickles in [true, false] {
        let mut world = World::new();
        let first = watch(&world);
        let line = drains(2);
        for at in 0..24 {
            if trickles && !world.closed.contains(&first) {
                world.bytes(first, &line.as_bytes()[at..=at]);
            }
            world.pass(100 * MS);
        }
        assert!(world.closed.contains(&first));
        let second = watch(&world);
        assert_eq!(world.raw(second), b"tail 1\n");
        world.bytes(second, line.as_bytes());
        assert_eq!(goes_to(&mut world, 1), Some(server_b()));
    }
}

/// A name that was removed stands no more for its old address, and the address serves under the new name.
#[test]
fn an_address_that_returns_under_a_new_name_is_the_new_servers() {
    let mut world = World::new();
    let conn = watch(&world);
    let a = "127.0.1.1:5070";
    let both = [endpoint("s-a", a, "removed"), endpoint("s-new", a, "up")];
    world.bytes(conn, hosts(2, false, &both.join(",")).as_bytes());
    world.bytes(conn, hosts(3, false, &endpoint("s-b", "127.0.1.2:5070", "removed")).as_bytes());
    world.pass(300 * MS);
    world.tell_lines();
    assert_eq!(goes_to(&mut world, 1), Some(server_a()));
    let Notice::Tables { servers, .. } = world.tables() else { unreachable!("a line on the tables") };
    assert_eq!(servers, 1);
}

/// A new server is listed at the address of one that is not told gone yet: what answers there is the new one,
/// and no set-up for the old one may reach it.
#[test]
fn no_set_up_reaches_a_new_server_under_the_name_that_its_address_had() {
    // Calls of this class go to the first pool only; the new server stands in the second.
    let mut world = World::with(|text| text.replace("[[0,1],[0,1]]", "[[0],[0,1]]"));
    world.tell_lines();
    assert_eq!(goes_to(&mut world, 1), Some(server_a()));
    let new = endpoint("s-new", "127.0.1.1:5070", "up").replace("\"group\":0", "\"group\":1");
    let conn = watch(&world);
    let old = world.to(server_a());
    world.bytes(conn, hosts(2, false, &new).as_bytes());
    for conn in old {
        world.close(conn);
    }
    world.pass(300 * MS);
    assert_eq!(world.to(server_a()).len(), 1, "the new server's");
    world.tell_lines();
    assert_eq!(goes_to(&mut world, 2), None);
    world.bytes(conn, hosts(3, false, &endpoint("s-a", "127.0.1.1:5070", "removed")).as_bytes());
    assert_eq!(goes_to(&mut world, 3), None);
}

/// A list may name the newer of two servers at one address first: which of them stands there is told by their starts.
#[test]
fn of_two_servers_listed_at_one_address_the_one_that_started_last_is_there_in_whatever_order_they_stand() {
    for newer_first in [true, false] {
        let mut world = World::with(|text| text.replace("[[0,1],[0,1]]", "[[0],[0,1]]"));
        let address = "127.0.1.1:5070";
        let before = world.to(server_a());
        let newer = endpoint("s-newer", address, "up")
            .replace("\"since_ms\":0", "\"since_ms\":1700000000000")
            .replace("\"group\":0", "\"group\":1");
        let mut both = [newer, endpoint("s-older", address, "up")];
        if !newer_first {
            both.reverse();
        }
        let conn = watch(&world);
        world.bytes(conn, hosts(2, true, &both.join(",")).as_bytes());
        for conn in before {
            world.close(conn);
        }
        world.pass(300 * MS);
        assert_eq!(world.to(server_a()).len(), 1, "newer first: {newer_first}");
        // The class may go to the older one's pool only.
        assert_eq!(goes_to(&mut world, 1), None, "newer first: {newer_first}");
    }
}

/// A server that is down is not dialled by all nodes in step.
#[test]
fn a_server_that_refuses_is_dialled_by_each_node_in_its_own_step() {
    let begun = |seed: &str| {
        let mut world = World::with(|text| text.replace("8c1f30d27a5be964", seed));
        world.up.remove(&server_a());
        for conn in world.to(server_a()) {
            world.close(conn);
        }
        dials_in_vain_to(&mut world, server_a(), 8 * SECOND, true)
    };
    let (one, other) = (begun("8c1f30d27a5be900"), begun("8c1f30d27a5be9ff"));
    for dials in [&one, &other] {
        assert!((8..16).contains(&dials.len()), "{dials:?}");
        assert!(dials.windows(2).all(|pair| pair[1].0 - pair[0].0 <= 1_200 * MS), "{dials:?}");
    }
    assert!((one[6].0 - other[6].0).abs() >= 200 * MS, "{one:?} {other:?}");
}

/// An event that the service itself has in a form that nobody can read: it is asked for once more, and then
/// those behind it are taken.
#[test]
fn an_event_that_can_not_be_read_twice_does_not_hide_those_behind_it() {
    let mut world = World::new();
    let bad = endpoint("s-b", "127.0.1.2:5070", "fine");
    let lines = [hosts(2, false, &bad), drains(3), "3\n".to_owned()].concat();
    let first = watch(&world);
    world.bytes(first, lines.as_bytes());
    assert!(world.closed.contains(&first), "it may have been spoilt on its way");
    world.pass(200 * MS);
    let second = watch(&world);
    assert_eq!(world.raw(second), b"tail 1\n");
    world.bytes(second, lines.as_bytes());
    assert_eq!(watch(&world), second);
    assert_eq!(goes_to(&mut world, 1), Some(server_b()));
    world.close(second);
    world.pass(200 * MS);
    let third = watch(&world);
    assert_eq!(world.raw(third), b"tail 3\n");
}

/// One that was spoilt on its way only is read when it comes again.
#[test]
fn an_event_that_was_spoilt_on_its_way_is_taken_when_it_comes_again() {
    let mut world = World::new();
    let first = watch(&world);
    world.bytes(first, drains(2).replace("draining", "drainin\u{7f}").as_bytes());
    world.pass(200 * MS);
    let second = watch(&world);
    world.bytes(second, drains(2).as_bytes());
    assert_eq!(goes_to(&mut world, 1), Some(server_b()));
    // Neither does an endless nesting do harm.
    let deep = format!("{{\"pos\":3,\"hosts\":{}\n", "[".repeat(100_000));
    world.bytes(second, deep.as_bytes());
    assert!(world.closed.contains(&second));
}

/// A set-up waits for a connection to the only server, which is told to drain: the module hears of that
/// first, and does not choose the same server again.
#[test]
fn a_set_up_that_loses_its_dial_to_a_drain_is_not_chosen_for_the_same_server() {
    let mut world = World::new();
    let conn = watch(&world);
    world.bytes(conn, hosts(2, false, &endpoint("s-b", "127.0.1.2:5070", "removed")).as_bytes());
    world.tell_lines();
    world.up.remove(&server_a());
    for open in world.to(server_a()) {
        world.close(open);
    }
    let caller = world.caller();
    world.bytes(caller, &invite("00000000000000d1", "voice", "dest:0;width:1;via:-1"));
    let before = world.node.stats();
    world.bytes(conn, drains(3).as_bytes());
    world.up.insert(server_a());
    for _ in 0..20 {
        world.pass(100 * MS);
        assert!(world.invites().is_empty(), "a set-up for a server that drains");
    }
    assert_eq!(world.node.stats().attempts, before.attempts);
    assert_eq!(world.answers["00000000000000d1"].len(), 1);
}

/// Figures of an event that are beyond any range, its number among them: calls go on.
#[test]
fn absurd_figures_of_an_event_harm_nothing() {
    for since in ["1e308", "9.3e18", "9223372036854775807", "-1e308", "-9223372036854775808", "1e-320"] {
        for group in ["0", "9223372036854775807", "-9223372036854775808"] {
            let mut world = World::with(|text| text.replace("\"allowed_pools\":[[0,1],[0,1]],", ""));
            let conn = watch(&world);
            let line = endpoint("s-a", "127.0.1.1:5070", "up")
                .replace("\"since_ms\":0", &format!("\"since_ms\":{since}"))
                .replace("\"group\":0", &format!("\"group\":{group}"));
            world.bytes(conn, hosts(2, false, &line).as_bytes());
            world.tell_lines();
            world.pass(30 * SECOND);
            world.tell_lines();
            for id in 0..8 {
                goes_to(&mut world, id);
                world.pass(200 * MS);
            }
            assert!(world.node.stats().stood > 0, "{since} {group}");
        }
    }
    let mut world = World::new();
    let conn = watch(&world);
    let both = [endpoint("s-a", "127.0.1.1:5070", "draining"), endpoint("s-b", "127.0.1.2:5070", "up")];
    world.bytes(conn, hosts(u64::MAX, true, &both.join(",")).as_bytes());
    world.bytes(conn, format!("{{\"pos\":{},\"hosts\":7}}\n", u64::MAX).as_bytes());
    world.pass(5 * SECOND);
    assert_eq!(goes_to(&mut world, 1), Some(server_b()));
}
