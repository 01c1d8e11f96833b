//! What every front of an access node needs below it: the timer [`Wheel`] and a caller's [`Deadline`].

mod deadline;
mod wheel;

pub use deadline::Deadline;
pub use wheel::{TimerKey, Wheel};

/// A span or a moment in microseconds.
pub type Micros = i64;
