//! Windows of real work: the state at the start, the events, and the resulting actions.

use std::panic::{catch_unwind, AssertUnwindSafe};

use lemoncleat::{Action, Controller, Event, Micros, Settings};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::version::{Digest, Rules};

/// The code that makes decisions: the module's [`Controller`], or a modified copy in tests. Its serialized
/// form begins with its settings.
pub trait Decider: Serialize + DeserializeOwned {
    /// Creates a decider; `None` if the settings are unusable.
    fn fresh(settings: &Settings, seed: u64) -> Option<Self>;

    /// Same as [`Controller::handle`].
    fn decide(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);
}

impl Decider for Controller {
    fn fresh(settings: &Settings, seed: u64) -> Option<Self> {
        Controller::new(settings.clone(), seed).ok()
    }

    fn decide(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.handle(now, event, actions);
    }
}

/// Returns the digest of a list of actions, truncated to eight bytes.
pub fn digest_actions(actions: &[Action]) -> u64 {
    if actions.is_empty() {
        return 0;
    }
    // Serialization of actions does not fail; if it did, it would fail at all nodes alike.
    Digest::of(&postcard::to_stdvec(actions).unwrap_or_default()).seed()
}

/// Maximum number of steps in a window.
const MAX_WINDOW_STEPS: usize = 65_536;

/// Limits on the cost of sealing windows.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum size of a window, state and steps together, in bytes.
    pub max_bytes: usize,
    /// Maximum time that a window covers, in microseconds.
    pub max_span: Micros,
    /// Minimum time between the starts of two windows, in microseconds.
    pub interval: Micros,
    /// Maximum share of the processor used by sealing, in thousandths.
    pub processor_share: u32,
}

impl Default for Bounds {
    /// A window of two seconds every thirty seconds, at most 4 MiB, with 1 % of a core.
    fn default() -> Self {
        Bounds { max_bytes: 4 << 20, max_span: 2_000_000, interval: 30_000_000, processor_share: 10 }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Step {
    at: Micros,
    event: Event,
    actions: Vec<Action>,
}

/// A sealed window of one node's work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// The version of the rules that the node claims to run.
    pub version: Digest,
    /// The node whose work it is.
    pub node: u32,
    /// The window's number, counted by the node.
    pub number: u32,
    /// The digest of the numbering plan that the node's calls were parsed with.
    plan: Digest,
    /// The state at the start.
    state: Vec<u8>,
    /// The steps, concatenated in order.
    steps: Vec<u8>,
    count: u32,
    /// The digest of the state at the end.
    end: Digest,
}

/// The first difference between a window and its repetition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Difference {
    /// The state holds settings that differ from those of its version, after a partial reload or a flipped
    /// bit.
    Settings,
    /// The calls were parsed with a numbering plan that differs from that of the version.
    Plan,
    /// The first step with different actions, and the digest of the actions when it was played again.
    Step(u32, u64),
    /// All actions are the same, but the state at the end differs.
    State(u64),
}

/// The result of playing a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Played {
    /// The same actions and the same state at the end.
    Same,
    /// There is a difference.
    Different(Difference),
}

/// The reason why a window cannot be played. It is no evidence against its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unplayable {
    /// The window is of another version.
    Version,
    /// The window cannot be decoded.
    Unreadable,
    /// The module panicked.
    Panic,
}

impl Window {
    /// Returns the number of events in the window.
    pub fn len(&self) -> usize {
        self.count as usize
    }

    /// Returns whether the window has no events.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Plays the window again and returns the first difference. Costs as much time as the window's work did,
    /// so it belongs on a thread that delays no calls.
    ///
    /// # Errors
    ///
    /// Returns an error if the window is of another version than `rules`, or cannot be played.
    pub fn play<D: Decider>(&self, rules: &Rules) -> Result<Played, Unplayable> {
        if self.version != rules.version() {
            return Err(Unplayable::Version);
        }
        // The state comes from another process, so the module's assumptions about its own state may not hold.
        catch_unwind(AssertUnwindSafe(|| self.play_from_state::<D>(rules))).unwrap_or(Err(Unplayable::Panic))
    }

    fn play_from_state<D: Decider>(&self, rules: &Rules) -> Result<Played, Unplayable> {
        let unreadable = |_| Unplayable::Unreadable;
        if self.plan != rules.plan_digest() {
            return Ok(Played::Different(Difference::Plan));
        }
        let (settings, _) = postcard::take_from_bytes::<Settings>(&self.state).map_err(unreadable)?;
        if (Rules { settings, plan: Vec::new() }).settings_digest() != rules.settings_digest() {
            return Ok(Played::Different(Difference::Settings));
        }
        let mut decider: D = postcard::from_bytes(&self.state).map_err(unreadable)?;
        let (mut rest, mut actions) = (self.steps.as_slice(), Vec::new());
        for number in 0..self.count {
            let (step, after) = postcard::take_from_bytes::<Step>(rest).map_err(unreadable)?;
            rest = after;
            actions.clear();
            decider.decide(step.at, step.event, &mut actions);
            if actions != step.actions {
                return Ok(Played::Different(Difference::Step(number, digest_actions(&actions))));
            }
        }
        let end = state_digest(&decider).ok_or(Unplayable::Unreadable)?;
        Ok(if end == self.end { Played::Same } else { Played::Different(Difference::State(end.seed())) })
    }

    /// Encodes the window.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a window.
    ///
    /// # Errors
    ///
    /// Returns [`Unplayable::Unreadable`] if the bytes are malformed or the window has too many steps.
    pub fn from_bytes(bytes: &[u8]) -> Result<Window, Unplayable> {
        let window: Window = postcard::from_bytes(bytes).map_err(|_| Unplayable::Unreadable)?;
        (window.len() <= MAX_WINDOW_STEPS).then_some(window).ok_or(Unplayable::Unreadable)
    }

    /// Returns the event and the actions of a step as text for a log.
    pub fn describe(&self, step: u32) -> Option<String> {
        let mut rest = self.steps.as_slice();
        for _ in 0..step.min(self.count) {
            rest = postcard::take_from_bytes::<Step>(rest).ok()?.1;
        }
        let (Step { at, event, actions }, _) = postcard::take_from_bytes::<Step>(rest).ok()?;
        Some(format!("at {at} us: {event:?} -> {actions:?}"))
    }
}

fn state_digest(decider: &impl Serialize) -> Option<Digest> {
    postcard::to_stdvec(decider).ok().map(|bytes| Digest::of(&bytes))
}

/// Records the events and actions of a node's controller while a window is open. It records what actually
/// ran, as it stands between the node and its controller and adds nothing of its own.
///
/// The host calls [`Recorder::open`] when it is idle, [`Recorder::record_event`] before and
/// [`Recorder::record_actions`] after each event, and [`Recorder::close`] when it is idle again after the
/// window has been reported full. It measures the time of these calls and passes it to
/// [`Recorder::add_cost`].
pub struct Recorder {
    bounds: Bounds,
    node: u32,
    number: u32,
    opened_at: Option<Micros>,
    open: Option<Window>,
    /// Earliest time of the next window.
    next_at: Micros,
    /// Processor time used since the last window was opened.
    cost: Micros,
    /// Number of windows discarded because they exceeded their bounds.
    discarded: u64,
}

impl Recorder {
    /// Creates a recorder for the work of `node`.
    pub fn new(node: u32, bounds: Bounds) -> Recorder {
        Recorder {
            bounds,
            node,
            number: 0,
            opened_at: None,
            open: None,
            next_at: Micros::MIN,
            cost: 0,
            discarded: 0,
        }
    }

    /// Returns whether a window is due, so that one may be opened when the host is next idle.
    pub fn due(&self, now: Micros) -> bool {
        self.open.is_none() && now >= self.next_at
    }

    /// Opens a window with the current state. Returns `false` if none is due or the state is too large.
    pub fn open<D: Decider>(&mut self, now: Micros, version: Digest, plan: Digest, decider: &D) -> bool {
        if !self.due(now) {
            return false;
        }
        lemoncleat_faults::point!(RULES_SEAL);
        self.next_at = now.saturating_add(self.bounds.interval);
        self.cost = 0;
        let state = postcard::to_stdvec(decider).unwrap_or_default();
        if state.is_empty() || state.len() > self.bounds.max_bytes {
            self.discarded += 1;
            return false;
        }
        self.number = self.number.wrapping_add(1);
        self.opened_at = Some(now);
        let (node, number) = (self.node, self.number);
        let (steps, count, end) = (Vec::new(), 0, Digest::default());
        self.open = Some(Window { version, node, number, plan, state, steps, count, end });
        true
    }

    /// Records an event that the controller is about to process.
    pub fn record_event(&mut self, now: Micros, event: &Event) {
        let Some(window) = &mut self.open else { return };
        // A step consists of a time, an event and actions. The first two are written here and the actions in
        // `record_actions`, to be read as one value.
        let steps = std::mem::take(&mut window.steps);
        match postcard::to_extend(&(now, event), steps) {
            Ok(steps) => window.steps = steps,
            Err(_) => self.discard(),
        }
    }

    /// Records the controller's actions. Returns whether the window is full and should be closed.
    pub fn record_actions(&mut self, now: Micros, actions: &[Action]) -> bool {
        let Some(window) = &mut self.open else { return false };
        let steps = std::mem::take(&mut window.steps);
        let Ok(steps) = postcard::to_extend(actions, steps) else {
            self.discard();
            return false;
        };
        window.steps = steps;
        window.count += 1;
        let bytes = window.state.len() + window.steps.len();
        if bytes > self.bounds.max_bytes {
            self.discard();
            return false;
        }
        // Leaves room so that the next step does not exceed the bounds.
        bytes > self.bounds.max_bytes - self.bounds.max_bytes / 16
            || window.len() >= MAX_WINDOW_STEPS
            || self.opened_at.is_some_and(|opened_at| now.saturating_sub(opened_at) >= self.bounds.max_span)
    }

    /// Closes the window with the state at its end.
    pub fn close<D: Decider>(&mut self, decider: &D) -> Option<Window> {
        let mut window = self.open.take()?;
        window.end = state_digest(decider)?;
        Some(window)
    }

    /// Discards the open window, because the rules changed or it exceeded its bounds.
    pub fn discard(&mut self) {
        if self.open.take().is_some() {
            self.discarded += 1;
        }
    }

    /// Adds the processor time of opening, recording and closing, in microseconds. The next window is delayed
    /// until the total is within the share.
    pub fn add_cost(&mut self, time: Micros) {
        self.cost = self.cost.saturating_add(time.max(0));
        if let Some(opened_at) = self.opened_at {
            let pause = self.cost.saturating_mul(1_000) / Micros::from(self.bounds.processor_share.max(1));
            self.next_at = self.next_at.max(opened_at.saturating_add(pause));
        }
    }

    /// Returns the number of discarded windows.
    pub fn discarded(&self) -> u64 {
        self.discarded
    }
}
