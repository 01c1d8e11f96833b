//! Messages out of a stream (18.3): bytes in, whole messages out.

use crate::message::{Message, Method, Start};

/// The longest message, head and body together.
pub const MAX_MESSAGE: usize = 16 * 1024;
/// The most headers of a message.
pub const MAX_HEADERS: usize = 64;

/// What is wrong with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The first line is neither a request's nor a response's.
    StartLine,
    /// A line is no header, or holds what no header may.
    Header,
    /// More headers than [`MAX_HEADERS`].
    TooManyHeaders,
    /// `Content-Length` is missing, stands twice with different values, or is no number.
    ContentLength,
    /// The message is, or says that it is, longer than [`MAX_MESSAGE`].
    TooLong,
}

impl Fault {
    /// For the log and the reason phrase of a refusal.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::StartLine => "Bad Start Line",
            Fault::Header => "Bad Header",
            Fault::TooManyHeaders => "Too Many Headers",
            Fault::ContentLength => "Bad Content-Length",
            Fault::TooLong => "Message Too Long",
        }
    }
}

/// A stream whose framing is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// What is wrong.
    pub fault: Fault,
    /// The head, as far as it could be read, to answer to.
    pub head: Option<Box<Message>>,
}

/// Reads the messages of one stream.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
    /// Bytes of the buffer that no end of a head begins in.
    scanned: usize,
    /// The first line in the buffer is whole and was found good.
    started: bool,
    /// A head that was read; its body is still coming.
    head: Option<(Message, usize)>,
    broken: Option<Malformed>,
}

impl Reader {
    /// A reader at the beginning of a stream.
    pub fn new() -> Self {
        Reader::default()
    }

    /// Takes bytes in. To keep memory bounded, ask for messages after each piece.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.broken.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Whether the beginning of a message is held whose rest has not come.
    pub fn is_partial(&self) -> bool {
        self.head.is_some() || !self.buffer.is_empty()
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.buffer.len()
    }

    /// Whether what is held behind the last message can still become a message's beginning.
    pub fn follows_well(&self) -> bool {
        let rest = skip_empty_lines(&self.buffer);
        if rest == b"\r" {
            return true; // Half an empty line.
        }
        let line = rest.split(|byte| *byte == b'\r' || *byte == b'\n').next().unwrap_or_default();
        let ended = line.len() < rest.len();
        if ended {
            return std::str::from_utf8(line).is_ok_and(|line| start_line(line).is_ok());
        }
        line.iter().copied().all(is_text) && line.first().is_none_or(|byte| is_token(*byte))
    }

    /// The next whole message; `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// When the stream can't be read any further; the same is told ever after.
    pub fn next_message(&mut self) -> Result<Option<Message>, Malformed> {
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
        }
        let next = self.advance();
        if let Err(malformed) = &next {
            self.broken = Some(malformed.clone());
            self.buffer = Vec::new();
            self.head = None;
        } else if self.buffer.is_empty() && self.buffer.capacity() > MAX_MESSAGE {
            self.buffer = Vec::new();
        }
        next
    }

    fn advance(&mut self) -> Result<Option<Message>, Malformed> {
        if self.head.is_none() {
            let Some((head, length)) = self.head()? else { return Ok(None) };
            self.head = Some((head, length));
        }
        let Some((_, length)) = &self.head else { return Ok(None) };
        if self.buffer.len() < *length {
            return Ok(None);
        }
        let body: Vec<u8> = self.buffer.drain(..*length).collect();
        self.scanned = 0;
        Ok(self.head.take().map(|(head, _)| Message { body, ..head }))
    }

    /// Whether a head that is not whole can still become one. Looks at each byte of its first line once, and
    /// twice when the line ends, however small the pieces are.
    fn begins_well(&mut self) -> bool {
        if self.started {
            return true;
        }
        let fresh = &self.buffer[self.scanned..];
        let ends = fresh.iter().any(|byte| matches!(byte, b'\r' | b'\n'));
        if self.scanned > 0 && !ends {
            return fresh.iter().copied().all(is_text);
        }
        self.started = ends;
        self.follows_well()
    }

    /// Reads a head off the buffer, with the length of its body.
    fn head(&mut self) -> Result<Option<(Message, usize)>, Malformed> {
        let fault = |fault| Malformed { fault, head: None };
        if self.scanned == 0 {
            // Empty lines before a message are keep-alives (7.5).
            let skip = self.buffer.len() - skip_empty_lines(&self.buffer).len();
            self.buffer.drain(..skip);
        }
        if self.buffer == b"\r" {
            return Ok(None);
        }
        let from = self.scanned.saturating_sub(3);
        let end = self.buffer[from..].windows(4).position(|four| four == b"\r\n\r\n").map(|at| from + at);
        let Some(end) = end else {
            if self.buffer.len() > MAX_MESSAGE {
                return Err(fault(Fault::TooLong));
            }
            if !self.begins_well() {
                return Err(fault(Fault::StartLine));
            }
            self.scanned = self.buffer.len();
            return Ok(None);
        };
        if end + 4 > MAX_MESSAGE {
            return Err(fault(Fault::TooLong));
        }
        let text = std::str::from_utf8(&self.buffer[..end]).map_err(|_| fault(Fault::Header))?;
        let (message, found) = head(text).map_err(fault)?;
        let told = |fault| Malformed { fault, head: Some(Box::new(message.clone())) };
        if let Some(found) = found {
            return Err(told(found));
        }
        let length = content_length(&message).map_err(told)?;
        if length.checked_add(end + 4).is_none_or(|whole| whole > MAX_MESSAGE) {
            return Err(told(Fault::TooLong));
        }
        self.buffer.drain(..end + 4);
        (self.scanned, self.started) = (0, false);
        Ok(Some((message, length)))
    }
}

fn skip_empty_lines(mut bytes: &[u8]) -> &[u8] {
    while let Some(rest) = bytes.strip_prefix(b"\r\n") {
        bytes = rest;
    }
    bytes
}

/// What may stand in a first line, as far as single bytes tell.
fn is_text(byte: u8) -> bool {
    matches!(byte, b'\t' | b' '..=b'~' | 0x80..)
}

/// Characters of a token (25.1).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-.!%*_+`'~".contains(&byte)
}

fn start_line(line: &str) -> Result<Start, Fault> {
    if let Some(rest) = line.strip_prefix("SIP/2.0 ") {
        let code = rest.get(..3).filter(|code| code.bytes().all(|byte| byte.is_ascii_digit()));
        let code: u16 = code.and_then(|code| code.parse().ok()).ok_or(Fault::StartLine)?;
        let phrase = rest.get(3..).unwrap_or_default();
        let well = (100..700).contains(&code) && (phrase.is_empty() || phrase.starts_with(' '));
        return if well { Ok(Start::Response { code }) } else { Err(Fault::StartLine) };
    }
    let mut parts = line.split(' ');
    let (Some(method), Some(uri), Some("SIP/2.0"), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(Fault::StartLine);
    };
    if method.is_empty() || !method.bytes().all(is_token) || uri.is_empty() {
        return Err(Fault::StartLine);
    }
    Ok(Start::Request { method: Method::new(method), uri: uri.to_owned() })
}

/// A head without its last empty line, and the first fault among its headers. The whole of it is read all the
/// same, so that a refusal can name the call.
fn head(text: &str) -> Result<(Message, Option<Fault>), Fault> {
    if text.bytes().any(|byte| byte == 0x7f || byte < b' ' && !matches!(byte, b'\t' | b'\r' | b'\n')) {
        return Err(Fault::Header);
    }
    let mut lines = text.split("\r\n");
    let start = start_line(lines.next().unwrap_or_default())?;
    let mut headers: Vec<(String, String)> = Vec::new();
    let mut found = None;
    for line in lines {
        if line.contains(['\r', '\n']) {
            found = found.or(Some(Fault::Header));
            continue;
        }
        if line.starts_with([' ', '\t']) {
            // A folded line goes on with the value before it (7.3.1).
            match headers.last_mut() {
                Some((_, value)) => {
                    value.push(' ');
                    value.push_str(line.trim());
                }
                None => found = found.or(Some(Fault::Header)),
            }
            continue;
        }
        if headers.len() == MAX_HEADERS {
            found = found.or(Some(Fault::TooManyHeaders));
            break;
        }
        match line.split_once(':') {
            Some((name, value)) if is_name(name.trim_end()) => {
                headers.push((long_name(name.trim_end()).to_owned(), value.trim().to_owned()));
            }
            _ => found = found.or(Some(Fault::Header)),
        }
    }
    Ok((Message { start, headers, body: Vec::new() }, found))
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(is_token)
}

/// The long form of a compact name (7.3.3, 20).
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
        // More digits than a number holds are more bytes than a message may have.
        let value: usize = value.parse().map_err(|_| Fault::TooLong)?;
        if length.is_some_and(|held| held != value) {
            return Err(Fault::ContentLength);
        }
        length = Some(value);
    }
    length.ok_or(Fault::ContentLength)
}
