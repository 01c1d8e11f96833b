//! The functions called when a point is passed.

use std::cell::Cell;

use crate::{scene, stage, Fault, Point};

thread_local! {
    /// The point whose operation fails next on this thread.
    static FAILING: Cell<Option<u16>> = const { Cell::new(None) };
}

/// Called by [`point!`](crate::point): applies the fault that a test has armed for the point.
pub fn reach(point: &'static Point) {
    let fault = match scene::pass(point) {
        scene::PassResult::Inactive => stage::pass(point),
        scene::PassResult::NoFault => None,
        scene::PassResult::Inject(fault) => Some(fault),
    };
    FAILING.set((fault == Some(Fault::Error)).then_some(point.number));
}

/// Called by [`fails!`](crate::fails): returns true once after the point was passed with [`Fault::Error`].
pub fn failing(point: &'static Point) -> bool {
    let failing = FAILING.get() == Some(point.number);
    if failing {
        FAILING.set(None);
    }
    failing
}
