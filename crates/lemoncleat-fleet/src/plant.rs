//! Faults that tests inject into the core, to show that their checks detect them.

/// An injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub enum Plant {
    /// A fact is accepted whatever its version.
    OlderFact,
    /// The age of a fact restarts at 0 on each member.
    YoungAgain,
    /// A suspicion of the node itself is not refuted.
    Silent,
    /// A message is accepted whatever sender it names.
    AcceptsForgedSender,
    /// The size limit of messages is not enforced.
    IgnoresMessageLimit,
}

#[cfg(feature = "faults")]
thread_local! {
    static PLANTED: std::cell::Cell<Option<Plant>> = const { std::cell::Cell::new(None) };
}

/// Injects a fault into all fleets of this thread, or removes it.
#[cfg(feature = "faults")]
#[doc(hidden)]
pub fn plant(plant: Option<Plant>) {
    PLANTED.set(plant);
}

#[cfg(feature = "faults")]
pub(crate) fn active(plant: Plant) -> bool {
    PLANTED.get() == Some(plant)
}

#[cfg(not(feature = "faults"))]
pub(crate) const fn active(_: Plant) -> bool {
    false
}
