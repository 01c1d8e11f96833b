//! Handling of gaps between turns of the event loop, as when the process was paused or the host ran something
//! else.
//!
//! Everything that arrived meanwhile is read at once, in an order that does not reflect the order of arrival.
//! The node therefore first handles what is overdue toward callers. It then reads the whole backlog; answers
//! and releases take effect as they are read. After that it evaluates watchdogs and timeouts, and reports all
//! events to the module at one time, as the module's test bench does, list updates first. Set-ups, old and
//! new, come last. A request read from the backlog counts as having arrived when the gap began, the most
//! conservative assumption.

use super::*;

/// Set-ups begun per turn after a gap; few enough that the clock value they use stays current.
const SET_UPS_PER_TURN: usize = 8;
/// A driver that does not report [`Input::BacklogDelivered`] is assumed to have caught up after this time.
const BACKLOG_TIMEOUT_US: Micros = 1_000_000;

/// A gap whose backlog has not been read completely.
#[derive(Debug, Default)]
pub(super) struct Gap {
    /// When the loop had its last turn before the gap.
    since: Micros,
    /// When the loop had its next turn.
    resumed: Micros,
    /// Expired timers that must not be evaluated before the backlog is read, in order of expiry.
    timers: Vec<Timer>,
    /// The backlog is read: timers are evaluated now and the module receives its events.
    evaluating: bool,
    /// Set-ups found in the backlog.
    set_ups: usize,
    /// Value of the withheld counter when the gap began.
    withheld_before: u64,
}

/// A client's request deferred until after a gap.
#[derive(Debug)]
pub(super) struct Deferred {
    peer: PeerId,
    conn: ConnId,
    arrived: Micros,
    bytes: Vec<u8>,
}

impl Timer {
    /// Returns whether a timer that expired in a gap waits until the backlog is read, because the backlog may
    /// contain the awaited message, or news that forbids sending anything new.
    fn waits_for_backlog(self) -> bool {
        !matches!(self, Timer::Deadline(_) | Timer::IncomingDeadline(..) | Timer::BacklogTimeout(_))
    }
}

impl Node {
    /// Returns the earliest time at which a message read now can have arrived.
    pub(super) fn arrival_time(&self) -> Micros {
        self.gap.as_ref().map_or(self.now, |gap| gap.since)
    }

    /// Returns whether events for the module are held until the backlog is read.
    pub(super) fn events_are_held(&self) -> bool {
        self.gap.as_ref().is_some_and(|gap| !gap.evaluating)
    }

    /// Handles a gap in the event loop from `since` until now. If another gap follows before the backlog is
    /// read, the beginning of the first one counts.
    pub(super) fn begin_gap(&mut self, since: Micros) {
        let since = since.min(self.now);
        for index in 0..self.peers.len() {
            self.drive_peer(PeerId(index as u32), PeerInput::Away(self.now - since));
        }
        if self.gap.is_none() {
            self.stats.gaps += 1;
            self.gap = Some(Gap { since, withheld_before: self.stats.withheld, ..Gap::default() });
            self.wheel.set(self.now + BACKLOG_TIMEOUT_US, Timer::BacklogTimeout(self.stats.gaps));
        }
        if let Some(gap) = &mut self.gap {
            gap.resumed = self.now;
        }
        // Passed deadlines are the most overdue; `handle` processes them before anything is read.
    }

    /// Keeps a timer for later if it must not be evaluated yet; returns whether it was kept.
    pub(super) fn defer_timer(&mut self, timer: Timer) -> bool {
        match &mut self.gap {
            Some(gap) if timer.waits_for_backlog() && !gap.evaluating => {
                gap.timers.push(timer);
                true
            }
            _ => false,
        }
    }

    /// Defers a client's request if it begins something new while earlier events are not processed; returns
    /// whether it was deferred. A release of a call whose set-up is deferred stays behind that set-up.
    pub(super) fn defer(&mut self, peer: PeerId, conn: ConnId, message: &MessageRef<'_>) -> bool {
        if self.gap.is_none() && self.deferred.is_empty() {
            return false;
        }
        match message.header.command {
            d::CMD_AA => {}
            d::CMD_SESSION_TERMINATION => {
                let session = message.text(d::SESSION_ID).unwrap_or_default();
                if self.sessions.contains_key(session) || self.incoming_sessions.contains_key(session) {
                    return false;
                }
            }
            _ => return false,
        }
        if let Some(gap) = &mut self.gap {
            gap.set_ups += usize::from(message.header.command == d::CMD_AA);
        }
        if self.deferred.len() >= self.settings.max_calls {
            return false;
        }
        let arrived = self.arrival_time();
        self.deferred.push_back(Deferred { peer, conn, arrived, bytes: message.bytes.to_vec() });
        true
    }

    /// Safeguard for a driver that does not report that it has caught up.
    pub(super) fn backlog_timed_out(&mut self, number: u64) {
        if self.gap.is_some() && self.stats.gaps == number {
            self.backlog_read();
        }
    }

    /// Handles the end of the backlog: what is still silent now has been silent.
    pub(super) fn backlog_read(&mut self) {
        let Some(gap) = self.gap.as_mut() else { return };
        gap.evaluating = true;
        let (watchdogs, rest): (Vec<Timer>, Vec<Timer>) =
            std::mem::take(&mut gap.timers).into_iter().partition(|timer| matches!(timer, Timer::Peer(_)));
        // List updates first: a call that has almost no time left is sent as soon as the module sees it.
        self.events.make_contiguous().sort_by_key(|event| !matches!(event, Event::Members(_)));
        self.process_events();
        for timer in watchdogs.into_iter().chain(rest) {
            self.run_timer(timer);
            self.process_events();
        }
        // The previous gap is reported before the next one replaces it.
        self.report_gap();
        self.finished_gap = self.gap.take();
    }

    /// Reports a gap once all of its backlog is processed.
    fn report_gap(&mut self) {
        let Some(gap) = self.finished_gap.take() else { return };
        let withheld = self.stats.withheld - gap.withheld_before;
        self.notice(Notice::LoopGap { time: gap.resumed - gap.since, set_ups: gap.set_ups, withheld });
    }

    /// Begins some of the set-ups deferred by a gap.
    pub(super) fn begin_deferred(&mut self) {
        if self.gap.is_some() {
            return;
        }
        for _ in 0..SET_UPS_PER_TURN {
            let Some(next) = self.deferred.pop_front() else { return self.report_gap() };
            let Ok(message) = MessageRef::parse(&next.bytes) else { continue };
            match message.header.command {
                d::CMD_AA => self.set_up(next.peer, next.conn, next.arrived, &message),
                _ => self.session_terminated(next.conn, &message),
            }
            self.process_events();
        }
    }

    /// Marks queued events of a call that ended without an answer as closing it; otherwise the module would
    /// send the call again.
    pub(super) fn close_held_events(&mut self, id: u64) {
        if !self.events_are_held() {
            return;
        }
        for event in &mut self.events {
            if let Event::Ended { call, closed, .. } = event {
                *closed |= *call == CallId(id);
            }
        }
    }
}
