//! Addresses that pass from one server to another.
//!
//! An address names no server: a new one may start where another has gone, and answers there before the list
//! tells of it. A dial that is made under the old name in the meantime reaches the new server. Once the list
//! gives the new server's start, the time at which a connection was established tells which of them accepted
//! it, and so which of them holds the calls that were set up on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lemoncleat::{Availability, ServerId};
use lemoncleat_core::Micros;

use super::{Servers, Successor};
use crate::interface::ConnId;
use crate::node::AccessNode;
use crate::notice::Notice;

impl Servers {
    /// Returns the server that uses each address. Of several servers listed at one address it is the one that
    /// was started last; if they started together, the one listed last, since ids ascend.
    fn users_of_addresses(&self) -> BTreeMap<SocketAddr, Successor> {
        let listed = self.all.iter().filter(|(_, server)| server.availability != Availability::Gone);
        let mut listed: Vec<_> =
            listed.map(|(id, server)| (server.started_at, *id, server.address)).collect();
        listed.sort_unstable();
        let users = listed
            .into_iter()
            .map(|(started_at, server, address)| (address, Successor { server, started_at }));
        users.collect()
    }

    /// Moves the connections of a server that were established since its successor started to the successor.
    /// Returns their number.
    fn move_conns(&mut self, from: ServerId, to: ServerId, started_at: Micros) -> usize {
        let accepted_by_successor =
            self.conns.iter().filter(|(_, conn)| conn.server == from && conn.opened_at >= started_at);
        let moved: Vec<ConnId> = accepted_by_successor.map(|(id, _)| *id).collect();
        for id in &moved {
            self.move_conn(*id, from, to);
        }
        moved.len()
    }

    fn move_conn(&mut self, id: ConnId, from: ServerId, to: ServerId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.server = to;
        if let Some(server) = self.all.get_mut(&from) {
            server.conns.remove(&id);
        }
        if let Some(server) = self.all.get_mut(&to) {
            server.conns.insert(id);
            server.last_connected_at = server.last_connected_at.max(conn.opened_at);
            server.last_received_at = server.last_received_at.max(conn.last_received_at);
        }
    }

    /// Counts an established call at the successor of its server, and the closed connection on which it was
    /// set up.
    fn move_standing(&mut self, from: ServerId, to: ServerId, conn: Option<ConnId>) {
        if let Some(server) = self.all.get_mut(&from) {
            server.standing = server.standing.saturating_sub(1);
        }
        if let Some(server) = self.all.get_mut(&to) {
            server.standing += 1;
        }
        if let Some(ended) = conn.and_then(|conn| self.ended_conns.get_mut(&conn)) {
            ended.server = to;
        }
    }

    /// Discards what the successor of a server told in that server's name: only messages on the connections
    /// that are left to the server show that it still holds its calls.
    fn discard_messages_of_successor(&mut self, id: ServerId) {
        let own_conns = self.conns.values().filter(|conn| conn.server == id);
        let received_at = own_conns.map(|conn| conn.last_received_at).max();
        if let (Some(server), Some(received_at)) = (self.all.get_mut(&id), received_at) {
            server.last_received_at = received_at;
        }
    }
}

impl AccessNode {
    /// Updates which servers have had their address taken over by another: servers that are gone, and servers
    /// listed earlier whose end has not been reported yet. They are not dialled there any more.
    pub(super) fn update_successors(&mut self) {
        let users = self.servers.users_of_addresses();
        let mut taken_over = Vec::new();
        for (&id, server) in &mut self.servers.all {
            let user = users.get(&server.address).copied().filter(|user| user.server != id);
            // A server that is gone does not get its address back when its successor is gone, too.
            let kept = server.successor.filter(|_| server.availability == Availability::Gone);
            let successor = user.or(kept);
            if server.successor != successor {
                server.successor = successor;
                taken_over.extend(successor.map(|successor| (id, successor)));
            }
        }
        for (id, successor) in taken_over {
            self.address_taken_over(id, successor);
        }
    }

    fn address_taken_over(&mut self, id: ServerId, successor: Successor) {
        let dials = self.servers.all.get_mut(&id).map(|server| std::mem::take(&mut server.dials));
        for dial in dials.unwrap_or_default() {
            self.cancel_dial(dial);
        }
        let Some(started_at) = successor.started_at else { return };
        let conns = self.servers.move_conns(id, successor.server, started_at);
        let calls = self.move_calls(id, successor.server, started_at);
        self.servers.discard_messages_of_successor(id);
        if conns + calls > 0 {
            let (server, successor) = (self.servers.name(id), self.servers.name(successor.server));
            self.notice(Notice::AddressTakenOver { server, successor, conns, calls });
        }
    }

    /// Moves the calls of a server that were set up on connections established since its successor started to
    /// the successor. Returns their number.
    fn move_calls(&mut self, from: ServerId, to: ServerId, started_at: Micros) -> usize {
        let mut calls = 0;
        for standing in self.standing.values_mut() {
            if standing.server == from && standing.established.is_on_conn_since(started_at) {
                standing.server = to;
                self.servers.move_standing(from, to, standing.server_conn);
                calls += 1;
            }
        }
        calls
    }
}
