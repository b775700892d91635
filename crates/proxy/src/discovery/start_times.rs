//! When endpoints started, in the balancer's own time. Discovery states it as a wall clock read, and ours may be wrong:
//! stepped before this process began, by seconds or by an hour. What is known without it bounds what is believed.

use pinefront_policy::Micros;

#[cfg(test)]
mod tests;

/// How long after a start discovery may tell of it.
const TOLD_LATE: Micros = 3_000_000;
/// Ages of all newcomers from which on a clock that is ahead is likelier than that none of them is young.
const DOUBTED_AGE: Micros = 60_000_000;

/// Where a list comes from, as far as it bounds the age of what it names for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The first list that this process has at all.
    First,
    /// Discovery's first, after the one that the process was started with.
    AfterKnown,
    /// A later one: what is new has come to discovery since then.
    Later { since: Micros },
}

/// The bounds for one list.
#[derive(Clone, Copy, Debug)]
pub struct StartTimes {
    /// How far our wall clock was behind when the process began, at the least: nothing starts in the future.
    behind: Micros,
    earliest: Micros,
    now: Micros,
}

impl StartTimes {
    /// From the start times of what a list names for the first time, as the wall clock states them, 0 for long ago.
    pub fn new(now: Micros, behind: Micros, source: Source, newcomers: &[Micros]) -> Self {
        let newest = newcomers.iter().copied().max().unwrap_or(0);
        let behind = behind.max(newest.saturating_sub(now));
        let doubted = newest > 0 && (newest - behind).saturating_add(DOUBTED_AGE) < now;
        let earliest = match source {
            Source::First => 0,
            Source::AfterKnown if doubted => now,
            Source::AfterKnown => 0,
            Source::Later { since } => since.saturating_sub(TOLD_LATE),
        };
        Self {
            behind,
            earliest,
            now,
        }
    }

    pub fn behind(&self) -> Micros {
        self.behind
    }

    /// When something new started whose start is stated so.
    pub fn started(&self, stated: Micros) -> Micros {
        match stated {
            0 => 0,
            stated => stated
                .saturating_sub(self.behind)
                .clamp(self.earliest.min(self.now), self.now),
        }
    }
}
