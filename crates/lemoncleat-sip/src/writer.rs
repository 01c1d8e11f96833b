//! Serialisation of messages.

use std::fmt::Write;

use crate::message::{Message, Method};

/// A message under construction.
#[derive(Clone, Debug)]
pub struct Builder {
    text: String,
}

/// Begins a request. The caller must ensure that the URI contains no spaces or line breaks.
pub fn request(method: Method, uri: &str) -> Builder {
    Builder { text: format!("{} {uri} SIP/2.0\r\n", method.as_str()) }
}

/// Begins a response to a request; `Via`, `From`, `To`, `Call-ID` and `CSeq` are copied from it (8.2.6.2).
pub fn response(code: u16, phrase: &str, request: &Message) -> Builder {
    let mut builder = Builder { text: format!("SIP/2.0 {code} {phrase}\r\n") };
    for (name, value) in request.headers() {
        if ["Via", "From", "To", "Call-ID", "CSeq"].iter().any(|copied| copied.eq_ignore_ascii_case(name)) {
            builder = builder.header(name, value);
        }
    }
    builder
}

/// Begins a response to input from which no request headers could be parsed.
pub fn refusal(code: u16, phrase: &str) -> Builder {
    Builder { text: format!("SIP/2.0 {code} {phrase}\r\n") }
}

impl Builder {
    /// Adds a header. Line breaks in the value are replaced by spaces.
    pub fn header(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        let line_start = self.text.len();
        // Writing to a String cannot fail.
        let _ = write!(self.text, "{name}: {value}");
        if self.text[line_start..].contains(['\r', '\n']) {
            let sanitized = self.text.split_off(line_start).replace(['\r', '\n'], " ");
            self.text.push_str(&sanitized);
        }
        self.text.push_str("\r\n");
        self
    }

    /// Completes the head with `Content-Length` and appends the body.
    pub fn finish(mut self, body: &[u8]) -> Vec<u8> {
        let _ = write!(self.text, "Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = self.text.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}
