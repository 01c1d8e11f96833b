//! Who is there in a fleet of nodes, and small facts that all of them come to know, without I/O.
//!
//! Members are named in settings; that one is alive is believed by evidence. Each node probes another now and
//! then, asks third ones to try when it gets no answer, and tells all of a suspicion, which the suspected one
//! may refute by a higher incarnation (SWIM, Das, Gupta and Motivala, DSN 2002; the waits after Lifeguard,
//! Dadgar, Phillips and Currey, DSN-W 2018). What is news rides on the probes and on a few messages besides,
//! and is compared now and then, so that it arrives even where all of those were lost.
//!
//! - [`Fleet`]: one node's view. It is told what was heard and what time it is, and says what to send.
//! - [`Settings`] and [`Timing`]: the members, and how patient a node is.
//! - [`Fact`]: what a node has set out about itself, with its age.
//!
//! Nothing here forbids anything: a node whose fleet is away sees members that are gone, and no facts.

mod fleet;
mod message;
mod plant;
mod settings;

pub use fleet::{Fact, Fleet, Input, Kind, Notice, Output, Stats};
pub use message::State;
#[cfg(feature = "faults")]
pub use plant::{plant, Plant};
pub use settings::{Carrier, Member, MemberId, Settings, SettingsError, Timing};

/// A span or a moment in microseconds.
pub type Micros = i64;

/// The start that is part of an incarnation: two incarnations with one start are of one process, which refuted a
/// suspicion between them.
pub fn start_of(incarnation: u64) -> u32 {
    (incarnation >> 32) as u32
}
