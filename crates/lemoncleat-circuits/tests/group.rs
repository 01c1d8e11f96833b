//! Two ends of a group with messages delivered under the control of the test: messages that cross or are
//! lost.

use std::collections::VecDeque;

use lemoncleat_circuits::audit::Audits;
use lemoncleat_circuits::glare::Control;
use lemoncleat_circuits::{
    Event, Group, GroupSettings, Order, Range, Refusal, Reply, Request, State, Timers, Token,
};

const SECOND: i64 = 1_000_000;

#[derive(Clone, Debug)]
enum Packet {
    Request(Token, Request),
    Reply(Token, Reply),
}

/// Both ends, with the messages in transit to each and the notifications that each has produced.
struct Pair {
    ends: [Group; 2],
    links: [VecDeque<Packet>; 2],
    notifications: [Vec<Event>; 2],
    now: i64,
}

impl Pair {
    /// The first end controls the even circuits and audits the group once a second.
    fn new(size: u32) -> Pair {
        let audits = Some(Audits { round: SECOND, slice: size, gap: 1_000 });
        let settings = |control, audits| GroupSettings {
            size,
            order: Order::Lowest,
            control,
            timers: Timers { release: SECOND, again: SECOND, ..Timers::default() },
            audits,
        };
        Pair {
            ends: [
                Group::new(settings(Control::Even, audits), 0, 1),
                Group::new(settings(Control::Odd, None), 0, 2),
            ],
            links: [VecDeque::new(), VecDeque::new()],
            notifications: [Vec::new(), Vec::new()],
            now: 0,
        }
    }

    fn with_end(&mut self, end: usize, action: impl FnOnce(&mut Group, i64, &mut Vec<Event>)) {
        let mut events = Vec::new();
        action(&mut self.ends[end], self.now, &mut events);
        for event in events {
            match event {
                Event::Send(token, request) => self.links[1 - end].push_back(Packet::Request(token, request)),
                Event::Reply(token, reply) => self.links[1 - end].push_back(Packet::Reply(token, reply)),
                other => self.notifications[end].push(other),
            }
        }
    }

    fn seize(&mut self, end: usize, call: u64) -> Option<u32> {
        let mut chosen = None;
        self.with_end(end, |group, now, out| chosen = group.seize(now, call, false, out));
        chosen
    }

    /// Delivers the next message in transit to an end.
    fn deliver(&mut self, to: usize) {
        match self.links[to].pop_front() {
            Some(Packet::Request(token, request)) => {
                self.with_end(to, |group, now, out| group.request(now, token, &request, out));
            }
            Some(Packet::Reply(token, reply)) => {
                self.with_end(to, |group, now, out| group.reply(now, token, &reply, out))
            }
            None => panic!("no message in transit to end {to}"),
        }
    }

    /// Delivers all messages in transit and accepts all offered calls.
    fn deliver_all(&mut self) {
        while self.links.iter().any(|link| !link.is_empty()) {
            for to in 0..2 {
                while !self.links[to].is_empty() {
                    self.deliver(to);
                    let offered: Vec<u32> = self.notifications[to]
                        .iter()
                        .filter_map(|event| match event {
                            Event::Offered(circuit, _) => Some(*circuit),
                            _ => None,
                        })
                        .collect();
                    offered
                        .into_iter()
                        .for_each(|circuit| self.with_end(to, |group, _, out| group.accept(circuit, out)));
                }
            }
        }
    }

    fn advance(&mut self, span: i64) {
        self.now += span;
        for end in 0..2 {
            self.with_end(end, |group, now, out| group.timeout(now, out));
        }
    }

    fn states(&self, circuit: u32) -> [Option<State>; 2] {
        [self.ends[0].state(circuit), self.ends[1].state(circuit)]
    }

    fn take_notifications(&mut self, end: usize) -> Vec<Event> {
        std::mem::take(&mut self.notifications[end])
    }
}

const IDLE: [Option<State>; 2] = [Some(State::Idle); 2];

#[test]
fn audit_does_not_interfere_with_a_concurrent_seizure() {
    let mut pair = Pair::new(2);
    // Queried before the seizure, answered after it.
    pair.advance(SECOND);
    let Some(Packet::Request(token, query @ Request::Query(_))) = pair.links[1].pop_front() else {
        panic!("the audit sends a query");
    };
    pair.with_end(1, |group, now, out| group.request(now, token, &query, out));
    let answer = pair.links[0].pop_front().expect("the answer, delivered later");
    assert_eq!(pair.seize(0, 7), Some(0));
    pair.links[0].push_back(answer);
    pair.deliver(0);
    // During the seizure, twice.
    for _ in 0..2 {
        pair.advance(SECOND);
        let seizure = pair.links[1].pop_front().expect("the seizure, delivered later");
        pair.deliver_all();
        pair.links[1].push_front(seizure);
    }
    assert_eq!(pair.states(0)[0], Some(State::Seizing(7)));
    pair.deliver_all();
    assert_eq!(pair.states(0), [Some(State::Outgoing(7)), Some(State::Incoming(7))]);
    // After the seizure.
    for _ in 0..5 {
        pair.advance(SECOND);
        pair.deliver_all();
    }
    assert_eq!(pair.states(0), [Some(State::Outgoing(7)), Some(State::Incoming(7))]);
    assert!(pair
        .take_notifications(0)
        .iter()
        .all(|event| !matches!(event, Event::Mended(..) | Event::Cut(..))));
}

#[test]
fn restart_of_the_far_end_frees_a_circuit_whose_answer_was_lost() {
    let mut pair = Pair::new(2);
    pair.seize(0, 7);
    pair.deliver(1);
    pair.with_end(1, |group, _, out| group.accept(0, out));
    pair.links[0].clear(); // The answer is lost.
    let restarted = Pair::new(2).ends[1].clone();
    pair.ends[1] = restarted; // The far end has lost its state.
    pair.with_end(1, |group, now, out| group.restart(now, out));
    pair.deliver_all();
    assert_eq!(pair.states(0), IDLE);
    assert!(pair.take_notifications(0).contains(&Event::Cut(0, 7, true)), "the call gets an outcome");
}

#[test]
fn reset_crossing_a_seizure_clears_it_at_both_ends() {
    let mut pair = Pair::new(2);
    pair.seize(0, 7);
    pair.with_end(1, |group, now, out| group.reset(now, Range::one(0), out));
    pair.deliver_all();
    assert_eq!(pair.states(0), IDLE);
    let notifications = pair.take_notifications(0);
    let ends = notifications
        .iter()
        .filter(|e| matches!(e, Event::Cut(0, 7, true) | Event::Refused(0, 7, _)))
        .count();
    assert_eq!(ends, 1, "exactly one outcome: {notifications:?}");
}

#[test]
fn block_crossing_a_seizure_refuses_it_and_another_circuit_is_seized() {
    let mut pair = Pair::new(2);
    pair.seize(0, 7);
    pair.with_end(1, |group, now, out| group.block(now, Range::one(0), false, true, out));
    pair.deliver_all();
    assert!(pair.take_notifications(0).contains(&Event::Refused(0, 7, Refusal::Blocked)));
    assert_eq!(pair.seize(0, 7), Some(1), "the blocked circuit is skipped");
    pair.deliver_all();
    assert_eq!(pair.states(1), [Some(State::Outgoing(7)), Some(State::Incoming(7))]);
    pair.with_end(1, |group, now, out| group.block(now, Range::one(0), false, false, out));
    pair.deliver_all();
    assert_eq!(pair.ends[0].free(), 1, "the unblocked circuit is available again");
}

#[test]
fn query_answer_from_before_a_reset_repairs_nothing() {
    let mut pair = Pair::new(1);
    pair.seize(0, 7);
    pair.deliver_all();
    // The far end loses the call, and one audit has observed the difference.
    let restarted = Pair::new(1).ends[1].clone();
    pair.ends[1] = restarted;
    pair.advance(SECOND);
    pair.deliver_all();
    // The second audit is answered, but a reset and a new call overtake the answer.
    pair.advance(SECOND);
    pair.deliver(1);
    let outdated_answer = pair.links[0].pop_front().expect("the answer");
    pair.with_end(0, |group, now, out| group.reset(now, Range::one(0), out));
    pair.deliver_all();
    assert_eq!(pair.seize(0, 8), Some(0));
    pair.deliver_all();
    pair.take_notifications(0);
    pair.links[0].push_back(outdated_answer);
    pair.deliver(0);
    assert_eq!(pair.states(0), [Some(State::Outgoing(8)), Some(State::Incoming(8))]);
    assert!(pair.take_notifications(0).is_empty());
}

#[test]
fn glare_on_all_circuits_assigns_each_to_its_controlling_end() {
    let mut pair = Pair::new(8);
    for call in 0..8 {
        assert_eq!(pair.seize(0, call), Some(call as u32));
        assert_eq!(pair.seize(1, 100 + call), Some(call as u32));
    }
    assert_eq!((pair.seize(0, 9), pair.seize(1, 109)), (None, None));
    pair.deliver_all();
    for circuit in 0..8u32 {
        let (own, other) = (u64::from(circuit), 100 + u64::from(circuit));
        let expected = match circuit % 2 {
            0 => [Some(State::Outgoing(own)), Some(State::Incoming(own))],
            _ => [Some(State::Incoming(other)), Some(State::Outgoing(other))],
        };
        assert_eq!(pair.states(circuit), expected);
    }
    let yielded = |notifications: Vec<Event>| {
        notifications.iter().filter(|event| matches!(event, Event::Yielded(..))).count()
    };
    assert_eq!((yielded(pair.take_notifications(0)), yielded(pair.take_notifications(1))), (4, 4));
}

#[test]
fn release_after_a_lost_seizure_frees_the_circuit() {
    let mut pair = Pair::new(1);
    pair.seize(0, 7);
    pair.links[1].clear(); // The seizure is lost.
    pair.with_end(0, |group, now, out| group.release(now, 0, out));
    assert_eq!(pair.states(0)[0], Some(State::Releasing(7)));
    pair.deliver_all();
    assert_eq!(pair.states(0), IDLE);
}

#[test]
fn unanswered_release_is_retransmitted_and_then_replaced_by_an_unlimited_reset() {
    let mut pair = Pair::new(1);
    pair.seize(0, 7);
    pair.deliver_all();
    pair.with_end(0, |group, now, out| group.release(now, 0, out));
    let (mut releases, mut resets) = (0, 0);
    for _ in 0..400 {
        for packet in std::mem::take(&mut pair.links[1]) {
            match packet {
                Packet::Request(_, Request::Release { .. }) => releases += 1,
                Packet::Request(_, Request::Reset(_)) => resets += 1,
                _ => {}
            }
        }
        pair.advance(SECOND);
    }
    assert_eq!(releases, 4);
    assert!(resets > 6, "resets are retransmitted frequently at first, then rarely, without end: {resets}");
    // The far end is reachable again.
    pair.advance(60 * SECOND);
    pair.deliver_all();
    assert_eq!(pair.states(0), IDLE);
}

#[test]
fn crossing_releases_free_the_circuit_once() {
    let mut pair = Pair::new(1);
    pair.seize(0, 7);
    pair.deliver_all();
    pair.with_end(0, |group, now, out| group.release(now, 0, out));
    pair.with_end(1, |group, now, out| group.release(now, 0, out));
    pair.deliver_all();
    assert_eq!(pair.states(0), IDLE);
    assert_eq!(pair.ends.iter().map(Group::waiting).sum::<usize>(), 0);
}

#[test]
fn hardware_block_clears_calls_at_both_ends_and_is_repeated_after_a_reset() {
    let mut pair = Pair::new(3);
    pair.seize(0, 7);
    pair.deliver_all();
    pair.with_end(0, |group, now, out| group.block(now, Range::one(0), true, true, out));
    pair.deliver_all();
    assert_eq!(pair.states(0), IDLE);
    assert!(pair
        .take_notifications(1)
        .iter()
        .any(|event| matches!(event, Event::Cut(0, 7, false) | Event::Ended(0, ..))));
    assert_eq!(pair.ends[1].free(), 2);
    pair.with_end(1, |group, now, out| group.restart(now, out));
    pair.deliver_all();
    assert_eq!(pair.ends[1].free(), 2, "the block survives the reset");
}

/// Guards against a stale reset clearing a new call at one end only. Releases that a restarting server had
/// not answered had turned into resets of single circuits, which were retransmitted after the reset of the
/// whole group. One of them cleared a call that the server had set up in between, but only at the server.
#[test]
fn earlier_reset_is_not_retransmitted_after_one_that_covers_it() {
    let mut pair = Pair::new(2);
    pair.with_end(0, |group, now, out| group.reset(now, Range::one(0), out));
    pair.links[1].clear();
    pair.with_end(0, |group, now, out| group.restart(now, out));
    pair.deliver_all();
    pair.seize(1, 9);
    pair.deliver_all();
    let established = [Some(State::Incoming(9)), Some(State::Outgoing(9))];
    assert_eq!(pair.states(0), established);
    pair.advance(SECOND);
    pair.deliver_all();
    assert_eq!(pair.states(0), established);
}

#[test]
fn circuit_under_two_resets_is_idle_only_after_both_replies() {
    let mut pair = Pair::new(2);
    pair.with_end(0, |group, now, out| group.restart(now, out));
    pair.links[1].clear();
    pair.with_end(0, |group, now, out| group.reset(now, Range::one(0), out));
    pair.deliver_all();
    assert_eq!(pair.states(0)[0], Some(State::Resetting), "the reset of the whole group is still pending");
    pair.advance(SECOND);
    pair.deliver_all();
    assert_eq!(pair.states(0), IDLE);
}
