//! A node's part in its fleet, without I/O: who is there, what each tells of itself, and what all agree on.
//!
//! A [`Part`] joins the cores of `lemoncleat-fleet` and `lemoncleat-agreement` to one carrier of words between
//! members, and says what a driver is to do. Nothing in it touches a call; a node without a fleet has none of it.

mod configuration;
mod members;
mod part;
mod pieces;
mod rules;
mod seat;
mod state;

pub use lemoncleat_configuration::Calls;
pub use part::{Figures, Part, Said, Settings};
pub use rules::RulesCheck;
pub use seat::Seat;

/// A span or a moment in microseconds.
pub type Micros = i64;
