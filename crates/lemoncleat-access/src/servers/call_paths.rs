//! Whether the end of an established call can still be reported by its server.
//!
//! A server releases a call on the connection of its set-up, otherwise on any open one, and repeats the release
//! on the next one that is established. It knows only of those ends that it can see: a connection that is dead
//! without a sign is open for it, and what it sends there is lost. So a call whose own connection is gone may
//! have ended unnoticed, however lively its server is on other connections.

use std::collections::BTreeMap;

use lemoncleat::ServerId;
use lemoncleat_core::Micros;

use super::{ServerConn, Servers};
use crate::interface::ConnId;
use crate::timing::SERVER_LOST_TIMEOUT_US;

/// Maximum number of connections from one node on which a server reports its state.
const MAX_REPORTING_CONNS: usize = 4;

/// How a connection ended on which established calls were set up.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnEnd {
    /// Closed by this node without a fault: the server sees that.
    Closed,
    /// Given up by this node for a fault: the server may not see that, and release its calls there.
    GivenUp,
    /// Closed by the server, which releases its calls on another connection.
    ClosedByServer,
}

/// An ended connection on which calls were set up that are still established.
pub(super) struct EndedConn {
    pub(super) server: ServerId,
    /// Number of these calls.
    pub(super) standing: usize,
    end: ConnEnd,
    last_received_at: Micros,
}

impl Servers {
    /// Records the end of a connection, if established calls were set up on it.
    pub(super) fn conn_ended(&mut self, id: ConnId, gone: &ServerConn, end: ConnEnd) {
        if gone.standing > 0 {
            let (server, standing, last_received_at) = (gone.server, gone.standing, gone.last_received_at);
            self.ended_conns.insert(id, EndedConn { server, standing, end, last_received_at });
        }
    }

    /// Records a new connection to a server, which repeats on it the releases that crossed an orderly close.
    pub(super) fn repeats_releases(&mut self, server: ServerId) {
        self.ended_conns.retain(|_, ended| ended.end != ConnEnd::Closed || ended.server != server);
    }

    /// Returns for each server with established calls the time up to which all messages about them have
    /// certainly been received, as far as that depends on the connections on which they were set up.
    pub(super) fn received_until(&self) -> BTreeMap<ServerId, Micros> {
        let conns = self.conns.values().filter(|conn| conn.standing > 0);
        let conns = conns.map(|conn| (conn.server, conn.last_received_at));
        let ended = self.ended_conns.values().filter_map(|ended| match ended.end {
            ConnEnd::Closed | ConnEnd::GivenUp => Some((ended.server, 0)),
            ConnEnd::ClosedByServer => Some((ended.server, self.reported_until(ended.server)?)),
        });
        let named = self.all.iter().filter(|(_, server)| server.named > 0);
        let named = named.filter_map(|(id, _)| Some((*id, self.reported_until(*id)?)));
        let mut received_until = BTreeMap::new();
        for (server, at) in conns.chain(ended).chain(named) {
            let earliest = received_until.entry(server).or_insert(at);
            *earliest = at.min(*earliest);
        }
        received_until
    }

    /// Returns the time up to which a server has reported on all connections on which it should, or `None` if
    /// there is none.
    fn reported_until(&self, server: ServerId) -> Option<Micros> {
        let own_conns = self.all.get(&server)?.conns.iter().filter_map(|id| self.conns.get(id));
        let mut received_at: Vec<_> = own_conns.map(|conn| conn.last_received_at).collect();
        received_at.sort_unstable_by_key(|at| std::cmp::Reverse(*at));
        received_at.truncate(MAX_REPORTING_CONNS);
        received_at.last().copied()
    }

    /// Returns the connections of a server that accepts no new one, on which the ends of calls may have been
    /// reported in vain for so long that their callers must be told: ended ones, and open ones that are silent.
    /// `None` among them stands for the calls that callers named.
    pub(super) fn lost_paths(&self, id: ServerId, now: Micros) -> Vec<Option<ConnId>> {
        let Some(server) = self.all.get(&id).filter(|server| server.unreachable) else { return Vec::new() };
        let is_lost =
            |told_until: Micros| now - told_until.max(server.last_connected_at) > SERVER_LOST_TIMEOUT_US;
        let reported_until = self.reported_until(id).unwrap_or(server.last_received_at);
        let ended = self.ended_conns.iter().filter(|(_, ended)| ended.server == id);
        let ended = ended.filter(|(_, ended)| match ended.end {
            ConnEnd::Closed => false,
            ConnEnd::GivenUp => is_lost(ended.last_received_at),
            ConnEnd::ClosedByServer => is_lost(reported_until),
        });
        // Beyond the connections on which the server reports, silence says nothing.
        let open = server.conns.iter().filter(|conn| {
            let carries_calls = self.conns.get(conn).filter(|conn| conn.standing > 0);
            carries_calls.is_some_and(|conn| is_lost(conn.last_received_at.max(reported_until)))
        });
        let named = (server.named > 0 && is_lost(reported_until)).then_some(None);
        ended.map(|(conn, _)| Some(*conn)).chain(open.map(|conn| Some(*conn))).chain(named).collect()
    }
}
