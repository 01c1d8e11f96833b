//! Dual seizure (Q.764 section 2.9.1): which end yields, and how the call that yielded is retried. The
//! functions only decide; the caller acts.

use rand::rngs::SmallRng;
use rand::Rng;

use crate::{CircuitId, Micros};

/// The circuits that an end controls. At a dual seizure the call of the controlling end proceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Control {
    /// The even-numbered circuits.
    Even,
    /// The odd-numbered circuits.
    Odd,
}

impl Control {
    /// Returns the control of the end named `own`. By Q.764 section 2.9.1.4 the end with the higher
    /// signalling point code controls the even circuits; the Origin-Hosts, compared as octets, stand in for
    /// point codes.
    pub fn by_identity(own: &str, other: &str) -> Control {
        if own.as_bytes() > other.as_bytes() {
            Control::Even
        } else {
            Control::Odd
        }
    }

    /// Returns whether an end with this control controls `circuit`.
    pub fn controls(self, circuit: CircuitId) -> bool {
        circuit % 2 == self.parity()
    }

    /// Returns the parity of the controlled circuits: 0 for even, 1 for odd.
    pub fn parity(self) -> u32 {
        match self {
            Control::Even => 0,
            Control::Odd => 1,
        }
    }

    /// Returns the control that the other end must have.
    pub fn opposite(self) -> Control {
        match self {
            Control::Even => Control::Odd,
            Control::Odd => Control::Even,
        }
    }
}

/// How often, and after which delays, a call that yielded is retried on another circuit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Repeats {
    /// Maximum number of retries of one call.
    pub most: u32,
    /// Upper bound of the delay after the second dual seizure of a call; it doubles with each further one.
    pub first_wait: Micros,
}

impl Default for Repeats {
    fn default() -> Self {
        Repeats { most: 4, first_wait: 5_000 }
    }
}

/// How a call that yielded proceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Seize another circuit at once, in the configured order.
    Again,
    /// Seize another circuit after this delay, far from those that the other end selects.
    Away(Micros),
    /// Give up; the call is treated as if the group had no idle circuit.
    GiveUp,
}

/// Decides how a call proceeds that has yielded `yields` times and has `left` microseconds until its
/// deadline.
///
/// The first retry is immediate (the automatic repeat attempt of Q.764). If that collides as well, both ends
/// are selecting in lockstep; later retries select from the other side of the order after a random delay to
/// desynchronise them.
pub fn after_yield(yields: u32, left: Micros, repeats: Repeats, rng: &mut SmallRng) -> Next {
    if yields == 0 || yields > repeats.most || left <= 0 {
        return Next::GiveUp;
    }
    if yields == 1 {
        return Next::Again;
    }
    let max_wait = repeats.first_wait.saturating_mul(1 << (yields - 2).min(20)).max(1);
    let wait = rng.random_range(0..=max_wait);
    if wait >= left {
        Next::GiveUp
    } else {
        Next::Away(wait)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn exactly_one_end_controls_each_circuit() {
        let (a, b) =
            (Control::by_identity("a.example", "b.example"), Control::by_identity("b.example", "a.example"));
        assert_eq!(a.opposite(), b);
        for circuit in 0..10 {
            assert!(a.controls(circuit) != b.controls(circuit));
        }
    }

    #[test]
    fn retries_are_bounded_in_number_and_time_and_randomly_delayed() {
        let mut rng = SmallRng::seed_from_u64(1);
        let repeats = Repeats::default();
        assert_eq!(after_yield(1, 1_000, repeats, &mut rng), Next::Again);
        assert_eq!(after_yield(5, 1_000_000, repeats, &mut rng), Next::GiveUp);
        assert_eq!(after_yield(1, 0, repeats, &mut rng), Next::GiveUp);
        let mut waits = Vec::new();
        for _ in 0..100 {
            match after_yield(4, 1_000_000, repeats, &mut rng) {
                Next::Away(wait) => waits.push(wait),
                other => panic!("{other:?}"),
            }
        }
        waits.sort_unstable();
        assert!(waits[0] < 4_000 && waits[99] > 16_000 && waits[99] <= 20_000, "{waits:?}");
    }
}
