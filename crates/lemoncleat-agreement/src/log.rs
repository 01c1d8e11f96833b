//! The engine's storage in memory. What it is told to keep is noted in a [`Batch`] for the disk.

use std::collections::VecDeque;

use raft::eraftpb::{ConfState, Entry as RaftEntry, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

use crate::message::{entry_of, entry_to};
use crate::{Batch, Entry, Found, Kept, Mark, Place, Promise};

/// The log as the disk will have it once all batches are stored.
pub(crate) struct Log {
    voters: Vec<u64>,
    pub promise: Promise,
    pub snapshot: Kept,
    pub trimmed: Mark,
    pub entries: VecDeque<Entry>,
    /// What is not yet given to the disk.
    noted: Batch,
    /// Whether something rests on `noted`: all but a mere advance of what is known as decided.
    urgent: bool,
}

impl Log {
    pub fn new(voters: Vec<u64>, found: Found) -> Log {
        Log {
            voters,
            promise: found.promise,
            snapshot: found.snapshot.unwrap_or_default(),
            trimmed: found.trimmed,
            entries: found.entries.into(),
            noted: Batch { number: found.batch + 1, ..Batch::default() },
            urgent: false,
        }
    }

    /// What is to be stored now, if anything rests on it.
    pub fn take_batch(&mut self) -> Option<Batch> {
        if !self.urgent {
            return None;
        }
        self.urgent = false;
        let next = Batch { number: self.noted.number + 1, ..Batch::default() };
        Some(std::mem::replace(&mut self.noted, next))
    }

    pub fn set_place(&mut self, place: &Place) {
        self.noted.place = Some(place.clone());
        self.urgent = true;
    }

    pub fn set_promise(&mut self, promise: Promise) {
        self.urgent |= (promise.term, promise.vote) != (self.promise.term, self.promise.vote);
        self.promise = promise;
        let kept = if planted!(ForgetsVote) { Promise { vote: 0, ..promise } } else { promise };
        self.noted.promise = Some(kept);
    }

    /// Appends entries without a gap; those of their places and after go.
    pub fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|entry| entry.at.index) else { return };
        self.urgent = true;
        while self.entries.back().is_some_and(|entry| entry.at.index >= first) {
            self.entries.pop_back();
        }
        self.noted.entries.retain(|entry| entry.at.index < first);
        self.noted.entries.extend_from_slice(&entries);
        self.entries.extend(entries);
    }

    /// Takes another voter's snapshot in place of the log.
    pub fn install(&mut self, snapshot: Kept) {
        self.urgent = true;
        self.entries.clear();
        self.noted.entries.clear();
        self.noted.trim = None;
        self.trimmed = snapshot.at;
        self.noted.clear = true;
        self.noted.snapshot = Some(snapshot.clone());
        self.snapshot = snapshot;
    }

    /// Takes the own state machine's snapshot, and removes entries up to `trim`.
    pub fn shorten(&mut self, index: u64, bytes: Vec<u8>, trim: u64) -> bool {
        let Some(term) = self.term_at(index) else { return false };
        if index <= self.snapshot.at.index {
            return false;
        }
        self.urgent = true;
        self.snapshot = Kept { at: Mark { index, term }, bytes };
        self.noted.snapshot = Some(self.snapshot.clone());
        if let Some(term) = self.term_at(trim.min(index)) {
            self.trimmed = Mark { index: trim.min(index), term };
            while self.entries.front().is_some_and(|entry| entry.at.index <= self.trimmed.index) {
                self.entries.pop_front();
            }
            self.noted.trim = Some(self.trimmed);
        }
        true
    }

    pub fn last(&self) -> Mark {
        self.entries.back().map_or(self.trimmed, |entry| entry.at)
    }

    /// The term at a place, if it is known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.trimmed.index {
            return Some(self.trimmed.term);
        }
        self.get(index).map(|entry| entry.at.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.trimmed.index + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let mut state = RaftState::default();
        state.hard_state.term = self.promise.term;
        state.hard_state.vote = self.promise.vote;
        // What the snapshot holds was decided.
        state.hard_state.commit = self.promise.commit.max(self.snapshot.at.index);
        state.conf_state.voters.clone_from(&self.voters);
        Ok(state)
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<RaftEntry>> {
        if low <= self.trimmed.index {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last().index + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let max = max_size.into().unwrap_or(u64::MAX);
        let mut entries = Vec::new();
        let mut size = 0;
        for entry in (low..high).map_while(|index| self.get(index)) {
            size += (entry.command.len() + entry.origin.len() + 16) as u64;
            if size > max && !entries.is_empty() {
                break;
            }
            entries.push(entry_to(entry.clone()));
        }
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        match self.term_at(index) {
            Some(term) => Ok(term),
            None if index < self.trimmed.index => Err(StorageError::Compacted.into()),
            None => Err(StorageError::Unavailable.into()),
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.trimmed.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last().index)
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        let at = self.snapshot.at;
        if at.index == 0 || at.index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(snapshot_to(self.snapshot.clone(), &self.voters))
    }
}

/// The engine's form of a snapshot. Voters never change, so they are those of the settings.
pub(crate) fn snapshot_to(kept: Kept, voters: &[u64]) -> Snapshot {
    let mut snapshot = Snapshot { data: kept.bytes.into(), ..Snapshot::default() };
    let metadata = snapshot.mut_metadata();
    metadata.index = kept.at.index;
    metadata.term = kept.at.term;
    metadata.set_conf_state(ConfState { voters: voters.to_vec(), ..ConfState::default() });
    snapshot
}

/// Entries of the engine as they are kept.
pub(crate) fn entries_of(entries: Vec<RaftEntry>) -> Vec<Entry> {
    entries.into_iter().map(entry_of).collect()
}
