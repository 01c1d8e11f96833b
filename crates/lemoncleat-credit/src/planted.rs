//! Faults that a test plants in the code, to see that its checks find them.

use std::cell::Cell;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A holder spends its grants beyond their validity.
    IgnoreStop,
    /// The ledger counts a top-up as often as it stands in the log.
    TopUpTwice,
    /// The ledger counts a span of time as often as it stands in the log.
    TickTwice,
    /// The ledger lets a grant be written off before it ran out.
    WriteOffEarly,
    /// A call that ends is charged all that was reserved for it.
    KeepRest,
    /// A repeated set-up reserves again.
    RepeatReserves,
    /// A holder gives back what calls have reserved.
    ReturnReserved,
    /// A standing call whose money is over goes on.
    NeverEnd,
}

impl Planted {
    /// All of them.
    pub const ALL: [Planted; 8] = [
        Planted::IgnoreStop,
        Planted::TopUpTwice,
        Planted::TickTwice,
        Planted::WriteOffEarly,
        Planted::KeepRest,
        Planted::RepeatReserves,
        Planted::ReturnReserved,
        Planted::NeverEnd,
    ];
}

thread_local! {
    static NOW: Cell<Option<Planted>> = const { Cell::new(None) };
}

/// Plants a fault on this thread, or takes it out.
pub fn plant(fault: Option<Planted>) {
    NOW.set(fault);
}

pub(crate) fn is(fault: Planted) -> bool {
    NOW.get() == Some(fault)
}
