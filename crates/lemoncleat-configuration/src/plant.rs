//! Mistakes that tests put into the core, to show that the laws find them.

/// A mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub enum Plant {
    /// A text is taken whatever its digest.
    WrongDigest,
    /// An announcement is taken whatever its step.
    LowerStep,
    /// Every node tries the trial.
    AllCanaries,
    /// A second change on one parent is taken.
    SecondChange,
    /// A canary's refusal is not looked at.
    DeafToRefusal,
    /// Calls lost at canaries are not looked at.
    DeafToCalls,
    /// A take-back leaves the step as it was.
    StepLess,
    /// A kept copy is used though it is torn.
    TornCopy,
    /// After a time-out nothing is fetched again.
    NoSecondFetch,
    /// A number is used again after a take-back.
    NumberAgain,
    /// Neighbours are told nothing but by the first word of a link.
    Mute,
}

#[cfg(feature = "faults")]
thread_local! {
    static PLANTED: std::cell::Cell<Option<Plant>> = const { std::cell::Cell::new(None) };
}

/// Puts a mistake into all cores of this thread, or takes it out.
#[cfg(feature = "faults")]
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
