//! The policy's time, and how far the event loop lags behind it.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pinefront_policy::Micros;

#[cfg(test)]
mod tests;

/// Microseconds in a millisecond.
pub const US_PER_MS: Micros = 1_000;
/// Delays up to this length are ordinary and not counted as time that a sender lost.
const ORDINARY_DELAY_US: Micros = 5_000;

/// The policy's time: Unix time as it was at the start, continued by a monotonic clock.
pub struct Clock {
    started: Instant,
    unix_at_start: Micros,
}

impl Clock {
    /// Starts the clock at the present Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            unix_at_start: unix.as_micros() as Micros,
        }
    }

    /// The present time, in microseconds.
    pub fn now(&self) -> Micros {
        self.unix_at_start + self.started.elapsed().as_micros() as Micros
    }
}

/// Timing of the present iteration of the event loop, in microseconds.
#[derive(Default)]
pub struct LoopIteration {
    /// How long the previous iteration went on after its wait should have ended.
    pub busy: Micros,
    /// When the wait of this iteration should end.
    pub until: Micros,
}

impl LoopIteration {
    /// Starts an iteration that waits from `now` to `until`.
    pub fn begin(&mut self, now: Micros, until: Micros) {
        self.busy = match self.until {
            0 => 0,
            expected => now.saturating_sub(expected),
        };
        self.until = until;
    }

    /// How long bytes read at `now` may have waited in their socket while the process was busy or
    /// not scheduled.
    pub fn late(&self, now: Micros) -> Micros {
        let late = self.busy + now.saturating_sub(self.until);
        if late < ORDINARY_DELAY_US { 0 } else { late }
    }
}
