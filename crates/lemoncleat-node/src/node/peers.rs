//! Connections, peers and the server list.

use super::calls::CAUSE_LINK_BROKEN;
use super::*;

impl Node {
    // ---- Connections ----

    pub(super) fn new_conn(&self, owner: Option<PeerId>) -> Conn {
        let reader = FrameReader::new(self.settings.max_message);
        Conn { reader, owner, unattributed_bytes: 0, queued: 0, names: None }
    }

    pub(super) fn connection_accepted(&mut self, conn: ConnId) {
        // Members do not reduce the capacity for clients: each may hold one connection beyond the limit.
        if self.conns.len() >= self.settings.max_connections + self.members.len() || self.stopping {
            self.notice(Notice::ConnectionLimitReached(conn));
            self.out.push(Output::Close(conn));
            return;
        }
        self.conns.insert(conn, self.new_conn(None));
        self.wheel.set(self.now + self.settings.timing.open, Timer::CapabilitiesTimeout(conn));
    }

    pub(super) fn handle_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        self.count_control_received(conn, bytes.len());
        let Some(state) = self.conns.get_mut(&conn) else { return };
        let mut reader = std::mem::replace(&mut state.reader, FrameReader::new(0));
        reader.push(bytes);
        loop {
            match reader.next_frame() {
                Ok(Some(frame)) => self.handle_frame(conn, frame),
                Ok(None) => break,
                Err(error) => {
                    self.stream_malformed(conn, error);
                    break;
                }
            }
            if !self.conns.contains_key(&conn) {
                return;
            }
            self.process_events();
        }
        if let Some(state) = self.conns.get_mut(&conn) {
            state.reader = reader;
        }
    }

    /// Handles a stream that can't be parsed any further: the connection is closed, which the peer notices.
    /// (Sections 7.1.3 and 7.1.5 of RFC 6733 define error answers, but with an unreadable header there is no
    /// request to answer.)
    pub(super) fn stream_malformed(&mut self, conn: ConnId, error: FrameError) {
        self.notice(Notice::MalformedStream(conn, error));
        self.drop_connection(conn);
    }

    /// Closes a connection for a reason unknown to its peer state machine.
    pub(super) fn drop_connection(&mut self, conn: ConnId) {
        let owner = self.conns.get(&conn).and_then(|conn| conn.owner);
        self.close(conn);
        if let Some(peer) = owner {
            self.drive_peer(peer, PeerInput::Closed(conn));
        }
    }

    pub(super) fn close(&mut self, conn: ConnId) {
        if self.conns.remove(&conn).is_some() {
            self.out.push(Output::Close(conn));
        }
    }

    /// Queues bytes for a connection. If its queue exceeds twice the limit, the peer is not reading, and the
    /// connection is closed.
    pub(super) fn send(&mut self, conn: ConnId, bytes: Vec<u8>) {
        let limit = self.settings.max_queue;
        let Some(state) = self.conns.get_mut(&conn) else { return };
        if state.queued > 2 * limit {
            let host = state.owner.and_then(|p| self.peers.get(p.0 as usize)).map(|slot| slot.host.clone());
            self.notice(Notice::QueueFull(host.unwrap_or_else(|| "unknown".into())));
            return self.drop_connection(conn);
        }
        state.queued += bytes.len();
        let owner = state.owner;
        self.count_control_sent(owner, bytes.len());
        self.out.push(Output::Send(conn, bytes));
    }

    pub(super) fn handle_frame(&mut self, conn: ConnId, bytes: &[u8]) {
        let Ok(message) = MessageRef::parse(bytes) else { return };
        match self.conns.get(&conn).and_then(|conn| conn.owner) {
            None => self.first_message(conn, &message),
            Some(peer) => {
                if self.is_member(peer) {
                    self.stats.control_received_messages += 1;
                }
                if self.drive_peer(peer, PeerInput::Message(conn, &message)) {
                    self.dispatch(peer, conn, &message);
                }
            }
        }
    }

    /// Identifies the peer of an accepted connection by its first message.
    pub(super) fn first_message(&mut self, conn: ConnId, message: &MessageRef<'_>) {
        if message.header.command != d::CMD_CAPABILITIES || !message.header.is_request() {
            self.notice(Notice::NoCapabilities(conn));
            return self.close(conn);
        }
        let host = message.text(d::ORIGIN_HOST).unwrap_or_default();
        let names = self.conns.get(&conn).and_then(|conn| conn.names.as_ref());
        if names.is_some_and(|names| !names.iter().any(|name| name.eq_ignore_ascii_case(host))) {
            // RFC 6733 section 13.1: the Origin-Host of a peer must match the identity that it proved.
            self.notice(Notice::UnknownPeer(conn, format!("{host} (its certificate is for another name)")));
            let text = format!("the certificate is not for {host}");
            let fault = Fault { result: code::UNKNOWN_PEER, text, failed: Vec::new() };
            let answer = self.local.refuse_capabilities(message, &fault);
            self.send(conn, answer);
            return self.close(conn);
        }
        let Some(peer) = self.hosts.get(host).copied().filter(|peer| !self.is_removed_client(*peer)) else {
            let text = format!("{host} is not a known peer");
            self.notice(Notice::UnknownPeer(conn, host.to_owned()));
            let fault = match check_request(message) {
                Err(fault) => fault,
                Ok(()) => Fault { result: code::UNKNOWN_PEER, text, failed: Vec::new() },
            };
            let answer = self.local.refuse_capabilities(message, &fault);
            self.send(conn, answer);
            return self.close(conn);
        };
        if self.peers[peer.0 as usize].role == Role::Client && self.hold_message(conn, message) {
            return;
        }
        if let Some(state) = self.conns.get_mut(&conn) {
            state.owner = Some(peer);
            let unattributed_bytes = std::mem::take(&mut state.unattributed_bytes);
            if self.is_member(peer) {
                self.stats.control_received_messages += 1;
                self.stats.control_received_bytes += unattributed_bytes as u64;
            }
        }
        self.drive_peer(peer, PeerInput::Accepted(conn, message));
    }

    // ---- Peers ----

    pub(super) fn add_peer(&mut self, host: Arc<str>, role: Role) -> PeerId {
        let timing = &self.settings.timing;
        let settings = PeerSettings {
            host: host.clone(),
            dial: role != Role::Client,
            replace: match role {
                Role::Client => Some(0),
                Role::Server(_) => None,
                // Both ends dial. A connection that arrives later than an election can take means that the
                // member has lost the existing one.
                Role::Member(_) => Some(timing.open),
            },
            watchdog: timing.watchdog,
            backoff: timing.backoff,
            open_timeout: timing.open,
            close_timeout: timing.close,
        };
        let mut local = self.local.clone();
        if let (Some(circuits), Role::Server(_)) = (&self.settings.circuits, role) {
            let control = lemoncleat_circuits::glare::Control::by_identity(&local.host, &host);
            let further = vec![
                (d::CIRCUIT_COUNT, circuits.size.to_be_bytes().to_vec()),
                (d::CIRCUIT_CONTROL, control.parity().to_be_bytes().to_vec()),
            ];
            local = Arc::new(Local { further, ..(*local).clone() });
        }
        let rng = if matches!(role, Role::Member(_)) { self.members.rng() } else { &mut self.rng };
        let (peer_seed, first_id) = (rng.random(), rng.random());
        let peer = Peer::new(local, settings, peer_seed);
        let id = PeerId(self.peers.len() as u32);
        self.peers.push(PeerSlot {
            peer,
            host: host.clone(),
            role,
            requests: HopByHop::new(first_id),
            epoch: 0,
            state_id: None,
            armed: None,
            pending_releases: Vec::new(),
            calls: 0,
            leaving: false,
            trunk: None,
        });
        self.hosts.insert(host, id);
        id
    }

    /// Passes an input to a peer state machine and carries out its outputs; returns whether the message is
    /// for the node.
    pub(super) fn drive_peer(&mut self, id: PeerId, input: PeerInput<'_>) -> bool {
        // The output buffer is reused; a nested call gets a new one.
        let mut outputs = std::mem::take(&mut self.outputs);
        let is_message = matches!(input, PeerInput::Message(..));
        let Some(slot) = self.peers.get_mut(id.0 as usize) else { return false };
        slot.peer.handle(self.now, input, &mut outputs);
        let mut deliver = false;
        for output in outputs.drain(..) {
            match output {
                PeerOutput::Dial => {
                    if let Some(address) = self.address(id) {
                        self.out.push(Output::Dial(id, address));
                    }
                }
                PeerOutput::StopDial => self.out.push(Output::StopDial(id)),
                PeerOutput::Send(conn, bytes) => self.send(conn, bytes),
                PeerOutput::Close(conn) => self.close(conn),
                PeerOutput::Open(_, capabilities) => self.peer_open(id, &capabilities),
                PeerOutput::Usable => {
                    let host = self.host(id);
                    self.notice(Notice::PeerUsable(host));
                    self.set_member_linked(id, true);
                }
                PeerOutput::Suspect => self.peer_suspect(id),
                PeerOutput::Draining(cause) => self.peer_draining(id, cause),
                PeerOutput::Down(reason) => self.peer_down(id, reason),
                PeerOutput::Refused(why) => {
                    let host = self.host(id);
                    self.notice(Notice::PeerRefused(host, why));
                }
                PeerOutput::Deliver => deliver = true,
            }
        }
        self.outputs = outputs;
        self.arm_peer(id);
        if is_message {
            self.link_after_message(id);
        }
        deliver
    }

    /// Sets the timer of a peer state machine. Most inputs only move the due time later, so a timer that is
    /// already set is kept and the due time is checked again when it fires.
    pub(super) fn arm_peer(&mut self, id: PeerId) {
        let Some(slot) = self.peers.get_mut(id.0 as usize) else { return };
        let Some(due) = slot.peer.due() else { return };
        if slot.armed.is_none_or(|armed| due < armed) {
            slot.armed = Some(due);
            self.wheel.set(due, Timer::Peer(id));
        }
    }

    pub(super) fn address(&self, id: PeerId) -> Option<SocketAddr> {
        match self.peers.get(id.0 as usize)?.role {
            Role::Server(server) => Some(self.servers.get(server)?.address),
            Role::Member(member) => Some(self.settings.members.get(member)?.address),
            Role::Client => None,
        }
    }

    pub(super) fn host(&self, id: PeerId) -> Arc<str> {
        self.peers.get(id.0 as usize).map_or_else(|| "?".into(), |slot| slot.host.clone())
    }

    pub(super) fn peer_open(&mut self, id: PeerId, capabilities: &[u8]) {
        if self.reset_member_requests(id) {
            return;
        }
        let state_id =
            MessageRef::parse(capabilities).ok().and_then(|message| message.number(d::ORIGIN_STATE_ID));
        let new_requests = HopByHop::new(self.rng.random());
        let Some(slot) = self.peers.get_mut(id.0 as usize) else { return };
        slot.epoch += 1;
        slot.requests = new_requests;
        let restarted = match (slot.state_id, state_id) {
            (Some(old), Some(new)) => old != new,
            _ => false,
        };
        slot.state_id = state_id.or(slot.state_id);
        let (role, host) = (slot.role, slot.host.clone());
        let releases = std::mem::take(&mut slot.pending_releases);
        if restarted {
            self.notice(Notice::PeerRestarted(host.clone()));
            match role {
                // With a trunk group, the reset of the group ends the calls.
                Role::Server(_) if self.trunk(id).is_none() => self.cut_calls(id, "its server started anew"),
                Role::Server(_) => {}
                Role::Client => self.end_client_calls(id),
                Role::Member(_) => {}
            }
        }
        if let Role::Server(server) = role {
            if let Some(state) = self.servers.get_mut(server) {
                state.leaving = false;
                if restarted {
                    // The list lags behind: until it reports the start time, the time of this connection is
                    // used.
                    state.started_at = Some(self.now);
                }
                let member = state.member(server);
                self.events.push_back(Event::Members(ServerListUpdate::Changes(vec![member])));
            }
            self.open_trunk(id, capabilities, restarted);
            self.block_for_drain(
                id,
                self.servers.get(server).is_some_and(|s| s.listed != Availability::Ready),
            );
            if !restarted {
                for session in releases {
                    if !self.session_in_use_at(id, &session) {
                        self.release(id, &session, CAUSE_LINK_BROKEN, 0);
                    }
                }
            }
        }
    }

    /// Handles a peer that left a watchdog request unanswered: its pending attempts are given up.
    pub(super) fn peer_suspect(&mut self, id: PeerId) {
        let host = self.host(id);
        self.notice(Notice::PeerSuspect(host));
        self.set_member_linked(id, false);
        for call in self.calls_with_attempt_at(id) {
            self.give_up_attempt(call, Outcome::TimedOut, false);
        }
    }

    pub(super) fn calls_with_attempt_at(&self, id: PeerId) -> Vec<u64> {
        let Some(slot) = self.peers.get(id.0 as usize) else { return Vec::new() };
        let out = slot.requests.iter().filter_map(|(_, request)| match request {
            Request::SetUp { call, .. } => Some(*call),
            _ => None,
        });
        let mut calls: Vec<u64> = out.collect();
        calls.sort_unstable();
        calls
    }

    pub(super) fn peer_draining(&mut self, id: PeerId, cause: DisconnectCause) {
        let host = self.host(id);
        self.notice(Notice::PeerDraining(host, cause));
        self.set_member_linked(id, false);
        let Some(Role::Server(server)) = self.peers.get(id.0 as usize).map(|slot| slot.role) else { return };
        if let Some(state) = self.servers.get_mut(server) {
            state.leaving = true;
            let member = state.member(server);
            self.events.push_back(Event::Members(ServerListUpdate::Changes(vec![member])));
        }
    }

    pub(super) fn peer_down(&mut self, id: PeerId, reason: DownReason) {
        let host = self.host(id);
        self.notice(Notice::PeerDown(host, reason.clone()));
        if self.set_member_linked(id, false) {
            return;
        }
        let new_requests = HopByHop::new(self.rng.random());
        let Some(slot) = self.peers.get_mut(id.0 as usize) else { return };
        let mut requests = std::mem::replace(&mut slot.requests, new_requests);
        let (epoch, role) = (slot.epoch, slot.role);
        for (_, request) in requests.drain() {
            match request {
                Request::SetUp { call, token: None } => {
                    if let Some(session) = self.calls.get(&call).map(|call| call.session.clone()) {
                        self.queue_release(id, session);
                    }
                    self.attempt_ended(call, Outcome::Reset, Reason::None, None, false);
                }
                Request::SetUp { call, token: Some(_) } => {
                    // The trunk group releases the circuit once the server is back.
                    let circuit = self
                        .calls
                        .get(&call)
                        .and_then(|call| call.pending)
                        .and_then(|pending| pending.circuit);
                    self.attempt_ended(call, Outcome::Reset, Reason::None, None, false);
                    if let Some(circuit) = circuit {
                        self.with_group(id, |group, now, out| group.release(now, circuit, out));
                    }
                }
                Request::Abandoned { session, token: None } | Request::Release { session, .. } => {
                    self.queue_release(id, session);
                }
                Request::Incoming { server, circuit, call } => self.client_answered(server, circuit, call, 0),
                Request::Abandoned { .. }
                | Request::Circuits { .. }
                | Request::FleetWord
                | Request::Abort => {}
            }
        }
        let timing = &self.settings.timing;
        let grace = match (role, &reason) {
            (_, DownReason::Replaced) => return,
            (Role::Client, _) => timing.client_return,
            (Role::Server(_), _) => timing.server_return,
            (Role::Member(_), _) => return,
        };
        let removed = match role {
            Role::Server(server) => {
                self.servers.get(server).is_some_and(|server| server.listed == Availability::Gone)
            }
            _ => false,
        };
        if removed {
            // The server is not dialled again, so calls established since the list removed it are cut now.
            self.cut_calls(id, "its server was taken away");
        }
        if self.stopping {
            if role == Role::Client {
                self.end_client_calls(id);
            }
            self.finish_stopping(false);
        } else {
            self.wheel.set(self.now + grace, Timer::ReturnTimeout(id, epoch));
        }
    }

    /// Keeps a release until its server is back. The number is bounded; releases beyond it are left to the
    /// server's own session supervision.
    pub(super) fn queue_release(&mut self, id: PeerId, session: Arc<str>) {
        let limit = self.settings.max_calls;
        if let Some(slot) =
            self.peers.get_mut(id.0 as usize).filter(|slot| slot.pending_releases.len() < limit)
        {
            slot.pending_releases.push(session);
        }
    }

    pub(super) fn return_timed_out(&mut self, id: PeerId, epoch: u32) {
        let Some(slot) = self.peers.get(id.0 as usize) else { return };
        if slot.epoch != epoch || slot.peer.is_open() {
            return;
        }
        match slot.role {
            Role::Client => self.end_client_calls(id),
            Role::Server(_) => self.cut_calls(id, "its server did not come back"),
            Role::Member(_) => {}
        }
    }

    pub(super) fn end_client_calls(&mut self, id: PeerId) {
        self.end_incoming_calls_of_client(id);
        let mut calls: Vec<u64> =
            self.calls.iter().filter(|(_, call)| call.client == id).map(|(id, _)| *id).collect();
        calls.sort_unstable();
        for call in calls {
            self.caller_left(call);
        }
    }

    pub(super) fn cut_calls(&mut self, id: PeerId, reason: &'static str) {
        let is_standing = |call: &Call| call.standing.is_some_and(|(_, peer)| peer == id);
        let mut calls: Vec<u64> =
            self.calls.iter().filter(|(_, call)| is_standing(call)).map(|(id, _)| *id).collect();
        calls.sort_unstable();
        for call in calls {
            self.cut_call(call, reason);
        }
    }

    // ---- The server list ----

    pub(super) fn update_list(&mut self, news: ListNews) {
        let (entries, complete) = match news {
            ListNews::Complete(entries) => (entries, true),
            ListNews::Changes(entries) => (entries, false),
        };
        let mut named = Vec::new();
        for entry in &entries {
            let what = match self.hosts.get(&entry.host).map(|id| self.peers[id.0 as usize].role) {
                Some(Role::Client) => Some("client"),
                Some(Role::Member(_)) => Some("member of the fleet"),
                Some(Role::Server(_)) | None => None,
            };
            if let Some(what) = what {
                let text = format!("the list names a {what} as a server");
                self.notice(Notice::PeerRefused(entry.host.clone(), text));
                continue;
            }
            let known = self.servers.find(&entry.host).and_then(|id| self.servers.get(id));
            let peer = match known {
                Some(server) => server.peer,
                None => self.add_peer(entry.host.clone(), Role::Server(self.servers.next_id())),
            };
            let id = self.servers.update(self.now, entry, peer);
            named.push(id);
        }
        if complete {
            let missing: Vec<ServerId> =
                self.servers.iter().map(|(id, _)| id).filter(|id| !named.contains(id)).collect();
            for id in missing {
                if let Some(server) = self.servers.get_mut(id) {
                    server.listed = Availability::Gone;
                }
            }
        }
        let members = |ids: &[ServerId], servers: &Servers| -> Vec<_> {
            ids.iter().filter_map(|id| servers.get(*id).map(|server| server.member(*id))).collect()
        };
        let news = if complete {
            let present: Vec<ServerId> = named;
            ServerListUpdate::Complete(members(&present, &self.servers))
        } else {
            ServerListUpdate::Changes(members(&named, &self.servers))
        };
        self.events.push_back(Event::Members(news));
        let count = |state: Availability, servers: &Servers| {
            servers.iter().filter(|(_, s)| s.listed == state).count()
        };
        let ready = count(Availability::Ready, &self.servers);
        let draining = count(Availability::Draining, &self.servers);
        self.notice(Notice::ListUpdated { ready, draining });
        let peers: Vec<(PeerId, Availability)> =
            self.servers.iter().map(|(_, s)| (s.peer, s.listed)).collect();
        for (peer, listed) in peers {
            self.block_for_drain(peer, listed != Availability::Ready);
            match listed {
                Availability::Gone if !self.peers[peer.0 as usize].peer.is_idle() => {
                    self.cut_calls(peer, "its server was taken away");
                    self.drive_peer(peer, PeerInput::Disconnect(DisconnectCause::DoNotWantToTalkToYou));
                }
                // Also while its connection is being closed, for example by an outdated entry: the server is
                // in use again.
                Availability::Ready if !self.stopping => {
                    self.drive_peer(peer, PeerInput::Start);
                }
                _ => {}
            }
        }
    }
}
