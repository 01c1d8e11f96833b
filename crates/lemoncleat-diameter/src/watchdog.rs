//! The watchdog of RFC 3539 section 3.4.1, as RFC 6733 section 5.5 has it.

use rand::rngs::SmallRng;
use rand::Rng;

use crate::Micros;

/// The shortest Tw that RFC 3539 allows.
pub const WATCHDOG_FLOOR: Micros = 6_000_000;
/// Answers that a reopened connection must give before it is trusted again.
const ANSWERS_TO_TRUST: i32 = 3;

/// How far the peer is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchdogState {
    /// Never connected yet.
    Initial,
    /// It answers.
    Okay,
    /// One watchdog went unanswered for a whole Tw: nothing new is sent.
    Suspect,
    /// No connection.
    Down,
    /// Connected again after a failure, and not trusted yet.
    Reopen,
}

/// What the watchdog asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchdogAction {
    /// Send a Device-Watchdog-Request.
    Send,
    /// Stop using the connection for requests and tell of those that are out.
    Failover,
    /// Use it again.
    Failback,
    /// Close it.
    Close,
}

/// The watchdog of one peer.
#[derive(Debug)]
pub struct Watchdog {
    tw: Micros,
    jitter: Micros,
    state: WatchdogState,
    pending: bool,
    answers: i32,
    due: Option<Micros>,
}

impl Watchdog {
    /// A watchdog with this Tw; each wait is Tw give or take a jitter of 2 s, or of a third of Tw if that
    /// is less.
    pub fn new(tw: Micros) -> Self {
        let jitter = (tw / 3).min(2_000_000);
        Watchdog { tw, jitter, state: WatchdogState::Initial, pending: false, answers: 0, due: None }
    }

    /// Its state.
    pub fn state(&self) -> WatchdogState {
        self.state
    }

    /// When [`Watchdog::timeout`] is due; `None` without a connection.
    pub fn due(&self) -> Option<Micros> {
        self.due
    }

    fn set(&mut self, now: Micros, rng: &mut SmallRng) {
        self.due = Some(now + self.tw + rng.random_range(-self.jitter..=self.jitter));
    }

    /// The connection is open.
    pub fn connected(&mut self, now: Micros, rng: &mut SmallRng) -> Option<WatchdogAction> {
        self.set(now, rng);
        if self.state == WatchdogState::Initial {
            self.state = WatchdogState::Okay;
            self.pending = false;
            return Some(WatchdogAction::Failback);
        }
        self.state = WatchdogState::Reopen;
        self.answers = 0;
        self.pending = true;
        Some(WatchdogAction::Send)
    }

    /// The connection is gone. One that was ended in order (DPR) is no failure: the next is trusted at once.
    pub fn disconnected(&mut self, in_order: bool) {
        self.due = None;
        self.pending = false;
        self.state = match (self.state, in_order) {
            (_, true) | (WatchdogState::Initial, _) => WatchdogState::Initial,
            _ => WatchdogState::Down,
        };
    }

    /// A Device-Watchdog-Answer came.
    pub fn answered(&mut self, now: Micros, rng: &mut SmallRng) -> Option<WatchdogAction> {
        self.pending = false;
        match self.state {
            WatchdogState::Reopen => {
                self.answers = self.answers.max(0) + 1;
                if self.answers < ANSWERS_TO_TRUST {
                    return None;
                }
                self.state = WatchdogState::Okay;
                self.set(now, rng);
                Some(WatchdogAction::Failback)
            }
            _ => self.heard(now, rng),
        }
    }

    /// Anything else came. On a reopened connection it proves nothing.
    pub fn heard(&mut self, now: Micros, rng: &mut SmallRng) -> Option<WatchdogAction> {
        match self.state {
            WatchdogState::Okay => {
                self.set(now, rng);
                None
            }
            WatchdogState::Suspect => {
                self.state = WatchdogState::Okay;
                self.set(now, rng);
                Some(WatchdogAction::Failback)
            }
            _ => None,
        }
    }

    /// This end got no turn for so long: the peer's silence meanwhile is not told from its own.
    pub fn away(&mut self, time: Micros) {
        self.due = self.due.map(|due| due + time);
    }

    /// The time at [`Watchdog::due`] has come.
    pub fn timeout(&mut self, now: Micros, rng: &mut SmallRng) -> Option<WatchdogAction> {
        if self.due.is_none_or(|due| due > now) {
            return None;
        }
        match (self.state, self.pending) {
            (WatchdogState::Okay | WatchdogState::Reopen, false) => {
                self.pending = true;
                self.set(now, rng);
                Some(WatchdogAction::Send)
            }
            (WatchdogState::Okay, true) => {
                self.state = WatchdogState::Suspect;
                self.set(now, rng);
                Some(WatchdogAction::Failover)
            }
            (WatchdogState::Reopen, true) if self.answers >= 0 => {
                self.answers = -1;
                self.set(now, rng);
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

    fn pass(dog: &mut Watchdog, rng: &mut SmallRng) -> (Micros, Option<WatchdogAction>) {
        let due = dog.due().expect("a timer runs");
        assert_eq!(dog.timeout(due - 1, rng), None, "not before it is due");
        (due, dog.timeout(due, rng))
    }

    #[test]
    fn silence_is_suspect_after_one_more_tw_and_down_after_another() {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut dog = Watchdog::new(TW);
        assert_eq!(dog.connected(0, &mut rng), Some(WatchdogAction::Failback));
        let (first, action) = pass(&mut dog, &mut rng);
        assert_eq!(action, Some(WatchdogAction::Send));
        assert!((TW - 2_000_000..=TW + 2_000_000).contains(&first));
        assert_eq!(pass(&mut dog, &mut rng).1, Some(WatchdogAction::Failover));
        assert_eq!(dog.state(), WatchdogState::Suspect);
        assert_eq!(pass(&mut dog, &mut rng).1, Some(WatchdogAction::Close));
        assert_eq!((dog.state(), dog.due()), (WatchdogState::Down, None));
    }

    #[test]
    fn any_message_clears_suspicion() {
        let mut rng = SmallRng::seed_from_u64(2);
        let mut dog = Watchdog::new(TW);
        dog.connected(0, &mut rng);
        pass(&mut dog, &mut rng);
        let (at, _) = pass(&mut dog, &mut rng);
        assert_eq!(dog.heard(at + 1, &mut rng), Some(WatchdogAction::Failback));
        assert_eq!(dog.state(), WatchdogState::Okay);
    }

    #[test]
    fn a_reopened_connection_is_trusted_after_three_answers_and_not_for_other_messages() {
        let mut rng = SmallRng::seed_from_u64(3);
        let mut dog = Watchdog::new(TW);
        dog.connected(0, &mut rng);
        dog.disconnected(false);
        assert_eq!(dog.connected(1, &mut rng), Some(WatchdogAction::Send));
        assert_eq!(dog.heard(2, &mut rng), None);
        assert_eq!(dog.answered(3, &mut rng), None);
        assert_eq!(pass(&mut dog, &mut rng).1, Some(WatchdogAction::Send));
        assert_eq!(dog.answered(TW * 2, &mut rng), None);
        assert_eq!(dog.state(), WatchdogState::Reopen);
        assert_eq!(pass(&mut dog, &mut rng).1, Some(WatchdogAction::Send));
        assert_eq!(dog.answered(TW * 4, &mut rng), Some(WatchdogAction::Failback));
        assert_eq!(dog.state(), WatchdogState::Okay);
    }

    #[test]
    fn a_reopened_connection_that_stays_silent_gets_one_more_tw_and_is_closed() {
        let mut rng = SmallRng::seed_from_u64(4);
        let mut dog = Watchdog::new(TW);
        dog.connected(0, &mut rng);
        dog.disconnected(false);
        dog.connected(1, &mut rng);
        assert_eq!(pass(&mut dog, &mut rng).1, None);
        assert_eq!(pass(&mut dog, &mut rng).1, Some(WatchdogAction::Close));
    }

    #[test]
    fn a_connection_ended_in_order_is_trusted_at_once_the_next_time() {
        let mut rng = SmallRng::seed_from_u64(5);
        let mut dog = Watchdog::new(TW);
        dog.connected(0, &mut rng);
        dog.disconnected(true);
        assert_eq!(dog.connected(1, &mut rng), Some(WatchdogAction::Failback));
    }
}
