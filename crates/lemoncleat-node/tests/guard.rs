//! The fence: new calls are refused, all else goes on.

mod common;

use common::*;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::result_code as code;
use lemoncleat_node::{Input, NodeSettings};

fn allowing(most: Option<i64>) -> NodeSettings {
    let mut settings = settings();
    settings.module.max_retry_hint = most;
    settings
}

fn sent_on(bench: &mut Bench, conn: lemoncleat_node::ConnId) -> usize {
    bench.names(conn).iter().filter(|name| **name == "AAR").count()
}

#[test]
fn a_fenced_node_refuses_new_calls_at_once_and_its_standing_ones_live_on() {
    let mut bench = Bench::new(allowing(Some(5 * SECOND)));
    let (client, server) = (bench.client("front.example"), bench.server("a.example"));
    bench.call(client, "s;stands");
    let standing = bench.one(server, "AAR");
    bench.answer(server, &standing, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    bench.call(client, "s;under way");
    let under_way = bench.one(server, "AAR");
    bench.input(Input::Fence(Some(30 * SECOND)));

    let refused = bench.call(client, "s;new");
    let answer = bench.one(client, "AAA");
    assert_eq!(answer.result(), code::TOO_BUSY);
    // No longer than settings allow.
    assert_eq!(answer.message().number(d::COME_BACK_AFTER), Some(5_000));
    assert_eq!(sent_on(&mut bench, server), 0);
    // A repeat gets the same answer, and so does one that comes after the fence.
    bench.bytes(client, &aar("front.example", "s;new", refused + 7_000, refused, true));
    assert_eq!(bench.one(client, "AAA").result(), code::TOO_BUSY);

    // What was under way comes to stand, and ends in order.
    bench.answer(server, &under_way, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    assert_eq!(bench.node.stats().standing, 2);
    let id = bench.id();
    bench.bytes(client, &str_of("front.example", "s;stands", id));
    assert_eq!(bench.one(client, "STA").result(), code::SUCCESS);
    assert_eq!(bench.one(server, "STR").session(), standing.session());
    assert_eq!(bench.node.stats().standing, 1);

    bench.input(Input::Fence(None));
    bench.bytes(client, &aar("front.example", "s;new", refused + 8_000, refused, true));
    assert_eq!(bench.one(client, "AAA").result(), code::TOO_BUSY, "a repeat is no new call");
    bench.call(client, "s;after");
    let after = bench.one(server, "AAR");
    bench.answer(server, &after, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
}

#[test]
fn without_leave_no_time_to_come_back_is_told() {
    let mut bench = Bench::new(allowing(None));
    let client = bench.client("front.example");
    bench.server("a.example");
    bench.input(Input::Fence(Some(30 * SECOND)));
    bench.call(client, "s;new");
    let answer = bench.one(client, "AAA");
    assert_eq!((answer.result(), answer.message().number(d::COME_BACK_AFTER)), (code::TOO_BUSY, None));
}

#[test]
fn calls_that_waited_out_a_gap_are_refused_too() {
    let mut bench = Bench::new(allowing(None));
    let (client, server) = (bench.client("front.example"), bench.server("a.example"));
    bench.input(Input::Fence(Some(SECOND)));
    bench.away(SECOND);
    bench.call(client, "s;meanwhile");
    bench.caught_up();
    bench.pass(SECOND);
    let answers = bench.take(client);
    let results: Vec<u32> =
        answers.iter().filter(|got| got.name() == "AAA").map(|got| got.result()).collect();
    assert_eq!(results, [code::TOO_BUSY]);
    assert_eq!(sent_on(&mut bench, server), 0);
}

/// What client and server get of some calls.
fn frames(fence: Option<Input<'_>>) -> Vec<Got> {
    let mut bench = Bench::new(settings());
    let (client, server) = (bench.client("front.example"), bench.server("a.example"));
    if let Some(fence) = fence {
        bench.input(fence);
    }
    let mut all = Vec::new();
    for round in 0..200 {
        bench.call(client, &format!("s;{round}"));
        for got in bench.answer_watchdogs(server) {
            let result = if round % 50 == 49 { 3004 } else { code::SUCCESS };
            if got.message().header.is_request() {
                bench.answer(server, &got, result);
            }
            all.push(got);
        }
        all.extend(bench.answer_watchdogs(client));
        bench.pass(5 * MS);
    }
    bench.pass(SECOND);
    all.extend(bench.take(client));
    all
}

#[test]
fn without_a_fence_a_node_is_what_it_was() {
    let plain = frames(None);
    assert!(plain.len() > 200, "{} frames", plain.len());
    assert_eq!(plain, frames(Some(Input::Fence(None))));
}
