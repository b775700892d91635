//! When endpoints started, in the balancer's own time. Discovery states starts by its wall clock,
//! and ours may have been wrong when this process started, by seconds or by an hour: what is known
//! without a clock bounds what is believed.

use pinefront_policy::Micros;

#[cfg(test)]
mod tests;

/// How long after a start discovery may report it.
const MAX_REPORT_DELAY_US: Micros = 3_000_000;
/// If all endpoints that are named for the first time are older than this, a clock that is ahead is
/// likelier.
const IMPLAUSIBLE_AGE_US: Micros = 60_000_000;

/// Which list names endpoints for the first time, as far as that bounds their ages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The first list of this process.
    First,
    /// Discovery's first list, after the cached one.
    AfterCached,
    /// A later list.
    Later {
        /// When the list before it was received, in microseconds.
        since: Micros,
    },
}

/// The bounds on start times for one list.
#[derive(Clone, Copy, Debug)]
pub struct StartTimes {
    /// How far our wall clock was behind when the process started, at the least: nothing starts in
    /// the future.
    behind: Micros,
    earliest: Micros,
    now: Micros,
}

impl StartTimes {
    /// Derives the bounds from the stated starts of the endpoints that a list names for the first
    /// time, in microseconds of Unix time; 0 for long ago. `behind` is what was found for earlier
    /// lists.
    pub fn new(now: Micros, behind: Micros, source: Source, newcomers: &[Micros]) -> Self {
        let newest = newcomers.iter().copied().max().unwrap_or(0);
        let behind = behind.max(newest.saturating_sub(now));
        let is_implausible =
            newest > 0 && (newest - behind).saturating_add(IMPLAUSIBLE_AGE_US) < now;
        let earliest = match source {
            Source::First => 0,
            Source::AfterCached if is_implausible => now,
            Source::AfterCached => 0,
            Source::Later { since } => since.saturating_sub(MAX_REPORT_DELAY_US),
        };
        Self {
            behind,
            earliest,
            now,
        }
    }

    /// How far our wall clock was behind when the process started, at the least, in microseconds.
    pub fn behind(&self) -> Micros {
        self.behind
    }

    /// Returns when an endpoint started whose start is stated so, in microseconds; 0 for long ago.
    pub fn started_at(&self, stated: Micros) -> Micros {
        match stated {
            0 => 0,
            stated => stated
                .saturating_sub(self.behind)
                .clamp(self.earliest.min(self.now), self.now),
        }
    }
}
