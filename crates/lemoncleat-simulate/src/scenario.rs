//! What a seed draws: fleet, traffic, troubles and link faults.

use lemoncleat_lab::{
    CallerDay, CircuitDay, ClassDay, Day, ListDay, ProcessorDay, ServerDay, Trouble, TroubleKind,
};
use lemoncleat_settings::{Rate, Span};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// The links of a node, by what is at the far end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Side {
    /// Its connections with servers.
    Servers,
    /// Its connections with front-ends.
    Fronts,
    /// The feed of the server list.
    Feed,
}

/// Kinds of link fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkFaultKind {
    /// Nothing arrives in either direction until the end; then everything held back arrives.
    Held,
    /// Nothing arrives at the node until the end.
    HeldToNode,
    /// Nothing arrives from the node until the end.
    HeldFromNode,
    /// Nothing arrives in either direction, and at the end the connections are reset.
    Lost,
    /// The connections are reset at the beginning; new ones may be opened at once.
    Reset,
    /// Everything takes up to 200 ms longer.
    Slow,
}

/// A fault of a node's links of one side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkFault {
    /// Beginning, in microseconds from the beginning of the day.
    pub from: Micros,
    /// End.
    pub until: Micros,
    /// Node that it concerns.
    pub node: u16,
    /// Links that it concerns.
    pub side: Side,
    /// Kind of the fault.
    pub kind: LinkFaultKind,
}

/// A run to play.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Seed that the scenario was drawn from, and of everything random in the run.
    pub seed: u64,
    /// Fleet, traffic and troubles.
    pub day: Day,
    /// Link faults.
    pub links: Vec<LinkFault>,
    /// Least time that a message takes, and how much longer it may take.
    pub delay: (Micros, Micros),
}

/// Kinds of trouble that a seed may draw, with their weights.
const TROUBLE_KINDS: [(TroubleKind, u32); 13] = [
    (TroubleKind::Surge, 2),
    (TroubleKind::Crash, 3),
    (TroubleKind::Hang, 3),
    (TroubleKind::SilentWatchdog, 3),
    (TroubleKind::Slow, 2),
    (TroubleKind::Drain, 4),
    (TroubleKind::Dpr, 3),
    (TroubleKind::Cut, 2),
    (TroubleKind::Lines, 2),
    (TroubleKind::ListLag, 2),
    (TroubleKind::ListGone, 2),
    (TroubleKind::Stall, 3),
    (TroubleKind::Rehandshake, 3),
];

const LINK_FAULT_KINDS: [LinkFaultKind; 6] = [
    LinkFaultKind::Held,
    LinkFaultKind::HeldToNode,
    LinkFaultKind::HeldFromNode,
    LinkFaultKind::Lost,
    LinkFaultKind::Reset,
    LinkFaultKind::Slow,
];

impl Scenario {
    /// Draws the scenario of a seed. Each kind of trouble is on or off for the whole run, so that some runs
    /// have rare pairs of kinds, instead of every run having all kinds.
    pub fn draw(seed: u64) -> Scenario {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5ced_a210);
        let nodes: u16 = rng.random_range(1..=3);
        let servers: usize = rng.random_range(2..=4);
        let length: Micros = rng.random_range(8_000_000..20_000_000);
        let capacity = rng.random_range(20.0..60.0);
        let mut day = Day {
            name: format!("seed {seed}"),
            length: Span(length),
            tail: Span(12_000_000),
            seed,
            nodes,
            fronts: rng.random_range(1..=2),
            rate: Rate(capacity * servers as f64 * rng.random_range(0.3..1.2)),
            servers: (0..servers)
                .map(|index| ServerDay {
                    capacity: Rate(capacity * rng.random_range(0.5..1.5)),
                    lines: if rng.random_bool(0.3) { rng.random_range(20..200) } else { 100_000 },
                    zone: format!("z{}", index % 2),
                })
                .collect(),
            classes: vec![class("cheap", 94.0, 9_000_000, 1.0), class("dear", 6.0, 6_000_000, 8.0)],
            callers: CallerDay {
                try_share: rng.random_range(0.15..0.5),
                redials: rng.random_range(0..=2),
                impatient: rng.random_range(0.0..0.1),
                ..CallerDay::default()
            },
            processor: ProcessorDay {
                finish_first: rng.random_bool(0.5),
                drops_given_up: rng.random_bool(0.5),
                tells_wait: rng.random_bool(0.5),
                reports_wait: rng.random_bool(0.7),
                cold_from: rng.random_range(0.3..0.5),
                ..ProcessorDay::default()
            },
            list: ListDay {
                delay: Span(rng.random_range(100_000..2_000_000)),
                spread: Span(rng.random_range(0..500_000)),
            },
            circuits: None,
            certificates: None,
            harmless: false,
            watchdog: Span(rng.random_range(300_000..1_500_000)),
            answer_margin: Span(30_000),
            attempts: rng.random_range(2..=5),
            drain_grace: Span(rng.random_range(250_000..2_000_000)),
            release: Span(300_000),
            troubles: Vec::new(),
        };
        if rng.random_bool(0.3) {
            day.circuits = Some(CircuitDay {
                size: rng.random_range(4..60),
                far_size: None,
                far_rate: Some(Rate(rng.random_range(0.5..4.0))),
                far_length: Span(2_000_000),
                meets: rng.random_range(0.0..0.4),
            });
        }
        let enabled: Vec<(TroubleKind, u32)> =
            TROUBLE_KINDS.into_iter().filter(|_| rng.random_bool(0.5)).collect();
        let total: u32 = enabled.iter().map(|(_, weight)| weight).sum();
        if total > 0 {
            for _ in 0..rng.random_range(1..=8) {
                let mut pick = rng.random_range(0..total);
                let kind = enabled.iter().find(|(_, weight)| {
                    let found = pick < *weight;
                    pick = pick.saturating_sub(*weight);
                    found
                });
                if let Some((kind, _)) = kind {
                    day.troubles.push(trouble(*kind, &day, &mut rng));
                }
            }
        }
        let mut links = Vec::new();
        if rng.random_bool(0.6) {
            for _ in 0..rng.random_range(1..=4) {
                let from = rng.random_range(500_000..length);
                links.push(LinkFault {
                    from,
                    until: from + rng.random_range(50_000..4_000_000),
                    node: rng.random_range(0..nodes),
                    side: [Side::Servers, Side::Fronts, Side::Feed][rng.random_range(0..3)],
                    kind: LINK_FAULT_KINDS[rng.random_range(0..LINK_FAULT_KINDS.len())],
                });
            }
        }
        let delay = (rng.random_range(100..15_000), rng.random_range(1..10_000));
        Scenario { seed, day, links, delay }
    }

    /// Returns a scenario for a given day, with link delays of about a millisecond and no link faults.
    pub fn of_day(day: Day) -> Scenario {
        Scenario { seed: day.seed, day, links: Vec::new(), delay: (1_000, 200) }
    }
}

fn class(name: &str, share: f64, deadline: Micros, worth: f64) -> ClassDay {
    ClassDay {
        name: name.to_owned(),
        share,
        aim: Span(1_500_000),
        deadline: Span(deadline),
        worth,
        late_worth: 0.2,
        length: Span(3_000_000),
    }
}

fn trouble(kind: TroubleKind, day: &Day, rng: &mut SmallRng) -> Trouble {
    let at = rng.random_range(200_000..day.length.0);
    let length = rng.random_range(300_000..6_000_000);
    let size = match kind {
        TroubleKind::Surge => rng.random_range(1.2..2.5),
        TroubleKind::Slow => rng.random_range(1.5..4.0),
        TroubleKind::Cut | TroubleKind::Lines => rng.random_range(0.1..0.9),
        TroubleKind::ListLag => rng.random_range(0.5..5.0),
        TroubleKind::Stall => rng.random_range(0.06..4.0),
        _ => 1.0,
    };
    let count = day.servers.len() as u16;
    let on: Vec<u16> = match kind {
        TroubleKind::Surge | TroubleKind::ListLag | TroubleKind::ListGone | TroubleKind::Rehandshake => {
            Vec::new()
        }
        _ => (0..count).filter(|_| rng.random_bool(0.4)).collect(),
    };
    // An empty list would stand for all servers.
    let on = if on.is_empty() { vec![rng.random_range(0..count)] } else { on };
    Trouble {
        kind,
        at: Span(at),
        length: Span(length),
        size,
        on,
        node: rng.random_range(0..day.nodes),
        pause: Span(rng.random_range(1_000..2_000_000)),
    }
}
