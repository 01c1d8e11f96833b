//! A fleet of holders, a ledger and a stand-in for the agreed log under a virtual clock, with the laws checked.
#![allow(dead_code, clippy::collapsible_match, clippy::collapsible_if)]

use std::collections::{BTreeMap, BTreeSet};
use std::panic::{catch_unwind, AssertUnwindSafe};

use lemoncleat_credit::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const MS: Micros = 1_000;
pub const CUSTOMER: Customer = Customer(7);
pub const VOICE: Class = Class(1);
pub const CHEAP: Class = Class(2);
pub const FREE: Class = Class(9);

pub fn tariff() -> Tariff {
    let price = |set_up, second, worth, expected| Price { set_up, second, worth, expected };
    Tariff::new([(VOICE, price(10, 2, 5.0, 20)), (CHEAP, price(5, 3, 0.5, 20))], []).unwrap()
}

pub fn holder_settings() -> HolderSettings {
    HolderSettings {
        validity: 10 * SECOND,
        drift: SECOND / 2,
        first: 2,
        slice: 2,
        ahead: SECOND,
        set_up: SECOND,
        horizon: 2 * SECOND,
        ..HolderSettings::default()
    }
}

pub fn ledger_settings() -> LedgerSettings {
    LedgerSettings { validity: 10 * SECOND, drift: SECOND / 2, ..LedgerSettings::default() }
}

/// How a world goes.
#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub delay: (Micros, Micros),
    pub loss: f64,
    pub double: f64,
    pub holder: HolderSettings,
    pub ledger: LedgerSettings,
    /// The operator writes off what ran out of a node that died or does not answer.
    pub write_off: bool,
    pub skew: Micros,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            nodes: 3,
            delay: (2 * MS, 15 * MS),
            loss: 0.0,
            double: 0.0,
            holder: holder_settings(),
            ledger: ledger_settings(),
            write_off: true,
            skew: 0,
        }
    }
}

#[derive(Clone, Debug)]
pub enum Event {
    Proposal(Vec<u8>),
    Join,
    Commit(Vec<u8>),
    Effects(usize, u64, Vec<Effect>),
    Input(usize, u64, Input),
    Wake(usize),
    Leader,
    NewLeader(bool),
    Kill(usize),
    Start(usize),
    Pause(usize, Micros),
    Cut(usize, bool, bool),
    Jump(usize, Micros),
}

pub struct Member {
    pub holder: Option<Holder>,
    pub incarnation: u64,
    pub offset: Micros,
    pub paused: Micros,
    pub cut: (bool, bool),
    wake: Micros,
    last_effects: Micros,
    held_back: Vec<Effect>,
    pub whole: bool,
}

#[derive(Clone, Debug)]
pub struct Truth {
    pub node: usize,
    incarnation: u64,
    customer: Customer,
    price: Price,
    pub asked: Micros,
    pub admitted: Option<Micros>,
    pub refused: Option<Why>,
    pub stood: Option<Micros>,
    pub ended: Option<Micros>,
    pub told_end: u32,
    bound: bool,
    paid: u32,
    pub charged: Units,
}

impl Truth {
    fn units(&self, local: Micros) -> Units {
        let Some(stood) = self.stood.filter(|_| !self.bound || self.paid > 0) else { return 0 };
        let span = (self.ended.unwrap_or(local) - stood).max(1);
        let seconds = u32::try_from((span + SECOND - 1) / SECOND).unwrap();
        self.price.call(if self.bound { seconds.min(self.paid) } else { seconds })
    }
}

pub struct World {
    pub now: Micros,
    pub plan: Plan,
    pub rng: SmallRng,
    events: BTreeMap<(Micros, u64), Event>,
    sequence: u64,
    pub ledger: Ledger,
    log: Vec<Vec<u8>>,
    snapshot: (usize, Vec<u8>),
    joiner: Joiner,
    joins: Micros,
    ticker: Ticker,
    leader_offset: Micros,
    leader_away: Micros,
    next_commit: Micros,
    pub members: Vec<Member>,
    pub calls: BTreeMap<u64, Truth>,
    standing: BTreeSet<u64>,
    over: BTreeMap<Customer, Units>,
    pub orders: BTreeMap<u64, (Customer, Units)>,
    pub allowed: Units,
    written: BTreeMap<u64, Units>,
    /// What a dead process had of a grant, as the operator finds in its records.
    records: BTreeMap<u64, Units>,
    pub entries: u64,
    pub notices: Vec<(usize, Notice)>,
    pub broken: Option<String>,
    pub closed: bool,
    pub charged: Units,
    pub checks: u64,
    pub steps: u64,
    /// Laws are checked after each step; otherwise after each entry.
    pub every_step: bool,
    /// For measurements: books are not compared.
    pub light: bool,
}

impl World {
    pub fn new(seed: u64, plan: Plan) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ledger = Ledger::new(plan.ledger);
        let mut members = Vec::new();
        for node in 0..plan.nodes {
            let offset = if plan.skew > 0 { rng.random_range(-plan.skew..=plan.skew) } else { 0 };
            members.push(Member {
                holder: Some(Holder::new(node as Node, 1, plan.holder, tariff())),
                incarnation: 1,
                offset,
                paused: 0,
                cut: (false, false),
                wake: Micros::MAX,
                last_effects: 0,
                held_back: Vec::new(),
                whole: true,
            });
        }
        let every_step = plan.nodes <= 16;
        let mut world = World {
            now: 0,
            snapshot: (0, ledger.snapshot()),
            plan,
            rng,
            events: BTreeMap::new(),
            sequence: 0,
            ledger,
            log: Vec::new(),
            joiner: Joiner::new(25 * MS),
            joins: Micros::MIN,
            ticker: Ticker::default(),
            leader_offset: 0,
            leader_away: 0,
            next_commit: 0,
            members,
            calls: BTreeMap::new(),
            standing: BTreeSet::new(),
            over: BTreeMap::new(),
            orders: BTreeMap::new(),
            allowed: 0,
            written: BTreeMap::new(),
            records: BTreeMap::new(),
            entries: 0,
            notices: Vec::new(),
            broken: None,
            closed: false,
            charged: 0,
            checks: 0,
            steps: 0,
            every_step,
            light: false,
        };
        world.at(0, Event::Leader);
        world
    }

    pub fn at(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.insert((at.max(self.now), self.sequence), event);
    }

    pub fn input(&mut self, at: Micros, node: usize, input: Input) {
        self.at(at, Event::Input(node, 0, input));
    }

    /// An order of the operator, straight to the log.
    pub fn order(&mut self, command: Command) {
        if let Command::TopUp { order, customer, units } = command {
            self.orders.insert(order, (customer, units));
        }
        self.commit(write(&[command]).unwrap());
    }

    pub fn fund(&mut self, order: u64, units: Units, low: Units) {
        self.order(Command::Open { customer: CUSTOMER, low });
        self.order(Command::TopUp { order, customer: CUSTOMER, units });
    }

    /// A caller's call; it is answered a while after it was let in, and ended after `lasts`.
    pub fn call(&mut self, at: Micros, call: u64, node: usize, class: Class, lasts: Micros) {
        self.at(at, Event::Input(node, lasts as u64, Input::SetUp { call, customer: CUSTOMER, class }));
    }

    pub fn local(&self, node: usize) -> Micros {
        self.now + self.members[node].offset
    }

    fn delay(&mut self) -> Micros {
        self.rng.random_range(self.plan.delay.0..=self.plan.delay.1)
    }

    pub fn run(&mut self, until: Micros) {
        while let Some(((at, _), event)) =
            self.events.first_entry().filter(|e| e.key().0 <= until).map(|e| e.remove_entry())
        {
            self.now = at;
            self.steps += 1;
            if self.steps > 3_000_000 {
                self.fail("a storm of events".to_owned());
            }
            self.event(event);
            if self.every_step {
                self.check_spending();
            }
            if self.broken.is_some() {
                return;
            }
        }
        self.now = until;
    }

    pub fn fail(&mut self, what: String) {
        self.broken.get_or_insert(format!("at {} ms: {what}", self.now / MS));
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Proposal(bytes) => {
                if self.now < self.leader_away || self.rng.random_bool(self.plan.loss) {
                    return;
                }
                let full = self.joiner.add(self.now, &bytes);
                self.commit_all(full);
                if let Some(due) = self.joiner.wake().filter(|due| *due != self.joins) {
                    self.joins = due;
                    self.at(due, Event::Join);
                }
            }
            Event::Join => {
                let due = self.joiner.due(self.now);
                self.commit_all(due);
            }
            Event::Commit(bytes) => self.commit(bytes),
            Event::Effects(node, incarnation, effects) => {
                let member = &mut self.members[node];
                if member.cut.1 {
                    member.held_back.extend(effects);
                } else if member.incarnation == incarnation || incarnation == 0 {
                    for effect in effects {
                        self.give(node, Input::Effect(effect), 0);
                    }
                }
            }
            Event::Input(node, extra, input) => self.give(node, input, extra),
            Event::Wake(node) => {
                if self.members[node].wake == self.now {
                    self.members[node].wake = Micros::MAX;
                    self.give(node, Input::Timeout, 0);
                }
            }
            Event::Leader => {
                self.at(self.now + 100 * MS, Event::Leader);
                if self.now >= self.leader_away {
                    let local = self.now + self.leader_offset;
                    if let Some(tick) = self.ticker.tick(local, &self.ledger, 200 * MS) {
                        let entry = write(&[tick]).unwrap();
                        self.commit_all(Some(entry));
                    }
                }
            }
            Event::NewLeader(doubled) => {
                // What the old one held is lost with it; what it committed last may stand twice.
                self.joiner = Joiner::new(25 * MS);
                self.ticker = Ticker::default();
                self.leader_offset = self.rng.random_range(-60 * SECOND..=60 * SECOND);
                self.leader_away = self.now + 300 * MS;
                if let Some(last) = self.log.last().cloned().filter(|_| doubled) {
                    self.commit(last);
                }
            }
            Event::Kill(node) => self.kill(node),
            Event::Start(node) => self.start(node),
            Event::Pause(node, span) => self.pause(node, span),
            Event::Cut(node, out, inn) => {
                self.members[node].cut = (out, inn);
                let away = out || inn;
                if !inn {
                    let held = std::mem::take(&mut self.members[node].held_back);
                    self.at(self.now, Event::Effects(node, 0, held));
                }
                self.give(node, if away { Input::LedgerAway } else { Input::LedgerBack }, 0);
            }
            Event::Jump(node, by) => {
                // The time that its clock passed over was served to nobody.
                self.pause(node, 0);
                self.members[node].offset += by;
                self.give(node, Input::Timeout, 0);
            }
        }
    }

    pub fn kill(&mut self, node: usize) {
        let Some(holder) = self.members[node].holder.take() else { return };
        for (grant, spent, _) in holder.books() {
            self.records.insert(grant, spent);
        }
        self.members[node].whole = false;
        let local = self.local(node);
        let calls: Vec<u64> =
            self.standing.iter().copied().filter(|id| self.calls[id].node == node).collect();
        for id in calls {
            // Its connections are gone with it, and its calls with them.
            let paid = holder.paid(id).unwrap_or(0);
            let truth = self.calls.get_mut(&id).unwrap();
            truth.bound = true;
            truth.paid = paid;
            self.end_truth(id, local);
        }
    }

    pub fn start(&mut self, node: usize) {
        if self.members[node].holder.is_none() {
            let member = &mut self.members[node];
            member.incarnation += 1;
            member.held_back.clear();
            let mut holder = Holder::new(node as Node, member.incarnation, self.plan.holder, tariff());
            let local = self.now + member.offset;
            let mut out = Vec::new();
            for effect in self.ledger.funds() {
                holder.handle(local, Input::Effect(effect), &mut out);
            }
            self.members[node].holder = Some(holder);
            if self.members[node].cut != (false, false) {
                self.give(node, Input::LedgerAway, 0);
            }
        }
    }

    fn pause(&mut self, node: usize, span: Micros) {
        self.members[node].paused = self.members[node].paused.max(self.now + span);
        let ids: Vec<u64> = self.standing.iter().copied().filter(|id| self.calls[id].node == node).collect();
        for id in ids {
            let paid = self.members[node].holder.as_ref().and_then(|holder| holder.paid(id)).unwrap_or(0);
            let truth = self.calls.get_mut(&id).unwrap();
            truth.bound = true;
            truth.paid = paid;
        }
    }

    fn end_truth(&mut self, id: u64, local: Micros) {
        if self.standing.remove(&id) {
            let truth = self.calls.get_mut(&id).unwrap();
            truth.ended = Some(local);
            *self.over.entry(truth.customer).or_default() += truth.units(local);
        }
    }

    /// A turn of a node.
    pub fn give(&mut self, node: usize, input: Input, extra: u64) {
        let local = self.local(node);
        let paused = self.members[node].paused;
        if paused > self.now {
            self.at(paused, Event::Input(node, extra, input));
            return;
        }
        let Some(mut holder) = self.members[node].holder.take() else { return };
        match &input {
            Input::SetUp { call, customer, class } => {
                let incarnation = self.members[node].incarnation;
                if let Some(price) = tariff().price(*class) {
                    self.calls.entry(*call).or_insert(Truth {
                        node,
                        incarnation,
                        customer: *customer,
                        price,
                        asked: self.now,
                        admitted: None,
                        refused: None,
                        stood: None,
                        ended: None,
                        told_end: 0,
                        bound: false,
                        paid: 0,
                        charged: 0,
                    });
                }
                // The call lasts so long, if it is let in.
                if extra > 0 {
                    self.at(self.now + 30 * MS, Event::Input(node, 0, Input::Stood { call: *call }));
                    let end = self.now + 30 * MS + extra as Micros;
                    self.at(end, Event::Input(node, 0, Input::Ended { call: *call }));
                }
            }
            Input::Stood { call } => {
                let incarnation = self.members[node].incarnation;
                let truth =
                    self.calls.get_mut(call).filter(|t| t.node == node && t.incarnation == incarnation);
                match truth {
                    Some(truth) if truth.admitted.is_none() && truth.refused.is_none() => {
                        // It waits for money; its server answers later.
                        self.at(self.now + 50 * MS, Event::Input(node, 0, input.clone()));
                        self.members[node].holder = Some(holder);
                        return;
                    }
                    Some(truth)
                        if truth.admitted.is_some() && truth.stood.is_none() && truth.ended.is_none() =>
                    {
                        truth.stood = Some(local);
                        self.standing.insert(*call);
                    }
                    _ => {
                        self.members[node].holder = Some(holder);
                        return;
                    }
                }
            }
            Input::Ended { call } => {
                if self.calls.get(call).is_some_and(|truth| truth.node == node) {
                    if let Some(paid) = holder.paid(*call) {
                        self.calls.get_mut(call).unwrap().paid = paid;
                    }
                    self.end_truth(*call, local);
                }
            }
            Input::TopUp { order, customer, units } => {
                self.orders.insert(*order, (*customer, *units));
            }
            _ => {}
        }
        let stood = if let Input::Stood { call } = input { Some(call) } else { None };
        let mut out = Vec::new();
        #[cfg(feature = "faults")]
        lemoncleat_faults::scene::turn(node);
        let ran = catch_unwind(AssertUnwindSafe(|| holder.handle(local, input, &mut out)));
        let wake = holder.wake();
        if let Some(call) = stood.filter(|call| holder.paid(*call).is_none()) {
            // Answered after its set-up's time, in a pause: it is ended at once and costs nothing.
            if let Some(truth) = self.calls.get_mut(&call) {
                (truth.bound, truth.paid) = (true, 0);
            }
        }
        let bound = if self.light { BTreeSet::new() } else { self.standing.clone() };
        for id in bound.into_iter().filter(|id| self.calls[id].node == node).collect::<Vec<_>>() {
            let truth = self.calls.get_mut(&id).unwrap();
            truth.paid = holder.paid(id).unwrap_or(truth.paid);
        }
        self.members[node].holder = Some(holder);
        if let Err(payload) = ran {
            self.ended_at_point(payload, node);
            return;
        }
        for output in out {
            self.output(node, local, output);
        }
        if let Some(wake) = wake {
            let at = (wake - self.members[node].offset).max(self.now + 1);
            if at < self.members[node].wake || self.members[node].wake <= self.now {
                self.members[node].wake = at;
                self.at(at, Event::Wake(node));
            }
        }
        self.fired();
    }

    #[cfg(feature = "faults")]
    fn ended_at_point(&mut self, payload: Box<dyn std::any::Any + Send>, node: usize) {
        if payload.downcast_ref::<lemoncleat_faults::scene::Killed>().is_none() {
            std::panic::resume_unwind(payload);
        }
        lemoncleat_faults::scene::fired();
        self.kill(node);
        self.at(self.now + 2 * SECOND, Event::Start(node));
    }

    #[cfg(not(feature = "faults"))]
    fn ended_at_point(&mut self, payload: Box<dyn std::any::Any + Send>, _: usize) {
        std::panic::resume_unwind(payload);
    }

    /// Carries out a fault that a point of the table met.
    fn fired(&mut self) {
        #[cfg(feature = "faults")]
        if let Some((fault, whose)) = lemoncleat_faults::scene::fired() {
            use lemoncleat_faults::Fault;
            let whose = whose.unwrap_or(0);
            let long = 15 * SECOND;
            match fault {
                Fault::Pause if whose >= self.members.len() => self.leader_away = self.now + long,
                Fault::Pause => self.pause(whose, long),
                Fault::Cut | Fault::CutOut | Fault::CutIn => {
                    let (out, inn) = (fault != Fault::CutIn, fault != Fault::CutOut);
                    self.at(self.now, Event::Cut(whose, out, inn));
                    self.at(self.now + long, Event::Cut(whose, false, false));
                }
                Fault::Kill | Fault::Error => {}
            }
        }
    }

    fn output(&mut self, node: usize, local: Micros, output: Output) {
        match output {
            Output::Admit { call } => {
                if let Some(truth) = self.calls.get_mut(&call) {
                    truth.admitted.get_or_insert(self.now);
                }
            }
            Output::Refuse { call, why } => {
                if let Some(truth) = self.calls.get_mut(&call) {
                    let same = truth.incarnation == self.members[node].incarnation;
                    if truth.admitted.is_some() && why != Why::Over && same {
                        self.fail(format!("call {call} was let in and refused"));
                    } else {
                        truth.refused.get_or_insert(why);
                    }
                }
            }
            Output::End { call } => {
                let Some(truth) = self.calls.get_mut(&call) else { return };
                truth.told_end += 1;
                if truth.told_end > 1 {
                    self.fail(format!("call {call} was ended twice"));
                }
                let _ = local;
                self.at(self.now + 5 * MS, Event::Input(node, 0, Input::Ended { call }));
            }
            Output::Propose(bytes) => {
                if !self.members[node].cut.0 {
                    let copies = if self.rng.random_bool(self.plan.double) { 2 } else { 1 };
                    for _ in 0..copies {
                        let at = self.now + self.delay();
                        self.at(at, Event::Proposal(bytes.clone()));
                    }
                }
            }
            Output::Notice(notice) => self.notices.push((node, notice)),
        }
    }

    fn commit_all(&mut self, entry: Option<Vec<u8>>) {
        let Some(entry) = entry.filter(|entry| entry.len() > 1) else { return };
        let copies = if self.rng.random_bool(self.plan.double) { 2 } else { 1 };
        for _ in 0..copies {
            self.next_commit = self.next_commit.max(self.now + self.delay());
            self.at(self.next_commit, Event::Commit(entry.clone()));
        }
    }

    fn commit(&mut self, entry: Vec<u8>) {
        self.entries += 1;
        self.log.push(entry.clone());
        let index = self.log.len() as u64;
        let before =
            self.ledger.open().map(|(number, open)| (number, open.clone())).collect::<BTreeMap<_, _>>();
        let effects = self.apply(index, &entry);
        let after: BTreeSet<u64> = self.ledger.open().map(|(number, _)| number).collect();
        for command in read(&entry).unwrap_or_default() {
            self.charge(command, &before, &after);
        }
        if self.ledger.elapsed() > self.now {
            self.fail("the ledger's time is ahead".to_owned());
        }
        if !self.ledger.conserved() {
            self.fail("money was made or lost".to_owned());
        }
        if self.ledger.applied().is_multiple_of(64) {
            let bytes = self.ledger.snapshot();
            if Ledger::restore(&bytes).as_ref() != Some(&self.ledger) {
                self.fail("a snapshot is not the ledger".to_owned());
            }
            self.snapshot = (self.log.len(), bytes);
        }
        self.check_spending();
        if effects.is_empty() {
            return;
        }
        for effect in &effects {
            if let Effect::Lapsed { grant, node } = effect {
                self.lapsed(*grant, *node as usize);
            }
        }
        for node in 0..self.members.len() {
            let at = (self.now + self.delay()).max(self.members[node].last_effects);
            self.members[node].last_effects = at;
            let incarnation = self.members[node].incarnation;
            let member = &self.members[node];
            let heeded = |effect: &Effect| match effect {
                Effect::Granted { node: whose, .. } | Effect::Denied { node: whose, .. } => {
                    *whose as usize == node
                }
                Effect::Settled { grant } | Effect::Returned { grant, .. } => {
                    before.get(grant).is_none_or(|open| open.node as usize == node)
                }
                _ => true,
            };
            if member.holder.is_some() {
                let effects: Vec<Effect> = effects.iter().filter(|effect| heeded(effect)).cloned().collect();
                if !effects.is_empty() {
                    self.at(at, Event::Effects(node, incarnation, effects));
                }
            }
        }
    }

    fn apply(&mut self, index: u64, entry: &[u8]) -> Vec<Effect> {
        #[cfg(feature = "faults")]
        lemoncleat_faults::scene::turn(self.members.len());
        let ran = catch_unwind(AssertUnwindSafe(|| self.ledger.apply(index, entry)));
        let effects = match ran {
            Ok(effects) => effects,
            Err(payload) => {
                #[cfg(feature = "faults")]
                if payload.downcast_ref::<lemoncleat_faults::scene::Killed>().is_some() {
                    // The voter starts from its snapshot and its log, and applies what it was at again.
                    lemoncleat_faults::scene::fired();
                    let mut ledger = Ledger::restore(&self.snapshot.1).unwrap();
                    let mut effects = Vec::new();
                    for (at, entry) in self.log.iter().enumerate().skip(self.snapshot.0) {
                        effects = ledger.apply(at as u64 + 1, entry);
                    }
                    self.ledger = ledger;
                    self.leader_away = self.now + 3 * SECOND;
                    self.ticker = Ticker::default();
                    return effects;
                }
                std::panic::resume_unwind(payload);
            }
        };
        self.fired();
        effects
    }

    /// What a settlement charged, each call's units once.
    fn charge(&mut self, command: Command, before: &BTreeMap<u64, Open>, after: &BTreeSet<u64>) {
        let Command::Settle { grant, spent, charges, .. } = command else { return };
        if !before.contains_key(&grant) || after.contains(&grant) || self.written.contains_key(&grant) {
            return;
        }
        self.written.insert(grant, spent);
        self.charged += spent;
        for Charge { call, units } in charges {
            let Some(truth) = self.calls.get_mut(&call) else {
                self.fail(format!("call {call} was charged, and never was"));
                return;
            };
            truth.charged += units;
            let local = self.now + self.members[truth.node].offset;
            let (charged, used) = (truth.charged, truth.units(local));
            if charged > used {
                self.fail(format!("call {call} was charged {charged} and used {used}"));
            }
        }
    }

    fn lapsed(&mut self, grant: u64, node: usize) {
        if !self.plan.write_off {
            return;
        }
        let live = self.members[node].holder.as_ref();
        let held = live.and_then(|holder| holder.books().find(|(number, _, _)| *number == grant));
        let settling = live.is_some() && held.is_none() && !self.records.contains_key(&grant);
        if settling && self.members[node].whole && self.members[node].cut == (false, false) {
            return;
        }
        // As the operator finds it in the records of the servers.
        let spent = held.map(|(_, spent, _)| spent).or(self.records.get(&grant).copied());
        if let Some(spent) = spent {
            self.written.insert(grant, spent);
            // Its settlement is not heard any more, so that its calls are not named.
            self.members[node].whole = false;
            let entry = write(&[Command::WriteOff { grant, spent }]).unwrap();
            self.at(self.now + 10 * MS, Event::Commit(entry));
        }
    }

    fn check_spending(&mut self) {
        if self.light {
            return;
        }
        self.checks += 1;
        let mut used = self.over.clone();
        for id in &self.standing {
            let truth = &self.calls[id];
            *used.entry(truth.customer).or_default() +=
                truth.units(self.now + self.members[truth.node].offset);
        }
        for (customer, used) in used {
            let funded: Units =
                self.orders.values().filter(|(of, _)| *of == customer).map(|(_, units)| units).sum();
            if used > funded + self.allowed {
                return self.fail(format!("{used} spent of {funded} funded"));
            }
            let booked = self.ledger.account(customer).map_or(0, |account| account.funded);
            if booked > funded {
                return self.fail(format!("{booked} booked of {funded} funded"));
            }
        }
        let open: BTreeMap<u64, Units> =
            self.ledger.open().map(|(grant, open)| (grant, open.units)).collect();
        let mut wrong = None;
        for (node, member) in self.members.iter().enumerate() {
            for (grant, spent, _) in member.holder.iter().flat_map(|holder| holder.books()) {
                let may = open.get(&grant).or(self.written.get(&grant)).copied().unwrap_or(0);
                if spent > may {
                    wrong = Some(format!("node {node} spent {spent} of grant {grant}, which has {may}"));
                }
            }
        }
        if let Some(wrong) = wrong {
            self.fail(wrong);
        }
    }

    /// Ends all calls, heals all and lets the fleet come to rest; then every call must be charged what it used.
    pub fn rest(&mut self) {
        self.plan.loss = 0.0;
        self.plan.double = 0.0;
        for node in 0..self.members.len() {
            self.at(self.now, Event::Cut(node, false, false));
            self.at(self.now, Event::Start(node));
        }
        let standing: Vec<(u64, usize)> = self.calls.iter().map(|(id, truth)| (*id, truth.node)).collect();
        self.run(self.now + 200 * MS);
        for (call, node) in standing {
            self.input(self.now + 1, node, Input::Ended { call });
        }
        self.run(self.now + 40 * SECOND);
        if self.broken.is_some() {
            return;
        }
        let mut wrong = None;
        for (id, truth) in &self.calls {
            if self.members[truth.node].whole && truth.charged != truth.units(0) {
                wrong =
                    Some(format!("call {id} used {}, charged {}: {truth:?}", truth.units(0), truth.charged));
            }
        }
        let lapsed = self.ledger.open().collect::<Vec<_>>();
        if self.plan.write_off
            && self.members.iter().all(|member| member.whole)
            && self.ledger.open().count() > 0
        {
            wrong = wrong.or(Some(format!("{} grants open at rest, {lapsed:?}", self.ledger.open().count())));
        }
        if let Some(wrong) = wrong {
            self.fail(wrong);
        }
    }

    pub fn admitted(&self) -> usize {
        self.calls.values().filter(|truth| truth.admitted.is_some()).count()
    }

    pub fn refused(&self, of: Why) -> usize {
        self.calls.values().filter(|truth| truth.refused == Some(of)).count()
    }
}

/// Node 0 is cut off with money in hand, is quiet, and has calls again shortly before that runs out and after.
pub fn cut_with_money(seed: u64, plan: Plan, back: Micros) -> World {
    let mut world = World::new(seed, plan);
    world.fund(1, 4000, 0);
    for call in 0..300u64 {
        let at = call as Micros * 100 * MS;
        let quiet =
            at > 3_500 * MS && (back > 0 || !(9_300 * MS..10 * SECOND).contains(&at)) && at < 15 * SECOND;
        if call % 3 > 0 || !quiet {
            world.call(at, call, call as usize % 3, VOICE, 2 * SECOND);
        }
    }
    world.at(4 * SECOND, Event::Cut(0, true, true));
    world.at(4 * SECOND + 1, Event::Jump(0, -back));
    world
}

/// A world with everything that a seed brings: calls, faults, top-ups.
pub fn any(seed: u64, plan: Plan, span: Micros) -> World {
    let mut world = World::new(seed, plan);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let nodes = world.plan.nodes;
    let low = rng.random_range(0..2) * 300;
    world.fund(1, rng.random_range(100..1500), low);
    for call in 1..=rng.random_range(20..120u64) {
        let at = rng.random_range(0..span);
        let node = rng.random_range(0..nodes);
        let class = if rng.random_bool(0.7) { VOICE } else { CHEAP };
        let lasts = rng.random_range(100 * MS..12 * SECOND);
        world.call(at, call, node, class, lasts);
        if rng.random_bool(0.2) {
            // A repeat of it, and later a late one.
            for late in [20 * MS, 6 * SECOND] {
                world.input(at + late, node, Input::SetUp { call, customer: CUSTOMER, class });
            }
        }
    }
    for order in 2..4 {
        let at = rng.random_range(0..span);
        for node in 0..2.min(nodes) {
            let units = 300;
            world.input(at + 3 * node as Micros, node, Input::TopUp { order, customer: CUSTOMER, units });
        }
    }
    for _ in 0..rng.random_range(0..5) {
        let at = rng.random_range(0..span);
        let node = rng.random_range(0..nodes);
        let long = rng.random_range(SECOND..15 * SECOND);
        match rng.random_range(0..6) {
            0 => {
                world.at(at, Event::Kill(node));
                world.at(at + long, Event::Start(node));
            }
            1 => world.at(at, Event::Pause(node, long)),
            2 => {
                let (out, inn) = [(true, true), (true, false), (false, true)][rng.random_range(0..3)];
                world.at(at, Event::Cut(node, out, inn));
                world.at(at + long, Event::Cut(node, false, false));
            }
            3 | 4 => world.at(at, Event::NewLeader(rng.random_bool(0.5))),
            _ => world.at(at, Event::Jump(node, rng.random_range(0..60 * SECOND))),
        }
    }
    world.run(span);
    if world.broken.is_none() {
        world.rest();
    }
    world
}
