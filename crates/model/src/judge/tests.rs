use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::check;

/// Use cases: 0 redoable, 1 labelled within its cell for 2.5 s, 2 irreversible.
fn ledger() -> Ledger {
    Ledger::new(&check::read("name = 'd'\nlength = '20s'", "d.toml").unwrap())
}

fn place(server: usize) -> Place {
    Place {
        server,
        zone: server % 2,
        cell: server / 2,
        cold: None,
    }
}
fn taken(use_case: usize) -> Seen {
    Seen::Taken {
        ticket: 1,
        balancer: 0,
        use_case,
        hard_stop: SECOND,
    }
}
fn sent(server: usize, began: Micros) -> Seen {
    Seen::Sent {
        ticket: 1,
        place: place(server),
        began,
        work: 10_000.0,
    }
}
fn answered(outcome: Outcome) -> Seen {
    Seen::Answered {
        ticket: 1,
        outcome,
        genuine: true,
    }
}
const NOT_RUN: Seen = Seen::NotRun {
    ticket: 1,
    server: 0,
};
const LEFT: Seen = Seen::Left { ticket: 1 };
fn told_time(began: Micros, told: Micros) -> Seen {
    Seen::ToldTime {
        ticket: 1,
        began,
        told,
    }
}
const DRAINS: Seen = Seen::Told {
    balancer: 0,
    server: 0,
    drains: true,
};
const SERVES: Seen = Seen::Told {
    balancer: 0,
    server: 0,
    drains: false,
};
const FORGED: Seen = Seen::Answered {
    ticket: 1,
    outcome: Outcome::Succeeded,
    genuine: false,
};
use Outcome::{Abandoned, Dismissed, Succeeded};

/// What was seen, when, and which rules that breaks.
#[rstest]
#[case::fine(&[(0, taken(2)), (9, sent(0, 5)), (20, answered(Succeeded))], &[])]
#[case::no_answer(&[(0, taken(0)), (9, sent(0, 5))], &[1])]
#[case::lost(&[(0, taken(0)), (9, Seen::Lost { ticket: 1 })], &[1])]
#[case::client_left(&[(0, taken(0)), (9, Seen::Left { ticket: 1 })], &[])]
#[case::balancer_killed(&[(0, taken(0)), (9, Seen::Killed { balancer: 0 })], &[])]
#[case::other_killed(&[(0, taken(0)), (9, Seen::Killed { balancer: 1 })], &[1])]
#[case::begun_as_its_client_left(&[(0, taken(0)), (50_000, LEFT), (210_000, sent(0, 200_000))], &[])]
#[case::begun_after_its_client_left(&[(0, taken(0)), (50_000, LEFT), (210_000, sent(0, 200_001))], &[1])]
#[case::begun_long_after_that(&[(0, taken(0)), (50_000, LEFT), (800_000, sent(0, 800_000))], &[1])]
#[case::tells_what_is_left(&[(0, taken(0)), (9, told_time(400_000, 600_000)), (20, answered(Succeeded))], &[])]
#[case::tells_a_little_more(&[(0, taken(0)), (9, told_time(400_000, 800_000)), (20, answered(Succeeded))], &[])]
#[case::tells_too_much(&[(0, taken(0)), (9, told_time(400_000, 800_001)), (20, answered(Succeeded))], &[1])]
#[case::tells_too_much_noted_first(&[(5, told_time(400_000, 900_000)), (6, taken(0)), (20, answered(Succeeded))], &[1])]
#[case::within_slack(&[(0, taken(0)), (1_050_000, answered(Succeeded))], &[])]
#[case::late(&[(0, taken(0)), (1_050_001, answered(Succeeded))], &[1])]
#[case::late_noted_first(&[(1_050_001, answered(Abandoned)), (0, taken(0))], &[1])]
#[case::twice(&[(0, taken(0)), (5, answered(Dismissed)), (9, answered(Succeeded))], &[1])]
#[case::forged(&[(0, taken(0)), (5, FORGED)], &[1])]
#[case::sent_after(&[(0, taken(0)), (5, answered(Dismissed)), (60_009, sent(0, 50_006))], &[1])]
#[case::irreversible_again(&[(0, taken(2)), (5, sent(0, 5)), (9, sent(1, 9)), (20, answered(Succeeded))], &[2])]
#[case::irreversible_proven(
    &[(0, taken(2)), (5, sent(0, 5)), (6, NOT_RUN), (9, sent(1, 9)), (20, answered(Succeeded))], &[])]
#[case::irreversible_dismissed(&[(0, taken(2)), (5, sent(0, 5)), (20, answered(Dismissed))], &[2])]
#[case::irreversible_abandoned(&[(0, taken(2)), (5, sent(0, 5)), (20, answered(Abandoned))], &[])]
#[case::irreversible_dismissed_unrun(&[(0, taken(2)), (5, sent(0, 5)), (6, NOT_RUN), (9, answered(Dismissed))], &[])]
#[case::redoable_again(&[(0, taken(0)), (5, sent(0, 5)), (9, sent(3, 9)), (20, answered(Dismissed))], &[])]
#[case::labelled_in_group(&[(0, taken(1)), (5, sent(0, 5)), (9, sent(1, 9)), (20, answered(Succeeded))], &[])]
#[case::labelled_elsewhere(&[(0, taken(1)), (5, sent(0, 5)), (9, sent(2, 9)), (20, answered(Succeeded))], &[2])]
#[case::labelled_late(&[(0, taken(1)), (5, sent(0, 5)), (2_600_000, sent(1, 2_600_000)), (9, answered(Succeeded))], &[2])]
#[case::labelled_dismissed(&[(0, taken(1)), (5, sent(0, 5)), (9, answered(Dismissed))], &[2])]
#[case::in_grace(&[(0, DRAINS), (0, taken(0)), (5, sent(0, 450_000)), (9, answered(Succeeded))], &[])]
#[case::past_grace(&[(0, DRAINS), (0, taken(0)), (5, sent(0, 450_001)), (9, answered(Succeeded))], &[3])]
#[case::told_again_counts_from_the_first(
    &[(0, DRAINS), (100, DRAINS), (0, taken(0)), (5, sent(0, 450_001)), (9, answered(Succeeded))], &[3])]
#[case::serves_again(
    &[(0, DRAINS), (100, SERVES), (0, taken(0)), (5, sent(0, 450_001)), (9, answered(Succeeded))], &[])]
#[case::fell(&[(0, Seen::Fell { server: 3 })], &[4])]
fn breaks_are_found(#[case] seen: &[(Micros, Seen)], #[case] rules: &[u8]) {
    let mut ledger = ledger();
    for (at, seen) in seen {
        ledger.note(*at, *seen);
    }
    ledger.finish(10 * SECOND);
    let found: Vec<_> = ledger.breaks().iter().map(|broken| broken.rule).collect();
    assert_eq!(
        found,
        rules,
        "{}",
        ledger
            .breaks()
            .iter()
            .map(Break::to_string)
            .collect::<String>()
    );
    for broken in ledger
        .breaks()
        .iter()
        .filter(|broken| broken.ticket.is_some())
    {
        let first = seen.iter().find(|(_, seen)| seen.ticket().is_some());
        assert_eq!(
            broken.history.first(),
            first,
            "its history is told from the beginning"
        );
    }
}

#[test]
fn a_cold_server_over_its_multiple_is_found_once() {
    let mut ledger = ledger();
    let cold = Place {
        cold: Some(0.3),
        ..place(0)
    };
    for ticket in 0..12 {
        // 100 ms of work every 100 ms is 1.0 of a core; three times 0.3 is less.
        let at = ticket * 100_000;
        ledger.note(
            at,
            Seen::Taken {
                ticket,
                balancer: 0,
                use_case: 0,
                hard_stop: at + SECOND,
            },
        );
        ledger.note(
            at,
            Seen::Sent {
                ticket,
                place: cold,
                began: at,
                work: 99_000.0,
            },
        );
        ledger.note(
            at,
            Seen::Answered {
                ticket,
                outcome: Succeeded,
                genuine: true,
            },
        );
    }
    ledger.finish(20 * SECOND);
    assert_eq!(
        ledger
            .breaks()
            .iter()
            .map(|broken| (broken.rule, broken.ticket))
            .collect::<Vec<_>>(),
        [(4, Some(9))]
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(8))]
    /// What is over is forgotten, and a ticket without an answer is found all the same.
    #[test]
    fn memory_is_bounded_and_nothing_owed_is_lost(owed in 0_u64..20_000) {
        let mut ledger = ledger();
        for ticket in 0..20_000 {
            let at = ticket * 10_000;
            ledger.note(at, Seen::Taken { ticket, balancer: 0, use_case: 0, hard_stop: at + SECOND });
            if ticket != owed {
                ledger.note(at + 5, Seen::Answered { ticket, outcome: Succeeded, genuine: true });
            }
        }
        prop_assert!(ledger.kept() < 6_000, "{} kept", ledger.kept());
        ledger.finish(300 * SECOND);
        prop_assert_eq!(ledger.breaks().iter().map(|broken| broken.ticket).collect::<Vec<_>>(), [Some(owed)]);
    }
}

/// Up to so late an answer earns nothing; later it is lost.
#[rstest]
#[case::late(SECOND + 400_000, 0)]
#[case::lost(SECOND + 600_000, 1)]
fn a_late_answer_is_lost_only_beyond_what_the_day_says(#[case] at: Micros, #[case] broken: usize) {
    let day = check::read(
        "name = 'd'\nlength = '20s'\n[rules]\nlate = '500ms'",
        "d.toml",
    )
    .unwrap();
    let mut ledger = Ledger::new(&day);
    ledger.note(0, taken(0));
    ledger.note(at, answered(Abandoned));
    assert_eq!(ledger.breaks().len(), broken);
}
