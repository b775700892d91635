//! Plain arithmetic.

use nanorand::{Rng, WyRand};

use crate::known::FEATURES;

/// An irrational step: it spreads evenly on a ring of any size.
const RING_STEP: f64 = std::f64::consts::SQRT_2;

pub(crate) fn softplus(x: f64) -> f64 {
    if x > 30.0 { x } else { x.exp().ln_1p() }
}

pub(crate) fn dot(weights: &[f64; FEATURES], row: &[f64; FEATURES]) -> f64 {
    weights.iter().zip(row).map(|(w, s)| w * s).sum()
}

/// A fixed mixing of two numbers.
pub(crate) fn mixed(a: u64, b: u64) -> u64 {
    WyRand::new_seed(a.rotate_left(32) ^ b).generate()
}

/// Each value as the bounded logarithm of its ratio to the mean; what is not known counts as the mean.
pub(crate) fn relative(values: &[Option<f64>], widest: f64) -> Vec<f64> {
    let known = values.iter().flatten().count().max(1) as f64;
    let mean = values.iter().flatten().sum::<f64>() / known;
    // Of many values most are the one before again: idle upstreams are alike.
    let mut before = (f64::NAN, 0.0);
    let log = |value: &Option<f64>| match value {
        Some(value) if mean > 0.0 => {
            if *value != before.0 {
                before = (*value, (value / mean).max(1e-3).ln().clamp(-widest, widest));
            }
            before.1
        }
        _ => 0.0,
    };
    values.iter().map(log).collect()
}

/// The ring from a starting point on, in steps that never come round to it.
pub(crate) fn scattered(ring: Vec<usize>, from: f64) -> Vec<usize> {
    let mut left: Vec<Option<usize>> = ring.iter().map(|&u| Some(u)).collect();
    let step = |n: usize| ((from + n as f64 * RING_STEP).fract() * ring.len() as f64) as usize;
    let mut order: Vec<usize> = (0..2 * ring.len()).filter_map(|n| left[step(n)].take()).collect();
    order.extend(left.into_iter().flatten());
    order
}

/// Euclidean projection of falling priorities onto the chances of the first m (eq. 4 of the paper).
pub(crate) fn project(priorities: &[f64], m: usize) -> Vec<f64> {
    let sum: f64 = priorities.iter().sum();
    let kept: f64 = priorities.iter().take(m).sum();
    let share = (1.0 - kept / sum) / m as f64;
    let chance = |(place, o): (usize, &f64)| if place < m { o / sum + share } else { 0.0 };
    priorities.iter().enumerate().map(chance).collect()
}
