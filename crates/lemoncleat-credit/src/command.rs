//! Orders of the agreed log, and what the ledger tells the nodes.

use serde::{Deserialize, Serialize};

use crate::{Customer, Micros, Node, Units};

/// Most orders in one entry of the log.
pub const MOST_COMMANDS: usize = 4096;
/// Most bytes of one entry.
pub const MOST_ENTRY: usize = 256 * 1024;
/// Most calls that a settlement names; what others spent is one sum.
pub const MOST_CHARGES: usize = 256;

/// A wish for money of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Whose money.
    pub customer: Customer,
    /// What the node would spend in a few round trips.
    pub units: Units,
    /// Less than this is of no use: one call's set-up and first seconds.
    pub least: Units,
}

/// What a call was charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The call.
    pub call: u64,
    /// What it spent of the grant.
    pub units: Units,
}

/// An order to the ledger. Each does its work once, however often it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A customer is added, or the funds from which on they count as short are set anew.
    Open {
        /// Who.
        customer: Customer,
        /// Free units below which money is short.
        low: Units,
    },
    /// A customer is removed: no new grants; the account goes with its last grant.
    Close {
        /// Who.
        customer: Customer,
    },
    /// Money comes in.
    TopUp {
        /// The operator's order; each counts once. Numbers rise: far older ones than were seen are passed over.
        order: u64,
        /// For whom.
        customer: Customer,
        /// How much.
        units: Units,
    },
    /// A node asks for grants.
    Ask {
        /// Who asks.
        node: Node,
        /// Its start.
        incarnation: u64,
        /// Its asks are numbered upwards; each is heard once.
        ask: u64,
        /// For what, one grant each.
        wants: Vec<Want>,
    },
    /// A grant is over for its node, which spent this of it.
    Settle {
        /// Which.
        grant: u64,
        /// Whose.
        node: Node,
        /// The start that settles. Another than the one which asked is heard only after the grant ran out.
        incarnation: u64,
        /// What was spent in all.
        spent: Units,
        /// For which calls; what is missing to `spent` went to calls beyond the limit.
        charges: Vec<Charge>,
    },
    /// A part of a grant that the node will not spend.
    GiveBack {
        /// Which grant.
        grant: u64,
        /// The start that gives back.
        incarnation: u64,
        /// The grant's returns are numbered from 1.
        part: u32,
        /// All that was given back so far, this part with it.
        total: Units,
    },
    /// Time has passed, as the leader measured since it applied the tick before.
    Tick {
        /// The number of that tick.
        after: u64,
        /// How long.
        by: Micros,
    },
    /// The operator ends a grant that ran out unsettled.
    WriteOff {
        /// Which.
        grant: u64,
        /// What its node is known to have spent of it.
        spent: Units,
    },
    /// What a node spent beyond its grants while the ledger was away, as settings allow.
    Overdrawn {
        /// Who.
        node: Node,
        /// Its start.
        incarnation: u64,
        /// Its overdrafts are numbered upwards.
        number: u64,
        /// Whose money.
        customer: Customer,
        /// How much.
        spent: Units,
        /// For which calls.
        charges: Vec<Charge>,
    },
}

/// What an order led to. Nodes read all of them from their copy of the log, and heed what concerns them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// A grant was given.
    Granted {
        /// To whom.
        node: Node,
        /// The start that asked.
        incarnation: u64,
        /// Its ask.
        ask: u64,
        /// The grant's number, never given again.
        grant: u64,
        /// Whose money.
        customer: Customer,
        /// How much.
        units: Units,
    },
    /// Nothing could be given.
    Denied {
        /// To whom.
        node: Node,
        /// The start that asked.
        incarnation: u64,
        /// Its ask.
        ask: u64,
        /// Whose money is lacking.
        customer: Customer,
    },
    /// A grant is settled or written off, now or before.
    Settled {
        /// Which.
        grant: u64,
    },
    /// A part of a grant came back, now or before.
    Returned {
        /// Which grant.
        grant: u64,
        /// Its last part that is known.
        part: u32,
    },
    /// An overdraft is on the books, now or before.
    Booked {
        /// Whose.
        node: Node,
        /// The start that overdrew.
        incarnation: u64,
        /// Its number.
        number: u64,
    },
    /// A top-up is on the books, now or before; or its customer is unknown.
    ToppedUp {
        /// The order.
        order: u64,
        /// Whether it counts.
        good: bool,
    },
    /// How much a customer has left.
    Funds {
        /// Who.
        customer: Customer,
        /// Sixteenths of the funds that count as short: 16 from there on, 0 for next to nothing.
        level: u8,
        /// The least wish that could not be met; 0 if none is known.
        dry: Units,
    },
    /// Money is short: nodes give back what they don't need.
    CallBack {
        /// A number that rises.
        number: u64,
        /// Whose money.
        customer: Customer,
    },
    /// A grant ran out unsettled. It stays charged whole until it is settled or written off.
    Lapsed {
        /// Which.
        grant: u64,
        /// Whose.
        node: Node,
    },
    /// A customer is removed.
    Closed {
        /// Who.
        customer: Customer,
    },
}

/// The bytes of an entry. None if it is beyond the limits.
pub fn write(commands: &[Command]) -> Option<Vec<u8>> {
    if commands.len() > MOST_COMMANDS {
        return None;
    }
    postcard::to_stdvec(commands).ok().filter(|bytes| bytes.len() <= MOST_ENTRY)
}

/// The orders of an entry. None if it can't be read or is beyond the limits.
pub fn read(bytes: &[u8]) -> Option<Vec<Command>> {
    if bytes.len() > MOST_ENTRY {
        return None;
    }
    postcard::from_bytes::<Vec<Command>>(bytes).ok().filter(|commands| commands.len() <= MOST_COMMANDS)
}
