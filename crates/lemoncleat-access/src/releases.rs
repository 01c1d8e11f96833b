//! Releases: those sent to callers until they are confirmed, and those of calls that are not known here.

use std::collections::{BTreeMap, BTreeSet};

use lemoncleat::{CallId, ServerId};
use lemoncleat_core::Micros;
use lemoncleat_sip::{Message, Method};

use crate::calls::dialog_request;
use crate::interface::ConnId;
use crate::invite::{self, Invite};
use crate::node::AccessNode;
use crate::timing::{
    MAX_NAMED_RELEASES, MAX_RELEASES, MAX_RELEASE_SENDS, RELEASE_RETENTION_US, RELEASE_RETRY_INTERVAL_US,
    UNKNOWN_RELEASE_RETENTION_US,
};

/// A release that the caller has not confirmed.
struct Release {
    id: String,
    called: String,
    cause: u16,
    created_at: Micros,
    /// When it was last sent.
    sent_at: Option<Micros>,
    /// The connections on which it was sent, the latest last.
    tried_conns: Vec<ConnId>,
    /// Whether the call was only named by its caller: no other connection is tried while its own is open.
    only_named: bool,
}

/// The tables of releases.
#[derive(Default)]
pub(crate) struct Releases {
    open: BTreeMap<CallId, Release>,
    /// Those of them whose calls were only named by their callers.
    only_named: BTreeSet<CallId>,
    /// Releases of unknown calls, with their cause.
    unknown: BTreeMap<CallId, (Micros, u16)>,
    /// Calls that were established here and have ended, with their cause: a set-up with `at`, or a copy of
    /// their set-up, may be read later.
    ended: BTreeMap<CallId, (Micros, u16)>,
    /// Set-ups that their callers withdrew, for INVITEs that are read later: the CANCEL may arrive first on
    /// another connection.
    withdrawn: BTreeMap<CallId, Micros>,
    /// The connections that carried attempts of set-ups whose callers have gone: none of them may carry an
    /// attempt if the same set-up comes again.
    departed: BTreeMap<CallId, (Micros, Vec<ConnId>)>,
    abandoned: Abandoned,
}

/// Attempts that were given up, for answers that arrive late. If an entry is dropped too soon, the call of a
/// late answer stays established at its server until the server ends it, so the capacity is a share of the
/// node's memory. When it is exhausted, entries that have had their answer are dropped first, and within each
/// kind the oldest first.
#[derive(Default)]
struct Abandoned {
    capacity: usize,
    entries: BTreeMap<(CallId, ServerId), GivenUp>,
    /// The keys in order of eviction: whether an answer may still arrive, then an ascending sequence number.
    eviction_order: BTreeMap<(bool, u64), (CallId, ServerId)>,
    next_sequence: u64,
}

/// The given-up attempts of a call at one server.
struct GivenUp {
    at: Micros,
    /// Number of these attempts without a final answer.
    open: u32,
    sequence: u64,
}

impl Abandoned {
    fn add(&mut self, now: Micros, key: (CallId, ServerId)) {
        let open = self.remove(key).map_or(0, |given_up| given_up.open).saturating_add(1);
        while self.entries.len() >= self.capacity {
            let Some((_, first)) = self.eviction_order.pop_first() else { break };
            self.entries.remove(&first);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.entries.insert(key, GivenUp { at: now, open, sequence });
        self.eviction_order.insert((true, sequence), key);
    }

    fn remove(&mut self, key: (CallId, ServerId)) -> Option<GivenUp> {
        let given_up = self.entries.remove(&key)?;
        self.eviction_order.remove(&(given_up.open > 0, given_up.sequence));
        Some(given_up)
    }

    /// Records a final answer to one of them. Returns `true` if the entry is known.
    fn answered(&mut self, key: (CallId, ServerId)) -> bool {
        let Some(given_up) = self.entries.get_mut(&key) else { return false };
        if given_up.open == 1 {
            self.eviction_order.remove(&(true, given_up.sequence));
            self.eviction_order.insert((false, given_up.sequence), key);
        }
        given_up.open = given_up.open.saturating_sub(1);
        true
    }

    fn remove_up_to(&mut self, limit: Micros) {
        for open in [false, true] {
            while let Some((&position, &key)) = self.eviction_order.range((open, 0)..=(open, u64::MAX)).next()
            {
                if self.entries.get(&key).is_some_and(|given_up| given_up.at > limit) {
                    break;
                }
                self.eviction_order.remove(&position);
                self.entries.remove(&key);
            }
        }
    }
}

impl Releases {
    /// Creates empty tables with the given capacity for given-up attempts.
    pub(crate) fn new(abandoned_capacity: usize) -> Self {
        let abandoned = Abandoned { capacity: abandoned_capacity, ..Abandoned::default() };
        Releases { abandoned, ..Releases::default() }
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn unknown_len(&self) -> usize {
        self.unknown.len() + self.ended.len() + self.withdrawn.len() + self.departed.len()
    }

    /// Records the release of an unknown call, as long as the table has room.
    pub(crate) fn record_unknown(&mut self, now: Micros, id: CallId, cause: u16) {
        if self.unknown.len() < MAX_RELEASES {
            self.unknown.insert(id, (now, cause));
        }
    }

    /// Records an established call that has ended, as long as the table has room.
    pub(crate) fn record_ended(&mut self, now: Micros, id: CallId, cause: u16) {
        if self.ended.len() < MAX_RELEASES {
            self.ended.insert(id, (now, cause));
        }
    }

    /// Records the release of an unknown call sent by a caller. Half of the table is reserved for releases
    /// from call servers, because callers may send anything.
    pub(crate) fn record_unknown_from_caller(&mut self, now: Micros, id: CallId, cause: u16) {
        if self.unknown.len() < MAX_RELEASES / 2 {
            self.record_unknown(now, id, cause);
        }
    }

    /// Returns whether a call with this id was established here and has ended: releases of that call would be
    /// taken to mean a new call with the same id.
    pub(crate) fn has_ended(&self, id: CallId) -> bool {
        self.open.contains_key(&id) || self.ended.contains_key(&id)
    }

    /// Returns the cause with which a call has ended, for as long as that is recorded: a caller may name the
    /// call on several connections before it reads the release.
    pub(crate) fn known_cause(&self, id: CallId) -> Option<u16> {
        let recorded = self.unknown.get(&id).or_else(|| self.ended.get(&id)).map(|(_, cause)| *cause);
        self.open.get(&id).map(|release| release.cause).or(recorded)
    }

    /// Records a set-up that its caller withdrew, as long as the table has room.
    pub(crate) fn record_withdrawal(&mut self, now: Micros, id: CallId) {
        if self.withdrawn.len() < MAX_RELEASES {
            self.withdrawn.insert(id, now);
        }
    }

    pub(crate) fn was_withdrawn(&self, id: CallId) -> bool {
        self.withdrawn.contains_key(&id)
    }

    /// Records the connections used by a set-up whose caller has gone, as long as the table has room.
    pub(crate) fn record_departed(&mut self, now: Micros, id: CallId, used_conns: Vec<ConnId>) {
        if !used_conns.is_empty() && self.departed.len() < MAX_RELEASES {
            self.departed.insert(id, (now, used_conns));
        }
    }

    /// Returns the connections that a set-up has used before its caller went and sent it again.
    pub(crate) fn conns_used_before(&self, id: CallId) -> Vec<ConnId> {
        self.departed.get(&id).map_or_else(Vec::new, |(_, conns)| conns.clone())
    }

    /// Confirms a release that crossed the other side's release. Returns `true` if one was pending.
    pub(crate) fn confirm_crossed(&mut self, id: CallId) -> bool {
        self.remove_open(id)
    }

    fn remove_open(&mut self, id: CallId) -> bool {
        self.only_named.remove(&id);
        self.open.remove(&id).is_some()
    }

    /// Records an attempt that was given up.
    pub(crate) fn abandon(&mut self, now: Micros, id: CallId, server: ServerId) {
        self.abandoned.add(now, (id, server));
    }

    pub(crate) fn was_abandoned(&self, id: CallId, server: ServerId) -> bool {
        self.abandoned.entries.contains_key(&(id, server))
    }

    /// Records a final answer that no attempt waits for. Returns `true` if it belongs to an attempt that was
    /// given up.
    pub(crate) fn abandoned_answered(&mut self, id: CallId, server: ServerId) -> bool {
        self.abandoned.answered((id, server))
    }
}

impl AccessNode {
    /// Releases a call toward its caller: on the given connection if it is open, otherwise on another one,
    /// otherwise on the next one that receives a useful message.
    pub(crate) fn release_to_caller(
        &mut self,
        id: CallId,
        call_id: String,
        called: String,
        cause: u16,
        conn: ConnId,
    ) {
        if self.releases.open.len() >= MAX_RELEASES {
            // The oldest release has been retried for longest.
            let oldest =
                self.releases.open.iter().min_by_key(|(_, release)| release.created_at).map(|(id, _)| *id);
            if let Some(oldest) = oldest {
                self.releases.remove_open(oldest);
            }
        }
        let release = Release {
            id: call_id,
            called,
            cause,
            created_at: self.now,
            sent_at: None,
            tried_conns: Vec::new(),
            only_named: false,
        };
        self.releases.open.insert(id, release);
        let to =
            if self.callers.takes_releases(conn) { Some(conn) } else { self.callers.best_for_release(&[]) };
        if let Some(to) = to {
            self.send_release(id, to);
        }
    }

    /// Releases a call that its caller named and that does not stand, on the connection on which it was named.
    /// Callers may name any number of calls that never existed: only a few of these releases are repeated.
    pub(crate) fn release_named(&mut self, invite: Invite, cause: u16, conn: ConnId) {
        let id = CallId(invite.number);
        if self.releases.only_named.len() >= MAX_NAMED_RELEASES {
            let bytes = self.release_request(&invite.id, &invite.called, cause, 1);
            return self.send(conn, bytes);
        }
        self.release_to_caller(id, invite.id, invite.called, cause, conn);
        if let Some(release) = self.releases.open.get_mut(&id) {
            release.only_named = true;
            self.releases.only_named.insert(id);
        }
    }

    fn release_request(&self, id: &str, called: &str, cause: u16, number: u32) -> Vec<u8> {
        dialog_request(Method::Bye, &self.name, id, called, number)
            .header("Reason", format_args!("Q.850;cause={cause}"))
            .finish(b"")
    }

    fn send_release(&mut self, id: CallId, conn: ConnId) {
        let now = self.now;
        let Some(release) = self.releases.open.get_mut(&id) else { return };
        release.sent_at = Some(now);
        release.tried_conns.push(conn);
        let (number, cause) = (release.tried_conns.len() as u32, release.cause);
        let (call_id, called) = (release.id.clone(), release.called.clone());
        let bytes = self.release_request(&call_id, &called, cause, number);
        self.send(conn, bytes);
    }

    /// Sends the releases that could not be sent so far.
    pub(crate) fn send_pending_releases(&mut self, conn: ConnId) {
        let unsent = self.releases.open.iter().filter(|(_, release)| release.sent_at.is_none());
        for id in unsent.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_release(id, conn);
        }
    }

    /// Handles the loss of a connection: unconfirmed releases that were sent on it are sent on another one.
    pub(crate) fn resend_releases_of(&mut self, conn: ConnId) {
        for release in self.releases.open.values_mut() {
            if release.tried_conns.last() == Some(&conn) {
                release.sent_at = None;
            }
        }
        if let Some(other) = self.callers.best_for_release(&[]) {
            self.send_pending_releases(other);
        }
    }

    /// Handles a response from a caller; only responses to releases are expected.
    pub(crate) fn caller_response(&mut self, conn: ConnId, message: &Message) {
        let release = message.cseq().is_some_and(|cseq| cseq.method == Method::Bye);
        if let (Some((_, number)), true) = (invite::call_id(message), release) {
            if self.releases.remove_open(CallId(number)) {
                self.mark_caller_verified(conn);
                self.mark_caller_useful(conn);
            }
        }
    }

    pub(crate) fn maintain_releases(&mut self) {
        let now = self.now;
        self.releases.open.retain(|_, release| now - release.created_at < RELEASE_RETENTION_US);
        let open = &self.releases.open;
        self.releases.only_named.retain(|id| open.contains_key(id));
        self.releases.unknown.retain(|_, (at, _)| now - *at < UNKNOWN_RELEASE_RETENTION_US);
        // After the longest deadline, no set-up that was sent before its withdrawal can still succeed. A
        // set-up that names an established call may be in transit for as long when the call ends.
        let set_up_in_transit = self.max_deadline.min(UNKNOWN_RELEASE_RETENTION_US);
        self.releases.ended.retain(|_, (at, _)| now - *at < set_up_in_transit);
        self.releases.withdrawn.retain(|_, at| now - *at < set_up_in_transit);
        self.releases.departed.retain(|_, (at, _)| now - *at < set_up_in_transit);
        self.releases.abandoned.remove_up_to(now - UNKNOWN_RELEASE_RETENTION_US);
        let unconfirmed = self.releases.open.iter().filter(|(_, release)| {
            let own_conn = release.tried_conns.last().filter(|_| release.only_named);
            release.tried_conns.len() < MAX_RELEASE_SENDS
                && !own_conn.is_some_and(|conn| self.callers.takes_releases(*conn))
                && release.sent_at.is_some_and(|at| now - at > RELEASE_RETRY_INTERVAL_US)
        });
        for id in unconfirmed.map(|(id, _)| *id).collect::<Vec<_>>() {
            let tried_conns = self.releases.open.get(&id).map_or(&[][..], |release| &release.tried_conns);
            if let Some(other) = self.callers.best_for_release(tried_conns) {
                self.send_release(id, other);
            }
        }
    }
}

#[cfg(test)]
mod tests;
