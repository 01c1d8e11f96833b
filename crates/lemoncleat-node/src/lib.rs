//! The core of an access node, without I/O: it translates between Diameter messages and the decision module
//! of `lemoncleat`.
//!
//! A driver owns the sockets and the clock. It reports events to a [`Node`] with [`Node::handle`] and carries
//! out the [`Output`]s. The node makes no routing decisions itself: the module decides which server a call
//! goes to, when an attempt is given up and when a call is refused.
//!
//! [`NumberingPlan`] maps a number to its class and its pool of first choice; [`Wheel`] holds the timers.

mod call;
mod list;
mod node;
mod notice;
mod plan;
mod rebuild;
mod servers;
mod settings;
mod translate;

pub use list::{ListEntry, ListNews};
pub use node::{
    CircuitOrder, CircuitStatus, GroupStatus, Input, Node, Output, PeerId, Stats, MAX_WORD_BYTES,
};
pub use notice::{Level, Notice};
pub use plan::{NumberingPlan, Route};
pub use settings::{CircuitSettings, MemberPeer, NodeSettings, Timing};

pub use lemoncleat_circuits as circuits;
pub use lemoncleat_core::{TimerKey, Wheel};

pub use lemoncleat::Availability;
pub use lemoncleat_diameter::{Backoff, ConnId, FrameReader, Micros, WATCHDOG_FLOOR};
