//! Identifiers of leases and of the terms under which they are held.

use serde::{Deserialize, Serialize};

/// The identifier of a lease: the first four bytes of the hash of its name. Two leases with the
/// same identifier share a holder, which is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u32);

impl LeaseId {
    /// Returns the identifier of the lease with the given name.
    pub fn from_name(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let first_bytes = hash
            .as_bytes()
            .first_chunk::<4>()
            .copied()
            .unwrap_or_default();
        Self(u32::from_le_bytes(first_bytes))
    }
}

/// The term under which one process holds a lease. It is also the fencing token of commands under
/// the lease. Terms of a lease increase, no two processes have the same term, and no process has a
/// term twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    /// The number that increases from term to term.
    pub number: u64,
    /// The random identifier of the bidding process (incarnation), which distinguishes two
    /// processes that chose the same number.
    pub incarnation_id: u64,
}
