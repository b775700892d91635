//! Tests of ordering by key. Each test builds a balancer whose only class is ordered by key.

use super::*;
use crate::state::timers::TimerPurpose;

const KEY: u64 = 7;

fn ordered_by_key(idempotency: Idempotency) -> (Balancer<RecordingHost>, RecordingHost) {
    let (mut balancer, recorder) = balancer(idempotency, 4);
    balancer.settings.classes[0].ordered_by_key = true;
    (balancer, recorder)
}

fn arrive(balancer: &mut Balancer<RecordingHost>, now: Micros, id: &str, key: Option<u64>) {
    let arrival = RequestArrival {
        key,
        ..arrival(id, now + 1_000 * MS)
    };
    balancer.request_arrived(now, arrival);
}

/// Expires all timers of key queues, including those that are not due, which must have no effect.
fn expire_timers(balancer: &mut Balancer<RecordingHost>, now: Micros) {
    for timer in 0..=balancer.timers.last_id {
        if let Some(TimerPurpose::KeyQueue(_)) = balancer.timers.pending.get(&timer) {
            balancer.timer_expired(now, timer);
        }
    }
}

#[rstest]
#[case::same_key(Some(KEY), Some(KEY), 1)]
#[case::other_key(Some(KEY), Some(8), 2)]
#[case::no_key(None, None, 2)]
fn requests_of_one_key_run_one_at_a_time(
    #[case] first: Option<u64>,
    #[case] second: Option<u64>,
    #[case] sent: usize,
) {
    let (mut balancer, recorder) = ordered_by_key(Idempotency::Idempotent);
    arrive(&mut balancer, START_AT, "a", first);
    arrive(&mut balancer, START_AT, "b", second);
    expire_timers(&mut balancer, START_AT + MS);
    assert_eq!(recorder.count("attempt"), sent);
    balancer.attempt_ended(
        START_AT + 20 * MS,
        "a",
        attempt_end(0, true, AttemptOutcome::Succeeded, 20 * MS),
    );
    expire_timers(&mut balancer, START_AT + 22 * MS);
    assert_eq!(
        (recorder.count("attempt b"), recorder.count("attempt")),
        (1, 2)
    );
}

#[rstest]
fn requests_of_one_key_run_in_the_order_of_arrival() {
    let (mut balancer, recorder) = ordered_by_key(Idempotency::Idempotent);
    balancer.class_latency[0]
        .recent
        .add(START_AT, RECENT_HORIZON_US, 20.0 * MS as f64, 1.0);
    for id in ["a", "b", "c"] {
        arrive(&mut balancer, START_AT, id, Some(KEY));
    }
    for (n, id) in (1..).zip(["a", "b"]) {
        balancer.attempt_ended(
            START_AT + n * 20 * MS,
            id,
            attempt_end(0, true, AttemptOutcome::Succeeded, 20 * MS),
        );
        expire_timers(&mut balancer, START_AT + n * 20 * MS + MS);
    }
    let calls = recorder.calls.borrow();
    let sent: Vec<_> = calls
        .iter()
        .filter_map(|call| call.strip_prefix("attempt ")?.get(..1))
        .collect();
    assert_eq!(sent, ["a", "b", "c"]);
}

/// An attempt that timed out or lost its connection may still run, even after its request was
/// answered.
#[rstest]
#[case::reset(AttemptOutcome::ConnectionLost, true)]
#[case::timed_out(AttemptOutcome::TimedOut, true)]
#[case::failed(AttemptOutcome::Failed, false)]
#[case::rejected(AttemptOutcome::Rejected, false)]
fn key_has_a_cooldown_after_an_attempt_that_may_still_run(
    #[case] outcome: AttemptOutcome,
    #[case] cooldown: bool,
) {
    let (mut balancer, recorder) = ordered_by_key(Idempotency::NonIdempotent);
    arrive(&mut balancer, START_AT, "a", Some(KEY));
    arrive(&mut balancer, START_AT, "b", Some(KEY));
    balancer.settings.key_cooldown = 100 * MS;
    balancer.settings.max_attempts = 1;
    balancer.attempt_ended(
        START_AT + 20 * MS,
        "a",
        attempt_end(0, false, outcome, 20 * MS),
    );
    expire_timers(&mut balancer, START_AT + 110 * MS);
    assert_eq!(recorder.count("attempt b"), usize::from(!cooldown));
    expire_timers(&mut balancer, START_AT + 121 * MS);
    assert_eq!(recorder.count("attempt b"), 1);
}

/// The client of the first request disconnects: its attempt is cancelled, but the end of the
/// attempt is not reported yet.
#[rstest]
fn attempt_in_flight_of_a_closed_request_blocks_its_key() {
    let (mut balancer, recorder) = ordered_by_key(Idempotency::NonIdempotent);
    arrive(&mut balancer, START_AT, "a", Some(KEY));
    arrive(&mut balancer, START_AT, "b", Some(KEY));
    balancer.settings.key_cooldown = 50 * MS;
    balancer.client_disconnected(START_AT + 10 * MS, "a");
    expire_timers(&mut balancer, START_AT + 80 * MS);
    assert_eq!(recorder.count("attempt b"), 0);
    balancer.attempt_ended(
        START_AT + 90 * MS,
        "a",
        attempt_end(0, true, AttemptOutcome::Cancelled, 90 * MS),
    );
    expire_timers(&mut balancer, START_AT + 141 * MS);
    assert_eq!(
        (
            recorder.count("attempt b"),
            balancer.key_queues.keys_of_closed_requests.len()
        ),
        (1, 0)
    );
}

/// A request is rejected on arrival because of its expected wait, or later because of its remaining
/// time.
#[rstest]
fn request_that_cannot_be_in_time_is_rejected() {
    let (mut balancer, recorder) = ordered_by_key(Idempotency::Idempotent);
    (0..9).for_each(|n| arrive(&mut balancer, START_AT, &n.to_string(), Some(KEY)));
    let waiting = balancer.key_queues.queues[&KEY].waiting.len();
    assert!(waiting > 0 && recorder.count("reject") == 8 - waiting);
    expire_timers(&mut balancer, START_AT + 390 * MS);
    assert_eq!(
        (
            balancer.key_queues.queues[&KEY].waiting.len(),
            recorder.count("reject")
        ),
        (0, 8)
    );
}

/// Clients may send any number of keys, so a key without open requests must be removed.
#[rstest]
fn key_without_open_requests_takes_no_memory() {
    let (mut balancer, _) = ordered_by_key(Idempotency::NonIdempotent);
    for (n, outcome) in (0..).zip([
        AttemptOutcome::Succeeded,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
        AttemptOutcome::Rejected,
    ]) {
        let (id, now) = (n.to_string(), START_AT + n * 1_000 * MS);
        arrive(&mut balancer, now, &id, Some(n));
        balancer.client_disconnected(now + MS, &id);
        balancer.attempt_ended(now + 2 * MS, &id, attempt_end(0, true, outcome, MS));
    }
    expire_timers(&mut balancer, START_AT + 10_000 * MS);
    assert!(
        balancer.key_queues.queues.is_empty()
            && balancer.key_queues.keys_of_closed_requests.is_empty()
    );
}

/// A request whose time runs out during the cooldown is rejected immediately; it must not be sent
/// during the cooldown.
#[rstest]
fn request_is_rejected_if_the_cooldown_of_its_key_is_too_long() {
    let (mut balancer, recorder) = ordered_by_key(Idempotency::NonIdempotent);
    arrive(&mut balancer, START_AT, "a", Some(KEY));
    balancer.settings.max_attempts = 1;
    balancer.attempt_ended(
        START_AT + MS,
        "a",
        attempt_end(0, false, AttemptOutcome::ConnectionLost, MS),
    );
    arrive(&mut balancer, START_AT + 2 * MS, "b", Some(KEY));
    assert_eq!(
        (recorder.count("attempt b"), recorder.count("reject b")),
        (0, 1)
    );
}
