//! Rebuilds the decision module with new settings while keeping its state: calls that are pending or waiting,
//! what it has learned about servers, and its timer.
//!
//! The module is serialized to a [`Value`], which preserves every float bit for bit, modified and
//! deserialized. References to a class are remapped by the class's name; fields that the module derives from
//! its settings are taken from a newly created module. An unknown field is an error, because a later version
//! of the module could otherwise lose state silently.

use std::sync::Arc;

use ciborium::Value;
use lemoncleat::{Class, Controller, Settings};

use crate::Micros;

/// Fields that are kept unchanged.
const RETAINED_FIELDS: [&str; 12] = [
    "servers",
    "past_rates",
    "random",
    "timer_set",
    "subscribed",
    "now",
    "timer_due",
    "stall",
    "longest_stall",
    "calls",
    "departed_calls",
    "waiting",
];
/// Fields whose values are taken from a newly created module.
const DERIVED_FIELDS: [&str; 3] = ["longest_call_length", "pressed_wait", "lowest_worth"];
/// Fields that are computed here from old and new state.
const COMPUTED_FIELDS: [&str; 3] = ["settings", "rates", "typical_patience"];

/// The input of a rebuild.
pub(crate) struct SettingsChange<'a> {
    /// The names of the module's current classes, by index.
    pub from: &'a [Arc<str>],
    /// The names of the classes of the new settings, by index.
    pub to: &'a [Arc<str>],
    /// The new settings.
    pub settings: &'a Settings,
    /// Classes of queued calls that the module has not received yet, by current index.
    pub queued: &'a [usize],
}

/// The result of a rebuild.
pub(crate) struct Rebuilt {
    pub controller: Controller,
    /// The names of the module's classes: those of its settings, then removed classes that still have pending
    /// calls.
    pub names: Vec<Arc<str>>,
    /// The new index of each previous class.
    pub new_indexes: Vec<Option<usize>>,
    /// When the last pending call of a removed class ends, if there is one.
    pub pending_until: Option<Micros>,
}

type Fields = Vec<(Value, Value)>;

fn unexpected_state(what: &str) -> String {
    format!("unexpected state of the decision module: {what}")
}

fn serialized_fields(controller: &Controller) -> Result<Fields, String> {
    let value = Value::serialized(controller).map_err(|error| unexpected_state(&error.to_string()))?;
    let fields = value.into_map().map_err(|_| unexpected_state("not a map of fields"))?;
    let known = |name: &Value| {
        let name = name.as_text();
        name.is_some_and(|name| {
            RETAINED_FIELDS.iter().chain(&DERIVED_FIELDS).chain(&COMPUTED_FIELDS).any(|known| *known == name)
        })
    };
    match fields.iter().find(|(name, _)| !known(name)) {
        Some((name, _)) => Err(unexpected_state(name.as_text().unwrap_or("a field without a name"))),
        None if fields.len() != RETAINED_FIELDS.len() + DERIVED_FIELDS.len() + COMPUTED_FIELDS.len() => {
            Err(unexpected_state("a field is missing"))
        }
        None => Ok(fields),
    }
}

fn field<'a>(fields: &'a mut Fields, name: &str) -> Result<&'a mut Value, String> {
    let found = fields.iter_mut().find(|(key, _)| key.as_text() == Some(name));
    found.map(|(_, value)| value).ok_or_else(|| unexpected_state(name))
}

fn map_entries<'a>(value: &'a mut Value, name: &str) -> Result<&'a mut Fields, String> {
    value.as_map_mut().ok_or_else(|| unexpected_state(name))
}

fn array_items<'a>(value: &'a mut Value, name: &str) -> Result<&'a mut Vec<Value>, String> {
    value.as_array_mut().ok_or_else(|| unexpected_state(name))
}

fn integer<T: TryFrom<ciborium::value::Integer>>(value: &Value, name: &str) -> Result<T, String> {
    value.as_integer().and_then(|number| T::try_from(number).ok()).ok_or_else(|| unexpected_state(name))
}

/// Returns the module with new settings. The old one is left unchanged.
///
/// # Errors
///
/// If the module rejects the settings, or its state has an unexpected form.
pub(crate) fn rebuild(old: &Controller, change: &SettingsChange<'_>) -> Result<Rebuilt, String> {
    let fresh = Controller::new(change.settings.clone(), 0).map_err(|error| error.to_string())?;
    let (mut fields, mut fresh_fields) = (serialized_fields(old)?, serialized_fields(&fresh)?);
    let before: Settings = field(&mut fields, "settings")?
        .deserialized()
        .map_err(|error| unexpected_state(&error.to_string()))?;
    // The pending calls: number, class and end of each.
    let mut calls: Vec<(u64, usize, Micros)> = Vec::new();
    for (id, pending) in map_entries(field(&mut fields, "calls")?, "calls")? {
        let pending = map_entries(pending, "calls")?;
        let ends_at = integer(field(pending, "patience_ends")?, "patience_ends")?;
        let class = integer(field(map_entries(field(pending, "call")?, "call")?, "class")?, "class")?;
        calls.push((integer(id, "calls")?, class, ends_at));
    }
    // A removed class stays, behind the others, for as long as it has pending calls.
    let mut names = change.to.to_vec();
    let mut settings = change.settings.clone();
    let mut new_indexes = Vec::new();
    let mut pending_until = None;
    for (index, name) in change.from.iter().enumerate() {
        let place = change.to.iter().position(|to| to == name);
        let ends_at =
            calls.iter().filter(|(_, class, _)| *class == index).map(|(.., ends_at)| *ends_at).max();
        let class: Option<&Class> = before.classes.get(index);
        new_indexes.push(match (place, class) {
            (None, Some(class)) if ends_at.is_some() || change.queued.contains(&index) => {
                pending_until = pending_until.max(ends_at).max(Some(Micros::MIN));
                names.push(name.clone());
                settings.classes.push(class.clone());
                Some(settings.classes.len() - 1)
            }
            (place, _) => place,
        });
    }
    let class_of = |class: usize| {
        new_indexes
            .get(class)
            .copied()
            .flatten()
            .ok_or_else(|| unexpected_state("a call of a class without a name"))
    };
    for (_, pending) in map_entries(field(&mut fields, "calls")?, "calls")? {
        let class = field(map_entries(field(map_entries(pending, "calls")?, "call")?, "call")?, "class")?;
        *class = Value::from(class_of(integer(class, "class")?)? as u64);
    }
    // Waiting calls are ordered by their worth, as the module ranks them.
    for rank in array_items(field(&mut fields, "waiting")?, "waiting")? {
        let rank = array_items(rank, "waiting")?;
        let [worth, _, id] = rank.as_mut_slice() else { return Err(unexpected_state("waiting")) };
        let id: u64 = integer(id, "waiting")?;
        let call =
            calls.binary_search_by_key(&id, |(call, ..)| *call).map_err(|_| unexpected_state("waiting"))?;
        let class = class_of(calls.get(call).map_or(usize::MAX, |(_, class, _)| *class))?;
        let new = settings.classes.get(class).map_or(0.0, |class| class.worth);
        *worth = Value::from((new * 1e6) as u64);
    }
    let learned = std::mem::take(array_items(field(&mut fields, "typical_patience")?, "typical_patience")?);
    let initial = array_items(field(&mut fresh_fields, "typical_patience")?, "typical_patience")?
        .first()
        .cloned()
        .ok_or_else(|| unexpected_state("typical_patience"))?;
    let usual = names.iter().map(|name| {
        let index = change.from.iter().position(|from| from == name);
        index.and_then(|index| learned.get(index)).unwrap_or(&initial).clone()
    });
    *field(&mut fields, "typical_patience")? = Value::Array(usual.collect());
    // The rates used to judge servers depend on these settings.
    if before.balancers != settings.balancers
        || field(&mut fields, "longest_call_length")? != field(&mut fresh_fields, "longest_call_length")?
    {
        *field(&mut fields, "rates")? = Value::Null;
    }
    for name in DERIVED_FIELDS {
        *field(&mut fields, name)? = field(&mut fresh_fields, name)?.clone();
    }
    let settings = Value::serialized(&settings).map_err(|error| unexpected_state(&error.to_string()))?;
    *field(&mut fields, "settings")? = settings;
    let controller =
        Value::Map(fields).deserialized().map_err(|error| unexpected_state(&error.to_string()))?;
    Ok(Rebuilt { controller, names, new_indexes, pending_until })
}

#[cfg(test)]
mod tests;
