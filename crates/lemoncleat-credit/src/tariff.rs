//! What calls cost, whose they are, and what spending is worth.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Micros, Units, SECOND};

/// The number of a class of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Class(pub u8);

/// The number of a customer's account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Customer(pub u32);

/// What a call of a class costs, and what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Units for the set-up, due when the call stands.
    pub set_up: Units,
    /// Units a second begun.
    pub second: Units,
    /// What a call is worth, in the measure of the routes' worth and cost.
    pub worth: f64,
    /// Seconds that a call of the class lasts on the whole.
    pub expected: u32,
}

impl Price {
    /// What so many seconds cost, without the set-up.
    pub fn seconds(&self, seconds: u32) -> Units {
        self.second.saturating_mul(Units::from(seconds))
    }

    /// What a call of so many seconds costs.
    pub fn call(&self, seconds: u32) -> Units {
        self.set_up.saturating_add(self.seconds(seconds))
    }

    fn expected_cost(&self) -> f64 {
        self.call(self.expected.max(1)) as f64
    }
}

/// How a customer is recognised.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CustomerOf {
    /// By the client's Origin-Host, in any case of letters.
    OriginHost(String),
    /// By the first digits of the calling number; the longest that fits counts.
    Prefix(String),
}

/// What is wrong with a tariff.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TariffError {
    /// A worth is not a number, infinite, or below zero.
    Worth(Class),
    /// A price is so high that an hour of it leaves the range of [`Units`].
    TooDear(Class),
    /// An origin host or prefix is empty, or a prefix holds something else than digits.
    Name(String),
    /// Two customers by the same origin host or prefix.
    Twice(String),
}

impl fmt::Display for TariffError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TariffError::Worth(class) => {
                write!(out, "class {}: its worth is no number from zero on", class.0)
            }
            TariffError::TooDear(class) => {
                write!(out, "class {}: its price is too high to be counted", class.0)
            }
            TariffError::Name(name) => write!(out, "`{name}` is no origin host and no row of digits"),
            TariffError::Twice(name) => write!(out, "`{name}` stands for two customers"),
        }
    }
}

impl std::error::Error for TariffError {}

/// Prices by class, customers by name. Checked when it is made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tariff {
    prices: BTreeMap<Class, Price>,
    hosts: BTreeMap<String, Customer>,
    prefixes: BTreeMap<String, Customer>,
    longest: usize,
    /// The most worth that a unit buys in any class.
    best: f64,
}

/// No price reaches this, so that no sum of a call's seconds overflows.
const DEAREST: Units = 1 << 40;

impl Tariff {
    /// A tariff of prices by class (a class that is not named, or costs nothing, is free) and of customers.
    ///
    /// # Errors
    ///
    /// On the first thing that is wrong, see [`TariffError`].
    pub fn new(
        prices: impl IntoIterator<Item = (Class, Price)>,
        customers: impl IntoIterator<Item = (CustomerOf, Customer)>,
    ) -> Result<Tariff, TariffError> {
        let mut tariff = Tariff::default();
        for (class, price) in prices {
            if !price.worth.is_finite() || price.worth < 0.0 {
                return Err(TariffError::Worth(class));
            }
            if price.set_up > DEAREST || price.second > DEAREST {
                return Err(TariffError::TooDear(class));
            }
            if price.set_up > 0 || price.second > 0 {
                tariff.best = tariff.best.max(price.worth / price.expected_cost());
                tariff.prices.insert(class, price);
            }
        }
        for (of, customer) in customers {
            let (name, map) = match of {
                CustomerOf::OriginHost(host) => (host.to_ascii_lowercase(), &mut tariff.hosts),
                CustomerOf::Prefix(prefix) => {
                    if !prefix.bytes().all(|byte| byte.is_ascii_digit()) {
                        return Err(TariffError::Name(prefix));
                    }
                    tariff.longest = tariff.longest.max(prefix.len());
                    (prefix, &mut tariff.prefixes)
                }
            };
            if name.is_empty() {
                return Err(TariffError::Name(name));
            }
            if map.insert(name.clone(), customer).is_some() {
                return Err(TariffError::Twice(name));
            }
        }
        Ok(tariff)
    }

    /// What a class costs; none if it is free.
    pub fn price(&self, class: Class) -> Option<Price> {
        self.prices.get(&class).copied()
    }

    /// The customer of a call: by the client's Origin-Host, or else by the longest prefix of the calling number.
    /// None: the call is not prepaid.
    pub fn customer(&self, origin_host: &str, calling: &str) -> Option<Customer> {
        if let Some(customer) = self.hosts.get(&origin_host.to_ascii_lowercase()) {
            return Some(*customer);
        }
        let digits = calling.strip_prefix('+').unwrap_or(calling);
        (1..=self.longest.min(digits.len())).rev().find_map(|n| self.prefixes.get(digits.get(..n)?)).copied()
    }

    /// What spending on a call of the class costs in worth, with `level` sixteenths left of the funds from which
    /// on they count as short.
    ///
    /// Money that runs out is money that a later call can't spend. Its price is what the best use of it would earn:
    /// the most worth a unit buys in any class, times the share of the low funds that is gone. With all there, it
    /// costs nothing; with almost none, only the calls that earn most with each unit are still worth more than
    /// they take from others. A tariff of one class is never gated before zero.
    pub fn spending(&self, class: Class, level: u8) -> f64 {
        let Some(price) = self.prices.get(&class) else { return 0.0 };
        let gone = f64::from(16 - level.min(16)) / 16.0;
        // A hair less than the best, so that the best class lives to the end.
        self.best * price.expected_cost() * gone * 0.999
    }

    /// Whether a call is worth its money: its worth less [`spending`](Tariff::spending) is above zero. A class
    /// without worth is only let through while funds are not short.
    pub fn worth_it(&self, class: Class, level: u8) -> bool {
        self.prices.get(&class).is_none_or(|price| level >= 16 || price.worth > self.spending(class, level))
    }
}

/// Seconds begun in a span: one at least, and none more at the very end of one.
pub(crate) fn begun(span: Micros) -> u32 {
    let whole = span.max(1).saturating_add(SECOND - 1) / SECOND;
    u32::try_from(whole).unwrap_or(u32::MAX)
}
