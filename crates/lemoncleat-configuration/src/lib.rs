//! One numbered configuration for all nodes of a fleet: agreed in a replicated log, spread from neighbour to neighbour,
//! in force first at a few nodes of each zone, then at all. Without I/O, clock or thread.
//!
//! - [`Ledger`]: what the log's commands make, the same at all voters.
//! - [`Distributor`]: a node's side. It is told what happened, with the time, and says what to tell, to put in force and
//!   to keep. At the voter that leads it also decides on a trial.
//!
//! Times are microseconds of a clock that never goes back. Members are named by a number of 32 bits.

mod distributor;
mod kept;
mod ledger;
mod limits;
mod message;
mod packed;
mod plant;
mod query;
mod rollout;

pub use distributor::{Answer, Distributor, Input, Member, Notice, Output, Phase, Settings, Stats, Status};
pub use ledger::{Announcement, Command, Decision, Ledger, Verdict};
pub use limits::{MAX_ORDER, MAX_PACKED, MAX_TEXT, MAX_WORD};
pub use message::Calls;
pub use packed::{pack, unpack, Digest, Unusable, Version};
#[cfg(feature = "faults")]
#[doc(hidden)]
pub use plant::plant;
pub use plant::Plant;
pub use query::{Other, Sums};
pub use rollout::roles;

/// A span or a moment in microseconds.
pub type Micros = i64;
