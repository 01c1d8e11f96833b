//! Scripts of a day: fleet, traffic and troubles.

use lemoncleat_settings::{from_str, Error, Rate, Span};
use serde::Deserialize;

/// A day to rehearse.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Day {
    /// Its name.
    pub name: String,
    /// How long calls arrive.
    pub length: Span,
    /// How long is waited after the last arrival.
    #[serde(default = "tail")]
    pub tail: Span,
    /// Seed of all that is random in the stand-ins.
    #[serde(default)]
    pub seed: u64,
    /// Access nodes.
    pub nodes: u16,
    /// Front-ends for each node.
    #[serde(default = "two")]
    pub fronts: u16,
    /// First tries a second, all together.
    pub rate: Rate,
    /// The call servers.
    pub servers: Vec<ServerDay>,
    /// The classes of calls.
    pub classes: Vec<ClassDay>,
    /// What callers do.
    #[serde(default)]
    pub callers: CallerDay,
    /// How processors work.
    #[serde(default)]
    pub processor: ProcessorDay,
    /// How the list behaves.
    #[serde(default)]
    pub list: ListDay,
    /// Trunk groups between each node and each server.
    #[serde(default)]
    pub circuits: Option<CircuitDay>,
    /// TLS everywhere, with certificates that the nodes get from a stand-in authority.
    #[serde(default)]
    pub certificates: Option<CertificateDay>,
    /// Nothing of this day is a reason to cut or turn away a call: any that is counts as a failure.
    #[serde(default)]
    pub harmless: bool,
    /// Tw between nodes and servers.
    #[serde(default = "watchdog")]
    pub watchdog: Span,
    /// How much earlier than the caller the nodes stop waiting.
    #[serde(default = "answer_margin")]
    pub answer_margin: Span,
    /// Attempts that a call may have.
    #[serde(default = "four")]
    pub attempts: u32,
    /// Rule 3.
    #[serde(default = "drain_grace")]
    pub drain_grace: Span,
    /// Rule 5.
    #[serde(default = "release")]
    pub release: Span,
    /// The troubles.
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
    /// Calls a second that its processor can carry.
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
    /// Its part of all calls, against the others'.
    pub share: f64,
    /// A call that stands within this time earns its full worth.
    pub aim: Span,
    /// How long a caller goes on, from the first try.
    pub deadline: Span,
    /// Worth of a call.
    pub worth: f64,
    /// Share of it earned after the aim.
    #[serde(default)]
    pub late_worth: f64,
    /// Mean length of a call.
    pub length: Span,
}

/// What callers do.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct CallerDay {
    /// A try is given up after this share of the class's deadline.
    pub try_share: f64,
    /// How often they dial again.
    pub redials: u32,
    /// Mean wait before that.
    pub backoff: Span,
    /// Share of callers that leave before the answer, somewhere in their first second.
    pub impatient: f64,
    /// Share of numbers whose first choice is the server of the present fashion, which shifts.
    pub drift: f64,
}

impl Default for CallerDay {
    fn default() -> Self {
        CallerDay { try_share: 0.35, redials: 2, backoff: Span(1_200_000), impatient: 0.008, drift: 0.2 }
    }
}

/// How processors work.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct ProcessorDay {
    /// Wait beyond which set-ups are turned away.
    pub queue: Span,
    /// Work of turning one away, as a share of a call's.
    pub reject: f64,
    /// A set-up that waits is sent again after this; 0 for never.
    pub repeat: Span,
    /// Answers and releases go ahead of set-ups.
    pub finish_first: bool,
    /// A set-up that was given up is dropped.
    pub drops_given_up: bool,
    /// Full processors tell how long to wait.
    pub tells_wait: bool,
    /// Answers tell the wait.
    pub reports_wait: bool,
    /// Answers tell the lines.
    pub reports_lines: bool,
    /// Share of its capacity that a fresh process has; the nodes are told no more than this.
    pub cold_from: f64,
    /// How long it takes to warm up.
    pub cold_span: Span,
    /// Rule 4: multiple of the present capacity ...
    pub fall_multiple: f64,
    /// ... over this long.
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

/// How the list behaves.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct ListDay {
    /// How late it tells.
    pub delay: Span,
    /// How far the nodes are apart in hearing it.
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
    /// Circuits that servers believe in, where that differs.
    #[serde(default)]
    pub far_size: Option<u32>,
    /// Calls a second that each server sets up toward each node.
    #[serde(default)]
    pub far_rate: Option<Rate>,
    /// Their mean length.
    #[serde(default = "two_seconds")]
    pub far_length: Span,
    /// Share of a node's seizures that the server meets with one of its own on the same circuit.
    #[serde(default)]
    pub meets: f64,
}

/// How the nodes' certificates come about.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct CertificateDay {
    /// How long they last. Certificates tell whole seconds.
    pub lifetime: Span,
    /// Share of that after which they are renewed.
    pub renew_at: f64,
    /// How names are proven: http-01 or tls-alpn-01.
    pub challenge: String,
    /// Share of requests whose nonce the authority refuses.
    pub bad_nonces: f64,
    /// How often a witness looks at each node's certificate in a handshake of its own.
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
    /// Calls jump to `size` times the usual.
    Surge,
    /// Processes die: connections are reset, calls cut; they come back cold at the end.
    Crash,
    /// Processors take set-ups and answer none; watchdogs are answered.
    Hang,
    /// Nothing is answered at all, watchdogs included; connections stay.
    SilentWatchdog,
    /// Processors run `size` times slower.
    Slow,
    /// Processors grow slower up to `size` times.
    Ageing,
    /// Servers are replaced one after another: drained by the list, stopped, a cold one in their place.
    Drain,
    /// Servers end their connections with a DPR and come back at the end as the same process.
    Dpr,
    /// A share `size` of the standing calls is cut and comes again.
    Cut,
    /// Servers keep a share `size` of their lines; calls on the lost ones are cut.
    Lines,
    /// The list tells `size` seconds later still.
    ListLag,
    /// The list's feed is gone.
    ListGone,
    /// Messages between servers and one node (`node`) are lost.
    DeadLink,
    /// A node (`node`) gets no turn for `size` seconds, again and again until the end, with pauses of random
    /// lengths (`pause` on average) between.
    Stall,
    /// The certificate authority is not reached.
    AuthorityAway,
    /// The certificate authority refuses once at each step from the order to the download, half of them for good.
    AuthorityRefuses,
    /// Every front-end ends its connections in order and comes back at once, at moments of its own until the end.
    Rehandshake,
    /// A server sends half a message and no more, until the end closes the connection.
    HalfFrame,
}

/// A trouble with its moment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", rename = "trouble")]
pub struct Trouble {
    /// What it is.
    pub kind: TroubleKind,
    /// When it begins, from the first arrival on.
    pub at: Span,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub length: Span,
    /// How much; see the kinds.
    #[serde(default = "one")]
    pub size: f64,
    /// Which servers, by their number in the script; none stands for all.
    #[serde(default)]
    pub on: Vec<u16>,
    /// Which node.
    #[serde(default)]
    pub node: u16,
    /// For stalls: the mean pause between one's end and the next.
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
    /// The mean pause between stalls where a script tells none.
    pub const PAUSE: Span = Span(500_000);

    /// One line for tables.
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
    /// The first mistake, with its place.
    pub fn read(text: &str) -> Result<Day, Error> {
        let day: Day = from_str(text)?;
        day.check()?;
        Ok(day)
    }

    /// Whether its figures fit together.
    ///
    /// # Errors
    ///
    /// The first that does not.
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
                let told = "expected a lifetime of 4s at least and renewal between 0.1 and 0.9 of it";
                return bad("certificates".to_owned(), told);
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

    /// Makes calls arrive for another span; troubles come again every time the old one is over.
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

    /// What the numbers of a class begin with.
    pub fn prefix(class: usize) -> String {
        format!("351{}", class + 1)
    }

    /// A number of a class whose first choice is a place.
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

/// The names of the days that are built in; the first is the default.
pub fn builtin_names() -> impl Iterator<Item = &'static str> {
    BUILTIN.iter().map(|(name, _)| *name)
}

/// A day that is built in.
pub fn builtin(name: &str) -> Option<Day> {
    let (_, text) = BUILTIN.iter().find(|(known, _)| *known == name)?;
    Day::read(text).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_built_in_day_reads_under_its_own_name() {
        for (name, text) in BUILTIN {
            let day = Day::read(text).unwrap_or_else(|error| panic!("{}", error.in_file(name)));
            assert_eq!(day.name, *name);
        }
    }

    #[test]
    fn a_trouble_on_a_server_that_is_not_there_is_told() {
        let text = include_str!("../days/short.lisp").replace("(on 0)", "(on 9)");
        let told = Day::read(&text).expect_err("a mistake").to_string();
        assert!(told.contains("there is no server of that number"), "{told}");
    }
}
