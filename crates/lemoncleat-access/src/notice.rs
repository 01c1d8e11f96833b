//! What a node tells its operators.

use std::fmt;
use std::net::SocketAddr;

use lemoncleat::{Sizes, View};

use crate::interface::Stats;

/// How much a notice matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Only for somebody who traces calls.
    Debug,
    /// The course of things.
    Info,
    /// Something outside is not as it should be.
    Warn,
    /// Something here is not as it should be.
    Error,
}

/// What a node tells its operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The module's own line.
    Module(String),
    /// One step of one call.
    Call {
        /// Its id.
        id: String,
        /// What happened.
        what: String,
    },
    /// A caller's connection was closed, and why.
    CallerClosed(&'static str),
    /// A server's connection is of no more use, and why.
    ServerConn {
        /// The server's name.
        server: String,
        /// What is wrong with it.
        why: &'static str,
        /// Set-ups that were open on it.
        open: usize,
    },
    /// Where a server stands, for who traces calls.
    Server {
        /// The server's name and where it listens.
        server: String,
        /// What the list says.
        listed: &'static str,
        /// Calls that stand there.
        standing: usize,
        /// Connections to it.
        conns: usize,
        /// Dials under way.
        dials: usize,
    },
    /// What a server told of its load, beside what the module took it to be like until then; for who traces calls.
    Told {
        /// The server's name.
        server: String,
        /// The report, as it came.
        report: String,
        /// The module's view.
        held: View,
    },
    /// A server can't be reached.
    Unreachable {
        /// The server's name.
        server: String,
        /// Nobody listens there; otherwise the dial took too long.
        refused: bool,
    },
    /// A server's standing calls are lost.
    CallsLost {
        /// The server's name.
        server: String,
        /// How many.
        calls: usize,
        /// How that is known.
        why: &'static str,
    },
    /// The journal service is heard again, from this number on.
    JournalUp(SocketAddr, u64),
    /// The journal service is not heard any more, and why.
    JournalDown(&'static str),
    /// A line of the journal service can't be read.
    JournalLine(String),
    /// The module did not answer a call in time; the guard did.
    Overdue(String),
    /// The node ends in order.
    Stopping {
        /// Set-ups without an answer.
        open: usize,
        /// Calls that stand.
        standing: usize,
    },
    /// Sizes of the tables.
    Tables {
        /// Callers' connections.
        callers: usize,
        /// Set-ups without an answer.
        open: usize,
        /// Calls that stand.
        standing: usize,
        /// Servers known.
        servers: usize,
        /// Connections to servers.
        server_conns: usize,
        /// Releases not yet heard by callers.
        releases: usize,
        /// Releases of calls that nobody here knows.
        unknown: usize,
        /// Timers set.
        timers: usize,
        /// What the module holds.
        module: Sizes,
        /// What was done so far.
        stats: Stats,
    },
}

impl Notice {
    /// How much it matters.
    pub fn level(&self) -> Level {
        match self {
            Notice::Call { .. } | Notice::CallerClosed(_) | Notice::Server { .. } | Notice::Told { .. } => {
                Level::Debug
            }
            Notice::Module(_)
            | Notice::JournalUp(..)
            | Notice::Stopping { .. }
            | Notice::Tables { .. }
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
            Notice::CallerClosed(why) => write!(f, "caller's connection closed: {why}"),
            Notice::ServerConn { server, why, open } => {
                write!(f, "connection to {server} given up: {why}, {open} set-ups open on it")
            }
            Notice::Server { server, listed, standing, conns, dials } => write!(
                f,
                "{server}: {listed}, {standing} calls stand, {conns} connections, {dials} dials"
            ),
            Notice::Told { server, report, held } => {
                write!(f, "{server} told {report}; held until then: ")?;
                match (held.free, held.lines) {
                    (Some(free), Some(lines)) => write!(f, "{free} of {lines} lines free")?,
                    _ => f.write_str("lines not known")?,
                }
                write!(f, ", wait {:.1} ms", held.wait as f64 / 1e3)?;
                match held.way {
                    Some(way) => write!(f, ", way {:.1} ms", way as f64 / 1e3)?,
                    None => f.write_str(", way not known")?,
                }
                f.write_str(if held.silent { ", silent" } else { "" })
            }
            Notice::Unreachable { server, refused: true } => write!(f, "{server} refuses connections"),
            Notice::Unreachable { server, refused: false } => write!(f, "{server} can't be reached"),
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
                stats.gone,
                stats.cut,
                stats.attempts,
                stats.bad_callers,
                stats.bad_servers,
                stats.overdue
            ),
        }
    }
}
