//! Calls: from clients, to servers, and their answers and ends.

use super::*;

impl Node {
    // ---- Messages ----

    pub(super) fn deliver(&mut self, peer: PeerId, conn: ConnId, message: &MessageRef<'_>) {
        if !message.header.is_request() {
            return self.answered(peer, message);
        }
        let slot = &self.peers[peer.0 as usize];
        let role = slot.role;
        if role != Role::Client && !slot.peer.is_open() {
            // It crossed the node's DPR: calls of a server are over by then, and words are not waited for.
            return;
        }
        if let Err(fault) = self.acceptable(role, message) {
            self.stats.turned_away += 1;
            let host = self.host(peer);
            self.notice(Notice::BadRequest(host, fault.result, fault.text.clone()));
            let answer = refusal(message, &fault, &self.local.host, &self.local.realm);
            let patience = message.number(d::SETUP_PATIENCE).filter(|_| message.header.command == d::CMD_AA);
            let deadline = patience.map(|ms| {
                let margin = self.settings.timing.answer_margin;
                Deadline::new(self.arrived(), Micros::from(ms) * 1_000, margin)
            });
            self.answer_set_up(conn, deadline, answer);
            return;
        }
        if role == Role::Client && self.defer(peer, conn, message) {
            return;
        }
        match (role, message.header.command) {
            (Role::Client, d::CMD_AA) => self.set_up(peer, conn, self.arrived(), message),
            (Role::Client, _) => self.session_terminated(conn, message),
            (Role::Server(_), _) if self.trunk(peer).is_some() => self.circuits_asked(peer, conn, message),
            (Role::Server(_), _) => self.session_aborted(peer, conn, message),
            (Role::Member(member), _) => self.heard(member, conn, message),
        }
    }

    /// Whether the node takes a request at all: well formed, meant for it, not gone in a circle, and one
    /// that such a peer may make.
    pub(super) fn acceptable(&self, role: Role, message: &MessageRef<'_>) -> Result<(), Fault> {
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
        if message.find(d::FLEET_WORD).is_some_and(|word| word.data.len() > WORD_MOST) {
            return fault(code::INVALID_AVP_LENGTH, format!("a word of more than {WORD_MOST} bytes"));
        }
        Ok(())
    }

    // ---- Calls: from clients ----

    /// A set-up that arrived at a moment that may lie before the present one.
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
        let told = message.number(d::SETUP_PATIENCE).map(|ms| Micros::from(ms) * 1_000);
        let patience = match class {
            Some(_) => told.map_or(longest, |told| told.min(longest)),
            // Without a class nothing bounds it; the request is turned away in any case.
            None => told.unwrap_or(NO_CLASS_PATIENCE),
        };
        let deadline = Deadline::new(arrived, patience, self.settings.timing.answer_margin);
        match self.duplicates.receive(self.now, request.clone(), (self.next_call, deadline)) {
            Seen::New => {}
            Seen::Pending((id, _)) => {
                self.stats.repeats += 1;
                // The same call, on a newer connection: the one answer goes there.
                if let Some(call) = self.calls.get_mut(&id) {
                    call.hop_by_hop = message.header.hop_by_hop;
                }
                return self.move_call(id, client, conn);
            }
            Seen::Answered(of, answer) => {
                self.stats.repeats += 1;
                let at = (client, conn, message.header.hop_by_hop);
                return self.reply_again(at, of, &request, &answer);
            }
        }
        if !self.is_open(deadline) {
            // Read only after its caller had given up: nothing goes out for it, and a repeat finds that too.
            self.stats.withheld += 1;
            return self.duplicates.answer(self.now, &request, &[]);
        }
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        let trouble = if self.stopping {
            Some((code::TOO_BUSY, "this node is stopping"))
        } else if let Some(text) = self.fenced() {
            Some((code::TOO_BUSY, text))
        } else if self.peers[client.0 as usize].leaving {
            Some((code::UNABLE_TO_DELIVER, "this node takes no more calls of this client"))
        } else if self.calls.len() >= self.settings.max_calls {
            let host = self.host(client);
            self.notice(Notice::CallsFull(host));
            Some((code::TOO_BUSY, "too many calls at this node"))
        } else if self.sessions.contains_key(session) {
            Some((code::UNABLE_TO_COMPLY, "a call of this session is under way"))
        } else if number.is_none() {
            Some((code::MISSING_AVP, "Called-Station-Id is missing"))
        } else if route.is_none() {
            Some((code::UNABLE_TO_DELIVER, "no route for the number called"))
        } else if deadline.last_moment() <= self.now {
            Some((code::UNABLE_TO_DELIVER, "no time is left to set the call up"))
        } else {
            None
        };
        let (Some(route), None) = (route, trouble) else {
            let (result, text) =
                trouble.unwrap_or((code::UNABLE_TO_DELIVER, "no route for the number called"));
            self.stats.turned_away += 1;
            let answer = self.local.sign(MessageBuilder::answer(message, result));
            let answer = self.told_to_return(text, answer.add_str(d::ERROR_MESSAGE, text)).build();
            self.duplicates.answer(self.now, &request, &answer);
            self.answer_set_up(conn, Some(deadline), answer);
            // A repeat whose answer is kept no longer: its call must not stand behind this failure.
            let forgotten = self.sessions.get(session).copied();
            let forgotten = forgotten.filter(|id| self.calls.get(id).is_some_and(|c| c.request == request));
            if let Some(id) = forgotten {
                self.move_call(id, client, conn);
                self.cut(id, "its answer was forgotten");
            }
            return;
        };
        let id = self.next_call;
        self.next_call += 1;
        self.stats.calls += 1;
        let session: Arc<str> = session.into();
        let timer = self.wheel.set(deadline.last_moment(), Timer::Deadline(id));
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
            out: None,
            standing: None,
            circuit: None,
            unheard: false,
        };
        self.calls.insert(id, call);
        self.peers[client.0 as usize].calls += 1;
        let host = self.host(client);
        self.step(id, || CallStep::Arrived(host));
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

    /// A call's request came again on this connection, by whichever client: the call is that client's from
    /// now on.
    pub(super) fn move_call(&mut self, id: u64, client: PeerId, conn: ConnId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.conn = conn;
        let before = std::mem::replace(&mut call.client, client);
        let at = &mut self.peers[before.0 as usize].calls;
        *at = at.saturating_sub(1);
        self.peers[client.0 as usize].calls += 1;
        if self.stopping && before != client {
            self.finish_stopping(false);
        }
        self.client_done(before);
    }

    pub(super) fn session_terminated(&mut self, conn: ConnId, message: &MessageRef<'_>) {
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        let call = self.sessions.get(session).copied();
        let known = call.is_some() || self.incoming_released(session);
        let result = if known { code::SUCCESS } else { code::UNKNOWN_SESSION_ID };
        if let Some(id) = call {
            if self.calls.get(&id).is_some_and(|call| call.standing.is_some()) {
                self.end_standing(id, CAUSE_LOGOUT, Outcome::Ok, "released by the caller");
            } else {
                // The request is owed its answer even so, and gets it before the release is confirmed.
                self.stats.left += 1;
                self.answer_failure(id, code::UNABLE_TO_COMPLY, "released before it stood", 0);
                self.events.push_back(Event::CallerGone(CallId(id)));
            }
        }
        let answer = self.local.sign(MessageBuilder::answer(message, result)).build();
        self.send(conn, answer);
    }

    /// The caller is not there any more: no answer is owed, and what the call holds is released.
    pub(super) fn caller_left(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else { return };
        if call.standing.is_some() {
            return self.end_standing(id, CAUSE_LINK_BROKEN, Outcome::Ok, "its client is gone");
        }
        self.stats.left += 1;
        self.events.push_back(Event::CallerGone(CallId(id)));
        self.give_up_attempt(id, Outcome::Cancelled, true);
        let request = self.calls.get(&id).map(|call| call.request.clone());
        if let Some(request) = request {
            self.duplicates.drop_pending(&request);
        }
        self.step(id, || CallStep::Ended("its caller left"));
        self.remove_call(id);
    }

    /// The last guard of the first rule: a little before the caller gives up, a call without an answer is
    /// failed. The module answers well before; this covers a module that does not.
    pub(super) fn last_moment(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.deadline_timer = None;
        if call.standing.is_some() {
            if call.unheard {
                self.end_standing(id, CAUSE_LINK_BROKEN, Outcome::Ok, "its answer was never fetched");
            }
            return;
        }
        if self.gap.is_none() {
            self.stats.last_moment += 1;
            self.notice(Notice::LastMoment(id));
        }
        self.answer_failure(id, code::UNABLE_TO_DELIVER, "the call could not be set up in time", 0);
        self.events.push_back(Event::CallerGone(CallId(id)));
    }

    // ---- Calls: to servers ----

    pub(super) fn send_call(&mut self, id: u64, server: ServerId, timeout: Micros) {
        let Some(call) = self.calls.get(&id) else { return };
        if self.peers[call.client.0 as usize].peer.connection().is_none() {
            // Nobody waits for it here; what could tell better, its repeat, comes on a connection. The answer
            // is kept for one, so that nothing of this call runs a second time beside what was given up.
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
        debug_assert!(call.out.is_none(), "a second attempt while one is out");
        let number = call.attempts;
        call.attempts += 1;
        let limit = self.settings.max_queue;
        let over = self.now >= call.deadline.answer_by();
        let state = self.servers.get(server).filter(|_| !over);
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
            // Too late for an answer, nothing is sent at all.
            let outcome = if over { Outcome::Moot } else { Outcome::Unreachable };
            self.step(id, || CallStep::Missed(outcome));
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
        call.out = Some(attempt);
        self.stats.attempts += 1;
        if self.trunk(peer).is_some() {
            return self.seize_attempt(id, false);
        }
        let request = Request::SetUp { call: id, token: None };
        let hop_by_hop = self.peers[peer.0 as usize].requests.begin(request);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.out = Some(Attempt { hop_by_hop, ..attempt });
        let client = &self.peers[call.client.0 as usize].host;
        let bytes = attempt_request(call, hop_by_hop, number > 0, &host, client, None);
        self.step(id, || CallStep::Sent(host));
        if let Some(bytes) = bytes {
            self.send(conn, bytes);
        }
    }

    /// Stops waiting for the attempt that is out. The server is told at once, so that it can drop the
    /// set-up, and a success that comes all the same is released too.
    pub(super) fn give_up_attempt(&mut self, id: u64, outcome: Outcome, closed: bool) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some(out) = call.out else { return };
        let session = call.session.clone();
        if let Some(slot) = self.peers.get_mut(out.peer.0 as usize) {
            if let Some(request) = slot.requests.get_mut(out.hop_by_hop) {
                let token = match request {
                    Request::SetUp { token, .. } => *token,
                    _ => None,
                };
                *request = Request::GivenUp { session: session.clone(), token };
                let timer = Timer::Late(out.peer, slot.epoch, out.hop_by_hop);
                self.wheel.set(self.now + self.settings.timing.late_answers, timer);
            }
        }
        self.release_call(out.peer, out.circuit, &session, CAUSE_NOT_PROVIDED);
        self.attempt_ended(id, outcome, Reason::None, None, closed);
    }

    /// Takes the attempt that is out off the call and tells the module how it ended.
    pub(super) fn attempt_ended(
        &mut self,
        id: u64,
        outcome: Outcome,
        reason: Reason,
        report: Option<Report>,
        closed: bool,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(out) = call.out.take() else { return };
        self.wheel.cancel(out.timer);
        self.step(id, || CallStep::Missed(outcome));
        let report = match self.trunk(out.peer) {
            Some(trunk) => Some(trunk.report(report)),
            None => report,
        };
        self.events.push_back(Event::Ended {
            call: CallId(id),
            attempt: out.number,
            server: out.server,
            outcome,
            lag: self.now - out.sent,
            closed,
            reason,
            report: report.unwrap_or_default(),
        });
    }

    /// Releases a call at its server: by its circuit where there is a trunk group.
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

    /// A request of the node that stayed unanswered for its time.
    pub(super) fn unanswered(&mut self, peer: PeerId, id: u32) {
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        let Some(Request::Release { session, cause, tries }) = slot.requests.finish(id) else { return };
        if tries + 1 >= RELEASE_TRIES {
            return;
        }
        if !self.is_at(peer, &session) {
            return self.release(peer, &session, cause, tries + 1);
        }
        // Looked at again later: should that attempt fail, the earlier one is still to be released.
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        let again = slot.requests.begin(Request::Release { session, cause, tries: tries + 1 });
        let timer = Timer::Late(peer, slot.epoch, again);
        self.wheel.set(self.now + RELEASE_AGAIN, timer);
    }

    /// Whether a later attempt of a call that was given up at a server is out or stands at that very server:
    /// it has the same session, which a release of the earlier attempt would end.
    pub(super) fn is_at(&self, peer: PeerId, session: &str) -> bool {
        let call = self.sessions.get(session).and_then(|call| self.calls.get(call));
        call.is_some_and(|call| {
            call.standing.is_some_and(|(_, at)| at == peer) || call.out.is_some_and(|out| out.peer == peer)
        })
    }

    /// Asks a server to release a session, now or when it is back.
    pub(super) fn release(&mut self, peer: PeerId, session: &Arc<str>, cause: u32, tries: u32) {
        let Some(slot) = self.peers.get_mut(peer.0 as usize) else { return };
        let Some(conn) = slot.peer.connection().filter(|_| slot.peer.is_open()) else {
            return self.owe(peer, session.clone());
        };
        let request = Request::Release { session: session.clone(), cause, tries };
        let hop_by_hop = slot.requests.begin(request);
        let timer = Timer::Late(peer, slot.epoch, hop_by_hop);
        self.wheel.set(self.now + RELEASE_AGAIN, timer);
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

    pub(super) fn answered(&mut self, peer: PeerId, message: &MessageRef<'_>) {
        let id = message.header.hop_by_hop;
        let request = self.peers[peer.0 as usize].requests.finish(id);
        match request {
            Some(Request::SetUp { call, token: None }) => self.set_up_answered(call, message),
            Some(Request::SetUp { call, token: Some(token) }) => {
                let current =
                    self.calls.get(&call).and_then(|call| call.out).is_some_and(|o| o.hop_by_hop == id);
                let told = self.seizure_answered(peer, token, message);
                if current && told.is_some() {
                    self.set_up_answered(call, message);
                }
            }
            Some(Request::GivenUp { token: Some(token), .. }) => {
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
            Some(Request::GivenUp { session, token: None }) => {
                if message.result_code() == code::SUCCESS {
                    self.stats.late += 1;
                    let host = self.host(peer);
                    self.notice(Notice::LateAnswer(host));
                    if !self.is_at(peer, &session) {
                        self.release(peer, &session, CAUSE_NOT_PROVIDED, 0);
                    }
                }
            }
            Some(Request::Release { .. } | Request::Abort | Request::Word) => {}
            None => {
                let host = self.host(peer);
                self.notice(Notice::UnknownAnswer(host, id));
            }
        }
    }

    pub(super) fn set_up_answered(&mut self, id: u64, message: &MessageRef<'_>) {
        let Some((out, session)) =
            self.calls.get(&id).and_then(|call| Some((call.out?, call.session.clone())))
        else {
            return;
        };
        if !translate::is_answer_for(message, &session) {
            // Whether the call stands there is not known: it is released, and not passed on.
            let host = self.host(out.peer);
            self.notice(Notice::BadAnswer(host, message.header.hop_by_hop));
            self.release_call(out.peer, out.circuit, &session, CAUSE_NOT_PROVIDED);
            return self.attempt_ended(id, Outcome::Reset, Reason::None, None, false);
        }
        let report = translate::report(message);
        if message.result_code() != code::SUCCESS {
            let (outcome, reason) = translate::outcome(message);
            return self.attempt_ended(id, outcome, reason, report, false);
        }
        self.wheel.cancel(out.timer);
        self.events.push_back(Event::Started {
            call: CallId(id),
            attempt: out.number,
            server: out.server,
            lag: self.now - out.sent,
        });
        let report = match self.trunk(out.peer) {
            Some(trunk) => Some(trunk.report(report)),
            None => report,
        };
        if let Some(report) = report {
            self.events.push_back(Event::Probed { server: out.server, outcome: Outcome::Ok, lag: 0, report });
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.out = None;
        call.circuit = out.circuit;
        let answer = success_answer(call, message);
        if self.now > call.deadline.door() {
            return self.stood_too_late(id, out, answer);
        }
        call.standing = Some((out.server, out.peer));
        call.bytes = Box::default();
        self.standing += 1;
        self.stats.stood += 1;
        self.peers[out.peer.0 as usize].calls += 1;
        self.step(id, || CallStep::Stands);
        self.reply(id, answer);
    }

    /// A success that comes after its caller's deadline is released at its server, and nothing goes out for it.
    fn stood_too_late(&mut self, id: u64, out: Attempt, answer: Vec<u8>) {
        let Some(session) = self.calls.get(&id).map(|call| call.session.clone()) else { return };
        self.stats.late += 1;
        self.reply(id, answer);
        self.step(id, || CallStep::Ended("it stood after its deadline"));
        self.release_call(out.peer, out.circuit, &session, CAUSE_NOT_PROVIDED);
        self.remove_call(id);
        self.events.push_back(Event::Ended {
            call: CallId(id),
            attempt: out.number,
            server: out.server,
            outcome: Outcome::Cancelled,
            lag: self.now - out.sent,
            closed: true,
            reason: Reason::None,
            report: Report::default(),
        });
    }

    pub(super) fn session_aborted(&mut self, peer: PeerId, conn: ConnId, message: &MessageRef<'_>) {
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        let call = self.sessions.get(session).copied().filter(|id| {
            let standing = self.calls.get(id).and_then(|call| call.standing);
            standing.is_some_and(|(_, at)| at == peer)
        });
        let result = if call.is_some() { code::SUCCESS } else { code::UNKNOWN_SESSION_ID };
        let answer = self.local.sign(MessageBuilder::answer(message, result)).build();
        self.send(conn, answer);
        if let Some(id) = call {
            self.cut(id, "aborted by its server");
        }
    }

    // ---- Calls: answers and ends ----

    /// The final answer of a call that does not come to stand.
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
            self.step(id, || CallStep::Answered(result));
        } else {
            self.step(id, || CallStep::Ended("its deadline was over"));
        }
        self.remove_call(id);
    }

    /// Ends a standing call toward its server.
    pub(super) fn end_standing(&mut self, id: u64, cause: u32, outcome: Outcome, how: &'static str) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some((server, peer)) = call.standing else { return };
        let (session, attempt) = (call.session.clone(), call.attempts.saturating_sub(1));
        let circuit = call.circuit;
        self.step(id, || CallStep::Ended(how));
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

    /// A standing call is cut: its client is told with an Abort-Session-Request.
    pub(super) fn cut(&mut self, id: u64, why: &'static str) {
        let Some(call) = self.calls.get(&id) else { return };
        let (client, session) = (call.client, call.session.clone());
        let host = call.request.host.clone();
        self.stats.cut += 1;
        // First: while the node stops, the end of its last call ends the client's connection.
        self.tell_cut(client, &host, &session);
        self.end_standing(id, CAUSE_ADMINISTRATIVE, Outcome::Reset, why);
    }

    /// Tells a client that a call of its is over.
    pub(super) fn tell_cut(&mut self, client: PeerId, host: &str, session: &str) {
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
            let at = &mut self.peers[peer.0 as usize].calls;
            *at = at.saturating_sub(1);
        } else {
            self.close_held_events(id);
        }
        let at = &mut self.peers[call.client.0 as usize].calls;
        *at = at.saturating_sub(1);
        if self.stopping {
            self.finish_stopping(false);
        }
        self.client_done(call.client);
    }
}

/// How long a request without a class is taken to be waited for; it is turned away at once.
const NO_CLASS_PATIENCE: Micros = 9_000_000;

/// How long a release may stay unanswered before it is sent again, and how often.
pub(super) const RELEASE_AGAIN: Micros = 2_000_000;
pub(super) const RELEASE_TRIES: u32 = 5;

/// Termination-Cause: the user is done.
pub(super) const CAUSE_LOGOUT: u32 = 1;
/// Termination-Cause: the service was not provided.
pub(super) const CAUSE_NOT_PROVIDED: u32 = 2;
/// Termination-Cause: by the node's own doing.
pub(super) const CAUSE_ADMINISTRATIVE: u32 = 4;
/// Termination-Cause: the way to the user is broken.
pub(super) const CAUSE_LINK_BROKEN: u32 = 5;

/// The request of an attempt: the client's, with a hop-by-hop identifier of its own, the server as its
/// destination and the client in a Route-Record (RFC 6733 section 6.1.9).
pub(super) fn attempt_request(
    call: &Call,
    hop_by_hop: u32,
    again: bool,
    server: &str,
    client: &str,
    circuit: Option<u32>,
) -> Option<Vec<u8>> {
    let request = MessageRef::parse(&call.bytes).ok()?;
    let head = request.header;
    let mut message =
        MessageBuilder::request(head.command, head.application, true, hop_by_hop, head.end_to_end)
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
    Some(message.retransmitted(again).build())
}

/// A server's success, passed on to the client without what was meant for the node.
fn success_answer(call: &Call, answer: &MessageRef<'_>) -> Vec<u8> {
    let head = answer.header;
    let mut message =
        MessageBuilder::new(head.command, head.application, head.flags, call.hop_by_hop, call.request.id)
            .reserve(answer.bytes.len());
    for avp in answer.avps().map_while(Result::ok) {
        if !translate::is_for_the_node(avp.code, avp.vendor) {
            message = message.copy(&avp);
        }
    }
    message.build()
}
