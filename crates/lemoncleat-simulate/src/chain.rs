//! Simulates a chain of services under the virtual clock: a server that takes a set-up makes a call to the
//! level below through its own node, and answers by the result. The nodes' decisions are made by the real
//! [`Controller`](lemoncleat::Controller) with its own events and actions. Sockets, messages and front-ends
//! are left out, and the servers are simulated. At the last level a share of the servers or of the set-ups
//! fails for a while.

mod run;
mod tail;

use serde::Serialize;

pub use tail::{chain_latency, ChainLatency, Quantiles};

use crate::Micros;

/// Largest depth of a chain.
pub const MAX_DEPTH: usize = 64;

/// How a failing set-up at the last level ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureMode {
    /// The server does the work and answers with an error.
    Error,
    /// The server does the work and never answers.
    Silence,
    /// The server refuses it at once, at 0.2 of the work of a set-up: its processor is full.
    Refusal,
}

/// What fails at the last level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// Some servers, with all their set-ups.
    Servers,
    /// Random set-ups, at every server.
    SetUps,
}

/// Answer of a server whose own call to the level below failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpwardAnswer {
    /// An error like any other.
    Error,
    /// A refusal: its processor is full.
    Refusal,
    /// An error marked as already tried by the level below: the node above neither repeats the call nor
    /// counts the failure against the server. Substitute for a missing reason: the controller is given "every
    /// line of the number is busy", the only reason that it takes as final.
    Tried,
}

/// Settings of nodes and servers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Variant {
    /// Name of the variant.
    pub name: &'static str,
    /// Most attempts of a call at each level.
    pub attempts: u32,
    /// Whether servers hand down the time left to their own node; otherwise each call gets the whole patience
    /// again.
    pub handed_down: bool,
    /// Answer to the level above after a failure below.
    pub upward: UpwardAnswer,
    /// Repeats that a node may send as a share of its first attempts. The simulation enforces this in place
    /// of the controller.
    pub budget: Option<f64>,
}

const fn variant(name: &'static str, attempts: u32, handed_down: bool) -> Variant {
    Variant { name, attempts, handed_down, upward: UpwardAnswer::Error, budget: None }
}

/// The variants played: the current settings first, then the remedies.
pub const VARIANTS: [Variant; 10] = [
    variant("1", 1, true),
    variant("2", 2, true),
    variant("4", 4, true),
    variant("1-whole-patience", 1, false),
    variant("2-whole-patience", 2, false),
    variant("4-whole-patience", 4, false),
    Variant { upward: UpwardAnswer::Refusal, ..variant("4-refusal", 4, true) },
    Variant { upward: UpwardAnswer::Tried, ..variant("4-tried", 4, true) },
    Variant { budget: Some(0.1), ..variant("4-budget", 4, true) },
    Variant { upward: UpwardAnswer::Tried, budget: Some(0.1), ..variant("4-tried-budget", 4, true) },
];

/// A run to play. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// Seed of everything random.
    pub seed: u64,
    /// Levels, 1 to [`MAX_DEPTH`].
    pub depth: usize,
    /// Servers of each level, and nodes in front of it.
    pub servers: usize,
    /// Calls that enter per second.
    pub rate: f64,
    /// Set-ups per second that a server can take.
    pub capacity: f64,
    /// Time that a set-up takes at a server with nothing queued.
    pub service: Micros,
    /// Least travel time between node and server, and how much longer it may be.
    pub way: (Micros, Micros),
    /// How long a caller waits.
    pub patience: Micros,
    /// How long before a caller's deadline a node answers.
    pub margin: Micros,
    /// Settling time at the start, which is not counted.
    pub settle: Micros,
    /// Time from then until servers begin to fail.
    pub before: Micros,
    /// Length of the failure.
    pub failing: Micros,
    /// Time after the failure in which calls still enter.
    pub after: Micros,
    /// Share that fails, 0 to 1.
    pub fails: f64,
    /// How the failing set-ups end.
    pub how: FailureMode,
    /// What fails.
    pub part: Part,
    /// Settings of nodes and servers.
    pub variant: Variant,
}

impl Plan {
    /// Returns a chain with five servers per level, each at half of its capacity: 44 calls a second for a
    /// server.
    pub fn new(seed: u64, depth: usize, fails: f64, variant: Variant) -> Plan {
        Plan {
            seed,
            depth: depth.clamp(1, MAX_DEPTH),
            servers: 5,
            rate: 220.0,
            capacity: 88.0,
            service: 5_000,
            way: (200, 100),
            patience: 3_000_000,
            margin: 30_000,
            settle: 3_000_000,
            before: 5_000_000,
            failing: 8_000_000,
            after: 60_000_000,
            fails: fails.clamp(0.0, 1.0),
            how: FailureMode::Error,
            part: Part::Servers,
            variant,
        }
    }
}

/// Time left until the deadline of the original caller, on arrival at a server of a level; in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Left {
    /// Half of the set-ups had at least this.
    pub half: f64,
    /// 99 in 100 set-ups had at least this.
    pub most: f64,
    /// Share of the set-ups that arrived after the deadline.
    pub past: f64,
}

/// Results of the calls that entered in one span of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Span {
    /// Calls that entered.
    pub entered: u64,
    /// Of them, calls set up in time.
    pub stood: u64,
    /// Of them, calls answered in time with a failure.
    pub failed: u64,
    /// Attempts for them, by level.
    pub attempts: Vec<u64>,
    /// Attempts for them that began after the caller's deadline, at all levels.
    pub late: u64,
    /// Time left on arrival, by level.
    pub left: Vec<Left>,
}

impl Span {
    /// Returns the attempts at a level per call that entered.
    pub fn amplification(&self, level: usize) -> f64 {
        self.attempts.get(level).map_or(0.0, |&count| count as f64 / self.entered.max(1) as f64)
    }

    /// Returns the share of the calls that were set up in time.
    pub fn share(&self) -> f64 {
        self.stood as f64 / self.entered.max(1) as f64
    }
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// Digest of the run: equal runs have equal digests.
    pub digest: u64,
    /// Events processed.
    pub steps: u64,
    /// The first broken invariant: each call has one answer by its deadline, and no attempt begins after the
    /// deadline handed down.
    pub broken: Option<String>,
    /// Calls that entered before, while and after the last level failed.
    pub spans: [Span; 3],
    /// Set-ups that reached the last level, by second from the start.
    pub bottom: Vec<u64>,
    /// Set-ups a second at the last level before the failure.
    pub bottom_before: f64,
    /// Most set-ups in a second from the beginning of the failure on.
    pub bottom_most: u64,
    /// Set-ups a second that the last level can take.
    pub bottom_capacity: f64,
    /// Seconds from the end of the failure until load and answers had returned to what they were before, and
    /// stayed there; none if they never did.
    pub at_rest: Option<f64>,
}

/// Plays a run to its end.
///
/// # Errors
///
/// When the controller rejects the settings.
pub fn play(plan: &Plan) -> Result<Outcome, lemoncleat::SettingsError> {
    Ok(run::Run::new(plan)?.play())
}
