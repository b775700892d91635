//! Tests of the queue of waiting requests.

use super::*;

#[rstest]
#[case::no_endpoint(0, 1)]
#[case::one_endpoint(1, 0)]
fn request_is_never_left_without_an_answer(#[case] endpoints: usize, #[case] rejected: usize) {
    let (mut balancer, recorder) = balancer(Idempotency::Idempotent, endpoints);
    arrive(&mut balancer, START_AT, "a");
    balancer.timer_expired(START_AT + 400 * MS, QUEUE_TIMER);
    assert_eq!(recorder.count("reject"), rejected);
}

#[rstest]
fn request_without_spare_time_is_rejected_immediately() {
    let (mut balancer, recorder) = balancer(Idempotency::Idempotent, 0);
    balancer.request_arrived(START_AT, arrival("a", START_AT + 5 * MS));
    assert_eq!(recorder.count("reject"), 1);
}

/// Returns the numbers of queued and of rejected requests after one arrives behind another that
/// waits. `admitted` is the number of recently admitted requests of its tenant.
fn queued_and_rejected(endpoints: usize, admitted: f64) -> (usize, usize) {
    let (mut balancer, recorder) = balancer(Idempotency::Idempotent, endpoints);
    balancer.admission.tenants[0].add(START_AT, RECENT_HORIZON_US, admitted);
    balancer
        .fleet
        .succeeded
        .add(START_AT, RECENT_HORIZON_US, 80.0);
    balancer.started_at = 0;
    balancer.queue.requests.push(request(&[], false));
    arrive(&mut balancer, START_AT, "a");
    (balancer.queue.requests.len() - 1, recorder.count("reject"))
}

#[rstest]
#[case::beyond(60.0, 0)]
#[case::within(0.0, 1)]
fn request_beyond_its_quota_is_not_queued(#[case] admitted: f64, #[case] queued: usize) {
    assert_eq!(queued_and_rejected(6, admitted), (queued, 1 - queued));
}

/// With fewer than three endpoints per balancer, freed capacity goes to the requests of other
/// balancers.
#[rstest]
#[case::own_capacity(6, 1)]
#[case::shared_capacity(5, 0)]
fn requests_are_queued_only_with_several_endpoints_per_balancer(
    #[case] endpoints: usize,
    #[case] queued: usize,
) {
    assert_eq!(queued_and_rejected(endpoints, 0.0), (queued, 1 - queued));
}

/// A retry that may only go to its own cell must not hold back requests that may go to any
/// endpoint.
#[rstest]
#[case::sent_before(&[0], 1)]
#[case::never_sent(&[], 0)]
fn queued_retry_does_not_block_new_requests(#[case] sent: &[usize], #[case] attempted: usize) {
    let (mut balancer, recorder) = balancer(
        Idempotency::IdempotencyKey {
            scope: IdempotencyScope::Cell,
            window: 1_000 * MS,
        },
        6,
    );
    balancer.queue.requests.push(request(sent, true));
    arrive(&mut balancer, START_AT, "a");
    assert_eq!(recorder.count("attempt a"), attempted);
}

#[rstest]
#[case::never_sent(&[], 0)]
#[case::sent_before(&[0], 1)]
fn queued_retry_does_not_count_as_a_queue_ahead(#[case] sent: &[usize], #[case] queued: usize) {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 6);
    balancer
        .fleet
        .succeeded
        .add(START_AT, RECENT_HORIZON_US, 30.0);
    balancer.started_at = 0;
    for u in 0..6 {
        balancer.endpoints[u].in_flight = vec![in_flight(START_AT); 9];
    }
    balancer.queue.requests.push(request(sent, true));
    let arriving = Request {
        objective_at: START_AT + 401 * MS,
        ..request(&[], false)
    };
    balancer.place_or_queue(START_AT, arriving);
    assert_eq!(balancer.queue.requests.len() - 1, queued);
}
