//! Measures the processor time of a node's core per call and per server list event, by the number of servers.
//! Nothing here waits, so wall clock time equals the processor time of this thread. The figures are for
//! comparing builds on one machine.
//!
//!     cargo run --release -p lemoncleat-access --example cost

use std::fmt::Write;
use std::time::Instant;

use lemoncleat_access::{AccessNode, ConnId, Input, Output};
use lemoncleat_platform::NodeConfig;
use lemoncleat_sip::{request, response, Method, Reader};

const CALLER: ConnId = ConnId(1);
const JOURNAL: ConnId = ConnId(2);
const CALLS: u64 = 4_000;

fn endpoint(number: usize, address: usize, status: &str) -> String {
    let (high, low) = (address / 250, address % 250 + 1);
    format!(
        r#"{{"name":"s-{number:08x}","address":"127.1.{high}.{low}:5070","zone":"east","type":"std","group":{address},"status":"{status}","weight":1,"since_ms":0}}"#
    )
}

fn config(servers: usize) -> NodeConfig {
    let endpoints: Vec<_> = (0..servers).map(|number| endpoint(number, number, "up")).collect();
    let text = format!(
        r#"{{"name":"n1","listen":"127.0.0.1:5070","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":32,"sockets":4096}},"peers":[],"journal":"127.0.0.9:7070",
"known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}},
"settings":{{"azs":["east"],"balancers":300,"classes":[
{{"aim_us":1500000,"deadline_us":9000000,"effect":"retryable","late_worth":0.25,"name":"voice","worth":1.0}}],
"family_info":{{"call_length_us":[9000000],"guard_us":300000,"home_no":-1,
"layout":"groups","repeat_us":400000,"tells_wait":true}},
"invariants":{{"cold_from":0.3,"cold_us":15000000,"fall_us":1000000,"tip_multiple":4.0}},
"limits":{{"cancelling":true,"dial_timeout_us":500000,"most_held":20000,"most_tries":4,"peer_messages":true,
"probes":false,"retry_after":false}},
"membership_mode":"automatic","report":{{"names":["spare","total","avg_ms"]}},"resolution_us":1000,"slot_no":0}}}}"#,
        endpoints.join(",")
    );
    NodeConfig::read(&text).expect("a configuration")
}

struct Harness {
    node: AccessNode,
    now: i64,
    next: u64,
    /// Unanswered set-ups: the connection and the INVITE.
    unanswered: Vec<(ConnId, Vec<u8>)>,
    conns: Vec<ConnId>,
}

impl Harness {
    fn input(&mut self, input: Input<'_>) {
        let mut outputs = Vec::new();
        self.node.handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Dial(dial, to, _) => {
                    let journal = to.port() == 7070;
                    self.next += 1;
                    let conn = if journal { JOURNAL } else { ConnId(self.next) };
                    if !journal {
                        self.conns.push(conn);
                    }
                    self.input(Input::Dialled(dial, conn));
                }
                Output::Invite(conn, _, bytes) => self.unanswered.push((conn, bytes)),
                _ => {}
            }
        }
    }

    fn notify(&mut self, free: usize) {
        let state = format!("x0:{free};x1:100");
        let bytes = request(Method::Notify, "sip:state@net").header("X-Occupancy", state).finish(b"");
        for conn in self.conns.clone() {
            self.input(Input::Bytes(conn, &bytes));
        }
    }

    fn call(&mut self, number: u64) {
        let invite = request(Method::Invite, "sip:7f3a9c21e0b4d655@net")
            .header("Call-ID", format_args!("{number:016x}"))
            .header("CSeq", "1 INVITE")
            .header("X-Cos", "voice")
            .header("X-Timer-Ms", 9000)
            .header("X-Legs", "dest:0;width:1;via:-1")
            .finish(b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n");
        self.input(Input::Bytes(CALLER, &invite));
    }

    fn answer_all(&mut self) {
        for (conn, bytes) in std::mem::take(&mut self.unanswered) {
            let mut reader = Reader::new();
            reader.push(&bytes);
            let Ok(Some(forwarded)) = reader.next_message() else { continue };
            let ok = response(200, "OK", &forwarded).finish(b"0123456789abcdef\r\nc=IN IP4 10.4.7.9\r\n");
            self.input(Input::Bytes(conn, &ok));
        }
    }

    fn release(&mut self, number: u64) {
        let bye = request(Method::Bye, "sip:x@net")
            .header("Call-ID", format_args!("{number:016x}"))
            .header("CSeq", "1 BYE")
            .finish(b"");
        self.input(Input::Bytes(CALLER, &bye));
    }

    /// Returns the mean time of one of `turns` runs of `turn`, in microseconds.
    fn time(&mut self, turns: u64, mut turn: impl FnMut(&mut Harness, u64)) -> f64 {
        let started_at = Instant::now();
        (0..turns).for_each(|number| turn(self, number));
        started_at.elapsed().as_secs_f64() * 1e6 / turns as f64
    }
}

fn main() {
    println!(
        "microseconds for      a call   an event of the list   a report, 50 calls waiting   a look at them"
    );
    for servers in [24, 300, 1_024] {
        let mut node = AccessNode::new(config(servers), 0).expect("settings");
        let mut first = Vec::new();
        node.handle(0, Input::Timeout, &mut first);
        let mut harness = Harness { node, now: 1, next: 2, unanswered: Vec::new(), conns: Vec::new() };
        harness.input(Input::Accepted(CALLER));
        for output in first {
            if let Output::Dial(dial, to, _) = output {
                harness.next += 1;
                let conn = if to.port() == 7070 { JOURNAL } else { ConnId(harness.next) };
                if conn != JOURNAL {
                    harness.conns.push(conn);
                }
                harness.input(Input::Dialled(dial, conn));
            }
        }
        harness.notify(100);
        let call = harness.time(CALLS, |harness, number| {
            harness.now += 2_000;
            harness.call(number);
            harness.now += 500;
            harness.answer_all();
            harness.release(number);
            harness.input(Input::Timeout);
        });
        let event = harness.time(200, |harness, number| {
            let mut line = String::new();
            let changed = endpoint(servers + number as usize, servers - 1, "up");
            let _ = writeln!(
                line,
                r#"{{"pos":{},"hosts":{{"index":1,"snapshot":false,"endpoints":[{changed}]}}}}"#,
                number + 2
            );
            harness.now += 1_000;
            harness.input(Input::Bytes(JOURNAL, line.as_bytes()));
        });
        harness.notify(0);
        (0..50).for_each(|number| harness.call(1 << 32 | number));
        let conn = harness.conns[0];
        let bytes = request(Method::Notify, "sip:state@net").header("X-Occupancy", "x0:0;x1:100").finish(b"");
        let report = harness.time(500, |harness, _| {
            harness.now += 100;
            harness.input(Input::Bytes(conn, &bytes));
        });
        let look = harness.time(50, |harness, _| {
            harness.now += 10_000;
            harness.input(Input::Timeout);
        });
        println!("{servers:>6} servers {call:>13.1} {event:>22.1} {report:>28.1} {look:>16.1}");
    }
}
