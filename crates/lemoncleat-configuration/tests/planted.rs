//! Checks that each injected fault is detected by an invariant or a test case.
#![cfg(feature = "faults")]

#[path = "net/cases.rs"]
mod cases;
mod net;

use cases::Case;
use lemoncleat_configuration::{plant, Plant};

fn assert_detected(fault: Plant, case: Case) {
    plant(Some(fault));
    let violation = (0..5).filter_map(|seed| case(seed).err()).next();
    plant(None);
    println!("{fault:?}: {}", violation.as_deref().unwrap_or("not detected"));
    assert!(violation.is_some(), "{fault:?} is not detected");
    case(0).expect("the case passes without the fault");
}

#[test]
fn injected_faults_are_detected() {
    assert_detected(Plant::WrongDigest, cases::wrong_text_is_reported_and_fetched_elsewhere);
    assert_detected(Plant::LowerStep, cases::late_announcement_is_ignored);
    assert_detected(Plant::AllCanaries, cases::change_reaches_all_members_within_5_s);
    assert_detected(Plant::AcceptSecondChange, cases::one_of_two_changes_on_the_same_parent_is_accepted);
    assert_detected(Plant::DeafToRefusal, cases::version_is_rolled_back_when_a_canary_refuses_it);
    assert_detected(Plant::DeafToCalls, cases::version_is_rolled_back_when_canaries_lose_calls);
    assert_detected(Plant::StepLess, cases::version_is_rolled_back_when_canaries_lose_calls);
    assert_detected(Plant::AcceptTornCopy, cases::corrupt_copy_is_reported_and_not_used);
    assert_detected(Plant::NoFetchRetry, cases::text_is_fetched_elsewhere_when_a_neighbour_does_not_answer);
    assert_detected(Plant::NumberAgain, cases::version_is_rolled_back_when_a_canary_refuses_it);
    assert_detected(Plant::Mute, cases::change_reaches_all_members_within_5_s);
}
