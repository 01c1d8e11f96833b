//! What distributors tell each other, in postcard.

use serde::{Deserialize, Serialize};

use crate::ledger::{Announcement, Verdict};
use crate::limits::MAX_WORD;
use crate::query::Sums;

/// Calls of a node, cumulative since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Calls that came.
    pub calls: u64,
    /// Of these, refused.
    pub refused: u64,
    /// Of these, lost: without an answer, or cut.
    pub lost: u64,
}

impl Calls {
    pub(crate) fn since(self, before: Calls) -> Calls {
        Calls {
            calls: self.calls.saturating_sub(before.calls),
            refused: self.refused.saturating_sub(before.refused),
            lost: self.lost.saturating_sub(before.lost),
        }
    }
}

/// How a canary or control stands to the trial of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Report {
    pub step: u64,
    pub in_force: bool,
    pub refused: Option<String>,
    pub calls: Calls,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Word {
    /// The sender's announcement; how long ago the leader said so, if it ever heard; and the texts that it holds.
    Announce {
        announcement: Announcement,
        age_ms: Option<u32>,
        holds: [u64; 2],
    },
    /// The step of its announcement, the age, and the texts that it holds.
    Beat {
        step: u64,
        age_ms: Option<u32>,
        holds: [u64; 2],
    },
    /// Tell me your announcement.
    Ask,
    /// Send me the packed text of this number from this byte on.
    Fetch {
        number: u64,
        at: u32,
    },
    Chunk {
        number: u64,
        at: u32,
        bytes: Vec<u8>,
    },
    /// I don't hold it.
    Lacks {
        number: u64,
    },
    Report(Report),
    Order {
        order: String,
        parent: u64,
        packed: Vec<u8>,
    },
    Verdict {
        order: String,
        verdict: Verdict,
    },
    /// Who is in force at what: the asking member, its number for it, how far off it is, what it holds for settled.
    Query {
        asker: u32,
        query: u64,
        depth: u8,
        newest: u64,
    },
    /// The answer of all whom the sender asked in turn.
    Sums {
        asker: u32,
        query: u64,
        sums: Sums,
    },
}

impl Word {
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Word> {
        if bytes.len() > MAX_WORD {
            return None;
        }
        postcard::take_from_bytes(bytes).ok().and_then(|(word, rest)| rest.is_empty().then_some(word))
    }
}
