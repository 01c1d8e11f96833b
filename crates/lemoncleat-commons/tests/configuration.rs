//! Parts with a real log under a virtual clock: one configuration for all, agreed, spread, taken back, kept.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lemoncleat_agreement::Found;
use lemoncleat_commons::{Calls, Figures, Micros, Part, Said, Seat, Settings};
use lemoncleat_fleet::Member;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const COUNT: usize = 9;

enum Event {
    Word(usize, Vec<u8>),
    Linked(usize, bool),
    Stored(u64),
    Configured(u64, String),
    Kept(Vec<u8>),
}

struct Net {
    parts: Vec<Option<Part>>,
    configuration: bool,
    rng: SmallRng,
    now: Micros,
    coming: BTreeMap<(Micros, u64), (usize, Event)>,
    made: u64,
    last: BTreeMap<(usize, usize), Micros>,
    links: BTreeSet<(usize, usize)>,
    in_force: Vec<(u64, String)>,
    kept: Vec<Option<Vec<u8>>>,
    settled: Vec<Option<Micros>>,
    answers: Vec<(u64, Value)>,
    log: Vec<(usize, String)>,
    /// Nodes that can't use a text with "new" in it.
    old: BTreeSet<usize>,
    words: u64,
    bytes: u64,
}

impl Net {
    fn new(seed: u64, configuration: bool) -> Net {
        let mut net = Net {
            parts: (0..COUNT).map(|_| None).collect(),
            configuration,
            rng: SmallRng::seed_from_u64(seed),
            now: SECOND,
            coming: BTreeMap::new(),
            made: 0,
            last: BTreeMap::new(),
            links: BTreeSet::new(),
            in_force: vec![(0, String::new()); COUNT],
            kept: vec![None; COUNT],
            settled: vec![None; COUNT],
            answers: Vec::new(),
            log: Vec::new(),
            old: BTreeSet::new(),
            words: 0,
            bytes: 0,
        };
        (0..COUNT).for_each(|at| net.start(at, 1));
        net
    }

    fn start(&mut self, at: usize, start: u32) {
        let name = |at: usize| -> Arc<str> { format!("n{at}").into() };
        let member = |at: usize| Member { name: name(at), zone: format!("z{}", at % 3).into() };
        let settings = Settings {
            own: name(at),
            members: (0..COUNT).map(member).collect(),
            voters: (0..3).map(name).collect(),
            round: SECOND,
            configuration: self.configuration,
        };
        let seat = if at < 3 { Seat::Voter(Found::new(at as u64 + 1)) } else { Seat::Follower };
        let part = Part::new(&settings, seat, start, at as u64).expect("good settings");
        self.parts[at] = Some(part);
        (self.in_force[at], self.settled[at]) = ((0, String::new()), None);
        let kept = self.kept[at].clone();
        self.turn(at, |part, now, said| part.found(now, Ok(kept), said));
    }

    /// The process ends, and with it its connections.
    fn kill(&mut self, at: usize) {
        self.parts[at] = None;
        for other in 0..COUNT {
            if self.links.remove(&(at.min(other), at.max(other))) {
                self.later(other, at, Event::Linked(at, false));
            }
        }
        self.coming.retain(|_, (to, _)| *to != at);
    }

    fn later(&mut self, to: usize, from: usize, event: Event) {
        let at = self.now + self.rng.random_range(MS..20 * MS);
        let last = self.last.entry((to, from)).or_insert(0);
        *last = at.max(*last);
        self.made += 1;
        self.coming.insert((*last, self.made), (to, event));
    }

    fn turn<T>(&mut self, at: usize, turn: impl FnOnce(&mut Part, Micros, &mut Vec<Said>) -> T) -> Option<T> {
        let mut said = Vec::new();
        let told = turn(self.parts[at].as_mut()?, self.now, &mut said);
        for said in said {
            match said {
                Said::Meet(other) => {
                    if self.parts[other].is_some() && self.links.insert((at.min(other), at.max(other))) {
                        self.later(at, other, Event::Linked(other, true));
                        self.later(other, at, Event::Linked(at, true));
                    }
                }
                Said::Word(other, word) if self.links.contains(&(at.min(other), at.max(other))) => {
                    self.words += 1;
                    self.bytes += word.len() as u64;
                    self.later(other, at, Event::Word(at, word));
                }
                Said::Store(batch) => self.later(at, at, Event::Stored(batch.number)),
                Said::Configure { number, text } => self.later(at, at, Event::Configured(number, text)),
                Said::Keep(bytes) => self.later(at, at, Event::Kept(bytes)),
                Said::Settled => self.settled[at] = Some(self.now),
                Said::Answer(conn, answer) => self.answers.push((conn, answer)),
                Said::Log(_, text) => self.log.push((at, text)),
                Said::Part(_) | Said::Word(..) | Said::Fence(_) => {}
            }
        }
        Some(told)
    }

    fn run(&mut self, span: Micros) {
        let until = self.now + span;
        loop {
            let wakes = self.parts.iter().enumerate();
            let wakes = wakes.filter_map(|(at, part)| Some((part.as_ref()?.wake()?.max(self.now), at)));
            let wake = wakes.min();
            let next = self.coming.keys().next().copied();
            match (wake, next) {
                (wake, Some(key)) if key.0 <= until && wake.is_none_or(|(at, _)| key.0 <= at) => {
                    self.now = key.0;
                    if let Some((to, event)) = self.coming.remove(&key) {
                        self.event(to, event);
                    }
                }
                (Some((at, node)), _) if at <= until => {
                    // A wake that stays where it is must not hold the clock.
                    self.now = at;
                    self.turn(node, |part, now, said| part.timeout(now, Figures::default(), said));
                    self.now += 1;
                }
                _ => break,
            }
        }
        self.now = until;
    }

    fn event(&mut self, at: usize, event: Event) {
        match event {
            Event::Word(from, word) => {
                self.turn(at, |part, now, said| part.heard(now, from, &word, said));
            }
            Event::Linked(other, linked) => {
                self.turn(at, |part, now, said| part.linked(now, other, linked, said));
            }
            Event::Stored(batch) => {
                self.turn(at, |part, now, said| part.stored(now, batch, Ok(()), said));
            }
            Event::Configured(number, text) => {
                let result = if self.old.contains(&at) && text.contains("new") {
                    Err("a field that is unknown here".to_owned())
                } else {
                    self.in_force[at] = (number, text);
                    Ok(())
                };
                self.turn(at, |part, now, said| part.configured(now, number, result, said));
            }
            Event::Kept(bytes) => {
                self.kept[at] = Some(bytes);
                self.turn(at, |part, now, said| part.kept(now, Ok(()), said));
            }
        }
    }

    fn change(&mut self, at: usize, conn: u64, parent: u64, text: &str) -> Value {
        let order = format!("order {conn}");
        let taken = self.turn(at, |part, now, said| part.configure(now, conn, &order, parent, text, said));
        assert_eq!(taken, Some(true));
        self.run(10 * SECOND);
        let (_, answer) = self.answers.iter().find(|(of, _)| *of == conn).expect("an answer within 10 s");
        answer.clone()
    }

    fn at(&self, number: u64) -> usize {
        self.in_force.iter().filter(|(held, _)| *held == number).count()
    }
}

/// About 20 KiB packed: a command and words in pieces.
fn long(name: &str) -> String {
    let mut rng = SmallRng::seed_from_u64(7);
    let servers = (0..3_000).map(|_| format!("(server \"{:08x}\")\n", rng.random::<u32>()));
    format!("(classes {name})\n{}", servers.collect::<String>())
}

#[test]
fn a_change_at_any_node_is_in_force_at_all_and_kept() {
    let mut net = Net::new(1, true);
    net.run(5 * SECOND);
    assert!(net.settled.iter().all(Option::is_some));
    let answer = net.change(7, 1, 0, &long("one"));
    assert_eq!((answer["ok"].as_bool(), answer["number"].as_u64()), (Some(true), Some(1)), "{answer}");
    assert_eq!(net.at(1), COUNT);
    // At a voter, with calls told.
    net.turn(4, |part, _, _| part.calls(Calls { calls: 9, refused: 0, lost: 0 }));
    assert_eq!(net.change(0, 2, 1, "(classes two)")["number"], 2);
    assert_eq!((net.at(2), net.kept.iter().flatten().count()), (COUNT, COUNT));
    let refused = net.change(5, 3, 1, "(classes three)");
    assert_eq!(refused["error"], "made on version 1, but 2 is in force");
    let status = net.turn(8, |part, now, _| part.configuration(now)).flatten().expect("a configuration");
    assert_eq!((status["in_force"].as_u64(), status["phase"].as_str()), (Some(2), Some("all")), "{status}");
    assert_eq!((status["source"].as_str(), status["refused"].is_null()), (Some("agreed"), true), "{status}");
}

#[test]
fn a_text_that_some_can_not_use_is_taken_back_and_told() {
    let mut net = Net::new(2, true);
    net.run(5 * SECOND);
    net.change(7, 1, 0, "(classes one)");
    net.old = (0..COUNT).collect();
    assert_eq!(net.change(6, 2, 1, "(classes new)")["number"], 2);
    assert_eq!(net.at(1), COUNT);
    assert!(net.log.iter().any(|(_, text)| text.contains("can't be used: a field that is unknown here")));
    assert_eq!(net.change(6, 3, 1, "(classes three)")["number"], 3);
    assert_eq!(net.at(3), COUNT);
}

#[test]
fn who_has_what_is_answered_within_three_seconds() {
    let mut net = Net::new(3, true);
    net.run(5 * SECOND);
    net.change(7, 1, 0, "(classes one)");
    net.kill(5);
    assert_eq!(net.turn(4, |part, now, said| part.configurations(now, 9, said)), Some(true));
    net.run(3 * SECOND);
    let (_, answer) = net.answers.iter().find(|(conn, _)| *conn == 9).expect("an answer");
    assert_eq!((answer["newest"].as_u64(), answer["answered"].as_u64()), (Some(1), Some(8)), "{answer}");
    assert_eq!((answer["of"].as_u64(), answer["versions"]["1"].as_u64()), (Some(9), Some(8)), "{answer}");
}

#[test]
fn a_node_that_starts_anew_has_the_newest_with_and_without_its_copy() {
    let mut net = Net::new(4, true);
    net.run(5 * SECOND);
    net.change(7, 1, 0, &long("one"));
    for (start, copy) in [(2, true), (3, false)] {
        net.kill(8);
        if !copy {
            net.kept[8] = None;
        }
        net.run(20 * SECOND);
        net.start(8, start);
        net.run(3 * SECOND);
        assert!(net.settled[8].is_some());
        assert_eq!(net.in_force[8].0, 1, "with its copy: {copy}");
    }
}

#[test]
fn a_follower_pulls_only_while_an_operator_asks() {
    let mut net = Net::new(5, true);
    net.run(5 * SECOND);
    let marked = net.turn(6, |part, now, said| part.mark(now, 1, "m", "a mark", said));
    assert_eq!(marked, Some(true));
    net.run(10 * SECOND);
    assert!(net.answers.iter().any(|(conn, answer)| *conn == 1 && answer["ok"] == true), "{:?}", net.answers);
    let marks = |net: &mut Net| {
        let marks = net.turn(7, |part, _, _| part.marks(0)).flatten().expect("marks");
        marks["marks"].as_array().map_or(0, Vec::len)
    };
    assert_eq!(marks(&mut net), 0, "it never asked");
    net.run(5 * SECOND);
    assert_eq!(marks(&mut net), 1);
}

#[test]
fn without_a_configuration_nothing_of_it_is_said() {
    let mut net = Net::new(6, false);
    net.run(10 * SECOND);
    assert_eq!(net.turn(4, |part, now, said| part.configure(now, 1, "o", 0, "t", said)), Some(false));
    assert_eq!(net.turn(4, |part, now, said| part.configurations(now, 1, said)), Some(false));
    assert_eq!(net.turn(4, |part, now, _| part.configuration(now)), Some(None));
    assert!(net.settled.iter().all(Option::is_none) && net.answers.is_empty());
}
