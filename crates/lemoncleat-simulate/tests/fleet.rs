//! Fleets of real parts under the virtual clock, the same seeds each time.

use lemoncleat_simulate::fleet::{play, Counts, Plan, VersionCounts};

fn clean(seed: u64, nodes: usize) -> Counts {
    let outcome = play(&Plan::draw(seed, nodes), None);
    let again = format!("play it with: lemoncleat simulate --fleet --nodes {nodes} --seed {seed} --trace");
    assert_eq!(outcome.finding, None, "seed {seed}; {again}");
    outcome.counts
}

#[test]
fn nine_nodes_keep_every_law_and_are_whole_again_and_each_law_was_tempted() {
    let mut counts = Counts::default();
    std::thread::scope(|scope| {
        let quarter = |first: u64| {
            scope.spawn(move || (first..first + 5).map(|seed| clean(seed, 9)).collect::<Vec<_>>())
        };
        for quarter in [0, 5, 10, 15].map(quarter) {
            quarter.join().expect("clean seeds").iter().for_each(|some| counts.add(some));
        }
    });
    let tempted = [counts.answered, counts.agreed, counts.applied, counts.without_quorum];
    let more = [counts.late, counts.promises, counts.facts, counts.unstored];
    assert!(tempted.iter().chain(&more).all(|times| *times > 10), "{counts:?}");
}

#[test]
fn so_do_sixty_four() {
    clean(4, 64);
}

#[test]
fn a_seed_plays_the_same_run_each_time_and_another_seed_another() {
    let digest = |seed| play(&Plan::draw(seed, 9), None).digest;
    assert_eq!(digest(3), digest(3));
    assert_ne!(digest(3), digest(4));
}

fn configured(seed: u64) -> VersionCounts {
    let outcome = play(&Plan::draw(seed, 9).configured(), None);
    let again = format!("play it with: lemoncleat simulate --fleet --configuration --seed {seed} --trace");
    assert_eq!(outcome.finding, None, "seed {seed}; {again}");
    outcome.versions
}

#[test]
fn a_configuration_keeps_its_laws_and_each_was_tempted() {
    let mut counts = VersionCounts::default();
    std::thread::scope(|scope| {
        let some = |first: u64| scope.spawn(move || (first..first + 5).map(configured).collect::<Vec<_>>());
        for some in [20, 25, 30, 35].map(some) {
            some.join().expect("clean seeds").iter().for_each(|some| counts.add(some));
        }
    });
    let tempted = [counts.agreed, counts.refused, counts.for_all, counts.taken_back, counts.starts];
    assert!(tempted.iter().all(|times| *times > 20), "{counts:?}");
    assert!(counts.objections > 0 && counts.copies_lost > 0 && counts.wrong_chunks > 0, "{counts:?}");
    assert!(counts.slowest < 10_000_000, "{counts:?}");
}

#[test]
fn a_voter_far_behind_takes_changes_in_words_that_a_carrier_takes() {
    configured(9);
}

#[test]
fn a_node_that_starts_with_a_copy_kept_during_a_trial_hears_of_the_trial() {
    configured(107);
}

/// Mistakes planted in the cores, each found within so many seeds.
#[cfg(feature = "faults")]
mod planted {
    use super::*;
    use lemoncleat_agreement::planted as agreement;
    use lemoncleat_fleet as fleet;

    fn found(within: u64, law: &str) {
        let found = |seed: &u64| {
            let finding = play(&Plan::draw(*seed, 9), None).finding;
            finding.is_some_and(|(_, why)| why.contains(law))
        };
        assert!((0..within).any(|seed| found(&seed)), "not found in {within} seeds: {law}");
    }

    #[test]
    fn what_is_said_before_it_is_stored_is_found() {
        agreement::plant(Some(agreement::Plant::SendsEarly));
        found(2, "its disk has");
    }

    #[test]
    fn a_vote_that_is_not_stored_is_found() {
        agreement::plant(Some(agreement::Plant::ForgetsVote));
        found(2, "its disk has");
    }

    #[test]
    fn a_batch_that_failed_and_is_taken_for_stored_is_found() {
        agreement::plant(Some(agreement::Plant::IgnoresFailure));
        found(20, "its disk has");
    }

    #[test]
    fn a_fact_that_starts_its_age_anew_is_found() {
        fleet::plant(Some(fleet::Plant::YoungAgain));
        found(2, "us old: it is");
    }

    #[test]
    fn an_older_fact_in_place_of_a_newer_is_found() {
        fleet::plant(Some(fleet::Plant::OlderFact));
        found(20, "had a fact of");
    }

    #[test]
    fn a_member_that_does_not_refute_is_found() {
        fleet::plant(Some(fleet::Plant::Silent));
        found(20, "not whole");
    }

    fn found_in_versions(plant: lemoncleat_configuration::Plant, within: u64, law: &str) {
        lemoncleat_configuration::plant(Some(plant));
        let found = |seed: u64| play(&Plan::draw(seed, 9).configured(), None).finding;
        let first = (0..within).find_map(|seed| Some((seed, found(seed)?.1)));
        lemoncleat_configuration::plant(None);
        let (seed, why) = first.unwrap_or_else(|| panic!("not found in {within} seeds: {law}"));
        assert!(why.contains(law), "{plant:?}, seed {seed}: {why}");
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
    fn a_refusal_that_is_not_looked_at_is_found() {
        found_in_versions(lemoncleat_configuration::Plant::DeafToRefusal, 40, "after an objection");
    }

    #[test]
    fn calls_lost_that_are_not_looked_at_are_found() {
        found_in_versions(lemoncleat_configuration::Plant::DeafToCalls, 40, "after an objection");
    }

    #[test]
    fn a_take_back_without_a_step_is_found() {
        found_in_versions(lemoncleat_configuration::Plant::StepLess, 40, "is still under trial");
    }

    #[test]
    fn a_number_used_again_is_found() {
        found_in_versions(lemoncleat_configuration::Plant::NumberAgain, 40, "two texts");
    }

    #[test]
    fn neighbours_that_are_told_nothing_are_found() {
        found_in_versions(lemoncleat_configuration::Plant::Mute, 40, "not at one");
    }
}
