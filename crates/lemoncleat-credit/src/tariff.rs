//! The prices of calls, the mapping of calls to customers, and the cost of spending.

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

/// The price and worth of a call of a class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Units for the set-up, charged when the call is established.
    pub set_up: Units,
    /// Units per started second.
    pub per_second: Units,
    /// Worth of a call, on the scale of the routes' worth and cost.
    pub worth: f64,
    /// Mean duration of a call of the class, in seconds.
    pub expected_seconds: u32,
}

impl Price {
    /// Returns the cost of a number of seconds, without the set-up.
    pub fn seconds(&self, seconds: u32) -> Units {
        self.per_second.saturating_mul(Units::from(seconds))
    }

    /// Returns the cost of a call of this many seconds.
    pub fn call(&self, seconds: u32) -> Units {
        self.set_up.saturating_add(self.seconds(seconds))
    }

    fn expected_cost(&self) -> f64 {
        self.call(self.expected_seconds.max(1)) as f64
    }
}

/// How a customer is identified.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CustomerKey {
    /// By the client's Origin-Host, regardless of case.
    OriginHost(String),
    /// By the first digits of the calling number; the longest match applies.
    Prefix(String),
}

/// An error in a tariff.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TariffError {
    /// A worth is not finite, or is negative.
    Worth(Class),
    /// A price is above the limit that keeps sums within the range of [`Units`].
    PriceTooHigh(Class),
    /// An origin host or prefix is empty, or a prefix contains a character that is not a digit.
    Name(String),
    /// Two customers have the same origin host or prefix.
    Duplicate(String),
}

impl fmt::Display for TariffError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TariffError::Worth(class) => {
                write!(out, "class {}: worth must be a finite number not below zero", class.0)
            }
            TariffError::PriceTooHigh(class) => {
                write!(out, "class {}: price exceeds the maximum", class.0)
            }
            TariffError::Name(name) => {
                write!(out, "`{name}` is neither an origin host nor a prefix of digits")
            }
            TariffError::Duplicate(name) => write!(out, "`{name}` is assigned to two customers"),
        }
    }
}

impl std::error::Error for TariffError {}

/// Prices by class and customers by name. Validated on creation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tariff {
    prices: BTreeMap<Class, Price>,
    hosts: BTreeMap<String, Customer>,
    prefixes: BTreeMap<String, Customer>,
    longest_prefix: usize,
    /// The highest worth per unit of any class.
    best_worth_per_unit: f64,
}

/// Upper limit of prices, so that the sum of a call's seconds cannot overflow.
const MAX_PRICE: Units = 1 << 40;

impl Tariff {
    /// Creates a tariff of prices by class (a class that is not named, or costs nothing, is free) and of
    /// customers.
    ///
    /// # Errors
    ///
    /// Returns the first error found, see [`TariffError`].
    pub fn new(
        prices: impl IntoIterator<Item = (Class, Price)>,
        customers: impl IntoIterator<Item = (CustomerKey, Customer)>,
    ) -> Result<Tariff, TariffError> {
        let mut tariff = Tariff::default();
        for (class, price) in prices {
            if !price.worth.is_finite() || price.worth < 0.0 {
                return Err(TariffError::Worth(class));
            }
            if price.set_up > MAX_PRICE || price.per_second > MAX_PRICE {
                return Err(TariffError::PriceTooHigh(class));
            }
            if price.set_up > 0 || price.per_second > 0 {
                tariff.best_worth_per_unit =
                    tariff.best_worth_per_unit.max(price.worth / price.expected_cost());
                tariff.prices.insert(class, price);
            }
        }
        for (key, customer) in customers {
            let (name, map) = match key {
                CustomerKey::OriginHost(host) => (host.to_ascii_lowercase(), &mut tariff.hosts),
                CustomerKey::Prefix(prefix) => {
                    if !prefix.bytes().all(|byte| byte.is_ascii_digit()) {
                        return Err(TariffError::Name(prefix));
                    }
                    tariff.longest_prefix = tariff.longest_prefix.max(prefix.len());
                    (prefix, &mut tariff.prefixes)
                }
            };
            if name.is_empty() {
                return Err(TariffError::Name(name));
            }
            if map.insert(name.clone(), customer).is_some() {
                return Err(TariffError::Duplicate(name));
            }
        }
        Ok(tariff)
    }

    /// Returns the price of a class; `None` if it is free.
    pub fn price(&self, class: Class) -> Option<Price> {
        self.prices.get(&class).copied()
    }

    /// Returns the customer of a call: by the client's Origin-Host, or else by the longest prefix of the
    /// calling number. `None` if the call is not prepaid.
    pub fn customer(&self, origin_host: &str, calling: &str) -> Option<Customer> {
        if let Some(customer) = self.hosts.get(&origin_host.to_ascii_lowercase()) {
            return Some(*customer);
        }
        let digits = calling.strip_prefix('+').unwrap_or(calling);
        (1..=self.longest_prefix.min(digits.len()))
            .rev()
            .find_map(|n| self.prefixes.get(digits.get(..n)?))
            .copied()
    }

    /// Returns the cost, in worth, of spending units on a call of the class, with `level` sixteenths left of
    /// the low-funds threshold.
    ///
    /// Units that are spent are not available to a later call. Their price is what the best use of them would
    /// earn: the highest worth per unit of any class, times the missing share of the low-funds threshold.
    /// With no share missing the price is zero; with almost no funds left, only the calls that earn most per
    /// unit are worth more than they displace. A tariff with one class never refuses calls before the funds
    /// are used up.
    pub fn spending_price(&self, class: Class, level: u8) -> f64 {
        let Some(price) = self.prices.get(&class) else { return 0.0 };
        let missing = f64::from(16 - level.min(16)) / 16.0;
        // Slightly below the best, so that the best class is admitted until the end.
        self.best_worth_per_unit * price.expected_cost() * missing * 0.999
    }

    /// Returns whether a call is worth its cost: its worth minus [`spending_price`](Tariff::spending_price)
    /// is positive. A class without worth is only admitted while funds are not low.
    pub fn is_worth_spending(&self, class: Class, level: u8) -> bool {
        self.prices
            .get(&class)
            .is_none_or(|price| level >= 16 || price.worth > self.spending_price(class, level))
    }
}

/// Returns the number of started seconds in a span: at least one, and no further one exactly at the end of a
/// second.
pub(crate) fn started_seconds(span: Micros) -> u32 {
    let seconds = span.max(1).saturating_add(SECOND - 1) / SECOND;
    u32::try_from(seconds).unwrap_or(u32::MAX)
}
