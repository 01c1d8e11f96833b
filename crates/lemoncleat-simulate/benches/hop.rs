//! Measures the latency that one hop adds in the node's core and its module, without sockets: both turns of a
//! successful set-up (request to attempt, answer to answer), with calls paced in real time and 11 servers.
//! From this it computes the latency of 29 hops. Prints JSON.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lemoncleat::{Availability, Class, Settings};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{MessageBuilder, MessageRef};
use lemoncleat_node::{ConnId, Input, ListEntry, ListNews, Node, NodeSettings, NumberingPlan, Output, Route};
use lemoncleat_simulate::chain::chain_latency;
use serde_json::json;

const SERVERS: usize = 11;
const HOPS: u32 = 29;
/// Latency that 29 hops may add, in microseconds.
const TARGET_US: f64 = 2_000.0;
const CLIENT_CONN: ConnId = ConnId(1);

struct Hop {
    node: Node,
    start: Instant,
    out: Vec<Output>,
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

impl Hop {
    fn new() -> Hop {
        let class =
            Class { aim: 1_500_000, deadline: 9_000_000, worth: 1.0, length: 8_000_000, ..Class::default() };
        let module = Settings {
            classes: vec![class],
            release: 300_000,
            repeat: 400_000,
            max_attempts: 4,
            may_cancel: true,
            ..Settings::default()
        };
        let mut plan = NumberingPlan::new();
        for place in 0..SERVERS {
            plan.add(&format!("351{place:03}"), Route { class: 0, place: place as i64 }).unwrap_or_default();
        }
        let mut settings = NodeSettings::new("node.bench", "bench", module, plan);
        settings.clients = vec!["client.bench".into()];
        settings.timing.duplicates = 1_000;
        settings.timing.watchdog = 3_600_000_000;
        let node = Node::new(settings, 1, 1).unwrap_or_else(|error| panic!("{error}"));
        let mut hop = Hop { node, start: Instant::now(), out: Vec::new() };
        let entries = (0..SERVERS).map(|place| ListEntry {
            host: format!("s{place}.bench").as_str().into(),
            address: ([127, 0, 0, 1], 1_000 + place as u16).into(),
            availability: Availability::Ready,
            started_ago: None,
            place: place as i64,
            zone: "z".into(),
            kind: "k".into(),
        });
        hop.input(Input::List(ListNews::Complete(entries.collect())));
        for output in std::mem::take(&mut hop.out) {
            let Output::Dial(peer, address) = output else { continue };
            let conn = ConnId(1_000 + u64::from(address.port()));
            hop.input(Input::Dialled(peer, conn));
            let sent = hop.sent();
            let Some((_, cer)) = sent.iter().find(|(to, _)| *to == conn) else { continue };
            let cer = MessageRef::parse(cer).unwrap_or_else(|error| panic!("{error}"));
            let host = format!("s{}.bench", address.port() - 1_000);
            hop.input(Input::Bytes(conn, &capabilities(MessageBuilder::answer(&cer, 2001), &host)));
        }
        hop.input(Input::Accepted(CLIENT_CONN));
        let cer = capabilities(MessageBuilder::request(d::CMD_CAPABILITIES, 0, false, 1, 1), "client.bench");
        hop.input(Input::Bytes(CLIENT_CONN, &cer));
        hop.sent();
        hop
    }

    fn now(&self) -> i64 {
        1_000_000 + self.start.elapsed().as_micros() as i64
    }

    fn input(&mut self, input: Input<'_>) {
        self.node.handle(self.now(), input, &mut self.out);
    }

    /// Returns what was sent, all of it reported as written at once.
    fn sent(&mut self) -> Vec<(ConnId, Vec<u8>)> {
        let now = self.now();
        let mut sent = Vec::new();
        for output in std::mem::take(&mut self.out) {
            if let Output::Send(to, bytes) = output {
                self.node.handle(now, Input::Written(to, bytes.len()), &mut Vec::new());
                sent.push((to, bytes));
            }
        }
        sent
    }

    fn message(&self, command: u32, id: u32) -> MessageBuilder {
        MessageBuilder::request(command, d::APP_NAS, true, id, id)
            .add_str(d::SESSION_ID, &format!("client.bench;1;{id}"))
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
            .add_str(d::ORIGIN_HOST, "client.bench")
            .add_str(d::ORIGIN_REALM, "bench")
            .add_str(d::DESTINATION_REALM, "bench")
    }

    /// Sets up and releases a call; returns the nanoseconds of the two turns of its set-up.
    fn set_up_and_release(&mut self, id: u32) -> Option<u64> {
        let request = self
            .message(d::CMD_AA, id)
            .add_u32(d::AUTH_REQUEST_TYPE, 1)
            .add_str(d::CALLED_STATION_ID, &format!("351{:03}000", id as usize % SERVERS))
            .build();
        let begun = Instant::now();
        self.input(Input::Bytes(CLIENT_CONN, &request));
        let first = begun.elapsed();
        let sent = self.sent();
        let (conn, bytes) = sent.iter().find(|(to, _)| *to != CLIENT_CONN)?;
        let attempt = MessageRef::parse(bytes).ok()?;
        let answer = MessageBuilder::answer(&attempt, 2001)
            .add_str(d::ORIGIN_HOST, "s.bench")
            .add_str(d::ORIGIN_REALM, "bench")
            .build();
        let begun = Instant::now();
        self.input(Input::Bytes(*conn, &answer));
        let second = begun.elapsed();
        let answered = self.sent().iter().any(|(to, _)| *to == CLIENT_CONN);
        let release = self.message(d::CMD_SESSION_TERMINATION, id).add_u32(d::TERMINATION_CAUSE, 1).build();
        self.input(Input::Bytes(CLIENT_CONN, &release));
        for (to, bytes) in self.sent() {
            if to != CLIENT_CONN {
                if let Ok(request) = MessageRef::parse(&bytes) {
                    self.input(Input::Bytes(to, &MessageBuilder::answer(&request, 2001).build()));
                }
            }
        }
        self.sent();
        answered.then_some((first + second).as_nanos() as u64)
    }
}

/// Runs calls at a fixed rate, with the node's own timers in between; returns the latencies and the number of
/// failed calls.
fn run_paced(rate: f64, span: Duration) -> (Histogram<u64>, u32) {
    let mut hop = Hop::new();
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { panic!("three digits") };
    let (mut id, mut failed) = (1, 0);
    while hop.start.elapsed() < span {
        id += 1;
        let due = Duration::from_secs_f64(f64::from(id - 1) / rate);
        std::thread::sleep(due.saturating_sub(hop.start.elapsed()));
        if hop.node.wake().is_some_and(|wake| wake <= hop.now()) {
            hop.input(Input::Timeout);
            hop.sent();
        }
        match hop.set_up_and_release(id) {
            Some(took) => histogram.record(took).unwrap_or_default(),
            None => failed += 1,
        }
    }
    (histogram, failed)
}

fn main() {
    let seconds =
        |name: &str, default| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default);
    let runs = [(44.0, seconds("HOP_SLOW_SECONDS", 60)), (1_276.0, seconds("HOP_FAST_SECONDS", 20))];
    let rows: Vec<_> = runs
        .iter()
        .map(|&(rate, span)| {
            let (histogram, failed) = run_paced(rate, Duration::from_secs(span));
            let counts: Vec<_> = histogram
                .iter_recorded()
                .map(|one| (one.value_iterated_to(), one.count_at_value()))
                .collect();
            let latency = chain_latency(&counts, HOPS, 1_000, TARGET_US);
            json!({
                "calls_per_s": rate, "servers": SERVERS, "samples": histogram.len(), "not_stood": failed,
                "slowest_us": histogram.max() as f64 / 1e3, "sum": latency, "target_us": TARGET_US,
            })
        })
        .collect();
    println!("{}", json!(rows));
}
