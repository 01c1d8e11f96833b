//! Complete messages and their serialization.

use crate::head::{Headers, Start};

/// A message with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Start line.
    pub start: Start,
    /// Header fields.
    pub headers: Headers,
    /// Body, with the transfer coding removed.
    pub body: Vec<u8>,
}

impl Message {
    /// Creates a request to a host for a target (path and query).
    pub fn request(method: &str, host: &str, target: &str) -> Message {
        let mut headers = Headers::default();
        headers.add("Host", host);
        let start = Start::Request(method.to_owned(), target.to_owned());
        Message { start, headers, body: Vec::new() }
    }

    /// Creates a response with a status code.
    pub fn response(status: u16) -> Message {
        Message { start: Start::Response(status), headers: Headers::default(), body: Vec::new() }
    }

    /// Adds a header field.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Message {
        self.headers.add(name, value);
        self
    }

    /// Sets the body and its media type.
    #[must_use]
    pub fn with_body(mut self, media_type: &str, body: impl Into<Vec<u8>>) -> Message {
        self.headers.add("Content-Type", media_type);
        self.body = body.into();
        self
    }

    /// Returns the status code of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        match self.start {
            Start::Response(status) => status,
            Start::Request(..) => 0,
        }
    }

    /// Returns the method and the path, without the query, of a request.
    pub fn path(&self) -> Option<(&str, &str)> {
        match &self.start {
            Start::Request(method, target) => {
                Some((method, target.split(['?', '#']).next().unwrap_or_default()))
            }
            Start::Response(_) => None,
        }
    }

    /// Serializes the message. A Content-Length is added wherever one is allowed (not with 1xx and 204, RFC
    /// 9110 section 8.6).
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = match &self.start {
            Start::Request(method, target) => format!("{method} {target} HTTP/1.1\r\n"),
            Start::Response(status) => format!("HTTP/1.1 {status} {}\r\n", reason(*status)),
        };
        for (name, value) in self.headers.iter() {
            out += &format!("{name}: {value}\r\n");
        }
        let without_length = match &self.start {
            Start::Response(status) => *status < 200 || *status == 204,
            Start::Request(method, _) => self.body.is_empty() && matches!(&**method, "GET" | "HEAD"),
        };
        if !without_length && self.headers.get("Content-Length").is_none() {
            out += &format!("Content-Length: {}\r\n", self.body.len());
        }
        out += "\r\n";
        let mut out = out.into_bytes();
        out.extend_from_slice(&self.body);
        out
    }
}

/// Returns the usual reason phrase of a status code; receivers ignore it.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
