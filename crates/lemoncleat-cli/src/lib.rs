//! Functions of the `lemoncleat` command that are shared with its end-to-end tests.

mod starter;

pub use starter::{start_node, RunningNode};
