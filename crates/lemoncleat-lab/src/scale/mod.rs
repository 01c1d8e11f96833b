//! Rehearsal of a large fleet: a few nodes in processes of their own that carry real calls, beside many
//! *hollow* nodes, which run the complete product over real sockets, many to a process, but receive no calls.
//!
//! Hollow nodes are run by the command `lemoncleat hollow`, one process per rack. It takes orders on its
//! standard input ([`Order`]) and answers each with one line. Links between regions go through the relay of
//! [`stage`](crate::stage), so that a region can be cut off. Measurements are compared with [`Budget`]s; each
//! invariant is a [`Check`].

mod figures;
mod host;
mod layout;
mod play;
mod proc;
mod report;

use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

pub use crate::agree::Check;
pub use host::{mark_of, Answer, HollowNode, HollowPlan, NodeFigures, NodeView, Order, Traffic};
pub use layout::descriptors;
pub use play::rehearse_scale;
pub use proc::{now_us, page_size, processor_of_threads, resident_bytes, ThreadTime};
pub use report::{scale_table, Budget, Distribution, PhaseReport, RoleFigures, ScaleReport};

use crate::Micros;

/// Maximum number of nodes in a rehearsal.
pub const MAX_NODES: usize = 1_024;
/// Minimum number of nodes; with fewer, some zones would be empty.
pub const MIN_NODES: usize = 24;

/// Parameters of a rehearsal.
#[derive(Clone, Debug)]
pub struct ScalePlan {
    /// Path of the product's binary.
    pub binary: PathBuf,
    /// Total number of nodes in the fleet, 24 to 1,024.
    pub nodes: usize,
    /// Number of nodes that run in processes of their own and carry calls.
    pub real: usize,
    /// Number of voters, 3 or 5; each runs in a process of its own and has a store.
    pub voters: usize,
    /// Seed of the stand-in servers, the nodes and the random choices of the run.
    pub seed: u64,
    /// Folder created for the run; it is removed if all rules and invariants hold.
    pub folder: PathBuf,
    /// Interval of a node's membership round, in microseconds.
    pub round: Micros,
    /// Length of the phase in which the fleet is measured at rest.
    pub rest: Duration,
    /// Number of hollow nodes restarted one by one.
    pub restarts: usize,
    /// Number of configuration changes; 0 for a program without shared configuration.
    pub changes: usize,
    /// Calls per second through all real nodes together.
    pub rate: f64,
    /// Time after which an awaited state counts as never reached.
    pub patience: Duration,
    /// Set to end the run early.
    pub stop: Arc<AtomicBool>,
}
