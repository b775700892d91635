//! Capacity of discovery: calls are processed sequentially, and calls are rejected while the
//! backlog is too long.
//!
//! An admitted call uses capacity even if the caller disconnects. A watch that is renewed soon
//! after its last response uses no capacity.

use std::collections::BTreeMap;

use crate::scenario::Discovery;
use crate::{Micros, SECOND};

/// Maximum time between the last response to a watch and its renewal, in microseconds. A later call
/// counts as a new watch.
const RENEWAL_WINDOW_US: Micros = 200_000;

/// The admission decision for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call is admitted, and its processing ends at this time.
    Admitted(Micros),
    /// The call is rejected because the backlog is too long.
    Rejected,
}

/// The queue of calls, and the watches that can be renewed.
pub struct CallQueue {
    /// Processing time of a call, in microseconds; 0 disables the limit.
    call_duration: Micros,
    /// Backlog beyond which calls are rejected, in microseconds.
    max_wait: Micros,
    /// Time at which the processing of all admitted calls ends.
    free_at: Micros,
    /// Time of the last response to a watch, by balancer.
    answered_at: BTreeMap<usize, Micros>,
}

impl CallQueue {
    /// Creates an empty queue with the capacity of a scenario's discovery.
    pub fn new(discovery: &Discovery) -> Self {
        let rate = discovery.calls_per_second;
        let call_duration = if rate > 0.0 {
            (SECOND as f64 / rate) as Micros
        } else {
            0
        };
        Self {
            call_duration,
            max_wait: discovery.max_queue_wait.0,
            free_at: 0,
            answered_at: BTreeMap::new(),
        }
    }

    /// Admits or rejects a poll or a watch. `slowdown` multiplies the processing time.
    pub fn admit(
        &mut self,
        now: Micros,
        balancer: usize,
        is_watch: bool,
        slowdown: f64,
    ) -> Admission {
        let last = self.answered_at.remove(&balancer);
        let is_renewal = is_watch && last.is_some_and(|at| now <= at + RENEWAL_WINDOW_US);
        if is_renewal || self.call_duration == 0 {
            return Admission::Admitted(now);
        }
        if self.backlog(now) > self.max_wait {
            return Admission::Rejected;
        }
        let duration = (self.call_duration as f64 * slowdown) as Micros;
        self.free_at = self.free_at.max(now) + duration;
        Admission::Admitted(self.free_at)
    }

    /// Records that a watch of a balancer was answered.
    pub fn watch_answered(&mut self, now: Micros, balancer: usize) {
        self.answered_at.insert(balancer, now);
    }

    /// Returns the remaining processing time of the admitted calls, in microseconds. Watch events
    /// are sent after that time.
    pub fn backlog(&self, now: Micros) -> Micros {
        self.free_at.saturating_sub(now)
    }
}

#[cfg(test)]
mod tests;
