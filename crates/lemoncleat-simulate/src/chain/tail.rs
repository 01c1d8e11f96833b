//! Latency that a chain of hops adds, computed from a histogram of one hop.

use serde::Serialize;

/// Quantiles in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
    /// 999 in 1,000 are at most this.
    pub p999: f64,
}

/// Latency that a chain of hops adds; in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ChainLatency {
    /// Hops of the chain.
    pub hops: u32,
    /// Latency of one hop.
    pub hop: Quantiles,
    /// Latency of the chain if hops are independent (convolution).
    pub independent: Quantiles,
    /// Latency of the chain if all hops of a call are slow together: each at the same quantile.
    pub together: Quantiles,
    /// 99 in 100 chains are at most this, however the hops depend on one another.
    pub p99_bound: f64,
    /// Share of the chains over the target if hops are independent.
    pub over: f64,
}

fn quantile(sorted: &[(u64, f64)], share: f64) -> f64 {
    let all: f64 = sorted.iter().map(|&(_, weight)| weight).sum();
    let mut seen = 0.0;
    for &(value, weight) in sorted {
        seen += weight;
        if seen >= share * all * (1.0 - 1e-12) {
            return value as f64;
        }
    }
    sorted.last().map_or(0.0, |&(value, _)| value as f64)
}

fn quantiles(sorted: &[(u64, f64)], unit: f64) -> Quantiles {
    let all: f64 = sorted.iter().map(|&(_, weight)| weight).sum();
    let mean = sorted.iter().map(|&(value, weight)| value as f64 * weight).sum::<f64>() / all.max(1e-300);
    let at = |share| quantile(sorted, share) * unit;
    Quantiles { mean: mean * unit, p50: at(0.5), p99: at(0.99), p999: at(0.999) }
}

/// Computes the latency of a chain of `hops` hops from pairs of value in nanoseconds and count, against a
/// target in microseconds. Values are rounded up to whole bins of `bin` nanoseconds, so that sums are never
/// too small; a sum is too large by at most one bin for each hop.
pub fn chain_latency(hop: &[(u64, u64)], hops: u32, bin: u64, target: f64) -> ChainLatency {
    let bin = bin.max(1);
    let mut bins = std::collections::BTreeMap::new();
    let all: u64 = hop.iter().map(|&(_, count)| count).sum();
    for &(value, count) in hop {
        *bins.entry(value.div_ceil(bin)).or_insert(0.0) += count as f64 / all.max(1) as f64;
    }
    let hop_weights: Vec<(u64, f64)> = bins.into_iter().collect();
    let Some(&(top, _)) = hop_weights.last() else { return ChainLatency { hops, ..ChainLatency::default() } };
    let mut sums = vec![1.0];
    for _ in 0..hops {
        let mut next = vec![0.0; sums.len() + top as usize];
        for &(value, weight) in &hop_weights {
            for (at, &share) in sums.iter().enumerate().filter(|(_, &share)| share > 0.0) {
                next[at + value as usize] += share * weight;
            }
        }
        sums = next;
    }
    let sorted: Vec<(u64, f64)> = sums
        .into_iter()
        .enumerate()
        .map(|(at, weight)| (at as u64, weight))
        .filter(|one| one.1 > 0.0)
        .collect();
    let unit = bin as f64 / 1e3;
    let single = quantiles(&hop_weights, unit);
    let many = f64::from(hops);
    let over =
        sorted.iter().filter(|&&(value, _)| value as f64 * unit > target).map(|&(_, weight)| weight).sum();
    ChainLatency {
        hops,
        hop: single,
        independent: quantiles(&sorted, unit),
        together: Quantiles {
            mean: many * single.mean,
            p50: many * single.p50,
            p99: many * single.p99,
            p999: many * single.p999,
        },
        // Union bound: the share of chains in which some hop is above its own quantile is at most `hops`
        // times the share of hops above it.
        p99_bound: many * quantile(&hop_weights, 1.0 - 0.01 / many.max(1.0)) * unit,
        over,
    }
}
