//! Projection of the candidates' priorities to selection probabilities (equation 4 of the paper in
//! `docs/design.md`).
//!
//! Invariant: the probabilities sum to 1, and only the best [`selectable`] candidates have any.

/// Number of candidates that may be selected: all but the worst quarter.
pub(crate) fn selectable(candidates: usize) -> usize {
    (3 * candidates).div_ceil(4).max(2).min(candidates)
}

/// Euclidean projection of descending priorities to the selection probabilities of the first
/// `selectable`.
pub(crate) fn project(priorities: &[f64], selectable: usize) -> Vec<f64> {
    let sum: f64 = priorities.iter().sum();
    let selectable_sum: f64 = priorities.iter().take(selectable).sum();
    let share = (1.0 - selectable_sum / sum) / selectable as f64;
    let probability = |(rank, priority): (usize, &f64)| {
        if rank < selectable {
            priority / sum + share
        } else {
            0.0
        }
    };
    priorities.iter().enumerate().map(probability).collect()
}
