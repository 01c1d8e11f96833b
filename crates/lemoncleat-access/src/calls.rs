//! Calls: set-ups of callers, attempts at call servers, and calls that stand.

use lemoncleat::{Call as NewCall, CallId, Event, Outcome, Reason, Report, ServerId};
use lemoncleat_core::{Deadline, Micros, TimerKey};
use lemoncleat_sip::{request, response, Message, Method};

use crate::interface::{ConnId, DialId, Output};
use crate::invite::{self, Invite};
use crate::node::{AccessNode, Timer};
use crate::notice::Notice;
use crate::timing::{ANSWER_MARGIN, CROSSED};

/// A set-up without an answer.
pub(crate) struct Call {
    /// As the caller sent it.
    pub(crate) request: Message,
    pub(crate) id: String,
    pub(crate) called: String,
    /// Where it came.
    pub(crate) conn: ConnId,
    pub(crate) deadline: Deadline,
    guard: TimerKey,
    /// The attempt that is out.
    pub(crate) attempt: Option<Attempt>,
    /// How many there were.
    pub(crate) attempts: u32,
    /// Connections on which one was given up without an answer.
    pub(crate) spent: Vec<ConnId>,
    /// Earlier attempts that were answered with a call after they were given up, while a further one was out at the
    /// same server: where, and on which connection. They are released once that one has failed, for a release
    /// before would be taken for its.
    pub(crate) superseded: Vec<(ServerId, ConnId)>,
}

/// An attempt that is out.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) server: ServerId,
    pub(crate) sent: Micros,
    pub(crate) carrier: Carrier,
    ends: Micros,
    timer: TimerKey,
}

/// What an attempt is on.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Carrier {
    /// A connection that is not up yet: nothing was sent.
    Dial(DialId),
    /// A connection: it was written there.
    Conn(ConnId),
}

impl Attempt {
    /// What giving it up proves: on a connection that is not up yet nothing was sent.
    fn given_up_as(&self, outcome: Outcome) -> Outcome {
        match self.carrier {
            Carrier::Dial(_) => Outcome::Unreachable,
            Carrier::Conn(_) => outcome,
        }
    }
}

/// A call that stands.
pub(crate) struct Standing {
    pub(crate) id: String,
    pub(crate) called: String,
    pub(crate) server: ServerId,
    /// The server's connection of its set-up, while there is one.
    pub(crate) server_conn: Option<ConnId>,
    /// The caller's connection of its set-up.
    pub(crate) caller: ConnId,
    pub(crate) attempt: u32,
    pub(crate) sent: Micros,
    pub(crate) since: Micros,
    pub(crate) acked: bool,
}

impl AccessNode {
    // ---- From callers ----

    pub(crate) fn invite(&mut self, conn: ConnId, message: Message) {
        let invite = match invite::read(&message, &self.classes) {
            Ok(invite) => invite,
            Err(_) if self.is_owner(conn, &message) => return self.caller_conflict(conn),
            Err(phrase) => return self.unusable(conn, &message, 400, phrase),
        };
        let id = CallId(invite.number);
        if invite.at.is_some() {
            self.caller_useful(conn);
            return self.take_up(conn, invite);
        }
        if self.calls.get(&id).is_some_and(|call| call.conn == conn && call.request == message) {
            // A retransmission is absorbed (RFC 3261 section 17.2.1): the first one's answer is the answer.
            return self.trace_id(id, "the same INVITE again on its connection: absorbed");
        }
        if self.is_owner(conn, &message) {
            return self.caller_conflict(conn);
        }
        let over = self.releases.is_over(id);
        if self.calls.contains_key(&id) || self.standing.contains_key(&id) || over {
            return self.unusable(conn, &message, 482, "Loop Detected");
        }
        self.caller_useful(conn);
        self.stats.calls += 1;
        if self.releases.was_withdrawn(id) {
            // The CANCEL was read before it.
            self.stats.gone += 1;
            return self.send(conn, response(487, "Request Terminated", &message).finish(b""));
        }
        if self.callers.is_leaving(conn) {
            // Nobody waits for it any more.
            self.stats.gone += 1;
            return self.send(conn, response(480, "Temporarily Unavailable", &message).finish(b""));
        }
        if self.calls.len() >= self.most_open {
            return self.refuse_unheld(conn, &message);
        }
        let deadline = Deadline::new(self.came, invite.patience, ANSWER_MARGIN);
        let guard = self.wheel.set(deadline.last_moment(), Timer::Guard(id));
        if let Some(caller) = self.callers.conns.get_mut(&conn) {
            caller.open += 1;
        }
        let call = Call {
            request: message,
            id: invite.id,
            called: invite.called,
            conn,
            deadline,
            guard,
            attempt: None,
            attempts: 0,
            spent: Vec::new(),
            superseded: Vec::new(),
        };
        self.trace(&call.id, || {
            let (class, patience, place) = (invite.class, invite.patience / 1000, invite.destination);
            format!("set-up of class {class} for {patience} ms, first choice place {place}")
        });
        self.calls.insert(id, call);
        self.tell(Event::Call(NewCall {
            id,
            class: invite.class,
            patience: deadline.answer_by() - self.now,
            width: invite.width,
            destination: invite.destination,
            advised: invite.advised,
            in_transit: false,
            redialled: false,
            cut: invite.again,
        }));
    }

    /// Whether a message bears the id of a call whose answer was or will be given on this connection.
    fn is_owner(&self, conn: ConnId, message: &Message) -> bool {
        let Some(id) = invite::id(message).map(|(_, number)| CallId(number)) else { return false };
        self.calls.get(&id).is_some_and(|call| call.conn == conn)
            || self.standing.get(&id).is_some_and(|standing| standing.caller == conn)
    }

    /// A call that stands already at a server: taken up without a word to anybody.
    fn take_up(&mut self, conn: ConnId, invite: Invite) {
        let id = CallId(invite.number);
        if self.calls.contains_key(&id) {
            return;
        }
        if let Some(standing) = self.standing.get_mut(&id) {
            standing.caller = conn;
            return;
        }
        let server = invite.at.as_deref().and_then(|name| self.servers.named(name));
        let known = self.releases.cause_known(id);
        let gone = server.is_none_or(|server| !self.servers.can_be_heard(server));
        if let (Some(cause), _) | (None, Some(cause)) = (known, gone.then_some(41)) {
            // It is over, or nobody could tell when it is.
            self.trace(&invite.id, || format!("stands no more, cause {cause}"));
            if let Some(server) = server {
                self.release_at_server(server, &invite.id, &invite.called, 16, None);
            }
            return self.release_to_caller(id, invite.id, invite.called, cause, conn);
        }
        let Some(server) = server else { return };
        if self.standing.len() >= self.most_standing {
            // Anybody may name calls that never were: those that are held come first.
            self.stats.bad_callers += 1;
            return self.trace(&invite.id, || "not taken up: there is no room".to_owned());
        }
        self.trace(&invite.id, || "taken up as standing".to_owned());
        let standing = Standing {
            id: invite.id,
            called: invite.called,
            server,
            server_conn: None,
            caller: conn,
            attempt: 0,
            sent: self.now,
            since: self.now,
            acked: true,
        };
        self.stand(id, standing);
    }

    pub(crate) fn caller_acked(&mut self, conn: ConnId, message: &Message) {
        if let Some((_, number)) = invite::id(message) {
            if let Some(standing) = self.standing.get_mut(&CallId(number)) {
                standing.acked = true;
                self.caller_proven(conn);
            }
        }
    }

    pub(crate) fn caller_cancels(&mut self, conn: ConnId, message: &Message) {
        let Some((_, number)) = invite::id(message) else {
            return self.unusable(conn, message, 400, "Bad Call-ID");
        };
        let id = CallId(number);
        if self.calls.contains_key(&id) {
            self.caller_useful(conn);
            self.send(conn, response(200, "OK", message).finish(b""));
            self.terminated(id);
        } else if self.standing.get(&id).is_some_and(|standing| !standing.acked) {
            self.caller_useful(conn);
            self.send(conn, response(200, "OK", message).finish(b""));
            self.crossed_answer(id);
        } else {
            let now = self.now;
            self.releases.withdraw(now, id);
            self.unusable(conn, message, 481, "Call/Transaction Does Not Exist");
        }
    }

    /// A caller releases its call.
    pub(crate) fn caller_releases(&mut self, conn: ConnId, message: &Message) {
        let Some((_, number)) = invite::id(message) else {
            return self.unusable(conn, message, 400, "Bad Call-ID");
        };
        let (id, cause) = (CallId(number), cause_of(message));
        if self.standing.contains_key(&id) {
            self.caller_proven(conn);
            self.release_by_caller(id, cause);
        } else if self.calls.contains_key(&id) {
            // Released before its answer: the INVITE is answered all the same (RFC 3261 section 15.1.2).
            self.terminated(id);
        } else if !self.releases.crossed(id) {
            // It may be one that this process learns of later.
            let now = self.now;
            self.releases.keep_told(now, id, cause);
            self.releases.withdraw(now, id);
            return self.unusable(conn, message, 481, "Call/Transaction Does Not Exist");
        }
        self.caller_useful(conn);
        self.send(conn, response(200, "OK", message).finish(b""));
    }

    fn release_by_caller(&mut self, id: CallId, cause: u16) -> Option<Standing> {
        let standing = self.end_standing(id, Outcome::Ok, Report::default())?;
        self.release_at_server(standing.server, &standing.id, &standing.called, cause, standing.server_conn);
        Some(standing)
    }

    /// A caller's withdrawal, or its close, crossed the answer: nobody is there to speak. The call is
    /// released on both sides, for the caller may have read the answer meanwhile.
    fn crossed_answer(&mut self, id: CallId) {
        let Some(standing) = self.release_by_caller(id, 16) else { return };
        self.trace_id(id, "given up as it was answered");
        self.release_to_caller(id, standing.id, standing.called, 16, standing.caller);
    }

    /// A connection was closed by its caller: what was answered there just before and not acknowledged, the
    /// caller has not read. Any other call that stands belongs to no connection and goes on.
    pub(crate) fn release_unread(&mut self, conn: ConnId) {
        let now = self.now;
        let unread = self.standing.iter().filter(|(_, standing)| {
            standing.caller == conn && !standing.acked && now - standing.since <= CROSSED
        });
        for id in unread.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.crossed_answer(id);
        }
    }

    /// A caller withdrew its set-up: that is given up and answered so. A copy of its INVITE that is read
    /// later, on another connection, is not begun.
    fn terminated(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let (conn, ended) = (call.conn, response(487, "Request Terminated", &call.request).finish(b""));
        let now = self.now;
        self.releases.withdraw(now, id);
        self.caller_gone(id);
        self.send(conn, ended);
    }

    /// A caller that waits no longer: its call is forgotten and what is out for it withdrawn.
    pub(crate) fn caller_gone(&mut self, id: CallId) {
        self.withdraw(id);
        if self.finish(id).is_some() {
            self.stats.gone += 1;
            self.trace_id(id, "given up by its caller");
            self.tell(Event::CallerGone(id));
        }
        self.close_events();
    }

    // ---- Attempts ----

    /// Starts an attempt.
    pub(crate) fn attempt(&mut self, id: CallId, server: ServerId, timeout: Micros) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            // The caller left a moment ago.
            return self.tell(Event::Ended {
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
        let ends = if timeout > 0 { (now + timeout).min(last) } else { last };
        let timer = self.wheel.set(ends, Timer::Attempt(id, number));
        let carrier = self.carrier(server, id);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let to = carrier.unwrap_or(Carrier::Dial(DialId(u64::MAX)));
        call.attempt = Some(Attempt { number, server, sent: now, carrier: to, ends, timer });
        match carrier {
            Some(Carrier::Conn(conn)) => self.write_invite(id, conn),
            Some(Carrier::Dial(_)) => {}
            None => {
                self.end_attempt(id, Outcome::Unreachable, Reason::None, Report::default());
            }
        }
    }

    /// Writes the INVITE of the attempt that is out.
    pub(crate) fn write_invite(&mut self, id: CallId, conn: ConnId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(attempt) = &mut call.attempt else { return };
        attempt.carrier = Carrier::Conn(conn);
        let (server, number, waited) = (attempt.server, attempt.number, now - attempt.sent);
        let wait = ((attempt.ends - now) / 1000).max(1);
        let class = call.request.header("X-Cos").unwrap_or_default();
        let bytes = dialog(Method::Invite, &self.name, &call.id, &call.called, number + 1)
            .header("X-Cos", class)
            .header("X-Timer-Ms", wait)
            .finish(call.request.body());
        let trace = call.id.clone();
        self.servers.opened(conn, id, now);
        self.stats.attempts += 1;
        self.out.push(Output::Invite(conn, id, bytes));
        self.trace(&trace, || {
            let after = waited as f64 / 1e3;
            format!("attempt {number} to server {} for {wait} ms, {after:.1} ms after the choice", server.0)
        });
    }

    /// Takes the attempt that is out off its call and its connection.
    fn take_attempt(&mut self, id: CallId) -> Option<Attempt> {
        let attempt = self.calls.get_mut(&id)?.attempt.take()?;
        self.wheel.cancel(attempt.timer);
        self.servers.unopened(attempt.carrier, id);
        if let Carrier::Conn(conn) = attempt.carrier {
            // However it ended: what still waits for a server that does not read is not to begin.
            self.out.push(Output::Withdraw(conn, id, Vec::new()));
        }
        Some(attempt)
    }

    /// The attempt that is out ended so. The call goes on waiting for its answer.
    pub(crate) fn end_attempt(&mut self, id: CallId, outcome: Outcome, reason: Reason, report: Report) {
        let Some(attempt) = self.take_attempt(id) else { return };
        self.trace_id(id, &format!("attempt {} ended: {outcome:?}, {reason:?}", attempt.number));
        self.tell(Event::Ended {
            call: id,
            attempt: attempt.number,
            server: attempt.server,
            outcome,
            lag: self.now - attempt.sent,
            closed: false,
            reason,
            report,
        });
        self.release_superseded(id, attempt.server);
        if let Carrier::Conn(conn) = attempt.carrier {
            self.mind_server_conn(conn);
        }
    }

    /// The attempt that was out at a server came to nothing: what stands there of earlier ones is released, before
    /// anything further is begun.
    fn release_superseded(&mut self, id: CallId, server: ServerId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let stand: Vec<_> = call.superseded.extract_if(.., |(at, _)| *at == server).collect();
        let (text, called) = (call.id.clone(), call.called.clone());
        for (_, conn) in stand {
            self.trace_id(id, "an earlier attempt was answered after it was given up: released");
            self.release_at_server(server, &text, &called, 16, Some(conn));
        }
    }

    /// Gives the attempt that is out up, on the wire too.
    fn give_up(&mut self, id: CallId) -> Option<Attempt> {
        let attempt = self.calls.get(&id)?.attempt?;
        if let Carrier::Conn(conn) = attempt.carrier {
            let call = self.calls.get_mut(&id)?;
            call.spent.push(conn);
            let bytes =
                dialog(Method::Cancel, &self.name, &call.id, &call.called, attempt.number + 1).finish(b"");
            let (text, called) = (call.id.clone(), call.called.clone());
            self.out.push(Output::Withdraw(conn, id, bytes));
            let now = self.now;
            self.releases.abandon(now, id, attempt.server);
            if self.servers.doubt(conn, attempt.sent, now) {
                // Its answer may have been lost there: what may stand is released where it is sure to be read.
                self.release_elsewhere(attempt.server, &text, &called, conn);
            }
        }
        Some(attempt)
    }

    /// An attempt of a call whose caller left is withdrawn; the module hears of its end after the caller's.
    pub(crate) fn withdraw(&mut self, id: CallId) {
        if self.give_up(id).is_none() {
            return;
        }
        let Some(attempt) = self.take_attempt(id) else { return };
        self.closing.push(Event::Ended {
            call: id,
            attempt: attempt.number,
            server: attempt.server,
            outcome: Outcome::Cancelled,
            lag: self.now - attempt.sent,
            closed: true,
            reason: Reason::None,
            report: Report::default(),
        });
        self.release_superseded(id, attempt.server);
        if let Carrier::Conn(conn) = attempt.carrier {
            self.mind_server_conn(conn);
        }
    }

    pub(crate) fn close_events(&mut self) {
        for event in std::mem::take(&mut self.closing) {
            self.tell(event);
        }
    }

    pub(crate) fn cancel(&mut self, id: CallId, number: u32) {
        let out = self.calls.get(&id).and_then(|call| call.attempt);
        if let Some(attempt) = out.filter(|attempt| attempt.number == number) {
            self.give_up(id);
            self.end_attempt(id, attempt.given_up_as(Outcome::Cancelled), Reason::None, Report::default());
        }
    }

    pub(crate) fn attempt_late(&mut self, id: CallId, number: u32) {
        let out = self.calls.get(&id).and_then(|call| call.attempt);
        let Some(attempt) = out.filter(|attempt| attempt.number == number) else { return };
        self.give_up(id);
        self.end_attempt(id, attempt.given_up_as(Outcome::TimedOut), Reason::None, Report::default());
    }

    // ---- From call servers ----

    /// An attempt was answered: the call stands.
    pub(crate) fn attempt_answered(&mut self, id: CallId, conn: ConnId, message: &Message) {
        let now = self.now;
        if self.calls.get(&id).is_some_and(|call| now > call.deadline.door()) {
            return self.answered_late(id, conn);
        }
        let Some(attempt) = self.take_attempt(id) else { return };
        self.tell(Event::Started {
            call: id,
            attempt: attempt.number,
            server: attempt.server,
            lag: now - attempt.sent,
        });
        let Some(call) = self.answer(id, 200, "OK", message.body()) else { return };
        self.stats.stood += 1;
        self.caller_answered(call.conn);
        let standing = Standing {
            id: call.id,
            called: call.called,
            server: attempt.server,
            server_conn: Some(conn),
            caller: call.conn,
            attempt: attempt.number,
            sent: attempt.sent,
            since: now,
            acked: false,
        };
        self.stand(id, standing);
    }

    /// An attempt was answered, and its caller stops waiting before that could arrive: the turn came late,
    /// and the guard has not acted yet. What stands at the server is released, and the call failed as the
    /// guard does.
    fn answered_late(&mut self, id: CallId, conn: ConnId) {
        let Some(attempt) = self.take_attempt(id) else { return };
        if let Some(call) = self.calls.get(&id) {
            let (text, called) = (call.id.clone(), call.called.clone());
            self.release_at_server(attempt.server, &text, &called, 16, Some(conn));
        }
        self.trace_id(id, "answered when its caller waits no longer: released");
        // Told as the end of the call: the module begins nothing on it.
        self.tell(Event::Ended {
            call: id,
            attempt: attempt.number,
            server: attempt.server,
            outcome: Outcome::TimedOut,
            lag: self.now - attempt.sent,
            closed: true,
            reason: Reason::None,
            report: Report::default(),
        });
        self.guard(id);
    }

    fn stand(&mut self, id: CallId, standing: Standing) {
        self.servers.stands(standing.server, standing.server_conn, 1);
        self.standing.insert(id, standing);
    }

    /// A call that stood is over; its sides are the caller's business.
    pub(crate) fn end_standing(&mut self, id: CallId, outcome: Outcome, report: Report) -> Option<Standing> {
        let standing = self.standing.remove(&id)?;
        self.servers.stands(standing.server, standing.server_conn, -1);
        let now = self.now;
        self.releases.keep_over(now, id, if outcome == Outcome::Ok { 16 } else { 41 });
        if outcome != Outcome::Ok {
            self.stats.cut += 1;
        }
        self.tell(Event::Ended {
            call: id,
            attempt: standing.attempt,
            server: standing.server,
            outcome,
            lag: self.now - standing.sent,
            closed: true,
            reason: Reason::None,
            report,
        });
        Some(standing)
    }

    /// Standing calls of a server that is no more are over. `begun` is a moment before which they must have begun.
    pub(crate) fn lose_standing(&mut self, server: ServerId, begun: Micros, why: &'static str) {
        let lost = self.standing.iter().filter(|(_, call)| call.server == server && call.since < begun);
        let lost: Vec<_> = lost.map(|(id, _)| *id).collect();
        if lost.is_empty() {
            return;
        }
        let name = self.servers.name(server);
        self.notice(Notice::CallsLost { server: name, calls: lost.len(), why });
        for id in lost {
            if let Some(standing) = self.end_standing(id, Outcome::Reset, Report::default()) {
                self.release_to_caller(id, standing.id, standing.called, 41, standing.caller);
            }
        }
    }

    // ---- The tables ----

    /// Takes a call out of the table of those that wait for an answer.
    pub(crate) fn finish(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.wheel.cancel(call.guard);
        if let Some(caller) = self.callers.conns.get_mut(&call.conn) {
            caller.open = caller.open.saturating_sub(1);
            // Its answer is still to be read there, and acknowledged.
            caller.useful = Some(self.now);
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

/// A request toward a call server or a caller, about one call.
pub(crate) fn dialog(
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

/// The cause of a release (RFC 3326, Q.850); 16, normal clearing, where none is told.
pub(crate) fn cause_of(message: &Message) -> u16 {
    let reason = message.header("Reason").unwrap_or_default();
    let cause = reason.split([';', ' ', ',']).find_map(|part| part.trim().strip_prefix("cause="));
    cause.and_then(|cause| cause.trim().parse().ok()).unwrap_or(16)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn giving_up_an_attempt_whose_connection_is_not_up_proves_that_nothing_ran() {
        let timer = lemoncleat_core::Wheel::new().set(0, ());
        let (number, server, sent, ends) = (0, ServerId(0), 0, 0);
        let on = |carrier| Attempt { number, server, sent, carrier, ends, timer };
        assert_eq!(on(Carrier::Dial(DialId(1))).given_up_as(Outcome::Cancelled), Outcome::Unreachable);
        assert_eq!(on(Carrier::Conn(ConnId(1))).given_up_as(Outcome::Cancelled), Outcome::Cancelled);
    }
}
