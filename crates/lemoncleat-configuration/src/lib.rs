//! One numbered configuration for all nodes of a fleet: agreed in a replicated log, spread from neighbour to
//! neighbour, and put in force at a few nodes of each zone first, then at all. The crate does no I/O and uses
//! no clock or thread.
//!
//! - [`Ledger`]: the state that results from the log's commands, the same at all voters.
//! - [`Distributor`]: the state machine of one node. It takes events with their time and returns messages to
//!   send, versions to apply and bytes to persist. At the leading voter it also decides on a trial.
//!
//! Times are microseconds of a monotonic clock. Members are identified by a 32-bit number.

mod distributor;
mod ledger;
mod limits;
mod message;
mod packed;
mod plant;
mod query;
mod rollout;
mod saved_copy;

pub use distributor::{Answer, Distributor, Input, Member, Notice, Output, Phase, Settings, Stats, Status};
pub use ledger::{Announcement, Command, Decision, Ledger, Verdict};
pub use limits::{MAX_MESSAGE, MAX_ORDER, MAX_PACKED, MAX_TEXT};
pub use message::Calls;
pub use packed::{pack, unpack, Digest, Unusable, Version};
#[cfg(feature = "faults")]
#[doc(hidden)]
pub use plant::plant;
pub use plant::Plant;
pub use query::{OutdatedMember, VersionCounts};
pub use rollout::roles;

/// A duration or a point in time, in microseconds.
pub type Micros = i64;
