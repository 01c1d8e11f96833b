//! The check that members of the same rules decide alike, as a part carries it.

use std::collections::{BTreeSet, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};

use lemoncleat_consistency::{Cases, Checker, Decider, Difference, Input, Limits, Notice, Output, Rules};
use lemoncleat_fleet::MemberId;

use crate::part::{name, Names};
use crate::Micros;

/// Most words of others' checkers that wait for a moment in which no call does; what is beyond is lost, as any may.
const MOST_WORDS: usize = 64;

/// What the check has to know.
#[derive(Clone, Debug)]
pub struct RulesCheck {
    /// The rules in force.
    pub rules: Rules,
    /// What it may do.
    pub limits: Limits,
    /// The share of the processor that it may take, in thousandths; at least one.
    pub processor: u32,
}

/// A checker and its cases, whatever decides.
trait Core: Send {
    fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>);
    fn wake(&self) -> Option<Micros>;
    /// Whether cases are to be played.
    fn busy(&self) -> bool;
    /// Plays one.
    fn play(&mut self, now: Micros, out: &mut Vec<Output>);
}

struct Checked<D> {
    checker: Checker<D>,
    rules: Option<Rules>,
    cases: Option<Cases<D>>,
}

impl<D: Decider> Core for Checked<D> {
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

    fn busy(&self) -> bool {
        self.cases.is_some()
    }

    fn play(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(mut cases) = self.cases.take() else { return };
        // A module that gives up on a case must not take the calls with it. Such a node has no root, and is compared
        // with nobody.
        let Ok(tree) = catch_unwind(AssertUnwindSafe(|| cases.advance(1))) else { return };
        match tree {
            Some(tree) => self.handle(now, Input::Proved(tree), out),
            None => self.cases = Some(cases),
        }
    }
}

/// The check at one node. What takes time in it waits for [`Watch::work`].
pub(crate) struct Watch {
    core: Box<dyn Core>,
    words: VecDeque<(MemberId, Vec<u8>)>,
    processor: u32,
    /// No work before this.
    next: Micros,
}

impl Watch {
    /// Members by their identifiers, which are the same at all nodes whatever the order of their settings.
    pub(crate) fn new<D: Decider + 'static>(
        own: u32,
        start: u32,
        members: BTreeSet<u32>,
        check: &RulesCheck,
    ) -> Watch {
        let checker = Checker::new(own, start.into(), members, check.limits);
        let core: Box<dyn Core> = Box::new(Checked::<D> { checker, rules: None, cases: None });
        Watch { core, words: VecDeque::new(), processor: check.processor.max(1), next: 0 }
    }

    pub(crate) fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.core.handle(now, input, out);
    }

    /// Another's checker said something: to answer may take as long as a case.
    pub(crate) fn direct(&mut self, from: MemberId, bytes: Vec<u8>) {
        if self.words.len() < MOST_WORDS {
            self.words.push_back((from, bytes));
        }
    }

    pub(crate) fn wake(&self) -> Option<Micros> {
        self.core.wake()
    }

    pub(crate) fn work_at(&self) -> Option<Micros> {
        (self.core.busy() || !self.words.is_empty()).then_some(self.next)
    }

    pub(crate) fn work(&mut self, now: Micros, out: &mut Vec<Output>) {
        match self.words.pop_front() {
            Some((from, bytes)) => self.core.handle(now, Input::Direct { from: from.0, bytes }, out),
            None => self.core.play(now, out),
        }
    }

    pub(crate) fn worked(&mut self, now: Micros, spent: Micros) {
        let rest = spent.max(1).saturating_mul(1_000) / Micros::from(self.processor);
        self.next = now.saturating_add(rest);
    }
}

/// A notice as a line of the log, and whether it is bad news.
pub(crate) fn told(names: &Names, notice: &Notice) -> Option<(bool, String)> {
    let of = |node: u32| name(names, MemberId(node));
    let seconds = |span: Micros| span as f64 / 1e6;
    let parts = |difference: &Difference| match difference {
        Difference::Settings => "its settings are not those of its version".to_owned(),
        Difference::Plan => "its numbering plan is not that of its version".to_owned(),
        Difference::Step(step, _) => format!("other actions from step {step} on"),
        Difference::State(_) => "another state at the end".to_owned(),
    };
    Some(match notice {
        // Told at the start by whoever read the settings.
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
            (true, format!("{} decides otherwise than {against} nodes of its version{cause}", of(*node)))
        }
        Notice::Undecided { roots, nodes } => {
            let text = "nodes of one version decide in";
            (true, format!("{nodes} {text} {roots} ways, and no majority in one: nobody is fenced"))
        }
        Notice::Agreed => (false, "all nodes of this version decide alike again".to_owned()),
        Notice::Differs { node, case, step, ours, theirs } => {
            let node = of(*node);
            let text = format!("first difference to {node}: case {case}, step {step}");
            (true, format!("{text}; here {ours}; there {theirs}"))
        }
        Notice::Window { node, id, difference } => (
            true,
            format!(
                "work of {} came out otherwise here (window {id:016x}): {}",
                of(*node),
                parts(difference)
            ),
        ),
        Notice::OwnWindow { number, difference, judges: [one, two], again } => {
            let (one, two) = (of(*one), of(*two));
            let text = format!("{one} and {two} differ from this node's work (window {number})");
            (true, format!("{text}: {}; played again here: {again:?}", parts(difference)))
        }
        Notice::Split { number } => (true, format!("the judges of this node's window {number} don't agree")),
        Notice::Unplayable { node, id, why } => {
            (false, format!("window {id:016x} of {} can't be played: {why:?}", of(*node)))
        }
        Notice::Checked { same } => {
            let came = if *same { "to the same result" } else { "to ANOTHER result than before" };
            (true, format!("the cases were played a second time and came {came}"))
        }
        Notice::Fenced => (
            true,
            "this node decides otherwise than most: it refuses new calls, standing ones live on".to_owned(),
        ),
        Notice::NotFenced => (
            true,
            "this node decides otherwise than most, but as many as may refuse calls already".to_owned(),
        ),
        Notice::Unfenced => (false, "this node takes new calls again".to_owned()),
    })
}
