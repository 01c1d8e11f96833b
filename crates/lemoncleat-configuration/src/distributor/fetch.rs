//! Transfer of texts: fetches missing ones from neighbours and serves held ones.

use super::{Distributor, Notice, Output};
use crate::limits::CHUNK_BYTES;
use crate::message::Message;
use crate::packed::Version;
use crate::plant::{self, Plant};
use crate::Micros;

/// Beats for which a neighbour that did not answer is the last choice for a fetch.
const AVOID_BEATS: Micros = 5;

/// A text that is being fetched.
pub(super) struct Fetch {
    version: Version,
    peer: u32,
    bytes: Vec<u8>,
    pub(super) deadline: Micros,
}

impl Distributor {
    /// Starts to fetch the next missing text unless a fetch is under way. A fetch that got no answer in time
    /// is given up, and its neighbour avoided for a while.
    pub(super) fn fetch_missing(&mut self, now: Micros, out: &mut Vec<Output>) {
        let lacking = |version: &Version| self.packed(version).is_none();
        let missing = [self.wanted(), self.held.settled, self.held.trial];
        let missing: Vec<Version> = missing.into_iter().flatten().filter(lacking).collect();
        if let Some(fetch) = &self.fetch {
            let valid = self.peers.contains_key(&fetch.peer) && missing.contains(&fetch.version);
            if valid && now < fetch.deadline {
                return;
            }
            if valid {
                self.avoid_until
                    .insert((fetch.peer, fetch.version.number), now + AVOID_BEATS * self.timing.beat);
            }
            self.fetch = None;
        }
        let found =
            missing.into_iter().find_map(|version| Some((version, self.holder(now, version.number)?)));
        let Some((version, peer)) = found else { return };
        let deadline =
            if plant::is_active(Plant::NoFetchRetry) { Micros::MAX } else { now + self.timing.beat };
        self.fetch = Some(Fetch { version, peer, bytes: Vec::new(), deadline });
        self.send(peer, &Message::Fetch { number: version.number, at: 0 }, out);
    }

    /// Chooses a neighbour that holds a text. Voters come last; the order of the others differs from node to
    /// node.
    fn holder(&self, now: Micros, number: u64) -> Option<u32> {
        let holders = self.peers.iter().filter(|(_, peer)| peer.holds.contains(&number)).map(|(id, _)| *id);
        let avoided_until = |id: u32| self.avoid_until.get(&(id, number)).copied().unwrap_or(0);
        let rank = |id: &u32| {
            let order = (self.own ^ id.rotate_left(7)).wrapping_mul(0x9e37_79b1);
            (now < avoided_until(*id), self.voters.contains(id), order)
        };
        holders.filter(|id| avoided_until(*id) != Micros::MAX).min_by_key(rank)
    }

    /// Sends a chunk of a held text, or reports that the text is not held.
    pub(super) fn serve_chunk(&mut self, to: u32, number: u64, at: u32, out: &mut Vec<Output>) {
        let rest = self.texts.get(&number).and_then(|(_, packed)| packed.get(at as usize..));
        let message = match rest.filter(|rest| !rest.is_empty()) {
            Some(rest) => {
                let bytes = rest.iter().take(CHUNK_BYTES).copied().collect::<Vec<u8>>();
                self.stats.served_bytes += bytes.len() as u64;
                Message::Chunk { number, at, bytes }
            }
            None => Message::Lacks { number },
        };
        self.send(to, &message, out);
    }

    /// Handles a chunk of a text. Returns false if the chunk was not requested.
    pub(super) fn chunk_received(
        &mut self,
        now: Micros,
        from: u32,
        number: u64,
        at: u32,
        bytes: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(mut fetch) = self.fetch.take() else { return false };
        if (fetch.peer, fetch.version.number, fetch.bytes.len()) != (from, number, at as usize) {
            self.fetch = Some(fetch);
            return false;
        }
        let (version, length) = (fetch.version, fetch.version.packed as usize);
        let fits = !bytes.is_empty() && fetch.bytes.len() + bytes.len() <= length;
        fetch.bytes.extend(bytes);
        if fits && fetch.bytes.len() < length {
            let at = fetch.bytes.len() as u32;
            fetch.deadline = now + self.timing.beat;
            self.fetch = Some(fetch);
            self.send(from, &Message::Fetch { number, at }, out);
        } else if fits && version.text(&fetch.bytes).is_ok() {
            self.texts.insert(number, (version, fetch.bytes));
            let lacks = self.peers.iter().filter(|(_, peer)| !peer.holds.contains(&number));
            for to in lacks.map(|(id, _)| *id).collect::<Vec<_>>() {
                if !plant::is_active(Plant::Mute) {
                    self.send_beat(now, to, out);
                }
            }
        } else {
            self.avoid_until.insert((from, number), Micros::MAX);
            out.push(Output::Notice(Notice::WrongText(from, number)));
        }
        true
    }

    /// Handles the answer that a neighbour does not hold a text. Returns false if the text was not requested.
    pub(super) fn text_lacking(&mut self, _now: Micros, from: u32, number: u64) -> bool {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.holds.iter_mut().filter(|held| **held == number).for_each(|held| *held = 0);
        }
        let awaited = |fetch: &Fetch| (fetch.peer, fetch.version.number) == (from, number);
        let expected = self.fetch.as_ref().is_some_and(awaited);
        if expected {
            self.fetch = None;
        }
        expected
    }
}
