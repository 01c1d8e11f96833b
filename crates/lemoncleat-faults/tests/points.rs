//! The table, scenes, and a stage held by hand.
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
fn numbers_and_names_stand_once_and_each_point_has_a_fault() {
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
fn a_scene_fails_the_pass_it_was_told_and_counts_all() {
    scene::begin(Some((&STORE_WRITE, 1, Fault::Error, Some(4))));
    scene::turn(3);
    assert_eq!((operation(), operation()), (Ok(()), Ok(())), "another process's passes count for nothing");
    scene::turn(4);
    assert_eq!((operation(), operation(), operation()), (Ok(()), Err(()), Ok(())));
    assert_eq!(scene::fired(), Some((Fault::Error, Some(4))));
    assert!(scene::spent());
    assert_eq!(scene::end().get(&STORE_WRITE.number), Some(&5));
    assert_eq!(operation(), Ok(()), "after the scene nothing is armed");
}

#[test]
fn a_kill_unwinds_the_turn_with_its_point() {
    scene::begin(Some((&STORE_WRITE, 0, Fault::Kill, None)));
    let end = std::panic::catch_unwind(operation).expect_err("the turn was ended");
    let killed = end.downcast::<scene::Killed>().expect("by the point");
    assert_eq!(killed.0.name, "STORE_WRITE");
    scene::end();
}

#[test]
fn a_process_stays_at_its_point_until_the_stage_lets_it_go() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    std::env::set_var(STAGE_VARIABLE, listener.local_addr().expect("its address").to_string());
    let start = std::thread::spawn(attend);
    let (stream, _) = listener.accept().expect("the process comes");
    let mut orders = stream.try_clone().expect("two ends");
    let mut lines = BufReader::new(stream).lines().map(|line| line.expect("a line"));
    let mut heard = || lines.next().expect("one more line");
    assert!(heard().starts_with("here "));
    writeln!(orders, "arm NOWHERE 0 kill").expect("sent");
    assert_eq!(heard(), "unknown arm NOWHERE 0 kill");
    writeln!(orders, "arm STORE_WRITE 1 pause").expect("sent");
    assert_eq!(heard(), "armed STORE_WRITE");
    assert!(!start.is_finished(), "it waits to be started");
    writeln!(orders, "go").expect("sent");
    start.join().expect("it ends").expect("the stage is there");
    let turns = std::thread::spawn(|| [operation(), operation(), operation()]);
    assert_eq!(heard(), "reached STORE_WRITE pause");
    assert!(!turns.is_finished());
    writeln!(orders, "go").expect("sent");
    assert_eq!(turns.join().expect("it ends"), [Ok(()); 3]);
    writeln!(orders, "arm STORE_WRITE 0 error").expect("sent");
    assert_eq!(heard(), "armed STORE_WRITE");
    assert_eq!(operation(), Err(()));
    assert_eq!(heard(), "reached STORE_WRITE error");
    writeln!(orders, "passes").expect("sent");
    assert!(heard().contains("STORE_WRITE=4"));
}
