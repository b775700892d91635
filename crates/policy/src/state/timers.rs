//! Timers of a balancer, by the number that the host hands back.

use std::collections::HashMap;
use std::rc::Rc;

use crate::{Host, Micros};

/// Timer of the next poll of the endpoint list.
pub(crate) const LIST_POLL_TIMER: u64 = 0;
/// Timer of the next look at the queue of waiting requests.
pub(crate) const QUEUE_TIMER: u64 = 1;

/// What a timer was set for.
pub(crate) enum TimerPurpose {
    /// The wait of a request for the loads of endpoints.
    LoadsPolled(Rc<str>),
    /// The queue of a key.
    KeyQueue(u64),
}

/// Timers that have not expired, beside the two fixed ones.
#[derive(Default)]
pub(crate) struct Timers {
    pub(crate) pending: HashMap<u64, TimerPurpose>,
    pub(crate) last_id: u64,
}

impl Timers {
    /// Sets a timer.
    pub(crate) fn schedule(&mut self, host: &mut impl Host, after: Micros, purpose: TimerPurpose) {
        self.last_id = self.last_id.max(QUEUE_TIMER) + 1;
        self.pending.insert(self.last_id, purpose);
        host.set_timer(after, self.last_id);
    }

    /// Takes the purpose of a timer that has expired.
    pub(crate) fn expired(&mut self, timer: u64) -> Option<TimerPurpose> {
        self.pending.remove(&timer)
    }
}
