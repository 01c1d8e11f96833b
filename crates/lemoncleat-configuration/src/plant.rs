//! Faults that tests inject into the state machines to show that the invariant checks detect them.

/// An injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub enum Plant {
    /// A text is accepted whatever its digest.
    WrongDigest,
    /// An announcement is accepted whatever its step.
    LowerStep,
    /// Every node acts as a canary.
    AllCanaries,
    /// A change is accepted while another one is under trial.
    AcceptSecondChange,
    /// The leader ignores that a canary refuses the version.
    DeafToRefusal,
    /// The leader ignores refused and lost calls at canaries.
    DeafToCalls,
    /// A rollback sets a lower step.
    StepLess,
    /// A saved copy is used although its digest is wrong.
    AcceptTornCopy,
    /// A fetch never times out, so it is never retried.
    NoFetchRetry,
    /// A version number is reused after a rollback.
    NumberAgain,
    /// Neighbours get an announcement only when their connection is established.
    Mute,
}

#[cfg(feature = "faults")]
thread_local! {
    static PLANTED: std::cell::Cell<Option<Plant>> = const { std::cell::Cell::new(None) };
}

/// Injects a fault into all state machines of this thread, or removes it.
#[cfg(feature = "faults")]
pub fn plant(plant: Option<Plant>) {
    PLANTED.set(plant);
}

#[cfg(feature = "faults")]
pub(crate) fn is_active(plant: Plant) -> bool {
    PLANTED.get() == Some(plant)
}

#[cfg(not(feature = "faults"))]
pub(crate) const fn is_active(_: Plant) -> bool {
    false
}
