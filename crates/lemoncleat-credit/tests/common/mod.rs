//! A fleet of holders, a ledger and a simulated replicated log under a virtual clock, with the invariants
//! checked.
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
    let price =
        |set_up, per_second, worth, expected_seconds| Price { set_up, per_second, worth, expected_seconds };
    Tariff::new([(VOICE, price(10, 2, 5.0, 20)), (CHEAP, price(5, 3, 0.5, 20))], []).unwrap()
}

pub fn holder_settings() -> HolderSettings {
    HolderSettings {
        validity: 10 * SECOND,
        drift: SECOND / 2,
        initial_seconds: 2,
        slice_seconds: 2,
        renew_before: SECOND,
        set_up_timeout: SECOND,
        spending_horizon: 2 * SECOND,
        ..HolderSettings::default()
    }
}

pub fn ledger_settings() -> LedgerSettings {
    LedgerSettings { validity: 10 * SECOND, drift: SECOND / 2, ..LedgerSettings::default() }
}

/// The configuration of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub nodes: usize,
    pub delay: (Micros, Micros),
    pub loss: f64,
    pub duplication: f64,
    pub holder: HolderSettings,
    pub ledger: LedgerSettings,
    /// Whether the operator writes off expired grants of a node that died or does not answer.
    pub write_off: bool,
    pub skew: Micros,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        SimulationConfig {
            nodes: 3,
            delay: (2 * MS, 15 * MS),
            loss: 0.0,
            duplication: 0.0,
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
    pub paused_until: Micros,
    pub cut: (bool, bool),
    wake_at: Micros,
    last_effects: Micros,
    held_back: Vec<Effect>,
    pub accounts_complete: bool,
}

#[derive(Clone, Debug)]
pub struct CallRecord {
    pub node: usize,
    incarnation: u64,
    customer: Customer,
    price: Price,
    pub asked: Micros,
    pub admitted: Option<Micros>,
    pub refused: Option<RefusalReason>,
    pub established: Option<Micros>,
    pub ended: Option<Micros>,
    pub end_count: u32,
    paid_only: bool,
    paid: u32,
    pub charged: Units,
}

impl CallRecord {
    fn units(&self, local: Micros) -> Units {
        let Some(since) = self.established.filter(|_| !self.paid_only || self.paid > 0) else { return 0 };
        let span = (self.ended.unwrap_or(local) - since).max(1);
        let seconds = u32::try_from((span + SECOND - 1) / SECOND).unwrap();
        self.price.call(if self.paid_only { seconds.min(self.paid) } else { seconds })
    }
}

pub struct Simulation {
    pub now: Micros,
    pub config: SimulationConfig,
    pub rng: SmallRng,
    events: BTreeMap<(Micros, u64), Event>,
    sequence: u64,
    pub ledger: Ledger,
    log: Vec<Vec<u8>>,
    snapshot: (usize, Vec<u8>),
    batcher: EntryBatcher,
    batch_due: Micros,
    ticker: Ticker,
    leader_offset: Micros,
    leader_down_until: Micros,
    next_commit: Micros,
    pub members: Vec<Member>,
    pub calls: BTreeMap<u64, CallRecord>,
    standing: BTreeSet<u64>,
    ended_call_costs: BTreeMap<Customer, Units>,
    pub orders: BTreeMap<u64, (Customer, Units)>,
    pub allowed_overdraft: Units,
    settled_amounts: BTreeMap<u64, Units>,
    /// What a dead process had spent of a grant, as the operator finds it in the node's records.
    dead_node_spending: BTreeMap<u64, Units>,
    pub entries: u64,
    pub notices: Vec<(usize, Notice)>,
    pub violation: Option<String>,
    pub closed: bool,
    pub charged: Units,
    pub checks: u64,
    pub steps: u64,
    /// Whether invariants are checked after each step; otherwise after each entry.
    pub check_every_step: bool,
    /// For measurements: the holders' accounts are not compared with the ledger.
    pub skip_book_checks: bool,
}

impl Simulation {
    pub fn new(seed: u64, config: SimulationConfig) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ledger = Ledger::new(config.ledger);
        let mut members = Vec::new();
        for node in 0..config.nodes {
            let offset = if config.skew > 0 { rng.random_range(-config.skew..=config.skew) } else { 0 };
            members.push(Member {
                holder: Some(Holder::new(node as Node, 1, config.holder, tariff())),
                incarnation: 1,
                offset,
                paused_until: 0,
                cut: (false, false),
                wake_at: Micros::MAX,
                last_effects: 0,
                held_back: Vec::new(),
                accounts_complete: true,
            });
        }
        let check_every_step = config.nodes <= 16;
        let mut sim = Simulation {
            now: 0,
            snapshot: (0, ledger.snapshot()),
            config,
            rng,
            events: BTreeMap::new(),
            sequence: 0,
            ledger,
            log: Vec::new(),
            batcher: EntryBatcher::new(25 * MS),
            batch_due: Micros::MIN,
            ticker: Ticker::default(),
            leader_offset: 0,
            leader_down_until: 0,
            next_commit: 0,
            members,
            calls: BTreeMap::new(),
            standing: BTreeSet::new(),
            ended_call_costs: BTreeMap::new(),
            orders: BTreeMap::new(),
            allowed_overdraft: 0,
            settled_amounts: BTreeMap::new(),
            dead_node_spending: BTreeMap::new(),
            entries: 0,
            notices: Vec::new(),
            violation: None,
            closed: false,
            charged: 0,
            checks: 0,
            steps: 0,
            check_every_step,
            skip_book_checks: false,
        };
        sim.at(0, Event::Leader);
        sim
    }

    pub fn at(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.insert((at.max(self.now), self.sequence), event);
    }

    pub fn input(&mut self, at: Micros, node: usize, input: Input) {
        self.at(at, Event::Input(node, 0, input));
    }

    /// A command of the operator, committed directly to the log.
    pub fn order(&mut self, command: Command) {
        if let Command::TopUp { order, customer, units } = command {
            self.orders.insert(order, (customer, units));
        }
        self.commit(encode(&[command]).unwrap());
    }

    pub fn fund(&mut self, order: u64, units: Units, low_threshold: Units) {
        self.order(Command::OpenAccount { customer: CUSTOMER, low_threshold });
        self.order(Command::TopUp { order, customer: CUSTOMER, units });
    }

    /// Adds a call that is answered a while after its admission and ends after `duration`.
    pub fn call(&mut self, at: Micros, call: u64, node: usize, class: Class, duration: Micros) {
        self.at(at, Event::Input(node, duration as u64, Input::SetUp { call, customer: CUSTOMER, class }));
    }

    pub fn local(&self, node: usize) -> Micros {
        self.now + self.members[node].offset
    }

    fn delay(&mut self) -> Micros {
        self.rng.random_range(self.config.delay.0..=self.config.delay.1)
    }

    pub fn run(&mut self, until: Micros) {
        while let Some(((at, _), event)) =
            self.events.first_entry().filter(|e| e.key().0 <= until).map(|e| e.remove_entry())
        {
            self.now = at;
            self.steps += 1;
            if self.steps > 3_000_000 {
                self.fail("too many events".to_owned());
            }
            self.event(event);
            if self.check_every_step {
                self.check_spending();
            }
            if self.violation.is_some() {
                return;
            }
        }
        self.now = until;
    }

    pub fn fail(&mut self, message: String) {
        self.violation.get_or_insert(format!("at {} ms: {message}", self.now / MS));
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Proposal(bytes) => {
                if self.now < self.leader_down_until || self.rng.random_bool(self.config.loss) {
                    return;
                }
                let full = self.batcher.add(self.now, &bytes);
                self.commit_all(full);
                if let Some(due) = self.batcher.due_at().filter(|due| *due != self.batch_due) {
                    self.batch_due = due;
                    self.at(due, Event::Join);
                }
            }
            Event::Join => {
                let due = self.batcher.take_due(self.now);
                self.commit_all(due);
            }
            Event::Commit(bytes) => self.commit(bytes),
            Event::Effects(node, incarnation, effects) => {
                let member = &mut self.members[node];
                if member.cut.1 {
                    member.held_back.extend(effects);
                } else if member.incarnation == incarnation || incarnation == 0 {
                    for effect in effects {
                        self.deliver(node, Input::Effect(effect), 0);
                    }
                }
            }
            Event::Input(node, extra, input) => self.deliver(node, input, extra),
            Event::Wake(node) => {
                if self.members[node].wake_at == self.now {
                    self.members[node].wake_at = Micros::MAX;
                    self.deliver(node, Input::Timeout, 0);
                }
            }
            Event::Leader => {
                self.at(self.now + 100 * MS, Event::Leader);
                if self.now >= self.leader_down_until {
                    let local = self.now + self.leader_offset;
                    if let Some(tick) = self.ticker.tick(local, &self.ledger, 200 * MS) {
                        let entry = encode(&[tick]).unwrap();
                        self.commit_all(Some(entry));
                    }
                }
            }
            Event::NewLeader(doubled) => {
                // Commands held by the old leader are lost with it; its last committed entry may occur twice.
                self.batcher = EntryBatcher::new(25 * MS);
                self.ticker = Ticker::default();
                self.leader_offset = self.rng.random_range(-60 * SECOND..=60 * SECOND);
                self.leader_down_until = self.now + 300 * MS;
                if let Some(last) = self.log.last().cloned().filter(|_| doubled) {
                    self.commit(last);
                }
            }
            Event::Kill(node) => self.kill(node),
            Event::Start(node) => self.start(node),
            Event::Pause(node, span) => self.pause(node, span),
            Event::Cut(node, out, incoming) => {
                self.members[node].cut = (out, incoming);
                let away = out || incoming;
                if !incoming {
                    let held = std::mem::take(&mut self.members[node].held_back);
                    self.at(self.now, Event::Effects(node, 0, held));
                }
                self.deliver(node, if away { Input::LedgerUnreachable } else { Input::LedgerReachable }, 0);
            }
            Event::Jump(node, by) => {
                // During the time that its clock skipped, no calls were served.
                self.pause(node, 0);
                self.members[node].offset += by;
                self.deliver(node, Input::Timeout, 0);
            }
        }
    }

    pub fn kill(&mut self, node: usize) {
        let Some(holder) = self.members[node].holder.take() else { return };
        for (grant, spent, _) in holder.held_grants() {
            self.dead_node_spending.insert(grant, spent);
        }
        self.members[node].accounts_complete = false;
        let local = self.local(node);
        let calls: Vec<u64> =
            self.standing.iter().copied().filter(|id| self.calls[id].node == node).collect();
        for id in calls {
            // Its connections are lost with it, and so are its calls.
            let paid = holder.paid_seconds(id).unwrap_or(0);
            let record = self.calls.get_mut(&id).unwrap();
            record.paid_only = true;
            record.paid = paid;
            self.end_call(id, local);
        }
    }

    pub fn start(&mut self, node: usize) {
        if self.members[node].holder.is_none() {
            let member = &mut self.members[node];
            member.incarnation += 1;
            member.held_back.clear();
            let mut holder = Holder::new(node as Node, member.incarnation, self.config.holder, tariff());
            let local = self.now + member.offset;
            let mut out = Vec::new();
            for effect in self.ledger.funds() {
                holder.handle(local, Input::Effect(effect), &mut out);
            }
            self.members[node].holder = Some(holder);
            if self.members[node].cut != (false, false) {
                self.deliver(node, Input::LedgerUnreachable, 0);
            }
        }
    }

    fn pause(&mut self, node: usize, span: Micros) {
        self.members[node].paused_until = self.members[node].paused_until.max(self.now + span);
        let ids: Vec<u64> = self.standing.iter().copied().filter(|id| self.calls[id].node == node).collect();
        for id in ids {
            let paid =
                self.members[node].holder.as_ref().and_then(|holder| holder.paid_seconds(id)).unwrap_or(0);
            let record = self.calls.get_mut(&id).unwrap();
            record.paid_only = true;
            record.paid = paid;
        }
    }

    fn end_call(&mut self, id: u64, local: Micros) {
        if self.standing.remove(&id) {
            let record = self.calls.get_mut(&id).unwrap();
            record.ended = Some(local);
            *self.ended_call_costs.entry(record.customer).or_default() += record.units(local);
        }
    }

    /// Delivers an input to a node.
    pub fn deliver(&mut self, node: usize, input: Input, extra: u64) {
        let local = self.local(node);
        let paused = self.members[node].paused_until;
        if paused > self.now {
            self.at(paused, Event::Input(node, extra, input));
            return;
        }
        let Some(mut holder) = self.members[node].holder.take() else { return };
        match &input {
            Input::SetUp { call, customer, class } => {
                let incarnation = self.members[node].incarnation;
                if let Some(price) = tariff().price(*class) {
                    self.calls.entry(*call).or_insert(CallRecord {
                        node,
                        incarnation,
                        customer: *customer,
                        price,
                        asked: self.now,
                        admitted: None,
                        refused: None,
                        established: None,
                        ended: None,
                        end_count: 0,
                        paid_only: false,
                        paid: 0,
                        charged: 0,
                    });
                }
                // Schedules the answer and the end of the call, if it is admitted.
                if extra > 0 {
                    self.at(self.now + 30 * MS, Event::Input(node, 0, Input::Established { call: *call }));
                    let end = self.now + 30 * MS + extra as Micros;
                    self.at(end, Event::Input(node, 0, Input::Ended { call: *call }));
                }
            }
            Input::Established { call } => {
                let incarnation = self.members[node].incarnation;
                let record =
                    self.calls.get_mut(call).filter(|t| t.node == node && t.incarnation == incarnation);
                match record {
                    Some(record) if record.admitted.is_none() && record.refused.is_none() => {
                        // The call waits for a grant; its server answers later.
                        self.at(self.now + 50 * MS, Event::Input(node, 0, input.clone()));
                        self.members[node].holder = Some(holder);
                        return;
                    }
                    Some(record)
                        if record.admitted.is_some()
                            && record.established.is_none()
                            && record.ended.is_none() =>
                    {
                        record.established = Some(local);
                        self.standing.insert(*call);
                    }
                    _ => {
                        self.members[node].holder = Some(holder);
                        return;
                    }
                }
            }
            Input::Ended { call } => {
                if self.calls.get(call).is_some_and(|record| record.node == node) {
                    if let Some(paid) = holder.paid_seconds(*call) {
                        self.calls.get_mut(call).unwrap().paid = paid;
                    }
                    self.end_call(*call, local);
                }
            }
            Input::TopUp { order, customer, units } => {
                self.orders.insert(*order, (*customer, *units));
            }
            _ => {}
        }
        let established = if let Input::Established { call } = input { Some(call) } else { None };
        let mut out = Vec::new();
        #[cfg(feature = "faults")]
        lemoncleat_faults::scene::turn(node);
        let ran = catch_unwind(AssertUnwindSafe(|| holder.handle(local, input, &mut out)));
        let wake = holder.next_timeout();
        if let Some(call) = established.filter(|call| holder.paid_seconds(*call).is_none()) {
            // The call was answered after its set-up time-out, during a pause: it is ended at once and costs
            // nothing.
            if let Some(record) = self.calls.get_mut(&call) {
                (record.paid_only, record.paid) = (true, 0);
            }
        }
        let standing = if self.skip_book_checks { BTreeSet::new() } else { self.standing.clone() };
        for id in standing.into_iter().filter(|id| self.calls[id].node == node).collect::<Vec<_>>() {
            let record = self.calls.get_mut(&id).unwrap();
            record.paid = holder.paid_seconds(id).unwrap_or(record.paid);
        }
        self.members[node].holder = Some(holder);
        if let Err(payload) = ran {
            self.handle_kill(payload, node);
            return;
        }
        for output in out {
            self.output(node, local, output);
        }
        if let Some(wake) = wake {
            let at = (wake - self.members[node].offset).max(self.now + 1);
            if at < self.members[node].wake_at || self.members[node].wake_at <= self.now {
                self.members[node].wake_at = at;
                self.at(at, Event::Wake(node));
            }
        }
        self.apply_triggered_fault();
    }

    #[cfg(feature = "faults")]
    fn handle_kill(&mut self, payload: Box<dyn std::any::Any + Send>, node: usize) {
        if payload.downcast_ref::<lemoncleat_faults::scene::Killed>().is_none() {
            std::panic::resume_unwind(payload);
        }
        lemoncleat_faults::scene::fired();
        self.kill(node);
        self.at(self.now + 2 * SECOND, Event::Start(node));
    }

    #[cfg(not(feature = "faults"))]
    fn handle_kill(&mut self, payload: Box<dyn std::any::Any + Send>, _: usize) {
        std::panic::resume_unwind(payload);
    }

    /// Applies a fault that was triggered at a fault point.
    fn apply_triggered_fault(&mut self) {
        #[cfg(feature = "faults")]
        if let Some((fault, whose)) = lemoncleat_faults::scene::fired() {
            use lemoncleat_faults::Fault;
            let whose = whose.unwrap_or(0);
            let long = 15 * SECOND;
            match fault {
                Fault::Pause if whose >= self.members.len() => self.leader_down_until = self.now + long,
                Fault::Pause => self.pause(whose, long),
                Fault::Cut | Fault::CutOut | Fault::CutIn => {
                    let (out, incoming) = (fault != Fault::CutIn, fault != Fault::CutOut);
                    self.at(self.now, Event::Cut(whose, out, incoming));
                    self.at(self.now + long, Event::Cut(whose, false, false));
                }
                Fault::Kill | Fault::Error => {}
            }
        }
    }

    fn output(&mut self, node: usize, local: Micros, output: Output) {
        match output {
            Output::Admit { call } => {
                if let Some(record) = self.calls.get_mut(&call) {
                    record.admitted.get_or_insert(self.now);
                }
            }
            Output::Refuse { call, reason } => {
                if let Some(record) = self.calls.get_mut(&call) {
                    let same = record.incarnation == self.members[node].incarnation;
                    if record.admitted.is_some() && reason != RefusalReason::AlreadyEnded && same {
                        self.fail(format!("call {call} was admitted and refused"));
                    } else {
                        record.refused.get_or_insert(reason);
                    }
                }
            }
            Output::End { call } => {
                let Some(record) = self.calls.get_mut(&call) else { return };
                record.end_count += 1;
                if record.end_count > 1 {
                    self.fail(format!("call {call} was ended twice"));
                }
                let _ = local;
                self.at(self.now + 5 * MS, Event::Input(node, 0, Input::Ended { call }));
            }
            Output::Propose(bytes) => {
                if !self.members[node].cut.0 {
                    let copies = if self.rng.random_bool(self.config.duplication) { 2 } else { 1 };
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
        let copies = if self.rng.random_bool(self.config.duplication) { 2 } else { 1 };
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
        for command in decode(&entry).unwrap_or_default() {
            self.charge(command, &before, &after);
        }
        if self.ledger.elapsed() > self.now {
            self.fail("the ledger's time is ahead of real time".to_owned());
        }
        if !self.ledger.conserved() {
            self.fail("units were created or lost".to_owned());
        }
        if self.ledger.applied().is_multiple_of(64) {
            let bytes = self.ledger.snapshot();
            if Ledger::restore(&bytes).as_ref() != Some(&self.ledger) {
                self.fail("a restored snapshot differs from the ledger".to_owned());
            }
            self.snapshot = (self.log.len(), bytes);
        }
        self.check_spending();
        if effects.is_empty() {
            return;
        }
        for effect in &effects {
            if let Effect::Expired { grant, node } = effect {
                self.grant_expired(*grant, *node as usize);
            }
        }
        for node in 0..self.members.len() {
            let at = (self.now + self.delay()).max(self.members[node].last_effects);
            self.members[node].last_effects = at;
            let incarnation = self.members[node].incarnation;
            let member = &self.members[node];
            let concerns_node = |effect: &Effect| match effect {
                Effect::Granted { node: whose, .. } | Effect::Denied { node: whose, .. } => {
                    *whose as usize == node
                }
                Effect::Settled { grant } | Effect::Returned { grant, .. } => {
                    before.get(grant).is_none_or(|open| open.node as usize == node)
                }
                _ => true,
            };
            if member.holder.is_some() {
                let effects: Vec<Effect> =
                    effects.iter().filter(|effect| concerns_node(effect)).cloned().collect();
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
                    // The voter restarts from its snapshot and log, and applies the interrupted entry again.
                    lemoncleat_faults::scene::fired();
                    let mut ledger = Ledger::restore(&self.snapshot.1).unwrap();
                    let mut effects = Vec::new();
                    for (at, entry) in self.log.iter().enumerate().skip(self.snapshot.0) {
                        effects = ledger.apply(at as u64 + 1, entry);
                    }
                    self.ledger = ledger;
                    self.leader_down_until = self.now + 3 * SECOND;
                    self.ticker = Ticker::default();
                    return effects;
                }
                std::panic::resume_unwind(payload);
            }
        };
        self.apply_triggered_fault();
        effects
    }

    /// Records the charges of a settlement, each once, and checks them against the calls.
    fn charge(&mut self, command: Command, before: &BTreeMap<u64, OpenGrant>, after: &BTreeSet<u64>) {
        let Command::Settle { grant, spent, charges, .. } = command else { return };
        if !before.contains_key(&grant) || after.contains(&grant) || self.settled_amounts.contains_key(&grant)
        {
            return;
        }
        self.settled_amounts.insert(grant, spent);
        self.charged += spent;
        for Charge { call, units } in charges {
            let Some(record) = self.calls.get_mut(&call) else {
                self.fail(format!("call {call} was charged but never existed"));
                return;
            };
            record.charged += units;
            let local = self.now + self.members[record.node].offset;
            let (charged, used) = (record.charged, record.units(local));
            if charged > used {
                self.fail(format!("call {call} was charged {charged} and used {used}"));
            }
        }
    }

    fn grant_expired(&mut self, grant: u64, node: usize) {
        if !self.config.write_off {
            return;
        }
        let live = self.members[node].holder.as_ref();
        let held = live.and_then(|holder| holder.held_grants().find(|(number, _, _)| *number == grant));
        let settling = live.is_some() && held.is_none() && !self.dead_node_spending.contains_key(&grant);
        if settling && self.members[node].accounts_complete && self.members[node].cut == (false, false) {
            return;
        }
        // The operator finds the amount in the records of the servers.
        let spent = held.map(|(_, spent, _)| spent).or(self.dead_node_spending.get(&grant).copied());
        if let Some(spent) = spent {
            self.settled_amounts.insert(grant, spent);
            // Its settlement is no longer accepted, so its calls are not charged individually.
            self.members[node].accounts_complete = false;
            let entry = encode(&[Command::WriteOff { grant, spent }]).unwrap();
            self.at(self.now + 10 * MS, Event::Commit(entry));
        }
    }

    fn check_spending(&mut self) {
        if self.skip_book_checks {
            return;
        }
        self.checks += 1;
        let mut used = self.ended_call_costs.clone();
        for id in &self.standing {
            let record = &self.calls[id];
            *used.entry(record.customer).or_default() +=
                record.units(self.now + self.members[record.node].offset);
        }
        for (customer, used) in used {
            let funded: Units =
                self.orders.values().filter(|(of, _)| *of == customer).map(|(_, units)| units).sum();
            if used > funded + self.allowed_overdraft {
                return self.fail(format!("{used} spent of {funded} funded"));
            }
            let booked = self.ledger.account(customer).map_or(0, |account| account.funded);
            if booked > funded {
                return self.fail(format!("{booked} booked of {funded} funded"));
            }
        }
        let open: BTreeMap<u64, Units> =
            self.ledger.open().map(|(grant, open)| (grant, open.units)).collect();
        let mut problem = None;
        for (node, member) in self.members.iter().enumerate() {
            for (grant, spent, _) in member.holder.iter().flat_map(|holder| holder.held_grants()) {
                let may = open.get(&grant).or(self.settled_amounts.get(&grant)).copied().unwrap_or(0);
                if spent > may {
                    problem = Some(format!("node {node} spent {spent} of grant {grant}, which has {may}"));
                }
            }
        }
        if let Some(problem) = problem {
            self.fail(problem);
        }
    }

    /// Ends all calls, removes all faults and lets the fleet settle; then every call must be charged exactly
    /// what it used.
    pub fn settle_all(&mut self) {
        self.config.loss = 0.0;
        self.config.duplication = 0.0;
        for node in 0..self.members.len() {
            self.at(self.now, Event::Cut(node, false, false));
            self.at(self.now, Event::Start(node));
        }
        let standing: Vec<(u64, usize)> = self.calls.iter().map(|(id, record)| (*id, record.node)).collect();
        self.run(self.now + 200 * MS);
        for (call, node) in standing {
            self.input(self.now + 1, node, Input::Ended { call });
        }
        self.run(self.now + 40 * SECOND);
        if self.violation.is_some() {
            return;
        }
        let mut problem = None;
        for (id, record) in &self.calls {
            if self.members[record.node].accounts_complete && record.charged != record.units(0) {
                problem = Some(format!(
                    "call {id} used {}, charged {}: {record:?}",
                    record.units(0),
                    record.charged
                ));
            }
        }
        let open_grants = self.ledger.open().collect::<Vec<_>>();
        if self.config.write_off
            && self.members.iter().all(|member| member.accounts_complete)
            && self.ledger.open().count() > 0
        {
            problem = problem
                .or(Some(format!("{} grants open at rest, {open_grants:?}", self.ledger.open().count())));
        }
        if let Some(problem) = problem {
            self.fail(problem);
        }
    }

    pub fn admitted(&self) -> usize {
        self.calls.values().filter(|record| record.admitted.is_some()).count()
    }

    pub fn refused(&self, of: RefusalReason) -> usize {
        self.calls.values().filter(|record| record.refused == Some(of)).count()
    }
}

/// Node 0 is cut off while holding grants, is idle, and gets calls again shortly before the grants expire and
/// afterwards.
pub fn cut_off_with_funds(seed: u64, config: SimulationConfig, back: Micros) -> Simulation {
    let mut sim = Simulation::new(seed, config);
    sim.fund(1, 4000, 0);
    for call in 0..300u64 {
        let at = call as Micros * 100 * MS;
        let quiet =
            at > 3_500 * MS && (back > 0 || !(9_300 * MS..10 * SECOND).contains(&at)) && at < 15 * SECOND;
        if call % 3 > 0 || !quiet {
            sim.call(at, call, call as usize % 3, VOICE, 2 * SECOND);
        }
    }
    sim.at(4 * SECOND, Event::Cut(0, true, true));
    sim.at(4 * SECOND + 1, Event::Jump(0, -back));
    sim
}

/// Runs a simulation with random calls, faults and top-ups derived from the seed.
pub fn random_run(seed: u64, config: SimulationConfig, span: Micros) -> Simulation {
    let mut sim = Simulation::new(seed, config);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let nodes = sim.config.nodes;
    let low = rng.random_range(0..2) * 300;
    sim.fund(1, rng.random_range(100..1500), low);
    for call in 1..=rng.random_range(20..120u64) {
        let at = rng.random_range(0..span);
        let node = rng.random_range(0..nodes);
        let class = if rng.random_bool(0.7) { VOICE } else { CHEAP };
        let duration = rng.random_range(100 * MS..12 * SECOND);
        sim.call(at, call, node, class, duration);
        if rng.random_bool(0.2) {
            // A retransmission, and a late one.
            for late in [20 * MS, 6 * SECOND] {
                sim.input(at + late, node, Input::SetUp { call, customer: CUSTOMER, class });
            }
        }
    }
    for order in 2..4 {
        let at = rng.random_range(0..span);
        for node in 0..2.min(nodes) {
            let units = 300;
            sim.input(at + 3 * node as Micros, node, Input::TopUp { order, customer: CUSTOMER, units });
        }
    }
    for _ in 0..rng.random_range(0..5) {
        let at = rng.random_range(0..span);
        let node = rng.random_range(0..nodes);
        let long = rng.random_range(SECOND..15 * SECOND);
        match rng.random_range(0..6) {
            0 => {
                sim.at(at, Event::Kill(node));
                sim.at(at + long, Event::Start(node));
            }
            1 => sim.at(at, Event::Pause(node, long)),
            2 => {
                let (out, incoming) = [(true, true), (true, false), (false, true)][rng.random_range(0..3)];
                sim.at(at, Event::Cut(node, out, incoming));
                sim.at(at + long, Event::Cut(node, false, false));
            }
            3 | 4 => sim.at(at, Event::NewLeader(rng.random_bool(0.5))),
            _ => sim.at(at, Event::Jump(node, rng.random_range(0..60 * SECOND))),
        }
    }
    sim.run(span);
    if sim.violation.is_none() {
        sim.settle_all();
    }
    sim
}
