//! Messages from call servers: answers, releases, reports and responses to tests.

use lemoncleat::{CallId, Event, Outcome, Reason, Report, ServerId};
use lemoncleat_core::Micros;
use lemoncleat_platform::{diagnosis, report_of_text};
use lemoncleat_sip::{response, Message, Method, Start};

use crate::calls::{cause_of, dialog_request, AttemptPath};
use crate::description;
use crate::interface::ConnId;
use crate::invite;
use crate::node::AccessNode;
use crate::notice::Notice;

impl AccessNode {
    pub(crate) fn server_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.now;
        if let Some(state) = self.servers.conns.get_mut(&conn) {
            state.reader.push(bytes);
        }
        while let Some(state) = self.servers.conns.get_mut(&conn) {
            match state.reader.next_message() {
                Ok(Some(_)) if !state.reader.rest_is_plausible() => {
                    self.stats.bad_server_messages += 1;
                    return self.drop_server_conn(conn, Some("data after a message is not a SIP message"));
                }
                Ok(Some(message)) => {
                    let server = state.server;
                    (state.last_received_at, state.unanswered_since) = (now, None);
                    (state.suspect, state.partial_since) = (false, None);
                    if let Some(server) = self.servers.all.get_mut(&server) {
                        server.last_received_at = now;
                    }
                    self.servers.message_received(conn);
                    self.send_pending_releases_to(conn, server);
                    self.server_message(conn, server, message);
                }
                Ok(None) => {
                    // A message that arrives slowly has not stopped: the module decides how long a set-up may
                    // wait for it.
                    state.partial_since = state.reader.is_partial().then_some(now);
                    return;
                }
                Err(malformed) => {
                    self.stats.bad_server_messages += 1;
                    return self.drop_server_conn(conn, Some(malformed.fault.as_str()));
                }
            }
        }
    }

    fn server_message(&mut self, conn: ConnId, server: ServerId, message: Message) {
        if let (true, Some(report)) = (self.tracing, message.header("X-Occupancy")) {
            let (name, report) = (self.servers.name(server), report.to_owned());
            let previous_view = self.controller.view(server).unwrap_or_default();
            self.notice(Notice::LoadReport { server: name, report, previous_view });
        }
        match message.start() {
            Start::Response { code } => {
                let code = *code;
                match message.cseq().map(|cseq| cseq.method) {
                    Some(Method::Invite) => self.server_answers(conn, server, code, &message),
                    Some(Method::Options) => self.probe_answered(server, code, &message),
                    // Responses to BYE and CANCEL need no action.
                    _ => {}
                }
            }
            Start::Request { method, .. } => match method {
                Method::Bye => self.server_releases(conn, server, &message),
                Method::Notify => {
                    self.servers.report_received(conn, self.now);
                    let report = report_of(&message);
                    self.queue_event(Event::Probed { server, outcome: Outcome::Ok, lag: 0, report });
                }
                Method::Options => self.send(conn, response(200, "OK", &message).finish(b"")),
                _ => {}
            },
        }
    }

    fn server_answers(&mut self, conn: ConnId, server: ServerId, code: u16, message: &Message) {
        let Some((_, number)) = invite::call_id(message) else { return };
        let id = CallId(number);
        if code < 200 {
            return;
        }
        // The platform's servers match answers by call and method alone: whatever number they put into CSeq,
        // only the connection tells which attempt an answer belongs to.
        let current_attempt = self.calls.get(&id).and_then(|call| call.attempt);
        if current_attempt.is_none_or(|current_attempt| current_attempt.path != AttemptPath::Conn(conn)) {
            return self.late_answer(conn, server, id, code, message);
        }
        if code < 300 && !description::is_complete(message.body()) {
            self.stats.bad_server_messages += 1;
            return self.drop_server_conn(conn, Some("incomplete session description in an answer"));
        }
        self.acknowledge(conn, message);
        let reason = message.header("X-Diagnosis").unwrap_or_default();
        let lag = message.header("X-Lag").and_then(|lag| lag.trim().parse::<f64>().ok());
        let wait = lag.filter(|lag| lag.is_finite()).map_or(0, |lag| (lag * 1e3) as Micros);
        let (reason, report) = (diagnosis(reason, wait), report_of(message));
        // A second copy of this answer must not find a further attempt of the call on this connection.
        if let Some(call) = self.calls.get_mut(&id) {
            call.used_conns.push(conn);
        }
        let outcome = match code {
            200..300 => return self.attempt_answered(id, conn, message),
            503 => Outcome::Full,
            480 => Outcome::Moot,
            504 => Outcome::Reset,
            _ => Outcome::Error,
        };
        self.end_attempt(id, outcome, reason, report);
    }

    /// Handles an answer that no attempt waits for: a second copy, or the answer to an attempt that was given
    /// up.
    fn late_answer(&mut self, conn: ConnId, server: ServerId, id: CallId, code: u16, message: &Message) {
        if !self.releases.abandoned_answered(id, server) {
            return self.trace_id(id, &format!("{code} of server {} is nobody's", server.0));
        }
        self.acknowledge(conn, message);
        if !(200..300).contains(&code) {
            return;
        }
        let further = self.calls.get_mut(&id);
        let further = further
            .filter(|call| call.attempt.is_some_and(|current_attempt| current_attempt.server == server));
        if let Some(call) = further {
            // Servers identify calls by their id alone: a release now could end the further attempt.
            if !call.superseded.contains(&(server, conn)) {
                call.superseded.push((server, conn));
            }
            return self
                .trace_id(id, "answered after it was given up: released if the further attempt fails");
        }
        if self.standing.get(&id).is_some_and(|standing| standing.server == server) {
            return;
        }
        self.trace_id(id, "answered after it was given up: released");
        if let Some((call_id, _)) = invite::call_id(message) {
            self.write_release(conn, call_id, "late", 16);
        }
    }

    fn acknowledge(&mut self, conn: ConnId, message: &Message) {
        let (Some((id, _)), Some(cseq)) = (invite::call_id(message), message.cseq()) else { return };
        let bytes = dialog_request(Method::Ack, &self.name, id, "call", cseq.number).finish(b"");
        self.send(conn, bytes);
    }

    fn server_releases(&mut self, conn: ConnId, server: ServerId, message: &Message) {
        let Some((_, number)) = invite::call_id(message) else { return };
        let (id, cause) = (CallId(number), cause_of(message));
        self.send(conn, response(200, "OK", message).finish(b""));
        let report = report_of(message);
        let current_attempt = self.calls.get(&id).and_then(|call| call.attempt);
        if self.standing.get(&id).is_some_and(|standing| standing.server == server) {
            let outcome = if cause == 16 { Outcome::Ok } else { Outcome::Reset };
            if let Some(standing) = self.end_standing(id, outcome, report) {
                self.trace(&standing.id, || format!("released by server {}, cause {cause}", server.0));
                self.release_to_caller(id, standing.id, standing.called, cause, standing.caller);
                self.maintain_server(server);
            }
        } else if current_attempt
            .is_some_and(|current_attempt| current_attempt.path == AttemptPath::Conn(conn))
        {
            // If the server answers nevertheless, that call is released.
            self.releases.abandon(self.now, id, server);
            if let Some(call) = self.calls.get_mut(&id) {
                call.used_conns.push(conn);
            }
            self.end_attempt(id, Outcome::Reset, Reason::None, report);
        } else if current_attempt.is_none() && !self.releases.was_abandoned(id, server) {
            // The call may have been established before this process started.
            let now = self.now;
            self.releases.record_unknown(now, id, cause);
        }
    }

    // ---- Tests ----

    /// Tests a server at the module's request.
    pub(crate) fn probe(&mut self, server: ServerId) {
        let now = self.now;
        let Some(conn) = self.servers.healthy_conn(server, None) else {
            let report = Report::default();
            return self.queue_event(Event::Probed { server, outcome: Outcome::Unreachable, lag: 0, report });
        };
        let id = format!("{:016x}", now as u64);
        let bytes = dialog_request(Method::Options, &self.name, &id, "ping", 1).finish(b"");
        self.send(conn, bytes);
    }

    fn probe_answered(&mut self, server: ServerId, code: u16, message: &Message) {
        let sent_at = invite::call_id(message).map_or(self.now, |(_, at)| at as Micros);
        let outcome = if (200..300).contains(&code) { Outcome::Ok } else { Outcome::Full };
        let lag = (self.now - sent_at).max(0);
        self.queue_event(Event::Probed { server, outcome, lag, report: report_of(message) });
    }
}

fn report_of(message: &Message) -> Report {
    message.header("X-Occupancy").map_or_else(Report::default, report_of_text)
}
