//! Manages one prepaid balance for a whole fleet with a ledger and grants. The crate does no I/O.
//!
//! The [`Ledger`] is a state machine over the commands of a replicated log. It gives a node a **grant**: a
//! number, units and a validity (RFC 8506, 8.16 and 8.33). The node's [`Holder`] spends its grants without
//! further coordination, requests the next one before it is needed, and settles each with a command that
//! lists what was spent for which calls. For each customer `funded + owed = free + granted + spent` holds
//! after every command.
//!
//! A holder counts a grant's validity from the time of its request, minus the allowed drift. The ledger
//! counts from the command that gave the grant, plus the drift, and only by the durations that leaders enter
//! ([`Ticker`]). So a holder has stopped spending before the ledger allows the rest to be written off.
//!
//! Times are microseconds of a monotonic clock; amounts are whole numbers of a smallest unit.

mod command;
mod holder;
mod leader;
mod ledger;
#[cfg(feature = "faults")]
pub mod planted;
mod purse;
mod tariff;

/// Whether a test planted the named fault; always false in the product.
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

pub use command::{
    decode, encode, Charge, Command, Demand, Effect, MAX_CHARGES, MAX_ENTRY_BYTES, MAX_ENTRY_COMMANDS,
};
pub use holder::{Holder, HolderSettings, Input, Notice, OfflinePolicy, Output, RefusalReason};
pub use leader::{EntryBatcher, Ticker};
pub use ledger::{Account, Ledger, LedgerSettings, OpenGrant};
pub use tariff::{Class, Customer, CustomerKey, Price, Tariff, TariffError};

/// A time on a monotonic clock or a duration, in microseconds.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// An amount as a whole number of the smallest unit of money.
pub type Units = u64;

/// The number of a node, as in the members' settings.
pub type Node = u32;
