//! Faults that tests inject into this package, to show that their checks detect them.

use std::cell::Cell;

/// A fault in the code, enabled for one thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Outputs that depend on a batch are returned before it is stored.
    SendsEarly,
    /// A new store in place of a lost one is admitted, and its messages are accepted.
    AdmitsAnyStore,
    /// A vote is not stored.
    ForgetsVote,
    /// A command is delivered twice.
    DeliversTwice,
    /// A failed batch is taken as stored.
    IgnoresFailure,
}

thread_local! {
    static PLANTED: Cell<Option<Plant>> = const { Cell::new(None) };
}

/// Injects a fault on this thread, or removes it.
pub fn plant(fault: Option<Plant>) {
    PLANTED.set(fault);
}

pub(crate) fn active(fault: Plant) -> bool {
    PLANTED.get() == Some(fault)
}
