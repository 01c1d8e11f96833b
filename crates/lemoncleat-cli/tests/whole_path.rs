//! End-to-end tests on loopback sockets: real nodes with simulated servers, callers and server list. The
//! rules are checked on the messages captured on the sockets.

use lemoncleat_cli::start_node;
use lemoncleat_lab::{bench_day, builtin, judge, rehearse, table, Day, NodeControl, TableOptions, Verdict};

fn run_day(day: &Day) -> (Verdict, usize) {
    let start = |text: &str| start_node(text).map(|node| Box::new(node) as Box<dyn NodeControl>);
    let done = rehearse(day, &start, &mut |_| {}).expect("a completed rehearsal");
    (judge(&done.capture).expect("a capture with facts"), done.left_standing)
}

#[test]
fn overlapping_faults_keep_every_rule() {
    let (verdict, left_standing) = run_day(&builtin("short").expect("a built-in day"));
    let report = table(&verdict, TableOptions::default());
    assert!(verdict.kept(), "{report}");
    assert!(verdict.callers > 200, "{report}");
    let cases: Vec<usize> = verdict.rules.iter().map(|rule| rule.cases).collect();
    assert!(cases[0] > 200 && cases[2] >= 2 && cases[3] >= 2, "too few cases of the rules: {report}");
    assert!(verdict.stood > 100, "{report}");
    assert_eq!(left_standing, 0, "calls left at servers: {report}");
}

#[test]
fn incomplete_frame_affects_only_its_connection() {
    let text = include_str!("days/half-frame.lisp");
    let (verdict, left_standing) = run_day(&Day::read(text).expect("a valid script"));
    let report = table(&verdict, TableOptions::default());
    assert!(verdict.kept(), "{report}");
    assert!(verdict.stood > 60, "{report}");
    assert_eq!(left_standing, 0, "{report}");
}

#[test]
fn bench_day_runs_on_real_nodes() {
    let text = include_str!("days/bench.json");
    let mut converted = bench_day(text, 8.0, 0.2).expect("a bench day");
    // Avoids late answers on a machine that is busy with other tests.
    converted.day.answer_margin.0 = 200_000;
    assert_eq!(converted.day.troubles.len(), 2);
    let (verdict, _) = run_day(&converted.day);
    let report = table(&verdict, TableOptions::default());
    assert!(verdict.kept(), "{report}");
    assert!(verdict.stood > 100, "{report}");
    assert_eq!(verdict.troubles.len(), 2);
}

#[test]
fn dual_seizure_loses_and_shares_no_circuit() {
    let text = include_str!("days/circuits.lisp");
    let day = Day::read(text).expect("a valid script");
    let start = |text: &str| start_node(text).map(|node| Box::new(node) as Box<dyn NodeControl>);
    let done = rehearse(&day, &start, &mut |_| {}).expect("a completed rehearsal");
    let verdict = judge(&done.capture).expect("a capture with facts");
    let report = table(&verdict, TableOptions::default());
    assert!(verdict.kept(), "{report}");
    assert!(verdict.glares > 10 && verdict.circuits.0 > 150, "too few dual seizures: {report}");
    assert_eq!((done.circuits_in_use, done.left_standing), (0, 0), "{report}");
}

#[test]
fn certificates_are_renewed_under_load_before_expiry() {
    let mut day = builtin("renewals-short").expect("a built-in day");
    day.answer_margin.0 = 200_000;
    let start = |text: &str| start_node(text).map(|node| Box::new(node) as Box<dyn NodeControl>);
    let done = rehearse(&day, &start, &mut |_| {}).expect("a completed rehearsal");
    let verdict = judge(&done.capture).expect("a capture with facts");
    let report = table(&verdict, TableOptions::default());
    assert!(verdict.kept(), "{report}");
    let handshakes = verdict.handshakes.expect("TLS handshakes");
    assert_eq!((handshakes.not_valid, handshakes.refused, verdict.cut), (0, 0, 0), "{report}");
    assert!(handshakes.certificates >= 4 && handshakes.handshakes > 50, "too few renewals: {report}");
    assert!(verdict.stood * 10 >= verdict.tries * 9, "{report}");
    let (issued, complaints) = done.certificates.expect("an authority");
    assert!(issued >= handshakes.certificates, "{issued} issued: {report}");
    assert_eq!(complaints, [""; 0]);
}
