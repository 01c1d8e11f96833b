//! Shutdown of an access node with real connections. Input of the last moment is sent from the loop's own
//! thread, while it logs its final figures, so that it arrives exactly at the end.

use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use lemoncleat_platform::NodeConfig;
use lemoncleat_service::{listen_for_callers, serve_access, AccessControl, AccessSettings, Mailbox};
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// Time after which a test fails that waits for input.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const OFFER: &str = "fedcba9876543210\r\nc=IN IP4 10.9.9.9\r\nm=audio 7000 RTP/AVP 0\r\n";

fn config(server: SocketAddr) -> NodeConfig {
    let text = format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","seed":"1f","limits":{{"cores":1,"memory_mb":48,"sockets":1024}},
"peer_listen":null,"peers":[],"journal":null,"known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"index":1,
"snapshot":true,"endpoints":[{{"name":"s-a","address":"{server}","zone":"east","type":"std","group":0,"status":"up",
"weight":1,"since_ms":0}}]}}}}]}},"settings":{{"azs":["east"],"balancers":1,"classes":[{{"aim_us":4000000,
"deadline_us":9000000,"effect":"retryable","name":"voice","worth":1.0}}],"family_info":{{"allowed_pools":[[0]],
"guard_us":300000,"home_no":-1,"layout":"groups"}},"invariants":{{"cold_from":0.3,"cold_us":15000000,
"fall_us":1000000,"tip_multiple":4.0}},"limits":{{"cancelling":true,"most_tries":4}},
"membership_mode":"automatic","slot_no":0}}}}"#
    );
    NodeConfig::read(&text).expect("a configuration")
}

fn invite(id: usize) -> String {
    format!(
        "INVITE sip:42@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id:016x}\r\nCSeq: 1 INVITE\r\n\
         X-Cos: voice\r\nX-Timer-Ms: 8000\r\nX-Legs: dest:0;width:1;via:-1\r\nContent-Length: {}\r\n\r\n{OFFER}",
        OFFER.len()
    )
}

/// Starts a call server that refuses every set-up as busy.
fn call_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let (mut text, mut buffer) = (String::new(), [0; 4096]);
                while let Ok(count @ 1..) = stream.read(&mut buffer) {
                    text += std::str::from_utf8(&buffer[..count]).expect("text");
                    while let Some(end) = text.find("\r\n\r\n") {
                        let head: String = text.drain(..end + 4).collect();
                        let field = |name: &str| {
                            let at = head.find(name).expect("the field") + name.len();
                            head[at..].split("\r\n").next().expect("its line").trim().to_owned()
                        };
                        let body: usize = field("Content-Length:").parse().expect("a length");
                        while text.len() < body {
                            let count = stream.read(&mut buffer).expect("its body");
                            text += std::str::from_utf8(&buffer[..count]).expect("text");
                        }
                        text.drain(..body);
                        if head.starts_with("INVITE") {
                            let answer = format!(
                                "SIP/2.0 486 Busy\r\nCall-ID: {}\r\nCSeq: {}\r\nX-Diagnosis: number_busy\r\n\
                                 Content-Length: 0\r\n\r\n",
                                field("Call-ID:"),
                                field("CSeq:")
                            );
                            stream.write_all(answer.as_bytes()).expect("written");
                        }
                    }
                }
            });
        }
    });
    address
}

type Action = Box<dyn FnOnce() + Send>;

/// A log subscriber that calls `act` once, in the logging thread, when the stopping node logs its final
/// figures.
struct ShutdownHook {
    act: Mutex<Option<Action>>,
    ending: Mutex<bool>,
}

struct LogText(String);

impl Visit for LogText {
    fn record_debug(&mut self, _: &Field, value: &dyn fmt::Debug) {
        self.0 += &format!("{value:?}");
    }
}

impl Subscriber for ShutdownHook {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }
    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }
    fn record(&self, _: &Id, _: &Record<'_>) {}
    fn record_follows_from(&self, _: &Id, _: &Id) {}
    fn event(&self, event: &Event<'_>) {
        let mut text = LogText(String::new());
        event.record(&mut text);
        let mut ending = self.ending.lock().expect("one thread");
        if text.0.contains("ending in order") {
            *ending = true;
        } else if *ending && text.0.contains("standing") {
            if let Some(act) = self.act.lock().expect("one thread").take() {
                act();
            }
        }
    }
    fn enter(&self, _: &Id) {}
    fn exit(&self, _: &Id) {}
}

/// Starts a node; returns its mailbox and thread.
fn start(listener: TcpListener, act: Action) -> (Mailbox<AccessControl>, JoinHandle<()>) {
    let settings =
        AccessSettings { config: config(call_server()), file: PathBuf::new(), trace: false, fleet: false };
    let (sender, ready) = channel();
    let handle = thread::spawn(move || {
        let subscriber = ShutdownHook { act: Mutex::new(Some(act)), ending: Mutex::new(false) };
        tracing::subscriber::with_default(subscriber, || {
            serve_access(settings, listener, |mailbox| sender.send(mailbox).expect("the test waits"))
                .expect("it runs");
        });
    });
    (ready.recv().expect("it starts"), handle)
}

/// Reads to the end of input; fails if the connection was reset.
fn read_to_end(mut stream: &TcpStream) -> String {
    let mut text = String::new();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
    stream.read_to_string(&mut text).expect("an end in order");
    text
}

#[test]
fn set_ups_completed_during_shutdown_are_answered() {
    let listener = listen_for_callers("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("bound");
    // Each set-up is cut at another byte; further callers connect only at the end.
    let length = invite(0).len();
    let callers: Vec<_> = (0..length)
        .map(|at| {
            let mut stream = TcpStream::connect(address).expect("it listens");
            stream.write_all(&invite(at).as_bytes()[..at]).expect("written");
            Arc::new(stream)
        })
        .collect();
    let new_callers = Arc::new(Mutex::new(Vec::new()));
    let (open_callers, late_callers) = (callers.clone(), new_callers.clone());
    let (mailbox, node) = start(
        listener,
        Box::new(move || {
            for (at, stream) in open_callers.into_iter().enumerate() {
                (&*stream).write_all(&invite(at).as_bytes()[at..]).expect("written");
            }
            for id in length..length + 20 {
                let mut stream = TcpStream::connect(address).expect("it listens");
                stream.write_all(invite(id).as_bytes()).expect("written");
                late_callers.lock().expect("one thread").push(stream);
            }
        }),
    );
    mailbox.send_blocking(AccessControl::Stop).expect("it runs");
    for (at, stream) in callers.into_iter().enumerate() {
        let text = read_to_end(&stream);
        assert!(
            text.starts_with("SIP/2.0 503") && text.matches("SIP/2.0 ").count() == 1,
            "cut at {at}: {text}"
        );
    }
    node.join().expect("it ends");
    for stream in new_callers.lock().expect("the node is gone").drain(..) {
        let text = read_to_end(&stream);
        assert!(text.starts_with("SIP/2.0 503") && text.matches("SIP/2.0 ").count() == 1, "new: {text}");
    }
}

#[test]
fn answers_to_a_slow_reader_are_written_before_shutdown() {
    const REQUEST_COUNT: usize = 3_000;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    // Small kernel buffers, so that most answers wait in the node.
    set_socket_send_buffer_size(&listener, 32 * 1_024).expect("a socket");
    set_socket_recv_buffer_size(&listener, 1 << 20).expect("a socket");
    let mut stream = TcpStream::connect(address).expect("it listens");
    let (mailbox, node) = start(
        listener,
        Box::new({
            let mut writing = stream.try_clone().expect("a socket");
            // Input after the end of the loop is no longer handled.
            move || writing.write_all(b"OPTIONS sip:ping@net SIP/2.0\r\n").expect("written")
        }),
    );
    let request =
        "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(request.repeat(REQUEST_COUNT).as_bytes()).expect("written");
    mailbox.send_blocking(AccessControl::Stop).expect("it runs");
    // Reads only after the node has closed its listener, that is, has begun its shutdown.
    loop {
        match TcpStream::connect(address) {
            Ok(_) => thread::yield_now(),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => break,
            Err(error) => panic!("{error}"),
        }
    }
    assert_eq!(read_to_end(&stream).matches("SIP/2.0 ").count(), REQUEST_COUNT);
    let _ = stream.shutdown(Shutdown::Both);
    node.join().expect("it ends");
}
