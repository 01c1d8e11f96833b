//! What the node tells its operators. The driver renders it as log lines.

use std::fmt;
use std::sync::Arc;

use lemoncleat_diameter::{ConnId, DisconnectCause, DownReason, FrameError, Micros};

/// How urgent a notice is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// For following a single call.
    Debug,
    /// The usual course.
    Info,
    /// Something is amiss and dealt with.
    Warn,
    /// A limit or a rule's last guard was met.
    Error,
}

/// One thing worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A peer is open and trusted.
    PeerUsable(Arc<str>),
    /// A peer stopped answering its watchdog.
    PeerSuspect(Arc<str>),
    /// A peer asked to end the connection.
    PeerDraining(Arc<str>, DisconnectCause),
    /// A peer's connection is gone.
    PeerDown(Arc<str>, DownReason),
    /// A connection with a peer did not come about.
    PeerRefused(Arc<str>, String),
    /// A process at a peer started anew and lost its sessions.
    PeerRestarted(Arc<str>),
    /// Somebody not known connected.
    UnknownPeer(ConnId, String),
    /// A connection sent something that is no Diameter.
    Garbled(ConnId, FrameError),
    /// A connection said nothing, or something other than a CER, at first.
    NoCapabilities(ConnId),
    /// A request was faulty.
    BadRequest(Arc<str>, u32, String),
    /// An answer belongs to no request.
    UnknownAnswer(Arc<str>, u32),
    /// An answer to a set-up can't be read to its end, or is another call's; what it may stand for is
    /// released.
    BadAnswer(Arc<str>, u32),
    /// A set-up that was given up succeeded late; it is released.
    LateAnswer(Arc<str>),
    /// The list changed.
    Listed {
        /// Servers that take work.
        ready: usize,
        /// Servers that drain.
        draining: usize,
    },
    /// Too many connections: this one was closed.
    ConnectionsFull(ConnId),
    /// Too many calls: this one was turned away.
    CallsFull(Arc<str>),
    /// Too much waits to be written to a peer.
    QueueFull(Arc<str>),
    /// A word for a member was this many bytes long: more than are carried.
    WordTooLong(Arc<str>, usize),
    /// A call reached its last moment without an answer from the module, and was failed.
    LastMoment(u64),
    /// An answer stayed here: its caller's deadline was over by so much.
    Withheld {
        /// The call's Session-Id.
        session: Arc<str>,
        /// The answer's Result-Code.
        result: u32,
        /// How late it was, in microseconds.
        late: Micros,
    },
    /// The node had no turn for a while, and has read what came meanwhile.
    Away {
        /// From its last turn until the next, in microseconds.
        time: Micros,
        /// Set-ups that came meanwhile.
        set_ups: usize,
        /// Answers that stayed here because their caller's deadline had passed.
        withheld: u64,
    },
    /// A peer's trunk group is not as it is here.
    CircuitsDiffer(Arc<str>, String),
    /// An audit mended a circuit.
    CircuitMended(Arc<str>, u32, String),
    /// A line from the decision module.
    Module(String),
    /// A step in a call's life, with its Session-Id.
    Call(u64, Arc<str>, CallStep),
    /// The node is stopping, with this many calls standing.
    Stopping(usize),
}

/// A step in a call's life.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStep {
    /// It came in from a client.
    Arrived(Arc<str>),
    /// It was sent to a server.
    Sent(Arc<str>),
    /// An attempt ended without success.
    Missed(lemoncleat::Outcome),
    /// It stands.
    Stands,
    /// It was answered with a failure.
    Answered(u32),
    /// It ended.
    Ended(&'static str),
}

impl Notice {
    /// How urgent it is.
    pub fn level(&self) -> Level {
        match self {
            Notice::Call(..) => Level::Debug,
            Notice::PeerUsable(_) | Notice::Listed { .. } | Notice::Module(_) | Notice::Stopping(_) => {
                Level::Info
            }
            Notice::PeerDown(_, DownReason::Disconnected) => Level::Info,
            Notice::LateAnswer(_) | Notice::UnknownAnswer(..) => Level::Info,
            Notice::LastMoment(_) => Level::Error,
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
            Notice::UnknownPeer(conn, host) => write!(f, "connection {}: {host:?} is no known peer", conn.0),
            Notice::Garbled(conn, error) => write!(f, "connection {}: {error}", conn.0),
            Notice::NoCapabilities(conn) => write!(f, "connection {}: no CER came", conn.0),
            Notice::BadRequest(host, code, why) => write!(f, "request of {host} refused with {code}: {why}"),
            Notice::UnknownAnswer(host, id) => write!(f, "answer of {host} to an unknown request {id:#010x}"),
            Notice::BadAnswer(host, id) => {
                write!(f, "answer of {host} to request {id:#010x} is malformed or another call's: released")
            }
            Notice::LateAnswer(host) => write!(f, "late success of {host}: released"),
            Notice::Listed { ready, draining } => {
                write!(f, "the list has {ready} servers, {draining} draining")
            }
            Notice::ConnectionsFull(conn) => write!(f, "connection {} closed: too many", conn.0),
            Notice::CallsFull(host) => write!(f, "call of {host} turned away: too many calls"),
            Notice::QueueFull(host) => write!(f, "too much waits to be written to {host}"),
            Notice::WordTooLong(host, bytes) => {
                write!(f, "word of {bytes} bytes for member {host} refused: too long")
            }
            Notice::LastMoment(call) => write!(f, "call {call} failed at its last moment"),
            Notice::Withheld { session, result, late } => {
                let ms = *late as f64 / 1e3;
                write!(f, "answer {result} of call {session} withheld: {ms:.1} ms too late for its caller")
            }
            Notice::Away { time, set_ups, withheld } => write!(
                f,
                "no turn for {} ms: {set_ups} set-ups came meanwhile, {withheld} answers were too late",
                time / 1_000
            ),
            Notice::CircuitsDiffer(host, how) => write!(f, "circuits toward {host} differ: {how}"),
            Notice::CircuitMended(host, circuit, how) => {
                write!(f, "circuit {circuit} toward {host} mended by audit: {how}")
            }
            Notice::Module(text) => write!(f, "{text}"),
            Notice::Call(_, _, step) => match step {
                CallStep::Arrived(client) => write!(f, "came from {client}"),
                CallStep::Sent(server) => write!(f, "sent to {server}"),
                CallStep::Missed(outcome) => write!(f, "attempt ended: {outcome:?}"),
                CallStep::Stands => write!(f, "stands"),
                CallStep::Answered(code) => write!(f, "answered with {code}"),
                CallStep::Ended(how) => write!(f, "ended: {how}"),
            },
            Notice::Stopping(calls) => write!(f, "stopping: {calls} calls stand"),
        }
    }
}
