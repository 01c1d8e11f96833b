//! Measures, in one simulated run each: log entries per call, use of the last funds, set-up time in the core,
//! and units frozen by a lost node; and compares three models of sharing one balance.

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;
use std::time::Instant;

use common::*;
use lemoncleat_credit::*;

fn main() {
    entries();
    last_funds();
    core();
    lost_node();
}

fn entries() {
    let holder = HolderSettings::default();
    let config = SimulationConfig {
        nodes: 9,
        holder,
        ledger: LedgerSettings::default(),
        ..SimulationConfig::default()
    };
    let mut sim = Simulation::new(1, config);
    (sim.check_every_step, sim.skip_book_checks) = (false, true);
    sim.fund(1, 100_000_000, 0);
    for call in 0..8100u64 {
        sim.call(call as Micros * SECOND / 810, call, call as usize % 9, VOICE, 3 * SECOND);
    }
    sim.run(14 * SECOND);
    let mut waits: Vec<Micros> =
        sim.calls.values().filter_map(|call| Some(call.admitted? - call.asked)).collect();
    waits.sort_unstable();
    let waited = waits.iter().filter(|wait| **wait > 0).count();
    println!(
        "escrow grants, 9 nodes, 810 calls/s: {} admitted, {:.4} entries a call, {waited} waited, \
         longest {} ms",
        sim.admitted(),
        sim.entries as f64 / sim.admitted() as f64,
        waits.last().unwrap_or(&0) / MS,
    );
    println!("model, round trip 17 ms, calls of 3 s paid in slices of 5 s:");
    println!(
        "  central quota: 17 ms more a call, 2 entries a call unbatched, \
         a lost node freezes its calls' quotas"
    );
    println!("  an entry a call: 17 ms more a call, 2 entries a call, nothing frozen");
}

fn last_funds() {
    for (nodes, calls) in [(9, 100), (64, 100), (300, 100), (300, 1000)] {
        let mut sim = Simulation::new(2, SimulationConfig { nodes, ..SimulationConfig::default() });
        (sim.check_every_step, sim.skip_book_checks) = (false, true);
        sim.fund(1, 14 * calls, 0);
        for call in 0..calls * 20 {
            let at = call as Micros * 5 * MS;
            sim.call(at, call, (call as usize * 7) % nodes, VOICE, 2 * SECOND - 1);
        }
        sim.run(calls as Micros * 100 * MS + 5 * SECOND);
        let served = sim.calls.values().filter(|call| call.established.is_some()).count();
        let last = sim.calls.values().filter_map(|call| call.admitted).max().unwrap_or(0);
        println!(
            "{nodes} nodes, funds for {calls} calls: {served} became calls, {:.3} of a single counter; \
             last at {} ms",
            served as f64 / calls as f64,
            last / MS,
        );
    }
}

fn core() {
    let mut holder = Holder::new(1, 1, HolderSettings::default(), tariff());
    let mut out = Vec::new();
    let mut now = 0;
    let mut times = Vec::new();
    for call in 0..100_000u64 {
        now += 1_000;
        if call % 5_000 == 0 {
            // A grant arrives before it is needed.
            holder.handle(now, Input::SetUp { call: u64::MAX, customer: CUSTOMER, class: VOICE }, &mut out);
            holder.handle(now + 5_000, Input::Timeout, &mut out);
            let request = out.iter().find_map(|output| match output {
                Output::Propose(bytes) => decode(bytes)?.into_iter().find_map(|command| match command {
                    Command::RequestGrants { request, .. } => Some(request),
                    _ => None,
                }),
                _ => None,
            });
            let (customer, units, grant) = (CUSTOMER, 1_000_000, call + 1);
            let granted = Effect::Granted {
                node: 1,
                incarnation: 1,
                request: request.unwrap_or(0),
                grant,
                customer,
                units,
            };
            holder.handle(now + 5_000, Input::Effect(granted), &mut out);
            now += 5_000;
        }
        let start = Instant::now();
        holder.handle(now, Input::SetUp { call, customer: CUSTOMER, class: VOICE }, &mut out);
        times.push(start.elapsed().as_nanos());
        holder.handle(now, Input::Established { call }, &mut out);
        if call >= 3_000 {
            holder.handle(now, Input::Ended { call: call - 3_000 }, &mut out);
        }
        out.clear();
        black_box(&holder);
    }
    times.sort_unstable();
    let percentile = |share: f64| times[(times.len() as f64 * share) as usize] as f64 / 1000.0;
    println!(
        "a set-up in the core, 3,000 calls standing: p50 {:.2} us, p99 {:.2} us",
        percentile(0.5),
        percentile(0.99)
    );
}

fn lost_node() {
    let mut sim = Simulation::new(3, SimulationConfig { nodes: 9, ..SimulationConfig::default() });
    sim.skip_book_checks = true;
    sim.check_every_step = false;
    sim.fund(1, 1_000_000, 0);
    for call in 0..2000 {
        sim.call(call as Micros * 10 * MS, call, call as usize % 9, VOICE, 3 * SECOND);
    }
    sim.at(6 * SECOND, Event::Kill(4));
    sim.run(6 * SECOND);
    let frozen: Units =
        sim.ledger.open().filter(|(_, open)| open.node == 4).map(|(_, open)| open.units).sum();
    let spent = sim.ledger.account(CUSTOMER).map_or(0, |account| account.spent);
    let mut until = sim.now;
    while sim.ledger.open().any(|(_, open)| open.node == 4) && until < 60 * SECOND {
        until += 100 * MS;
        sim.run(until);
    }
    println!(
        "a lost node of 9 at 100 calls/s froze {frozen} units ({spent} spent by then), \
         written off {} ms later",
        (until - 6 * SECOND) / MS
    );
}
