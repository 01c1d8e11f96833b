//! What nodes say to each other about their rules.

use serde::{Deserialize, Serialize};

use crate::version::Digest;
use crate::window::{Played, Unplayable};

/// Most bytes of a fact.
pub(crate) const MOST_FACT: usize = 160;
/// Most bytes of a direct message.
pub(crate) const MOST_DIRECT: usize = 16 << 10;
/// Bytes of a window in one message; the rest is its frame.
pub(crate) const PIECE: usize = (16 << 10) - 64;
/// Most places at the fence that a fact has room to speak of.
pub(crate) const MOST_SLOTS: u8 = 8;

/// A node's fact.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Word {
    pub version: Digest,
    /// The root of its generated cases; `None` until they are played.
    pub root: Option<Digest>,
    pub arithmetic: u32,
    /// The place at the fence that it asks for or has.
    pub claim: Option<u8>,
    pub fenced: bool,
    pub consents: Vec<Consent>,
}

/// What a node's fact tells: its version, and the root of its cases once they are played. `None` where it can't be
/// read.
pub fn told(fact: &[u8]) -> Option<(Digest, Option<Digest>)> {
    read::<Word>(fact, MOST_FACT).map(|word| (word.version, word.root))
}

/// Leave for a node's incarnation to take a place at the fence. No other gets it from the same node meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Consent {
    pub slot: u8,
    pub node: u32,
    /// The last 16 bits of the incarnation.
    pub life: u16,
}

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Wants the children of a node of the tree.
    Ask {
        version: Digest,
        node: u32,
    },
    Children {
        version: Digest,
        node: u32,
        digests: [Digest; 2],
    },
    /// Wants the digests of a case's steps.
    AskCase {
        version: Digest,
        case: u32,
    },
    Case {
        version: Digest,
        case: u32,
        steps: Vec<u64>,
    },
    /// Wants a step's text.
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
    /// Part of a window. Windows are named by their digest: a node that starts anew counts anew.
    Piece {
        id: u64,
        index: u32,
        of: u32,
        bytes: Vec<u8>,
    },
    /// It came.
    Got {
        id: u64,
        index: u32,
    },
    /// What a window came to.
    Judged {
        id: u64,
        result: Result<Played, Unplayable>,
    },
    /// The window is not wanted: too much is waiting.
    Busy {
        id: u64,
    },
}

pub(crate) fn write(words: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(words).unwrap_or_default()
}

pub(crate) fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8], most: usize) -> Option<T> {
    (bytes.len() <= most).then(|| postcard::from_bytes(bytes).ok()).flatten()
}
