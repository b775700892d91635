//! Tests of the waits of watches, and of overdue watches.

use rstest::rstest;

use super::*;
use crate::discovery::polling_schedule::poll::{CONNECT_TIMEOUT_US, WATCH_RESPONSE_GRACE_US};
use crate::discovery::polling_schedule::settings::{MAX_WATCH_WAIT_US, WATCH_WAIT_PER_BALANCER_US};

#[rstest]
#[case::maximum(None, 1, MAX_WATCH_WAIT_US)]
#[case::limited_to_the_maximum(Some(60_000_000), 1, MAX_WATCH_WAIT_US)]
#[case::three_quarters_of_the_poll_interval(Some(10_000_000), 6, 7_500_000)]
#[case::longer_in_a_large_fleet(Some(10_000_000), 32, 16_000_000)]
fn the_wait_of_a_watch_depends_on_poll_interval_and_fleet_size(
    #[case] max_poll_interval: Option<Micros>,
    #[case] balancers: usize,
    #[case] wait: Micros,
) {
    assert_eq!(
        PollingSettings {
            max_poll_interval,
            balancers
        }
        .watch_wait(),
        wait
    );
    // Unless the fleet is large, the next poll is sent before discovery counts this balancer as
    // notified.
    let is_large_for = |interval: Micros| balancers as u64 * WATCH_WAIT_PER_BALANCER_US > interval;
    assert!(
        max_poll_interval.is_none_or(|interval| is_large_for(interval)
            || wait + WATCH_RESPONSE_GRACE_US + CONNECT_TIMEOUT_US <= interval)
    );
}

/// An overdue watch may still get a response, which counts as delivered. It is accepted in addition
/// to that of the poll that superseded the watch, and the watch continues while that poll is
/// queued.
#[test]
fn the_response_to_a_superseded_watch_is_accepted_and_the_watch_continues() {
    let mut schedule = PollingSchedule::new(1);
    schedule.set_cached_version(41);
    schedule.resume(0);
    let (id, _) = send_next_poll(&mut schedule, 0, 1);
    schedule.response_received(id, 0, changes(41, false), true, settings(1));
    let (watch, _) = send_next_poll(&mut schedule, MIN_POLL_INTERVAL_US, 1);
    let overdue = schedule.next_action_at().unwrap();
    let (other, query) = send_next_poll(&mut schedule, overdue, 1);
    assert_eq!(
        (watch == other, query),
        (
            false,
            ListQuery::Changes {
                since: 41,
                wait: QUEUED_POLL_WAIT_US
            }
        )
    );
    assert!(schedule.accepts(watch, Some(42), false));
    schedule.response_received(
        watch,
        overdue + SECOND,
        changes(42, true),
        true,
        settings(1),
    );
    assert_eq!(send_next_poll(&mut schedule, overdue + SECOND, 1).0, watch);
    // The response to the other poll is outdated by now and ignored.
    assert!(!schedule.accepts(other, Some(42), false));
    schedule.response_received(
        other,
        overdue + 2 * SECOND,
        changes(42, true),
        true,
        settings(1),
    );
    assert!(schedule.is_watching());
    assert_eq!(
        schedule.next_action(overdue + 2 * SECOND, settings(1)),
        Some(PollAction::Close {
            connection: other,
            may_hold_response: false
        })
    );
}

/// In scenario settat-main (join+mass), 300 balancers opened watches of 20 s within 2.5 s of the
/// start. These timed out together, and no balancer received the release before 20 s.
#[test]
fn watches_of_a_fleet_that_starts_at_the_same_time_end_at_different_times() {
    let mut waits: Vec<Vec<Micros>> = vec![Vec::new(); 3];
    for seed in 0..300 {
        let mut schedule = PollingSchedule::new(seed);
        schedule.resume(0);
        let (id, _) = send_next_poll(&mut schedule, 0, 300);
        schedule.response_received(id, 0, complete_list(1), true, settings(300));
        let mut now = 0;
        for (round, has_changes) in [true, false, false].into_iter().enumerate() {
            now += MIN_POLL_INTERVAL_US;
            let (id, query) = send_next_poll(&mut schedule, now, 300);
            let ListQuery::Changes { wait, .. } = query else {
                panic!("{query:?}")
            };
            waits[round].push(wait);
            schedule.response_received(id, now, changes(1, has_changes), true, settings(300));
        }
    }
    let wait_range = |round: usize| {
        (
            *waits[round].iter().min().unwrap(),
            *waits[round].iter().max().unwrap(),
        )
    };
    let (first, second, third) = (wait_range(0), wait_range(1), wait_range(2));
    assert!(
        first.0 < 3 * SECOND && first.1 > 11 * SECOND && first.1 <= 12 * SECOND,
        "{first:?}"
    );
    assert!(
        second.0 >= 10 * SECOND && second.0 < 11 * SECOND && second.1 > 19 * SECOND,
        "{second:?}"
    );
    assert_eq!(third, (MAX_WATCH_WAIT_US, MAX_WATCH_WAIT_US));
}
