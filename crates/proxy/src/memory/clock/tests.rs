use rstest::rstest;

use super::*;

#[rstest]
#[case::in_time(Turn { busy: 0, until: 100_000 }, 90_000, 0)]
#[case::as_usual(Turn { busy: 2_000, until: 100_000 }, 102_000, 0)]
#[case::stopped_in_the_wait(Turn { busy: 0, until: 100_000 }, 400_000, 300_000)]
#[case::busy_before(Turn { busy: 50_000, until: 100_000 }, 90_000, 50_000)]
fn what_is_read_may_have_lain_while_we_were_not_let_run(
    #[case] turn: Turn,
    #[case] now: Micros,
    #[case] late: Micros,
) {
    assert_eq!(turn.late(now), late);
}

#[test]
fn a_turn_that_goes_on_for_long_makes_the_next_one_late() {
    let mut turn = Turn {
        busy: 0,
        until: 100_000,
    };
    turn.begin(180_000, 230_000);
    assert_eq!((turn.busy, turn.until), (80_000, 230_000));
}
