//! A replicated log on a few voters: what a fleet must agree on, in order and durable.
//!
//! The consensus algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014, with pre-vote and check-quorum of Ongaro's thesis, sections 9.6 and 6.2), as implemented
//! by the `raft` crate, which is called the engine here.
//!
//! - [`Voter`]: one voter, without I/O, clock or thread. It takes events with the current time, and returns
//!   what to send, store and apply. Outputs that depend on a batch are returned only after the batch is
//!   stored.
//! - [`Follower`]: a node that is not a voter and learns the decided commands.
//! - [`Store`]: the state of a voter on disk; [`Writer`]: the thread that writes it.
//!
//! Commands are opaque bytes. They must be idempotent: a command may be proposed, and decided, more than
//! once.

/// Evaluates whether a test has injected the fault on this thread.
macro_rules! planted {
    ($fault:ident) => {{
        #[cfg(feature = "faults")]
        let planted = crate::planted::active(crate::planted::Plant::$fault);
        #[cfg(not(feature = "faults"))]
        let planted = false;
        planted
    }};
}

mod admission;
mod follower;
mod interface;
mod log;
mod message;
#[cfg(feature = "faults")]
pub mod planted;
mod store;
mod voter;
mod writer;

pub use follower::Follower;
pub use interface::{
    Batch, Entry, Found, Input, Kept, Mark, Notice, Output, Promise, Settings, StartError, Stats, StoreOwner,
    Timing,
};
pub use store::{Store, StoreError};
pub use voter::Voter;
pub use writer::Writer;

/// A duration or a point in time in microseconds, of a monotonic clock.
pub type Micros = i64;

/// Upper limit of the command length that settings may allow, in bytes.
pub const MAX_COMMAND: usize = 64 * 1024;

/// Maximum size of a snapshot in bytes. A larger one is rejected.
pub const MAX_SNAPSHOT: usize = 8 * 1024 * 1024;
