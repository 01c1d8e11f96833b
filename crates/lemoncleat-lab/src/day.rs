//! Scripts of a day: fleet, traffic and troubles.

use lemoncleat_settings::{from_str, Error, Rate, Span};
use serde::Deserialize;

/// A scripted day.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Day {
    /// Its name.
    pub name: String,
    /// Time in which calls arrive.
    pub length: Span,
    /// Time after the last arrival until the day ends.
    #[serde(default = "tail")]
    pub tail: Span,
    /// Seed of the stand-ins' random numbers.
    #[serde(default)]
    pub seed: u64,
    /// Number of access nodes.
    pub nodes: u16,
    /// Front-ends for each node.
    #[serde(default = "two")]
    pub fronts: u16,
    /// First tries per second, in total.
    pub rate: Rate,
    /// The call servers.
    pub servers: Vec<ServerDay>,
    /// The classes of calls.
    pub classes: Vec<ClassDay>,
    /// Behaviour of callers.
    #[serde(default)]
    pub callers: CallerDay,
    /// Parameters of the servers' processors.
    #[serde(default)]
    pub processor: ProcessorDay,
    /// Delays of the server list.
    #[serde(default)]
    pub list: ListDay,
    /// Trunk groups between each node and each server.
    #[serde(default)]
    pub circuits: Option<CircuitDay>,
    /// TLS on all connections, with certificates that the nodes obtain from a stand-in authority.
    #[serde(default)]
    pub certificates: Option<CertificateDay>,
    /// No trouble of this day justifies a cut or refused call: each one counts as a failure.
    #[serde(default)]
    pub harmless: bool,
    /// Watchdog interval (Tw) between nodes and servers.
    #[serde(default = "watchdog")]
    pub watchdog: Span,
    /// Time before the caller's deadline at which the nodes stop waiting.
    #[serde(default = "answer_margin")]
    pub answer_margin: Span,
    /// Maximum number of attempts of a call.
    #[serde(default = "four")]
    pub attempts: u32,
    /// Rule 3: time after the notice of a drain in which sends must end.
    #[serde(default = "drain_grace")]
    pub drain_grace: Span,
    /// Rule 5: time to wait before a call is sent again.
    #[serde(default = "release")]
    pub release: Span,
    /// The scripted troubles.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

fn tail() -> Span {
    Span(4_000_000)
}
fn two() -> u16 {
    2
}
fn four() -> u32 {
    4
}
fn watchdog() -> Span {
    Span(1_000_000)
}
fn answer_margin() -> Span {
    Span(30_000)
}
fn drain_grace() -> Span {
    Span(250_000)
}
fn release() -> Span {
    Span(300_000)
}

/// A call server.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", rename = "server")]
pub struct ServerDay {
    /// Calls per second that its processor can process.
    pub capacity: Rate,
    /// Its lines.
    #[serde(default = "many_lines")]
    pub lines: u32,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
}

fn many_lines() -> u32 {
    100_000
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", rename = "class")]
pub struct ClassDay {
    /// Its name.
    pub name: String,
    /// Its share of all calls, relative to the other classes.
    pub share: f64,
    /// A call established within this time earns its full worth.
    pub aim: Span,
    /// Time from the first try at which a caller gives up.
    pub deadline: Span,
    /// Worth of a call.
    pub worth: f64,
    /// Share of it earned after the aim.
    #[serde(default)]
    pub late_worth: f64,
    /// Mean length of a call.
    pub length: Span,
}

/// Behaviour of callers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct CallerDay {
    /// A try is given up after this share of the class's deadline.
    pub try_share: f64,
    /// Maximum number of further tries.
    pub redials: u32,
    /// Mean wait before a further try.
    pub backoff: Span,
    /// Share of callers that leave within their first second, if not answered by then.
    pub impatient: f64,
    /// Share of calls to numbers of the currently popular server, which changes over time.
    pub drift: f64,
}

impl Default for CallerDay {
    fn default() -> Self {
        CallerDay { try_share: 0.35, redials: 2, backoff: Span(1_200_000), impatient: 0.008, drift: 0.2 }
    }
}

/// Parameters of the servers' processors.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct ProcessorDay {
    /// Wait beyond which set-ups are refused.
    pub queue: Span,
    /// Work of refusing a set-up, as a share of a call's.
    pub reject: f64,
    /// A waiting set-up is sent again after this time; 0 for never.
    pub repeat: Span,
    /// Answers and releases are processed before set-ups.
    pub finish_first: bool,
    /// Set-ups that were given up are removed from the queue.
    pub drops_given_up: bool,
    /// Refusals of a full processor state how long to wait.
    pub tells_wait: bool,
    /// Answers report the processor's wait.
    pub reports_wait: bool,
    /// Answers report the free lines.
    pub reports_lines: bool,
    /// Share of its capacity that a new process has; the nodes are configured with this value.
    pub cold_from: f64,
    /// Time to warm up.
    pub cold_span: Span,
    /// Rule 4: multiple of the current capacity beyond which a cold server fails ...
    pub fall_multiple: f64,
    /// ... over this span.
    pub fall_span: Span,
}

impl Default for ProcessorDay {
    fn default() -> Self {
        ProcessorDay {
            queue: Span(3_000_000),
            reject: 0.15,
            repeat: Span(400_000),
            finish_first: false,
            drops_given_up: false,
            tells_wait: true,
            reports_wait: true,
            reports_lines: true,
            cold_from: 0.35,
            cold_span: Span(10_000_000),
            fall_multiple: 4.0,
            fall_span: Span(1_000_000),
        }
    }
}

/// Delays of the server list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct ListDay {
    /// Delay of changes.
    pub delay: Span,
    /// Range of the additional random delay of each node.
    pub spread: Span,
}

impl Default for ListDay {
    fn default() -> Self {
        ListDay { delay: Span(1_000_000), spread: Span(300_000) }
    }
}

/// Trunk groups between nodes and servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CircuitDay {
    /// Circuits of each group.
    pub size: u32,
    /// Number of circuits configured at servers, if it differs.
    #[serde(default)]
    pub far_size: Option<u32>,
    /// Calls per second that each server sets up toward each node.
    #[serde(default)]
    pub far_rate: Option<Rate>,
    /// Their mean length.
    #[serde(default = "two_seconds")]
    pub far_length: Span,
    /// Share of a node's seizures for which the server seizes the same circuit at the same time.
    #[serde(default)]
    pub meets: f64,
}

/// Parameters of the nodes' certificates.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct CertificateDay {
    /// Lifetime; certificates carry whole seconds.
    pub lifetime: Span,
    /// Share of the lifetime after which they are renewed.
    pub renew_at: f64,
    /// Challenge type: http-01 or tls-alpn-01.
    pub challenge: String,
    /// Share of requests whose nonce the authority refuses.
    pub bad_nonces: f64,
    /// Interval at which a witness makes a handshake with each node to record its certificate.
    pub witness: Span,
}

impl Default for CertificateDay {
    fn default() -> Self {
        CertificateDay {
            lifetime: Span(40_000_000),
            renew_at: 0.5,
            challenge: "http-01".to_owned(),
            bad_nonces: 0.1,
            witness: Span(100_000),
        }
    }
}

fn two_seconds() -> Span {
    Span(2_000_000)
}

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// The rate of calls rises to `size` times the usual.
    Surge,
    /// Processes are killed: connections are reset and calls cut. The servers restart cold at the end.
    Crash,
    /// Processors accept set-ups but answer none; watchdogs are answered.
    Hang,
    /// Nothing is answered, watchdogs included; connections stay open.
    SilentWatchdog,
    /// Processors run `size` times slower.
    Slow,
    /// Processors become gradually slower, up to `size` times.
    Ageing,
    /// Servers are replaced one after another: drained by the list, stopped, and replaced by a cold server.
    Drain,
    /// Servers close their connections with a Disconnect-Peer-Request (DPR); the processes keep running and
    /// the connections are opened again.
    Dpr,
    /// A share `size` of the standing calls is cut, and their callers try again.
    Cut,
    /// Servers keep a share `size` of their lines; calls on the lost ones are cut.
    Lines,
    /// The list's delay grows by `size` seconds.
    ListLag,
    /// The list's feeds are closed and refused.
    ListGone,
    /// Messages between servers and one node (`node`) are lost.
    DeadLink,
    /// A node (`node`) is stalled for `size` seconds, repeatedly until the end, with pauses of random length
    /// (`pause` on average).
    Stall,
    /// The certificate authority is unreachable.
    AuthorityAway,
    /// The certificate authority refuses once at each step from the order to the download, at every other
    /// step permanently.
    AuthorityRefuses,
    /// Every front-end closes its connection and dials again at once, each at a random time before the end.
    Rehandshake,
    /// A server sends half a message and nothing more; the connection is closed at the end.
    HalfFrame,
}

/// A scheduled trouble.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", rename = "trouble")]
pub struct Trouble {
    /// Kind of the trouble.
    pub kind: TroubleKind,
    /// Start, from the beginning of arrivals.
    pub at: Span,
    /// Duration.
    #[serde(rename = "for")]
    pub length: Span,
    /// Size; see the kinds for its meaning.
    #[serde(default = "one")]
    pub size: f64,
    /// Servers affected, by their number in the script; empty for all.
    #[serde(default)]
    pub on: Vec<u16>,
    /// Node affected.
    #[serde(default)]
    pub node: u16,
    /// Mean pause between the end of a stall and the next one.
    #[serde(default = "half_a_second")]
    pub pause: Span,
}

fn half_a_second() -> Span {
    Trouble::PAUSE
}

fn one() -> f64 {
    1.0
}

impl Trouble {
    /// Mean pause between stalls if the script gives none.
    pub const PAUSE: Span = Span(500_000);

    /// Returns a one-line description for tables.
    pub fn text(&self) -> String {
        let name = match self.kind {
            TroubleKind::Surge => "surge",
            TroubleKind::Crash => "crash",
            TroubleKind::Hang => "hang",
            TroubleKind::SilentWatchdog => "silent-watchdog",
            TroubleKind::Slow => "slow",
            TroubleKind::Ageing => "ageing",
            TroubleKind::Drain => "drain",
            TroubleKind::Dpr => "dpr",
            TroubleKind::Cut => "cut",
            TroubleKind::Lines => "lines",
            TroubleKind::ListLag => "list-lag",
            TroubleKind::ListGone => "list-gone",
            TroubleKind::DeadLink => "dead-link",
            TroubleKind::Stall => "stall",
            TroubleKind::AuthorityAway => "authority-away",
            TroubleKind::AuthorityRefuses => "authority-refuses",
            TroubleKind::Rehandshake => "rehandshake",
            TroubleKind::HalfFrame => "half-frame",
        };
        let on: Vec<String> = self.on.iter().map(u16::to_string).collect();
        let on = if on.is_empty() { String::new() } else { format!(" on {}", on.join(",")) };
        let size = if self.size == 1.0 { String::new() } else { format!(" x{:.2}", self.size) };
        format!("{name}{size}{on}")
    }
}

impl Day {
    /// Reads a script.
    ///
    /// # Errors
    ///
    /// Returns the first mistake, with its position.
    pub fn read(text: &str) -> Result<Day, Error> {
        let day: Day = from_str(text)?;
        day.check()?;
        Ok(day)
    }

    /// Checks that the figures are valid and consistent.
    ///
    /// # Errors
    ///
    /// Returns the first mistake.
    pub fn check(&self) -> Result<(), Error> {
        let bad = |path: String, message: &str| Err(Error { place: None, path, message: message.to_owned() });
        if self.nodes == 0 || self.nodes > 64 {
            return bad("nodes".to_owned(), "expected 1 to 64");
        }
        if self.servers.is_empty() || self.servers.len() > 256 {
            return bad("servers".to_owned(), "expected 1 to 256 of them");
        }
        if self.classes.is_empty() || self.classes.len() > 9 {
            return bad("classes".to_owned(), "expected 1 to 9 of them");
        }
        if self.rate.0 <= 0.0 || self.length.0 <= 0 {
            return bad("rate".to_owned(), "expected a rate and a length above zero");
        }
        for (index, server) in self.servers.iter().enumerate() {
            if server.capacity.0 <= 0.0 {
                return bad(format!("servers[{index}].capacity"), "expected a rate above zero");
            }
        }
        if let Some(certificates) = &self.certificates {
            if certificates.lifetime.0 < 4_000_000 || !(0.1..0.9).contains(&certificates.renew_at) {
                let error = "expected a lifetime of 4s at least and renewal between 0.1 and 0.9 of it";
                return bad("certificates".to_owned(), error);
            }
            if !["http-01", "tls-alpn-01"].contains(&certificates.challenge.as_str()) {
                return bad("certificates.challenge".to_owned(), "expected http-01 or tls-alpn-01");
            }
        }
        for (index, trouble) in self.troubles.iter().enumerate() {
            if trouble.on.iter().any(|server| usize::from(*server) >= self.servers.len()) {
                return bad(format!("troubles[{index}].on"), "there is no server of that number");
            }
            if trouble.node >= self.nodes {
                return bad(format!("troubles[{index}].node"), "there is no node of that number");
            }
            if !trouble.size.is_finite() || trouble.size < 0.0 {
                return bad(format!("troubles[{index}].size"), "expected a number, not below zero");
            }
        }
        Ok(())
    }

    /// Changes the time in which calls arrive; the troubles repeat with the period of the original length.
    pub fn lengthen(&mut self, length: Span) {
        let (old, troubles) = (self.length.0.max(1), self.troubles.clone());
        self.length = length;
        self.troubles = (0..=length.0 / old)
            .flat_map(|round| {
                let moved = move |trouble: &Trouble| Trouble {
                    at: Span(trouble.at.0 + round * old),
                    ..trouble.clone()
                };
                troubles.iter().map(moved).collect::<Vec<_>>()
            })
            .filter(|trouble| trouble.at.0 + trouble.length.0 <= length.0)
            .collect();
    }

    /// Returns the prefix of the numbers of a class.
    pub fn prefix(class: usize) -> String {
        format!("351{}", class + 1)
    }

    /// Returns a number of a class that is planned for a place.
    pub fn number(class: usize, place: usize, line: u32) -> String {
        format!("{}{place:03}{line:06}", Day::prefix(class))
    }
}

const BUILTIN: &[(&str, &str)] = &[
    ("payday", include_str!("../days/payday.lisp")),
    ("calm", include_str!("../days/calm.lisp")),
    ("short", include_str!("../days/short.lisp")),
    ("glare", include_str!("../days/glare.lisp")),
    ("renewals", include_str!("../days/renewals.lisp")),
    ("renewals-hard", include_str!("../days/renewals-hard.lisp")),
    ("renewals-short", include_str!("../days/renewals-short.lisp")),
];

/// Returns the names of the built-in days; the first is the default.
pub fn builtin_names() -> impl Iterator<Item = &'static str> {
    BUILTIN.iter().map(|(name, _)| *name)
}

/// Returns a built-in day by name.
pub fn builtin(name: &str) -> Option<Day> {
    let (_, text) = BUILTIN.iter().find(|(known, _)| *known == name)?;
    Day::read(text).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn built_in_days_parse_with_matching_names() {
        for (name, text) in BUILTIN {
            let day = Day::read(text).unwrap_or_else(|error| panic!("{}", error.in_file(name)));
            assert_eq!(day.name, *name);
        }
    }

    #[test]
    fn rejects_trouble_on_unknown_server() {
        let text = include_str!("../days/short.lisp").replace("(on 0)", "(on 9)");
        let error = Day::read(&text).expect_err("a mistake").to_string();
        assert!(error.contains("there is no server of that number"), "{error}");
    }
}
