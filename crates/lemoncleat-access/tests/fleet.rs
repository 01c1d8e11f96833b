//! The fleet over notes, beside calls that must not feel it.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::*;
use lemoncleat_access::{ConnId, Input, Micros, Notice};
use lemoncleat_fleet::{MemberId, State};
use lemoncleat_sip::Method;

const TAG: u8 = 0xf1;
const WAY: Micros = 2 * MS;

fn peer(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 9, (number / 250) as u8, (number % 250 + 1) as u8], 7946))
}

/// The configuration of this node among so many.
fn among(number: usize, count: usize) -> impl Fn(String) -> String {
    move |text| {
        let peers: Vec<_> = (0..count).map(|at| format!("\"{}\"", peer(at))).collect();
        text.replace("\"127.0.9.1:7946\",\"127.0.9.2:7946\"", &peers.join(","))
            .replace("\"slot_no\":0", &format!("\"slot_no\":{number}"))
            .replace("8c1f30d27a5be964", &format!("{:x}", 77 + number))
            .replace("\"balancers\":2", &format!("\"balancers\":{count}"))
    }
}

fn node(number: usize, count: usize, joins: bool) -> World {
    let mut world = World::down(among(number, count));
    if joins {
        world.node.join_fleet();
    }
    world.up = BTreeSet::from([server_a(), server_b(), journal()]);
    world
}

fn lines(world: &World) -> Vec<String> {
    let lines = world.notices.iter().filter(|notice| is_fleets(notice));
    lines.map(ToString::to_string).collect()
}

fn is_fleets(notice: &Notice) -> bool {
    matches!(notice, Notice::Module(line) if line.starts_with("fleet: "))
}

/// Nodes with a network for notes between them.
struct Tier {
    now: Micros,
    nodes: Vec<Option<World>>,
    flying: BTreeMap<(Micros, u64), (usize, usize, Vec<u8>)>,
    numbers: BTreeMap<SocketAddr, usize>,
    told: (u64, u64),
    turns: u64,
    /// What the nodes themselves took of the processor.
    used: Duration,
}

impl Tier {
    fn new(count: usize, joins: bool) -> Tier {
        let mut nodes: Vec<_> = (0..count).map(|number| Some(node(number, count, joins))).collect();
        nodes.iter_mut().flatten().for_each(|world| world.input(Input::Timeout));
        let numbers = (0..count).map(|number| (peer(number), number)).collect();
        Tier { now: 0, nodes, flying: BTreeMap::new(), numbers, told: (0, 0), turns: 0, used: Duration::ZERO }
    }

    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        loop {
            let wakes = self.nodes.iter().flatten().filter_map(|world| world.node.wake());
            let arrival = self.flying.keys().next().map(|(at, _)| *at);
            let Some(next) = wakes.chain(arrival).min().filter(|next| *next <= until) else { break };
            self.now = self.now.max(next);
            while let Some(note) = self.flying.first_entry().filter(|note| note.key().0 <= self.now) {
                let (from, to, bytes) = note.remove();
                self.turn(to, Some((peer(from), &bytes)));
            }
            for at in 0..self.nodes.len() {
                let wake = self.nodes[at].as_ref().and_then(|world| world.node.wake());
                if wake.is_some_and(|wake| wake <= self.now) {
                    self.turn(at, None);
                }
            }
        }
        self.now = until;
    }

    /// One turn of a node as its driver gives it: what came, then the time.
    fn turn(&mut self, at: usize, note: Option<(SocketAddr, &[u8])>) {
        let Some(world) = &mut self.nodes[at] else { return };
        self.turns += 1;
        world.now = self.now;
        let began = Instant::now();
        if let Some((from, bytes)) = note {
            world.input(Input::Datagram(from, bytes));
            assert!(world.told.is_empty(), "the fleet's turn comes later");
        }
        world.input(Input::Timeout);
        self.used += began.elapsed();
        for (to, bytes) in std::mem::take(&mut world.told) {
            assert!(bytes.len() <= 256 && bytes[0] == TAG, "{} bytes", bytes.len());
            let to = self.numbers[&to];
            assert_ne!(to, at, "nobody tells itself");
            self.told = (self.told.0 + 1, self.told.1 + bytes.len() as u64);
            self.flying.insert((self.now + WAY, self.told.0), (at, to, bytes));
        }
    }

    fn held(&self, at: usize, of: usize) -> State {
        let fleet = self.nodes[at].as_ref().and_then(|world| world.node.fleet()).expect("a member");
        let id = MemberId::of(&of.to_string());
        fleet.members().find(|(member, ..)| *member == id).expect("a member").2
    }

    /// Whether each that is there holds all that are there for alive, and all others for gone.
    fn settled(&self) -> bool {
        let there = |at: usize| self.nodes[at].is_some();
        let right = |at, of| self.held(at, of) == if there(of) { State::Alive } else { State::Gone };
        (0..self.nodes.len()).filter(|at| there(*at)).all(|at| (0..self.nodes.len()).all(|of| right(at, of)))
    }
}

#[test]
fn three_nodes_know_one_another_and_one_that_falls_silent_is_gone_until_it_is_back() {
    let mut tier = Tier::new(3, true);
    tier.pass(5 * SECOND);
    assert!(tier.settled(), "all are there");
    tier.nodes[2] = None;
    tier.pass(15 * SECOND);
    assert!(tier.settled(), "one is gone");
    let told = lines(tier.nodes[0].as_ref().expect("a node"));
    let at = |what: &str| told.iter().position(|line| line.starts_with(what));
    let (alive, suspect, gone) =
        (at("fleet: 2 is alive"), at("fleet: 2 is suspect"), at("fleet: 2 is gone, 2 alive"));
    assert!(alive.is_some() && alive < suspect && suspect < gone, "{told:?}");

    // It starts within the second of its last start, by its clock: the fleet remembers, and it goes on above that.
    let mut again = node(2, 3, true);
    again.now = tier.now;
    tier.nodes[2] = Some(again);
    tier.pass(10 * SECOND);
    assert!(tier.settled(), "it is back");
    for world in tier.nodes.iter().flatten() {
        assert_eq!(world.node.stats().peer_messages, 0, "the module was told nothing of it");
        let stats = world.node.fleet().expect("a member").stats();
        assert_eq!((stats.unreadable, stats.strangers, stats.impostors), (0, 0, 0));
    }
}

#[test]
fn strangers_garbage_and_what_is_too_long_are_not_heard() {
    let mut tier = Tier::new(3, true);
    tier.pass(5 * SECOND);
    let world = tier.nodes[0].as_mut().expect("a node");
    let stats = |world: &World| world.node.fleet().expect("a member").stats();
    let (before, long) = (stats(world), [TAG; 257]);
    let cases: [(SocketAddr, &[u8], u64, u64); 8] = [
        (address("127.0.0.77:7946"), &[TAG, 1, 2], 0, 0),
        (address("127.9.0.2:7947"), &[TAG, 1, 2], 0, 0),
        (peer(1), &long, 0, 0),
        (peer(1), &[], 1, 0),
        (peer(1), &[7, TAG], 1, 0),
        (peer(1), &[TAG], 0, 1),
        (peer(1), &long[..256], 0, 1),
        (peer(1), &[TAG, 255, 255, 255, 255, 255, 255], 0, 1),
    ];
    for (from, bytes, module, unreadable) in cases {
        let (notes, unread) = (world.node.stats().peer_messages, stats(world).unreadable);
        world.input(Input::Datagram(from, bytes));
        world.input(Input::Timeout);
        let got = (world.node.stats().peer_messages - notes, stats(world).unreadable - unread);
        assert_eq!(got, (module, unreadable), "{from} {bytes:?}");
    }
    assert_eq!(stats(world).heard, before.heard);
    let told = lines(world).into_iter().filter(|line| line.contains("can't be read")).count();
    assert_eq!(told, 1, "one line a minute");

    // A flood before the next turn: only so many wait, and a turn takes only some of them.
    let unread = stats(world).unreadable;
    (0..1_000).for_each(|_| world.input(Input::Datagram(peer(1), &[TAG])));
    assert_eq!(stats(world).unreadable, unread, "it is not yet the fleet's turn");
    world.input(Input::Timeout);
    assert_eq!((stats(world).unreadable - unread, world.node.wake()), (16, Some(world.now)));
    world.pass(SECOND);
    assert_eq!(stats(world).unreadable - unread, 64);
    assert!(world.node.wake() > Some(world.now));
    world.told.clear();
    tier.now += SECOND;
    tier.pass(5 * SECOND);
    assert!(tier.settled(), "it has harmed nobody");
}

/// What a node did with calls, step by step: callers that come and leave, servers that answer, refuse, fall silent,
/// die, and the end.
fn played(mut world: World, noise: bool) -> Vec<String> {
    let mut dice = 88_172_645_463_325_252_u64;
    let mut draw = move |of: u64| {
        dice ^= dice << 13;
        dice ^= dice >> 7;
        dice ^= dice << 17;
        dice % of
    };
    let mut log = Vec::new();
    world.pass(MS);
    world.tell_lines();
    let mut callers: Vec<ConnId> = (0..4).map(|_| world.caller()).collect();
    let mut stand: Vec<(ConnId, String)> = Vec::new();
    for step in 0..600 {
        let at = draw(4) as usize;
        if step % 10 == 0 {
            world.tell_lines();
        }
        if stand.len() > 8 {
            let (conn, id) = stand.remove(0);
            if !world.closed.contains(&conn) {
                let cause = if draw(4) == 0 { 41 } else { 16 };
                world.bytes(conn, &bye(&id, cause));
            }
        }
        if world.closed.contains(&callers[at]) {
            callers[at] = world.caller();
        }
        let (caller, id) = (callers[at], format!("{step:016x}"));
        match draw(8) {
            0 => world.bytes(caller, &about(Method::Cancel, &format!("{:016x}", step - 1))),
            1 if step % 50 == 1 => {
                let conn = world.to(server_a()).first().copied();
                conn.into_iter().for_each(|conn| world.close(conn));
            }
            kind => {
                let class = if kind < 5 { "voice" } else { "dear" };
                world.bytes(caller, &invite(&id, class, &format!("dest:{};width:1;via:-1", kind % 2)));
            }
        }
        if noise {
            world.input(Input::Datagram(peer(1), &[TAG, step as u8, 1]));
            world.input(Input::Datagram(address("127.0.0.77:7946"), &[TAG, 3]));
        }
        for (to, conn) in world.every.clone() {
            let bytes = world.raw(conn);
            log.push(format!("{step} {to} {conn:?} {}", String::from_utf8_lossy(&bytes)));
            if to == journal() {
                continue;
            }
            for asked in messages(&bytes).iter().filter(|one| one.method() == Some(&Method::Invite)) {
                match draw(6) {
                    0 => {}
                    1 => world.bytes(conn, &refusal(asked, 503, "all_trunks_busy")),
                    2 => world.bytes(conn, &refusal(asked, 486, "")),
                    _ if world.closed.contains(&conn) => {}
                    _ => {
                        world.bytes(conn, &ok(asked));
                        stand.extend(asked.call_id().map(|id| (conn, id.to_owned())));
                    }
                }
            }
        }
        world.pass(draw(60) as Micros * MS);
        for conn in &callers {
            let bytes = world.raw(*conn);
            log.push(format!("{step} {conn:?} {}", String::from_utf8_lossy(&bytes)));
        }
        log.push(format!("{step} {:?} {:?}", world.closed, world.dials));
    }
    world.input(Input::Terminate);
    world.pass(60 * SECOND);
    log.extend(world.notices.iter().filter(|one| !is_fleets(one)).map(ToString::to_string));
    log.push(format!("{:?} {:?} {}", world.answers, world.node.stats(), world.stopped));
    let stats = world.node.stats();
    let every_sort = stats.stood > 50 && stats.refused > 5 && stats.cut > 5 && stats.given_up > 5;
    assert!(world.stopped && every_sort, "{} {stats:?}", world.stopped);
    log
}

#[test]
fn calls_are_answered_the_same_whether_the_fleet_is_off_silent_or_disturbed() {
    let off = played(node(0, 3, false), false);
    assert_eq!(off, played(node(0, 3, false), false), "the same inputs give the same outputs");
    assert_eq!(off, played(node(0, 3, true), false), "on, and all others silent");
    assert_eq!(off, played(node(0, 3, true), true), "on, and others talk nonsense");
    assert_eq!(off, played(node(0, 3, false), true), "off, and others have it on");
}

#[test]
fn nothing_is_told_where_it_is_off_or_notes_are_not_allowed() {
    let quiet = |mut world: World| {
        world.pass(30 * SECOND);
        world.input(Input::Datagram(peer(1), &[TAG, 1]));
        assert!(
            world.told.is_empty() && world.node.fleet().is_none() && world.node.stats().peer_messages == 0
        );
        lines(&world)
    };
    assert!(quiet(node(0, 3, false)).is_empty());
    let alone = |change: &dyn Fn(String) -> String| {
        let mut world = World::down(change);
        world.node.join_fleet();
        quiet(world)
    };
    let forbidden =
        alone(&|text| among(0, 3)(text).replace("\"peer_messages\":true", "\"peer_messages\":false"));
    assert_eq!(forbidden, ["fleet: alone: the settings allow no messages between nodes"]);
    assert_eq!(alone(&among(3, 3)), ["fleet: alone: 3 is not among the members"]);
    assert_eq!(alone(&among(0, 1_025)), ["fleet: alone: 1025 members; at most 1024"]);
}

#[test]
fn the_largest_tier_can_join_and_a_start_does_not_fill_the_log() {
    let world = node(1_023, 1_024, true);
    assert_eq!(world.node.fleet().expect("no two numbers have one digest").members().count(), 1_024);
    let mut tier = Tier::new(60, true);
    tier.pass(9 * SECOND);
    let told = lines(tier.nodes[7].as_ref().expect("a node")).len();
    assert!((20..=22).contains(&told), "{told} lines");
}

#[test]
fn a_node_that_ends_tells_its_counts_and_then_nothing() {
    let mut tier = Tier::new(3, true);
    tier.pass(5 * SECOND);
    let world = tier.nodes[1].as_mut().expect("a node");
    world.input(Input::Terminate);
    tier.pass(5 * SECOND);
    let world = tier.nodes[1].as_mut().expect("a node");
    assert!(world.stopped);
    let told = lines(world);
    assert!(told.last().is_some_and(|line| line.starts_with("fleet: 3 of 3 alive; ")), "{told:?}");
    world.pass(30 * SECOND);
    assert!(world.told.is_empty() && lines(world) == told);
    tier.pass(10 * SECOND);
    assert_eq!((tier.held(0, 1), tier.held(0, 2)), (State::Gone, State::Alive));
}

/// What it costs. `cargo test --release -p lemoncleat-access --test fleet -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn cost() {
    for count in [9, 64, 300] {
        for joins in [false, true] {
            let mut tier = Tier::new(count, joins);
            let mut settled = None;
            for half in 1..=120 {
                tier.pass(SECOND / 2);
                if joins && settled.is_none() && tier.settled() {
                    settled = Some(half as f64 / 2.0);
                }
            }
            let (told, bytes, turns, used) = (tier.told.0, tier.told.1, tier.turns, tier.used);
            tier.pass(20 * SECOND);
            let per = |figure: f64| figure / 20.0 / count as f64;
            let used = per((tier.used - used).as_secs_f64() * 1e6);
            println!(
                "{count}, fleet {joins}: {:.1} notes/s, {:.0} bytes/s, {:.1} turns/s, {:.0} us/s a node; all know all after {settled:?} s",
                per((tier.told.0 - told) as f64),
                per((tier.told.1 - bytes) as f64),
                per((tier.turns - turns) as f64),
                used
            );
            if joins {
                tier.nodes[1] = None;
                let began = tier.now;
                while !tier.settled() && tier.now - began < 60 * SECOND {
                    tier.pass(SECOND / 2);
                }
                println!("{count}: killed, known by all after {:.1} s", (tier.now - began) as f64 / 1e6);
            }
        }
    }
}
