//! Tests of the bound that [`PollingSchedule`] guarantees, on every path.

use rstest::rstest;

use super::simulation::*;
use super::*;
use crate::discovery::polling_schedule::in_flight::MAX_SUPERSEDED_POLLS;
use crate::discovery::polling_schedule::settings::MAX_WATCH_WAIT_US;

/// Asserts that a missing change is within the bound: at most 6 s after discovery had the change
/// and accepted polls, or 2 s after the wait of a watch that timed out.
fn assert_within_bound(balancer: &SimulatedBalancer, seed: u64) {
    let Some((stale_since, open_since)) = balancer.stale_since.zip(balancer.open_since) else {
        return;
    };
    let deadline = (stale_since.max(open_since) + 6 * SECOND).max(balancer.exempt_until);
    assert!(
        balancer.now <= deadline,
        "seed {seed}: at {} µs the change of {stale_since} µs is missing; \
         polls accepted since {open_since} µs",
        balancer.now
    );
}

/// Guards against awaiting a watch for 1.5 s beyond its wait, and against a backoff after a watch
/// that timed out.
#[rstest]
#[case::one_balancer(1, None)]
#[case::small_fleet(6, None)]
#[case::small_fleet_with_truncation(6, Some(3))]
#[case::large_fleet(300, None)]
fn a_change_is_received_within_the_bound_on_every_path(
    #[case] balancers: usize,
    #[case] responses_per_truncation: Option<u64>,
) {
    for seed in 0..400 {
        let mut balancer = SimulatedBalancer::new(seed, balancers);
        (
            balancer.network_changes_at,
            balancer.silence_at,
            balancer.change_at,
            balancer.responses_per_truncation,
        ) = (SECOND, SECOND, SECOND, responses_per_truncation);
        balancer.run(200 * SECOND, |balancer| assert_within_bound(balancer, seed));
        assert!(balancer.longest_wait <= MAX_WATCH_WAIT_US, "seed {seed}");
        assert!(
            balancer.most_connections <= 2 + MAX_SUPERSEDED_POLLS,
            "seed {seed}: {} connections",
            balancer.most_connections
        );
    }
}

/// A new discovery may count versions differently, and its list counts as delivered 4 s after the
/// change of its address, so the complete list has to be received by then.
#[test]
fn a_new_discovery_is_polled_immediately_whatever_poll_is_in_flight() {
    for seed in 0..150 {
        let mut balancer = SimulatedBalancer::new(seed, 6);
        (balancer.silence_at, balancer.change_at) = (SECOND, SECOND);
        let at = 5 * SECOND + seed * 100 * MILLISECOND;
        balancer.run(at, |_| {});
        balancer
            .connections
            .iter_mut()
            .for_each(|connection| connection.lost = true);
        balancer.schedule.discovery_changed(balancer.now);
        (balancer.version, balancer.stale_since) = (1, Some(balancer.now));
        (balancer.silence_at, balancer.change_at) = (Micros::MAX, Micros::MAX);
        balancer.run(at + 4 * SECOND, |_| {});
        assert_eq!(
            (balancer.stale_since, balancer.known_version),
            (None, Some(1)),
            "seed {seed}"
        );
    }
}

/// Polls are expensive for discovery. Without changes, a watch ends once per three quarters of the
/// poll interval, and no further polls are sent.
#[rstest]
#[case::one_balancer(1, 600 / 7)]
#[case::small_fleet(6, 600 / 7)]
#[case::large_fleet(300, 600 / 19)]
fn without_changes_polls_are_sent_only_when_watches_end(
    #[case] balancers: usize,
    #[case] max_polls: usize,
) {
    let mut balancer = SimulatedBalancer::new(7, balancers);
    balancer.run(600 * SECOND, |_| {});
    // In addition to these, there are the first poll, the poll for the complete list, and the
    // shorter watch after each of the two.
    assert!(balancer.polls <= max_polls + 4, "{}", balancer.polls);
}

/// Lists are received from a discovery that takes several seconds for each poll. With the same
/// timeout for all polls, none was ever received.
#[rstest]
#[case(2_400)]
#[case(3_500)]
#[case(6_400)]
fn lists_are_received_from_a_slow_discovery(#[case] response_time_ms: Micros) {
    let mut balancer = SimulatedBalancer::new(1, 1);
    (balancer.version, balancer.stale_since) = (1, Some(0));
    while balancer.now < response_time_ms * MILLISECOND + SECOND {
        balancer.serve_all(&mut |balancer, continues| {
            Some(
                balancer.now
                    + if continues {
                        0
                    } else {
                        response_time_ms * MILLISECOND
                    },
            )
        });
        balancer.step();
        balancer.now += TICK;
    }
    assert_eq!(
        (balancer.known_version, balancer.stale_since),
        (Some(1), None)
    );
    assert!(!balancer.schedule.is_unreachable());
}

/// A connection that is established only after another one was opened is used.
#[rstest]
#[case(900)]
#[case(1_500)]
#[case(2_900)]
fn a_connection_that_is_established_late_is_used(#[case] connect_delay_ms: Micros) {
    let mut balancer = SimulatedBalancer::new(1, 1);
    (
        balancer.version,
        balancer.stale_since,
        balancer.connect_delay,
    ) = (1, Some(0), connect_delay_ms * MILLISECOND);
    balancer.run(
        connect_delay_ms * MILLISECOND + MAX_QUEUE_TIME + SECOND,
        |_| {},
    );
    assert_eq!(
        (balancer.known_version, balancer.stale_since),
        (Some(1), None)
    );
    assert_eq!(
        balancer.connections.len(),
        1,
        "the other connections were closed"
    );
}
