//! Runs the test cases of docs/design/configuration.md and random faults, with several seeds each.

#[path = "net/cases.rs"]
mod cases;
mod net;

use cases::Case;

fn check_seeds(case: Case, seeds: u64) {
    for seed in 0..seeds {
        if let Err(reason) = case(seed) {
            panic!("seed {seed}: {reason}");
        }
    }
}

macro_rules! cases {
    ($($case:ident: $seeds:expr,)*) => {
        $(#[test]
        fn $case() {
            check_seeds(cases::$case, $seeds);
        })*
    };
}

cases! {
    change_reaches_all_members_within_5_s: 2,
    one_of_two_changes_on_the_same_parent_is_accepted: 20,
    order_is_answered_once_when_leader_dies_after_commit: 20,
    saved_copy_survives_kills_while_fetching_applying_or_persisting: 8,
    corrupt_copy_is_reported_and_not_used: 20,
    late_announcement_is_ignored: 10,
    one_of_rollback_and_concurrent_change_is_accepted: 20,
    only_the_majority_side_agrees_on_a_change_during_a_partition: 10,
    twenty_changes_settle_within_a_minute: 3,
    version_is_rolled_back_when_a_canary_refuses_it: 10,
    version_is_rolled_back_when_canaries_lose_calls: 5,
    trial_passes_with_half_of_the_canaries_and_fails_without_any: 5,
    wrong_text_is_reported_and_fetched_elsewhere: 4,
    text_is_fetched_elsewhere_when_a_neighbour_does_not_answer: 4,
    many_nodes_restarted_at_once_start_in_time: 1,
    start_waits_only_for_a_missing_announcement: 10,
    query_counts_versions_in_force: 3,
    malformed_messages_are_counted_and_ignored: 10,
    random_faults_and_changes_converge: 100,
}
