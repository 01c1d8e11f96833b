//! Runs of a day: a lab on loopback sockets with real nodes.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lemoncleat_net::{ClientConfig, Event, Net, ServerConfig, ServerName};

use crate::capture::{Capture, Record};
use crate::credentials::{HANDSHAKE_TIMEOUT, MAX_HANDSHAKES};
use crate::day::Day;
use crate::wire::Wire;
use crate::world::{LabMessage, RehearseError, StartNode, World};
use crate::Micros;

/// Time limit for establishing the connections at the start.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which the ends of trunk groups must agree after the last call: two rounds of audits and a reset.
const SETTLE_TIMEOUT_US: Micros = 15_000_000;
/// Time limit for stopping the nodes at the end.
const STOP_TIMEOUT_US: Micros = 5_000_000;

/// Result of a run.
#[derive(Debug)]
pub struct Rehearsal {
    /// Everything that was sent and received on the sockets.
    pub capture: Capture,
    /// Calls still standing at servers after every caller hung up: lost calls.
    pub left_standing: usize,
    /// Duration of the run, in microseconds.
    pub took: Micros,
    /// Calls from servers that were established.
    pub far_stood: u64,
    /// Circuits still in use at servers after every caller hung up.
    pub circuits_in_use: u32,
    /// Number of certificates that the authority issued to nodes, and the nodes' violations of the ACME
    /// protocol.
    pub certificates: Option<(usize, Vec<String>)>,
}

/// Addresses and names of a running lab.
#[derive(Clone, Debug)]
pub struct LabReady {
    /// Addresses on which the nodes listen.
    pub nodes: Vec<SocketAddr>,
    /// Addresses of the control ports of nodes that have one.
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
            self.net.listen_with_tls(tag, config, MAX_HANDSHAKES, HANDSHAKE_TIMEOUT);
        }
        self.net.listen(listener, tag)?;
        Ok(address)
    }

    fn dial(&mut self, address: SocketAddr, tag: u64, tls: Option<(ServerName<'static>, Arc<ClientConfig>)>) {
        if let Some((name, config)) = tls {
            self.net.dial_with_tls(tag, name, config, HANDSHAKE_TIMEOUT);
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

/// Runs a day. `start` starts the nodes from their settings; `progress` receives the elapsed part, from 0 to
/// 1.
///
/// # Errors
///
/// Fails if sockets fail, a node does not start, or connections are not established in time.
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

/// Runs a day like [`rehearse`], until [`LabMessage::LastCall`] is sent to the mailbox that `ready` receives
/// when calls begin to arrive.
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

/// Runs a lab of one or more nodes with stand-ins, for external clients under the given names. `ready`
/// receives the addresses and a mailbox through which the lab can be stopped.
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
        let lab_ready = LabReady {
            nodes: world.nodes.iter().map(|node| node.address()).collect(),
            controls: world.nodes.iter().filter_map(|node| node.control()).collect(),
            servers: world.servers.iter().map(|server| server.host.clone()).collect(),
        };
        ready(&lab_ready, world.wire.net.sender());
        while world.turn().await {
            world.records.clear();
        }
        world.finish().await;
        Ok(())
    })
}

impl World<Sockets> {
    /// Waits until every front-end and every server is connected with its nodes.
    async fn open(&mut self) -> Result<(), RehearseError> {
        self.connect();
        let limit = Instant::now() + CONNECT_TIMEOUT;
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
        let mut reported = 0;
        while self.turn().await {
            let part = (self.now() - self.zero) * 100 / last;
            if part != reported {
                reported = part;
                progress(part as f64 / 100.0);
            }
        }
    }

    /// Ends all calls and counts the circuits that stay in use although both ends had time to agree.
    async fn settle_circuits(&mut self) {
        if self.day.circuits.is_none() {
            return;
        }
        self.hang_up_all();
        let limit = self.now() + SETTLE_TIMEOUT_US;
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
        let limit = at + STOP_TIMEOUT_US;
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
            certificates: self.tls.as_ref().map(|tls| tls.credentials.issue_report()),
            far_stood: self.far_stood,
            circuits_in_use: self.in_use_at_end,
            left_standing: self.standing(),
            capture: Capture { records: self.records },
            took: at,
        }
    }

    /// Waits for the next event and handles it. Returns `false` at the end.
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
