//! Texts: fetched from neighbours that hold them, served to those that ask.

use super::{Distributor, Notice, Output};
use crate::limits::CHUNK;
use crate::message::Word;
use crate::packed::Version;
use crate::plant::{self, Plant};
use crate::Micros;

/// Beats for which a neighbour that did not answer is asked last.
const AVOID: Micros = 5;

/// A text under way.
pub(super) struct Fetch {
    version: Version,
    peer: u32,
    bytes: Vec<u8>,
    pub(super) until: Micros,
}

impl Distributor {
    /// Goes on with the text under way, or begins with the next that is lacking.
    pub(super) fn pursue(&mut self, now: Micros, out: &mut Vec<Output>) {
        let lacking = |version: &Version| self.packed(version).is_none();
        let needs = [self.wanted(), self.held.settled, self.held.trial];
        let needs: Vec<Version> = needs.into_iter().flatten().filter(lacking).collect();
        if let Some(fetch) = &self.fetch {
            let stands = self.peers.contains_key(&fetch.peer) && needs.contains(&fetch.version);
            if stands && now < fetch.until {
                return;
            }
            if stands {
                self.avoid.insert((fetch.peer, fetch.version.number), now + AVOID * self.timing.beat);
            }
            self.fetch = None;
        }
        let found = needs.into_iter().find_map(|version| Some((version, self.holder(now, version.number)?)));
        let Some((version, peer)) = found else { return };
        let until = if plant::is(Plant::NoSecondFetch) { Micros::MAX } else { now + self.timing.beat };
        self.fetch = Some(Fetch { version, peer, bytes: Vec::new(), until });
        self.tell(peer, &Word::Fetch { number: version.number, at: 0 }, out);
    }

    /// A neighbour that holds a text: voters last, else in an order of each node's own.
    fn holder(&self, now: Micros, number: u64) -> Option<u32> {
        let holders = self.peers.iter().filter(|(_, peer)| peer.holds.contains(&number)).map(|(id, _)| *id);
        let avoided = |id: u32| self.avoid.get(&(id, number)).copied().unwrap_or(0);
        let place = |id: &u32| {
            let order = (self.own ^ id.rotate_left(7)).wrapping_mul(0x9e37_79b1);
            (now < avoided(*id), self.voters.contains(id), order)
        };
        holders.filter(|id| avoided(*id) != Micros::MAX).min_by_key(place)
    }

    /// Answers a neighbour that lacks a text.
    pub(super) fn serve(&mut self, to: u32, number: u64, at: u32, out: &mut Vec<Output>) {
        let rest = self.texts.get(&number).and_then(|(_, packed)| packed.get(at as usize..));
        let word = match rest.filter(|rest| !rest.is_empty()) {
            Some(rest) => {
                let bytes = rest.iter().take(CHUNK).copied().collect::<Vec<u8>>();
                self.stats.served_bytes += bytes.len() as u64;
                Word::Chunk { number, at, bytes }
            }
            None => Word::Lacks { number },
        };
        self.tell(to, &word, out);
    }

    /// A piece of a text; false if it is none that was asked for.
    pub(super) fn chunk(
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
        let (version, whole) = (fetch.version, fetch.version.packed as usize);
        let fits = !bytes.is_empty() && fetch.bytes.len() + bytes.len() <= whole;
        fetch.bytes.extend(bytes);
        if fits && fetch.bytes.len() < whole {
            let at = fetch.bytes.len() as u32;
            fetch.until = now + self.timing.beat;
            self.fetch = Some(fetch);
            self.tell(from, &Word::Fetch { number, at }, out);
        } else if fits && version.text(&fetch.bytes).is_ok() {
            self.texts.insert(number, (version, fetch.bytes));
            let lacks = self.peers.iter().filter(|(_, peer)| !peer.holds.contains(&number));
            for to in lacks.map(|(id, _)| *id).collect::<Vec<_>>() {
                if !plant::is(Plant::Mute) {
                    self.say_beat(now, to, out);
                }
            }
        } else {
            self.avoid.insert((from, number), Micros::MAX);
            out.push(Output::Notice(Notice::WrongText(from, number)));
        }
        true
    }

    /// A neighbour does not hold it after all.
    pub(super) fn lacks(&mut self, _now: Micros, from: u32, number: u64) -> bool {
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
