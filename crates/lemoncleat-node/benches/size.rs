//! Measures the cost of a call by size: set-up (request to attempt, and answer to answer) and release,
//! through the node's core and through the module alone, by number of servers, number of services, calls per
//! second and depth. Each call is measured on its own; the median and the 99th percentile are reported. Calls
//! arrive evenly; times are processor time of the thread, for the cores alone. The figures by depth are the
//! distribution of the sum of that many set-ups, computed by convolution of the measured histogram.
//!
//! `cargo bench -p lemoncleat-node --bench size [-- servers services rate depth module]` writes
//! `docs/capacity/slopes.json`; `CAPACITY_QUIET=yes` states that nothing else ran on the machine.

#[path = "../../lemoncleat-lab/src/capacity/record.rs"]
mod record;

use std::collections::{BTreeMap, VecDeque};

use hdrhistogram::Histogram;
use lemoncleat::{
    Action, Availability, Call, CallId, Class, Controller, Event, Outcome, ServerListUpdate, Settings,
};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{MessageBuilder, MessageRef};
use lemoncleat_node::{ConnId, Input, ListEntry, ListNews, Node, NodeSettings, NumberingPlan, Output, Route};
use record::{record, Series, Spent};

/// How long a call stands, in microseconds.
const CALL_LENGTH_US: i64 = 8_000_000;
/// The interval between calls at 44 calls per second, in microseconds.
const CALM_INTERVAL_US: i64 = 1_000_000 / 44;

fn class(pool: Option<i64>) -> Class {
    let allowed = pool.map(|pool| vec![pool]);
    Class {
        aim: 1_500_000,
        deadline: 9_000_000,
        worth: 1.0,
        length: CALL_LENGTH_US,
        allowed,
        ..Class::default()
    }
}

fn module(classes: Vec<Class>) -> Settings {
    Settings {
        classes,
        release: 300_000,
        repeat: 400_000,
        max_attempts: 4,
        may_cancel: true,
        ..Settings::default()
    }
}

/// A node with the given number of servers for each of the services; each service has its own class and pool.
struct Bench {
    node: Node,
    now: i64,
    client: ConnId,
    services: usize,
    out: Vec<Output>,
    next: u32,
    standing: VecDeque<u32>,
}

fn capabilities(message: MessageBuilder, host: &str) -> Vec<u8> {
    message
        .add_str(d::ORIGIN_HOST, host)
        .add_str(d::ORIGIN_REALM, "bench")
        .add_u32(d::VENDOR_ID, 0)
        .add_str(d::PRODUCT_NAME, "bench")
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .build()
}

impl Bench {
    fn new(services: usize, each: usize) -> Bench {
        let mut plan = NumberingPlan::new();
        for service in 0..services {
            let route = Route { class: service, place: service as i64 };
            plan.add(&format!("351{service:03}"), route).expect("a prefix");
        }
        let pool = |service| (services > 1).then_some(service as i64);
        let classes = (0..services).map(|service| class(pool(service))).collect();
        let mut settings = NodeSettings::new("node.bench", "bench", module(classes), plan);
        settings.clients = vec!["client.bench".into()];
        settings.timing.duplicates = 1_000;
        settings.timing.watchdog = 3_600_000_000;
        let node = Node::new(settings, 1, 1).unwrap_or_else(|error| panic!("{error}"));
        let (out, standing) = (Vec::new(), VecDeque::new());
        let mut bench = Bench { node, now: 1_000_000, client: ConnId(1), services, out, next: 1, standing };
        let entries = (0..services * each).map(|at| ListEntry {
            host: format!("s{at}.bench").as_str().into(),
            address: ([127, 0, 0, 1], 1_000 + at as u16).into(),
            availability: Availability::Ready,
            started_ago: None,
            place: (at / each) as i64,
            zone: "z".into(),
            kind: "k".into(),
        });
        bench.input(Input::List(ListNews::Complete(entries.collect())));
        for output in std::mem::take(&mut bench.out) {
            let Output::Dial(peer, address) = output else { continue };
            let conn = ConnId(1_000 + u64::from(address.port()));
            bench.input(Input::Dialled(peer, conn));
            let cer = bench.sent(conn);
            let cer = MessageRef::parse(&cer).unwrap_or_else(|error| panic!("{error}"));
            let host = format!("s{}.bench", address.port() - 1_000);
            let cea = capabilities(MessageBuilder::answer(&cer, 2001), &host);
            bench.input(Input::Bytes(conn, &cea));
        }
        bench.input(Input::Accepted(ConnId(1)));
        let cer = capabilities(MessageBuilder::request(d::CMD_CAPABILITIES, 0, false, 1, 1), "client.bench");
        bench.input(Input::Bytes(ConnId(1), &cer));
        bench.out.clear();
        bench
    }

    fn input(&mut self, input: Input<'_>) {
        self.node.handle(self.now, input, &mut self.out);
    }

    fn timed(&mut self, input: Input<'_>) -> u64 {
        let began = Spent::now();
        self.node.handle(self.now, input, &mut self.out);
        began.nanos()
    }

    /// Returns the last message sent on a connection.
    fn sent(&mut self, conn: ConnId) -> Vec<u8> {
        let mut found = Vec::new();
        for output in std::mem::take(&mut self.out) {
            if let Output::Send(to, bytes) = output {
                self.input(Input::Written(to, bytes.len()));
                if to == conn {
                    found = bytes;
                }
            }
        }
        found
    }

    /// Establishes a call; returns the time of its set-up in nanoseconds.
    fn set_up(&mut self) -> u64 {
        self.next += 1;
        let (id, service) = (self.next, self.next as usize % self.services);
        let request = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, id, id)
            .add_str(d::SESSION_ID, &format!("client.bench;1;{id}"))
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
            .add_str(d::ORIGIN_HOST, "client.bench")
            .add_str(d::ORIGIN_REALM, "bench")
            .add_str(d::DESTINATION_REALM, "bench")
            .add_u32(d::AUTH_REQUEST_TYPE, 1)
            .add_str(d::CALLED_STATION_ID, &format!("351{service:03}000"))
            .build();
        self.out.clear();
        let first = self.timed(Input::Bytes(self.client, &request));
        let attempt = self.out.drain(..).find_map(|output| match output {
            Output::Send(conn, bytes) if conn != ConnId(1) => Some((conn, bytes)),
            _ => None,
        });
        let (conn, bytes) = attempt.expect("an attempt");
        self.input(Input::Written(conn, bytes.len()));
        let attempt = MessageRef::parse(&bytes).unwrap_or_else(|error| panic!("{error}"));
        let answer = MessageBuilder::answer(&attempt, 2001)
            .add_str(d::ORIGIN_HOST, "s.bench")
            .add_str(d::ORIGIN_REALM, "bench")
            .build();
        self.now += 200;
        let second = self.timed(Input::Bytes(conn, &answer));
        assert!(!self.sent(self.client).is_empty(), "call {id} has no answer");
        self.standing.push_back(id);
        first + second
    }

    /// Releases the oldest call; returns the time in nanoseconds.
    fn release(&mut self) -> u64 {
        let Some(id) = self.standing.pop_front() else { return 0 };
        let request = MessageBuilder::request(d::CMD_SESSION_TERMINATION, d::APP_NAS, true, id, id)
            .add_str(d::SESSION_ID, &format!("client.bench;1;{id}"))
            .add_str(d::ORIGIN_HOST, "client.bench")
            .add_str(d::ORIGIN_REALM, "bench")
            .add_str(d::DESTINATION_REALM, "bench")
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
            .add_u32(d::TERMINATION_CAUSE, 1)
            .build();
        let mut spent = self.timed(Input::Bytes(self.client, &request));
        for output in std::mem::take(&mut self.out) {
            let Output::Send(conn, bytes) = output else { continue };
            self.input(Input::Written(conn, bytes.len()));
            if let (true, Ok(request)) = (conn != self.client, MessageRef::parse(&bytes)) {
                let answer = MessageBuilder::answer(&request, 2001).build();
                spent += self.timed(Input::Bytes(conn, &answer));
            }
        }
        spent
    }
}

struct Cost {
    set_up: Histogram<u64>,
    /// Time for set-up, release and timers per call, in microseconds.
    whole: f64,
}

/// Runs calls at a fixed interval, each standing for `CALL_LENGTH_US`, and measures this many once the number
/// of standing calls is stable.
fn run_calls(bench: &mut Bench, pause: i64, calls: usize) -> Cost {
    let standing = (CALL_LENGTH_US / pause) as usize;
    let mut set_up = Histogram::<u64>::new(3).expect("a histogram");
    let mut whole = 0;
    for call in 0..standing + calls {
        let due = bench.now + pause;
        if bench.standing.len() >= standing {
            let spent = bench.release();
            whole += if call >= standing { spent } else { 0 };
        }
        let spent = bench.set_up();
        if call >= standing {
            set_up.record(spent).expect("in range");
            whole += spent;
        }
        while let Some(wake) = bench.node.wake().filter(|wake| *wake <= due) {
            bench.now = wake.max(bench.now);
            let spent = bench.timed(Input::Timeout);
            whole += if call >= standing { spent } else { 0 };
            bench.sent(ConnId(u64::MAX));
        }
        bench.now = due.max(bench.now);
    }
    Cost { set_up, whole: whole as f64 / calls as f64 / 1e3 }
}

/// Drains the actions and keeps the timers among them, ordered by time.
fn keep_timers(
    now: i64,
    number: &mut u64,
    actions: &mut Vec<Action>,
    timers: &mut BTreeMap<(i64, u64), u64>,
) {
    for action in actions.drain(..) {
        if let Action::Timer { token, delay } = action {
            *number += 1;
            timers.insert((now + delay, *number), token);
        }
    }
}

/// Measures the module alone: the time of choosing a server and processing the answer, in nanoseconds.
fn run_module(servers: usize, calls: usize) -> Histogram<u64> {
    let mut module = Controller::new(module(vec![class(None)]), 1).expect("settings");
    let member = |at: usize| lemoncleat::Member {
        server: lemoncleat::ServerId(at as u32),
        availability: Availability::Ready,
        started_at: None,
        place: 0,
        zone: 0,
        kind: 0,
    };
    let (mut now, mut actions) = (1_000_000, Vec::new());
    let mut timers = BTreeMap::new();
    module.handle(
        now,
        Event::Members(ServerListUpdate::Complete((0..servers).map(member).collect())),
        &mut actions,
    );
    let mut histogram = Histogram::<u64>::new(3).expect("a histogram");
    let mut standing = VecDeque::new();
    let keep = (CALL_LENGTH_US / CALM_INTERVAL_US) as usize;
    let mut number = 0_u64;
    for id in 0..(keep + calls) as u64 {
        now += CALM_INTERVAL_US;
        keep_timers(now, &mut number, &mut actions, &mut timers);
        while let Some(((at, _), token)) = timers.first_key_value().map(|(at, token)| (*at, *token)) {
            if at > now {
                break;
            }
            timers.pop_first();
            module.handle(at, Event::Timer(token), &mut actions);
            keep_timers(at, &mut number, &mut actions, &mut timers);
        }
        let call = Call { id: CallId(id), patience: 9_000_000, width: 1.0, ..Call::default() };
        let began = Spent::now();
        module.handle(now, Event::Call(call), &mut actions);
        let first = began.nanos();
        let server = actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        keep_timers(now, &mut number, &mut actions, &mut timers);
        let server = server.unwrap_or_else(|| panic!("call {id} is not sent at once"));
        let began = Spent::now();
        let call = CallId(id);
        module.handle(now + 200, Event::Started { call, attempt: 0, server, lag: 200 }, &mut actions);
        let spent = first + began.nanos();
        if id as usize >= keep {
            histogram.record(spent).expect("in range");
        }
        standing.push_back((call, server));
        if standing.len() > keep {
            let (call, server) = standing.pop_front().expect("one");
            let (outcome, reason, report) = (Outcome::Ok, Default::default(), Default::default());
            let (attempt, lag, closed) = (0, CALL_LENGTH_US, true);
            let ended = Event::Ended { call, attempt, server, outcome, lag, closed, reason, report };
            module.handle(now + 300, ended, &mut actions);
        }
    }
    histogram
}

/// Returns the quantile of the sum of independent draws from a histogram, in microseconds.
fn sum_quantile(histogram: &Histogram<u64>, draws: usize, quantile: f64) -> f64 {
    // Bins of 1/40 of the median, up to the 99.99th percentile seen; the mass beyond it is counted in the
    // last bin.
    let width = (histogram.value_at_quantile(0.5) as f64 / 40.0).max(1.0);
    let last_bin = ((histogram.value_at_quantile(0.9999) as f64 / width) as usize + 1).min(4_000);
    let mut one = vec![0.0; last_bin + 1];
    for value in histogram.iter_recorded() {
        let bin = ((value.value_iterated_to() as f64 / width).round() as usize).min(last_bin);
        one[bin] += value.count_at_value() as f64 / histogram.len() as f64;
    }
    let filled: Vec<(usize, f64)> =
        one.iter().copied().enumerate().filter(|(_, share)| *share > 0.0).collect();
    let mut sum = vec![1.0];
    for _ in 0..draws {
        let mut next = vec![0.0; sum.len() + last_bin];
        for (at, share) in sum.iter().enumerate().filter(|(_, share)| **share > 1e-12) {
            for (more, of) in &filled {
                next[at + more] += share * of;
            }
        }
        sum = next;
    }
    let mut remaining = quantile;
    let bin = sum.iter().position(|share| {
        remaining -= share;
        remaining <= 0.0
    });
    bin.unwrap_or(sum.len()) as f64 * width / 1e3
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).filter(|it| it != "--bench").collect();
    let wanted = |what: &str| arguments.is_empty() || arguments.iter().any(|it| it == what);
    let quantile = |histogram: &Histogram<u64>, of: f64| histogram.value_at_quantile(of) as f64 / 1e3;
    let about = "one thread, simulated servers; processor time of the cores alone";
    let finish = |what: &str, size: &'static str, sizes: &[usize], found: BTreeMap<&str, Vec<f64>>| {
        let sizes: Vec<f64> = sizes.iter().map(|size| *size as f64).collect();
        let series = found.into_iter().map(|(name, measured)| {
            println!("{what} {name} {sizes:?} {measured:.1?}");
            let name = format!("call-{what}-{name}");
            let unit = if name.ends_with("processor") { "us/s" } else { "us" };
            Series { name, unit, size, sizes: sizes.clone(), measured }
        });
        let mode = what.split('-').next().unwrap_or(what);
        let command = format!("cargo bench -p lemoncleat-node --bench size -- {mode}");
        record(&command, about, series.collect());
    };
    let calls = |servers: usize| (400_000 / servers).clamp(1_000, 5_000);

    if wanted("servers") {
        let (sizes, mut found) = ([64, 128, 256, 512, 1_024], BTreeMap::<&str, Vec<f64>>::new());
        for size in sizes {
            let cost = run_calls(&mut Bench::new(1, size), CALM_INTERVAL_US, calls(size));
            found.entry("p50").or_default().push(quantile(&cost.set_up, 0.5));
            found.entry("p99").or_default().push(quantile(&cost.set_up, 0.99));
            found.entry("whole").or_default().push(cost.whole);
        }
        finish("servers", "servers known", &sizes, found);
    }
    if wanted("module") {
        let (sizes, mut found) = ([64, 128, 256, 512, 1_024], BTreeMap::<&str, Vec<f64>>::new());
        for size in sizes {
            let histogram = run_module(size, calls(size));
            found.entry("p50").or_default().push(quantile(&histogram, 0.5));
            found.entry("p99").or_default().push(quantile(&histogram, 0.99));
        }
        finish("module", "servers known", &sizes, found);
    }
    if wanted("services") {
        let (sizes, mut found) = ([6, 12, 23, 46, 91], BTreeMap::<&str, Vec<f64>>::new());
        for size in sizes {
            let cost = run_calls(&mut Bench::new(size, 11), CALM_INTERVAL_US, calls(size * 11));
            found.entry("p50").or_default().push(quantile(&cost.set_up, 0.5));
            found.entry("p99").or_default().push(quantile(&cost.set_up, 0.99));
            found.entry("whole").or_default().push(cost.whole);
        }
        finish("services", "services of 11 servers", &sizes, found);
    }
    if wanted("rate") {
        let (sizes, mut found) = ([80, 160, 320, 640, 1_280], BTreeMap::<&str, Vec<f64>>::new());
        for size in sizes {
            let cost = run_calls(&mut Bench::new(1, 11), 1_000_000 / size as i64, 10_000);
            found.entry("p50").or_default().push(quantile(&cost.set_up, 0.5));
            found.entry("p99").or_default().push(quantile(&cost.set_up, 0.99));
            found.entry("processor").or_default().push(cost.whole * size as f64);
        }
        finish("rate", "calls a second", &sizes, found);
    }
    if wanted("depth") {
        let sizes = [2, 4, 8, 16, 29];
        for (servers, what) in [(11, "depth-11"), (60, "depth-60"), (1_000, "depth-1000")] {
            let cost = run_calls(&mut Bench::new(1, servers), CALM_INTERVAL_US, calls(servers).max(2_000));
            let mut found = BTreeMap::<&str, Vec<f64>>::new();
            for size in sizes {
                found.entry("p50").or_default().push(sum_quantile(&cost.set_up, size, 0.5));
                found.entry("p99").or_default().push(sum_quantile(&cost.set_up, size, 0.99));
            }
            finish(what, "hops", &sizes, found);
        }
    }
}
