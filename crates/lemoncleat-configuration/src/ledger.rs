//! What the log's commands make of the configuration: the same at every voter.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::limits::{MAX_ORDER, MAX_WHY, MOST_VERDICTS};
use crate::packed::Version;
use crate::plant::{self, Plant};

/// A command of the log. It may be decided more than once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A new text on top of the version in force; 0 where there is none. Its order makes it one however often it comes.
    Change {
        /// The operator's name for it.
        order: String,
        /// The number of the version that it was made on.
        parent: u64,
        /// The packed text.
        packed: Vec<u8>,
    },
    /// What becomes of the trial of this number.
    Step {
        /// The trial's number.
        number: u64,
        /// What becomes of it.
        decision: Decision,
    },
}

/// What becomes of a trial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// It is in force for all.
    Everyone,
    /// The version before it stays.
    TakeBack {
        /// Why, in a line.
        why: String,
    },
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is the version of this number.
    Taken(u64),
    /// Why not, in a line.
    Refused(String),
}

/// What all nodes come to know: only one of a higher step takes the place of another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The log's index of the last change; 0 before the first.
    pub step: u64,
    /// The version in force for all; none before the first.
    pub settled: Option<Version>,
    /// The version under trial at the canaries.
    pub trial: Option<Version>,
}

/// The state that the log's commands make.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    announcement: Announcement,
    last: u64,
    /// The packed texts of the settled version and the trial.
    texts: Vec<(u64, Vec<u8>)>,
    verdicts: VecDeque<(String, Verdict)>,
    /// Why the last trial was taken back.
    why: Option<(u64, String)>,
    /// Orders that had a verdict so far.
    judged: u64,
}

impl Command {
    /// As bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

impl Ledger {
    /// Applies the bytes of a command at its index of the log; false if they can't be read.
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
        let verdict = match self.take(parent, &packed) {
            Ok(version) => {
                self.last = version.number;
                self.announcement.trial = Some(version);
                self.announcement.step = index;
                self.texts.push((version.number, packed));
                self.forget();
                Verdict::Taken(version.number)
            }
            Err(why) => Verdict::Refused(why),
        };
        self.judged += 1;
        self.verdicts.push_back((order, verdict));
        while self.verdicts.len() > MOST_VERDICTS {
            self.verdicts.pop_front();
        }
    }

    fn take(&self, parent: u64, packed: &[u8]) -> Result<Version, String> {
        let settled = self.announcement.settled;
        let in_force = settled.map_or(0, |version| version.number);
        if let Some(trial) = self.announcement.trial {
            if !plant::is(Plant::SecondChange) {
                return Err(format!(
                    "version {} is under trial on {in_force}, which is in force",
                    trial.number
                ));
            }
        }
        if parent != in_force {
            return Err(format!("made on version {parent}, but {in_force} is in force"));
        }
        let again = plant::is(Plant::NumberAgain);
        let number = if again { in_force + 1 } else { self.last + 1 };
        let version = Version::of(number, packed).map_err(|why| why.to_string())?;
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
            Decision::Everyone => {
                self.announcement.settled = Some(trial);
                self.why = None;
            }
            Decision::TakeBack { why } => {
                if plant::is(Plant::StepLess) {
                    self.announcement.step = index.saturating_sub(1_000_000);
                }
                self.why = Some((number, cut(why)));
            }
        }
        self.forget();
    }

    fn forget(&mut self) {
        let Announcement { settled, trial, .. } = self.announcement;
        let numbers = [settled, trial].map(|version| version.map(|version| version.number));
        self.texts.retain(|(number, _)| numbers.contains(&Some(*number)));
    }

    /// What all nodes are to know.
    pub fn announcement(&self) -> Announcement {
        self.announcement
    }

    /// The packed text of the settled version or the trial.
    pub fn packed(&self, number: u64) -> Option<&[u8]> {
        self.texts.iter().find(|(held, _)| *held == number).map(|(_, packed)| packed.as_slice())
    }

    /// What became of an order; none if it is not agreed, or forgotten.
    pub fn verdict(&self, order: &str) -> Option<&Verdict> {
        self.verdicts.iter().find(|(known, _)| known == order).map(|(_, verdict)| verdict)
    }

    /// How many orders had a verdict so far.
    pub fn verdicts(&self) -> u64 {
        self.judged
    }

    /// The version that was taken back last, and why; none once another is in force.
    pub fn taken_back(&self) -> Option<(u64, &str)> {
        self.why.as_ref().map(|(number, why)| (*number, why.as_str()))
    }
}

/// A reason of a bounded length, on one line.
pub(crate) fn cut(why: String) -> String {
    let mut line: String = why.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    while line.len() > MAX_WHY {
        line.pop();
    }
    line
}
