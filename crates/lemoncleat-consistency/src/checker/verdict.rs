//! Who is the odd one out, and how long the fleet has held two versions.

use std::collections::{BTreeMap, BTreeSet};

use lemoncleat::Micros;

use super::{Checker, Notice, Output};
use crate::version::Digest;
use crate::window::{Decider, Difference, Played, Unplayable};

/// Time between two tellings that the fleet holds several versions, in microseconds.
const TELL: Micros = 60_000_000;

/// What is held of the fleet's roots and versions.
#[derive(Default)]
pub(crate) struct Verdicts {
    /// The root that more than half of those of the own version came to, three nodes at least.
    pub majority: Option<Digest>,
    /// The own cases were played a second time since the own root was found odd.
    pub checked: bool,
    /// The judges that agree against an own window.
    pub window: Option<[u32; 2]>,
    /// What is told already.
    odd: BTreeSet<(u32, Digest)>,
    undecided: bool,
    differing: bool,
    several: Option<(Micros, Micros)>,
}

impl Verdicts {
    /// Begins anew under other rules. How long the fleet holds several versions goes on.
    pub fn reset(&mut self) {
        *self = Verdicts { several: self.several, ..Verdicts::default() };
    }
}

impl<D: Decider> Checker<D> {
    /// Looks at all that was said.
    pub(super) fn weigh(&mut self, out: &mut Vec<Output>) {
        if self.rules.is_none() {
            return;
        }
        self.weigh_versions(out);
        let own = self.root().map(|root| (self.me, root, self.arithmetic));
        let others = self.fresh().filter(|(_, said)| said.word.version == self.version);
        let others = others.filter_map(|(node, said)| Some((node, said.word.root?, said.word.arithmetic)));
        let all: Vec<(u32, Digest, u32)> = own.into_iter().chain(others).collect();
        let mut roots = BTreeMap::<Digest, usize>::new();
        for &(_, root, _) in &all {
            *roots.entry(root).or_default() += 1;
        }
        let most = roots.iter().max_by_key(|(_, &count)| count).map(|(&root, &count)| (root, count));
        // Two at least: one against one is no majority. More than half of all who may be of this version, heard or
        // not: two against two is none either, whomever of them this node has heard first.
        let other = |node: &u32| self.said.get(node).is_some_and(|said| said.word.version != self.version);
        let others = self.alive.iter().filter(|&node| *node != self.me && !other(node)).count();
        let majority = most.filter(|&(_, count)| count >= 2 && 2 * count > others + 1);
        self.verdicts.majority = majority.map(|(root, _)| root);
        if roots.len() < 2 {
            if std::mem::take(&mut self.verdicts.differing) {
                self.verdicts.odd.clear();
                self.verdicts.undecided = false;
                out.push(Output::Notice(Notice::Agreed));
            }
            return;
        }
        self.verdicts.differing = true;
        let Some((root, against)) = majority else {
            if !std::mem::replace(&mut self.verdicts.undecided, true) {
                let (roots, nodes) = (roots.len(), all.len());
                out.push(Output::Notice(Notice::Undecided { roots, nodes }));
            }
            return;
        };
        let usual = all.iter().find(|one| one.1 == root).map(|one| one.2);
        for &(node, other, figures) in all.iter().filter(|one| one.1 != root) {
            if self.verdicts.odd.insert((node, other)) {
                lemoncleat_faults::point!(RULES_VERDICT);
                let arithmetic = usual != Some(figures);
                out.push(Output::Notice(Notice::Odd { node, against, arithmetic }));
                if node == self.me && !self.checking {
                    // What is wrong may have been wrong for a moment only.
                    (self.checking, self.verdicts.checked) = (true, false);
                    out.push(Output::Cases);
                }
            }
        }
    }

    fn weigh_versions(&mut self, out: &mut Vec<Output>) {
        let mut versions: BTreeSet<Digest> = self.fresh().map(|(_, said)| said.word.version).collect();
        versions.insert(self.version);
        let now = self.now;
        match (&mut self.verdicts.several, versions.len()) {
            (None, 1) => {}
            (Some((since, _)), 1) => {
                let held = now - *since;
                self.verdicts.several = None;
                out.push(Output::Notice(Notice::OneVersion { held }));
            }
            (several, count) => {
                let (since, told) = several.get_or_insert((now, Micros::MIN));
                if now.saturating_sub(*told) >= TELL {
                    *told = now;
                    out.push(Output::Notice(Notice::Versions { count, held: now - *since }));
                }
            }
        }
    }

    /// Whether there is a reason for this node to be fenced: two others of its version agree on it, and it has
    /// looked again itself.
    pub(super) fn condemned(&self) -> bool {
        let odd = match (self.verdicts.majority, self.root()) {
            (Some(majority), Some(own)) => majority != own && self.verdicts.checked,
            _ => false,
        };
        // The judges' word counts as long as they are at one with most.
        let with_most = |node: &u32| {
            let root = self.said.get(node).and_then(|said| said.word.root);
            root.is_some() && root == self.verdicts.majority
        };
        odd || self.verdicts.window.is_some_and(|judges| judges.iter().all(with_most))
    }

    /// Two judges agree on an own window, and it was played again here. What came of that is told and is no veto:
    /// a module that is wrong agrees with itself.
    pub(super) fn own_window(
        &mut self,
        number: u32,
        difference: Difference,
        judges: [u32; 2],
        again: Result<Played, Unplayable>,
        out: &mut Vec<Output>,
    ) {
        lemoncleat_faults::point!(RULES_VERDICT);
        self.verdicts.window = Some(judges);
        out.push(Output::Notice(Notice::OwnWindow { number, difference, judges, again }));
    }
}
