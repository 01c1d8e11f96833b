//! Estimates the gain of leaving a zone and the capacity of the other zones.

use crate::{Micros, Server, Settings};

/// The figures of a zone that the gain is computed from.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneView {
    /// Set-ups per second that it normally gets.
    pub rate: f64,
    /// Set-ups per second that it can take at present.
    pub capacity: f64,
    /// Share of set-ups that a live server responds to.
    pub success_rate: f64,
    /// Mean wait in milliseconds.
    pub wait: f64,
    /// Mean worth of a call there, and cost of an attempt.
    pub worth: f64,
    pub cost: f64,
    /// Whether calls may be moved there.
    pub open: bool,
}

/// The effect of leaving a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gain {
    /// Gain per call that leaves the zone.
    pub per_call: f64,
    /// Share of the zone's calls that must stay because the other zones have no capacity for them.
    pub keep_share: f64,
}

/// Returns the gain of leaving the zone at `index`; `None` if less than 5 % of its calls could leave.
pub(crate) fn gain(
    settings: &Settings,
    views: &[ZoneView],
    index: usize,
    ignore_capacity: bool,
) -> Option<Gain> {
    let zone = views.get(index)?;
    let rate = zone.rate.max(1.0);
    let others = || views.iter().enumerate().filter(|(other, view)| *other != index && view.open);
    let spare_capacity = |view: &ZoneView| {
        if ignore_capacity {
            view.capacity
        } else {
            (view.capacity * settings.max_fill - view.rate).max(0.0)
        }
    };
    let total: f64 = others().map(|(_, view)| spare_capacity(view)).sum();
    let leaving = total.min(rate);
    if leaving < 0.05 * rate {
        return None;
    }
    let worth_after_wait =
        |wait: f64| (1.0 - wait * 1000.0 / settings.max_useful_wait.max(1) as f64).clamp(0.0, 1.0);
    let mut worth_elsewhere = 0.0;
    for (_, view) in others() {
        let part = spare_capacity(view) / total;
        // The wait in a queue grows as the spare capacity shrinks.
        let spare = |rate: f64| (1.0 - rate / view.capacity.max(1.0)).max(0.05);
        let wait = view.wait * (spare(view.rate) / spare(view.rate + leaving * part)).max(1.0);
        worth_elsewhere += part * (zone.worth * view.success_rate * worth_after_wait(wait) - view.cost);
    }
    let worth_here = zone.worth * zone.success_rate * worth_after_wait(zone.wait) - zone.cost;
    Some(Gain { per_call: worth_elsewhere - worth_here, keep_share: 1.0 - leaving / rate })
}

/// Returns the set-ups per second that servers can take now if they count as started no earlier than
/// `cold_since`.
pub(crate) fn present_capacity(
    settings: &Settings,
    servers: &[Server],
    cold_since: Option<Micros>,
    now: Micros,
) -> f64 {
    servers
        .iter()
        .map(|server| {
            let started = cold_since.map_or(server.started, |since| since.max(server.started));
            server.capacity * warm_fraction(settings, now - started)
        })
        .sum()
}

/// Returns the share of its warm capacity that a server of this age can take.
pub(crate) fn warm_fraction(settings: &Settings, age: Micros) -> f64 {
    if settings.cold_span <= 0 {
        return 1.0;
    }
    let warmed = (age as f64 / settings.cold_span as f64).clamp(0.0, 1.0);
    settings.cold_from + (1.0 - settings.cold_from) * warmed
}
