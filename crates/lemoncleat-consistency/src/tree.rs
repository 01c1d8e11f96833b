//! Digests in a Merkle tree.

use crate::version::Digest;

/// A Merkle tree over a power of two of leaves, as a heap: the root is number 1, the children of `n` are `2n` and
/// `2n + 1`, the leaves are the last half.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tree {
    nodes: Vec<Digest>,
}

impl Tree {
    /// The tree of these leaves; missing ones up to the next power of two are zero.
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

    /// The digest of all leaves.
    pub fn root(&self) -> Digest {
        self.node(1).unwrap_or_default()
    }

    /// The digest of a node, if there is one of this number.
    pub fn node(&self, number: u32) -> Option<Digest> {
        self.nodes.get(number as usize).copied()
    }

    /// Which leaf a node is, if it is one.
    pub fn leaf(&self, number: u32) -> Option<usize> {
        let half = self.nodes.len() / 2;
        (number as usize).checked_sub(half).filter(|&leaf| leaf < half)
    }
}
