//! Determines which nodes deviate from the majority, and how long the fleet has run several versions.

use std::collections::{BTreeMap, BTreeSet};

use lemoncleat::Micros;

use super::{Checker, Notice, Output};
use crate::version::Digest;
use crate::window::{Decider, Difference, Played, Unplayable};

/// Interval at which it is reported that the fleet runs several versions, in microseconds.
const VERSIONS_NOTICE_INTERVAL_US: Micros = 60_000_000;

/// Conclusions about the roots and versions in the fleet.
#[derive(Default)]
pub(crate) struct Verdicts {
    /// The root of more than half of the nodes of this version, and of at least two of them: a node is only
    /// outvoted among three or more.
    pub majority: Option<Digest>,
    /// Whether this node's cases were played a second time since its root was found to deviate.
    pub checked: bool,
    /// The judges that agree on a difference in one of this node's windows.
    pub window_judges: Option<[u32; 2]>,
    /// What has already been reported.
    reported_odd: BTreeSet<(u32, Digest)>,
    reported_undecided: bool,
    differing: bool,
    several_versions: Option<(Micros, Micros)>,
}

impl Verdicts {
    /// Resets the conclusions when the rules change. The time for which the fleet has run several versions
    /// continues.
    pub fn reset(&mut self) {
        *self = Verdicts { several_versions: self.several_versions, ..Verdicts::default() };
    }
}

impl<D: Decider> Checker<D> {
    /// Evaluates the statements of all nodes.
    pub(super) fn evaluate_roots(&mut self, out: &mut Vec<Output>) {
        if self.rules.is_none() {
            return;
        }
        self.evaluate_versions(out);
        let own = self.root().map(|root| (self.me, root, self.arithmetic));
        let others = self.fresh().filter(|(_, peer)| peer.statement.version == self.version);
        let others =
            others.filter_map(|(node, peer)| Some((node, peer.statement.root?, peer.statement.arithmetic)));
        let all: Vec<(u32, Digest, u32)> = own.into_iter().chain(others).collect();
        let mut roots = BTreeMap::<Digest, usize>::new();
        for &(_, root, _) in &all {
            *roots.entry(root).or_default() += 1;
        }
        let most_common = roots.iter().max_by_key(|(_, &count)| count).map(|(&root, &count)| (root, count));
        // At least two nodes, since one against one is no majority. More than half of all nodes that may run
        // this version, heard from or not: two against two is no majority either, regardless of which this
        // node heard from first.
        let other_version =
            |node: &u32| self.peers.get(node).is_some_and(|peer| peer.statement.version != self.version);
        let others = self.alive.iter().filter(|&node| *node != self.me && !other_version(node)).count();
        let majority = most_common.filter(|&(_, count)| count >= 2 && 2 * count > others + 1);
        self.verdicts.majority = majority.map(|(root, _)| root);
        if roots.len() < 2 {
            if std::mem::take(&mut self.verdicts.differing) {
                self.verdicts.reported_odd.clear();
                self.verdicts.reported_undecided = false;
                out.push(Output::Notice(Notice::Agreed));
            }
            return;
        }
        self.verdicts.differing = true;
        let Some((root, against)) = majority else {
            if !std::mem::replace(&mut self.verdicts.reported_undecided, true) {
                let (roots, nodes) = (roots.len(), all.len());
                out.push(Output::Notice(Notice::Undecided { roots, nodes }));
            }
            return;
        };
        let majority_fingerprint = all.iter().find(|one| one.1 == root).map(|one| one.2);
        for &(node, other, fingerprint) in all.iter().filter(|one| one.1 != root) {
            if self.verdicts.reported_odd.insert((node, other)) {
                lemoncleat_faults::point!(RULES_VERDICT);
                let arithmetic = majority_fingerprint != Some(fingerprint);
                out.push(Output::Notice(Notice::Odd { node, against, arithmetic }));
                if node == self.me && !self.checking {
                    // The fault may have been transient, so the cases are played again.
                    (self.checking, self.verdicts.checked) = (true, false);
                    out.push(Output::Cases);
                }
            }
        }
    }

    fn evaluate_versions(&mut self, out: &mut Vec<Output>) {
        let mut versions: BTreeSet<Digest> = self.fresh().map(|(_, peer)| peer.statement.version).collect();
        versions.insert(self.version);
        let now = self.now;
        match (&mut self.verdicts.several_versions, versions.len()) {
            (None, 1) => {}
            (Some((since, _)), 1) => {
                let held = now - *since;
                self.verdicts.several_versions = None;
                out.push(Output::Notice(Notice::OneVersion { held }));
            }
            (several, count) => {
                let (since, reported_at) = several.get_or_insert((now, Micros::MIN));
                if now.saturating_sub(*reported_at) >= VERSIONS_NOTICE_INTERVAL_US {
                    *reported_at = now;
                    out.push(Output::Notice(Notice::Versions { count, held: now - *since }));
                }
            }
        }
    }

    /// Whether this node should be fenced: two other nodes of its version agree on the difference, and it has
    /// checked again itself.
    pub(super) fn must_fence(&self) -> bool {
        let root_deviates = match (self.verdicts.majority, self.root()) {
            (Some(majority), Some(own)) => majority != own && self.verdicts.checked,
            _ => false,
        };
        // The judges' result counts as long as their own roots agree with the majority.
        let agrees_with_majority = |node: &u32| {
            let root = self.peers.get(node).and_then(|peer| peer.statement.root);
            root.is_some() && root == self.verdicts.majority
        };
        root_deviates
            || self.verdicts.window_judges.is_some_and(|judges| judges.iter().all(agrees_with_majority))
    }

    /// Two judges agree on a difference in one of this node's windows, and the window was played again here.
    /// The result of that is reported but is no veto: a faulty module agrees with itself.
    pub(super) fn report_own_window(
        &mut self,
        number: u32,
        difference: Difference,
        judges: [u32; 2],
        again: Result<Played, Unplayable>,
        out: &mut Vec<Output>,
    ) {
        lemoncleat_faults::point!(RULES_VERDICT);
        self.verdicts.window_judges = Some(judges);
        out.push(Output::Notice(Notice::OwnWindow { number, difference, judges, again }));
    }
}
