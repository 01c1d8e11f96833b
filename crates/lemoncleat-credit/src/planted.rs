//! Faults that a test can plant in the code, to verify that its checks detect them.

use std::cell::Cell;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A holder spends grants after their validity has ended.
    IgnoreStop,
    /// The ledger counts a top-up each time it occurs in the log.
    TopUpTwice,
    /// The ledger counts a tick each time it occurs in the log.
    TickTwice,
    /// The ledger allows a grant to be written off before it has expired.
    WriteOffEarly,
    /// A call that ends is charged everything that was reserved for it.
    KeepRest,
    /// A repeated set-up reserves units again.
    RepeatReserves,
    /// A holder returns units that are reserved for calls.
    ReturnReserved,
    /// A standing call continues after its paid time.
    NeverEnd,
}

impl Planted {
    /// All faults.
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
    static PLANTED: Cell<Option<Planted>> = const { Cell::new(None) };
}

/// Plants a fault on this thread, or removes it.
pub fn plant(fault: Option<Planted>) {
    PLANTED.set(fault);
}

pub(crate) fn is(fault: Planted) -> bool {
    PLANTED.get() == Some(fault)
}
