//! What a seed draws: the fleet, its operators and its faults.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::changes::Changes;
use crate::Micros;

const SECOND: Micros = 1_000_000;
/// Faults come after this: the voters have to know each other's stores once.
const WARM: Micros = 15 * SECOND;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// What the node says arrives nowhere.
    CutOut,
    /// What is said to the node does not arrive.
    CutIn,
    /// Both.
    CutOff,
    /// The node's zone is cut off from the others.
    Zone,
    /// Two halves that only the node hears both of.
    Bridge,
    /// No voter hears another.
    Voters,
    /// The node is cut off and back again, over and over.
    Flap,
    /// All connections of the node are reset.
    Reset,
    /// The node's connections take up to a second longer.
    Slow,
    /// The process is killed, and started again with its disk.
    Kill,
    /// As that, and its disk is gone. At most a minority of the voters.
    DiskLost,
    /// As a kill, and the start is counted lower than the one before.
    StartBack,
    /// The process gets no turn.
    Pause,
    /// Its clock runs at 80 to 125 % of the others'.
    Rate,
    /// Its clock jumps forward by up to a minute.
    Jump,
    /// The disk refuses half of what is to be stored.
    DiskError,
    /// The disk refuses all.
    DiskFull,
    /// The disk takes up to three seconds for each batch.
    DiskSlow,
    /// Texts of the configuration that the node serves are wrong.
    WrongText,
    /// All processes of the node's zone are killed, and started again at once.
    ZoneKill,
    /// As a kill, and the node's copy of the configuration is torn.
    CopyTorn,
}

const KINDS: [FaultKind; 18] = [
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

/// A fault of a plan. Times in microseconds of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// To which node.
    pub node: usize,
    /// From when.
    pub from: Micros,
    /// Until when.
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

/// What is played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The seed of it all.
    pub seed: u64,
    /// Processes.
    pub nodes: usize,
    /// The first 3 or 5 of them vote.
    pub voters: usize,
    /// A round of the fleet, in microseconds.
    pub round: Micros,
    /// The least and the most time that a word is under way, in microseconds.
    pub delay: (Micros, Micros),
    /// How long silence on a connection is borne, in microseconds; up to twice that.
    pub watchdog: Micros,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// When the last fault ends.
    pub calm: Micros,
    pub(crate) orders: Vec<Order>,
    /// Changes of the configuration; none where there is none.
    pub(crate) changes: Option<Changes>,
}

impl Plan {
    /// What a seed draws for this many nodes, at least 3. Half of the seeds have a configuration.
    pub fn draw(seed: u64, nodes: usize) -> Plan {
        let nodes = nodes.max(3);
        let mut random = SmallRng::seed_from_u64(seed ^ 0x666c_6565_7400);
        let voters = if nodes >= 5 && random.random() { 5 } else { 3 };
        let round = [200_000, 500_000, SECOND].choose(&mut random).copied().unwrap_or(SECOND);
        let least = random.random_range(100..5_000);
        let delay = (least, least + random.random_range(100..20_000));
        let watchdog = random.random_range(SECOND..6 * SECOND);
        let calm = WARM + random.random_range(20..60) * SECOND;
        // A swarm: each kind is there or not for the whole run.
        let kinds: Vec<FaultKind> = KINDS.into_iter().filter(|_| random.random_bool(0.4)).collect();
        let mut lost = Vec::new();
        let mut faults = Vec::new();
        let count = random.random_range(2..30);
        while let (true, Some(kind)) = (faults.len() < count, kinds.choose(&mut random).copied()) {
            // Voters are met as often as all others together.
            let among = if random.random() { voters } else { nodes };
            let node = random.random_range(0..among);
            let from = random.random_range(WARM..calm - SECOND);
            let longest = [SECOND, 5 * SECOND, 30 * SECOND].choose(&mut random).copied().unwrap_or(SECOND);
            let until = (from + random.random_range(100_000..=longest)).min(calm);
            if kind == FaultKind::DiskLost && node < voters && !lost.contains(&node) {
                if lost.len() > (voters - 1) / 2 - 1 {
                    faults.push(Fault { kind: FaultKind::Kill, node, from, until });
                    continue;
                }
                lost.push(node);
            }
            faults.push(Fault { kind, node, from, until });
        }
        let flood = random.random_bool(0.05);
        let mut orders = Vec::new();
        for number in 0..if flood { 2_400 } else { random.random_range(10..80) } {
            let at = random.random_range(if flood { WARM / 2 } else { 0 }..calm);
            orders.push(Order { at, node: random.random_range(0..nodes), number });
            while !flood && random.random_bool(0.3) {
                // Again at another node: at the same moment, or later.
                let later = if random.random() { 0 } else { random.random_range(0..10 * SECOND) };
                let node = random.random_range(0..nodes);
                orders.push(Order { at: (at + later).min(calm), node, number });
            }
        }
        let changes = None;
        let plan = Plan { seed, nodes, voters, round, delay, watchdog, faults, calm, orders, changes };
        if SmallRng::seed_from_u64(seed ^ 0x0073_7761_726d_0000).random() {
            plan.configured()
        } else {
            plan
        }
    }

    /// The same with a configuration that operators change, if it has none.
    pub fn configured(mut self) -> Plan {
        if self.changes.is_none() {
            let changes = Changes::draw(self.seed, self.nodes, (WARM, self.calm), &mut self.faults);
            self.changes = Some(changes);
        }
        self
    }
}
