use rstest::rstest;

use super::*;

fn process_history() -> ProcessHistory<char> {
    let mut history = ProcessHistory::new(3);
    [(0, 'a'), (1, 'b'), (2, 'c')]
        .into_iter()
        .for_each(|(member, incarnation)| history.process_started(10, member, incarnation));
    history
}

fn view(entries: &[(char, ClaimedStatus)]) -> Vec<ViewEntry<char>> {
    entries
        .iter()
        .map(|&(incarnation, claimed)| ViewEntry {
            incarnation,
            claimed,
        })
        .collect()
}

#[rstest]
#[case::correct(&[('b', ClaimedStatus::MayServe), ('c', ClaimedStatus::MayServe)], 2, 0)]
#[case::process_not_known_yet(&[('b', ClaimedStatus::MayServe)], 1, 0)]
#[case::serving_process_claimed_stopped(
    &[('b', ClaimedStatus::ProvenStopped), ('c', ClaimedStatus::MayServe)],
    2,
    1,
)]
#[case::process_not_counted(
    &[('b', ClaimedStatus::MayServe), ('c', ClaimedStatus::MayServe)],
    1,
    1,
)]
fn view_is_checked_against_running_processes(
    #[case] entries: &[(char, ClaimedStatus)],
    #[case] counted: usize,
    #[case] errors: usize,
) {
    assert_eq!(
        process_history()
            .check_view(0, 20..=30, &view(entries), counted)
            .len(),
        errors
    );
}

#[test]
fn removal_of_a_known_serving_process_is_detected() {
    let mut history = process_history();
    let both = view(&[
        ('b', ClaimedStatus::MayServe),
        ('c', ClaimedStatus::MayServe),
    ]);
    history.check_view(0, 20..=20, &both, 2);
    assert_eq!(history.check_view(0, 30..=30, &both[..1], 2).len(), 1);
    // The process stopped within the span of the view, which may be from before or after that.
    history.process_stopped(45, 2, false);
    assert_eq!(history.check_view(0, 40..=50, &both[..1], 1).len(), 0);
    history.process_started(60, 0, 'd');
    assert_eq!(history.check_view(0, 70..=70, &[], 0).len(), 0);
}

#[test]
fn crash_is_reported_once_for_each_member_that_detects_it() {
    let mut history = process_history();
    history.process_stopped(100, 2, false);
    assert_eq!(
        [0, 0, 1].map(|member| history.death_detected(member, &'c')),
        [Some(100), None, Some(100)]
    );
    history.process_stopped(100, 1, true);
    assert_eq!(history.death_detected(0, &'b'), None);
}
