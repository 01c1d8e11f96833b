//! SIP messages as the protocol page uses them: reading from a stream, and building.

use std::io::{self, Read};
use std::net::TcpStream;

#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    /// The method of a request; empty for a response.
    pub fn method(&self) -> &str {
        if self.start.starts_with("SIP/2.0 ") {
            ""
        } else {
            self.start.split(' ').next().unwrap_or("")
        }
    }

    /// The status code of a response; 0 for a request.
    pub fn code(&self) -> u16 {
        let code = self.start.strip_prefix("SIP/2.0 ").and_then(|rest| rest.get(..3));
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> String {
        self.header("Call-ID").to_owned()
    }

    pub fn cseq_method(&self) -> &str {
        self.header("CSeq").split_whitespace().nth(1).unwrap_or("")
    }

    pub fn cause(&self) -> u16 {
        let reason = self.header("Reason");
        reason
            .split([';', ' '])
            .find_map(|part| part.strip_prefix("cause="))
            .and_then(|c| c.parse().ok())
            .unwrap_or(0)
    }
}

/// Collects bytes of a stream and cuts them into messages.
#[derive(Default)]
pub struct Reader {
    buffer: Vec<u8>,
}

impl Reader {
    /// Reads once from the stream. `Ok(false)` means the other side has closed it.
    pub fn fill(&mut self, stream: &mut TcpStream) -> io::Result<bool> {
        let mut piece = [0; 16 * 1024];
        match stream.read(&mut piece) {
            Ok(0) => Ok(false),
            Ok(count) => {
                self.buffer.extend_from_slice(&piece[..count]);
                Ok(true)
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Ok(true)
            }
            Err(error) => Err(error),
        }
    }

    pub fn next(&mut self) -> Option<Message> {
        let end = self.buffer.windows(4).position(|window| window == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message { start, headers, body: Vec::new() };
        let length: usize = message.header("Content-Length").parse().unwrap_or(0);
        if self.buffer.len() < end + 4 + length {
            return None;
        }
        message.body = self.buffer[end + 4..end + 4 + length].to_vec();
        self.buffer.drain(..end + 4 + length);
        Some(message)
    }
}

/// Builds a request about a call.
pub fn request(method: &str, user: &str, id: &str, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!(
        "{method} sip:{user}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: 1 {method}\r\n"
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

/// Builds the response to a request.
pub fn response(code: u16, phrase: &str, to: &Message, extra: &str, body: &str) -> Vec<u8> {
    let mut text = format!("SIP/2.0 {code} {phrase}\r\n");
    for (name, value) in &to.headers {
        if ["via", "from", "to", "call-id", "cseq"].contains(&name.to_ascii_lowercase().as_str()) {
            text += &format!("{name}: {value}\r\n");
        }
    }
    text += &format!("{extra}Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}
