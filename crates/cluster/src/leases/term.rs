//! What names a duty and one's turn at it.

use serde::{Deserialize, Serialize};

/// A duty's number: the head of its name's hash. Two names with one number share a holder, which does no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u32);

impl LeaseId {
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let head = hash
            .as_bytes()
            .first_chunk::<4>()
            .copied()
            .unwrap_or_default();
        Self(u32::from_le_bytes(head))
    }
}

/// One's turn at a duty. They rise; no two processes ever have the same, and none has one twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    pub number: u64,
    /// Chance of the life that claimed it, so that two that chose one number are told apart.
    pub incarnation: u64,
}
