//! Each planted mistake is found by a law.
#![cfg(feature = "faults")]

#[path = "net/cases.rs"]
mod cases;
mod net;

use cases::Case;
use lemoncleat_configuration::{plant, Plant};

fn found(planted: Plant, case: Case) {
    plant(Some(planted));
    let found = (0..5).filter_map(|seed| case(seed).err()).next();
    plant(None);
    println!("{planted:?}: {}", found.as_deref().unwrap_or("not found"));
    assert!(found.is_some(), "{planted:?} is not found");
    case(0).expect("and nothing without it");
}

#[test]
fn planted_mistakes_are_found() {
    found(Plant::WrongDigest, cases::a_neighbour_that_serves_a_wrong_text);
    found(Plant::LowerStep, cases::a_late_word_changes_nothing);
    found(Plant::AllCanaries, cases::a_change_reaches_all);
    found(Plant::SecondChange, cases::two_changes_on_one_parent);
    found(Plant::DeafToRefusal, cases::a_text_that_half_can_not_use);
    found(Plant::DeafToCalls, cases::calls_refused_at_canaries_stop_it);
    found(Plant::StepLess, cases::calls_refused_at_canaries_stop_it);
    found(Plant::TornCopy, cases::a_torn_copy_is_told_and_not_used);
    found(Plant::NoSecondFetch, cases::a_neighbour_that_never_answers);
    found(Plant::NumberAgain, cases::a_text_that_half_can_not_use);
    found(Plant::Mute, cases::a_change_reaches_all);
}
