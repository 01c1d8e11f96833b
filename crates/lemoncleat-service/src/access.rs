//! The event loop around the core of an access node on the operators' platform.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::{Async, Timer};
use futures_lite::future;
use lemoncleat_access::{AccessNode, ConnId, DialId, Input, Level, Micros, Notice, Output, Stats};
use lemoncleat_net::{run_bounded, Bounds, Event, Mailbox, Net};
use lemoncleat_platform::NodeConfig;

use crate::ServiceError;

/// Events handled before what they led to is written, and how long that may take.
const BATCH: usize = 64;
const BATCH_TIME: Duration = Duration::from_millis(2);
/// What the loop may hold: the memory of a whole node may be 32 MB.
const BOUNDS: Bounds = Bounds { queue: 256, read: 16 * 1024, hung_up: 32, accepted: 16 };
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Bytes that may wait to be written to a connection whose other side does not read.
const WAITING: usize = 256 * 1024;
/// How long a node that is done goes on for what still comes, at most.
const LAST_LOOKS: Duration = Duration::from_secs(1);
/// How long last answers may take to be written, and how long callers may take after that to close.
const LAST_BYTES: Duration = Duration::from_secs(2);
const LAST_CLOSES: Duration = Duration::from_millis(500);
/// The longest datagram that is read; longer ones than a note are no note.
const DATAGRAM: usize = 512;
/// A configuration that is being replaced is read again after this, so often.
const REREAD: (Duration, u32) = (Duration::from_millis(100), 10);

/// What a running access node is told.
#[derive(Clone, Debug)]
pub enum AccessControl {
    /// Read the configuration anew.
    Reload,
    /// End in order.
    Stop,
    /// A datagram came.
    Datagram(SocketAddr, Vec<u8>),
    /// The configuration was read anew; the journal service is there.
    JournalAt(SocketAddr),
}

/// An access node that is to run.
#[derive(Debug)]
pub struct AccessSettings {
    /// The platform's configuration.
    pub config: NodeConfig,
    /// Where it stands, to be read anew when asked to.
    pub file: PathBuf,
    /// Tell of every step of every call.
    pub trace: bool,
    /// Join the fleet of the other nodes, where the platform's settings allow notes.
    pub fleet: bool,
}

/// Runs an access node on the present thread until it was stopped. `ready` is called once callers are accepted.
///
/// # Errors
///
/// When the module can't work with the settings, or a socket can't be had.
pub fn serve_access(
    settings: AccessSettings,
    listener: TcpListener,
    ready: impl FnOnce(Mailbox<AccessControl>),
) -> Result<Stats, ServiceError> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let start = Instant::now();
    let peers = settings.config.peer_listen;
    let mut node = AccessNode::new(settings.config, unix.as_micros() as Micros)
        .map_err(|error| ServiceError::Settings(error.to_string()))?;
    if settings.trace {
        node.trace_calls();
    }
    if settings.fleet {
        node.join_fleet();
    }
    run_bounded(BOUNDS, async move |mut net: Net<AccessControl>| {
        net.listen(listener, 0)?;
        let notes = match peers {
            Some(address) => Some(listen_for_notes(&mut net, address)?),
            None => None,
        };
        ready(net.sender());
        let service = Access {
            node,
            net,
            start,
            notes,
            file: settings.file,
            outputs: Vec::new(),
            stopped: false,
            looks: Rc::default(),
        };
        Ok(service.run().await)
    })
}

/// A listener with room for a flood of callers.
///
/// # Errors
///
/// When the address is not to be had.
pub fn listen_for_callers(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // Listening anew only changes how many may wait.
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// Reads the configuration of the platform.
///
/// # Errors
///
/// One line: the file, where in it, and what was expected.
pub fn read_access_config(file: &Path) -> Result<NodeConfig, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    NodeConfig::read(&text).map_err(|error| format!("{name}: {error}"))
}

fn listen_for_notes(net: &mut Net<AccessControl>, address: SocketAddr) -> io::Result<Rc<Async<UdpSocket>>> {
    let socket = Rc::new(Async::<UdpSocket>::bind(address)?);
    let (reading, mailbox) = (socket.clone(), net.sender());
    net.spawn(async move {
        let mut buffer = [0; DATAGRAM];
        loop {
            // A failed read is that of an earlier datagram of ours which nobody took.
            if let Ok((count, from)) = reading.recv_from(&mut buffer).await {
                let note = AccessControl::Datagram(from, buffer[..count].to_vec());
                if mailbox.send(note).await.is_err() {
                    return;
                }
            }
            // A flood of datagrams must not keep the callers from their turn.
            future::yield_now().await;
        }
    });
    Ok(socket)
}

struct Access {
    node: AccessNode,
    net: Net<AccessControl>,
    start: Instant,
    notes: Option<Rc<Async<UdpSocket>>>,
    file: PathBuf,
    outputs: Vec<Output>,
    stopped: bool,
    /// Looks still to be taken at a configuration that is to be read anew.
    looks: Rc<Cell<u32>>,
}

impl Access {
    fn clock(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn handle(&mut self, input: Input<'_>) {
        let now = self.clock();
        self.node.handle(now, input, &mut self.outputs);
    }

    async fn run(mut self) -> Stats {
        self.perform();
        self.net.flush();
        // When the core said first that all is done.
        let mut done: Option<Instant> = None;
        loop {
            let mut event = if std::mem::take(&mut self.stopped) {
                // All that was taken in is answered. What came since has been taken by the system, and is owed the
                // same.
                self.net.look().await;
                let event = self.net.ready().await;
                if event.is_none() || done.get_or_insert_with(Instant::now).elapsed() > LAST_LOOKS {
                    break;
                }
                event
            } else {
                let wake = self.node.wake().map(|at| self.start + Duration::from_micros(at.max(0) as u64));
                self.net.next(wake).await
            };
            let until = Instant::now() + BATCH_TIME;
            for _ in 0..BATCH {
                match event.take() {
                    Some(event) => self.event(event),
                    None => break,
                }
                if Instant::now() > until {
                    break;
                }
                event = self.net.try_next();
            }
            if let Some(event) = event {
                self.event(event);
            }
            self.leaving();
            self.handle(Input::Timeout);
            self.perform();
            self.net.flush();
        }
        self.net.end(LAST_BYTES, LAST_CLOSES).await;
        self.node.stats()
    }

    /// Tells the core whose far side has ended its half, before anything else is begun.
    fn leaving(&mut self) {
        for conn in self.net.take_ended() {
            self.handle(Input::Leaving(ConnId(conn)));
        }
    }

    fn event(&mut self, event: Event<AccessControl>) {
        self.leaving();
        match event {
            Event::Accepted { conn, .. } => self.handle(Input::Accepted(ConnId(conn))),
            Event::Dialled { tag, conn } => self.handle(Input::Dialled(DialId(tag), ConnId(conn))),
            Event::DialFailed { tag, local: true, .. } => self.handle(Input::NotDialled(DialId(tag))),
            Event::DialFailed { tag, refused, .. } => {
                self.handle(Input::DialFailed { dial: DialId(tag), refused });
            }
            Event::Bytes { conn, bytes } => {
                let waited = self.net.waited_since().elapsed().as_micros() as Micros;
                self.handle(Input::Waited(ConnId(conn), &bytes, waited));
            }
            Event::Closed { conn } => self.handle(Input::Closed(ConnId(conn))),
            Event::Message(AccessControl::Datagram(from, bytes)) => {
                self.handle(Input::Datagram(from, &bytes))
            }
            Event::Message(AccessControl::Stop) => self.handle(Input::Terminate),
            Event::Message(AccessControl::Reload) => self.reload(),
            Event::Message(AccessControl::JournalAt(address)) => self.handle(Input::JournalAt(address)),
        }
        self.perform();
    }

    /// Carries out what the core asked for.
    fn perform(&mut self) {
        // What comes of one is carried out behind all that was asked for before.
        let mut outputs = VecDeque::new();
        loop {
            outputs.extend(self.outputs.drain(..));
            let Some(output) = outputs.pop_front() else { return };
            match output {
                Output::Dial(dial, address, timeout) => {
                    self.net.dial(address, dial.0, Duration::from_micros(timeout.max(0) as u64));
                }
                Output::StopDial(dial) => self.net.stop_dial(dial.0),
                Output::Send(conn, bytes) => {
                    self.net.send(conn.0, &bytes);
                    self.bound_waiting(conn);
                }
                Output::Invite(conn, call, bytes) => {
                    self.net.send_revocable(conn.0, call.0, &bytes);
                    self.bound_waiting(conn);
                }
                Output::Withdraw(conn, call, otherwise) => {
                    if !self.net.take_back(conn.0, call.0) && !otherwise.is_empty() {
                        self.net.send(conn.0, &otherwise);
                        self.bound_waiting(conn);
                    }
                }
                Output::Close(conn) => self.net.close(conn.0),
                Output::CloseIfQuiet(conn) => {
                    if self.net.has_input(conn.0) {
                        self.handle(Input::NotQuiet(conn));
                    } else {
                        self.net.close(conn.0);
                    }
                }
                Output::HangUp(conn) => self.net.hang_up(conn.0),
                Output::Tell(address, bytes) => {
                    if let Some(socket) = &self.notes {
                        // Notes may be lost on any way; on this one too.
                        let _ = socket.get_ref().send_to(&bytes, address);
                    }
                }
                Output::Notice(notice) => emit(&notice),
                Output::Stopped => self.stopped = true,
            }
        }
    }

    /// A connection whose other side does not read is given up once too much waits there.
    fn bound_waiting(&mut self, conn: ConnId) {
        if self.net.waiting(conn.0) > WAITING {
            // The other side may have room for more than was offered to it so far.
            self.net.flush();
        }
        if self.net.waiting(conn.0) > WAITING {
            self.net.abort(conn.0);
            self.handle(Input::Closed(conn));
        }
    }

    /// Reads the configuration anew. One that is being replaced is read again a little later; until one can be
    /// used, what is in force stays so.
    fn reload(&mut self) {
        if self.looks.replace(REREAD.1) > 0 {
            // What is being read again is looked at for this wish too.
            return;
        }
        let (file, mailbox, looks) = (self.file.clone(), self.net.sender(), self.looks.clone());
        self.net.spawn(async move {
            let mut told = String::new();
            while looks.get() > 0 {
                match read_access_config(&file) {
                    Ok(config) => {
                        looks.set(0);
                        tracing::info!("configuration read again");
                        if let Some(address) = config.journal {
                            // Once the loop has ended there is nobody to tell.
                            let _ = mailbox.send(AccessControl::JournalAt(address)).await;
                        }
                        return;
                    }
                    Err(why) if why == told => {}
                    Err(why) => {
                        tracing::warn!(%why, "the configuration in force stays so");
                        told = why;
                    }
                }
                Timer::after(REREAD.0).await;
                looks.set(looks.get() - 1);
            }
        });
    }
}

fn emit(notice: &Notice) {
    match notice.level() {
        Level::Debug => tracing::debug!("{notice}"),
        Level::Info => tracing::info!("{notice}"),
        Level::Warn => tracing::warn!("{notice}"),
        Level::Error => tracing::error!("{notice}"),
    }
}
