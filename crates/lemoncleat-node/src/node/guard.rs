//! The fence: a node whose decisions others don't trust takes no new calls. Without one nothing here is done.

use super::*;

/// What a refused caller reads.
const FENCED: &str = "this node takes no new calls for now";

impl Node {
    /// Why a new call is refused by the fence, if one stands.
    pub(super) fn fenced(&self) -> Option<&'static str> {
        self.fence.map(|_| FENCED)
    }

    /// Adds the time to come back to an answer that the fence gives, where settings allow such a hint and no longer
    /// than they do.
    pub(super) fn told_to_return(&self, text: &str, answer: MessageBuilder) -> MessageBuilder {
        let hint = self.fence.zip(self.settings.module.max_retry_hint).filter(|_| text == FENCED);
        let after = hint.map_or(0, |(come_back, most)| come_back.min(most));
        if after <= 0 {
            return answer;
        }
        answer.add_u32(d::COME_BACK_AFTER, u32::try_from(after / 1_000).unwrap_or(u32::MAX))
    }
}
