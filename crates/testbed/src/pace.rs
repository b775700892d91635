//! Sends items to workers at their scheduled times. A thread is used because it sleeps with
//! microsecond precision, whereas timers of the runtime have a precision of a millisecond.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{Sender, error::TrySendError};

/// The longest sleep between two checks of the stop flag.
const MAX_SLEEP: Duration = Duration::from_millis(50);

/// Capacity of the channel to a worker, in items. Items that exceed it are counted as dropped,
/// which makes the run invalid.
pub const CHANNEL_CAPACITY: usize = 65_536;

/// An item and the time at which it is due.
pub struct Scheduled<T> {
    pub at: Instant,
    pub item: T,
}

/// Sends each item at its scheduled time, to the workers in turn. Returns early when `stop` is set
/// or a worker has closed its channel.
pub fn send_on_schedule<T>(
    scheduled: impl Iterator<Item = Scheduled<T>>,
    workers: &[Sender<T>],
    stop: &AtomicBool,
    dropped: &AtomicU64,
) {
    for (index, Scheduled { at, item }) in scheduled.enumerate() {
        if !sleep_until(at, stop) {
            return;
        }
        match workers[index % workers.len()].try_send(item) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => _ = dropped.fetch_add(1, Ordering::Relaxed),
            Err(TrySendError::Closed(_)) => return,
        }
    }
}

/// Sleeps until a time. Returns false if `stop` is set before that time.
fn sleep_until(at: Instant, stop: &AtomicBool) -> bool {
    loop {
        if stop.load(Ordering::Relaxed) {
            return false;
        }
        let remaining = at.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return true;
        }
        std::thread::sleep(remaining.min(MAX_SLEEP));
    }
}
