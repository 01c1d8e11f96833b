//! The decision logic of the library. Its types, events and actions are defined in `interface.rs`.
//!
//! A call's *score* on a route is its worth times the estimated probability that it is established in
//! time, minus the cost of the route and a price for the processor work that it causes. The call is sent
//! on the route with the highest score. If no score is above zero, the call is queued at the node for as
//! long as a route may still become available in time, and then refused. This module also estimates the
//! waiting time at each server, enforces the five rules, and handles calls whose attempt failed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::departed::{DepartedCalls, EarlierAttempts};
use crate::interface::*;
use crate::random::Random;
use crate::state::Cache;

/// Cost of a route other than the first choice, in worths of the cheapest class. Kept small.
const SECOND_CHOICE_COST: f64 = 0.03;
/// Shares of the aim up to which a call is certain to be established, and from which it is certain not to be.
const SUCCESS_CURVE: (f64, f64) = (0.7, 1.2);
/// Wait above which a server counts as pressed, as a share of `repeat`. A set-up that waits longer than
/// `repeat` is sent again and causes additional work.
const PRESSED_SHARE_OF_REPEAT: f64 = 0.5;
/// Wait above which a server counts as pressed, as a share of the shortest aim, if set-ups are not repeated.
const PRESSED_SHARE_OF_AIM: f64 = 0.3;
/// Exponent with which the price of work grows with the wait. At the pressed wait the price equals the
/// worth of the cheapest class.
const PRICE_EXPONENT: i32 = 2;
/// Weight of a new sample in a moving average. A higher weight adds noise, a lower one delay.
const SMOOTHING_WEIGHT: f64 = 0.5;
/// Wait that one send of this node adds to the estimate, as a share of the work of one set-up from every
/// node, limited to a pressed wait. It spreads a node's calls over the servers. It is less than the whole
/// because one node's send is a poor sample of the sends of hundreds of nodes.
const OWN_SEND_SHARE: f64 = 0.5;
/// Time constant of the decay of an estimated wait, in mean intervals between answers.
const WAIT_DECAY_ANSWERS: f64 = 6.0;
/// Share of the load that its lines can carry below which a server is taken to work off its queue.
const IDLE_LOAD: f64 = 0.15;
/// Minimum interval between two samples of the lines in use.
const LINES_SAMPLE_INTERVAL_US: f64 = 0.5e6;
/// Time constant of the decay of recorded outcomes (ten seconds, as in the design page).
const EVIDENCE_DECAY_US: f64 = 10e6;
/// Number of virtual good outcomes added to a failure rate, so that the rate decays with its outcomes.
const PRIOR_OUTCOMES: f64 = 2.0;
/// Share of the aim that a call may spend queued at the node. The rest is left for the set-up.
const MAX_QUEUED_SHARE: f64 = 0.65;
/// Interval between two checks of the queued calls.
const QUEUE_CHECK_INTERVAL_US: Micros = 10_000;
/// Share of the load at which a cold server falls over that the turns of all nodes add up to. Turns that are
/// used late at most double it. Below that load its answers show how much it can take.
const COLD_LOAD_SHARE: f64 = 0.5;
/// Offset of the first turn at a cold server, in rounds per place, so that the turns at several cold servers
/// do not begin with the same node.
const TURN_OFFSET_PER_PLACE: f64 = 0.618;
/// Scores that differ by less than this, in worths of the cheapest class, count as equal.
const NEAR_TIE_MARGIN: f64 = 0.05;
/// Set-ups per second that a warm server is assumed to handle until this node has observed more. Low, so that
/// load on an unknown server rises slowly. The number of its lines may limit it further.
const ASSUMED_RATE_PER_S: f64 = 10.0;
/// Part of the time until a node's turn at a released line that the node waits before it tries again. It is
/// less than one because nodes without a call do not use their turns.
const LINE_RETRY_SHARE: f64 = 0.5;
/// Upper limit of that pause, in pressed waits.
const LINE_RETRY_MAX_PRESSED: f64 = 5.0;
/// Maximum share of a server's work that the trial calls of all nodes take. Each unanswered trial lowers it.
const TRIAL_LOAD_SHARE: f64 = 0.15;
/// Upper limit of the pause between trials of one node, in decay times. The reported figures from which the
/// pause is computed may be wrong.
const TRIAL_PAUSE_MAX_DECAYS: f64 = 2.0;
/// A set-up is cancelled in favour of another route only if that route scores better by this share of the
/// call's worth, since the work already done for it is lost.
const CANCEL_MARGIN: f64 = 0.25;
/// Patience that differs from the typical one by less than one part in this many counts as typical.
const PATIENCE_TOLERANCE_DIVISOR: Micros = 32;
/// Time without own traffic, in pressed waits, after which a load report is used.
const REPORT_AFTER_PRESSED: f64 = 5.0;
/// Factor on the success probability of a silent server, and of the other servers of a group that falls
/// silent.
const SILENT_SUCCESS_FACTOR: f64 = 0.3;
/// Token of the only timer.
const TICK_TOKEN: u64 = 1;

/// An exponentially decaying failure rate.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct DecayingRate {
    bad: f64,
    all: f64,
    at: Micros,
}

impl DecayingRate {
    fn decay_factor(&self, now: Micros) -> f64 {
        (-((now - self.at) as f64) / EVIDENCE_DECAY_US).exp()
    }

    fn add(&mut self, now: Micros, bad: bool) {
        let decay_factor = self.decay_factor(now);
        self.bad = self.bad * decay_factor + f64::from(u8::from(bad));
        self.all = self.all * decay_factor + 1.0;
        self.at = now;
    }

    fn value(&self, now: Micros) -> f64 {
        let decay_factor = self.decay_factor(now);
        self.bad * decay_factor / (self.all * decay_factor + PRIOR_OUTCOMES)
    }
}

/// A server's condition, as logged.
#[derive(Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
enum Health {
    #[default]
    Normal,
    Pressed,
    Silent,
}

/// What this node knows about one server.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Server {
    ready: bool,
    /// When it was removed from the server list.
    gone_at: Option<Micros>,
    started_at: Option<Micros>,
    place: i64,
    zone: u32,
    kind: u32,
    /// Free circuits or lines, if reported.
    free: Option<f64>,
    /// Total number of circuits or lines, if reported.
    lines: Option<f64>,
    /// Time and value of the last sample of the lines in use.
    busy: Option<(Micros, f64)>,
    /// New calls of all nodes, as a share of what its lines can carry, derived from the reported lines.
    line_load: f64,
    /// Smallest lag seen: the round trip without queueing.
    min_lag: Option<Micros>,
    /// Estimated wait, and the time for which it holds.
    wait: f64,
    wait_at: Micros,
    /// What the last send of this node added to the wait.
    own_send_wait: f64,
    /// Unanswered set-ups of this node, oldest first.
    unanswered: BTreeSet<(Micros, CallId, u32)>,
    /// Rate of set-ups that were refused or not answered.
    failed: DecayingRate,
    /// Rate of calls that it turned back as a tandem.
    turned_back: DecayingRate,
    /// Rate of set-ups that found no free line.
    no_line: DecayingRate,
    /// Answered set-ups of this node. Multiplied by the number of nodes they give the server's throughput.
    answered: DecayingRate,
    /// The maximum of these, and of the lines in use: a lower bound of its capacity.
    max_answered: f64,
    max_lines_in_use: f64,
    /// Attempts that ended without an answer since the last answer, and the time of the latest. While there
    /// are any, the server only gets single trial calls.
    silent_attempts: usize,
    last_silent_at: Micros,
    /// Other servers of one of its groups have recently fallen silent.
    group_suspect: bool,
    /// When this node last sent to it, and when the latest answered set-up was sent.
    last_sent: Micros,
    answered_sent: Micros,
    /// No set-up is sent before this, since no line was free.
    retry_line_at: Micros,
    /// The condition that was logged last, and when.
    logged: Health,
    logged_at: Micros,
}

impl Server {
    fn new(member: &Member, now: Micros) -> Self {
        Server {
            place: member.place,
            line_load: 1.0,
            wait_at: now,
            last_sent: now,
            answered_sent: now,
            retry_line_at: now,
            logged_at: Micros::MIN,
            ..Server::default()
        }
    }

    fn min_lag(&self) -> f64 {
        self.min_lag.unwrap_or(0) as f64
    }

    /// The estimated wait, decayed to `now`.
    fn decayed_wait(&self, now: Micros) -> f64 {
        let gap = EVIDENCE_DECAY_US / (self.answered.all * self.answered.decay_factor(self.wait_at) + 1.0);
        let age = (now - self.wait_at) as f64;
        let drain_rate = (1.0 - self.line_load / IDLE_LOAD).max(0.0);
        (self.wait - drain_rate * age).max(0.0) * (-age / (WAIT_DECAY_ANSWERS * gap)).exp()
    }

    fn update_wait(&mut self, now: Micros) {
        self.wait = self.decayed_wait(now);
        self.wait_at = now;
    }

    /// Subtracts what the last send of this node added to the wait, but no more than `limit`.
    fn subtract_own_send(&mut self, now: Micros, limit: f64) {
        self.update_wait(now);
        self.wait = (self.wait - self.own_send_wait.min(limit)).max(0.0);
    }

    /// The wait that a set-up sent now is expected to meet.
    fn expected_wait(&self, now: Micros) -> f64 {
        self.decayed_wait(now).max(self.silent_for(now))
    }

    /// How long the oldest set-up sent after the latest answered one has been waiting. This detects a hung
    /// server before any time-out. Older set-ups are ignored: they were lost on the way.
    fn silent_for(&self, now: Micros) -> f64 {
        let oldest = self.unanswered.iter().find(|&&(sent, ..)| sent > self.answered_sent);
        oldest.map_or(0.0, |&(sent, ..)| ((now - sent) as f64 - self.min_lag()).max(0.0))
    }

    /// Estimates the load that all nodes recently sent to the server. The number of lines in use rises with
    /// new calls and falls with calls that end.
    fn sample_lines(&mut self, now: Micros, length: f64) {
        let (Some(free), Some(lines)) = (self.free, self.lines) else { return };
        let busy = lines - free;
        let (sampled_at, before) = *self.busy.get_or_insert((now, busy));
        let span = (now - sampled_at) as f64;
        if span >= LINES_SAMPLE_INTERVAL_US {
            self.update_wait(now);
            let share = ((busy - before) * length / span + busy) / lines;
            self.line_load += SMOOTHING_WEIGHT * (share.clamp(0.0, 2.0) - self.line_load);
            self.busy = Some((now, busy));
            // The mean of two samples, since a short peak or queued calls do not show its capacity.
            self.max_lines_in_use = self.max_lines_in_use.max((before + busy) / 2.0);
        }
    }

    fn health(&self, now: Micros, pressed_wait: f64) -> Health {
        if self.silent_attempts > 0 || self.silent_for(now) > pressed_wait {
            Health::Silent
        } else if self.expected_wait(now) > pressed_wait {
            Health::Pressed
        } else {
            Health::Normal
        }
    }

    fn add_wait_sample(&mut self, now: Micros, wait: f64, weight: f64) {
        if wait.is_nan() {
            return;
        }
        self.update_wait(now);
        // Limited, so that implausible figures decay as fast as others.
        self.wait += weight * (wait.clamp(0.0, EVIDENCE_DECAY_US) - self.wait);
    }
}

/// Lower bound of the set-ups per second that a server has handled for all nodes at its peak.
fn observed_rate(settings: &Settings, longest_call_length: f64, server: &Server) -> f64 {
    // The maximum of a small count lies above its mean, and every node would make the same error, so one
    // standard deviation is subtracted. Lines in use already count the calls of all nodes.
    let nodes = f64::from(settings.balancers);
    match server.max_lines_in_use {
        busy if busy > 0.0 && longest_call_length > 0.0 => busy / (longest_call_length / 1e6),
        _ => (server.max_answered - server.max_answered.sqrt()).max(0.0) * nodes / (EVIDENCE_DECAY_US / 1e6),
    }
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct Attempt {
    server: ServerId,
    sent: Micros,
}

/// A call without a final answer.
#[derive(Clone, Default, Serialize, Deserialize)]
struct PendingCall {
    call: Call,
    arrived: Micros,
    patience_ends: Micros,
    attempts: u32,
    active_attempt: Option<Attempt>,
    /// No attempt is sent before this: resources of an earlier attempt may still be held.
    not_before: Micros,
    /// The first attempt that may have run: when and where it was sent.
    may_have_run: Option<(Micros, ServerId)>,
    /// The current attempt was cancelled.
    cancelled: bool,
    /// Number of attempts of the same set-up before it came again.
    earlier_attempts: u32,
    /// Time spent on earlier tries, as far as known.
    used_before: Micros,
}

/// The typical patience of first tries in a class, found by majority vote.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct TypicalPatience {
    patience: Micros,
    votes: u32,
}

impl TypicalPatience {
    fn vote(&mut self, patience: Micros) {
        if self.votes == 0 {
            self.patience = patience;
        }
        if (self.patience - patience).abs() <= self.patience / PATIENCE_TOLERANCE_DIVISOR {
            self.votes = self.votes.saturating_add(1);
        } else {
            self.votes -= 1;
        }
    }
}

/// Lower bounds of server throughput by place.
#[derive(Clone, Serialize, Deserialize)]
struct PlaceRates {
    /// For each place, the highest observed rate and the smallest number of lines.
    places: BTreeMap<i64, (f64, f64)>,
    /// The lowest non-zero rate of any place.
    lowest: f64,
}

/// The score of a route and its server.
type ScoredRoute = Option<(f64, ServerId)>;

/// The state of a server at this moment, as far as it is the same for every call.
#[derive(Clone, Copy)]
struct Candidate {
    id: ServerId,
    place: i64,
    zone: u32,
    free: Option<f64>,
    min_lag: f64,
    wait: f64,
    /// Recently answered set-ups of this node.
    answered_count: f64,
    /// Probability that a set-up succeeds there, and that the server as a tandem does not turn it back.
    success: f64,
    not_turned_back: f64,
}

/// Makes the admission and routing decisions of one access node.
#[derive(Clone, Serialize, Deserialize)]
pub struct Controller {
    settings: Settings,
    servers: BTreeMap<ServerId, Server>,
    /// For each place, the highest rate of servers removed from it. Their successors are assumed to reach it.
    past_rates: BTreeMap<i64, f64>,
    /// Cleared whenever one of its inputs changes.
    rates: Cache<PlaceRates>,
    calls: BTreeMap<CallId, PendingCall>,
    departed_calls: DepartedCalls,
    /// Calls waiting to be sent, highest worth first, then oldest first.
    waiting: BTreeSet<(Reverse<u64>, Micros, CallId)>,
    typical_patience: Vec<TypicalPatience>,
    random: Random,
    timer_set: bool,
    subscribed: bool,
    now: Micros,
    /// When the timer is due, how late the current event is against it, and the longest recent delay with its
    /// time.
    timer_due: Micros,
    stall: Micros,
    longest_stall: (Micros, Micros),
    /// Largest mean call length of any class, 0 if unknown.
    longest_call_length: f64,
    pressed_wait: f64,
    lowest_worth: f64,
}

impl Controller {
    /// Creates a node's controller with a seed for its random choices.
    ///
    /// # Errors
    ///
    /// Fails if the settings are unusable: no classes, no nodes, negative or non-finite figures.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let lowest = |worths: f64, class: &Class| worths.min(class.worth);
        let lowest_worth = settings.classes.iter().fold(f64::INFINITY, lowest);
        let aim = settings.classes.iter().map(|class| class.aim).min().unwrap_or(1) as f64;
        let longest_call_length = settings.classes.iter().map(|class| class.length).max().unwrap_or(0) as f64;
        let pressed_wait = match settings.repeat {
            0 => PRESSED_SHARE_OF_AIM * aim,
            repeat => PRESSED_SHARE_OF_REPEAT * repeat as f64,
        };
        Ok(Controller {
            typical_patience: vec![TypicalPatience::default(); settings.classes.len()],
            settings,
            servers: BTreeMap::new(),
            past_rates: BTreeMap::new(),
            rates: Cache::new(),
            calls: BTreeMap::new(),
            departed_calls: DepartedCalls::default(),
            waiting: BTreeSet::new(),
            random: Random::new(seed),
            timer_set: false,
            subscribed: false,
            now: 0,
            timer_due: 0,
            stall: 0,
            longest_stall: (0, 0),
            longest_call_length,
            pressed_wait: pressed_wait.max(1.0),
            lowest_worth: lowest_worth.max(f64::MIN_POSITIVE),
        })
    }

    /// Processes one event that happened at `now`, and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.detect_stall(now);
        if !self.subscribed && self.settings.membership == Membership::Subscribe {
            self.subscribed = true;
            actions.push(Action::Watch(true));
        }
        let mut tick = false;
        // Reports arrive constantly from every server and are older than the queue check interval, so they
        // do not trigger a check.
        let recheck_queue =
            !matches!(event, Event::Probed { .. } | Event::Note { .. } | Event::CallerGone(_));
        match event {
            Event::Members(update) => self.update_members(update),
            Event::Call(call) => self.accept_call(call, actions),
            Event::Started { call, attempt, server, lag } => self.record_answer(call, attempt, server, lag),
            Event::Ended { call, attempt, server, outcome, lag, closed, reason, report } => {
                self.record_outcome(call, attempt, server, outcome, lag, reason);
                self.apply_report(server, &report);
                if closed {
                    self.remove_call(call);
                } else {
                    self.attempt_ended(call, attempt, outcome, reason, actions);
                }
            }
            Event::CallerGone(call) => self.caller_gone(call),
            Event::Timer(TICK_TOKEN) => {
                self.timer_set = false;
                tick = true;
            }
            Event::Timer(_) => {}
            Event::Probed { server, report, .. } => self.apply_report(server, &report),
            Event::Note { .. } => {}
        }
        self.recheck_calls(tick, recheck_queue, actions);
    }

    /// Detects that this node itself was stalled when its timer was due. Events that arrived during the stall
    /// are then delivered together, with lags caused by the node. Until the next check no set-up is
    /// cancelled, no server is held responsible, and calls stay queued, so that list updates are processed
    /// first. This covers paused processes and overloaded hosts. It can hide a server that falls silent
    /// during the stall until the next check.
    fn detect_stall(&mut self, now: Micros) {
        if now <= self.now {
            return; // The same time, or a clock that was set back.
        }
        self.now = now;
        self.stall = if self.timer_set { (now - self.timer_due).max(0) } else { 0 };
        self.timer_due = self.timer_due.max(now);
        if self.stall > self.longest_stall.0 || (now - self.longest_stall.1) as f64 > EVIDENCE_DECAY_US {
            self.longest_stall = (if self.stall > QUEUE_CHECK_INTERVAL_US { self.stall } else { 0 }, now);
        }
    }

    /// Returns the number of servers and calls that the controller holds.
    pub fn sizes(&self) -> Sizes {
        Sizes { servers: self.servers.len(), calls: self.calls.len(), waiting: self.waiting.len() }
    }

    /// Returns the estimated state of a server at this moment, or `None` if the server is unknown.
    pub fn view(&self, id: ServerId) -> Option<ServerView> {
        let server = self.servers.get(&id)?;
        Some(ServerView {
            free: server.free,
            lines: server.lines,
            wait: server.expected_wait(self.now) as Micros,
            way: server.min_lag,
            silent: server.health(self.now, self.pressed_wait) == Health::Silent,
        })
    }

    // ---- Server list ----

    fn update_members(&mut self, update: ServerListUpdate) {
        match update {
            ServerListUpdate::Changes(members) => {
                members.iter().for_each(|member| self.update_member(member))
            }
            ServerListUpdate::Complete(members) => {
                for server in self.servers.values_mut() {
                    server.ready = false;
                    server.gone_at.get_or_insert(self.now);
                }
                self.rates.take();
                members.iter().for_each(|member| self.update_member(member));
            }
            ServerListUpdate::Failed => self.subscribed = false,
        }
        self.remove_expired_servers();
    }

    /// Removes servers that left the list more than a decay time ago, once no call refers to them. The rate
    /// that a server reached is kept as the best available estimate for its successor.
    fn remove_expired_servers(&mut self) {
        let expired =
            |server: &Server| server.gone_at.is_some_and(|at| (self.now - at) as f64 > EVIDENCE_DECAY_US);
        let unused =
            self.servers.iter().filter(|(_, server)| expired(server) && server.unanswered.is_empty());
        let mut removable: BTreeSet<ServerId> = unused.map(|(&id, _)| id).collect();
        if !removable.is_empty() {
            let in_use = self.calls.values().filter_map(|pending| pending.may_have_run);
            in_use.for_each(|(_, id)| _ = removable.remove(&id));
        }
        for id in removable {
            if let Some(server) = self.servers.remove(&id) {
                let past_rate = self.past_rates.entry(server.place).or_default();
                *past_rate = past_rate.max(observed_rate(&self.settings, self.longest_call_length, &server));
                self.rates.take();
            }
        }
    }

    fn update_member(&mut self, member: &Member) {
        let now = self.now;
        let restarted = member.started_at.is_some()
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
        if restarted {
            // A restarted process has an empty queue.
            server.started_at = member.started_at;
            server.last_sent = member.started_at.map_or(now, |at| at.min(now));
            (server.wait, server.silent_attempts) = (0.0, 0);
            server.failed = DecayingRate::default();
        }
    }

    /// Lower bound of the share of its full capacity that a server has reached, 1 if it is warm.
    fn warm_share(&self, server: &Server) -> f64 {
        let Some(started) = server.started_at else { return 1.0 };
        let (age, span) = ((self.now - started) as f64, self.settings.cold_span as f64);
        if age >= span {
            return 1.0;
        }
        let from = self.settings.cold_from.min(1.0);
        from + (1.0 - from) * (age / span).max(0.0)
    }

    /// Set-ups per second that the warm server of a place handles for all nodes, estimated from what this
    /// node observed there, or from the lowest rate of the other places if it observed nothing.
    fn warm_rate(&self, place: i64) -> f64 {
        let rates = self.rates.get_or_init(|| self.compute_rates());
        let &(place_rate, lines) = rates.places.get(&place).unwrap_or(&(0.0, f64::INFINITY));
        let rate = if place_rate > 0.0 || rates.lowest.is_infinite() { place_rate } else { rates.lowest };
        // It can't take more calls than its lines are released.
        rate.max(ASSUMED_RATE_PER_S).min(lines / (self.longest_call_length / 1e6))
    }

    fn compute_rates(&self) -> PlaceRates {
        let mut rates = PlaceRates { places: BTreeMap::new(), lowest: f64::INFINITY };
        let present = self.servers.values().map(|server| {
            let lines = server.lines.filter(|_| server.ready).unwrap_or(f64::INFINITY);
            (server.place, observed_rate(&self.settings, self.longest_call_length, server), lines)
        });
        for (place, rate, lines) in
            present.chain(self.past_rates.iter().map(|(&place, &rate)| (place, rate, f64::INFINITY)))
        {
            let bounds = rates.places.entry(place).or_insert((0.0, f64::INFINITY));
            *bounds = (bounds.0.max(rate), bounds.1.min(lines));
            if rate > 0.0 {
                rates.lowest = rates.lowest.min(rate);
            }
        }
        rates
    }

    /// Whether it is this node's turn at a cold server. Turns are paced to what the server can handle and go
    /// round-robin by node number, counted from the start of the server. This needs no stored state, and two
    /// nodes that estimate the same rate never share a turn. An unused turn expires after `fall_span`;
    /// otherwise all nodes would use theirs at once when the server looks good again. It also expires after
    /// half a round, which keeps the sends of one node apart.
    fn has_turn(&self, server: &Server, warm_share: f64) -> bool {
        let (nodes, own_number) = (f64::from(self.settings.balancers), f64::from(self.settings.own_number));
        let pace = self.warm_rate(server.place) / 1e6 * self.settings.fall_multiple * COLD_LOAD_SHARE / nodes;
        let (from, span) = (self.settings.cold_from.min(1.0), self.settings.cold_span as f64);
        let rounds = |at| {
            let age = (at - server.started_at.unwrap_or(at)).abs() as f64; // It may lie in the future.
            let turns = pace * age * (from + (1.0 - from) * (age / span).min(1.0) / 2.0);
            turns - (own_number / nodes + server.place as f64 * TURN_OFFSET_PER_PLACE).rem_euclid(1.0)
        };
        let (now, sent) = (rounds(self.now), rounds(server.last_sent).floor());
        let turn_length =
            (pace * warm_share * self.settings.fall_span.max(QUEUE_CHECK_INTERVAL_US) as f64).min(0.5);
        now >= 0.0 && sent != now.floor() && now - now.floor() <= turn_length
    }

    // ---- Reports and outcomes ----

    fn apply_report(&mut self, id: ServerId, report: &Report) {
        let now = self.now;
        let rate = self.servers.get(&id).map_or(ASSUMED_RATE_PER_S, |server| self.warm_rate(server.place));
        let length = self.longest_call_length;
        let Some(server) = self.servers.get_mut(&id) else { return };
        if report.free.is_some() {
            let before = (server.lines, server.max_lines_in_use);
            server.free = report.free;
            server.lines = report.lines.filter(|lines| *lines > 0.0).or(server.lines);
            server.sample_lines(now, length);
            if (server.lines, server.max_lines_in_use) != before {
                self.rates.take();
            }
        }
        // Reports are older than answers, and all nodes get the same ones: nodes that follow them all pick
        // the same server. They are used only after a while without own traffic to the server.
        let no_recent_traffic = (now - server.answered_sent.max(server.last_sent)) as f64
            > REPORT_AFTER_PRESSED * self.pressed_wait;
        let queued = report.queue.map(|queue| queue * 1e6 / rate);
        if let (Some(wait), true) = (report.wait.map(|wait| wait as f64).or(queued), no_recent_traffic) {
            server.add_wait_sample(now, wait, SMOOTHING_WEIGHT);
        }
    }

    fn record_answer(&mut self, call: CallId, attempt: u32, id: ServerId, lag: Micros) {
        let (now, stall) = (self.now, self.stall);
        // A first answer may include queueing and so overstate the round trip. Round trips to servers of one
        // zone are similar; that to another zone may be longer.
        let zone = self.servers.get(&id).map(|server| server.zone);
        let same_zone = self.servers.values().filter(|server| Some(server.zone) == zone);
        let max_min_lag = same_zone.filter_map(|server| server.min_lag).max();
        let initial_min_lag = max_min_lag.unwrap_or(Micros::MAX).min(self.pressed_wait as Micros);
        let set_up_work = self.servers.get(&id).map_or(0.0, |server| 1e6 / self.warm_rate(server.place));
        if let Some(server) = self.servers.get_mut(&id) {
            server.unanswered.retain(|&(_, c, a)| (c, a) != (call, attempt));
            let min_lag = server.min_lag.unwrap_or(initial_min_lag).min(lag).max(0);
            server.min_lag = Some(min_lag);
            server.silent_attempts = 0;
            server.answered_sent = server.answered_sent.max(now.saturating_sub(lag));
            server.failed.add(now, false);
            server.turned_back.add(now, false);
            server.answered.add(now, false);
            server.no_line.add(now, false);
            if server.answered.all > server.max_answered {
                server.max_answered = server.answered.all;
                self.rates.take();
            }
            // Of the wait that its send added, only its own work is done. The set-ups assumed to have come
            // from other nodes may still be queued.
            server.subtract_own_send(now, set_up_work);
            // If the node was stalled, the answer arrived at an unknown time during the stall.
            let (max_wait, min_wait) = ((lag - min_lag) as f64, (lag - min_lag - stall).max(0) as f64);
            let wait = server.decayed_wait(now).clamp(min_wait, max_wait);
            server.add_wait_sample(now, wait, SMOOTHING_WEIGHT);
        }
        self.remove_call(call);
    }

    fn record_outcome(
        &mut self,
        call: CallId,
        attempt: u32,
        id: ServerId,
        outcome: Outcome,
        lag: Micros,
        reason: Reason,
    ) {
        let (now, pressed_wait, stall) = (self.now, self.pressed_wait, self.stall);
        // All nodes together retry a pool without free lines as often as a line is released there.
        let rate = self.servers.get(&id).map_or(ASSUMED_RATE_PER_S, |server| self.warm_rate(server.place));
        let line_retry_pause = (LINE_RETRY_SHARE * f64::from(self.settings.balancers) * 1e6 / rate)
            .min(LINE_RETRY_MAX_PRESSED * pressed_wait);
        let Some(server) = self.servers.get_mut(&id) else { return };
        let before = server.unanswered.len();
        server.unanswered.retain(|&(_, c, a)| (c, a) != (call, attempt));
        if server.unanswered.len() == before {
            return; // An established call ended: this says nothing about set-ups.
        }
        match (outcome, reason) {
            (Outcome::Full, Reason::NoCircuit) => {
                server.no_line.add(now, true);
                server.retry_line_at = now + line_retry_pause as Micros;
                // It caused no processor work.
                server.subtract_own_send(now, server.own_send_wait);
            }
            (Outcome::Moot, _) => {}
            (Outcome::Full, Reason::TurnedBack { .. }) => server.turned_back.add(now, true),
            (Outcome::Full, reason) => {
                let wait = if let Reason::ProcessorFull { wait } = reason { wait } else { 0 };
                server.silent_attempts = 0;
                server.answered_sent = server.answered_sent.max(now.saturating_sub(lag));
                server.failed.add(now, true);
                let wait = if wait > 0 { wait as f64 } else { server.wait.max(4.0 * pressed_wait) };
                server.add_wait_sample(now, wait, 1.0);
            }
            (Outcome::Error, Reason::LinesBusy) => {}
            (Outcome::Error, _) => {
                server.failed.add(now, true);
                server.subtract_own_send(now, 1e6 / rate);
            }
            (Outcome::Reset, _) => server.failed.add(now, true),
            (Outcome::TimedOut | Outcome::Unreachable | Outcome::Cancelled, _) => {
                server.failed.add(now, true);
                if server.answered_sent <= now.saturating_sub(lag)
                    && (stall <= QUEUE_CHECK_INTERVAL_US || (lag - stall) as f64 > pressed_wait)
                {
                    (server.silent_attempts, server.last_silent_at) = (server.silent_attempts + 1, now);
                }
            }
            (Outcome::Ok, _) => {}
        }
    }

    // ---- Call handling ----

    fn remove_call(&mut self, id: CallId) {
        if let Some(removed) = self.calls.remove(&id) {
            self.waiting.remove(&self.queue_key(&removed));
        }
    }

    fn queue_key(&self, pending: &PendingCall) -> (Reverse<u64>, Micros, CallId) {
        let worth = self.settings.classes.get(pending.call.class).map_or(0.0, |class| class.worth);
        (Reverse((worth * 1e6) as u64), pending.arrived, pending.call.id)
    }

    fn accept_call(&mut self, call: Call, actions: &mut Vec<Action>) {
        let id = call.id;
        if call.class >= self.settings.classes.len() {
            actions.push(Action::Fail(id));
            return;
        }
        let (arrived, patience_ends) = (self.now, self.now.saturating_add(call.patience));
        let used_before = self.used_before(&call);
        // A set-up that came again because its connection broke is the same call.
        let earlier = self.departed_calls.get(id);
        let pending = PendingCall {
            call,
            arrived,
            patience_ends,
            not_before: earlier.map_or(arrived, |earlier| earlier.not_before.max(arrived)),
            may_have_run: earlier.map(|earlier| earlier.may_have_run),
            earlier_attempts: earlier.map_or(0, |earlier| earlier.count),
            used_before,
            ..PendingCall::default()
        };
        self.calls.insert(id, pending);
        self.route_call(id, &mut self.candidates(), actions);
    }

    /// Removes the call of a caller that has gone. Its attempts still count if the same set-up comes again:
    /// rules 2 and 5 are about the call.
    fn caller_gone(&mut self, id: CallId) {
        let Some(pending) = self.calls.get(&id) else { return };
        let withdrawn = pending.active_attempt.map(|attempt| (attempt.sent, attempt.server));
        if let Some(may_have_run) = pending.may_have_run.or(withdrawn) {
            let released = self.now + self.settings.release;
            let attempts = EarlierAttempts {
                not_before: if withdrawn.is_some() { released } else { pending.not_before },
                may_have_run,
                count: pending.earlier_attempts + pending.attempts,
            };
            let retention = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
            self.departed_calls.insert(self.now, retention, id, attempts);
        }
        self.remove_call(id);
    }

    /// Time that earlier tries of the call used. Callers who dial again wait for the rest of the deadline, so
    /// patience above the typical one reveals how much is used. Calls marked as redialled have at least used
    /// up the aim.
    fn used_before(&mut self, call: &Call) -> Micros {
        let (class, typical) = (&self.settings.classes[call.class], &mut self.typical_patience[call.class]);
        if call.cut || call.in_transit {
            return 0; // A cut call starts again; a transit call was assessed by the node that forwarded it.
        }
        if !call.redialled {
            typical.vote(call.patience);
        }
        if call.patience > typical.patience + typical.patience / PATIENCE_TOLERANCE_DIVISOR {
            return (class.deadline - call.patience).max(0);
        }
        Micros::from(call.redialled) * class.aim
    }

    fn attempt_ended(
        &mut self,
        id: CallId,
        attempt: u32,
        outcome: Outcome,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(pending) = self.calls.get_mut(&id) else { return };
        if attempt + 1 != pending.attempts {
            return;
        }
        let Some(active_attempt) = pending.active_attempt.take() else { return };
        if !matches!(outcome, Outcome::Full | Outcome::Unreachable | Outcome::Moot) {
            pending.may_have_run.get_or_insert((active_attempt.sent, active_attempt.server));
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            // Release rule: resources of the attempt may still be held for this time.
            pending.not_before = now + self.settings.release;
        }
        if outcome == Outcome::Error && reason == Reason::LinesBusy {
            return self.give_up(id, actions);
        }
        self.route_call(id, &mut self.candidates(), actions);
    }

    /// Sends the call on its best route, queues it, or gives its final answer.
    fn route_call(&mut self, id: CallId, candidates: &mut Vec<Candidate>, actions: &mut Vec<Action>) {
        let Some(pending) = self.calls.get(&id) else { return };
        if pending.active_attempt.is_some() {
            return;
        }
        if self.stall > QUEUE_CHECK_INTERVAL_US && self.now < pending.patience_ends - QUEUE_CHECK_INTERVAL_US
        {
            return self.enqueue(id);
        }
        let send_at = self.now.max(pending.not_before);
        let best = self.best_route(candidates, pending, send_at, None);
        match best {
            Some((_, to)) if send_at == self.now => {
                self.send_attempt(id, to, actions);
                if let Some(index) = candidates.iter().position(|candidate| candidate.id == to) {
                    let updated = self.servers.get(&to).and_then(|server| self.candidate(to, server));
                    candidates.splice(index..=index, updated);
                }
            }
            Some(_) => self.enqueue(id),
            None if self.may_wait(pending) => self.enqueue(id),
            None => self.give_up(id, actions),
        }
    }

    /// Whether a route may still become worthwhile for the call while it is queued.
    fn may_wait(&self, pending: &PendingCall) -> bool {
        let class = &self.settings.classes[pending.call.class];
        let elapsed = (self.now.max(pending.not_before) - pending.arrived + pending.used_before) as f64;
        !pending.call.in_transit
            && elapsed < MAX_QUEUED_SHARE * class.aim as f64
            && self.now < pending.patience_ends - QUEUE_CHECK_INTERVAL_US - self.longest_stall.0
            && pending.earlier_attempts + pending.attempts < self.settings.max_attempts
            && self
                .servers
                .iter()
                .any(|(&id, server)| server.ready && self.permitted(pending, id, server.place, server.zone))
    }

    fn enqueue(&mut self, id: CallId) {
        let Some(pending) = self.calls.get(&id) else { return };
        let queue_key = self.queue_key(pending);
        self.waiting.insert(queue_key);
    }

    /// Checks the queued calls again, and the set-ups that another route could still complete in time.
    fn recheck_calls(&mut self, tick: bool, recheck_queue: bool, actions: &mut Vec<Action>) {
        if tick && self.stall <= QUEUE_CHECK_INTERVAL_US {
            self.cancel_stuck_attempts(actions);
            self.log_health_changes(actions);
            self.detect_group_failures();
        }
        if recheck_queue && !self.waiting.is_empty() {
            let mut candidates = self.candidates();
            for id in self.waiting.iter().map(|&(.., id)| id).collect::<Vec<_>>() {
                self.route_call(id, &mut candidates, actions);
            }
        }
        if !self.calls.is_empty() && !self.timer_set {
            self.timer_set = true;
            self.timer_due = self.now + QUEUE_CHECK_INTERVAL_US;
            actions.push(Action::Timer { token: TICK_TOKEN, delay: QUEUE_CHECK_INTERVAL_US });
        }
    }

    /// Servers that fail together usually share a property that the server list shows: a place, a zone or a
    /// kind. If at least half of such a group, and at least two servers, recently fell silent, the others are
    /// rated lower for a while. A group of all listed servers is ignored; otherwise a single fault would stop
    /// the service.
    fn detect_group_failures(&mut self) {
        let (now, mut groups) = (self.now, BTreeMap::<(u8, i64), (usize, usize)>::new());
        let keys = |server: &Server| [(0, server.place), (1, server.zone.into()), (2, server.kind.into())];
        let listed = self.servers.values().filter(|server| server.ready).count();
        for server in self.servers.values().filter(|server| server.ready) {
            let silent =
                server.silent_attempts > 0 && ((now - server.last_silent_at) as f64) < EVIDENCE_DECAY_US;
            for key in keys(server) {
                let (all, silent_count) = groups.entry(key).or_default();
                (*all, *silent_count) = (*all + 1, *silent_count + usize::from(silent));
            }
        }
        for server in self.servers.values_mut() {
            let failed_group = |key| {
                groups.get(&key).is_some_and(|&(all, silent)| all < listed && silent > 1 && 2 * silent >= all)
            };
            server.group_suspect = keys(server).into_iter().any(failed_group);
        }
    }

    /// Logs servers whose condition changed, at most once per decay time for each.
    fn log_health_changes(&mut self, actions: &mut Vec<Action>) {
        for server in self.servers.values_mut() {
            let health = server.health(self.now, self.pressed_wait);
            if health == server.logged
                || self.now < server.logged_at.saturating_add(EVIDENCE_DECAY_US as Micros)
            {
                continue;
            }
            (server.logged, server.logged_at) = (health, self.now);
            let wait = server.expected_wait(self.now) / 1e3;
            let text = match health {
                Health::Normal => "answers in time again".to_owned(),
                Health::Pressed => format!("pressed, about {wait:.0} ms: cheap calls are held or refused"),
                Health::Silent => format!("silent for about {wait:.0} ms: trial calls only"),
            };
            actions.push(Action::Log(format!("server at place {}: {text}", server.place)));
        }
    }

    /// Cancels unanswered set-ups if another route is clearly better even after the release time. This covers
    /// hung, crashed and suddenly slow servers and set-ups lost on the way. Without the margin it would move
    /// load back and forth between servers that are all slow.
    fn cancel_stuck_attempts(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_cancel {
            return;
        }
        let (mut to_cancel, candidates) = (Vec::new(), Cache::new());
        for (&id, pending) in &self.calls {
            let Some(active_attempt) = pending.active_attempt else { continue };
            let Some(server) = self.servers.get(&active_attempt.server) else { continue };
            let age = (self.now - active_attempt.sent) as f64 - server.min_lag();
            if age < self.pressed_wait || pending.cancelled {
                continue;
            }
            let retry_at = self.now + self.settings.release;
            let overtaken = active_attempt.sent <= server.answered_sent;
            let class = &self.settings.classes[pending.call.class];
            // A set-up that has waited long is likely to wait as long again; an overtaken one is lost.
            let current = if overtaken { 0.0 } else { self.expected_worth(pending, self.now, 1.0, age) };
            // A server that answered a later set-up may accept a lost one again.
            let excluded = (!overtaken).then_some(active_attempt.server);
            let candidates = candidates.get_or_init(|| self.candidates());
            let Some((score, _)) = self.best_route(candidates, pending, retry_at, excluded) else { continue };
            if score > current + CANCEL_MARGIN * class.worth {
                to_cancel.push(id);
            }
        }
        for id in to_cancel {
            let Some(pending) = self.calls.get_mut(&id) else { continue };
            pending.cancelled = true;
            actions.push(Action::Cancel { call: id, attempt: pending.attempts - 1 });
        }
    }

    fn send_attempt(&mut self, id: CallId, to: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let (nodes, pressed_wait) = (f64::from(self.settings.balancers), self.pressed_wait);
        let Some(server) = self.servers.get(&to) else { return };
        let set_up_work = 1e6 / self.warm_rate(server.place);
        let Some(pending) = self.calls.get(&id) else { return };
        let queue_key = self.queue_key(pending);
        self.waiting.remove(&queue_key);
        let Some(pending) = self.calls.get_mut(&id) else { return };
        let Some(server) = self.servers.get_mut(&to) else { return };
        let aim = self.settings.classes[pending.call.class].aim;
        pending.cancelled = false;
        server.last_sent = now;
        server.unanswered.insert((now, id, pending.attempts));
        server.update_wait(now);
        server.own_send_wait = OWN_SEND_SHARE * (set_up_work * nodes).min(pressed_wait);
        server.wait += server.own_send_wait;
        server.free = server.free.map(|free| free - pending.call.width);
        pending.attempts += 1;
        pending.active_attempt = Some(Attempt { server: to, sent: now });
        // A node that stalls at the caller's deadline would answer too late. It therefore sets an earlier
        // time-out, but not before the aim has passed.
        let left = pending.patience_ends - now;
        let timeout = match self.longest_stall.0 {
            0 => 0,
            max_stall => left.min((left - max_stall).max(pending.arrived + aim - now)).max(1),
        };
        actions.push(Action::Send { call: id, server: to, timeout });
    }

    /// Gives the final answer to a call that is not sent (again).
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
        self.remove_call(id);
    }

    // ---- Scoring ----

    /// Whether rules and settings allow this call to be sent to a server of this place and zone.
    fn permitted(&self, pending: &PendingCall, id: ServerId, place: i64, zone: u32) -> bool {
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

    /// The servers that accept calls at this moment. If this node has few answers from a server, it assumes
    /// the mean wait at the other servers, since it can't know what hundreds of other nodes sent there.
    fn candidates(&self) -> Vec<Candidate> {
        let mut candidates: Vec<_> =
            self.servers.iter().filter_map(|(&id, server)| self.candidate(id, server)).collect();
        let total_answered =
            candidates.iter().map(|candidate| candidate.answered_count).sum::<f64>().max(1.0);
        let mean_wait =
            candidates.iter().map(|candidate| candidate.answered_count * candidate.wait).sum::<f64>()
                / total_answered;
        candidates.iter_mut().for_each(|candidate| {
            candidate.wait =
                candidate.wait.max(mean_wait * PRIOR_OUTCOMES / (candidate.answered_count + PRIOR_OUTCOMES))
        });
        candidates
    }

    fn candidate(&self, id: ServerId, server: &Server) -> Option<Candidate> {
        let now = self.now;
        let warm_share = self.warm_share(server);
        if !server.ready
            || server.retry_line_at > now
            || warm_share < 1.0 && !self.has_turn(server, warm_share)
        {
            return None;
        }
        // A silent server still gets single trial calls that have no better route, so that it is not excluded
        // for ever.
        let silent = server.health(now, self.pressed_wait) == Health::Silent;
        if silent {
            let trial_interval = (f64::from(self.settings.balancers) * 1e6
                / (TRIAL_LOAD_SHARE * self.warm_rate(server.place)))
            .min(TRIAL_PAUSE_MAX_DECAYS * EVIDENCE_DECAY_US);
            let since_last_send = (now - server.last_sent) as f64;
            if since_last_send
                < trial_interval * (server.silent_attempts.max(1) - 1 + server.unanswered.len()) as f64
            {
                return None;
            }
        }
        let mut success = (1.0 - server.failed.value(now)) * (1.0 - server.no_line.value(now));
        if silent || server.group_suspect {
            success *= SILENT_SUCCESS_FACTOR;
        }
        Some(Candidate {
            id,
            place: server.place,
            zone: server.zone,
            free: server.free,
            min_lag: server.min_lag(),
            wait: if silent { server.decayed_wait(now) } else { server.expected_wait(now) },
            answered_count: server.answered.all * server.answered.decay_factor(now),
            success,
            not_turned_back: 1.0 - server.turned_back.value(now),
        })
    }

    /// The route with the highest score above zero for a call that would be sent at the time `at`.
    fn best_route(
        &self,
        candidates: &[Candidate],
        pending: &PendingCall,
        at: Micros,
        excluded: Option<ServerId>,
    ) -> ScoredRoute {
        let attempts = pending.earlier_attempts + pending.attempts;
        if attempts >= self.settings.max_attempts || at >= pending.patience_ends {
            return None;
        }
        let tie_margin = NEAR_TIE_MARGIN * self.lowest_worth;
        let mut best: ScoredRoute = None;
        for candidate in candidates {
            let id = candidate.id;
            if excluded == Some(id) || !self.permitted(pending, id, candidate.place, candidate.zone) {
                continue;
            }
            let mut score = self.score(pending, candidate, at);
            if score > 0.0 {
                // The first choice wins near-ties. Ties between other routes are broken at random, so that
                // nodes with the same information don't all pick the same server.
                let direct = candidate.place == pending.call.destination;
                let key = (pending.call.id.0 << 16) ^ (u64::from(id.0) + 1);
                score += tie_margin * if direct { 1.0 } else { self.random.draw(key) };
            }
            if score > 0.0 && best.is_none_or(|(top, _)| score > top) {
                best = Some((score, id));
            }
        }
        best
    }

    fn score(&self, pending: &PendingCall, candidate: &Candidate, at: Micros) -> f64 {
        let (now, call) = (self.now, &pending.call);
        let direct = candidate.place == call.destination;
        if candidate.free.is_some_and(|free| free < call.width) {
            return f64::NEG_INFINITY;
        }
        let (mut wait, mut success) = (candidate.wait, candidate.success);
        if !direct && self.settings.home.is_some() {
            // Two legs: the tandem may turn the call back, and the destination's processor adds its wait.
            success *= candidate.not_turned_back;
            if let Some(far_server) =
                self.servers.values().find(|far_server| far_server.place == call.destination)
            {
                success *= 1.0 - far_server.failed.value(now);
                wait += far_server.expected_wait(now);
            }
        }
        let worth = self.expected_worth(pending, at, success, candidate.min_lag + wait);
        let price = self.lowest_worth * (wait / self.pressed_wait).powi(PRICE_EXPONENT) * call.width;
        worth - price - if direct { 0.0 } else { SECOND_CHOICE_COST * self.lowest_worth }
    }

    /// Expected worth of a call that is sent at the time `at` and takes this long to be established.
    fn expected_worth(&self, pending: &PendingCall, at: Micros, success: f64, delay: f64) -> f64 {
        let class = &self.settings.classes[pending.call.class];
        let elapsed = (at - pending.arrived) as f64 + delay;
        let (sure_share, hopeless_share) = SUCCESS_CURVE;
        let missing = |time: f64, limit: Micros| {
            ((time / limit.max(1) as f64 - sure_share) / (hopeless_share - sure_share)).clamp(0.0, 1.0)
        };
        let missed = missing(elapsed + pending.used_before as f64, class.aim);
        let late = (1.0 - missing(elapsed, pending.call.patience)).min(missed);
        class.worth * success * ((1.0 - missed) + class.late_worth * late)
    }
}
