//! Whether a server that could not be reached for a time is still the process that holds its calls.
//!
//! A machine that is lost and one that is cut off look alike: open connections stay open and silent, and new ones
//! never come up. When it is back, a new connection proves only that some process listens. The earlier process
//! proves that it lives by a message on a connection that was established before the outage. If the server
//! reports its state on new connections and on none of these, the earlier process is gone, and its calls with it.

use lemoncleat::ServerId;
use lemoncleat_core::Micros;

use super::{Server, ServerConn, Servers};
use crate::interface::ConnId;
use crate::node::AccessNode;
use crate::timing::{FRESH_CONN_INTERVAL_US, REPORT_ROUND_US, SERVER_RETURN_TIMEOUT_US};

/// A time in which a server with established calls was silent and accepted no connection.
#[derive(Clone, Copy)]
pub(super) struct Outage {
    /// When the last message before it was received.
    silent_since: Micros,
    /// When a connection was established again.
    returned_at: Option<Micros>,
}

impl Outage {
    /// Returns whether a connection of this time was established before the outage ended.
    fn precedes_return(self, opened_at: Micros) -> bool {
        self.returned_at.is_none_or(|returned_at| opened_at < returned_at)
    }
}

impl Servers {
    /// Records a dial that ran into its time limit.
    pub(super) fn dial_timed_out(&mut self, id: ServerId, now: Micros) {
        let is_connected = self.own_conns(id).next().is_some();
        let Some(server) = self.all.get_mut(&id) else { return };
        if now - server.last_received_at <= FRESH_CONN_INTERVAL_US {
            return;
        }
        match &mut server.outage {
            Some(outage) => outage.returned_at = None,
            None if is_connected && server.standing > 0 => {
                server.outage = Some(Outage { silent_since: server.last_received_at, returned_at: None });
            }
            None => {}
        }
    }

    /// Records a message on a connection. One on a connection of before the outage proves that the process
    /// that accepted it lives.
    pub(super) fn message_received(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get(&id) else { return };
        let Some(server) = self.all.get_mut(&conn.server) else { return };
        if server.outage.is_some_and(|outage| outage.precedes_return(conn.opened_at)) {
            server.outage = None;
        }
    }

    /// Records an unprompted report on a connection.
    pub(super) fn report_received(&mut self, id: ConnId, now: Micros) {
        if let Some(conn) = self.conns.get_mut(&id) {
            // The first report comes with the connection.
            if std::mem::replace(&mut conn.reported, true) {
                conn.reported_again_at.get_or_insert(now);
            }
        }
    }

    /// Returns whether a silent connection is kept because its server holds calls and is silent altogether: if
    /// the server comes back, a message on this connection proves that the calls still stand.
    pub(super) fn is_kept_as_proof(&self, conn: &ServerConn) -> bool {
        let Some(server) = self.all.get(&conn.server).filter(|server| server.standing > 0) else {
            return false;
        };
        match server.outage {
            Some(outage) => outage.precedes_return(conn.opened_at),
            None => conn.unanswered_since.is_some_and(|since| server.last_received_at <= since),
        }
    }

    /// Returns the time at which a server came back, if the process that held its calls before is gone.
    fn replaced_at(&self, id: ServerId, server: &Server, now: Micros) -> Option<Micros> {
        let outage = server.outage.filter(|outage| now - outage.silent_since > SERVER_RETURN_TIMEOUT_US)?;
        let returned_at = outage.returned_at?;
        let reports = |conn: &ServerConn| {
            let reported_again_at = conn.reported_again_at.filter(|_| conn.opened_at >= returned_at);
            reported_again_at.is_some_and(|at| now - at >= REPORT_ROUND_US)
        };
        self.own_conns(id).any(reports).then_some(returned_at)
    }

    fn own_conns(&self, id: ServerId) -> impl Iterator<Item = &ServerConn> {
        self.conns.values().filter(move |conn| conn.server == id)
    }
}

impl Server {
    /// Records that a connection was established.
    pub(super) fn connected(&mut self, now: Micros) {
        if let Some(outage) = &mut self.outage {
            outage.returned_at.get_or_insert(now);
        }
        (self.last_connected_at, self.last_received_at) = (now, now);
    }
}

impl AccessNode {
    /// Ends the calls of a server's earlier process if an outage has shown it to be gone, and closes its
    /// connections.
    pub(super) fn end_calls_of_replaced_process(&mut self, id: ServerId) {
        let now = self.now;
        let server = self.servers.all.get(&id);
        let Some(returned_at) = server.and_then(|server| self.servers.replaced_at(id, server, now)) else {
            return;
        };
        self.end_calls_held_before(id, returned_at);
        let earlier = |(_, conn): &(&ConnId, &ServerConn)| conn.server == id && conn.opened_at < returned_at;
        let earlier: Vec<ConnId> = self.servers.conns.iter().filter(earlier).map(|(id, _)| *id).collect();
        if let Some(server) = self.servers.all.get_mut(&id) {
            server.outage = None;
        }
        for conn in earlier {
            self.drop_server_conn(conn, Some("its server came back without it"));
        }
    }
}
