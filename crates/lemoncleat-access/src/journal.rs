//! The connection to the journal service, which sends the events of the server list. Reading resumes after
//! the last event whenever the connection is lost.

use std::net::SocketAddr;

use lemoncleat_core::Micros;
use lemoncleat_platform::{number_of_line, read_line, JournalLine};

use crate::interface::{ConnId, DialId, Output};
use crate::node::AccessNode;
use crate::notice::Notice;
use crate::timing::{
    JOURNAL_DIAL_TIMEOUT_US, JOURNAL_REDIAL_PAUSE_US, JOURNAL_SILENCE_TIMEOUT_US, MAX_JOURNAL_LINE_BYTES,
};

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Down,
    Dialling(DialId),
    Up(ConnId),
}

/// State of the connection to the journal service.
pub(crate) struct Journal {
    address: Option<SocketAddr>,
    state: State,
    /// Number of the last event that was applied.
    pos: u64,
    line: Vec<u8>,
    /// Number of an event that was received once and could not be parsed.
    unreadable: Option<u64>,
    last_line_at: Micros,
    /// Minimum time between the starts of two dials.
    pause: Micros,
    /// When the last dial was started.
    dialled_at: Micros,
    next_dial_at: Micros,
    /// Whether a line was read since the dial; a service that only accepts the connection does not count as
    /// up.
    received_line: bool,
}

impl Journal {
    pub(crate) fn new(address: Option<SocketAddr>, pos: u64) -> Self {
        Journal {
            address,
            state: State::Down,
            pos,
            line: Vec::new(),
            unreadable: None,
            last_line_at: 0,
            pause: JOURNAL_REDIAL_PAUSE_US.0,
            dialled_at: 0,
            next_dial_at: 0,
            received_line: false,
        }
    }

    pub(crate) fn is_dial(&self, dial: DialId) -> bool {
        self.state == State::Dialling(dial)
    }

    pub(crate) fn holds(&self, conn: ConnId) -> bool {
        self.state == State::Up(conn)
    }
}

impl AccessNode {
    pub(crate) fn dial_journal(&mut self) {
        let Some(address) = self.journal.address else { return };
        let dial = self.servers.next_dial();
        (self.journal.state, self.journal.dialled_at) = (State::Dialling(dial), self.now);
        self.out.push(Output::Dial(dial, address, JOURNAL_DIAL_TIMEOUT_US));
    }

    pub(crate) fn journal_dialled(&mut self, conn: ConnId) {
        let journal = &mut self.journal;
        journal.state = State::Up(conn);
        journal.line.clear();
        (journal.last_line_at, journal.received_line) = (self.now, false);
        let ask = format!("tail {}\n", journal.pos);
        self.send(conn, ask.into_bytes());
    }

    /// Closes the connection or cancels the dial, and schedules the next dial. Partial data is discarded:
    /// reading resumes after the last complete event.
    pub(crate) fn journal_down(&mut self, why: &'static str) {
        let journal = &mut self.journal;
        let was_up = journal.received_line;
        match std::mem::replace(&mut journal.state, State::Down) {
            State::Up(conn) => self.out.push(Output::Close(conn)),
            State::Dialling(dial) => self.out.push(Output::StopDial(dial)),
            State::Down => {}
        }
        let now = self.now;
        if was_up && now - self.journal.dialled_at >= JOURNAL_REDIAL_PAUSE_US.1 {
            // Only a connection that lasted resets the pause. A line that could be read proves nothing, since
            // the next one may break the connection again.
            self.journal.pause = JOURNAL_REDIAL_PAUSE_US.0;
        }
        // A dial that ran into its time limit already includes the pause; but even the first dial of a series
        // must not follow at once.
        let earliest_dial = self.journal.dialled_at + self.jittered(self.journal.pause);
        let journal = &mut self.journal;
        journal.line = Vec::new();
        journal.received_line = false;
        journal.next_dial_at = earliest_dial.max(now + JOURNAL_REDIAL_PAUSE_US.0);
        journal.pause = (2 * journal.pause).min(JOURNAL_REDIAL_PAUSE_US.1);
        if was_up {
            self.notice(Notice::JournalDown(why));
        }
    }

    /// Switches to the new address of the service at once; reading resumes after the same event number.
    pub(crate) fn move_journal(&mut self, address: SocketAddr) {
        if self.journal.address == Some(address) {
            return;
        }
        self.journal_down("its address changed");
        self.journal.address = Some(address);
        self.journal.pause = JOURNAL_REDIAL_PAUSE_US.0;
        self.dial_journal();
    }

    pub(crate) fn journal_bytes(&mut self, mut bytes: &[u8]) {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            let (piece, rest) = bytes.split_at(end);
            bytes = &rest[1..];
            let mut line = std::mem::take(&mut self.journal.line);
            line.extend_from_slice(piece);
            match std::str::from_utf8(&line).map_err(|error| error.to_string()).and_then(read_line) {
                Ok(line) => {
                    if !self.journal_line(line) {
                        return;
                    }
                }
                Err(why) => {
                    self.notice(Notice::JournalLine(why));
                    if !self.may_skip_line(&line) {
                        return self.journal_down("a line cannot be parsed");
                    }
                }
            }
        }
        self.journal.line.extend_from_slice(bytes);
        if self.journal.line.is_empty() {
            self.end_catch_up();
        }
        if self.journal.line.len() > MAX_JOURNAL_LINE_BYTES {
            self.journal_down("a line exceeds the maximum length");
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

    /// Applies a line. Returns `false` if the connection was closed.
    fn journal_line(&mut self, line: JournalLine) -> bool {
        let journal = &mut self.journal;
        journal.last_line_at = self.now;
        let first = !std::mem::replace(&mut journal.received_line, true);
        let (address, pos) = (journal.address, journal.pos);
        if let (true, Some(address)) = (first, address) {
            self.notice(Notice::JournalUp(address, pos));
        }
        match line {
            // A complete list includes the changes of all earlier events.
            JournalLine::Event(number, news)
                if number > pos && (number - pos == 1 || news.as_ref().is_some_and(|news| news.complete)) =>
            {
                self.journal.pos = number;
                if let Some(news) = news {
                    self.server_list_received(news);
                }
                true
            }
            // Already applied.
            JournalLine::Event(number, _) if number <= pos => true,
            JournalLine::Last(number) if number <= pos => true,
            JournalLine::Event(..) | JournalLine::Last(_) => {
                self.journal_down("events are missing");
                false
            }
        }
    }

    pub(crate) fn maintain_journal(&mut self) {
        match self.journal.state {
            State::Up(_) if self.now - self.journal.last_line_at > JOURNAL_SILENCE_TIMEOUT_US => {
                self.journal_down("nothing received in time");
                self.dial_journal();
            }
            State::Down if self.now >= self.journal.next_dial_at => self.dial_journal(),
            _ => {}
        }
    }
}
