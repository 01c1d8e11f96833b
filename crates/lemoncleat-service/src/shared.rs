//! The configuration text that a fleet agrees on: the settings that are the same on all of its nodes.
//! `docs/operate/configuration.md` describes it.

use lemoncleat_settings::{from_str, Error, Size, Span};
use serde::Deserialize;

use crate::config::{invalid, ClassFile, File, PrefixFile, ServerFile};
use crate::fleet_settings::MemberFile;

/// Maximum length of a text in bytes.
pub const LONGEST_TEXT: usize = 256 * 1024;

/// The fields of an agreed configuration text. Fields that are not given keep the value of each node's own
/// file.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct SharedFile {
    clients: Option<Vec<String>>,
    servers: Option<Vec<ServerFile>>,
    classes: Option<Vec<ClassFile>>,
    plan: Option<Vec<PrefixFile>>,
    nodes: Option<u32>,
    attempts: Option<u32>,
    release: Option<Span>,
    repeat: Option<Span>,
    tells_wait: Option<bool>,
    may_cancel: Option<bool>,
    come_back_after: Option<Span>,
    cold: ColdShared,
    limits: LimitsShared,
    members: Option<Vec<MemberFile>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
struct ColdShared {
    from: Option<f64>,
    span: Option<Span>,
    multiple: Option<f64>,
    r#for: Option<Span>,
}

/// All limits except `duplicates`, which can't change without a restart.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
struct LimitsShared {
    message: Option<Size>,
    connections: Option<usize>,
    calls: Option<usize>,
    queue: Option<Size>,
}

/// Parses an agreed configuration text by itself.
///
/// # Errors
///
/// The first error: its position, its cause and what was expected. Use
/// [`read_config_with`](crate::read_config_with) to check a text together with a node's own file.
pub fn shared(text: &str) -> Result<SharedFile, Error> {
    if text.len() > LONGEST_TEXT {
        return invalid("", format!("a text of {} bytes, expected {LONGEST_TEXT} at the most", text.len()));
    }
    from_str(text)
}

/// Replaces a value and records its field if the new value differs.
fn replace<T: PartialEq>(to: &mut T, value: Option<T>, field: &'static str, differs: &mut Vec<&'static str>) {
    let Some(value) = value else { return };
    if *to != value {
        *to = value;
        if differs.last() != Some(&field) {
            differs.push(field);
        }
    }
}

impl SharedFile {
    /// Replaces the values of the file with those of the text; returns the fields that differ.
    pub(crate) fn apply_to(self, file: &mut File) -> Result<Vec<&'static str>, Error> {
        let mut differs = Vec::new();
        let changed = &mut differs;
        replace(&mut file.clients, self.clients, "clients", changed);
        replace(&mut file.servers, self.servers, "servers", changed);
        replace(&mut file.classes, self.classes, "classes", changed);
        replace(&mut file.plan, self.plan, "plan", changed);
        replace(&mut file.nodes, self.nodes, "nodes", changed);
        replace(&mut file.attempts, self.attempts, "attempts", changed);
        replace(&mut file.release, self.release, "release", changed);
        replace(&mut file.repeat, self.repeat, "repeat", changed);
        replace(&mut file.tells_wait, self.tells_wait, "tells-wait", changed);
        replace(&mut file.may_cancel, self.may_cancel, "may-cancel", changed);
        replace(&mut file.come_back_after, self.come_back_after.map(Some), "come-back-after", changed);
        replace(&mut file.cold.from, self.cold.from, "cold", changed);
        replace(&mut file.cold.span, self.cold.span, "cold", changed);
        replace(&mut file.cold.multiple, self.cold.multiple, "cold", changed);
        replace(&mut file.cold.r#for, self.cold.r#for, "cold", changed);
        replace(&mut file.limits.message, self.limits.message, "limits", changed);
        replace(&mut file.limits.connections, self.limits.connections, "limits", changed);
        replace(&mut file.limits.calls, self.limits.calls, "limits", changed);
        replace(&mut file.limits.queue, self.limits.queue, "limits", changed);
        match (&mut file.fleet, self.members) {
            (Some(fleet), members) => fleet.replace_members(&file.host, members, changed)?,
            (None, Some(_)) => return invalid("members", "this node is in no fleet"),
            (None, None) => {}
        }
        Ok(differs)
    }
}

/// Adds to an error without a position that of its field in the text, if the field is there. Errors of the
/// consistency checks have no position of their own.
pub(crate) fn with_place(text: &str, mut error: Error) -> Error {
    if let Some(path) = error.path.strip_prefix("fleet.members") {
        error.path = format!("members{path}");
    }
    // A node's number is set in its own file; the conflicting field of the agreed text is the number of
    // nodes.
    let path = if error.path == "number" { "nodes" } else { &error.path };
    error.place = error.place.or_else(|| find_place(text, path));
    error
}

/// Returns the position of a field such as `plan[2].class`, or of its closest enclosing form.
fn find_place(text: &str, path: &str) -> Option<(usize, usize)> {
    let mut forms = Vec::new();
    let mut parser = lexpr::Parser::from_str(text);
    while let Ok(Some(datum)) = parser.next_datum() {
        forms.push(datum);
    }
    let mut items: Vec<lexpr::datum::Ref<'_>> = forms.iter().map(lexpr::Datum::as_ref).collect();
    let mut found = None;
    for step in path.split('.') {
        let (name, index) = match step.split_once('[') {
            Some((name, index)) => (name, index.trim_end_matches(']').parse::<usize>().ok()),
            None => (step, None),
        };
        let named = |form: &&lexpr::datum::Ref<'_>| {
            form.list_iter()
                .and_then(|mut items| items.next())
                .is_some_and(|head| head.value().as_symbol() == Some(name))
        };
        let Some(form) = items.iter().find(named).copied() else { break };
        found = Some(form);
        items = form.list_iter().into_iter().flatten().skip(1).collect();
        if let Some(index) = index {
            let Some(item) = items.get(index).copied() else { break };
            found = Some(item);
            items = item.list_iter().into_iter().flatten().collect();
        }
    }
    let start = found?.span().start();
    Some((start.line(), start.column() + 1))
}
