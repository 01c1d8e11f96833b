//! A bounded record of calls whose callers have gone while an attempt may have run.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::interface::{CallId, Micros, ServerId};

/// Maximum number of calls recorded; the oldest are dropped first.
const MAX_CALLS: usize = 4_096;

/// The attempts of a call whose caller has gone.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct EarlierAttempts {
    /// No attempt is sent before this.
    pub(crate) not_before: Micros,
    /// The first attempt that may have run: when and where it was sent.
    pub(crate) may_have_run: (Micros, ServerId),
    /// Their number.
    pub(crate) count: u32,
}

/// The calls whose callers have gone, for set-ups that come again under their ids.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct DepartedCalls {
    calls: BTreeMap<CallId, EarlierAttempts>,
    /// When each was recorded, oldest first.
    order: VecDeque<(Micros, CallId)>,
}

impl DepartedCalls {
    /// Records a call, and drops those recorded longer ago than `retention`.
    pub(crate) fn insert(&mut self, now: Micros, retention: Micros, id: CallId, attempts: EarlierAttempts) {
        let expired = |&(at, _): &(Micros, CallId)| now - at > retention;
        while self.order.len() >= MAX_CALLS || self.order.front().is_some_and(expired) {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.calls.remove(&oldest);
            }
        }
        if self.calls.insert(id, attempts).is_none() {
            self.order.push_back((now, id));
        }
    }

    pub(crate) fn get(&self, id: CallId) -> Option<EarlierAttempts> {
        self.calls.get(&id).copied()
    }
}
