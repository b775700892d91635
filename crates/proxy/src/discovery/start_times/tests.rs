use rstest::rstest;

use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3600 * SECOND;
const NOW: Micros = 1_000 * HOUR;

/// `clock_error` is how far this machine's clock is ahead of discovery's, `age` is the real age of
/// an endpoint, and `expected` is the age that is derived for it (all in microseconds).
#[rstest]
#[case::right_clock(ListSource::Later { since: NOW - SECOND }, 0, 2 * SECOND, 2 * SECOND)]
#[case::an_hour_ahead(
    ListSource::Later { since: NOW - SECOND },
    HOUR as i64,
    SECOND,
    SECOND + MAX_REPORT_DELAY_US
)]
#[case::an_hour_behind(ListSource::Later { since: NOW - SECOND }, -(HOUR as i64), SECOND, 0)]
#[case::some_seconds_ahead(
    ListSource::Later { since: NOW },
    8 * SECOND as i64,
    0,
    MAX_REPORT_DELAY_US
)]
#[case::behind_at_the_start(ListSource::First, -(HOUR as i64), SECOND, 0)]
#[case::right_at_the_start(ListSource::First, 0, 30 * SECOND, 30 * SECOND)]
#[case::right_after_a_restart(ListSource::AfterCached, 0, 30 * SECOND, 30 * SECOND)]
#[case::ahead_after_a_restart(ListSource::AfterCached, HOUR as i64, 3 * SECOND, 0)]
fn the_age_of_a_new_endpoint_is_bounded_despite_a_wrong_clock(
    #[case] source: ListSource,
    #[case] clock_error: i64,
    #[case] age: Micros,
    #[case] expected: Micros,
) {
    let stated = (NOW as i64 - clock_error) as u64 - age;
    let times = StartTimes::new(NOW, 0, source, &[stated]);
    assert_eq!(NOW - times.started_at(stated), expected);
    assert_eq!(times.started_at(0), 0, "long ago");
}

/// The newest start time cannot be in the future, so all start times are corrected by its error.
#[test]
fn a_clock_that_is_behind_is_corrected_by_the_newest_start() {
    let stated = [NOW + HOUR - 20 * SECOND, NOW + HOUR];
    let times = StartTimes::new(NOW, 0, ListSource::First, &stated);
    assert_eq!(
        (
            times.clock_lag(),
            stated.map(|stated| NOW - times.started_at(stated))
        ),
        (HOUR, [20 * SECOND, 0])
    );
    // The correction also applies to later lists.
    let later = StartTimes::new(NOW, times.clock_lag(), ListSource::First, &[]);
    assert_eq!(NOW - later.started_at(NOW + HOUR - 5 * SECOND), 5 * SECOND);
}
