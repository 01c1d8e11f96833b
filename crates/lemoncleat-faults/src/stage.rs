//! Points in real processes. A process that finds the address of a stage in its environment connects to it and
//! heeds its orders, a line each; at an armed point its thread stays until the stage lets it go on:
//!
//! | from the stage | from the process |
//! | --- | --- |
//! | | `here PID`, and waits |
//! | `arm NAME SKIP FAULT` | `armed NAME`, or `unknown ...` |
//! | | `reached NAME FAULT`, and waits, unless the fault is `error` |
//! | `go`: from its start, or from a point | |
//! | `passes` | `passes NAME=COUNT ...` |
//!
//! What a kill, a pause or a cut is, the stage knows: it holds the process and its links.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Condvar, Mutex, OnceLock};

use crate::{find, Fault, Point, POINTS};

/// The variable that holds the stage's address.
pub const STAGE_VARIABLE: &str = "LEMONCLEAT_STAGE";

struct Stage {
    line: Mutex<TcpStream>,
    /// How many points were let go on.
    gone_on: Mutex<u64>,
    change: Condvar,
    passes: Mutex<BTreeMap<u16, u64>>,
}

static STAGE: OnceLock<Stage> = OnceLock::new();

/// Connects to the stage, if the environment names one, and waits until it lets the process start: so points can
/// be armed that are passed at a start.
///
/// # Errors
///
/// When there is one and it can't be reached.
pub fn attend() -> io::Result<()> {
    let Ok(address) = std::env::var(STAGE_VARIABLE) else { return Ok(()) };
    let stream = TcpStream::connect(address)?;
    let orders = BufReader::new(stream.try_clone()?);
    let stage = STAGE.get_or_init(|| Stage {
        line: Mutex::new(stream),
        gone_on: Mutex::new(0),
        change: Condvar::new(),
        passes: Mutex::new(BTreeMap::new()),
    });
    let held = stage.gone_on.lock().map(|gone_on| *gone_on).unwrap_or_default();
    stage.say(&format!("here {}", std::process::id()));
    std::thread::Builder::new().name("stage".to_owned()).spawn(move || {
        for order in orders.lines().map_while(Result::ok) {
            stage.order(&order);
        }
        // A stage that is gone holds nobody.
        for point in POINTS {
            fail::remove(point.name);
        }
        stage.go_on();
    })?;
    stage.wait(held);
    Ok(())
}

impl Stage {
    fn say(&self, text: &str) {
        if let Ok(mut line) = self.line.lock() {
            // A stage that is gone is noticed by the thread that reads its orders.
            let _ = writeln!(line, "{text}");
        }
    }

    fn go_on(&self) {
        if let Ok(mut gone_on) = self.gone_on.lock() {
            *gone_on += 1;
            self.change.notify_all();
        }
    }

    /// Waits until the stage lets go on more than it had `before`.
    fn wait(&self, before: u64) {
        if let Ok(gone_on) = self.gone_on.lock() {
            drop(self.change.wait_while(gone_on, |gone_on| *gone_on == before));
        }
    }

    fn order(&self, order: &str) {
        let words: Vec<&str> = order.split_whitespace().collect();
        match words[..] {
            ["go"] => self.go_on(),
            ["passes"] => {
                let passes = self.passes.lock().map(|passes| passes.clone()).unwrap_or_default();
                let mut text = "passes".to_owned();
                for point in POINTS {
                    text += &format!(" {}={}", point.name, passes.get(&point.number).unwrap_or(&0));
                }
                self.say(&text);
            }
            ["arm", name, skip, fault] => {
                let known = find(name).is_some() && Fault::of_name(fault).is_some();
                let set = skip.parse::<u32>().ok().filter(|_| known).map(|skip| {
                    let off = if skip == 0 { String::new() } else { format!("{skip}*off->") };
                    fail::cfg(name, &format!("{off}1*return({fault})->off"))
                });
                match set {
                    Some(Ok(())) => self.say(&format!("armed {name}")),
                    _ => self.say(&format!("unknown {order}")),
                }
            }
            _ => self.say(&format!("unknown {order}")),
        }
    }
}

/// What is set for the point, as the `fail` crate counts its passes.
fn set_for(point: &Point) -> Option<Fault> {
    fail::fail_point!(point.name, |fault| fault.as_deref().and_then(Fault::of_name));
    None
}

pub(crate) fn pass(point: &'static Point) -> Option<Fault> {
    let stage = STAGE.get()?;
    if let Ok(mut passes) = stage.passes.lock() {
        *passes.entry(point.number).or_default() += 1;
    }
    let fault = set_for(point)?;
    let before = stage.gone_on.lock().map(|gone_on| *gone_on).ok()?;
    stage.say(&format!("reached {} {}", point.name, fault.name()));
    if fault != Fault::Error {
        stage.wait(before);
    }
    Some(fault)
}
