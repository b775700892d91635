//! Chance from a seed, and the distributions that the model draws from.
//!
//! Values must be the same in every version, since a seed names a day: the generator is WyRand, whose steps its
//! paper fixes, and each distribution is written out here rather than taken from a library that may redraw it.

use nanorand::{Rng, WyRand};

use crate::Micros;

/// A stream of draws. Parts of the model that must not disturb each other take a stream each by [`Chance::split`].
#[derive(Clone)]
pub struct Chance(WyRand);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Self(WyRand::new_seed(seed))
    }

    /// A stream of its own for the part of the model with that name and number: more draws in one do not move others.
    pub fn split(seed: u64, part: &str, number: u64) -> Self {
        // FNV-1a, so that names and numbers near each other start far apart.
        let bytes = part
            .bytes()
            .chain(number.to_le_bytes())
            .chain(seed.to_le_bytes());
        Self::new(bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
            (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
        }))
    }

    /// Any whole number.
    pub fn whole(&mut self) -> u64 {
        self.0.generate()
    }

    /// A number of at least 0 and less than 1, of 53 random bits.
    pub fn unit(&mut self) -> f64 {
        (self.whole() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// A whole number below `end`, which counts as 1 where it is 0.
    pub fn below(&mut self, end: usize) -> usize {
        ((self.unit() * end.max(1) as f64) as usize).min(end.max(1) - 1)
    }

    /// Whether something of that likelihood happens.
    pub fn happens(&mut self, likelihood: f64) -> bool {
        self.unit() < likelihood
    }

    /// The time to the next event of a Poisson process with that mean time between events.
    pub fn wait(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// A lognormal draw with that mean; `scatter` is the standard deviation of its logarithm.
    pub fn scattered(&mut self, mean: f64, scatter: f64) -> f64 {
        // Box and Muller; the second normal of the pair is thrown away, so that each draw takes two steps.
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.unit()).cos();
        mean * (scatter * normal - scatter * scatter / 2.0).exp()
    }

    /// The place among `sums`, running totals of weights, that a draw falls to.
    pub fn place(&mut self, sums: &[f64]) -> usize {
        let drawn = self.unit() * sums.last().copied().unwrap_or(0.0);
        sums.partition_point(|sum| *sum <= drawn)
            .min(sums.len().saturating_sub(1))
    }

    /// `count` different places below `end`, in rising order.
    pub fn some_of(&mut self, count: usize, end: usize) -> Vec<usize> {
        let mut places: Vec<usize> = (0..end).collect();
        for place in 0..count.min(end) {
            let other = place + self.below(end - place);
            places.swap(place, other);
        }
        places.truncate(count);
        places.sort_unstable();
        places
    }

    /// A span of at most `most`.
    pub fn span(&mut self, most: Micros) -> Micros {
        (self.unit() * most as f64) as Micros
    }
}

/// Running totals of weights, for [`Chance::place`].
pub fn sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    weights
        .scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A later version that draws otherwise would make other days of all seeds.
    #[test]
    fn a_seed_draws_the_same_in_every_version() {
        let mut chance = Chance::new(7);
        let first = [chance.whole(), chance.whole()];
        assert_eq!(first, [PINNED[0], PINNED[1]]);
        let mut split = Chance::split(7, "server", 3);
        assert_eq!(split.whole(), PINNED[2]);
    }
    const PINNED: [u64; 3] = [
        16292765481176799425,
        15778304849968482104,
        15433792414885178538,
    ];

    #[test]
    fn draws_keep_to_their_means() {
        let mut chance = Chance::new(1);
        let count = 100_000;
        let mean = |mut draw: Box<dyn FnMut() -> f64>| {
            (0..count).map(|_| draw()).sum::<f64>() / count as f64
        };
        let mut other = chance.clone();
        assert!((mean(Box::new(move || other.wait(5.0))) - 5.0).abs() < 0.1);
        let mut other = chance.clone();
        assert!((mean(Box::new(move || other.scattered(20.0, 0.5))) - 20.0).abs() < 0.3);
        let sums = sums([1.0, 0.0, 3.0].into_iter());
        assert!((mean(Box::new(move || chance.place(&sums) as f64)) - 1.5).abs() < 0.02);
    }

    #[test]
    fn some_of_are_different() {
        let mut chance = Chance::new(3);
        let mut drawn = chance.some_of(30, 40);
        drawn.dedup();
        assert_eq!(drawn.len(), 30);
        assert_eq!(chance.some_of(9, 4), [0, 1, 2, 3]);
    }
}
