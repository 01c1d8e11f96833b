//! Messages between the two ends of a trunk group.

use crate::{CallRef, CircuitId};

/// Matches a reply to its request. A retransmitted request keeps its token.
pub type Token = u32;

/// A range of consecutive circuits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Range {
    /// The first circuit.
    pub first: CircuitId,
    /// The number of circuits.
    pub count: u32,
}

impl Range {
    /// Returns the range of a single circuit.
    pub fn one(circuit: CircuitId) -> Range {
        Range { first: circuit, count: 1 }
    }

    /// Returns the circuits of the range that exist in a group of `size` circuits.
    pub fn within(self, size: u32) -> std::ops::Range<CircuitId> {
        self.first.min(size)..self.first.saturating_add(self.count).min(size)
    }
}

/// A request to the other end. The corresponding ISUP messages are given in parentheses.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    /// Seize a circuit for a call (IAM).
    Seize {
        /// The circuit to seize.
        circuit: CircuitId,
        /// The sender's reference of the call.
        call: CallRef,
    },
    /// Release a call, from either end (REL).
    Release {
        /// The circuit to release.
        circuit: CircuitId,
        /// The call, by the reference of the end that set it up. A release of another call has no effect.
        call: CallRef,
        /// Whether the sender seized the circuit for the call; otherwise the receiver did.
        outgoing: bool,
    },
    /// Return circuits to idle and clear any calls on them (RSC, GRS).
    Reset(Range),
    /// Forbid the other end to seize circuits (BLO, CGB).
    Block {
        /// The circuits to block.
        range: Range,
        /// Whether the block is for a hardware failure, which also clears calls on the circuits. A block for
        /// maintenance lets them continue.
        hardware: bool,
    },
    /// Lift a block (UBL, CGU).
    Unblock {
        /// The circuits to unblock.
        range: Range,
        /// Whether the block for a hardware failure is lifted; otherwise the one for maintenance.
        hardware: bool,
    },
    /// Query the states of circuits (CQM).
    Query(Range),
}

/// The reason why a seizure is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Both ends seized the circuit, and the refusing end controls it.
    Glare,
    /// The circuit is blocked at the refusing end.
    Blocked,
    /// The circuit does not exist at the refusing end (UCIC).
    Unequipped,
    /// The circuit is in use at the refusing end, so the states of the two ends differ.
    Busy,
    /// The circuit is being reset.
    Resetting,
    /// The call itself is refused, for a reason other than the circuit.
    Call,
}

/// The blocks set on a circuit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Blocks {
    /// Blocked for maintenance.
    pub maintenance: bool,
    /// Blocked for a hardware failure.
    pub hardware: bool,
}

impl Blocks {
    /// Returns whether any block is set.
    pub fn any(self) -> bool {
        self.maintenance || self.hardware
    }

    pub(crate) fn set(&mut self, hardware: bool, on: bool) {
        if hardware {
            self.hardware = on;
        } else {
            self.maintenance = on;
        }
    }
}

/// A circuit's state as reported in reply to a query (the circuit state indicator of Q.763).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReportedState {
    /// Idle.
    Idle,
    /// Busy with a call that the reporting end set up.
    Outgoing,
    /// Busy with a call that the querying end set up.
    Incoming,
    /// Changing state; does not count as a difference.
    Transient,
    /// The circuit does not exist at the reporting end.
    Unequipped,
}

/// A reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The seizure is accepted and the call is established (ACM and ANM).
    Accepted,
    /// The seizure is refused and no longer holds the circuit.
    Refused(Refusal),
    /// The release, reset, block or unblock is complete (RLC, GRA, BLA, UBA).
    Done,
    /// The states of the queried circuits (CQR), with the blocks set at the reporting end.
    States(Vec<(ReportedState, Blocks)>),
}
