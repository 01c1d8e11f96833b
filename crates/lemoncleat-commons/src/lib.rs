//! The fleet side of a node, without I/O: membership, published facts, and replicated state.
//!
//! A [`FleetNode`] connects the state machines of `lemoncleat-fleet`, `lemoncleat-agreement`,
//! `lemoncleat-configuration` and `lemoncleat-consistency` to one carrier of messages between members, and
//! returns actions for a driver. It does not handle calls. A node that belongs to no fleet has no part.

mod configuration;
mod fragments;
mod members;
mod part;
mod rules;
mod seat;
mod state;

pub use lemoncleat_configuration::Calls;
pub use part::{Figures, FleetNode, Said, Settings};
pub use rules::RulesCheck;
pub use seat::VoterRole;

/// A duration or a point in time, in microseconds.
pub type Micros = i64;
