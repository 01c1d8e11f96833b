//! Tests of matching answers to requests and recognising repeated requests.

use lemoncleat_diameter::{Duplicates, EndToEnd, HopByHop, Seen};

fn request_id(id: u32) -> EndToEnd {
    EndToEnd { host: "c.example".into(), id }
}

#[test]
fn identifiers_wrap_within_lower_half_and_match_once() {
    let mut outstanding = HopByHop::new(u32::MAX);
    assert_eq!(outstanding.begin('a'), u32::MAX >> 1);
    assert_eq!(outstanding.begin('b'), 0);
    assert_eq!(outstanding.finish(u32::MAX >> 1), Some('a'));
    assert_eq!(outstanding.finish(u32::MAX >> 1), None, "a second answer has no request");
    assert_eq!(outstanding.finish(77), None, "an unknown identifier has no request");
    assert_eq!(outstanding.drain(), [(0, 'b')]);
    assert!(outstanding.is_empty());
}

#[test]
fn repeat_is_pending_then_answered_then_new_after_retention() {
    let mut duplicates = Duplicates::new(100, 10);
    assert_eq!(duplicates.receive(0, request_id(1), 'x'), Seen::New);
    assert_eq!(duplicates.receive(1, request_id(1), 'y'), Seen::Pending('x'));
    duplicates.answer(5, &request_id(1), b"done");
    duplicates.answer(6, &request_id(1), b"another");
    assert_eq!(duplicates.receive(104, request_id(1), 'z'), Seen::Answered('x', b"done"[..].into()));
    assert_eq!(duplicates.receive(105, request_id(1), 'z'), Seen::New);
}

#[test]
fn oldest_answer_is_evicted_when_full_and_pending_requests_are_kept() {
    let mut duplicates = Duplicates::new(1000, 2);
    for id in 0..2 {
        duplicates.receive(0, request_id(id), id);
    }
    duplicates.answer(1, &request_id(1), b"one");
    assert_eq!(duplicates.receive(2, request_id(2), 2), Seen::New);
    assert_eq!(duplicates.receive(3, request_id(3), 3), Seen::New);
    assert_eq!(duplicates.receive(4, request_id(0), 9), Seen::Pending(0));
    assert_eq!(duplicates.receive(5, request_id(1), 9), Seen::New);
    assert_eq!(duplicates.answer_bytes(), 0);
}

#[test]
fn dropped_pending_request_counts_as_new() {
    let mut duplicates = Duplicates::new(1000, 2);
    duplicates.receive(0, request_id(0), 1);
    duplicates.drop_pending(&request_id(0));
    assert_eq!(duplicates.receive(1, request_id(0), 2), Seen::New);
}
