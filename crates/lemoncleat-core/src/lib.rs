//! Types shared by the protocol front ends of an access node: the timer [`Wheel`] and a caller's
//! [`Deadline`].

mod deadline;
mod wheel;

pub use deadline::Deadline;
pub use wheel::{TimerKey, Wheel};

/// A duration or a point in time, in microseconds.
pub type Micros = i64;
