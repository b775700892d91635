//! The list of upstreams asked for by one balancer of a zone and passed on to the others: the duty `roster/ZONE`.
//!
//! Its holder follows discovery and cuts what that says into numbered pages, which all others take in order. Whoever
//! misses one asks for it, or for the whole list as it stands. A beat every so often tells the last page, and that the
//! watch goes on; where none comes for [`STALE`], a reader asks discovery for itself again, as it would without.
//!
//! What a reader holds is at most as old as the last beat it took plus what the holder's own watch allows: a beat says
//! that the holder's watch is open and that no later page was made before it was sent, and it counts only when all
//! pages up to that one were taken.

pub mod editor;
pub mod reader;

use serde::{Deserialize, Serialize};

use crate::Micros;

#[cfg(test)]
mod tests;

/// Bytes of a page in one frame.
pub const PART: usize = 560;
/// Parts of one page at most: some thousand upstreams.
pub const PARTS_MOST: u16 = 4_096;
/// How often a holder tells that it goes on.
pub const BEATS_APART: Micros = 400_000;
/// Without a beat that counts for so long a reader asks for itself.
pub const STALE: Micros = 3_000_000;
/// How long a holder that told what can't be is passed over.
pub const DISTRUST: Micros = 30_000_000;

/// What is said under the duty's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterSaid {
    /// One part of a page. A whole list stands for all pages up to its own.
    Part {
        page: u32,
        whole: bool,
        version: u64,
        part: u16,
        of: u16,
        bytes: Vec<u8>,
    },
    /// The last page, and whether the holder's watch is open.
    Beat { page: u32, follows: bool },
}

impl RosterSaid {
    pub fn bytes(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

impl RosterWants {
    pub fn bytes(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// What a reader asks of the holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterWants {
    /// These parts of a page, or of the whole list as it stood with it.
    Parts {
        page: u32,
        whole: bool,
        parts: Vec<u16>,
    },
    /// The whole list as it stands.
    Whole,
}
