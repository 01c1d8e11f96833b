//! The replicated state of the fleet: applying the commands of the agreed log gives the same state at every
//! node.

use std::collections::{BTreeMap, VecDeque};

use lemoncleat_configuration::Ledger;
use serde::{Deserialize, Serialize};

/// Maximum number of stored marks. Every node drops the oldest one at the same log entry.
const MAX_MARKS: usize = 1_000;
/// Maximum lengths of an order's identifier and of a mark's text, in bytes.
pub(crate) const LONGEST_ORDER: usize = 64;
pub(crate) const LONGEST_TEXT: usize = 256;

/// A command of the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Command {
    /// An operator's mark.
    Mark { order: String, text: String },
    /// A command of the configuration.
    Configuration(Vec<u8>),
}

impl Command {
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

/// An operator's mark, as agreed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Mark {
    pub(crate) index: u64,
    pub(crate) order: String,
    pub(crate) text: String,
}

/// The replicated state. Nodes that have applied the same entries hold the same state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct State {
    index: u64,
    marks: VecDeque<Mark>,
    orders: BTreeMap<String, u64>,
    /// The number of commands that could not be decoded, as they come from a later version of the program.
    undecodable: u64,
    /// The state of the configuration. In a snapshot it follows the rest and is left out if empty, so that
    /// the format of snapshots without a configuration is unchanged.
    #[serde(skip)]
    ledger: Ledger,
}

impl State {
    /// Applies an entry. An entry that was applied before is ignored. A command may be committed more than
    /// once: a stored order is not marked again.
    pub(crate) fn apply(&mut self, index: u64, command: &[u8]) {
        if index <= self.index {
            return;
        }
        self.index = index;
        match postcard::from_bytes(command) {
            Ok(Command::Mark { order, text }) => {
                let fits = order.len() <= LONGEST_ORDER && text.len() <= LONGEST_TEXT;
                if !fits || self.orders.contains_key(&order) {
                    return;
                }
                self.orders.insert(order.clone(), index);
                self.marks.push_back(Mark { index, order, text });
                if self.marks.len() > MAX_MARKS {
                    if let Some(oldest) = self.marks.pop_front() {
                        self.orders.remove(&oldest.order);
                    }
                }
            }
            Ok(Command::Configuration(command)) => {
                if !self.ledger.apply(index, &command) {
                    self.undecodable += 1;
                }
            }
            Err(_) => self.undecodable += 1,
        }
    }

    /// Returns the log index of an order; none if it is not agreed or no longer stored.
    pub(crate) fn index_of(&self, order: &str) -> Option<u64> {
        self.orders.get(order).copied()
    }

    /// Returns the ledger of the configuration.
    pub(crate) fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the index of the last applied entry.
    pub(crate) fn index(&self) -> u64 {
        self.index
    }

    /// Returns the number of commands that could not be decoded.
    pub(crate) fn undecodable(&self) -> u64 {
        self.undecodable
    }

    /// Returns the marks after a log index, in order.
    pub(crate) fn marks(&self, after: u64) -> impl Iterator<Item = &Mark> {
        self.marks.iter().filter(move |mark| mark.index > after)
    }

    pub(crate) fn snapshot(&self) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).unwrap_or_default();
        if self.ledger != Ledger::default() {
            bytes.extend(postcard::to_allocvec(&self.ledger).unwrap_or_default());
        }
        bytes
    }

    /// Replaces the state by a snapshot. Returns false and changes nothing if it can't be decoded.
    pub(crate) fn restore(&mut self, bytes: &[u8]) -> bool {
        let Ok((mut state, rest)) = postcard::take_from_bytes::<State>(bytes) else { return false };
        if !rest.is_empty() {
            let Ok(ledger) = postcard::from_bytes(rest) else { return false };
            state.ledger = ledger;
        }
        *self = state;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn mark(order: &str) -> Vec<u8> {
        Command::Mark { order: order.to_owned(), text: "t".to_owned() }.to_bytes()
    }

    #[test]
    fn order_is_marked_once_when_it_is_committed_repeatedly() {
        let mut state = State::default();
        state.apply(3, &mark("a"));
        state.apply(4, &mark("a"));
        state.apply(4, &mark("b"));
        state.apply(5, &[255, 255]);
        state.apply(6, &mark("b"));
        assert_eq!((state.index_of("a"), state.index_of("b"), state.undecodable()), (Some(3), Some(6), 1));
        assert_eq!(state.marks(3).map(|mark| mark.index).collect::<Vec<_>>(), [6]);
    }

    #[test]
    fn state_restored_from_a_bounded_snapshot_continues_with_the_log() {
        let mut state = State::default();
        for index in 1..=MAX_MARKS as u64 + 5 {
            state.apply(index, &mark(&format!("{index:064}")));
        }
        let snapshot = state.snapshot();
        assert!(snapshot.len() < 512 * 1024 && state.index_of(&format!("{:064}", 5)).is_none());
        let mut other = State::default();
        assert!(other.restore(&snapshot) && !other.restore(&[1]));
        let packed = lemoncleat_configuration::pack("(classes)").expect("a text");
        let change = lemoncleat_configuration::Command::Change { order: "c".to_owned(), parent: 0, packed };
        let change = Command::Configuration(change.to_bytes()).to_bytes();
        state.apply(1_900, &change);
        other.apply(1_900, &change);
        assert_eq!(state.ledger().announcement().trial.map(|trial| trial.number), Some(1));
        assert!(State::default().restore(&state.snapshot()) && other.restore(&state.snapshot()));
        other.apply(2_000, &mark("next"));
        state.apply(2_000, &mark("next"));
        assert_eq!(other, state);
    }
}
