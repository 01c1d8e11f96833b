//! What the operator, or a test, determines.

use std::collections::BTreeMap;

use crate::{Micros, ZoneId};

const SECOND: Micros = 1_000_000;

/// Faults that a test plants, which the checks must find.
#[cfg(feature = "faults")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plant {
    /// None.
    #[default]
    Nothing,
    /// A step needs no quorum of evidence.
    NoQuorum,
    /// The evidence of nodes of one zone is enough.
    OneZone,
    /// Room at the other servers is not looked at.
    NoRoom,
    /// Evidence from before a step counts for what follows it.
    OldEvidence,
    /// A return is as fast as evidence allows, whatever a cold server bears.
    NoCold,
    /// Each node makes all the trials.
    AllTry,
    /// A step that came late takes effect.
    LateStep,
}

/// How a node judges zones. The same at all nodes but for `me`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node.
    pub me: u32,
    /// All nodes of the fleet, each with the zone it runs in.
    pub members: BTreeMap<u32, ZoneId>,
    /// Number of zones of servers; with less than two nothing ever happens.
    pub zones: u16,
    /// Whether steps go through an agreed log. Where there is none, the highest step heard holds, and of two with
    /// one number that of the lower origin.
    pub log: bool,
    /// Evidence of a zone as usual covers this long. A second: shorter, and few calls are in it.
    pub window: Micros,
    /// A node in trouble publishes, and looks, this often.
    pub tick: Micros,
    /// A node without trouble publishes this often.
    pub quiet: Micros,
    /// A fact older than this is not there. Two quiet spans and what spreading takes.
    pub life: Micros,
    /// The gain of leaving must be clear for this long: longer than a hiccup of the network.
    pub clear: Micros,
    /// The same where set-ups only wait longer: longer than the lists take to tell that a server is gone, whose load
    /// the others of its zone bear meanwhile.
    pub clear_slow: Micros,
    /// After a step no further zone is left for this long unless it is dead: the load moved makes the rest look bad.
    pub after: Micros,
    /// Settled set-ups in the sum below which nothing is said of a zone.
    pub enough: u32,
    /// What leaving must gain a call, as a share of its worth.
    pub margin: f64,
    /// Share of capacity up to which other servers are filled by calls that leave.
    pub fill: f64,
    /// A set-up that waits this long is worth nothing; in between the worth falls in a line.
    pub hurry: Micros,
    /// From leaving to the first trials; doubled with each relapse, up to 64 times.
    pub rest: Micros,
    /// Set-ups tried at a time by the whole fleet.
    pub trials: u32,
    /// A trial is given up as inconclusive after this long; longer than a set-up's time-out.
    pub trial_span: Micros,
    /// Between two steps of a return; doubled with each relapse, up to four times.
    pub pace: Micros,
    /// After a return the zone's relapses are remembered for this long, doubled with each.
    pub memory: Micros,
    /// Share of its warm capacity that a server takes just after its start, as the module has it.
    pub cold_from: f64,
    /// Until it is warm.
    pub cold_span: Micros,
    /// Share of what cold servers take that a return asks of them. Far below what pushes them over.
    pub cold_use: f64,
    /// The fault planted by a test.
    #[cfg(feature = "faults")]
    pub plant: Plant,
}

impl Settings {
    /// The usual settings for a node of a fleet.
    pub fn new(me: u32, members: BTreeMap<u32, ZoneId>, zones: u16) -> Settings {
        Settings {
            me,
            members,
            zones,
            log: true,
            window: SECOND,
            tick: SECOND / 4,
            quiet: SECOND,
            life: 3 * SECOND,
            clear: 4 * SECOND / 10,
            clear_slow: 3 * SECOND,
            after: 5 * SECOND,
            enough: 12,
            margin: 0.1,
            fill: 0.85,
            hurry: 2 * SECOND,
            rest: SECOND,
            trials: 10,
            trial_span: 3 * SECOND,
            pace: SECOND,
            memory: 30 * SECOND,
            cold_from: 0.3,
            cold_span: 15 * SECOND,
            cold_use: 0.9,
            #[cfg(feature = "faults")]
            plant: Plant::Nothing,
        }
    }

    /// More than half of the members.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    #[cfg(feature = "faults")]
    pub(crate) fn planted(&self, plant: Plant) -> bool {
        self.plant == plant
    }
}

/// Whether a test planted this fault; without the feature it is never so.
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
