//! Tests of latency estimates.

use super::*;

#[rstest]
fn recent_span_is_short_after_a_start() {
    let (balancer, _) = balancer(Idempotency::Idempotent, 0);
    assert!(balancer.recent_span(START_AT + 600 * MS) < 0.4 * RECENT_HORIZON_US);
    assert_eq!(
        balancer.recent_span(START_AT + 9_000 * MS),
        RECENT_HORIZON_US
    );
}
