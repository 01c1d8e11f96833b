//! The stand-in server list: each node receives changes with a delay, on its own feed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use crate::Micros;

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Listed {
    Ready,
    Draining,
    Gone,
}

/// Entry of a server in the list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub server: u16,
    pub host: String,
    pub address: SocketAddr,
    pub state: Listed,
    pub started: Option<Micros>,
    pub place: i64,
    pub zone: String,
}

#[derive(Serialize)]
struct EntryText<'a> {
    host: &'a str,
    address: SocketAddr,
    state: Listed,
    started_ago_ms: Option<u32>,
    place: i64,
    zone: &'a str,
    kind: &'a str,
}

#[derive(Serialize)]
struct LineText<'a> {
    revision: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    complete: Option<Vec<EntryText<'a>>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    changes: Option<Vec<EntryText<'a>>>,
}

/// The feed of one node.
#[derive(Default)]
pub(crate) struct Feed {
    pub conn: Option<u64>,
    /// Entries as of the last change that was due, whether or not the node received it.
    pub view: BTreeMap<u16, Entry>,
    revision: u64,
    /// Time of the last scheduled change; later changes are scheduled after it, which keeps their order.
    pub last_due: Micros,
}

impl Feed {
    /// Returns the first line of a connection: the complete list.
    pub fn complete(&mut self, now: Micros) -> Vec<u8> {
        self.revision += 1;
        let all =
            self.view.values().filter(|entry| entry.state != Listed::Gone).map(|e| text(now, e)).collect();
        line(&LineText { revision: self.revision, complete: Some(all), changes: None })
    }

    /// Applies a change that is due and returns its line.
    pub fn change(&mut self, now: Micros, entry: Entry) -> Vec<u8> {
        self.revision += 1;
        let bytes = line(&LineText {
            revision: self.revision,
            complete: None,
            changes: Some(vec![text(now, &entry)]),
        });
        self.view.insert(entry.server, entry);
        bytes
    }
}

fn text(now: Micros, entry: &Entry) -> EntryText<'_> {
    EntryText {
        host: &entry.host,
        address: entry.address,
        state: entry.state,
        started_ago_ms: entry.started.map(|at| u32::try_from((now - at).max(0) / 1_000).unwrap_or(u32::MAX)),
        place: entry.place,
        zone: &entry.zone,
        kind: "stand-in",
    }
}

fn line(text: &LineText<'_>) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(text).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
