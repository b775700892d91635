//! Tests of the endpoint list.

use super::*;

#[rstest]
#[case::draining(false)]
#[case::unlisted(true)]
fn nothing_is_sent_to_draining_or_removed_endpoints(#[case] complete: bool) {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 2);
    balancer.endpoint_list_started(START_AT, complete);
    if complete {
        balancer.endpoint_listed(listed("u0", 0, 0, 0));
    } else {
        balancer.endpoint_draining("u1");
    }
    assert!(!balancer.is_attempt_permitted(START_AT, &request(&[], false), 1));
    assert!(balancer.is_attempt_permitted(START_AT, &request(&[], false), 0));
}

/// The list's server does not grow with the fleet, so a large fleet must not send its first polls
/// at the same time.
#[rstest]
fn large_fleet_spreads_its_first_polls() {
    let spreads =
        [1, 4, 900].map(|balancers| one_of_many(0, balancers, 0).list_poll_spread().unwrap());
    assert_eq!(spreads[0], 0);
    assert!(spreads[1] < 1_000 * MS && spreads[2] > 5_000 * MS && spreads[2] < 8_000 * MS);
}

#[rstest]
fn failed_list_poll_is_retried_with_backoff_and_jitter() {
    let (mut balancer, recorder) = balancer(Idempotency::Idempotent, 0);
    for _ in 0..9 {
        balancer.endpoint_list_failed();
    }
    let calls = recorder.calls.borrow();
    let waits: Vec<Micros> = calls
        .iter()
        .filter_map(|call| call.strip_prefix("timer ")?.parse().ok())
        .collect();
    assert!(
        waits[0] < waits[4]
            && waits
                .iter()
                .all(|&wait| wait > 50 * MS && wait <= 2_000 * MS)
    );
}

#[rstest]
#[case::restarted(START_AT, 0)]
#[case::not_restarted(0, START_AT + 5)]
fn restart_of_an_endpoint_clears_its_backoff(
    #[case] started_at: Micros,
    #[case] backoff_until: Micros,
) {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 1);
    balancer.endpoints[0].backoff_until = START_AT + 5;
    balancer.endpoint_listed(listed("u0", 0, 0, started_at));
    assert_eq!(balancer.endpoints[0].backoff_until, backoff_until);
}

#[rstest]
#[case::long_ago(120_000, 0, 0)]
#[case::just_now(1, 0, 1)]
#[case::listed_again(120_000, 1, 1)]
fn slot_of_an_endpoint_unlisted_long_ago_is_reused(
    #[case] ago: u64,
    #[case] entries: usize,
    #[case] known: usize,
) {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 1);
    balancer.endpoints[0].latest_deadline = START_AT;
    balancer.endpoint_list_started(START_AT, true);
    (0..entries).for_each(|_| balancer.endpoint_listed(listed("u0", 0, 0, 0)));
    balancer.endpoint_list_ended(START_AT + ago * MS);
    assert_eq!(balancer.endpoints.index_by_id.len(), known);
    balancer.endpoint_listed(listed("new", 0, 0, 0));
    assert_eq!(balancer.endpoints.index_by_id["new"], known);
}

#[rstest]
#[case::removed_when_unlisted(false, 0)]
#[case::removed_only_when_draining(true, 1)]
fn unlisted_endpoint_stays_usable_if_only_draining_removes_it(
    #[case] stays_usable: bool,
    #[case] sent: usize,
) {
    let (mut balancer, recorder) = balancer(Idempotency::Idempotent, 2);
    balancer.settings.unlisted_stay_usable = stays_usable;
    balancer.endpoint_list_started(START_AT, true);
    balancer.endpoint_listed(listed("u0", 0, 0, 0));
    balancer.endpoint_removed(START_AT, "u0");
    balancer.endpoint_list_ended(START_AT);
    arrive(&mut balancer, START_AT, "a");
    assert_eq!(recorder.count("attempt"), sent);
    balancer.endpoint_draining("u0");
    balancer.endpoint_draining("u1");
    arrive(&mut balancer, START_AT, "b");
    assert_eq!(recorder.count("attempt"), sent);
}

/// Creates a balancer whose unlisted endpoints stay usable, with u0 and u2 in cell 0, u1 and u3 in
/// cell 1.
fn balancer_with_unlisted_endpoints(
    idempotency: Idempotency,
) -> (Balancer<RecordingHost>, RecordingHost) {
    let (mut balancer, recorder) = balancer(idempotency, 4);
    balancer.settings.unlisted_stay_usable = true;
    (balancer, recorder)
}

/// Guards against review case 6: a server at the address of a removed one got requests under the
/// old name.
#[rstest]
#[case::removed(true)]
#[case::still_listed(false)]
fn nothing_is_sent_to_a_replaced_endpoint(#[case] is_removed: bool) {
    let (mut balancer, _) = balancer_with_unlisted_endpoints(Idempotency::Idempotent);
    if is_removed {
        balancer.endpoint_removed(START_AT, "u0");
    }
    assert!(balancer.is_endpoint_usable("u0"));
    balancer.endpoint_replaced("u0");
    balancer.endpoint_list_ended(START_AT);
    assert!(!balancer.is_endpoint_usable("u0"));
    assert!(!balancer.is_attempt_permitted(START_AT, &request(&[], false), 0));
    balancer.endpoint_listed(listed("u0", 0, 0, 0));
    assert!(balancer.is_attempt_permitted(START_AT, &request(&[], false), 0));
}

fn replace_u0(balancer: &mut Balancer<RecordingHost>) {
    balancer.endpoint_replaced("u0");
}

fn remove_u2(balancer: &mut Balancer<RecordingHost>) {
    balancer.endpoint_removed(START_AT, "u2");
}

fn list_u0_again(balancer: &mut Balancer<RecordingHost>) {
    balancer.endpoint_listed(listed("u0", 0, 0, 0));
}

fn list_u0_in_other_cell(balancer: &mut Balancer<RecordingHost>) {
    balancer.endpoint_listed(listed("u0", 0, 1, 0));
}

/// Guards against review case 6: a request that ran at the new server was repeated in the cell of
/// the old one. No endpoint discards a repetition for certain, so the request is answered immediately.
#[rstest]
#[case::replaced(CELL_SCOPED_KEY, AttemptOutcome::ConnectionLost, replace_u0, 0, 1)]
#[case::listed_in_another_cell(
    CELL_SCOPED_KEY,
    AttemptOutcome::ConnectionLost,
    list_u0_in_other_cell,
    0,
    1
)]
#[case::listed_as_before(CELL_SCOPED_KEY, AttemptOutcome::ConnectionLost, list_u0_again, 1, 0)]
#[case::removed_after_it_was_sent(
    CELL_SCOPED_KEY,
    AttemptOutcome::ConnectionLost,
    |balancer: &mut Balancer<RecordingHost>| balancer.endpoint_removed(START_AT, "u0"),
    1,
    0
)]
#[case::the_only_other_one_removed(
    CELL_SCOPED_KEY,
    AttemptOutcome::ConnectionLost,
    remove_u2,
    0,
    1
)]
#[case::not_run(CELL_SCOPED_KEY, AttemptOutcome::Unreachable, replace_u0, 1, 0)]
#[case::discarded_everywhere(ALL_SCOPED_KEY, AttemptOutcome::ConnectionLost, replace_u0, 1, 0)]
fn a_request_at_a_replaced_endpoint_is_not_repeated_in_its_cell(
    #[case] idempotency: Idempotency,
    #[case] outcome: AttemptOutcome,
    #[case] change: fn(&mut Balancer<RecordingHost>),
    #[case] repeated: usize,
    #[case] failed: usize,
) {
    let (mut balancer, recorder) = balancer_with_unlisted_endpoints(idempotency);
    let mut sent = request(&[0], true);
    sent.attempts[0].in_flight = true;
    balancer.requests.insert(Rc::clone(&sent.id), sent);
    change(&mut balancer);
    balancer.endpoint_list_ended(START_AT);
    let end = attempt_end(0, false, outcome, MS);
    balancer.attempt_ended(START_AT + MS, "t", end);
    assert_eq!(
        (recorder.count("attempt"), recorder.count("fail")),
        (repeated, failed)
    );
}

/// Nothing shows which process is at the address of an endpoint that is not on the list.
#[rstest]
#[case::may_have_run(CELL_SCOPED_KEY, AttemptOutcome::ConnectionLost, 1)]
#[case::not_run(CELL_SCOPED_KEY, AttemptOutcome::Unreachable, 2)]
#[case::discarded_everywhere(ALL_SCOPED_KEY, AttemptOutcome::ConnectionLost, 2)]
fn a_request_that_was_sent_to_an_unlisted_endpoint_is_not_repeated_in_its_cell(
    #[case] idempotency: Idempotency,
    #[case] outcome: AttemptOutcome,
    #[case] attempts: usize,
) {
    let (mut balancer, recorder) = balancer_with_unlisted_endpoints(idempotency);
    for id in ["u1", "u2", "u3"] {
        balancer.endpoint_draining(id);
    }
    balancer.endpoint_removed(START_AT, "u0");
    arrive(&mut balancer, START_AT, "a");
    balancer.endpoint_listed(listed("u2", 0, 0, 0));
    balancer.endpoint_list_ended(START_AT);
    let end = attempt_end(0, false, outcome, MS);
    balancer.attempt_ended(START_AT + MS, "a", end);
    assert_eq!(recorder.count("attempt"), attempts);
}

/// A success used to clear the removal, so that the endpoint stayed usable without a limit in time
/// and the proxy, which keeps its own, had no address for it any more.
#[rstest]
#[case::before_the_last_success(50_000, 100_000, true)]
#[case::long_after_the_last_success(50_000, 120_000, false)]
#[case::without_success(0, 70_000, false)]
fn a_success_prolongs_the_use_of_an_unlisted_endpoint_but_does_not_list_it(
    #[case] succeeded_after: Micros,
    #[case] now: Micros,
    #[case] expected: bool,
) {
    let (mut balancer, _) = balancer_with_unlisted_endpoints(Idempotency::Idempotent);
    balancer.endpoint_removed(START_AT, "u0");
    if succeeded_after > 0 {
        let at = START_AT + succeeded_after * MS;
        let mut sent = request(&[0], true);
        sent.attempts[0].in_flight = true;
        balancer.requests.insert(Rc::clone(&sent.id), sent);
        let end = attempt_end(0, true, AttemptOutcome::Succeeded, MS);
        balancer.attempt_ended(at, "t", end);
    }
    assert!(balancer.endpoints[0].unlisted_since.is_some());
    balancer.endpoint_list_ended(START_AT + now * MS);
    assert_eq!(balancer.is_endpoint_usable("u0"), expected);
}

#[test]
fn new_settings_withdraw_unlisted_endpoints_that_may_no_longer_be_used() {
    let (mut balancer, _) = balancer_with_unlisted_endpoints(Idempotency::Idempotent);
    balancer.endpoint_removed(START_AT, "u0");
    let settings = Settings {
        unlisted_stay_usable: false,
        ..balancer.settings.clone()
    };
    balancer.settings_changed(settings);
    assert!(!balancer.is_endpoint_usable("u0") && balancer.is_endpoint_usable("u1"));
}
