//! Parts whose members change while they run, on a small network under a virtual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lemoncleat_commons::{Figures, Micros, Part, Said, Seat, Settings};
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

fn part(own: usize, of: &[usize], voters: &[usize], seed: u64) -> Part {
    let voters = voters.iter().map(|at| name(*at)).collect();
    let settings =
        Settings { own: name(own), members: members(of), voters, round: 200 * MS, configuration: false };
    Part::new(&settings, Seat::Follower, 1, seed).expect("good settings")
}

/// To whom, from whom, and a word or whether linked.
type Coming = (usize, usize, Result<Vec<u8>, bool>);

/// A node: its part, and whom its core has at which place, as `lemoncleat-node` has it.
struct Host {
    part: Part,
    places: Vec<Option<usize>>,
}

struct Net {
    nodes: BTreeMap<usize, Host>,
    rng: SmallRng,
    now: Micros,
    coming: BTreeMap<(Micros, u64), Coming>,
    made: u64,
    links: BTreeSet<(usize, usize)>,
    last: BTreeMap<(usize, usize), Micros>,
    log: Vec<(usize, bool, String)>,
}

impl Net {
    fn new(of: &[usize]) -> Net {
        let mut net = Net {
            nodes: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(3),
            now: SECOND,
            coming: BTreeMap::new(),
            made: 0,
            links: BTreeSet::new(),
            last: BTreeMap::new(),
            log: Vec::new(),
        };
        of.iter().for_each(|at| net.start(*at, of));
        net
    }

    fn start(&mut self, at: usize, of: &[usize]) {
        let part = part(at, of, &[], self.rng.random());
        self.nodes.insert(at, Host { part, places: of.iter().copied().map(Some).collect() });
    }

    fn later(&mut self, to: usize, from: usize, what: Result<Vec<u8>, bool>) {
        let at = self.now + self.rng.random_range(MS..40 * MS);
        let last = self.last.entry((to, from)).or_insert(0);
        *last = at.max(*last);
        self.made += 1;
        self.coming.insert((*last, self.made), (to, from, what));
    }

    fn unlink(&mut self, one: usize, other: usize) {
        if self.links.remove(&(one.min(other), one.max(other))) {
            self.later(one, other, Err(false));
            self.later(other, one, Err(false));
        }
    }

    fn kill(&mut self, at: usize) {
        self.nodes.remove(&at);
        let others: Vec<usize> = self.nodes.keys().copied().collect();
        others.into_iter().for_each(|other| self.unlink(at, other));
    }

    fn turn(&mut self, at: usize, turn: impl FnOnce(&mut Part, Micros, &mut Vec<Said>)) {
        let mut said = Vec::new();
        let Some(node) = self.nodes.get_mut(&at) else { return };
        turn(&mut node.part, self.now, &mut said);
        let places = node.places.clone();
        let whose = |place: usize| places.get(place).copied().flatten();
        for said in said {
            match said {
                Said::Meet(place) => {
                    let Some(other) = whose(place) else { continue };
                    let knows = |node: &Host| node.places.contains(&Some(at));
                    if self.nodes.get(&other).is_some_and(knows)
                        && self.links.insert((at.min(other), at.max(other)))
                    {
                        self.later(at, other, Err(true));
                        self.later(other, at, Err(true));
                    }
                }
                Said::Word(place, word) => {
                    let linked = |other: &usize| self.links.contains(&(at.min(*other), at.max(*other)));
                    if let Some(other) = whose(place).filter(linked) {
                        self.later(other, at, Ok(word));
                    }
                }
                Said::Log(bad, text) => self.log.push((at, bad, text)),
                Said::Part(_) | Said::Fence(_) | Said::Store(_) | Said::Answer(..) => {}
                Said::Configure { .. } | Said::Keep(_) | Said::Settled => {}
            }
        }
    }

    /// A node puts a list in force, in its part and then in its core.
    fn change(&mut self, at: usize, of: &[usize]) {
        self.turn(at, |part, now, said| part.set_members(now, members(of), said));
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let went: Vec<usize> = node.places.iter().flatten().copied().filter(|it| !of.contains(it)).collect();
        node.places.iter_mut().for_each(|place| *place = place.filter(|it| of.contains(it)));
        let fresh: Vec<usize> = of.iter().copied().filter(|it| !node.places.contains(&Some(*it))).collect();
        node.places.extend(fresh.into_iter().map(Some));
        went.into_iter().for_each(|other| self.unlink(at, other));
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            while let Some(first) = self.coming.first_entry().filter(|first| first.key().0 <= self.now) {
                let (to, from, what) = first.remove();
                let places = self.nodes.get(&to).map(|node| node.places.clone()).unwrap_or_default();
                let Some(place) = places.iter().position(|it| *it == Some(from)) else { continue };
                self.turn(to, |part, now, said| match what {
                    Ok(word) => part.heard(now, place, &word, said),
                    Err(linked) => part.linked(now, place, linked, said),
                });
            }
            for at in self.nodes.keys().copied().collect::<Vec<_>>() {
                let wake = self.nodes.get(&at).and_then(|node| node.part.wake());
                if wake.is_none_or(|wake| wake <= self.now) {
                    let figures = Figures { standing: at as u64, ..Figures::default() };
                    self.turn(at, |part, now, said| part.timeout(now, figures, said));
                }
            }
        }
    }

    /// Whom a node has for alive, with the figures that it has of them.
    fn alive(&self, at: usize) -> (usize, BTreeMap<String, Option<u64>>) {
        let told = self.nodes[&at].part.members(self.now);
        let alive = told["members"].as_array().expect("members").iter().filter(|it| it["state"] == "alive");
        let alive =
            alive.map(|it| (it["host"].as_str().expect("a host").to_owned(), it["standing"].as_u64()));
        (told["of"].as_u64().expect("a number") as usize, alive.collect())
    }

    fn all_know(&self, of: &[usize]) {
        let all: BTreeMap<String, Option<u64>> =
            of.iter().map(|at| (name(*at).to_string(), Some(*at as u64))).collect();
        for at in of {
            assert_eq!(self.alive(*at), (of.len(), all.clone()), "at n{at}");
        }
    }
}

#[test]
fn a_machine_is_replaced_and_its_figures_come_without_a_restart_of_the_others() {
    let mut net = Net::new(&[0, 1, 2, 3, 4]);
    net.run(15 * SECOND);
    net.all_know(&[0, 1, 2, 3, 4]);
    net.kill(1);
    net.run(SECOND);
    // The new one first, in an order of its own; the others one after another.
    let of = [5, 4, 3, 2, 0];
    net.start(5, &of);
    net.log.clear();
    for at in [0, 2, 3, 4] {
        net.run(SECOND);
        net.change(at, &of);
    }
    net.run(15 * SECOND);
    net.all_know(&[0, 2, 3, 4, 5]);
    let bad: Vec<_> = net.log.iter().filter(|(_, bad, _)| *bad).collect();
    assert!(bad.iter().all(|(_, _, text)| text.contains("n1") || text.contains("no member")), "{bad:?}");
    // Back under its name, it has a place of its own.
    let of = [0, 1, 2, 3, 4, 5];
    of.iter().for_each(|at| net.change(*at, &of));
    net.start(1, &of);
    net.run(15 * SECOND);
    net.all_know(&of);
    assert_eq!(net.nodes[&0].places, [0, 9, 2, 3, 4, 5, 1].map(|at| Some(at).filter(|at| *at != 9)));
}

#[test]
fn a_voter_can_not_be_removed_in_place_and_a_list_that_is_refused_changes_nothing() {
    let mut part = part(0, &[0, 1, 2, 3], &[1, 2, 3], 1);
    let mut said = Vec::new();
    let before = part.members(SECOND);
    for (of, why) in [
        (&[0, 1, 2][..], "n3 is a voter, and can't be removed in place"),
        (&[1, 2, 3], "n0 is not among the members"),
        (&[0, 1, 2, 3, 3], "member n3 is named twice"),
    ] {
        assert_eq!(part.check_members(&members(of)), Err(why.to_owned()));
        part.set_members(SECOND, members(of), &mut said);
        let told = std::mem::take(&mut said);
        assert!(matches!(&told[..], [Said::Log(true, text)] if text.ends_with(why)), "{told:?}");
        assert_eq!(part.members(SECOND), before);
    }
    part.set_members(SECOND, members(&[0, 1, 2, 3, 7]), &mut said);
    assert!(said.is_empty() && part.members(SECOND)["of"] == 5);
}

#[test]
fn places_run_out_after_many_changes_and_it_is_told() {
    let mut part = part(0, &[0, 1], &[], 1);
    let mut said = Vec::new();
    for _ in 0..16 * 1024 - 2 {
        part.set_members(SECOND, members(&[0]), &mut said);
        part.set_members(SECOND, members(&[0, 1]), &mut said);
    }
    assert!(said.iter().all(|it| !matches!(it, Said::Log(true, _))));
    part.set_members(SECOND, members(&[0]), &mut said);
    assert!(part.check_members(&members(&[0, 1])).is_err_and(|why| why.contains("no place is left")));
}
