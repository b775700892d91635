//! Tests of the safety margin for deadlines in real time.

use rstest::rstest;

use super::*;

#[rstest]
#[case::long(2_000_000, 1_850_000)]
#[case::usual(400_000, 250_000)]
#[case::short(200_000, 100_000)]
#[case::none(0, 0)]
fn margin_takes_at_most_half_of_the_span(#[case] span: Micros, #[case] before: Micros) {
    assert_eq!(start_deadline(1_000_000, span), 1_000_000 + before);
}
