//! The types that cross the border of the decision module: settings, events and actions.
//!
//! Times are integer microseconds on the caller's clock. Nothing here decides anything.

pub(crate) use serde::{Deserialize, Serialize};

/// A span or a moment in microseconds.
pub type Micros = i64;

/// A call, as named by the host of the controller. Never reused within one controller's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A call server, as named by the host of the controller. It stays the same over restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerId(pub u32);

/// What repeating a call of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Effect {
    /// It may be repeated and refused at will.
    #[default]
    Safe,
    /// Repeats are discarded by the servers of the same [`DedupGroup`] for a while.
    Dedup,
    /// It must never run twice.
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
    /// The one place (pool or exchange).
    Cell,
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct Class {
    /// A call that stands within this time earns its full worth.
    pub aim: Micros,
    /// How long a caller goes on trying, from the first try.
    pub deadline: Micros,
    /// Worth of a call that stands until its end.
    pub worth: f64,
    /// Share of the worth earned by a call that stands after its aim.
    pub late_worth: f64,
    /// Mean length of a call that stands; 0 where unknown.
    pub length: Micros,
    /// What repeats do.
    pub effect: Effect,
    /// Where repeats are discarded.
    pub dedup_group: DedupGroup,
    /// How long repeats are discarded, from the earliest send that may have run.
    pub dedup_window: Micros,
    /// Numbers of the pools that may take the class; `None` where any server may.
    pub allowed: Option<Vec<i64>>,
}

/// How the list of servers reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Membership {
    /// Changes come unasked.
    #[default]
    Automatic,
    /// Changes come only after [`Action::Watch`] or [`Action::Fetch`].
    Subscribe,
}

/// What is known when a controller starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The classes of calls; a [`Call`] names one by its index.
    pub classes: Vec<Class>,
    /// Number of access nodes, this one included.
    pub balancers: u32,
    /// The number of this node among them.
    pub own_number: u32,
    /// Number of the own exchange in a mesh; `None` where the servers are shared pools.
    pub home: Option<i64>,
    /// A set-up that waits at a processor is sent again after this; 0 where never.
    pub repeat: Micros,
    /// After a time-out, reset or cancel a call is not sent again before this has passed.
    pub release: Micros,
    /// A full processor tells how long to wait.
    pub tells_wait: bool,
    /// How the list of servers comes.
    pub membership: Membership,
    /// Attempts that a call may have.
    pub max_attempts: u32,
    /// Longest time to come back in that callers follow; `None` where they are told none.
    pub max_retry_hint: Option<Micros>,
    /// [`Action::Cancel`] is allowed.
    pub may_cancel: bool,
    /// [`Action::Probe`] is allowed.
    pub may_probe: bool,
    /// [`Action::Tell`] is allowed.
    pub may_tell: bool,
    /// A server starts with at least this share of its capacity.
    pub cold_from: f64,
    /// A server is warm at the latest after this.
    pub cold_span: Micros,
    /// A cold server falls over when sent this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_span: Micros,
    /// Shortest gap between two events' moments; 0 where unknown.
    pub resolution: Micros,
}

impl Default for Settings {
    /// One node before shared pools, with no class yet and nothing optional allowed.
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
    /// Whether a controller can work with these figures.
    ///
    /// # Errors
    ///
    /// When there are no classes or no nodes, or a figure is negative or not finite.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |what: &str| Err(SettingsError(what.to_owned()));
        if self.classes.is_empty() {
            return bad("no classes");
        }
        if self.balancers == 0 {
            return bad("no access nodes");
        }
        for class in &self.classes {
            if class.aim <= 0 || class.deadline <= 0 || class.dedup_window < 0 {
                return bad("a class needs an aim and a deadline above zero");
            }
            let worths = [class.worth, class.late_worth];
            if worths.iter().any(|worth| !worth.is_finite() || *worth < 0.0) {
                return bad("a class needs finite worths, not below zero");
            }
        }
        let spans = [self.repeat, self.release, self.cold_span, self.fall_span];
        if spans.iter().any(|&span| span < 0) {
            return bad("a span below zero");
        }
        let shares = [self.cold_from, self.fall_multiple];
        if shares.iter().any(|share| !share.is_finite() || *share <= 0.0) {
            return bad("the figures of cold servers must be above zero");
        }
        Ok(())
    }
}

/// Whether a listed server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// It takes calls.
    Ready,
    /// It completes what it has and must be sent nothing new.
    Draining,
    /// It was taken away.
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Which server.
    pub server: ServerId,
    /// Whether it takes work.
    pub availability: Availability,
    /// When it last started; `None` if long ago.
    pub started_at: Option<Micros>,
    /// Its number among exchanges or pools.
    pub place: i64,
    /// Its zone, as an index that the host gives out.
    pub zone: u32,
    /// Its kind of machine, as an index that the host gives out.
    pub kind: u32,
}

/// What a piece of news about the list holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberNews {
    /// Only what changed.
    Changes(Vec<Member>),
    /// All there are; what is missing is gone.
    Complete(Vec<Member>),
    /// A [`Action::Watch`] or [`Action::Fetch`] failed; the old list stays.
    Failed,
}

/// A load report of a server; every figure may be missing.
#[derive(Clone, Copy, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct Report {
    /// Free circuits or lines toward the server.
    pub free: Option<f64>,
    /// Their number.
    pub lines: Option<f64>,
    /// Messages waiting at its processor.
    pub queue: Option<f64>,
    /// Messages in process there.
    pub active: Option<f64>,
    /// Busy share of its processor, 0 to 1.
    pub busy: Option<f64>,
    /// Wait at its processor.
    pub wait: Option<Micros>,
    /// Set-ups a second that it can take from all senders.
    pub allowed: Option<f64>,
    /// Share of set-ups that each sender is asked to hold back.
    pub cut_by: Option<f64>,
}

/// Why a set-up did not come about, as far as the server said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Reason {
    /// Nothing was said.
    #[default]
    None,
    /// No circuit or agent was free.
    NoCircuit,
    /// The tandem turned it back; `far_processor` where the processor beyond was full.
    TurnedBack {
        /// The destination's processor was full.
        far_processor: bool,
    },
    /// The processor was full, with the wait that it told.
    ProcessorFull {
        /// How long to wait, 0 where not told.
        wait: Micros,
    },
    /// Every line of the number called is busy.
    LinesBusy,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call stood and has ended.
    Ok,
    /// Number busy or a signalling fault.
    Error,
    /// Not set up: something was full. It never ran.
    Full,
    /// No answer in time. It may have run.
    TimedOut,
    /// No connection. It never ran.
    Unreachable,
    /// Set-up or call was cut.
    Reset,
    /// Withdrawn.
    Cancelled,
    /// Not sent at all.
    Moot,
}

/// A new call.
#[derive(Clone, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct Call {
    /// Its name.
    pub id: CallId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// How long the caller waits on this try.
    pub patience: Micros,
    /// Circuits that it takes.
    pub width: f64,
    /// Number of the destination, or of the pool of first choice.
    pub destination: i64,
    /// Number of the tandem that central advice names.
    pub advised: Option<i64>,
    /// Forwarded by another node: it goes to its destination or back.
    pub in_transit: bool,
    /// Known to be dialled again.
    pub redialled: bool,
    /// It was cut and comes again.
    pub cut: bool,
}

/// What a controller is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// News about the list of servers.
    Members(MemberNews),
    /// A call was handed over; it is owed one final answer.
    Call(Call),
    /// A set-up succeeded: the call stands.
    Started {
        /// Which call.
        call: CallId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// At which server.
        server: ServerId,
        /// Time since the send.
        lag: Micros,
    },
    /// An attempt ended.
    Ended {
        /// Which call.
        call: CallId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// At which server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// Time since the send.
        lag: Micros,
        /// The call has its final answer.
        closed: bool,
        /// What the server said.
        reason: Reason,
        /// The server's load.
        report: Report,
    },
    /// The caller left; no answer is owed any more.
    CallerGone(CallId),
    /// A timer came due.
    Timer(u64),
    /// A probe was answered, or circuits changed (`lag` 0, unasked).
    Probed {
        /// Which server.
        server: ServerId,
        /// Whether it answered well.
        outcome: Outcome,
        /// Time since the probe.
        lag: Micros,
        /// The server's load.
        report: Report,
    },
    /// A note from another node.
    Note {
        /// The number of its sender.
        from: u32,
        /// What it holds.
        bytes: Vec<u8>,
    },
}

/// How much a controller holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sizes {
    /// Servers, those not yet forgotten included.
    pub servers: usize,
    /// Calls that are owed an answer.
    pub calls: usize,
    /// Of them, calls that wait to be sent.
    pub waiting: usize,
}

/// What a controller takes a server to be like.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Free circuits or lines, own set-ups since the last news taken off.
    pub free: Option<f64>,
    /// Their number.
    pub lines: Option<f64>,
    /// The wait that a set-up sent now would meet.
    pub wait: Micros,
    /// The way there and back with nobody waiting.
    pub way: Option<Micros>,
    /// It answers nothing: it gets lone trial calls.
    pub silent: bool,
}

/// What a controller asks for. Actions take effect in order, at the moment of the event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start a set-up of the call at the server.
    Send {
        /// Which call.
        call: CallId,
        /// Where to.
        server: ServerId,
        /// Give the attempt up after this; 0 for as long as the caller waits.
        timeout: Micros,
    },
    /// Final answer: turned away.
    Refuse {
        /// Which call.
        call: CallId,
        /// When to come back; 0 for no hint.
        retry_after: Micros,
    },
    /// Final answer: given up.
    Fail(CallId),
    /// Stop waiting for an attempt; it still ends with an [`Event::Ended`].
    Cancel {
        /// Which call.
        call: CallId,
        /// Which attempt.
        attempt: u32,
    },
    /// Ask for an [`Event::Timer`].
    Timer {
        /// Comes back with the event.
        token: u64,
        /// How long from now.
        delay: Micros,
    },
    /// Check a server, at a cost.
    Probe(ServerId),
    /// Send a note (256 bytes at most) to one node, or to all.
    Tell {
        /// The receiver's number; `None` for every node.
        to: Option<u32>,
        /// What it holds.
        bytes: Vec<u8>,
    },
    /// A line for the log.
    Log(String),
    /// Subscribe to the list of servers, or stop.
    Watch(bool),
    /// Ask for the complete list once.
    Fetch,
}

/// Settings that no controller can work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
