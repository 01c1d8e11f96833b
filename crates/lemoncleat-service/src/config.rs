//! The settings file of a node. `docs/operate/node.md` describes every field.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lemoncleat::{Availability, Class, DedupGroup, Effect, Membership, Settings};
use lemoncleat_certificates::{ChallengeKind, External, KeeperSettings, KeyKind, Policy};
use lemoncleat_consistency::{PlanEntry, Rules};
use lemoncleat_net::{MinVersion, TlsFiles};
use lemoncleat_node::circuits::audit::Audits;
use lemoncleat_node::circuits::{Order, Timers};
use lemoncleat_node::{
    Backoff, CircuitSettings, ListEntry, NodeSettings, NumberingPlan, Route, Timing, WATCHDOG_FLOOR,
};
use lemoncleat_settings::{from_str, Error, Size, Span};
use serde::Deserialize;

use crate::fleet_settings::FleetFile;
use crate::log::LogFormat;
use crate::service::{ServiceSettings, TlsSettings, TlsSource};

/// The contents of a settings file.
#[derive(Clone, Debug)]
pub struct Config {
    /// Addresses on which clients connect.
    pub listen: Vec<SocketAddr>,
    /// Settings of the service.
    pub service: ServiceSettings,
    /// Log settings.
    pub log: LogConfig,
    /// Fields in which the agreed configuration text differs from the file.
    pub differs: Vec<&'static str>,
}

/// Log settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// Output format.
    pub format: LogFormat,
    /// A level or tracing directives.
    pub filter: String,
}

/// The shortest `timing.gap`.
const MIN_GAP_US: i64 = 10_000;

/// The smallest `limits.message` that fits the longest message between fleet members.
const MIN_MESSAGE_BYTES_WITH_FLEET: usize = 36 * 1024;

/// An error in a settings file.
pub type ConfigError = Error;

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct File {
    pub(crate) host: String,
    realm: String,
    listen: Vec<SocketAddr>,
    #[serde(default)]
    tls: Option<TlsFile>,
    #[serde(default)]
    plain: bool,
    #[serde(default)]
    control: Option<SocketAddr>,
    #[serde(default)]
    feed: Option<SocketAddr>,
    #[serde(default)]
    pub(crate) servers: Vec<ServerFile>,
    pub(crate) clients: Vec<String>,
    pub(crate) classes: Vec<ClassFile>,
    pub(crate) plan: Vec<PrefixFile>,
    #[serde(default = "default_nodes")]
    pub(crate) nodes: u32,
    #[serde(default)]
    number: u32,
    #[serde(default = "default_attempts")]
    pub(crate) attempts: u32,
    #[serde(default = "default_release")]
    pub(crate) release: Span,
    #[serde(default)]
    pub(crate) repeat: Span,
    #[serde(default)]
    pub(crate) tells_wait: bool,
    #[serde(default = "default_may_cancel")]
    pub(crate) may_cancel: bool,
    #[serde(default)]
    pub(crate) come_back_after: Option<Span>,
    #[serde(default)]
    pub(crate) cold: ColdFile,
    #[serde(default)]
    circuits: Option<CircuitsFile>,
    #[serde(default)]
    pub(crate) fleet: Option<FleetFile>,
    #[serde(default)]
    timing: TimingFile,
    #[serde(default)]
    pub(crate) limits: LimitsFile,
    #[serde(default)]
    log: LogFile,
    #[serde(default)]
    seed: Option<u64>,
}

fn default_nodes() -> u32 {
    1
}
fn default_attempts() -> u32 {
    4
}
fn default_may_cancel() -> bool {
    true
}
fn default_release() -> Span {
    Span(300_000)
}

#[derive(Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", rename = "server")]
pub(crate) struct ServerFile {
    host: String,
    address: SocketAddr,
    #[serde(default)]
    place: i64,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
}

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum EffectFile {
    #[default]
    Safe,
    Dedup,
    Fragile,
}

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum GroupFile {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", rename = "class")]
pub(crate) struct ClassFile {
    name: String,
    aim: Span,
    deadline: Span,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    length: Span,
    #[serde(default)]
    pools: Option<Vec<i64>>,
    #[serde(default)]
    effect: EffectFile,
    #[serde(default)]
    dedup_group: GroupFile,
    #[serde(default)]
    dedup_window: Span,
}

#[derive(Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", rename = "prefix")]
pub(crate) struct PrefixFile {
    digits: String,
    class: String,
    #[serde(default)]
    place: i64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(crate) struct ColdFile {
    pub(crate) from: f64,
    pub(crate) span: Span,
    pub(crate) multiple: f64,
    pub(crate) r#for: Span,
}

impl Default for ColdFile {
    fn default() -> Self {
        ColdFile { from: 0.3, span: Span(15_000_000), multiple: 3.0, r#for: Span(1_000_000) }
    }
}

#[derive(Clone, Copy, Default, Deserialize)]
enum VersionFile {
    #[serde(rename = "1.2")]
    Tls12,
    #[default]
    #[serde(rename = "1.3")]
    Tls13,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct TlsFile {
    certificate: Option<PathBuf>,
    key: Option<PathBuf>,
    acme: Option<AcmeFile>,
    authorities: PathBuf,
    #[serde(default)]
    min_version: VersionFile,
    #[serde(default = "default_max_handshakes")]
    handshakes: usize,
    #[serde(default = "default_handshake_time")]
    handshake_time: Span,
}

#[derive(Clone, Copy, Default, Deserialize)]
enum ChallengeFile {
    #[default]
    #[serde(rename = "http-01")]
    Http01,
    #[serde(rename = "tls-alpn-01")]
    TlsAlpn01,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum KeyFile {
    #[default]
    Es256,
    Eddsa,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct ExternalFile {
    key_id: String,
    key_file: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct AcmeFile {
    directory: String,
    state: PathBuf,
    authority_roots: Option<PathBuf>,
    #[serde(default)]
    contact: Vec<String>,
    #[serde(default)]
    names: Vec<String>,
    external: Option<ExternalFile>,
    #[serde(default)]
    account_key: KeyFile,
    #[serde(default)]
    challenge: ChallengeFile,
    challenge_listen: Option<SocketAddr>,
    preferred_chain: Option<String>,
    #[serde(default = "default_renew_at")]
    renew_at: f64,
    #[serde(default = "default_renew_spread")]
    spread: f64,
    #[serde(default = "default_first_wait")]
    first_wait: Span,
    #[serde(default = "default_most_wait")]
    most_wait: Span,
    #[serde(default = "default_least_wait")]
    least_wait: Span,
    #[serde(default = "default_try_time")]
    try_time: Span,
    #[serde(default = "default_answer_time")]
    answer_time: Span,
    #[serde(default = "default_look")]
    look: Span,
}

fn default_renew_at() -> f64 {
    Policy::default().share
}
fn default_renew_spread() -> f64 {
    Policy::default().spread
}
fn default_first_wait() -> Span {
    Span(Policy::default().first_wait * 1_000_000)
}
fn default_most_wait() -> Span {
    Span(Policy::default().most_wait * 1_000_000)
}
fn default_least_wait() -> Span {
    Span(Policy::default().least_wait * 1_000_000)
}
fn default_try_time() -> Span {
    Span(600_000_000)
}
fn default_answer_time() -> Span {
    Span(30_000_000)
}
fn default_look() -> Span {
    Span(10_000_000)
}

impl AcmeFile {
    /// Converts to the keeper's settings; the certificate always includes the node's own name.
    fn settings(self, host: &str) -> Result<KeeperSettings, Error> {
        if !self.directory.starts_with("https://") && !self.directory.starts_with("http://") {
            return invalid("tls.acme.directory", format!("{:?}, expected a URL of https", self.directory));
        }
        if !(self.renew_at > 0.0 && self.renew_at < 1.0 && (0.0..1.0).contains(&self.spread)) {
            return invalid("tls.acme.renew-at", "expected shares of a certificate's life between 0 and 1");
        }
        let spans =
            [self.first_wait, self.most_wait, self.least_wait, self.try_time, self.answer_time, self.look];
        if spans.iter().any(|span| span.0 < 1_000_000) {
            return invalid("tls.acme", "a wait or time below 1s, expected 1s at the least");
        }
        let challenge = match self.challenge {
            ChallengeFile::Http01 => ChallengeKind::Http01,
            ChallengeFile::TlsAlpn01 => ChallengeKind::TlsAlpn01,
        };
        if challenge == ChallengeKind::Http01 && self.challenge_listen.is_none() {
            return invalid(
                "tls.acme.challenge-listen",
                "missing, expected the address where http-01 is served",
            );
        }
        let mut names = vec![host.to_ascii_lowercase()];
        for name in self.names {
            let name = name.to_ascii_lowercase();
            if !names.contains(&name) {
                names.push(name);
            }
        }
        let seconds = |span: Span| span.0 / 1_000_000;
        let time = |span: Span| Duration::from_micros(span.0.max(0) as u64);
        // Derives the seed from the host name: renewal times are the same at each start and differ between
        // nodes.
        let seed = host.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        let external = self.external.map(|file| External { key_id: file.key_id, key_file: file.key_file });
        Ok(KeeperSettings {
            roots: self.authority_roots,
            contact: self.contact,
            external,
            key: match self.account_key {
                KeyFile::Es256 => KeyKind::Es256,
                KeyFile::Eddsa => KeyKind::EdDsa,
            },
            challenge,
            listen: self.challenge_listen,
            preferred_chain: self.preferred_chain,
            policy: Policy {
                share: self.renew_at,
                spread: self.spread,
                first_wait: seconds(self.first_wait),
                most_wait: seconds(self.most_wait),
                least_wait: seconds(self.least_wait),
                ..Policy::default()
            },
            seed,
            try_time: time(self.try_time),
            answer_time: time(self.answer_time),
            look: time(self.look),
            ..KeeperSettings::new(self.state, names, self.directory)
        })
    }
}

fn default_max_handshakes() -> usize {
    256
}
fn default_handshake_time() -> Span {
    Span(5_000_000)
}

impl TlsFile {
    fn settings(self, host: &str) -> Result<TlsSettings, Error> {
        let source = match (self.certificate, self.key, self.acme) {
            (Some(certificate), Some(key), None) => TlsSource::Files(TlsFiles { certificate, key }),
            (None, None, Some(acme)) => TlsSource::Acme(Box::new(acme.settings(host)?)),
            _ => return invalid("tls", "expected either certificate and key, or acme"),
        };
        Ok(TlsSettings {
            source,
            authorities: self.authorities,
            min: match self.min_version {
                VersionFile::Tls12 => MinVersion::Tls12,
                VersionFile::Tls13 => MinVersion::Tls13,
            },
            handshakes: self.handshakes,
            time: Duration::from_micros(self.handshake_time.0.max(1) as u64),
        })
    }
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum OrderFile {
    Lowest,
    Highest,
    LeastRecent,
    #[default]
    OwnFirst,
    Cyclic,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct CircuitsFile {
    size: u32,
    #[serde(default)]
    order: OrderFile,
    #[serde(default = "default_audit_round")]
    audit_round: Span,
    #[serde(default = "default_audit_slice")]
    audit_slice: u32,
    #[serde(default = "default_repeat_interval")]
    release_again: Span,
    #[serde(default = "default_repeat_interval")]
    reset_again: Span,
}

fn default_audit_round() -> Span {
    Span(Audits::default().round)
}
fn default_audit_slice() -> u32 {
    Audits::default().slice
}
fn default_repeat_interval() -> Span {
    Span(2_000_000)
}

impl CircuitsFile {
    fn settings(&self) -> CircuitSettings {
        let order = match self.order {
            OrderFile::Lowest => Order::Lowest,
            OrderFile::Highest => Order::Highest,
            OrderFile::LeastRecent => Order::LeastRecent,
            OrderFile::OwnFirst => Order::OwnFirst,
            OrderFile::Cyclic => Order::Cyclic,
        };
        let audits = Audits { round: self.audit_round.0, slice: self.audit_slice, ..Audits::default() };
        CircuitSettings {
            size: self.size,
            order,
            timers: Timers { release: self.release_again.0, again: self.reset_again.0, ..Timers::default() },
            audits: (self.audit_round.0 > 0).then_some(audits),
        }
    }
}

macro_rules! timing_file {
    ($name:ident { $($field:ident),* $(,)? } from $source:expr) => {
        #[derive(Deserialize)]
        #[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
        struct $name {
            watchdog: Span,
            watchdog_below_floor: bool,
            dial_first: Span,
            dial_most: Span,
            $($field: Span,)*
        }
        impl Default for $name {
            fn default() -> Self {
                let timing: Timing = $source;
                $name {
                    watchdog: Span(timing.watchdog),
                    watchdog_below_floor: false,
                    dial_first: Span(timing.backoff.first),
                    dial_most: Span(timing.backoff.most),
                    $($field: Span(timing.$field),)*
                }
            }
        }
        impl $name {
            fn timing(&self) -> Timing {
                Timing {
                    watchdog: self.watchdog.0,
                    backoff: Backoff { first: self.dial_first.0, most: self.dial_most.0 },
                    $($field: self.$field.0,)*
                }
            }
        }
    };
}

timing_file! {
    TimingFile {
        open, close, gap, answer_margin, client_return, server_return, duplicates, late_answers, drain,
    } from Timing::default()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(crate) struct LimitsFile {
    pub(crate) message: Size,
    pub(crate) connections: usize,
    pub(crate) calls: usize,
    pub(crate) queue: Size,
    duplicates: usize,
}

impl Default for LimitsFile {
    fn default() -> Self {
        let defaults = NodeSettings::new("", "", Settings::default(), NumberingPlan::new());
        LimitsFile {
            message: Size(defaults.max_message),
            connections: defaults.max_connections,
            calls: defaults.max_calls,
            queue: Size(defaults.max_queue),
            duplicates: defaults.max_duplicates,
        }
    }
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum FormatFile {
    #[default]
    Text,
    Json,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
struct LogFile {
    format: FormatFile,
    filter: String,
    calls: bool,
}

impl Default for LogFile {
    fn default() -> Self {
        LogFile { format: FormatFile::Text, filter: "info".to_owned(), calls: false }
    }
}

pub(crate) fn invalid<T>(path: &str, message: impl Into<String>) -> Result<T, Error> {
    Err(Error { place: None, path: path.to_owned(), message: message.into() })
}

/// Parses the text of a settings file.
///
/// # Errors
///
/// The first error: its position, its cause and what was expected.
pub fn read(text: &str) -> Result<Config, ConfigError> {
    from_str::<File>(text)?.config(text)
}

/// Parses the text of a settings file together with the configuration text that the node's fleet agrees on,
/// which takes precedence for the fields that it contains.
///
/// # Errors
///
/// The first error, with its position in the agreed text; the file by itself is assumed to be valid.
pub fn read_with(text: &str, agreed: &str) -> Result<Config, ConfigError> {
    let shared = crate::shared::shared(agreed)?;
    let mut file: File = from_str(text)?;
    let read = shared.apply_to(&mut file).and_then(|differs| Ok(Config { differs, ..file.config(text)? }));
    read.map_err(|error| crate::shared::with_place(agreed, error))
}

impl File {
    fn config(self, text: &str) -> Result<Config, Error> {
        for (path, name) in [("host", &self.host), ("realm", &self.realm)] {
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
            if name.is_empty() || !name.chars().all(is_allowed) {
                return invalid(
                    path,
                    format!("{name:?}, expected a name of letters, digits, '-', '_' and '.'"),
                );
            }
        }
        if self.listen.is_empty() {
            return invalid("listen", "no address, expected at least one");
        }
        if self.feed.is_none() && self.servers.is_empty() {
            return invalid("feed", "missing, expected either a feed or servers");
        }
        if self.feed.is_some() && !self.servers.is_empty() {
            return invalid("servers", "beside a feed, expected only one of the two");
        }
        if self.number >= self.nodes {
            return invalid("number", format!("{}, expected less than nodes ({})", self.number, self.nodes));
        }
        if self.timing.watchdog.0 < WATCHDOG_FLOOR && !self.timing.watchdog_below_floor {
            let text = "below the 6s that RFC 3539 allows; for rehearsals set (watchdog-below-floor yes)";
            return invalid("timing.watchdog", text);
        }
        if self.timing.watchdog.0 <= 0 {
            return invalid("timing.watchdog", "expected a span above zero");
        }
        if self.timing.gap.0 < MIN_GAP_US {
            return invalid(
                "timing.gap",
                "expected 10ms at least: half of it is how often an idle loop turns",
            );
        }
        if self.limits.message.0 < 4096 || self.limits.message.0 > 0x00ff_ffff {
            return invalid("limits.message", "expected 4KiB to 16777215");
        }
        if self.control.is_some_and(|control| !control.ip().is_loopback()) {
            return invalid("control", "expected a loopback address: whoever reaches it may cut calls");
        }
        match (&self.tls, self.plain) {
            (None, false) => {
                return invalid("tls", "missing, expected (tls ...), or (plain yes) for connections without")
            }
            (Some(_), true) => return invalid("plain", "beside tls, expected only one of the two"),
            _ => {}
        }
        let is_duplicate = |(at, class): &(usize, &ClassFile)| {
            self.classes.iter().take(*at).any(|other| other.name == class.name)
        };
        if let Some((at, class)) = self.classes.iter().enumerate().find(is_duplicate) {
            return invalid(&format!("classes[{at}].name"), format!("{:?} is listed twice", class.name));
        }
        let module = self.decision_settings()?;
        let mut plan = NumberingPlan::new();
        let mut entries = Vec::new();
        for (index, prefix) in self.plan.iter().enumerate() {
            let path = |field: &str| format!("plan[{index}].{field}");
            let Some(class) = self.classes.iter().position(|class| class.name == prefix.class) else {
                let known: Vec<&str> = self.classes.iter().map(|class| class.name.as_str()).collect();
                let text = format!("{:?}, expected one of the classes {}", prefix.class, known.join(", "));
                return invalid(&path("class"), text);
            };
            let route = Route { class, place: prefix.place };
            plan.add(&prefix.digits, route).or_else(|error| invalid(&path("digits"), error.to_string()))?;
            entries.push(PlanEntry { prefix: prefix.digits.clone(), class, pool: prefix.place });
        }
        if plan.is_empty() {
            return invalid("plan", "no prefix, expected at least one");
        }
        let rules = Rules { settings: module.clone(), plan: entries };
        let mut node = NodeSettings::new(&self.host, &self.realm, module, plan);
        node.addresses = self.listen.iter().map(|address| address.ip()).collect();
        node.addresses.dedup();
        node.class_names = self.classes.iter().map(|class| class.name.as_str().into()).collect();
        node.clients = self.clients.iter().map(|client| client.as_str().into()).collect();
        node.timing = self.timing.timing();
        node.max_message = self.limits.message.0;
        node.max_connections = self.limits.connections;
        node.max_calls = self.limits.calls;
        node.max_queue = self.limits.queue.0;
        node.max_duplicates = self.limits.duplicates;
        if let Some(circuits) = &self.circuits {
            if circuits.size == 0 || circuits.size > 100_000 {
                return invalid("circuits.size", "expected 1 to 100000");
            }
            node.circuits = Some(circuits.settings());
        }
        node.trace_calls = self.log.calls;
        let fleet = self.fleet.map(|fleet| fleet.settings(&self.host)).transpose()?;
        if let Some(fleet) = &fleet {
            let other = |host: &str| self.clients.iter().any(|client| client == host);
            fleet.check_not_listed(other, "clients")?;
            fleet
                .check_not_listed(|host| self.servers.iter().any(|server| server.host == host), "servers")?;
            if node.max_message < MIN_MESSAGE_BYTES_WITH_FLEET {
                return invalid(
                    "limits.message",
                    "below 36KiB beside a fleet, whose messages may have 32KiB",
                );
            }
            node.members = fleet.peers();
        }
        let servers = self.servers.into_iter().map(|server| ListEntry {
            host: server.host.into(),
            address: server.address,
            availability: Availability::Ready,
            started_ago: None,
            place: server.place,
            zone: server.zone.into(),
            kind: server.kind.into(),
        });
        let service = ServiceSettings {
            node,
            feed: self.feed,
            servers: servers.collect(),
            tls: self.tls.map(|tls| tls.settings(&self.host)).transpose()?,
            control: self.control,
            seed: self.seed,
            rules,
            fleet,
            text: text.into(),
        };
        let format = match self.log.format {
            FormatFile::Text => LogFormat::Text,
            FormatFile::Json => LogFormat::Json,
        };
        let log = LogConfig { format, filter: self.log.filter };
        Ok(Config { listen: self.listen, service, log, differs: Vec::new() })
    }

    fn decision_settings(&self) -> Result<Settings, Error> {
        let class = |class: &ClassFile| Class {
            aim: class.aim.0,
            deadline: class.deadline.0,
            worth: class.worth,
            late_worth: class.late_worth,
            length: class.length.0,
            effect: match class.effect {
                EffectFile::Safe => Effect::Safe,
                EffectFile::Dedup => Effect::Dedup,
                EffectFile::Fragile => Effect::Fragile,
            },
            dedup_group: match class.dedup_group {
                GroupFile::All => DedupGroup::All,
                GroupFile::Zone => DedupGroup::Zone,
                GroupFile::Cell => DedupGroup::Cell,
            },
            dedup_window: class.dedup_window.0,
            allowed: class.pools.clone(),
        };
        let settings = Settings {
            classes: self.classes.iter().map(class).collect(),
            balancers: self.nodes,
            own_number: self.number,
            home: None,
            repeat: self.repeat.0,
            release: self.release.0,
            tells_wait: self.tells_wait,
            membership: Membership::Automatic,
            max_attempts: self.attempts,
            max_retry_hint: self.come_back_after.map(|span| span.0),
            may_cancel: self.may_cancel,
            may_probe: false,
            may_tell: false,
            cold_from: self.cold.from,
            cold_span: self.cold.span.0,
            fall_multiple: self.cold.multiple,
            fall_span: self.cold.r#for.0,
            resolution: 0,
        };
        match settings.check() {
            Ok(()) => Ok(settings),
            Err(error) => invalid("", error.to_string()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MINIMAL_FILE: &str =
        "(plain yes) (host n1.example) (realm example) (listen 127.0.0.1:0) (feed 127.0.0.1:4000)
(clients c.example)
(classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
(plan (prefix (digits 351) (class browse) (place 2)))";

    #[test]
    fn minimal_file_gets_defaults() {
        let config = read(MINIMAL_FILE).expect("a good file");
        let node = &config.service.node;
        assert_eq!(node.timing, Timing::default());
        assert_eq!(node.module.release, 300_000);
        assert_eq!(node.plan.find("3519"), Some(Route { class: 0, place: 2 }));
        assert_eq!((node.max_calls, node.max_message), (200_000, 65_536));
    }

    #[test]
    fn inconsistent_settings_are_rejected() {
        let cases = [
            (" (timing (watchdog 2s))", "timing.watchdog: below the 6s"),
            (" (number 1)", "number: 1, expected less than nodes (1)"),
            (" (servers (server (host a) (address 1.1.1.1:1)))", "servers: beside a feed"),
            (" (limits (message 100))", "limits.message: expected 4KiB"),
            (" (timing (gap 1ms))", "timing.gap: expected 10ms at least"),
            (" (limits (sessions 3))", "limits: unknown field `sessions`"),
            (" (cold (from 0))", "cold servers must be above zero"),
        ];
        for (more, expected) in cases {
            let told = read(&format!("{MINIMAL_FILE}{more}")).expect_err("a mistake").to_string();
            assert!(told.contains(expected), "told {told:?}, expected {expected:?}");
        }
        let told = read(&MINIMAL_FILE.replace("(class browse)", "(class brows)"))
            .expect_err("a mistake")
            .to_string();
        assert!(told.contains("plan[0].class: \"brows\", expected one of the classes browse"), "{told}");
        let told =
            read(&MINIMAL_FILE.replace("(feed 127.0.0.1:4000)", "")).expect_err("a mistake").to_string();
        assert!(told.contains("either a feed or servers"), "{told}");
    }

    #[test]
    fn watchdog_below_floor_is_accepted_with_opt_in() {
        let text = format!("{MINIMAL_FILE} (timing (watchdog 500ms) (watchdog-below-floor yes))");
        assert_eq!(read(&text).expect("a good file").service.node.timing.watchdog, 500_000);
    }
}
