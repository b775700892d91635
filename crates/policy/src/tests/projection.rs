//! Tests of projection.

use super::*;
use crate::scoring::projection::{project, selectable_count};

#[rstest]
#[case(&[4.0], 1, &[1.0])]
#[case(&[1.0, 1.0, 1.0, 1.0], 4, &[0.25, 0.25, 0.25, 0.25])]
#[case(&[5.0, 3.0, 2.0], 2, &[0.6, 0.4, 0.0])]
fn only_selectable_candidates_have_a_probability(
    #[case] priorities: &[f64],
    #[case] selectable: usize,
    #[case] expected: &[f64],
) {
    for (probability, expected) in project(priorities, selectable).iter().zip(expected) {
        assert!((probability - expected).abs() < 1e-9);
    }
}

#[rstest]
#[case(1, 1)]
#[case(2, 2)]
#[case(3, 3)]
#[case(12, 9)]
fn worst_quarter_is_not_selectable(#[case] candidates: usize, #[case] expected: usize) {
    assert_eq!(selectable_count(candidates), expected);
}
