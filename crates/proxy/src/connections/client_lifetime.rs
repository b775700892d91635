//! Timeouts of idle, slow and lingering client connections, and the closing of client connections.

use std::net::Shutdown;

use pinefront_policy::Micros;
use slog::info;

use crate::close_reason::CloseReason;
use crate::connections::request_error::RequestError;
use crate::state::client_connection::{ClientConnection, PartialRequest};
use crate::state::keys::ClientKey;
use crate::state::pace::ByteAllowance;
use crate::state::proxy::ProxyState;
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// Maximum time for a client to send a request, and to read a response.
pub const TRANSFER_TIMEOUT_US: Micros = 10_000_000;
/// Maximum time for which a client may stall in the middle of a request, and maximum time from
/// connecting to the end of its first request. A client must get an error or a close within 3 s.
pub const STALL_TIMEOUT_US: Micros = 2_300_000;
/// Maximum idle time between requests; a client that disappeared without closing sends nothing.
pub const MAX_IDLE_US: Micros = 120_000_000;
/// Idle time that is allowed on every connection. When many connections are open, those idle for
/// longer are closed to free capacity for active clients.
pub const MIN_IDLE_US: Micros = 2_100_000;
/// Fraction of the client connection limit from which on idle connections are closed early.
const CROWDED_FRACTION: f64 = 0.3;
/// Time during which bytes that a client sends after the last response are discarded.
const LINGER_US: Micros = 1_000_000;
/// Linger time during the shutdown: a few round trips, as clients close their side when they notice
/// the end of the stream.
const SHUTDOWN_LINGER_US: Micros = 50_000;
/// Bytes that are discarded in a time, of all connections together.
pub const DISCARD_ALLOWANCE: ByteAllowance = ByteAllowance::new(32 * 1024, 256 * 1024);
/// Time after which discarding is continued if none may be discarded now.
pub const DISCARD_PAUSE_US: Micros = 5_000;
/// Maximum number of bytes discarded after the last response.
pub const MAX_LINGER_BYTES: usize = 1024 * 1024;

impl ProxyState {
    /// Starts a wait of `after` microseconds on a client connection and schedules its timer.
    pub fn set_client_timer(&mut self, key: ClientKey, after: Micros) {
        let now = self.clock.now();
        self.start_client_wait(key, now, now + after);
    }

    fn start_client_wait(&mut self, key: ClientKey, waiting_since: Micros, at: Micros) {
        if let Some(client) = self.clients.get_mut(key) {
            client.waiting_since = waiting_since;
            self.timers
                .reschedule(&mut client.timer, at, TimerEvent::ClientConnection(key));
        }
    }

    /// Marks a connection as idle between requests. Whether it stays open is checked when the
    /// minimum idle time has passed, and repeatedly from then on.
    pub fn start_client_idle_wait(&mut self, key: ClientKey) {
        self.wait_for_next_bytes(key, MIN_IDLE_US);
    }

    /// Waits for the rest of a partially received request. The client may stall for a limited time,
    /// and the total time is bounded however slowly the bytes arrive.
    pub fn wait_for_rest_of_request(&mut self, key: ClientKey) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let length = client.read_buffer.bytes().len();
        let started_at = client
            .partial_request
            .map_or(now, |partial| partial.started_at);
        let before = client
            .partial_request
            .replace(PartialRequest { length, started_at });
        // Before its first request, a connection gains no time by sending bytes slowly.
        let has_progressed =
            |before: PartialRequest| before.length < length && client.requests_received > 0;
        if before.is_none_or(has_progressed) {
            let rest = (started_at + TRANSFER_TIMEOUT_US).saturating_sub(now);
            self.wait_for_next_bytes(key, STALL_TIMEOUT_US.min(rest));
        }
    }

    /// Waits for bytes from the client. Before the first request, the deadline counts from the time
    /// when the connection was accepted.
    fn wait_for_next_bytes(&mut self, key: ClientKey, after: Micros) {
        let Some(client) = self.clients.get(key) else {
            return;
        };
        let now = self.clock.now();
        let at = if client.requests_received == 0 {
            client.accepted_at + STALL_TIMEOUT_US
        } else {
            now + after
        };
        self.start_client_wait(key, now, at);
    }

    /// Closes a connection whose idle time has expired, or schedules the next check.
    pub fn close_or_keep_idle_client(&mut self, key: ClientKey) {
        let now = self.clock.now();
        let limit = self.config.max_client_connections as f64;
        let is_crowded = self.clients.len() as f64 >= CROWDED_FRACTION * limit;
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let idle = now.saturating_sub(client.waiting_since);
        if client.requests_received == 0
            || idle >= MAX_IDLE_US
            || (is_crowded && idle >= MIN_IDLE_US)
        {
            return self.shut_down_client(key, CloseReason::ClientIdle);
        }
        let again = TimerEvent::ClientConnection(key);
        client.timer = Some(self.timers.schedule(now + MIN_IDLE_US, again));
    }

    /// Closes connections that are idle between requests, once all received bytes have been parsed.
    pub fn close_idle_clients(&mut self) {
        self.for_clients(
            |client| !client.awaits_response() && client.read_buffer.bytes().is_empty(),
            |state, key| state.shut_down_client(key, CloseReason::Shutdown),
        );
    }

    /// Rejects requests that are still incomplete when the shutdown stops waiting for them.
    pub fn reject_partial_requests(&mut self) {
        self.for_clients(
            |client| !client.awaits_response() && client.partial_request.is_some(),
            |state, key| state.reject(key, RequestError::ShuttingDown),
        );
    }

    /// Calls `act` for each selected connection that is not lingering.
    fn for_clients(
        &mut self,
        is_selected: impl Fn(&ClientConnection) -> bool,
        act: impl Fn(&mut Self, ClientKey),
    ) {
        let keys: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| !client.is_lingering && is_selected(client))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            act(self, key);
        }
    }

    /// Shuts down the write side of a connection and lingers: bytes that the client still sends are
    /// discarded, then the connection is closed. Closing a socket with unread bytes would reset the
    /// connection and lose the end of the last response. A client whose request arrives after the
    /// shutdown has to send it on another connection. A connection on which no response was sent is
    /// closed immediately.
    pub fn shut_down_client(&mut self, key: ClientKey, reason: CloseReason) {
        let linger = if self.is_closing_connections {
            SHUTDOWN_LINGER_US
        } else {
            LINGER_US
        };
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.close_reason.get_or_insert(reason);
        client.is_lingering = true;
        client.read_buffer.clear();
        if client.responses_sent > 0 && client.socket.stream.shutdown(Shutdown::Write).is_ok() {
            self.set_client_timer(key, linger);
        } else {
            self.close_client(key, reason);
        }
    }

    /// Closes a client connection and removes it from the table.
    pub fn close_client(&mut self, key: ClientKey, reason: CloseReason) {
        let Some(mut client) = self.clients.remove(key) else {
            return;
        };
        self.timers.clear(&mut client.timer);
        let was_active = usize::from(client.requests_received > 0);
        self.active_clients = self.active_clients.saturating_sub(was_active);
        self.handle.remove(client.socket.token);
        self.counters.client_connections_closed += 1;
        info!(self.log, "client connection closed"; "reason" => reason.code(),
            "peer" => %client.peer, "responses" => client.responses_sent,
            "state" => client.stage().code(), "held" => client.read_buffer.charged_bytes());
    }
}

/// Reason for which a lingering connection was shut down.
pub fn lingering_close_reason(client: &ClientConnection) -> CloseReason {
    client.close_reason.unwrap_or(CloseReason::ClientClosed)
}
