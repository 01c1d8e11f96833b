//! Collects the lines that a process writes.

use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use super::{timed_out, LIMIT};

/// Maximum number of lines kept for searching; the oldest are dropped.
const MAX_LINES: usize = 100_000;
/// Maximum length of a line; a longer one is split into several.
const MAX_LINE_BYTES: u64 = 64 * 1024;

#[derive(Default)]
struct Inner {
    /// Number of lines dropped.
    dropped: usize,
    lines: VecDeque<String>,
    closed: bool,
}

/// The lines of a process, numbered from 0 over all its runs.
#[derive(Default)]
pub(super) struct Lines {
    inner: Mutex<Inner>,
    change: Condvar,
}

impl Lines {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads lines in a separate thread until the other end closes, and copies them to a file if one is
    /// given.
    pub(super) fn read(
        self: &Arc<Self>,
        name: &str,
        from: impl Read + Send + 'static,
        mut copy: Option<File>,
    ) -> io::Result<()> {
        self.lock().closed = false;
        let lines = self.clone();
        std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            let mut from = BufReader::new(from);
            let mut line = Vec::new();
            while matches!((&mut from).take(MAX_LINE_BYTES).read_until(b'\n', &mut line), Ok(1..)) {
                if let Some(file) = &mut copy {
                    // A write error, such as a full disk, loses the copy but does not stop the run.
                    let _ = file.write_all(&line);
                }
                lines.push(String::from_utf8_lossy(&line).trim_end().to_owned());
                line.clear();
            }
            lines.lock().closed = true;
            lines.change.notify_all();
        })?;
        Ok(())
    }

    fn push(&self, line: String) {
        let mut inner = self.lock();
        inner.lines.push_back(line);
        if inner.lines.len() > MAX_LINES {
            inner.lines.pop_front();
            inner.dropped += 1;
        }
        self.change.notify_all();
    }

    /// Returns the number of lines read so far.
    pub(super) fn count(&self) -> usize {
        let inner = self.lock();
        inner.dropped + inner.lines.len()
    }

    /// Returns the last `count` lines, each indented on a line of its own.
    pub(super) fn last(&self, count: usize) -> String {
        let inner = self.lock();
        let from = inner.lines.len().saturating_sub(count);
        inner.lines.range(from..).map(|line| format!("\n  {line}")).collect()
    }

    /// Waits for a line that fits, from number `since` on, and returns the first one.
    pub(super) fn wait(
        &self,
        what: &str,
        since: usize,
        mut fits: impl FnMut(&str) -> bool,
    ) -> io::Result<String> {
        let mut next = since;
        let mut found = None;
        let seek = |inner: &mut Inner| {
            let from = next.saturating_sub(inner.dropped).min(inner.lines.len());
            found = inner.lines.range(from..).find(|line| fits(line)).cloned();
            next = inner.dropped + inner.lines.len();
            found.is_none() && !inner.closed
        };
        let (inner, waited) =
            self.change.wait_timeout_while(self.lock(), LIMIT, seek).unwrap_or_else(PoisonError::into_inner);
        drop(inner);
        match found {
            Some(line) => Ok(line),
            None if waited.timed_out() => Err(timed_out(what)),
            None => Err(io::Error::new(io::ErrorKind::UnexpectedEof, format!("{what}: the process ended"))),
        }
    }

    /// Waits until the process has closed its end.
    pub(super) fn wait_closed(&self, what: &str) -> io::Result<()> {
        let still_open = |inner: &mut Inner| !inner.closed;
        let (inner, _) = self
            .change
            .wait_timeout_while(self.lock(), LIMIT, still_open)
            .unwrap_or_else(PoisonError::into_inner);
        if inner.closed {
            Ok(())
        } else {
            Err(timed_out(what))
        }
    }
}
