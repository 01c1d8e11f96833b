//! The simulated network as the lab's `World` uses it: each call becomes a command that the simulation
//! carries out.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use lemoncleat_lab::Wire;
use lemoncleat_net::{ClientConfig, ServerConfig, ServerName};

use crate::Micros;

/// A request from the lab's `World`.
#[derive(Debug)]
pub(crate) enum Command {
    Dial(SocketAddr, u64),
    StopDial(u64),
    Send(u64, Vec<u8>),
    Close(u64),
    Abort(u64),
}

#[derive(Debug, Default)]
pub(crate) struct SimulatedNetwork {
    pub now: Micros,
    pub commands: Vec<Command>,
    /// Listening addresses, with the tag of each listener.
    pub listeners: BTreeMap<SocketAddr, u64>,
    next_port: u16,
}

impl SimulatedNetwork {
    pub fn next_address(&mut self) -> SocketAddr {
        self.next_port += 1;
        SocketAddr::from(([127, 0, 0, 1], 1_024 + self.next_port))
    }
}

/// The lab's end of the network.
pub(crate) struct LabWire(pub Rc<RefCell<SimulatedNetwork>>);

impl Wire for LabWire {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }

    fn listen(&mut self, tag: u64, _: Option<Arc<ServerConfig>>) -> io::Result<SocketAddr> {
        let mut network = self.0.borrow_mut();
        let address = network.next_address();
        network.listeners.insert(address, tag);
        Ok(address)
    }

    fn dial(&mut self, address: SocketAddr, tag: u64, _: Option<(ServerName<'static>, Arc<ClientConfig>)>) {
        self.0.borrow_mut().commands.push(Command::Dial(address, tag));
    }

    fn stop_dial(&mut self, tag: u64) {
        self.0.borrow_mut().commands.push(Command::StopDial(tag));
    }

    fn send(&mut self, conn: u64, bytes: &[u8]) {
        self.0.borrow_mut().commands.push(Command::Send(conn, bytes.to_vec()));
    }

    fn close(&mut self, conn: u64) {
        self.0.borrow_mut().commands.push(Command::Close(conn));
    }

    fn abort(&mut self, conn: u64) {
        self.0.borrow_mut().commands.push(Command::Abort(conn));
    }
}
