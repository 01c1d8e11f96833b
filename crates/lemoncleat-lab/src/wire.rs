//! What carries a laboratory's connections, and its clock: sockets in a rehearsal, a simulated network elsewhere.

use std::net::SocketAddr;
use std::sync::Arc;

use lemoncleat_net::{ClientConfig, ServerConfig, ServerName};

use crate::Micros;

/// Connections by number, as [`lemoncleat_net::Net`] has them, without the waiting: what happens is told to
/// [`crate::World::event`].
pub trait Wire {
    /// The time.
    fn now(&self) -> Micros;

    /// Accepts connections under a tag; where.
    ///
    /// # Errors
    ///
    /// When no address is to be had.
    fn listen(&mut self, tag: u64, tls: Option<Arc<ServerConfig>>) -> std::io::Result<SocketAddr>;

    /// Dials.
    fn dial(&mut self, address: SocketAddr, tag: u64, tls: Option<(ServerName<'static>, Arc<ClientConfig>)>);

    /// Gives up the dial with this tag.
    fn stop_dial(&mut self, tag: u64);

    /// Gives bytes to a connection.
    fn send(&mut self, conn: u64, bytes: &[u8]);

    /// Closes a connection after what was given for it.
    fn close(&mut self, conn: u64);

    /// Closes a connection at once, as a process that was killed would.
    fn abort(&mut self, conn: u64);

    /// Lets go what was given.
    fn flush(&mut self) {}

    /// The certificate (DER) that the other end showed.
    fn peer_certificate(&self, _conn: u64) -> Option<Vec<u8>> {
        None
    }

    /// The names in it.
    fn peer_names(&self, _conn: u64) -> Option<Vec<String>> {
        None
    }
}
