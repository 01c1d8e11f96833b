//! Decides as a fleet when to leave a failing zone and how to return to it. The crate does no I/O.
//!
//! Each node publishes a small fact with the outcomes of its set-ups in each zone of servers during the last
//! second. [`Zones`] sums the facts and estimates whether the zone's calls would earn clearly more at the
//! remaining servers, taking into account the load that they would add there. If so, it proposes a numbered
//! [`Step`] to the fleet. A step holds the whole table of zones that are not in their normal state, so a node
//! that missed some steps is up to date with the newest one. The return to a zone is a series of further
//! steps.
//!
//! Nothing is proposed without a quorum of evidence, or on the evidence of nodes of one zone alone. The
//! outputs of this crate only ever take calls away from a zone: the node distributes them among the remaining
//! zones as before.

mod decide;
mod evidence;
mod settings;
mod step;
mod worth;
mod zones;

pub use evidence::{Fact, ZoneCounts, MAX_FACT_BYTES};
#[cfg(feature = "faults")]
pub use settings::Plant;
pub use settings::Settings;
pub use step::{Entry, Phase, Step, MAX_ENTRIES};
pub use zones::Zones;

/// A time on a monotonic clock or a duration, in microseconds.
pub type Micros = i64;

/// A zone, identified by its index in the settings' list, which is the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct ZoneId(pub u16);

/// The outcome of a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The set-up was sent; one of the other outcomes follows.
    Sent,
    /// The set-up was answered. A refusal for reasons of the call itself is an answer.
    Answered,
    /// No answer arrived before the time-out.
    TimedOut,
    /// The connection ended before an answer arrived.
    Reset,
    /// No connection was available.
    Unreachable,
    /// The server was full. This indicates load and is not a failure.
    Refused,
}

/// A server of a zone, as given in the deployment's server lists.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// Set-ups per second that it can take when warm; 0 if unknown.
    pub capacity: f64,
    /// Time at which it started, on this node's clock.
    pub started: Micros,
}

/// Input from the node to the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A set-up was sent to a zone, or its outcome is known.
    Outcome {
        /// The server's zone.
        zone: ZoneId,
        /// The server's index in its zone's list.
        server: u16,
        /// The outcome.
        outcome: Outcome,
        /// Time since the set-up was sent. A set-up sent before a step is no evidence of the zone's state
        /// after it.
        waited: Micros,
        /// Revenue of the call if it is established, in units of the settings; counted when sent.
        worth: u32,
        /// Cost of the attempt, in the same units; counted when sent.
        cost: u32,
    },
    /// The servers of a zone that are ready (neither draining nor stopped). Sent whenever the set changes.
    Servers {
        /// The zone.
        zone: ZoneId,
        /// Its ready servers.
        servers: Vec<Server>,
    },
    /// A fact that another member published.
    FactReceived {
        /// The member.
        origin: u32,
        /// Estimated age of the fact.
        age: Micros,
        /// The fact as encoded in [`Output::Publish`].
        bytes: Vec<u8>,
    },
    /// A step was committed to the replicated log. Used only if the settings enable the log.
    Agreed(Step),
    /// The members that are alive, including this node. Sent whenever the set changes.
    Alive(Vec<u32>),
    /// The time returned by [`Zones::next_timeout`] has come.
    Timeout,
}

/// Output from the core to its node.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Publish this as the node's zone fact, replacing the previous one.
    Publish(Vec<u8>),
    /// Propose this step to the replicated log. The proposal may be lost, delayed or duplicated.
    Propose(Step),
    /// From now on the zone gets this share of the calls that the node would choose to send there. Calls that
    /// can go nowhere else are still sent to it, and established calls stay.
    Share {
        /// The zone.
        zone: ZoneId,
        /// Share between 0 and 1.
        share: f64,
        /// Present the zone's servers to the decision module as started at this time, unless they started
        /// later.
        cold_since: Option<Micros>,
    },
    /// Allows this number of trial calls to a zone that was left, replacing the previous allowance.
    Trial {
        /// The zone.
        zone: ZoneId,
        /// Number of set-ups; 0 withdraws the remaining allowance.
        allowed: u32,
    },
    /// An event for the log.
    Notice(Notice),
}

/// Events to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A step took effect here.
    StepApplied {
        /// The step's number.
        number: u64,
        /// The node that proposed it.
        origin: u32,
    },
    /// The steps between these two were never received.
    StepsMissed {
        /// The step that this node applied before.
        from: u64,
        /// The step that it applied now.
        to: u64,
    },
    /// Set-ups of this node fail in a zone that works for the other nodes: the fault is local.
    LocalFault {
        /// The zone.
        zone: ZoneId,
    },
    /// Facts from a quorum are missing: no step can be proposed, and zones being left or restored get no
    /// calls from this node.
    NoQuorum,
    /// Facts from a quorum are available again.
    Quorum,
}
