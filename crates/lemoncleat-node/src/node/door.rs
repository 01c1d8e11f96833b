//! The one door for answers: the final answer to every set-up leaves the node here, and none after its caller's
//! deadline.

use super::*;

impl Node {
    /// Whether an answer to a caller with this deadline may still leave.
    pub(super) fn is_open(&self, deadline: Deadline) -> bool {
        self.now <= deadline.door()
    }

    /// Sends the final answer to a set-up, unless its caller's deadline is over; whether it went out. A request
    /// that tells no deadline (`None`) has none.
    pub(super) fn answer_set_up(
        &mut self,
        conn: ConnId,
        deadline: Option<Deadline>,
        answer: Vec<u8>,
    ) -> bool {
        if let Some(late) = deadline.filter(|deadline| !self.is_open(*deadline)) {
            self.withhold(&answer, late);
            return false;
        }
        self.send(conn, answer);
        true
    }

    /// Counts an answer that stays here. After a gap one notice tells of all of them.
    pub(super) fn withhold(&mut self, answer: &[u8], deadline: Deadline) {
        self.stats.withheld += 1;
        if self.gap.is_none() && self.over.is_none() {
            let parsed = MessageRef::parse(answer);
            let result = parsed.as_ref().map_or(0, |message| message.result_code());
            let session = parsed.ok().and_then(|m| m.text(d::SESSION_ID).map(Arc::from));
            let late = self.now - deadline.door();
            self.notice(Notice::Withheld { session: session.unwrap_or_else(|| "?".into()), result, late });
        }
    }

    /// Gives a call's answer to its client, on the connection of its latest transmission, and keeps it for
    /// repeats. While the client is away it is only kept. Whether it was in time.
    pub(super) fn reply(&mut self, id: u64, mut answer: Vec<u8>) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let (conn, request, deadline) = (call.conn, call.request.clone(), call.deadline);
        if let Some(place) = answer.get_mut(12..16) {
            place.copy_from_slice(&call.hop_by_hop.to_be_bytes());
        }
        if self.now > deadline.door() {
            self.withhold(&answer, deadline);
            self.duplicates.answer(self.now, &request, &[]);
            return false;
        }
        call.unheard = !self.conns.contains_key(&conn);
        if !call.unheard && call.standing.is_some() {
            if let Some(timer) = call.deadline_timer.take() {
                self.wheel.cancel(timer);
            }
        }
        self.duplicates.answer(self.now, &request, &answer);
        self.answer_set_up(conn, Some(deadline), answer)
    }

    /// A request came again whose answer is known: the same answer, as long as the caller waits for it.
    pub(super) fn reply_again(
        &mut self,
        (client, conn, hop_by_hop): (PeerId, ConnId, u32),
        (id, deadline): (u64, Deadline),
        request: &EndToEnd,
        answer: &[u8],
    ) {
        // Nothing is kept of an answer that was withheld.
        if answer.is_empty() {
            return;
        }
        if !self.is_open(deadline) {
            // Asked for again on a newer connection, it was lost with the older one; now it comes too late, and
            // whoever gives up waiting says nothing. Nobody else would end the call.
            let unheard = self
                .calls
                .get(&id)
                .is_some_and(|call| call.request == *request && call.standing.is_some() && call.conn != conn);
            if unheard {
                self.move_call(id, client, conn);
                self.cut(id, "its answer was not heard in time");
            }
            return;
        }
        let mut bytes = answer.to_vec();
        if let Some(place) = bytes.get_mut(12..16) {
            place.copy_from_slice(&hop_by_hop.to_be_bytes());
        }
        if self.answer_set_up(conn, Some(deadline), bytes) {
            if let Some(call) = self.calls.get_mut(&id).filter(|call| call.request == *request) {
                call.unheard = false;
                self.move_call(id, client, conn);
            }
        }
    }
}
