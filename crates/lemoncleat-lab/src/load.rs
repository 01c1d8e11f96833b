//! The load tool: open-loop callers at a steady rate, independent of the answers. Set-up times count from the
//! scheduled time of the call, so that delays of the tool itself do not hide waiting.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{
    result_code, Backoff, ConnId, FrameReader, Local, MessageBuilder, MessageRef, Peer, PeerInput,
    PeerOutput, PeerSettings,
};
use lemoncleat_net::{ClientConfig, Event, Net, ServerName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::server::MAX_MESSAGE_BYTES;
use crate::Micros;

/// Parameters of the load tool.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Address of the node.
    pub address: SocketAddr,
    /// Its Origin-Host.
    pub node: String,
    /// Its realm.
    pub realm: String,
    /// Origin-Hosts of the clients, one connection each.
    pub clients: Vec<String>,
    /// Numbers to call, in rotation.
    pub called: Vec<String>,
    /// Calls a second.
    pub rate: f64,
    /// Time in which the rate grows from zero.
    pub ramp: Micros,
    /// Time in which calls are offered, including the ramp.
    pub duration: Micros,
    /// Mean length of a standing call.
    pub length: Micros,
    /// How long a caller waits.
    pub patience: Micros,
    /// Seed of the arrivals.
    pub seed: u64,
    /// TLS configuration of each connection, in the order of the clients; empty for plain connections.
    pub tls: Vec<Arc<ClientConfig>>,
}

/// Measurements of the load tool. Times are in microseconds and are counted after the ramp only.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Calls offered.
    pub offered: u64,
    /// Answers by Result-Code.
    pub results: Vec<(u32, u64)>,
    /// Calls without an answer when the tool ended.
    pub unanswered: u64,
    /// Calls actually offered per second.
    pub rate: f64,
    /// Answers a second over the time in which calls were offered.
    pub answered_rate: f64,
    /// Set-up time of established calls: p50, p90, p99, p99.9, maximum.
    pub set_up: [u64; 5],
    /// Number of calls in those figures.
    pub counted: u64,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "offered {} calls, {:.1}/s; answered {:.1}/s",
            self.offered, self.rate, self.answered_rate
        )?;
        for (code, count) in &self.results {
            writeln!(f, "  {code} {}: {count}", result_code::name(*code).unwrap_or(""))?;
        }
        writeln!(f, "  without an answer: {}", self.unanswered)?;
        let [p50, p90, p99, p999, most] = self.set_up.map(|us| us as f64 / 1e3);
        write!(
            f,
            "set-up over {} calls: p50 {p50:.2} ms, p90 {p90:.2}, p99 {p99:.2}, p99.9 {p999:.2}, most {most:.2}",
            self.counted
        )
    }
}

/// Keeps `window` calls outstanding at all times, each released as soon as it is established. Returns, per
/// second after `settings.ramp`, the number of established calls and of other answers.
///
/// # Errors
///
/// When no connection opens within ten seconds.
pub fn saturate(settings: &LoadSettings, window: usize) -> Result<(f64, f64), String> {
    lemoncleat_net::run(async |net: Net<()>| Loader::new(settings, net).saturate(window).await)
}

struct ClientPeer {
    peer: Peer,
    reader: FrameReader,
}

struct Call {
    due: Micros,
    counts: bool,
    session: String,
    peer_index: usize,
}

/// Offers calls to one node and measures. `progress` receives the elapsed part and the number of calls
/// offered.
///
/// # Errors
///
/// When no connection opens within ten seconds.
pub fn load(settings: &LoadSettings, progress: &mut dyn FnMut(f64, u64)) -> Result<LoadReport, String> {
    lemoncleat_net::run(async |net: Net<()>| Loader::new(settings, net).run(progress).await)
}

struct Loader<'a> {
    settings: &'a LoadSettings,
    net: Net<()>,
    start: Instant,
    peers: Vec<ClientPeer>,
    conns: HashMap<u64, usize>,
    calls: HashMap<u32, Call>,
    hang_ups: BinaryHeap<Reverse<(Micros, u32)>>,
    standing: HashMap<u32, (usize, String)>,
    next: u32,
    rng: SmallRng,
    times: Histogram<u64>,
    results: HashMap<u32, u64>,
    offered: u64,
    answered: u64,
}

impl<'a> Loader<'a> {
    fn new(settings: &'a LoadSettings, net: Net<()>) -> Self {
        let peers = settings.clients.iter().enumerate().map(|(index, host)| {
            let local = Arc::new(Local {
                host: host.as_str().into(),
                realm: settings.realm.as_str().into(),
                product: "load tool".into(),
                addresses: vec![[127, 0, 0, 1].into()],
                applications: vec![d::APP_NAS],
                state_id: 1,
                further: Vec::new(),
            });
            let peer = PeerSettings {
                host: settings.node.as_str().into(),
                dial: true,
                replace: None,
                watchdog: 30_000_000,
                backoff: Backoff { first: 100_000, most: 1_000_000 },
                open_timeout: 2_000_000,
                close_timeout: 1_000_000,
            };
            ClientPeer {
                peer: Peer::new(local, peer, index as u64),
                reader: FrameReader::new(MAX_MESSAGE_BYTES),
            }
        });
        Loader {
            peers: peers.collect(),
            net,
            start: Instant::now(),
            conns: HashMap::new(),
            calls: HashMap::new(),
            hang_ups: BinaryHeap::new(),
            standing: HashMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(settings.seed),
            // One microsecond to ten minutes, three significant digits.
            times: Histogram::new_with_bounds(1, 600_000_000, 3)
                .unwrap_or_else(|_| unreachable!("good bounds")),
            results: HashMap::new(),
            offered: 0,
            answered: 0,
            settings,
        }
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn drive_peer(&mut self, peer_index: usize, input: PeerInput<'_>) -> bool {
        let now = self.now();
        let mut outputs = Vec::new();
        self.peers[peer_index].peer.handle(now, input, &mut outputs);
        let mut deliver = false;
        for output in outputs {
            match output {
                PeerOutput::Dial => {
                    let name = ServerName::try_from(self.settings.node.clone());
                    if let (Some(config), Ok(name)) = (self.settings.tls.get(peer_index), name) {
                        self.net.dial_with_tls(
                            peer_index as u64,
                            name,
                            config.clone(),
                            Duration::from_secs(2),
                        );
                    }
                    self.net.dial(self.settings.address, peer_index as u64, Duration::from_secs(2));
                }
                PeerOutput::Send(conn, bytes) => self.net.send(conn.0, &bytes),
                PeerOutput::Close(conn) => self.net.close(conn.0),
                PeerOutput::Deliver => deliver = true,
                _ => {}
            }
        }
        deliver
    }

    /// Opens all connections.
    async fn open(&mut self) -> Result<(), String> {
        for peer_index in 0..self.peers.len() {
            self.drive_peer(peer_index, PeerInput::Start);
        }
        let limit = Instant::now() + Duration::from_secs(10);
        while self.peers.iter().any(|peer_index| !peer_index.peer.is_open()) {
            if Instant::now() > limit {
                let open = self.peers.iter().filter(|peer_index| peer_index.peer.is_open()).count();
                return Err(format!("{open} of {} connections opened in 10 s", self.peers.len()));
            }
            self.wait(Some(self.now() + 50_000)).await;
        }
        Ok(())
    }

    async fn saturate(mut self, window: usize) -> Result<(f64, f64), String> {
        self.open().await?;
        let begin = self.now();
        let (ramp, end) = (begin + self.settings.ramp, begin + self.settings.duration);
        let mut before = None;
        let stood = |results: &HashMap<u32, u64>| results.get(&result_code::SUCCESS).copied().unwrap_or(0);
        while self.now() < end {
            let now = self.now();
            while self.calls.len() < window {
                self.call(now, true);
            }
            let ids: Vec<u32> = self.standing.keys().copied().collect();
            for id in ids {
                self.hang_up(id);
            }
            self.hang_ups.clear();
            if now >= ramp && before.is_none() {
                before = Some((stood(&self.results), self.answered, now));
            }
            self.wait(Some(now + 20_000)).await;
        }
        let (stood_before, answered_before, from) = before.unwrap_or((0, 0, begin));
        let seconds = (self.now() - from).max(1) as f64 / 1e6;
        let stood_since = stood(&self.results) - stood_before;
        let other = self.answered - answered_before - stood_since;
        Ok((stood_since as f64 / seconds, other as f64 / seconds))
    }

    async fn run(mut self, progress: &mut dyn FnMut(f64, u64)) -> Result<LoadReport, String> {
        self.open().await?;
        let begin = self.now();
        let (mut due, mut reported) = (begin, 0);
        let end = begin + self.settings.duration;
        let mut rate_counts = 0u64;
        loop {
            let now = self.now();
            while due <= now && due < end {
                let ramped = due - begin >= self.settings.ramp;
                rate_counts += u64::from(ramped);
                self.call(due, ramped);
                let part = ((due - begin) as f64 / self.settings.ramp.max(1) as f64).clamp(0.02, 1.0);
                let gap = -self.rng.random::<f64>().max(1e-12).ln() * 1e6 / (self.settings.rate * part);
                due += (gap as Micros).max(1);
            }
            while let Some(Reverse((at, id))) = self.hang_ups.peek().copied() {
                if at > now {
                    break;
                }
                self.hang_ups.pop();
                self.hang_up(id);
            }
            self.net.flush();
            let percent = ((now - begin) * 100 / self.settings.duration.max(1)).min(100);
            if percent != reported {
                reported = percent;
                progress(percent as f64 / 100.0, self.offered);
            }
            if now >= end && (self.calls.is_empty() || now >= end + self.settings.patience) {
                break;
            }
            let hang_up = self.hang_ups.peek().map(|Reverse((at, _))| *at);
            let next = if due < end { Some(due) } else { Some(now + 20_000) };
            let until = next.into_iter().chain(hang_up).min();
            self.wait(until).await;
        }
        let ids: Vec<u32> = self.standing.keys().copied().collect();
        for id in ids {
            self.hang_up(id);
        }
        self.net.flush();
        let seconds = (self.settings.duration - self.settings.ramp).max(1) as f64 / 1e6;
        let mut results: Vec<(u32, u64)> = self.results.into_iter().collect();
        results.sort_unstable();
        let at = |quantile: f64| self.times.value_at_quantile(quantile);
        Ok(LoadReport {
            offered: self.offered,
            results,
            unanswered: self.calls.len() as u64,
            rate: rate_counts as f64 / seconds,
            answered_rate: self.answered as f64 / (self.settings.duration.max(1) as f64 / 1e6),
            set_up: [at(0.5), at(0.9), at(0.99), at(0.999), self.times.max()],
            counted: self.times.len(),
        })
    }

    async fn wait(&mut self, until: Option<Micros>) {
        let until = until.map(|at| self.start + Duration::from_micros(at.max(0) as u64));
        let mut event = self.net.next(until).await;
        let mut budget = 256;
        while let Some(one) = event {
            self.event(one);
            budget -= 1;
            if budget == 0 {
                break;
            }
            event = self.net.try_next();
        }
        for peer_index in 0..self.peers.len() {
            let now = self.now();
            if self.peers[peer_index].peer.due().is_some_and(|due| due <= now) {
                self.drive_peer(peer_index, PeerInput::Timeout);
            }
        }
        self.net.flush();
    }

    fn event(&mut self, event: Event<()>) {
        match event {
            Event::Dialled { tag, conn } => {
                self.conns.insert(conn, tag as usize);
                self.peers[tag as usize].reader = FrameReader::new(MAX_MESSAGE_BYTES);
                self.drive_peer(tag as usize, PeerInput::Dialled(ConnId(conn)));
            }
            Event::DialFailed { tag, .. } => {
                self.drive_peer(tag as usize, PeerInput::DialFailed);
            }
            Event::Closed { conn } => {
                if let Some(peer_index) = self.conns.remove(&conn) {
                    self.drive_peer(peer_index, PeerInput::Closed(ConnId(conn)));
                }
            }
            Event::Bytes { conn, bytes } => {
                let Some(&peer_index) = self.conns.get(&conn) else { return };
                let mut reader = std::mem::replace(&mut self.peers[peer_index].reader, FrameReader::new(0));
                reader.push(&bytes);
                while let Ok(Some(frame)) = reader.next_frame() {
                    if let Ok(message) = MessageRef::parse(frame) {
                        if self.drive_peer(peer_index, PeerInput::Message(ConnId(conn), &message)) {
                            self.message(peer_index, conn, &message);
                        }
                    }
                }
                self.peers[peer_index].reader = reader;
            }
            Event::Accepted { .. } | Event::Message(()) => {}
        }
    }

    fn call(&mut self, due: Micros, counts: bool) {
        let peer_index = self.next as usize % self.peers.len();
        let id = self.next & 0x7fff_ffff;
        self.next = self.next.wrapping_add(1);
        let host = &self.settings.clients[peer_index];
        let session = format!("{host};{};{id}", self.settings.seed);
        let called = &self.settings.called[id as usize % self.settings.called.len()];
        let request = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, id, id)
            .add_str(d::SESSION_ID, &session)
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
            .add_str(d::ORIGIN_HOST, host)
            .add_str(d::ORIGIN_REALM, &self.settings.realm)
            .add_str(d::DESTINATION_REALM, &self.settings.realm)
            .add_u32(d::AUTH_REQUEST_TYPE, 1)
            .add_str(d::CALLED_STATION_ID, called)
            .add_str(d::CALLING_STATION_ID, &session)
            .add_u32(d::SETUP_PATIENCE, u32::try_from(self.settings.patience / 1_000).unwrap_or(u32::MAX));
        self.offered += 1;
        if let Some(conn) = self.peers[peer_index].peer.connection() {
            self.net.send(conn.0, &request.build());
        }
        self.calls.insert(id, Call { due, counts, session, peer_index });
    }

    fn message(&mut self, peer_index: usize, conn: u64, message: &MessageRef<'_>) {
        if message.header.is_request() {
            let answer = MessageBuilder::answer(message, result_code::SUCCESS)
                .add_str(d::ORIGIN_HOST, &self.settings.clients[peer_index])
                .add_str(d::ORIGIN_REALM, &self.settings.realm);
            self.net.send(conn, &answer.build());
            return;
        }
        if message.header.command != d::CMD_AA {
            return;
        }
        let Some(call) = self.calls.remove(&message.header.hop_by_hop) else { return };
        let now = self.now();
        let result = message.result_code();
        *self.results.entry(result).or_default() += 1;
        self.answered += 1;
        if result != result_code::SUCCESS {
            return;
        }
        if call.counts {
            self.times.saturating_record((now - call.due).max(1) as u64);
        }
        let id = message.header.hop_by_hop;
        let length = (-self.rng.random::<f64>().max(1e-12).ln() * self.settings.length as f64) as Micros;
        self.standing.insert(id, (call.peer_index, call.session));
        self.hang_ups.push(Reverse((now + length, id)));
    }

    fn hang_up(&mut self, id: u32) {
        let Some((peer_index, session)) = self.standing.remove(&id) else { return };
        let Some(conn) = self.peers[peer_index].peer.connection() else { return };
        let request = MessageBuilder::request(
            d::CMD_SESSION_TERMINATION,
            d::APP_NAS,
            true,
            id | 0x4000_0000,
            id | 0x4000_0000,
        )
        .add_str(d::SESSION_ID, &session)
        .add_str(d::ORIGIN_HOST, &self.settings.clients[peer_index])
        .add_str(d::ORIGIN_REALM, &self.settings.realm)
        .add_str(d::DESTINATION_REALM, &self.settings.realm)
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_u32(d::TERMINATION_CAUSE, 1);
        self.net.send(conn.0, &request.build());
    }
}
