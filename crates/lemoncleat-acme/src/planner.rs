//! Plans certificate renewals. Pure functions: no clock, no files, no network.
//!
//! Times are seconds since 1970, as in certificates.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Seconds since 1970, or a duration in seconds.
pub type Seconds = i64;

/// The validity period of a certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// Start of validity, inclusive.
    pub from: Seconds,
    /// End of validity, exclusive.
    pub until: Seconds,
}

impl Validity {
    /// Returns whether the certificate is valid at this time.
    pub fn holds(&self, now: Seconds) -> bool {
        self.from <= now && now < self.until
    }
}

/// Renewal policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Fraction of its lifetime after which a certificate is renewed.
    pub share: f64,
    /// Fraction of its lifetime over which the nodes of a fleet spread their renewals.
    pub spread: f64,
    /// Back-off after the first failure; doubles with each further failure.
    pub first_wait: Seconds,
    /// Maximum back-off between attempts.
    pub most_wait: Seconds,
    /// Near expiry, no back-off is longer than the remaining lifetime divided by this.
    pub tighten: Seconds,
    /// Minimum back-off between attempts, however near expiry is.
    pub least_wait: Seconds,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            share: 2.0 / 3.0,
            spread: 0.1,
            first_wait: 60,
            most_wait: 6 * 3600,
            tighten: 8,
            least_wait: 10,
        }
    }
}

/// The inputs of a renewal decision.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Situation {
    /// The newest certificate, if there is one.
    pub newest: Option<Validity>,
    /// The window that the authority suggests (RFC 9773).
    pub suggested: Option<(Seconds, Seconds)>,
    /// Failures in a row since the last success.
    pub failures: u32,
    /// Time of the last failure.
    pub failed_at: Seconds,
    /// The authority asked for no request before this time (Retry-After).
    pub not_before: Option<Seconds>,
}

/// Seed that differs between nodes renewing the same kind of certificate, so that their renewals are spread.
pub type NodeSeed = u64;

/// Returns when the next attempt is due; a time that is not in the future means now.
///
/// Without a certificate the attempt is due at once. Otherwise a time is drawn for this node from the window
/// that the authority suggests, or from the spread around the policy's fraction of the lifetime. After
/// failures the back-off doubles, with jitter, and is shortened near expiry, but Retry-After is always
/// honoured.
pub fn next_try(situation: &Situation, policy: &Policy, seed: NodeSeed) -> Seconds {
    let planned = match situation.newest {
        None => Seconds::MIN,
        Some(validity) => {
            let life = (validity.until - validity.from).max(1);
            // Seeded by the certificate, so that repeated calls return the same time.
            let mut rng = SmallRng::seed_from_u64(seed ^ (validity.from as u64).rotate_left(32));
            let draw: f64 = rng.random();
            match situation.suggested.filter(|(from, to)| from < to) {
                Some((from, to)) => from + ((to - from) as f64 * draw) as Seconds,
                None => {
                    let share = policy.share + policy.spread * (draw - 0.5);
                    validity.from + (life as f64 * share.clamp(0.0, 0.95)) as Seconds
                }
            }
        }
    };
    let mut due = planned;
    if situation.failures > 0 {
        let doubled =
            policy.first_wait.saturating_mul(1 << (situation.failures - 1).min(30)).min(policy.most_wait);
        let left = situation.newest.map_or(0, |validity| (validity.until - situation.failed_at).max(0));
        let expiry_limit =
            if left > 0 { (left / policy.tighten.max(1)).max(policy.least_wait) } else { doubled };
        let longest = doubled.min(expiry_limit).max(policy.least_wait);
        let mut rng =
            SmallRng::seed_from_u64(seed ^ u64::from(situation.failures) ^ situation.failed_at as u64);
        let wait = longest - rng.random_range(0..=longest / 4);
        due = due.max(situation.failed_at + wait);
    }
    due.max(situation.not_before.unwrap_or(Seconds::MIN))
}

/// Returns the index of the certificate to present in new handshakes: the valid one that expires last.
/// Returns `None` if none is valid: an expired certificate is never presented.
pub fn present(certificates: &[Validity], now: Seconds) -> Option<usize> {
    let valid = certificates.iter().enumerate().filter(|(_, validity)| validity.holds(now));
    valid.max_by_key(|(_, validity)| validity.until).map(|(index, _)| index)
}

#[cfg(test)]
mod tests {
    use super::*;

    const DAY: Seconds = 86_400;

    fn at(newest: Validity) -> Situation {
        Situation { newest: Some(newest), ..Situation::default() }
    }

    #[test]
    fn renewal_is_due_at_once_without_certificate_and_near_two_thirds_of_lifetime_with_one() {
        let policy = Policy::default();
        assert_eq!(next_try(&Situation::default(), &policy, 1), Seconds::MIN);
        let validity = Validity { from: 1_000, until: 1_000 + 90 * DAY };
        for seed in 0..200 {
            let due = next_try(&at(validity), &policy, seed);
            assert!((1_000 + 55 * DAY..1_000 + 65 * DAY).contains(&due));
            assert_eq!(due, next_try(&at(validity), &policy, seed), "repeated calls return the same time");
        }
    }

    #[test]
    fn renewal_falls_within_suggested_window() {
        let validity = Validity { from: 0, until: 90 * DAY };
        let situation = Situation { suggested: Some((20 * DAY, 21 * DAY)), ..at(validity) };
        let dues: Vec<Seconds> =
            (0..500).map(|seed| next_try(&situation, &Policy::default(), seed)).collect();
        assert!(dues.iter().all(|due| (20 * DAY..21 * DAY).contains(due)));
        let first_half = dues.iter().filter(|due| **due < 20 * DAY + DAY / 2).count();
        assert!(
            (200..300).contains(&first_half),
            "times are spread over the whole window: {first_half} in its first half"
        );
    }

    #[test]
    fn renewals_of_1000_nodes_are_spread() {
        let validity = Validity { from: 0, until: 90 * DAY };
        let mut hours = std::collections::BTreeMap::new();
        for seed in 0..1_000 {
            *hours.entry(next_try(&at(validity), &Policy::default(), seed) / 3_600).or_insert(0) += 1;
        }
        let busiest = hours.values().max().copied().unwrap_or(0);
        assert!(busiest < 25, "of 1,000 in about 216 hours, {busiest} in one; a fixed date has all in one");
    }

    #[test]
    fn backoff_grows_with_failures_but_never_passes_expiry() {
        let policy = Policy::default();
        let validity = Validity { from: 0, until: 90 * DAY };
        let mut waits = Vec::new();
        for failures in 1..12 {
            let failed_at = 61 * DAY;
            let situation = Situation { failures, failed_at, ..at(validity) };
            waits.push(next_try(&situation, &policy, 3) - failed_at);
        }
        assert!(waits[0] <= 60 && waits.windows(2).all(|pair| pair[1] as f64 > pair[0] as f64 * 0.7));
        assert!(*waits.last().expect("some") > 4 * 3_600);
        // The authority is unreachable until expiry: the last attempt must come shortly before it.
        let (mut now, mut failures, mut tries) = (60 * DAY, 0, 0);
        loop {
            let situation = Situation { failures, failed_at: now, ..at(validity) };
            let due = next_try(&situation, &policy, 3).max(now + 1);
            if due >= validity.until {
                break;
            }
            (now, failures, tries) = (due, failures + 1, tries + 1);
        }
        assert!(validity.until - now <= 15, "the last try is {} s before expiry", validity.until - now);
        assert!(tries < 400, "{tries} tries in thirty days");
    }

    #[test]
    fn retry_after_is_honoured_even_near_expiry() {
        let validity = Validity { from: 0, until: 1_000 };
        let situation = Situation { failures: 3, failed_at: 950, not_before: Some(990), ..at(validity) };
        assert_eq!(next_try(&situation, &Policy::default(), 1), 990);
    }

    #[test]
    fn expired_or_not_yet_valid_certificate_is_not_presented() {
        let all = [
            Validity { from: 0, until: 100 },
            Validity { from: 50, until: 200 },
            Validity { from: 150, until: 400 },
        ];
        assert_eq!(present(&all, 60), Some(1));
        assert_eq!(present(&all, 160), Some(2));
        assert_eq!(present(&all, 400), None);
        assert_eq!(present(&all, -1), None);
        assert_eq!(present(&all[..1], 100), None, "the end of validity is exclusive");
    }
}
