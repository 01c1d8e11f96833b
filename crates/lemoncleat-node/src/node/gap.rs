//! What a node does after a gap in its turns: a paused process, a host that ran something else.
//!
//! All that came meanwhile is met at once, in an order that says nothing of the order in which it happened. So
//! what is overdue toward callers is done first; then the whole backlog is read, and answers and releases take
//! effect as they are read; then watchdogs and time-outs are judged, with the module told everything at one
//! moment, as it is on its bench, the list's news first; and set-ups, old and new, come last. A request that was read counts as come
//! when the gap began, the most careful moment.

use super::*;

/// Set-ups begun in one turn after a gap: as many as keep the clock that they go by fresh.
const SET_UPS: usize = 8;
/// A driver that does not say that it has caught up is taken to have, after this.
const LONGEST: Micros = 1_000_000;

/// A gap whose backlog is not read yet.
#[derive(Debug, Default)]
pub(super) struct Gap {
    /// The loop had its last turn then.
    since: Micros,
    /// And the next one then.
    woke: Micros,
    /// Timers that must not be judged before the backlog is read, as they fell due.
    timers: Vec<Timer>,
    /// Timers are judged now, with the module told.
    judged: bool,
    /// Set-ups met in the backlog.
    set_ups: usize,
    /// Answers withheld before it.
    before: u64,
}

/// A client's request that waits for its turn after a gap.
#[derive(Debug)]
pub(super) struct Deferred {
    peer: PeerId,
    conn: ConnId,
    arrived: Micros,
    bytes: Vec<u8>,
}

impl Timer {
    /// Whether a timer that fell due in a gap waits until the backlog is read: what is in it may be the very
    /// thing that was waited for, or news without which nothing new may be sent.
    fn waits(self) -> bool {
        !matches!(self, Timer::Deadline(_) | Timer::IncomingDeadline(..) | Timer::CaughtUp(_))
    }
}

impl Node {
    /// When what is read now arrived, at the earliest.
    pub(super) fn arrived(&self) -> Micros {
        self.gap.as_ref().map_or(self.now, |gap| gap.since)
    }

    /// Whether the module's events wait until the backlog is read.
    pub(super) fn holds_events(&self) -> bool {
        self.gap.as_ref().is_some_and(|gap| !gap.judged)
    }

    /// The loop had no turn from `since` until now. In a further gap before the backlog of one is read, the
    /// first one's beginning counts.
    pub(super) fn away(&mut self, since: Micros) {
        let since = since.min(self.now);
        for index in 0..self.peers.len() {
            self.tell_peer(PeerId(index as u32), PeerInput::Away(self.now - since));
        }
        if self.gap.is_none() {
            self.stats.gaps += 1;
            self.gap = Some(Gap { since, before: self.stats.withheld, ..Gap::default() });
            self.wheel.set(self.now + LONGEST, Timer::CaughtUp(self.stats.gaps));
        }
        if let Some(gap) = &mut self.gap {
            gap.woke = self.now;
        }
        // The deadlines that passed are the most overdue of all; `handle` runs them before anything is read.
    }

    /// Keeps a timer for later if it must not be judged yet.
    pub(super) fn holds(&mut self, timer: Timer) -> bool {
        match &mut self.gap {
            Some(gap) if timer.waits() && !gap.judged => {
                gap.timers.push(timer);
                true
            }
            _ => false,
        }
    }

    /// Takes a client's request for later, if it begins something new while older things are not settled. A
    /// release of a call whose set-up waits stays behind it.
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
        let arrived = self.arrived();
        self.deferred.push_back(Deferred { peer, conn, arrived, bytes: message.bytes.to_vec() });
        true
    }

    /// The guard of a driver that does not say that it has caught up.
    pub(super) fn caught_up_late(&mut self, number: u64) {
        if self.gap.is_some() && self.stats.gaps == number {
            self.caught_up();
        }
    }

    /// The backlog is read: what is still silent was silent.
    pub(super) fn caught_up(&mut self) {
        let Some(gap) = self.gap.as_mut() else { return };
        gap.judged = true;
        let (watchdogs, rest): (Vec<Timer>, Vec<Timer>) =
            std::mem::take(&mut gap.timers).into_iter().partition(|timer| matches!(timer, Timer::Peer(_)));
        // News of the list first: a call whose time is all but over is sent at the module's first look.
        self.events.make_contiguous().sort_by_key(|event| !matches!(event, Event::Members(_)));
        self.settle();
        for timer in watchdogs.into_iter().chain(rest) {
            self.run_timer(timer);
            self.settle();
        }
        // What was the last gap's summary is told before the next one's begins.
        self.tell_gap();
        self.over = self.gap.take();
    }

    /// Tells of a gap once all of it is dealt with.
    fn tell_gap(&mut self) {
        let Some(gap) = self.over.take() else { return };
        let withheld = self.stats.withheld - gap.before;
        self.notice(Notice::Away { time: gap.woke - gap.since, set_ups: gap.set_ups, withheld });
    }

    /// Begins some of the set-ups that waited for the end of a gap.
    pub(super) fn begin_deferred(&mut self) {
        if self.gap.is_some() {
            return;
        }
        for _ in 0..SET_UPS {
            let Some(next) = self.deferred.pop_front() else { return self.tell_gap() };
            let Ok(message) = MessageRef::parse(&next.bytes) else { continue };
            match message.header.command {
                d::CMD_AA => self.set_up(next.peer, next.conn, next.arrived, &message),
                _ => self.session_terminated(next.conn, &message),
            }
            self.settle();
        }
    }

    /// A call is over without an answer: events of it that the module has not heard yet close it there too, or
    /// the module would send it on.
    pub(super) fn close_held_events(&mut self, id: u64) {
        if !self.holds_events() {
            return;
        }
        for event in &mut self.events {
            if let Event::Ended { call, closed, .. } = event {
                *closed |= *call == CallId(id);
            }
        }
    }
}
