//! The server list: which servers there are, and at which addresses.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use lemoncleat::{Availability, CallId, Outcome, Reason, Report, ServerId, ServerListUpdate};
use lemoncleat_core::Micros;
use lemoncleat_platform::ServerNews;

use super::Server;
use crate::node::AccessNode;
use crate::timing::REDIAL_PAUSE_US;

impl AccessNode {
    /// Applies an update of the server list.
    pub(crate) fn server_list_received(&mut self, news: ServerNews) {
        let mut members = Vec::new();
        let mut seen = BTreeSet::new();
        for endpoint in news.endpoints {
            let mut listed = endpoint.server;
            listed.started_at = listed.started_at.map(|at| at - self.epoch);
            let known = self.servers.named(&listed.name);
            let id = match known {
                Some(id) => id,
                None if listed.availability == Availability::Gone => continue,
                None => self.add_server(&listed.name, endpoint.address),
            };
            seen.insert(id);
            members.push(listed.member(id, &mut self.servers.zones, &mut self.servers.kinds));
            let Some(server) = self.servers.all.get_mut(&id) else { continue };
            server.address = endpoint.address;
            server.availability = listed.availability;
            // An entry without a start, or with an earlier one, says nothing new.
            if listed.started_at > server.started_at {
                server.started_at = listed.started_at;
                // A complete list does not tell whether a server that is new in it was started for the first
                // time, as it does not after a restart of this node. A change that adds a server does.
                let may_be_restart = known.is_some() || news.complete;
                server.restarted_at = listed.started_at.filter(|_| may_be_restart);
                if let Some(started_at) = server.restarted_at {
                    self.end_calls_of_earlier_process(id, started_at);
                    self.drop_conns_of_earlier_process(id, started_at);
                }
            }
            if listed.availability != Availability::Ready {
                self.end_waiting_attempts(id);
            }
        }
        if news.complete {
            let gone: Vec<_> = self.servers.all.keys().filter(|id| !seen.contains(id)).copied().collect();
            for id in gone {
                if let Some(server) = self.servers.all.get_mut(&id) {
                    server.availability = Availability::Gone;
                }
                self.end_waiting_attempts(id);
            }
        }
        let all = self.servers.all.values();
        self.servers.ready_servers = all.filter(|server| server.availability == Availability::Ready).count();
        self.update_successors();
        if self.tracing {
            self.log_servers();
        }
        let news = if news.complete {
            ServerListUpdate::Complete(members)
        } else {
            ServerListUpdate::Changes(members)
        };
        self.queue_member_news(news);
        for id in self.servers.in_rotated_order() {
            self.maintain_server(id);
        }
    }

    /// Closes the connections that an earlier process of a server accepted: nobody reads them any more.
    fn drop_conns_of_earlier_process(&mut self, id: ServerId, started_at: Micros) {
        let earlier = self.servers.conns.iter().filter(|(_, conn)| conn.server == id);
        let earlier = earlier.filter(|(_, conn)| conn.opened_at < started_at).map(|(conn, _)| *conn);
        for conn in earlier.collect::<Vec<_>>() {
            self.drop_server_conn(conn, Some("its process was restarted"));
        }
    }

    fn add_server(&mut self, name: &str, address: SocketAddr) -> ServerId {
        let id = ServerId(self.servers.next_server);
        self.servers.next_server += 1;
        let server = Server {
            name: name.to_owned(),
            address,
            availability: Availability::Ready,
            started_at: None,
            restarted_at: None,
            conns: BTreeSet::new(),
            dials: BTreeSet::new(),
            standing: 0,
            named: 0,
            pending_releases: Vec::new(),
            last_connected_at: self.now,
            last_received_at: self.now,
            unreachable: false,
            outage: None,
            pause: REDIAL_PAUSE_US.0,
            next_dial_at: self.now,
            successor: None,
        };
        self.servers.all.insert(id, server);
        self.servers.by_name.insert(name.to_owned(), id);
        id
    }

    /// Ends attempts that wait for a connection to a server that no longer accepts calls, so that they go
    /// elsewhere.
    fn end_waiting_attempts(&mut self, id: ServerId) {
        let waiting: Vec<CallId> = self
            .servers
            .dials
            .values_mut()
            .filter(|dial| dial.server == id)
            .flat_map(|dial| std::mem::take(&mut dial.waiting))
            .collect();
        for call in waiting {
            self.end_attempt(call, Outcome::Unreachable, Reason::None, Report::default());
        }
    }
}
