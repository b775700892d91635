//! Sums and averages that decay exponentially with time.

use crate::Micros;

/// One second in microseconds.
pub(crate) const SECOND_US: f64 = 1e6;
/// Horizon of statistics that describe the present.
pub(crate) const RECENT_US: f64 = 2.0 * SECOND_US;
/// Horizon of statistics that describe a machine or a class.
pub(crate) const LONG_TERM_US: f64 = 15.0 * SECOND_US;

/// A sum that decays with time. Decay is applied when the sum is read or added to.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    /// The sum as of the last addition.
    pub(crate) sum: f64,
    updated_at: Micros,
}

impl DecayingSum {
    /// The sum at `now`, decayed by 1/e for each `horizon` microseconds since the last addition.
    pub(crate) fn read(&self, now: Micros, horizon: f64) -> f64 {
        // Most sums are empty, and exp() dominates the cost of reading a large fleet.
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

/// A weighted average that decays with time. Both sums decay alike, so reading it needs no time.
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

    /// The average, or `None` before the first value.
    pub(crate) fn read(&self) -> Option<f64> {
        (self.weight.sum > 0.0).then(|| self.total.sum / self.weight.sum)
    }
}
