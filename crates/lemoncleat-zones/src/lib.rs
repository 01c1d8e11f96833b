//! Leaving a failing zone as a fleet and coming back, without I/O.
//!
//! Each node says in a small fact what it saw of each zone of servers in the last second. [`Zones`] sums the facts,
//! asks whether the zone's calls would earn clearly more at the rest of the servers, at the load that they bring
//! there, and if so puts a numbered [`Step`] to the fleet. A step holds the whole table of zones that are not as
//! usual, so a node that missed some has all it needs in the newest. Coming back is a row of further steps.
//!
//! Without a quorum of evidence, or on the evidence of nodes of one zone alone, nothing is put to the fleet. What a
//! node is told here only ever takes calls away from a zone: it chooses as before among the rest.

mod decide;
mod evidence;
mod settings;
mod step;
mod worth;
mod zones;

pub use evidence::{Fact, Seen, FACT_BYTES};
#[cfg(feature = "faults")]
pub use settings::Plant;
pub use settings::Settings;
pub use step::{Entry, Phase, Step, MOST_ENTRIES};
pub use zones::Zones;

/// Microseconds, of a monotonic clock or as a span.
pub type Micros = i64;

/// A zone, by its place in the settings' list, the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct ZoneId(pub u16);

/// What became of a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// It was sent; one of the others follows.
    Sent,
    /// It was answered. A refusal for the call's own reasons is an answer.
    Answered,
    /// Nothing came before the time-out.
    Silent,
    /// The connection ended under it.
    Reset,
    /// No connection could be had.
    Unreachable,
    /// The server had no room. It is load, and no failure.
    Refused,
}

/// A server of a zone, as the lists of the deployment have it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// Set-ups a second that it takes when warm; 0 where nobody knows.
    pub capacity: f64,
    /// When it started, on this node's clock.
    pub started: Micros,
}

/// What a node tells the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A set-up was sent to a zone, or something became of one.
    Outcome {
        /// The server's zone.
        zone: ZoneId,
        /// The server's place in its zone's list.
        server: u16,
        /// What happened.
        what: What,
        /// How long ago the set-up was sent. One sent before a step says nothing of what the zone does after it.
        waited: Micros,
        /// What the call earns if it comes about, in units of the settings; counted when sent.
        worth: u32,
        /// What the attempt costs, in the same units; counted when sent.
        cost: u32,
    },
    /// The servers of a zone that are ready (neither draining nor stopped), whenever that changes.
    Servers {
        /// The zone.
        zone: ZoneId,
        /// Its ready servers.
        servers: Vec<Server>,
    },
    /// A fact that another member published.
    Heard {
        /// The member.
        origin: u32,
        /// How long ago it was true there, on the whole.
        age: Micros,
        /// As [`Output::Publish`] had it.
        bytes: Vec<u8>,
    },
    /// A step came out of the agreed log. Only where the settings have a log.
    Agreed(Step),
    /// Who is there, this node included, whenever that changes.
    Alive(Vec<u32>),
    /// The moment that [`Zones::wake`] named has come.
    Timeout,
}

/// What the core asks of its node.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Spread this as the node's fact of zones, in place of the last.
    Publish(Vec<u8>),
    /// Put this to the agreed log. It may be lost, late or doubled.
    Propose(Step),
    /// From now on the zone gets this share of the calls that would go there by choice. Calls that may go nowhere
    /// else still go, and standing ones stay.
    Share {
        /// The zone.
        zone: ZoneId,
        /// From 0 to 1.
        share: f64,
        /// Show the zone's servers to the module as started then, if they are not younger.
        cold_since: Option<Micros>,
    },
    /// So many calls may be tried at a zone that was left, in place of what was allowed before.
    Trial {
        /// The zone.
        zone: ZoneId,
        /// Set-ups; 0 takes back what is left.
        allowed: u32,
    },
    /// For the log.
    Notice(Notice),
}

/// What is worth a line in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A step took effect here.
    Took {
        /// Its number.
        number: u64,
        /// Who put it to the fleet.
        origin: u32,
    },
    /// Steps between these two never came here.
    Missed {
        /// The last that this node took before.
        from: u64,
        /// The one it took now.
        to: u64,
    },
    /// This node fails at a zone that works for the rest: the fault is on its side.
    Alone {
        /// The zone.
        zone: ZoneId,
    },
    /// No quorum is heard: no step can come, and zones under way get nothing from this node.
    NoQuorum,
    /// A quorum is heard again.
    Quorum,
}
