//! The clock of a run, and the record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

pub fn begin(path: &str) {
    START.get_or_init(Instant::now);
    let file = File::create(path).unwrap_or_else(|error| crate::unable(&format!("{path}: {error}")));
    RECORD.get_or_init(|| Mutex::new(file));
}

/// Seconds since the beginning of the run.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64)
}

/// Waits until this many seconds of the run have passed.
pub fn until(seconds: f64) {
    while now() < seconds {
        std::thread::sleep(Duration::from_secs_f64((seconds - now()).clamp(0.0005, 0.02)));
    }
}

pub fn record(line: impl AsRef<str>) {
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().expect("the record");
        let _ = writeln!(file, "{:8.3}  {}", now(), line.as_ref());
    }
}

/// Writes to the record and to standard output.
pub fn say(line: impl AsRef<str>) {
    println!("{}", line.as_ref());
    record(line);
}
