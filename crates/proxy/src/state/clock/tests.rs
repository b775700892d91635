use rstest::rstest;

use super::*;

#[rstest]
#[case::in_time(LoopIteration { previous_overrun: 0, wait_until: 100_000 }, 90_000, 0)]
#[case::below_the_minimum(
    LoopIteration { previous_overrun: 2_000, wait_until: 100_000 },
    102_000,
    0,
)]
#[case::stopped_during_the_wait(
    LoopIteration { previous_overrun: 0, wait_until: 100_000 },
    400_000,
    300_000,
)]
#[case::busy_before(
    LoopIteration { previous_overrun: 50_000, wait_until: 100_000 },
    90_000,
    50_000,
)]
fn process_delays_above_the_minimum_are_counted(
    #[case] loop_iteration: LoopIteration,
    #[case] now: Micros,
    #[case] late: Micros,
) {
    assert_eq!(loop_iteration.delay_at(now), late);
}

#[test]
fn an_overrun_counts_as_delay_of_the_next_iteration() {
    let mut iteration = LoopIteration {
        previous_overrun: 0,
        wait_until: 100_000,
    };
    iteration.begin(180_000, 230_000);
    assert_eq!(
        (iteration.previous_overrun, iteration.wait_until),
        (80_000, 230_000)
    );
}
