//! The thread behind [`Links`](super::Links): listeners, connections and what is set for each direction.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::mpsc::{Receiver, Sender};
use std::time::{Duration, Instant};

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

use crate::Micros;

/// Bytes that may wait in one direction of a connection before no more are read.
const WAITING: usize = 256 * 1024;
/// Bytes read at once.
const READ: usize = 64 * 1024;
/// Connections at a time; more are refused.
const CONNECTIONS: usize = 32_768;
/// Rounds of reading and writing that a connection gets before the others have their turn.
const ROUNDS: usize = 4;
/// Pause after accepting failed, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

pub(super) const WAKE: Token = Token(usize::MAX);
const LISTENERS: usize = 1 << 60;

/// What becomes of the bytes of a direction that is cut. Nothing arrives while it lasts, and connections stay up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// They arrive when the cut ends, late and in order.
    Late,
    /// They are gone. A connection that lost any is reset when the cut ends, as one is whose sender gave up.
    Lost,
}

/// What one direction between two ends has carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Connections that its sender opened.
    pub opened: u64,
    /// Those of them that were refused.
    pub refused: u64,
    /// Connections, whoever opened them, that stand now.
    pub standing: u64,
    /// Connections, whoever opened them, that were reset by order or after a [`Cut::Lost`].
    pub reset: u64,
    /// Bytes that arrived.
    pub carried: u64,
    /// Bytes that wait in the relay now.
    pub waiting: u64,
    /// Bytes that were thrown away.
    pub lost: u64,
}

/// What is set for some directions until it is ended. Machines are numbers.
pub(super) enum Rule {
    Delay(Vec<usize>, Vec<usize>, Micros),
    Cut(Vec<usize>, Vec<usize>, Cut),
    Refuse(Vec<usize>, Vec<usize>),
    Alone { machine: usize, out: bool, inward: bool, cut: Cut },
    Partition(Vec<Vec<usize>>, Cut),
}

/// What holds for a direction with all rules taken together.
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

struct Door {
    listener: TcpListener,
    address: SocketAddr,
    target: usize,
    /// The direction of the dialler to the target, and back.
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
    /// Nothing more comes from the source.
    ended: bool,
    /// The end was passed on to the sink, or the sink takes nothing more.
    done: bool,
    /// Something was thrown away.
    lossy: bool,
}

#[derive(Default)]
struct Side {
    stream: Option<TcpStream>,
    readable: bool,
    writable: bool,
}

/// Side 0 is the dialler's, side 1 the target's; flow 0 goes from 0 to 1.
struct Conn {
    target: usize,
    sides: [Side; 2],
    flows: [Flow; 2],
    connecting: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Stands,
    Goes,
    Reset,
}

pub(super) type Job = Box<dyn FnOnce(&mut Relay) + Send>;
type Wanted = Box<dyn FnMut(&Relay) -> bool + Send>;

pub(super) struct Relay {
    poll: Poll,
    machines: Vec<String>,
    targets: Vec<Target>,
    doors: Vec<Door>,
    door_of: BTreeMap<(usize, usize), usize>,
    directions: Vec<Direction>,
    direction_of: BTreeMap<(usize, usize), usize>,
    rules: BTreeMap<u64, Rule>,
    next_rule: u64,
    conns: HashMap<usize, Conn>,
    next_conn: usize,
    /// Connections that still have something to do.
    ready: Vec<usize>,
    timers: BTreeSet<(Instant, usize)>,
    accept_again: Vec<usize>,
    waiters: Vec<(Wanted, Sender<()>)>,
    buffer: Vec<u8>,
    pub(super) stop: bool,
}

impl Relay {
    pub(super) fn new(poll: Poll) -> Relay {
        Relay {
            poll,
            machines: Vec::new(),
            targets: Vec::new(),
            doors: Vec::new(),
            door_of: BTreeMap::new(),
            directions: Vec::new(),
            direction_of: BTreeMap::new(),
            rules: BTreeMap::new(),
            next_rule: 0,
            conns: HashMap::new(),
            next_conn: 0,
            ready: Vec::new(),
            timers: BTreeSet::new(),
            accept_again: Vec::new(),
            waiters: Vec::new(),
            buffer: vec![0; READ],
            stop: false,
        }
    }

    /// The number of the machine that an end (`machine` or `machine/port`) belongs to.
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
        if let Some(door) = self.door_of.get(&(from, target)) {
            return Ok(self.doors[*door].address);
        }
        let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let token = Token(LISTENERS + self.doors.len());
        self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
        let to = self.targets[target].machine;
        let directions = [self.direction(from, to), self.direction(to, from)];
        self.door_of.insert((from, target), self.doors.len());
        self.doors.push(Door { listener, address, target, directions });
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
        self.work_out();
        self.next_rule
    }

    pub(super) fn end(&mut self, rule: u64) {
        self.rules.remove(&rule);
        self.work_out();
    }

    pub(super) fn heal(&mut self) {
        self.rules.retain(|_, rule| matches!(rule, Rule::Delay(..)));
        self.work_out();
    }

    /// Brings all directions and connections in line with the rules, before the caller goes on.
    fn work_out(&mut self) {
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
        hit.iter().for_each(|id| self.drop_conn(*id, Fate::Reset));
        hit.len() as u64
    }

    pub(super) fn traffic(&self, from: &str, to: &str) -> Traffic {
        let at = |name| self.machines.iter().position(|machine| machine == name);
        let direction = at(from).zip(at(to)).and_then(|pair| self.direction_of.get(&pair));
        direction.map(|direction| self.directions[*direction].traffic).unwrap_or_default()
    }

    pub(super) fn wait(&mut self, wanted: Wanted, sender: Sender<()>) {
        self.waiters.push((wanted, sender));
    }

    pub(super) fn run(mut self, jobs: &Receiver<Job>) {
        let mut events = Events::with_capacity(1_024);
        while !self.stop {
            let mut timeout =
                self.timers.first().map(|(due, _)| due.saturating_duration_since(Instant::now()));
            if !self.accept_again.is_empty() {
                timeout = Some(timeout.map_or(ACCEPT_PAUSE, |timeout| timeout.min(ACCEPT_PAUSE)));
            }
            if !self.ready.is_empty() {
                timeout = Some(Duration::ZERO);
            }
            if self.poll.poll(&mut events, timeout).is_err() {
                // Interrupted by a signal; the events come again.
                continue;
            }
            for door in std::mem::take(&mut self.accept_again) {
                self.accept(door);
            }
            for event in &events {
                let token = event.token().0;
                if event.token() == WAKE {
                    continue;
                } else if token >= LISTENERS {
                    self.accept(token - LISTENERS);
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
            waiters.retain_mut(|(wanted, sender)| {
                let come = wanted(&self);
                if come {
                    // Whoever waited may have given up.
                    let _ = sender.send(());
                }
                !come
            });
            self.waiters = waiters;
        }
    }

    fn accept(&mut self, at: usize) {
        while let Some(door) = self.doors.get(at) {
            let (mut stream, _) = match door.listener.accept() {
                Ok(accepted) => accepted,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => continue,
                Err(_) => return self.accept_again.push(at),
            };
            let (target, directions) = (door.target, door.directions);
            let direction = &mut self.directions[directions[0]];
            direction.traffic.opened += 1;
            let id = self.next_conn;
            let token = Token(id * 2);
            let full = self.conns.len() >= CONNECTIONS;
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
                lossy: false,
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

    fn drop_conn(&mut self, id: usize, fate: Fate) {
        let Some(conn) = self.conns.remove(&id) else { return };
        for flow in &conn.flows {
            let traffic = &mut self.directions[flow.direction].traffic;
            traffic.standing -= 1;
            traffic.waiting -= flow.waiting as u64;
            traffic.reset += u64::from(fate == Fate::Reset);
        }
        if fate == Fate::Reset {
            conn.sides.iter().filter_map(|side| side.stream.as_ref()).for_each(abort);
        }
    }

    fn pump(&mut self, id: usize) {
        let Some(mut conn) = self.conns.remove(&id) else { return };
        let mut fate = Fate::Stands;
        let mut more = true;
        for _ in 0..ROUNDS {
            if fate != Fate::Stands || !more {
                break;
            }
            more = false;
            fate = self.dial(id, &mut conn);
            for way in 0..2 {
                if fate == Fate::Stands {
                    fate = self.pump_flow(id, &mut conn, way, &mut more);
                }
            }
            if fate == Fate::Stands && conn.flows.iter().all(|flow| flow.done) {
                fate = Fate::Goes;
            }
        }
        self.conns.insert(id, conn);
        match fate {
            Fate::Stands if more => self.ready.push(id),
            Fate::Stands => {}
            _ => self.drop_conn(id, fate),
        }
    }

    /// Opens the target's side. That takes a word in both directions, so a cut in either makes it wait.
    fn dial(&mut self, id: usize, conn: &mut Conn) -> Fate {
        if conn.connecting {
            let Some(stream) = conn.sides[1].stream.as_ref().filter(|_| conn.sides[1].writable) else {
                return Fate::Stands;
            };
            if !matches!(stream.take_error(), Ok(None)) {
                return Fate::Reset;
            }
            if stream.peer_addr().is_err() {
                // Not yet: another event comes.
                conn.sides[1].writable = false;
                return Fate::Stands;
            }
            let _ = stream.set_nodelay(true);
            conn.connecting = false;
        }
        if conn.sides[1].stream.is_some() {
            return Fate::Stands;
        }
        if conn.flows[0].ended {
            // Nobody waits any more for the connection that never came.
            return Fate::Goes;
        }
        let cut = conn.flows.iter().any(|flow| self.directions[flow.direction].effect.cut.is_some());
        let Some(address) = self.targets[conn.target].address.filter(|_| !cut) else { return Fate::Stands };
        let Ok(mut stream) = TcpStream::connect(address) else { return Fate::Reset };
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(id * 2 + 1), interest).is_err() {
            return Fate::Reset;
        }
        conn.sides[1].stream = Some(stream);
        conn.connecting = true;
        Fate::Stands
    }

    fn pump_flow(&mut self, id: usize, conn: &mut Conn, way: usize, more: &mut bool) -> Fate {
        let Direction { effect, traffic, .. } = &mut self.directions[conn.flows[way].direction];
        let (first, second) = conn.flows.split_at_mut(1);
        let (flow, back) =
            if way == 0 { (&mut first[0], &mut second[0]) } else { (&mut second[0], &mut first[0]) };
        let (first, second) = conn.sides.split_at_mut(1);
        let (source, sink) =
            if way == 0 { (&mut first[0], &mut second[0]) } else { (&mut second[0], &mut first[0]) };
        let lost = effect.cut == Some(Cut::Lost);
        if lost && !flow.queue.is_empty() {
            traffic.waiting -= flow.waiting as u64;
            traffic.lost += flow.waiting as u64;
            flow.waiting = 0;
            flow.queue.clear();
            flow.lossy = true;
        }
        if flow.lossy && !lost {
            return Fate::Reset;
        }
        let now = Instant::now();
        let mut read = 0;
        while let Some(stream) = source.stream.as_mut().filter(|_| source.readable && !flow.ended) {
            let room = if lost { READ } else { READ.min(WAITING.saturating_sub(flow.waiting)) };
            if room == 0 || read >= WAITING {
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
                flow.lossy = true;
                traffic.lost += count as u64;
                continue;
            }
            flow.waiting += count;
            traffic.waiting += count as u64;
            // The delay may have become shorter: bytes stay in order all the same.
            flow.last_due = flow.last_due.max(now + effect.delay);
            flow.queue.push_back((flow.last_due, item));
        }
        let connected = sink.stream.is_some() && (way == 1 || !conn.connecting);
        while effect.cut.is_none() && connected && sink.writable {
            let (Some((due, item)), Some(stream)) = (flow.queue.front_mut(), sink.stream.as_mut()) else {
                break;
            };
            if *due > now {
                self.timers.insert((*due, id));
                break;
            }
            match item {
                Item::Abort => return Fate::Reset,
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
                        // The sink is gone. Its peer learns it by the way back, when that is open.
                        traffic.waiting -= flow.waiting as u64;
                        flow.waiting = 0;
                        flow.queue.clear();
                        flow.ended = true;
                        flow.done = true;
                        back.ended = true;
                        back.last_due = back.last_due.max(now);
                        back.queue.push_back((back.last_due, Item::Abort));
                        *more = true;
                        break;
                    }
                },
            }
        }
        Fate::Stands
    }
}

/// Sees to it that closing the connection resets it.
fn abort(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
