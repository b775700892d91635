use rstest::rstest;

use super::*;

fn term(number: u64, incarnation_id: u64) -> LeaseTerm {
    LeaseTerm {
        number,
        incarnation_id,
    }
}

#[rstest]
#[case::one_after_the_other(20, 25, 0, 5)]
#[case::at_once(20, 20, 0, 0)]
#[case::overlapping(20, 19, 1, 0)]
fn holdings_of_one_lease_must_not_overlap(
    #[case] ends: Micros,
    #[case] begins: Micros,
    #[case] overlaps: usize,
    #[case] gap: Micros,
) {
    let mut lease_history = LeaseHistory::default();
    lease_history.acquired(10, 0, "d", term(1, 1));
    lease_history.lost(ends, 0, "d", term(1, 1), "ran out");
    lease_history.acquired(begins, 1, "d", term(2, 2));
    lease_history.acquired(begins, 1, "another", term(2, 2));
    let findings = lease_history.analyze(100);
    assert_eq!(
        (
            findings.overlaps.len(),
            findings.changes,
            findings.decreased_terms.len()
        ),
        (overlaps, 1, 0)
    );
    assert_eq!(
        findings.vacancies,
        [Vacancy {
            duration: gap,
            cause: "ran out"
        }]
    );
    assert!(lease_history.vacant_leases(100).is_empty());
}

#[test]
fn unreported_holding_ends_with_the_process() {
    let mut lease_history = LeaseHistory::default();
    lease_history.acquired(10, 0, "d", term(5, 1));
    lease_history.acquired(50, 1, "d", term(4, 2));
    assert_eq!(
        (
            lease_history.analyze(100).overlaps.len(),
            lease_history.analyze(100).decreased_terms.len()
        ),
        (1, 1)
    );
    lease_history.process_ended(40, 0);
    assert_eq!(lease_history.analyze(100).overlaps.len(), 0);
    lease_history.process_ended(60, 1);
    assert_eq!(lease_history.vacant_leases(70), ["d"]);
}

#[test]
fn stale_command_is_detected() {
    let mut lease_history = LeaseHistory::default();
    lease_history.command_accepted(1, "d", term(5, 1));
    lease_history.command_accepted(2, "d", term(4, 1));
    assert!(lease_history.stale_commands.is_empty());
    lease_history.command_accepted(1, "d", term(4, 9));
    assert_eq!(lease_history.stale_commands.len(), 1);
}
