//! Timers of a balancer, identified by the number that the host passes back on expiry.

use std::collections::HashMap;
use std::rc::Rc;

use crate::{Host, Micros};

/// Timer of the next poll of the endpoint list.
pub(crate) const LIST_POLL_TIMER: u64 = 0;
/// Timer of the next check of the request queue.
pub(crate) const QUEUE_TIMER: u64 = 1;

/// Purpose of a timer.
pub(crate) enum TimerPurpose {
    /// End of a request's wait for the loads of endpoints.
    LoadPollTimeout(Rc<str>),
    /// Next check of the queue of a key.
    KeyQueue(u64),
}

/// Pending timers, except the two with fixed numbers.
#[derive(Default)]
pub(crate) struct Timers {
    pub(crate) pending: HashMap<u64, TimerPurpose>,
    pub(crate) last_id: u64,
}

impl Timers {
    /// Sets a timer that expires after `after` microseconds.
    pub(crate) fn schedule(&mut self, host: &mut impl Host, after: Micros, purpose: TimerPurpose) {
        self.last_id = self.last_id.max(QUEUE_TIMER) + 1;
        self.pending.insert(self.last_id, purpose);
        host.set_timer(after, self.last_id);
    }

    /// Removes an expired timer and returns its purpose.
    pub(crate) fn take_expired(&mut self, timer: u64) -> Option<TimerPurpose> {
        self.pending.remove(&timer)
    }
}
