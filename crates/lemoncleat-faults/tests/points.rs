//! Tests of the table and of scenes.
#![cfg(feature = "on")]

use std::collections::BTreeSet;

use lemoncleat_faults::{fails, find, point, scene, Fault, POINTS, STORE_WRITE};

fn operation() -> Result<(), ()> {
    point!(STORE_WRITE);
    if fails!(STORE_WRITE) {
        return Err(());
    }
    Ok(())
}

#[test]
fn points_have_unique_numbers_and_names_and_at_least_one_fault() {
    let numbers: BTreeSet<u16> = POINTS.iter().map(|point| point.number).collect();
    let names: BTreeSet<&str> = POINTS.iter().map(|point| point.name).collect();
    assert_eq!((numbers.len(), names.len()), (POINTS.len(), POINTS.len()));
    for point in POINTS {
        assert!(!point.faults.is_empty() && !point.what.is_empty(), "{}", point.name);
        assert_eq!(find(point.name), Some(*point));
    }
    for fault in Fault::ALL {
        assert_eq!(Fault::of_name(fault.name()), Some(fault));
    }
}

#[test]
fn scene_triggers_fault_at_configured_pass_and_counts_passes() {
    scene::begin(Some((&STORE_WRITE, 1, Fault::Error, Some(4))));
    scene::turn(3);
    assert_eq!(
        (operation(), operation()),
        (Ok(()), Ok(())),
        "passes of another process are not counted for the armed fault"
    );
    scene::turn(4);
    assert_eq!((operation(), operation(), operation()), (Ok(()), Err(()), Ok(())));
    assert_eq!(scene::fired(), Some((Fault::Error, Some(4))));
    assert!(scene::spent());
    assert_eq!(scene::end().get(&STORE_WRITE.number), Some(&5));
    assert_eq!(operation(), Ok(()), "no fault is armed after the scene");
}

#[test]
fn kill_unwinds_turn_with_its_point() {
    scene::begin(Some((&STORE_WRITE, 0, Fault::Kill, None)));
    let end = std::panic::catch_unwind(operation).expect_err("the turn was ended");
    let killed = end.downcast::<scene::Killed>().expect("by the fault point");
    assert_eq!(killed.0.name, "STORE_WRITE");
    scene::end();
}
