//! Tests of concurrency limits.

use super::*;
use crate::decisions::concurrency::CONCURRENCY_LIMIT_FACTOR;
use crate::state::endpoint::InFlightLoad;

#[rstest]
fn new_balancer_of_a_large_fleet_sends_two_requests() {
    let (mut balancer, recorder) = balancer(Idempotency::Idempotent, 6);
    balancer.settings.balancers = 20;
    (0..6).for_each(|n| arrive(&mut balancer, START_AT, &n.to_string()));
    assert_eq!(recorder.count("attempt"), 2);
}

#[rstest]
fn endpoint_is_avoided_for_a_time_after_a_rejection() {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 1);
    balancer.class_latency[0]
        .recent
        .add(START_AT, RECENT_HORIZON_US, 80_000.0, 1.0);
    let mut sent = request(&[0], true);
    sent.attempts[0].in_flight = true;
    balancer.record_attempt_end(
        START_AT,
        &mut sent,
        attempt_end(0, false, AttemptOutcome::Rejected, 10),
    );
    assert!(
        !balancer.has_capacity(START_AT + 20 * MS, 0)
            && balancer.has_capacity(START_AT + 50 * MS, 0)
    );
}

/// Lost attempts must not use up the concurrency limit of the subset either.
#[rstest]
fn unresponsive_endpoint_gets_one_request_at_a_time() {
    let (mut balancer, _) = balancer(Idempotency::NonIdempotent, 4);
    let sent_at = START_AT - 500 * MS;
    balancer.endpoints[0].unanswered_since = Some(sent_at);
    balancer.endpoints[0].in_flight = vec![in_flight(sent_at); 90];
    balancer.endpoints[0].last_used = Some(START_AT - 10 * MS);
    assert!(
        !balancer
            .candidates(START_AT, &request(&[], false))
            .contains(&0)
    );
    assert!(balancer.subset_has_capacity(START_AT));
    balancer.endpoints[0].in_flight.clear();
    assert!(
        balancer
            .candidates(START_AT + 600 * MS, &request(&[], false))
            .contains(&0)
    );
}

/// Connections are refused immediately, and each retry at such an endpoint would cost a request
/// some of its time.
#[rstest]
#[case::refused(AttemptOutcome::Unreachable, true)]
#[case::served(AttemptOutcome::Succeeded, false)]
#[case::connection_reset(AttemptOutcome::ConnectionLost, false)]
fn endpoint_that_did_not_run_a_request_is_avoided_for_half_a_latency(
    #[case] outcome: AttemptOutcome,
    #[case] avoided: bool,
) {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 1);
    balancer.class_latency[0]
        .recent
        .add(START_AT, RECENT_HORIZON_US, 100_000.0, 1.0);
    let mut sent = request(&[0], true);
    sent.attempts[0].in_flight = true;
    balancer.record_attempt_end(START_AT, &mut sent, attempt_end(0, false, outcome, 10));
    assert_eq!(balancer.endpoints[0].backoff_until > START_AT, avoided);
    assert_eq!(
        (
            balancer.has_capacity(START_AT + 49 * MS, 0),
            balancer.has_capacity(START_AT + 50 * MS, 0)
        ),
        (!avoided, true)
    );
}

/// With a limit of one, a lost attempt that took up capacity would block the request that tests
/// whether the endpoint responds.
#[rstest]
#[case::lost(900, true, 0.0)]
#[case::not_lost_yet(10, false, 1.0)]
fn lost_attempt_takes_up_no_capacity(
    #[case] earlier: u64,
    #[case] has_capacity: bool,
    #[case] counted: f64,
) {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 1);
    balancer.settings.balancers = 2;
    let now = START_AT + 1_000 * MS;
    balancer.class_latency[0]
        .recent
        .add(now, RECENT_HORIZON_US, 25_000.0, 1.0);
    balancer.send(now - earlier * MS, &mut request(&[], false), 0, None);
    assert_eq!(
        (
            balancer.concurrency_limit(now, 0),
            balancer.has_capacity(now, 0)
        ),
        (1.0, has_capacity)
    );
    assert_eq!(
        balancer.endpoints[0].in_flight_since(balancer.lost_before(now)),
        InFlightLoad {
            attempts: counted,
            work: counted
        }
    );
    assert_eq!(
        balancer.candidates(now, &request(&[], false)),
        if has_capacity { vec![0] } else { vec![] }
    );
    // One request at a time tests whether the endpoint responds again.
    if balancer.send(now, &mut request(&[], false), 0, None) {
        assert!(
            balancer
                .candidates(now + 90 * MS, &request(&[], false))
                .is_empty()
        );
    }
    balancer.endpoints[0].release(in_flight(now - earlier * MS));
    assert_eq!(balancer.endpoints[0].in_flight, [in_flight(now)]);
}

#[rstest]
fn hung_endpoint_gets_one_trial_request_at_a_time() {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 1);
    balancer.class_latency[0]
        .recent
        .add(START_AT, RECENT_HORIZON_US, 25_000.0, 1.0);
    let mut sent = 0;
    for at in (0..2_000).map(|ms| START_AT + ms * MS) {
        balancer.class_latency[0]
            .recent
            .add(at, RECENT_HORIZON_US, 25_000.0, 1.0);
        if !balancer.candidates(at, &request(&[], false)).is_empty() {
            balancer.send(at, &mut request(&[], false), 0, None);
            sent += 1;
        }
    }
    // The limit allows two attempts before the endpoint is unresponsive; then one follows every 100
    // ms.
    assert!((18..=22).contains(&sent), "{sent}");
}

#[rstest]
#[case::at_minimum_latency(1.0, 20.0 * CONCURRENCY_LIMIT_FACTOR)]
#[case::at_five_times_the_minimum(5.0, 4.0 * CONCURRENCY_LIMIT_FACTOR)]
fn limit_follows_the_ratio_of_minimum_to_current_latency(#[case] latency: f64, #[case] limit: f64) {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 4);
    balancer.started_at = 0;
    balancer.endpoints[0]
        .busy_time
        .add(START_AT, RECENT_HORIZON_US, 20.0 * RECENT_HORIZON_US);
    balancer.endpoints[0].min_latency = Some(1.0);
    balancer.endpoints[0]
        .recent_latency
        .add(START_AT, RECENT_HORIZON_US, latency, 1.0);
    assert!((balancer.concurrency_limit(START_AT, 0) - limit).abs() < 1e-6);
}
