//! Chains of services under the virtual clock.

use lemoncleat_simulate::chain::{play, sum, Failing, Outcome, Part, Plan, Upward, VARIANTS};

fn short(seed: u64, depth: usize, name: &str) -> Plan {
    let variant = VARIANTS.into_iter().find(|one| one.name == name).expect("a variant of that name");
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

fn kept(plan: &Plan) -> Outcome {
    let outcome = play(plan).expect("usable settings");
    assert_eq!(outcome.broken, None, "{plan:?}");
    for span in &outcome.spans {
        assert!(span.entered > 0);
        assert_eq!(span.entered, span.stood + span.failed, "one answer for each call, in time: {plan:?}");
    }
    outcome
}

#[test]
fn a_seed_plays_the_same_run_each_time_and_another_seed_another() {
    let digest = |seed| kept(&short(seed, 4, "4")).digest;
    assert_eq!(digest(1), digest(1));
    assert_ne!(digest(1), digest(2));
}

#[test]
fn each_call_has_one_answer_in_time_whatever_fails_and_however_nodes_are_set() {
    for variant in VARIANTS {
        for how in [Failing::Error, Failing::Silence, Failing::Refusal] {
            for part in [Part::Servers, Part::SetUps] {
                let fails = if part == Part::Servers { 1.0 } else { 0.5 };
                let outcome = kept(&Plan { how, part, fails, ..short(3, 3, variant.name) });
                assert!(outcome.spans[0].share() > 0.9, "all is well before: {variant:?} {how:?}");
            }
        }
    }
}

#[test]
fn nothing_begins_after_the_callers_deadline_where_the_time_left_is_handed_down() {
    for variant in VARIANTS.iter().filter(|variant| variant.handed_down) {
        let outcome = kept(&Plan { how: Failing::Silence, ..short(5, 5, variant.name) });
        assert_eq!(outcome.spans.iter().map(|span| span.late).sum::<u64>(), 0, "{variant:?}");
    }
}

#[test]
fn a_failure_marked_as_tried_is_repeated_by_the_level_next_to_it_alone() {
    for (name, most) in [("4", f64::INFINITY), ("4-tried", 4.0)] {
        let outcome = kept(&short(7, 4, name));
        let while_failing = &outcome.spans[1];
        let bottom = while_failing.amplification(3);
        assert!(bottom <= most, "{name}: {bottom}");
        if VARIANTS.iter().any(|one| one.name == name && one.upward == Upward::Tried) {
            assert!(while_failing.amplification(0) < 1.5, "{name}: {while_failing:?}");
        }
    }
}

#[test]
fn the_sum_of_two_hops_is_their_convolution() {
    let sum = sum(&[(1_000, 1), (3_000, 1)], 2, 1_000, 5.0);
    assert_eq!((sum.independent.mean, sum.independent.p50, sum.independent.p99), (4.0, 4.0, 6.0));
    assert_eq!((sum.together.p50, sum.together.p99, sum.p99_bound, sum.over), (2.0, 6.0, 6.0, 0.25));
}
