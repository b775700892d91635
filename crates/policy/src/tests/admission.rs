//! Tests of load shedding.

use super::*;
use crate::state::admission::INITIAL_ADMITTED_SHARE;

/// Concurrency limits cannot hold back a large fleet, because no balancer's limit is less than one
/// request.
#[rstest]
#[case::late(3.0, true)]
#[case::early(0.3, false)]
fn large_fleet_admits_a_smaller_share_under_pressure(#[case] pressure: f64, #[case] reduced: bool) {
    let mut balancer = one_of_many(0, 800, 100);
    balancer.admission.admitted_share = INITIAL_ADMITTED_SHARE;
    for n in 0..40 {
        balancer
            .fleet
            .pressure
            .add(START_AT, MICROS_PER_SECOND, pressure, 1.0);
        arrive(&mut balancer, START_AT + n, &n.to_string());
    }
    assert_eq!(
        balancer.admission.admitted_share < INITIAL_ADMITTED_SHARE,
        reduced
    );
}
