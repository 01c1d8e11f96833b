//! The access node on the operators' platform, without I/O: SIP of callers and call servers on one side, the
//! decision module of `lemoncleat` on the other.
//!
//! A driver owns sockets and the clock. It tells an [`AccessNode`] what happened with [`AccessNode::handle`] and
//! carries out the [`Output`]s. Which server a call goes to, when an attempt is given up and when a call is
//! refused all come from the module; what stands here is what the protocol makes of that, and the bounds that keep
//! callers, servers and the node's own memory from harming one another.

mod callers;
mod calls;
mod description;
mod door;
mod fleet;
mod interface;
mod invite;
mod journal;
mod node;
mod notes;
mod notice;
mod releases;
mod servers;
mod sweep;
mod timing;

pub use interface::{ConnId, DialId, Input, Output, Stats};
pub use lemoncleat_core::Micros;
pub use node::AccessNode;
pub use notice::{Level, Notice};
