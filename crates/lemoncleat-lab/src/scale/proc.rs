//! Clock, processor time and memory of processes and threads, as reported by the operating system.

use std::fs;
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::Micros;

/// Returns microseconds since the Unix epoch, the clock shared by all processes of a rehearsal.
pub fn now_us() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// Returns the size of a memory page in bytes.
pub fn page_size() -> u64 {
    rustix::param::page_size() as u64
}

/// A thread and the processor time it has used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThreadTime {
    /// Thread id; that of the main thread equals the process id.
    pub id: u32,
    /// Thread name, at most 15 bytes.
    pub name: String,
    /// Processor time used so far, in microseconds.
    pub processor_us: u64,
}

/// Returns all live threads of a process.
///
/// # Errors
///
/// Fails when the process has ended.
pub fn processor_of_threads(process: u32) -> io::Result<Vec<ThreadTime>> {
    let mut threads = Vec::new();
    for entry in fs::read_dir(format!("/proc/{process}/task"))? {
        let path = entry?.path();
        let id = path.file_name().and_then(|name| name.to_str()).and_then(|name| name.parse().ok());
        // A thread that has ended in the meantime is left out.
        let (Some(id), Ok(name), Ok(times)) =
            (id, fs::read_to_string(path.join("comm")), fs::read_to_string(path.join("schedstat")))
        else {
            continue;
        };
        let nanos: u64 = times.split_whitespace().next().and_then(|time| time.parse().ok()).unwrap_or(0);
        threads.push(ThreadTime { id, name: name.trim_end().to_owned(), processor_us: nanos / 1_000 });
    }
    Ok(threads)
}

/// Returns the resident memory of a process in bytes.
///
/// # Errors
///
/// Fails when the process has ended.
pub fn resident_bytes(process: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/statm"))?;
    let pages: u64 = text.split_whitespace().nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    Ok(pages * page_size())
}
