//! The bound at the definition of [`PollingSchedule`], on every path.

use rstest::rstest;

use super::simulation::*;
use super::*;
use crate::discovery::polling_schedule::in_flight::MAX_SUPERSEDED_POLLS;
use crate::discovery::polling_schedule::settings::MAX_WATCH_WAIT_US;

/// 6 s after discovery had the change and accepted polls, or 2 s after the wait of a watch that
/// timed out.
fn assert_within_bound(balancer: &SimulatedBalancer, seed: u64) {
    let Some((stale_since, open)) = balancer.stale_since.zip(balancer.open_since) else {
        return;
    };
    let by = (stale_since.max(open) + 6 * SECOND).max(balancer.excused_until);
    assert!(
        balancer.now <= by,
        "seed {seed}: at {} a change of {stale_since} was not received; polls accepted since {open}",
        balancer.now
    );
}

/// Fails when a watch is awaited for 1.5 s beyond its wait, and when a backoff follows a watch that
/// timed out.
#[rstest]
#[case::alone(1, None)]
#[case::handful(6, None)]
#[case::handful_cut(6, Some(3))]
#[case::large(300, None)]
fn a_change_is_received_within_the_bound_on_every_path(
    #[case] balancers: usize,
    #[case] truncates_one_in: Option<u64>,
) {
    for seed in 0..400 {
        let mut balancer = SimulatedBalancer::new(seed, balancers);
        (
            balancer.network_changes_at,
            balancer.silence_at,
            balancer.change_at,
            balancer.truncates_one_in,
        ) = (SECOND, SECOND, SECOND, truncates_one_in);
        balancer.run(200 * SECOND, |balancer| assert_within_bound(balancer, seed));
        assert!(balancer.longest_wait <= MAX_WATCH_WAIT_US, "seed {seed}");
        assert!(
            balancer.most_connections <= 2 + MAX_SUPERSEDED_POLLS,
            "seed {seed}: {} connections",
            balancer.most_connections
        );
    }
}

/// Another discovery counts versions differently, and its list counts as delivered 4 s later: the
/// complete list has to be received by then.
#[test]
fn a_new_discovery_is_polled_at_once_whatever_poll_is_in_flight() {
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

/// Polls are expensive: without changes a watch ends once in three quarters of the poll interval.
#[rstest]
#[case::alone(1, 600 / 7)]
#[case::handful(6, 600 / 7)]
#[case::large(300, 600 / 19)]
fn without_changes_there_are_no_more_polls_than_watches_that_end(
    #[case] balancers: usize,
    #[case] most: usize,
) {
    let mut balancer = SimulatedBalancer::new(7, balancers);
    balancer.run(600 * SECOND, |_| {});
    // Beside these: the first poll, one for the complete list, and the shorter watch after each.
    assert!(balancer.polls <= most + 4, "{}", balancer.polls);
}

/// A discovery that takes some seconds for each poll is followed; with one timeout for all it never
/// was.
#[rstest]
#[case(2_400)]
#[case(3_500)]
#[case(6_400)]
fn a_slow_discovery_is_followed(#[case] takes_ms: Micros) {
    let mut balancer = SimulatedBalancer::new(1, 1);
    (balancer.version, balancer.stale_since) = (1, Some(0));
    while balancer.now < takes_ms * MILLISECOND + SECOND {
        balancer.serve_all(&mut |balancer, continues| {
            Some(balancer.now + if continues { 0 } else { takes_ms * MILLISECOND })
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

/// A connection that is established after another was tried is used.
#[rstest]
#[case(900)]
#[case(1_500)]
#[case(2_900)]
fn a_connection_that_is_established_late_is_used(#[case] late_ms: Micros) {
    let mut balancer = SimulatedBalancer::new(1, 1);
    (
        balancer.version,
        balancer.stale_since,
        balancer.connect_delay,
    ) = (1, Some(0), late_ms * MILLISECOND);
    balancer.run(late_ms * MILLISECOND + MAX_QUEUE_TIME + SECOND, |_| {});
    assert_eq!(
        (balancer.known_version, balancer.stale_since),
        (Some(1), None)
    );
    assert_eq!(
        balancer.connections.len(),
        1,
        "the others were closed unused"
    );
}
