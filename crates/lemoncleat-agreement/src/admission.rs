//! Whether a voter may vote with the store that it has.
//!
//! A store has an identity. Voters note the identities of each other's stores, durably, before they welcome them.
//! A new store votes only when all other voters welcomed it; so one that replaces a lost store meets at least one
//! voter that knows the lost one, unless all voters lost theirs, and then nothing is left to contradict.

use std::collections::BTreeSet;

use crate::Place;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It asks the others.
    Asking,
    /// It votes.
    Voting,
    /// Its store was lost: it only learns.
    Lost,
}

/// What is known of stores.
pub(crate) struct Admission {
    pub place: Place,
    pub standing: Standing,
    own_store: u64,
    welcomed_by: BTreeSet<u64>,
}

pub(crate) enum Verdict {
    Nothing,
    /// The place changed and is to be stored.
    Admitted,
    Lost,
}

impl Admission {
    pub fn new(place: Place, own_store: u64) -> Admission {
        let standing = if place.admitted { Standing::Voting } else { Standing::Asking };
        Admission { place, standing, own_store, welcomed_by: BTreeSet::new() }
    }

    /// The voters that have not answered.
    pub fn unanswered(&self) -> Vec<u64> {
        let others = self.place.voters.iter().filter(|voter| **voter != self.place.own);
        others.filter(|voter| !self.welcomed_by.contains(voter)).copied().collect()
    }

    /// Another asks with a store; returns whether it is welcome, and whether the place changed and is to be stored
    /// before the answer. None: no answer, since this voter's own memory was lost.
    pub fn asked(&mut self, from: u64, store: u64) -> Option<(bool, bool)> {
        if self.standing == Standing::Lost {
            return None;
        }
        match self.place.stores.get(&from) {
            Some(known) if *known == store => Some((true, false)),
            Some(_) if !planted!(WelcomesAll) => Some((false, false)),
            _ => {
                self.place.stores.insert(from, store);
                Some((true, true))
            }
        }
    }

    /// Another answered about the store `asked`.
    pub fn answered(&mut self, from: u64, asked: u64, welcome: bool) -> Verdict {
        if self.standing != Standing::Asking || asked != self.own_store {
            return Verdict::Nothing;
        }
        if !welcome {
            self.standing = Standing::Lost;
            return Verdict::Lost;
        }
        self.welcomed_by.insert(from);
        if !self.unanswered().is_empty() {
            return Verdict::Nothing;
        }
        self.place.admitted = true;
        self.standing = Standing::Voting;
        Verdict::Admitted
    }

    /// Whether the engine may hear a message of this store.
    pub fn knows(&self, from: u64, store: u64) -> bool {
        planted!(WelcomesAll) || self.place.stores.get(&from) == Some(&store)
    }
}
