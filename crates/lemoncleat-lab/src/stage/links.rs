//! Links between named ends, through the laboratory's relay.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;

use mio::{Poll, Waker};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

use super::relay::{Cut, Job, Relay, Rule, Traffic, WAKE};
use super::{late, LIMIT};
use crate::Micros;

/// Something that is set for some links until it is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "it lasts until it is ended or all is healed"]
pub struct Trouble(u64);

/// All links of a stage: one thread that listens for each pair (who dials, whom) and forwards to where the end
/// really is.
///
/// An end is a name. `n1/control` is a second port of the machine `n1`: whatever is set for `n1` holds for it too.
/// Orders are in force when the call returns, and may overlap: the longest delay counts, and [`Cut::Lost`] more
/// than [`Cut::Late`]. Delays are kept to about a millisecond, that of the system's timers.
///
/// As with TCP, a cut in either direction keeps new connections from being opened: the dialler's is accepted by
/// the relay and stays silent. So it is while an end has no target yet.
pub struct Links {
    jobs: Sender<Job>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// Starts the relay, and raises the process's limit of descriptors as far as it may: each pair costs one, each
    /// connection two.
    ///
    /// # Errors
    ///
    /// When no thread or descriptor is to be had.
    pub fn new() -> io::Result<Links> {
        let limit = getrlimit(Resource::Nofile);
        // What can't be raised is met as an error where descriptors run out.
        let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (jobs, receiver) = channel::<Job>();
        let relay = Relay::new(poll);
        let thread =
            std::thread::Builder::new().name("links".to_owned()).spawn(move || relay.run(&receiver))?;
        Ok(Links { jobs, waker, thread: Some(thread) })
    }

    fn with<R: Send + 'static>(&self, job: impl FnOnce(&mut Relay) -> R + Send + 'static) -> io::Result<R> {
        let (sender, receiver) = channel();
        let gone = || io::Error::other("the relay has ended");
        self.jobs
            .send(Box::new(move |relay| {
                let _ = sender.send(job(relay));
            }))
            .map_err(|_| gone())?;
        self.waker.wake()?;
        receiver.recv_timeout(LIMIT).map_err(|_| gone())
    }

    /// The address at which `from` reaches `to`. Each pair has its own, allocated when it is first asked for.
    ///
    /// # Errors
    ///
    /// When no descriptor or port is left.
    pub fn address(&self, from: &str, to: &str) -> io::Result<SocketAddr> {
        let (from, to) = (from.to_owned(), to.to_owned());
        self.with(move |relay| relay.address(&from, &to))?
    }

    /// Where the end really is, from now on. Standing connections stay.
    ///
    /// # Errors
    ///
    /// When the relay has ended, as for all orders below.
    pub fn set_target(&self, end: &str, address: SocketAddr) -> io::Result<()> {
        let end = end.to_owned();
        self.with(move |relay| relay.set_target(&end, address))
    }

    /// Bytes from `a` to `b` arrive this much later, in order.
    ///
    /// # Errors
    ///
    /// When the relay has ended.
    pub fn delay(&self, a: &[&str], b: &[&str], delay: Micros) -> io::Result<Trouble> {
        self.between(a, b, move |a, b| Rule::Delay(a, b, delay))
    }

    /// Bytes from `a` to `b` wait: [`Cut::Late`].
    ///
    /// # Errors
    ///
    /// When the relay has ended.
    pub fn hold(&self, a: &[&str], b: &[&str]) -> io::Result<Trouble> {
        self.cut(a, b, Cut::Late)
    }

    /// Nothing from `a` arrives at `b`, while the way back stays as it is.
    ///
    /// # Errors
    ///
    /// When the relay has ended.
    pub fn cut(&self, a: &[&str], b: &[&str], cut: Cut) -> io::Result<Trouble> {
        self.between(a, b, move |a, b| Rule::Cut(a, b, cut))
    }

    /// New connections from `a` to `b` are reset at once. Standing ones stay.
    ///
    /// # Errors
    ///
    /// When the relay has ended.
    pub fn refuse(&self, a: &[&str], b: &[&str]) -> io::Result<Trouble> {
        self.between(a, b, Rule::Refuse)
    }

    /// Nothing that the machine sends arrives anywhere (`out`), nothing arrives at it (`inward`), or both.
    ///
    /// # Errors
    ///
    /// When the relay has ended.
    pub fn alone(&self, machine: &str, out: bool, inward: bool, cut: Cut) -> io::Result<Trouble> {
        let name = machine.to_owned();
        self.with(move |relay| {
            let machine = relay.machine(&name);
            Trouble(relay.add(Rule::Alone { machine, out, inward, cut }))
        })
    }

    /// Nothing passes between ends of different groups. Ends of no group reach all.
    ///
    /// # Errors
    ///
    /// When the relay has ended.
    pub fn partition(&self, groups: &[&[&str]], cut: Cut) -> io::Result<Trouble> {
        let groups: Vec<Vec<String>> = groups.iter().map(|group| owned(group)).collect();
        self.with(move |relay| {
            let groups = groups.iter().map(|group| machines(relay, group)).collect();
            Trouble(relay.add(Rule::Partition(groups, cut)))
        })
    }

    /// Ends what was set.
    ///
    /// # Errors
    ///
    /// When the relay has ended.
    pub fn end(&self, trouble: Trouble) -> io::Result<()> {
        self.with(move |relay| relay.end(trouble.0))
    }

    /// Ends all but delays, which belong to the links and not to a trouble.
    ///
    /// # Errors
    ///
    /// When the relay has ended.
    pub fn heal(&self) -> io::Result<()> {
        self.with(Relay::heal)
    }

    /// Resets all connections between `a` and `b`, whoever opened them, cut or not; returns how many.
    ///
    /// # Errors
    ///
    /// When the relay has ended.
    pub fn reset(&self, a: &[&str], b: &[&str]) -> io::Result<u64> {
        let (a, b) = (owned(a), owned(b));
        self.with(move |relay| {
            let (a, b) = (machines(relay, &a), machines(relay, &b));
            relay.reset(&a, &b)
        })
    }

    /// What the direction from one machine to another has carried.
    ///
    /// # Errors
    ///
    /// When the relay has ended.
    pub fn traffic(&self, from: &str, to: &str) -> io::Result<Traffic> {
        let (from, to) = (from.to_owned(), to.to_owned());
        self.with(move |relay| relay.traffic(&from, &to))
    }

    /// Waits until the traffic from one machine to another is as wanted.
    ///
    /// # Errors
    ///
    /// When it doesn't come within [`LIMIT`].
    pub fn wait(
        &self,
        from: &str,
        to: &str,
        mut wanted: impl FnMut(&Traffic) -> bool + Send + 'static,
    ) -> io::Result<()> {
        let what = format!("traffic from {from} to {to}");
        let (from, to) = (from.to_owned(), to.to_owned());
        let (sender, receiver) = channel();
        self.with(move |relay| {
            relay.wait(Box::new(move |relay| wanted(&relay.traffic(&from, &to))), sender);
        })?;
        receiver.recv_timeout(LIMIT).map_err(|_| late(&what))
    }

    fn between(
        &self,
        a: &[&str],
        b: &[&str],
        rule: impl FnOnce(Vec<usize>, Vec<usize>) -> Rule + Send + 'static,
    ) -> io::Result<Trouble> {
        let (a, b) = (owned(a), owned(b));
        self.with(move |relay| {
            let (a, b) = (machines(relay, &a), machines(relay, &b));
            Trouble(relay.add(rule(a, b)))
        })
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        let _ = self.jobs.send(Box::new(|relay| relay.stop = true));
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn machines(relay: &mut Relay, names: &[String]) -> Vec<usize> {
    names.iter().map(|name| relay.machine(name)).collect()
}
