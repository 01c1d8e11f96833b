//! The decision module with new settings and all that it knows: calls that are pending or wait, what was
//! learned of servers, its timer.
//!
//! It is taken apart as its serialized state ([`Value`], which keeps every float to the bit) and put together
//! anew. What names a class is moved by the class's name; what the module derives from its settings is that
//! of a fresh module. A field that is not known here is refused, or a later module could lose something
//! unseen.

use std::sync::Arc;

use ciborium::Value;
use lemoncleat::{Class, Controller, Settings};

use crate::Micros;

/// Fields that stay as they are.
const STAY: [&str; 11] =
    ["servers", "past", "random", "ticking", "watched", "now", "due", "stall", "stalled", "calls", "waiting"];
/// Fields that a fresh module has as they must be.
const DERIVED: [&str; 3] = ["longest", "pressed", "cheapest"];
/// Fields that are put together here.
const MADE: [&str; 3] = ["settings", "rates", "usual"];

/// What a module is to be rebuilt with.
pub(crate) struct Change<'a> {
    /// The names of the classes that it knows, by index.
    pub from: &'a [Arc<str>],
    /// The names of the classes of the new settings, by index.
    pub to: &'a [Arc<str>],
    /// The new settings.
    pub settings: &'a Settings,
    /// Classes of calls that it has yet to hear of, by their present index.
    pub queued: &'a [usize],
}

/// A module with new settings.
pub(crate) struct Rebuilt {
    pub controller: Controller,
    /// The names of the classes that it knows: those of its settings, then those that went while calls of
    /// them are pending.
    pub names: Vec<Arc<str>>,
    /// Where each class that it knew stands now.
    pub indexes: Vec<Option<usize>>,
    /// When the last pending call of a class that went is over, where there is one.
    pub until: Option<Micros>,
}

type Fields = Vec<(Value, Value)>;

fn broken(what: &str) -> String {
    format!("the module's state is not as this node knows it: {what}")
}

fn state(controller: &Controller) -> Result<Fields, String> {
    let value = Value::serialized(controller).map_err(|error| broken(&error.to_string()))?;
    let fields = value.into_map().map_err(|_| broken("no fields"))?;
    let known = |name: &Value| {
        let name = name.as_text();
        name.is_some_and(|name| STAY.iter().chain(&DERIVED).chain(&MADE).any(|known| *known == name))
    };
    match fields.iter().find(|(name, _)| !known(name)) {
        Some((name, _)) => Err(broken(name.as_text().unwrap_or("a field without a name"))),
        None if fields.len() != STAY.len() + DERIVED.len() + MADE.len() => Err(broken("a field is missing")),
        None => Ok(fields),
    }
}

fn field<'a>(fields: &'a mut Fields, name: &str) -> Result<&'a mut Value, String> {
    let found = fields.iter_mut().find(|(key, _)| key.as_text() == Some(name));
    found.map(|(_, value)| value).ok_or_else(|| broken(name))
}

fn map<'a>(value: &'a mut Value, name: &str) -> Result<&'a mut Fields, String> {
    value.as_map_mut().ok_or_else(|| broken(name))
}

fn array<'a>(value: &'a mut Value, name: &str) -> Result<&'a mut Vec<Value>, String> {
    value.as_array_mut().ok_or_else(|| broken(name))
}

fn number<T: TryFrom<ciborium::value::Integer>>(value: &Value, name: &str) -> Result<T, String> {
    value.as_integer().and_then(|number| T::try_from(number).ok()).ok_or_else(|| broken(name))
}

/// The module with new settings. The old one stays as it is.
///
/// # Errors
///
/// When the module can't work with the settings, or its state is not as it is known here.
pub(crate) fn rebuild(old: &Controller, change: &Change<'_>) -> Result<Rebuilt, String> {
    let fresh = Controller::new(change.settings.clone(), 0).map_err(|error| error.to_string())?;
    let (mut fields, mut fresh) = (state(old)?, state(&fresh)?);
    let before: Settings =
        field(&mut fields, "settings")?.deserialized().map_err(|error| broken(&error.to_string()))?;
    // Calls that are pending, by number: the class and the end of each.
    let mut calls: Vec<(u64, usize, Micros)> = Vec::new();
    for (id, pending) in map(field(&mut fields, "calls")?, "calls")? {
        let pending = map(pending, "calls")?;
        let ends = number(field(pending, "ends")?, "ends")?;
        let class = number(field(map(field(pending, "call")?, "call")?, "class")?, "class")?;
        calls.push((number(id, "calls")?, class, ends));
    }
    // A class that went stays, behind the others, for as long as calls of it are pending.
    let mut names = change.to.to_vec();
    let mut settings = change.settings.clone();
    let mut indexes = Vec::new();
    let mut until = None;
    for (at, name) in change.from.iter().enumerate() {
        let place = change.to.iter().position(|to| to == name);
        let ends = calls.iter().filter(|(_, class, _)| *class == at).map(|(.., ends)| *ends).max();
        let class: Option<&Class> = before.classes.get(at);
        indexes.push(match (place, class) {
            (None, Some(class)) if ends.is_some() || change.queued.contains(&at) => {
                until = until.max(ends).max(Some(Micros::MIN));
                names.push(name.clone());
                settings.classes.push(class.clone());
                Some(settings.classes.len() - 1)
            }
            (place, _) => place,
        });
    }
    let class_of = |class: usize| {
        indexes.get(class).copied().flatten().ok_or_else(|| broken("a call of a class without a name"))
    };
    for (_, pending) in map(field(&mut fields, "calls")?, "calls")? {
        let class = field(map(field(map(pending, "calls")?, "call")?, "call")?, "class")?;
        *class = Value::from(class_of(number(class, "class")?)? as u64);
    }
    // Waiting calls stand in the order of their worth, as the module ranks them.
    for rank in array(field(&mut fields, "waiting")?, "waiting")? {
        let rank = array(rank, "waiting")?;
        let [worth, _, id] = rank.as_mut_slice() else { return Err(broken("waiting")) };
        let id: u64 = number(id, "waiting")?;
        let call = calls.binary_search_by_key(&id, |(call, ..)| *call).map_err(|_| broken("waiting"))?;
        let class = class_of(calls.get(call).map_or(usize::MAX, |(_, class, _)| *class))?;
        let new = settings.classes.get(class).map_or(0.0, |class| class.worth);
        *worth = Value::from((new * 1e6) as u64);
    }
    let learned = std::mem::take(array(field(&mut fields, "usual")?, "usual")?);
    let none =
        array(field(&mut fresh, "usual")?, "usual")?.first().cloned().ok_or_else(|| broken("usual"))?;
    let usual = names.iter().map(|name| {
        let at = change.from.iter().position(|from| from == name);
        at.and_then(|at| learned.get(at)).unwrap_or(&none).clone()
    });
    *field(&mut fields, "usual")? = Value::Array(usual.collect());
    // What servers do is judged from these.
    if before.balancers != settings.balancers
        || field(&mut fields, "longest")? != field(&mut fresh, "longest")?
    {
        *field(&mut fields, "rates")? = Value::Null;
    }
    for name in DERIVED {
        *field(&mut fields, name)? = field(&mut fresh, name)?.clone();
    }
    let settings = Value::serialized(&settings).map_err(|error| broken(&error.to_string()))?;
    *field(&mut fields, "settings")? = settings;
    let controller = Value::Map(fields).deserialized().map_err(|error| broken(&error.to_string()))?;
    Ok(Rebuilt { controller, names, indexes, until })
}

#[cfg(test)]
mod tests;
