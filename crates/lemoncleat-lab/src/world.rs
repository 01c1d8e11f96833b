//! The test environment of access nodes: stand-ins, script and capture in one event loop.

use std::collections::{BTreeMap, BinaryHeap};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use lemoncleat_authority::validity_of;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{
    result_code, ConnId, DisconnectCause, DownReason, FrameReader, MessageBuilder, MessageRef, PeerInput,
    PeerOutput,
};
use lemoncleat_net::{Event, Identity, ServerName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::caller::{Caller, CallerState, Front, Outstanding, SetUp};
use crate::capture::{ClassFacts, End, Facts, Record};
use crate::credentials::{unix_seconds, Credentials};
use crate::day::{Day, Trouble, TroubleKind};
use crate::list::{Entry, Feed, Listed};
use crate::processor::{Processor, ProcessorSettings};
use crate::script::node_settings;
use crate::server::{host as server_host, Server, ServerOutput, ServerSpec, MAX_MESSAGE_BYTES};
use crate::wire::Wire;
use crate::Micros;

/// Interval at which the timers of peers are checked.
const PEER_TICK_US: Micros = 50_000;
/// Interval at which the event loop checks for its own delay, and the delay above which it is recorded.
const LOOP_CHECK_INTERVAL_US: Micros = 5_000;
const LOOP_DELAY_LIMIT_US: Micros = 5_000;
/// Upper limit of the difference between recorded times of two stand-ins; one loop reads both.
const CLOCK_SKEW_US: Micros = 15_000;
/// Rule 1: time past the deadline in which an answer still counts, as on the operators' bench.
const ANSWER_GRACE_US: Micros = 20_000;

/// A running node under test.
pub trait NodeControl: Send {
    /// Returns the address on which the node listens.
    fn address(&self) -> SocketAddr;
    /// Returns the address of its control port, if it has one.
    fn control(&self) -> Option<SocketAddr>;
    /// Returns the address at which it serves challenge files that prove its name, if it does.
    fn challenge(&self) -> Option<SocketAddr>;
    /// Stalls the node for a time.
    fn stall(&self, time: Duration);
    /// Stops the node gracefully and returns when it has ended.
    fn stop(self: Box<Self>);
}

/// Starts a node from the text of its settings file.
pub type StartNode<'a> = &'a dyn Fn(&str) -> Result<Box<dyn NodeControl>, String>;

/// A reason why a run could not start.
#[derive(Debug)]
pub enum RehearseError {
    /// A socket failed.
    Io(std::io::Error),
    /// A node did not start.
    Node(String),
    /// The stand-in authority or a certificate could not be made.
    Certificates(String),
    /// The connections were not established in time.
    NotOpen(String),
}

impl fmt::Display for RehearseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RehearseError::Io(error) => write!(f, "{error}"),
            RehearseError::Node(why) => write!(f, "a node did not start: {why}"),
            RehearseError::Certificates(why) => write!(f, "no certificates: {why}"),
            RehearseError::NotOpen(why) => write!(f, "connections did not come about: {why}"),
        }
    }
}

impl std::error::Error for RehearseError {}

impl From<std::io::Error> for RehearseError {
    fn from(error: std::io::Error) -> Self {
        RehearseError::Io(error)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tick {
    Arrival,
    Try(usize),
    GiveUp(usize, u32),
    Leave(usize, u32),
    HangUp(usize),
    Begin(usize),
    Finish(usize),
    /// The next step of a trouble with several steps.
    Step(usize, u32),
    /// A server sets up a call of its own toward a node.
    FarCall(usize, u16),
    FarRetry(usize, u16, u64),
    FarHangUp(usize, u16, u64),
    /// A change is to be sent on a node's feed.
    Publish(u16),
    /// The witness dials a node to record its certificate.
    Witness(u16),
    /// A front-end closes its connection and dials again.
    Rehandshake(usize),
    Peers,
    /// Checks for delays of the event loop.
    LoopCheck,
    PopularPlace,
    EndOfDay,
}

#[derive(PartialEq, Eq)]
struct ScheduledTick {
    at: Micros,
    sequence: u64,
    tick: Tick,
}

impl Ord for ScheduledTick {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for ScheduledTick {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Clone, Copy, Debug)]
enum Owner {
    Server(usize),
    Front(usize),
    Feed(u16),
    Witness,
}

/// Tags of listeners and dials, by the stand-in that they belong to.
const TAG_FEED: u64 = 1 << 32;
const TAG_FRONT: u64 = 1 << 33;
const TAG_WITNESS: u64 = 1 << 34;

/// Messages to a running lab.
#[derive(Debug)]
pub enum LabMessage {
    /// Ends the lab.
    Stop,
    /// Ends arrivals; the day ends after its tail.
    LastCall,
    /// A node of the lab has ended.
    NodeEnded,
}

/// TLS of a run, with the identities of the stand-ins that dial nodes.
pub(crate) struct Tls {
    pub credentials: Credentials,
    fronts: Vec<Identity>,
    witness: Identity,
}

impl Tls {
    fn new(day: &Day, fronts: &[Front]) -> Result<Option<Tls>, String> {
        let Some(certificates) = &day.certificates else { return Ok(None) };
        let credentials = Credentials::new(certificates, day.seed)?;
        let fronts: Result<Vec<Identity>, String> =
            fronts.iter().map(|front| credentials.client_identity(&front.host)).collect();
        let witness = credentials.client_identity("witness.lab")?;
        Ok(Some(Tls { fronts: fronts?, witness, credentials }))
    }
}

/// The environment of some access nodes: stand-in servers, front-ends, callers and feeds, over any [`Wire`].
pub struct World<W> {
    pub(crate) day: Day,
    pub(crate) wire: W,
    pub(crate) tls: Option<Tls>,
    /// Time at which arrivals began.
    pub(crate) zero: Micros,
    due: BinaryHeap<ScheduledTick>,
    sequence: u64,
    rng: SmallRng,
    pub(crate) records: Vec<Record>,
    owners: BTreeMap<u64, Owner>,
    pub(crate) servers: Vec<Server>,
    /// Index of the current server of each place of the script; replacements change it.
    in_place: Vec<usize>,
    pub(crate) fronts: Vec<Front>,
    feeds: Vec<Feed>,
    pending: Vec<Vec<Entry>>,
    feed_gone: bool,
    list_lag: Micros,
    pub(crate) callers: Vec<Caller>,
    surge: f64,
    popular_place: usize,
    pub(crate) nodes: Vec<Box<dyn NodeControl>>,
    next_id: u32,
    cutting: bool,
    pub(crate) rehandshaking: bool,
    pub(crate) far_stood: u64,
    pub(crate) in_use_at_end: u32,
}

impl<W: Wire> World<W> {
    /// Creates the stand-ins of a day and starts the nodes from their settings.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or a node does not start.
    pub fn build(
        day: Day,
        mut wire: W,
        start: StartNode<'_>,
        clients: &[String],
    ) -> Result<World<W>, RehearseError> {
        let mut rng = SmallRng::seed_from_u64(day.seed);
        let mut servers = Vec::new();
        let seeds: Vec<u64> = (0..day.servers.len()).map(|_| rng.random()).collect();
        let fronts: Vec<Front> = (0..day.nodes * day.fronts)
            .map(|number| Front::new(number, number % day.nodes, rng.random()))
            .collect();
        let tls = Tls::new(&day, &fronts).map_err(RehearseError::Certificates)?;
        for (number, seed) in seeds.into_iter().enumerate() {
            let address = listen(&mut wire, tls.as_ref(), number)?;
            servers.push(Server::new(spec(&day, number, number, address), seed));
        }
        let mut nodes = Vec::new();
        let mut feeds = Vec::new();
        for node in 0..day.nodes {
            let address = wire.listen(TAG_FEED + u64::from(node), None)?;
            let mut feed = Feed::default();
            for server in &servers {
                feed.view.insert(server.spec.number, entry(server, Listed::Ready));
            }
            feeds.push(feed);
            let own = fronts.iter().filter(|front| front.node == node).map(|front| front.host.clone());
            let clients: Vec<String> = own.chain(clients.iter().cloned()).collect();
            let form = tls.as_ref().map_or("(plain yes)".to_owned(), |tls| tls.credentials.node(node));
            let text = node_settings(&day, node, address, &clients, &form);
            let started = start(&text).map_err(RehearseError::Node)?;
            if let Some(tls) = &tls {
                tls.credentials.register_node(node, started.address(), started.challenge());
            }
            nodes.push(started);
        }
        let processor = &day.processor;
        let facts = Facts {
            day: day.name.clone(),
            classes: day
                .classes
                .iter()
                .enumerate()
                .map(|(index, class)| ClassFacts {
                    name: class.name.clone(),
                    prefix: Day::prefix(index),
                    aim: class.aim.0,
                    deadline: class.deadline.0,
                    worth: class.worth,
                    late_worth: class.late_worth,
                })
                .collect(),
            answer_grace: ANSWER_GRACE_US,
            drain_grace: day.drain_grace.0,
            fall_multiple: processor.fall_multiple,
            fall_span: processor.fall_span.0,
            release: day.release.0,
            skew: CLOCK_SKEW_US,
        };
        let in_place = (0..servers.len()).collect();
        let pending = vec![Vec::new(); feeds.len()];
        Ok(World {
            wire,
            tls,
            zero: 0,
            due: BinaryHeap::new(),
            sequence: 0,
            rng,
            records: vec![Record::Facts(facts)],
            owners: BTreeMap::new(),
            servers,
            in_place,
            fronts,
            feeds,
            pending,
            feed_gone: false,
            list_lag: 0,
            callers: Vec::new(),
            surge: 1.0,
            popular_place: 0,
            nodes,
            next_id: 1,
            cutting: false,
            rehandshaking: false,
            far_stood: 0,
            in_use_at_end: 0,
            day,
        })
    }

    pub(crate) fn now(&self) -> Micros {
        self.wire.now()
    }

    fn schedule(&mut self, at: Micros, tick: Tick) {
        self.sequence += 1;
        self.due.push(ScheduledTick { at, sequence: self.sequence, tick });
    }

    // ---- Course of a day ----

    /// Lets front-ends dial, before the day begins.
    pub fn connect(&mut self) {
        let now = self.now();
        self.schedule(now, Tick::Peers);
        for index in 0..self.fronts.len() {
            self.drive_front(index, PeerInput::Start);
        }
    }

    /// Returns the numbers of front-ends and of servers that lack connections with nodes.
    pub fn unconnected(&self) -> (usize, usize) {
        let fronts = self.fronts.iter().filter(|front| front.open().is_none()).count();
        let open = |server: &Server| {
            server.conns.values().filter(|c| c.peer.as_ref().is_some_and(|peer| peer.is_open())).count()
        };
        let servers = self.servers.iter().filter(|s| open(s) < usize::from(self.day.nodes)).count();
        (fronts, servers)
    }

    /// Begins the day: schedules arrivals and troubles. Returns the length of the day with its tail.
    pub fn begin_day(&mut self) -> Micros {
        self.zero = self.now();
        let zero = self.zero;
        self.schedule(zero, Tick::Arrival);
        self.schedule(zero, Tick::PopularPlace);
        self.schedule(zero, Tick::LoopCheck);
        for place in 0..self.in_place.len() {
            for node in 0..self.day.nodes {
                self.schedule(zero, Tick::FarCall(place, node));
            }
        }
        for (number, trouble) in self.day.troubles.clone().into_iter().enumerate() {
            self.schedule(zero + trouble.at.0, Tick::Begin(number));
        }
        if self.tls.is_some() {
            for node in 0..self.day.nodes {
                self.schedule(zero, Tick::Witness(node));
            }
        }
        let last = self.day.length.0 + self.day.tail.0;
        self.schedule(zero + last, Tick::EndOfDay);
        last
    }

    /// Returns the time at which [`World::advance`] must be called next.
    pub fn due(&self) -> Option<Micros> {
        let working = self.servers.iter().filter(|server| server.up && !server.fallen);
        let processors = working.filter_map(|server| server.spec.processor.due()).min();
        let first = self.due.peek().map(|due| due.at);
        match (processors, first) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Performs everything that is due. Returns `false` once the day is over.
    pub fn advance(&mut self) -> bool {
        let now = self.now();
        for index in 0..self.servers.len() {
            let mut out = Vec::new();
            if self.servers[index].up && !self.servers[index].fallen {
                self.servers[index].work(now, &mut out);
            }
            self.perform(index, out);
        }
        while self.due.peek().is_some_and(|due| due.at <= now) {
            let Some(due) = self.due.pop() else { break };
            if due.tick == Tick::EndOfDay {
                return false;
            }
            if due.tick == Tick::LoopCheck && now - due.at > LOOP_DELAY_LIMIT_US {
                self.records.push(Record::Behind { from: due.at, at: now });
            }
            self.tick(due.tick);
        }
        true
    }

    /// Ends all calls from both sides.
    pub fn hang_up_all(&mut self) {
        let now = self.now();
        for id in 0..self.callers.len() {
            if let CallerState::Standing(front, session) = self.callers[id].state.clone() {
                self.release(usize::from(front), &session);
                self.callers[id].state = CallerState::Done;
            }
        }
        for index in 0..self.servers.len() {
            for node in 0..self.day.nodes {
                self.with_far_trunk(now, index, node, |trunk, far| trunk.hang_up_all(now, far));
            }
        }
    }

    /// Describes the circuits in use at servers that are up.
    pub fn circuits_in_use(&self) -> Vec<String> {
        let up = self.servers.iter().filter(|server| server.up);
        let trunks =
            up.flat_map(|server| server.trunks.iter().map(move |(node, trunk)| (server, node, trunk)));
        let describe = |(server, node, trunk): (&Server, &u16, &crate::far::FarTrunk)| {
            let circuits = trunk.busy().into_iter();
            let text =
                |(circuit, state)| format!("{circuit} of {} toward node {node} {state:?}", server.host);
            circuits.map(text).collect::<Vec<String>>()
        };
        trunks.flat_map(describe).collect()
    }

    /// Returns the standing calls at servers that are up, as server and session.
    pub fn standing_calls(&self) -> Vec<(String, String)> {
        let up = self.servers.iter().filter(|server| server.up);
        up.flat_map(|s| s.standing_names().into_iter().map(|name| (s.host.clone(), name))).collect()
    }

    /// Returns the front-end that dials under a tag.
    pub fn front_of(&self, tag: u64) -> Option<u16> {
        let number = u16::try_from(tag.checked_sub(TAG_FRONT)?).ok()?;
        (usize::from(number) < self.fronts.len()).then_some(number)
    }

    /// Returns the number of standing calls at servers that are up.
    pub fn standing(&self) -> usize {
        self.servers.iter().filter(|server| server.up).map(Server::standing).sum()
    }

    /// Returns the records made since the previous call.
    pub fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    fn tick(&mut self, tick: Tick) {
        let now = self.now();
        match tick {
            Tick::Arrival => self.arrival(now),
            Tick::Try(caller) => self.try_call(now, caller),
            Tick::GiveUp(caller, number) => {
                if self.callers[caller].tries == number
                    && matches!(self.callers[caller].state, CallerState::Trying(..))
                {
                    // A caller that gives up sends nothing: the request stated its deadline.
                    self.retry_or_end(now, caller);
                }
            }
            Tick::Leave(caller, number) => {
                let CallerState::Trying(front, session) = self.callers[caller].state.clone() else { return };
                if self.callers[caller].tries == number {
                    self.release(usize::from(front), &session);
                    self.callers[caller].state = CallerState::Done;
                }
            }
            Tick::HangUp(caller) => {
                if let CallerState::Standing(front, session) = self.callers[caller].state.clone() {
                    self.release(usize::from(front), &session);
                    self.callers[caller].state = CallerState::Done;
                }
            }
            Tick::FarCall(server, node) => self.far_call(now, server, node),
            Tick::FarRetry(server, node, call) if self.servers[server].is_linked(node) => {
                self.with_far_trunk(now, server, node, |trunk, far| trunk.retry_seizure(now, call, far));
            }
            Tick::FarRetry(..) => {}
            Tick::FarHangUp(server, node, call) => {
                self.with_far_trunk(now, server, node, |trunk, far| trunk.hang_up(now, call, far));
            }
            Tick::Begin(number) => self.begin_trouble(now, number),
            Tick::Finish(number) => self.end_trouble(now, number),
            Tick::Step(number, step) => self.step(now, number, step),
            Tick::Publish(node) => self.publish(now, node),
            Tick::Witness(node) => {
                let every = self.day.certificates.as_ref().map_or(1_000_000, |day| day.witness.0.max(10_000));
                self.schedule(now + every, Tick::Witness(node));
                let identity = self.tls.as_ref().map(|tls| tls.witness.clone());
                self.dial_node(TAG_WITNESS + u64::from(node), node, identity);
            }
            Tick::Rehandshake(front) => {
                if self.fronts[front].open().is_some() {
                    self.drive_front(front, PeerInput::Disconnect(DisconnectCause::Rebooting));
                }
            }
            Tick::Peers => {
                for index in 0..self.servers.len() {
                    let mut out = Vec::new();
                    self.servers[index].tick(now, &mut out);
                    self.perform(index, out);
                }
                for index in 0..self.fronts.len() {
                    if self.fronts[index].peer.due().is_some_and(|due| due <= now) {
                        self.drive_front(index, PeerInput::Timeout);
                    }
                }
                self.schedule(now + PEER_TICK_US, Tick::Peers);
            }
            Tick::PopularPlace => {
                self.popular_place = self.rng.random_range(0..self.in_place.len());
                let next = self.rng.random_range(6_000_000..10_000_000);
                self.schedule(now + next, Tick::PopularPlace);
            }
            Tick::LoopCheck => self.schedule(now + LOOP_CHECK_INTERVAL_US, Tick::LoopCheck),
            Tick::EndOfDay => {}
        }
    }

    // ---- Connections ----

    /// Handles an event of a connection or a message to the lab.
    pub fn event(&mut self, event: Event<LabMessage>) {
        let now = self.now();
        match event {
            Event::Accepted { tag, conn } if tag >= TAG_FEED => {
                let node = (tag - TAG_FEED) as u16;
                if self.feed_gone {
                    return self.wire.close(conn);
                }
                self.owners.insert(conn, Owner::Feed(node));
                self.feeds[usize::from(node)].conn = Some(conn);
                let line = self.feeds[usize::from(node)].complete(now);
                let entries: Vec<Entry> = self.feeds[usize::from(node)].view.values().cloned().collect();
                for entry in &entries {
                    self.record_listed(now, node, entry);
                }
                self.wire.send(conn, &line);
            }
            Event::Accepted { tag, conn } => {
                let index = tag as usize;
                self.record_certificate(conn, None);
                if !self.servers[index].up || self.servers[index].fallen {
                    return self.wire.abort(conn);
                }
                self.owners.insert(conn, Owner::Server(index));
                self.servers[index].accept(conn);
            }
            Event::Dialled { tag, conn } if tag >= TAG_WITNESS => {
                self.record_certificate(conn, Some((tag - TAG_WITNESS) as u16));
                // The certificate is recorded; the connection has no other use.
                self.owners.insert(conn, Owner::Witness);
                self.wire.close(conn);
            }
            Event::DialFailed { tag, .. } if tag >= TAG_WITNESS => {
                let node = (tag - TAG_WITNESS) as u16;
                self.records.push(Record::NoHandshake { at: now, node });
            }
            Event::Dialled { tag, conn } => {
                let index = (tag - TAG_FRONT) as usize;
                self.record_certificate(conn, Some(self.fronts[index].node));
                self.owners.insert(conn, Owner::Front(index));
                self.fronts[index].conn = Some(conn);
                self.fronts[index].reader = FrameReader::new(MAX_MESSAGE_BYTES);
                self.drive_front(index, PeerInput::Dialled(ConnId(conn)));
            }
            Event::DialFailed { tag, .. } => {
                self.drive_front((tag - TAG_FRONT) as usize, PeerInput::DialFailed);
            }
            Event::Bytes { conn, bytes } => self.bytes(now, conn, &bytes),
            Event::Closed { conn } => match self.owners.remove(&conn) {
                Some(Owner::Server(index)) => {
                    let end = End::Server(self.servers[index].spec.number);
                    self.records.push(Record::Closed { at: now, end, conn });
                    self.servers[index].closed(now, conn);
                }
                Some(Owner::Front(index)) => {
                    self.records.push(Record::Closed { at: now, end: End::Client(index as u16), conn });
                    self.drive_front(index, PeerInput::Closed(ConnId(conn)));
                }
                Some(Owner::Feed(node)) if self.feeds[usize::from(node)].conn == Some(conn) => {
                    self.feeds[usize::from(node)].conn = None;
                }
                Some(Owner::Feed(_) | Owner::Witness) | None => {}
            },
            Event::Message(LabMessage::LastCall) => {
                self.day.length = lemoncleat_settings::Span(now - self.zero);
                self.schedule(now + self.day.tail.0, Tick::EndOfDay);
            }
            Event::Message(_) => {}
        }
    }

    fn bytes(&mut self, now: Micros, conn: u64, bytes: &[u8]) {
        match self.owners.get(&conn) {
            Some(Owner::Server(index)) => {
                let index = *index;
                let Some(state) = self.servers[index].conns.get_mut(&conn) else { return };
                state.reader.push(bytes);
                loop {
                    let Some(state) = self.servers[index].conns.get_mut(&conn) else { return };
                    let node = state.node;
                    let Ok(Some(frame)) = state.reader.next_frame() else { return };
                    let frame = frame.to_vec();
                    let end = End::Server(self.servers[index].spec.number);
                    self.records.push(Record::Frame {
                        at: now,
                        end,
                        node,
                        conn,
                        to_node: false,
                        bytes: frame.clone(),
                    });
                    if !self.servers[index].reachable(node) {
                        continue;
                    }
                    let mut out = Vec::new();
                    self.servers[index].message(now, conn, &frame, &mut out);
                    self.perform(index, out);
                }
            }
            Some(Owner::Front(index)) => {
                let index = *index;
                self.fronts[index].reader.push(bytes);
                while let Ok(Some(frame)) = self.fronts[index].reader.next_frame() {
                    let frame = frame.to_vec();
                    let (end, node) = (End::Client(index as u16), self.fronts[index].node);
                    self.records.push(Record::Frame {
                        at: now,
                        end,
                        node,
                        conn,
                        to_node: false,
                        bytes: frame.clone(),
                    });
                    self.front_message(now, index, conn, &frame);
                }
            }
            Some(Owner::Feed(_) | Owner::Witness) | None => {}
        }
    }

    /// Records the certificate that a node presented in a handshake. Where the node dialled, its name is
    /// taken from the certificate.
    fn record_certificate(&mut self, conn: u64, node: Option<u16>) {
        let Some(validity) = self.wire.peer_certificate(conn).and_then(|der| validity_of(&der)) else {
            return;
        };
        let named = || self.wire.peer_names(conn)?.iter().find_map(|name| crate::server::number_in(name));
        if let Some(node) = node.or_else(named) {
            self.records.push(Record::Handshake { at: self.now(), node, wall: unix_seconds(), validity });
        }
    }

    /// Dials a node, with TLS if the day uses it.
    fn dial_node(&mut self, tag: u64, node: u16, identity: Option<Identity>) {
        // At the end of a day the nodes are already removed.
        let Some(address) = self.nodes.get(usize::from(node)).map(|node| node.address()) else { return };
        let tls = self.tls.as_ref().zip(identity).and_then(|(tls, identity)| {
            let name = ServerName::try_from(format!("node-{node}.lab")).ok()?;
            Some((name, tls.credentials.client(&identity).ok()?))
        });
        self.wire.dial(address, tag, tls);
    }

    /// Carries out the actions that a server requested. Messages of a silent server or over a dead link are
    /// dropped.
    fn perform(&mut self, index: usize, out: Vec<ServerOutput>) {
        let now = self.now();
        let end = End::Server(self.servers[index].spec.number);
        for output in out {
            match output {
                ServerOutput::Send(conn, bytes) => {
                    let Some(node) = self.servers[index].conns.get(&conn).map(|state| state.node) else {
                        continue;
                    };
                    if self.servers[index].reachable(node) {
                        self.wire.send(conn, &bytes);
                        self.records.push(Record::Frame { at: now, end, node, conn, to_node: true, bytes });
                    }
                }
                ServerOutput::Close(conn) => {
                    self.records.push(Record::Closed { at: now, end, conn });
                    self.owners.remove(&conn);
                    self.wire.close(conn);
                    self.servers[index].closed(now, conn);
                }
                ServerOutput::FarEstablished(node, call) => {
                    let mean = self.day.circuits.as_ref().map_or(1, |circuits| circuits.far_length.0) as f64;
                    let length = (-self.rng.random::<f64>().max(1e-12).ln() * mean) as Micros;
                    self.far_stood += 1;
                    self.schedule(now + length, Tick::FarHangUp(index, node, call));
                }
                ServerOutput::FarRetry(node, call, wait) => {
                    self.schedule(now + wait, Tick::FarRetry(index, node, call))
                }
                ServerOutput::Collapsed => {
                    self.records.push(Record::Fell { at: now, server: self.servers[index].spec.number });
                    self.kill(index);
                    self.servers[index].fallen = true;
                }
            }
        }
    }

    /// Kills a server's process and aborts its connections.
    fn kill(&mut self, index: usize) {
        let now = self.now();
        let end = End::Server(self.servers[index].spec.number);
        for conn in self.servers[index].stop() {
            self.records.push(Record::Closed { at: now, end, conn });
            self.owners.remove(&conn);
            self.wire.abort(conn);
        }
    }

    fn with_far_trunk(
        &mut self,
        now: Micros,
        index: usize,
        node: u16,
        act: impl FnOnce(&mut crate::far::FarTrunk, &mut Vec<crate::far::FarOutput>),
    ) {
        let mut out = Vec::new();
        self.servers[index].with_trunk(now, node, &mut out, act);
        self.perform(index, out);
    }

    /// Starts a call from a server to a node on a circuit that the server selects, and schedules the next
    /// one.
    fn far_call(&mut self, now: Micros, place: usize, node: u16) {
        let rate =
            self.day.circuits.as_ref().and_then(|circuits| circuits.far_rate).map_or(0.0, |rate| rate.0);
        if rate <= 0.0 || now - self.zero > self.day.length.0 {
            return;
        }
        let index = self.in_place[place];
        if self.servers[index].is_linked(node) {
            self.with_far_trunk(now, index, node, |trunk, far| trunk.call(now, None, far));
        }
        let gap = -self.rng.random::<f64>().max(1e-12).ln() * 1e6 / rate;
        self.schedule(now + gap as Micros, Tick::FarCall(place, node));
    }

    // ---- Front-ends and callers ----

    fn drive_front(&mut self, index: usize, input: PeerInput<'_>) -> bool {
        let now = self.now();
        let mut outputs = Vec::new();
        self.fronts[index].peer.handle(now, input, &mut outputs);
        let (mut deliver, mut back) = (false, false);
        for output in outputs {
            match output {
                PeerOutput::Dial => {
                    let identity = self.tls.as_ref().map(|tls| tls.fronts[index].clone());
                    self.dial_node(TAG_FRONT + index as u64, self.fronts[index].node, identity);
                }
                PeerOutput::Open(conn, _) => {
                    // Unanswered requests are retransmitted (RFC 6733 section 5.5.4). A set-up whose caller
                    // no longer waits may have been established nevertheless, so it is released instead.
                    for (hop_by_hop, sent, bytes) in self.fronts[index].repeats(now) {
                        match sent {
                            Outstanding::SetUp(id, number) if !self.awaits_answer(id, number) => {
                                let session = MessageRef::parse(&bytes)
                                    .ok()
                                    .and_then(|request| request.text(d::SESSION_ID).map(str::to_owned));
                                self.fronts[index].finish(hop_by_hop);
                                let release = session.map(|session| self.fronts[index].release(&session));
                                release.into_iter().for_each(|bytes| self.front_send(index, conn.0, bytes));
                            }
                            _ => self.front_send(index, conn.0, bytes),
                        }
                    }
                }
                PeerOutput::Down(DownReason::Disconnected) => back = true,
                PeerOutput::StopDial => self.wire.stop_dial(TAG_FRONT + index as u64),
                PeerOutput::Send(conn, bytes) => self.front_send(index, conn.0, bytes),
                PeerOutput::Close(conn) => {
                    self.records.push(Record::Closed {
                        at: now,
                        end: End::Client(index as u16),
                        conn: conn.0,
                    });
                    self.owners.remove(&conn.0);
                    self.wire.close(conn.0);
                }
                PeerOutput::Deliver => deliver = true,
                _ => {}
            }
        }
        if back && self.rehandshaking {
            self.drive_front(index, PeerInput::Start);
        }
        deliver
    }

    /// Returns whether a caller still waits for the answer to one of its tries.
    fn awaits_answer(&self, id: usize, number: u32) -> bool {
        let caller = &self.callers[id];
        caller.tries == number && matches!(caller.state, CallerState::Trying(..))
    }

    fn front_send(&mut self, index: usize, conn: u64, bytes: Vec<u8>) {
        let at = self.now();
        self.wire.send(conn, &bytes);
        let (end, node) = (End::Client(index as u16), self.fronts[index].node);
        self.records.push(Record::Frame { at, end, node, conn, to_node: true, bytes });
    }

    fn arrival(&mut self, now: Micros) {
        if now - self.zero > self.day.length.0 {
            return;
        }
        let rate = self.day.rate.0 * self.surge;
        let gap = -self.rng.random::<f64>().max(1e-12).ln() * 1e6 / rate;
        self.schedule(now + gap as Micros, Tick::Arrival);
        if self.fronts.is_empty() {
            return;
        }
        let total: f64 = self.day.classes.iter().map(|class| class.share).sum();
        let mut pick = self.rng.random::<f64>() * total;
        let mut class = 0;
        for (index, known) in self.day.classes.iter().enumerate() {
            class = index;
            pick -= known.share;
            if pick < 0.0 {
                break;
            }
        }
        let place = if self.rng.random::<f64>() < self.day.callers.drift {
            self.popular_place
        } else {
            self.rng.random_range(0..self.in_place.len())
        };
        let ends = now + self.day.classes[class].deadline.0;
        let caller = Caller { class, place, ends, tries: 0, state: CallerState::Waiting, cut: false };
        self.callers.push(caller);
        self.try_call(now, self.callers.len() - 1);
    }

    fn try_call(&mut self, now: Micros, id: usize) {
        let fronts = self.fronts.len();
        let first = self.rng.random_range(0..fronts.max(1));
        let open = (0..fronts)
            .map(|step| (first + step) % fronts)
            .find(|index| self.fronts[*index].open().is_some());
        let caller = &mut self.callers[id];
        caller.tries += 1;
        let Some(front) = open else {
            caller.state = CallerState::Waiting;
            return self.retry_or_end(now, id);
        };
        let class = &self.day.classes[caller.class];
        let patience = ((class.deadline.0 as f64 * self.day.callers.try_share) as Micros)
            .min(caller.ends - now)
            .max(1_000);
        // Whole milliseconds, the unit in the request.
        let patience = (patience / 1_000).max(1) * 1_000;
        let session = format!("{};{id};{}", self.fronts[front].host, caller.tries);
        let called = Day::number(caller.class, caller.place, id as u32 % 1_000_000);
        let marks = if caller.cut { d::MARK_CUT } else { 0 };
        let number = caller.tries;
        caller.state = CallerState::Trying(front as u16, session.clone());
        let calling = format!("c{id}");
        let set_up = SetUp { session: &session, called: &called, calling: &calling, patience, marks };
        self.next_id = self.next_id.wrapping_add(1);
        let bytes = self.fronts[front].set_up(now, &set_up, Outstanding::SetUp(id, number), self.next_id);
        if let Some(conn) = self.fronts[front].open() {
            self.front_send(front, conn, bytes);
        }
        self.schedule(now + patience, Tick::GiveUp(id, number));
        if number == 1 && self.rng.random::<f64>() < self.day.callers.impatient {
            let leaves = self.rng.random_range(1_000..1_000_000);
            self.schedule(now + leaves, Tick::Leave(id, number));
        }
    }

    /// Schedules the next try after a failed one, or ends the caller.
    fn retry_or_end(&mut self, now: Micros, id: usize) {
        let mean = self.day.callers.backoff.0 as f64;
        let wait = (-self.rng.random::<f64>().max(1e-12).ln() * mean) as Micros;
        let caller = &mut self.callers[id];
        if caller.tries <= self.day.callers.redials && now + wait < caller.ends {
            caller.state = CallerState::Waiting;
            self.schedule(now + wait, Tick::Try(id));
        } else {
            caller.state = CallerState::Done;
        }
    }

    /// Releases a call. While the front-end has no connection, the release is kept with the unanswered
    /// requests.
    fn release(&mut self, front: usize, session: &str) {
        let bytes = self.fronts[front].release(session);
        if let Some(conn) = self.fronts[front].open() {
            self.front_send(front, conn, bytes);
        }
    }

    fn front_message(&mut self, now: Micros, index: usize, conn: u64, bytes: &[u8]) {
        let Ok(message) = MessageRef::parse(bytes) else { return };
        if !self.drive_front(index, PeerInput::Message(ConnId(conn), &message)) {
            return;
        }
        if message.header.is_request() {
            match message.header.command {
                d::CMD_ABORT_SESSION => self.on_call_cut(now, index, conn, &message),
                // A call from a server is always accepted.
                d::CMD_AA => {
                    let answer = MessageBuilder::answer(&message, result_code::SUCCESS)
                        .add_str(d::ORIGIN_HOST, &self.fronts[index].host)
                        .add_str(d::ORIGIN_REALM, "lab");
                    self.front_send(index, conn, answer.build());
                }
                _ => {}
            }
            return;
        }
        let Some(Outstanding::SetUp(id, number)) = self.fronts[index].finish(message.header.hop_by_hop)
        else {
            return;
        };
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        let current = self.callers[id].tries == number;
        let awaits_answer =
            matches!(&self.callers[id].state, CallerState::Trying(_, name) if name == session);
        if message.result_code() == result_code::SUCCESS {
            if current && awaits_answer {
                let mean = self.day.classes[self.callers[id].class].length.0 as f64;
                let length = (-self.rng.random::<f64>().max(1e-12).ln() * mean) as Micros;
                self.callers[id].state = CallerState::Standing(index as u16, session.to_owned());
                self.schedule(now + length, Tick::HangUp(id));
            } else {
                // The caller no longer waits.
                self.release(index, session);
            }
        } else if current && awaits_answer {
            self.retry_or_end(now, id);
        }
    }

    /// Handles a cut call: answers the request, and schedules a new try if the script is cutting calls.
    fn on_call_cut(&mut self, now: Micros, index: usize, conn: u64, message: &MessageRef<'_>) {
        let session = message.text(d::SESSION_ID).unwrap_or_default();
        let answer = MessageBuilder::answer(message, result_code::SUCCESS)
            .add_str(d::ORIGIN_HOST, &self.fronts[index].host)
            .add_str(d::ORIGIN_REALM, "lab");
        self.front_send(index, conn, answer.build());
        let id = session.split(';').nth(1).and_then(|id| id.parse::<usize>().ok());
        let Some(id) = id.filter(|id| *id < self.callers.len()) else { return };
        if !matches!(&self.callers[id].state, CallerState::Standing(_, name) if name == session) {
            return;
        }
        if self.cutting {
            let wait = self.rng.random_range(280_000..3_000_000);
            let deadline = self.day.classes[self.callers[id].class].deadline.0;
            let caller = &mut self.callers[id];
            (caller.cut, caller.state, caller.ends) = (true, CallerState::Waiting, now + wait + deadline);
            self.schedule(now + wait, Tick::Try(id));
        } else {
            self.callers[id].state = CallerState::Done;
        }
    }

    // ---- Server list ----

    fn record_listed(&mut self, at: Micros, node: u16, entry: &Entry) {
        let (ready, started) = (entry.state == Listed::Ready, entry.started.is_some());
        self.records.push(Record::Listed { at, node, server: entry.server, ready, started });
    }

    /// Changes a server's entry of the list and schedules the change on each node's feed after the list's
    /// delay.
    fn announce(&mut self, now: Micros, index: usize, state: Listed) {
        let entry = entry(&self.servers[index], state);
        for node in 0..self.feeds.len() {
            let spread = self.day.list.spread.0.max(1);
            let wait = self.day.list.delay.0 + self.list_lag + self.rng.random_range(0..spread);
            let due = (now + wait).max(self.feeds[node].last_due + 1);
            self.feeds[node].last_due = due;
            self.pending[node].push(entry.clone());
            self.schedule(due, Tick::Publish(node as u16));
        }
    }

    fn publish(&mut self, now: Micros, node: u16) {
        let index = usize::from(node);
        if self.pending[index].is_empty() {
            return;
        }
        let entry = self.pending[index].remove(0);
        let line = self.feeds[index].change(now, entry.clone());
        if let Some(conn) = self.feeds[index].conn {
            self.wire.send(conn, &line);
            self.record_listed(now, node, &entry);
        }
    }

    // ---- Troubles ----

    /// Returns the current servers of the places that a trouble affects.
    fn affected(&self, trouble: &Trouble) -> Vec<usize> {
        if trouble.on.is_empty() {
            return self.in_place.clone();
        }
        trouble.on.iter().map(|place| self.in_place[usize::from(*place)]).collect()
    }

    fn record_trouble(&mut self, at: Micros, number: usize, begins: bool) {
        let text = self.day.troubles[number].text();
        self.records.push(Record::Trouble { at, number: number as u16, text, begins });
    }

    fn begin_trouble(&mut self, now: Micros, number: usize) {
        let trouble = self.day.troubles[number].clone();
        self.record_trouble(now, number, true);
        self.schedule(now + trouble.length.0, Tick::Finish(number));
        let affected = self.affected(&trouble);
        match trouble.kind {
            TroubleKind::Surge => self.surge *= trouble.size,
            TroubleKind::Crash => {
                for index in affected {
                    self.kill(index);
                    self.announce(now, index, Listed::Gone);
                }
            }
            TroubleKind::Hang => {
                affected.iter().for_each(|i| self.servers[*i].spec.processor.hang(now, true))
            }
            TroubleKind::SilentWatchdog => affected.iter().for_each(|i| self.servers[*i].silent = true),
            TroubleKind::Slow => {
                affected.iter().for_each(|i| self.servers[*i].spec.processor.slow = trouble.size)
            }
            TroubleKind::Ageing | TroubleKind::Drain | TroubleKind::Stall => self.step(now, number, 0),
            TroubleKind::Dpr => {
                for index in affected {
                    let mut out = Vec::new();
                    self.servers[index].disconnect(now, DisconnectCause::Rebooting, &mut out);
                    self.perform(index, out);
                }
            }
            TroubleKind::Cut => {
                self.cutting = true;
                for index in affected {
                    let mut out = Vec::new();
                    self.servers[index].cut_share(now, trouble.size, &mut out);
                    self.perform(index, out);
                }
            }
            TroubleKind::Lines => {
                for index in affected {
                    let mut out = Vec::new();
                    self.servers[index].lose_lines(now, trouble.size, &mut out);
                    self.perform(index, out);
                }
            }
            TroubleKind::ListLag => self.list_lag += (trouble.size * 1e6) as Micros,
            TroubleKind::ListGone => {
                self.feed_gone = true;
                for node in 0..self.feeds.len() {
                    if let Some(conn) = self.feeds[node].conn.take() {
                        self.owners.remove(&conn);
                        self.wire.close(conn);
                    }
                }
            }
            TroubleKind::DeadLink => {
                affected.iter().for_each(|i| self.servers[*i].dead_links.push(trouble.node));
            }
            TroubleKind::HalfFrame => {
                for index in affected {
                    self.half_frame(index);
                }
            }
            TroubleKind::AuthorityAway => self.with_authority(|credentials| credentials.set_away(true)),
            TroubleKind::AuthorityRefuses => {
                self.with_authority(|credentials| credentials.set_refusing(true))
            }
            TroubleKind::Rehandshake => {
                self.rehandshaking = true;
                for front in 0..self.fronts.len() {
                    let at = now + self.rng.random_range(0..trouble.length.0.max(1));
                    self.schedule(at, Tick::Rehandshake(front));
                }
            }
        }
    }

    /// Sends half a watchdog request on every connection, then silences the server.
    fn half_frame(&mut self, index: usize) {
        let whole = MessageBuilder::request(d::CMD_WATCHDOG, 0, false, 1, 1)
            .add_str(d::ORIGIN_HOST, &self.servers[index].host)
            .add_str(d::ORIGIN_REALM, "lab")
            .build();
        let conns: Vec<u64> = self.servers[index].conns.keys().copied().collect();
        for conn in conns {
            self.wire.send(conn, &whole[..whole.len() / 2]);
        }
        self.servers[index].silent = true;
    }

    fn end_trouble(&mut self, now: Micros, number: usize) {
        let trouble = self.day.troubles[number].clone();
        self.record_trouble(now, number, false);
        let affected = self.affected(&trouble);
        match trouble.kind {
            TroubleKind::Surge => self.surge /= trouble.size.max(1e-9),
            TroubleKind::Crash => {
                for index in affected {
                    // Another trouble may have replaced or started the server already.
                    if self.servers[index].up {
                        continue;
                    }
                    self.servers[index].restart(now);
                    self.record_started(now, index);
                    self.announce(now, index, Listed::Ready);
                }
            }
            TroubleKind::Hang => {
                affected.iter().for_each(|i| self.servers[*i].spec.processor.hang(now, false))
            }
            TroubleKind::SilentWatchdog => affected.iter().for_each(|i| self.servers[*i].silent = false),
            TroubleKind::Slow | TroubleKind::Ageing => {
                affected.iter().for_each(|i| self.servers[*i].spec.processor.slow = 1.0);
            }
            TroubleKind::Cut => self.cutting = false,
            TroubleKind::Lines => affected.iter().for_each(|i| self.servers[*i].lost_lines = 0),
            TroubleKind::ListLag => self.list_lag -= (trouble.size * 1e6) as Micros,
            TroubleKind::ListGone => self.feed_gone = false,
            TroubleKind::DeadLink => {
                affected
                    .iter()
                    .for_each(|i| self.servers[*i].dead_links.retain(|node| *node != trouble.node));
            }
            TroubleKind::HalfFrame => {
                for index in affected {
                    self.servers[index].silent = false;
                    let mut conns: Vec<u64> = self.servers[index].conns.keys().copied().collect();
                    conns.sort_unstable();
                    let out = conns.into_iter().map(ServerOutput::Close).collect();
                    self.perform(index, out);
                }
            }
            TroubleKind::AuthorityAway => self.with_authority(|credentials| credentials.set_away(false)),
            TroubleKind::AuthorityRefuses => {
                self.with_authority(|credentials| credentials.set_refusing(false))
            }
            TroubleKind::Drain | TroubleKind::Dpr | TroubleKind::Stall | TroubleKind::Rehandshake => {}
        }
    }

    fn with_authority(&self, act: impl FnOnce(&Credentials)) {
        if let Some(tls) = &self.tls {
            act(&tls.credentials);
        }
    }

    fn record_started(&mut self, at: Micros, index: usize) {
        let settings = self.servers[index].spec.processor.settings();
        let (capacity, from, span) = (settings.capacity, settings.cold_from, settings.cold_span);
        self.records.push(Record::Started {
            at,
            server: self.servers[index].spec.number,
            capacity,
            from,
            span,
        });
    }

    /// Performs the next step of a trouble with several steps.
    fn step(&mut self, now: Micros, number: usize, step: u32) {
        let trouble = self.day.troubles[number].clone();
        let over = now >= self.zero + trouble.at.0 + trouble.length.0;
        match trouble.kind {
            TroubleKind::Ageing if !over => {
                let part = (now - self.zero - trouble.at.0) as f64 / trouble.length.0.max(1) as f64;
                for index in self.affected(&trouble) {
                    self.servers[index].spec.processor.slow = 1.0 + (trouble.size - 1.0) * part;
                }
                self.schedule(now + 250_000, Tick::Step(number, step + 1));
            }
            TroubleKind::Stall if !over => {
                let time = Duration::from_secs_f64(trouble.size.clamp(0.0, 10.0));
                self.nodes[usize::from(trouble.node)].stall(time);
                let time = time.as_micros() as Micros;
                self.records.push(Record::Stall { at: now, node: trouble.node, time });
                let pause = -self.rng.random::<f64>().max(1e-12).ln() * trouble.pause.0 as f64;
                self.schedule(now + time + pause as Micros, Tick::Step(number, step + 1));
            }
            TroubleKind::Drain => self.drain_step(now, number, step),
            _ => {}
        }
    }

    /// Performs a step of a rolling replacement: for each server first the drain, then the stop and the start
    /// of a cold replacement.
    fn drain_step(&mut self, now: Micros, number: usize, step: u32) {
        let trouble = self.day.troubles[number].clone();
        let places: Vec<usize> = match trouble.on.is_empty() {
            true => (0..self.in_place.len()).collect(),
            false => trouble.on.iter().map(|place| usize::from(*place)).collect(),
        };
        let each = trouble.length.0 / places.len() as Micros;
        let Some(place) = places.get(step as usize / 2).copied() else { return };
        let old = self.in_place[place];
        if step.is_multiple_of(2) {
            self.announce(now, old, Listed::Draining);
            self.schedule(now + each * 2 / 3, Tick::Step(number, step + 1));
            return;
        }
        let mut out = Vec::new();
        self.servers[old].cut_share(now, 1.0, &mut out);
        self.perform(old, out);
        self.wire.flush();
        self.kill(old);
        self.announce(now, old, Listed::Gone);
        if let Ok(new) = self.replace(now, place) {
            self.announce(now, new, Listed::Ready);
        }
        self.schedule(now + each / 3, Tick::Step(number, step + 1));
    }

    /// Starts a new server in a place.
    fn replace(&mut self, now: Micros, place: usize) -> std::io::Result<usize> {
        let number = self.servers.len();
        let seed = self.rng.random();
        let address = listen(&mut self.wire, self.tls.as_ref(), number)?;
        let mut server = Server::new(spec(&self.day, number, place, address), seed);
        server.restart(now);
        self.servers.push(server);
        self.in_place[place] = number;
        self.record_started(now, number);
        Ok(number)
    }
}

/// Opens a stand-in server's listener, with TLS if the day uses it.
fn listen(wire: &mut impl Wire, tls: Option<&Tls>, number: usize) -> std::io::Result<SocketAddr> {
    let config = tls.map(|tls| tls.credentials.server(&server_host(number as u16))).transpose();
    wire.listen(number as u64, config.map_err(std::io::Error::other)?)
}

fn entry(server: &Server, state: Listed) -> Entry {
    Entry {
        server: server.spec.number,
        host: server.host.clone(),
        address: server.spec.address,
        state,
        started: server.started,
        place: server.spec.place,
        zone: server.spec.zone.clone(),
    }
}

fn spec(day: &Day, number: usize, place: usize, address: SocketAddr) -> ServerSpec {
    let model = &day.servers[place];
    let processor = &day.processor;
    ServerSpec {
        number: number as u16,
        place: place as i64,
        zone: model.zone.clone(),
        address,
        lines: model.lines,
        processor: Processor::new(ProcessorSettings {
            capacity: model.capacity.0,
            shares: (0.6, 0.2, 0.2),
            reject: processor.reject,
            queue: processor.queue.0,
            repeat: Some(processor.repeat.0).filter(|gap| *gap > 0),
            repeat_work: 0.2,
            finish_first: processor.finish_first,
            cold_from: processor.cold_from,
            cold_span: processor.cold_span.0,
        }),
        drops_given_up: processor.drops_given_up,
        tells_wait: processor.tells_wait,
        reports: (processor.reports_wait, processor.reports_lines),
        fall: (processor.fall_multiple, processor.fall_span.0),
        circuits: day
            .circuits
            .as_ref()
            .map(|circuits| (circuits.far_size.unwrap_or(circuits.size), circuits.meets)),
    }
}
