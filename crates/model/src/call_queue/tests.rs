use super::*;
use crate::scenario::Span;

fn queue(calls_per_second: f64) -> CallQueue {
    let max_queue_wait = Span(SECOND);
    CallQueue::new(&Discovery {
        calls_per_second,
        max_queue_wait,
        ..Discovery::default()
    })
}

#[test]
fn calls_are_processed_sequentially_and_rejected_while_the_queue_is_full() {
    let mut queue = queue(2.0);
    let admissions = [0, 1, 2, 3].map(|balancer| queue.admit(0, balancer, true, 1.0));
    let at = |tenths: u64| Admission::Admitted(tenths * SECOND / 10);
    assert_eq!(admissions, [at(5), at(10), at(15), Admission::Rejected]);
    // Calls are admitted again when the backlog has decreased to the maximum wait.
    assert_eq!(queue.admit(SECOND / 2, 3, false, 2.0), at(25));
    assert_eq!(queue.backlog(SECOND), 3 * SECOND / 2);
}

#[test]
fn renewed_watch_uses_no_capacity() {
    let mut queue = queue(2.0);
    queue.admit(0, 0, true, 1.0);
    queue.watch_answered(SECOND, 0);
    assert_eq!(
        queue.admit(SECOND + RENEWAL_WINDOW_US, 0, true, 1.0),
        Admission::Admitted(SECOND + RENEWAL_WINDOW_US)
    );
    queue.watch_answered(2 * SECOND, 0);
    // A later call is a new watch, and a poll does not renew a watch.
    assert_eq!(
        queue.admit(2 * SECOND + RENEWAL_WINDOW_US + 1, 0, true, 1.0),
        Admission::Admitted(2_700_001)
    );
    queue.watch_answered(3 * SECOND, 0);
    assert_eq!(
        queue.admit(3 * SECOND, 0, false, 1.0),
        Admission::Admitted(7 * SECOND / 2)
    );
}

#[test]
fn calls_are_processed_immediately_without_a_limit() {
    let mut queue = queue(0.0);
    assert!(
        (0..1000).all(|balancer| queue.admit(5, balancer, false, 1.0) == Admission::Admitted(5))
    );
}
