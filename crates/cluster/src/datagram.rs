//! Datagrams and how they are sealed. Nothing of a datagram is read before its keyed hash has been
//! checked; datagrams that are not accepted are counted by reason.

mod replay_filter;

use serde::{Deserialize, Serialize};

use crate::Incarnation;
use crate::messages::{MemberRecord, Message, PROTOCOL_VERSION};

pub use replay_filter::ReplayFilter;

/// The largest datagram, which passes any network without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The shortest key; a shorter one could be guessed.
pub const MIN_KEY_BYTES: usize = 16;
/// The length of the keyed hash at the head of a datagram.
const HASH_BYTES: usize = 32;
/// The length of the version that follows it.
const VERSION_BYTES: usize = 1;
/// The context of the key derivation: the derived key is of no use elsewhere.
const KEY_CONTEXT: &str = "pinefront accord datagrams 1";
/// The oldest protocol version that is read.
const MIN_READ_VERSION: u8 = 1;

/// The secret that all members of a fleet share. It is never printed.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// A key file with too few bytes.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the key has {0} bytes; {MIN_KEY_BYTES} are the fewest")]
pub struct KeyTooShort(usize);

impl Key {
    /// Derives the key from the bytes of a key file without leading and trailing white space.
    ///
    /// # Errors
    ///
    /// Fails if fewer than [`MIN_KEY_BYTES`] are left.
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
    /// The fleet of the sender.
    pub fleet: String,
    /// The name of the sender.
    pub sender: String,
    /// The process of the sender.
    pub incarnation: Incarnation,
    /// The sender's refutation counter.
    pub refutation_counter: u64,
    /// Increases with each datagram of the process.
    pub sequence_number: u64,
    /// The message.
    pub message: Message,
    /// Records of members, the sender's own first.
    pub records: Vec<MemberRecord>,
}

/// Why a datagram was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// Longer than [`MAX_DATAGRAM_BYTES`] or shorter than a hash.
    Size,
    /// The keyed hash is wrong: another key, corrupted, or truncated.
    Hash,
    /// A protocol version that is not read.
    Version,
    /// It cannot be decoded, or holds invalid names.
    #[serde(rename = "form")]
    Malformed,
    /// From another fleet with the same key.
    #[serde(rename = "fleet")]
    ForeignFleet,
    /// Its sequence number was seen before or is too old.
    Replayed,
    /// From a process that a later one of the same name has superseded.
    #[serde(rename = "old")]
    OldIncarnation,
    /// The member table is full.
    #[serde(rename = "full")]
    TableFull,
    /// Sent by this process itself.
    #[serde(rename = "own")]
    OwnDatagram,
}

/// Encodes and seals a datagram. Returns nothing if it would be longer than [`MAX_DATAGRAM_BYTES`].
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

/// Opens a sealed datagram of a fleet.
///
/// # Errors
///
/// Fails with the reason why it is not accepted.
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
