//! Checks that nodes make the same decisions from the same rules. The crate does no I/O.
//!
//! A node's [`Rules`] have a [version](Rules::version), a digest of everything that determines a decision.
//! Nodes of the same version must make the same decisions. Two mechanisms verify this: [generated
//! cases](Cases), whose digests form a [`Tree`], and [windows](Window) of real work that a [`Recorder`] seals
//! and other nodes [play](Window::play) again. The [`Checker`] exchanges them and decides what follows for
//! its own node.

mod cases;
mod checker;
mod tree;
mod version;
mod window;
mod words;

pub use cases::{describe, step_digests, Cases, CASES, STEPS};
pub use checker::{Checker, Input, Limits, Notice, Output};
pub use tree::Tree;
pub use version::{arithmetic_fingerprint, Digest, PlanEntry, Rules};
pub use window::{digest_actions, Bounds, Decider, Difference, Played, Recorder, Unplayable, Window};
pub use words::told;

pub use lemoncleat::Micros;
