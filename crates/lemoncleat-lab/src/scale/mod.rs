//! A rehearsal of a large fleet: a few real processes with real calls beside many *hollow* nodes, which run
//! the
//! whole product over real sockets, many to a process, and get no calls.
//!
//! Hollow nodes are held by the command `lemoncleat hollow`, one process a rack, which takes orders on its
//! standard
//! input ([`Order`]) and answers each with one line. Links between regions pass the stage's relay, so that a
//! region
//! can be cut off. What is measured is set against [`Budget`]s; what must hold is a [`Check`].

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

/// Most members of a fleet.
pub const MOST_NODES: usize = 1_024;
/// Fewest: below this zones would be empty.
pub const LEAST_NODES: usize = 24;

/// What is rehearsed.
#[derive(Clone, Debug)]
pub struct ScalePlan {
    /// The binary of the product.
    pub binary: PathBuf,
    /// Nodes of the fleet, all together, 24 to 1,024.
    pub nodes: usize,
    /// Those of them that are processes of their own with calls.
    pub real: usize,
    /// Those of them that agree for all, 3 or 5, processes of their own with stores.
    pub voters: usize,
    /// Seed of stand-ins, nodes and choices.
    pub seed: u64,
    /// A folder that is made for it, and removed if all goes well.
    pub folder: PathBuf,
    /// How often a node looks after others, in microseconds.
    pub round: Micros,
    /// How long the fleet is measured at rest.
    pub rest: Duration,
    /// Hollow nodes that are restarted one by one.
    pub restarts: usize,
    /// Changes of configuration; 0 where the program has none.
    pub changes: usize,
    /// Calls a second through all real nodes together.
    pub rate: f64,
    /// How long anything may take before it counts as never coming.
    pub patience: Duration,
    /// Ends the run before its time.
    pub stop: Arc<AtomicBool>,
}
