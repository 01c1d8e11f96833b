//! The interface to a lab's connections and clock: sockets in a run on loopback, or a simulated network.

use std::net::SocketAddr;
use std::sync::Arc;

use lemoncleat_net::{ClientConfig, ServerConfig, ServerName};

use crate::Micros;

/// Connections by number, as in [`lemoncleat_net::Net`], but without waiting for events: the owner passes
/// events to [`crate::World::event`].
pub trait Wire {
    /// Returns the time.
    fn now(&self) -> Micros;

    /// Accepts connections under a tag and returns the address.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    fn listen(&mut self, tag: u64, tls: Option<Arc<ServerConfig>>) -> std::io::Result<SocketAddr>;

    /// Dials an address under a tag.
    fn dial(&mut self, address: SocketAddr, tag: u64, tls: Option<(ServerName<'static>, Arc<ClientConfig>)>);

    /// Cancels the dial with this tag.
    fn stop_dial(&mut self, tag: u64);

    /// Queues bytes on a connection.
    fn send(&mut self, conn: u64, bytes: &[u8]);

    /// Closes a connection after its queued bytes are sent.
    fn close(&mut self, conn: u64);

    /// Aborts a connection at once, as when a process is killed.
    fn abort(&mut self, conn: u64);

    /// Sends the queued bytes.
    fn flush(&mut self) {}

    /// Returns the certificate (DER) that the other end presented.
    fn peer_certificate(&self, _conn: u64) -> Option<Vec<u8>> {
        None
    }

    /// Returns the names in that certificate.
    fn peer_names(&self, _conn: u64) -> Option<Vec<String>> {
        None
    }
}
