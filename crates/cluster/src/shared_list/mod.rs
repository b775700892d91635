//! The endpoint list of a zone, which the holder of the lease `roster/ZONE` polls from discovery
//! and publishes to the other members of the zone, the subscribers.
//!
//! The holder publishes each update from discovery as a numbered page, split into chunks.
//! Subscribers apply the pages in order. A subscriber that misses chunks of a page requests them,
//! or the full list. A heartbeat contains the number of the last page and whether the holder's
//! watch is open. A subscriber without a valid heartbeat for [`HEARTBEAT_TIMEOUT_US`] polls
//! discovery itself.
//!
//! The age of a subscriber's list is at most the time since the last valid heartbeat plus the delay
//! that the holder's own watch allows. A heartbeat confirms that the watch is open and that no
//! later page was published before the heartbeat was sent, and it is valid only if all pages up to
//! that one have been applied.

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
/// The interval between two heartbeats of the holder.
pub const HEARTBEAT_INTERVAL_US: Micros = 400_000;
/// A subscriber polls discovery itself if no valid heartbeat has arrived for this long.
pub const HEARTBEAT_TIMEOUT_US: Micros = 3_000_000;
/// How long a holder that sent an invalid list is ignored.
pub const REJECTION_PERIOD_US: Micros = 30_000_000;

/// A chunk of a page. Fields are encoded by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The number of the page.
    pub page: u32,
    /// Whether the page is a full list, which replaces all pages before it.
    pub is_full: bool,
    /// The version of the list as assigned by discovery.
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
    /// A confirmation that the list is up to date.
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

    /// Decodes a message, or returns `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// A request of a subscriber to the holder. Fields and variants are encoded by their order.
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
    /// The current full list.
    FullList,
}

impl ListRequest {
    /// Encodes the request.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// Decodes a request, or returns `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
