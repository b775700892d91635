//! Requests that wait for the loads of endpoints.

use crate::Micros;
use crate::state::request::Request;

/// The waiting requests, and the last one that found no endpoint.
#[derive(Default)]
pub(crate) struct LoadPolls {
    /// Requests whose loads were not all received yet.
    pub(crate) requests: Vec<Request>,
    /// When a request last found no endpoint that would meet its objective by the polled loads.
    pub(crate) last_unplaced_at: Micros,
}

impl LoadPolls {
    /// Records that the load of an endpoint was received, or cannot be.
    pub(crate) fn received(&mut self, endpoint: usize, answered: bool) {
        for request in &mut self.requests {
            let mut pending = request.pending_loads.iter();
            if let Some(position) = pending.position(|&pending| pending == endpoint) {
                request.pending_loads.swap_remove(position);
                request.known_loads.extend(answered.then_some(endpoint));
            }
        }
    }

    /// Takes a request that waits for no further load.
    pub(crate) fn take_complete(&mut self) -> Option<Request> {
        self.take(|request| request.pending_loads.is_empty())
    }

    /// Takes a request whose wait is over.
    pub(crate) fn take_timed_out(&mut self, id: &str) -> Option<Request> {
        self.take(|request| *request.id == *id)
    }

    fn take(&mut self, matches: impl Fn(&Request) -> bool) -> Option<Request> {
        let position = self.requests.iter().position(matches)?;
        Some(self.requests.remove(position))
    }
}
