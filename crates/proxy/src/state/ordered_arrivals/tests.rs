use nix::sys::time::TimeSpec;
use rstest::rstest;

use super::*;

/// Plays iterations, which are separated by `|`, and returns what each of them releases, separated
/// in the same way. An iteration is a sequence of events:
///
/// - `a7`: request `a` is read, which arrived at 7 s; `a?`: no arrival was recorded,
/// - `accepts`: connections are accepted until the backlog is empty,
/// - `accepts_part`: connections are accepted, and the backlog may hold more,
/// - `many_events`: as many connections are read as the event loop reports at most.
fn play(iterations: &str) -> String {
    let mut arrivals = OrderedArrivals::default();
    let play_event = |arrivals: &mut OrderedArrivals<String>, event: &str| match event {
        "accepts" => arrivals.record_accept(),
        "accepts_part" => {
            arrivals.record_accept();
            arrivals.record_backlog(true);
        }
        "many_events" => (0..MAX_EVENTS_PER_ITERATION).for_each(|_| arrivals.record_event()),
        read => {
            let (name, at) = read.split_at(1);
            let at = at.parse().ok().map(|seconds| TimeSpec::new(seconds, 0));
            arrivals.hold(name.to_owned(), ArrivalTime::from(at));
        }
    };
    let released = iterations.split('|').map(|events| {
        for event in events.split_whitespace() {
            play_event(&mut arrivals, event);
        }
        arrivals.end_iteration().concat()
    });
    released.collect::<Vec<_>>().join("|")
}

#[rstest]
#[case::alone("a1 |", "|a")]
#[case::read_in_order("a1 b2 |", "|ab")]
#[case::read_in_reverse("b2 a1 |", "|ab")]
#[case::earlier_one_on_a_new_connection("b2 accepts | a1", "|ab")]
#[case::in_the_backlog_when_the_other_is_read("b2 | accepts | a1", "||ab")]
#[case::behind_more_connections_than_one_iteration_accepts(
    "b2 accepts_part | accepts_part | accepts | a1",
    "|||ab"
)]
#[case::not_reported_among_many_events("b2 many_events | many_events | a1", "||ab")]
#[case::new_connections_in_each_iteration("a1 accepts | accepts | accepts | accepts", "||a|")]
#[case::later_one_waits_on("a1 | b2 |", "|a|b")]
#[case::earlier_one_goes_along("b2 | a1 c3 |", "|ab|c")]
#[case::not_recorded("b? a? c9 |", "|cba")]
fn requests_are_released_in_the_order_of_their_arrival(
    #[case] iterations: &str,
    #[case] expected: &str,
) {
    assert_eq!(play(iterations), expected);
}

#[test]
fn a_backlog_that_never_empties_does_not_hold_a_request_for_ever() {
    let mut arrivals = OrderedArrivals::default();
    arrivals.hold("a", ArrivalTime::default());
    let mut iterations = 0;
    while !arrivals.is_empty() {
        arrivals.record_accept();
        arrivals.record_backlog(true);
        arrivals.end_iteration();
        iterations += 1;
        assert!(iterations <= 2 * MAX_HELD_ITERATIONS);
    }
    // A full backlog has been accepted by then.
    assert!(iterations > 1024 / 64);
}
