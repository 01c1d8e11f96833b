//! What a rehearsal of scale tells.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::Check;

/// How figures are spread.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Distribution {
    /// The least.
    pub least: f64,
    /// The middle one.
    pub median: f64,
    /// 99 of 100 are no larger.
    pub p99: f64,
    /// The most.
    pub most: f64,
}

impl Distribution {
    /// That of some figures; none of none.
    pub fn of(mut figures: Vec<f64>) -> Option<Distribution> {
        figures.sort_unstable_by(f64::total_cmp);
        let rank = |share: f64| {
            let place = (figures.len() as f64 * share).ceil() as usize;
            figures.get(place.saturating_sub(1)).copied()
        };
        Some(Distribution {
            least: *figures.first()?,
            median: rank(0.5)?,
            p99: rank(0.99)?,
            most: *figures.last()?,
        })
    }
}

/// What a node of a role took in a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleFigures {
    /// Windows of about a second that were looked at, over all nodes.
    pub windows: usize,
    /// Bytes of control messages sent.
    pub bytes_sent: Option<Distribution>,
    /// Bytes of control messages received.
    pub bytes_received: Option<Distribution>,
    /// Control messages sent.
    pub messages_sent: Option<Distribution>,
    /// Control messages received.
    pub messages_received: Option<Distribution>,
    /// Processor time, in microseconds.
    pub processor_us: Option<Distribution>,
    /// Memory in use at the end of each window, in bytes.
    pub memory_bytes: Option<Distribution>,
}

impl RoleFigures {
    /// Whether each figure was measured.
    pub fn whole(&self) -> bool {
        let all = [
            self.bytes_sent,
            self.bytes_received,
            self.messages_sent,
            self.messages_received,
            self.processor_us,
            self.memory_bytes,
        ];
        all.iter().all(Option::is_some)
    }
}

/// One play.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PhaseReport {
    /// Its name.
    pub name: String,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
    /// What happened in it and how long the fleet then took to be at one, in milliseconds; none where it
    /// never was.
    pub at_one_ms: Vec<(String, Option<u64>)>,
    /// From agreed to in force at each node, in milliseconds, for changes of configuration.
    pub in_force_ms: Option<Distribution>,
    /// What nodes took, by role.
    pub roles: BTreeMap<String, RoleFigures>,
}

/// A limit that the operators set, and what was measured against it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Budget {
    /// What it limits.
    pub name: String,
    /// Where.
    pub phase: String,
    /// At whom.
    pub role: String,
    /// The limit.
    pub limit: f64,
    /// What was measured, the 99th of 100 windows; none where it was not.
    pub measured: Option<f64>,
    /// The limit over what was measured: below 1 it was missed.
    pub margin: Option<f64>,
}

impl Budget {
    /// Whether it was kept; none where nothing was measured.
    pub fn kept(&self) -> Option<bool> {
        self.measured.map(|measured| measured <= self.limit)
    }
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Version of this form.
    pub schema: u32,
    /// Seed.
    pub seed: u64,
    /// Nodes, all together.
    pub nodes: usize,
    /// Those that are hollow.
    pub hollow: usize,
    /// Those that are real and have calls.
    pub real: usize,
    /// Those that are real and agree for all.
    pub voters: usize,
    /// Processes, this one not counted.
    pub processes: usize,
    /// Cores of the machine.
    pub machine_cores: usize,
    /// Load of the machine in the last minute, before the start.
    pub load_before: f64,
    /// How often a node looks after others, in milliseconds.
    pub round_ms: u64,
    /// The plays.
    pub phases: Vec<PhaseReport>,
    /// Limits.
    pub budgets: Vec<Budget>,
    /// What had to hold of the fleet.
    pub laws: Vec<Check>,
    /// Memory of all processes together, the most that was seen, in bytes.
    pub memory_bytes: u64,
    /// Callers' calls through the real nodes.
    pub callers: usize,
    /// The five rules: number, cases, times broken.
    pub rules: Vec<(u8, usize, usize)>,
    /// Whether rules and laws held.
    pub kept: bool,
}

fn short(figure: Option<f64>) -> String {
    match figure {
        None => "-".to_owned(),
        Some(figure) if figure >= 1e7 => format!("{:.1}M", figure / 1e6),
        Some(figure) if figure >= 1e4 => format!("{:.1}k", figure / 1e3),
        Some(figure) => format!("{figure:.1}"),
    }
}

/// A page of it for people.
pub fn scale_table(report: &ScaleReport) -> String {
    let mut text = String::new();
    for phase in &report.phases {
        let _ = writeln!(text, "\n{} ({:.1} s)", phase.name, phase.took_ms as f64 / 1e3);
        for (what, took) in &phase.at_one_ms {
            let took = took.map_or("NEVER".to_owned(), |took| format!("{:.2} s", took as f64 / 1e3));
            let _ = writeln!(text, "  {took:>9}  {what}");
        }
        if let Some(spread) = phase.in_force_ms {
            let (median, p99, most) = (spread.median, spread.p99, spread.most);
            let _ =
                writeln!(text, "  in force after {median:.0} / {p99:.0} / {most:.0} ms (median, p99, most)");
        }
        for (role, figures) in &phase.roles {
            let rows = [
                ("bytes sent/s", figures.bytes_sent),
                ("bytes received/s", figures.bytes_received),
                ("messages sent/s", figures.messages_sent),
                ("messages received/s", figures.messages_received),
                ("processor us/s", figures.processor_us),
                ("memory bytes", figures.memory_bytes),
            ];
            for (what, spread) in rows {
                let Some(Distribution { least, median, p99, most }) = spread else { continue };
                let [least, median, p99, most] = [least, median, p99, most].map(|figure| short(Some(figure)));
                let _ = writeln!(text, "  {role:<7} {what:<20} {least:>9} {median:>9} {p99:>9} {most:>9}");
            }
        }
    }
    let _ = writeln!(text, "\nbudgets (p99 of windows of a second)");
    for budget in &report.budgets {
        let word = match budget.kept() {
            Some(true) => "kept",
            Some(false) => "MISSED",
            None => "not measured",
        };
        let (measured, limit) = (short(budget.measured), short(Some(budget.limit)));
        let margin = budget.margin.map_or(String::new(), |margin| format!(" ({margin:.2} of it to spare)"));
        let _ = writeln!(
            text,
            "  {word:<12} {:<22} {:<14} {:<7} {measured:>9} of {limit}{margin}",
            budget.name, budget.phase, budget.role
        );
    }
    let _ = writeln!(text, "\nlaws");
    for check in &report.laws {
        let word = if check.broken.is_empty() { "kept" } else { "BROKEN" };
        let _ = writeln!(text, "  {word:<6} {:>7} cases  {}", check.cases, check.law);
        for broken in check.broken.iter().take(10) {
            let _ = writeln!(text, "         {broken}");
        }
    }
    for (rule, cases, broken) in &report.rules {
        let word = if *broken == 0 { "kept" } else { "BROKEN" };
        let _ = writeln!(text, "  {word:<6} {cases:>7} cases  rule {rule} ({broken} times broken)");
    }
    let _ = writeln!(
        text,
        "\n{} callers; {:.2} GiB of memory at the most, {} processes",
        report.callers,
        report.memory_bytes as f64 / f64::from(1 << 30),
        report.processes
    );
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_distribution_takes_figures_that_were_measured() {
        assert_eq!(Distribution::of(Vec::new()), None);
        let spread = Distribution::of((1..=200).rev().map(f64::from).collect()).expect("figures");
        assert_eq!((spread.least, spread.median, spread.p99, spread.most), (1.0, 100.0, 198.0, 200.0));
    }
}
