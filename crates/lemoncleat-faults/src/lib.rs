//! Numbered points at which a process can be made to fail.
//!
//! Every place where a process writes to disk, sends or processes a message of another, changes its view of
//! the fleet, or answers on the basis of it, has a number and a name in one [table](POINTS). Tests iterate
//! over the table and make each point fail in turn, as SQLite's published anomaly tests do, so that a new
//! point is tested as soon as it is added.
//!
//! ```
//! use lemoncleat_faults::{fails, point};
//!
//! fn write(bytes: &[u8]) -> std::io::Result<()> {
//!     point!(STORE_WRITE);
//!     if fails!(STORE_WRITE) {
//!         return Err(std::io::Error::other("fault injected by a test"));
//!     }
//!     Ok(())
//! }
//! write(b"1").unwrap();
//! ```
//!
//! Without the feature `on` both macros expand to nothing, and no code of this package is in the binary. With
//! it there are two hosts: `scene` for cores that one thread runs under a virtual clock, and `attend` for
//! real processes, which a test stage holds at a point while it kills them, pauses them or cuts their links.

#[cfg(feature = "on")]
mod reached;
#[cfg(feature = "on")]
pub mod scene;
#[cfg(feature = "on")]
mod stage;
mod table;

#[cfg(feature = "on")]
pub use reached::{failing, reach};
#[cfg(feature = "on")]
pub use stage::{attend, STAGE_VARIABLE};
pub use table::*;

/// A fault that can be injected into a process at a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The process ends immediately and loses everything that is not yet durable.
    Kill,
    /// The operation fails as if its disk or socket had failed.
    Error,
    /// The process is not scheduled for longer than every time-out.
    Pause,
    /// Its links to the other processes are interrupted in both directions.
    Cut,
    /// Messages that it sends are lost.
    CutOut,
    /// Messages that are sent to it are lost.
    CutIn,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 6] =
        [Fault::Kill, Fault::Error, Fault::Pause, Fault::Cut, Fault::CutOut, Fault::CutIn];

    /// Returns its name, as used in commands and tables.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Kill => "kill",
            Fault::Error => "error",
            Fault::Pause => "pause",
            Fault::Cut => "cut",
            Fault::CutOut => "cut-out",
            Fault::CutIn => "cut-in",
        }
    }

    /// Returns the fault with this name.
    pub fn of_name(name: &str) -> Option<Fault> {
        Fault::ALL.into_iter().find(|fault| fault.name() == name)
    }
}

/// A numbered place in the code at which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Point {
    /// Its number, which is never reused.
    pub number: u16,
    /// Its name in the code.
    pub name: &'static str,
    /// The package that contains it, without `lemoncleat-`.
    pub package: &'static str,
    /// The operation that the process is about to perform there.
    pub what: &'static str,
    /// The faults that can be injected there.
    pub faults: &'static [Fault],
}

/// Returns the point with this name.
pub fn find(name: &str) -> Option<&'static Point> {
    POINTS.iter().copied().find(|point| point.name == name)
}

/// Marks a numbered point by its name in the [table](POINTS); a test can hold or end the process here.
#[cfg(feature = "on")]
#[macro_export]
macro_rules! point {
    ($name:ident) => {
        $crate::reach(&$crate::$name)
    };
}

/// Marks a numbered point by its name in the [table](POINTS); a test can hold or end the process here.
#[cfg(not(feature = "on"))]
#[macro_export]
macro_rules! point {
    ($name:ident) => {
        ()
    };
}

/// Returns whether the operation at the point that was just passed must fail as if its disk or socket had
/// failed.
#[cfg(feature = "on")]
#[macro_export]
macro_rules! fails {
    ($name:ident) => {
        $crate::failing(&$crate::$name)
    };
}

/// Returns whether the operation at the point that was just passed must fail as if its disk or socket had
/// failed.
#[cfg(not(feature = "on"))]
#[macro_export]
macro_rules! fails {
    ($name:ident) => {
        false
    };
}
