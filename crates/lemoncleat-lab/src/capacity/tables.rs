//! Contents of the page's derived tables.

/// Budget of a node in bytes per second, sent and received together: 4 kB of 1,000 bytes.
pub(super) const BYTES_PER_S: f64 = 4_000.0;
/// Budget of a node in microseconds of processor time per second: 2.6 % of a core.
pub(super) const PROCESSOR_US_PER_S: f64 = 26_000.0;
/// Memory budget of a node in bytes: 128 MB.
pub(super) const MEMORY_BYTES: f64 = 128e6;
/// Budget for the time added to a call's set-up over the whole chain, 99th percentile, in microseconds.
const MAX_ADDED_US: f64 = 2_000.0;
/// Design number of servers, each with an access node.
const NODES: f64 = 1_000.0;
/// Calls per second that enter a node if the 44,000 calls per second all pass 29 hops.
const CALLS_PER_S: f64 = 1_276.0;
/// Maximum number of hops in a chain.
const MAX_HOPS: f64 = 29.0;
/// Design number of services: 1,000 servers, 11 per service.
const SERVICES: f64 = 91.0;

/// Function of the size with which a quantity grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Proportional to the size.
    Linear,
    /// Proportional to the size times its logarithm to base 2.
    LogLinear,
    /// Proportional to the size squared.
    Square,
    /// Constant from the second size on: the quantity saturates or does not grow.
    Flat,
}

impl Shape {
    /// Returns the value of the function at a size.
    pub fn of(self, size: f64) -> f64 {
        match self {
            Shape::Linear => size,
            Shape::LogLinear => size * size.log2(),
            Shape::Square => size * size,
            Shape::Flat => 0.0,
        }
    }

    pub(super) fn name(self) -> &'static str {
        match self {
            Shape::Linear => "size",
            Shape::LogLinear => "size log2 size",
            Shape::Square => "size^2",
            Shape::Flat => "nothing",
        }
    }
}

/// A row of a table, made from one series.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Name of the series in the results file.
    pub series: &'static str,
    /// Description on the page.
    pub what: &'static str,
    /// Unit that the series must have.
    pub unit: &'static str,
    /// Function that is fitted.
    pub shape: Shape,
    /// Design size.
    pub at: f64,
    /// Maximum value at the design size.
    pub budget: Option<f64>,
}

/// A derived table.
#[derive(Clone, Copy, Debug)]
pub struct Table {
    /// Name in the page's markers.
    pub name: &'static str,
    /// Whether the table shows fits that predict the largest size, or the measurements themselves.
    pub fitted: bool,
    /// Rows, at least one.
    pub rows: &'static [Row],
}

const fn row(
    series: &'static str,
    what: &'static str,
    unit: &'static str,
    at: f64,
    budget: Option<f64>,
) -> Row {
    Row { series, what, unit, shape: Shape::Linear, at, budget }
}

const fn shaped(shape: Shape, row: Row) -> Row {
    Row { shape, ..row }
}

/// Resource use of a role, and the code that causes it.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Name of the role.
    pub role: &'static str,
    /// State, messages, processor time or memory.
    pub what: &'static str,
    /// Measurement; `None` if there is none.
    pub row: Option<Row>,
    /// Package and file of the code, or *missing*.
    pub carried: &'static str,
}

const fn role(role: &'static str, what: &'static str, row: Option<Row>, carried: &'static str) -> Role {
    Role { role, what, row, carried }
}

const ACCESS: &str = "access node on the platform";
const DIAMETER: &str = "Diameter node";
const VOTER: &str = "voter";
const CONTROL: &str = "control machine";
const FLEET: &str = "lemoncleat-fleet, `fleet.rs`";
const PARTICIPANT: &str = "lemoncleat-commons, `part.rs`, and lemoncleat-fleet, `fleet.rs`";
const VOTER_SEAT: &str = "lemoncleat-commons, `seat.rs`, and lemoncleat-agreement, `voter.rs`";

/// Rows of the table of roles.
pub(super) const ROLES: &[Role] = &[
    role(ACCESS, "state: servers known", None, "lemoncleat, `state.rs`; a view by service is *missing*"),
    role(ACCESS, "state: configuration of the whole fleet", None, "*missing*"),
    role(
        ACCESS,
        "messages",
        Some(row(
            "members-notes-told-wire-both-p99",
            "notes, as told, p99",
            "bytes/s",
            NODES,
            Some(BYTES_PER_S),
        )),
        FLEET,
    ),
    role(
        ACCESS,
        "processor time",
        Some(row(
            "members-notes-told-processor-mean",
            "members and facts",
            "us/s",
            NODES,
            Some(PROCESSOR_US_PER_S),
        )),
        FLEET,
    ),
    role(
        ACCESS,
        "memory",
        Some(row("members-notes-told-memory", "members and facts", "bytes", NODES, Some(MEMORY_BYTES))),
        FLEET,
    ),
    role(DIAMETER, "state: servers known", None, "lemoncleat, `state.rs`; a view by service is *missing*"),
    role(
        DIAMETER,
        "state: configuration of the whole fleet",
        None,
        "lemoncleat-configuration, `distributor.rs`, and lemoncleat-node, `node/configure.rs`",
    ),
    role(
        DIAMETER,
        "messages",
        Some(row(
            "members-200ms-told-wire-both-p99",
            "words, as told, p99",
            "bytes/s",
            NODES,
            Some(BYTES_PER_S),
        )),
        PARTICIPANT,
    ),
    role(
        DIAMETER,
        "messages",
        Some(shaped(
            Shape::Flat,
            row(
                "agreement-rest-follower-wire-both-mean",
                "pulls of a follower",
                "bytes/s",
                NODES,
                Some(BYTES_PER_S),
            ),
        )),
        "lemoncleat-agreement, `follower.rs`",
    ),
    role(
        DIAMETER,
        "processor time",
        Some(shaped(
            Shape::LogLinear,
            row(
                "members-200ms-told-processor-mean",
                "members and facts",
                "us/s",
                NODES,
                Some(PROCESSOR_US_PER_S),
            ),
        )),
        PARTICIPANT,
    ),
    role(
        DIAMETER,
        "processor time",
        Some(row(
            "call-servers-p99",
            "set-up of one hop with all servers known",
            "us",
            NODES,
            Some(MAX_ADDED_US / MAX_HOPS),
        )),
        "lemoncleat, `decide.rs`, and lemoncleat-node, `node/calls.rs`",
    ),
    role(
        DIAMETER,
        "memory",
        Some(row("members-200ms-told-memory", "members and facts", "bytes", NODES, Some(MEMORY_BYTES))),
        PARTICIPANT,
    ),
    role(
        VOTER,
        "state",
        Some(row("agreement-rest-voter-connections", "connections", "count", NODES, None)),
        VOTER_SEAT,
    ),
    role(
        VOTER,
        "messages",
        Some(row(
            "agreement-rest-voter-wire-both-most",
            "rest, busiest 1 s",
            "bytes/s",
            NODES,
            Some(BYTES_PER_S),
        )),
        VOTER_SEAT,
    ),
    role(
        VOTER,
        "processor time",
        Some(row(
            "agreement-rest-voter-processor-mean",
            "core at rest",
            "us/s",
            NODES,
            Some(PROCESSOR_US_PER_S),
        )),
        VOTER_SEAT,
    ),
    role(VOTER, "memory", None, VOTER_SEAT),
    role(CONTROL, "state, messages, processor time, memory", None, "*missing*: there is no such role yet"),
];

/// All tables derived from the slopes.
pub const TABLES: &[Table] = &[
    Table {
        name: "call",
        fitted: true,
        rows: &[
            row("call-module-p50", "the module, middle", "us", NODES, None),
            row("call-module-p99", "the module, p99", "us", NODES, Some(MAX_ADDED_US / MAX_HOPS)),
            row("call-servers-p50", "set-up in the core, middle", "us", NODES, None),
            row("call-servers-p99", "set-up in the core, p99", "us", NODES, Some(MAX_ADDED_US / MAX_HOPS)),
            row("call-servers-whole", "a whole call in the core, mean", "us", NODES, None),
            row("call-services-p50", "set-up, 11 servers a service, middle", "us", SERVICES, None),
            row(
                "call-services-p99",
                "set-up, 11 servers a service, p99",
                "us",
                SERVICES,
                Some(MAX_ADDED_US / MAX_HOPS),
            ),
            shaped(Shape::Flat, row("call-rate-p50", "set-up, 11 servers, middle", "us", CALLS_PER_S, None)),
            shaped(
                Shape::Flat,
                row(
                    "call-rate-p99",
                    "set-up, 11 servers, p99",
                    "us",
                    CALLS_PER_S,
                    Some(MAX_ADDED_US / MAX_HOPS),
                ),
            ),
            row("call-rate-processor", "calls of a node with 11 servers", "us/s", CALLS_PER_S, None),
            row("call-depth-11-p99", "chain, 11 servers a hop, p99", "us", MAX_HOPS, Some(MAX_ADDED_US)),
            row("call-depth-60-p99", "chain, 60 servers a hop, p99", "us", MAX_HOPS, Some(MAX_ADDED_US)),
            row("call-depth-1000-p99", "chain, 1,000 servers a hop, p99", "us", MAX_HOPS, Some(MAX_ADDED_US)),
        ],
    },
    Table {
        name: "members",
        fitted: true,
        rows: &[
            shaped(
                Shape::Flat,
                row("members-200ms-rest-wire-sent-mean", "rest, sent", "bytes/s", NODES, None),
            ),
            shaped(
                Shape::Flat,
                row("members-200ms-rest-wire-received-mean", "rest, received", "bytes/s", NODES, None),
            ),
            shaped(
                Shape::Flat,
                row(
                    "members-200ms-rest-wire-both-p99",
                    "rest, both, p99 of 1 s",
                    "bytes/s",
                    NODES,
                    Some(BYTES_PER_S),
                ),
            ),
            shaped(
                Shape::Flat,
                row("members-200ms-rest-messages-sent-mean", "rest, words sent", "messages/s", NODES, None),
            ),
            row("members-200ms-rest-processor-mean", "rest", "us/s", NODES, Some(PROCESSOR_US_PER_S)),
            row("members-200ms-told-wire-sent-mean", "as told today, sent", "bytes/s", NODES, None),
            row("members-200ms-told-wire-received-mean", "as told today, received", "bytes/s", NODES, None),
            row(
                "members-200ms-told-wire-both-p99",
                "as told today, both, p99 of 1 s",
                "bytes/s",
                NODES,
                Some(BYTES_PER_S),
            ),
            shaped(
                Shape::Flat,
                row(
                    "members-200ms-told-messages-sent-mean",
                    "as told today, words sent",
                    "messages/s",
                    NODES,
                    None,
                ),
            ),
            shaped(
                Shape::LogLinear,
                row(
                    "members-200ms-told-processor-mean",
                    "as told today",
                    "us/s",
                    NODES,
                    Some(PROCESSOR_US_PER_S),
                ),
            ),
            row("members-200ms-told-memory", "as told today, memory", "bytes", NODES, Some(MEMORY_BYTES)),
        ],
    },
    Table {
        name: "members-1s",
        fitted: true,
        rows: &[
            shaped(
                Shape::Flat,
                row(
                    "members-1s-rest-wire-both-p99",
                    "rest, both, p99 of 1 s",
                    "bytes/s",
                    NODES,
                    Some(BYTES_PER_S),
                ),
            ),
            row("members-1s-rest-processor-mean", "rest", "us/s", NODES, Some(PROCESSOR_US_PER_S)),
            row("members-1s-told-wire-sent-mean", "as told today, sent", "bytes/s", NODES, None),
            row("members-1s-told-wire-received-mean", "as told today, received", "bytes/s", NODES, None),
            row(
                "members-1s-told-wire-both-p99",
                "as told today, both, p99 of 1 s",
                "bytes/s",
                NODES,
                Some(BYTES_PER_S),
            ),
            shaped(
                Shape::Flat,
                row(
                    "members-1s-told-messages-sent-mean",
                    "as told today, words sent",
                    "messages/s",
                    NODES,
                    None,
                ),
            ),
            shaped(
                Shape::LogLinear,
                row(
                    "members-1s-told-processor-mean",
                    "as told today",
                    "us/s",
                    NODES,
                    Some(PROCESSOR_US_PER_S),
                ),
            ),
        ],
    },
    Table {
        name: "members-notes",
        fitted: true,
        rows: &[
            shaped(
                Shape::Flat,
                row(
                    "members-notes-rest-wire-both-p99",
                    "rest, both, p99 of 1 s",
                    "bytes/s",
                    NODES,
                    Some(BYTES_PER_S),
                ),
            ),
            row("members-notes-rest-processor-mean", "rest", "us/s", NODES, Some(PROCESSOR_US_PER_S)),
            row("members-notes-told-wire-sent-mean", "as told today, sent", "bytes/s", NODES, None),
            row("members-notes-told-wire-received-mean", "as told today, received", "bytes/s", NODES, None),
            row(
                "members-notes-told-wire-both-p99",
                "as told today, both, p99 of 1 s",
                "bytes/s",
                NODES,
                Some(BYTES_PER_S),
            ),
            row(
                "members-notes-told-messages-sent-mean",
                "as told today, notes sent",
                "messages/s",
                NODES,
                None,
            ),
            row(
                "members-notes-told-processor-mean",
                "as told today",
                "us/s",
                NODES,
                Some(PROCESSOR_US_PER_S),
            ),
            row("members-notes-told-memory", "as told today, memory", "bytes", NODES, Some(MEMORY_BYTES)),
        ],
    },
    Table {
        name: "known",
        fitted: false,
        rows: &[
            row(
                "members-200ms-start-known",
                "whole start until all are at one, rounds of 200 ms",
                "s",
                0.0,
                None,
            ),
            row("members-1s-start-known", "the same, rounds of 1 s", "s", 0.0, None),
            row("members-200ms-told-fact", "one fact with all, rounds of 200 ms", "s", 0.0, None),
            row("members-1s-told-fact", "the same, rounds of 1 s", "s", 0.0, None),
            row("members-notes-told-fact", "the same over notes; 5: not all had it then", "s", 0.0, None),
            row("members-200ms-rest-connections", "most connections of a node", "count", 0.0, None),
            row("members-200ms-told-suspected", "false suspicions", "count", 0.0, None),
            row("members-200ms-told-gone", "living members held gone", "count", 0.0, None),
        ],
    },
    Table {
        name: "regions",
        fitted: false,
        rows: &[
            row("regions-apart-wire-both-p99", "apart, both, p99 of 1 s", "bytes/s", 0.0, None),
            row("regions-apart-wire-both-most", "apart, busiest node, 1 s", "bytes/s", 0.0, None),
            row("regions-apart-processor-most", "the same", "us/s", 0.0, None),
            row("regions-back-known", "back: at one after", "s", 0.0, None),
            row("regions-back-wire-both-most", "back, busiest node, 1 s", "bytes/s", 0.0, None),
            row("regions-back-processor-most", "the same", "us/s", 0.0, None),
        ],
    },
    Table {
        name: "agreement",
        fitted: true,
        rows: &[
            row("agreement-rest-voter-connections", "connections of a voter", "count", NODES, None),
            row(
                "agreement-rest-voter-messages-received-mean",
                "rest, a voter hears",
                "messages/s",
                NODES,
                None,
            ),
            row("agreement-rest-voter-wire-sent-mean", "rest, a voter sends", "bytes/s", NODES, None),
            row("agreement-rest-voter-wire-received-mean", "rest, a voter receives", "bytes/s", NODES, None),
            row(
                "agreement-rest-voter-wire-both-most",
                "rest, both, busiest 1 s",
                "bytes/s",
                NODES,
                Some(BYTES_PER_S),
            ),
            row(
                "agreement-rest-voter-processor-mean",
                "rest, core of a voter",
                "us/s",
                NODES,
                Some(PROCESSOR_US_PER_S),
            ),
            shaped(
                Shape::Flat,
                row(
                    "agreement-rest-follower-wire-both-mean",
                    "rest, a follower, both",
                    "bytes/s",
                    NODES,
                    Some(BYTES_PER_S),
                ),
            ),
            row(
                "agreement-order-voter-wire-both-most",
                "an order, busiest voter, both",
                "bytes/s",
                NODES,
                Some(BYTES_PER_S),
            ),
            row(
                "agreement-start-voter-wire-sent-most",
                "all start with a state of 256 KiB, busiest voter sends",
                "bytes/s",
                NODES,
                Some(BYTES_PER_S),
            ),
            row(
                "agreement-start-voter-processor-most",
                "the same, core of the busiest voter",
                "us/s",
                NODES,
                Some(PROCESSOR_US_PER_S),
            ),
        ],
    },
    Table {
        name: "agreement-known",
        fitted: false,
        rows: &[
            row("agreement-order-known", "an order with all followers", "s", 0.0, None),
            row("agreement-start-restored", "followers with the snapshot after 6 s", "count", 0.0, None),
        ],
    },
    Table {
        name: "events",
        fitted: false,
        rows: &[
            row("events-start-known", "all start together: at one after", "s", 0.0, None),
            row("events-start-wire-both-most", "its busiest node, 1 s", "bytes/s", 0.0, None),
            row("events-start-processor-most", "the same", "us/s", 0.0, None),
            row("events-machine-gone-known", "one machine gone: at one after", "s", 0.0, None),
            row("events-machine-gone-wire-both-most", "its busiest node, 1 s", "bytes/s", 0.0, None),
            row("events-machine-back-known", "one machine back: at one after", "s", 0.0, None),
            row("events-machine-back-wire-both-most", "its busiest node, 1 s", "bytes/s", 0.0, None),
            row("events-rack-gone-known", "a rack, 1 in 25, gone: at one after", "s", 0.0, None),
            row("events-rack-gone-wire-both-most", "its busiest node, 1 s", "bytes/s", 0.0, None),
            row("events-rack-back-known", "a rack back: at one after", "s", 0.0, None),
            row("events-rack-back-wire-both-most", "its busiest node, 1 s", "bytes/s", 0.0, None),
            row("events-zone-gone-known", "a zone, 1 in 8, gone: at one after", "s", 0.0, None),
            row("events-zone-gone-wire-both-most", "its busiest node, 1 s", "bytes/s", 0.0, None),
            row("events-zone-gone-processor-most", "the same", "us/s", 0.0, None),
            row("events-zone-back-known", "a zone back: at one after", "s", 0.0, None),
            row("events-zone-back-wire-both-most", "its busiest node, 1 s", "bytes/s", 0.0, None),
            row("events-zone-back-processor-most", "the same", "us/s", 0.0, None),
            row("events-zone-suspected", "living members suspected, by all nodes", "count", 0.0, None),
            row("events-zone-held-gone", "living members held gone, by all nodes", "count", 0.0, None),
        ],
    },
];
