//! Limits and timing constants.

use crate::Micros;

/// Maximum length of a text, in bytes.
pub const MAX_TEXT: usize = 256 * 1024;
/// Maximum length of a packed text, in bytes. Together with its order it has to fit into a log command of 64
/// KiB.
pub const MAX_PACKED: usize = 48 * 1024;
/// Maximum length of an order's identifier, in bytes.
pub const MAX_ORDER: usize = 64;
/// Maximum length of a message, in bytes; the longest one is an order with its packed text.
pub const MAX_MESSAGE: usize = 56 * 1024;
/// Maximum length of a reason that is sent or stored, in bytes.
pub(crate) const MAX_REASON: usize = 160;
/// Bytes of a chunk. It bounds the delay of call messages that queue behind it on the same connection.
pub(crate) const CHUNK_BYTES: usize = 12 * 1024;
/// Maximum number of stored verdicts. Five voters can't have more orders pending within the order time-out.
pub(crate) const MAX_VERDICTS: usize = 64;
/// Maximum number of pending orders of a node, and of pending orders of other nodes at a voter.
pub(crate) const MAX_PENDING_ORDERS: usize = 64;
/// Maximum number of queries that a node remembers.
pub(crate) const MAX_QUERIES: usize = 64;
/// Maximum number of versions counted separately in an answer, and of members listed in it.
pub(crate) const MAX_COUNTED_VERSIONS: usize = 16;
pub(crate) const MAX_LISTED_MEMBERS: usize = 32;

/// Maximum time for which a starting node waits for a neighbour's announcement.
pub(crate) const START_WAIT_US: Micros = 2_000_000;
/// A neighbour whose state the leader confirmed within this time is recent enough to end that wait.
pub(crate) const START_LEADER_AGE_US: Micros = 60_000_000;
/// Time within which an operator's order has to be agreed.
pub(crate) const ORDER_TIMEOUT_US: Micros = 10_000_000;
/// Time-out of a query at the asking node, its reduction per hop, its minimum, and how long a query is
/// remembered.
pub(crate) const QUERY_TIMEOUT_US: Micros = 2_000_000;
pub(crate) const QUERY_HOP_US: Micros = 150_000;
pub(crate) const QUERY_MIN_TIMEOUT_US: Micros = 200_000;
pub(crate) const QUERY_RETENTION_US: Micros = 10_000_000;
/// Minimum interval between two notices of one kind, and between two attempts to persist a copy.
pub(crate) const NOTICE_INTERVAL_US: Micros = 60_000_000;
pub(crate) const PERSIST_RETRY_US: Micros = 10_000_000;

/// Canaries of a zone, and as many controls. With two, one of them may be absent.
pub(crate) const CANARIES_PER_ZONE: usize = 2;
/// Minimum number of calls for a meaningful share.
pub(crate) const MIN_CALLS: u64 = 20;
/// A share counts as worse if it exceeds the other by this difference and by this number of standard errors.
/// 3 standard errors give one false stop in 740 comparisons.
pub(crate) const MIN_EXCESS_SHARE: f64 = 0.02;
pub(crate) const MIN_EXCESS_ERRORS: f64 = 3.0;

/// Intervals that scale with the fleet's round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Interval between beats; also the time-out of a chunk and of an order sent to a voter.
    pub beat: Micros,
    /// Interval between reports. The leader's view is at most a third of the watch window old.
    pub report: Micros,
    /// How long canaries are watched. With 2 s to spread, a change reaches all members within half of the 10
    /// s allowed.
    pub watch_window: Micros,
    /// Time after which a trial is rolled back if too few canaries have it in force.
    pub canary_deadline: Micros,
}

impl Timing {
    pub fn new(round: Micros) -> Timing {
        let beat = round.clamp(200_000, 1_000_000);
        Timing { beat, report: beat / 2, watch_window: beat * 3 / 2, canary_deadline: beat * 4 }
    }
}
