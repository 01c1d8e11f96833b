//! Windows of real work: the state at the start, what came, and what was done about it.

use std::panic::{catch_unwind, AssertUnwindSafe};

use lemoncleat::{Action, Controller, Event, Micros, Settings};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::version::{Digest, Rules};

/// What decides. The module's [`Controller`]; tests put a changed copy here. Its serialized form begins with its
/// settings.
pub trait Decider: Serialize + DeserializeOwned {
    /// A new one; `None` where the settings are unusable.
    fn fresh(settings: &Settings, seed: u64) -> Option<Self>;

    /// As [`Controller::handle`].
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

/// The digest of a list of actions, cut to eight bytes.
pub fn digest_actions(actions: &[Action]) -> u64 {
    if actions.is_empty() {
        return 0;
    }
    // Nothing here can fail to be serialized; if it did, all nodes would alike.
    Digest::of(&postcard::to_stdvec(actions).unwrap_or_default()).seed()
}

/// Most steps of a window.
const MOST_STEPS: usize = 65_536;

/// How much sealing may take.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most bytes of a window, state and steps.
    pub bytes: usize,
    /// Longest time that a window covers, in microseconds.
    pub span: Micros,
    /// Least time between the starts of two windows, in microseconds.
    pub every: Micros,
    /// Share of the processor that sealing may take, in thousandths.
    pub share: u32,
}

impl Default for Bounds {
    /// A window of two seconds in every thirty, of 4 MiB at most, with 1 % of a core.
    fn default() -> Self {
        Bounds { bytes: 4 << 20, span: 2_000_000, every: 30_000_000, share: 10 }
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
    /// The version of the rules that the node says it runs by.
    pub version: Digest,
    /// Whose work.
    pub node: u32,
    /// Its number, counted by the node.
    pub number: u32,
    /// The digest of the numbering plan that the node's calls were read with.
    plan: Digest,
    /// The state at the start.
    state: Vec<u8>,
    /// Steps, one after the other as written.
    steps: Vec<u8>,
    count: u32,
    /// The digest of the state at the end.
    end: Digest,
}

/// Where a window and its repetition part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Difference {
    /// The state holds other settings than those of its version: a reload by half, or a flipped bit.
    Settings,
    /// The calls were read with another numbering plan than that of the version.
    Plan,
    /// The first step with other actions, and the digest of those that came out when it was played.
    Step(u32, u64),
    /// All actions are alike, the state at the end is not.
    State(u64),
}

/// What came of playing a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Played {
    /// The same actions and the same state at the end.
    Same,
    /// They differ.
    Different(Difference),
}

/// Why a window can't be played. It says nothing against its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unplayable {
    /// It is of another version.
    Version,
    /// It can't be read.
    Unreadable,
    /// The module gave up on it.
    Panic,
}

impl Window {
    /// How many events it holds.
    pub fn len(&self) -> usize {
        self.count as usize
    }

    /// Whether it holds no event.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Plays it again and says where it parts from what was done. Costs what the window's work cost, on a thread
    /// where nobody waits.
    ///
    /// # Errors
    ///
    /// When it is of another version than `rules`, or can't be played at all.
    pub fn play<D: Decider>(&self, rules: &Rules) -> Result<Played, Unplayable> {
        if self.version != rules.version() {
            return Err(Unplayable::Version);
        }
        // The state comes from another process: what the module holds for certain of its own state may not hold.
        catch_unwind(AssertUnwindSafe(|| self.play_on::<D>(rules))).unwrap_or(Err(Unplayable::Panic))
    }

    fn play_on<D: Decider>(&self, rules: &Rules) -> Result<Played, Unplayable> {
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

    /// The window as bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The window that these bytes hold.
    ///
    /// # Errors
    ///
    /// [`Unplayable::Unreadable`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Window, Unplayable> {
        let window: Window = postcard::from_bytes(bytes).map_err(|_| Unplayable::Unreadable)?;
        (window.len() <= MOST_STEPS).then_some(window).ok_or(Unplayable::Unreadable)
    }

    /// The event and the actions of a step, as text for a log.
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

/// Records what a node's controller is told and does, while a window is open. What it takes down is what really
/// ran: it stands between the node and its controller, and keeps nothing of its own making.
///
/// The host calls [`Recorder::open`] at a quiet moment, [`Recorder::event`] before and [`Recorder::acted`] after
/// each event, and [`Recorder::close`] when told that the window is full, at a quiet moment again. It measures what
/// these took and says so to [`Recorder::spent`].
pub struct Recorder {
    bounds: Bounds,
    node: u32,
    number: u32,
    opened: Option<Micros>,
    open: Option<Window>,
    /// No window before this.
    next: Micros,
    /// Time taken since the last window was opened.
    spent: Micros,
    /// Windows given up, since they outgrew their bounds.
    dropped: u64,
}

impl Recorder {
    /// A recorder of the work of `node`.
    pub fn new(node: u32, bounds: Bounds) -> Recorder {
        Recorder {
            bounds,
            node,
            number: 0,
            opened: None,
            open: None,
            next: Micros::MIN,
            spent: 0,
            dropped: 0,
        }
    }

    /// Whether a window is due, so that the next quiet moment may open one.
    pub fn due(&self, now: Micros) -> bool {
        self.open.is_none() && now >= self.next
    }

    /// Opens a window with the state as it stands. `false` where none is due or the state is too large.
    pub fn open<D: Decider>(&mut self, now: Micros, version: Digest, plan: Digest, decider: &D) -> bool {
        if !self.due(now) {
            return false;
        }
        lemoncleat_faults::point!(RULES_SEAL);
        self.next = now.saturating_add(self.bounds.every);
        self.spent = 0;
        let state = postcard::to_stdvec(decider).unwrap_or_default();
        if state.is_empty() || state.len() > self.bounds.bytes {
            self.dropped += 1;
            return false;
        }
        self.number = self.number.wrapping_add(1);
        self.opened = Some(now);
        let (node, number) = (self.node, self.number);
        let (steps, count, end) = (Vec::new(), 0, Digest::default());
        self.open = Some(Window { version, node, number, plan, state, steps, count, end });
        true
    }

    /// Takes down what the controller is about to be told.
    pub fn event(&mut self, now: Micros, event: &Event) {
        let Some(window) = &mut self.open else { return };
        // A step is a moment, an event, and actions: written here and in `acted`, read as one.
        let steps = std::mem::take(&mut window.steps);
        match postcard::to_extend(&(now, event), steps) {
            Ok(steps) => window.steps = steps,
            Err(_) => self.give_up(),
        }
    }

    /// Takes down what it did, and tells whether the window is full and ought to be closed.
    pub fn acted(&mut self, now: Micros, actions: &[Action]) -> bool {
        let Some(window) = &mut self.open else { return false };
        let steps = std::mem::take(&mut window.steps);
        let Ok(steps) = postcard::to_extend(actions, steps) else {
            self.give_up();
            return false;
        };
        window.steps = steps;
        window.count += 1;
        let bytes = window.state.len() + window.steps.len();
        if bytes > self.bounds.bytes {
            self.give_up();
            return false;
        }
        // One step must not carry it beyond its bounds.
        bytes > self.bounds.bytes - self.bounds.bytes / 16
            || window.len() >= MOST_STEPS
            || self.opened.is_some_and(|opened| now.saturating_sub(opened) >= self.bounds.span)
    }

    /// Closes the window with the state at its end.
    pub fn close<D: Decider>(&mut self, decider: &D) -> Option<Window> {
        let mut window = self.open.take()?;
        window.end = state_digest(decider)?;
        Some(window)
    }

    /// Gives up the window that is open: the rules changed in its midst, or it outgrew its bounds.
    pub fn give_up(&mut self) {
        if self.open.take().is_some() {
            self.dropped += 1;
        }
    }

    /// Told what opening, taking down and closing took, in microseconds of processor: the next window waits until
    /// that is within the share.
    pub fn spent(&mut self, time: Micros) {
        self.spent = self.spent.saturating_add(time.max(0));
        if let Some(opened) = self.opened {
            let pause = self.spent.saturating_mul(1_000) / Micros::from(self.bounds.share.max(1));
            self.next = self.next.max(opened.saturating_add(pause));
        }
    }

    /// Windows that were given up.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
