//! Seeded numbers (SplitMix64).

use serde::{Deserialize, Serialize};

/// Numbers of its own for each seed.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Random(u64);

const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(seed)
    }

    /// A number from 0 to 1 that this seed, and no other, gives to `mark`.
    pub(crate) fn draw(&self, mark: u64) -> f64 {
        let mut bits = self.0 ^ mark.wrapping_mul(STEP);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
