//! What each datagram is sealed in. Nothing of a datagram is looked at before its keyed hash is right; what is not
//! taken is counted by cause.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::frames::{Frame, Record};

/// Bytes of a datagram at most: what passes any way without being cut in pieces.
pub const DATAGRAM_MOST: usize = 1_200;
/// Bytes of the keyed hash at the head of a datagram.
const HASH: usize = 32;
/// What the key is derived for: a key that serves elsewhere too gives away nothing here.
const CONTEXT: &str = "pinefront accord datagrams 1";
/// Shortest key: fewer bytes can be guessed.
pub const KEY_LEAST: usize = 16;
/// The version spoken, and the first that is still read. There was none before the first.
pub const VERSION: u8 = 1;
const READ_FROM: u8 = 1;
/// Datagrams of one process that may overtake one another; what comes later still is passed over.
const OVERTAKEN_MOST: u64 = 128;
/// Processes whose counters are kept; members are fewer.
const COUNTERS_MOST: usize = 4_096;

/// A secret that all members share. It is never printed.
#[derive(Clone)]
pub struct Key([u8; 32]);

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the key has {0} bytes; {KEY_LEAST} are the fewest")]
pub struct KeyTooShort(usize);

impl Key {
    /// Takes the bytes of a key file; blanks at its ends are not part of it.
    pub fn new(bytes: &[u8]) -> Result<Self, KeyTooShort> {
        let bytes = bytes.trim_ascii();
        match bytes.len() >= KEY_LEAST {
            true => Ok(Self(blake3::derive_key(CONTEXT, bytes))),
            false => Err(KeyTooShort(bytes.len())),
        }
    }
}

/// Who a process is: a name that outlives it, and which of all processes of that name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// When it began, Unix time in microseconds by its own clock, which may be wrong.
    pub born: u64,
    /// Chance, so that two that began at once are told apart.
    pub chance: u64,
}

impl std::fmt::Display for Life {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}-{:016x}", self.born, self.chance)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("is no life as /fleet shows it, such as 1878a0c41c8c0-00c0ffee00c0ffee")]
pub struct NoLife;

impl std::str::FromStr for Life {
    type Err = NoLife;

    fn from_str(text: &str) -> Result<Self, NoLife> {
        let (born, chance) = text.split_once('-').ok_or(NoLife)?;
        let number = |text: &str| u64::from_str_radix(text, 16).map_err(|_| NoLife);
        Ok(Self {
            born: number(born)?,
            chance: number(chance)?,
        })
    }
}

/// All that a datagram says.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Letter {
    pub fleet: String,
    pub sender: String,
    pub life: Life,
    pub incarnation: u64,
    /// Rises with each datagram of this process.
    pub counter: u64,
    pub frame: Frame,
    pub records: Vec<Record>,
}

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Drop {
    /// Longer than may be, or shorter than a hash.
    Size,
    /// The keyed hash is wrong: a stranger's, altered, cut short.
    Hash,
    /// A version that is not read.
    Version,
    /// It can't be decoded, or holds what nobody sends.
    Form,
    /// Another fleet's with the same key.
    Fleet,
    /// Its counter was seen, or lies too far back.
    Replayed,
    /// From a process that a later one of the same name has followed.
    Old,
    /// The table of members is full.
    Full,
    /// Its own, come back.
    Own,
}

/// Seals what is said.
pub fn seal(key: &Key, letter: &Letter) -> Option<Vec<u8>> {
    let mut bytes = vec![0; HASH];
    bytes.push(VERSION);
    let mut bytes = postcard::to_extend(letter, bytes).ok()?;
    let hash = blake3::keyed_hash(&key.0, &bytes[HASH..]);
    bytes[..HASH].copy_from_slice(hash.as_bytes());
    (bytes.len() <= DATAGRAM_MOST).then_some(bytes)
}

/// Bytes that a letter takes sealed, with no records.
pub fn sealed_length(letter: &Letter) -> usize {
    HASH + 1 + postcard::to_stdvec(letter).map_or(DATAGRAM_MOST, |bytes| bytes.len())
}

pub fn open(key: &Key, fleet: &str, bytes: &[u8]) -> Result<Letter, Drop> {
    if bytes.len() > DATAGRAM_MOST {
        return Err(Drop::Size);
    }
    let (hash, rest) = bytes.split_at_checked(HASH).ok_or(Drop::Size)?;
    let hash: [u8; HASH] = hash.try_into().map_err(|_| Drop::Size)?;
    // Compared in a time that does not depend on where they differ.
    if blake3::keyed_hash(&key.0, rest) != blake3::Hash::from(hash) {
        return Err(Drop::Hash);
    }
    let (version, body) = rest.split_first().ok_or(Drop::Form)?;
    if !(READ_FROM..=VERSION).contains(version) {
        return Err(Drop::Version);
    }
    let (letter, left): (Letter, &[u8]) =
        postcard::take_from_bytes(body).map_err(|_| Drop::Form)?;
    if !left.is_empty() || letter.records.iter().any(|record| !record.is_sound()) {
        return Err(Drop::Form);
    }
    if letter.fleet != fleet {
        return Err(Drop::Fleet);
    }
    Ok(letter)
}

/// Which counters of one process were seen.
struct Window {
    life: Life,
    highest: u64,
    /// Bit n: `highest - n` was seen.
    seen: u128,
    used: u64,
}

/// Counters seen of each name's process. A later process of a name begins anew; the earlier one is not heard again.
#[derive(Default)]
pub struct Counters {
    windows: BTreeMap<String, Window>,
    uses: u64,
    #[cfg(feature = "planted")]
    pub(crate) takes_replays: bool,
}

impl Counters {
    pub fn take(&mut self, letter: &Letter) -> Result<(), Drop> {
        #[cfg(feature = "planted")]
        if self.takes_replays {
            return Ok(());
        }
        self.uses += 1;
        let used = self.uses;
        let Some(window) = self.windows.get_mut(&letter.sender) else {
            if self.windows.len() >= COUNTERS_MOST {
                let oldest = self.windows.iter().min_by_key(|entry| entry.1.used);
                let oldest = oldest.map(|entry| entry.0.clone());
                oldest
                    .into_iter()
                    .for_each(|name| _ = self.windows.remove(&name));
            }
            let window = Window {
                life: letter.life,
                highest: letter.counter,
                seen: 1,
                used,
            };
            self.windows.insert(letter.sender.clone(), window);
            return Ok(());
        };
        window.used = used;
        if window.life != letter.life {
            *window = Window {
                life: letter.life,
                highest: letter.counter,
                seen: 1,
                used,
            };
            return Ok(());
        }
        if letter.counter > window.highest {
            let by = letter.counter - window.highest;
            window.seen = if by < OVERTAKEN_MOST {
                window.seen << by
            } else {
                0
            } | 1;
            window.highest = letter.counter;
            return Ok(());
        }
        let back = window.highest - letter.counter;
        if back >= OVERTAKEN_MOST || window.seen >> back & 1 == 1 {
            return Err(Drop::Replayed);
        }
        window.seen |= 1 << back;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
