//! What a seed draws: the fleet, its operators and its faults.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::changes::Changes;
use crate::Micros;

const SECOND: Micros = 1_000_000;
/// Faults begin after this time: the voters must have read each other's stores once.
const WARM_UP_US: Micros = 15 * SECOND;

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// Messages from the node do not arrive.
    CutOut,
    /// Messages to the node do not arrive.
    CutIn,
    /// Messages do not arrive in either direction.
    CutOff,
    /// The node's zone is cut off from the others.
    Zone,
    /// The fleet is cut into two halves, and only the node is connected to both.
    Bridge,
    /// No voter receives messages from another.
    Voters,
    /// The node is repeatedly cut off and reconnected.
    Flap,
    /// All connections of the node are reset.
    Reset,
    /// Messages on the node's connections take up to a second longer.
    Slow,
    /// The process is killed, and restarted with its disk.
    Kill,
    /// As a kill, and its disk is lost. At most a minority of the voters.
    DiskLost,
    /// As a kill, and the restart has a lower start number than the start before.
    StartBack,
    /// The process gets no turn.
    Pause,
    /// Its clock runs at 80 to 125 % of the others' rate.
    Rate,
    /// Its clock jumps forward by up to a minute.
    Jump,
    /// The disk refuses half of all writes.
    DiskError,
    /// The disk refuses all writes.
    DiskFull,
    /// The disk takes up to three seconds for each batch.
    DiskSlow,
    /// Texts of the configuration that the node serves are corrupted.
    WrongText,
    /// All processes of the node's zone are killed, and restarted at once.
    ZoneKill,
    /// As a kill, and the node's copy of the configuration is torn.
    CopyTorn,
}

const FAULT_KINDS: [FaultKind; 18] = [
    FaultKind::CutOut,
    FaultKind::CutIn,
    FaultKind::CutOff,
    FaultKind::Zone,
    FaultKind::Bridge,
    FaultKind::Voters,
    FaultKind::Flap,
    FaultKind::Reset,
    FaultKind::Slow,
    FaultKind::Kill,
    FaultKind::DiskLost,
    FaultKind::StartBack,
    FaultKind::Pause,
    FaultKind::Rate,
    FaultKind::Jump,
    FaultKind::DiskError,
    FaultKind::DiskFull,
    FaultKind::DiskSlow,
];

/// A fault of a plan. Times are in microseconds from the beginning of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Node that it concerns.
    pub node: usize,
    /// Beginning.
    pub from: Micros,
    /// End.
    pub until: Micros,
}

/// An operator's order at a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Order {
    pub at: Micros,
    pub node: usize,
    /// The same number again is the same order.
    pub number: u32,
}

/// A run to play.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed of everything random.
    pub seed: u64,
    /// Number of processes.
    pub nodes: usize,
    /// Number of voters: the first 3 or 5 processes.
    pub voters: usize,
    /// Length of a round of the fleet, in microseconds.
    pub round: Micros,
    /// Least and longest time that a message takes, in microseconds.
    pub delay: (Micros, Micros),
    /// Watchdog of connections, in microseconds: a silent connection is given up after one to two times this.
    pub watchdog: Micros,
    /// Faults of the run.
    pub faults: Vec<Fault>,
    /// Time at which the last fault ends.
    pub calm: Micros,
    pub(crate) orders: Vec<Order>,
    /// Changes of the configuration; none for a fleet without one.
    pub(crate) changes: Option<Changes>,
}

impl Plan {
    /// Draws a plan for this many nodes, at least 3. Half of the seeds have a configuration.
    pub fn draw(seed: u64, nodes: usize) -> Plan {
        let nodes = nodes.max(3);
        let mut random = SmallRng::seed_from_u64(seed ^ 0x666c_6565_7400);
        let voters = if nodes >= 5 && random.random() { 5 } else { 3 };
        let round = [200_000, 500_000, SECOND].choose(&mut random).copied().unwrap_or(SECOND);
        let least = random.random_range(100..5_000);
        let delay = (least, least + random.random_range(100..20_000));
        let watchdog = random.random_range(SECOND..6 * SECOND);
        let calm = WARM_UP_US + random.random_range(20..60) * SECOND;
        // Swarm testing: each kind of fault is on or off for the whole run.
        let kinds: Vec<FaultKind> = FAULT_KINDS.into_iter().filter(|_| random.random_bool(0.4)).collect();
        let mut lost_disks = Vec::new();
        let mut faults = Vec::new();
        let count = random.random_range(2..30);
        while let (true, Some(kind)) = (faults.len() < count, kinds.choose(&mut random).copied()) {
            // Half of the faults concern voters, whatever their share of the nodes.
            let among = if random.random() { voters } else { nodes };
            let node = random.random_range(0..among);
            let from = random.random_range(WARM_UP_US..calm - SECOND);
            let longest = [SECOND, 5 * SECOND, 30 * SECOND].choose(&mut random).copied().unwrap_or(SECOND);
            let until = (from + random.random_range(100_000..=longest)).min(calm);
            if kind == FaultKind::DiskLost && node < voters && !lost_disks.contains(&node) {
                if lost_disks.len() > (voters - 1) / 2 - 1 {
                    faults.push(Fault { kind: FaultKind::Kill, node, from, until });
                    continue;
                }
                lost_disks.push(node);
            }
            faults.push(Fault { kind, node, from, until });
        }
        let flood = random.random_bool(0.05);
        let mut orders = Vec::new();
        for number in 0..if flood { 2_400 } else { random.random_range(10..80) } {
            let at = random.random_range(if flood { WARM_UP_US / 2 } else { 0 }..calm);
            orders.push(Order { at, node: random.random_range(0..nodes), number });
            while !flood && random.random_bool(0.3) {
                // The same order again at another node, at the same time or later.
                let later = if random.random() { 0 } else { random.random_range(0..10 * SECOND) };
                let node = random.random_range(0..nodes);
                orders.push(Order { at: (at + later).min(calm), node, number });
            }
        }
        let changes = None;
        let plan = Plan { seed, nodes, voters, round, delay, watchdog, faults, calm, orders, changes };
        if SmallRng::seed_from_u64(seed ^ 0x0073_7761_726d_0000).random() {
            plan.with_configuration()
        } else {
            plan
        }
    }

    /// Returns the plan with a configuration that operators change, if it has none.
    pub fn with_configuration(mut self) -> Plan {
        if self.changes.is_none() {
            let changes = Changes::draw(self.seed, self.nodes, (WARM_UP_US, self.calm), &mut self.faults);
            self.changes = Some(changes);
        }
        self
    }
}
