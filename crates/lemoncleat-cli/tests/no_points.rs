//! Without the feature `faults` nothing of the numbered points is in the command.
#![cfg(not(feature = "faults"))]

use std::collections::BTreeMap;

/// The table of points, whose lines begin with a number and a name.
const TABLE: &str = include_str!("../../lemoncleat-faults/src/table.rs");

#[test]
fn the_command_holds_no_name_of_a_point_and_asks_for_no_stage() {
    // By their beginnings, so that the command is read only once for each part.
    let mut names = BTreeMap::<&str, Vec<&str>>::new();
    for line in TABLE.lines() {
        let mut words = line.split_whitespace();
        let numbered = words.next().is_some_and(|word| word.parse::<u16>().is_ok());
        if let Some(name) = words.next().filter(|_| numbered) {
            let start = name.split_inclusive('_').next().unwrap_or(name);
            names.entry(start).or_default().push(name);
        }
    }
    assert!(names.values().map(Vec::len).sum::<usize>() > 20, "the table is read");
    names.insert("LEMONCLEAT_STAGE", vec!["LEMONCLEAT_STAGE"]);
    let binary = std::fs::read(env!("CARGO_BIN_EXE_lemoncleat")).expect("it is built");
    let text = String::from_utf8_lossy(&binary);
    assert!(text.contains("listening on "), "what it says is found this way");
    for (start, names) in names {
        for (at, _) in text.match_indices(start) {
            let found = names.iter().find(|name| text[at..].starts_with(**name));
            assert_eq!(found, None, "is in the command");
        }
    }
}
