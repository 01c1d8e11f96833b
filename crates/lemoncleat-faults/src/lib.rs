//! Numbered points at which a process can be made to fail.
//!
//! Every place where a process writes to disk, sends to or acts on a word of another, changes its view of the
//! fleet, or answers on the strength of it, has a number and a name in one [table](POINTS). A test takes the
//! table and makes each point fail in turn, as SQLite's published anomaly tests do, so that a new point is
//! tested from the day it stands there.
//!
//! ```
//! use lemoncleat_faults::{fails, point};
//!
//! fn write(bytes: &[u8]) -> std::io::Result<()> {
//!     point!(STORE_WRITE);
//!     if fails!(STORE_WRITE) {
//!         return Err(std::io::Error::other("a fault put here by a test"));
//!     }
//!     Ok(())
//! }
//! write(b"1").unwrap();
//! ```
//!
//! Without the feature `on` both are nothing, and nothing of this package is in the binary. With it there are two
//! hosts: `scene` for cores that one thread plays under a virtual clock, and `attend` for real processes,
//! which a stage holds at a point while it kills them, pauses them or cuts their links.

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

/// What can be done to a process at a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// It ends there and then, with whatever was not yet safe lost.
    Kill,
    /// The operation fails as its disk or socket would.
    Error,
    /// It gets no turn for longer than every time-out.
    Pause,
    /// Its links to the others carry nothing, in both directions.
    Cut,
    /// Nothing that it sends arrives.
    CutOut,
    /// Nothing arrives that is sent to it.
    CutIn,
}

impl Fault {
    /// All of them.
    pub const ALL: [Fault; 6] =
        [Fault::Kill, Fault::Error, Fault::Pause, Fault::Cut, Fault::CutOut, Fault::CutIn];

    /// Its name, as in orders and tables.
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

    /// The fault of a name.
    pub fn of_name(name: &str) -> Option<Fault> {
        Fault::ALL.into_iter().find(|fault| fault.name() == name)
    }
}

/// A place that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Point {
    /// Its number. Never given to another point.
    pub number: u16,
    /// Its name, as the code has it.
    pub name: &'static str,
    /// The package that it stands in, without `lemoncleat-`.
    pub package: &'static str,
    /// What the process is about to do there.
    pub what: &'static str,
    /// What may be done to it there.
    pub faults: &'static [Fault],
}

/// The point of a name.
pub fn find(name: &str) -> Option<&'static Point> {
    POINTS.iter().copied().find(|point| point.name == name)
}

/// A numbered point, by its name in the [table](POINTS): here a test may hold or end the process.
#[cfg(feature = "on")]
#[macro_export]
macro_rules! point {
    ($name:ident) => {
        $crate::reach(&$crate::$name)
    };
}

/// A numbered point, by its name in the [table](POINTS): here a test may hold or end the process.
#[cfg(not(feature = "on"))]
#[macro_export]
macro_rules! point {
    ($name:ident) => {
        ()
    };
}

/// Whether the operation at the point that was just passed is to fail as its disk or socket would.
#[cfg(feature = "on")]
#[macro_export]
macro_rules! fails {
    ($name:ident) => {
        $crate::failing(&$crate::$name)
    };
}

/// Whether the operation at the point that was just passed is to fail as its disk or socket would.
#[cfg(not(feature = "on"))]
#[macro_export]
macro_rules! fails {
    ($name:ident) => {
        false
    };
}
