//! What 5 voters, placed as 2, 2 and 1 over three regions, carry by the number of followers that pull from them: at
//! rest, when an order is agreed, and when all followers start at once and need the snapshot. The cores of the
//! agreement are the real ones, on a virtual clock; 0.5 to 5 ms within a region, 20 to 25 ms between two (assumed).
//! A word's bytes on the wire are the core's, what the fleet and the carrier put around it, and its answer.
//!
//! `cargo bench -p lemoncleat-commons --bench size`
//! writes `docs/capacity/slopes.json`; `CAPACITY_QUIET=yes` says that nothing else ran on the machine.

#[path = "../../lemoncleat-lab/src/capacity/record.rs"]
mod record;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use lemoncleat_agreement::{Follower, Found, Input, Output, Settings, Timing, Voter};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{MessageBuilder, MessageRef};
use lemoncleat_fleet::{Carrier, Fleet, Member, MemberId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use record::{record, Series, Spent};

const S: i64 = 1_000_000;
const SIZES: [usize; 5] = [64, 128, 256, 512, 1_024];
const VOTERS: usize = 5;
const REGIONS: [usize; VOTERS] = [0, 0, 1, 1, 2];
/// Bytes of the agreed state: half of what can travel.
const STATE: usize = 256 * 1024;
const HOST: &str = "node-0417.calls.example";
const REALM: &str = "calls.example";

/// Bytes beside the core's own: of a word and of its answer.
fn around() -> (u64, u64) {
    let members: Vec<Member> =
        ["node-0001", "node-0002"].map(|it| Member { name: it.into(), zone: "z".into() }).to_vec();
    let settings = lemoncleat_fleet::Settings::new("node-0001", members, Carrier::Connections);
    let mut fleet = Fleet::new(settings, 1_700_000_000, 1).expect("settings");
    let (mut out, to) = (Vec::new(), MemberId::of("node-0002"));
    fleet.handle(S, lemoncleat_fleet::Input::Timeout, &mut out);
    fleet.handle(S, lemoncleat_fleet::Input::Linked(to), &mut out);
    // What the news of a start rides on goes first.
    for round in 2..60 {
        fleet.handle(round * S / 10, lemoncleat_fleet::Input::Timeout, &mut out);
    }
    out.clear();
    // An errand's own head is its sort and its length.
    let bytes = vec![0; 12];
    fleet.handle(6 * S, lemoncleat_fleet::Input::Direct { to, bytes }, &mut out);
    let words = out.iter().filter_map(|output| match output {
        lemoncleat_fleet::Output::Tell { bytes, .. } => Some(bytes.len()),
        _ => None,
    });
    let fleet = words.max().expect("a word") - 12 + 2;
    let request = MessageBuilder::request(d::CMD_FLEET, d::APP_NAS, false, 1, 1);
    let request = request.add_str(d::ORIGIN_HOST, HOST).add_str(d::ORIGIN_REALM, REALM);
    let request = request.add(d::FLEET_WORD, &[]).build();
    let answer = MessageBuilder::answer(&MessageRef::parse(&request).expect("ours"), 2001);
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

/// Cores by place: the voters first. A core's number is its place and one.
struct Net {
    now: i64,
    cores: Vec<Core>,
    due: Vec<i64>,
    around: (u64, u64),
    window: Vec<Window>,
    /// Who spoke with each voter in this second.
    spoke: Vec<BTreeSet<usize>>,
    decided: Vec<u64>,
    restored: usize,
    /// When anybody learned last of a command.
    last: i64,
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
            now: S,
            cores: numbers.iter().copied().map(voter).collect(),
            due: Vec::new(),
            around: around(),
            window: vec![Window::default(); VOTERS + followers],
            spoke: vec![BTreeSet::new(); VOTERS + followers],
            decided: vec![0; VOTERS + followers],
            restored: 0,
            last: 0,
            leader: None,
            queue: BinaryHeap::new(),
            count: 0,
            rng: SmallRng::seed_from_u64(1),
        };
        net.due = vec![i64::MAX; VOTERS];
        (0..VOTERS).for_each(|at| net.turn(at, Input::Timeout));
        net
    }

    /// A follower more; it begins within the next tenth of a second.
    fn follow(&mut self) {
        let own = self.cores.len() as u64 + 1;
        let voters: Vec<u64> = (1..=VOTERS as u64).collect();
        let follower = Follower::new(own, &voters, Timing::default(), own);
        self.cores.push(Core::Follower(Box::new(follower)));
        self.due.push(0);
        let first = self.rng.random_range(0..S / 10);
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

    fn turn(&mut self, at: usize, input: Input<'_>) {
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
                Output::Tell { to, bytes } => {
                    let to = to as usize - 1;
                    let size = bytes.len() as u64 + self.around.0;
                    let mine = &mut self.window[at];
                    (mine.sent, mine.messages_sent) = (mine.sent + size, mine.messages_sent + 1);
                    mine.received += self.around.1;
                    let far = if Net::region(at) == Net::region(to) { 0 } else { 20_000 };
                    let delay = far + self.rng.random_range(500..5_000);
                    self.push(delay, Event::Message(at, to, bytes));
                }
                Output::Store(batch) => self.push(2_000, Event::Stored(at, batch.number)),
                Output::Decided { .. } => {
                    self.decided[at] += 1;
                    self.last = self.now;
                }
                Output::Restore { .. } => self.restored += 1,
                Output::TakeSnapshot { index } => {
                    self.turn(at, Input::Snapshot { index, bytes: vec![7; STATE] });
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
                    self.turn(at, Input::Timeout);
                }
                Event::Wake(_) => {}
                Event::Stored(at, batch) => self.turn(at, Input::Stored(batch)),
                Event::Message(from, at, bytes) => {
                    let size = bytes.len() as u64 + self.around.0;
                    let mine = &mut self.window[at];
                    (mine.received, mine.messages_received) =
                        (mine.received + size, mine.messages_received + 1);
                    mine.sent += self.around.1;
                    self.spoke[at].insert(from);
                    self.spoke[from].insert(at);
                    self.turn(at, Input::Heard { from: from as u64 + 1, bytes: &bytes });
                }
            }
        }
        self.now = until;
    }

    fn propose(&mut self, bytes: usize) {
        let leader = self.leader.expect("a leader");
        self.turn(leader, Input::Propose { token: 0, command: vec![7; bytes] });
    }

    /// Runs so many seconds; the means of a voter and the busiest second of any, and of followers.
    fn measure(&mut self, seconds: usize) -> BTreeMap<&'static str, f64> {
        let (mut voters, mut followers, mut spoken) = (Vec::new(), Vec::new(), 0);
        for _ in 0..seconds {
            self.window.iter_mut().for_each(|window| *window = Window::default());
            self.spoke.iter_mut().for_each(BTreeSet::clear);
            self.run(S);
            voters.extend_from_slice(&self.window[..VOTERS]);
            followers.extend_from_slice(&self.window[VOTERS..]);
            spoken = self.spoke[..VOTERS].iter().map(BTreeSet::len).max().unwrap_or(0).max(spoken);
        }
        let mean = |all: &[Window], of: fn(&Window) -> u64| {
            all.iter().map(of).sum::<u64>() as f64 / all.len() as f64
        };
        let most = |all: &[Window], of: fn(&Window) -> u64| all.iter().map(of).max().unwrap_or(0) as f64;
        let both: fn(&Window) -> u64 = |window| window.sent + window.received;
        BTreeMap::from([
            ("voter-wire-sent-mean", mean(&voters, |window| window.sent)),
            ("voter-wire-received-mean", mean(&voters, |window| window.received)),
            ("voter-wire-both-mean", mean(&voters, both)),
            ("voter-wire-both-most", most(&voters, both)),
            ("voter-wire-sent-most", most(&voters, |window| window.sent)),
            ("voter-messages-sent-mean", mean(&voters, |window| window.messages_sent)),
            ("voter-messages-received-mean", mean(&voters, |window| window.messages_received)),
            ("voter-processor-mean", mean(&voters, |window| window.nanos) / 1e3),
            ("voter-processor-most", most(&voters, |window| window.nanos) / 1e3),
            ("voter-connections", spoken as f64),
            ("follower-wire-both-mean", mean(&followers, both)),
            ("follower-wire-both-most", most(&followers, both)),
        ])
    }
}

fn main() {
    let mut found: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for size in SIZES {
        let mut put = |what: &str, value: f64| {
            println!("{size} {what} {value}");
            found.entry(format!("agreement-{what}")).or_default().push(value);
        };
        let mut net = Net::new(size);
        net.run(10 * S);
        // The log is cut, so that whoever starts now needs the snapshot.
        for _ in 0..1_200 {
            net.propose(100);
            net.run(S / 50);
        }
        net.run(2 * S);
        let agreed = net.decided[0];
        assert!(agreed >= 1_200, "{agreed} agreed");
        // All followers start at once.
        (0..size).for_each(|_| net.follow());
        for (name, value) in net.measure(1) {
            put(&format!("start-{name}"), value);
        }
        net.run(5 * S);
        put("start-restored", net.restored as f64);
        for (name, value) in net.measure(10) {
            put(&format!("rest-{name}"), value);
        }
        // An order of 200 bytes, until all have it.
        let before: u64 = net.decided[VOTERS..].iter().sum();
        net.propose(200);
        let began_order = net.now;
        for (name, value) in net.measure(1) {
            put(&format!("order-{name}"), value);
        }
        net.run(3 * S);
        let after: u64 = net.decided[VOTERS..].iter().sum();
        assert_eq!(after, before + size as u64, "each follower learned of the order once");
        put("order-known", (net.last - began_order) as f64 / S as f64);
    }
    let series = found.into_iter().map(|(name, measured)| Series {
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
