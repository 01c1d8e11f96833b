//! The settings of a node.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use lemoncleat::Settings;
use lemoncleat_circuits::audit::Audits;
use lemoncleat_circuits::{Order, Timers};
use lemoncleat_diameter::Backoff;

use crate::{Micros, NumberingPlan};

/// Timeouts and other time spans.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// The watchdog interval, Tw of RFC 3539.
    pub watchdog: Micros,
    /// Waits between attempts to dial a server.
    pub backoff: Backoff,
    /// How long a connection may take to open, and a new inbound one to send its CER.
    pub open: Micros,
    /// How long a peer may take to close the connection after DPR.
    pub close: Micros,
    /// A pause between two turns of the event loop that is longer than this is reported as a gap: see
    /// [`Input::Away`](crate::Input::Away).
    pub gap: Micros,
    /// How long before the caller's deadline the node stops waiting, so that its answer arrives in time.
    pub answer_margin: Micros,
    /// How long a client that lost its connection may take to reconnect before its calls are given up. No
    /// attempt begins for them in the meantime.
    pub client_return: Micros,
    /// How long a server that lost its connection may take to reconnect before its calls count as cut.
    pub server_return: Micros,
    /// How long answers are kept for repeated requests.
    pub duplicates: Micros,
    /// How long the answer to an abandoned set-up is still recognised.
    pub late_answers: Micros,
    /// How long standing calls may continue after the node was told to stop.
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
    /// The number of circuits in a group.
    pub size: u32,
    /// The order in which idle circuits are seized.
    pub order: Order,
    /// Timeouts for replies.
    pub timers: Timers,
    /// Audit settings; `None` disables audits.
    pub audits: Option<Audits>,
}

/// Another node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberPeer {
    /// Its Origin-Host.
    pub host: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
}

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Origin-Host.
    pub host: Arc<str>,
    /// Origin-Realm, which is also the realm that the node serves.
    pub realm: Arc<str>,
    /// Values of Host-IP-Address.
    pub addresses: Vec<IpAddr>,
    /// Origin-Hosts of the clients that may connect.
    pub clients: Vec<Arc<str>>,
    /// The nodes of the fleet; empty for a node on its own. The list may include this node, which is skipped,
    /// so that all nodes can share one list and one numbering.
    pub members: Vec<MemberPeer>,
    /// The settings of the decision module.
    pub module: Settings,
    /// The names of the module's classes, by index. They let calls keep their class when settings change in
    /// place.
    pub class_names: Vec<Arc<str>>,
    /// Maps numbers to the class and the pool of first choice.
    pub plan: NumberingPlan,
    /// Timeouts and other time spans.
    pub timing: Timing,
    /// Longest message accepted, in bytes.
    pub max_message: usize,
    /// Maximum number of simultaneous connections.
    pub max_connections: usize,
    /// Maximum number of simultaneous calls, standing or being set up.
    pub max_calls: usize,
    /// Maximum number of bytes queued for writing to one peer.
    pub max_queue: usize,
    /// Maximum number of requests remembered to detect repeats.
    pub max_duplicates: usize,
    /// Trunk groups. Without them the node does not track a server's lines.
    pub circuits: Option<CircuitSettings>,
    /// Whether the steps of each call are reported as notices.
    pub trace_calls: bool,
}

impl NodeSettings {
    /// Creates settings with default values where these exist; classes are named by their index.
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
