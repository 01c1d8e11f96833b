//! Messages between the rehearsal and the processes that run hollow nodes.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::stage::Process;
use crate::Micros;

/// The nodes that a process runs; the first line it receives.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowPlan {
    /// The nodes.
    pub nodes: Vec<HollowNode>,
    /// End of the settings of every node, the same for all of them.
    pub tail: String,
}

/// One hollow node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowNode {
    /// Origin-Host of the node.
    pub host: String,
    /// Listening address.
    pub address: SocketAddr,
    /// Seed of the node's random choices.
    pub seed: u64,
    /// Beginning of the node's settings.
    pub head: String,
}

/// An order to a process with hollow nodes, after its [`HollowPlan`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum Order {
    /// Start all nodes.
    Start,
    /// Stop a node gracefully and start it again.
    Restart {
        /// Index of the node in the plan.
        node: usize,
    },
    /// Report each node's view of the other members.
    Views,
    /// Report each node's resource use.
    Figures,
    /// Report all configurations that each node has put in force.
    Configurations,
    /// Forward an order to a node's control port.
    Ask {
        /// Index of the node in the plan.
        node: usize,
        /// Order to forward.
        order: Value,
    },
}

/// Answer to an [`Order`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Answer {
    /// Reason why the order failed.
    pub error: Option<String>,
    /// Answer to [`Order::Views`], in the order of the plan.
    pub views: Vec<NodeView>,
    /// Answer to [`Order::Figures`], in the order of the plan.
    pub figures: Vec<NodeFigures>,
    /// Answer to [`Order::Configurations`], in the order of the plan: number and time of each configuration,
    /// oldest first.
    pub configurations: Vec<Vec<(u64, Micros)>>,
    /// Resident memory of the process in bytes.
    pub memory_bytes: u64,
    /// Processor time of the threads shared by all nodes of the process, in microseconds.
    pub shared_us: u64,
    /// Answer to [`Order::Ask`].
    pub told: Value,
}

/// A node's view of the other members, taken from its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeView {
    /// Number of members that the node considers alive, without itself.
    pub alive: u32,
    /// Wrapping sum of [`mark_of`] over the names of these members.
    pub marks: u64,
    /// Time of the last change of the view, in microseconds since the epoch.
    pub changed: Micros,
    /// Number of the configuration in force, 0 for none.
    pub configuration: u64,
}

/// Resource use of a node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeFigures {
    /// Number of the start; it increases with each restart.
    pub start: u32,
    /// Processor time of the node's own thread, in microseconds.
    pub processor_us: u64,
    /// Control messages of the node; `None` if it did not answer.
    pub traffic: Option<Traffic>,
}

/// Control messages of a node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of the messages sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes of the messages received.
    pub received_bytes: u64,
}

impl Traffic {
    /// Reads the figures from the answer of a node's control port to `spent`.
    pub fn from_spent(answer: &Value) -> Option<Traffic> {
        let figure = |name: &str| answer[name].as_u64();
        Some(Traffic {
            sent: figure("control_sent_messages")?,
            sent_bytes: figure("control_sent_bytes")?,
            received: figure("control_received_messages")?,
            received_bytes: figure("control_received_bytes")?,
        })
    }
}

/// Returns a hash of a name. Wrapping sums of these hashes distinguish sets of names.
pub fn mark_of(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// A process that runs hollow nodes.
pub(super) struct Host {
    pub(super) process: Process,
    /// Indexes of its nodes in the layout.
    pub(super) nodes: Vec<usize>,
    pub(super) zone: usize,
    pub(super) state: HostState,
    pub(super) plan: HollowPlan,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostState {
    Up,
    Paused,
    Killed,
}

impl Host {
    pub(super) fn send(&mut self, order: &Order) -> io::Result<()> {
        self.process.write_line(&serde_json::to_string(order)?)
    }

    pub(super) fn receive(&mut self) -> io::Result<Answer> {
        let line = self.process.read_line()?;
        let answer: Answer = serde_json::from_str(&line)
            .map_err(|error| io::Error::other(format!("{}: {error}: {line}", self.process.name())))?;
        match &answer.error {
            Some(why) => Err(io::Error::other(format!("{}: {why}", self.process.name()))),
            None => Ok(answer),
        }
    }

    pub(super) fn send_plan(&mut self) -> io::Result<()> {
        let plan = serde_json::to_string(&self.plan)?;
        self.process.write_line(&plan)?;
        self.receive().map(drop)
    }
}
