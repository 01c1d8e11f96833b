//! The server list as it is delivered to the node.

use std::net::SocketAddr;
use std::sync::Arc;

use lemoncleat::Availability;

use crate::Micros;

/// One entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The server's Origin-Host, which identifies it.
    pub host: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Whether it accepts new work.
    pub availability: Availability,
    /// How long ago its process started, if that was recently.
    pub started_ago: Option<Micros>,
    /// The number of its place (pool).
    pub place: i64,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its machine type.
    pub kind: Arc<str>,
}

/// An update of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListNews {
    /// The complete list.
    Complete(Vec<ListEntry>),
    /// The changed entries only.
    Changes(Vec<ListEntry>),
}
