//! Plays fleets of real parts under the virtual clock, with fixed seeds.

use lemoncleat_simulate::fleet::{play, Counts, Plan, VersionCounts};

fn play_clean(seed: u64, nodes: usize) -> Counts {
    let outcome = play(&Plan::draw(seed, nodes), None);
    let reproduce =
        format!("reproduce with: lemoncleat simulate --fleet --nodes {nodes} --seed {seed} --trace");
    assert_eq!(outcome.finding, None, "seed {seed}; {reproduce}");
    outcome.counts
}

#[test]
fn nine_nodes_keep_every_invariant_and_recover_and_each_invariant_is_exercised() {
    let mut counts = Counts::default();
    std::thread::scope(|scope| {
        let quarter = |first: u64| {
            scope.spawn(move || (first..first + 5).map(|seed| play_clean(seed, 9)).collect::<Vec<_>>())
        };
        for quarter in [0, 5, 10, 15].map(quarter) {
            quarter.join().expect("a seed has a finding").iter().for_each(|some| counts.add(some));
        }
    });
    let exercised = [counts.answered, counts.agreed, counts.applied, counts.without_quorum];
    let more = [counts.late, counts.promises, counts.facts, counts.unstored];
    assert!(exercised.iter().chain(&more).all(|times| *times > 10), "{counts:?}");
}

#[test]
fn sixty_four_nodes_keep_every_invariant_and_recover() {
    play_clean(4, 64);
}

#[test]
fn equal_seeds_give_equal_runs_and_different_seeds_different_runs() {
    let digest = |seed| play(&Plan::draw(seed, 9), None).digest;
    assert_eq!(digest(3), digest(3));
    assert_ne!(digest(3), digest(4));
}

fn play_configured(seed: u64) -> VersionCounts {
    let outcome = play(&Plan::draw(seed, 9).with_configuration(), None);
    let reproduce =
        format!("reproduce with: lemoncleat simulate --fleet --configuration --seed {seed} --trace");
    assert_eq!(outcome.finding, None, "seed {seed}; {reproduce}");
    outcome.versions
}

#[test]
fn a_configuration_keeps_its_invariants_and_each_is_exercised() {
    let mut counts = VersionCounts::default();
    std::thread::scope(|scope| {
        let some =
            |first: u64| scope.spawn(move || (first..first + 5).map(play_configured).collect::<Vec<_>>());
        for some in [20, 25, 30, 35].map(some) {
            some.join().expect("a seed has a finding").iter().for_each(|some| counts.add(some));
        }
    });
    let exercised = [counts.agreed, counts.refused, counts.for_all, counts.taken_back, counts.starts];
    assert!(exercised.iter().all(|times| *times > 20), "{counts:?}");
    assert!(counts.objections > 0 && counts.copies_lost > 0 && counts.wrong_chunks > 0, "{counts:?}");
    assert!(counts.slowest < 10_000_000, "{counts:?}");
}

#[test]
fn changes_for_a_voter_far_behind_fit_into_messages_of_the_carrier() {
    play_configured(9);
}

#[test]
fn a_node_restarted_with_a_copy_stored_during_a_trial_learns_of_the_trial() {
    play_configured(107);
}

/// Each planted fault must be found within a given number of seeds.
#[cfg(feature = "faults")]
mod planted {
    use super::*;
    use lemoncleat_agreement::planted as agreement;
    use lemoncleat_fleet as fleet;

    fn found(within: u64, violation: &str) {
        let found = |seed: &u64| {
            let finding = play(&Plan::draw(*seed, 9), None).finding;
            finding.is_some_and(|(_, why)| why.contains(violation))
        };
        assert!((0..within).any(|seed| found(&seed)), "not found in {within} seeds: {violation}");
    }

    #[test]
    fn a_message_sent_before_its_state_is_stored_is_found() {
        agreement::plant(Some(agreement::Plant::SendsEarly));
        found(2, "its disk has");
    }

    #[test]
    fn an_unstored_vote_is_found() {
        agreement::plant(Some(agreement::Plant::ForgetsVote));
        found(2, "its disk has");
    }

    #[test]
    fn a_failed_batch_treated_as_stored_is_found() {
        agreement::plant(Some(agreement::Plant::IgnoresFailure));
        found(20, "its disk has");
    }

    #[test]
    fn a_fact_whose_age_is_reset_is_found() {
        fleet::plant(Some(fleet::Plant::YoungAgain));
        found(2, "us old: it is");
    }

    #[test]
    fn an_older_fact_that_replaces_a_newer_one_is_found() {
        fleet::plant(Some(fleet::Plant::OlderFact));
        found(20, "had a fact of");
    }

    #[test]
    fn a_member_that_does_not_refute_a_suspicion_is_found() {
        fleet::plant(Some(fleet::Plant::Silent));
        found(20, "not whole");
    }

    fn found_in_versions(plant: lemoncleat_configuration::Plant, within: u64, violation: &str) {
        lemoncleat_configuration::plant(Some(plant));
        let found = |seed: u64| play(&Plan::draw(seed, 9).with_configuration(), None).finding;
        let first = (0..within).find_map(|seed| Some((seed, found(seed)?.1)));
        lemoncleat_configuration::plant(None);
        let (seed, why) = first.unwrap_or_else(|| panic!("not found in {within} seeds: {violation}"));
        assert!(why.contains(violation), "{plant:?}, seed {seed}: {why}");
    }

    #[test]
    fn an_announcement_of_a_lower_step_is_found() {
        found_in_versions(lemoncleat_configuration::Plant::LowerStep, 40, "went back from step");
    }

    #[test]
    fn a_trial_at_every_node_is_found() {
        found_in_versions(lemoncleat_configuration::Plant::AllCanaries, 40, "is for all");
    }

    #[test]
    fn an_ignored_refusal_of_a_canary_is_found() {
        found_in_versions(lemoncleat_configuration::Plant::DeafToRefusal, 40, "after an objection");
    }

    #[test]
    fn ignored_call_losses_of_a_canary_are_found() {
        found_in_versions(lemoncleat_configuration::Plant::DeafToCalls, 40, "after an objection");
    }

    #[test]
    fn a_version_taken_back_without_a_new_step_is_found() {
        found_in_versions(lemoncleat_configuration::Plant::StepLess, 40, "is still under trial");
    }

    #[test]
    fn a_reused_version_number_is_found() {
        found_in_versions(lemoncleat_configuration::Plant::NumberAgain, 40, "two texts");
    }

    #[test]
    fn neighbours_that_are_not_informed_are_found() {
        found_in_versions(lemoncleat_configuration::Plant::Mute, 40, "not at one");
    }
}
