//! The digest of all that determines a decision.

use std::fmt;
use std::sync::OnceLock;

use lemoncleat::{DedupGroup, Effect, Membership, Settings, SOURCES};
use serde::{Deserialize, Serialize};

/// A BLAKE3 digest, 32 bytes.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(*blake3::hash(bytes).as_bytes())
    }

    /// Its first eight bytes, for random seeds.
    pub fn seed(&self) -> u64 {
        self.0.iter().take(8).fold(0, |seed, &byte| seed << 8 | u64::from(byte))
    }
}

/// The first eight bytes in hex: enough to tell versions apart in a log.
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

/// A line of the numbering plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanEntry {
    /// The prefix that it is for.
    pub prefix: String,
    /// Index of the class among [`Settings::classes`].
    pub class: usize,
    /// Number of the pool of first choice.
    pub pool: i64,
}

/// All that determines a decision, but for what a node is told while it runs.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The settings of the module, as read.
    pub settings: Settings,
    /// The numbering plan, in any order.
    pub plan: Vec<PlanEntry>,
}

impl Rules {
    /// The version of these rules with the module of this build.
    pub fn version(&self) -> Digest {
        let mut hasher = blake3::Hasher::new_derive_key("lemoncleat rules 1");
        hasher.update(&self.settings_digest().0).update(&self.plan_digest().0);
        hasher.update(&sources().0);
        Digest(*hasher.finalize().as_bytes())
    }

    /// The digest of the numbering plan alone.
    pub fn plan_digest(&self) -> Digest {
        let mut plan = self.plan.clone();
        plan.sort();
        let mut hasher = blake3::Hasher::new_derive_key("lemoncleat plan 1");
        for PlanEntry { prefix, class, pool } in &plan {
            feed(&mut hasher, prefix.as_bytes());
            number(&mut hasher, *class as i64);
            number(&mut hasher, *pool);
        }
        Digest(*hasher.finalize().as_bytes())
    }

    /// The digest of the settings alone. `own_number` is left out: it names the node, and is an
    /// input of its decisions (its turns at cold servers) as its seed is; generated cases are played under number 0.
    pub fn settings_digest(&self) -> Digest {
        // Taken apart by name, so that a new field can't be forgotten here.
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
        number(h, classes.len() as i64);
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
            [*aim, *deadline, *length, *dedup_window].into_iter().for_each(|span| number(h, span));
            [*worth, *late_worth].into_iter().for_each(|share| figure(h, share));
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
            number(h, effect);
            number(h, group);
            match allowed {
                None => number(h, -1),
                Some(pools) => {
                    // A set: its order is nothing that a decision could see.
                    let mut pools = pools.clone();
                    pools.sort_unstable();
                    pools.dedup();
                    number(h, pools.len() as i64);
                    pools.into_iter().for_each(|pool| number(h, pool));
                }
            }
        }
        let membership = match membership {
            Membership::Automatic => 0,
            Membership::Subscribe => 1,
        };
        for maybe in [home, max_retry_hint] {
            number(h, i64::from(maybe.is_some()));
            number(h, maybe.unwrap_or(0));
        }
        let counts = [i64::from(*balancers), membership, i64::from(*max_attempts)];
        let spans = [*repeat, *release, *cold_span, *fall_span, *resolution];
        let flags = [*tells_wait, *may_cancel, *may_probe, *may_tell].map(i64::from);
        counts.into_iter().chain(spans).chain(flags).for_each(|one| number(h, one));
        [*cold_from, *fall_multiple].into_iter().for_each(|share| figure(h, share));
        Digest(*hasher.finalize().as_bytes())
    }
}

/// The digest of the module's sources as this build has them.
fn sources() -> Digest {
    static SOURCES_DIGEST: OnceLock<Digest> = OnceLock::new();
    *SOURCES_DIGEST.get_or_init(|| {
        let mut hasher = blake3::Hasher::new_derive_key("lemoncleat sources 1");
        for (name, text) in SOURCES {
            feed(&mut hasher, name.as_bytes());
            // A checkout with other line ends is the same source.
            feed(&mut hasher, text.replace("\r\n", "\n").as_bytes());
        }
        Digest(*hasher.finalize().as_bytes())
    })
}

/// What this process makes of `exp`, the one function of the module that a platform's mathematics library
/// computes. Two nodes with other figures here may decide otherwise by the last bit of an estimate, from the same
/// rules: it is no part of the version, or a processor that computes wrongly would only be taken for another
/// version; it is told beside a difference, as the likely cause.
pub fn arithmetic() -> u32 {
    let mut hasher = blake3::Hasher::new();
    for step in 0..512 {
        // Not known at build time, or the compiler's own library would be asked.
        let x = std::hint::black_box(-f64::from(step) * 0.037_109_375);
        hasher.update(&x.exp().to_bits().to_le_bytes());
    }
    Digest(*hasher.finalize().as_bytes()).seed() as u32
}

fn feed(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes()).update(bytes);
}

fn number(hasher: &mut blake3::Hasher, number: i64) {
    hasher.update(&number.to_le_bytes());
}

fn figure(hasher: &mut blake3::Hasher, figure: f64) {
    // Minus zero decides as zero does.
    hasher.update(&(if figure == 0.0 { 0.0 } else { figure }).to_bits().to_le_bytes());
}
