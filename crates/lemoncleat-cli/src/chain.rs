//! `lemoncleat simulate chain`.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use lemoncleat_simulate::chain::{play, Outcome, Plan, Variant, VARIANTS};
use serde_json::json;

use crate::args::{ChainArgs, FailingArg, PartArg};
use crate::Failure;

/// Returns the mean of a figure over the outcomes of the runs.
fn mean(outcomes: &[Outcome], of: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(of).sum::<f64>() / outcomes.len().max(1) as f64
}

fn plan(args: &ChainArgs, seed: u64, variant: Variant) -> Plan {
    use lemoncleat_simulate::chain::{FailureMode, Part};
    let how = match args.how {
        FailingArg::Error => FailureMode::Error,
        FailingArg::Silence => FailureMode::Silence,
        FailingArg::Refusal => FailureMode::Refusal,
    };
    let part = match args.part {
        PartArg::Servers => Part::Servers,
        PartArg::SetUps => Part::SetUps,
    };
    Plan { how, part, ..Plan::new(seed, args.depth as usize, args.fails, variant) }
}

pub fn run(args: &ChainArgs) -> Result<(), Failure> {
    let variants: Vec<Variant> = VARIANTS
        .into_iter()
        .filter(|one| args.variants.is_empty() || args.variants.iter().any(|name| name == one.name))
        .collect();
    if variants.is_empty() {
        let names: Vec<_> = VARIANTS.iter().map(|one| one.name).collect();
        return Err(Failure::Usage(format!("no such variant; there are {}", names.join(", "))));
    }
    let plans: Vec<Plan> = variants
        .iter()
        .flat_map(|&variant| (args.seeds.0..args.seeds.1).map(move |seed| plan(args, seed, variant)))
        .collect();
    let jobs = args.jobs.or_else(|| std::thread::available_parallelism().ok().map(usize::from)).unwrap_or(1);
    let next = AtomicUsize::new(0);
    let (sender, results) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, plans.len()) {
            let (sender, next, plans) = (sender.clone(), &next, &plans);
            scope.spawn(move || {
                while let Some(plan) = plans.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if sender.send((*plan, play(plan))).is_err() {
                        return;
                    }
                }
            });
        }
    });
    drop(sender);
    let mut runs = Vec::new();
    for (plan, outcome) in results {
        runs.push((plan, outcome.map_err(Failure::failed)?));
    }
    runs.sort_by_key(|(plan, _)| plan.seed);
    let last = args.depth as usize - 1;
    println!(
        "{} levels, {:?} of {:.3} of the {:?} at the last; before, while, after:",
        args.depth, args.how, args.fails, args.part
    );
    let mut rows = Vec::new();
    let mut broken = Vec::new();
    for variant in variants {
        let outcomes_of_variant: Vec<Outcome> = runs
            .iter()
            .filter(|(plan, _)| plan.variant == variant)
            .map(|(_, outcome)| outcome.clone())
            .collect();
        let three = |of: &dyn Fn(&Outcome, usize) -> f64| {
            [0, 1, 2].map(|span| mean(&outcomes_of_variant, |one| of(one, span)))
        };
        let share = three(&|one, span| one.spans[span].share());
        let bottom = three(&|one, span| one.spans[span].amplification(last));
        let top = three(&|one, span| one.spans[span].amplification(0));
        let all = three(&|one, span| (0..=last).map(|level| one.spans[span].amplification(level)).sum());
        let late = three(&|one, span| one.spans[span].late as f64 / one.spans[span].entered.max(1) as f64);
        let left = three(&|one, span| one.spans[span].left[last].half);
        let most = mean(&outcomes_of_variant, |one| one.bottom_most as f64 / one.bottom_capacity);
        let load = mean(&outcomes_of_variant, |one| one.bottom_before / one.bottom_capacity);
        let rest_times: Option<Vec<f64>> = outcomes_of_variant.iter().map(|one| one.at_rest).collect();
        let longest_rest =
            rest_times.as_ref().map(|rest_times| rest_times.iter().copied().fold(0.0, f64::max));
        println!(
            "  {:<16} in time {:.3} {:.3} {:.3}; attempts a call at the top {:.2} {:.2} {:.2}, at the last {:.2} \
             {:.2} {:.2}, late {:.2}; last level's load {load:.2}, most {most:.2}; at rest {}",
            variant.name,
            share[0],
            share[1],
            share[2],
            top[0],
            top[1],
            top[2],
            bottom[0],
            bottom[1],
            bottom[2],
            late[1],
            longest_rest.map_or("not".to_owned(), |longest_rest| format!("after {longest_rest:.0} s")),
        );
        for (plan, outcome) in runs.iter().filter(|(plan, _)| plan.variant == variant) {
            if let Some(why) = &outcome.broken {
                broken.push(format!("{} seed {}: {why}", variant.name, plan.seed));
            }
        }
        let first = outcomes_of_variant.first();
        rows.push(json!({
            "variant": variant, "in_time": share, "attempts_top": top, "attempts_last": bottom,
            "attempts_all": all, "late_attempts": late, "left_last_half_ms": left,
            "last_load": load, "last_most": most, "at_rest_s": longest_rest,
            "first_seed": first.map(|one| json!({
                "attempts_while": (0..=last).map(|level| one.spans[1].amplification(level)).collect::<Vec<_>>(),
                "left_before": one.spans[0].left, "left_while": one.spans[1].left, "last_by_second": one.bottom,
            })),
        }));
    }
    if let Some(file) = &args.json {
        let text = json!({
            "plan": plan(args, args.seeds.0, VARIANTS[0]), "seeds": [args.seeds.0, args.seeds.1], "rows": rows,
            "broken": broken,
        });
        std::fs::write(file, format!("{text}\n")).map_err(Failure::failed)?;
    }
    if broken.is_empty() {
        println!("every call had one answer in time, no attempt began after the deadline handed down");
        return Ok(());
    }
    broken.iter().for_each(|why| println!("BROKEN: {why}"));
    Err(Failure::Reported)
}
