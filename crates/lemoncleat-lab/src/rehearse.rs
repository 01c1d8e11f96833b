//! Rehearsals: a laboratory on loopback sockets, around real nodes.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lemoncleat_net::{ClientConfig, Event, Net, ServerConfig, ServerName};

use crate::capture::{Capture, Record};
use crate::credentials::{HANDSHAKE, HANDSHAKES};
use crate::day::Day;
use crate::wire::Wire;
use crate::world::{LabMessage, RehearseError, StartNode, World};
use crate::Micros;

/// How long connections may take to come about at the start.
const OPEN_WITHIN: Duration = Duration::from_secs(20);
/// How long the ends of trunk groups may take to agree after the last call: two rounds of audits and a reset.
const SETTLE_WITHIN: Micros = 15_000_000;
/// How long nodes may take to stop at the end.
const STOP_WITHIN: Micros = 5_000_000;

/// What a rehearsal left.
#[derive(Debug)]
pub struct Rehearsal {
    /// All that crossed the sockets.
    pub capture: Capture,
    /// Calls that still stood at servers when every caller had hung up: lost there.
    pub left_standing: usize,
    /// How long it took, in microseconds.
    pub took: Micros,
    /// Calls of servers that came to stand.
    pub far_stood: u64,
    /// Circuits still in use at servers when every caller had hung up.
    pub circuits_in_use: u32,
    /// Certificates that the authority issued to nodes, and what nodes did there that no client may do.
    pub certificates: Option<(usize, Vec<String>)>,
}

/// A laboratory that is up.
#[derive(Clone, Debug)]
pub struct LabReady {
    /// Where the nodes listen.
    pub nodes: Vec<SocketAddr>,
    /// Their control ports, where they have one.
    pub controls: Vec<SocketAddr>,
    /// The Origin-Hosts of the stand-in servers.
    pub servers: Vec<String>,
}

struct Sockets {
    net: Net<LabMessage>,
    start: Instant,
}

impl Wire for Sockets {
    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn listen(&mut self, tag: u64, tls: Option<Arc<ServerConfig>>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        if let Some(config) = tls {
            self.net.listen_with_tls(tag, config, HANDSHAKES, HANDSHAKE);
        }
        self.net.listen(listener, tag)?;
        Ok(address)
    }

    fn dial(&mut self, address: SocketAddr, tag: u64, tls: Option<(ServerName<'static>, Arc<ClientConfig>)>) {
        if let Some((name, config)) = tls {
            self.net.dial_with_tls(tag, name, config, HANDSHAKE);
        }
        self.net.dial(address, tag, Duration::from_secs(1));
    }

    fn stop_dial(&mut self, tag: u64) {
        self.net.stop_dial(tag);
    }

    fn send(&mut self, conn: u64, bytes: &[u8]) {
        self.net.send(conn, bytes);
    }

    fn close(&mut self, conn: u64) {
        self.net.close(conn);
    }

    fn abort(&mut self, conn: u64) {
        self.net.abort(conn);
    }

    fn flush(&mut self) {
        self.net.flush();
    }

    fn peer_certificate(&self, conn: u64) -> Option<Vec<u8>> {
        self.net.peer_certificate(conn)
    }

    fn peer_names(&self, conn: u64) -> Option<Vec<String>> {
        self.net.peer_names(conn)
    }
}

/// Plays a day. Nodes are started by `start` from their settings; `progress` hears the part that is over,
/// from 0 to 1.
///
/// # Errors
///
/// When sockets fail, a node does not start, or connections don't come about.
pub fn rehearse(
    day: &Day,
    start: StartNode<'_>,
    progress: &mut dyn FnMut(f64),
) -> Result<Rehearsal, RehearseError> {
    lemoncleat_net::run(async |net| {
        let wire = Sockets { net, start: Instant::now() };
        let mut world = World::build(day.clone(), wire, start, &[])?;
        world.open().await?;
        world.play(progress).await;
        Ok(world.finish().await)
    })
}

/// As [`rehearse`], for a day whose end is told: `ready` gets the way to say [`LabMessage::LastCall`] once calls
/// arrive.
///
/// # Errors
///
/// As [`rehearse`].
pub fn rehearse_until(
    day: &Day,
    start: StartNode<'_>,
    ready: impl FnOnce(lemoncleat_net::Mailbox<LabMessage>),
) -> Result<Rehearsal, RehearseError> {
    lemoncleat_net::run(async |net| {
        let wire = Sockets { net, start: Instant::now() };
        let mut world = World::build(day.clone(), wire, start, &[])?;
        world.open().await?;
        ready(world.wire.net.sender());
        world.play(&mut |_| {}).await;
        Ok(world.finish().await)
    })
}

/// Keeps a laboratory up: one or more nodes with stand-ins, for clients from outside under the names given.
/// `ready` hears where everything is, and gets a way to end it.
///
/// # Errors
///
/// As [`rehearse`].
pub fn lab_up(
    day: &Day,
    start: StartNode<'_>,
    clients: &[String],
    ready: impl FnOnce(&LabReady, lemoncleat_net::Mailbox<LabMessage>),
) -> Result<(), RehearseError> {
    lemoncleat_net::run(async |net| {
        let mut day = day.clone();
        day.fronts = 0;
        day.troubles.clear();
        let wire = Sockets { net, start: Instant::now() };
        let mut world = World::build(day, wire, start, clients)?;
        world.open().await?;
        let told = LabReady {
            nodes: world.nodes.iter().map(|node| node.address()).collect(),
            controls: world.nodes.iter().filter_map(|node| node.control()).collect(),
            servers: world.servers.iter().map(|server| server.host.clone()).collect(),
        };
        ready(&told, world.wire.net.sender());
        while world.turn().await {
            world.records.clear();
        }
        world.finish().await;
        Ok(())
    })
}

impl World<Sockets> {
    /// Waits until every front-end and every server has its connections with the nodes.
    async fn open(&mut self) -> Result<(), RehearseError> {
        self.connect();
        let limit = Instant::now() + OPEN_WITHIN;
        loop {
            self.turn().await;
            let (fronts, servers) = self.unconnected();
            if fronts + servers == 0 {
                return Ok(());
            }
            if Instant::now() > limit {
                let why = format!("{fronts} front-ends and {servers} servers still wait");
                return Err(RehearseError::NotOpen(why));
            }
        }
    }

    async fn play(&mut self, progress: &mut dyn FnMut(f64)) {
        let last = self.begin_day();
        let mut told = 0;
        while self.turn().await {
            let part = (self.now() - self.zero) * 100 / last;
            if part != told {
                told = part;
                progress(part as f64 / 100.0);
            }
        }
    }

    /// Everybody hangs up; how many circuits stay in use although both ends had time to agree?
    async fn settle_circuits(&mut self) {
        if self.day.circuits.is_none() {
            return;
        }
        self.hang_up_all();
        let limit = self.now() + SETTLE_WITHIN;
        loop {
            self.turn().await;
            self.in_use_at_end = self.circuits_in_use().len() as u32;
            if self.in_use_at_end == 0 || self.now() > limit {
                return;
            }
        }
    }

    async fn finish(mut self) -> Rehearsal {
        self.settle_circuits().await;
        let at = self.now();
        self.records.push(Record::End { at });
        let sender = self.wire.net.sender();
        let count = self.nodes.len();
        let mut threads = Vec::new();
        for node in self.nodes.drain(..) {
            let sender = sender.clone();
            threads.push(std::thread::spawn(move || {
                node.stop();
                let _ = sender.send_blocking(LabMessage::NodeEnded);
            }));
        }
        let mut ended = 0;
        let limit = at + STOP_WITHIN;
        while ended < count && self.now() < limit {
            let until = self.wire.start + Duration::from_micros(limit as u64);
            match self.wire.net.next(Some(until)).await {
                Some(Event::Message(LabMessage::NodeEnded)) => ended += 1,
                Some(event) => self.event(event),
                None => {}
            }
            self.wire.flush();
        }
        if ended == count {
            for thread in threads {
                let _ = thread.join();
            }
        }
        Rehearsal {
            certificates: self.tls.as_ref().map(|tls| tls.credentials.told()),
            far_stood: self.far_stood,
            circuits_in_use: self.in_use_at_end,
            left_standing: self.standing(),
            capture: Capture { records: self.records },
            took: at,
        }
    }

    /// Waits for what comes next and handles it; `false` at the end.
    async fn turn(&mut self) -> bool {
        let until = self.due().map(|at| self.wire.start + Duration::from_micros(at.max(0) as u64));
        if let Some(event) = self.wire.net.next(until).await {
            if matches!(event, Event::Message(LabMessage::Stop)) {
                return false;
            }
            self.event(event);
            for _ in 0..256 {
                match self.wire.net.try_next() {
                    Some(Event::Message(LabMessage::Stop)) => return false,
                    Some(event) => self.event(event),
                    None => break,
                }
            }
        }
        let goes_on = self.advance();
        self.wire.flush();
        goes_on
    }
}
