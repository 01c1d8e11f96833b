//! Measures the cost of sealing, playing and generated cases as ratios within one run. Tests no limit.

use std::time::Instant;

use lemoncleat::*;
use lemoncleat_consistency::*;

const SERVERS: u32 = 1_024;

fn main() {
    let class =
        Class { aim: 1_500_000, deadline: 6_000_000, worth: 1.0, length: 60_000_000, ..Class::default() };
    let settings = Settings { classes: vec![class], max_attempts: 3, balancers: 9, ..Settings::default() };
    let rules = Rules { settings, plan: Vec::new() };
    let (version, plan) = (rules.version(), rules.plan_digest());

    let start = Instant::now();
    std::hint::black_box(Cases::<Controller>::tree(&rules));
    println!("generated cases: {} of {} events: {:.1} ms", CASES, STEPS, ms(start));

    let mut controller = Controller::new(rules.settings.clone(), 1).expect("settings");
    let mut actions = Vec::new();
    let member = |id| Member {
        server: ServerId(id),
        availability: Availability::Ready,
        started_at: None,
        place: i64::from(id % 16),
        zone: id % 3,
        kind: 0,
    };
    let list = (0..SERVERS).map(member).collect();
    controller.handle(0, Event::Members(ServerListUpdate::Complete(list)), &mut actions);
    for calls in [1_000_u64, 10_000] {
        let from = controller.sizes().calls as u64;
        for id in from..calls {
            let call = Call { id: CallId(id), patience: 6_000_000, width: 1.0, ..Call::default() };
            controller.handle(id as Micros, Event::Call(call), &mut actions);
        }
        let bounds = Bounds { interval: 0, ..Bounds::default() };
        let mut recorder = Recorder::new(0, bounds);
        let start = Instant::now();
        assert!(recorder.open(0, version, plan, &controller));
        let open = ms(start);
        let mut work = controller.clone();
        let (mut work_ms, mut recording) = (0.0, 0.0);
        for step in 0..1_000_u64 {
            let now = 20_000 + step as Micros * 100;
            let id = CallId(1_000_000 + step);
            let call = Call { id, patience: 6_000_000, width: 1.0, ..Call::default() };
            let event = Event::Call(call);
            let start = Instant::now();
            recorder.record_event(now, &event);
            recording += ms(start);
            actions.clear();
            let start = Instant::now();
            work.handle(now, event, &mut actions);
            work_ms += ms(start);
            let start = Instant::now();
            recorder.record_actions(now, &actions);
            recording += ms(start);
        }
        let start = Instant::now();
        let window = recorder.close(&work).expect("a window");
        let close = ms(start);
        let bytes = window.to_bytes();
        let start = Instant::now();
        let played = window.play::<Controller>(&rules);
        let play = ms(start);
        println!(
            "{SERVERS} servers, {} calls: {} bytes for {} steps; opened {open:.2} ms, closed {close:.2} ms, \
             recording {:.2} us a step, work {:.2} us a step (recording / work = {:.4}); \
             played {played:?} in {play:.1} ms \
             (played / work = {:.2}); at most {:.3} % of a core, one window in 30 s",
            controller.sizes().calls,
            bytes.len(),
            window.len(),
            recording,
            work_ms,
            recording / work_ms,
            play / work_ms,
            (open + close + recording) / 300.0,
        );
    }
}

fn ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}
