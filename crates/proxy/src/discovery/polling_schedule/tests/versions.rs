//! Versions of the list: the cached one, ones that go back, and those of a former discovery.

use super::*;
use crate::discovery::polling_schedule::poll::WATCH_RESPONSE_GRACE_US;

/// The cached list may be another discovery's: the complete list is polled when there is time,
/// beside the watch. When it was polled instead of the watch, that was lost where discovery was
/// overloaded.
#[test]
fn the_cached_list_is_followed_first_and_verified_beside_the_watch() {
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
    let check = loop {
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
            None => assert!(now < 30 * SECOND, "it was never checked"),
        }
    };
    schedule.connected(check);
    assert!(schedule.is_watching(), "the watch goes on");
    schedule.response_received(check, now, complete_list(42), true, settings(1));
    assert!(schedule.is_watching());
    assert_eq!(
        schedule.next_action(now, settings(1)),
        Some(PollAction::Close {
            connection: check,
            may_hold_response: false
        })
    );
}

/// A discovery that counts differently shows in a version that goes back.
#[test]
fn a_version_that_goes_back_has_the_complete_list_polled() {
    let mut schedule = PollingSchedule::new(1);
    schedule.set_cached_version(41);
    schedule.resume(0);
    let (id, _) = send_next_poll(&mut schedule, 0, 1);
    schedule.response_received(id, SECOND, changes(5, true), true, settings(1));
    let (id, query) = send_next_poll(&mut schedule, SECOND, 1);
    assert_eq!(query, ListQuery::CompleteList);
    // Also where the list was discovery's own: it was restarted, and the poll named a later
    // version.
    schedule.response_received(id, 2 * SECOND, complete_list(41), true, settings(1));
    let (id, query) = send_next_poll(&mut schedule, 2 * SECOND, 1);
    assert!(matches!(query, ListQuery::Changes { since: 41, .. }));
    schedule.response_received(id, 3 * SECOND, changes(3, false), true, settings(1));
    assert_eq!(
        send_next_poll(&mut schedule, 3 * SECOND, 1).1,
        ListQuery::CompleteList
    );
}

/// Responses of the former discovery count until the new one has answered, and no longer.
#[test]
fn a_former_discovery_is_accepted_until_the_new_one_answers() {
    let mut schedule = PollingSchedule::new(1);
    schedule.set_cached_version(41);
    schedule.resume(0);
    let (id, _) = send_next_poll(&mut schedule, 0, 1);
    schedule.response_received(id, 0, changes(41, false), true, settings(1));
    let (former, _) = send_next_poll(&mut schedule, MIN_POLL_INTERVAL_US, 1);
    schedule.discovery_changed(SECOND);
    let (new, query) = send_next_poll(&mut schedule, SECOND, 1);
    assert_eq!(query, ListQuery::CompleteList);
    assert!(schedule.accepts(former, Some(42), false));
    schedule.response_received(new, 2 * SECOND, complete_list(3), true, settings(1));
    assert!(!schedule.accepts(former, Some(42), false));
    assert_eq!(
        schedule.next_action(2 * SECOND, settings(1)),
        Some(PollAction::Close {
            connection: former,
            may_hold_response: false
        })
    );
}
