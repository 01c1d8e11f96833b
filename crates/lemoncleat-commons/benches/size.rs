//! Measures the load of 5 voters, placed as 2, 2 and 1 in three regions, by the number of followers that pull
//! from them: at rest, when an order is agreed, and when all followers start at once and need the snapshot.
//! The agreement runs its real state machines on a virtual clock. Delays are assumed to be 0.5 to 5 ms within
//! a region and 20 to 25 ms between two regions. The bytes of a message on the wire include its payload, the
//! overhead of the fleet and the carrier, and its answer.
//!
//! `cargo bench -p lemoncleat-commons --bench size`
//! writes `docs/capacity/slopes.json`. `CAPACITY_QUIET=yes` records that nothing else ran on the machine.

#[path = "../../lemoncleat-lab/src/capacity/record.rs"]
mod record;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use lemoncleat_agreement::{Follower, Found, Input, Output, Settings, Timing, Voter};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{MessageBuilder, MessageRef};
use lemoncleat_fleet::{Fleet, Member, MemberId, Transport};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use record::{record, Series, Spent};

const SECOND_US: i64 = 1_000_000;
const SIZES: [usize; 5] = [64, 128, 256, 512, 1_024];
const VOTERS: usize = 5;
const REGIONS: [usize; VOTERS] = [0, 0, 1, 1, 2];
/// Bytes of the agreed state: half of what can be transferred.
const STATE_BYTES: usize = 256 * 1024;
const HOST: &str = "node-0417.calls.example";
const REALM: &str = "calls.example";

/// Returns the overhead of a message in bytes, and the bytes of its answer.
fn overhead() -> (u64, u64) {
    let members: Vec<Member> =
        ["node-0001", "node-0002"].map(|it| Member { name: it.into(), zone: "z".into() }).to_vec();
    let settings = lemoncleat_fleet::Settings::new("node-0001", members, Transport::Connections);
    let mut fleet = Fleet::new(settings, 1_700_000_000, 1).expect("settings");
    let (mut out, to) = (Vec::new(), MemberId::of("node-0002"));
    fleet.handle(SECOND_US, lemoncleat_fleet::Input::Timeout, &mut out);
    fleet.handle(SECOND_US, lemoncleat_fleet::Input::Linked(to), &mut out);
    // Messages that carry the news of the start are sent first.
    for round in 2..60 {
        fleet.handle(round * SECOND_US / 10, lemoncleat_fleet::Input::Timeout, &mut out);
    }
    out.clear();
    // The header of a part's message is its kind and its length.
    let bytes = vec![0; 12];
    fleet.handle(6 * SECOND_US, lemoncleat_fleet::Input::Direct { to, bytes }, &mut out);
    let messages = out.iter().filter_map(|output| match output {
        lemoncleat_fleet::Output::Send { bytes, .. } => Some(bytes.len()),
        _ => None,
    });
    let fleet = messages.max().expect("a message") - 12 + 2;
    let request = MessageBuilder::request(d::CMD_FLEET, d::APP_NAS, false, 1, 1);
    let request = request.add_str(d::ORIGIN_HOST, HOST).add_str(d::ORIGIN_REALM, REALM);
    let request = request.add(d::FLEET_WORD, &[]).build();
    let answer = MessageBuilder::answer(&MessageRef::parse(&request).expect("a valid request"), 2001);
    let answer = answer.add_str(d::ORIGIN_HOST, HOST).add_str(d::ORIGIN_REALM, REALM).build();
    ((request.len() + fleet) as u64, answer.len() as u64)
}

#[derive(Clone, Copy, Default)]
struct Window {
    sent: u64,
    received: u64,
    messages_sent: u64,
    messages_received: u64,
    nanos: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Stored(usize, u64),
    Message(usize, usize, Vec<u8>),
}

enum Core {
    Voter(Box<Voter>),
    Follower(Box<Follower>),
}

/// A network of state machines. The voters come first; the number of a member is its index plus one.
struct Net {
    now: i64,
    cores: Vec<Core>,
    due: Vec<i64>,
    overhead: (u64, u64),
    window: Vec<Window>,
    /// The members that exchanged messages with each member in this second.
    contacts: Vec<BTreeSet<usize>>,
    decided: Vec<u64>,
    restored: usize,
    /// The time at which a member last learned of a decided command.
    last_decided_at: i64,
    leader: Option<usize>,
    queue: BinaryHeap<Reverse<(i64, u64, Event)>>,
    count: u64,
    rng: SmallRng,
}

impl Net {
    fn new(followers: usize) -> Net {
        let numbers: Vec<u64> = (1..=VOTERS as u64).collect();
        let voter = |own: u64| {
            let settings = Settings {
                own,
                voters: numbers.clone(),
                timing: Timing::default(),
                max_command: 16 * 1024,
                snapshot_every: 1_000,
            };
            Core::Voter(Box::new(Voter::new(settings, Found::new(own), own).expect("a voter")))
        };
        let mut net = Net {
            now: SECOND_US,
            cores: numbers.iter().copied().map(voter).collect(),
            due: Vec::new(),
            overhead: overhead(),
            window: vec![Window::default(); VOTERS + followers],
            contacts: vec![BTreeSet::new(); VOTERS + followers],
            decided: vec![0; VOTERS + followers],
            restored: 0,
            last_decided_at: 0,
            leader: None,
            queue: BinaryHeap::new(),
            count: 0,
            rng: SmallRng::seed_from_u64(1),
        };
        net.due = vec![i64::MAX; VOTERS];
        (0..VOTERS).for_each(|at| net.step(at, Input::Timeout));
        net
    }

    /// Adds a follower, which starts within a tenth of a second.
    fn start_follower(&mut self) {
        let own = self.cores.len() as u64 + 1;
        let voters: Vec<u64> = (1..=VOTERS as u64).collect();
        let follower = Follower::new(own, &voters, Timing::default(), own);
        self.cores.push(Core::Follower(Box::new(follower)));
        self.due.push(0);
        let first = self.rng.random_range(0..SECOND_US / 10);
        self.due[own as usize - 1] = self.now + first;
        self.push(first, Event::Wake(own as usize - 1));
    }

    fn push(&mut self, after: i64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((self.now + after, self.count, event)));
    }

    fn region(at: usize) -> usize {
        if at < VOTERS {
            REGIONS[at]
        } else {
            at % 3
        }
    }

    fn step(&mut self, at: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let began = Spent::now();
        let wake = match &mut self.cores[at] {
            Core::Voter(voter) => {
                voter.handle(self.now, input, &mut out);
                voter.wake()
            }
            Core::Follower(follower) => {
                follower.handle(self.now, input, &mut out);
                follower.wake()
            }
        };
        self.window[at].nanos += began.nanos();
        if let Some(wake) = wake {
            if wake != self.due[at] {
                self.due[at] = wake;
                self.push((wake - self.now).max(1), Event::Wake(at));
            }
        }
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    let to = to as usize - 1;
                    let size = bytes.len() as u64 + self.overhead.0;
                    let own = &mut self.window[at];
                    (own.sent, own.messages_sent) = (own.sent + size, own.messages_sent + 1);
                    own.received += self.overhead.1;
                    let region_delay = if Net::region(at) == Net::region(to) { 0 } else { 20_000 };
                    let delay = region_delay + self.rng.random_range(500..5_000);
                    self.push(delay, Event::Message(at, to, bytes));
                }
                Output::Store(batch) => self.push(2_000, Event::Stored(at, batch.number)),
                Output::Decided { .. } => {
                    self.decided[at] += 1;
                    self.last_decided_at = self.now;
                }
                Output::Restore { .. } => self.restored += 1,
                Output::TakeSnapshot { index } => {
                    self.step(at, Input::Snapshot { index, bytes: vec![7; STATE_BYTES] });
                }
                Output::Leader(leader) => {
                    if leader == Some(at as u64 + 1) {
                        self.leader = Some(at);
                    }
                }
                Output::Lost { .. } | Output::Notice(_) => {}
            }
        }
    }

    fn run(&mut self, span: i64) {
        let until = self.now + span;
        while self.queue.peek().is_some_and(|next| next.0 .0 <= until) {
            let Reverse((at, _, event)) = self.queue.pop().expect("peeked");
            self.now = at;
            match event {
                Event::Wake(at) if self.due[at] <= self.now => {
                    self.due[at] = i64::MAX;
                    self.step(at, Input::Timeout);
                }
                Event::Wake(_) => {}
                Event::Stored(at, batch) => self.step(at, Input::Stored(batch)),
                Event::Message(from, at, bytes) => {
                    let size = bytes.len() as u64 + self.overhead.0;
                    let own = &mut self.window[at];
                    (own.received, own.messages_received) = (own.received + size, own.messages_received + 1);
                    own.sent += self.overhead.1;
                    self.contacts[at].insert(from);
                    self.contacts[from].insert(at);
                    self.step(at, Input::Received { from: from as u64 + 1, bytes: &bytes });
                }
            }
        }
        self.now = until;
    }

    fn propose(&mut self, bytes: usize) {
        let leader = self.leader.expect("a leader");
        self.step(leader, Input::Propose { token: 0, command: vec![7; bytes] });
    }

    /// Runs for a number of seconds. Returns the means of voters and followers, and the maxima of their
    /// busiest seconds.
    fn measure(&mut self, seconds: usize) -> BTreeMap<&'static str, f64> {
        let (mut voters, mut followers, mut max_contacts) = (Vec::new(), Vec::new(), 0);
        for _ in 0..seconds {
            self.window.iter_mut().for_each(|window| *window = Window::default());
            self.contacts.iter_mut().for_each(BTreeSet::clear);
            self.run(SECOND_US);
            voters.extend_from_slice(&self.window[..VOTERS]);
            followers.extend_from_slice(&self.window[VOTERS..]);
            max_contacts =
                self.contacts[..VOTERS].iter().map(BTreeSet::len).max().unwrap_or(0).max(max_contacts);
        }
        let mean = |all: &[Window], of: fn(&Window) -> u64| {
            all.iter().map(of).sum::<u64>() as f64 / all.len() as f64
        };
        let max = |all: &[Window], of: fn(&Window) -> u64| all.iter().map(of).max().unwrap_or(0) as f64;
        let total: fn(&Window) -> u64 = |window| window.sent + window.received;
        BTreeMap::from([
            ("voter-wire-sent-mean", mean(&voters, |window| window.sent)),
            ("voter-wire-received-mean", mean(&voters, |window| window.received)),
            ("voter-wire-both-mean", mean(&voters, total)),
            ("voter-wire-both-most", max(&voters, total)),
            ("voter-wire-sent-most", max(&voters, |window| window.sent)),
            ("voter-messages-sent-mean", mean(&voters, |window| window.messages_sent)),
            ("voter-messages-received-mean", mean(&voters, |window| window.messages_received)),
            ("voter-processor-mean", mean(&voters, |window| window.nanos) / 1e3),
            ("voter-processor-most", max(&voters, |window| window.nanos) / 1e3),
            ("voter-connections", max_contacts as f64),
            ("follower-wire-both-mean", mean(&followers, total)),
            ("follower-wire-both-most", max(&followers, total)),
        ])
    }
}

fn main() {
    let mut results: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for size in SIZES {
        let mut record_value = |what: &str, value: f64| {
            println!("{size} {what} {value}");
            results.entry(format!("agreement-{what}")).or_default().push(value);
        };
        let mut net = Net::new(size);
        net.run(10 * SECOND_US);
        // The log is compacted, so that a member that starts now needs the snapshot.
        for _ in 0..1_200 {
            net.propose(100);
            net.run(SECOND_US / 50);
        }
        net.run(2 * SECOND_US);
        let agreed = net.decided[0];
        assert!(agreed >= 1_200, "{agreed} agreed");
        // All followers start at once.
        (0..size).for_each(|_| net.start_follower());
        for (name, value) in net.measure(1) {
            record_value(&format!("start-{name}"), value);
        }
        net.run(5 * SECOND_US);
        record_value("start-restored", net.restored as f64);
        for (name, value) in net.measure(10) {
            record_value(&format!("rest-{name}"), value);
        }
        // An order of 200 bytes, until all members have it.
        let before: u64 = net.decided[VOTERS..].iter().sum();
        net.propose(200);
        let began_order = net.now;
        for (name, value) in net.measure(1) {
            record_value(&format!("order-{name}"), value);
        }
        net.run(3 * SECOND_US);
        let after: u64 = net.decided[VOTERS..].iter().sum();
        assert_eq!(after, before + size as u64, "each follower learned of the order once");
        record_value("order-known", (net.last_decided_at - began_order) as f64 / SECOND_US as f64);
    }
    let series = results.into_iter().map(|(name, measured)| Series {
        unit: match name.as_str() {
            name if name.contains("-wire-") => "bytes/s",
            name if name.contains("-messages-") => "messages/s",
            name if name.contains("-processor-") => "us/s",
            name if name.ends_with("known") => "s",
            _ => "count",
        },
        size: "followers",
        sizes: SIZES.iter().map(|size| *size as f64).collect(),
        name,
        measured,
    });
    let about = "real cores, 5 voters as 2, 2, 1 over 3 regions 20 to 25 ms apart, tick 50 ms, state 256 KiB, disk 2 ms; \
        the fleet's and the carrier's own turns are not in the processor's time";
    record("cargo bench -p lemoncleat-commons --bench size", about, series.collect());
}
