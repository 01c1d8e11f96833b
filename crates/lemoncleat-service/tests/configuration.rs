//! Fleet configuration with real sockets: a version is agreed, put in force during an established call,
//! stored, and loaded at the next start.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use common::{aar, capabilities, cer};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, FrameReader, MessageBuilder, MessageRef};
use lemoncleat_service::{read_config, spawn, Running};
use serde_json::{json, Value};

/// Time after which a test fails that waits for a message or state.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of nodes, and the index of the observed one. It is not a voter, so that all it knows at its start
/// comes from its stored copy.
const NODE_COUNT: usize = 4;
const OBSERVED: usize = 3;

struct PeerConnection {
    stream: TcpStream,
    reader: FrameReader,
}

impl PeerConnection {
    fn new(stream: TcpStream) -> PeerConnection {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        PeerConnection { stream, reader: FrameReader::new(1 << 17) }
    }

    fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("it is written");
    }

    /// Returns the next message of this kind and answers watchdogs received before it.
    fn until(&mut self, name: &str) -> Vec<u8> {
        loop {
            while let Some(frame) = self.reader.next_frame().expect("Diameter").map(<[u8]>::to_vec) {
                let message = MessageRef::parse(&frame).expect("a message");
                match d::short_name(message.header.command, message.header.is_request()) {
                    found if found == name => return frame,
                    "DWR" => {
                        let answer = capabilities(MessageBuilder::answer(&message, 2001), "client.example");
                        self.send(&answer);
                    }
                    _ => {}
                }
            }
            let mut buffer = vec![0; 1 << 16];
            let count = self.stream.read(&mut buffer).expect("a message is received");
            assert!(count > 0, "connection closed while waiting for {name}");
            self.reader.push(&buffer[..count]);
        }
    }
}

fn client(node: &Running) -> PeerConnection {
    let mut client = PeerConnection::new(TcpStream::connect(node.address).expect("it listens"));
    client.send(&cer("client.example"));
    client.until("CEA");
    client
}

/// Returns the error message of a call to a number of the file's plan, with no server available.
fn error_of_call(node: &Running) -> String {
    let mut client = client(node);
    client.send(&aar("s;1", 7, 300));
    let answer = client.until("AAA");
    let answer = MessageRef::parse(&answer).expect("an answer");
    assert_ne!(answer.result_code(), code::SUCCESS);
    answer.text(d::ERROR_MESSAGE).unwrap_or_default().to_owned()
}

struct Operator(BufReader<TcpStream>);

impl Operator {
    fn of(node: &Running) -> Operator {
        let stream = TcpStream::connect(node.control_address.expect("a control port")).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        Operator(BufReader::new(stream))
    }

    fn ask(&mut self, order: &Value) -> Value {
        self.0.get_mut().write_all(format!("{order}\n").as_bytes()).expect("it is written");
        let mut line = String::new();
        self.0.read_line(&mut line).expect("an answer");
        serde_json::from_str(&line).expect("JSON")
    }

    /// Repeats a request until the answer is as expected.
    fn until(&mut self, order: &Value, is_expected: impl Fn(&Value) -> bool) -> Value {
        let began = Instant::now();
        loop {
            let answer = self.ask(order);
            if is_expected(&answer) {
                return answer;
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "{order}: {answer}");
        }
    }
}

fn directory(name: &str) -> PathBuf {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("configuration-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn start(
    index: usize,
    directory: &Path,
    server: SocketAddr,
    members: &[SocketAddr],
    listener: TcpListener,
) -> Running {
    let listed: String = members
        .iter()
        .enumerate()
        .map(|(n, address)| format!("(member (host n{n}.example) (address {address}) (zone z{n}))"))
        .collect();
    let own = directory.join(format!("n{index}")).display().to_string();
    let store = if index == OBSERVED { String::new() } else { format!("(store \"{own}/ledger\")") };
    let text = format!(
        "(host n{index}.example) (realm example) (listen 127.0.0.1:0) (plain yes) (control 127.0.0.1:0)
         (servers (server (host server.example) (address {server}))) (clients client.example)
         (timing (drain 100ms) (close 100ms))
         (classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
         (plan (prefix (digits 351) (class browse)))
         (fleet (members {listed}) (voters n0.example n1.example n2.example) (round 50ms) {store}
          (configuration (store \"{own}/kept\")))"
    );
    let config = read_config(&text).expect("good settings");
    spawn(config.service, listener).expect("it starts")
}

fn port() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

/// Reports whether a version is in force and its trial has ended.
fn settled(state: &Value, number: u64) -> bool {
    state["in_force"] == number && state["phase"] != "trial"
}

const NO_ROUTE: &str = "no route for the number called";

#[test]
fn version_is_put_in_force_during_a_call_and_loaded_from_the_stored_copy() {
    let directory = directory("kept");
    let server = port();
    let listeners: Vec<TcpListener> = (0..NODE_COUNT).map(|_| port()).collect();
    let members: Vec<SocketAddr> = listeners.iter().map(address).collect();
    let nodes = listeners.into_iter().enumerate();
    let unreachable = address(&port());
    let mut nodes: Vec<Running> = nodes
        .map(|(index, listener)| {
            let server = if index == OBSERVED { address(&server) } else { unreachable };
            start(index, &directory, server, &members, listener)
        })
        .collect();
    let node = nodes.remove(OBSERVED);
    let mut server = PeerConnection::new(server.accept().expect("the node dials").0);
    let request = server.until("CER");
    let request = MessageRef::parse(&request).expect("a CER");
    server.send(&capabilities(MessageBuilder::answer(&request, 2001), "server.example"));
    // A call is established.
    let mut caller = client(&node);
    caller.send(&aar("s;1", 1, 3_000));
    let request = server.until("AAR");
    let request = MessageRef::parse(&request).expect("an AAR");
    server.send(&capabilities(MessageBuilder::answer(&request, 2001), "server.example"));
    let answer = caller.until("AAA");
    assert_eq!(MessageRef::parse(&answer).expect("an AAA").result_code(), code::SUCCESS);

    let mut operator = Operator::of(&node);
    let text = "(plan (prefix (digits 44) (class browse)))";
    let order = json!({"op": "configure", "order": "o1", "parent": 0, "text": text});
    let answer = operator.until(&order, |answer| answer["ok"] == true);
    assert_eq!((&answer["order"], &answer["number"]), (&json!("o1"), &json!(1)));
    operator.until(&json!({"op": "configuration"}), |answer| settled(answer, 1));
    let versions = operator.ask(&json!({"op": "configurations"}));
    assert_eq!((&versions["ok"], &versions["newest"]), (&json!(true), &json!(1)), "{versions}");
    // The call is still established, and new calls use the new plan.
    caller.send(&aar("s;2", 2, 3_000));
    let answer = caller.until("AAA");
    let answer = MessageRef::parse(&answer).expect("an AAA");
    assert_eq!(answer.text(d::ERROR_MESSAGE), Some(NO_ROUTE));
    let release = MessageBuilder::request(d::CMD_SESSION_TERMINATION, d::APP_NAS, true, 3, 3)
        .add_str(d::SESSION_ID, "s;1")
        .add_str(d::ORIGIN_HOST, "client.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_str(d::DESTINATION_REALM, "example")
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_u32(d::TERMINATION_CAUSE, 1);
    caller.send(&release.build());
    let answer = caller.until("STA");
    assert_eq!(MessageRef::parse(&answer).expect("an STA").result_code(), code::SUCCESS);
    server.until("STR");

    // Adds a member, then tries to remove a voter.
    let list = |hosts: &[&str]| -> String {
        let member = |(at, host): (usize, &&str)| {
            format!("(member (host {host}) (address {}))", members.get(at).unwrap_or(&unreachable))
        };
        hosts.iter().enumerate().map(member).collect()
    };
    let more = list(&["n0.example", "n1.example", "n2.example", "n3.example", "n4.example"]);
    let text = format!("{text} (members {more})");
    let order = json!({"op": "configure", "order": "o2", "parent": 1, "text": text});
    operator.until(&order, |answer| answer["ok"] == true);
    operator.until(&json!({"op": "members"}), |answer| answer["of"] == 5);
    operator.until(&json!({"op": "configuration"}), |answer| settled(answer, 2));
    let fewer = list(&["n0.example", "n1.example", "n7.example", "n3.example"]);
    let text = format!("(members {fewer})");
    let answer = operator.ask(&json!({"op": "configure", "order": "o3", "parent": 2, "text": text}));
    let error = answer["error"].as_str().unwrap_or_default();
    assert!(error.contains("fleet.voters[2]: \"n2.example\" is no member"), "{answer}");

    let kept = directory.join(format!("n{OBSERVED}/kept/configuration"));
    let began = Instant::now();
    while !kept.exists() {
        assert!(began.elapsed() < TEST_TIMEOUT, "the version was not stored");
    }
    drop((caller, server));
    node.stop().expect("it stops");
    for node in nodes {
        node.stop().expect("it stops");
    }

    let alone = || start(OBSERVED, &directory, unreachable, &members, port());
    // The stored copy is in force before the first call, and an unfinished write is ignored.
    std::fs::write(kept.with_extension("new"), "half of a wr").expect("a file");
    let node = alone();
    assert_eq!(error_of_call(&node), NO_ROUTE);
    let state = Operator::of(&node).ask(&json!({"op": "configuration"}));
    assert_eq!((&state["in_force"], &state["source"]), (&json!(2), &json!("kept")), "{state}");
    node.stop().expect("it stops");
    // A truncated copy is not used.
    let whole = std::fs::read(&kept).expect("the kept copy");
    std::fs::write(&kept, &whole[..whole.len() / 2]).expect("a file");
    let node = alone();
    assert_ne!(error_of_call(&node), NO_ROUTE);
    let state = Operator::of(&node).ask(&json!({"op": "configuration"}));
    assert!(state["in_force"] != 2 && state["source"] == "file", "{state}");
    node.stop().expect("it stops");
    // Without a stored copy the file's settings are used.
    std::fs::remove_file(&kept).expect("it was there");
    let node = alone();
    assert_ne!(error_of_call(&node), NO_ROUTE);
    node.stop().expect("it stops");
    std::fs::remove_dir_all(&directory).expect("it was there");
}

#[test]
fn unusable_text_is_refused_before_it_is_proposed() {
    let directory = directory("refused");
    let members: Vec<SocketAddr> = (0..NODE_COUNT).map(|_| address(&port())).collect();
    let node = start(OBSERVED, &directory, address(&port()), &members, port());
    let mut operator = Operator::of(&node);
    let cases = [
        ("(nodes 2)\n(host other.example)", "text:2:2: unknown field `host`"),
        ("(plan\n (prefix (digits 1) (class buy)))", "text:2:21: plan[0].class: \"buy\""),
        ("(limits (duplicates 3))", "unknown field `duplicates`"),
        ("(members (member (host n0.example) (address 127.0.0.1:1)))", "\"n3.example\" is missing"),
    ];
    for (text, expected) in cases {
        let order = json!({"op": "configure", "order": "o", "parent": 0, "text": text});
        let answer = operator.ask(&order);
        assert_eq!((&answer["ok"], &answer["order"]), (&json!(false), &json!("o")), "{answer}");
        assert!(answer["error"].as_str().is_some_and(|error| error.contains(expected)), "{answer}");
    }
    node.stop().expect("it stops");
    std::fs::remove_dir_all(&directory).unwrap_or_default();
}

#[test]
fn node_outside_a_fleet_refuses_configuration_requests() {
    let text = "(host node.example) (realm example) (listen 127.0.0.1:0) (plain yes) (control 127.0.0.1:0)
         (feed 127.0.0.1:1) (clients client.example)
         (classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
         (plan (prefix (digits 351) (class browse)))";
    let node = spawn(read_config(text).expect("good settings").service, port()).expect("it starts");
    for op in ["configure", "configuration", "configurations"] {
        let answer = Operator::of(&node).ask(&json!({"op": op, "order": "o", "parent": 0, "text": ""}));
        assert_eq!(answer, json!({"ok": false, "error": "this node is in no fleet"}), "{op}");
    }
    node.stop().expect("it stops");
}
