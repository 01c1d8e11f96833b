//! Inputs and outputs of a voter.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Micros, MAX_COMMAND};

/// Timing of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The length of a tick in microseconds.
    pub tick: Micros,
    /// Number of ticks without a message of the leader after which a voter starts an election; each voter
    /// chooses a random number between this and twice this.
    pub election: usize,
    /// Number of ticks between two heartbeats of a leader; less than `election`.
    pub heartbeat: usize,
}

impl Default for Timing {
    /// 50 ms, 10 ticks and 2 ticks.
    fn default() -> Timing {
        Timing { tick: 50_000, election: 10, heartbeat: 2 }
    }
}

/// Settings of a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The voter's own number, not 0.
    pub own: u64,
    /// All voters, including this one: 3 or 5.
    pub voters: Vec<u64>,
    /// Ticks and timeouts.
    pub timing: Timing,
    /// The maximum length of a command in bytes, at most [`MAX_COMMAND`].
    pub max_command: usize,
    /// The number of entries after which the state machine is asked for a snapshot. The log holds at most
    /// four times as many; beyond that, proposals are rejected.
    pub snapshot_every: u64,
}

impl Settings {
    pub(crate) fn check(&self) -> Result<(), StartError> {
        let mut voters = self.voters.clone();
        voters.sort_unstable();
        voters.dedup();
        let invalid = |why: &str| Err(StartError::Settings(why.to_owned()));
        if voters.len() != self.voters.len() || !matches!(voters.len(), 3 | 5) {
            return invalid("there must be 3 or 5 distinct voters");
        }
        if self.own == 0 || voters.contains(&0) || !voters.contains(&self.own) {
            return invalid("the own number must be one of the voters, and no voter may be 0");
        }
        let timing = self.timing;
        if timing.tick <= 0 || timing.heartbeat == 0 || timing.election <= timing.heartbeat {
            return invalid(
                "a tick must be longer than 0, and an election must take more ticks than a heartbeat",
            );
        }
        if timing.election > 10_000 || self.max_command == 0 || self.max_command > MAX_COMMAND {
            return invalid("an election may take at most 10,000 ticks, and a command 1 to 65,536 bytes");
        }
        if !(16..=1_000_000).contains(&self.snapshot_every) {
            return invalid("the snapshot interval must be 16 to 1,000,000 entries");
        }
        Ok(())
    }
}

/// Input of a voter.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A message was received from a member. The transport guarantees that `from` is correct.
    Received {
        /// The sender.
        from: u64,
        /// The message.
        bytes: &'a [u8],
    },
    /// A command is proposed.
    Propose {
        /// The proposer's name for the command, returned with [`Output::Lost`].
        token: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// The batch with this number is on disk.
    Stored(u64),
    /// The batch with this number could not be stored, with the reason.
    StoreFailed(u64, String),
    /// The snapshot of the state machine that [`Output::TakeSnapshot`] requested.
    Snapshot {
        /// The index of the last command in it.
        index: u64,
        /// The snapshot, at most [`MAX_SNAPSHOT`](crate::MAX_SNAPSHOT) bytes.
        bytes: Vec<u8>,
    },
    /// The time that `wake` returned has been reached.
    Timeout,
}

/// Output of a voter, to be carried out in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send to a member.
    Send {
        /// The receiver.
        to: u64,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Store this batch, and report [`Input::Stored`] or [`Input::StoreFailed`]. Only one batch is
    /// outstanding at a time.
    Store(Batch),
    /// A command was decided, finally and for all voters alike. Indexes increase, with gaps.
    Decided {
        /// Its index in the log.
        index: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// The state machine must discard its state and load this snapshot.
    Restore {
        /// The index of the last command in it.
        index: u64,
        /// The snapshot.
        bytes: Vec<u8>,
    },
    /// Take a snapshot of the state machine as it is after the commands up to this index.
    TakeSnapshot {
        /// The index of the last command in it.
        index: u64,
    },
    /// The leader, as far as this voter knows.
    Leader(Option<u64>),
    /// The proposal was given up. The command may still be decided later.
    Lost {
        /// The token of the proposal.
        token: u64,
    },
    /// A message for the operator.
    Notice(Notice),
}

/// Notices for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The store can't be written. The voter takes no part in decisions until it can.
    StoreFailed {
        /// The store's error.
        why: String,
        /// Time until the next attempt, in microseconds.
        again: Micros,
    },
    /// The store can be written again.
    StoreRecovered,
    /// All other voters have accepted this store: the voter votes.
    Admitted,
    /// The voter `by` knows this voter with another store, which was lost: this voter only learns.
    StoreLost {
        /// The voter that reported it.
        by: u64,
    },
    /// The snapshot of the state machine exceeds the limit; the log can't be trimmed.
    SnapshotTooLong {
        /// Its size in bytes.
        bytes: usize,
    },
}

/// Why a voter can't start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The settings are invalid.
    Settings(String),
    /// The store belongs to another voter or to another set of voters.
    ForeignStore(StoreOwner),
    /// The contents of the store are inconsistent.
    Inconsistent(String),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Settings(why) => write!(f, "invalid agreement settings: {why}"),
            StartError::ForeignStore(owner) => {
                write!(f, "the store belongs to voter {} of {:?}", owner.own, owner.voters)
            }
            StartError::Inconsistent(why) => write!(f, "the store is inconsistent: {why}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Received messages that could not be decoded.
    pub unreadable: u64,
    /// Received messages that no correct voter would send now: from strangers or other stores, or with
    /// impossible log indexes.
    pub refused: u64,
    /// Messages dropped because the store was behind.
    pub shed: u64,
    /// Batches stored.
    pub batches: u64,
    /// Commands delivered.
    pub decided: u64,
    /// Entries in the log: those after the last snapshot and some before it.
    pub log: u64,
    /// The engine's term.
    pub term: u64,
    /// The last index decided here.
    pub index: u64,
    /// The largest number of outputs that waited for the store.
    pub max_deferred: u64,
}

/// A position in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The index, from 1; 0 is before the first entry.
    pub index: u64,
    /// The term of the entry at the index.
    pub term: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub at: Mark,
    /// The command; empty for the entry that a new leader appends.
    pub command: Vec<u8>,
    /// The proposer, and its name for the command.
    pub origin: Vec<u8>,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The position of the last command in it.
    pub at: Mark,
    /// The snapshot.
    pub bytes: Vec<u8>,
}

/// The state that Raft must not forget (its hard state).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The current term.
    pub term: u64,
    /// The candidate that this voter voted for in the term, or 0.
    pub vote: u64,
    /// The known commit index; may be behind.
    pub commit: u64,
}

/// The owner of a store, and the stores that it has accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreOwner {
    /// The voter.
    pub own: u64,
    /// All voters, in ascending order.
    pub voters: Vec<u64>,
    /// Whether all other voters have accepted this store, so that it may vote.
    pub admitted: bool,
    /// The identities of the other voters' stores.
    pub stores: BTreeMap<u64, u64>,
}

/// Changes to be stored atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Sequence number, starting at 1.
    pub number: u64,
    /// Replaces the stored owner record, if present.
    pub owner: Option<StoreOwner>,
    /// Replaces the stored promise, if present.
    pub promise: Option<Promise>,
    /// Replaces the stored snapshot, if present.
    pub snapshot: Option<Kept>,
    /// All stored entries are removed before those of this batch are added: the snapshot came from another
    /// voter.
    pub clear: bool,
    /// Stored entries from the first index on are removed, then these are added.
    pub entries: Vec<Entry>,
    /// Entries up to this position are then removed.
    pub trim: Option<Mark>,
}

/// The contents of a store at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Found {
    /// The identity of the store, a random number chosen when it was created.
    pub store: u64,
    /// The last stored batch, 0 if none.
    pub batch: u64,
    /// The owner; none if the store was just created.
    pub owner: Option<StoreOwner>,
    /// The engine's hard state.
    pub promise: Promise,
    /// The last snapshot.
    pub snapshot: Option<Kept>,
    /// Entries up to this position have been removed.
    pub trimmed: Mark,
    /// The entries, without a gap from the one after `trimmed`.
    pub entries: Vec<Entry>,
}

impl Found {
    /// Returns the contents of an empty store with this identity.
    pub fn new(store: u64) -> Found {
        Found { store, ..Found::default() }
    }

    /// Applies a batch.
    pub fn apply(&mut self, batch: &Batch) {
        self.batch = batch.number;
        if let Some(owner) = &batch.owner {
            self.owner = Some(owner.clone());
        }
        if let Some(promise) = batch.promise {
            self.promise = promise;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = Some(snapshot.clone());
            if batch.clear {
                self.entries.clear();
                self.trimmed = snapshot.at;
            }
        }
        if let Some(first) = batch.entries.first() {
            self.entries.retain(|entry| entry.at.index < first.at.index);
            self.entries.extend_from_slice(&batch.entries);
        }
        if let Some(trim) = batch.trim {
            self.entries.retain(|entry| entry.at.index > trim.index);
            self.trimmed = trim;
        }
    }

    /// Checks that the contents are consistent.
    ///
    /// # Errors
    ///
    /// Returns an error for a gap in the log, a decreasing term, or a snapshot before the trimmed position.
    pub fn check(&self) -> Result<(), String> {
        let mut last = self.trimmed;
        for entry in &self.entries {
            if entry.at.index != last.index + 1 || entry.at.term < last.term {
                return Err(format!("entry {:?} follows {last:?}", entry.at));
            }
            last = entry.at;
        }
        let snapshot = self.snapshot.as_ref().map(|kept| kept.at).unwrap_or_default();
        if snapshot.index < self.trimmed.index {
            return Err(format!("trimmed to {:?}, snapshot at {snapshot:?}", self.trimmed));
        }
        if snapshot.index > last.index || self.promise.commit > last.index || last.term > self.promise.term {
            return Err(format!("the log ends at {last:?}, which contradicts {:?}", self.promise));
        }
        Ok(())
    }
}
