//! Words that are longer than the carrier takes, in pieces. They come in order or not at all: a connection that is
//! lost in between loses the word, and whoever sent it says it again.

use std::collections::BTreeMap;

use lemoncleat_fleet::MemberId;
use serde::{Deserialize, Serialize};

/// Bytes of a piece: a carrier's word less what stands around it.
const PIECE: usize = 24 * 1024;
/// Most pieces of a word, half a MiB in all: less than may wait to be written to a peer.
const MOST: usize = 22;

/// What one node's part in the fleet says to another's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Errand {
    /// Between the agreement's cores.
    Agreement(Vec<u8>),
    /// A command to be proposed by a voter.
    Propose(Vec<u8>),
    /// A part of an errand: which, of how many, and its bytes.
    Piece { errand: u32, part: u16, of: u16, bytes: Vec<u8> },
    /// Between the checkers of the members' rules.
    Rules(Vec<u8>),
    /// Between the distributors of the configuration.
    Configuration(Vec<u8>),
}

/// Takes errands apart and puts them together.
#[derive(Default)]
pub(crate) struct Pieces {
    next: u32,
    /// One errand of each member may be under way.
    coming: BTreeMap<MemberId, (u32, u16, Vec<u8>)>,
}

impl Pieces {
    /// An errand as the words that carry it; none if it is too long.
    pub(crate) fn split(&mut self, errand: &Errand) -> Vec<Vec<u8>> {
        let Ok(bytes) = postcard::to_allocvec(errand) else { return Vec::new() };
        if bytes.len() <= PIECE {
            return vec![bytes];
        }
        let of = bytes.len().div_ceil(PIECE);
        if of > MOST {
            return Vec::new();
        }
        self.next = self.next.wrapping_add(1);
        let piece = |(part, bytes): (usize, &[u8])| {
            let (part, of) = (part as u16, of as u16);
            postcard::to_allocvec(&Errand::Piece { errand: self.next, part, of, bytes: bytes.to_vec() })
        };
        bytes.chunks(PIECE).enumerate().filter_map(|part| piece(part).ok()).collect()
    }

    /// A word that came: the errand that is whole with it, if one is; none also if it can't be read.
    pub(crate) fn join(&mut self, from: MemberId, word: &[u8]) -> Option<Errand> {
        match postcard::from_bytes(word).ok()? {
            Errand::Piece { errand, part, of, bytes } => {
                let (_, have, mut whole) = match self.coming.remove(&from) {
                    Some(coming) if coming.0 == errand && coming.1 == part => coming,
                    _ if part == 0 => (errand, 0, Vec::new()),
                    _ => return None,
                };
                if usize::from(of) > MOST || bytes.len() > PIECE || part >= of {
                    return None;
                }
                whole.extend_from_slice(&bytes);
                if part + 1 < of {
                    self.coming.insert(from, (errand, have + 1, whole));
                    return None;
                }
                postcard::from_bytes(&whole).ok().filter(|errand| !matches!(errand, Errand::Piece { .. }))
            }
            errand => Some(errand),
        }
    }

    /// The member's connection is lost, and with it the rest of what was coming.
    pub(crate) fn forget(&mut self, from: MemberId) {
        self.coming.remove(&from);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FROM: MemberId = MemberId(7);

    #[test]
    fn a_long_errand_comes_whole_or_not_at_all() {
        let mut pieces = Pieces::default();
        let long = Errand::Agreement((0..100_000u32).map(|at| at as u8).collect());
        let words = pieces.split(&long);
        assert!(words.len() > 3 && words.iter().all(|word| word.len() < 32 * 1024));
        let come: Vec<_> = words.iter().filter_map(|word| pieces.join(FROM, word)).collect();
        assert_eq!(come, [long]);
        // Without its second piece it never comes, and the next one does.
        let come = words.iter().enumerate().filter(|(at, _)| *at != 1);
        assert_eq!(come.filter_map(|(_, word)| pieces.join(FROM, word)).count(), 0);
        assert_eq!(words.iter().filter_map(|word| pieces.join(FROM, word)).count(), 1);
        // Lost with the connection in between.
        pieces.join(FROM, &words[0]);
        pieces.forget(FROM);
        assert_eq!(words[1..].iter().filter_map(|word| pieces.join(FROM, word)).count(), 0);
    }

    #[test]
    fn what_is_too_long_or_no_errand_is_nothing() {
        let mut pieces = Pieces::default();
        assert!(pieces.split(&Errand::Agreement(vec![0; PIECE * MOST + 1])).is_empty());
        assert_eq!(pieces.join(FROM, &[]), None);
        assert_eq!(pieces.join(FROM, &[99, 1, 2]), None);
        let lie = Errand::Piece { errand: 1, part: 3, of: 2, bytes: vec![] };
        assert_eq!(pieces.join(FROM, &postcard::to_allocvec(&lie).expect("a word")), None);
        let nested = postcard::to_allocvec(&lie).expect("a word");
        let nest = Errand::Piece { errand: 1, part: 0, of: 1, bytes: nested };
        assert_eq!(pieces.join(FROM, &postcard::to_allocvec(&nest).expect("a word")), None);
    }
}
