//! Compares the selection of an idle circuit with a linear scan, by group size and share of busy circuits.

use std::hint::black_box;
use std::time::Instant;

use lemoncleat_circuits::glare::Control;
use lemoncleat_circuits::{Event, Group, GroupSettings, Order, Selector, Timers};

const ITERATIONS: usize = 200_000;

fn measure_ns(iterations: usize, mut operation: impl FnMut()) -> f64 {
    let runs = (0..5).map(|_| {
        let start = Instant::now();
        for _ in 0..iterations {
            operation();
        }
        start.elapsed().as_secs_f64() * 1e9 / iterations as f64
    });
    runs.fold(f64::INFINITY, f64::min)
}

/// Measures a complete call at both ends: seizure, acceptance, release and reply.
fn measure_calls(size: u32) {
    let settings = |control| GroupSettings {
        size,
        order: Order::OwnFirst,
        control,
        timers: Timers::default(),
        audits: None,
    };
    let mut ends = [Group::new(settings(Control::Even), 0, 1), Group::new(settings(Control::Odd), 0, 2)];
    let mut call = 0;
    let mut out = Vec::new();
    let call_time = measure_ns(ITERATIONS, || {
        call += 1;
        let Some(circuit) = ends[0].seize(0, call, false, &mut out) else { return };
        // Messages are exchanged until none is left; an offered call is accepted, an established one
        // released.
        let mut from = 0;
        while !out.is_empty() {
            let mut next = Vec::new();
            for event in out.drain(..) {
                match event {
                    Event::Send(token, request) => ends[1 - from].request(0, token, &request, &mut next),
                    Event::Reply(token, reply) => ends[1 - from].reply(0, token, &reply, &mut next),
                    _ => {}
                }
            }
            from = 1 - from;
            if next.iter().any(|event| matches!(event, Event::Offered(..))) {
                ends[from].accept(circuit, &mut next);
            }
            if next.iter().any(|event| matches!(event, Event::Stands(..))) {
                ends[from].release(0, circuit, &mut next);
            }
            out = next;
        }
    });
    println!(
        "{size:>7} circuits: complete call at both ends {call_time:.0} ns, {:.2} million calls/s",
        1e3 / call_time
    );
}

fn main() {
    println!("select and seize a circuit, then free the one seized first; ns, minimum of 5 runs");
    for size in [30u32, 1_000, 100_000] {
        for busy in [0.1, 0.9, 0.999] {
            let busy_count = ((f64::from(size) * busy) as u32).min(size - 1).max(1);
            let mut idle_flags: Vec<bool> = (0..size).map(|circuit| circuit >= busy_count).collect();
            let mut queue: std::collections::VecDeque<u32> = (0..busy_count).collect();
            let scan = measure_ns(if size > 1_000 { 2_000 } else { ITERATIONS }, || {
                if let Some(circuit) = black_box(&idle_flags).iter().position(|idle| *idle) {
                    idle_flags[circuit] = false;
                    queue.push_back(circuit as u32);
                }
                if let Some(freed) = queue.pop_front() {
                    idle_flags[freed as usize] = true;
                }
            });
            print!("{size:>7} circuits, {:>5.1}% busy: scan {scan:>8.0}", busy * 100.0);
            for order in Order::ALL {
                let mut selector = Selector::new(order, size, Some(0));
                (busy_count..size).for_each(|circuit| selector.insert(circuit));
                let mut queue: std::collections::VecDeque<u32> = (0..busy_count).collect();
                let indexed = measure_ns(ITERATIONS, || {
                    if let Some(circuit) = selector.choose() {
                        selector.remove(circuit);
                        queue.push_back(circuit);
                    }
                    if let Some(freed) = queue.pop_front() {
                        selector.insert(freed);
                    }
                });
                print!("  {order:?} {indexed:.0} ({:.1}x)", scan / indexed);
            }
            println!();
        }
    }
    [30, 1_000, 100_000].into_iter().for_each(measure_calls);
}
