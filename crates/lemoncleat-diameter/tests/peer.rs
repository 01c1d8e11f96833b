//! Tests of the peer state machine, with both ends driven by the test.

use std::sync::Arc;

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{
    result_code, Backoff, ConnId, DisconnectCause, DownReason, Local, MessageBuilder, MessageRef, Micros,
    Peer, PeerInput, PeerOutput, PeerSettings, State, WatchdogState,
};

const TW: Micros = 6_000_000;

fn local(host: &str) -> Arc<Local> {
    Arc::new(Local {
        host: host.into(),
        realm: "example".into(),
        product: "test".into(),
        addresses: vec!["127.0.0.1".parse().expect("an address")],
        applications: vec![d::APP_NAS],
        state_id: 5,
        further: Vec::new(),
    })
}

fn peer(own: &str, other: &str, dial: bool) -> Peer {
    let settings = PeerSettings {
        host: other.into(),
        dial,
        replace: None,
        watchdog: TW,
        backoff: Backoff { first: 100_000, most: 5_000_000 },
        open_timeout: 2_000_000,
        close_timeout: 1_000_000,
    };
    Peer::new(local(own), settings, 11)
}

fn step(peer: &mut Peer, now: Micros, input: PeerInput<'_>) -> Vec<PeerOutput> {
    let mut out = Vec::new();
    peer.handle(now, input, &mut out);
    out
}

fn receive(peer: &mut Peer, now: Micros, conn: ConnId, bytes: &[u8]) -> Vec<PeerOutput> {
    let message = MessageRef::parse(bytes).expect("a message");
    step(peer, now, PeerInput::Message(conn, &message))
}

fn accept(peer: &mut Peer, now: Micros, conn: ConnId, cer: &[u8]) -> Vec<PeerOutput> {
    let cer = MessageRef::parse(cer).expect("a CER");
    step(peer, now, PeerInput::Accepted(conn, &cer))
}

/// Returns the only message that was sent, with its connection.
fn sent(out: &[PeerOutput]) -> (ConnId, Vec<u8>) {
    let mut all = out.iter().filter_map(|o| match o {
        PeerOutput::Send(conn, bytes) => Some((*conn, bytes.clone())),
        _ => None,
    });
    let only = all.next().expect("a sent message");
    assert!(all.next().is_none(), "more than one message sent: {out:?}");
    only
}

const A: ConnId = ConnId(1);
const B: ConnId = ConnId(2);
const C: ConnId = ConnId(3);

fn connected_pair() -> (Peer, Peer) {
    let (mut node, mut server) =
        (peer("node.example", "s.example", true), peer("s.example", "node.example", false));
    assert_eq!(step(&mut node, 0, PeerInput::Start), [PeerOutput::Dial]);
    let (_, cer) = sent(&step(&mut node, 1, PeerInput::Dialled(A)));
    let out = accept(&mut server, 2, A, &cer);
    let (_, cea) = sent(&out);
    assert!(out.contains(&PeerOutput::Open(A, cer.clone())) && out.contains(&PeerOutput::Usable));
    let out = receive(&mut node, 3, A, &cea);
    assert_eq!(out, [PeerOutput::Open(A, cea.clone()), PeerOutput::Usable]);
    assert_eq!((node.state(), server.state()), (State::IOpen, State::ROpen));
    (node, server)
}

#[test]
fn capabilities_exchange_opens_both_ends() {
    connected_pair();
}

#[test]
fn answered_watchdog_keeps_peer_okay() {
    let (mut node, mut server) = connected_pair();
    let due = node.due().expect("a watchdog");
    let (_, dwr) = sent(&step(&mut node, due, PeerInput::Timeout));
    let (_, dwa) = sent(&receive(&mut server, due, A, &dwr));
    assert!(receive(&mut node, due + 1, A, &dwa).is_empty());
    assert_eq!(node.watchdog(), WatchdogState::Okay);
}

#[test]
fn silent_peer_is_closed_and_usable_after_three_answers_when_reopened() {
    let (mut node, _) = connected_pair();
    let mut seen = Vec::new();
    while !seen.contains(&PeerOutput::Down(DownReason::Watchdog)) {
        let now = node.due().expect("a timer");
        seen.extend(step(&mut node, now, PeerInput::Timeout));
    }
    let order: Vec<_> = seen.iter().filter(|o| !matches!(o, PeerOutput::Send(..))).collect();
    assert_eq!(order, [&PeerOutput::Suspect, &PeerOutput::Close(A), &PeerOutput::Down(DownReason::Watchdog)]);
    let mut now = node.due().expect("a scheduled connection attempt");
    assert_eq!(step(&mut node, now, PeerInput::Timeout), [PeerOutput::Dial]);
    let (_, cer) = sent(&step(&mut node, now, PeerInput::Dialled(B)));
    let mut server = peer("s.example", "node.example", false);
    let (_, cea) = sent(&accept(&mut server, now, B, &cer));
    let out = receive(&mut node, now, B, &cea);
    let (_, mut dwr) = sent(&out);
    assert!(!node.is_usable(), "not usable before watchdog answers");
    for round in 1..=3 {
        let (_, dwa) = sent(&receive(&mut server, now, B, &dwr));
        let out = receive(&mut node, now, B, &dwa);
        assert_eq!(node.is_usable(), round == 3);
        assert_eq!(out.contains(&PeerOutput::Usable), round == 3);
        if round < 3 {
            now = node.due().expect("the next watchdog");
            dwr = sent(&step(&mut node, now, PeerInput::Timeout)).1;
        }
    }
}

#[test]
fn greater_host_name_wins_election() {
    let (mut low, mut high) = (peer("a.example", "b.example", true), peer("b.example", "a.example", true));
    step(&mut low, 0, PeerInput::Start);
    step(&mut high, 0, PeerInput::Start);
    let (_, cer_low) = sent(&step(&mut low, 1, PeerInput::Dialled(A)));
    let (_, cer_high) = sent(&step(&mut high, 1, PeerInput::Dialled(B)));
    // Each end receives the other's CER on the connection that the other end initiated.
    let out = accept(&mut low, 2, B, &cer_high);
    assert_eq!((out.len(), low.state()), (0, State::WaitReturns));
    let out = accept(&mut high, 2, A, &cer_low);
    assert_eq!(out[0], PeerOutput::Close(B));
    assert_eq!(high.state(), State::ROpen);
    let (conn, cea) = sent(&out);
    assert_eq!(conn, A);
    let out = receive(&mut low, 3, A, &cea);
    assert!(out.contains(&PeerOutput::Close(B)) && out.contains(&PeerOutput::Usable));
    assert_eq!(low.state(), State::IOpen);
}

#[test]
fn election_loser_opens_peer_connection_when_own_is_closed() {
    let (mut low, mut high) = (peer("a.example", "b.example", true), peer("b.example", "a.example", true));
    step(&mut low, 0, PeerInput::Start);
    step(&mut high, 0, PeerInput::Start);
    step(&mut low, 1, PeerInput::Dialled(A));
    let (_, cer_high) = sent(&step(&mut high, 1, PeerInput::Dialled(B)));
    accept(&mut low, 2, B, &cer_high);
    let out = step(&mut low, 3, PeerInput::Closed(A));
    assert_eq!(sent(&out).0, B);
    assert_eq!(low.state(), State::ROpen);
}

#[test]
fn cer_during_connect_is_answered_when_connect_fails() {
    let mut node = peer("a.example", "b.example", true);
    step(&mut node, 0, PeerInput::Start);
    let mut other = peer("b.example", "a.example", true);
    step(&mut other, 0, PeerInput::Start);
    let (_, cer) = sent(&step(&mut other, 0, PeerInput::Dialled(B)));
    assert!(accept(&mut node, 1, B, &cer).is_empty());
    assert_eq!(node.state(), State::WaitConnAckElect);
    let out = step(&mut node, 2, PeerInput::DialFailed);
    assert!(out.contains(&PeerOutput::Usable));
    assert_eq!(node.state(), State::ROpen);
}

#[test]
fn cer_without_common_application_is_rejected_with_5010() {
    let mut server = peer("s.example", "node.example", false);
    let cer = MessageBuilder::request(d::CMD_CAPABILITIES, 0, false, 1, 1)
        .add_str(d::ORIGIN_HOST, "node.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::VENDOR_ID, 0)
        .add_str(d::PRODUCT_NAME, "x")
        .add_u32(d::AUTH_APPLICATION_ID, 4)
        .build();
    let out = accept(&mut server, 1, A, &cer);
    let (_, cea) = sent(&out);
    let cea = MessageRef::parse(&cea).expect("a CEA");
    assert_eq!(cea.result_code(), result_code::NO_COMMON_APPLICATION);
    assert!(out.contains(&PeerOutput::Close(A)));
    assert_eq!(server.state(), State::Closed);
}

#[test]
fn cea_from_wrong_host_closes_connection_and_backs_off() {
    let mut node = peer("node.example", "s.example", true);
    step(&mut node, 0, PeerInput::Start);
    let mut now = 0;
    let mut waits = Vec::new();
    for conn in 1..8 {
        let conn = ConnId(conn);
        let (_, cer) = sent(&step(&mut node, now, PeerInput::Dialled(conn)));
        let mut impostor = peer("impostor.example", "node.example", false);
        let (_, cea) = sent(&accept(&mut impostor, now, conn, &cer));
        let out = receive(&mut node, now, conn, &cea);
        assert!(out.contains(&PeerOutput::Close(conn)));
        assert!(matches!(&out[1], PeerOutput::Refused(why) if why.contains("impostor.example")), "{out:?}");
        let due = node.due().expect("a scheduled connection attempt");
        waits.push(due - now);
        now = due;
        assert_eq!(step(&mut node, now, PeerInput::Timeout), [PeerOutput::Dial]);
    }
    assert!(waits[0] >= 50_000 && waits[0] <= 100_000);
    assert!(waits[6] >= 2_500_000 && waits[6] <= 5_000_000);
}

#[test]
fn dpr_is_answered_and_stops_requests() {
    let (mut node, mut server) = connected_pair();
    let (_, dpr) = sent(&step(&mut server, 10, PeerInput::Disconnect(DisconnectCause::Rebooting)));
    let out = receive(&mut node, 11, A, &dpr);
    assert_eq!(out.last(), Some(&PeerOutput::Draining(DisconnectCause::Rebooting)));
    assert!(!node.is_usable());
    assert_eq!(node.connection(), Some(A), "the connection remains open for answers");
    let (_, dpa) = sent(&out);
    let out = receive(&mut server, 12, A, &dpa);
    assert_eq!(out, [PeerOutput::Close(A), PeerOutput::Down(DownReason::Disconnected)]);
    let out = step(&mut node, 13, PeerInput::Closed(A));
    assert_eq!(out, [PeerOutput::Down(DownReason::Disconnected)]);
    assert_eq!(node.watchdog(), WatchdogState::Initial, "a graceful disconnect is not a failure");
    assert!(node.due().is_some_and(|due| due <= 13 + 100_000), "a connection attempt is scheduled");
}

#[test]
fn answer_after_dpr_is_delivered_and_request_is_dropped() {
    let (mut node, mut server) = connected_pair();
    let (_, dpr) = sent(&step(&mut server, 10, PeerInput::Disconnect(DisconnectCause::Busy)));
    receive(&mut node, 11, A, &dpr);
    let answer = MessageBuilder::new(d::CMD_AA, 1, 0, 3, 3).build();
    assert_eq!(receive(&mut node, 12, A, &answer), [PeerOutput::Deliver]);
    let request = MessageBuilder::request(d::CMD_ABORT_SESSION, 1, true, 3, 3).build();
    assert!(receive(&mut node, 13, A, &request).is_empty());
}

#[test]
fn unanswered_dpr_closes_connection_at_timeout() {
    let (mut node, _) = connected_pair();
    step(&mut node, 10, PeerInput::Disconnect(DisconnectCause::Rebooting));
    let due = node.due().expect("a close timeout");
    let out = step(&mut node, due, PeerInput::Timeout);
    assert_eq!(out, [PeerOutput::Close(A), PeerOutput::Down(DownReason::Disconnected)]);
    assert_eq!(node.due(), None, "no attempt after a local disconnect");
}

#[test]
fn open_timeout_closes_connection() {
    let mut node = peer("node.example", "s.example", true);
    step(&mut node, 0, PeerInput::Start);
    step(&mut node, 1, PeerInput::Dialled(A));
    let out = step(&mut node, 2_000_000, PeerInput::Timeout);
    assert_eq!(out[0], PeerOutput::Close(A));
    assert!(matches!(out[1], PeerOutput::Refused(_)));
}

#[test]
fn second_connection_is_rejected_unless_replacement_is_allowed() {
    let (_, mut server) = connected_pair();
    let mut reconnecting = peer("node.example", "s.example", true);
    step(&mut reconnecting, 0, PeerInput::Start);
    let (_, cer) = sent(&step(&mut reconnecting, 1, PeerInput::Dialled(B)));
    assert_eq!(accept(&mut server, 5, B, &cer), [PeerOutput::Close(B)]);

    let settings = PeerSettings {
        host: "node.example".into(),
        dial: false,
        replace: Some(0),
        watchdog: TW,
        backoff: Backoff { first: 1, most: 1 },
        open_timeout: 1,
        close_timeout: 1,
    };
    let mut server = Peer::new(local("s.example"), settings, 3);
    accept(&mut server, 1, A, &cer);
    let out = accept(&mut server, 2, B, &cer);
    assert_eq!(out[..2], [PeerOutput::Close(A), PeerOutput::Down(DownReason::Replaced)]);
    assert_eq!(server.connection(), Some(B));
    assert!(server.is_usable());
}

#[test]
fn replacement_after_minimum_age_starts_in_reopen() {
    let settings = PeerSettings {
        host: "node.example".into(),
        dial: false,
        replace: Some(2_000_000),
        watchdog: TW,
        backoff: Backoff { first: 1, most: 1 },
        open_timeout: 1,
        close_timeout: 1,
    };
    let mut reconnecting = peer("node.example", "s.example", true);
    step(&mut reconnecting, 0, PeerInput::Start);
    let (_, cer) = sent(&step(&mut reconnecting, 1, PeerInput::Dialled(B)));
    let mut member = Peer::new(local("s.example"), settings, 3);
    accept(&mut member, 1, A, &cer);
    assert_eq!(
        accept(&mut member, 2_000_000, B, &cer),
        [PeerOutput::Close(B)],
        "the loser of the election does not replace the open connection"
    );
    let out = accept(&mut member, 2_000_001, C, &cer);
    assert_eq!(out[..2], [PeerOutput::Close(A), PeerOutput::Down(DownReason::Replaced)]);
    assert_eq!((member.connection(), member.is_usable()), (Some(C), false), "RFC 3539 section 3.4.1: REOPEN");
}

#[test]
fn message_before_cea_closes_connection() {
    let mut node = peer("node.example", "s.example", true);
    step(&mut node, 0, PeerInput::Start);
    step(&mut node, 1, PeerInput::Dialled(A));
    let early_answer = MessageBuilder::new(d::CMD_AA, 1, 0, 3, 3).build();
    assert_eq!(receive(&mut node, 2, A, &early_answer)[0], PeerOutput::Close(A));
    assert_eq!(node.state(), State::Closed);
}

#[test]
fn resting_peer_accepts_connections_without_connecting_until_started() {
    let (mut a, mut b) = (peer("a.example", "b.example", true), peer("b.example", "a.example", true));
    a.rest();
    assert_eq!(a.due(), None);
    assert_eq!(step(&mut b, 0, PeerInput::Start), [PeerOutput::Dial]);
    let (_, cer) = sent(&step(&mut b, 0, PeerInput::Dialled(ConnId(1))));
    accept(&mut a, 0, ConnId(2), &cer);
    assert!(a.is_open());
    step(&mut a, 1, PeerInput::Closed(ConnId(2)));
    assert!(a.is_idle(), "no connection attempt is scheduled");
    assert_eq!(step(&mut a, 2, PeerInput::Start), [PeerOutput::Dial]);
}
