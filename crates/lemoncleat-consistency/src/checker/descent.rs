//! From two roots that differ down to the first case and the first step.

use lemoncleat::Micros;

use super::{Checker, Notice, Output, LOOK};
use crate::cases::{describe, replay, STEPS};
use crate::version::Digest;
use crate::window::Decider;
use crate::words::Message;

/// Questions answered between two looks: playing a case takes a millisecond or so.
const MOST_ASKED: u32 = 16;
/// A question is asked so often.
const TRIES: u32 = 5;
/// Longest text of a step, in bytes.
const MOST_TEXT: usize = 8 << 10;

/// Where a descent has come to.
pub(crate) struct Descent {
    with: u32,
    /// The root that it began from.
    root: Digest,
    question: Message,
    asked: Micros,
    tries: u32,
}

impl<D: Decider> Checker<D> {
    /// Begins a descent where one is due, and asks again where an answer is overdue.
    pub(super) fn descend(&mut self, out: &mut Vec<Output>) {
        if let Some(descent) = &mut self.descent {
            if self.now - descent.asked < 2 * LOOK {
                return;
            }
            if descent.tries < TRIES {
                (descent.tries, descent.asked) = (descent.tries + 1, self.now);
                let (to, question) = (descent.with, descent.question.clone());
                lemoncleat_faults::point!(RULES_DESCEND);
                return self.say(to, &question, out);
            }
            self.descent = None;
        }
        // The odd ones go down with one of the majority; where there is none, each with the first that differs.
        let Some((with, root)) = self.opponent() else { return };
        self.ask(with, root, Message::Ask { version: self.version, node: 1 }, out);
    }

    fn opponent(&self) -> Option<(u32, Digest)> {
        let own = self.root()?;
        if self.verdicts.majority == Some(own) {
            return None;
        }
        let mut others = self.fresh().filter_map(|(node, said)| {
            let root = said.word.root.filter(|&root| said.word.version == self.version && root != own)?;
            let wanted = self.verdicts.majority.is_none_or(|majority| majority == root);
            (wanted && self.descended.get(&node) != Some(&root)).then_some((node, root))
        });
        let first = others.next()?;
        // One descent tells it; the majority's other members would tell the same.
        (!self.descended.values().any(|&done| done == first.1)).then_some(first)
    }

    fn ask(&mut self, with: u32, root: Digest, question: Message, out: &mut Vec<Output>) {
        lemoncleat_faults::point!(RULES_DESCEND);
        self.say(with, &question, out);
        self.descent = Some(Descent { with, root, question, asked: self.now, tries: 0 });
    }

    /// Answers a question of another.
    pub(super) fn asked(&mut self, from: u32, question: Message, out: &mut Vec<Output>) {
        let (Some(rules), Some(tree)) = (&self.rules, &self.tree) else { return };
        if self.asked >= MOST_ASKED {
            self.unread += 1;
            return;
        }
        self.asked += 1;
        let answer = match question {
            Message::Ask { version, node } if version == self.version => {
                let children =
                    node.checked_mul(2).and_then(|left| Some([tree.node(left)?, tree.node(left + 1)?]));
                children.map(|digests| Message::Children { version, node, digests })
            }
            Message::AskCase { version, case } if version == self.version && Self::case_in_range(case) => {
                Some(Message::Case { version, case, steps: replay::<D>(rules, case) })
            }
            Message::AskStep { version, case, step }
                if version == self.version && Self::case_in_range(case) =>
            {
                let text = clip(describe::<D>(rules, case, step.min(STEPS)));
                Some(Message::Step { version, case, step, text })
            }
            _ => None,
        };
        if let Some(answer) = answer {
            self.say(from, &answer, out);
        }
    }

    /// Takes an answer, if it is the one waited for.
    pub(super) fn answered(&mut self, from: u32, answer: Message, out: &mut Vec<Output>) {
        let (Some(rules), Some(tree)) = (&self.rules, &self.tree) else { return };
        let Some(descent) = self.descent.as_ref().filter(|descent| descent.with == from) else { return };
        let (root, version) = (descent.root, self.version);
        let next = match (&descent.question, answer) {
            (Message::Ask { node: asked, .. }, Message::Children { version: v, node, digests })
                if v == version && *asked == node =>
            {
                let children = [node.saturating_mul(2), node.saturating_mul(2).saturating_add(1)];
                let differs = children
                    .into_iter()
                    .zip(digests)
                    .find(|&(child, theirs)| tree.node(child).is_some_and(|ours| ours != theirs));
                differs.map(|(child, _)| match tree.leaf(child) {
                    Some(leaf) => Message::AskCase { version, case: leaf as u32 },
                    None => Message::Ask { version, node: child },
                })
            }
            (Message::AskCase { case: asked, .. }, Message::Case { version: v, case, steps })
                if v == version && *asked == case =>
            {
                let ours = replay::<D>(rules, case);
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
                let (ours, theirs) = (describe::<D>(rules, case, step), clip(text));
                out.push(Output::Notice(Notice::Differs { node: from, case, step, ours, theirs }));
                self.descended.insert(from, root);
                None
            }
            _ => return, // A late answer to an earlier question.
        };
        self.descent = None;
        match next {
            Some(question) => self.ask(from, root, question, out),
            // Nothing differs after all, or it was told: not again for this root.
            None => _ = self.descended.insert(from, root),
        }
    }
}

fn clip(mut text: String) -> String {
    let mut end = text.len().min(MOST_TEXT);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text
}
