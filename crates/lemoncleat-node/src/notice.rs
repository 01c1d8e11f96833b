//! Notices for operators, which the driver renders as log lines.

use std::fmt;
use std::sync::Arc;

use lemoncleat_diameter::{ConnId, DisconnectCause, DownReason, FrameError, Micros};

/// The severity of a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Traces a single call.
    Debug,
    /// Normal operation.
    Info,
    /// A problem that the node handled.
    Warn,
    /// A limit was reached, or a safeguard of last resort took effect.
    Error,
}

/// An event worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A peer is open and in use.
    PeerUsable(Arc<str>),
    /// A peer stopped answering its watchdog.
    PeerSuspect(Arc<str>),
    /// A peer asked to end the connection.
    PeerDraining(Arc<str>, DisconnectCause),
    /// A peer's connection is closed.
    PeerDown(Arc<str>, DownReason),
    /// A connection with a peer could not be established.
    PeerRefused(Arc<str>, String),
    /// A peer's process restarted and lost its sessions.
    PeerRestarted(Arc<str>),
    /// An unknown peer connected.
    UnknownPeer(ConnId, String),
    /// A connection sent data that is not Diameter.
    MalformedStream(ConnId, FrameError),
    /// A connection sent nothing, or something other than a CER, as its first message.
    NoCapabilities(ConnId),
    /// A request was rejected as invalid.
    BadRequest(Arc<str>, u32, String),
    /// An answer matches no request.
    UnknownAnswer(Arc<str>, u32),
    /// An answer to a set-up can't be parsed completely, or belongs to another call. The session that it may
    /// have established is released.
    BadAnswer(Arc<str>, u32),
    /// A set-up that was given up succeeded late and is released.
    LateAnswer(Arc<str>),
    /// The server list changed.
    ListUpdated {
        /// Number of servers that accept new work.
        ready: usize,
        /// Number of servers that are draining.
        draining: usize,
    },
    /// The connection limit is reached: this connection was closed.
    ConnectionLimitReached(ConnId),
    /// The call limit is reached: a call of this client was refused.
    CallLimitReached(Arc<str>),
    /// The write queue toward a peer is full.
    QueueFull(Arc<str>),
    /// A message to a member exceeds the maximum length, with its length in bytes.
    WordTooLong(Arc<str>, usize),
    /// The deadline guard failed a call that the module had not answered in time.
    DeadlineGuard(u64),
    /// An answer was withheld because its caller's deadline had passed.
    AnswerWithheld {
        /// The call's Session-Id.
        session: Arc<str>,
        /// The answer's Result-Code.
        result: u32,
        /// By how much the deadline was missed, in microseconds.
        late: Micros,
    },
    /// The event loop had no turn for a while, and the backlog has been read.
    LoopGap {
        /// From the last turn before the gap to the first one after it, in microseconds.
        time: Micros,
        /// Number of set-ups that arrived meanwhile.
        set_ups: usize,
        /// Number of answers withheld because their caller's deadline had passed.
        withheld: u64,
    },
    /// A peer's trunk group differs from its configuration at this node.
    CircuitsDiffer(Arc<str>, String),
    /// An audit corrected the state of a circuit.
    CircuitCorrected(Arc<str>, u32, String),
    /// A log line of the decision module.
    Module(String),
    /// A step of a call, with its Session-Id.
    Call(u64, Arc<str>, CallStep),
    /// The node is stopping, with this many calls standing.
    Stopping(usize),
}

/// A step of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStep {
    /// It arrived from a client.
    Arrived(Arc<str>),
    /// It was sent to a server.
    Sent(Arc<str>),
    /// An attempt ended without success.
    AttemptFailed(lemoncleat::Outcome),
    /// It was established.
    Established,
    /// It was answered with a failure.
    Answered(u32),
    /// It ended.
    Ended(&'static str),
}

impl Notice {
    /// Returns the severity.
    pub fn level(&self) -> Level {
        match self {
            Notice::Call(..) => Level::Debug,
            Notice::PeerUsable(_) | Notice::ListUpdated { .. } | Notice::Module(_) | Notice::Stopping(_) => {
                Level::Info
            }
            Notice::PeerDown(_, DownReason::Disconnected) => Level::Info,
            Notice::LateAnswer(_) | Notice::UnknownAnswer(..) => Level::Info,
            Notice::DeadlineGuard(_) => Level::Error,
            _ => Level::Warn,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::PeerUsable(host) => write!(f, "peer {host} is open"),
            Notice::PeerSuspect(host) => {
                write!(f, "peer {host} left a watchdog unanswered: nothing new is sent")
            }
            Notice::PeerDraining(host, cause) => write!(f, "peer {host} disconnects: {cause:?}"),
            Notice::PeerDown(host, reason) => write!(f, "peer {host} is down: {reason:?}"),
            Notice::PeerRefused(host, why) => write!(f, "no connection with peer {host}: {why}"),
            Notice::PeerRestarted(host) => write!(f, "peer {host} started anew: its calls are cut"),
            Notice::UnknownPeer(conn, host) => {
                write!(f, "connection {}: {host:?} is no known peer", conn.0)
            }
            Notice::MalformedStream(conn, error) => write!(f, "connection {}: {error}", conn.0),
            Notice::NoCapabilities(conn) => write!(f, "connection {}: no CER came", conn.0),
            Notice::BadRequest(host, code, why) => write!(f, "request of {host} refused with {code}: {why}"),
            Notice::UnknownAnswer(host, id) => write!(f, "answer of {host} to an unknown request {id:#010x}"),
            Notice::BadAnswer(host, id) => {
                write!(f, "answer of {host} to request {id:#010x} is malformed or another call's: released")
            }
            Notice::LateAnswer(host) => write!(f, "late success of {host}: released"),
            Notice::ListUpdated { ready, draining } => {
                write!(f, "the list has {ready} servers, {draining} draining")
            }
            Notice::ConnectionLimitReached(conn) => write!(f, "connection {} closed: too many", conn.0),
            Notice::CallLimitReached(host) => write!(f, "call of {host} turned away: too many calls"),
            Notice::QueueFull(host) => write!(f, "too much waits to be written to {host}"),
            Notice::WordTooLong(host, bytes) => {
                write!(f, "word of {bytes} bytes for member {host} refused: too long")
            }
            Notice::DeadlineGuard(call) => write!(f, "call {call} failed at its last moment"),
            Notice::AnswerWithheld { session, result, late } => {
                let ms = *late as f64 / 1e3;
                write!(f, "answer {result} of call {session} withheld: {ms:.1} ms too late for its caller")
            }
            Notice::LoopGap { time, set_ups, withheld } => write!(
                f,
                "no turn for {} ms: {set_ups} set-ups came meanwhile, {withheld} answers were too late",
                time / 1_000
            ),
            Notice::CircuitsDiffer(host, how) => write!(f, "circuits toward {host} differ: {how}"),
            Notice::CircuitCorrected(host, circuit, how) => {
                write!(f, "circuit {circuit} toward {host} mended by audit: {how}")
            }
            Notice::Module(text) => write!(f, "{text}"),
            Notice::Call(_, _, step) => match step {
                CallStep::Arrived(client) => write!(f, "arrived from {client}"),
                CallStep::Sent(server) => write!(f, "sent to {server}"),
                CallStep::AttemptFailed(outcome) => write!(f, "attempt ended: {outcome:?}"),
                CallStep::Established => write!(f, "established"),
                CallStep::Answered(code) => write!(f, "answered with {code}"),
                CallStep::Ended(how) => write!(f, "ended: {how}"),
            },
            Notice::Stopping(calls) => write!(f, "stopping: {calls} standing calls"),
        }
    }
}
