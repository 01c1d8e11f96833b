//! Callers' connections: admission, received messages, and when a connection is closed.

use std::collections::{BTreeMap, BTreeSet};

use lemoncleat_core::Micros;
use lemoncleat_sip::{response, Message, Method, Reader, Start, StreamError};

use crate::interface::{ConnId, Output};
use crate::node::AccessNode;
use crate::notice::Notice;
use crate::timing::{
    CALLER_IDLE_TIMEOUT_US, CALLER_MESSAGE_TIMEOUT_US, CALLER_WITH_CALL_IDLE_TIMEOUT_US,
    CROSSED_ANSWER_WINDOW_US, MAX_UNUSABLE_MESSAGES,
};

/// File descriptors kept free for other uses than connections to callers and servers: listener, journal
/// service, messages between nodes, files, and connections that are being closed gracefully.
pub(crate) const RESERVED_SOCKETS: usize = 56;

/// Reason for closing a connection on which only the rest of a message can still be expected.
const CLOSE_INCOMPLETE: &str = "a message stayed incomplete";
/// Reason for closing a connection whose message is incomplete when such messages take too much memory.
const CLOSE_FOR_MEMORY: &str = "incomplete messages take too much memory";
/// Minimum size of an incomplete message that is considered in that case.
const MIN_LARGE_MESSAGE_BYTES: usize = 4 * 1024;
/// Reason for closing a connection that has been unused for too long.
const CLOSE_IDLE: &str = "idle";
/// Reason for closing a connection regardless of unread bytes.
const CLOSE_DUPLICATE_ID: &str = "two set-ups with the same id";

/// A caller's connection.
pub(crate) struct Caller {
    reader: Reader,
    accepted_at: Micros,
    /// When the last useful message was received.
    pub(crate) last_useful_at: Option<Micros>,
    /// When a message was last received that only the caller of an established call could send: its sender
    /// reads releases.
    last_verified_at: Option<Micros>,
    /// Since when an incomplete message has been buffered.
    partial_since: Option<Micros>,
    /// Memory that the incomplete message holds.
    held_bytes: usize,
    /// Number of unanswered set-ups received on it.
    pub(crate) open: u32,
    /// When an answer that establishes a call was last written to it.
    last_answer_at: Option<Micros>,
    unusable_messages: u32,
    /// Since when two of its set-ups carry the same id: an answer to the second could be taken for the answer
    /// to the first.
    duplicate_id_since: Option<Micros>,
    /// Whether the caller has ended its half of the connection.
    pub(crate) half_closed: bool,
    /// Whether it was selected for closing but had unread bytes, and nothing has been read from it since.
    close_declined: bool,
}

/// All callers' connections.
pub(crate) struct Callers {
    pub(crate) conns: BTreeMap<ConnId, Caller>,
    /// Connections that are closed unless they have unread bytes, and why: the driver reports unread bytes
    /// before the next [`Input::Timeout`](crate::Input::Timeout), and until then nothing on them is given up.
    closing: BTreeMap<ConnId, (Caller, &'static str)>,
    max_conns: usize,
    /// Memory that incomplete messages hold on all these connections, and its limit.
    held_bytes: usize,
    max_held_bytes: usize,
}

impl Callers {
    pub(crate) fn new(sockets: usize, max_held_bytes: usize) -> Self {
        Callers {
            conns: BTreeMap::new(),
            closing: BTreeMap::new(),
            max_conns: sockets.saturating_sub(RESERVED_SOCKETS) * 6 / 10,
            held_bytes: 0,
            max_held_bytes,
        }
    }

    fn insert(&mut self, conn: ConnId, caller: Caller) {
        self.held_bytes += caller.held_bytes;
        self.conns.insert(conn, caller);
    }

    fn remove(&mut self, conn: ConnId) -> Option<Caller> {
        let caller = self.conns.remove(&conn)?;
        self.held_bytes -= caller.held_bytes;
        Some(caller)
    }

    /// Returns the connection whose incomplete message has to go when all of them hold too much memory: the
    /// oldest one on a connection without open set-ups, otherwise the oldest. Small ones are not considered.
    fn oldest_large_message(&self) -> Option<ConnId> {
        let large = self.conns.iter().filter(|(_, caller)| caller.held_bytes > MIN_LARGE_MESSAGE_BYTES);
        large.min_by_key(|(_, caller)| (caller.open > 0, caller.partial_since)).map(|(conn, _)| *conn)
    }

    pub(crate) fn holds(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Returns whether a release may be sent on the connection: its caller has not ended its half.
    pub(crate) fn takes_releases(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|caller| !caller.half_closed)
    }

    /// Returns whether the caller has ended its half of the connection.
    pub(crate) fn is_half_closed(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|caller| caller.half_closed)
    }

    /// Returns the connection to close when room is needed. Only connections without an open set-up are
    /// considered, in this order: those that the caller is closing, those without a useful message so far
    /// (oldest first), those not verified by a call, and those unused for longest. Connections with a partly
    /// read message and connections known to have unread bytes come last.
    fn eviction_candidate(&self) -> Option<ConnId> {
        let without_set_ups = self.conns.iter().filter(|(_, caller)| caller.open == 0);
        let rank = |caller: &Caller| {
            let close_last = (caller.close_declined, caller.partial_since.is_some() && !caller.half_closed);
            let since = caller.last_useful_at.unwrap_or(caller.accepted_at);
            (
                close_last,
                !caller.half_closed,
                caller.last_useful_at.is_some(),
                caller.last_verified_at.is_some(),
                since,
            )
        };
        without_set_ups.min_by_key(|(_, caller)| rank(caller)).map(|(conn, _)| *conn)
    }

    /// Returns the best connection for a release, except those given: the one verified last, otherwise the
    /// one used last.
    pub(crate) fn best_for_release(&self, except: &[ConnId]) -> Option<ConnId> {
        let usable = self.conns.iter().filter(|(conn, caller)| {
            caller.last_useful_at.is_some() && !caller.half_closed && !except.contains(conn)
        });
        usable
            .max_by_key(|(_, caller)| (caller.last_verified_at, caller.last_useful_at))
            .map(|(conn, _)| *conn)
    }
}

impl AccessNode {
    pub(crate) fn caller_accepted(&mut self, conn: ConnId) {
        // One more than needed if some connections that were selected for closing stayed open: the table
        // shrinks back to its limit.
        let excess = (self.callers.conns.len() + 1).saturating_sub(self.callers.max_conns).min(2);
        for closed_so_far in 0..excess {
            match self.callers.eviction_candidate() {
                Some(candidate) => self.close_if_nothing_unread(candidate, "closed to make room"),
                None if closed_so_far > 0 => break,
                None => {
                    self.notice(Notice::CallerClosed("connection limit reached"));
                    return self.out.push(Output::Close(conn));
                }
            }
        }
        self.add_caller(conn);
    }

    /// Keeps a connection that was selected for closing, because it has unread bytes.
    pub(crate) fn keep_unread_caller(&mut self, conn: ConnId) {
        match self.callers.closing.remove(&conn) {
            Some((caller, _)) => {
                self.callers.insert(conn, Caller { close_declined: true, ..caller });
            }
            None => self.add_caller(conn),
        }
    }

    /// Completes the closing of the connections for which the driver reported no unread bytes.
    pub(crate) fn complete_caller_closes(&mut self) {
        for (conn, (_, why)) in std::mem::take(&mut self.callers.closing) {
            self.notice(Notice::CallerClosed(why));
            self.resend_releases_of(conn);
        }
    }

    /// Adds a connection to the table, as one without a useful message so far.
    pub(crate) fn add_caller(&mut self, conn: ConnId) {
        let caller = Caller {
            reader: Reader::new(),
            accepted_at: self.now,
            last_useful_at: None,
            last_verified_at: None,
            partial_since: None,
            held_bytes: 0,
            open: 0,
            last_answer_at: None,
            unusable_messages: 0,
            duplicate_id_since: None,
            half_closed: false,
            close_declined: false,
        };
        self.callers.insert(conn, caller);
    }

    pub(crate) fn caller_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            caller.reader.push(bytes);
            caller.close_declined = false;
        }
        while let Some(caller) = self.callers.conns.get_mut(&conn) {
            match caller.reader.next_message() {
                Ok(Some(message)) => {
                    caller.partial_since = None;
                    self.caller_message(conn, message);
                }
                Ok(None) => {
                    caller.partial_since =
                        caller.reader.is_partial().then(|| caller.partial_since.unwrap_or(self.now));
                    let held_before = std::mem::replace(&mut caller.held_bytes, caller.reader.held_bytes());
                    self.callers.held_bytes += caller.held_bytes;
                    self.callers.held_bytes -= held_before;
                    return self.bound_incomplete_messages();
                }
                Err(malformed) => return self.caller_malformed(conn, &malformed),
            }
        }
    }

    /// Closes connections with incomplete messages while these hold more memory than they may together.
    fn bound_incomplete_messages(&mut self) {
        while self.callers.held_bytes > self.callers.max_held_bytes {
            let Some(conn) = self.callers.oldest_large_message() else { return };
            self.close_gracefully(conn, CLOSE_FOR_MEMORY);
        }
    }

    /// Answers a malformed message, as far as there is something to answer to, and closes the connection.
    fn caller_malformed(&mut self, conn: ConnId, malformed: &StreamError) {
        self.stats.bad_caller_messages += 1;
        let code = if malformed.fault == lemoncleat_sip::Fault::TooLong { 413 } else { 400 };
        let request =
            malformed.head.as_deref().filter(|head| !matches!(head.method(), None | Some(Method::Ack)));
        let answer = match request {
            Some(head) if !self.is_open(head) => response(code, malformed.fault.as_str(), head).finish(b""),
            Some(_) => Vec::new(),
            None => lemoncleat_sip::refusal(code, malformed.fault.as_str()).finish(b""),
        };
        if !answer.is_empty() {
            self.send(conn, answer);
        }
        self.close_gracefully(conn, malformed.fault.as_str());
    }

    /// Returns whether a message carries the id of an open call: an answer to it could be taken for the
    /// call's answer.
    fn is_open(&self, message: &Message) -> bool {
        crate::invite::call_id(message)
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
                    let (code, phrase) = if self.stopping_since.is_some() {
                        (503, "Service Unavailable")
                    } else {
                        (200, "OK")
                    };
                    self.mark_caller_useful(conn);
                    self.send(conn, response(code, phrase, &message).finish(b""));
                }
                Method::Notify => self.refuse_unusable(conn, &message, 489, "Bad Event"),
                Method::Other(_) => self.refuse_unusable(conn, &message, 501, "Not Implemented"),
            },
            Start::Response { .. } => self.caller_response(conn, &message),
        }
    }

    /// Refuses an unusable message, and closes a connection that sends many of them.
    pub(crate) fn refuse_unusable(&mut self, conn: ConnId, message: &Message, code: u16, phrase: &str) {
        self.stats.bad_caller_messages += 1;
        self.send(conn, response(code, phrase, message).finish(b""));
        let Some(caller) = self.callers.conns.get_mut(&conn) else { return };
        caller.unusable_messages += 1;
        if caller.unusable_messages >= MAX_UNUSABLE_MESSAGES && caller.open == 0 {
            self.close_gracefully(conn, "too many messages that are no use");
        }
    }

    /// Records that a connection sent a second set-up with the id of one of its own. An answer to it could
    /// not be told from the answer to the first, so the refusal consists of closing the connection: once no
    /// set-up is open on it, so that the first is not disturbed, but within the time limit.
    pub(crate) fn caller_reused_id(&mut self, conn: ConnId) {
        self.stats.bad_caller_messages += 1;
        let now = self.now;
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            caller.duplicate_id_since.get_or_insert(now);
        }
    }

    pub(crate) fn mark_caller_useful(&mut self, conn: ConnId) {
        let now = self.now;
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            (caller.last_useful_at, caller.unusable_messages) = (Some(now), 0);
            if !caller.half_closed {
                self.send_pending_releases(conn);
            }
        }
    }

    /// Records that an answer that establishes a call was written to a connection.
    pub(crate) fn mark_caller_answered(&mut self, conn: ConnId) {
        let now = self.now;
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            caller.last_answer_at = Some(now);
        }
    }

    /// Records a message that only the caller of an established call could send.
    pub(crate) fn mark_caller_verified(&mut self, conn: ConnId) {
        let now = self.now;
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            caller.last_verified_at = Some(now);
        }
    }

    /// Handles the end of a caller's half of a connection: its open set-ups are given up, and no set-up that
    /// is read from it afterwards is started.
    pub(crate) fn caller_half_closed(&mut self, conn: ConnId) {
        match self.callers.conns.get_mut(&conn) {
            Some(caller) if !caller.half_closed => caller.half_closed = true,
            _ => return,
        }
        self.give_up_open_calls(conn);
        self.resend_releases_of(conn);
    }

    /// Gives up the set-ups open on a connection, and refuses them there: the other side may still read.
    fn give_up_open_calls(&mut self, conn: ConnId) {
        for id in self.open_calls_on(conn) {
            let Some(call) = self.calls.get(&id) else { continue };
            let refused = response(480, "Temporarily Unavailable", &call.request).finish(b"");
            self.caller_gone(id);
            self.send(conn, refused);
        }
    }

    fn open_calls_on(&self, conn: ConnId) -> Vec<lemoncleat::CallId> {
        self.calls.iter().filter(|(_, call)| call.conn == conn).map(|(id, _)| *id).collect()
    }

    /// Handles a connection closed by its caller: its open set-ups are given up.
    pub(crate) fn caller_closed(&mut self, conn: ConnId) {
        let Some(caller) = self.callers.remove(conn) else { return };
        for id in self.open_calls_on(conn) {
            self.caller_gone(id);
        }
        self.resend_releases_of(conn);
        if caller.last_answer_at.is_some_and(|at| self.now - at <= CROSSED_ANSWER_WINDOW_US) {
            self.release_unread(conn);
        }
    }

    /// Closes a connection without open set-ups, unless it has unread bytes.
    fn close_if_nothing_unread(&mut self, conn: ConnId, why: &'static str) {
        if let Some(caller) = self.callers.remove(conn) {
            self.callers.closing.insert(conn, (caller, why));
            self.out.push(Output::CloseIfNothingUnread(conn));
        }
    }

    /// Closes a connection after a protocol violation; its open set-ups are refused first.
    fn close_gracefully(&mut self, conn: ConnId, why: &'static str) {
        self.give_up_open_calls(conn);
        if self.callers.remove(conn).is_some() {
            self.out.push(Output::HangUp(conn));
            self.notice(Notice::CallerClosed(why));
            self.resend_releases_of(conn);
        }
    }

    pub(crate) fn maintain_callers(&mut self) {
        let now = self.now;
        let mut close = Vec::new();
        for (&conn, caller) in &self.callers.conns {
            let duplicate_id = caller
                .duplicate_id_since
                .is_some_and(|at| caller.open == 0 || now - at > CALLER_MESSAGE_TIMEOUT_US);
            if duplicate_id {
                close.push((conn, CLOSE_DUPLICATE_ID));
            } else if caller.open > 0 {
                continue;
            } else if let Some(since) = caller.partial_since {
                if now - since > CALLER_MESSAGE_TIMEOUT_US {
                    close.push((conn, CLOSE_INCOMPLETE));
                }
            } else if caller.last_useful_at.is_none() && now - caller.accepted_at > CALLER_MESSAGE_TIMEOUT_US
            {
                close.push((conn, "nothing useful received"));
            } else if caller.last_useful_at.is_some_and(|at| now - at > CALLER_IDLE_TIMEOUT_US) {
                close.push((conn, CLOSE_IDLE));
            }
        }
        // The release of an acknowledged call will be sent to its caller, so its connection is kept for
        // longer.
        if close.iter().any(|(_, why)| *why == CLOSE_IDLE) {
            let acknowledged = self.standing.values().filter(|standing| standing.acked);
            let with_calls: BTreeSet<_> = acknowledged.map(|standing| standing.caller).collect();
            let idle_too_long = |conn: &ConnId| {
                let used = self.callers.conns.get(conn).and_then(|caller| caller.last_useful_at);
                used.is_some_and(|at| now - at > CALLER_WITH_CALL_IDLE_TIMEOUT_US)
            };
            close.retain(|(conn, why)| {
                *why != CLOSE_IDLE || !with_calls.contains(conn) || idle_too_long(conn)
            });
        }
        // When file descriptors have run out no connection is accepted, so room has to be made here.
        for _ in 0..self.callers.conns.len().saturating_sub(self.callers.max_conns) {
            let Some(candidate) = self.callers.eviction_candidate() else { break };
            self.close_if_nothing_unread(candidate, "closed to make room");
        }
        for (conn, why) in close {
            // If the node lacks processor time, unread bytes may be a set-up or the rest of one. A message
            // that arrives byte by byte does not keep its connection open.
            let incomplete_since = self.callers.conns.get(&conn).and_then(|caller| caller.partial_since);
            let expired = incomplete_since
                .is_some_and(|since| now - since > CALLER_MESSAGE_TIMEOUT_US + CALLER_MESSAGE_TIMEOUT_US / 4);
            if expired || why == CLOSE_DUPLICATE_ID {
                self.close_gracefully(conn, why);
            } else {
                self.close_if_nothing_unread(conn, why);
            }
        }
    }
}
