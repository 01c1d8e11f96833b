//! Real processes of a fleet, through the command.

use std::process::Command;

#[test]
fn five_processes_agree_while_their_voters_are_killed_paused_and_cut_off() {
    let output = Command::new(env!("CARGO_BIN_EXE_lemoncleat"))
        .args(["rehearse", "agree", "--nodes", "5", "--length", "6s", "--seed", "4"])
        .output()
        .expect("the command runs");
    let told = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{told}{errors}");
    assert_eq!(told.matches("\nkept ").count(), 4, "{told}");
    assert!(told.contains("a voter loses its disk"), "{told}");
}

#[test]
fn a_fleet_of_impossible_size_is_told_in_one_line() {
    let output = Command::new(env!("CARGO_BIN_EXE_lemoncleat"))
        .args(["rehearse", "agree", "--nodes", "65"])
        .output()
        .expect("the command runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("65 is not in 3..=64"));
}
