//! What the system tells of processes and threads.

use std::fs;
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::Micros;

/// Microseconds since the epoch: the one clock that all processes of a rehearsal share.
pub fn now_us() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// Bytes of a page of memory.
pub fn page_size() -> u64 {
    rustix::param::page_size() as u64
}

/// A thread and the processor time that it took.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThreadTime {
    /// Its number; that of the first is the process's.
    pub id: u32,
    /// Its name, at most 15 bytes.
    pub name: String,
    /// On the processor so far, in microseconds.
    pub processor_us: u64,
}

/// All threads of a process that live.
///
/// # Errors
///
/// When the process is gone.
pub fn processor_of_threads(process: u32) -> io::Result<Vec<ThreadTime>> {
    let mut threads = Vec::new();
    for entry in fs::read_dir(format!("/proc/{process}/task"))? {
        let path = entry?.path();
        let id = path.file_name().and_then(|name| name.to_str()).and_then(|name| name.parse().ok());
        // One that ended meanwhile is left out.
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

/// Memory of a process that is in use, in bytes.
///
/// # Errors
///
/// When the process is gone.
pub fn resident_bytes(process: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/statm"))?;
    let pages: u64 = text.split_whitespace().nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    Ok(pages * page_size())
}
