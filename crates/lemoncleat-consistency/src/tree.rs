//! A Merkle tree of digests.

use crate::version::Digest;

/// A Merkle tree with a power of two of leaves, stored as a heap: the root is number 1, the children of `n`
/// are `2n` and `2n + 1`, and the leaves are the second half.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tree {
    nodes: Vec<Digest>,
}

impl Tree {
    /// Builds the tree of these leaves, padded with zero digests to the next power of two.
    pub fn new(leaves: &[Digest]) -> Tree {
        let half = leaves.len().max(1).next_power_of_two();
        let mut nodes = vec![Digest::default(); half];
        nodes.extend_from_slice(leaves);
        nodes.resize(2 * half, Digest::default());
        for parent in (1..half).rev() {
            let mut hasher = blake3::Hasher::new_derive_key("lemoncleat tree 1");
            for child in nodes.iter().skip(2 * parent).take(2) {
                hasher.update(&child.0);
            }
            if let Some(node) = nodes.get_mut(parent) {
                *node = Digest(*hasher.finalize().as_bytes());
            }
        }
        Tree { nodes }
    }

    /// Returns the digest of all leaves.
    pub fn root(&self) -> Digest {
        self.node(1).unwrap_or_default()
    }

    /// Returns the digest of a node; `None` if there is no node with this number.
    pub fn node(&self, number: u32) -> Option<Digest> {
        self.nodes.get(number as usize).copied()
    }

    /// Returns the index of the leaf that a node is; `None` if it is not a leaf.
    pub fn leaf(&self, number: u32) -> Option<usize> {
        let half = self.nodes.len() / 2;
        (number as usize).checked_sub(half).filter(|&leaf| leaf < half)
    }
}
