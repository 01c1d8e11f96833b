//! Generated cases: streams of events derived from the version alone, with a small model of servers behind
//! the controller that produces long histories.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use lemoncleat::{
    Action, Availability, Call, CallId, Event, Member, Micros, Outcome, Reason, Report, ServerId,
    ServerListUpdate,
};

use crate::tree::Tree;
use crate::version::{Digest, Rules};
use crate::window::{digest_actions, Decider};

/// Number of cases, a power of two.
pub const CASES: u32 = 64;
/// Events in each case.
pub const STEPS: u32 = 256;

/// A pseudo-random generator with the same numbers for a seed in every build.
struct Generator(u64);

impl Generator {
    fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// Returns a number from 0 to `end`, exclusive.
    fn below(&mut self, end: u64) -> u64 {
        ((u128::from(self.bits()) * u128::from(end.max(1))) >> 64) as u64
    }

    fn between(&mut self, from: Micros, to: Micros) -> Micros {
        from + self.below((to - from).max(1) as u64) as Micros
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

/// An event scheduled for the controller.
enum Pending {
    Arrival,
    CallerGone(CallId),
    Timer(u64),
    Answer { call: CallId, attempt: u32, server: usize, sent: Micros },
    TimedOut { call: CallId, attempt: u32, server: usize, sent: Micros },
    Cancelled { call: CallId, attempt: u32, server: usize, sent: Micros },
    List,
    ServerChange,
    Report,
    Note,
}

struct ServerModel {
    id: ServerId,
    availability: Availability,
    started_at: Option<Micros>,
    /// Processing time of one set-up, in microseconds.
    unit: Micros,
    busy_until: Micros,
    lines: i64,
    used: i64,
    unresponsive: bool,
    resets: bool,
}

impl ServerModel {
    fn report(&self, now: Micros) -> Report {
        let wait = (self.busy_until - now).max(0);
        let (free, lines) = (Some((self.lines - self.used).max(0) as f64), Some(self.lines as f64));
        let queue = Some((wait / self.unit) as f64);
        Report { free, lines, queue, wait: Some(wait), ..Report::default() }
    }
}

struct Attempt {
    attempt: u32,
    attempts: u32,
    server: usize,
    sent: Micros,
}

struct Case {
    generator: Generator,
    now: Micros,
    queue: BTreeMap<(Micros, u64), Pending>,
    sequence: u64,
    servers: Vec<ServerModel>,
    calls: BTreeMap<CallId, Option<Attempt>>,
    next_call: u64,
    gap: Micros,
    places: u64,
    plan: Vec<(usize, i64)>,
    classes: Vec<(Micros, Micros)>,
}

impl Case {
    fn new(rules: &Rules, version: Digest, number: u32) -> Case {
        let mut generator =
            Generator(version.seed() ^ (u64::from(number) + 1).wrapping_mul(0xd6e8_feb8_6659_fd93));
        let pools: u64 =
            rules.plan.iter().map(|entry| entry.pool).max().map_or(3, |most| most.clamp(0, 63) as u64 + 1);
        let count = [1, 2, 3, 5, 8, 12][generator.below(6) as usize];
        let unit = generator.between(500, 40_000);
        let load = [20, 60, 95, 120, 300][generator.below(5) as usize];
        let cold = generator.one_in(2);
        let servers: Vec<ServerModel> = (0..count)
            .map(|id| ServerModel {
                id: ServerId(id),
                availability: Availability::Ready,
                started_at: (cold && generator.one_in(3)).then_some(0),
                unit: generator.between(unit / 2 + 1, unit * 2),
                busy_until: 0,
                lines: generator.between(2, 60),
                used: 0,
                unresponsive: false,
                resets: false,
            })
            .collect();
        // A case contains the calls of one node.
        let gap = (unit * 100 / load / Micros::from(count)).max(50);
        let plan = rules.plan.iter().map(|entry| (entry.class, entry.pool)).collect();
        let classes = rules.settings.classes.iter().map(|class| (class.aim, class.deadline)).collect();
        let mut case = Case {
            generator,
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            servers,
            calls: BTreeMap::new(),
            next_call: 1,
            gap,
            places: pools.max(1),
            plan,
            classes,
        };
        for (at, pending) in [(0, Pending::List), (gap, Pending::Arrival), (20 * gap, Pending::ServerChange)]
        {
            case.schedule(at, pending);
        }
        case.schedule(30 * gap, Pending::Report);
        case.schedule(170 * gap, Pending::Note);
        case
    }

    fn schedule(&mut self, after: Micros, pending: Pending) {
        self.sequence += 1;
        self.queue.insert((self.now.saturating_add(after.max(0)), self.sequence), pending);
    }

    /// The server list. A server's place, zone and kind are derived from its number.
    fn list(&self) -> Vec<Member> {
        let member = |server: &ServerModel| Member {
            server: server.id,
            availability: server.availability,
            started_at: server.started_at,
            place: (u64::from(server.id.0) % self.places) as i64,
            zone: server.id.0 % 3,
            kind: server.id.0 % 2,
        };
        self.servers.iter().map(member).collect()
    }

    /// Returns the next event for the controller; `None` if none is left.
    fn next(&mut self) -> Option<Event> {
        loop {
            let ((at, _), pending) = self.queue.pop_first()?;
            self.now = at;
            if let Some(event) = self.process(pending) {
                return Some(event);
            }
        }
    }

    fn process(&mut self, pending: Pending) -> Option<Event> {
        let now = self.now;
        match pending {
            Pending::Arrival => {
                let gap = self.generator.between(1, 2 * self.gap);
                self.schedule(gap, Pending::Arrival);
                Some(self.arrival())
            }
            Pending::CallerGone(call) => self.calls.remove(&call).map(|_| Event::CallerGone(call)),
            Pending::Timer(token) => Some(Event::Timer(token)),
            Pending::List => {
                let fails = now > 0 && self.generator.one_in(8);
                Some(Event::Members(if fails {
                    ServerListUpdate::Failed
                } else {
                    ServerListUpdate::Complete(self.list())
                }))
            }
            Pending::Note => {
                self.schedule(170 * self.gap, Pending::Note);
                Some(Event::Note { from: 1, bytes: vec![self.generator.below(256) as u8; 8] })
            }
            Pending::Report => {
                self.schedule(30 * self.gap, Pending::Report);
                let which = self.generator.below(self.servers.len() as u64) as usize;
                let server = self.servers.get(which)?;
                let (server, report) = (server.id, server.report(now));
                Some(Event::Probed { server, outcome: Outcome::Ok, lag: 0, report })
            }
            Pending::ServerChange => {
                let after = self.generator.between(self.gap, 60 * self.gap);
                self.schedule(after, Pending::ServerChange);
                self.change_server()
            }
            Pending::Answer { call, attempt, server, sent } => self.answer(call, attempt, server, sent),
            Pending::TimedOut { call, attempt, server, sent } => {
                self.end(call, attempt, server, sent, Outcome::TimedOut, Reason::None)
            }
            Pending::Cancelled { call, attempt, server, sent } => {
                self.end(call, attempt, server, sent, Outcome::Cancelled, Reason::None)
            }
        }
    }

    fn arrival(&mut self) -> Event {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let class = self.generator.below(self.classes.len() as u64) as usize;
        let mut class = (class, self.generator.below(self.places) as i64);
        if !self.plan.is_empty() && self.generator.one_in(2) {
            class = self.plan[self.generator.below(self.plan.len() as u64) as usize];
        }
        let (class, destination) = class;
        // An entry of the plan may refer to a class that does not exist; the module must report this.
        let (aim, deadline) = self.classes.get(class).copied().unwrap_or((1_000_000, 2_000_000));
        let mut patience = (2 * aim).min(deadline);
        if self.generator.one_in(6) {
            patience = self.generator.between(aim / 2, deadline + 1);
        }
        if self.generator.one_in(12) {
            let after = self.generator.between(1, patience);
            self.schedule(after, Pending::CallerGone(id));
        }
        let (redialled, cut) = (self.generator.one_in(7), self.generator.one_in(25));
        let width = if self.generator.one_in(9) { 2.0 } else { 1.0 };
        self.calls.insert(id, None);
        Event::Call(Call { id, class, patience, width, destination, redialled, cut, ..Call::default() })
    }

    /// Changes a server. Some of the changes appear in the server list.
    fn change_server(&mut self) -> Option<Event> {
        let (now, which) = (self.now, self.generator.below(self.servers.len() as u64) as usize);
        let kind = self.generator.below(7);
        let complete_list = self.generator.one_in(3);
        let server = self.servers.get_mut(which)?;
        match kind {
            0 => server.unresponsive = !server.unresponsive,
            1 => server.resets = !server.resets,
            2 => server.busy_until = now.max(server.busy_until) + 200 * server.unit,
            3 => server.availability = Availability::Draining,
            4 => server.availability = Availability::Gone,
            _ => {
                let (availability, started_at) = (Availability::Ready, (kind == 5).then_some(now));
                let busy_until = if kind == 5 { now } else { server.busy_until };
                (server.availability, server.unresponsive, server.resets) = (availability, false, false);
                (server.started_at, server.busy_until) = (started_at.or(server.started_at), busy_until);
            }
        }
        let list = self.list();
        match kind {
            0..=2 => None,
            _ if complete_list => Some(Event::Members(ServerListUpdate::Complete(list))),
            _ => Some(Event::Members(ServerListUpdate::Changes(
                list.into_iter().skip(which).take(1).collect(),
            ))),
        }
    }

    fn answer(&mut self, call: CallId, attempt: u32, which: usize, sent: Micros) -> Option<Event> {
        let now = self.now;
        let server = self.servers.get_mut(which)?;
        let queued = server.busy_until - now;
        let (outcome, reason) = match self.generator.below(40) {
            _ if server.resets => (Outcome::Reset, Reason::None),
            _ if server.availability == Availability::Gone => (Outcome::Unreachable, Reason::None),
            _ if queued > 100 * server.unit => (Outcome::Full, Reason::ProcessorFull { wait: queued }),
            _ if server.used >= server.lines => (Outcome::Full, Reason::NoCircuit),
            0 => (Outcome::Error, Reason::LinesBusy),
            1 => (Outcome::Error, Reason::None),
            2 => (Outcome::Full, Reason::TurnedBack { far_processor: false }),
            3 => (Outcome::Moot, Reason::None),
            _ => (Outcome::Ok, Reason::None),
        };
        if outcome != Outcome::Ok {
            return self.end(call, attempt, which, sent, outcome, reason);
        }
        let out = self.calls.get(&call)?.as_ref()?;
        if out.attempt != attempt {
            return None;
        }
        server.used += 1;
        if self.generator.one_in(3) {
            server.used = (server.used - 3).max(0); // Some calls end.
        }
        let server = server.id;
        self.calls.remove(&call);
        Some(Event::Started { call, attempt, server, lag: now - sent })
    }

    fn end(
        &mut self,
        call: CallId,
        attempt: u32,
        which: usize,
        sent: Micros,
        outcome: Outcome,
        reason: Reason,
    ) -> Option<Event> {
        let now = self.now;
        let state = self.calls.get_mut(&call)?;
        let out = state.as_mut().filter(|out| out.attempt == attempt && out.server != usize::MAX)?;
        out.server = usize::MAX;
        let server = self.servers.get(which)?;
        let (report, server) = (server.report(now), server.id);
        let (closed, lag) = (false, now - sent);
        Some(Event::Ended { call, attempt, server, outcome, lag, closed, reason, report })
    }

    /// Applies the controller's actions.
    fn apply_actions(&mut self, actions: &[Action]) {
        let now = self.now;
        for action in actions {
            match *action {
                Action::Send { call, server, timeout } => self.send(call, server, timeout),
                Action::Refuse { call, .. } | Action::Fail(call) => _ = self.calls.remove(&call),
                Action::Cancel { call, attempt } => {
                    let Some(Some(Attempt { server, sent, .. })) = self.calls.get(&call) else { continue };
                    let (server, sent) = (*server, *sent);
                    self.schedule(1_000, Pending::Cancelled { call, attempt, server, sent });
                }
                Action::Timer { token, delay } => {
                    // Occasionally a timer fires late, as if the node had not been scheduled.
                    let late = if self.generator.one_in(50) { self.generator.between(0, 400_000) } else { 0 };
                    self.schedule(delay + late, Pending::Timer(token));
                }
                Action::Watch(true) | Action::Fetch => self.schedule(5_000, Pending::List),
                Action::Probe(_) | Action::Watch(false) | Action::Tell { .. } | Action::Log(_) => {}
            }
        }
        debug_assert_eq!(now, self.now);
    }

    fn send(&mut self, call: CallId, to: ServerId, timeout: Micros) {
        let (now, which) = (self.now, to.0 as usize);
        let network_delay = self.generator.between(300, 3_000);
        let Some(state) = self.calls.get_mut(&call) else { return };
        let attempts = state.as_ref().map_or(0, |out| out.attempts);
        let attempt = attempts;
        *state = Some(Attempt { attempt, attempts: attempts + 1, server: which, sent: now });
        let limit = if timeout > 0 { timeout } else { 4_000_000 };
        let Some(server) = self.servers.get_mut(which) else { return };
        // A recently started server is slower.
        let cold = server.started_at.is_some_and(|at| now - at < 5_000_000);
        server.busy_until = now.max(server.busy_until) + server.unit * if cold { 3 } else { 1 };
        let (unresponsive, lag) = (server.unresponsive, server.busy_until - now + network_delay);
        let (server, sent) = (which, now);
        if unresponsive || lag > limit {
            self.schedule(limit, Pending::TimedOut { call, attempt, server, sent });
        } else {
            self.schedule(lag, Pending::Answer { call, attempt, server, sent });
        }
    }
}

/// Plays a case and calls `each` with each step's number, time, event and actions.
fn play<D: Decider>(
    rules: &Rules,
    version: Digest,
    number: u32,
    mut each: impl FnMut(u32, Micros, &Event, &[Action]),
) {
    let mut settings = rules.settings.clone();
    // The number identifies the node; the cases must be the same at all nodes.
    settings.own_number = 0;
    let Some(mut decider) = D::fresh(&settings, version.seed() ^ u64::from(number)) else { return };
    let (mut case, mut actions) = (Case::new(rules, version, number), Vec::new());
    for step in 0..STEPS {
        let Some(event) = case.next() else { return };
        actions.clear();
        decider.decide(case.now, event.clone(), &mut actions);
        each(step, case.now, &event, &actions);
        case.apply_actions(&actions);
    }
}

/// Returns the digest of each step's actions in a case.
pub fn step_digests<D: Decider>(rules: &Rules, case: u32) -> Vec<u64> {
    let mut digests = Vec::with_capacity(STEPS as usize);
    play::<D>(rules, rules.version(), case, |_, _, _, actions| digests.push(digest_actions(actions)));
    digests
}

/// Returns the event and the actions of a step as text for a log.
pub fn describe<D: Decider>(rules: &Rules, case: u32, step: u32) -> String {
    let mut text = String::new();
    play::<D>(rules, rules.version(), case, |at, now, event, actions| {
        if at == step {
            text = format!("at {now} us: {event:?} -> {actions:?}");
        }
    });
    text.chars().take(1_000).collect()
}

/// All cases of a version, played a few at a time on a thread that delays no calls.
pub struct Cases<D> {
    rules: Rules,
    version: Digest,
    leaves: Vec<Digest>,
    decider: PhantomData<fn() -> D>,
}

impl<D: Decider> Cases<D> {
    /// Prepares the cases of these rules without playing any.
    pub fn new(rules: &Rules) -> Cases<D> {
        Cases { rules: rules.clone(), version: rules.version(), leaves: Vec::new(), decider: PhantomData }
    }

    /// Plays this many more cases and returns the tree once all have been played.
    pub fn advance(&mut self, cases: u32) -> Option<Tree> {
        for _ in 0..cases {
            let number = self.leaves.len() as u32;
            if number >= CASES {
                break;
            }
            let mut hasher = blake3::Hasher::new_derive_key("lemoncleat case 1");
            play::<D>(&self.rules, self.version, number, |_, _, _, actions| {
                hasher.update(&digest_actions(actions).to_le_bytes());
            });
            self.leaves.push(Digest(*hasher.finalize().as_bytes()));
        }
        (self.leaves.len() as u32 == CASES).then(|| Tree::new(&self.leaves))
    }

    /// Plays all cases at once and returns the tree.
    pub fn tree(rules: &Rules) -> Tree {
        let mut cases = Cases::<D>::new(rules);
        cases.advance(CASES).unwrap_or_else(|| Tree::new(&[]))
    }
}
