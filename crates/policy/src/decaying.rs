//! What is measured over time: sums that fade.

use crate::Micros;

/// A sum that fades with time and is brought up to date when read.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    pub(crate) sum: f64,
    at: Micros,
}

impl DecayingSum {
    pub(crate) fn read(&self, now: Micros, horizon: f64) -> f64 {
        // Most sums of most endpoints hold nothing, and exp() is what a look at a large fleet costs.
        if self.sum == 0.0 || now <= self.at {
            return self.sum;
        }
        self.sum * (-((now - self.at) as f64) / horizon).exp()
    }
    pub(crate) fn add(&mut self, now: Micros, horizon: f64, amount: f64) {
        self.sum = self.read(now, horizon) + amount;
        self.at = now;
    }
}

/// A fading mean. Both sums fade alike, so it needs no time to be read.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingAverage {
    pub(crate) total: DecayingSum,
    pub(crate) weight: DecayingSum,
}

impl DecayingAverage {
    pub(crate) fn add(&mut self, now: Micros, horizon: f64, value: f64, weight: f64) {
        self.total.add(now, horizon, value * weight);
        self.weight.add(now, horizon, weight);
    }
    pub(crate) fn read(&self) -> Option<f64> {
        (self.weight.sum > 0.0).then(|| self.total.sum / self.weight.sum)
    }
}
