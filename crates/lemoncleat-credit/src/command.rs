//! The commands of the replicated log, and the effects that the ledger reports to the nodes.

use serde::{Deserialize, Serialize};

use crate::{Customer, Micros, Node, Units};

/// Maximum number of commands in one entry of the log.
pub const MAX_ENTRY_COMMANDS: usize = 4096;
/// Maximum size of one entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = 256 * 1024;
/// Maximum number of calls listed in a settlement; the units spent by further calls are included only in its
/// total.
pub const MAX_CHARGES: usize = 256;

/// A demand for units of one customer's balance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The customer whose balance is used.
    pub customer: Customer,
    /// The units that the node expects to spend within a few round trips.
    pub units: Units,
    /// The minimum useful amount: the set-up and first seconds of one call.
    pub min_units: Units,
}

/// The units charged to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The call.
    pub call: u64,
    /// The units that it spent from the grant.
    pub units: Units,
}

/// A command to the ledger. Each takes effect once, however often it occurs in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Adds a customer, or changes the threshold below which its funds count as low.
    OpenAccount {
        /// The customer.
        customer: Customer,
        /// Free units below which funds count as low.
        low_threshold: Units,
    },
    /// Removes a customer: no new grants are given, and the account is deleted with its last grant.
    CloseAccount {
        /// The customer.
        customer: Customer,
    },
    /// Adds funds.
    TopUp {
        /// The number of the operator's order; each counts once. Numbers increase: an order far older than
        /// the remembered ones is ignored.
        order: u64,
        /// The customer.
        customer: Customer,
        /// The number of units.
        units: Units,
    },
    /// Requests grants for a node.
    RequestGrants {
        /// The requesting node.
        node: Node,
        /// The node's incarnation.
        incarnation: u64,
        /// The number of the request. Numbers increase, and each is processed once.
        request: u64,
        /// The demands; each gets one grant.
        demands: Vec<Demand>,
    },
    /// Settles a grant: its node will spend no more of it and has spent this amount.
    Settle {
        /// The grant.
        grant: u64,
        /// The node concerned.
        node: Node,
        /// The settling incarnation. If it is not the one that requested the grant, the command is accepted
        /// only after the grant has expired.
        incarnation: u64,
        /// The total units spent.
        spent: Units,
        /// The calls charged; the rest of `spent` belongs to calls beyond the limit.
        charges: Vec<Charge>,
    },
    /// Returns part of a grant that the node will not spend.
    ReturnUnits {
        /// The grant.
        grant: u64,
        /// The returning incarnation.
        incarnation: u64,
        /// The number of the return; the returns of a grant are numbered from 1.
        part: u32,
        /// The total units returned so far, including this return.
        total: Units,
    },
    /// Advances the ledger's time by what the leader measured since it applied the previous tick.
    Tick {
        /// The number of that tick.
        after: u64,
        /// The elapsed time.
        by: Micros,
    },
    /// Writes off a grant that expired without settlement, on the operator's order.
    WriteOff {
        /// The grant.
        grant: u64,
        /// The units that its node is known to have spent of it.
        spent: Units,
    },
    /// Records what a node spent beyond its grants while the ledger was unreachable, as far as settings
    /// allow.
    RecordOverdraft {
        /// The node.
        node: Node,
        /// The node's incarnation.
        incarnation: u64,
        /// The number of the overdraft. Numbers increase.
        number: u64,
        /// The customer whose balance is used.
        customer: Customer,
        /// The number of units.
        spent: Units,
        /// The calls charged.
        charges: Vec<Charge>,
    },
}

/// The effect of a command. Nodes read all effects from their copy of the log and process those that concern
/// them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// A grant was given.
    Granted {
        /// The node concerned.
        node: Node,
        /// The incarnation that made the request.
        incarnation: u64,
        /// The number of its request.
        request: u64,
        /// The grant's number, which is never reused.
        grant: u64,
        /// The customer whose balance is used.
        customer: Customer,
        /// The number of units.
        units: Units,
    },
    /// No grant could be given.
    Denied {
        /// The node concerned.
        node: Node,
        /// The incarnation that made the request.
        incarnation: u64,
        /// The number of its request.
        request: u64,
        /// The customer whose funds are insufficient.
        customer: Customer,
    },
    /// A grant was settled or written off, by this command or before.
    Settled {
        /// The grant.
        grant: u64,
    },
    /// Part of a grant was returned, by this command or before.
    Returned {
        /// The grant.
        grant: u64,
        /// The number of the last known return.
        part: u32,
    },
    /// An overdraft was recorded, by this command or before.
    OverdraftRecorded {
        /// The node concerned.
        node: Node,
        /// The incarnation that overdrew.
        incarnation: u64,
        /// The number of the overdraft.
        number: u64,
    },
    /// A top-up was processed, by this command or before.
    ToppedUp {
        /// The number of the operator's order.
        order: u64,
        /// Whether it was booked; false if the customer is unknown or removed.
        booked: bool,
    },
    /// The remaining funds of a customer.
    Funds {
        /// The customer.
        customer: Customer,
        /// The free units in sixteenths of the low-funds threshold: 16 at or above the threshold, 0 for
        /// almost none.
        level: u8,
        /// The smallest demand that could not be met; 0 if there is none.
        min_unmet: Units,
    },
    /// Funds are low: nodes return units that they do not need.
    Recall {
        /// An increasing number.
        number: u64,
        /// The customer whose balance is used.
        customer: Customer,
    },
    /// A grant expired without settlement. It stays charged in full until it is settled or written off.
    Expired {
        /// The grant.
        grant: u64,
        /// The node concerned.
        node: Node,
    },
    /// A customer is removed.
    AccountClosed {
        /// The customer.
        customer: Customer,
    },
}

/// Encodes an entry. `None` if it exceeds the limits.
pub fn encode(commands: &[Command]) -> Option<Vec<u8>> {
    if commands.len() > MAX_ENTRY_COMMANDS {
        return None;
    }
    postcard::to_stdvec(commands).ok().filter(|bytes| bytes.len() <= MAX_ENTRY_BYTES)
}

/// Decodes the commands of an entry. `None` if it is malformed or exceeds the limits.
pub fn decode(bytes: &[u8]) -> Option<Vec<Command>> {
    if bytes.len() > MAX_ENTRY_BYTES {
        return None;
    }
    postcard::from_bytes::<Vec<Command>>(bytes).ok().filter(|commands| commands.len() <= MAX_ENTRY_COMMANDS)
}
