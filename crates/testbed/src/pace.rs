//! Pacing: what is due is handed over at its time, by a thread that sleeps to the microsecond. The runtime's own
//! timers count whole milliseconds, which would make each ticket late by one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{Sender, error::TrySendError};

/// The longest sleep, so that an early end is seen.
const LOOKS_APART: Duration = Duration::from_millis(50);

/// How many wait between the pacing thread and a worker at most: beyond it the workers are too slow, and what is
/// due is counted as dropped, which makes the run invalid.
pub const QUEUE: usize = 65_536;

/// Hands each item to the workers in turn at its moment. Ends early when told.
pub fn pace<T>(
    due: impl Iterator<Item = (Instant, T)>,
    workers: &[Sender<T>],
    over: &Arc<AtomicBool>,
    dropped: &AtomicU64,
) {
    for (turn, (moment, item)) in due.enumerate() {
        loop {
            if over.load(Ordering::Relaxed) {
                return;
            }
            let left = moment.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            std::thread::sleep(left.min(LOOKS_APART));
        }
        match workers[turn % workers.len()].try_send(item) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => _ = dropped.fetch_add(1, Ordering::Relaxed),
            Err(TrySendError::Closed(_)) => return,
        }
    }
}
