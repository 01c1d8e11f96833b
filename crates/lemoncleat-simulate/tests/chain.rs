//! Chains of services under the virtual clock.

use lemoncleat_simulate::chain::{
    chain_latency, play, FailureMode, Outcome, Part, Plan, UpwardAnswer, VARIANTS,
};

fn short_plan(seed: u64, depth: usize, name: &str) -> Plan {
    let variant = VARIANTS.into_iter().find(|one| one.name == name).expect("no variant of that name");
    Plan {
        servers: 3,
        rate: 60.0,
        capacity: 40.0,
        settle: 1_000_000,
        before: 2_000_000,
        failing: 2_000_000,
        after: 6_000_000,
        ..Plan::new(seed, depth, 1.0, variant)
    }
}

fn play_and_check(plan: &Plan) -> Outcome {
    let outcome = play(plan).expect("settings rejected");
    assert_eq!(outcome.broken, None, "{plan:?}");
    for span in &outcome.spans {
        assert!(span.entered > 0);
        assert_eq!(span.entered, span.stood + span.failed, "not one answer for each call in time: {plan:?}");
    }
    outcome
}

#[test]
fn equal_seeds_give_equal_runs_and_different_seeds_different_runs() {
    let digest = |seed| play_and_check(&short_plan(seed, 4, "4")).digest;
    assert_eq!(digest(1), digest(1));
    assert_ne!(digest(1), digest(2));
}

#[test]
fn each_call_has_one_answer_in_time_for_every_variant_and_failure() {
    for variant in VARIANTS {
        for how in [FailureMode::Error, FailureMode::Silence, FailureMode::Refusal] {
            for part in [Part::Servers, Part::SetUps] {
                let fails = if part == Part::Servers { 1.0 } else { 0.5 };
                let outcome = play_and_check(&Plan { how, part, fails, ..short_plan(3, 3, variant.name) });
                assert!(
                    outcome.spans[0].share() > 0.9,
                    "calls fail before the failure begins: {variant:?} {how:?}"
                );
            }
        }
    }
}

#[test]
fn no_attempt_begins_after_the_callers_deadline_when_the_time_left_is_handed_down() {
    for variant in VARIANTS.iter().filter(|variant| variant.handed_down) {
        let outcome = play_and_check(&Plan { how: FailureMode::Silence, ..short_plan(5, 5, variant.name) });
        assert_eq!(outcome.spans.iter().map(|span| span.late).sum::<u64>(), 0, "{variant:?}");
    }
}

#[test]
fn a_failure_marked_as_tried_is_repeated_only_by_the_adjacent_level() {
    for (name, most) in [("4", f64::INFINITY), ("4-tried", 4.0)] {
        let outcome = play_and_check(&short_plan(7, 4, name));
        let while_failing = &outcome.spans[1];
        let bottom = while_failing.amplification(3);
        assert!(bottom <= most, "{name}: {bottom}");
        if VARIANTS.iter().any(|one| one.name == name && one.upward == UpwardAnswer::Tried) {
            assert!(while_failing.amplification(0) < 1.5, "{name}: {while_failing:?}");
        }
    }
}

#[test]
fn latency_of_two_independent_hops_is_their_convolution() {
    let latency = chain_latency(&[(1_000, 1), (3_000, 1)], 2, 1_000, 5.0);
    assert_eq!((latency.independent.mean, latency.independent.p50, latency.independent.p99), (4.0, 4.0, 6.0));
    assert_eq!(
        (latency.together.p50, latency.together.p99, latency.p99_bound, latency.over),
        (2.0, 6.0, 6.0, 0.25)
    );
}
