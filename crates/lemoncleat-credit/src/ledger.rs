//! The ledger: a state machine over the commands of the replicated log.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{command, is_planted, Command, Customer, Demand, Effect, Micros, Node, Units, SECOND};

/// The settings of the ledger. They are the same at every voter: a change requires a new log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSettings {
    /// The validity of a grant.
    pub validity: Micros,
    /// Maximum drift between two clocks within that time, including pauses of a clock.
    pub drift: Micros,
    /// Maximum time that one tick adds.
    pub max_tick: Micros,
    /// A grant is at most the free units divided by this number plus the number of the customer's open
    /// grants.
    pub free_divisor: u64,
    /// Maximum number of customers.
    pub max_customers: usize,
    /// Maximum number of open grants of a customer.
    pub max_open_grants: u64,
    /// Number of top-up orders that are remembered.
    pub max_remembered_orders: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        LedgerSettings {
            validity: 30 * SECOND,
            drift: SECOND,
            max_tick: SECOND,
            free_divisor: 8,
            max_customers: 65_536,
            max_open_grants: 16_384,
            max_remembered_orders: 65_536,
        }
    }
}

/// A customer's balance. `funded + owed = free + granted + spent`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Units paid in.
    pub funded: Units,
    /// Units available for grants.
    pub free: Units,
    /// Units in open grants, including those that expired without settlement.
    pub granted: Units,
    /// Units charged to calls.
    pub spent: Units,
    /// Units overdrawn, to be paid from the next top-up.
    pub owed: Units,
    /// Free units below which funds count as low.
    pub low_threshold: Units,
    /// Number of open grants.
    pub grants: u64,
    /// The smallest demand that could not be met; 0 if there is none.
    pub min_unmet: Units,
    /// Whether the customer is removed and gets no new grants.
    pub closed: bool,
    reported_funds: Option<(u8, Units)>,
    recalled_at_tick: u64,
}

/// A grant that is not settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenGrant {
    /// The node that holds it.
    pub node: Node,
    /// The incarnation that requested it.
    pub incarnation: u64,
    /// The customer whose balance it uses.
    pub customer: Customer,
    /// Units left to the node, without those it returned.
    pub units: Units,
    /// Whether it has expired.
    pub expired: bool,
    returned: Units,
    part: u32,
    expires_at: Micros,
}

/// The highest request and overdraft numbers seen from a node, so that each is processed once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SeenNumbers {
    incarnation: u64,
    request: u64,
    overdraft: u64,
}

/// The accounts and open grants of all customers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    settings: LedgerSettings,
    applied: u64,
    ticks: u64,
    elapsed: Micros,
    next_grant: u64,
    recalls: u64,
    accounts: BTreeMap<Customer, Account>,
    open: BTreeMap<u64, OpenGrant>,
    expirations: BTreeSet<(Micros, u64)>,
    seen_numbers: BTreeMap<Node, SeenNumbers>,
    top_up_orders: BTreeSet<u64>,
    oldest_order: u64,
    unreadable: u64,
}

/// Maximum number of nodes whose requests are remembered; larger than any fleet.
const MAX_NODES: usize = 65_536;

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(settings: LedgerSettings) -> Ledger {
        Ledger {
            settings,
            applied: 0,
            ticks: 0,
            elapsed: 0,
            next_grant: 1,
            recalls: 0,
            accounts: BTreeMap::new(),
            open: BTreeMap::new(),
            expirations: BTreeSet::new(),
            seen_numbers: BTreeMap::new(),
            top_up_orders: BTreeSet::new(),
            oldest_order: 0,
            unreadable: 0,
        }
    }

    /// Applies the entry at a log index and returns its effects. An entry that was already applied has no
    /// effect.
    pub fn apply(&mut self, index: u64, entry: &[u8]) -> Vec<Effect> {
        let mut effects = Vec::new();
        if index <= self.applied {
            return effects;
        }
        self.applied = index;
        let Some(commands) = command::decode(entry) else {
            self.unreadable += 1;
            return effects;
        };
        let mut touched = BTreeSet::new();
        for command in commands {
            lemoncleat_faults::point!(CREDIT_APPLY);
            self.execute(command, &mut touched, &mut effects);
        }
        for customer in touched {
            self.report_funds(customer, &mut effects);
        }
        effects
    }

    /// Returns the remaining funds of each customer, for a node that starts.
    pub fn funds(&self) -> Vec<Effect> {
        let funds = |(customer, account): (&Customer, &Account)| {
            let (level, min_unmet) = account.reported_funds?;
            Some(Effect::Funds { customer: *customer, level, min_unmet })
        };
        self.accounts.iter().filter(|(_, account)| !account.closed).filter_map(funds).collect()
    }

    /// Encodes the ledger.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Restores the ledger from a snapshot. `None` if it is malformed or its sums are inconsistent.
    pub fn restore(bytes: &[u8]) -> Option<Ledger> {
        postcard::from_bytes::<Ledger>(bytes).ok().filter(Ledger::conserved)
    }

    /// Returns whether no units were created or lost, for each customer.
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

    /// Returns the log index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the elapsed time as measured by the leaders; never ahead of real time by more than the drift
    /// of their clocks.
    pub fn elapsed(&self) -> Micros {
        self.elapsed
    }

    /// Returns the number of ticks so far.
    pub fn ticks(&self) -> u64 {
        self.ticks
    }

    /// Returns the number of entries that could not be decoded.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// Returns a customer's account.
    pub fn account(&self, customer: Customer) -> Option<&Account> {
        self.accounts.get(&customer)
    }

    /// Returns all grants that are not settled, ordered by number.
    pub fn open(&self) -> impl Iterator<Item = (u64, &OpenGrant)> {
        self.open.iter().map(|(number, open)| (*number, open))
    }

    fn execute(&mut self, command: Command, touched: &mut BTreeSet<Customer>, effects: &mut Vec<Effect>) {
        match command {
            Command::OpenAccount { customer, low_threshold } => {
                if self.accounts.len() < self.settings.max_customers || self.accounts.contains_key(&customer)
                {
                    let account = self.accounts.entry(customer).or_default();
                    // A customer whose removal is not complete cannot be added again.
                    if !account.closed {
                        account.low_threshold = low_threshold;
                        touched.insert(customer);
                    }
                }
            }
            Command::CloseAccount { customer } => {
                if let Some(account) = self.accounts.get_mut(&customer) {
                    account.closed = true;
                    effects.push(Effect::AccountClosed { customer });
                    self.remove_if_closed(customer);
                }
            }
            Command::TopUp { order, customer, units } => {
                let booked = self.top_up(order, customer, units);
                if booked {
                    touched.insert(customer);
                }
                let booked = booked || self.top_up_orders.contains(&order);
                effects.push(Effect::ToppedUp { order, booked });
            }
            Command::RequestGrants { node, incarnation, request, demands } => {
                if self.is_new(node, incarnation, |seen| &mut seen.request, request) {
                    for demand in demands {
                        touched.insert(demand.customer);
                        self.grant(node, incarnation, request, &demand, effects);
                    }
                }
            }
            Command::Settle { grant, node, incarnation, spent, charges: _ } => {
                let allowed = self.open.get(&grant).is_some_and(|open| {
                    open.node == node && (open.incarnation == incarnation || open.expired)
                });
                if allowed {
                    touched.extend(self.settle(grant, spent));
                }
                if !self.open.contains_key(&grant) {
                    effects.push(Effect::Settled { grant });
                }
            }
            Command::ReturnUnits { grant, incarnation, part, total } => {
                touched.extend(self.return_units(grant, incarnation, part, total));
                let known = self.open.get(&grant).map_or(part, |open| open.part);
                effects.push(Effect::Returned { grant, part: known });
            }
            Command::Tick { after, by } => {
                if after == self.ticks || is_planted!(TickTwice) {
                    self.ticks += 1;
                    self.elapsed = self.elapsed.saturating_add(by.clamp(0, self.settings.max_tick));
                    self.expire_grants(effects);
                }
            }
            Command::WriteOff { grant, spent } => {
                if self.open.get(&grant).is_some_and(|open| open.expired || is_planted!(WriteOffEarly)) {
                    touched.extend(self.settle(grant, spent));
                    effects.push(Effect::Settled { grant });
                }
            }
            Command::RecordOverdraft { node, incarnation, number, customer, spent, charges: _ } => {
                if self.is_new(node, incarnation, |seen| &mut seen.overdraft, number) {
                    if let Some(account) = self.accounts.get_mut(&customer) {
                        let paid = spent.min(account.free);
                        account.free -= paid;
                        account.owed = account.owed.saturating_add(spent - paid);
                        account.spent = account.spent.saturating_add(spent);
                        touched.insert(customer);
                    }
                }
                effects.push(Effect::OverdraftRecorded { node, incarnation, number });
            }
        }
    }

    /// Whether a number from a node's incarnation is new. Numbers of earlier incarnations are old.
    fn is_new(
        &mut self,
        node: Node,
        incarnation: u64,
        highest: fn(&mut SeenNumbers) -> &mut u64,
        number: u64,
    ) -> bool {
        if self.seen_numbers.len() >= MAX_NODES && !self.seen_numbers.contains_key(&node) {
            return false;
        }
        let seen = self.seen_numbers.entry(node).or_default();
        if incarnation < seen.incarnation {
            return false;
        }
        if incarnation > seen.incarnation {
            *seen = SeenNumbers { incarnation, ..SeenNumbers::default() };
        }
        let highest = highest(seen);
        let new = number > *highest;
        *highest = number.max(*highest);
        new
    }

    fn top_up(&mut self, order: u64, customer: Customer, units: Units) -> bool {
        if (order < self.oldest_order || self.top_up_orders.contains(&order)) && !is_planted!(TopUpTwice) {
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
        clear_met_demand(account);
        self.top_up_orders.insert(order);
        while self.top_up_orders.len() > self.settings.max_remembered_orders {
            if let Some(oldest) = self.top_up_orders.pop_first() {
                self.oldest_order = oldest + 1;
            }
        }
        true
    }

    /// Grants what the node expects to spend within a few round trips, but at most a share of the free units,
    /// which shrinks as these decrease and as more nodes hold grants; when funds are almost used up, one
    /// call's worth.
    fn grant(
        &mut self,
        node: Node,
        incarnation: u64,
        request: u64,
        demand: &Demand,
        effects: &mut Vec<Effect>,
    ) {
        let customer = demand.customer;
        let denied = Effect::Denied { node, incarnation, request, customer };
        let settings = self.settings;
        let Some(account) = self.accounts.get_mut(&customer) else {
            effects.push(denied);
            return;
        };
        let min_units = demand.min_units.max(1);
        let share = account.free / settings.free_divisor.max(1).saturating_add(account.grants);
        let units = demand.units.min(share).max(min_units);
        if units < demand.units && account.recalled_at_tick != self.ticks + 1 {
            // At most once per tick.
            account.recalled_at_tick = self.ticks + 1;
            self.recalls += 1;
            effects.push(Effect::Recall { number: self.recalls, customer });
        }
        if account.closed || units > account.free || account.grants >= settings.max_open_grants {
            account.min_unmet =
                if account.min_unmet == 0 { min_units } else { account.min_unmet.min(min_units) };
            effects.push(denied);
            return;
        }
        account.free -= units;
        account.granted += units;
        account.grants += 1;
        let grant = self.next_grant;
        self.next_grant += 1;
        let expires_at = self.elapsed.saturating_add(settings.validity).saturating_add(settings.drift);
        let open = OpenGrant {
            node,
            incarnation,
            customer,
            units,
            expired: false,
            returned: 0,
            part: 0,
            expires_at,
        };
        self.open.insert(grant, open);
        self.expirations.insert((expires_at, grant));
        effects.push(Effect::Granted { node, incarnation, request, grant, customer, units });
    }

    fn settle(&mut self, grant: u64, spent: Units) -> Option<Customer> {
        let open = self.open.remove(&grant)?;
        self.expirations.remove(&(open.expires_at, grant));
        let account = self.accounts.get_mut(&open.customer)?;
        let spent = spent.min(open.units);
        account.granted -= open.units;
        account.grants -= 1;
        account.spent += spent;
        add_returned_units(account, open.units - spent);
        self.remove_if_closed(open.customer);
        Some(open.customer)
    }

    fn return_units(&mut self, grant: u64, incarnation: u64, part: u32, total: Units) -> Option<Customer> {
        let open =
            self.open.get_mut(&grant).filter(|open| open.incarnation == incarnation && part > open.part)?;
        let units = total.saturating_sub(open.returned).min(open.units);
        open.part = part;
        open.returned += units;
        open.units -= units;
        let account = self.accounts.get_mut(&open.customer)?;
        account.granted -= units;
        add_returned_units(account, units);
        Some(open.customer)
    }

    fn expire_grants(&mut self, effects: &mut Vec<Effect>) {
        while let Some((_, grant)) = self.expirations.first().copied().filter(|(at, _)| *at <= self.elapsed) {
            self.expirations.pop_first();
            if let Some(open) = self.open.get_mut(&grant) {
                open.expired = true;
                effects.push(Effect::Expired { grant, node: open.node });
            }
        }
    }

    /// Deletes a removed customer's account with its last grant.
    fn remove_if_closed(&mut self, customer: Customer) {
        if self.accounts.get(&customer).is_some_and(|account| account.closed && account.grants == 0) {
            self.accounts.remove(&customer);
        }
    }

    fn report_funds(&mut self, customer: Customer, effects: &mut Vec<Effect>) {
        let account = self.accounts.get_mut(&customer).filter(|account| !account.closed);
        let Some(account) = account else { return };
        let level = if account.free >= account.low_threshold {
            16
        } else {
            u8::try_from(u128::from(account.free) * 16 / u128::from(account.low_threshold)).unwrap_or(16)
        };
        let funds = Some((level, account.min_unmet));
        if account.reported_funds != funds {
            account.reported_funds = funds;
            effects.push(Effect::Funds { customer, level, min_unmet: account.min_unmet });
        }
    }
}

/// Adds returned units: debts are paid first.
fn add_returned_units(account: &mut Account, units: Units) {
    let paid = units.min(account.owed);
    account.owed -= paid;
    account.free += units - paid;
    clear_met_demand(account);
}

/// Clears the unmet demand once there are enough free units to request it again.
fn clear_met_demand(account: &mut Account) {
    if account.free >= account.min_unmet {
        account.min_unmet = 0;
    }
}
