//! The send guard, which checks every attempt when its bytes are written, and the writing of these
//! bytes.
//!
//! The policy decides on an attempt, but its connection may be established much later, or the
//! process may be delayed in the meantime. The conditions of a send are therefore checked again
//! here. An attempt that the guard refuses is proven not to have been sent.

use bytes::Bytes;
use pinefront_policy::{Idempotency, Micros, start_deadline};
use slog::{info, warn};

use crate::state::clock::US_PER_MS;
use crate::state::endpoint::Endpoint;
use crate::state::endpoint_connection::{EndpointConnection, Exchange};
use crate::state::keys::EndpointConnectionKey;
use crate::state::proxy::ProxyState;
use crate::state::request::{PossibleRun, Request};
use crate::state::send_refusal::SendRefusal;
use crate::state::socket::is_hung_up;

#[cfg(test)]
mod tests;

/// Maximum time for which a request may have been in transit from the client to the balancer.
const MAX_TRANSIT_US: Micros = 10_000;
/// Divisor of the remaining time that limits the assumed transit time for short remaining times.
const TRANSIT_DIVISOR: Micros = 10;

impl ProxyState {
    /// Writes the request of a connection's attempt to its write buffer. The remaining time stated
    /// to the endpoint is that at the time of this write.
    ///
    /// # Errors
    ///
    /// Fails when the attempt must not be sent any more.
    pub fn write_attempt(
        &mut self,
        key: EndpointConnectionKey,
        now: Micros,
    ) -> Result<(), SendRefusal> {
        let checked = self.check_send(key, now);
        match checked {
            Ok(()) => self.buffer_attempt(key, now),
            Err(refusal) => self.log_refusal(key, refusal),
        }
        checked
    }

    /// Checks all conditions of a send.
    fn check_send(&self, key: EndpointConnectionKey, now: Micros) -> Result<(), SendRefusal> {
        let connection = self.endpoint_connections.get(key);
        let connection = connection.ok_or(SendRefusal::DeadlinePassed)?;
        let exchange = connection.exchange.ok_or(SendRefusal::DeadlinePassed)?;
        if now >= exchange.expire_at {
            return Err(SendRefusal::DeadlinePassed);
        }
        let request = self
            .requests
            .get(exchange.request)
            .ok_or(SendRefusal::ClientDisconnected)?;
        self.check_client(request, &exchange, now)?;
        self.check_endpoint(connection)?;
        check_repeat(request, now)?;
        self.check_scope(request, connection, &exchange)?;
        let mut others = request.attempts.iter().enumerate();
        if others.any(|(number, attempt)| number != exchange.number && attempt.is_some()) {
            return Err(SendRefusal::AttemptInFlight);
        }
        Ok(())
    }

    /// Checks that the client still waits for a response. If the policy's decision was not made at
    /// this moment, the client may have disconnected without the close having been read yet.
    fn check_client(
        &self,
        request: &Request,
        exchange: &Exchange,
        now: Micros,
    ) -> Result<(), SendRefusal> {
        let client = request
            .client
            .and_then(|key| self.clients.get(key))
            .ok_or(SendRefusal::ClientDisconnected)?;
        let is_stale = exchange.number > 0
            || exchange.started_at < now
            || now > self.loop_iteration.wait_until;
        if is_stale && is_hung_up(&client.socket.stream) {
            return Err(SendRefusal::ClientDisconnected);
        }
        Ok(())
    }

    /// Checks that the endpoint accepts requests at the connection's address. Nothing is sent to a
    /// draining endpoint, not even in the grace period: that time covers the delays until this
    /// process reads the drain notice, and until it writes.
    fn check_endpoint(&self, connection: &EndpointConnection) -> Result<(), SendRefusal> {
        let endpoint = self.endpoints.get(connection.endpoint);
        let endpoint = endpoint.ok_or(SendRefusal::Draining)?;
        if endpoint.draining_since.is_some() {
            return Err(SendRefusal::Draining);
        }
        if endpoint.is_replaced {
            return Err(SendRefusal::Replaced);
        }
        if endpoint.address != Some(connection.address) {
            return Err(SendRefusal::AddressChanged);
        }
        Ok(())
    }

    /// Checks that the endpoint would discard the request if an earlier attempt has run. The
    /// locations may have changed since the policy's decision.
    fn check_scope(
        &self,
        request: &Request,
        connection: &EndpointConnection,
        exchange: &Exchange,
    ) -> Result<(), SendRefusal> {
        let Idempotency::IdempotencyKey { scope, .. } = request.idempotency else {
            return Ok(());
        };
        let endpoint = self.endpoints.get(connection.endpoint);
        let location = endpoint.and_then(Endpoint::known_location);
        let mut earlier = request.possible_runs.iter();
        let is_repeat_elsewhere = earlier
            .any(|run| run.number != exchange.number && !scope.is_shared(run.location, location));
        if is_repeat_elsewhere {
            return Err(SendRefusal::OutsideIdempotencyScope);
        }
        Ok(())
    }

    fn buffer_attempt(&mut self, key: EndpointConnectionKey, now: Micros) {
        let Some(connection) = self.endpoint_connections.get_mut(key) else {
            return;
        };
        let Some(exchange) = connection.exchange else {
            return;
        };
        let endpoint = self.endpoints.get(connection.endpoint);
        let location = endpoint.and_then(Endpoint::known_location);
        let Some(request) = self.requests.get_mut(exchange.request) else {
            return;
        };
        request.possible_runs.push(PossibleRun {
            number: exchange.number,
            endpoint: connection.endpoint,
            location,
        });
        let remaining_ms = remaining_ms(exchange.expire_at - now);
        let mut added = format!("X-Remaining-Ms: {remaining_ms}\r\n");
        if !request.has_host {
            added += &format!("Host: {}\r\n", connection.address);
        }
        let length = request.body.len();
        if length > 0 || request.has_body {
            added += &format!("Content-Length: {length}\r\n");
        }
        let buffer = &mut connection.write_buffer;
        buffer.push(request.head.clone());
        buffer.push(Bytes::from(added + "\r\n"));
        buffer.push(request.body.clone());
    }

    fn log_refusal(&mut self, key: EndpointConnectionKey, refusal: SendRefusal) {
        self.counters.attempts_blocked += 1;
        let connection = self.endpoint_connections.get(key);
        let exchange = connection.and_then(|connection| connection.exchange);
        let number = exchange.map_or(0, |exchange| exchange.number);
        let request = exchange.and_then(|exchange| self.requests.get(exchange.request));
        let id = request.map_or("", |request| &request.id);
        if refusal.is_violation() {
            self.counters.violations += 1;
            warn!(self.log, "violation"; "request" => id, "attempt" => number,
                "reason" => refusal.code());
        } else {
            info!(self.log, "attempt not sent"; "request" => id, "attempt" => number,
                "reason" => refusal.code());
        }
    }
}

/// Returns the remaining time stated to an endpoint, in milliseconds. It is slightly shorter than
/// the balancer's own, to allow for the transit time of the request from the client.
fn remaining_ms(remaining: Micros) -> Micros {
    let transit = MAX_TRANSIT_US.min(remaining / TRANSIT_DIVISOR);
    (remaining - transit).div_ceil(US_PER_MS)
}

/// Checks that the outcomes of earlier attempts allow a request to be sent again.
fn check_repeat(request: &Request, now: Micros) -> Result<(), SendRefusal> {
    let Some(first) = request.may_have_run_since else {
        return Ok(());
    };
    match request.idempotency {
        Idempotency::Idempotent => Ok(()),
        Idempotency::NonIdempotent => Err(SendRefusal::MayHaveRun),
        Idempotency::IdempotencyKey { window, .. } if now >= start_deadline(first, window) => {
            Err(SendRefusal::IdempotencyWindowPassed)
        }
        Idempotency::IdempotencyKey { .. } => Ok(()),
    }
}
