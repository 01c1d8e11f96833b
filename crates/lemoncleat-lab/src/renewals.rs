//! Simulates a fleet's certificate renewals over months with the planner alone: the times of the nodes'
//! requests to the authority, compared with a fixed date and a fixed retry interval.

use lemoncleat_acme::planner::{next_try, Policy, Seconds, Situation, Validity};

/// A fleet whose nodes all got their certificates at the same time, which is the worst case.
#[derive(Clone, Copy, Debug)]
pub struct FleetRun {
    /// Number of nodes.
    pub nodes: u64,
    /// Lifetime of a certificate, in seconds.
    pub lifetime: Seconds,
    /// Start and end of an outage of the authority, in seconds after the start; equal for none.
    pub away: (Seconds, Seconds),
    /// Simulated time, in seconds.
    pub length: Seconds,
    /// Seed of the fleet's nodes.
    pub seed: u64,
}

/// Tries of the nodes over time, and expired certificates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetResult {
    /// Tries in each hour.
    pub hours: Vec<u32>,
    /// Most tries in one minute.
    pub busiest_minute: u32,
    /// Most tries in one minute of the first hour after the outage.
    pub busiest_minute_back: u32,
    /// Tries during the outage.
    pub in_vain: u64,
    /// Nodes that had no valid certificate for some time.
    pub bare: u64,
    /// Seconds without a valid certificate, summed over all nodes.
    pub bare_time: Seconds,
}

/// How nodes schedule renewals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetPlan {
    /// The planner: a time for each node, with retry waits that double with jitter and become shorter toward
    /// expiry.
    Planner(Policy),
    /// All nodes at two thirds of the lifetime, with a retry this many seconds after each failure.
    Fixed(Seconds),
}

/// Simulates a fleet.
pub fn fleet_run(run: &FleetRun, plan: FleetPlan) -> FleetResult {
    let minutes = usize::try_from(run.length / 60 + 1).unwrap_or(0);
    let mut per_minute = vec![0_u32; minutes];
    let (mut in_vain, mut bare, mut bare_time) = (0, 0, 0);
    for node in 0..run.nodes {
        let seed = (run.seed.wrapping_add(node)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut newest = Validity { from: 0, until: run.lifetime };
        let (mut failures, mut failed_at) = (0_u32, 0);
        let mut now = 0;
        let mut expired = false;
        loop {
            let due = match plan {
                FleetPlan::Planner(policy) => {
                    let situation =
                        Situation { newest: Some(newest), failures, failed_at, ..Situation::default() };
                    next_try(&situation, &policy, seed)
                }
                FleetPlan::Fixed(_) if failures == 0 => newest.from + (newest.until - newest.from) * 2 / 3,
                FleetPlan::Fixed(wait) => failed_at + wait,
            };
            now = due.max(now + 1);
            if now >= run.length {
                break;
            }
            if let Some(minute) = per_minute.get_mut(usize::try_from(now / 60).unwrap_or(usize::MAX)) {
                *minute += 1;
            }
            if (run.away.0..run.away.1).contains(&now) {
                in_vain += 1;
                (failures, failed_at) = (failures + 1, now);
            } else {
                if now > newest.until {
                    bare_time += now - newest.until;
                    expired = true;
                }
                newest = Validity { from: now, until: now + run.lifetime };
                failures = 0;
            }
        }
        bare += u64::from(expired);
    }
    let outage_end_minute = usize::try_from(run.away.1 / 60).unwrap_or(0);
    let busiest_after_outage = per_minute.iter().skip(outage_end_minute).take(60).copied().max().unwrap_or(0);
    FleetResult {
        hours: per_minute.chunks(60).map(|hour| hour.iter().sum()).collect(),
        busiest_minute: per_minute.iter().copied().max().unwrap_or(0),
        busiest_minute_back: if run.away.0 < run.away.1 { busiest_after_outage } else { 0 },
        in_vain,
        bare,
        bare_time,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DAY: Seconds = 86_400;

    #[test]
    fn planner_spreads_renewals_that_a_fixed_date_makes_at_once() {
        let run = FleetRun { nodes: 200, lifetime: 90 * DAY, away: (0, 0), length: 85 * DAY, seed: 1 };
        let planned = fleet_run(&run, FleetPlan::Planner(Policy::default()));
        let fixed = fleet_run(&run, FleetPlan::Fixed(3_600));
        assert_eq!((planned.hours.iter().sum::<u32>(), fixed.hours.iter().sum::<u32>()), (200, 200));
        assert_eq!(fixed.busiest_minute, 200);
        assert!(planned.busiest_minute <= 5, "{}", planned.busiest_minute);
    }

    #[test]
    fn planner_limits_tries_during_and_after_an_authority_outage() {
        let away = (55 * DAY, 75 * DAY);
        let run = FleetRun { nodes: 200, lifetime: 90 * DAY, away, length: 85 * DAY, seed: 1 };
        let planned = fleet_run(&run, FleetPlan::Planner(Policy::default()));
        let fixed = fleet_run(&run, FleetPlan::Fixed(3_600));
        assert!(planned.in_vain * 3 < fixed.in_vain, "{} and {}", planned.in_vain, fixed.in_vain);
        assert_eq!((planned.bare, fixed.bare), (0, 0), "the outage ends long before expiry");
        assert!(planned.busiest_minute_back * 10 < fixed.busiest_minute_back);
    }
}
