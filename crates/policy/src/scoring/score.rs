//! Scores of the candidates for a request: one row of features for each candidate, weighted and
//! passed through softplus.
//!
//! Ratios to the candidates' mean make one set of weights serve endpoints of any speed and fleets
//! of any size. An endpoint without a value counts as the mean, 0.

/// Number of features of a candidate.
pub(crate) const FEATURE_COUNT: usize = 7;

/// Features of one candidate, or their weights: constant, own latency, reported utilisation,
/// requests in flight, capacity, same zone, reported queue.
pub(crate) type FeatureRow = [f64; FEATURE_COUNT];

/// The constant puts an average endpoint on the exponential part of softplus, where weights act as
/// exponents.
pub(crate) const INITIAL_WEIGHTS: FeatureRow = [-4.0, -3.0, -0.3, -3.0, 1.0, 0.4, -0.3];
/// Bound of the logarithm of a ratio, so that no single reading decides.
pub(crate) const MAX_LOG_RATIO: f64 = 3.0;
/// Smallest ratio to the mean, as a logarithm needs one above 0.
const MIN_RATIO: f64 = 1e-3;

/// The feature rows of a decision by falling priority, and the candidate that was selected.
pub(crate) struct DecisionSample {
    pub(crate) rows: Vec<FeatureRow>,
    pub(crate) selected: usize,
    /// Probability with which it was selected.
    pub(crate) probability: f64,
}

/// Smooth positive function: ln(1 + e^x).
pub(crate) fn softplus(x: f64) -> f64 {
    // Beyond this e^x loses the 1, and overflows later.
    if x > 30.0 { x } else { x.exp().ln_1p() }
}

/// The weighted sum of a feature row.
pub(crate) fn dot(weights: &FeatureRow, row: &FeatureRow) -> f64 {
    weights.iter().zip(row).map(|(w, s)| w * s).sum()
}

/// Each value as the bounded logarithm of its ratio to the mean; 0 for a missing value.
pub(crate) fn log_ratios(values: &[Option<f64>], max_log_ratio: f64) -> Vec<f64> {
    let present = values.iter().flatten().count().max(1) as f64;
    let mean = values.iter().flatten().sum::<f64>() / present;
    let log_ratio = |value: &Option<f64>| match value {
        Some(value) if mean > 0.0 => {
            let ratio = (value / mean).max(MIN_RATIO);
            ratio.ln().clamp(-max_log_ratio, max_log_ratio)
        }
        _ => 0.0,
    };
    values.iter().map(log_ratio).collect()
}
