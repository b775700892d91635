use rstest::rstest;

use super::*;

#[rstest]
#[case::in_time(LoopIteration { previous_overrun: 0, wait_until: 100_000 }, 90_000, 0)]
#[case::as_usual(LoopIteration { previous_overrun: 2_000, wait_until: 100_000 }, 102_000, 0)]
#[case::stopped_in_the_wait(LoopIteration { previous_overrun: 0, wait_until: 100_000 }, 400_000, 300_000)]
#[case::busy_before(LoopIteration { previous_overrun: 50_000, wait_until: 100_000 }, 90_000, 50_000)]
fn delays_of_the_process_count_as_lateness(
    #[case] loop_iteration: LoopIteration,
    #[case] now: Micros,
    #[case] late: Micros,
) {
    assert_eq!(loop_iteration.delay_at(now), late);
}

#[test]
fn a_long_iteration_makes_the_next_one_late() {
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
