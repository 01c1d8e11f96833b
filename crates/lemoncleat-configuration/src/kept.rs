//! The copy of the settled version that a node keeps on its disk.

use serde::{Deserialize, Serialize};

use crate::packed::{Digest, Version};
use crate::plant::{self, Plant};

/// The format's first byte; a later format has another.
const FORMAT: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Kept {
    pub step: u64,
    pub version: Version,
    pub packed: Vec<u8>,
}

impl Kept {
    /// The format, the digest of the rest, the rest.
    pub fn to_bytes(&self) -> Vec<u8> {
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = vec![FORMAT];
        bytes.extend_from_slice(&Digest::of(&body).0);
        bytes.extend_from_slice(&body);
        bytes
    }

    pub fn read(bytes: &[u8]) -> Result<Kept, &'static str> {
        let (head, body) = bytes.split_at_checked(33).ok_or("it is cut short")?;
        if head.first() != Some(&FORMAT) {
            return Err("it is of another format");
        }
        let torn = head.get(1..) != Some(&Digest::of(body).0[..]);
        if torn && !plant::is(Plant::TornCopy) {
            return Err("it is torn: its digest is wrong");
        }
        let kept: Kept = postcard::from_bytes(body).map_err(|_| "it can't be read")?;
        kept.version.text(&kept.packed).map_err(|_| "its text is not the one that it names")?;
        Ok(kept)
    }
}
