//! Who is in force at what: asked over the links on demand, summed on the way back.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::limits::{
    MAX_WHY, MOST_NUMBERS, MOST_OTHERS, MOST_QUERIES, QUERY_HOP, QUERY_LEAST, QUERY_MEMORY, QUERY_WAIT,
};
use crate::Micros;

/// A node that is not at the newest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Other {
    /// Which.
    pub member: u32,
    /// What it has in force; 0 for its file.
    pub number: u64,
    /// Why, if it knows.
    pub why: String,
}

/// Nodes by the number in force, and at most 32 of those that are not at the newest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// How many have which number in force.
    pub versions: BTreeMap<u64, u32>,
    /// Some that are not at the newest.
    pub others: Vec<Other>,
}

impl Sums {
    fn fits(&self) -> bool {
        self.versions.len() <= MOST_NUMBERS
            && self.others.len() <= MOST_OTHERS
            && self.others.iter().all(|other| other.why.len() <= MAX_WHY)
    }

    fn add(&mut self, more: Sums) {
        for (number, count) in more.versions {
            // Beyond the numbers told apart, the lowest stands for all below.
            let place = if self.versions.len() < MOST_NUMBERS || self.versions.contains_key(&number) {
                number
            } else {
                self.versions.keys().next().copied().unwrap_or(number)
            };
            let held = self.versions.entry(place).or_default();
            *held = held.saturating_add(count);
        }
        let room = MOST_OTHERS.saturating_sub(self.others.len());
        self.others.extend(more.others.into_iter().take(room));
    }
}

/// A query as it is heard: its asker and number, how far off that is, and whom to answer.
#[derive(Clone, Copy)]
pub(crate) struct Query {
    pub key: (u32, u64),
    pub depth: u8,
    pub newest: u64,
    pub parent: Option<u32>,
    pub conn: Option<u64>,
}

struct Asked {
    parent: Option<u32>,
    conn: Option<u64>,
    waits: BTreeSet<u32>,
    sums: Sums,
    until: Micros,
    forget: Micros,
    done: bool,
}

/// A query that is at its end here: whom to answer.
pub(crate) struct Done {
    pub key: (u32, u64),
    pub parent: Option<u32>,
    pub conn: Option<u64>,
    pub sums: Sums,
}

/// The queries that a node has heard of.
#[derive(Default)]
pub(crate) struct Queries {
    asked: BTreeMap<(u32, u64), Asked>,
}

impl Queries {
    /// A query heard; false if it was before, or there are too many.
    pub fn hear(&mut self, now: Micros, query: Query, waits: BTreeSet<u32>, own: Sums) -> bool {
        let Query { key, depth, parent, conn, .. } = query;
        if self.asked.contains_key(&key) || self.asked.len() >= MOST_QUERIES {
            return false;
        }
        let wait = (QUERY_WAIT - QUERY_HOP * Micros::from(depth)).max(QUERY_LEAST);
        let (until, forget) = (now + wait, now + QUERY_MEMORY);
        self.asked.insert(key, Asked { parent, conn, waits, sums: own, until, forget, done: false });
        true
    }

    /// A neighbour's sums; false if nobody waits for them.
    pub fn sums(&mut self, key: (u32, u64), from: u32, sums: Sums) -> bool {
        let Some(asked) = self.asked.get_mut(&key).filter(|asked| !asked.done) else { return false };
        if !sums.fits() || !asked.waits.remove(&from) {
            return false;
        }
        asked.sums.add(sums);
        true
    }

    /// Nobody waits for this neighbour any more.
    pub fn unlinked(&mut self, peer: u32) {
        for asked in self.asked.values_mut() {
            asked.waits.remove(&peer);
        }
    }

    /// The queries that are at their end.
    pub fn done(&mut self, now: Micros) -> Vec<Done> {
        self.asked.retain(|_, asked| !asked.done || now < asked.forget);
        let mut done = Vec::new();
        for (key, asked) in &mut self.asked {
            if !asked.done && (asked.waits.is_empty() || now >= asked.until) {
                asked.done = true;
                let sums = std::mem::take(&mut asked.sums);
                done.push(Done { key: *key, parent: asked.parent, conn: asked.conn, sums });
            }
        }
        done
    }

    pub fn wake(&self) -> Option<Micros> {
        self.asked.values().filter(|asked| !asked.done).map(|asked| asked.until).min()
    }
}
