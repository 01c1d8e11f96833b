//! The core of a node: its knowledge of the zones, the steps it applies, and the shares it reports to the
//! node.

use std::collections::BTreeMap;

use lemoncleat_faults::point;

use crate::evidence::{Fact, RecentOutcomes};
use crate::settings::planted;
use crate::step::mix;
use crate::worth::{present_capacity, warm_fraction};
use crate::{Entry, Input, Micros, Notice, Outcome, Output, Phase, Server, Settings, Step, ZoneId};

/// The state of one zone at this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Zone {
    pub servers: Vec<Server>,
    /// Largest recent number of servers, including those that are not ready at the moment, and the time of
    /// that number.
    pub size: (usize, Micros),
    pub recent: RecentOutcomes,
    /// Set-ups per second that the fleet normally sends there, and their mean wait, learned while the zone
    /// was healthy.
    pub baseline_rate: f64,
    pub wait: f64,
    /// Number of samples behind the baseline.
    pub samples: u32,
    /// Highest rate of answered set-ups observed, per second.
    pub peak_answer_rate: f64,
    /// The step that last changed it, and the time at which that step was applied here.
    pub changed: u64,
    pub applied_at: Micros,
    /// Time since which its servers count as cold.
    pub cold_since: Option<Micros>,
    /// Time since which leaving has been clearly better.
    pub clear_since: Option<Micros>,
    /// The share and cold time last reported to the node.
    last_reported: (u16, Option<Micros>),
    pub trials_allowed: u32,
    /// The step for which trials were last allowed.
    pub trial_step: u64,
    pub local_fault: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct PeerFact {
    pub fact: Fact,
    /// Time at which it was made, on this node's clock.
    pub at: Micros,
}

/// Decides with the rest of the fleet whether a zone is left, to what extent, and how calls return to it.
#[derive(Clone, Debug)]
pub struct Zones {
    pub(crate) settings: Settings,
    pub(crate) step: Step,
    pub(crate) zones: Vec<Zone>,
    pub(crate) peer_facts: BTreeMap<u32, PeerFact>,
    pub(crate) alive: Vec<u32>,
    pub(crate) started_at: Option<Micros>,
    /// Time of the last step that reduced a zone's share.
    pub(crate) last_reduced_at: Option<Micros>,
    pub(crate) propose_at: Option<Micros>,
    quorum: bool,
    next_check_at: Option<Micros>,
    published_at: Micros,
    rejected_payloads: u64,
}

impl Zones {
    /// Creates a core without any knowledge. Its clock starts with the first [`Input`].
    pub fn new(settings: Settings) -> Zones {
        let zones = (0..settings.zones)
            .map(|_| Zone { last_reported: (1000, None), applied_at: Micros::MIN / 2, ..Zone::default() })
            .collect();
        let alive = settings.members.keys().copied().collect();
        Zones {
            settings,
            step: Step::default(),
            zones,
            peer_facts: BTreeMap::new(),
            alive,
            started_at: None,
            last_reduced_at: None,
            propose_at: None,
            quorum: false,
            next_check_at: None,
            published_at: Micros::MIN / 2,
            rejected_payloads: 0,
        }
    }

    /// Returns the step in force at this node.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Returns the number of payloads that were malformed or came from a node that is not a member.
    pub fn rejected_payloads(&self) -> u64 {
        self.rejected_payloads
    }

    /// Returns whether facts of more than half of the members are available, including this node's.
    pub fn has_quorum(&self) -> bool {
        self.quorum
    }

    /// Returns the time at which the core must be called with [`Input::Timeout`]. `None` if there is nothing
    /// to decide: with fewer than two zones of servers, or if this node is not a member.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.next_check_at
    }

    /// Processes one input. Time must not go backwards; an input with an earlier time counts as made now.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        if self.settings.zones < 2 || !self.settings.members.contains_key(&self.settings.me) {
            return;
        }
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.next_check_at = Some(now + self.settings.check_interval);
        }
        match input {
            Input::Outcome { zone, server, outcome, waited, worth, cost } => {
                let start = now - now.rem_euclid(self.settings.check_interval.max(1));
                let accept_old = planted!(self.settings, OldEvidence);
                let zone = self.zones.get_mut(usize::from(zone.0));
                if let Some(zone) =
                    zone.filter(|zone| accept_old || now.saturating_sub(waited.max(0)) >= zone.applied_at)
                {
                    zone.recent.record(start, server, outcome, waited, (worth, cost));
                }
                if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Unreachable) {
                    self.schedule_check(now);
                }
            }
            Input::Servers { zone, servers } => {
                if let Some(zone) = self.zones.get_mut(usize::from(zone.0)) {
                    zone.servers = servers;
                    zone.servers.truncate(4096);
                    if zone.servers.len() >= zone.size.0 {
                        zone.size = (zone.servers.len(), now);
                    }
                }
                self.report_shares(now, out);
            }
            Input::FactReceived { origin, age, bytes } => self.handle_fact(now, origin, age, &bytes, out),
            Input::Agreed(step) => {
                if self.settings.log {
                    self.apply_step(now, step, out);
                }
            }
            Input::Alive(nodes) => {
                self.alive =
                    nodes.into_iter().filter(|node| self.settings.members.contains_key(node)).collect();
                self.alive.sort();
                self.alive.dedup();
            }
            Input::Timeout => {
                if self.next_check_at.is_some_and(|next| now >= next) {
                    self.check(now, out);
                }
            }
        }
    }

    /// Schedules the next check one check interval after the last publication, even if a later one was
    /// planned.
    fn schedule_check(&mut self, now: Micros) {
        let at = (self.published_at + self.settings.check_interval).max(now);
        self.next_check_at = Some(self.next_check_at.map_or(at, |next| next.min(at)));
    }

    fn handle_fact(&mut self, now: Micros, origin: u32, age: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        let fact = Fact::decode(bytes).filter(|fact| fact.step.is_valid(self.settings.zones));
        let Some(fact) = fact.filter(|_| self.settings.members.contains_key(&origin)) else {
            self.rejected_payloads = self.rejected_payloads.saturating_add(1);
            return;
        };
        let at = now.saturating_sub(age.max(0));
        if origin == self.settings.me {
            // The fact is from a previous run of this node: its counts are ignored, but its step may be
            // newer.
            return self.apply_step(now, fact.step, out);
        }
        // The step is examined even if the fact is late or duplicated: the step's own number tells whether it
        // is new.
        let newer = self.peer_facts.get(&origin).is_none_or(|peer| peer.at < at);
        let step = fact.step.clone();
        if newer && now.saturating_sub(at) <= self.settings.fact_lifetime {
            self.peer_facts.insert(origin, PeerFact { fact, at });
        }
        self.apply_step(now, step, out);
    }

    /// Applies a step that came from the log or with a fact, if it is newer than the one in force.
    pub(crate) fn apply_step(&mut self, now: Micros, step: Step, out: &mut Vec<Output>) {
        let accept_outdated = planted!(self.settings, LateStep) && step.number > 0 && step != self.step;
        if !(step.supersedes(&self.step, self.settings.log) || accept_outdated)
            || !step.is_valid(self.settings.zones)
        {
            return;
        }
        point!(ZONE_STEP);
        let last = self.step.number;
        if step.number > last.saturating_add(1) {
            out.push(Output::Notice(Notice::StepsMissed { from: last, to: step.number }));
        }
        out.push(Output::Notice(Notice::StepApplied { number: step.number, origin: step.origin }));
        for (index, zone) in self.zones.iter_mut().enumerate() {
            let id = ZoneId(index as u16);
            let (before, after) = (self.step.entry(id).copied(), step.entry(id).copied());
            if before == after {
                continue;
            }
            let share = |entry: &Option<Entry>| entry.map_or(1000, |entry| entry.share);
            let increased = share(&after) > share(&before);
            let relapsed = |entry: &Option<Entry>| entry.map_or(0, |entry| entry.relapses);
            let relapsed_now = relapsed(&after) > relapsed(&before);
            if relapsed_now {
                point!(ZONE_RELAPSE);
            }
            if increased && !relapsed_now {
                point!(ZONE_RETURN);
            }
            if share(&after) < share(&before) {
                self.last_reduced_at = Some(now);
            }
            // Outcomes observed before the step are no evidence of the zone's state after it.
            if !planted!(self.settings, OldEvidence) {
                zone.recent.clear();
            }
            zone.clear_since = None;
            zone.changed = after.map_or(step.number, |entry| entry.at);
            zone.applied_at = now;
            zone.cold_since = match after.map(|entry| entry.phase) {
                None | Some(Phase::Left | Phase::Trial) => None,
                Some(Phase::Return | Phase::Restored) => zone.cold_since.or(Some(now)),
            };
        }
        self.step = step;
        self.propose_at = None;
        self.allow_trials(out);
        self.report_shares(now, out);
        self.schedule_check(now);
    }

    fn allow_trials(&mut self, out: &mut Vec<Output>) {
        for index in 0..self.zones.len() {
            let id = ZoneId(index as u16);
            let trial = self.step.entry(id).is_some_and(|entry| entry.phase == Phase::Trial);
            let mut allowed = 0;
            if trial {
                let trial_members = self.step.trial_members(id, &self.settings.members, self.settings.trials);
                allowed = trial_members
                    .iter()
                    .find(|(node, _)| *node == self.settings.me)
                    .map_or(0, |(_, set_ups)| *set_ups);
                if planted!(self.settings, AllTry) {
                    allowed = self.settings.trials;
                }
            }
            let Some(zone) = self.zones.get_mut(index) else { continue };
            // A step that is received twice, or that concerns another zone, allows no further trials.
            if (allowed == 0 && zone.trials_allowed == 0) || (trial && zone.trial_step >= zone.changed) {
                continue;
            }
            if allowed > 0 {
                zone.trial_step = zone.changed;
                point!(ZONE_TRIAL);
            }
            zone.trials_allowed = allowed;
            out.push(Output::Trial { zone: id, allowed });
        }
    }

    /// Reports the shares that changed to the node.
    pub(crate) fn report_shares(&mut self, now: Micros, out: &mut Vec<Output>) {
        let responding: Vec<bool> =
            self.zones.iter().map(|zone| zone.recent.sum(0).responded() > 0).collect();
        for (index, zone) in self.zones.iter_mut().enumerate() {
            let id = ZoneId(index as u16);
            let mut share = 1000;
            if let Some(entry) = self.step.entry(id) {
                share = entry.share;
                if entry.phase == Phase::Return && !planted!(self.settings, NoCold) {
                    share = share.min(sustainable_share(&self.settings, zone, entry, now));
                }
                if !self.quorum && entry.phase != Phase::Restored {
                    // Without a quorum the fleet may have reduced the share further than this node knows. But
                    // if no other zone works from here, the node acts as it would without a fleet.
                    let elsewhere = responding
                        .iter()
                        .enumerate()
                        .any(|(other, responding)| other != index && *responding);
                    share = if elsewhere { 0 } else { 1000 };
                    if !elsewhere {
                        zone.cold_since = zone.cold_since.or(Some(now));
                    }
                }
            }
            let report = (share, zone.cold_since);
            if zone.last_reported != report {
                zone.last_reported = report;
                let share = f64::from(share) / 1000.0;
                out.push(Output::Share { zone: id, share, cold_since: zone.cold_since });
            }
        }
    }

    fn check(&mut self, now: Micros, out: &mut Vec<Output>) {
        let settings = &self.settings;
        for (index, zone) in self.zones.iter_mut().enumerate() {
            let normal =
                self.step.entry(ZoneId(index as u16)).is_none_or(|entry| entry.phase == Phase::Restored);
            if now - zone.size.1 > settings.relapse_memory {
                zone.size = (zone.servers.len(), now);
            }
            if normal {
                // Drops whole slices, so that on average one window of them remains.
                zone.recent.drop_before(now - settings.window - settings.check_interval / 2);
            }
        }
        self.peer_facts.retain(|_, peer| now - peer.at <= settings.fact_lifetime);
        let reporting = 1 + self.peer_facts.keys().filter(|origin| **origin != settings.me).count();
        let quorum = reporting >= settings.quorum() || planted!(settings, NoQuorum);
        if quorum != self.quorum {
            self.quorum = quorum;
            out.push(Output::Notice(if quorum { Notice::Quorum } else { Notice::NoQuorum }));
        }
        self.decide(now, out);
        self.report_shares(now, out);
        let trouble = self.has_trouble();
        let interval = if trouble { self.settings.check_interval } else { self.settings.quiet_interval };
        if now - self.published_at >= interval {
            // The jitter below keeps nodes from publishing at the same time and in the same order.
            self.published_at = now;
            out.push(Output::Publish(self.fact(now).encode()));
        }
        let jitter =
            (mix(now as u64, self.settings.me) % 1024) as Micros * self.settings.check_interval / 16384;
        self.next_check_at = Some(now + self.settings.check_interval - jitter);
    }

    /// Whether a failure was observed here, or any zone is being left or restored.
    fn has_trouble(&self) -> bool {
        self.step.entries.iter().any(|entry| entry.phase != Phase::Restored)
            || self.zones.iter().any(|zone| zone.recent.sum(0).failures() > 0)
    }

    /// Builds this node's current fact.
    pub(crate) fn fact(&self, now: Micros) -> Fact {
        let span = self.settings.window.min(now - self.started_at.unwrap_or(now)) / 1000;
        let counts = (0u16..).zip(&self.zones).map(|(index, zone)| zone.recent.sum(index));
        let counts = counts.filter(|counts| counts.sent > 0 || counts.settled() > 0).collect();
        Fact { step: self.step.clone(), span: span.clamp(0, 60_000) as u16, counts }
    }
}

/// Returns the share of its normal calls, in thousandths, that a returning zone can take at present.
pub(crate) fn sustainable_share(settings: &Settings, zone: &Zone, entry: &Entry, now: Micros) -> u16 {
    let baseline_rate = f64::from(entry.baseline_rate.max(1));
    let capacity = present_capacity(settings, &zone.servers, zone.cold_since.or(Some(now)), now);
    let share = if capacity > 0.0 {
        capacity * settings.cold_use / baseline_rate
    } else if zone.servers.is_empty() {
        0.0
    } else {
        // The servers' capacity is unknown: assumes that they could take the baseline when warm.
        let youngest = zone.servers.iter().map(|server| server.started).max().unwrap_or(now);
        let started = youngest.max(zone.cold_since.unwrap_or(now));
        warm_fraction(settings, now - started) * settings.cold_use
    };
    (share * 1000.0).clamp(0.0, 1000.0) as u16
}
