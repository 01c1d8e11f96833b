//! Test of a process connected to a stage. It has a process of its own: the stage counts every pass of a fault
//! point in its process, those of other tests included.
#![cfg(feature = "on")]

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;

use lemoncleat_faults::{attend, fails, point, STAGE_VARIABLE};

fn operation() -> Result<(), ()> {
    point!(STORE_WRITE);
    if fails!(STORE_WRITE) {
        return Err(());
    }
    Ok(())
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
