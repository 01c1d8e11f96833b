//! Selection of the idle circuit to seize next.
//!
//! A set of circuits is a hierarchical bitmap of 64-bit words: a set bit in an upper word means that the word
//! below it is not empty. Finding the first or last member, or the first from a given position, reads one
//! word per level (at most two for the latter): there are three levels for 100,000 circuits. The least
//! recently used order is kept in a doubly linked list stored in an array.

use crate::CircuitId;

const WORD_BITS: usize = 64;
const NO_CIRCUIT: u32 = u32::MAX;

/// The order in which an end selects idle circuits. Q.764 section 2.9.1.3 recommends orders that make the two
/// ends select different circuits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// The circuit with the lowest number.
    Lowest,
    /// The circuit with the highest number.
    Highest,
    /// The circuit that has been idle longest.
    LeastRecent,
    /// The lowest circuit that this end controls; if none of those is idle, the highest of the others.
    OwnFirst,
    /// The next idle circuit after the one selected last.
    Cyclic,
}

impl Order {
    /// All orders.
    pub const ALL: [Order; 5] =
        [Order::Lowest, Order::Highest, Order::LeastRecent, Order::OwnFirst, Order::Cyclic];
}

/// A set of small integers as a hierarchical bitmap.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BitSet {
    levels: Vec<Vec<u64>>,
}

impl BitSet {
    fn new(size: usize) -> BitSet {
        let mut levels = Vec::new();
        let mut words = size.div_ceil(WORD_BITS).max(1);
        loop {
            levels.push(vec![0; words]);
            if words == 1 {
                return BitSet { levels };
            }
            words = words.div_ceil(WORD_BITS);
        }
    }

    fn insert(&mut self, member: usize) {
        let mut index = member;
        for level in &mut self.levels {
            level[index / WORD_BITS] |= 1 << (index % WORD_BITS);
            index /= WORD_BITS;
        }
    }

    fn remove(&mut self, member: usize) {
        let mut index = member;
        for level in &mut self.levels {
            level[index / WORD_BITS] &= !(1 << (index % WORD_BITS));
            if level[index / WORD_BITS] != 0 {
                return;
            }
            index /= WORD_BITS;
        }
    }

    fn first(&self) -> Option<usize> {
        let mut index = 0;
        for level in self.levels.iter().rev() {
            let word = level[index];
            if word == 0 {
                return None;
            }
            index = index * WORD_BITS + word.trailing_zeros() as usize;
        }
        Some(index)
    }

    fn last(&self) -> Option<usize> {
        let mut index = 0;
        for level in self.levels.iter().rev() {
            let word = level[index];
            if word == 0 {
                return None;
            }
            index = index * WORD_BITS + (WORD_BITS - 1 - word.leading_zeros() as usize);
        }
        Some(index)
    }

    /// Returns the first member that is not less than `from`.
    fn next(&self, from: usize) -> Option<usize> {
        let mut index = from;
        for (depth, level) in self.levels.iter().enumerate() {
            let word = level.get(index / WORD_BITS).copied().unwrap_or(0) & (u64::MAX << (index % WORD_BITS));
            if word != 0 {
                let mut found = index / WORD_BITS * WORD_BITS + word.trailing_zeros() as usize;
                for lower_level in self.levels[..depth].iter().rev() {
                    found = found * WORD_BITS + lower_level[found].trailing_zeros() as usize;
                }
                return Some(found);
            }
            index = index / WORD_BITS + 1;
        }
        None
    }
}

/// The circuits that may be seized, in a selection order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Selector {
    order: Order,
    /// Circuits that this end controls. All circuits for orders other than [`Order::OwnFirst`], which keeps
    /// those that the other end controls in `other`.
    own: BitSet,
    other: BitSet,
    own_parity: Option<u32>,
    /// Previous and next circuit in the least recently used list; empty for other orders.
    links: Vec<(u32, u32)>,
    list_ends: (u32, u32),
    available: Vec<u64>,
    next_cyclic: usize,
    len: usize,
}

impl Selector {
    /// Creates an empty set for circuits below `size`. `own_parity` is the parity of the circuits that this
    /// end controls.
    pub fn new(order: Order, size: u32, own_parity: Option<u32>) -> Selector {
        let size = size as usize;
        let linked = if order == Order::LeastRecent { size } else { 0 };
        let split = if order == Order::OwnFirst { size } else { 0 };
        Selector {
            order,
            own: BitSet::new(size),
            other: BitSet::new(split),
            own_parity: own_parity.filter(|_| order == Order::OwnFirst),
            links: vec![(NO_CIRCUIT, NO_CIRCUIT); linked],
            list_ends: (NO_CIRCUIT, NO_CIRCUIT),
            available: vec![0; size.div_ceil(WORD_BITS)],
            next_cyclic: 0,
            len: 0,
        }
    }

    /// Returns the number of circuits that may be seized.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no circuit may be seized.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns whether `circuit` may be seized.
    pub fn contains(&self, circuit: CircuitId) -> bool {
        let index = circuit as usize;
        self.available.get(index / WORD_BITS).is_some_and(|word| word >> (index % WORD_BITS) & 1 == 1)
    }

    fn is_other(&self, circuit: CircuitId) -> bool {
        self.own_parity.is_some_and(|parity| circuit % 2 != parity)
    }

    /// Adds a circuit that has become available.
    pub fn insert(&mut self, circuit: CircuitId) {
        if self.contains(circuit) || circuit as usize / WORD_BITS >= self.available.len() {
            return;
        }
        let index = circuit as usize;
        self.available[index / WORD_BITS] |= 1 << (index % WORD_BITS);
        self.len += 1;
        if self.order == Order::LeastRecent {
            let last = self.list_ends.1;
            self.links[index] = (last, NO_CIRCUIT);
            match last {
                NO_CIRCUIT => self.list_ends.0 = circuit,
                before => self.links[before as usize].1 = circuit,
            }
            self.list_ends.1 = circuit;
        } else if self.is_other(circuit) {
            self.other.insert(index);
        } else {
            self.own.insert(index);
        }
    }

    /// Removes a circuit that is no longer idle or has been blocked.
    pub fn remove(&mut self, circuit: CircuitId) {
        if !self.contains(circuit) {
            return;
        }
        let index = circuit as usize;
        self.available[index / WORD_BITS] &= !(1 << (index % WORD_BITS));
        self.len -= 1;
        if self.order == Order::LeastRecent {
            let (before, after) = self.links[index];
            match before {
                NO_CIRCUIT => self.list_ends.0 = after,
                before => self.links[before as usize].1 = after,
            }
            match after {
                NO_CIRCUIT => self.list_ends.1 = before,
                after => self.links[after as usize].0 = before,
            }
        } else if self.is_other(circuit) {
            self.other.remove(index);
        } else {
            self.own.remove(index);
        }
    }

    /// Returns the circuit to seize next. It stays in the set until it is removed.
    pub fn choose(&mut self) -> Option<CircuitId> {
        let chosen = match self.order {
            Order::Lowest => self.own.first(),
            Order::Highest => self.own.last(),
            Order::LeastRecent => (self.list_ends.0 != NO_CIRCUIT).then_some(self.list_ends.0 as usize),
            Order::OwnFirst => self.own.first().or_else(|| self.other.last()),
            Order::Cyclic => self.own.next(self.next_cyclic).or_else(|| self.own.first()),
        }?;
        self.next_cyclic = chosen + 1;
        Some(chosen as CircuitId)
    }

    /// Returns the circuit at the opposite end of the order, which the other end is least likely to select.
    /// [`Order::OwnFirst`] already separates the ends and selects as usual.
    pub fn choose_farthest(&mut self) -> Option<CircuitId> {
        let farthest = match self.order {
            Order::Lowest | Order::Cyclic => self.own.last(),
            Order::Highest => self.own.first(),
            Order::LeastRecent => (self.list_ends.1 != NO_CIRCUIT).then_some(self.list_ends.1 as usize),
            Order::OwnFirst => return self.choose(),
        }?;
        Some(farthest as CircuitId)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Reference model that scans every circuit.
    struct LinearScan {
        order: Order,
        parity: u32,
        idle: Vec<bool>,
        idle_since: Vec<usize>,
        next_cyclic: usize,
    }

    impl LinearScan {
        fn choose(&mut self) -> Option<CircuitId> {
            let all: Vec<usize> = (0..self.idle.len()).filter(|c| self.idle[*c]).collect();
            let own = |c: &&usize| **c as u32 % 2 == self.parity;
            let chosen = match self.order {
                Order::Lowest => all.first(),
                Order::Highest => all.last(),
                Order::LeastRecent => all.iter().min_by_key(|c| self.idle_since[**c]),
                Order::OwnFirst => all.iter().find(own).or_else(|| all.last()),
                Order::Cyclic => all.iter().find(|c| **c >= self.next_cyclic).or_else(|| all.first()),
            };
            let chosen = *chosen?;
            self.next_cyclic = chosen + 1;
            Some(chosen as CircuitId)
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

        #[test]
        fn every_order_selects_as_a_linear_scan_does(
            order in proptest::sample::select(Order::ALL.to_vec()),
            size in 1u32..9000,
            parity in 0u32..2,
            steps in proptest::collection::vec((any::<bool>(), any::<u32>()), 1..200),
        ) {
            let mut selector = Selector::new(order, size, Some(parity));
            let mut reference = LinearScan {
                order,
                parity,
                idle: vec![false; size as usize],
                idle_since: vec![0; size as usize],
                next_cyclic: 0,
            };
            for (clock, (add, pick)) in steps.into_iter().enumerate() {
                let circuit = pick % size;
                if add {
                    if !reference.idle[circuit as usize] {
                        reference.idle_since[circuit as usize] = clock;
                    }
                    reference.idle[circuit as usize] = true;
                    selector.insert(circuit);
                } else if let Some(chosen) = selector.choose() {
                    prop_assert_eq!(Some(chosen), reference.choose());
                    reference.idle[chosen as usize] = false;
                    selector.remove(chosen);
                } else {
                    prop_assert_eq!(reference.choose(), None);
                }
                prop_assert_eq!(selector.len(), reference.idle.iter().filter(|idle| **idle).count());
            }
        }
    }

    #[test]
    fn circuits_outside_the_group_are_never_selected() {
        let mut selector = Selector::new(Order::Lowest, 30, None);
        selector.insert(64);
        selector.remove(4_000_000);
        assert!(selector.is_empty() && selector.choose().is_none());
    }
}
