//! Time limits and size limits of the protocol core. None of them affects the choice of a route.

use lemoncleat_core::Micros;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

/// The module's deadline is this much earlier than the caller's, so that its answer arrives in time.
pub const ANSWER_MARGIN_US: Micros = 30 * MS;
/// Maximum value of `X-Timer-Ms`, the time that a caller waits for an answer.
pub const MAX_CALLER_TIMER_MS: f64 = 600_000.0;
/// Interval between two maintenance runs.
pub const MAINTENANCE_INTERVAL_US: Micros = 100 * MS;
/// The event loop is considered to have stalled if a timer is served this late: at least one maintenance run
/// was missed.
pub const MIN_STALL_US: Micros = MAINTENANCE_INTERVAL_US;
/// After a stall, the module is given events once the journal service was read, or after this time: the 50 ms by
/// which the platform extends every time limit.
pub const CATCH_UP_LIMIT_US: Micros = 50 * MS;
/// A caller's connection is closed if it has received nothing useful for this long after it was accepted, or
/// if a message on it stays incomplete for this long.
pub const CALLER_MESSAGE_TIMEOUT_US: Micros = 2 * SECOND;
/// A caller's connection without an open set-up is closed after this time without a message, ...
pub const CALLER_IDLE_TIMEOUT_US: Micros = 10 * SECOND;
/// ... and after this time if an acknowledged call is established on it: there may be no other connection for
/// its release.
pub const CALLER_WITH_CALL_IDLE_TIMEOUT_US: Micros = 2 * CALLER_IDLE_TIMEOUT_US;
/// If a caller closes its connection, an answer that it has not acknowledged is treated as unread if it is
/// not older than this. An older answer without an ACK proves nothing: the ACK may have been lost, and the
/// call be in use.
pub const CROSSED_ANSWER_WINDOW_US: Micros = 500 * MS;
/// Number of unusable messages after which a caller's connection is closed.
pub const MAX_UNUSABLE_MESSAGES: u32 = 8;
/// An incomplete message from a server is given up after this time: the rest will not arrive.
pub const PARTIAL_MESSAGE_TIMEOUT_US: Micros = 400 * MS;
/// A connection becomes suspect if a set-up on it is given up after this time without anything received on
/// it.
pub const SUSPECT_SILENCE_US: Micros = 150 * MS;
/// A connection on which nothing was received for this long since a set-up was sent on it may be dead,
/// whatever the outcome of the set-up: other messages of its server need a further connection.
pub const UNANSWERED_CONN_TIMEOUT_US: Micros = 400 * MS;
/// Time limit of a dial if the settings give none.
pub const DEFAULT_DIAL_TIMEOUT_US: Micros = 500 * MS;
/// Pauses between dials to a server without a connection: the first, and the longest.
pub const REDIAL_PAUSE_US: (Micros, Micros) = (50 * MS, SECOND);
/// A server with established calls gets a new connection at this interval if nothing is received on the
/// connections of those calls. A release that was sent on a connection that died unnoticed is repeated on the
/// new one, and a machine that has vanished is detected. Servers report their state every second on open
/// connections, so a healthy connection is rarely silent for this long.
pub const FRESH_CONN_INTERVAL_US: Micros = 2 * SECOND;
/// Time limit for telling a caller that its call is over if no release could be sent for it.
pub const CALL_END_REPORT_LIMIT_US: Micros = 8 * SECOND;
/// The calls of a server that cannot be reached are considered lost after nothing was received from it for
/// this time.
pub const SERVER_LOST_TIMEOUT_US: Micros = 7 * SECOND;
/// The calls of a server that was silent, accepted no connection and came back are considered lost after nothing
/// was received on its earlier connections for this time. It leaves an outage of 6 s a second in which a process
/// that was cut off reports again.
pub const SERVER_RETURN_TIMEOUT_US: Micros = 7_500 * MS;
/// Maximum time between the reports that a server sends on its connections at the same time.
pub const REPORT_ROUND_US: Micros = 200 * MS;
/// Connections to a server without open set-ups, beyond the first few, are closed after this time.
pub const SERVER_CONN_IDLE_TIMEOUT_US: Micros = 6 * SECOND;
/// Number of connections to a server that are kept even when idle: as many as the server reports its free
/// lines on, provided that the fleet is small enough.
pub const IDLE_CONNS_KEPT: usize = 4;
/// The journal service sends its last event number every second; it counts as silent after this time.
pub const JOURNAL_SILENCE_TIMEOUT_US: Micros = 2_200 * MS;
/// Maximum number of connections to the journal service on which an answer is awaited at the same time.
pub const MAX_JOURNAL_CONNS: usize = 3;
/// Pauses between dials to the journal service: the first, and the longest.
pub const JOURNAL_REDIAL_PAUSE_US: (Micros, Micros) = (50 * MS, SECOND);
/// Time limit of a dial to the journal service.
pub const JOURNAL_DIAL_TIMEOUT_US: Micros = SECOND;
/// Maximum length of a line from the journal service.
pub const MAX_JOURNAL_LINE_BYTES: usize = 1 << 20;
/// A release that a caller has not confirmed is sent again on another connection after this time, ...
pub const RELEASE_RETRY_INTERVAL_US: Micros = 150 * MS;
/// ... up to this many times in total, ...
pub const MAX_RELEASE_SENDS: usize = 6;
/// ... and dropped after this time.
pub const RELEASE_RETENTION_US: Micros = 12 * SECOND;
/// How long releases of unknown calls are kept.
pub const UNKNOWN_RELEASE_RETENTION_US: Micros = 20 * SECOND;
/// Maximum number of entries in each of these tables.
pub const MAX_RELEASES: usize = 4_096;
/// Maximum number of unconfirmed releases of calls that callers only named, and that are sent again if the
/// connection is lost.
pub const MAX_NAMED_RELEASES: usize = 64;
/// Minimum duration of a shutdown, for set-ups that still arrive.
pub const MIN_SHUTDOWN_US: Micros = 900 * MS;
/// During a shutdown, releases of established calls are passed on for this long beyond the longest deadline.
pub const SHUTDOWN_RELEASE_GRACE_US: Micros = 20 * SECOND;
/// Interval between two log lines with the table sizes.
pub const TABLE_SIZES_LOG_INTERVAL_US: Micros = 10 * SECOND;
