//! Mistakes that tests put into the core, to show that their checks find them.

/// A mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub enum Plant {
    /// A fact is taken whatever its version.
    OlderFact,
    /// A fact's age starts anew at each member.
    YoungAgain,
    /// A suspicion of the node itself is not refuted.
    Silent,
    /// A message is heard whoever it says it is from.
    Credulous,
    /// The limit of a message is not looked at.
    Overfull,
}

#[cfg(feature = "faults")]
thread_local! {
    static PLANTED: std::cell::Cell<Option<Plant>> = const { std::cell::Cell::new(None) };
}

/// Puts a mistake into all fleets of this thread, or takes it out.
#[cfg(feature = "faults")]
#[doc(hidden)]
pub fn plant(plant: Option<Plant>) {
    PLANTED.set(plant);
}

#[cfg(feature = "faults")]
pub(crate) fn is(plant: Plant) -> bool {
    PLANTED.get() == Some(plant)
}

#[cfg(not(feature = "faults"))]
pub(crate) const fn is(_: Plant) -> bool {
    false
}
