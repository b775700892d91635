//! Seeded random numbers, and the distributions that the model uses.
//!
//! A seed identifies the random draws of a scenario, so it must produce the same values in every
//! version of this crate. The generator is `WyRand`; the distributions are implemented here because
//! a library could change its algorithms.

use nanorand::{Rng, WyRand};

use crate::Micros;

/// A stream of random numbers. Components of the model that must not influence each other use
/// separate streams, which [`RandomSource::split`] creates.
#[derive(Clone)]
pub struct RandomSource(WyRand);

impl RandomSource {
    /// Creates the stream of a seed.
    pub fn new(seed: u64) -> Self {
        Self(WyRand::new_seed(seed))
    }

    /// Creates the stream of the component of the model with a name and a number. It is independent
    /// of all other streams of the seed.
    pub fn split(seed: u64, part: &str, number: u64) -> Self {
        // The FNV-1a hash gives similar names and numbers unrelated seeds.
        let bytes = part
            .bytes()
            .chain(number.to_le_bytes())
            .chain(seed.to_le_bytes());
        Self::new(bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
            (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
        }))
    }

    /// Draws a uniform 64-bit number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.generate()
    }

    /// Draws a uniform number in `[0, 1)` with 53 random bits.
    pub fn unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Draws a uniform number in `[low, high)`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Draws a uniform integer below `end`. Returns 0 if `end` is 0.
    pub fn below(&mut self, end: usize) -> usize {
        ((self.unit() * end.max(1) as f64) as usize).min(end.max(1) - 1)
    }

    /// Returns true with a probability from 0 to 1.
    pub fn happens(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Draws an exponentially distributed number with a given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Draws a lognormally distributed number with a given mean. `scatter` is the standard
    /// deviation of its logarithm.
    pub fn lognormal(&mut self, mean: f64, scatter: f64) -> f64 {
        // The Box-Muller transform gives two normal numbers. The second one is discarded, so that
        // each call takes the same number of draws.
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.unit()).cos();
        mean * (scatter * normal - scatter * scatter / 2.0).exp()
    }

    /// Draws an index with probabilities proportional to weights. `cumulative` contains the
    /// cumulative sums of the weights.
    pub fn weighted_index(&mut self, cumulative: &[f64]) -> usize {
        let drawn = self.unit() * cumulative.last().copied().unwrap_or(0.0);
        cumulative
            .partition_point(|sum| *sum <= drawn)
            .min(cumulative.len().saturating_sub(1))
    }

    /// Draws `count` distinct integers below `end` and returns them in ascending order. Returns all
    /// integers below `end` if there are fewer than `count`.
    pub fn sample_indices(&mut self, count: usize, end: usize) -> Vec<usize> {
        let mut numbers: Vec<usize> = (0..end).collect();
        for index in 0..count.min(end) {
            let other = index + self.below(end - index);
            numbers.swap(index, other);
        }
        numbers.truncate(count);
        numbers.sort_unstable();
        numbers
    }

    /// Draws a uniform duration below `max`, in microseconds.
    pub fn duration_below(&mut self, max: Micros) -> Micros {
        (self.unit() * max as f64) as Micros
    }
}

/// Returns the cumulative sums of weights, for [`RandomSource::weighted_index`].
pub fn cumulative_sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    weights
        .scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        })
        .collect()
}

#[cfg(test)]
mod tests;
