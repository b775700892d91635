//! The host of the policy, which carries out its calls on the state. Failures are reported in a
//! later iteration of the event loop, as the policy must not be called from within its own call.

use bytes::Bytes;
use pinefront_policy::{Host, Micros};
use slog::info;

use crate::close_reason::CloseReason;
use crate::connections::client_response::ClientResponse;
use crate::connections::status_code::StatusCode;
use crate::state::proxy::{ProxyHost, ProxyState};
use crate::state::timers::TimerEvent;

/// Microseconds in a second.
const US_PER_SECOND: f64 = 1e6;

impl Host for ProxyHost {
    fn start_attempt(&mut self, request: &str, endpoint: &str, expire_at: Micros) {
        let mut state = self.0.borrow_mut();
        state.start_attempt(request, endpoint, expire_at);
    }

    fn cancel_attempt(&mut self, request: &str, number: usize) {
        self.0.borrow_mut().cancel_attempt(request, number);
    }

    fn reject(&mut self, request: &str, retry_after: Micros) {
        let mut response = ClientResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        if retry_after > 0 {
            let seconds = retry_after as f64 / US_PER_SECOND;
            let field = format!("Retry-After: {seconds:.3}\r\n");
            response.fields.push(Bytes::from(field));
        }
        let mut state = self.0.borrow_mut();
        if state.respond_without_endpoint(request, response) {
            state.counters.requests_rejected += 1;
        }
    }

    fn fail(&mut self, request: &str) {
        let mut state = self.0.borrow_mut();
        if state.respond_without_endpoint(request, ClientResponse::empty(StatusCode::BAD_GATEWAY)) {
            state.counters.requests_failed += 1;
        }
    }

    fn set_timer(&mut self, after: Micros, timer_id: u64) {
        let mut state = self.0.borrow_mut();
        let at = state.now().saturating_add(after);
        state.timers.schedule(at, TimerEvent::PolicyTimer(timer_id));
    }

    fn poll_endpoint_list(&mut self) {
        self.0.borrow_mut().poll_endpoint_list();
    }

    fn probe(&mut self, endpoint: &str) {
        self.0.borrow_mut().probe(endpoint);
    }

    fn close_idle_connections(&mut self, endpoint: &str) {
        let mut state = self.0.borrow_mut();
        if let Some(key) = state.endpoints.key_of(endpoint) {
            state.close_idle_endpoint_connections(key, CloseReason::Stale);
        }
    }

    fn send_gossip(&mut self, balancer: Option<usize>, message: &str) {
        self.0.borrow_mut().send_gossip(balancer, message);
    }
}

impl ProxyState {
    /// Responds to a request without a response of an endpoint. Returns whether the request is
    /// still in flight.
    fn respond_without_endpoint(&mut self, id: &str, response: ClientResponse) -> bool {
        let Some(key) = self.requests.key_of(id) else {
            return false;
        };
        if let Some(request) = self.requests.get(key) {
            info!(self.log, "request rejected or failed"; "request" => &*request.id,
                "status" => response.status.number(), "attempts" => request.attempts.len());
        }
        self.respond(key, response);
        true
    }
}
