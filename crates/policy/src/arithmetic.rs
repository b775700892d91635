//! Plain arithmetic.

use nanorand::{Rng, WyRand};

use crate::known::{DecisionSample, FEATURES};

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
    let log = |value: &Option<f64>| match value {
        Some(value) if mean > 0.0 => (value / mean).max(1e-3).ln().clamp(-widest, widest),
        _ => 0.0,
    };
    values.iter().map(log).collect()
}

/// The ring from a starting point on, in steps that never come round to it.
pub(crate) fn scattered(ring: Vec<usize>, from: f64) -> Vec<usize> {
    let mut left: Vec<Option<usize>> = ring.iter().map(|&u| Some(u)).collect();
    let step = |n: usize| ((from + n as f64 * RING_STEP).fract() * ring.len() as f64) as usize;
    let mut order: Vec<usize> = (0..2 * ring.len())
        .filter_map(|n| left[step(n)].take())
        .collect();
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

/// The drawn candidate's chance under the present weights and its gradient, through softplus,
/// normalisation and projection; nothing where it is no longer among the top.
pub(crate) fn slope(
    weights: &[f64; FEATURES],
    sample: &DecisionSample,
    m: usize,
) -> Option<(f64, [f64; FEATURES])> {
    let raw: Vec<f64> = sample.rows.iter().map(|row| dot(weights, row)).collect();
    // Of the rest is what lies below the last of the top, so that ties with it count as top.
    let last = *raw
        .clone()
        .select_nth_unstable_by(m - 1, |a, b| b.total_cmp(a))
        .1;
    let in_rest = |place: usize| raw[place] < last;
    if in_rest(sample.drawn) {
        return None;
    }
    let (mut sum, mut rest_sum) = (0.0, 0.0);
    let (mut sum_slope, mut own_slope) = ([0.0; FEATURES], [0.0; FEATURES]);
    for (place, row) in sample.rows.iter().enumerate() {
        let (o, bend) = (softplus(raw[place]), 1.0 / (1.0 + (-raw[place]).exp()));
        let spread = if in_rest(place) { 1.0 / m as f64 } else { 0.0 };
        let own = if place == sample.drawn { 1.0 } else { spread };
        sum += o;
        rest_sum += own * o;
        for f in 0..FEATURES {
            sum_slope[f] += bend * row[f];
            own_slope[f] += own * bend * row[f];
        }
    }
    let chance = rest_sum / sum;
    let slope = std::array::from_fn(|f| (own_slope[f] - chance * sum_slope[f]) / sum);
    Some((chance, slope))
}

/// The clipped policy step (eq. 5 and 6 of the paper); `usual` is the payoff that is no advantage.
pub(crate) fn clipped_step(
    weights: &[f64; FEATURES],
    samples: &[(DecisionSample, f64)],
    usual: f64,
    clip: f64,
    selectable: impl Fn(usize) -> usize,
) -> [f64; FEATURES] {
    let mut step = [0.0; FEATURES];
    for (sample, reward) in samples {
        let advantage = reward - usual;
        let Some((chance, slope)) = slope(weights, sample, selectable(sample.rows.len())) else {
            continue;
        };
        let ratio = chance / sample.chance;
        if (ratio < 1.0 - clip && advantage < 0.0) || (ratio > 1.0 + clip && advantage > 0.0) {
            continue;
        }
        for f in 1..FEATURES {
            step[f] += advantage / sample.chance * slope[f];
        }
    }
    step
}
