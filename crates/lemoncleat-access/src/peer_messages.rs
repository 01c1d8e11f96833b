//! Messages between access nodes, one datagram each.

use std::collections::HashMap;
use std::net::SocketAddr;

use lemoncleat::{Event, Settings};

use crate::fleet::FLEET_TAG;
use crate::interface::Output;
use crate::node::AccessNode;

/// Maximum size of a message.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256;

/// Addresses of the access nodes.
pub(crate) struct PeerMessages {
    allowed: bool,
    peers: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u32>,
    all: Option<SocketAddr>,
}

impl PeerMessages {
    pub(crate) fn new(settings: &Settings, peers: Vec<SocketAddr>, all: Option<SocketAddr>) -> Self {
        let numbers = peers.iter().zip(0..).map(|(&peer, number)| (peer, number)).collect();
        PeerMessages { allowed: settings.may_tell, peers, numbers, all }
    }

    pub(crate) fn allowed(&self) -> bool {
        self.allowed
    }

    /// Returns the number of access nodes.
    pub(crate) fn peers(&self) -> usize {
        self.peers.len()
    }

    pub(crate) fn address(&self, number: u32) -> Option<SocketAddr> {
        self.peers.get(number as usize).copied()
    }
}

impl AccessNode {
    /// Handles a received message; those of unknown senders and those that are too long are dropped. A
    /// message of the fleet protocol is never passed to the module, whether or not this node has joined the
    /// fleet.
    pub(crate) fn peer_message(&mut self, from: SocketAddr, bytes: &[u8]) {
        let sender = self.peer_messages.numbers.get(&from).copied();
        if let (Some(from), true) = (sender, self.peer_messages.allowed && bytes.len() <= MAX_MESSAGE_BYTES) {
            if bytes.first() == Some(&FLEET_TAG) {
                self.fleet_message(from, bytes);
            } else {
                self.stats.peer_messages += 1;
                self.queue_event(Event::Note { from, bytes: bytes.to_vec() });
            }
        }
    }

    pub(crate) fn send_peer_message(&mut self, to: Option<u32>, bytes: Vec<u8>) {
        let address = match to {
            Some(number) => self.peer_messages.address(number),
            None => self.peer_messages.all,
        };
        let fits = bytes.len() <= MAX_MESSAGE_BYTES && bytes.first() != Some(&FLEET_TAG);
        if let (Some(address), true) = (address, self.peer_messages.allowed && fits) {
            self.out.push(Output::SendDatagram(address, bytes));
        }
    }
}
