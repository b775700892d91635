//! The identity of one process among all processes of a member's name.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// One process of a member. A later process of the name usually has a greater incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Unix time of the start in microseconds, by the process's own clock, which may be wrong.
    pub started_at_us: u64,
    /// A random number that tells apart processes that started at once.
    pub random_id: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:016x}", self.started_at_us, self.random_id)
    }
}

/// A text that is no incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("is no life as /fleet shows it, such as 1878a0c41c8c0-00c0ffee00c0ffee")]
pub struct InvalidIncarnation;

impl FromStr for Incarnation {
    type Err = InvalidIncarnation;

    fn from_str(text: &str) -> Result<Self, InvalidIncarnation> {
        let (started_at_us, random_id) = text.split_once('-').ok_or(InvalidIncarnation)?;
        let parse = |text: &str| u64::from_str_radix(text, 16).map_err(|_| InvalidIncarnation);
        Ok(Self {
            started_at_us: parse(started_at_us)?,
            random_id: parse(random_id)?,
        })
    }
}
