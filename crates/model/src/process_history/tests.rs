use rstest::rstest;

use super::*;

fn process_history() -> ProcessHistory<char> {
    let mut history = ProcessHistory::new(3);
    [(0, 'a'), (1, 'b'), (2, 'c')]
        .into_iter()
        .for_each(|(member, incarnation)| history.process_started(10, member, incarnation));
    history
}

fn held(all: &[(char, ClaimedStatus)]) -> Vec<ViewEntry<char>> {
    all.iter()
        .map(|&(incarnation, claimed)| ViewEntry {
            incarnation,
            claimed,
        })
        .collect()
}

#[rstest]
#[case::right(&[('b', ClaimedStatus::MayServe), ('c', ClaimedStatus::MayServe)], 2, 0)]
#[case::one_not_known_yet(&[('b', ClaimedStatus::MayServe)], 1, 0)]
#[case::taken_for_gone(&[('b', ClaimedStatus::ProvenStopped), ('c', ClaimedStatus::MayServe)], 2, 1)]
#[case::not_counted(&[('b', ClaimedStatus::MayServe), ('c', ClaimedStatus::MayServe)], 1, 1)]
fn view_is_checked_against_running_processes(
    #[case] all: &[(char, ClaimedStatus)],
    #[case] counted: usize,
    #[case] wrong: usize,
) {
    assert_eq!(
        process_history()
            .check_view(0, 20..=30, &held(all), counted)
            .len(),
        wrong
    );
}

#[test]
fn known_process_must_not_be_forgotten_while_it_serves() {
    let mut history = process_history();
    let both = held(&[
        ('b', ClaimedStatus::MayServe),
        ('c', ClaimedStatus::MayServe),
    ]);
    history.check_view(0, 20..=20, &both, 2);
    assert_eq!(history.check_view(0, 30..=30, &both[..1], 2).len(), 1);
    // It ended inside the span of the view: either is true of some moment.
    history.process_stopped(45, 2, false);
    assert_eq!(history.check_view(0, 40..=50, &both[..1], 1).len(), 0);
    history.process_started(60, 0, 'd');
    assert_eq!(history.check_view(0, 70..=70, &[], 0).len(), 0);
}

#[test]
fn a_death_is_noticed_by_each_once() {
    let mut history = process_history();
    history.process_stopped(100, 2, false);
    assert_eq!(
        [0, 0, 1].map(|member| history.death_detected(member, &'c')),
        [Some(100), None, Some(100)]
    );
    history.process_stopped(100, 1, true);
    assert_eq!(history.death_detected(0, &'b'), None);
}
