//! Runs a chain: one event queue in the order of time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use lemoncleat::{
    Action, Availability, Call, CallId, Class, Controller, Event, Member, Outcome as AttemptOutcome, Reason,
    Report, ServerId, ServerListUpdate, Settings, SettingsError,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{FailureMode, Left, Outcome, Part, Plan, Span, UpwardAnswer};
use crate::Micros;

/// Longest wait at a server; it refuses a set-up that would wait longer, at this share of a set-up's work.
const MAX_QUEUE_WAIT_US: Micros = 400_000;
const REFUSAL_WORK_SHARE: f64 = 0.2;
/// Most repeats that a budget saves up.
const MAX_SAVED_REPEATS: f64 = 5.0;
/// Largest relative deviation of the load, and largest drop in the share of calls set up in time, that count
/// as at rest.
const REST_TOLERANCE: (f64, f64) = (0.25, 0.02);
const SECOND: Micros = 1_000_000;

/// Answer of a server to a set-up.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Ok,
    Error,
    Tried,
    Full { wait: Micros },
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A call enters the chain.
    Enter,
    /// A node's timer expires.
    Timer { level: usize, node: usize, token: u64 },
    /// A set-up arrives at its server.
    ServerReceives(u64),
    /// The server has done its work on the set-up.
    ServerDone(u64),
    /// An answer arrives at the node.
    AnswerArrives(u64, Answer),
    /// The node stops waiting for the attempt.
    AttemptEnds { attempt: u64, cancelled: bool },
    /// The server learns that the attempt was withdrawn.
    ServerWithdraws(u64),
}

struct RootCall {
    deadline: Micros,
    span: Option<usize>,
    second: usize,
    answered: bool,
}

/// A call at a node.
struct NodeCall {
    root: usize,
    level: usize,
    node: usize,
    /// The attempt of the level above that this call serves.
    parent_attempt: Option<u64>,
    /// The caller's deadline, and the time by which the controller must have answered.
    deadline: Micros,
    answer_by: Micros,
    attempts: u32,
    pending_attempt: Option<u64>,
}

struct Attempt {
    root: usize,
    call: u64,
    level: usize,
    number: u32,
    server: usize,
    sent: Micros,
    /// Time left that is told to the server, and the deadline, which the server computes from it on arrival.
    time_told: Micros,
    deadline: Micros,
    /// Whether the node still waits, and whether the server still works on it.
    waited_for: bool,
    worked_on: bool,
    /// The call that the server made for it.
    child_call: Option<u64>,
}

struct Node {
    controller: Controller,
    /// Repeats that the budget has left.
    saved_repeats: f64,
}

pub(super) struct Run<'a> {
    plan: &'a Plan,
    rng: SmallRng,
    now: Micros,
    steps: u64,
    event_seq: u64,
    digest: u64,
    broken: Option<String>,
    queue: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    nodes: Vec<Vec<Node>>,
    /// Time until which each server is busy.
    busy: Vec<Vec<Micros>>,
    roots: Vec<RootCall>,
    calls: BTreeMap<u64, NodeCall>,
    attempts: BTreeMap<u64, Attempt>,
    next: u64,
    spans: [Span; 3],
    left: [Vec<Vec<Micros>>; 3],
    bottom: Vec<u64>,
    /// Calls that entered and those set up in time, by second.
    seconds: Vec<(u64, u64)>,
}

impl<'a> Run<'a> {
    pub(super) fn new(plan: &'a Plan) -> Result<Self, SettingsError> {
        let class = Class {
            aim: plan.patience / 2,
            deadline: 3 * plan.patience,
            worth: 1.0,
            late_worth: 0.2,
            length: 8 * SECOND,
            ..Class::default()
        };
        let settings = |own_number| Settings {
            classes: vec![class.clone()],
            balancers: plan.servers as u32,
            own_number,
            release: 300_000,
            repeat: 400_000,
            tells_wait: true,
            max_attempts: plan.variant.attempts,
            may_cancel: true,
            ..Settings::default()
        };
        let mut rng = SmallRng::seed_from_u64(plan.seed ^ 0xc4a1_4000);
        let members = |_| Member {
            server: ServerId(0),
            availability: Availability::Ready,
            started_at: None,
            place: 0,
            zone: 0,
            kind: 0,
        };
        let list: Vec<Member> = (0..plan.servers)
            .map(members)
            .enumerate()
            .map(|(at, member)| Member { server: ServerId(at as u32), place: at as i64, ..member })
            .collect();
        let mut nodes = Vec::new();
        for _ in 0..plan.depth {
            let mut level = Vec::new();
            for number in 0..plan.servers {
                let mut controller = Controller::new(settings(number as u32), rng.random())?;
                let news = ServerListUpdate::Complete(list.clone());
                controller.handle(0, Event::Members(news), &mut Vec::new());
                level.push(Node { controller, saved_repeats: MAX_SAVED_REPEATS });
            }
            nodes.push(level);
        }
        let span = || Span { attempts: vec![0; plan.depth], ..Span::default() };
        let left = || vec![Vec::new(); plan.depth];
        let mut run = Run {
            plan,
            rng,
            now: 0,
            steps: 0,
            event_seq: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            broken: None,
            queue: BinaryHeap::new(),
            nodes,
            busy: vec![vec![0; plan.servers]; plan.depth],
            roots: Vec::new(),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next: 0,
            spans: [span(), span(), span()],
            left: [left(), left(), left()],
            bottom: Vec::new(),
            seconds: Vec::new(),
        };
        run.at(0, SimEvent::Enter);
        Ok(run)
    }

    fn at(&mut self, at: Micros, event: SimEvent) {
        self.event_seq += 1;
        self.queue.push(Reverse((at, self.event_seq, event)));
    }

    fn travel_time(&mut self) -> Micros {
        let (least, extra) = self.plan.way;
        least + self.rng.random_range(0..=extra.max(0))
    }

    fn update_digest(&mut self, words: [u64; 3]) {
        for word in words {
            self.digest = (self.digest ^ word).wrapping_mul(0x0000_0100_0000_01b3).rotate_left(23);
        }
    }

    fn fail(&mut self, why: impl FnOnce() -> String) {
        if self.broken.is_none() {
            self.broken = Some(format!("at {} us: {}", self.now, why()));
        }
    }

    fn failing(&self) -> (Micros, Micros) {
        let from = self.plan.settle + self.plan.before;
        (from, from + self.plan.failing)
    }

    /// Returns the span of a time: before, while or after the failure; none during settling.
    fn span(&self, at: Micros) -> Option<usize> {
        let (from, until) = self.failing();
        match at {
            at if at < self.plan.settle => None,
            at if at < from => Some(0),
            at if at < until => Some(1),
            _ => Some(2),
        }
    }

    pub(super) fn play(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.now = at;
            self.steps += 1;
            self.handle_event(event);
        }
        if let Some(at) = self.roots.iter().position(|root| !root.answered) {
            self.fail(|| format!("call {at} was never answered"));
        }
        self.outcome()
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Enter => self.enter_call(),
            SimEvent::Timer { level, node, token } => self.drive_controller(level, node, Event::Timer(token)),
            SimEvent::ServerReceives(attempt) => self.server_receives(attempt),
            SimEvent::ServerDone(attempt) => self.server_done(attempt),
            SimEvent::AnswerArrives(attempt, answer) => self.answer_arrives(attempt, answer),
            SimEvent::AttemptEnds { attempt, cancelled } => self.end_attempt(attempt, cancelled),
            SimEvent::ServerWithdraws(attempt) => self.server_withdraws(attempt),
        }
    }

    fn enter_call(&mut self) {
        let plan = self.plan;
        let gap = (-(1.0 - self.rng.random::<f64>()).ln() * 1e6 / plan.rate.max(1e-3)) as Micros + 1;
        let end = self.failing().1 + plan.after;
        if self.now + gap < end {
            self.at(self.now + gap, SimEvent::Enter);
        }
        let root = self.roots.len();
        let second = (self.now / SECOND) as usize;
        let deadline = self.now + plan.patience;
        let span = self.span(self.now);
        self.roots.push(RootCall { deadline, span, second, answered: false });
        if let Some(span) = span {
            self.spans[span].entered += 1;
        }
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0, 0));
        }
        self.seconds[second].0 += 1;
        let node = self.rng.random_range(0..plan.servers);
        self.start_call(root, 0, node, None, plan.patience);
    }

    /// Starts a call at a node.
    fn start_call(
        &mut self,
        root: usize,
        level: usize,
        node: usize,
        parent_attempt: Option<u64>,
        patience: Micros,
    ) {
        let id = self.next;
        self.next += 1;
        let (now, margin) = (self.now, self.plan.margin.min(patience / 2));
        let deadline = now + patience;
        let answer_by = deadline - margin;
        let at = NodeCall {
            root,
            level,
            node,
            parent_attempt,
            deadline,
            answer_by,
            attempts: 0,
            pending_attempt: None,
        };
        self.calls.insert(id, at);
        if let Some(attempt) = parent_attempt.and_then(|parent| self.attempts.get_mut(&parent)) {
            attempt.child_call = Some(id);
        }
        let call = Call {
            id: CallId(id),
            patience: (answer_by - now).max(1),
            width: 1.0,
            destination: (id % self.plan.servers as u64) as i64,
            ..Call::default()
        };
        self.drive_controller(level, node, Event::Call(call));
    }

    fn drive_controller(&mut self, level: usize, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[level][node].controller.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { call, server, timeout } => self.send(call.0, server.0 as usize, timeout),
                Action::Refuse { call, .. } => self.fail_call(call.0),
                Action::Fail(call) => self.fail_call(call.0),
                Action::Cancel { call, .. } => {
                    if let Some(attempt) = self.calls.get(&call.0).and_then(|call| call.pending_attempt) {
                        self.at(self.now, SimEvent::AttemptEnds { attempt, cancelled: true });
                    }
                }
                Action::Timer { token, delay } => {
                    self.at(self.now + delay, SimEvent::Timer { level, node, token })
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, id: u64, server: usize, timeout: Micros) {
        let (now, plan) = (self.now, self.plan);
        let Some(call) = self.calls.get_mut(&id) else {
            return self.fail(|| format!("an attempt for call {id}, which is already answered"));
        };
        let (root, level, node, number) = (call.root, call.level, call.node, call.attempts);
        call.attempts += 1;
        if let Some(share) = plan.variant.budget {
            let saved_repeats = &mut self.nodes[level][node].saved_repeats;
            if number == 0 {
                *saved_repeats = (*saved_repeats + share).min(MAX_SAVED_REPEATS);
            } else if *saved_repeats >= 1.0 {
                *saved_repeats -= 1.0;
            } else {
                // The budget is used up: the repeat is not sent, and the call is answered.
                let ended = Event::Ended {
                    call: CallId(id),
                    attempt: number,
                    server: ServerId(server as u32),
                    outcome: AttemptOutcome::Moot,
                    lag: 0,
                    closed: true,
                    reason: Reason::None,
                    report: Report::default(),
                };
                self.fail_call(id);
                return self.drive_controller(level, node, ended);
            }
        }
        let (deadline, answer_by, pending_attempt) = (call.deadline, call.answer_by, call.pending_attempt);
        if now >= deadline {
            self.fail(|| format!("an attempt for call {id} after the deadline handed down, {deadline} us"));
        }
        if pending_attempt.is_some() {
            self.fail(|| format!("call {id} has two attempts under way"));
        }
        let ends = if timeout > 0 { answer_by.min(now + timeout) } else { answer_by };
        let attempt = self.next;
        self.next += 1;
        let time_told = if plan.variant.handed_down { ends - now } else { plan.patience };
        let state = Attempt {
            root,
            call: id,
            level,
            number,
            server,
            sent: now,
            time_told,
            deadline: now,
            waited_for: true,
            worked_on: true,
            child_call: None,
        };
        self.attempts.insert(attempt, state);
        if let Some(call) = self.calls.get_mut(&id) {
            call.pending_attempt = Some(attempt);
        }
        if let Some(span) = self.roots[root].span {
            self.spans[span].attempts[level] += 1;
            self.spans[span].late += u64::from(now > self.roots[root].deadline);
        }
        self.update_digest([now as u64, id, (level * plan.servers + server) as u64]);
        let travel_time = self.travel_time();
        self.at(now + travel_time, SimEvent::ServerReceives(attempt));
        self.at(ends, SimEvent::AttemptEnds { attempt, cancelled: false });
    }

    /// Ends a call without success.
    fn fail_call(&mut self, id: u64) {
        self.answer_call(id, false);
    }

    /// Gives the final answer to a call: to the caller, or to the server that made it.
    fn answer_call(&mut self, id: u64, good: bool) {
        let Some(call) = self.calls.remove(&id) else {
            return self.fail(|| format!("a second answer to call {id}"));
        };
        let now = self.now;
        self.update_digest([now as u64, id, u64::from(good) + 2]);
        let Some(parent_attempt) = call.parent_attempt else {
            let root = &mut self.roots[call.root];
            let (twice, late) = (root.answered, now > root.deadline);
            root.answered = true;
            let (span, second) = (root.span, root.second);
            if twice || late {
                self.fail(|| format!("invalid answer to call {id}: repeated {twice}, late {late}"));
            }
            if let Some(span) = span {
                let span = &mut self.spans[span];
                *(if good { &mut span.stood } else { &mut span.failed }) += 1;
            }
            self.seconds[second].1 += u64::from(good);
            return;
        };
        let answer = match (good, self.plan.variant.upward) {
            (true, _) => Answer::Ok,
            (false, UpwardAnswer::Error) => Answer::Error,
            (false, UpwardAnswer::Refusal) => Answer::Full { wait: 0 },
            (false, UpwardAnswer::Tried) => Answer::Tried,
        };
        self.server_answers(parent_attempt, answer);
    }

    /// Sends a server's answer.
    fn server_answers(&mut self, attempt: u64, answer: Answer) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        state.worked_on = false;
        state.child_call = None;
        let travel_time = self.travel_time();
        self.at(self.now + travel_time, SimEvent::AnswerArrives(attempt, answer));
    }

    fn is_failing(&mut self, server: usize) -> bool {
        let (from, until) = self.failing();
        if self.now < from || self.now >= until {
            return false;
        }
        match self.plan.part {
            Part::Servers => server < (self.plan.fails * self.plan.servers as f64).round() as usize,
            Part::SetUps => self.rng.random::<f64>() < self.plan.fails,
        }
    }

    fn server_receives(&mut self, id: u64) {
        let (now, plan) = (self.now, self.plan);
        let Some(state) = self.attempts.get_mut(&id) else { return };
        state.deadline = now + state.time_told;
        let (root, level, server) = (state.root, state.level, state.server);
        if let Some(span) = self.roots[root].span {
            self.left[span][level].push(self.roots[root].deadline - now);
        }
        let last = level + 1 == plan.depth;
        if last {
            let second = (now / SECOND) as usize;
            if self.bottom.len() <= second {
                self.bottom.resize(second + 1, 0);
            }
            self.bottom[second] += 1;
        }
        let work = 1e6 / plan.capacity.max(1e-3);
        let refuses = last && plan.how == FailureMode::Refusal && self.is_failing(server);
        let busy = &mut self.busy[level][server];
        let begins = now.max(*busy);
        let wait = begins - now;
        if wait > MAX_QUEUE_WAIT_US || refuses {
            *busy = begins + (work * REFUSAL_WORK_SHARE) as Micros;
            return self.server_answers(id, Answer::Full { wait });
        }
        *busy = begins + work as Micros;
        self.at(begins + plan.service, SimEvent::ServerDone(id));
    }

    fn server_done(&mut self, id: u64) {
        let (now, plan) = (self.now, self.plan);
        let Some(state) = self.attempts.get(&id) else { return };
        if !state.worked_on {
            return;
        }
        let (root, level, server) = (state.root, state.level, state.server);
        let left = state.deadline - now;
        if level + 1 == plan.depth {
            if plan.how == FailureMode::Refusal || !self.is_failing(server) {
                return self.server_answers(id, Answer::Ok);
            }
            if plan.how == FailureMode::Error {
                self.server_answers(id, Answer::Error);
            }
            return;
        }
        let patience = if plan.variant.handed_down { left } else { plan.patience };
        if patience <= 0 {
            return self.server_answers(id, Answer::Error);
        }
        self.start_call(root, level + 1, server, Some(id), patience);
    }

    /// Reports to the controller the end of an attempt that the node waited for.
    fn report_ended(&mut self, id: u64, outcome: AttemptOutcome, reason: Reason) {
        let Some(state) = self.attempts.get_mut(&id) else { return };
        state.waited_for = false;
        let (call, number, server, lag) = (state.call, state.number, state.server, self.now - state.sent);
        let Some(at) = self.calls.get_mut(&call) else { return };
        at.pending_attempt = None;
        let (level, node) = (at.level, at.node);
        let (name, server) = (CallId(call), ServerId(server as u32));
        if outcome == AttemptOutcome::Ok {
            self.drive_controller(level, node, Event::Started { call: name, attempt: number, server, lag });
            return self.answer_call(call, true);
        }
        let report = Report::default();
        let ended =
            Event::Ended { call: name, attempt: number, server, outcome, lag, closed: false, reason, report };
        self.drive_controller(level, node, ended);
    }

    fn answer_arrives(&mut self, id: u64, answer: Answer) {
        let Some(state) = self.attempts.get(&id) else { return };
        if state.waited_for {
            let (outcome, reason) = match answer {
                Answer::Ok => (AttemptOutcome::Ok, Reason::None),
                Answer::Error => (AttemptOutcome::Error, Reason::None),
                Answer::Tried => (AttemptOutcome::Error, Reason::LinesBusy),
                Answer::Full { wait } => (AttemptOutcome::Full, Reason::ProcessorFull { wait }),
            };
            self.report_ended(id, outcome, reason);
        }
        self.attempts.remove(&id);
    }

    fn end_attempt(&mut self, id: u64, cancelled: bool) {
        if !self.attempts.get(&id).is_some_and(|state| state.waited_for) {
            return;
        }
        let outcome = if cancelled { AttemptOutcome::Cancelled } else { AttemptOutcome::TimedOut };
        let travel_time = self.travel_time();
        self.at(self.now + travel_time, SimEvent::ServerWithdraws(id));
        self.report_ended(id, outcome, Reason::None);
    }

    /// A server drops a withdrawn set-up, and its own node's call with it.
    fn server_withdraws(&mut self, id: u64) {
        let Some(state) = self.attempts.remove(&id) else { return };
        let Some(call) = state.child_call.and_then(|child| self.calls.remove(&child)) else { return };
        let child_call = state.child_call.unwrap_or_default();
        if let Some(pending_attempt) =
            call.pending_attempt.and_then(|attempt| self.attempts.get_mut(&attempt))
        {
            pending_attempt.waited_for = false;
        }
        if let Some(pending_attempt) = call.pending_attempt {
            let travel_time = self.travel_time();
            self.at(self.now + travel_time, SimEvent::ServerWithdraws(pending_attempt));
        }
        self.drive_controller(call.level, call.node, Event::CallerGone(CallId(child_call)));
    }

    fn outcome(mut self) -> Outcome {
        let (from, until) = self.failing();
        let second = |at: Micros| (at / SECOND) as usize;
        let load = |at: usize| self.bottom.get(at).copied().unwrap_or(0);
        let baseline = second(self.plan.settle)..second(from);
        let width = baseline.len().max(1) as f64;
        let before = baseline.map(load).sum::<u64>() as f64 / width;
        let share = self.spans[0].share();
        // Means of two seconds, since single seconds vary too much by chance.
        let near_baseline = |at: usize| {
            let mean = (load(at) + load(at + 1)) as f64 / 2.0;
            let (entered, stood) = (at..at + 2).fold((0, 0), |(entered, stood), at| {
                let (more, good) = self.seconds.get(at).copied().unwrap_or((0, 0));
                (entered + more, stood + good)
            });
            (mean - before).abs() <= REST_TOLERANCE.0 * before
                && stood as f64 >= (share - REST_TOLERANCE.1) * entered as f64
        };
        let end = second(until + self.plan.after);
        let (first, last) = (second(until), end.saturating_sub(2));
        let last_unsettled = (first..=last).rev().find(|&at| !near_baseline(at));
        let at_rest = match last_unsettled {
            None => Some(0.0),
            Some(at) if at < last => Some((at + 1 - first) as f64),
            Some(_) => None,
        };
        let most = (second(from)..end).map(load).max().unwrap_or(0);
        for (span, left) in self.spans.iter_mut().zip(&mut self.left) {
            span.left = left.iter_mut().map(|times| quantiles(times)).collect();
        }
        Outcome {
            digest: self.digest,
            steps: self.steps,
            broken: self.broken,
            spans: self.spans,
            bottom_before: before,
            bottom_most: most,
            bottom_capacity: self.plan.capacity * self.plan.servers as f64,
            bottom: self.bottom,
            at_rest,
        }
    }
}

fn quantiles(times: &mut [Micros]) -> Left {
    times.sort_unstable();
    let at = |share: f64| {
        let index = (share * times.len() as f64) as usize;
        times.get(index.min(times.len().saturating_sub(1))).map_or(0.0, |&time| time as f64 / 1e3)
    };
    let past = times.iter().filter(|&&time| time < 0).count() as f64 / times.len().max(1) as f64;
    Left { half: at(0.5), most: at(0.01), past }
}
