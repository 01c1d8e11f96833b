//! Report of a scale rehearsal.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::Check;

/// Distribution of a set of measurements.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Distribution {
    /// Minimum.
    pub least: f64,
    /// Median.
    pub median: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub most: f64,
}

impl Distribution {
    /// Computes the distribution of some measurements; `None` if there are none.
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

/// Resource use of one node per second, over all nodes of a role.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleFigures {
    /// Number of sampled windows of about a second, over all nodes.
    pub windows: usize,
    /// Bytes of control messages sent.
    pub bytes_sent: Option<Distribution>,
    /// Bytes of control messages received.
    pub bytes_received: Option<Distribution>,
    /// Control messages sent.
    pub messages_sent: Option<Distribution>,
    /// Control messages received.
    pub messages_received: Option<Distribution>,
    /// Processor time in microseconds.
    pub processor_us: Option<Distribution>,
    /// Resident memory at the end of each window, in bytes.
    pub memory_bytes: Option<Distribution>,
}

impl RoleFigures {
    /// Returns whether every distribution was measured.
    pub fn is_complete(&self) -> bool {
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

/// Result of one phase.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PhaseReport {
    /// Name of the phase.
    pub name: String,
    /// Duration in milliseconds.
    pub took_ms: u64,
    /// Events of the phase and the time in milliseconds until the fleet's membership views agreed again;
    /// `None` where they never did.
    pub at_one_ms: Vec<(String, Option<u64>)>,
    /// Time from agreement on a configuration until it was in force, per node, in milliseconds.
    pub in_force_ms: Option<Distribution>,
    /// Resource use of the nodes, by role.
    pub roles: BTreeMap<String, RoleFigures>,
}

/// A limit set by the operators, and the measurement compared with it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Budget {
    /// Name of the limited quantity.
    pub name: String,
    /// Phase in which it was measured.
    pub phase: String,
    /// Role of the nodes, or `all`.
    pub role: String,
    /// Limit.
    pub limit: f64,
    /// Measured value: the 99th percentile of the windows, or for the time until in force the maximum; `None`
    /// if not measured.
    pub measured: Option<f64>,
    /// Limit divided by the measured value; below 1 the limit was exceeded.
    pub margin: Option<f64>,
}

impl Budget {
    /// Returns whether the limit was kept; `None` if nothing was measured.
    pub fn kept(&self) -> Option<bool> {
        self.measured.map(|measured| measured <= self.limit)
    }
}

/// Result of a scale rehearsal.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Schema version of the report.
    pub schema: u32,
    /// Seed.
    pub seed: u64,
    /// Total number of nodes.
    pub nodes: usize,
    /// Number of hollow nodes.
    pub hollow: usize,
    /// Number of nodes in processes of their own that carry calls.
    pub real: usize,
    /// Number of voters, each in a process of its own.
    pub voters: usize,
    /// Number of processes, without the rehearsal's own.
    pub processes: usize,
    /// Processor cores of the machine.
    pub machine_cores: usize,
    /// One-minute load average of the machine before the start.
    pub load_before: f64,
    /// Interval of a node's membership round, in milliseconds.
    pub round_ms: u64,
    /// Results of the phases.
    pub phases: Vec<PhaseReport>,
    /// Limits and measurements.
    pub budgets: Vec<Budget>,
    /// Invariants of the fleet.
    pub laws: Vec<Check>,
    /// Maximum resident memory of all processes together, in bytes.
    pub memory_bytes: u64,
    /// Number of callers judged.
    pub callers: usize,
    /// The five rules: number, cases, violations.
    pub rules: Vec<(u8, usize, usize)>,
    /// Whether all rules and invariants held.
    pub kept: bool,
}

fn format_short(figure: Option<f64>) -> String {
    match figure {
        None => "-".to_owned(),
        Some(figure) if figure >= 1e7 => format!("{:.1}M", figure / 1e6),
        Some(figure) if figure >= 1e4 => format!("{:.1}k", figure / 1e3),
        Some(figure) => format!("{figure:.1}"),
    }
}

/// Formats a report as text.
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
                let [least, median, p99, most] =
                    [least, median, p99, most].map(|figure| format_short(Some(figure)));
                let _ = writeln!(text, "  {role:<7} {what:<20} {least:>9} {median:>9} {p99:>9} {most:>9}");
            }
        }
    }
    let _ = writeln!(text, "\nbudgets (p99 of windows of a second)");
    for budget in &report.budgets {
        let verdict = match budget.kept() {
            Some(true) => "kept",
            Some(false) => "MISSED",
            None => "not measured",
        };
        let (measured, limit) = (format_short(budget.measured), format_short(Some(budget.limit)));
        let margin = budget.margin.map_or(String::new(), |margin| format!(" ({margin:.2} of it to spare)"));
        let _ = writeln!(
            text,
            "  {verdict:<12} {:<22} {:<14} {:<7} {measured:>9} of {limit}{margin}",
            budget.name, budget.phase, budget.role
        );
    }
    let _ = writeln!(text, "\nlaws");
    for check in &report.laws {
        let verdict = if check.broken.is_empty() { "kept" } else { "BROKEN" };
        let _ = writeln!(text, "  {verdict:<6} {:>7} cases  {}", check.cases, check.law);
        for broken in check.broken.iter().take(10) {
            let _ = writeln!(text, "         {broken}");
        }
    }
    for (rule, cases, broken) in &report.rules {
        let verdict = if *broken == 0 { "kept" } else { "BROKEN" };
        let _ = writeln!(text, "  {verdict:<6} {cases:>7} cases  rule {rule} ({broken} times broken)");
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
    fn distribution_takes_nearest_rank_of_measurements() {
        assert_eq!(Distribution::of(Vec::new()), None);
        let spread = Distribution::of((1..=200).rev().map(f64::from).collect()).expect("figures");
        assert_eq!((spread.least, spread.median, spread.p99, spread.most), (1.0, 100.0, 198.0, 200.0));
    }
}
