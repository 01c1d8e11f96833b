//! The one door by which answers to set-ups leave.

use lemoncleat::{CallId, Event, Micros};
use lemoncleat_sip::{response, Builder, Message};

use crate::calls::Call;
use crate::interface::ConnId;
use crate::node::AccessNode;
use crate::notice::Notice;

impl AccessNode {
    /// The final answer to a set-up; the call leaves the table with it. None leaves twice.
    pub(crate) fn answer(&mut self, id: CallId, code: u16, phrase: &str, body: &[u8]) -> Option<Call> {
        self.answer_with(id, code, phrase, None, body)
    }

    fn answer_with(
        &mut self,
        id: CallId,
        code: u16,
        phrase: &str,
        back: Option<Micros>,
        body: &[u8],
    ) -> Option<Call> {
        // No attempt outlives its call's answer.
        self.withdraw(id);
        let call = self.finish(id)?;
        self.close_events();
        self.send(call.conn, final_response(code, phrase, back, &call.request).finish(body));
        self.trace(&call.id, || format!("answered {code}"));
        Some(call)
    }

    /// A set-up for which there is no room is turned away before the module hears of it.
    pub(crate) fn refuse_unheld(&mut self, conn: ConnId, message: &Message) {
        self.stats.refused += 1;
        let back = self.longest_return.filter(|back| *back > 0);
        self.send(conn, final_response(503, "Service Unavailable", back, message).finish(b""));
    }

    /// The module turns a call away.
    pub(crate) fn refuse(&mut self, id: CallId, retry_after: Micros) {
        let back = (retry_after > 0).then_some(retry_after);
        if self.answer_with(id, 503, "Service Unavailable", back, b"").is_some() {
            self.stats.refused += 1;
        }
    }

    /// The module gives a call up.
    pub(crate) fn fail(&mut self, id: CallId) {
        if self.answer(id, 500, "Server Internal Error", b"").is_some() {
            self.stats.failed += 1;
        }
    }

    /// The last guard: a call that the module left without an answer is failed before its deadline.
    pub(crate) fn guard(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let text = call.id.clone();
        if self.answer(id, 504, "Server Time-out", b"").is_some() {
            self.stats.overdue += 1;
            self.stats.failed += 1;
            self.notice(Notice::Overdue(text));
            self.tell(Event::CallerGone(id));
        }
    }
}

/// A final response, with the time after which its caller may come back where one is named.
fn final_response(code: u16, phrase: &str, back: Option<Micros>, request: &Message) -> Builder {
    let builder = response(code, phrase, request);
    match back {
        // Whole seconds (RFC 3261 section 20.33), never sooner than meant.
        Some(back) => builder.header("Retry-After", (back + 999_999) / 1_000_000),
        None => builder,
    }
}
