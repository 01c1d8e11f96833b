//! A caller's deadline.

use crate::wheel::TICK;
use crate::Micros;

/// When a caller gives up, and the moments before it that the node keeps so that its answer arrives in time:
/// the module answers by [`Deadline::answer_by`], the node's last guard acts at [`Deadline::last_moment`], and
/// after [`Deadline::door`] no answer leaves any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline {
    at: Micros,
    margin: Micros,
}

impl Deadline {
    /// The deadline of a request that arrived at a moment and whose caller waits for `patience`. A margin of more
    /// than half of that is cut.
    pub fn new(arrived: Micros, patience: Micros, margin: Micros) -> Self {
        Deadline { at: arrived + patience, margin: margin.min(patience / 2) }
    }

    /// By when the module is to have answered: the whole margin before the deadline.
    pub fn answer_by(self) -> Micros {
        self.at - self.margin
    }

    /// When a call without an answer is failed: half the margin before the deadline, and early enough that a timer
    /// that is a tick late still finds the door open.
    pub fn last_moment(self) -> Micros {
        (self.at - self.margin / 2).min(self.door() - TICK)
    }

    /// After this no answer leaves: a quarter of the margin before the deadline, for its way to the caller.
    pub fn door(self) -> Micros {
        self.at - self.margin / 4
    }
}
