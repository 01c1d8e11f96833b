//! Lines that a process writes, as they come.

use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use super::{late, LIMIT};

/// Lines that are kept for searching; the oldest go.
const KEPT: usize = 100_000;
/// Longest line; what is longer comes as several.
const LONGEST: u64 = 64 * 1024;

#[derive(Default)]
struct Inner {
    /// How many lines have gone.
    gone: usize,
    lines: VecDeque<String>,
    closed: bool,
}

/// Lines, counted from 0 over all runs of a process.
#[derive(Default)]
pub(super) struct Lines {
    inner: Mutex<Inner>,
    change: Condvar,
}

impl Lines {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads on a thread of its own until the other end closes; copies to a file.
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
            while matches!((&mut from).take(LONGEST).read_until(b'\n', &mut line), Ok(1..)) {
                if let Some(file) = &mut copy {
                    // A full disk costs the copy, not the run.
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
        if inner.lines.len() > KEPT {
            inner.lines.pop_front();
            inner.gone += 1;
        }
        self.change.notify_all();
    }

    /// How many lines have come.
    pub(super) fn count(&self) -> usize {
        let inner = self.lock();
        inner.gone + inner.lines.len()
    }

    /// The last few lines.
    pub(super) fn last(&self, count: usize) -> String {
        let inner = self.lock();
        let from = inner.lines.len().saturating_sub(count);
        inner.lines.range(from..).map(|line| format!("\n  {line}")).collect()
    }

    /// The first line from `since` on that fits, waited for.
    pub(super) fn wait(
        &self,
        what: &str,
        since: usize,
        mut fits: impl FnMut(&str) -> bool,
    ) -> io::Result<String> {
        let mut next = since;
        let mut found = None;
        let seek = |inner: &mut Inner| {
            let from = next.saturating_sub(inner.gone).min(inner.lines.len());
            found = inner.lines.range(from..).find(|line| fits(line)).cloned();
            next = inner.gone + inner.lines.len();
            found.is_none() && !inner.closed
        };
        let (inner, waited) =
            self.change.wait_timeout_while(self.lock(), LIMIT, seek).unwrap_or_else(PoisonError::into_inner);
        drop(inner);
        match found {
            Some(line) => Ok(line),
            None if waited.timed_out() => Err(late(what)),
            None => Err(io::Error::new(io::ErrorKind::UnexpectedEof, format!("{what}: the process ended"))),
        }
    }

    /// Waits until the other end has closed.
    pub(super) fn wait_closed(&self, what: &str) -> io::Result<()> {
        let closing = |inner: &mut Inner| !inner.closed;
        let (inner, _) = self
            .change
            .wait_timeout_while(self.lock(), LIMIT, closing)
            .unwrap_or_else(PoisonError::into_inner);
        if inner.closed {
            Ok(())
        } else {
            Err(late(what))
        }
    }
}
