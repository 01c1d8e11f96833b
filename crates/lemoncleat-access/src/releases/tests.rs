//! The table of given-up attempts. It stands here because the module's own pacing lets no test through the whole core
//! give up so many.

use super::*;

const MS: Micros = 1_000;
const SERVER: ServerId = ServerId(3);

/// What a node with 48 MB remembers.
const MOST: usize = 16_384;

fn abandon(releases: &mut Releases, from: u64, to: u64) {
    for number in from..to {
        releases.abandon(number as Micros * MS, CallId(number), SERVER);
    }
}

#[test]
fn more_given_up_attempts_than_other_tables_hold_are_remembered() {
    let mut releases = Releases::new(MOST);
    abandon(&mut releases, 0, MOST as u64);
    for number in [0, 1, 4_095, 4_096, MOST as u64 - 1] {
        assert!(releases.abandoned_answered(CallId(number), SERVER), "number {number}");
    }
    assert!(!releases.abandoned_answered(CallId(MOST as u64), SERVER), "never given up");
    assert!(!releases.abandoned_answered(CallId(0), ServerId(4)), "at another server");
}

#[test]
fn of_given_up_attempts_without_an_answer_the_oldest_are_forgotten() {
    let mut releases = Releases::new(MOST);
    let over = MOST as u64 + 1_000;
    abandon(&mut releases, 0, over);
    let kept = |number| releases.was_abandoned(CallId(number), SERVER);
    assert!((0..1_000).all(|number| !kept(number)) && (1_000..over).all(kept));
    assert_eq!((releases.abandoned.all.len(), releases.abandoned.order.len()), (MOST, MOST));
}

#[test]
fn given_up_attempts_that_were_answered_are_forgotten_before_those_that_were_not() {
    let mut releases = Releases::new(MOST);
    abandon(&mut releases, 0, MOST as u64);
    // Every second one is confirmed by its server, one of them twice; it is given up a second time there.
    for number in (1..MOST as u64).step_by(2) {
        assert!(releases.abandoned_answered(CallId(number), SERVER));
    }
    assert!(releases.abandoned_answered(CallId(1), SERVER), "a second copy");
    abandon(&mut releases, 1, 2);
    abandon(&mut releases, 1, 2);
    assert!(releases.abandoned_answered(CallId(1), SERVER), "one of two");
    let more = MOST as u64 + MOST as u64 / 2 - 1;
    abandon(&mut releases, MOST as u64, more);
    let kept = |number: u64| releases.was_abandoned(CallId(number), SERVER);
    for number in 0..more {
        let answered = number > 1 && number < MOST as u64 && number % 2 == 1;
        assert_eq!(kept(number), !answered, "number {number}");
    }
    assert_eq!((releases.abandoned.all.len(), releases.abandoned.order.len()), (MOST, MOST));
}

#[test]
fn given_up_attempts_are_forgotten_after_their_time_whether_answered_or_not() {
    let mut releases = Releases::new(MOST);
    abandon(&mut releases, 0, 100);
    assert!(releases.abandoned_answered(CallId(7), SERVER));
    assert!(releases.abandoned_answered(CallId(60), SERVER));
    // Given up again: it counts from then.
    releases.abandon(200 * MS, CallId(9), SERVER);
    releases.abandoned.forget_older(49 * MS);
    for number in 0..100 {
        let kept = releases.was_abandoned(CallId(number), SERVER);
        assert_eq!(kept, number > 49 || number == 9, "number {number}");
    }
    assert_eq!((releases.abandoned.all.len(), releases.abandoned.order.len()), (51, 51));
}
