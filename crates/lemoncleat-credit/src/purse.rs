//! What a node holds of one customer's money.

use std::collections::{BTreeMap, BTreeSet};

use crate::{is_planted, Charge, Micros, Units, MOST_CHARGES, SECOND};

/// Most grants held for one customer.
pub(crate) const MOST_HELD: usize = 64;

/// A grant in hand.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub units: Units,
    pub spent: Units,
    pub reserved: Units,
    /// Given back so far, and in how many parts.
    pub given: Units,
    pub part: u32,
    /// Nothing is spent of it from here on.
    pub stop: Micros,
    /// The node's own overdraft, not the ledger's grant.
    pub own: bool,
    charges: BTreeMap<u64, Units>,
}

impl Held {
    pub fn new(units: Units, stop: Micros, own: bool) -> Held {
        Held { units, spent: 0, reserved: 0, given: 0, part: 0, stop, own, charges: BTreeMap::new() }
    }

    /// What may still be reserved.
    pub fn room(&self) -> Units {
        let gone = self.spent.saturating_add(self.given);
        let reserved = if is_planted!(ReturnReserved) { 0 } else { self.reserved };
        self.units.saturating_sub(gone).saturating_sub(reserved)
    }

    /// Of what was reserved, so much is spent for the call and the rest is free again.
    pub fn charge(&mut self, call: u64, reserved: Units, spent: Units) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent = self.spent.saturating_add(spent);
        if spent > 0 && (self.charges.len() < MOST_CHARGES || self.charges.contains_key(&call)) {
            *self.charges.entry(call).or_default() += spent;
        }
    }

    pub fn charges(&self) -> Vec<Charge> {
        self.charges.iter().map(|(call, units)| Charge { call: *call, units: *units }).collect()
    }
}

/// All grants of one customer, and who waits for more.
#[derive(Clone, Debug)]
pub(crate) struct Purse {
    pub held: BTreeMap<u64, Held>,
    /// When the open wish was made.
    pub asked: Option<Micros>,
    /// Calls to be set up for which there is no money yet, in order, with what each needs.
    pub waiting: BTreeMap<(Micros, u64), Units>,
    /// Standing calls that need more, by when what they paid for is over.
    pub starving: BTreeSet<(Micros, u64)>,
    pub level: u8,
    pub dry: Units,
    pub closed: bool,
    /// The least that the open wish could use.
    pub least: Units,
    /// What the last call needed at its set-up.
    pub usual: Units,
    /// Units a second, of the last windows.
    pub rate: Units,
    window: Micros,
    in_window: Units,
}

impl Default for Purse {
    fn default() -> Purse {
        Purse {
            held: BTreeMap::new(),
            asked: None,
            waiting: BTreeMap::new(),
            starving: BTreeSet::new(),
            level: 16,
            dry: 0,
            closed: false,
            least: 0,
            usual: 0,
            rate: 0,
            window: Micros::MIN,
            in_window: 0,
        }
    }
}

impl Purse {
    /// Reserves from the grant that ends first of those that last until `until`.
    pub fn reserve(&mut self, units: Units, until: Micros) -> Option<u64> {
        let stops = |held: &Held| held.stop >= until || is_planted!(IgnoreStop);
        let fits = |(_, held): &(&u64, &mut Held)| stops(held) && held.room() >= units;
        let (grant, held) =
            self.held.iter_mut().filter(fits).min_by_key(|(grant, held)| (held.stop, **grant))?;
        held.reserved += units;
        self.in_window = self.in_window.saturating_add(units);
        Some(*grant)
    }

    /// The most that one grant which lasts until `until` has.
    pub fn most(&self, until: Micros) -> Units {
        let lasts = |held: &&Held| held.stop >= until || is_planted!(IgnoreStop);
        self.held.values().filter(lasts).map(Held::room).max().unwrap_or(0)
    }

    /// What grants that last until `until` have.
    pub fn room(&self, until: Micros) -> Units {
        let lasting = self.held.values().filter(|held| held.stop >= until);
        lasting.map(Held::room).fold(0, Units::saturating_add)
    }

    /// Keeps the rate of spending; says when it wants to be asked again.
    pub fn roll(&mut self, now: Micros) -> Option<Micros> {
        // A clock that was set back begins a window anew.
        self.window = self.window.min(now);
        if now >= self.window.saturating_add(SECOND) {
            // After a gap the old rate says little.
            self.rate = if now >= self.window.saturating_add(8 * SECOND) {
                self.in_window
            } else {
                (self.rate / 2).saturating_add(self.in_window.div_ceil(2))
            };
            self.in_window = 0;
            self.window = now;
        }
        (self.rate > 0 || self.in_window > 0).then(|| self.window.saturating_add(SECOND))
    }
}
