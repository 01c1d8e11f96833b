//! Entries and updates of the server list.

use std::net::SocketAddr;

use lemoncleat::{Availability, Member, Micros, ServerId};

use crate::names::Names;

/// An entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The name of the server, unchanged by restarts.
    pub name: String,
    /// When it last started, on the clock of the source of the list; `None` if that is long ago.
    pub started_at: Option<Micros>,
    /// Whether it accepts calls.
    pub availability: Availability,
    /// The number of its exchange or pool.
    pub place: i64,
    /// The zone that it is located in.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
}

impl ListedServer {
    /// Returns the entry in the form of the decision module, with names replaced by numbers.
    pub fn member(&self, server: ServerId, zones: &mut Names, kinds: &mut Names) -> Member {
        Member {
            server,
            availability: self.availability,
            started_at: self.started_at,
            place: self.place,
            zone: zones.number(&self.zone),
            kind: kinds.number(&self.kind),
        }
    }
}

/// An entry of the journal service's server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The entry; its `started_at` is in microseconds of Unix time.
    pub server: ListedServer,
    /// The address that it listens on.
    pub address: SocketAddr,
}

/// An update of the server list from the journal service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerNews {
    /// Whether `endpoints` is the complete list. Otherwise it contains only the changed entries.
    pub complete: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}
