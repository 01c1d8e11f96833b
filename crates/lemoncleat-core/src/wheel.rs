//! A hierarchical timer wheel: setting and cancelling take constant time, independent of the number of
//! timers.
//!
//! Six levels of 64 slots each (after Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987);
//! a slot of the lowest level is one tick of 1,024 microseconds. A timer never fires early and at most one
//! tick late.

use crate::Micros;

const LEVELS: usize = 6;
const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
const TICK_BITS: u32 = 10;
/// The resolution of the wheel: the maximum delay with which a timer fires.
pub(crate) const TICK_US: Micros = 1 << TICK_BITS;
const NO_ENTRY: u32 = u32::MAX;

/// Identifies a timer. The key becomes invalid when the timer fires or is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TimerKey {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    tick: u64,
    item: Option<T>,
    slot: u16,
    previous: u32,
    next: u32,
    generation: u32,
}

/// A set of timers, each with an item of type `T`.
#[derive(Debug)]
pub struct Wheel<T> {
    entries: Vec<Entry<T>>,
    free: u32,
    len: usize,
    /// First and last entry of each slot.
    slots: Vec<(u32, u32)>,
    occupied: [u64; LEVELS],
    /// All ticks before this one have fired.
    tick: u64,
}

impl<T> Default for Wheel<T> {
    fn default() -> Self {
        Wheel::new()
    }
}

impl<T> Wheel<T> {
    /// Creates an empty wheel at time zero.
    pub fn new() -> Self {
        Wheel {
            entries: Vec::new(),
            free: NO_ENTRY,
            len: 0,
            slots: vec![(NO_ENTRY, NO_ENTRY); LEVELS * SLOTS],
            occupied: [0; LEVELS],
            tick: 0,
        }
    }

    /// Returns the number of pending timers.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a timer. A timer whose time has passed fires at the next [`Wheel::pop`].
    pub fn set(&mut self, at: Micros, item: T) -> TimerKey {
        let ticks = (at.max(0) as u64).div_ceil(1 << TICK_BITS).max(self.tick);
        let index = if self.free == NO_ENTRY {
            self.entries.push(Entry {
                tick: 0,
                item: None,
                slot: 0,
                previous: NO_ENTRY,
                next: NO_ENTRY,
                generation: 0,
            });
            (self.entries.len() - 1) as u32
        } else {
            let index = self.free;
            self.free = self.entries[index as usize].next;
            index
        };
        let entry = &mut self.entries[index as usize];
        entry.tick = ticks;
        entry.item = Some(item);
        let generation = entry.generation;
        self.link(index);
        self.len += 1;
        TimerKey { index, generation }
    }

    /// Cancels a timer and returns its item; `None` if it has already fired or been cancelled.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let entry = self.entries.get(key.index as usize)?;
        if entry.generation != key.generation || entry.item.is_none() {
            return None;
        }
        self.unlink(key.index);
        self.release(key.index)
    }

    /// Returns the time by which to call [`Wheel::pop`]: that of the first timer, or an earlier one. `None`
    /// if no timer is pending.
    pub fn wake(&self) -> Option<Micros> {
        let mut first: Option<u64> = None;
        for level in 0..LEVELS {
            let bits = self.occupied[level];
            if bits == 0 {
                continue;
            }
            let shift = SLOT_BITS * level as u32;
            let current_slot = (self.tick >> shift) as usize & (SLOTS - 1);
            let rotated = bits.rotate_right(current_slot as u32);
            // On upper levels the current slot holds timers a full rotation ahead, so it is considered last.
            let slots_ahead = match rotated & !1 {
                _ if level == 0 => rotated.trailing_zeros(),
                0 => SLOTS as u32,
                others => others.trailing_zeros(),
            };
            let start = ((self.tick >> shift) + u64::from(slots_ahead)) << shift;
            let start = start.max(self.tick);
            if first.is_none_or(|first| start < first) {
                first = Some(start);
            }
        }
        first.map(|tick| (tick << TICK_BITS) as Micros)
    }

    /// Removes and returns the item of the next expired timer. Timers of the same tick are returned in the
    /// order in which they were placed in its slot.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        let target = (now.max(0) as u64) >> TICK_BITS;
        loop {
            let slot = self.tick as usize & (SLOTS - 1);
            let (first, _) = self.slots[slot];
            if first != NO_ENTRY && self.tick <= target {
                self.unlink(first);
                return self.release(first);
            }
            if self.tick >= target || self.len == 0 {
                self.tick = self.tick.max(target);
                if self.len > 0 {
                    // If the tick is a slot boundary, timers of the upper levels that begin here must move
                    // down.
                    self.cascade();
                }
                return None;
            }
            let wake = self.wake().map_or(target, |at| (at as u64) >> TICK_BITS);
            self.tick = wake.clamp(self.tick + 1, target);
            self.cascade();
        }
    }

    /// Moves the timers of upper-level slots that begin at the current tick to lower levels.
    fn cascade(&mut self) {
        for level in (1..LEVELS).rev() {
            let shift = SLOT_BITS * level as u32;
            if self.tick & ((1 << shift) - 1) != 0 {
                continue;
            }
            let slot = level * SLOTS + ((self.tick >> shift) as usize & (SLOTS - 1));
            let (mut index, _) = std::mem::replace(&mut self.slots[slot], (NO_ENTRY, NO_ENTRY));
            self.occupied[level] &= !(1 << (slot % SLOTS));
            while index != NO_ENTRY {
                let next = self.entries[index as usize].next;
                self.link(index);
                index = next;
            }
        }
    }

    fn link(&mut self, index: u32) {
        let tick = self.entries[index as usize].tick.max(self.tick);
        let ticks_ahead = tick - self.tick;
        let mut level = 0;
        while level + 1 < LEVELS && ticks_ahead >> (SLOT_BITS * (level as u32 + 1)) != 0 {
            level += 1;
        }
        let shift = SLOT_BITS * level as u32;
        let max_ticks = (1u64 << (SLOT_BITS * LEVELS as u32)) - 1;
        let position = ((self.tick + ticks_ahead.min(max_ticks)) >> shift) as usize & (SLOTS - 1);
        let slot = level * SLOTS + position;
        let (first, last) = self.slots[slot];
        let entry = &mut self.entries[index as usize];
        entry.slot = slot as u16;
        entry.previous = last;
        entry.next = NO_ENTRY;
        if last == NO_ENTRY {
            self.slots[slot] = (index, index);
        } else {
            self.entries[last as usize].next = index;
            self.slots[slot] = (first, index);
        }
        self.occupied[level] |= 1 << position;
    }

    fn unlink(&mut self, index: u32) {
        let (slot, previous, next) = {
            let entry = &self.entries[index as usize];
            (entry.slot as usize, entry.previous, entry.next)
        };
        match previous {
            NO_ENTRY => self.slots[slot].0 = next,
            before => self.entries[before as usize].next = next,
        }
        match next {
            NO_ENTRY => self.slots[slot].1 = previous,
            after => self.entries[after as usize].previous = previous,
        }
        if self.slots[slot].0 == NO_ENTRY {
            self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
        }
    }

    fn release(&mut self, index: u32) -> Option<T> {
        let free = self.free;
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        entry.next = free;
        self.free = index;
        self.len -= 1;
        entry.item.take()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn timers_fire_in_order_and_not_early_or_after_cancellation() {
        let mut wheel = Wheel::new();
        wheel.set(5_000_000, 'c');
        let b = wheel.set(70_000, 'b');
        wheel.set(10_000, 'a');
        assert_eq!(wheel.pop(9_999), None);
        assert_eq!(wheel.pop(12_000), Some('a'));
        assert_eq!(wheel.cancel(b), Some('b'));
        assert_eq!(wheel.cancel(b), None);
        assert_eq!(wheel.pop(4_999_999), None);
        assert_eq!(wheel.pop(5_001_024), Some('c'));
        assert!(wheel.is_empty() && wheel.wake().is_none());
    }

    #[test]
    fn stale_key_does_not_cancel_a_timer_that_reuses_its_entry() {
        let mut wheel = Wheel::new();
        let old = wheel.set(1, 'a');
        assert_eq!(wheel.pop(10_000), Some('a'));
        wheel.set(20_000, 'b');
        assert_eq!(wheel.cancel(old), None);
        assert_eq!(wheel.len(), 1);
    }

    #[test]
    fn timer_beyond_the_range_of_the_wheel_fires_on_time() {
        let mut wheel = Wheel::new();
        let at = 1i64 << 50;
        wheel.set(at, 'z');
        assert_eq!(wheel.pop(at - 1024), None);
        assert_eq!(wheel.pop(at + 1024), Some('z'));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

        #[test]
        fn wheel_fires_the_same_timers_as_a_list(
            steps in proptest::collection::vec((0u8..10, 0i64..400_000_000, any::<u16>()), 1..200)
        ) {
            let mut wheel = Wheel::new();
            let mut list: Vec<(Micros, usize, TimerKey)> = Vec::new();
            let mut now = 0;
            for (id, (kind, duration, pick)) in steps.into_iter().enumerate() {
                match kind {
                    0..=4 => {
                        // Durations of all magnitudes, so that every level is used.
                        let at = now + (duration >> (pick % 28));
                        let key = wheel.set(at, id);
                        list.push((at, id, key));
                    }
                    5 if !list.is_empty() => {
                        let (_, id, key) = list.swap_remove(usize::from(pick) % list.len());
                        prop_assert_eq!(wheel.cancel(key), Some(id));
                    }
                    _ => {
                        if let Some(wake) = wheel.wake() {
                            let first = list.iter().map(|(at, ..)| *at).min().unwrap_or(0);
                            prop_assert!(wake <= first.max(now) + 1024, "wake-up time is too late");
                        }
                        now += duration >> (pick % 28);
                        while let Some(id) = wheel.pop(now) {
                            let position = list.iter().position(|(_, other, _)| *other == id);
                            let (at, ..) = list.swap_remove(position.expect("a pending timer"));
                            prop_assert!(at <= now, "fired early");
                        }
                        prop_assert!(list.iter().all(|(at, ..)| at + 1024 > now), "a timer is overdue");
                    }
                }
                prop_assert_eq!(wheel.len(), list.len());
            }
        }
    }
}
