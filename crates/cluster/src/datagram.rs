//! Encoding and authentication of datagrams. The contents of a datagram are decoded only after its
//! keyed hash has been checked. Rejected datagrams are counted by reason.

mod replay_filter;

use serde::{Deserialize, Serialize};

use crate::Incarnation;
use crate::messages::{MemberRecord, Message, PROTOCOL_VERSION};

pub use replay_filter::ReplayFilter;

/// The largest datagram, which crosses any network without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The shortest accepted key; a shorter one could be guessed.
pub const MIN_KEY_BYTES: usize = 16;
/// The length of the keyed hash at the head of a datagram.
const HASH_BYTES: usize = 32;
/// The length of the protocol version, which follows the keyed hash.
const VERSION_BYTES: usize = 1;
/// The context of the key derivation, which makes the derived key useless for any other purpose.
const KEY_CONTEXT: &str = "pinefront accord datagrams 1";
/// The oldest protocol version that is accepted.
const MIN_READ_VERSION: u8 = 1;

/// The secret that all members of a fleet share. It is never printed.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// The error for a key file with too few bytes.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("key has {0} bytes: expected at least {MIN_KEY_BYTES}")]
pub struct KeyTooShort(usize);

impl Key {
    /// Derives the key from the bytes of a key file without leading and trailing white space.
    ///
    /// # Errors
    ///
    /// Returns an error if fewer than [`MIN_KEY_BYTES`] remain.
    pub fn new(bytes: &[u8]) -> Result<Self, KeyTooShort> {
        let bytes = bytes.trim_ascii();
        if bytes.len() >= MIN_KEY_BYTES {
            Ok(Self(blake3::derive_key(KEY_CONTEXT, bytes)))
        } else {
            Err(KeyTooShort(bytes.len()))
        }
    }
}

/// The contents of a datagram.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The name of the sender's fleet.
    pub fleet: String,
    /// The name of the sender.
    pub sender: String,
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// The sender's refutation counter.
    pub refutation_counter: u64,
    /// The sequence number, which increases with each datagram of the process.
    pub sequence_number: u64,
    /// The message.
    pub message: Message,
    /// The records of members, the sender's own first.
    pub records: Vec<MemberRecord>,
}

/// The reason why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`] or shorter than a hash.
    Size,
    /// The keyed hash does not match: the sender has another key, or the datagram was corrupted or
    /// truncated.
    Hash,
    /// The protocol version is not accepted.
    Version,
    /// The datagram cannot be decoded, or contains invalid names.
    #[serde(rename = "form")]
    Malformed,
    /// The sender belongs to another fleet that has the same key.
    #[serde(rename = "fleet")]
    ForeignFleet,
    /// The sequence number was received before or is too old.
    Replayed,
    /// The sender has been superseded by a later process of the same name.
    #[serde(rename = "old")]
    OldIncarnation,
    /// The member table is full.
    #[serde(rename = "full")]
    TableFull,
    /// The datagram was sent by this process itself.
    #[serde(rename = "own")]
    OwnDatagram,
}

/// Encodes a datagram and prepends its keyed hash. Returns `None` if it would be longer than
/// [`MAX_DATAGRAM_BYTES`].
pub fn seal(key: &Key, datagram: &Datagram) -> Option<Vec<u8>> {
    let mut bytes = vec![0; HASH_BYTES];
    bytes.push(PROTOCOL_VERSION);
    let mut bytes = postcard::to_extend(datagram, bytes).ok()?;
    let hash = blake3::keyed_hash(&key.0, &bytes[HASH_BYTES..]);
    bytes[..HASH_BYTES].copy_from_slice(hash.as_bytes());
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// The length of a sealed datagram in bytes.
pub fn sealed_length(datagram: &Datagram) -> usize {
    let body = postcard::to_stdvec(datagram).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
    HASH_BYTES + VERSION_BYTES + body
}

/// Verifies and decodes a sealed datagram of the given fleet.
///
/// # Errors
///
/// Returns the reason if the datagram is rejected.
pub fn open(key: &Key, fleet: &str, bytes: &[u8]) -> Result<Datagram, DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::Size);
    }
    let (hash, sealed) = bytes
        .split_first_chunk::<HASH_BYTES>()
        .ok_or(DropReason::Size)?;
    // `blake3::Hash` compares in constant time.
    if blake3::keyed_hash(&key.0, sealed) != blake3::Hash::from(*hash) {
        return Err(DropReason::Hash);
    }
    let (version, body) = sealed.split_first().ok_or(DropReason::Malformed)?;
    if !(MIN_READ_VERSION..=PROTOCOL_VERSION).contains(version) {
        return Err(DropReason::Version);
    }
    let (datagram, trailing): (Datagram, &[u8]) =
        postcard::take_from_bytes(body).map_err(|_| DropReason::Malformed)?;
    let is_well_formed = datagram.records.iter().all(MemberRecord::is_well_formed);
    if !trailing.is_empty() || !is_well_formed {
        return Err(DropReason::Malformed);
    }
    if datagram.fleet != fleet {
        return Err(DropReason::ForeignFleet);
    }
    Ok(datagram)
}

#[cfg(test)]
mod tests;
