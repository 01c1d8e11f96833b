//! Links between named ends through the relay.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;

use mio::{Poll, Waker};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

use super::relay::{Cut, Job, Relay, Rule, Traffic, WAKE};
use super::{timed_out, LIMIT};
use crate::Micros;

/// Handle of a rule that applies to some links until it is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "it lasts until it is ended or all is healed"]
pub struct Trouble(u64);

/// All links of a test bed. One thread listens on an address for each pair of dialling and dialled end and
/// forwards connections to the dialled end's target address.
///
/// An end is a name. `n1/control` is a second port of the machine `n1`, and rules for `n1` apply to it too. A
/// rule is in force when the call that sets it returns. Rules may overlap: the longest delay applies, and
/// [`Cut::Lost`] takes precedence over [`Cut::Late`]. Delays are accurate to about a millisecond, the
/// resolution of the system's timers.
///
/// As with TCP, a cut in either direction prevents new connections: the relay accepts the dialler's
/// connection, which stays silent. The same holds while an end has no target yet.
pub struct Links {
    jobs: Sender<Job>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// Starts the relay and raises the process's descriptor limit to the hard limit: each pair needs one
    /// descriptor, each connection two.
    ///
    /// # Errors
    ///
    /// Fails when no thread or descriptor is available.
    pub fn new() -> io::Result<Links> {
        let limit = getrlimit(Resource::Nofile);
        // If the limit can't be raised, running out of descriptors is reported as an error later.
        let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (jobs, receiver) = channel::<Job>();
        let relay = Relay::new(poll);
        let thread =
            std::thread::Builder::new().name("links".to_owned()).spawn(move || relay.run(&receiver))?;
        Ok(Links { jobs, waker, thread: Some(thread) })
    }

    fn run_in_relay<R: Send + 'static>(
        &self,
        job: impl FnOnce(&mut Relay) -> R + Send + 'static,
    ) -> io::Result<R> {
        let (sender, receiver) = channel();
        let ended = || io::Error::other("the relay has ended");
        self.jobs
            .send(Box::new(move |relay| {
                let _ = sender.send(job(relay));
            }))
            .map_err(|_| ended())?;
        self.waker.wake()?;
        receiver.recv_timeout(LIMIT).map_err(|_| ended())
    }

    /// Returns the address at which `from` reaches `to`. Each pair has its own, allocated at the first
    /// request.
    ///
    /// # Errors
    ///
    /// Fails when no descriptor or port is available.
    pub fn address(&self, from: &str, to: &str) -> io::Result<SocketAddr> {
        let (from, to) = (from.to_owned(), to.to_owned());
        self.run_in_relay(move |relay| relay.address(&from, &to))?
    }

    /// Sets the address to which new connections to an end are forwarded. Established connections stay.
    ///
    /// # Errors
    ///
    /// Fails when the relay has ended.
    pub fn set_target(&self, end: &str, address: SocketAddr) -> io::Result<()> {
        let end = end.to_owned();
        self.run_in_relay(move |relay| relay.set_target(&end, address))
    }

    /// Delays bytes from `a` to `b` by a time in microseconds. They stay in order.
    ///
    /// # Errors
    ///
    /// Fails when the relay has ended.
    pub fn delay(&self, a: &[&str], b: &[&str], delay: Micros) -> io::Result<Trouble> {
        self.add_between(a, b, move |a, b| Rule::Delay(a, b, delay))
    }

    /// Holds bytes from `a` to `b` back until the rule ends: [`Cut::Late`].
    ///
    /// # Errors
    ///
    /// Fails when the relay has ended.
    pub fn hold(&self, a: &[&str], b: &[&str]) -> io::Result<Trouble> {
        self.cut(a, b, Cut::Late)
    }

    /// Cuts the direction from `a` to `b`. The reverse direction is not affected.
    ///
    /// # Errors
    ///
    /// Fails when the relay has ended.
    pub fn cut(&self, a: &[&str], b: &[&str], cut: Cut) -> io::Result<Trouble> {
        self.add_between(a, b, move |a, b| Rule::Cut(a, b, cut))
    }

    /// Resets new connections from `a` to `b` at once. Established ones stay.
    ///
    /// # Errors
    ///
    /// Fails when the relay has ended.
    pub fn refuse(&self, a: &[&str], b: &[&str]) -> io::Result<Trouble> {
        self.add_between(a, b, Rule::Refuse)
    }

    /// Cuts everything that a machine sends (`out`), everything sent to it (`inward`), or both.
    ///
    /// # Errors
    ///
    /// Fails when the relay has ended.
    pub fn alone(&self, machine: &str, out: bool, inward: bool, cut: Cut) -> io::Result<Trouble> {
        let name = machine.to_owned();
        self.run_in_relay(move |relay| {
            let machine = relay.machine(&name);
            Trouble(relay.add(Rule::Alone { machine, out, inward, cut }))
        })
    }

    /// Cuts all traffic between ends of different groups. Ends that are in no group reach all others.
    ///
    /// # Errors
    ///
    /// Fails when the relay has ended.
    pub fn partition(&self, groups: &[&[&str]], cut: Cut) -> io::Result<Trouble> {
        let groups: Vec<Vec<String>> = groups.iter().map(|group| to_strings(group)).collect();
        self.run_in_relay(move |relay| {
            let groups = groups.iter().map(|group| machines(relay, group)).collect();
            Trouble(relay.add(Rule::Partition(groups, cut)))
        })
    }

    /// Ends a rule.
    ///
    /// # Errors
    ///
    /// Fails when the relay has ended.
    pub fn end(&self, trouble: Trouble) -> io::Result<()> {
        self.run_in_relay(move |relay| relay.end(trouble.0))
    }

    /// Ends all rules except delays, which are a property of the links and not a fault.
    ///
    /// # Errors
    ///
    /// Fails when the relay has ended.
    pub fn heal(&self) -> io::Result<()> {
        self.run_in_relay(Relay::heal)
    }

    /// Resets all connections between `a` and `b`, whichever side opened them and whether cut or not. Returns
    /// their number.
    ///
    /// # Errors
    ///
    /// Fails when the relay has ended.
    pub fn reset(&self, a: &[&str], b: &[&str]) -> io::Result<u64> {
        let (a, b) = (to_strings(a), to_strings(b));
        self.run_in_relay(move |relay| {
            let (a, b) = (machines(relay, &a), machines(relay, &b));
            relay.reset(&a, &b)
        })
    }

    /// Returns the traffic counters of the direction from one machine to another.
    ///
    /// # Errors
    ///
    /// Fails when the relay has ended.
    pub fn traffic(&self, from: &str, to: &str) -> io::Result<Traffic> {
        let (from, to) = (from.to_owned(), to.to_owned());
        self.run_in_relay(move |relay| relay.traffic(&from, &to))
    }

    /// Waits until the traffic from one machine to another satisfies a condition.
    ///
    /// # Errors
    ///
    /// Fails when the condition is not met within [`LIMIT`].
    pub fn wait(
        &self,
        from: &str,
        to: &str,
        mut condition: impl FnMut(&Traffic) -> bool + Send + 'static,
    ) -> io::Result<()> {
        let what = format!("traffic from {from} to {to}");
        let (from, to) = (from.to_owned(), to.to_owned());
        let (sender, receiver) = channel();
        self.run_in_relay(move |relay| {
            relay.wait(Box::new(move |relay| condition(&relay.traffic(&from, &to))), sender);
        })?;
        receiver.recv_timeout(LIMIT).map_err(|_| timed_out(&what))
    }

    fn add_between(
        &self,
        a: &[&str],
        b: &[&str],
        rule: impl FnOnce(Vec<usize>, Vec<usize>) -> Rule + Send + 'static,
    ) -> io::Result<Trouble> {
        let (a, b) = (to_strings(a), to_strings(b));
        self.run_in_relay(move |relay| {
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

fn to_strings(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn machines(relay: &mut Relay, names: &[String]) -> Vec<usize> {
    names.iter().map(|name| relay.machine(name)).collect()
}
