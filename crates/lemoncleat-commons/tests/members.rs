//! Runs parts in a small network on a virtual clock while their member lists change.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lemoncleat_commons::{Figures, FleetNode, Micros, Said, Settings, VoterRole};
use lemoncleat_fleet::Member;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn name(at: usize) -> Arc<str> {
    format!("n{at}").into()
}

fn members(of: &[usize]) -> Vec<Member> {
    of.iter().map(|at| Member { name: name(*at), zone: "z".into() }).collect()
}

fn part(own: usize, of: &[usize], voters: &[usize], seed: u64) -> FleetNode {
    let voters = voters.iter().map(|at| name(*at)).collect();
    let settings =
        Settings { own: name(own), members: members(of), voters, round: 200 * MS, configuration: false };
    FleetNode::new(&settings, VoterRole::Follower, 1, seed).expect("good settings")
}

/// A delivery: receiver, sender, and a message or whether the connection was established.
type Delivery = (usize, usize, Result<Vec<u8>, bool>);

/// A node: its part, and the members by place as in the node's core in `lemoncleat-node`.
struct Host {
    part: FleetNode,
    places: Vec<Option<usize>>,
}

struct Net {
    nodes: BTreeMap<usize, Host>,
    rng: SmallRng,
    now: Micros,
    in_flight: BTreeMap<(Micros, u64), Delivery>,
    sequence: u64,
    links: BTreeSet<(usize, usize)>,
    last_arrival: BTreeMap<(usize, usize), Micros>,
    log: Vec<(usize, bool, String)>,
}

impl Net {
    fn new(of: &[usize]) -> Net {
        let mut net = Net {
            nodes: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(3),
            now: SECOND,
            in_flight: BTreeMap::new(),
            sequence: 0,
            links: BTreeSet::new(),
            last_arrival: BTreeMap::new(),
            log: Vec::new(),
        };
        of.iter().for_each(|at| net.start(*at, of));
        net
    }

    fn start(&mut self, at: usize, of: &[usize]) {
        let part = part(at, of, &[], self.rng.random());
        self.nodes.insert(at, Host { part, places: of.iter().copied().map(Some).collect() });
    }

    fn schedule(&mut self, to: usize, from: usize, what: Result<Vec<u8>, bool>) {
        let at = self.now + self.rng.random_range(MS..40 * MS);
        let last_arrival = self.last_arrival.entry((to, from)).or_insert(0);
        *last_arrival = at.max(*last_arrival);
        self.sequence += 1;
        self.in_flight.insert((*last_arrival, self.sequence), (to, from, what));
    }

    fn unlink(&mut self, one: usize, other: usize) {
        if self.links.remove(&(one.min(other), one.max(other))) {
            self.schedule(one, other, Err(false));
            self.schedule(other, one, Err(false));
        }
    }

    fn kill(&mut self, at: usize) {
        self.nodes.remove(&at);
        let others: Vec<usize> = self.nodes.keys().copied().collect();
        others.into_iter().for_each(|other| self.unlink(at, other));
    }

    fn with_part(&mut self, at: usize, call: impl FnOnce(&mut FleetNode, Micros, &mut Vec<Said>)) {
        let mut actions = Vec::new();
        let Some(node) = self.nodes.get_mut(&at) else { return };
        call(&mut node.part, self.now, &mut actions);
        let places = node.places.clone();
        let member_at = |place: usize| places.get(place).copied().flatten();
        for action in actions {
            match action {
                Said::Connect(place) => {
                    let Some(other) = member_at(place) else { continue };
                    let has_member = |node: &Host| node.places.contains(&Some(at));
                    if self.nodes.get(&other).is_some_and(has_member)
                        && self.links.insert((at.min(other), at.max(other)))
                    {
                        self.schedule(at, other, Err(true));
                        self.schedule(other, at, Err(true));
                    }
                }
                Said::Send(place, message) => {
                    let linked = |other: &usize| self.links.contains(&(at.min(*other), at.max(*other)));
                    if let Some(other) = member_at(place).filter(linked) {
                        self.schedule(other, at, Ok(message));
                    }
                }
                Said::Log(bad, text) => self.log.push((at, bad, text)),
                Said::Disconnect(_) | Said::Fence(_) | Said::Store(_) | Said::Answer(..) => {}
                Said::ApplyConfiguration { .. } | Said::Persist(_) | Said::Ready => {}
            }
        }
    }

    /// Changes the member list of a node, first in its part and then in its core.
    fn change(&mut self, at: usize, of: &[usize]) {
        self.with_part(at, |part, now, actions| part.set_members(now, members(of), actions));
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let removed: Vec<usize> =
            node.places.iter().flatten().copied().filter(|it| !of.contains(it)).collect();
        node.places.iter_mut().for_each(|place| *place = place.filter(|it| of.contains(it)));
        let added: Vec<usize> = of.iter().copied().filter(|it| !node.places.contains(&Some(*it))).collect();
        node.places.extend(added.into_iter().map(Some));
        removed.into_iter().for_each(|other| self.unlink(at, other));
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            while let Some(first) = self.in_flight.first_entry().filter(|first| first.key().0 <= self.now) {
                let (to, from, what) = first.remove();
                let places = self.nodes.get(&to).map(|node| node.places.clone()).unwrap_or_default();
                let Some(place) = places.iter().position(|it| *it == Some(from)) else { continue };
                self.with_part(to, |part, now, actions| match what {
                    Ok(message) => part.heard(now, place, &message, actions),
                    Err(linked) => part.linked(now, place, linked, actions),
                });
            }
            for at in self.nodes.keys().copied().collect::<Vec<_>>() {
                let wake = self.nodes.get(&at).and_then(|node| node.part.wake());
                if wake.is_none_or(|wake| wake <= self.now) {
                    let figures = Figures { standing: at as u64, ..Figures::default() };
                    self.with_part(at, |part, now, actions| part.timeout(now, figures, actions));
                }
            }
        }
    }

    /// Returns the number of members that a node has, and those alive with their figures.
    fn alive(&self, at: usize) -> (usize, BTreeMap<String, Option<u64>>) {
        let status = self.nodes[&at].part.members(self.now);
        let alive = status["members"].as_array().expect("members").iter().filter(|it| it["state"] == "alive");
        let alive =
            alive.map(|it| (it["host"].as_str().expect("a host").to_owned(), it["standing"].as_u64()));
        (status["of"].as_u64().expect("a number") as usize, alive.collect())
    }

    fn assert_all_know(&self, of: &[usize]) {
        let all: BTreeMap<String, Option<u64>> =
            of.iter().map(|at| (name(*at).to_string(), Some(*at as u64))).collect();
        for at in of {
            assert_eq!(self.alive(*at), (of.len(), all.clone()), "at n{at}");
        }
    }
}

#[test]
fn replaced_member_publishes_figures_without_restart_of_the_others() {
    let mut net = Net::new(&[0, 1, 2, 3, 4]);
    net.run(15 * SECOND);
    net.assert_all_know(&[0, 1, 2, 3, 4]);
    net.kill(1);
    net.run(SECOND);
    // The new member starts first, with a list in another order; the others change their lists one after
    // another.
    let of = [5, 4, 3, 2, 0];
    net.start(5, &of);
    net.log.clear();
    for at in [0, 2, 3, 4] {
        net.run(SECOND);
        net.change(at, &of);
    }
    net.run(15 * SECOND);
    net.assert_all_know(&[0, 2, 3, 4, 5]);
    let bad: Vec<_> = net.log.iter().filter(|(_, bad, _)| *bad).collect();
    assert!(bad.iter().all(|(_, _, text)| text.contains("n1") || text.contains("no member")), "{bad:?}");
    // A member that returns under its old name gets a new place.
    let of = [0, 1, 2, 3, 4, 5];
    of.iter().for_each(|at| net.change(*at, &of));
    net.start(1, &of);
    net.run(15 * SECOND);
    net.assert_all_know(&of);
    assert_eq!(net.nodes[&0].places, [0, 9, 2, 3, 4, 5, 1].map(|at| Some(at).filter(|at| *at != 9)));
}

#[test]
fn refused_member_list_changes_nothing() {
    let mut part = part(0, &[0, 1, 2, 3], &[1, 2, 3], 1);
    let mut actions = Vec::new();
    let before = part.members(SECOND);
    for (of, why) in [
        (&[0, 1, 2][..], "n3 is a voter, and can't be removed in place"),
        (&[1, 2, 3], "n0 is not among the members"),
        (&[0, 1, 2, 3, 3], "member n3 is named twice"),
    ] {
        assert_eq!(part.check_members(&members(of)), Err(why.to_owned()));
        part.set_members(SECOND, members(of), &mut actions);
        let logged = std::mem::take(&mut actions);
        assert!(matches!(&logged[..], [Said::Log(true, text)] if text.ends_with(why)), "{logged:?}");
        assert_eq!(part.members(SECOND), before);
    }
    part.set_members(SECOND, members(&[0, 1, 2, 3, 7]), &mut actions);
    assert!(actions.is_empty() && part.members(SECOND)["of"] == 5);
}

#[test]
fn member_list_is_refused_when_places_run_out() {
    let mut part = part(0, &[0, 1], &[], 1);
    let mut actions = Vec::new();
    for _ in 0..16 * 1024 - 2 {
        part.set_members(SECOND, members(&[0]), &mut actions);
        part.set_members(SECOND, members(&[0, 1]), &mut actions);
    }
    assert!(actions.iter().all(|it| !matches!(it, Said::Log(true, _))));
    part.set_members(SECOND, members(&[0]), &mut actions);
    assert!(part.check_members(&members(&[0, 1])).is_err_and(|why| why.contains("no place is left")));
}
