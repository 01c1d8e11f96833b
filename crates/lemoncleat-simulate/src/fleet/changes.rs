//! What a seed draws of the configuration: the operators' changes, which nodes cannot use them, and how they
//! affect calls.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::plan::{Fault, FaultKind};
use crate::Micros;

const SECOND: Micros = 1_000_000;

/// The nodes whose drivers cannot use a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unusable {
    NoNode,
    /// The node that is asked first, and no other.
    FirstAsked,
    /// Half of the nodes.
    HalfOfNodes,
    AllNodes,
}

/// Effect of a text on the calls of a node that has it in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Harm {
    None,
    Refused,
    Lost,
}

/// An operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub at: Micros,
    pub node: usize,
    /// The same number again is the same order.
    pub number: u32,
    /// Based on an earlier version, which may be long gone, rather than on the one that the node has in
    /// force.
    pub stale: bool,
}

/// The changes of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Changes {
    pub seed: u64,
    /// Calls a second at each node.
    pub calls: u64,
    pub changes: Vec<Change>,
}

impl Changes {
    /// Draws the changes, and adds faults of the configuration to `faults`.
    pub fn draw(seed: u64, nodes: usize, (warm, calm): (Micros, Micros), faults: &mut Vec<Fault>) -> Changes {
        let mut random = SmallRng::seed_from_u64(seed ^ 0x0063_6f6e_6669_6700);
        let mut changes = Vec::new();
        let burst = random.random_bool(0.2);
        let count = if burst { 20 } else { random.random_range(1..10) };
        let begin = if burst { random.random_range(warm / 2..calm - 10 * SECOND) } else { warm / 4 };
        let end = if burst { (begin + 60 * SECOND).min(calm) } else { calm };
        for number in 0..count {
            let (at, node) = (random.random_range(begin..end), random.random_range(0..nodes));
            let stale = random.random_bool(0.15);
            changes.push(Change { at, node, number, stale });
            if random.random_bool(0.3) {
                // The same order again at another node, at the same time or later.
                let later = if random.random() { 0 } else { random.random_range(0..10 * SECOND) };
                let node = random.random_range(0..nodes);
                changes.push(Change { at: (at + later).min(calm), node, number, stale });
            }
            if random.random_bool(0.3) {
                // Another change at the same time: one of the two must be refused.
                let node = random.random_range(0..nodes);
                changes.push(Change { at, node, number: number + 1_000, stale: false });
            }
        }
        let kinds = [FaultKind::WrongText, FaultKind::ZoneKill, FaultKind::CopyTorn];
        let kinds: Vec<FaultKind> = kinds.into_iter().filter(|_| random.random_bool(0.4)).collect();
        for _ in 0..random.random_range(0..6) {
            let Some(kind) = kinds.choose(&mut random).copied() else { break };
            let node = random.random_range(0..nodes);
            let from = random.random_range(warm..calm - SECOND);
            let until = (from + random.random_range(100_000..=20 * SECOND)).min(calm);
            faults.push(Fault { kind, node, from, until });
        }
        let calls = [0, 20, 200, 200].choose(&mut random).copied().unwrap_or(0);
        Changes { seed, calls, changes }
    }

    /// Returns the id of an order and its text.
    pub fn order_text(&self, number: u32) -> (String, String) {
        let length = [40, 40, 4_000, 60_000][self.draw_for(number, 0) as usize % 4];
        let mut text = format!("change {number} of {}", self.seed);
        let mut random = SmallRng::seed_from_u64(self.draw_for(number, 1));
        while text.len() < length {
            text += &format!(" {:x}", random.random::<u64>());
        }
        (format!("change-{number}"), text)
    }

    /// Returns which nodes cannot use the text of a change. Every node can use changes from 100,000 on.
    pub fn unusable(&self, number: u32) -> Unusable {
        match self.draw_for(number, 2) % 20 {
            _ if number >= FIRST_HARMLESS_CHANGE => Unusable::NoNode,
            0..3 => Unusable::FirstAsked,
            3..5 => Unusable::HalfOfNodes,
            5 => Unusable::AllNodes,
            _ => Unusable::NoNode,
        }
    }

    /// Returns the effect of a change on calls.
    pub fn harm(&self, number: u32) -> Harm {
        match self.draw_for(number, 3) % 10 {
            _ if number >= FIRST_HARMLESS_CHANGE => Harm::None,
            0 => Harm::Refused,
            1 => Harm::Lost,
            _ => Harm::None,
        }
    }

    /// Whether a node belongs to the half that cannot use the change.
    pub fn in_unusable_half(&self, number: u32, node: usize) -> bool {
        self.draw_for(number, 16 + node as u64).is_multiple_of(2)
    }

    fn draw_for(&self, number: u32, what: u64) -> u64 {
        SmallRng::seed_from_u64(self.seed.wrapping_mul(31) ^ u64::from(number) << 24 ^ what << 1).random()
    }
}

/// Changes from this number on can be used everywhere and do no harm.
pub(crate) const FIRST_HARMLESS_CHANGE: u32 = 100_000;

/// Returns the number of the change that a text belongs to.
pub(crate) fn change_number(text: &str) -> Option<u32> {
    text.strip_prefix("change ")?.split(' ').next()?.parse().ok()
}
