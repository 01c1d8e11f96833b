//! Checks whether a running node can adopt other settings.

use lemoncleat_node::Node;

use crate::service::ServiceSettings;

/// Checks that a node could change from its settings to others without a restart.
///
/// # Errors
///
/// One line that begins with the field that can't change.
pub fn fits_in_place(from: &ServiceSettings, to: &ServiceSettings) -> Result<(), String> {
    let mut node = Node::new(from.node.clone(), 0, 0).map_err(|error| error.to_string())?;
    node.configure(0, to.node.clone(), &mut Vec::new())
}
