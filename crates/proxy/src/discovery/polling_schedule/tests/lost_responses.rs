//! Tests of responses that were lost with their connections.

use rstest::rstest;

use super::*;

/// Changes that were lost with a response count as delivered. The next poll is sent while it can
/// still continue the watch.
#[rstest]
#[case::truncated(PollFailure::Truncated)]
#[case::connection_lost(PollFailure::ConnectionLost)]
fn a_poll_whose_response_was_lost_is_repeated_immediately(#[case] failure: PollFailure) {
    for seed in 0..50 {
        let mut schedule = PollingSchedule::new(seed);
        schedule.set_cached_version(41);
        schedule.resume(0);
        let (id, _) = send_next_poll(&mut schedule, 0, 6);
        schedule.response_received(id, 0, changes(41, false), true, settings(6));
        let (watch, _) = send_next_poll(&mut schedule, MIN_POLL_INTERVAL_US, 6);
        assert!(schedule.poll_failed(watch, SECOND, failure, settings(6)));
        let first = schedule.next_action_at().unwrap();
        assert!(first <= SECOND + 40 * MILLISECOND, "{first}");
        let (id, _) = send_next_poll(&mut schedule, first, 6);
        schedule.poll_failed(id, first + MILLISECOND, PollFailure::Truncated, settings(6));
        assert!(schedule.next_action_at().unwrap() <= first + 50 * MILLISECOND);
    }
}

/// A network that truncates all responses to a large fleet must not cause a flood of polls.
#[rstest]
#[case::small_fleet(6, 240)]
#[case::large_fleet(300, 1_200)]
fn polls_after_lost_responses_are_bounded(#[case] balancers: usize, #[case] max_polls: usize) {
    let mut polls = 0;
    for seed in 0..balancers as u64 {
        let mut schedule = PollingSchedule::new(seed);
        schedule.set_cached_version(41);
        schedule.resume(0);
        let (id, _) = send_next_poll(&mut schedule, 0, balancers);
        schedule.response_received(id, 0, changes(41, false), true, settings(balancers));
        let (watch, _) = send_next_poll(&mut schedule, MIN_POLL_INTERVAL_US, balancers);
        schedule.poll_failed(watch, SECOND, PollFailure::Truncated, settings(balancers));
        let mut now = SECOND;
        while now < 2 * SECOND {
            now += MILLISECOND;
            if let Some(PollAction::Open(id, _)) = schedule.next_action(now, settings(balancers)) {
                schedule.connected(id);
                schedule.poll_failed(
                    id,
                    now + MILLISECOND,
                    PollFailure::Truncated,
                    settings(balancers),
                );
                polls += 1;
            }
        }
    }
    assert!(polls <= max_polls, "{polls} polls in one second");
}
