//! TCP connections for a single-threaded event loop.
//!
//! A [`Net`] accepts, dials, reads and writes, and hands everything that happens to one loop as an
//! [`Event`], in one bounded queue: when the loop is behind, reading stops and the senders are held back by
//! TCP. Writing goes straight to the socket; only what does not fit waits in the connection's buffer, which
//! the loop's owner bounds (it learns with [`Net::flush`] how much was written).
//!
//! The same loop drives access nodes, the stand-ins of the laboratory and the bare relay that the node is
//! measured against.

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

/// Events that may wait for the loop before reading stops.
const QUEUE: usize = 4_096;
/// Bytes read at once.
const READ: usize = 64 * 1024;
/// Bytes that a connection being hung up on may still send before it is closed.
const DRAIN: usize = 128 << 20;
/// How long a closed connection may take to write what it still holds.
const LINGER: Duration = Duration::from_secs(2);
/// How long a look at all sockets waits for the reactor.
const LOOK: Duration = Duration::from_millis(1);
/// Turns that all tasks get before nothing counts as there.
const TURNS: usize = 4;
/// Pause after accepting failed, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What happened. Connections are named by numbers that are never reused.
#[derive(Debug)]
pub enum Event<M> {
    /// Somebody connected to the listener with this tag.
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
    /// A dial with this tag failed or took too long.
    DialFailed {
        /// The dial's tag.
        tag: u64,
        /// The machine answered that nobody listens there.
        refused: bool,
        /// It was for want of something here, as of descriptors or ports: the other side was not asked.
        local: bool,
    },
    /// Bytes came.
    Bytes {
        /// On which connection.
        conn: u64,
        /// What came.
        bytes: Vec<u8>,
    },
    /// The other side closed, or the connection broke. It is forgotten.
    Closed {
        /// Which connection.
        conn: u64,
    },
    /// A message from outside the loop, by [`Net::sender`].
    Message(M),
}

/// What the tasks tell the loop.
enum Raw<M> {
    /// With the places of those who wait for the loop, one of which is free again once it is taken.
    Accepted(u64, Async<TcpStream>, Receiver<()>),
    Dialled(u64, u64, io::Result<Async<TcpStream>>),
    /// And since when they have waited, at the earliest.
    Bytes(u64, Vec<u8>, Instant),
    Closed(u64),
    Writable(u64),
    /// A handshake has had its time.
    Late(u64),
    Message(M),
}

/// Sends messages into a loop from anywhere.
pub struct Mailbox<M>(Sender<Raw<M>>);

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Mailbox(self.0.clone())
    }
}

impl<M> Mailbox<M> {
    /// Sends a message, waiting for room.
    ///
    /// # Errors
    ///
    /// When the loop has ended.
    pub async fn send(&self, message: M) -> Result<(), Ended> {
        self.0.send(Raw::Message(message)).await.map_err(|_| Ended)
    }

    /// Sends a message from a thread that may block.
    ///
    /// # Errors
    ///
    /// When the loop has ended.
    pub fn send_blocking(&self, message: M) -> Result<(), Ended> {
        self.0.send_blocking(Raw::Message(message)).map_err(|_| Ended)
    }
}

/// The loop that a message was for has ended.
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
    waiting: Vec<u8>,
    /// A task waits until the socket takes more.
    blocked: Option<Task<()>>,
    dirty: bool,
    /// Pieces that were read and wait in the loop's queue.
    queued: Rc<Cell<usize>>,
    /// Its end was seen: it stands, or stood, among [`Net::ended`].
    ended: Rc<Cell<bool>>,
    /// It came to a listener.
    accepted: bool,
    _reader: Task<()>,
    tls: Option<Box<Session>>,
    /// Bytes given for it that are in `waiting`, before encryption.
    plain: usize,
    /// Parts of `waiting` that may be taken back, in their order.
    revocable: VecDeque<Revocable>,
}

/// Bytes that wait and may be taken back, because none of them has begun to leave.
struct Revocable {
    name: u64,
    start: usize,
    len: usize,
}

/// What a TLS connection is, until its handshake is done.
#[derive(Clone, Copy)]
enum Origin {
    Accepted(u64),
    Dialled(u64),
}

/// TLS of the listeners of a tag.
struct ListenerTls {
    config: Arc<ServerConfig>,
    /// For handshakes that prove a name.
    proof: Option<Arc<ServerConfig>>,
    most: usize,
    time: Duration,
}

/// What a loop may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Events that may wait before reading stops.
    pub queue: usize,
    /// Bytes read at once; all connections share one buffer of this size.
    pub read: usize,
    /// Connections that linger at once, to write what waits and to read and drop what comes, after the loop gave
    /// them up; further ones are closed without waiting.
    pub hung_up: usize,
    /// Accepted connections of one listener that may wait for the loop; all others stay in the listen queue.
    pub accepted: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { queue: QUEUE, read: READ, hung_up: 256, accepted: 64 }
    }
}

/// The connections of one loop.
pub struct Net<M> {
    bounds: Bounds,
    /// What all readers read into.
    buffer: Rc<RefCell<Vec<u8>>>,
    /// Connections that the loop gave up and that still write, or read and drop.
    lingering: Vec<Task<()>>,
    /// Connections whose far side was seen to end and that the loop was not told of yet.
    ended: Rc<RefCell<Vec<u64>>>,
    /// A connection whose [`Event::Closed`] was given last: until the next event it may still be written to.
    closed: Option<u64>,
    executor: Rc<LocalExecutor<'static>>,
    sender: Sender<Raw<M>>,
    events: Receiver<Raw<M>>,
    conns: FxHashMap<u64, Conn>,
    dirty: Vec<u64>,
    written: Vec<(u64, usize)>,
    listeners: Vec<Task<()>>,
    dials: HashMap<u64, (u64, Task<()>)>,
    next: u64,
    /// Events that came of one raw one.
    ready: VecDeque<Event<M>>,
    /// How long the loop was last at work without the readers having their turn, and since when it is now.
    at_work: Rc<Cell<Duration>>,
    woke: Instant,
    /// Since when the bytes that were given last have waited, at the earliest.
    since: Instant,
    listener_tls: HashMap<u64, ListenerTls>,
    /// Dials that are to speak TLS: with whom, how, and how long the handshake may take.
    dial_tls: HashMap<u64, (ServerName<'static>, Arc<ClientConfig>, Duration)>,
    /// Connections whose handshake is not done.
    handshakes: HashMap<u64, Origin>,
}

/// Runs a loop to its end on the present thread.
pub fn run<M: 'static, T>(body: impl AsyncFnOnce(Net<M>) -> T) -> T {
    run_bounded(Bounds::default(), body)
}

/// Runs a loop that holds no more than its bounds say.
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
            ready: VecDeque::new(),
            at_work: Rc::default(),
            woke: Instant::now(),
            since: Instant::now(),
            listener_tls: HashMap::new(),
            dial_tls: HashMap::new(),
            handshakes: HashMap::new(),
        }
    }

    /// A way to send messages into the loop.
    pub fn sender(&self) -> Mailbox<M> {
        Mailbox(self.sender.clone())
    }

    /// Runs a task beside the loop, on its thread, for as long as the loop lives.
    pub fn spawn(&mut self, task: impl std::future::Future<Output = ()> + 'static) {
        self.listeners.push(self.executor.spawn(task));
    }

    /// Accepts connections on a listener.
    ///
    /// # Errors
    ///
    /// When the listener can't be used without blocking.
    pub fn listen(&mut self, listener: TcpListener, tag: u64) -> io::Result<()> {
        let listener = Async::new(listener)?;
        let sender = self.sender.clone();
        let (place, places) = async_channel::bounded(self.bounds.accepted.max(1));
        self.spawn(async move {
            // Whom the loop has not taken holds a descriptor that nobody counts.
            while place.send(()).await.is_ok() {
                let stream = loop {
                    match listener.accept().await {
                        Ok((stream, _)) => break stream,
                        // That one left while it waited.
                        Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {
                            future::yield_now().await;
                        }
                        Err(_) => {
                            Timer::after(ACCEPT_PAUSE).await;
                        }
                    }
                };
                if sender.send(Raw::Accepted(tag, stream, places.clone())).await.is_err() {
                    return;
                }
                // A crowd that waits must not keep the readers from their turn.
                future::yield_now().await;
            }
        });
        Ok(())
    }

    /// Dials; the answer is [`Event::Dialled`] or [`Event::DialFailed`] with the same tag. A dial with the
    /// tag of one under way replaces it.
    pub fn dial(&mut self, address: SocketAddr, tag: u64, timeout: Duration) {
        let sender = self.sender.clone();
        let id = self.next;
        self.next += 1;
        let task = self.executor.spawn(async move {
            let late = async {
                Timer::after(timeout).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            let result = Async::<TcpStream>::connect(address).or(late).await;
            let _ = sender.send(Raw::Dialled(tag, id, result)).await;
        });
        self.dials.insert(tag, (id, task));
    }

    /// Connections accepted under a tag speak TLS from now on, with this configuration; it may be replaced at any
    /// time, and holds for handshakes that begin then. More than `most` handshakes at once are turned away, and
    /// one that takes longer than `time` is given up.
    pub fn listen_with_tls(&mut self, tag: u64, config: Arc<ServerConfig>, most: usize, time: Duration) {
        let proof = self.listener_tls.remove(&tag).and_then(|tls| tls.proof);
        self.listener_tls.insert(tag, ListenerTls { config, proof, most, time });
    }

    /// Handshakes of a certificate authority that wants a name proven (RFC 8737) are answered with this on a tag's
    /// listeners, and their connections closed; without it they get what all others do.
    pub fn prove_with_tls(&mut self, tag: u64, proof: Option<Arc<ServerConfig>>) {
        if let Some(tls) = self.listener_tls.get_mut(&tag) {
            tls.proof = proof;
        }
    }

    /// The next dial with this tag speaks TLS and expects a certificate for this name.
    pub fn dial_with_tls(
        &mut self,
        tag: u64,
        name: ServerName<'static>,
        config: Arc<ClientConfig>,
        time: Duration,
    ) {
        self.dial_tls.insert(tag, (name, config, time));
    }

    /// The names in the certificate that the other end of a connection showed; `None` without TLS.
    pub fn peer_names(&self, conn: u64) -> Option<Vec<String>> {
        Some(self.conns.get(&conn)?.tls.as_ref()?.peer_names())
    }

    /// The certificate (DER) that the other end of a connection showed; `None` without TLS.
    pub fn peer_certificate(&self, conn: u64) -> Option<Vec<u8>> {
        self.conns.get(&conn)?.tls.as_ref()?.peer_certificate()
    }

    /// Whether a connection's handshake took up an earlier one's secrets; then no certificate was shown in it.
    pub fn is_resumed(&self, conn: u64) -> bool {
        self.conns.get(&conn).and_then(|conn| conn.tls.as_ref()).is_some_and(|tls| tls.is_resumed())
    }

    /// Gives up the dial with this tag, if one is under way.
    pub fn stop_dial(&mut self, tag: u64) {
        self.dials.remove(&tag);
        self.dial_tls.remove(&tag);
    }

    fn add(&mut self, stream: Async<TcpStream>, tls: Option<Session>, accepted: bool) -> u64 {
        let id = self.next;
        self.next += 1;
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Arc::new(stream);
        let (reading, sender) = (stream.clone(), self.sender.clone());
        let buffer = self.buffer.clone();
        let queued = Rc::new(Cell::new(0));
        let (count, at_work) = (queued.clone(), self.at_work.clone());
        let (ended, all_ended) = (Rc::new(Cell::new(false)), self.ended.clone());
        let seen = ended.clone();
        let reader = self.executor.spawn(async move {
            let mut held_up = Duration::ZERO;
            loop {
                // The loop below reads only when the reactor says so, or at once if something is there. Nothing is
                // held of the shared buffer across a wait.
                let read = reading.read_with(|mut socket| {
                    let mut buffer = buffer.borrow_mut();
                    let count = socket.read(&mut buffer)?;
                    Ok(buffer[..count].to_vec())
                });
                let read = read.await;
                let now = Instant::now();
                // It came while the loop was at work, or while this reader waited for room in the queue.
                let since = now.checked_sub(held_up.max(at_work.get())).unwrap_or(now);
                let raw = match read {
                    Ok(bytes) if !bytes.is_empty() => Raw::Bytes(id, bytes, since),
                    _ => Raw::Closed(id),
                };
                let last = matches!(raw, Raw::Closed(_));
                if last && !seen.replace(true) {
                    // What it sent before may wait long for the loop.
                    all_ended.borrow_mut().push(id);
                }
                count.set(count.get() + usize::from(!last));
                if sender.send(raw).await.is_err() || last {
                    return;
                }
                held_up = now.elapsed();
            }
        });
        let conn = Conn {
            stream,
            waiting: Vec::new(),
            blocked: None,
            dirty: false,
            queued,
            ended,
            accepted,
            _reader: reader,
            tls: tls.map(Box::new),
            plain: 0,
            revocable: VecDeque::new(),
        };
        self.conns.insert(id, conn);
        id
    }

    /// Gives bytes to a connection; they leave at the next [`Net::flush`].
    pub fn send(&mut self, conn: u64, bytes: &[u8]) {
        if let Some(state) = self.conns.get_mut(&conn) {
            match &mut state.tls {
                Some(tls) => tls.encrypt(bytes, &mut state.waiting),
                None => state.waiting.extend_from_slice(bytes),
            }
            state.plain += bytes.len();
            if !state.dirty {
                state.dirty = true;
                self.dirty.push(conn);
            }
        }
    }

    /// The same with bytes that [`Net::take_back`] may take back under a name, for as long as none of them has
    /// begun to leave. Not on TLS connections: there a record can't be left out.
    pub fn send_revocable(&mut self, conn: u64, name: u64, bytes: &[u8]) {
        if let Some(state) = self.conns.get_mut(&conn).filter(|state| state.tls.is_none()) {
            state.revocable.push_back(Revocable { name, start: state.waiting.len(), len: bytes.len() });
        }
        self.send(conn, bytes);
    }

    /// Takes the last bytes back that were given to a connection under a name. False, and nothing is changed, if
    /// there are none or some of them have left.
    pub fn take_back(&mut self, conn: u64, name: u64) -> bool {
        let Some(state) = self.conns.get_mut(&conn) else { return false };
        let Some(at) = state.revocable.iter().rposition(|part| part.name == name) else { return false };
        let Some(gone) = state.revocable.remove(at) else { return false };
        state.waiting.drain(gone.start..gone.start + gone.len);
        state.plain -= gone.len;
        for later in state.revocable.range_mut(at..) {
            later.start -= gone.len;
        }
        true
    }

    /// Writes what was given since the last time, as far as the sockets take it. Returns how many bytes of
    /// which connection were written, now or since.
    pub fn flush(&mut self) -> Vec<(u64, usize)> {
        for id in std::mem::take(&mut self.dirty) {
            self.write(id);
        }
        std::mem::take(&mut self.written)
    }

    fn write(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.dirty = false;
        if conn.blocked.is_some() || conn.waiting.is_empty() {
            return;
        }
        let mut socket = conn.stream.get_ref();
        let mut done = 0;
        let blocked = loop {
            match socket.write(&conn.waiting[done..]) {
                Ok(count) => {
                    done += count;
                    if done == conn.waiting.len() || count == 0 {
                        break false;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break true,
                // The reader meets the same failure and tells of it.
                Err(_) => {
                    done = conn.waiting.len();
                    break false;
                }
            }
        };
        conn.waiting.drain(..done);
        conn.revocable.retain_mut(|part| {
            let waits = part.start >= done;
            part.start = part.start.saturating_sub(done);
            waits
        });
        if conn.waiting.is_empty() && conn.waiting.capacity() > READ {
            conn.waiting = Vec::new();
        }
        // What was given is counted, not what it became on the wire.
        let plain = if conn.waiting.is_empty() { conn.plain } else { done.min(conn.plain) };
        conn.plain -= plain;
        if plain > 0 {
            self.written.push((id, plain));
        }
        if blocked {
            let (stream, sender) = (conn.stream.clone(), self.sender.clone());
            conn.blocked = Some(self.executor.spawn(async move {
                let _ = stream.writable().await;
                let _ = sender.send(Raw::Writable(id)).await;
            }));
        }
    }

    /// Closes a connection after what was given for it is written, or two seconds have passed. It is not
    /// heard of again.
    pub fn close(&mut self, conn: u64) {
        if let Some(state) = self.conns.get_mut(&conn) {
            if let Some(tls) = &mut state.tls {
                tls.close(&mut state.waiting);
            }
        }
        self.write(conn);
        self.handshakes.remove(&conn);
        let Some(state) = self.forget(conn) else { return };
        // Closing with input unread resets, and a reset can overtake what the other side has not got yet.
        let unread = matches!(state.stream.get_ref().peek(&mut [0]), Ok(count) if count > 0);
        if state.waiting.is_empty() && !unread {
            let _ = state.stream.get_ref().shutdown(Shutdown::Both);
            return;
        }
        self.linger(state);
    }

    /// Closes a connection so that what was given for it is read, although the other side may go on sending:
    /// writes, ends the own half, and reads and drops what comes for a bounded while. It is not heard of again.
    pub fn hang_up(&mut self, conn: u64) {
        if self.conns.get(&conn).is_none_or(|state| state.tls.is_some()) {
            return self.close(conn);
        }
        self.write(conn);
        if let Some(state) = self.forget(conn) {
            self.linger(state);
        }
    }

    /// Lets a connection write and drop for a bounded while, if not too many do already.
    fn linger(&mut self, state: Conn) {
        self.lingering.retain(|task| !task.is_finished());
        if self.lingering.len() >= self.bounds.hung_up {
            let _ = state.stream.get_ref().shutdown(Shutdown::Both);
            return;
        }
        let task = self.leave(state, LINGER, LINGER);
        self.lingering.push(task);
    }

    /// Writes what waits for a connection for at most the first time and ends the own half; reads and drops what
    /// comes meanwhile, and for at most the second time after it, until the other side ends its half too.
    fn leave(&self, state: Conn, write: Duration, drop: Duration) -> Task<()> {
        let (stream, waiting) = (state.stream, state.waiting);
        let buffer = self.buffer.clone();
        self.executor.spawn(async move {
            let written = async {
                let mut done = 0;
                while done < waiting.len() {
                    match stream.write_with(|mut socket| socket.write(&waiting[done..])).await {
                        Ok(count) if count > 0 => done += count,
                        _ => return,
                    }
                }
            };
            let read = async {
                let mut dropped = 0;
                while dropped < DRAIN {
                    match stream.read_with(|mut socket| socket.read(&mut buffer.borrow_mut())).await {
                        Ok(count) if count > 0 => dropped += count,
                        _ => return,
                    }
                    // Whoever sends at full speed must not keep the others from their turn.
                    future::yield_now().await;
                }
            };
            let mut read = pin!(read);
            // The other side's end is no reason to stop writing: it may still read.
            let over = Cell::new(false);
            let beside = async {
                read.as_mut().await;
                over.set(true);
                future::pending().await
            };
            written.or(after(write)).or(beside).await;
            let _ = stream.get_ref().shutdown(Shutdown::Write);
            if !over.get() {
                read.or(after(drop)).await;
            }
        })
    }

    /// Closes a connection at once with a reset, as a process that was killed would.
    pub fn abort(&mut self, conn: u64) {
        if let Some(state) = self.forget(conn) {
            let _ = state.stream.get_ref().shutdown(Shutdown::Both);
        }
    }

    /// A connection is no longer the loop's.
    fn forget(&mut self, conn: u64) -> Option<Conn> {
        let state = self.conns.remove(&conn)?;
        if state.ended.get() {
            self.ended.borrow_mut().retain(|ended| *ended != conn);
        }
        Some(state)
    }

    /// The connection of which [`Event::Closed`] was given last: its other side may have ended only its own half,
    /// and still read what was given for it since.
    fn forget_closed(&mut self) {
        let Some(conn) = self.closed.take() else { return };
        self.write(conn);
        if let Some(state) = self.forget(conn) {
            if !state.waiting.is_empty() {
                self.linger(state);
            }
        }
    }

    /// Connections whose other side was seen to end its half, or that broke, since the last time this was asked:
    /// each once, before its [`Event::Closed`]. Bytes that it sent before may still come. Whoever asks does so
    /// before each event and each timer, so that nothing is begun for whom the system knows to have left.
    pub fn take_ended(&mut self) -> Vec<u64> {
        std::mem::take(&mut *self.ended.borrow_mut())
    }

    /// Ends all connections, in order: what was given for them is written for at most the first time and the own
    /// half ended; of those that were accepted, what comes is read and dropped meanwhile, and for at most the second
    /// time after it, until the other side ends its half too. A reset that overtakes what was written is thereby
    /// kept from whoever reads. Nothing is listened to, dialled or told of any more.
    pub async fn end(&mut self, write: Duration, drop: Duration) {
        self.listeners.clear();
        self.dials.clear();
        for state in self.conns.values_mut() {
            if let Some(tls) = &mut state.tls {
                tls.close(&mut state.waiting);
            }
        }
        self.flush();
        let states: Vec<Conn> = self.conns.drain().map(|(_, state)| state).collect();
        for state in states {
            if state.accepted || !state.waiting.is_empty() {
                let drop = if state.accepted { drop } else { Duration::ZERO };
                let task = self.leave(state, write, drop);
                self.lingering.push(task);
            }
        }
        for task in std::mem::take(&mut self.lingering) {
            task.await;
        }
    }

    /// Whether bytes wait on a connection that the loop was not given yet.
    pub fn has_input(&self, conn: u64) -> bool {
        let Some(state) = self.conns.get(&conn) else { return false };
        state.queued.get() > 0 || matches!(state.stream.get_ref().peek(&mut [0]), Ok(count) if count > 0)
    }

    /// How many bytes wait to be written on a connection.
    pub fn waiting(&self, conn: u64) -> usize {
        self.conns.get(&conn).map_or(0, |conn| conn.waiting.len())
    }

    fn handshake(&mut self, stream: Async<TcpStream>, session: Session, origin: Origin, time: Duration) {
        let conn = self.add(stream, Some(session), matches!(origin, Origin::Accepted(_)));
        self.handshakes.insert(conn, origin);
        let sender = self.sender.clone();
        self.executor
            .spawn(async move {
                Timer::after(time).await;
                let _ = sender.send(Raw::Late(conn)).await;
            })
            .detach();
        self.flush_tls(conn);
    }

    /// What the session has to say goes out at once.
    fn flush_tls(&mut self, conn: u64) {
        if let Some(state) = self.conns.get_mut(&conn) {
            if let Some(tls) = &mut state.tls {
                tls.take_output(&mut state.waiting);
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

    /// Bytes of a TLS connection: the handshake goes on, or what they hold is told.
    fn decrypt(&mut self, conn: u64, bytes: &[u8]) -> Option<Event<M>> {
        let state = self.conns.get_mut(&conn)?;
        let tls = state.tls.as_mut()?;
        let result = tls.decrypt(bytes);
        let open = !tls.is_handshaking();
        let proof = tls.is_proof();
        self.flush_tls(conn);
        if open && proof {
            // The handshake was all that was wanted.
            self.close(conn);
            return None;
        }
        match result {
            Ok(plain) => {
                if open {
                    if let Some(origin) = self.handshakes.remove(&conn) {
                        self.ready.push_back(match origin {
                            Origin::Accepted(tag) => Event::Accepted { tag, conn },
                            Origin::Dialled(tag) => Event::Dialled { tag, conn },
                        });
                    }
                }
                if !plain.is_empty() {
                    self.ready.push_back(Event::Bytes { conn, bytes: plain });
                }
                self.ready.pop_front()
            }
            Err(_) if self.handshakes.contains_key(&conn) => self.handshake_failed(conn),
            Err(_) => {
                self.close(conn);
                Some(Event::Closed { conn })
            }
        }
    }

    fn event(&mut self, raw: Raw<M>) -> Option<Event<M>> {
        self.forget_closed();
        Some(match raw {
            Raw::Accepted(tag, stream, places) => {
                let _ = places.try_recv();
                let Some(tls) = self.listener_tls.get(&tag) else {
                    return Some(Event::Accepted { tag, conn: self.add(stream, None, true) });
                };
                if self.handshakes.len() >= tls.most {
                    return None;
                }
                let (session, time) = (Session::server(tls.config.clone(), tls.proof.clone()), tls.time);
                self.handshake(stream, session, Origin::Accepted(tag), time);
                return None;
            }
            Raw::Late(conn) => {
                if !self.handshakes.contains_key(&conn) {
                    return None;
                }
                return self.handshake_failed(conn);
            }
            Raw::Dialled(tag, id, result) => {
                if self.dials.get(&tag).is_none_or(|(current, _)| *current != id) {
                    return None;
                }
                self.dials.remove(&tag);
                match result {
                    Ok(stream) => {
                        let Some((name, config, time)) = self.dial_tls.remove(&tag) else {
                            return Some(Event::Dialled { tag, conn: self.add(stream, None, false) });
                        };
                        let Ok(session) = Session::client(config, name) else {
                            return Some(Event::DialFailed { tag, refused: false, local: false });
                        };
                        self.handshake(stream, session, Origin::Dialled(tag), time);
                        return None;
                    }
                    Err(error) => {
                        let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                        Event::DialFailed { tag, refused, local: is_local(&error) }
                    }
                }
            }
            Raw::Bytes(conn, bytes, since) => {
                self.since = since;
                let state = self.conns.get(&conn)?;
                state.queued.set(state.queued.get().saturating_sub(1));
                // Its end may have come while this piece waited.
                if !state.ended.get() && has_ended(state.stream.get_ref()) {
                    state.ended.set(true);
                    self.ended.borrow_mut().push(conn);
                }
                if state.tls.is_some() {
                    return self.decrypt(conn, &bytes);
                }
                Event::Bytes { conn, bytes }
            }
            Raw::Closed(conn) => {
                if self.handshakes.contains_key(&conn) {
                    return self.handshake_failed(conn);
                }
                self.conns.get(&conn)?;
                self.closed = Some(conn);
                Event::Closed { conn }
            }
            Raw::Writable(conn) => {
                if let Some(state) = self.conns.get_mut(&conn) {
                    state.blocked = None;
                }
                self.write(conn);
                return None;
            }
            Raw::Message(message) => Event::Message(message),
        })
    }

    /// Since when the bytes that were given last have waited to be read and taken, at the earliest. While the loop
    /// keeps up that is a moment ago; bytes that came during a long turn count from its beginning.
    pub fn waited_since(&self) -> Instant {
        self.since
    }

    /// The next event; `None` when the moment has come first, or when only writing went on.
    pub async fn next(&mut self, until: Option<Instant>) -> Option<Event<M>> {
        self.forget_closed();
        if let Some(event) = self.ready.pop_front() {
            return Some(event);
        }
        let behind = until.is_some_and(|until| until <= Instant::now());
        // Otherwise what waits is given at once, and the loop goes on without its readers.
        let turn = behind || self.events.is_empty();
        if turn {
            self.at_work.set(self.woke.elapsed());
        }
        let raw = match until {
            _ if behind => {
                // A loop that is behind must not keep its own readers from their turn: a turn for those that are
                // due, and one for those that the look at the sockets between the two finds due.
                future::yield_now().await;
                future::yield_now().await;
                self.events.try_recv().ok()
            }
            Some(until) => {
                let timer = async {
                    Timer::at(until).await;
                    // Readers that the same look at the sockets found due come first.
                    future::yield_now().await;
                    self.events.try_recv().ok()
                };
                async { self.events.recv().await.ok() }.or(timer).await
            }
            None => self.events.recv().await.ok(),
        };
        if turn {
            self.woke = Instant::now();
        }
        self.event(raw?)
    }

    /// Looks at every socket afresh: once this returns, tasks whose sockets had something when it was called are
    /// due, and [`Net::ready`] gives what they read.
    pub async fn look(&mut self) {
        // A timer fires from a turn of the reactor that begins after its moment, and that turn looks at all
        // sockets before it wakes anybody.
        Timer::after(LOOK).await;
    }

    /// An event that is there, with a turn for every task that is due before the answer is no.
    pub async fn ready(&mut self) -> Option<Event<M>> {
        for _ in 0..TURNS {
            if let Some(event) = self.try_next() {
                return Some(event);
            }
            future::yield_now().await;
        }
        self.try_next()
    }

    /// An event that is there already.
    pub fn try_next(&mut self) -> Option<Event<M>> {
        self.forget_closed();
        if let Some(event) = self.ready.pop_front() {
            return Some(event);
        }
        while let Ok(raw) = self.events.try_recv() {
            if let Some(event) = self.event(raw) {
                return Some(event);
            }
        }
        None
    }
}

/// Whether a dial failed for want of something on this side.
fn is_local(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let wants = [Errno::MFILE, Errno::NFILE, Errno::ADDRNOTAVAIL, Errno::NOBUFS, Errno::NOMEM];
    error.raw_os_error().is_some_and(|code| wants.iter().any(|want| want.raw_os_error() == code))
}

/// Whether the other side has ended its half and nothing lies unread before that, or the connection broke.
fn has_ended(socket: &TcpStream) -> bool {
    match socket.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
    }
}

async fn after(time: Duration) {
    Timer::after(time).await;
}
