//! Runs the check that members with the same rules make the same decisions.

use std::collections::{BTreeSet, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};

use lemoncleat_consistency::{Cases, Checker, Decider, Difference, Input, Limits, Notice, Output, Rules};
use lemoncleat_fleet::MemberId;

use crate::part::{name, Names};
use crate::Micros;

/// Maximum number of messages of other checkers that wait for idle time. More are dropped; the checkers
/// tolerate loss.
const MAX_QUEUED_MESSAGES: usize = 64;

/// The settings of the rules check.
#[derive(Clone, Debug)]
pub struct RulesCheck {
    /// The rules in force.
    pub rules: Rules,
    /// The limits of the check.
    pub limits: Limits,
    /// The share of the processor time that the check may use, in thousandths; at least one.
    pub processor: u32,
}

/// A checker and its cases, independent of the type of the decider.
trait ErasedChecker: Send {
    fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>);
    fn wake(&self) -> Option<Micros>;
    /// Returns whether cases remain to be run.
    fn has_cases(&self) -> bool;
    /// Runs one case.
    fn run_case(&mut self, now: Micros, out: &mut Vec<Output>);
}

struct CheckerWithCases<D> {
    checker: Checker<D>,
    rules: Option<Rules>,
    cases: Option<Cases<D>>,
}

impl<D: Decider> ErasedChecker for CheckerWithCases<D> {
    fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        if let Input::Rules(rules) = &input {
            self.rules = Some(rules.clone());
        }
        let before = out.len();
        self.checker.handle(now, input, out);
        if out.iter().skip(before).any(|output| *output == Output::Cases) {
            self.cases = self.rules.as_ref().map(Cases::new);
        }
    }

    fn wake(&self) -> Option<Micros> {
        self.checker.wake()
    }

    fn has_cases(&self) -> bool {
        self.cases.is_some()
    }

    fn run_case(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(mut cases) = self.cases.take() else { return };
        // A decider that panics on a case must not end the call processing. Such a node publishes no root and
        // is not compared with others.
        let Ok(tree) = catch_unwind(AssertUnwindSafe(|| cases.advance(1))) else { return };
        match tree {
            Some(tree) => self.handle(now, Input::CasesPlayed(tree), out),
            None => self.cases = Some(cases),
        }
    }
}

/// The rules check at one node. Its long computations are deferred to [`RulesWatch::work`].
pub(crate) struct RulesWatch {
    checker: Box<dyn ErasedChecker>,
    queued: VecDeque<(MemberId, Vec<u8>)>,
    processor: u32,
    /// The earliest time of the next piece of work.
    work_after: Micros,
}

impl RulesWatch {
    /// Creates the check. Members are given by their identifiers, which do not depend on the order in the
    /// settings.
    pub(crate) fn new<D: Decider + 'static>(
        own: u32,
        start: u32,
        members: BTreeSet<u32>,
        check: &RulesCheck,
    ) -> RulesWatch {
        let checker = Checker::new(own, start.into(), members, check.limits);
        let checker: Box<dyn ErasedChecker> =
            Box::new(CheckerWithCases::<D> { checker, rules: None, cases: None });
        RulesWatch { checker, queued: VecDeque::new(), processor: check.processor.max(1), work_after: 0 }
    }

    pub(crate) fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.checker.handle(now, input, out);
    }

    /// Queues a message of another checker, as its answer may take as long as a case.
    pub(crate) fn direct(&mut self, from: MemberId, bytes: Vec<u8>) {
        if self.queued.len() < MAX_QUEUED_MESSAGES {
            self.queued.push_back((from, bytes));
        }
    }

    pub(crate) fn wake(&self) -> Option<Micros> {
        self.checker.wake()
    }

    pub(crate) fn work_at(&self) -> Option<Micros> {
        (self.checker.has_cases() || !self.queued.is_empty()).then_some(self.work_after)
    }

    pub(crate) fn work(&mut self, now: Micros, out: &mut Vec<Output>) {
        match self.queued.pop_front() {
            Some((from, bytes)) => {
                self.checker.handle(now, Input::MessageReceived { from: from.0, bytes }, out)
            }
            None => self.checker.run_case(now, out),
        }
    }

    pub(crate) fn worked(&mut self, now: Micros, spent: Micros) {
        let pause = spent.max(1).saturating_mul(1_000) / Micros::from(self.processor);
        self.work_after = now.saturating_add(pause);
    }
}

/// Returns the log line of a notice, and whether it is a warning.
pub(crate) fn describe(names: &Names, notice: &Notice) -> Option<(bool, String)> {
    let name_of = |node: u32| name(names, MemberId(node));
    let seconds = |span: Micros| span as f64 / 1e6;
    let describe_difference = |difference: &Difference| match difference {
        Difference::Settings => "its settings are not those of its version".to_owned(),
        Difference::Plan => "its numbering plan is not that of its version".to_owned(),
        Difference::Step(step, _) => format!("its actions differ from step {step} on"),
        Difference::State(_) => "its state differs at the end".to_owned(),
    };
    Some(match notice {
        // Logged at the start by the reader of the settings.
        Notice::Version(_) => return None,
        Notice::Versions { count, held } => {
            (true, format!("the fleet holds {count} versions of the rules, for {:.1} s now", seconds(*held)))
        }
        Notice::OneVersion { held } => {
            let held = seconds(*held);
            (false, format!("the fleet holds one version of the rules again, after {held:.1} s of several"))
        }
        Notice::Odd { node, against, arithmetic } => {
            let cause = if *arithmetic { "; its arithmetic differs too, the likely cause" } else { "" };
            (true, format!("{} decides otherwise than {against} nodes of its version{cause}", name_of(*node)))
        }
        Notice::Undecided { roots, nodes } => {
            let text = "nodes of one version decide in";
            (true, format!("{nodes} {text} {roots} ways, and no majority in one: nobody is fenced"))
        }
        Notice::Agreed => (false, "all nodes of this version decide alike again".to_owned()),
        Notice::FirstDifference { node, case, step, ours, theirs } => {
            let node = name_of(*node);
            let text = format!("first difference to {node}: case {case}, step {step}");
            (true, format!("{text}; here {ours}; there {theirs}"))
        }
        Notice::Window { node, id, difference } => (
            true,
            format!(
                "work of {} came out otherwise here (window {id:016x}): {}",
                name_of(*node),
                describe_difference(difference)
            ),
        ),
        Notice::OwnWindow { number, difference, judges: [one, two], again } => {
            let (one, two) = (name_of(*one), name_of(*two));
            let text = format!("{one} and {two} differ from this node's work (window {number})");
            (true, format!("{text}: {}; replayed here: {again:?}", describe_difference(difference)))
        }
        Notice::JudgesDisagree { number } => {
            (true, format!("the judges of this node's window {number} don't agree"))
        }
        Notice::Unplayable { node, id, why } => {
            (false, format!("window {id:016x} of {} can't be replayed: {why:?}", name_of(*node)))
        }
        Notice::Checked { same } => {
            let outcome = if *same { "to the same result" } else { "to ANOTHER result than before" };
            (true, format!("the cases were played a second time and came {outcome}"))
        }
        Notice::Fenced => (
            true,
            "this node decides otherwise than most: it refuses new calls, standing ones live on".to_owned(),
        ),
        Notice::FenceLimitReached => (
            true,
            "this node decides otherwise than most, but as many as may refuse calls already".to_owned(),
        ),
        Notice::Unfenced => (false, "this node takes new calls again".to_owned()),
    })
}
