//! Limits on work that others cause and that serves no request: rejections, and bytes that are read
//! only to be discarded.

use pinefront_policy::Micros;

#[cfg(test)]
mod tests;

/// Spaces events evenly once a burst is used up (generic cell rate algorithm).
pub struct EventPace {
    interval: Micros,
    burst: Micros,
    max_delay: Micros,
    /// When the events so far would have happened without a burst, in microseconds.
    expected_at: Micros,
}

impl EventPace {
    /// Creates a pace of one event for each `interval` after a burst of `burst` events. No event is
    /// delayed for longer than `max_delay`. Times are in microseconds.
    pub const fn new(interval: Micros, burst: u64, max_delay: Micros) -> Self {
        Self {
            interval,
            burst: interval * burst,
            max_delay,
            expected_at: 0,
        }
    }

    /// Returns when an event that is due now may happen, in microseconds.
    pub fn next(&mut self, now: Micros) -> Micros {
        let latest = now + self.max_delay;
        self.expected_at = self.expected_at.clamp(now, latest + self.burst) + self.interval;
        let at = self.expected_at.saturating_sub(self.burst);
        at.clamp(now, latest)
    }
}

/// Limits the number of bytes for each unit of time.
pub struct ByteAllowance {
    per_ms: usize,
    max: usize,
    left: usize,
    refilled_at: Micros,
}

impl ByteAllowance {
    /// Creates an allowance of `per_ms` bytes for each millisecond, of which at most `max` bytes are
    /// saved up.
    pub const fn new(per_ms: usize, max: usize) -> Self {
        Self {
            per_ms,
            max,
            left: max,
            refilled_at: 0,
        }
    }

    /// Returns the number of bytes that may be used now.
    pub fn left(&mut self, now: Micros) -> usize {
        const US_PER_MS: Micros = 1_000;
        let elapsed_ms = now.saturating_sub(self.refilled_at) / US_PER_MS;
        if elapsed_ms > 0 {
            self.refilled_at = now;
            let elapsed_ms = usize::try_from(elapsed_ms).unwrap_or(usize::MAX);
            let added = self.per_ms.saturating_mul(elapsed_ms);
            self.left = self.left.saturating_add(added).min(self.max);
        }
        self.left
    }

    /// Uses bytes of the allowance.
    pub fn use_up(&mut self, bytes: usize) {
        self.left = self.left.saturating_sub(bytes);
    }
}
