//! Measures what a node sends, and convergence times, at 9, 64 and 300 nodes on a simulated network with
//! delays of 0.5 to 5 ms. Times are those of the virtual clock; processor time is real, of the one thread
//! that runs all nodes, and includes the work of the simulated network.
//!
//! `cargo bench -p lemoncleat-fleet`

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::{Net, SECOND};
use lemoncleat_fleet::{Output, State, Transport};

fn seconds(span: Option<i64>) -> f64 {
    span.map_or(f64::NAN, |span| span as f64 / SECOND as f64)
}

/// Returns messages, bytes and microseconds of processor time per second and node over a span.
fn rates(net: &mut Net, span: i64, each_second: impl Fn(&mut Net, i64)) -> (f64, f64, f64) {
    let (before, began) = (net.sent, Instant::now());
    for second in 0..span / SECOND {
        each_second(net, second);
        net.run(SECOND);
    }
    let per = |count: f64| count / net.nodes.len() as f64 / (span / SECOND) as f64;
    let processor_us = began.elapsed().as_secs_f64() * 1e6;
    (per((net.sent.0 - before.0) as f64), per((net.sent.1 - before.1) as f64), per(processor_us))
}

fn main() {
    for carrier in [Transport::Notes, Transport::Connections] {
        for size in [9, 64, 300] {
            let mut net = Net::new(size, carrier, 1);
            net.age_slack = 1_000 * SECOND;
            let start_time = net.settle(120 * SECOND);
            net.run(30 * SECOND);
            let idle = rates(&mut net, 20 * SECOND, |_, _| {});
            let one_publisher = rates(&mut net, 20 * SECOND, |net, second| net.publish(second as usize % 9));
            let all_publishers = rates(&mut net, 20 * SECOND, |net, second| {
                (0..net.nodes.len())
                    .filter(|at| *at as i64 % 10 == second % 10)
                    .for_each(|at| net.publish(at));
            });
            net.run(10 * SECOND);
            net.publish(3);
            let began = net.now;
            net.log.clear();
            net.run(5 * SECOND);
            let facts = net.log.iter().filter(|(.., it)| matches!(it, Output::Fact(_)));
            let times: Vec<i64> = facts.map(|(at, ..)| *at - began).collect();
            let fact_time = (times.len() + 1 >= size).then(|| times.iter().max().copied()).flatten();
            net.kill(1);
            let gone_time = net.settle(120 * SECOND);
            net.start(1, 101);
            net.settle(60 * SECOND);
            println!(
                "{carrier:?} {size}: whole start {:.1} s, fact with all {:.2} s, \
                killed known by all {:.1} s, most connections {}",
                seconds(start_time),
                seconds(fact_time),
                seconds(gone_time),
                net.max_connections
            );
            for (load, (messages, bytes, processor_us)) in [
                ("quiet", idle),
                ("one fact a second in all", one_publisher),
                ("each a fact every ten", all_publishers),
            ] {
                println!(
                    "    {load}: {messages:.1} messages/s, {bytes:.0} bytes/s, {processor_us:.0} us/s a node"
                );
            }
            net.log.clear();
            net.lost = 0.05;
            net.run(if size == 300 { 200 } else { 1_000 } * SECOND);
            let count = |wanted| {
                let is = |it: &Output| matches!(it, Output::State { state, .. } if *state == wanted);
                net.log.iter().filter(|(_, _, it)| is(it)).count()
            };
            let probes: u64 = net.nodes.iter().flatten().map(|node| node.stats().suspicions).sum();
            println!(
                "    5 % lost, {} rounds: {probes} probes failed in vain, {} held gone",
                if size == 300 { 200 } else { 1_000 },
                count(State::Gone)
            );
        }
    }
}
