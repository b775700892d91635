//! What each datagram is sealed in. Nothing of a datagram is looked at before its keyed hash is right; what is not
//! taken is counted by cause.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::messages::{MemberRecord, Message};

/// Bytes of a datagram at most: what passes any way without being cut in pieces.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes of the keyed hash at the head of a datagram.
const HASH: usize = 32;
/// What the key is derived for: a key that serves elsewhere too gives away nothing here.
const CONTEXT: &str = "pinefront accord datagrams 1";
/// Shortest key: fewer bytes can be guessed.
pub const MIN_KEY_BYTES: usize = 16;
/// The version spoken, and the first that is still read. There was none before the first.
pub const VERSION: u8 = 1;
const READ_FROM: u8 = 1;
/// Datagrams of one process that may overtake one another; what comes later still is passed over.
const REPLAY_WINDOW_LENGTH: u64 = 128;
/// Processes whose counters are kept; members are fewer.
const MAX_REPLAY_WINDOWS: usize = 4_096;

/// A secret that all members share. It is never printed.
#[derive(Clone)]
pub struct Key([u8; 32]);

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the key has {0} bytes; {MIN_KEY_BYTES} are the fewest")]
pub struct KeyTooShort(usize);

impl Key {
    /// Takes the bytes of a key file; blanks at its ends are not part of it.
    pub fn new(bytes: &[u8]) -> Result<Self, KeyTooShort> {
        let bytes = bytes.trim_ascii();
        match bytes.len() >= MIN_KEY_BYTES {
            true => Ok(Self(blake3::derive_key(CONTEXT, bytes))),
            false => Err(KeyTooShort(bytes.len())),
        }
    }
}

/// Who a process is: a name that outlives it, and which of all processes of that name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// When it began, Unix time in microseconds by its own clock, which may be wrong.
    pub started_at_us: u64,
    /// Chance, so that two that began at once are told apart.
    pub random_id: u64,
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}-{:016x}", self.started_at_us, self.random_id)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("is no life as /fleet shows it, such as 1878a0c41c8c0-00c0ffee00c0ffee")]
pub struct InvalidIncarnation;

impl std::str::FromStr for Incarnation {
    type Err = InvalidIncarnation;

    fn from_str(text: &str) -> Result<Self, InvalidIncarnation> {
        let (started_at_us, rng) = text.split_once('-').ok_or(InvalidIncarnation)?;
        let number = |text: &str| u64::from_str_radix(text, 16).map_err(|_| InvalidIncarnation);
        Ok(Self {
            started_at_us: number(started_at_us)?,
            random_id: number(rng)?,
        })
    }
}

/// All that a datagram says.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    pub fleet: String,
    pub sender: String,
    pub incarnation: Incarnation,
    pub refutation_counter: u64,
    /// Rises with each datagram of this process.
    pub counter: u64,
    pub message: Message,
    pub records: Vec<MemberRecord>,
}

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// Longer than may be, or shorter than a hash.
    Size,
    /// The keyed hash is wrong: a stranger's, altered, cut short.
    Hash,
    /// A version that is not read.
    Version,
    /// It can't be decoded, or holds what nobody sends.
    #[serde(rename = "form")]
    Malformed,
    /// Another fleet's with the same key.
    #[serde(rename = "fleet")]
    ForeignFleet,
    /// Its counter was seen, or lies too far back.
    Replayed,
    /// From a process that a later one of the same name has followed.
    #[serde(rename = "old")]
    OldIncarnation,
    /// The table of members is full.
    #[serde(rename = "full")]
    TableFull,
    /// Its own, come back.
    #[serde(rename = "own")]
    OwnDatagram,
}

/// Seals what is said.
pub fn seal(key: &Key, datagram: &Datagram) -> Option<Vec<u8>> {
    let mut bytes = vec![0; HASH];
    bytes.push(VERSION);
    let mut bytes = postcard::to_extend(datagram, bytes).ok()?;
    let hash = blake3::keyed_hash(&key.0, &bytes[HASH..]);
    bytes[..HASH].copy_from_slice(hash.as_bytes());
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Bytes that a letter takes sealed, with no records.
pub fn sealed_length(datagram: &Datagram) -> usize {
    HASH + 1 + postcard::to_stdvec(datagram).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

pub fn open(key: &Key, fleet: &str, bytes: &[u8]) -> Result<Datagram, DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::Size);
    }
    let (hash, rest) = bytes.split_at_checked(HASH).ok_or(DropReason::Size)?;
    let hash: [u8; HASH] = hash.try_into().map_err(|_| DropReason::Size)?;
    // Compared in a time that does not depend on where they differ.
    if blake3::keyed_hash(&key.0, rest) != blake3::Hash::from(hash) {
        return Err(DropReason::Hash);
    }
    let (version, body) = rest.split_first().ok_or(DropReason::Malformed)?;
    if !(READ_FROM..=VERSION).contains(version) {
        return Err(DropReason::Version);
    }
    let (datagram, left): (Datagram, &[u8]) =
        postcard::take_from_bytes(body).map_err(|_| DropReason::Malformed)?;
    if !left.is_empty()
        || datagram
            .records
            .iter()
            .any(|record| !record.is_well_formed())
    {
        return Err(DropReason::Malformed);
    }
    if datagram.fleet != fleet {
        return Err(DropReason::ForeignFleet);
    }
    Ok(datagram)
}

/// Which counters of one process were seen.
struct ReplayWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Bit n: `highest - n` was seen.
    seen: u128,
    used: u64,
}

/// Counters seen of each name's process. A later process of a name begins anew; the earlier one is not heard again.
#[derive(Default)]
pub struct ReplayFilter {
    windows: BTreeMap<String, ReplayWindow>,
    uses: u64,
    #[cfg(feature = "planted")]
    pub(crate) takes_replays: bool,
}

impl ReplayFilter {
    pub fn take(&mut self, datagram: &Datagram) -> Result<(), DropReason> {
        #[cfg(feature = "planted")]
        if self.takes_replays {
            return Ok(());
        }
        self.uses += 1;
        let used = self.uses;
        let Some(window) = self.windows.get_mut(&datagram.sender) else {
            if self.windows.len() >= MAX_REPLAY_WINDOWS {
                let oldest = self.windows.iter().min_by_key(|entry| entry.1.used);
                let oldest = oldest.map(|entry| entry.0.clone());
                oldest
                    .into_iter()
                    .for_each(|name| _ = self.windows.remove(&name));
            }
            let window = ReplayWindow {
                incarnation: datagram.incarnation,
                highest: datagram.counter,
                seen: 1,
                used,
            };
            self.windows.insert(datagram.sender.clone(), window);
            return Ok(());
        };
        window.used = used;
        if window.incarnation != datagram.incarnation {
            *window = ReplayWindow {
                incarnation: datagram.incarnation,
                highest: datagram.counter,
                seen: 1,
                used,
            };
            return Ok(());
        }
        if datagram.counter > window.highest {
            let by = datagram.counter - window.highest;
            window.seen = if by < REPLAY_WINDOW_LENGTH {
                window.seen << by
            } else {
                0
            } | 1;
            window.highest = datagram.counter;
            return Ok(());
        }
        let back = window.highest - datagram.counter;
        if back >= REPLAY_WINDOW_LENGTH || window.seen >> back & 1 == 1 {
            return Err(DropReason::Replayed);
        }
        window.seen |= 1 << back;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
