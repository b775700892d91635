//! The clock of the policy, and the delay of the event loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pinefront_policy::Micros;

#[cfg(test)]
mod tests;

/// Microseconds in a millisecond.
pub const US_PER_MS: Micros = 1_000;
/// Minimum delay that counts as time lost by the sender; shorter delays are normal.
const MIN_COUNTED_DELAY_US: Micros = 5_000;

/// The clock of the policy: the Unix time at the start, advanced by a monotonic clock.
pub struct Clock {
    started_at: Instant,
    unix_time_at_start: Micros,
}

impl Clock {
    /// Starts the clock at the current Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_at: Instant::now(),
            unix_time_at_start: unix.as_micros() as Micros,
        }
    }

    /// Returns the current time, in microseconds.
    pub fn now(&self) -> Micros {
        self.unix_time_at_start + self.started_at.elapsed().as_micros() as Micros
    }
}

/// Timing of the current iteration of the event loop, in microseconds.
#[derive(Default)]
pub struct LoopIteration {
    /// Time by which the previous iteration continued after the planned end of its wait.
    pub previous_overrun: Micros,
    /// Planned end of the wait of this iteration.
    pub wait_until: Micros,
}

impl LoopIteration {
    /// Starts an iteration that waits from `now` to `wait_until`.
    pub fn begin(&mut self, now: Micros, wait_until: Micros) {
        self.previous_overrun = match self.wait_until {
            0 => 0,
            expected => now.saturating_sub(expected),
        };
        self.wait_until = wait_until;
    }

    /// Returns the time for which bytes read at `now` may have waited in their socket while the
    /// process was busy or not scheduled.
    pub fn delay_at(&self, now: Micros) -> Micros {
        let delay = self.previous_overrun + now.saturating_sub(self.wait_until);
        if delay < MIN_COUNTED_DELAY_US {
            0
        } else {
            delay
        }
    }
}
