//! The stage: real processes on one machine, every link between them through a relay that can be disturbed, and
//! the numbered points of [`lemoncleat_faults`] in their hands, with the feature `faults`.
//!
//! - [`Links`] carries bytes between named ends and delays, holds, cuts, resets or refuses them.
//! - [`Process`] is a program started from its binary: its output is read, it can be killed, paused, restarted.
//! - `Points` holds processes at numbered points; `carry_out` does there what a `Fault` is.
//! - [`Fleet`] starts many processes that know each other by the relay's addresses only.
//! - [`Control`] asks the control port of a node.
//!
//! Nothing here sleeps to be in step with a process. All waits are for events, with [`LIMIT`] as the one bound;
//! only the length of a pause or a cut is a span of time, because that is what the fault is.

mod control;
mod fleet;
mod lines;
mod links;
#[cfg(feature = "faults")]
mod points;
mod process;
mod relay;

use std::time::Duration;

pub use control::Control;
pub use fleet::{Fleet, FleetPlan, Member, Site};
#[cfg(feature = "faults")]
pub use lemoncleat_faults::{Fault, STAGE_VARIABLE};
pub use links::{Links, Trouble};
#[cfg(feature = "faults")]
pub use points::{carry_out, span, Points, Reached};
pub use process::{Disk, Process, Program, Ready};
pub use relay::{Cut, Traffic};

/// How long anything is waited for before it counts as never coming. So long that no verdict hangs on speed.
pub const LIMIT: Duration = Duration::from_secs(60);

fn late(what: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::TimedOut, format!("{what}: not within {} s", LIMIT.as_secs()))
}
