//! The messages and facts that nodes exchange about their rules.

use serde::{Deserialize, Serialize};

use crate::version::Digest;
use crate::window::{Played, Unplayable};

/// Maximum size of a fact, in bytes.
pub(crate) const MAX_FACT_BYTES: usize = 160;
/// Maximum size of a direct message, in bytes.
pub(crate) const MAX_DIRECT_BYTES: usize = 16 << 10;
/// Bytes of a window in one message; the remainder of the message is framing.
pub(crate) const PIECE_BYTES: usize = (16 << 10) - 64;
/// Maximum number of fence slots that fit in a fact.
pub(crate) const MAX_FENCE_SLOTS: u8 = 8;

/// The statement that a node publishes as its fact.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Statement {
    pub version: Digest,
    /// The root of its generated cases; `None` until they have been played.
    pub root: Option<Digest>,
    pub arithmetic: u32,
    /// The fence slot that it claims or holds.
    pub claim: Option<u8>,
    pub fenced: bool,
    pub consents: Vec<Consent>,
}

/// Returns the version in a node's fact, and the root of its cases once they have been played. `None` if the
/// fact cannot be decoded.
pub fn told(fact: &[u8]) -> Option<(Digest, Option<Digest>)> {
    decode::<Statement>(fact, MAX_FACT_BYTES).map(|statement| (statement.version, statement.root))
}

/// Consent for an incarnation of a node to take a fence slot. The consenting node gives it to no other node
/// meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Consent {
    pub slot: u8,
    pub node: u32,
    /// The lowest 16 bits of the incarnation.
    pub incarnation_bits: u16,
}

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Requests the children of a node of the tree.
    AskChildren {
        version: Digest,
        node: u32,
    },
    Children {
        version: Digest,
        node: u32,
        digests: [Digest; 2],
    },
    /// Requests the digests of a case's steps.
    AskCase {
        version: Digest,
        case: u32,
    },
    Case {
        version: Digest,
        case: u32,
        steps: Vec<u64>,
    },
    /// Requests the text of a step.
    AskStep {
        version: Digest,
        case: u32,
        step: u32,
    },
    Step {
        version: Digest,
        case: u32,
        step: u32,
        text: String,
    },
    /// Part of a window. Windows are identified by their digest, because a restarted node counts its windows
    /// from the start again.
    Piece {
        id: u64,
        index: u32,
        of: u32,
        bytes: Vec<u8>,
    },
    /// Acknowledges a piece.
    PieceReceived {
        id: u64,
        index: u32,
    },
    /// The result of playing a window.
    Judged {
        id: u64,
        result: Result<Played, Unplayable>,
    },
    /// The window is rejected because too many are waiting.
    Busy {
        id: u64,
    },
}

pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8], max_bytes: usize) -> Option<T> {
    (bytes.len() <= max_bytes).then(|| postcard::from_bytes(bytes).ok()).flatten()
}
