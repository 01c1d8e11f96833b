//! The hard cases of docs/design/configuration.md, each with its laws, and wild times.

#[path = "net/cases.rs"]
mod cases;
mod net;

use cases::Case;

fn holds(case: Case, seeds: u64) {
    for seed in 0..seeds {
        if let Err(why) = case(seed) {
            panic!("seed {seed}: {why}");
        }
    }
}

macro_rules! cases {
    ($($case:ident: $seeds:expr,)*) => {
        $(#[test]
        fn $case() {
            holds(cases::$case, $seeds);
        })*
    };
}

cases! {
    a_change_reaches_all: 2,
    two_changes_on_one_parent: 20,
    the_leader_killed_between_commit_and_answer: 20,
    killed_between_fetching_and_force_or_while_storing: 8,
    a_torn_copy_is_told_and_not_used: 20,
    a_late_word_changes_nothing: 10,
    a_rollback_that_crosses_a_change: 20,
    a_change_during_a_cut_from_both_sides: 10,
    twenty_changes_within_a_minute: 3,
    a_text_that_half_can_not_use: 10,
    calls_refused_at_canaries_stop_it: 5,
    absent_canaries: 5,
    a_neighbour_that_serves_a_wrong_text: 4,
    a_neighbour_that_never_answers: 4,
    many_that_come_back_at_once: 1,
    a_start_waits_no_longer_than_it_must: 10,
    who_has_what: 3,
    bad_words_change_nothing: 10,
    wild_times: 100,
}
