//! Writes what a bench measured into the results file, and measures the processor's time. The benches of several packages take this file in by its path.

use rustix::time::{clock_gettime, ClockId};
use serde_json::{json, Value};

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/capacity/slopes.json");
/// The results file's schema.
const SCHEMA: u64 = 1;

/// What the thread has had of a processor: what others take of the machine is not in it, but for what their use of
/// caches costs.
pub struct Spent(u64);

impl Spent {
    /// From now on.
    pub fn now() -> Spent {
        let spent = clock_gettime(ClockId::ThreadCPUTime);
        Spent(spent.tv_sec as u64 * 1_000_000_000 + spent.tv_nsec as u64)
    }

    /// Nanoseconds since then.
    pub fn nanos(&self) -> u64 {
        Spent::now().0 - self.0
    }
}

/// One figure at several sizes.
pub struct Series {
    pub name: String,
    pub unit: &'static str,
    /// What the sizes count.
    pub size: &'static str,
    pub sizes: Vec<f64>,
    pub measured: Vec<f64>,
}

/// Puts series into the results file, in the place of those of the same names. A figure that could not be had (not
/// a number) is written as null, and the page's test names it.
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
            "name": one.name, "unit": one.unit, "size": one.size, "sizes": one.sizes, "measured": one.measured,
            "conditions": {"command": command, "about": about, "quiet": quiet},
        }));
    }
    all.sort_by(|a, b| a["name"].as_str().cmp(&b["name"].as_str()));
    // A series a line: changes of it are read by lines.
    let lines: Vec<String> = all.iter().map(Value::to_string).collect();
    let text = format!("{{\"schema\": {SCHEMA}, \"series\": [\n{}\n]}}\n", lines.join(",\n"));
    std::fs::write(FILE, text).expect("docs/capacity/slopes.json is written");
}
