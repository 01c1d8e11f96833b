//! `lemoncleat simulate`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Instant;

use indicatif::{ProgressBar, ProgressStyle};
use lemoncleat_lab::{Record, Rule};
use lemoncleat_simulate::fleet;
use lemoncleat_simulate::{shrink, simulate, Finding, Outcome, Scenario};

use crate::args::{SimulateArgs, SimulateCommand};
use crate::Failure;

/// Maximum number of runs while shrinking.
const MAX_SHRINK_RUNS: u32 = 400;
/// Maximum number of findings listed.
const MAX_LISTED_FINDINGS: usize = 20;
/// Number of trace lines printed before a finding in a fleet.
const TRACE_LINES: usize = 60;

pub fn run(args: &SimulateArgs) -> Result<(), Failure> {
    if let Some(SimulateCommand::Chain(args)) = &args.command {
        return crate::chain::run(args);
    }
    match args.seed {
        Some(seed) if args.fleet => run_fleet_seed(seed, args),
        None if args.fleet => run_fleet_seeds(args),
        Some(seed) => run_seed(seed, args),
        None => run_seeds(args),
    }
}

fn print_scenario(scenario: &Scenario) {
    let day = &scenario.day;
    println!(
        "seed {}: {} nodes, {} servers, {:.0} calls/s for {}, links {} to {} us, circuits {}",
        scenario.seed,
        day.nodes,
        day.servers.len(),
        day.rate.0,
        day.length,
        scenario.delay.0,
        scenario.delay.0 + scenario.delay.1,
        day.circuits.as_ref().map_or("none".to_owned(), |circuits| circuits.size.to_string())
    );
    for trouble in &day.troubles {
        println!("  {:>9} for {:>9}  {} (node {})", trouble.at, trouble.length, trouble.text(), trouble.node);
    }
    for link in &scenario.links {
        let seconds = |at: i64| at as f64 / 1e6;
        println!(
            "  {:>8.3}s to {:>7.3}s  {:?} {:?} of node {}",
            seconds(link.from),
            seconds(link.until),
            link.kind,
            link.side,
            link.node
        );
    }
}

fn print_finding(outcome: &Outcome) {
    let Some((step, finding)) = &outcome.finding else { return };
    match finding {
        Finding::Broken(rule, violation) => {
            let rule = rule.map_or("a circuit shared".to_owned(), |rule| format!("rule {}", rule.number()));
            println!("{rule} BROKEN at step {step}: {}: {}", violation.what, violation.how);
            violation.frames.iter().for_each(|frame| println!("    {frame}"));
        }
        Finding::Left(what) | Finding::Stuck(what) => println!("FOUND at step {step}: {what}"),
    }
    println!("last records:");
    outcome.tail.iter().for_each(|line| println!("    {line}"));
}

fn run_seed(seed: u64, args: &SimulateArgs) -> Result<(), Failure> {
    let scenario = Scenario::draw(seed);
    print_scenario(&scenario);
    let mut trace = |record: &Record| println!("{}", record.text());
    let outcome =
        simulate(&scenario, if args.trace { Some(&mut trace) } else { None }).map_err(Failure::Failed)?;
    println!(
        "{} steps, {:.1} s of virtual time, digest {:016x}",
        outcome.steps,
        outcome.time as f64 / 1e6,
        outcome.digest
    );
    print_finding(&outcome);
    if outcome.finding.is_none() {
        return Ok(());
    }
    if args.shrink {
        let (smallest, runs) = shrink(&scenario, MAX_SHRINK_RUNS);
        println!("smallest scenario with the same finding, after {runs} runs:");
        print_scenario(&smallest);
        print_finding(&simulate(&smallest, None).map_err(Failure::Failed)?);
    }
    Err(Failure::Reported)
}

/// Runs the seeds on several threads and passes each outcome to `collect` as it arrives.
fn for_each_seed<T: Send>(
    args: &SimulateArgs,
    play: impl Fn(u64) -> T + Sync,
    mut collect: impl FnMut(u64, T) -> Result<(), Failure>,
) -> Result<(), Failure> {
    let (first, end) = args.seeds;
    let jobs = args.jobs.or_else(|| std::thread::available_parallelism().ok().map(usize::from)).unwrap_or(1);
    let start = Instant::now();
    let next = AtomicU64::new(first);
    let (sender, outcomes) = mpsc::channel();
    let bar = ProgressBar::new(end - first).with_style(
        ProgressStyle::with_template("{bar:40} {pos}/{len} {elapsed}")
            .unwrap_or_else(|_| ProgressStyle::default_bar()),
    );
    std::thread::scope(|scope| -> Result<(), Failure> {
        for _ in 0..jobs.max(1) {
            let (sender, next, play) = (sender.clone(), &next, &play);
            scope.spawn(move || loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                let out_of_time = start.elapsed().as_secs_f64() > args.minutes * 60.0;
                if seed >= end || out_of_time {
                    return;
                }
                if sender.send((seed, play(seed))).is_err() {
                    return;
                }
            });
        }
        drop(sender);
        for (seed, outcome) in outcomes {
            bar.inc(1);
            collect(seed, outcome)?;
        }
        Ok(())
    })?;
    bar.finish_and_clear();
    Ok(())
}

fn run_seeds(args: &SimulateArgs) -> Result<(), Failure> {
    let start = Instant::now();
    let (mut played, mut steps, mut time, mut calls) = (0_u64, 0_u64, 0.0, 0_usize);
    let mut rule_cases = [0_usize; 5];
    let mut findings = BTreeMap::new();
    let play = |seed| simulate(&Scenario::draw(seed), None);
    for_each_seed(args, play, |seed, outcome| {
        let outcome = outcome.map_err(|why| Failure::Failed(format!("seed {seed}: {why}")))?;
        played += 1;
        steps += outcome.steps;
        time += outcome.time as f64 / 1e6;
        if let Some(verdict) = &outcome.verdict {
            calls += verdict.tries;
            for rule in Rule::ALL {
                rule_cases[rule as usize] += verdict.rules[rule as usize].cases;
            }
        }
        if let Some((step, finding)) = outcome.finding {
            findings.insert(seed, (step, finding));
        }
        Ok(())
    })?;
    let took = start.elapsed().as_secs_f64();
    println!(
        "{played} seeds, {calls} calls, {steps} steps, {time:.0} s of virtual time in {took:.1} s: {:.0} seeds a minute, \
         {:.0} times as fast as real time",
        played as f64 * 60.0 / took,
        time / took
    );
    println!("cases of rules 1 to 5: {rule_cases:?}");
    for (seed, (step, finding)) in findings.iter().take(MAX_LISTED_FINDINGS) {
        let what = match finding {
            Finding::Broken(_, violation) => format!("{}: {}", violation.what, violation.how),
            Finding::Left(what) | Finding::Stuck(what) => what.clone(),
        };
        println!("seed {seed}, step {step}: {}: {what}", finding.kind());
    }
    if findings.is_empty() {
        println!("every rule kept, nothing left over");
        return Ok(());
    }
    println!("{} SEEDS FOUND SOMETHING; play one with --seed N --shrink", findings.len());
    Err(Failure::Reported)
}

// ---- Fleets ----

/// Draws the fleet of a seed, with a configuration if every fleet must have one.
fn draw_plan(seed: u64, args: &SimulateArgs) -> fleet::Plan {
    let plan = fleet::Plan::draw(seed, args.nodes as usize);
    if args.configuration {
        plan.with_configuration()
    } else {
        plan
    }
}

fn run_fleet_seed(seed: u64, args: &SimulateArgs) -> Result<(), Failure> {
    let plan = draw_plan(seed, args);
    let seconds = |at: i64| at as f64 / 1e6;
    println!(
        "seed {seed}: {} nodes, {} voters, rounds of {:.1} s, links {} to {} us, watchdogs {:.1} s, calm at {:.3} s",
        plan.nodes,
        plan.voters,
        seconds(plan.round),
        plan.delay.0,
        plan.delay.1,
        seconds(plan.watchdog),
        seconds(plan.calm)
    );
    for fault in &plan.faults {
        println!(
            "  {:>8.3}s to {:>7.3}s  {:?} of n{}",
            seconds(fault.from),
            seconds(fault.until),
            fault.kind,
            fault.node
        );
    }
    let mut trace_tail = VecDeque::new();
    let mut trace = |line: &str| {
        if args.trace {
            println!("{line}");
        } else {
            trace_tail.push_back(line.to_owned());
            if trace_tail.len() > TRACE_LINES {
                trace_tail.pop_front();
            }
        }
    };
    let outcome = fleet::play(&plan, Some(&mut trace));
    println!(
        "{} steps, {:.1} s of virtual time, digest {:016x}",
        outcome.steps,
        seconds(outcome.time),
        outcome.digest
    );
    print_counts(&outcome.counts, &outcome.versions);
    let Some((step, why)) = outcome.finding else {
        println!(
            "every law kept, whole again {:.1} s after the last fault",
            seconds(outcome.healed.unwrap_or(0))
        );
        return Ok(());
    };
    println!("BROKEN at step {step}: {why}");
    if !trace_tail.is_empty() {
        println!("last records:");
        trace_tail.iter().for_each(|line| println!("    {line}"));
    }
    Err(Failure::Reported)
}

fn print_counts(counts: &fleet::Counts, versions: &fleet::VersionCounts) {
    println!(
        "{} entries agreed and {} applied again, {} orders answered, {} not in time, {} without a quorum, {} promises \
         compared with disks, {} batches lost or refused, {} facts looked at, {} words of {} bytes",
        counts.agreed,
        counts.applied,
        counts.answered,
        counts.late,
        counts.without_quorum,
        counts.promises,
        counts.unstored,
        counts.facts,
        counts.words,
        counts.bytes
    );
    if versions.starts == 0 {
        return;
    }
    println!(
        "configuration: {} changes agreed and {} refused, {} for all, {} objections that all could hear, {} taken back, \
         {} starts, {} copies torn or not kept, {} wrong chunks; after the last fault all at one within {:.1} s",
        versions.agreed,
        versions.refused,
        versions.for_all,
        versions.objections,
        versions.taken_back,
        versions.starts,
        versions.copies_lost,
        versions.wrong_chunks,
        versions.slowest as f64 / 1e6
    );
}

fn run_fleet_seeds(args: &SimulateArgs) -> Result<(), Failure> {
    let start = Instant::now();
    let nodes = args.nodes as usize;
    let (mut played, mut steps, mut time, mut longest) = (0_u64, 0_u64, 0.0, 0);
    let (mut counts, mut versions) = (fleet::Counts::default(), fleet::VersionCounts::default());
    let mut findings = BTreeMap::new();
    for_each_seed(
        args,
        |seed| fleet::play(&draw_plan(seed, args), None),
        |seed, outcome| {
            played += 1;
            steps += outcome.steps;
            time += outcome.time as f64 / 1e6;
            longest = longest.max(outcome.healed.unwrap_or(0));
            counts.add(&outcome.counts);
            versions.add(&outcome.versions);
            if let Some(finding) = outcome.finding {
                findings.insert(seed, finding);
            }
            Ok(())
        },
    )?;
    let took = start.elapsed().as_secs_f64();
    println!(
        "{played} seeds of {nodes} nodes, {steps} steps, {time:.0} s of virtual time in {took:.1} s: {:.0} seeds a \
         minute; whole again at most {:.1} s after the last fault",
        played as f64 * 60.0 / took,
        longest as f64 / 1e6
    );
    print_counts(&counts, &versions);
    for (seed, (step, why)) in findings.iter().take(MAX_LISTED_FINDINGS) {
        println!("seed {seed}, step {step}: {why}");
    }
    if findings.is_empty() {
        println!("every law kept, every fleet whole again");
        return Ok(());
    }
    println!(
        "{} SEEDS FOUND SOMETHING; play one with --fleet --nodes {nodes} --seed N --trace",
        findings.len()
    );
    Err(Failure::Reported)
}
