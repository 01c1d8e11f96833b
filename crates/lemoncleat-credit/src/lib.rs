//! One prepaid balance for a whole fleet: ledger and grants, without I/O.
//!
//! The [`Ledger`] is a state machine over the orders of an agreed log. It gives a node a **grant**: a number, units
//! and a validity (RFC 8506, 8.16 and 8.33). The node's [`Holder`] spends its grants alone, asks for the next ahead of
//! need, and settles each by an order that names what was spent for which calls. For each customer
//! `funded + owed = free + granted + spent` holds after every order.
//!
//! A holder counts a grant's validity from the moment it asked, less the drift allowed; the ledger counts from the
//! order that gave it, plus the drift, and by no clock but the durations that leaders enter ([`Ticker`]). So a holder
//! has stopped spending before the ledger lets anyone take the rest back.
//!
//! Moments are microseconds of a monotonic clock, money is a whole number of a smallest unit.

mod command;
mod holder;
mod leader;
mod ledger;
#[cfg(feature = "faults")]
pub mod planted;
mod purse;
mod tariff;

/// Whether a test planted the fault of a name in the code. Never, in the product.
macro_rules! is_planted {
    ($name:ident) => {{
        #[cfg(feature = "faults")]
        let planted = crate::planted::is(crate::planted::Planted::$name);
        #[cfg(not(feature = "faults"))]
        let planted = false;
        planted
    }};
}
pub(crate) use is_planted;

pub use command::{read, write, Charge, Command, Effect, Want, MOST_CHARGES, MOST_COMMANDS, MOST_ENTRY};
pub use holder::{Away, Holder, HolderSettings, Input, Notice, Output, Why};
pub use leader::{Joiner, Ticker};
pub use ledger::{Account, Ledger, LedgerSettings, Open};
pub use tariff::{Class, Customer, CustomerOf, Price, Tariff, TariffError};

/// Microseconds: a moment of a monotonic clock, or a span.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// A whole number of the smallest unit of money.
pub type Units = u64;

/// The number of a node, as the members' settings have it.
pub type Node = u32;
