//! Server for the fault points of processes. `lemoncleat_faults` describes the line protocol.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use lemoncleat_faults::{find, Fault, Point, STAGE_VARIABLE};

use super::{timed_out, Cut, Links, Process, Trouble, LIMIT};

/// Maximum length of a line from a process.
const MAX_LINE_BYTES: u64 = 64 * 1024;
/// Maximum number of unread reports of each kind per process; further ones are discarded.
const MAX_UNREAD_REPORTS: usize = 1_024;

/// Report that a process has reached an armed point, where it waits or its operation fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reached {
    /// Point that was reached.
    pub point: &'static Point,
    /// Fault with which the point was armed. With [`Fault::Error`] the process has already continued.
    pub fault: Fault,
}

#[derive(Default)]
struct Connection {
    line: Option<TcpStream>,
    /// Answers `armed ...` and `unknown ...`, in the order of the requests.
    answers: VecDeque<String>,
    reached: VecDeque<Reached>,
    passes: VecDeque<BTreeMap<String, u64>>,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    connections: Mutex<BTreeMap<u32, Connection>>,
    change: Condvar,
    stopped: AtomicBool,
    /// Set while processes that connect are kept from starting.
    hold: AtomicBool,
}

/// Server to which processes with fault points report. A process finds it through [`Points::variable`].
pub struct Points {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Points {
    /// Starts listening on a local port.
    ///
    /// # Errors
    ///
    /// Fails when no socket or thread is available.
    pub fn listen() -> io::Result<Points> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::<Shared>::default();
        let thread = std::thread::Builder::new().name("points".to_owned()).spawn({
            let shared = shared.clone();
            move || {
                for stream in listener.incoming() {
                    if shared.stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let Ok(stream) = stream else { continue };
                    let shared = shared.clone();
                    // Without a thread the process is not served, and a wait for it times out.
                    let _ = std::thread::Builder::new()
                        .name("points".to_owned())
                        .spawn(move || shared.serve(stream));
                }
            }
        })?;
        Ok(Points { address, shared, thread: Some(thread) })
    }

    /// Returns the environment variable that makes a process report here.
    pub fn variable(&self) -> (String, String) {
        (STAGE_VARIABLE.to_owned(), self.address.to_string())
    }

    /// Sets whether processes that connect from now on wait at their start until [`Points::go`]. This allows
    /// points that are passed during start-up to be armed.
    pub fn hold_starts(&self, hold: bool) {
        self.shared.hold.store(hold, Ordering::SeqCst);
    }

    /// Arms a point: `skip` further passes are unaffected and the next one triggers the fault.
    ///
    /// # Errors
    ///
    /// Fails when the process does not know the point or is not connected, or after [`LIMIT`].
    pub fn arm(&self, process: &Process, point: &Point, skip: u32, fault: Fault) -> io::Result<()> {
        let id = process_id(process)?;
        self.send(id, &format!("arm {} {skip} {}", point.name, fault.name()))?;
        let answer = self.wait(id, "an answer to arm", |connection| connection.answers.pop_front())?;
        if answer == format!("armed {}", point.name) {
            Ok(())
        } else {
            Err(io::Error::other(format!("{}: {answer}", process.name())))
        }
    }

    /// Waits until the process reaches an armed point.
    ///
    /// # Errors
    ///
    /// Fails when the process ends before, or after [`LIMIT`].
    pub fn wait_reached(&self, process: &Process) -> io::Result<Reached> {
        self.wait(process_id(process)?, "an armed point", |connection| connection.reached.pop_front())
    }

    /// Returns an armed point that the process has reached, without waiting.
    pub fn reached(&self, process: &Process) -> Option<Reached> {
        self.shared.lock().get_mut(&process.id()?)?.reached.pop_front()
    }

    /// Lets the process continue from a point, or start.
    ///
    /// # Errors
    ///
    /// Fails when the process is not connected.
    pub fn go(&self, process: &Process) -> io::Result<()> {
        self.send(process_id(process)?, "go")
    }

    /// Returns how often the process has passed each point, by name.
    ///
    /// # Errors
    ///
    /// Fails when the process is not connected, or after [`LIMIT`].
    pub fn passes(&self, process: &Process) -> io::Result<BTreeMap<String, u64>> {
        let id = process_id(process)?;
        self.send(id, "passes")?;
        self.wait(id, "passes", |connection| connection.passes.pop_front())
    }

    fn send(&self, id: u32, order: &str) -> io::Result<()> {
        let mut line = self.wait(id, "a process to report", |connection| {
            connection.line.as_ref().map(TcpStream::try_clone)
        })??;
        writeln!(line, "{order}")
    }

    fn wait<R>(
        &self,
        id: u32,
        what: &str,
        mut take: impl FnMut(&mut Connection) -> Option<R>,
    ) -> io::Result<R> {
        let mut taken = None;
        let (mut all, _) = self
            .shared
            .change
            .wait_timeout_while(self.shared.lock(), LIMIT, |all| {
                let connection = all.entry(id).or_default();
                taken = take(connection);
                taken.is_none() && !connection.closed
            })
            .unwrap_or_else(PoisonError::into_inner);
        let closed = all.entry(id).or_default().closed;
        taken.ok_or_else(|| match closed {
            true => io::Error::new(io::ErrorKind::UnexpectedEof, format!("{what}: the process ended")),
            false => timed_out(what),
        })
    }
}

impl Drop for Points {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        let woken = TcpStream::connect(self.address).is_ok();
        if let Some(thread) = self.thread.take().filter(|_| woken) {
            let _ = thread.join();
        }
        // A process that loses this connection continues; the thread that served it ends.
        for connection in self.shared.lock().values() {
            if let Some(line) = &connection.line {
                let _ = line.shutdown(std::net::Shutdown::Both);
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u32, Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut lines) = stream.try_clone().map(BufReader::new) else { return };
        let mut stream = Some(stream);
        let mut id = None;
        loop {
            let mut line = String::new();
            if !matches!((&mut lines).take(MAX_LINE_BYTES).read_line(&mut line), Ok(1..)) {
                break;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let mut all = self.lock();
            if let ["here", number] = words[..] {
                id = number.parse::<u32>().ok();
                if let (Some(line), false) = (&mut stream, self.hold.load(Ordering::SeqCst)) {
                    // If the connection is already closed, the next read reports it.
                    let _ = writeln!(line, "go");
                }
                if let Some(id) = id {
                    // Replaces the entry of an earlier process with the same process id.
                    all.insert(id, Connection { line: stream.take(), ..Connection::default() });
                }
            }
            let Some(connection) = id.and_then(|id| all.get_mut(&id)) else { continue };
            match words[..] {
                ["armed" | "unknown", ..] if connection.answers.len() < MAX_UNREAD_REPORTS => {
                    connection.answers.push_back(words.join(" "));
                }
                ["reached", point, fault] if connection.reached.len() < MAX_UNREAD_REPORTS => {
                    if let Some((point, fault)) = find(point).zip(Fault::of_name(fault)) {
                        connection.reached.push_back(Reached { point, fault });
                    }
                }
                ["passes", ref counts @ ..] if connection.passes.len() < MAX_UNREAD_REPORTS => {
                    let count = |word: &&str| {
                        let (name, count) = word.split_once('=')?;
                        Some((name.to_owned(), count.parse().ok()?))
                    };
                    connection.passes.push_back(counts.iter().filter_map(count).collect());
                }
                _ => {}
            }
            self.change.notify_all();
        }
        let mut all = self.lock();
        if let Some(connection) = id.and_then(|id| all.get_mut(&id)) {
            connection.closed = true;
        }
        self.change.notify_all();
    }
}

fn process_id(process: &Process) -> io::Result<u32> {
    process
        .id()
        .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, format!("{} does not run", process.name())))
}

/// Carries out a fault on a process that waits at a point, and returns when the fault is over. The fault
/// lasts as long as `meanwhile` runs: a [`span`], or a wait until the other processes have reacted.
///
/// | fault | effect |
/// | --- | --- |
/// | kill | killed by SIGKILL at the point, then `meanwhile`; the caller decides whether it is restarted |
/// | error | nothing more: the operation has already failed |
/// | pause | all threads are stopped during `meanwhile`, then the process continues from the point |
/// | cut, cut-out, cut-in | links are cut, the process continues, links heal after `meanwhile` |
///
/// A cut applies to the links with `others`, or with all when that is empty. Bytes are delivered
/// [late](Cut::Late) after it: outdated messages that arrive in a changed state are a harder test than lost
/// ones.
///
/// # Errors
///
/// Fails when the process or the relay has ended, or `meanwhile` fails. If the process still runs it
/// continues, and links are healed.
pub fn carry_out(
    process: &mut Process,
    fault: Fault,
    points: &Points,
    links: &Links,
    others: &[&str],
    meanwhile: impl FnOnce() -> io::Result<()>,
) -> io::Result<()> {
    match fault {
        Fault::Error => Ok(()),
        Fault::Kill => {
            process.kill()?;
            meanwhile()
        }
        Fault::Pause => {
            process.pause()?;
            let result = meanwhile();
            process.resume()?;
            points.go(process)?;
            result
        }
        Fault::Cut | Fault::CutOut | Fault::CutIn => {
            let troubles = cut(process.name(), fault, links, others)?;
            let result = points.go(process).and_then(|()| meanwhile());
            troubles.into_iter().try_for_each(|trouble| links.end(trouble))?;
            result
        }
    }
}

/// Returns a `meanwhile` for [`carry_out`] that lasts a fixed time.
pub fn span(length: Duration) -> impl FnOnce() -> io::Result<()> {
    move || {
        std::thread::sleep(length);
        Ok(())
    }
}

fn cut(name: &str, fault: Fault, links: &Links, others: &[&str]) -> io::Result<Vec<Trouble>> {
    let (out, inward) = (fault != Fault::CutIn, fault != Fault::CutOut);
    if others.is_empty() {
        return Ok(vec![links.alone(name, out, inward, Cut::Late)?]);
    }
    let mut troubles = Vec::new();
    if out {
        troubles.push(links.cut(&[name], others, Cut::Late)?);
    }
    if inward {
        troubles.push(links.cut(others, &[name], Cut::Late)?);
    }
    Ok(troubles)
}
