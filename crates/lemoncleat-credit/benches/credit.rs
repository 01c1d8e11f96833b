//! Figures of one simulated run each: entries a call, what the last funds became, set-up time in the core, money
//! that a lost node freezes; and a small model of three ways to hold one balance.

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
    let plan = Plan { nodes: 9, holder, ledger: LedgerSettings::default(), ..Plan::default() };
    let mut world = World::new(1, plan);
    (world.every_step, world.light) = (false, true);
    world.fund(1, 100_000_000, 0);
    for call in 0..8100u64 {
        world.call(call as Micros * SECOND / 810, call, call as usize % 9, VOICE, 3 * SECOND);
    }
    world.run(14 * SECOND);
    let mut waits: Vec<Micros> =
        world.calls.values().filter_map(|call| Some(call.admitted? - call.asked)).collect();
    waits.sort_unstable();
    let waited = waits.iter().filter(|wait| **wait > 0).count();
    println!(
        "escrow grants, 9 nodes, 810 calls/s: {} let in, {:.4} entries a call, {waited} waited, longest {} ms",
        world.admitted(),
        world.entries as f64 / world.admitted() as f64,
        waits.last().unwrap_or(&0) / MS,
    );
    println!("model, round trip 17 ms, calls of 3 s paid in slices of 5 s:");
    println!("  central quota: 17 ms more a call, 2 entries a call unjoined, a lost node freezes its calls' quotas");
    println!("  an entry a call: 17 ms more a call, 2 entries a call, nothing frozen");
}

fn last_funds() {
    for (nodes, calls) in [(9, 100), (64, 100), (300, 100), (300, 1000)] {
        let mut world = World::new(2, Plan { nodes, ..Plan::default() });
        (world.every_step, world.light) = (false, true);
        world.fund(1, 14 * calls, 0);
        for call in 0..calls * 20 {
            let at = call as Micros * 5 * MS;
            world.call(at, call, (call as usize * 7) % nodes, VOICE, 2 * SECOND - 1);
        }
        world.run(calls as Micros * 100 * MS + 5 * SECOND);
        let served = world.calls.values().filter(|call| call.stood.is_some()).count();
        let last = world.calls.values().filter_map(|call| call.admitted).max().unwrap_or(0);
        println!(
            "{nodes} nodes, funds for {calls} calls: {served} became calls, {:.3} of a single counter; last at {} ms",
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
            // A grant comes before it is needed.
            holder.handle(now, Input::SetUp { call: u64::MAX, customer: CUSTOMER, class: VOICE }, &mut out);
            holder.handle(now + 5_000, Input::Timeout, &mut out);
            let ask = out.iter().find_map(|output| match output {
                Output::Propose(bytes) => read(bytes)?.into_iter().find_map(|command| match command {
                    Command::Ask { ask, .. } => Some(ask),
                    _ => None,
                }),
                _ => None,
            });
            let (customer, units, grant) = (CUSTOMER, 1_000_000, call + 1);
            let granted =
                Effect::Granted { node: 1, incarnation: 1, ask: ask.unwrap_or(0), grant, customer, units };
            holder.handle(now + 5_000, Input::Effect(granted), &mut out);
            now += 5_000;
        }
        let begun = Instant::now();
        holder.handle(now, Input::SetUp { call, customer: CUSTOMER, class: VOICE }, &mut out);
        times.push(begun.elapsed().as_nanos());
        holder.handle(now, Input::Stood { call }, &mut out);
        if call >= 3_000 {
            holder.handle(now, Input::Ended { call: call - 3_000 }, &mut out);
        }
        out.clear();
        black_box(&holder);
    }
    times.sort_unstable();
    let at = |share: f64| times[(times.len() as f64 * share) as usize] as f64 / 1000.0;
    println!("a set-up in the core, 3,000 calls standing: p50 {:.2} us, p99 {:.2} us", at(0.5), at(0.99));
}

fn lost_node() {
    let mut world = World::new(3, Plan { nodes: 9, ..Plan::default() });
    world.light = true;
    world.every_step = false;
    world.fund(1, 1_000_000, 0);
    for call in 0..2000 {
        world.call(call as Micros * 10 * MS, call, call as usize % 9, VOICE, 3 * SECOND);
    }
    world.at(6 * SECOND, Event::Kill(4));
    world.run(6 * SECOND);
    let frozen: Units =
        world.ledger.open().filter(|(_, open)| open.node == 4).map(|(_, open)| open.units).sum();
    let spent = world.ledger.account(CUSTOMER).map_or(0, |account| account.spent);
    let mut until = world.now;
    while world.ledger.open().any(|(_, open)| open.node == 4) && until < 60 * SECOND {
        until += 100 * MS;
        world.run(until);
    }
    println!(
        "a lost node of 9 at 100 calls/s froze {frozen} units ({spent} spent by then), written off {} ms later",
        (until - 6 * SECOND) / MS
    );
}
