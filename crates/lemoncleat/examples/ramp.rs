//! The ramp of cold servers, measured: `cargo run --release --example ramp -- FIRST SEEDS [NODES ...] [long]`.
//!
//! Plays drawn days of `tests/world`, and prints for each number of nodes, trouble and other trait the seeds
//! played, those in which a cold server was sent more than `N + 2 root N + 2`, the worst ratio to that and
//! the mean worth served. With `long`, five minutes go before each cold start. Each day over it goes to the
//! standard error. The servers are simulated.

#[path = "../tests/world/mod.rs"]
mod world;

use std::collections::BTreeMap;

use world::{Day, Trouble};

const TROUBLES: [Trouble; 6] =
    [Trouble::One, Trouble::Several, Trouble::Third, Trouble::Seven, Trouble::Fresh, Trouble::Bare];

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
        for (&count, trouble) in nodes.iter().flat_map(|count| TROUBLES.map(|trouble| (count, trouble))) {
            for lines in [true, false] {
                let mut day = Day::draw(count as u32, trouble, lines, seed);
                if long {
                    day.before = 300_000_000;
                }
                let verdict = day.play();
                let over = u64::from(verdict.worst > 1.0);
                if over > 0 {
                    let world::Verdict { worst, sent, plain, budget, age, .. } = verdict;
                    eprintln!("{worst:.2}: {sent:.1} ({plain} set-ups) of {budget:.1} at {age} us: {day:?}");
                }
                let forms = [
                    format!("{count:03} nodes, {trouble:?}, lines told {lines}"),
                    format!("{count:03} nodes, all"),
                    format!("all, rate {}", day.rate),
                    format!("all, load {}", if day.load > 1.0 { "over 1" } else { "0.7" }),
                    format!("all, skewed {}", day.skewed),
                    format!("all, {} s of span, multiple {}", day.fall_span as f64 / 1e6, day.fall_multiple),
                    format!("all, lines told {lines}"),
                ];
                for form in forms {
                    let row = rows.entry(form).or_default();
                    *row = (row.0 + 1, row.1 + over, row.2.max(verdict.worst), row.3 + verdict.served);
                }
            }
        }
    }
    println!("| days | seeds | over | worst | served |\n| --- | --- | --- | --- | --- |");
    for (form, (all, over, worst, served)) in rows {
        println!("| {form} | {all} | {over} | {worst:.2} | {:.3} |", served / all.max(1) as f64);
    }
}
