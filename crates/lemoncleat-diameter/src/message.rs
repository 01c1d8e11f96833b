//! The message header (RFC 6733 section 3); reads messages in place and writes them.

use std::fmt;

use crate::avp::{put_avp, AvpRef, Avps};
use crate::dictionary::{self, Key};

/// Length of the header in bytes.
pub const HEADER_LEN: usize = 20;
/// The R bit: the message is a request.
pub const COMMAND_REQUEST: u8 = 0x80;
/// The P bit: the message may be proxied, relayed or redirected.
pub const COMMAND_PROXIABLE: u8 = 0x40;
/// The E bit: the answer reports a protocol error.
pub const COMMAND_ERROR: u8 = 0x20;
/// The T bit: this request may have been sent before.
pub const COMMAND_RETRANSMITTED: u8 = 0x10;

/// A message header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Protocol version, which must be 1.
    pub version: u8,
    /// Length of the whole message in bytes.
    pub length: usize,
    /// Command flags.
    pub flags: u8,
    /// Command code.
    pub command: u32,
    /// Application-Id.
    pub application: u32,
    /// Hop-by-Hop Identifier: matches an answer to its request on one connection.
    pub hop_by_hop: u32,
    /// End-to-End Identifier: identifies a request together with its origin host.
    pub end_to_end: u32,
}

impl Header {
    /// Returns whether the R bit is set.
    pub fn is_request(&self) -> bool {
        self.flags & COMMAND_REQUEST != 0
    }

    /// Returns whether the T bit is set.
    pub fn is_retransmitted(&self) -> bool {
        self.flags & COMMAND_RETRANSMITTED != 0
    }
}

/// Bytes that are not a complete message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// Fewer bytes than a header.
    Short(usize),
    /// The length in the header differs from the number of bytes, or is not a multiple of four.
    Length(usize),
}

impl fmt::Display for HeaderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeaderError::Short(len) => write!(f, "{len} bytes are too few for a Diameter header"),
            HeaderError::Length(len) => write!(f, "message length {len} does not match the number of bytes"),
        }
    }
}

impl std::error::Error for HeaderError {}

/// A borrowed view of a message in a buffer.
#[derive(Clone, Copy, Debug)]
pub struct MessageRef<'a> {
    /// The header.
    pub header: Header,
    /// The whole message, including the header.
    pub bytes: &'a [u8],
}

impl<'a> MessageRef<'a> {
    /// Parses the header; AVPs are parsed on access.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not exactly one complete message.
    pub fn parse(bytes: &'a [u8]) -> Result<Self, HeaderError> {
        let header: &[u8; HEADER_LEN] = bytes.first_chunk().ok_or(HeaderError::Short(bytes.len()))?;
        let word =
            |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
        let length = (word(0) & 0x00ff_ffff) as usize;
        if length != bytes.len() || !length.is_multiple_of(4) {
            return Err(HeaderError::Length(length));
        }
        let header = Header {
            version: header[0],
            length,
            flags: header[4],
            command: word(4) & 0x00ff_ffff,
            application: word(8),
            hop_by_hop: word(12),
            end_to_end: word(16),
        };
        Ok(MessageRef { header, bytes })
    }

    /// Returns an iterator over the AVPs in order.
    pub fn avps(&self) -> Avps<'a> {
        Avps::new(self.bytes.get(HEADER_LEN..).unwrap_or_default())
    }

    /// Returns the first AVP with this code and vendor.
    pub fn find(&self, key: Key) -> Option<AvpRef<'a>> {
        self.avps().find(key.code, key.vendor)
    }

    /// Returns the value of the first AVP with this code and vendor as text.
    pub fn text(&self, key: Key) -> Option<&'a str> {
        self.find(key)?.as_str()
    }

    /// Returns the value of the first AVP with this code and vendor as an Unsigned32.
    pub fn number(&self, key: Key) -> Option<u32> {
        self.find(key)?.as_u32()
    }

    /// Returns the Result-Code of an answer, or 0 if there is none.
    pub fn result_code(&self) -> u32 {
        self.number(dictionary::RESULT_CODE).unwrap_or(0)
    }
}

/// Builds a message.
#[derive(Clone, Debug)]
pub struct MessageBuilder {
    bytes: Vec<u8>,
}

impl MessageBuilder {
    /// Creates a message without AVPs.
    pub fn new(command: u32, application: u32, flags: u8, hop_by_hop: u32, end_to_end: u32) -> Self {
        let mut bytes = Vec::with_capacity(256);
        bytes.extend_from_slice(&(1u32 << 24).to_be_bytes());
        bytes.extend_from_slice(&((u32::from(flags) << 24) | (command & 0x00ff_ffff)).to_be_bytes());
        for word in [application, hop_by_hop, end_to_end] {
            bytes.extend_from_slice(&word.to_be_bytes());
        }
        MessageBuilder { bytes }
    }

    /// Reserves capacity for this many additional bytes.
    #[must_use]
    pub fn reserve(mut self, bytes: usize) -> Self {
        self.bytes.reserve(bytes);
        self
    }

    /// Creates a request without AVPs.
    pub fn request(
        command: u32,
        application: u32,
        proxiable: bool,
        hop_by_hop: u32,
        end_to_end: u32,
    ) -> Self {
        let flags = COMMAND_REQUEST | if proxiable { COMMAND_PROXIABLE } else { 0 };
        MessageBuilder::new(command, application, flags, hop_by_hop, end_to_end)
    }

    /// Creates the answer to a request: copies the identifiers and the P bit, sets the E bit for protocol
    /// errors (section 7.2), and copies the Session-Id as the first AVP (section 8.8) and the Proxy-Info
    /// (section 6.2).
    pub fn answer(request: &MessageRef<'_>, result: u32) -> Self {
        let header = request.header;
        let mut flags = header.flags & COMMAND_PROXIABLE;
        if crate::result_code::family(result) == crate::result_code::Family::Protocol {
            flags |= COMMAND_ERROR;
        }
        let mut answer = MessageBuilder::new(
            header.command,
            header.application,
            flags,
            header.hop_by_hop,
            header.end_to_end,
        );
        if let Some(session) = request.find(dictionary::SESSION_ID) {
            answer = answer.copy(&session);
        }
        answer = answer.add_u32(dictionary::RESULT_CODE, result);
        for avp in request.avps().map_while(Result::ok) {
            if avp.code == dictionary::PROXY_INFO.code && avp.vendor.is_none() {
                answer = answer.copy(&avp);
            }
        }
        answer
    }

    /// Adds an AVP with the flags that the dictionary defines for it.
    #[must_use]
    pub fn add(mut self, avp: Key, data: &[u8]) -> Self {
        put_avp(&mut self.bytes, avp.code, avp.vendor, avp.flags(), data);
        self
    }

    /// Adds an Unsigned32 or Enumerated AVP.
    #[must_use]
    pub fn add_u32(self, avp: Key, value: u32) -> Self {
        self.add(avp, &value.to_be_bytes())
    }

    /// Adds an AVP with a text value.
    #[must_use]
    pub fn add_str(self, avp: Key, value: &str) -> Self {
        self.add(avp, value.as_bytes())
    }

    /// Adds a copy of an AVP with its flags unchanged.
    #[must_use]
    pub fn copy(mut self, avp: &AvpRef<'_>) -> Self {
        put_avp(&mut self.bytes, avp.code, avp.vendor, avp.flags, avp.data);
        self
    }

    /// Sets or clears the T bit.
    #[must_use]
    pub fn retransmitted(mut self, on: bool) -> Self {
        self.bytes[4] = (self.bytes[4] & !COMMAND_RETRANSMITTED) | if on { COMMAND_RETRANSMITTED } else { 0 };
        self
    }

    /// Sets the length in the header and returns the encoded message.
    pub fn build(mut self) -> Vec<u8> {
        let word = (1u32 << 24) | (self.bytes.len() as u32 & 0x00ff_ffff);
        self.bytes[..4].copy_from_slice(&word.to_be_bytes());
        self.bytes
    }
}
