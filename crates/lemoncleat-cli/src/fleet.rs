//! `lemoncleat rehearse agree`: the agreement of a fleet of real processes under faults.

use std::time::Duration;

use lemoncleat_lab::{rehearse_agree, AgreePlan, Check};

use crate::args::RehearseArgs;
use crate::Failure;

/// Name of the rehearsal on the command line.
pub const AGREE: &str = "agree";
/// Default duration of the faults.
const DEFAULT_LENGTH: Duration = Duration::from_secs(30);
const DEFAULT_SEED: u64 = 1;

pub fn agree(args: &RehearseArgs) -> Result<(), Failure> {
    let folder = std::env::temp_dir().join(format!("lemoncleat-agree-{}", std::process::id()));
    let length = args.length.map_or(DEFAULT_LENGTH, |length| Duration::from_micros(length.0.max(0) as u64));
    let plan = AgreePlan {
        binary: std::env::current_exe().map_err(Failure::failed)?,
        nodes: args.nodes as usize,
        seed: args.seed.unwrap_or(DEFAULT_SEED),
        length,
        folder,
    };
    println!(
        "agree: {} nodes, 3 of them voters, faults for {} s, seed {}",
        plan.nodes,
        length.as_secs(),
        plan.seed
    );
    let verdict = rehearse_agree(&plan, &mut |line| println!("{line}")).map_err(Failure::failed)?;
    println!("{} answers, {} times asked again", verdict.answered, verdict.asked_again);
    if let (Some(longest), count) = (verdict.recovered_ms.first(), verdict.recovered_ms.len()) {
        let middle = verdict.recovered_ms[count / 2];
        println!("agreed again {count} times, after {middle} ms in the middle, {longest} ms at the longest");
    }
    print_checks(&verdict.checks);
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(&verdict).map_err(Failure::failed)?;
        std::fs::write(file, text)
            .map_err(|error| Failure::Failed(format!("{}: {error}", file.display())))?;
    }
    if verdict.kept() {
        Ok(())
    } else {
        Err(Failure::Reported)
    }
}

/// Prints one line per invariant: whether it was kept and in how many cases it was checked.
fn print_checks(checks: &[Check]) {
    for check in checks {
        let kept = if check.broken.is_empty() { "kept  " } else { "BROKEN" };
        println!("{kept} {:>7} cases  {}", check.cases, check.law);
        for broken in check.broken.iter().take(10) {
            println!("       {broken}");
        }
    }
}
