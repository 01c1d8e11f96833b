//! The books: a state machine over the orders of the agreed log.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{command, is_planted, Command, Customer, Effect, Micros, Node, Units, Want, SECOND};

/// What holds for the ledger. The same at every voter: a change is a new log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSettings {
    /// How long a grant may be spent.
    pub validity: Micros,
    /// How far two clocks may drift apart in that time, pauses of a clock with it.
    pub drift: Micros,
    /// No tick counts for more than this.
    pub most_tick: Micros,
    /// A grant is at most this part of what is free, and the open grants of the customer are counted onto it.
    pub share: u64,
    /// Most customers.
    pub most_customers: usize,
    /// Most open grants of a customer.
    pub most_grants: u64,
    /// Order numbers of top-ups that are remembered.
    pub most_orders: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        LedgerSettings {
            validity: 30 * SECOND,
            drift: SECOND,
            most_tick: SECOND,
            share: 8,
            most_customers: 65_536,
            most_grants: 16_384,
            most_orders: 65_536,
        }
    }
}

/// A customer's money. `funded + owed = free + granted + spent`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// What came in.
    pub funded: Units,
    /// What may be granted.
    pub free: Units,
    /// What is in open grants, those that ran out unsettled with them.
    pub granted: Units,
    /// What calls were charged.
    pub spent: Units,
    /// What was overdrawn, to be paid by the next top-up.
    pub owed: Units,
    /// Free units below which money is short.
    pub low: Units,
    /// Open grants.
    pub grants: u64,
    /// The least wish that could not be met; 0 if none is known.
    pub dry: Units,
    /// Removed: no new grants.
    pub closed: bool,
    told: Option<(u8, Units)>,
    called_back: u64,
}

/// A grant that is not settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Whose it is.
    pub node: Node,
    /// The start that asked.
    pub incarnation: u64,
    /// Whose money.
    pub customer: Customer,
    /// What is left to the node, without what it gave back.
    pub units: Units,
    /// It ran out.
    pub lapsed: bool,
    given_back: Units,
    part: u32,
    lapses: Micros,
}

/// Marks of what a node asked for and overdrew, so that each is heard once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Heard {
    incarnation: u64,
    ask: u64,
    overdrawn: u64,
}

/// The books.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    settings: LedgerSettings,
    applied: u64,
    ticks: u64,
    elapsed: Micros,
    next_grant: u64,
    call_backs: u64,
    accounts: BTreeMap<Customer, Account>,
    open: BTreeMap<u64, Open>,
    lapses: BTreeSet<(Micros, u64)>,
    heard: BTreeMap<Node, Heard>,
    orders: BTreeSet<u64>,
    oldest_order: u64,
    unreadable: u64,
}

/// Nodes whose asks are remembered; more than any fleet has.
const MOST_NODES: usize = 65_536;

impl Ledger {
    /// Empty books.
    pub fn new(settings: LedgerSettings) -> Ledger {
        Ledger {
            settings,
            applied: 0,
            ticks: 0,
            elapsed: 0,
            next_grant: 1,
            call_backs: 0,
            accounts: BTreeMap::new(),
            open: BTreeMap::new(),
            lapses: BTreeSet::new(),
            heard: BTreeMap::new(),
            orders: BTreeSet::new(),
            oldest_order: 0,
            unreadable: 0,
        }
    }

    /// Applies the entry at a place of the log, and tells what it led to. One that was applied before does nothing.
    pub fn apply(&mut self, index: u64, entry: &[u8]) -> Vec<Effect> {
        let mut effects = Vec::new();
        if index <= self.applied {
            return effects;
        }
        self.applied = index;
        let Some(commands) = command::read(entry) else {
            self.unreadable += 1;
            return effects;
        };
        let mut touched = BTreeSet::new();
        for order in commands {
            lemoncleat_faults::point!(CREDIT_APPLY);
            self.order(order, &mut touched, &mut effects);
        }
        for customer in touched {
            self.tell_funds(customer, &mut effects);
        }
        effects
    }

    /// What a node that starts should know first: how much each customer has left.
    pub fn funds(&self) -> Vec<Effect> {
        let told = |(customer, account): (&Customer, &Account)| {
            let (level, dry) = account.told?;
            Some(Effect::Funds { customer: *customer, level, dry })
        };
        self.accounts.iter().filter(|(_, account)| !account.closed).filter_map(told).collect()
    }

    /// The books as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The books of a snapshot. None if it can't be read, or its sums are not right.
    pub fn restore(bytes: &[u8]) -> Option<Ledger> {
        postcard::from_bytes::<Ledger>(bytes).ok().filter(Ledger::conserved)
    }

    /// Whether no money was made or lost, for each customer.
    pub fn conserved(&self) -> bool {
        let mut granted: BTreeMap<Customer, (Units, u64)> = BTreeMap::new();
        for open in self.open.values() {
            let sum = granted.entry(open.customer).or_default();
            *sum = (sum.0.saturating_add(open.units), sum.1 + 1);
        }
        self.accounts.iter().all(|(customer, account)| {
            let sums = granted.remove(customer).unwrap_or_default();
            let wide = u128::from;
            (account.granted, account.grants) == sums
                && wide(account.funded) + wide(account.owed)
                    == wide(account.free) + wide(account.granted) + wide(account.spent)
        }) && granted.is_empty()
    }

    /// The place of the log up to which it is.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The time that leaders entered; never ahead of real time by more than the drift of their clocks.
    pub fn elapsed(&self) -> Micros {
        self.elapsed
    }

    /// Ticks so far.
    pub fn ticks(&self) -> u64 {
        self.ticks
    }

    /// Entries that could not be read.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// A customer's account.
    pub fn account(&self, customer: Customer) -> Option<&Account> {
        self.accounts.get(&customer)
    }

    /// All grants that are not settled, by number.
    pub fn open(&self) -> impl Iterator<Item = (u64, &Open)> {
        self.open.iter().map(|(number, open)| (*number, open))
    }

    fn order(&mut self, order: Command, touched: &mut BTreeSet<Customer>, effects: &mut Vec<Effect>) {
        match order {
            Command::Open { customer, low } => {
                if self.accounts.len() < self.settings.most_customers || self.accounts.contains_key(&customer)
                {
                    let account = self.accounts.entry(customer).or_default();
                    // A customer that is still going away does not come back half.
                    if !account.closed {
                        account.low = low;
                        touched.insert(customer);
                    }
                }
            }
            Command::Close { customer } => {
                if let Some(account) = self.accounts.get_mut(&customer) {
                    account.closed = true;
                    effects.push(Effect::Closed { customer });
                    self.sweep(customer);
                }
            }
            Command::TopUp { order, customer, units } => {
                let good = self.top_up(order, customer, units);
                if good {
                    touched.insert(customer);
                }
                let good = good || self.orders.contains(&order);
                effects.push(Effect::ToppedUp { order, good });
            }
            Command::Ask { node, incarnation, ask, wants } => {
                if self.hears(node, incarnation, |heard| &mut heard.ask, ask) {
                    for want in wants {
                        touched.insert(want.customer);
                        self.grant(node, incarnation, ask, &want, effects);
                    }
                }
            }
            Command::Settle { grant, node, incarnation, spent, charges: _ } => {
                let may = self.open.get(&grant).is_some_and(|open| {
                    open.node == node && (open.incarnation == incarnation || open.lapsed)
                });
                if may {
                    touched.extend(self.settle(grant, spent));
                }
                if !self.open.contains_key(&grant) {
                    effects.push(Effect::Settled { grant });
                }
            }
            Command::GiveBack { grant, incarnation, part, total } => {
                touched.extend(self.give_back(grant, incarnation, part, total));
                let known = self.open.get(&grant).map_or(part, |open| open.part);
                effects.push(Effect::Returned { grant, part: known });
            }
            Command::Tick { after, by } => {
                if after == self.ticks || is_planted!(TickTwice) {
                    self.ticks += 1;
                    self.elapsed = self.elapsed.saturating_add(by.clamp(0, self.settings.most_tick));
                    self.lapse(effects);
                }
            }
            Command::WriteOff { grant, spent } => {
                if self.open.get(&grant).is_some_and(|open| open.lapsed || is_planted!(WriteOffEarly)) {
                    touched.extend(self.settle(grant, spent));
                    effects.push(Effect::Settled { grant });
                }
            }
            Command::Overdrawn { node, incarnation, number, customer, spent, charges: _ } => {
                if self.hears(node, incarnation, |heard| &mut heard.overdrawn, number) {
                    if let Some(account) = self.accounts.get_mut(&customer) {
                        let paid = spent.min(account.free);
                        account.free -= paid;
                        account.owed = account.owed.saturating_add(spent - paid);
                        account.spent = account.spent.saturating_add(spent);
                        touched.insert(customer);
                    }
                }
                effects.push(Effect::Booked { node, incarnation, number });
            }
        }
    }

    /// Whether a numbered word of a node's start is new. Words of a start before its last are old.
    fn hears(&mut self, node: Node, incarnation: u64, mark: fn(&mut Heard) -> &mut u64, number: u64) -> bool {
        if self.heard.len() >= MOST_NODES && !self.heard.contains_key(&node) {
            return false;
        }
        let heard = self.heard.entry(node).or_default();
        if incarnation < heard.incarnation {
            return false;
        }
        if incarnation > heard.incarnation {
            *heard = Heard { incarnation, ..Heard::default() };
        }
        let mark = mark(heard);
        let new = number > *mark;
        *mark = number.max(*mark);
        new
    }

    fn top_up(&mut self, order: u64, customer: Customer, units: Units) -> bool {
        if (order < self.oldest_order || self.orders.contains(&order)) && !is_planted!(TopUpTwice) {
            return false;
        }
        let Some(account) = self.accounts.get_mut(&customer).filter(|account| !account.closed) else {
            return false;
        };
        let Some(funded) = account.funded.checked_add(units) else { return false };
        account.funded = funded;
        let paid = units.min(account.owed);
        account.owed -= paid;
        account.free += units - paid;
        quench(account);
        self.orders.insert(order);
        while self.orders.len() > self.settings.most_orders {
            if let Some(oldest) = self.orders.pop_first() {
                self.oldest_order = oldest + 1;
            }
        }
        true
    }

    /// What the node would spend in a few round trips, but never more than a share of what is free, which shrinks
    /// as that falls and as more nodes hold money; at the end one call's worth.
    fn grant(&mut self, node: Node, incarnation: u64, ask: u64, want: &Want, effects: &mut Vec<Effect>) {
        let customer = want.customer;
        let denied = Effect::Denied { node, incarnation, ask, customer };
        let settings = self.settings;
        let Some(account) = self.accounts.get_mut(&customer) else {
            effects.push(denied);
            return;
        };
        let least = want.least.max(1);
        let share = account.free / settings.share.max(1).saturating_add(account.grants);
        let units = want.units.min(share).max(least);
        if units < want.units && account.called_back != self.ticks + 1 {
            // Once a tick at most.
            account.called_back = self.ticks + 1;
            self.call_backs += 1;
            effects.push(Effect::CallBack { number: self.call_backs, customer });
        }
        if account.closed || units > account.free || account.grants >= settings.most_grants {
            account.dry = if account.dry == 0 { least } else { account.dry.min(least) };
            effects.push(denied);
            return;
        }
        account.free -= units;
        account.granted += units;
        account.grants += 1;
        let grant = self.next_grant;
        self.next_grant += 1;
        let lapses = self.elapsed.saturating_add(settings.validity).saturating_add(settings.drift);
        let open = Open { node, incarnation, customer, units, lapsed: false, given_back: 0, part: 0, lapses };
        self.open.insert(grant, open);
        self.lapses.insert((lapses, grant));
        effects.push(Effect::Granted { node, incarnation, ask, grant, customer, units });
    }

    fn settle(&mut self, grant: u64, spent: Units) -> Option<Customer> {
        let open = self.open.remove(&grant)?;
        self.lapses.remove(&(open.lapses, grant));
        let account = self.accounts.get_mut(&open.customer)?;
        let spent = spent.min(open.units);
        account.granted -= open.units;
        account.grants -= 1;
        account.spent += spent;
        pay_in(account, open.units - spent);
        self.sweep(open.customer);
        Some(open.customer)
    }

    fn give_back(&mut self, grant: u64, incarnation: u64, part: u32, total: Units) -> Option<Customer> {
        let open =
            self.open.get_mut(&grant).filter(|open| open.incarnation == incarnation && part > open.part)?;
        let units = total.saturating_sub(open.given_back).min(open.units);
        open.part = part;
        open.given_back += units;
        open.units -= units;
        let account = self.accounts.get_mut(&open.customer)?;
        account.granted -= units;
        pay_in(account, units);
        Some(open.customer)
    }

    fn lapse(&mut self, effects: &mut Vec<Effect>) {
        while let Some((_, grant)) = self.lapses.first().copied().filter(|(at, _)| *at <= self.elapsed) {
            self.lapses.pop_first();
            if let Some(open) = self.open.get_mut(&grant) {
                open.lapsed = true;
                effects.push(Effect::Lapsed { grant, node: open.node });
            }
        }
    }

    /// A removed customer goes with its last grant.
    fn sweep(&mut self, customer: Customer) {
        if self.accounts.get(&customer).is_some_and(|account| account.closed && account.grants == 0) {
            self.accounts.remove(&customer);
        }
    }

    fn tell_funds(&mut self, customer: Customer, effects: &mut Vec<Effect>) {
        let account = self.accounts.get_mut(&customer).filter(|account| !account.closed);
        let Some(account) = account else { return };
        let level = if account.free >= account.low {
            16
        } else {
            u8::try_from(u128::from(account.free) * 16 / u128::from(account.low)).unwrap_or(16)
        };
        let now = Some((level, account.dry));
        if account.told != now {
            account.told = now;
            effects.push(Effect::Funds { customer, level, dry: account.dry });
        }
    }
}

/// Units come back: debts are paid first.
fn pay_in(account: &mut Account, units: Units) {
    let paid = units.min(account.owed);
    account.owed -= paid;
    account.free += units - paid;
    quench(account);
}

/// With enough free, the wish that could not be met may be made again.
fn quench(account: &mut Account) {
    if account.free >= account.dry {
        account.dry = 0;
    }
}
