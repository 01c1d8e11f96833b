//! Measures the cost of a decided command: voters in one process and thread, with links in memory, and with
//! disks that store nothing or with real ones. Prints rates and their ratios.

use std::collections::VecDeque;
use std::time::Instant;

use lemoncleat_agreement::{Found, Input, Output, Settings, Store, Timing, Voter};

struct Measurement {
    rate: f64,
    bytes: f64,
    batches: f64,
    rounds: f64,
}

/// Decides `count` commands of 100 bytes on all voters, with `window` of them proposed at a time.
fn run(voters: u64, count: u64, window: u64, real_disks: bool) -> Measurement {
    let directory = tempfile::tempdir().expect("a directory");
    let numbers: Vec<u64> = (1..=voters).collect();
    let mut stores = Vec::new();
    let mut cores = Vec::new();
    for own in numbers.clone() {
        let store =
            real_disks.then(|| Store::open(&directory.path().join(own.to_string()), own).expect("a store"));
        stores.push(store);
        let settings = Settings {
            own,
            voters: numbers.clone(),
            timing: Timing::default(),
            max_command: 1024,
            snapshot_every: 10_000,
        };
        cores.push(Voter::new(settings, Found::new(own), own).expect("a voter"));
    }
    let mut now = 0;
    let mut messages: VecDeque<(u64, u64, Vec<u8>)> = VecDeque::new();
    let (mut decided, mut proposed) = (vec![0; cores.len()], 0);
    let (mut bytes, mut batches, mut rounds) = (0, 0, 0);
    let mut started_at = Instant::now();
    let mut storing: Vec<(usize, u64)> = Vec::new();
    let mut leader: Option<usize> = None;
    while decided.iter().any(|decided| *decided < count) {
        let mut inputs: Vec<(usize, Input)> = Vec::new();
        let received: Vec<(u64, u64, Vec<u8>)> = messages.drain(..).collect();
        for (from, to, bytes) in &received {
            inputs.push((*to as usize - 1, Input::Received { from: *from, bytes }));
        }
        match leader {
            Some(leader) => {
                let own: u64 = decided[leader];
                while proposed < count && proposed - own < window {
                    proposed += 1;
                    let command = vec![proposed as u8; 100];
                    inputs.push((leader, Input::Propose { token: proposed, command }));
                }
                if inputs.is_empty() && storing.is_empty() {
                    now += 50_000;
                    inputs.extend((0..cores.len()).map(|core| (core, Input::Timeout)));
                } else {
                    rounds += 1;
                }
            }
            None => {
                now += 50_000;
                inputs.extend((0..cores.len()).map(|core| (core, Input::Timeout)));
            }
        }
        let mut stored: Vec<(usize, u64)> = Vec::new();
        std::mem::swap(&mut stored, &mut storing);
        inputs.extend(stored.into_iter().map(|(core, number)| (core, Input::Stored(number))));
        for (core, input) in inputs {
            let mut outputs = Vec::new();
            cores[core].handle(now, input, &mut outputs);
            let mut outputs = VecDeque::from(outputs);
            while let Some(output) = outputs.pop_front() {
                match output {
                    Output::Send { to, bytes: message } => {
                        bytes += message.len();
                        messages.push_back((core as u64 + 1, to, message));
                    }
                    Output::Store(batch) => {
                        batches += 1;
                        if let Some(store) = &mut stores[core] {
                            store.apply(&batch).expect("a batch is stored");
                        }
                        // Reported in the next round: proposals and messages accumulate in between, as with a
                        // writer thread.
                        storing.push((core, batch.number));
                    }
                    Output::Decided { .. } => decided[core] += 1,
                    Output::TakeSnapshot { index } => {
                        let mut more = Vec::new();
                        cores[core].handle(now, Input::Snapshot { index, bytes: vec![0; 1000] }, &mut more);
                        outputs.extend(more);
                    }
                    Output::Leader(Some(voter)) if voter == core as u64 + 1 => {
                        leader = Some(core);
                        (bytes, batches, rounds, started_at) = (0, 0, 0, Instant::now());
                    }
                    _ => {}
                }
            }
        }
    }
    let count = count as f64;
    Measurement {
        rate: count / started_at.elapsed().as_secs_f64(),
        bytes: bytes as f64 / count,
        batches: batches as f64 / count,
        rounds: rounds as f64 / count,
    }
}

fn main() {
    println!("voters window disk     commands/s  bytes/command  batches/command  rounds/command");
    let mut rates = Vec::new();
    for (voters, count, window, real_disks) in [
        (3, 2_000, 1, false),
        (3, 100_000, 256, false),
        (5, 50_000, 256, false),
        (3, 200, 1, true),
        (3, 10_000, 256, true),
        (5, 5_000, 256, true),
    ] {
        let measurement = run(voters, count, window, real_disks);
        let disk = if real_disks { "redb" } else { "none" };
        println!(
            "{voters:>6} {window:>6} {disk:<7} {:>11.0} {:>14.0} {:>16.3} {:>15.3}",
            measurement.rate, measurement.bytes, measurement.batches, measurement.rounds
        );
        rates.push(measurement.rate);
    }
    println!("256 at a time to one at a time, no disk: {:.1}", rates[1] / rates[0]);
    println!("256 at a time to one at a time, redb:    {:.1}", rates[4] / rates[3]);
    println!("no disk to redb, 3 voters, 256 at a time: {:.1}", rates[1] / rates[4]);
}
