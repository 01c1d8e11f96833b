//! Membership of a fleet of nodes, and dissemination of small facts to all of them, without I/O.
//!
//! The members are named in the settings; whether one is alive is inferred from evidence. Each node
//! periodically probes another one, asks third nodes to probe it when it gets no answer, and reports a
//! suspicion to all, which the suspected member may refute with a higher incarnation (SWIM: Das, Gupta and
//! Motivala, DSN 2002; the timeouts follow Lifeguard: Dadgar, Phillips and Currey, DSN-W 2018). Updates are
//! piggybacked on the probes and sent in a few additional messages, and nodes compare their states
//! periodically, so that updates arrive even where all of those messages were lost.
//!
//! - [`Fleet`]: one node's view. It takes received messages and the current time, and returns what to send.
//! - [`Settings`] and [`Timing`]: the members, and the intervals and timeouts of a node.
//! - [`Fact`]: a value that a node has published about itself, with its age.
//!
//! This package does not restrict what a node may do: a node that is cut off from its fleet sees members that
//! are gone, and no facts.

mod fleet;
mod message;
mod plant;
mod settings;

pub use fleet::{Fact, Fleet, Input, Kind, Notice, Output, Stats};
pub use message::State;
#[cfg(feature = "faults")]
pub use plant::{plant, Plant};
pub use settings::{Member, MemberId, Settings, SettingsError, Timing, Transport};

/// A duration or a point in time, in microseconds.
pub type Micros = i64;

/// Returns the start that is part of an incarnation. Two incarnations with the same start belong to one
/// process, which refuted a suspicion between them.
pub fn start_of(incarnation: u64) -> u32 {
    (incarnation >> 32) as u32
}
