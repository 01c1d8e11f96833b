//! The regular look at everything that grows old, and the end of the node.

use lemoncleat_core::Micros;

use crate::interface::Output;
use crate::node::{AccessNode, Timer};
use crate::notice::Notice;
use crate::timing::{STOP_AFTER, STOP_STANDING, SWEEP, TELL_TABLES};

impl AccessNode {
    pub(crate) fn sweep(&mut self) {
        self.wheel.set(self.now + SWEEP, Timer::Sweep);
        self.sweep_callers();
        self.sweep_servers();
        self.sweep_releases();
        self.sweep_journal();
        if self.now - self.told_at >= TELL_TABLES {
            self.told_at = self.now;
            self.tell_tables();
        }
        self.mind_stop();
    }

    fn tell_tables(&mut self) {
        let notice = Notice::Tables {
            callers: self.callers.conns.len(),
            open: self.calls.len(),
            standing: self.standing.len(),
            servers: self.servers.len(),
            server_conns: self.servers.conns_len(),
            releases: self.releases.len(),
            unknown: self.releases.unknown_len(),
            timers: self.wheel.len(),
            module: self.controller.sizes(),
            stats: self.stats,
        };
        self.notice(notice);
        if self.tracing {
            self.tell_servers();
        }
    }

    /// The node is to end: from now on tests fail, and all that was taken is answered.
    pub(crate) fn terminate(&mut self) {
        if self.stopping.is_none() {
            self.stopping = Some(self.now);
            self.notice(Notice::Stopping { open: self.calls.len(), standing: self.standing.len() });
        }
    }

    fn mind_stop(&mut self) {
        let Some(since) = self.stopping else { return };
        let age: Micros = self.now - since;
        let owed = self.releases.len() + self.servers.owed_len();
        let silent = self.standing.is_empty() && owed == 0;
        let late = age > self.longest_deadline + STOP_STANDING;
        if age >= STOP_AFTER && self.calls.is_empty() && (silent || late) {
            if !std::mem::replace(&mut self.stopped, true) {
                self.tell_tables();
            }
            // Again at each look: what still arrives until the driver ends is taken, and this waits for it.
            self.out.push(Output::Stopped);
        }
    }
}
