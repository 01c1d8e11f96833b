//! Periodic maintenance of all tables, and the orderly shutdown of the node.

use lemoncleat_core::Micros;

use crate::interface::Output;
use crate::node::{AccessNode, Timer};
use crate::notice::Notice;
use crate::timing::{
    MAINTENANCE_INTERVAL_US, MIN_SHUTDOWN_US, SHUTDOWN_RELEASE_GRACE_US, TABLE_SIZES_LOG_INTERVAL_US,
};

impl AccessNode {
    pub(crate) fn run_maintenance(&mut self) {
        self.wheel.set(self.now + MAINTENANCE_INTERVAL_US, Timer::Maintenance);
        self.maintain_callers();
        self.maintain_servers();
        self.maintain_releases();
        self.maintain_journal();
        if self.now - self.sizes_logged_at >= TABLE_SIZES_LOG_INTERVAL_US {
            self.sizes_logged_at = self.now;
            self.log_table_sizes();
        }
        self.check_shutdown();
    }

    fn log_table_sizes(&mut self) {
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
            self.log_servers();
        }
    }

    /// Begins the orderly shutdown: from now on OPTIONS tests are answered with 503, and every set-up that
    /// was or will be received is still answered.
    pub(crate) fn terminate(&mut self) {
        if self.stopping_since.is_none() {
            self.stopping_since = Some(self.now);
            self.notice(Notice::Stopping { open: self.calls.len(), standing: self.standing.len() });
        }
    }

    fn check_shutdown(&mut self) {
        let Some(since) = self.stopping_since else { return };
        let age: Micros = self.now - since;
        let owed = self.releases.len() + self.servers.pending_releases_len();
        let nothing_owed = self.standing.is_empty() && owed == 0;
        let grace_over = age > self.max_deadline + SHUTDOWN_RELEASE_GRACE_US;
        if age >= MIN_SHUTDOWN_US && self.calls.is_empty() && (nothing_owed || grace_over) {
            if !std::mem::replace(&mut self.stopped, true) {
                self.log_table_sizes();
            }
            // Reported again at every maintenance run: a set-up that arrives before the driver ends is still
            // accepted, and `Stopped` is withheld until it is answered.
            self.out.push(Output::Stopped);
        }
    }
}
