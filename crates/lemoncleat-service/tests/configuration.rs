//! The configuration of a fleet on sockets: agreed, put in force under a standing call, kept, and had again
//! at a start.

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

/// How long a test waits for something that comes soon, before it fails.
const PATIENCE: Duration = Duration::from_secs(60);
/// Voters, and the node that is looked at, which is none: what it knows at a start is what it kept.
const NODES: usize = 4;
const LOOKED_AT: usize = 3;

struct End {
    stream: TcpStream,
    reader: FrameReader,
}

impl End {
    fn new(stream: TcpStream) -> End {
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        End { stream, reader: FrameReader::new(1 << 17) }
    }

    fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("it is written");
    }

    /// The next message of this kind; a watchdog met on the way is answered.
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
            let count = self.stream.read(&mut buffer).expect("something comes");
            assert!(count > 0, "closed while {name} was waited for");
            self.reader.push(&buffer[..count]);
        }
    }
}

fn client(node: &Running) -> End {
    let mut client = End::new(TcpStream::connect(node.address).expect("it listens"));
    client.send(&cer("client.example"));
    client.until("CEA");
    client
}

/// Why a call to a number of the file's plan fails, with no server there.
fn told(node: &Running) -> String {
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
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        Operator(BufReader::new(stream))
    }

    fn ask(&mut self, order: &Value) -> Value {
        self.0.get_mut().write_all(format!("{order}\n").as_bytes()).expect("it is written");
        let mut line = String::new();
        self.0.read_line(&mut line).expect("an answer");
        serde_json::from_str(&line).expect("JSON")
    }

    /// Asks until the answer is as wanted.
    fn until(&mut self, order: &Value, wanted: impl Fn(&Value) -> bool) -> Value {
        let began = Instant::now();
        loop {
            let answer = self.ask(order);
            if wanted(&answer) {
                return answer;
            }
            assert!(began.elapsed() < PATIENCE, "{order}: {answer}");
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
    place: usize,
    directory: &Path,
    server: SocketAddr,
    members: &[SocketAddr],
    at: TcpListener,
) -> Running {
    let listed: String = members
        .iter()
        .enumerate()
        .map(|(n, address)| format!("(member (host n{n}.example) (address {address}) (zone z{n}))"))
        .collect();
    let own = directory.join(format!("n{place}")).display().to_string();
    let store = if place == LOOKED_AT { String::new() } else { format!("(store \"{own}/ledger\")") };
    let text = format!(
        "(host n{place}.example) (realm example) (listen 127.0.0.1:0) (plain yes) (control 127.0.0.1:0)
         (servers (server (host server.example) (address {server}))) (clients client.example)
         (timing (drain 100ms) (close 100ms))
         (classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
         (plan (prefix (digits 351) (class browse)))
         (fleet (members {listed}) (voters n0.example n1.example n2.example) (round 50ms) {store}
          (configuration (store \"{own}/kept\")))"
    );
    let config = read_config(&text).expect("good settings");
    spawn(config.service, at).expect("it starts")
}

fn port() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

/// Whether a version is in force, and no longer only on trial.
fn settled(state: &Value, number: u64) -> bool {
    state["in_force"] == number && state["phase"] != "trial"
}

const NO_ROUTE: &str = "no route for the number called";

#[test]
fn a_version_comes_in_force_under_a_call_and_is_had_again_from_the_kept_copy() {
    let directory = directory("kept");
    let server = port();
    let listeners: Vec<TcpListener> = (0..NODES).map(|_| port()).collect();
    let members: Vec<SocketAddr> = listeners.iter().map(address).collect();
    let nodes = listeners.into_iter().enumerate();
    let away = address(&port());
    let mut nodes: Vec<Running> = nodes
        .map(|(place, at)| {
            let server = if place == LOOKED_AT { address(&server) } else { away };
            start(place, &directory, server, &members, at)
        })
        .collect();
    let node = nodes.remove(LOOKED_AT);
    let mut server = End::new(server.accept().expect("the node dials").0);
    let request = server.until("CER");
    let request = MessageRef::parse(&request).expect("a CER");
    server.send(&capabilities(MessageBuilder::answer(&request, 2001), "server.example"));
    // A call stands.
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
    // The call is still there, and new ones go by the new plan.
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

    // A member more, and a voter less.
    let list = |hosts: &[&str]| -> String {
        let member = |(at, host): (usize, &&str)| {
            format!("(member (host {host}) (address {}))", members.get(at).unwrap_or(&away))
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

    let kept = directory.join(format!("n{LOOKED_AT}/kept/configuration"));
    let began = Instant::now();
    while !kept.exists() {
        assert!(began.elapsed() < PATIENCE, "it is kept");
    }
    drop((caller, server));
    node.stop().expect("it stops");
    for node in nodes {
        node.stop().expect("it stops");
    }

    let alone = || start(LOOKED_AT, &directory, away, &members, port());
    // The kept copy is in force before the first call; what a write left unfinished is not looked at.
    std::fs::write(kept.with_extension("new"), "half of a wr").expect("a file");
    let node = alone();
    assert_eq!(told(&node), NO_ROUTE);
    let state = Operator::of(&node).ask(&json!({"op": "configuration"}));
    assert_eq!((&state["in_force"], &state["source"]), (&json!(2), &json!("kept")), "{state}");
    node.stop().expect("it stops");
    // A torn one is not used.
    let whole = std::fs::read(&kept).expect("the kept copy");
    std::fs::write(&kept, &whole[..whole.len() / 2]).expect("a file");
    let node = alone();
    assert_ne!(told(&node), NO_ROUTE);
    let state = Operator::of(&node).ask(&json!({"op": "configuration"}));
    assert!(state["in_force"] != 2 && state["source"] == "file", "{state}");
    node.stop().expect("it stops");
    // Nor one that was never there.
    std::fs::remove_file(&kept).expect("it was there");
    let node = alone();
    assert_ne!(told(&node), NO_ROUTE);
    node.stop().expect("it stops");
    std::fs::remove_dir_all(&directory).expect("it was there");
}

#[test]
fn a_text_that_can_not_be_used_is_refused_before_it_is_proposed() {
    let directory = directory("refused");
    let members: Vec<SocketAddr> = (0..NODES).map(|_| address(&port())).collect();
    let node = start(LOOKED_AT, &directory, address(&port()), &members, port());
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
fn a_node_without_such_a_configuration_says_so() {
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
