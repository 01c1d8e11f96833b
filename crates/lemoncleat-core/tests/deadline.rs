//! The times derived from a caller's deadline.

use lemoncleat_core::Deadline;

/// The maximum delay with which a timer fires.
const TICK_US: i64 = 1_024;

#[test]
fn limits_are_ordered_and_precede_the_deadline() {
    let deadline = Deadline::new(1_000_000, 3_000_000, 30_000);
    assert_eq!(
        (deadline.answer_by(), deadline.fail_at(), deadline.door()),
        (3_970_000, 3_985_000, 3_992_500)
    );
}

#[test]
fn margin_is_limited_to_half_of_the_patience() {
    let deadline = Deadline::new(0, 20_000, 30_000);
    assert_eq!((deadline.answer_by(), deadline.door()), (10_000, 17_500));
    assert_eq!(Deadline::new(10_000, 1_000, 30_000).fail_at() + TICK_US, 10_875);
    assert_eq!(Deadline::new(5, 0, 30_000).door(), 5, "an immediate answer is still in time");
}
