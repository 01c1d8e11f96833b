//! Tests of the table of given-up attempts. They are unit tests because the module's own pacing keeps a test
//! of the whole core from giving up this many attempts.

use super::*;

const MS: Micros = 1_000;
const SERVER: ServerId = ServerId(3);

/// The capacity on a node with 48 MB.
const CAPACITY: usize = 16_384;

fn abandon(releases: &mut Releases, from: u64, to: u64) {
    for number in from..to {
        releases.abandon(number as Micros * MS, CallId(number), SERVER);
    }
}

#[test]
fn holds_more_given_up_attempts_than_other_tables() {
    let mut releases = Releases::new(CAPACITY);
    abandon(&mut releases, 0, CAPACITY as u64);
    for number in [0, 1, 4_095, 4_096, CAPACITY as u64 - 1] {
        assert!(releases.abandoned_answered(CallId(number), SERVER), "number {number}");
    }
    assert!(!releases.abandoned_answered(CallId(CAPACITY as u64), SERVER), "never given up");
    assert!(!releases.abandoned_answered(CallId(0), ServerId(4)), "at another server");
}

#[test]
fn drops_oldest_unanswered_attempts_when_full() {
    let mut releases = Releases::new(CAPACITY);
    let over = CAPACITY as u64 + 1_000;
    abandon(&mut releases, 0, over);
    let kept = |number| releases.was_abandoned(CallId(number), SERVER);
    assert!((0..1_000).all(|number| !kept(number)) && (1_000..over).all(kept));
    assert_eq!(
        (releases.abandoned.entries.len(), releases.abandoned.eviction_order.len()),
        (CAPACITY, CAPACITY)
    );
}

#[test]
fn drops_answered_attempts_before_unanswered_ones() {
    let mut releases = Releases::new(CAPACITY);
    abandon(&mut releases, 0, CAPACITY as u64);
    // Every second attempt is answered by its server, one of them twice; that one is then given up a second
    // time.
    for number in (1..CAPACITY as u64).step_by(2) {
        assert!(releases.abandoned_answered(CallId(number), SERVER));
    }
    assert!(releases.abandoned_answered(CallId(1), SERVER), "a second copy");
    abandon(&mut releases, 1, 2);
    abandon(&mut releases, 1, 2);
    assert!(releases.abandoned_answered(CallId(1), SERVER), "one of two");
    let more = CAPACITY as u64 + CAPACITY as u64 / 2 - 1;
    abandon(&mut releases, CAPACITY as u64, more);
    let kept = |number: u64| releases.was_abandoned(CallId(number), SERVER);
    for number in 0..more {
        let answered = number > 1 && number < CAPACITY as u64 && number % 2 == 1;
        assert_eq!(kept(number), !answered, "number {number}");
    }
    assert_eq!(
        (releases.abandoned.entries.len(), releases.abandoned.eviction_order.len()),
        (CAPACITY, CAPACITY)
    );
}

#[test]
fn drops_attempts_after_retention_whether_answered_or_not() {
    let mut releases = Releases::new(CAPACITY);
    abandon(&mut releases, 0, 100);
    assert!(releases.abandoned_answered(CallId(7), SERVER));
    assert!(releases.abandoned_answered(CallId(60), SERVER));
    // Given up again: its age counts from then.
    releases.abandon(200 * MS, CallId(9), SERVER);
    releases.abandoned.remove_up_to(49 * MS);
    for number in 0..100 {
        let kept = releases.was_abandoned(CallId(number), SERVER);
        assert_eq!(kept, number > 49 || number == 9, "number {number}");
    }
    assert_eq!((releases.abandoned.entries.len(), releases.abandoned.eviction_order.len()), (51, 51));
}
