//! Whether a running node can take settings as they are.

use lemoncleat_node::Node;

use crate::service::ServiceSettings;

/// Whether a node that runs with some settings could change to others without a restart.
///
/// # Errors
///
/// In one line that begins with the field.
pub fn fits_in_place(from: &ServiceSettings, to: &ServiceSettings) -> Result<(), String> {
    let mut node = Node::new(from.node.clone(), 0, 0).map_err(|error| error.to_string())?;
    node.configure(0, to.node.clone(), &mut Vec::new())
}
