use super::*;

#[test]
fn what_falls_due_comes_by_time_and_then_by_order() {
    let mut deadlines = Deadlines::default();
    let places = [(20, 1), (10, 2), (10, 3), (10, 4)]
        .map(|(at, alarm)| deadlines.hang(at, Due::Alarm(alarm)));
    deadlines.take_down(places[2]);
    let mark = deadlines.mark();
    let due: Vec<_> = std::iter::from_fn(|| deadlines.due(20, mark)).collect();
    assert_eq!(due, [Due::Alarm(2), Due::Alarm(4), Due::Alarm(1)]);
}

#[test]
fn what_a_turn_hangs_waits_for_the_next() {
    let mut deadlines = Deadlines::default();
    let mark = deadlines.mark();
    deadlines.hang(10, Due::Accept);
    assert_eq!(
        (deadlines.due(10, mark), deadlines.next()),
        (None, Some(10))
    );
}

#[test]
fn a_deadline_that_moved_stands_only_once() {
    let (mut deadlines, mut place) = (Deadlines::default(), None);
    deadlines.move_to(&mut place, 10, Due::Stop);
    deadlines.move_to(&mut place, 30, Due::Stop);
    assert_eq!(deadlines.next(), Some(30));
    deadlines.clear(&mut place);
    assert_eq!((deadlines.next(), place), (None, None));
}
