//! New settings put in force in place, whole or not at all.
//!
//! What other cores and standing connections hold can't change so: it is refused with its field. All else
//! takes effect within the turn. Standing calls, attempts, timers and what was learned of servers stay.

use super::*;
use crate::rebuild::{rebuild, Change};
use crate::settings::{MemberPeer, NodeSettings};

/// Most peers that a node knows in its life: clients and servers that went keep their number.
const MOST_PEERS: usize = 65_536;
/// The longest first message that is kept while clients are held, in bytes.
const MOST_HELD: usize = 4 * 1024;
/// How soon it is looked again whether calls of a class that went are pending.
const LOOK_AGAIN: Micros = 100_000;

/// The first field that can't change in place and does.
fn fixed(old: &NodeSettings, new: &NodeSettings) -> Option<&'static str> {
    let (a, b) = (&old.module, &new.module);
    let fields = [
        ("host", old.host != new.host),
        ("realm", old.realm != new.realm),
        ("listen", old.addresses != new.addresses),
        ("circuits", old.circuits != new.circuits),
        ("timing", old.timing != new.timing),
        ("log.calls", old.trace_calls != new.trace_calls),
        ("limits.duplicates", old.max_duplicates != new.max_duplicates),
        ("number", a.own_number != b.own_number),
        ("home", a.home != b.home),
        ("membership", a.membership != b.membership),
    ];
    fields.into_iter().find(|(_, differs)| *differs).map(|(field, _)| field)
}

impl Node {
    /// Puts new settings in force at this moment, whole or not at all. Calls that stand, attempts that are
    /// out, calls that wait, timers and what was learned of servers stay; calls keep their class by its name.
    /// A class that went decides for its pending calls until they are over, and no new call gets it. A client
    /// that went keeps its connection until its last call is over. A new `limits.message` holds for
    /// connections made from now on.
    ///
    /// Members are not among what changes here, they have an input of their own; of those of `settings` it is
    /// only looked whether they could come in force with the rest.
    ///
    /// # Errors
    ///
    /// In one line that begins with the field, where it can't change in place or can't be used. Nothing has
    /// changed then.
    pub fn configure(
        &mut self,
        now: Micros,
        settings: NodeSettings,
        out: &mut Vec<Output>,
    ) -> Result<(), String> {
        self.now = self.now.max(now);
        // What came before is decided as it would have been.
        self.settle();
        let done = self.reconfigure(settings);
        out.append(&mut self.out);
        done
    }

    fn reconfigure(&mut self, mut settings: NodeSettings) -> Result<(), String> {
        if let Some(field) = fixed(&self.settings, &settings) {
            return Err(format!("{field}: can't be changed while the node runs"));
        }
        let names = &settings.class_names;
        if names.len() != settings.module.classes.len() {
            return Err(format!("classes: {} names of {}", names.len(), settings.module.classes.len()));
        }
        if let Some((_, name)) = names.iter().enumerate().find(|(at, name)| names[..*at].contains(name)) {
            return Err(format!("classes: {name:?} stands twice"));
        }
        let mut fresh: Vec<Arc<str>> = Vec::new();
        for client in &settings.clients {
            match self.hosts.get(client).and_then(|id| self.peers.get(id.0 as usize)).map(|slot| slot.role) {
                Some(Role::Client) => {}
                Some(_) => return Err(format!("clients: {client:?} is a server or member since the start")),
                None if fresh.contains(client) => {}
                None => fresh.push(client.clone()),
            }
        }
        for MemberPeer { host, .. } in &settings.members {
            let role =
                self.hosts.get(host).and_then(|id| self.peers.get(id.0 as usize)).map(|slot| slot.role);
            if matches!(role, Some(Role::Client | Role::Server(_))) || fresh.contains(host) {
                return Err(format!("members: {host:?} is a client or server since the start"));
            }
        }
        if self.peers.len() + fresh.len() > MOST_PEERS {
            return Err(format!("clients: more than {MOST_PEERS} peers since the start"));
        }
        self.rebuild_module(&settings.module, &settings.class_names)?;
        settings.members = std::mem::take(&mut self.settings.members);
        self.settings = settings;
        for client in fresh {
            self.add_peer(client, Role::Client);
        }
        for index in 0..self.peers.len() {
            let slot = &mut self.peers[index];
            if slot.role == Role::Client {
                slot.leaving = !self.settings.clients.contains(&slot.host);
                self.client_done(PeerId(index as u32));
            }
        }
        Ok(())
    }

    /// The module with these settings; unchanged if it can't have them.
    fn rebuild_module(&mut self, settings: &lemoncleat::Settings, names: &[Arc<str>]) -> Result<(), String> {
        let queued = self.events.iter().filter_map(|event| match event {
            Event::Call(call) => Some(call.class),
            _ => None,
        });
        let queued: Vec<usize> = queued.collect();
        let change = Change { from: &self.classes, to: names, settings, queued: &queued };
        let rebuilt = rebuild(&self.controller, &change)?;
        for event in &mut self.events {
            if let Event::Call(call) = event {
                call.class = rebuilt.indexes.get(call.class).copied().flatten().unwrap_or(usize::MAX);
            }
        }
        self.controller = rebuilt.controller;
        self.classes = rebuilt.names;
        if let Some(until) = rebuilt.until {
            self.wheel.set(until.max(self.now + LOOK_AGAIN), Timer::Classes);
        }
        Ok(())
    }

    /// Forgets classes that went, once no call of them is pending.
    pub(super) fn forget_classes(&mut self) {
        if self.classes.len() > self.settings.class_names.len() {
            let (settings, names) = (self.settings.module.clone(), self.settings.class_names.clone());
            // The same settings were good before.
            let _ = self.rebuild_module(&settings, &names);
        }
    }

    /// A client that went loses its connection with its last call.
    pub(super) fn client_done(&mut self, id: PeerId) {
        let Some(slot) = self.peers.get(id.0 as usize) else { return };
        if slot.leaving && slot.calls == 0 && slot.peer.is_open() {
            self.tell_peer(id, PeerInput::Disconnect(DisconnectCause::DoNotWantToTalkToYou));
        }
    }

    /// Whether a peer is a client that went and has nothing left here.
    pub(super) fn has_left(&self, id: PeerId) -> bool {
        self.peers.get(id.0 as usize).is_some_and(|slot| slot.leaving && slot.calls == 0)
    }

    /// Clients wait for the answer to their capabilities, before which they send no call; or they get it now.
    pub(super) fn hold_clients(&mut self, hold: bool) {
        if hold {
            self.held.get_or_insert_default();
            return;
        }
        for (conn, bytes) in self.held.take().unwrap_or_default() {
            match MessageRef::parse(&bytes) {
                Ok(message) if self.conns.contains_key(&conn) => self.first_message(conn, &message),
                _ => {}
            }
        }
    }

    pub(super) fn is_held(&self, conn: ConnId) -> bool {
        self.held.as_ref().is_some_and(|held| held.contains_key(&conn))
    }

    /// Keeps the first message of a client for later, if clients are held. What is kept is bounded: whoever
    /// says more before he is answered, or more than capabilities take, is hung up on.
    pub(super) fn hold(&mut self, conn: ConnId, message: &MessageRef<'_>) -> bool {
        if self.is_held(conn) || self.held.is_some() && message.bytes.len() > MOST_HELD {
            self.notice(Notice::NoCapabilities(conn));
            self.close(conn);
            return true;
        }
        let Some(held) = &mut self.held else { return false };
        if held.len() >= self.conns.len() {
            held.retain(|conn, _| self.conns.contains_key(conn));
        }
        held.insert(conn, message.bytes.to_vec());
        true
    }

    /// The decision module as it stands, for whoever wants to keep or compare its state.
    pub fn module(&self) -> &Controller {
        &self.controller
    }
}
