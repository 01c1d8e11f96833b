//! What a node is told at its start.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use lemoncleat::Settings;
use lemoncleat_circuits::audit::Audits;
use lemoncleat_circuits::{Order, Timers};
use lemoncleat_diameter::Backoff;

use crate::{Micros, NumberingPlan};

/// Spans of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Tw of RFC 3539.
    pub watchdog: Micros,
    /// Waits between dials of a server.
    pub backoff: Backoff,
    /// How long a connection may take to open, and a new one to show its CER.
    pub open: Micros,
    /// How long a peer may take to close after DPR.
    pub close: Micros,
    /// A loop without a turn for longer than this has been away: see [`Input::Away`](crate::Input::Away).
    pub gap: Micros,
    /// How much earlier than the caller the node stops waiting, so that its answer arrives in time.
    pub answer_margin: Micros,
    /// How long a client that lost its connection may take to come back before its calls are given up.
    /// Meanwhile no attempt begins for them.
    pub client_return: Micros,
    /// How long a server that lost its connection may take to come back before its calls count as cut.
    pub server_return: Micros,
    /// How long answers are kept for requests that come again.
    pub duplicates: Micros,
    /// How long an abandoned set-up's answer is still recognised.
    pub late_answers: Micros,
    /// How long standing calls may go on after the node was told to stop.
    pub drain: Micros,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            watchdog: 30_000_000,
            backoff: Backoff { first: 100_000, most: 10_000_000 },
            open: 2_000_000,
            close: 1_000_000,
            gap: 50_000,
            answer_margin: 30_000,
            client_return: 5_000_000,
            server_return: 10_000_000,
            duplicates: 60_000_000,
            late_answers: 60_000_000,
            drain: 60_000_000,
        }
    }
}

/// The trunk groups toward servers; each server has one.
#[derive(Clone, Debug, PartialEq)]
pub struct CircuitSettings {
    /// Circuits of a group.
    pub size: u32,
    /// Which idle circuit is seized next.
    pub order: Order,
    /// Waits for replies.
    pub timers: Timers,
    /// Audits; `None` for none.
    pub audits: Option<Audits>,
}

/// Another node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberPeer {
    /// Its Origin-Host.
    pub host: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Origin-Host.
    pub host: Arc<str>,
    /// Origin-Realm, and the realm that it serves.
    pub realm: Arc<str>,
    /// Host-IP-Addresses.
    pub addresses: Vec<IpAddr>,
    /// Origin-Hosts of the clients that may connect.
    pub clients: Vec<Arc<str>>,
    /// The nodes of the fleet; none for a node on its own. The node itself may stand among them and is passed
    /// over, so that all nodes can be given one list and one numbering.
    pub members: Vec<MemberPeer>,
    /// What the decision module is told.
    pub module: Settings,
    /// The names of its classes, by index: by them calls keep their class when settings change in place.
    pub class_names: Vec<Arc<str>>,
    /// Class and pool of first choice by number.
    pub plan: NumberingPlan,
    /// Spans of time.
    pub timing: Timing,
    /// Longest message taken, in bytes.
    pub max_message: usize,
    /// Most connections at once.
    pub max_connections: usize,
    /// Most calls at once, standing or being set up.
    pub max_calls: usize,
    /// Most bytes that wait to be written to one peer.
    pub max_queue: usize,
    /// Most requests remembered for their repeats.
    pub max_duplicates: usize,
    /// Trunk groups; without them a server's lines are its own matter.
    pub circuits: Option<CircuitSettings>,
    /// Steps of each call are told as notices.
    pub trace_calls: bool,
}

impl NodeSettings {
    /// Settings with defaults for all that has one; classes are named by their index.
    pub fn new(host: &str, realm: &str, module: Settings, plan: NumberingPlan) -> Self {
        NodeSettings {
            host: host.into(),
            realm: realm.into(),
            addresses: vec![IpAddr::from([127, 0, 0, 1])],
            clients: Vec::new(),
            members: Vec::new(),
            class_names: (0..module.classes.len()).map(|class| class.to_string().into()).collect(),
            module,
            plan,
            timing: Timing::default(),
            max_message: 65_536,
            max_connections: 4_096,
            max_calls: 200_000,
            max_queue: 1 << 20,
            max_duplicates: 100_000,
            circuits: None,
            trace_calls: false,
        }
    }
}
