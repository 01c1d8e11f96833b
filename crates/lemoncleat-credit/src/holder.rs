//! A node's grants and the calls that spend them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::purse::{Held, Purse, MOST_HELD};
use crate::tariff::begun;
use crate::{command, is_planted};
use crate::{Class, Command, Customer, Effect, Micros, Node, Price, Tariff, Units, Want, SECOND};

/// What holds while the ledger can't be reached, once the grants are spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Away {
    /// New calls are refused, standing ones end by what they paid for.
    Refuse,
    /// The node goes on for this many units a customer. They are booked when the ledger is back, and so is the
    /// customer's debt if there is one.
    GoOn(Units),
}

/// What holds for a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderSettings {
    /// How long a grant may be spent; as in the ledger's settings.
    pub validity: Micros,
    /// How far two clocks may drift apart in that time; as in the ledger's settings.
    pub drift: Micros,
    /// Seconds that a set-up reserves beside its fee.
    pub first: u32,
    /// Seconds that a standing call pays ahead at a time.
    pub slice: u32,
    /// How long before the paid time is over a standing call pays on.
    pub ahead: Micros,
    /// How long before that moment it is ended, if it could not pay.
    pub margin: Micros,
    /// A set-up that takes longer has lost its reservation.
    pub set_up: Micros,
    /// How long a call waits for the ledger where there was no grant.
    pub patience: Micros,
    /// Money is held for the spending of this long.
    pub horizon: Micros,
    /// Orders wait this long to go out together.
    pub join: Micros,
    /// An order without an echo is proposed again after this.
    pub repeat: Micros,
    /// While the ledger is away.
    pub away: Away,
    /// Most calls at a time.
    pub most_calls: usize,
}

impl Default for HolderSettings {
    fn default() -> Self {
        HolderSettings {
            validity: 30 * SECOND,
            drift: SECOND,
            first: 5,
            slice: 5,
            ahead: 2 * SECOND,
            margin: SECOND / 20,
            set_up: 8 * SECOND,
            patience: SECOND / 2,
            horizon: 4 * SECOND,
            join: 5_000,
            repeat: SECOND / 2,
            away: Away::Refuse,
            most_calls: 100_000,
        }
    }
}

/// What a holder is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A call is to be set up. A repeat of it (T bit) and its attempts at other servers change nothing.
    SetUp {
        /// The call, by a number that is its own in the whole fleet.
        call: u64,
        /// Whose.
        customer: Customer,
        /// Its class.
        class: Class,
    },
    /// It was answered with success.
    Stood {
        /// Which.
        call: u64,
    },
    /// It was given up or refused by the last server.
    Failed {
        /// Which.
        call: u64,
    },
    /// It is over.
    Ended {
        /// Which.
        call: u64,
    },
    /// A word of the ledger, in the order of the log.
    Effect(Effect),
    /// The operator tops up.
    TopUp {
        /// The number of the order.
        order: u64,
        /// For whom.
        customer: Customer,
        /// How much.
        units: Units,
    },
    /// The agreed log can't be reached.
    LedgerAway,
    /// It can be reached again.
    LedgerBack,
    /// The node is about to stop: what isn't needed goes back, no new call is let in.
    Leave,
    /// The moment of [`Holder::wake`] has come.
    Timeout,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// No money: DIAMETER_CREDIT_LIMIT_REACHED (4012, RFC 8506 9.1).
    CreditLimitReached,
    /// Money is short, and the call is worth less than what it would spend. The same result code.
    NotWorthIt,
    /// The customer is removed: DIAMETER_USER_UNKNOWN (5030, RFC 8506 9.2).
    Removed,
    /// The call ended before: a late repeat.
    Over,
    /// Too many calls, or the node is about to stop.
    Busy,
}

/// What the operator should hear of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A grant came for an ask that is forgotten. It goes back unspent.
    LateGrant(u64),
    /// A call stood, or was found standing, that nothing paid for; it is ended.
    Unpaid(u64),
    /// A grant of an earlier start of this node ran out. Its records say what it spent; see [`Command::WriteOff`].
    Orphan(u64),
    /// A top-up is on the books (or not: the customer is unknown or removed).
    ToppedUp(u64, bool),
}

/// What a holder wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The call goes on to its first server.
    Admit {
        /// Which.
        call: u64,
    },
    /// It is refused.
    Refuse {
        /// Which.
        call: u64,
        /// Why.
        why: Why,
    },
    /// A standing call ends now, by the second that it paid for. Once each.
    End {
        /// Which.
        call: u64,
    },
    /// An entry for the agreed log. It may be lost; it is proposed again until its effects come.
    Propose(Vec<u8>),
    /// For the operator.
    Notice(Notice),
}

/// Seconds that a call paid for from one grant.
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
    /// Told to end.
    Ending(Micros),
}

#[derive(Clone, Debug)]
struct Call {
    customer: Customer,
    price: Price,
    state: State,
    slices: VecDeque<Slice>,
    paid: u32,
    timer: Micros,
}

impl Call {
    /// When what it paid for is over.
    fn until(&self, since: Micros) -> Micros {
        since.saturating_add(Micros::from(self.paid).saturating_mul(SECOND))
    }
}

/// What an order without echo is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Grant(u64),
    Part(u64),
    TopUp(u64),
    Overdraft(u64),
}

/// A node's grants and calls.
#[derive(Clone, Debug)]
pub struct Holder {
    node: Node,
    incarnation: u64,
    settings: HolderSettings,
    tariff: Tariff,
    purses: BTreeMap<Customer, Purse>,
    calls: BTreeMap<u64, Call>,
    timers: BTreeSet<(Micros, u64)>,
    over: BTreeSet<u64>,
    over_order: VecDeque<u64>,
    /// When each ask went out: the holder's time of its grants begins there.
    asks: BTreeMap<u64, Micros>,
    next_ask: u64,
    next_overdraft: u64,
    wants: Vec<Want>,
    outbox: Vec<Command>,
    flush: Option<Micros>,
    /// Orders that had no echo yet, and when they are repeated.
    unechoed: BTreeMap<Key, (Command, Micros)>,
    next_repeat: Micros,
    /// Purses to look after, and when.
    tends: BTreeMap<Customer, Micros>,
    tends_by_time: BTreeSet<(Micros, Customer)>,
    away: bool,
    leaving: bool,
}

/// Calls that ended and are still known, so that a late repeat of one isn't taken for a new call.
const MOST_OVER: usize = 8192;
/// Top-ups and returns without echo.
const MOST_UNECHOED: usize = 65_536;

impl Holder {
    /// A node that holds nothing. `incarnation` is higher at each of its starts: what an earlier one held, this one
    /// can't prove unspent, and doesn't spend.
    pub fn new(node: Node, incarnation: u64, settings: HolderSettings, tariff: Tariff) -> Holder {
        Holder {
            node,
            incarnation,
            settings,
            tariff,
            purses: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: BTreeSet::new(),
            over: BTreeSet::new(),
            over_order: VecDeque::new(),
            asks: BTreeMap::new(),
            next_ask: 1,
            next_overdraft: 1,
            wants: Vec::new(),
            outbox: Vec::new(),
            flush: None,
            unechoed: BTreeMap::new(),
            next_repeat: Micros::MAX,
            tends: BTreeMap::new(),
            tends_by_time: BTreeSet::new(),
            away: false,
            leaving: false,
        }
    }

    /// Takes another tariff. Calls that are known keep the prices they began with.
    pub fn reload(&mut self, tariff: Tariff) {
        self.tariff = tariff;
    }

    /// What spending of a customer costs in worth, see [`Tariff::spending`]: to be subtracted like a route's cost.
    pub fn price(&self, customer: Customer, class: Class) -> f64 {
        self.tariff.spending(class, self.purses.get(&customer).map_or(16, |purse| purse.level))
    }

    /// Seconds that a call has paid for, from when it stood.
    pub fn paid(&self, call: u64) -> Option<u32> {
        self.calls.get(&call).map(|call| call.paid)
    }

    /// The grants held: number, what is spent or reserved of it, and what is not given back of it.
    pub fn books(&self) -> impl Iterator<Item = (u64, Units, Units)> + '_ {
        let held = self.purses.values().flat_map(|purse| purse.held.iter()).filter(|(_, held)| !held.own);
        held.map(|(grant, held)| (*grant, held.spent + held.reserved, held.units.saturating_sub(held.given)))
    }

    /// Calls that are waiting, being set up or standing.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// When it wants the next turn.
    pub fn wake(&self) -> Option<Micros> {
        let repeats = Some(self.next_repeat).filter(|at| !self.away && *at < Micros::MAX);
        let timer = self.timers.first().map(|(at, _)| *at);
        let flush = self.flush.filter(|_| !self.away);
        [timer, flush, repeats, self.tends_by_time.first().map(|(at, _)| *at)].into_iter().flatten().min()
    }

    /// Told what happened; says what to do.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        // What is over by now is over before anything else is weighed, also after a pause.
        self.advance(now, out);
        match input {
            Input::SetUp { call, customer, class } => self.set_up(now, call, customer, class, out),
            Input::Stood { call } => self.stood(now, call, out),
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
                self.propose(now, Key::TopUp(order), Command::TopUp { order, customer, units });
            }
            Input::LedgerAway => {
                self.away = true;
                let customers: Vec<Customer> = self.purses.keys().copied().collect();
                customers.into_iter().for_each(|customer| self.tend(now, customer, out));
            }
            Input::LedgerBack => self.back(now, out),
            Input::Leave => {
                self.leaving = true;
                let customers: Vec<Customer> = self.purses.keys().copied().collect();
                customers.into_iter().for_each(|customer| self.tend(now, customer, out));
            }
            Input::Timeout => {}
        }
        if !self.away && self.flush.is_some_and(|at| at <= now) {
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
        let full = self.calls.len() >= self.settings.most_calls;
        let purse = self.purses.entry(customer).or_default();
        let cost = price.call(self.settings.first);
        let why = if self.over.contains(&id) {
            Some(Why::Over)
        } else if purse.closed {
            Some(Why::Removed)
        } else if full || self.leaving {
            Some(Why::Busy)
        } else if !self.tariff.worth_it(class, purse.level) {
            Some(Why::NotWorthIt)
        } else {
            None
        };
        if let Some(why) = why {
            self.refuse(id, why, out);
            return;
        }
        purse.usual = cost;
        let until = now.saturating_add(self.settings.patience);
        let call =
            Call { customer, price, state: State::Waiting, slices: VecDeque::new(), paid: 0, timer: until };
        self.calls.insert(id, call);
        self.timers.insert((until, id));
        if !self.begin(now, id, out) {
            self.overdraw(customer);
            if !self.begin(now, id, out) {
                let purse = self.purses.entry(customer).or_default();
                if self.away || (purse.dry > 0 && cost >= purse.dry) {
                    self.drop_call(id);
                    self.refuse(id, Why::CreditLimitReached, out);
                } else {
                    purse.waiting.insert((until, id), cost);
                }
            }
        }
        self.tend(now, customer, out);
    }

    fn refuse(&mut self, call: u64, why: Why, out: &mut Vec<Output>) {
        lemoncleat_faults::point!(CREDIT_REFUSE);
        out.push(Output::Refuse { call, why });
    }

    /// Reserves a call's set-up and first seconds, if a grant has them that lasts until they are over.
    fn begin(&mut self, now: Micros, id: u64, out: &mut Vec<Output>) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let Some(purse) = self.purses.get_mut(&call.customer) else { return false };
        let first = self.settings.first;
        let limit = now.saturating_add(self.settings.set_up);
        let until = limit.saturating_add(Micros::from(first) * SECOND);
        lemoncleat_faults::point!(CREDIT_RESERVE);
        let Some(grant) = purse.reserve(call.price.call(first), until) else { return false };
        call.slices.push_back(Slice { grant, fee: call.price.set_up, from: 0, seconds: first });
        call.paid = first;
        call.state = State::SettingUp;
        purse.waiting.remove(&(call.timer, id));
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

    fn stood(&mut self, now: Micros, id: u64, out: &mut Vec<Output>) {
        match self.calls.get_mut(&id) {
            Some(call) if call.state == State::SettingUp => {
                call.state = State::Standing(now);
                self.pay(now, id, out);
            }
            Some(call) if matches!(call.state, State::Standing(_) | State::Ending(_)) => {}
            // Its reservation is gone with its time, or it never had one.
            _ => {
                if self.over.contains(&id) {
                    out.push(Output::Notice(Notice::Unpaid(id)));
                    out.push(Output::End { call: id });
                }
            }
        }
    }

    /// A standing call: charges what is over, pays on, or ends.
    fn pay(&mut self, now: Micros, id: u64, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (State::Standing(since) | State::Ending(since)) = call.state else { return };
        let Some(purse) = self.purses.get_mut(&call.customer) else { return };
        let customer = call.customer;
        while let Some(slice) = call.slices.front().copied() {
            let end = since.saturating_add(Micros::from(slice.from + slice.seconds) * SECOND);
            if end > now {
                break;
            }
            lemoncleat_faults::point!(CREDIT_CHARGE);
            let whole = slice.fee + call.price.seconds(slice.seconds);
            if let Some(held) = purse.held.get_mut(&slice.grant) {
                held.charge(id, whole, whole);
            }
            call.slices.pop_front();
        }
        let mut until = call.until(since);
        purse.starving.remove(&(until, id));
        let goes_on = matches!(call.state, State::Standing(_)) && now < until;
        if goes_on && until.saturating_sub(self.settings.ahead) <= now && !purse.closed {
            let whole = until.saturating_add(Micros::from(self.settings.slice) * SECOND);
            // Where not all of it is to be had, a second at least.
            let paid = [(whole, self.settings.slice), (until.saturating_add(SECOND), 1)]
                .into_iter()
                .find_map(|(until, seconds)| {
                    let each = call.price.second.max(1);
                    let can = Units::from(seconds).min(purse.most(until) / each);
                    let seconds =
                        u32::try_from(can).ok().filter(|seconds| *seconds > 0 || call.price.second == 0)?;
                    lemoncleat_faults::point!(CREDIT_RESERVE);
                    Some((purse.reserve(call.price.seconds(seconds.max(1)), until)?, seconds.max(1)))
                });
            match paid {
                Some((grant, seconds)) => {
                    call.slices.push_back(Slice { grant, fee: 0, from: call.paid, seconds });
                    call.paid = call.paid.saturating_add(seconds);
                    until = call.until(since);
                }
                None => {
                    purse.starving.insert((until, id));
                }
            }
        }
        let end = until.saturating_sub(self.settings.margin);
        if end <= now && matches!(call.state, State::Standing(_)) && !is_planted!(NeverEnd) {
            purse.starving.remove(&(until, id));
            call.state = State::Ending(since);
            out.push(Output::End { call: id });
        }
        let slice =
            call.slices.front().map(|s| since.saturating_add(Micros::from(s.from + s.seconds) * SECOND));
        let moments = [slice, Some(until.saturating_sub(self.settings.ahead)), Some(end)];
        let next = moments.into_iter().flatten().filter(|at| *at > now).min().unwrap_or(Micros::MAX);
        self.timer(id, next);
        self.plan(customer, Some(now));
    }

    /// A call is over: what it used is charged, the rest is free again.
    fn close(&mut self, now: Micros, id: u64, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(&id).cloned() else { return };
        let used = match call.state {
            State::Standing(since) | State::Ending(since) => begun(now.saturating_sub(since)).min(call.paid),
            State::Waiting | State::SettingUp => 0,
        };
        for slice in &call.slices {
            lemoncleat_faults::point!(CREDIT_CHARGE);
            let whole = slice.fee + call.price.seconds(slice.seconds);
            let seconds = used.saturating_sub(slice.from).min(slice.seconds);
            let spent = if used == 0 { 0 } else { slice.fee + call.price.seconds(seconds) };
            let spent = if is_planted!(KeepRest) { whole } else { spent };
            let held = self.purses.get_mut(&call.customer).and_then(|purse| purse.held.get_mut(&slice.grant));
            if let Some(held) = held {
                held.charge(id, whole, spent);
            }
        }
        self.drop_call(id);
        self.over.insert(id);
        self.over_order.push_back(id);
        if self.over_order.len() > MOST_OVER {
            if let Some(old) = self.over_order.pop_front() {
                self.over.remove(&old);
            }
        }
        self.serve(now, call.customer, out);
        self.tend(now, call.customer, out);
    }

    fn drop_call(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.timers.remove(&(call.timer, id));
        if let Some(purse) = self.purses.get_mut(&call.customer) {
            purse.waiting.remove(&(call.timer, id));
            if let State::Standing(since) = call.state {
                purse.starving.remove(&(call.until(since), id));
            }
        }
    }

    /// Timers up to now, in order.
    fn advance(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((at, id)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            match self.calls.get(&id).filter(|call| call.timer == at).map(|call| call.state) {
                Some(State::Waiting) => {
                    let customer = self.calls.get(&id).map(|call| call.customer);
                    self.drop_call(id);
                    self.refuse(id, Why::CreditLimitReached, out);
                    if let Some(customer) = customer {
                        self.plan(customer, Some(now));
                    }
                }
                Some(State::SettingUp) => self.close(now, id, out),
                Some(_) => self.pay(now, id, out),
                None => {
                    self.timers.remove(&(at, id));
                }
            }
        }
        let due: Vec<Customer> =
            self.tends.iter().filter(|(_, at)| **at <= now).map(|(who, _)| *who).collect();
        due.into_iter().for_each(|customer| self.tend(now, customer, out));
        if !self.away && self.next_repeat <= now {
            let mut again = Vec::new();
            for (order, at) in self.unechoed.values_mut().filter(|(_, at)| *at <= now) {
                *at = now.saturating_add(self.settings.repeat);
                again.push(order.clone());
            }
            self.next_repeat = self.unechoed.values().map(|(_, at)| *at).min().unwrap_or(Micros::MAX);
            if !again.is_empty() {
                self.outbox.extend(again);
                self.flush.get_or_insert(now);
            }
        }
    }

    /// Gives money that is there to those who wait: standing calls first, those that end first before others.
    fn serve(&mut self, now: Micros, customer: Customer, out: &mut Vec<Output>) {
        let Some(purse) = self.purses.get(&customer) else { return };
        if purse.waiting.is_empty() && purse.starving.is_empty() {
            return;
        }
        let starving: Vec<u64> = purse.starving.iter().map(|(_, id)| *id).collect();
        let waiting: Vec<u64> = purse.waiting.keys().map(|(_, id)| *id).collect();
        starving.into_iter().for_each(|id| self.pay(now, id, out));
        for id in waiting {
            if !self.begin(now, id, out) {
                break;
            }
        }
    }

    /// When a purse is looked after next.
    fn plan(&mut self, customer: Customer, at: Option<Micros>) {
        let before = match at {
            Some(at) => {
                self.tends_by_time.insert((at, customer));
                self.tends.insert(customer, at)
            }
            None => self.tends.remove(&customer),
        };
        if let Some(before) = before.filter(|before| at != Some(*before)) {
            self.tends_by_time.remove(&(before, customer));
        }
    }

    /// Looks after a purse: settles what is over, gives back what isn't needed, asks for what will be.
    fn tend(&mut self, now: Micros, customer: Customer, out: &mut Vec<Output>) {
        let settings = self.settings;
        self.plan(customer, None);
        let Some(purse) = self.purses.get_mut(&customer) else { return };
        let rolls = purse.roll(now);
        let idle = purse.waiting.is_empty() && purse.starving.is_empty();
        let gone = purse.closed || self.leaving;
        if gone || (purse.dry > 0 && idle) {
            self.give_back(now, customer, 0);
        }
        self.settle(now, customer);
        let Some(purse) = self.purses.get_mut(&customer) else { return };
        if (purse.closed || purse.dry > 0) && !purse.waiting.is_empty() {
            // For those that can't be served now, at once; they'd only wait in vain.
            let lost: Vec<u64> = (purse.waiting.iter())
                .filter(|(_, cost)| purse.closed || **cost >= purse.dry)
                .map(|((_, id), _)| *id)
                .collect();
            let why = if purse.closed { Why::Removed } else { Why::CreditLimitReached };
            for id in lost {
                self.drop_call(id);
                self.refuse(id, why, out);
            }
        }
        let Some(purse) = self.purses.get_mut(&customer) else { return };
        if purse.asked.is_some_and(|at| now >= at.saturating_add(settings.repeat)) {
            purse.asked = None;
        }
        let stands = Micros::from(settings.first) * SECOND + settings.set_up;
        let room = purse.room(now.saturating_add(stands).saturating_add(settings.horizon / 2));
        let pace = purse.rate.saturating_mul(Units::try_from(settings.horizon / SECOND).unwrap_or(1).max(1));
        let calls = &self.calls;
        let second = |id: &u64| calls.get(id).map_or(1, |call| call.price.second.max(1));
        let hungry: Units =
            purse.starving.iter().map(|(_, id)| second(id) * Units::from(settings.slice)).sum();
        let waiting = purse.waiting.values().fold(hungry, |sum, cost| sum.saturating_add(*cost));
        let needs = waiting > 0 || (pace > 0 && room < (pace / 2).max(purse.usual));
        let least = match (purse.starving.first(), purse.waiting.first_key_value()) {
            (Some((_, id)), _) => second(id),
            (None, Some((_, cost))) => *cost,
            _ => purse.usual,
        };
        let quiet = gone || self.away || purse.asked.is_some() || purse.held.len() >= MOST_HELD;
        if needs && !quiet && (purse.dry == 0 || least < purse.dry) {
            let units = waiting.saturating_add(pace.max(purse.usual).saturating_sub(room)).max(least);
            // Short of money, only what is needed now.
            let units = if purse.dry > 0 { waiting.max(least) } else { units };
            purse.asked = Some(now);
            purse.least = least;
            self.wants.push(Want { customer, units, least });
            self.flush.get_or_insert(now.saturating_add(settings.join));
        }
        let stop = purse.held.values().map(|held| held.stop).filter(|at| *at > now).min();
        let asked = purse.asked.map(|at| at.saturating_add(settings.repeat));
        let next = [rolls, stop, asked].into_iter().flatten().min().map(|at| at.max(now + 1));
        self.plan(customer, next);
    }

    /// Gives back what is in hand above `keep`.
    fn give_back(&mut self, now: Micros, customer: Customer, keep: Units) {
        let Some(purse) = self.purses.get_mut(&customer) else { return };
        let mut keep = keep;
        let mut orders = Vec::new();
        for (grant, held) in purse.held.iter_mut().filter(|(_, held)| !held.own) {
            let room = held.room();
            let units = room.saturating_sub(keep);
            keep = keep.saturating_sub(room);
            if units > 0 && self.unechoed.len() + orders.len() < MOST_UNECHOED {
                held.given += units;
                held.part += 1;
                let incarnation = self.incarnation;
                let order =
                    Command::GiveBack { grant: *grant, incarnation, part: held.part, total: held.given };
                orders.push((*grant, order));
            }
        }
        for (grant, order) in orders {
            lemoncleat_faults::point!(CREDIT_RETURN);
            self.propose(now, Key::Part(grant), order);
        }
    }

    /// Settles grants that are spent, given back or over, once no call has money reserved in them.
    fn settle(&mut self, now: Micros, customer: Customer) {
        let Some(purse) = self.purses.get_mut(&customer) else { return };
        let over = |held: &Held| held.reserved == 0 && (held.stop <= now || held.room() == 0);
        let over: Vec<u64> =
            purse.held.iter().filter(|(_, held)| over(held)).map(|(grant, _)| *grant).collect();
        for grant in over {
            let Some(held) = self.purses.get_mut(&customer).and_then(|purse| purse.held.remove(&grant))
            else {
                continue;
            };
            lemoncleat_faults::point!(CREDIT_SETTLE);
            let (node, incarnation, spent, charges) =
                (self.node, self.incarnation, held.spent, held.charges());
            if held.own {
                if spent > 0 {
                    let number = self.next_overdraft;
                    self.next_overdraft += 1;
                    let order = Command::Overdrawn { node, incarnation, number, customer, spent, charges };
                    self.propose(now, Key::Overdraft(number), order);
                }
            } else {
                // The settlement says it all; what was given back and not heard comes back with it.
                self.unechoed.remove(&Key::Part(grant));
                let order = Command::Settle { grant, node, incarnation, spent, charges };
                self.propose(now, Key::Grant(grant), order);
            }
        }
    }

    /// An overdraft of the node's own, where settings allow one and the last is booked.
    fn overdraw(&mut self, customer: Customer) {
        let Away::GoOn(units) = self.settings.away else { return };
        let booked = !self.unechoed.keys().any(|key| matches!(key, Key::Overdraft(_)));
        let Some(purse) = self.purses.get_mut(&customer) else { return };
        if self.away && booked && !purse.held.values().any(|held| held.own) {
            // Numbers of its own, from the top; the ledger's never come there.
            let number = u64::MAX - u64::from(customer.0);
            purse.held.insert(number, Held::new(units, Micros::MAX, true));
        }
    }

    fn propose(&mut self, now: Micros, key: Key, order: Command) {
        if self.unechoed.len() >= MOST_UNECHOED && matches!(key, Key::TopUp(_)) {
            return;
        }
        let again = now.saturating_add(self.settings.join).saturating_add(self.settings.repeat);
        self.unechoed.insert(key, (order.clone(), again));
        self.next_repeat = self.next_repeat.min(again);
        self.outbox.push(order);
        self.flush.get_or_insert(now.saturating_add(self.settings.join));
    }

    fn flush(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.flush = None;
        let mut orders = std::mem::take(&mut self.outbox);
        let wants = std::mem::take(&mut self.wants);
        if !wants.is_empty() {
            lemoncleat_faults::point!(CREDIT_ASK);
            let ask = self.next_ask;
            self.next_ask += 1;
            self.asks.insert(ask, now);
            let old = now.saturating_sub(self.settings.validity);
            self.asks.retain(|_, at| *at > old);
            orders.push(Command::Ask { node: self.node, incarnation: self.incarnation, ask, wants });
        }
        // What goes beyond the limits of an entry goes in more of them.
        let mut rest = orders.as_slice();
        while !rest.is_empty() {
            let mut take = rest.len().min(command::MOST_COMMANDS);
            let entry = loop {
                let (entry, _) = rest.split_at(take);
                match command::write(entry) {
                    Some(bytes) => break Some(bytes),
                    None if take == 1 => break None,
                    None => take /= 2,
                }
            };
            out.extend(entry.map(Output::Propose));
            rest = rest.split_at(take).1;
        }
    }

    fn back(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.away = false;
        for purse in self.purses.values_mut() {
            purse.asked = None;
            purse.held.values_mut().filter(|held| held.own).for_each(|held| held.stop = now);
        }
        self.unechoed.values_mut().for_each(|(_, at)| *at = now);
        self.next_repeat = now;
        self.flush.get_or_insert(now);
        let customers: Vec<Customer> = self.purses.keys().copied().collect();
        customers.into_iter().for_each(|customer| self.tend(now, customer, out));
        self.advance(now, out);
    }

    fn effect(&mut self, now: Micros, effect: Effect, out: &mut Vec<Output>) {
        match effect {
            Effect::Granted { node, incarnation, ask, grant, customer, units }
                if node == self.node && incarnation == self.incarnation =>
            {
                lemoncleat_faults::point!(CREDIT_TAKE);
                let stop = self
                    .asks
                    .get(&ask)
                    .map(|at| at.saturating_add(self.settings.validity).saturating_sub(self.settings.drift));
                let purse = self.purses.entry(customer).or_default();
                purse.asked = None;
                let late = stop.is_none_or(|stop| stop <= now) && !is_planted!(IgnoreStop);
                if late {
                    out.push(Output::Notice(Notice::LateGrant(grant)));
                }
                // A late one is there to be settled at once.
                purse.held.insert(grant, Held::new(units, stop.unwrap_or(now), false));
                self.serve(now, customer, out);
                self.tend(now, customer, out);
            }
            Effect::Denied { node, incarnation, customer, .. }
                if node == self.node && incarnation == self.incarnation =>
            {
                if let Some(purse) = self.purses.get_mut(&customer) {
                    purse.asked = None;
                    purse.dry = if purse.dry == 0 { purse.least } else { purse.dry.min(purse.least) };
                    // Whoever waits hears at once; the funds' own word, which follows, says whether to ask again.
                    let lost: Vec<u64> = purse.waiting.keys().map(|(_, id)| *id).collect();
                    for id in lost {
                        self.drop_call(id);
                        self.refuse(id, Why::CreditLimitReached, out);
                    }
                }
            }
            Effect::Settled { grant } => {
                self.unechoed.remove(&Key::Grant(grant));
            }
            Effect::Returned { grant, part } => {
                let heard =
                    |order: &Command| matches!(order, Command::GiveBack { part: own, .. } if *own <= part);
                if self.unechoed.get(&Key::Part(grant)).is_some_and(|(order, _)| heard(order)) {
                    self.unechoed.remove(&Key::Part(grant));
                }
            }
            Effect::Booked { node, incarnation, number }
                if node == self.node && incarnation == self.incarnation =>
            {
                self.unechoed.remove(&Key::Overdraft(number));
            }
            Effect::ToppedUp { order, good } => {
                let own = self.unechoed.remove(&Key::TopUp(order));
                out.extend(own.map(|_| Output::Notice(Notice::ToppedUp(order, good))));
            }
            Effect::Funds { customer, level, dry } => {
                let purse = self.purses.entry(customer).or_default();
                purse.level = level;
                purse.dry = dry;
                // With a word of the ledger that it is open, a customer that was removed is back.
                purse.closed = false;
                self.tend(now, customer, out);
            }
            Effect::CallBack { customer, .. } => {
                let Some(purse) = self.purses.get(&customer) else { return };
                let keep = purse.rate / 4;
                let idle = purse.waiting.is_empty() && purse.starving.is_empty();
                if idle {
                    self.give_back(now, customer, keep);
                    self.tend(now, customer, out);
                }
            }
            Effect::Closed { customer } => {
                let purse = self.purses.entry(customer).or_default();
                purse.closed = true;
                self.tend(now, customer, out);
            }
            Effect::Lapsed { grant, node } if node == self.node => {
                let known = self.unechoed.contains_key(&Key::Grant(grant))
                    || self.purses.values().any(|purse| purse.held.contains_key(&grant));
                if !known {
                    out.push(Output::Notice(Notice::Orphan(grant)));
                }
            }
            _ => {}
        }
    }
}
