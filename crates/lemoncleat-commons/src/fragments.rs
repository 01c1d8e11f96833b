//! Fragmentation of messages that are longer than the carrier accepts. Fragments arrive in order or not at
//! all: if the connection is lost in between, the message is lost and its sender has to repeat it.

use std::collections::BTreeMap;

use lemoncleat_fleet::MemberId;
use serde::{Deserialize, Serialize};

/// Bytes of a fragment: the carrier's maximum message, less its overhead.
const FRAGMENT_BYTES: usize = 24 * 1024;
/// Maximum number of fragments of a message, half a MiB in all: less than the write queue of a peer holds.
const MAX_FRAGMENTS: usize = 22;

/// A message between the parts of two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// A message of the agreement protocol.
    Agreement(Vec<u8>),
    /// A command that the receiving voter is to propose.
    Propose(Vec<u8>),
    /// A fragment of a message: its index, the number of fragments, and its bytes.
    Fragment { id: u32, part: u16, of: u16, bytes: Vec<u8> },
    /// A message between the checkers of the members' rules.
    Rules(Vec<u8>),
    /// A message between the distributors of the configuration.
    Configuration(Vec<u8>),
}

/// Splits messages into fragments and reassembles them.
#[derive(Default)]
pub(crate) struct Fragmenter {
    next: u32,
    /// The message of each member that is being reassembled: its number, fragments so far, and bytes.
    partial: BTreeMap<MemberId, (u32, u16, Vec<u8>)>,
}

impl Fragmenter {
    /// Returns the frames that carry a message; none if it is too long.
    pub(crate) fn split(&mut self, message: &PeerMessage) -> Vec<Vec<u8>> {
        let Ok(bytes) = postcard::to_allocvec(message) else { return Vec::new() };
        if bytes.len() <= FRAGMENT_BYTES {
            return vec![bytes];
        }
        let of = bytes.len().div_ceil(FRAGMENT_BYTES);
        if of > MAX_FRAGMENTS {
            return Vec::new();
        }
        self.next = self.next.wrapping_add(1);
        let fragment = |(part, bytes): (usize, &[u8])| {
            let (part, of) = (part as u16, of as u16);
            postcard::to_allocvec(&PeerMessage::Fragment { id: self.next, part, of, bytes: bytes.to_vec() })
        };
        bytes.chunks(FRAGMENT_BYTES).enumerate().filter_map(|part| fragment(part).ok()).collect()
    }

    /// Handles a received frame. Returns the message that it completes, if any; none if it can't be decoded.
    pub(crate) fn reassemble(&mut self, from: MemberId, frame: &[u8]) -> Option<PeerMessage> {
        match postcard::from_bytes(frame).ok()? {
            PeerMessage::Fragment { id, part, of, bytes } => {
                let (_, received, mut assembled) = match self.partial.remove(&from) {
                    Some(partial) if partial.0 == id && partial.1 == part => partial,
                    _ if part == 0 => (id, 0, Vec::new()),
                    _ => return None,
                };
                if usize::from(of) > MAX_FRAGMENTS || bytes.len() > FRAGMENT_BYTES || part >= of {
                    return None;
                }
                assembled.extend_from_slice(&bytes);
                if part + 1 < of {
                    self.partial.insert(from, (id, received + 1, assembled));
                    return None;
                }
                postcard::from_bytes(&assembled)
                    .ok()
                    .filter(|message| !matches!(message, PeerMessage::Fragment { .. }))
            }
            message => Some(message),
        }
    }

    /// Drops the partial message of a member whose connection was lost.
    pub(crate) fn forget(&mut self, from: MemberId) {
        self.partial.remove(&from);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FROM: MemberId = MemberId(7);

    #[test]
    fn fragmented_message_is_reassembled_completely_or_dropped() {
        let mut fragmenter = Fragmenter::default();
        let long = PeerMessage::Agreement((0..100_000u32).map(|at| at as u8).collect());
        let frames = fragmenter.split(&long);
        assert!(frames.len() > 3 && frames.iter().all(|frame| frame.len() < 32 * 1024));
        let received: Vec<_> = frames.iter().filter_map(|frame| fragmenter.reassemble(FROM, frame)).collect();
        assert_eq!(received, [long]);
        // Without its second fragment the message is lost, and the next one arrives.
        let received = frames.iter().enumerate().filter(|(at, _)| *at != 1);
        assert_eq!(received.filter_map(|(_, frame)| fragmenter.reassemble(FROM, frame)).count(), 0);
        assert_eq!(frames.iter().filter_map(|frame| fragmenter.reassemble(FROM, frame)).count(), 1);
        // The message is lost with its connection.
        fragmenter.reassemble(FROM, &frames[0]);
        fragmenter.forget(FROM);
        assert_eq!(frames[1..].iter().filter_map(|frame| fragmenter.reassemble(FROM, frame)).count(), 0);
    }

    #[test]
    fn too_long_or_malformed_messages_are_dropped() {
        let mut fragmenter = Fragmenter::default();
        assert!(fragmenter
            .split(&PeerMessage::Agreement(vec![0; FRAGMENT_BYTES * MAX_FRAGMENTS + 1]))
            .is_empty());
        assert_eq!(fragmenter.reassemble(FROM, &[]), None);
        assert_eq!(fragmenter.reassemble(FROM, &[99, 1, 2]), None);
        let invalid = PeerMessage::Fragment { id: 1, part: 3, of: 2, bytes: vec![] };
        assert_eq!(fragmenter.reassemble(FROM, &postcard::to_allocvec(&invalid).expect("encodes")), None);
        let inner = postcard::to_allocvec(&invalid).expect("encodes");
        let nested = PeerMessage::Fragment { id: 1, part: 0, of: 1, bytes: inner };
        assert_eq!(fragmenter.reassemble(FROM, &postcard::to_allocvec(&nested).expect("encodes")), None);
    }
}
