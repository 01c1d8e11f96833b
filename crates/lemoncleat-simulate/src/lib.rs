//! Deterministic simulation of the whole program in one process under a virtual clock: the real cores of the
//! access nodes, the lab's simulated servers, callers and server list, and links between them that delay,
//! split, hold back and reset. One seed draws fleet, traffic and faults. Every record is checked as it comes,
//! and a run stops at the step at which a rule is first broken. The same seed gives the same run, to the
//! byte.

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

/// A point in time or a time span, in microseconds.
pub type Micros = i64;
