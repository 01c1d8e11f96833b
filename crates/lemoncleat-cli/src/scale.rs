//! `lemoncleat rehearse scale`: a large fleet of real nodes and hollow nodes (nodes without calls).

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_lite::StreamExt;
use lemoncleat_lab::scale::{rehearse_scale, scale_table, ScalePlan};
use lemoncleat_lab::Micros;

use crate::args::RehearseArgs;
use crate::{signals, Failure};

/// Name of the rehearsal on the command line.
pub const SCALE: &str = "scale";
const DEFAULT_SEED: u64 = 1;
/// Number of nodes from which a fleet has longer rounds by default and five voters.
const LARGE_FLEET_NODES: usize = 300;
/// Default round of a large fleet: with 1,000 nodes on eight cores, each node has 8 ms of processor time per
/// second.
const LARGE_FLEET_ROUND_US: Micros = 2_000_000;
/// Calls per second through all real nodes together.
const CALLS_PER_SECOND: f64 = 40.0;

fn plan(args: &RehearseArgs) -> Result<ScalePlan, Failure> {
    let nodes = args.nodes as usize;
    let large = nodes >= LARGE_FLEET_NODES;
    let rest = if large { Duration::from_secs(10) } else { Duration::from_secs(3) };
    let round = args.round.map_or(if large { LARGE_FLEET_ROUND_US } else { 500_000 }, |round| round.0);
    Ok(ScalePlan {
        binary: std::env::current_exe().map_err(Failure::failed)?,
        nodes,
        real: args.real as usize,
        voters: if large { 5 } else { 3 },
        seed: args.seed.unwrap_or(DEFAULT_SEED),
        folder: std::env::temp_dir().join(format!("lemoncleat-scale-{}", std::process::id())),
        round,
        rest: args.length.map_or(rest, |length| Duration::from_micros(length.0.max(0) as u64)),
        restarts: 3,
        changes: args.changes as usize,
        rate: CALLS_PER_SECOND,
        patience: Duration::from_secs(60) + Duration::from_micros(round.max(0) as u64) * 30,
        stop: Arc::new(AtomicBool::new(false)),
    })
}

pub fn scale(args: &RehearseArgs) -> Result<(), Failure> {
    let plan = plan(args)?;
    let mut signal_stream = signals::register()?;
    let stop = plan.stop.clone();
    std::thread::spawn(move || {
        futures_lite::future::block_on(async {
            while signal_stream.next().await.is_some() {
                stop.store(true, Ordering::SeqCst);
            }
        });
    });
    println!("scale: {} nodes, rounds of {} ms, seed {}", plan.nodes, plan.round / 1_000, plan.seed);
    let result = rehearse_scale(&plan, &mut |line| println!("{line}"));
    let report = result.map_err(|error| match error.kind() {
        std::io::ErrorKind::InvalidInput => Failure::Usage(error.to_string()),
        _ => Failure::failed(error),
    })?;
    print!("{}", scale_table(&report));
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(&report).map_err(Failure::failed)?;
        std::fs::write(file, text)
            .map_err(|error| Failure::Failed(format!("{}: {error}", file.display())))?;
    }
    if report.kept {
        Ok(())
    } else {
        Err(Failure::Reported)
    }
}
