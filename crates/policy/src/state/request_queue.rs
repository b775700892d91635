//! The queue of requests that wait for capacity, in the order of their latency objectives.

use crate::Micros;
use crate::state::request::Request;

/// Waiting requests, the most urgent first.
#[derive(Default)]
pub(crate) struct RequestQueue {
    pub(crate) requests: Vec<Request>,
    pub(crate) timer_scheduled: bool,
}

impl RequestQueue {
    /// Returns the position at which a request with this objective enters the queue.
    pub(crate) fn insert_position(&self, objective_at: Micros) -> usize {
        self.requests
            .partition_point(|waiting| waiting.objective_at <= objective_at)
    }

    /// Returns the number of requests before a position that were never sent. Requests that were
    /// sent before may only go to some endpoints.
    pub(crate) fn unsent_before(&self, position: usize) -> usize {
        self.requests[..position]
            .iter()
            .filter(|waiting| waiting.is_unsent())
            .count()
    }

    /// Returns whether every waiting request was sent before.
    pub(crate) fn has_only_retries(&self) -> bool {
        self.requests.iter().all(|waiting| !waiting.is_unsent())
    }

    pub(crate) fn sort(&mut self) {
        self.requests.sort_by_key(|request| request.objective_at);
    }
}
