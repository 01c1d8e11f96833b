//! Finds the start line of a message inside another message.
//!
//! If a message stops short and the stream goes on with the next one, the two become one message: the first
//! start line, and the headers of the second behind a line that holds the end of neither.

use crate::message::Method;

const VERSION: &str = "SIP/2.0";
const STATUS_LINE_PREFIX: &str = "SIP/2.0 ";
const STATUS_CODE_LENGTH: usize = 3;

/// Returns whether a header line or a line of a body contains a start line.
pub(crate) fn contains_start_line(line: &[u8]) -> bool {
    std::str::from_utf8(line).is_ok_and(|line| ends_in_request_line(line) || contains_status_line(line))
}

/// Returns whether a start line contains the start line of a further message: in its reason phrase, or with a
/// method that the beginning of the first message was put in front of.
pub(crate) fn start_line_contains_another(line: &[u8]) -> bool {
    let Ok(line) = std::str::from_utf8(line) else { return false };
    match line.strip_prefix(STATUS_LINE_PREFIX) {
        Some(status) => contains_start_line(status.as_bytes()),
        None => line.split(' ').next().is_some_and(ends_in_other_method),
    }
}

/// Returns whether a method is unknown and ends in the name of a known one that a peer may send at any time.
fn ends_in_other_method(method: &str) -> bool {
    const UNPROMPTED: [Method; 5] =
        [Method::Invite, Method::Cancel, Method::Bye, Method::Options, Method::Notify];
    UNPROMPTED.iter().any(|known| method != known.as_str() && method.ends_with(known.as_str()))
}

fn ends_in_request_line(line: &str) -> bool {
    let parts = line.strip_suffix(VERSION).and_then(|rest| rest.strip_suffix(' '));
    let Some((before, uri)) = parts.and_then(|rest| rest.rsplit_once(' ')) else { return false };
    let has_scheme = uri.split_once(':').is_some_and(|(scheme, _)| !scheme.is_empty());
    has_scheme && before.ends_with(|last: char| last.is_ascii_alphanumeric())
}

fn contains_status_line(line: &str) -> bool {
    line.match_indices(STATUS_LINE_PREFIX).any(|(at, prefix)| {
        let rest = &line[at + prefix.len()..];
        let code =
            rest.get(..STATUS_CODE_LENGTH).is_some_and(|code| code.bytes().all(|b| b.is_ascii_digit()));
        code && rest[STATUS_CODE_LENGTH..].chars().next().is_none_or(|next| next == ' ')
    })
}
