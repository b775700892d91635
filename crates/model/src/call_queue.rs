//! Capacity of discovery: calls are processed one after the other, and a call that would wait too
//! long is rejected.
//!
//! An admitted call uses its time whether or not the caller is still connected. A watch that is
//! renewed soon after its last response uses none.

use std::collections::BTreeMap;

use crate::scenario::Discovery;
use crate::{Micros, SECOND};

/// How soon after its last response a watch must be renewed to continue.
const RENEWAL_WINDOW_US: Micros = 200_000;

/// The decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is processed at this time.
    Admitted(Micros),
    /// The queue is full.
    Rejected,
}

/// The queue of calls, and the watches that can be renewed.
pub struct CallQueue {
    /// Processing time of a call; 0 where there is no limit.
    call_duration: Micros,
    max_wait: Micros,
    /// When all admitted calls are processed.
    free_at: Micros,
    /// When a watch was last answered, by balancer.
    answered_at: BTreeMap<usize, Micros>,
}

impl CallQueue {
    /// An empty queue with the capacity of a scenario's discovery.
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

    /// How long the admitted calls take from now on. Watch events are sent after them.
    pub fn backlog(&self, now: Micros) -> Micros {
        self.free_at.saturating_sub(now)
    }
}

#[cfg(test)]
mod tests;
