//! Queries for the versions in force: forwarded over the connections, with the counts summed on the way back.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::limits::{
    MAX_COUNTED_VERSIONS, MAX_LISTED_MEMBERS, MAX_QUERIES, MAX_REASON, QUERY_HOP_US, QUERY_MIN_TIMEOUT_US,
    QUERY_RETENTION_US, QUERY_TIMEOUT_US,
};
use crate::Micros;

/// A member that does not have the newest version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutdatedMember {
    /// The member's number.
    pub member: u32,
    /// The number of its version in force; 0 for the settings of its file.
    pub number: u64,
    /// The reason as far as the member knows it.
    pub reason: String,
}

/// The number of members per version in force, and at most 32 members that do not have the newest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// The number of members by the number of their version in force.
    pub versions: BTreeMap<u64, u32>,
    /// Some members that do not have the newest version in force.
    pub others: Vec<OutdatedMember>,
}

impl VersionCounts {
    fn fits(&self) -> bool {
        self.versions.len() <= MAX_COUNTED_VERSIONS
            && self.others.len() <= MAX_LISTED_MEMBERS
            && self.others.iter().all(|other| other.reason.len() <= MAX_REASON)
    }

    fn add(&mut self, other: VersionCounts) {
        for (number, count) in other.versions {
            // Versions beyond the limit are counted under the lowest number held.
            let counted_as =
                if self.versions.len() < MAX_COUNTED_VERSIONS || self.versions.contains_key(&number) {
                    number
                } else {
                    self.versions.keys().next().copied().unwrap_or(number)
                };
            let total = self.versions.entry(counted_as).or_default();
            *total = total.saturating_add(count);
        }
        let free = MAX_LISTED_MEMBERS.saturating_sub(self.others.len());
        self.others.extend(other.others.into_iter().take(free));
    }
}

/// A received query: the asking member with its query number, the hops from it, and whom to answer.
#[derive(Clone, Copy)]
pub(crate) struct Query {
    pub key: (u32, u64),
    pub depth: u8,
    pub newest: u64,
    pub parent: Option<u32>,
    pub conn: Option<u64>,
}

struct Pending {
    parent: Option<u32>,
    conn: Option<u64>,
    awaiting: BTreeSet<u32>,
    counts: VersionCounts,
    deadline: Micros,
    forget_at: Micros,
    done: bool,
}

/// A query that is finished at this node, and whom to answer.
pub(crate) struct Finished {
    pub key: (u32, u64),
    pub parent: Option<u32>,
    pub conn: Option<u64>,
    pub counts: VersionCounts,
}

/// The queries that a node has received.
#[derive(Default)]
pub(crate) struct Queries {
    pending: BTreeMap<(u32, u64), Pending>,
}

impl Queries {
    /// Starts a query. Returns false if it is already known or there are too many.
    pub fn start(&mut self, now: Micros, query: Query, awaiting: BTreeSet<u32>, own: VersionCounts) -> bool {
        let Query { key, depth, parent, conn, .. } = query;
        if self.pending.contains_key(&key) || self.pending.len() >= MAX_QUERIES {
            return false;
        }
        let wait = (QUERY_TIMEOUT_US - QUERY_HOP_US * Micros::from(depth)).max(QUERY_MIN_TIMEOUT_US);
        let (deadline, forget_at) = (now + wait, now + QUERY_RETENTION_US);
        self.pending
            .insert(key, Pending { parent, conn, awaiting, counts: own, deadline, forget_at, done: false });
        true
    }

    /// Adds the counts of a neighbour. Returns false if they are invalid or not awaited.
    pub fn receive(&mut self, key: (u32, u64), from: u32, counts: VersionCounts) -> bool {
        let Some(query) = self.pending.get_mut(&key).filter(|query| !query.done) else { return false };
        if !counts.fits() || !query.awaiting.remove(&from) {
            return false;
        }
        query.counts.add(counts);
        true
    }

    /// Stops waiting for a neighbour whose connection was closed.
    pub fn disconnected(&mut self, peer: u32) {
        for pending in self.pending.values_mut() {
            pending.awaiting.remove(&peer);
        }
    }

    /// Returns the queries that are complete or timed out, and forgets old ones.
    pub fn take_finished(&mut self, now: Micros) -> Vec<Finished> {
        self.pending.retain(|_, pending| !pending.done || now < pending.forget_at);
        let mut finished = Vec::new();
        for (key, pending) in &mut self.pending {
            if !pending.done && (pending.awaiting.is_empty() || now >= pending.deadline) {
                pending.done = true;
                let counts = std::mem::take(&mut pending.counts);
                finished.push(Finished { key: *key, parent: pending.parent, conn: pending.conn, counts });
            }
        }
        finished
    }

    pub fn wake(&self) -> Option<Micros> {
        self.pending.values().filter(|pending| !pending.done).map(|pending| pending.deadline).min()
    }
}
