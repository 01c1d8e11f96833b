//! Fencing of this node, and the slots that limit it.
//!
//! The share of nodes that may be fenced is divided into numbered slots. A node that should be fenced claims
//! a slot in its fact and takes it once more than half of all members consent. Each member consents to one
//! node per slot, until that node releases it. Two majorities have a member in common, so a slot is never
//! held twice, regardless of message loss, partitions and the state of any checker; a node that is cut off
//! cannot fence itself.

use std::collections::BTreeMap;

use lemoncleat::Micros;

use super::{Checker, Limits, Notice, Output};
use crate::version::Digest;
use crate::window::Decider;
use crate::words::{Consent, Statement, MAX_FENCE_SLOTS};

/// Time after which a claim is abandoned in favour of the next slot, in microseconds.
const CLAIM_TIMEOUT_US: Micros = 10_000_000;
/// Time between two rounds of claims, in microseconds: a quarter of this to five quarters.
const CLAIM_ROUND_INTERVAL_US: Micros = 60_000_000;

/// The state of fencing.
pub(crate) struct Fencing {
    pub fenced: bool,
    pub consents: Vec<Consent>,
    /// Number of slots.
    slots: u8,
    /// This node's claim, and the time at which it was made.
    claim: Option<(u8, Micros)>,
    slots_tried: u8,
    /// Earliest time of the next claim.
    next_claim_at: Micros,
    /// Whether new rules are in force that lift the fence once their cases agree with the majority.
    lift_when_agreed: bool,
}

impl Fencing {
    pub fn new(limits: &Limits, members: usize) -> Fencing {
        let slots = members.saturating_mul(limits.share.min(100) as usize) / 100;
        let slots = slots.min(MAX_FENCE_SLOTS.into()) as u8;
        let consents = Vec::new();
        Fencing {
            fenced: false,
            consents,
            slots,
            claim: None,
            slots_tried: 0,
            next_claim_at: Micros::MIN,
            lift_when_agreed: false,
        }
    }

    pub fn claim(&self) -> Option<u8> {
        self.claim.map(|(slot, _)| slot)
    }

    /// Called when other rules come into force: the evidence against the node is void, but a fence stays
    /// until its cases agree with the majority.
    pub fn reset_claim(&mut self) {
        (self.lift_when_agreed, self.slots_tried) = (self.fenced, 0);
        if !self.fenced {
            self.claim = None;
        }
    }
}

impl<D: Decider> Checker<D> {
    /// Updates the consents according to another node's claim.
    pub(super) fn update_consents(&mut self, from: u32, incarnation: u64, fact: &Statement) {
        let (slots, incarnation_bits) = (self.fencing.slots, incarnation as u16);
        let still_valid = |one: &Consent| {
            one.node != from || one.incarnation_bits == incarnation_bits && fact.claim == Some(one.slot)
        };
        self.fencing.consents.retain(still_valid);
        // A node that started recently may have forgotten its consents; meanwhile it learns them from the
        // facts of others.
        let is_new = self.started.is_none_or(|started| self.now - started < self.limits.statement_lifetime);
        let Some(slot) = fact.claim.filter(|&slot| slot < slots && (fact.fenced || !is_new)) else { return };
        let taken = self.fencing.consents.iter().any(|one| one.slot == slot);
        let claimed = self
            .peers
            .iter()
            .any(|(&node, peer)| node != from && peer.statement.fenced && peer.statement.claim == Some(slot));
        if !taken && !claimed && self.fencing.claim() != Some(slot) {
            self.fencing.consents.push(Consent { slot, node: from, incarnation_bits });
        }
    }

    /// Claims a slot, fences this node, or lifts the fence.
    pub(super) fn update_fence(&mut self, out: &mut Vec<Output>) {
        let must_fence = self.must_fence();
        if self.fencing.fenced {
            let agrees = self.root().is_some() && self.root() == self.verdicts.majority;
            if self.fencing.lift_when_agreed && agrees && !must_fence {
                (self.fencing.fenced, self.fencing.claim, self.fencing.lift_when_agreed) =
                    (false, None, false);
                out.push(Output::Fence(None));
                out.push(Output::Notice(Notice::Unfenced));
            }
            return;
        }
        if !must_fence || !self.limits.fences {
            (self.fencing.claim, self.fencing.slots_tried) = (None, 0);
            return;
        }
        match self.fencing.claim {
            Some((slot, _)) if self.has_majority_consent(slot) => {
                lemoncleat_faults::point!(RULES_FENCE);
                self.fencing.fenced = true;
                out.push(Output::Fence(Some(self.limits.come_back)));
                out.push(Output::Notice(Notice::Fenced));
            }
            Some((_, since)) if self.now - since < CLAIM_TIMEOUT_US => {}
            _ => self.claim_next(out),
        }
    }

    fn has_majority_consent(&self, slot: u8) -> bool {
        let consent = Consent { slot, node: self.me, incarnation_bits: self.incarnation as u16 };
        let others = self.fresh().filter(|(_, peer)| peer.statement.consents.contains(&consent)).count();
        // A claim includes this node's own consent.
        2 * (others + 1) > self.members.len()
    }

    fn claim_next(&mut self, out: &mut Vec<Output>) {
        self.fencing.claim = None;
        // If this node started recently, all others may have too, and then they consent to nothing.
        let is_new = self.started.is_none_or(|started| self.now - started < self.limits.statement_lifetime);
        if is_new || self.now < self.fencing.next_claim_at {
            return;
        }
        let slots = self.fencing.slots;
        if self.fencing.slots_tried >= slots {
            // Several nodes that claim at the same time split the votes, so each retries after a different
            // time.
            let spread =
                Digest::of(&[self.now.to_le_bytes(), i64::from(self.me).to_le_bytes()].concat()).seed();
            let rest = CLAIM_ROUND_INTERVAL_US / 4 + (spread % CLAIM_ROUND_INTERVAL_US as u64) as Micros;
            (self.fencing.slots_tried, self.fencing.next_claim_at) = (0, self.now.saturating_add(rest));
            out.push(Output::Notice(Notice::FenceLimitReached));
            return;
        }
        let mut claims = BTreeMap::<u8, usize>::new();
        let others = self.fresh().filter_map(|(_, peer)| peer.statement.claim);
        others.chain(self.fencing.consents.iter().map(|one| one.slot)).for_each(|slot| {
            *claims.entry(slot).or_default() += 1;
        });
        // Prefers slots that no other node claims, starting at one that differs by node.
        let start = (self.me.wrapping_add(u32::from(self.fencing.slots_tried)) % u32::from(slots)) as u8;
        let order = (0..slots).map(|step| (start + step) % slots);
        let free = order.min_by_key(|slot| claims.get(slot).copied().unwrap_or(0));
        // A slot that this node granted to another cannot be claimed by it.
        let granted = |slot: &u8| self.fencing.consents.iter().any(|one| one.slot == *slot);
        self.fencing.slots_tried += 1;
        self.fencing.claim = free.filter(|slot| !granted(slot)).map(|slot| (slot, self.now));
    }
}
