//! Identifiers of leases and of the terms under which they are held.

use serde::{Deserialize, Serialize};

/// The identifier of a lease: the head of the hash of its name. Two names with one identifier share
/// a holder, which is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u32);

impl LeaseId {
    /// The identifier of the lease with that name.
    pub fn from_name(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let head = hash
            .as_bytes()
            .first_chunk::<4>()
            .copied()
            .unwrap_or_default();
        Self(u32::from_le_bytes(head))
    }
}

/// The term under which one process holds a lease; it is also the fencing token of its commands.
/// Terms of a lease increase, no two processes have the same one, and no process has one twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    /// The number that increases from term to term.
    pub number: u64,
    /// The random identifier of the bidding process (incarnation), which tells apart two that chose
    /// one number.
    pub incarnation_id: u64,
}
