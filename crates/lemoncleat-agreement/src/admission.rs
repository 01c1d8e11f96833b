//! Decides whether a voter may vote with its store.
//!
//! A store has an identity. Voters record the identities of each other's stores durably before they accept
//! them. A new store votes only after all other voters have accepted it. A store that replaces a lost one
//! therefore meets at least one voter that knows the lost one, unless all voters lost theirs; in that case no
//! voter remembers a decision that could be contradicted.

use std::collections::BTreeSet;

use crate::StoreOwner;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoterState {
    /// It is asking the other voters to accept its store.
    Pending,
    /// It votes.
    Voting,
    /// Its store was lost: it only learns what was decided.
    StoreLost,
}

/// What is known of the stores of all voters.
pub(crate) struct Admission {
    pub owner: StoreOwner,
    pub state: VoterState,
    own_store: u64,
    accepted_by: BTreeSet<u64>,
}

pub(crate) enum Outcome {
    Unchanged,
    /// The owner record has changed and must be stored.
    Admitted,
    StoreLost,
}

impl Admission {
    pub fn new(owner: StoreOwner, own_store: u64) -> Admission {
        let state = if owner.admitted { VoterState::Voting } else { VoterState::Pending };
        Admission { owner, state, own_store, accepted_by: BTreeSet::new() }
    }

    /// Returns the voters that have not accepted this store yet.
    pub fn unconfirmed(&self) -> Vec<u64> {
        let others = self.owner.voters.iter().filter(|voter| **voter != self.owner.own);
        others.filter(|voter| !self.accepted_by.contains(voter)).copied().collect()
    }

    /// Handles the request of another voter to accept its store. Returns whether it is accepted, and whether
    /// the owner record has changed and must be stored before the answer. Returns none if this voter must not
    /// answer, since its own memory was lost.
    pub fn handle_request(&mut self, from: u64, store: u64) -> Option<(bool, bool)> {
        if self.state == VoterState::StoreLost {
            return None;
        }
        match self.owner.stores.get(&from) {
            Some(known) if *known == store => Some((true, false)),
            Some(_) if !planted!(AdmitsAnyStore) => Some((false, false)),
            _ => {
                self.owner.stores.insert(from, store);
                Some((true, true))
            }
        }
    }

    /// Handles the answer of another voter about the store `requested`.
    pub fn handle_response(&mut self, from: u64, requested: u64, accepted: bool) -> Outcome {
        if self.state != VoterState::Pending || requested != self.own_store {
            return Outcome::Unchanged;
        }
        if !accepted {
            self.state = VoterState::StoreLost;
            return Outcome::StoreLost;
        }
        self.accepted_by.insert(from);
        if !self.unconfirmed().is_empty() {
            return Outcome::Unchanged;
        }
        self.owner.admitted = true;
        self.state = VoterState::Voting;
        Outcome::Admitted
    }

    /// Returns whether messages from this store may be passed to the engine.
    pub fn accepts(&self, from: u64, store: u64) -> bool {
        planted!(AdmitsAnyStore) || self.owner.stores.get(&from) == Some(&store)
    }
}
