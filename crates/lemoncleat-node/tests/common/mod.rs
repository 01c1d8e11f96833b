//! A node driven by a virtual clock, with clients and servers simulated by the test. What each end receives
//! is kept as complete frames.

#![allow(dead_code, missing_docs)]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use lemoncleat::{Availability, Class, Settings};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{FrameReader, MessageBuilder, MessageRef};
use lemoncleat_node::{
    ConnId, Input, ListEntry, ListNews, Micros, Node, NodeSettings, Notice, NumberingPlan, Output, PeerId,
    Route,
};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn settings() -> NodeSettings {
    let class = |aim, worth| Class {
        aim,
        deadline: 9 * SECOND,
        worth,
        late_worth: 0.2,
        length: 8 * SECOND,
        ..Class::default()
    };
    let module = Settings {
        classes: vec![class(1_500 * MS, 1.0), class(SECOND, 8.0)],
        release: 300 * MS,
        repeat: 400 * MS,
        max_attempts: 4,
        may_cancel: true,
        cold_from: 0.3,
        cold_span: 15 * SECOND,
        fall_multiple: 4.0,
        fall_span: SECOND,
        ..Settings::default()
    };
    let mut plan = NumberingPlan::new();
    plan.add("3510", Route { class: 0, place: 0 }).expect("a prefix");
    plan.add("3511", Route { class: 1, place: 0 }).expect("a prefix");
    let mut settings = NodeSettings::new("node.example", "example", module, plan);
    settings.clients = vec!["front.example".into(), "other.example".into()];
    settings.timing.watchdog = SECOND;
    settings
}

/// A frame received by one end of a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame(pub Vec<u8>);

impl Frame {
    pub fn message(&self) -> MessageRef<'_> {
        MessageRef::parse(&self.0).expect("the node sends whole messages")
    }

    pub fn name(&self) -> &'static str {
        let head = self.message().header;
        d::short_name(head.command, head.is_request())
    }

    pub fn session(&self) -> String {
        self.message().text(d::SESSION_ID).unwrap_or_default().to_owned()
    }

    pub fn result(&self) -> u32 {
        self.message().result_code()
    }
}

pub struct Harness {
    pub node: Node,
    pub now: Micros,
    inbox: BTreeMap<ConnId, Vec<Frame>>,
    readers: HashMap<ConnId, FrameReader>,
    pub closed: Vec<ConnId>,
    pub dials: Vec<(PeerId, SocketAddr)>,
    pub notices: Vec<Notice>,
    /// Messages received from members, and changes of their links.
    pub heard: Vec<(usize, Vec<u8>)>,
    pub links: Vec<(usize, bool)>,
    pub stopped: bool,
    /// Whether sent bytes are reported as written at once.
    pub report_written: bool,
    next_conn: u64,
    next_id: u32,
}

impl Harness {
    pub fn new(settings: NodeSettings) -> Harness {
        Harness {
            node: Node::new(settings, 1, 42).expect("good settings"),
            now: SECOND,
            inbox: BTreeMap::new(),
            readers: HashMap::new(),
            closed: Vec::new(),
            dials: Vec::new(),
            notices: Vec::new(),
            heard: Vec::new(),
            links: Vec::new(),
            stopped: false,
            report_written: true,
            next_conn: 0,
            next_id: 1000,
        }
    }

    pub fn input(&mut self, input: Input<'_>) {
        let mut out = Vec::new();
        self.node.handle(self.now, input, &mut out);
        self.carry_out(out);
    }

    /// Carries out the node's outputs.
    pub fn carry_out(&mut self, out: Vec<Output>) {
        let mut written = Vec::new();
        for output in out {
            match output {
                Output::Dial(peer, address) => self.dials.push((peer, address)),
                Output::StopDial(peer) => self.dials.retain(|(dialled, _)| *dialled != peer),
                Output::Send(conn, bytes) => {
                    written.push((conn, bytes.len()));
                    let reader = self.readers.entry(conn).or_insert_with(|| FrameReader::new(1 << 20));
                    reader.push(&bytes);
                    while let Some(frame) = reader.next_frame().expect("the node sends Diameter") {
                        self.inbox.entry(conn).or_default().push(Frame(frame.to_vec()));
                    }
                }
                Output::Close(conn) => self.closed.push(conn),
                Output::Notice(notice) => self.notices.push(notice),
                Output::MemberConnected(member) => self.links.push((member, true)),
                Output::MemberDisconnected(member) => self.links.push((member, false)),
                Output::MemberMessage(member, word) => self.heard.push((member, word)),
                Output::Stopped => self.stopped = true,
            }
        }
        if self.report_written {
            for (conn, count) in written {
                self.input(Input::Written(conn, count));
            }
        }
    }

    /// Advances the clock and gives the node a turn whenever it asks for one.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(wake) = self.node.wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.input(Input::Timeout);
            if self.node.wake().is_some_and(|next| next <= self.now) {
                self.now += MS;
                self.input(Input::Timeout);
            }
        }
        self.now = self.now.max(end);
        self.input(Input::Timeout);
    }

    /// Simulates a gap of this length between turns; what follows until [`Harness::end_gap`] is its backlog.
    pub fn begin_gap(&mut self, span: Micros) {
        let since = self.now;
        self.now += span;
        self.input(Input::Away(since));
    }

    /// Reports the end of the backlog and gives the node the turns that it asks for at once.
    pub fn end_gap(&mut self) {
        self.input(Input::BacklogDelivered);
        while self.node.wake().is_some_and(|wake| wake <= self.now) {
            self.now += MS;
            self.input(Input::Timeout);
        }
    }

    /// Returns the frames received by an end since the last call.
    pub fn take(&mut self, conn: ConnId) -> Vec<Frame> {
        self.inbox.remove(&conn).unwrap_or_default()
    }

    /// Returns the same frames as short names.
    pub fn names(&mut self, conn: ConnId) -> Vec<&'static str> {
        self.take(conn).iter().map(Frame::name).collect()
    }

    /// Returns the only message that an end received, apart from watchdog requests.
    pub fn expect_one(&mut self, conn: ConnId, name: &str) -> Frame {
        let got: Vec<Frame> = self.take(conn).into_iter().filter(|got| got.name() != "DWR").collect();
        let names: Vec<_> = got.iter().map(Frame::name).collect();
        assert_eq!(names, [name], "what connection {} received", conn.0);
        got[0].clone()
    }

    pub fn new_conn(&mut self) -> ConnId {
        self.next_conn += 1;
        ConnId(self.next_conn)
    }

    pub fn new_id(&mut self) -> u32 {
        self.next_id += 1;
        self.next_id
    }

    pub fn cer(&mut self, host: &str, state_id: u32) -> Vec<u8> {
        let id = self.new_id();
        capabilities(MessageBuilder::request(d::CMD_CAPABILITIES, 0, false, id, id), host, state_id)
    }

    /// Connects a client.
    pub fn connect_client(&mut self, host: &str) -> ConnId {
        let conn = self.new_conn();
        self.input(Input::Accepted(conn));
        let cer = self.cer(host, 1);
        self.input(Input::Bytes(conn, &cer));
        assert_eq!(self.expect_one(conn, "CEA").result(), 2001);
        conn
    }

    pub fn list(&mut self, entries: &[(&str, Availability)]) {
        let entries = entries.iter().map(|(host, availability)| entry(host, *availability)).collect();
        self.input(Input::List(ListNews::Changes(entries)));
    }

    /// Accepts the connection that the node dials and answers as the server.
    pub fn accept_dial(&mut self, host: &str, state_id: u32) -> ConnId {
        let address = address(host);
        let at = self.dials.iter().position(|(_, to)| *to == address).expect("the node dials the server");
        let (peer, _) = self.dials.remove(at);
        let conn = self.new_conn();
        self.input(Input::Dialled(peer, conn));
        let cer = self.expect_one(conn, "CER");
        let cea = capabilities(MessageBuilder::answer(&cer.message(), 2001), host, state_id);
        self.input(Input::Bytes(conn, &cea));
        conn
    }

    /// Lists and connects a server.
    pub fn connect_server(&mut self, host: &str) -> ConnId {
        self.list(&[(host, Availability::Ready)]);
        self.accept_dial(host, 1)
    }

    /// Sends a set-up of a caller that waits three seconds; returns its identifier.
    pub fn call(&mut self, conn: ConnId, session: &str) -> u32 {
        let id = self.new_id();
        let request = aar("front.example", session, id, id, false);
        self.input(Input::Bytes(conn, &request));
        id
    }

    pub fn bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        self.input(Input::Bytes(conn, bytes));
    }

    /// Sends a server's answer to a request.
    pub fn answer(&mut self, conn: ConnId, request: &Frame, result: u32) {
        self.input(Input::Bytes(conn, &answer_of(request, result)));
    }

    /// Answers all watchdog requests that a peer received and returns its other frames.
    pub fn answer_watchdogs(&mut self, conn: ConnId) -> Vec<Frame> {
        let (watchdogs, rest): (Vec<_>, Vec<_>) =
            self.take(conn).into_iter().partition(|got| got.name() == "DWR");
        for dwr in watchdogs {
            self.answer(conn, &dwr, 2001);
        }
        rest
    }
}

/// Builds a server's answer to a request.
pub fn answer_of(request: &Frame, result: u32) -> Vec<u8> {
    MessageBuilder::answer(&request.message(), result)
        .add_str(d::ORIGIN_HOST, "a.example")
        .add_str(d::ORIGIN_REALM, "example")
        .build()
}

pub fn capabilities(message: MessageBuilder, host: &str, state_id: u32) -> Vec<u8> {
    message
        .add_str(d::ORIGIN_HOST, host)
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::VENDOR_ID, 0)
        .add_str(d::PRODUCT_NAME, "by hand")
        .add_u32(d::ORIGIN_STATE_ID, state_id)
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .build()
}

pub fn address(host: &str) -> SocketAddr {
    let port =
        host.bytes().fold(1000u16, |port, byte| port.wrapping_mul(31).wrapping_add(u16::from(byte)) | 1024);
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn entry(host: &str, availability: Availability) -> ListEntry {
    ListEntry {
        host: host.into(),
        address: address(host),
        availability,
        started_ago: None,
        place: 0,
        zone: "z".into(),
        kind: "k".into(),
    }
}

pub fn aar_builder(host: &str, session: &str, hop_by_hop: u32, end_to_end: u32) -> MessageBuilder {
    MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, hop_by_hop, end_to_end)
        .add_str(d::SESSION_ID, session)
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_str(d::ORIGIN_HOST, host)
        .add_str(d::ORIGIN_REALM, "example")
        .add_str(d::DESTINATION_REALM, "example")
        .add_u32(d::AUTH_REQUEST_TYPE, 1)
        .add_u32(d::SETUP_PATIENCE, 3_000)
}

pub fn aar(host: &str, session: &str, hop_by_hop: u32, end_to_end: u32, again: bool) -> Vec<u8> {
    aar_builder(host, session, hop_by_hop, end_to_end)
        .add_str(d::CALLED_STATION_ID, "35101234")
        .retransmitted(again)
        .build()
}

pub fn session_request(command: u32, host: &str, to: Option<&str>, session: &str, id: u32) -> Vec<u8> {
    let mut request = MessageBuilder::request(command, d::APP_NAS, true, id, id)
        .add_str(d::SESSION_ID, session)
        .add_str(d::ORIGIN_HOST, host)
        .add_str(d::ORIGIN_REALM, "example")
        .add_str(d::DESTINATION_REALM, "example")
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS);
    if let Some(to) = to {
        request = request.add_str(d::DESTINATION_HOST, to);
    }
    if command == d::CMD_SESSION_TERMINATION {
        request = request.add_u32(d::TERMINATION_CAUSE, 1);
    }
    request.build()
}

pub fn str_request(host: &str, session: &str, id: u32) -> Vec<u8> {
    session_request(d::CMD_SESSION_TERMINATION, host, None, session, id)
}
