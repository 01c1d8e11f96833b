//! What ends on sockets: a node, with a peer that reads slowly, and the connection of the list feed.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use common::{aar, capabilities, cer};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{FrameReader, MessageBuilder, MessageRef};
use lemoncleat_service::{read_config, spawn, Control};

/// How long a test waits for something that comes at once, before it fails.
const PATIENCE: Duration = Duration::from_secs(30);
/// Requests whose answers are together more than the kernel holds for a connection that nobody reads.
const REQUESTS: u32 = 400;
/// Length of their Session-Id, which each answer has too.
const SESSION: usize = 60_000;

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

    /// The next message; `None` once the node has closed the connection.
    fn next(&mut self) -> Option<Vec<u8>> {
        loop {
            if let Some(frame) = self.reader.next_frame().expect("Diameter") {
                return Some(frame.to_vec());
            }
            let mut buffer = vec![0; 1 << 16];
            let count = self.stream.read(&mut buffer).expect("something comes");
            if count == 0 {
                return None;
            }
            self.reader.push(&buffer[..count]);
        }
    }

    fn until(&mut self, name: &str) -> Vec<u8> {
        loop {
            let frame = self.next().expect("the connection stands");
            if short(&frame) == name {
                return frame;
            }
        }
    }
}

fn short(frame: &[u8]) -> &'static str {
    let head = MessageRef::parse(frame).expect("a message").header;
    d::short_name(head.command, head.is_request())
}

/// The client reads nothing until the node has closed its connection and has nothing else to wait for.
#[test]
fn a_node_that_stops_outlives_the_last_answers_to_a_client_that_reads_late() {
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
    let mut server = End::new(listener.accept().expect("the node dials").0);
    let request = server.next().expect("a CER");
    let request = MessageRef::parse(&request).expect("a CER");
    server.send(&capabilities(MessageBuilder::answer(&request, 2001), "server.example"));
    let mut client = End::new(TcpStream::connect(node.address).expect("it listens"));
    client.send(&cer("client.example"));
    client.until("CEA");
    // No route for the number: each is answered at once.
    for id in 0..REQUESTS {
        let session = format!("{id:0SESSION$}");
        client.send(&aar(&session, id, 9_000));
    }
    while node.stats().expect("it runs").turned_away < u64::from(REQUESTS) {}
    node.control(Control::Stop);
    // The node leaves its servers when the connections of its clients are closed.
    let request = server.until("DPR");
    let request = MessageRef::parse(&request).expect("a DPR");
    let answer = MessageBuilder::answer(&request, 2001)
        .add_str(d::ORIGIN_HOST, "server.example")
        .add_str(d::ORIGIN_REALM, "example");
    server.send(&answer.build());
    assert_eq!(server.next(), None, "nothing else is left to wait for");
    let mut answers = 0;
    while let Some(frame) = client.next() {
        answers += u32::from(short(&frame) == "AAA");
    }
    assert_eq!(answers, REQUESTS);
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

/// A change that breaks off at its first, a middle and its last byte, a line that can't be read and a missed
/// revision: each ends the connection, none is taken in part, and the complete list of the next connection
/// is.
#[test]
fn a_change_that_breaks_off_or_can_not_be_read_is_not_taken_and_the_next_complete_list_is() {
    let feed = TcpListener::bind("127.0.0.1:0").expect("a port");
    let first = TcpListener::bind("127.0.0.1:0").expect("a port");
    let never = TcpListener::bind("127.0.0.1:0").expect("a port");
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
    let change = changes(2, &[entry("never.example", address(&never))]);
    let broken = [1, change.len() / 2, change.len() - 1].map(|at| change[..at].to_owned());
    let unreadable = [
        change.replace("\"state\"", "\"more\":1,\"state\""),
        change.replace(r#""revision":2"#, r#""revision":3"#),
        format!("{}\u{0}\n", change.trim_end()),
    ];
    for line in broken.iter().chain(&unreadable) {
        let mut stream: TcpStream = feed.accept().expect("the node comes again").0;
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        stream.write_all(complete(1, std::slice::from_ref(&known)).as_bytes()).expect("it is written");
        stream.write_all(line.as_bytes()).expect("it is written");
        if !line.ends_with('\n') {
            stream.shutdown(Shutdown::Write).expect("a socket");
        }
        // The node closes: it has dealt with all that it read. A reset does as well.
        let _ = stream.read(&mut [0]);
    }
    let mut stream = feed.accept().expect("the node comes again").0;
    let list = complete(9, &[known, entry("last.example", address(&last))]);
    stream.write_all(list.as_bytes()).expect("it is written");
    // Dialled on the strength of the last list, behind all that came before it.
    last.accept().expect("the node dials");
    never.set_nonblocking(true).expect("a socket");
    assert!(never.accept().is_err(), "a change that was not whole was taken");
    drop((first, stream));
    node.stop().expect("it stops");
}
