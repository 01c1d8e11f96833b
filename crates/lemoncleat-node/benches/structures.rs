//! Compares the timer wheel with a binary heap, and the numbering trie with a sorted list.
//!
//! The ratios of one run tell how many times faster the node's structure is than the simple one.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::hint::black_box;
use std::time::Instant;

use lemoncleat_node::{NumberingPlan, Route, Wheel};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of operations measured.
const ROUNDS: usize = 400_000;

/// Returns the shortest of five runs, in nanoseconds per operation.
fn measure(rounds: usize, mut run: impl FnMut()) -> f64 {
    let runs = (0..5).map(|_| {
        let start = Instant::now();
        run();
        start.elapsed().as_secs_f64() * 1e9 / rounds as f64
    });
    runs.fold(f64::INFINITY, f64::min)
}

/// Simulates timers of calls: a timer is set for each attempt and mostly cancelled before it expires, while
/// the clock advances and other timers expire.
fn compare_timers(standing: usize) {
    let mut rng = SmallRng::seed_from_u64(1);
    let spans: Vec<i64> = (0..ROUNDS).map(|_| rng.random_range(1_000..60_000_000)).collect();
    let fill: Vec<i64> = (0..standing).map(|_| rng.random_range(1_000..60_000_000)).collect();
    let wheel = measure(ROUNDS, || {
        let mut wheel = Wheel::new();
        for (id, at) in fill.iter().enumerate() {
            wheel.set(*at, id);
        }
        let mut now = 0;
        for (id, span) in spans.iter().enumerate() {
            now += 5;
            let key = wheel.set(now + span, id);
            while let Some(fired) = wheel.pop(now) {
                wheel.set(now + fill[fired % standing], black_box(fired));
            }
            if id % 10 != 0 {
                wheel.cancel(key);
            }
        }
        black_box(wheel.len());
    });
    // A heap can't remove an inner entry: cancelled timers are marked and skipped when they reach the top.
    let heap = measure(ROUNDS, || {
        let mut heap = BinaryHeap::new();
        let mut cancelled = HashSet::new();
        for (id, at) in fill.iter().enumerate() {
            heap.push(Reverse((*at, id)));
        }
        let mut now = 0;
        for (round, span) in spans.iter().enumerate() {
            let id = standing + round;
            now += 5;
            heap.push(Reverse((now + span, id)));
            while heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                if let Some(Reverse((_, fired))) = heap.pop() {
                    if !cancelled.remove(&fired) {
                        heap.push(Reverse((now + fill[fired % standing], black_box(fired))));
                    }
                }
            }
            if round % 10 != 0 {
                cancelled.insert(id);
            }
        }
        black_box(heap.len());
    });
    println!(
        "timers, {standing:>9} standing: wheel {wheel:>7.0} ns, heap {heap:>7.0} ns, ratio {:.2}",
        heap / wheel
    );
}

fn compare_numbering(prefixes: usize) {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut digits = |most: usize| -> String {
        let len = rng.random_range(3..=most);
        (0..len).map(|_| char::from(b'0' + rng.random_range(0..10u8))).collect()
    };
    let mut list: Vec<(String, Route)> = Vec::new();
    let mut plan = NumberingPlan::new();
    while list.len() < prefixes {
        let prefix = digits(8);
        let route = Route { class: 0, place: list.len() as i64 };
        if plan.add(&prefix, route).is_ok() {
            list.push((prefix, route));
        }
    }
    list.sort_by(|(a, _), (b, _)| a.cmp(b));
    let numbers: Vec<String> = (0..10_000).map(|_| format!("{}0000", digits(9))).collect();
    // The simple structure: for each length, from the longest, a binary search in the sorted list.
    let find = |number: &str| {
        (0..=number.len().min(8)).rev().find_map(|len| {
            let at = list.binary_search_by(|(prefix, _)| prefix.as_str().cmp(&number[..len])).ok()?;
            Some(list[at].1)
        })
    };
    for number in &numbers {
        assert_eq!(plan.find(number), find(number), "the two agree on {number}");
    }
    let trie = measure(numbers.len(), || {
        numbers.iter().for_each(|number| {
            black_box(plan.find(number));
        })
    });
    let sorted = measure(numbers.len(), || {
        numbers.iter().for_each(|number| {
            black_box(find(number));
        })
    });
    println!(
        "numbers, {prefixes:>8} prefixes: trie {trie:>7.0} ns, list {sorted:>7.0} ns, ratio {:.2}",
        sorted / trie
    );
}

fn main() {
    for standing in [1_000, 100_000, 1_000_000] {
        compare_timers(standing);
    }
    for prefixes in [100, 10_000, 100_000] {
        compare_numbering(prefixes);
    }
}
