//! The fence: new calls are refused, everything else continues.

mod common;

use common::*;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::result_code as code;
use lemoncleat_node::{Input, NodeSettings};

fn with_max_retry_hint(most: Option<i64>) -> NodeSettings {
    let mut settings = settings();
    settings.module.max_retry_hint = most;
    settings
}

fn count_attempts(harness: &mut Harness, conn: lemoncleat_node::ConnId) -> usize {
    harness.names(conn).iter().filter(|name| **name == "AAR").count()
}

#[test]
fn fence_refuses_new_calls_and_keeps_standing_ones() {
    let mut harness = Harness::new(with_max_retry_hint(Some(5 * SECOND)));
    let (client, server) = (harness.connect_client("front.example"), harness.connect_server("a.example"));
    harness.call(client, "s;stands");
    let standing = harness.expect_one(server, "AAR");
    harness.answer(server, &standing, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    harness.call(client, "s;under way");
    let under_way = harness.expect_one(server, "AAR");
    harness.input(Input::Fence(Some(30 * SECOND)));

    let refused = harness.call(client, "s;new");
    let answer = harness.expect_one(client, "AAA");
    assert_eq!(answer.result(), code::TOO_BUSY);
    // Limited to the maximum in the settings.
    assert_eq!(answer.message().number(d::COME_BACK_AFTER), Some(5_000));
    assert_eq!(count_attempts(&mut harness, server), 0);
    // A repeat gets the same answer, also after the fence is removed.
    harness.bytes(client, &aar("front.example", "s;new", refused + 7_000, refused, true));
    assert_eq!(harness.expect_one(client, "AAA").result(), code::TOO_BUSY);

    // The set-up in progress is established, and standing calls can be released.
    harness.answer(server, &under_way, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    assert_eq!(harness.node.stats().standing, 2);
    let id = harness.new_id();
    harness.bytes(client, &str_request("front.example", "s;stands", id));
    assert_eq!(harness.expect_one(client, "STA").result(), code::SUCCESS);
    assert_eq!(harness.expect_one(server, "STR").session(), standing.session());
    assert_eq!(harness.node.stats().standing, 1);

    harness.input(Input::Fence(None));
    harness.bytes(client, &aar("front.example", "s;new", refused + 8_000, refused, true));
    assert_eq!(harness.expect_one(client, "AAA").result(), code::TOO_BUSY, "a repeat is no new call");
    harness.call(client, "s;after");
    let after = harness.expect_one(server, "AAR");
    harness.answer(server, &after, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
}

#[test]
fn fence_sends_no_retry_hint_unless_allowed() {
    let mut harness = Harness::new(with_max_retry_hint(None));
    let client = harness.connect_client("front.example");
    harness.connect_server("a.example");
    harness.input(Input::Fence(Some(30 * SECOND)));
    harness.call(client, "s;new");
    let answer = harness.expect_one(client, "AAA");
    assert_eq!((answer.result(), answer.message().number(d::COME_BACK_AFTER)), (code::TOO_BUSY, None));
}

#[test]
fn fence_refuses_calls_deferred_by_a_gap() {
    let mut harness = Harness::new(with_max_retry_hint(None));
    let (client, server) = (harness.connect_client("front.example"), harness.connect_server("a.example"));
    harness.input(Input::Fence(Some(SECOND)));
    harness.begin_gap(SECOND);
    harness.call(client, "s;meanwhile");
    harness.end_gap();
    harness.advance(SECOND);
    let answers = harness.take(client);
    let results: Vec<u32> =
        answers.iter().filter(|got| got.name() == "AAA").map(|got| got.result()).collect();
    assert_eq!(results, [code::TOO_BUSY]);
    assert_eq!(count_attempts(&mut harness, server), 0);
}

/// Returns the frames that client and server receive for a series of calls.
fn frames(fence: Option<Input<'_>>) -> Vec<Frame> {
    let mut harness = Harness::new(settings());
    let (client, server) = (harness.connect_client("front.example"), harness.connect_server("a.example"));
    if let Some(fence) = fence {
        harness.input(fence);
    }
    let mut all = Vec::new();
    for round in 0..200 {
        harness.call(client, &format!("s;{round}"));
        for got in harness.answer_watchdogs(server) {
            let result = if round % 50 == 49 { 3004 } else { code::SUCCESS };
            if got.message().header.is_request() {
                harness.answer(server, &got, result);
            }
            all.push(got);
        }
        all.extend(harness.answer_watchdogs(client));
        harness.advance(5 * MS);
    }
    harness.advance(SECOND);
    all.extend(harness.take(client));
    all
}

#[test]
fn removing_no_fence_changes_nothing() {
    let plain = frames(None);
    assert!(plain.len() > 200, "{} frames", plain.len());
    assert_eq!(plain, frames(Some(Input::Fence(None))));
}
