//! Formats the verdict as a table.

use std::fmt::Write;

use crate::judge::Verdict;

/// Parts that the table contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableOptions {
    /// One line for each trouble.
    pub troubles: bool,
    /// Service in each window of five seconds.
    pub windows: bool,
}

impl Default for TableOptions {
    fn default() -> Self {
        TableOptions { troubles: true, windows: true }
    }
}

/// Returns the verdict as text. All figures come from stand-ins: they are simulated.
pub fn table(verdict: &Verdict, options: TableOptions) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{}: {} callers, {} tries, {} attempts; {} stood, {} turned away, {} cut, {} left, {} late",
        verdict.day,
        verdict.callers,
        verdict.tries,
        verdict.attempts,
        verdict.stood,
        verdict.turned_away,
        verdict.cut,
        verdict.left,
        verdict.late
    );
    if verdict.excused > 0 {
        let _ = writeln!(
            text,
            "{} calls whose deadline fell into a stall of their node are not counted",
            verdict.excused
        );
    }
    if verdict.in_doubt > 0 {
        let _ = writeln!(
            text,
            "{} calls that came during a stall and whose deadline, reckoned from its beginning, fell into another \
             are not counted",
            verdict.in_doubt
        );
    }
    if let Some(handshakes) = verdict.handshakes {
        let _ = writeln!(
            text,
            "{} handshakes with nodes showed {} certificates, {} not valid then; {} came to nothing",
            handshakes.handshakes, handshakes.certificates, handshakes.not_valid, handshakes.refused
        );
    }
    if verdict.behind > 0 {
        let ms = verdict.behind / 1_000;
        let _ = writeln!(text, "the stand-ins' own loop was behind for {ms} ms in all; moments allow for it");
    }
    let _ = writeln!(text, "\n{:<16} {:>8} {:>8}  first violation", "rule", "cases", "broken");
    for rule in &verdict.rules {
        let first = rule.first.as_ref();
        let frames = first.map_or(&[][..], |first| &first.frames);
        let first = first.map_or(String::new(), |first| {
            format!("{}: {} (records {:?})", first.what, first.how, first.records)
        });
        let _ = writeln!(text, "{:<16} {:>8} {:>8}  {first}", rule.rule.to_string(), rule.cases, rule.broken);
        for frame in frames {
            let _ = writeln!(text, "{:>36}{frame}", "");
        }
    }
    if verdict.circuits.0 > 0 {
        let first = verdict
            .circuit_shared
            .as_ref()
            .map_or(String::new(), |first| format!("{}: {}", first.what, first.how));
        let (cases, broken) = verdict.circuits;
        let _ = writeln!(text, "{:<16} {cases:>8} {broken:>8}  {first}", "one call/circuit");
        let _ = writeln!(text, "{} seizures lost their circuit to the other end's", verdict.glares);
    }
    if options.troubles && !verdict.troubles.is_empty() {
        let _ = writeln!(
            text,
            "\n{:<26} {:>6} {:>6} {:>8}   cases (broken) of rules 1 to 5, until 5 s after",
            "trouble", "from", "to", "service"
        );
        for row in &verdict.troubles {
            let service = row.service.map_or("-".to_owned(), |service| format!("{service:.3}"));
            let _ = write!(text, "{:<26} {:>6.1} {:>6.1} {:>8}  ", row.text, row.from, row.to, service);
            for (cases, broken) in row.cases.iter().zip(row.broken) {
                let _ = write!(text, " {:>11}", format!("{cases} ({broken})"));
            }
            let _ = writeln!(text);
        }
    }
    if options.windows {
        let windows: Vec<String> = verdict.windows.iter().map(|service| format!("{service:.2}")).collect();
        let _ = writeln!(text, "\nservice in each 5 s: {}", windows.join(" "));
    }
    let classes: Vec<String> =
        verdict.classes.iter().map(|(name, service)| format!("{name} {service:.3}")).collect();
    let _ = writeln!(text, "service {:.3} (simulated): {}", verdict.service, classes.join(", "));
    let _ = writeln!(text, "{}", if verdict.kept() { "all rules kept" } else { "RULES BROKEN" });
    text
}
