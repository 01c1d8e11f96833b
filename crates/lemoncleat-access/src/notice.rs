//! Log messages of an access node.

use std::fmt;
use std::net::SocketAddr;

use lemoncleat::{ServerView, Sizes};

use crate::interface::Stats;

/// Severity of a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Detail for tracing single calls.
    Debug,
    /// Normal operation.
    Info,
    /// A fault outside the node.
    Warn,
    /// A fault inside the node.
    Error,
}

/// Log messages of an access node.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A log line of the decision module.
    Module(String),
    /// A step in the handling of one call.
    Call {
        /// The Call-ID.
        id: String,
        /// What happened.
        what: String,
    },
    /// A caller's connection was closed, for the given reason.
    CallerClosed(&'static str),
    /// The node closed a connection to a call server.
    ServerConn {
        /// The server's name.
        server: String,
        /// Why it was closed.
        why: &'static str,
        /// Number of set-ups that were open on the connection.
        open: usize,
    },
    /// State of a call server, reported when calls are traced.
    Server {
        /// The server's name and address.
        server: String,
        /// State in the server list.
        state: &'static str,
        /// Number of established calls on the server.
        standing: usize,
        /// Number of connections to the server.
        conns: usize,
        /// Number of dials in progress.
        dials: usize,
    },
    /// A server's load report next to the view that the module held until then; reported when calls are
    /// traced.
    LoadReport {
        /// The server's name.
        server: String,
        /// The report as received.
        report: String,
        /// The module's view before the report.
        previous_view: ServerView,
    },
    /// A dial to a server failed.
    Unreachable {
        /// The server's name.
        server: String,
        /// `true` if the connection was refused, `false` if the dial timed out.
        refused: bool,
    },
    /// The address of a server belongs to another server now, which had accepted connections in the first one's
    /// name.
    AddressTakenOver {
        /// Name of the server that had the address.
        server: String,
        /// Name of the server that has it now.
        successor: String,
        /// Number of open connections that the latter accepted.
        conns: usize,
        /// Number of established calls that were set up there.
        calls: usize,
    },
    /// The established calls of a server are considered lost.
    CallsLost {
        /// The server's name.
        server: String,
        /// Number of calls.
        calls: usize,
        /// Why they are considered lost.
        why: &'static str,
    },
    /// The journal service at this address answers; events are read from this number on.
    JournalUp(SocketAddr, u64),
    /// The connection to the journal service was lost, for the given reason.
    JournalDown(&'static str),
    /// A line from the journal service could not be parsed.
    JournalLine(String),
    /// The module left a call without an answer; the deadline timer failed it. Carries the Call-ID.
    Overdue(String),
    /// The node has begun its orderly shutdown.
    Stopping {
        /// Number of unanswered set-ups.
        open: usize,
        /// Number of established calls.
        standing: usize,
    },
    /// Sizes of all tables.
    Tables {
        /// Number of callers' connections.
        callers: usize,
        /// Number of unanswered set-ups.
        open: usize,
        /// Number of established calls.
        standing: usize,
        /// Number of known servers.
        servers: usize,
        /// Number of connections to servers.
        server_conns: usize,
        /// Number of releases that callers have not confirmed.
        releases: usize,
        /// Number of remembered releases, ended calls and withdrawn set-ups that are not in the other tables.
        unknown: usize,
        /// Number of running timers.
        timers: usize,
        /// Sizes of the module's tables.
        module: Sizes,
        /// Counters since the start.
        stats: Stats,
    },
}

impl Notice {
    /// Returns the severity.
    pub fn level(&self) -> Level {
        match self {
            Notice::Call { .. }
            | Notice::CallerClosed(_)
            | Notice::Server { .. }
            | Notice::LoadReport { .. } => Level::Debug,
            Notice::Module(_)
            | Notice::JournalUp(..)
            | Notice::Stopping { .. }
            | Notice::Tables { .. }
            | Notice::AddressTakenOver { .. }
            | Notice::ServerConn { .. } => Level::Info,
            Notice::Unreachable { .. }
            | Notice::CallsLost { .. }
            | Notice::JournalDown(_)
            | Notice::JournalLine(_) => Level::Warn,
            Notice::Overdue(_) => Level::Error,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Module(text) => f.write_str(text),
            Notice::Call { id, what } => write!(f, "call {id}: {what}"),
            Notice::CallerClosed(why) => write!(f, "caller connection closed: {why}"),
            Notice::ServerConn { server, why, open } => {
                write!(f, "connection to {server} given up: {why}, {open} set-ups open on it")
            }
            Notice::Server { server, state, standing, conns, dials } => write!(
                f,
                "{server}: {state}, {standing} standing calls, {conns} connections, {dials} dials"
            ),
            Notice::LoadReport { server, report, previous_view } => {
                write!(f, "{server} told {report}; held until then: ")?;
                match (previous_view.free, previous_view.lines) {
                    (Some(free), Some(lines)) => write!(f, "{free} of {lines} lines free")?,
                    _ => f.write_str("lines not known")?,
                }
                write!(f, ", wait {:.1} ms", previous_view.wait as f64 / 1e3)?;
                match previous_view.way {
                    Some(way) => write!(f, ", round trip {:.1} ms", way as f64 / 1e3)?,
                    None => f.write_str(", round trip not known")?,
                }
                f.write_str(if previous_view.silent { ", silent" } else { "" })
            }
            Notice::Unreachable { server, refused: true } => write!(f, "{server} refuses connections"),
            Notice::Unreachable { server, refused: false } => write!(f, "{server} can't be reached"),
            Notice::AddressTakenOver { server, successor, conns, calls } => {
                write!(f, "{successor} has the address of {server}: {conns} connections and {calls} calls are its own")
            }
            Notice::CallsLost { server, calls, why } => {
                write!(f, "{calls} standing calls of {server} are lost: {why}")
            }
            Notice::JournalUp(address, pos) => write!(f, "journal service at {address} heard, from {pos} on"),
            Notice::JournalDown(why) => write!(f, "journal service not heard: {why}"),
            Notice::JournalLine(why) => write!(f, "journal service: {why}"),
            Notice::Overdue(id) => write!(f, "call {id} had no answer at its deadline: failed by the guard"),
            Notice::Stopping { open, standing } => {
                write!(f, "ending in order: {open} set-ups open, {standing} calls stand")
            }
            Notice::Tables {
                callers,
                open,
                standing,
                servers,
                server_conns,
                releases,
                unknown,
                timers,
                module,
                stats,
            } => write!(
                f,
                "holds: {callers} callers' connections, {open} set-ups, {standing} standing, {servers} servers, \
                 {server_conns} connections to them, {releases} releases to be heard, {unknown} of calls not known, \
                 {timers} timers, in the module {} servers, {} calls, {} of them waiting; so far: {} calls, \
                 {} stood, {} refused, {} failed, {} given up, {} cut, \
                 {} attempts, {} bad from callers, {} from servers, {} overdue",
                module.servers,
                module.calls,
                module.waiting,
                stats.calls,
                stats.stood,
                stats.refused,
                stats.failed,
                stats.given_up,
                stats.cut,
                stats.attempts,
                stats.bad_caller_messages,
                stats.bad_server_messages,
                stats.overdue
            ),
        }
    }
}
