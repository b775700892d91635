//! The module's calls, carried out at once. What fails here is told on a later turn, as we are inside a call
//! of the module.

use bytes::Bytes;
use pinefront_policy::{AttemptOutcome, Host, Micros};
use slog::info;

use crate::close_reason::CloseReason;
use crate::state::endpoint_connection::Exchange;
use crate::state::keys::RequestKey;
use crate::state::proxy::{ProxyHost, ProxyState};
use crate::state::timers::TimerEvent;

impl Host for ProxyHost {
    fn start_attempt(&mut self, request: &str, endpoint: &str, expire_at: Micros) {
        self.0
            .borrow_mut()
            .begin_attempt(request, endpoint, expire_at);
    }

    /// Calling off closes the connection: the endpoint sees that nobody waits.
    fn cancel_attempt(&mut self, request: &str, number: usize) {
        let mut state = self.0.borrow_mut();
        let Some(key) = state.requests.key_of(request) else {
            return;
        };
        let Some(request) = state.requests.get(key) else {
            return;
        };
        if let Some(connection) = request.attempts.get(number).copied().flatten() {
            state.close_endpoint_connection(connection, CloseReason::Cancelled);
            // The module has yet to hear of it: the request would never be answered, or its key never be free.
            let now = state.now();
            state.timers.schedule(
                now,
                TimerEvent::AttemptNotSent(key, number, AttemptOutcome::Cancelled),
            );
        }
    }

    fn reject(&mut self, request: &str, retry_after: Micros) {
        let mut state = self.0.borrow_mut();
        let Some(key) = state.requests.key_of(request) else {
            return;
        };
        let mut fields = Vec::new();
        if retry_after > 0 {
            fields.push(Bytes::from(format!(
                "Retry-After: {:.3}\r\n",
                retry_after as f64 / 1e6
            )));
        }
        state.counters.requests_rejected += 1;
        state.log_rejection(key, 503);
        state.answer(key, 503, fields, Vec::new());
    }

    fn fail(&mut self, request: &str) {
        let mut state = self.0.borrow_mut();
        let Some(key) = state.requests.key_of(request) else {
            return;
        };
        state.counters.requests_failed += 1;
        state.log_rejection(key, 502);
        state.answer(key, 502, Vec::new(), Vec::new());
    }

    fn set_timer(&mut self, after: Micros, timer_id: u64) {
        let mut state = self.0.borrow_mut();
        let at = state.now().saturating_add(after);
        state.timers.schedule(at, TimerEvent::PolicyTimer(timer_id));
    }

    fn poll_endpoint_list(&mut self) {
        let mut state = self.0.borrow_mut();
        state.poll_endpoint_list();
    }

    fn probe(&mut self, endpoint: &str) {
        self.0.borrow_mut().probe(endpoint);
    }

    fn close_idle_connections(&mut self, endpoint: &str) {
        let mut state = self.0.borrow_mut();
        let Some(key) = state.endpoints.key_of(endpoint) else {
            return;
        };
        state.close_idle_endpoint_connections(key, CloseReason::Stale);
    }

    fn send_gossip(&mut self, balancer: Option<usize>, words: &str) {
        self.0.borrow_mut().send_gossip(balancer, words);
    }
}

impl ProxyState {
    fn log_rejection(&self, key: RequestKey, status: u16) {
        if let Some(request) = self.requests.get(key) {
            info!(self.log, "request rejected or failed"; "request" => &*request.id, "status" => status,
                "attempts" => request.attempts.len());
        }
    }

    /// Asks an endpoint for its load at the path in the configuration. A probe waits as long as a connection may
    /// take to come about: what tells its load later than that tells of another load.
    fn probe(&mut self, id: &str) {
        let now = self.now();
        self.counters.probes += 1;
        let Some(endpoint) = self.endpoints.key_of(id) else {
            return;
        };
        let Some(path) = self.config.probe_path.clone() else {
            self.timers
                .schedule(now, TimerEvent::ProbeNotSent(endpoint));
            return;
        };
        let address = self
            .endpoints
            .get(endpoint)
            .and_then(|endpoint| endpoint.address);
        let linked = self.connection_to(endpoint).ok().zip(address);
        let connection = linked.and_then(|(key, address)| {
            Some((key, address, self.endpoint_connections.get_mut(key)?))
        });
        let Some((key, address, connection)) = connection else {
            self.timers
                .schedule(now, TimerEvent::ProbeNotSent(endpoint));
            return;
        };
        let expire_at = now + self.config.connect_timeout;
        connection.exchange = Some(Exchange {
            request: RequestKey::default(),
            number: 0,
            sent: now,
            expire_at,
        });
        connection.write_buffer.push(Bytes::from(format!(
            "GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        )));
        // What fails here is looked at on a later turn: we are inside a call of the module.
        if connection.connected
            && connection
                .write_buffer
                .drain(&connection.socket.stream)
                .is_err()
        {
            self.timers
                .schedule(now, TimerEvent::EndpointConnectionReady(key));
        }
        self.set_endpoint_connection_timer(key, expire_at);
    }

    fn begin_attempt(&mut self, id: &str, endpoint: &str, expire_at: Micros) {
        let now = self.now();
        let Some(request) = self.requests.key_of(id) else {
            return;
        };
        self.counters.attempts += 1;
        let linked = match self.endpoints.key_of(endpoint) {
            _ if expire_at <= now => Err(AttemptOutcome::NotSent),
            Some(endpoint) => self.connection_to(endpoint),
            None => Err(AttemptOutcome::Unreachable),
        };
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let number = open.attempts.len();
        open.attempts.push(linked.ok());
        let key = match linked {
            Ok(key) => key,
            Err(ending) => {
                self.timers
                    .schedule(now, TimerEvent::AttemptNotSent(request, number, ending));
                return;
            }
        };
        let connect_by = now + self.config.connect_timeout;
        let Some(connection) = self.endpoint_connections.get_mut(key) else {
            return;
        };
        connection.exchange = Some(Exchange {
            request,
            number,
            sent: now,
            expire_at,
        });
        if !connection.connected {
            self.set_endpoint_connection_timer(key, connect_by.min(expire_at));
            return;
        }
        self.counters.endpoint_connections_reused += 1;
        if let Err(refusal) = self.write_attempt(key, now) {
            self.close_endpoint_connection(key, CloseReason::NotSent(refusal));
            self.timers.schedule(
                now,
                TimerEvent::AttemptNotSent(request, number, AttemptOutcome::NotSent),
            );
            return;
        }
        let Some(connection) = self.endpoint_connections.get_mut(key) else {
            return;
        };
        // What fails here is looked at on a later turn: we are inside a call of the module.
        if connection
            .write_buffer
            .drain(&connection.socket.stream)
            .is_err()
        {
            self.timers
                .schedule(now, TimerEvent::EndpointConnectionReady(key));
        }
        self.set_endpoint_connection_timer(key, expire_at);
    }
}
