//! The whole program in one process under a virtual clock: the very cores of the access nodes, the laboratory's stand-in
//! servers, callers and list, and links between them that delay, split, hold back and reset. One seed draws fleet,
//! traffic and faults; every record is judged as it comes, and a run stops at the step at which a rule is first
//! broken. The same seed gives the same run, to the byte.

pub mod chain;
mod fabric;
pub mod fleet;
mod node;
mod scenario;
mod shrink;
mod simulation;

pub use scenario::{LinkFault, LinkFaultKind, Scenario, Side};
pub use shrink::shrink;
pub use simulation::{simulate, Finding, Outcome, Trace};

/// A moment or a span in microseconds.
pub type Micros = i64;
