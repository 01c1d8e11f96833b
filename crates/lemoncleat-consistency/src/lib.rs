//! The same decisions from the same rules: checked between nodes, without I/O.
//!
//! A node's [`Rules`] have a [version](Rules::version), a digest of all that determines a decision. Nodes of one
//! version must decide alike, and two things show it: [generated cases](Cases), whose digests stand in a
//! [`Tree`], and [windows](Window) of real work that a [`Recorder`] seals and others [play](Window::play) again.
//! The [`Checker`] exchanges them and says what follows for its own node.

mod cases;
mod checker;
mod tree;
mod version;
mod window;
mod words;

pub use cases::{describe, replay, Cases, CASES, STEPS};
pub use checker::{Checker, Input, Limits, Notice, Output};
pub use tree::Tree;
pub use version::{arithmetic, Digest, PlanEntry, Rules};
pub use window::{digest_actions, Bounds, Decider, Difference, Played, Recorder, Unplayable, Window};
pub use words::told;

pub use lemoncleat::Micros;
