//! Measures the ramp of cold servers: `cargo run --release --example ramp -- FIRST SEEDS [NODES ...] [long]`.
//!
//! Runs random scenarios of `tests/world`. For each number of nodes, kind of cold start and other property it
//! prints the number of scenarios, the number in which a cold server was sent more than `N + 2 root N + 2`,
//! the worst ratio to that limit, and the mean worth served. Each scenario over the limit is written to
//! standard error. With `long`, five minutes pass before each cold start. The servers are simulated.

#[path = "../tests/world/mod.rs"]
mod world;

use std::collections::BTreeMap;

use world::{ColdStart, Scenario};

const COLD_STARTS: [ColdStart; 6] = [
    ColdStart::One,
    ColdStart::Several,
    ColdStart::Third,
    ColdStart::Seven,
    ColdStart::Fresh,
    ColdStart::Bare,
];

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse::<u64>().ok());
    let (first, seeds) = (args.next().unwrap_or(0), args.next().unwrap_or(10));
    let mut nodes: Vec<u64> = args.collect();
    if nodes.is_empty() {
        nodes = vec![2, 9, 20, 30, 300];
    }
    let long = std::env::args().any(|arg| arg == "long");
    let mut rows = BTreeMap::<String, (u64, u64, f64, f64)>::new();
    for seed in first..first + seeds {
        for (&count, cold_start) in
            nodes.iter().flat_map(|count| COLD_STARTS.map(|cold_start| (count, cold_start)))
        {
            for lines in [true, false] {
                let mut scenario = Scenario::random(count as u32, cold_start, lines, seed);
                if long {
                    scenario.warm_up = 300_000_000;
                }
                let result = scenario.run();
                let over = u64::from(result.worst_ratio > 1.0);
                if over > 0 {
                    let world::RampResult { worst_ratio, sent, set_ups, budget, age, .. } = result;
                    eprintln!(
                        "{worst_ratio:.2}: {sent:.1} ({set_ups} set-ups) of {budget:.1} at {age} us: \
                         {scenario:?}"
                    );
                }
                let groups = [
                    format!("{count:03} nodes, {cold_start:?}, lines reported {lines}"),
                    format!("{count:03} nodes, all"),
                    format!("all, rate {}", scenario.rate),
                    format!("all, load {}", if scenario.load > 1.0 { "over 1" } else { "0.7" }),
                    format!("all, skewed {}", scenario.skewed),
                    format!(
                        "all, {} s of span, multiple {}",
                        scenario.fall_span as f64 / 1e6,
                        scenario.fall_multiple
                    ),
                    format!("all, lines reported {lines}"),
                ];
                for group in groups {
                    let row = rows.entry(group).or_default();
                    *row = (row.0 + 1, row.1 + over, row.2.max(result.worst_ratio), row.3 + result.served);
                }
            }
        }
    }
    println!("| scenarios | seeds | over | worst | served |\n| --- | --- | --- | --- | --- |");
    for (group, (all, over, worst_ratio, served)) in rows {
        println!("| {group} | {all} | {over} | {worst_ratio:.2} | {:.3} |", served / all.max(1) as f64);
    }
}
