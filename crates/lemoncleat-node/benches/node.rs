//! Measures the core without sockets: the cost of a whole call (request, attempt, answer, release), by
//! standing calls and by servers, and the memory of a standing call.

use std::hint::black_box;
use std::time::Instant;

use lemoncleat::{Availability, Class, Settings};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{FrameReader, MessageBuilder, MessageRef};
use lemoncleat_node::{ConnId, Input, ListEntry, ListNews, Node, NodeSettings, NumberingPlan, Output, Route};

struct Bench {
    node: Node,
    now: i64,
    servers: Vec<ConnId>,
    client: ConnId,
    out: Vec<Output>,
    next: u32,
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
    fn new(servers: usize) -> Bench {
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
        for place in 0..servers {
            let route = Route { class: 0, place: place as i64 };
            plan.add(&format!("351{place:03}"), route).unwrap_or_default();
        }
        let mut settings = NodeSettings::new("node.bench", "bench", module, plan);
        settings.clients = vec!["client.bench".into()];
        // Short, so that the memory measured is that of standing calls, not of answers kept for repeats.
        settings.timing.duplicates = 1_000;
        settings.timing.watchdog = 3_600_000_000;
        let node = Node::new(settings, 1, 1).unwrap_or_else(|error| panic!("{error}"));
        let mut bench =
            Bench { node, now: 1_000_000, servers: Vec::new(), client: ConnId(1), out: Vec::new(), next: 1 };
        let entries = (0..servers).map(|place| ListEntry {
            host: format!("s{place}.bench").as_str().into(),
            address: ([127, 0, 0, 1], 1_000 + place as u16).into(),
            availability: Availability::Ready,
            started_ago: None,
            place: place as i64,
            zone: "z".into(),
            kind: "k".into(),
        });
        bench.input(Input::List(ListNews::Complete(entries.collect())));
        let dials: Vec<_> = std::mem::take(&mut bench.out);
        for output in dials {
            let Output::Dial(peer, address) = output else { continue };
            let conn = ConnId(1_000 + u64::from(address.port()));
            bench.input(Input::Dialled(peer, conn));
            let cer = bench.sent(conn);
            let cer = MessageRef::parse(&cer).unwrap_or_else(|error| panic!("{error}"));
            let host = format!("s{}.bench", address.port() - 1_000);
            let cea = capabilities(MessageBuilder::answer(&cer, 2001), &host);
            bench.input(Input::Bytes(conn, &cea));
            bench.servers.push(conn);
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

    /// Returns the last message sent on a connection.
    fn sent(&mut self, conn: ConnId) -> Vec<u8> {
        let mut found = Vec::new();
        for output in self.out.drain(..) {
            if let Output::Send(to, bytes) = output {
                self.node.handle(self.now, Input::Written(to, bytes.len()), &mut Vec::new());
                if to == conn {
                    found = bytes;
                }
            }
        }
        found
    }

    fn request(&self, id: u32) -> Vec<u8> {
        let place = id as usize % self.servers.len();
        MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, id, id)
            .add_str(d::SESSION_ID, &format!("client.bench;1;{id}"))
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
            .add_str(d::ORIGIN_HOST, "client.bench")
            .add_str(d::ORIGIN_REALM, "bench")
            .add_str(d::DESTINATION_REALM, "bench")
            .add_u32(d::AUTH_REQUEST_TYPE, 1)
            .add_str(d::CALLED_STATION_ID, &format!("351{place:03}000"))
            .build()
    }

    /// Sets up one call; returns whether it was established.
    fn set_up(&mut self, id: u32) -> bool {
        self.now += 1_200;
        let request = self.request(id);
        self.out.clear();
        self.input(Input::Bytes(self.client, &request));
        let attempt = self.out.drain(..).find_map(|output| match output {
            Output::Send(conn, bytes) if conn != ConnId(1) => Some((conn, bytes)),
            _ => None,
        });
        let Some((conn, bytes)) = attempt else { return false };
        self.node.handle(self.now, Input::Written(conn, bytes.len()), &mut Vec::new());
        let Ok(attempt) = MessageRef::parse(&bytes) else { return false };
        let answer = MessageBuilder::answer(&attempt, 2001)
            .add_str(d::ORIGIN_HOST, "s.bench")
            .add_str(d::ORIGIN_REALM, "bench")
            .build();
        self.now += 200;
        self.input(Input::Bytes(conn, &answer));
        !self.sent(self.client).is_empty()
    }

    fn release_request(id: u32) -> Vec<u8> {
        MessageBuilder::request(d::CMD_SESSION_TERMINATION, d::APP_NAS, true, id, id)
            .add_str(d::SESSION_ID, &format!("client.bench;1;{id}"))
            .add_str(d::ORIGIN_HOST, "client.bench")
            .add_str(d::ORIGIN_REALM, "bench")
            .add_str(d::DESTINATION_REALM, "bench")
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
            .add_u32(d::TERMINATION_CAUSE, 1)
            .build()
    }

    fn release(&mut self, id: u32) {
        self.input(Input::Bytes(self.client, &Bench::release_request(id)));
        let releases: Vec<(ConnId, Vec<u8>)> = self
            .out
            .drain(..)
            .filter_map(|output| match output {
                Output::Send(conn, bytes) => Some((conn, bytes)),
                _ => None,
            })
            .collect();
        for (conn, bytes) in releases {
            self.node.handle(self.now, Input::Written(conn, bytes.len()), &mut Vec::new());
            if conn == self.client {
                continue;
            }
            if let Ok(request) = MessageRef::parse(&bytes) {
                let answer = MessageBuilder::answer(&request, 2001).build();
                self.input(Input::Bytes(conn, &answer));
            }
        }
    }

    /// Processes a backlog of releases of standing calls and as many new set-ups that arrived during a gap.
    /// Returns the longest turn and the total, in microseconds.
    fn backlog(&mut self, calls: u32) -> (f64, f64) {
        self.fill(calls as usize);
        let (last, since) = (self.next, self.now);
        let releases: Vec<u8> = (last - calls + 1..=last).flat_map(Bench::release_request).collect();
        let requests: Vec<u8> = (last + 1..=last + calls).flat_map(|id| self.request(id)).collect();
        self.next += calls;
        self.now += 500_000;
        let (mut longest, mut all) = (0.0_f64, 0.0);
        let mut turn = |bench: &mut Bench, input: Input<'_>| {
            let start = Instant::now();
            bench.input(input);
            let took = start.elapsed().as_secs_f64() * 1e6;
            longest = longest.max(took);
            all += took;
            bench.out.clear();
        };
        turn(self, Input::Away(since));
        for bytes in [&requests, &releases] {
            for slice in bytes.chunks(8 * 1024) {
                turn(self, Input::Bytes(self.client, slice));
            }
        }
        turn(self, Input::BacklogDelivered);
        while self.node.wake().is_some_and(|wake| wake <= self.now) {
            turn(self, Input::Timeout);
        }
        (longest, all)
    }

    /// Establishes calls until this many stand.
    fn fill(&mut self, standing: usize) {
        while self.node.stats().standing < standing {
            self.next += 1;
            self.set_up(self.next);
        }
    }

    /// Returns the time of a whole call in microseconds, the shortest of five runs.
    fn cost(&mut self, rounds: usize) -> f64 {
        let mut least = f64::INFINITY;
        for _ in 0..5 {
            let start = Instant::now();
            let mut stood = 0;
            for _ in 0..rounds {
                self.next += 1;
                let id = self.next;
                if self.set_up(id) {
                    stood += 1;
                    self.release(id);
                }
            }
            assert!(stood * 10 >= rounds * 9, "{stood} of {rounds} calls stood");
            least = least.min(start.elapsed().as_secs_f64() * 1e6 / rounds as f64);
        }
        least
    }
}

/// Returns the resident memory of this process in bytes, as reported by Linux.
fn resident() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    Some(text.split(' ').nth(1)?.parse::<usize>().ok()? * 4096)
}

fn main() {
    // Memory is measured first, before the allocator holds freed blocks that it could reuse.
    let mut bench = Bench::new(4);
    bench.fill(1_000);
    let before = resident();
    let added = 100_000;
    bench.fill(1_000 + added);
    if let (Some(before), Some(after)) = (before, resident()) {
        println!(
            "memory: {} bytes a standing call ({added} of them)",
            (after.saturating_sub(before)) / added
        );
    }
    drop(bench);

    let mut baseline = None;
    for standing in [10, 100, 1_000, 10_000] {
        let mut bench = Bench::new(4);
        bench.fill(standing);
        let cost = bench.cost(20_000);
        let ratio = cost / *baseline.get_or_insert(cost);
        println!("{standing:>6} standing, 4 servers: {cost:.2} us a call, ratio {ratio:.2}");
    }
    let mut baseline = None;
    for servers in [2, 8, 32, 128, 256] {
        let mut bench = Bench::new(servers);
        let cost = bench.cost(if servers > 32 { 1_000 } else { 10_000 });
        let ratio = cost / *baseline.get_or_insert(cost);
        println!("{servers:>6} servers: {cost:.2} us a call, ratio {ratio:.2}");
    }
    for servers in [4, 32] {
        let (longest, all) = Bench::new(servers).backlog(2_048);
        println!(
            "backlog of 2,048 releases and 2,048 set-ups, {servers} servers: {:.1} ms in all, \
             longest turn {:.2} ms",
            all / 1e3,
            longest / 1e3
        );
    }
    // Reading and writing alone, for comparison.
    let frame =
        MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, 1, 1).add_str(d::SESSION_ID, "x").build();
    let mut reader = FrameReader::new(1 << 16);
    let start = Instant::now();
    for _ in 0..100_000 {
        reader.push(&frame);
        black_box(reader.next_frame().map(|frame| frame.map(<[u8]>::len)).is_ok());
    }
    println!("cutting a frame: {:.3} us", start.elapsed().as_secs_f64() * 1e6 / 100_000.0);
}
