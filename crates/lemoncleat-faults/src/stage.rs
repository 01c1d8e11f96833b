//! Fault points in real processes. A process that finds the address of a stage in its environment connects to
//! it and executes its commands, one per line. At an armed point its thread waits until the stage releases
//! it:
//!
//! | from the stage | from the process |
//! | --- | --- |
//! | | `here PID`, and waits |
//! | `arm NAME SKIP FAULT` | `armed NAME`, or `unknown ...` |
//! | | `reached NAME FAULT`, and waits, unless the fault is `error` |
//! | `go`: from its start, or from a point | |
//! | `passes` | `passes NAME=COUNT ...` |
//!
//! The stage itself applies kills, pauses and cuts: it controls the process and its links.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Condvar, Mutex, OnceLock};

use crate::{find, Fault, Point, POINTS};

/// The environment variable with the stage's address.
pub const STAGE_VARIABLE: &str = "LEMONCLEAT_STAGE";

struct Stage {
    connection: Mutex<TcpStream>,
    /// Number of releases so far.
    releases: Mutex<u64>,
    released: Condvar,
    passes: Mutex<BTreeMap<u16, u64>>,
}

static STAGE: OnceLock<Stage> = OnceLock::new();

/// Connects to the stage, if the environment names one, and waits until the stage lets the process start, so
/// that points that are passed during the start can be armed.
///
/// # Errors
///
/// Returns an error if the environment names a stage that cannot be reached.
pub fn attend() -> io::Result<()> {
    let Ok(address) = std::env::var(STAGE_VARIABLE) else { return Ok(()) };
    let stream = TcpStream::connect(address)?;
    let commands = BufReader::new(stream.try_clone()?);
    let stage = STAGE.get_or_init(|| Stage {
        connection: Mutex::new(stream),
        releases: Mutex::new(0),
        released: Condvar::new(),
        passes: Mutex::new(BTreeMap::new()),
    });
    let before = stage.releases.lock().map(|releases| *releases).unwrap_or_default();
    stage.send(&format!("here {}", std::process::id()));
    std::thread::Builder::new().name("stage".to_owned()).spawn(move || {
        for command in commands.lines().map_while(Result::ok) {
            stage.execute(&command);
        }
        // If the stage is gone, no thread stays blocked.
        for point in POINTS {
            fail::remove(point.name);
        }
        stage.release();
    })?;
    stage.wait(before);
    Ok(())
}

impl Stage {
    fn send(&self, text: &str) {
        if let Ok(mut connection) = self.connection.lock() {
            // The thread that reads the stage's commands notices that the stage is gone.
            let _ = writeln!(connection, "{text}");
        }
    }

    fn release(&self) {
        if let Ok(mut releases) = self.releases.lock() {
            *releases += 1;
            self.released.notify_all();
        }
    }

    /// Waits until the number of releases differs from `before`.
    fn wait(&self, before: u64) {
        if let Ok(releases) = self.releases.lock() {
            drop(self.released.wait_while(releases, |releases| *releases == before));
        }
    }

    fn execute(&self, order: &str) {
        let words: Vec<&str> = order.split_whitespace().collect();
        match words[..] {
            ["go"] => self.release(),
            ["passes"] => {
                let passes = self.passes.lock().map(|passes| passes.clone()).unwrap_or_default();
                let mut text = "passes".to_owned();
                for point in POINTS {
                    text += &format!(" {}={}", point.name, passes.get(&point.number).unwrap_or(&0));
                }
                self.send(&text);
            }
            ["arm", name, skip, fault] => {
                let known = find(name).is_some() && Fault::of_name(fault).is_some();
                let configured = skip.parse::<u32>().ok().filter(|_| known).map(|skip| {
                    let skipped = if skip == 0 { String::new() } else { format!("{skip}*off->") };
                    fail::cfg(name, &format!("{skipped}1*return({fault})->off"))
                });
                match configured {
                    Some(Ok(())) => self.send(&format!("armed {name}")),
                    _ => self.send(&format!("unknown {order}")),
                }
            }
            _ => self.send(&format!("unknown {order}")),
        }
    }
}

/// Returns the fault armed for the point, as counted by the `fail` crate.
fn armed_fault(point: &Point) -> Option<Fault> {
    fail::fail_point!(point.name, |fault| fault.as_deref().and_then(Fault::of_name));
    None
}

pub(crate) fn pass(point: &'static Point) -> Option<Fault> {
    let stage = STAGE.get()?;
    if let Ok(mut passes) = stage.passes.lock() {
        *passes.entry(point.number).or_default() += 1;
    }
    let fault = armed_fault(point)?;
    let before = stage.releases.lock().map(|releases| *releases).ok()?;
    stage.send(&format!("reached {} {}", point.name, fault.name()));
    if fault != Fault::Error {
        stage.wait(before);
    }
    Some(fault)
}
