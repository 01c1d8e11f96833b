//! Generated cases: streams of events that follow from the version alone, with a small model of servers behind
//! the controller, so that long histories come about.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use lemoncleat::{
    Action, Availability, Call, CallId, Event, Member, MemberNews, Micros, Outcome, Reason, Report, ServerId,
};

use crate::tree::Tree;
use crate::version::{Digest, Rules};
use crate::window::{digest_actions, Decider};

/// Number of cases, a power of two.
pub const CASES: u32 = 64;
/// Events in each case.
pub const STEPS: u32 = 256;

/// Numbers that follow from a seed, the same in every build.
struct Draw(u64);

impl Draw {
    fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// A number from 0 up to `end`, which is left out.
    fn below(&mut self, end: u64) -> u64 {
        ((u128::from(self.bits()) * u128::from(end.max(1))) >> 64) as u64
    }

    fn span(&mut self, from: Micros, to: Micros) -> Micros {
        from + self.below((to - from).max(1) as u64) as Micros
    }

    fn one_in(&mut self, many: u64) -> bool {
        self.below(many) == 0
    }
}

/// What is to come to the controller.
enum Coming {
    Arrival,
    Gone(CallId),
    Timer(u64),
    Answer { call: CallId, attempt: u32, server: usize, sent: Micros },
    TimedOut { call: CallId, attempt: u32, server: usize, sent: Micros },
    Cancelled { call: CallId, attempt: u32, server: usize, sent: Micros },
    List,
    Trouble,
    Report,
    Note,
}

struct Model {
    id: ServerId,
    availability: Availability,
    started_at: Option<Micros>,
    /// Work for one set-up, in microseconds.
    unit: Micros,
    busy_until: Micros,
    lines: i64,
    used: i64,
    hangs: bool,
    resets: bool,
}

impl Model {
    fn report(&self, now: Micros) -> Report {
        let wait = (self.busy_until - now).max(0);
        let (free, lines) = (Some((self.lines - self.used).max(0) as f64), Some(self.lines as f64));
        let queue = Some((wait / self.unit) as f64);
        Report { free, lines, queue, wait: Some(wait), ..Report::default() }
    }
}

struct Out {
    attempt: u32,
    attempts: u32,
    server: usize,
    sent: Micros,
}

struct Case {
    draw: Draw,
    now: Micros,
    agenda: BTreeMap<(Micros, u64), Coming>,
    written: u64,
    servers: Vec<Model>,
    calls: BTreeMap<CallId, Option<Out>>,
    next_call: u64,
    gap: Micros,
    places: u64,
    plan: Vec<(usize, i64)>,
    classes: Vec<(Micros, Micros)>,
}

impl Case {
    fn new(rules: &Rules, version: Digest, number: u32) -> Case {
        let mut draw = Draw(version.seed() ^ (u64::from(number) + 1).wrapping_mul(0xd6e8_feb8_6659_fd93));
        let pools: u64 =
            rules.plan.iter().map(|entry| entry.pool).max().map_or(3, |most| most.clamp(0, 63) as u64 + 1);
        let count = [1, 2, 3, 5, 8, 12][draw.below(6) as usize];
        let unit = draw.span(500, 40_000);
        let load = [20, 60, 95, 120, 300][draw.below(5) as usize];
        let cold = draw.one_in(2);
        let servers: Vec<Model> = (0..count)
            .map(|id| Model {
                id: ServerId(id),
                availability: Availability::Ready,
                started_at: (cold && draw.one_in(3)).then_some(0),
                unit: draw.span(unit / 2 + 1, unit * 2),
                busy_until: 0,
                lines: draw.span(2, 60),
                used: 0,
                hangs: false,
                resets: false,
            })
            .collect();
        // Of all nodes' calls a case plays what one node sends.
        let gap = (unit * 100 / load / Micros::from(count)).max(50);
        let plan = rules.plan.iter().map(|entry| (entry.class, entry.pool)).collect();
        let classes = rules.settings.classes.iter().map(|class| (class.aim, class.deadline)).collect();
        let mut case = Case {
            draw,
            now: 0,
            agenda: BTreeMap::new(),
            written: 0,
            servers,
            calls: BTreeMap::new(),
            next_call: 1,
            gap,
            places: pools.max(1),
            plan,
            classes,
        };
        for (at, coming) in [(0, Coming::List), (gap, Coming::Arrival), (20 * gap, Coming::Trouble)] {
            case.write(at, coming);
        }
        case.write(30 * gap, Coming::Report);
        case.write(170 * gap, Coming::Note);
        case
    }

    fn write(&mut self, after: Micros, coming: Coming) {
        self.written += 1;
        self.agenda.insert((self.now.saturating_add(after.max(0)), self.written), coming);
    }

    /// The list: a server's place, zone and kind follow from its number.
    fn list(&self) -> Vec<Member> {
        let member = |server: &Model| Member {
            server: server.id,
            availability: server.availability,
            started_at: server.started_at,
            place: (u64::from(server.id.0) % self.places) as i64,
            zone: server.id.0 % 3,
            kind: server.id.0 % 2,
        };
        self.servers.iter().map(member).collect()
    }

    /// The next event for the controller; `None` once nothing is left to come.
    fn next(&mut self) -> Option<Event> {
        loop {
            let ((at, _), coming) = self.agenda.pop_first()?;
            self.now = at;
            if let Some(event) = self.happen(coming) {
                return Some(event);
            }
        }
    }

    fn happen(&mut self, coming: Coming) -> Option<Event> {
        let now = self.now;
        match coming {
            Coming::Arrival => {
                let gap = self.draw.span(1, 2 * self.gap);
                self.write(gap, Coming::Arrival);
                Some(self.arrival())
            }
            Coming::Gone(call) => self.calls.remove(&call).map(|_| Event::CallerGone(call)),
            Coming::Timer(token) => Some(Event::Timer(token)),
            Coming::List => {
                let fails = now > 0 && self.draw.one_in(8);
                Some(Event::Members(if fails {
                    MemberNews::Failed
                } else {
                    MemberNews::Complete(self.list())
                }))
            }
            Coming::Note => {
                self.write(170 * self.gap, Coming::Note);
                Some(Event::Note { from: 1, bytes: vec![self.draw.below(256) as u8; 8] })
            }
            Coming::Report => {
                self.write(30 * self.gap, Coming::Report);
                let which = self.draw.below(self.servers.len() as u64) as usize;
                let server = self.servers.get(which)?;
                let (server, report) = (server.id, server.report(now));
                Some(Event::Probed { server, outcome: Outcome::Ok, lag: 0, report })
            }
            Coming::Trouble => {
                let after = self.draw.span(self.gap, 60 * self.gap);
                self.write(after, Coming::Trouble);
                self.trouble()
            }
            Coming::Answer { call, attempt, server, sent } => self.answer(call, attempt, server, sent),
            Coming::TimedOut { call, attempt, server, sent } => {
                self.end(call, attempt, server, sent, Outcome::TimedOut, Reason::None)
            }
            Coming::Cancelled { call, attempt, server, sent } => {
                self.end(call, attempt, server, sent, Outcome::Cancelled, Reason::None)
            }
        }
    }

    fn arrival(&mut self) -> Event {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let class = self.draw.below(self.classes.len() as u64) as usize;
        let mut class = (class, self.draw.below(self.places) as i64);
        if !self.plan.is_empty() && self.draw.one_in(2) {
            class = self.plan[self.draw.below(self.plan.len() as u64) as usize];
        }
        let (class, destination) = class;
        // An entry of the plan may name a class that is not there: the module must say so.
        let (aim, deadline) = self.classes.get(class).copied().unwrap_or((1_000_000, 2_000_000));
        let mut patience = (2 * aim).min(deadline);
        if self.draw.one_in(6) {
            patience = self.draw.span(aim / 2, deadline + 1);
        }
        if self.draw.one_in(12) {
            let after = self.draw.span(1, patience);
            self.write(after, Coming::Gone(id));
        }
        let (redialled, cut) = (self.draw.one_in(7), self.draw.one_in(25));
        let width = if self.draw.one_in(9) { 2.0 } else { 1.0 };
        self.calls.insert(id, None);
        Event::Call(Call { id, class, patience, width, destination, redialled, cut, ..Call::default() })
    }

    /// Something changes at a server. The list tells of some of it.
    fn trouble(&mut self) -> Option<Event> {
        let (now, which) = (self.now, self.draw.below(self.servers.len() as u64) as usize);
        let kind = self.draw.below(7);
        let whole = self.draw.one_in(3);
        let server = self.servers.get_mut(which)?;
        match kind {
            0 => server.hangs = !server.hangs,
            1 => server.resets = !server.resets,
            2 => server.busy_until = now.max(server.busy_until) + 200 * server.unit,
            3 => server.availability = Availability::Draining,
            4 => server.availability = Availability::Gone,
            _ => {
                let (availability, started_at) = (Availability::Ready, (kind == 5).then_some(now));
                let busy_until = if kind == 5 { now } else { server.busy_until };
                (server.availability, server.hangs, server.resets) = (availability, false, false);
                (server.started_at, server.busy_until) = (started_at.or(server.started_at), busy_until);
            }
        }
        let list = self.list();
        match kind {
            0..=2 => None,
            _ if whole => Some(Event::Members(MemberNews::Complete(list))),
            _ => Some(Event::Members(MemberNews::Changes(list.into_iter().skip(which).take(1).collect()))),
        }
    }

    fn answer(&mut self, call: CallId, attempt: u32, which: usize, sent: Micros) -> Option<Event> {
        let now = self.now;
        let server = self.servers.get_mut(which)?;
        let late = server.busy_until - now;
        let (outcome, reason) = match self.draw.below(40) {
            _ if server.resets => (Outcome::Reset, Reason::None),
            _ if server.availability == Availability::Gone => (Outcome::Unreachable, Reason::None),
            _ if late > 100 * server.unit => (Outcome::Full, Reason::ProcessorFull { wait: late }),
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
        if self.draw.one_in(3) {
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

    /// Carries out what the controller asks for.
    fn carry_out(&mut self, actions: &[Action]) {
        let now = self.now;
        for action in actions {
            match *action {
                Action::Send { call, server, timeout } => self.send(call, server, timeout),
                Action::Refuse { call, .. } | Action::Fail(call) => _ = self.calls.remove(&call),
                Action::Cancel { call, attempt } => {
                    let Some(Some(Out { server, sent, .. })) = self.calls.get(&call) else { continue };
                    let (server, sent) = (*server, *sent);
                    self.write(1_000, Coming::Cancelled { call, attempt, server, sent });
                }
                Action::Timer { token, delay } => {
                    // Now and then the node gets no turn.
                    let late = if self.draw.one_in(50) { self.draw.span(0, 400_000) } else { 0 };
                    self.write(delay + late, Coming::Timer(token));
                }
                Action::Watch(true) | Action::Fetch => self.write(5_000, Coming::List),
                Action::Probe(_) | Action::Watch(false) | Action::Tell { .. } | Action::Log(_) => {}
            }
        }
        debug_assert_eq!(now, self.now);
    }

    fn send(&mut self, call: CallId, to: ServerId, timeout: Micros) {
        let (now, which) = (self.now, to.0 as usize);
        let way = self.draw.span(300, 3_000);
        let Some(state) = self.calls.get_mut(&call) else { return };
        let attempts = state.as_ref().map_or(0, |out| out.attempts);
        let attempt = attempts;
        *state = Some(Out { attempt, attempts: attempts + 1, server: which, sent: now });
        let limit = if timeout > 0 { timeout } else { 4_000_000 };
        let Some(server) = self.servers.get_mut(which) else { return };
        // A server that started of late does less.
        let cold = server.started_at.is_some_and(|at| now - at < 5_000_000);
        server.busy_until = now.max(server.busy_until) + server.unit * if cold { 3 } else { 1 };
        let (hangs, lag) = (server.hangs, server.busy_until - now + way);
        let (server, sent) = (which, now);
        if hangs || lag > limit {
            self.write(limit, Coming::TimedOut { call, attempt, server, sent });
        } else {
            self.write(lag, Coming::Answer { call, attempt, server, sent });
        }
    }
}

/// Plays a case, handing each step's number, moment, event and actions to `each`.
fn play<D: Decider>(
    rules: &Rules,
    version: Digest,
    number: u32,
    mut each: impl FnMut(u32, Micros, &Event, &[Action]),
) {
    let mut settings = rules.settings.clone();
    // It names the node, and must not tell two nodes' cases apart.
    settings.own_number = 0;
    let Some(mut decider) = D::fresh(&settings, version.seed() ^ u64::from(number)) else { return };
    let (mut case, mut actions) = (Case::new(rules, version, number), Vec::new());
    for step in 0..STEPS {
        let Some(event) = case.next() else { return };
        actions.clear();
        decider.decide(case.now, event.clone(), &mut actions);
        each(step, case.now, &event, &actions);
        case.carry_out(&actions);
    }
}

/// The digests of each step's actions in a case.
pub fn replay<D: Decider>(rules: &Rules, case: u32) -> Vec<u64> {
    let mut digests = Vec::with_capacity(STEPS as usize);
    play::<D>(rules, rules.version(), case, |_, _, _, actions| digests.push(digest_actions(actions)));
    digests
}

/// A step of a case as text for a log: what came, and what was done.
pub fn describe<D: Decider>(rules: &Rules, case: u32, step: u32) -> String {
    let mut text = String::new();
    play::<D>(rules, rules.version(), case, |at, now, event, actions| {
        if at == step {
            text = format!("at {now} us: {event:?} -> {actions:?}");
        }
    });
    text.chars().take(1_000).collect()
}

/// All cases of a version, played a few at a time where nobody waits.
pub struct Cases<D> {
    rules: Rules,
    version: Digest,
    leaves: Vec<Digest>,
    decider: PhantomData<fn() -> D>,
}

impl<D: Decider> Cases<D> {
    /// The cases of these rules, none played yet.
    pub fn new(rules: &Rules) -> Cases<D> {
        Cases { rules: rules.clone(), version: rules.version(), leaves: Vec::new(), decider: PhantomData }
    }

    /// Plays this many more, and gives the tree once all are played.
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

    /// The tree, all cases played at once.
    pub fn tree(rules: &Rules) -> Tree {
        let mut cases = Cases::<D>::new(rules);
        cases.advance(CASES).unwrap_or_else(|| Tree::new(&[]))
    }
}
