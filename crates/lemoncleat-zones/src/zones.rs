//! The core: what a node knows, the steps it takes, and what it tells its own calls.

use std::collections::BTreeMap;

use lemoncleat_faults::point;

use crate::evidence::{Fact, Ring};
use crate::settings::planted;
use crate::step::mix;
use crate::worth::{present, warmth};
use crate::{Entry, Input, Micros, Notice, Output, Phase, Server, Settings, Step, What, ZoneId};

/// One zone as this node knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Zone {
    pub servers: Vec<Server>,
    /// Servers that it had lately, those included that are not ready at the moment, and when it had them.
    pub size: (usize, Micros),
    pub ring: Ring,
    /// What the fleet usually sends there and how long that waits, from sums while all was well.
    pub usual: f64,
    pub wait: f64,
    /// From how many looks.
    pub looks: u32,
    /// Most set-ups a second that it was seen to answer.
    pub shown: f64,
    /// The step that last changed it, and when that took effect here.
    pub changed: u64,
    pub taken: Micros,
    /// Since when its servers count as cold.
    pub cold_since: Option<Micros>,
    /// Since when leaving is clearly better.
    pub clear_since: Option<Micros>,
    /// What the node was told last.
    told: (u16, Option<Micros>),
    pub trials: u32,
    /// The step that the last trials were for.
    pub tried: u64,
    pub alone: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub fact: Fact,
    /// When it was true, on this node's clock.
    pub at: Micros,
}

/// Decides with the rest of the fleet whether a zone is left, how much of it, and how it returns.
#[derive(Clone, Debug)]
pub struct Zones {
    pub(crate) settings: Settings,
    pub(crate) step: Step,
    pub(crate) zones: Vec<Zone>,
    pub(crate) known: BTreeMap<u32, Known>,
    pub(crate) alive: Vec<u32>,
    pub(crate) begun: Option<Micros>,
    /// When the last step was taken that made a zone get less.
    pub(crate) left: Option<Micros>,
    pub(crate) proposed: Option<Micros>,
    quorum: bool,
    next: Option<Micros>,
    published: Micros,
    unread: u64,
}

impl Zones {
    /// A node that knows nothing yet. Its first [`Input`] starts its time.
    pub fn new(settings: Settings) -> Zones {
        let zones = (0..settings.zones)
            .map(|_| Zone { told: (1000, None), taken: Micros::MIN / 2, ..Zone::default() })
            .collect();
        let alive = settings.members.keys().copied().collect();
        Zones {
            settings,
            step: Step::default(),
            zones,
            known: BTreeMap::new(),
            alive,
            begun: None,
            left: None,
            proposed: None,
            quorum: false,
            next: None,
            published: Micros::MIN / 2,
            unread: 0,
        }
    }

    /// The step that holds here.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Payloads that could not be read, or came from no member.
    pub fn unread(&self) -> u64 {
        self.unread
    }

    /// Whether facts of more than half of the members are at hand, this node's among them.
    pub fn has_quorum(&self) -> bool {
        self.quorum
    }

    /// When the core wants to be called with [`Input::Timeout`]. None where there is nothing to decide: less than
    /// two zones of servers, or a node that is no member.
    pub fn wake(&self) -> Option<Micros> {
        self.next
    }

    /// Takes one input. Moments never go back; an input of the past counts as now.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        if self.settings.zones < 2 || !self.settings.members.contains_key(&self.settings.me) {
            return;
        }
        if self.begun.is_none() {
            self.begun = Some(now);
            self.next = Some(now + self.settings.tick);
        }
        match input {
            Input::Outcome { zone, server, what, waited, worth, cost } => {
                let start = now - now.rem_euclid(self.settings.tick.max(1));
                let old = planted!(self.settings, OldEvidence);
                let zone = self.zones.get_mut(usize::from(zone.0));
                if let Some(zone) = zone.filter(|zone| old || now.saturating_sub(waited.max(0)) >= zone.taken)
                {
                    zone.ring.count(start, server, what, waited, (worth, cost));
                }
                if matches!(what, What::Silent | What::Reset | What::Unreachable) {
                    self.soon(now);
                }
            }
            Input::Servers { zone, servers } => {
                if let Some(known) = self.zones.get_mut(usize::from(zone.0)) {
                    known.servers = servers;
                    known.servers.truncate(4096);
                    if known.servers.len() >= known.size.0 {
                        known.size = (known.servers.len(), now);
                    }
                }
                self.tell(now, out);
            }
            Input::Heard { origin, age, bytes } => self.hear(now, origin, age, &bytes, out),
            Input::Agreed(step) => {
                if self.settings.log {
                    self.take(now, step, out);
                }
            }
            Input::Alive(nodes) => {
                self.alive =
                    nodes.into_iter().filter(|node| self.settings.members.contains_key(node)).collect();
                self.alive.sort();
                self.alive.dedup();
            }
            Input::Timeout => {
                if self.next.is_some_and(|next| now >= next) {
                    self.tick(now, out);
                }
            }
        }
    }

    /// The next look is a tick after the last publication, no matter how long quiet nodes may wait.
    fn soon(&mut self, now: Micros) {
        let soon = (self.published + self.settings.tick).max(now);
        self.next = Some(self.next.map_or(soon, |next| next.min(soon)));
    }

    fn hear(&mut self, now: Micros, origin: u32, age: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        let fact = Fact::decode(bytes).filter(|fact| fact.step.sound(self.settings.zones));
        let Some(fact) = fact.filter(|_| self.settings.members.contains_key(&origin)) else {
            self.unread = self.unread.saturating_add(1);
            return;
        };
        let at = now.saturating_sub(age.max(0));
        if origin == self.settings.me {
            // The last life of this node: nothing it saw counts, but its step may be news.
            return self.take(now, fact.step, out);
        }
        // Late or repeated: the step in it is looked at all the same, its own number tells whether it is news.
        let newer = self.known.get(&origin).is_none_or(|known| known.at < at);
        let step = fact.step.clone();
        if newer && now.saturating_sub(at) <= self.settings.life {
            self.known.insert(origin, Known { fact, at });
        }
        self.take(now, step, out);
    }

    /// A step that came from the log or with a fact.
    pub(crate) fn take(&mut self, now: Micros, step: Step, out: &mut Vec<Output>) {
        let late = planted!(self.settings, LateStep) && step.number > 0 && step != self.step;
        if !(step.beats(&self.step, self.settings.log) || late) || !step.sound(self.settings.zones) {
            return;
        }
        point!(ZONE_STEP);
        let last = self.step.number;
        if step.number > last.saturating_add(1) {
            out.push(Output::Notice(Notice::Missed { from: last, to: step.number }));
        }
        out.push(Output::Notice(Notice::Took { number: step.number, origin: step.origin }));
        for (place, zone) in self.zones.iter_mut().enumerate() {
            let id = ZoneId(place as u16);
            let (before, after) = (self.step.entry(id).copied(), step.entry(id).copied());
            if before == after {
                continue;
            }
            let share = |entry: &Option<Entry>| entry.map_or(1000, |entry| entry.share);
            let more = share(&after) > share(&before);
            let relapsed = |entry: &Option<Entry>| entry.map_or(0, |entry| entry.relapses);
            let back = relapsed(&after) > relapsed(&before);
            if back {
                point!(ZONE_RELAPSE);
            }
            if more && !back {
                point!(ZONE_RETURN);
            }
            if share(&after) < share(&before) {
                self.left = Some(now);
            }
            // What was seen before says nothing of what the zone does now.
            if !planted!(self.settings, OldEvidence) {
                zone.ring.clear();
            }
            zone.clear_since = None;
            zone.changed = after.map_or(step.number, |entry| entry.at);
            zone.taken = now;
            zone.cold_since = match after.map(|entry| entry.phase) {
                None | Some(Phase::Left | Phase::Trial) => None,
                Some(Phase::Return | Phase::Whole) => zone.cold_since.or(Some(now)),
            };
        }
        self.step = step;
        self.proposed = None;
        self.allow_trials(out);
        self.tell(now, out);
        self.soon(now);
    }

    fn allow_trials(&mut self, out: &mut Vec<Output>) {
        for place in 0..self.zones.len() {
            let id = ZoneId(place as u16);
            let trial = self.step.entry(id).is_some_and(|entry| entry.phase == Phase::Trial);
            let mut allowed = 0;
            if trial {
                let triers = self.step.triers(id, &self.settings.members, self.settings.trials);
                allowed =
                    triers.iter().find(|(node, _)| *node == self.settings.me).map_or(0, |(_, each)| *each);
                if planted!(self.settings, AllTry) {
                    allowed = self.settings.trials;
                }
            }
            let Some(zone) = self.zones.get_mut(place) else { continue };
            // A step heard twice, or about another zone, gives no further trials.
            if (allowed == 0 && zone.trials == 0) || (trial && zone.tried >= zone.changed) {
                continue;
            }
            if allowed > 0 {
                zone.tried = zone.changed;
                point!(ZONE_TRIAL);
            }
            zone.trials = allowed;
            out.push(Output::Trial { zone: id, allowed });
        }
    }

    /// Tells the node what its calls may do, where that changed.
    pub(crate) fn tell(&mut self, now: Micros, out: &mut Vec<Output>) {
        let works: Vec<bool> = self.zones.iter().map(|zone| zone.ring.sum(0).alive() > 0).collect();
        for (place, zone) in self.zones.iter_mut().enumerate() {
            let id = ZoneId(place as u16);
            let mut share = 1000;
            if let Some(entry) = self.step.entry(id) {
                share = entry.share;
                if entry.phase == Phase::Return && !planted!(self.settings, NoCold) {
                    share = share.min(bearable(&self.settings, zone, entry, now));
                }
                if !self.quorum && entry.phase != Phase::Whole {
                    // The fleet may have gone back further than this node knows. But with nothing else in reach it
                    // is on its own, as without a fleet.
                    let elsewhere = works.iter().enumerate().any(|(other, works)| other != place && *works);
                    share = if elsewhere { 0 } else { 1000 };
                    if !elsewhere {
                        zone.cold_since = zone.cold_since.or(Some(now));
                    }
                }
            }
            let tell = (share, zone.cold_since);
            if zone.told != tell {
                zone.told = tell;
                let share = f64::from(share) / 1000.0;
                out.push(Output::Share { zone: id, share, cold_since: zone.cold_since });
            }
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let settings = &self.settings;
        for (place, zone) in self.zones.iter_mut().enumerate() {
            let usual = self.step.entry(ZoneId(place as u16)).is_none_or(|entry| entry.phase == Phase::Whole);
            if now - zone.size.1 > settings.memory {
                zone.size = (zone.servers.len(), now);
            }
            if usual {
                // In whole slices, a window's worth on the mean.
                zone.ring.forget_before(now - settings.window - settings.tick / 2);
            }
        }
        self.known.retain(|_, known| now - known.at <= settings.life);
        let heard = 1 + self.known.keys().filter(|origin| **origin != settings.me).count();
        let quorum = heard >= settings.quorum() || planted!(settings, NoQuorum);
        if quorum != self.quorum {
            self.quorum = quorum;
            out.push(Output::Notice(if quorum { Notice::Quorum } else { Notice::NoQuorum }));
        }
        self.decide(now, out);
        self.tell(now, out);
        let trouble = self.troubled();
        let span = if trouble { self.settings.tick } else { self.settings.quiet };
        if now - self.published >= span {
            // Not all in the same instant, and not each time in the same order.
            self.published = now;
            out.push(Output::Publish(self.fact(now).encode()));
        }
        let jitter = (mix(now as u64, self.settings.me) % 1024) as Micros * self.settings.tick / 16384;
        self.next = Some(now + self.settings.tick - jitter);
    }

    /// Something failed here, or the fleet is under way.
    fn troubled(&self) -> bool {
        self.step.entries.iter().any(|entry| entry.phase != Phase::Whole)
            || self.zones.iter().any(|zone| zone.ring.sum(0).bad() > 0)
    }

    /// What this node has to say.
    pub(crate) fn fact(&self, now: Micros) -> Fact {
        let span = self.settings.window.min(now - self.begun.unwrap_or(now)) / 1000;
        let seen = (0u16..).zip(&self.zones).map(|(place, zone)| zone.ring.sum(place));
        let seen = seen.filter(|seen| seen.sent > 0 || seen.settled() > 0).collect();
        Fact { step: self.step.clone(), span: span.clamp(0, 60_000) as u16, seen }
    }
}

/// Thousandths of its usual calls that a returning zone bears now, at the most.
pub(crate) fn bearable(settings: &Settings, zone: &Zone, entry: &Entry, now: Micros) -> u16 {
    let usual = f64::from(entry.usual.max(1));
    let bears = present(settings, &zone.servers, zone.cold_since.or(Some(now)), now);
    let share = if bears > 0.0 {
        bears * settings.cold_use / usual
    } else if zone.servers.is_empty() {
        0.0
    } else {
        // Nobody knows what they take: what they took before, cold.
        let youngest = zone.servers.iter().map(|server| server.started).max().unwrap_or(now);
        let started = youngest.max(zone.cold_since.unwrap_or(now));
        warmth(settings, now - started) * settings.cold_use
    };
    (share * 1000.0).clamp(0.0, 1000.0) as u16
}
