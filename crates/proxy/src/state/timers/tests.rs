use super::*;

#[test]
fn timers_expire_by_time_then_in_order() {
    let mut timers = Timers::default();
    let keys = [(20, 1), (10, 2), (10, 3), (10, 4)]
        .map(|(at, timer_id)| timers.schedule(at, TimerEvent::PolicyTimer(timer_id)));
    timers.cancel(keys[2]);
    let last_serial = timers.last_serial();
    let expired: Vec<_> = std::iter::from_fn(|| timers.take_expired(20, last_serial)).collect();
    assert_eq!(
        expired,
        [
            TimerEvent::PolicyTimer(2),
            TimerEvent::PolicyTimer(4),
            TimerEvent::PolicyTimer(1)
        ]
    );
}

#[test]
fn a_timer_scheduled_in_an_iteration_waits_for_the_next() {
    let mut timers = Timers::default();
    let last_serial = timers.last_serial();
    timers.schedule(10, TimerEvent::ResumeAccepting);
    assert_eq!(
        (timers.take_expired(10, last_serial), timers.next_expiry()),
        (None, Some(10))
    );
}

#[test]
fn a_moved_timer_expires_once() {
    let (mut timers, mut key) = (Timers::default(), None);
    timers.reschedule(&mut key, 10, TimerEvent::Shutdown);
    timers.reschedule(&mut key, 30, TimerEvent::Shutdown);
    assert_eq!(timers.next_expiry(), Some(30));
    timers.clear(&mut key);
    assert_eq!((timers.next_expiry(), key), (None, None));
}
