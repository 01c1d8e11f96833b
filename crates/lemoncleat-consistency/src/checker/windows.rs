//! Windows on their way to two judges, and those of others on their way here.

use lemoncleat::Micros;

use super::{Checker, Notice, Output, LOOK};
use crate::version::Digest;
use crate::window::{Decider, Difference, Played, Unplayable};
use crate::words::{Message, PIECE};

/// A piece is sent so often.
const TRIES: u32 = 5;
/// Windows of others that are taken at once.
const MOST_INCOMING: usize = 2;
/// A window that is not whole, or not judged, after this is dropped, in microseconds.
const LIFE: Micros = 120_000_000;

/// An own window.
pub(crate) struct Outgoing {
    number: u32,
    id: u64,
    window: Vec<u8>,
    since: Micros,
    judges: Vec<Judge>,
    /// What the judges agree on while it is played again here.
    agreed: Option<(Difference, [u32; 2])>,
}

struct Judge {
    node: u32,
    piece: u32,
    sent: Micros,
    tries: u32,
    /// It is done with: judged, or given up.
    done: bool,
    result: Option<Result<Played, Unplayable>>,
}

/// A window of another.
pub(crate) struct Incoming {
    id: u64,
    of: u32,
    next: u32,
    bytes: Vec<u8>,
    at: Micros,
}

impl Outgoing {
    fn message(&self, index: u32) -> Option<Message> {
        let of = self.window.len().div_ceil(PIECE) as u32;
        let bytes = self.window.chunks(PIECE).nth(index as usize)?.to_vec();
        Some(Message::Piece { id: self.id, index, of, bytes })
    }
}

impl<D: Decider> Checker<D> {
    /// Begins to send an own window to two judges.
    pub(super) fn sealed(&mut self, number: u32, window: Vec<u8>, out: &mut Vec<Output>) {
        if self.outgoing.is_some() || window.is_empty() || window.len() > self.limits.window {
            return;
        }
        // Those whose word would count: of this version, and at one with most on the generated cases.
        let root = self.verdicts.majority.or(self.root());
        let able = |(node, said): (u32, &super::Said)| {
            (said.word.version == self.version && said.word.root.is_some() && said.word.root == root)
                .then_some(node)
        };
        let mut able: Vec<u32> = self.fresh().filter_map(able).collect();
        // Others each time, without a source of chance.
        let order = |node: &u32| Digest::of(&[self.me, number, *node].map(u32::to_le_bytes).concat());
        able.sort_by_cached_key(order);
        let since = self.now;
        let judge = |node| Judge { node, piece: 0, sent: since, tries: 0, done: false, result: None };
        let judges: Vec<Judge> = able.into_iter().take(2).map(judge).collect();
        if judges.len() < 2 {
            return;
        }
        let id = Digest::of(&window).seed();
        let outgoing = Outgoing { number, id, window, since, judges, agreed: None };
        if let Some(first) = outgoing.message(0) {
            outgoing.judges.iter().for_each(|judge| self.say(judge.node, &first, out));
        }
        self.outgoing = Some(outgoing);
    }

    pub(super) fn got(&mut self, from: u32, id: u64, index: u32, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(outgoing) = self.outgoing.as_mut().filter(|outgoing| outgoing.id == id) else {
            return;
        };
        let Some(judge) = outgoing.judges.iter_mut().find(|judge| judge.node == from && !judge.done) else {
            return;
        };
        if judge.piece != index {
            return;
        }
        (judge.piece, judge.sent, judge.tries) = (index + 1, now, 0);
        if let Some(message) = outgoing.message(index + 1) {
            self.say(from, &message, out);
        }
    }

    /// Sends again what was not acknowledged, and drops what takes too long.
    pub(super) fn resend(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        self.incoming.retain(|_, incoming| now - incoming.at < LIFE);
        let Some(mut outgoing) = self.outgoing.take() else { return };
        let pieces = outgoing.window.len().div_ceil(PIECE) as u32;
        let mut again = Vec::new();
        for judge in outgoing.judges.iter_mut().filter(|judge| !judge.done) {
            // Playing takes its time; asking for the result is asking with the last piece.
            let patience = if judge.piece >= pieces { 10 * LOOK } else { 2 * LOOK };
            if now - judge.sent < patience {
                continue;
            }
            (judge.tries, judge.sent) = (judge.tries + 1, now);
            judge.done = judge.tries > TRIES;
            if !judge.done {
                again.push((judge.node, judge.piece.min(pieces.saturating_sub(1))));
            }
        }
        for (node, piece) in again {
            if let Some(message) = outgoing.message(piece) {
                self.say(node, &message, out);
            }
        }
        let over = outgoing.agreed.is_none() && outgoing.judges.iter().all(|judge| judge.done);
        if !over && now - outgoing.since < LIFE {
            self.outgoing = Some(outgoing);
        }
    }

    pub(super) fn piece(
        &mut self,
        from: u32,
        id: u64,
        index: u32,
        of: u32,
        bytes: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        if let Some(&(_, result)) = self.judged.get(&from).filter(|judged| judged.0 == id) {
            return self.say(from, &Message::Judged { id, result }, out);
        }
        let most = self.limits.window.div_ceil(PIECE) as u32;
        if of == 0 || of > most || index >= of || bytes.len() > PIECE {
            self.unread += 1;
            return;
        }
        let other = self.incoming.get(&from).is_some_and(|incoming| incoming.id != id);
        if other {
            self.incoming.remove(&from);
        }
        if self.incoming.len() >= MOST_INCOMING && !self.incoming.contains_key(&from) {
            return self.say(from, &Message::Busy { id }, out);
        }
        let fresh = Incoming { id, of, next: 0, bytes: Vec::new(), at: self.now };
        let incoming = self.incoming.entry(from).or_insert(fresh);
        if of != incoming.of || index > incoming.next {
            return;
        }
        if index == incoming.next {
            incoming.bytes.extend_from_slice(&bytes);
            incoming.next += 1;
            if incoming.next == of {
                let window = std::mem::take(&mut incoming.bytes);
                if Digest::of(&window).seed() != id {
                    self.incoming.remove(&from);
                    self.unread += 1;
                    return;
                }
                lemoncleat_faults::point!(RULES_PLAY);
                out.push(Output::Play { from, id, window });
            }
        }
        self.say(from, &Message::Got { id, index }, out);
    }

    /// A window was played here: another's, or the own one a second time.
    pub(super) fn played(
        &mut self,
        from: u32,
        id: u64,
        result: Result<Played, Unplayable>,
        out: &mut Vec<Output>,
    ) {
        if from == self.me {
            let agreed = self.outgoing.take_if(|outgoing| outgoing.id == id);
            let agreed = agreed.and_then(|outgoing| Some((outgoing.number, outgoing.agreed?)));
            if let Some((number, (difference, judges))) = agreed {
                self.own_window(number, difference, judges, result, out);
            }
            return;
        }
        if self.incoming.remove(&from).is_none() {
            return;
        }
        match result {
            Ok(Played::Same) => {}
            Ok(Played::Different(difference)) => {
                out.push(Output::Notice(Notice::Window { node: from, id, difference }));
            }
            // One of them changed its rules meanwhile.
            Err(Unplayable::Version) => {}
            Err(why) => out.push(Output::Notice(Notice::Unplayable { node: from, id, why })),
        }
        self.judged.insert(from, (id, result));
        self.say(from, &Message::Judged { id, result }, out);
    }

    /// A judge's word on an own window; `None` where it has no time for it.
    pub(super) fn judged(
        &mut self,
        from: u32,
        id: u64,
        result: Option<Result<Played, Unplayable>>,
        out: &mut Vec<Output>,
    ) {
        let Some(outgoing) = self.outgoing.as_mut().filter(|outgoing| outgoing.id == id) else {
            return;
        };
        let Some(judge) = outgoing.judges.iter_mut().find(|judge| judge.node == from && !judge.done) else {
            return;
        };
        (judge.done, judge.result) = (true, result);
        if !outgoing.judges.iter().all(|judge| judge.done) {
            return;
        }
        let number = outgoing.number;
        let words: Vec<_> =
            outgoing.judges.iter().filter_map(|judge| Some((judge.node, judge.result?))).collect();
        match words[..] {
            [(first, Ok(Played::Different(one))), (second, Ok(Played::Different(two)))] if one == two => {
                outgoing.agreed = Some((one, [first, second]));
                let window = outgoing.window.clone();
                out.push(Output::Play { from: self.me, id, window });
                return;
            }
            [(_, Ok(one)), (_, Ok(two))] if one != two => out.push(Output::Notice(Notice::Split { number })),
            _ => {}
        }
        self.outgoing = None;
    }
}
