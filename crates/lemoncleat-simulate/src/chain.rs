//! A chain of services under the virtual clock: each server of a level, on taking a set-up, makes a call to
//! the level below through a node of its own, and answers by what came back. The nodes' decisions are the
//! real [`Controller`](lemoncleat::Controller) with its own events and actions; sockets, messages and the
//! fronts around it are left out, and servers are simulated. At the last level a share of servers or of
//! set-ups fails for a while.

mod run;
mod tail;

use serde::Serialize;

pub use tail::{sum, Quantiles, Sum};

use crate::Micros;

/// Deepest chain that is played.
pub const DEPTH_MOST: usize = 64;

/// How a failing set-up at the last level ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failing {
    /// It is worked on and answered with an error.
    Error,
    /// It is worked on and never answered.
    Silence,
    /// It is refused at once, for 0.2 of the work: the processor is full.
    Refusal,
}

/// What fails at the last level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// Some servers, with all their set-ups.
    Servers,
    /// Set-ups by chance, at every server.
    SetUps,
}

/// What a server answers whose own call to the level below failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Upward {
    /// An error like any other.
    Error,
    /// A refusal: its processor is full.
    Refusal,
    /// An error marked as tried already by the level below; the node above repeats nothing and blames nobody.
    /// A stand-in: told to the controller as "every line of the number is busy", the one reason that it takes
    /// as final.
    Tried,
}

/// How nodes and servers are set.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Variant {
    /// Its name.
    pub name: &'static str,
    /// Most attempts of a call at each level.
    pub attempts: u32,
    /// Servers tell their own node the time left; otherwise each call gets the whole patience anew.
    pub handed_down: bool,
    /// What a failure from below becomes.
    pub upward: Upward,
    /// Repeats that a node may send as a share of its first attempts; a stand-in in the host of the
    /// controller.
    pub budget: Option<f64>,
}

const fn variant(name: &'static str, attempts: u32, handed_down: bool) -> Variant {
    Variant { name, attempts, handed_down, upward: Upward::Error, budget: None }
}

/// What is played: the settings of today, then the remedies.
pub const VARIANTS: [Variant; 10] = [
    variant("1", 1, true),
    variant("2", 2, true),
    variant("4", 4, true),
    variant("1-whole-patience", 1, false),
    variant("2-whole-patience", 2, false),
    variant("4-whole-patience", 4, false),
    Variant { upward: Upward::Refusal, ..variant("4-refusal", 4, true) },
    Variant { upward: Upward::Tried, ..variant("4-tried", 4, true) },
    Variant { budget: Some(0.1), ..variant("4-budget", 4, true) },
    Variant { upward: Upward::Tried, budget: Some(0.1), ..variant("4-tried-budget", 4, true) },
];

/// One run. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// Everything random comes from it.
    pub seed: u64,
    /// Levels, 1 to [`DEPTH_MOST`].
    pub depth: usize,
    /// Servers of each level, and nodes before it.
    pub servers: usize,
    /// Calls a second that enter.
    pub rate: f64,
    /// Set-ups a second that a server can take.
    pub capacity: f64,
    /// Time that a set-up takes at a server with nobody waiting.
    pub service: Micros,
    /// Least way between node and server, and how much longer it may be.
    pub way: (Micros, Micros),
    /// How long a caller waits.
    pub patience: Micros,
    /// How much before a caller's deadline a node answers.
    pub margin: Micros,
    /// Time to settle in, not counted.
    pub settle: Micros,
    /// Time before the failing.
    pub before: Micros,
    /// Length of the failing.
    pub failing: Micros,
    /// Time after it in which calls still enter.
    pub after: Micros,
    /// Share that fails, 0 to 1.
    pub fails: f64,
    /// How.
    pub how: Failing,
    /// What.
    pub part: Part,
    /// Settings of nodes and servers.
    pub variant: Variant,
}

impl Plan {
    /// A chain of services with five servers each at half their capacity, 44 calls a second for a server.
    pub fn new(seed: u64, depth: usize, fails: f64, variant: Variant) -> Plan {
        Plan {
            seed,
            depth: depth.clamp(1, DEPTH_MOST),
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
            how: Failing::Error,
            part: Part::Servers,
            variant,
        }
    }
}

/// Time left until the deadline of the caller who entered, on arrival at a server of a level; in
/// milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Left {
    /// Half of the set-ups had at least this.
    pub half: f64,
    /// All but one in a hundred had.
    pub most: f64,
    /// Share of the set-ups that arrived after the deadline.
    pub past: f64,
}

/// What became of the calls that entered in one span.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Span {
    /// Calls that entered.
    pub entered: u64,
    /// Of them, set up in time.
    pub stood: u64,
    /// Of them, answered in time with a failure.
    pub failed: u64,
    /// Attempts for them, by level.
    pub attempts: Vec<u64>,
    /// Attempts for them that began after the caller's deadline, at all levels.
    pub late: u64,
    /// Time left by level, of those that arrived.
    pub left: Vec<Left>,
}

impl Span {
    /// Attempts at a level for each call that entered.
    pub fn amplification(&self, level: usize) -> f64 {
        self.attempts.get(level).map_or(0.0, |&count| count as f64 / self.entered.max(1) as f64)
    }

    /// Share of the calls that were set up in time.
    pub fn share(&self) -> f64 {
        self.stood as f64 / self.entered.max(1) as f64
    }
}

/// What a run came to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// Equal for equal runs.
    pub digest: u64,
    /// Events carried out.
    pub steps: u64,
    /// The first law that was broken: one answer to each call by its deadline, no attempt after the deadline
    /// handed down.
    pub broken: Option<String>,
    /// Calls that entered before, while and after the last level failed.
    pub spans: [Span; 3],
    /// Set-ups that reached the last level, by second from the start.
    pub bottom: Vec<u64>,
    /// Set-ups a second at the last level before the failing.
    pub bottom_before: f64,
    /// The most in a second from the failing on.
    pub bottom_most: u64,
    /// Set-ups a second that the last level can take.
    pub bottom_capacity: f64,
    /// Seconds from the end of the failing until load and answers were as before and stayed so; none if
    /// never.
    pub at_rest: Option<f64>,
}

/// Plays a run to its end.
///
/// # Errors
///
/// When the settings are none that a controller can work with.
pub fn play(plan: &Plan) -> Result<Outcome, lemoncleat::SettingsError> {
    Ok(run::Run::new(plan)?.play())
}
