//! Bothway trunk groups: numbered circuits between two ends, each of which may seize any of them.
//!
//! Implements dual seizure, blocking, reset, group operations and circuit queries as specified for ISUP
//! (ITU-T Q.762 to Q.764, whose section numbers the modules cite), in ISUP's terms. The crate does no I/O and
//! reads no clock: a [`Group`] is one end of one trunk group; its caller passes in events with the current
//! time and carries out the [`Event`]s that it returns.
//!
//! - [`Group`]: the states of all circuits at one end.
//! - [`Selector`]: selects the idle circuit to seize next, in constant or logarithmic time.
//! - [`glare`]: decides which end yields at a dual seizure, and how the call that yielded is retried.
//! - [`audit`]: decides which differences between the two ends are repaired, and when.
//!
//! A token matches each [`Reply`] to its [`Request`], as the Hop-by-Hop Identifier matches Diameter answers.

pub mod audit;
pub mod glare;
mod group;
mod message;
mod selection;
pub mod wire;

pub use group::{Counts, Event, Group, GroupSettings, State, Timers};
pub use message::{Blocks, Range, Refusal, Reply, ReportedState, Request, Token};
pub use selection::{Order, Selector};

/// A duration or a point in time, in microseconds.
pub type Micros = i64;

/// The number of a circuit, from 0 to the group's size minus one.
pub type CircuitId = u32;

/// The reference of a call, assigned by the end that set it up.
pub type CallRef = u64;
