//! Every decision of the library. Its types, events and actions stand in `interface.rs`.
//!
//! The rule: a call's *score* on a route is its worth, times the estimated chance that it stands in
//! time, less the cost of the route and a price for the processor work that it takes. The call goes
//! out on the best route; none above zero means a short wait at the node while that can still help,
//! then refusal. What follows is the estimate of a server's wait, the guards of the five rules, and
//! what happens to calls whose attempt failed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::random::Random;
use crate::state::Cache;

/// Cost of a route over a second choice, in worths of the cheapest class: a small handicap.
const SECOND_COST: f64 = 0.03;
/// Share of the aim up to which a call is sure to stand, and at which it is sure not to.
const CURVE: (f64, f64) = (0.7, 1.2);
/// Pressed wait as a share of `repeat`: beyond `repeat` a waiting set-up makes more work.
const PRESSED: f64 = 0.5;
/// Pressed wait as a share of the shortest aim, where set-ups are not repeated.
const PRESSED_OF_AIM: f64 = 0.3;
/// Growth of the price of work with the wait; at the pressed wait it is the cheapest worth.
const PRICE_POWER: i32 = 2;
/// How much of a new wait sample goes into the estimate: half, between noise and lag.
const GAIN: f64 = 0.5;
/// What one own send adds to the wait, of all nodes' work at that moment and of a pressed wait at most:
/// it spreads a node's calls over the servers, but is a poor sample of hundreds of nodes' sends.
const OWN: f64 = 0.5;
/// Time over which an estimated wait fades, in mean gaps between answers.
const KEEP: f64 = 6.0;
/// Share of what its lines can carry below which a server's wait runs off by itself.
const IDLE: f64 = 0.15;
/// Least time between two looks at the lines in use, in microseconds.
const CARRY_SPAN: f64 = 0.5e6;
/// Time over which outcomes age, in microseconds (about ten seconds, as the design page has it).
const AGEING: f64 = 10e6;
/// Outcomes that stand for no evidence, so that a share fades as its outcomes age.
const PRIOR: f64 = 2.0;
/// Share of the aim that a call may spend waiting at the node to be sent; the rest is for the set-up.
const HOLD: f64 = 0.65;
/// Pause between two looks at waiting calls, in microseconds.
const LOOK: Micros = 10_000;
/// Share of what would push a cold server over that all nodes' turns make; kept ones at most double it. Below
/// that its answers say what it can take.
const COLD_USE: f64 = 0.5;
/// Where among the nodes the turns at a cold server begin, in rounds for each place: not all at one.
const FURTHER: f64 = 0.618;
/// Scores this near, in worths of the cheapest class, count as equal.
const NEAR: f64 = 0.05;
/// Set-ups a second that a warm server is taken to do at least, before this node has seen better: low, so
/// that the unknown is approached slowly; its lines may bound it lower.
const UNKNOWN_RATE: f64 = 10.0;
/// Part of a node's turn at the lines coming free that it waits out: nodes without a call waste theirs.
const LINE_PACE: f64 = 0.5;
/// Longest such pause, in pressed waits.
const LINE_WAIT: f64 = 5.0;
/// Share of a server's work that the trials of all nodes make at most; less with each one still out.
const TRIAL_USE: f64 = 0.15;
/// Longest such pause for one node, in ageing times: what it was told may be wrong.
const TRIAL_MOST: f64 = 2.0;
/// A set-up is given up for another route once that scores better by this share of its worth, since the
/// work done for it is lost.
const RESCUE: f64 = 0.25;
/// Patience within this part of the usual counts as the usual.
const SPREAD: Micros = 32;
/// Pressed waits without own traffic after which a load report is believed.
const REPORT_AFTER: f64 = 5.0;
/// Chance left to a silent server, or to the rest of a group that falls silent, against what it has
/// otherwise.
const AGAIN: f64 = 0.3;
/// The one timer.
const TICK: u64 = 1;

/// A share of bad outcomes that ages.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct Share {
    bad: f64,
    all: f64,
    at: Micros,
}

impl Share {
    fn faded(&self, now: Micros) -> f64 {
        (-((now - self.at) as f64) / AGEING).exp()
    }

    fn add(&mut self, now: Micros, bad: bool) {
        let faded = self.faded(now);
        self.bad = self.bad * faded + f64::from(u8::from(bad));
        self.all = self.all * faded + 1.0;
        self.at = now;
    }

    fn value(&self, now: Micros) -> f64 {
        let faded = self.faded(now);
        self.bad * faded / (self.all * faded + PRIOR)
    }
}

/// A server's condition, as the log tells it.
#[derive(Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
enum Health {
    #[default]
    Well,
    Pressed,
    Silent,
}

/// What this node knows of one server.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Server {
    ready: bool,
    /// Since when it is no longer on the list.
    gone_at: Option<Micros>,
    started_at: Option<Micros>,
    place: i64,
    zone: u32,
    kind: u32,
    /// Free circuits or lines, where told.
    free: Option<f64>,
    /// All of them, where told.
    lines: Option<f64>,
    /// Lines in use when last told, and when that was.
    busy: Option<(Micros, f64)>,
    /// New calls of all nodes, as a share of what its lines can carry, from the lines told.
    carried: f64,
    /// Least lag seen: the way there and back with nobody waiting.
    base: Option<Micros>,
    /// Estimated wait and the moment it was true.
    wait: f64,
    wait_at: Micros,
    /// What the last own send added to it.
    own: f64,
    /// Own set-ups without an answer, oldest first.
    open: BTreeSet<(Micros, CallId, u32)>,
    /// Set-ups that ended in refusal or silence.
    failed: Share,
    /// Calls turned back by it as a tandem.
    turned: Share,
    /// Set-ups that found no line free, aged.
    lineless: Share,
    /// Own set-ups answered, aged: with the other nodes' like share this is its throughput.
    answered: Share,
    /// The most of these at any time, and the most lines in use: what it can do at least.
    most_answered: f64,
    most_busy: f64,
    /// Attempts that ended in silence since the last answer, and the latest: only lone trial calls go there.
    lost: usize,
    lost_at: Micros,
    /// Others of a group that it belongs to fell silent of late.
    doubted: bool,
    /// When this node last sent to it, and when the latest send that was answered went out.
    last_sent: Micros,
    answered_sent: Micros,
    /// No line was free: no send before this.
    next_line: Micros,
    /// What the log said of it last, and when.
    logged: Health,
    logged_at: Micros,
}

impl Server {
    fn new(member: &Member, now: Micros) -> Self {
        Server {
            place: member.place,
            carried: 1.0,
            wait_at: now,
            last_sent: now,
            answered_sent: now,
            next_line: now,
            logged_at: Micros::MIN,
            ..Server::default()
        }
    }

    fn base(&self) -> f64 {
        self.base.unwrap_or(0) as f64
    }

    /// The estimate grown old.
    fn drained(&self, now: Micros) -> f64 {
        let gap = AGEING / (self.answered.all * self.answered.faded(self.wait_at) + 1.0);
        let age = (now - self.wait_at) as f64;
        let idle = (1.0 - self.carried / IDLE).max(0.0);
        (self.wait - idle * age).max(0.0) * (-age / (KEEP * gap)).exp()
    }

    fn settle(&mut self, now: Micros) {
        self.wait = self.drained(now);
        self.wait_at = now;
    }

    /// Takes off what the last own send added, up to that much.
    fn take_off(&mut self, now: Micros, most: f64) {
        self.settle(now);
        self.wait = (self.wait - self.own.min(most)).max(0.0);
    }

    /// The wait that a set-up sent now would meet.
    fn expected(&self, now: Micros) -> f64 {
        self.drained(now).max(self.silence(now))
    }

    /// How long the oldest set-up that no later one overtook has waited: it shows a hang before any
    /// time-out. One lost on the way says nothing once a later one is answered.
    fn silence(&self, now: Micros) -> f64 {
        let oldest = self.open.iter().find(|&&(sent, ..)| sent > self.answered_sent);
        oldest.map_or(0.0, |&(sent, ..)| ((now - sent) as f64 - self.base()).max(0.0))
    }

    /// What came to the server of late, from all nodes: lines in use rise with new calls and fall with
    /// those that end.
    fn carry(&mut self, now: Micros, length: f64) {
        let (Some(free), Some(lines)) = (self.free, self.lines) else { return };
        let busy = lines - free;
        let (at, before) = *self.busy.get_or_insert((now, busy));
        let span = (now - at) as f64;
        if span >= CARRY_SPAN {
            self.settle(now);
            let share = ((busy - before) * length / span + busy) / lines;
            self.carried += GAIN * (share.clamp(0.0, 2.0) - self.carried);
            self.busy = Some((now, busy));
            // A short crowd, or calls that wait, are no measure of what it does.
            self.most_busy = self.most_busy.max((before + busy) / 2.0);
        }
    }

    fn health(&self, now: Micros, pressed: f64) -> Health {
        if self.lost > 0 || self.silence(now) > pressed {
            Health::Silent
        } else if self.expected(now) > pressed {
            Health::Pressed
        } else {
            Health::Well
        }
    }

    fn sample(&mut self, now: Micros, wait: f64, gain: f64) {
        if wait.is_nan() {
            return;
        }
        self.settle(now);
        // Absurd figures must fade like any other.
        self.wait += gain * (wait.clamp(0.0, AGEING) - self.wait);
    }
}

/// Set-ups a second that a server did for all nodes at least, at its best.
fn most_done(settings: &Settings, longest: f64, server: &Server) -> f64 {
    // The most of a small count lies above its mean, and all nodes' error would be the same. Lines in
    // use count all nodes' calls.
    let nodes = f64::from(settings.balancers);
    match server.most_busy {
        busy if busy > 0.0 && longest > 0.0 => busy / (longest / 1e6),
        _ => (server.most_answered - server.most_answered.sqrt()).max(0.0) * nodes / (AGEING / 1e6),
    }
}

/// An attempt on its way.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct Out {
    server: ServerId,
    sent: Micros,
}

/// A call that is owed an answer.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Pending {
    call: Call,
    arrived: Micros,
    ends: Micros,
    attempts: u32,
    out: Option<Out>,
    /// No send before this: what an earlier attempt tied up may still be held.
    released: Micros,
    /// The first attempt that may have run: when it was sent, and where.
    may_have_run: Option<(Micros, ServerId)>,
    /// The attempt that is out was cancelled.
    withdrawn: bool,
    /// Time used in earlier tries, as far as known.
    used_before: Micros,
}

/// The usual patience of first tries in a class, found by majority vote.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct Usual {
    patience: Micros,
    votes: u32,
}

impl Usual {
    fn vote(&mut self, patience: Micros) {
        if self.votes == 0 {
            self.patience = patience;
        }
        if (self.patience - patience).abs() <= self.patience / SPREAD {
            self.votes = self.votes.saturating_add(1);
        } else {
            self.votes -= 1;
        }
    }
}

/// What servers do at least, put together from all that is known of them.
#[derive(Clone, Serialize, Deserialize)]
struct Rates {
    /// For each place the most that was done there, and the least number of lines.
    places: BTreeMap<i64, (f64, f64)>,
    /// The least of any place that did something.
    least: f64,
}

/// A score and the route that it belongs to.
type Best = Option<(f64, ServerId)>;

/// What a server is to every call at this moment.
#[derive(Clone, Copy)]
struct Face {
    id: ServerId,
    place: i64,
    zone: u32,
    free: Option<f64>,
    base: f64,
    wait: f64,
    /// Own set-ups answered of late.
    known: f64,
    /// Chance that a set-up comes about there, and that it is not turned back by it as a tandem.
    stands: f64,
    passes: f64,
}

/// The decisions of one access node.
#[derive(Clone, Serialize, Deserialize)]
pub struct Controller {
    settings: Settings,
    servers: BTreeMap<ServerId, Server>,
    /// The most that servers which were forgotten did at each place: their successors can do as much.
    past: BTreeMap<i64, f64>,
    /// Emptied whenever something it was put together from changes.
    rates: Cache<Rates>,
    calls: BTreeMap<CallId, Pending>,
    /// Calls waiting to be sent, dearest first, then oldest.
    waiting: BTreeSet<(Reverse<u64>, Micros, CallId)>,
    usual: Vec<Usual>,
    random: Random,
    ticking: bool,
    watched: bool,
    now: Micros,
    /// When the timer is due; how late it came at this moment; the longest that of late, and when.
    due: Micros,
    stall: Micros,
    stalled: (Micros, Micros),
    /// Mean length of the longest class, 0 where unknown.
    longest: f64,
    pressed: f64,
    cheapest: f64,
}

impl Controller {
    /// A node's controller, with a seed for its random choices.
    ///
    /// # Errors
    ///
    /// When the settings are unusable: no classes, no nodes, negative or non-finite figures.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let least = |worths: f64, class: &Class| worths.min(class.worth);
        let cheapest = settings.classes.iter().fold(f64::INFINITY, least);
        let aim = settings.classes.iter().map(|class| class.aim).min().unwrap_or(1) as f64;
        let longest = settings.classes.iter().map(|class| class.length).max().unwrap_or(0) as f64;
        let pressed = match settings.repeat {
            0 => PRESSED_OF_AIM * aim,
            repeat => PRESSED * repeat as f64,
        };
        Ok(Controller {
            usual: vec![Usual::default(); settings.classes.len()],
            settings,
            servers: BTreeMap::new(),
            past: BTreeMap::new(),
            rates: Cache::new(),
            calls: BTreeMap::new(),
            waiting: BTreeSet::new(),
            random: Random::new(seed),
            ticking: false,
            watched: false,
            now: 0,
            due: 0,
            stall: 0,
            stalled: (0, 0),
            longest,
            pressed: pressed.max(1.0),
            cheapest: cheapest.max(f64::MIN_POSITIVE),
        })
    }

    /// Takes in one event at the moment `now`, and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.mind_stalls(now);
        if !self.watched && self.settings.membership == Membership::Subscribe {
            self.watched = true;
            actions.push(Action::Watch(true));
        }
        let mut tick = false;
        // Reports come from every server all the time, and are older than a look at calls is short.
        let news = !matches!(event, Event::Probed { .. } | Event::Note { .. } | Event::CallerGone(_));
        match event {
            Event::Members(news) => self.members(news),
            Event::Call(call) => self.arrive(call, actions),
            Event::Started { call, attempt, server, lag } => self.started(call, attempt, server, lag),
            Event::Ended { call, attempt, server, outcome, lag, closed, reason, report } => {
                self.learn(call, attempt, server, outcome, lag, reason);
                self.report(server, &report);
                if closed {
                    self.forget(call);
                } else {
                    self.ended(call, attempt, outcome, reason, actions);
                }
            }
            Event::CallerGone(call) => self.forget(call),
            Event::Timer(TICK) => {
                self.ticking = false;
                tick = true;
            }
            Event::Timer(_) => {}
            Event::Probed { server, report, .. } => self.report(server, &report),
            Event::Note { .. } => {}
        }
        self.review(tick, news, actions);
    }

    /// Notices that this node itself had no turn when its timer was due. All that came meanwhile comes at
    /// once, with lags that are the node's own: at such a moment no set-up is withdrawn, no server is
    /// blamed, and calls wait for the next look, after the news. Covers paused processes, and hosts that
    /// run late; it could hide a server that falls silent during the stall, until the next look.
    fn mind_stalls(&mut self, now: Micros) {
        if now <= self.now {
            return; // The same moment, or a clock that went back.
        }
        self.now = now;
        self.stall = if self.ticking { (now - self.due).max(0) } else { 0 };
        self.due = self.due.max(now);
        if self.stall > self.stalled.0 || (now - self.stalled.1) as f64 > AGEING {
            self.stalled = (if self.stall > LOOK { self.stall } else { 0 }, now);
        }
    }

    /// How much it holds.
    pub fn sizes(&self) -> Sizes {
        Sizes { servers: self.servers.len(), calls: self.calls.len(), waiting: self.waiting.len() }
    }

    /// What it takes a server to be like at this moment; `None` where it knows nothing of it.
    pub fn view(&self, id: ServerId) -> Option<View> {
        let server = self.servers.get(&id)?;
        Some(View {
            free: server.free,
            lines: server.lines,
            wait: server.expected(self.now) as Micros,
            way: server.base,
            silent: server.health(self.now, self.pressed) == Health::Silent,
        })
    }

    // ---- The list of servers ----

    fn members(&mut self, news: MemberNews) {
        match news {
            MemberNews::Changes(members) => members.iter().for_each(|member| self.member(member)),
            MemberNews::Complete(members) => {
                for server in self.servers.values_mut() {
                    server.ready = false;
                    server.gone_at.get_or_insert(self.now);
                }
                self.rates.take();
                members.iter().for_each(|member| self.member(member));
            }
            MemberNews::Failed => self.watched = false,
        }
        self.forget_servers();
    }

    /// Forgets servers that have been gone for long, once no call depends on them. What one could do is the
    /// best there is to know of its successor.
    fn forget_servers(&mut self) {
        let old = |server: &Server| server.gone_at.is_some_and(|at| (self.now - at) as f64 > AGEING);
        let idle = self.servers.iter().filter(|(_, server)| old(server) && server.open.is_empty());
        let mut idle: BTreeSet<ServerId> = idle.map(|(&id, _)| id).collect();
        if !idle.is_empty() {
            let held = self.calls.values().filter_map(|pending| pending.may_have_run);
            held.for_each(|(_, id)| _ = idle.remove(&id));
        }
        for id in idle {
            if let Some(server) = self.servers.remove(&id) {
                let past = self.past.entry(server.place).or_default();
                *past = past.max(most_done(&self.settings, self.longest, &server));
                self.rates.take();
            }
        }
    }

    fn member(&mut self, member: &Member) {
        let now = self.now;
        let anew = member.started_at.is_some()
            && self.servers.get(&member.server).is_none_or(|server| server.started_at != member.started_at);
        let server = self.servers.entry(member.server).or_insert_with(|| Server::new(member, now));
        let ready = member.availability == Availability::Ready;
        if server.place != member.place || server.ready != ready && server.lines.is_some() {
            self.rates.take();
        }
        server.ready = ready;
        server.gone_at = match member.availability {
            Availability::Gone => server.gone_at.or(Some(now)),
            _ => None,
        };
        server.place = member.place;
        (server.zone, server.kind) = (member.zone, member.kind);
        if anew {
            // A new process knows nothing of its predecessor's queue.
            server.started_at = member.started_at;
            server.last_sent = member.started_at.map_or(now, |at| at.min(now));
            (server.wait, server.lost) = (0.0, 0);
            server.failed = Share::default();
        }
    }

    /// Share of its capacity that a server has at least, 1 when warm.
    fn warmth(&self, server: &Server) -> f64 {
        let Some(started) = server.started_at else { return 1.0 };
        let (age, span) = ((self.now - started) as f64, self.settings.cold_span as f64);
        if age >= span {
            return 1.0;
        }
        let from = self.settings.cold_from.min(1.0);
        from + (1.0 - from) * (age / span).max(0.0)
    }

    /// Set-ups a second that the warm server of a place takes from all nodes, judged from this node's
    /// share of its past, or of the lesser of the other places where it has none.
    fn warm_rate(&self, place: i64) -> f64 {
        let rates = self.rates.get_or_init(|| self.judge_rates());
        let &(same, lines) = rates.places.get(&place).unwrap_or(&(0.0, f64::INFINITY));
        let known = if same > 0.0 || rates.least.is_infinite() { same } else { rates.least };
        // It can't take more calls than leave its lines.
        known.max(UNKNOWN_RATE).min(lines / (self.longest / 1e6))
    }

    fn judge_rates(&self) -> Rates {
        let mut rates = Rates { places: BTreeMap::new(), least: f64::INFINITY };
        let present = self.servers.values().map(|one| {
            let lines = one.lines.filter(|_| one.ready).unwrap_or(f64::INFINITY);
            (one.place, most_done(&self.settings, self.longest, one), lines)
        });
        for (at, most, lines) in present.chain(self.past.iter().map(|(&at, &most)| (at, most, f64::INFINITY)))
        {
            let place = rates.places.entry(at).or_insert((0.0, f64::INFINITY));
            *place = (place.0.max(most), place.1.min(lines));
            if most > 0.0 {
                rates.least = rates.least.min(most);
            }
        }
        rates
    }

    /// Whether it is this node's turn at a cold server. Turns come at a pace within the server's means and go
    /// round by the nodes' numbers, counted from its start: no memory is needed, and no two nodes that judge
    /// its rate alike share one. One lapses after `fall_span`, or all nodes would use the one that they kept
    /// once the server looks good again, and after half a round: a node's sends lie apart.
    fn has_turn(&self, server: &Server, warmth: f64) -> bool {
        let (all, own) = (f64::from(self.settings.balancers), f64::from(self.settings.own_number));
        let pace = self.warm_rate(server.place) / 1e6 * self.settings.fall_multiple * COLD_USE / all;
        let (from, span) = (self.settings.cold_from.min(1.0), self.settings.cold_span as f64);
        let rounds = |at| {
            let age = (at - server.started_at.unwrap_or(at)).abs() as f64; // It may lie ahead of the clock.
            let had = pace * age * (from + (1.0 - from) * (age / span).min(1.0) / 2.0);
            had - (own / all + server.place as f64 * FURTHER).rem_euclid(1.0)
        };
        let (now, sent) = (rounds(self.now), rounds(server.last_sent).floor());
        let kept = (pace * warmth * self.settings.fall_span.max(LOOK) as f64).min(0.5);
        now >= 0.0 && sent != now.floor() && now - now.floor() <= kept
    }

    // ---- What answers tell ----

    fn report(&mut self, id: ServerId, report: &Report) {
        let now = self.now;
        let rate = self.servers.get(&id).map_or(UNKNOWN_RATE, |server| self.warm_rate(server.place));
        let length = self.longest;
        let Some(server) = self.servers.get_mut(&id) else { return };
        if report.free.is_some() {
            let before = (server.lines, server.most_busy);
            server.free = report.free;
            server.lines = report.lines.filter(|lines| *lines > 0.0).or(server.lines);
            server.carry(now, length);
            if (server.lines, server.most_busy) != before {
                self.rates.take();
            }
        }
        // Reports are older than answers, and every node has the same: acted on together they herd.
        // They speak only where this node's own answers have fallen silent.
        let unheard = (now - server.answered_sent.max(server.last_sent)) as f64 > REPORT_AFTER * self.pressed;
        let queued = report.queue.map(|queue| queue * 1e6 / rate);
        if let (Some(wait), true) = (report.wait.map(|wait| wait as f64).or(queued), unheard) {
            server.sample(now, wait, GAIN);
        }
    }

    fn started(&mut self, call: CallId, attempt: u32, id: ServerId, lag: Micros) {
        let (now, stall) = (self.now, self.stall);
        // A first answer may come out of a queue: it is no measure of the way there alone. The ways to
        // servers of one zone are alike; that to another zone may well be longer.
        let zone = self.servers.get(&id).map(|server| server.zone);
        let alike = self.servers.values().filter(|server| Some(server.zone) == zone);
        let others = alike.filter_map(|server| server.base).max();
        let most = others.unwrap_or(Micros::MAX).min(self.pressed as Micros);
        let unit = self.servers.get(&id).map_or(0.0, |server| 1e6 / self.warm_rate(server.place));
        if let Some(server) = self.servers.get_mut(&id) {
            server.open.retain(|&(_, c, a)| (c, a) != (call, attempt));
            let base = server.base.unwrap_or(most).min(lag).max(0);
            server.base = Some(base);
            server.lost = 0;
            server.answered_sent = server.answered_sent.max(now.saturating_sub(lag));
            server.failed.add(now, false);
            server.turned.add(now, false);
            server.answered.add(now, false);
            server.lineless.add(now, false);
            if server.answered.all > server.most_answered {
                server.most_answered = server.answered.all;
                self.rates.take();
            }
            // Of what its send added, its own work is done; what other nodes sent at that moment may not be.
            server.take_off(now, unit);
            // It came some time during the stall, if there was one.
            let (most, least) = ((lag - base) as f64, (lag - base - stall).max(0) as f64);
            let wait = server.drained(now).clamp(least, most);
            server.sample(now, wait, GAIN);
        }
        self.forget(call);
    }

    fn learn(&mut self, call: CallId, attempt: u32, id: ServerId, how: Outcome, lag: Micros, why: Reason) {
        let (now, pressed, stall) = (self.now, self.pressed, self.stall);
        // All nodes together try a pool without a line as often as one comes free there.
        let rate = self.servers.get(&id).map_or(UNKNOWN_RATE, |server| self.warm_rate(server.place));
        let freed = (LINE_PACE * f64::from(self.settings.balancers) * 1e6 / rate).min(LINE_WAIT * pressed);
        let Some(server) = self.servers.get_mut(&id) else { return };
        let before = server.open.len();
        server.open.retain(|&(_, c, a)| (c, a) != (call, attempt));
        if server.open.len() == before {
            return; // It stood before: its end says nothing of set-ups.
        }
        match (how, why) {
            (Outcome::Full, Reason::NoCircuit) => {
                server.lineless.add(now, true);
                server.next_line = now + freed as Micros;
                // It made no work there.
                server.take_off(now, server.own);
            }
            (Outcome::Moot, _) => {}
            (Outcome::Full, Reason::TurnedBack { .. }) => server.turned.add(now, true),
            (Outcome::Full, why) => {
                let wait = if let Reason::ProcessorFull { wait } = why { wait } else { 0 };
                server.lost = 0;
                server.answered_sent = server.answered_sent.max(now.saturating_sub(lag));
                server.failed.add(now, true);
                let wait = if wait > 0 { wait as f64 } else { server.wait.max(4.0 * pressed) };
                server.sample(now, wait, 1.0);
            }
            (Outcome::Error, Reason::LinesBusy) => {}
            (Outcome::Error, _) => {
                server.failed.add(now, true);
                server.take_off(now, 1e6 / rate);
            }
            (Outcome::Reset, _) => server.failed.add(now, true),
            (Outcome::TimedOut | Outcome::Unreachable | Outcome::Cancelled, _) => {
                server.failed.add(now, true);
                if server.answered_sent <= now.saturating_sub(lag)
                    && (stall <= LOOK || (lag - stall) as f64 > pressed)
                {
                    (server.lost, server.lost_at) = (server.lost + 1, now);
                }
            }
            (Outcome::Ok, _) => {}
        }
    }

    // ---- A call's life ----

    fn forget(&mut self, id: CallId) {
        if let Some(gone) = self.calls.remove(&id) {
            self.waiting.remove(&self.rank(&gone));
        }
    }

    fn rank(&self, pending: &Pending) -> (Reverse<u64>, Micros, CallId) {
        let worth = self.settings.classes.get(pending.call.class).map_or(0.0, |class| class.worth);
        (Reverse((worth * 1e6) as u64), pending.arrived, pending.call.id)
    }

    fn arrive(&mut self, call: Call, actions: &mut Vec<Action>) {
        let id = call.id;
        if call.class >= self.settings.classes.len() {
            actions.push(Action::Fail(id));
            return;
        }
        let (arrived, ends) = (self.now, self.now.saturating_add(call.patience));
        let used_before = self.used_before(&call);
        let fresh = Pending { call, arrived, ends, released: arrived, used_before, ..Pending::default() };
        self.calls.insert(id, fresh);
        self.place(id, &mut self.faces(), actions);
    }

    /// Time that earlier tries of the call used. Callers who dial again wait out what is left of the
    /// deadline, so patience beyond the usual tells it; where repeats are marked, the aim is over.
    fn used_before(&mut self, call: &Call) -> Micros {
        let (class, usual) = (&self.settings.classes[call.class], &mut self.usual[call.class]);
        if call.cut || call.in_transit {
            return 0; // A cut call starts anew; one in transit was judged where it came from.
        }
        if !call.redialled {
            usual.vote(call.patience);
        }
        if call.patience > usual.patience + usual.patience / SPREAD {
            return (class.deadline - call.patience).max(0);
        }
        Micros::from(call.redialled) * class.aim
    }

    fn ended(&mut self, id: CallId, attempt: u32, how: Outcome, why: Reason, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(pending) = self.calls.get_mut(&id) else { return };
        if attempt + 1 != pending.attempts {
            return;
        }
        let Some(out) = pending.out.take() else { return };
        if !matches!(how, Outcome::Full | Outcome::Unreachable | Outcome::Moot) {
            pending.may_have_run.get_or_insert((out.sent, out.server));
        }
        if matches!(how, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            // The release rule: what the attempt tied up may still be held.
            pending.released = now + self.settings.release;
        }
        if how == Outcome::Error && why == Reason::LinesBusy {
            return self.give_up(id, actions);
        }
        self.place(id, &mut self.faces(), actions);
    }

    /// Sends the call on its best route, lets it wait, or turns it away.
    fn place(&mut self, id: CallId, faces: &mut Vec<Face>, actions: &mut Vec<Action>) {
        let Some(pending) = self.calls.get(&id) else { return };
        if pending.out.is_some() {
            return;
        }
        if self.stall > LOOK && self.now < pending.ends - LOOK {
            return self.wait(id);
        }
        let at = self.now.max(pending.released);
        let best = self.best(faces, pending, at, None);
        match best {
            Some((_, to)) if at == self.now => {
                self.send(id, to, actions);
                if let Some(at) = faces.iter().position(|face| face.id == to) {
                    let anew = self.servers.get(&to).and_then(|server| self.face(to, server));
                    faces.splice(at..=at, anew);
                }
            }
            Some(_) => self.wait(id),
            None if self.may_wait(pending) => self.wait(id),
            None => self.give_up(id, actions),
        }
    }

    /// Whether the call can still gain by waiting for a route to pay.
    fn may_wait(&self, pending: &Pending) -> bool {
        let class = &self.settings.classes[pending.call.class];
        let used = (self.now.max(pending.released) - pending.arrived + pending.used_before) as f64;
        !pending.call.in_transit
            && used < HOLD * class.aim as f64
            && self.now < pending.ends - LOOK - self.stalled.0
            && pending.attempts < self.settings.max_attempts
            && self
                .servers
                .iter()
                .any(|(&id, one)| one.ready && self.permitted(pending, id, one.place, one.zone))
    }

    fn wait(&mut self, id: CallId) {
        let Some(pending) = self.calls.get(&id) else { return };
        let rank = self.rank(pending);
        self.waiting.insert(rank);
    }

    /// Looks again at the calls that wait, and at set-ups that other routes could still save.
    fn review(&mut self, tick: bool, news: bool, actions: &mut Vec<Action>) {
        if tick && self.stall <= LOOK {
            self.rescue(actions);
            self.log(actions);
            self.doubt();
        }
        if news && !self.waiting.is_empty() {
            let mut faces = self.faces();
            for id in self.waiting.iter().map(|&(.., id)| id).collect::<Vec<_>>() {
                self.place(id, &mut faces, actions);
            }
        }
        if !self.calls.is_empty() && !self.ticking {
            self.ticking = true;
            self.due = self.now + LOOK;
            actions.push(Action::Timer { token: TICK, delay: LOOK });
        }
    }

    /// Servers that fail together mostly share something that the list shows: a place, a zone, a kind. Where
    /// half of such a group, and two at least, fell silent of late, so may the rest: it counts less for a
    /// while. A group of all is no evidence, or one trouble would shut the service down.
    fn doubt(&mut self) {
        let (now, mut groups) = (self.now, BTreeMap::<(u8, i64), (usize, usize)>::new());
        let keys = |server: &Server| [(0, server.place), (1, server.zone.into()), (2, server.kind.into())];
        let listed = self.servers.values().filter(|server| server.ready).count();
        for server in self.servers.values().filter(|server| server.ready) {
            let silent = server.lost > 0 && ((now - server.lost_at) as f64) < AGEING;
            for key in keys(server) {
                let (all, lost) = groups.entry(key).or_default();
                (*all, *lost) = (*all + 1, *lost + usize::from(silent));
            }
        }
        for server in self.servers.values_mut() {
            let failing =
                |key| groups.get(&key).is_some_and(|&(all, n)| all < listed && n > 1 && 2 * n >= all);
            server.doubted = keys(server).into_iter().any(failing);
        }
    }

    /// Tells of servers whose condition changed, once in a while each.
    fn log(&mut self, actions: &mut Vec<Action>) {
        for server in self.servers.values_mut() {
            let health = server.health(self.now, self.pressed);
            if health == server.logged || self.now < server.logged_at.saturating_add(AGEING as Micros) {
                continue;
            }
            (server.logged, server.logged_at) = (health, self.now);
            let wait = server.expected(self.now) / 1e3;
            let text = match health {
                Health::Well => "answers in time again".to_owned(),
                Health::Pressed => format!("pressed, about {wait:.0} ms: cheap calls are held or refused"),
                Health::Silent => format!("silent for about {wait:.0} ms: trial calls only"),
            };
            actions.push(Action::Log(format!("server at place {}: {text}", server.place)));
        }
    }

    /// Gives up set-ups that wait in silence, where another route is clearly better even after the
    /// release time. Covers hung, crashed and suddenly slowed servers and set-ups lost on the way; it
    /// could harm by moving load between servers that are all slow, hence the margin.
    fn rescue(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_cancel {
            return;
        }
        let (mut cancelled, faces) = (Vec::new(), Cache::new());
        for (&id, pending) in &self.calls {
            let Some(out) = pending.out else { continue };
            let Some(server) = self.servers.get(&out.server) else { continue };
            let age = (self.now - out.sent) as f64 - server.base();
            if age < self.pressed || pending.withdrawn {
                continue;
            }
            let at = self.now + self.settings.release;
            let lost = out.sent <= server.answered_sent;
            let class = &self.settings.classes[pending.call.class];
            // What has waited long is likely to wait as long again; what was overtaken is lost.
            let stay = if lost { 0.0 } else { self.gain(pending, self.now, 1.0, age) };
            // The server that answers what came after it may well take it anew.
            let but = (!lost).then_some(out.server);
            let faces = faces.get_or_init(|| self.faces());
            let Some((score, _)) = self.best(faces, pending, at, but) else { continue };
            if score > stay + RESCUE * class.worth {
                cancelled.push(id);
            }
        }
        for id in cancelled {
            let Some(pending) = self.calls.get_mut(&id) else { continue };
            pending.withdrawn = true;
            actions.push(Action::Cancel { call: id, attempt: pending.attempts - 1 });
        }
    }

    fn send(&mut self, id: CallId, to: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let (nodes, pressed) = (f64::from(self.settings.balancers), self.pressed);
        let Some(server) = self.servers.get(&to) else { return };
        let unit = 1e6 / self.warm_rate(server.place);
        let Some(pending) = self.calls.get(&id) else { return };
        let rank = self.rank(pending);
        self.waiting.remove(&rank);
        let Some(pending) = self.calls.get_mut(&id) else { return };
        let Some(server) = self.servers.get_mut(&to) else { return };
        let aim = self.settings.classes[pending.call.class].aim;
        pending.withdrawn = false;
        server.last_sent = now;
        server.open.insert((now, id, pending.attempts));
        server.settle(now);
        server.own = OWN * (unit * nodes).min(pressed);
        server.wait += server.own;
        server.free = server.free.map(|free| free - pending.call.width);
        pending.attempts += 1;
        pending.out = Some(Out { server: to, sent: now });
        // A node that stalls at the caller's deadline would miss it, so it asks for the outcome earlier, but
        // not before the aim is over.
        let left = pending.ends - now;
        let timeout = match self.stalled.0 {
            0 => 0,
            stalled => left.min((left - stalled).max(pending.arrived + aim - now)).max(1),
        };
        actions.push(Action::Send { call: id, server: to, timeout });
    }

    /// The final answer to a call that is not sent (again).
    fn give_up(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(pending) = self.calls.get(&id) else { return };
        let class = &self.settings.classes[pending.call.class];
        let ran = pending.may_have_run.is_some();
        let refusable = match class.effect {
            Effect::Safe => true,
            Effect::Dedup => !ran || class.dedup_group == DedupGroup::All,
            Effect::Fragile => !ran,
        };
        if refusable {
            let retry_after = self.settings.max_retry_hint.unwrap_or(0);
            actions.push(Action::Refuse { call: id, retry_after });
        } else {
            actions.push(Action::Fail(id));
        }
        self.forget(id);
    }

    // ---- The score ----

    /// Whether rules and settings let this call go to a server of this place and zone at all.
    fn permitted(&self, pending: &Pending, id: ServerId, place: i64, zone: u32) -> bool {
        let (call, class) = (&pending.call, &self.settings.classes[pending.call.class]);
        let direct = place == call.destination;
        let listed = match (self.settings.home, &class.allowed) {
            (Some(home), _) => place != home && (direct || !call.in_transit),
            (None, Some(pools)) => pools.contains(&place),
            (None, None) => true,
        };
        let repeatable = match (pending.may_have_run, class.effect) {
            (None, _) | (_, Effect::Safe) => true,
            (Some(_), Effect::Fragile) => false,
            (Some((sent, first)), Effect::Dedup) => {
                let same = self.servers.get(&first).is_some_and(|first| match class.dedup_group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => first.zone == zone,
                    DedupGroup::Cell => first.place == place,
                });
                (id == first || same) && self.now - sent < class.dedup_window
            }
        };
        listed && repeatable
    }

    /// The servers that are open to calls at this moment. Where this node knows little of one, it takes the
    /// wait to be what it meets elsewhere: what hundreds of other nodes sent there it can't know.
    fn faces(&self) -> Vec<Face> {
        let mut faces: Vec<_> = self.servers.iter().filter_map(|(&id, one)| self.face(id, one)).collect();
        let known = faces.iter().map(|face| face.known).sum::<f64>().max(1.0);
        let usual = faces.iter().map(|face| face.known * face.wait).sum::<f64>() / known;
        faces.iter_mut().for_each(|face| face.wait = face.wait.max(usual * PRIOR / (face.known + PRIOR)));
        faces
    }

    fn face(&self, id: ServerId, server: &Server) -> Option<Face> {
        let now = self.now;
        let warmth = self.warmth(server);
        if !server.ready || server.next_line > now || warmth < 1.0 && !self.has_turn(server, warmth) {
            return None;
        }
        // A silent server gets lone trial calls, of those that nothing better takes: silence must not keep
        // it out for good.
        let silent = server.health(now, self.pressed) == Health::Silent;
        if silent {
            let fleet = (f64::from(self.settings.balancers) * 1e6
                / (TRIAL_USE * self.warm_rate(server.place)))
            .min(TRIAL_MOST * AGEING);
            let quiet = (now - server.last_sent) as f64;
            if quiet < fleet * (server.lost.max(1) - 1 + server.open.len()) as f64 {
                return None;
            }
        }
        let mut stands = (1.0 - server.failed.value(now)) * (1.0 - server.lineless.value(now));
        if silent || server.doubted {
            stands *= AGAIN;
        }
        Some(Face {
            id,
            place: server.place,
            zone: server.zone,
            free: server.free,
            base: server.base(),
            wait: if silent { server.drained(now) } else { server.expected(now) },
            known: server.answered.all * server.answered.faded(now),
            stands,
            passes: 1.0 - server.turned.value(now),
        })
    }

    /// The route of the best score above zero for a call that would be sent at the moment `at`.
    fn best(&self, faces: &[Face], pending: &Pending, at: Micros, but: Option<ServerId>) -> Best {
        if pending.attempts >= self.settings.max_attempts || at >= pending.ends {
            return None;
        }
        let near = NEAR * self.cheapest;
        let mut best: Best = None;
        for face in faces {
            let id = face.id;
            if but == Some(id) || !self.permitted(pending, id, face.place, face.zone) {
                continue;
            }
            let mut score = self.score(pending, face, at);
            if score > 0.0 {
                // The first choice wins near-ties and chance settles them between the others, so that
                // nodes with one view don't herd.
                let direct = face.place == pending.call.destination;
                let mark = (pending.call.id.0 << 16) ^ (u64::from(id.0) + 1);
                score += near * if direct { 1.0 } else { self.random.draw(mark) };
            }
            if score > 0.0 && best.is_none_or(|(top, _)| score > top) {
                best = Some((score, id));
            }
        }
        best
    }

    fn score(&self, pending: &Pending, face: &Face, at: Micros) -> f64 {
        let (now, call) = (self.now, &pending.call);
        let direct = face.place == call.destination;
        if face.free.is_some_and(|free| free < call.width) {
            return f64::NEG_INFINITY;
        }
        let (mut wait, mut stands) = (face.wait, face.stands);
        if !direct && self.settings.home.is_some() {
            // Two legs: the tandem's own refusals, and the destination's processor behind it.
            stands *= face.passes;
            if let Some(far) = self.servers.values().find(|far| far.place == call.destination) {
                stands *= 1.0 - far.failed.value(now);
                wait += far.expected(now);
            }
        }
        let gain = self.gain(pending, at, stands, face.base + wait);
        let price = self.cheapest * (wait / self.pressed).powi(PRICE_POWER) * call.width;
        gain - price - if direct { 0.0 } else { SECOND_COST * self.cheapest }
    }

    /// Expected worth of a call that meets this delay from the moment `at` on.
    fn gain(&self, pending: &Pending, at: Micros, stands: f64, delay: f64) -> f64 {
        let class = &self.settings.classes[pending.call.class];
        let here = (at - pending.arrived) as f64 + delay;
        let (sure, lost) = CURVE;
        let missing =
            |time: f64, limit: Micros| ((time / limit.max(1) as f64 - sure) / (lost - sure)).clamp(0.0, 1.0);
        let missed = missing(here + pending.used_before as f64, class.aim);
        let late = (1.0 - missing(here, pending.call.patience)).min(missed);
        class.worth * stands * ((1.0 - missed) + class.late_worth * late)
    }
}
