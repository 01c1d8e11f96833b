//! Parses messages from a stream (18.3).

use crate::embedded::{contains_start_line, start_line_contains_another};
use crate::message::{Message, Method, Start};

/// Maximum length of a message in bytes, head and body together.
pub const MAX_MESSAGE: usize = 16 * 1024;
/// Maximum number of headers in a message.
pub const MAX_HEADERS: usize = 64;
/// The buffer of a stream grows by multiples of this size, and a larger one is released when it is empty.
const BUFFER_STEP_BYTES: usize = 1024;

/// The reason why a stream cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The start line is neither a Request-Line nor a Status-Line.
    StartLine,
    /// A line is not a header, or contains characters that are not allowed in one.
    Header,
    /// More headers than [`MAX_HEADERS`].
    TooManyHeaders,
    /// `Content-Length` is missing, occurs with different values, or is not a number.
    ContentLength,
    /// The message is longer than [`MAX_MESSAGE`], by its actual or its stated length.
    TooLong,
    /// The message contains the start line of another one, as if it had stopped short. Reported only by
    /// readers made by [`Reader::rejecting_merged_messages`].
    Merged,
}

impl Fault {
    /// Returns a description for the log and for the reason phrase of the response.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::StartLine => "Bad Start Line",
            Fault::Header => "Bad Header",
            Fault::TooManyHeaders => "Too Many Headers",
            Fault::ContentLength => "Bad Content-Length",
            Fault::TooLong => "Message Too Long",
            Fault::Merged => "Message Stopped Short",
        }
    }
}

/// The error after which the framing of a stream is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamError {
    /// The reason.
    pub fault: Fault,
    /// The head as far as it could be parsed, for use in an error response.
    pub head: Option<Box<Message>>,
}

/// Incremental parser of the messages on one stream.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
    /// Length of the prefix of the buffer that has been searched for the end of a head.
    scanned: usize,
    /// Whether the start line in the buffer is complete and has been checked.
    start_line_checked: bool,
    /// Whether a start line inside a message is an error.
    rejects_merged: bool,
    /// Start of the first line in the buffer that has not been searched for a start line.
    unsearched_line: usize,
    /// A parsed head whose body is incomplete, and the length of that body.
    head: Option<(Message, usize)>,
    error: Option<StreamError>,
}

impl Reader {
    /// Creates a reader at the beginning of a stream.
    pub fn new() -> Self {
        Reader::default()
    }

    /// Creates a reader for a peer whose messages may stop short while the stream goes on. A message that
    /// contains the start line of another one is an error, reported as soon as that line is complete.
    pub fn rejecting_merged_messages() -> Self {
        Reader { rejects_merged: true, ..Reader::default() }
    }

    /// Appends bytes to the buffer. Call [`Reader::next_message`] after each piece to keep memory bounded.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            let length = self.buffer.len() + bytes.len();
            if length > self.buffer.capacity() {
                // Many streams may be partly read at the same time: no more is reserved than needed.
                self.buffer.reserve_exact(length.next_multiple_of(BUFFER_STEP_BYTES) - self.buffer.len());
            }
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Returns whether the buffer contains an incomplete message.
    pub fn is_partial(&self) -> bool {
        self.head.is_some() || !self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the memory that the stream holds, for a message that is incomplete.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity() + self.head.as_ref().map_or(0, |(head, _)| head.held_bytes())
    }

    /// Returns whether the buffered bytes after the last message can still be the beginning of a message. If
    /// they cannot, the length of the last message was wrong.
    pub fn rest_is_plausible(&self) -> bool {
        let rest = skip_empty_lines(&self.buffer);
        if rest == b"\r" {
            return true; // Half of an empty line.
        }
        let line = rest.split(|byte| *byte == b'\r' || *byte == b'\n').next().unwrap_or_default();
        let line_ended = line.len() < rest.len();
        if line_ended {
            return std::str::from_utf8(line).is_ok_and(|line| parse_start_line(line).is_ok());
        }
        line.iter().copied().all(is_start_line_byte) && line.first().is_none_or(|byte| is_token_byte(*byte))
    }

    /// Returns the next complete message; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if the stream cannot be parsed any further. All later calls return the same error.
    pub fn next_message(&mut self) -> Result<Option<Message>, StreamError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        let next = self.advance();
        if let Err(malformed) = &next {
            self.error = Some(malformed.clone());
            self.buffer = Vec::new();
            self.head = None;
        } else if self.buffer.is_empty() && self.buffer.capacity() > BUFFER_STEP_BYTES {
            self.buffer = Vec::new();
        }
        next
    }

    fn advance(&mut self) -> Result<Option<Message>, StreamError> {
        if self.head.is_none() {
            let Some((head, length)) = self.take_head()? else { return Ok(None) };
            self.head = Some((head, length));
        }
        let Some(length) = self.head.as_ref().map(|(_, length)| *length) else { return Ok(None) };
        self.search_lines(length.min(self.buffer.len()))?;
        if self.buffer.len() < length {
            return Ok(None);
        }
        let body: Vec<u8> = self.buffer.drain(..length).collect();
        (self.scanned, self.unsearched_line) = (0, 0);
        Ok(self.head.take().map(|(head, _)| Message { body, ..head }))
    }

    /// Returns whether an incomplete head can still become a valid one. However small the pieces are, it
    /// examines each byte of the start line at most twice: once on arrival and once when the line is
    /// complete.
    fn can_become_valid_head(&mut self) -> bool {
        if self.start_line_checked {
            return true;
        }
        let unscanned = &self.buffer[self.scanned..];
        let line_ended = unscanned.iter().any(|byte| matches!(byte, b'\r' | b'\n'));
        if self.scanned > 0 && !line_ended {
            return unscanned.iter().copied().all(is_start_line_byte);
        }
        self.start_line_checked = line_ended;
        self.rest_is_plausible()
    }

    /// Fails if a line of the current message, which extends to `end` or beyond, contains the start line of
    /// another one. Examines each complete line once.
    fn search_lines(&mut self, end: usize) -> Result<(), StreamError> {
        if !self.rejects_merged {
            return Ok(());
        }
        while let Some(length) = self.buffer[self.unsearched_line..end].iter().position(|byte| *byte == b'\n')
        {
            let line = &self.buffer[self.unsearched_line..][..length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let is_start_line = self.head.is_none() && self.unsearched_line == 0;
            let merged =
                if is_start_line { start_line_contains_another(line) } else { contains_start_line(line) };
            if merged {
                return Err(StreamError { fault: Fault::Merged, head: None });
            }
            self.unsearched_line += length + 1;
        }
        Ok(())
    }

    /// Removes a complete head from the buffer and returns it with the length of its body.
    fn take_head(&mut self) -> Result<Option<(Message, usize)>, StreamError> {
        let fault = |fault| StreamError { fault, head: None };
        if self.scanned == 0 {
            // Empty lines before the start line are ignored (7.5); peers send them as keep-alives.
            let skip = self.buffer.len() - skip_empty_lines(&self.buffer).len();
            self.buffer.drain(..skip);
        }
        if self.buffer == b"\r" {
            return Ok(None);
        }
        let search_start = self.scanned.saturating_sub(3);
        let end = self.buffer[search_start..]
            .windows(4)
            .position(|window| window == b"\r\n\r\n")
            .map(|at| search_start + at);
        self.search_lines(end.map_or(self.buffer.len(), |end| end + 4))?;
        let Some(end) = end else {
            if self.buffer.len() > MAX_MESSAGE {
                return Err(fault(Fault::TooLong));
            }
            if !self.can_become_valid_head() {
                return Err(fault(Fault::StartLine));
            }
            self.scanned = self.buffer.len();
            return Ok(None);
        };
        if end + 4 > MAX_MESSAGE {
            return Err(fault(Fault::TooLong));
        }
        let text = std::str::from_utf8(&self.buffer[..end]).map_err(|_| fault(Fault::Header))?;
        let (message, first_fault) = parse_head(text).map_err(fault)?;
        let with_head = |fault| StreamError { fault, head: Some(Box::new(message.clone())) };
        if let Some(first_fault) = first_fault {
            return Err(with_head(first_fault));
        }
        let length = content_length(&message).map_err(with_head)?;
        if length.checked_add(end + 4).is_none_or(|total| total > MAX_MESSAGE) {
            return Err(with_head(Fault::TooLong));
        }
        self.buffer.drain(..end + 4);
        (self.scanned, self.start_line_checked, self.unsearched_line) = (0, false, 0);
        Ok(Some((message, length)))
    }
}

fn skip_empty_lines(mut bytes: &[u8]) -> &[u8] {
    while let Some(rest) = bytes.strip_prefix(b"\r\n") {
        bytes = rest;
    }
    bytes
}

/// Returns whether a byte may occur in a start line.
fn is_start_line_byte(byte: u8) -> bool {
    matches!(byte, b'\t' | b' '..=b'~' | 0x80..)
}

/// Returns whether a byte may occur in a token (25.1).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-.!%*_+`'~".contains(&byte)
}

fn parse_start_line(line: &str) -> Result<Start, Fault> {
    if let Some(rest) = line.strip_prefix("SIP/2.0 ") {
        let code = rest.get(..3).filter(|code| code.bytes().all(|byte| byte.is_ascii_digit()));
        let code: u16 = code.and_then(|code| code.parse().ok()).ok_or(Fault::StartLine)?;
        let phrase = rest.get(3..).unwrap_or_default();
        let valid = (100..700).contains(&code) && (phrase.is_empty() || phrase.starts_with(' '));
        return if valid { Ok(Start::Response { code }) } else { Err(Fault::StartLine) };
    }
    let mut parts = line.split(' ');
    let (Some(method), Some(uri), Some("SIP/2.0"), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(Fault::StartLine);
    };
    if method.is_empty() || !method.bytes().all(is_token_byte) || uri.is_empty() {
        return Err(Fault::StartLine);
    }
    Ok(Start::Request { method: Method::new(method), uri: uri.to_owned() })
}

/// Parses a head without its final empty line and returns it with the first fault among its headers. Parsing
/// continues after such a fault, so that an error response can name the call.
fn parse_head(text: &str) -> Result<(Message, Option<Fault>), Fault> {
    if text.bytes().any(|byte| byte == 0x7f || byte < b' ' && !matches!(byte, b'\t' | b'\r' | b'\n')) {
        return Err(Fault::Header);
    }
    let mut lines = text.split("\r\n");
    let start = parse_start_line(lines.next().unwrap_or_default())?;
    let mut headers: Vec<(String, String)> = Vec::new();
    let mut first_fault = None;
    for line in lines {
        if line.contains(['\r', '\n']) {
            first_fault = first_fault.or(Some(Fault::Header));
            continue;
        }
        if line.starts_with([' ', '\t']) {
            // A folded line continues the previous value (7.3.1).
            match headers.last_mut() {
                Some((_, value)) => {
                    value.push(' ');
                    value.push_str(line.trim());
                }
                None => first_fault = first_fault.or(Some(Fault::Header)),
            }
            continue;
        }
        if headers.len() == MAX_HEADERS {
            first_fault = first_fault.or(Some(Fault::TooManyHeaders));
            break;
        }
        match line.split_once(':') {
            Some((name, value)) if is_header_name(name.trim_end()) => {
                headers.push((long_name(name.trim_end()).to_owned(), value.trim().to_owned()));
            }
            _ => first_fault = first_fault.or(Some(Fault::Header)),
        }
    }
    Ok((Message { start, headers, body: Vec::new() }, first_fault))
}

fn is_header_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(is_token_byte)
}

/// Returns the long form of a compact header name (7.3.3, 20).
fn long_name(name: &str) -> &str {
    match name {
        "i" | "I" => "Call-ID",
        "l" | "L" => "Content-Length",
        "v" | "V" => "Via",
        "f" | "F" => "From",
        "t" | "T" => "To",
        "m" | "M" => "Contact",
        "c" | "C" => "Content-Type",
        "e" | "E" => "Content-Encoding",
        "k" | "K" => "Supported",
        "s" | "S" => "Subject",
        other => other,
    }
}

fn content_length(message: &Message) -> Result<usize, Fault> {
    let mut length = None;
    for (name, value) in message.headers() {
        if !name.eq_ignore_ascii_case("Content-Length") {
            continue;
        }
        if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(Fault::ContentLength);
        }
        // A number that overflows also exceeds the maximum length.
        let value: usize = value.parse().map_err(|_| Fault::TooLong)?;
        if length.is_some_and(|previous| previous != value) {
            return Err(Fault::ContentLength);
        }
        length = Some(value);
    }
    length.ok_or(Fault::ContentLength)
}
