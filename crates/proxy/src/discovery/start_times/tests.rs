use rstest::rstest;

use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3600 * SECOND;
const NOW: Micros = 1_000 * HOUR;

/// `wrong` is how far our clock is from that of the endpoints, `age` how long ago an endpoint really
/// started; the result is how long ago it is taken to have started.
#[rstest]
#[case::right(Source::Later { since: NOW - SECOND }, 0, 2 * SECOND, 2 * SECOND)]
#[case::an_hour_ahead(Source::Later { since: NOW - SECOND }, HOUR as i64, SECOND, SECOND + MAX_REPORT_DELAY_US)]
#[case::an_hour_behind(Source::Later { since: NOW - SECOND }, -(HOUR as i64), SECOND, 0)]
#[case::some_seconds_ahead(Source::Later { since: NOW }, 8 * SECOND as i64, 0, MAX_REPORT_DELAY_US)]
#[case::behind_at_the_start(Source::First, -(HOUR as i64), SECOND, 0)]
#[case::right_at_the_start(Source::First, 0, 30 * SECOND, 30 * SECOND)]
#[case::right_after_a_restart(Source::AfterCached, 0, 30 * SECOND, 30 * SECOND)]
#[case::ahead_after_a_restart(Source::AfterCached, HOUR as i64, 3 * SECOND, 0)]
fn the_age_of_a_newcomer_is_bounded_without_a_clock(
    #[case] source: Source,
    #[case] wrong: i64,
    #[case] age: Micros,
    #[case] believed: Micros,
) {
    let stated = (NOW as i64 - wrong) as u64 - age;
    let times = StartTimes::new(NOW, 0, source, &[stated]);
    assert_eq!(NOW - times.started_at(stated), believed);
    assert_eq!(times.started_at(0), 0, "long ago");
}

/// The newest start cannot be in the future: the others are as much older as stated.
#[test]
fn a_clock_that_is_behind_is_corrected_by_the_newest_start() {
    let stated = [NOW + HOUR - 20 * SECOND, NOW + HOUR];
    let times = StartTimes::new(NOW, 0, Source::First, &stated);
    assert_eq!(
        (
            times.behind(),
            stated.map(|stated| NOW - times.started_at(stated))
        ),
        (HOUR, [20 * SECOND, 0])
    );
    // What was learned stays.
    let later = StartTimes::new(NOW, times.behind(), Source::First, &[]);
    assert_eq!(NOW - later.started_at(NOW + HOUR - 5 * SECOND), 5 * SECOND);
}
