//! Tests of retries, rejections and attempt deadlines.

use super::load_probing::probing_balancer;
use super::*;
use crate::decisions::retry::MAX_FAILURE_PERCENT;

#[rstest]
#[case::idempotent(Idempotency::Idempotent, true, true)]
#[case::not_idempotent(Idempotency::NonIdempotent, true, false)]
#[case::not_idempotent_not_run(Idempotency::NonIdempotent, false, true)]
#[case::key_of_cell(CELL_SCOPED_KEY, true, false)]
#[case::key_not_run(CELL_SCOPED_KEY, false, true)]
#[case::key_of_all(ALL_SCOPED_KEY, true, true)]
fn request_is_rejected_only_if_a_retry_is_safe(
    #[case] idempotency: Idempotency,
    #[case] ran: bool,
    #[case] rejected: bool,
) {
    let (mut balancer, recorder) = balancer(idempotency, 2);
    balancer.reject_or_fail(START_AT, request(&[0], ran));
    assert_eq!(
        (recorder.count("reject"), recorder.count("fail")),
        if rejected { (1, 0) } else { (0, 1) }
    );
}

#[rstest]
#[case::other_cell(CELL_SCOPED_KEY, &[0], 1, 100, false)]
#[case::same_cell(CELL_SCOPED_KEY, &[0], 2, 100, true)]
#[case::after_the_window(CELL_SCOPED_KEY, &[0], 2, 2_000, false)]
#[case::different_cells(CELL_SCOPED_KEY, &[0, 1], 2, 100, false)]
#[case::not_idempotent(Idempotency::NonIdempotent, &[0], 1, 100, false)]
#[case::idempotent(Idempotency::Idempotent, &[0], 1, 100, true)]
#[case::no_attempts_left(Idempotency::Idempotent, &[0, 1, 2], 3, 100, false)]
#[case::too_late(Idempotency::Idempotent, &[0], 1, 5_000, false)]
fn attempts_respect_idempotency_and_limits(
    #[case] idempotency: Idempotency,
    #[case] attempted: &[usize],
    #[case] next: usize,
    #[case] after: Micros,
    #[case] permitted: bool,
) {
    let (balancer, _) = balancer(idempotency, 4);
    assert_eq!(
        balancer.is_attempt_permitted(START_AT + after * MS, &request(attempted, true), next),
        permitted
    );
}

/// No further attempt of the request is allowed, so waiting would only delay its answer.
#[rstest]
#[case::in_its_window(1_000, 0)]
#[case::within_the_margin(1_900, 1)]
#[case::after_the_window(2_100, 1)]
fn request_beyond_its_idempotency_window_fails_immediately(
    #[case] after: u64,
    #[case] failed: usize,
) {
    let (mut balancer, recorder) = balancer(CELL_SCOPED_KEY, 8);
    let mut sent = request(&[0], true);
    sent.deadline = START_AT + 60_000 * MS;
    sent.objective_at = sent.deadline;
    sent.attempts[0].in_flight = true;
    balancer.requests.insert(Rc::clone(&sent.id), sent);
    let now = START_AT + after * MS;
    balancer.attempt_ended(
        now,
        "t",
        attempt_end(0, false, AttemptOutcome::ConnectionLost, after * MS),
    );
    assert_eq!(recorder.count("fail"), failed);
}

/// The request may be the cause of the failure of its endpoints.
#[rstest]
#[case::first_lost(0, AttemptOutcome::ConnectionLost, 2)]
#[case::second_lost(1, AttemptOutcome::ConnectionLost, 2)]
#[case::second_rejected(1, AttemptOutcome::Rejected, 3)]
#[case::second_failed(1, AttemptOutcome::Failed, 3)]
fn no_third_attempt_after_two_lost_connections(
    #[case] before: usize,
    #[case] outcome: AttemptOutcome,
    #[case] attempts: usize,
) {
    let (mut balancer, recorder) = balancer(Idempotency::Idempotent, 4);
    arrive(&mut balancer, START_AT, "a");
    (0..before).for_each(|n| {
        balancer.attempt_ended(
            START_AT + 5 * MS,
            "a",
            attempt_end(n, false, AttemptOutcome::ConnectionLost, 5 * MS),
        );
    });
    balancer.attempt_ended(
        START_AT + 10 * MS,
        "a",
        attempt_end(before, false, outcome, 5 * MS),
    );
    assert_eq!(
        (recorder.count("attempt"), recorder.count("reject")),
        (attempts, usize::from(attempts == 2 && before == 1))
    );
}

/// Lost connections at endpoints that are still up must not end a request.
#[rstest]
fn request_is_retried_once_an_endpoint_that_lost_its_connection_responds() {
    let (mut balancer, recorder) = balancer(Idempotency::Idempotent, 60);
    arrive(&mut balancer, START_AT, "a");
    balancer.attempt_ended(
        START_AT + MS,
        "a",
        attempt_end(0, false, AttemptOutcome::ConnectionLost, MS),
    );
    balancer.attempt_ended(
        START_AT + 2 * MS,
        "a",
        attempt_end(1, false, AttemptOutcome::ConnectionLost, MS),
    );
    assert_eq!(
        (recorder.count("attempt"), balancer.queue.requests.len()),
        (2, 1)
    );
    let first = balancer.queue.requests[0].attempts[0].endpoint;
    balancer.endpoints[first].last_success = START_AT + 3 * MS;
    balancer.process_queue(START_AT + 3 * MS);
    assert_eq!(
        (recorder.count("attempt"), recorder.count("reject")),
        (3, 0)
    );
}

#[rstest]
fn request_is_not_retried_at_an_endpoint_that_failed_it() {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 3);
    assert_eq!(
        balancer
            .candidates(START_AT, &request(&[1], true))
            .iter()
            .filter(|&&u| u == 1)
            .count(),
        0
    );
    assert!(
        balancer
            .candidates(START_AT, &request(&[0, 1, 2], true))
            .is_empty()
    );
}

#[rstest]
fn retry_after_lies_within_the_latency_objective() {
    let (mut balancer, recorder) = balancer(Idempotency::Idempotent, 0);
    balancer.settings.max_retry_after = 9_000 * MS;
    balancer.reject_or_fail(START_AT, request(&[], false));
    let retry_after = recorder.calls.borrow()[1]
        .rsplit(' ')
        .next()
        .and_then(|wait| wait.parse::<Micros>().ok());
    assert!(retry_after > Some(0) && retry_after < Some(400 * MS));
}

/// The attempt cannot be cancelled, and a timeout at the deadline would leave no time for another
/// attempt.
#[rstest]
#[case::idempotent(Idempotency::Idempotent, true)]
#[case::not_idempotent(Idempotency::NonIdempotent, false)]
fn attempt_at_a_lossy_endpoint_leaves_time_for_another(
    #[case] idempotency: Idempotency,
    #[case] early: bool,
) {
    let (mut balancer, _) = probing_balancer(idempotency, false);
    balancer.settings.can_cancel = false;
    balancer.endpoints[0].failure_percent = MAX_FAILURE_PERCENT + 1;
    let mut sent = request(&[], false);
    balancer.send(START_AT, &mut sent, 0, None);
    let until = balancer.host.first_attempt_deadline();
    assert_eq!(until < Some(sent.objective_at - START_AT), early);
}

/// Retries would add to an overload if work is only slow, or if many attempts are lost.
#[rstest]
#[case::lost(6.0, 0.0, 100.0, true)]
#[case::single_loss(1.0, 0.0, 100.0, false)]
#[case::slow_and_answered(6.0, 6.0, 100.0, false)]
#[case::much_is_lost(6.0, 0.0, 40.0, false)]
fn attempt_of_a_lossy_class_leaves_time_for_another(
    #[case] lost: f64,
    #[case] slow: f64,
    #[case] served: f64,
    #[case] early: bool,
) {
    let (mut balancer, _) = balancer(CELL_SCOPED_KEY, 4);
    let latency = &mut balancer.class_latency[0];
    latency
        .recent
        .add(START_AT, RECENT_HORIZON_US, 25_000.0, served);
    latency.overdue.add(START_AT, RECENT_HORIZON_US, 1.0, lost);
    latency.overdue.add(START_AT, RECENT_HORIZON_US, 0.0, slow);
    let mut sent = request(&[], false);
    balancer.send(START_AT, &mut sent, 0, None);
    let until = balancer.host.first_attempt_deadline();
    assert_eq!(until, Some(if early { 200 * MS } else { 5_000 * MS }));
    // Two attempts are never in flight at the same time: the next one is permitted after the first
    // has ended.
    assert!(!balancer.is_attempt_permitted(START_AT, &sent, 2));
    balancer.record_attempt_end(
        START_AT + 200 * MS,
        &mut sent,
        attempt_end(0, false, AttemptOutcome::TimedOut, 200 * MS),
    );
    assert!(balancer.is_attempt_permitted(START_AT + 200 * MS, &sent, 2));
    assert!(balancer.class_latency[0].overdue.weight.sum > lost + slow - 1.0);
}

/// A balancer with little traffic cannot detect losses itself, so the ledger owner reports them.
#[rstest]
#[case::few_lost(10, 5_000)]
#[case::a_quarter_lost(25, 200)]
fn attempt_times_out_earlier_if_the_ledger_reports_losses(#[case] lost: u64, #[case] until: u64) {
    let (mut balancer, _) = probing_balancer(Idempotency::Idempotent, false);
    balancer.settings.can_cancel = false;
    balancer.class_latency[0]
        .recent
        .add(START_AT, RECENT_HORIZON_US, 50.0 * MS as f64, 1.0);
    let (ledger_owner, gossip_id) = (balancer.ledger_owner(0), balancer.endpoints[0].gossip_id());
    balancer.gossip_received(
        START_AT,
        ledger_owner,
        &format!("= {gossip_id:x} 0 {lost:x}"),
    );
    balancer.send(START_AT, &mut request(&[], false), 0, None);
    let deadline = balancer.host.first_attempt_deadline();
    assert_eq!(deadline.map(|deadline| deadline / MS), Some(until));
}

/// The limits of attempts before and after a change of settings both apply.
#[rstest]
fn stricter_limit_and_one_attempt_in_flight_hold_after_a_change_of_settings() {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 4);
    balancer.settings.max_attempts = 2;
    let mut open = request(&[0], true);
    open.attempts[0].in_flight = true;
    balancer.requests.insert(Rc::clone(&open.id), open);
    balancer.settings_changed(Settings {
        max_attempts: 5,
        ..balancer.settings.clone()
    });
    let mut open = balancer.requests.remove("t").unwrap();
    assert!(!balancer.is_attempt_permitted(START_AT + MS, &open, 1));
    open.attempts[0].in_flight = false;
    assert!(balancer.is_attempt_permitted(START_AT + MS, &open, 1));
    open.attempts.push(Attempt {
        in_flight: false,
        ..Attempt::new(1, Some(location(1)), START_AT, None)
    });
    assert!(!balancer.is_attempt_permitted(START_AT + MS, &open, 2));
}
