//! The stage's end of the numbered points: `lemoncleat_faults` describes the lines.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use lemoncleat_faults::{find, Fault, Point, STAGE_VARIABLE};

use super::{late, Cut, Links, Process, Trouble, LIMIT};

/// Longest line taken from a process.
const LONGEST: u64 = 64 * 1024;
/// Points reached that may wait to be looked at; a process armed more often than that is not heard.
const QUEUE: usize = 1_024;

/// A process that stands at a point, or whose operation fails there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reached {
    /// Where.
    pub point: &'static Point,
    /// What it was armed with. With [`Fault::Error`] it has already gone on.
    pub fault: Fault,
}

#[derive(Default)]
struct Seen {
    line: Option<TcpStream>,
    /// `armed ...` or `unknown ...`, in the order of the orders.
    answers: VecDeque<String>,
    reached: VecDeque<Reached>,
    passes: VecDeque<BTreeMap<String, u64>>,
    gone: bool,
}

#[derive(Default)]
struct Shared {
    seen: Mutex<BTreeMap<u32, Seen>>,
    change: Condvar,
    stopped: AtomicBool,
    /// Processes that report are kept from starting.
    holds: AtomicBool,
}

/// Where processes with numbered points report. A process finds it by [`Points::variable`].
pub struct Points {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Points {
    /// Listens.
    ///
    /// # Errors
    ///
    /// When no socket or thread is to be had.
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
                    // Without a thread the process is not heard, and whoever waits for it says so.
                    let _ = std::thread::Builder::new()
                        .name("points".to_owned())
                        .spawn(move || shared.attend(stream));
                }
            }
        })?;
        Ok(Points { address, shared, thread: Some(thread) })
    }

    /// What a process needs in its environment to report here.
    pub fn variable(&self) -> (String, String) {
        (STAGE_VARIABLE.to_owned(), self.address.to_string())
    }

    /// Whether processes that report from now on wait until [`Points::go`] lets them start, for points that are
    /// passed at a start.
    pub fn hold_starts(&self, holds: bool) {
        self.shared.holds.store(holds, Ordering::SeqCst);
    }

    /// The pass of the point after `skip` further ones meets the fault.
    ///
    /// # Errors
    ///
    /// When the process doesn't know the point, is not there, or on [`LIMIT`].
    pub fn arm(&self, process: &Process, point: &Point, skip: u32, fault: Fault) -> io::Result<()> {
        let id = id(process)?;
        self.say(id, &format!("arm {} {skip} {}", point.name, fault.name()))?;
        let answer = self.wait(id, "an answer to arm", |seen| seen.answers.pop_front())?;
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
    /// When it ended before, or on [`LIMIT`].
    pub fn wait_reached(&self, process: &Process) -> io::Result<Reached> {
        self.wait(id(process)?, "an armed point", |seen| seen.reached.pop_front())
    }

    /// An armed point that the process has reached, without waiting.
    pub fn reached(&self, process: &Process) -> Option<Reached> {
        self.shared.lock().get_mut(&process.id()?)?.reached.pop_front()
    }

    /// Lets the process go on from a point, or start.
    ///
    /// # Errors
    ///
    /// When it is not there.
    pub fn go(&self, process: &Process) -> io::Result<()> {
        self.say(id(process)?, "go")
    }

    /// How often the process has passed each point, by name.
    ///
    /// # Errors
    ///
    /// When it is not there, or on [`LIMIT`].
    pub fn passes(&self, process: &Process) -> io::Result<BTreeMap<String, u64>> {
        let id = id(process)?;
        self.say(id, "passes")?;
        self.wait(id, "passes", |seen| seen.passes.pop_front())
    }

    fn say(&self, id: u32, order: &str) -> io::Result<()> {
        let mut line =
            self.wait(id, "a process to report", |seen| seen.line.as_ref().map(TcpStream::try_clone))??;
        writeln!(line, "{order}")
    }

    fn wait<R>(&self, id: u32, what: &str, mut take: impl FnMut(&mut Seen) -> Option<R>) -> io::Result<R> {
        let mut taken = None;
        let (mut all, _) = self
            .shared
            .change
            .wait_timeout_while(self.shared.lock(), LIMIT, |all| {
                let seen = all.entry(id).or_default();
                taken = take(seen);
                taken.is_none() && !seen.gone
            })
            .unwrap_or_else(PoisonError::into_inner);
        let gone = all.entry(id).or_default().gone;
        taken.ok_or_else(|| match gone {
            true => io::Error::new(io::ErrorKind::UnexpectedEof, format!("{what}: the process ended")),
            false => late(what),
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
        // A process that loses its stage goes on; its thread here ends with it.
        for seen in self.shared.lock().values() {
            if let Some(line) = &seen.line {
                let _ = line.shutdown(std::net::Shutdown::Both);
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u32, Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn attend(&self, stream: TcpStream) {
        let Ok(mut lines) = stream.try_clone().map(BufReader::new) else { return };
        let mut stream = Some(stream);
        let mut id = None;
        loop {
            let mut line = String::new();
            if !matches!((&mut lines).take(LONGEST).read_line(&mut line), Ok(1..)) {
                break;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let mut all = self.lock();
            if let ["here", number] = words[..] {
                id = number.parse::<u32>().ok();
                if let (Some(line), false) = (&mut stream, self.holds.load(Ordering::SeqCst)) {
                    // One that is gone already is noticed by the next read.
                    let _ = writeln!(line, "go");
                }
                if let Some(id) = id {
                    // A number may come again with another process.
                    all.insert(id, Seen { line: stream.take(), ..Seen::default() });
                }
            }
            let Some(seen) = id.and_then(|id| all.get_mut(&id)) else { continue };
            match words[..] {
                ["armed" | "unknown", ..] if seen.answers.len() < QUEUE => {
                    seen.answers.push_back(words.join(" "));
                }
                ["reached", point, fault] if seen.reached.len() < QUEUE => {
                    if let Some((point, fault)) = find(point).zip(Fault::of_name(fault)) {
                        seen.reached.push_back(Reached { point, fault });
                    }
                }
                ["passes", ref counts @ ..] if seen.passes.len() < QUEUE => {
                    let count = |word: &&str| {
                        let (name, count) = word.split_once('=')?;
                        Some((name.to_owned(), count.parse().ok()?))
                    };
                    seen.passes.push_back(counts.iter().filter_map(count).collect());
                }
                _ => {}
            }
            self.change.notify_all();
        }
        let mut all = self.lock();
        if let Some(seen) = id.and_then(|id| all.get_mut(&id)) {
            seen.gone = true;
        }
        self.change.notify_all();
    }
}

fn id(process: &Process) -> io::Result<u32> {
    process
        .id()
        .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, format!("{} does not run", process.name())))
}

/// Does to a process that stands at a point what the fault is, and returns when it is over. How long it lasts is
/// `meanwhile`: a [`span`], or a wait for what the others are to notice.
///
/// | fault | course |
/// | --- | --- |
/// | kill | ended by SIGKILL at the point, then `meanwhile`; whether it starts again is the scenario's |
/// | error | nothing more: its operation has failed already |
/// | pause | all its threads stopped during `meanwhile`, then let go on from the point |
/// | cut, cut-out, cut-in | links cut, let go on from the point, healed after `meanwhile` |
///
/// A cut is to `others`, or to everybody when that is empty. Bytes come [late](Cut::Late) after it: words that
/// arrive when all has changed are harder than lost ones.
///
/// # Errors
///
/// When the process is gone, the relay ended, or `meanwhile` fails; the process goes on and links are healed.
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

/// A fault's length, for [`carry_out`].
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
