//! The public types of the decision module: settings, events and actions.
//!
//! Times are integer microseconds on the host's clock. This file contains no decision logic.

pub(crate) use serde::{Deserialize, Serialize};

/// A duration or a point in time, in microseconds.
pub type Micros = i64;

/// Identifies a call. Assigned by the controller's host, and never reused while the controller exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Identifies a call server. Assigned by the controller's host, and unchanged when the server restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerId(pub u32);

/// Whether a call of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Effect {
    /// It may be repeated and refused at any time.
    #[default]
    Safe,
    /// The servers of the same [`DedupGroup`] discard repeats during [`Class::dedup_window`].
    Dedup,
    /// It must not run more than once.
    Fragile,
}

/// Which servers discard repeats of one call of a [`Effect::Dedup`] class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum DedupGroup {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one place (pool or exchange).
    Cell,
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct Class {
    /// A call established within this time earns its full worth.
    pub aim: Micros,
    /// How long a caller keeps trying, counted from the first try.
    pub deadline: Micros,
    /// Worth of a call that is established and lasts until its regular end.
    pub worth: f64,
    /// Share of the worth earned by a call that is established after its aim.
    pub late_worth: f64,
    /// Mean duration of an established call; 0 if unknown.
    pub length: Micros,
    /// Whether calls may be repeated.
    pub effect: Effect,
    /// Which servers discard repeats.
    pub dedup_group: DedupGroup,
    /// How long repeats are discarded, counted from the first attempt that may have run.
    pub dedup_window: Micros,
    /// Numbers of the pools that may take the class; `None` if any server may.
    pub allowed: Option<Vec<i64>>,
}

/// How the list of servers reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Membership {
    /// Changes are delivered without a request.
    #[default]
    Automatic,
    /// Changes are delivered only after [`Action::Watch`] or [`Action::Fetch`].
    Subscribe,
}

/// The settings of a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The classes of calls; a [`Call`] names one by its index.
    pub classes: Vec<Class>,
    /// Number of access nodes, this one included.
    pub balancers: u32,
    /// The number of this node among them, from 0.
    pub own_number: u32,
    /// Number of this node's exchange in a mesh; `None` if the servers are shared pools.
    pub home: Option<i64>,
    /// A set-up that waits at a processor is sent again after this time; 0 if it never is.
    pub repeat: Micros,
    /// A call is not sent again until this time after a time-out, reset or cancel has passed.
    pub release: Micros,
    /// A full processor reports how long to wait.
    pub tells_wait: bool,
    /// How the list of servers is delivered.
    pub membership: Membership,
    /// Maximum number of attempts per call.
    pub max_attempts: u32,
    /// Longest retry-after time that callers follow; `None` if callers get no such hint.
    pub max_retry_hint: Option<Micros>,
    /// Whether [`Action::Cancel`] is allowed.
    pub may_cancel: bool,
    /// Whether [`Action::Probe`] is allowed.
    pub may_probe: bool,
    /// Whether [`Action::Tell`] is allowed.
    pub may_tell: bool,
    /// Lower bound of the share of its capacity that a server has when it starts.
    pub cold_from: f64,
    /// Upper bound of the time until a started server is warm.
    pub cold_span: Micros,
    /// A cold server falls over when it is sent this multiple of its current capacity ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_span: Micros,
    /// Shortest interval between the times of two events; 0 if unknown.
    pub resolution: Micros,
}

impl Default for Settings {
    /// One node before shared pools, without classes and with all optional actions disallowed.
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            balancers: 1,
            own_number: 0,
            home: None,
            repeat: 0,
            release: 0,
            tells_wait: false,
            membership: Membership::Automatic,
            max_attempts: 1,
            max_retry_hint: None,
            may_cancel: false,
            may_probe: false,
            may_tell: false,
            cold_from: 1.0,
            cold_span: 0,
            fall_multiple: 1.0,
            fall_span: 0,
            resolution: 0,
        }
    }
}

impl Settings {
    /// Checks that a controller can work with these settings.
    ///
    /// # Errors
    ///
    /// Fails if there are no classes or no nodes, or if a figure is negative or not finite.
    pub fn check(&self) -> Result<(), SettingsError> {
        let unusable = |what: &str| Err(SettingsError(what.to_owned()));
        if self.classes.is_empty() {
            return unusable("no classes");
        }
        if self.balancers == 0 {
            return unusable("no access nodes");
        }
        for class in &self.classes {
            if class.aim <= 0 || class.deadline <= 0 || class.dedup_window < 0 {
                return unusable("a class needs an aim and a deadline above zero");
            }
            let worths = [class.worth, class.late_worth];
            if worths.iter().any(|worth| !worth.is_finite() || *worth < 0.0) {
                return unusable("a class needs finite worths, not below zero");
            }
        }
        let spans = [self.repeat, self.release, self.cold_span, self.fall_span];
        if spans.iter().any(|&span| span < 0) {
            return unusable("a time span is negative");
        }
        let shares = [self.cold_from, self.fall_multiple];
        if shares.iter().any(|share| !share.is_finite() || *share <= 0.0) {
            return unusable("the figures of cold servers must be above zero");
        }
        Ok(())
    }
}

/// Whether a listed server accepts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// It accepts calls.
    Ready,
    /// It completes its current calls and must not be sent new ones.
    Draining,
    /// It was removed.
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The server.
    pub server: ServerId,
    /// Whether it accepts calls.
    pub availability: Availability,
    /// When it last started; `None` if that is long ago.
    pub started_at: Option<Micros>,
    /// The number of its exchange or pool.
    pub place: i64,
    /// Its zone, as an index assigned by the host.
    pub zone: u32,
    /// Its kind of machine, as an index assigned by the host.
    pub kind: u32,
}

/// An update of the list of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerListUpdate {
    /// Only the changed entries.
    Changes(Vec<Member>),
    /// The complete list; servers that are missing are gone.
    Complete(Vec<Member>),
    /// An [`Action::Watch`] or [`Action::Fetch`] failed; the previous list remains valid.
    Failed,
}

/// A load report of a server. Each figure is optional.
#[derive(Clone, Copy, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct Report {
    /// Free circuits or lines towards the server.
    pub free: Option<f64>,
    /// Total number of circuits or lines.
    pub lines: Option<f64>,
    /// Messages waiting at its processor.
    pub queue: Option<f64>,
    /// Messages being processed there.
    pub active: Option<f64>,
    /// Utilization of its processor, 0 to 1.
    pub busy: Option<f64>,
    /// Waiting time at its processor.
    pub wait: Option<Micros>,
    /// Set-ups per second that it can take from all senders.
    pub allowed: Option<f64>,
    /// Share by which each sender is asked to reduce its set-ups.
    pub cut_by: Option<f64>,
}

/// Why a set-up failed, as far as the server reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Reason {
    /// No reason was given.
    #[default]
    None,
    /// No circuit or agent was free.
    NoCircuit,
    /// The tandem turned the call back.
    TurnedBack {
        /// Whether the destination's processor was full.
        far_processor: bool,
    },
    /// The processor was full.
    ProcessorFull {
        /// How long to wait before the next set-up, 0 if not reported.
        wait: Micros,
    },
    /// All lines of the called number are busy.
    LinesBusy,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call was established and has ended.
    Ok,
    /// The number was busy, or there was a signalling error.
    Error,
    /// Not set up for lack of capacity. It never ran.
    Full,
    /// No answer in time. It may have run.
    TimedOut,
    /// There was no connection. It never ran.
    Unreachable,
    /// The set-up or the call was cut off.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt was never sent.
    Moot,
}

/// A new call.
#[derive(Clone, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct Call {
    /// Identifies the call.
    pub id: CallId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// How long the caller waits during this try.
    pub patience: Micros,
    /// Number of circuits that it occupies.
    pub width: f64,
    /// Number of the destination exchange, or of the first-choice pool.
    pub destination: i64,
    /// Number of the tandem that the central routing advice names.
    pub advised: Option<i64>,
    /// Whether another node forwarded it. Such a call goes to its destination or is turned back.
    pub in_transit: bool,
    /// Whether it is known to be a redialled call.
    pub redialled: bool,
    /// Whether it is a repeat of a call that was cut off.
    pub cut: bool,
}

/// An input of a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The list of servers was updated.
    Members(ServerListUpdate),
    /// A new call arrived. It must get exactly one final answer.
    Call(Call),
    /// A set-up succeeded: the call is established.
    Started {
        /// The call.
        call: CallId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Time since the attempt was sent.
        lag: Micros,
    },
    /// An attempt ended.
    Ended {
        /// The call.
        call: CallId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the attempt was sent.
        lag: Micros,
        /// Whether the call already has its final answer.
        closed: bool,
        /// The reason that the server gave.
        reason: Reason,
        /// The server's load report.
        report: Report,
    },
    /// The caller hung up; no answer is needed any more.
    CallerGone(CallId),
    /// The timer with this token expired.
    Timer(u64),
    /// A probe was answered, or a server reported a change of its circuits on its own (`lag` is 0).
    Probed {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since the probe.
        lag: Micros,
        /// The server's load report.
        report: Report,
    },
    /// A message from another node arrived.
    Note {
        /// The number of the sending node.
        from: u32,
        /// The content.
        bytes: Vec<u8>,
    },
}

/// The number of entries that a controller holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sizes {
    /// Servers, including those that left the list but are not yet removed.
    pub servers: usize,
    /// Calls without a final answer.
    pub calls: usize,
    /// Of these, calls that wait to be sent.
    pub waiting: usize,
}

/// A controller's estimate of the state of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerView {
    /// Free circuits or lines, less this node's set-ups since the last report.
    pub free: Option<f64>,
    /// Total number of circuits or lines.
    pub lines: Option<f64>,
    /// The wait that a set-up sent now is expected to meet.
    pub wait: Micros,
    /// The round trip without queueing.
    pub way: Option<Micros>,
    /// Whether it has stopped answering. Such a server gets single trial calls only.
    pub silent: bool,
}

/// A request of a controller to its host. Actions take effect in order, at the time of the event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start a set-up of the call at the server.
    Send {
        /// The call.
        call: CallId,
        /// The server.
        server: ServerId,
        /// The attempt times out after this; 0 means as long as the caller waits.
        timeout: Micros,
    },
    /// Final answer: the call is refused.
    Refuse {
        /// The call.
        call: CallId,
        /// When the caller may try again; 0 for no hint.
        retry_after: Micros,
    },
    /// Final answer: the call has failed.
    Fail(CallId),
    /// Stop waiting for an attempt; it still ends with an [`Event::Ended`].
    Cancel {
        /// The call.
        call: CallId,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// Request an [`Event::Timer`].
    Timer {
        /// Returned with the event.
        token: u64,
        /// Time until the event.
        delay: Micros,
    },
    /// Probe a server, which costs processor work there.
    Probe(ServerId),
    /// Send a message of at most 256 bytes to one node or to all.
    Tell {
        /// The number of the receiving node; `None` for all nodes.
        to: Option<u32>,
        /// The content.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
    /// Subscribe to the list of servers, or cancel the subscription.
    Watch(bool),
    /// Request the complete list once.
    Fetch,
}

/// The settings are unusable; the text gives the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
