//! Cutting a byte stream into messages.

use std::fmt;

use crate::message::HEADER_LEN;

/// A stream that can't be cut any further; the connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The version is not 1 (Result-Code 5011).
    Version(u8),
    /// The length is below a header's or no multiple of four (Result-Code 5015).
    Length(usize),
    /// The length is above the limit (Result-Code 5015).
    TooLong {
        /// What the header says.
        length: usize,
        /// What is allowed.
        limit: usize,
    },
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Version(version) => write!(f, "Diameter version {version}, expected 1"),
            FrameError::Length(length) => write!(f, "message length {length} is impossible"),
            FrameError::TooLong { length, limit } => {
                write!(f, "message length {length} is above the limit of {limit}")
            }
        }
    }
}

impl std::error::Error for FrameError {}

/// Collects the bytes of a connection and hands out whole messages.
///
/// The header of a message is judged as soon as its first four bytes are there, so a frame that claims
/// too much never takes memory.
#[derive(Debug)]
pub struct FrameReader {
    buffer: Vec<u8>,
    start: usize,
    limit: usize,
    failed: Option<FrameError>,
}

impl FrameReader {
    /// A reader of messages of up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        FrameReader { buffer: Vec::new(), start: 0, limit: limit.max(HEADER_LEN), failed: None }
    }

    /// Takes bytes in. Call [`FrameReader::next_frame`] until it has no more before the next ones.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed.is_some() {
            return;
        }
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if there is one.
    ///
    /// # Errors
    ///
    /// When the stream is no Diameter; it stays so.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, FrameError> {
        if let Some(error) = self.failed {
            return Err(error);
        }
        let rest = self.buffer.get(self.start..).unwrap_or_default();
        let Some(&[version, a, b, c]) = rest.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes([0, a, b, c]) as usize;
        let error = if version != 1 {
            Some(FrameError::Version(version))
        } else if length < HEADER_LEN || !length.is_multiple_of(4) {
            Some(FrameError::Length(length))
        } else if length > self.limit {
            Some(FrameError::TooLong { length, limit: self.limit })
        } else {
            None
        };
        if let Some(error) = error {
            self.failed = Some(error);
            self.buffer = Vec::new();
            self.start = 0;
            return Err(error);
        }
        if rest.len() < length {
            return Ok(None);
        }
        let from = self.start;
        self.start += length;
        Ok(self.buffer.get(from..from + length))
    }

    /// Bytes held that are no whole message yet.
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.start
    }
}
