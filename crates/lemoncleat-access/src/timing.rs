//! Times and bounds of the protocol's work. None of them chooses a route.

use lemoncleat_core::Micros;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

/// The module's deadline lies this much before the caller's, so that its answer arrives in time.
pub const ANSWER_MARGIN: Micros = 30 * MS;
/// The longest time that a caller may say it waits.
pub const LONGEST_TIMER_MS: f64 = 600_000.0;
/// Between two looks at connections.
pub const SWEEP: Micros = 100 * MS;
/// A caller's connection that has brought nothing of use for this long after it was accepted is closed; so is
/// one whose message stays unfinished for as long.
pub const SILENT_CALLER: Micros = 2 * SECOND;
/// A caller's connection without an open set-up is closed after this long without a message, ...
pub const IDLE_CALLER: Micros = 10 * SECOND;
/// ... and after this long where an acknowledged call stands: there may be no other connection for its
/// release.
pub const HOLDING_CALLER: Micros = 2 * IDLE_CALLER;
/// An answer that its caller has not acknowledged when it closes its connection crossed the close if it is no
/// older than this. An older one without an ACK says nothing: the ACK may have been lost, and the call be in
/// use.
pub const CROSSED: Micros = 500 * MS;
/// Messages that can't be used before a caller's connection is closed.
pub const BAD_MESSAGES: u32 = 8;
/// A server's message stays unfinished for this long: the rest won't come.
pub const PARTIAL_ANSWER: Micros = 400 * MS;
/// A set-up given up after this, with nothing heard on its connection, makes the connection suspect.
pub const SILENCE: Micros = 150 * MS;
/// A connection on which nothing was heard for this long since a set-up went out there may be dead, whatever became
/// of the set-up: what else its server tells on it needs another way.
pub const MUTE: Micros = 400 * MS;
/// How long a dial takes at most where the settings say nothing.
pub const DIAL: Micros = 500 * MS;
/// Pauses between dials to a server that has no connection: the first, and the longest.
pub const REDIAL: (Micros, Micros) = (50 * MS, SECOND);
/// A server that holds calls and is not heard on a connection of theirs gets a new one this often: a release that
/// went out on one that has silently died comes on it again, and a machine that has vanished shows. Servers tell
/// their state every second on open connections, so a sound one is hardly ever silent for as long.
pub const CHECK: Micros = 2 * SECOND;
/// A server that can't be reached, and has said nothing for this long, has lost its calls.
pub const VANISHED: Micros = 7 * SECOND;
/// Connections to a server with nothing open on them, beyond the first few, are closed after this.
pub const IDLE_SERVER: Micros = 6 * SECOND;
/// Connections to a server that are kept however idle: as many as its news of free lines come on, where the fleet
/// is small enough for that.
pub const KEPT: usize = 4;
/// The journal service tells its last number every second; after this it counts as silent.
pub const JOURNAL_SILENT: Micros = 2_200 * MS;
/// Pauses between dials to the journal service: the first, and the longest.
pub const JOURNAL_REDIAL: (Micros, Micros) = (50 * MS, SECOND);
/// How long a dial to the journal service may take.
pub const JOURNAL_DIAL: Micros = SECOND;
/// The longest line of the journal service.
pub const JOURNAL_LINE: usize = 1 << 20;
/// A release that a caller did not confirm is sent again on another connection after this, ...
pub const RELEASE_AGAIN: Micros = 150 * MS;
/// ... this many times, ...
pub const RELEASE_TRIES: usize = 6;
/// ... and forgotten after this.
pub const RELEASE_KEPT: Micros = 12 * SECOND;
/// Releases of calls that nobody here knows yet are kept this long.
pub const UNKNOWN_KEPT: Micros = 20 * SECOND;
/// Releases kept in each of these tables at most.
pub const RELEASES: usize = 4_096;
/// A stopping node stays at least this long, for what still arrives.
pub const STOP_AFTER: Micros = 900 * MS;
/// A stopping node passes releases of standing calls on for this long beyond the longest deadline.
pub const STOP_STANDING: Micros = 20 * SECOND;
/// Between two lines of the log on the sizes of tables.
pub const TELL_TABLES: Micros = 10 * SECOND;
