//! The connections to the journal service, which sends the events of the server list. Reading resumes after
//! the last event whenever a connection is lost.
//!
//! A connection that is silent may be dead, or its service slow: the events are requested again on another one,
//! and the first that answers is kept.

use std::net::SocketAddr;

use lemoncleat_core::Micros;
use lemoncleat_platform::{number_of_line, read_line, JournalLine};

use crate::interface::{ConnId, DialId, Output};
use crate::node::AccessNode;
use crate::notice::Notice;
use crate::timing::{
    JOURNAL_DIAL_TIMEOUT_US, JOURNAL_REDIAL_PAUSE_US, JOURNAL_SILENCE_TIMEOUT_US, MAX_JOURNAL_CONNS,
    MAX_JOURNAL_LINE_BYTES,
};

/// A connection on which the events were requested.
struct Watch {
    conn: ConnId,
    /// The beginning of a line that is still incomplete.
    line: Vec<u8>,
    /// When it last told all that there was, or when the events were requested on it.
    waiting_since: Micros,
    /// Whether it told the number of an event that it has not sent yet.
    is_behind: bool,
}

impl Watch {
    fn is_silent(&self, now: Micros) -> bool {
        now - self.waiting_since > JOURNAL_SILENCE_TIMEOUT_US
    }
}

/// State of the connections to the journal service.
pub(crate) struct Journal {
    address: Option<SocketAddr>,
    /// The dial in progress.
    dial: Option<DialId>,
    /// Oldest first. Once one has answered it is the only one.
    watches: Vec<Watch>,
    /// Number of the last event that was applied.
    pos: u64,
    /// Number of an event that was received once and could not be parsed.
    unreadable: Option<u64>,
    /// Minimum time between the starts of two dials.
    pause: Micros,
    /// When the last dial was started.
    dialled_at: Micros,
    next_dial_at: Micros,
    /// Whether a line was read since the last request; a service that only accepts connections does not count as
    /// up.
    is_up: bool,
}

impl Journal {
    pub(crate) fn new(address: Option<SocketAddr>, pos: u64) -> Self {
        Journal {
            address,
            dial: None,
            watches: Vec::new(),
            pos,
            unreadable: None,
            pause: JOURNAL_REDIAL_PAUSE_US.0,
            dialled_at: 0,
            next_dial_at: 0,
            is_up: false,
        }
    }

    pub(crate) fn is_dial(&self, dial: DialId) -> bool {
        self.dial == Some(dial)
    }

    pub(crate) fn holds(&self, conn: ConnId) -> bool {
        self.watches.iter().any(|watch| watch.conn == conn)
    }

    fn watch(&mut self, conn: ConnId) -> Option<&mut Watch> {
        self.watches.iter_mut().find(|watch| watch.conn == conn)
    }

    /// Returns whether the events are to be requested on one more connection: none of the open ones tells all
    /// that there is, and there is room, or the oldest has had its time.
    fn needs_request(&self, now: Micros) -> bool {
        let unhelpful = self.watches.iter().all(|watch| watch.is_behind || watch.is_silent(now));
        let oldest = self.watches.first().map_or(now, |watch| watch.waiting_since);
        let has_room = self.watches.len() < MAX_JOURNAL_CONNS
            || now - oldest > MAX_JOURNAL_CONNS as Micros * JOURNAL_SILENCE_TIMEOUT_US;
        self.dial.is_none() && unhelpful && has_room && now >= self.next_dial_at
    }
}

impl AccessNode {
    pub(crate) fn dial_journal(&mut self) {
        let Some(address) = self.journal.address else { return };
        if self.journal.watches.len() >= MAX_JOURNAL_CONNS {
            let oldest = self.journal.watches.remove(0);
            self.out.push(Output::Close(oldest.conn));
        }
        let dial = self.servers.next_dial();
        (self.journal.dial, self.journal.dialled_at) = (Some(dial), self.now);
        self.out.push(Output::Dial(dial, address, JOURNAL_DIAL_TIMEOUT_US));
    }

    pub(crate) fn journal_dialled(&mut self, conn: ConnId) {
        let journal = &mut self.journal;
        journal.dial = None;
        journal.watches.push(Watch { conn, line: Vec::new(), waiting_since: self.now, is_behind: false });
        let ask = format!("tail {}\n", journal.pos);
        self.send(conn, ask.into_bytes());
    }

    pub(crate) fn journal_not_dialled(&mut self, why: &'static str) {
        self.journal.dial = None;
        self.schedule_journal_dial();
        self.journal_unheard(why);
    }

    /// Handles the loss of a connection, or closes it. Partial data is discarded: reading resumes after the last
    /// complete event.
    pub(crate) fn drop_journal_conn(&mut self, conn: ConnId, why: &'static str) {
        self.journal.watches.retain(|watch| watch.conn != conn);
        self.out.push(Output::Close(conn));
        self.schedule_journal_dial();
        self.journal_unheard(why);
    }

    /// Schedules the next dial after a failure.
    fn schedule_journal_dial(&mut self) {
        let now = self.now;
        if self.journal.is_up && now - self.journal.dialled_at >= JOURNAL_REDIAL_PAUSE_US.1 {
            // Only a connection that lasted resets the pause. A line that could be read proves nothing, since
            // the next one may break the connection again.
            self.journal.pause = JOURNAL_REDIAL_PAUSE_US.0;
        }
        // A dial that ran into its time limit already includes the pause; but even the first dial of a series
        // must not follow at once.
        let earliest_dial = self.journal.dialled_at + self.jittered(self.journal.pause);
        let journal = &mut self.journal;
        journal.next_dial_at = earliest_dial.max(now + JOURNAL_REDIAL_PAUSE_US.0);
        journal.pause = (2 * journal.pause).min(JOURNAL_REDIAL_PAUSE_US.1);
    }

    fn journal_unheard(&mut self, why: &'static str) {
        if std::mem::replace(&mut self.journal.is_up, false) {
            self.notice(Notice::JournalDown(why));
        }
    }

    /// Closes all connections but the given one, and cancels a dial.
    fn close_other_journal_conns(&mut self, except: Option<ConnId>) {
        let journal = &mut self.journal;
        let others = journal.watches.extract_if(.., |watch| Some(watch.conn) != except);
        self.out.extend(others.map(|watch| Output::Close(watch.conn)));
        self.out.extend(journal.dial.take().map(Output::StopDial));
    }

    /// Switches to the new address of the service at once; reading resumes after the same event number.
    pub(crate) fn move_journal(&mut self, address: SocketAddr) {
        if self.journal.address == Some(address) {
            return;
        }
        self.close_other_journal_conns(None);
        self.journal_unheard("its address changed");
        self.journal.address = Some(address);
        self.journal.pause = JOURNAL_REDIAL_PAUSE_US.0;
        self.dial_journal();
    }

    pub(crate) fn journal_bytes(&mut self, conn: ConnId, mut bytes: &[u8]) {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            let (piece, rest) = bytes.split_at(end);
            bytes = &rest[1..];
            let Some(watch) = self.journal.watch(conn) else { return };
            let mut line = std::mem::take(&mut watch.line);
            line.extend_from_slice(piece);
            match std::str::from_utf8(&line).map_err(|error| error.to_string()).and_then(read_line) {
                Ok(line) => self.journal_line(conn, line),
                Err(why) => {
                    self.notice(Notice::JournalLine(why));
                    if !self.may_skip_line(&line) {
                        return self.drop_journal_conn(conn, "a line cannot be parsed");
                    }
                }
            }
        }
        let Some(watch) = self.journal.watch(conn) else { return };
        watch.line.extend_from_slice(bytes);
        let length = watch.line.len();
        if length == 0 {
            self.end_catch_up();
        }
        if length > MAX_JOURNAL_LINE_BYTES {
            self.drop_journal_conn(conn, "a line exceeds the maximum length");
        }
    }

    /// Returns whether to continue after a line that cannot be parsed. A line corrupted in transit is intact
    /// when it is requested again. If the same event cannot be parsed a second time, the service itself holds
    /// it in this form, and the events after it must still be read.
    fn may_skip_line(&mut self, line: &[u8]) -> bool {
        let next = self.journal.pos.saturating_add(1);
        let number = std::str::from_utf8(line).ok().and_then(number_of_line).filter(|number| *number == next);
        let seen_twice = number.is_some() && self.journal.unreadable == number;
        self.journal.unreadable = number;
        if seen_twice {
            self.journal.pos = next;
        }
        seen_twice
    }

    /// Applies a line.
    fn journal_line(&mut self, conn: ConnId, line: JournalLine) {
        let pos = self.journal.pos;
        match line {
            // A complete list includes the changes of all earlier events.
            JournalLine::Event(number, news)
                if number > pos && (number - pos == 1 || news.as_ref().is_some_and(|news| news.complete)) =>
            {
                self.journal_heard(conn);
                self.journal.pos = number;
                if let Some(news) = news {
                    self.server_list_received(news);
                }
            }
            // Already applied.
            JournalLine::Event(number, _) if number <= pos => self.journal_heard(conn),
            JournalLine::Last(number) if number <= pos => self.journal_heard(conn),
            // The events come in order: those in between are missing.
            JournalLine::Event(..) => self.drop_journal_conn(conn, "events are missing"),
            JournalLine::Last(_) => self.journal_is_behind(conn),
        }
    }

    /// Handles a connection that has told all that there is: it is the only one that is needed.
    fn journal_heard(&mut self, conn: ConnId) {
        let now = self.now;
        if let Some(watch) = self.journal.watch(conn) {
            (watch.waiting_since, watch.is_behind) = (now, false);
        }
        self.close_other_journal_conns(Some(conn));
        let (address, pos) = (self.journal.address, self.journal.pos);
        if let (false, Some(address)) = (std::mem::replace(&mut self.journal.is_up, true), address) {
            self.notice(Notice::JournalUp(address, pos));
        }
    }

    /// Handles a connection that told the number of an event that it has not sent: the event may be missing or
    /// late. It is requested on another connection, and still awaited on this one.
    fn journal_is_behind(&mut self, conn: ConnId) {
        let Some(watch) = self.journal.watch(conn) else { return };
        if !std::mem::replace(&mut watch.is_behind, true) {
            self.schedule_journal_dial();
            self.journal_unheard("events are missing");
        }
    }

    pub(crate) fn maintain_journal(&mut self) {
        if self.journal.needs_request(self.now) {
            self.journal_unheard("nothing received in time");
            self.dial_journal();
        }
    }
}
