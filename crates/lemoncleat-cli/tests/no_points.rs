//! Checks that a binary built without the feature `faults` contains no fault points.
#![cfg(not(feature = "faults"))]

use std::collections::BTreeMap;

/// Source of the table of fault points, whose entries start with a number and a name.
const TABLE: &str = include_str!("../../lemoncleat-faults/src/table.rs");

#[test]
fn binary_contains_no_fault_point_names_and_no_stage_variable() {
    // Grouped by their first part, so that the binary is searched only once per group.
    let mut names = BTreeMap::<&str, Vec<&str>>::new();
    for line in TABLE.lines() {
        let mut words = line.split_whitespace();
        let numbered = words.next().is_some_and(|word| word.parse::<u16>().is_ok());
        if let Some(name) = words.next().filter(|_| numbered) {
            let start = name.split_inclusive('_').next().unwrap_or(name);
            names.entry(start).or_default().push(name);
        }
    }
    assert!(names.values().map(Vec::len).sum::<usize>() > 20, "too few points found in the table");
    names.insert("LEMONCLEAT_STAGE", vec!["LEMONCLEAT_STAGE"]);
    let binary = std::fs::read(env!("CARGO_BIN_EXE_lemoncleat")).expect("a built binary");
    let text = String::from_utf8_lossy(&binary);
    assert!(text.contains("listening on "), "printed texts are not found by this search");
    for (start, names) in names {
        for (at, _) in text.match_indices(start) {
            let found = names.iter().find(|name| text[at..].starts_with(**name));
            assert_eq!(found, None, "the binary contains the name of a fault point");
        }
    }
}
