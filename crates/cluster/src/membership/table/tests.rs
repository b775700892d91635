use rstest::rstest;

use super::super::events::MergeOutcome;
use super::*;
use crate::Micros;

const OWN: Incarnation = Incarnation {
    started_at_us: 1,
    random_id: 1,
};
const FIRST: Incarnation = Incarnation {
    started_at_us: 10,
    random_id: 2,
};
const SECOND: Incarnation = Incarnation {
    started_at_us: 20,
    random_id: 3,
};

fn record(incarnation: Incarnation, refutation_counter: u64, state: MemberState) -> MemberRecord {
    let new_record =
        MemberRecord::for_new_process("b1", "a", "127.0.0.1:9".parse().unwrap(), incarnation);
    MemberRecord {
        refutation_counter,
        state,
        ..new_record
    }
}

fn table() -> MemberTable {
    MemberTable::new(MemberRecord::for_new_process(
        "b0",
        "a",
        "127.0.0.1:8".parse().unwrap(),
        OWN,
    ))
}

#[rstest]
#[case::older_record(
    record(FIRST, 9, MemberState::Dead),
    MergeOutcome::Unchanged,
    MemberState::Alive
)]
#[case::suspicion(
    record(FIRST, 10, MemberState::Suspected),
    MergeOutcome::Changed,
    MemberState::Suspected
)]
#[case::refutation(
    record(FIRST, 11, MemberState::Alive),
    MergeOutcome::Changed,
    MemberState::Alive
)]
#[case::dead(
    record(FIRST, 10, MemberState::Dead),
    MergeOutcome::Changed,
    MemberState::Dead
)]
fn later_state_supersedes_at_the_same_refutation_counter(
    #[case] received: MemberRecord,
    #[case] outcome: MergeOutcome,
    #[case] state: MemberState,
) {
    let mut table = table();
    table.merge(0, &record(FIRST, 10, MemberState::Alive));
    assert_eq!(
        (
            table.merge(5, &received),
            table.member("b1").unwrap().record.state
        ),
        (outcome, state)
    );
}

/// A slow-start budget or a limit must not grow because a member is unresponsive.
#[rstest]
#[case::alive(MemberState::Alive, 1)]
#[case::suspected(MemberState::Suspected, 1)]
#[case::dead(MemberState::Dead, 1)]
#[case::left(MemberState::Left, 0)]
fn only_a_member_that_left_is_proven_stopped(
    #[case] state: MemberState,
    #[case] possibly_serving: usize,
) {
    let mut table = table();
    table.merge(0, &record(FIRST, 10, state));
    assert_eq!(table.count_possibly_serving(), possibly_serving);
    let is_proven_stopped = matches!(
        table.serving_status("b1", FIRST),
        Some(ServingStatus::ProvenStopped(StopProof::Announced))
    );
    assert_eq!(is_proven_stopped, possibly_serving == 0);
}

#[rstest]
#[case::same_address("127.0.0.1:9", 1, None)]
#[case::other_address(
    "127.0.0.1:10",
    2,
    Some(ServingStatus::MayServe(MayServeReason::Superseded))
)]
fn earlier_process_may_serve_unless_its_address_is_used_again(
    #[case] address: &str,
    #[case] possibly_serving: usize,
    #[case] earlier: Option<ServingStatus>,
) {
    let mut table = table();
    table.merge(0, &record(FIRST, 10, MemberState::Alive));
    let address = address.parse().unwrap();
    table.merge(
        1,
        &MemberRecord {
            address,
            ..record(SECOND, 20, MemberState::Alive)
        },
    );
    assert_eq!(
        (
            table.count_possibly_serving(),
            table.serving_status("b1", FIRST)
        ),
        (possibly_serving, earlier)
    );
}

#[test]
fn wrong_records_of_this_member_are_refuted_until_it_leaves() {
    let mut table = table();
    let wrong_record = MemberRecord {
        state: MemberState::Dead,
        ..table.own_record.clone()
    };
    assert_eq!(table.merge(0, &wrong_record), MergeOutcome::Refuted);
    assert_eq!(
        (table.own_record.refutation_counter, table.events.as_slice()),
        (2, [MembershipEvent::Refuted].as_slice())
    );
    assert_eq!(table.merge(0, &wrong_record), MergeOutcome::Unchanged);
    table.own_record.state = MemberState::Left;
    assert_eq!(
        table.merge(
            0,
            &MemberRecord {
                refutation_counter: 9,
                ..wrong_record
            }
        ),
        MergeOutcome::Unchanged
    );
}

#[test]
fn name_conflict_is_reported_when_another_process_supersedes_repeatedly() {
    let mut table = table();
    for _ in 0..NAME_CONFLICT_THRESHOLD {
        assert!(!table.has_name_conflict());
        let other = MemberRecord {
            incarnation: SECOND,
            refutation_counter: table.own_record.refutation_counter + 1,
            ..table.own_record.clone()
        };
        assert_eq!(table.merge(0, &other), MergeOutcome::Refuted);
    }
    assert!(table.has_name_conflict() && table.events == [MembershipEvent::NameConflict]);
}

#[test]
fn full_table_adds_a_member_only_in_place_of_one_that_left() {
    let mut table = table();
    let numbered_record = |number: usize, state| {
        let name = Rc::from(format!("n{number}"));
        MemberRecord {
            name,
            ..record(FIRST, 10, state)
        }
    };
    for number in 0..MAX_MEMBERS {
        let outcome = table.merge(
            number as Micros,
            &numbered_record(number, MemberState::Dead),
        );
        assert_eq!(
            outcome,
            if number + 1 < MAX_MEMBERS {
                MergeOutcome::Changed
            } else {
                MergeOutcome::TableFull
            }
        );
    }
    table.merge(9, &numbered_record(7, MemberState::Left));
    assert_eq!(
        table.merge(10, &numbered_record(5_000, MemberState::Alive)),
        MergeOutcome::Changed
    );
    assert!(table.member("n7").is_none() && table.members.len() == MAX_MEMBERS - 1);
}

#[test]
fn suspicions_are_counted_once_for_each_process_up_to_the_limit() {
    use MergeOutcome::{Changed, SuspicionConfirmed, Unchanged};
    let mut table = table();
    let suspicion = |suspected_by| MemberRecord {
        suspected_by,
        ..record(FIRST, 10, MemberState::Suspected)
    };
    let outcomes = [5, 5, 6, 7, 8].map(|id| table.merge(0, &suspicion(id)));
    assert_eq!(
        outcomes,
        [
            Changed,
            Unchanged,
            SuspicionConfirmed,
            SuspicionConfirmed,
            Unchanged
        ]
    );
    assert_eq!(
        table
            .member("b1")
            .unwrap()
            .suspicion
            .as_ref()
            .unwrap()
            .suspecting_ids,
        [5, 6, 7]
    );
}
