//! The part of a node's settings that is the same at all nodes of a fleet: the text that the fleet agrees on.
//! `docs/operate/configuration.md` describes it.

use lemoncleat_settings::{from_str, Error, Size, Span};
use serde::Deserialize;

use crate::config::{bad, ClassFile, File, PrefixFile, ServerFile};
use crate::fleet_settings::MemberFile;

/// The longest text, in bytes.
pub const LONGEST_TEXT: usize = 256 * 1024;

/// What a text that a fleet agrees on says. A field that it does not name stays that of each node's own file.
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

/// All limits but that of requests remembered, which can't change in place.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
struct LimitsShared {
    message: Option<Size>,
    connections: Option<usize>,
    calls: Option<usize>,
    queue: Option<Size>,
}

/// Reads a text that a fleet agrees on, by itself.
///
/// # Errors
///
/// The first mistake: what, where and what was expected. Whether the text fits a node's own file is told by
/// [`read_config_with`](crate::read_config_with).
pub fn shared(text: &str) -> Result<SharedFile, Error> {
    if text.len() > LONGEST_TEXT {
        return bad("", format!("a text of {} bytes, expected {LONGEST_TEXT} at the most", text.len()));
    }
    from_str(text)
}

/// Puts one value in place of another, and notes its field if they differ.
fn put<T: PartialEq>(to: &mut T, value: Option<T>, field: &'static str, differs: &mut Vec<&'static str>) {
    let Some(value) = value else { return };
    if *to != value {
        *to = value;
        if differs.last() != Some(&field) {
            differs.push(field);
        }
    }
}

impl SharedFile {
    /// Puts what the text names in place of what the file says; the fields that differ.
    pub(crate) fn over(self, file: &mut File) -> Result<Vec<&'static str>, Error> {
        let mut differs = Vec::new();
        let d = &mut differs;
        put(&mut file.clients, self.clients, "clients", d);
        put(&mut file.servers, self.servers, "servers", d);
        put(&mut file.classes, self.classes, "classes", d);
        put(&mut file.plan, self.plan, "plan", d);
        put(&mut file.nodes, self.nodes, "nodes", d);
        put(&mut file.attempts, self.attempts, "attempts", d);
        put(&mut file.release, self.release, "release", d);
        put(&mut file.repeat, self.repeat, "repeat", d);
        put(&mut file.tells_wait, self.tells_wait, "tells-wait", d);
        put(&mut file.may_cancel, self.may_cancel, "may-cancel", d);
        put(&mut file.come_back_after, self.come_back_after.map(Some), "come-back-after", d);
        put(&mut file.cold.from, self.cold.from, "cold", d);
        put(&mut file.cold.span, self.cold.span, "cold", d);
        put(&mut file.cold.multiple, self.cold.multiple, "cold", d);
        put(&mut file.cold.r#for, self.cold.r#for, "cold", d);
        put(&mut file.limits.message, self.limits.message, "limits", d);
        put(&mut file.limits.connections, self.limits.connections, "limits", d);
        put(&mut file.limits.calls, self.limits.calls, "limits", d);
        put(&mut file.limits.queue, self.limits.queue, "limits", d);
        match (&mut file.fleet, self.members) {
            (Some(fleet), members) => fleet.put_members(&file.host, members, d)?,
            (None, Some(_)) => return bad("members", "this node is in no fleet"),
            (None, None) => {}
        }
        Ok(differs)
    }
}

/// A mistake with its place in the text, where its field stands there: what does not fit together has none
/// yet.
pub(crate) fn placed(text: &str, mut error: Error) -> Error {
    if let Some(path) = error.path.strip_prefix("fleet.members") {
        error.path = format!("members{path}");
    }
    // A node's number is its own file's; in the agreed text it is the number of nodes that it does not fit.
    let path = if error.path == "number" { "nodes" } else { &error.path };
    error.place = error.place.or_else(|| place(text, path));
    error
}

/// Where a field such as `plan[2].class` stands, or what is nearest to it from above.
fn place(text: &str, path: &str) -> Option<(usize, usize)> {
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
