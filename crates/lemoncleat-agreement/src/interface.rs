//! What goes into a voter and what comes out of it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Micros, MAX_COMMAND};

/// How a voter counts time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The length of a tick in microseconds.
    pub tick: Micros,
    /// How many ticks of silence of a leader bring an election; a voter draws from this to twice this.
    pub election: usize,
    /// Every how many ticks a leader says that it lives; fewer than `election`.
    pub heartbeat: usize,
}

impl Default for Timing {
    /// 50 ms, 10 ticks and 2 ticks.
    fn default() -> Timing {
        Timing { tick: 50_000, election: 10, heartbeat: 2 }
    }
}

/// What a voter is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The voter's own number, not 0.
    pub own: u64,
    /// All voters, the own among them: 3 or 5.
    pub voters: Vec<u64>,
    /// How it counts time.
    pub timing: Timing,
    /// The longest command in bytes, at most [`MAX_COMMAND`].
    pub max_command: usize,
    /// After how many entries the state machine is asked for a snapshot; the log holds at most four times as
    /// many, then nothing more is proposed.
    pub snapshot_every: u64,
}

impl Settings {
    pub(crate) fn check(&self) -> Result<(), Refused> {
        let mut voters = self.voters.clone();
        voters.sort_unstable();
        voters.dedup();
        let wrong = |why: &str| Err(Refused::Settings(why.to_owned()));
        if voters.len() != self.voters.len() || !matches!(voters.len(), 3 | 5) {
            return wrong("voters are 3 or 5 different numbers");
        }
        if self.own == 0 || voters.contains(&0) || !voters.contains(&self.own) {
            return wrong("the own number is one of the voters', and none is 0");
        }
        let timing = self.timing;
        if timing.tick <= 0 || timing.heartbeat == 0 || timing.election <= timing.heartbeat {
            return wrong("a tick is longer than 0, and an election takes more ticks than a heartbeat");
        }
        if timing.election > 10_000 || self.max_command == 0 || self.max_command > MAX_COMMAND {
            return wrong("an election takes at most 10,000 ticks and a command 1 to 65,536 bytes");
        }
        if !(16..=1_000_000).contains(&self.snapshot_every) {
            return wrong("a snapshot is taken every 16 to 1,000,000 entries");
        }
        Ok(())
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A message came from a member. The carrier vouches for `from`.
    Heard {
        /// Who sent it.
        from: u64,
        /// What it said.
        bytes: &'a [u8],
    },
    /// A command is to be decided.
    Propose {
        /// The proposer's name for it, told back with [`Output::Lost`].
        token: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// The batch of this number is on disk.
    Stored(u64),
    /// The batch of this number could not be stored, and why.
    StoreFailed(u64, String),
    /// The state machine's snapshot that [`Output::TakeSnapshot`] asked for.
    Snapshot {
        /// The last command in it.
        index: u64,
        /// The snapshot, at most [`MAX_SNAPSHOT`](crate::MAX_SNAPSHOT) bytes.
        bytes: Vec<u8>,
    },
    /// The time that `wake` named has come.
    Timeout,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send to a member.
    Tell {
        /// To whom.
        to: u64,
        /// What.
        bytes: Vec<u8>,
    },
    /// Store, and answer with [`Input::Stored`] or [`Input::StoreFailed`]. One is out at a time.
    Store(Batch),
    /// Decided, once and for all voters alike. The indexes rise, with gaps.
    Decided {
        /// Its place in the log.
        index: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// The state machine forgets what it has and loads this.
    Restore {
        /// The last command in it.
        index: u64,
        /// The snapshot.
        bytes: Vec<u8>,
    },
    /// A snapshot of the state machine as it is after the commands up to here.
    TakeSnapshot {
        /// The last command in it.
        index: u64,
    },
    /// Who leads, as far as this voter knows.
    Leader(Option<u64>),
    /// It may or may not be decided later.
    Lost {
        /// As it was proposed.
        token: u64,
    },
    /// For the operator.
    Notice(Notice),
}

/// What an operator should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The store can't be written: the voter keeps still until it can.
    StoreFailed {
        /// What the store said.
        why: String,
        /// When it is tried again, in microseconds from now.
        again: Micros,
    },
    /// The store can be written again.
    StoreWorks,
    /// All others welcomed this store: the voter votes.
    Admitted,
    /// The voter `by` knew this voter under another store, which was lost: this one only learns.
    StoreLost {
        /// Who says so.
        by: u64,
    },
    /// The state machine's snapshot is longer than allowed; the log can't be trimmed.
    SnapshotTooLong {
        /// Its bytes.
        bytes: usize,
    },
}

/// Why a voter can't start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The settings are wrong.
    Settings(String),
    /// The store belongs to another voter or to other voters.
    OtherPlace(Place),
    /// What was found contradicts itself.
    Broken(String),
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refused::Settings(why) => write!(f, "settings of the agreement: {why}"),
            Refused::OtherPlace(place) => {
                write!(f, "the store is that of voter {} of {:?}", place.own, place.voters)
            }
            Refused::Broken(why) => write!(f, "the store contradicts itself: {why}"),
        }
    }
}

impl std::error::Error for Refused {}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Messages heard that could not be read.
    pub unreadable: u64,
    /// Messages heard that no honest voter sends now: of strangers, other stores, impossible places in the log.
    pub refused: u64,
    /// Messages not acted on because the store was behind.
    pub shed: u64,
    /// Batches stored.
    pub batches: u64,
    /// Commands handed out.
    pub decided: u64,
    /// Entries in the log, those after the last snapshot and some before it.
    pub log: u64,
    /// The engine's term.
    pub term: u64,
    /// The last index decided here.
    pub index: u64,
    /// The most outputs that waited for the store.
    pub held: u64,
}

/// A place in the log and its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The place, from 1; 0 is before the first.
    pub index: u64,
    /// The term of the entry there.
    pub term: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it stands.
    pub at: Mark,
    /// The command; empty at the start of a leader.
    pub command: Vec<u8>,
    /// Who proposed it, and the proposer's name for it.
    pub origin: Vec<u8>,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The last command in it.
    pub at: Mark,
    /// The snapshot.
    pub bytes: Vec<u8>,
}

/// What the engine promised and may not forget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The term.
    pub term: u64,
    /// For whom it voted in it, or 0.
    pub vote: u64,
    /// What it knew as decided; may be behind.
    pub commit: u64,
}

/// Whose store it is, and whom it knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The voter.
    pub own: u64,
    /// All voters, in order.
    pub voters: Vec<u64>,
    /// Whether all others welcomed it: it may vote.
    pub admitted: bool,
    /// The identities of the others' stores.
    pub stores: BTreeMap<u64, u64>,
}

/// What is to be stored, all or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// From 1, one more each time.
    pub number: u64,
    /// Replaces what is stored, if there.
    pub place: Option<Place>,
    /// Replaces what is stored, if there.
    pub promise: Option<Promise>,
    /// Replaces what is stored, if there.
    pub snapshot: Option<Kept>,
    /// All entries go before any of this batch come: the snapshot came from another voter.
    pub clear: bool,
    /// Entries of this place and any after it go, then these come.
    pub entries: Vec<Entry>,
    /// Then entries up to here go.
    pub trim: Option<Mark>,
}

/// What a store held at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Found {
    /// The store's identity, drawn at random when it was made.
    pub store: u64,
    /// The last batch stored, 0 if none.
    pub batch: u64,
    /// Whose it is; nobody's yet if it was just made.
    pub place: Option<Place>,
    /// The engine's promise.
    pub promise: Promise,
    /// The last snapshot.
    pub snapshot: Option<Kept>,
    /// Up to here entries were removed.
    pub trimmed: Mark,
    /// The entries, without a gap from the one after `trimmed`.
    pub entries: Vec<Entry>,
}

impl Found {
    /// What an empty store of this identity holds.
    pub fn new(store: u64) -> Found {
        Found { store, ..Found::default() }
    }

    /// What the store holds after a batch.
    pub fn apply(&mut self, batch: &Batch) {
        self.batch = batch.number;
        if let Some(place) = &batch.place {
            self.place = Some(place.clone());
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

    /// Whether nothing in it contradicts the rest; what does, if so.
    ///
    /// # Errors
    ///
    /// A gap in the log, a term that falls, a snapshot before what was trimmed.
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
            return Err(format!("the log ends at {last:?}, promised {:?}", self.promise));
        }
        Ok(())
    }
}
