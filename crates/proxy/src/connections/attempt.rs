//! Attempts and health checks: starting them on connections and reporting their ends to the policy.

use std::rc::Rc;

use bytes::Bytes;
use pinefront_policy::{AttemptEnd, AttemptOutcome, Micros};
use slog::info;

use crate::close_reason::CloseReason;
use crate::state::endpoint_connection::Exchange;
use crate::state::keys::{EndpointConnectionKey, EndpointKey, RequestKey};
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

impl Proxy {
    /// Handles the end of an attempt without a response. `started_at` is in microseconds.
    pub fn handle_attempt_end(
        &mut self,
        request: RequestKey,
        number: usize,
        outcome: AttemptOutcome,
        started_at: Micros,
    ) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        state.counters.count_outcome(outcome);
        let finished = state
            .requests
            .finish_attempt(request, number, outcome, started_at);
        drop(state);
        if let Some(finished) = finished {
            let elapsed = now.saturating_sub(started_at);
            self.report_attempt(now, &finished.request_id, number, outcome, elapsed);
        }
    }

    /// Reports the end of an attempt to the policy, even if no client waits for the response any
    /// more: the next request with the same ordering key waits for this report.
    pub fn report_attempt(
        &mut self,
        now: Micros,
        request: &str,
        number: usize,
        outcome: AttemptOutcome,
        elapsed: Micros,
    ) {
        let is_final = outcome == AttemptOutcome::Succeeded;
        if !is_final {
            info!(self.state.borrow().log, "attempt ended"; "request" => request,
                "attempt" => number, "outcome" => ?outcome);
        }
        let end = AttemptEnd {
            number,
            is_final,
            outcome,
            elapsed,
        };
        self.balancer.attempt_ended(now, request, end);
    }

    /// Reports to the policy whether an endpoint answered a health check.
    pub fn report_probe_result(&mut self, endpoint: EndpointKey, answered: bool) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let Some(endpoint) = state.endpoints.get(endpoint) else {
            return;
        };
        let id = Rc::clone(&endpoint.id);
        state.counters.probes_answered += u64::from(answered);
        drop(state);
        self.balancer.probe_completed(now, &id, answered);
    }
}

impl ProxyState {
    /// Starts an attempt of a request. The attempt times out at `expire_at`, in microseconds.
    pub fn start_attempt(&mut self, id: &str, endpoint: &str, expire_at: Micros) {
        let now = self.now();
        let Some(key) = self.requests.key_of(id) else {
            return;
        };
        self.counters.attempts += 1;
        let connection = match self.endpoints.key_of(endpoint) {
            _ if expire_at <= now => Err(AttemptOutcome::NotSent),
            Some(endpoint) => self.acquire_connection(endpoint),
            None => Err(AttemptOutcome::Unreachable),
        };
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let number = request.attempts.len();
        request.attempts.push(connection.ok());
        let exchange = Exchange {
            request: key,
            number,
            started_at: now,
            expire_at,
        };
        match connection {
            Ok(connection) => self.start_exchange(connection, exchange),
            Err(outcome) => self.schedule_attempt_end(now, key, number, outcome),
        }
    }

    /// Starts the exchange of an attempt on a connection. If the connection is not established yet,
    /// the request is written once it is.
    fn start_exchange(&mut self, key: EndpointConnectionKey, exchange: Exchange) {
        let now = exchange.started_at;
        let connect_by = now + self.config.connect_timeout;
        let Some(connection) = self.endpoint_connections.get_mut(key) else {
            return;
        };
        connection.exchange = Some(exchange);
        if !connection.is_connected {
            let at = connect_by.min(exchange.expire_at);
            return self.set_endpoint_connection_timer(key, at);
        }
        self.counters.endpoint_connections_reused += 1;
        if let Err(refusal) = self.write_attempt(key, now) {
            self.close_endpoint_connection(key, CloseReason::NotSent(refusal));
            let outcome = AttemptOutcome::NotSent;
            return self.schedule_attempt_end(now, exchange.request, exchange.number, outcome);
        }
        self.flush_endpoint_connection(key, now);
        self.set_endpoint_connection_timer(key, exchange.expire_at);
    }

    /// Cancels an attempt by closing its connection, which signals to the endpoint that no response
    /// is awaited.
    pub fn cancel_attempt(&mut self, id: &str, number: usize) {
        let Some(key) = self.requests.key_of(id) else {
            return;
        };
        let attempts = self.requests.get(key).map(|request| &request.attempts);
        let Some(connection) = attempts.and_then(|attempts| attempts.get(number).copied()?) else {
            return;
        };
        self.close_endpoint_connection(connection, CloseReason::Cancelled);
        let now = self.now();
        self.schedule_attempt_end(now, key, number, AttemptOutcome::Cancelled);
    }

    /// Reports the end of an attempt to the policy in a later iteration of the event loop, because
    /// the policy is still in the call that led here.
    fn schedule_attempt_end(
        &mut self,
        now: Micros,
        request: RequestKey,
        number: usize,
        outcome: AttemptOutcome,
    ) {
        let event = TimerEvent::AttemptEnded {
            request,
            number,
            outcome,
        };
        self.timers.schedule(now, event);
    }

    /// Sends a health check to an endpoint, which reports its load, at the path in the
    /// configuration.
    pub fn probe(&mut self, id: &str) {
        let now = self.now();
        self.counters.probes += 1;
        let Some(endpoint) = self.endpoints.key_of(id) else {
            return;
        };
        if self.send_probe(endpoint, now).is_none() {
            let event = TimerEvent::ProbeNotSent(endpoint);
            self.timers.schedule(now, event);
        }
    }

    /// Sends a health check; returns `None` if that is not possible. The health check times out
    /// after the connect timeout, as a later response would report an outdated load.
    fn send_probe(&mut self, endpoint: EndpointKey, now: Micros) -> Option<()> {
        let path = self.config.probe_path.clone()?;
        let key = self.acquire_connection(endpoint).ok()?;
        let address = self.endpoints.get(endpoint)?.address?;
        let expire_at = now + self.config.connect_timeout;
        let connection = self.endpoint_connections.get_mut(key)?;
        connection.exchange = Some(Exchange {
            request: RequestKey::default(),
            number: 0,
            started_at: now,
            expire_at,
        });
        let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        connection.write_buffer.push(Bytes::from(head));
        if connection.is_connected {
            self.flush_endpoint_connection(key, now);
        }
        self.set_endpoint_connection_timer(key, expire_at);
        Some(())
    }
}
