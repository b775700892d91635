//! Scores of the candidates for a request: one row of features for each candidate, weighted and
//! passed through softplus.
//!
//! Features are ratios to the candidates' mean, so that one set of weights serves endpoints of any
//! speed and fleets of any size. A missing value counts as the mean, which is a feature of 0.

/// Number of features of a candidate.
pub(crate) const FEATURE_COUNT: usize = 7;

/// Features of one candidate, or their weights, in this order: constant, own latency, reported
/// utilisation, requests in flight, capacity, same zone, reported queue.
pub(crate) type FeatureRow = [f64; FEATURE_COUNT];

/// Initial weights. The weight of the constant places an average endpoint on the exponential part
/// of softplus, where weights act as exponents.
pub(crate) const INITIAL_WEIGHTS: FeatureRow = [-4.0, -3.0, -0.3, -3.0, 1.0, 0.4, -0.3];
/// Bound of the absolute logarithm of a ratio, so that no single value dominates the score.
pub(crate) const MAX_LOG_RATIO: f64 = 3.0;
/// Lower bound of a ratio to the mean, because the logarithm requires a ratio above 0.
const MIN_RATIO_TO_MEAN: f64 = 1e-3;

/// Feature rows of a decision in descending priority, and the selected candidate.
pub(crate) struct DecisionSample {
    pub(crate) rows: Vec<FeatureRow>,
    pub(crate) selected: usize,
    /// Probability with which the candidate was selected.
    pub(crate) probability: f64,
}

/// Returns softplus, the smooth positive function ln(1 + e^x).
pub(crate) fn softplus(x: f64) -> f64 {
    // Above 30 the 1 is lost in the sum with e^x, and e^x overflows for larger values.
    if x > 30.0 { x } else { x.exp().ln_1p() }
}

/// Returns the weighted sum of a feature row.
pub(crate) fn dot(weights: &FeatureRow, row: &FeatureRow) -> f64 {
    weights.iter().zip(row).map(|(w, s)| w * s).sum()
}

/// Returns the logarithm of each value's ratio to the mean, bounded by `max_log_ratio`; 0 for a
/// missing value.
pub(crate) fn log_ratios(values: &[Option<f64>], max_log_ratio: f64) -> Vec<f64> {
    let present = values.iter().flatten().count().max(1) as f64;
    let mean = values.iter().flatten().sum::<f64>() / present;
    let log_ratio = |value: &Option<f64>| match value {
        Some(value) if mean > 0.0 => {
            let ratio = (value / mean).max(MIN_RATIO_TO_MEAN);
            ratio.ln().clamp(-max_log_ratio, max_log_ratio)
        }
        _ => 0.0,
    };
    values.iter().map(log_ratio).collect()
}
