//! The servers that the list has named, with the peer of each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use lemoncleat::{Availability, Member, ServerId};

use crate::list::ListEntry;
use crate::node::PeerId;
use crate::Micros;

/// A server that the list has named at least once.
#[derive(Debug)]
pub(crate) struct Server {
    pub peer: PeerId,
    pub host: Arc<str>,
    pub address: SocketAddr,
    /// The availability given by the list.
    pub listed: Availability,
    /// Whether the server asked to end its connection and has not reconnected since.
    pub leaving: bool,
    pub started_at: Option<Micros>,
    place: i64,
    zone: u32,
    kind: u32,
}

impl Server {
    /// Returns the server as it is reported to the module: draining as soon as either the list or the server
    /// itself says so.
    pub fn member(&self, id: ServerId) -> Member {
        let availability = match self.listed {
            Availability::Ready if self.leaving => Availability::Draining,
            listed => listed,
        };
        Member {
            server: id,
            availability,
            started_at: self.started_at,
            place: self.place,
            zone: self.zone,
            kind: self.kind,
        }
    }
}

/// All servers, indexed by the number that identifies them to the module.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    all: Vec<Server>,
    by_host: HashMap<Arc<str>, ServerId>,
    zones: HashMap<Arc<str>, u32>,
    kinds: HashMap<Arc<str>, u32>,
}

/// Returns the number of a name. Numbers are assigned in order of first use.
fn intern(names: &mut HashMap<Arc<str>, u32>, name: &Arc<str>) -> u32 {
    let next_number = names.len() as u32;
    *names.entry(name.clone()).or_insert(next_number)
}

impl Servers {
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.all.get(id.0 as usize)
    }

    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.all.get_mut(id.0 as usize)
    }

    pub fn find(&self, host: &str) -> Option<ServerId> {
        self.by_host.get(host).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        self.all.iter().enumerate().map(|(index, server)| (ServerId(index as u32), server))
    }

    /// The number that the next new server gets.
    pub fn next_id(&self) -> ServerId {
        ServerId(self.all.len() as u32)
    }

    /// Applies an entry of the list; `peer` is the server's peer.
    pub fn update(&mut self, now: Micros, entry: &ListEntry, peer: PeerId) -> ServerId {
        let (zone, kind) = (intern(&mut self.zones, &entry.zone), intern(&mut self.kinds, &entry.kind));
        let id = match self.by_host.get(&entry.host) {
            Some(id) => *id,
            None => {
                let id = self.next_id();
                self.all.push(Server {
                    peer,
                    host: entry.host.clone(),
                    address: entry.address,
                    listed: entry.availability,
                    leaving: false,
                    started_at: None,
                    place: entry.place,
                    zone,
                    kind,
                });
                self.by_host.insert(entry.host.clone(), id);
                id
            }
        };
        let server = &mut self.all[id.0 as usize];
        server.address = entry.address;
        server.listed = entry.availability;
        (server.place, server.zone, server.kind) = (entry.place, zone, kind);
        // The list's clock and its delay differ from the node's. A start time reported again therefore shifts
        // slightly, and a restart that the node saw itself is later than the time in an outdated entry.
        let reported = entry.started_ago.map(|ago| now - ago);
        server.started_at = match (server.started_at, reported) {
            (Some(known), Some(reported))
                if (reported - known).abs() < SAME_START_TOLERANCE_US || reported < known =>
            {
                Some(known)
            }
            (known, None) => known,
            (_, reported) => reported,
        };
        id
    }
}

/// Start times closer together than this count as the same start.
const SAME_START_TOLERANCE_US: Micros = 2_000_000;
