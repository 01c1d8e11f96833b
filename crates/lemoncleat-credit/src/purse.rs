//! The grants of one customer that a node holds.

use std::collections::{BTreeMap, BTreeSet};

use crate::{is_planted, Charge, Micros, Units, MAX_CHARGES, SECOND};

/// Maximum number of grants held for one customer.
pub(crate) const MAX_HELD_GRANTS: usize = 64;

/// A grant held by this node.
#[derive(Clone, Debug)]
pub(crate) struct HeldGrant {
    pub units: Units,
    pub spent: Units,
    pub reserved: Units,
    /// Units returned so far, and the number of returns.
    pub returned: Units,
    pub returns: u32,
    /// Time from which nothing more is spent from it.
    pub valid_until: Micros,
    /// Whether it is the node's own overdraft rather than a grant of the ledger.
    pub is_overdraft: bool,
    charges: BTreeMap<u64, Units>,
}

impl HeldGrant {
    pub fn new(units: Units, valid_until: Micros, is_overdraft: bool) -> HeldGrant {
        HeldGrant {
            units,
            spent: 0,
            reserved: 0,
            returned: 0,
            returns: 0,
            valid_until,
            is_overdraft,
            charges: BTreeMap::new(),
        }
    }

    /// Returns the units that can still be reserved.
    pub fn available(&self) -> Units {
        let used = self.spent.saturating_add(self.returned);
        let reserved = if is_planted!(ReturnReserved) { 0 } else { self.reserved };
        self.units.saturating_sub(used).saturating_sub(reserved)
    }

    /// Charges `spent` of the reserved units to the call and releases the rest.
    pub fn charge(&mut self, call: u64, reserved: Units, spent: Units) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent = self.spent.saturating_add(spent);
        if spent > 0 && (self.charges.len() < MAX_CHARGES || self.charges.contains_key(&call)) {
            *self.charges.entry(call).or_default() += spent;
        }
    }

    pub fn charges(&self) -> Vec<Charge> {
        self.charges.iter().map(|(call, units)| Charge { call: *call, units: *units }).collect()
    }
}

/// All grants of one customer, and the calls that wait for more.
#[derive(Clone, Debug)]
pub(crate) struct CustomerGrants {
    pub held: BTreeMap<u64, HeldGrant>,
    /// Time of the open request.
    pub requested_at: Option<Micros>,
    /// Calls to be set up for which no units are available yet, in order, with the units that each needs.
    pub waiting: BTreeMap<(Micros, u64), Units>,
    /// Standing calls that need more units, by the end of their paid time.
    pub short_calls: BTreeSet<(Micros, u64)>,
    pub level: u8,
    pub min_unmet: Units,
    pub closed: bool,
    /// Minimum useful amount of the open request.
    pub requested_min: Units,
    /// Units that the last call needed at its set-up.
    pub set_up_cost: Units,
    /// Units spent per second, averaged over the last windows.
    pub spending_rate: Units,
    window_start: Micros,
    spent_in_window: Units,
}

impl Default for CustomerGrants {
    fn default() -> CustomerGrants {
        CustomerGrants {
            held: BTreeMap::new(),
            requested_at: None,
            waiting: BTreeMap::new(),
            short_calls: BTreeSet::new(),
            level: 16,
            min_unmet: 0,
            closed: false,
            requested_min: 0,
            set_up_cost: 0,
            spending_rate: 0,
            window_start: Micros::MIN,
            spent_in_window: 0,
        }
    }
}

impl CustomerGrants {
    /// Reserves units from the grant that ends first among those valid until `until`.
    pub fn reserve(&mut self, units: Units, until: Micros) -> Option<u64> {
        let is_valid = |held: &HeldGrant| held.valid_until >= until || is_planted!(IgnoreStop);
        let fits = |(_, held): &(&u64, &mut HeldGrant)| is_valid(held) && held.available() >= units;
        let (grant, held) =
            self.held.iter_mut().filter(fits).min_by_key(|(grant, held)| (held.valid_until, **grant))?;
        held.reserved += units;
        self.spent_in_window = self.spent_in_window.saturating_add(units);
        Some(*grant)
    }

    /// Returns the largest available amount in a single grant that is valid until `until`.
    pub fn largest_available(&self, until: Micros) -> Units {
        let is_valid = |held: &&HeldGrant| held.valid_until >= until || is_planted!(IgnoreStop);
        self.held.values().filter(is_valid).map(HeldGrant::available).max().unwrap_or(0)
    }

    /// Returns the total available amount of the grants that are valid until `until`.
    pub fn available(&self, until: Micros) -> Units {
        let valid = self.held.values().filter(|held| held.valid_until >= until);
        valid.map(HeldGrant::available).fold(0, Units::saturating_add)
    }

    /// Updates the spending rate; returns the time of the next update.
    pub fn update_rate(&mut self, now: Micros) -> Option<Micros> {
        // If the clock was set back, the window starts again.
        self.window_start = self.window_start.min(now);
        if now >= self.window_start.saturating_add(SECOND) {
            // After a gap the old rate is not representative.
            self.spending_rate = if now >= self.window_start.saturating_add(8 * SECOND) {
                self.spent_in_window
            } else {
                (self.spending_rate / 2).saturating_add(self.spent_in_window.div_ceil(2))
            };
            self.spent_in_window = 0;
            self.window_start = now;
        }
        (self.spending_rate > 0 || self.spent_in_window > 0).then(|| self.window_start.saturating_add(SECOND))
    }
}
