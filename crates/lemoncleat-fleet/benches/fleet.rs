//! What a node sends, and how long things take, at 9, 64 and 300 nodes, on a simulated network with delays of
//! 0.5 to 5 ms. Times are the virtual clock's; the processor's share is real, of one thread that plays all nodes,
//! the network's own work included.
//!
//! `cargo bench -p lemoncleat-fleet`

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::{Net, S};
use lemoncleat_fleet::{Carrier, Output, State};

fn seconds(span: Option<i64>) -> f64 {
    span.map_or(f64::NAN, |span| span as f64 / S as f64)
}

/// Messages and bytes a second and microseconds a second of each node, over a span.
fn rates(net: &mut Net, span: i64, each_second: impl Fn(&mut Net, i64)) -> (f64, f64, f64) {
    let (before, began) = (net.told, Instant::now());
    for second in 0..span / S {
        each_second(net, second);
        net.run(S);
    }
    let per = |count: f64| count / net.nodes.len() as f64 / (span / S) as f64;
    let used = began.elapsed().as_secs_f64() * 1e6;
    (per((net.told.0 - before.0) as f64), per((net.told.1 - before.1) as f64), per(used))
}

fn main() {
    for carrier in [Carrier::Notes, Carrier::Connections] {
        for size in [9, 64, 300] {
            let mut net = Net::new(size, carrier, 1);
            net.slack = 1_000 * S;
            let known = net.settle(120 * S);
            net.run(30 * S);
            let quiet = rates(&mut net, 20 * S, |_, _| {});
            let few = rates(&mut net, 20 * S, |net, second| net.publish(second as usize % 9));
            let all = rates(&mut net, 20 * S, |net, second| {
                (0..net.nodes.len())
                    .filter(|at| *at as i64 % 10 == second % 10)
                    .for_each(|at| net.publish(at));
            });
            net.run(10 * S);
            net.publish(3);
            let began = net.now;
            net.log.clear();
            net.run(5 * S);
            let facts = net.log.iter().filter(|(.., it)| matches!(it, Output::Fact(_)));
            let times: Vec<i64> = facts.map(|(at, ..)| *at - began).collect();
            let fact = (times.len() + 1 >= size).then(|| times.iter().max().copied()).flatten();
            net.kill(1);
            let gone = net.settle(120 * S);
            net.start(1, 101);
            net.settle(60 * S);
            println!("{carrier:?} {size}: whole start {:.1} s, fact with all {:.2} s, killed known by all {:.1} s, \
                most connections {}", seconds(known), seconds(fact), seconds(gone), net.busiest);
            for (what, (messages, bytes, used)) in
                [("quiet", quiet), ("one fact a second in all", few), ("each a fact every ten", all)]
            {
                println!("    {what}: {messages:.1} messages/s, {bytes:.0} bytes/s, {used:.0} us/s a node");
            }
            net.log.clear();
            net.lost = 0.05;
            net.run(if size == 300 { 200 } else { 1_000 } * S);
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
