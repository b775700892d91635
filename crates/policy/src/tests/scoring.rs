//! Tests of the score.

use super::*;
use crate::scoring::score::{MAX_LOG_RATIO, log_ratios};

#[rstest]
fn missing_value_counts_as_the_mean() {
    assert_eq!(
        log_ratios(&[Some(2.0), None, Some(2.0)], MAX_LOG_RATIO),
        [0.0, 0.0, 0.0]
    );
}
