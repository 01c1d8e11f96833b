//! Exhaustive state-space search over one circuit with two ends and a link that may lose messages. It runs
//! the production state machine through every interleaving up to a given depth. From every state reached, the
//! simulation continues without loss, and both ends must reach agreement.

use std::collections::{BTreeMap, HashSet, VecDeque};

use super::*;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Packet {
    Request(Token, Request),
    Reply(Token, Reply),
}

/// Remaining number of each kind of step, which bounds the search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    seizures: [u8; 2],
    releases: [u8; 2],
    resets: [u8; 2],
    losses: u8,
    timeouts: [u8; 2],
}

#[derive(Clone)]
struct Simulation {
    ends: [Group; 2],
    /// Messages in transit to each end.
    links: [VecDeque<Packet>; 2],
    now: Micros,
    budget: Budget,
    calls: u64,
    /// Number of outcomes reported for each call: acceptance counts as one, and so does any other end of a
    /// seizure.
    outcomes: BTreeMap<CallRef, u8>,
    disputes: u32,
}

fn new_end(control: Control, seed: u64) -> Group {
    let timers = Timers { seize: 100, release: 10, releases: 2, again: 10, seldom: 10 };
    Group::new(GroupSettings { size: 1, order: Order::Lowest, control, timers, audits: None }, 0, seed)
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Seize(usize),
    Release(usize),
    Reset(usize),
    Deliver(usize),
    Lose(usize),
    Timeout(usize),
}

impl Simulation {
    fn new(controls: [Control; 2], budget: Budget) -> Simulation {
        Simulation {
            ends: [new_end(controls[0], 1), new_end(controls[1], 2)],
            links: [VecDeque::new(), VecDeque::new()],
            now: 0,
            budget,
            calls: 0,
            outcomes: BTreeMap::new(),
            disputes: 0,
        }
    }

    /// Carries out the events of an end; offered calls are accepted at once.
    fn apply_events(&mut self, side: usize, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Send(token, request) => {
                    self.links[1 - side].push_back(Packet::Request(token, request))
                }
                Event::Reply(token, reply) => self.links[1 - side].push_back(Packet::Reply(token, reply)),
                Event::Offered(circuit, _) => {
                    let mut out = Vec::new();
                    self.ends[side].accept(circuit, &mut out);
                    self.apply_events(side, out);
                }
                Event::Stands(_, call)
                | Event::Refused(_, call, _)
                | Event::Yielded(_, call)
                | Event::Lost(_, call) => {
                    *self.outcomes.entry(call).or_default() += 1;
                }
                Event::Dispute(_) => self.disputes += 1,
                // The end of an established call. For a call without an outcome so far, it is the outcome.
                Event::Ended(_, call, true) | Event::Cut(_, call, true) => {
                    let count = self.outcomes.entry(call).or_default();
                    *count = (*count).max(1);
                }
                Event::Ended(..) | Event::Cut(..) | Event::Mended(..) => {}
            }
        }
    }

    fn deliver(&mut self, to: usize) {
        let Some(packet) = self.links[to].pop_front() else { return };
        let mut out = Vec::new();
        match packet {
            Packet::Request(token, request) => self.ends[to].request(self.now, token, &request, &mut out),
            Packet::Reply(token, reply) => self.ends[to].reply(self.now, token, &reply, &mut out),
        }
        self.apply_events(to, out);
    }

    fn timeout(&mut self, side: usize) {
        if let Some(due) = self.ends[side].due() {
            self.now = self.now.max(due);
            let mut out = Vec::new();
            self.ends[side].timeout(self.now, &mut out);
            self.apply_events(side, out);
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for side in 0..2 {
            let state = self.ends[side].circuits[0].state;
            if self.budget.seizures[side] > 0 && self.ends[side].free() > 0 {
                steps.push(Step::Seize(side));
            }
            if self.budget.releases[side] > 0
                && matches!(state, State::Outgoing(_) | State::Incoming(_) | State::Seizing(_))
            {
                steps.push(Step::Release(side));
            }
            if self.budget.resets[side] > 0 {
                steps.push(Step::Reset(side));
            }
            if !self.links[side].is_empty() {
                steps.push(Step::Deliver(side));
                if self.budget.losses > 0 {
                    steps.push(Step::Lose(side));
                }
            }
            if self.budget.timeouts[side] > 0 && self.ends[side].due().is_some() {
                steps.push(Step::Timeout(side));
            }
        }
        steps
    }

    fn step(&mut self, step: Step) {
        let mut out = Vec::new();
        match step {
            Step::Seize(side) => {
                self.budget.seizures[side] -= 1;
                self.calls += 1;
                let call = self.calls + 100 * side as u64;
                self.outcomes.insert(call, 0);
                self.ends[side].seize(self.now, call, false, &mut out);
                self.apply_events(side, out);
            }
            Step::Release(side) => {
                self.budget.releases[side] -= 1;
                if let State::Seizing(call) = self.ends[side].circuits[0].state {
                    *self.outcomes.entry(call).or_default() += 1; // Abandoning the seizure is its outcome.
                }
                self.ends[side].release(self.now, 0, &mut out);
                self.apply_events(side, out);
            }
            Step::Reset(side) => {
                self.budget.resets[side] -= 1;
                self.ends[side].reset(self.now, Range::one(0), &mut out);
                self.apply_events(side, out);
            }
            Step::Deliver(to) => self.deliver(to),
            Step::Lose(to) => {
                self.budget.losses -= 1;
                self.links[to].pop_front();
            }
            Step::Timeout(side) => {
                self.budget.timeouts[side] -= 1;
                self.timeout(side);
            }
        }
    }

    /// Checks that no two calls hold the circuit and no call has more than one outcome.
    fn check(&self) -> Result<(), String> {
        let states = [self.ends[0].circuits[0].state, self.ends[1].circuits[0].state];
        match states {
            [State::Outgoing(a), State::Outgoing(b)] => {
                return Err(format!("calls {a} and {b} are both established"))
            }
            [State::Outgoing(a), State::Incoming(b)] | [State::Incoming(b), State::Outgoing(a)] if a != b => {
                return Err(format!("one end holds call {a}, the other {b}"));
            }
            _ => {}
        }
        if let Some((call, count)) = self.outcomes.iter().find(|(_, count)| **count > 1) {
            return Err(format!("call {call} has {count} outcomes"));
        }
        Ok(())
    }

    /// Continues without loss, delivering all messages and firing timers, until no request is pending; then
    /// checks that the ends agree.
    fn run_to_quiescence(mut self) -> Result<(), String> {
        for _ in 0..60 {
            while self.links.iter().any(|link| !link.is_empty()) {
                self.deliver(0);
                self.deliver(1);
                self.check()?;
            }
            if self.ends.iter().all(|end| end.pending.is_empty()) {
                break;
            }
            self.timeout(0);
            self.timeout(1);
        }
        if self.ends.iter().any(|end| !end.pending.is_empty()) {
            return Err("requests are still pending after 60 rounds of timers".to_owned());
        }
        let states = [self.ends[0].circuits[0].state, self.ends[1].circuits[0].state];
        let agree = match states {
            [State::Idle, State::Idle] => true,
            [State::Outgoing(a), State::Incoming(b)] | [State::Incoming(b), State::Outgoing(a)] => a == b,
            _ => false,
        };
        if !agree {
            return Err(format!("the ends disagree in the final state: {states:?}"));
        }
        if let Some((call, count)) = self.outcomes.iter().find(|(_, count)| **count != 1) {
            return Err(format!("call {call} has {count} outcomes in the final state"));
        }
        Ok(())
    }

    /// Returns a canonical form of the state: tokens are renumbered in order of appearance and times left
    /// out.
    fn fingerprint(&self) -> String {
        let mut numbers: BTreeMap<(usize, Token), usize> = BTreeMap::new();
        let mut number = |side: usize, token: Token| {
            let next = numbers.len();
            *numbers.entry((side, token)).or_insert(next)
        };
        let mut text = String::new();
        for (side, end) in self.ends.iter().enumerate() {
            let mut pending: Vec<(&Token, &Pending)> = end.pending.iter().collect();
            pending.sort_by_key(|(token, pending)| (pending.due_at, **token));
            for (token, pending) in pending {
                let sent = pending.sent.min(3);
                text +=
                    &format!("{} {:?} {sent} {};", number(side, *token), pending.request, pending.abandoned);
            }
            text += "|";
        }
        for (side, link) in self.links.iter().enumerate() {
            for packet in link {
                text += &match packet {
                    Packet::Request(token, request) => format!("?{} {request:?};", number(1 - side, *token)),
                    Packet::Reply(token, reply) => format!("!{} {reply:?};", number(side, *token)),
                };
            }
            text += "|";
        }
        for (side, end) in self.ends.iter().enumerate() {
            let circuit = &end.circuits[0];
            let (token, seizure_token) =
                (number(side, circuit.token), number(1 - side, circuit.seizure_token));
            let reset = circuit.last_reset.map(|token| number(1 - side, token));
            text += &format!(
                "{:?} {token} {seizure_token} {:?} {reset:?} {} {:?};",
                circuit.state, circuit.seizure_reply, circuit.outgoing, circuit.remote
            );
        }
        text += &format!("{:?}{:?}", self.budget, self.outcomes);
        text
    }
}

/// Searches breadth-first to the given depth and returns the number of distinct states.
fn search(controls: [Control; 2], budget: Budget, depth: usize) -> usize {
    let first = Simulation::new(controls, budget);
    let mut seen = HashSet::from([first.fingerprint()]);
    let mut layer = vec![(first, Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (simulation, path) in layer {
            for step in simulation.steps() {
                let mut successor = simulation.clone();
                successor.step(step);
                if !seen.insert(successor.fingerprint()) {
                    continue;
                }
                let mut path: Vec<Step> = path.clone();
                path.push(step);
                let verdict = successor.check().and_then(|()| successor.clone().run_to_quiescence());
                assert!(verdict.is_ok(), "{verdict:?} after {path:?}");
                next.push((successor, path));
            }
        }
        layer = next;
    }
    seen.len()
}

const SMALL_BUDGET: Budget =
    Budget { seizures: [1, 1], releases: [1, 1], resets: [0, 0], losses: 1, timeouts: [1, 1] };

#[test]
fn interleavings_of_seizures_releases_and_a_loss_end_in_agreement() {
    let states = search([Control::Even, Control::Odd], SMALL_BUDGET, 12);
    assert!(states > 2_000, "the search covered too few states: {states}");
}

#[test]
fn interleavings_with_resets_end_in_agreement() {
    let budget = Budget { seizures: [2, 1], releases: [1, 0], resets: [1, 1], losses: 1, timeouts: [1, 1] };
    let states = search([Control::Even, Control::Odd], budget, 9);
    assert!(states > 5_000, "{states}");
}

#[test]
fn ends_with_conflicting_control_end_in_agreement() {
    for controls in [[Control::Even, Control::Even], [Control::Odd, Control::Odd]] {
        let states = search(controls, Budget { losses: 0, ..SMALL_BUDGET }, 12);
        assert!(states > 500, "{states}");
    }
}

/// Takes minutes in a debug build; run with `cargo test --release -p lemoncleat-circuits -- --ignored`.
#[test]
#[ignore = "takes long without optimisation"]
fn deeper_searches_with_more_losses_end_in_agreement() {
    let larger_budget = Budget { losses: 2, timeouts: [2, 2], ..SMALL_BUDGET };
    println!("{} states of seizures and releases", search([Control::Even, Control::Odd], larger_budget, 14));
    let reset_budget =
        Budget { seizures: [2, 1], releases: [1, 0], resets: [1, 1], losses: 1, timeouts: [1, 1] };
    println!("{} states with resets", search([Control::Even, Control::Odd], reset_budget, 11));
}
