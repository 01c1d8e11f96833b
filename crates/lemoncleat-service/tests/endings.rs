//! Shutdown of a node whose peer reads slowly, and loss of the list feed's connection, on real sockets.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use common::{aar, capabilities, cer};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{FrameReader, MessageBuilder, MessageRef};
use lemoncleat_service::{read_config, spawn, Control};

/// Time after which a test fails that waits for a message.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of requests whose answers together exceed the kernel's buffers of a connection that is not read.
const REQUEST_COUNT: u32 = 400;
/// Length of the Session-Id, which each answer repeats.
const SESSION_ID_LENGTH: usize = 60_000;

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

    /// Returns the next message; `None` once the node has closed the connection.
    fn next(&mut self) -> Option<Vec<u8>> {
        loop {
            if let Some(frame) = self.reader.next_frame().expect("Diameter") {
                return Some(frame.to_vec());
            }
            let mut buffer = vec![0; 1 << 16];
            let count = self.stream.read(&mut buffer).expect("a message is received");
            if count == 0 {
                return None;
            }
            self.reader.push(&buffer[..count]);
        }
    }

    fn until(&mut self, name: &str) -> Vec<u8> {
        loop {
            let frame = self.next().expect("the connection is open");
            if message_name(&frame) == name {
                return frame;
            }
        }
    }
}

fn message_name(frame: &[u8]) -> &'static str {
    let head = MessageRef::parse(frame).expect("a message").header;
    d::short_name(head.command, head.is_request())
}

/// A stopping node must not end before its last answers are written. The client starts to read only after the
/// node has closed the connection and has nothing else to wait for.
#[test]
fn stopping_node_writes_last_answers_to_a_client_that_reads_late() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let text = format!(
        "(host node.example) (realm example) (listen 127.0.0.1:0) (plain yes)
         (servers (server (host server.example) (address {address})))
         (clients client.example) (timing (drain 100ms) (close 100ms)) (limits (queue 128MiB))
         (classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
         (plan (prefix (digits 44) (class browse)))"
    );
    let config = read_config(&text).expect("good settings");
    let node =
        spawn(config.service, TcpListener::bind(config.listen[0]).expect("a port")).expect("it starts");
    let mut server = PeerConnection::new(listener.accept().expect("the node dials").0);
    let request = server.next().expect("a CER");
    let request = MessageRef::parse(&request).expect("a CER");
    server.send(&capabilities(MessageBuilder::answer(&request, 2001), "server.example"));
    let mut client = PeerConnection::new(TcpStream::connect(node.address).expect("it listens"));
    client.send(&cer("client.example"));
    client.until("CEA");
    // There is no route for the number, so that each request is answered at once.
    for id in 0..REQUEST_COUNT {
        let session = format!("{id:0SESSION_ID_LENGTH$}");
        client.send(&aar(&session, id, 9_000));
    }
    while node.stats().expect("it runs").turned_away < u64::from(REQUEST_COUNT) {}
    node.control(Control::Stop);
    // The node disconnects from its servers once the connections of its clients are closed.
    let request = server.until("DPR");
    let request = MessageRef::parse(&request).expect("a DPR");
    let answer = MessageBuilder::answer(&request, 2001)
        .add_str(d::ORIGIN_HOST, "server.example")
        .add_str(d::ORIGIN_REALM, "example");
    server.send(&answer.build());
    assert_eq!(server.next(), None, "nothing else is left to wait for");
    let mut answers = 0;
    while let Some(frame) = client.next() {
        answers += u32::from(message_name(&frame) == "AAA");
    }
    assert_eq!(answers, REQUEST_COUNT);
    node.stop().expect("it has stopped");
}

fn entry(host: &str, address: SocketAddr) -> String {
    format!(r#"{{"host":"{host}","address":"{address}","state":"ready","place":0}}"#)
}

fn complete(revision: u64, entries: &[String]) -> String {
    format!("{{\"revision\":{revision},\"complete\":[{}]}}\n", entries.join(","))
}

fn changes(revision: u64, entries: &[String]) -> String {
    format!("{{\"revision\":{revision},\"changes\":[{}]}}\n", entries.join(","))
}

/// A change cut off after its first byte, in the middle or before its line end, an invalid line or a missed
/// revision must end the connection without being applied in part; the complete list of the next connection
/// must be applied.
#[test]
fn incomplete_or_invalid_change_is_not_applied_and_the_next_complete_list_is() {
    let feed = TcpListener::bind("127.0.0.1:0").expect("a port");
    let first = TcpListener::bind("127.0.0.1:0").expect("a port");
    let unlisted = TcpListener::bind("127.0.0.1:0").expect("a port");
    let last = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = |listener: &TcpListener| listener.local_addr().expect("an address");
    let text = format!(
        "(host node.example) (realm example) (listen 127.0.0.1:0) (plain yes) (feed {})
         (clients client.example) (timing (drain 100ms) (close 100ms))
         (classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
         (plan (prefix (digits 351) (class browse)))",
        address(&feed)
    );
    let config = read_config(&text).expect("good settings");
    let node =
        spawn(config.service, TcpListener::bind(config.listen[0]).expect("a port")).expect("it starts");
    let known = entry("first.example", address(&first));
    let change = changes(2, &[entry("never.example", address(&unlisted))]);
    let broken = [1, change.len() / 2, change.len() - 1].map(|at| change[..at].to_owned());
    let unreadable = [
        change.replace("\"state\"", "\"more\":1,\"state\""),
        change.replace(r#""revision":2"#, r#""revision":3"#),
        format!("{}\u{0}\n", change.trim_end()),
    ];
    for line in broken.iter().chain(&unreadable) {
        let mut stream: TcpStream = feed.accept().expect("the node comes again").0;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        stream.write_all(complete(1, std::slice::from_ref(&known)).as_bytes()).expect("it is written");
        stream.write_all(line.as_bytes()).expect("it is written");
        if !line.ends_with('\n') {
            stream.shutdown(Shutdown::Write).expect("a socket");
        }
        // The node closes the connection after handling all that it read; a reset shows the same.
        let _ = stream.read(&mut [0]);
    }
    let mut stream = feed.accept().expect("the node comes again").0;
    let list = complete(9, &[known, entry("last.example", address(&last))]);
    stream.write_all(list.as_bytes()).expect("it is written");
    // The node dials this server because of the last list, which it handles after all earlier input.
    last.accept().expect("the node dials");
    unlisted.set_nonblocking(true).expect("a socket");
    assert!(unlisted.accept().is_err(), "an incomplete change was applied");
    drop((first, stream));
    node.stop().expect("it stops");
}
