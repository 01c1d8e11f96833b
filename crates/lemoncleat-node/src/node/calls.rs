//! Calls: set-ups from clients, attempts at servers, answers and releases.

use super::*;

impl Node {
    // ---- Messages ----

    pub(super) fn dispatch(&mut self, peer: PeerId, conn: ConnId, message: &MessageRef<'_>) {
        if !message.header.is_request() {
            return self.handle_answer(peer, message);
        }
        let slot = &self.peers[peer.0 as usize];
        let role = slot.role;
        if role != Role::Client && !slot.peer.is_open() {
            // The request crossed the node's DPR. A server's calls have ended by then, and messages of
            // members are not waited for.
            return;
        }
        if let Err(fault) = self.check_acceptable(role, message) {
            self.stats.turned_away += 1;
            let host = self.host(peer);
            self.notice(Notice::BadRequest(host, fault.result, fault.text.clone()));
            let answer = refusal(message, &fault, &self.local.host, &self.local.realm);
            let patience = message.number(d::SETUP_PATIENCE).filter(|_| message.header.command == d::CMD_AA);
            let deadline = patience.map(|ms| {
                let margin = self.settings.timing.answer_margin;
                Deadline::new(self.arrival_time(), Micros::from(ms) * 1_000, margin)
            });
            self.send_final_answer(conn, deadline, answer);
            return;
        }
        if role == Role::Client && self.defer(peer, conn, message) {
            return;
        }
        match (role, message.header.command) {
            (Role::Client, d::CMD_AA) => self.set_up(peer, conn, self.arrival_time(), message),
            (Role::Client, _) => self.session_terminated(conn, message),
            (Role::Server(_), _) if self.trunk(peer).is_some() => {
                self.handle_circuit_request(peer, conn, message)
            }
            (Role::Server(_), _) => self.session_aborted(peer, conn, message),
            (Role::Member(member), _) => self.word_received(member, conn, message),
        }
    }

    /// Checks whether the node accepts a request: well formed, addressed to it, not looped, and of a kind
    /// that such a peer may send.
    pub(super) fn check_acceptable(&self, role: Role, message: &MessageRef<'_>) -> Result<(), Fault> {
        match role {
            Role::Member(_) => check_member_request(message)?,
            Role::Client | Role::Server(_) => check_request(message)?,
        }
        let fault = |result, text: String| Err(Fault { result, text, failed: Vec::new() });
        let looped = message.avps().map_while(Result::ok).any(|avp| {
            avp.code == d::ROUTE_RECORD.code && avp.vendor.is_none() && avp.data == self.local.host.as_bytes()
        });
        if looped {
            return fault(code::LOOP_DETECTED, "this node stands in a Route-Record".to_owned());
        }
        if let Some(realm) = message.text(d::DESTINATION_REALM) {
            if !realm.eq_ignore_ascii_case(&self.local.realm) {
                return fault(code::REALM_NOT_SERVED, format!("realm {realm} is not served here"));
            }
        }
        let to_a_client = role != Role::Client && message.header.command == d::CMD_AA;
        if let Some(host) = message.text(d::DESTINATION_HOST).filter(|_| !to_a_client) {
            if !host.eq_ignore_ascii_case(&self.local.host) {
                return fault(code::UNABLE_TO_DELIVER, format!("{host} can't be reached through this node"));
            }
        }
        let allowed = match role {
            Role::Client => [d::CMD_AA, d::CMD_SESSION_TERMINATION].contains(&message.header.command),
            Role::Server(_) if self.settings.circuits.is_some() => true,
            Role::Server(_) => message.header.command == d::CMD_ABORT_SESSION,
            Role::Member(_) => message.header.command == d::CMD_FLEET,
        };
        if !allowed {
            let name = d::command_name(message.header.command).unwrap_or("this command");
            return fault(code::COMMAND_UNSUPPORTED, format!("{name} is not taken from such a peer"));
        }
        if message.find(d::FLEET_WORD).is_some_and(|word| word.data.len() > MAX_WORD_BYTES) {
            return fault(code::INVALID_AVP_LENGTH, format!("a word of more than {MAX_WORD_BYTES} bytes"));
        }
        Ok(())
    }

    // ---- Calls: from clients ----

    /// Handles a set-up. `arrived` may be earlier than the current time.
    pub(super) fn set_up(&mut self, client: PeerId, conn: ConnId, arrived: Micros, message: &MessageRef<'_>) {
        let origin = message.text(d::ORIGIN_HOST).unwrap_or_default();
        let host = match self.hosts.get_key_value(origin) {
            Some((host, _)) => host.clone(),
            None => origin.into(),
        };
        let request = EndToEnd { host, id: message.header.end_to_end };
        let number = message.text(d::CALLED_STATION_ID);
        let route = number.and_then(|number| self.settings.plan.find(number));
        let class = route.and_then(|route| self.settings.module.classes.get(route.class));
        let longest = class.map_or(0, |class| class.deadline);
        let requested = message.number(d::SETUP_PATIENCE).map(|ms| Micros::from(ms) * 1_000);
        let patience = match class {
            Some(_) => requested.map_or(longest, |requested| requested.min(longest)),
            // Without a class there is no upper limit; the request is refused in any case.
            None => requested.unwrap_or(NO_CLASS_PATIENCE_US),
        };
        let deadline = Deadline::new(arrived, patience, self.settings.timing.answer_margin);
        match self.duplicates.receive(self.now, request.clone(), (self.next_call, deadline)) {
            Seen::New => {}
            Seen::Pending((id, _)) => {
                self.stats.repeats += 1;
                // The same call on a newer connection: its only answer is sent there.
                if let Some(call) = self.calls.get_mut(&id) {
                    call.hop_by_hop = message.header.hop_by_hop;
                }
                return self.move_call(id, client, conn);
            }
            Seen::Answered(original, answer) => {
                self.stats.repeats += 1;
                let transmission = (client, conn, message.header.hop_by_hop);
                return self.reply_to_repeat(transmission, original, &request, &answer);
            }
        }
        if !self.may_answer(deadline) {
            // Read only after its caller had given up: nothing is sent for it, nor for its repeats.
            self.stats.withheld += 1;
            return self.duplicates.answer(self.now, &request, &[]);
        }
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        let rejection = if self.stopping {
            Some((code::TOO_BUSY, "this node is stopping"))
        } else if let Some(text) = self.fence_reason() {
            Some((code::TOO_BUSY, text))
        } else if self.peers[client.0 as usize].leaving {
            Some((code::UNABLE_TO_DELIVER, "this node takes no more calls of this client"))
        } else if self.calls.len() >= self.settings.max_calls {
            let host = self.host(client);
            self.notice(Notice::CallLimitReached(host));
            Some((code::TOO_BUSY, "too many calls at this node"))
        } else if self.sessions.contains_key(session) {
            Some((code::UNABLE_TO_COMPLY, "a call of this session is under way"))
        } else if number.is_none() {
            Some((code::MISSING_AVP, "Called-Station-Id is missing"))
        } else if route.is_none() {
            Some((code::UNABLE_TO_DELIVER, "no route for the number called"))
        } else if deadline.fail_at() <= self.now {
            Some((code::UNABLE_TO_DELIVER, "no time is left to set the call up"))
        } else {
            None
        };
        let (Some(route), None) = (route, rejection) else {
            let (result, text) =
                rejection.unwrap_or((code::UNABLE_TO_DELIVER, "no route for the number called"));
            self.stats.turned_away += 1;
            let answer = self.local.sign(MessageBuilder::answer(message, result));
            let answer = self.add_retry_hint(text, answer.add_str(d::ERROR_MESSAGE, text)).build();
            self.duplicates.answer(self.now, &request, &answer);
            self.send_final_answer(conn, Some(deadline), answer);
            // A repeat whose answer is no longer kept: its call must not stay established behind this
            // failure.
            let unkept = self.sessions.get(session).copied();
            let unkept = unkept.filter(|id| self.calls.get(id).is_some_and(|c| c.request == request));
            if let Some(id) = unkept {
                self.move_call(id, client, conn);
                self.cut_call(id, "its answer was no longer kept");
            }
            return;
        };
        let id = self.next_call;
        self.next_call += 1;
        self.stats.calls += 1;
        let session: Arc<str> = session.into();
        let timer = self.wheel.set(deadline.fail_at(), Timer::Deadline(id));
        self.sessions.insert(session.clone(), id);
        let call = Call {
            session,
            client,
            conn,
            hop_by_hop: message.header.hop_by_hop,
            request,
            bytes: message.bytes.into(),
            deadline,
            deadline_timer: Some(timer),
            attempts: 0,
            pending: None,
            standing: None,
            circuit: None,
            answer_undelivered: false,
        };
        self.calls.insert(id, call);
        self.peers[client.0 as usize].calls += 1;
        let host = self.host(client);
        self.trace_step(id, || CallStep::Arrived(host));
        let marks = message.number(d::CALL_MARKS).unwrap_or(0);
        self.events.push_back(Event::Call(NewCall {
            id: CallId(id),
            class: route.class,
            patience: (deadline.answer_by() - self.now).max(1),
            width: 1.0,
            destination: route.place,
            advised: None,
            in_transit: false,
            redialled: marks & d::MARK_REDIALLED != 0,
            cut: marks & d::MARK_CUT != 0,
        }));
    }

    /// Moves a call to the client and connection on which its request was repeated.
    pub(super) fn move_call(&mut self, id: u64, client: PeerId, conn: ConnId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.conn = conn;
        let before = std::mem::replace(&mut call.client, client);
        let call_count = &mut self.peers[before.0 as usize].calls;
        *call_count = call_count.saturating_sub(1);
        self.peers[client.0 as usize].calls += 1;
        if self.stopping && before != client {
            self.finish_stopping(false);
        }
        self.close_removed_client(before);
    }

    pub(super) fn session_terminated(&mut self, conn: ConnId, message: &MessageRef<'_>) {
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        let call = self.sessions.get(session).copied();
        let known = call.is_some() || self.release_incoming_call(session);
        let result = if known { code::SUCCESS } else { code::UNKNOWN_SESSION_ID };
        if let Some(id) = call {
            if self.calls.get(&id).is_some_and(|call| call.standing.is_some()) {
                self.end_standing_call(id, CAUSE_LOGOUT, Outcome::Ok, "released by the caller");
            } else {
                // The set-up still needs its answer, which is sent before the release is confirmed.
                self.stats.left += 1;
                self.answer_failure(id, code::UNABLE_TO_COMPLY, "released before it stood", 0);
                self.events.push_back(Event::CallerGone(CallId(id)));
            }
        }
        let answer = self.local.sign(MessageBuilder::answer(message, result)).build();
        self.send(conn, answer);
    }

    /// Handles the loss of a caller: no answer is owed, and everything that the call holds is released.
    pub(super) fn caller_left(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else { return };
        if call.standing.is_some() {
            return self.end_standing_call(id, CAUSE_LINK_BROKEN, Outcome::Ok, "its client is gone");
        }
        self.stats.left += 1;
        self.events.push_back(Event::CallerGone(CallId(id)));
        self.give_up_attempt(id, Outcome::Cancelled, true);
        let request = self.calls.get(&id).map(|call| call.request.clone());
        if let Some(request) = request {
            self.duplicates.drop_pending(&request);
        }
        self.trace_step(id, || CallStep::Ended("its caller left"));
        self.remove_call(id);
    }

    /// Safeguard of last resort for the rule that every call is answered in time: shortly before the caller
    /// gives up, a call without an answer is failed. The module normally answers well before; this covers a
    /// module that does not.
    pub(super) fn deadline_guard(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.deadline_timer = None;
        if call.standing.is_some() {
            if call.answer_undelivered {
                self.end_standing_call(id, CAUSE_LINK_BROKEN, Outcome::Ok, "its answer was never delivered");
            }
            return;
        }
        if self.gap.is_none() {
            self.stats.last_moment += 1;
            self.notice(Notice::DeadlineGuard(id));
        }
        self.answer_failure(id, code::UNABLE_TO_DELIVER, "the call could not be set up in time", 0);
        self.events.push_back(Event::CallerGone(CallId(id)));
    }

    // ---- Calls: to servers ----

    pub(super) fn send_call(&mut self, id: u64, server: ServerId, timeout: Micros) {
        let Some(call) = self.calls.get(&id) else { return };
        if self.peers[call.client.0 as usize].peer.connection().is_none() {
            // The caller is disconnected, and only a repeat of its request, on a new connection, could show
            // that it still waits. The answer is kept for such a repeat, so that no part of this call runs a
            // second time beside what was given up.
            self.stats.left += 1;
            let attempt = call.attempts;
            self.answer_failure(id, code::UNABLE_TO_DELIVER, "its client was away", 0);
            self.events.push_back(Event::Ended {
                call: CallId(id),
                attempt,
                server,
                outcome: Outcome::Moot,
                lag: 0,
                closed: true,
                reason: Reason::None,
                report: Report::default(),
            });
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        debug_assert!(call.pending.is_none(), "a second attempt while one is out");
        let number = call.attempts;
        call.attempts += 1;
        let limit = self.settings.max_queue;
        let too_late = self.now >= call.deadline.answer_by();
        let state = self.servers.get(server).filter(|_| !too_late);
        let conn = state.and_then(|state| {
            let slot = self.peers.get(state.peer.0 as usize)?;
            let conn = slot.peer.connection().filter(|_| slot.peer.is_usable())?;
            let room = self.conns.get(&conn)?.queued <= limit;
            Some((state.peer, state.host.clone(), conn, room))
        });
        let Some((peer, host, conn, true)) = conn else {
            if let Some((_, host, _, _)) = conn {
                self.notice(Notice::QueueFull(host));
            }
            // Too late for an answer: nothing is sent.
            let outcome = if too_late { Outcome::Moot } else { Outcome::Unreachable };
            self.trace_step(id, || CallStep::AttemptFailed(outcome));
            self.events.push_back(Event::Ended {
                call: CallId(id),
                attempt: number,
                server,
                outcome,
                lag: 0,
                closed: false,
                reason: Reason::None,
                report: Report::default(),
            });
            return;
        };
        let left = call.deadline.answer_by() - self.now;
        let timeout = if timeout > 0 { timeout.min(left) } else { left };
        let timer = self.wheel.set(self.now + timeout, Timer::Attempt(id, number));
        let attempt =
            Attempt { server, peer, hop_by_hop: 0, number, sent: self.now, timer, circuit: None, yields: 0 };
        call.pending = Some(attempt);
        self.stats.attempts += 1;
        if self.trunk(peer).is_some() {
            return self.seize_for_attempt(id, false);
        }
        let request = Request::SetUp { call: id, token: None };
        let hop_by_hop = self.peers[peer.0 as usize].requests.begin(request);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.pending = Some(Attempt { hop_by_hop, ..attempt });
        let client = &self.peers[call.client.0 as usize].host;
        let bytes = attempt_request(call, hop_by_hop, number > 0, &host, client, None);
        self.trace_step(id, || CallStep::Sent(host));
        if let Some(bytes) = bytes {
            self.send(conn, bytes);
        }
    }

    /// Gives up the pending attempt. The server is told at once, so that it can drop the set-up; a success
    /// that arrives nevertheless is released too.
    pub(super) fn give_up_attempt(&mut self, id: u64, outcome: Outcome, closed: bool) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some(pending) = call.pending else { return };
        let session = call.session.clone();
        if let Some(slot) = self.peers.get_mut(pending.peer.0 as usize) {
            if let Some(request) = slot.requests.get_mut(pending.hop_by_hop) {
                let token = match request {
                    Request::SetUp { token, .. } => *token,
                    _ => None,
                };
                *request = Request::Abandoned { session: session.clone(), token };
                let timer = Timer::RequestTimeout(pending.peer, slot.epoch, pending.hop_by_hop);
                self.wheel.set(self.now + self.settings.timing.late_answers, timer);
            }
        }
        self.release_call(pending.peer, pending.circuit, &session, CAUSE_NOT_PROVIDED);
        self.attempt_ended(id, outcome, Reason::None, None, closed);
    }

    /// Removes the pending attempt from the call and reports its outcome to the module.
    pub(super) fn attempt_ended(
        &mut self,
        id: u64,
        outcome: Outcome,
        reason: Reason,
        report: Option<Report>,
        closed: bool,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(pending) = call.pending.take() else { return };
        self.wheel.cancel(pending.timer);
        self.trace_step(id, || CallStep::AttemptFailed(outcome));
        let report = match self.trunk(pending.peer) {
            Some(trunk) => Some(trunk.report(report)),
            None => report,
        };
        self.events.push_back(Event::Ended {
            call: CallId(id),
            attempt: pending.number,
            server: pending.server,
            outcome,
            lag: self.now - pending.sent,
            closed,
            reason,
            report: report.unwrap_or_default(),
        });
    }

    /// Releases a call at its server: by its circuit if there is a trunk group.
    pub(super) fn release_call(
        &mut self,
        peer: PeerId,
        circuit: Option<u32>,
        session: &Arc<str>,
        cause: u32,
    ) {
        if self.trunk(peer).is_none() {
            return self.release(peer, session, cause, 0);
        }
        if let Some(circuit) = circuit {
            self.with_group(peer, |group, now, out| group.release(now, circuit, out));
        }
    }

    /// Handles the timeout of a request of this node.
    pub(super) fn request_timed_out(&mut self, peer: PeerId, id: u32) {
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        let Some(Request::Release { session, cause, tries }) = slot.requests.finish(id) else { return };
        if tries + 1 >= MAX_RELEASE_TRIES {
            return;
        }
        if !self.session_in_use_at(peer, &session) {
            return self.release(peer, &session, cause, tries + 1);
        }
        // Checked again later: if the newer attempt fails, the earlier one still has to be released.
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        let repeat = slot.requests.begin(Request::Release { session, cause, tries: tries + 1 });
        let timer = Timer::RequestTimeout(peer, slot.epoch, repeat);
        self.wheel.set(self.now + RELEASE_RETRY_INTERVAL_US, timer);
    }

    /// Returns whether a later attempt of a call that was given up at a server is pending or established at
    /// the same server. It has the same session, which a release of the earlier attempt would end.
    pub(super) fn session_in_use_at(&self, peer: PeerId, session: &str) -> bool {
        let call = self.sessions.get(session).and_then(|call| self.calls.get(call));
        call.is_some_and(|call| {
            call.standing.is_some_and(|(_, server_peer)| server_peer == peer)
                || call.pending.is_some_and(|pending| pending.peer == peer)
        })
    }

    /// Asks a server to release a session, now or when it has reconnected.
    pub(super) fn release(&mut self, peer: PeerId, session: &Arc<str>, cause: u32, tries: u32) {
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        let Some(conn) = slot.peer.connection().filter(|_| slot.peer.is_open()) else {
            return self.queue_release(peer, session.clone());
        };
        let request = Request::Release { session: session.clone(), cause, tries };
        let hop_by_hop = slot.requests.begin(request);
        let timer = Timer::RequestTimeout(peer, slot.epoch, hop_by_hop);
        self.wheel.set(self.now + RELEASE_RETRY_INTERVAL_US, timer);
        let end_to_end = self.rng.random();
        let request =
            MessageBuilder::request(d::CMD_SESSION_TERMINATION, d::APP_NAS, true, hop_by_hop, end_to_end)
                .add_str(d::SESSION_ID, session);
        let request = self
            .local
            .sign(request)
            .add_str(d::DESTINATION_REALM, &self.local.realm)
            .add_str(d::DESTINATION_HOST, &slot.host)
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
            .add_u32(d::TERMINATION_CAUSE, cause)
            .retransmitted(tries > 0);
        self.send(conn, request.build());
    }

    // ---- Calls: from servers ----

    pub(super) fn handle_answer(&mut self, peer: PeerId, message: &MessageRef<'_>) {
        let id = message.header.hop_by_hop;
        let request = self.peers[peer.0 as usize].requests.finish(id);
        match request {
            Some(Request::SetUp { call, token: None }) => self.set_up_answered(call, message),
            Some(Request::SetUp { call, token: Some(token) }) => {
                let current = self
                    .calls
                    .get(&call)
                    .and_then(|call| call.pending)
                    .is_some_and(|pending| pending.hop_by_hop == id);
                let call_reply = self.seizure_answered(peer, token, message);
                if current && call_reply.is_some() {
                    self.set_up_answered(call, message);
                }
            }
            Some(Request::Abandoned { token: Some(token), .. }) => {
                if message.result_code() == code::SUCCESS {
                    self.stats.late += 1;
                    let host = self.host(peer);
                    self.notice(Notice::LateAnswer(host));
                }
                self.seizure_answered(peer, token, message);
            }
            Some(Request::Circuits { token }) => {
                let reply = lemoncleat_circuits::wire::read_supervision_answer(message);
                self.with_group(peer, |group, now, out| group.reply(now, token, &reply, out));
            }
            Some(Request::Incoming { server, circuit, call }) => {
                self.client_answered(server, circuit, call, message.result_code());
            }
            Some(Request::Abandoned { session, token: None }) => {
                if message.result_code() == code::SUCCESS {
                    self.stats.late += 1;
                    let host = self.host(peer);
                    self.notice(Notice::LateAnswer(host));
                    if !self.session_in_use_at(peer, &session) {
                        self.release(peer, &session, CAUSE_NOT_PROVIDED, 0);
                    }
                }
            }
            Some(Request::Release { .. } | Request::Abort | Request::FleetWord) => {}
            None => {
                let host = self.host(peer);
                self.notice(Notice::UnknownAnswer(host, id));
            }
        }
    }

    pub(super) fn set_up_answered(&mut self, id: u64, message: &MessageRef<'_>) {
        let Some((pending, session)) =
            self.calls.get(&id).and_then(|call| Some((call.pending?, call.session.clone())))
        else {
            return;
        };
        if !translate::is_answer_for(message, &session) {
            // It is unknown whether the call is established there: it is released, and the answer is not
            // passed on.
            let host = self.host(pending.peer);
            self.notice(Notice::BadAnswer(host, message.header.hop_by_hop));
            self.release_call(pending.peer, pending.circuit, &session, CAUSE_NOT_PROVIDED);
            return self.attempt_ended(id, Outcome::Reset, Reason::None, None, false);
        }
        let report = translate::report(message);
        if message.result_code() != code::SUCCESS {
            let (outcome, reason) = translate::outcome(message);
            return self.attempt_ended(id, outcome, reason, report, false);
        }
        self.wheel.cancel(pending.timer);
        self.events.push_back(Event::Started {
            call: CallId(id),
            attempt: pending.number,
            server: pending.server,
            lag: self.now - pending.sent,
        });
        let report = match self.trunk(pending.peer) {
            Some(trunk) => Some(trunk.report(report)),
            None => report,
        };
        if let Some(report) = report {
            self.events.push_back(Event::Probed {
                server: pending.server,
                outcome: Outcome::Ok,
                lag: 0,
                report,
            });
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.pending = None;
        call.circuit = pending.circuit;
        let answer = success_answer(call, message);
        if self.now > call.deadline.door() {
            return self.established_too_late(id, pending, answer);
        }
        call.standing = Some((pending.server, pending.peer));
        call.bytes = Box::default();
        self.standing += 1;
        self.stats.stood += 1;
        self.peers[pending.peer.0 as usize].calls += 1;
        self.trace_step(id, || CallStep::Established);
        self.reply(id, answer);
    }

    /// Handles a success that arrives after its caller's deadline: it is released at its server, and nothing
    /// is sent to the client.
    fn established_too_late(&mut self, id: u64, pending: Attempt, answer: Vec<u8>) {
        let Some(session) = self.calls.get(&id).map(|call| call.session.clone()) else { return };
        self.stats.late += 1;
        self.reply(id, answer);
        self.trace_step(id, || CallStep::Ended("it was established after its deadline"));
        self.release_call(pending.peer, pending.circuit, &session, CAUSE_NOT_PROVIDED);
        self.remove_call(id);
        self.events.push_back(Event::Ended {
            call: CallId(id),
            attempt: pending.number,
            server: pending.server,
            outcome: Outcome::Cancelled,
            lag: self.now - pending.sent,
            closed: true,
            reason: Reason::None,
            report: Report::default(),
        });
    }

    pub(super) fn session_aborted(&mut self, peer: PeerId, conn: ConnId, message: &MessageRef<'_>) {
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        let call = self.sessions.get(session).copied().filter(|id| {
            let standing = self.calls.get(id).and_then(|call| call.standing);
            standing.is_some_and(|(_, server_peer)| server_peer == peer)
        });
        let result = if call.is_some() { code::SUCCESS } else { code::UNKNOWN_SESSION_ID };
        let answer = self.local.sign(MessageBuilder::answer(message, result)).build();
        self.send(conn, answer);
        if let Some(id) = call {
            self.cut_call(id, "aborted by its server");
        }
    }

    // ---- Calls: answers and ends ----

    /// Sends the final answer of a call that is not established.
    pub(super) fn answer_failure(&mut self, id: u64, result: u32, text: &str, retry_after: Micros) {
        self.give_up_attempt(id, Outcome::Cancelled, true);
        let Some(call) = self.calls.get(&id) else { return };
        let Ok(request) = MessageRef::parse(&call.bytes) else { return };
        let mut answer =
            self.local.sign(MessageBuilder::answer(&request, result)).add_str(d::ERROR_MESSAGE, text);
        if retry_after > 0 {
            let ms = u32::try_from(retry_after / 1_000).unwrap_or(u32::MAX);
            answer = answer.add_u32(d::COME_BACK_AFTER, ms);
        }
        let answer = answer.build();
        if self.reply(id, answer) {
            self.trace_step(id, || CallStep::Answered(result));
        } else {
            self.trace_step(id, || CallStep::Ended("its deadline had passed"));
        }
        self.remove_call(id);
    }

    /// Ends a standing call and releases it at its server.
    pub(super) fn end_standing_call(&mut self, id: u64, cause: u32, outcome: Outcome, reason: &'static str) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some((server, peer)) = call.standing else { return };
        let (session, attempt) = (call.session.clone(), call.attempts.saturating_sub(1));
        let circuit = call.circuit;
        self.trace_step(id, || CallStep::Ended(reason));
        self.release_call(peer, circuit, &session, cause);
        self.remove_call(id);
        self.events.push_back(Event::Ended {
            call: CallId(id),
            attempt,
            server,
            outcome,
            lag: 0,
            closed: true,
            reason: Reason::None,
            report: Report::default(),
        });
    }

    /// Cuts a standing call and notifies its client with an Abort-Session-Request.
    pub(super) fn cut_call(&mut self, id: u64, reason: &'static str) {
        let Some(call) = self.calls.get(&id) else { return };
        let (client, session) = (call.client, call.session.clone());
        let host = call.request.host.clone();
        self.stats.cut += 1;
        // Sent first: while the node stops, the end of a client's last call closes the client's connection.
        self.send_abort(client, &host, &session);
        self.end_standing_call(id, CAUSE_ADMINISTRATIVE, Outcome::Reset, reason);
    }

    /// Notifies a client that one of its calls has ended.
    pub(super) fn send_abort(&mut self, client: PeerId, host: &str, session: &str) {
        let Some(slot) = self.peers.get_mut(client.0 as usize) else { return };
        let Some(conn) = slot.peer.connection().filter(|_| slot.peer.is_open()) else { return };
        let hop_by_hop = slot.requests.begin(Request::Abort);
        let end_to_end = self.rng.random();
        let request = MessageBuilder::request(d::CMD_ABORT_SESSION, d::APP_NAS, true, hop_by_hop, end_to_end)
            .add_str(d::SESSION_ID, session);
        let request = self
            .local
            .sign(request)
            .add_str(d::DESTINATION_REALM, &self.local.realm)
            .add_str(d::DESTINATION_HOST, host)
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS);
        self.send(conn, request.build());
    }

    pub(super) fn remove_call(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.sessions.remove(&call.session);
        if let Some(timer) = call.deadline_timer {
            self.wheel.cancel(timer);
        }
        if let Some((_, peer)) = call.standing {
            self.standing -= 1;
            let call_count = &mut self.peers[peer.0 as usize].calls;
            *call_count = call_count.saturating_sub(1);
        } else {
            self.close_held_events(id);
        }
        let call_count = &mut self.peers[call.client.0 as usize].calls;
        *call_count = call_count.saturating_sub(1);
        if self.stopping {
            self.finish_stopping(false);
        }
        self.close_removed_client(call.client);
    }
}

/// The patience assumed for a request without a class, which is refused at once.
const NO_CLASS_PATIENCE_US: Micros = 9_000_000;

/// How long a release may stay unanswered before it is sent again, and the maximum number of transmissions.
pub(super) const RELEASE_RETRY_INTERVAL_US: Micros = 2_000_000;
pub(super) const MAX_RELEASE_TRIES: u32 = 5;

/// Termination-Cause: the user ended the session.
pub(super) const CAUSE_LOGOUT: u32 = 1;
/// Termination-Cause: the service was not provided.
pub(super) const CAUSE_NOT_PROVIDED: u32 = 2;
/// Termination-Cause: ended by the node.
pub(super) const CAUSE_ADMINISTRATIVE: u32 = 4;
/// Termination-Cause: the connection to the user is broken.
pub(super) const CAUSE_LINK_BROKEN: u32 = 5;

/// Builds the request of an attempt: the client's request with a new Hop-by-Hop Identifier, the server as its
/// destination and the client in a Route-Record (RFC 6733 section 6.1.9).
pub(super) fn attempt_request(
    call: &Call,
    hop_by_hop: u32,
    retransmitted: bool,
    server: &str,
    client: &str,
    circuit: Option<u32>,
) -> Option<Vec<u8>> {
    let request = MessageRef::parse(&call.bytes).ok()?;
    let header = request.header;
    let mut message =
        MessageBuilder::request(header.command, header.application, true, hop_by_hop, header.end_to_end)
            .reserve(call.bytes.len() + 64);
    for avp in request.avps().map_while(Result::ok) {
        if avp.code != d::DESTINATION_HOST.code || avp.vendor.is_some() {
            message = message.copy(&avp);
        }
    }
    message = message.add_str(d::DESTINATION_HOST, server).add_str(d::ROUTE_RECORD, client);
    if let Some(circuit) = circuit {
        message = message.add_u32(d::CIRCUIT_ID, circuit);
    }
    Some(message.retransmitted(retransmitted).build())
}

/// Builds the client's answer from a server's success, without the AVPs meant for the node.
fn success_answer(call: &Call, answer: &MessageRef<'_>) -> Vec<u8> {
    let header = answer.header;
    let mut message = MessageBuilder::new(
        header.command,
        header.application,
        header.flags,
        call.hop_by_hop,
        call.request.id,
    )
    .reserve(answer.bytes.len());
    for avp in answer.avps().map_while(Result::ok) {
        if !translate::is_for_the_node(avp.code, avp.vendor) {
            message = message.copy(&avp);
        }
    }
    message.build()
}
