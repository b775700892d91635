//! Online learning of the score's weights by a clipped policy-gradient step over the latest rewards
//! (equations 5, 6 and 9 of the paper in `docs/design.md`).
//!
//! Invariant: no weight changes its sign, and the ratio of each weight to its initial value stays
//! between `MIN_WEIGHT_RATIO` and the inverse of `MIN_WEIGHT_RATIO`.

use crate::Micros;
use crate::scoring::projection::selectable_count;
use crate::scoring::score::{
    DecisionSample, FEATURE_COUNT, FeatureRow, INITIAL_WEIGHTS, dot, softplus,
};
use crate::state::decaying::{DecayingAverage, LONG_TERM_HORIZON_US};

/// Lower bound of a weight relative to its initial value; the upper bound is the inverse.
pub(crate) const MIN_WEIGHT_RATIO: f64 = 0.4;
/// Upper bound of a reward, so that no single response dominates an update.
pub(crate) const MAX_REWARD: f64 = 3.0;
const LEARNING_RATE: f64 = 0.1;
/// Clipping range of the probability ratio; ε in the paper.
const CLIP_RATIO: f64 = 0.2;
const EPOCHS_PER_UPDATE: usize = 2;
/// Fraction of the difference to the initial weights that each step removes, to limit drift.
const WEIGHT_DECAY: f64 = 0.02;
const SAMPLES_PER_UPDATE: usize = 256;
const UPDATE_INTERVAL_US: Micros = 2_000_000;

/// A decision and the reward of its outcome.
pub(crate) struct RewardedSample {
    pub(crate) sample: DecisionSample,
    pub(crate) reward: f64,
}

/// Probability of the selected candidate, and its gradient with respect to the weights.
pub(crate) struct SelectionGradient {
    pub(crate) probability: f64,
    pub(crate) gradient: FeatureRow,
}

/// The learned weights and the samples since the last update.
pub(crate) struct Learning {
    pub(crate) weights: FeatureRow,
    pub(crate) samples: Vec<RewardedSample>,
    /// Long-term average of the rewards: the baseline of the advantage.
    pub(crate) rewards: DecayingAverage,
    updated_at: Micros,
}

impl Learning {
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            weights: INITIAL_WEIGHTS,
            samples: Vec::new(),
            rewards: DecayingAverage::default(),
            updated_at: now,
        }
    }

    /// Records the reward of a decision, and updates the weights once `SAMPLES_PER_UPDATE` samples
    /// were recorded or `UPDATE_INTERVAL_US` has passed.
    pub(crate) fn record(&mut self, now: Micros, sample: Option<DecisionSample>, reward: f64) {
        self.samples
            .extend(sample.map(|sample| RewardedSample { sample, reward }));
        if self.samples.len() >= SAMPLES_PER_UPDATE || now > self.updated_at + UPDATE_INTERVAL_US {
            self.update_weights(now);
        }
    }

    /// Updates the weights by the clipped policy-gradient step over the samples since the last
    /// update.
    pub(crate) fn update_weights(&mut self, now: Micros) {
        self.updated_at = now;
        let samples = std::mem::take(&mut self.samples);
        for rewarded in &samples {
            self.rewards
                .add(now, LONG_TERM_HORIZON_US, rewarded.reward, 1.0);
        }
        let Some(baseline) = self.rewards.read() else {
            return;
        };
        for _ in 0..EPOCHS_PER_UPDATE {
            let step = clipped_step(&self.weights, &samples, baseline);
            for f in 1..FEATURE_COUNT {
                let step = LEARNING_RATE * step[f] / SAMPLES_PER_UPDATE as f64;
                let initial = INITIAL_WEIGHTS[f];
                let moved = self.weights[f] + step + WEIGHT_DECAY * (initial - self.weights[f]);
                let ratio = (moved / initial).clamp(MIN_WEIGHT_RATIO, 1.0 / MIN_WEIGHT_RATIO);
                self.weights[f] = initial * ratio;
            }
        }
    }
}

/// Returns the probability with which the current weights select the candidate of the sample, and
/// its gradient, computed through softplus, normalisation and projection; `None` if the candidate
/// is no longer selectable.
pub(crate) fn selection_gradient(
    weights: &FeatureRow,
    sample: &DecisionSample,
    selectable: usize,
) -> Option<SelectionGradient> {
    let scores: Vec<f64> = sample.rows.iter().map(|row| dot(weights, row)).collect();
    // Candidates that tie with the last selectable one count as selectable.
    let last = *scores
        .clone()
        .select_nth_unstable_by(selectable - 1, |a, b| b.total_cmp(a))
        .1;
    let unselectable = |candidate: usize| scores[candidate] < last;
    if unselectable(sample.selected) {
        return None;
    }
    let (mut sum, mut own_sum) = (0.0, 0.0);
    let (mut sum_gradient, mut own_gradient) = ([0.0; FEATURE_COUNT], [0.0; FEATURE_COUNT]);
    for (candidate, row) in sample.rows.iter().enumerate() {
        let score = scores[candidate];
        let (priority, derivative) = (softplus(score), 1.0 / (1.0 + (-score).exp()));
        let share = if unselectable(candidate) {
            1.0 / selectable as f64
        } else {
            0.0
        };
        let own = if candidate == sample.selected {
            1.0
        } else {
            share
        };
        sum += priority;
        own_sum += own * priority;
        for f in 0..FEATURE_COUNT {
            sum_gradient[f] += derivative * row[f];
            own_gradient[f] += own * derivative * row[f];
        }
    }
    let probability = own_sum / sum;
    let gradient = std::array::from_fn(|f| (own_gradient[f] - probability * sum_gradient[f]) / sum);
    Some(SelectionGradient {
        probability,
        gradient,
    })
}

/// Returns the clipped policy-gradient step. The advantage of a sample is its reward minus
/// `baseline`.
fn clipped_step(weights: &FeatureRow, samples: &[RewardedSample], baseline: f64) -> FeatureRow {
    let mut step = [0.0; FEATURE_COUNT];
    for RewardedSample { sample, reward } in samples {
        let advantage = reward - baseline;
        let selectable = selectable_count(sample.rows.len());
        let Some(selection) = selection_gradient(weights, sample, selectable) else {
            continue;
        };
        let ratio = selection.probability / sample.probability;
        let clipped_down = ratio < 1.0 - CLIP_RATIO && advantage < 0.0;
        let clipped_up = ratio > 1.0 + CLIP_RATIO && advantage > 0.0;
        if clipped_down || clipped_up {
            continue;
        }
        let scale = advantage / sample.probability;
        for (step, derivative) in step.iter_mut().zip(selection.gradient).skip(1) {
            *step += scale * derivative;
        }
    }
    step
}
