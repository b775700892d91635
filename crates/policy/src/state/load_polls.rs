//! Requests that wait for the loads of endpoints to be reported.

use crate::Micros;
use crate::state::request::Request;

/// The waiting requests, and the time at which one last found no suitable endpoint.
#[derive(Default)]
pub(crate) struct LoadPolls {
    /// Requests that wait for a polled load.
    pub(crate) requests: Vec<Request>,
    /// Time at which a request last found no endpoint that would meet its objective according to
    /// the polled loads.
    pub(crate) last_unplaced_at: Micros,
}

impl LoadPolls {
    /// Records that the load of an endpoint was received, or that it is unavailable.
    pub(crate) fn record_received(&mut self, endpoint: usize, answered: bool) {
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

    /// Takes the request whose wait has timed out.
    pub(crate) fn take_timed_out(&mut self, id: &str) -> Option<Request> {
        self.take(|request| *request.id == *id)
    }

    fn take(&mut self, matches: impl Fn(&Request) -> bool) -> Option<Request> {
        let position = self.requests.iter().position(matches)?;
        Some(self.requests.remove(position))
    }
}
