//! Incremental parsing of messages.

use crate::head::{parse, Headers, HttpError, Start};
use crate::message::Message;

/// Size limits of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of the head in bytes.
    pub head: usize,
    /// Maximum number of header fields.
    pub fields: usize,
    /// Maximum length of the body in bytes.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head: 16 * 1024, fields: 100, body: 1 << 20 }
    }
}

/// Which end of the connection the reader serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Reads requests.
    Server,
    /// Reads responses.
    Client {
        /// The request was a HEAD, whose response has no body.
        head: bool,
    },
}

#[derive(Clone, Copy, Debug)]
enum Framing {
    /// The number of bytes still missing.
    Remaining(usize),
    /// Chunks, up to one of size zero.
    Chunked,
    /// All bytes until the connection ends.
    UntilClose,
}

#[derive(Debug)]
struct PartialMessage {
    start: Start,
    headers: Headers,
    body: Vec<u8>,
    framing: Framing,
}

/// Reads consecutive messages from one connection.
#[derive(Debug)]
pub struct Reader {
    side: Side,
    limits: Limits,
    bytes: Vec<u8>,
    /// Number of bytes already searched for the end of the head.
    searched_bytes: usize,
    partial: Option<PartialMessage>,
}

impl Reader {
    /// Creates a reader for one side of a new connection.
    pub fn new(side: Side, limits: Limits) -> Reader {
        Reader { side, limits, bytes: Vec::new(), searched_bytes: 0, partial: None }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete message; `None` while bytes are missing. After an error the connection must
    /// be closed.
    ///
    /// # Errors
    ///
    /// When the received bytes are not a valid message within the limits.
    pub fn next_message(&mut self) -> Result<Option<Message>, HttpError> {
        loop {
            if self.partial.is_none() && !self.read_head()? {
                return Ok(None);
            }
            if !self.read_body()? {
                return Ok(None);
            }
            let Some(partial) = self.partial.take() else { return Ok(None) };
            // 1xx responses are interim; the final response follows.
            if !matches!(partial.start, Start::Response(100..=199)) {
                return Ok(Some(Message {
                    start: partial.start,
                    headers: partial.headers,
                    body: partial.body,
                }));
            }
        }
    }

    /// Handles the end of the connection and returns the message that extended up to it, if any.
    ///
    /// # Errors
    ///
    /// When the connection ended within a message.
    pub fn end(&mut self) -> Result<Option<Message>, HttpError> {
        if let Some(message) = self.next_message()? {
            return Ok(Some(message));
        }
        match self.partial.take() {
            Some(PartialMessage { start, headers, body, framing: Framing::UntilClose }) => {
                Ok(Some(Message { start, headers, body }))
            }
            Some(_) => Err(HttpError::Truncated),
            None if self.bytes.is_empty() => Ok(None),
            None => Err(HttpError::Truncated),
        }
    }

    fn read_head(&mut self) -> Result<bool, HttpError> {
        // Empty lines before a request are skipped (RFC 9112 section 2.2).
        if self.side == Side::Server {
            let skip = self.bytes.chunks_exact(2).take_while(|pair| pair == b"\r\n").count() * 2;
            self.bytes.drain(..skip);
        }
        let from = self.searched_bytes.saturating_sub(3);
        let found =
            self.bytes.get(from..).unwrap_or_default().windows(4).position(|part| part == b"\r\n\r\n");
        let Some(end) = found.map(|at| at + from) else {
            self.searched_bytes = self.bytes.len();
            return if self.bytes.len() > self.limits.head { Err(HttpError::HeadTooLong) } else { Ok(false) };
        };
        if end > self.limits.head {
            return Err(HttpError::HeadTooLong);
        }
        let head: Vec<u8> = self.bytes.drain(..end + 4).collect();
        self.searched_bytes = 0;
        let text = std::str::from_utf8(&head[..end]).map_err(|_| HttpError::Field)?;
        // The parser rejects a bare CR or LF, which only some parsers treat as a line end.
        let (start, headers) = parse(text, self.limits.fields)?;
        if matches!(start, Start::Request(..)) != (self.side == Side::Server) {
            return Err(HttpError::StartLine);
        }
        let framing = self.framing(&start, &headers)?;
        self.partial = Some(PartialMessage { start, headers, body: Vec::new(), framing });
        Ok(true)
    }

    /// Determines how the body is delimited (RFC 9112 section 6.3).
    fn framing(&self, start: &Start, headers: &Headers) -> Result<Framing, HttpError> {
        let mut length = None;
        for value in headers.all("Content-Length").flat_map(|value| value.split(',')) {
            let value = value.trim_matches([' ', '\t']);
            let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let number = digits.then(|| value.parse::<usize>().ok()).flatten().ok_or(HttpError::Length)?;
            if length.replace(number).is_some_and(|earlier| earlier != number) {
                return Err(HttpError::Length);
            }
        }
        let codings: Vec<&str> = headers.all("Transfer-Encoding").collect();
        if !codings.is_empty() {
            // Transfer-Encoding together with Content-Length permits request smuggling (section 6.1):
            // rejected.
            let chunked = codings.len() == 1 && codings[0].trim().eq_ignore_ascii_case("chunked");
            return if chunked && length.is_none() { Ok(Framing::Chunked) } else { Err(HttpError::Length) };
        }
        if length.is_some_and(|length| length > self.limits.body) {
            return Err(HttpError::BodyTooLong);
        }
        Ok(match (start, self.side) {
            (Start::Response(100..=199 | 204 | 304), _) | (_, Side::Client { head: true }) => {
                Framing::Remaining(0)
            }
            (Start::Request(..), _) => Framing::Remaining(length.unwrap_or(0)),
            (Start::Response(_), _) => length.map_or(Framing::UntilClose, Framing::Remaining),
        })
    }

    fn read_body(&mut self) -> Result<bool, HttpError> {
        let max_bytes = self.limits.body;
        let Some(partial) = self.partial.as_mut() else { return Ok(false) };
        match partial.framing {
            Framing::Remaining(remaining) => {
                let count = remaining.min(self.bytes.len());
                partial.body.extend(self.bytes.drain(..count));
                partial.framing = Framing::Remaining(remaining - count);
                Ok(remaining == count)
            }
            Framing::UntilClose => {
                partial.body.append(&mut self.bytes);
                if partial.body.len() > max_bytes {
                    return Err(HttpError::BodyTooLong);
                }
                Ok(false)
            }
            Framing::Chunked => loop {
                let Some((size, line)) = chunk_size(&self.bytes)? else { return Ok(false) };
                if partial.body.len().saturating_add(size) > max_bytes {
                    return Err(HttpError::BodyTooLong);
                }
                if size == 0 {
                    return match trailers_len(&self.bytes[line..], self.limits.head)? {
                        Some(end) => {
                            self.bytes.drain(..line + end);
                            Ok(true)
                        }
                        None => Ok(false),
                    };
                }
                let Some(rest) = self.bytes.get(line + size..line + size + 2) else { return Ok(false) };
                if rest != b"\r\n" {
                    return Err(HttpError::Chunk);
                }
                partial.body.extend_from_slice(&self.bytes[line..line + size]);
                self.bytes.drain(..line + size + 2);
            },
        }
    }
}

/// Maximum length of a chunk-size line in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Parses the chunk-size line at the start; returns the size of the chunk and the length of the line.
fn chunk_size(bytes: &[u8]) -> Result<Option<(usize, usize)>, HttpError> {
    let Some(end) = bytes.iter().take(MAX_CHUNK_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if bytes.len() >= MAX_CHUNK_LINE_BYTES { Err(HttpError::Chunk) } else { Ok(None) };
    };
    let line = bytes[..end].strip_suffix(b"\r").ok_or(HttpError::Chunk)?;
    // Chunk extensions after a semicolon are ignored.
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| HttpError::Chunk)?.trim_end_matches([' ', '\t']);
    let is_valid = !digits.is_empty() && digits.len() <= 8 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let size = is_valid.then(|| usize::from_str_radix(digits, 16).ok()).flatten().ok_or(HttpError::Chunk)?;
    Ok(Some((size, end + 1)))
}

/// Returns the length of the trailer section, which is discarded.
fn trailers_len(bytes: &[u8], max_bytes: usize) -> Result<Option<usize>, HttpError> {
    if bytes.starts_with(b"\r\n") {
        return Ok(Some(2));
    }
    match bytes.windows(4).position(|part| part == b"\r\n\r\n") {
        Some(end) => Ok(Some(end + 4)),
        None if bytes.len() > max_bytes => Err(HttpError::HeadTooLong),
        None => Ok(None),
    }
}
