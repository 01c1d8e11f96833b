//! Stopping in order.

use super::*;

impl Node {
    pub(super) fn stop(&mut self) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.notice(Notice::Stopping(self.standing));
        self.wheel.set(self.now + self.settings.timing.drain, Timer::Drained);
        // No connection is taken any more: a client that is away does not come back here.
        for index in 0..self.peers.len() {
            let slot = &self.peers[index];
            if slot.role == Role::Client && slot.peer.connection().is_none() {
                self.client_is_gone(PeerId(index as u32));
            }
        }
        self.finish_stopping(false);
    }

    /// Ends the connections of clients that have no call left, then those of servers; at the end of the
    /// time for it, all of them whatever they hold.
    pub(super) fn finish_stopping(&mut self, at_once: bool) {
        if self.stopped {
            return;
        }
        if at_once {
            let mut calls: Vec<u64> = self.calls.keys().copied().collect();
            calls.sort_unstable();
            for call in calls {
                if self.calls.get(&call).is_some_and(|call| call.standing.is_some()) {
                    self.cut(call, "this node stops");
                } else {
                    self.answer_failure(call, code::UNABLE_TO_DELIVER, "this node stops", 0);
                }
            }
        }
        let clients_open = self.end_peers(|slot| slot.role == Role::Client && slot.calls == 0);
        // While a call is left its server is owed a release, or an answer of it is waited for.
        if (clients_open > 0 || !self.calls.is_empty()) && !at_once {
            return;
        }
        // The fleet is of use until the last call is over, and is not waited for.
        self.end_members();
        let servers_open = self.end_peers(|slot| matches!(slot.role, Role::Server(_)));
        if clients_open + servers_open == 0 && !self.stopped {
            self.stopped = true;
            self.out.push(Output::Stopped);
        }
    }

    /// Ends the connections of such peers in order; how many of their kind still have one.
    pub(super) fn end_peers(&mut self, which: impl Fn(&PeerSlot) -> bool) -> usize {
        let mut open = 0;
        for index in 0..self.peers.len() {
            let slot = &self.peers[index];
            if which(slot) && slot.peer.is_open() {
                self.tell_peer(PeerId(index as u32), PeerInput::Disconnect(DisconnectCause::Rebooting));
            }
            let slot = &self.peers[index];
            let kind = which(slot) || slot.role == Role::Client && slot.calls > 0;
            if kind && slot.peer.connection().is_some() {
                open += 1;
            }
        }
        open
    }
}
