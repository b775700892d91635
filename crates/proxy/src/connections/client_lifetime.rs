//! How long clients' connections may be idle, slow or lingering, and how they are closed.

use std::net::Shutdown;

use pinefront_policy::Micros;
use slog::info;

use crate::close_reason::CloseReason;
use crate::connections::request_error::RequestError;
use crate::state::client_connection::{ClientConnection, PartialRequest};
use crate::state::keys::ClientKey;
use crate::state::proxy::ProxyState;
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// How long a client may take to send a request, and to read a response.
pub const TRANSFER_TIMEOUT_US: Micros = 10_000_000;
/// How long a client may stall in the middle of a request, and how long after connecting its first
/// request may take. Clients are owed an error or a close within 3 s.
pub const STALL_TIMEOUT_US: Micros = 2_300_000;
/// How long a connection may be idle between requests: a client that vanished sends nothing.
pub const MAX_IDLE_US: Micros = 120_000_000;
/// How long a connection may be idle in any case. Where many are idle, the room is needed for those
/// that send.
pub const MIN_IDLE_US: Micros = 2_100_000;
/// Share of the connection limit from which on many connections are open.
const MANY_CONNECTIONS_SHARE: f64 = 0.3;
/// How long to discard what a client still sends after the last response.
const LINGER_US: Micros = 1_000_000;
/// The same during the shutdown: some round trips, as clients close when they notice our end.
const SHUTDOWN_LINGER_US: Micros = 50_000;
/// How much to discard of what a client still sends after the last response.
pub const MAX_LINGER_BYTES: usize = 1024 * 1024;

impl ProxyState {
    /// Starts a wait on a client's connection and schedules its timer.
    pub fn set_client_timer(&mut self, key: ClientKey, after: Micros) {
        let now = self.clock.now();
        self.wait_for_client(key, now, now + after);
    }

    fn wait_for_client(&mut self, key: ClientKey, waiting_since: Micros, at: Micros) {
        if let Some(client) = self.clients.get_mut(key) {
            client.waiting_since = waiting_since;
            self.timers
                .move_to(&mut client.timer, at, TimerEvent::ClientConnection(key));
        }
    }

    /// Notes that a connection is idle between requests. Whether it may stay is decided when the
    /// shortest idle time has passed, and again and again from then on.
    pub fn client_idle(&mut self, key: ClientKey) {
        self.wait_for_next_bytes(key, MIN_IDLE_US);
    }

    /// Notes that part of a request was received. Its sender may stall for some time, but the whole
    /// request is bounded however slowly it trickles in.
    pub fn wait_for_rest(&mut self, key: ClientKey) {
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
        // A connection that has brought no request yet gains no time by trickling.
        let has_progressed =
            |before: PartialRequest| before.length < length && client.requests_received > 0;
        if before.is_none_or(has_progressed) {
            let rest = (started_at + TRANSFER_TIMEOUT_US).saturating_sub(now);
            self.wait_for_next_bytes(key, STALL_TIMEOUT_US.min(rest));
        }
    }

    /// Waits for bytes of the client. A connection that has brought no request yet has only the
    /// time since it was accepted.
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
        self.wait_for_client(key, now, at);
    }

    /// Closes an idle connection whose time is over, or looks at it again later.
    pub fn close_or_keep_idle_client(&mut self, key: ClientKey) {
        let now = self.clock.now();
        let limit = self.config.max_client_connections as f64;
        let is_crowded = self.clients.len() as f64 >= MANY_CONNECTIONS_SHARE * limit;
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

    /// Closes connections that are idle between requests, once what was received on them has been
    /// parsed.
    pub fn close_idle_clients(&mut self) {
        self.for_clients(
            |client| !client.awaits_response() && client.read_buffer.bytes().is_empty(),
            |state, key| state.shut_down_client(key, CloseReason::Shutdown),
        );
    }

    /// Rejects requests that are still incomplete when the shutdown waits no longer.
    pub fn reject_partial_requests(&mut self) {
        self.for_clients(
            |client| !client.awaits_response() && client.partial_request.is_some(),
            |state, key| state.reject(key, RequestError::ShuttingDown),
        );
    }

    /// Calls `act` for each connection that is selected and does not linger.
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

    /// Shuts down our side of a connection and lingers: what the client still sends is discarded,
    /// then the connection is closed. Closing over unread bytes would reset it and lose the end of
    /// the last response; a request that crosses our end is the client's to send elsewhere. A
    /// connection without a response is closed immediately.
    pub fn shut_down_client(&mut self, key: ClientKey, reason: CloseReason) {
        let linger = if self.closing {
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

    /// Closes a client's connection and removes it from the table.
    pub fn close_client(&mut self, key: ClientKey, reason: CloseReason) {
        let Some(mut client) = self.clients.remove(key) else {
            return;
        };
        self.timers.clear(&mut client.timer);
        self.handle.remove(client.socket.token);
        self.counters.client_connections_closed += 1;
        info!(self.log, "client connection closed"; "reason" => reason.code(),
            "peer" => %client.peer, "responses" => client.responses_sent);
    }
}

/// Why a lingering connection was shut down.
pub fn lingering_close_reason(client: &ClientConnection) -> CloseReason {
    client.close_reason.unwrap_or(CloseReason::ClientClosed)
}
