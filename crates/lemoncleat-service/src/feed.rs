//! The server list feed: newline-delimited JSON over TCP.
//!
//! The first line of a connection holds the complete list, `{"revision":41,"complete":[ENTRY,...]}`; the
//! following lines hold changes, `{"revision":42,"changes":[ENTRY,...]}`, each with the next revision. An
//! entry is `{"host":"s1.example","address":"127.0.0.1:3868","state":"ready","started_ago_ms":null,"place":0,
//! "zone":"lisboa","kind":"small"}`; the state is `ready`, `draining` or `gone`. After a gap in the revisions
//! the node reconnects and reads the complete list.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use lemoncleat::Availability;
use lemoncleat_net::Mailbox;
use lemoncleat_node::{ListEntry, ListNews};
use serde::Deserialize;

use crate::service::Control;

/// Maximum length of a line in bytes.
const MAX_LINE_BYTES: u64 = 16 << 20;
/// First and maximum delay between connections.
const RECONNECT_DELAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateText {
    Ready,
    Draining,
    Gone,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EntryText {
    host: String,
    address: SocketAddr,
    state: StateText,
    #[serde(default)]
    started_ago_ms: Option<u32>,
    place: i64,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LineText {
    revision: u64,
    complete: Option<Vec<EntryText>>,
    changes: Option<Vec<EntryText>>,
}

/// One line of the feed.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedLine {
    /// The revision of the list after this line.
    pub revision: u64,
    /// The complete list or the changes.
    pub news: ListNews,
}

/// An invalid line of the feed.
#[derive(Debug)]
pub struct FeedError(String);

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for FeedError {}

impl From<EntryText> for ListEntry {
    fn from(text: EntryText) -> Self {
        ListEntry {
            host: text.host.into(),
            address: text.address,
            availability: match text.state {
                StateText::Ready => Availability::Ready,
                StateText::Draining => Availability::Draining,
                StateText::Gone => Availability::Gone,
            },
            started_ago: text.started_ago_ms.map(|ms| i64::from(ms) * 1_000),
            place: text.place,
            zone: text.zone.into(),
            kind: text.kind.into(),
        }
    }
}

/// Parses a line of the feed.
///
/// # Errors
///
/// When it is not a JSON object with a revision and either `complete` or `changes`.
pub fn parse_line(line: &str) -> Result<FeedLine, FeedError> {
    let text: LineText = serde_json::from_str(line).map_err(|error| FeedError(error.to_string()))?;
    let entries = |list_entries: Vec<EntryText>| list_entries.into_iter().map(ListEntry::from).collect();
    let update = match (text.complete, text.changes) {
        (Some(list_entries), None) => ListNews::Complete(entries(list_entries)),
        (None, Some(list_entries)) => ListNews::Changes(entries(list_entries)),
        _ => return Err(FeedError("expected either `complete` or `changes`".to_owned())),
    };
    Ok(FeedLine { revision: text.revision, news: update })
}

/// Follows the feed until the node ends, reconnecting whenever the connection is lost.
pub(crate) async fn follow(address: SocketAddr, mailbox: Mailbox<Control>) {
    let mut delay = RECONNECT_DELAY.0;
    loop {
        match read(address, &mailbox, &mut delay).await {
            Err(None) => return,
            Err(Some(why)) => tracing::warn!(%address, %why, "list feed lost; the last list stays"),
            Ok(()) => tracing::warn!(%address, "list feed closed; the last list stays"),
        }
        Timer::after(delay).await;
        delay = (delay * 2).min(RECONNECT_DELAY.1);
    }
}

/// Reads one connection to its end. The error is `None` if the node has ended.
async fn read(
    address: SocketAddr,
    mailbox: &Mailbox<Control>,
    delay: &mut Duration,
) -> Result<(), Option<String>> {
    let stream = Async::<std::net::TcpStream>::connect(address).await.map_err(|e| Some(e.to_string()))?;
    let mut reader = BufReader::new(stream);
    let mut revision: Option<u64> = None;
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = (&mut reader).take(MAX_LINE_BYTES).read_until(b'\n', &mut line).await;
        if read.map_err(|e| Some(e.to_string()))? == 0 {
            return Ok(());
        }
        if line.last() != Some(&b'\n') {
            return Err(Some(format!("line truncated or longer than {MAX_LINE_BYTES} bytes")));
        }
        let text = std::str::from_utf8(&line).map_err(|_| Some("line is not valid UTF-8".to_owned()))?;
        let parsed = parse_line(text).map_err(|error| Some(error.to_string()))?;
        match (&parsed.news, revision) {
            (ListNews::Complete(_), _) => {}
            (ListNews::Changes(_), Some(last)) if parsed.revision == last + 1 => {}
            (ListNews::Changes(_), last) => {
                return Err(Some(format!(
                    "revision {} follows {last:?}: a revision is missing",
                    parsed.revision
                )));
            }
        }
        revision = Some(parsed.revision);
        *delay = RECONNECT_DELAY.0;
        mailbox.send(Control::List(parsed.news)).await.map_err(|_| None)?;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn documented_lines_are_parsed() {
        let line = r#"{"revision":41,"complete":[{"host":"s1.example","address":"127.0.0.1:3868","state":"ready",
            "started_ago_ms":1500,"place":2,"zone":"lisboa","kind":"small"}]}"#;
        let line = parse_line(line).expect("a good line");
        let ListNews::Complete(entries) = line.news else { panic!("a complete list") };
        assert_eq!((line.revision, entries.len()), (41, 1));
        assert_eq!(entries[0].started_ago, Some(1_500_000));
        let line =
            r#"{"revision":42,"changes":[{"host":"s1","address":"[::1]:1","state":"gone","place":0}]}"#;
        let ListNews::Changes(entries) = parse_line(line).expect("a good line").news else {
            panic!("changes")
        };
        assert_eq!(entries[0].availability, Availability::Gone);
    }

    #[test]
    fn errors_of_invalid_lines_name_the_cause() {
        for (line, expected) in [
            ("{", "EOF"),
            (r#"{"revision":1}"#, "either"),
            (r#"{"revision":1,"changes":[],"complete":[]}"#, "either"),
            (r#"{"revision":1,"changes":[],"more":1}"#, "unknown field `more`"),
            (r#"{"revision":1,"changes":[{"host":"a","address":"x","state":"ready","place":0}]}"#, "address"),
            (
                r#"{"revision":1,"changes":[{"host":"a","address":"1.1.1.1:1","state":"up","place":0}]}"#,
                "variant",
            ),
        ] {
            let error = parse_line(line).expect_err("a bad line").to_string();
            assert!(error.contains(expected), "{error:?} lacks {expected:?}");
        }
    }
}
