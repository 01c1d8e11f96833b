//! A node that is no voter learns what was decided: it asks one voter after another.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::message::{Envelope, Word};
use crate::{Input, Micros, Output, Timing};

/// Learns the decided commands from any voter, in order and each once.
pub struct Follower {
    voters: Vec<u64>,
    timing: Timing,
    asked: usize,
    after: u64,
    wake: Micros,
    /// Asks no more after this; none: always.
    until: Option<Micros>,
}

impl Follower {
    /// One that has learned nothing. `own` is its number; it never asks itself.
    pub fn new(own: u64, voters: &[u64], timing: Timing, seed: u64) -> Follower {
        let voters: Vec<u64> = voters.iter().copied().filter(|voter| *voter != own).collect();
        let asked = SmallRng::seed_from_u64(seed).random_range(0..voters.len().max(1));
        Follower { voters, timing, asked, after: 0, wake: 0, until: None }
    }

    /// The last index that it learned of.
    pub fn index(&self) -> u64 {
        self.after
    }

    /// When it wants [`Input::Timeout`].
    pub fn wake(&self) -> Option<Micros> {
        Some(self.wake).filter(|wake| self.until.is_none_or(|until| *wake < until))
    }

    /// Asks the voters only before this moment, from the next [`Input::Timeout`] on; without it, always. What was
    /// decided meanwhile is learned when it asks again.
    pub fn learn_until(&mut self, until: Micros) {
        self.until = Some(until);
    }

    /// Takes [`Input::Heard`] and [`Input::Timeout`]; the others mean nothing to it.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Heard { from, bytes } if self.voters.contains(&from) => {
                if let Some(envelope) = Envelope::read(bytes) {
                    self.hear(now, envelope.word, out);
                }
            }
            // No answer, or nothing new for a while: another is asked.
            Input::Timeout if now >= self.wake && self.until.is_none_or(|until| now < until) => {
                self.asked = (self.asked + 1) % self.voters.len().max(1);
                self.pull(now, out);
            }
            _ => {}
        }
    }

    pub(crate) fn hear(&mut self, now: Micros, word: Word, out: &mut Vec<Output>) {
        match word {
            // A late or repeated word starts elsewhere.
            Word::Learn { after, upto, commands } if after == self.after && upto > after => {
                for (index, command) in commands {
                    if index > self.after && index <= upto {
                        self.after = index;
                        out.push(Output::Decided { index, command });
                    }
                }
                self.after = upto;
                self.pull(now, out);
            }
            Word::LearnSnapshot(kept) if kept.at.index > self.after => {
                self.after = kept.at.index;
                out.push(Output::Restore { index: self.after, bytes: kept.bytes });
                self.pull(now, out);
            }
            _ => {}
        }
    }

    fn pull(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.wake = now.saturating_add(self.timing.tick.saturating_mul(self.timing.heartbeat as Micros));
        let Some(to) = self.voters.get(self.asked).copied() else { return };
        if let Some(bytes) = Envelope::write(0, Word::Pull { after: self.after }) {
            out.push(Output::Tell { to, bytes });
        }
    }
}
