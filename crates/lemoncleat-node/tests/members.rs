//! Nodes of one fleet as one another's peers: by hand, and on a small network under a virtual clock.

mod common;

use std::collections::BTreeMap;

use common::{capabilities, settings, Bench, MS, SECOND};
use lemoncleat::Availability;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, MessageBuilder};
use lemoncleat_node::{
    ConnId, Input, MemberPeer, Micros, Node, NodeSettings, Notice, Output, PeerId, MAX_WORD_BYTES,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OTHER: &str = "n2.example";

fn member(host: &str, port: u16) -> MemberPeer {
    MemberPeer { host: host.into(), address: ([127, 0, 0, 1], port).into() }
}

/// A node, itself the first of two members.
fn with_members() -> NodeSettings {
    let members = vec![member("node.example", 1), member(OTHER, 2)];
    NodeSettings { members, ..settings() }
}

fn fwr(host: &str, id: u32, word: &[u8]) -> Vec<u8> {
    MessageBuilder::request(d::CMD_FLEET, d::APP_NAS, false, id, id)
        .add_str(d::ORIGIN_HOST, host)
        .add_str(d::ORIGIN_REALM, "example")
        .add(d::FLEET_WORD, word)
        .build()
}

/// The member connects to a node by hand.
fn linked() -> (Bench, ConnId) {
    let mut bench = Bench::new(with_members());
    let conn = bench.client(OTHER);
    assert_eq!(bench.links, [(1, true)]);
    (bench, conn)
}

#[test]
fn a_word_goes_each_way_and_is_answered_at_once() {
    let (mut bench, conn) = linked();
    bench.bytes(conn, &fwr(OTHER, 7, b"hello"));
    assert_eq!(bench.heard, [(1, b"hello".to_vec())]);
    assert_eq!(bench.one(conn, "FWA").result(), code::SUCCESS);
    bench.input(Input::Word(1, b"and back"));
    let got = bench.one(conn, "FWR");
    assert_eq!(got.message().find(d::FLEET_WORD).map(|word| word.data), Some(&b"and back"[..]));
    bench.answer(conn, &got, code::SUCCESS);
    assert_eq!((bench.node.stats().words_sent, bench.node.stats().words_heard), (1, 1));
    assert!(!bench.notices.iter().any(|notice| matches!(notice, Notice::UnknownAnswer(..))));
}

#[test]
fn a_word_of_anybody_else_is_refused_as_a_command_that_is_not_known() {
    // The same answer, byte for byte, from a node with members and from one without.
    let mut answers = Vec::new();
    for settings in [with_members(), settings()] {
        let mut bench = Bench::new(settings);
        let (client, server) = (bench.client("front.example"), bench.server("a.example"));
        for (conn, host) in [(client, "front.example"), (server, "a.example")] {
            bench.bytes(conn, &fwr(host, 7, b"x"));
            let got = bench.one(conn, "FWA");
            assert_eq!(got.result(), code::COMMAND_UNSUPPORTED);
            answers.push(got.0);
        }
        assert!(bench.heard.is_empty() && bench.node.stats().turned_away == 2);
        let stranger = bench.conn();
        bench.input(Input::Accepted(stranger));
        let cer = bench.cer("n9.example", 1);
        bench.bytes(stranger, &cer);
        assert_eq!(bench.one(stranger, "CEA").result(), code::UNKNOWN_PEER);
    }
    assert_eq!(answers[..2], answers[2..]);
}

#[test]
fn a_member_says_words_and_nothing_else_and_none_too_long() {
    let (mut bench, conn) = linked();
    let call = common::aar(OTHER, "s;1", 9, 9, false);
    bench.bytes(conn, &call);
    assert_eq!(bench.one(conn, "AAA").result(), code::COMMAND_UNSUPPORTED);
    bench.bytes(conn, &fwr(OTHER, 10, &vec![0; MAX_WORD_BYTES + 1]));
    assert_eq!(bench.one(conn, "FWA").result(), code::INVALID_AVP_LENGTH);
    let empty = MessageBuilder::request(d::CMD_FLEET, d::APP_NAS, false, 11, 11)
        .add_str(d::ORIGIN_HOST, OTHER)
        .add_str(d::ORIGIN_REALM, "example")
        .build();
    bench.bytes(conn, &empty);
    assert_eq!(bench.one(conn, "FWA").result(), code::MISSING_AVP);
    assert!(bench.heard.is_empty() && bench.links.len() == 1);
}

#[test]
fn words_that_do_not_fit_are_dropped_and_counted_and_close_nothing() {
    let (mut bench, conn) = linked();
    bench.input(Input::Word(1, &vec![0; MAX_WORD_BYTES + 1]));
    assert!(bench.notices.contains(&Notice::WordTooLong(OTHER.into(), MAX_WORD_BYTES + 1)));
    for nobody in [0, 2, usize::MAX] {
        bench.input(Input::Word(nobody, b"x"));
        bench.input(Input::Meet(nobody));
        bench.input(Input::Part(nobody));
    }
    assert_eq!(bench.node.stats().words_dropped, 4);
    // The member reads nothing: what waits for it stays below the limit.
    bench.writes = false;
    for _ in 0..100 {
        bench.input(Input::Word(1, &[0; MAX_WORD_BYTES]));
    }
    let stats = bench.node.stats();
    assert_eq!((stats.words_sent, stats.words_sent + stats.words_dropped), (31, 104));
    assert!(bench.closed.is_empty() && bench.links == [(1, true)]);
    // Nor do words that stay unanswered wait without end.
    let (mut bench, conn2) = linked();
    assert_eq!(conn, conn2);
    for _ in 0..2_000 {
        bench.input(Input::Word(1, b"x"));
    }
    assert_eq!(bench.node.stats().words_sent, 1_024);
    for word in bench.take(conn2) {
        bench.answer(conn2, &word, code::SUCCESS);
    }
    bench.input(Input::Word(1, b"x"));
    assert_eq!(bench.node.stats().words_sent, 1_025);
}

#[test]
fn a_flood_of_words_leaves_calls_as_they_are() {
    let (mut bench, member) = linked();
    let (client, server) = (bench.client("front.example"), bench.server("a.example"));
    let flood: Vec<u8> = (0..5_000).flat_map(|id| fwr(OTHER, id, &[7; 200])).collect();
    for (turn, slice) in flood.chunks(8 * 1024).enumerate() {
        let heard = bench.heard.len();
        bench.bytes(member, slice);
        assert!(bench.heard.len() - heard <= 8 * 1024 / 200, "a turn hears what a slice holds");
        if turn % 20 == 0 {
            bench.call(client, &format!("s;{turn}"));
            let attempt = bench.one(server, "AAR");
            bench.answer(server, &attempt, code::SUCCESS);
            assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
        }
    }
    assert_eq!(bench.heard.len(), 5_000);
    assert_eq!(bench.take(member).len(), 5_000);
}

#[test]
fn a_silent_member_is_unlinked_at_the_watchdog_and_linked_when_it_speaks() {
    let (mut bench, conn) = linked();
    // Tw of 1 s, and a third of it to either side: one is sent by 1.34 s, and missed by 2.67 s.
    bench.pass(2_700 * MS);
    assert_eq!(bench.links, [(1, true), (1, false)]);
    bench.input(Input::Word(1, b"x"));
    assert_eq!(bench.node.stats().words_dropped, 1);
    bench.bytes(conn, &fwr(OTHER, 1, b"here"));
    assert_eq!(bench.links, [(1, true), (1, false), (1, true)]);
    assert_eq!(bench.heard.len(), 1, "after the link is told of");
    bench.pass(10 * SECOND);
    assert!(bench.closed.contains(&conn));
    assert_eq!(bench.links.last(), Some(&(1, false)));
    assert!(bench.dials.is_empty(), "nobody asked to meet it");
    // Back after a loss it is linked at its first answer, though RFC 3539 trusts it with calls only later.
    let again = bench.conn();
    bench.input(Input::Accepted(again));
    let cer = bench.cer(OTHER, 1);
    bench.bytes(again, &cer);
    assert_eq!(bench.links.last(), Some(&(1, false)), "it may hear nothing of this node");
    bench.answer_watchdogs(again);
    assert_eq!(bench.links.last(), Some(&(1, true)));
}

#[test]
fn a_gap_in_the_nodes_own_turns_is_no_silence_of_its_members() {
    let (mut bench, conn) = linked();
    bench.away(30 * SECOND);
    bench.bytes(conn, &fwr(OTHER, 1, b"meanwhile"));
    bench.caught_up();
    assert_eq!((bench.links.len(), bench.heard.len()), (1, 1));
}

#[test]
fn who_dialled_parts_in_order_and_nobody_dials_again() {
    let mut bench = Bench::new(with_members());
    bench.input(Input::Meet(1));
    let (peer, to) = bench.dials.remove(0);
    assert_eq!(to.port(), 2);
    let conn = bench.conn();
    bench.input(Input::Dialled(peer, conn));
    let cer = bench.one(conn, "CER");
    bench.bytes(conn, &capabilities(MessageBuilder::answer(&cer.message(), 2001), OTHER, 1));
    bench.input(Input::Part(1));
    assert_eq!(bench.links, [(1, true), (1, false)]);
    let dpr = bench.one(conn, "DPR");
    assert_eq!(dpr.message().number(d::DISCONNECT_CAUSE), Some(2));
    bench.answer(conn, &dpr, code::SUCCESS);
    bench.pass(60 * SECOND);
    assert!(bench.closed.contains(&conn) && bench.dials.is_empty());
    // A connection that the member made is its own to end.
    let theirs = bench.client(OTHER);
    bench.input(Input::Part(1));
    assert!(bench.take(theirs).is_empty());
    assert_eq!(bench.links.last(), Some(&(1, true)));
    // While dialling, parting ends that too; meeting dials until it succeeds.
    bench.input(Input::Closed(theirs));
    bench.input(Input::Meet(1));
    bench.input(Input::Part(1));
    assert!(bench.dials.is_empty(), "the dial is stopped");
    bench.input(Input::Meet(1));
    for _ in 0..20 {
        let (peer, _) = bench.dials.remove(0);
        bench.input(Input::DialFailed(peer));
        // The longest wait is 10 s.
        let waited = (0..11).find(|_| {
            bench.pass(SECOND);
            !bench.dials.is_empty()
        });
        assert!(waited.is_some());
    }
}

#[test]
fn a_node_that_stops_disconnects_members_and_does_not_wait_for_them() {
    let (mut bench, conn) = linked();
    let client = bench.client("front.example");
    bench.input(Input::Stop);
    let dpr = bench.one(client, "DPR");
    assert!(bench.take(conn).is_empty(), "while a client stays the fleet is of use");
    bench.answer(client, &dpr, code::SUCCESS);
    assert_eq!(bench.one(conn, "DPR").message().number(d::DISCONNECT_CAUSE), Some(0));
    assert!(bench.stopped && bench.links.last() == Some(&(1, false)));
}

#[test]
fn a_member_is_neither_client_nor_server() {
    let mut settings = with_members();
    settings.members.push(member("front.example", 3));
    let mut bench = Bench::new(settings);
    bench.list(&[(OTHER, Availability::Ready), ("a.example", Availability::Ready)]);
    assert_eq!(bench.dials.len(), 1);
    let refused = |host: &str| {
        bench.notices.iter().any(|notice| matches!(notice, Notice::PeerRefused(of, _) if &**of == host))
    };
    assert!(refused(OTHER) && refused("front.example") && !refused("node.example"));
}

fn refusals(bench: &Bench, host: &str) -> usize {
    let refused = |notice: &&Notice| matches!(notice, Notice::PeerRefused(of, _) if &**of == host);
    bench.notices.iter().filter(refused).count()
}

#[test]
fn a_machine_is_replaced_its_place_stays_empty_and_the_others_keep_theirs() {
    let mut settings = with_members();
    settings.members.push(member("n3.example", 3));
    let mut bench = Bench::new(settings);
    let (went, stays) = (bench.client(OTHER), bench.client("n3.example"));
    // In another order, and the new one in front.
    let list = vec![member("n4.example", 4), member("n3.example", 3), member("node.example", 1)];
    bench.input(Input::Members(list.clone()));
    assert_eq!(bench.links, [(1, true), (2, true), (1, false)]);
    assert!(
        bench.take(stays).is_empty() && bench.notices.iter().all(|it| !matches!(it, Notice::PeerDown(..)))
    );
    let dpr = bench.one(went, "DPR");
    assert_eq!(dpr.message().number(d::DISCONNECT_CAUSE), Some(2));
    // What it says until then is not heard; what is said to it is dropped.
    bench.bytes(went, &fwr(OTHER, 1, b"still here"));
    bench.input(Input::Word(1, b"x"));
    bench.input(Input::Meet(1));
    assert!(bench.heard.is_empty() && bench.dials.is_empty() && bench.take(went).is_empty());
    assert_eq!((bench.node.stats().words_dropped, bench.node.stats().words_sent), (1, 0));
    bench.answer(went, &dpr, code::SUCCESS);
    assert!(bench.closed.contains(&went));
    // It is a stranger now.
    let again = bench.conn();
    bench.input(Input::Accepted(again));
    let cer = bench.cer(OTHER, 1);
    bench.bytes(again, &cer);
    assert_eq!(bench.one(again, "CEA").result(), code::UNKNOWN_PEER);
    // The new one has the next place; the same list once more changes nothing.
    bench.input(Input::Meet(3));
    assert_eq!(bench.dials.iter().map(|(_, to)| to.port()).collect::<Vec<_>>(), [4]);
    bench.input(Input::Members(list.clone()));
    assert_eq!((bench.dials.len(), bench.links.len()), (1, 3));
    bench.input(Input::Word(2, b"as before"));
    assert_eq!(bench.names(stays), ["FWR"]);
    // Back under its name it gets a place of its own.
    bench.input(Input::Members([list, vec![member(OTHER, 2)]].concat()));
    bench.client(OTHER);
    assert_eq!(bench.links.last(), Some(&(4, true)));
    assert!(refusals(&bench, OTHER) == 0 && refusals(&bench, "node.example") == 0);
}

#[test]
fn a_member_that_goes_while_it_is_dialled_or_lost_is_dialled_no_more() {
    for dialled in [false, true] {
        let mut bench = Bench::new(with_members());
        bench.input(Input::Meet(1));
        let (peer, _) = bench.dials[0];
        if dialled {
            bench.dials.clear();
            bench.input(Input::DialFailed(peer));
        }
        bench.input(Input::Members(vec![member("node.example", 1)]));
        assert!(bench.dials.is_empty(), "the dial is stopped");
        bench.pass(60 * SECOND);
        assert!(bench.dials.is_empty() && bench.links.is_empty());
    }
}

#[test]
fn a_member_of_another_address_is_ended_in_order_and_dialled_there_if_it_is_to_be_met() {
    let moved = || vec![member("node.example", 1), member(OTHER, 9)];
    let mut bench = Bench::new(with_members());
    bench.input(Input::Meet(1));
    let (peer, _) = bench.dials.remove(0);
    let conn = bench.conn();
    bench.input(Input::Dialled(peer, conn));
    let cer = bench.one(conn, "CER");
    bench.bytes(conn, &capabilities(MessageBuilder::answer(&cer.message(), 2001), OTHER, 1));
    bench.input(Input::Members(moved()));
    assert_eq!(bench.links, [(1, true), (1, false)]);
    let dpr = bench.one(conn, "DPR");
    assert_eq!(dpr.message().number(d::DISCONNECT_CAUSE), Some(0));
    bench.answer(conn, &dpr, code::SUCCESS);
    bench.pass(12 * SECOND);
    assert_eq!(bench.dials.iter().map(|(_, to)| to.port()).collect::<Vec<_>>(), [9]);
    // While it is being dialled there, it moves once more.
    bench.input(Input::Members(with_members().members));
    assert_eq!(bench.dials.iter().map(|(_, to)| to.port()).collect::<Vec<_>>(), [2]);
    // A connection that the member made, and that nobody here asked for, is ended and not sought.
    let (mut bench, conn) = linked();
    bench.input(Input::Members(moved()));
    let dpr = bench.one(conn, "DPR");
    bench.answer(conn, &dpr, code::SUCCESS);
    bench.pass(12 * SECOND);
    assert!(bench.dials.is_empty() && bench.closed.contains(&conn));
    let theirs = bench.conn();
    bench.input(Input::Accepted(theirs));
    let cer = bench.cer(OTHER, 1);
    bench.bytes(theirs, &cer);
    assert_eq!(bench.links.last(), Some(&(1, true)));
}

#[test]
fn a_list_that_names_clients_servers_or_one_twice_is_taken_but_for_these() {
    let mut bench = Bench::new(with_members());
    bench.server("a.example");
    let list = || {
        let mut members = with_members().members;
        members.extend([
            member("a.example", 5),
            member("front.example", 6),
            member(OTHER, 7),
            member("n3.example", 8),
        ]);
        members
    };
    bench.input(Input::Members(list()));
    assert_eq!(
        [OTHER, "a.example", "front.example", "n3.example"].map(|host| refusals(&bench, host)),
        [1, 1, 1, 0]
    );
    // They keep the places that they would have.
    for place in 1..6 {
        bench.input(Input::Meet(place));
    }
    assert_eq!(bench.dials.iter().map(|(_, to)| to.port()).collect::<Vec<_>>(), [2, 8]);
    // Calls go on: the client and the server are what they were.
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    assert!(
        bench.node.stats().calls == 1 && bench.notices.iter().all(|it| !matches!(it, Notice::PeerDown(..)))
    );
}

#[test]
fn members_come_back_under_their_names_only_as_often_as_there_are_places() {
    let mut bench = Bench::new(with_members());
    for _ in 0..16 * 1024 {
        bench.input(Input::Members(vec![member("node.example", 1)]));
        bench.input(Input::Members(with_members().members));
    }
    assert_eq!(refusals(&bench, OTHER), 2, "the last two find no place");
    bench.input(Input::Meet(16 * 1024));
    assert!(bench.dials.is_empty());
}

/// Calls of all kinds of ends, with the frames that clients and servers got.
fn day(settings: NodeSettings, member: bool) -> Vec<Vec<u8>> {
    let mut bench = Bench::new(settings);
    let mut rng = SmallRng::seed_from_u64(5);
    let client = bench.client("front.example");
    let mut ends = vec![client, bench.server("a.example"), bench.server("b.example")];
    let link = member.then(|| {
        bench.input(Input::Meet(1));
        let conn = bench.conn();
        bench.input(Input::Accepted(conn));
        let cer = capabilities(MessageBuilder::request(d::CMD_CAPABILITIES, 0, false, 1, 1), OTHER, 1);
        bench.bytes(conn, &cer);
        conn
    });
    let (mut frames, mut hosts) = (Vec::new(), ["a.example", "b.example"].into_iter().cycle());
    for round in 0..400 {
        if let Some(link) = link {
            bench.answer_watchdogs(link);
        }
        bench.call(client, &format!("s;{round}"));
        for &end in &ends {
            for got in bench.take(end) {
                if got.message().header.is_request() && rng.random_bool(0.97) {
                    let result = if rng.random_bool(0.9) { 2001 } else { 3004 };
                    bench.answer(end, &got, result);
                }
                frames.push(got.0);
            }
        }
        if round % 50 == 49 {
            // A server's connection is lost, and dialled again.
            let (host, lost) = (hosts.next().expect("it cycles"), ends.remove(1));
            bench.input(Input::Closed(lost));
            bench.pass(SECOND);
            if bench.dials.iter().any(|(_, to)| *to == common::address(host)) {
                ends.push(bench.dialled(host, 1));
            }
        }
        bench.pass(rng.random_range(1..200) * MS);
    }
    frames
}

#[test]
fn without_members_and_with_silent_ones_clients_and_servers_get_the_same_bytes() {
    let alone = day(settings(), false);
    assert!(alone.len() > 500, "{} frames", alone.len());
    assert_eq!(alone, day(NodeSettings { members: Vec::new(), ..settings() }, false));
    assert_eq!(alone, day(with_members(), false));
    assert_eq!(alone, day(with_members(), true));
}

// ---- A small network ----

#[derive(Clone, Debug)]
enum Step {
    Accept(ConnId),
    Dialled(PeerId, ConnId),
    Bytes(ConnId, Vec<u8>),
    Closed(ConnId),
}

/// Two nodes with relays between them that delay, cut one way, and are known by ports of their own.
struct Net {
    nodes: Vec<Node>,
    rng: SmallRng,
    now: Micros,
    /// By moment and order of their making.
    steps: BTreeMap<(Micros, u64), (usize, Step)>,
    made: u64,
    /// The last moment at which something arrives at each end, so that a stream stays in order.
    last: BTreeMap<ConnId, Micros>,
    open: BTreeMap<ConnId, usize>,
    /// What this node sends is lost.
    cut: [bool; 2],
    linked: [bool; 2],
    heard: [Vec<Vec<u8>>; 2],
    /// Connections that were accepted in all.
    accepted: u64,
    /// Messages and bytes that each node sent, and that came to it.
    sent: [(u64, u64); 2],
    came: [(u64, u64); 2],
    /// How many pieces a message comes in.
    pieces: usize,
}

fn messages(bytes: &[u8]) -> u64 {
    let mut reader = lemoncleat_node::FrameReader::new(1 << 20);
    reader.push(bytes);
    let mut count = 0;
    while reader.next_frame().expect("whole messages").is_some() {
        count += 1;
    }
    count
}

/// The other end of a connection: ends come in pairs.
fn far(conn: ConnId) -> ConnId {
    ConnId(conn.0 ^ 1)
}

impl Net {
    fn new(seed: u64) -> Net {
        let node = |index: usize| {
            let members = vec![member("n1.example", 101), member(OTHER, 102)];
            let mut settings = NodeSettings { members, ..settings() };
            settings.host = settings.members[index].host.clone();
            Node::new(settings, 1, seed * 2 + index as u64).expect("good settings")
        };
        Net {
            nodes: vec![node(0), node(1)],
            rng: SmallRng::seed_from_u64(seed),
            now: SECOND,
            steps: BTreeMap::new(),
            made: 0,
            last: BTreeMap::new(),
            open: BTreeMap::new(),
            cut: [false; 2],
            linked: [false; 2],
            heard: Default::default(),
            accepted: 0,
            sent: [(0, 0); 2],
            came: [(0, 0); 2],
            pieces: 1,
        }
    }

    fn later(&mut self, to: usize, conn: ConnId, step: Step) {
        let at = self.now + self.rng.random_range(100..80 * MS);
        let at = at.max(self.last.get(&conn).copied().unwrap_or(0));
        self.last.insert(conn, at);
        self.made += 1;
        self.steps.insert((at, self.made), (to, step));
    }

    fn tell(&mut self, node: usize, input: Input<'_>) {
        let mut out = Vec::new();
        self.nodes[node].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Dial(peer, to) => {
                    assert_eq!(usize::from(to.port()), 102 - node, "the other one's relay");
                    let near = ConnId(self.made * 2 + 1000);
                    self.later(1 - node, far(near), Step::Accept(far(near)));
                    self.later(node, near, Step::Dialled(peer, near));
                }
                Output::Send(conn, bytes) => {
                    let count = bytes.len();
                    let sent = &mut self.sent[node];
                    *sent = (sent.0 + messages(&bytes), sent.1 + count as u64);
                    if !self.cut[node] {
                        self.later(1 - node, far(conn), Step::Bytes(far(conn), bytes));
                    }
                    self.tell(node, Input::Wrote(conn, count));
                }
                Output::Close(conn) => {
                    self.open.remove(&conn);
                    if !self.cut[node] {
                        self.later(1 - node, far(conn), Step::Closed(far(conn)));
                    }
                }
                Output::Linked(place) | Output::Unlinked(place) if place == node => panic!("its own link"),
                Output::Linked(_) => assert!(!std::mem::replace(&mut self.linked[node], true)),
                Output::Unlinked(_) => assert!(std::mem::replace(&mut self.linked[node], false)),
                Output::Heard(_, word) => {
                    assert!(self.linked[node], "heard while unlinked");
                    self.heard[node].push(word);
                }
                Output::StopDial(_) | Output::Notice(_) | Output::Stopped => {}
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let step = self.steps.keys().next().map(|(at, _)| *at);
            let wake = self.nodes.iter().filter_map(Node::wake).min().map(|at| at.max(self.now + 1));
            let Some(next) = [step, wake].into_iter().flatten().min().filter(|at| *at <= end) else { break };
            self.now = next;
            if step == Some(next) {
                let Some((_, (node, step))) = self.steps.pop_first() else { break };
                self.arrive(node, step);
            } else {
                for node in 0..2 {
                    self.tell(node, Input::Timeout);
                }
            }
        }
        self.now = end;
    }

    fn arrive(&mut self, node: usize, step: Step) {
        match step {
            Step::Accept(conn) => {
                self.accepted += 1;
                self.open.insert(conn, node);
                self.tell(node, Input::Accepted(conn));
            }
            Step::Dialled(peer, conn) => {
                self.open.insert(conn, node);
                self.tell(node, Input::Dialled(peer, conn));
            }
            Step::Bytes(conn, bytes) if self.open.contains_key(&conn) => {
                for piece in bytes.chunks(bytes.len().div_ceil(self.pieces)) {
                    if self.open.contains_key(&conn) {
                        self.came[node].1 += piece.len() as u64;
                        self.tell(node, Input::Bytes(conn, piece));
                    }
                }
                self.came[node].0 += messages(&bytes);
            }
            Step::Closed(conn) if self.open.remove(&conn).is_some() => self.tell(node, Input::Closed(conn)),
            Step::Bytes(..) | Step::Closed(_) => {}
        }
    }

    fn say(&mut self, count: u8) {
        for word in 0..count {
            for node in 0..2 {
                self.tell(node, Input::Word(1 - node, &[word]));
            }
        }
        self.pass(SECOND);
        for heard in &mut self.heard {
            assert_eq!(std::mem::take(heard), (0..count).map(|word| vec![word]).collect::<Vec<_>>());
        }
    }
}

#[test]
fn two_that_dial_each_other_at_once_end_with_one_connection_that_carries() {
    let mut most = 0;
    for seed in 0..500 {
        let mut net = Net::new(seed);
        net.tell(0, Input::Meet(1));
        let apart = net.rng.random_range(0..60 * MS);
        net.pass(apart);
        net.tell(1, Input::Meet(0));
        net.pass(5 * SECOND);
        assert_eq!((net.linked, net.open.len()), ([true; 2], 2), "seed {seed}");
        net.say(50);
        most = most.max(net.accepted);
    }
    assert!(most >= 2, "both dialled at once in some seed");
}

#[test]
fn a_link_cut_one_way_or_both_is_told_at_both_ends_and_comes_back() {
    for seed in 0..60 {
        let mut net = Net::new(seed);
        net.tell(0, Input::Meet(1));
        net.tell(1, Input::Meet(0));
        net.pass(5 * SECOND);
        net.cut = [seed % 3 != 0, seed % 3 != 1];
        net.pass(12 * SECOND);
        assert_eq!(net.linked, [false; 2], "seed {seed}: Tw is 1 s");
        for node in 0..2 {
            net.tell(node, Input::Word(1 - node, b"lost"));
        }
        net.cut = [false; 2];
        net.pass(60 * SECOND);
        assert_eq!((net.linked, net.open.len()), ([true; 2], 2), "seed {seed}");
        net.say(5);
    }
}

#[test]
fn what_control_costs_is_counted_to_the_byte_at_both_ends() {
    for seed in 0..40 {
        let mut net = Net::new(seed);
        net.pieces = 1 + seed as usize % 3;
        net.tell(0, Input::Meet(1));
        let apart = net.rng.random_range(0..60 * MS);
        net.pass(apart);
        net.tell(1, Input::Meet(0));
        net.pass(5 * SECOND);
        net.say(20);
        net.pass(10 * SECOND);
        net.tell(0, Input::Part(1));
        net.tell(1, Input::Part(0));
        net.pass(10 * SECOND);
        assert!(net.open.is_empty(), "seed {seed}");
        for node in 0..2 {
            let stats = net.nodes[node].stats();
            let sent = (stats.control_sent_messages, stats.control_sent_bytes);
            let came = (stats.control_received_messages, stats.control_received_bytes);
            assert_eq!((sent, came), (net.sent[node], net.came[node]), "seed {seed}, node {node}");
            // Words and answers both ways, capabilities, watchdogs, an end.
            assert!(sent.0 >= 20 * 2 + 2 + 5, "seed {seed}: {} messages", sent.0);
        }
    }
}

#[test]
fn clients_servers_and_strangers_are_no_cost_of_control() {
    let (mut bench, _) = linked();
    let before = bench.node.stats();
    let (client, server) = (bench.client("front.example"), bench.server("a.example"));
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    let stranger = bench.conn();
    bench.input(Input::Accepted(stranger));
    let cer = bench.cer("n9.example", 1);
    bench.bytes(stranger, &cer);
    let after = bench.node.stats();
    let control = |it: lemoncleat_node::Stats| {
        (
            it.control_sent_messages,
            it.control_sent_bytes,
            it.control_received_messages,
            it.control_received_bytes,
        )
    };
    assert_eq!(control(before), control(after));
    assert_eq!((control(before).0, control(before).2), (1, 1), "the member's CER, and its answer");
}
