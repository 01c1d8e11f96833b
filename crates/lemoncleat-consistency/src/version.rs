//! The digest of everything that determines a decision.

use std::fmt;
use std::sync::OnceLock;

use lemoncleat::{DedupGroup, Effect, Membership, Settings, SOURCES};
use serde::{Deserialize, Serialize};

/// A BLAKE3 digest, 32 bytes.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Returns the digest of these bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(*blake3::hash(bytes).as_bytes())
    }

    /// Returns its first eight bytes, for random seeds.
    pub fn seed(&self) -> u64 {
        self.0.iter().take(8).fold(0, |seed, &byte| seed << 8 | u64::from(byte))
    }
}

/// Prints the first eight bytes in hex, enough to distinguish versions in a log.
impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.seed())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// An entry of the numbering plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanEntry {
    /// The prefix that the entry applies to.
    pub prefix: String,
    /// Index of the class among [`Settings::classes`].
    pub class: usize,
    /// Number of the preferred pool.
    pub pool: i64,
}

/// Everything that determines a decision, except the inputs of a running node.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The numbering plan, in any order.
    pub plan: Vec<PlanEntry>,
}

impl Rules {
    /// Returns the version of these rules with the module of this build.
    pub fn version(&self) -> Digest {
        let mut hasher = blake3::Hasher::new_derive_key("lemoncleat rules 1");
        hasher.update(&self.settings_digest().0).update(&self.plan_digest().0);
        hasher.update(&sources_digest().0);
        Digest(*hasher.finalize().as_bytes())
    }

    /// Returns the digest of the numbering plan alone.
    pub fn plan_digest(&self) -> Digest {
        let mut plan = self.plan.clone();
        plan.sort();
        let mut hasher = blake3::Hasher::new_derive_key("lemoncleat plan 1");
        for PlanEntry { prefix, class, pool } in &plan {
            hash_bytes(&mut hasher, prefix.as_bytes());
            hash_integer(&mut hasher, *class as i64);
            hash_integer(&mut hasher, *pool);
        }
        Digest(*hasher.finalize().as_bytes())
    }

    /// Returns the digest of the settings alone. `own_number` is left out: it identifies the node and is an
    /// input of its decisions (its turns at cold servers), as its seed is. Generated cases are played with
    /// number 0.
    pub fn settings_digest(&self) -> Digest {
        // Destructured by field, so that the compiler reports a new field that is missing here.
        let Settings {
            classes,
            balancers,
            own_number: _,
            home,
            repeat,
            release,
            tells_wait,
            membership,
            max_attempts,
            max_retry_hint,
            may_cancel,
            may_probe,
            may_tell,
            cold_from,
            cold_span,
            fall_multiple,
            fall_span,
            resolution,
        } = &self.settings;
        let mut hasher = blake3::Hasher::new_derive_key("lemoncleat settings 1");
        let h = &mut hasher;
        hash_integer(h, classes.len() as i64);
        for class in classes {
            let lemoncleat::Class {
                aim,
                deadline,
                worth,
                late_worth,
                length,
                effect,
                dedup_group,
                dedup_window,
                allowed,
            } = class;
            [*aim, *deadline, *length, *dedup_window].into_iter().for_each(|span| hash_integer(h, span));
            [*worth, *late_worth].into_iter().for_each(|share| hash_float(h, share));
            let effect = match effect {
                Effect::Safe => 0,
                Effect::Dedup => 1,
                Effect::Fragile => 2,
            };
            let group = match dedup_group {
                DedupGroup::All => 0,
                DedupGroup::Zone => 1,
                DedupGroup::Cell => 2,
            };
            hash_integer(h, effect);
            hash_integer(h, group);
            match allowed {
                None => hash_integer(h, -1),
                Some(pools) => {
                    // The pools are a set: their order does not affect decisions.
                    let mut pools = pools.clone();
                    pools.sort_unstable();
                    pools.dedup();
                    hash_integer(h, pools.len() as i64);
                    pools.into_iter().for_each(|pool| hash_integer(h, pool));
                }
            }
        }
        let membership = match membership {
            Membership::Automatic => 0,
            Membership::Subscribe => 1,
        };
        for maybe in [home, max_retry_hint] {
            hash_integer(h, i64::from(maybe.is_some()));
            hash_integer(h, maybe.unwrap_or(0));
        }
        let counts = [i64::from(*balancers), membership, i64::from(*max_attempts)];
        let spans = [*repeat, *release, *cold_span, *fall_span, *resolution];
        let flags = [*tells_wait, *may_cancel, *may_probe, *may_tell].map(i64::from);
        counts.into_iter().chain(spans).chain(flags).for_each(|one| hash_integer(h, one));
        [*cold_from, *fall_multiple].into_iter().for_each(|share| hash_float(h, share));
        Digest(*hasher.finalize().as_bytes())
    }
}

/// Returns the digest of the module's sources in this build.
fn sources_digest() -> Digest {
    static SOURCES_DIGEST: OnceLock<Digest> = OnceLock::new();
    *SOURCES_DIGEST.get_or_init(|| {
        let mut hasher = blake3::Hasher::new_derive_key("lemoncleat sources 1");
        for (name, text) in SOURCES {
            hash_bytes(&mut hasher, name.as_bytes());
            // A checkout with different line endings is the same source.
            hash_bytes(&mut hasher, text.replace("\r\n", "\n").as_bytes());
        }
        Digest(*hasher.finalize().as_bytes())
    })
}

/// Returns a fingerprint of `exp`, the only function of the module that a platform's mathematics library
/// computes. Two nodes with different fingerprints may decide differently from the same rules because of the
/// last bit of an estimate. The fingerprint is not part of the version, because a processor with wrong
/// results would then only appear as another version; it is reported with a difference as the likely cause.
pub fn arithmetic_fingerprint() -> u32 {
    let mut hasher = blake3::Hasher::new();
    for step in 0..512 {
        // `black_box` prevents evaluation at build time, which would use the compiler's library.
        let x = std::hint::black_box(-f64::from(step) * 0.037_109_375);
        hasher.update(&x.exp().to_bits().to_le_bytes());
    }
    Digest(*hasher.finalize().as_bytes()).seed() as u32
}

fn hash_bytes(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes()).update(bytes);
}

fn hash_integer(hasher: &mut blake3::Hasher, value: i64) {
    hasher.update(&value.to_le_bytes());
}

fn hash_float(hasher: &mut blake3::Hasher, value: f64) {
    // Negative zero leads to the same decisions as zero.
    hasher.update(&(if value == 0.0 { 0.0 } else { value }).to_bits().to_le_bytes());
}
