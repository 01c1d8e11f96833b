//! What the log's leader does beside leading: joining orders into entries, and telling the time.

use crate::{command, Command, Ledger, Micros, MOST_COMMANDS, MOST_ENTRY};

/// Joins the orders of many nodes into one entry.
#[derive(Clone, Debug)]
pub struct Joiner {
    window: Micros,
    held: Vec<Command>,
    bytes: usize,
    due: Option<Micros>,
    /// Entries that could not be read.
    pub unreadable: u64,
}

impl Joiner {
    /// Holds orders for at most `window`.
    pub fn new(window: Micros) -> Joiner {
        Joiner { window, held: Vec::new(), bytes: 0, due: None, unreadable: 0 }
    }

    /// Takes the orders of one node's entry, and gives out what is full.
    pub fn add(&mut self, now: Micros, entry: &[u8]) -> Option<Vec<u8>> {
        let Some(commands) = command::read(entry) else {
            self.unreadable += 1;
            return None;
        };
        let full =
            self.bytes + entry.len() > MOST_ENTRY - 16 || self.held.len() + commands.len() > MOST_COMMANDS;
        let out = if full { self.take() } else { None };
        self.bytes += entry.len();
        self.held.extend(commands);
        self.due.get_or_insert(now.saturating_add(self.window));
        out
    }

    /// When it wants the next turn.
    pub fn wake(&self) -> Option<Micros> {
        self.due
    }

    /// The entry, if its time has come.
    pub fn due(&mut self, now: Micros) -> Option<Vec<u8>> {
        if self.due.is_some_and(|due| due <= now) {
            self.take()
        } else {
            None
        }
    }

    fn take(&mut self) -> Option<Vec<u8>> {
        self.due = None;
        self.bytes = 0;
        let held = std::mem::take(&mut self.held);
        command::write(&held).filter(|_| !held.is_empty())
    }
}

/// Measures on the leader's clock how long ago it applied the last tick.
///
/// Spans of two ticks never overlap: the next begins when its leader has applied the one before, and the ledger
/// passes over a tick that was measured from another. So the ledger's time is never ahead of real time by more than
/// the clocks' drift, and one tick is never longer than the longest allowed, however far a clock jumps.
#[derive(Clone, Debug, Default)]
pub struct Ticker {
    seen: Option<(u64, Micros)>,
}

impl Ticker {
    /// To be called after each entry was applied, and now and then: an order to propose when `every` has passed.
    pub fn tick(&mut self, now: Micros, ledger: &Ledger, every: Micros) -> Option<Command> {
        match self.seen {
            Some((after, at)) if after == ledger.ticks() => {
                let by = now.saturating_sub(at);
                (by >= every).then_some(Command::Tick { after, by })
            }
            _ => {
                self.seen = Some((ledger.ticks(), now));
                None
            }
        }
    }
}
