//! Stand-in front-ends and the callers behind them.

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{
    ConnId, FrameReader, HopByHop, Local, MessageBuilder, MessageRef, Peer, PeerSettings,
};
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::server::MAX_MESSAGE_BYTES;
use crate::Micros;

/// A front-end: one client peer of one node.
pub(crate) struct Front {
    pub host: String,
    pub node: u16,
    pub peer: Peer,
    pub conn: Option<u64>,
    pub reader: FrameReader,
    /// Outstanding requests, by hop-by-hop identifier.
    pub requests: HopByHop<Outstanding>,
    /// The same requests as they were sent, for retransmission.
    pub unanswered: BTreeMap<u32, Unanswered>,
}

/// A request as it was sent and, for set-ups, the time at which its caller gives up.
pub(crate) struct Unanswered {
    bytes: Vec<u8>,
    deadline: Option<Micros>,
}

impl Unanswered {
    /// Returns the request as a retransmission (T bit); a set-up states how long its caller still waits.
    fn repeat(&self, now: Micros) -> Option<Vec<u8>> {
        let request = MessageRef::parse(&self.bytes).ok()?;
        let head = request.header;
        let (command, application) = (head.command, head.application);
        let mut message =
            MessageBuilder::request(command, application, true, head.hop_by_hop, head.end_to_end);
        for avp in request.avps().map_while(Result::ok) {
            let patience = avp.code == d::SETUP_PATIENCE.code && avp.vendor == Some(d::VENDOR);
            message = match self.deadline.filter(|_| patience) {
                Some(deadline) => {
                    let left = u32::try_from((deadline - now).max(0) / 1_000).unwrap_or(u32::MAX);
                    message.add_u32(d::SETUP_PATIENCE, left)
                }
                None => message.copy(&avp),
            };
        }
        Some(message.retransmitted(true).build())
    }
}

/// Kind of a request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outstanding {
    /// A set-up: caller and number of the try.
    SetUp(usize, u32),
    /// A release.
    Release,
}

impl Front {
    pub fn new(number: u16, node: u16, seed: u64) -> Self {
        let host = format!("front-{number}.lab");
        let local = Arc::new(Local {
            host: host.as_str().into(),
            realm: "lab".into(),
            product: "stand-in front-end".into(),
            addresses: vec![std::net::IpAddr::from([127, 0, 0, 1])],
            applications: vec![d::APP_NAS],
            state_id: 1,
            further: Vec::new(),
        });
        let settings = PeerSettings {
            host: format!("node-{node}.lab").as_str().into(),
            dial: true,
            replace: None,
            watchdog: 30_000_000,
            backoff: lemoncleat_diameter::Backoff { first: 50_000, most: 1_000_000 },
            open_timeout: 2_000_000,
            close_timeout: 1_000_000,
        };
        Front {
            host,
            node,
            peer: Peer::new(local, settings, seed),
            conn: None,
            reader: FrameReader::new(MAX_MESSAGE_BYTES),
            requests: HopByHop::new(seed as u32),
            unanswered: BTreeMap::new(),
        }
    }

    /// Returns the connection on which requests are sent, if it is open.
    pub fn open(&self) -> Option<u64> {
        self.peer.connection().filter(|_| self.peer.is_open()).map(|ConnId(conn)| conn)
    }

    /// Builds a set-up request and records it as outstanding.
    pub fn set_up(&mut self, now: Micros, call: &SetUp<'_>, sent: Outstanding, end_to_end: u32) -> Vec<u8> {
        let hop_by_hop = self.requests.begin(sent);
        let mut request = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, hop_by_hop, end_to_end)
            .add_str(d::SESSION_ID, call.session)
            .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
            .add_str(d::ORIGIN_HOST, &self.host)
            .add_str(d::ORIGIN_REALM, "lab")
            .add_str(d::DESTINATION_REALM, "lab")
            .add_u32(d::AUTH_REQUEST_TYPE, 1)
            .add_str(d::CALLED_STATION_ID, call.called)
            .add_str(d::CALLING_STATION_ID, call.calling)
            .add_u32(d::SETUP_PATIENCE, u32::try_from(call.patience / 1_000).unwrap_or(u32::MAX));
        if call.marks != 0 {
            request = request.add_u32(d::CALL_MARKS, call.marks);
        }
        let bytes = request.build();
        let deadline = Some(now + call.patience);
        self.unanswered.insert(hop_by_hop, Unanswered { bytes: bytes.clone(), deadline });
        bytes
    }

    /// Returns the unanswered requests as retransmissions, to be sent on a connection that replaces another.
    pub fn repeats(&mut self, now: Micros) -> Vec<(u32, Outstanding, Vec<u8>)> {
        let mut all = Vec::new();
        for (hop_by_hop, unanswered) in &self.unanswered {
            let sent = self.requests.get_mut(*hop_by_hop).map(|sent| *sent);
            all.extend(sent.zip(unanswered.repeat(now)).map(|(sent, bytes)| (*hop_by_hop, sent, bytes)));
        }
        all
    }

    /// Removes an answered request and returns its kind.
    pub fn finish(&mut self, hop_by_hop: u32) -> Option<Outstanding> {
        self.unanswered.remove(&hop_by_hop);
        self.requests.finish(hop_by_hop)
    }

    /// Builds a release request and records it as outstanding.
    pub fn release(&mut self, session: &str) -> Vec<u8> {
        let hop_by_hop = self.requests.begin(Outstanding::Release);
        let request =
            MessageBuilder::request(d::CMD_SESSION_TERMINATION, d::APP_NAS, true, hop_by_hop, hop_by_hop)
                .add_str(d::SESSION_ID, session)
                .add_str(d::ORIGIN_HOST, &self.host)
                .add_str(d::ORIGIN_REALM, "lab")
                .add_str(d::DESTINATION_REALM, "lab")
                .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
                .add_u32(d::TERMINATION_CAUSE, 1);
        let bytes = request.build();
        self.unanswered.insert(hop_by_hop, Unanswered { bytes: bytes.clone(), deadline: None });
        bytes
    }
}

/// Contents of a set-up request.
pub(crate) struct SetUp<'a> {
    pub session: &'a str,
    pub called: &'a str,
    pub calling: &'a str,
    pub patience: Micros,
    pub marks: u32,
}

/// State of a caller, from its first try to its end.
#[derive(Debug)]
pub(crate) struct Caller {
    pub class: usize,
    pub place: usize,
    /// Time at which the caller gives up all tries.
    pub ends: Micros,
    pub tries: u32,
    pub state: CallerState,
    /// The call was cut and the caller tries again.
    pub cut: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerState {
    /// Between two tries.
    Waiting,
    /// A try is outstanding: front-end and session.
    Trying(u16, String),
    /// The call stands: front-end and session.
    Standing(u16, String),
    Done,
}
