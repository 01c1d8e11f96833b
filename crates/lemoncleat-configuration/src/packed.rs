//! Texts, their digests, and their packed form of bounded length.

use std::fmt;

use miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit};
use serde::{Deserialize, Serialize};

use crate::limits::{MAX_PACKED, MAX_TEXT};
use crate::plant::{self, Plant};

/// The BLAKE3 digest of a text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of bytes.
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

/// Identifies a version and its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The version number, starting at 1.
    pub number: u64,
    /// The digest of the text.
    pub digest: Digest,
    /// The length of the text in bytes.
    pub length: u32,
    /// The length of the packed text in bytes.
    pub packed: u32,
}

/// The reason why a text can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// The text is empty.
    Empty,
    /// The text is longer than 256 KiB, or than 48 KiB packed.
    TooLong(usize),
    /// The packed bytes can't be decoded to a text.
    Unreadable,
    /// The text does not match the digest of its version.
    WrongDigest,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unusable::Empty => write!(f, "the text is empty"),
            Unusable::TooLong(bytes) => {
                write!(f, "{bytes} bytes; at most {MAX_TEXT}, and {MAX_PACKED} packed with DEFLATE")
            }
            Unusable::Unreadable => write!(f, "the packed bytes can't be decoded to a text"),
            Unusable::WrongDigest => write!(f, "the text does not match its digest"),
        }
    }
}

impl std::error::Error for Unusable {}

/// Packs a text with DEFLATE (RFC 1951).
///
/// # Errors
///
/// If the text is empty or too long.
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

/// Unpacks a text. The output is limited to [`MAX_TEXT`] bytes, so that malicious input can't exhaust the
/// memory.
///
/// # Errors
///
/// If the bytes are too long, can't be decoded, or hold an empty or too long text.
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
    /// Creates the version of this number from its packed text.
    ///
    /// # Errors
    ///
    /// The same as for [`unpack`].
    pub fn of(number: u64, packed: &[u8]) -> Result<Version, Unusable> {
        let text = unpack(packed)?;
        let digest = Digest::of(text.as_bytes());
        Ok(Version { number, digest, length: text.len() as u32, packed: packed.len() as u32 })
    }

    /// Unpacks the text of this version and checks its digest.
    ///
    /// # Errors
    ///
    /// The same as for [`unpack`], and [`Unusable::WrongDigest`] if the digest differs.
    pub fn text(&self, packed: &[u8]) -> Result<String, Unusable> {
        let text = unpack(packed)?;
        if Digest::of(text.as_bytes()) != self.digest && !plant::is_active(Plant::WrongDigest) {
            return Err(Unusable::WrongDigest);
        }
        Ok(text)
    }
}
