//! What this node would have the fleet do, from the facts at hand.

use lemoncleat_faults::point;

use crate::evidence::Sum;
use crate::settings::planted;
use crate::step::mix;
use crate::worth::{gain, present, View};
use crate::zones::{bearable, Zone};
use crate::{Entry, Micros, Notice, Output, Phase, Step, ZoneId, Zones, MOST_ENTRIES};

/// A zone's evidence.
struct Weighed {
    all: Sum,
    /// The same without the nodes of each one of the nodes' zones.
    without: Vec<Sum>,
    own: Sum,
}

impl Zones {
    /// Looks at all zones and puts at most one step to the fleet.
    pub(crate) fn decide(&mut self, now: Micros, out: &mut Vec<Output>) {
        if !self.has_quorum() {
            for zone in &mut self.zones {
                zone.clear_since = None;
            }
            return;
        }
        point!(ZONE_EVIDENCE);
        let weighed = self.weigh(now);
        self.learn(now, &weighed);
        self.notice_alone(&weighed, out);
        let step = self.next_step(now, &weighed);
        let Some(mut step) = step else { return };
        // The lowest in this step's order speaks first, the others only if nothing came of it.
        let number = self.step.number.saturating_add(1);
        let me = mix(number, self.settings.me);
        let rank = self.alive.iter().filter(|node| mix(number, **node) < me).count().min(6) as Micros;
        let since = *self.proposed.get_or_insert(now + rank * self.settings.tick);
        if now < since {
            return;
        }
        self.proposed = Some(now + 4 * self.settings.tick);
        step.number = number;
        for entry in &mut step.entries {
            if self.step.entry(entry.zone) != Some(entry) {
                entry.at = number;
            }
        }
        step.origin = self.settings.me;
        point!(ZONE_PROPOSE);
        if self.settings.log {
            out.push(Output::Propose(step));
        } else {
            self.take(now, step, out);
        }
    }

    /// Sums what is at hand, each zone's only as far as it was seen under the step that last changed the zone.
    fn weigh(&self, now: Micros) -> Vec<Weighed> {
        let mut homes: Vec<ZoneId> = self.settings.members.values().copied().collect();
        homes.sort();
        homes.dedup();
        let own = self.fact(now);
        // A quorum may be older than what a step rests on: what failed long ago may be well again.
        let fresh = self.known.iter().filter(|(_, known)| now - known.at <= self.settings.window);
        let facts = fresh.map(|(origin, known)| (*origin, &known.fact));
        let facts: Vec<_> = facts.chain([(self.settings.me, &own)]).collect();
        let each = (0u16..).zip(&self.zones).map(|(place, zone)| {
            let seen = || {
                facts.iter().filter_map(|(origin, fact)| {
                    if fact.step.number < zone.changed && !planted!(self.settings, OldEvidence) {
                        return None;
                    }
                    let home = *self.settings.members.get(origin)?;
                    // A node at which nothing at all works says nothing of any one zone.
                    if fact.seen.iter().all(|seen| seen.alive() == 0) {
                        return None;
                    }
                    Some((home, *origin, *fact.of(ZoneId(place))?))
                })
            };
            // No node's count weighs more than a few times the mean's.
            let counts: Vec<f64> = seen().map(|(_, _, seen)| f64::from(seen.settled())).collect();
            let most = (4.0 * counts.iter().sum::<f64>() / counts.len().max(1) as f64).max(4.0);
            let mut weighed = Weighed {
                all: Sum::default(),
                without: vec![Sum::default(); homes.len()],
                own: Sum::default(),
            };
            for (home, origin, seen) in seen() {
                if f64::from(seen.settled()) > most && facts.len() > 4 {
                    continue;
                }
                weighed.all.add(&seen);
                for (other, sum) in homes.iter().zip(&mut weighed.without) {
                    if *other != home {
                        sum.add(&seen);
                    }
                }
                if origin == self.settings.me {
                    weighed.own.add(&seen);
                }
            }
            weighed
        });
        each.collect()
    }

    /// Takes what a zone usually does from sums while all is well.
    fn learn(&mut self, now: Micros, weighed: &[Weighed]) {
        // Until the first facts cover a whole window at all nodes they say too little.
        if now - self.begun.unwrap_or(now) < self.settings.life {
            return;
        }
        let span = self.settings.window.max(1) as f64 / 1e6;
        let least = (self.settings.tick as f64 / 5e6).min(1.0);
        // Nodes whose facts are not at hand send as much as the rest.
        let fresh = self.known.values().filter(|known| now - known.at <= self.settings.window);
        let heard = 1 + fresh.count();
        let unheard = self.alive.len().max(heard) as f64 / heard as f64;
        for ((place, zone), weighed) in (0u16..).zip(&mut self.zones).zip(weighed) {
            let under_way = self.step.entry(ZoneId(place)).is_some();
            let all = &weighed.all;
            if under_way || all.chance() < 0.95 || zone.clear_since.is_some() {
                continue;
            }
            let rate = all.sent / span * unheard;
            // A plain mean at first, and one that forgets later.
            zone.looks = zone.looks.saturating_add(1);
            let part = least.max(1.0 / f64::from(zone.looks));
            zone.usual += part * (rate - zone.usual);
            if all.answered > 0.0 {
                let wait = all.mean_wait();
                // Load explains a longer wait, and it comes and goes slowly; a sick zone's wait is not learned.
                if zone.wait == 0.0 {
                    zone.wait = wait;
                } else if wait < 3.0 * zone.wait + 20.0 {
                    zone.wait += part * (wait - zone.wait);
                }
                zone.shown = zone.shown.max(all.answered / span);
            }
        }
    }

    /// A zone that is well for the rest and not for this node is this node's own trouble.
    fn notice_alone(&mut self, weighed: &[Weighed], out: &mut Vec<Output>) {
        for ((place, zone), weighed) in (0u16..).zip(&mut self.zones).zip(weighed) {
            let (all, own) = (&weighed.all, &weighed.own);
            let rest = (all.alive - own.alive) / (all.settled() - own.settled()).max(1.0);
            let alone = own.bad >= 3.0 && own.chance() < 0.5 && rest > 0.9 && all.judges > 2;
            if alone && !zone.alone {
                out.push(Output::Notice(Notice::Alone { zone: ZoneId(place) }));
            }
            zone.alone = alone;
        }
    }

    fn next_step(&mut self, now: Micros, weighed: &[Weighed]) -> Option<Step> {
        // Zones under way come first: what the fleet already does is to be right before it does more.
        for entry in self.step.entries.clone() {
            let place = usize::from(entry.zone.0);
            let next = match entry.phase {
                Phase::Left => self.after_left(now, entry),
                Phase::Trial => self.after_trial(now, entry, &weighed.get(place)?.all),
                Phase::Return => self.after_return(now, entry, &weighed.get(place)?.all),
                Phase::Whole => {
                    let memory = self.settings.memory << entry.relapses.min(3);
                    if now - self.zones.get(place)?.taken >= memory {
                        return Some(self.step.without(entry.zone));
                    }
                    None
                }
            };
            if let Some(next) = next {
                return Some(self.step.with(next));
            }
        }
        self.leave(now, weighed)
    }

    /// The zones that leaving is clearly better for, worst first, as far as the others have room, in one step.
    fn leave(&mut self, now: Micros, all_weighed: &[Weighed]) -> Option<Step> {
        let calm = self.left.is_none_or(|left| now - left >= self.settings.after);
        let mut views = self.views(now, all_weighed);
        let mut step: Option<Step> = None;
        let mut order: Vec<usize> = (0..views.len()).collect();
        order.sort_by(|a, b| {
            let chance = |place: &usize| views.get(*place).map_or(1.0, |view| view.chance);
            chance(a).total_cmp(&chance(b))
        });
        for place in order {
            let id = ZoneId(place as u16);
            let (Some(zone), Some(view)) = (self.zones.get(place), views.get(place).copied()) else {
                continue;
            };
            let entry = self.step.entry(id).copied();
            let under_way = entry.is_some_and(|entry| entry.phase != Phase::Whole);
            let dead = view.chance < 0.2;
            let said = self.said_by_enough(now, place, all_weighed);
            let wanted = !under_way && (calm || dead) && said.is_some();
            let ignore_room = planted!(self.settings, NoRoom);
            let gain = gain(&self.settings, &views, place, ignore_room).filter(|_| wanted);
            let gain = gain.filter(|gain| gain.each > self.settings.margin * view.worth);
            let Some(gain) = gain else {
                if let Some(zone) = self.zones.get_mut(place) {
                    zone.clear_since = None;
                }
                continue;
            };
            let (usual, wait) = (zone.usual.max(self.fair(zone)), zone.wait);
            let since = *self.zones.get_mut(place)?.clear_since.get_or_insert(now);
            if said.is_none_or(|clear| now - since < clear) {
                continue;
            }
            let share = if ignore_room { 0 } else { (gain.keep * 1000.0).ceil().clamp(0.0, 1000.0) as u16 };
            let before = step.as_ref().unwrap_or(&self.step);
            if before.entries.len() >= MOST_ENTRIES && entry.is_none() {
                continue;
            }
            step = Some(before.with(Entry {
                zone: id,
                at: 0,
                phase: Phase::Left,
                share,
                relapses: entry.map_or(0, |entry| entry.relapses.saturating_add(1)),
                tries: 0,
                usual: entry.map_or(usual as u32, |entry| entry.usual).max(1),
                wait: entry.map_or(wait as u16, |entry| entry.wait),
            }));
            // What leaves fills the others, and nothing goes to a zone that is being left.
            let leaving = view.rate * (1.0 - gain.keep);
            let room: f64 =
                views.iter().enumerate().filter(|(other, _)| *other != place).map(spare(self)).sum();
            for (other, view) in views.iter_mut().enumerate() {
                if other == place {
                    view.open = false;
                } else if room > 0.0 {
                    view.rate += leaving * spare(self)((other, view)) / room;
                }
            }
        }
        step
    }

    /// What the zone would get if calls went by capacity: a zone seen for a short time is not taken for a small one.
    fn fair(&self, zone: &Zone) -> f64 {
        let takes = |zone: &Zone| zone.servers.iter().map(|server| server.capacity).sum::<f64>();
        let total: f64 = self.zones.iter().map(takes).sum();
        let usual: f64 = self.zones.iter().map(|zone| zone.usual).sum();
        usual * takes(zone) / total.max(1.0)
    }

    /// Whether the evidence against a zone is more than that of one node, of one zone's nodes, of one server, or of
    /// a handful of calls; and if so, how long it must stay clear.
    fn said_by_enough(&self, now: Micros, place: usize, all_weighed: &[Weighed]) -> Option<Micros> {
        let zone = self.zones.get(place)?;
        let weighed = all_weighed.get(place)?;
        // How many times its usual wait each zone has. Where the others wait too it is load.
        let times = |(zone, weighed): (&Zone, &Weighed)| weighed.all.mean_wait() / zone.wait.max(1.0);
        let others = self.zones.iter().zip(all_weighed).enumerate().filter(|(other, _)| *other != place);
        let elsewhere = others.map(|(_, pair)| times(pair)).fold(1.0, f64::max);
        let enough = f64::from(self.settings.enough);
        let all = &weighed.all;
        // A server that is still cold waits longer, and that is known.
        let warm = zone.servers.iter().all(|server| now - server.started >= self.settings.cold_span);
        let longer = all.mean_wait() > 3.0 * zone.wait + 20.0 && times((zone, weighed)) > 2.0 * elsewhere;
        let slow = warm && longer && all.answered >= enough;
        if all.settled() < enough || (!slow && 4 * all.witnesses < all.judges) {
            return None;
        }
        let bad = |sum: &Sum| {
            let slow = longer && slow && sum.mean_wait() > 3.0 * zone.wait + 20.0;
            sum.settled() >= enough / 2.0 && (sum.chance() < 0.9 || slow)
        };
        let one_zone = planted!(self.settings, OneZone);
        if !one_zone && (weighed.without.len() < 2 || !weighed.without.iter().all(bad)) {
            return None;
        }
        // One server that fails, or is started again, is for the module; a zone fails in most of its servers.
        let servers = zone.size.0.clamp(1, 16) as u32;
        let failed = all.failed.count_ones();
        if all.chance() < 0.9 && 3 * failed >= 2 * servers {
            return Some(self.settings.clear);
        }
        slow.then_some(self.settings.clear_slow)
    }

    /// The zones as the gain is reckoned from: loads of before, chances of now.
    fn views(&self, now: Micros, weighed: &[Weighed]) -> Vec<View> {
        let span = self.settings.window.max(1) as f64 / 1e6;
        // More than second attempts explain is more load, and room is to be reckoned under it.
        let sent: f64 = weighed.iter().map(|weighed| weighed.all.sent).sum::<f64>() / span;
        let usual: f64 = self.zones.iter().map(|zone| zone.usual).sum();
        let surge = if sent > 1.5 * usual { sent / usual.max(1.0) } else { 1.0 };
        let zones = (0u16..).zip(&self.zones).zip(weighed);
        let views = zones.map(|((place, zone), weighed)| {
            let all = &weighed.all;
            let entry = self.step.entry(ZoneId(place));
            let known = present(&self.settings, &zone.servers, zone.cold_since, now);
            let capacity = if known > 0.0 { known } else { 1.25 * zone.shown };
            // What left other zones came here.
            let usual = zone.usual * surge;
            let rate = if self.step.entries.is_empty() { usual } else { usual.max(all.sent / span) };
            let loaded = rate.max(all.sent / span) > 0.7 * capacity;
            View {
                rate,
                capacity,
                chance: all.chance(),
                // A wait that load explains is no failure.
                wait: if loaded { zone.wait } else { all.mean_wait() },
                worth: all.worth / all.sent.max(1.0),
                cost: all.cost / all.sent.max(1.0),
                open: entry.is_none_or(|entry| entry.phase == Phase::Whole)
                    && all.settled() > 0.0
                    && all.chance() >= 0.9,
            }
        });
        views.collect()
    }

    fn after_left(&self, now: Micros, entry: Entry) -> Option<Entry> {
        let rest = self.settings.rest << (entry.relapses.min(6) + entry.tries.min(1));
        let zone = self.zones.get(usize::from(entry.zone.0))?;
        (now - zone.taken >= rest && !zone.servers.is_empty())
            .then_some(Entry { phase: Phase::Trial, ..entry })
    }

    fn after_trial(&self, now: Micros, entry: Entry, all: &Sum) -> Option<Entry> {
        let zone = self.zones.get(usize::from(entry.zone.0))?;
        let triers = self.step.triers(entry.zone, &self.settings.members, self.settings.trials);
        let trials: u32 = triers.iter().map(|(_, each)| *each).sum();
        let enough = (f64::from(trials) * 0.8).ceil().max(2.0);
        let failed = all.bad >= 2.0 && all.chance() < 0.9;
        let slow = all.answered >= enough && all.mean_wait() > 3.0 * f64::from(entry.wait) + 50.0;
        if failed || slow || now - zone.taken >= self.settings.trial_span {
            return Some(Entry { phase: Phase::Left, tries: entry.tries.saturating_add(1), ..entry });
        }
        if all.settled() < enough || all.judges < 2 || all.alive < 0.9 * all.sent {
            return None;
        }
        // The answers are here long before the silences would be, so what is still open counts as failed.
        let first = bearable(&self.settings, zone, &entry, now);
        Some(Entry { phase: Phase::Return, share: entry.share.max(first).max(10), tries: 0, ..entry })
    }

    fn after_return(&self, now: Micros, entry: Entry, all: &Sum) -> Option<Entry> {
        let zone = self.zones.get(usize::from(entry.zone.0))?;
        let expected = f64::from(entry.usual) * f64::from(entry.share) / 1000.0;
        let enough = f64::from(self.settings.enough).min(expected / 2.0).max(3.0);
        let slow = all.answered >= enough && all.mean_wait() > 3.0 * f64::from(entry.wait) + 50.0;
        // Cold servers that are asked for much of what they take wait longer; only a wait that stays is a relapse.
        let stuck = slow && now - zone.taken >= 4 * (self.settings.pace << entry.relapses.min(2));
        if all.settled() >= enough && (all.chance() < 0.8 || stuck) {
            // Back a step, and the next comes later; from the lowest step, or a second time in one return, out.
            let back = entry.share / 2;
            let relapses = entry.relapses.saturating_add(1);
            let phase =
                if back < 50 || entry.tries > 0 || all.chance() < 0.3 { Phase::Left } else { Phase::Return };
            let share = if phase == Phase::Left { 0 } else { back };
            let tries = u8::from(phase == Phase::Return);
            return Some(Entry { phase, share, relapses, tries, ..entry });
        }
        let pace = self.settings.pace << entry.relapses.min(2);
        let crowded = slow || all.refused > 0.1 * all.settled();
        if now - zone.taken < pace
            || all.settled() < enough
            || all.alive < 0.9 * all.sent
            || all.judges < 2
            || crowded
        {
            return None;
        }
        // Until the next step each node grows with what the servers bear, and never beyond the step.
        let ahead = bearable(&self.settings, zone, &entry, now + 2 * pace);
        let next =
            if planted!(self.settings, NoCold) { 1000 } else { ahead.min(entry.share.saturating_mul(2)) };
        if next >= 1000 && entry.share >= 1000 && bearable(&self.settings, zone, &entry, now) >= 1000 {
            return Some(Entry { phase: Phase::Whole, share: 1000, ..entry });
        }
        // Steps that are hardly one are not worth an entry in the log.
        (next >= entry.share + 30 || (next >= 1000 && entry.share < 1000))
            .then_some(Entry { share: next, ..entry })
    }
}

fn spare(zones: &Zones) -> impl Fn((usize, &View)) -> f64 + '_ {
    |(_, view)| if view.open { (view.capacity * zones.settings.fill - view.rate).max(0.0) } else { 0.0 }
}
