//! A replicated log on a few voters: what a fleet must agree on, in order and durable.
//!
//! The engine is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, with the
//! pre-vote and the check of the quorum of Ongaro's thesis, sections 9.6 and 6.2), by the `raft` crate.
//!
//! - [`Voter`]: one voter, without I/O, clock or thread. It is told what happened, with the time, and says what to
//!   send, to store and to apply. What rests on a promise comes out only after the promise is stored.
//! - [`Follower`]: a node that is no voter and learns what was decided.
//! - [`Store`]: what a voter keeps on disk; [`Writer`]: the thread that writes it.
//!
//! Commands are bytes. They carry their own idempotency: a command may be proposed, and decided, more than once.

/// Whether a test planted the fault on this thread.
macro_rules! planted {
    ($fault:ident) => {{
        #[cfg(feature = "faults")]
        let planted = crate::planted::is(crate::planted::Plant::$fault);
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
    Batch, Entry, Found, Input, Kept, Mark, Notice, Output, Place, Promise, Refused, Settings, Stats, Timing,
};
pub use store::{Store, StoreError};
pub use voter::Voter;
pub use writer::Writer;

/// A span or a moment in microseconds, of a clock that never goes back.
pub type Micros = i64;

/// The longest command, in bytes, that settings may allow.
pub const MAX_COMMAND: usize = 64 * 1024;

/// The longest snapshot in bytes. A longer one is not taken.
pub const MAX_SNAPSHOT: usize = 8 * 1024 * 1024;
