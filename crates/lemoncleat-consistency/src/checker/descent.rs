//! Descends from two different roots to the first case and step that differ.

use lemoncleat::Micros;

use super::{Checker, Notice, Output, CHECK_INTERVAL_US};
use crate::cases::{describe, step_digests, STEPS};
use crate::version::Digest;
use crate::window::Decider;
use crate::words::Message;

/// Maximum number of questions answered between two checks: playing a case takes about a millisecond.
const MAX_ANSWERS_PER_CHECK: u32 = 16;
/// Maximum number of times that a question is repeated.
const MAX_REPEATS: u32 = 5;
/// Maximum length of a step's text, in bytes.
const MAX_TEXT_BYTES: usize = 8 << 10;

/// The state of a descent.
pub(crate) struct Descent {
    node: u32,
    /// The other node's root at the start.
    root: Digest,
    question: Message,
    asked_at: Micros,
    repeats: u32,
}

impl<D: Decider> Checker<D> {
    /// Starts a descent if one is due, and repeats a question whose answer is overdue.
    pub(super) fn descend(&mut self, out: &mut Vec<Output>) {
        if let Some(descent) = &mut self.descent {
            if self.now - descent.asked_at < 2 * CHECK_INTERVAL_US {
                return;
            }
            if descent.repeats < MAX_REPEATS {
                (descent.repeats, descent.asked_at) = (descent.repeats + 1, self.now);
                let (to, question) = (descent.node, descent.question.clone());
                lemoncleat_faults::point!(RULES_DESCEND);
                return self.send(to, &question, out);
            }
            self.descent = None;
        }
        // Nodes outside the majority descend with a member of it; if there is no majority, each descends with
        // the first node that differs.
        let Some((node, root)) = self.next_descent_target() else { return };
        self.ask(node, root, Message::AskChildren { version: self.version, node: 1 }, out);
    }

    fn next_descent_target(&self) -> Option<(u32, Digest)> {
        let own = self.root()?;
        if self.verdicts.majority == Some(own) {
            return None;
        }
        let mut others = self.fresh().filter_map(|(node, peer)| {
            let root =
                peer.statement.root.filter(|&root| peer.statement.version == self.version && root != own)?;
            let wanted = self.verdicts.majority.is_none_or(|majority| majority == root);
            (wanted && self.finished_descents.get(&node) != Some(&root)).then_some((node, root))
        });
        let first = others.next()?;
        // One descent is enough: the other members of the majority would give the same result.
        (!self.finished_descents.values().any(|&done| done == first.1)).then_some(first)
    }

    fn ask(&mut self, node: u32, root: Digest, question: Message, out: &mut Vec<Output>) {
        lemoncleat_faults::point!(RULES_DESCEND);
        self.send(node, &question, out);
        self.descent = Some(Descent { node, root, question, asked_at: self.now, repeats: 0 });
    }

    /// Answers a question of another node.
    pub(super) fn handle_question(&mut self, from: u32, question: Message, out: &mut Vec<Output>) {
        let (Some(rules), Some(tree)) = (&self.rules, &self.tree) else { return };
        if self.questions_answered >= MAX_ANSWERS_PER_CHECK {
            self.rejected_inputs += 1;
            return;
        }
        self.questions_answered += 1;
        let answer = match question {
            Message::AskChildren { version, node } if version == self.version => {
                let children =
                    node.checked_mul(2).and_then(|left| Some([tree.node(left)?, tree.node(left + 1)?]));
                children.map(|digests| Message::Children { version, node, digests })
            }
            Message::AskCase { version, case } if version == self.version && Self::case_in_range(case) => {
                Some(Message::Case { version, case, steps: step_digests::<D>(rules, case) })
            }
            Message::AskStep { version, case, step }
                if version == self.version && Self::case_in_range(case) =>
            {
                let text = truncate_text(describe::<D>(rules, case, step.min(STEPS)));
                Some(Message::Step { version, case, step, text })
            }
            _ => None,
        };
        if let Some(answer) = answer {
            self.send(from, &answer, out);
        }
    }

    /// Processes an answer if it is the expected one.
    pub(super) fn handle_answer(&mut self, from: u32, answer: Message, out: &mut Vec<Output>) {
        let (Some(rules), Some(tree)) = (&self.rules, &self.tree) else { return };
        let Some(descent) = self.descent.as_ref().filter(|descent| descent.node == from) else { return };
        let (root, version) = (descent.root, self.version);
        let next = match (&descent.question, answer) {
            (Message::AskChildren { node: asked, .. }, Message::Children { version: v, node, digests })
                if v == version && *asked == node =>
            {
                let children = [node.saturating_mul(2), node.saturating_mul(2).saturating_add(1)];
                let differs = children
                    .into_iter()
                    .zip(digests)
                    .find(|&(child, theirs)| tree.node(child).is_some_and(|ours| ours != theirs));
                differs.map(|(child, _)| match tree.leaf(child) {
                    Some(leaf) => Message::AskCase { version, case: leaf as u32 },
                    None => Message::AskChildren { version, node: child },
                })
            }
            (Message::AskCase { case: asked, .. }, Message::Case { version: v, case, steps })
                if v == version && *asked == case =>
            {
                let ours = step_digests::<D>(rules, case);
                let same = ours.iter().zip(&steps).take_while(|(ours, theirs)| ours == theirs).count();
                (same < ours.len().max(steps.len())).then_some(Message::AskStep {
                    version,
                    case,
                    step: same as u32,
                })
            }
            (Message::AskStep { case: c, step: s, .. }, Message::Step { version: v, case, step, text })
                if v == version && (*c, *s) == (case, step) =>
            {
                let (ours, theirs) = (describe::<D>(rules, case, step), truncate_text(text));
                out.push(Output::Notice(Notice::FirstDifference { node: from, case, step, ours, theirs }));
                self.finished_descents.insert(from, root);
                None
            }
            _ => return, // A late answer to an earlier question.
        };
        self.descent = None;
        match next {
            Some(question) => self.ask(from, root, question, out),
            // Either nothing differs or the difference was reported: not repeated for this root.
            None => _ = self.finished_descents.insert(from, root),
        }
    }
}

fn truncate_text(mut text: String) -> String {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text
}
