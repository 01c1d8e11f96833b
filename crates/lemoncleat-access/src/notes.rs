//! Notes between access nodes.

use std::collections::HashMap;
use std::net::SocketAddr;

use lemoncleat::{Event, Settings};

use crate::fleet::TAG;
use crate::interface::Output;
use crate::node::AccessNode;

/// The longest note.
pub(crate) const LONGEST: usize = 256;

/// Where notes go and come from.
pub(crate) struct Notes {
    allowed: bool,
    peers: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u32>,
    all: Option<SocketAddr>,
}

impl Notes {
    pub(crate) fn new(settings: &Settings, peers: Vec<SocketAddr>, all: Option<SocketAddr>) -> Self {
        let numbers = peers.iter().zip(0..).map(|(&peer, number)| (peer, number)).collect();
        Notes { allowed: settings.may_tell, peers, numbers, all }
    }

    pub(crate) fn allowed(&self) -> bool {
        self.allowed
    }

    /// How many nodes there are.
    pub(crate) fn peers(&self) -> usize {
        self.peers.len()
    }

    pub(crate) fn address(&self, number: u32) -> Option<SocketAddr> {
        self.peers.get(number as usize).copied()
    }
}

impl AccessNode {
    /// A note that came; those of unknown senders are dropped. One of the fleet is never the module's, whether or
    /// not this node has joined.
    pub(crate) fn note(&mut self, from: SocketAddr, bytes: &[u8]) {
        let sender = self.notes.numbers.get(&from).copied();
        if let (Some(from), true) = (sender, self.notes.allowed && bytes.len() <= LONGEST) {
            if bytes.first() == Some(&TAG) {
                self.fleet_note(from, bytes);
            } else {
                self.stats.notes += 1;
                self.tell(Event::Note { from, bytes: bytes.to_vec() });
            }
        }
    }

    pub(crate) fn send_note(&mut self, to: Option<u32>, bytes: Vec<u8>) {
        let address = match to {
            Some(number) => self.notes.address(number),
            None => self.notes.all,
        };
        let fits = bytes.len() <= LONGEST && bytes.first() != Some(&TAG);
        if let (Some(address), true) = (address, self.notes.allowed && fits) {
            self.out.push(Output::Tell(address, bytes));
        }
    }
}
