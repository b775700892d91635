//! Rejection of messages that are not accepted as requests. A client that sends one after the other
//! gets its responses later and later, so that it costs no more than a client that is served.

use bytes::Bytes;
use pinefront_policy::Micros;

use crate::close_reason::CloseReason;
use crate::connections::client_response::ClientResponse;
use crate::connections::request_error::RequestError;
use crate::state::keys::ClientKey;
use crate::state::pace::EventPace;
use crate::state::proxy::ProxyState;
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// Maximum delay of a rejection. A client must get an error or a close within 3 s.
const MAX_REJECTION_DELAY_US: Micros = 1_500_000;
/// Pace of the rejections after which connections are closed: their clients may connect again at
/// once.
pub const REJECTION_PACE: EventPace = EventPace::new(5_000, 50, MAX_REJECTION_DELAY_US);
/// Maximum number of consecutive rejections on a connection that is kept open.
const MAX_CONSECUTIVE_REJECTIONS: u32 = 16;
/// Time by which the pause before the next message grows with each consecutive rejection.
const REJECTION_PAUSE_STEP_US: Micros = 10_000;

impl ProxyState {
    /// Rejects a message that is not accepted as a request. The connection is closed afterwards if
    /// no further request can be read from it, or after too many rejections.
    pub fn reject(&mut self, key: ClientKey, error: RequestError) {
        let now = self.clock.now();
        self.counters.requests_malformed += 1;
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.consecutive_rejections += 1;
        let is_last = client.consecutive_rejections >= MAX_CONSECUTIVE_REJECTIONS;
        let close_reason = error
            .close_reason()
            .or(is_last.then_some(CloseReason::TooManyRejections));
        let Some(close_reason) = close_reason else {
            self.pause_before_next_message(key, now);
            return self.send_rejection(key, error);
        };
        client.close_reason = Some(close_reason);
        client.partial_request = None;
        // Nothing more is read as a request, so the memory is released at once.
        client.read_buffer.clear();
        let at = if error.is_found_at_once() {
            self.rejection_pace.next(now)
        } else {
            now
        };
        if at <= now {
            return self.send_rejection(key, error);
        }
        client.pending_rejection = Some(error);
        self.counters.rejections_delayed += 1;
        self.set_client_timer(key, at - now);
    }

    /// Sends the rejection whose time has come, if there is one. Returns whether there was.
    pub fn send_pending_rejection(&mut self, key: ClientKey) -> bool {
        let client = self.clients.get_mut(key);
        let Some(error) = client.and_then(|client| client.pending_rejection.take()) else {
            return false;
        };
        self.send_rejection(key, error);
        true
    }

    fn send_rejection(&mut self, key: ClientKey, error: RequestError) {
        let mut response = ClientResponse::empty(error.status());
        if error == RequestError::MethodNotAllowed {
            let allowed = Bytes::from_static(b"Allow: GET, POST\r\n");
            response.fields.push(allowed);
        }
        self.write_response(key, response);
    }

    /// Pauses reading for a time that grows with the number of consecutive rejections.
    fn pause_before_next_message(&mut self, key: ClientKey, now: Micros) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let earlier = Micros::from(client.consecutive_rejections.saturating_sub(1));
        if earlier == 0 {
            return;
        }
        client.is_read_paused = true;
        client.pause_reading(now);
        let at = now + earlier * REJECTION_PAUSE_STEP_US;
        self.timers.schedule(at, TimerEvent::ReadingResumed(key));
    }
}
