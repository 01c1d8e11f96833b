//! The deadline of a caller and the times derived from it.

use crate::wheel::TICK_US;
use crate::Micros;

/// The time at which a caller gives up, and the earlier limits that the node observes so that its answer
/// arrives before it: the module answers by [`Deadline::answer_by`], the node itself fails the call at
/// [`Deadline::fail_at`], and no answer is sent after [`Deadline::door`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline {
    at: Micros,
    margin: Micros,
}

impl Deadline {
    /// Creates the deadline of a request that arrived at `arrived` and whose caller waits for `patience`. The
    /// margin is limited to half of `patience`.
    pub fn new(arrived: Micros, patience: Micros, margin: Micros) -> Self {
        Deadline { at: arrived + patience, margin: margin.min(patience / 2) }
    }

    /// Returns the time by which the module has to answer: the full margin before the deadline.
    pub fn answer_by(self) -> Micros {
        self.at - self.margin
    }

    /// Returns the time at which a call without an answer is failed: half the margin before the deadline, and
    /// at least one tick before [`Deadline::door`], so that the answer can still be sent if the timer is a
    /// tick late.
    pub fn fail_at(self) -> Micros {
        (self.at - self.margin / 2).min(self.door() - TICK_US)
    }

    /// Returns the time after which no answer is sent: a quarter of the margin before the deadline, which
    /// leaves time for transmission to the caller.
    pub fn door(self) -> Micros {
        self.at - self.margin / 4
    }
}
