//! Matches answers to requests (RFC 6733 section 6.2) and recognises repeated requests (section 5.5.4).

use std::collections::VecDeque;
use std::sync::Arc;

use foldhash::{HashMap, HashMapExt};

use crate::Micros;

/// Range of the Hop-by-Hop Identifiers of application requests.
const APPLICATION_ID_RANGE: u32 = 0x7fff_ffff;

/// Outstanding requests of one connection, by Hop-by-Hop Identifier.
#[derive(Debug)]
pub struct HopByHop<T> {
    next: u32,
    outstanding: HashMap<u32, T>,
}

impl<T> HopByHop<T> {
    /// Identifiers start at `first`, which should be random (section 3). They use the lower half of the
    /// range; the upper half is used by [`Peer`](crate::Peer) for its own requests on the connection.
    pub fn new(first: u32) -> Self {
        HopByHop { next: first & APPLICATION_ID_RANGE, outstanding: HashMap::new() }
    }

    /// Records a request and returns an unused identifier for it.
    pub fn begin(&mut self, request: T) -> u32 {
        while self.outstanding.contains_key(&self.next) {
            self.next = self.next.wrapping_add(1) & APPLICATION_ID_RANGE;
        }
        let id = self.next;
        self.next = self.next.wrapping_add(1) & APPLICATION_ID_RANGE;
        self.outstanding.insert(id, request);
        id
    }

    /// Removes and returns the request that an answer belongs to; `None` for an unknown identifier, in which
    /// case the answer must be dropped.
    pub fn finish(&mut self, id: u32) -> Option<T> {
        self.outstanding.remove(&id)
    }

    /// Returns a mutable reference to the request with this identifier.
    pub fn get_mut(&mut self, id: u32) -> Option<&mut T> {
        self.outstanding.get_mut(&id)
    }

    /// Returns an iterator over all outstanding requests, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        self.outstanding.iter().map(|(id, request)| (*id, request))
    }

    /// Returns the number of outstanding requests.
    pub fn len(&self) -> usize {
        self.outstanding.len()
    }

    /// Returns whether no request is outstanding.
    pub fn is_empty(&self) -> bool {
        self.outstanding.is_empty()
    }

    /// Removes and returns all outstanding requests, in order of identifier.
    pub fn drain(&mut self) -> Vec<(u32, T)> {
        let mut all: Vec<_> = self.outstanding.drain().collect();
        all.sort_by_key(|(id, _)| *id);
        all
    }
}

/// Identifies a request across connections by its origin and End-to-End Identifier.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndToEnd {
    /// Origin-Host.
    pub host: Arc<str>,
    /// End-to-End Identifier.
    pub id: u32,
}

/// Status of a received request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen<T> {
    /// The request is new and has been recorded.
    New,
    /// The request is a repeat of one that is still being processed.
    Pending(T),
    /// The request is a repeat of one that was answered with these bytes.
    Answered(T, Arc<[u8]>),
}

#[derive(Debug)]
struct RecordedRequest<T> {
    work: T,
    answer: Option<Arc<[u8]>>,
    bytes: usize,
}

/// Recently received requests, so that a repeated request is recognised and gets the same answer.
///
/// Answers are kept for `retention` after they were sent, and at most `capacity` requests are recorded. Above
/// that the oldest answered request is evicted early; requests still being processed are never evicted.
#[derive(Debug)]
pub struct Duplicates<T> {
    recorded: HashMap<EndToEnd, RecordedRequest<T>>,
    answered: VecDeque<(Micros, EndToEnd)>,
    retention: Micros,
    capacity: usize,
    bytes: usize,
}

impl<T: Clone> Duplicates<T> {
    /// Creates an empty record.
    pub fn new(retention: Micros, capacity: usize) -> Self {
        Duplicates { recorded: HashMap::new(), answered: VecDeque::new(), retention, capacity, bytes: 0 }
    }

    /// Looks up a received request; a new one is recorded with `work`.
    pub fn receive(&mut self, now: Micros, request: EndToEnd, work: T) -> Seen<T> {
        self.evict_expired(now);
        if let Some(entry) = self.recorded.get(&request) {
            return match &entry.answer {
                Some(answer) => Seen::Answered(entry.work.clone(), answer.clone()),
                None => Seen::Pending(entry.work.clone()),
            };
        }
        self.recorded.insert(request, RecordedRequest { work, answer: None, bytes: 0 });
        Seen::New
    }

    /// Records the answer to a request.
    pub fn answer(&mut self, now: Micros, request: &EndToEnd, answer: &[u8]) {
        if let Some(entry) = self.recorded.get_mut(request) {
            if entry.answer.is_none() {
                entry.answer = Some(answer.into());
                entry.bytes = answer.len();
                self.bytes += answer.len();
                self.answered.push_back((now, request.clone()));
            }
        }
        self.evict_expired(now);
    }

    /// Removes a request that will not be answered: a repeat of it counts as new.
    pub fn drop_pending(&mut self, request: &EndToEnd) {
        if self.recorded.get(request).is_some_and(|entry| entry.answer.is_none()) {
            self.recorded.remove(request);
        }
    }

    /// Returns the number of recorded requests.
    pub fn len(&self) -> usize {
        self.recorded.len()
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.recorded.is_empty()
    }

    /// Returns the total size of the recorded answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.bytes
    }

    fn evict_expired(&mut self, now: Micros) {
        while let Some((answered_at, _)) = self.answered.front() {
            if now - answered_at < self.retention && self.recorded.len() <= self.capacity {
                break;
            }
            if let Some((_, request)) = self.answered.pop_front() {
                if let Some(entry) = self.recorded.remove(&request) {
                    self.bytes -= entry.bytes;
                }
            }
        }
    }
}
