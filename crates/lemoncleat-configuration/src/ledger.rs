//! The replicated state of the configuration: applied commands give the same state at every voter.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::limits::{MAX_ORDER, MAX_REASON, MAX_VERDICTS};
use crate::packed::Version;
use crate::plant::{self, Plant};

/// A command of the log. It may be committed more than once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A new text based on the version in force. The order makes the command idempotent.
    Change {
        /// The operator's identifier of the order.
        order: String,
        /// The number of the version that the change is based on; 0 if there is none.
        parent: u64,
        /// The packed text.
        packed: Vec<u8>,
    },
    /// The decision on the trial of this number.
    Step {
        /// The trial's number.
        number: u64,
        /// The decision.
        decision: Decision,
    },
}

/// The decision on a trial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The version under trial is put in force at all members.
    Promote,
    /// The version under trial is withdrawn, and the settled one stays in force.
    RollBack {
        /// The reason, on one line.
        reason: String,
    },
}

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The order became the version of this number.
    Accepted(u64),
    /// The order was refused; with the reason on one line.
    Refused(String),
}

/// The part of the ledger that is spread to all nodes. Only one of a higher step replaces another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The log index of the last change; 0 before the first.
    pub step: u64,
    /// The version in force at all members; none before the first.
    pub settled: Option<Version>,
    /// The version under trial at the canaries.
    pub trial: Option<Version>,
}

/// The state that results from the log's commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    announcement: Announcement,
    last_number: u64,
    /// The packed texts of the settled version and the trial.
    texts: Vec<(u64, Vec<u8>)>,
    verdicts: VecDeque<(String, Verdict)>,
    /// The number of the last trial that was rolled back, and the reason.
    rollback: Option<(u64, String)>,
    /// The number of verdicts so far.
    verdict_count: u64,
}

impl Command {
    /// Encodes the command.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

impl Ledger {
    /// Applies an encoded command at its log index. Returns false if it can't be decoded.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> bool {
        let Ok(command) = postcard::from_bytes(command) else { return false };
        match command {
            Command::Change { order, parent, packed } => self.change(index, order, parent, packed),
            Command::Step { number, decision } => self.step(index, number, decision),
        }
        true
    }

    fn change(&mut self, index: u64, order: String, parent: u64, packed: Vec<u8>) {
        if order.is_empty() || order.len() > MAX_ORDER || self.verdict(&order).is_some() {
            return;
        }
        let verdict = match self.check_change(parent, &packed) {
            Ok(version) => {
                self.last_number = version.number;
                self.announcement.trial = Some(version);
                self.announcement.step = index;
                self.texts.push((version.number, packed));
                self.drop_unused_texts();
                Verdict::Accepted(version.number)
            }
            Err(reason) => Verdict::Refused(reason),
        };
        self.verdict_count += 1;
        self.verdicts.push_back((order, verdict));
        while self.verdicts.len() > MAX_VERDICTS {
            self.verdicts.pop_front();
        }
    }

    fn check_change(&self, parent: u64, packed: &[u8]) -> Result<Version, String> {
        let settled = self.announcement.settled;
        let in_force = settled.map_or(0, |version| version.number);
        if let Some(trial) = self.announcement.trial {
            if !plant::is_active(Plant::AcceptSecondChange) {
                return Err(format!(
                    "version {} is under trial on {in_force}, which is in force",
                    trial.number
                ));
            }
        }
        if parent != in_force {
            return Err(format!("made on version {parent}, but {in_force} is in force"));
        }
        let reuse = plant::is_active(Plant::NumberAgain);
        let number = if reuse { in_force + 1 } else { self.last_number + 1 };
        let version = Version::of(number, packed).map_err(|reason| reason.to_string())?;
        if settled.is_some_and(|settled| settled.digest == version.digest) {
            return Err(format!("the same text as version {in_force}, which is in force"));
        }
        Ok(version)
    }

    fn step(&mut self, index: u64, number: u64, decision: Decision) {
        let Some(trial) = self.announcement.trial.filter(|trial| trial.number == number) else { return };
        self.announcement.trial = None;
        self.announcement.step = index;
        match decision {
            Decision::Promote => {
                self.announcement.settled = Some(trial);
                self.rollback = None;
            }
            Decision::RollBack { reason } => {
                if plant::is_active(Plant::StepLess) {
                    self.announcement.step = index.saturating_sub(1_000_000);
                }
                self.rollback = Some((number, bounded_line(reason)));
            }
        }
        self.drop_unused_texts();
    }

    fn drop_unused_texts(&mut self) {
        let Announcement { settled, trial, .. } = self.announcement;
        let numbers = [settled, trial].map(|version| version.map(|version| version.number));
        self.texts.retain(|(number, _)| numbers.contains(&Some(*number)));
    }

    /// Returns the announcement for all nodes.
    pub fn announcement(&self) -> Announcement {
        self.announcement
    }

    /// Returns the packed text of the settled version or of the trial.
    pub fn packed(&self, number: u64) -> Option<&[u8]> {
        self.texts.iter().find(|(held, _)| *held == number).map(|(_, packed)| packed.as_slice())
    }

    /// Returns the verdict on an order; none if it is not agreed or no longer stored.
    pub fn verdict(&self, order: &str) -> Option<&Verdict> {
        self.verdicts.iter().find(|(known, _)| known == order).map(|(_, verdict)| verdict)
    }

    /// Returns the number of verdicts so far.
    pub fn verdicts(&self) -> u64 {
        self.verdict_count
    }

    /// Returns the number of the version that was rolled back last and the reason; none once a later version
    /// is settled.
    pub fn rolled_back(&self) -> Option<(u64, &str)> {
        self.rollback.as_ref().map(|(number, reason)| (*number, reason.as_str()))
    }
}

/// Puts a reason on one line and truncates it to [`MAX_REASON`].
pub(crate) fn bounded_line(reason: String) -> String {
    let mut line: String = reason.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    while line.len() > MAX_REASON {
        line.pop();
    }
    line
}
