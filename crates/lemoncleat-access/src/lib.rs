//! Protocol core of the access node on the operators' platform, without I/O. It speaks SIP with callers and
//! call servers and asks the decision module of `lemoncleat` for every routing decision.
//!
//! A driver owns the sockets and the clock. It reports what happened through [`AccessNode::handle`] and
//! carries out the [`Output`]s. The module decides which server a call goes to, when an attempt is given up
//! and when a call is refused. This crate implements what the protocol requires for these decisions, and the
//! limits that protect callers, servers and the node's own memory from one another.

mod answers;
mod callers;
mod calls;
mod catch_up;
mod description;
mod fleet;
mod interface;
mod invite;
mod journal;
mod maintenance;
mod node;
mod notice;
mod peer_messages;
mod releases;
mod servers;
mod timing;

pub use interface::{ConnId, DialId, Input, Output, Stats};
pub use lemoncleat_core::Micros;
pub use node::AccessNode;
pub use notice::{Level, Notice};
