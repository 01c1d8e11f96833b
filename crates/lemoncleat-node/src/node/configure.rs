//! Replacing the settings of a running node, completely or not at all.
//!
//! Settings that other components or existing connections depend on can't change this way; a change of one is
//! refused with the field's name. All other settings take effect within the turn. Standing calls, attempts,
//! timers and what was learned about servers are kept.

use super::*;
use crate::rebuild::{rebuild, SettingsChange};
use crate::settings::{MemberPeer, NodeSettings};

/// Maximum number of peers in the lifetime of a node: removed clients and servers keep their number.
const MAX_PEERS: usize = 65_536;
/// The longest first message that is kept while clients are held.
const MAX_HELD_MESSAGE_BYTES: usize = 4 * 1024;
/// How soon the node checks again whether a removed class has pending calls.
const CLASS_RECHECK_INTERVAL_US: Micros = 100_000;

/// Returns the first field that differs and can't change in place.
fn first_fixed_difference(old: &NodeSettings, new: &NodeSettings) -> Option<&'static str> {
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
    /// Puts new settings in force now, completely or not at all. Standing calls, attempts in progress,
    /// waiting calls, timers and what was learned about servers are kept; calls keep their class by its name.
    /// A removed class applies to its pending calls until they end and is given to no new call. A removed
    /// client keeps its connection until its last call ends. A new `limits.message` applies to connections
    /// made from now on.
    ///
    /// Members do not change here, because they have an input of their own. The members in `settings` are
    /// only checked for conflicts with the other settings.
    ///
    /// # Errors
    ///
    /// If a field can't change in place or has an unusable value. The text is one line that begins with the
    /// field. Nothing has changed in that case.
    pub fn configure(
        &mut self,
        now: Micros,
        settings: NodeSettings,
        out: &mut Vec<Output>,
    ) -> Result<(), String> {
        self.now = self.now.max(now);
        // Earlier events are still decided under the old settings.
        self.process_events();
        let done = self.reconfigure(settings);
        out.append(&mut self.out);
        done
    }

    fn reconfigure(&mut self, mut settings: NodeSettings) -> Result<(), String> {
        if let Some(field) = first_fixed_difference(&self.settings, &settings) {
            return Err(format!("{field}: can't be changed while the node runs"));
        }
        let names = &settings.class_names;
        if names.len() != settings.module.classes.len() {
            return Err(format!("classes: {} names of {}", names.len(), settings.module.classes.len()));
        }
        if let Some((_, name)) = names.iter().enumerate().find(|(at, name)| names[..*at].contains(name)) {
            return Err(format!("classes: {name:?} stands twice"));
        }
        let mut new_clients: Vec<Arc<str>> = Vec::new();
        for client in &settings.clients {
            match self.hosts.get(client).and_then(|id| self.peers.get(id.0 as usize)).map(|slot| slot.role) {
                Some(Role::Client) => {}
                Some(_) => return Err(format!("clients: {client:?} is a server or member since the start")),
                None if new_clients.contains(client) => {}
                None => new_clients.push(client.clone()),
            }
        }
        for MemberPeer { host, .. } in &settings.members {
            let role =
                self.hosts.get(host).and_then(|id| self.peers.get(id.0 as usize)).map(|slot| slot.role);
            if matches!(role, Some(Role::Client | Role::Server(_))) || new_clients.contains(host) {
                return Err(format!("members: {host:?} is a client or server since the start"));
            }
        }
        if self.peers.len() + new_clients.len() > MAX_PEERS {
            return Err(format!("clients: more than {MAX_PEERS} peers since the start"));
        }
        self.rebuild_module(&settings.module, &settings.class_names)?;
        settings.members = std::mem::take(&mut self.settings.members);
        self.settings = settings;
        for client in new_clients {
            self.add_peer(client, Role::Client);
        }
        for index in 0..self.peers.len() {
            let slot = &mut self.peers[index];
            if slot.role == Role::Client {
                slot.leaving = !self.settings.clients.contains(&slot.host);
                self.close_removed_client(PeerId(index as u32));
            }
        }
        Ok(())
    }

    /// Rebuilds the module with these settings; it is left unchanged if it rejects them.
    fn rebuild_module(&mut self, settings: &lemoncleat::Settings, names: &[Arc<str>]) -> Result<(), String> {
        let queued = self.events.iter().filter_map(|event| match event {
            Event::Call(call) => Some(call.class),
            _ => None,
        });
        let queued: Vec<usize> = queued.collect();
        let change = SettingsChange { from: &self.classes, to: names, settings, queued: &queued };
        let rebuilt = rebuild(&self.controller, &change)?;
        for event in &mut self.events {
            if let Event::Call(call) = event {
                call.class = rebuilt.new_indexes.get(call.class).copied().flatten().unwrap_or(usize::MAX);
            }
        }
        self.controller = rebuilt.controller;
        self.classes = rebuilt.names;
        if let Some(until) = rebuilt.pending_until {
            self.wheel.set(until.max(self.now + CLASS_RECHECK_INTERVAL_US), Timer::PruneClasses);
        }
        Ok(())
    }

    /// Drops removed classes that have no pending calls left.
    pub(super) fn prune_classes(&mut self) {
        if self.classes.len() > self.settings.class_names.len() {
            let (settings, names) = (self.settings.module.clone(), self.settings.class_names.clone());
            // The module has accepted the same settings before.
            let _ = self.rebuild_module(&settings, &names);
        }
    }

    /// Closes the connection of a removed client that has no calls left.
    pub(super) fn close_removed_client(&mut self, id: PeerId) {
        let Some(slot) = self.peers.get(id.0 as usize) else { return };
        if slot.leaving && slot.calls == 0 && slot.peer.is_open() {
            self.drive_peer(id, PeerInput::Disconnect(DisconnectCause::DoNotWantToTalkToYou));
        }
    }

    /// Returns whether a peer is a removed client without calls.
    pub(super) fn is_removed_client(&self, id: PeerId) -> bool {
        self.peers.get(id.0 as usize).is_some_and(|slot| slot.leaving && slot.calls == 0)
    }

    /// Starts holding the answers to clients' capabilities, before which clients send no calls; or answers
    /// them now.
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

    /// Keeps the first message of a client for later if clients are held, and returns whether it was handled.
    /// The memory is bounded: a client that sends another message before it is answered, or one longer than
    /// capabilities need, is disconnected.
    pub(super) fn hold_message(&mut self, conn: ConnId, message: &MessageRef<'_>) -> bool {
        if self.is_held(conn) || self.held.is_some() && message.bytes.len() > MAX_HELD_MESSAGE_BYTES {
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

    /// Returns the decision module, for keeping or comparing its state.
    pub fn module(&self) -> &Controller {
        &self.controller
    }
}
