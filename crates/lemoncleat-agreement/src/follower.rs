//! A node that is not a voter learns what was decided by polling one voter after another.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::message::{Envelope, Payload};
use crate::{Input, Micros, Output, Timing};

/// Learns the decided commands from any voter, in order and each once.
pub struct Follower {
    voters: Vec<u64>,
    timing: Timing,
    polled: usize,
    learned: u64,
    wake: Micros,
    /// Polling stops at this time; none: it never stops.
    until: Option<Micros>,
}

impl Follower {
    /// Returns a follower that has learned nothing. `own` is its number; it never polls itself.
    pub fn new(own: u64, voters: &[u64], timing: Timing, seed: u64) -> Follower {
        let voters: Vec<u64> = voters.iter().copied().filter(|voter| *voter != own).collect();
        let polled = SmallRng::seed_from_u64(seed).random_range(0..voters.len().max(1));
        Follower { voters, timing, polled, learned: 0, wake: 0, until: None }
    }

    /// Returns the last index that it has learned.
    pub fn index(&self) -> u64 {
        self.learned
    }

    /// Returns the time at which it needs [`Input::Timeout`].
    pub fn wake(&self) -> Option<Micros> {
        Some(self.wake).filter(|wake| self.until.is_none_or(|until| *wake < until))
    }

    /// Polls the voters only before this time, from the next [`Input::Timeout`] on; without this call it
    /// polls for ever. Commands decided in between are learned when it polls again.
    pub fn poll_until(&mut self, until: Micros) {
        self.until = Some(until);
    }

    /// Handles [`Input::Received`] and [`Input::Timeout`]; other inputs are ignored.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Received { from, bytes } if self.voters.contains(&from) => {
                if let Some(envelope) = Envelope::decode(bytes) {
                    self.handle_payload(now, envelope.payload, out);
                }
            }
            // No answer, or nothing new for a while: the next voter is polled.
            Input::Timeout if now >= self.wake && self.until.is_none_or(|until| now < until) => {
                self.polled = (self.polled + 1) % self.voters.len().max(1);
                self.poll(now, out);
            }
            _ => {}
        }
    }

    pub(crate) fn handle_payload(&mut self, now: Micros, payload: Payload, out: &mut Vec<Output>) {
        match payload {
            // A late or repeated message starts at a different index and is ignored.
            Payload::Decided { after, upto, commands } if after == self.learned && upto > after => {
                for (index, command) in commands {
                    if index > self.learned && index <= upto {
                        self.learned = index;
                        out.push(Output::Decided { index, command });
                    }
                }
                self.learned = upto;
                self.poll(now, out);
            }
            Payload::DecidedSnapshot(kept) if kept.at.index > self.learned => {
                self.learned = kept.at.index;
                out.push(Output::Restore { index: self.learned, bytes: kept.bytes });
                self.poll(now, out);
            }
            _ => {}
        }
    }

    fn poll(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.wake = now.saturating_add(self.timing.tick.saturating_mul(self.timing.heartbeat as Micros));
        let Some(to) = self.voters.get(self.polled).copied() else { return };
        if let Some(bytes) = Envelope::encode(0, Payload::FetchDecided { after: self.learned }) {
            out.push(Output::Send { to, bytes });
        }
    }
}
