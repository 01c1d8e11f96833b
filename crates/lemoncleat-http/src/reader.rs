//! Reading messages from bytes as they come.

use crate::head::{parse, Headers, HttpError, Start};
use crate::message::Message;

/// How much one message may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of the head.
    pub head: usize,
    /// Header fields.
    pub fields: usize,
    /// Bytes of the body.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head: 16 * 1024, fields: 100, body: 1 << 20 }
    }
}

/// Which messages are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Requests.
    Server,
    /// Responses; whether the request was a HEAD, whose response has no body.
    Client {
        /// The request was a HEAD.
        head: bool,
    },
}

#[derive(Clone, Copy, Debug)]
enum Framing {
    /// So many bytes are still to come.
    Left(usize),
    /// Chunks, up to one of size zero.
    Chunks,
    /// All until the connection ends.
    ToEnd,
}

#[derive(Debug)]
struct Open {
    start: Start,
    headers: Headers,
    body: Vec<u8>,
    framing: Framing,
}

/// Reads messages from one connection, one after another.
#[derive(Debug)]
pub struct Reader {
    side: Side,
    limits: Limits,
    bytes: Vec<u8>,
    /// Up to here no end of the head was found.
    searched: usize,
    open: Option<Open>,
}

impl Reader {
    /// A reader that has read nothing.
    pub fn new(side: Side, limits: Limits) -> Reader {
        Reader { side, limits, bytes: Vec::new(), searched: 0, open: None }
    }

    /// Bytes came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message; `None` while more is to come. After an error the connection is of no more use.
    ///
    /// # Errors
    ///
    /// When what came is no message that is taken.
    pub fn next_message(&mut self) -> Result<Option<Message>, HttpError> {
        loop {
            if self.open.is_none() && !self.read_head()? {
                return Ok(None);
            }
            if !self.read_body()? {
                return Ok(None);
            }
            let Some(open) = self.open.take() else { return Ok(None) };
            // 1xx tell of the response to come.
            if !matches!(open.start, Start::Response(100..=199)) {
                return Ok(Some(Message { start: open.start, headers: open.headers, body: open.body }));
            }
        }
    }

    /// The connection ended: the message that lasted until then.
    ///
    /// # Errors
    ///
    /// When it ended within a message.
    pub fn end(&mut self) -> Result<Option<Message>, HttpError> {
        if let Some(message) = self.next_message()? {
            return Ok(Some(message));
        }
        match self.open.take() {
            Some(Open { start, headers, body, framing: Framing::ToEnd }) => {
                Ok(Some(Message { start, headers, body }))
            }
            Some(_) => Err(HttpError::Truncated),
            None if self.bytes.is_empty() => Ok(None),
            None => Err(HttpError::Truncated),
        }
    }

    fn read_head(&mut self) -> Result<bool, HttpError> {
        // A line end before a request is passed over (RFC 9112 section 2.2).
        if self.side == Side::Server {
            let skip = self.bytes.chunks_exact(2).take_while(|pair| pair == b"\r\n").count() * 2;
            self.bytes.drain(..skip);
        }
        let from = self.searched.saturating_sub(3);
        let found =
            self.bytes.get(from..).unwrap_or_default().windows(4).position(|part| part == b"\r\n\r\n");
        let Some(end) = found.map(|at| at + from) else {
            self.searched = self.bytes.len();
            return if self.bytes.len() > self.limits.head { Err(HttpError::HeadTooLong) } else { Ok(false) };
        };
        if end > self.limits.head {
            return Err(HttpError::HeadTooLong);
        }
        let head: Vec<u8> = self.bytes.drain(..end + 4).collect();
        self.searched = 0;
        let text = std::str::from_utf8(&head[..end]).map_err(|_| HttpError::Field)?;
        // A bare CR or LF would be a line end to some readers and none to others.
        let (start, headers) = parse(text, self.limits.fields)?;
        if matches!(start, Start::Request(..)) != (self.side == Side::Server) {
            return Err(HttpError::StartLine);
        }
        let framing = self.framing(&start, &headers)?;
        self.open = Some(Open { start, headers, body: Vec::new(), framing });
        Ok(true)
    }

    /// RFC 9112 section 6.3.
    fn framing(&self, start: &Start, headers: &Headers) -> Result<Framing, HttpError> {
        let mut length = None;
        for value in headers.all("Content-Length").flat_map(|value| value.split(',')) {
            let value = value.trim_matches([' ', '\t']);
            let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let number = digits.then(|| value.parse::<usize>().ok()).flatten().ok_or(HttpError::Length)?;
            if length.replace(number).is_some_and(|known| known != number) {
                return Err(HttpError::Length);
            }
        }
        let codings: Vec<&str> = headers.all("Transfer-Encoding").collect();
        if !codings.is_empty() {
            // Both at once is how requests are smuggled (section 6.1): refused.
            let chunked = codings.len() == 1 && codings[0].trim().eq_ignore_ascii_case("chunked");
            return if chunked && length.is_none() { Ok(Framing::Chunks) } else { Err(HttpError::Length) };
        }
        if length.is_some_and(|length| length > self.limits.body) {
            return Err(HttpError::BodyTooLong);
        }
        Ok(match (start, self.side) {
            (Start::Response(100..=199 | 204 | 304), _) | (_, Side::Client { head: true }) => {
                Framing::Left(0)
            }
            (Start::Request(..), _) => Framing::Left(length.unwrap_or(0)),
            (Start::Response(_), _) => length.map_or(Framing::ToEnd, Framing::Left),
        })
    }

    fn read_body(&mut self) -> Result<bool, HttpError> {
        let most = self.limits.body;
        let Some(open) = self.open.as_mut() else { return Ok(false) };
        match open.framing {
            Framing::Left(left) => {
                let count = left.min(self.bytes.len());
                open.body.extend(self.bytes.drain(..count));
                open.framing = Framing::Left(left - count);
                Ok(left == count)
            }
            Framing::ToEnd => {
                open.body.append(&mut self.bytes);
                if open.body.len() > most {
                    return Err(HttpError::BodyTooLong);
                }
                Ok(false)
            }
            Framing::Chunks => loop {
                let Some((size, line)) = chunk_size(&self.bytes)? else { return Ok(false) };
                if open.body.len().saturating_add(size) > most {
                    return Err(HttpError::BodyTooLong);
                }
                if size == 0 {
                    return match trailers(&self.bytes[line..], self.limits.head)? {
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
                open.body.extend_from_slice(&self.bytes[line..line + size]);
                self.bytes.drain(..line + size + 2);
            },
        }
    }
}

/// Longest line with a chunk's size.
const CHUNK_LINE: usize = 256;

/// The size of the chunk at the front, and how long the line is that tells it.
fn chunk_size(bytes: &[u8]) -> Result<Option<(usize, usize)>, HttpError> {
    let Some(end) = bytes.iter().take(CHUNK_LINE).position(|byte| *byte == b'\n') else {
        return if bytes.len() >= CHUNK_LINE { Err(HttpError::Chunk) } else { Ok(None) };
    };
    let line = bytes[..end].strip_suffix(b"\r").ok_or(HttpError::Chunk)?;
    // Extensions after a semicolon mean nothing here.
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| HttpError::Chunk)?.trim_end_matches([' ', '\t']);
    let fits = !digits.is_empty() && digits.len() <= 8 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let size = fits.then(|| usize::from_str_radix(digits, 16).ok()).flatten().ok_or(HttpError::Chunk)?;
    Ok(Some((size, end + 1)))
}

/// Where the trailer section ends, which is read and dropped.
fn trailers(bytes: &[u8], most: usize) -> Result<Option<usize>, HttpError> {
    if bytes.starts_with(b"\r\n") {
        return Ok(Some(2));
    }
    match bytes.windows(4).position(|part| part == b"\r\n\r\n") {
        Some(end) => Ok(Some(end + 4)),
        None if bytes.len() > most => Err(HttpError::HeadTooLong),
        None => Ok(None),
    }
}
