//! What leaving a zone gains, and what the others can bear.

use crate::{Micros, Server, Settings};

/// A zone as the gain sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct View {
    /// Set-ups a second it usually gets.
    pub rate: f64,
    /// Set-ups a second it takes at present.
    pub capacity: f64,
    /// Share of set-ups that find a living server.
    pub chance: f64,
    /// Mean wait in milliseconds.
    pub wait: f64,
    /// Mean worth of a call there, and cost of an attempt.
    pub worth: f64,
    pub cost: f64,
    /// Whether calls may be moved there.
    pub open: bool,
}

/// What leaving would do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gain {
    /// What a call gains that leaves.
    pub each: f64,
    /// Share of the zone's calls that must stay, because the others have no room.
    pub keep: f64,
}

/// What leaving the zone at `place` gains, if anything could leave at all.
pub(crate) fn gain(settings: &Settings, views: &[View], place: usize, ignore_room: bool) -> Option<Gain> {
    let here = views.get(place)?;
    let rate = here.rate.max(1.0);
    let others = || views.iter().enumerate().filter(|(other, view)| *other != place && view.open);
    let room = |view: &View| {
        if ignore_room {
            view.capacity
        } else {
            (view.capacity * settings.fill - view.rate).max(0.0)
        }
    };
    let total: f64 = others().map(|(_, view)| room(view)).sum();
    let leaving = total.min(rate);
    if leaving < 0.05 * rate {
        return None;
    }
    let patience = |wait: f64| (1.0 - wait * 1000.0 / settings.hurry.max(1) as f64).clamp(0.0, 1.0);
    let mut there = 0.0;
    for (_, view) in others() {
        let part = room(view) / total;
        // A queue's wait grows as what is left of the capacity shrinks.
        let spare = |rate: f64| (1.0 - rate / view.capacity.max(1.0)).max(0.05);
        let wait = view.wait * (spare(view.rate) / spare(view.rate + leaving * part)).max(1.0);
        there += part * (here.worth * view.chance * patience(wait) - view.cost);
    }
    let stays = here.worth * here.chance * patience(here.wait) - here.cost;
    Some(Gain { each: there - stays, keep: 1.0 - leaving / rate })
}

/// Set-ups a second that servers take now, if they count as started no earlier than `cold_since`.
pub(crate) fn present(
    settings: &Settings,
    servers: &[Server],
    cold_since: Option<Micros>,
    now: Micros,
) -> f64 {
    servers
        .iter()
        .map(|server| {
            let started = cold_since.map_or(server.started, |since| since.max(server.started));
            server.capacity * warmth(settings, now - started)
        })
        .sum()
}

/// Share of its warm capacity that a server of this age takes.
pub(crate) fn warmth(settings: &Settings, age: Micros) -> f64 {
    if settings.cold_span <= 0 {
        return 1.0;
    }
    let grown = (age as f64 / settings.cold_span as f64).clamp(0.0, 1.0);
    settings.cold_from + (1.0 - settings.cold_from) * grown
}
