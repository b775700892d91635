//! The identity of one process of a member.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Identifies one process of a member. A later process of the same member usually has a greater
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The Unix time of the start in microseconds, by the process's own clock, which may be wrong.
    pub started_at_us: u64,
    /// A random number that distinguishes processes with the same start time.
    pub random_id: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:016x}", self.started_at_us, self.random_id)
    }
}

/// The error for a text that is not a valid incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected a life as shown by /fleet, such as 1878a0c41c8c0-00c0ffee00c0ffee")]
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
