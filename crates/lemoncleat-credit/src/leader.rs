//! Tasks of the log's leader: batching commands into entries, and measuring time.

use crate::{command, Command, Ledger, Micros, MAX_ENTRY_BYTES, MAX_ENTRY_COMMANDS};

/// Batches the commands of many nodes into one entry.
#[derive(Clone, Debug)]
pub struct EntryBatcher {
    window: Micros,
    batch: Vec<Command>,
    bytes: usize,
    due_at: Option<Micros>,
    /// Number of entries that could not be decoded.
    pub unreadable: u64,
}

impl EntryBatcher {
    /// Creates a batcher that holds commands for at most `window`.
    pub fn new(window: Micros) -> EntryBatcher {
        EntryBatcher { window, batch: Vec::new(), bytes: 0, due_at: None, unreadable: 0 }
    }

    /// Adds the commands of one node's entry, and returns an entry if the batch is full.
    pub fn add(&mut self, now: Micros, entry: &[u8]) -> Option<Vec<u8>> {
        let Some(commands) = command::decode(entry) else {
            self.unreadable += 1;
            return None;
        };
        let full = self.bytes + entry.len() > MAX_ENTRY_BYTES - 16
            || self.batch.len() + commands.len() > MAX_ENTRY_COMMANDS;
        let out = if full { self.take_batch() } else { None };
        self.bytes += entry.len();
        self.batch.extend(commands);
        self.due_at.get_or_insert(now.saturating_add(self.window));
        out
    }

    /// Returns the time at which the batch is due.
    pub fn due_at(&self) -> Option<Micros> {
        self.due_at
    }

    /// Returns the entry if it is due.
    pub fn take_due(&mut self, now: Micros) -> Option<Vec<u8>> {
        if self.due_at.is_some_and(|due| due <= now) {
            self.take_batch()
        } else {
            None
        }
    }

    fn take_batch(&mut self) -> Option<Vec<u8>> {
        self.due_at = None;
        self.bytes = 0;
        let batch = std::mem::take(&mut self.batch);
        command::encode(&batch).filter(|_| !batch.is_empty())
    }
}

/// Measures on the leader's clock the time since it applied the last tick.
///
/// The spans of two ticks never overlap: the next begins when its leader has applied the previous one, and
/// the ledger ignores a tick that was measured from another. So the ledger's time is never ahead of real time
/// by more than the drift of the clocks, and no tick is longer than the allowed maximum, however far a clock
/// jumps.
#[derive(Clone, Debug, Default)]
pub struct Ticker {
    last_tick: Option<(u64, Micros)>,
}

impl Ticker {
    /// Must be called after each applied entry and at regular intervals. Returns a command to propose when
    /// `interval` has passed.
    pub fn tick(&mut self, now: Micros, ledger: &Ledger, interval: Micros) -> Option<Command> {
        match self.last_tick {
            Some((after, at)) if after == ledger.ticks() => {
                let by = now.saturating_sub(at);
                (by >= interval).then_some(Command::Tick { after, by })
            }
            _ => {
                self.last_tick = Some((ledger.ticks(), now));
                None
            }
        }
    }
}
