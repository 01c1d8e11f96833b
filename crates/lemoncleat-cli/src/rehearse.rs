//! `lemoncleat rehearse` and `lemoncleat judge`.

use std::path::Path;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use lemoncleat_cli::start_node;
use lemoncleat_lab::{
    bench_day, builtin, builtin_names, judge, rehearse, table, Capture, Day, NodeControl, TableOptions,
    Verdict,
};
use lemoncleat_service::{init_log, LogFormat, LogTo};

use crate::args::{JudgeArgs, RehearseArgs};
use crate::Failure;

/// Maximum number of nodes of `agree`.
const MAX_AGREE_NODES: u32 = 64;

fn read_text(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file).map_err(|error| Failure::Usage(format!("{}: {error}", file.display())))
}

fn selected_day(args: &RehearseArgs) -> Result<Day, Failure> {
    if let Some(file) = &args.bench_day {
        let converted = bench_day(&read_text(file)?, args.speed, args.size)
            .map_err(|error| Failure::Usage(format!("{}: {error}", file.display())))?;
        for note in converted.notes {
            println!("note: {note}");
        }
        return Ok(converted.day);
    }
    if let Some(day) = builtin(&args.day) {
        return Ok(day);
    }
    let file = Path::new(&args.day);
    if !file.exists() {
        let known: Vec<&str> = builtin_names().chain([crate::fleet::AGREE, crate::scale::SCALE]).collect();
        let why = format!("{:?} is neither a file nor a built-in day ({})", args.day, known.join(", "));
        return Err(Failure::Usage(why));
    }
    Day::read(&read_text(file)?).map_err(|error| Failure::Usage(error.in_file(&args.day)))
}

pub fn run(args: &RehearseArgs) -> Result<(), Failure> {
    if args.bench_day.is_none() && args.day == crate::fleet::AGREE {
        if args.nodes > MAX_AGREE_NODES {
            return Err(Failure::Usage(format!("--nodes: {} is not in 3..={MAX_AGREE_NODES}", args.nodes)));
        }
        return crate::fleet::agree(args);
    }
    if args.bench_day.is_none() && args.day == crate::scale::SCALE {
        return crate::scale::scale(args);
    }
    let mut day = selected_day(args)?;
    if let Some(seed) = args.seed {
        day.seed = seed;
    }
    if let Some(length) = args.length {
        day.lengthen(length);
    }
    if let Some(level) = &args.log {
        init_log(LogTo::Error, LogFormat::Text, level).map_err(Failure::Usage)?;
    }
    println!(
        "{}: {} nodes, {} servers, {:.0} calls/s for {}, {} troubles, seed {}",
        day.name,
        day.nodes,
        day.servers.len(),
        day.rate.0,
        day.length,
        day.troubles.len(),
        day.seed
    );
    let bar = ProgressBar::new(100).with_style(
        ProgressStyle::with_template("{bar:40} {percent}% {elapsed}")
            .unwrap_or_else(|_| ProgressStyle::default_bar()),
    );
    bar.enable_steady_tick(Duration::from_secs(1));
    let start = |text: &str| start_node(text).map(|node| Box::new(node) as Box<dyn NodeControl>);
    let outcome = rehearse(&day, &start, &mut |part| bar.set_position((part * 100.0) as u64));
    bar.finish_and_clear();
    let outcome = outcome.map_err(Failure::failed)?;
    if let Some(file) = &args.capture {
        outcome
            .capture
            .write(file)
            .map_err(|error| Failure::Failed(format!("{}: {error}", file.display())))?;
    }
    let verdict =
        judge(&outcome.capture).ok_or_else(|| Failure::Failed("the capture has no facts".to_owned()))?;
    print_verdict(&verdict, args.json.as_deref())?;
    println!(
        "took {:.1} s; {} calls left standing at servers at the end",
        outcome.took as f64 / 1e6,
        outcome.left_standing
    );
    if day.circuits.is_some() {
        println!(
            "{} calls of servers stood; {} circuits left in use after the last call",
            outcome.far_stood, outcome.circuits_in_use
        );
    }
    let mut all_kept = verdict.kept() && outcome.circuits_in_use == 0;
    if let Some((issued, complaints)) = &outcome.certificates {
        println!("{issued} certificates issued to nodes; {} complaints of the authority", complaints.len());
        for complaint in complaints {
            println!("  {complaint}");
        }
        all_kept &= complaints.is_empty();
    }
    if day.harmless {
        let refused = verdict.handshakes.map_or(0, |told| told.refused);
        println!(
            "a day without a reason for it: {} calls cut, {} turned away, {refused} handshakes refused",
            verdict.cut, verdict.turned_away
        );
        all_kept &= verdict.cut + verdict.turned_away + refused == 0;
    }
    if all_kept {
        Ok(())
    } else {
        Err(Failure::Reported)
    }
}

fn print_verdict(verdict: &Verdict, json: Option<&Path>) -> Result<(), Failure> {
    print!("{}", table(verdict, TableOptions::default()));
    if let Some(file) = json {
        let text = serde_json::to_string_pretty(verdict).map_err(Failure::failed)?;
        std::fs::write(file, text)
            .map_err(|error| Failure::Failed(format!("{}: {error}", file.display())))?;
    }
    Ok(())
}

pub fn judge_file(args: &JudgeArgs) -> Result<(), Failure> {
    let name = args.file.display();
    let capture = Capture::read(&args.file).map_err(|error| Failure::Usage(format!("{name}: {error}")))?;
    let verdict = judge(&capture)
        .ok_or_else(|| Failure::Usage(format!("{name}: the capture does not begin with its facts")))?;
    print_verdict(&verdict, args.json.as_deref())?;
    if verdict.kept() {
        Ok(())
    } else {
        Err(Failure::Reported)
    }
}
