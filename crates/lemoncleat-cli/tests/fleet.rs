//! Tests of `lemoncleat rehearse agree` with real processes of a fleet.

use std::process::Command;

#[test]
fn five_processes_agree_while_voters_fail() {
    let output = Command::new(env!("CARGO_BIN_EXE_lemoncleat"))
        .args(["rehearse", "agree", "--nodes", "5", "--length", "6s", "--seed", "4"])
        .output()
        .expect("the command runs");
    let stdout_text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{stdout_text}{errors}");
    assert_eq!(stdout_text.matches("\nkept ").count(), 4, "{stdout_text}");
    assert!(stdout_text.contains("a voter loses its disk"), "{stdout_text}");
}

#[test]
fn fleet_size_out_of_range_is_rejected() {
    let output = Command::new(env!("CARGO_BIN_EXE_lemoncleat"))
        .args(["rehearse", "agree", "--nodes", "65"])
        .output()
        .expect("the command runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("65 is not in 3..=64"));
}
