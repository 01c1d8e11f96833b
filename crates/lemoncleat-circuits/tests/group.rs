//! Two ends of a group, messages carried by hand: the crossings and losses that the texts name.

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

/// Both ends, with the messages that are on their way to each and what each was told.
struct Pair {
    ends: [Group; 2],
    links: [VecDeque<Packet>; 2],
    told: [Vec<Event>; 2],
    now: i64,
}

impl Pair {
    /// The first end controls the even circuits and audits, a second for a round.
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
            told: [Vec::new(), Vec::new()],
            now: 0,
        }
    }

    fn act(&mut self, end: usize, act: impl FnOnce(&mut Group, i64, &mut Vec<Event>)) {
        let mut events = Vec::new();
        act(&mut self.ends[end], self.now, &mut events);
        for event in events {
            match event {
                Event::Send(token, request) => self.links[1 - end].push_back(Packet::Request(token, request)),
                Event::Reply(token, reply) => self.links[1 - end].push_back(Packet::Reply(token, reply)),
                other => self.told[end].push(other),
            }
        }
    }

    fn seize(&mut self, end: usize, call: u64) -> Option<u32> {
        let mut chosen = None;
        self.act(end, |group, now, out| chosen = group.seize(now, call, false, out));
        chosen
    }

    /// The next message on its way to an end arrives.
    fn deliver(&mut self, to: usize) {
        match self.links[to].pop_front() {
            Some(Packet::Request(token, request)) => {
                self.act(to, |group, now, out| group.request(now, token, &request, out));
            }
            Some(Packet::Reply(token, reply)) => {
                self.act(to, |group, now, out| group.reply(now, token, &reply, out))
            }
            None => panic!("nothing is on its way to end {to}"),
        }
    }

    /// All that is on its way arrives, and calls that are offered are accepted.
    fn settle(&mut self) {
        while self.links.iter().any(|link| !link.is_empty()) {
            for to in 0..2 {
                while !self.links[to].is_empty() {
                    self.deliver(to);
                    let offered: Vec<u32> = self.told[to]
                        .iter()
                        .filter_map(|event| match event {
                            Event::Offered(circuit, _) => Some(*circuit),
                            _ => None,
                        })
                        .collect();
                    offered
                        .into_iter()
                        .for_each(|circuit| self.act(to, |group, _, out| group.accept(circuit, out)));
                }
            }
        }
    }

    fn pass(&mut self, span: i64) {
        self.now += span;
        for end in 0..2 {
            self.act(end, |group, now, out| group.timeout(now, out));
        }
    }

    fn states(&self, circuit: u32) -> [Option<State>; 2] {
        [self.ends[0].state(circuit), self.ends[1].state(circuit)]
    }

    fn told(&mut self, end: usize) -> Vec<Event> {
        std::mem::take(&mut self.told[end])
    }
}

const IDLE: [Option<State>; 2] = [Some(State::Idle); 2];

#[test]
fn an_audit_before_during_and_after_the_seizure_it_looks_at_touches_nothing() {
    let mut pair = Pair::new(2);
    // Asked before the seizure, answered after it.
    pair.pass(SECOND);
    let Some(Packet::Request(token, query @ Request::Query(_))) = pair.links[1].pop_front() else {
        panic!("an audit asks first");
    };
    pair.act(1, |group, now, out| group.request(now, token, &query, out));
    let answer = pair.links[0].pop_front().expect("its answer is held back");
    assert_eq!(pair.seize(0, 7), Some(0));
    pair.links[0].push_back(answer);
    pair.deliver(0);
    // During the seizure, twice.
    for _ in 0..2 {
        pair.pass(SECOND);
        let seizure = pair.links[1].pop_front().expect("the seizure is slow");
        pair.settle();
        pair.links[1].push_front(seizure);
    }
    assert_eq!(pair.states(0)[0], Some(State::Seizing(7)));
    pair.settle();
    assert_eq!(pair.states(0), [Some(State::Outgoing(7)), Some(State::Incoming(7))]);
    // And after it.
    for _ in 0..5 {
        pair.pass(SECOND);
        pair.settle();
    }
    assert_eq!(pair.states(0), [Some(State::Outgoing(7)), Some(State::Incoming(7))]);
    assert!(pair.told(0).iter().all(|event| !matches!(event, Event::Mended(..) | Event::Cut(..))));
}

#[test]
fn an_answer_lost_and_then_a_restart_of_the_far_end_frees_the_circuit() {
    let mut pair = Pair::new(2);
    pair.seize(0, 7);
    pair.deliver(1);
    pair.act(1, |group, _, out| group.accept(0, out));
    pair.links[0].clear(); // The answer is lost,
    let restarted = Pair::new(2).ends[1].clone();
    pair.ends[1] = restarted; // and whoever gave it knows nothing any more.
    pair.act(1, |group, now, out| group.restart(now, out));
    pair.settle();
    assert_eq!(pair.states(0), IDLE);
    assert!(pair.told(0).contains(&Event::Cut(0, 7, true)), "the call has its outcome");
}

#[test]
fn a_reset_that_crosses_a_seizure_ends_it_at_both_ends() {
    let mut pair = Pair::new(2);
    pair.seize(0, 7);
    pair.act(1, |group, now, out| group.reset(now, Range::one(0), out));
    pair.settle();
    assert_eq!(pair.states(0), IDLE);
    let told = pair.told(0);
    let ends = told.iter().filter(|e| matches!(e, Event::Cut(0, 7, true) | Event::Refused(0, 7, _))).count();
    assert_eq!(ends, 1, "exactly one outcome: {told:?}");
}

#[test]
fn a_block_that_crosses_a_seizure_refuses_it_and_the_call_finds_another_circuit() {
    let mut pair = Pair::new(2);
    pair.seize(0, 7);
    pair.act(1, |group, now, out| group.block(now, Range::one(0), false, true, out));
    pair.settle();
    assert!(pair.told(0).contains(&Event::Refused(0, 7, Refusal::Blocked)));
    assert_eq!(pair.seize(0, 7), Some(1), "the blocked one is left out");
    pair.settle();
    assert_eq!(pair.states(1), [Some(State::Outgoing(7)), Some(State::Incoming(7))]);
    pair.act(1, |group, now, out| group.block(now, Range::one(0), false, false, out));
    pair.settle();
    assert_eq!(pair.ends[0].free(), 1, "unblocked, it may be seized again");
}

#[test]
fn a_query_answered_from_before_a_reset_mends_nothing() {
    let mut pair = Pair::new(1);
    pair.seize(0, 7);
    pair.settle();
    // The far end loses the call; one look has seen the difference.
    let fresh = Pair::new(1).ends[1].clone();
    pair.ends[1] = fresh;
    pair.pass(SECOND);
    pair.settle();
    // The second look is answered, but its answer is overtaken by a reset and a new call.
    pair.pass(SECOND);
    pair.deliver(1);
    let stale = pair.links[0].pop_front().expect("the answer");
    pair.act(0, |group, now, out| group.reset(now, Range::one(0), out));
    pair.settle();
    assert_eq!(pair.seize(0, 8), Some(0));
    pair.settle();
    pair.told(0);
    pair.links[0].push_back(stale);
    pair.deliver(0);
    assert_eq!(pair.states(0), [Some(State::Outgoing(8)), Some(State::Incoming(8))]);
    assert!(pair.told(0).is_empty());
}

#[test]
fn a_full_group_with_glare_gives_each_circuit_to_its_controlling_end() {
    let mut pair = Pair::new(8);
    for call in 0..8 {
        assert_eq!(pair.seize(0, call), Some(call as u32));
        assert_eq!(pair.seize(1, 100 + call), Some(call as u32));
    }
    assert_eq!((pair.seize(0, 9), pair.seize(1, 109)), (None, None));
    pair.settle();
    for circuit in 0..8u32 {
        let (own, other) = (u64::from(circuit), 100 + u64::from(circuit));
        let expected = match circuit % 2 {
            0 => [Some(State::Outgoing(own)), Some(State::Incoming(own))],
            _ => [Some(State::Incoming(other)), Some(State::Outgoing(other))],
        };
        assert_eq!(pair.states(circuit), expected);
    }
    let yielded = |told: Vec<Event>| told.iter().filter(|event| matches!(event, Event::Yielded(..))).count();
    assert_eq!((yielded(pair.told(0)), yielded(pair.told(1))), (4, 4));
}

#[test]
fn the_release_of_a_call_whose_seizure_was_never_heard_frees_the_circuit() {
    let mut pair = Pair::new(1);
    pair.seize(0, 7);
    pair.links[1].clear(); // The seizure is lost.
    pair.act(0, |group, now, out| group.release(now, 0, out));
    assert_eq!(pair.states(0)[0], Some(State::Releasing(7)));
    pair.settle();
    assert_eq!(pair.states(0), IDLE);
}

#[test]
fn a_release_without_a_reply_is_repeated_and_becomes_a_reset_that_does_not_give_up() {
    let mut pair = Pair::new(1);
    pair.seize(0, 7);
    pair.settle();
    pair.act(0, |group, now, out| group.release(now, 0, out));
    let (mut releases, mut resets) = (0, 0);
    for _ in 0..400 {
        for packet in std::mem::take(&mut pair.links[1]) {
            match packet {
                Packet::Request(_, Request::Release { .. }) => releases += 1,
                Packet::Request(_, Request::Reset(_)) => resets += 1,
                _ => {}
            }
        }
        pair.pass(SECOND);
    }
    assert_eq!(releases, 4);
    assert!(resets > 6, "often at first, seldom later, never given up: {resets}");
    // The far end is back.
    pair.pass(60 * SECOND);
    pair.settle();
    assert_eq!(pair.states(0), IDLE);
}

#[test]
fn releases_that_cross_free_the_circuit_once() {
    let mut pair = Pair::new(1);
    pair.seize(0, 7);
    pair.settle();
    pair.act(0, |group, now, out| group.release(now, 0, out));
    pair.act(1, |group, now, out| group.release(now, 0, out));
    pair.settle();
    assert_eq!(pair.states(0), IDLE);
    assert_eq!(pair.ends.iter().map(Group::waiting).sum::<usize>(), 0);
}

#[test]
fn a_hardware_block_cuts_calls_at_both_ends_and_is_told_again_after_a_reset() {
    let mut pair = Pair::new(3);
    pair.seize(0, 7);
    pair.settle();
    pair.act(0, |group, now, out| group.block(now, Range::one(0), true, true, out));
    pair.settle();
    assert_eq!(pair.states(0), IDLE);
    assert!(pair.told(1).iter().any(|event| matches!(event, Event::Cut(0, 7, false) | Event::Ended(0, ..))));
    assert_eq!(pair.ends[1].free(), 2);
    pair.act(1, |group, now, out| group.restart(now, out));
    pair.settle();
    assert_eq!(pair.ends[1].free(), 2, "the block outlives the reset");
}

/// Seen with a server that started anew: releases that it never answered had become resets, circuit by circuit, and
/// were said again behind the reset of the whole group. One ended a call of the server's that had begun in between,
/// and only at the server.
#[test]
fn an_earlier_reset_is_not_said_again_behind_the_one_that_covers_it() {
    let mut pair = Pair::new(2);
    pair.act(0, |group, now, out| group.reset(now, Range::one(0), out));
    pair.links[1].clear();
    pair.act(0, |group, now, out| group.restart(now, out));
    pair.settle();
    pair.seize(1, 9);
    pair.settle();
    let stands = [Some(State::Incoming(9)), Some(State::Outgoing(9))];
    assert_eq!(pair.states(0), stands);
    pair.pass(SECOND);
    pair.settle();
    assert_eq!(pair.states(0), stands);
}

#[test]
fn a_circuit_under_two_resets_is_idle_only_after_both() {
    let mut pair = Pair::new(2);
    pair.act(0, |group, now, out| group.restart(now, out));
    pair.links[1].clear();
    pair.act(0, |group, now, out| group.reset(now, Range::one(0), out));
    pair.settle();
    assert_eq!(pair.states(0)[0], Some(State::Resetting), "the larger one will be said again");
    pair.pass(SECOND);
    pair.settle();
    assert_eq!(pair.states(0), IDLE);
}
