//! The moments before a caller's deadline.

use lemoncleat_core::Deadline;

/// A timer is at most this late, in microseconds.
const TICK: i64 = 1_024;

#[test]
fn the_moments_come_in_order_and_before_the_deadline() {
    let deadline = Deadline::new(1_000_000, 3_000_000, 30_000);
    assert_eq!(
        (deadline.answer_by(), deadline.last_moment(), deadline.door()),
        (3_970_000, 3_985_000, 3_992_500)
    );
}

#[test]
fn a_patience_shorter_than_the_margin_leaves_half_of_itself() {
    let deadline = Deadline::new(0, 20_000, 30_000);
    assert_eq!((deadline.answer_by(), deadline.door()), (10_000, 17_500));
    assert_eq!(Deadline::new(10_000, 1_000, 30_000).last_moment() + TICK, 10_875);
    assert_eq!(Deadline::new(5, 0, 30_000).door(), 5, "an answer at once is still one in time");
}
