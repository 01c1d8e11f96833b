//! Sends this node's windows to two judges, and receives windows of other nodes.

use lemoncleat::Micros;

use super::{Checker, Notice, Output, CHECK_INTERVAL_US};
use crate::version::Digest;
use crate::window::{Decider, Difference, Played, Unplayable};
use crate::words::{Message, PIECE_BYTES};

/// Maximum number of times that a piece is sent again.
const MAX_RESENDS: u32 = 5;
/// Maximum number of windows received from other nodes at the same time.
const MAX_INCOMING_WINDOWS: usize = 2;
/// Time after which a window that is incomplete or not judged is dropped, in microseconds.
const WINDOW_LIFETIME_US: Micros = 120_000_000;

/// A window of this node's own work.
pub(crate) struct OutgoingWindow {
    number: u32,
    id: u64,
    window: Vec<u8>,
    since: Micros,
    judges: Vec<Judge>,
    /// The difference that the judges agree on, while the window is played again here.
    agreed: Option<(Difference, [u32; 2])>,
}

struct Judge {
    node: u32,
    piece: u32,
    sent_at: Micros,
    resends: u32,
    /// Whether it has returned a result or was given up.
    done: bool,
    result: Option<Result<Played, Unplayable>>,
}

/// A window of another node.
pub(crate) struct IncomingWindow {
    id: u64,
    of: u32,
    next: u32,
    bytes: Vec<u8>,
    at: Micros,
}

impl OutgoingWindow {
    fn message(&self, index: u32) -> Option<Message> {
        let of = self.window.len().div_ceil(PIECE_BYTES) as u32;
        let bytes = self.window.chunks(PIECE_BYTES).nth(index as usize)?.to_vec();
        Some(Message::Piece { id: self.id, index, of, bytes })
    }
}

impl<D: Decider> Checker<D> {
    /// Starts to send one of this node's windows to two judges.
    pub(super) fn send_window(&mut self, number: u32, window: Vec<u8>, out: &mut Vec<Output>) {
        if self.outgoing.is_some() || window.is_empty() || window.len() > self.limits.max_window_bytes {
            return;
        }
        // Only nodes whose result counts: of this version, and in agreement with the majority on the
        // generated cases.
        let root = self.verdicts.majority.or(self.root());
        let eligible = |(node, peer): (u32, &super::PeerState)| {
            (peer.statement.version == self.version
                && peer.statement.root.is_some()
                && peer.statement.root == root)
                .then_some(node)
        };
        let mut eligible: Vec<u32> = self.fresh().filter_map(eligible).collect();
        // Different judges for each window, without a source of randomness.
        let pseudo_random_order =
            |node: &u32| Digest::of(&[self.me, number, *node].map(u32::to_le_bytes).concat());
        eligible.sort_by_cached_key(pseudo_random_order);
        let since = self.now;
        let judge = |node| Judge { node, piece: 0, sent_at: since, resends: 0, done: false, result: None };
        let judges: Vec<Judge> = eligible.into_iter().take(2).map(judge).collect();
        if judges.len() < 2 {
            return;
        }
        let id = Digest::of(&window).seed();
        let outgoing = OutgoingWindow { number, id, window, since, judges, agreed: None };
        if let Some(first) = outgoing.message(0) {
            outgoing.judges.iter().for_each(|judge| self.send(judge.node, &first, out));
        }
        self.outgoing = Some(outgoing);
    }

    pub(super) fn handle_piece_received(&mut self, from: u32, id: u64, index: u32, out: &mut Vec<Output>) {
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
        (judge.piece, judge.sent_at, judge.resends) = (index + 1, now, 0);
        if let Some(message) = outgoing.message(index + 1) {
            self.send(from, &message, out);
        }
    }

    /// Sends unacknowledged pieces again, and drops windows that take too long.
    pub(super) fn resend_pieces(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        self.incoming.retain(|_, incoming| now - incoming.at < WINDOW_LIFETIME_US);
        let Some(mut outgoing) = self.outgoing.take() else { return };
        let pieces = outgoing.window.len().div_ceil(PIECE_BYTES) as u32;
        let mut overdue = Vec::new();
        for judge in outgoing.judges.iter_mut().filter(|judge| !judge.done) {
            // Playing takes longer than a transfer; the last piece is repeated to request the result.
            let timeout = if judge.piece >= pieces { 10 * CHECK_INTERVAL_US } else { 2 * CHECK_INTERVAL_US };
            if now - judge.sent_at < timeout {
                continue;
            }
            (judge.resends, judge.sent_at) = (judge.resends + 1, now);
            judge.done = judge.resends > MAX_RESENDS;
            if !judge.done {
                overdue.push((judge.node, judge.piece.min(pieces.saturating_sub(1))));
            }
        }
        for (node, piece) in overdue {
            if let Some(message) = outgoing.message(piece) {
                self.send(node, &message, out);
            }
        }
        let finished = outgoing.agreed.is_none() && outgoing.judges.iter().all(|judge| judge.done);
        if !finished && now - outgoing.since < WINDOW_LIFETIME_US {
            self.outgoing = Some(outgoing);
        }
    }

    pub(super) fn handle_piece(
        &mut self,
        from: u32,
        id: u64,
        index: u32,
        of: u32,
        bytes: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        if let Some(&(_, result)) = self.judgements.get(&from).filter(|judged| judged.0 == id) {
            return self.send(from, &Message::Judged { id, result }, out);
        }
        let max_pieces = self.limits.max_window_bytes.div_ceil(PIECE_BYTES) as u32;
        if of == 0 || of > max_pieces || index >= of || bytes.len() > PIECE_BYTES {
            self.rejected_inputs += 1;
            return;
        }
        let other = self.incoming.get(&from).is_some_and(|incoming| incoming.id != id);
        if other {
            self.incoming.remove(&from);
        }
        if self.incoming.len() >= MAX_INCOMING_WINDOWS && !self.incoming.contains_key(&from) {
            return self.send(from, &Message::Busy { id }, out);
        }
        let fresh = IncomingWindow { id, of, next: 0, bytes: Vec::new(), at: self.now };
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
                    self.rejected_inputs += 1;
                    return;
                }
                lemoncleat_faults::point!(RULES_PLAY);
                out.push(Output::PlayWindow { from, id, window });
            }
        }
        self.send(from, &Message::PieceReceived { id, index }, out);
    }

    /// Handles a window that was played here: another node's, or this node's own a second time.
    pub(super) fn handle_played(
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
                self.report_own_window(number, difference, judges, result, out);
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
            // One of the nodes changed its rules meanwhile.
            Err(Unplayable::Version) => {}
            Err(why) => out.push(Output::Notice(Notice::Unplayable { node: from, id, why })),
        }
        self.judgements.insert(from, (id, result));
        self.send(from, &Message::Judged { id, result }, out);
    }

    /// Handles a judge's result for one of this node's windows; `None` if the judge was too busy.
    pub(super) fn handle_judgement(
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
        let results: Vec<_> =
            outgoing.judges.iter().filter_map(|judge| Some((judge.node, judge.result?))).collect();
        match results[..] {
            [(first, Ok(Played::Different(one))), (second, Ok(Played::Different(two)))] if one == two => {
                outgoing.agreed = Some((one, [first, second]));
                let window = outgoing.window.clone();
                out.push(Output::PlayWindow { from: self.me, id, window });
                return;
            }
            [(_, Ok(one)), (_, Ok(two))] if one != two => {
                out.push(Output::Notice(Notice::JudgesDisagree { number }))
            }
            _ => {}
        }
        self.outgoing = None;
    }
}
