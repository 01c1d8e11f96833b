//! Nodes' parts in a fleet under the virtual clock: the real [`Part`](lemoncleat_commons::Part)s of 9 to 300 processes
//! and more, connections that delay, hold back and end, operators with marks, and faults. A seed draws all of it; laws
//! are judged at each step by code that shares nothing with the cores.

mod changes;
mod judge;
mod links;
mod plan;
mod run;
mod versions;

pub use judge::Counts;
pub use plan::{Fault, FaultKind, Plan};
pub use versions::VersionCounts;

use crate::Micros;

/// What a run came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The step at which a law was first broken, and how; none if all held.
    pub finding: Option<(u64, String)>,
    /// Events carried out.
    pub steps: u64,
    /// Virtual time played, in microseconds.
    pub time: Micros,
    /// Equal for equal runs.
    pub digest: u64,
    /// How long after the last fault everything was whole again, in microseconds; none if it did not come to that.
    pub healed: Option<Micros>,
    /// How often each law was tempted.
    pub counts: Counts,
    /// The same of the laws of the configuration.
    pub versions: VersionCounts,
}

/// Plays a plan to its end, or to the step at which a law is broken. `told` hears a line of each event.
pub fn play<'a>(plan: &'a Plan, told: Option<&'a mut (dyn FnMut(&str) + 'a)>) -> Outcome {
    run::Run::new(plan, told).play()
}
