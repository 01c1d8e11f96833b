//! Graceful shutdown.

use super::*;

impl Node {
    pub(super) fn begin_stopping(&mut self) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.notice(Notice::Stopping(self.standing));
        self.wheel.set(self.now + self.settings.timing.drain, Timer::DrainTimeout);
        // Connections are no longer accepted, so a disconnected client can't come back.
        for index in 0..self.peers.len() {
            let slot = &self.peers[index];
            if slot.role == Role::Client && slot.peer.connection().is_none() {
                self.end_client_calls(PeerId(index as u32));
            }
        }
        self.finish_stopping(false);
    }

    /// Closes the connections of clients that have no calls left, then those of servers. When the drain time
    /// is over, all of them are closed whatever calls they have.
    pub(super) fn finish_stopping(&mut self, forced: bool) {
        if self.stopped {
            return;
        }
        if forced {
            let mut calls: Vec<u64> = self.calls.keys().copied().collect();
            calls.sort_unstable();
            for call in calls {
                if self.calls.get(&call).is_some_and(|call| call.standing.is_some()) {
                    self.cut_call(call, "this node stops");
                } else {
                    self.answer_failure(call, code::UNABLE_TO_DELIVER, "this node stops", 0);
                }
            }
        }
        let clients_open = self.disconnect_peers(|slot| slot.role == Role::Client && slot.calls == 0);
        // While a call is left, its server is owed a release or an answer from it is expected.
        if (clients_open > 0 || !self.calls.is_empty()) && !forced {
            return;
        }
        // The fleet connections are kept until the last call has ended; closing them is not waited for.
        self.disconnect_members();
        let servers_open = self.disconnect_peers(|slot| matches!(slot.role, Role::Server(_)));
        if clients_open + servers_open == 0 && !self.stopped {
            self.stopped = true;
            self.out.push(Output::Stopped);
        }
    }

    /// Closes the connections of the selected peers with a DPR. Returns how many of them, or of clients with
    /// calls, are still connected.
    pub(super) fn disconnect_peers(&mut self, which: impl Fn(&PeerSlot) -> bool) -> usize {
        let mut open = 0;
        for index in 0..self.peers.len() {
            let slot = &self.peers[index];
            if which(slot) && slot.peer.is_open() {
                self.drive_peer(PeerId(index as u32), PeerInput::Disconnect(DisconnectCause::Rebooting));
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
