//! Decides which differences between the two ends of a trunk group are repaired; [`Group`](crate::Group)
//! carries the repairs out.
//!
//! A circuit is repaired only if two consecutive audits observe the same difference and the circuit's state
//! has not changed between them, nor between the query and the answer of either. A seizure in progress
//! changes the generation or is reported as transient, so no audit interferes with it.

use crate::group::State;
use crate::message::ReportedState;
use crate::Micros;

/// Settings of the audits of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Audits {
    /// Time for one audit of the whole group.
    pub round: Micros,
    /// Number of circuits in one query.
    pub slice: u32,
    /// Minimum time between two queries, whatever the size of the group.
    pub gap: Micros,
}

impl Default for Audits {
    fn default() -> Self {
        Audits { round: 10_000_000, slice: 256, gap: 10_000 }
    }
}

impl Audits {
    /// Returns the time between two queries for a group of `size` circuits.
    pub fn query_interval(&self, size: u32) -> Micros {
        let slices = i64::from(size.div_ceil(self.slice.max(1)).max(1));
        (self.round / slices).max(self.gap)
    }
}

/// How the two ends differ in the state of a circuit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Difference {
    /// Busy at this end, idle at the other.
    OnlyHere,
    /// Idle at this end, busy at the other.
    OnlyThere,
    /// Both ends, or neither, regard the call as set up by themselves.
    Direction,
    /// The circuit does not exist at the other end.
    Unequipped,
}

/// Returns the difference between the two states, if any. Transient states never count as different.
pub fn compare(local: State, reported: ReportedState) -> Option<Difference> {
    if reported == ReportedState::Unequipped {
        return Some(Difference::Unequipped);
    }
    if local.is_transient() || reported == ReportedState::Transient {
        return None;
    }
    match (local, reported) {
        (State::Idle, ReportedState::Idle) => None,
        (State::Outgoing(_), ReportedState::Incoming) | (State::Incoming(_), ReportedState::Outgoing) => None,
        (State::Idle, _) => Some(Difference::OnlyThere),
        (_, ReportedState::Idle) => Some(Difference::OnlyHere),
        _ => Some(Difference::Direction),
    }
}

/// A difference observed by an audit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Observation {
    /// The difference observed.
    pub difference: Difference,
    /// The circuit's generation at the time.
    pub generation: u32,
}

/// The action to take on a circuit after an audit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The ends agree: discard any earlier observation.
    Agree,
    /// The ends differ for the first time: keep the observation.
    Remember(Observation),
    /// The ends still differ and the circuit has not changed in between: repair it.
    Repair(Difference),
}

/// Evaluates the audit of one circuit. `generation_at_query` is its generation when the query was sent,
/// `current` its state and generation when the answer arrived, `reported` the state at the other end, and
/// `previous` the observation of the audit before.
pub fn evaluate(
    generation_at_query: u32,
    current: (State, u32),
    reported: ReportedState,
    previous: Option<Observation>,
) -> Verdict {
    let (local, generation) = current;
    if generation_at_query != generation {
        return Verdict::Agree; // Changed since the query: the answer may be outdated.
    }
    let Some(difference) = compare(local, reported) else { return Verdict::Agree };
    let observation = Observation { difference, generation };
    if previous == Some(observation) {
        Verdict::Repair(difference)
    } else {
        Verdict::Remember(observation)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn repairs_only_after_two_equal_observations_without_a_state_change() {
        let local = (State::Outgoing(5), 7);
        let Verdict::Remember(observation) = evaluate(7, local, ReportedState::Idle, None) else {
            panic!("a first observation")
        };
        assert_eq!(
            evaluate(7, local, ReportedState::Idle, Some(observation)),
            Verdict::Repair(Difference::OnlyHere)
        );
        assert_eq!(
            evaluate(6, local, ReportedState::Idle, Some(observation)),
            Verdict::Agree,
            "changed between query and answer"
        );
        let changed = (State::Outgoing(6), 8);
        assert!(
            matches!(evaluate(8, changed, ReportedState::Idle, Some(observation)), Verdict::Remember(_)),
            "changed between audits"
        );
        assert_eq!(evaluate(7, local, ReportedState::Incoming, Some(observation)), Verdict::Agree);
        let verdict = evaluate(7, local, ReportedState::Outgoing, Some(observation));
        assert!(matches!(verdict, Verdict::Remember(_)), "a different difference");
    }

    #[test]
    fn transient_states_never_differ() {
        for state in [State::Seizing(1), State::Arriving(1), State::Releasing(1), State::Resetting] {
            for reported in [ReportedState::Idle, ReportedState::Outgoing, ReportedState::Incoming] {
                assert_eq!(compare(state, reported), None);
            }
        }
        assert_eq!(compare(State::Idle, ReportedState::Transient), None);
    }

    #[test]
    fn query_interval_covers_the_group_in_one_round_and_respects_the_minimum_gap() {
        let audits = Audits { round: 10_000_000, slice: 100, gap: 10_000 };
        assert_eq!(audits.query_interval(30), 10_000_000);
        assert_eq!(audits.query_interval(1_000), 1_000_000);
        assert_eq!(audits.query_interval(100_000_000), 10_000);
    }
}
