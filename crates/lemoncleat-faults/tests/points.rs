//! Tests of the table, of scenes, and of a process connected to a stage.
#![cfg(feature = "on")]

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;

use lemoncleat_faults::{attend, fails, find, point, scene, Fault, POINTS, STAGE_VARIABLE, STORE_WRITE};

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

#[test]
fn process_waits_at_point_until_stage_releases_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    std::env::set_var(STAGE_VARIABLE, listener.local_addr().expect("its address").to_string());
    let start = std::thread::spawn(attend);
    let (stream, _) = listener.accept().expect("the process connects");
    let mut commands = stream.try_clone().expect("a cloned stream");
    let mut lines = BufReader::new(stream).lines().map(|line| line.expect("a line"));
    let mut next_line = || lines.next().expect("one more line");
    assert!(next_line().starts_with("here "));
    writeln!(commands, "arm NOWHERE 0 kill").expect("the command is sent");
    assert_eq!(next_line(), "unknown arm NOWHERE 0 kill");
    writeln!(commands, "arm STORE_WRITE 1 pause").expect("the command is sent");
    assert_eq!(next_line(), "armed STORE_WRITE");
    assert!(!start.is_finished(), "the process waits for its start");
    writeln!(commands, "go").expect("the command is sent");
    start.join().expect("the thread ends").expect("the stage is reachable");
    let turns = std::thread::spawn(|| [operation(), operation(), operation()]);
    assert_eq!(next_line(), "reached STORE_WRITE pause");
    assert!(!turns.is_finished());
    writeln!(commands, "go").expect("the command is sent");
    assert_eq!(turns.join().expect("the thread ends"), [Ok(()); 3]);
    writeln!(commands, "arm STORE_WRITE 0 error").expect("the command is sent");
    assert_eq!(next_line(), "armed STORE_WRITE");
    assert_eq!(operation(), Err(()));
    assert_eq!(next_line(), "reached STORE_WRITE error");
    writeln!(commands, "passes").expect("the command is sent");
    assert!(next_line().contains("STORE_WRITE=4"));
}
