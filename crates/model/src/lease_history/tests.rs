use rstest::rstest;

use super::*;

fn term(number: u64, incarnation_id: u64) -> LeaseTerm {
    LeaseTerm {
        number,
        incarnation_id,
    }
}

#[rstest]
#[case::with_a_vacancy(20, 25, 0, 5)]
#[case::without_a_vacancy(20, 20, 0, 0)]
#[case::overlapping(20, 19, 1, 0)]
fn overlapping_holdings_of_one_lease_are_detected(
    #[case] ends_at: Micros,
    #[case] next_starts_at: Micros,
    #[case] overlaps: usize,
    #[case] vacancy: Micros,
) {
    let mut lease_history = LeaseHistory::default();
    lease_history.acquired(10, 0, "d", term(1, 1));
    lease_history.lost(ends_at, 0, "d", term(1, 1), "expired");
    lease_history.acquired(next_starts_at, 1, "d", term(2, 2));
    lease_history.acquired(next_starts_at, 1, "another", term(2, 2));
    let findings = lease_history.analyse(100);
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
            duration: vacancy,
            cause: "expired"
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
            lease_history.analyse(100).overlaps.len(),
            lease_history.analyse(100).decreased_terms.len()
        ),
        (1, 1)
    );
    lease_history.process_ended(40, 0);
    assert_eq!(lease_history.analyse(100).overlaps.len(), 0);
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
