//! The run of a chain: events in order of time, each carried out whole.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use lemoncleat::{
    Action, Availability, Call, CallId, Class, Controller, Event, Member, MemberNews, Outcome as Ended,
    Reason, Report, ServerId, Settings, SettingsError,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Failing, Left, Outcome, Part, Plan, Span, Upward};
use crate::Micros;

/// A server refuses a set-up that would wait longer, for this much of a set-up's work.
const QUEUE: Micros = 400_000;
const REFUSAL: f64 = 0.2;
/// Repeats that a budget saves up at most.
const SAVED: f64 = 5.0;
/// How near load and answers come to what they were, as shares, to count as at rest.
const REST: (f64, f64) = (0.25, 0.02);
const SECOND: Micros = 1_000_000;

/// What a server says to a set-up.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Ok,
    Error,
    Tried,
    Full { wait: Micros },
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    /// A call enters.
    Enter,
    /// A node's timer.
    Timer { level: usize, node: usize, token: u64 },
    /// A set-up arrives at its server.
    Reach(u64),
    /// The server has worked on it.
    Done(u64),
    /// An answer arrives at the node.
    Answer(u64, Answer),
    /// The node stops waiting.
    Stop { attempt: u64, cancelled: bool },
    /// The server hears that the attempt was withdrawn.
    Withdraw(u64),
}

struct Root {
    deadline: Micros,
    span: Option<usize>,
    second: usize,
    answered: bool,
}

/// A call at a node.
struct At {
    root: usize,
    level: usize,
    node: usize,
    /// The attempt of the level above that it serves.
    above: Option<u64>,
    /// The deadline that was told, and by when the controller is to have answered.
    deadline: Micros,
    answer_by: Micros,
    attempts: u32,
    out: Option<u64>,
}

struct Attempt {
    root: usize,
    call: u64,
    level: usize,
    number: u32,
    server: usize,
    sent: Micros,
    /// Time told to the server, from its arrival there; the deadline once it has arrived.
    told: Micros,
    deadline: Micros,
    /// Whether the node still waits, and whether the server still works.
    waited_for: bool,
    worked_on: bool,
    /// The call that the server made for it.
    below: Option<u64>,
}

struct Node {
    controller: Controller,
    /// Repeats that the budget leaves.
    saved: f64,
}

pub(super) struct Run<'a> {
    plan: &'a Plan,
    rng: SmallRng,
    now: Micros,
    steps: u64,
    turn: u64,
    digest: u64,
    broken: Option<String>,
    queue: BinaryHeap<Reverse<(Micros, u64, What)>>,
    nodes: Vec<Vec<Node>>,
    /// When each server has done what it took.
    busy: Vec<Vec<Micros>>,
    roots: Vec<Root>,
    calls: BTreeMap<u64, At>,
    attempts: BTreeMap<u64, Attempt>,
    next: u64,
    spans: [Span; 3],
    left: [Vec<Vec<Micros>>; 3],
    bottom: Vec<u64>,
    /// Calls that entered and those that stood in time, by second.
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
            .map(|(at, one)| Member { server: ServerId(at as u32), place: at as i64, ..one })
            .collect();
        let mut nodes = Vec::new();
        for _ in 0..plan.depth {
            let mut level = Vec::new();
            for number in 0..plan.servers {
                let mut controller = Controller::new(settings(number as u32), rng.random())?;
                let news = MemberNews::Complete(list.clone());
                controller.handle(0, Event::Members(news), &mut Vec::new());
                level.push(Node { controller, saved: SAVED });
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
            turn: 0,
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
        run.at(0, What::Enter);
        Ok(run)
    }

    fn at(&mut self, at: Micros, what: What) {
        self.turn += 1;
        self.queue.push(Reverse((at, self.turn, what)));
    }

    fn way(&mut self) -> Micros {
        let (least, more) = self.plan.way;
        least + self.rng.random_range(0..=more.max(0))
    }

    fn note(&mut self, words: [u64; 3]) {
        for word in words {
            self.digest = (self.digest ^ word).wrapping_mul(0x0000_0100_0000_01b3).rotate_left(23);
        }
    }

    fn breaks(&mut self, why: impl FnOnce() -> String) {
        if self.broken.is_none() {
            self.broken = Some(format!("at {} us: {}", self.now, why()));
        }
    }

    fn failing(&self) -> (Micros, Micros) {
        let from = self.plan.settle + self.plan.before;
        (from, from + self.plan.failing)
    }

    /// Where a moment lies: before, while or after the failing; none while settling in.
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
        while let Some(Reverse((at, _, what))) = self.queue.pop() {
            self.now = at;
            self.steps += 1;
            self.event(what);
        }
        if let Some(at) = self.roots.iter().position(|root| !root.answered) {
            self.breaks(|| format!("call {at} was never answered"));
        }
        self.outcome()
    }

    fn event(&mut self, what: What) {
        match what {
            What::Enter => self.enter(),
            What::Timer { level, node, token } => self.tell(level, node, Event::Timer(token)),
            What::Reach(attempt) => self.reach(attempt),
            What::Done(attempt) => self.done(attempt),
            What::Answer(attempt, answer) => self.answered(attempt, answer),
            What::Stop { attempt, cancelled } => self.stop(attempt, cancelled),
            What::Withdraw(attempt) => self.withdraw(attempt),
        }
    }

    fn enter(&mut self) {
        let plan = self.plan;
        let gap = (-(1.0 - self.rng.random::<f64>()).ln() * 1e6 / plan.rate.max(1e-3)) as Micros + 1;
        let end = self.failing().1 + plan.after;
        if self.now + gap < end {
            self.at(self.now + gap, What::Enter);
        }
        let root = self.roots.len();
        let second = (self.now / SECOND) as usize;
        let deadline = self.now + plan.patience;
        let span = self.span(self.now);
        self.roots.push(Root { deadline, span, second, answered: false });
        if let Some(span) = span {
            self.spans[span].entered += 1;
        }
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0, 0));
        }
        self.seconds[second].0 += 1;
        let node = self.rng.random_range(0..plan.servers);
        self.call(root, 0, node, None, plan.patience);
    }

    /// A call comes to a node.
    fn call(&mut self, root: usize, level: usize, node: usize, above: Option<u64>, patience: Micros) {
        let id = self.next;
        self.next += 1;
        let (now, margin) = (self.now, self.plan.margin.min(patience / 2));
        let deadline = now + patience;
        let answer_by = deadline - margin;
        let at = At { root, level, node, above, deadline, answer_by, attempts: 0, out: None };
        self.calls.insert(id, at);
        if let Some(attempt) = above.and_then(|above| self.attempts.get_mut(&above)) {
            attempt.below = Some(id);
        }
        let call = Call {
            id: CallId(id),
            patience: (answer_by - now).max(1),
            width: 1.0,
            destination: (id % self.plan.servers as u64) as i64,
            ..Call::default()
        };
        self.tell(level, node, Event::Call(call));
    }

    fn tell(&mut self, level: usize, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[level][node].controller.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { call, server, timeout } => self.send(call.0, server.0 as usize, timeout),
                Action::Refuse { call, .. } => self.give_up(call.0),
                Action::Fail(call) => self.give_up(call.0),
                Action::Cancel { call, .. } => {
                    if let Some(attempt) = self.calls.get(&call.0).and_then(|call| call.out) {
                        self.at(self.now, What::Stop { attempt, cancelled: true });
                    }
                }
                Action::Timer { token, delay } => {
                    self.at(self.now + delay, What::Timer { level, node, token })
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, id: u64, server: usize, timeout: Micros) {
        let (now, plan) = (self.now, self.plan);
        let Some(call) = self.calls.get_mut(&id) else {
            return self.breaks(|| format!("an attempt for call {id}, which has its answer"));
        };
        let (root, level, node, number) = (call.root, call.level, call.node, call.attempts);
        call.attempts += 1;
        if let Some(share) = plan.variant.budget {
            let saved = &mut self.nodes[level][node].saved;
            if number == 0 {
                *saved = (*saved + share).min(SAVED);
            } else if *saved >= 1.0 {
                *saved -= 1.0;
            } else {
                // The budget is used up: the repeat does not go out, and the call has its answer.
                let ended = Event::Ended {
                    call: CallId(id),
                    attempt: number,
                    server: ServerId(server as u32),
                    outcome: Ended::Moot,
                    lag: 0,
                    closed: true,
                    reason: Reason::None,
                    report: Report::default(),
                };
                self.give_up(id);
                return self.tell(level, node, ended);
            }
        }
        let (deadline, answer_by, out) = (call.deadline, call.answer_by, call.out);
        if now >= deadline {
            self.breaks(|| format!("an attempt for call {id} after the deadline handed down, {deadline} us"));
        }
        if out.is_some() {
            self.breaks(|| format!("call {id} has two attempts out"));
        }
        let ends = if timeout > 0 { answer_by.min(now + timeout) } else { answer_by };
        let attempt = self.next;
        self.next += 1;
        let told = if plan.variant.handed_down { ends - now } else { plan.patience };
        let one = Attempt {
            root,
            call: id,
            level,
            number,
            server,
            sent: now,
            told,
            deadline: now,
            waited_for: true,
            worked_on: true,
            below: None,
        };
        self.attempts.insert(attempt, one);
        if let Some(call) = self.calls.get_mut(&id) {
            call.out = Some(attempt);
        }
        if let Some(span) = self.roots[root].span {
            self.spans[span].attempts[level] += 1;
            self.spans[span].late += u64::from(now > self.roots[root].deadline);
        }
        self.note([now as u64, id, (level * plan.servers + server) as u64]);
        let way = self.way();
        self.at(now + way, What::Reach(attempt));
        self.at(ends, What::Stop { attempt, cancelled: false });
    }

    /// A node's final answer to a call without success.
    fn give_up(&mut self, id: u64) {
        self.close(id, false);
    }

    /// The final answer to a call: to the caller, or to the server that made it.
    fn close(&mut self, id: u64, good: bool) {
        let Some(call) = self.calls.remove(&id) else {
            return self.breaks(|| format!("a second answer to call {id}"));
        };
        let now = self.now;
        self.note([now as u64, id, u64::from(good) + 2]);
        let Some(above) = call.above else {
            let root = &mut self.roots[call.root];
            let (twice, late) = (root.answered, now > root.deadline);
            root.answered = true;
            let (span, second) = (root.span, root.second);
            if twice || late {
                self.breaks(|| format!("the answer to call {id}: second {twice}, late {late}"));
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
            (false, Upward::Error) => Answer::Error,
            (false, Upward::Refusal) => Answer::Full { wait: 0 },
            (false, Upward::Tried) => Answer::Tried,
        };
        self.say(above, answer);
    }

    /// A server answers.
    fn say(&mut self, attempt: u64, answer: Answer) {
        let Some(one) = self.attempts.get_mut(&attempt) else { return };
        one.worked_on = false;
        one.below = None;
        let way = self.way();
        self.at(self.now + way, What::Answer(attempt, answer));
    }

    fn fails(&mut self, server: usize) -> bool {
        let (from, until) = self.failing();
        if self.now < from || self.now >= until {
            return false;
        }
        match self.plan.part {
            Part::Servers => server < (self.plan.fails * self.plan.servers as f64).round() as usize,
            Part::SetUps => self.rng.random::<f64>() < self.plan.fails,
        }
    }

    fn reach(&mut self, id: u64) {
        let (now, plan) = (self.now, self.plan);
        let Some(one) = self.attempts.get_mut(&id) else { return };
        one.deadline = now + one.told;
        let (root, level, server) = (one.root, one.level, one.server);
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
        let refuses = last && plan.how == Failing::Refusal && self.fails(server);
        let busy = &mut self.busy[level][server];
        let begins = now.max(*busy);
        let wait = begins - now;
        if wait > QUEUE || refuses {
            *busy = begins + (work * REFUSAL) as Micros;
            return self.say(id, Answer::Full { wait });
        }
        *busy = begins + work as Micros;
        self.at(begins + plan.service, What::Done(id));
    }

    fn done(&mut self, id: u64) {
        let (now, plan) = (self.now, self.plan);
        let Some(one) = self.attempts.get(&id) else { return };
        if !one.worked_on {
            return;
        }
        let (root, level, server) = (one.root, one.level, one.server);
        let left = one.deadline - now;
        if level + 1 == plan.depth {
            if plan.how == Failing::Refusal || !self.fails(server) {
                return self.say(id, Answer::Ok);
            }
            if plan.how == Failing::Error {
                self.say(id, Answer::Error);
            }
            return;
        }
        let patience = if plan.variant.handed_down { left } else { plan.patience };
        if patience <= 0 {
            return self.say(id, Answer::Error);
        }
        self.call(root, level + 1, server, Some(id), patience);
    }

    /// What a node tells its controller of the end of an attempt that it waited for.
    fn ended(&mut self, id: u64, outcome: Ended, reason: Reason) {
        let Some(one) = self.attempts.get_mut(&id) else { return };
        one.waited_for = false;
        let (call, number, server, lag) = (one.call, one.number, one.server, self.now - one.sent);
        let Some(at) = self.calls.get_mut(&call) else { return };
        at.out = None;
        let (level, node) = (at.level, at.node);
        let (name, server) = (CallId(call), ServerId(server as u32));
        if outcome == Ended::Ok {
            self.tell(level, node, Event::Started { call: name, attempt: number, server, lag });
            return self.close(call, true);
        }
        let report = Report::default();
        let ended =
            Event::Ended { call: name, attempt: number, server, outcome, lag, closed: false, reason, report };
        self.tell(level, node, ended);
    }

    fn answered(&mut self, id: u64, answer: Answer) {
        let Some(one) = self.attempts.get(&id) else { return };
        if one.waited_for {
            let (outcome, reason) = match answer {
                Answer::Ok => (Ended::Ok, Reason::None),
                Answer::Error => (Ended::Error, Reason::None),
                Answer::Tried => (Ended::Error, Reason::LinesBusy),
                Answer::Full { wait } => (Ended::Full, Reason::ProcessorFull { wait }),
            };
            self.ended(id, outcome, reason);
        }
        self.attempts.remove(&id);
    }

    fn stop(&mut self, id: u64, cancelled: bool) {
        if !self.attempts.get(&id).is_some_and(|one| one.waited_for) {
            return;
        }
        let outcome = if cancelled { Ended::Cancelled } else { Ended::TimedOut };
        let way = self.way();
        self.at(self.now + way, What::Withdraw(id));
        self.ended(id, outcome, Reason::None);
    }

    /// A server drops what was withdrawn, and its own node's call with it.
    fn withdraw(&mut self, id: u64) {
        let Some(one) = self.attempts.remove(&id) else { return };
        let Some(call) = one.below.and_then(|below| self.calls.remove(&below)) else { return };
        let below = one.below.unwrap_or_default();
        if let Some(out) = call.out.and_then(|out| self.attempts.get_mut(&out)) {
            out.waited_for = false;
        }
        if let Some(out) = call.out {
            let way = self.way();
            self.at(self.now + way, What::Withdraw(out));
        }
        self.tell(call.level, call.node, Event::CallerGone(CallId(below)));
    }

    fn outcome(mut self) -> Outcome {
        let (from, until) = self.failing();
        let second = |at: Micros| (at / SECOND) as usize;
        let load = |at: usize| self.bottom.get(at).copied().unwrap_or(0);
        let calm = second(self.plan.settle)..second(from);
        let width = calm.len().max(1) as f64;
        let before = calm.map(load).sum::<u64>() as f64 / width;
        let share = self.spans[0].share();
        // Means of two seconds: those of one swing by chance.
        let rests = |at: usize| {
            let mean = (load(at) + load(at + 1)) as f64 / 2.0;
            let (entered, stood) = (at..at + 2).fold((0, 0), |(entered, stood), at| {
                let (more, good) = self.seconds.get(at).copied().unwrap_or((0, 0));
                (entered + more, stood + good)
            });
            (mean - before).abs() <= REST.0 * before && stood as f64 >= (share - REST.1) * entered as f64
        };
        let end = second(until + self.plan.after);
        let (first, last) = (second(until), end.saturating_sub(2));
        let restless = (first..=last).rev().find(|&at| !rests(at));
        let at_rest = match restless {
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
