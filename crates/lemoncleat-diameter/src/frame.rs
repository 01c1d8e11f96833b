//! Splits a byte stream into messages.

use std::fmt;

use crate::message::HEADER_LEN;

/// A framing error after which the stream cannot be read further; the connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The version is not 1 (Result-Code 5011).
    Version(u8),
    /// The length is shorter than a header or not a multiple of four (Result-Code 5015).
    Length(usize),
    /// The length exceeds the limit (Result-Code 5015).
    TooLong {
        /// Length given in the header.
        length: usize,
        /// Maximum length allowed.
        limit: usize,
    },
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Version(version) => write!(f, "Diameter version {version}, expected 1"),
            FrameError::Length(length) => write!(f, "invalid message length {length}"),
            FrameError::TooLong { length, limit } => {
                write!(f, "message length {length} exceeds the limit of {limit}")
            }
        }
    }
}

impl std::error::Error for FrameError {}

/// Buffers the bytes of a connection and returns complete messages.
///
/// The version and length of a message are checked as soon as its first four bytes have arrived, so a frame
/// with an excessive length is never buffered.
#[derive(Debug)]
pub struct FrameReader {
    buffer: Vec<u8>,
    start: usize,
    limit: usize,
    failed: Option<FrameError>,
}

impl FrameReader {
    /// Creates a reader for messages of up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        FrameReader { buffer: Vec::new(), start: 0, limit: limit.max(HEADER_LEN), failed: None }
    }

    /// Appends received bytes. Call [`FrameReader::next_frame`] until it returns `None` before the next call.
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

    /// Returns the next complete message, if one is buffered.
    ///
    /// # Errors
    ///
    /// Fails if the stream is not valid Diameter; all later calls return the same error.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, FrameError> {
        if let Some(error) = self.failed {
            return Err(error);
        }
        let unread = self.buffer.get(self.start..).unwrap_or_default();
        let Some(&[version, a, b, c]) = unread.first_chunk::<4>() else { return Ok(None) };
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
        if unread.len() < length {
            return Ok(None);
        }
        let frame_start = self.start;
        self.start += length;
        Ok(self.buffer.get(frame_start..frame_start + length))
    }

    /// Returns the number of buffered bytes that do not form a complete message yet.
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.start
    }
}
