//! Settings of the zone core.

use std::collections::BTreeMap;

use crate::{Micros, ZoneId};

const SECOND_US: Micros = 1_000_000;

/// Faults that a test can plant and that its checks must detect.
#[cfg(feature = "faults")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plant {
    /// No fault.
    #[default]
    Nothing,
    /// A step needs no quorum of evidence.
    NoQuorum,
    /// Evidence from the nodes of a single zone suffices.
    OneZone,
    /// Spare capacity at the other servers is ignored.
    NoRoom,
    /// Evidence from before a step is used after it.
    OldEvidence,
    /// A return proceeds as fast as the evidence allows, regardless of what a cold server can take.
    NoCold,
    /// Each node makes all the trial calls.
    AllTry,
    /// An outdated step is applied.
    LateStep,
}

/// How a node evaluates zones. The same at all nodes except for `me`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The id of this node.
    pub me: u32,
    /// All nodes of the fleet, each with the zone it runs in.
    pub members: BTreeMap<u32, ZoneId>,
    /// Number of zones of servers; with fewer than two the core does nothing.
    pub zones: u16,
    /// Whether steps go through a replicated log. Without a log the highest step received is in force, and of
    /// two steps with the same number the one with the lower origin.
    pub log: bool,
    /// Time covered by the evidence of a zone in its normal state. Below one second it would contain too few
    /// calls.
    pub window: Micros,
    /// Interval at which a node evaluates the zones, and publishes while it observes failures.
    pub check_interval: Micros,
    /// Interval at which a node that observes no failures publishes.
    pub quiet_interval: Micros,
    /// Facts older than this are discarded. Two quiet intervals plus the time that spreading takes.
    pub fact_lifetime: Micros,
    /// The gain of leaving must be clear for this long, which is longer than a short network disturbance.
    pub clear: Micros,
    /// The same if set-ups only wait longer. Longer than the server lists take to report that a server is
    /// gone, whose load the other servers of its zone take meanwhile.
    pub clear_slow: Micros,
    /// After a step no further zone is left for this long unless it is dead: the load that was moved makes
    /// the other zones look bad.
    pub leave_interval: Micros,
    /// Minimum number of settled set-ups in the sum for any conclusion about a zone.
    pub min_settled: u32,
    /// Minimum gain of leaving per call, as a share of the call's worth.
    pub margin: f64,
    /// Share of their capacity up to which other servers are filled with moved calls.
    pub max_fill: f64,
    /// A set-up that waits this long is worth nothing; up to then the worth falls linearly.
    pub max_useful_wait: Micros,
    /// Time from leaving a zone to the first trials; doubled with each relapse, up to 64 times.
    pub rest_span: Micros,
    /// Trial set-ups of the whole fleet per trial step.
    pub trials: u32,
    /// Time after which a trial is abandoned as inconclusive; longer than the time-out of a set-up.
    pub trial_span: Micros,
    /// Time between two steps of a return; doubled with each relapse, up to four times.
    pub return_interval: Micros,
    /// Time for which a zone's relapses are remembered after a return; doubled with each relapse.
    pub relapse_memory: Micros,
    /// Share of its warm capacity that a server can take just after its start; the same as in the decision
    /// module.
    pub cold_from: f64,
    /// Time from a server's start until it is warm.
    pub cold_span: Micros,
    /// Share of the capacity of cold servers that a return uses. Far below the load that overloads them.
    pub cold_use: f64,
    /// The fault planted by a test.
    #[cfg(feature = "faults")]
    pub plant: Plant,
}

impl Settings {
    /// Returns the default settings for a node of a fleet.
    pub fn new(me: u32, members: BTreeMap<u32, ZoneId>, zones: u16) -> Settings {
        Settings {
            me,
            members,
            zones,
            log: true,
            window: SECOND_US,
            check_interval: SECOND_US / 4,
            quiet_interval: SECOND_US,
            fact_lifetime: 3 * SECOND_US,
            clear: 4 * SECOND_US / 10,
            clear_slow: 3 * SECOND_US,
            leave_interval: 5 * SECOND_US,
            min_settled: 12,
            margin: 0.1,
            max_fill: 0.85,
            max_useful_wait: 2 * SECOND_US,
            rest_span: SECOND_US,
            trials: 10,
            trial_span: 3 * SECOND_US,
            return_interval: SECOND_US,
            relapse_memory: 30 * SECOND_US,
            cold_from: 0.3,
            cold_span: 15 * SECOND_US,
            cold_use: 0.9,
            #[cfg(feature = "faults")]
            plant: Plant::Nothing,
        }
    }

    /// Returns the number of members that form a quorum: more than half.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    #[cfg(feature = "faults")]
    pub(crate) fn planted(&self, plant: Plant) -> bool {
        self.plant == plant
    }
}

/// Whether a test planted this fault; always false without the feature.
macro_rules! planted {
    ($settings:expr, $plant:ident) => {{
        #[cfg(feature = "faults")]
        let planted = $settings.planted($crate::Plant::$plant);
        #[cfg(not(feature = "faults"))]
        let planted = false;
        planted
    }};
}
pub(crate) use planted;
