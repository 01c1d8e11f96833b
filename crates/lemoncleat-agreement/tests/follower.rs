//! A follower that polls on demand only.

use lemoncleat_agreement::{Follower, Input, Output, Timing};

fn polls(follower: &mut Follower, now: i64) -> usize {
    let mut out = Vec::new();
    follower.handle(now, Input::Timeout, &mut out);
    out.iter().filter(|output| matches!(output, Output::Send { .. })).count()
}

#[test]
fn polls_always_or_only_until_a_given_time() {
    let mut follower = Follower::new(9, &[1, 2, 3], Timing::default(), 1);
    assert!(follower.wake().is_some());
    assert_eq!(polls(&mut follower, 10), 1);
    follower.poll_until(0);
    assert_eq!((follower.wake(), polls(&mut follower, 10_000_000)), (None, 0));
    follower.poll_until(30_000_000);
    assert!(follower.wake().is_some());
    assert_eq!(polls(&mut follower, 20_000_000), 1);
    assert_eq!((polls(&mut follower, 30_000_000), polls(&mut follower, 60_000_000)), (0, 0));
}
