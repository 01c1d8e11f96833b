//! Parser for the lines that the journal service sends.

use lemoncleat::Availability;
use serde::Deserialize;

use crate::list::{Endpoint, ListedServer, ServerNews};

/// An event, on a line of the journal service or in a node's configuration.
#[derive(Deserialize)]
pub(crate) struct EventConfig {
    pos: u64,
    hosts: Option<HostsConfig>,
}

#[derive(Deserialize)]
struct HostsConfig {
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<EndpointConfig>,
}

#[derive(Deserialize)]
struct EndpointConfig {
    name: String,
    address: std::net::SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default = "no_place")]
    group: i64,
    status: StatusConfig,
    #[serde(default)]
    since_ms: f64,
}

fn no_place() -> i64 {
    -1
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StatusConfig {
    Up,
    Draining,
    Removed,
}

/// A line of the journal service.
#[derive(Clone, Debug, PartialEq)]
pub enum JournalLine {
    /// The number of the latest event.
    Last(u64),
    /// The number of an event and its update of the server list; `None` if the event is not about servers.
    Event(u64, Option<ServerNews>),
}

impl EventConfig {
    pub(crate) fn translate(self) -> (u64, Option<ServerNews>) {
        let update = self.hosts.map(|hosts| ServerNews {
            complete: hosts.snapshot,
            endpoints: hosts.endpoints.into_iter().map(EndpointConfig::translate).collect(),
        });
        (self.pos, update)
    }
}

impl EndpointConfig {
    fn translate(self) -> Endpoint {
        let started_ms = if self.since_ms.is_finite() && self.since_ms > 0.0 { self.since_ms } else { 0.0 };
        Endpoint {
            server: ListedServer {
                name: self.name,
                started_at: (started_ms > 0.0).then_some((started_ms * 1000.0) as i64),
                availability: match self.status {
                    StatusConfig::Up => Availability::Ready,
                    StatusConfig::Draining => Availability::Draining,
                    StatusConfig::Removed => Availability::Gone,
                },
                place: self.group,
                zone: self.zone,
                kind: self.kind,
            },
            address: self.address,
        }
    }
}

/// Parses a line without its line end.
///
/// # Errors
///
/// Fails if the line is neither an event nor a number.
pub fn read_line(line: &str) -> Result<JournalLine, String> {
    let line = line.trim();
    if let Ok(last) = line.parse() {
        return Ok(JournalLine::Last(last));
    }
    let event: EventConfig = crate::json::read(line)?;
    let (pos, update) = event.translate();
    Ok(JournalLine::Event(pos, update))
}

/// Returns the number of an event whose other fields can't be read; `None` if the number is unreadable too.
pub fn number_of_line(line: &str) -> Option<u64> {
    #[derive(Deserialize)]
    struct Numbered {
        pos: u64,
    }
    crate::json::read::<Numbered>(line.trim()).ok().map(|event| event.pos)
}
