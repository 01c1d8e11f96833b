//! The watchdog algorithm of RFC 3539 section 3.4.1, as used by RFC 6733 section 5.5.

use rand::rngs::SmallRng;
use rand::Rng;

use crate::Micros;

/// Minimum Tw allowed by RFC 3539, in microseconds.
pub const WATCHDOG_FLOOR: Micros = 6_000_000;
/// Number of answers required on a reopened connection before it is used for requests again.
const REOPEN_ANSWERS_REQUIRED: i32 = 3;

/// Watchdog state of a peer (RFC 3539 section 3.4.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchdogState {
    /// Not connected yet, or disconnected gracefully.
    Initial,
    /// The peer responds.
    Okay,
    /// A watchdog request went unanswered for a whole Tw: no new requests are sent.
    Suspect,
    /// No connection after a failure.
    Down,
    /// Connected again after a failure, and not yet used for requests.
    Reopen,
}

/// Actions requested by the watchdog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchdogAction {
    /// Send a Device-Watchdog-Request.
    Send,
    /// Stop using the connection for requests and report those outstanding.
    Failover,
    /// Use the connection for requests again.
    Failback,
    /// Close the connection.
    Close,
}

/// The watchdog of one peer.
#[derive(Debug)]
pub struct Watchdog {
    tw: Micros,
    jitter: Micros,
    state: WatchdogState,
    awaiting_answer: bool,
    reopen_answers: i32,
    due: Option<Micros>,
}

impl Watchdog {
    /// Creates a watchdog with this Tw. Each interval is Tw with a random jitter of up to 2 s either way, or
    /// of up to a third of Tw if that is less.
    pub fn new(tw: Micros) -> Self {
        let jitter = (tw / 3).min(2_000_000);
        Watchdog {
            tw,
            jitter,
            state: WatchdogState::Initial,
            awaiting_answer: false,
            reopen_answers: 0,
            due: None,
        }
    }

    /// Returns the state of the watchdog.
    pub fn state(&self) -> WatchdogState {
        self.state
    }

    /// Returns the time at which [`Watchdog::timeout`] is due; `None` without a connection.
    pub fn due(&self) -> Option<Micros> {
        self.due
    }

    fn restart_timer(&mut self, now: Micros, rng: &mut SmallRng) {
        self.due = Some(now + self.tw + rng.random_range(-self.jitter..=self.jitter));
    }

    /// Handles the opening of a connection.
    pub fn connected(&mut self, now: Micros, rng: &mut SmallRng) -> Option<WatchdogAction> {
        self.restart_timer(now, rng);
        if self.state == WatchdogState::Initial {
            self.state = WatchdogState::Okay;
            self.awaiting_answer = false;
            return Some(WatchdogAction::Failback);
        }
        self.state = WatchdogState::Reopen;
        self.reopen_answers = 0;
        self.awaiting_answer = true;
        Some(WatchdogAction::Send)
    }

    /// Handles the loss of the connection. A graceful disconnect (DPR) is no failure: the next connection is
    /// used immediately.
    pub fn disconnected(&mut self, graceful: bool) {
        self.due = None;
        self.awaiting_answer = false;
        self.state = match (self.state, graceful) {
            (_, true) | (WatchdogState::Initial, _) => WatchdogState::Initial,
            _ => WatchdogState::Down,
        };
    }

    /// Handles a Device-Watchdog-Answer.
    pub fn answered(&mut self, now: Micros, rng: &mut SmallRng) -> Option<WatchdogAction> {
        self.awaiting_answer = false;
        match self.state {
            WatchdogState::Reopen => {
                self.reopen_answers = self.reopen_answers.max(0) + 1;
                if self.reopen_answers < REOPEN_ANSWERS_REQUIRED {
                    return None;
                }
                self.state = WatchdogState::Okay;
                self.restart_timer(now, rng);
                Some(WatchdogAction::Failback)
            }
            _ => self.heard(now, rng),
        }
    }

    /// Handles any other received message, which does not count as an answer on a reopened connection.
    pub fn heard(&mut self, now: Micros, rng: &mut SmallRng) -> Option<WatchdogAction> {
        match self.state {
            WatchdogState::Okay => {
                self.restart_timer(now, rng);
                None
            }
            WatchdogState::Suspect => {
                self.state = WatchdogState::Okay;
                self.restart_timer(now, rng);
                Some(WatchdogAction::Failback)
            }
            _ => None,
        }
    }

    /// Extends the timer by the time for which this process did not run: messages from the peer could not be
    /// received meanwhile.
    pub fn away(&mut self, time: Micros) {
        self.due = self.due.map(|due| due + time);
    }

    /// Handles the expiry of the timer at [`Watchdog::due`].
    pub fn timeout(&mut self, now: Micros, rng: &mut SmallRng) -> Option<WatchdogAction> {
        if self.due.is_none_or(|due| due > now) {
            return None;
        }
        match (self.state, self.awaiting_answer) {
            (WatchdogState::Okay | WatchdogState::Reopen, false) => {
                self.awaiting_answer = true;
                self.restart_timer(now, rng);
                Some(WatchdogAction::Send)
            }
            (WatchdogState::Okay, true) => {
                self.state = WatchdogState::Suspect;
                self.restart_timer(now, rng);
                Some(WatchdogAction::Failover)
            }
            (WatchdogState::Reopen, true) if self.reopen_answers >= 0 => {
                self.reopen_answers = -1;
                self.restart_timer(now, rng);
                None
            }
            (WatchdogState::Suspect | WatchdogState::Reopen, _) => {
                self.state = WatchdogState::Down;
                self.due = None;
                Some(WatchdogAction::Close)
            }
            (WatchdogState::Initial | WatchdogState::Down, _) => {
                self.due = None;
                None
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    const TW: Micros = 30_000_000;

    fn expire_timer(watchdog: &mut Watchdog, rng: &mut SmallRng) -> (Micros, Option<WatchdogAction>) {
        let due = watchdog.due().expect("a running timer");
        assert_eq!(watchdog.timeout(due - 1, rng), None, "no action before the timer is due");
        (due, watchdog.timeout(due, rng))
    }

    #[test]
    fn silent_peer_is_suspect_then_closed_after_two_more_intervals() {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut watchdog = Watchdog::new(TW);
        assert_eq!(watchdog.connected(0, &mut rng), Some(WatchdogAction::Failback));
        let (first, action) = expire_timer(&mut watchdog, &mut rng);
        assert_eq!(action, Some(WatchdogAction::Send));
        assert!((TW - 2_000_000..=TW + 2_000_000).contains(&first));
        assert_eq!(expire_timer(&mut watchdog, &mut rng).1, Some(WatchdogAction::Failover));
        assert_eq!(watchdog.state(), WatchdogState::Suspect);
        assert_eq!(expire_timer(&mut watchdog, &mut rng).1, Some(WatchdogAction::Close));
        assert_eq!((watchdog.state(), watchdog.due()), (WatchdogState::Down, None));
    }

    #[test]
    fn any_message_returns_suspect_to_okay() {
        let mut rng = SmallRng::seed_from_u64(2);
        let mut watchdog = Watchdog::new(TW);
        watchdog.connected(0, &mut rng);
        expire_timer(&mut watchdog, &mut rng);
        let (at, _) = expire_timer(&mut watchdog, &mut rng);
        assert_eq!(watchdog.heard(at + 1, &mut rng), Some(WatchdogAction::Failback));
        assert_eq!(watchdog.state(), WatchdogState::Okay);
    }

    #[test]
    fn reopened_connection_is_used_only_after_three_answers() {
        let mut rng = SmallRng::seed_from_u64(3);
        let mut watchdog = Watchdog::new(TW);
        watchdog.connected(0, &mut rng);
        watchdog.disconnected(false);
        assert_eq!(watchdog.connected(1, &mut rng), Some(WatchdogAction::Send));
        assert_eq!(watchdog.heard(2, &mut rng), None);
        assert_eq!(watchdog.answered(3, &mut rng), None);
        assert_eq!(expire_timer(&mut watchdog, &mut rng).1, Some(WatchdogAction::Send));
        assert_eq!(watchdog.answered(TW * 2, &mut rng), None);
        assert_eq!(watchdog.state(), WatchdogState::Reopen);
        assert_eq!(expire_timer(&mut watchdog, &mut rng).1, Some(WatchdogAction::Send));
        assert_eq!(watchdog.answered(TW * 4, &mut rng), Some(WatchdogAction::Failback));
        assert_eq!(watchdog.state(), WatchdogState::Okay);
    }

    #[test]
    fn silent_reopened_connection_is_closed_after_second_interval() {
        let mut rng = SmallRng::seed_from_u64(4);
        let mut watchdog = Watchdog::new(TW);
        watchdog.connected(0, &mut rng);
        watchdog.disconnected(false);
        watchdog.connected(1, &mut rng);
        assert_eq!(expire_timer(&mut watchdog, &mut rng).1, None);
        assert_eq!(expire_timer(&mut watchdog, &mut rng).1, Some(WatchdogAction::Close));
    }

    #[test]
    fn connection_is_used_immediately_after_graceful_disconnect() {
        let mut rng = SmallRng::seed_from_u64(5);
        let mut watchdog = Watchdog::new(TW);
        watchdog.connected(0, &mut rng);
        watchdog.disconnected(true);
        assert_eq!(watchdog.connected(1, &mut rng), Some(WatchdogAction::Failback));
    }
}
