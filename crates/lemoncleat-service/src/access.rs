//! The event loop that drives the core of an access node on the operators' platform.

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

/// Maximum number of events per batch and maximum duration of a batch, after which the output is written.
const MAX_BATCH_EVENTS: usize = 64;
const MAX_BATCH_DURATION: Duration = Duration::from_millis(2);
/// Bounds of the event loop, sized for a node whose total memory may be 32 MB.
const BOUNDS: Bounds = Bounds { queue: 256, read: 4 * 1024, hung_up: 32, accepted: 16 };
/// Length of the listen queue.
const LISTEN_BACKLOG: i32 = 1_024;
/// Bytes that may wait on a connection whose peer does not read.
const MAX_WAITING_BYTES: usize = 256 * 1024;
/// Maximum time that a stopped node still handles newly arriving input.
const FINAL_INPUT_LIMIT: Duration = Duration::from_secs(1);
/// Time limit for writing the last answers, and for callers to close their connections after that.
const FINAL_WRITE_LIMIT: Duration = Duration::from_secs(2);
const FINAL_CLOSE_LIMIT: Duration = Duration::from_millis(500);
/// Size of the datagram buffer; longer datagrams are not valid notes.
const DATAGRAM_BUFFER_BYTES: usize = 512;
/// Interval and number of attempts to read a configuration file that may be in the middle of a replacement.
const RELOAD_RETRY: (Duration, u32) = (Duration::from_millis(100), 10);

/// A request or event for a running access node.
#[derive(Clone, Debug)]
pub enum AccessControl {
    /// Reload the configuration.
    Reload,
    /// Shut down in an orderly way.
    Stop,
    /// A datagram was received.
    Datagram(SocketAddr, Vec<u8>),
    /// The configuration was reloaded; this is the address of the journal service.
    JournalAt(SocketAddr),
}

/// Settings of an access node.
#[derive(Debug)]
pub struct AccessSettings {
    /// The platform's configuration.
    pub config: NodeConfig,
    /// The configuration file, which is read again on a reload.
    pub file: PathBuf,
    /// Log every step of every call.
    pub trace: bool,
    /// Join the fleet of the other nodes, if the platform's settings allow notes.
    pub fleet: bool,
}

/// Runs an access node on the current thread until it is stopped. `ready` is called once callers are
/// accepted.
///
/// # Errors
///
/// When the settings are invalid or a socket can't be opened.
pub fn serve_access(
    settings: AccessSettings,
    listener: TcpListener,
    ready: impl FnOnce(Mailbox<AccessControl>),
) -> Result<Stats, ServiceError> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let start = Instant::now();
    let peers = settings.config.peer_listen;
    let mut node = AccessNode::new(settings.config, since_epoch.as_micros() as Micros)
        .map_err(|error| ServiceError::Settings(error.to_string()))?;
    if settings.trace {
        node.trace_calls();
    }
    if settings.fleet {
        node.join_fleet();
    }
    run_bounded(BOUNDS, async move |mut net: Net<AccessControl>| {
        net.listen(listener, 0)?;
        let note_socket = match peers {
            Some(address) => Some(listen_for_notes(&mut net, address)?),
            None => None,
        };
        ready(net.sender());
        let service = AccessService {
            node,
            net,
            start,
            note_socket,
            file: settings.file,
            outputs: Vec::new(),
            stopped: false,
            reload_attempts: Rc::default(),
        };
        Ok(service.run().await)
    })
}

/// Opens a listener with a long listen queue, for bursts of callers.
///
/// # Errors
///
/// When the address can't be bound.
pub fn listen_for_callers(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // A second call of `listen` only changes the length of the queue.
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}

/// Reads the platform's configuration file.
///
/// # Errors
///
/// One line with the file, the position in it and what was expected.
pub fn read_access_config(file: &Path) -> Result<NodeConfig, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    NodeConfig::read(&text).map_err(|error| format!("{name}: {error}"))
}

fn listen_for_notes(net: &mut Net<AccessControl>, address: SocketAddr) -> io::Result<Rc<Async<UdpSocket>>> {
    let socket = Rc::new(Async::<UdpSocket>::bind(address)?);
    let (reading, mailbox) = (socket.clone(), net.sender());
    net.spawn(async move {
        let mut buffer = [0; DATAGRAM_BUFFER_BYTES];
        loop {
            // A read error reports that an earlier datagram of this node could not be delivered.
            if let Ok((count, from)) = reading.recv_from(&mut buffer).await {
                let note = AccessControl::Datagram(from, buffer[..count].to_vec());
                if mailbox.send(note).await.is_err() {
                    return;
                }
            }
            // A burst of datagrams must not starve the callers' connections.
            future::yield_now().await;
        }
    });
    Ok(socket)
}

struct AccessService {
    node: AccessNode,
    net: Net<AccessControl>,
    start: Instant,
    note_socket: Option<Rc<Async<UdpSocket>>>,
    file: PathBuf,
    outputs: Vec<Output>,
    stopped: bool,
    /// Remaining attempts of the reload in progress; 0 if there is none.
    reload_attempts: Rc<Cell<u32>>,
}

impl AccessService {
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
        // When the core first reported that it has finished.
        let mut finished_at: Option<Instant> = None;
        loop {
            let mut event = if std::mem::take(&mut self.stopped) {
                // All input read so far is answered. Input that the kernel has accepted since must be
                // answered too.
                self.net.look().await;
                let event = self.net.ready().await;
                if event.is_none()
                    || finished_at.get_or_insert_with(Instant::now).elapsed() > FINAL_INPUT_LIMIT
                {
                    break;
                }
                event
            } else {
                let wake = self.node.wake().map(|at| self.start + Duration::from_micros(at.max(0) as u64));
                self.net.next(wake).await
            };
            let until = Instant::now() + MAX_BATCH_DURATION;
            for _ in 0..MAX_BATCH_EVENTS {
                match event.take() {
                    Some(event) => self.handle_event(event),
                    None => break,
                }
                if Instant::now() > until {
                    break;
                }
                event = self.net.try_next();
            }
            if let Some(event) = event {
                self.handle_event(event);
            }
            self.report_half_closed();
            self.handle(Input::Timeout);
            self.perform();
            self.net.flush();
        }
        self.net.end(FINAL_WRITE_LIMIT, FINAL_CLOSE_LIMIT).await;
        self.node.stats()
    }

    /// Reports peers that have shut down their sending side to the core, before any other work is started.
    fn report_half_closed(&mut self) {
        for conn in self.net.take_half_closed() {
            self.handle(Input::PeerHalfClosed(ConnId(conn)));
        }
    }

    fn handle_event(&mut self, event: Event<AccessControl>) {
        self.report_half_closed();
        match event {
            Event::Accepted { conn, .. } => self.handle(Input::Accepted(ConnId(conn))),
            Event::Dialled { tag, conn } => self.handle(Input::Dialled(DialId(tag), ConnId(conn))),
            Event::DialFailed { tag, local: true, .. } => self.handle(Input::DialNotStarted(DialId(tag))),
            Event::DialFailed { tag, refused, .. } => {
                self.handle(Input::DialFailed { dial: DialId(tag), refused });
            }
            Event::Bytes { conn, bytes } => {
                let waited = self.net.earliest_arrival().elapsed().as_micros() as Micros;
                self.handle(Input::DelayedBytes(ConnId(conn), &bytes, waited));
            }
            Event::Closed { conn } => self.handle(Input::Closed(ConnId(conn))),
            Event::Message(AccessControl::Datagram(from, bytes)) => {
                self.handle(Input::Datagram(from, &bytes))
            }
            Event::Message(AccessControl::Stop) => self.handle(Input::Terminate),
            Event::Message(AccessControl::Reload) => self.reload(),
            Event::Message(AccessControl::JournalAt(address)) => self.handle(Input::JournalMoved(address)),
        }
        self.perform();
    }

    /// Executes the outputs of the core.
    fn perform(&mut self) {
        // Outputs that result from executing one are executed after all earlier ones.
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
                Output::WithdrawInvite(conn, call, otherwise) => {
                    if !self.net.revoke(conn.0, call.0) && !otherwise.is_empty() {
                        self.net.send(conn.0, &otherwise);
                        self.bound_waiting(conn);
                    }
                }
                Output::Close(conn) => self.net.close(conn.0),
                Output::CloseIfNothingUnread(conn) => {
                    if self.net.has_input(conn.0) {
                        self.handle(Input::CloseDeclined(conn));
                    } else {
                        self.net.close(conn.0);
                    }
                }
                Output::HangUp(conn) => self.net.hang_up(conn.0),
                Output::SendDatagram(address, bytes) => {
                    if let Some(socket) = &self.note_socket {
                        // Notes may be lost, so that a failed send is ignored.
                        let _ = socket.get_ref().send_to(&bytes, address);
                    }
                }
                Output::Notice(notice) => emit(&notice),
                Output::Stopped => self.stopped = true,
            }
        }
    }

    /// Aborts a connection whose peer does not read once too many bytes wait on it.
    fn bound_waiting(&mut self, conn: ConnId) {
        if self.net.waiting(conn.0) > MAX_WAITING_BYTES {
            // The socket may accept more than was written so far.
            self.net.flush();
        }
        if self.net.waiting(conn.0) > MAX_WAITING_BYTES {
            self.net.abort(conn.0);
            self.handle(Input::Closed(conn));
        }
    }

    /// Reloads the configuration. A file that can't be used may be in the middle of a replacement and is
    /// read again a little later; until then the configuration in force remains.
    fn reload(&mut self) {
        if self.reload_attempts.replace(RELOAD_RETRY.1) > 0 {
            // The reload in progress, with its attempts renewed, serves this request too.
            return;
        }
        let (file, mailbox, reload_attempts) =
            (self.file.clone(), self.net.sender(), self.reload_attempts.clone());
        self.net.spawn(async move {
            let mut last_error = String::new();
            while reload_attempts.get() > 0 {
                match read_access_config(&file) {
                    Ok(config) => {
                        reload_attempts.set(0);
                        tracing::info!("configuration read again");
                        if let Some(address) = config.journal {
                            // Fails only once the loop has ended, when the address no longer matters.
                            let _ = mailbox.send(AccessControl::JournalAt(address)).await;
                        }
                        return;
                    }
                    Err(why) if why == last_error => {}
                    Err(why) => {
                        tracing::warn!(%why, "the configuration in force stays so");
                        last_error = why;
                    }
                }
                Timer::after(RELOAD_RETRY.0).await;
                reload_attempts.set(reload_attempts.get() - 1);
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
