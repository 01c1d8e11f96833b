//! Messages into bytes.

use std::fmt::Write;

use crate::message::{Message, Method};

/// A message being written.
#[derive(Clone, Debug)]
pub struct Builder {
    text: String,
}

/// Begins a request. The caller vouches for the address: a token without spaces or line ends.
pub fn request(method: Method, uri: &str) -> Builder {
    Builder { text: format!("{} {uri} SIP/2.0\r\n", method.as_str()) }
}

/// Begins a response to a request: `Via`, `From`, `To`, `Call-ID` and `CSeq` are the request's (8.2.6.2).
pub fn response(code: u16, phrase: &str, to: &Message) -> Builder {
    let mut builder = Builder { text: format!("SIP/2.0 {code} {phrase}\r\n") };
    for (name, value) in to.headers() {
        if ["Via", "From", "To", "Call-ID", "CSeq"].iter().any(|copied| copied.eq_ignore_ascii_case(name)) {
            builder = builder.header(name, value);
        }
    }
    builder
}

/// Begins a response to something of which nothing could be read.
pub fn refusal(code: u16, phrase: &str) -> Builder {
    Builder { text: format!("SIP/2.0 {code} {phrase}\r\n") }
}

impl Builder {
    /// Adds a header. What would end the line is left out of the value.
    pub fn header(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        let from = self.text.len();
        // Writing to a String cannot fail.
        let _ = write!(self.text, "{name}: {value}");
        if self.text[from..].contains(['\r', '\n']) {
            let clean = self.text.split_off(from).replace(['\r', '\n'], " ");
            self.text.push_str(&clean);
        }
        self.text.push_str("\r\n");
        self
    }

    /// Ends the head with the body's length, and adds the body.
    pub fn finish(mut self, body: &[u8]) -> Vec<u8> {
        let _ = write!(self.text, "Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = self.text.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}
