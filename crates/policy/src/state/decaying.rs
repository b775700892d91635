//! Sums and averages that decay exponentially with time.

use crate::Micros;

/// One second in microseconds.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;
/// Horizon of statistics on the current state, in microseconds.
pub(crate) const RECENT_HORIZON_US: f64 = 2.0 * MICROS_PER_SECOND;
/// Horizon of statistics on a machine or a class, in microseconds.
pub(crate) const LONG_TERM_HORIZON_US: f64 = 15.0 * MICROS_PER_SECOND;

/// A sum that decays exponentially with time. The decay is applied when the sum is read or added
/// to.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    /// The sum as of the last addition.
    pub(crate) sum: f64,
    updated_at: Micros,
}

impl DecayingSum {
    /// Returns the sum at `now`, decayed by 1/e for each `horizon` microseconds since the last
    /// addition.
    pub(crate) fn read(&self, now: Micros, horizon: f64) -> f64 {
        // Most sums are 0, and `exp` dominates the cost of reading the sums of a large fleet.
        if self.sum == 0.0 || now <= self.updated_at {
            return self.sum;
        }
        self.sum * (-((now - self.updated_at) as f64) / horizon).exp()
    }

    /// Adds `amount` to the decayed sum.
    pub(crate) fn add(&mut self, now: Micros, horizon: f64, amount: f64) {
        self.sum = self.read(now, horizon) + amount;
        self.updated_at = now;
    }
}

/// A weighted average that decays exponentially with time. Both sums decay equally, so the average
/// does not depend on the time at which it is read.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingAverage {
    pub(crate) total: DecayingSum,
    pub(crate) weight: DecayingSum,
}

impl DecayingAverage {
    /// Adds `value` with the given weight.
    pub(crate) fn add(&mut self, now: Micros, horizon: f64, value: f64, weight: f64) {
        self.total.add(now, horizon, value * weight);
        self.weight.add(now, horizon, weight);
    }

    /// Returns the average, or `None` before the first value.
    pub(crate) fn read(&self) -> Option<f64> {
        (self.weight.sum > 0.0).then(|| self.total.sum / self.weight.sum)
    }
}
