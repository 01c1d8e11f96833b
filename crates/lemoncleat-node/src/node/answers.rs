//! The only field where final answers to set-ups leave the node; none leaves after its caller's deadline.

use super::*;

impl Node {
    /// Returns whether an answer to a caller with this deadline may still be sent.
    pub(super) fn may_answer(&self, deadline: Deadline) -> bool {
        self.now <= deadline.door()
    }

    /// Sends the final answer to a set-up unless its caller's deadline has passed; returns whether it was
    /// sent. A request that states no deadline (`None`) has none.
    pub(super) fn send_final_answer(
        &mut self,
        conn: ConnId,
        deadline: Option<Deadline>,
        answer: Vec<u8>,
    ) -> bool {
        if let Some(late) = deadline.filter(|deadline| !self.may_answer(*deadline)) {
            self.withhold(&answer, late);
            return false;
        }
        self.send(conn, answer);
        true
    }

    /// Counts a withheld answer. After a gap, a single notice reports all of them.
    pub(super) fn withhold(&mut self, answer: &[u8], deadline: Deadline) {
        self.stats.withheld += 1;
        if self.gap.is_none() && self.finished_gap.is_none() {
            let parsed = MessageRef::parse(answer);
            let result = parsed.as_ref().map_or(0, |message| message.result_code());
            let session = parsed.ok().and_then(|m| m.text(d::SESSION_ID).map(Arc::from));
            let late = self.now - deadline.door();
            self.notice(Notice::AnswerWithheld {
                session: session.unwrap_or_else(|| "?".into()),
                result,
                late,
            });
        }
    }

    /// Sends a call's answer to its client, on the connection of the latest transmission of the request, and
    /// keeps it for repeats. While the client is disconnected, the answer is only kept. Returns whether it
    /// was in time.
    pub(super) fn reply(&mut self, id: u64, mut answer: Vec<u8>) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let (conn, request, deadline) = (call.conn, call.request.clone(), call.deadline);
        if let Some(field) = answer.get_mut(12..16) {
            field.copy_from_slice(&call.hop_by_hop.to_be_bytes());
        }
        if self.now > deadline.door() {
            self.withhold(&answer, deadline);
            self.duplicates.answer(self.now, &request, &[]);
            return false;
        }
        call.answer_undelivered = !self.conns.contains_key(&conn);
        if !call.answer_undelivered && call.standing.is_some() {
            if let Some(timer) = call.deadline_timer.take() {
                self.wheel.cancel(timer);
            }
        }
        self.duplicates.answer(self.now, &request, &answer);
        self.send_final_answer(conn, Some(deadline), answer)
    }

    /// Handles a repeated request whose answer is known: sends the same answer while the caller still waits
    /// for it.
    pub(super) fn reply_to_repeat(
        &mut self,
        (client, conn, hop_by_hop): (PeerId, ConnId, u32),
        (id, deadline): (u64, Deadline),
        request: &EndToEnd,
        answer: &[u8],
    ) {
        // The content of a withheld answer is not kept.
        if answer.is_empty() {
            return;
        }
        if !self.may_answer(deadline) {
            // The repeat came on a newer connection, so the answer was lost with the older one. Now it is too
            // late to send it, and a caller that gives up sends no release: nothing else would end the call.
            let answer_undelivered = self
                .calls
                .get(&id)
                .is_some_and(|call| call.request == *request && call.standing.is_some() && call.conn != conn);
            if answer_undelivered {
                self.move_call(id, client, conn);
                self.cut_call(id, "its answer was not delivered in time");
            }
            return;
        }
        let mut bytes = answer.to_vec();
        if let Some(field) = bytes.get_mut(12..16) {
            field.copy_from_slice(&hop_by_hop.to_be_bytes());
        }
        if self.send_final_answer(conn, Some(deadline), bytes) {
            if let Some(call) = self.calls.get_mut(&id).filter(|call| call.request == *request) {
                call.answer_undelivered = false;
                self.move_call(id, client, conn);
            }
        }
    }
}
