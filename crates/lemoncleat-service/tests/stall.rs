//! A node whose event loop is blocked for a while, between a client and a server simulated on sockets.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use common::{aar, capabilities, cer, dwr};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{FrameReader, MessageBuilder, MessageRef};
use lemoncleat_service::{read_config, spawn, Control, Running};

/// Time after which a test fails that waits for a message.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The test's end of a connection.
struct PeerConnection {
    stream: TcpStream,
    reader: FrameReader,
}

impl PeerConnection {
    fn new(stream: TcpStream) -> PeerConnection {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        PeerConnection { stream, reader: FrameReader::new(1 << 16) }
    }

    fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("it is written");
    }

    fn next(&mut self) -> Vec<u8> {
        loop {
            if let Some(frame) = self.reader.next_frame().expect("Diameter") {
                return frame.to_vec();
            }
            let mut buffer = [0; 4096];
            let count = self.stream.read(&mut buffer).expect("a message is received");
            assert!(count > 0, "the node closed the connection");
            self.reader.push(&buffer[..count]);
        }
    }

    /// Reads all messages up to the first one of a kind.
    fn until(&mut self, name: &str) -> Vec<Vec<u8>> {
        let mut all = Vec::new();
        loop {
            let frame = self.next();
            let found = message_name(&frame) == name;
            all.push(frame);
            if found {
                return all;
            }
        }
    }
}

fn message_name(frame: &[u8]) -> &'static str {
    let head = MessageRef::parse(frame).expect("a message").header;
    d::short_name(head.command, head.is_request())
}

fn names(frames: &[Vec<u8>]) -> Vec<&'static str> {
    frames.iter().map(|frame| message_name(frame)).collect()
}

fn success(request: &[u8]) -> Vec<u8> {
    MessageBuilder::answer(&MessageRef::parse(request).expect("a request"), 2001)
        .add_str(d::ORIGIN_HOST, "server.example")
        .add_str(d::ORIGIN_REALM, "example")
        .build()
}

/// Starts a node with a connected server and client.
fn connected_node() -> (Running, PeerConnection, PeerConnection) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let text = format!(
        "(host node.example) (realm example) (listen 127.0.0.1:0) (plain yes)
         (servers (server (host server.example) (address {address})))
         (clients client.example) (timing (drain 100ms) (close 100ms))
         (classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
         (plan (prefix (digits 351) (class browse)))"
    );
    let config = read_config(&text).expect("good settings");
    let node =
        spawn(config.service, TcpListener::bind(config.listen[0]).expect("a port")).expect("it starts");
    let mut server = PeerConnection::new(listener.accept().expect("the node dials").0);
    let request = server.next();
    let request = MessageRef::parse(&request).expect("a CER");
    let cea = capabilities(MessageBuilder::answer(&request, 2001), "server.example");
    server.send(&cea);
    let mut client = PeerConnection::new(TcpStream::connect(node.address).expect("it listens"));
    client.send(&cer("client.example"));
    client.until("CEA");
    // The server is usable once the node has read its CEA; the answer to a later watchdog confirms that.
    server.send(&dwr("server.example", 2));
    server.until("DWA");
    (node, server, client)
}

/// Returns what client and server receive until the node has handled all that was written before.
fn drain_messages(client: &mut PeerConnection, server: &mut PeerConnection) -> (Vec<Vec<u8>>, Vec<Vec<u8>>) {
    server.send(&dwr("server.example", 90));
    let at_server = server.until("DWA");
    client.send(&dwr("client.example", 91));
    (client.until("DWA"), at_server)
}

#[test]
fn success_read_after_the_deadline_due_to_a_stall_is_released() {
    let (node, mut server, mut client) = connected_node();
    client.send(&aar("s;1", 7, 2_000));
    let attempt = server.until("AAR").pop().expect("an attempt");
    // The stall is requested before the answer is written, and lasts past the deadline whenever it begins.
    node.control(Control::Stall(Duration::from_millis(2_500)));
    server.send(&success(&attempt));
    let (at_client, at_server) = drain_messages(&mut client, &mut server);
    assert_eq!(names(&at_client), ["DWA"], "nothing for the call");
    assert!(names(&at_server).contains(&"STR"), "{:?}", names(&at_server));
    let stats = node.stats().expect("it runs");
    assert_eq!((stats.standing, stats.setting_up, stats.late), (0, 0, 1));
    assert!(stats.withheld > 0 && stats.gaps > 0, "{stats:?}");
    drop((client, server));
    node.stop().expect("it stops");
}

#[test]
fn input_during_a_stall_within_the_deadline_is_handled_normally() {
    let (node, mut server, mut client) = connected_node();
    client.send(&aar("s;out", 7, 9_000));
    let attempt = server.until("AAR").pop().expect("an attempt");
    node.control(Control::Stall(Duration::from_millis(300)));
    client.send(&aar("s;new", 8, 9_000));
    server.send(&success(&attempt));
    let answer = client.until("AAA").pop().expect("an answer");
    let answer = MessageRef::parse(&answer).expect("an answer");
    assert_eq!((answer.text(d::SESSION_ID), answer.result_code()), (Some("s;out"), 2001));
    let attempt = server.until("AAR").pop().expect("the new call's attempt");
    server.send(&success(&attempt));
    let answer = client.until("AAA").pop().expect("an answer");
    let answer = MessageRef::parse(&answer).expect("an answer");
    assert_eq!((answer.text(d::SESSION_ID), answer.result_code()), (Some("s;new"), 2001));
    let stats = node.stats().expect("it runs");
    assert_eq!((stats.standing, stats.withheld), (2, 0));
    assert!(stats.gaps > 0, "{stats:?}");
    drop((client, server));
    node.stop().expect("it stops");
}
