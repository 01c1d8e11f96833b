//! A text, its digest, and its packed form within bounds.

use std::fmt;

use miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit};
use serde::{Deserialize, Serialize};

use crate::limits::{MAX_PACKED, MAX_TEXT};
use crate::plant::{self, Plant};

/// The BLAKE3 digest of a text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// The digest of bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(4).try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Names a version and tells its text from any other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Its number, from 1 on.
    pub number: u64,
    /// The digest of its text.
    pub digest: Digest,
    /// Bytes of its text.
    pub length: u32,
    /// Bytes of its packed text.
    pub packed: u32,
}

/// Why a text can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// No text at all.
    Empty,
    /// More than 256 KiB, or more than 48 KiB packed.
    TooLong(usize),
    /// Packed bytes that hold no text.
    Unreadable,
    /// Another text than the one asked for.
    WrongDigest,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unusable::Empty => write!(f, "an empty text"),
            Unusable::TooLong(bytes) => {
                write!(f, "{bytes} bytes; at most {MAX_TEXT}, and {MAX_PACKED} packed with DEFLATE")
            }
            Unusable::Unreadable => write!(f, "bytes that hold no text"),
            Unusable::WrongDigest => write!(f, "another text than its digest says"),
        }
    }
}

impl std::error::Error for Unusable {}

/// Packs a text with DEFLATE (RFC 1951).
///
/// # Errors
///
/// When it is empty or too long.
pub fn pack(text: &str) -> Result<Vec<u8>, Unusable> {
    if text.is_empty() {
        return Err(Unusable::Empty);
    }
    if text.len() > MAX_TEXT {
        return Err(Unusable::TooLong(text.len()));
    }
    let packed = compress_to_vec(text.as_bytes(), 9);
    if packed.len() > MAX_PACKED {
        return Err(Unusable::TooLong(packed.len()));
    }
    Ok(packed)
}

/// The text of packed bytes. Takes no more memory than the longest text, whatever they say.
///
/// # Errors
///
/// When they are too long, hold no text or more than the longest.
pub fn unpack(packed: &[u8]) -> Result<String, Unusable> {
    if packed.len() > MAX_PACKED {
        return Err(Unusable::TooLong(packed.len()));
    }
    let bytes = decompress_to_vec_with_limit(packed, MAX_TEXT).map_err(|_| Unusable::Unreadable)?;
    let text = String::from_utf8(bytes).map_err(|_| Unusable::Unreadable)?;
    if text.is_empty() {
        return Err(Unusable::Empty);
    }
    Ok(text)
}

impl Version {
    /// The version of this number that packed bytes hold.
    ///
    /// # Errors
    ///
    /// As [`unpack`].
    pub fn of(number: u64, packed: &[u8]) -> Result<Version, Unusable> {
        let text = unpack(packed)?;
        let digest = Digest::of(text.as_bytes());
        Ok(Version { number, digest, length: text.len() as u32, packed: packed.len() as u32 })
    }

    /// The text of this version out of packed bytes.
    ///
    /// # Errors
    ///
    /// As [`unpack`], and when it is another's.
    pub fn text(&self, packed: &[u8]) -> Result<String, Unusable> {
        let text = unpack(packed)?;
        if Digest::of(text.as_bytes()) != self.digest && !plant::is(Plant::WrongDigest) {
            return Err(Unusable::WrongDigest);
        }
        Ok(text)
    }
}
