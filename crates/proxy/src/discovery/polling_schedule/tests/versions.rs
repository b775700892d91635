//! Tests of list versions: of the cached list, versions that decrease, and versions of a previous
//! discovery.

use super::*;
use crate::discovery::polling_schedule::poll::WATCH_RESPONSE_GRACE_US;

/// The cached list may come from another discovery, so the complete list is polled later, in
/// parallel with the watch. Polling it instead of the watch lost the watch when discovery was
/// overloaded.
#[test]
fn the_cached_list_is_updated_first_and_verified_in_parallel_with_the_watch() {
    let mut schedule = PollingSchedule::new(1);
    schedule.set_cached_version(41);
    schedule.resume(0);
    let (id, query) = send_next_poll(&mut schedule, 0, 1);
    assert_eq!(
        query,
        ListQuery::Changes {
            since: 41,
            wait: QUEUED_POLL_WAIT_US
        }
    );
    schedule.response_received(id, SECOND, changes(42, true), true, settings(1));
    let (id, query) = send_next_poll(&mut schedule, SECOND, 1);
    assert!(matches!(query, ListQuery::Changes { since: 42, wait } if wait > QUEUED_POLL_WAIT_US));
    schedule.response_received(id, 2 * SECOND, changes(42, false), true, settings(1));
    let mut now = 2 * SECOND;
    let verification = loop {
        now += 100 * MILLISECOND;
        match schedule.next_action(now, settings(1)) {
            Some(PollAction::Open(id, ListQuery::CompleteList)) => break id,
            Some(PollAction::Reuse(watch, ListQuery::Changes { since: 42, .. })) => {
                assert_eq!(watch, id);
            }
            Some(other) => panic!("{other:?}"),
            None if schedule
                .polls
                .current
                .is_some_and(|poll| now >= poll.superseded_at() - WATCH_RESPONSE_GRACE_US) =>
            {
                schedule.response_received(id, now, changes(42, false), true, settings(1));
            }
            None => assert!(
                now < 30 * SECOND,
                "the cached list was not verified within 30 s"
            ),
        }
    };
    schedule.connected(verification);
    assert!(schedule.is_watching(), "the watch continues");
    schedule.response_received(verification, now, complete_list(42), true, settings(1));
    assert!(schedule.is_watching());
    assert_eq!(
        schedule.next_action(now, settings(1)),
        Some(PollAction::Close {
            connection: verification,
            may_hold_response: false
        })
    );
}

/// A version that decreases means that discovery now counts versions differently.
#[test]
fn after_a_version_decreases_the_complete_list_is_polled() {
    let mut schedule = PollingSchedule::new(1);
    schedule.set_cached_version(41);
    schedule.resume(0);
    let (id, _) = send_next_poll(&mut schedule, 0, 1);
    schedule.response_received(id, SECOND, changes(5, true), true, settings(1));
    let (id, query) = send_next_poll(&mut schedule, SECOND, 1);
    assert_eq!(query, ListQuery::CompleteList);
    // The same applies if the known list came from this discovery: it was restarted, so the poll
    // names a version that is later than its own.
    schedule.response_received(id, 2 * SECOND, complete_list(41), true, settings(1));
    let (id, query) = send_next_poll(&mut schedule, 2 * SECOND, 1);
    assert!(matches!(query, ListQuery::Changes { since: 41, .. }));
    schedule.response_received(id, 3 * SECOND, changes(3, false), true, settings(1));
    assert_eq!(
        send_next_poll(&mut schedule, 3 * SECOND, 1).1,
        ListQuery::CompleteList
    );
}

/// Responses of the previous discovery are accepted only until the new one has responded.
#[test]
fn responses_of_a_previous_discovery_are_accepted_until_the_new_one_responds() {
    let mut schedule = PollingSchedule::new(1);
    schedule.set_cached_version(41);
    schedule.resume(0);
    let (id, _) = send_next_poll(&mut schedule, 0, 1);
    schedule.response_received(id, 0, changes(41, false), true, settings(1));
    let (previous, _) = send_next_poll(&mut schedule, MIN_POLL_INTERVAL_US, 1);
    schedule.discovery_changed(SECOND);
    let (new, query) = send_next_poll(&mut schedule, SECOND, 1);
    assert_eq!(query, ListQuery::CompleteList);
    assert!(schedule.accepts(previous, Some(42), false));
    schedule.response_received(new, 2 * SECOND, complete_list(3), true, settings(1));
    assert!(!schedule.accepts(previous, Some(42), false));
    assert_eq!(
        schedule.next_action(2 * SECOND, settings(1)),
        Some(PollAction::Close {
            connection: previous,
            may_hold_response: false
        })
    );
}
