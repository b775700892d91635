//! Projection of the candidates' priorities to selection probabilities (equation 4 of the paper in
//! `docs/design.md`).
//!
//! Invariant: the probabilities sum to 1, and only the best [`selectable_count`] candidates have a
//! probability above 0.

/// Returns the number of candidates that may be selected: the best three quarters, and at least two
/// if there are as many.
pub(crate) fn selectable_count(candidates: usize) -> usize {
    (3 * candidates).div_ceil(4).max(2).min(candidates)
}

/// Returns the Euclidean projection of priorities, in descending order, to the selection
/// probabilities of the first `selectable` candidates.
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
