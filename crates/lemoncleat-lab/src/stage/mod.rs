//! Test bed of real processes on one machine. Every link between them goes through a relay that can delay,
//! cut or refuse it. With the feature `faults`, processes can also be stopped at the fault points of
//! [`lemoncleat_faults`].
//!
//! - [`Links`] carries bytes between named ends and delays, holds, cuts, resets or refuses them.
//! - [`Process`] is a program started from its binary. Its output is read; it can be killed, paused and
//!   restarted.
//! - `Points` stops processes at armed fault points; `carry_out` carries out the `Fault` there.
//! - [`Fleet`] starts many processes that know each other only by the relay's addresses.
//! - [`Control`] is a client of a node's control port.
//!
//! Nothing here sleeps to synchronise with a process. All waits are for events and bounded by [`LIMIT`]; only
//! the length of a pause or a cut is a time span, because that length is part of the fault.

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

/// Upper bound of every wait. It is long enough that no test result depends on the speed of the machine.
pub const LIMIT: Duration = Duration::from_secs(60);

fn timed_out(what: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::TimedOut, format!("{what}: not within {} s", LIMIT.as_secs()))
}
