//! Derives the next step that this node proposes from the available facts.

use lemoncleat_faults::point;

use crate::evidence::EvidenceSum;
use crate::settings::planted;
use crate::step::mix;
use crate::worth::{gain, present_capacity, ZoneView};
use crate::zones::{sustainable_share, Zone};
use crate::{Entry, Micros, Notice, Output, Phase, Step, ZoneId, Zones, MAX_ENTRIES};

/// The evidence of one zone.
struct ZoneEvidence {
    all: EvidenceSum,
    /// The same without the nodes of one zone, for each of the zones that nodes run in.
    excluding_home: Vec<EvidenceSum>,
    own: EvidenceSum,
}

impl Zones {
    /// Evaluates all zones and proposes at most one step.
    pub(crate) fn decide(&mut self, now: Micros, out: &mut Vec<Output>) {
        if !self.has_quorum() {
            for zone in &mut self.zones {
                zone.clear_since = None;
            }
            return;
        }
        point!(ZONE_EVIDENCE);
        let evidence = self.sum_evidence(now);
        self.update_baselines(now, &evidence);
        self.report_local_faults(&evidence, out);
        let step = self.next_step(now, &evidence);
        let Some(mut step) = step else { return };
        // The node with the lowest hash for this step number proposes first, the others only if no step
        // follows.
        let number = self.step.number.saturating_add(1);
        let me = mix(number, self.settings.me);
        let rank = self.alive.iter().filter(|node| mix(number, **node) < me).count().min(6) as Micros;
        let since = *self.propose_at.get_or_insert(now + rank * self.settings.check_interval);
        if now < since {
            return;
        }
        self.propose_at = Some(now + 4 * self.settings.check_interval);
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
            self.apply_step(now, step, out);
        }
    }

    /// Sums the available facts. A zone's counts are used only if they were made under the step that last
    /// changed the zone.
    fn sum_evidence(&self, now: Micros) -> Vec<ZoneEvidence> {
        let mut home_zones: Vec<ZoneId> = self.settings.members.values().copied().collect();
        home_zones.sort();
        home_zones.dedup();
        let own = self.fact(now);
        // Facts that count for the quorum may be too old as evidence for a step: a failure may have ended
        // since.
        let fresh = self.peer_facts.iter().filter(|(_, peer)| now - peer.at <= self.settings.window);
        let facts = fresh.map(|(origin, peer)| (*origin, &peer.fact));
        let facts: Vec<_> = facts.chain([(self.settings.me, &own)]).collect();
        let evidence = (0u16..).zip(&self.zones).map(|(index, zone)| {
            let counts = || {
                facts.iter().filter_map(|(origin, fact)| {
                    if fact.step.number < zone.changed && !planted!(self.settings, OldEvidence) {
                        return None;
                    }
                    let home = *self.settings.members.get(origin)?;
                    // A node at which every set-up fails gives no evidence about any single zone.
                    if fact.counts.iter().all(|counts| counts.responded() == 0) {
                        return None;
                    }
                    Some((home, *origin, *fact.for_zone(ZoneId(index))?))
                })
            };
            // Among more than four facts, counts above four times the mean are ignored, so that no single
            // node dominates.
            let settled_counts: Vec<f64> =
                counts().map(|(_, _, counts)| f64::from(counts.settled())).collect();
            let max_settled =
                (4.0 * settled_counts.iter().sum::<f64>() / settled_counts.len().max(1) as f64).max(4.0);
            let mut evidence = ZoneEvidence {
                all: EvidenceSum::default(),
                excluding_home: vec![EvidenceSum::default(); home_zones.len()],
                own: EvidenceSum::default(),
            };
            for (home, origin, counts) in counts() {
                if f64::from(counts.settled()) > max_settled && facts.len() > 4 {
                    continue;
                }
                evidence.all.add(&counts);
                for (other, sum) in home_zones.iter().zip(&mut evidence.excluding_home) {
                    if *other != home {
                        sum.add(&counts);
                    }
                }
                if origin == self.settings.me {
                    evidence.own.add(&counts);
                }
            }
            evidence
        });
        evidence.collect()
    }

    /// Updates the baseline of each zone from the sums while the zone is healthy.
    fn update_baselines(&mut self, now: Micros, evidence: &[ZoneEvidence]) {
        // Until the first facts of all nodes cover a whole window they are incomplete.
        if now - self.started_at.unwrap_or(now) < self.settings.fact_lifetime {
            return;
        }
        let span = self.settings.window.max(1) as f64 / 1e6;
        let min_weight = (self.settings.check_interval as f64 / 5e6).min(1.0);
        // Nodes without a recent fact are assumed to send as much as the others.
        let fresh = self.peer_facts.values().filter(|peer| now - peer.at <= self.settings.window);
        let reporting = 1 + fresh.count();
        let scale = self.alive.len().max(reporting) as f64 / reporting as f64;
        for ((index, zone), evidence) in (0u16..).zip(&mut self.zones).zip(evidence) {
            let under_way = self.step.entry(ZoneId(index)).is_some();
            let all = &evidence.all;
            if under_way || all.success_rate() < 0.95 || zone.clear_since.is_some() {
                continue;
            }
            let rate = all.sent / span * scale;
            // A plain mean at first, then an exponential one.
            zone.samples = zone.samples.saturating_add(1);
            let weight = min_weight.max(1.0 / f64::from(zone.samples));
            zone.baseline_rate += weight * (rate - zone.baseline_rate);
            if all.answered > 0.0 {
                let wait = all.mean_wait();
                // A longer wait can be caused by load, which changes slowly; the wait of a failing zone is
                // not learned.
                if zone.wait == 0.0 {
                    zone.wait = wait;
                } else if wait < 3.0 * zone.wait + 20.0 {
                    zone.wait += weight * (wait - zone.wait);
                }
                zone.peak_answer_rate = zone.peak_answer_rate.max(all.answered / span);
            }
        }
    }

    /// Reports a zone that works for the other nodes but not for this one: the fault is local.
    fn report_local_faults(&mut self, evidence: &[ZoneEvidence], out: &mut Vec<Output>) {
        for ((index, zone), evidence) in (0u16..).zip(&mut self.zones).zip(evidence) {
            let (all, own) = (&evidence.all, &evidence.own);
            let rest = (all.responded - own.responded) / (all.settled() - own.settled()).max(1.0);
            let local_fault =
                own.failures >= 3.0 && own.success_rate() < 0.5 && rest > 0.9 && all.reporting_nodes > 2;
            if local_fault && !zone.local_fault {
                out.push(Output::Notice(Notice::LocalFault { zone: ZoneId(index) }));
            }
            zone.local_fault = local_fault;
        }
    }

    fn next_step(&mut self, now: Micros, evidence: &[ZoneEvidence]) -> Option<Step> {
        // Zones that are being left or restored come first: their state is corrected before another zone is
        // left.
        for entry in self.step.entries.clone() {
            let index = usize::from(entry.zone.0);
            let next = match entry.phase {
                Phase::Left => self.after_left(now, entry),
                Phase::Trial => self.after_trial(now, entry, &evidence.get(index)?.all),
                Phase::Return => self.after_return(now, entry, &evidence.get(index)?.all),
                Phase::Restored => {
                    let memory = self.settings.relapse_memory << entry.relapses.min(3);
                    if now - self.zones.get(index)?.applied_at >= memory {
                        return Some(self.step.without(entry.zone));
                    }
                    None
                }
            };
            if let Some(next) = next {
                return Some(self.step.with(next));
            }
        }
        self.leave(now, evidence)
    }

    /// Leaves, in one step and worst first, the zones that are clearly better left, as far as the other zones
    /// have capacity.
    fn leave(&mut self, now: Micros, all_evidence: &[ZoneEvidence]) -> Option<Step> {
        let may_leave_more =
            self.last_reduced_at.is_none_or(|left| now - left >= self.settings.leave_interval);
        let mut views = self.views(now, all_evidence);
        let mut step: Option<Step> = None;
        let mut order: Vec<usize> = (0..views.len()).collect();
        order.sort_by(|a, b| {
            let success_rate = |index: &usize| views.get(*index).map_or(1.0, |view| view.success_rate);
            success_rate(a).total_cmp(&success_rate(b))
        });
        for index in order {
            let id = ZoneId(index as u16);
            let (Some(zone), Some(view)) = (self.zones.get(index), views.get(index).copied()) else {
                continue;
            };
            let entry = self.step.entry(id).copied();
            let under_way = entry.is_some_and(|entry| entry.phase != Phase::Restored);
            let dead = view.success_rate < 0.2;
            let clear_time = self.required_clear_time(now, index, all_evidence);
            let wanted = !under_way && (may_leave_more || dead) && clear_time.is_some();
            let ignore_capacity = planted!(self.settings, NoRoom);
            let gain = gain(&self.settings, &views, index, ignore_capacity).filter(|_| wanted);
            let gain = gain.filter(|gain| gain.per_call > self.settings.margin * view.worth);
            let Some(gain) = gain else {
                if let Some(zone) = self.zones.get_mut(index) {
                    zone.clear_since = None;
                }
                continue;
            };
            let (baseline_rate, wait) = (zone.baseline_rate.max(self.rate_by_capacity(zone)), zone.wait);
            let since = *self.zones.get_mut(index)?.clear_since.get_or_insert(now);
            if clear_time.is_none_or(|clear| now - since < clear) {
                continue;
            }
            let share =
                if ignore_capacity { 0 } else { (gain.keep_share * 1000.0).ceil().clamp(0.0, 1000.0) as u16 };
            let before = step.as_ref().unwrap_or(&self.step);
            if before.entries.len() >= MAX_ENTRIES && entry.is_none() {
                continue;
            }
            step = Some(before.with(Entry {
                zone: id,
                at: 0,
                phase: Phase::Left,
                share,
                relapses: entry.map_or(0, |entry| entry.relapses.saturating_add(1)),
                failed_tries: 0,
                baseline_rate: entry.map_or(baseline_rate as u32, |entry| entry.baseline_rate).max(1),
                wait: entry.map_or(wait as u16, |entry| entry.wait),
            }));
            // The calls that leave fill the other zones, and no calls are moved to a zone that is being left.
            let leaving = view.rate * (1.0 - gain.keep_share);
            let total_spare: f64 =
                views.iter().enumerate().filter(|(other, _)| *other != index).map(spare_capacity(self)).sum();
            for (other, view) in views.iter_mut().enumerate() {
                if other == index {
                    view.open = false;
                } else if total_spare > 0.0 {
                    view.rate += leaving * spare_capacity(self)((other, view)) / total_spare;
                }
            }
        }
        step
    }

    /// The rate that the zone would get if calls were distributed by capacity, so that a zone observed for a
    /// short time is not taken for a small one.
    fn rate_by_capacity(&self, zone: &Zone) -> f64 {
        let capacity = |zone: &Zone| zone.servers.iter().map(|server| server.capacity).sum::<f64>();
        let total: f64 = self.zones.iter().map(capacity).sum();
        let baseline_rate: f64 = self.zones.iter().map(|zone| zone.baseline_rate).sum();
        baseline_rate * capacity(zone) / total.max(1.0)
    }

    /// Returns how long the evidence against a zone must stay clear, or `None` if it comes from one node, the
    /// nodes of one zone, one server or only a handful of calls.
    fn required_clear_time(
        &self,
        now: Micros,
        index: usize,
        all_evidence: &[ZoneEvidence],
    ) -> Option<Micros> {
        let zone = self.zones.get(index)?;
        let evidence = all_evidence.get(index)?;
        // The ratio of each zone's wait to its baseline. If the other zones wait longer too, the cause is
        // load.
        let wait_ratio =
            |(zone, evidence): (&Zone, &ZoneEvidence)| evidence.all.mean_wait() / zone.wait.max(1.0);
        let others = self.zones.iter().zip(all_evidence).enumerate().filter(|(other, _)| *other != index);
        let elsewhere = others.map(|(_, pair)| wait_ratio(pair)).fold(1.0, f64::max);
        let min_settled = f64::from(self.settings.min_settled);
        let all = &evidence.all;
        // A server that is still cold is known to answer more slowly.
        let warm = zone.servers.iter().all(|server| now - server.started >= self.settings.cold_span);
        let longer =
            all.mean_wait() > 3.0 * zone.wait + 20.0 && wait_ratio((zone, evidence)) > 2.0 * elsewhere;
        let slow = warm && longer && all.answered >= min_settled;
        if all.settled() < min_settled || (!slow && 4 * all.failing_nodes < all.reporting_nodes) {
            return None;
        }
        let failing = |sum: &EvidenceSum| {
            let slow = longer && slow && sum.mean_wait() > 3.0 * zone.wait + 20.0;
            sum.settled() >= min_settled / 2.0 && (sum.success_rate() < 0.9 || slow)
        };
        let one_zone_suffices = planted!(self.settings, OneZone);
        if !one_zone_suffices
            && (evidence.excluding_home.len() < 2 || !evidence.excluding_home.iter().all(failing))
        {
            return None;
        }
        // The failure or restart of one server is handled by the decision module; in a zone failure most of
        // its servers fail.
        let servers = zone.size.0.clamp(1, 16) as u32;
        let failed = all.failed_servers.count_ones();
        if all.success_rate() < 0.9 && 3 * failed >= 2 * servers {
            return Some(self.settings.clear);
        }
        slow.then_some(self.settings.clear_slow)
    }

    /// The figures that the gain is computed from: loads from the baseline, success rates from current
    /// evidence.
    fn views(&self, now: Micros, evidence: &[ZoneEvidence]) -> Vec<ZoneView> {
        let span = self.settings.window.max(1) as f64 / 1e6;
        // Traffic beyond what second attempts explain is additional load, and spare capacity is computed
        // under it.
        let sent: f64 = evidence.iter().map(|evidence| evidence.all.sent).sum::<f64>() / span;
        let baseline_rate: f64 = self.zones.iter().map(|zone| zone.baseline_rate).sum();
        let surge = if sent > 1.5 * baseline_rate { sent / baseline_rate.max(1.0) } else { 1.0 };
        let zones = (0u16..).zip(&self.zones).zip(evidence);
        let views = zones.map(|((index, zone), evidence)| {
            let all = &evidence.all;
            let entry = self.step.entry(ZoneId(index));
            let current_capacity = present_capacity(&self.settings, &zone.servers, zone.cold_since, now);
            let capacity =
                if current_capacity > 0.0 { current_capacity } else { 1.25 * zone.peak_answer_rate };
            // Calls that left other zones were moved to this one.
            let baseline_rate = zone.baseline_rate * surge;
            let rate =
                if self.step.entries.is_empty() { baseline_rate } else { baseline_rate.max(all.sent / span) };
            let loaded = rate.max(all.sent / span) > 0.7 * capacity;
            ZoneView {
                rate,
                capacity,
                success_rate: all.success_rate(),
                // A wait caused by load is not a failure.
                wait: if loaded { zone.wait } else { all.mean_wait() },
                worth: all.worth / all.sent.max(1.0),
                cost: all.cost / all.sent.max(1.0),
                open: entry.is_none_or(|entry| entry.phase == Phase::Restored)
                    && all.settled() > 0.0
                    && all.success_rate() >= 0.9,
            }
        });
        views.collect()
    }

    fn after_left(&self, now: Micros, entry: Entry) -> Option<Entry> {
        let rest = self.settings.rest_span << (entry.relapses.min(6) + entry.failed_tries.min(1));
        let zone = self.zones.get(usize::from(entry.zone.0))?;
        (now - zone.applied_at >= rest && !zone.servers.is_empty())
            .then_some(Entry { phase: Phase::Trial, ..entry })
    }

    fn after_trial(&self, now: Micros, entry: Entry, all: &EvidenceSum) -> Option<Entry> {
        let zone = self.zones.get(usize::from(entry.zone.0))?;
        let trial_members = self.step.trial_members(entry.zone, &self.settings.members, self.settings.trials);
        let trials: u32 = trial_members.iter().map(|(_, set_ups)| *set_ups).sum();
        let min_settled = (f64::from(trials) * 0.8).ceil().max(2.0);
        let failed = all.failures >= 2.0 && all.success_rate() < 0.9;
        let slow = all.answered >= min_settled && all.mean_wait() > 3.0 * f64::from(entry.wait) + 50.0;
        if failed || slow || now - zone.applied_at >= self.settings.trial_span {
            return Some(Entry {
                phase: Phase::Left,
                failed_tries: entry.failed_tries.saturating_add(1),
                ..entry
            });
        }
        if all.settled() < min_settled || all.reporting_nodes < 2 || all.responded < 0.9 * all.sent {
            return None;
        }
        // Answers arrive long before time-outs would, so set-ups without an outcome count as failed.
        let first = sustainable_share(&self.settings, zone, &entry, now);
        Some(Entry { phase: Phase::Return, share: entry.share.max(first).max(10), failed_tries: 0, ..entry })
    }

    fn after_return(&self, now: Micros, entry: Entry, all: &EvidenceSum) -> Option<Entry> {
        let zone = self.zones.get(usize::from(entry.zone.0))?;
        let expected = f64::from(entry.baseline_rate) * f64::from(entry.share) / 1000.0;
        let min_settled = f64::from(self.settings.min_settled).min(expected / 2.0).max(3.0);
        let slow = all.answered >= min_settled && all.mean_wait() > 3.0 * f64::from(entry.wait) + 50.0;
        // Cold servers under high load answer more slowly; only a wait that persists is a relapse.
        let stuck =
            slow && now - zone.applied_at >= 4 * (self.settings.return_interval << entry.relapses.min(2));
        if all.settled() >= min_settled && (all.success_rate() < 0.8 || stuck) {
            // Reduces the share, and the next increase comes later. From the lowest share, or the second time
            // in one return, the zone is left.
            let reduced = entry.share / 2;
            let relapses = entry.relapses.saturating_add(1);
            let phase = if reduced < 50 || entry.failed_tries > 0 || all.success_rate() < 0.3 {
                Phase::Left
            } else {
                Phase::Return
            };
            let share = if phase == Phase::Left { 0 } else { reduced };
            let failed_tries = u8::from(phase == Phase::Return);
            return Some(Entry { phase, share, relapses, failed_tries, ..entry });
        }
        let interval = self.settings.return_interval << entry.relapses.min(2);
        let crowded = slow || all.refused > 0.1 * all.settled();
        if now - zone.applied_at < interval
            || all.settled() < min_settled
            || all.responded < 0.9 * all.sent
            || all.reporting_nodes < 2
            || crowded
        {
            return None;
        }
        // Until the next step each node raises its share with the capacity of the warming servers, and never
        // above the step's.
        let ahead = sustainable_share(&self.settings, zone, &entry, now + 2 * interval);
        let next =
            if planted!(self.settings, NoCold) { 1000 } else { ahead.min(entry.share.saturating_mul(2)) };
        if next >= 1000 && entry.share >= 1000 && sustainable_share(&self.settings, zone, &entry, now) >= 1000
        {
            return Some(Entry { phase: Phase::Restored, share: 1000, ..entry });
        }
        // Increases below 3 % are not worth an entry in the log.
        (next >= entry.share + 30 || (next >= 1000 && entry.share < 1000))
            .then_some(Entry { share: next, ..entry })
    }
}

fn spare_capacity(zones: &Zones) -> impl Fn((usize, &ZoneView)) -> f64 + '_ {
    |(_, view)| if view.open { (view.capacity * zones.settings.max_fill - view.rate).max(0.0) } else { 0.0 }
}
