//! The messages between distributors, encoded with postcard.

use serde::{Deserialize, Serialize};

use crate::ledger::{Announcement, Verdict};
use crate::limits::MAX_MESSAGE;
use crate::query::VersionCounts;

/// Call counters of a node, cumulative since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// All calls.
    pub calls: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that were lost: without an answer, or cut off.
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

/// The state of a canary or control during the trial of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Report {
    pub step: u64,
    pub in_force: bool,
    pub refused: Option<String>,
    pub calls: Calls,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// The sender's announcement, the time since the leader confirmed it (if it ever did), and the texts that
    /// the sender holds.
    Announce {
        announcement: Announcement,
        age_ms: Option<u32>,
        holds: [u64; 2],
    },
    /// The step of the sender's announcement, its age, and the texts that the sender holds.
    Beat {
        step: u64,
        age_ms: Option<u32>,
        holds: [u64; 2],
    },
    /// Requests the receiver's announcement.
    Ask,
    /// Requests the packed text of this version, from this byte offset on.
    Fetch {
        number: u64,
        at: u32,
    },
    Chunk {
        number: u64,
        at: u32,
        bytes: Vec<u8>,
    },
    /// The sender does not hold the requested text.
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
    /// Asks for the versions in force: the asking member, its query number, the hops from it, and the number
    /// of its settled version.
    Query {
        asker: u32,
        query: u64,
        depth: u8,
        newest: u64,
    },
    /// The answer to a query: the counts of the sender and of all members that it forwarded the query to.
    Counts {
        asker: u32,
        query: u64,
        counts: VersionCounts,
    },
}

impl Message {
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_MESSAGE {
            return None;
        }
        postcard::take_from_bytes(bytes).ok().and_then(|(message, rest)| rest.is_empty().then_some(message))
    }
}
