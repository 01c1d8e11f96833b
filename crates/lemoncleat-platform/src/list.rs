//! The list of servers.

use std::net::SocketAddr;

use lemoncleat::{Availability, Member, Micros, ServerId};

use crate::names::Names;

/// A server as a list tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Its name, the same over restarts.
    pub name: String,
    /// When it last started, on the clock of whoever told; `None` if long ago.
    pub started_at: Option<Micros>,
    /// Whether it takes work.
    pub availability: Availability,
    /// The number of its exchange or pool.
    pub place: i64,
    /// The zone it stands in.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
}

impl ListedServer {
    /// The line of the list as the module takes it, with the server's number and the names' numbers.
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

/// A server of the journal service's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// What the list says; `started_at` is in microseconds of Unix time.
    pub server: ListedServer,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What an event of the journal service says of the servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerNews {
    /// All there are; otherwise only what changed.
    pub complete: bool,
    /// The servers.
    pub endpoints: Vec<Endpoint>,
}
