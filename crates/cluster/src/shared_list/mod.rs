//! The endpoint list of a zone, polled from discovery by the holder of the lease `roster/ZONE` and
//! passed on to the other members of the zone.
//!
//! The holder follows discovery and cuts what it reports into numbered pages, which the others
//! apply in order. Whoever misses chunks of a page requests them, or the full list. A heartbeat
//! tells the number of the last page and that the holder's watch is open; without one for
//! [`HEARTBEAT_TIMEOUT_US`] a subscriber polls discovery itself.
//!
//! A subscriber's list is at most as old as the last heartbeat it counted plus what the holder's
//! own watch allows: a heartbeat says that the watch is open and that no later page was made before
//! it was sent, and it counts only when all pages up to that one have been applied.

pub mod publisher;
pub mod subscriber;

use serde::{Deserialize, Serialize};

use crate::Micros;

#[cfg(test)]
mod tests;

/// The largest number of bytes of a page in one message.
pub const MAX_CHUNK_BYTES: usize = 560;
/// The largest number of chunks of a page, enough for some thousand endpoints.
pub const MAX_CHUNKS: u16 = 4_096;
/// How often the holder sends a heartbeat.
pub const HEARTBEAT_INTERVAL_US: Micros = 400_000;
/// Without a counting heartbeat for this long, a subscriber polls discovery itself.
pub const HEARTBEAT_TIMEOUT_US: Micros = 3_000_000;
/// How long a holder that sent an impossible list is ignored.
pub const REJECTION_PERIOD_US: Micros = 30_000_000;

/// A chunk of a page. Fields are encoded by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The number of the page.
    pub page: u32,
    /// Whether the page is a full list, which replaces all pages up to its own.
    pub is_full: bool,
    /// The version that discovery gave the list.
    pub version: u64,
    /// The index of the chunk.
    pub index: u16,
    /// The number of chunks of the page.
    pub count: u16,
    /// The bytes of the chunk.
    pub bytes: Vec<u8>,
}

/// A message of the holder, sent as a command under its term. Fields and variants are encoded by
/// their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListMessage {
    /// A chunk of a page.
    Chunk(Chunk),
    /// A sign that the list is up to date.
    Heartbeat {
        /// The number of the last page.
        page: u32,
        /// Whether the holder's watch on discovery is open.
        is_watching: bool,
    },
}

impl ListMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// Decodes a message; nothing if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// What a subscriber requests of the holder. Fields and variants are encoded by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListRequest {
    /// Chunks of a page.
    Chunks {
        /// The number of the page.
        page: u32,
        /// Whether the page is a full list.
        is_full: bool,
        /// The indices of the chunks.
        indices: Vec<u16>,
    },
    /// The full list as it is now.
    FullList,
}

impl ListRequest {
    /// Encodes the request.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// Decodes a request; nothing if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
