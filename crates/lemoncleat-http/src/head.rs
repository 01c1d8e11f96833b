//! Message heads: the start line and the header fields.

use std::fmt;

/// The reason why bytes were rejected as an HTTP message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The start line is not a request line or status line of HTTP/1.x.
    StartLine,
    /// A header field has no colon, a name with non-token characters, a line fold or a control character.
    Field,
    /// Several lengths, a length that is not a number, or a transfer coding other than chunked.
    Length,
    /// A chunk's size or end is malformed.
    Chunk,
    /// The head is longer than the limit.
    HeadTooLong,
    /// There are more header fields than the limit.
    TooManyFields,
    /// The body is longer than the limit.
    BodyTooLong,
    /// The connection ended within a message.
    Truncated,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HttpError::StartLine => "start line is not HTTP/1.1",
            HttpError::Field => "malformed header field",
            HttpError::Length => "ambiguous or invalid body length",
            HttpError::Chunk => "malformed chunk",
            HttpError::HeadTooLong => "message head too long",
            HttpError::TooManyFields => "too many header fields",
            HttpError::BodyTooLong => "message body too long",
            HttpError::Truncated => "connection closed within a message",
        })
    }
}

impl std::error::Error for HttpError {}

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// A request: method and target.
    Request(String, String),
    /// A response: status code.
    Response(u16),
}

/// Header fields in their order; names are compared case-insensitively.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Returns the value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.0.iter().find(|(field_name, _)| field_name.eq_ignore_ascii_case(name));
        field.map(|(_, value)| &**value)
    }

    /// Returns the values of all fields with this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| &**value)
    }

    /// Adds a field. Characters that are not allowed in it, such as control characters and line ends, are
    /// removed.
    pub fn add(&mut self, name: &str, value: &str) {
        let name = name.chars().filter(|c| is_token(*c)).collect();
        let value = value.chars().filter(|c| !c.is_control()).collect();
        self.0.push((name, value));
    }

    /// Iterates over all fields as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (&**name, &**value))
    }

    /// Returns the number of fields.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Reports whether there are no fields.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Reports whether a character is allowed in a token (RFC 9110 section 5.6.2).
fn is_token(c: char) -> bool {
    c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c)
}

/// Parses a head without its closing empty line. Lines end with CR LF.
pub(crate) fn parse(head: &str, max_fields: usize) -> Result<(Start, Headers), HttpError> {
    let mut lines = head.split("\r\n");
    let start = start_line(lines.next().unwrap_or_default())?;
    let mut headers = Headers::default();
    for line in lines {
        if headers.len() == max_fields {
            return Err(HttpError::TooManyFields);
        }
        let (name, value) = line.split_once(':').ok_or(HttpError::Field)?;
        if name.is_empty() || !name.chars().all(is_token) {
            return Err(HttpError::Field);
        }
        let value = value.trim_matches([' ', '\t']);
        if value.chars().any(|c| c.is_control() && c != '\t') {
            return Err(HttpError::Field);
        }
        headers.0.push((name.to_owned(), value.to_owned()));
    }
    Ok((start, headers))
}

fn start_line(line: &str) -> Result<Start, HttpError> {
    let is_version = |text: &str| matches!(text, "HTTP/1.1" | "HTTP/1.0");
    if let Some(rest) = line.strip_prefix("HTTP/") {
        let version = line.get(..8).filter(|version| is_version(version));
        let status = rest.get(3..).and_then(|rest| rest.strip_prefix(' '));
        let digits = status.and_then(|status| status.get(..3)).ok_or(HttpError::StartLine)?;
        let reason = status.and_then(|status| status.get(3..)).unwrap_or_default();
        let is_valid = digits.bytes().all(|byte| byte.is_ascii_digit()) && digits >= "100";
        if version.is_none() || !is_valid || !(reason.is_empty() || reason.starts_with(' ')) {
            return Err(HttpError::StartLine);
        }
        if reason.chars().any(|c| c.is_control() && c != '\t') {
            return Err(HttpError::StartLine);
        }
        return digits.parse().map(Start::Response).map_err(|_| HttpError::StartLine);
    }
    let mut parts = line.split(' ');
    let (method, target, version) = (parts.next(), parts.next(), parts.next());
    let (Some(method), Some(target), Some(version), None) = (method, target, version, parts.next()) else {
        return Err(HttpError::StartLine);
    };
    let is_visible = |c: char| c.is_ascii_graphic();
    let is_valid = !method.is_empty()
        && method.chars().all(is_token)
        && !target.is_empty()
        && target.chars().all(is_visible)
        && is_version(version);
    match is_valid {
        true => Ok(Start::Request(method.to_owned(), target.to_owned())),
        false => Err(HttpError::StartLine),
    }
}
