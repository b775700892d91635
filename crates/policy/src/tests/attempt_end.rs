//! Tests of the end of an attempt.

use super::load_probing::probing_balancer;
use super::*;

#[rstest]
#[case::error(AttemptOutcome::Failed)]
#[case::unreachable(AttemptOutcome::Unreachable)]
fn fast_failure_counts_as_a_slow_response(#[case] outcome: AttemptOutcome) {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 1);
    balancer
        .fleet
        .latency
        .add(START_AT, LONG_TERM_HORIZON_US, 100_000.0, 1.0);
    let mut sent = request(&[0], true);
    sent.attempts[0].in_flight = true;
    balancer.record_attempt_end(START_AT, &mut sent, attempt_end(0, false, outcome, 10));
    assert!(balancer.endpoints[0].latency(START_AT).unwrap() > 100_000.0);
}

#[rstest]
fn one_fast_response_does_not_set_the_minimum_latency() {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 1);
    balancer.endpoints[0].min_latency = Some(100_000.0);
    balancer.endpoints[0]
        .long_term_latency
        .add(START_AT, LONG_TERM_HORIZON_US, 100_000.0, 20.0);
    let mut sent = request(&[0], true);
    sent.attempts[0].in_flight = true;
    balancer.record_attempt_end(
        START_AT,
        &mut sent,
        attempt_end(0, false, AttemptOutcome::Succeeded, 5_000),
    );
    assert!(balancer.endpoints[0].min_latency > Some(99_000.0));
}

/// The duration of a lost attempt does not measure the endpoint's speed.
#[rstest]
fn lost_attempt_counts_as_a_failure_whatever_its_duration() {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 1);
    balancer
        .fleet
        .latency
        .add(START_AT, LONG_TERM_HORIZON_US, 25_000.0, 1.0);
    let mut sent = request(&[0], true);
    sent.attempts[0].in_flight = true;
    balancer.record_attempt_end(
        START_AT + 600 * MS,
        &mut sent,
        attempt_end(0, false, AttemptOutcome::TimedOut, 600 * MS),
    );
    let latency = balancer.endpoints[0].recent_latency.read().unwrap();
    assert!((latency - 75_000.0).abs() < 1.0, "{latency}");
}

/// A request on a dropped connection is lost, and may not be sent again if it is not idempotent.
#[rstest]
#[case::immediately(MS, true)]
#[case::during_the_attempt(900 * MS, false)]
fn idle_connections_are_closed_after_an_idle_drop(#[case] elapsed: Micros, #[case] dropped: bool) {
    let (mut balancer, recorder) = probing_balancer(Idempotency::NonIdempotent, false);
    balancer.settings.gossip_allowed = dropped;
    let mut sent = request(&[0], true);
    (sent.attempts[0].in_flight, sent.attempts[0].idle_for) = (true, Some(2_000 * MS));
    balancer.record_attempt_end(
        START_AT,
        &mut sent,
        attempt_end(0, false, AttemptOutcome::ConnectionLost, elapsed),
    );
    balancer.endpoints[1].last_used = Some(START_AT);
    balancer.send(START_AT + 3_000 * MS, &mut request(&[], false), 1, None);
    assert_eq!(
        (recorder.count("gossip all ~"), recorder.count("close u1")),
        if dropped { (1, 1) } else { (0, 0) }
    );
}

/// A response in time does not count among overdue attempts; a late one shows that the work is
/// slow.
#[rstest]
#[case::in_time(AttemptOutcome::Succeeded, 20, None)]
#[case::slow(AttemptOutcome::Succeeded, 200, Some(0.0))]
#[case::lost(AttemptOutcome::TimedOut, 200, Some(1.0))]
#[case::client_disconnected(AttemptOutcome::Cancelled, 200, None)]
fn only_timed_out_attempts_count_as_lost_among_overdue_ones(
    #[case] outcome: AttemptOutcome,
    #[case] after: u64,
    #[case] lost: Option<f64>,
) {
    let (mut balancer, _) = balancer(CELL_SCOPED_KEY, 2);
    balancer.class_latency[0]
        .recent
        .add(START_AT, RECENT_HORIZON_US, 25_000.0, 1.0);
    let mut sent = request(&[0], true);
    sent.attempts[0].in_flight = true;
    balancer.record_attempt_end(
        START_AT + after * MS,
        &mut sent,
        attempt_end(0, false, outcome, after * MS),
    );
    assert_eq!(balancer.class_latency[0].overdue.read(), lost);
}
