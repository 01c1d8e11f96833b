//! Call servers and the connections to them.

mod call_paths;
mod list;
mod messages;
mod outage;
mod succession;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use lemoncleat::{Availability, CallId, Outcome, Reason, Report, ServerId};
use lemoncleat_core::Micros;
use lemoncleat_platform::Names;
use lemoncleat_sip::{Method, Reader};

use self::call_paths::{ConnEnd, EndedConn};
use self::outage::Outage;
use crate::callers::RESERVED_SOCKETS;
use crate::calls::{dialog_request, AttemptPath};
use crate::interface::{ConnId, DialId, Output};
use crate::node::AccessNode;
use crate::notice::Notice;
use crate::timing::{
    DEFAULT_DIAL_TIMEOUT_US, FRESH_CONN_INTERVAL_US, IDLE_CONNS_KEPT, MAX_RELEASES,
    PARTIAL_MESSAGE_TIMEOUT_US, REDIAL_PAUSE_US, SERVER_CONN_IDLE_TIMEOUT_US, SERVER_LOST_TIMEOUT_US,
    SUSPECT_SILENCE_US, UNANSWERED_CONN_TIMEOUT_US,
};

/// A call server.
struct Server {
    name: String,
    address: SocketAddr,
    availability: Availability,
    /// When its process started, if the list has given that.
    started_at: Option<Micros>,
    /// The same, if there may have been an earlier process under its name.
    restarted_at: Option<Micros>,
    conns: BTreeSet<ConnId>,
    dials: BTreeSet<DialId>,
    /// Number of established calls on the server.
    standing: usize,
    /// Number of those that were not set up on a connection of this node, but named by callers.
    named: usize,
    /// Releases to send once there is a connection: Call-ID, called number, cause.
    pending_releases: Vec<(String, String, u16)>,
    /// When a connection to it was last established: what it could not report before, it reported then.
    last_connected_at: Micros,
    /// When a message was last received from it on any connection, or when one was established.
    last_received_at: Micros,
    /// Whether the last dial failed.
    unreachable: bool,
    /// A time of silence without new connections after which the process that held its calls has not been
    /// heard of yet.
    outage: Option<Outage>,
    pause: Micros,
    next_dial_at: Micros,
    /// The server that now has its address. It is not dialled there any more.
    successor: Option<Successor>,
}

/// The server that has taken over the address of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Successor {
    server: ServerId,
    /// When its process started, if the list gives that. It accepted the connections that were established
    /// since.
    started_at: Option<Micros>,
}

impl Server {
    fn notice(&self) -> Notice {
        let state = match (self.successor, self.availability) {
            (Some(_), _) => "address taken by another server",
            (_, Availability::Ready) => "takes calls",
            (_, Availability::Draining) => "drains",
            (_, Availability::Gone) => "gone",
        };
        Notice::Server {
            server: format!("{} at {}", self.name, self.address),
            state,
            standing: self.standing,
            conns: self.conns.len(),
            dials: self.dials.len(),
        }
    }
}

/// A connection to a call server.
struct ServerConn {
    server: ServerId,
    reader: Reader,
    /// Set-ups that are open on it.
    open: BTreeSet<CallId>,
    /// Number of established calls that were set up on it: their releases arrive here.
    standing: usize,
    /// Whether a set-up timed out on it without anything received: it gets no further set-ups.
    suspect: bool,
    opened_at: Micros,
    last_received_at: Micros,
    /// When the first set-up was sent since the last message was received.
    unanswered_since: Option<Micros>,
    last_used_at: Micros,
    /// When the last part of a still incomplete message arrived.
    partial_since: Option<Micros>,
    /// Whether an unprompted report was received on it.
    reported: bool,
    /// When the second one was.
    reported_again_at: Option<Micros>,
}

/// A dial in progress, and the set-ups that wait for it.
struct Dial {
    server: ServerId,
    waiting: BTreeSet<CallId>,
}

/// All call servers and the connections to them.
pub(crate) struct Servers {
    all: BTreeMap<ServerId, Server>,
    by_name: BTreeMap<String, ServerId>,
    conns: BTreeMap<ConnId, ServerConn>,
    /// Ended connections on which calls were set up that are still established.
    ended_conns: BTreeMap<ConnId, EndedConn>,
    dials: BTreeMap<DialId, Dial>,
    zones: Names,
    kinds: Names,
    next_server: u32,
    next_dial: u64,
    dial_timeout: Micros,
    /// Maximum number of connections and dials.
    max_conns: usize,
    /// Maximum number of connections to one server, regardless of free capacity.
    max_conns_per_server: usize,
    /// Number of servers that accept calls.
    ready_servers: usize,
    /// Selects the server with which this node starts when it handles all servers, so that the nodes of a
    /// fleet do not act in step.
    rotation_seed: u64,
}

/// Maximum number of connections from one node to a server, ...
const MAX_CONNS_PER_SERVER: usize = 32;
/// ... and from all nodes together, as long as each has one: the number that eight nodes, the largest of the
/// small fleets, may hold.
const MAX_CONNS_PER_SERVER_OF_ALL_NODES: usize = 8 * MAX_CONNS_PER_SERVER;
/// Maximum time between the module's choice of a further attempt and its sending: half of the 50 ms by which
/// the platform extends every time limit. The basis of the choice, such as the window in which repeated
/// set-ups are discarded, may have expired later.
const CHOICE_VALIDITY_US: Micros = 25_000;

impl Servers {
    pub(crate) fn new(sockets: usize, dial_timeout: Micros, zones: &[String], nodes: u32, seed: u64) -> Self {
        Servers {
            all: BTreeMap::new(),
            by_name: BTreeMap::new(),
            conns: BTreeMap::new(),
            ended_conns: BTreeMap::new(),
            dials: BTreeMap::new(),
            zones: zones.iter().collect(),
            kinds: Names::default(),
            next_server: 0,
            next_dial: 0,
            dial_timeout: if dial_timeout > 0 { dial_timeout } else { DEFAULT_DIAL_TIMEOUT_US },
            max_conns: sockets.saturating_sub(RESERVED_SOCKETS) * 4 / 10,
            max_conns_per_server: (MAX_CONNS_PER_SERVER_OF_ALL_NODES / nodes.max(1) as usize)
                .clamp(1, MAX_CONNS_PER_SERVER),
            ready_servers: 0,
            rotation_seed: seed,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn conns_len(&self) -> usize {
        self.conns.len()
    }

    pub(crate) fn holds(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Returns the number of releases that could not be sent to their servers yet.
    pub(crate) fn pending_releases_len(&self) -> usize {
        self.all.values().map(|server| server.pending_releases.len()).sum()
    }

    pub(crate) fn next_dial(&mut self) -> DialId {
        self.next_dial += 1;
        DialId(self.next_dial)
    }

    /// Returns the server that accepted a connection and when it was established, if it is open.
    pub(crate) fn accepted_by(&self, conn: ConnId) -> Option<(ServerId, Micros)> {
        self.conns.get(&conn).map(|conn| (conn.server, conn.opened_at))
    }

    pub(crate) fn named(&self, name: &str) -> Option<ServerId> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn name(&self, server: ServerId) -> String {
        self.all.get(&server).map_or_else(String::new, |server| server.name.clone())
    }

    /// Returns when the process of a server started, if there may have been an earlier one under its name.
    pub(crate) fn restarted_at(&self, server: ServerId) -> Option<Micros> {
        self.all.get(&server).and_then(|server| server.restarted_at)
    }

    /// Returns whether messages about calls at this server can still arrive.
    pub(crate) fn may_still_report(&self, server: ServerId) -> bool {
        self.all.get(&server).is_some_and(|server| server.successor.is_none() || !server.conns.is_empty())
    }

    /// Counts a call that begins (1) or ends (-1) to be established at a server, set up on a connection.
    pub(crate) fn count_standing(&mut self, server: ServerId, conn: Option<ConnId>, change: isize) {
        if let Some(server) = self.all.get_mut(&server) {
            server.standing = server.standing.saturating_add_signed(change);
            if conn.is_none() {
                server.named = server.named.saturating_add_signed(change);
            }
        }
        let Some(id) = conn else { return };
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.standing = conn.standing.saturating_add_signed(change);
        } else if let Some(ended) = self.ended_conns.get_mut(&id) {
            ended.standing = ended.standing.saturating_add_signed(change);
            if ended.standing == 0 {
                self.ended_conns.remove(&id);
            }
        }
    }

    /// Records that a set-up was written to a connection.
    pub(crate) fn set_up_sent(&mut self, conn: ConnId, call: CallId, now: Micros) {
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.open.insert(call);
            conn.unanswered_since.get_or_insert(now);
            conn.last_used_at = now;
        }
    }

    /// Records that a set-up is no longer open, or no longer waits for its dial.
    pub(crate) fn set_up_closed(&mut self, path: AttemptPath, call: CallId) {
        match path {
            AttemptPath::Conn(conn) => {
                if let Some(conn) = self.conns.get_mut(&conn) {
                    conn.open.remove(&call);
                }
            }
            AttemptPath::Dial(dial) => {
                if let Some(dial) = self.dials.get_mut(&dial) {
                    dial.waiting.remove(&call);
                }
            }
        }
    }

    /// Records that a set-up sent at this time was given up on a connection. Returns `true` if nothing was
    /// received on the connection since for some time: it gets no further set-ups.
    pub(crate) fn suspect_if_silent(&mut self, conn: ConnId, sent_at: Micros, now: Micros) -> bool {
        let Some(conn) = self.conns.get_mut(&conn) else { return true };
        conn.suspect |= conn.last_received_at <= sent_at && now - sent_at >= SUSPECT_SILENCE_US;
        conn.suspect
    }

    /// Returns a connection for a set-up: the one with the fewest open set-ups, and none of `used_conns`, on
    /// which answers to different attempts of the call could be confused.
    fn best_conn(&self, server: ServerId, used_conns: &[ConnId]) -> Option<ConnId> {
        let own_conns = self.all.get(&server)?.conns.iter().filter(|conn| !used_conns.contains(conn));
        let healthy =
            own_conns.filter_map(|id| self.conns.get(id).map(|conn| (*id, conn))).filter(|(_, c)| !c.suspect);
        // Among several without open set-ups, the one received on last is the most likely to work.
        healthy
            .min_by_key(|(_, conn)| (conn.open.len(), std::cmp::Reverse(conn.last_received_at)))
            .map(|(id, _)| id)
    }

    fn has_room(&self, server: ServerId) -> bool {
        let max_conns = (self.max_conns / self.ready_servers.max(1)).max(2).min(self.max_conns_per_server);
        let open_or_dialled =
            self.all.get(&server).map_or(0, |server| server.conns.len() + server.dials.len());
        open_or_dialled < max_conns && !self.is_full()
    }

    /// Returns all servers, starting with the one that is this node's first.
    fn in_rotated_order(&self) -> Vec<ServerId> {
        let mut all: Vec<_> = self.all.keys().copied().collect();
        if !all.is_empty() {
            let first = (self.rotation_seed % all.len() as u64) as usize;
            all.rotate_left(first);
        }
        all
    }

    /// Returns the connection whose loss matters least: it has no open set-up, preferably no established
    /// calls, and among those it is the least recently used.
    fn eviction_candidate(&self, except: ServerId) -> Option<ConnId> {
        let idle = self.conns.iter().filter(|(_, conn)| conn.open.is_empty() && conn.server != except);
        idle.min_by_key(|(_, conn)| (conn.standing > 0, conn.last_used_at.max(conn.opened_at)))
            .map(|(id, _)| *id)
    }

    /// Returns a dial to another server for which no set-up, established call or release waits.
    fn idle_dial(&self, except: ServerId) -> Option<DialId> {
        let idle = |dial: &Dial| {
            let free = |server: &Server| server.standing == 0 && server.pending_releases.is_empty();
            dial.server != except && dial.waiting.is_empty() && self.all.get(&dial.server).is_some_and(free)
        };
        self.dials.iter().find(|(_, dial)| idle(dial)).map(|(id, _)| *id)
    }

    fn is_full(&self) -> bool {
        self.conns.len() + self.dials.len() >= self.max_conns
    }

    /// Returns the number of connections to one server that are kept even when idle.
    fn idle_conns_kept(&self) -> usize {
        IDLE_CONNS_KEPT.min(self.max_conns_per_server)
    }

    fn healthy_conn(&self, server: ServerId, except: Option<ConnId>) -> Option<ConnId> {
        let own_conns = self.all.get(&server)?.conns.iter().filter(|id| Some(**id) != except);
        let healthy =
            own_conns.filter_map(|id| self.conns.get(id).map(|conn| (*id, conn))).filter(|(_, c)| !c.suspect);
        healthy.max_by_key(|(_, conn)| conn.last_received_at).map(|(id, _)| id)
    }
}

impl AccessNode {
    // ---- Connections ----

    /// Returns this node's share of a pause before an operation that all nodes perform at the same time:
    /// shortened by up to a quarter, depending on the node's seed.
    pub(crate) fn jittered(&self, pause: Micros) -> Micros {
        pause - pause / 1024 * (self.seed % 256) as Micros
    }

    /// Returns the connection or dial for an attempt, or `None` if there is none and no room for one.
    pub(crate) fn path_for_attempt(&mut self, server: ServerId, call: CallId) -> Option<AttemptPath> {
        let used_conns = self.calls.get(&call).map_or(&[][..], |call| &call.used_conns);
        let best = self.servers.best_conn(server, used_conns);
        let free = best.and_then(|id| self.servers.conns.get(&id)).is_some_and(|conn| conn.open.is_empty());
        // A further attempt does not wait for a dial if it can be sent now.
        let further = self.calls.get(&call).is_some_and(|call| call.attempts > 1);
        if let (Some(conn), true) = (best, free || further || !self.servers.has_room(server)) {
            return Some(AttemptPath::Conn(conn));
        }
        let under_way = self.servers.all.get(&server)?.dials.first().copied();
        let dial = match under_way {
            // No connection is established: it waits with the others.
            Some(dial) if !self.servers.has_room(server) => Some(dial),
            // The established connections are not suitable.
            _ if self.make_room(server) => self.dial_server(server),
            _ => None,
        };
        match dial {
            Some(dial) => {
                self.servers.dials.get_mut(&dial)?.waiting.insert(call);
                Some(AttemptPath::Dial(dial))
            }
            None => best.map(AttemptPath::Conn),
        }
    }

    /// Makes room for a dial to a server: if the limit is reached, a dial without waiting set-ups is
    /// cancelled, or else the least needed connection is closed. A server with established calls is not lost
    /// with its connection: it reports their end on the next one.
    fn make_room(&mut self, server: ServerId) -> bool {
        while self.servers.is_full() {
            if let Some(dial) = self.servers.idle_dial(server) {
                self.cancel_dial(dial);
                continue;
            }
            let Some(least) = self.servers.eviction_candidate(server) else { return false };
            let Some(gone) = self.servers.conns.remove(&least) else { return false };
            if let Some(server) = self.servers.all.get_mut(&gone.server) {
                server.conns.remove(&least);
            }
            self.servers.conn_ended(least, &gone, ConnEnd::Closed);
            self.out.push(Output::Close(least));
        }
        true
    }

    fn dial_server(&mut self, id: ServerId) -> Option<DialId> {
        let dial = self.servers.next_dial();
        let timeout = self.servers.dial_timeout;
        let server = self.servers.all.get_mut(&id)?;
        if server.successor.is_some() {
            return None;
        }
        server.dials.insert(dial);
        let address = server.address;
        self.servers.dials.insert(dial, Dial { server: id, waiting: BTreeSet::new() });
        self.out.push(Output::Dial(dial, address, timeout));
        Some(dial)
    }

    fn cancel_dial(&mut self, dial: DialId) {
        let Some(gone) = self.servers.dials.remove(&dial) else { return };
        self.out.push(Output::StopDial(dial));
        if let Some(server) = self.servers.all.get_mut(&gone.server) {
            server.dials.remove(&dial);
        }
        for call in gone.waiting {
            self.end_attempt(call, Outcome::Unreachable, Reason::None, Report::default());
        }
    }

    pub(crate) fn server_dialled(&mut self, dial: DialId, conn: ConnId) {
        let now = self.now;
        let Some(done) = self.servers.dials.remove(&dial) else {
            return self.out.push(Output::Close(conn));
        };
        let Some(server) = self.servers.all.get_mut(&done.server) else {
            return self.out.push(Output::Close(conn));
        };
        server.dials.remove(&dial);
        server.conns.insert(conn);
        (server.unreachable, server.pause) = (false, REDIAL_PAUSE_US.0);
        server.connected(now);
        let state = ServerConn {
            server: done.server,
            reader: Reader::rejecting_merged_messages(),
            open: BTreeSet::new(),
            standing: 0,
            suspect: false,
            opened_at: now,
            last_received_at: now,
            unanswered_since: None,
            last_used_at: now,
            partial_since: None,
            reported: false,
            reported_again_at: None,
        };
        self.servers.conns.insert(conn, state);
        self.servers.repeats_releases(done.server);
        self.send_pending_releases_to(conn, done.server);
        for call in done.waiting {
            let open_call = self.calls.get(&call);
            let further_attempt = open_call.filter(|call| call.attempts > 1).and_then(|call| call.attempt);
            if further_attempt.is_some_and(|attempt| now - attempt.sent_at > CHOICE_VALIDITY_US) {
                // The INVITE was never sent; the module makes a new choice now that this connection is
                // established.
                self.end_attempt(call, Outcome::Moot, Reason::None, Report::default());
            } else {
                self.write_invite(call, conn);
            }
        }
    }

    pub(crate) fn server_dial_failed(&mut self, dial: DialId, refused: bool) {
        let Some(failed) = self.take_failed_dial(dial) else { return };
        let id = failed.server;
        if !refused {
            self.servers.dial_timed_out(id, self.now);
        }
        let (mut first, mut process_gone) = (false, false);
        if let Some(server) = self.servers.all.get_mut(&id) {
            first = !std::mem::replace(&mut server.unreachable, true);
            // Open connections would have been reset if the process had ended.
            process_gone = refused && server.conns.is_empty();
        }
        if first {
            let server = self.servers.name(id);
            self.notice(Notice::Unreachable { server, refused });
        }
        for call in failed.waiting {
            self.end_attempt(call, Outcome::Unreachable, Reason::None, Report::default());
        }
        if process_gone {
            self.server_lost(id, "its process is gone");
        }
        self.maintain_server(id);
    }

    /// Handles a dial that could not be started for a local reason. The INVITEs that waited for it were never
    /// sent; it says nothing about the server, so calls established there are not considered lost.
    pub(crate) fn server_not_dialled(&mut self, dial: DialId) {
        let Some(failed) = self.take_failed_dial(dial) else { return };
        for call in failed.waiting {
            self.end_attempt(call, Outcome::Moot, Reason::None, Report::default());
        }
        self.maintain_server(failed.server);
    }

    /// Removes a failed dial from its server, which is not dialled again before a pause.
    fn take_failed_dial(&mut self, dial: DialId) -> Option<Dial> {
        let failed = self.servers.dials.remove(&dial)?;
        let full_pause = self.servers.all.get(&failed.server).map_or(0, |server| server.pause);
        let pause = self.jittered(full_pause);
        if let Some(server) = self.servers.all.get_mut(&failed.server) {
            server.dials.remove(&dial);
            server.next_dial_at = self.now + pause;
            // If calls are established there, one more dial is made in time before they are considered lost.
            let last_dial = server.last_received_at + SERVER_LOST_TIMEOUT_US - DEFAULT_DIAL_TIMEOUT_US;
            if server.standing > 0 && self.now < last_dial {
                server.next_dial_at = server.next_dial_at.min(last_dial);
            }
            server.pause = (2 * server.pause).min(REDIAL_PAUSE_US.1);
        }
        Some(failed)
    }

    pub(crate) fn server_closed(&mut self, conn: ConnId) {
        self.drop_server_conn(conn, None);
    }

    /// Handles the loss of a connection, whose open set-ups may have been carried out. `why` gives the fault
    /// if the other side did not close it.
    fn drop_server_conn(&mut self, conn: ConnId, why: Option<&'static str>) {
        let Some(gone) = self.servers.conns.remove(&conn) else { return };
        let id = gone.server;
        if let Some(server) = self.servers.all.get_mut(&id) {
            server.conns.remove(&conn);
        }
        let end = if why.is_some() { ConnEnd::GivenUp } else { ConnEnd::ClosedByServer };
        self.servers.conn_ended(conn, &gone, end);
        if let Some(why) = why {
            let server = self.servers.name(id);
            self.notice(Notice::ServerConn { server, why, open: gone.open.len() });
        }
        for call in gone.open {
            let ids = self.calls.get(&call).map(|call| (call.id.clone(), call.called.clone()));
            self.releases.abandon(self.now, call, id);
            if let Some((call_id, called)) = ids {
                // It may have been answered: a call established there is of no use to its caller.
                self.release_elsewhere(id, &call_id, &called, conn);
            }
            self.end_attempt(call, Outcome::Reset, Reason::None, Report::default());
        }
        if why.is_some() {
            // Pending bytes are still written before a close; unsent set-ups among them have been withdrawn.
            self.out.push(Output::Close(conn));
        }
        self.maintain_server(id);
        self.open_fresh_conn(id);
    }

    /// Opens a new connection to a server with established calls: releases that were lost with another
    /// connection are repeated on it.
    fn open_fresh_conn(&mut self, id: ServerId) {
        let needed = self.servers.all.get(&id).is_some_and(|server| {
            server.standing > 0
                && server.dials.is_empty()
                && server.successor.is_none()
                && self.now >= server.next_dial_at
        });
        if needed && self.make_room(id) {
            self.dial_server(id);
        }
    }

    /// Closes a suspect connection once no set-up is open on it.
    pub(crate) fn close_suspect_conn(&mut self, conn: ConnId) {
        let unused = self.servers.conns.get(&conn).is_some_and(|conn| conn.suspect && conn.open.is_empty());
        if unused {
            self.replace_silent_conn(conn);
        }
    }

    /// Opens a new connection in place of one on which set-ups were not answered. The silent one is closed,
    /// unless it may still show that its server's process lives; it gets no further set-ups.
    fn replace_silent_conn(&mut self, id: ConnId) {
        let Some(conn) = self.servers.conns.get(&id) else { return };
        if !self.servers.is_kept_as_proof(conn) {
            return self.drop_server_conn(id, Some("it is silent"));
        }
        let server = conn.server;
        if let Some(conn) = self.servers.conns.get_mut(&id) {
            conn.suspect = true;
        }
        self.open_fresh_conn(server);
    }

    /// Ensures that a server in use has a connection, and removes a server that is no longer in use.
    fn maintain_server(&mut self, id: ServerId) {
        let now = self.now;
        let Some(server) = self.servers.all.get(&id) else { return };
        let in_use = server.standing > 0 || !server.pending_releases.is_empty();
        if server.availability == Availability::Gone && !in_use {
            let busy = server
                .conns
                .iter()
                .any(|conn| self.servers.conns.get(conn).is_some_and(|conn| !conn.open.is_empty()));
            if !busy {
                self.forget_server(id);
            }
            return;
        }
        let unconnected = server.conns.is_empty() && server.dials.is_empty();
        if unconnected && server.successor.is_some() {
            return self.server_lost(id, "another server stands at its address");
        }
        // If more servers have calls than connections are allowed, they take turns: each reports on its turn
        // what it could not report before.
        let its_turn = !server.pending_releases.is_empty()
            || server.standing > 0 && now - server.last_connected_at > FRESH_CONN_INTERVAL_US;
        if unconnected
            && now >= server.next_dial_at
            && (!self.servers.is_full() || its_turn && self.make_room(id))
        {
            self.dial_server(id);
        }
    }

    /// Handles the end of a server's process: its calls have ended, and nothing can be released there.
    fn server_lost(&mut self, id: ServerId, why: &'static str) {
        if let Some(server) = self.servers.all.get_mut(&id) {
            server.pending_releases.clear();
        }
        self.end_lost_calls(id, why);
    }

    fn forget_server(&mut self, id: ServerId) {
        let Some(server) = self.servers.all.remove(&id) else { return };
        self.servers.by_name.remove(&server.name);
        for conn in server.conns {
            self.servers.conns.remove(&conn);
            self.out.push(Output::Close(conn));
        }
        for dial in server.dials {
            self.servers.dials.remove(&dial);
            self.out.push(Output::StopDial(dial));
        }
    }

    // ---- Releases toward servers ----

    fn write_release(&mut self, conn: ConnId, id: &str, called: &str, cause: u16) {
        let bytes = dialog_request(Method::Bye, &self.name, id, called, 100)
            .header("Reason", format_args!("Q.850;cause={cause}"))
            .finish(b"");
        self.send(conn, bytes);
    }

    /// Releases a call at its server: on the connection of its set-up, otherwise on any healthy connection,
    /// otherwise on the next one that is established.
    pub(crate) fn release_at_server(
        &mut self,
        server: ServerId,
        id: &str,
        called: &str,
        cause: u16,
        conn: Option<ConnId>,
    ) {
        let set_up_conn = conn.filter(|conn| self.servers.conns.get(conn).is_some_and(|conn| !conn.suspect));
        if let Some(conn) = set_up_conn.or_else(|| self.servers.healthy_conn(server, None)) {
            return self.write_release(conn, id, called, cause);
        }
        if let Some(server) = self.servers.all.get_mut(&server) {
            if server.pending_releases.len() < MAX_RELEASES {
                server.pending_releases.push((id.to_owned(), called.to_owned(), cause));
            }
        }
    }

    /// Sends the releases that could not be sent to a server until now.
    fn send_pending_releases_to(&mut self, conn: ConnId, server: ServerId) {
        let Some(server) =
            self.servers.all.get_mut(&server).filter(|server| !server.pending_releases.is_empty())
        else {
            return;
        };
        for (id, called, cause) in std::mem::take(&mut server.pending_releases) {
            self.write_release(conn, &id, &called, cause);
        }
    }

    /// Releases the call that may have resulted from a given-up attempt, on a healthy connection other than
    /// the attempt's own, if there is one.
    pub(crate) fn release_elsewhere(&mut self, server: ServerId, id: &str, called: &str, except: ConnId) {
        if let Some(conn) = self.servers.healthy_conn(server, Some(except)) {
            self.write_release(conn, id, called, 16);
        }
    }

    // ---- Maintenance ----

    /// Logs the state of each server.
    pub(crate) fn log_servers(&mut self) {
        let lines: Vec<_> = self.servers.all.values().map(Server::notice).collect();
        lines.into_iter().for_each(|line| self.notice(line));
    }

    pub(crate) fn maintain_servers(&mut self) {
        let now = self.now;
        let (mut to_close, mut unanswered, mut silent) = (Vec::new(), Vec::new(), BTreeSet::new());
        for (&id, conn) in &self.servers.conns {
            let own_conns = self.servers.all.get(&conn.server).map_or(0, |server| server.conns.len());
            let idle = conn.open.is_empty()
                && conn.standing == 0
                && now - conn.last_used_at.max(conn.opened_at) > SERVER_CONN_IDLE_TIMEOUT_US;
            if conn.partial_since.is_some_and(|since| now - since > PARTIAL_MESSAGE_TIMEOUT_US) {
                to_close.push((id, "a message stayed incomplete"));
            } else if conn.unanswered_since.is_some_and(|at| now - at > UNANSWERED_CONN_TIMEOUT_US) {
                if conn.open.is_empty() {
                    unanswered.push(id);
                } else if conn.standing > 0 {
                    silent.insert(conn.server);
                }
            } else if idle && own_conns > self.servers.idle_conns_kept() {
                to_close.push((id, "idle"));
            }
        }
        for (conn, why) in to_close {
            let left = self.servers.conns.get(&conn).and_then(|conn| self.servers.all.get(&conn.server));
            if why != "idle" || left.is_some_and(|server| server.conns.len() > self.servers.idle_conns_kept())
            {
                self.drop_server_conn(conn, Some(why));
            }
        }
        for conn in unanswered {
            self.replace_silent_conn(conn);
        }
        let received_until = self.servers.received_until();
        for id in self.servers.in_rotated_order() {
            self.end_calls_of_replaced_process(id);
            let Some(server) = self.servers.all.get(&id) else { continue };
            let has_calls = server.standing > 0;
            // A server that is still listed may come back and still hold the calls to be released.
            let releases_pending =
                server.availability == Availability::Gone && !server.pending_releases.is_empty();
            let interval = if silent.contains(&id) && self.servers.has_room(id) {
                UNANSWERED_CONN_TIMEOUT_US
            } else {
                FRESH_CONN_INTERVAL_US
            };
            let received_at = received_until.get(&id).copied().unwrap_or(server.last_received_at);
            let needs_fresh_conn = has_calls && now - server.last_connected_at.max(received_at) > interval;
            // A server that only refuses new calls still reports on its established ones.
            let no_new_conns = server.unreachable || server.successor.is_some();
            let lost = no_new_conns && now - server.last_received_at > SERVER_LOST_TIMEOUT_US;
            if releases_pending && lost {
                self.server_lost(id, "it cannot be reached");
            } else if has_calls && lost {
                self.end_lost_calls(id, "it cannot be reached");
            } else if needs_fresh_conn {
                self.open_fresh_conn(id);
            }
            for path in self.servers.lost_paths(id, now) {
                self.end_calls_of_path(id, path);
            }
            self.maintain_server(id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn conn(last_received_at: Micros) -> ServerConn {
        ServerConn {
            server: ServerId(0),
            reader: Reader::new(),
            open: BTreeSet::new(),
            standing: 0,
            suspect: false,
            opened_at: 0,
            last_received_at,
            unanswered_since: None,
            last_used_at: 0,
            partial_since: None,
            reported: false,
            reported_again_at: None,
        }
    }

    #[test]
    fn picks_least_busy_healthy_connection_not_used_by_the_call() {
        let mut servers = Servers::new(256, 0, &[], 1, 0);
        let conns = (1..=4).map(ConnId);
        let server = Server {
            name: "s-a".to_owned(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            availability: Availability::Ready,
            started_at: None,
            restarted_at: None,
            conns: conns.clone().collect(),
            dials: BTreeSet::new(),
            standing: 0,
            named: 0,
            pending_releases: Vec::new(),
            last_connected_at: 0,
            last_received_at: 0,
            unreachable: false,
            outage: None,
            pause: 0,
            next_dial_at: 0,
            successor: None,
        };
        servers.all.insert(ServerId(0), server);
        for id in conns {
            servers.conns.insert(id, conn(id.0 as Micros));
        }
        assert_eq!(
            servers.best_conn(ServerId(0), &[]),
            Some(ConnId(4)),
            "of the idle connections the one received on last"
        );
        servers.set_up_sent(ConnId(4), CallId(1), 9);
        assert_eq!(servers.best_conn(ServerId(0), &[]), Some(ConnId(3)));
        assert_eq!(servers.best_conn(ServerId(0), &[ConnId(3)]), Some(ConnId(2)));
        assert!(servers.suspect_if_silent(ConnId(2), 5, 5 + SUSPECT_SILENCE_US), "nothing came since");
        assert_eq!(servers.best_conn(ServerId(0), &[ConnId(3)]), Some(ConnId(1)));
        assert!(
            !servers.suspect_if_silent(ConnId(3), 2, 2 + SUSPECT_SILENCE_US),
            "a message was received since"
        );
        assert_eq!(
            servers.best_conn(ServerId(0), &[ConnId(1), ConnId(3)]),
            Some(ConnId(4)),
            "busy, but healthy"
        );
        assert_eq!(servers.best_conn(ServerId(0), &[ConnId(1), ConnId(3), ConnId(4)]), None);
    }
}
