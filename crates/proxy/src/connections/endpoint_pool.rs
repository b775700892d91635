//! The pool of connections to endpoints: opening, keeping idle for reuse, and closing them.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use pinefront_policy::{AttemptOutcome, Micros};
use slog::{info, warn};

use crate::close_reason::CloseReason;
use crate::connections::response_parser::ResponseParser;
use crate::state::buffers::{ReadBuffer, WriteBuffer};
use crate::state::endpoint_connection::EndpointConnection;
use crate::state::keys::{EndpointConnectionKey, EndpointKey};
use crate::state::proxy::ProxyState;
use crate::state::socket::{RegisteredSocket, connect};
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// Fraction of the configured idle time after which the balancer closes an idle connection, so that
/// it does so before the endpoint: a request written to a connection that the endpoint is closing
/// would be lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Time after a response during which a connection is not reused. A close or further bytes from the
/// endpoint are noticed in this time; otherwise the next request would be lost or would take these
/// bytes for its response.
pub const REUSE_DELAY_US: Micros = 8_000;
/// Time for which each connection to an endpoint carries only one request after the endpoint sent
/// unsolicited bytes.
const SINGLE_USE_PERIOD_US: Micros = 10_000_000;
/// Minimum time between two log lines about a shortage of file descriptors.
const SHORTAGE_LOG_INTERVAL_US: Micros = 1_000_000;

impl ProxyState {
    /// Returns an idle connection to an endpoint, or opens one.
    ///
    /// # Errors
    ///
    /// Fails with the outcome of the attempt when no connection can be opened.
    pub fn acquire_connection(
        &mut self,
        endpoint: EndpointKey,
    ) -> Result<EndpointConnectionKey, AttemptOutcome> {
        while let Some(key) = self.take_idle_connection(endpoint) {
            if self.check_idle_connection_open(key, endpoint) {
                return Ok(key);
            }
        }
        if self.endpoint_connections.len() >= self.config.max_endpoint_connections
            && !self.evict_idle_endpoint_connection()
        {
            self.log_descriptor_shortage();
            return Err(AttemptOutcome::NotSent);
        }
        let address = self
            .endpoints
            .get(endpoint)
            .and_then(|endpoint| endpoint.address);
        let opened = match address {
            Some(address) => self.open_endpoint_connection(endpoint, address),
            None => Err(ErrorKind::NotFound.into()),
        };
        opened.map_err(|error| {
            let reason = CloseReason::NotRegistered.code();
            warn!(self.log, "cannot connect"; "reason" => reason, "error" => %error);
            if is_remote_failure(&error) {
                AttemptOutcome::Unreachable
            } else {
                // A local shortage of resources must not count as a failure of the endpoint.
                AttemptOutcome::NotSent
            }
        })
    }

    /// Takes the most recently used idle connection whose reuse delay has passed from its endpoint.
    fn take_idle_connection(&mut self, endpoint: EndpointKey) -> Option<EndpointConnectionKey> {
        let now = self.now();
        let idle = &mut self.endpoints.get_mut(endpoint)?.idle_connections;
        let is_past_reuse_delay = |key: &EndpointConnectionKey| {
            self.endpoint_connections
                .get(*key)
                .is_none_or(|connection| connection.last_response_at + REUSE_DELAY_US <= now)
        };
        let position = idle.iter().rposition(is_past_reuse_delay)?;
        Some(idle.remove(position))
    }

    /// Returns whether an idle connection is still open and has no unread bytes; closes it
    /// otherwise. A request written to a closed connection would be lost, and a request on one with
    /// unread bytes would take these for its response.
    fn check_idle_connection_open(
        &mut self,
        key: EndpointConnectionKey,
        endpoint: EndpointKey,
    ) -> bool {
        let Some(connection) = self.endpoint_connections.get(key) else {
            return false;
        };
        match connection.socket.stream.peek(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
            Ok(count) if count > 0 => self.record_unsolicited_bytes(endpoint),
            Ok(_) | Err(_) => {}
        }
        self.close_endpoint_connection(key, CloseReason::EndpointClosed);
        false
    }

    fn open_endpoint_connection(
        &mut self,
        endpoint: EndpointKey,
        address: SocketAddr,
    ) -> io::Result<EndpointConnectionKey> {
        let stream = connect(address)?;
        let key = self.endpoint_connections.try_insert_with_key(|key| {
            let socket = RegisteredSocket::new(&self.handle, stream, move |proxy| {
                proxy.handle_endpoint_connection_ready(key);
            })?;
            Ok::<_, io::Error>(EndpointConnection {
                socket,
                endpoint,
                address,
                is_connected: false,
                read_buffer: ReadBuffer::new(&self.memory.responses),
                parser: ResponseParser::default(),
                waits_for_memory: false,
                write_buffer: WriteBuffer::default(),
                exchange: None,
                requests_carried: 0,
                last_response_at: 0,
                timer: None,
            })
        })?;
        self.counters.endpoint_connections_opened += 1;
        Ok(key)
    }

    /// Counts a shortage of file descriptors and logs it at a limited rate.
    fn log_descriptor_shortage(&mut self) {
        let now = self.now();
        self.counters.endpoint_connections_exhausted += 1;
        if now >= self.shortage_logged_at + SHORTAGE_LOG_INTERVAL_US {
            self.shortage_logged_at = now;
            warn!(self.log, "no descriptor left for an endpoint";
                "endpoint_connections" => self.endpoint_connections.len());
        }
    }

    /// Schedules the timer of a connection.
    pub fn set_endpoint_connection_timer(&mut self, key: EndpointConnectionKey, at: Micros) {
        if let Some(connection) = self.endpoint_connections.get_mut(key) {
            let event = TimerEvent::EndpointConnection(key);
            self.timers.reschedule(&mut connection.timer, at, event);
        }
    }

    /// Writes pending bytes to a connection. A failure is handled in a later iteration, as this may
    /// run within a call from the policy.
    pub fn flush_endpoint_connection(&mut self, key: EndpointConnectionKey, now: Micros) {
        if let Some(connection) = self.endpoint_connections.get_mut(key)
            && connection
                .write_buffer
                .flush(&connection.socket.stream)
                .is_err()
        {
            let event = TimerEvent::EndpointConnectionReady(key);
            self.timers.schedule(now, event);
        }
    }

    /// Records that an endpoint sent bytes that do not belong to a response. It may do so again
    /// later than the reuse delay, and the next request would then take them for its response.
    pub fn record_unsolicited_bytes(&mut self, endpoint: EndpointKey) {
        let until = self.now() + SINGLE_USE_PERIOD_US;
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        endpoint.single_use_until = until;
        warn!(self.log, "endpoint sent unsolicited bytes"; "endpoint" => &*endpoint.id);
    }

    /// Keeps a connection for the next request, or closes it if its endpoint must not receive
    /// another request on it.
    pub fn return_to_pool(&mut self, key: EndpointConnectionKey) {
        let now = self.now();
        let until =
            now + (self.config.endpoint_idle_timeout as f64 * IDLE_TIMEOUT_FRACTION) as Micros;
        let Some(connection) = self.endpoint_connections.get_mut(key) else {
            return;
        };
        connection.last_response_at = now;
        let reason = match self.endpoints.get_mut(connection.endpoint) {
            Some(endpoint) if now < endpoint.single_use_until => CloseReason::UnsolicitedResponse,
            Some(endpoint) if endpoint.draining_since.is_some() => CloseReason::Draining,
            Some(endpoint)
                if endpoint.is_replaced || endpoint.address != Some(connection.address) =>
            {
                CloseReason::AddressChanged
            }
            Some(endpoint) => {
                endpoint.idle_connections.push(key);
                return self.set_endpoint_connection_timer(key, until);
            }
            None => CloseReason::Draining,
        };
        self.close_endpoint_connection(key, reason);
    }

    /// Closes the idle connection that expires first, to free a file descriptor. Returns whether a
    /// connection was closed.
    pub fn evict_idle_endpoint_connection(&mut self) -> bool {
        let idle = self
            .endpoint_connections
            .iter()
            .filter(|(_, connection)| connection.exchange.is_none() && connection.is_connected);
        let first = idle.min_by_key(|(_, connection)| connection.timer);
        let Some((key, _)) = first else {
            return false;
        };
        self.close_endpoint_connection(key, CloseReason::Evicted);
        true
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle_endpoint_connections(&mut self, endpoint: EndpointKey, reason: CloseReason) {
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        for key in std::mem::take(&mut endpoint.idle_connections) {
            self.close_endpoint_connection(key, reason);
        }
    }

    /// Closes a connection and removes it from the table. If the reason suggests that the
    /// endpoint's other connections are stale too, its idle connections are closed as well.
    pub fn close_endpoint_connection(&mut self, key: EndpointConnectionKey, reason: CloseReason) {
        let Some(mut connection) = self.endpoint_connections.remove(key) else {
            return;
        };
        self.timers.clear(&mut connection.timer);
        self.handle.remove(connection.socket.token);
        self.counters.endpoint_connections_closed += 1;
        if let Some(endpoint) = self.endpoints.get_mut(connection.endpoint) {
            endpoint.idle_connections.retain(|idle| *idle != key);
            info!(self.log, "endpoint connection closed"; "reason" => reason.code(),
                "endpoint" => &*endpoint.id, "requests_carried" => connection.requests_carried);
        }
        let others_may_be_stale = reason.suggests_stale_connections()
            || (reason == CloseReason::Cancelled && self.is_unresponsive(&connection));
        if others_may_be_stale {
            self.close_idle_endpoint_connections(connection.endpoint, CloseReason::Stale);
        }
    }

    /// Whether no bytes were received on a connection for longer than the connect timeout.
    fn is_unresponsive(&self, connection: &EndpointConnection) -> bool {
        let waited = connection
            .exchange
            .as_ref()
            .map_or(0, |exchange| self.now().saturating_sub(exchange.started_at));
        waited > self.config.connect_timeout && connection.read_buffer.bytes().is_empty()
    }
}

/// Whether a connect failed at the remote side or in the network, rather than for a local shortage
/// of resources.
pub fn is_remote_failure(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::TimedOut
    )
}
