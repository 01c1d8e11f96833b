//! Seeded pseudo-random numbers (SplitMix64).

use serde::{Deserialize, Serialize};

/// A keyed pseudo-random function: the seed and a key determine the number.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Random(u64);

const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(seed)
    }

    /// Returns a number from 0 to 1 that depends only on the seed and `key`.
    pub(crate) fn draw(&self, key: u64) -> f64 {
        let mut bits = self.0 ^ key.wrapping_mul(SPLITMIX64_INCREMENT);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
