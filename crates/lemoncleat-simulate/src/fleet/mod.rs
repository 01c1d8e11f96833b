//! Simulates a fleet under the virtual clock: the real [`FleetNode`](lemoncleat_commons::FleetNode)s of 9 to
//! 300 processes and more, connections that delay, hold back and end, operators that set marks, and faults.
//! A seed draws all of it. Invariants are checked at each step by code that shares nothing with the cores.

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

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The step at which an invariant was first broken, and how; none if all held.
    pub finding: Option<(u64, String)>,
    /// Events processed.
    pub steps: u64,
    /// Virtual time played, in microseconds.
    pub time: Micros,
    /// Digest of the run: equal runs have equal digests.
    pub digest: u64,
    /// Time from the last fault until the whole fleet had recovered, in microseconds; none if it did not
    /// recover.
    pub healed: Option<Micros>,
    /// How often each invariant was put to the test.
    pub counts: Counts,
    /// The same for the invariants of the configuration.
    pub versions: VersionCounts,
}

/// Plays a plan to its end, or to the step at which an invariant is broken. `trace` is called with a line for
/// each event.
pub fn play<'a>(plan: &'a Plan, trace: Option<&'a mut (dyn FnMut(&str) + 'a)>) -> Outcome {
    run::Run::new(plan, trace).play()
}
