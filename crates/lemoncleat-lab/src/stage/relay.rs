//! Relay thread of [`Links`](super::Links): listeners, connections, and the rules in force per direction.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::mpsc::{Receiver, Sender};
use std::time::{Duration, Instant};

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

use crate::Micros;

/// Maximum number of bytes queued in one direction of a connection; reading stops at this limit.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Maximum number of bytes per read.
const READ_BYTES: usize = 64 * 1024;
/// Maximum number of simultaneous connections; further ones are refused.
const MAX_CONNECTIONS: usize = 32_768;
/// Number of read and write rounds for one connection before the others are served.
const ROUNDS_PER_TURN: usize = 4;
/// Delay before accepting again after a failure, such as running out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

pub(super) const WAKE: Token = Token(usize::MAX);
const LISTENER_TOKENS: usize = 1 << 60;

/// What happens to the bytes of a direction that is cut. While the cut lasts, nothing arrives and connections
/// stay open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Bytes arrive when the cut ends, late and in order.
    Late,
    /// Bytes are discarded. A connection that lost any is reset when the cut ends, as if its sender had given
    /// up.
    Lost,
}

/// Traffic counters of one direction between two machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of connections opened by the sending side.
    pub opened: u64,
    /// Number of these connections that were refused.
    pub refused: u64,
    /// Number of connections currently open, whichever side opened them.
    pub standing: u64,
    /// Number of connections reset on request, after a [`Cut::Lost`] or by an error, whichever side opened
    /// them.
    pub reset: u64,
    /// Number of bytes delivered.
    pub carried: u64,
    /// Number of bytes currently queued in the relay.
    pub waiting: u64,
    /// Number of bytes discarded.
    pub lost: u64,
}

/// A rule that applies to some directions until it is ended. Machines are identified by index.
pub(super) enum Rule {
    Delay(Vec<usize>, Vec<usize>, Micros),
    Cut(Vec<usize>, Vec<usize>, Cut),
    Refuse(Vec<usize>, Vec<usize>),
    Alone { machine: usize, out: bool, inward: bool, cut: Cut },
    Partition(Vec<Vec<usize>>, Cut),
}

/// Combined effect of all rules on one direction.
#[derive(Clone, Copy, Default)]
struct Effect {
    delay: Duration,
    cut: Option<Cut>,
    refuse: bool,
}

impl Rule {
    fn add_to(&self, effect: &mut Effect, from: usize, to: usize) {
        let between = |a: &[usize], b: &[usize]| a.contains(&from) && b.contains(&to);
        let cut = match self {
            Rule::Delay(a, b, delay) => {
                if between(a, b) {
                    effect.delay =
                        effect.delay.max(Duration::from_micros(u64::try_from(*delay).unwrap_or(0)));
                }
                None
            }
            Rule::Refuse(a, b) => {
                effect.refuse |= between(a, b);
                None
            }
            Rule::Cut(a, b, cut) => between(a, b).then_some(*cut),
            Rule::Alone { machine, out, inward, cut } => {
                ((*out && from == *machine) || (*inward && to == *machine)).then_some(*cut)
            }
            Rule::Partition(groups, cut) => {
                let group = |machine| groups.iter().position(|group| group.contains(&machine));
                match (group(from), group(to)) {
                    (Some(a), Some(b)) if a != b => Some(*cut),
                    _ => None,
                }
            }
        };
        if cut.is_some() && effect.cut != Some(Cut::Lost) {
            effect.cut = cut;
        }
    }
}

struct Direction {
    from: usize,
    to: usize,
    effect: Effect,
    traffic: Traffic,
}

struct Target {
    name: String,
    machine: usize,
    address: Option<SocketAddr>,
}

struct Listener {
    listener: TcpListener,
    address: SocketAddr,
    target: usize,
    /// Direction from the dialler to the target, and the reverse one.
    directions: [usize; 2],
}

enum Item {
    Bytes(Vec<u8>, usize),
    End,
    Abort,
}

/// One direction of a connection.
struct Flow {
    direction: usize,
    queue: VecDeque<(Instant, Item)>,
    waiting: usize,
    last_due: Instant,
    /// Set when nothing more will be read from the source.
    ended: bool,
    /// Set when the end of the stream was passed to the sink, or the sink accepts nothing more.
    done: bool,
    /// Set when bytes were discarded.
    lost_bytes: bool,
}

#[derive(Default)]
struct Side {
    stream: Option<TcpStream>,
    readable: bool,
    writable: bool,
}

/// A relayed connection. Side 0 is the dialler, side 1 the target; flow 0 runs from side 0 to side 1.
struct Conn {
    target: usize,
    sides: [Side; 2],
    flows: [Flow; 2],
    connecting: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Open,
    Close,
    Reset,
}

pub(super) type Job = Box<dyn FnOnce(&mut Relay) + Send>;
type Condition = Box<dyn FnMut(&Relay) -> bool + Send>;

pub(super) struct Relay {
    poll: Poll,
    machines: Vec<String>,
    targets: Vec<Target>,
    listeners: Vec<Listener>,
    listener_of: BTreeMap<(usize, usize), usize>,
    directions: Vec<Direction>,
    direction_of: BTreeMap<(usize, usize), usize>,
    rules: BTreeMap<u64, Rule>,
    next_rule: u64,
    conns: HashMap<usize, Conn>,
    next_conn: usize,
    /// Connections with pending work.
    ready: Vec<usize>,
    timers: BTreeSet<(Instant, usize)>,
    accept_retries: Vec<usize>,
    waiters: Vec<(Condition, Sender<()>)>,
    buffer: Vec<u8>,
    pub(super) stop: bool,
}

impl Relay {
    pub(super) fn new(poll: Poll) -> Relay {
        Relay {
            poll,
            machines: Vec::new(),
            targets: Vec::new(),
            listeners: Vec::new(),
            listener_of: BTreeMap::new(),
            directions: Vec::new(),
            direction_of: BTreeMap::new(),
            rules: BTreeMap::new(),
            next_rule: 0,
            conns: HashMap::new(),
            next_conn: 0,
            ready: Vec::new(),
            timers: BTreeSet::new(),
            accept_retries: Vec::new(),
            waiters: Vec::new(),
            buffer: vec![0; READ_BYTES],
            stop: false,
        }
    }

    /// Returns the index of the machine that an end (`machine` or `machine/port`) belongs to.
    pub(super) fn machine(&mut self, end: &str) -> usize {
        let name = end.split('/').next().unwrap_or(end);
        self.machines.iter().position(|machine| machine == name).unwrap_or_else(|| {
            self.machines.push(name.to_owned());
            self.machines.len() - 1
        })
    }

    fn target(&mut self, end: &str) -> usize {
        if let Some(at) = self.targets.iter().position(|target| target.name == end) {
            return at;
        }
        let machine = self.machine(end);
        self.targets.push(Target { name: end.to_owned(), machine, address: None });
        self.targets.len() - 1
    }

    fn direction(&mut self, from: usize, to: usize) -> usize {
        if let Some(at) = self.direction_of.get(&(from, to)) {
            return *at;
        }
        let mut effect = Effect::default();
        self.rules.values().for_each(|rule| rule.add_to(&mut effect, from, to));
        self.directions.push(Direction { from, to, effect, traffic: Traffic::default() });
        self.direction_of.insert((from, to), self.directions.len() - 1);
        self.directions.len() - 1
    }

    pub(super) fn address(&mut self, from: &str, to: &str) -> io::Result<SocketAddr> {
        let (from, target) = (self.machine(from), self.target(to));
        if let Some(listener) = self.listener_of.get(&(from, target)) {
            return Ok(self.listeners[*listener].address);
        }
        let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let token = Token(LISTENER_TOKENS + self.listeners.len());
        self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
        let to = self.targets[target].machine;
        let directions = [self.direction(from, to), self.direction(to, from)];
        self.listener_of.insert((from, target), self.listeners.len());
        self.listeners.push(Listener { listener, address, target, directions });
        Ok(address)
    }

    pub(super) fn set_target(&mut self, end: &str, address: SocketAddr) {
        let target = self.target(end);
        self.targets[target].address = Some(address);
        self.ready.extend(self.conns.keys());
    }

    pub(super) fn add(&mut self, rule: Rule) -> u64 {
        self.next_rule += 1;
        self.rules.insert(self.next_rule, rule);
        self.apply_rules();
        self.next_rule
    }

    pub(super) fn end(&mut self, rule: u64) {
        self.rules.remove(&rule);
        self.apply_rules();
    }

    pub(super) fn heal(&mut self) {
        self.rules.retain(|_, rule| matches!(rule, Rule::Delay(..)));
        self.apply_rules();
    }

    /// Applies the current rules to all directions and connections before the caller continues.
    fn apply_rules(&mut self) {
        for direction in &mut self.directions {
            direction.effect = Effect::default();
            self.rules
                .values()
                .for_each(|rule| rule.add_to(&mut direction.effect, direction.from, direction.to));
        }
        let conns: Vec<usize> = self.conns.keys().copied().collect();
        conns.into_iter().for_each(|conn| self.pump(conn));
    }

    pub(super) fn reset(&mut self, a: &[usize], b: &[usize]) -> u64 {
        let hit: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, conn)| {
                let Direction { from, to, .. } = self.directions[conn.flows[0].direction];
                (a.contains(&from) && b.contains(&to)) || (b.contains(&from) && a.contains(&to))
            })
            .map(|(id, _)| *id)
            .collect();
        hit.iter().for_each(|id| self.drop_conn(*id, Outcome::Reset));
        hit.len() as u64
    }

    pub(super) fn traffic(&self, from: &str, to: &str) -> Traffic {
        let at = |name| self.machines.iter().position(|machine| machine == name);
        let direction = at(from).zip(at(to)).and_then(|pair| self.direction_of.get(&pair));
        direction.map(|direction| self.directions[*direction].traffic).unwrap_or_default()
    }

    pub(super) fn wait(&mut self, condition: Condition, sender: Sender<()>) {
        self.waiters.push((condition, sender));
    }

    pub(super) fn run(mut self, jobs: &Receiver<Job>) {
        let mut events = Events::with_capacity(1_024);
        while !self.stop {
            let mut timeout =
                self.timers.first().map(|(due, _)| due.saturating_duration_since(Instant::now()));
            if !self.accept_retries.is_empty() {
                timeout = Some(timeout.map_or(ACCEPT_PAUSE, |timeout| timeout.min(ACCEPT_PAUSE)));
            }
            if !self.ready.is_empty() {
                timeout = Some(Duration::ZERO);
            }
            if self.poll.poll(&mut events, timeout).is_err() {
                // Interrupted by a signal; the events are reported again.
                continue;
            }
            for listener in std::mem::take(&mut self.accept_retries) {
                self.accept(listener);
            }
            for event in &events {
                let token = event.token().0;
                if event.token() == WAKE {
                    continue;
                } else if token >= LISTENER_TOKENS {
                    self.accept(token - LISTENER_TOKENS);
                } else if let Some(conn) = self.conns.get_mut(&(token / 2)) {
                    let side = &mut conn.sides[token % 2];
                    side.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
                    side.writable |= event.is_writable() || event.is_write_closed() || event.is_error();
                    self.ready.push(token / 2);
                }
            }
            jobs.try_iter().for_each(|job| job(&mut self));
            let now = Instant::now();
            while let Some((due, conn)) = self.timers.first().copied().filter(|(due, _)| *due <= now) {
                self.timers.remove(&(due, conn));
                self.ready.push(conn);
            }
            let mut ready = std::mem::take(&mut self.ready);
            ready.sort_unstable();
            ready.dedup();
            ready.into_iter().for_each(|conn| self.pump(conn));
            let mut waiters = std::mem::take(&mut self.waiters);
            waiters.retain_mut(|(condition, sender)| {
                let met = condition(&self);
                if met {
                    // The waiting caller may have timed out.
                    let _ = sender.send(());
                }
                !met
            });
            self.waiters = waiters;
        }
    }

    fn accept(&mut self, at: usize) {
        while let Some(listener) = self.listeners.get(at) {
            let (mut stream, _) = match listener.listener.accept() {
                Ok(accepted) => accepted,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => continue,
                Err(_) => return self.accept_retries.push(at),
            };
            let (target, directions) = (listener.target, listener.directions);
            let direction = &mut self.directions[directions[0]];
            direction.traffic.opened += 1;
            let id = self.next_conn;
            let token = Token(id * 2);
            let full = self.conns.len() >= MAX_CONNECTIONS;
            if full
                || direction.effect.refuse
                || self
                    .poll
                    .registry()
                    .register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)
                    .is_err()
            {
                direction.traffic.refused += 1;
                abort(&stream);
                continue;
            }
            let _ = stream.set_nodelay(true);
            self.next_conn += 1;
            let now = Instant::now();
            let flow = |direction| Flow {
                direction,
                queue: VecDeque::new(),
                waiting: 0,
                last_due: now,
                ended: false,
                done: false,
                lost_bytes: false,
            };
            let dialler = Side { stream: Some(stream), readable: true, writable: true };
            directions.iter().for_each(|at| self.directions[*at].traffic.standing += 1);
            self.conns.insert(
                id,
                Conn {
                    target,
                    sides: [dialler, Side::default()],
                    flows: directions.map(flow),
                    connecting: false,
                },
            );
            self.ready.push(id);
        }
    }

    fn drop_conn(&mut self, id: usize, outcome: Outcome) {
        let Some(conn) = self.conns.remove(&id) else { return };
        for flow in &conn.flows {
            let traffic = &mut self.directions[flow.direction].traffic;
            traffic.standing -= 1;
            traffic.waiting -= flow.waiting as u64;
            traffic.reset += u64::from(outcome == Outcome::Reset);
        }
        if outcome == Outcome::Reset {
            conn.sides.iter().filter_map(|side| side.stream.as_ref()).for_each(abort);
        }
    }

    fn pump(&mut self, id: usize) {
        let Some(mut conn) = self.conns.remove(&id) else { return };
        let mut outcome = Outcome::Open;
        let mut more = true;
        for _ in 0..ROUNDS_PER_TURN {
            if outcome != Outcome::Open || !more {
                break;
            }
            more = false;
            outcome = self.dial(id, &mut conn);
            for index in 0..2 {
                if outcome == Outcome::Open {
                    outcome = self.pump_flow(id, &mut conn, index, &mut more);
                }
            }
            if outcome == Outcome::Open && conn.flows.iter().all(|flow| flow.done) {
                outcome = Outcome::Close;
            }
        }
        self.conns.insert(id, conn);
        match outcome {
            Outcome::Open if more => self.ready.push(id),
            Outcome::Open => {}
            _ => self.drop_conn(id, outcome),
        }
    }

    /// Opens the target's side. A TCP handshake needs both directions, so a cut in either one delays it.
    fn dial(&mut self, id: usize, conn: &mut Conn) -> Outcome {
        if conn.connecting {
            let Some(stream) = conn.sides[1].stream.as_ref().filter(|_| conn.sides[1].writable) else {
                return Outcome::Open;
            };
            if !matches!(stream.take_error(), Ok(None)) {
                return Outcome::Reset;
            }
            if stream.peer_addr().is_err() {
                // Not connected yet; another event follows.
                conn.sides[1].writable = false;
                return Outcome::Open;
            }
            let _ = stream.set_nodelay(true);
            conn.connecting = false;
        }
        if conn.sides[1].stream.is_some() {
            return Outcome::Open;
        }
        if conn.flows[0].ended {
            // The dialler has closed before the target's side was opened.
            return Outcome::Close;
        }
        let cut = conn.flows.iter().any(|flow| self.directions[flow.direction].effect.cut.is_some());
        let Some(address) = self.targets[conn.target].address.filter(|_| !cut) else { return Outcome::Open };
        let Ok(mut stream) = TcpStream::connect(address) else { return Outcome::Reset };
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(id * 2 + 1), interest).is_err() {
            return Outcome::Reset;
        }
        conn.sides[1].stream = Some(stream);
        conn.connecting = true;
        Outcome::Open
    }

    fn pump_flow(&mut self, id: usize, conn: &mut Conn, index: usize, more: &mut bool) -> Outcome {
        let Direction { effect, traffic, .. } = &mut self.directions[conn.flows[index].direction];
        let (first, second) = conn.flows.split_at_mut(1);
        let (flow, reverse) =
            if index == 0 { (&mut first[0], &mut second[0]) } else { (&mut second[0], &mut first[0]) };
        let (first, second) = conn.sides.split_at_mut(1);
        let (source, sink) =
            if index == 0 { (&mut first[0], &mut second[0]) } else { (&mut second[0], &mut first[0]) };
        let lost = effect.cut == Some(Cut::Lost);
        if lost && !flow.queue.is_empty() {
            traffic.waiting -= flow.waiting as u64;
            traffic.lost += flow.waiting as u64;
            flow.waiting = 0;
            flow.queue.clear();
            flow.lost_bytes = true;
        }
        if flow.lost_bytes && !lost {
            return Outcome::Reset;
        }
        let now = Instant::now();
        let mut read = 0;
        while let Some(stream) = source.stream.as_mut().filter(|_| source.readable && !flow.ended) {
            let room =
                if lost { READ_BYTES } else { READ_BYTES.min(MAX_QUEUED_BYTES.saturating_sub(flow.waiting)) };
            if room == 0 || read >= MAX_QUEUED_BYTES {
                *more |= room > 0;
                break;
            }
            let item = match stream.read(&mut self.buffer[..room]) {
                Ok(0) => Item::End,
                Ok(count) => {
                    read += count;
                    Item::Bytes(self.buffer[..count].to_vec(), 0)
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    source.readable = false;
                    break;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => Item::Abort,
            };
            flow.ended = !matches!(item, Item::Bytes(..));
            let count = if let Item::Bytes(bytes, _) = &item { bytes.len() } else { 0 };
            if lost {
                flow.lost_bytes = true;
                traffic.lost += count as u64;
                continue;
            }
            flow.waiting += count;
            traffic.waiting += count as u64;
            // Keeps bytes in order even if the delay has become shorter.
            flow.last_due = flow.last_due.max(now + effect.delay);
            flow.queue.push_back((flow.last_due, item));
        }
        let connected = sink.stream.is_some() && (index == 1 || !conn.connecting);
        while effect.cut.is_none() && connected && sink.writable {
            let (Some((due, item)), Some(stream)) = (flow.queue.front_mut(), sink.stream.as_mut()) else {
                break;
            };
            if *due > now {
                self.timers.insert((*due, id));
                break;
            }
            match item {
                Item::Abort => return Outcome::Reset,
                Item::End => {
                    let _ = stream.shutdown(Shutdown::Write);
                    flow.done = true;
                    flow.queue.pop_front();
                }
                Item::Bytes(bytes, sent) => match stream.write(&bytes[*sent..]) {
                    Ok(count) => {
                        *sent += count;
                        flow.waiting -= count;
                        traffic.waiting -= count as u64;
                        traffic.carried += count as u64;
                        if *sent == bytes.len() {
                            flow.queue.pop_front();
                        }
                        *more |= source.readable;
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => sink.writable = false,
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(_) => {
                        // The sink is gone. The source learns this through the reverse flow, once that is not
                        // cut.
                        traffic.waiting -= flow.waiting as u64;
                        flow.waiting = 0;
                        flow.queue.clear();
                        flow.ended = true;
                        flow.done = true;
                        reverse.ended = true;
                        reverse.last_due = reverse.last_due.max(now);
                        reverse.queue.push_back((reverse.last_due, Item::Abort));
                        *more = true;
                        break;
                    }
                },
            }
        }
        Outcome::Open
    }
}

/// Makes closing the connection send a reset.
fn abort(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
