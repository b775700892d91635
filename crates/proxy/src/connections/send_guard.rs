//! The one guard that every attempt passes in the moment in which its bytes go out, and the bytes themselves.
//!
//! The module decides on an attempt; a connection may come up much later, or the process be held up meanwhile. What the
//! rules ask of a send is therefore asked again here, and what is refused was proven never sent.

use bytes::Bytes;
use pinefront_policy::{Idempotency, Micros, begin_before};
use slog::{info, warn};

use crate::state::endpoint_connection::Exchange;
use crate::state::keys::EndpointConnectionKey;
use crate::state::proxy::ProxyState;
use crate::state::request::Request;
use crate::state::send_refusal::SendRefusal;
use crate::state::socket::is_hung_up;

#[cfg(test)]
mod tests;

/// How long a request may have been under way to us, unseen, and the part of a short time left that this takes at most.
const WAY_HERE: Micros = 10_000;
const WAY_HERE_PART: Micros = 10;

impl ProxyState {
    /// Puts the bytes of the attempt that a connection carries into its write buffer, unless it must not be sent any more.
    /// They are worded now: what the endpoint is told is the time that is left when they go.
    pub fn write_attempt(
        &mut self,
        key: EndpointConnectionKey,
        now: Micros,
    ) -> Result<(), SendRefusal> {
        match self.may_send(key, now) {
            Ok(()) => {
                self.push_attempt(key, now);
                Ok(())
            }
            Err(refusal) => {
                self.log_refusal(key, refusal);
                Err(refusal)
            }
        }
    }

    /// Every question that the rules ask of a send.
    fn may_send(&self, key: EndpointConnectionKey, now: Micros) -> Result<(), SendRefusal> {
        let connection = self
            .endpoint_connections
            .get(key)
            .ok_or(SendRefusal::DeadlinePassed)?;
        let exchange = connection
            .exchange
            .as_ref()
            .ok_or(SendRefusal::DeadlinePassed)?;
        if now >= exchange.expire_at {
            return Err(SendRefusal::DeadlinePassed);
        }
        let request = self
            .requests
            .get(exchange.request)
            .ok_or(SendRefusal::ClientDisconnected)?;
        self.client_still_waits(request, exchange, now)?;
        let endpoint = self
            .endpoints
            .get(connection.endpoint)
            .ok_or(SendRefusal::Draining)?;
        // The grace is left to what holds the process up, before it read the notice and before it writes.
        if endpoint.draining_since.is_some() {
            return Err(SendRefusal::Draining);
        }
        if endpoint.address != Some(connection.address) {
            return Err(SendRefusal::AddressChanged);
        }
        may_repeat(request, now)?;
        let others_out = request
            .attempts
            .iter()
            .enumerate()
            .any(|(number, out)| number != exchange.number && out.is_some());
        if others_out {
            Err(SendRefusal::AttemptInFlight)
        } else {
            Ok(())
        }
    }

    /// A client may have left without our having read it: where the decision is not of this very moment, its
    /// connection is asked.
    fn client_still_waits(
        &self,
        request: &Request,
        exchange: &Exchange,
        now: Micros,
    ) -> Result<(), SendRefusal> {
        let client = request
            .client
            .and_then(|key| self.clients.get(key))
            .ok_or(SendRefusal::ClientDisconnected)?;
        let old = exchange.number > 0 || exchange.sent < now || now > self.loop_iteration.until;
        if old && is_hung_up(&client.socket.stream) {
            Err(SendRefusal::ClientDisconnected)
        } else {
            Ok(())
        }
    }

    fn push_attempt(&mut self, key: EndpointConnectionKey, now: Micros) {
        let Some(connection) = self.endpoint_connections.get_mut(key) else {
            return;
        };
        let Some(exchange) = connection.exchange.as_ref() else {
            return;
        };
        let Some(request) = self.requests.get(exchange.request) else {
            return;
        };
        request
            .head
            .iter()
            .for_each(|slice| connection.write_buffer.push(slice.clone()));
        let length: usize = request.body.iter().map(Bytes::len).sum();
        let mut added = format!(
            "X-Remaining-Ms: {}\r\n",
            remaining_ms(exchange.expire_at - now)
        );
        if !request.has_host {
            added += &format!("Host: {}\r\n", connection.address);
        }
        if length > 0 || request.has_body {
            added += &format!("Content-Length: {length}\r\n");
        }
        connection.write_buffer.push(Bytes::from(added + "\r\n"));
        request
            .body
            .iter()
            .for_each(|slice| connection.write_buffer.push(slice.clone()));
    }

    fn log_refusal(&mut self, key: EndpointConnectionKey, refusal: SendRefusal) {
        self.counters.attempts_blocked += 1;
        let exchange = self
            .endpoint_connections
            .get(key)
            .and_then(|connection| connection.exchange.as_ref());
        let number = exchange.map_or(0, |exchange| exchange.number);
        let request = exchange.and_then(|exchange| self.requests.get(exchange.request));
        let id = request.map_or("", |request| &request.id);
        if refusal.is_violation() {
            self.counters.violations += 1;
            warn!(self.log, "violation"; "request" => id, "attempt" => number, "reason" => refusal.code());
        } else {
            info!(self.log, "attempt not sent"; "request" => id, "attempt" => number,
                "reason" => refusal.code());
        }
    }
}

/// What an endpoint is told of the time that is left: a little less, for what the request was under way to us.
fn remaining_ms(left: Micros) -> Micros {
    (left - WAY_HERE.min(left / WAY_HERE_PART)).div_ceil(1000)
}

/// Whether a request may be sent once more, as far as earlier attempts go.
fn may_repeat(request: &Request, now: Micros) -> Result<(), SendRefusal> {
    let Some(first) = request.may_have_run_since else {
        return Ok(());
    };
    match request.idempotency {
        Idempotency::Idempotent => Ok(()),
        Idempotency::NonIdempotent => Err(SendRefusal::MayHaveRun),
        Idempotency::IdempotencyKey { window, .. } if now >= begin_before(first, window) => {
            Err(SendRefusal::IdempotencyWindowPassed)
        }
        Idempotency::IdempotencyKey { .. } => Ok(()),
    }
}
