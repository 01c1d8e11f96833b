//! What the node does after its event loop had no turn for some time, as when its process was stopped.
//!
//! All that arrived meanwhile is read then, in an order that says nothing of the order in which it arrived. The
//! decision module is given no event before the news of the server list that waited beside the others: a
//! set-up must not go to a server that was reported as draining during the stall.

use lemoncleat::Event;
use lemoncleat_core::Micros;

use crate::node::{AccessNode, Timer};
use crate::timing::{CATCH_UP_LIMIT_US, MIN_STALL_US};

/// The state of a node after a stall of its event loop.
#[derive(Default)]
pub(crate) struct CatchUp {
    /// Whether a stall was detected since timers were last served.
    detected: bool,
    /// When the last stall ended, while news of the server list that arrived during it may be unread.
    since: Option<Micros>,
}

impl CatchUp {
    /// Returns whether the module must not be given events yet.
    pub(crate) fn in_progress(&self) -> bool {
        self.since.is_some()
    }

    /// Records that all due timers were served.
    pub(crate) fn timers_served(&mut self) {
        self.detected = false;
    }
}

impl AccessNode {
    /// Detects that no timer was served for some time, although one was due: the event loop had no turn.
    pub(crate) fn detect_stall(&mut self) {
        let overdue: Micros = self.wheel.wake().map_or(0, |due| self.now - due);
        if overdue > MIN_STALL_US && !self.catch_up.detected {
            self.catch_up = CatchUp { detected: true, since: Some(self.now) };
            self.wheel.set(self.now + CATCH_UP_LIMIT_US, Timer::CatchUpLimit);
        }
    }

    /// Ends the wait for the news of the server list if it has lasted for its limit.
    pub(crate) fn end_catch_up_at_limit(&mut self) {
        if self.catch_up.since.is_some_and(|since| self.now - since >= CATCH_UP_LIMIT_US) {
            self.end_catch_up();
        }
    }

    /// Ends the wait for the news of the server list: the module is given all events, the news first.
    pub(crate) fn end_catch_up(&mut self) {
        if self.catch_up.since.take().is_none() {
            return;
        }
        let waiting = std::mem::take(&mut self.events);
        let (news, others): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|event| matches!(event, Event::Members(_)));
        self.events.extend(news);
        for event in others {
            let event = self.with_patience_left(event);
            self.events.push_back(event);
        }
    }

    /// Returns the event; in a set-up, the time that it has waited is subtracted from its caller's patience.
    fn with_patience_left(&self, event: Event) -> Event {
        match event {
            Event::Call(mut call) => {
                let open_call = self.calls.get(&call.id);
                call.patience =
                    open_call.map_or(call.patience, |open_call| open_call.deadline.answer_by() - self.now);
                Event::Call(call)
            }
            other => other,
        }
    }
}
