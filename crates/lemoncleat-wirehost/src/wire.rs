//! The simulator's line protocol: parses lines into events for the instances, and writes their actions.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

use lemoncleat::{
    Action, Availability, Call, CallId, Controller, Event, Member, Micros, Outcome, Report, ServerId,
    ServerListUpdate,
};

use lemoncleat_platform::{reason_from_code, set_report_value, ListedServer, Names, SiteSettings};

/// Flags in the `bits` field of an `ingress` message.
const REDIALLED: u32 = 2;
const IN_TRANSIT: u32 = 8;
const CUT: u32 = 16;

/// One access node and the names that appeared in its messages.
struct Instance {
    controller: Controller,
    classes: Vec<String>,
    zones: Names,
    kinds: Names,
    report: Vec<String>,
    servers: Names,
    calls: Names,
}

/// A table whose entries have not all been received.
struct PartialTable {
    number: u8,
    remaining: usize,
}

/// All instances of this process, and the state of the current batch.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    tables: BTreeMap<u8, Vec<ListedServer>>,
    partial_table: Option<PartialTable>,
    now: Option<Micros>,
    current: Option<u32>,
    replying: Option<u32>,
    actions: Vec<Action>,
}

/// The tab-separated values of one line.
struct Fields<'a> {
    message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    fn new(line: &'a str) -> Self {
        let (message, rest) = match line.split_once('\t') {
            Some((message, rest)) => (message, Some(rest)),
            None => (line, None),
        };
        Fields { message, rest }
    }

    /// Returns the next value, `None` if it is marked as absent.
    fn optional(&mut self, name: &str) -> Result<Option<&'a str>, String> {
        let rest = self.rest.ok_or_else(|| format!("'{}' lacks its value '{name}'", self.message))?;
        let (value, rest) = match rest.split_once('\t') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Ok((value != "-").then_some(value))
    }

    fn text(&mut self, name: &str) -> Result<&'a str, String> {
        let value = self.optional(name)?.filter(|value| !value.is_empty());
        value.ok_or_else(|| format!("'{}' needs a value for '{name}'", self.message))
    }

    fn parsed<T: FromStr>(&self, name: &str, value: &str) -> Result<T, String> {
        let kind = std::any::type_name::<T>();
        value.parse().map_err(|_| format!("'{}': expected {kind} for '{name}', got '{value}'", self.message))
    }

    fn number<T: FromStr>(&mut self, name: &str) -> Result<T, String> {
        let value = self.text(name)?;
        self.parsed(name, value)
    }

    fn number_or<T: FromStr>(&mut self, name: &str, default: T) -> Result<T, String> {
        match self.optional(name)? {
            Some(value) => self.parsed(name, value),
            None => Ok(default),
        }
    }

    fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.optional(name)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(other) => Err(format!("'{}': expected 1 or 0 for '{name}', got '{other}'", self.message)),
        }
    }

    /// Returns the rest of the line, for a value that extends to its end.
    fn remainder(&mut self, name: &str) -> Result<&'a str, String> {
        self.rest.take().ok_or_else(|| format!("'{}' lacks its value '{name}'", self.message))
    }
}

impl Host {
    /// Processes one line. Returns true if the line ends the batch and `reply` is complete.
    pub fn process_line(&mut self, line: &str, reply: &mut String) -> Result<bool, String> {
        let mut fields = Fields::new(line);
        let message = fields.message;
        if self.partial_table.is_some() && message != "server" {
            return Err(format!("expected another 'server' of the table, got '{message}'"));
        }
        if self.now.is_none() && message != "sync" {
            return Err(format!("expected 'sync', got '{message}'"));
        }
        match message {
            "sync" => {
                if self.now.is_some() {
                    return Err("'sync' inside a batch, expected 'eof_batch' first".to_owned());
                }
                self.now = Some(fields.number("time_us")?);
            }
            "eof_batch" => {
                self.now = None;
                self.current = None;
                self.replying = None;
                reply.push_str("end\n");
                return Ok(true);
            }
            "instance" => self.current = Some(fields.number("who")?),
            "table" => self.table(&mut fields)?,
            "server" => self.table_entry(&mut fields)?,
            "attach" => self.attach(&mut fields)?,
            "halt" => {
                let who = self.who(message)?;
                self.instances.remove(&who);
            }
            _ => self.event(&mut fields, reply)?,
        }
        Ok(false)
    }

    fn who(&self, message: &str) -> Result<u32, String> {
        self.current.ok_or_else(|| format!("expected 'instance' before '{message}'"))
    }

    fn table(&mut self, fields: &mut Fields) -> Result<(), String> {
        let number = fields.number("roster_id")?;
        let remaining = fields.number("elements")?;
        self.tables.insert(number, Vec::new());
        self.partial_table = (remaining > 0).then_some(PartialTable { number, remaining });
        Ok(())
    }

    fn table_entry(&mut self, fields: &mut Fields) -> Result<(), String> {
        let partial = self.partial_table.as_mut().ok_or("'server' outside a table, expected an event")?;
        let started_at = fields.number_or("launched_us", 0)?;
        let availability = match fields.text("availability")? {
            "healthy" => Availability::Ready,
            "cordoned" => Availability::Draining,
            "deregistered" => Availability::Gone,
            other => {
                return Err(format!("'server': expected healthy, cordoned or deregistered, got '{other}'"))
            }
        };
        let place = fields.number_or("place_no", -1)?;
        let zone = fields.optional("region_part")?.unwrap_or_default().to_owned();
        let kind = fields.optional("sku")?.unwrap_or_default().to_owned();
        let name = fields.text("server")?.to_owned();
        let started_at = (started_at != 0).then_some(started_at);
        let entry = ListedServer { name, started_at, availability, place, zone, kind };
        self.tables.entry(partial.number).or_default().push(entry);
        partial.remaining -= 1;
        if partial.remaining == 0 {
            self.partial_table = None;
        }
        Ok(())
    }

    fn attach(&mut self, fields: &mut Fields) -> Result<(), String> {
        let who = self.who("attach")?;
        let seed = fields.number::<u64>("nonce64")?;
        let site = SiteSettings::read(fields.remainder("config")?)
            .map_err(|error| format!("expected the settings as JSON: {error}"))?;
        let instance = Instance {
            controller: Controller::new(site.module, seed).map_err(|error| error.to_string())?,
            classes: site.classes,
            zones: site.zones.iter().collect(),
            kinds: Names::default(),
            report: site.report,
            servers: Names::default(),
            calls: Names::default(),
        };
        self.instances.insert(who, instance);
        Ok(())
    }

    fn event(&mut self, fields: &mut Fields, reply: &mut String) -> Result<(), String> {
        let who = self.who(fields.message)?;
        let now = self.now.ok_or("expected 'sync'")?;
        let instance = self
            .instances
            .get_mut(&who)
            .ok_or_else(|| format!("'{}' for instance {who}, expected its 'attach' first", fields.message))?;
        let event = instance.event(fields, &self.tables)?;
        instance.controller.handle(now, event, &mut self.actions);
        if !self.actions.is_empty() && self.replying != Some(who) {
            self.replying = Some(who);
            let _ = writeln!(reply, "at\t{who}");
        }
        for action in self.actions.drain(..) {
            instance.write_action(action, reply);
        }
        Ok(())
    }
}

impl Instance {
    fn call(&mut self, name: &str) -> CallId {
        CallId(u64::from(self.calls.number(name)))
    }

    fn server(&mut self, name: &str) -> ServerId {
        ServerId(self.servers.number(name))
    }

    fn event(
        &mut self,
        fields: &mut Fields,
        tables: &BTreeMap<u8, Vec<ListedServer>>,
    ) -> Result<Event, String> {
        Ok(match fields.message {
            "members" => self.members(fields, tables)?,
            "ingress" => self.ingress(fields)?,
            "started" => {
                let call = self.call(fields.text("handle")?);
                let attempt = fields.number("go")?;
                let lag = fields.number("lag_us")?;
                let server = self.server(fields.text("server")?);
                Event::Started { call, attempt, server, lag }
            }
            "response" => {
                let call = self.call(fields.text("handle")?);
                let attempt = fields.number("go")?;
                let server = self.server(fields.text("server")?);
                let outcome = parse_outcome(fields.text("disposition")?)?;
                let lag = fields.number_or("lag_us", 0)?;
                let closed = fields.flag("final")?;
                let reason = reason_from_code(fields.number_or("clear_code", 0)?);
                let report = self.report(fields)?;
                Event::Ended { call, attempt, server, outcome, lag, closed, reason, report }
            }
            "client_gone" => Event::CallerGone(self.call(fields.text("handle")?)),
            "timer" => Event::Timer(fields.number("mark")?),
            "probed" => {
                let server = self.server(fields.text("server")?);
                let outcome = parse_outcome(fields.text("disposition")?)?;
                let lag = fields.number_or("lag_us", 0)?;
                let report = self.report(fields)?;
                Event::Probed { server, outcome, lag, report }
            }
            "peer" => {
                let from = fields.number("src_peer")?;
                let bytes = match fields.optional("content")? {
                    Some(text) => from_hex(text).ok_or("'peer': expected hex digits for 'content'")?,
                    None => Vec::new(),
                };
                Event::Note { from, bytes }
            }
            other => return Err(format!("unknown message '{other}', expected an event")),
        })
    }

    fn members(
        &mut self,
        fields: &mut Fields,
        tables: &BTreeMap<u8, Vec<ListedServer>>,
    ) -> Result<Event, String> {
        let how = fields.text("how")?;
        if how == "X" {
            return Ok(Event::Members(ServerListUpdate::Failed));
        }
        let number: u8 = fields.number("roster_id")?;
        let table = tables
            .get(&number)
            .ok_or_else(|| format!("'members' names list {number}, expected its 'table' first"))?;
        let members = table.iter().map(|entry| self.member(entry)).collect();
        match how {
            "D" => Ok(Event::Members(ServerListUpdate::Changes(members))),
            "F" | "C" => Ok(Event::Members(ServerListUpdate::Complete(members))),
            other => Err(format!("'members': expected D, F, C or X for 'how', got '{other}'")),
        }
    }

    fn member(&mut self, entry: &ListedServer) -> Member {
        let server = self.server(&entry.name);
        entry.member(server, &mut self.zones, &mut self.kinds)
    }

    fn ingress(&mut self, fields: &mut Fields) -> Result<Event, String> {
        let id = self.call(fields.text("handle")?);
        fields.optional("key")?;
        fields.optional("account")?;
        let patience = fields.number("patience_left_us")?;
        fields.optional("work_us")?;
        let width = fields.number_or("channels", 1.0)?;
        let name = fields.text("category")?;
        let class = self
            .classes
            .iter()
            .position(|class| class == name)
            .ok_or_else(|| format!("'ingress': class '{name}' is not in the settings"))?;
        let advised: i64 = fields.number_or("through", -1)?;
        let destination = fields.number_or("called_node", -1)?;
        let bits: u32 = fields.number_or("bits", 0)?;
        Ok(Event::Call(Call {
            id,
            class,
            patience,
            width,
            destination,
            advised: (advised >= 0).then_some(advised),
            in_transit: bits & IN_TRANSIT != 0,
            redialled: bits & REDIALLED != 0,
            cut: bits & CUT != 0,
        }))
    }

    fn report(&self, fields: &mut Fields) -> Result<Report, String> {
        let mut report = Report::default();
        let Some(text) = fields.optional("report")? else { return Ok(report) };
        for (name, value) in self.report.iter().zip(text.split(',')) {
            let value: f64 = fields.parsed("report", value)?;
            set_report_value(&mut report, name, value);
        }
        Ok(report)
    }

    fn write_action(&self, action: Action, reply: &mut String) {
        let call = |id: CallId| self.calls.name(id.0).unwrap_or("-");
        let server = |id: ServerId| self.servers.name(id.0.into()).unwrap_or("-");
        // Writing to a String does not fail.
        let _ = match action {
            Action::Send { call: id, server: to, timeout } => {
                writeln!(reply, "deliver\t{}\t{timeout}\t{}", call(id), server(to))
            }
            Action::Refuse { call: id, retry_after } => {
                writeln!(reply, "not_now\t{}\t{retry_after}", call(id))
            }
            Action::Fail(id) => writeln!(reply, "abort\t{}", call(id)),
            Action::Cancel { call: id, attempt } => writeln!(reply, "recall\t{}\t{attempt}", call(id)),
            Action::Timer { token, delay } => writeln!(reply, "notify_me\t{token}\t{delay}"),
            Action::Probe(to) => writeln!(reply, "test\t{}", server(to)),
            Action::Tell { to, bytes } => {
                let to = to.map_or_else(|| "*".to_owned(), |number| number.to_string());
                writeln!(reply, "signal\t{to}\t{}", to_hex(&bytes))
            }
            Action::Log(text) => writeln!(reply, "write_log\t{}", text.replace(['\n', '\t'], " ")),
            Action::Watch(on) => writeln!(reply, "subscribe\t{}", u8::from(on)),
            Action::Fetch => writeln!(reply, "read_list"),
        };
    }
}

fn parse_outcome(keyword: &str) -> Result<Outcome, String> {
    Ok(match keyword {
        "Ok" => Outcome::Ok,
        "Failed" => Outcome::Error,
        "QueueFull" => Outcome::Full,
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::Unreachable,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Cancelled,
        "Ignored" => Outcome::Moot,
        other => return Err(format!("unknown disposition '{other}', expected an outcome such as Ok")),
    })
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(text.get(at..at + 2)?, 16).ok()).collect()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
