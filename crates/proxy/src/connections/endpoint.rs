//! Connections to endpoints: opened, kept for the next dispatch, ended.

use std::io::{self, ErrorKind};
use std::rc::Rc;

use pinefront_policy::{AttemptOutcome, Micros};
use slog::{info, warn};

use crate::close_reason::CloseReason;
use crate::connections::http_message::MESSAGE_MOST;
use crate::connections::response::{Look, parse_response};
use crate::state::buffers::{ReadBuffer, ReadOutcome, WriteBuffer};
use crate::state::endpoint_connection::EndpointConnection;
use crate::state::keys::{EndpointConnectionKey, EndpointKey, RequestKey};
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::send_refusal::SendRefusal;
use crate::state::socket::{RegisteredSocket, connect};
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// Part of the idle time that the settings give after which we close first: a request written to a connection
/// that the endpoint is closing would end broken.
const IDLE_PART: f64 = 0.8;

/// How long a connection rests after an answer: what else its endpoint sends behind it, or its close, is seen
/// before another request is written to it and takes that for its answer.
const REST: Micros = 8_000;

/// How long the connections of an endpoint that said something unasked carry one request each.
const UNASKED_FOR: Micros = 10_000_000;

/// How often the log tells of a want of descriptors.
const SHORTAGE_TOLD_APART: Micros = 1_000_000;

impl Proxy {
    /// Something may be written to or read from a connection to an endpoint.
    pub fn endpoint_connection_ready(&mut self, key: EndpointConnectionKey) {
        let looked = self.state.borrow_mut().read_endpoint_connection(key);
        match looked {
            Look::Nothing => {}
            Look::Over(ending, reason) => self.finish_endpoint_connection(key, ending, reason),
            Look::Answer(head, body, end, whole) => {
                self.response_received(key, head, &body, end, whole)
            }
        }
    }

    /// A connection's deadline came: it stood idle, did not come about, or its request waits no longer.
    pub fn endpoint_connection_timer_expired(&mut self, key: EndpointConnectionKey) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let Some(connection) = state.endpoint_connections.get_mut(key) else {
            return;
        };
        connection.timer = None;
        let (outcome, reason) = match &connection.exchange {
            None => (AttemptOutcome::NotSent, CloseReason::EndpointIdle),
            Some(_) if !connection.connected => {
                (AttemptOutcome::Unreachable, CloseReason::ConnectTimeout)
            }
            // Proven not run only while its last byte has not left.
            Some(_) if !connection.write_buffer.is_empty() => {
                (AttemptOutcome::Unreachable, CloseReason::NotWritten)
            }
            Some(exchange) if exchange.expire_at <= now => {
                (AttemptOutcome::TimedOut, CloseReason::TimedOut)
            }
            Some(exchange) => {
                let at = exchange.expire_at;
                state.set_endpoint_connection_timer(key, at);
                return;
            }
        };
        drop(state);
        self.finish_endpoint_connection(key, outcome, reason);
    }

    /// A connection ends, and with it the dispatch that it carries.
    fn finish_endpoint_connection(
        &mut self,
        key: EndpointConnectionKey,
        ending: AttemptOutcome,
        reason: CloseReason,
    ) {
        let mut state = self.state.borrow_mut();
        let endpoint = state
            .endpoint_connections
            .get(key)
            .map(|connection| connection.endpoint);
        let exchange = state
            .endpoint_connections
            .get_mut(key)
            .and_then(|connection| connection.exchange.take());
        state.close_endpoint_connection(key, reason);
        drop(state);
        if let Some(endpoint) = exchange
            .as_ref()
            .filter(|exchange| exchange.is_probe())
            .and(endpoint)
        {
            self.probe_finished(endpoint, false);
        } else if let Some(exchange) = exchange {
            self.attempt_finished(exchange.request, exchange.number, ending, exchange.sent);
        }
    }

    /// Tells the module whether an endpoint answered a probe.
    pub fn probe_finished(&mut self, endpoint: EndpointKey, answered: bool) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let Some(id) = state
            .endpoints
            .get(endpoint)
            .map(|endpoint| Rc::clone(&endpoint.id))
        else {
            return;
        };
        state.counters.probes_answered += u64::from(answered);
        drop(state);
        self.balancer.probe_completed(now, &id, answered);
    }

    /// Tells the module how a dispatch ended, unless its request has its final answer.
    pub fn attempt_finished(
        &mut self,
        request: RequestKey,
        number: usize,
        ending: AttemptOutcome,
        sent: Micros,
    ) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        state.count_ending(ending);
        let finished = state.requests.finish_attempt(request, number, ending, sent);
        drop(state);
        // Also where nobody waits: the key of a request in order is free only when its attempt has ended.
        if let Some(finished) = finished {
            let id = finished.request_id;
            self.state.borrow().log_attempt(&id, number, ending);
            self.balancer
                .attempt_ended(now, &id, number, false, ending, now.saturating_sub(sent));
        }
    }
}

impl ProxyState {
    /// The connection to an endpoint that was used last, of those that have rested, or a new one.
    pub fn connection_to(
        &mut self,
        endpoint: EndpointKey,
    ) -> Result<EndpointConnectionKey, AttemptOutcome> {
        while let Some(key) = self.take_idle_connection(endpoint) {
            let Some(connection) = self.endpoint_connections.get(key) else {
                continue;
            };
            match connection.socket.stream.peek(&mut [0]) {
                Err(problem) if problem.kind() == ErrorKind::WouldBlock => return Ok(key),
                // It closed, or says something unasked: a request written to it would be lost, or have that for its
                // answer.
                said => {
                    if said.is_ok_and(|count| count > 0) {
                        self.received_unsolicited(endpoint);
                    }
                    self.close_endpoint_connection(key, CloseReason::EndpointClosed);
                }
            }
        }
        if self.endpoint_connections.len() >= self.config.max_endpoint_connections
            && !self.close_one_idle_endpoint_connection()
        {
            self.log_descriptor_shortage();
            return Err(AttemptOutcome::NotSent);
        }
        let address = self
            .endpoints
            .get(endpoint)
            .and_then(|endpoint| endpoint.address);
        let connected = address
            .ok_or(ErrorKind::NotFound.into())
            .and_then(|address| {
                let stream = connect(address)?;
                self.endpoint_connections.try_insert_with_key(|key| {
                    let socket = RegisteredSocket::new(&self.handle, stream, move |proxy| {
                        proxy.endpoint_connection_ready(key)
                    })?;
                    let (read_buffer, write_buffer) =
                        (ReadBuffer::default(), WriteBuffer::default());
                    Ok(EndpointConnection {
                        socket,
                        endpoint,
                        address,
                        connected: false,
                        read_buffer,
                        write_buffer,
                        exchange: None,
                        requests_carried: 0,
                        answered: 0,
                        timer: None,
                    })
                })
            });
        connected.inspect(|_| self.counters.endpoint_connections_opened += 1).map_err(|problem: io::Error| {
            warn!(self.log, "cannot connect"; "reason" => CloseReason::NotRegistered.code(), "error" => %problem);
            match theirs(&problem) {
                true => AttemptOutcome::Unreachable,
                // Want of our own must not be held against the endpoint.
                false => AttemptOutcome::NotSent,
            }
        })
    }

    /// Takes the idle connection used last, of those that have rested, from its endpoint.
    fn take_idle_connection(&mut self, endpoint: EndpointKey) -> Option<EndpointConnectionKey> {
        let now = self.now();
        let idle = &mut self.endpoints.get_mut(endpoint)?.idle;
        let rested = |key: &EndpointConnectionKey| {
            self.endpoint_connections
                .get(*key)
                .is_none_or(|connection| connection.answered + REST <= now)
        };
        let position = idle.iter().rposition(rested)?;
        Some(idle.remove(position))
    }

    fn read_endpoint_connection(&mut self, key: EndpointConnectionKey) -> Look {
        let now = self.now();
        let Some(connection) = self.endpoint_connections.get_mut(key) else {
            return Look::Nothing;
        };
        if !connection.connected {
            if !matches!(connection.socket.stream.take_error(), Ok(None)) {
                return Look::Over(AttemptOutcome::Unreachable, CloseReason::ConnectFailed);
            }
            if connection.socket.stream.peer_addr().is_err() {
                return Look::Nothing;
            }
            connection.connected = true;
            if let Some(exchange) = &connection.exchange {
                self.timers.move_to(
                    &mut connection.timer,
                    exchange.expire_at,
                    TimerEvent::EndpointConnection(key),
                );
                if !exchange.is_probe()
                    && let Err(refusal) = self.write_attempt(key, now)
                {
                    let ending = if refusal == SendRefusal::Draining {
                        AttemptOutcome::Unreachable
                    } else {
                        AttemptOutcome::NotSent
                    };
                    return Look::Over(ending, CloseReason::NotSent(refusal));
                }
            }
        }
        let Some(connection) = self.endpoint_connections.get_mut(key) else {
            return Look::Nothing;
        };
        let written = connection.write_buffer.drain(&connection.socket.stream);
        let outcome = connection
            .read_buffer
            .fill(&connection.socket.stream, MESSAGE_MOST);
        if connection.exchange.is_none() {
            let (said, endpoint) = (
                !connection.read_buffer.bytes().is_empty(),
                connection.endpoint,
            );
            if said {
                self.received_unsolicited(endpoint);
            }
            return match outcome {
                ReadOutcome::WouldBlock if !said => Look::Nothing,
                _ => Look::Over(AttemptOutcome::NotSent, CloseReason::EndpointClosed),
            };
        }
        let broken =
            written.is_err() || matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed);
        // A write that fails takes the report of a reset with it: what is read then looks like an orderly end.
        let ended = outcome == ReadOutcome::Closed && written.is_ok();
        match parse_response(&mut connection.read_buffer, ended) {
            Some(Look::Nothing) | None if broken && connection.write_buffer.is_empty() => {
                Look::Over(
                    AttemptOutcome::ConnectionLost,
                    CloseReason::EndpointConnectionLost,
                )
            }
            // Its last byte never left: proven not run.
            Some(Look::Nothing) | None if broken => {
                Look::Over(AttemptOutcome::Unreachable, CloseReason::NotWritten)
            }
            Some(Look::Answer(head, body, end, whole)) => {
                Look::Answer(head, body, end, whole && !broken)
            }
            Some(look) => look,
            None => Look::Over(AttemptOutcome::Failed, CloseReason::MalformedMessage),
        }
    }

    pub fn set_endpoint_connection_timer(&mut self, key: EndpointConnectionKey, until: Micros) {
        if let Some(connection) = self.endpoint_connections.get_mut(key) {
            self.timers.move_to(
                &mut connection.timer,
                until,
                TimerEvent::EndpointConnection(key),
            );
        }
    }

    /// An endpoint said something that was no answer to what it carries. Who does so may do it later than a connection
    /// rests, and then the next request would have it for its answer.
    pub fn received_unsolicited(&mut self, endpoint: EndpointKey) {
        let until = self.now() + UNASKED_FOR;
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        endpoint.single_use_until = until;
        warn!(self.log, "endpoint sent unsolicited bytes"; "endpoint" => &*endpoint.id);
    }

    /// Keeps a connection for the next request.
    pub fn keep_idle(&mut self, key: EndpointConnectionKey) {
        let now = self.now();
        let until = now + (self.config.idle as f64 * IDLE_PART) as Micros;
        let Some(connection) = self.endpoint_connections.get_mut(key) else {
            return;
        };
        connection.answered = now;
        match self.endpoints.get_mut(connection.endpoint) {
            Some(endpoint)
                if endpoint.draining_since.is_none()
                    && endpoint.address == Some(connection.address)
                    && now >= endpoint.single_use_until =>
            {
                endpoint.idle.push(key);
                self.set_endpoint_connection_timer(key, until);
            }
            Some(endpoint) if now < endpoint.single_use_until => {
                self.close_endpoint_connection(key, CloseReason::UnsolicitedResponse)
            }
            Some(endpoint) if endpoint.draining_since.is_none() => {
                self.close_endpoint_connection(key, CloseReason::AddressChanged)
            }
            _ => self.close_endpoint_connection(key, CloseReason::Draining),
        }
    }

    /// Says that no descriptor is left, but not for every request: the log would hold nothing else.
    fn log_descriptor_shortage(&mut self) {
        let now = self.now();
        self.counters.endpoint_connections_exhausted += 1;
        if now >= self.shortage_logged_at + SHORTAGE_TOLD_APART {
            self.shortage_logged_at = now;
            warn!(self.log, "no descriptor left for an endpoint"; "endpoint_connections" => self.endpoint_connections.len());
        }
    }

    /// Whether nothing came on a connection for as long as a new one may take to come about.
    fn is_unresponsive(&self, connection: &EndpointConnection) -> bool {
        let waited = connection
            .exchange
            .as_ref()
            .map_or(0, |exchange| self.now().saturating_sub(exchange.sent));
        waited > self.config.connect_timeout && connection.read_buffer.bytes().is_empty()
    }

    /// Closes the idle connection whose time runs out first, to make room.
    pub fn close_one_idle_endpoint_connection(&mut self) -> bool {
        let idle = self
            .endpoint_connections
            .iter()
            .filter(|(_, connection)| connection.exchange.is_none() && connection.connected);
        let first = idle
            .min_by_key(|(_, connection)| connection.timer)
            .map(|(key, _)| key);
        first
            .inspect(|key| self.close_endpoint_connection(*key, CloseReason::Evicted))
            .is_some()
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle_endpoint_connections(&mut self, endpoint: EndpointKey, reason: CloseReason) {
        let idle = self
            .endpoints
            .get_mut(endpoint)
            .map(|endpoint| std::mem::take(&mut endpoint.idle));
        idle.into_iter()
            .flatten()
            .for_each(|key| self.close_endpoint_connection(key, reason));
    }

    pub fn close_endpoint_connection(&mut self, key: EndpointConnectionKey, reason: CloseReason) {
        let Some(mut connection) = self.endpoint_connections.remove(key) else {
            return;
        };
        self.timers.clear(&mut connection.timer);
        self.handle.remove(connection.socket.token);
        let doubtful = reason.casts_doubt_on_endpoint()
            || (reason == CloseReason::Cancelled && self.is_unresponsive(&connection));
        self.counters.endpoint_connections_closed += 1;
        if let Some(endpoint) = self.endpoints.get_mut(connection.endpoint) {
            endpoint.idle.retain(|idle| *idle != key);
            info!(self.log, "endpoint connection closed"; "reason" => reason.code(), "endpoint" => &*endpoint.id,
                "requests_carried" => connection.requests_carried);
        }
        if doubtful {
            self.close_idle_endpoint_connections(connection.endpoint, CloseReason::Stale);
        }
    }

    /// Why a request goes on to another attempt, or gets no answer of an endpoint's.
    pub fn log_attempt(&self, request: &str, number: usize, ending: AttemptOutcome) {
        if ending != AttemptOutcome::Succeeded {
            info!(self.log, "attempt ended"; "request" => request, "attempt" => number, "outcome" => ?ending);
        }
    }

    pub fn count_ending(&mut self, ending: AttemptOutcome) {
        let counters = &mut self.counters;
        *match ending {
            AttemptOutcome::Succeeded => &mut counters.attempts_succeeded,
            AttemptOutcome::Failed => &mut counters.attempts_failed,
            AttemptOutcome::TimedOut => &mut counters.attempts_timed_out,
            AttemptOutcome::ConnectionLost => &mut counters.attempts_connection_lost,
            AttemptOutcome::Cancelled => &mut counters.attempts_cancelled,
            AttemptOutcome::Rejected => &mut counters.attempts_rejected,
            AttemptOutcome::Unreachable => &mut counters.attempts_unreachable,
            AttemptOutcome::NotSent => &mut counters.attempts_not_sent,
        } += 1;
    }
}

/// Whether a connection failed at the other end or on the way, not for want of our own.
fn theirs(problem: &io::Error) -> bool {
    use ErrorKind::{
        ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut,
    };
    [
        ConnectionRefused,
        ConnectionReset,
        HostUnreachable,
        NetworkUnreachable,
        TimedOut,
    ]
    .contains(&problem.kind())
}
