//! The engine's storage in memory. Changes are collected in a [`Batch`] for the disk.

use std::collections::VecDeque;

use raft::eraftpb::{ConfState, Entry as RaftEntry, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

use crate::message::{from_engine_entry, to_engine_entry};
use crate::{Batch, Entry, Found, Kept, Mark, Promise, StoreOwner};

/// The log as it will be on disk once all batches are stored.
pub(crate) struct Log {
    voters: Vec<u64>,
    pub promise: Promise,
    pub snapshot: Kept,
    pub trimmed: Mark,
    pub entries: VecDeque<Entry>,
    /// Changes that have not been handed to the disk yet.
    pending: Batch,
    /// Whether an output depends on `pending`. It is set by all changes except an advance of the commit index
    /// alone.
    flush_needed: bool,
}

impl Log {
    pub fn new(voters: Vec<u64>, found: Found) -> Log {
        Log {
            voters,
            promise: found.promise,
            snapshot: found.snapshot.unwrap_or_default(),
            trimmed: found.trimmed,
            entries: found.entries.into(),
            pending: Batch { number: found.batch + 1, ..Batch::default() },
            flush_needed: false,
        }
    }

    /// Returns the batch to be stored now, if an output depends on it.
    pub fn take_batch(&mut self) -> Option<Batch> {
        if !self.flush_needed {
            return None;
        }
        self.flush_needed = false;
        let next = Batch { number: self.pending.number + 1, ..Batch::default() };
        Some(std::mem::replace(&mut self.pending, next))
    }

    pub fn set_owner(&mut self, owner: &StoreOwner) {
        self.pending.owner = Some(owner.clone());
        self.flush_needed = true;
    }

    pub fn set_promise(&mut self, promise: Promise) {
        self.flush_needed |= (promise.term, promise.vote) != (self.promise.term, self.promise.vote);
        self.promise = promise;
        let kept = if planted!(ForgetsVote) { Promise { vote: 0, ..promise } } else { promise };
        self.pending.promise = Some(kept);
    }

    /// Appends consecutive entries. Existing entries from the first index on are removed.
    pub fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|entry| entry.at.index) else { return };
        self.flush_needed = true;
        while self.entries.back().is_some_and(|entry| entry.at.index >= first) {
            self.entries.pop_back();
        }
        self.pending.entries.retain(|entry| entry.at.index < first);
        self.pending.entries.extend_from_slice(&entries);
        self.entries.extend(entries);
    }

    /// Replaces the log with another voter's snapshot.
    pub fn install(&mut self, snapshot: Kept) {
        self.flush_needed = true;
        self.entries.clear();
        self.pending.entries.clear();
        self.pending.trim = None;
        self.trimmed = snapshot.at;
        self.pending.clear = true;
        self.pending.snapshot = Some(snapshot.clone());
        self.snapshot = snapshot;
    }

    /// Adopts a snapshot of the own state machine, and removes entries up to `trim`.
    pub fn compact(&mut self, index: u64, bytes: Vec<u8>, trim: u64) -> bool {
        let Some(term) = self.term_at(index) else { return false };
        if index <= self.snapshot.at.index {
            return false;
        }
        self.flush_needed = true;
        self.snapshot = Kept { at: Mark { index, term }, bytes };
        self.pending.snapshot = Some(self.snapshot.clone());
        if let Some(term) = self.term_at(trim.min(index)) {
            self.trimmed = Mark { index: trim.min(index), term };
            while self.entries.front().is_some_and(|entry| entry.at.index <= self.trimmed.index) {
                self.entries.pop_front();
            }
            self.pending.trim = Some(self.trimmed);
        }
        true
    }

    pub fn last(&self) -> Mark {
        self.entries.back().map_or(self.trimmed, |entry| entry.at)
    }

    /// Returns the term at an index, if it is known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.trimmed.index {
            return Some(self.trimmed.term);
        }
        self.get(index).map(|entry| entry.at.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.trimmed.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let mut state = RaftState::default();
        state.hard_state.term = self.promise.term;
        state.hard_state.vote = self.promise.vote;
        // Everything in the snapshot was decided.
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
            entries.push(to_engine_entry(entry.clone()));
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
        Ok(to_engine_snapshot(self.snapshot.clone(), &self.voters))
    }
}

/// Converts a snapshot for the engine. The set of voters never changes, so it is taken from the settings.
pub(crate) fn to_engine_snapshot(kept: Kept, voters: &[u64]) -> Snapshot {
    let mut snapshot = Snapshot { data: kept.bytes.into(), ..Snapshot::default() };
    let metadata = snapshot.mut_metadata();
    metadata.index = kept.at.index;
    metadata.term = kept.at.term;
    metadata.set_conf_state(ConfState { voters: voters.to_vec(), ..ConfState::default() });
    snapshot
}

/// Converts entries of the engine.
pub(crate) fn from_engine_entries(entries: Vec<RaftEntry>) -> Vec<Entry> {
    entries.into_iter().map(from_engine_entry).collect()
}
