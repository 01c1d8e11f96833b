//! Runs voters under a virtual clock, on a network that delays, loses, duplicates, reorders and partitions,
//! with disks that forget what was not synced. Invariants are checked at each step.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;

use lemoncleat_agreement::{
    Batch, Follower, Found, Input, Micros, Notice, Output, Settings, Store, StoreError, Timing, Voter,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const MILLI: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// The longest randomized election timeout of the default timing.
pub const ELECTION: Micros = SECOND;

/// A state machine: the delivered commands with their indexes.
pub type State = Vec<(u64, u64)>;

pub enum Disk {
    Memory(Found),
    Real(PathBuf, Option<Store>),
}

pub struct Node {
    pub id: u64,
    pub voter: Option<Voter>,
    pub disk: Disk,
    pub generation: u64,
    /// The batch that was handed to the disk and is not synced yet.
    pub storing: Option<Batch>,
    pub disk_full: bool,
    /// The disk rejected a batch and has not stored it since.
    pub write_failed: bool,
    pub paused_until: Micros,
    pub state: Vec<(u64, u64)>,
    pub notices: Vec<Notice>,
    pub lost: u64,
    pub start_error: Option<String>,
}

enum Event {
    Deliver { from: u64, to: u64, bytes: Vec<u8> },
    Synced { node: usize, generation: u64 },
    Snapshot { node: usize, generation: u64, log_index: u64, bytes: Vec<u8> },
    Restart { node: usize },
    Heal { node: usize },
}

pub struct Net {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub follower: Option<(u64, Follower, State)>,
    /// All decided commands in order, as index and command, whichever voter delivered them first.
    pub decided: Vec<(u64, u64)>,
    pub proposed: BTreeSet<u64>,
    pub cut: BTreeSet<(u64, u64)>,
    pub loss: f64,
    pub duplication: f64,
    pub delay: (Micros, Micros),
    pub sync_time: Micros,
    pub rng: SmallRng,
    pub violation: Option<String>,
    pub messages: u64,
    pub bytes: u64,
    /// The effects of the faults that fired.
    pub fault_effects: Vec<String>,
    /// The leader of each term; the invariant is that there is at most one.
    pub leaders: BTreeMap<u64, u64>,
    events: BTreeMap<(Micros, u64), Event>,
    sequence: u64,
    snapshot_every: u64,
    voters: Vec<u64>,
}

impl Net {
    pub fn new(voters: u64, seed: u64, snapshot_every: u64) -> Net {
        Net::with_disks(
            seed,
            snapshot_every,
            (1..=voters).map(|id| Disk::Memory(Found::new(1000 + id))).collect(),
        )
    }

    pub fn with_disks(seed: u64, snapshot_every: u64, disks: Vec<Disk>) -> Net {
        let voters: Vec<u64> = (1..=disks.len() as u64).collect();
        let nodes = disks.into_iter().zip(&voters).map(|(disk, id)| Node {
            id: *id,
            voter: None,
            disk,
            generation: 0,
            storing: None,
            disk_full: false,
            write_failed: false,
            paused_until: 0,
            state: Vec::new(),
            notices: Vec::new(),
            lost: 0,
            start_error: None,
        });
        let mut net = Net {
            now: 0,
            nodes: nodes.collect(),
            follower: None,
            decided: Vec::new(),
            proposed: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            delay: (MILLI, 5 * MILLI),
            sync_time: 2 * MILLI,
            rng: SmallRng::seed_from_u64(seed),
            violation: None,
            messages: 0,
            bytes: 0,
            fault_effects: Vec::new(),
            leaders: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            snapshot_every,
            voters,
        };
        for node in 0..net.nodes.len() {
            net.start(node);
        }
        net
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn violate(&mut self, why: String) {
        self.violation.get_or_insert(format!("{} us: {why}", self.now));
    }

    /// Starts a voter with the contents of its disk.
    pub fn start(&mut self, index: usize) {
        self.sequence += 1;
        let seed = self.rng.random::<u64>();
        let settings = Settings {
            own: self.voters[index],
            voters: self.voters.clone(),
            timing: Timing::default(),
            max_command: 1024,
            snapshot_every: self.snapshot_every,
        };
        turn(index);
        let node = &mut self.nodes[index];
        let opened = catch_unwind(AssertUnwindSafe(|| -> Result<Found, StoreError> {
            match &mut node.disk {
                Disk::Memory(found) => Ok(found.clone()),
                Disk::Real(path, store) => {
                    *store = None;
                    let opened = Store::open(path, seed)?;
                    let found = opened.read_all()?;
                    *store = Some(opened);
                    Ok(found)
                }
            }
        }));
        node.generation += 1;
        node.storing = None;
        node.write_failed = false;
        node.state.clear();
        let started = opened.map(|found| {
            found
                .map_err(|error| error.to_string())
                .and_then(|found| Voter::new(settings, found, seed).map_err(|error| error.to_string()))
        });
        match started {
            Ok(Ok(voter)) => node.voter = Some(voter),
            Ok(Err(error)) => {
                // Retried after a while, as by an operator.
                node.start_error = Some(error);
                self.schedule(SECOND, Event::Restart { node: index });
            }
            Err(_) => self.schedule(SECOND, Event::Restart { node: index }),
        }
        self.apply_fired_fault(index);
    }

    /// Ends a process. A batch that was not synced is lost or stored, at random.
    pub fn kill(&mut self, index: usize) {
        let stored = self.rng.random_bool(0.5);
        let node = &mut self.nodes[index];
        node.voter = None;
        node.generation += 1;
        if let (Some(batch), Disk::Memory(found), true) = (node.storing.take(), &mut node.disk, stored) {
            found.apply(&batch);
        }
        if let Disk::Real(_, store) = &mut node.disk {
            *store = None;
        }
    }

    pub fn kill_for(&mut self, index: usize, time: Micros) {
        self.kill(index);
        self.schedule(time, Event::Restart { node: index });
    }

    pub fn lose_disk(&mut self, index: usize) {
        let identity = self.rng.random();
        self.nodes[index].disk = Disk::Memory(Found::new(identity));
    }

    /// Returns the voter that considers itself the leader, and has the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &&Node| {
            node.paused_until <= self.now
                && node.voter.as_ref().is_some_and(|voter| voter.leader() == Some(node.id))
        };
        let term = |node: &&Node| node.voter.as_ref().map_or(0, |voter| voter.stats().term);
        self.nodes.iter().filter(leads).max_by_key(term).map(|node| node.id as usize - 1)
    }

    pub fn cut_links(&mut self, index: usize, outwards: bool, inwards: bool) {
        let id = self.voters[index];
        for other in 1..=100 {
            if outwards {
                self.cut.insert((id, other));
            }
            if inwards {
                self.cut.insert((other, id));
            }
        }
    }

    pub fn propose(&mut self, index: usize, command: u64) {
        self.proposed.insert(command);
        let command_bytes = command.to_le_bytes().to_vec();
        self.input(index, Input::Propose { token: command, command: command_bytes });
    }

    /// Passes an input to a voter and applies its outputs.
    pub fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(mut voter) = node.voter.take() else { return };
        let generation = node.generation;
        let mut out = Vec::new();
        turn(index);
        let handled = catch_unwind(AssertUnwindSafe(|| {
            voter.handle(now, input, &mut out);
            voter
        }));
        let killed = handled.is_err();
        if let Ok(voter) = handled {
            if voter.leader() == Some(voter_id(index)) {
                let term = voter.stats().term;
                let known = *self.leaders.entry(term).or_insert(voter_id(index));
                if known != voter_id(index) {
                    self.violate(format!("two leaders of term {term}"));
                }
            }
            self.nodes[index].voter = Some(voter);
        }
        for output in out {
            // Messages and decisions that were returned before the kill were already on their way.
            if killed && !matches!(output, Output::Send { .. } | Output::Decided { .. }) {
                continue;
            }
            if self.nodes[index].generation == generation {
                self.apply_output(index, output);
            }
        }
        self.apply_fired_fault(index);
    }

    fn apply_output(&mut self, index: usize, output: Output) {
        let id = self.voters[index];
        match output {
            Output::Send { to, bytes } => {
                if self.nodes[index].storing.is_some() || self.nodes[index].write_failed {
                    self.violate(format!("{id} sends a message before its batch is stored"));
                }
                self.send(id, to, bytes);
            }
            Output::Store(batch) => self.store(index, batch),
            Output::Decided { index: log_index, command } => {
                if self.nodes[index].storing.is_some() || self.nodes[index].write_failed {
                    self.violate(format!("{id} delivers {log_index} before its batch is stored"));
                }
                let command = <[u8; 8]>::try_from(command).map(u64::from_le_bytes).unwrap_or(u64::MAX);
                let mut state = std::mem::take(&mut self.nodes[index].state);
                self.apply_command(&mut state, id, log_index, command);
                self.nodes[index].state = state;
            }
            Output::Restore { index: log_index, bytes } => {
                self.nodes[index].state = self.load_snapshot(id, log_index, &bytes);
            }
            Output::TakeSnapshot { index: log_index } => {
                let bytes = snapshot(&self.nodes[index].state);
                let generation = self.nodes[index].generation;
                self.schedule(0, Event::Snapshot { node: index, generation, log_index, bytes });
            }
            Output::Lost { .. } => self.nodes[index].lost += 1,
            Output::Notice(notice) => self.nodes[index].notices.push(notice),
            Output::Leader(_) => {}
        }
    }

    fn apply_command(&mut self, state: &mut Vec<(u64, u64)>, id: u64, log_index: u64, command: u64) {
        if state.last().is_some_and(|(last, _)| *last >= log_index) {
            self.violate(format!("{id} receives {log_index} after {:?}", state.last()));
        }
        if !self.proposed.contains(&command) {
            self.violate(format!("{id} receives {command} at {log_index}, which was never proposed"));
        }
        match self.decided.get(state.len()).copied() {
            None => self.decided.push((log_index, command)),
            Some(known) if known == (log_index, command) => {}
            Some(known) => self.violate(format!("{id} receives {command} at {log_index}, others {known:?}")),
        }
        state.push((log_index, command));
    }

    fn load_snapshot(&mut self, id: u64, log_index: u64, bytes: &[u8]) -> Vec<(u64, u64)> {
        let number = |bytes: &[u8]| bytes.try_into().map(u64::from_le_bytes).unwrap_or(u64::MAX);
        let state: Vec<(u64, u64)> =
            bytes.chunks(16).map(|pair| (number(&pair[..8]), number(&pair[8..]))).collect();
        if !self.decided.starts_with(&state) || state.last().is_some_and(|(last, _)| *last > log_index) {
            self.violate(format!("{id} restores a state that was not decided"));
        }
        state
    }

    fn send(&mut self, from: u64, to: u64, bytes: Vec<u8>) {
        self.messages += 1;
        self.bytes += bytes.len() as u64;
        if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let after = self.rng.random_range(self.delay.0..=self.delay.1);
            self.schedule(after, Event::Deliver { from, to, bytes: bytes.clone() });
        }
    }

    fn store(&mut self, index: usize, batch: Batch) {
        let generation = self.nodes[index].generation;
        self.nodes[index].storing = Some(batch);
        self.schedule(self.sync_time, Event::Synced { node: index, generation });
    }

    fn finish_sync(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(batch) = node.storing.take() else { return };
        let number = batch.number;
        if node.disk_full {
            node.write_failed = true;
            return self.input(index, Input::StoreFailed(number, "no space left".to_owned()));
        }
        turn(index);
        let result = catch_unwind(AssertUnwindSafe(|| match &mut node.disk {
            Disk::Memory(found) => {
                found.apply(&batch);
                Ok(())
            }
            Disk::Real(_, Some(store)) => store.apply(&batch),
            Disk::Real(path, None) => Err(StoreError::Failed(path.clone(), "closed".to_owned())),
        }));
        node.write_failed = !matches!(result, Ok(Ok(())));
        match result {
            Ok(Ok(())) => self.input(index, Input::Stored(number)),
            Ok(Err(error)) => self.input(index, Input::StoreFailed(number, error.to_string())),
            Err(_) => {}
        }
        self.apply_fired_fault(index);
    }

    /// Applies a fault that fired at a fault point.
    #[cfg(feature = "faults")]
    fn apply_fired_fault(&mut self, _: usize) {
        use lemoncleat_faults::{scene, Fault};
        let Some((fault, Some(index))) = scene::fired() else { return };
        let was_leader = self.leader() == Some(index);
        self.fault_effects.push(format!(
            "{} of {}{}",
            fault.name(),
            index + 1,
            if was_leader { ", the leader" } else { "" }
        ));
        match fault {
            Fault::Kill => self.kill_for(index, 2 * ELECTION),
            Fault::Error => {}
            Fault::Pause => self.nodes[index].paused_until = self.now + 4 * ELECTION,
            Fault::Cut => self.cut_links(index, true, true),
            Fault::CutOut => self.cut_links(index, true, false),
            Fault::CutIn => self.cut_links(index, false, true),
        }
        if matches!(fault, Fault::Cut | Fault::CutOut | Fault::CutIn) {
            self.schedule(4 * ELECTION, Event::Heal { node: index });
        }
    }

    #[cfg(not(feature = "faults"))]
    fn apply_fired_fault(&mut self, _: usize) {}

    /// Runs until a point in time.
    pub fn run_until(&mut self, end: Micros) {
        self.run_events(end, |_| false);
    }

    pub fn run(&mut self, time: Micros) {
        self.run_until(self.now + time);
    }

    /// Runs until a condition holds, for at most `time`. Returns whether it holds.
    pub fn run_until_holds(&mut self, time: Micros, condition: impl Fn(&Net) -> bool) -> bool {
        self.run_events(self.now + time, &condition);
        condition(self)
    }

    fn run_events(&mut self, end: Micros, condition: impl Fn(&Net) -> bool) {
        while !condition(self) {
            let event = self.events.first_key_value().map_or(Micros::MAX, |((at, _), _)| *at);
            let wakes = self.nodes.iter().enumerate().filter_map(|(index, node)| {
                let wake = node.voter.as_ref()?.wake()?;
                Some((wake.max(node.paused_until), index))
            });
            let wake = wakes.min();
            let follower =
                self.follower.as_ref().and_then(|(_, follower, _)| follower.wake()).unwrap_or(Micros::MAX);
            let next = event.min(wake.map_or(Micros::MAX, |(at, _)| at)).min(follower);
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            if event <= next {
                if let Some((_, event)) = self.events.pop_first() {
                    self.handle_event(event);
                }
            } else if let Some((_, index)) = wake.filter(|(at, _)| *at <= next) {
                self.input(index, Input::Timeout);
            } else {
                self.run_follower(Input::Timeout);
            }
            if self.violation.is_some() {
                return;
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, bytes } => {
                if self.follower.as_ref().is_some_and(|(id, ..)| *id == to) {
                    return self.run_follower(Input::Received { from, bytes: &bytes });
                }
                let index = (to as usize).wrapping_sub(1);
                if index >= self.nodes.len() {
                    return;
                }
                let until = self.nodes[index].paused_until;
                if until > self.now {
                    // The message stays in the socket buffer until then.
                    self.schedule(until - self.now, Event::Deliver { from, to, bytes });
                } else {
                    self.input(index, Input::Received { from, bytes: &bytes });
                }
            }
            Event::Synced { node, generation } if self.nodes[node].generation == generation => {
                let until = self.nodes[node].paused_until;
                if until > self.now {
                    self.schedule(until - self.now, Event::Synced { node, generation });
                } else {
                    self.finish_sync(node);
                }
            }
            Event::Snapshot { node, generation, log_index, bytes }
                if self.nodes[node].generation == generation =>
            {
                self.input(node, Input::Snapshot { index: log_index, bytes });
            }
            Event::Synced { .. } | Event::Snapshot { .. } => {}
            Event::Restart { node } if self.nodes[node].voter.is_none() => self.start(node),
            Event::Restart { .. } => {}
            Event::Heal { node } => {
                let id = self.voters[node];
                self.cut.retain(|(from, to)| *from != id && *to != id);
            }
        }
    }

    fn run_follower(&mut self, input: Input) {
        let Some((id, mut follower, mut state)) = self.follower.take() else { return };
        let mut out = Vec::new();
        follower.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, bytes } => self.send(id, to, bytes),
                Output::Decided { index, command } => {
                    let command = <[u8; 8]>::try_from(command).map(u64::from_le_bytes).unwrap_or(u64::MAX);
                    self.apply_command(&mut state, id, index, command);
                }
                Output::Restore { index, bytes } => state = self.load_snapshot(id, index, &bytes),
                _ => {}
            }
        }
        self.follower = Some((id, follower, state));
    }

    /// Ends all faults. Returns whether all eligible voters then agree on one leader and one log, and decide
    /// a new command in time.
    pub fn recovers(&mut self) -> bool {
        self.cut.clear();
        (self.loss, self.duplication) = (0.0, 0.0);
        for index in 0..self.nodes.len() {
            self.nodes[index].disk_full = false;
            self.nodes[index].paused_until = 0;
            if self.nodes[index].voter.is_none() {
                self.start(index);
            }
        }
        let command = 1 << 40 | self.now as u64;
        // A store that failed for a long time is retried after a backoff of up to 32 s.
        for _ in 0..20 {
            if !self.run_until_holds(3 * ELECTION, |net| net.leader().is_some()) {
                continue;
            }
            if let Some(leader) = self.leader() {
                self.propose(leader, command);
            }
            let all = |net: &Net| {
                net.nodes.iter().all(|node| node.state.last().is_some_and(|(_, last)| *last == command))
            };
            if self.run_until_holds(ELECTION, all) {
                return true;
            }
        }
        false
    }

    pub fn assert_no_violation(&self) {
        assert_eq!(self.violation, None);
    }
}

fn voter_id(index: usize) -> u64 {
    index as u64 + 1
}

fn snapshot(state: &[(u64, u64)]) -> Vec<u8> {
    state.iter().flat_map(|(index, command)| [index.to_le_bytes(), command.to_le_bytes()]).flatten().collect()
}

#[cfg(feature = "faults")]
fn turn(index: usize) {
    lemoncleat_faults::scene::turn(index);
}

#[cfg(not(feature = "faults"))]
fn turn(_: usize) {}

/// Runs with random faults: kills, cuts in one or both directions, lost and duplicated messages, full disks
/// and pauses. Returns the network before it recovers.
pub fn run_random_faults(voters: u64, seed: u64, time: Micros) -> Net {
    let mut net = Net::new(voters, seed, 16 + seed % 32);
    net.run_until_holds(3 * ELECTION, |net| net.leader().is_some());
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let end = net.now + time;
    let mut command = 0;
    while net.now < end && net.violation.is_none() {
        net.run(rng.random_range(1..60) * MILLI);
        let index = rng.random_range(0..net.nodes.len());
        let other = rng.random_range(0..net.nodes.len());
        match rng.random_range(0..100) {
            0..60 => {
                let at = if rng.random_bool(0.7) { net.leader().unwrap_or(index) } else { index };
                for _ in 0..rng.random_range(1..4) {
                    command += 1;
                    net.propose(at, command);
                }
            }
            60..66 => net.kill_for(index, rng.random_range(1..3000) * MILLI),
            66..69 => {
                if let Some(leader) = net.leader() {
                    net.kill_for(leader, rng.random_range(1..3000) * MILLI);
                }
            }
            69..76 => {
                net.cut.insert((index as u64 + 1, other as u64 + 1));
            }
            76..79 => net.cut_links(index, rng.random_bool(0.7), rng.random_bool(0.7)),
            79..87 => net.cut.clear(),
            87..90 => (net.loss, net.duplication) = (rng.random_range(0.0..0.3), rng.random_range(0.0..0.3)),
            90..92 => net.delay.1 = rng.random_range(2..150) * MILLI,
            92..94 => net.sync_time = rng.random_range(1..100) * MILLI,
            94..95 => net.nodes[index].disk_full = true,
            95..98 => net.nodes.iter_mut().for_each(|node| node.disk_full = false),
            _ => net.nodes[index].paused_until = net.now + rng.random_range(1..3000) * MILLI,
        }
    }
    net
}

/// Causes constant elections on a slow network, with voters that are killed between the requests of two
/// candidates.
pub fn run_constant_elections(seed: u64, time: Micros) -> Net {
    let mut net = Net::new(3, seed, 32);
    net.run_until_holds(3 * ELECTION, |net| net.leader().is_some());
    let end = net.now + time;
    let mut rng = SmallRng::seed_from_u64(seed);
    net.delay = (MILLI, 400 * MILLI);
    net.duplication = 0.3;
    while net.now < end && net.violation.is_none() {
        net.run(rng.random_range(1..100) * MILLI);
        let index = rng.random_range(0..3);
        match rng.random_range(0..3) {
            0 => net.kill_for(index, MILLI),
            1 if rng.random_bool(0.2) => net.pause(index, rng.random_range(1..1500) * MILLI),
            _ => net.propose(index, net.now as u64),
        }
    }
    net
}

impl Net {
    fn pause(&mut self, index: usize, time: Micros) {
        self.nodes[index].paused_until = self.now + time;
    }
}
