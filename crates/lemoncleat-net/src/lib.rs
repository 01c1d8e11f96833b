//! TCP connections for a single-threaded event loop.
//!
//! A [`Net`] accepts, dials, reads and writes, and delivers everything that happens to one loop as an
//! [`Event`] through one bounded queue: when the loop falls behind, reading stops and TCP flow control holds
//! the senders back. Writes go straight to the socket; only what does not fit is kept in the connection's
//! write buffer. The owner of the loop bounds that buffer; [`Net::flush`] reports how much was written.
//!
//! Access nodes, the simulated peers of the test laboratory and the bare relay that the node is benchmarked
//! against all run on this loop.

mod tls;

pub use tls::{
    client_config, proof_config, server_config, Authorities, Identity, MinVersion, TlsError, TlsFiles,
};

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use rustc_hash::FxHashMap;
pub use rustls::pki_types::ServerName;
pub use rustls::{ClientConfig, ServerConfig};

use tls::Session;

/// Capacity of the event queue; reading stops while it is full.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// Size of the shared read buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that are read and discarded from a lingering connection before it is closed.
const LINGER_DISCARD_BYTES: usize = 128 << 20;
/// Time that a closed connection may take to write its remaining bytes.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Length of the timer with which [`Net::look`] waits for a full poll of the reactor.
const REACTOR_POLL_DELAY: Duration = Duration::from_millis(1);
/// Times that [`Net::ready`] yields to the tasks before it reports that no event is available.
const READY_YIELDS: usize = 4;
/// Pause after a failed `accept`, for example when descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An event for the loop. Connections are identified by numbers that are never reused.
#[derive(Debug)]
pub enum Event<M> {
    /// A connection was accepted on a listener with this tag.
    Accepted {
        /// The listener's tag.
        tag: u64,
        /// The new connection.
        conn: u64,
    },
    /// A dial with this tag succeeded.
    Dialled {
        /// The dial's tag.
        tag: u64,
        /// The new connection.
        conn: u64,
    },
    /// A dial with this tag failed or timed out.
    DialFailed {
        /// The dial's tag.
        tag: u64,
        /// The remote host refused the connection: nothing listens on the port.
        refused: bool,
        /// A local resource was exhausted (descriptors, ports, memory); the remote host was not contacted.
        local: bool,
    },
    /// Bytes were received.
    Bytes {
        /// The connection.
        conn: u64,
        /// The received bytes.
        bytes: Vec<u8>,
    },
    /// The remote end closed its side, or the connection failed. The connection is removed.
    Closed {
        /// The connection.
        conn: u64,
    },
    /// A message from outside the loop, sent through [`Net::sender`].
    Message(M),
}

/// What the I/O tasks report to the loop.
enum TaskEvent<M> {
    /// An accepted connection, with the slots of its listener; taking the event frees one slot.
    Accepted(u64, Async<TcpStream>, Receiver<()>),
    Dialled(u64, u64, io::Result<Async<TcpStream>>),
    /// Received bytes, with the earliest moment at which they can have arrived.
    Bytes(u64, Vec<u8>, Instant),
    Closed(u64),
    Writable(u64),
    /// The time limit of a TLS handshake has passed.
    HandshakeTimeout(u64),
    Message(M),
}

/// A handle that sends messages into a loop from any task or thread.
pub struct Mailbox<M>(Sender<TaskEvent<M>>);

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Mailbox(self.0.clone())
    }
}

impl<M> Mailbox<M> {
    /// Sends a message, waiting while the queue is full.
    ///
    /// # Errors
    ///
    /// When the loop has ended.
    pub async fn send(&self, message: M) -> Result<(), Ended> {
        self.0.send(TaskEvent::Message(message)).await.map_err(|_| Ended)
    }

    /// Sends a message, blocking the thread while the queue is full.
    ///
    /// # Errors
    ///
    /// When the loop has ended.
    pub fn send_blocking(&self, message: M) -> Result<(), Ended> {
        self.0.send_blocking(TaskEvent::Message(message)).map_err(|_| Ended)
    }
}

/// The error of sending to a loop that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended;

impl std::fmt::Display for Ended {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the loop has ended")
    }
}

impl std::error::Error for Ended {}

struct Conn {
    stream: Arc<Async<TcpStream>>,
    write_buffer: Vec<u8>,
    /// The task that waits until the socket is writable again, while a write is blocked.
    writable_task: Option<Task<()>>,
    dirty: bool,
    /// Number of received buffers of this connection in the event queue.
    queued: Rc<Cell<usize>>,
    /// Taking from it lets the reader task read on.
    read_slot: Receiver<()>,
    /// End of input was seen; the connection is or was listed in [`Net::ended`].
    ended: Rc<Cell<bool>>,
    /// Whether a listener accepted it.
    accepted: bool,
    _reader: Task<()>,
    tls: Option<Box<Session>>,
    /// Size before encryption of the bytes in `write_buffer`.
    plaintext: usize,
    /// Parts of `write_buffer` that may be revoked, in their order.
    revocable: VecDeque<Revocable>,
}

/// Unwritten bytes that may be revoked because none of them has reached the socket.
struct Revocable {
    name: u64,
    start: usize,
    len: usize,
}

/// How a TLS connection came about; kept until its handshake is complete.
#[derive(Clone, Copy)]
enum Origin {
    Accepted(u64),
    Dialled(u64),
}

/// TLS settings of the listeners with one tag.
struct ListenerTls {
    config: Arc<ServerConfig>,
    /// For handshakes that answer an ACME TLS-ALPN challenge (RFC 8737).
    proof: Option<Arc<ServerConfig>>,
    max_handshakes: usize,
    timeout: Duration,
}

/// Resource bounds of a loop.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Capacity of the event queue; reading stops while it is full.
    pub queue: usize,
    /// Size of the read buffer that all connections share.
    pub read: usize,
    /// Closed connections that may linger at once to write their remaining bytes and to read and discard
    /// input; further ones are closed at once.
    pub hung_up: usize,
    /// Accepted connections per listener that may wait in the event queue; others stay in the listen queue.
    pub accepted: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { queue: EVENT_QUEUE_CAPACITY, read: READ_BUFFER_BYTES, hung_up: 256, accepted: 64 }
    }
}

/// The connections of one loop.
pub struct Net<M> {
    bounds: Bounds,
    /// The read buffer that all reader tasks share.
    buffer: Rc<RefCell<Vec<u8>>>,
    /// Tasks of closed connections that still write, or read and discard.
    lingering: Vec<Task<()>>,
    /// Connections whose end of input was seen and not yet returned by [`Net::take_half_closed`].
    ended: Rc<RefCell<Vec<u64>>>,
    /// The connection of the last [`Event::Closed`]: it may still be written to until the next event.
    closed: Option<u64>,
    executor: Rc<LocalExecutor<'static>>,
    sender: Sender<TaskEvent<M>>,
    events: Receiver<TaskEvent<M>>,
    conns: FxHashMap<u64, Conn>,
    dirty: Vec<u64>,
    written: Vec<(u64, usize)>,
    listeners: Vec<Task<()>>,
    dials: HashMap<u64, (u64, Task<()>)>,
    next: u64,
    /// Further events that resulted from one task event.
    pending_events: VecDeque<Event<M>>,
    /// How long the loop last ran without yielding to the reader tasks, and since when it runs now.
    busy_time: Rc<Cell<Duration>>,
    woken_at: Instant,
    /// The earliest moment at which the bytes of the last event can have arrived.
    earliest_arrival: Instant,
    listener_tls: HashMap<u64, ListenerTls>,
    /// Dials that use TLS: expected name, configuration and time limit of the handshake.
    dial_tls: HashMap<u64, (ServerName<'static>, Arc<ClientConfig>, Duration)>,
    /// Connections whose handshake is not complete.
    handshakes: HashMap<u64, Origin>,
}

/// Runs a loop on the current thread until it ends.
pub fn run<M: 'static, T>(body: impl AsyncFnOnce(Net<M>) -> T) -> T {
    run_bounded(Bounds::default(), body)
}

/// Runs a loop within the given resource bounds.
pub fn run_bounded<M: 'static, T>(bounds: Bounds, body: impl AsyncFnOnce(Net<M>) -> T) -> T {
    let executor = Rc::new(LocalExecutor::new());
    let net = Net::new(executor.clone(), bounds);
    async_io::block_on(executor.run(body(net)))
}

impl<M: 'static> Net<M> {
    fn new(executor: Rc<LocalExecutor<'static>>, bounds: Bounds) -> Self {
        let (sender, events) = async_channel::bounded(bounds.queue);
        Net {
            bounds,
            buffer: Rc::new(RefCell::new(vec![0; bounds.read])),
            lingering: Vec::new(),
            ended: Rc::default(),
            closed: None,
            executor,
            sender,
            events,
            conns: FxHashMap::default(),
            dirty: Vec::new(),
            written: Vec::new(),
            listeners: Vec::new(),
            dials: HashMap::new(),
            next: 0,
            pending_events: VecDeque::new(),
            busy_time: Rc::default(),
            woken_at: Instant::now(),
            earliest_arrival: Instant::now(),
            listener_tls: HashMap::new(),
            dial_tls: HashMap::new(),
            handshakes: HashMap::new(),
        }
    }

    /// Returns a handle that sends messages into the loop.
    pub fn sender(&self) -> Mailbox<M> {
        Mailbox(self.sender.clone())
    }

    /// Runs a task on the loop's thread for as long as the loop lives.
    pub fn spawn(&mut self, task: impl std::future::Future<Output = ()> + 'static) {
        self.listeners.push(self.executor.spawn(task));
    }

    /// Accepts connections on a listener.
    ///
    /// # Errors
    ///
    /// When the listener can't be made non-blocking.
    pub fn listen(&mut self, listener: TcpListener, tag: u64) -> io::Result<()> {
        let listener = Async::new(listener)?;
        let sender = self.sender.clone();
        let (slot_sender, slot_receiver) = async_channel::bounded(self.bounds.accepted.max(1));
        self.spawn(async move {
            // Connections that wait in the event queue hold descriptors the owner does not count yet.
            while slot_sender.send(()).await.is_ok() {
                let stream = loop {
                    match listener.accept().await {
                        Ok((stream, _)) => break stream,
                        // The client left while it was in the listen queue.
                        Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {
                            future::yield_now().await;
                        }
                        Err(_) => {
                            Timer::after(ACCEPT_RETRY_DELAY).await;
                        }
                    }
                };
                if sender.send(TaskEvent::Accepted(tag, stream, slot_receiver.clone())).await.is_err() {
                    return;
                }
                // A full listen queue must not starve the reader tasks.
                future::yield_now().await;
            }
        });
        Ok(())
    }

    /// Starts a connection; the result is [`Event::Dialled`] or [`Event::DialFailed`] with the same tag. A
    /// dial replaces one in progress with the same tag.
    pub fn dial(&mut self, address: SocketAddr, tag: u64, timeout: Duration) {
        let sender = self.sender.clone();
        let id = self.next;
        self.next += 1;
        let task = self.executor.spawn(async move {
            let expired = async {
                Timer::after(timeout).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            let result = Async::<TcpStream>::connect(address).or(expired).await;
            let _ = sender.send(TaskEvent::Dialled(tag, id, result)).await;
        });
        self.dials.insert(tag, (id, task));
    }

    /// Uses TLS with this configuration on connections accepted under a tag. The configuration may be
    /// replaced at any time and applies to handshakes that begin afterwards. Connections beyond
    /// `max_handshakes` concurrent handshakes are closed, and a handshake that takes longer than `timeout` is
    /// aborted.
    pub fn listen_with_tls(
        &mut self,
        tag: u64,
        config: Arc<ServerConfig>,
        max_handshakes: usize,
        timeout: Duration,
    ) {
        let proof = self.listener_tls.remove(&tag).and_then(|tls| tls.proof);
        self.listener_tls.insert(tag, ListenerTls { config, proof, max_handshakes, timeout });
    }

    /// Answers the TLS-ALPN challenge handshakes of a certificate authority (RFC 8737) with this
    /// configuration on the listeners of a tag and closes their connections; without one they are served like
    /// all others.
    pub fn set_acme_challenge(&mut self, tag: u64, proof: Option<Arc<ServerConfig>>) {
        if let Some(tls) = self.listener_tls.get_mut(&tag) {
            tls.proof = proof;
        }
    }

    /// Makes the next dial with this tag use TLS and require a certificate for this name.
    pub fn dial_with_tls(
        &mut self,
        tag: u64,
        name: ServerName<'static>,
        config: Arc<ClientConfig>,
        timeout: Duration,
    ) {
        self.dial_tls.insert(tag, (name, config, timeout));
    }

    /// Returns the names in the peer's certificate on a connection; `None` without TLS.
    pub fn peer_names(&self, conn: u64) -> Option<Vec<String>> {
        Some(self.conns.get(&conn)?.tls.as_ref()?.peer_names())
    }

    /// Returns the peer's certificate (DER) on a connection; `None` without TLS.
    pub fn peer_certificate(&self, conn: u64) -> Option<Vec<u8>> {
        self.conns.get(&conn)?.tls.as_ref()?.peer_certificate()
    }

    /// Reports whether the handshake resumed an earlier session; then no certificate was sent in it.
    pub fn is_resumed(&self, conn: u64) -> bool {
        self.conns.get(&conn).and_then(|conn| conn.tls.as_ref()).is_some_and(|tls| tls.is_resumed())
    }

    /// Cancels the dial with this tag, if one is in progress.
    pub fn stop_dial(&mut self, tag: u64) {
        self.dials.remove(&tag);
        self.dial_tls.remove(&tag);
    }

    fn add_connection(&mut self, stream: Async<TcpStream>, tls: Option<Session>, accepted: bool) -> u64 {
        let id = self.next;
        self.next += 1;
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Arc::new(stream);
        let (reading, sender) = (stream.clone(), self.sender.clone());
        let buffer = self.buffer.clone();
        let queued = Rc::new(Cell::new(0));
        let (count, busy_time) = (queued.clone(), self.busy_time.clone());
        let (ended, all_ended) = (Rc::new(Cell::new(false)), self.ended.clone());
        let seen = ended.clone();
        let (slot_sender, read_slot) = async_channel::bounded(1);
        let reader = self.executor.spawn(async move {
            let mut queue_wait = Duration::ZERO;
            // Connections take turns: each has one buffer in the event queue, whatever its peer sends.
            while slot_sender.send(()).await.is_ok() {
                // The closure runs when input is available. The shared buffer is not borrowed across a wait.
                let read = reading.read_with(|mut socket| {
                    let mut buffer = buffer.borrow_mut();
                    let count = socket.read(&mut buffer)?;
                    Ok(buffer[..count].to_vec())
                });
                let read = read.await;
                let now = Instant::now();
                // The bytes may have arrived while the loop was busy or this reader waited for queue space.
                let earliest_arrival = now.checked_sub(queue_wait.max(busy_time.get())).unwrap_or(now);
                let task_event = match read {
                    Ok(bytes) if !bytes.is_empty() => TaskEvent::Bytes(id, bytes, earliest_arrival),
                    _ => TaskEvent::Closed(id),
                };
                let last = matches!(task_event, TaskEvent::Closed(_));
                if last && !seen.replace(true) {
                    // Reported apart from the queue, where earlier bytes may delay the close event.
                    all_ended.borrow_mut().push(id);
                }
                count.set(count.get() + usize::from(!last));
                if sender.send(task_event).await.is_err() || last {
                    return;
                }
                queue_wait = now.elapsed();
            }
        });
        let conn = Conn {
            stream,
            write_buffer: Vec::new(),
            writable_task: None,
            dirty: false,
            queued,
            read_slot,
            ended,
            accepted,
            _reader: reader,
            tls: tls.map(Box::new),
            plaintext: 0,
            revocable: VecDeque::new(),
        };
        self.conns.insert(id, conn);
        id
    }

    /// Queues bytes on a connection; they are written at the next [`Net::flush`].
    pub fn send(&mut self, conn: u64, bytes: &[u8]) {
        if let Some(state) = self.conns.get_mut(&conn) {
            match &mut state.tls {
                Some(tls) => tls.encrypt(bytes, &mut state.write_buffer),
                None => state.write_buffer.extend_from_slice(bytes),
            }
            state.plaintext += bytes.len();
            if !state.dirty {
                state.dirty = true;
                self.dirty.push(conn);
            }
        }
    }

    /// Queues bytes that [`Net::revoke`] can revoke under a name as long as none of them has been written.
    /// On TLS connections they can't be revoked, since an encrypted record can't be left out.
    pub fn send_revocable(&mut self, conn: u64, name: u64, bytes: &[u8]) {
        if let Some(state) = self.conns.get_mut(&conn).filter(|state| state.tls.is_none()) {
            state.revocable.push_back(Revocable { name, start: state.write_buffer.len(), len: bytes.len() });
        }
        self.send(conn, bytes);
    }

    /// Revokes the bytes last queued on a connection under a name. Returns false and changes nothing if there
    /// are none or some of them have been written.
    pub fn revoke(&mut self, conn: u64, name: u64) -> bool {
        let Some(state) = self.conns.get_mut(&conn) else { return false };
        let Some(at) = state.revocable.iter().rposition(|part| part.name == name) else { return false };
        let Some(removed) = state.revocable.remove(at) else { return false };
        state.write_buffer.drain(removed.start..removed.start + removed.len);
        state.plaintext -= removed.len;
        for later in state.revocable.range_mut(at..) {
            later.start -= removed.len;
        }
        true
    }

    /// Writes the bytes queued since the last call, as far as the sockets accept them. Returns how many bytes
    /// were written per connection since the last call.
    pub fn flush(&mut self) -> Vec<(u64, usize)> {
        for id in std::mem::take(&mut self.dirty) {
            self.write(id);
        }
        std::mem::take(&mut self.written)
    }

    fn write(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.dirty = false;
        if conn.writable_task.is_some() || conn.write_buffer.is_empty() {
            return;
        }
        let mut socket = conn.stream.get_ref();
        let mut done = 0;
        let blocked = loop {
            match socket.write(&conn.write_buffer[done..]) {
                Ok(count) => {
                    done += count;
                    if done == conn.write_buffer.len() || count == 0 {
                        break false;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break true,
                // The reader task gets the same error and reports it.
                Err(_) => {
                    done = conn.write_buffer.len();
                    break false;
                }
            }
        };
        conn.write_buffer.drain(..done);
        conn.revocable.retain_mut(|part| {
            let waits = part.start >= done;
            part.start = part.start.saturating_sub(done);
            waits
        });
        if conn.write_buffer.is_empty() && conn.write_buffer.capacity() > READ_BUFFER_BYTES {
            conn.write_buffer = Vec::new();
        }
        // Counts plaintext bytes, not their encrypted size.
        let plaintext = if conn.write_buffer.is_empty() { conn.plaintext } else { done.min(conn.plaintext) };
        conn.plaintext -= plaintext;
        if plaintext > 0 {
            self.written.push((id, plaintext));
        }
        if blocked {
            let (stream, sender) = (conn.stream.clone(), self.sender.clone());
            conn.writable_task = Some(self.executor.spawn(async move {
                let _ = stream.writable().await;
                let _ = sender.send(TaskEvent::Writable(id)).await;
            }));
        }
    }

    /// Closes a connection once its queued bytes are written, or after two seconds. No further events are
    /// reported for it.
    pub fn close(&mut self, conn: u64) {
        if let Some(state) = self.conns.get_mut(&conn) {
            if let Some(tls) = &mut state.tls {
                tls.close(&mut state.write_buffer);
            }
        }
        self.write(conn);
        self.handshakes.remove(&conn);
        let Some(state) = self.forget(conn) else { return };
        // Closing with unread input sends a reset, which can discard bytes the peer has not read yet.
        let unread = matches!(state.stream.get_ref().peek(&mut [0]), Ok(count) if count > 0);
        if state.write_buffer.is_empty() && !unread {
            let _ = state.stream.get_ref().shutdown(Shutdown::Both);
            return;
        }
        self.linger(state);
    }

    /// Closes a connection so that the peer can read the queued bytes although it may go on sending: writes,
    /// shuts down the sending side, then reads and discards input for a bounded time. No further events are
    /// reported for it.
    pub fn hang_up(&mut self, conn: u64) {
        if self.conns.get(&conn).is_none_or(|state| state.tls.is_some()) {
            return self.close(conn);
        }
        self.write(conn);
        if let Some(state) = self.forget(conn) {
            self.linger(state);
        }
    }

    /// Lets a closed connection write and discard input for a bounded time, within the bound on such
    /// connections.
    fn linger(&mut self, state: Conn) {
        self.lingering.retain(|task| !task.is_finished());
        if self.lingering.len() >= self.bounds.hung_up {
            let _ = state.stream.get_ref().shutdown(Shutdown::Both);
            return;
        }
        let task = self.finish(state, LINGER_TIMEOUT, LINGER_TIMEOUT);
        self.lingering.push(task);
    }

    /// Writes the remaining bytes for at most `write` and shuts down the sending side. Input is read and
    /// discarded meanwhile, and for at most `drain_time` afterwards, until the peer shuts down its side too.
    fn finish(&self, state: Conn, write: Duration, drain_time: Duration) -> Task<()> {
        let (stream, write_buffer) = (state.stream, state.write_buffer);
        let buffer = self.buffer.clone();
        self.executor.spawn(async move {
            let written = async {
                let mut done = 0;
                while done < write_buffer.len() {
                    match stream.write_with(|mut socket| socket.write(&write_buffer[done..])).await {
                        Ok(count) if count > 0 => done += count,
                        _ => return,
                    }
                }
            };
            let read = async {
                let mut dropped = 0;
                while dropped < LINGER_DISCARD_BYTES {
                    match stream.read_with(|mut socket| socket.read(&mut buffer.borrow_mut())).await {
                        Ok(count) if count > 0 => dropped += count,
                        _ => return,
                    }
                    // A peer that sends at full speed must not starve other tasks.
                    future::yield_now().await;
                }
            };
            let mut read = pin!(read);
            // End of input does not stop the writing: the peer may still read.
            let read_done = Cell::new(false);
            let reading = async {
                read.as_mut().await;
                read_done.set(true);
                future::pending().await
            };
            written.or(sleep(write)).or(reading).await;
            let _ = stream.get_ref().shutdown(Shutdown::Write);
            if !read_done.get() {
                read.or(sleep(drain_time)).await;
            }
        })
    }

    /// Closes a connection at once without writing its queued bytes, as a killed process would.
    pub fn abort(&mut self, conn: u64) {
        if let Some(state) = self.forget(conn) {
            let _ = state.stream.get_ref().shutdown(Shutdown::Both);
        }
    }

    /// Removes a connection from the loop.
    fn forget(&mut self, conn: u64) -> Option<Conn> {
        let state = self.conns.remove(&conn)?;
        if state.ended.get() {
            self.ended.borrow_mut().retain(|ended| *ended != conn);
        }
        Some(state)
    }

    /// Removes the connection of the last [`Event::Closed`]. The peer may have shut down only its sending
    /// side and still read what was queued since.
    fn forget_closed(&mut self) {
        let Some(conn) = self.closed.take() else { return };
        self.write(conn);
        if let Some(state) = self.forget(conn) {
            if !state.write_buffer.is_empty() {
                self.linger(state);
            }
        }
    }

    /// Returns the connections whose peer shut down its sending side, or that failed, since the last call:
    /// each once, before its [`Event::Closed`]. Bytes sent earlier may still follow. Call it before each
    /// event and each timer, so that no work is started for a peer that the system knows to have left.
    pub fn take_half_closed(&mut self) -> Vec<u64> {
        std::mem::take(&mut *self.ended.borrow_mut())
    }

    /// Shuts down all connections in an orderly way: queued bytes are written for at most `write` and the
    /// sending side is shut down. Input of accepted connections is read and discarded meanwhile, and for at
    /// most `drain` afterwards, until the peer shuts down its side too; otherwise a reset could discard
    /// written bytes before the peer reads them. Listeners and dials are stopped, and no further events are
    /// reported.
    pub async fn end(&mut self, write: Duration, drain_time: Duration) {
        self.listeners.clear();
        self.dials.clear();
        for state in self.conns.values_mut() {
            if let Some(tls) = &mut state.tls {
                tls.close(&mut state.write_buffer);
            }
        }
        self.flush();
        let states: Vec<Conn> = self.conns.drain().map(|(_, state)| state).collect();
        for state in states {
            if state.accepted || !state.write_buffer.is_empty() {
                let drain_time = if state.accepted { drain_time } else { Duration::ZERO };
                let task = self.finish(state, write, drain_time);
                self.lingering.push(task);
            }
        }
        for task in std::mem::take(&mut self.lingering) {
            task.await;
        }
    }

    /// Reports whether a connection has input that was not yet delivered to the loop.
    pub fn has_input(&self, conn: u64) -> bool {
        let Some(state) = self.conns.get(&conn) else { return false };
        state.queued.get() > 0 || matches!(state.stream.get_ref().peek(&mut [0]), Ok(count) if count > 0)
    }

    /// Returns how many bytes on a connection are queued and not yet written.
    pub fn waiting(&self, conn: u64) -> usize {
        self.conns.get(&conn).map_or(0, |conn| conn.write_buffer.len())
    }

    fn begin_handshake(
        &mut self,
        stream: Async<TcpStream>,
        session: Session,
        origin: Origin,
        timeout: Duration,
    ) {
        let conn = self.add_connection(stream, Some(session), matches!(origin, Origin::Accepted(_)));
        self.handshakes.insert(conn, origin);
        let sender = self.sender.clone();
        self.executor
            .spawn(async move {
                Timer::after(timeout).await;
                let _ = sender.send(TaskEvent::HandshakeTimeout(conn)).await;
            })
            .detach();
        self.flush_tls(conn);
    }

    /// Writes the pending output of the TLS session at once.
    fn flush_tls(&mut self, conn: u64) {
        if let Some(state) = self.conns.get_mut(&conn) {
            if let Some(tls) = &mut state.tls {
                tls.take_output(&mut state.write_buffer);
            }
        }
        self.write(conn);
    }

    fn handshake_failed(&mut self, conn: u64) -> Option<Event<M>> {
        let origin = self.handshakes.remove(&conn)?;
        self.close(conn);
        match origin {
            Origin::Accepted(_) => None,
            Origin::Dialled(tag) => Some(Event::DialFailed { tag, refused: false, local: false }),
        }
    }

    /// Processes bytes of a TLS connection: advances the handshake, or returns the decrypted bytes as an
    /// event.
    fn decrypt(&mut self, conn: u64, bytes: &[u8]) -> Option<Event<M>> {
        let state = self.conns.get_mut(&conn)?;
        let tls = state.tls.as_mut()?;
        let result = tls.decrypt(bytes);
        let open = !tls.is_handshaking();
        let proof = tls.is_proof();
        self.flush_tls(conn);
        if open && proof {
            // A challenge consists of the handshake alone.
            self.close(conn);
            return None;
        }
        match result {
            Ok(plaintext) => {
                if open {
                    if let Some(origin) = self.handshakes.remove(&conn) {
                        self.pending_events.push_back(match origin {
                            Origin::Accepted(tag) => Event::Accepted { tag, conn },
                            Origin::Dialled(tag) => Event::Dialled { tag, conn },
                        });
                    }
                }
                if !plaintext.is_empty() {
                    self.pending_events.push_back(Event::Bytes { conn, bytes: plaintext });
                }
                self.pending_events.pop_front()
            }
            Err(_) if self.handshakes.contains_key(&conn) => self.handshake_failed(conn),
            Err(_) => {
                self.close(conn);
                Some(Event::Closed { conn })
            }
        }
    }

    fn handle_task_event(&mut self, task_event: TaskEvent<M>) -> Option<Event<M>> {
        self.forget_closed();
        Some(match task_event {
            TaskEvent::Accepted(tag, stream, slot_receiver) => {
                let _ = slot_receiver.try_recv();
                let Some(tls) = self.listener_tls.get(&tag) else {
                    return Some(Event::Accepted { tag, conn: self.add_connection(stream, None, true) });
                };
                if self.handshakes.len() >= tls.max_handshakes {
                    return None;
                }
                let (session, timeout) =
                    (Session::server(tls.config.clone(), tls.proof.clone()), tls.timeout);
                self.begin_handshake(stream, session, Origin::Accepted(tag), timeout);
                return None;
            }
            TaskEvent::HandshakeTimeout(conn) => {
                if !self.handshakes.contains_key(&conn) {
                    return None;
                }
                return self.handshake_failed(conn);
            }
            TaskEvent::Dialled(tag, id, result) => {
                if self.dials.get(&tag).is_none_or(|(current, _)| *current != id) {
                    return None;
                }
                self.dials.remove(&tag);
                match result {
                    Ok(stream) => {
                        let Some((name, config, timeout)) = self.dial_tls.remove(&tag) else {
                            return Some(Event::Dialled {
                                tag,
                                conn: self.add_connection(stream, None, false),
                            });
                        };
                        let Ok(session) = Session::client(config, name) else {
                            return Some(Event::DialFailed { tag, refused: false, local: false });
                        };
                        self.begin_handshake(stream, session, Origin::Dialled(tag), timeout);
                        return None;
                    }
                    Err(error) => {
                        let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                        Event::DialFailed { tag, refused, local: is_local(&error) }
                    }
                }
            }
            TaskEvent::Bytes(conn, bytes, earliest_arrival) => {
                self.earliest_arrival = earliest_arrival;
                let state = self.conns.get(&conn)?;
                state.queued.set(state.queued.get().saturating_sub(1));
                let _ = state.read_slot.try_recv();
                // End of input may have arrived while these bytes were queued.
                if !state.ended.get() && has_ended(state.stream.get_ref()) {
                    state.ended.set(true);
                    self.ended.borrow_mut().push(conn);
                }
                if state.tls.is_some() {
                    return self.decrypt(conn, &bytes);
                }
                Event::Bytes { conn, bytes }
            }
            TaskEvent::Closed(conn) => {
                if self.handshakes.contains_key(&conn) {
                    return self.handshake_failed(conn);
                }
                self.conns.get(&conn)?;
                self.closed = Some(conn);
                Event::Closed { conn }
            }
            TaskEvent::Writable(conn) => {
                if let Some(state) = self.conns.get_mut(&conn) {
                    state.writable_task = None;
                }
                self.write(conn);
                return None;
            }
            TaskEvent::Message(message) => Event::Message(message),
        })
    }

    /// Returns the earliest moment at which the bytes of the last event can have arrived. While the loop
    /// keeps up that is just before they were read; bytes that arrived while the loop was busy count from the
    /// time at which it became busy.
    pub fn earliest_arrival(&self) -> Instant {
        self.earliest_arrival
    }

    /// Returns the next event; `None` once `until` has passed, or when a task event led to no event.
    pub async fn next(&mut self, until: Option<Instant>) -> Option<Event<M>> {
        self.forget_closed();
        if let Some(event) = self.pending_events.pop_front() {
            return Some(event);
        }
        let behind = until.is_some_and(|until| until <= Instant::now());
        // Otherwise a queued event is returned at once, without yielding to the reader tasks.
        let yields = behind || self.events.is_empty();
        if yields {
            self.busy_time.set(self.woken_at.elapsed());
        }
        let task_event = match until {
            _ if behind => {
                // A loop that is behind must not starve its readers: the first yield runs those that are
                // ready, the second those that the reactor's poll in between finds ready.
                future::yield_now().await;
                future::yield_now().await;
                self.events.try_recv().ok()
            }
            Some(until) => {
                let timer = async {
                    Timer::at(until).await;
                    // Readers that the same reactor poll found ready run first.
                    future::yield_now().await;
                    self.events.try_recv().ok()
                };
                async { self.events.recv().await.ok() }.or(timer).await
            }
            None => self.events.recv().await.ok(),
        };
        if yields {
            self.woken_at = Instant::now();
        }
        self.handle_task_event(task_event?)
    }

    /// Polls every socket: once this returns, the tasks whose sockets were ready at the call are runnable,
    /// and [`Net::ready`] returns what they read.
    pub async fn look(&mut self) {
        // A timer fires in a reactor turn that begins after its expiry, and that turn polls all sockets
        // before it wakes any task.
        Timer::after(REACTOR_POLL_DELAY).await;
    }

    /// Returns an available event; lets every runnable task run before it returns `None`.
    pub async fn ready(&mut self) -> Option<Event<M>> {
        for _ in 0..READY_YIELDS {
            if let Some(event) = self.try_next() {
                return Some(event);
            }
            future::yield_now().await;
        }
        self.try_next()
    }

    /// Returns an event that is already queued.
    pub fn try_next(&mut self) -> Option<Event<M>> {
        self.forget_closed();
        if let Some(event) = self.pending_events.pop_front() {
            return Some(event);
        }
        while let Ok(task_event) = self.events.try_recv() {
            if let Some(event) = self.handle_task_event(task_event) {
                return Some(event);
            }
        }
        None
    }
}

/// Reports whether a dial failed because a local resource was exhausted.
fn is_local(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let errnos = [Errno::MFILE, Errno::NFILE, Errno::ADDRNOTAVAIL, Errno::NOBUFS, Errno::NOMEM];
    error.raw_os_error().is_some_and(|code| errnos.iter().any(|errno| errno.raw_os_error() == code))
}

/// Reports whether the peer shut down its sending side, also while input is left to read, or the connection
/// failed.
fn has_ended(socket: &TcpStream) -> bool {
    if is_shut_down_by_peer(socket) {
        return true;
    }
    match socket.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
    }
}

/// Reports what only the kernel's state of a connection shows: an end or a failure behind unread input.
#[cfg(target_os = "linux")]
fn is_shut_down_by_peer(socket: &TcpStream) -> bool {
    use rustix::event::{poll, PollFd, PollFlags, Timespec};
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut fds = [PollFd::new(socket, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut fds, Some(&at_once)).is_ok() && fds[0].revents().intersects(ends)
}

#[cfg(not(target_os = "linux"))]
fn is_shut_down_by_peer(_: &TcpStream) -> bool {
    false
}

async fn sleep(timeout: Duration) {
    Timer::after(timeout).await;
}
