//! The core of an access node, without I/O: Diameter in and out on one side, the decision module of
//! `lemoncleat` on the other.
//!
//! A driver owns sockets and the clock. It tells a [`Node`] what happened with [`Node::handle`] and carries
//! out the [`Output`]s; the node decides nothing itself: which server a call goes to, when an attempt is
//! given up, and when a call is refused, all come from the module.
//!
//! [`NumberingPlan`] finds the class and pool of first choice of a number, [`Wheel`] holds the timers.

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
pub use node::{CircuitOrder, CircuitStatus, GroupStatus, Input, Node, Output, PeerId, Stats, WORD_MOST};
pub use notice::{Level, Notice};
pub use plan::{NumberingPlan, Route};
pub use settings::{CircuitSettings, MemberPeer, NodeSettings, Timing};

pub use lemoncleat_circuits as circuits;
pub use lemoncleat_core::{TimerKey, Wheel};

pub use lemoncleat::Availability;
pub use lemoncleat_diameter::{Backoff, ConnId, FrameReader, Micros, WATCHDOG_FLOOR};
