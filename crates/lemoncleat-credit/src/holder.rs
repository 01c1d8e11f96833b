//! The grants of a node and the calls that spend them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::purse::{CustomerGrants, HeldGrant, MAX_HELD_GRANTS};
use crate::tariff::started_seconds;
use crate::{command, is_planted};
use crate::{Class, Command, Customer, Demand, Effect, Micros, Node, Price, Tariff, Units, SECOND};

/// The policy while the ledger is unreachable and the grants are spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfflinePolicy {
    /// New calls are refused, and standing calls end when their paid time is over.
    Refuse,
    /// The node may overdraw this many units per customer. They are booked when the ledger is reachable
    /// again, together with any resulting debt of the customer.
    AllowOverdraft(Units),
}

/// The settings of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderSettings {
    /// The validity of a grant; as in the ledger's settings.
    pub validity: Micros,
    /// Maximum drift between two clocks within that time; as in the ledger's settings.
    pub drift: Micros,
    /// Seconds that a set-up reserves in addition to its fee.
    pub initial_seconds: u32,
    /// Seconds that a standing call pays in advance at a time.
    pub slice_seconds: u32,
    /// Time before the end of the paid time at which a standing call pays for more.
    pub renew_before: Micros,
    /// Time before the end of the paid time at which the call is ended if it could not pay.
    pub end_margin: Micros,
    /// Maximum duration of a set-up, after which its reservation is released.
    pub set_up_timeout: Micros,
    /// Maximum time that a call waits for a grant.
    pub grant_wait: Micros,
    /// Grants are requested to cover the spending of this time.
    pub spending_horizon: Micros,
    /// Time for which commands are collected into one entry.
    pub batch_delay: Micros,
    /// Interval at which an unconfirmed command is proposed again.
    pub repeat_interval: Micros,
    /// The policy while the ledger is unreachable.
    pub offline_policy: OfflinePolicy,
    /// Maximum number of concurrent calls.
    pub max_calls: usize,
}

impl Default for HolderSettings {
    fn default() -> Self {
        HolderSettings {
            validity: 30 * SECOND,
            drift: SECOND,
            initial_seconds: 5,
            slice_seconds: 5,
            renew_before: 2 * SECOND,
            end_margin: SECOND / 20,
            set_up_timeout: 8 * SECOND,
            grant_wait: SECOND / 2,
            spending_horizon: 4 * SECOND,
            batch_delay: 5_000,
            repeat_interval: SECOND / 2,
            offline_policy: OfflinePolicy::Refuse,
            max_calls: 100_000,
        }
    }
}

/// Input to a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A call is to be set up. A retransmission (T bit) and attempts at other servers have no further effect.
    SetUp {
        /// The number of the call, unique in the whole fleet.
        call: u64,
        /// The customer.
        customer: Customer,
        /// The class of the call.
        class: Class,
    },
    /// The call was answered successfully.
    Established {
        /// The call.
        call: u64,
    },
    /// The call was abandoned, or refused by the last server.
    Failed {
        /// The call.
        call: u64,
    },
    /// The call ended.
    Ended {
        /// The call.
        call: u64,
    },
    /// An effect of the ledger, in log order.
    Effect(Effect),
    /// The operator adds funds.
    TopUp {
        /// The number of the operator's order.
        order: u64,
        /// The customer.
        customer: Customer,
        /// The number of units.
        units: Units,
    },
    /// The replicated log is unreachable.
    LedgerUnreachable,
    /// The replicated log is reachable again.
    LedgerReachable,
    /// The node is about to stop: unneeded units are returned and new calls refused.
    Stop,
    /// The time returned by [`Holder::next_timeout`] has come.
    Timeout,
}

/// The reason why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// No funds: DIAMETER_CREDIT_LIMIT_REACHED (4012, RFC 8506 9.1).
    CreditLimitReached,
    /// Funds are low, and the call is worth less than what it would spend. The same result code.
    WorthTooLow,
    /// The customer is removed: DIAMETER_USER_UNKNOWN (5030, RFC 8506 9.2).
    CustomerRemoved,
    /// The call has already ended: a late retransmission.
    AlreadyEnded,
    /// Too many calls, or the node is about to stop.
    Busy,
}

/// Events that are reported to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A grant arrived for a request that is no longer known or valid. It is settled unspent.
    LateGrant(u64),
    /// A call without a reservation was established, or found established; it is ended.
    Unpaid(u64),
    /// A grant of an earlier incarnation of this node expired. The node's records show what it spent; see
    /// [`Command::WriteOff`].
    OrphanGrant(u64),
    /// A top-up was processed; the flag tells whether it was booked (not if the customer is unknown or
    /// removed).
    ToppedUp(u64, bool),
}

/// Output of a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The call may be sent to its first server.
    Admit {
        /// The call.
        call: u64,
    },
    /// The call is refused.
    Refuse {
        /// The call.
        call: u64,
        /// The reason.
        reason: RefusalReason,
    },
    /// Ends a standing call at the end of its paid time. Sent once per call.
    End {
        /// The call.
        call: u64,
    },
    /// An entry to propose to the replicated log. It may be lost; its commands are proposed again until their
    /// effects arrive.
    Propose(Vec<u8>),
    /// An event for the operator.
    Notice(Notice),
}

/// Seconds of a call that were paid from one grant.
#[derive(Clone, Copy, Debug)]
struct Slice {
    grant: u64,
    fee: Units,
    from: u32,
    seconds: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    SettingUp,
    Standing(Micros),
    /// The call was told to end.
    Ending(Micros),
}

#[derive(Clone, Debug)]
struct Call {
    customer: Customer,
    price: Price,
    state: State,
    slices: VecDeque<Slice>,
    paid_seconds: u32,
    timer: Micros,
}

impl Call {
    /// Returns the end of the paid time.
    fn paid_until(&self, since: Micros) -> Micros {
        since.saturating_add(Micros::from(self.paid_seconds).saturating_mul(SECOND))
    }
}

/// Identifies an unconfirmed command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CommandKey {
    Grant(u64),
    Part(u64),
    TopUp(u64),
    Overdraft(u64),
}

/// The grants and calls of a node.
#[derive(Clone, Debug)]
pub struct Holder {
    node: Node,
    incarnation: u64,
    settings: HolderSettings,
    tariff: Tariff,
    customer_grants: BTreeMap<Customer, CustomerGrants>,
    calls: BTreeMap<u64, Call>,
    timers: BTreeSet<(Micros, u64)>,
    ended_calls: BTreeSet<u64>,
    ended_order: VecDeque<u64>,
    /// Time at which each request was sent: the validity of its grants begins there for the holder.
    requests_sent: BTreeMap<u64, Micros>,
    next_request: u64,
    next_overdraft: u64,
    demands: Vec<Demand>,
    outbox: Vec<Command>,
    flush: Option<Micros>,
    /// Commands that are not confirmed yet, and the time of their repetition.
    unconfirmed: BTreeMap<CommandKey, (Command, Micros)>,
    next_repeat: Micros,
    /// Time of the next maintenance of each customer's grants.
    maintenance: BTreeMap<Customer, Micros>,
    maintenance_by_time: BTreeSet<(Micros, Customer)>,
    ledger_away: bool,
    stopping: bool,
}

/// Maximum number of ended calls that are remembered, so that a late retransmission is not taken for a new
/// call.
const MAX_ENDED_CALLS: usize = 8192;
/// Maximum number of unconfirmed commands, beyond which top-ups and returns are not proposed.
const MAX_UNCONFIRMED: usize = 65_536;

impl Holder {
    /// Creates a holder without grants. `incarnation` increases with each start of the node: grants of an
    /// earlier incarnation may be spent, so this one does not use them.
    pub fn new(node: Node, incarnation: u64, settings: HolderSettings, tariff: Tariff) -> Holder {
        Holder {
            node,
            incarnation,
            settings,
            tariff,
            customer_grants: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: BTreeSet::new(),
            ended_calls: BTreeSet::new(),
            ended_order: VecDeque::new(),
            requests_sent: BTreeMap::new(),
            next_request: 1,
            next_overdraft: 1,
            demands: Vec::new(),
            outbox: Vec::new(),
            flush: None,
            unconfirmed: BTreeMap::new(),
            next_repeat: Micros::MAX,
            maintenance: BTreeMap::new(),
            maintenance_by_time: BTreeSet::new(),
            ledger_away: false,
            stopping: false,
        }
    }

    /// Replaces the tariff. Known calls keep their prices.
    pub fn reload(&mut self, tariff: Tariff) {
        self.tariff = tariff;
    }

    /// Returns the cost of spending a customer's units, in worth, see [`Tariff::spending_price`]: to be
    /// subtracted like a route's cost.
    pub fn spending_price(&self, customer: Customer, class: Class) -> f64 {
        self.tariff
            .spending_price(class, self.customer_grants.get(&customer).map_or(16, |grants| grants.level))
    }

    /// Returns the seconds that a call has paid for since it was established.
    pub fn paid_seconds(&self, call: u64) -> Option<u32> {
        self.calls.get(&call).map(|call| call.paid_seconds)
    }

    /// Returns the grants held: number, units spent or reserved, and units not returned.
    pub fn held_grants(&self) -> impl Iterator<Item = (u64, Units, Units)> + '_ {
        let held = self
            .customer_grants
            .values()
            .flat_map(|grants| grants.held.iter())
            .filter(|(_, held)| !held.is_overdraft);
        held.map(|(grant, held)| {
            (*grant, held.spent + held.reserved, held.units.saturating_sub(held.returned))
        })
    }

    /// Returns the number of calls that are waiting, being set up or established.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the time at which the holder must be called again.
    pub fn next_timeout(&self) -> Option<Micros> {
        let repeats = Some(self.next_repeat).filter(|at| !self.ledger_away && *at < Micros::MAX);
        let timer = self.timers.first().map(|(at, _)| *at);
        let flush = self.flush.filter(|_| !self.ledger_away);
        [timer, flush, repeats, self.maintenance_by_time.first().map(|(at, _)| *at)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Processes an input and appends the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        // Timers that are due are processed first, also after a pause.
        self.run_timers(now, out);
        match input {
            Input::SetUp { call, customer, class } => self.set_up(now, call, customer, class, out),
            Input::Established { call } => self.established(now, call, out),
            Input::Failed { call } => {
                if self
                    .calls
                    .get(&call)
                    .is_some_and(|call| matches!(call.state, State::Waiting | State::SettingUp))
                {
                    self.close(now, call, out);
                }
            }
            Input::Ended { call } => self.close(now, call, out),
            Input::Effect(effect) => self.effect(now, effect, out),
            Input::TopUp { order, customer, units } => {
                lemoncleat_faults::point!(CREDIT_TOP_UP);
                self.propose(now, CommandKey::TopUp(order), Command::TopUp { order, customer, units });
            }
            Input::LedgerUnreachable => {
                self.ledger_away = true;
                let customers: Vec<Customer> = self.customer_grants.keys().copied().collect();
                customers.into_iter().for_each(|customer| self.maintain(now, customer, out));
            }
            Input::LedgerReachable => self.ledger_reachable(now, out),
            Input::Stop => {
                self.stopping = true;
                let customers: Vec<Customer> = self.customer_grants.keys().copied().collect();
                customers.into_iter().for_each(|customer| self.maintain(now, customer, out));
            }
            Input::Timeout => {}
        }
        if !self.ledger_away && self.flush.is_some_and(|at| at <= now) {
            self.flush(now, out);
        }
    }

    fn set_up(&mut self, now: Micros, id: u64, customer: Customer, class: Class, out: &mut Vec<Output>) {
        let Some(price) = self.tariff.price(class) else {
            out.push(Output::Admit { call: id });
            return;
        };
        if let Some(call) = self.calls.get(&id) {
            if call.state != State::Waiting {
                out.push(Output::Admit { call: id });
            }
            if !is_planted!(RepeatReserves) || call.state != State::SettingUp {
                return;
            }
        }
        let full = self.calls.len() >= self.settings.max_calls;
        let grants = self.customer_grants.entry(customer).or_default();
        let cost = price.call(self.settings.initial_seconds);
        let reason = if self.ended_calls.contains(&id) {
            Some(RefusalReason::AlreadyEnded)
        } else if grants.closed {
            Some(RefusalReason::CustomerRemoved)
        } else if full || self.stopping {
            Some(RefusalReason::Busy)
        } else if !self.tariff.is_worth_spending(class, grants.level) {
            Some(RefusalReason::WorthTooLow)
        } else {
            None
        };
        if let Some(reason) = reason {
            self.refuse(id, reason, out);
            return;
        }
        grants.set_up_cost = cost;
        let until = now.saturating_add(self.settings.grant_wait);
        let call = Call {
            customer,
            price,
            state: State::Waiting,
            slices: VecDeque::new(),
            paid_seconds: 0,
            timer: until,
        };
        self.calls.insert(id, call);
        self.timers.insert((until, id));
        if !self.reserve_set_up(now, id, out) {
            self.overdraw(customer);
            if !self.reserve_set_up(now, id, out) {
                let grants = self.customer_grants.entry(customer).or_default();
                if self.ledger_away || (grants.min_unmet > 0 && cost >= grants.min_unmet) {
                    self.drop_call(id);
                    self.refuse(id, RefusalReason::CreditLimitReached, out);
                } else {
                    grants.waiting.insert((until, id), cost);
                }
            }
        }
        self.maintain(now, customer, out);
    }

    fn refuse(&mut self, call: u64, reason: RefusalReason, out: &mut Vec<Output>) {
        lemoncleat_faults::point!(CREDIT_REFUSE);
        out.push(Output::Refuse { call, reason });
    }

    /// Reserves units for a call's set-up and first seconds, if a grant has them and is valid until they are
    /// over.
    fn reserve_set_up(&mut self, now: Micros, id: u64, out: &mut Vec<Output>) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let Some(grants) = self.customer_grants.get_mut(&call.customer) else { return false };
        let first = self.settings.initial_seconds;
        let limit = now.saturating_add(self.settings.set_up_timeout);
        let until = limit.saturating_add(Micros::from(first) * SECOND);
        lemoncleat_faults::point!(CREDIT_RESERVE);
        let Some(grant) = grants.reserve(call.price.call(first), until) else { return false };
        call.slices.push_back(Slice { grant, fee: call.price.set_up, from: 0, seconds: first });
        call.paid_seconds = first;
        call.state = State::SettingUp;
        grants.waiting.remove(&(call.timer, id));
        self.timer(id, limit);
        out.push(Output::Admit { call: id });
        true
    }

    fn timer(&mut self, id: u64, at: Micros) {
        if let Some(call) = self.calls.get_mut(&id) {
            self.timers.remove(&(call.timer, id));
            call.timer = at;
            self.timers.insert((at, id));
        }
    }

    fn established(&mut self, now: Micros, id: u64, out: &mut Vec<Output>) {
        match self.calls.get_mut(&id) {
            Some(call) if call.state == State::SettingUp => {
                call.state = State::Standing(now);
                self.renew_or_end(now, id, out);
            }
            Some(call) if matches!(call.state, State::Standing(_) | State::Ending(_)) => {}
            // Its reservation has expired, or it never had one.
            _ => {
                if self.ended_calls.contains(&id) {
                    out.push(Output::Notice(Notice::Unpaid(id)));
                    out.push(Output::End { call: id });
                }
            }
        }
    }

    /// Charges the elapsed time of a standing call, then pays for more or ends it.
    fn renew_or_end(&mut self, now: Micros, id: u64, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (State::Standing(since) | State::Ending(since)) = call.state else { return };
        let Some(grants) = self.customer_grants.get_mut(&call.customer) else { return };
        let customer = call.customer;
        while let Some(slice) = call.slices.front().copied() {
            let end = since.saturating_add(Micros::from(slice.from + slice.seconds) * SECOND);
            if end > now {
                break;
            }
            lemoncleat_faults::point!(CREDIT_CHARGE);
            let whole = slice.fee + call.price.seconds(slice.seconds);
            if let Some(held) = grants.held.get_mut(&slice.grant) {
                held.charge(id, whole, whole);
            }
            call.slices.pop_front();
        }
        let mut until = call.paid_until(since);
        grants.short_calls.remove(&(until, id));
        let goes_on = matches!(call.state, State::Standing(_)) && now < until;
        if goes_on && until.saturating_sub(self.settings.renew_before) <= now && !grants.closed {
            let whole = until.saturating_add(Micros::from(self.settings.slice_seconds) * SECOND);
            // If the whole slice is not available, pays for at least one second.
            let payment = [(whole, self.settings.slice_seconds), (until.saturating_add(SECOND), 1)]
                .into_iter()
                .find_map(|(until, seconds)| {
                    let each = call.price.per_second.max(1);
                    let can = Units::from(seconds).min(grants.largest_available(until) / each);
                    let seconds = u32::try_from(can)
                        .ok()
                        .filter(|seconds| *seconds > 0 || call.price.per_second == 0)?;
                    lemoncleat_faults::point!(CREDIT_RESERVE);
                    Some((grants.reserve(call.price.seconds(seconds.max(1)), until)?, seconds.max(1)))
                });
            match payment {
                Some((grant, seconds)) => {
                    call.slices.push_back(Slice { grant, fee: 0, from: call.paid_seconds, seconds });
                    call.paid_seconds = call.paid_seconds.saturating_add(seconds);
                    until = call.paid_until(since);
                }
                None => {
                    grants.short_calls.insert((until, id));
                }
            }
        }
        let end = until.saturating_sub(self.settings.end_margin);
        if end <= now && matches!(call.state, State::Standing(_)) && !is_planted!(NeverEnd) {
            grants.short_calls.remove(&(until, id));
            call.state = State::Ending(since);
            out.push(Output::End { call: id });
        }
        let slice =
            call.slices.front().map(|s| since.saturating_add(Micros::from(s.from + s.seconds) * SECOND));
        let moments = [slice, Some(until.saturating_sub(self.settings.renew_before)), Some(end)];
        let next = moments.into_iter().flatten().filter(|at| *at > now).min().unwrap_or(Micros::MAX);
        self.timer(id, next);
        self.schedule_maintenance(customer, Some(now));
    }

    /// Ends a call: charges what it used and releases the rest.
    fn close(&mut self, now: Micros, id: u64, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(&id).cloned() else { return };
        let used = match call.state {
            State::Standing(since) | State::Ending(since) => {
                started_seconds(now.saturating_sub(since)).min(call.paid_seconds)
            }
            State::Waiting | State::SettingUp => 0,
        };
        for slice in &call.slices {
            lemoncleat_faults::point!(CREDIT_CHARGE);
            let whole = slice.fee + call.price.seconds(slice.seconds);
            let seconds = used.saturating_sub(slice.from).min(slice.seconds);
            let spent = if used == 0 { 0 } else { slice.fee + call.price.seconds(seconds) };
            let spent = if is_planted!(KeepRest) { whole } else { spent };
            let held = self
                .customer_grants
                .get_mut(&call.customer)
                .and_then(|grants| grants.held.get_mut(&slice.grant));
            if let Some(held) = held {
                held.charge(id, whole, spent);
            }
        }
        self.drop_call(id);
        self.ended_calls.insert(id);
        self.ended_order.push_back(id);
        if self.ended_order.len() > MAX_ENDED_CALLS {
            if let Some(old) = self.ended_order.pop_front() {
                self.ended_calls.remove(&old);
            }
        }
        self.serve_waiting(now, call.customer, out);
        self.maintain(now, call.customer, out);
    }

    fn drop_call(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.timers.remove(&(call.timer, id));
        if let Some(grants) = self.customer_grants.get_mut(&call.customer) {
            grants.waiting.remove(&(call.timer, id));
            if let State::Standing(since) = call.state {
                grants.short_calls.remove(&(call.paid_until(since), id));
            }
        }
    }

    /// Processes the timers that are due, in order.
    fn run_timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((at, id)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            match self.calls.get(&id).filter(|call| call.timer == at).map(|call| call.state) {
                Some(State::Waiting) => {
                    let customer = self.calls.get(&id).map(|call| call.customer);
                    self.drop_call(id);
                    self.refuse(id, RefusalReason::CreditLimitReached, out);
                    if let Some(customer) = customer {
                        self.schedule_maintenance(customer, Some(now));
                    }
                }
                Some(State::SettingUp) => self.close(now, id, out),
                Some(_) => self.renew_or_end(now, id, out),
                None => {
                    self.timers.remove(&(at, id));
                }
            }
        }
        let due: Vec<Customer> =
            self.maintenance.iter().filter(|(_, at)| **at <= now).map(|(who, _)| *who).collect();
        due.into_iter().for_each(|customer| self.maintain(now, customer, out));
        if !self.ledger_away && self.next_repeat <= now {
            let mut again = Vec::new();
            for (command, at) in self.unconfirmed.values_mut().filter(|(_, at)| *at <= now) {
                *at = now.saturating_add(self.settings.repeat_interval);
                again.push(command.clone());
            }
            self.next_repeat = self.unconfirmed.values().map(|(_, at)| *at).min().unwrap_or(Micros::MAX);
            if !again.is_empty() {
                self.outbox.extend(again);
                self.flush.get_or_insert(now);
            }
        }
    }

    /// Gives available units to waiting calls: standing calls first, the earliest end first.
    fn serve_waiting(&mut self, now: Micros, customer: Customer, out: &mut Vec<Output>) {
        let Some(grants) = self.customer_grants.get(&customer) else { return };
        if grants.waiting.is_empty() && grants.short_calls.is_empty() {
            return;
        }
        let short_calls: Vec<u64> = grants.short_calls.iter().map(|(_, id)| *id).collect();
        let waiting: Vec<u64> = grants.waiting.keys().map(|(_, id)| *id).collect();
        short_calls.into_iter().for_each(|id| self.renew_or_end(now, id, out));
        for id in waiting {
            if !self.reserve_set_up(now, id, out) {
                break;
            }
        }
    }

    /// Schedules the next maintenance of a customer's grants.
    fn schedule_maintenance(&mut self, customer: Customer, at: Option<Micros>) {
        let before = match at {
            Some(at) => {
                self.maintenance_by_time.insert((at, customer));
                self.maintenance.insert(customer, at)
            }
            None => self.maintenance.remove(&customer),
        };
        if let Some(before) = before.filter(|before| at != Some(*before)) {
            self.maintenance_by_time.remove(&(before, customer));
        }
    }

    /// Maintains a customer's grants: settles those that ended, returns units that are not needed, requests
    /// those that will be.
    fn maintain(&mut self, now: Micros, customer: Customer, out: &mut Vec<Output>) {
        let settings = self.settings;
        self.schedule_maintenance(customer, None);
        let Some(grants) = self.customer_grants.get_mut(&customer) else { return };
        let next_rate_update = grants.update_rate(now);
        let idle = grants.waiting.is_empty() && grants.short_calls.is_empty();
        let winding_down = grants.closed || self.stopping;
        if winding_down || (grants.min_unmet > 0 && idle) {
            self.return_units(now, customer, 0);
        }
        self.settle(now, customer);
        let Some(grants) = self.customer_grants.get_mut(&customer) else { return };
        if (grants.closed || grants.min_unmet > 0) && !grants.waiting.is_empty() {
            // Refuses calls that cannot be served at once, as they would wait in vain.
            let lost: Vec<u64> = (grants.waiting.iter())
                .filter(|(_, cost)| grants.closed || **cost >= grants.min_unmet)
                .map(|((_, id), _)| *id)
                .collect();
            let reason = if grants.closed {
                RefusalReason::CustomerRemoved
            } else {
                RefusalReason::CreditLimitReached
            };
            for id in lost {
                self.drop_call(id);
                self.refuse(id, reason, out);
            }
        }
        let Some(grants) = self.customer_grants.get_mut(&customer) else { return };
        if grants.requested_at.is_some_and(|at| now >= at.saturating_add(settings.repeat_interval)) {
            grants.requested_at = None;
        }
        let reservation_span = Micros::from(settings.initial_seconds) * SECOND + settings.set_up_timeout;
        let available = grants
            .available(now.saturating_add(reservation_span).saturating_add(settings.spending_horizon / 2));
        let horizon_units = grants
            .spending_rate
            .saturating_mul(Units::try_from(settings.spending_horizon / SECOND).unwrap_or(1).max(1));
        let calls = &self.calls;
        let second = |id: &u64| calls.get(id).map_or(1, |call| call.price.per_second.max(1));
        let short_demand: Units =
            grants.short_calls.iter().map(|(_, id)| second(id) * Units::from(settings.slice_seconds)).sum();
        let waiting = grants.waiting.values().fold(short_demand, |sum, cost| sum.saturating_add(*cost));
        let needs =
            waiting > 0 || (horizon_units > 0 && available < (horizon_units / 2).max(grants.set_up_cost));
        let min_units = match (grants.short_calls.first(), grants.waiting.first_key_value()) {
            (Some((_, id)), _) => second(id),
            (None, Some((_, cost))) => *cost,
            _ => grants.set_up_cost,
        };
        let may_not_request = winding_down
            || self.ledger_away
            || grants.requested_at.is_some()
            || grants.held.len() >= MAX_HELD_GRANTS;
        if needs && !may_not_request && (grants.min_unmet == 0 || min_units < grants.min_unmet) {
            let units = waiting
                .saturating_add(horizon_units.max(grants.set_up_cost).saturating_sub(available))
                .max(min_units);
            // With low funds, requests only what is needed now.
            let units = if grants.min_unmet > 0 { waiting.max(min_units) } else { units };
            grants.requested_at = Some(now);
            grants.requested_min = min_units;
            self.demands.push(Demand { customer, units, min_units });
            self.flush.get_or_insert(now.saturating_add(settings.batch_delay));
        }
        let next_expiry = grants.held.values().map(|held| held.valid_until).filter(|at| *at > now).min();
        let retry_at = grants.requested_at.map(|at| at.saturating_add(settings.repeat_interval));
        let next =
            [next_rate_update, next_expiry, retry_at].into_iter().flatten().min().map(|at| at.max(now + 1));
        self.schedule_maintenance(customer, next);
    }

    /// Returns the available units above `keep`.
    fn return_units(&mut self, now: Micros, customer: Customer, keep: Units) {
        let Some(grants) = self.customer_grants.get_mut(&customer) else { return };
        let mut keep = keep;
        let mut commands = Vec::new();
        for (grant, held) in grants.held.iter_mut().filter(|(_, held)| !held.is_overdraft) {
            let available = held.available();
            let units = available.saturating_sub(keep);
            keep = keep.saturating_sub(available);
            if units > 0 && self.unconfirmed.len() + commands.len() < MAX_UNCONFIRMED {
                held.returned += units;
                held.returns += 1;
                let incarnation = self.incarnation;
                let command = Command::ReturnUnits {
                    grant: *grant,
                    incarnation,
                    part: held.returns,
                    total: held.returned,
                };
                commands.push((*grant, command));
            }
        }
        for (grant, command) in commands {
            lemoncleat_faults::point!(CREDIT_RETURN);
            self.propose(now, CommandKey::Part(grant), command);
        }
    }

    /// Settles grants that are spent, returned or expired, once no call has units reserved in them.
    fn settle(&mut self, now: Micros, customer: Customer) {
        let Some(grants) = self.customer_grants.get_mut(&customer) else { return };
        let finished =
            |held: &HeldGrant| held.reserved == 0 && (held.valid_until <= now || held.available() == 0);
        let finished: Vec<u64> =
            grants.held.iter().filter(|(_, held)| finished(held)).map(|(grant, _)| *grant).collect();
        for grant in finished {
            let Some(held) =
                self.customer_grants.get_mut(&customer).and_then(|grants| grants.held.remove(&grant))
            else {
                continue;
            };
            lemoncleat_faults::point!(CREDIT_SETTLE);
            let (node, incarnation, spent, charges) =
                (self.node, self.incarnation, held.spent, held.charges());
            if held.is_overdraft {
                if spent > 0 {
                    let number = self.next_overdraft;
                    self.next_overdraft += 1;
                    let command =
                        Command::RecordOverdraft { node, incarnation, number, customer, spent, charges };
                    self.propose(now, CommandKey::Overdraft(number), command);
                }
            } else {
                // The settlement is complete in itself; it also covers returns that were not confirmed.
                self.unconfirmed.remove(&CommandKey::Part(grant));
                let command = Command::Settle { grant, node, incarnation, spent, charges };
                self.propose(now, CommandKey::Grant(grant), command);
            }
        }
    }

    /// Creates an overdraft of this node if the settings allow one and the last one is booked.
    fn overdraw(&mut self, customer: Customer) {
        let OfflinePolicy::AllowOverdraft(units) = self.settings.offline_policy else { return };
        let last_booked = !self.unconfirmed.keys().any(|key| matches!(key, CommandKey::Overdraft(_)));
        let Some(grants) = self.customer_grants.get_mut(&customer) else { return };
        if self.ledger_away && last_booked && !grants.held.values().any(|held| held.is_overdraft) {
            // Overdrafts are numbered from the top of the range, which the ledger's numbers never reach.
            let number = u64::MAX - u64::from(customer.0);
            grants.held.insert(number, HeldGrant::new(units, Micros::MAX, true));
        }
    }

    fn propose(&mut self, now: Micros, key: CommandKey, command: Command) {
        if self.unconfirmed.len() >= MAX_UNCONFIRMED && matches!(key, CommandKey::TopUp(_)) {
            return;
        }
        let repeat_at =
            now.saturating_add(self.settings.batch_delay).saturating_add(self.settings.repeat_interval);
        self.unconfirmed.insert(key, (command.clone(), repeat_at));
        self.next_repeat = self.next_repeat.min(repeat_at);
        self.outbox.push(command);
        self.flush.get_or_insert(now.saturating_add(self.settings.batch_delay));
    }

    fn flush(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.flush = None;
        let mut commands = std::mem::take(&mut self.outbox);
        let demands = std::mem::take(&mut self.demands);
        if !demands.is_empty() {
            lemoncleat_faults::point!(CREDIT_ASK);
            let request = self.next_request;
            self.next_request += 1;
            self.requests_sent.insert(request, now);
            let old = now.saturating_sub(self.settings.validity);
            self.requests_sent.retain(|_, at| *at > old);
            commands.push(Command::RequestGrants {
                node: self.node,
                incarnation: self.incarnation,
                request,
                demands,
            });
        }
        // Commands that exceed the limits of one entry are split into several.
        let mut rest = commands.as_slice();
        while !rest.is_empty() {
            let mut take = rest.len().min(command::MAX_ENTRY_COMMANDS);
            let entry = loop {
                let (entry, _) = rest.split_at(take);
                match command::encode(entry) {
                    Some(bytes) => break Some(bytes),
                    None if take == 1 => break None,
                    None => take /= 2,
                }
            };
            out.extend(entry.map(Output::Propose));
            rest = rest.split_at(take).1;
        }
    }

    fn ledger_reachable(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.ledger_away = false;
        for grants in self.customer_grants.values_mut() {
            grants.requested_at = None;
            grants.held.values_mut().filter(|held| held.is_overdraft).for_each(|held| held.valid_until = now);
        }
        self.unconfirmed.values_mut().for_each(|(_, at)| *at = now);
        self.next_repeat = now;
        self.flush.get_or_insert(now);
        let customers: Vec<Customer> = self.customer_grants.keys().copied().collect();
        customers.into_iter().for_each(|customer| self.maintain(now, customer, out));
        self.run_timers(now, out);
    }

    fn effect(&mut self, now: Micros, effect: Effect, out: &mut Vec<Output>) {
        match effect {
            Effect::Granted { node, incarnation, request, grant, customer, units }
                if node == self.node && incarnation == self.incarnation =>
            {
                lemoncleat_faults::point!(CREDIT_TAKE);
                let valid_until = self
                    .requests_sent
                    .get(&request)
                    .map(|at| at.saturating_add(self.settings.validity).saturating_sub(self.settings.drift));
                let grants = self.customer_grants.entry(customer).or_default();
                grants.requested_at = None;
                let late =
                    valid_until.is_none_or(|valid_until| valid_until <= now) && !is_planted!(IgnoreStop);
                if late {
                    out.push(Output::Notice(Notice::LateGrant(grant)));
                }
                // A late grant is only held to be settled at once.
                grants.held.insert(grant, HeldGrant::new(units, valid_until.unwrap_or(now), false));
                self.serve_waiting(now, customer, out);
                self.maintain(now, customer, out);
            }
            Effect::Denied { node, incarnation, customer, .. }
                if node == self.node && incarnation == self.incarnation =>
            {
                if let Some(grants) = self.customer_grants.get_mut(&customer) {
                    grants.requested_at = None;
                    grants.min_unmet = if grants.min_unmet == 0 {
                        grants.requested_min
                    } else {
                        grants.min_unmet.min(grants.requested_min)
                    };
                    // Waiting calls are refused at once; the funds effect, which follows, tells whether to
                    // request again.
                    let lost: Vec<u64> = grants.waiting.keys().map(|(_, id)| *id).collect();
                    for id in lost {
                        self.drop_call(id);
                        self.refuse(id, RefusalReason::CreditLimitReached, out);
                    }
                }
            }
            Effect::Settled { grant } => {
                self.unconfirmed.remove(&CommandKey::Grant(grant));
            }
            Effect::Returned { grant, part } => {
                let confirmed =
                    |sent: &Command| matches!(sent, Command::ReturnUnits { part: own, .. } if *own <= part);
                if self
                    .unconfirmed
                    .get(&CommandKey::Part(grant))
                    .is_some_and(|(command, _)| confirmed(command))
                {
                    self.unconfirmed.remove(&CommandKey::Part(grant));
                }
            }
            Effect::OverdraftRecorded { node, incarnation, number }
                if node == self.node && incarnation == self.incarnation =>
            {
                self.unconfirmed.remove(&CommandKey::Overdraft(number));
            }
            Effect::ToppedUp { order, booked } => {
                let own = self.unconfirmed.remove(&CommandKey::TopUp(order));
                out.extend(own.map(|_| Output::Notice(Notice::ToppedUp(order, booked))));
            }
            Effect::Funds { customer, level, min_unmet } => {
                let grants = self.customer_grants.entry(customer).or_default();
                grants.level = level;
                grants.min_unmet = min_unmet;
                // If the ledger reports funds, the account is open again after an earlier removal.
                grants.closed = false;
                self.maintain(now, customer, out);
            }
            Effect::Recall { customer, .. } => {
                let Some(grants) = self.customer_grants.get(&customer) else { return };
                let keep = grants.spending_rate / 4;
                let idle = grants.waiting.is_empty() && grants.short_calls.is_empty();
                if idle {
                    self.return_units(now, customer, keep);
                    self.maintain(now, customer, out);
                }
            }
            Effect::AccountClosed { customer } => {
                let grants = self.customer_grants.entry(customer).or_default();
                grants.closed = true;
                self.maintain(now, customer, out);
            }
            Effect::Expired { grant, node } if node == self.node => {
                let known = self.unconfirmed.contains_key(&CommandKey::Grant(grant))
                    || self.customer_grants.values().any(|grants| grants.held.contains_key(&grant));
                if !known {
                    out.push(Output::Notice(Notice::OrphanGrant(grant)));
                }
            }
            _ => {}
        }
    }
}
