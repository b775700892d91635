//! The clock of the policy, and the delay of the event loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pinefront_policy::Micros;

#[cfg(test)]
mod tests;

/// Microseconds in a millisecond.
pub const US_PER_MS: Micros = 1_000;
/// Minimum delay that counts as time lost by the sender; shorter delays are normal.
const ORDINARY_DELAY_US: Micros = 5_000;

/// The clock of the policy: the Unix time at the start, advanced by a monotonic clock.
pub struct Clock {
    started: Instant,
    unix_at_start: Micros,
}

impl Clock {
    /// Starts the clock at the current Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            unix_at_start: unix.as_micros() as Micros,
        }
    }

    /// Returns the current time, in microseconds.
    pub fn now(&self) -> Micros {
        self.unix_at_start + self.started.elapsed().as_micros() as Micros
    }
}

/// Timing of the current iteration of the event loop, in microseconds.
#[derive(Default)]
pub struct LoopIteration {
    /// Time by which the previous iteration continued after the planned end of its wait.
    pub busy: Micros,
    /// Planned end of the wait of this iteration.
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

    /// Returns the time for which bytes read at `now` may have waited in their socket while the
    /// process was busy or not scheduled.
    pub fn late(&self, now: Micros) -> Micros {
        let late = self.busy + now.saturating_sub(self.until);
        if late < ORDINARY_DELAY_US { 0 } else { late }
    }
}
