//! The fence: a node that is isolated from the others, so that its decisions can't be trusted, accepts no new
//! calls. Without a fence this module has no effect.

use super::*;

/// The Error-Message in the refusal.
const FENCED_TEXT: &str = "this node takes no new calls for now";

impl Node {
    /// Returns the reason for refusing a new call if a fence is set.
    pub(super) fn fence_reason(&self) -> Option<&'static str> {
        self.fence.map(|_| FENCED_TEXT)
    }

    /// Adds the retry time to a refusal caused by the fence, if the settings allow such a hint, limited to
    /// the maximum that they allow.
    pub(super) fn add_retry_hint(&self, text: &str, answer: MessageBuilder) -> MessageBuilder {
        let hint = self.fence.zip(self.settings.module.max_retry_hint).filter(|_| text == FENCED_TEXT);
        let after = hint.map_or(0, |(come_back, most)| come_back.min(most));
        if after <= 0 {
            return answer;
        }
        answer.add_u32(d::COME_BACK_AFTER, u32::try_from(after / 1_000).unwrap_or(u32::MAX))
    }
}
