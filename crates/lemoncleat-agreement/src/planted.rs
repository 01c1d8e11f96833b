//! Faults that a test plants in this package to see that its checks find them.

use std::cell::Cell;

/// A fault in the code, switched on for one thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// What rests on a batch is given out before it is stored.
    SendsEarly,
    /// A store in place of a lost one is welcomed and heard.
    WelcomesAll,
    /// A vote is not stored.
    ForgetsVote,
    /// A command is handed out again with a later one.
    HandsOutTwice,
    /// A failed batch is taken for stored.
    IgnoresFailure,
}

thread_local! {
    static PLANTED: Cell<Option<Plant>> = const { Cell::new(None) };
}

/// Plants a fault on this thread, or takes it away.
pub fn plant(fault: Option<Plant>) {
    PLANTED.set(fault);
}

pub(crate) fn is(fault: Plant) -> bool {
    PLANTED.get() == Some(fault)
}
