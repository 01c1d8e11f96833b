//! Call servers: the list, connections to them, and what comes on these.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use lemoncleat::{Availability, CallId, Event, MemberNews, Outcome, Reason, Report, ServerId};
use lemoncleat_core::Micros;
use lemoncleat_platform::{diagnosis, report_of_text, Names, ServerNews};
use lemoncleat_sip::{response, Message, Method, Reader, Start};

use crate::callers::RESERVED;
use crate::calls::{cause_of, dialog, Carrier};
use crate::description;
use crate::interface::{ConnId, DialId, Output};
use crate::invite;
use crate::node::AccessNode;
use crate::notice::Notice;
use crate::timing::{
    CHECK, DIAL, IDLE_SERVER, KEPT, MUTE, PARTIAL_ANSWER, REDIAL, RELEASES, SILENCE, VANISHED,
};

/// One call server.
struct Server {
    name: String,
    address: SocketAddr,
    availability: Availability,
    started_at: Option<Micros>,
    conns: BTreeSet<ConnId>,
    dials: BTreeSet<DialId>,
    /// Calls that stand there.
    standing: usize,
    /// Releases to write once there is a connection: id, number called, cause.
    owed: Vec<(String, String, u16)>,
    /// When a connection to it came up last: what it could not tell before, it told then.
    fresh_at: Micros,
    /// The last message of it on any connection, or the moment at which one came up.
    heard_at: Micros,
    /// The last dial failed.
    unreachable: bool,
    pause: Micros,
    dial_at: Micros,
    /// Another server stands at its address now.
    displaced: bool,
}

impl Server {
    fn notice(&self) -> Notice {
        let listed = match (self.displaced, self.availability) {
            (true, _) => "another stands at its address",
            (_, Availability::Ready) => "takes calls",
            (_, Availability::Draining) => "drains",
            (_, Availability::Gone) => "gone",
        };
        Notice::Server {
            server: format!("{} at {}", self.name, self.address),
            listed,
            standing: self.standing,
            conns: self.conns.len(),
            dials: self.dials.len(),
        }
    }
}

/// A connection to one.
struct ServerConn {
    server: ServerId,
    reader: Reader,
    /// Set-ups open on it.
    open: BTreeSet<CallId>,
    /// Calls that stand and were set up on it: their releases come here.
    standing: usize,
    /// A set-up timed out on it in silence: no more of them.
    suspect: bool,
    opened_at: Micros,
    heard_at: Micros,
    /// When the first set-up went out since.
    asked_at: Option<Micros>,
    used_at: Micros,
    /// When the last piece of a message came whose rest is missing.
    partial: Option<Micros>,
}

/// A connection that this node gave up: its server may tell the end of calls there into nothing.
struct Forsaken {
    server: ServerId,
    /// Calls that still stand of those set up there.
    standing: usize,
    /// Nothing was wrong with it: its server sees the close, and tells again on the next connection that
    /// opens.
    sound: bool,
}

/// A dial under way, and the set-ups that wait for it.
struct Dial {
    server: ServerId,
    waiting: BTreeSet<CallId>,
}

/// All of them.
pub(crate) struct Servers {
    all: BTreeMap<ServerId, Server>,
    by_name: BTreeMap<String, ServerId>,
    conns: BTreeMap<ConnId, ServerConn>,
    /// Connections that this node gave up while calls set up there stood.
    forsaken: BTreeMap<ConnId, Forsaken>,
    dials: BTreeMap<DialId, Dial>,
    zones: Names,
    kinds: Names,
    next_server: u32,
    next_dial: u64,
    dial_timeout: Micros,
    /// Connections and dials, at most.
    most: usize,
    /// Connections that one server gets at most, whatever room there is.
    most_of_one: usize,
    /// Servers that take calls.
    listed: usize,
    /// Where this node begins with what it does to all servers, so that a fleet does not do it in step.
    first: u64,
}

/// Connections that one server gets of a node at most, ...
const MOST_OF_ONE: usize = 32;
/// ... and of all nodes together, as long as each has one: what eight nodes, the most of a small fleet, may hold.
const MOST_OF_ALL: usize = 8 * MOST_OF_ONE;
/// A further attempt goes out this long after the module chose it, at most: half of the 50 ms by which the
/// platform draws every time limit out. What the choice rested on, such as the window in which repeats are
/// discarded, may be over later.
const CHOICE_HOLDS: Micros = 25_000;

impl Servers {
    pub(crate) fn new(sockets: usize, dial_timeout: Micros, zones: &[String], nodes: u32, seed: u64) -> Self {
        Servers {
            all: BTreeMap::new(),
            by_name: BTreeMap::new(),
            conns: BTreeMap::new(),
            forsaken: BTreeMap::new(),
            dials: BTreeMap::new(),
            zones: zones.iter().collect(),
            kinds: Names::default(),
            next_server: 0,
            next_dial: 0,
            dial_timeout: if dial_timeout > 0 { dial_timeout } else { DIAL },
            most: sockets.saturating_sub(RESERVED) * 4 / 10,
            most_of_one: (MOST_OF_ALL / nodes.max(1) as usize).clamp(1, MOST_OF_ONE),
            listed: 0,
            first: seed,
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

    /// Releases that have had no way to their servers yet.
    pub(crate) fn owed_len(&self) -> usize {
        self.all.values().map(|server| server.owed.len()).sum()
    }

    pub(crate) fn next_dial(&mut self) -> DialId {
        self.next_dial += 1;
        DialId(self.next_dial)
    }

    pub(crate) fn named(&self, name: &str) -> Option<ServerId> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn name(&self, server: ServerId) -> String {
        self.all.get(&server).map_or_else(String::new, |server| server.name.clone())
    }

    /// Whether news of calls that stand there can still arrive.
    pub(crate) fn can_be_heard(&self, server: ServerId) -> bool {
        self.all.get(&server).is_some_and(|server| !server.displaced || !server.conns.is_empty())
    }

    /// A call begins (1) or ends (-1) to stand at a server, set up on a connection.
    pub(crate) fn stands(&mut self, server: ServerId, conn: Option<ConnId>, change: isize) {
        if let Some(server) = self.all.get_mut(&server) {
            server.standing = server.standing.saturating_add_signed(change);
        }
        let Some(id) = conn else { return };
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.standing = conn.standing.saturating_add_signed(change);
        } else if let Some(forsaken) = self.forsaken.get_mut(&id) {
            forsaken.standing = forsaken.standing.saturating_add_signed(change);
            if forsaken.standing == 0 {
                self.forsaken.remove(&id);
            }
        }
    }

    /// The moment up to which it is sure that all was heard of the calls that stand at each server: when the quietest
    /// of the connections on which they were set up was heard last.
    fn surely_heard(&self) -> BTreeMap<ServerId, Micros> {
        let conns = self.conns.values().filter(|conn| conn.standing > 0);
        let conns = conns.map(|conn| (conn.server, conn.heard_at));
        let forsaken = self.forsaken.values().map(|forsaken| (forsaken.server, 0));
        let mut heard = BTreeMap::new();
        for (server, at) in conns.chain(forsaken) {
            let least = heard.entry(server).or_insert(at);
            *least = at.min(*least);
        }
        heard
    }

    /// A connection with calls standing of those set up there is given up.
    fn forsake(&mut self, id: ConnId, gone: &ServerConn, sound: bool) {
        if gone.standing > 0 {
            let (server, standing) = (gone.server, gone.standing);
            self.forsaken.insert(id, Forsaken { server, standing, sound });
        }
    }

    /// A set-up was written on a connection.
    pub(crate) fn opened(&mut self, conn: ConnId, call: CallId, now: Micros) {
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.open.insert(call);
            conn.asked_at.get_or_insert(now);
            conn.used_at = now;
        }
    }

    /// A set-up is not open any more, or waits no more for its dial.
    pub(crate) fn unopened(&mut self, carrier: Carrier, call: CallId) {
        match carrier {
            Carrier::Conn(conn) => {
                if let Some(conn) = self.conns.get_mut(&conn) {
                    conn.open.remove(&call);
                }
            }
            Carrier::Dial(dial) => {
                if let Some(dial) = self.dials.get_mut(&dial) {
                    dial.waiting.remove(&call);
                }
            }
        }
    }

    /// A set-up sent at that moment was given up on a connection. True if the connection has said nothing since
    /// for a while: it gets no more of them.
    pub(crate) fn doubt(&mut self, conn: ConnId, sent: Micros, now: Micros) -> bool {
        let Some(conn) = self.conns.get_mut(&conn) else { return true };
        conn.suspect |= conn.heard_at <= sent && now - sent >= SILENCE;
        conn.suspect
    }

    /// A connection for a set-up: one with nothing open on it, else a new one, else the one with the least.
    /// None of `spent`, on which the call's answers could be taken for one another.
    fn choose(&self, server: ServerId, spent: &[ConnId]) -> Option<ConnId> {
        let own = self.all.get(&server)?.conns.iter().filter(|conn| !spent.contains(conn));
        let sound =
            own.filter_map(|id| self.conns.get(id).map(|conn| (*id, conn))).filter(|(_, c)| !c.suspect);
        // Of several with nothing open, the one heard last is the surest to be there.
        sound.min_by_key(|(_, conn)| (conn.open.len(), std::cmp::Reverse(conn.heard_at))).map(|(id, _)| id)
    }

    fn room(&self, server: ServerId) -> bool {
        let most = (self.most / self.listed.max(1)).max(2).min(self.most_of_one);
        let own = self.all.get(&server).map_or(0, |server| server.conns.len() + server.dials.len());
        own < most && !self.is_full()
    }

    /// All of them, beginning where this node does.
    fn in_own_order(&self) -> Vec<ServerId> {
        let mut all: Vec<_> = self.all.keys().copied().collect();
        if !all.is_empty() {
            let first = (self.first % all.len() as u64) as usize;
            all.rotate_left(first);
        }
        all
    }

    /// The connection that is missed least: nothing is open on it, best nothing stands there either, and of those
    /// the one used longest ago.
    fn least(&self, but: ServerId) -> Option<ConnId> {
        let idle = self.conns.iter().filter(|(_, conn)| conn.open.is_empty() && conn.server != but);
        idle.min_by_key(|(_, conn)| (conn.standing > 0, conn.used_at.max(conn.opened_at))).map(|(id, _)| *id)
    }

    /// A dial to another server for which no set-up, no call that stands and no release waits.
    fn idle_dial(&self, but: ServerId) -> Option<DialId> {
        let idle = |dial: &Dial| {
            let free = |server: &Server| server.standing == 0 && server.owed.is_empty();
            dial.server != but && dial.waiting.is_empty() && self.all.get(&dial.server).is_some_and(free)
        };
        self.dials.iter().find(|(_, dial)| idle(dial)).map(|(id, _)| *id)
    }

    fn is_full(&self) -> bool {
        self.conns.len() + self.dials.len() >= self.most
    }

    /// Connections to one server that are kept however idle.
    fn kept(&self) -> usize {
        KEPT.min(self.most_of_one)
    }

    fn sound_conn(&self, server: ServerId, but: Option<ConnId>) -> Option<ConnId> {
        let own = self.all.get(&server)?.conns.iter().filter(|id| Some(**id) != but);
        let sound =
            own.filter_map(|id| self.conns.get(id).map(|conn| (*id, conn))).filter(|(_, c)| !c.suspect);
        sound.max_by_key(|(_, conn)| conn.heard_at).map(|(id, _)| id)
    }
}

impl AccessNode {
    // ---- The list ----

    /// News of the list.
    pub(crate) fn listed(&mut self, news: ServerNews) {
        let mut members = Vec::new();
        let mut seen = BTreeSet::new();
        for endpoint in news.endpoints {
            let mut listed = endpoint.server;
            listed.started_at = listed.started_at.map(|at| at - self.epoch);
            let id = match self.servers.named(&listed.name) {
                Some(id) => id,
                None if listed.availability == Availability::Gone => continue,
                None => self.add_server(&listed.name, endpoint.address),
            };
            seen.insert(id);
            members.push(listed.member(id, &mut self.servers.zones, &mut self.servers.kinds));
            let Some(server) = self.servers.all.get_mut(&id) else { continue };
            let restarted = listed.started_at.filter(|_| listed.started_at != server.started_at);
            server.address = endpoint.address;
            server.availability = listed.availability;
            server.started_at = listed.started_at;
            if let Some(started) = restarted {
                // A process that began then holds nothing from before.
                self.lose_standing(id, started, "its process started anew");
            }
            if listed.availability != Availability::Ready {
                self.unbind(id);
            }
        }
        if news.complete {
            let gone: Vec<_> = self.servers.all.keys().filter(|id| !seen.contains(id)).copied().collect();
            for id in gone {
                if let Some(server) = self.servers.all.get_mut(&id) {
                    server.availability = Availability::Gone;
                }
                self.unbind(id);
            }
        }
        let all = self.servers.all.values();
        self.servers.listed = all.filter(|server| server.availability == Availability::Ready).count();
        self.displace();
        if self.tracing {
            self.tell_servers();
        }
        let news = if news.complete { MemberNews::Complete(members) } else { MemberNews::Changes(members) };
        self.tell_members(news);
        for id in self.servers.in_own_order() {
            self.mind_server(id);
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
            conns: BTreeSet::new(),
            dials: BTreeSet::new(),
            standing: 0,
            owed: Vec::new(),
            fresh_at: self.now,
            heard_at: self.now,
            unreachable: false,
            pause: REDIAL.0,
            dial_at: self.now,
            displaced: false,
        };
        self.servers.all.insert(id, server);
        self.servers.by_name.insert(name.to_owned(), id);
        id
    }

    /// Servers at whose address another one stands are not to be dialled there any more: those that are gone,
    /// and those that were listed before it and whose end is still to be told.
    fn displace(&mut self) {
        let here = self.servers.all.iter().filter(|(_, server)| server.availability != Availability::Gone);
        // Of several at one address the one that started last is kept, of those alike the last listed: numbers grow.
        let mut here: Vec<_> = here.map(|(id, server)| (server.started_at, *id, server.address)).collect();
        here.sort_unstable();
        let last: BTreeMap<SocketAddr, ServerId> = here.into_iter().map(|(_, id, at)| (at, id)).collect();
        let mut dials = Vec::new();
        for (id, server) in &mut self.servers.all {
            server.displaced = last.get(&server.address).is_some_and(|last| last != id);
            if server.displaced {
                dials.extend(std::mem::take(&mut server.dials));
            }
        }
        for dial in dials {
            self.stop_dial(dial);
        }
    }

    /// Set-ups that wait for a connection to a server that takes no more of them go elsewhere.
    fn unbind(&mut self, id: ServerId) {
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

    // ---- Connections ----

    /// A pause before something that all nodes do at once: this node's own part of it, the last quarter by
    /// its seed.
    pub(crate) fn spread(&self, pause: Micros) -> Micros {
        pause - pause / 1024 * (self.seed % 256) as Micros
    }

    /// What an attempt goes out on; `None` where there is nothing and no room for it.
    pub(crate) fn carrier(&mut self, server: ServerId, call: CallId) -> Option<Carrier> {
        let spent = self.calls.get(&call).map_or(&[][..], |call| &call.spent);
        let best = self.servers.choose(server, spent);
        let free = best.and_then(|id| self.servers.conns.get(&id)).is_some_and(|conn| conn.open.is_empty());
        // A further attempt does not wait for a dial where it can go out now.
        let further = self.calls.get(&call).is_some_and(|call| call.attempts > 1);
        if let (Some(conn), true) = (best, free || further || !self.servers.room(server)) {
            return Some(Carrier::Conn(conn));
        }
        let under_way = self.servers.all.get(&server)?.dials.first().copied();
        let dial = match under_way {
            // Nothing is up: it waits with others.
            Some(dial) if !self.servers.room(server) => Some(dial),
            // Those that are up are of no use for it.
            _ if self.make_room(server) => self.dial_server(server),
            _ => None,
        };
        match dial {
            Some(dial) => {
                self.servers.dials.get_mut(&dial)?.waiting.insert(call);
                Some(Carrier::Dial(dial))
            }
            None => best.map(Carrier::Conn),
        }
    }

    /// Sees to it that a server can be dialled: where the budget is used up, a dial for which nobody waits is
    /// given up, else the connection that is missed least is closed. A server that holds calls is not lost
    /// with it: it tells their end on the next one.
    fn make_room(&mut self, server: ServerId) -> bool {
        while self.servers.is_full() {
            if let Some(dial) = self.servers.idle_dial(server) {
                self.stop_dial(dial);
                continue;
            }
            let Some(least) = self.servers.least(server) else { return false };
            let Some(gone) = self.servers.conns.remove(&least) else { return false };
            if let Some(server) = self.servers.all.get_mut(&gone.server) {
                server.conns.remove(&least);
            }
            self.servers.forsake(least, &gone, true);
            self.out.push(Output::Close(least));
        }
        true
    }

    fn dial_server(&mut self, id: ServerId) -> Option<DialId> {
        let dial = self.servers.next_dial();
        let timeout = self.servers.dial_timeout;
        let server = self.servers.all.get_mut(&id)?;
        if server.displaced {
            return None;
        }
        server.dials.insert(dial);
        let address = server.address;
        self.servers.dials.insert(dial, Dial { server: id, waiting: BTreeSet::new() });
        self.out.push(Output::Dial(dial, address, timeout));
        Some(dial)
    }

    fn stop_dial(&mut self, dial: DialId) {
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
        (server.unreachable, server.pause) = (false, REDIAL.0);
        (server.fresh_at, server.heard_at) = (now, now);
        let state = ServerConn {
            server: done.server,
            reader: Reader::new(),
            open: BTreeSet::new(),
            standing: 0,
            suspect: false,
            opened_at: now,
            heard_at: now,
            asked_at: None,
            used_at: now,
            partial: None,
        };
        self.servers.conns.insert(conn, state);
        self.servers.forsaken.retain(|_, forsaken| !(forsaken.sound && forsaken.server == done.server));
        self.write_owed(conn, done.server);
        for call in done.waiting {
            let held = self.calls.get(&call);
            let late = held.filter(|call| call.attempts > 1).and_then(|call| call.attempt);
            if late.is_some_and(|attempt| now - attempt.sent > CHOICE_HOLDS) {
                // It never left; the module chooses anew, with this connection up.
                self.end_attempt(call, Outcome::Moot, Reason::None, Report::default());
            } else {
                self.write_invite(call, conn);
            }
        }
    }

    pub(crate) fn server_dial_failed(&mut self, dial: DialId, refused: bool) {
        let Some(failed) = self.take_failed_dial(dial) else { return };
        let id = failed.server;
        let (mut first, mut dead) = (false, false);
        if let Some(server) = self.servers.all.get_mut(&id) {
            first = !std::mem::replace(&mut server.unreachable, true);
            // Connections that are still open would have been reset with the process.
            dead = refused && server.conns.is_empty();
        }
        if first {
            let server = self.servers.name(id);
            self.notice(Notice::Unreachable { server, refused });
        }
        for call in failed.waiting {
            self.end_attempt(call, Outcome::Unreachable, Reason::None, Report::default());
        }
        if dead {
            self.lose_server(id, "its process is gone");
        }
        self.mind_server(id);
    }

    /// A dial could not be made for want of something here. What waited for it never left; of the server it says
    /// nothing, so that calls that stand there are not taken for lost.
    pub(crate) fn server_not_dialled(&mut self, dial: DialId) {
        let Some(failed) = self.take_failed_dial(dial) else { return };
        for call in failed.waiting {
            self.end_attempt(call, Outcome::Moot, Reason::None, Report::default());
        }
        self.mind_server(failed.server);
    }

    /// Takes a dial that came to nothing off its server, which is not dialled again before a pause.
    fn take_failed_dial(&mut self, dial: DialId) -> Option<Dial> {
        let failed = self.servers.dials.remove(&dial)?;
        let held = self.servers.all.get(&failed.server).map_or(0, |server| server.pause);
        let pause = self.spread(held);
        if let Some(server) = self.servers.all.get_mut(&failed.server) {
            server.dials.remove(&dial);
            server.dial_at = self.now + pause;
            // Where calls stand there is one more look in time, before they count as lost.
            let last_look = server.heard_at + VANISHED - DIAL;
            if server.standing > 0 && self.now < last_look {
                server.dial_at = server.dial_at.min(last_look);
            }
            server.pause = (2 * server.pause).min(REDIAL.1);
        }
        Some(failed)
    }

    pub(crate) fn server_closed(&mut self, conn: ConnId) {
        self.drop_server_conn(conn, None);
    }

    /// A connection is no more: the set-ups open on it may have run. `why` tells what is wrong with one that the
    /// other side did not close.
    fn drop_server_conn(&mut self, conn: ConnId, why: Option<&'static str>) {
        let Some(gone) = self.servers.conns.remove(&conn) else { return };
        let id = gone.server;
        if let Some(server) = self.servers.all.get_mut(&id) {
            server.conns.remove(&conn);
        }
        if let Some(why) = why {
            self.servers.forsake(conn, &gone, false);
            let server = self.servers.name(id);
            self.notice(Notice::ServerConn { server, why, open: gone.open.len() });
        }
        for call in gone.open {
            let held = self.calls.get(&call).map(|call| (call.id.clone(), call.called.clone()));
            self.releases.abandon(self.now, call, id);
            if let Some((text, called)) = held {
                // It may have been answered: whatever stands there is of no use to anybody.
                self.release_elsewhere(id, &text, &called, conn);
            }
            self.end_attempt(call, Outcome::Reset, Reason::None, Report::default());
        }
        if why.is_some() {
            // What waits is still written before a close: the set-ups among it have been taken back.
            self.out.push(Output::Close(conn));
        }
        self.mind_server(id);
        self.refresh(id);
    }

    /// A server that holds calls gets a new connection: releases that went the way of a lost one come on it again.
    fn refresh(&mut self, id: ServerId) {
        let needed = self.servers.all.get(&id).is_some_and(|server| {
            server.standing > 0 && server.dials.is_empty() && !server.displaced && self.now >= server.dial_at
        });
        if needed && self.make_room(id) {
            self.dial_server(id);
        }
    }

    /// Closes a connection that is suspect once nothing is open on it.
    pub(crate) fn mind_server_conn(&mut self, conn: ConnId) {
        let done = self.servers.conns.get(&conn).is_some_and(|conn| conn.suspect && conn.open.is_empty());
        if done {
            self.drop_server_conn(conn, Some("it is silent"));
        }
    }

    /// Sees to it that a server that is needed has a connection, and that one that is not is forgotten.
    fn mind_server(&mut self, id: ServerId) {
        let now = self.now;
        let Some(server) = self.servers.all.get(&id) else { return };
        let held = server.standing > 0 || !server.owed.is_empty();
        if server.availability == Availability::Gone && !held {
            let busy = server
                .conns
                .iter()
                .any(|conn| self.servers.conns.get(conn).is_some_and(|conn| !conn.open.is_empty()));
            if !busy {
                self.forget_server(id);
            }
            return;
        }
        let bare = server.conns.is_empty() && server.dials.is_empty();
        if bare && server.displaced {
            return self.lose_server(id, "another server stands at its address");
        }
        // Where servers with calls outnumber the connections there may be, they take turns: what one could
        // not tell it tells when its turn comes.
        let turn = !server.owed.is_empty() || server.standing > 0 && now - server.fresh_at > CHECK;
        if bare && now >= server.dial_at && (!self.servers.is_full() || turn && self.make_room(id)) {
            self.dial_server(id);
        }
    }

    /// The process that held a server's calls is no more: they are over, and there is nobody to release them
    /// to.
    fn lose_server(&mut self, id: ServerId, why: &'static str) {
        if let Some(server) = self.servers.all.get_mut(&id) {
            server.owed.clear();
        }
        self.lose_standing(id, Micros::MAX, why);
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
        let bytes = dialog(Method::Bye, &self.name, id, called, 100)
            .header("Reason", format_args!("Q.850;cause={cause}"))
            .finish(b"");
        self.send(conn, bytes);
    }

    /// Releases a call at its server: on a connection of its own choice, else on any, else on the next.
    pub(crate) fn release_at_server(
        &mut self,
        server: ServerId,
        id: &str,
        called: &str,
        cause: u16,
        conn: Option<ConnId>,
    ) {
        let own = conn.filter(|conn| self.servers.conns.get(conn).is_some_and(|conn| !conn.suspect));
        if let Some(conn) = own.or_else(|| self.servers.sound_conn(server, None)) {
            return self.write_release(conn, id, called, cause);
        }
        if let Some(server) = self.servers.all.get_mut(&server) {
            if server.owed.len() < RELEASES {
                server.owed.push((id.to_owned(), called.to_owned(), cause));
            }
        }
    }

    /// Writes the releases that had no way to a server until now.
    fn write_owed(&mut self, conn: ConnId, server: ServerId) {
        let Some(server) = self.servers.all.get_mut(&server).filter(|server| !server.owed.is_empty()) else {
            return;
        };
        for (id, called, cause) in std::mem::take(&mut server.owed) {
            self.write_release(conn, &id, &called, cause);
        }
    }

    /// Releases what may stand of a given-up attempt on a connection other than its own, if one is sound.
    pub(crate) fn release_elsewhere(&mut self, server: ServerId, id: &str, called: &str, but: ConnId) {
        if let Some(conn) = self.servers.sound_conn(server, Some(but)) {
            self.write_release(conn, id, called, 16);
        }
    }

    // ---- From servers ----

    pub(crate) fn server_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.now;
        if let Some(state) = self.servers.conns.get_mut(&conn) {
            state.reader.push(bytes);
        }
        while let Some(state) = self.servers.conns.get_mut(&conn) {
            match state.reader.next_message() {
                Ok(Some(_)) if !state.reader.follows_well() => {
                    self.stats.bad_servers += 1;
                    return self.drop_server_conn(conn, Some("what follows a message is none"));
                }
                Ok(Some(message)) => {
                    let server = state.server;
                    (state.heard_at, state.asked_at) = (now, None);
                    (state.suspect, state.partial) = (false, None);
                    if let Some(server) = self.servers.all.get_mut(&server) {
                        server.heard_at = now;
                    }
                    self.write_owed(conn, server);
                    self.server_message(conn, server, message);
                }
                Ok(None) => {
                    // What trickles has not stopped: how long a set-up may wait for it is the module's to
                    // say.
                    state.partial = state.reader.is_partial().then_some(now);
                    return;
                }
                Err(malformed) => {
                    self.stats.bad_servers += 1;
                    return self.drop_server_conn(conn, Some(malformed.fault.as_str()));
                }
            }
        }
    }

    fn server_message(&mut self, conn: ConnId, server: ServerId, message: Message) {
        if let (true, Some(report)) = (self.tracing, message.header("X-Occupancy")) {
            let (name, report) = (self.servers.name(server), report.to_owned());
            let held = self.controller.view(server).unwrap_or_default();
            self.notice(Notice::Told { server: name, report, held });
        }
        match message.start() {
            Start::Response { code } => {
                let code = *code;
                match message.cseq().map(|cseq| cseq.method) {
                    Some(Method::Invite) => self.server_answers(conn, server, code, &message),
                    Some(Method::Options) => self.tested(server, code, &message),
                    // Releases and withdrawals that were heard.
                    _ => {}
                }
            }
            Start::Request { method, .. } => match method {
                Method::Bye => self.server_releases(conn, server, &message),
                Method::Notify => {
                    let report = report_of(&message);
                    self.tell(Event::Probed { server, outcome: Outcome::Ok, lag: 0, report });
                }
                Method::Options => self.send(conn, response(200, "OK", &message).finish(b"")),
                _ => {}
            },
        }
    }

    fn server_answers(&mut self, conn: ConnId, server: ServerId, code: u16, message: &Message) {
        let Some((_, number)) = invite::id(message) else { return };
        let id = CallId(number);
        if code < 200 {
            return;
        }
        // The platform's servers tell answers apart by call and method alone: whatever number they put into CSeq,
        // the connection tells which attempt it is.
        let out = self.calls.get(&id).and_then(|call| call.attempt);
        if out.is_none_or(|out| out.carrier != Carrier::Conn(conn)) {
            return self.late_answer(conn, server, id, code, message);
        }
        if code < 300 && !description::is_whole(message.body()) {
            self.stats.bad_servers += 1;
            return self.drop_server_conn(conn, Some("an answer's description is not whole"));
        }
        self.acknowledge(conn, message);
        let reason = message.header("X-Diagnosis").unwrap_or_default();
        let lag = message.header("X-Lag").and_then(|lag| lag.trim().parse::<f64>().ok());
        let wait = lag.filter(|lag| lag.is_finite()).map_or(0, |lag| (lag * 1e3) as Micros);
        let (reason, report) = (diagnosis(reason, wait), report_of(message));
        // A second copy of it must find no further attempt of the call on this connection.
        if let Some(call) = self.calls.get_mut(&id) {
            call.spent.push(conn);
        }
        let outcome = match code {
            200..300 => return self.attempt_answered(id, conn, message),
            503 => Outcome::Full,
            480 => Outcome::Moot,
            504 => Outcome::Reset,
            _ => Outcome::Error,
        };
        self.end_attempt(id, outcome, reason, report);
    }

    /// An answer that nobody waits for: a second copy, or one to an attempt that was given up.
    fn late_answer(&mut self, conn: ConnId, server: ServerId, id: CallId, code: u16, message: &Message) {
        if !self.releases.abandoned_answered(id, server) {
            return self.trace_id(id, &format!("{code} of server {} is nobody's", server.0));
        }
        self.acknowledge(conn, message);
        if !(200..300).contains(&code) {
            return;
        }
        let further = self.calls.get_mut(&id);
        let further = further.filter(|call| call.attempt.is_some_and(|out| out.server == server));
        if let Some(call) = further {
            // Servers tell calls by their id alone: a release now could end the further attempt.
            if !call.superseded.contains(&(server, conn)) {
                call.superseded.push((server, conn));
            }
            return self
                .trace_id(id, "answered after it was given up: released if the further attempt fails");
        }
        if self.standing.get(&id).is_some_and(|standing| standing.server == server) {
            return;
        }
        self.trace_id(id, "answered after it was given up: released");
        if let Some((text, _)) = invite::id(message) {
            self.write_release(conn, text, "late", 16);
        }
    }

    fn acknowledge(&mut self, conn: ConnId, message: &Message) {
        let (Some((id, _)), Some(cseq)) = (invite::id(message), message.cseq()) else { return };
        let bytes = dialog(Method::Ack, &self.name, id, "call", cseq.number).finish(b"");
        self.send(conn, bytes);
    }

    fn server_releases(&mut self, conn: ConnId, server: ServerId, message: &Message) {
        let Some((_, number)) = invite::id(message) else { return };
        let (id, cause) = (CallId(number), cause_of(message));
        self.send(conn, response(200, "OK", message).finish(b""));
        let report = report_of(message);
        let out = self.calls.get(&id).and_then(|call| call.attempt);
        if self.standing.get(&id).is_some_and(|standing| standing.server == server) {
            let outcome = if cause == 16 { Outcome::Ok } else { Outcome::Reset };
            if let Some(standing) = self.end_standing(id, outcome, report) {
                self.trace(&standing.id, || format!("released by server {}, cause {cause}", server.0));
                self.release_to_caller(id, standing.id, standing.called, cause, standing.caller);
                self.mind_server(server);
            }
        } else if out.is_some_and(|out| out.server == server && out.carrier == Carrier::Conn(conn)) {
            // Should it answer all the same, that is released.
            self.releases.abandon(self.now, id, server);
            if let Some(call) = self.calls.get_mut(&id) {
                call.spent.push(conn);
            }
            self.end_attempt(id, Outcome::Reset, Reason::None, report);
        } else if out.is_none() && !self.releases.was_abandoned(id, server) {
            // It may stand since before this process did.
            let now = self.now;
            self.releases.keep_unknown(now, id, cause);
        }
    }

    // ---- Tests ----

    /// The module wants to know how a server is.
    pub(crate) fn probe(&mut self, server: ServerId) {
        let now = self.now;
        let Some(conn) = self.servers.sound_conn(server, None) else {
            let report = Report::default();
            return self.tell(Event::Probed { server, outcome: Outcome::Unreachable, lag: 0, report });
        };
        let id = format!("{:016x}", now as u64);
        let bytes = dialog(Method::Options, &self.name, &id, "ping", 1).finish(b"");
        self.send(conn, bytes);
    }

    fn tested(&mut self, server: ServerId, code: u16, message: &Message) {
        let sent = invite::id(message).map_or(self.now, |(_, at)| at as Micros);
        let outcome = if (200..300).contains(&code) { Outcome::Ok } else { Outcome::Full };
        let lag = (self.now - sent).max(0);
        self.tell(Event::Probed { server, outcome, lag, report: report_of(message) });
    }

    // ---- The regular look ----

    /// Tells where each server stands.
    pub(crate) fn tell_servers(&mut self) {
        let lines: Vec<_> = self.servers.all.values().map(Server::notice).collect();
        lines.into_iter().for_each(|line| self.notice(line));
    }

    pub(crate) fn sweep_servers(&mut self) {
        let now = self.now;
        let (mut stuck, mut mute) = (Vec::new(), BTreeSet::new());
        for (&id, conn) in &self.servers.conns {
            let own = self.servers.all.get(&conn.server).map_or(0, |server| server.conns.len());
            let idle = conn.open.is_empty()
                && conn.standing == 0
                && now - conn.used_at.max(conn.opened_at) > IDLE_SERVER;
            if conn.partial.is_some_and(|since| now - since > PARTIAL_ANSWER) {
                stuck.push((id, "a message stopped short"));
            } else if conn.asked_at.is_some_and(|at| now - at > MUTE) {
                if conn.open.is_empty() {
                    stuck.push((id, "it is silent"));
                } else if conn.standing > 0 {
                    mute.insert(conn.server);
                }
            } else if idle && own > self.servers.kept() {
                stuck.push((id, "idle"));
            }
        }
        for (conn, why) in stuck {
            let left = self.servers.conns.get(&conn).and_then(|conn| self.servers.all.get(&conn.server));
            if why != "idle" || left.is_some_and(|server| server.conns.len() > self.servers.kept()) {
                self.drop_server_conn(conn, Some(why));
            }
        }
        let heard = self.servers.surely_heard();
        for id in self.servers.in_own_order() {
            let Some(server) = self.servers.all.get(&id) else { continue };
            let held = server.standing > 0;
            // One that is listed may come back and still hold what it is owed the releases of.
            let owing = server.availability == Availability::Gone && !server.owed.is_empty();
            let check = if mute.contains(&id) && self.servers.room(id) { MUTE } else { CHECK };
            let heard = heard.get(&id).copied().unwrap_or(server.heard_at);
            let stale = held && now - server.fresh_at.max(heard) > check;
            // One that only takes nothing new goes on speaking of what it has.
            let vanished = server.unreachable && now - server.heard_at > VANISHED;
            if owing && vanished {
                self.lose_server(id, "it can't be reached");
            } else if held && vanished {
                self.lose_standing(id, Micros::MAX, "it can't be reached");
            } else if stale {
                self.refresh(id);
            }
            self.mind_server(id);
        }
    }
}

fn report_of(message: &Message) -> Report {
    message.header("X-Occupancy").map_or_else(Report::default, report_of_text)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn conn(heard_at: Micros) -> ServerConn {
        ServerConn {
            server: ServerId(0),
            reader: Reader::new(),
            open: BTreeSet::new(),
            standing: 0,
            suspect: false,
            opened_at: 0,
            heard_at,
            asked_at: None,
            used_at: 0,
            partial: None,
        }
    }

    #[test]
    fn set_ups_go_out_on_the_connection_with_the_least_on_it_that_is_sound_and_not_spent() {
        let mut servers = Servers::new(256, 0, &[], 1, 0);
        let conns = (1..=4).map(ConnId);
        let server = Server {
            name: "s-a".to_owned(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            availability: Availability::Ready,
            started_at: None,
            conns: conns.clone().collect(),
            dials: BTreeSet::new(),
            standing: 0,
            owed: Vec::new(),
            fresh_at: 0,
            heard_at: 0,
            unreachable: false,
            pause: 0,
            dial_at: 0,
            displaced: false,
        };
        servers.all.insert(ServerId(0), server);
        for id in conns {
            servers.conns.insert(id, conn(id.0 as Micros));
        }
        assert_eq!(
            servers.choose(ServerId(0), &[]),
            Some(ConnId(4)),
            "of those that are free the one heard last"
        );
        servers.opened(ConnId(4), CallId(1), 9);
        assert_eq!(servers.choose(ServerId(0), &[]), Some(ConnId(3)));
        assert_eq!(servers.choose(ServerId(0), &[ConnId(3)]), Some(ConnId(2)));
        assert!(servers.doubt(ConnId(2), 5, 5 + SILENCE), "nothing came since");
        assert_eq!(servers.choose(ServerId(0), &[ConnId(3)]), Some(ConnId(1)));
        assert!(!servers.doubt(ConnId(3), 2, 2 + SILENCE), "it was heard since");
        assert_eq!(servers.choose(ServerId(0), &[ConnId(1), ConnId(3)]), Some(ConnId(4)), "busy, but sound");
        assert_eq!(servers.choose(ServerId(0), &[ConnId(1), ConnId(3), ConnId(4)]), None);
    }
}
