//! Calls: callers' set-ups, attempts at call servers, and established calls.

use lemoncleat::{Call as NewCall, CallId, Event, Outcome, Reason, Report, ServerId};
use lemoncleat_core::{Deadline, Micros, TimerKey};
use lemoncleat_sip::{request, response, Message, Method};

use crate::interface::{ConnId, DialId, Output};
use crate::invite::{self, Invite};
use crate::node::{AccessNode, Timer};
use crate::notice::Notice;
use crate::timing::{ANSWER_MARGIN_US, CALL_END_REPORT_LIMIT_US, CROSSED_ANSWER_WINDOW_US};

/// Cause (Q.850) with which callers are told that a call is over whose server did not say why: temporary
/// failure.
const LOST_CALL_CAUSE: u16 = 41;

/// Minimum memory accounted for an unanswered set-up, with its refusals.
const MIN_CALL_BYTES: usize = 4 * 1024;

/// An unanswered set-up.
pub(crate) struct Call {
    /// The INVITE as received from the caller.
    pub(crate) request: Message,
    pub(crate) id: String,
    pub(crate) called: String,
    /// The connection on which it was received.
    pub(crate) conn: ConnId,
    pub(crate) deadline: Deadline,
    deadline_timer: TimerKey,
    /// The current attempt.
    pub(crate) attempt: Option<Attempt>,
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    /// Connections that must not carry a further attempt of this call, because an attempt on them was
    /// answered or given up.
    pub(crate) used_conns: Vec<ConnId>,
    /// Earlier attempts that were answered with 200 after they had been given up, while a further attempt was
    /// open at the same server: the server and the connection. They are released once the further attempt has
    /// failed, because a release sent earlier would be taken to mean that attempt.
    pub(crate) superseded: Vec<(ServerId, ConnId)>,
    /// Memory accounted for it.
    held_bytes: usize,
}

/// Returns the memory to be accounted for a set-up: its request, and the INVITE of an attempt that a server has
/// not read.
fn memory_of_call(request: &Message) -> usize {
    (2 * request.held_bytes()).max(MIN_CALL_BYTES)
}

/// An attempt in progress.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) server: ServerId,
    pub(crate) sent_at: Micros,
    pub(crate) path: AttemptPath,
    expires_at: Micros,
    timer: TimerKey,
}

/// What carries an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptPath {
    /// A connection that is still being dialled; nothing was sent.
    Dial(DialId),
    /// A connection on which the INVITE was written.
    Conn(ConnId),
}

impl Attempt {
    /// Returns the outcome of giving the attempt up: nothing was sent on a connection that is not established
    /// yet.
    fn outcome_when_given_up(&self, outcome: Outcome) -> Outcome {
        match self.path {
            AttemptPath::Dial(_) => Outcome::Unreachable,
            AttemptPath::Conn(_) => outcome,
        }
    }
}

/// What is known of when a call was established at its server.
#[derive(Clone, Copy)]
pub(crate) enum Established {
    /// On a connection that was established at this time. The time at which the answer was read says less: the
    /// node may have stood still.
    OnConn { opened_at: Micros },
    /// At an unknown time before a caller named the call, as after a restart of this node.
    BeforeNamed { named_at: Micros },
}

impl Established {
    /// Returns whether a call was established at an earlier process of its server than the one that started at
    /// this time.
    ///
    /// Of a named call this is assumed if the process started less than `CALL_END_REPORT_LIMIT_US` before the
    /// call was named. Otherwise the time limit for reporting its end was over when it was named.
    pub(crate) fn precedes(self, started_at: Micros) -> bool {
        match self {
            Established::OnConn { opened_at } => opened_at < started_at,
            Established::BeforeNamed { named_at } => named_at - CALL_END_REPORT_LIMIT_US < started_at,
        }
    }

    /// Returns whether this node held the call at this time, or had opened the connection of its set-up.
    fn is_from_before(self, time: Micros) -> bool {
        match self {
            Established::OnConn { opened_at } => opened_at < time,
            Established::BeforeNamed { named_at } => named_at < time,
        }
    }

    /// Returns whether a call was established on a connection of this time or later.
    pub(crate) fn is_on_conn_since(self, time: Micros) -> bool {
        matches!(self, Established::OnConn { opened_at } if opened_at >= time)
    }
}

/// An established call.
pub(crate) struct StandingCall {
    pub(crate) id: String,
    pub(crate) called: String,
    pub(crate) server: ServerId,
    /// The connection on which it was set up at the server, open or not; `None` if a caller named the call.
    pub(crate) server_conn: Option<ConnId>,
    /// The connection on which its caller set it up.
    pub(crate) caller: ConnId,
    pub(crate) attempt: u32,
    pub(crate) sent_at: Micros,
    pub(crate) established: Established,
    /// When its answer was sent to its caller, or when the caller named it.
    pub(crate) answered_at: Micros,
    pub(crate) acked: bool,
}

impl AccessNode {
    // ---- Messages from callers ----

    pub(crate) fn invite(&mut self, conn: ConnId, message: Message) {
        let invite = match invite::parse(&message, &self.classes) {
            Ok(invite) => invite,
            Err(_) if self.owns_call(conn, &message) => return self.caller_reused_id(conn),
            Err(phrase) => return self.refuse_unusable(conn, &message, 400, phrase),
        };
        let id = CallId(invite.number);
        if invite.standing_at.is_some() {
            self.mark_caller_useful(conn);
            return self.take_over_standing(conn, invite);
        }
        if self.calls.get(&id).is_some_and(|call| call.conn == conn && call.request == message) {
            // A retransmission is absorbed (RFC 3261 section 17.2.1): the answer to the first copy answers it
            // too.
            return self.trace_id(id, "the same INVITE again on its connection: absorbed");
        }
        if self.owns_call(conn, &message) {
            return self.caller_reused_id(conn);
        }
        let has_ended = self.releases.has_ended(id);
        if self.calls.contains_key(&id) || self.standing.contains_key(&id) || has_ended {
            return self.refuse_unusable(conn, &message, 482, "Loop Detected");
        }
        self.mark_caller_useful(conn);
        self.stats.calls += 1;
        if self.releases.was_withdrawn(id) {
            // The CANCEL was read before the INVITE.
            self.stats.given_up += 1;
            return self.send(conn, response(487, "Request Terminated", &message).finish(b""));
        }
        if self.callers.is_half_closed(conn) {
            // The caller no longer waits for an answer.
            self.stats.given_up += 1;
            return self.send(conn, response(480, "Temporarily Unavailable", &message).finish(b""));
        }
        let held_bytes = memory_of_call(&message);
        let memory_is_full = self.open_call_bytes + held_bytes > self.max_open_call_bytes;
        if memory_is_full || self.calls.len() >= self.max_open_calls {
            return self.refuse_for_capacity(conn, &message);
        }
        let deadline = Deadline::new(self.received_at, invite.patience, ANSWER_MARGIN_US);
        let deadline_timer = self.wheel.set(deadline.fail_at(), Timer::CallDeadline(id));
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            caller.open += 1;
        }
        let call = Call {
            request: message,
            id: invite.id,
            called: invite.called,
            conn,
            deadline,
            deadline_timer,
            attempt: None,
            attempts: 0,
            used_conns: self.releases.conns_used_before(id),
            superseded: Vec::new(),
            held_bytes,
        };
        self.open_call_bytes += held_bytes;
        self.trace(&call.id, || {
            let (class, patience, place) = (invite.class, invite.patience / 1000, invite.destination);
            format!("set-up of class {class} for {patience} ms, first choice place {place}")
        });
        self.calls.insert(id, call);
        self.queue_event(Event::Call(NewCall {
            id,
            class: invite.class,
            patience: deadline.answer_by() - self.now,
            width: invite.width,
            destination: invite.destination,
            advised: invite.advised,
            in_transit: false,
            redialled: false,
            cut: invite.cut_before,
        }));
    }

    /// Returns whether a message carries the id of a call whose answer was or will be sent on this
    /// connection.
    fn owns_call(&self, conn: ConnId, message: &Message) -> bool {
        let Some(id) = invite::call_id(message).map(|(_, number)| CallId(number)) else { return false };
        self.calls.get(&id).is_some_and(|call| call.conn == conn)
            || self.standing.get(&id).is_some_and(|standing| standing.caller == conn)
    }

    /// Takes over a call that is already established at a server; nothing is sent to either side.
    fn take_over_standing(&mut self, conn: ConnId, invite: Invite) {
        let id = CallId(invite.number);
        if self.calls.contains_key(&id) {
            return;
        }
        if let Some(standing) = self.standing.get_mut(&id) {
            standing.caller = conn;
            return;
        }
        let server = invite.standing_at.as_deref().and_then(|name| self.servers.named(name));
        let known = self.releases.known_cause(id);
        let gone = server.is_none_or(|server| !self.servers.may_still_report(server));
        if let (Some(cause), _) | (None, Some(cause)) = (known, gone.then_some(LOST_CALL_CAUSE)) {
            // The call has ended, or no message about its end could ever arrive.
            self.trace(&invite.id, || format!("has ended, cause {cause}"));
            if let Some(server) = server {
                self.release_at_server(server, &invite.id, &invite.called, 16, None);
            }
            if known.is_none() {
                return self.release_named(invite, cause, conn);
            }
            return self.release_to_caller(id, invite.id, invite.called, cause, conn);
        }
        let Some(server) = server else { return };
        let established = Established::BeforeNamed { named_at: self.now };
        if self.servers.restarted_at(server).is_some_and(|started_at| established.precedes(started_at)) {
            self.trace(&invite.id, || "has ended: its server's process was restarted".to_owned());
            let now = self.now;
            self.releases.record_ended(now, id, LOST_CALL_CAUSE);
            return self.release_named(invite, LOST_CALL_CAUSE, conn);
        }
        if self.standing.len() >= self.max_standing_calls {
            // Callers may name calls that never existed, so calls that are known take precedence.
            self.stats.bad_caller_messages += 1;
            return self.trace(&invite.id, || "not taken up: limit of standing calls reached".to_owned());
        }
        self.trace(&invite.id, || "taken up as standing".to_owned());
        let standing = StandingCall {
            id: invite.id,
            called: invite.called,
            server,
            server_conn: None,
            caller: conn,
            attempt: 0,
            sent_at: self.now,
            established,
            answered_at: self.now,
            acked: true,
        };
        self.add_standing(id, standing);
    }

    pub(crate) fn caller_acked(&mut self, conn: ConnId, message: &Message) {
        if let Some((_, number)) = invite::call_id(message) {
            if let Some(standing) = self.standing.get_mut(&CallId(number)) {
                standing.acked = true;
                self.mark_caller_verified(conn);
            }
        }
    }

    pub(crate) fn caller_cancels(&mut self, conn: ConnId, message: &Message) {
        let Some((_, number)) = invite::call_id(message) else {
            return self.refuse_unusable(conn, message, 400, "Bad Call-ID");
        };
        let id = CallId(number);
        if self.calls.contains_key(&id) {
            self.mark_caller_useful(conn);
            self.send(conn, response(200, "OK", message).finish(b""));
            self.terminate_set_up(id);
        } else if self.standing.get(&id).is_some_and(|standing| !standing.acked) {
            self.mark_caller_useful(conn);
            self.send(conn, response(200, "OK", message).finish(b""));
            self.release_crossed_call(id);
        } else {
            let now = self.now;
            self.releases.record_withdrawal(now, id);
            self.refuse_unusable(conn, message, 481, "Call/Transaction Does Not Exist");
        }
    }

    /// Handles a BYE from a caller.
    pub(crate) fn caller_releases(&mut self, conn: ConnId, message: &Message) {
        let Some((_, number)) = invite::call_id(message) else {
            return self.refuse_unusable(conn, message, 400, "Bad Call-ID");
        };
        let (id, cause) = (CallId(number), cause_of(message));
        if self.standing.contains_key(&id) {
            self.mark_caller_verified(conn);
            self.release_by_caller(id, cause);
        } else if self.calls.contains_key(&id) {
            // Released before it was answered: the INVITE must be answered all the same (RFC 3261 section
            // 15.1.2).
            self.terminate_set_up(id);
        } else if !self.releases.confirm_crossed(id) {
            // This process may learn of the call later.
            let now = self.now;
            self.releases.record_unknown_from_caller(now, id, cause);
            self.releases.record_withdrawal(now, id);
            return self.refuse_unusable(conn, message, 481, "Call/Transaction Does Not Exist");
        }
        self.mark_caller_useful(conn);
        self.send(conn, response(200, "OK", message).finish(b""));
    }

    fn release_by_caller(&mut self, id: CallId, cause: u16) -> Option<StandingCall> {
        let standing = self.end_standing(id, Outcome::Ok, Report::default())?;
        self.release_at_server(standing.server, &standing.id, &standing.called, cause, standing.server_conn);
        Some(standing)
    }

    /// Ends a call whose answer crossed its caller's CANCEL or close, so that no caller is on the line. The
    /// call is released on both sides, because the caller may have read the answer in the meantime.
    fn release_crossed_call(&mut self, id: CallId) {
        let Some(standing) = self.release_by_caller(id, 16) else { return };
        self.trace_id(id, "given up by its caller while it was answered");
        self.release_to_caller(id, standing.id, standing.called, 16, standing.caller);
    }

    /// Ends the calls whose answers were sent on a connection just before its caller closed it and were not
    /// acknowledged, because the caller has not read them. Other established calls are not tied to a
    /// connection and continue.
    pub(crate) fn release_unread(&mut self, conn: ConnId) {
        let now = self.now;
        let unread = self.standing.iter().filter(|(_, standing)| {
            standing.caller == conn
                && !standing.acked
                && now - standing.answered_at <= CROSSED_ANSWER_WINDOW_US
        });
        for id in unread.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.release_crossed_call(id);
        }
    }

    /// Handles the withdrawal of an open set-up: it is given up and answered with 487. A copy of its INVITE
    /// that is read later, on another connection, is not started.
    fn terminate_set_up(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let (conn, ended) = (call.conn, response(487, "Request Terminated", &call.request).finish(b""));
        let now = self.now;
        self.releases.record_withdrawal(now, id);
        self.caller_gone(id);
        self.send(conn, ended);
    }

    /// Handles a caller that no longer waits: its call is removed and the attempt in progress is withdrawn.
    pub(crate) fn caller_gone(&mut self, id: CallId) {
        self.withdraw_attempt(id);
        if let Some(call) = self.remove_call(id) {
            self.stats.given_up += 1;
            self.releases.record_departed(self.now, id, call.used_conns);
            self.trace_id(id, "given up by its caller");
            self.queue_event(Event::CallerGone(id));
        }
        self.queue_deferred_events();
    }

    // ---- Attempts ----

    /// Starts an attempt chosen by the module.
    pub(crate) fn start_attempt(&mut self, id: CallId, server: ServerId, timeout: Micros) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            // The caller gave the call up after the module's decision.
            return self.queue_event(Event::Ended {
                call: id,
                attempt: 0,
                server,
                outcome: Outcome::Moot,
                lag: 0,
                closed: true,
                reason: Reason::None,
                report: Report::default(),
            });
        };
        let number = call.attempts;
        call.attempts += 1;
        let last = call.deadline.answer_by();
        let expires_at = if timeout > 0 { (now + timeout).min(last) } else { last };
        let timer = self.wheel.set(expires_at, Timer::Attempt(id, number));
        let path = self.path_for_attempt(server, id);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let to = path.unwrap_or(AttemptPath::Dial(DialId(u64::MAX)));
        call.attempt = Some(Attempt { number, server, sent_at: now, path: to, expires_at, timer });
        match path {
            Some(AttemptPath::Conn(conn)) => self.write_invite(id, conn),
            Some(AttemptPath::Dial(_)) => {}
            None => {
                self.end_attempt(id, Outcome::Unreachable, Reason::None, Report::default());
            }
        }
    }

    /// Writes the INVITE of the current attempt.
    pub(crate) fn write_invite(&mut self, id: CallId, conn: ConnId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(attempt) = &mut call.attempt else { return };
        attempt.path = AttemptPath::Conn(conn);
        let (server, number, waited) = (attempt.server, attempt.number, now - attempt.sent_at);
        let wait = ((attempt.expires_at - now) / 1000).max(1);
        let class = call.request.header("X-Cos").unwrap_or_default();
        let bytes = dialog_request(Method::Invite, &self.name, &call.id, &call.called, number + 1)
            .header("X-Cos", class)
            .header("X-Timer-Ms", wait)
            .finish(call.request.body());
        let trace = call.id.clone();
        self.servers.set_up_sent(conn, id, now);
        self.stats.attempts += 1;
        self.out.push(Output::Invite(conn, id, bytes));
        self.trace(&trace, || {
            let after = waited as f64 / 1e3;
            format!("attempt {number} to server {} for {wait} ms, {after:.1} ms after the choice", server.0)
        });
    }

    /// Removes the current attempt from its call and its connection.
    fn take_attempt(&mut self, id: CallId) -> Option<Attempt> {
        let attempt = self.calls.get_mut(&id)?.attempt.take()?;
        self.wheel.cancel(attempt.timer);
        self.servers.set_up_closed(attempt.path, id);
        if let AttemptPath::Conn(conn) = attempt.path {
            // Whatever the outcome: an INVITE still queued for a server that does not read must not be sent.
            self.out.push(Output::WithdrawInvite(conn, id, Vec::new()));
        }
        Some(attempt)
    }

    /// Ends the current attempt with this outcome. The call continues to wait for its answer.
    pub(crate) fn end_attempt(&mut self, id: CallId, outcome: Outcome, reason: Reason, report: Report) {
        let Some(attempt) = self.take_attempt(id) else { return };
        self.trace_id(id, &format!("attempt {} ended: {outcome:?}, {reason:?}", attempt.number));
        self.queue_event(Event::Ended {
            call: id,
            attempt: attempt.number,
            server: attempt.server,
            outcome,
            lag: self.now - attempt.sent_at,
            closed: false,
            reason,
            report,
        });
        self.release_superseded(id, attempt.server);
        if let AttemptPath::Conn(conn) = attempt.path {
            self.close_suspect_conn(conn);
        }
    }

    /// Releases earlier attempts of a call that are established at a server, after its attempt there has
    /// failed and before a further one is started.
    fn release_superseded(&mut self, id: CallId, server: ServerId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let established: Vec<_> = call.superseded.extract_if(.., |(at, _)| *at == server).collect();
        let (call_id, called) = (call.id.clone(), call.called.clone());
        for (_, conn) in established {
            self.trace_id(id, "an earlier attempt was answered after it was given up: released");
            self.release_at_server(server, &call_id, &called, 16, Some(conn));
        }
    }

    /// Gives up the current attempt and sends a CANCEL for it.
    fn give_up_attempt(&mut self, id: CallId) -> Option<Attempt> {
        let attempt = self.calls.get(&id)?.attempt?;
        if let AttemptPath::Conn(conn) = attempt.path {
            let call = self.calls.get_mut(&id)?;
            call.used_conns.push(conn);
            let bytes =
                dialog_request(Method::Cancel, &self.name, &call.id, &call.called, attempt.number + 1)
                    .finish(b"");
            let (call_id, called) = (call.id.clone(), call.called.clone());
            self.out.push(Output::WithdrawInvite(conn, id, bytes));
            let now = self.now;
            let server = self.servers.accepted_by(conn).map_or(attempt.server, |(server, _)| server);
            self.releases.abandon(now, id, server);
            if self.servers.suspect_if_silent(conn, attempt.sent_at, now) {
                // Its answer may have been lost with the connection: the call that may be established is
                // released on a connection on which the server will read it.
                self.release_elsewhere(server, &call_id, &called, conn);
            }
        }
        Some(attempt)
    }

    /// Withdraws the current attempt of a call that its caller gave up; the module is told of its end after
    /// the caller's.
    pub(crate) fn withdraw_attempt(&mut self, id: CallId) {
        if self.give_up_attempt(id).is_none() {
            return;
        }
        let Some(attempt) = self.take_attempt(id) else { return };
        self.deferred_events.push(Event::Ended {
            call: id,
            attempt: attempt.number,
            server: attempt.server,
            outcome: Outcome::Cancelled,
            lag: self.now - attempt.sent_at,
            closed: true,
            reason: Reason::None,
            report: Report::default(),
        });
        self.release_superseded(id, attempt.server);
        if let AttemptPath::Conn(conn) = attempt.path {
            self.close_suspect_conn(conn);
        }
    }

    pub(crate) fn queue_deferred_events(&mut self) {
        for event in std::mem::take(&mut self.deferred_events) {
            self.queue_event(event);
        }
    }

    pub(crate) fn cancel(&mut self, id: CallId, number: u32) {
        let current_attempt = self.calls.get(&id).and_then(|call| call.attempt);
        if let Some(attempt) = current_attempt.filter(|attempt| attempt.number == number) {
            self.give_up_attempt(id);
            self.end_attempt(
                id,
                attempt.outcome_when_given_up(Outcome::Cancelled),
                Reason::None,
                Report::default(),
            );
        }
    }

    pub(crate) fn attempt_timed_out(&mut self, id: CallId, number: u32) {
        let current_attempt = self.calls.get(&id).and_then(|call| call.attempt);
        let Some(attempt) = current_attempt.filter(|attempt| attempt.number == number) else { return };
        self.give_up_attempt(id);
        self.end_attempt(
            id,
            attempt.outcome_when_given_up(Outcome::TimedOut),
            Reason::None,
            Report::default(),
        );
    }

    // ---- Answers from call servers ----

    /// Handles a 200 answer to an attempt: the call is established.
    pub(crate) fn attempt_answered(&mut self, id: CallId, conn: ConnId, message: &Message) {
        let now = self.now;
        if self.calls.get(&id).is_some_and(|call| now > call.deadline.door()) {
            return self.answered_after_deadline(id, conn);
        }
        let Some(attempt) = self.take_attempt(id) else { return };
        self.queue_event(Event::Started {
            call: id,
            attempt: attempt.number,
            server: attempt.server,
            lag: now - attempt.sent_at,
        });
        let Some(call) = self.answer(id, 200, "OK", message.body()) else { return };
        self.stats.stood += 1;
        self.mark_caller_answered(call.conn);
        // The connection may have turned out to be another server's since the attempt was sent.
        let (server, opened_at) = self.servers.accepted_by(conn).unwrap_or((attempt.server, now));
        let standing = StandingCall {
            id: call.id,
            called: call.called,
            server,
            server_conn: Some(conn),
            caller: call.conn,
            attempt: attempt.number,
            sent_at: attempt.sent_at,
            established: Established::OnConn { opened_at },
            answered_at: now,
            acked: false,
        };
        self.add_standing(id, standing);
    }

    /// Handles an answer that arrives too late to reach its caller in time, before the deadline timer has
    /// fired. The call at the server is released, and the call fails as it does on the deadline timer.
    fn answered_after_deadline(&mut self, id: CallId, conn: ConnId) {
        let Some(attempt) = self.take_attempt(id) else { return };
        if let Some(call) = self.calls.get(&id) {
            let (call_id, called) = (call.id.clone(), call.called.clone());
            self.release_at_server(attempt.server, &call_id, &called, 16, Some(conn));
        }
        self.trace_id(id, "answered after its caller's deadline: released");
        // Reported as the end of the call, so that the module starts no further attempt.
        self.queue_event(Event::Ended {
            call: id,
            attempt: attempt.number,
            server: attempt.server,
            outcome: Outcome::TimedOut,
            lag: self.now - attempt.sent_at,
            closed: true,
            reason: Reason::None,
            report: Report::default(),
        });
        self.fail_at_deadline(id);
    }

    fn add_standing(&mut self, id: CallId, standing: StandingCall) {
        self.servers.count_standing(standing.server, standing.server_conn, 1);
        self.standing.insert(id, standing);
    }

    /// Removes an established call from the table; releasing both sides is up to the function that calls
    /// this.
    pub(crate) fn end_standing(
        &mut self,
        id: CallId,
        outcome: Outcome,
        report: Report,
    ) -> Option<StandingCall> {
        let standing = self.standing.remove(&id)?;
        self.servers.count_standing(standing.server, standing.server_conn, -1);
        let now = self.now;
        self.releases.record_ended(now, id, if outcome == Outcome::Ok { 16 } else { LOST_CALL_CAUSE });
        if outcome != Outcome::Ok {
            self.stats.cut += 1;
        }
        self.queue_event(Event::Ended {
            call: id,
            attempt: standing.attempt,
            server: standing.server,
            outcome,
            lag: self.now - standing.sent_at,
            closed: true,
            reason: Reason::None,
            report,
        });
        Some(standing)
    }

    /// Ends the established calls of a server that is lost.
    pub(crate) fn end_lost_calls(&mut self, server: ServerId, why: &'static str) {
        self.end_calls_if(server, why, |_| true);
    }

    /// Ends the calls that were established at an earlier process of a server than the one that started at this
    /// time.
    pub(crate) fn end_calls_of_earlier_process(&mut self, server: ServerId, started_at: Micros) {
        let ended = |call: &StandingCall| call.established.precedes(started_at);
        self.end_calls_if(server, "its process was restarted", ended);
    }

    /// Ends the calls that a server's process held before the server was back after an outage, at this time.
    pub(crate) fn end_calls_held_before(&mut self, server: ServerId, returned_at: Micros) {
        let held = |call: &StandingCall| call.established.is_from_before(returned_at);
        self.end_calls_if(server, "it came back after an outage without them", held);
    }

    /// Ends the calls of a server that were set up on one connection, or named by callers (`None`), when the
    /// server has no way left to report on them.
    pub(crate) fn end_calls_of_path(&mut self, server: ServerId, conn: Option<ConnId>) {
        let ended = |call: &StandingCall| call.server_conn == conn;
        self.end_calls_if(server, "their connection is of no more use and no new one comes up", ended);
    }

    fn end_calls_if(&mut self, server: ServerId, why: &'static str, ended: impl Fn(&StandingCall) -> bool) {
        let lost = self.standing.iter().filter(|(_, call)| call.server == server && ended(call));
        let lost: Vec<_> = lost.map(|(id, _)| *id).collect();
        if lost.is_empty() {
            return;
        }
        let name = self.servers.name(server);
        self.notice(Notice::CallsLost { server: name, calls: lost.len(), why });
        for id in lost {
            if let Some(standing) = self.end_standing(id, Outcome::Reset, Report::default()) {
                self.release_to_caller(id, standing.id, standing.called, LOST_CALL_CAUSE, standing.caller);
            }
        }
    }

    // ---- The tables ----

    /// Removes a call from the table of unanswered calls.
    pub(crate) fn remove_call(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.open_call_bytes -= call.held_bytes;
        self.wheel.cancel(call.deadline_timer);
        if let Some(caller) = self.callers.conns.get_mut(&call.conn) {
            caller.open = caller.open.saturating_sub(1);
            // The caller still has to read and acknowledge the answer.
            caller.last_useful_at = Some(self.now);
        }
        Some(call)
    }

    pub(crate) fn trace(&mut self, id: &str, what: impl FnOnce() -> String) {
        if self.tracing {
            self.notice(Notice::Call { id: id.to_owned(), what: what() });
        }
    }

    pub(crate) fn trace_id(&mut self, id: CallId, what: &str) {
        self.trace(&format!("{:016x}", id.0), || what.to_owned());
    }
}

/// Builds a request to a call server or a caller about one call.
pub(crate) fn dialog_request(
    method: Method,
    name: &str,
    id: &str,
    called: &str,
    number: u32,
) -> lemoncleat_sip::Builder {
    let cseq = format!("{number} {}", method.as_str());
    let branch = format!("SIP/2.0/TCP {name};branch=z9hG4bK{id}{number}");
    request(method, &format!("sip:{called}@net"))
        .header("Via", branch)
        .header("Max-Forwards", 70)
        .header("From", format_args!("<sip:{name}@net>;tag={id}"))
        .header("To", format_args!("<sip:{called}@net>"))
        .header("Call-ID", id)
        .header("CSeq", cseq)
}

/// Returns the cause of a release (RFC 3326, Q.850), or 16, normal clearing, if none is given.
pub(crate) fn cause_of(message: &Message) -> u16 {
    let reason = message.header("Reason").unwrap_or_default();
    let cause = reason.split([';', ' ', ',']).find_map(|part| part.trim().strip_prefix("cause="));
    cause.and_then(|cause| cause.trim().parse().ok()).unwrap_or(16)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn attempt_given_up_before_its_connection_is_established_is_unreachable() {
        let timer = lemoncleat_core::Wheel::new().set(0, ());
        let (number, server, sent_at, expires_at) = (0, ServerId(0), 0, 0);
        let attempt_on = |path| Attempt { number, server, sent_at, path, expires_at, timer };
        assert_eq!(
            attempt_on(AttemptPath::Dial(DialId(1))).outcome_when_given_up(Outcome::Cancelled),
            Outcome::Unreachable
        );
        assert_eq!(
            attempt_on(AttemptPath::Conn(ConnId(1))).outcome_when_given_up(Outcome::Cancelled),
            Outcome::Cancelled
        );
    }
}
