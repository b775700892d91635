//! Each test builds a balancer whose one class is in order and tells it what happens to requests of one key.

use rstest::rstest;

use crate::decide::tests::{MS, RecordingHost, START_AT, balancer};
use crate::estimates::RECENT_US;
use crate::known::{Balancer, TimerPurpose};
use crate::{AttemptOutcome, Idempotency, Micros};

const KEY: u64 = 7;

fn ordered_by_key(idempotency: Idempotency) -> (Balancer<RecordingHost>, RecordingHost) {
    let (mut balancer, recorder) = balancer(idempotency, 4);
    balancer.settings.classes[0].ordered_by_key = true;
    (balancer, recorder)
}

fn arrive(balancer: &mut Balancer<RecordingHost>, now: Micros, id: &str, key: Option<u64>) {
    balancer.request_arrived(now, id, 0, 0, now + 1_000 * MS, None, key);
}

/// Rings whatever was set for lines: a look that comes too early must change nothing.
fn ring(balancer: &mut Balancer<RecordingHost>, now: Micros) {
    for timer in 0..=balancer.last_timer {
        if let Some(TimerPurpose::KeyQueue(_)) = balancer.timers.get(&timer) {
            balancer.timer_expired(now, timer);
        }
    }
}

/// Order was broken 25 times in a quiet day of occidente-gdl: nothing held a key's second request back.
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
    ring(&mut balancer, START_AT + MS);
    assert_eq!(recorder.count("attempt"), sent);
    balancer.attempt_ended(
        START_AT + 20 * MS,
        "a",
        0,
        true,
        AttemptOutcome::Succeeded,
        20 * MS,
    );
    ring(&mut balancer, START_AT + 22 * MS);
    assert_eq!(
        (recorder.count("attempt b"), recorder.count("attempt")),
        (1, 2)
    );
}

#[rstest]
fn the_turn_goes_by_arrival() {
    let (mut balancer, recorder) = ordered_by_key(Idempotency::Idempotent);
    balancer.class_latency[0]
        .present
        .add(START_AT, RECENT_US, 20.0 * MS as f64, 1.0);
    for id in ["a", "b", "c"] {
        arrive(&mut balancer, START_AT, id, Some(KEY));
    }
    for (n, id) in (1..).zip(["a", "b"]) {
        balancer.attempt_ended(
            START_AT + n * 20 * MS,
            id,
            0,
            true,
            AttemptOutcome::Succeeded,
            20 * MS,
        );
        ring(&mut balancer, START_AT + n * 20 * MS + MS);
    }
    let acts = recorder.0.borrow();
    let sent: Vec<_> = acts
        .iter()
        .filter_map(|act| act.strip_prefix("attempt ")?.get(..1))
        .collect();
    assert_eq!(sent, ["a", "b", "c"]);
}

/// What was reset, timed out or called off may be running yet, also after its request is answered.
#[rstest]
#[case::reset(AttemptOutcome::ConnectionLost, true)]
#[case::silent(AttemptOutcome::TimedOut, true)]
#[case::failed(AttemptOutcome::Failed, false)]
#[case::refused(AttemptOutcome::Rejected, false)]
fn a_key_rests_after_what_may_run_on(#[case] ending: AttemptOutcome, #[case] rests: bool) {
    let (mut balancer, recorder) = ordered_by_key(Idempotency::NonIdempotent);
    arrive(&mut balancer, START_AT, "a", Some(KEY));
    arrive(&mut balancer, START_AT, "b", Some(KEY));
    balancer.settings.key_cooldown = 100 * MS;
    balancer.settings.max_attempts = 1;
    balancer.attempt_ended(START_AT + 20 * MS, "a", 0, false, ending, 20 * MS);
    ring(&mut balancer, START_AT + 110 * MS);
    assert_eq!(recorder.count("attempt b"), usize::from(!rests));
    ring(&mut balancer, START_AT + 121 * MS);
    assert_eq!(recorder.count("attempt b"), 1);
}

/// The first one's client left: its attempt is called off, but its end is yet to be told.
#[rstest]
fn a_attempt_out_of_a_request_that_is_over_blocks_its_key() {
    let (mut balancer, recorder) = ordered_by_key(Idempotency::NonIdempotent);
    arrive(&mut balancer, START_AT, "a", Some(KEY));
    arrive(&mut balancer, START_AT, "b", Some(KEY));
    balancer.settings.key_cooldown = 50 * MS;
    balancer.client_disconnected(START_AT + 10 * MS, "a");
    ring(&mut balancer, START_AT + 80 * MS);
    assert_eq!(recorder.count("attempt b"), 0);
    balancer.attempt_ended(
        START_AT + 90 * MS,
        "a",
        0,
        true,
        AttemptOutcome::Cancelled,
        90 * MS,
    );
    ring(&mut balancer, START_AT + 141 * MS);
    assert_eq!(
        (recorder.count("attempt b"), balancer.trailing.len()),
        (1, 0)
    );
}

/// Nobody waits in a line that can't be passed in time, and who no longer can be in time is told, out of turn.
#[rstest]
fn who_cannot_have_the_turn_in_time_is_dismissed() {
    let (mut balancer, recorder) = ordered_by_key(Idempotency::Idempotent);
    (0..9).for_each(|n| arrive(&mut balancer, START_AT, &n.to_string(), Some(KEY)));
    let waiting = balancer.key_queues[&KEY].waiting.len();
    assert!(waiting > 0 && recorder.count("reject") == 8 - waiting);
    ring(&mut balancer, START_AT + 390 * MS);
    assert_eq!(
        (
            balancer.key_queues[&KEY].waiting.len(),
            recorder.count("reject")
        ),
        (0, 8)
    );
}

/// Keys are as many as clients name: one with nothing open takes up nothing.
#[rstest]
fn a_key_with_nothing_open_is_forgotten() {
    let (mut balancer, _) = ordered_by_key(Idempotency::NonIdempotent);
    for (n, how) in (0..).zip([
        AttemptOutcome::Succeeded,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
        AttemptOutcome::Rejected,
    ]) {
        let (id, now) = (n.to_string(), START_AT + n * 1_000 * MS);
        arrive(&mut balancer, now, &id, Some(n));
        balancer.client_disconnected(now + MS, &id);
        balancer.attempt_ended(now + 2 * MS, &id, 0, true, how, MS);
    }
    ring(&mut balancer, START_AT + 10_000 * MS);
    assert!(balancer.key_queues.is_empty() && balancer.trailing.is_empty());
}

/// A rest after which its time is over dismisses it at once; it must not be sent into the rest.
#[rstest]
fn a_new_request_of_a_resting_key_waits_or_goes() {
    let (mut balancer, recorder) = ordered_by_key(Idempotency::NonIdempotent);
    arrive(&mut balancer, START_AT, "a", Some(KEY));
    balancer.settings.max_attempts = 1;
    balancer.attempt_ended(
        START_AT + MS,
        "a",
        0,
        false,
        AttemptOutcome::ConnectionLost,
        MS,
    );
    arrive(&mut balancer, START_AT + 2 * MS, "b", Some(KEY));
    assert_eq!(
        (recorder.count("attempt b"), recorder.count("reject b")),
        (0, 1)
    );
}
