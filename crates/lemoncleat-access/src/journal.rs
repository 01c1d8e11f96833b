//! The journal service: events of the list of servers, resumed after every break.

use std::net::SocketAddr;

use lemoncleat_core::Micros;
use lemoncleat_platform::{number_of_line, read_line, JournalLine};

use crate::interface::{ConnId, DialId, Output};
use crate::node::AccessNode;
use crate::notice::Notice;
use crate::timing::{JOURNAL_DIAL, JOURNAL_LINE, JOURNAL_REDIAL, JOURNAL_SILENT};

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Down,
    Dialling(DialId),
    Up(ConnId),
}

/// Where the node stands with the journal service.
pub(crate) struct Journal {
    address: Option<SocketAddr>,
    state: State,
    /// The number of the last event taken in.
    pos: u64,
    line: Vec<u8>,
    /// The number of an event that came once and could not be read.
    unreadable: Option<u64>,
    heard_at: Micros,
    /// Between the beginnings of two dials, at least.
    pause: Micros,
    /// When the last dial began.
    dialled_at: Micros,
    dial_at: Micros,
    /// Whether something was read since the dial; a service that only accepts is not up.
    heard: bool,
}

impl Journal {
    pub(crate) fn new(address: Option<SocketAddr>, pos: u64) -> Self {
        Journal {
            address,
            state: State::Down,
            pos,
            line: Vec::new(),
            unreadable: None,
            heard_at: 0,
            pause: JOURNAL_REDIAL.0,
            dialled_at: 0,
            dial_at: 0,
            heard: false,
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
        self.out.push(Output::Dial(dial, address, JOURNAL_DIAL));
    }

    pub(crate) fn journal_dialled(&mut self, conn: ConnId) {
        let journal = &mut self.journal;
        journal.state = State::Up(conn);
        journal.line.clear();
        (journal.heard_at, journal.heard) = (self.now, false);
        let ask = format!("tail {}\n", journal.pos);
        self.send(conn, ask.into_bytes());
    }

    /// What was begun is dropped, and the service is asked again from the last whole event on.
    pub(crate) fn journal_down(&mut self, why: &'static str) {
        let journal = &mut self.journal;
        let told = journal.heard;
        match std::mem::replace(&mut journal.state, State::Down) {
            State::Up(conn) => self.out.push(Output::Close(conn)),
            State::Dialling(dial) => self.out.push(Output::StopDial(dial)),
            State::Down => {}
        }
        let now = self.now;
        if told && now - self.journal.dialled_at >= JOURNAL_REDIAL.1 {
            // One that lasted was sound. Only reading a line proves nothing: the next may spoil it again.
            self.journal.pause = JOURNAL_REDIAL.0;
        }
        // A dial that was waited for has been the pause already; the first of a series may not come at once
        // either.
        let begins = self.journal.dialled_at + self.spread(self.journal.pause);
        let journal = &mut self.journal;
        journal.line = Vec::new();
        journal.heard = false;
        journal.dial_at = begins.max(now + JOURNAL_REDIAL.0);
        journal.pause = (2 * journal.pause).min(JOURNAL_REDIAL.1);
        if told {
            self.notice(Notice::JournalDown(why));
        }
    }

    /// The service moved: on there at once, from the same number on.
    pub(crate) fn journal_at(&mut self, address: SocketAddr) {
        if self.journal.address == Some(address) {
            return;
        }
        self.journal_down("it moved");
        self.journal.address = Some(address);
        self.journal.pause = JOURNAL_REDIAL.0;
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
                    if !self.passes_over(&line) {
                        return self.journal_down("a line can't be read");
                    }
                }
            }
        }
        self.journal.line.extend_from_slice(bytes);
        if self.journal.line.len() > JOURNAL_LINE {
            self.journal_down("a line has no end");
        }
    }

    /// Whether to go on behind a line that can't be read. One that was spoilt on its way is sound when it is
    /// asked for again; where the same event can't be read a second time, the service has it so, and those
    /// behind it count.
    fn passes_over(&mut self, line: &[u8]) -> bool {
        let next = self.journal.pos.saturating_add(1);
        let number = std::str::from_utf8(line).ok().and_then(number_of_line).filter(|number| *number == next);
        let again = number.is_some() && self.journal.unreadable == number;
        self.journal.unreadable = number;
        if again {
            self.journal.pos = next;
        }
        again
    }

    /// Takes a line in; false when the connection is of no more use.
    fn journal_line(&mut self, line: JournalLine) -> bool {
        let journal = &mut self.journal;
        journal.heard_at = self.now;
        let first = !std::mem::replace(&mut journal.heard, true);
        let (address, pos) = (journal.address, journal.pos);
        if let (true, Some(address)) = (first, address) {
            self.notice(Notice::JournalUp(address, pos));
        }
        match line {
            // A complete list holds whatever the events before it told.
            JournalLine::Event(number, news)
                if number > pos && (number - pos == 1 || news.as_ref().is_some_and(|news| news.complete)) =>
            {
                self.journal.pos = number;
                if let Some(news) = news {
                    self.listed(news);
                }
                true
            }
            // It was told before.
            JournalLine::Event(number, _) if number <= pos => true,
            JournalLine::Last(number) if number <= pos => true,
            JournalLine::Event(..) | JournalLine::Last(_) => {
                self.journal_down("it left events out");
                false
            }
        }
    }

    pub(crate) fn sweep_journal(&mut self) {
        match self.journal.state {
            State::Up(_) if self.now - self.journal.heard_at > JOURNAL_SILENT => {
                self.journal_down("it fell silent");
                self.dial_journal();
            }
            State::Down if self.now >= self.journal.dial_at => self.dial_journal(),
            _ => {}
        }
    }
}
