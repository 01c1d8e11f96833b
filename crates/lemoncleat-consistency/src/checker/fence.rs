//! The fence, and the places at it.
//!
//! The share that may be fenced is made of numbered places. A node that ought to be fenced claims one in its fact
//! and takes it once more than half of all members consent. Each member consents to one node a place, until that
//! node gives it up. Two majorities have a member in common, so a place is never held twice, whatever is lost or
//! partitioned and whatever a checker believes; a node that is cut off fences nothing.

use std::collections::BTreeMap;

use lemoncleat::Micros;

use super::{Checker, Limits, Notice, Output};
use crate::version::Digest;
use crate::window::Decider;
use crate::words::{Consent, Word, MOST_SLOTS};

/// A claim is given up for the next place after this, in microseconds.
const PATIENCE: Micros = 10_000_000;
/// Time between two rounds of claims is a quarter of this to five quarters, in microseconds.
const REST: Micros = 60_000_000;

/// What is held of the fence.
pub(crate) struct Fencing {
    pub fenced: bool,
    pub consents: Vec<Consent>,
    /// How many places there are.
    slots: u8,
    /// The own claim and since when.
    claim: Option<(u8, Micros)>,
    tried: u8,
    /// No claim before this.
    next: Micros,
    /// New rules are in force, that lift the fence once they are proved.
    lifting: bool,
}

impl Fencing {
    pub fn new(limits: &Limits, members: usize) -> Fencing {
        let slots = members.saturating_mul(limits.share.min(100) as usize) / 100;
        let slots = slots.min(MOST_SLOTS.into()) as u8;
        let consents = Vec::new();
        Fencing { fenced: false, consents, slots, claim: None, tried: 0, next: Micros::MIN, lifting: false }
    }

    pub fn claim(&self) -> Option<u8> {
        self.claim.map(|(slot, _)| slot)
    }

    /// Other rules are in force: what was held against the node is void, a fence stays until they are proved.
    pub fn withdraw(&mut self) {
        (self.lifting, self.tried) = (self.fenced, 0);
        if !self.fenced {
            self.claim = None;
        }
    }
}

impl<D: Decider> Checker<D> {
    /// Heeds the claim of another.
    pub(super) fn consent(&mut self, from: u32, incarnation: u64, word: &Word) {
        let (slots, life) = (self.fencing.slots, incarnation as u16);
        let kept = |one: &Consent| one.node != from || one.life == life && word.claim == Some(one.slot);
        self.fencing.consents.retain(kept);
        // One that started of late may have forgotten to whom it consented; facts tell it meanwhile.
        let young = self.started.is_none_or(|started| self.now - started < self.limits.life);
        let Some(slot) = word.claim.filter(|&slot| slot < slots && (word.fenced || !young)) else { return };
        let taken = self.fencing.consents.iter().any(|one| one.slot == slot);
        let claimed = self
            .said
            .iter()
            .any(|(&node, said)| node != from && said.word.fenced && said.word.claim == Some(slot));
        if !taken && !claimed && self.fencing.claim() != Some(slot) {
            self.fencing.consents.push(Consent { slot, node: from, life });
        }
    }

    /// Claims, fences and lifts.
    pub(super) fn mind_fence(&mut self, out: &mut Vec<Output>) {
        let condemned = self.condemned();
        if self.fencing.fenced {
            let proved = self.root().is_some() && self.root() == self.verdicts.majority;
            if self.fencing.lifting && proved && !condemned {
                (self.fencing.fenced, self.fencing.claim, self.fencing.lifting) = (false, None, false);
                out.push(Output::Fence(None));
                out.push(Output::Notice(Notice::Unfenced));
            }
            return;
        }
        if !condemned || !self.limits.fences {
            (self.fencing.claim, self.fencing.tried) = (None, 0);
            return;
        }
        match self.fencing.claim {
            Some((slot, _)) if self.granted(slot) => {
                lemoncleat_faults::point!(RULES_FENCE);
                self.fencing.fenced = true;
                out.push(Output::Fence(Some(self.limits.come_back)));
                out.push(Output::Notice(Notice::Fenced));
            }
            Some((_, since)) if self.now - since < PATIENCE => {}
            _ => self.claim_next(out),
        }
    }

    fn granted(&self, slot: u8) -> bool {
        let consent = Consent { slot, node: self.me, life: self.incarnation as u16 };
        let others = self.fresh().filter(|(_, said)| said.word.consents.contains(&consent)).count();
        // The own consent is given by claiming.
        2 * (others + 1) > self.members.len()
    }

    fn claim_next(&mut self, out: &mut Vec<Output>) {
        self.fencing.claim = None;
        // While it is young so may all others be, and consent to nothing.
        let young = self.started.is_none_or(|started| self.now - started < self.limits.life);
        if young || self.now < self.fencing.next {
            return;
        }
        let slots = self.fencing.slots;
        if self.fencing.tried >= slots {
            // Several that ask at once split the votes; each comes back at a moment of its own.
            let apart =
                Digest::of(&[self.now.to_le_bytes(), i64::from(self.me).to_le_bytes()].concat()).seed();
            let rest = REST / 4 + (apart % REST as u64) as Micros;
            (self.fencing.tried, self.fencing.next) = (0, self.now.saturating_add(rest));
            out.push(Output::Notice(Notice::NotFenced));
            return;
        }
        let mut asked = BTreeMap::<u8, usize>::new();
        let others = self.fresh().filter_map(|(_, said)| said.word.claim);
        others.chain(self.fencing.consents.iter().map(|one| one.slot)).for_each(|slot| {
            *asked.entry(slot).or_default() += 1;
        });
        // Places that nobody asks for first, beginning at one that differs by node.
        let start = (self.me.wrapping_add(u32::from(self.fencing.tried)) % u32::from(slots)) as u8;
        let order = (0..slots).map(|step| (start + step) % slots);
        let free = order.min_by_key(|slot| asked.get(slot).copied().unwrap_or(0));
        // A place that this node granted to another is not its own to claim.
        let granted = |slot: &u8| self.fencing.consents.iter().any(|one| one.slot == *slot);
        self.fencing.tried += 1;
        self.fencing.claim = free.filter(|slot| !granted(slot)).map(|slot| (slot, self.now));
    }
}
