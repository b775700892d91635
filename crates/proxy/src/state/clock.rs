//! The module's time, and how far a turn lags behind it.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pinefront_policy::Micros;

#[cfg(test)]
mod tests;

/// Waits may end so much late at any time.
const USUALLY_LATE: Micros = 5_000;

/// The module's time: Unix time as it stood at the start, carried on by a clock that never steps.
pub struct Clock {
    started: Instant,
    paired: Micros,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            paired: unix.as_micros() as Micros,
        }
    }

    pub fn now(&self) -> Micros {
        self.paired + self.started.elapsed().as_micros() as Micros
    }
}

/// What is known of the present turn's beginning.
#[derive(Default)]
pub struct LoopIteration {
    /// How long the turn before went on after its wait should have ended.
    pub busy: Micros,
    /// When this turn's wait should have ended.
    pub until: Micros,
}

impl LoopIteration {
    /// The next turn waits from `now` to `until`.
    pub fn begin(&mut self, now: Micros, until: Micros) {
        self.busy = if self.until == 0 {
            0
        } else {
            now.saturating_sub(self.until)
        };
        self.until = until;
    }

    /// How long what is read now may have lain in its socket, as we were busy or not let run: its sender's
    /// time went on.
    pub fn late(&self, now: Micros) -> Micros {
        let late = self.busy + now.saturating_sub(self.until);
        if late < USUALLY_LATE { 0 } else { late }
    }
}
