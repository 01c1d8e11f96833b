//! A stand-in call server: peers, sessions and a processor. It does no I/O itself.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{
    result_code, Backoff, ConnId, DisconnectCause, FrameReader, GroupBuilder, HopByHop, Local,
    MessageBuilder, MessageRef, Peer, PeerInput, PeerOutput, PeerSettings,
};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::far::{FarOutput, FarTrunk};
use crate::processor::{Job, Processor};
use crate::Micros;

/// Length limit of messages that a stand-in reads.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Interval at which the load reported in answers is refreshed.
const LOAD_REPORT_INTERVAL_US: Micros = 250_000;

/// Returns the host name of a stand-in server.
pub(crate) fn host(number: u16) -> String {
    format!("server-{number}.lab")
}

/// Returns the number in the host name of a stand-in or node, as in `node-2.lab`.
pub(crate) fn number_in(host: &str) -> Option<u16> {
    host.strip_suffix(".lab")?.rsplit('-').next()?.parse().ok()
}

/// A connection that a node opened.
pub(crate) struct ServerConn {
    pub reader: FrameReader,
    pub peer: Option<Peer>,
    pub node: u16,
}

#[derive(Debug)]
struct Session {
    name: String,
    conn: u64,
    request: Vec<u8>,
    given_up: bool,
    standing: bool,
    /// Node and call number, if the server itself set the call up over a trunk group.
    far: Option<(u16, u64)>,
}

/// Actions that a server requests from its environment.
pub(crate) enum ServerOutput {
    Send(u64, Vec<u8>),
    Close(u64),
    /// The server failed from overload while cold.
    Collapsed,
    /// A call from this server to a node was established.
    FarEstablished(u16, u64),
    /// A call from this server is to be retried after a wait.
    FarRetry(u16, u64, Micros),
}

/// Parameters of a server.
pub(crate) struct ServerSpec {
    pub number: u16,
    pub place: i64,
    pub zone: String,
    pub address: SocketAddr,
    pub lines: u32,
    pub processor: Processor,
    pub drops_given_up: bool,
    pub tells_wait: bool,
    pub reports: (bool, bool),
    pub fall: (f64, Micros),
    /// Circuits toward each node, and the share of seizures that the server answers with a seizure of its
    /// own.
    pub circuits: Option<(u32, f64)>,
}

pub(crate) struct Server {
    pub spec: ServerSpec,
    pub host: String,
    pub started: Option<Micros>,
    pub up: bool,
    pub silent: bool,
    pub fallen: bool,
    /// Nodes with which messages are lost.
    pub dead_links: Vec<u16>,
    /// Number of lines currently out of use.
    pub lost_lines: u32,
    pub conns: BTreeMap<u64, ServerConn>,
    state_id: u32,
    sessions: BTreeMap<u64, Session>,
    by_name: BTreeMap<String, u64>,
    next_session: u64,
    arrivals: VecDeque<Micros>,
    reported_wait: (Micros, Micros),
    requests: HopByHop<()>,
    seed: u64,
    /// Trunk groups by node.
    pub trunks: BTreeMap<u16, FarTrunk>,
    rng: SmallRng,
}

impl Server {
    pub fn new(spec: ServerSpec, seed: u64) -> Self {
        Server {
            host: host(spec.number),
            started: None,
            up: true,
            silent: false,
            fallen: false,
            dead_links: Vec::new(),
            lost_lines: 0,
            conns: BTreeMap::new(),
            state_id: 1,
            sessions: BTreeMap::new(),
            by_name: BTreeMap::new(),
            next_session: 0,
            arrivals: VecDeque::new(),
            reported_wait: (Micros::MIN, 0),
            requests: HopByHop::new(seed as u32),
            seed,
            trunks: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            spec,
        }
    }

    fn local(&self) -> Arc<Local> {
        Arc::new(Local {
            host: self.host.as_str().into(),
            realm: "lab".into(),
            product: "stand-in call server".into(),
            addresses: vec![self.spec.address.ip()],
            applications: vec![d::APP_NAS],
            state_id: self.state_id,
            further: Vec::new(),
        })
    }

    /// Returns the number of standing calls.
    pub fn standing(&self) -> usize {
        self.sessions.values().filter(|session| session.standing).count()
    }

    /// Returns the names of standing calls, sorted.
    pub fn standing_names(&self) -> Vec<String> {
        // A call that was released before it was established has no caller, even if its answer was lost.
        let standing = self.sessions.values().filter(|session| session.standing && !session.given_up);
        let mut names: Vec<String> = standing.map(|session| session.name.clone()).collect();
        names.sort();
        names
    }

    pub fn accept(&mut self, conn: u64) {
        let reader = FrameReader::new(MAX_MESSAGE_BYTES);
        self.conns.insert(conn, ServerConn { reader, peer: None, node: u16::MAX });
    }

    /// Returns whether messages to and from a node are delivered.
    pub fn reachable(&self, node: u16) -> bool {
        !self.silent && !self.dead_links.contains(&node)
    }

    /// Starts the server process, cold and without sessions.
    pub fn restart(&mut self, now: Micros) {
        self.up = true;
        self.fallen = false;
        self.state_id += 1;
        self.started = Some(now);
        self.spec.processor.restart(now);
        self.arrivals.clear();
    }

    /// Ends the server process and returns the connections that it had.
    pub fn stop(&mut self) -> Vec<u64> {
        self.up = false;
        self.spec.processor = Processor::new(self.spec.processor.settings().clone());
        self.sessions.clear();
        self.by_name.clear();
        self.trunks.clear();
        let mut conns: Vec<u64> = std::mem::take(&mut self.conns).into_keys().collect();
        conns.sort_unstable();
        conns
    }

    pub fn closed(&mut self, now: Micros, conn: u64) {
        if let Some(mut state) = self.conns.remove(&conn) {
            if let Some(peer) = &mut state.peer {
                peer.handle(now, PeerInput::Closed(ConnId(conn)), &mut Vec::new());
            }
        }
    }

    /// Closes all connections with a Disconnect-Peer-Request of the given cause.
    pub fn disconnect(&mut self, now: Micros, cause: DisconnectCause, out: &mut Vec<ServerOutput>) {
        let mut conns: Vec<u64> = self.conns.keys().copied().collect();
        conns.sort_unstable();
        for conn in conns {
            self.drive_peer(now, conn, PeerInput::Disconnect(cause), out);
        }
    }

    /// Runs the peers' and trunk groups' timers.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<ServerOutput>) {
        let due = |peer: &Peer| peer.due().is_some_and(|due| due <= now);
        let conns: Vec<u64> =
            self.conns.iter().filter(|(_, c)| c.peer.as_ref().is_some_and(due)).map(|(id, _)| *id).collect();
        for conn in conns {
            self.drive_peer(now, conn, PeerInput::Timeout, out);
        }
        let nodes: Vec<u16> = self.trunks.keys().copied().filter(|node| self.is_linked(*node)).collect();
        for node in nodes {
            self.with_trunk(now, node, out, |trunk, far| trunk.timeout(now, far));
        }
    }

    fn drive_peer(
        &mut self,
        now: Micros,
        conn: u64,
        input: PeerInput<'_>,
        out: &mut Vec<ServerOutput>,
    ) -> bool {
        let Some(peer) = self.conns.get_mut(&conn).and_then(|state| state.peer.as_mut()) else {
            return false;
        };
        let mut outputs = Vec::new();
        peer.handle(now, input, &mut outputs);
        let mut deliver = false;
        for output in outputs {
            match output {
                PeerOutput::Send(conn, bytes) => out.push(ServerOutput::Send(conn.0, bytes)),
                PeerOutput::Close(conn) => out.push(ServerOutput::Close(conn.0)),
                PeerOutput::Deliver => deliver = true,
                _ => {}
            }
        }
        deliver
    }

    /// Handles a complete message.
    pub fn message(&mut self, now: Micros, conn: u64, bytes: &[u8], out: &mut Vec<ServerOutput>) {
        let Ok(message) = MessageRef::parse(bytes) else { return };
        let unknown = self.conns.get(&conn).is_some_and(|state| state.peer.is_none());
        if unknown {
            let host = message.text(d::ORIGIN_HOST).unwrap_or_default();
            let settings = PeerSettings {
                host: host.into(),
                dial: false,
                replace: Some(0),
                watchdog: 30_000_000,
                backoff: Backoff { first: 1_000_000, most: 1_000_000 },
                open_timeout: 2_000_000,
                close_timeout: 1_000_000,
            };
            let peer = Peer::new(self.local(), settings, self.seed ^ conn);
            if let Some(state) = self.conns.get_mut(&conn) {
                state.peer = Some(peer);
                state.node = number_in(host).unwrap_or(u16::MAX);
            }
            self.drive_peer(now, conn, PeerInput::Accepted(ConnId(conn), &message), out);
            if let Some((size, _)) = self.spec.circuits {
                let node = self.conns.get(&conn).map_or(u16::MAX, |state| state.node);
                let seed = self.rng.random();
                let new_group = !self.trunks.contains_key(&node);
                let host = self.host.clone();
                let trunk =
                    self.trunks.entry(node).or_insert_with(|| FarTrunk::new(&host, node, size, now, seed));
                let mut far = Vec::new();
                trunk.open(now, new_group, &mut far);
                self.handle_trunk_outputs(now, node, far, out);
            }
            return;
        }
        if self.drive_peer(now, conn, PeerInput::Message(ConnId(conn), &message), out) {
            let node = self.conns.get(&conn).map_or(u16::MAX, |state| state.node);
            let glare_share = self.spec.circuits.map_or(0.0, |(_, glare_share)| glare_share);
            let glare = glare_share > 0.0 && self.rng.random::<f64>() < glare_share;
            if let Some(trunk) = self.trunks.get_mut(&node) {
                let mut far = Vec::new();
                let seizure = message.header.is_request() && message.header.command == d::CMD_AA;
                if seizure && glare {
                    // The server seizes the same circuit at the same time.
                    trunk.call(now, message.number(d::CIRCUIT_ID), &mut far);
                }
                let taken = trunk.message(now, &message, &mut far);
                self.handle_trunk_outputs(now, node, far, out);
                if taken {
                    return;
                }
            }
            if !message.header.is_request() {
                self.requests.finish(message.header.hop_by_hop);
                return;
            }
            match message.header.command {
                d::CMD_AA => self.set_up(now, conn, &message, None, out),
                d::CMD_SESSION_TERMINATION => self.release(now, conn, &message, out),
                _ => {}
            }
        }
    }

    fn sign(&self, message: MessageBuilder) -> MessageBuilder {
        message.add_str(d::ORIGIN_HOST, &self.host).add_str(d::ORIGIN_REALM, "lab")
    }

    /// Adds the load to an answer: the project's own AVPs, and a Load report of RFC 8583 with them.
    fn report(&mut self, now: Micros, mut answer: MessageBuilder) -> MessageBuilder {
        let (wait, lines) = self.spec.reports;
        if wait {
            if now.saturating_sub(self.reported_wait.0) >= LOAD_REPORT_INTERVAL_US {
                self.reported_wait = (now, self.spec.processor.wait(now));
            }
            let ms = u32::try_from(self.reported_wait.1 / 1_000).unwrap_or(u32::MAX);
            answer = answer.add_u32(d::PROCESSOR_WAIT, ms);
            let queue = self.spec.processor.settings().queue.max(1);
            let used = (self.reported_wait.1 as f64 / queue as f64).min(1.0);
            let load = GroupBuilder::new()
                .add_u32(d::LOAD_TYPE, 0)
                .add(d::LOAD_VALUE, &((65_535.0 * (1.0 - used)) as u64).to_be_bytes())
                .add(d::SOURCE_ID, self.host.as_bytes());
            answer = answer.add(d::LOAD, &load.build());
        }
        if lines {
            answer = answer
                .add_u32(d::LINES_FREE, self.free_lines())
                .add_u32(d::LINES_TOTAL, self.spec.lines - self.lost_lines);
        }
        answer
    }

    fn free_lines(&self) -> u32 {
        (self.spec.lines - self.lost_lines).saturating_sub(self.sessions.len() as u32)
    }

    /// Carries out the actions that a trunk group requests.
    fn handle_trunk_outputs(
        &mut self,
        now: Micros,
        node: u16,
        outputs: Vec<FarOutput>,
        out: &mut Vec<ServerOutput>,
    ) {
        for output in outputs {
            match output {
                FarOutput::Send(bytes) => {
                    if let Some(conn) = self.conn_of(node) {
                        out.push(ServerOutput::Send(conn, bytes));
                    }
                }
                FarOutput::SetUp(call, request) => {
                    if let (Some(conn), Ok(message)) = (self.conn_of(node), MessageRef::parse(&request)) {
                        self.set_up(now, conn, &message, Some((node, call)), out);
                    }
                }
                FarOutput::Ended(name) => {
                    if let Some(id) = self.by_name.get(&name).copied() {
                        match self.sessions.get(&id).map(|session| session.standing) {
                            Some(true) => self.spec.processor.push(now, Job::Release(id)),
                            _ => self.spec.processor.drop_set_up(id),
                        }
                        self.remove_session(id);
                    }
                }
                FarOutput::Established(call) => out.push(ServerOutput::FarEstablished(node, call)),
                FarOutput::Retry(call, wait) => out.push(ServerOutput::FarRetry(node, call, wait)),
            }
        }
    }

    fn conn_of(&self, node: u16) -> Option<u64> {
        let open =
            |state: &ServerConn| state.node == node && state.peer.as_ref().is_some_and(|peer| peer.is_open());
        self.conns.iter().filter(|(_, state)| open(state)).map(|(conn, _)| *conn).max()
    }

    /// Returns whether a connection with a node is open.
    pub fn is_linked(&self, node: u16) -> bool {
        self.conn_of(node).is_some()
    }

    /// Runs `act` on the trunk group toward a node. Messages that it sends without a connection are sent
    /// again on the next one.
    pub fn with_trunk(
        &mut self,
        now: Micros,
        node: u16,
        out: &mut Vec<ServerOutput>,
        act: impl FnOnce(&mut FarTrunk, &mut Vec<FarOutput>),
    ) {
        if let Some(trunk) = self.trunks.get_mut(&node) {
            let mut far = Vec::new();
            act(trunk, &mut far);
            self.handle_trunk_outputs(now, node, far, out);
        }
    }

    fn set_up(
        &mut self,
        now: Micros,
        conn: u64,
        message: &MessageRef<'_>,
        far: Option<(u16, u64)>,
        out: &mut Vec<ServerOutput>,
    ) {
        if self.collapses_under_load(now) {
            self.fallen = true;
            out.push(ServerOutput::Collapsed);
            return;
        }
        let wait = self.spec.processor.wait(now);
        if self.free_lines() == 0 || wait > self.spec.processor.settings().queue {
            if let Some((node, call)) = far {
                if let Some(trunk) = self.trunks.get_mut(&node) {
                    trunk.refused(now, call);
                }
            }
        }
        if self.free_lines() == 0 {
            self.spec.processor.push(now, Job::Reject);
            let answer = self.sign(MessageBuilder::answer(message, result_code::TOO_BUSY));
            let answer = self.report(now, answer.add_u32(d::SETUP_REASON, d::REASON_NO_CIRCUIT));
            out.push(ServerOutput::Send(conn, answer.build()));
            return;
        }
        if wait > self.spec.processor.settings().queue {
            self.spec.processor.push(now, Job::Reject);
            let answer = self.sign(MessageBuilder::answer(message, result_code::TOO_BUSY));
            let mut answer = answer.add_u32(d::SETUP_REASON, d::REASON_PROCESSOR_FULL);
            if self.spec.tells_wait {
                answer = answer.add_u32(d::REASON_WAIT, u32::try_from(wait / 1_000).unwrap_or(u32::MAX));
            }
            let answer = self.report(now, answer);
            out.push(ServerOutput::Send(conn, answer.build()));
            return;
        }
        let name = message.text(d::SESSION_ID).unwrap_or_default().to_owned();
        let id = self.next_session;
        self.next_session += 1;
        // A session that comes again after it was given up is a new attempt.
        if let Some(old) = self.by_name.insert(name.clone(), id) {
            if let Some(old) = self.sessions.get_mut(&old) {
                old.given_up = true;
            }
        }
        let request = message.bytes.to_vec();
        self.sessions.insert(id, Session { name, conn, request, given_up: false, standing: false, far });
        self.spec.processor.push(now, Job::SetUp(id, now));
    }

    /// Counts a set-up and returns whether the set-ups of the last span exceed the multiple of a cold
    /// process's capacity, at which it fails.
    fn collapses_under_load(&mut self, now: Micros) -> bool {
        let warmth = self.spec.processor.warmth(now);
        if warmth >= 1.0 {
            return false;
        }
        let (multiple, span) = self.spec.fall;
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| now - at > span) {
            self.arrivals.pop_front();
        }
        let budget = multiple * self.spec.processor.settings().capacity * warmth * span as f64 / 1e6;
        self.arrivals.len() as f64 > budget + 2.0 * budget.sqrt() + 1.0
    }

    fn release(&mut self, now: Micros, conn: u64, message: &MessageRef<'_>, out: &mut Vec<ServerOutput>) {
        let name = message.text(d::SESSION_ID).unwrap_or_default();
        let id = self.by_name.get(name).copied();
        let result = if id.is_some() { result_code::SUCCESS } else { result_code::UNKNOWN_SESSION_ID };
        out.push(ServerOutput::Send(conn, self.sign(MessageBuilder::answer(message, result)).build()));
        let Some(id) = id else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.standing {
            self.spec.processor.push(now, Job::Release(id));
            self.remove_session(id);
            return;
        }
        session.given_up = true;
        if self.spec.drops_given_up {
            self.spec.processor.drop_set_up(id);
            self.remove_session(id);
        }
    }

    fn remove_session(&mut self, id: u64) {
        if let Some(session) = self.sessions.remove(&id) {
            if self.by_name.get(&session.name) == Some(&id) {
                self.by_name.remove(&session.name);
            }
        }
    }

    /// Handles the jobs that the processor has finished by now.
    pub fn work(&mut self, now: Micros, out: &mut Vec<ServerOutput>) {
        while let Some(job) = self.spec.processor.pop(now) {
            let Job::SetUp(id, _) = job else { continue };
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            if !self.conns.contains_key(&session.conn) {
                // The connection for its answer is closed.
                self.remove_session(id);
                continue;
            }
            if let Some((node, call)) = session.far {
                if !self.trunks.get_mut(&node).is_some_and(|trunk| trunk.accepted(call)) {
                    // Its circuit was released in the meantime.
                    self.remove_session(id);
                    continue;
                }
            }
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            // A set-up that was given up is still processed, and its answer is late.
            session.standing = true;
            let (conn, request) = (session.conn, std::mem::take(&mut session.request));
            self.spec.processor.push(now, Job::Answer);
            if let Ok(request) = MessageRef::parse(&request) {
                let answer = self.sign(MessageBuilder::answer(&request, result_code::SUCCESS));
                let answer = answer
                    .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
                    .add_u32(d::AUTH_REQUEST_TYPE, 1)
                    .add_u32(d::AUTH_SESSION_STATE, 0);
                let answer = self.report(now, answer);
                out.push(ServerOutput::Send(conn, answer.build()));
            }
        }
    }

    /// Cuts a standing call and notifies the node with an Abort-Session-Request.
    fn cut(&mut self, now: Micros, id: u64, out: &mut Vec<ServerOutput>) {
        let Some(session) = self.sessions.get(&id) else { return };
        let (conn, name) = (session.conn, session.name.clone());
        if let Some((node, _)) = session.far {
            let mut far = Vec::new();
            if let Some(trunk) = self.trunks.get_mut(&node) {
                trunk.cut(now, &name, &mut far);
            }
            self.remove_session(id);
            return self.handle_trunk_outputs(now, node, far, out);
        }
        let node = self.conns.get(&conn).map_or(u16::MAX, |state| state.node);
        let hop_by_hop = self.requests.begin(());
        let request = MessageBuilder::request(d::CMD_ABORT_SESSION, d::APP_NAS, true, hop_by_hop, id as u32)
            .add_str(d::SESSION_ID, &name);
        let request = self
            .sign(request)
            .add_str(d::DESTINATION_REALM, "lab")
            .add_str(d::DESTINATION_HOST, &format!("node-{node}.lab"))
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS);
        out.push(ServerOutput::Send(conn, request.build()));
        self.remove_session(id);
    }

    /// Cuts a share of the standing calls, spread over them in order of arrival.
    pub fn cut_share(&mut self, now: Micros, share: f64, out: &mut Vec<ServerOutput>) {
        let mut standing: Vec<u64> =
            self.sessions.iter().filter(|(_, s)| s.standing).map(|(id, _)| *id).collect();
        standing.sort_unstable();
        for (index, id) in standing.into_iter().enumerate() {
            // Spread evenly over old and new calls.
            if ((index + 1) as f64 * share).floor() > (index as f64 * share).floor() || share >= 1.0 {
                self.cut(now, id, out);
            }
        }
    }

    /// Takes lines out of use and cuts the calls beyond those that remain.
    pub fn lose_lines(&mut self, now: Micros, keep: f64, out: &mut Vec<ServerOutput>) {
        self.lost_lines = self.spec.lines - (f64::from(self.spec.lines) * keep) as u32;
        let left = (self.spec.lines - self.lost_lines) as usize;
        let mut standing: Vec<u64> =
            self.sessions.iter().filter(|(_, s)| s.standing).map(|(id, _)| *id).collect();
        standing.sort_unstable();
        for id in standing.into_iter().skip(left) {
            self.cut(now, id, out);
        }
    }
}
