//! Nodes of one fleet as Diameter peers: with a simulated member, and in a small simulated network under a
//! virtual clock.

mod common;

use std::collections::BTreeMap;

use common::{capabilities, settings, Harness, MS, SECOND};
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

/// Settings of a node that is the first of two members.
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

/// Returns a node with a connected member.
fn linked() -> (Harness, ConnId) {
    let mut harness = Harness::new(with_members());
    let conn = harness.connect_client(OTHER);
    assert_eq!(harness.links, [(1, true)]);
    (harness, conn)
}

#[test]
fn exchanges_words_and_answers_them_at_once() {
    let (mut harness, conn) = linked();
    harness.bytes(conn, &fwr(OTHER, 7, b"hello"));
    assert_eq!(harness.heard, [(1, b"hello".to_vec())]);
    assert_eq!(harness.expect_one(conn, "FWA").result(), code::SUCCESS);
    harness.input(Input::SendToMember(1, b"and back"));
    let got = harness.expect_one(conn, "FWR");
    assert_eq!(got.message().find(d::FLEET_WORD).map(|word| word.data), Some(&b"and back"[..]));
    harness.answer(conn, &got, code::SUCCESS);
    assert_eq!((harness.node.stats().words_sent, harness.node.stats().words_heard), (1, 1));
    assert!(!harness.notices.iter().any(|notice| matches!(notice, Notice::UnknownAnswer(..))));
}

#[test]
fn refuses_words_from_other_peers_as_an_unknown_command() {
    // The answer is the same, byte for byte, from a node with members and from one without.
    let mut answers = Vec::new();
    for settings in [with_members(), settings()] {
        let mut harness = Harness::new(settings);
        let (client, server) = (harness.connect_client("front.example"), harness.connect_server("a.example"));
        for (conn, host) in [(client, "front.example"), (server, "a.example")] {
            harness.bytes(conn, &fwr(host, 7, b"x"));
            let got = harness.expect_one(conn, "FWA");
            assert_eq!(got.result(), code::COMMAND_UNSUPPORTED);
            answers.push(got.0);
        }
        assert!(harness.heard.is_empty() && harness.node.stats().turned_away == 2);
        let stranger = harness.new_conn();
        harness.input(Input::Accepted(stranger));
        let cer = harness.cer("n9.example", 1);
        harness.bytes(stranger, &cer);
        assert_eq!(harness.expect_one(stranger, "CEA").result(), code::UNKNOWN_PEER);
    }
    assert_eq!(answers[..2], answers[2..]);
}

#[test]
fn refuses_other_commands_and_overlong_words_of_members() {
    let (mut harness, conn) = linked();
    let call = common::aar(OTHER, "s;1", 9, 9, false);
    harness.bytes(conn, &call);
    assert_eq!(harness.expect_one(conn, "AAA").result(), code::COMMAND_UNSUPPORTED);
    harness.bytes(conn, &fwr(OTHER, 10, &vec![0; MAX_WORD_BYTES + 1]));
    assert_eq!(harness.expect_one(conn, "FWA").result(), code::INVALID_AVP_LENGTH);
    let empty = MessageBuilder::request(d::CMD_FLEET, d::APP_NAS, false, 11, 11)
        .add_str(d::ORIGIN_HOST, OTHER)
        .add_str(d::ORIGIN_REALM, "example")
        .build();
    harness.bytes(conn, &empty);
    assert_eq!(harness.expect_one(conn, "FWA").result(), code::MISSING_AVP);
    assert!(harness.heard.is_empty() && harness.links.len() == 1);
}

#[test]
fn drops_and_counts_words_beyond_the_limits() {
    let (mut harness, conn) = linked();
    harness.input(Input::SendToMember(1, &vec![0; MAX_WORD_BYTES + 1]));
    assert!(harness.notices.contains(&Notice::WordTooLong(OTHER.into(), MAX_WORD_BYTES + 1)));
    for unknown in [0, 2, usize::MAX] {
        harness.input(Input::SendToMember(unknown, b"x"));
        harness.input(Input::DialMember(unknown));
        harness.input(Input::StopDiallingMember(unknown));
    }
    assert_eq!(harness.node.stats().words_dropped, 4);
    // The member reads nothing: the bytes queued for it stay below the limit.
    harness.report_written = false;
    for _ in 0..100 {
        harness.input(Input::SendToMember(1, &[0; MAX_WORD_BYTES]));
    }
    let stats = harness.node.stats();
    assert_eq!((stats.words_sent, stats.words_sent + stats.words_dropped), (31, 104));
    assert!(harness.closed.is_empty() && harness.links == [(1, true)]);
    // The number of unanswered messages is bounded too.
    let (mut harness, conn2) = linked();
    assert_eq!(conn, conn2);
    for _ in 0..2_000 {
        harness.input(Input::SendToMember(1, b"x"));
    }
    assert_eq!(harness.node.stats().words_sent, 1_024);
    for word in harness.take(conn2) {
        harness.answer(conn2, &word, code::SUCCESS);
    }
    harness.input(Input::SendToMember(1, b"x"));
    assert_eq!(harness.node.stats().words_sent, 1_025);
}

#[test]
fn serves_calls_during_a_flood_of_words() {
    let (mut harness, member) = linked();
    let (client, server) = (harness.connect_client("front.example"), harness.connect_server("a.example"));
    let flood: Vec<u8> = (0..5_000).flat_map(|id| fwr(OTHER, id, &[7; 200])).collect();
    for (turn, slice) in flood.chunks(8 * 1024).enumerate() {
        let heard = harness.heard.len();
        harness.bytes(member, slice);
        assert!(
            harness.heard.len() - heard <= 8 * 1024 / 200,
            "a turn reads no more messages than its slice contains"
        );
        if turn % 20 == 0 {
            harness.call(client, &format!("s;{turn}"));
            let attempt = harness.expect_one(server, "AAR");
            harness.answer(server, &attempt, code::SUCCESS);
            assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
        }
    }
    assert_eq!(harness.heard.len(), 5_000);
    assert_eq!(harness.take(member).len(), 5_000);
}

#[test]
fn unlinks_a_silent_member_and_links_it_at_its_next_message() {
    let (mut harness, conn) = linked();
    // Tw is 1 s, with a jitter of a third: a watchdog request is sent by 1.34 s, and counts as unanswered by
    // 2.67 s.
    harness.advance(2_700 * MS);
    assert_eq!(harness.links, [(1, true), (1, false)]);
    harness.input(Input::SendToMember(1, b"x"));
    assert_eq!(harness.node.stats().words_dropped, 1);
    harness.bytes(conn, &fwr(OTHER, 1, b"here"));
    assert_eq!(harness.links, [(1, true), (1, false), (1, true)]);
    assert_eq!(harness.heard.len(), 1, "after the link is reported");
    harness.advance(10 * SECOND);
    assert!(harness.closed.contains(&conn));
    assert_eq!(harness.links.last(), Some(&(1, false)));
    assert!(harness.dials.is_empty(), "it is not to be dialled");
    // After a reconnection it is linked at its first answer, although RFC 3539 trusts it with calls only
    // later.
    let reconnected = harness.new_conn();
    harness.input(Input::Accepted(reconnected));
    let cer = harness.cer(OTHER, 1);
    harness.bytes(reconnected, &cer);
    assert_eq!(harness.links.last(), Some(&(1, false)), "nothing shows yet that this node's messages arrive");
    harness.answer_watchdogs(reconnected);
    assert_eq!(harness.links.last(), Some(&(1, true)));
}

#[test]
fn keeps_members_linked_over_a_gap() {
    let (mut harness, conn) = linked();
    harness.begin_gap(30 * SECOND);
    harness.bytes(conn, &fwr(OTHER, 1, b"meanwhile"));
    harness.end_gap();
    assert_eq!((harness.links.len(), harness.heard.len()), (1, 1));
}

#[test]
fn closes_only_its_own_connection_when_told_to_stop_dialling() {
    let mut harness = Harness::new(with_members());
    harness.input(Input::DialMember(1));
    let (peer, to) = harness.dials.remove(0);
    assert_eq!(to.port(), 2);
    let conn = harness.new_conn();
    harness.input(Input::Dialled(peer, conn));
    let cer = harness.expect_one(conn, "CER");
    harness.bytes(conn, &capabilities(MessageBuilder::answer(&cer.message(), 2001), OTHER, 1));
    harness.input(Input::StopDiallingMember(1));
    assert_eq!(harness.links, [(1, true), (1, false)]);
    let dpr = harness.expect_one(conn, "DPR");
    assert_eq!(dpr.message().number(d::DISCONNECT_CAUSE), Some(2));
    harness.answer(conn, &dpr, code::SUCCESS);
    harness.advance(60 * SECOND);
    assert!(harness.closed.contains(&conn) && harness.dials.is_empty());
    // A connection made by the member is for the member to close.
    let member_conn = harness.connect_client(OTHER);
    harness.input(Input::StopDiallingMember(1));
    assert!(harness.take(member_conn).is_empty());
    assert_eq!(harness.links.last(), Some(&(1, true)));
    // Stopping also ends a dial in progress; a wanted member is dialled until the dial succeeds.
    harness.input(Input::Closed(member_conn));
    harness.input(Input::DialMember(1));
    harness.input(Input::StopDiallingMember(1));
    assert!(harness.dials.is_empty(), "the dial is stopped");
    harness.input(Input::DialMember(1));
    for _ in 0..20 {
        let (peer, _) = harness.dials.remove(0);
        harness.input(Input::DialFailed(peer));
        // The longest wait between dials is 10 s.
        let waited = (0..11).find(|_| {
            harness.advance(SECOND);
            !harness.dials.is_empty()
        });
        assert!(waited.is_some());
    }
}

#[test]
fn disconnects_members_last_and_does_not_wait_for_them() {
    let (mut harness, conn) = linked();
    let client = harness.connect_client("front.example");
    harness.input(Input::Stop);
    let dpr = harness.expect_one(client, "DPR");
    assert!(harness.take(conn).is_empty(), "members stay connected while a client is");
    harness.answer(client, &dpr, code::SUCCESS);
    assert_eq!(harness.expect_one(conn, "DPR").message().number(d::DISCONNECT_CAUSE), Some(0));
    assert!(harness.stopped && harness.links.last() == Some(&(1, false)));
}

#[test]
fn refuses_a_member_that_is_a_client_or_server() {
    let mut settings = with_members();
    settings.members.push(member("front.example", 3));
    let mut harness = Harness::new(settings);
    harness.list(&[(OTHER, Availability::Ready), ("a.example", Availability::Ready)]);
    assert_eq!(harness.dials.len(), 1);
    let refused = |host: &str| {
        harness.notices.iter().any(|notice| matches!(notice, Notice::PeerRefused(of, _) if &**of == host))
    };
    assert!(refused(OTHER) && refused("front.example") && !refused("node.example"));
}

fn refusals(harness: &Harness, host: &str) -> usize {
    let refused = |notice: &&Notice| matches!(notice, Notice::PeerRefused(of, _) if &**of == host);
    harness.notices.iter().filter(refused).count()
}

#[test]
fn keeps_places_when_a_member_is_replaced() {
    let mut settings = with_members();
    settings.members.push(member("n3.example", 3));
    let mut harness = Harness::new(settings);
    let (removed, kept) = (harness.connect_client(OTHER), harness.connect_client("n3.example"));
    // The list is in another order, with the new member first.
    let list = vec![member("n4.example", 4), member("n3.example", 3), member("node.example", 1)];
    harness.input(Input::Members(list.clone()));
    assert_eq!(harness.links, [(1, true), (2, true), (1, false)]);
    assert!(
        harness.take(kept).is_empty() && harness.notices.iter().all(|it| !matches!(it, Notice::PeerDown(..)))
    );
    let dpr = harness.expect_one(removed, "DPR");
    assert_eq!(dpr.message().number(d::DISCONNECT_CAUSE), Some(2));
    // Messages from the removed member are ignored, and messages to it are dropped.
    harness.bytes(removed, &fwr(OTHER, 1, b"still here"));
    harness.input(Input::SendToMember(1, b"x"));
    harness.input(Input::DialMember(1));
    assert!(harness.heard.is_empty() && harness.dials.is_empty() && harness.take(removed).is_empty());
    assert_eq!((harness.node.stats().words_dropped, harness.node.stats().words_sent), (1, 0));
    harness.answer(removed, &dpr, code::SUCCESS);
    assert!(harness.closed.contains(&removed));
    // It is an unknown peer now.
    let reconnected = harness.new_conn();
    harness.input(Input::Accepted(reconnected));
    let cer = harness.cer(OTHER, 1);
    harness.bytes(reconnected, &cer);
    assert_eq!(harness.expect_one(reconnected, "CEA").result(), code::UNKNOWN_PEER);
    // The new member has the next place; the same list again changes nothing.
    harness.input(Input::DialMember(3));
    assert_eq!(harness.dials.iter().map(|(_, to)| to.port()).collect::<Vec<_>>(), [4]);
    harness.input(Input::Members(list.clone()));
    assert_eq!((harness.dials.len(), harness.links.len()), (1, 3));
    harness.input(Input::SendToMember(2, b"as before"));
    assert_eq!(harness.names(kept), ["FWR"]);
    // Listed again, it gets a new place.
    harness.input(Input::Members([list, vec![member(OTHER, 2)]].concat()));
    harness.connect_client(OTHER);
    assert_eq!(harness.links.last(), Some(&(4, true)));
    assert!(refusals(&harness, OTHER) == 0 && refusals(&harness, "node.example") == 0);
}

#[test]
fn stops_dialling_a_removed_member() {
    for dialled in [false, true] {
        let mut harness = Harness::new(with_members());
        harness.input(Input::DialMember(1));
        let (peer, _) = harness.dials[0];
        if dialled {
            harness.dials.clear();
            harness.input(Input::DialFailed(peer));
        }
        harness.input(Input::Members(vec![member("node.example", 1)]));
        assert!(harness.dials.is_empty(), "the dial is stopped");
        harness.advance(60 * SECOND);
        assert!(harness.dials.is_empty() && harness.links.is_empty());
    }
}

#[test]
fn redials_a_wanted_member_when_its_address_changes() {
    let moved = || vec![member("node.example", 1), member(OTHER, 9)];
    let mut harness = Harness::new(with_members());
    harness.input(Input::DialMember(1));
    let (peer, _) = harness.dials.remove(0);
    let conn = harness.new_conn();
    harness.input(Input::Dialled(peer, conn));
    let cer = harness.expect_one(conn, "CER");
    harness.bytes(conn, &capabilities(MessageBuilder::answer(&cer.message(), 2001), OTHER, 1));
    harness.input(Input::Members(moved()));
    assert_eq!(harness.links, [(1, true), (1, false)]);
    let dpr = harness.expect_one(conn, "DPR");
    assert_eq!(dpr.message().number(d::DISCONNECT_CAUSE), Some(0));
    harness.answer(conn, &dpr, code::SUCCESS);
    harness.advance(12 * SECOND);
    assert_eq!(harness.dials.iter().map(|(_, to)| to.port()).collect::<Vec<_>>(), [9]);
    // Its address changes again while it is being dialled.
    harness.input(Input::Members(with_members().members));
    assert_eq!(harness.dials.iter().map(|(_, to)| to.port()).collect::<Vec<_>>(), [2]);
    // A connection made by the member, which this node was not asked to dial, is closed and not dialled
    // again.
    let (mut harness, conn) = linked();
    harness.input(Input::Members(moved()));
    let dpr = harness.expect_one(conn, "DPR");
    harness.answer(conn, &dpr, code::SUCCESS);
    harness.advance(12 * SECOND);
    assert!(harness.dials.is_empty() && harness.closed.contains(&conn));
    let member_conn = harness.new_conn();
    harness.input(Input::Accepted(member_conn));
    let cer = harness.cer(OTHER, 1);
    harness.bytes(member_conn, &cer);
    assert_eq!(harness.links.last(), Some(&(1, true)));
}

#[test]
fn skips_invalid_entries_of_a_member_list() {
    let mut harness = Harness::new(with_members());
    harness.connect_server("a.example");
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
    harness.input(Input::Members(list()));
    assert_eq!(
        [OTHER, "a.example", "front.example", "n3.example"].map(|host| refusals(&harness, host)),
        [1, 1, 1, 0]
    );
    // They keep the places that their position gives them.
    for place in 1..6 {
        harness.input(Input::DialMember(place));
    }
    assert_eq!(harness.dials.iter().map(|(_, to)| to.port()).collect::<Vec<_>>(), [2, 8]);
    // Calls continue: the client and the server are unchanged.
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    assert!(
        harness.node.stats().calls == 1
            && harness.notices.iter().all(|it| !matches!(it, Notice::PeerDown(..)))
    );
}

#[test]
fn refuses_members_when_all_places_are_used() {
    let mut harness = Harness::new(with_members());
    for _ in 0..16 * 1024 {
        harness.input(Input::Members(vec![member("node.example", 1)]));
        harness.input(Input::Members(with_members().members));
    }
    assert_eq!(refusals(&harness, OTHER), 2, "the last two find no place");
    harness.input(Input::DialMember(16 * 1024));
    assert!(harness.dials.is_empty());
}

/// Runs calls that end in various ways; returns the frames that clients and servers received.
fn run_calls(settings: NodeSettings, member: bool) -> Vec<Vec<u8>> {
    let mut harness = Harness::new(settings);
    let mut rng = SmallRng::seed_from_u64(5);
    let client = harness.connect_client("front.example");
    let mut ends = vec![client, harness.connect_server("a.example"), harness.connect_server("b.example")];
    let link = member.then(|| {
        harness.input(Input::DialMember(1));
        let conn = harness.new_conn();
        harness.input(Input::Accepted(conn));
        let cer = capabilities(MessageBuilder::request(d::CMD_CAPABILITIES, 0, false, 1, 1), OTHER, 1);
        harness.bytes(conn, &cer);
        conn
    });
    let (mut frames, mut hosts) = (Vec::new(), ["a.example", "b.example"].into_iter().cycle());
    for round in 0..400 {
        if let Some(link) = link {
            harness.answer_watchdogs(link);
        }
        harness.call(client, &format!("s;{round}"));
        for &end in &ends {
            for got in harness.take(end) {
                if got.message().header.is_request() && rng.random_bool(0.97) {
                    let result = if rng.random_bool(0.9) { 2001 } else { 3004 };
                    harness.answer(end, &got, result);
                }
                frames.push(got.0);
            }
        }
        if round % 50 == 49 {
            // A server's connection is lost and dialled again.
            let (host, lost) = (hosts.next().expect("it cycles"), ends.remove(1));
            harness.input(Input::Closed(lost));
            harness.advance(SECOND);
            if harness.dials.iter().any(|(_, to)| *to == common::address(host)) {
                ends.push(harness.accept_dial(host, 1));
            }
        }
        harness.advance(rng.random_range(1..200) * MS);
    }
    frames
}

#[test]
fn members_do_not_change_the_bytes_sent_to_clients_and_servers() {
    let alone = run_calls(settings(), false);
    assert!(alone.len() > 500, "{} frames", alone.len());
    assert_eq!(alone, run_calls(NodeSettings { members: Vec::new(), ..settings() }, false));
    assert_eq!(alone, run_calls(with_members(), false));
    assert_eq!(alone, run_calls(with_members(), true));
}

// ---- A small network ----

#[derive(Clone, Debug)]
enum Step {
    Accept(ConnId),
    Dialled(PeerId, ConnId),
    Bytes(ConnId, Vec<u8>),
    Closed(ConnId),
}

/// Two nodes connected by relays, each with a port of its own, that delay messages and can cut one direction.
struct Net {
    nodes: Vec<Node>,
    rng: SmallRng,
    now: Micros,
    /// Ordered by time, then by creation.
    steps: BTreeMap<(Micros, u64), (usize, Step)>,
    created: u64,
    /// The latest scheduled arrival at each end, so that a stream stays in order.
    last: BTreeMap<ConnId, Micros>,
    open: BTreeMap<ConnId, usize>,
    /// Whether everything that this node sends is lost.
    cut: [bool; 2],
    linked: [bool; 2],
    heard: [Vec<Vec<u8>>; 2],
    /// Number of connections accepted.
    accepted: u64,
    /// Messages and bytes that each node sent and received.
    sent: [(u64, u64); 2],
    came: [(u64, u64); 2],
    /// The number of pieces in which a message is delivered.
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

/// Returns the other end of a connection; the ends are numbered in pairs.
fn other_end(conn: ConnId) -> ConnId {
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
            created: 0,
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

    fn schedule(&mut self, to: usize, conn: ConnId, step: Step) {
        let at = self.now + self.rng.random_range(100..80 * MS);
        let at = at.max(self.last.get(&conn).copied().unwrap_or(0));
        self.last.insert(conn, at);
        self.created += 1;
        self.steps.insert((at, self.created), (to, step));
    }

    fn input(&mut self, node: usize, input: Input<'_>) {
        let mut out = Vec::new();
        self.nodes[node].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Dial(peer, to) => {
                    assert_eq!(usize::from(to.port()), 102 - node, "the other one's relay");
                    let near = ConnId(self.created * 2 + 1000);
                    self.schedule(1 - node, other_end(near), Step::Accept(other_end(near)));
                    self.schedule(node, near, Step::Dialled(peer, near));
                }
                Output::Send(conn, bytes) => {
                    let count = bytes.len();
                    let sent = &mut self.sent[node];
                    *sent = (sent.0 + messages(&bytes), sent.1 + count as u64);
                    if !self.cut[node] {
                        self.schedule(1 - node, other_end(conn), Step::Bytes(other_end(conn), bytes));
                    }
                    self.input(node, Input::Written(conn, count));
                }
                Output::Close(conn) => {
                    self.open.remove(&conn);
                    if !self.cut[node] {
                        self.schedule(1 - node, other_end(conn), Step::Closed(other_end(conn)));
                    }
                }
                Output::MemberConnected(place) | Output::MemberDisconnected(place) if place == node => {
                    panic!("its own link")
                }
                Output::MemberConnected(_) => assert!(!std::mem::replace(&mut self.linked[node], true)),
                Output::MemberDisconnected(_) => assert!(std::mem::replace(&mut self.linked[node], false)),
                Output::MemberMessage(_, word) => {
                    assert!(self.linked[node], "message received while unlinked");
                    self.heard[node].push(word);
                }
                Output::StopDial(_) | Output::Notice(_) | Output::Stopped => {}
            }
        }
    }

    fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let step = self.steps.keys().next().map(|(at, _)| *at);
            let wake = self.nodes.iter().filter_map(Node::wake).min().map(|at| at.max(self.now + 1));
            let Some(next) = [step, wake].into_iter().flatten().min().filter(|at| *at <= end) else { break };
            self.now = next;
            if step == Some(next) {
                let Some((_, (node, step))) = self.steps.pop_first() else { break };
                self.run_step(node, step);
            } else {
                for node in 0..2 {
                    self.input(node, Input::Timeout);
                }
            }
        }
        self.now = end;
    }

    fn run_step(&mut self, node: usize, step: Step) {
        match step {
            Step::Accept(conn) => {
                self.accepted += 1;
                self.open.insert(conn, node);
                self.input(node, Input::Accepted(conn));
            }
            Step::Dialled(peer, conn) => {
                self.open.insert(conn, node);
                self.input(node, Input::Dialled(peer, conn));
            }
            Step::Bytes(conn, bytes) if self.open.contains_key(&conn) => {
                for piece in bytes.chunks(bytes.len().div_ceil(self.pieces)) {
                    if self.open.contains_key(&conn) {
                        self.came[node].1 += piece.len() as u64;
                        self.input(node, Input::Bytes(conn, piece));
                    }
                }
                self.came[node].0 += messages(&bytes);
            }
            Step::Closed(conn) if self.open.remove(&conn).is_some() => self.input(node, Input::Closed(conn)),
            Step::Bytes(..) | Step::Closed(_) => {}
        }
    }

    fn exchange_words(&mut self, count: u8) {
        for word in 0..count {
            for node in 0..2 {
                self.input(node, Input::SendToMember(1 - node, &[word]));
            }
        }
        self.advance(SECOND);
        for heard in &mut self.heard {
            assert_eq!(std::mem::take(heard), (0..count).map(|word| vec![word]).collect::<Vec<_>>());
        }
    }
}

#[test]
fn simultaneous_dials_end_with_one_working_connection() {
    let mut most = 0;
    for seed in 0..500 {
        let mut net = Net::new(seed);
        net.input(0, Input::DialMember(1));
        let apart = net.rng.random_range(0..60 * MS);
        net.advance(apart);
        net.input(1, Input::DialMember(0));
        net.advance(5 * SECOND);
        assert_eq!((net.linked, net.open.len()), ([true; 2], 2), "seed {seed}");
        net.exchange_words(50);
        most = most.max(net.accepted);
    }
    assert!(most >= 2, "both dialled at once in some seed");
}

#[test]
fn reports_a_cut_link_at_both_ends_and_recovers() {
    for seed in 0..60 {
        let mut net = Net::new(seed);
        net.input(0, Input::DialMember(1));
        net.input(1, Input::DialMember(0));
        net.advance(5 * SECOND);
        net.cut = [seed % 3 != 0, seed % 3 != 1];
        net.advance(12 * SECOND);
        assert_eq!(net.linked, [false; 2], "seed {seed}: Tw is 1 s");
        for node in 0..2 {
            net.input(node, Input::SendToMember(1 - node, b"lost"));
        }
        net.cut = [false; 2];
        net.advance(60 * SECOND);
        assert_eq!((net.linked, net.open.len()), ([true; 2], 2), "seed {seed}");
        net.exchange_words(5);
    }
}

#[test]
fn counts_control_traffic_exactly_at_both_ends() {
    for seed in 0..40 {
        let mut net = Net::new(seed);
        net.pieces = 1 + seed as usize % 3;
        net.input(0, Input::DialMember(1));
        let apart = net.rng.random_range(0..60 * MS);
        net.advance(apart);
        net.input(1, Input::DialMember(0));
        net.advance(5 * SECOND);
        net.exchange_words(20);
        net.advance(10 * SECOND);
        net.input(0, Input::StopDiallingMember(1));
        net.input(1, Input::StopDiallingMember(0));
        net.advance(10 * SECOND);
        assert!(net.open.is_empty(), "seed {seed}");
        for node in 0..2 {
            let stats = net.nodes[node].stats();
            let sent = (stats.control_sent_messages, stats.control_sent_bytes);
            let came = (stats.control_received_messages, stats.control_received_bytes);
            assert_eq!((sent, came), (net.sent[node], net.came[node]), "seed {seed}, node {node}");
            // Messages and answers in both directions, capabilities, watchdogs, a disconnect.
            assert!(sent.0 >= 20 * 2 + 2 + 5, "seed {seed}: {} messages", sent.0);
        }
    }
}

#[test]
fn counts_no_control_traffic_for_other_peers() {
    let (mut harness, _) = linked();
    let before = harness.node.stats();
    let (client, server) = (harness.connect_client("front.example"), harness.connect_server("a.example"));
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    let stranger = harness.new_conn();
    harness.input(Input::Accepted(stranger));
    let cer = harness.cer("n9.example", 1);
    harness.bytes(stranger, &cer);
    let after = harness.node.stats();
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
