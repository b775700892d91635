//! The list of upstreams asked for by one balancer of a zone and passed on to the others: the duty `roster/ZONE`.
//!
//! Its holder follows discovery and cuts what that says into numbered pages, which all others take in order. Whoever
//! misses one asks for it, or for the whole list as it stands. A beat every so often tells the last page, and that the
//! watch goes on; where none comes for [`STALE`], a reader asks discovery for itself again, as it would without.
//!
//! What a reader holds is at most as old as the last beat it took plus what the holder's own watch allows: a beat says
//! that the holder's watch is open and that no later page was made before it was sent, and it counts only when all
//! pages up to that one were taken.

pub mod publisher;
pub mod subscriber;

use serde::{Deserialize, Serialize};

use crate::Micros;

#[cfg(test)]
mod tests;

/// Bytes of a page in one frame.
pub const MAX_CHUNK_BYTES: usize = 560;
/// Parts of one page at most: some thousand upstreams.
pub const MAX_CHUNKS: u16 = 4_096;
/// How often a holder tells that it goes on.
pub const HEARTBEAT_INTERVAL: Micros = 400_000;
/// Without a beat that counts for so long a reader asks for itself.
pub const HEARTBEAT_TIMEOUT: Micros = 3_000_000;
/// How long a holder that told what can't be is passed over.
pub const DISTRUST_PERIOD: Micros = 30_000_000;

/// What is said under the duty's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListMessage {
    /// One part of a page. A whole list stands for all pages up to its own.
    Chunk {
        page: u32,
        whole: bool,
        version: u64,
        part: u16,
        of: u16,
        bytes: Vec<u8>,
    },
    /// The last page, and whether the holder's watch is open.
    Heartbeat { page: u32, follows: bool },
}

impl ListMessage {
    pub fn bytes(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

impl ListRequest {
    pub fn bytes(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// What a reader asks of the holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListRequest {
    /// These parts of a page, or of the whole list as it stood with it.
    Chunks {
        page: u32,
        whole: bool,
        parts: Vec<u16>,
    },
    /// The whole list as it stands.
    FullList,
}
