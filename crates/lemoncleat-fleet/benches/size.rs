//! Measures what members and facts cost by the size of the fleet, over connections or notes on a simulated
//! network with delays of 0.5 to 5 ms: at rest, with the facts that nodes publish today, and during failures.
//! Bytes and messages are exact, sent and received, in windows of one second per node; those on the wire
//! include the overhead that the transport adds to each message. Processor time is that of the thread while
//! it runs the cores. Each size runs in a process of its own, one after the other.
//!
//! `cargo bench -p lemoncleat-fleet --bench size [-- members-200ms members-1s members-notes events regions]`
//! writes `docs/capacity/slopes.json`; `CAPACITY_QUIET=yes` states that nothing else ran on the machine.

#[path = "../../lemoncleat-lab/src/capacity/record.rs"]
mod record;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{MessageBuilder, MessageRef};
use lemoncleat_fleet::{Fleet, Input, Kind, Member, MemberId, Micros, Output, Settings, State, Transport};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use record::{record, Series, Spent};

const SECOND: Micros = 1_000_000;
const SIZES: [usize; 5] = [64, 128, 256, 512, 1_024];
/// A host name of typical length.
const HOST: &str = "node-0417.calls.example";
const REALM: &str = "calls.example";
/// The facts that a node publishes, as kind, interval and bytes: of its calls every five seconds while they
/// change, and of its rules every ten seconds.
const LOAD_FACT: (Kind, Micros, usize) = (Kind(1), 5 * SECOND, 7);
const RULES_FACT: (Kind, Micros, usize) = (Kind(2), 10 * SECOND, 73);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize, u64),
    Publish(usize, u8),
    Message(usize, usize, Vec<u8>),
    Link(usize, usize),
    Unlink(usize, usize),
}

/// The traffic and processor time of a node in one second.
#[derive(Clone, Copy, Default)]
struct Window {
    sent: u64,
    received: u64,
    wire_sent: u64,
    wire_received: u64,
    messages_sent: u64,
    messages_received: u64,
    processor_ns: u64,
}

/// Sizes on the wire of a message and of its answer.
struct Wire {
    overhead: u64,
    answer: u64,
    /// The size of a message is padded to a multiple of this.
    padding: usize,
}

impl Wire {
    fn new(carrier: Transport) -> Wire {
        if carrier == Transport::Notes {
            // The headers of UDP and IPv4; there is no answer.
            return Wire { overhead: 28, answer: 0, padding: 1 };
        }
        let request = |message: &[u8]| {
            let request = MessageBuilder::request(d::CMD_FLEET, d::APP_NAS, false, 1, 1);
            let request = request.add_str(d::ORIGIN_HOST, HOST).add_str(d::ORIGIN_REALM, REALM);
            request.add(d::FLEET_WORD, message).build()
        };
        let empty = request(&[]);
        let answer = MessageBuilder::answer(&MessageRef::parse(&empty).expect("a request built above"), 2001);
        let answer = answer.add_str(d::ORIGIN_HOST, HOST).add_str(d::ORIGIN_REALM, REALM).build();
        let wire = Wire { overhead: empty.len() as u64, answer: answer.len() as u64, padding: 4 };
        for length in [1, 2, 3, 4, 100] {
            assert_eq!(wire.message_size(length), request(&vec![0; length]).len() as u64);
        }
        wire
    }

    fn message_size(&self, length: usize) -> u64 {
        self.overhead + length.next_multiple_of(self.padding) as u64
    }
}

struct Net {
    now: Micros,
    nodes: Vec<Option<Fleet>>,
    members: Vec<Member>,
    indices: HashMap<MemberId, usize>,
    carrier: Transport,
    round: Micros,
    wire: Wire,
    cut: BTreeSet<(usize, usize)>,
    window: Vec<Window>,
    /// The windows of all nodes in all measured seconds.
    windows: Vec<Window>,
    /// Reports that held a running, reachable member to be suspect, and to be gone.
    suspected: u64,
    gone: u64,
    publishing: bool,
    generations: Vec<u64>,
    due: Vec<Option<Micros>>,
    links: BTreeMap<(usize, usize), usize>,
    connections: Vec<usize>,
    max_connections: usize,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    event_count: u64,
    serial: u64,
    rng: SmallRng,
}

impl Net {
    fn new(size: usize, carrier: Transport, round: Micros) -> Net {
        let name = |at: usize| Member {
            name: format!("node-{at:04}.calls.example").into(),
            zone: format!("z{}", at % 8).into(),
        };
        let members: Vec<Member> = (0..size).map(name).collect();
        Net {
            now: SECOND,
            nodes: (0..size).map(|_| None).collect(),
            indices: members.iter().enumerate().map(|(at, it)| (MemberId::of(&it.name), at)).collect(),
            members,
            carrier,
            round,
            wire: Wire::new(carrier),
            cut: BTreeSet::new(),
            window: vec![Window::default(); size],
            windows: Vec::new(),
            suspected: 0,
            gone: 0,
            publishing: false,
            generations: vec![0; size],
            due: vec![None; size],
            links: BTreeMap::new(),
            connections: vec![0; size],
            max_connections: 0,
            queue: BinaryHeap::new(),
            event_count: 0,
            serial: 0,
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn start(&mut self, at: usize) {
        let own = self.members[at].name.clone();
        let mut settings = Settings::new(&own, self.members.clone(), self.carrier);
        // As in a node that is part of a fleet: the longest message, and timeouts in proportion to the round.
        if self.carrier == Transport::Connections {
            settings.max_message = 32 * 1024;
        }
        let usual = settings.timing;
        let scaled = |span: Micros| (span * self.round / usual.round).max(1_000);
        settings.timing.round = self.round;
        settings.timing.answer = scaled(usual.answer);
        settings.timing.suspicion_timeout = scaled(usual.suspicion_timeout);
        settings.timing.gossip = scaled(usual.gossip);
        settings.timing.sync = scaled(usual.sync);
        settings.timing.retry = scaled(usual.retry);
        settings.timing.meet = scaled(usual.meet).max(SECOND);
        let start = 100 + (self.now / SECOND) as u32;
        self.nodes[at] = Some(Fleet::new(settings, start, self.rng.random()).expect("valid settings"));
        self.generations[at] += 1;
        self.due[at] = None;
        self.turn(at, Input::Timeout);
        if self.publishing {
            self.schedule_facts(at);
        }
    }

    /// Starts to publish the node's facts periodically, at random offsets.
    fn schedule_facts(&mut self, at: usize) {
        for (kind, every, _) in [LOAD_FACT, RULES_FACT] {
            let first = self.rng.random_range(0..every);
            self.push(first, Event::Publish(at, kind.0));
        }
    }

    fn kill(&mut self, at: usize) {
        self.nodes[at] = None;
        self.generations[at] += 1;
        for (one, other) in self.links.keys().copied().collect::<Vec<_>>() {
            if one == at || other == at {
                self.unlink((one, other));
                self.push(1_000, Event::Unlink(one + other - at, at));
            }
        }
    }

    fn unlink(&mut self, pair: (usize, usize)) {
        if self.links.remove(&pair).is_some() {
            self.connections[pair.0] -= 1;
            self.connections[pair.1] -= 1;
        }
    }

    /// Cuts the links between two sets of nodes, and ends the connections over them.
    fn cut(&mut self, one: &[usize], other: &[usize]) {
        for one in one {
            for other in other {
                self.cut.extend([(*one, *other), (*other, *one)]);
                let pair = (*one.min(other), *one.max(other));
                if self.links.contains_key(&pair) {
                    self.unlink(pair);
                    self.push(SECOND, Event::Unlink(*one, *other));
                    self.push(SECOND, Event::Unlink(*other, *one));
                }
            }
        }
    }

    fn push(&mut self, after: Micros, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((self.now + after, self.event_count, event)));
    }

    fn turn(&mut self, at: usize, input: Input<'_>) {
        let Some(node) = &mut self.nodes[at] else { return };
        let mut out = Vec::new();
        let began = Spent::now();
        node.handle(self.now, input, &mut out);
        let wake = node.wake();
        self.window[at].processor_ns += began.nanos();
        if let Some(wake) = wake {
            if self.due[at].is_none_or(|due| wake < due || due <= self.now) {
                self.due[at] = Some(wake.max(self.now + 1));
                self.push((wake - self.now).max(1), Event::Wake(at, self.generations[at]));
            }
        }
        for output in out {
            self.apply_output(at, output);
        }
    }

    fn apply_output(&mut self, at: usize, output: Output) {
        match output {
            Output::Send { to, bytes } => {
                let to = self.indices[&to];
                let window = &mut self.window[at];
                window.messages_sent += 1;
                window.sent += bytes.len() as u64;
                window.wire_sent += self.wire.message_size(bytes.len());
                if !self.cut.contains(&(at, to)) {
                    let delay = self.rng.random_range(500..5_000);
                    self.push(delay, Event::Message(at, to, bytes));
                }
            }
            Output::Connect(to) => {
                let to = self.indices[&to];
                self.push(10_000, Event::Link(at, to));
            }
            Output::Disconnect(to) => {
                let to = self.indices[&to];
                let pair = (at.min(to), at.max(to));
                if self.links.get(&pair) == Some(&at) {
                    self.unlink(pair);
                    self.push(0, Event::Unlink(at, to));
                    self.push(20_000, Event::Unlink(to, at));
                }
            }
            Output::State { member, state, .. } => {
                let member = self.indices[&member];
                if self.nodes[member].is_some() && !self.cut.contains(&(member, at)) {
                    self.suspected += u64::from(state == State::Suspect);
                    self.gone += u64::from(state == State::Gone);
                }
            }
            Output::Fact(_) | Output::Direct { .. } | Output::Notice(_) => {}
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Wake(at, generation) => {
                if generation == self.generations[at] && self.due[at].is_some_and(|due| due <= self.now) {
                    self.due[at] = None;
                    let wake = self.nodes[at].as_ref().and_then(Fleet::wake);
                    match wake {
                        Some(wake) if wake > self.now => {
                            self.due[at] = Some(wake);
                            self.push(wake - self.now, Event::Wake(at, generation));
                        }
                        Some(_) => self.turn(at, Input::Timeout),
                        None => {}
                    }
                }
            }
            Event::Publish(at, kind) => {
                let (kind, every, length) = if kind == LOAD_FACT.0 .0 { LOAD_FACT } else { RULES_FACT };
                self.serial += 1;
                let mut bytes = vec![0; length];
                bytes[..7].copy_from_slice(&self.serial.to_be_bytes()[1..]);
                self.turn(at, Input::Publish { kind, bytes });
                self.push(every, Event::Publish(at, kind.0));
            }
            Event::Message(from, at, bytes) => {
                if self.cut.contains(&(from, at)) || self.nodes[at].is_none() {
                    return;
                }
                let (message, answer) = (self.wire.message_size(bytes.len()), self.wire.answer);
                let window = &mut self.window[at];
                window.messages_received += 1;
                window.received += bytes.len() as u64;
                window.wire_received += message;
                window.wire_sent += answer;
                self.window[from].wire_received += answer;
                let from = MemberId::of(&self.members[from].name);
                self.turn(at, Input::Received { from, bytes: &bytes });
            }
            Event::Link(at, to) => {
                if self.nodes[at].is_some() && self.nodes[to].is_some() && !self.cut.contains(&(at, to)) {
                    let pair = (at.min(to), at.max(to));
                    if let std::collections::btree_map::Entry::Vacant(link) = self.links.entry(pair) {
                        link.insert(at);
                        self.connections[at] += 1;
                        self.connections[to] += 1;
                        self.max_connections =
                            self.max_connections.max(self.connections[at]).max(self.connections[to]);
                    }
                    let (at_id, to_id) =
                        (MemberId::of(&self.members[at].name), MemberId::of(&self.members[to].name));
                    self.turn(at, Input::Linked(to_id));
                    self.turn(to, Input::Linked(at_id));
                }
            }
            Event::Unlink(at, from) => {
                let from = MemberId::of(&self.members[from].name);
                self.turn(at, Input::Unlinked(from));
            }
        }
    }

    fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.queue.peek().is_some_and(|next| next.0 .0 <= until) {
            let Reverse((at, _, event)) = self.queue.pop().expect("peeked");
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    /// Runs one second and records the window of each node.
    fn run_second(&mut self) {
        self.window.iter_mut().for_each(|window| *window = Window::default());
        self.run(SECOND);
        let running: Vec<Window> =
            (0..self.nodes.len()).filter(|at| self.nodes[*at].is_some()).map(|at| self.window[at]).collect();
        self.windows.extend(running);
    }

    /// Returns whether each running node holds the running ones to be alive and all others to be gone.
    fn converged(&self) -> bool {
        let running = self.nodes.iter().flatten().count();
        self.nodes.iter().flatten().all(|node| {
            let gone = || node.members().filter(|(_, _, state, _)| *state == State::Gone).count();
            node.alive() == running && gone() == self.nodes.len() - running
        })
    }

    /// Runs until all running nodes have converged. Returns the time that took in seconds, and records the
    /// windows of that time.
    fn settle(&mut self, limit: usize) -> f64 {
        let began = self.now;
        for _ in 0..limit {
            self.window.iter_mut().for_each(|window| *window = Window::default());
            let mut known = None;
            for _ in 0..10 {
                self.run(SECOND / 10);
                if known.is_none() && self.converged() {
                    known = Some((self.now - began) as f64 / SECOND as f64);
                }
            }
            let running = (0..self.nodes.len()).filter(|at| self.nodes[*at].is_some());
            let running: Vec<Window> = running.map(|at| self.window[at]).collect();
            self.windows.extend(running);
            if let Some(known) = known {
                return known;
            }
        }
        f64::NAN
    }

    /// Prints figures of the windows recorded since the last call.
    fn print(&mut self, what: &str) {
        let windows = std::mem::take(&mut self.windows);
        let print_figure = |name: &str, of: &dyn Fn(&Window) -> f64| {
            let mut all: Vec<f64> = windows.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            let mean = all.iter().sum::<f64>() / all.len() as f64;
            println!("{what}-{name}-mean {mean}");
            println!("{what}-{name}-p99 {}", all[(all.len() * 99).div_ceil(100) - 1]);
            println!("{what}-{name}-most {}", all[all.len() - 1]);
        };
        print_figure("words-sent", &|window| window.sent as f64);
        print_figure("words-received", &|window| window.received as f64);
        print_figure("wire-sent", &|window| window.wire_sent as f64);
        print_figure("wire-received", &|window| window.wire_received as f64);
        print_figure("wire-both", &|window| (window.wire_sent + window.wire_received) as f64);
        print_figure("messages-sent", &|window| window.messages_sent as f64);
        print_figure("messages-received", &|window| window.messages_received as f64);
        print_figure("processor", &|window| window.processor_ns as f64 / 1e3);
    }
}

/// Returns the resident memory of this process in bytes, as Linux reports it.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(f64::NAN) * 4096.0
}

fn start_all(net: &mut Net, what: &str) {
    (0..net.nodes.len()).for_each(|at| net.start(at));
    let known = net.settle(60);
    println!("{what}-known {known}");
    net.print(what);
}

fn members(size: usize, carrier: Transport, round: Micros) {
    let before = resident();
    let mut net = Net::new(size, carrier, round);
    start_all(&mut net, "start");
    net.run(5 * SECOND);
    (0..5).for_each(|_| net.run_second());
    net.print("rest");
    println!("rest-connections {}", net.max_connections);
    net.publishing = true;
    (0..size).for_each(|at| net.schedule_facts(at));
    // Gossip takes some tenths of a second: after two seconds the load is steady.
    net.run(2 * SECOND);
    (0..3).for_each(|_| net.run_second());
    net.print("told");
    println!("told-memory {}", (resident() - before) / size as f64);
    println!("told-suspected {}", net.suspected);
    println!("told-gone {}", net.gone);
    // Publishes one more fact, and waits until all nodes have it, for at most 5 s.
    let began = net.now;
    let number = |net: &Net| -> usize {
        net.nodes.iter().flatten().filter(|node| node.facts(net.now, Kind(3)).next().is_some()).count()
    };
    net.turn(0, Input::Publish { kind: Kind(3), bytes: vec![7; 8] });
    while number(&net) < size && net.now - began < 5 * SECOND {
        net.run(SECOND / 50);
    }
    println!("told-fact {}", (net.now - began) as f64 / SECOND as f64);
}

fn events(size: usize, round: Micros) {
    let mut net = Net::new(size, Transport::Connections, round);
    start_all(&mut net, "start");
    net.run(5 * SECOND);
    net.windows.clear();
    (net.suspected, net.gone) = (0, 0);
    let fail_and_restart = |net: &mut Net, what: &str, gone: Vec<usize>| {
        gone.iter().for_each(|at| net.kill(*at));
        println!("{what}-gone-known {}", net.settle(60));
        net.print(&format!("{what}-gone"));
        net.run(3 * SECOND);
        gone.iter().for_each(|at| net.start(*at));
        println!("{what}-back-known {}", net.settle(60));
        net.print(&format!("{what}-back"));
        net.run(5 * SECOND);
        println!("{what}-suspected {}", std::mem::take(&mut net.suspected));
        println!("{what}-held-gone {}", std::mem::take(&mut net.gone));
    };
    fail_and_restart(&mut net, "machine", vec![1]);
    // A rack is 1 in 25 nodes, a zone 1 in 8.
    fail_and_restart(&mut net, "rack", (0..size).filter(|at| at % 25 == 3).collect());
    fail_and_restart(&mut net, "zone", (0..size).filter(|at| at % 8 == 3).collect());
}

/// Isolates one node in three, a region, from all others for half a minute, and reconnects it.
fn regions(size: usize, round: Micros) {
    let mut net = Net::new(size, Transport::Connections, round);
    start_all(&mut net, "start");
    net.run(5 * SECOND);
    net.windows.clear();
    let (one, others): (Vec<usize>, Vec<usize>) = (0..size).partition(|at| at % 3 == 0);
    net.cut(&one, &others);
    (0..30).for_each(|_| net.run_second());
    net.print("apart");
    net.cut.clear();
    println!("back-known {}", net.settle(60));
    net.print("back");
}

fn run_child(mode: &str, size: usize) {
    match mode {
        "members-200ms" => members(size, Transport::Connections, SECOND / 5),
        "members-1s" => members(size, Transport::Connections, SECOND),
        "members-notes" => members(size, Transport::Notes, SECOND),
        "events" => events(size, SECOND / 5),
        "regions" => regions(size, SECOND / 5),
        _ => panic!("{mode}: members-200ms, members-1s, members-notes, events or regions"),
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).filter(|it| it != "--bench").collect();
    if let [role, mode, size] = &arguments[..] {
        if role == "one" {
            return run_child(mode, size.parse().expect("a size"));
        }
    }
    let modes = ["members-200ms", "members-1s", "members-notes", "events", "regions"];
    for mode in modes.iter().filter(|mode| arguments.is_empty() || arguments.iter().any(|it| it == *mode)) {
        let mut figures: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        for size in SIZES {
            let own = std::env::current_exe().expect("this program");
            let child_output =
                std::process::Command::new(own).args(["one", mode, &size.to_string()]).output();
            let child_output = child_output.expect("the child process runs");
            assert!(
                child_output.status.success(),
                "{mode} {size}: {}",
                String::from_utf8_lossy(&child_output.stderr)
            );
            for line in String::from_utf8_lossy(&child_output.stdout).lines() {
                println!("{mode} {size} {line}");
                let (name, value) = line.split_once(' ').expect("a name and a value");
                figures.entry(name.to_owned()).or_default().push(value.parse().expect("a number"));
            }
        }
        let command = format!("cargo bench -p lemoncleat-fleet --bench size -- {mode}");
        let series = figures.into_iter().map(|(name, measured)| Series {
            unit: unit(&name),
            size: "members",
            sizes: SIZES.iter().map(|size| *size as f64).collect(),
            name: format!("{mode}-{name}"),
            measured,
        });
        let about =
            "simulated network, delays 0.5 to 5 ms, nothing lost, one seed; processor is the cores' turns";
        record(&command, about, series.collect());
    }
}

fn unit(name: &str) -> &'static str {
    let last = name.rsplit('-').nth(1).unwrap_or_default();
    match last {
        _ if name.ends_with("known") || name.ends_with("fact") => "s",
        _ if name.ends_with("memory") => "bytes",
        "sent" | "received" if name.contains("messages") => "messages/s",
        "sent" | "received" | "both" => "bytes/s",
        "processor" => "us/s",
        _ => "count",
    }
}
