//! What the fleet agrees on: the state that the commands of the agreed log make, the same at every node.

use std::collections::{BTreeMap, VecDeque};

use lemoncleat_configuration::Ledger;
use serde::{Deserialize, Serialize};

/// Marks that are kept; older ones are forgotten everywhere at the same entry.
const MOST_MARKS: usize = 1_000;
/// Longest order and text of a mark, in bytes.
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

/// The state. Every node that has applied the same entries holds the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct State {
    index: u64,
    marks: VecDeque<Mark>,
    orders: BTreeMap<String, u64>,
    /// Commands that could not be read: of a later version of the program.
    unread: u64,
    /// Of the configuration; after the rest in a snapshot, so that one without it stays as it was.
    #[serde(skip)]
    ledger: Ledger,
}

impl State {
    /// Applies an entry; one that was applied before changes nothing. A command may be decided more than once: an
    /// order that stands is not marked again.
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
                if self.marks.len() > MOST_MARKS {
                    if let Some(oldest) = self.marks.pop_front() {
                        self.orders.remove(&oldest.order);
                    }
                }
            }
            Ok(Command::Configuration(command)) => {
                if !self.ledger.apply(index, &command) {
                    self.unread += 1;
                }
            }
            Err(_) => self.unread += 1,
        }
    }

    /// Where an order stands in the log; none if it is not agreed, or forgotten.
    pub(crate) fn place(&self, order: &str) -> Option<u64> {
        self.orders.get(order).copied()
    }

    /// What is agreed of the configuration.
    pub(crate) fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The last entry applied.
    pub(crate) fn index(&self) -> u64 {
        self.index
    }

    /// Commands that could not be read.
    pub(crate) fn unread(&self) -> u64 {
        self.unread
    }

    /// The marks after an entry, in order.
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

    /// Takes a snapshot in place of what it holds; false and unchanged if it can't be read.
    pub(crate) fn restore(&mut self, bytes: &[u8]) -> bool {
        let Ok((mut whole, rest)) = postcard::take_from_bytes::<State>(bytes) else { return false };
        if !rest.is_empty() {
            let Ok(ledger) = postcard::from_bytes(rest) else { return false };
            whole.ledger = ledger;
        }
        *self = whole;
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
    fn an_order_is_marked_once_however_often_it_is_decided() {
        let mut state = State::default();
        state.apply(3, &mark("a"));
        state.apply(4, &mark("a"));
        state.apply(4, &mark("b"));
        state.apply(5, &[255, 255]);
        state.apply(6, &mark("b"));
        assert_eq!((state.place("a"), state.place("b"), state.unread()), (Some(3), Some(6), 1));
        assert_eq!(state.marks(3).map(|mark| mark.index).collect::<Vec<_>>(), [6]);
    }

    #[test]
    fn a_snapshot_carries_on_where_the_log_was_cut_and_its_size_is_bounded() {
        let mut state = State::default();
        for index in 1..=MOST_MARKS as u64 + 5 {
            state.apply(index, &mark(&format!("{index:064}")));
        }
        let snapshot = state.snapshot();
        assert!(snapshot.len() < 512 * 1024 && state.place(&format!("{:064}", 5)).is_none());
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
