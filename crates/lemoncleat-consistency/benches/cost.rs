//! What sealing, playing and the generated cases cost, as ratios in one run. Not a test of any limit.

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

    let began = Instant::now();
    std::hint::black_box(Cases::<Controller>::tree(&rules));
    println!("generated cases: {} of {} events: {:.1} ms", CASES, STEPS, ms(began));

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
    controller.handle(0, Event::Members(MemberNews::Complete(list)), &mut actions);
    for calls in [1_000_u64, 10_000] {
        let from = controller.sizes().calls as u64;
        for id in from..calls {
            let call = Call { id: CallId(id), patience: 6_000_000, width: 1.0, ..Call::default() };
            controller.handle(id as Micros, Event::Call(call), &mut actions);
        }
        let bounds = Bounds { every: 0, ..Bounds::default() };
        let mut recorder = Recorder::new(0, bounds);
        let began = Instant::now();
        assert!(recorder.open(0, version, plan, &controller));
        let open = ms(began);
        let mut work = controller.clone();
        let (mut plain, mut noted) = (0.0, 0.0);
        for step in 0..1_000_u64 {
            let now = 20_000 + step as Micros * 100;
            let id = CallId(1_000_000 + step);
            let call = Call { id, patience: 6_000_000, width: 1.0, ..Call::default() };
            let event = Event::Call(call);
            let began = Instant::now();
            recorder.event(now, &event);
            noted += ms(began);
            actions.clear();
            let began = Instant::now();
            work.handle(now, event, &mut actions);
            plain += ms(began);
            let began = Instant::now();
            recorder.acted(now, &actions);
            noted += ms(began);
        }
        let began = Instant::now();
        let window = recorder.close(&work).expect("a window");
        let close = ms(began);
        let bytes = window.to_bytes();
        let began = Instant::now();
        let played = window.play::<Controller>(&rules);
        let play = ms(began);
        println!(
            "{SERVERS} servers, {} calls: {} bytes for {} steps; opened {open:.2} ms, closed {close:.2} ms, taken down \
             {:.2} us a step, work {:.2} us a step (taking down / work = {:.4}); played {played:?} in {play:.1} ms \
             (played / work = {:.2}); at most {:.3} % of a core, one window in 30 s",
            controller.sizes().calls,
            bytes.len(),
            window.len(),
            noted,
            plain,
            noted / plain,
            play / plain,
            (open + close + noted) / 300.0,
        );
    }
}

fn ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}
