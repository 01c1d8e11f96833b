//! Runs parts with a real log on a virtual clock: a configuration is agreed, distributed, rolled back and
//! saved.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lemoncleat_agreement::Found;
use lemoncleat_commons::{Calls, Figures, FleetNode, Micros, Said, Settings, VoterRole};
use lemoncleat_fleet::Member;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const COUNT: usize = 9;

enum Event {
    Message(usize, Vec<u8>),
    Linked(usize, bool),
    Stored(u64),
    Applied(u64, String),
    Persisted(Vec<u8>),
}

struct Net {
    parts: Vec<Option<FleetNode>>,
    configuration: bool,
    rng: SmallRng,
    now: Micros,
    in_flight: BTreeMap<(Micros, u64), (usize, Event)>,
    sequence: u64,
    last_arrival: BTreeMap<(usize, usize), Micros>,
    links: BTreeSet<(usize, usize)>,
    in_force: Vec<(u64, String)>,
    saved: Vec<Option<Vec<u8>>>,
    ready_at: Vec<Option<Micros>>,
    answers: Vec<(u64, Value)>,
    log: Vec<(usize, String)>,
    /// Nodes that refuse a text that contains "new".
    rejects_new: BTreeSet<usize>,
    messages: u64,
    bytes: u64,
}

impl Net {
    fn new(seed: u64, configuration: bool) -> Net {
        let mut net = Net {
            parts: (0..COUNT).map(|_| None).collect(),
            configuration,
            rng: SmallRng::seed_from_u64(seed),
            now: SECOND,
            in_flight: BTreeMap::new(),
            sequence: 0,
            last_arrival: BTreeMap::new(),
            links: BTreeSet::new(),
            in_force: vec![(0, String::new()); COUNT],
            saved: vec![None; COUNT],
            ready_at: vec![None; COUNT],
            answers: Vec::new(),
            log: Vec::new(),
            rejects_new: BTreeSet::new(),
            messages: 0,
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
        let seat = if at < 3 { VoterRole::Voter(Found::new(at as u64 + 1)) } else { VoterRole::Follower };
        let part = FleetNode::new(&settings, seat, start, at as u64).expect("good settings");
        self.parts[at] = Some(part);
        (self.in_force[at], self.ready_at[at]) = ((0, String::new()), None);
        let saved = self.saved[at].clone();
        self.with_part(at, |part, now, actions| part.found(now, Ok(saved), actions));
    }

    /// Ends a process and its connections.
    fn kill(&mut self, at: usize) {
        self.parts[at] = None;
        for other in 0..COUNT {
            if self.links.remove(&(at.min(other), at.max(other))) {
                self.schedule(other, at, Event::Linked(at, false));
            }
        }
        self.in_flight.retain(|_, (to, _)| *to != at);
    }

    fn schedule(&mut self, to: usize, from: usize, event: Event) {
        let at = self.now + self.rng.random_range(MS..20 * MS);
        let last_arrival = self.last_arrival.entry((to, from)).or_insert(0);
        *last_arrival = at.max(*last_arrival);
        self.sequence += 1;
        self.in_flight.insert((*last_arrival, self.sequence), (to, event));
    }

    fn with_part<T>(
        &mut self,
        at: usize,
        call: impl FnOnce(&mut FleetNode, Micros, &mut Vec<Said>) -> T,
    ) -> Option<T> {
        let mut actions = Vec::new();
        let result = call(self.parts[at].as_mut()?, self.now, &mut actions);
        for action in actions {
            match action {
                Said::Connect(other) => {
                    if self.parts[other].is_some() && self.links.insert((at.min(other), at.max(other))) {
                        self.schedule(at, other, Event::Linked(other, true));
                        self.schedule(other, at, Event::Linked(at, true));
                    }
                }
                Said::Send(other, message) if self.links.contains(&(at.min(other), at.max(other))) => {
                    self.messages += 1;
                    self.bytes += message.len() as u64;
                    self.schedule(other, at, Event::Message(at, message));
                }
                Said::Store(batch) => self.schedule(at, at, Event::Stored(batch.number)),
                Said::ApplyConfiguration { number, text } => {
                    self.schedule(at, at, Event::Applied(number, text))
                }
                Said::Persist(bytes) => self.schedule(at, at, Event::Persisted(bytes)),
                Said::Ready => self.ready_at[at] = Some(self.now),
                Said::Answer(conn, answer) => self.answers.push((conn, answer)),
                Said::Log(_, text) => self.log.push((at, text)),
                Said::Disconnect(_) | Said::Send(..) | Said::Fence(_) => {}
            }
        }
        Some(result)
    }

    fn run(&mut self, span: Micros) {
        let until = self.now + span;
        loop {
            let wakes = self.parts.iter().enumerate();
            let wakes = wakes.filter_map(|(at, part)| Some((part.as_ref()?.wake()?.max(self.now), at)));
            let wake = wakes.min();
            let next = self.in_flight.keys().next().copied();
            match (wake, next) {
                (wake, Some(key)) if key.0 <= until && wake.is_none_or(|(at, _)| key.0 <= at) => {
                    self.now = key.0;
                    if let Some((to, event)) = self.in_flight.remove(&key) {
                        self.event(to, event);
                    }
                }
                (Some((at, node)), _) if at <= until => {
                    // The clock advances even if a part does not change its wake time.
                    self.now = at;
                    self.with_part(node, |part, now, actions| part.timeout(now, Figures::default(), actions));
                    self.now += 1;
                }
                _ => break,
            }
        }
        self.now = until;
    }

    fn event(&mut self, at: usize, event: Event) {
        match event {
            Event::Message(from, message) => {
                self.with_part(at, |part, now, actions| part.heard(now, from, &message, actions));
            }
            Event::Linked(other, linked) => {
                self.with_part(at, |part, now, actions| part.linked(now, other, linked, actions));
            }
            Event::Stored(batch) => {
                self.with_part(at, |part, now, actions| part.stored(now, batch, Ok(()), actions));
            }
            Event::Applied(number, text) => {
                let result = if self.rejects_new.contains(&at) && text.contains("new") {
                    Err("a field that is unknown here".to_owned())
                } else {
                    self.in_force[at] = (number, text);
                    Ok(())
                };
                self.with_part(at, |part, now, actions| part.version_applied(now, number, result, actions));
            }
            Event::Persisted(bytes) => {
                self.saved[at] = Some(bytes);
                self.with_part(at, |part, now, actions| part.kept(now, Ok(()), actions));
            }
        }
    }

    fn change(&mut self, at: usize, conn: u64, parent: u64, text: &str) -> Value {
        let order = format!("order {conn}");
        let accepted =
            self.with_part(at, |part, now, actions| part.configure(now, conn, &order, parent, text, actions));
        assert_eq!(accepted, Some(true));
        self.run(10 * SECOND);
        let (_, answer) = self.answers.iter().find(|(of, _)| *of == conn).expect("an answer within 10 s");
        answer.clone()
    }

    fn count_in_force(&self, number: u64) -> usize {
        self.in_force.iter().filter(|(held, _)| *held == number).count()
    }
}

/// Returns a text of about 20 KiB packed, so that the command and its messages are fragmented.
fn long_text(name: &str) -> String {
    let mut rng = SmallRng::seed_from_u64(7);
    let servers = (0..3_000).map(|_| format!("(server \"{:08x}\")\n", rng.random::<u32>()));
    format!("(classes {name})\n{}", servers.collect::<String>())
}

#[test]
fn change_at_any_node_is_applied_and_saved_at_all() {
    let mut net = Net::new(1, true);
    net.run(5 * SECOND);
    assert!(net.ready_at.iter().all(Option::is_some));
    let answer = net.change(7, 1, 0, &long_text("one"));
    assert_eq!((answer["ok"].as_bool(), answer["number"].as_u64()), (Some(true), Some(1)), "{answer}");
    assert_eq!(net.count_in_force(1), COUNT);
    // At a voter, with call counters set.
    net.with_part(4, |part, _, _| part.calls(Calls { calls: 9, refused: 0, lost: 0 }));
    assert_eq!(net.change(0, 2, 1, "(classes two)")["number"], 2);
    assert_eq!((net.count_in_force(2), net.saved.iter().flatten().count()), (COUNT, COUNT));
    let refused = net.change(5, 3, 1, "(classes three)");
    assert_eq!(refused["error"], "made on version 1, but 2 is in force");
    let status = net.with_part(8, |part, now, _| part.configuration(now)).flatten().expect("a configuration");
    assert_eq!((status["in_force"].as_u64(), status["phase"].as_str()), (Some(2), Some("all")), "{status}");
    assert_eq!((status["source"].as_str(), status["refused"].is_null()), (Some("agreed"), true), "{status}");
}

#[test]
fn version_that_canaries_refuse_is_rolled_back_and_logged() {
    let mut net = Net::new(2, true);
    net.run(5 * SECOND);
    net.change(7, 1, 0, "(classes one)");
    net.rejects_new = (0..COUNT).collect();
    assert_eq!(net.change(6, 2, 1, "(classes new)")["number"], 2);
    assert_eq!(net.count_in_force(1), COUNT);
    assert!(net.log.iter().any(|(_, text)| text.contains("can't be used: a field that is unknown here")));
    assert_eq!(net.change(6, 3, 1, "(classes three)")["number"], 3);
    assert_eq!(net.count_in_force(3), COUNT);
}

#[test]
fn query_of_versions_in_force_is_answered_within_three_seconds() {
    let mut net = Net::new(3, true);
    net.run(5 * SECOND);
    net.change(7, 1, 0, "(classes one)");
    net.kill(5);
    assert_eq!(net.with_part(4, |part, now, actions| part.configurations(now, 9, actions)), Some(true));
    net.run(3 * SECOND);
    let (_, answer) = net.answers.iter().find(|(conn, _)| *conn == 9).expect("an answer");
    assert_eq!((answer["newest"].as_u64(), answer["answered"].as_u64()), (Some(1), Some(8)), "{answer}");
    assert_eq!((answer["of"].as_u64(), answer["versions"]["1"].as_u64()), (Some(9), Some(8)), "{answer}");
}

#[test]
fn restarted_node_applies_newest_version_with_and_without_saved_copy() {
    let mut net = Net::new(4, true);
    net.run(5 * SECOND);
    net.change(7, 1, 0, &long_text("one"));
    for (start, copy) in [(2, true), (3, false)] {
        net.kill(8);
        if !copy {
            net.saved[8] = None;
        }
        net.run(20 * SECOND);
        net.start(8, start);
        net.run(3 * SECOND);
        assert!(net.ready_at[8].is_some());
        assert_eq!(net.in_force[8].0, 1, "with its copy: {copy}");
    }
}

#[test]
fn follower_pulls_the_log_only_after_an_operator_request() {
    let mut net = Net::new(5, true);
    net.run(5 * SECOND);
    let marked = net.with_part(6, |part, now, actions| part.mark(now, 1, "m", "a mark", actions));
    assert_eq!(marked, Some(true));
    net.run(10 * SECOND);
    assert!(net.answers.iter().any(|(conn, answer)| *conn == 1 && answer["ok"] == true), "{:?}", net.answers);
    let marks = |net: &mut Net| {
        let marks = net.with_part(7, |part, _, _| part.marks(0)).flatten().expect("marks");
        marks["marks"].as_array().map_or(0, Vec::len)
    };
    assert_eq!(marks(&mut net), 0, "the follower has not requested the log yet");
    net.run(5 * SECOND);
    assert_eq!(marks(&mut net), 1);
}

#[test]
fn part_without_configuration_emits_no_configuration_actions() {
    let mut net = Net::new(6, false);
    net.run(10 * SECOND);
    assert_eq!(
        net.with_part(4, |part, now, actions| part.configure(now, 1, "o", 0, "t", actions)),
        Some(false)
    );
    assert_eq!(net.with_part(4, |part, now, actions| part.configurations(now, 1, actions)), Some(false));
    assert_eq!(net.with_part(4, |part, now, _| part.configuration(now)), Some(None));
    assert!(net.ready_at.iter().all(Option::is_none) && net.answers.is_empty());
}
