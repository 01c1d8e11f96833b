//! Releases: toward callers until they are heard, and of calls that nobody here knows yet.

use std::collections::BTreeMap;

use lemoncleat::{CallId, ServerId};
use lemoncleat_core::Micros;
use lemoncleat_sip::{Message, Method};

use crate::calls::dialog;
use crate::interface::ConnId;
use crate::invite;
use crate::node::AccessNode;
use crate::timing::{RELEASES, RELEASE_AGAIN, RELEASE_KEPT, RELEASE_TRIES, UNKNOWN_KEPT};

/// A release that its caller has not confirmed.
struct Release {
    id: String,
    called: String,
    cause: u16,
    since: Micros,
    /// When it went out last.
    sent: Option<Micros>,
    /// Where it went, the last at the end.
    tried: Vec<ConnId>,
}

/// The tables.
#[derive(Default)]
pub(crate) struct Releases {
    open: BTreeMap<CallId, Release>,
    /// Releases of calls that are not known here, with their cause.
    unknown: BTreeMap<CallId, (Micros, u16)>,
    /// Calls that stood here and are over, with their cause: a set-up with `at`, or a copy of theirs, may
    /// be read later than that.
    over: BTreeMap<CallId, (Micros, u16)>,
    /// Set-ups that their callers withdrew, for INVITEs that are read later than that: on another connection
    /// the CANCEL may come first.
    withdrawn: BTreeMap<CallId, Micros>,
    abandoned: Abandoned,
}

/// Attempts that were given up, for answers that come late. One that is forgotten here too soon stands at its server
/// until that ends it, so the room is a share of the node's memory, and where it is used up those go first that have
/// had their answer, of those alike the oldest.
#[derive(Default)]
struct Abandoned {
    most: usize,
    all: BTreeMap<(CallId, ServerId), Given>,
    /// The same in the order in which they go: whether an answer may still come, and a number that grows with time.
    order: BTreeMap<(bool, u64), (CallId, ServerId)>,
    next: u64,
}

/// What is known of the given-up attempts of a call at one server.
struct Given {
    at: Micros,
    /// How many of them have had no final answer.
    open: u32,
    number: u64,
}

impl Abandoned {
    fn add(&mut self, now: Micros, key: (CallId, ServerId)) {
        let open = self.remove(key).map_or(0, |given| given.open).saturating_add(1);
        while self.all.len() >= self.most {
            let Some((_, first)) = self.order.pop_first() else { break };
            self.all.remove(&first);
        }
        let number = self.next;
        self.next += 1;
        self.all.insert(key, Given { at: now, open, number });
        self.order.insert((true, number), key);
    }

    fn remove(&mut self, key: (CallId, ServerId)) -> Option<Given> {
        let given = self.all.remove(&key)?;
        self.order.remove(&(given.open > 0, given.number));
        Some(given)
    }

    /// A final answer came to one of them. True if it is known.
    fn answered(&mut self, key: (CallId, ServerId)) -> bool {
        let Some(given) = self.all.get_mut(&key) else { return false };
        if given.open == 1 {
            self.order.remove(&(true, given.number));
            self.order.insert((false, given.number), key);
        }
        given.open = given.open.saturating_sub(1);
        true
    }

    fn forget_older(&mut self, than: Micros) {
        for open in [false, true] {
            while let Some((&place, &key)) = self.order.range((open, 0)..=(open, u64::MAX)).next() {
                if self.all.get(&key).is_some_and(|given| given.at > than) {
                    break;
                }
                self.order.remove(&place);
                self.all.remove(&key);
            }
        }
    }
}

impl Releases {
    /// Empty tables, with room for that many given-up attempts.
    pub(crate) fn new(most_abandoned: usize) -> Self {
        let abandoned = Abandoned { most: most_abandoned, ..Abandoned::default() };
        Releases { abandoned, ..Releases::default() }
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn unknown_len(&self) -> usize {
        self.unknown.len() + self.over.len() + self.withdrawn.len()
    }

    /// Keeps a release of a call that is not known here, while there is room.
    pub(crate) fn keep_unknown(&mut self, now: Micros, id: CallId, cause: u16) {
        if self.unknown.len() < RELEASES {
            self.unknown.insert(id, (now, cause));
        }
    }

    /// Remembers a call that stood and is over, while there is room.
    pub(crate) fn keep_over(&mut self, now: Micros, id: CallId, cause: u16) {
        if self.over.len() < RELEASES {
            self.over.insert(id, (now, cause));
        }
    }

    /// The same of a release that a caller sent. Those of call servers keep half of the room for themselves:
    /// callers may send anything.
    pub(crate) fn keep_told(&mut self, now: Micros, id: CallId, cause: u16) {
        if self.unknown.len() < RELEASES / 2 {
            self.keep_unknown(now, id, cause);
        }
    }

    /// Whether a call of this id stood here and is over: its releases would be taken for those of another
    /// one.
    pub(crate) fn is_over(&self, id: CallId) -> bool {
        self.open.contains_key(&id) || self.over.contains_key(&id)
    }

    /// The cause with which a call is known to be over, for as long as that is kept: a caller may name the
    /// call on several connections before it reads of its end.
    pub(crate) fn cause_known(&self, id: CallId) -> Option<u16> {
        let kept = self.unknown.get(&id).or_else(|| self.over.get(&id)).map(|(_, cause)| *cause);
        self.open.get(&id).map(|release| release.cause).or(kept)
    }

    /// Remembers a set-up that its caller withdrew, while there is room.
    pub(crate) fn withdraw(&mut self, now: Micros, id: CallId) {
        if self.withdrawn.len() < RELEASES {
            self.withdrawn.insert(id, now);
        }
    }

    pub(crate) fn was_withdrawn(&self, id: CallId) -> bool {
        self.withdrawn.contains_key(&id)
    }

    /// A release that crossed the other side's: both are heard.
    pub(crate) fn crossed(&mut self, id: CallId) -> bool {
        self.open.remove(&id).is_some()
    }

    /// Remembers an attempt that was given up.
    pub(crate) fn abandon(&mut self, now: Micros, id: CallId, server: ServerId) {
        self.abandoned.add(now, (id, server));
    }

    pub(crate) fn was_abandoned(&self, id: CallId, server: ServerId) -> bool {
        self.abandoned.all.contains_key(&(id, server))
    }

    /// A final answer came that nobody waits for. True if it is one to an attempt that was given up.
    pub(crate) fn abandoned_answered(&mut self, id: CallId, server: ServerId) -> bool {
        self.abandoned.answered((id, server))
    }
}

impl AccessNode {
    /// Releases a call toward its caller: on its connection if that is there, else on another one, else on the
    /// next that brings something.
    pub(crate) fn release_to_caller(
        &mut self,
        id: CallId,
        text: String,
        called: String,
        cause: u16,
        conn: ConnId,
    ) {
        if self.releases.open.len() >= RELEASES {
            // The oldest has been tried longest.
            let oldest =
                self.releases.open.iter().min_by_key(|(_, release)| release.since).map(|(id, _)| *id);
            if let Some(oldest) = oldest {
                self.releases.open.remove(&oldest);
            }
        }
        let release = Release { id: text, called, cause, since: self.now, sent: None, tried: Vec::new() };
        self.releases.open.insert(id, release);
        let to = if self.callers.takes_releases(conn) { Some(conn) } else { self.callers.surest(&[]) };
        if let Some(to) = to {
            self.send_release(id, to);
        }
    }

    fn send_release(&mut self, id: CallId, conn: ConnId) {
        let now = self.now;
        let Some(release) = self.releases.open.get_mut(&id) else { return };
        release.sent = Some(now);
        release.tried.push(conn);
        let number = release.tried.len() as u32;
        let bytes = dialog(Method::Bye, &self.name, &release.id, &release.called, number)
            .header("Reason", format_args!("Q.850;cause={}", release.cause))
            .finish(b"");
        self.send(conn, bytes);
    }

    /// Sends what could not be sent so far.
    pub(crate) fn send_releases(&mut self, conn: ConnId) {
        let unsent = self.releases.open.iter().filter(|(_, release)| release.sent.is_none());
        for id in unsent.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_release(id, conn);
        }
    }

    /// A connection is gone: what went out on it and was not confirmed goes out on another.
    pub(crate) fn releases_unsent(&mut self, conn: ConnId) {
        for release in self.releases.open.values_mut() {
            if release.tried.last() == Some(&conn) {
                release.sent = None;
            }
        }
        if let Some(other) = self.callers.surest(&[]) {
            self.send_releases(other);
        }
    }

    /// A response of a caller: the only ones that say something are those to a release.
    pub(crate) fn release_heard(&mut self, conn: ConnId, message: &Message) {
        let release = message.cseq().is_some_and(|cseq| cseq.method == Method::Bye);
        if let (Some((_, number)), true) = (invite::id(message), release) {
            if self.releases.open.remove(&CallId(number)).is_some() {
                self.caller_proven(conn);
                self.caller_useful(conn);
            }
        }
    }

    pub(crate) fn sweep_releases(&mut self) {
        let now = self.now;
        self.releases.open.retain(|_, release| now - release.since < RELEASE_KEPT);
        self.releases.unknown.retain(|_, (at, _)| now - *at < UNKNOWN_KEPT);
        // After that no set-up sent before its withdrawal is worth an attempt. For as long one that names a
        // call may be on its way when the call ends.
        let crossing = self.longest_deadline.min(UNKNOWN_KEPT);
        self.releases.over.retain(|_, (at, _)| now - *at < crossing);
        self.releases.withdrawn.retain(|_, at| now - *at < crossing);
        self.releases.abandoned.forget_older(now - UNKNOWN_KEPT);
        let again = self.releases.open.iter().filter(|(_, release)| {
            release.tried.len() < RELEASE_TRIES && release.sent.is_some_and(|at| now - at > RELEASE_AGAIN)
        });
        for id in again.map(|(id, _)| *id).collect::<Vec<_>>() {
            let tried = self.releases.open.get(&id).map_or(&[][..], |release| &release.tried);
            if let Some(other) = self.callers.surest(tried) {
                self.send_release(id, other);
            }
        }
    }
}

#[cfg(test)]
mod tests;
