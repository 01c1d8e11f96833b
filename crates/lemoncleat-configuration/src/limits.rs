//! Bounds and tuned values, each with its reason.

use crate::Micros;

/// Longest text, in bytes.
pub const MAX_TEXT: usize = 256 * 1024;
/// Longest packed text, in bytes: with its order one command of the log, which takes 64 KiB.
pub const MAX_PACKED: usize = 48 * 1024;
/// Longest name of an order, in bytes.
pub const MAX_ORDER: usize = 64;
/// Longest word, in bytes: an order with its packed text.
pub const MAX_WORD: usize = 56 * 1024;
/// Longest reason that travels or is kept, in bytes: a line.
pub(crate) const MAX_WHY: usize = 160;
/// Bytes of a chunk: calls' messages wait behind no longer word.
pub(crate) const CHUNK: usize = 12 * 1024;
/// Verdicts kept: more orders than that can't be under way at five voters within the operators' patience.
pub(crate) const MOST_VERDICTS: usize = 64;
/// Orders of one node, and of other nodes at a voter, that wait.
pub(crate) const MOST_ORDERS: usize = 64;
/// Queries remembered at a node.
pub(crate) const MOST_QUERIES: usize = 64;
/// Numbers told apart in an answer, and nodes named in it.
pub(crate) const MOST_NUMBERS: usize = 16;
pub(crate) const MOST_OTHERS: usize = 32;

/// How long a start waits for a neighbour.
pub(crate) const START_WAIT: Micros = 2_000_000;
/// A neighbour that heard of the leader within this is up to date enough to end that wait.
pub(crate) const START_FRESH: Micros = 60_000_000;
/// How long an operator's order may take to be agreed.
pub(crate) const PATIENCE: Micros = 10_000_000;
/// A query's whole wait, what each hop takes off it, the least that is left, and how long it is remembered.
pub(crate) const QUERY_WAIT: Micros = 2_000_000;
pub(crate) const QUERY_HOP: Micros = 150_000;
pub(crate) const QUERY_LEAST: Micros = 200_000;
pub(crate) const QUERY_MEMORY: Micros = 10_000_000;
/// Least span between two notices of one sort, and between two tries to keep a copy.
pub(crate) const NOTICE: Micros = 60_000_000;
pub(crate) const KEEP_AGAIN: Micros = 10_000_000;

/// Canaries, and as many controls, of a zone: one may be absent.
pub(crate) const CANARIES: usize = 2;
/// Fewer calls than this say nothing of a share.
pub(crate) const LEAST_CALLS: u64 = 20;
/// A share is worse if it is greater by this and by so many standard errors: 3 is one false stop in 740 looks.
pub(crate) const WORSE_BY: f64 = 0.02;
pub(crate) const WORSE_ERRORS: f64 = 3.0;

/// Spans that follow the fleet's round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// From one word to a neighbour in turn to the next; also the patience with a chunk and an order's voter.
    pub beat: Micros,
    /// From one report to the next: the leader's picture is at most a third of the window old.
    pub report: Micros,
    /// How long canaries are watched: with 2 s of spread a change is at all within half of the 10 s.
    pub window: Micros,
    /// When too few canaries stop a trial.
    pub late: Micros,
}

impl Timing {
    pub fn new(round: Micros) -> Timing {
        let beat = round.clamp(200_000, 1_000_000);
        Timing { beat, report: beat / 2, window: beat * 3 / 2, late: beat * 4 }
    }
}
