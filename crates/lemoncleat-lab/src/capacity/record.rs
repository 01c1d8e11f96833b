//! Writes the measurements of a bench to the results file, and measures processor time. The benches of
//! several packages include this file by its path.

use rustix::time::{clock_gettime, ClockId};
use serde_json::{json, Value};

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/capacity/slopes.json");
/// Schema version of the results file.
const SCHEMA: u64 = 1;

/// Processor time of the thread. Other load on the machine does not count, except through its effect on the
/// caches.
pub struct Spent(u64);

impl Spent {
    /// Starts a measurement.
    pub fn now() -> Spent {
        let spent = clock_gettime(ClockId::ThreadCPUTime);
        Spent(spent.tv_sec as u64 * 1_000_000_000 + spent.tv_nsec as u64)
    }

    /// Returns the processor time since the start, in nanoseconds.
    pub fn nanos(&self) -> u64 {
        Spent::now().0 - self.0
    }
}

/// Measurements of one quantity at several sizes.
pub struct Series {
    pub name: String,
    pub unit: &'static str,
    /// Name of what the sizes count.
    pub size: &'static str,
    pub sizes: Vec<f64>,
    pub measured: Vec<f64>,
}

/// Writes series to the results file, replacing those of the same names. A missing figure (not a number) is
/// written as null, and the page's test names it.
pub fn record(command: &str, about: &str, series: Vec<Series>) {
    let mut file = match std::fs::read(FILE) {
        Ok(bytes) => serde_json::from_slice(&bytes).expect("docs/capacity/slopes.json is JSON"),
        Err(_) => json!({"schema": SCHEMA, "series": []}),
    };
    let quiet = std::env::var("CAPACITY_QUIET").is_ok_and(|it| it == "yes");
    let all = file["series"].as_array_mut().expect("docs/capacity/slopes.json has a list of series");
    for one in series {
        all.retain(|old| old["name"] != *one.name);
        all.push(json!({
            "name": one.name, "unit": one.unit, "size": one.size, "sizes": one.sizes,
            "measured": one.measured, "conditions": {"command": command, "about": about, "quiet": quiet},
        }));
    }
    all.sort_by(|a, b| a["name"].as_str().cmp(&b["name"].as_str()));
    // One series per line, so that differences are readable.
    let lines: Vec<String> = all.iter().map(Value::to_string).collect();
    let text = format!("{{\"schema\": {SCHEMA}, \"series\": [\n{}\n]}}\n", lines.join(",\n"));
    std::fs::write(FILE, text).expect("docs/capacity/slopes.json is written");
}
