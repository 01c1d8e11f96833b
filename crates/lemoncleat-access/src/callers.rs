//! Callers' connections: who may hold one, what comes on it, when it is closed.

use std::collections::{BTreeMap, BTreeSet};

use lemoncleat_core::Micros;
use lemoncleat_sip::{response, Malformed, Message, Method, Reader, Start};

use crate::interface::{ConnId, Output};
use crate::node::AccessNode;
use crate::notice::Notice;
use crate::timing::{BAD_MESSAGES, CROSSED, HOLDING_CALLER, IDLE_CALLER, SILENT_CALLER};

/// Descriptors that are neither callers' nor servers': listener, journal service, notes, files, and connections
/// that are being closed gently.
pub(crate) const RESERVED: usize = 56;

/// Why a connection is closed that may bring anything but the rest of a message.
const UNFINISHED: &str = "a message without an end";
/// Why one is closed that brings nothing any more.
const IDLE: &str = "idle";
/// Why one is closed whatever it may bring.
const CONFLICT: &str = "two set-ups under one id";

/// One connection.
pub(crate) struct Caller {
    reader: Reader,
    accepted: Micros,
    /// When it last brought something of use.
    pub(crate) useful: Option<Micros>,
    /// When it last brought what only the caller of a call that stands could know: whoever sent that reads releases.
    proven: Option<Micros>,
    /// Since when a message lies there unfinished.
    partial: Option<Micros>,
    /// Set-ups without an answer that came on it.
    pub(crate) open: u32,
    /// When an answer by which a call stands was written to it last.
    answered: Option<Micros>,
    bad: u32,
    /// Since when two of its set-ups bear one id: an answer to the second could be taken for the first one's.
    conflict: Option<Micros>,
    /// Its caller has ended its half of it.
    pub(crate) leaving: bool,
    /// It was to be closed and something waited there, which has not been read since.
    spared: bool,
}

/// All of them.
pub(crate) struct Callers {
    pub(crate) conns: BTreeMap<ConnId, Caller>,
    /// Those that are closed unless something waits there to be read, and why: the driver says so before the
    /// next [`Input::Timeout`](crate::Input::Timeout), and until then nothing of them is given up.
    closing: BTreeMap<ConnId, (Caller, &'static str)>,
    most: usize,
}

impl Callers {
    pub(crate) fn new(sockets: usize) -> Self {
        Callers {
            conns: BTreeMap::new(),
            closing: BTreeMap::new(),
            most: sockets.saturating_sub(RESERVED) * 6 / 10,
        }
    }

    pub(crate) fn holds(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Whether a release may be sent there: its caller has not ended its half.
    pub(crate) fn takes_releases(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|caller| !caller.leaving)
    }

    /// Whether the caller has ended its half of it.
    pub(crate) fn is_leaving(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|caller| caller.leaving)
    }

    /// Whom to close for room: of those without an open set-up one whose caller is leaving, then one that has
    /// brought nothing yet, the oldest first, then one that nobody has proven, then the one that has been
    /// quiet longest. Last of all come those of which half a message was read, and those known to have
    /// something to be read.
    fn least(&self) -> Option<ConnId> {
        let free = self.conns.iter().filter(|(_, caller)| caller.open == 0);
        let rank = |caller: &Caller| {
            let owed = (caller.spared, caller.partial.is_some() && !caller.leaving);
            let since = caller.useful.unwrap_or(caller.accepted);
            (owed, !caller.leaving, caller.useful.is_some(), caller.proven.is_some(), since)
        };
        free.min_by_key(|(_, caller)| rank(caller)).map(|(conn, _)| *conn)
    }

    /// The surest connection for a release, other than those: proven last, else of use last.
    pub(crate) fn surest(&self, but: &[ConnId]) -> Option<ConnId> {
        let sound = self
            .conns
            .iter()
            .filter(|(conn, caller)| caller.useful.is_some() && !caller.leaving && !but.contains(conn));
        sound.max_by_key(|(_, caller)| (caller.proven, caller.useful)).map(|(conn, _)| *conn)
    }
}

impl AccessNode {
    pub(crate) fn caller_accepted(&mut self, conn: ConnId) {
        // One more than is needed where some stayed that were to be closed: the table shrinks to its size
        // again.
        let over = (self.callers.conns.len() + 1).saturating_sub(self.callers.most).min(2);
        for still in 0..over {
            match self.callers.least() {
                Some(least) => self.close_if_quiet(least, "room was needed"),
                None if still > 0 => break,
                None => {
                    self.notice(Notice::CallerClosed("there is no room"));
                    return self.out.push(Output::Close(conn));
                }
            }
        }
        self.keep_caller(conn);
    }

    /// A connection that was to be closed stays as it was: something waits there to be read.
    pub(crate) fn caller_stays(&mut self, conn: ConnId) {
        match self.callers.closing.remove(&conn) {
            Some((caller, _)) => {
                self.callers.conns.insert(conn, Caller { spared: true, ..caller });
            }
            None => self.keep_caller(conn),
        }
    }

    /// Those that were to be closed and did not stay are closed.
    pub(crate) fn callers_were_closed(&mut self) {
        for (conn, (_, why)) in std::mem::take(&mut self.callers.closing) {
            self.notice(Notice::CallerClosed(why));
            self.releases_unsent(conn);
        }
    }

    /// Takes a connection into the table, as one that has brought nothing yet.
    pub(crate) fn keep_caller(&mut self, conn: ConnId) {
        let caller = Caller {
            reader: Reader::new(),
            accepted: self.now,
            useful: None,
            proven: None,
            partial: None,
            open: 0,
            answered: None,
            bad: 0,
            conflict: None,
            leaving: false,
            spared: false,
        };
        self.callers.conns.insert(conn, caller);
    }

    pub(crate) fn caller_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            caller.reader.push(bytes);
            caller.spared = false;
        }
        while let Some(caller) = self.callers.conns.get_mut(&conn) {
            match caller.reader.next_message() {
                Ok(Some(message)) => {
                    caller.partial = None;
                    self.caller_message(conn, message);
                }
                Ok(None) => {
                    caller.partial = caller.reader.is_partial().then(|| caller.partial.unwrap_or(self.now));
                    return;
                }
                Err(malformed) => return self.caller_malformed(conn, &malformed),
            }
        }
    }

    /// What can't be read is answered as far as there is something to answer to, and the connection closed.
    fn caller_malformed(&mut self, conn: ConnId, malformed: &Malformed) {
        self.stats.bad_callers += 1;
        let code = if malformed.fault == lemoncleat_sip::Fault::TooLong { 413 } else { 400 };
        let asked =
            malformed.head.as_deref().filter(|head| !matches!(head.method(), None | Some(Method::Ack)));
        let answer = match asked {
            Some(head) if !self.is_open(head) => response(code, malformed.fault.as_str(), head).finish(b""),
            Some(_) => Vec::new(),
            None => lemoncleat_sip::refusal(code, malformed.fault.as_str()).finish(b""),
        };
        if !answer.is_empty() {
            self.send(conn, answer);
        }
        self.hang_up(conn, malformed.fault.as_str());
    }

    /// Whether a message bears the id of a call that is held here: an answer to it could be taken for the call's.
    fn is_open(&self, message: &Message) -> bool {
        crate::invite::id(message)
            .is_some_and(|(_, number)| self.calls.contains_key(&lemoncleat::CallId(number)))
    }

    fn caller_message(&mut self, conn: ConnId, message: Message) {
        match message.start() {
            Start::Request { method, .. } => match method {
                Method::Invite => self.invite(conn, message),
                Method::Ack => self.caller_acked(conn, &message),
                Method::Cancel => self.caller_cancels(conn, &message),
                Method::Bye => self.caller_releases(conn, &message),
                Method::Options => {
                    let (code, phrase) =
                        if self.stopping.is_some() { (503, "Service Unavailable") } else { (200, "OK") };
                    self.caller_useful(conn);
                    self.send(conn, response(code, phrase, &message).finish(b""));
                }
                Method::Notify => self.unusable(conn, &message, 489, "Bad Event"),
                Method::Other(_) => self.unusable(conn, &message, 501, "Not Implemented"),
            },
            Start::Response { .. } => self.release_heard(conn, &message),
        }
    }

    /// Refuses a message that is no use, and closes a connection that brings many of them.
    pub(crate) fn unusable(&mut self, conn: ConnId, message: &Message, code: u16, phrase: &str) {
        self.stats.bad_callers += 1;
        self.send(conn, response(code, phrase, message).finish(b""));
        let Some(caller) = self.callers.conns.get_mut(&conn) else { return };
        caller.bad += 1;
        if caller.bad >= BAD_MESSAGES && caller.open == 0 {
            self.hang_up(conn, "too many messages that are no use");
        }
    }

    /// A connection brought a second set-up under the id of one of its own. Nothing can be answered to it
    /// that would not be taken for the first one's answer, so its refusal is the end of the connection: once
    /// nothing is open there, so that the first is not disturbed, but within its time.
    pub(crate) fn caller_conflict(&mut self, conn: ConnId) {
        self.stats.bad_callers += 1;
        let now = self.now;
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            caller.conflict.get_or_insert(now);
        }
    }

    pub(crate) fn caller_useful(&mut self, conn: ConnId) {
        let now = self.now;
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            (caller.useful, caller.bad) = (Some(now), 0);
            if !caller.leaving {
                self.send_releases(conn);
            }
        }
    }

    /// A call stands by what was just written to a connection.
    pub(crate) fn caller_answered(&mut self, conn: ConnId) {
        let now = self.now;
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            caller.answered = Some(now);
        }
    }

    /// A connection brought what only the caller of a call that stands could know.
    pub(crate) fn caller_proven(&mut self, conn: ConnId) {
        let now = self.now;
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            caller.proven = Some(now);
        }
    }

    /// A caller has ended its half of a connection: the set-ups open on it are given up, and none is begun
    /// that comes on it from now on.
    pub(crate) fn caller_leaving(&mut self, conn: ConnId) {
        match self.callers.conns.get_mut(&conn) {
            Some(caller) if !caller.leaving => caller.leaving = true,
            _ => return,
        }
        self.give_up_open(conn);
        self.releases_unsent(conn);
    }

    /// Gives the set-ups open on a connection up, and refuses them there: its other side may still read.
    fn give_up_open(&mut self, conn: ConnId) {
        for id in self.open_on(conn) {
            let Some(call) = self.calls.get(&id) else { continue };
            let refused = response(480, "Temporarily Unavailable", &call.request).finish(b"");
            self.caller_gone(id);
            self.send(conn, refused);
        }
    }

    fn open_on(&self, conn: ConnId) -> Vec<lemoncleat::CallId> {
        self.calls.iter().filter(|(_, call)| call.conn == conn).map(|(id, _)| *id).collect()
    }

    /// A connection that its caller closed: the set-ups open on it are given up.
    pub(crate) fn caller_closed(&mut self, conn: ConnId) {
        let Some(caller) = self.callers.conns.remove(&conn) else { return };
        for id in self.open_on(conn) {
            self.caller_gone(id);
        }
        self.releases_unsent(conn);
        if caller.answered.is_some_and(|at| self.now - at <= CROSSED) {
            self.release_unread(conn);
        }
    }

    /// Closes a connection on which no set-up is open, unless something waits there to be read.
    fn close_if_quiet(&mut self, conn: ConnId, why: &'static str) {
        if let Some(caller) = self.callers.conns.remove(&conn) {
            self.callers.closing.insert(conn, (caller, why));
            self.out.push(Output::CloseIfQuiet(conn));
        }
    }

    /// Closes a connection that can't be trusted; the set-ups open on it are refused first.
    fn hang_up(&mut self, conn: ConnId, why: &'static str) {
        self.give_up_open(conn);
        if self.callers.conns.remove(&conn).is_some() {
            self.out.push(Output::HangUp(conn));
            self.notice(Notice::CallerClosed(why));
            self.releases_unsent(conn);
        }
    }

    pub(crate) fn sweep_callers(&mut self) {
        let now = self.now;
        let mut close = Vec::new();
        for (&conn, caller) in &self.callers.conns {
            let conflict = caller.conflict.is_some_and(|at| caller.open == 0 || now - at > SILENT_CALLER);
            if conflict {
                close.push((conn, CONFLICT));
            } else if caller.open > 0 {
                continue;
            } else if let Some(since) = caller.partial {
                if now - since > SILENT_CALLER {
                    close.push((conn, UNFINISHED));
                }
            } else if caller.useful.is_none() && now - caller.accepted > SILENT_CALLER {
                close.push((conn, "nothing of use came"));
            } else if caller.useful.is_some_and(|at| now - at > IDLE_CALLER) {
                close.push((conn, IDLE));
            }
        }
        // Where a call stands that was acknowledged, its release is owed: that connection is kept for longer.
        if close.iter().any(|(_, why)| *why == IDLE) {
            let stand = self.standing.values().filter(|standing| standing.acked);
            let held: BTreeSet<_> = stand.map(|standing| standing.caller).collect();
            let long = |conn: &ConnId| {
                let used = self.callers.conns.get(conn).and_then(|caller| caller.useful);
                used.is_some_and(|at| now - at > HOLDING_CALLER)
            };
            close.retain(|(conn, why)| *why != IDLE || !held.contains(conn) || long(conn));
        }
        // Where descriptors ran out nobody is accepted, and room has to be made here.
        for _ in 0..self.callers.conns.len().saturating_sub(self.callers.most) {
            let Some(least) = self.callers.least() else { break };
            self.close_if_quiet(least, "room was needed");
        }
        for (conn, why) in close {
            // What a node short of processor time has not read yet may be a set-up, or the rest of one. A
            // message that comes byte by byte does not hold its connection by that.
            let trickles = self.callers.conns.get(&conn).and_then(|caller| caller.partial);
            let over = trickles.is_some_and(|since| now - since > SILENT_CALLER + SILENT_CALLER / 4);
            if over || why == CONFLICT {
                self.hang_up(conn, why);
            } else {
                self.close_if_quiet(conn, why);
            }
        }
    }
}
