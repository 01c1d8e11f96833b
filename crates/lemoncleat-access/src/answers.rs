//! Final answers to set-ups. Every final answer leaves through this module.

use lemoncleat::{CallId, Event, Micros};
use lemoncleat_sip::{response, Builder, Message};

use crate::calls::Call;
use crate::interface::ConnId;
use crate::node::AccessNode;
use crate::notice::Notice;

impl AccessNode {
    /// Sends the final answer to a set-up and removes the call from the table, so that no call is answered
    /// twice.
    pub(crate) fn answer(&mut self, id: CallId, code: u16, phrase: &str, body: &[u8]) -> Option<Call> {
        self.answer_with_retry_after(id, code, phrase, None, body)
    }

    fn answer_with_retry_after(
        &mut self,
        id: CallId,
        code: u16,
        phrase: &str,
        retry_after: Option<Micros>,
        body: &[u8],
    ) -> Option<Call> {
        // No attempt may stay open once its call has been answered.
        self.withdraw_attempt(id);
        let call = self.remove_call(id)?;
        self.queue_deferred_events();
        self.send(call.conn, final_response(code, phrase, retry_after, &call.request).finish(body));
        self.trace(&call.id, || format!("answered {code}"));
        Some(call)
    }

    /// Refuses a set-up because the node holds as many calls as it may; the module is not told of it.
    pub(crate) fn refuse_for_capacity(&mut self, conn: ConnId, message: &Message) {
        self.stats.refused += 1;
        let retry_after = self.max_retry_hint.filter(|delay| *delay > 0);
        self.send(conn, final_response(503, "Service Unavailable", retry_after, message).finish(b""));
    }

    /// Refuses a call on the module's decision.
    pub(crate) fn refuse(&mut self, id: CallId, retry_after: Micros) {
        let hint = (retry_after > 0).then_some(retry_after);
        if self.answer_with_retry_after(id, 503, "Service Unavailable", hint, b"").is_some() {
            self.stats.refused += 1;
        }
    }

    /// Fails a call on the module's decision.
    pub(crate) fn fail(&mut self, id: CallId) {
        if self.answer(id, 500, "Server Internal Error", b"").is_some() {
            self.stats.failed += 1;
        }
    }

    /// Fails a call that the module has left without an answer shortly before its deadline.
    pub(crate) fn fail_at_deadline(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let call_id = call.id.clone();
        if self.answer(id, 504, "Server Time-out", b"").is_some() {
            self.stats.overdue += 1;
            self.stats.failed += 1;
            self.notice(Notice::Overdue(call_id));
            self.queue_event(Event::CallerGone(id));
        }
    }
}

/// Builds a final response, with a `Retry-After` header if a delay is given.
fn final_response(code: u16, phrase: &str, retry_after: Option<Micros>, request: &Message) -> Builder {
    let builder = response(code, phrase, request);
    match retry_after {
        // Whole seconds (RFC 3261 section 20.33), rounded up so that the caller never returns early.
        Some(retry_after) => builder.header("Retry-After", (retry_after + 999_999) / 1_000_000),
        None => builder,
    }
}
