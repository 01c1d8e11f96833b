//! The copy of the settled version that a node saves on disk.

use serde::{Deserialize, Serialize};

use crate::packed::{Digest, Version};
use crate::plant::{self, Plant};

/// The first byte of a saved copy. It changes with the format.
const FORMAT: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SavedCopy {
    pub step: u64,
    pub version: Version,
    pub packed: Vec<u8>,
}

impl SavedCopy {
    /// Encodes the format byte, the digest of the body and the body.
    pub fn to_bytes(&self) -> Vec<u8> {
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = vec![FORMAT];
        bytes.extend_from_slice(&Digest::of(&body).0);
        bytes.extend_from_slice(&body);
        bytes
    }

    pub fn read(bytes: &[u8]) -> Result<SavedCopy, &'static str> {
        let (head, body) = bytes.split_at_checked(33).ok_or("it is truncated")?;
        if head.first() != Some(&FORMAT) {
            return Err("its format is unknown");
        }
        let corrupt = head.get(1..) != Some(&Digest::of(body).0[..]);
        if corrupt && !plant::is_active(Plant::AcceptTornCopy) {
            return Err("it is corrupt: its digest does not match");
        }
        let saved: SavedCopy = postcard::from_bytes(body).map_err(|_| "it can't be read")?;
        saved.version.text(&saved.packed).map_err(|_| "its text does not match its version")?;
        Ok(saved)
    }
}
