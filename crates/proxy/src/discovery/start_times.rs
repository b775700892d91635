//! Converts the start times of endpoints to the balancer's own time. Discovery states start times
//! by its wall clock, and the wall clock of this machine may have been wrong by seconds or by an
//! hour when this process started. The start times are therefore bounded by facts that do not
//! depend on a wall clock.

use pinefront_policy::Micros;

#[cfg(test)]
mod tests;

/// Maximum delay between the start of an endpoint and its appearance in a list, in microseconds.
const MAX_REPORT_DELAY_US: Micros = 3_000_000;
/// If all new endpoints of a list appear to be older than this, in microseconds, it is more likely
/// that this machine's clock is ahead.
const IMPLAUSIBLE_AGE_US: Micros = 60_000_000;

/// The list that names endpoints for the first time, which bounds their start times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The first list that this process received.
    First,
    /// The first list from discovery after the cached list.
    AfterCached,
    /// Any list after the first one from discovery.
    Later {
        /// When the previous list was received, in microseconds.
        since: Micros,
    },
}

/// The bounds on start times for one list.
#[derive(Clone, Copy, Debug)]
pub struct StartTimes {
    /// Lower bound of how far this machine's wall clock was behind when the process started, in
    /// microseconds. It follows from the fact that no endpoint starts in the future.
    clock_lag: Micros,
    /// Earliest possible start time of a new endpoint, in microseconds.
    earliest: Micros,
    now: Micros,
}

impl StartTimes {
    /// Derives the bounds from the stated start times of the endpoints that a list names for the
    /// first time, in microseconds of Unix time, where 0 means long ago. `clock_lag` is the lower
    /// bound that earlier lists gave, in microseconds.
    pub fn new(now: Micros, clock_lag: Micros, source: ListSource, new_starts: &[Micros]) -> Self {
        let newest = new_starts.iter().copied().max().unwrap_or(0);
        let clock_lag = clock_lag.max(newest.saturating_sub(now));
        let is_implausible =
            newest > 0 && (newest - clock_lag).saturating_add(IMPLAUSIBLE_AGE_US) < now;
        let earliest = match source {
            ListSource::First => 0,
            ListSource::AfterCached if is_implausible => now,
            ListSource::AfterCached => 0,
            ListSource::Later { since } => since.saturating_sub(MAX_REPORT_DELAY_US),
        };
        Self {
            clock_lag,
            earliest,
            now,
        }
    }

    /// Returns the lower bound of how far this machine's wall clock was behind when the process
    /// started, in microseconds.
    pub fn clock_lag(&self) -> Micros {
        self.clock_lag
    }

    /// Converts a stated start time to the balancer's time, in microseconds. 0 means long ago in
    /// both.
    pub fn started_at(&self, stated: Micros) -> Micros {
        match stated {
            0 => 0,
            stated => stated
                .saturating_sub(self.clock_lag)
                .clamp(self.earliest.min(self.now), self.now),
        }
    }
}
